//! Engines that say in their answers that they leave, while the store lists them as available.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::Duration;

use bilberrypost::clock::Manual;
use bilberrypost::route::registry::{Engine as Key, Registration, Registry};
use support::engines::{need, registration, registry};
use support::platform::{
    End, Engine, Gateway, Mode, Reaction, Store, config, events, ok, settings, start,
    start_gateway, wait_for,
};

const LEAVING: &str = "x-bilberrypost-attempt-id: ID\r\nserver-leaving: 1\r\n";

/// Returns an answer of an engine that leaves; `ID` stands for the id of the attempt.
fn leaving(status: u16, headers: &str, body: &str) -> Reaction {
    Reaction::Raw(format!(
        "HTTP/1.1 {status} x\r\n{LEAVING}{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

fn leaving_success() -> Reaction {
    leaving(200, "x-bilberrypost-response-seal: s\r\n", "done")
}

fn two_known(clock: &Manual) -> Registry<Manual> {
    registry(clock, &[("a", "fd-a"), ("b", "fd-b")])
}

fn assert_unused(registry: &Registry<Manual>, id: &str, when: &str) {
    let engine = registry.by_id(id).unwrap();
    let other = registry.by_id("b").unwrap();
    assert!(!registry.is_usable(engine), "{when}");
    assert_eq!(registry.choose(&need(&[])), Some(other), "{when}");
    assert_eq!(registry.choose_replica(&need(&[]), other), None, "{when}");
}

/// Guards against a request, resumed stream or replica at an engine that has said that it leaves, once
/// its entry was listed, changed, removed or brought back by an older list.
#[test]
fn an_entry_does_not_bring_back_an_engine_that_leaves() {
    let clock = Manual::default();
    let mut registry = two_known(&clock);
    let both = || vec![registration("a", "fd-a"), registration("b", "fd-b")];
    assert!(registry.set_leaving(registry.by_id("a").unwrap()));
    assert!(!registry.set_leaving(registry.by_id("a").unwrap()));
    assert_unused(&registry, "a", "at once");
    registry.replace(both(), true);
    assert_unused(&registry, "a", "after a listing");
    registry.insert(Registration {
        slots: 9,
        ..registration("a", "fd-a")
    });
    assert_unused(&registry, "a", "after a change of its entry");
    registry.insert(Registration {
        address: "a:2".into(),
        ..registration("a", "fd-a")
    });
    assert_unused(&registry, "a", "at another address");
    registry.remove("a");
    clock.advance(Duration::from_secs(60));
    registry.replace(both(), false);
    assert_unused(&registry, "a", "after a removal");
    registry.set_replaced(registry.by_id("a").unwrap());
    registry.insert(registration("a", "fd-a"));
    assert_unused(&registry, "a", "after another engine at its address");
    let mut follower = Registry::new(clock.clone(), "host-b".into(), "fd-a".into());
    follower.apply_changes(registry.changes_since(None), false);
    registry.apply_changes(follower.changes_since(None), false);
    assert_unused(&registry, "a", "after the list of another host");
    clock.advance(Duration::from_secs(7200));
    assert!(registry.set_leaving(registry.by_id("b").unwrap()));
    assert!(!registry.is_usable(registry.by_id("a").unwrap()));
}

/// Guards against a restarted engine that is never used because the earlier one at its id or address
/// left.
#[test]
fn another_incarnation_of_an_engine_that_left_is_used() {
    let clock = Manual::default();
    let mut registry = two_known(&clock);
    let old = registry.by_id("a").unwrap();
    registry.begin(old, need(&[]).footprint);
    let restarted = Registration {
        started_ms: 2,
        ..registration("a", "fd-a")
    };
    registry.insert(restarted.clone());
    // The answer to a request that was sent to the earlier one.
    registry.set_leaving(old);
    assert!(registry.is_usable(registry.by_id("a").unwrap()));
    registry.set_leaving(registry.by_id("a").unwrap());
    assert!(!registry.is_usable(registry.by_id("a").unwrap()));
    registry.insert(Registration {
        id: "c".into(),
        started_ms: 3,
        ..restarted
    });
    assert!(registry.is_usable(registry.by_id("c").unwrap()));
}

/// Guards against a host that hands on as the store's word what it alone heard from an engine.
#[test]
fn other_hosts_are_not_told_that_an_engine_leaves() {
    let clock = Manual::default();
    let mut registry = two_known(&clock);
    registry.set_leaving(registry.by_id("a").unwrap());
    let mut follower: Registry<Manual> = Registry::new(clock, "host-b".into(), "fd-a".into());
    follower.apply_changes(registry.changes_since(None), false);
    let engine: Key = follower.by_id("a").unwrap();
    assert!(follower.is_usable(engine));
}

/// Guards against further requests, also retries, to an engine of any of whose answers said that it
/// leaves.
#[test]
fn any_answer_that_says_so_ends_the_requests_to_an_engine() {
    let not_run = "x-bilberrypost-not-executed: 1\r\n";
    let answers = [
        ("success", leaving_success()),
        ("failure", leaving(500, "", "no")),
        ("full", leaving(503, not_run, "")),
        ("too many", leaving(429, not_run, "")),
        ("unsealed", leaving(200, "", "done")),
        (
            "broken",
            Reaction::Raw(format!(
                "HTTP/1.1 200 x\r\n{LEAVING}x-bilberrypost-response-seal: s\r\n\
                 content-length: 9\r\n\r\ndo"
            )),
        ),
    ];
    for (name, answer) in answers {
        let engine = Engine::start("i-1", move |_| answer.clone());
        let (store, gateway) = start(&[(&engine, "app", "fd-a")]);
        gateway.call("POST", "/any/x", "r0", "b");
        for number in 1..4 {
            let refused = gateway.call("POST", "/any/x", &format!("r{number}"), "b");
            assert_eq!(refused.status(), 503, "{name}");
            assert!(refused.header("retry-after").is_some(), "{name}");
        }
        assert_eq!(engine.request_count(), 1, "{name}");
        let next = Engine::start("i-2", |_| ok());
        store.put("servers", "i-2", next.registration("app", "fd-a"));
        wait_for("the next engine", || {
            gateway.status("POST", "/once/x", "r9", "b") == 200
        });
        assert_eq!(engine.request_count(), 1, "{name}");
    }
}

/// Guards against a stream that is cut because its engine leaves, and against new streams, resumed
/// ones and replicas at that engine.
#[test]
fn a_stream_of_a_leaving_engine_ends_and_no_other_begins_there() {
    let head = format!(
        "HTTP/1.1 200 x\r\n{LEAVING}x-bilberrypost-response-seal: s\r\n\
         content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{}",
        events(1, 6).len(),
        events(1, 6)
    );
    let engine = Engine::start("i-1", move |_| Reaction::Raw(head.clone()));
    let (store, gateway) = start(&[(&engine, "model", "fd-a")]);
    let stream = gateway.stream("s1");
    assert_eq!(stream.text(), events(1, 6));
    assert_eq!(stream.header("broken"), None);
    assert_eq!(gateway.stream("s2").status(), 503);
    let next = Engine::start("i-2", |request| match request.header("last-event-id") {
        None => Reaction::Events(3, End::HalfEvent),
        Some(_) => Reaction::Events(6, End::Complete),
    });
    store.put("servers", "i-2", next.registration("model", "fd-b"));
    wait_for("the next engine", || gateway.stream("s3").status() == 200);
    let replicas = next.received.lock().unwrap();
    let replica = "x-bilberrypost-kv-replica";
    assert!(replicas.iter().all(|one| one.header(replica).is_none()));
    assert_eq!(engine.request_count(), 1);
}

/// Guards against a host that uses a leaving engine again because of its entry in the store, or because
/// the store is away.
#[test]
fn the_store_does_not_bring_back_an_engine_that_leaves() {
    let engine = Engine::start("i-1", |_| leaving_success());
    let (store, gateway) = start(&[(&engine, "app", "fd-a")]);
    assert_eq!(gateway.status("POST", "/any/x", "r0", "b"), 200);
    let mut entry = engine.registration("app", "fd-a");
    entry["batch-slots"] = 9.into();
    store.put("servers", "i-1", entry.clone());
    assert_eq!(gateway.status("POST", "/any/x", "r1", "b"), 503);
    store.remove("servers", "i-1");
    wait_for("the removal", || {
        gateway.metric("bilberrypost_engines") == Some(0.0)
    });
    store.put("servers", "i-1", entry.clone());
    wait_for("the entry", || {
        gateway.metric("bilberrypost_engines") == Some(1.0)
    });
    assert_eq!(gateway.status("POST", "/any/x", "r2", "b"), 503);
    store.set_mode(Mode::Unavailable);
    assert_eq!(gateway.status("POST", "/any/x", "r3", "b"), 503);
    store.set_mode(Mode::Normal);
    assert_eq!(engine.request_count(), 1);
    engine.set_script(|_| ok());
    entry["born"] = 2.into();
    store.put("servers", "i-1", entry);
    wait_for("the restarted engine", || {
        gateway.status("POST", "/any/x", "r4", "b") == 200
    });
}

/// Guards against requests that were on their way when the engine's word came: those that it has are
/// answered, and one that still waits for its connection is not sent.
#[test]
fn a_request_that_waits_for_its_connection_is_not_sent_to_a_leaving_engine() {
    let (release, released) = mpsc::channel();
    let has_begun = Arc::new(AtomicBool::new(false));
    let begun = has_begun.clone();
    let engine = Engine::start("i-1", move |_| {
        begun.store(true, Ordering::Relaxed);
        // An error means that the test has ended.
        let _ = released.recv();
        leaving_success()
    });
    let mut config = config(3);
    for route in config["routes"].as_array_mut().unwrap() {
        route["target-latency-ms"] = 2000.into();
    }
    let (_store, gateway) = start_gateway(config, &[("i-1", engine.registration("app", "fd-a"))]);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| gateway.status("POST", "/any/x", "r1", "b"));
        wait_for("the first request", || has_begun.load(Ordering::Relaxed));
        engine.block_connections();
        let second = scope.spawn(|| gateway.status("POST", "/any/x", "r2", "b"));
        std::thread::sleep(Duration::from_millis(300));
        release.send(()).unwrap();
        assert_eq!(first.join().unwrap(), 200);
        drop(release);
        engine.unblock_connections();
        assert_eq!(second.join().unwrap(), 503);
    });
    assert_eq!(engine.request_count(), 1);
}

/// Guards against an engine that several hosts and many calls at once on kept connections reach after
/// each host has heard that it leaves.
#[test]
fn each_host_stops_with_the_first_answer_that_it_gets() {
    let engine = Engine::start("i-1", |_| leaving_success());
    let store = Store::with(config(3), &[("i-1", engine.registration("app", "fd-a"))]);
    let hosts: [Gateway; 2] = ["host-a", "host-b"]
        .map(|name| Gateway::start(&settings(&store.address, "").replace("host-a", name)));
    for (index, host) in hosts.iter().enumerate() {
        wait_for("readiness", || host.is_ready());
        let sent = std::thread::scope(|scope| {
            let calls: Vec<_> = (0..4)
                .map(|number| {
                    let id = format!("h{index}-{number}");
                    scope.spawn(move || host.status("POST", "/any/x", &id, "b"))
                })
                .collect();
            let statuses = calls.into_iter().map(|call| call.join().unwrap());
            statuses.filter(|status| *status == 200).count()
        });
        assert!(sent > 0, "no answer of the engine at host {index}");
        let before = engine.request_count();
        assert_eq!(host.status("POST", "/any/x", "late", "b"), 503);
        assert_eq!(engine.request_count(), before);
    }
}
