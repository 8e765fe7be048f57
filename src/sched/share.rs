//! Division of places by share.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::lease::Class;
use crate::config::split::SharedSettings;
use crate::wire::Rank;

/// Weight of work whose partner has no share, as while hosts have different splits in force.
const UNKNOWN_SHARE: f64 = 1e-3;

/// What partners may claim.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Shares relative to each other.
    pub partners: BTreeMap<CompactString, f64>,
    /// Least part of a partner's places that its routine work keeps, 0 to 1.
    pub routine_floor: f64,
}

impl Shares {
    /// Reads the shares of a split.
    pub fn of(split: &SharedSettings) -> Self {
        let partners = split.partners.iter();
        let floor = split.target(Rank::Routine).floor_percent;
        Self {
            partners: partners
                .map(|(name, partner)| (name.clone(), f64::from(partner.share)))
                .collect(),
            routine_floor: f64::from(floor) / 100.0,
        }
    }

    /// Returns the share of a partner.
    pub fn get(&self, partner: &str) -> f64 {
        self.partners.get(partner).copied().unwrap_or(UNKNOWN_SHARE)
    }

    /// Divides `capacity` places among classes that want the given numbers of places.
    ///
    /// Each partner gets what it wants up to its share, its urgent work first and its routine work
    /// at least the floor. What partners leave is lent by share, to urgent work first. So urgent
    /// work beyond its partner's share never takes what another partner wants within its own.
    pub fn divide(&self, capacity: u32, wants: &BTreeMap<Class, u32>) -> BTreeMap<Class, f64> {
        let capacity = f64::from(capacity);
        let mut partners: BTreeMap<&CompactString, [f64; 2]> = BTreeMap::new();
        for (class, wanted) in wants {
            partners.entry(&class.partner).or_default()[index(class.rank)] += f64::from(*wanted);
        }
        let unknown = partners
            .keys()
            .filter(|name| !self.partners.contains_key(**name))
            .count();
        let total = self.partners.values().sum::<f64>() + unknown as f64 * UNKNOWN_SHARE;
        let mut got: Vec<[f64; 2]> = Vec::new();
        for (name, [urgent, routine]) in &partners {
            let own = (urgent + routine).min(capacity * self.get(name) / total);
            let floor = routine.min(own * self.routine_floor);
            let urgent = urgent.min(own - floor);
            got.push([urgent, own - urgent]);
        }
        for rank in [Rank::Urgent, Rank::Routine] {
            let rank = index(rank);
            let left = capacity - got.iter().flatten().sum::<f64>();
            let asks: Vec<_> = partners
                .iter()
                .zip(&got)
                .map(|((name, wanted), got)| (self.get(name), wanted[rank] - got[rank]))
                .collect();
            let lent = max_min(left, &asks);
            got.iter_mut()
                .zip(lent)
                .for_each(|(got, lent)| got[rank] += lent);
        }
        let names: Vec<_> = partners.keys().copied().collect();
        let place = |class: &Class| names.binary_search(&&class.partner).unwrap_or(0);
        wants
            .keys()
            .map(|class| (class.clone(), got[place(class)][index(class.rank)]))
            .collect()
    }
}

fn index(rank: Rank) -> usize {
    match rank {
        Rank::Urgent => 0,
        Rank::Routine => 1,
    }
}

/// Divides `total` by weighted max-min among asks of (weight, amount).
pub fn max_min(total: f64, asks: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..asks.len()).collect();
    let level = |at: usize| asks[at].1 / asks[at].0.max(f64::MIN_POSITIVE);
    order.sort_by(|a, b| level(*a).total_cmp(&level(*b)));
    let mut weights: f64 = asks.iter().map(|(weight, _)| weight).sum();
    let mut left = total.max(0.0);
    let mut got = vec![0.0; asks.len()];
    for at in order {
        let (weight, amount) = asks[at];
        got[at] = amount.max(0.0).min(left * weight / weights.max(weight));
        left -= got[at];
        weights -= weight;
    }
    got
}

/// Divides `total` places among askers evenly, none more than it wants; the remainder goes to the
/// askers from `first` on.
pub fn level(total: u32, wants: &[u32], first: usize) -> Vec<u32> {
    let mut got = vec![0; wants.len()];
    let mut left = total.min(wants.iter().sum());
    while left > 0 {
        let open: Vec<_> = (0..wants.len())
            .map(|offset| (first + offset) % wants.len())
            .filter(|at| got[*at] < wants[*at])
            .collect();
        let each = (left / open.len() as u32).max(1);
        for at in open {
            let more = each.min(wants[at] - got[at]).min(left);
            got[at] += more;
            left -= more;
        }
    }
    got
}

