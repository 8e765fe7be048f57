//! Membership of real routers.

mod support;

use bilberrypost::emulate::proxy::Fault;
use support::{Cluster, get, split, wait_until};

fn live(router: &str) -> Vec<String> {
    let status: serde_json::Value = get(router, "/admin/v1/status");
    let peers = status["live"].as_array().unwrap();
    let names = peers.iter().map(|peer| peer["name"].as_str().unwrap());
    names.map(str::to_owned).collect()
}

fn start(routers: usize) -> Cluster {
    let mut cluster = Cluster::start();
    for _ in 0..routers {
        cluster.router(&split(), 0);
    }
    for router in &cluster.routers {
        wait_until("all routers are live", || {
            live(&router.address).len() == routers
        });
    }
    cluster
}

/// Guards against a dead router that stays live because the platform's list still shows it.
#[test]
fn a_killed_router_is_found_dead() {
    let mut cluster = start(4);
    cluster.routers[1].kill();
    for index in [0, 2, 3] {
        let address = &cluster.routers[index].address;
        wait_until("the killed router is gone", || {
            !live(address).contains(&"router-1".to_owned())
        });
    }
}

/// Guards against a paused router that is never trusted again after it returns.
#[test]
fn a_paused_router_comes_back() {
    let cluster = start(3);
    cluster.routers[2].pause();
    let address = &cluster.routers[0].address;
    wait_until("the paused router is suspected", || {
        live(address).len() == 2
    });
    cluster.routers[2].unpause();
    wait_until("the router is live again", || live(address).len() == 3);
}

/// Guards against a leaving router that keeps its duties.
#[test]
fn a_leaving_router_is_not_live() {
    let mut cluster = start(3);
    cluster.routers[0].terminate();
    let address = cluster.routers[1].address.clone();
    wait_until("the leaving router is gone", || live(&address).len() == 2);
    assert_eq!(cluster.routers[0].wait(), Some(0));
}

/// Guards against a router that keeps duties although its answers reach nobody, and against one
/// that is forgotten after the cut has healed.
#[test]
fn a_router_cut_off_in_one_direction_is_not_live() {
    let mut cluster = start(3);
    let proxy = cluster.proxied_router(&split(), 0);
    let address = cluster.routers[0].address.clone();
    wait_until("all routers are live", || live(&address).len() == 4);
    proxy.set(Fault::BlockToClient);
    wait_until("the cut-off router is gone", || live(&address).len() == 3);
    proxy.set(Fault::Pass);
    wait_until("the router is live again", || live(&address).len() == 4);
}
