//! Planned stops of a gateway under load, with real processes and connections.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::platform::{
    End, Engine, Gateway, Message, Reaction, headers, ok, request, start, wait_for,
};

/// Time after SIGTERM in which a process must end: the default drain limit of the settings.
const DRAIN_LIMIT: Duration = Duration::from_secs(8);

/// Guards against a process that does not end by itself because a caller reads its stream too
/// slowly or not at all.
#[test]
fn a_process_ends_beside_a_caller_that_does_not_read() {
    let engine = Engine::start("i-1", |_| Reaction::Events(300_000, End::Endless));
    let (_store, mut gateway) = start(&[(&engine, "model", "fd-a")]);
    let mut streams = Vec::new();
    for number in 0..3 {
        let headers = headers(&format!("s{number}")) + "x-bilberrypost-token-count: 100,70\r\n";
        streams.push(gateway.open("POST", "/stream/x", &headers, "p"));
    }
    wait_for("runs", || engine.request_count() == 3);
    // Until the buffers between engine and caller are full.
    std::thread::sleep(Duration::from_secs(1));
    let stopped_at = Instant::now();
    gateway.process.terminate();
    assert_eq!(gateway.process.wait(), Some(0));
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < DRAIN_LIMIT, "{elapsed:?}");
}

fn once(id: &str) -> String {
    request("POST", "/once/x", &headers(id), "b")
}

fn status(stream: TcpStream) -> Option<u16> {
    stream
        .set_read_timeout(Some(support::TEST_TIMEOUT))
        .unwrap();
    let answer = Message::read(&mut BufReader::new(stream));
    answer.map(|answer| answer.status())
}

/// Guards against connections that wait in the queue of the listener and are reset when it closes,
/// although their requests were sent. The process is paused while the listener is due to close.
#[test]
fn queued_connections_are_answered_at_a_stop() {
    let engine = Engine::start("i-1", |_| ok());
    let (_store, mut gateway) = start(&[(&engine, "app", "fd-a")]);
    gateway.process.terminate();
    wait_for("refusal of readiness", || !gateway.is_ready());
    std::thread::sleep(Duration::from_millis(2000));
    gateway.process.pause();
    let queued: Vec<_> = (0..20)
        .map(|number| gateway.open("POST", "/once/x", &headers(&format!("q{number}")), "b"))
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    gateway.process.unpause();
    for (number, stream) in queued.into_iter().enumerate() {
        assert_eq!(status(stream), Some(200), "connection {number}");
    }
    assert_eq!(gateway.process.wait(), Some(0));
}

/// Guards against requests that are cut at a stop because only a part of their head has arrived, or
/// because they are the next ones on a connection that is kept open.
#[test]
fn open_connections_are_answered_at_a_stop() {
    let engine = Engine::start("i-1", |_| ok());
    let (_store, mut gateway) = start(&[(&engine, "app", "fd-a")]);
    let mut kept: Vec<_> = (0..10)
        .map(|number| {
            let stream = gateway.open("POST", "/once/x", &headers(&format!("k{number}")), "b");
            let mut reader = BufReader::new(stream);
            assert_eq!(Message::read(&mut reader).unwrap().status(), 200);
            reader
        })
        .collect();
    let partial: Vec<_> = (0..10)
        .map(|number| {
            let mut text = once(&format!("p{number}"));
            let rest = text.split_off(10 + 12 * number);
            let mut stream = TcpStream::connect(&gateway.process.address).unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            (stream, rest)
        })
        .collect();
    gateway.process.terminate();
    wait_for("refusal of readiness", || !gateway.is_ready());
    // The listener closes after 2.3 s; both kinds are sent before and after that.
    let parts = partial.into_iter().zip(kept.drain(..)).enumerate();
    for (number, ((mut stream, rest), mut reader)) in parts {
        stream.write_all(rest.as_bytes()).unwrap();
        assert_eq!(status(stream), Some(200), "part of a head {number}");
        let text = once(&format!("r{number}"));
        reader.get_mut().write_all(text.as_bytes()).unwrap();
        let answer = Message::read(&mut reader);
        assert_eq!(
            answer.map(|answer| answer.status()),
            Some(200),
            "kept connection {number}"
        );
        std::thread::sleep(Duration::from_millis(270));
    }
    assert_eq!(gateway.process.wait(), Some(0));
}

/// Sends all of a request but its last byte, which is `b`.
fn send_slowly(gateway: &Gateway, id: &str, path: &str) -> TcpStream {
    let text = request("POST", path, &headers(id), &"b".repeat(100));
    let mut stream = TcpStream::connect(&gateway.process.address).unwrap();
    stream
        .write_all(&text.as_bytes()[..text.len() - 1])
        .unwrap();
    stream
}

/// Guards against requests whose body ends late in a drain, and that are passed on to a slow server and
/// cut without a response, and against a refusal of one that the server has got.
#[test]
fn slow_bodies_are_answered_at_a_stop() {
    // The server takes one request at a time.
    let engine = Engine::start("i-1", |_| {
        std::thread::sleep(Duration::from_millis(1500));
        ok()
    });
    let (_store, mut gateway) = start(&[(&engine, "app", "fd-a")]);
    assert_eq!(gateway.status("POST", "/once/x", "before", "b"), 200);
    let slow: Vec<_> = (0..8)
        .map(|number| {
            let path = if number % 2 == 0 { "/once/x" } else { "/any/x" };
            send_slowly(&gateway, &format!("s{number}"), path)
        })
        .collect();
    let never_ends = send_slowly(&gateway, "never", "/once/x");
    gateway.process.terminate();
    wait_for("refusal of readiness", || !gateway.is_ready());
    std::thread::sleep(Duration::from_millis(3600));
    let mut streams = Vec::new();
    for mut stream in slow {
        stream.write_all(b"b").unwrap();
        streams.push(stream);
        std::thread::sleep(Duration::from_millis(400));
    }
    let statuses: Vec<_> = streams.into_iter().map(status).collect();
    assert_eq!(status(never_ends), Some(503));
    assert_eq!(gateway.process.wait(), Some(0));
    for (number, status) in statuses.iter().enumerate() {
        assert!(matches!(status, Some(200 | 503)), "{number}: {statuses:?}");
        let id = format!("s{number}");
        let received = engine.received.lock().unwrap();
        let has_arrived = received
            .iter()
            .any(|seen| seen.header("x-bilberrypost-attempt-id") == Some(&id));
        assert_eq!(has_arrived, *status == Some(200), "{number}: {statuses:?}");
    }
}

/// Guards against a request that is cut without a response because its server takes longer than the
/// drain. Its effect is not known, so it must not count as not run.
#[test]
fn a_request_that_outlasts_the_drain_gets_an_answer() {
    let has_arrived = Arc::new(AtomicBool::new(false));
    let arrived = has_arrived.clone();
    let engine = Engine::start("i-1", move |_| {
        arrived.store(true, Ordering::Relaxed);
        std::thread::sleep(support::TEST_TIMEOUT);
        ok()
    });
    let (_store, mut gateway) = start(&[(&engine, "app", "fd-a")]);
    let stream = gateway.open("POST", "/once/x", &headers("r1"), "b");
    wait_for("arrival", || has_arrived.load(Ordering::Relaxed));
    gateway.process.terminate();
    assert_eq!(status(stream), Some(502));
    assert_eq!(gateway.process.wait(), Some(0));
}
