//! Limits the engines of a model that a host uses, so that its state and polling stay bounded in a
//! large fleet.

use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};

use crate::member::rendezvous;

/// Maximum number of engines of one model that a host uses.
pub(super) const ENGINES_MAX: usize = 64;

/// Engines of the host's own failure domain among them, if other domains have enough for the rest.
/// The rest is in other domains, so that the host has slots there when its own domain fails.
const OWN_DOMAIN_MAX: usize = 48;

/// Other failure domains in use, if not all engines are used. Each domain in use costs the host one
/// report a second.
const OTHER_DOMAINS_MAX: usize = 2;

/// Returns the names of the engines that `host` uses, out of the engines' names by failure domain.
///
/// Rendezvous hashing spreads the hosts over the engines, and keeps the choice when others leave.
pub(super) fn select<'a>(
    host: &str,
    own_domain: &str,
    domains: &BTreeMap<&'a str, Vec<&'a str>>,
) -> Vec<&'a str> {
    if domains.values().map(Vec::len).sum::<usize>() <= ENGINES_MAX {
        return domains.values().flatten().copied().collect();
    }
    let key = format_compact!("engines/{host}");
    let own_engines = ranked(&key, domains.get(own_domain));
    let other_domains = domains
        .keys()
        .copied()
        .filter(|domain| *domain != own_domain);
    let other_engines: Vec<_> = rendezvous::ranked(&key, other_domains)
        .into_iter()
        .take(OTHER_DOMAINS_MAX)
        .map(|domain| ranked(&key, domains.get(domain)))
        .collect();
    let other_count = other_engines.iter().map(Vec::len).sum::<usize>();
    let own_count = own_engines
        .len()
        .min(OWN_DOMAIN_MAX.max(ENGINES_MAX.saturating_sub(other_count)));
    let mut chosen = own_engines[..own_count].to_vec();
    let longest = other_engines.iter().map(Vec::len).max().unwrap_or(0);
    let alternating = (0..longest).flat_map(|index| {
        other_engines
            .iter()
            .filter_map(move |names| names.get(index))
    });
    chosen.extend(alternating.take(ENGINES_MAX - own_count));
    chosen
}

fn ranked<'a>(key: &CompactString, names: Option<&Vec<&'a str>>) -> Vec<&'a str> {
    rendezvous::ranked(key, names.into_iter().flatten().copied())
}

#[cfg(test)]
mod tests {
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
}
