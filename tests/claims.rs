//! Keyed calls with real processes that die, pause, lose answers and go silent.

mod support;

#[path = "support/keyed.rs"]
mod keyed;

use bilberrypost::emulate::proxy::Fault;
use bilberrypost::emulate::store::{Delayed, Entry, Faults};
use bilberrypost::http::client;
use bilberrypost::http::problem::Reason;
use bilberrypost::wire::{Kind, Work};
use futures_util::future::join_all;
use keyed::{Call, Reply, cluster, key_owned_by, new_key, runs, runs_of, wait_for_cluster};
use support::{Cluster, Proxy, TEST_TIMEOUT, block_on, domain, get, put, wait_until};

fn send(cluster: &Cluster, router: usize, call: &Call) -> Reply {
    block_on(call.send(&cluster.routers[router].address))
}

/// Sends a call from a thread of its own, because the test goes on meanwhile.
fn send_aside(cluster: &Cluster, router: usize, call: &Call) -> std::thread::JoinHandle<Reply> {
    let (address, call) = (cluster.routers[router].address.clone(), call.clone());
    std::thread::spawn(move || block_on(call.send(&address)))
}

fn set_store(cluster: &Cluster, faults: Faults) {
    put(&cluster.store.address, "/v1/emulation/faults", &faults);
}

/// Returns whether the store is about to write the claim of a key.
fn is_being_claimed(cluster: &Cluster, key: &str) -> bool {
    let line = format!("{{\"c\":{{\"k\":\"{key}\"");
    let delayed: Vec<Delayed> = get(&cluster.store.address, "/v1/emulation/delayed");
    delayed.iter().any(|write| write.value.contains(&line))
}

/// Returns whether the outcome of a key is in the store.
fn is_recorded(cluster: &Cluster, key: &str) -> bool {
    let line = format!("{{\"o\":{{\"k\":\"{key}\"");
    let address = cluster.store.address.as_str();
    let entries: Vec<Entry> = get(address, "/v1/objects?prefix=claims/");
    entries.iter().any(|entry| {
        let path = format!("/v1/objects/{}", entry.key);
        let request = hyper::Request::get(path).header("host", address);
        let request = request.body(http_body_util::Full::default()).unwrap();
        let body = block_on(async {
            let mut exchange = client::send(address, request, TEST_TIMEOUT).await.unwrap();
            exchange.rest(1024 * 1024).await.unwrap()
        });
        String::from_utf8(body).unwrap().contains(&line)
    })
}

/// Returns the number of live routers in the eyes of one.
fn live(cluster: &Cluster, router: usize) -> usize {
    let status: serde_json::Value = get(&cluster.routers[router].address, "/admin/v1/status");
    status["live"].as_array().unwrap().len()
}

/// Guards against a call that runs once on each router that it was sent to, and against repeats
/// that get another call's answer.
#[test]
fn duplicates_run_once() {
    let cluster = cluster(3, 2);
    let keys: Vec<_> = (0..40).map(|_| new_key()).collect();
    let replies = block_on(async {
        let calls = keys.iter().flat_map(|key| {
            cluster
                .routers
                .iter()
                .enumerate()
                .map(move |(number, router)| async move {
                    let call = Call::reserve(key, &format!("{key}/{number}"));
                    (key, call.send(&router.address).await)
                })
        });
        join_all(calls).await
    });
    for (key, reply) in &replies {
        assert_eq!(reply.status, 200, "{reply:?}");
        assert!(reply.run().starts_with(key.as_str()), "{reply:?}");
        let body = format!("lane for {key}");
        assert_eq!(reply.confirmation.as_ref().unwrap().body, body);
    }
    for key in &keys {
        assert_eq!(runs_of(&cluster, key), 1, "{key}");
    }
    let replayed = replies.iter().filter(|(_, reply)| reply.replayed).count();
    assert_eq!(replayed, 80);
}

/// Guards against keys that are accepted although they protect nothing, and against a key that
/// returns the answer of another call.
#[test]
fn refuses_unfit_keys() {
    let cluster = cluster(1, 1);
    let old = "018bcfe5-6800-7000-8000-000000000001";
    let future = "ffffffff-ffff-7000-8000-000000000001";
    let cases = [
        ("", Reason::KeyMissing),
        ("018bcfe5-6800-4000-8000-000000000001", Reason::KeyInvalid),
        ("lane-7", Reason::KeyInvalid),
        (old, Reason::KeyExpired),
        (future, Reason::KeyExpired),
    ];
    for (key, reason) in cases {
        let reply = send(&cluster, 0, &Call::reserve(key, "unfit"));
        assert_eq!(reply.reason(), Some(reason), "{key}");
        assert_eq!(reply.work(), Some(Work::NotRun), "{key}");
    }
    let key = new_key();
    assert_eq!(send(&cluster, 0, &Call::reserve(&key, "first")).status, 200);
    let other = Call::reserve(&key, "other").body("another lane");
    let reply = send(&cluster, 0, &other);
    assert_eq!(reply.reason(), Some(Reason::KeyConflict), "{reply:?}");
    assert_eq!(reply.work(), Some(Work::NotRun));
    assert_eq!(runs(&cluster), [("first".to_owned(), 1)].into());
}

