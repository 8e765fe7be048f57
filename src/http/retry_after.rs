//! `Retry-After` of the servers that this host calls.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderMap, RETRY_AFTER};

/// Returns the `Retry-After` of a response with status 503, which may have a fraction. One that is
/// not a number of seconds, such as a date, is ignored.
pub fn of_unavailable(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let seconds: f64 = headers
        .get(RETRY_AFTER)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    let is_valid = seconds > 0.0;
    is_valid.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
