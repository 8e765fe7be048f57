//! Division of slots among partners by share, and among hosts.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::lease::Class;
use crate::config::split::SharedSettings;
use crate::wire::Rank;

/// Share of a partner without one. This happens while hosts have different shared settings in force.
const UNKNOWN_SHARE: f64 = 1e-3;

/// Shares of the partners, and the minimum for routine work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Share by partner; only the ratios matter.
    pub partners: BTreeMap<CompactString, f64>,
    /// Fraction of a partner's slots that is reserved for its routine work, 0 to 1.
    pub routine_floor: f64,
}

impl Shares {
    /// Takes the shares from the shared settings.
    pub fn from_settings(settings: &SharedSettings) -> Self {
        let partners = settings.partners.iter();
        let floor = settings.target(Rank::Routine).floor_percent;
        Self {
            partners: partners
                .map(|(name, partner)| (name.clone(), f64::from(partner.share)))
                .collect(),
            routine_floor: f64::from(floor) / 100.0,
        }
    }

    /// Returns the share of a partner, or a tiny one if it has none.
    pub fn get(&self, partner: &str) -> f64 {
        self.partners.get(partner).copied().unwrap_or(UNKNOWN_SHARE)
    }

    /// Divides `capacity` slots among classes that want the given numbers of slots.
    ///
    /// Each partner gets what it wants up to its share: urgent work first, but routine work gets at
    /// least the floor. Slots that partners leave unused are lent to the others by share, urgent
    /// work first. So urgent work beyond its partner's share never takes slots that another partner
    /// wants within its share.
    pub fn divide(&self, capacity: u32, wants: &BTreeMap<Class, u32>) -> BTreeMap<Class, f64> {
        let capacity = f64::from(capacity);
        let mut partners: BTreeMap<&CompactString, [f64; 2]> = BTreeMap::new();
        for (class, wanted) in wants {
            partners.entry(&class.partner).or_default()[rank_index(class.rank)] +=
                f64::from(*wanted);
        }
        let unknown_partners = partners
            .keys()
            .filter(|name| !self.partners.contains_key(**name))
            .count();
        let total = self.partners.values().sum::<f64>() + unknown_partners as f64 * UNKNOWN_SHARE;
        let mut allotted: Vec<[f64; 2]> = Vec::new();
        for (name, [urgent, routine]) in &partners {
            let own = (urgent + routine).min(capacity * self.get(name) / total);
            let floor = routine.min(own * self.routine_floor);
            let urgent = urgent.min(own - floor);
            allotted.push([urgent, own - urgent]);
        }
        for rank in [Rank::Urgent, Rank::Routine] {
            let rank = rank_index(rank);
            let remaining = capacity - allotted.iter().flatten().sum::<f64>();
            let demands: Vec<_> = partners
                .iter()
                .zip(&allotted)
                .map(|((name, wanted), allotted)| (self.get(name), wanted[rank] - allotted[rank]))
                .collect();
            let lent = max_min(remaining, &demands);
            allotted
                .iter_mut()
                .zip(lent)
                .for_each(|(allotted, lent)| allotted[rank] += lent);
        }
        let names: Vec<_> = partners.keys().copied().collect();
        let position = |class: &Class| names.binary_search(&&class.partner).unwrap_or(0);
        wants
            .keys()
            .map(|class| {
                (
                    class.clone(),
                    allotted[position(class)][rank_index(class.rank)],
                )
            })
            .collect()
    }
}

fn rank_index(rank: Rank) -> usize {
    match rank {
        Rank::Urgent => 0,
        Rank::Routine => 1,
    }
}

/// Divides `total` among demands of (weight, amount) by weighted max-min fairness.
pub fn max_min(total: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let demand_per_weight = |at: usize| demands[at].1 / demands[at].0.max(f64::MIN_POSITIVE);
    order.sort_by(|a, b| demand_per_weight(*a).total_cmp(&demand_per_weight(*b)));
    let mut weights: f64 = demands.iter().map(|(weight, _)| weight).sum();
    let mut remaining = total.max(0.0);
    let mut allotted = vec![0.0; demands.len()];
    for at in order {
        let (weight, amount) = demands[at];
        allotted[at] = amount
            .max(0.0)
            .min(remaining * weight / weights.max(weight));
        remaining -= allotted[at];
        weights -= weight;
    }
    allotted
}

/// Divides `total` slots evenly, none getting more than it wants; the remainder goes to the entries
/// from index `first` on.
pub fn divide_evenly(total: u32, wants: &[u32], first: usize) -> Vec<u32> {
    let mut allotted = vec![0; wants.len()];
    let mut remaining = total.min(wants.iter().sum());
    while remaining > 0 {
        let unsatisfied: Vec<_> = (0..wants.len())
            .map(|offset| (first + offset) % wants.len())
            .filter(|at| allotted[*at] < wants[*at])
            .collect();
        let each = (remaining / unsatisfied.len() as u32).max(1);
        for at in unsatisfied {
            let more = each.min(wants[at] - allotted[at]).min(remaining);
            allotted[at] += more;
            remaining -= more;
        }
    }
    allotted
}

/// Rounds amounts to whole numbers whose sum is `total` or the rounded sum of the amounts, whichever
/// is less. Amounts with the largest fractional parts are rounded up.
pub fn round_to_total<K: Clone + Ord>(amounts: &BTreeMap<K, f64>, total: u32) -> BTreeMap<K, u32> {
    let sum = amounts.values().sum::<f64>().round() as u32;
    let mut rounded: BTreeMap<K, u32> = amounts
        .iter()
        .map(|(key, amount)| (key.clone(), amount.max(0.0) as u32))
        .collect();
    let mut fractions: Vec<_> = amounts.iter().collect();
    fractions.sort_by(|(_, a), (_, b)| b.fract().total_cmp(&a.fract()));
    let mut remaining = total.min(sum).saturating_sub(rounded.values().sum());
    for (key, _) in fractions {
        if remaining == 0 {
            break;
        }
        *rounded.entry(key.clone()).or_default() += 1;
        remaining -= 1;
    }
    rounded
}

/// Scales counts down in proportion so that their sum is at most `limit`.
pub fn scale_down<K: Clone + Ord>(slots: BTreeMap<K, u32>, limit: u32) -> BTreeMap<K, u32> {
    let total: u32 = slots.values().sum();
    if total <= limit {
        return slots;
    }
    let ratio = f64::from(limit) / f64::from(total);
    let scaled = slots
        .into_iter()
        .map(|(key, count)| (key, f64::from(count) * ratio))
        .collect();
    round_to_total(&scaled, limit)
}

#[cfg(test)]
mod tests;
