//! Membership of routers that run as real processes.

mod support;

use bilberrypost::emulate::proxy::Fault;
use support::{Cluster, get, shared_settings, wait_until};

/// Returns the names of the routers that the one at `address` shows as live.
fn live_routers(address: &str) -> Vec<String> {
    let status: serde_json::Value = get(address, "/admin/v1/status");
    let peers = status["live"].as_array().unwrap();
    let names = peers.iter().map(|peer| peer["name"].as_str().unwrap());
    names.map(str::to_owned).collect()
}

/// Starts a cluster and waits until each router shows all of them as live.
fn start(routers: usize) -> Cluster {
    let mut cluster = Cluster::start();
    for _ in 0..routers {
        cluster.router(&shared_settings(), 0);
    }
    for router in &cluster.routers {
        wait_until("all routers are live", || {
            live_routers(&router.address).len() == routers
        });
    }
    cluster
}

/// Guards against a dead router that counts as live because the platform's list still shows it.
#[test]
fn a_killed_router_is_not_live() {
    let mut cluster = start(4);
    cluster.routers[1].kill();
    for index in [0, 2, 3] {
        let address = &cluster.routers[index].address;
        wait_until("the killed router is no longer live", || {
            !live_routers(address).contains(&"router-1".to_owned())
        });
    }
}

/// Guards against a paused router that does not count as live again after it resumes.
#[test]
fn a_paused_router_is_live_again_after_it_resumes() {
    let cluster = start(3);
    cluster.routers[2].pause();
    let address = &cluster.routers[0].address;
    wait_until("the paused router is no longer live", || {
        live_routers(address).len() == 2
    });
    cluster.routers[2].unpause();
    wait_until("the router is live again", || {
        live_routers(address).len() == 3
    });
}

/// Guards against a leaving router that counts as live and so keeps its duties.
#[test]
fn a_leaving_router_is_not_live() {
    let mut cluster = start(3);
    cluster.routers[0].terminate();
    let address = cluster.routers[1].address.clone();
    wait_until("the leaving router is no longer live", || {
        live_routers(&address).len() == 2
    });
    assert_eq!(cluster.routers[0].wait(), Some(0));
}

/// Guards against a router that keeps its duties although its answers reach no one, and against one
/// that does not count as live again after the link is restored.
#[test]
fn a_router_whose_answers_are_lost_is_not_live() {
    let mut cluster = start(3);
    let proxy = cluster.proxied_router(&shared_settings(), 0);
    let address = cluster.routers[0].address.clone();
    wait_until("all routers are live", || live_routers(&address).len() == 4);
    proxy.set(Fault::BlockToClient);
    wait_until("the unreachable router is no longer live", || {
        live_routers(&address).len() == 3
    });
    proxy.set(Fault::Pass);
    wait_until("the router is live again", || {
        live_routers(&address).len() == 4
    });
}
