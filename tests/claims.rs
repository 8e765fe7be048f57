//! Calls with an idempotency key against real router processes. The tests kill and pause routers,
//! drop responses of the store and the backend servers, and silence connections.

mod support;

#[path = "support/keyed.rs"]
mod keyed;

use std::time::Duration;

use bilberrypost::emulate::proxy::Fault;
use bilberrypost::emulate::store::{DelayedWrite, Entry, Faults};
use bilberrypost::http::client;
use bilberrypost::http::problem::Reason;
use bilberrypost::wire::{Execution, Kind};
use futures_util::future::join_all;
use keyed::{Call, Reply, cluster, key_owned_by, new_key, runs, runs_of, wait_for_cluster};
use support::{Cluster, Process, Proxy, TEST_TIMEOUT, block_on, domain, get, put, wait_until};

fn send(cluster: &Cluster, router: usize, call: &Call) -> Reply {
    block_on(call.send(&cluster.routers[router].address))
}

/// Sends a call from a new thread, so that the test can continue before the reply.
fn spawn_send(cluster: &Cluster, router: usize, call: &Call) -> std::thread::JoinHandle<Reply> {
    let (address, call) = (cluster.routers[router].address.clone(), call.clone());
    std::thread::spawn(move || block_on(call.send(&address)))
}

fn set_store_faults(cluster: &Cluster, faults: Faults) {
    put(&cluster.store.address, "/v1/emulation/faults", &faults);
}

/// Returns whether the store has received the claim of a key, but still delays the write.
fn is_claim_delayed(cluster: &Cluster, key: &str) -> bool {
    let line = format!("{{\"c\":{{\"k\":\"{key}\"");
    let delayed: Vec<DelayedWrite> = get(&cluster.store.address, "/v1/emulation/delayed");
    delayed.iter().any(|write| write.value.contains(&line))
}

/// Returns whether the outcome of a key is in the store.
fn is_outcome_stored(cluster: &Cluster, key: &str) -> bool {
    let line = format!("{{\"o\":{{\"k\":\"{key}\"");
    let address = cluster.store.address.as_str();
    let entries: Vec<Entry> = get(address, "/v1/objects?prefix=claims/");
    entries.iter().any(|entry| {
        let path = format!("/v1/objects/{}", entry.key);
        let request = hyper::Request::get(path).header("host", address);
        let request = request.body(http_body_util::Full::default()).unwrap();
        let body = block_on(async {
            let mut exchange = client::send(address, request, TEST_TIMEOUT).await.unwrap();
            exchange.read_rest(1024 * 1024).await.unwrap()
        });
        String::from_utf8(body).unwrap().contains(&line)
    })
}

/// Returns the number of routers that `router` sees as live, itself included.
fn live_count(cluster: &Cluster, router: usize) -> usize {
    let status: serde_json::Value = get(&cluster.routers[router].address, "/admin/v1/status");
    status["live"].as_array().unwrap().len()
}

/// Guards against a call that runs once for each router that it is sent to, and against repeats
/// that get the response of another call.
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

/// Guards against keys that are accepted although they are missing, malformed or expired, and
/// against a key that is accepted for a second call with another body.
#[test]
fn unusable_keys_are_refused() {
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
        assert_eq!(reply.work(), Some(Execution::NotRun), "{key}");
    }
    let key = new_key();
    assert_eq!(send(&cluster, 0, &Call::reserve(&key, "first")).status, 200);
    let other = Call::reserve(&key, "other").body("another lane");
    let reply = send(&cluster, 0, &other);
    assert_eq!(reply.reason(), Some(Reason::KeyConflict), "{reply:?}");
    assert_eq!(reply.work(), Some(Execution::NotRun));
    assert_eq!(runs(&cluster), [("first".to_owned(), 1)].into());
}

/// Guards against a second run of a call whose response was lost, and against a refusal by the
/// backend server that the caller does not see as `not-run`.
#[test]
fn lost_answer_is_unknown_and_refusal_is_not_run() {
    let cluster = cluster(2, 1);
    let (lost, refused) = (new_key(), new_key());
    let reply = send(&cluster, 0, &Call::reserve(&lost, "lost").fault("drop"));
    assert_eq!(reply.work(), Some(Execution::Unknown), "{reply:?}");
    let reply = send(&cluster, 1, &Call::reserve(&lost, "lost-repeat"));
    assert_eq!(reply.work(), Some(Execution::Unknown), "{reply:?}");
    assert_eq!(runs_of(&cluster, "lost"), 1);
    let reply = send(
        &cluster,
        0,
        &Call::reserve(&refused, "refused").fault("refuse"),
    );
    assert_eq!(reply.work(), Some(Execution::NotRun), "{reply:?}");
    assert_eq!(reply.reason(), Some(Reason::BackendUnavailable));
    assert_eq!(runs_of(&cluster, "refused"), 0);
}

