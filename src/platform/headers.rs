//! Headers of callers and engines.

use std::time::Duration;

use compact_str::CompactString;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use crate::gateway::call::{Answer, Call, Invalid, Part, Sending, Size};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-bilberrypost-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-bilberrypost-deadline-ms");
const KEY: HeaderName = HeaderName::from_static("x-bilberrypost-credential");
const TEAM: HeaderName = HeaderName::from_static("x-bilberrypost-tenant");
const EXPECT_ENGINE: HeaderName = HeaderName::from_static("x-bilberrypost-expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-bilberrypost-expect-version");
const NOT_RUN: HeaderName = HeaderName::from_static("x-bilberrypost-not-executed");
const SEAL: HeaderName = HeaderName::from_static("x-bilberrypost-response-seal");
const SIZE: HeaderName = HeaderName::from_static("x-bilberrypost-token-count");
const PARTS: HeaderName = HeaderName::from_static("x-bilberrypost-prompt-prefix");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-bilberrypost-length-hint");
const PRIORITY: HeaderName = HeaderName::from_static("x-bilberrypost-request-priority");
const PIN: HeaderName = HeaderName::from_static("x-bilberrypost-pin-ms");
const RESERVATION: HeaderName = HeaderName::from_static("x-bilberrypost-kv-retention");
const REPLICA: HeaderName = HeaderName::from_static("x-bilberrypost-kv-replica");
const COPY_FROM: HeaderName = HeaderName::from_static("kv-from");
const FETCH_FROM: HeaderName = HeaderName::from_static("kv-fetch");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that only the system sets; a caller's are dropped.
const OWN: [HeaderName; 10] = [
    EXPECT_ENGINE,
    EXPECT_VERSION,
    PRIORITY,
    PIN,
    RESERVATION,
    REPLICA,
    COPY_FROM,
    FETCH_FROM,
    TEAM,
    KEY,
];

/// Headers of one connection, which are not passed on.
const HOP: [&str; 9] = [
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
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);

/// Longest wait that is taken over; a longer one is the same as this.
const DEADLINE_MAX: Duration = Duration::from_secs(24 * 3600);

/// Least urgent rank that engines know.
const RANK_MAX: u8 = 9;

/// Decodes what a caller's head says about its request.
///
/// # Errors
/// A header cannot be read.
pub(super) fn call(headers: &HeaderMap) -> Result<Call, Invalid> {
    let id = text(headers, &REQUEST_ID).ok_or(Invalid("the request has no id"))?;
    let deadline = match text(headers, &DEADLINE) {
        None => DEADLINE_DEFAULT,
        Some(ms) => millis(ms).ok_or(Invalid("the deadline is no number of milliseconds"))?,
    };
    let size = text(headers, &SIZE).and_then(size);
    Ok(Call {
        id: id.into(),
        deadline,
        key: text(headers, &KEY).map(CompactString::from),
        size,
        parts: text(headers, &PARTS).map(parts).unwrap_or_default(),
        length_hint: text(headers, &LENGTH_HINT).and_then(|hint| hint.trim().parse().ok()),
        last_event: text(headers, &LAST_EVENT).and_then(|id| id.trim().parse().ok()),
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn millis(text: &str) -> Option<Duration> {
    let ms: f64 = text.trim().parse().ok()?;
    let is_time = ms.is_finite() && ms >= 0.0;
    is_time.then(|| {
        Duration::try_from_secs_f64(ms / 1000.0).map_or(DEADLINE_MAX, |wait| wait.min(DEADLINE_MAX))
    })
}

fn size(text: &str) -> Option<Size> {
    let (prompt, output) = text.split_once(',')?;
    Some(Size {
        prompt: prompt.trim().parse().ok()?,
        output: output.trim().parse().ok()?,
    })
}

fn parts(text: &str) -> Vec<Part> {
    let parts = text.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Part {
            id: id.into(),
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// Returns the headers that do not depend on the attempt: the caller's, without those of its
/// connection and those that only the system sets.
pub(super) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = HOP.contains(&name.as_str()) || listed.iter().any(|hop| hop == name.as_str());
        let is_length = name == hyper::header::CONTENT_LENGTH || name == hyper::header::EXPECT;
        let is_protected = *name == REQUEST_ID || *name == DEADLINE || *name == hyper::header::HOST;
        if (is_hop && !is_protected) || is_length || OWN.contains(name) {
            continue;
        }
        passed.append(name, value.clone());
    }
    passed
}

/// Adds the headers of one attempt.
pub(super) fn attempt(headers: &mut HeaderMap, sending: &Sending<'_>) {
    set(headers, DEADLINE, &sending.left.as_millis().to_string());
    set(headers, EXPECT_ENGINE, sending.engine);
    if let Some(team) = sending.team {
        set(headers, TEAM, team);
    }
    if let Some(rank) = sending.rank {
        set(headers, PRIORITY, &rank.min(RANK_MAX).to_string());
    }
    if let Some(replica) = sending.replica {
        set(headers, REPLICA, replica);
    }
    if let Some((address, run)) = sending.copy {
        set(headers, COPY_FROM, &format!("{address}/{run}"));
    }
    if let Some(last) = sending.last_event {
        set(headers, LAST_EVENT, &last.to_string());
    }
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Decodes what an engine's head says about its answer to the request `id`.
pub(super) fn answer(head: &Response<()>, id: &str) -> Answer {
    let headers = head.headers();
    let status = head.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Answer::OtherEngine;
    }
    if text(headers, &REQUEST_ID).is_some_and(|echo| echo != id) {
        return Answer::Foreign;
    }
    if headers.contains_key(NOT_RUN) {
        return Answer::NotRun;
    }
    let is_own = text(headers, &REQUEST_ID) == Some(id);
    let is_encoded = headers.contains_key(hyper::header::CONTENT_ENCODING);
    if !is_own || is_encoded {
        return Answer::Foreign;
    }
    match status.is_success() {
        true if headers.contains_key(SEAL) => Answer::Success,
        true => Answer::Foreign,
        false => Answer::Failure,
    }
}

/// Adds the request's id to an answer of our own, and when to come back if it was refused.
pub(super) fn own_answer(headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>) {
    set(headers, REQUEST_ID, id);
    if let Some(after) = retry_after {
        let seconds = format!("{:.2}", after.as_secs_f64());
        set(headers, hyper::header::RETRY_AFTER, &seconds);
    }
}
