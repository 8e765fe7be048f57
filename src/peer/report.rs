//! Datagrams between gateways: what each host runs on each engine, has lost and has retried, and
//! the hosts it knows.

use std::collections::BTreeMap;
use std::net::IpAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::relay::handover;
use crate::rollout;
use crate::route::evidence::Evidence;
use crate::route::held::Sighting;
use crate::route::load::{EngineHash, Usage};
use crate::route::losses::Loss;
use crate::sched::demand::Counts;
use crate::sched::retry;

/// First byte of a datagram. A host drops datagrams of a format that its release does not know.
const FORMAT_VERSION: u8 = 5;

/// Maximum size of a datagram in bytes.
pub const BYTES_MAX: usize = 8192;

/// Total load of the hosts in a failure domain, as known to one of its representatives.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// The failure domain.
    pub domain: CompactString,
    /// Increases with each summary of the failure domain.
    pub number: u64,
    /// Random id of the representative's process.
    pub process: u64,
    /// Hosts of the domain whose reports reach the representative.
    pub hosts: Vec<IpAddr>,
    /// Load that these hosts put on each engine.
    pub usages: Vec<Usage>,
    /// Number of hosts that `retries` covers.
    pub retrying_hosts: usize,
    /// What these hosts used of the retry budgets.
    pub retries: Vec<retry::Usage>,
    /// What these hosts counted of limited services since the last summary, without teams.
    pub counts: Counts,
    /// Engines that these hosts lost a moment ago.
    pub losses: Vec<Loss>,
    /// What these hosts know of parts of prompts that crash engines.
    pub evidence: Evidence,
    /// Beginnings of prompts that these hosts saw engines read.
    pub sightings: Vec<Sighting>,
    /// What these hosts know of orders to roll a version out; `None` if they know of none yet.
    pub rollouts: Option<Vec<rollout::Mention>>,
}

/// Content of a datagram: the state of the host that sends it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Increases with each report of a host, also across restarts.
    pub number: u64,
    /// Random id of the process that sends it.
    pub process: u64,
    /// Failure domain of the host.
    pub domain: CompactString,
    /// Version of the host's configuration; 0 if it has none.
    pub revision: u64,
    /// Whether the host is shutting down.
    pub is_leaving: bool,
    /// Whether the receiver is asked to answer with a report. Reports without this flag are never
    /// answered, so two hosts cannot answer each other endlessly.
    pub is_question: bool,
    /// Other hosts by failure domain. Those of the sender's own domain report to the sender.
    pub hosts: BTreeMap<CompactString, Vec<IpAddr>>,
    /// Load that the host puts on each engine.
    pub usages: Vec<Usage>,
    /// What the host used of the retry budgets.
    pub retries: Vec<retry::Usage>,
    /// What the host counted of limited services since its last report to all recipients.
    pub counts: Counts,
    /// Engines that the host lost a moment ago.
    pub losses: Vec<Loss>,
    /// Engines whose removal the store told the host a moment ago.
    pub removals: Vec<EngineHash>,
    /// What the host knows of parts of prompts that crash engines.
    pub evidence: Evidence,
    /// Beginnings of prompts that the host saw engines read.
    pub sightings: Vec<Sighting>,
    /// What the host knows of orders to roll a version out; `None` if it does not know yet.
    pub rollouts: Option<Vec<rollout::Mention>>,
    /// The host's running streams that another host may resume.
    pub streams: Vec<handover::Stream>,
    /// Summaries of failure domains; only representatives send them.
    pub summaries: Vec<Summary>,
}

/// Why a datagram cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The format is unknown, probably that of another release.
    #[error("the datagram has an unknown format; run the same release on all hosts")]
    Format,
    /// The datagram is truncated or corrupted.
    #[error("the datagram is malformed: {0}")]
    Malformed(#[from] postcard::Error),
}

impl Report {
    /// Encodes the report as a datagram.
    ///
    /// # Errors
    /// [`Error::Malformed`] if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(postcard::to_extend(self, vec![FORMAT_VERSION])?)
    }

    /// Decodes a datagram into a report.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        match bytes.split_first() {
            Some((&FORMAT_VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
            _ => Err(Error::Format),
        }
    }
}