/// Rounds amounts to whole numbers whose sum is `total` or the rounded sum, whichever is less.
///
/// Amounts with the largest fractions are rounded up.
pub fn round<K: Clone + Ord>(amounts: &BTreeMap<K, f64>, total: u32) -> BTreeMap<K, u32> {
    let sum = amounts.values().sum::<f64>().round() as u32;
    let mut rounded: BTreeMap<K, u32> = amounts
        .iter()
        .map(|(key, amount)| (key.clone(), amount.max(0.0) as u32))
        .collect();
    let mut fractions: Vec<_> = amounts.iter().collect();
    fractions.sort_by(|(_, a), (_, b)| b.fract().total_cmp(&a.fract()));
    let mut left = total.min(sum).saturating_sub(rounded.values().sum());
    for (key, _) in fractions {
        if left == 0 {
            break;
        }
        *rounded.entry(key.clone()).or_default() += 1;
        left -= 1;
    }
    rounded
}

/// Reduces places in proportion to at most `limit` in total.
pub fn trim<K: Clone + Ord>(places: BTreeMap<K, u32>, limit: u32) -> BTreeMap<K, u32> {
    let total: u32 = places.values().sum();
    if total <= limit {
        return places;
    }
    let ratio = f64::from(limit) / f64::from(total);
    let scaled = places
        .into_iter()
        .map(|(key, count)| (key, f64::from(count) * ratio))
        .collect();
    round(&scaled, limit)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn shares() -> Shares {
        let partners = [("a", 50.0), ("b", 30.0), ("c", 20.0)];
        Shares {
            partners: partners
                .into_iter()
                .map(|(name, share)| (name.into(), share))
                .collect(),
            routine_floor: 0.1,
        }
    }

    /// Guards against shares that are not held, idle shares that are not lent, floods that take
    /// what others want, and urgent work that leaves no floor.
    #[test]
    fn divides_by_share() {
        // Wanted urgent and routine places of a, b and c, and what they get of 100.
        let cases = [
            ([0, 900, 0, 900, 0, 900], [0, 50, 0, 30, 0, 20]),
            ([0, 900, 0, 0, 0, 900], [0, 71, 0, 0, 0, 29]),
            ([900, 900, 0, 30, 0, 20], [45, 5, 0, 30, 0, 20]),
            ([900, 900, 0, 10, 0, 10], [75, 5, 0, 10, 0, 10]),
            ([0, 20, 0, 900, 900, 0], [0, 20, 0, 30, 50, 0]),
            ([10, 10, 10, 10, 10, 10], [10, 10, 10, 10, 10, 10]),
            ([40, 20, 0, 0, 0, 0], [40, 20, 0, 0, 0, 0]),
        ];
        for (wants, expected) in cases {
            let classes = ["a", "b", "c"].into_iter().flat_map(|partner| {
                [Rank::Urgent, Rank::Routine].map(|rank| Class {
                    partner: partner.into(),
                    rank,
                })
            });
            let wants: BTreeMap<_, _> = classes.zip(wants).collect();
            let got = round(&shares().divide(100, &wants), 100);
            let got: Vec<_> = got.into_values().collect();
            assert_eq!(got, expected, "{wants:?}");
        }
    }

    /// Guards against an unequal or incomplete division among hosts.
    #[test]
    fn levels_whole_places() {
        let cases: [(u32, &[u32], usize, &[u32]); 6] = [
            (10, &[9, 9, 2], 0, &[4, 4, 2]),
            (2, &[5, 5, 5, 5], 2, &[0, 0, 1, 1]),
            (2, &[5, 5, 5, 5], 3, &[1, 0, 0, 1]),
            (100, &[1, 2, 3], 1, &[1, 2, 3]),
            (7, &[0, 0, 50], 0, &[0, 0, 7]),
            (7, &[], 0, &[]),
        ];
        for (total, wants, first, expected) in cases {
            assert_eq!(level(total, wants, first), expected, "{total} {wants:?}");
        }
    }

    /// Guards against places that appear or vanish by rounding.
    #[test]
    fn trims_to_the_limit() {
        for limit in 0..=30 {
            let places = BTreeMap::from([("a", 7), ("b", 0), ("c", 11), ("d", 2)]);
            let trimmed = trim(places.clone(), limit);
            assert_eq!(trimmed.values().sum::<u32>(), limit.min(20));
            assert!(trimmed.iter().all(|(name, count)| *count <= places[name]));
        }
    }
}
