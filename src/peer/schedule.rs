//! When a representative exchanges summaries with the other failure domains.

use std::time::{Duration, Instant};

/// Time between two rounds of summaries without news.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time between two rounds with news. A round of a large fleet takes about 100 KB, and a host may have
/// a link of 10 Mbit/s; without this limit, losses that follow each other would fill it.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// The last rounds of summaries.
#[derive(Debug, Default)]
pub struct Schedule {
    sent_at: Option<Instant>,
    urgent_at: Option<Instant>,
}

impl Schedule {
    /// Returns whether a round is due now; with `is_urgent` it has news, such as a lost engine.
    pub fn is_due(&self, is_urgent: bool, now: Instant) -> bool {
        let is_over =
            |at: Option<Instant>, interval| at.is_none_or(|at| now.duration_since(at) >= interval);
        let is_urgent_due = is_urgent && is_over(self.urgent_at, URGENT_INTERVAL);
        is_urgent_due || is_over(self.sent_at, INTERVAL)
    }

    /// Records a round.
    pub fn record(&mut self, is_urgent: bool, now: Instant) {
        self.sent_at = Some(now);
        if is_urgent {
            self.urgent_at = Some(now);
        }
    }
}
