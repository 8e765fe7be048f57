//! Jobs that are submitted to the scheduler, and its decisions about them.

use std::time::Duration;

use compact_str::CompactString;

use crate::http::problem::Reason;
use crate::route::fleet::{Engine, Need};
use crate::wire::Rank;

slotmap::new_key_type! {
    /// Key of a job that waits or runs.
    pub struct Ticket;
}

/// A request to run on an engine, as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Partner that pays for the work.
    pub partner: CompactString,
    /// Team of the partner.
    pub team: CompactString,
    /// Caller of the team.
    pub caller: CompactString,
    /// Urgency of the work.
    pub rank: Rank,
    /// Requirements on the engine.
    pub need: Need,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of output tokens.
    pub max_tokens: u32,
}

/// Level of the queue that is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Queue of the caller.
    Caller,
    /// Queue of the team.
    Team,
    /// Queue of the partner.
    Partner,
}

/// Reason why a job was not queued or not started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason that is reported to the caller.
    pub reason: Reason,
    /// Level of the full queue, if a bound for caller, team or partner was reached.
    pub scope: Option<Scope>,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal without a scope.
    pub fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            scope: None,
            retry_after,
        }
    }
}

/// Decision to start an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Start {
    /// Job to start.
    pub ticket: Ticket,
    /// Engine to start it on.
    pub engine: Engine,
    /// Priority in the engine's own queue.
    pub priority: Rank,
}
