use super::*;

fn names(domains: usize, engines: usize) -> Vec<(String, String)> {
    (0..engines)
        .map(|index| (format!("fd-{}", index % domains), format!("engine-{index}")))
        .collect()
}

fn by_domain(names: &[(String, String)]) -> BTreeMap<&str, Vec<&str>> {
    let mut domains: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (domain, name) in names {
        domains.entry(domain).or_default().push(name);
    }
    domains
}

/// Guards against a host that uses too many engines or domains, or that leaves engines of a
/// small fleet unused.
#[test]
fn limits_the_engines_and_domains_of_a_host() {
    for (domains, engines, expected, own_engines) in [
        (3, 35, 35, 12),
        (3, 64, 64, 22),
        (1, 200, 64, 64),
        (31, 4000, 64, 48),
        (31, 31, 31, 1),
    ] {
        let names = names(domains, engines);
        let domains = by_domain(&names);
        let chosen = select("router-1", "fd-0", &domains);
        let is_own = |name: &&&str| domains["fd-0"].contains(name);
        assert_eq!(chosen.len(), expected, "{engines}");
        assert_eq!(
            chosen.iter().filter(is_own).count(),
            own_engines,
            "{engines}"
        );
    }
}

/// Guards against engines that no host uses, and against a new choice of all engines when one
/// is lost.
#[test]
fn every_engine_is_used_and_a_lost_one_moves_no_others() {
    let names = names(2, 600);
    let all = by_domain(&names);
    let mut users: BTreeMap<&str, u32> = BTreeMap::new();
    for host in 0..60 {
        for name in select(&format!("router-{host}"), "fd-0", &all) {
            *users.entry(name).or_default() += 1;
        }
    }
    let own_engines = all["fd-0"].iter().filter(|name| users.contains_key(*name));
    assert_eq!(own_engines.count(), 300);
    let before = select("router-1", "fd-0", &all);
    let mut fewer = all.clone();
    fewer
        .get_mut("fd-0")
        .unwrap()
        .retain(|name| *name != before[0]);
    let after = select("router-1", "fd-0", &fewer);
    let kept = after.iter().filter(|name| before.contains(name)).count();
    assert_eq!(kept, ENGINES_MAX - 1);
}
