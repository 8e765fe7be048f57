//! How long an engine may be silent before it counts as lost.

use std::time::Duration;

/// Part of the longest pause that callers accept after which a silent engine is left; the rest is
/// for the next engine's first event.
const PAUSE_PART: f64 = 0.5;

/// Shortest silence between events that counts.
const EVENT_FLOOR: Duration = Duration::from_millis(250);

/// Silence before the first event that counts, beside the time for reading.
///
/// An engine that is dead is found by its address; this limit only covers a connection that went
/// silent for good. A shorter one gives up engines that read the prompts of other hosts first, and
/// reading a prompt elsewhere makes every queue longer.
const READING_FLOOR: Duration = Duration::from_secs(5);

/// Prompt tokens that an engine reads in a millisecond at least, beside other work.
const READ_PER_MS: u64 = 1;

/// Returns the silence between two events that counts, where callers accept pauses up to `pause`.
pub fn event_limit(pause: Duration) -> Duration {
    pause.mul_f64(PAUSE_PART).max(EVENT_FLOOR)
}

/// Returns the silence before a first event that counts, on an engine with `reading` prompt tokens
/// before it.
pub fn reading_limit(reading: u64) -> Duration {
    READING_FLOOR + Duration::from_millis(reading / READ_PER_MS)
}
