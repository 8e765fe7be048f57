//! Time without bytes after which the gateway gives up an engine.

use std::time::Duration;

/// Fraction of the longest gap between events that callers accept after which a silent engine is
/// given up. The rest is left for the first event of the next engine.
const GAP_FRACTION: f64 = 0.5;

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

/// Returns the longest accepted silence between two events; `target_gap` is the longest gap between
/// events that callers accept.
pub fn event_limit(target_gap: Duration) -> Duration {
    target_gap.mul_f64(GAP_FRACTION).max(EVENT_LIMIT_MIN)
}

/// Returns the longest accepted silence before the first event; `prompt_tokens` is the number of
/// prompt tokens that the engine has to prefill.
pub fn first_event_limit(prompt_tokens: u64) -> Duration {
    FIRST_EVENT_LIMIT_MIN + Duration::from_millis(prompt_tokens / PREFILL_TOKENS_PER_MS)
}
