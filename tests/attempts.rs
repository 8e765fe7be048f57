//! Retries and failures of the attempts of one request.

mod support;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use support::platform::{
    End, Engine, Gateway, Message, Reaction, Store, config, ok, registrations, settings, wait_for,
};

/// Timeout of the requests, which no correct response comes near to.
const TIMEOUT_MS: u64 = 30_000;

/// Starts two engines of `service`, and a gateway that may make half of `retry_slack` retries.
fn start(
    service: &str,
    retry_slack: u32,
    script: impl Fn(&Message) -> Reaction + Clone + Send + 'static,
) -> ([Engine; 2], Store, Gateway) {
    let engines = [
        Engine::start("i-1", script.clone()),
        Engine::start("i-2", script),
    ];
    let mut config = config(3);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = TIMEOUT_MS.into();
    }
    let registered = [
        (&engines[0], service, "fd-a"),
        (&engines[1], service, "fd-b"),
    ];
    let store = Store::with(config, &registrations(&registered));
    let settings = settings(&store.address, "")
        .replace("retry_ratio = 0.8", "retry_ratio = 0")
        .replace("retry_slack = 150", &format!("retry_slack = {retry_slack}"));
    let gateway = Gateway::start(&settings);
    wait_for("readiness", || gateway.is_ready());
    (engines, store, gateway)
}

/// Guards against retries that cost nothing because they were successful.
#[test]
fn a_retry_that_was_answered_stays_spent() {
    const CALLS: usize = 10;
    const SLACK: u32 = 2;
    let seen = Arc::new(Mutex::new(BTreeSet::new()));
    let (engines, _store, gateway) = start("app", SLACK, move |request| {
        let id = request.header("x-bilberrypost-attempt-id").unwrap();
        match seen.lock().unwrap().insert(id.to_owned()) {
            true => Reaction::NotExecuted,
            false => ok(),
        }
    });
    for number in 0..CALLS {
        gateway.status("POST", "/any/x", &format!("r{number}"), "b");
    }
    let arrivals = engines[0].request_count() + engines[1].request_count();
    assert!(
        arrivals <= CALLS + SLACK as usize,
        "{arrivals} arrivals of {CALLS} calls"
    );
}

/// Guards against a failure of an engine that is lost because the engine of the retry is lost.
#[test]
fn a_failure_in_hand_is_forwarded_when_the_retry_is_lost() {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let counted = arrivals.clone();
    let (engines, _store, gateway) = start("app", 150, move |_| {
        match counted.fetch_add(1, Ordering::Relaxed) {
            0 => Reaction::Response(500, "failed".into()),
            _ => {
                std::thread::sleep(Duration::from_millis(2 * TIMEOUT_MS));
                ok()
            }
        }
    });
    let began = Instant::now();
    std::thread::scope(|scope| {
        let call = scope.spawn(|| gateway.call("POST", "/any/x", "r1", "b"));
        wait_for("the retry", || arrivals.load(Ordering::Relaxed) == 2);
        // The stand-in counts a request once it has reacted to it.
        let retried = engines.iter().find(|engine| engine.request_count() == 0);
        retried.unwrap().block_connections();
        let response = call.join().unwrap();
        assert_eq!((response.status(), response.text()), (500, "failed".into()));
    });
    assert!(began.elapsed() < Duration::from_millis(TIMEOUT_MS));
}

/// Guards against a resumed stream that stays with a lost engine, as it once left the other one.
#[test]
fn a_stream_that_was_resumed_leaves_a_lost_engine() {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let counted = arrivals.clone();
    let (engines, _store, gateway) = start("model", 150, move |_| {
        match counted.fetch_add(1, Ordering::Relaxed) {
            0 => Reaction::Events(3, End::HalfEvent),
            1 => Reaction::Events(6, End::Unresponsive),
            _ => Reaction::Events(9, End::Complete),
        }
    });
    let began = Instant::now();
    let stream = gateway.stream("s1");
    assert_eq!(stream.text(), support::platform::events(1, 9));
    assert_eq!(stream.header("broken"), None);
    assert!(began.elapsed() < Duration::from_millis(TIMEOUT_MS));
    let requests = engines.iter().map(Engine::request_count);
    assert_eq!(requests.sum::<usize>(), 3);
}
