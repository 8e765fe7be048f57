//! Calls to backend servers.
//!
//! Each attempt uses a new connection, so that its answer cannot belong to another request and so
//! that it is known whether any byte was sent.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use log::info;
use sha2::{Digest, Sha256};

use super::body::Body;
use super::client;
use super::completions::authenticate;
use super::problem::{Problem, Reason};
use super::retry_after;
use crate::account::Outcome;
use crate::claim::record::{self, Claim, Key};
use crate::claim::task::Verdict;
use crate::clock::{self, Clock};
use crate::config::split::{Caller, Route, SharedSettings};
use crate::route::servers::{End, ServerKey, Servers};
use crate::router::Router;
use crate::util::{hash64, unix_ms, within};
use crate::wire::Execution;

/// Timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which an unanswered idempotent call is also sent over a second connection, because the
/// first one may have failed silently.
const HEDGE_AFTER: Duration = Duration::from_millis(1000);

/// Maximum number of attempts of one call.
const ATTEMPTS_MAX: usize = 3;

/// Answers of this size or larger are discarded.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Request id sent to backend servers; an answer with another id is discarded.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Shortest `Retry-After` of a call that no backend server accepted.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Set on an answer that was replayed from the record of an earlier call.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

/// The servers, shared by the tasks of all calls.
pub type Shared = Rc<RefCell<Servers<clock::System>>>;

/// A caller's call to a backend service.
#[derive(Clone, Debug)]
struct Call {
    id: CompactString,
    head: Parts,
    body: Bytes,
    route: Route,
    deadline: Instant,
}

/// A complete answer of a backend server.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Result of an attempt.
#[derive(Debug)]
enum Attempt {
    Answered(Answer),
    /// The call was not executed: no byte was sent, or the server said so. Contains the cause.
    NotRun(String),
    /// The call may have been executed, but there is no usable answer. Contains the cause.
    Unknown(String),
}

/// Ends an attempt in [`Servers`] when dropped, also if its task is cancelled.
struct AttemptGuard {
    servers: Shared,
    server: ServerKey,
    end: End,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.servers.borrow_mut().end_attempt(self.server, self.end);
    }
}

/// Answers a call to a backend service, whose route is found by the path.
pub async fn answer(router: &Rc<Router>, head: Parts, body: Bytes) -> Response<Body> {
    let settings = router.settings();
    let Some(route) = settings.route(head.uri.path()) else {
        let detail = "unknown path; use POST /v1/completions or a route in the shared settings";
        return router.refuse(Problem::not_run(Reason::NotFound, detail));
    };
    let caller = match authenticate(&settings, &head.headers) {
        Ok(caller) => caller,
        Err(problem) => return router.refuse(problem),
    };
    let call = Call {
        id: router.new_request_id(),
        deadline: Instant::now() + route.timeout,
        route: route.clone(),
        head,
        body,
    };
    let (reply, response) = oneshot::channel();
    let task_router = router.clone();
    // The call runs in a task of its own, so that its outcome is recorded even if the caller
    // disconnects.
    router.request_tasks.spawn(async move {
        let partner = partner_of(&settings, &caller);
        task_router.dispatch.backend_call_started(&partner);
        let (outcome, response) = match call.route.idempotent {
            true => respond(
                &task_router,
                &call,
                run_idempotent(&task_router.backends, &call).await,
            ),
            false => run_keyed(&task_router, &call, &caller).await,
        };
        task_router.dispatch.backend_call_ended(&partner, outcome);
        let _ = reply.send(response);
    });
    response.await.unwrap_or_else(|_| {
        let detail = "the host stopped while the call ran; its outcome is unknown";
        Problem::new(Reason::OutcomeUnknown, Execution::Unknown, detail).into_response()
    })
}

fn partner_of(settings: &SharedSettings, caller: &Caller) -> CompactString {
    let team = settings.teams.get(&caller.team);
    team.map(|team| team.partner.clone()).unwrap_or_default()
}

