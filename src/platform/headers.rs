//! Headers of callers and engines.

use std::time::Duration;

use compact_str::CompactString;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use crate::gateway::call::{Attempt, Call, InvalidHead, Outcome, PromptPart, TokenCount};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-bilberrypost-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-bilberrypost-deadline-ms");
const KEY: HeaderName = HeaderName::from_static("x-bilberrypost-credential");
const TEAM: HeaderName = HeaderName::from_static("x-bilberrypost-tenant");
const EXPECT_ENGINE: HeaderName = HeaderName::from_static("x-bilberrypost-expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-bilberrypost-expect-version");
const NOT_RUN: HeaderName = HeaderName::from_static("x-bilberrypost-not-executed");
const SEAL: HeaderName = HeaderName::from_static("x-bilberrypost-response-seal");
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-bilberrypost-token-count");
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-bilberrypost-prompt-prefix");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-bilberrypost-length-hint");
const PRIORITY: HeaderName = HeaderName::from_static("x-bilberrypost-request-priority");
const PIN: HeaderName = HeaderName::from_static("x-bilberrypost-pin-ms");
const KV_RETENTION: HeaderName = HeaderName::from_static("x-bilberrypost-kv-retention");
const REPLICA: HeaderName = HeaderName::from_static("x-bilberrypost-kv-replica");
const RESUME_FROM: HeaderName = HeaderName::from_static("kv-from");
const FETCH_FROM: HeaderName = HeaderName::from_static("kv-fetch");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that only the system sets; a caller's are dropped.
const SYSTEM_HEADERS: [HeaderName; 10] = [
    EXPECT_ENGINE,
    EXPECT_VERSION,
    PRIORITY,
    PIN,
    KV_RETENTION,
    REPLICA,
    RESUME_FROM,
    FETCH_FROM,
    TEAM,
    KEY,
];

/// Headers of one connection, which are not passed on.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Longest wait of a caller that names none.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);

/// Longest wait that is taken over; a longer one is the same as this.
const TIMEOUT_MAX: Duration = Duration::from_secs(24 * 3600);

/// Least urgent rank that engines know.
const RANK_MAX: u8 = 9;

/// Decodes what a caller's head says about its request.
///
/// # Errors
/// A header cannot be read.
pub(super) fn decode_request(headers: &HeaderMap) -> Result<Call, InvalidHead> {
    let id = text(headers, &REQUEST_ID).ok_or(InvalidHead("the request has no id"))?;
    let timeout = match text(headers, &DEADLINE) {
        None => TIMEOUT_DEFAULT,
        Some(ms) => millis(ms).ok_or(InvalidHead("the deadline is no number of milliseconds"))?,
    };
    let token_count = text(headers, &TOKEN_COUNT).and_then(token_count);
    Ok(Call {
        id: id.into(),
        timeout,
        key: text(headers, &KEY).map(CompactString::from),
        token_count,
        prompt_parts: text(headers, &PROMPT_PARTS)
            .map(prompt_parts)
            .unwrap_or_default(),
        length_hint: text(headers, &LENGTH_HINT).and_then(|hint| hint.trim().parse().ok()),
        last_event: text(headers, &LAST_EVENT).and_then(|id| id.trim().parse().ok()),
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn millis(text: &str) -> Option<Duration> {
    let ms: f64 = text.trim().parse().ok()?;
    let is_valid = ms.is_finite() && ms >= 0.0;
    is_valid.then(|| {
        Duration::try_from_secs_f64(ms / 1000.0).map_or(TIMEOUT_MAX, |wait| wait.min(TIMEOUT_MAX))
    })
}

fn token_count(text: &str) -> Option<TokenCount> {
    let (prompt, output) = text.split_once(',')?;
    Some(TokenCount {
        prompt: prompt.trim().parse().ok()?,
        output_max: output.trim().parse().ok()?,
    })
}

fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: id.into(),
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// Returns the headers that do not depend on the attempt: the caller's, without those of its
/// connection and those that only the system sets.
pub(super) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = HOP_BY_HOP.contains(&name.as_str())
            || connection_options.iter().any(|hop| hop == name.as_str());
        let is_length = name == hyper::header::CONTENT_LENGTH || name == hyper::header::EXPECT;
        let is_required = *name == REQUEST_ID || *name == DEADLINE || *name == hyper::header::HOST;
        if (is_hop && !is_required) || is_length || SYSTEM_HEADERS.contains(name) {
            continue;
        }
        forwarded.append(name, value.clone());
    }
    forwarded
}

/// Adds the headers of one attempt.
pub(super) fn add_attempt_headers(headers: &mut HeaderMap, attempt: &Attempt<'_>) {
    set(
        headers,
        DEADLINE,
        &attempt.time_left.as_millis().to_string(),
    );
    set(headers, EXPECT_ENGINE, attempt.engine_id);
    if let Some(team) = attempt.team {
        set(headers, TEAM, team);
    }
    if let Some(rank) = attempt.rank {
        set(headers, PRIORITY, &rank.min(RANK_MAX).to_string());
    }
    if let Some(address) = attempt.replica_address {
        set(headers, REPLICA, address);
    }
    if let Some((address, run)) = attempt.resume_from {
        set(headers, RESUME_FROM, &format!("{address}/{run}"));
    }
    if let Some(last) = attempt.last_event {
        set(headers, LAST_EVENT, &last.to_string());
    }
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Decodes what an engine's head says about its answer to the request `id`.
pub(super) fn decode_response(head: &Response<()>, id: &str) -> Outcome {
    let headers = head.headers();
    let status = head.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::OtherEngine;
    }
    if text(headers, &REQUEST_ID).is_some_and(|echo| echo != id) {
        return Outcome::Foreign;
    }
    if headers.contains_key(NOT_RUN) {
        return Outcome::NotRun;
    }
    let is_this_request = text(headers, &REQUEST_ID) == Some(id);
    let is_encoded = headers.contains_key(hyper::header::CONTENT_ENCODING);
    if !is_this_request || is_encoded {
        return Outcome::Foreign;
    }
    match status.is_success() {
        true if headers.contains_key(SEAL) => Outcome::Success,
        true => Outcome::Foreign,
        false => Outcome::Failure,
    }
}

/// Adds the request's id to an answer of our own, and when to come back if it was refused.
pub(super) fn add_gateway_headers(
    headers: &mut HeaderMap,
    id: &str,
    retry_after: Option<Duration>,
) {
    set(headers, REQUEST_ID, id);
    if let Some(after) = retry_after {
        let seconds = format!("{:.2}", after.as_secs_f64());
        set(headers, hyper::header::RETRY_AFTER, &seconds);
    }
}
