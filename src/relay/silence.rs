//! Time without bytes after which the gateway gives up an engine.

use std::time::{Duration, Instant};

/// Fraction of the longest gap between events that callers accept after which a stream that was fast
/// before is given up. The rest is left for the first event of the next engine.
const GAP_FRACTION: f64 = 0.5;

/// Multiple of the longest gap that callers accept after which every stream is given up. A stream
/// at the slowest accepted pace goes on.
const GAP_FACTOR_MAX: f64 = 2.0;

/// Multiple of the longest gap of a stream so far at which another gap is no longer its usual pace.
const PACE_FACTOR: u32 = 3;

/// Lower bound of the limit between events.
const EVENT_LIMIT_MIN: Duration = Duration::from_millis(250);

/// Limit before the first event, not counting the time to prefill prompts.
///
/// A dead engine is found sooner, by a check of its address; this limit only covers a connection
/// that stays silent forever. A shorter one gives up engines that prefill the prompts of other
/// hosts first, and prefilling a prompt again elsewhere makes every queue longer.
const FIRST_EVENT_LIMIT_MIN: Duration = Duration::from_secs(5);

/// Lowest prefill rate of an engine beside its other work, in prompt tokens.
const PREFILL_TOKENS_PER_MS: u64 = 1;

/// Progress of a stream from one engine, measured in numbered events: an engine that stopped may
/// still send bytes, comments or empty lines.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    at: Instant,
    has_event: bool,
    longest_gap: Option<Duration>,
}

impl Progress {
    /// Starts to measure when the head of the response arrived.
    pub fn new(now: Instant) -> Self {
        Self {
            at: now,
            has_event: false,
            longest_gap: None,
        }
    }

    /// Records a numbered event.
    pub fn record_event(&mut self, now: Instant) {
        if std::mem::replace(&mut self.has_event, true) {
            let gap = now.duration_since(self.at);
            self.longest_gap = self.longest_gap.max(Some(gap));
        }
        self.at = now;
    }

    /// Returns whether an event has arrived.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns when the last event or the head arrived.
    pub fn last_at(&self) -> Instant {
        self.at
    }

    /// Returns the longest accepted silence before the next event; `target_gap` is the longest gap
    /// that callers accept. While the engine prefills prompts (`is_prefilling`), or before its pace
    /// is known, it may be slower than before.
    pub fn event_limit(&self, target_gap: Duration, is_prefilling: bool) -> Duration {
        let longest = target_gap.mul_f64(GAP_FACTOR_MAX).max(EVENT_LIMIT_MIN);
        match self.longest_gap {
            Some(gap) if !is_prefilling => target_gap
                .mul_f64(GAP_FRACTION)
                .max(gap * PACE_FACTOR)
                .clamp(EVENT_LIMIT_MIN, longest),
            _ => longest,
        }
    }
}

/// Returns the longest accepted silence before the first event; `prompt_tokens` is the number of
/// prompt tokens that the engine has to prefill.
pub fn first_event_limit(prompt_tokens: u64) -> Duration {
    FIRST_EVENT_LIMIT_MIN + Duration::from_millis(prompt_tokens / PREFILL_TOKENS_PER_MS)
}