/// Guards against calls that are missing from their partner's account or counted twice.
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
    // The start of the cluster adds four refused calls, one for each range.
    assert_eq!((count("submitted"), counts), (9, (2, 6, 1, 0)), "{account}");
}

/// Starts a cluster in which router 0 is interrupted while the store delays the claim of a call that it
/// has got. Returns the cluster, the key and the thread of the call. An interruption that comes after the
/// delay is not the one that the tests are about, and is tried again in another cluster.
fn interrupted_claim(
    interrupt: impl Fn(&mut Process),
) -> (Cluster, String, std::thread::JoinHandle<Reply>) {
    const TRIES_MAX: usize = 20;
    for _ in 0..TRIES_MAX {
        let mut cluster = cluster(3, 1);
        let (key, first) = start_claim(&cluster);
        interrupt(&mut cluster.routers[0]);
        let is_in_time = is_claim_delayed(&cluster, &key);
        set_store_faults(&cluster, Faults::default());
        if is_in_time {
            return (cluster, key, first);
        }
    }
    panic!("the store wrote each claim before its router was interrupted");
}

/// Sends a call to router 0 with a key that another router owns, and waits until the store has
/// received its claim, which it writes with a delay. Returns the key and the thread of the call.
fn start_claim(cluster: &Cluster) -> (String, std::thread::JoinHandle<Reply>) {
    set_store_faults(
        cluster,
        Faults {
            delay_ms: 300,
            ..Faults::default()
        },
    );
    let (key, _) = key_owned_by(cluster.routers.len(), |owner| owner != 0);
    let call = spawn_send(cluster, 0, &Call::reserve(&key, &format!("{key}/first")));
    wait_until("the claim is being written", || {
        is_claim_delayed(cluster, &key)
    });
    (key, call)
}

/// Guards against a run by another router after the router that claimed the key was killed.
#[test]
fn router_killed_between_claim_and_run() {
    let (cluster, key, first) = interrupted_claim(Process::kill);
    let first = first.join().unwrap();
    assert_eq!(first.status, 0, "{first:?}");
    for router in [1, 2] {
        let repeat = send(
            &cluster,
            router,
            &Call::reserve(&key, &format!("{key}/repeat")),
        );
        assert_eq!(repeat.work(), Some(Execution::Unknown), "{repeat:?}");
    }
    assert_eq!(runs_of(&cluster, &key), 0);
}

/// Guards against a router that is paused while it waits for a grant, and then runs the call
/// although the grant is too old and the outcome has been reported as unknown.
#[test]
fn router_paused_between_claim_and_run() {
    let (cluster, key, first) = interrupted_claim(|router| router.pause());
    let repeat = send(&cluster, 1, &Call::reserve(&key, &format!("{key}/repeat")));
    assert_eq!(repeat.work(), Some(Execution::Unknown), "{repeat:?}");
    cluster.routers[0].unpause();
    let first = first.join().unwrap();
    assert_eq!(first.work(), Some(Execution::NotRun), "{first:?}");
    assert_eq!(runs_of(&cluster, &key), 0);
}

/// Guards against calls to a backend server that turned one away and wants no other for a while.
#[test]
fn a_backend_server_that_wants_no_calls_gets_none() {
    let cluster = cluster(1, 1);
    let address = &cluster.routers[0].address;
    let turned_away = block_on(Call::status("first").fault("refuse@60").send(address));
    let later = block_on(Call::status("second").send(address));
    for reply in [turned_away, later] {
        assert_eq!(reply.work(), Some(Execution::NotRun), "{reply:?}");
        let retry_after = reply
            .problem
            .as_ref()
            .and_then(|problem| problem.retry_after);
        assert!(retry_after > Some(1), "{reply:?}");
    }
    assert_eq!(runs_of(&cluster, "second"), 0);
}

