//! Streams that have no engine for a while.

mod support;

use std::thread::JoinHandle;
use std::time::Duration;

use support::platform::{
    API_KEY, End, Engine, Gateway, Message, Reaction, RefusingAddress, Store, config, event,
    events, exchange, request, start_gateway, wait_for,
};

/// Starts the only engine, which is lost after three events of a stream, and a gateway.
fn start() -> (Engine, Store, Gateway) {
    let lost = Engine::start("i-1", |_| Reaction::Events(3, End::Unresponsive));
    let (store, gateway) = start_gateway(config(3), &[("i-1", lost.registration("model", "fd-a"))]);
    (lost, store, gateway)
}

fn start_stream(gateway: &Gateway, id: &str) -> JoinHandle<Option<Message>> {
    let address = gateway.process.address.clone();
    let headers = format!(
        "x-bilberrypost-attempt-id: {id}\r\nx-bilberrypost-deadline-ms: 20000\r\n\
         x-bilberrypost-credential: {API_KEY}\r\nx-bilberrypost-token-count: 1000,70\r\n"
    );
    let text = request("POST", "/stream/x", &headers, "p");
    std::thread::spawn(move || exchange(&address, &text))
}

#[test]
fn a_begun_stream_waits_while_all_engines_are_lost() {
    let (lost, store, gateway) = start();
    let response = start_stream(&gateway, "s1");
    wait_for("the stream", || lost.request_count() == 1);
    std::thread::sleep(Duration::from_millis(1200));
    let next = Engine::start("i-2", |_| Reaction::Events(6, End::Complete));
    store.put("servers", &next.id, next.registration("model", "fd-b"));
    let response = response.join().unwrap().unwrap();
    assert_eq!(response.text(), events(1, 6));
    assert_eq!(response.header("broken"), None);
}

/// Guards against a begun stream that is cut, although time is left, because the engines that are lost
/// refused it too often meanwhile.
#[test]
fn a_begun_stream_waits_longer_than_its_refused_attempts() {
    let (lost, store, gateway) = start();
    let response = start_stream(&gateway, "s1");
    wait_for("the stream", || lost.request_count() == 1);
    std::thread::sleep(Duration::from_millis(2500));
    let next = Engine::start("i-2", |_| Reaction::Events(6, End::Complete));
    store.put("servers", &next.id, next.registration("model", "fd-b"));
    let response = response.join().unwrap().unwrap();
    assert!(response.text().ends_with(&event(6)), "{}", response.text());
}

/// The same with several lost engines, which use up the attempts faster.
#[test]
fn a_begun_stream_waits_although_many_engines_refuse_it() {
    let (lost, store, gateway) = start();
    let response = start_stream(&gateway, "s1");
    wait_for("the stream", || lost.request_count() == 1);
    let refusing: Vec<_> = (3..15)
        .map(|number| (number, RefusingAddress::new()))
        .collect();
    for (number, refusing) in &refusing {
        let mut entry = lost.registration("model", "fd-a");
        entry["address"] = refusing.address.clone().into();
        store.put("servers", &format!("i-{number}"), entry);
    }
    std::thread::sleep(Duration::from_millis(1200));
    let next = Engine::start("i-2", |_| Reaction::Events(6, End::Complete));
    store.put("servers", &next.id, next.registration("model", "fd-b"));
    let response = response.join().unwrap().unwrap();
    assert!(response.text().ends_with(&event(6)), "{}", response.text());
}
