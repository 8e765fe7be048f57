//! Responses of the gateway itself in place of an engine's.

use std::time::Duration;

use crate::http::problem::{Problem, Reason};
use crate::wire::Execution;

/// `Retry-After` of a refusal whose cause usually passes soon.
pub const RETRY_AFTER_SHORT: Duration = Duration::from_millis(300);

/// Why a request gets a response from the gateway instead of one from an engine.
#[derive(Debug)]
pub struct Refusal {
    /// Problem document for the caller.
    pub problem: Problem,
    /// When the caller may retry; `None` if a retry does not help or the work may have run.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of work that did not run and may be retried.
    pub fn not_run(reason: Reason, detail: &str, retry_after: Duration) -> Self {
        Self {
            problem: Problem::not_run(reason, detail),
            retry_after: Some(retry_after),
        }
    }

    /// Creates a refusal of work that may have run.
    pub fn unknown(reason: Reason, detail: &str) -> Self {
        Self {
            problem: Problem::new(reason, Execution::Unknown, detail),
            retry_after: None,
        }
    }

    /// Creates a refusal of work that did not run, without `Retry-After`.
    pub fn permanent(reason: Reason, detail: impl Into<String>) -> Self {
        Self {
            problem: Problem::not_run(reason, detail),
            retry_after: None,
        }
    }
}
