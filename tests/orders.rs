//! Orders to engines by the holder of a lease, with real processes.

mod support;

use bilberrypost::emulate::engine::Totals;
use bilberrypost::emulate::sampler::Sampler;
use bilberrypost::load::client;
use bilberrypost::wire;
use bilberrypost::wire::Action;
use serde_json::Value;
use support::{Cluster, block_on, call, get, run, split, wait_until};

const ENGINES: usize = 4;

fn publish(cluster: &Cluster, version: u32) {
    let split = split().replace("version = 1", &format!("version = {version}"));
    let settings = split + "[weight-store]\nloads_per_minute = 60\n";
    let file = cluster.write(&format!("version-{version}.ini"), &settings);
    let operator = cluster.operator();
    let (code, printed) = run(&["publish", "-c", &operator, "--author", "anna", &file]);
    assert_eq!(code, 0, "{printed}");
}

/// Three routers and engines of which every other one ignores fencing numbers.
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

fn holds(cluster: &Cluster, index: usize) -> bool {
    let status: Value = get(&cluster.routers[index].address, "/admin/v1/status");
    status["orders"]["holds"].as_bool().unwrap()
}

fn holder(cluster: &Cluster) -> Option<usize> {
    (0..3).find(|index| holds(cluster, *index))
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

fn all_have(cluster: &Cluster, version: &str) {
    wait_until("all engines have the version", || {
        versions(cluster).iter().all(|found| found == version)
    });
}

/// Guards against orders that are lost, repeated or not wanted.
#[test]
fn a_new_version_reaches_each_engine_once() {
    let cluster = cluster();
    publish(&cluster, 2);
    all_have(&cluster, "2");
    for totals in totals(&cluster) {
        let actions: Vec<_> = totals.orders.iter().map(|order| &order.action).collect();
        let expected = Action::Load {
            model: "atlas".into(),
            version: "2".into(),
        };
        assert_eq!(actions, [&expected]);
    }
}

/// Guards against a generation that goes on with another version than it began with.
#[test]
fn generations_in_flight_keep_their_version() {
    let cluster = cluster();
    let router = cluster.routers[0].address.clone();
    wait_until("the router sees the engines", || {
        let status: Value = get(&router, "/admin/v1/status");
        let engines = status["dispatch"]["engines"].as_object().unwrap();
        engines.values().filter(|e| e["version"] == "1").count() == ENGINES
    });
    let long = call("Sky notes: long.", 800, 7);
    let asked = long.clone();
    let answer = std::thread::spawn(move || block_on(client::complete(&router, &asked)));
    wait_until("the generation runs", || {
        totals(&cluster).iter().any(|totals| totals.decoded > 0)
    });
    publish(&cluster, 2);
    all_have(&cluster, "2");
    let answer = answer.join().unwrap();
    assert!(answer.complete, "{answer:?}");
    let sampler = Sampler::new("atlas", "1", &long.prompt, long.seed);
    let expected: Vec<_> = (0..800).map(|position| sampler.token(position)).collect();
    assert_eq!(answer.received, expected);
}

/// Guards against a holder that gives an order after its lease went to another, also on engines
/// that do not check.
#[test]
fn a_paused_holder_gives_no_order() {
    let cluster = cluster();
    let old = holder(&cluster).unwrap();
    publish(&cluster, 2);
    wait_until("the rollout has begun", || {
        totals(&cluster)
            .iter()
            .any(|totals| !totals.orders.is_empty())
    });
    cluster.routers[old].pause();
    // The paused router still has revision 2 and would load version 2 again.
    publish(&cluster, 3);
    all_have(&cluster, "3");
    cluster.routers[old].unpause();
    wait_until("the old holder knows that it lost", || {
        !holds(&cluster, old)
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
    all_have(&cluster, "3");
}

/// Guards against orders that wait for the end of a lease although its holder left.
#[test]
fn a_leaving_holder_gives_up_its_lease() {
    let mut cluster = cluster();
    let old = holder(&cluster).unwrap();
    cluster.routers[old].terminate();
    assert_eq!(cluster.routers[old].wait(), Some(0));
    let others = || (0..3).filter(|index| *index != old);
    wait_until("another router holds the lease", || {
        others().any(|index| holds(&cluster, index))
    });
    publish(&cluster, 2);
    all_have(&cluster, "2");
}
