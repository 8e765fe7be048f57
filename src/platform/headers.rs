//! Headers of callers' requests, of attempts to engines and of their responses.

use std::time::Duration;

use compact_str::CompactString;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use crate::gateway::call::{Answer, Attempt, Call, InvalidHead, Outcome, PromptPart, TokenCount};
use crate::http::retry_after;

/// Id of the request. A caller sends each retry with a new id, so the platform calls it an attempt
/// id.
const REQUEST_ID: HeaderName = HeaderName::from_static(REQUEST_ID_NAME);
const REQUEST_ID_NAME: &str = "x-bilberrypost-attempt-id";
const DEADLINE: HeaderName = HeaderName::from_static(DEADLINE_NAME);
const DEADLINE_NAME: &str = "x-bilberrypost-deadline-ms";
const KEY: HeaderName = HeaderName::from_static("x-bilberrypost-credential");
const TEAM: HeaderName = HeaderName::from_static("x-bilberrypost-tenant");
const EXPECT_ENGINE: HeaderName = HeaderName::from_static("x-bilberrypost-expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-bilberrypost-expect-version");
/// Present if the engine did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-bilberrypost-not-executed");
/// Present on a successful response that the engine itself produced.
const SEAL: HeaderName = HeaderName::from_static("x-bilberrypost-response-seal");
/// `1` in each response of an engine that leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const MODEL: HeaderName = HeaderName::from_static("x-bilberrypost-model-id");
/// `PROMPT,OUTPUT_MAX` in tokens.
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-bilberrypost-token-count");
/// `ID:TOKENS` of each part of the prompt, separated by commas.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-bilberrypost-prompt-prefix");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-bilberrypost-length-hint");
const PRIORITY: HeaderName = HeaderName::from_static("x-bilberrypost-request-priority");
const PIN: HeaderName = HeaderName::from_static("x-bilberrypost-pin-ms");
const KV_RETENTION: HeaderName = HeaderName::from_static("x-bilberrypost-kv-retention");
/// Address of the engine to copy a replica of the run to.
const REPLICA: HeaderName = HeaderName::from_static("x-bilberrypost-kv-replica");
/// `ADDRESS/RUN`: the engine that holds a replica to resume from, and the id of the replicated run.
const RESUME_FROM: HeaderName = HeaderName::from_static("kv-from");
const FETCH_FROM: HeaderName = HeaderName::from_static("kv-fetch");
const LAST_EVENT: HeaderName = HeaderName::from_static(LAST_EVENT_NAME);
const LAST_EVENT_NAME: &str = "last-event-id";

