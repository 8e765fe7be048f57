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
mod tests;
