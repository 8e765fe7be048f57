//! Tests of leases between router processes: the allocator's router is killed, or the routers cannot
//! reach each other.

mod support;

use bilberrypost::emulate::proxy::Fault;
use bilberrypost::load::client;
use bilberrypost::member::rendezvous;
use bilberrypost::wire::{Kind, Lifecycle, Member};
use serde_json::Value;
use support::{Cluster, Proxy, block_on, call, get, shared_settings, wait_until};

const ENGINES: usize = 3;
const SLOTS: u64 = 6;
const ROUTERS: usize = 3;

/// Starts three routers and three engines, one of each per failure domain, with an allocator for
/// each failure domain.
fn start() -> (Cluster, Vec<Proxy>) {
    start_with("region_pool_hosts = 0\n", ENGINES)
}

fn start_with(settings: &str, pools: usize) -> (Cluster, Vec<Proxy>) {
    let mut cluster = Cluster::start();
    cluster.settings = settings.into();
    for _ in 0..ENGINES {
        cluster.engine(&["--slots", "6"]);
    }
    let proxies = (0..ROUTERS)
        .map(|_| cluster.proxied_router(&shared_settings(), ENGINES))
        .collect();
    for index in 0..ROUTERS {
        wait_until("all leases are in force", || {
            leased(&cluster, index) == pools
        });
    }
    wait_until("the whole capacity is leased", || {
        (0..ROUTERS)
            .map(|index| slots(&cluster, index))
            .sum::<u64>()
            == SLOTS * ENGINES as u64
    });
    (cluster, proxies)
}

fn leases(cluster: &Cluster, router: usize) -> Vec<Value> {
    let status: Value = get(&cluster.routers[router].address, "/admin/v1/status");
    let leases = status["leases"].as_object().unwrap();
    leases.values().cloned().collect()
}

fn leased(cluster: &Cluster, router: usize) -> usize {
    let leases = leases(cluster, router);
    leases.iter().filter(|held| held["leased"] == true).count()
}

fn slots(cluster: &Cluster, router: usize) -> u64 {
    let leases = leases(cluster, router);
    let slots = leases.iter().map(|held| held["places"].as_u64().unwrap());
    slots.sum()
}

fn assert_serves(cluster: &Cluster, router: usize, seed: u64) {
    let call = call("Sky notes: stratus.", 20, seed);
    let answer = block_on(client::complete(&cluster.routers[router].address, &call));
    assert!(answer.complete, "{answer:?}");
}

/// Marks a router as leaving in the platform's list, which does not follow the kill by itself.
fn list_leaving(cluster: &Cluster, router: usize) {
    cluster.list_member(&Member {
        name: format!("router-{router}").into(),
        kind: Kind::Router,
        address: cluster.routers[router].address.as_str().into(),
        peer_address: None,
        failure_domain: support::domain(router).into(),
        region: "default".into(),
        state: Lifecycle::Leaving,
        service: "".into(),
    });
}

/// Guards against requests that wait for an allocator whose router was killed, and against capacity
/// that is never leased again after that.
#[test]
fn work_goes_on_without_the_allocators_router() {
    let (mut cluster, _proxies) = start();
    // Router 0 is the allocator of its failure domain.
    cluster.routers[0].kill();
    for seed in 0..5 {
        assert_serves(&cluster, 1, seed);
        assert_serves(&cluster, 2, seed);
    }
    wait_until("another router leases the domain", || {
        [1, 2]
            .iter()
            .all(|index| leased(&cluster, *index) == ENGINES)
    });
    list_leaving(&cluster, 0);
    wait_until("the share of the lost router is leased again", || {
        slots(&cluster, 1) + slots(&cluster, 2) == SLOTS * ENGINES as u64
    });
}

/// Guards against requests and leases that stop when the only allocator of a region is lost.
#[test]
fn work_goes_on_without_the_regions_allocator() {
    let (mut cluster, _proxies) = start_with("", 1);
    let names = ["router-0", "router-1", "router-2"];
    let owner = rendezvous::owner("sched/region/default", names).unwrap();
    let lost = names.iter().position(|name| *name == owner).unwrap();
    cluster.routers[lost].kill();
    let left: Vec<_> = (0..ROUTERS).filter(|index| *index != lost).collect();
    for index in &left {
        assert_serves(&cluster, *index, 7);
    }
    list_leaving(&cluster, lost);
    wait_until("the share of the lost router is leased again", || {
        let leased = left.iter().all(|index| leased(&cluster, *index) == 1);
        let total: u64 = left.iter().map(|index| slots(&cluster, *index)).sum();
        leased && total == SLOTS * ENGINES as u64
    });
}

/// Guards against a host that stops serving, or uses all slots itself, when it cannot reach its
/// peers.
#[test]
fn a_host_cut_off_from_its_peers_uses_a_safe_fraction() {
    let (cluster, proxies) = start();
    // Now each router sees only itself.
    proxies.iter().for_each(|proxy| proxy.set(Fault::Cut));
    for index in 0..ROUTERS {
        wait_until("the router uses its part of the capacity", || {
            slots(&cluster, index) == SLOTS * ENGINES as u64 / ROUTERS as u64
        });
        assert_serves(&cluster, index, 7);
    }
    proxies.iter().for_each(|proxy| proxy.set(Fault::Pass));
    for index in 0..ROUTERS {
        wait_until("leases are in force again", || {
            leased(&cluster, index) == ENGINES
        });
    }
    wait_until("no slot is leased twice", || {
        let total: u64 = (0..ROUTERS).map(|index| slots(&cluster, index)).sum();
        total == SLOTS * ENGINES as u64
    });
}

/// Guards against leases that are not renewed when an open connection stops delivering data.
#[test]
fn leases_survive_silent_connections() {
    let (cluster, proxies) = start();
    proxies.iter().for_each(|proxy| proxy.set(Fault::Silence));
    assert_serves(&cluster, 0, 3);
    std::thread::sleep(2 * bilberrypost::sched::lease::LEASE_TTL);
    for index in 0..ROUTERS {
        wait_until("leases are renewed over new connections", || {
            leased(&cluster, index) == ENGINES
        });
    }
}
