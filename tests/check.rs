//! Runs `bilberrypost check` on the cases in tests/settings.
//!
//! A case contains the files to check (`--- file NAME`), then the expected exit code (`--- exit N`)
//! and the complete expected output.

use std::path::Path;
use std::process::Command;

fn check(_path: &Path, case: String) -> datatest_stable::Result<()> {
    let directory = tempfile::tempdir()?;
    let (files, expected) = case
        .split_once("--- exit ")
        .ok_or("the case has no line `--- exit N`")?;
    let (code, expected) = expected
        .split_once('\n')
        .ok_or("the line `--- exit N` is not complete")?;
    let mut names = Vec::new();
    for file in files.split("--- file ").skip(1) {
        let (name, text) = file
            .split_once('\n')
            .ok_or("the line `--- file NAME` is not complete")?;
        std::fs::write(directory.path().join(name), text)?;
        names.push(name);
    }
    let output = Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .arg("check")
        .args(names)
        .current_dir(directory.path())
        .output()?;
    let printed = String::from_utf8([output.stdout, output.stderr].concat())?;
    assert_eq!(printed, expected);
    assert_eq!(output.status.code(), Some(code.parse()?));
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "tests/settings", pattern = r"\.case$" },
}
