//! Account of the representative that this host follows, for the log.
//!
//! A host without a usable representative queries them in turn, so only the loss of the followed one
//! and the next one that can be followed are logged.

use std::net::SocketAddr;

/// Why a representative cannot be followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// It did not answer in time.
    Silent,
    /// It does not reach the store.
    WithoutStore,
    /// Its last contact with the store is too long ago.
    Stale,
    /// It knows fewer changes of engines than this host.
    Behind,
}

impl Cause {
    /// Returns the name of the cause in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::WithoutStore => "without-store",
            Self::Stale => "stale",
            Self::Behind => "behind",
        }
    }
}

/// The representative whose last answer was current.
#[derive(Debug, Default)]
pub struct Followed(Option<SocketAddr>);

impl Followed {
    /// Records a current answer of `peer`; returns whether this host followed none or another one.
    pub fn record_success(&mut self, peer: SocketAddr) -> bool {
        self.0.replace(peer) != Some(peer)
    }

    /// Records that a query failed; returns the representative that is followed no longer.
    pub fn record_failure(&mut self) -> Option<SocketAddr> {
        self.0.take()
    }
}
