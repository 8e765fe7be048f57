//! Streams that have no engine for a while.

mod support;

use std::time::Duration;

use support::platform::{
    API_KEY, End, Engine, Gateway, Reaction, Store, config, events, exchange, request, settings,
    wait_for,
};

#[test]
fn a_begun_stream_waits_while_all_engines_are_lost() {
    let lost = Engine::start("i-1", |_| Reaction::Events(3, End::Unresponsive));
    let store = Store::start();
    store.put("config", "main", config(3));
    store.put("servers", &lost.id, lost.registration("model", "fd-a"));
    let gateway = Gateway::start(&settings(&store.address, ""));
    wait_for("readiness", || gateway.is_ready());
    let address = gateway.process.address.clone();
    let headers = format!(
        "x-bilberrypost-attempt-id: s1\r\nx-bilberrypost-deadline-ms: 20000\r\n\
         x-bilberrypost-credential: {API_KEY}\r\nx-bilberrypost-token-count: 1000,70\r\n"
    );
    let text = request("POST", "/stream/x", &headers, "p");
    let response = std::thread::spawn(move || exchange(&address, &text).unwrap());
    wait_for("the stream", || lost.request_count() == 1);
    std::thread::sleep(Duration::from_millis(1200));
    let next = Engine::start("i-2", |_| Reaction::Events(6, End::Complete));
    store.put("servers", &next.id, next.registration("model", "fd-b"));
    let response = response.join().unwrap();
    assert_eq!(response.text(), events(1, 6));
    assert_eq!(response.header("broken"), None);
}