/// Guards against a second run after the answer of the first one was lost, and against a key that
/// is spent although the backend server refused the call.
#[test]
fn lost_answer_is_unknown_and_refusal_is_not_run() {
    let cluster = cluster(2, 1);
    let (lost, refused) = (new_key(), new_key());
    let reply = send(&cluster, 0, &Call::reserve(&lost, "lost").fault("drop"));
    assert_eq!(reply.work(), Some(Work::Unknown), "{reply:?}");
    let reply = send(&cluster, 1, &Call::reserve(&lost, "lost-repeat"));
    assert_eq!(reply.work(), Some(Work::Unknown), "{reply:?}");
    assert_eq!(runs_of(&cluster, "lost"), 1);
    let reply = send(
        &cluster,
        0,
        &Call::reserve(&refused, "refused").fault("refuse"),
    );
    assert_eq!(reply.work(), Some(Work::NotRun), "{reply:?}");
    assert_eq!(reply.reason(), Some(Reason::BackendUnavailable));
    assert_eq!(runs_of(&cluster, "refused"), 0);
}

/// Guards against an account that loses or invents calls.
#[test]
fn account_balances() {
    let cluster = cluster(1, 1);
    for (number, fault) in ["", "drop", "", "refuse"].iter().enumerate() {
        let call = Call::reserve(&new_key(), &number.to_string()).fault(fault);
        send(&cluster, 0, &call);
    }
    send(&cluster, 0, &Call::reserve("", "unfit"));
    let status: serde_json::Value = get(&cluster.routers[0].address, "/admin/v1/status");
    let account = &status["dispatch"]["ledger"]["niederbach"];
    let refused = account["refused"].as_object().unwrap();
    let refused: u64 = refused.values().map(|count| count.as_u64().unwrap()).sum();
    let count = |name: &str| account[name].as_u64().unwrap();
    let counts = (count("served"), refused, count("failed"), count("running"));
    // Four refused calls come from the start of the cluster.
    assert_eq!((count("submitted"), counts), (9, (2, 6, 1, 0)), "{account}");
}

/// Starts a call whose claim is being written, and returns it with the router that runs it and
/// another router, which owns the key.
fn start_claim(cluster: &Cluster) -> (String, std::thread::JoinHandle<Reply>) {
    set_store(
        cluster,
        Faults {
            delay_ms: 300,
            ..Faults::default()
        },
    );
    let (key, _) = key_owned_by(cluster.routers.len(), |owner| owner != 0);
    let call = send_aside(cluster, 0, &Call::reserve(&key, &format!("{key}/first")));
    wait_until("the claim is being written", || {
        is_being_claimed(cluster, &key)
    });
    (key, call)
}

/// Guards against a second run of a call whose router died after it claimed the key.
#[test]
fn router_killed_between_claim_and_run() {
    let mut cluster = cluster(3, 1);
    let (key, first) = start_claim(&cluster);
    cluster.routers[0].kill();
    set_store(&cluster, Faults::default());
    assert_eq!(first.join().unwrap().status, 0);
    for router in [1, 2] {
        let repeat = send(
            &cluster,
            router,
            &Call::reserve(&key, &format!("{key}/repeat")),
        );
        assert_eq!(repeat.work(), Some(Work::Unknown), "{repeat:?}");
    }
    assert_eq!(runs_of(&cluster, &key), 0);
}

/// Guards against a router that acts on a grant which arrived before it was paused for long.
#[test]
fn router_paused_between_claim_and_run() {
    let cluster = cluster(3, 1);
    let (key, first) = start_claim(&cluster);
    cluster.routers[0].pause();
    set_store(&cluster, Faults::default());
    let repeat = send(&cluster, 1, &Call::reserve(&key, &format!("{key}/repeat")));
    assert_eq!(repeat.work(), Some(Work::Unknown), "{repeat:?}");
    cluster.routers[0].unpause();
    let first = first.join().unwrap();
    assert_eq!(first.work(), Some(Work::NotRun), "{first:?}");
    assert_eq!(runs_of(&cluster, &key), 0);
}

