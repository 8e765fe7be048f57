//! Problem documents (RFC 9457) that say whether the work ran.

use std::time::Duration;

use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::body::Body;
use crate::wire::Execution;

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// No such path.
    NotFound,
    /// The caller's key is missing or not known.
    UnknownCaller,
    /// No such model in the settings.
    UnknownModel,
    /// The prompt is longer than the limit.
    PromptTooLong,
    /// The cursor is forged, or belongs to another request.
    BadCursor,
    /// A queue is full.
    QueueFull,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// No engine of the model is live.
    NoEngine,
    /// This host is leaving.
    Leaving,
    /// The host has no settings yet.
    NoSettings,
    /// No engine with the generation's version is left.
    VersionGone,
    /// Several engines died while serving this prompt.
    EngineKiller,
    /// The generation was not completed within the limit on resuming.
    ResumeLimit,
    /// An `Idempotency-Key` header is needed.
    KeyMissing,
    /// The key is not a UUID of version 7.
    KeyInvalid,
    /// The key is too old or from the future.
    KeyExpired,
    /// The key was used with another body.
    KeyConflict,
    /// The store cannot be reached, so that the call cannot be claimed.
    StoreUnavailable,
    /// The outcome of an earlier call with the key is not known.
    OutcomeUnknown,
    /// An earlier call with the key ran, and its answer is not kept.
    AlreadyRan,
    /// The backend server could not be reached or refused.
    BackendUnavailable,
    /// The answer was lost, broke off or cannot be used, so that the outcome is not known.
    AnswerLost,
    /// The request took longer than its limit.
    Timeout,
    /// The caller closed the connection.
    CallerGone,
    /// The caller read too slowly for too long.
    SlowReader,
}

impl Reason {
    /// Returns the status code of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BadCursor | Self::KeyMissing | Self::KeyInvalid => {
                StatusCode::BAD_REQUEST
            }
            Self::NotFound | Self::UnknownModel => StatusCode::NOT_FOUND,
            Self::UnknownCaller => StatusCode::UNAUTHORIZED,
            Self::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::QueueFull | Self::DeadlineUnreachable => StatusCode::TOO_MANY_REQUESTS,
            Self::KeyExpired => StatusCode::GONE,
            Self::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
            Self::OutcomeUnknown | Self::AlreadyRan => StatusCode::CONFLICT,
            Self::EngineKiller | Self::VersionGone | Self::ResumeLimit | Self::AnswerLost => {
                StatusCode::BAD_GATEWAY
            }
            Self::Timeout | Self::CallerGone | Self::SlowReader => StatusCode::GATEWAY_TIMEOUT,
            Self::NoSettings
            | Self::NoEngine
            | Self::Leaving
            | Self::StoreUnavailable
            | Self::BackendUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the reason as it is written in documents, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::NotFound => "not-found",
            Self::UnknownCaller => "unknown-caller",
            Self::UnknownModel => "unknown-model",
            Self::PromptTooLong => "prompt-too-long",
            Self::BadCursor => "bad-cursor",
            Self::QueueFull => "queue-full",
            Self::DeadlineUnreachable => "deadline-unreachable",
            Self::NoEngine => "no-engine",
            Self::Leaving => "leaving",
            Self::NoSettings => "no-settings",
            Self::VersionGone => "version-gone",
            Self::EngineKiller => "engine-killer",
            Self::ResumeLimit => "resume-limit",
            Self::KeyMissing => "key-missing",
            Self::KeyInvalid => "key-invalid",
            Self::KeyExpired => "key-expired",
            Self::KeyConflict => "key-conflict",
            Self::StoreUnavailable => "store-unavailable",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::AlreadyRan => "already-ran",
            Self::BackendUnavailable => "backend-unavailable",
            Self::AnswerLost => "answer-lost",
            Self::Timeout => "timeout",
            Self::CallerGone => "caller-gone",
            Self::SlowReader => "slow-reader",
        }
    }
}

/// A problem document.
#[derive(Clone, Debug, Deserialize, Serialize, thiserror::Error)]
#[error("{detail}")]
pub struct Problem {
    /// URI that identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short name of the kind.
    pub title: String,
    /// Status code.
    pub status: u16,
    /// What happened, and the remedy.
    pub detail: String,
    /// Typed reason.
    pub reason: Reason,
    /// Whether the work ran.
    pub work: Execution,
    /// Output tokens that are complete, for a generation that was broken off.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub complete_tokens: Option<u32>,
    /// Seconds after which a retry can succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Creates a document; `detail` names the remedy.
    pub fn new(reason: Reason, work: Execution, detail: impl Into<String>) -> Self {
        Self {
            kind: format!("urn:bilberrypost:problem:{}", reason.as_str()),
            title: reason.as_str().replace('-', " "),
            status: reason.status().as_u16(),
            detail: detail.into(),
            reason,
            work,
            complete_tokens: None,
            retry_after: None,
        }
    }

    /// Creates a document about work that did not run.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(reason, Execution::NotRun, detail)
    }

    /// Says after which time a retry can succeed; rounded up to seconds.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after.as_secs() + u64::from(after.subsec_nanos() > 0));
        self
    }

    /// Says how many output tokens are complete.
    #[must_use]
    pub fn complete_tokens(mut self, tokens: u32) -> Self {
        self.complete_tokens = Some(tokens);
        self
    }

    /// Returns the document as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a problem serializes")
    }

    /// Turns the document into a response.
    pub fn into_response(self) -> Response<Body> {
        let mut response = Response::builder()
            .status(self.reason.status())
            .header(hyper::header::CONTENT_TYPE, "application/problem+json");
        if let Some(seconds) = self.retry_after {
            response = response.header(hyper::header::RETRY_AFTER, seconds);
        }
        response
            .body(Body::full(self.to_json()))
            .expect("the headers are valid")
    }
}

/// Creates a `200` response with a JSON body.
pub fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    Response::builder()
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Body::full(
            serde_json::to_vec(value).expect("wire types serialize"),
        ))
        .expect("the headers are valid")
}

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    Response::builder()
        .status(status)
        .header(hyper::header::CONTENT_TYPE, "text/plain; charset=utf-8")
        .body(Body::full(text.into()))
        .expect("the headers are valid")
}
