//! Shutdown of routers and backend servers under load, with real processes.

mod support;

#[path = "support/keyed.rs"]
mod keyed;

use bilberrypost::http::problem::Reason;
use bilberrypost::load::client;
use bilberrypost::wire::Execution;
use keyed::{Call, Reply, cluster, key_owned_by, new_key, runs_of, wait_for_cluster};
use support::{Cluster, TEST_TIMEOUT, block_on, get, wait_until};

/// Sends a call from a new thread.
fn spawn_send(cluster: &Cluster, router: usize, call: &Call) -> std::thread::JoinHandle<Reply> {
    let (address, call) = (cluster.routers[router].address.clone(), call.clone());
    std::thread::spawn(move || block_on(call.send(&address)))
}

/// Returns whether the router's `/readyz` answers with a success status.
fn is_ready(cluster: &Cluster, router: usize) -> bool {
    let address = &cluster.routers[router].address;
    let request = hyper::Request::get("/readyz")
        .header("host", address)
        .body(http_body_util::Full::default())
        .unwrap();
    let exchange = block_on(bilberrypost::http::client::send(
        address,
        request,
        TEST_TIMEOUT,
    ));
    exchange.unwrap().head.status().is_success()
}

/// Guards against a leaving host that cuts running requests, refuses new ones before the load
/// balancer has noticed, or accepts new ones afterwards.
#[test]
fn leaving_host_finishes_running_requests() {
    let mut cluster = cluster(1, 1);
    cluster.engine(&[]);
    wait_until("the engine is known", || {
        let status: serde_json::Value = get(&cluster.routers[0].address, "/admin/v1/status");
        status["dispatch"]["engines"]["engine-0"]["version"] == "1"
    });
    let address = cluster.routers[0].address.clone();
    let stream = std::thread::spawn({
        let (address, call) = (address.clone(), support::call("Lanes:", 500, 7));
        move || block_on(client::complete(&address, &call))
    });
    let call = Call::status("slow").fault("slow@4500");
    let slow = spawn_send(&cluster, 0, &call);
    wait_until("the call runs", || runs_of(&cluster, "slow") >= 1);
    cluster.routers[0].terminate();
    wait_until("the host is not ready", || !is_ready(&cluster, 0));
    let lagging = block_on(Call::reserve(&new_key(), "lagging").send(&address));
    assert_eq!(lagging.status, 200, "{lagging:?}");
    wait_until("new work is refused", || {
        let late = block_on(Call::status("late").send(&address));
        late.reason() == Some(Reason::Leaving) && late.work() == Some(Execution::NotRun)
    });
    let late = block_on(Call::reserve(&new_key(), "refused").send(&address));
    assert_eq!(late.reason(), Some(Reason::Leaving), "{late:?}");
    assert_eq!(runs_of(&cluster, "refused"), 0);
    let slow = slow.join().unwrap();
    assert_eq!((slow.status, slow.run()), (200, "slow"), "{slow:?}");
    let stream = stream.join().unwrap();
    assert!(stream.complete, "{:?} {:?}", stream.problem, stream.failure);
    assert_eq!(cluster.routers[0].wait(), Some(0));
    assert!(!cluster.log(0).contains("request_cut"));
}

/// Guards against a host that never stops because of one hanging request, and against one that cuts
/// the request without a log line.
#[test]
fn second_signal_and_drain_limit_cut_requests() {
    for has_limit in [false, true] {
        let mut cluster = Cluster::start();
        cluster.backend("booking", &[]);
        let settings = if has_limit {
            "drain_limit_ms = 2500\n"
        } else {
            ""
        };
        cluster.router_with(&keyed::shared_settings(), 0, settings);
        wait_for_cluster(&cluster, 1, 1);
        let call = Call::status("hung").fault("slow@60000");
        let hung = spawn_send(&cluster, 0, &call);
        wait_until("the call runs", || runs_of(&cluster, "hung") >= 1);
        cluster.routers[0].terminate();
        if !has_limit {
            wait_until("the host is not ready", || !is_ready(&cluster, 0));
            cluster.routers[0].terminate();
        }
        assert_eq!(cluster.routers[0].wait(), Some(0));
        let log = cluster.log(0);
        assert!(
            log.contains("event=drain_cut host=router-0 requests=1"),
            "{log}"
        );
        assert!(
            log.contains("event=request_cut request=\"POST /status\""),
            "{log}"
        );
        assert_eq!(hung.join().unwrap().status, 0);
    }
}

/// Guards against claim ranges that stay with a host that has left, and against outcomes that it
/// loses.
#[test]
fn leaving_host_hands_over_ranges() {
    let mut cluster = cluster(3, 1);
    let (key, owner) = key_owned_by(3, |_| true);
    let address = cluster.routers[owner].address.clone();
    let call = Call::reserve(&key, &format!("{key}/first")).fault("slow@2500");
    let first = spawn_send(&cluster, owner, &call);
    wait_until("the call runs", || runs_of(&cluster, &key) == 1);
    cluster.routers[owner].terminate();
    let others: Vec<_> = (0..3).filter(|router| *router != owner).collect();
    let ranges_held_by = |router: usize| -> usize {
        let status: serde_json::Value = get(&cluster.routers[router].address, "/admin/v1/status");
        status["ranges"].as_array().unwrap().len()
    };
    wait_until("the others hold all ranges", || {
        others
            .iter()
            .map(|router| ranges_held_by(*router))
            .sum::<usize>()
            == 4
    });
    let new_key_of_left_host = key_owned_by(3, |other| other == owner).0;
    let call = Call::reserve(&new_key_of_left_host, &format!("{new_key_of_left_host}/0"));
    let reply = block_on(call.send(&cluster.routers[others[0]].address));
    assert_eq!(reply.status, 200, "{reply:?}");
    let first = first.join().unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(cluster.routers[owner].wait(), Some(0));
    assert!(!address.is_empty());
    // The host stopped only after the new owner had confirmed the outcome.
    for router in others {
        let repeat = Call::reserve(&key, &format!("{key}/repeat"));
        let repeat = block_on(repeat.send(&cluster.routers[router].address));
        assert!(repeat.replayed, "{repeat:?}");
        assert_eq!(repeat.run(), first.run());
    }
    assert_eq!(runs_of(&cluster, &key), 1);
}

/// Guards against calls that are sent to a backend server that has announced its shutdown.
#[test]
fn leaving_backend_gets_no_work() {
    let cluster = cluster(1, 2);
    support::post(&cluster.backends[0].address, "/v1/emulation/leave");
    for number in 0..10 {
        let key = new_key();
        let call = Call::reserve(&key, &format!("call-{number}"));
        let reply = block_on(call.send(&cluster.routers[0].address));
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let runs: std::collections::BTreeMap<String, u64> =
        get(&cluster.backends[0].address, "/v1/emulation/runs");
    assert!(runs.is_empty(), "{runs:?}");
    assert_eq!(runs_of(&cluster, "call-"), 10);
}