/// Guards against a claim that is granted twice or refused because the response to its store write
/// was lost; the owner must read back whether the write took effect.
#[test]
fn lost_store_responses_are_read_back() {
    let cluster = cluster(3, 1);
    set_store_faults(
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

/// Guards against an owner that still grants claims after a pause in which another router took over
/// its range.
#[test]
fn paused_owner_cannot_grant_again() {
    let cluster = cluster(3, 1);
    let (key, owner) = key_owned_by(3, |_| true);
    let (first, second) = ((owner + 1) % 3, (owner + 2) % 3);
    assert_eq!(
        send(&cluster, owner, &Call::reserve(&key, &format!("{key}/0"))).status,
        200
    );
    wait_until("the outcome is in the log", || {
        is_outcome_stored(&cluster, &key)
    });
    cluster.routers[owner].pause();
    for router in [first, second] {
        wait_until("the router no longer sees the paused one as live", || {
            live_count(&cluster, router) == 2
        });
    }
    let (key_during_pause, _) = key_owned_by(3, |other| other == owner);
    for (router, key) in [
        (first, &key),
        (second, &key),
        (first, &key_during_pause),
        (second, &key_during_pause),
    ] {
        let reply = send(
            &cluster,
            router,
            &Call::reserve(key, &format!("{key}/{router}")),
        );
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    cluster.routers[owner].unpause();
    let (key_after_pause, _) = key_owned_by(3, |other| other == owner);
    for router in [owner, first, owner, second] {
        for key in [&key, &key_during_pause, &key_after_pause] {
            let reply = send(
                &cluster,
                router,
                &Call::reserve(key, &format!("{key}/{router}")),
            );
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    for key in [&key, &key_during_pause, &key_after_pause] {
        assert_eq!(runs_of(&cluster, key), 1, "{key}");
    }
}

/// Guards against a router that takes no ranges after a pause because it waits to hear from a router
/// that shut down.
#[test]
fn paused_router_owns_ranges_again_after_another_left() {
    let mut cluster = cluster(3, 1);
    cluster.routers[2].terminate();
    cluster.routers[2].wait();
    for router in [0, 1] {
        wait_until("the router that left is not live", || {
            live_count(&cluster, router) == 2
        });
    }
    cluster.routers[1].pause();
    // A router notices pauses of at least 1.5 s.
    std::thread::sleep(Duration::from_secs(3));
    cluster.routers[1].unpause();
    wait_until("the paused router is live again", || {
        live_count(&cluster, 0) == 2
    });
    let (key, _) = key_owned_by(2, |owner| owner == 1);
    let call = Call::reserve(&key, &format!("{key}/0"));
    wait_until("a call with a key of the paused router is served", || {
        send(&cluster, 0, &call).status == 200
    });
}

/// Guards against an outcome that is lost because its claimant reports it to the former owner of the
/// range, which was cut off and does not know yet that the range was taken over.
#[test]
fn outcome_survives_the_return_of_a_former_owner() {
    let mut cluster = Cluster::start();
    cluster.backend("booking", &[]);
    let settings = keyed::settings_with_timeout(20_000);
    let peers = [0, 1].map(|_| cluster.proxied_router(&settings, 0));
    wait_for_cluster(&cluster, 2, 1);
    peers.iter().for_each(|proxy| proxy.set(Fault::Cut));
    for router in [0, 1] {
        wait_until("the routers do not see each other", || {
            live_count(&cluster, router) == 1
        });
    }
    let (key, _) = key_owned_by(2, |owner| owner == 1);
    let call = Call::reserve(&key, &format!("{key}/first")).fault("slow@8000");
    let running = spawn_send(&cluster, 0, &call);
    wait_until("the call runs", || runs_of(&cluster, &key) == 1);
    peers.iter().for_each(|proxy| proxy.set(Fault::Pass));
    wait_until("the claimant sees the former owner again", || {
        live_count(&cluster, 0) == 2
    });
    assert_eq!(running.join().unwrap().status, 200);
    wait_until("the outcome is in the log", || {
        is_outcome_stored(&cluster, &key)
    });
    let repeat = send(&cluster, 1, &Call::reserve(&key, &format!("{key}/repeat")));
    assert_eq!((repeat.status, repeat.replayed), (200, true), "{repeat:?}");
    assert_eq!(runs_of(&cluster, &key), 1);
}

/// Guards against calls that run without a recorded claim during an outage of the store, and
/// against an outage that also stops recorded responses and idempotent calls.
#[test]
fn store_outage_refuses_only_new_keys() {
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
    set_store_faults(
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
        assert_eq!(reply.work(), Some(Execution::NotRun), "{reply:?}");
        assert_eq!(reply.reason(), Some(Reason::StoreUnavailable));
        assert!(reply.problem.unwrap().retry_after.is_some());
    }
    assert!(replays(), "the owner holds the record");
    assert_eq!(send(&cluster, 2, &Call::status("status")).status, 200);
    set_store_faults(&cluster, Faults::default());
    for (number, key) in refused.iter().enumerate() {
        assert_eq!(runs_of(&cluster, key), 0, "{key}");
        let call = Call::reserve(key, &format!("{key}/later"));
        wait_until("the key can be used after the outage", || {
            send(&cluster, number % 3, &call).status == 200
        });
        assert_eq!(runs_of(&cluster, key), 1, "{key}");
    }
}

/// Guards against calls that wait forever on a connection that stays open without any data.
#[test]
fn silent_connections_do_not_block_calls() {
    let mut cluster = Cluster::start();
    let store = Proxy::start(&cluster.store.address);
    cluster.store.address = store.address().to_owned();
    let index = cluster.backend("booking", &[]);
    let backend = Proxy::start(&cluster.backends[index].address);
    let (name, domain) = (format!("backend-{index}"), domain(index));
    cluster.list(&name, Kind::Backend, backend.address(), &domain, "booking");
    let mut peers = Vec::new();
    for _ in 0..3 {
        peers.push(cluster.proxied_router(&keyed::shared_settings(), 0));
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
    // An idempotent call is retried on a new connection.
    let slow = spawn_send(&cluster, 0, &Call::status("slow").fault("slow@700"));
    wait_until("the call runs", || runs_of(&cluster, "slow") == 1);
    backend.set(Fault::Silence);
    let slow = slow.join().unwrap();
    assert_eq!((slow.status, slow.run()), (200, "slow"), "{slow:?}");
    // A call with a key is not retried; its outcome is unknown.
    let key = new_key();
    let call = Call::reserve(&key, &format!("{key}/0")).fault("slow@700");
    let silent = spawn_send(&cluster, 0, &call);
    wait_until("the call runs", || runs_of(&cluster, &key) == 1);
    backend.set(Fault::Silence);
    let silent = silent.join().unwrap();
    assert_eq!(silent.work(), Some(Execution::Unknown), "{silent:?}");
    assert_eq!(runs_of(&cluster, &key), 1);
}

/// Guards against a second run of a call whose claim was lost, because the store came back from an
/// older copy.
#[test]
fn a_call_whose_claim_was_lost_with_the_copy_is_not_run_again() {
    let mut cluster = cluster(3, 1);
    put(&cluster.store.address, "/v1/emulation/copy", &());
    let (key, owner) = key_owned_by(3, |_| true);
    let other = (owner + 1) % 3;
    let call = |name: &str| Call::reserve(&key, &format!("{key}/{name}"));
    assert_eq!(send(&cluster, other, &call("first")).status, 200);
    cluster.routers[owner].kill();
    put(&cluster.store.address, "/v1/emulation/restore", &());
    wait_until("a new owner refuses the repeat", || {
        let repeat = send(&cluster, other, &call("repeat"));
        repeat.work() == Some(Execution::Unknown)
    });
    assert_eq!(runs_of(&cluster, &key), 1);
}

/// Guards against an owner that stops for good, or grants keys as before, because the store came
/// back from an older copy while it held the range.
#[test]
fn an_owner_takes_its_ranges_over_again_in_a_restored_store() {
    let cluster = cluster(1, 1);
    put(&cluster.store.address, "/v1/emulation/copy", &());
    let (lost, later) = (new_key(), new_key());
    assert_eq!(send(&cluster, 0, &Call::reserve(&lost, "lost")).status, 200);
    put(&cluster.store.address, "/v1/emulation/restore", &());
    let reply = send(&cluster, 0, &Call::reserve(&later, "later"));
    assert_eq!(reply.work(), Some(Execution::Unknown), "{reply:?}");
    wait_until("the owner of the lost key has noticed the return", || {
        let repeat = send(&cluster, 0, &Call::reserve(&lost, "lost-repeat"));
        repeat.work() == Some(Execution::Unknown)
    });
    assert_eq!(runs(&cluster), [("lost".to_owned(), 1)].into());
}
