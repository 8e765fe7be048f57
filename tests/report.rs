//! Service-level reports merged from several hosts by `bilberrypost report`.

mod support;

use std::process::Command;

use bilberrypost::load::client;
use bilberrypost::report::burn::{Burn, Indicator};
use support::{ADMIN_KEY, Cluster, block_on, call, shared_settings};

fn report(routers: &[String], key_file: &str) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .args(["report", "--json", "--admin-key-file", key_file])
        .args(routers)
        .output()
        .unwrap()
}

/// Guards against a report that omits the requests of a host, and against one that is returned
/// without the admin key or prints the key.
#[test]
fn counts_requests_of_all_hosts() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    std::fs::write(&key, ADMIN_KEY).unwrap();
    let mut cluster = Cluster::start();
    cluster.engine(&[]);
    for _ in 0..2 {
        let settings = format!("admin_key = {ADMIN_KEY}\n");
        cluster.router_with(&shared_settings(), 1, &settings);
    }
    let routers: Vec<_> = cluster.routers.iter().map(|r| r.address.clone()).collect();
    for router in &routers {
        let answer = block_on(client::complete(router, &call("Sky notes:", 10, 1)));
        assert!(answer.complete, "{answer:?}");
    }
    let output = report(&routers, key.to_str().unwrap());
    let burns: Vec<Burn> = serde_json::from_slice(&output.stdout).unwrap();
    let events = |indicator| {
        let mut found = burns.iter().filter(|burn| burn.line.indicator == indicator);
        found.next().map(|burn| burn.long.events)
    };
    assert_eq!(events(Indicator::FirstToken), Some(2));
    assert_eq!(events(Indicator::BetweenTokens), Some(18));
    assert_eq!(events(Indicator::Completion), Some(2));
    std::fs::write(&key, "another-key\n").unwrap();
    let output = report(&routers, key.to_str().unwrap());
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("check the administrator's key"), "{text}");
    assert!(!text.contains("another-key"), "{text}");
}
