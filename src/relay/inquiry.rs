//! Whether a caller that continues a stream may go on from the replica of an earlier run.
//!
//! The caller's request tells which runs may be its own: those of equal requests. A replica is used only
//! if a single such run is known to any host, that run no longer goes on at its host, and the hosts
//! have known all runs for longer than callers wait. Otherwise the run may be that of another caller.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::route::load::EngineHash;

/// Age of what is known of a run after which its replica is no longer used: the time for which an engine
/// keeps a replica after its run ended, less the age of a report on arrival.
const REPLICA_LIFETIME: Duration = Duration::from_millis(3500);

/// A caller waits for up to this fraction of its time before it tries again.
const RETRY_WAIT_DIVISOR: u32 = 3;

/// Longest time that a caller waits for a connection to a host that does not answer.
const CONNECT_WAIT_MAX: Duration = Duration::from_secs(1);

/// A run that a host knows of.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownRun {
    /// Id of the run, shortened if it is long.
    pub run: CompactString,
    /// Hash of the id of the engine that holds the replica; `None` if none may be used.
    pub replica: Option<EngineHash>,
    /// The host that relays the run, or did.
    pub host: SocketAddr,
    /// Time since the run was last known to go on.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Whether it goes on. Only its own host can tell; `false` in what other hosts tell.
    pub is_running: bool,
}

/// What one host knows of the runs of a request.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Its own runs and those of other hosts.
    pub runs: Vec<KnownRun>,
    /// For how long the host has known all runs that other hosts reported.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub known_for: Duration,
}

/// A replica that a stream goes on from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Id of the replicated run.
    pub run: CompactString,
    /// Hash of the id of the engine that holds the replica.
    pub engine: EngineHash,
}

/// Why no replica is known from which a reconnecting caller may go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Missing {
    /// No run of the request is known.
    #[error("unknown-run")]
    Run,
    /// The run has no replica, or none that its engine still keeps.
    #[error("no-replica")]
    Replica,
    /// Several runs of equal requests are known.
    #[error("ambiguous-run")]
    Distinction,
    /// The run goes on at its host, so that it is that of another caller.
    #[error("running")]
    End,
    /// The host of the run did not tell whether it goes on.
    #[error("unconfirmed")]
    Confirmation,
    /// No host has known all runs for long enough to know the caller's for certain.
    #[error("short-history")]
    History,
}

impl Missing {
    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Run => "unknown-run",
            Self::Replica => "no-replica",
            Self::Distinction => "ambiguous-run",
            Self::End => "running",
            Self::Confirmation => "unconfirmed",
            Self::History => "short-history",
        }
    }
}

/// Returns the longest time between the end of a caller's run and its next try, by the time that its route
/// allows for a request.
pub fn reconnect_time_max(route_timeout: Duration) -> Duration {
    route_timeout / RETRY_WAIT_DIVISOR + CONNECT_WAIT_MAX
}

/// A run as told by its own host or by another one.
#[derive(Debug)]
struct Told {
    run: KnownRun,
    is_by_own_host: bool,
}

impl Told {
    /// Returns whether this tells more than `known`: its own host knows best, others by their last report.
    fn is_better_than(&self, known: &Self) -> bool {
        self.is_by_own_host || (!known.is_by_own_host && self.run.age < known.run.age)
    }
}

/// What all hosts told of the runs of a request.
#[derive(Debug, Default)]
pub struct Inquiry {
    // What is known of each run.
    runs: BTreeMap<CompactString, Told>,
    // Hosts that told their own runs, or whose process is gone.
    settled: BTreeSet<SocketAddr>,
    known_for: Duration,
}

impl Inquiry {
    /// Adds what `host` told.
    pub fn record(&mut self, host: SocketAddr, account: Account) {
        self.settled.insert(host);
        self.known_for = self.known_for.max(account.known_for);
        for run in account.runs {
            let id = run.run.clone();
            let is_by_own_host = run.host == host;
            let told = Told {
                run,
                is_by_own_host,
            };
            let known = self.runs.get(&id);
            if known.is_none_or(|known| told.is_better_than(known)) {
                self.runs.insert(id, told);
            }
        }
    }

    /// Records that the process of `host` is gone, and its runs with it.
    pub fn record_gone(&mut self, host: SocketAddr) {
        self.settled.insert(host);
    }

    /// Returns the hosts of known runs of which it is not known whether they go on there.
    pub fn unsettled(&self) -> BTreeSet<SocketAddr> {
        let hosts = self.runs.values().map(|told| told.run.host);
        hosts.filter(|host| !self.settled.contains(host)).collect()
    }

    /// Returns the host of the only known run if it goes on there.
    pub fn only_run_host(&self) -> Option<SocketAddr> {
        let mut runs = self.runs.values().map(|told| &told.run);
        match (runs.next(), runs.next()) {
            (Some(run), None) if run.is_running => Some(run.host),
            _ => None,
        }
    }

    /// Returns for how long the host with the longest memory has known all reported runs.
    pub fn known_for(&self) -> Duration {
        self.known_for
    }

    /// Returns the replica of the run that the caller goes on with. `reconnect_time_max` is the longest time
    /// since the end of that run.
    ///
    /// # Errors
    /// [`Missing`] if there is none, or if it may be that of another run.
    pub fn conclude(&self, reconnect_time_max: Duration) -> Result<Replica, Missing> {
        let mut runs = self.runs.values().map(|told| &told.run);
        let run = match (runs.next(), runs.next()) {
            (None, _) => return Err(Missing::Run),
            (Some(run), None) => run,
            (Some(_), Some(_)) => return Err(Missing::Distinction),
        };
        let is_held = run.age < REPLICA_LIFETIME;
        let engine = run.replica.filter(|_| is_held).ok_or(Missing::Replica)?;
        if run.is_running {
            return Err(Missing::End);
        }
        if !self.settled.contains(&run.host) {
            return Err(Missing::Confirmation);
        }
        if self.known_for < reconnect_time_max {
            return Err(Missing::History);
        }
        Ok(Replica {
            run: run.run.clone(),
            engine,
        })
    }
}
