//! Choice of one engine among candidates whose load is known only from reports.
//!
//! Many hosts choose at the same time by the same reports, which are up to half a second old. If all
//! chose the engine with the least load, the requests of that time would queue there while others
//! are idle. A host therefore draws one of the engines that are about as good as the best.

use std::str::FromStr;

use super::registry::Engine;

/// How requests with a prompt are placed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// On the engine with the least load, see [`choose`].
    #[default]
    Load,
    /// On the engine from which the first event is expected soonest, see [`super::first_event`].
    FirstEvent,
}

/// The name of a policy is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("is not a way of placing; write first-event or load")]
pub struct UnknownPolicy;

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        match name {
            "first-event" => Ok(Self::FirstEvent),
            "load" => Ok(Self::Load),
            _ => Err(UnknownPolicy),
        }
    }
}

/// Prompt tokens to prefill that delay other requests as much as one running request does.
const BACKLOG_PER_RUNNING: u64 = 250;

/// Difference in running requests up to which engines count as equal. Their requests run at about
/// the same pace.
const TOLERANCE: u64 = 2;

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
    /// Prompt tokens that the engine prefills first, and a penalty for recent failures.
    pub backlog: u64,
    /// Running requests.
    pub running: u64,
}

impl Candidate {
    /// Groups of candidates that are tried one after the other.
    fn group(&self) -> (bool, bool) {
        (self.is_suspect, self.is_full)
    }

    /// Load in running requests.
    fn load(&self) -> u64 {
        let backlog = self.backlog / BACKLOG_PER_RUNNING;
        self.running.saturating_add(backlog)
    }
}

/// Chooses a candidate; `draw` is a random number. Of equal ones those in the own failure domain go
/// first, as traffic between domains costs money.
pub fn choose(candidates: &[Candidate], draw: u64) -> Option<Engine> {
    let group = candidates.iter().map(Candidate::group).min()?;
    let members = || candidates.iter().filter(|member| member.group() == group);
    let least = members().map(Candidate::load).min()?;
    let limit = least.saturating_add(TOLERANCE);
    let near = || members().filter(|member| member.load() <= limit);
    let has_own = near().any(|member| !member.is_remote && member.load() == least);
    let drawn = || near().filter(|member| !has_own || !member.is_remote);
    let count = drawn().count() as u64;
    let chosen = drawn().nth((draw % count) as usize)?;
    Some(chosen.engine)
}
