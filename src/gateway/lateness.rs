//! Measures how late the timers of this process fire.
//!
//! A process that is short of processor time, or that was paused, sees responses late. These lines
//! tell that apart from engines and links that are slow.

use std::rc::Rc;
use std::time::{Duration, Instant};

use log::info;

use super::{Gateway, bounds};
use crate::clock::Clock;
use crate::supervisor::Signal;
use crate::util::within;

/// Time between two measurements. Each one costs a wake-up of the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of a timer that is logged. The check of an engine times out after 130 ms, so a delay of a
/// fifth of that already distorts it.
const LOGGED_DELAY_MIN: Duration = Duration::from_millis(25);

/// Minimum time between two log lines.
const LOG_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Selects the delays that are logged: the longest one since the last line, at most once in
/// [`LOG_INTERVAL_MIN`].
#[derive(Debug, Default)]
pub struct Lateness {
    longest: Duration,
    logged_at: Option<Instant>,
}

impl Lateness {
    /// Records that a timer fired `delay` late; returns the delay to log now, if any.
    pub fn record(&mut self, delay: Duration, now: Instant) -> Option<Duration> {
        if delay >= LOGGED_DELAY_MIN {
            self.longest = self.longest.max(delay);
        }
        let is_recent = |at: Instant| now.duration_since(at) < LOG_INTERVAL_MIN;
        if self.longest.is_zero() || self.logged_at.is_some_and(is_recent) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.longest))
    }
}

/// Measures and records delays until `stop` is set.
pub async fn run<C: Clock>(gateway: Rc<Gateway<C>>, stop: Signal) {
    let mut lateness = Lateness::default();
    let mut reported_at = gateway.clock.now();
    while !stop.is_set() {
        let started = gateway.clock.now();
        within(SAMPLE_INTERVAL, stop.wait()).await;
        let now = gateway.clock.now();
        let delay = now.duration_since(started).saturating_sub(SAMPLE_INTERVAL);
        gateway.metrics.record_duration("timer_late", delay);
        if let Some(late) = lateness.record(delay, now) {
            info!("event=timer_late late_ms={}", late.as_millis());
        }
        // This task is woken anyway.
        if now.duration_since(reported_at) >= LOG_INTERVAL_MIN {
            reported_at = now;
            bounds::report(&gateway);
        }
    }
}