/// Converts the result of an attempt into the outcome for the account and the response.
fn respond(router: &Router, call: &Call, attempt: Attempt) -> (Outcome, Response<Body>) {
    match attempt {
        Attempt::Answered(answer) => (Outcome::Served(0), answer.into_response()),
        Attempt::NotRun(cause) => {
            let detail = format!("no backend server accepted the call: {cause}; retry later");
            let problem = Problem::not_run(Reason::BackendUnavailable, detail);
            let held_for = router.backends.borrow().held_for(&call.route.service);
            refuse(router, problem.retry_after(RETRY_AFTER_MIN.max(held_for)))
        }
        Attempt::Unknown(cause) => {
            let detail = format!(
                "the backend server did not return a complete answer: {cause}; check whether the \
                 call took effect"
            );
            fail(Problem::new(
                Reason::OutcomeUnknown,
                Execution::Unknown,
                detail,
            ))
        }
    }
}

fn refuse(router: &Router, problem: Problem) -> (Outcome, Response<Body>) {
    (Outcome::Refused(problem.reason), router.refuse(problem))
}

fn fail(problem: Problem) -> (Outcome, Response<Body>) {
    info!(
        "event=call_failed reason={} work={:?}",
        problem.reason.as_str(),
        problem.work
    );
    (Outcome::Failed, problem.into_response())
}

/// Runs an idempotent call; a failed or slow attempt is retried within the retry budget.
async fn run_idempotent(servers: &Shared, call: &Call) -> Attempt {
    servers.borrow_mut().record_call(&call.route.service);
    let mut running = FuturesUnordered::new();
    let mut tried = Vec::new();
    let mut last = Attempt::NotRun("no server of the service is available".into());
    loop {
        let is_in_time = Instant::now() < call.deadline;
        let may_start = tried.len() < ATTEMPTS_MAX && is_in_time;
        if may_start && (tried.is_empty() || servers.borrow_mut().take_retry(&call.route.service)) {
            let begun = servers
                .borrow_mut()
                .begin_attempt(&call.route.service, &tried);
            if let Some((server, address)) = begun {
                tried.push(server);
                running.push(run_attempt(servers, server, address, call));
            }
        }
        if running.is_empty() {
            return last;
        }
        let wait = Box::pin(compio::time::sleep(HEDGE_AFTER));
        match select(running.next(), wait).await {
            Either::Left((Some(Attempt::Answered(answer)), _))
                if !is_gateway_error(answer.status) =>
            {
                return Attempt::Answered(answer);
            }
            // An attempt that was not executed does not rule out that an earlier one was.
            Either::Left((Some(Attempt::NotRun(_)), _)) if !matches!(last, Attempt::NotRun(_)) => {}
            Either::Left((Some(other), _)) => last = other,
            Either::Left((None, _)) | Either::Right(_) => {}
        }
    }
}

