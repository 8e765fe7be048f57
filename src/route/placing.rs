//! Choice of one engine among candidates whose load is known only from reports.
//!
//! Many hosts choose at the same time by the same reports, which are up to half a second old. If all
//! chose the engine with the least load, the requests of that time would queue there while others
//! are idle. A host therefore draws one of the engines that are about as good as the best. It prefers
//! its own failure domain, whose reports are the most recent and whose traffic costs nothing.

use super::registry::Engine;

/// Difference in running requests up to which engines without a backlog count as equal. Their
/// requests run at about the same pace.
const RUNNING_TOLERANCE: u64 = 3;

/// Difference in tokens up to which engines with a backlog count as equal, about half of a long
/// prompt.
const BACKLOG_TOLERANCE: u64 = 2000;

/// Tokens by which the backlog of an engine in another failure domain counts as larger.
const REMOTE_BACKLOG: u64 = 750;

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
    fn group(&self) -> (bool, bool, bool, bool) {
        let is_busy = self.backlog > 0;
        let is_idle_elsewhere = !is_busy && self.is_remote;
        (self.is_suspect, self.is_full, is_busy, is_idle_elsewhere)
    }

    /// Load that is compared within a group, and the difference that does not matter.
    fn load(&self) -> (u64, u64) {
        match self.backlog {
            0 => (self.running, RUNNING_TOLERANCE),
            backlog if self.is_remote => (backlog + REMOTE_BACKLOG, BACKLOG_TOLERANCE),
            backlog => (backlog, BACKLOG_TOLERANCE),
        }
    }
}

/// Chooses a candidate; `draw` is a random number.
pub fn choose(candidates: &[Candidate], draw: u64) -> Option<Engine> {
    let group = candidates.iter().map(Candidate::group).min()?;
    let members = || candidates.iter().filter(|member| member.group() == group);
    let least = members().map(|member| member.load().0).min()?;
    let is_near = |member: &&Candidate| {
        let (load, tolerance) = member.load();
        load <= least.saturating_add(tolerance)
    };
    let near = members().filter(is_near).count() as u64;
    let drawn = members().filter(is_near).nth((draw % near) as usize)?;
    Some(drawn.engine)
}
