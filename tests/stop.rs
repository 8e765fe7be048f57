//! Planned stops of a gateway under load, with real processes and connections.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::platform::{
    API_KEY, End, Engine, Gateway, Message, Reaction, Store, config, request, settings, wait_for,
};

/// Time after SIGTERM in which a process must end: the default drain limit of the settings.
const DRAIN_LIMIT: Duration = Duration::from_secs(8);

fn ok() -> Reaction {
    Reaction::Response(200, "done".into())
}

fn start(engine: &Engine, service: &str) -> (Store, Gateway) {
    let store = Store::start();
    store.put("config", "main", config(3));
    store.put("servers", &engine.id, engine.registration(service, "fd-a"));
    let gateway = Gateway::start(&settings(&store.address, ""));
    wait_for("readiness", || gateway.is_ready());
    (store, gateway)
}

fn headers(id: &str) -> String {
    format!(
        "x-bilberrypost-attempt-id: {id}\r\nx-bilberrypost-deadline-ms: 20000\r\n\
         x-bilberrypost-credential: {API_KEY}\r\n"
    )
}

/// Guards against a process that does not end by itself because a caller reads its stream too
/// slowly or not at all.
#[test]
fn a_process_ends_beside_a_caller_that_does_not_read() {
    let engine = Engine::start("i-1", |_| Reaction::Events(300_000, End::Endless));
    let (_store, mut gateway) = start(&engine, "model");
    let mut streams = Vec::new();
    for number in 0..3 {
        let mut stream = TcpStream::connect(&gateway.process.address).unwrap();
        let headers = headers(&format!("s{number}")) + "x-bilberrypost-token-count: 100,70\r\n";
        stream
            .write_all(request("POST", "/stream/x", &headers, "p").as_bytes())
            .unwrap();
        streams.push(stream);
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

/// Sends a signal to the gateway.
fn signal(gateway: &Gateway, signal: rustix::process::Signal) {
    let pid = rustix::process::Pid::from_raw(gateway.process.id() as i32).unwrap();
    rustix::process::kill_process(pid, signal).unwrap();
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
    let (_store, mut gateway) = start(&engine, "app");
    gateway.process.terminate();
    wait_for("refusal of readiness", || !gateway.is_ready());
    std::thread::sleep(Duration::from_millis(2000));
    signal(&gateway, rustix::process::Signal::STOP);
    let queued: Vec<_> = (0..20)
        .map(|number| {
            let mut stream = TcpStream::connect(&gateway.process.address).unwrap();
            let text = once(&format!("q{number}"));
            stream.write_all(text.as_bytes()).unwrap();
            stream
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    signal(&gateway, rustix::process::Signal::CONT);
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
    let (_store, mut gateway) = start(&engine, "app");
    let connect = || TcpStream::connect(&gateway.process.address).unwrap();
    let mut kept: Vec<_> = (0..10)
        .map(|number| {
            let mut stream = connect();
            let text = once(&format!("k{number}"));
            stream.write_all(text.as_bytes()).unwrap();
            let mut reader = BufReader::new(stream);
            assert_eq!(Message::read(&mut reader).unwrap().status(), 200);
            reader
        })
        .collect();
    let partial: Vec<_> = (0..10)
        .map(|number| {
            let mut text = once(&format!("p{number}"));
            let rest = text.split_off(10 + 12 * number);
            let mut stream = connect();
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
