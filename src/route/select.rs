//! Which engines of a model a host uses.

use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};

use crate::member::rendezvous;

/// Engines of a model that a host uses at most.
pub(super) const ENGINES_MAX: usize = 64;

/// Engines of the host's own failure domain among them while other domains have any. The rest keeps
/// places ready for the loss of the own domain's engines.
const NEAR_MAX: usize = 48;

/// Other failure domains in use if not all engines are. Each domain in use costs one report a second.
const FAR_DOMAINS: usize = 2;

/// Returns the engines that `host` uses, out of the names of each failure domain.
pub(super) fn select<'a>(
    host: &str,
    own_domain: &str,
    domains: &BTreeMap<&'a str, Vec<&'a str>>,
) -> Vec<&'a str> {
    if domains.values().map(Vec::len).sum::<usize>() <= ENGINES_MAX {
        return domains.values().flatten().copied().collect();
    }
    let duty = format_compact!("engines/{host}");
    let near = ranked(&duty, domains.get(own_domain));
    let others = domains
        .keys()
        .copied()
        .filter(|domain| *domain != own_domain);
    let far: Vec<_> = rendezvous::ranked(&duty, others)
        .into_iter()
        .take(FAR_DOMAINS)
        .map(|domain| ranked(&duty, domains.get(domain)))
        .collect();
    let far_count = far.iter().map(Vec::len).sum::<usize>();
    let near_count = near
        .len()
        .min(NEAR_MAX.max(ENGINES_MAX.saturating_sub(far_count)));
    let mut chosen = near[..near_count].to_vec();
    let longest = far.iter().map(Vec::len).max().unwrap_or(0);
    let alternating = (0..longest).flat_map(|at| far.iter().filter_map(move |names| names.get(at)));
    chosen.extend(alternating.take(ENGINES_MAX - near_count));
    chosen
}

fn ranked<'a>(duty: &CompactString, names: Option<&Vec<&'a str>>) -> Vec<&'a str> {
    rendezvous::ranked(duty, names.into_iter().flatten().copied())
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

    /// Guards against a host that uses too many engines or domains, or leaves engines of small fleets
    /// unused.
    #[test]
    fn bounds_engines_and_domains() {
        for (domains, engines, expected, near) in [
            (3, 35, 35, 12),
            (3, 64, 64, 22),
            (1, 200, 64, 64),
            (31, 4000, 64, 48),
            (31, 31, 31, 1),
        ] {
            let names = names(domains, engines);
            let domains = by_domain(&names);
            let chosen = select("router-1", "fd-0", &domains);
            let is_near = |name: &&&str| domains["fd-0"].contains(name);
            assert_eq!(chosen.len(), expected, "{engines}");
            assert_eq!(chosen.iter().filter(is_near).count(), near, "{engines}");
        }
    }

    /// Guards against engines that no host uses, and against all engines changing with one.
    #[test]
    fn spreads_hosts_and_moves_little() {
        let names = names(2, 600);
        let all = by_domain(&names);
        let mut users: BTreeMap<&str, u32> = BTreeMap::new();
        for host in 0..60 {
            for name in select(&format!("router-{host}"), "fd-0", &all) {
                *users.entry(name).or_default() += 1;
            }
        }
        let near = all["fd-0"].iter().filter(|name| users.contains_key(*name));
        assert_eq!(near.count(), 300);
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
