//! Messages between routers: JSON-RPC over HTTP, authenticated with the key from the settings.

pub mod auth;
pub mod client;
pub mod server;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Who sent a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// Name of the host.
    pub name: CompactString,
    /// Grows with each start of the host's router.
    pub incarnation: u64,
    /// Revision of the configuration that the host has in force.
    pub revision: u64,
}

/// Parameters or result of a call, with its sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Envelope<T> {
    /// Who sent it.
    pub from: Sender,
    /// What was sent.
    pub body: T,
}