fn is_gateway_error(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

/// Runs a call that must not be executed twice: it is retried only while it is certain that no
/// attempt was executed.
async fn run_once(servers: &Shared, call: &Call) -> Attempt {
    let mut tried = Vec::new();
    let mut last = Attempt::NotRun("no server of the service is available".into());
    while tried.len() < ATTEMPTS_MAX && Instant::now() < call.deadline {
        let begun = servers
            .borrow_mut()
            .begin_attempt(&call.route.service, &tried);
        let Some((server, address)) = begun else {
            break;
        };
        tried.push(server);
        last = run_attempt(servers, server, address, call).await;
        if !matches!(last, Attempt::NotRun(_)) {
            break;
        }
    }
    last
}

async fn run_attempt(
    servers: &Shared,
    server: ServerKey,
    address: CompactString,
    call: &Call,
) -> Attempt {
    let mut guard = AttemptGuard {
        servers: servers.clone(),
        server,
        end: End::Failed,
    };
    let (end, attempt) = call_server(&address, call).await;
    guard.end = end;
    attempt
}

async fn call_server(address: &str, call: &Call) -> (End, Attempt) {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let sent = client::send(
        address,
        build_request(address, call),
        CONNECT_TIMEOUT.min(left),
    );
    let mut exchange = match within(left, sent).await {
        Some(Ok(exchange)) => exchange,
        Some(Err(err)) if err.is_unsent() => {
            return (End::Failed, Attempt::NotRun(err.to_string()));
        }
        Some(Err(err)) => return (End::Failed, Attempt::Unknown(err.to_string())),
        None => {
            return (
                End::Failed,
                Attempt::Unknown("no answer within the timeout".into()),
            );
        }
    };
    let left = call.deadline.saturating_duration_since(Instant::now());
    let body = match within(left, exchange.read_rest(ANSWER_BYTES_MAX)).await {
        Some(Ok(body)) if body.len() < ANSWER_BYTES_MAX => body,
        Some(Ok(_)) => {
            return (
                End::Failed,
                Attempt::Unknown("the answer is too large".into()),
            );
        }
        Some(Err(err)) => return (End::Failed, Attempt::Unknown(err.to_string())),
        None => {
            return (
                End::Failed,
                Attempt::Unknown("the answer was not complete within the timeout".into()),
            );
        }
    };
    let status = exchange.head.status();
    let headers = exchange.head.headers();
    let end = match retry_after::of_unavailable(status, headers) {
        Some(duration) => End::Held(duration),
        None => End::Answered,
    };
    let mut ids = headers.get_all(REQUEST_ID).iter();
    if ids.any(|id| id != call.id.as_str()) {
        let cause = "the answer belongs to another request".into();
        return (End::Failed, Attempt::Unknown(cause));
    }
    if let Some(problem) = refusal(headers, &body) {
        let end = match problem.reason {
            Reason::Leaving => End::Leaving,
            _ => end,
        };
        return (end, Attempt::NotRun(problem.detail));
    }
    let answer = Answer {
        status,
        headers: end_to_end_headers(headers),
        body: body.into(),
    };
    (end, Attempt::Answered(answer))
}

/// Returns the problem document of an answer that says that the call was not executed.
fn refusal(headers: &HeaderMap, body: &[u8]) -> Option<Problem> {
    let kind = headers.get(header::CONTENT_TYPE)?.as_bytes();
    if !kind.starts_with(b"application/problem+json") {
        return None;
    }
    let problem: Problem = serde_json::from_slice(body).ok()?;
    (problem.work == Execution::NotRun).then_some(problem)
}

/// Returns the headers to forward: without those of the connection and without the caller's API key.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const NOT_FORWARDED: [HeaderName; 8] = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::AUTHORIZATION,
    ];
    let mut passed = headers.clone();
    for name in NOT_FORWARDED {
        passed.remove(name);
    }
    passed
}

