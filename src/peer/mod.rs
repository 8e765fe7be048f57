//! Messages between routers: JSON-RPC over HTTP, authenticated with the key from the settings.

pub mod auth;
pub mod client;
pub mod report;
pub mod roster;
pub mod server;
pub mod sources;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Who sent a message; written as an array, because every message carries it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(CompactString, u64, u64)", into = "(CompactString, u64, u64)")]
pub struct Sender {
    /// Name of the host.
    pub name: CompactString,
    /// Grows with each start of the host's router.
    pub incarnation: u64,
    /// Revision of the configuration that the host has in force.
    pub revision: u64,
}

impl From<(CompactString, u64, u64)> for Sender {
    fn from((name, incarnation, revision): (CompactString, u64, u64)) -> Self {
        Self {
            name,
            incarnation,
            revision,
        }
    }
}

impl From<Sender> for (CompactString, u64, u64) {
    fn from(sender: Sender) -> Self {
        (sender.name, sender.incarnation, sender.revision)
    }
}

/// Parameters or result of a call, with its sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Envelope<T> {
    /// Who sent it.
    pub from: Sender,
    /// What was sent.
    pub body: T,
}
