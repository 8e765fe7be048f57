//! Seal of the datagrams between gateways, which proves that a host of the fleet sent them.
//!
//! A seal follows the report, and is the MAC of the sender's address and the report. Hosts without keys
//! ignore it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::auth::{Keys, MAC_BYTES};
use super::report::{self, Report};

/// Maximum size of a sealed datagram in bytes.
pub const BYTES_MAX: usize = report::BYTES_MAX + MAC_BYTES;

/// Largest accepted difference between the number of a sender's first report, which is based on its
/// clock, and the time of the local clock. It allows for clocks that differ, and limits the recorded reports
/// that a host accepts right after its start.
const MAX_DIFFERENCE_MS: u64 = 60_000;

/// Why a datagram is not used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The seal is missing, was made with another key, or belongs to another sender or report.
    #[error("the datagram has no valid seal; set the same peer_key on all hosts")]
    Forged,
    /// The report is not newer than the last one of its sender, or the first one is too old.
    #[error("the datagram was received before or is too old; synchronize the clocks of the hosts")]
    Replayed,
    /// The datagram cannot be decoded.
    #[error(transparent)]
    Unreadable(#[from] report::Error),
}

/// Adds the seal of the host at `sender` to an encoded report.
pub fn seal(keys: &Keys, sender: SocketAddr, report: &mut Vec<u8>) {
    let mac = keys.sign(&[sender.to_string().as_bytes(), report]);
    report.extend_from_slice(&mac);
}

/// Number of a report, and whether it is the question among the two with this number, which is sent
/// last.
type Position = (u64, bool);

/// Opens received datagrams. Without keys it accepts those of any sender.
#[derive(Debug)]
pub struct Verifier {
    keys: Option<Keys>,
    // Invariant: the position of the newest accepted report of each sender that has proved itself.
    newest: BTreeMap<SocketAddr, Position>,
}

impl Verifier {
    /// Creates a verifier with the keys of this host.
    pub fn new(keys: Option<Keys>) -> Self {
        Self {
            keys,
            newest: BTreeMap::new(),
        }
    }

    /// Returns the report in a datagram from `sender`, at a time of the local clock.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn open(
        &mut self,
        sender: SocketAddr,
        datagram: &[u8],
        now_ms: u64,
    ) -> Result<Report, Error> {
        let Some(keys) = &self.keys else {
            return Ok(Report::decode(datagram)?);
        };
        let (bytes, mac) = datagram
            .split_last_chunk::<MAC_BYTES>()
            .ok_or(Error::Forged)?;
        if !keys.is_valid(&[sender.to_string().as_bytes(), bytes], mac) {
            return Err(Error::Forged);
        }
        let report = Report::decode(bytes)?;
        let position = (report.number, report.is_question);
        let is_new = match self.newest.get(&sender) {
            Some(newest) => position > *newest,
            None => report.number.abs_diff(now_ms) <= MAX_DIFFERENCE_MS,
        };
        if !is_new {
            return Err(Error::Replayed);
        }
        self.newest.insert(sender, position);
        Ok(report)
    }
}

#[cfg(test)]
mod tests;
