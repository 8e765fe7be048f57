//! Choice of the engine from which the first event of a request is expected soonest.
//!
//! Many hosts choose at the same time by the same reports, which are up to half a second old. A host
//! therefore draws one of the good engines. The more prompts the engines read, the more choices of
//! other hosts are not in the reports yet, and the wider it draws.

use std::time::Duration;

use super::registry::Engine;

/// Difference in cost by which an engine is drawn `e` times less often, while all engines are idle and
/// many hosts choose.
const SPREAD: Duration = Duration::from_millis(100);

/// Lower bound of the scale, which keeps the draw defined for a host that chooses alone.
const SPREAD_MIN: Duration = Duration::from_micros(1);

/// Multiple of the scale of the draw above which an engine is not drawn. A much slower engine would else get
/// a request now and then.
const SCALES_MAX: f64 = 4.0;

/// Difference in cost up to which an engine of the own failure domain is preferred to the best one, as traffic
/// between failure domains costs money.
const EQUAL: Duration = Duration::from_millis(50);

/// Upper bound on the utilisation in [`slowdown`], whose formula has a pole at 1.
const USE_MAX: f64 = 0.7;

/// An engine that may get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: Engine,
    /// Whether the engine is probably lost.
    pub is_suspect: bool,
    /// Whether the request probably does not fit.
    pub is_full: bool,
    /// Whether the engine is in another failure domain than the host.
    pub is_remote: bool,
    /// Whether the engine reads a prompt now.
    pub is_reading: bool,
    /// Time until the engine begins to read the prompt.
    pub wait: Duration,
    /// Time to read what the engine does not hold of the prompt.
    pub reading: Duration,
}

impl Candidate {
    /// Groups of candidates that are tried one after the other.
    fn group(&self) -> (bool, bool) {
        (self.is_suspect, self.is_full)
    }

    /// Time until the prompt is read, and what its reading costs the requests behind it.
    fn cost(&self, slowdown: f64) -> Duration {
        self.wait + self.reading.mul_f64(slowdown)
    }
}

/// Returns the delay of all requests together per unit of work on the engines: in a queue with utilisation
/// `u`, each millisecond of work delays later requests by `u / (1 - u)`, so the sum is `1 / (1 - u)`.
fn slowdown(candidates: &[Candidate]) -> f64 {
    let reading = candidates.iter().filter(|member| member.is_reading).count();
    let used = reading as f64 / candidates.len() as f64;
    1.0 / (1.0 - used.min(USE_MAX))
}

/// Returns the difference in cost by which an engine is drawn `e` times less often, where `others` is the
/// number of hosts, or groups of hosts, that choose at the same time.
fn spread(others: usize, slowdown: f64) -> Duration {
    let unseen = others as f64 / (others + 1) as f64;
    SPREAD.mul_f64(slowdown * unseen).max(SPREAD_MIN)
}

/// Chooses a candidate. `others` is the number of hosts, or groups of hosts, that choose at the same
/// time, and `draw` a random number.
pub fn choose(candidates: &[Candidate], others: usize, draw: u64) -> Option<Engine> {
    let group = candidates.iter().map(Candidate::group).min()?;
    let slowdown = slowdown(candidates);
    let members = candidates.iter().filter(|member| member.group() == group);
    let costs: Vec<_> = members
        .map(|member| (member, member.cost(slowdown)))
        .collect();
    let least = costs.iter().map(|(_, cost)| *cost).min()?;
    // Traffic between failure domains costs money.
    let has_own = costs
        .iter()
        .any(|(member, cost)| !member.is_remote && *cost <= least + EQUAL);
    let drawn = costs
        .iter()
        .filter(|(member, _)| !has_own || !member.is_remote);
    let scale = spread(others, slowdown).as_secs_f64();
    let weights: Vec<_> = drawn
        .map(|(member, cost)| (member.engine, (*cost - least).as_secs_f64() / scale))
        .filter(|(_, scales)| *scales <= SCALES_MAX)
        .map(|(engine, scales)| (engine, (-scales).exp()))
        .collect();
    draw_weighted(&weights, draw)
}

/// Draws an engine with a probability that is proportional to its weight.
fn draw_weighted(weights: &[(Engine, f64)], draw: u64) -> Option<Engine> {
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let mut left = total * (draw as f64 / u64::MAX as f64);
    for (engine, weight) in weights {
        left -= weight;
        if left <= 0.0 {
            return Some(*engine);
        }
    }
    weights.last().map(|(engine, _)| *engine)
}
