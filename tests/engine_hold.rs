//! Engines that turn a request away with 503 and `Retry-After`, and want nothing for so long.

mod support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bilberrypost::clock::Manual;
use bilberrypost::route::registry::{Engine as Key, Registration, Registry};
use support::engines::{need, registration, registry};
use support::platform::{
    End, Engine, Gateway, Message, Reaction, events, ok, start, two_engines, wait_for,
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a registry with the engines `a` and `b`, and their keys.
fn two_known(clock: &Manual) -> (Registry<Manual>, Key, Key) {
    let registry = registry(clock, &[("a", "fd-a"), ("b", "fd-b")]);
    let [a, b] = ["a", "b"].map(|id| registry.by_id(id).unwrap());
    (registry, a, b)
}

/// Returns the answer of an engine that wants nothing for this many seconds.
fn turned_away(seconds: &str) -> Reaction {
    Reaction::Raw(format!(
        "HTTP/1.1 503 x\r\nx-bilberrypost-attempt-id: ID\r\nx-bilberrypost-not-executed: 1\r\n\
         retry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
    ))
}

fn retry_after(refused: &Message) -> Duration {
    let seconds = refused.header("retry-after").expect("a Retry-After");
    Duration::from_secs_f64(seconds.parse().unwrap())
}

/// Sends a request with each of the routes of a service.
fn statuses(gateway: &Gateway, id: &str) -> [u16; 2] {
    ["any", "once"].map(|route| {
        let id = format!("{route}-{id}");
        gateway.status("POST", &format!("/{route}/x"), &id, "b")
    })
}

/// Guards against requests, resumed streams and replicas at an engine before the time has passed for
/// which it wants none, also if its entry changes or returns meanwhile, or a later answer names less.
#[test]
fn a_held_engine_is_not_used_before_its_time_is_over() {
    let clock = Manual::default();
    let (mut registry, a, b) = two_known(&clock);
    let assert_held = |registry: &Registry<Manual>, when: &str| {
        let a = registry.by_id("a").unwrap();
        let b = registry.by_id("b").unwrap();
        assert!(!registry.is_usable(a) && registry.is_declining(a), "{when}");
        assert_eq!(registry.choose(&need(&[])), Some(b), "{when}");
        assert_eq!(registry.choose_replica(&need(&[]), b), None, "{when}");
    };
    assert_eq!(registry.hold(a, 4 * SECOND), Some(4 * SECOND));
    assert_held(&registry, "at once");
    clock.advance(SECOND);
    assert_eq!(registry.hold(a, SECOND), None);
    assert_eq!(registry.release(a), None);
    clock.advance(2 * SECOND);
    assert_held(&registry, "after a shorter time");
    registry.remove("a");
    registry.insert(registration("a", "fd-a"));
    assert_held(&registry, "after its entry came back");
    clock.advance(SECOND);
    let a = registry.by_id("a").unwrap();
    assert!(registry.is_usable(a) && !registry.is_declining(a));
    assert_eq!(registry.choose_replica(&need(&[]), b), Some(a));
}

/// Guards against a restarted engine that is held for what the earlier one at its id said.
#[test]
fn a_restarted_engine_is_not_held() {
    let clock = Manual::default();
    let (mut registry, a, _) = two_known(&clock);
    registry.hold(a, 60 * SECOND);
    registry.insert(Registration {
        started_ms: 2,
        ..registration("a", "fd-a")
    });
    assert!(registry.is_usable(registry.by_id("a").unwrap()));
}

/// Guards against all waiting requests going at once to an engine whose time is over, and against an
/// engine that is never used again.
#[test]
fn an_engine_is_tried_with_one_request_after_its_hold() {
    let clock = Manual::default();
    let (mut registry, a, b) = two_known(&clock);
    registry.hold(a, 2 * SECOND);
    clock.advance(2 * SECOND);
    // Engine `b` has more load, so `a` would get each request.
    for _ in 0..3 {
        registry.begin(b, need(&[]).footprint);
    }
    assert_eq!(registry.choose(&need(&[])), Some(a));
    registry.begin(a, need(&[]).footprint);
    assert_eq!(registry.choose(&need(&[])), Some(b));
    assert!(registry.is_usable(a), "it is the last choice, not none");
    clock.advance(SECOND);
    assert_eq!(registry.choose(&need(&[])), Some(a), "no answer in time");
    registry.begin(a, need(&[]).footprint);
    assert_eq!(registry.release(a), Some(3 * SECOND));
    assert_eq!(registry.choose(&need(&[])), Some(a));
    assert_eq!(registry.release(a), None);
    assert_eq!(registry.hold(a, SECOND), Some(SECOND));
    assert_eq!(registry.choose(&need(&[])), Some(b));
}

/// Guards against an engine that a wrong value keeps out of use for good.
#[test]
fn a_hold_has_a_longest_time() {
    let clock = Manual::default();
    let (mut registry, a, _) = two_known(&clock);
    let held_for = registry.hold(a, Duration::MAX);
    assert_eq!(held_for, Some(3600 * SECOND));
    clock.advance(3600 * SECOND);
    assert!(registry.is_usable(a));
}

/// Guards against a `Retry-After` of the gateway before an engine of the service takes requests, and
/// against one that waits for an engine that is not held.
#[test]
fn the_first_engine_whose_hold_ends_sets_the_time_of_a_retry() {
    let clock = Manual::default();
    let (mut registry, a, b) = two_known(&clock);
    registry.hold(a, 9 * SECOND);
    assert_eq!(registry.held_for("model"), Duration::ZERO);
    registry.hold(b, 4 * SECOND);
    assert_eq!(registry.held_for("model"), 4 * SECOND);
    assert_eq!(registry.held_for("app"), Duration::ZERO);
    registry.set_leaving(b);
    clock.advance(SECOND);
    assert_eq!(registry.held_for("model"), 8 * SECOND);
}

/// Guards against requests and retries that reach an engine before its time is over, refusals that
/// come late or send callers back too early, and an engine that is not used again.
#[test]
fn an_engine_that_turned_a_request_away_is_left_alone_until_then() {
    let held_for = Duration::from_millis(1500);
    let turned_away_at: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let times = turned_away_at.clone();
    let engine = Engine::start("i-1", move |_| {
        times.lock().unwrap().push(Instant::now());
        turned_away("1.5")
    });
    let (_store, gateway) = start(&[(&engine, "app", "fd-a")]);
    let first = gateway.call("POST", "/once/x", "r0", "b");
    assert_eq!(first.status(), 503);
    assert_eq!(engine.request_count(), 1);
    let answered_at = turned_away_at.lock().unwrap()[0];
    let times = turned_away_at.clone();
    engine.set_script(move |_| {
        times.lock().unwrap().push(Instant::now());
        ok()
    });
    std::thread::scope(|scope| {
        for number in 0..8 {
            let (gateway, engine) = (&gateway, &engine);
            scope.spawn(move || {
                let id = format!("r{number}-x");
                let refused = gateway.call("POST", "/any/x", &id, "b");
                let wait = retry_after(&refused);
                assert_eq!(refused.status(), 503);
                std::thread::sleep(wait);
                assert_eq!(statuses(gateway, &id), [200, 200]);
                assert!(engine.request_count() > 1);
            });
        }
    });
    let times = turned_away_at.lock().unwrap();
    assert!(times[1] >= answered_at + held_for, "{times:?}");
    let metric = |outcome: &str| {
        gateway.metric(&format!(
            "bilberrypost_decisions_total{{decision=\"engine\",outcome=\"{outcome}\"}}"
        ))
    };
    assert_eq!((metric("held"), metric("released")), (Some(1.0), Some(1.0)));
}

/// Guards against an engine that is still chosen while another takes the requests, as first choice, for
/// a retry or for a replica.
#[test]
fn other_engines_take_the_requests_of_a_held_one() {
    // The engine that is chosen first turns each request away.
    let held: Arc<Mutex<Option<String>>> = Arc::default();
    let first = held.clone();
    let engines = two_engines(move |request| {
        let id = request.header("x-bilberrypost-expect-instance").unwrap();
        match first.lock().unwrap().get_or_insert(id.into()) == id {
            true => turned_away("600"),
            false => ok(),
        }
    });
    let (_store, gateway) = start(&[(&engines[0], "app", "fd-a"), (&engines[1], "app", "fd-b")]);
    for number in 0..20 {
        assert_eq!(statuses(&gateway, &number.to_string()), [200, 200]);
    }
    let held = held.lock().unwrap();
    let counts = engines.map(|engine| (Some(&engine.id) == held.as_ref(), engine.request_count()));
    assert!(
        counts.contains(&(true, 1)) && counts.contains(&(false, 40)),
        "{counts:?}"
    );
}

/// Guards against a new stream, a resumed one or a replica at an engine that is held.
#[test]
fn a_stream_does_not_go_on_at_a_held_engine() {
    let held = Engine::start("i-1", |_| turned_away("600"));
    let (store, gateway) = start(&[(&held, "model", "fd-a")]);
    let refused = gateway.stream("s1");
    assert_eq!(refused.status(), 503);
    assert!(retry_after(&refused) > 500 * SECOND);
    let next = Engine::start("i-2", |request| match request.header("last-event-id") {
        None => Reaction::Events(3, End::HalfEvent),
        Some(_) => Reaction::Events(6, End::Complete),
    });
    store.put("servers", "i-2", next.registration("model", "fd-b"));
    wait_for("the next engine", || {
        let stream = gateway.stream("s2");
        stream.status() == 200 && stream.text() == events(1, 6)
    });
    let received = next.received.lock().unwrap();
    let replica = "x-bilberrypost-kv-replica";
    assert!(received.iter().all(|one| one.header(replica).is_none()));
    assert_eq!(held.request_count(), 1);
}
