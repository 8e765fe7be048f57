//! Datagrams between gateways: what each host runs on which engine, and who else is there.

use std::collections::BTreeMap;
use std::net::IpAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::relay::handover;
use crate::route::load::Load;
use crate::util::hash64;

/// First byte of a datagram. A host of another release drops what it does not know.
const FORMAT: u8 = 1;

/// Greatest size of a datagram in bytes.
pub const BYTES_MAX: usize = 8192;

/// Short name of an engine: a digest of its id. Two engines of the same name would share what is
/// known of their load, which only makes a choice worse.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Name(u32);

impl Name {
    /// Returns the short name of the engine `id`.
    pub fn of(id: &str) -> Self {
        Self(hash64(&[id.as_bytes()]) as u32)
    }
}

/// What runs on one engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// The engine.
    pub engine: Name,
    /// Requests.
    pub running: u32,
    /// Prompt tokens of requests without output.
    pub reading: u32,
    /// Tokens in memory.
    pub memory: u32,
}

impl Usage {
    /// Creates the usage of an engine.
    pub fn new(engine: Name, load: Load) -> Self {
        let narrow = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        Self {
            engine,
            running: narrow(load.running),
            reading: narrow(load.reading),
            memory: narrow(load.memory),
        }
    }

    /// Returns what runs there. Sums of such loads do not overflow.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.into(),
            reading: self.reading.into(),
            memory: self.memory.into(),
        }
    }
}

/// What all hosts of a failure domain run together, as one of its representatives knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// The failure domain.
    pub domain: CompactString,
    /// Grows with each summary of a failure domain.
    pub number: u64,
    /// Hosts of the domain that are heard there.
    pub hosts: Vec<IpAddr>,
    /// What they run.
    pub usages: Vec<Usage>,
}

/// What a host tells others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Grows with each report of a host, also over its starts.
    pub number: u64,
    /// Failure domain of the host.
    pub domain: CompactString,
    /// Version of its configuration, 0 if it has none.
    pub revision: u64,
    /// Whether the host stops soon.
    pub is_leaving: bool,
    /// Whether it asks for a report of the host that gets it. Nothing else is answered, so that two
    /// hosts do not answer each other for ever.
    pub is_question: bool,
    /// Other hosts by failure domain; of its own, those that it hears.
    pub hosts: BTreeMap<CompactString, Vec<IpAddr>>,
    /// What it runs.
    pub usages: Vec<Usage>,
    /// Its running streams with replicas.
    pub streams: Vec<handover::Stream>,
    /// What failure domains run; sent by their representatives.
    pub summaries: Vec<Summary>,
}

/// Why a datagram cannot be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Another release wrote it.
    #[error("the datagram has another format; let all hosts run the same release")]
    Format,
    /// It is cut or spoiled.
    #[error("the datagram is malformed: {0}")]
    Malformed(#[from] postcard::Error),
}

impl Report {
    /// Encodes the report.
    ///
    /// # Errors
    /// [`Error::Malformed`] if the codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        Ok(postcard::to_extend(self, vec![FORMAT])?)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        match bytes.split_first() {
            Some((&FORMAT, rest)) => Ok(postcard::from_bytes(rest)?),
            _ => Err(Error::Format),
        }
    }
}
