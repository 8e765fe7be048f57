//! The dispatch task, which owns the scheduler, the host's view of the engines and the accounts of
//! partners, and the handle through which connection tasks talk to it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use compact_str::CompactString;
use serde::Serialize;

use crate::account::Ledger;
use crate::config::host::{EngineSelection, Host, Preemption, QueueOrder};
use crate::route::fleet::{Domain, Engine};
use crate::sched::job::Ticket;
use crate::sched::lease::Demand;
use crate::sched::share::Shares;
use crate::supervisor::Signal;
use crate::wire::{self, Rank};

mod handle;
mod task;

pub use handle::{FinishGuard, Handle};
pub use task::create;

/// Engine assigned to an attempt.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Request that the attempt belongs to.
    pub ticket: Ticket,
    /// Key of the engine in this host's view.
    pub engine: Engine,
    /// Name of the engine.
    pub name: CompactString,
    /// Address of the engine, `IP:PORT`.
    pub address: CompactString,
    /// Model version that the engine serves.
    pub version: CompactString,
    /// Priority in the engine's own queue.
    pub priority: Rank,
    /// Set when the attempt is preempted: its task cancels it and asks for a new placement.
    pub paused: Signal,
}

/// Scheduling and routing settings of this host.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    /// Name of the host, which seeds its random choices between engines.
    pub host: CompactString,
    /// Failure domain whose engines are preferred.
    pub failure_domain: CompactString,
    /// Order in which waiting work starts.
    pub order: QueueOrder,
    /// How engines are chosen.
    pub engine_selection: EngineSelection,
    /// What urgent work does while routine work uses all slots.
    pub preemption: Preemption,
}

impl Policy {
    /// Takes the policy from the settings of a host.
    pub fn from_host(host: &Host) -> Self {
        Self {
            host: host.name.clone(),
            failure_domain: match host.engine_selection {
                EngineSelection::Scored => host.failure_domain.clone(),
                EngineSelection::LeastLoaded => CompactString::default(),
            },
            order: host.queue_order,
            engine_selection: host.engine_selection,
            preemption: host.preemption,
        }
    }
}

/// Unhealthy state of an engine, as seen by a task that called it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The engine died, or its stream stalled or went silent.
    Failed,
    /// The engine is shutting down and accepts no new requests.
    Leaving,
    /// The engine did not answer a status request.
    Unanswered,
}

/// Scheduler state as shown on the status page for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Overview {
    /// Requests that wait for an engine.
    pub waiting: usize,
    /// Requests that run on an engine.
    pub running: usize,
    /// Engines by name.
    pub engines: BTreeMap<CompactString, EngineView>,
    /// Accounts by partner.
    pub ledger: Ledger,
}

/// An engine as this host sees it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineView {
    /// Model version that the engine serves.
    pub version: CompactString,
    /// Streams that this host runs there.
    pub own: u32,
    /// Load that the engine reported last.
    pub load: wire::Load,
    /// Whether the engine is shutting down and accepts no new requests.
    pub leaving: bool,
}

/// An engine to poll for its status.
#[derive(Clone, Debug)]
pub struct PollTarget {
    /// Key of the engine in this host's view.
    pub engine: Engine,
    /// Address, `IP:PORT`.
    pub address: CompactString,
    /// Sequence number of the first cache event that this host has not seen.
    pub next_seq: u64,
    /// When the engine last reported its load; `None` before the first report.
    pub reported_at: Option<Instant>,
}

/// Data from which the reports to the allocators are made.
#[derive(Clone, Debug, Default)]
pub struct ReportInput {
    /// Slots wanted and in use on this host, and work done since the last report.
    pub demand: Demand,
    /// Failure domains of the engines that this host uses.
    pub domains: BTreeMap<CompactString, Domain>,
    /// Shares in force.
    pub shares: Shares,
    /// Routers in the platform's list.
    pub routers: BTreeSet<CompactString>,
}
