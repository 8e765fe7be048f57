//! Orders to engines by the holder of the lease on orders, with real processes.

mod support;

use bilberrypost::emulate::engine::Totals;
use bilberrypost::emulate::sampler::Sampler;
use bilberrypost::load::client;
use bilberrypost::wire;
use bilberrypost::wire::Action;
use serde_json::Value;
use support::{Cluster, block_on, call, get, run, shared_settings, wait_until};

const ENGINES: usize = 4;

fn publish(cluster: &Cluster, version: u32) {
    let shared_settings = shared_settings().replace("version = 1", &format!("version = {version}"));
    let settings = shared_settings + "[weight-store]\nloads_per_minute = 60\n";
    let file = cluster.write(&format!("version-{version}.ini"), &settings);
    let operator = cluster.operator();
    let (code, printed) = run(&["publish", "-c", &operator, "--author", "anna", &file]);
    assert_eq!(code, 0, "{printed}");
}

/// Starts three routers and the engines, every second of which ignores fencing numbers, and waits
/// until one router holds the lease.
fn cluster() -> Cluster {
    let mut cluster = Cluster::start();
    for index in 0..ENGINES {
        cluster.engine(&["--fencing", ["check", "ignore"][index % 2]]);
    }
    publish(&cluster, 1);
    for _ in 0..3 {
        cluster.published_router("");
    }
    wait_until("one router holds the lease", || holder(&cluster).is_some());
    cluster
}

fn holds_lease(cluster: &Cluster, index: usize) -> bool {
    let status: Value = get(&cluster.routers[index].address, "/admin/v1/status");
    status["orders"]["holds"].as_bool().unwrap()
}

fn holder(cluster: &Cluster) -> Option<usize> {
    (0..3).find(|index| holds_lease(cluster, *index))
}

fn totals(cluster: &Cluster) -> Vec<Totals> {
    let engines = cluster.engines.iter();
    engines
        .map(|engine| get(&engine.address, "/v1/emulation/totals"))
        .collect()
}

fn versions(cluster: &Cluster) -> Vec<String> {
    let engines = cluster.engines.iter();
    let statuses = engines.map(|engine| get(&engine.address, "/v1/status?since=0"));
    statuses
        .map(|status: wire::Status| status.models[0].version.to_string())
        .collect()
}

fn wait_for_version(cluster: &Cluster, version: &str) {
    wait_until("all engines have the version", || {
        versions(cluster).iter().all(|found| found == version)
    });
}

/// Guards against lost, repeated and unneeded orders.
#[test]
fn a_new_version_reaches_each_engine_once() {
    let cluster = cluster();
    publish(&cluster, 2);
    wait_for_version(&cluster, "2");
    for totals in totals(&cluster) {
        let actions: Vec<_> = totals.orders.iter().map(|order| &order.action).collect();
        let expected = Action::Load {
            model: "atlas".into(),
            version: "2".into(),
        };
        assert_eq!(actions, [&expected]);
    }
}

/// Guards against a generation that continues with another model version than it started with.
#[test]
fn running_generations_keep_their_version() {
    let cluster = cluster();
    let router = cluster.routers[0].address.clone();
    wait_until("the router sees the engines", || {
        let status: Value = get(&router, "/admin/v1/status");
        let engines = status["dispatch"]["engines"].as_object().unwrap();
        engines.values().filter(|e| e["version"] == "1").count() == ENGINES
    });
    let call = call("Sky notes: long.", 800, 7);
    let sent = call.clone();
    let answer = std::thread::spawn(move || block_on(client::complete(&router, &sent)));
    wait_until("the generation runs", || {
        totals(&cluster).iter().any(|totals| totals.decoded > 0)
    });
    publish(&cluster, 2);
    wait_for_version(&cluster, "2");
    let answer = answer.join().unwrap();
    assert!(answer.complete, "{answer:?}");
    let sampler = Sampler::new("atlas", "1", &call.prompt, call.seed);
    let expected: Vec<_> = (0..800).map(|position| sampler.token(position)).collect();
    assert_eq!(answer.received, expected);
}

/// Guards against a paused holder that sends an order when it resumes although another router has
/// acquired the lease, also on engines that ignore fencing numbers.
#[test]
fn a_paused_holder_sends_no_order() {
    let cluster = cluster();
    let old = holder(&cluster).unwrap();
    publish(&cluster, 2);
    wait_until("the rollout has started", || {
        totals(&cluster)
            .iter()
            .any(|totals| !totals.orders.is_empty())
    });
    cluster.routers[old].pause();
    // The paused router still has revision 2 and would load version 2 again.
    publish(&cluster, 3);
    wait_for_version(&cluster, "3");
    cluster.routers[old].unpause();
    wait_until("the old holder knows that it lost the lease", || {
        !holds_lease(&cluster, old)
    });
    wait_until("the old holder has the new revision", || {
        let status: Value = get(&cluster.routers[old].address, "/admin/v1/status");
        status["config"]["revision"] == 3
    });
    for totals in totals(&cluster) {
        let orders = &totals.orders;
        assert!(orders.is_sorted_by_key(|order| order.fencing), "{orders:?}");
        let ids: std::collections::BTreeSet<_> = orders.iter().map(|order| &order.id).collect();
        assert_eq!(ids.len(), orders.len(), "{orders:?}");
        assert_eq!(totals.refused_orders, 0, "{orders:?}");
    }
    wait_for_version(&cluster, "3");
}

/// Guards against orders that wait until a lease expires although its holder has left.
#[test]
fn a_leaving_holder_releases_its_lease() {
    let mut cluster = cluster();
    let old = holder(&cluster).unwrap();
    cluster.routers[old].terminate();
    assert_eq!(cluster.routers[old].wait(), Some(0));
    let others = || (0..3).filter(|index| *index != old);
    wait_until("another router holds the lease", || {
        others().any(|index| holds_lease(&cluster, index))
    });
    publish(&cluster, 2);
    wait_for_version(&cluster, "2");
}
