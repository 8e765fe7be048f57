//! Rendezvous hashing: every host computes the same owner of a duty from the same candidates.
//!
//! A duty is work that one member does for the others, such as owning a range of claims.

use crate::util::hash64;

/// Returns the candidates in descending order of their hash weight for `duty`, the owner first.
///
/// When a candidate leaves, only the duties that it owned move.
pub fn ranked<'a>(duty: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let weight = |name: &str| hash64(&[duty.as_bytes(), name.as_bytes()]);
    let mut ranked: Vec<_> = candidates.into_iter().collect();
    ranked.sort_by_key(|name| (std::cmp::Reverse(weight(name)), *name));
    ranked
}

/// Returns the owner of a duty; `None` without candidates.
pub fn owner<'a>(duty: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    ranked(duty, candidates).into_iter().next()
}

#[cfg(test)]
mod tests;
