//! Refusals: those that the gateway sends before it has read the body of a request, and those of engines.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::json;
use support::platform::{
    API_KEY, End, Engine, Gateway, Message, Reaction, Store, config, events, ok, settings, start,
    start_gateway, stream_headers, wait_for,
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

/// Guards against a call that is made twice: the engine ran it and failed it with a status by which the caller
/// knows that it did not run, on all kinds of route.
#[test]
fn a_refusal_that_an_engine_does_not_state_never_reaches_the_caller() {
    for status in [408, 429, 503] {
        let [app, model] = ["i-1", "i-2"]
            .map(|id| Engine::start(id, move |_| Reaction::Response(status, "failed".into())));
        let mut config = config(3);
        // A stream that may not be resumed.
        config["routes"][3]["stream-resume"] = json!(false);
        let registered = [
            ("i-1", app.registration("app", "fd-a")),
            ("i-2", model.registration("model", "fd-a")),
        ];
        let (_store, gateway) = start_gateway(config, &registered);
        for path in ["/once/x", "/any/x", "/stream/x"] {
            let answer = gateway.send("POST", path, &stream_headers("r1"), "b");
            let answer = answer.expect("a response");
            assert_eq!(answer.status(), 502, "{status} {path}");
            let seal = answer.header("x-bilberrypost-response-seal");
            assert_eq!(seal, None, "{status} {path}");
            assert_eq!(answer.header("retry-after"), None, "{status} {path}");
        }
        let runs = [&app, &model].map(Engine::request_count);
        assert_eq!(runs, [2, 1], "{status}");
    }
}

/// Guards against a resumable stream that gets such a refusal in place of another attempt.
#[test]
fn a_resumable_stream_goes_to_another_engine_after_an_unstated_refusal() {
    let refusing = Engine::start("i-1", |_| Reaction::Response(503, "failed".into()));
    let sound = Engine::start("i-2", |_| Reaction::Events(5, End::Complete));
    let (_store, gateway) = start(&[(&refusing, "model", "fd-a"), (&sound, "model", "fd-b")]);
    for number in 0..6 {
        let answer = gateway.stream(&format!("s{number}"));
        assert_eq!((answer.status(), answer.text()), (200, events(1, 5)));
    }
    assert!(refusing.request_count() > 0);
    sound.set_script(|_| Reaction::Response(503, "failed".into()));
    assert_eq!(gateway.stream("failing").status(), 502);
}
