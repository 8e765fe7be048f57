//! Delays resumes when one host resumes too large a part of its running and recent requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Age up to which requests and resumes count as recent.
const WINDOW: Duration = Duration::from_secs(10);

/// Time that one bucket of the window covers.
const BUCKET: Duration = Duration::from_millis(500);

/// Resumes per window that are never delayed, so that a host with few requests can resume at all.
const UNDELAYED_MIN: u32 = 16;

/// Percentage of running and recent requests that may resume within the window without delay. A
/// third of the engines may fail together, and their generations must resume at once.
const RESUME_PERCENT: u32 = 50;

/// Delay added for each resume over the limit.
const DELAY_STEP: Duration = Duration::from_millis(20);

/// Longest delay. Together with the time to detect a silent engine it stays within the 4 s in which
/// output must continue.
const DELAY_MAX: Duration = Duration::from_millis(1500);

/// Requests started and resumed from `since` on, for up to [`BUCKET`].
#[derive(Debug)]
struct Bucket {
    since: Instant,
    started: u32,
    resumed: u32,
}

/// Counts requests and resumes; resumes over the limit are delayed, never refused.
#[derive(Debug, Default)]
pub struct Budget {
    running: u32,
    // Invariant: ordered by time, at most WINDOW / BUCKET + 1 entries.
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Counts a request that starts.
    pub fn record_start(&mut self, now: Instant) {
        self.running += 1;
        self.current_bucket(now).started += 1;
    }

    /// Counts a request that ended.
    pub fn record_end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Counts a resume and returns the delay before it may start.
    pub fn record_resume(&mut self, now: Instant) -> Duration {
        self.current_bucket(now).resumed += 1;
        let (started, resumed) = self
            .buckets
            .iter()
            .fold((0, 0), |(started, resumed), bucket| {
                (started + bucket.started, resumed + bucket.resumed)
            });
        let allowed = UNDELAYED_MIN + (self.running + started) * RESUME_PERCENT / 100;
        (DELAY_STEP * resumed.saturating_sub(allowed)).min(DELAY_MAX)
    }

    /// Drops buckets older than the window and returns the one for `now`.
    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        while let Some(first) = self.buckets.front()
            && now.duration_since(first.since) >= WINDOW
        {
            self.buckets.pop_front();
        }
        let is_current = |bucket: &Bucket| now.duration_since(bucket.since) < BUCKET;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket {
                since: now,
                started: 0,
                resumed: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a current bucket was just ensured")
    }
}

#[cfg(test)]
mod tests;
