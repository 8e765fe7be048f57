//! Publishing of shared settings and their distribution to all hosts, with real processes and a
//! faulty store.

mod support;

use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bilberrypost::config::revision::{CURRENT_KEY, Current};
use bilberrypost::load::client;
use bilberrypost::store::objects::{Client, Objects};
use serde_json::{Value, json};
use support::{Cluster, block_on, call, get, is_ready, run, shared_settings, wait_until};

fn with_share(share: usize) -> String {
    shared_settings().replace("share = 50", &format!("share = {share}"))
}

fn settings_file(cluster: &Cluster, share: usize) -> String {
    cluster.write(&format!("share-{share}.ini"), &with_share(share))
}

fn publish(cluster: &Cluster, author: &str, share: usize) -> (i32, String) {
    let (operator, file) = (cluster.operator(), settings_file(cluster, share));
    run(&["publish", "-c", &operator, "--author", author, &file])
}

fn publish_in_background(cluster: &Cluster, author: &str, share: usize) -> Child {
    let (operator, file) = (cluster.operator(), settings_file(cluster, share));
    Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .args(["publish", "-c", &operator, "--author", author, &file])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn revision(address: &str) -> u64 {
    let status: Value = get(address, "/admin/v1/status");
    status["config"]["revision"].as_u64().unwrap()
}

/// Waits until this revision is in force on all routers; panics if one has a later revision or is
/// not ready.
fn wait_for_revision(cluster: &Cluster, number: u64) {
    for router in &cluster.routers {
        let address = &router.address;
        wait_until("the revision is in force", || revision(address) >= number);
        assert_eq!(revision(address), number);
        assert!(is_ready(address));
    }
}

fn read_current(cluster: &Cluster) -> Option<Current> {
    let store = Client::new(&cluster.store.address);
    let object = block_on(store.get(CURRENT_KEY)).unwrap();
    object.map(|object| serde_json::from_slice(&object.body).unwrap())
}

fn seeds_setting(cluster: &Cluster) -> String {
    let addresses = cluster.routers.iter();
    let addresses: Vec<_> = addresses
        .map(|router| router.field("peer_address").unwrap())
        .collect();
    format!("seeds = {}\n", addresses.join(" "))
}

/// Starts a cluster and publishes revision 1, which all routers then have in force.
fn cluster(routers: usize) -> Cluster {
    let mut cluster = Cluster::start();
    for _ in 0..routers {
        let seeds = seeds_setting(&cluster);
        cluster.published_router(&seeds);
    }
    assert!(!is_ready(&cluster.routers[0].address));
    let (code, printed) = publish(&cluster, "anna", 50);
    assert_eq!(code, 0, "{printed}");
    wait_for_revision(&cluster, 1);
    cluster
}

/// Guards against two racing publishers that both report success for one revision, against a race
/// that nobody wins, and against hosts that miss a revision.
#[test]
fn racing_publishers_get_distinct_revisions() {
    let cluster = cluster(3);
    let mut expected = 1;
    for round in 0..4 {
        let shares: Vec<_> = (0..4).map(|author| 100 + 10 * round + author).collect();
        let racing = shares.iter().enumerate();
        let racing: Vec<_> = racing
            .map(|(author, share)| {
                publish_in_background(&cluster, &format!("author-{author}"), *share)
            })
            .collect();
        let codes: Vec<_> = racing
            .into_iter()
            .map(|mut child| child.wait().unwrap().code().unwrap())
            .collect();
        assert!(codes.iter().all(|code| [0, 3].contains(code)), "{codes:?}");
        let winners = codes.iter().filter(|code| **code == 0).count() as u64;
        assert!(winners > 0, "{codes:?}");
        expected += winners;
        assert_eq!(read_current(&cluster).unwrap().latest.revision, expected);
    }
    wait_for_revision(&cluster, expected);
}

/// Guards against a publisher that overwrites a revision newer than its `--base`, and against a
/// refusal that does not list the changes.
#[test]
fn outdated_base_is_refused_with_the_changes() {
    let cluster = cluster(1);
    assert_eq!(publish(&cluster, "bert", 60).0, 0);
    let (operator, file) = (cluster.operator(), settings_file(&cluster, 70));
    let args = [
        "publish", "-c", &operator, "--author", "carl", "--base", "1",
    ];
    let (code, printed) = run(&[&args[..], &[&file]].concat());
    assert_eq!(code, 3, "{printed}");
    assert!(printed.contains("revision 2 by bert"), "{printed}");
    assert!(
        printed.contains("partners.nubeatlas.share: 50 -> 60"),
        "{printed}"
    );
    assert_eq!(read_current(&cluster).unwrap().latest.revision, 2);
}

/// Guards against a publisher that reports a failure for a write that took effect, or writes twice,
/// when answers of the store are lost.
#[test]
fn publisher_survives_lost_answers() {
    let cluster = cluster(2);
    cluster.store_faults(&json!({"lost_answers": 0.5}));
    for share in 51..55 {
        let (code, printed) = publish(&cluster, "anna", share);
        assert_eq!(code, 0, "{printed}");
    }
    wait_for_revision(&cluster, 5);
}

/// Guards against hosts that return to an older revision because of a stale read of the store.
#[test]
fn stale_reads_do_not_revert() {
    let mut cluster = cluster(3);
    assert_eq!(publish(&cluster, "anna", 60).0, 0);
    wait_for_revision(&cluster, 2);
    cluster.store_faults(&json!({"stale_reads": 1.0}));
    cluster.restart_router(1);
    let address = cluster.routers[1].address.clone();
    let mut seen = Vec::new();
    wait_until("the restarted host is ready", || {
        seen.push(revision(&address));
        is_ready(&address)
    });
    assert!(!seen.contains(&1), "{seen:?}");
    wait_for_revision(&cluster, 2);
    cluster.store_faults(&json!({"stale_reads": 0.5}));
    // A publisher that reads an old version fails at the conditional write, and is run again here.
    wait_until("a publisher succeeds", || {
        publish(&cluster, "bert", 70).0 == 0
    });
    let latest = |cluster: &Cluster| {
        (0..20)
            .filter_map(|_| read_current(cluster))
            .map(|current| current.latest.revision)
            .max()
    };
    assert_eq!(latest(&cluster), Some(3));
    wait_for_revision(&cluster, 3);
}

/// Guards against requests that fail during an outage of the store and the membership list, and
/// against a host that cannot start during one.
#[test]
fn outage_of_store_and_membership_list() {
    let mut cluster = cluster(3);
    for _ in 0..2 {
        cluster.engine(&[]);
    }
    let addresses: Vec<_> = cluster.routers.iter().map(|r| r.address.clone()).collect();
    let assert_answers = |address: &str, seed| {
        let answer = block_on(client::complete(address, &call("Sky notes:", 30, seed)));
        assert!(answer.complete, "{answer:?}");
    };
    for address in &addresses {
        wait_until("the router sees the engines", || {
            let status: Value = get(address, "/admin/v1/status");
            let engines = status["dispatch"]["engines"].as_object().unwrap();
            engines.values().filter(|e| e["version"] != "").count() == 2
        });
    }
    cluster.store_faults(&json!({"outage": true}));
    support::put(&cluster.members.address, "/v1/emulation/outage", &true);
    for round in 0..10 {
        addresses
            .iter()
            .for_each(|address| assert_answers(address, round));
    }
    let settings = seeds_setting(&cluster);
    let late = cluster.published_router(&settings);
    let address = cluster.routers[late].address.clone();
    wait_until("the host started in the outage is ready", || {
        is_ready(&address)
    });
    assert_eq!(revision(&address), 1);
    wait_until("the host started in the outage sees the engines", || {
        let status: Value = get(&address, "/admin/v1/status");
        status["dispatch"]["engines"].as_object().unwrap().len() == 2
    });
    assert_answers(&address, 99);
    cluster.store_faults(&json!({"outage": false}));
    assert_eq!(publish(&cluster, "anna", 60).0, 0);
    wait_for_revision(&cluster, 2);
}

/// Guards against a host that accepts requests before it has shared settings.
#[test]
fn host_without_settings_refuses_requests() {
    let mut cluster = Cluster::start();
    cluster.store_faults(&json!({"outage": true}));
    cluster.published_router("seeds = 127.0.0.1:1\n");
    let address = cluster.routers[0].address.clone();
    let answer = block_on(client::complete(&address, &call("Sky notes:", 5, 1)));
    let problem = answer.problem.expect("a refusal");
    assert_eq!(problem.reason.as_str(), "no-settings");
    assert!(!is_ready(&address));
    cluster.store_faults(&json!({"outage": false}));
    assert_eq!(publish(&cluster, "anna", 50).0, 0);
    wait_for_revision(&cluster, 1);
}

/// Guards against a partly written revision that takes effect, and against chunks of a killed
/// publisher that are never deleted.
#[test]
fn publisher_killed_between_chunks_and_current_changes_nothing() {
    let cluster = cluster(2);
    // The answer to the first chunk never arrives, so the publisher does not write config/current.
    cluster.store_faults(&json!({"lost_answers": 1.0}));
    let mut publisher = publish_in_background(&cluster, "bert", 90);
    let store = Client::new(&cluster.store.address);
    let chunks = || block_on(store.list("config/chunks/")).unwrap().len();
    wait_until("the chunk is in the store", || chunks() == 2);
    publisher.kill().unwrap();
    publisher.wait().unwrap();
    cluster.store_faults(&json!({}));
    assert_eq!(read_current(&cluster).unwrap().latest.revision, 1);
    wait_for_revision(&cluster, 1);
    assert_eq!(publish(&cluster, "anna", 60).0, 0);
    wait_for_revision(&cluster, 2);
    assert_eq!(chunks(), 2);
}

/// Guards against an undo that lowers the revision number, against hosts missing from the status,
/// and against a status that routers give out to a wrong key.
#[test]
fn undo_history_diff_and_status() {
    let cluster = cluster(2);
    let operator = cluster.operator();
    assert_eq!(publish(&cluster, "bert", 60).0, 0);
    let undo = [
        "publish", "-c", &operator, "--author", "carl", "--wait", "undo", "1",
    ];
    let (code, printed) = run(&undo);
    assert_eq!(code, 0, "{printed}");
    assert!(printed.contains("on every live host hosts=2"), "{printed}");
    wait_for_revision(&cluster, 3);
    let (_, history) = run(&["publish", "-c", &operator, "history"]);
    assert_eq!(history.lines().count(), 3, "{history}");
    let (_, diff) = run(&["publish", "-c", &operator, "diff", "2", "3"]);
    assert!(
        diff.contains("partners.nubeatlas.share: 60 -> 50"),
        "{diff}"
    );
    let (code, status) = run(&["status", "-c", &operator]);
    assert_eq!(
        (code, status.matches("revision=3").count()),
        (0, 2),
        "{status}"
    );
    let unauthorized = cluster.write(
        "stranger.ini",
        &format!(
            "[operator]\nmembers = http://{}\nkey = another-key-than-the-routers\n",
            cluster.members.address
        ),
    );
    let (code, status) = run(&["status", "-c", &unauthorized]);
    assert_eq!(
        (code, status.matches("revision=unknown").count()),
        (4, 2),
        "{status}"
    );
    assert!(!(status + &printed).contains("another-key"));
}

/// Guards against settings above 1 MB that do not reach hosts from the store or from peers.
#[test]
fn large_settings_reach_all_hosts() {
    let mut cluster = cluster(3);
    let services: String = (0..30_000)
        .map(|number| format!("[service service-with-a-long-name-{number}]\n"))
        .collect();
    let file = cluster.write("large.ini", &(with_share(50) + &services));
    let operator = cluster.operator();
    let (code, printed) = run(&["publish", "-c", &operator, "--author", "anna", &file]);
    assert_eq!(code, 0, "{printed}");
    assert!(read_current(&cluster).unwrap().latest.chunks.len() > 1);
    wait_for_revision(&cluster, 2);
    cluster.store_faults(&json!({"outage": true}));
    let settings = seeds_setting(&cluster);
    cluster.published_router(&settings);
    wait_for_revision(&cluster, 2);
}

/// Guards against a change that reaches only the routers that watch the store, and against the
/// other routers calling the store for it.
#[test]
fn routers_without_a_watch_learn_from_peers() {
    let mut cluster = Cluster::start();
    for _ in 0..4 {
        cluster.published_router_in("fd-a", "");
    }
    assert_eq!(publish(&cluster, "anna", 50).0, 0);
    wait_for_revision(&cluster, 1);
    let config = |address: &str, field: &str| {
        let status: Value = get(address, "/admin/v1/status");
        status["config"][field].clone()
    };
    let addresses: Vec<_> = cluster.routers.iter().map(|r| r.address.clone()).collect();
    wait_until("two routers watch the store", || {
        let watching = addresses.iter().filter(|a| config(a, "watches") == true);
        watching.count() == 2
    });
    let others = addresses.iter().filter(|a| config(a, "watches") == false);
    let calls: Vec<_> = others.map(|a| (a, config(a, "store_calls"))).collect();
    assert_eq!(publish(&cluster, "anna", 60).0, 0);
    wait_for_revision(&cluster, 2);
    for (address, before) in calls {
        let added = config(address, "store_calls").as_u64().unwrap() - before.as_u64().unwrap();
        // The periodic recheck of the store may fall into this time: one call, or two with the
        // content.
        assert!(added <= 2, "{address} made {added} calls to the store");
    }
}

/// Guards against watches that hang on connections that no longer carry data.
#[test]
fn silent_connections_to_the_store_are_replaced() {
    let mut cluster = Cluster::start();
    let proxy = support::Proxy::start(&cluster.store.address);
    let direct = std::mem::replace(&mut cluster.store.address, proxy.address().into());
    for _ in 0..2 {
        cluster.published_router("");
    }
    cluster.store.address = direct;
    assert_eq!(publish(&cluster, "anna", 50).0, 0);
    wait_for_revision(&cluster, 1);
    std::thread::sleep(Duration::from_millis(300));
    proxy.set(bilberrypost::emulate::proxy::Fault::Silence);
    assert_eq!(publish(&cluster, "anna", 60).0, 0);
    wait_for_revision(&cluster, 2);
}

/// Guards against a published revision that hosts leave as old, because the store came back without
/// an earlier one with its number.
#[test]
fn a_revision_published_after_a_return_from_an_older_copy_is_in_force() {
    let cluster = cluster(2);
    support::put(&cluster.store.address, "/v1/emulation/copy", &());
    assert_eq!(publish(&cluster, "anna", 60).0, 0);
    wait_for_revision(&cluster, 2);
    support::put(&cluster.store.address, "/v1/emulation/restore", &());
    assert_eq!(read_current(&cluster).unwrap().latest.revision, 1);
    assert_eq!(publish(&cluster, "anna", 70).0, 0);
    let published = read_current(&cluster).unwrap().latest;
    wait_for_revision(&cluster, published.revision);
    for router in &cluster.routers {
        let status: Value = get(&router.address, "/admin/v1/status");
        assert_eq!(status["config"]["digest"], published.digest);
    }
}
