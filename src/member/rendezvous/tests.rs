use super::*;

/// Guards against a duty that moves although its owner stays.
#[test]
fn only_duties_of_a_removed_candidate_move() {
    let names: Vec<_> = (0..12).map(|number| format!("host-{number}")).collect();
    let all = || names.iter().map(String::as_str);
    for duty in 0..200 {
        let duty = format!("duty-{duty}");
        let before = owner(&duty, all()).unwrap();
        let after = owner(&duty, all().filter(|name| *name != "host-3")).unwrap();
        assert!(before == after || before == "host-3", "{duty}");
    }
}
