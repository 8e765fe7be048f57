//! Whether a revision that a peer reported has to be fetched, because it did not arrive in the normal
//! way in time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after a peer reports a newer configuration in which the store or a representative normally
/// delivers it. Only then it is fetched.
const FETCH_DELAY: Duration = Duration::from_millis(300);

/// The newest revision that peers reported and this host does not have.
#[derive(Debug, Default)]
pub struct Newer(Option<Reported>);

#[derive(Clone, Copy, Debug)]
struct Reported {
    peer: SocketAddr,
    revision: u64,
    // The revision that this host has, and since when it has had it while a newer one was reported.
    own: u64,
    since: Instant,
}

impl Newer {
    /// Records a reported revision that this host needs. Of the peers that have the newest one, the
    /// last to report it is fetched from, as an earlier one may have ended.
    pub fn record(&mut self, peer: SocketAddr, revision: u64, own: u64, now: Instant) {
        let reported = self.0.get_or_insert(Reported {
            peer,
            revision,
            own,
            since: now,
        });
        if revision >= reported.revision {
            (reported.peer, reported.revision) = (peer, revision);
        }
    }

    /// Records the revision that this host has. The reported one is forgotten if it arrived; without
    /// this a host would read the store after each change. The delay starts again if an older one
    /// arrived, as in a series of changes.
    pub fn record_own(&mut self, own: u64, now: Instant) {
        self.0 = self.0.filter(|reported| reported.revision > own);
        if let Some(reported) = &mut self.0
            && own > reported.own
        {
            (reported.own, reported.since) = (own, now);
        }
    }

    /// Returns the peer to fetch from and the revision that it has, once the delay has passed.
    pub fn due(&self, now: Instant) -> Option<(SocketAddr, u64)> {
        let reported = self.0.as_ref()?;
        let is_due = now.duration_since(reported.since) >= FETCH_DELAY;
        is_due.then_some((reported.peer, reported.revision))
    }

    /// Forgets the reported revision, as it is being fetched.
    pub fn clear(&mut self) {
        self.0 = None;
    }
}
