//! Planned stops of a gateway under load, with real processes and connections.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::platform::{End, Engine, Message, Reaction, headers, ok, request, start, wait_for};

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
