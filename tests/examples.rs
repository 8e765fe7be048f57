//! The settings that the README shows.

use std::process::Command;

/// Guards against example settings that the program no longer accepts.
#[test]
fn examples_pass_the_check() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
    let files = ["host.ini", "gateway.ini", "nubeatlas.ini", "niederbach.ini"];
    let output = Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .arg("check")
        .args(files.map(|file| format!("{folder}/{file}")))
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
}