/// Headers of a caller that are not forwarded: the key, and those that only the gateway may set.
const NOT_FORWARDED: [HeaderName; 10] = [
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

/// Headers of a caller that differ between attempts at the same request.
pub(super) const ATTEMPT_HEADERS: &[&str] = &[REQUEST_ID_NAME, DEADLINE_NAME, LAST_EVENT_NAME];

/// Headers that apply to a single connection and are not forwarded.
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

/// Statuses by which callers know that a request did not run and never will.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Timeout of a request without a deadline header.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);

/// Upper bound on the timeout of a request; longer ones are shortened to it.
const TIMEOUT_MAX: Duration = Duration::from_secs(24 * 3600);

/// Least urgent rank that engines accept.
const RANK_MAX: u8 = 9;

/// Decodes the head of a caller's request. Optional headers that are malformed are ignored.
///
/// # Errors
/// The id is missing or malformed, or the deadline is malformed.
pub(super) fn decode_request(headers: &HeaderMap) -> Result<Call, InvalidHead> {
    let id = header_text(headers, &REQUEST_ID).ok_or(InvalidHead(
        "the header x-bilberrypost-attempt-id is missing or malformed",
    ))?;
    let timeout = match header_text(headers, &DEADLINE) {
        None => TIMEOUT_DEFAULT,
        Some(ms) => parse_millis(ms).ok_or(InvalidHead(
            "the header x-bilberrypost-deadline-ms is not a number of milliseconds",
        ))?,
    };
    let token_count = header_text(headers, &TOKEN_COUNT).and_then(parse_token_count);
    Ok(Call {
        id: id.into(),
        timeout,
        key: header_text(headers, &KEY).map(CompactString::from),
        token_count,
        model: header_text(headers, &MODEL).unwrap_or_default().into(),
        prompt_parts: header_text(headers, &PROMPT_PARTS)
            .map(parse_prompt_parts)
            .unwrap_or_default(),
        length_hint: header_text(headers, &LENGTH_HINT).and_then(|hint| hint.trim().parse().ok()),
        last_event: header_text(headers, &LAST_EVENT).and_then(|id| id.trim().parse().ok()),
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_millis(text: &str) -> Option<Duration> {
    let ms: f64 = text.trim().parse().ok()?;
    let is_valid = ms.is_finite() && ms >= 0.0;
    is_valid.then(|| {
        Duration::try_from_secs_f64(ms / 1000.0).map_or(TIMEOUT_MAX, |wait| wait.min(TIMEOUT_MAX))
    })
}

fn parse_token_count(text: &str) -> Option<TokenCount> {
    let (prompt, output) = text.split_once(',')?;
    Some(TokenCount {
        prompt: prompt.trim().parse().ok()?,
        output_max: output.trim().parse().ok()?,
    })
}

fn parse_prompt_parts(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: id.into(),
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// Returns the caller's headers that are forwarded with each attempt.
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
        let is_hop_by_hop = HOP_BY_HOP.contains(&name.as_str())
            || connection_options.iter().any(|hop| hop == name.as_str());
        let is_body_header = name == hyper::header::CONTENT_LENGTH || name == hyper::header::EXPECT;
        let is_required = *name == REQUEST_ID || *name == DEADLINE || *name == hyper::header::HOST;
        if (is_hop_by_hop && !is_required) || is_body_header || NOT_FORWARDED.contains(name) {
            continue;
        }
        forwarded.append(name, value.clone());
    }
    forwarded
}

/// Adds the headers that are specific to one attempt.
pub(super) fn add_attempt_headers(headers: &mut HeaderMap, attempt: &Attempt<'_>) {
    set_header(
        headers,
        DEADLINE,
        &attempt.time_left.as_millis().to_string(),
    );
    set_header(headers, EXPECT_ENGINE, attempt.engine_id);
    if let Some(team) = attempt.team {
        set_header(headers, TEAM, team);
    }
    if let Some(rank) = attempt.rank {
        set_header(headers, PRIORITY, &rank.min(RANK_MAX).to_string());
    }
    if let Some(address) = attempt.replica_address {
        set_header(headers, REPLICA, address);
    }
    if let Some((address, run)) = attempt.resume_from {
        set_header(headers, RESUME_FROM, &format!("{address}/{run}"));
    }
    if let Some(last) = attempt.last_event {
        set_header(headers, LAST_EVENT, &last.to_string());
    }
}

fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Decodes the head of an engine's response to the request `id`.
pub(super) fn decode_response(head: &Response<()>, id: &str) -> Answer {
    Answer {
        outcome: decode_outcome(head, id),
        is_leaving: header_text(head.headers(), &LEAVING).is_some_and(|text| text.trim() == "1"),
        retry_after: retry_after::of_unavailable(head.status(), head.headers()),
    }
}

fn decode_outcome(head: &Response<()>, id: &str) -> Outcome {
    let headers = head.headers();
    let status = head.status();
    let mut echoes = headers.get_all(&REQUEST_ID).iter();
    if echoes.any(|echo| echo != id) {
        return Outcome::Foreign;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::OtherEngine;
    }
    if headers.contains_key(NOT_RUN) {
        return Outcome::NotRun;
    }
    let is_this_request = header_text(headers, &REQUEST_ID) == Some(id);
    let is_encoded = headers.contains_key(hyper::header::CONTENT_ENCODING);
    if !is_this_request || is_encoded {
        return Outcome::Foreign;
    }
    match status.is_success() {
        true if headers.contains_key(SEAL) => Outcome::Success,
        true => Outcome::Foreign,
        false if NOT_RUN_STATUSES.contains(&status) => Outcome::UnstatedRefusal,
        false => Outcome::Failure,
    }
}

/// Adds the id of the request and `Retry-After`, rounded up, to a response that the gateway itself
/// gives.
pub(super) fn add_gateway_headers(
    headers: &mut HeaderMap,
    id: &str,
    retry_after: Option<Duration>,
) {
    set_header(headers, REQUEST_ID, id);
    if let Some(after) = retry_after {
        let hundredths = after.as_micros().div_ceil(10_000);
        let seconds = format!("{}.{:02}", hundredths / 100, hundredths % 100);
        set_header(headers, hyper::header::RETRY_AFTER, &seconds);
    }
}
