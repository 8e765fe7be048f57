//! A host that reaches nothing, as its link is full or its process gets no processor time, does not
//! hold that against engines.

mod support;

use std::thread::JoinHandle;
use std::time::Duration;

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::route::contact::{ANSWER_TIME, Contact, Verdict};
use support::platform::{
    API_KEY, End, Engine, Gateway, Message, Reaction, Store, config, event, exchange, request,
    settings, tagged_event, wait_for,
};

#[test]
fn an_engine_is_judged_only_while_the_host_reaches_another_address() {
    let clock = Manual::default();
    let mut contact = Contact::default();
    contact.record(clock.now());
    clock.advance(Duration::from_millis(10));
    let began = clock.now();
    clock.advance(ANSWER_TIME * 10);
    assert_eq!(contact.judge(began, clock.now()), Verdict::Open);
    contact.record(clock.now());
    assert_eq!(contact.judge(began, clock.now()), Verdict::Unreachable);
}

#[test]
fn an_engine_gets_time_to_answer_although_others_are_faster() {
    let clock = Manual::default();
    let mut contact = Contact::default();
    let began = clock.now();
    contact.record(clock.now());
    clock.advance(ANSWER_TIME / 2);
    assert_eq!(contact.judge(began, clock.now()), Verdict::Open);
    clock.advance(ANSWER_TIME / 2);
    assert_eq!(contact.judge(began, clock.now()), Verdict::Unreachable);
}

/// Number of events of a stream, one every [`PACE`].
const EVENTS: u64 = 6;

/// Slow enough for the engine to be checked between two events, and within the pace of the route.
const PACE: Duration = Duration::from_millis(600);

/// A gateway with two engines of a service in two failure domains.
struct Fleet {
    engines: [Engine; 2],
    gateway: Gateway,
    _store: Store,
}

impl Fleet {
    fn start(service: &str, script: fn(&Message) -> Reaction) -> Self {
        let engines = ["i-1", "i-2"].map(|id| Engine::start(id, script));
        let store = Store::start();
        store.put("config", "main", config(3));
        for (engine, domain) in engines.iter().zip(["fd-a", "fd-b"]) {
            store.put("servers", &engine.id, engine.registration(service, domain));
        }
        let gateway = Gateway::start(&settings(&store.address, ""));
        wait_for("readiness", || gateway.is_ready());
        Self {
            engines,
            gateway,
            _store: store,
        }
    }

    /// Starts a stream and returns once an engine runs it.
    fn stream(&self) -> JoinHandle<Message> {
        let address = self.gateway.process.address.clone();
        let headers = format!(
            "x-bilberrypost-attempt-id: s1\r\nx-bilberrypost-deadline-ms: 20000\r\n\
             x-bilberrypost-credential: {API_KEY}\r\nx-bilberrypost-token-count: 1000,70\r\n"
        );
        let text = request("POST", "/stream/x", &headers, "p");
        let response = std::thread::spawn(move || exchange(&address, &text).unwrap());
        wait_for("the stream", || self.requests() == 1);
        response
    }

    fn requests(&self) -> usize {
        self.engines.iter().map(Engine::request_count).sum()
    }
}

#[test]
fn a_host_that_reaches_nothing_keeps_its_streams() {
    let fleet = Fleet::start("model", |_| {
        Reaction::TaggedEvents(EVENTS, End::Complete, PACE)
    });
    let response = fleet.stream();
    fleet.engines.iter().for_each(Engine::block_connections);
    let response = response.join().unwrap();
    assert_eq!(response.header("broken"), None);
    let text = response.text();
    assert!(text.ends_with(&tagged_event(EVENTS, "s1")), "{text}");
    assert_eq!(fleet.requests(), 1);
}

#[test]
fn an_engine_that_takes_no_connection_is_lost_while_others_answer() {
    let fleet = Fleet::start("model", |_| {
        Reaction::TaggedEvents(EVENTS, End::Complete, PACE * 100)
    });
    let response = fleet.stream();
    let (lost, others): (Vec<_>, Vec<_>) = fleet
        .engines
        .iter()
        .partition(|engine| engine.request_count() == 1);
    others[0].set_script(|_| Reaction::Events(EVENTS, End::Complete));
    lost[0].block_connections();
    let text = response.join().unwrap().text();
    assert!(text.ends_with(&event(EVENTS)), "{text}");
    assert_eq!(others[0].request_count(), 1);
}

#[test]
fn a_call_without_contact_is_refused_and_not_run() {
    let fleet = Fleet::start("app", |_| Reaction::Response(200, "done".into()));
    fleet.engines.iter().for_each(Engine::block_connections);
    let refused = fleet.gateway.call("POST", "/once/x", "r1", "b");
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
    fleet.engines.iter().for_each(Engine::unblock_connections);
    wait_for("contact", || {
        fleet.gateway.status("POST", "/once/x", "r2", "b") == 200
    });
    let received = fleet.engines.iter().map(|engine| engine.received.lock());
    let received: Vec<_> = received
        .flat_map(|received| received.unwrap().clone())
        .collect();
    let has_run = |id| {
        let id_of = |call: &Message| call.header("x-bilberrypost-attempt-id") == Some(id);
        received.iter().any(id_of)
    };
    assert!(has_run("r2") && !has_run("r1"));
}
