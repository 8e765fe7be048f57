use super::*;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Records losses at seconds after `start` and returns the order of the expected ones at `now_s`.
fn expected_order(losses: &[(&str, u64)], now_s: u64) -> String {
    let start = Instant::now();
    let at = |seconds: &u64| start + Duration::from_secs(*seconds);
    let mut rotation = Rotation::default();
    losses
        .iter()
        .for_each(|(domain, seconds)| rotation.record(domain, at(seconds)));
    let expected = DOMAINS.map(|domain| (rotation.next_loss(domain, at(&now_s)), domain));
    let mut expected: Vec<_> = expected.iter().filter(|(at, _)| at.is_some()).collect();
    expected.sort();
    expected.iter().map(|(_, domain)| *domain).collect()
}

/// Guards against replicas and prompts in the failure domain that is lost next, and against
/// expectations where domains are not lost in turn, or no longer.
#[test]
fn the_domain_lost_longest_ago_is_next_only_in_a_rotation() {
    type Losses<'a> = &'a [(&'a str, u64)];
    let cases: [(Losses<'_>, u64, &str); 9] = [
        (&[], 1, ""),
        (&[("a", 0), ("b", 3)], 4, ""),
        (&[("a", 0), ("c", 3), ("b", 6)], 7, "acb"),
        (&[("a", 0), ("c", 3), ("b", 6), ("a", 9)], 10, "cba"),
        (&[("a", 0), ("b", 6), ("a", 12)], 13, "ba"),
        // The same domain twice in a row, and one before its turn.
        (&[("a", 0), ("c", 3), ("b", 6), ("b", 9)], 10, ""),
        (&[("a", 0), ("c", 3), ("b", 6), ("c", 9)], 10, ""),
        // One cause for all domains, and a fault that has ended.
        (&[("a", 0), ("c", 0), ("b", 0)], 1, ""),
        (&[("a", 0), ("c", 3), ("b", 6)], 13, ""),
    ];
    for (losses, now_s, expected) in cases {
        assert_eq!(expected_order(losses, now_s), expected, "{losses:?}");
    }
}
