//! Hash, time and timeout helpers.

use std::future::Future;
use std::time::{Duration, SystemTime};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns a 64-bit hash of the parts, their lengths and their order.
///
/// The hash is the same on all hosts.
pub fn hash64(parts: &[&[u8]]) -> u64 {
    parts.iter().fold(0, |seed, part| {
        xxh3_64_with_seed(part, seed ^ part.len() as u64)
    })
}

/// Returns the milliseconds since the Unix epoch, 0 for earlier times.
pub fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Awaits `future` for at most `timeout`; returns `None` on timeout.
pub async fn within<F: Future>(timeout: Duration, future: F) -> Option<F::Output> {
    compio::time::timeout(timeout, future).await.ok()
}