/// Guards against grants or refusals from a write whose outcome is open.
#[test]
fn lost_store_answers_are_read_back() {
    let cluster = cluster(3, 1);
    set_store(
        &cluster,
        Faults {
            lost_answers: 1.0,
            ..Faults::default()
        },
    );
    for number in 0..6 {
        let key = new_key();
        for router in [number % 3, (number + 1) % 3] {
            let call = Call::reserve(&key, &format!("{key}/{router}"));
            let reply = send(&cluster, router, &call);
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        assert_eq!(runs_of(&cluster, &key), 1, "{key}");
    }
}

/// Guards against an owner that still believes in its ownership after a pause in which another
/// host took the range over.
#[test]
fn paused_owner_returns() {
    let cluster = cluster(3, 1);
    let (key, owner) = key_owned_by(3, |_| true);
    let (first, second) = ((owner + 1) % 3, (owner + 2) % 3);
    assert_eq!(
        send(&cluster, owner, &Call::reserve(&key, &format!("{key}/0"))).status,
        200
    );
    wait_until("the outcome is in the log", || is_recorded(&cluster, &key));
    cluster.routers[owner].pause();
    for router in [first, second] {
        wait_until("the routers miss the paused one", || {
            live(&cluster, router) == 2
        });
    }
    let (meanwhile, _) = key_owned_by(3, |other| other == owner);
    for (router, key) in [
        (first, &key),
        (second, &key),
        (first, &meanwhile),
        (second, &meanwhile),
    ] {
        let reply = send(
            &cluster,
            router,
            &Call::reserve(key, &format!("{key}/{router}")),
        );
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    cluster.routers[owner].unpause();
    let (later, _) = key_owned_by(3, |other| other == owner);
    for router in [owner, first, owner, second] {
        for key in [&key, &meanwhile, &later] {
            let reply = send(
                &cluster,
                router,
                &Call::reserve(key, &format!("{key}/{router}")),
            );
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    for key in [&key, &meanwhile, &later] {
        assert_eq!(runs_of(&cluster, key), 1, "{key}");
    }
}

/// Guards against keyed calls that run unclaimed in an outage, and against an outage that stops
/// more than it must.
#[test]
fn store_outage() {
    let cluster = cluster(3, 1);
    let recorded = new_key();
    assert_eq!(
        send(&cluster, 0, &Call::reserve(&recorded, "recorded")).status,
        200
    );
    let replays = || {
        let repeat = send(&cluster, 1, &Call::reserve(&recorded, "recorded-repeat"));
        repeat.status == 200 && repeat.replayed
    };
    wait_until("the answer is recorded", replays);
    set_store(
        &cluster,
        Faults {
            outage: true,
            ..Faults::default()
        },
    );
    let refused: Vec<_> = (0..12).map(|_| new_key()).collect();
    for (number, key) in refused.iter().enumerate() {
        let reply = send(
            &cluster,
            number % 3,
            &Call::reserve(key, &format!("{key}/refused")),
        );
        assert_eq!(reply.work(), Some(Work::NotRun), "{reply:?}");
        assert_eq!(reply.reason(), Some(Reason::StoreUnavailable));
        assert!(reply.problem.unwrap().retry_after.is_some());
    }
    assert!(replays(), "the owner holds the record");
    assert_eq!(send(&cluster, 2, &Call::status("status")).status, 200);
    set_store(&cluster, Faults::default());
    for (number, key) in refused.iter().enumerate() {
        assert_eq!(runs_of(&cluster, key), 0, "{key}");
        let call = Call::reserve(key, &format!("{key}/later"));
        wait_until("the key can be used after the outage", || {
            send(&cluster, number % 3, &call).status == 200
        });
        assert_eq!(runs_of(&cluster, key), 1, "{key}");
    }
}

/// Guards against calls that wait for good on connections that went silent.
#[test]
fn silent_connections() {
    let mut cluster = Cluster::start();
    let store = Proxy::start(&cluster.store.address);
    cluster.store.address = store.address().to_owned();
    let index = cluster.backend("booking", &[]);
    let backend = Proxy::start(&cluster.backends[index].address);
    let (name, domain) = (format!("backend-{index}"), domain(index));
    cluster.list(&name, Kind::Backend, backend.address(), &domain, "booking");
    let mut peers = Vec::new();
    for _ in 0..3 {
        peers.push(cluster.proxied_router(&keyed::split(), 0));
    }
    wait_for_cluster(&cluster, 3, 1);
    let keyed_calls = || {
        let key = new_key();
        for router in 0..3 {
            let call = Call::reserve(&key, &format!("{key}/{router}"));
            let reply = send(&cluster, router, &call);
            assert_eq!(reply.status, 200, "{reply:?}");
        }
        assert_eq!(runs_of(&cluster, &key), 1);
    };
    for _ in 0..4 {
        keyed_calls();
    }
    for proxy in peers.iter().chain([&store]) {
        proxy.set(Fault::Silence);
    }
    for _ in 0..4 {
        keyed_calls();
    }
    // An idempotent call whose connection goes silent goes on over a new connection.
    let slow = send_aside(&cluster, 0, &Call::status("slow").fault("slow@700"));
    wait_until("the call runs", || runs_of(&cluster, "slow") == 1);
    backend.set(Fault::Silence);
    let slow = slow.join().unwrap();
    assert_eq!((slow.status, slow.run()), (200, "slow"), "{slow:?}");
    // A keyed call is not repeated; its outcome is unknown.
    let key = new_key();
    let call = Call::reserve(&key, &format!("{key}/0")).fault("slow@700");
    let silent = send_aside(&cluster, 0, &call);
    wait_until("the call runs", || runs_of(&cluster, &key) == 1);
    backend.set(Fault::Silence);
    let silent = silent.join().unwrap();
    assert_eq!(silent.work(), Some(Work::Unknown), "{silent:?}");
    assert_eq!(runs_of(&cluster, &key), 1);
}
