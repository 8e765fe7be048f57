//! Runs `bilberrypost check` on the example settings of the README.

use std::process::Command;

/// Guards against changes after which the examples are no longer accepted.
#[test]
fn examples_pass_the_check() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/examples");
    let files = ["host.ini", "gateway.ini", "nubeatlas.ini", "niederbach.ini"];
    let output = Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .arg("check")
        .args(files.map(|file| format!("{directory}/{file}")))
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
}
