//! Account of the revisions that this host sends to its followers, for the log.

use std::time::{Duration, Instant};

/// Time without another send after which a revision counts as delivered. It is longer than a
/// follower's query, so that followers whose query was lost are counted.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// The sends of one revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Version of the revision.
    pub version: u64,
    /// Number of responses that carried the revision.
    pub followers: u32,
    /// Number of responses that only named the version, so that the follower reads the store.
    pub referred: u32,
    /// Bytes of all these responses, without heads.
    pub bytes: u64,
    /// When the first of them was sent.
    pub first_at: Instant,
    /// When the last of them was sent.
    pub last_at: Instant,
}

/// Adds up the sends of one revision at a time.
#[derive(Debug, Default)]
pub struct Delivery(Option<Summary>);

impl Delivery {
    /// Records a response that delivers `version`: with the revision itself if `is_sent`, else by
    /// its version only. Returns the summary of another version that this one ends.
    pub fn record(
        &mut self,
        version: u64,
        is_sent: bool,
        bytes: u64,
        now: Instant,
    ) -> Option<Summary> {
        let ended = self.0.take_if(|summary| summary.version != version);
        let summary = self.0.get_or_insert(Summary {
            version,
            followers: 0,
            referred: 0,
            bytes: 0,
            first_at: now,
            last_at: now,
        });
        summary.followers += u32::from(is_sent);
        summary.referred += u32::from(!is_sent);
        summary.bytes += bytes;
        summary.last_at = now;
        ended
    }

    /// Returns the summary of a revision that was not sent for [`QUIET_TIME`], once.
    pub fn take_delivered(&mut self, now: Instant) -> Option<Summary> {
        self.0
            .take_if(|summary| now.duration_since(summary.last_at) >= QUIET_TIME)
    }
}
