//! Messages between routers: JSON-RPC over HTTP, authenticated with the key from the settings.
//! Gateways exchange datagrams instead (`report`, `seal`).

pub mod auth;
pub mod client;
pub mod newer;
pub mod report;
pub mod representatives;
pub mod roster;
pub mod schedule;
pub mod seal;
pub mod server;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Sender of a message. Serialized as an array to keep it small, because every message carries it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(CompactString, u64, u64)", into = "(CompactString, u64, u64)")]
pub struct Sender {
    /// Name of the host.
    pub name: CompactString,
    /// Identifies the start of the router process; increases with each restart.
    pub incarnation: u64,
    /// Revision of the configuration in force on the host.
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

/// Parameters or result of a call, together with the sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Envelope<T> {
    /// Host that sent the call or its result.
    pub from: Sender,
    /// The parameters or the result.
    pub body: T,
}
