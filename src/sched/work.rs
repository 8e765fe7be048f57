//! Work that asks to run, and what is decided about it.

use std::time::Duration;

use compact_str::CompactString;

use crate::http::problem::Reason;
use crate::route::fleet::{Engine, Need};
use crate::wire::Rank;

slotmap::new_key_type! {
    /// Names a request that waits or runs.
    pub struct Ticket;
}

/// Work that asks to run.
#[derive(Clone, Debug)]
pub struct Work {
    /// Partner that pays.
    pub partner: CompactString,
    /// Team of the partner.
    pub team: CompactString,
    /// Caller of the team.
    pub caller: CompactString,
    /// Rank.
    pub rank: Rank,
    /// What the work needs of an engine.
    pub need: Need,
    /// Tokens of prompt.
    pub prompt_tokens: u32,
    /// Greatest number of output tokens.
    pub max_tokens: u32,
}

/// Whose queue is full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// The caller's.
    Caller,
    /// The team's.
    Team,
    /// The partner's.
    Partner,
}

/// Why work was not taken or not started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// The full queue, if that is the reason.
    pub scope: Option<Scope>,
    /// Time after which a retry can succeed.
    pub retry_after: Duration,
}

impl Refusal {
    /// Creates a refusal; a retry can succeed after `retry_after`.
    pub fn new(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            scope: None,
            retry_after,
        }
    }
}

/// An attempt that is to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Start {
    /// The request.
    pub ticket: Ticket,
    /// The engine.
    pub engine: Engine,
    /// Its place in the engine's own queue.
    pub priority: Rank,
}
