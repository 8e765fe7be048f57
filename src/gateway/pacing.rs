//! Schedule of what a host sends to its followers, so that requests of callers and checks of engines
//! find its link free.

use std::time::{Duration, Instant};

/// Part of the link that messages to followers may take. A quarter leaves most of the link to
/// callers, and carries 62 KB in the 200 ms that an answer waits at most on a link of 10 Mbit/s.
const LINK_SHARE: f64 = 0.25;

/// Bytes per second of one Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// When the next message may be sent.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    // `None` if the rate of the link is not known.
    bytes_per_s: Option<f64>,
    next_at: Option<Instant>,
}

impl Pacing {
    /// Creates the schedule for a link with this rate in Mbit/s. Without one, nothing waits.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            bytes_per_s: link_mbps.map(|mbps| mbps * BYTES_PER_MBIT * LINK_SHARE),
            next_at: None,
        }
    }

    /// Returns how long a message that is reserved now has to wait.
    pub fn wait(&self, now: Instant) -> Duration {
        self.next_at
            .map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Reserves the link for a message of this many bytes, after those reserved before.
    pub fn reserve(&mut self, bytes: usize, now: Instant) {
        let Some(rate) = self.bytes_per_s else {
            return;
        };
        let duration = Duration::from_secs_f64(bytes as f64 / rate);
        self.next_at = Some(now + self.wait(now) + duration);
    }

    /// Like [`Pacing::reserve`], for a message that is sent after `wait_max` in any case. Later
    /// messages wait no longer for it than that, as its bytes have left by then.
    pub fn reserve_within(&mut self, bytes: usize, now: Instant, wait_max: Duration) {
        self.reserve(bytes, now);
        self.next_at = self.next_at.min(Some(now + wait_max));
    }
}
