use super::*;

/// Guards against a retention that lets a record be deleted while a host with a slow clock
/// still accepts its key.
#[test]
fn records_outlive_accepted_keys() {
    let key = Key::parse("018bcfe5-6800-7000-8000-000000000001").unwrap();
    let issued = key.issued_ms();
    assert_eq!(issued, 1_700_000_000_000);
    assert!(key.is_acceptable(issued + 600_000) && key.is_acceptable(issued - 60_000));
    assert!(!key.is_acceptable(issued + 600_001) && !key.is_acceptable(issued - 60_001));
    assert_eq!(RETENTION, KEY_AGE_MAX + 2 * CLOCK_SKEW_MAX);
    for other in ["", "018bcfe5-6800-4000-8000-000000000001", "018bcfe5"] {
        assert!(Key::parse(other).is_none(), "{other}");
    }
}
