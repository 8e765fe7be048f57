//! Refusals that the gateway sends before it has read the body of a request.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use support::platform::{
    API_KEY, Engine, Gateway, Message, Store, config, ok, settings, start, wait_for,
};

const BODY_BYTES: usize = 90_000;

/// Number of parts in which a body is sent, one every [`PART_PAUSE`].
const PARTS: usize = 30;

const PART_PAUSE: Duration = Duration::from_millis(20);

/// Sends the first half of a request at once and the rest slowly; returns the response, which is read
/// only once the request is written. `None` if the connection ends before.
fn send_slowly(gateway: &Gateway, path: &str, key: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(&gateway.process.address).unwrap();
    stream
        .set_read_timeout(Some(support::TEST_TIMEOUT))
        .unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nx-bilberrypost-attempt-id: r1\r\n\
         x-bilberrypost-deadline-ms: 20000\r\nx-bilberrypost-credential: {key}\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    let body = vec![b'x'; BODY_BYTES];
    let (first, rest) = body.split_at(BODY_BYTES / 2);
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(first).unwrap();
    for part in rest.chunks(rest.len() / PARTS) {
        std::thread::sleep(PART_PAUSE);
        stream.write_all(part).ok()?;
    }
    Message::read(&mut BufReader::new(stream))
}

/// Guards against a refusal that the caller never sees, because the connection is reset while the
/// body of the request still arrives.
#[test]
fn a_refusal_before_the_end_of_the_body_reaches_the_caller() {
    let app = Engine::start("i-1", |_| ok());
    let (_store, gateway) = start(&[(&app, "app", "fd-a")]);
    for (path, key, status) in [("/nowhere/x", API_KEY, 404), ("/once/x", "wrong", 401)] {
        let refusal = send_slowly(&gateway, path, key).map(|refusal| refusal.status());
        assert_eq!(refusal, Some(status), "{path}");
    }
    assert_eq!(
        send_slowly(&gateway, "/once/x", API_KEY).unwrap().status(),
        200
    );
}

/// Guards against the same on a host that has no configuration yet.
#[test]
fn a_host_without_a_configuration_refuses_a_slow_body_whole() {
    let store = Store::start();
    let gateway = Gateway::start(&settings(&store.address, ""));
    let refusal = send_slowly(&gateway, "/once/x", API_KEY).map(|refusal| refusal.status());
    assert_eq!(refusal, Some(503));
    store.put("config", "main", config(3));
    wait_for("readiness", || gateway.is_ready());
}
