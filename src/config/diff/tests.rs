use super::*;
use crate::config::ini::File;

/// Guards against a change missing from the output, and against key digests in the output.
#[test]
fn lists_each_change_without_key_digests() {
    let digest = |digit: &str| digit.repeat(64);
    let settings = |share: u32, key: &str, rest: &str| {
        let text = format!(
            "[partner a]\nshare = {share}\n[team t]\npartner = a\n\
             [caller c]\nteam = t\nkey_sha256 = {key}\n{rest}"
        );
        SharedSettings::from_files(&[File::parse("s.ini", &text).unwrap()]).unwrap()
    };
    let old = settings(50, &digest("a"), "[service x]\ntimeout_ms = 5\n");
    let new = settings(60, &digest("b"), "[service y]\ntimeout_ms = 5\n");
    let expected = [
        "callers.c.key_sha256: changed",
        "partners.a.cost_share: 50 -> 60",
        "partners.a.share: 50 -> 60",
        "services.x.timeout: 5 -> removed",
        "services.y.timeout: added 5",
    ];
    assert_eq!(lines(&old, &new), expected);
    assert!(lines(&old, &old).is_empty());
}
