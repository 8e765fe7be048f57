//! Whether a version answers worse than the one before it.

use super::tally::{Counts, Pair, Tally};

/// Lowest rate of bad answers that a sound version is assumed to have. Without it, a few failures would
/// be enough against a version whose predecessor had none.
const RATE_MIN: f64 = 0.01;

/// Part of the old version's answers that counts as slow. Answers of the new version above the same limit are
/// slow too.
const SLOW_PART: f64 = 0.1;

/// How much evidence against a version is needed for a decision.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    // Number of bad answers.
    bad_min: u32,
    // Probability with which chance explains them. It is low because every new answer is a further test.
    chance_max: f64,
    // Whether slow answers are evidence.
    has_times: bool,
}

/// Evidence on which a version is reverted.
pub const CLEAR: Evidence = Evidence {
    bad_min: 4,
    chance_max: 1e-4,
    has_times: true,
};

/// Evidence on which a version is reverted that has just got all requests. Its engines have read no
/// prompts yet, so that the first answers take longer.
pub const CLEAR_FAILURES: Evidence = Evidence {
    has_times: false,
    ..CLEAR
};

/// Evidence on which a version is not completed yet.
pub const SUSPICIOUS: Evidence = Evidence {
    bad_min: 3,
    chance_max: 2e-3,
    has_times: true,
};

/// Answers, and how many of them are bad.
#[derive(Clone, Copy, Debug)]
struct Sample {
    bad: u32,
    total: u32,
}

/// Returns whether there is this evidence that the new version is worse than the old one, on one route
/// or on all together.
pub fn is_bad(tally: &Tally, evidence: Evidence) -> bool {
    let mut pairs = tally.routes.values();
    pairs.any(|pair| is_worse(pair, evidence)) || is_worse(&tally.all(), evidence)
}

fn is_worse(pair: &Pair, evidence: Evidence) -> bool {
    let limit = pair.old.bucket_with_rest(SLOW_PART);
    // An answer in the bucket after the limit may be just above it.
    let slow = |counts: &Counts| Sample {
        bad: counts.above(limit + 1),
        total: counts.begun(),
    };
    let failed = |counts: &Counts| Sample {
        bad: counts.failed,
        total: counts.total(),
    };
    exceeds(failed(&pair.new), failed(&pair.old), evidence)
        || (evidence.has_times && exceeds(slow(&pair.new), slow(&pair.old), evidence))
}

/// Returns whether the rate of bad answers in `new` is above that in `old` by more than chance.
///
/// The probability of at least as many bad answers at the old rate is bounded by Chernoff's inequality.
fn exceeds(new: Sample, old: Sample, evidence: Evidence) -> bool {
    if new.bad < evidence.bad_min {
        return false;
    }
    let old_rate = (f64::from(old.bad) + 1.0) / (f64::from(old.total) + 1.0);
    let old_rate = old_rate.max(RATE_MIN);
    let rate = f64::from(new.bad) / f64::from(new.total);
    if rate <= old_rate {
        return false;
    }
    f64::from(new.total) * divergence(rate, old_rate) > -evidence.chance_max.ln()
}

/// Returns the relative entropy of a coin with probability `p` from one with probability `q`.
fn divergence(p: f64, q: f64) -> f64 {
    let term = |p: f64, q: f64| if p > 0.0 { p * (p / q).ln() } else { 0.0 };
    term(p, q) + term(1.0 - p, 1.0 - q)
}