fn build_request(address: &str, call: &Call) -> hyper::Request<Full<Bytes>> {
    let path = call.head.uri.path_and_query();
    let mut request = hyper::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = path.map_or_else(hyper::Uri::default, |path| path.clone().into());
    *request.headers_mut() = end_to_end_headers(&call.head.headers);
    let headers = request.headers_mut();
    for (name, value) in [(header::HOST, address), (REQUEST_ID, &call.id)] {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    request
}

impl Answer {
    fn into_response(self) -> Response<Body> {
        let mut response = Response::new(Body::full(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }

    fn to_record(&self) -> record::Outcome {
        let kind = self.headers.get(header::CONTENT_TYPE);
        let text = std::str::from_utf8(&self.body).ok();
        let text = text.filter(|text| text.len() <= record::BODY_BYTES_MAX);
        record::Outcome::Answered(record::Response {
            status: self.status.as_u16(),
            content_type: kind
                .and_then(|kind| kind.to_str().ok())
                .unwrap_or_default()
                .into(),
            body: text.map(Into::into),
        })
    }
}

/// Runs a call with an idempotency key: at most one of the calls with the same key is executed, also
/// if they arrive at different routers.
async fn run_keyed(router: &Rc<Router>, call: &Call, caller: &Caller) -> (Outcome, Response<Body>) {
    let key = match parse_key(&call.head.headers) {
        Ok(key) => key,
        Err(problem) => return refuse(router, problem),
    };
    let Some(claims) = &router.claims else {
        let detail = "this host has no store, which calls with an Idempotency-Key need; add \
                      store = URL to its settings";
        return refuse(router, Problem::not_run(Reason::StoreUnavailable, detail));
    };
    let claim = Claim {
        key,
        body: call_digest(call),
        caller: hash64(&[caller.team.as_bytes(), caller.name.as_bytes()]),
        nonce: rand::random(),
        claimant: router.host.name.clone(),
        limit_ms: call.route.timeout.as_millis() as u64,
    };
    match claims.claim(&claim).await {
        Verdict::Granted => {}
        other => return answer_verdict(router, other),
    }
    // The timeout of the call starts when its claim was granted.
    let granted = Call {
        deadline: Instant::now() + call.route.timeout,
        ..call.clone()
    };
    let attempt = run_once(&router.backends, &granted).await;
    let outcome = match &attempt {
        Attempt::Answered(answer) => answer.to_record(),
        Attempt::NotRun(_) => record::Outcome::NotRun,
        Attempt::Unknown(_) => record::Outcome::Unknown,
    };
    claims.report(&claim, outcome);
    respond(router, call, attempt)
}

fn parse_key(headers: &HeaderMap) -> Result<Key, Problem> {
    let Some(text) = headers.get("idempotency-key") else {
        let detail = "this route needs an Idempotency-Key; send a UUID of version 7";
        return Err(Problem::not_run(Reason::KeyMissing, detail));
    };
    // The value may be a quoted string (RFC 8941).
    let text = text.to_str().unwrap_or_default().trim_matches('"');
    let key = Key::parse(text).ok_or_else(|| {
        let detail = "the Idempotency-Key is not a UUID of version 7; generate one for the call";
        Problem::not_run(Reason::KeyInvalid, detail)
    })?;
    match key.is_acceptable(unix_ms(clock::System.wall())) {
        true => Ok(key),
        false => Err(key_expired()),
    }
}

fn key_expired() -> Problem {
    let detail = "the key is older than 10 min or from the future; check whether the call took \
                  effect, and use a new key";
    Problem::not_run(Reason::KeyExpired, detail)
}

/// Returns a digest of method, path and body, by which a repeated call is recognized.
fn call_digest(call: &Call) -> [u8; 16] {
    let path = call.head.uri.path_and_query();
    let path = path.map_or("", |path| path.as_str());
    let mut digest = Sha256::new();
    for part in [call.head.method.as_str().as_bytes(), path.as_bytes()] {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.update(&call.body);
    let mut short = [0; 16];
    short.copy_from_slice(&digest.finalize()[..16]);
    short
}

fn answer_verdict(router: &Router, verdict: Verdict) -> (Outcome, Response<Body>) {
    let second = Duration::from_secs(1);
    match verdict {
        Verdict::Recorded(record::Outcome::Answered(answered)) => replay(answered),
        Verdict::Conflict => {
            let detail = "the key belongs to another call; use a new key";
            refuse(router, Problem::not_run(Reason::KeyConflict, detail))
        }
        Verdict::Expired => refuse(router, key_expired()),
        Verdict::Unavailable => {
            let detail = "the call could not be claimed, as the store or the owner of its key \
                          cannot be reached; retry with the same key";
            let problem = Problem::not_run(Reason::StoreUnavailable, detail);
            refuse(router, problem.retry_after(second))
        }
        Verdict::Granted | Verdict::Recorded(_) | Verdict::Unknown => {
            let detail = "an earlier call with this key may have run; check its effect before \
                          calling with a new key";
            fail(Problem::new(
                Reason::OutcomeUnknown,
                Execution::Unknown,
                detail,
            ))
        }
    }
}

fn replay(answered: record::Response) -> (Outcome, Response<Body>) {
    let Some(body) = answered.body else {
        let detail =
            "the call was executed, but its answer is too large to be stored; check its effect";
        return fail(Problem::new(Reason::AlreadyRan, Execution::Ran, detail));
    };
    let mut response = Response::new(Body::full(body.to_string()));
    *response.status_mut() = StatusCode::from_u16(answered.status).unwrap_or_default();
    let headers = response.headers_mut();
    if let Ok(kind) = HeaderValue::from_str(&answered.content_type) {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    (Outcome::Served(0), response)
}
