//! Calls that are begun again while an earlier one waits for its answer.

use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::util::within;

/// Maximum number of calls that wait at once.
const CALLS_MAX: usize = 2;

/// Begins a call, and another one each `interval` while none has ended. Returns the result of the
/// first one that ends; the others are dropped.
pub async fn first_of<F: Future>(interval: Duration, begin: impl Fn() -> F) -> F::Output {
    let mut calls = FuturesUnordered::new();
    calls.push(begin());
    loop {
        match within(interval, calls.next()).await {
            Some(Some(result)) => return result,
            _ if calls.len() < CALLS_MAX => calls.push(begin()),
            _ => {}
        }
    }
}
