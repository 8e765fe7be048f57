//! Problem documents (RFC 9457), which also say whether the request was executed.

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
    /// The path does not exist.
    NotFound,
    /// The caller's key is missing or unknown.
    UnknownCaller,
    /// The shared settings do not contain the model.
    UnknownModel,
    /// The prompt is longer than the limit.
    PromptTooLong,
    /// The cursor (`Last-Event-ID`) is invalid or belongs to another request.
    BadCursor,
    /// A queue is full.
    QueueFull,
    /// The request cannot be started before its deadline.
    DeadlineUnreachable,
    /// No engine that serves the model is available.
    NoEngine,
    /// More requests arrive than the engines of the service can answer.
    Overload,
    /// This host is leaving.
    Leaving,
    /// The host has no shared settings yet.
    NoSettings,
    /// No engine serves the model version that the generation started with.
    VersionGone,
    /// Several engines died while serving this prompt, so it is not tried again.
    EngineKiller,
    /// A part of the prompt crashes engines, so the request is not sent to one.
    CrashingPrompt,
    /// The generation could not be resumed within the limits on attempts and time.
    ResumeLimit,
    /// The route requires an `Idempotency-Key` header.
    KeyMissing,
    /// The idempotency key is not a UUID of version 7.
    KeyInvalid,
    /// The idempotency key is too old or from the future.
    KeyExpired,
    /// The idempotency key was used with another request.
    KeyConflict,
    /// The call could not be claimed, as the store or the owner of its key is unreachable.
    StoreUnavailable,
    /// The call, or an earlier one with its idempotency key, may or may not have been executed.
    OutcomeUnknown,
    /// An earlier call with the idempotency key was executed, and its answer is not stored.
    AlreadyRan,
    /// No backend server accepted the call.
    BackendUnavailable,
    /// The answer was lost, cut off or unusable, so that the outcome is unknown.
    AnswerLost,
    /// The request exceeded its time limit.
    Timeout,
    /// The caller disconnected.
    CallerGone,
    /// The caller read too slowly for too long.
    SlowReader,
    /// The memory or the connections of this host are used up.
    Overloaded,
}

impl Reason {
    /// Returns the HTTP status code of the response.
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
            | Self::Overload
            | Self::CrashingPrompt
            | Self::Leaving
            | Self::StoreUnavailable
            | Self::Overloaded
            | Self::BackendUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the value written to problem documents, logs and metrics.
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
            Self::Overload => "overload",
            Self::Leaving => "leaving",
            Self::NoSettings => "no-settings",
            Self::VersionGone => "version-gone",
            Self::EngineKiller => "engine-killer",
            Self::CrashingPrompt => "crashing-prompt",
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
            Self::Overloaded => "overloaded",
        }
    }
}

/// A problem document, the JSON body of an error response.
#[derive(Clone, Debug, Deserialize, Serialize, thiserror::Error)]
#[error("{detail}")]
pub struct Problem {
    /// URN of the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason as words.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// What failed and what the reader can do about it.
    pub detail: String,
    /// Machine-readable reason.
    pub reason: Reason,
    /// Whether the request was executed.
    pub work: Execution,
    /// Number of output tokens generated before the failure.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub complete_tokens: Option<u32>,
    /// Seconds after which a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Creates a problem document; `detail` says what failed and what to do.
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

    /// Creates a problem document for a request that was not executed.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self::new(reason, Execution::NotRun, detail)
    }

    /// Sets the time after which a retry may succeed, rounded up to seconds.
    #[must_use]
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after.as_secs() + u64::from(after.subsec_nanos() > 0));
        self
    }

    /// Sets the number of output tokens generated before the failure.
    #[must_use]
    pub fn complete_tokens(mut self, tokens: u32) -> Self {
        self.complete_tokens = Some(tokens);
        self
    }

    /// Serializes the document as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a problem serializes")
    }

    /// Converts the document into a response.
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
    json_bytes_response(serde_json::to_vec(value).expect("wire types serialize"))
}

/// Creates a `200` response whose body is JSON already.
pub fn json_bytes_response(json: Vec<u8>) -> Response<Body> {
    Response::builder()
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Body::full(json))
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
