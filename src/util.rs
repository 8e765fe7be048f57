//! Small helpers without a better place.

use std::future::Future;
use std::time::{Duration, SystemTime};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes the parts in order, with their lengths, into 64 bits.
pub fn hash64(parts: &[&[u8]]) -> u64 {
    parts.iter().fold(0, |seed, part| {
        xxh3_64_with_seed(part, seed ^ part.len() as u64)
    })
}

/// Returns the milliseconds since the Unix epoch, or 0 before it.
pub fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Waits for `future` for at most `limit`; `None` means that the time ran out.
pub async fn within<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    compio::time::timeout(limit, future).await.ok()
}
