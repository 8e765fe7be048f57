//! Completions through real processes: caller, router and engines.

mod support;

use bilberrypost::load::client;
use support::{Cluster, assert_exact, block_on, call, shared_settings};

/// Guards against missing, repeated or wrong tokens when no component fails.
#[test]
fn answers_every_token() {
    let mut cluster = Cluster::start();
    cluster.engine(&[]);
    cluster.router(&shared_settings(), 1);
    let call = call("Sky notes: cirrus.", 50, 7);
    let answer = block_on(client::complete(&cluster.routers[0].address, &call));
    assert_exact(&answer);
}

/// Guards against a generation that fails, or loses or repeats tokens, when its engine dies.
#[test]
fn resumes_on_another_engine_after_a_death() {
    let mut cluster = Cluster::start();
    for _ in 0..2 {
        cluster.engine(&[]);
    }
    cluster.router(&shared_settings(), 2);
    let call = call("Sky notes: [fault die@20/1]", 60, 7);
    let answer = block_on(client::complete(&cluster.routers[0].address, &call));
    assert_exact(&answer);
}

/// Guards against a load tool that does not count or check all calls.
#[test]
fn load_checks_every_answer() {
    let mut cluster = Cluster::start();
    for _ in 0..2 {
        cluster.engine(&[]);
    }
    cluster.router(&shared_settings(), 2);
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    std::fs::write(&key, support::CALLER_KEY).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .args([
            "load",
            &cluster.routers[0].address,
            "--json",
            "--seconds",
            "2",
        ])
        .args(["--max-tokens", "20", "--key-file"])
        .arg(&key)
        .output()
        .unwrap();
    let summary: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(output.status.success(), "{summary}");
    let number = |name: &str| summary[name].as_u64().unwrap();
    assert!(number("calls") > 0, "{summary}");
    assert_eq!(number("complete"), number("calls"), "{summary}");
    assert_eq!(number("tokens"), 20 * number("calls"), "{summary}");
}
