//! Reads the rest of a request body after the response to it has been decided.
//!
//! Closing a connection with unread bytes resets it, and the reset may overtake the response.

use std::time::Duration;

use compio::bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::util::within;

/// Longest time for which the rest of a body is read.
pub const TIME_MAX: Duration = Duration::from_secs(10);

/// Reads and discards the rest of `body`, up to `bytes_max` bytes, for `time_max` and [`TIME_MAX`] at most.
pub async fn discard_rest(mut body: Incoming, bytes_max: usize, time_max: Duration) {
    let reading = async {
        let mut left = bytes_max;
        while let Some(Ok(frame)) = body.frame().await {
            let size = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(size) else {
                return;
            };
            left = rest;
        }
    };
    within(time_max.min(TIME_MAX), reading).await;
}
