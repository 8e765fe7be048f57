//! Calls to backend services.
//!
//! Each attempt has a connection of its own, so that an answer cannot belong to another request
//! and an attempt that sent no byte is known as such.

use std::cell::RefCell;
use std::collections::BTreeMap;
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
use slotmap::{SlotMap, new_key_type};

use super::body::Body;
use super::client;
use super::completions::identify;
use super::problem::{Problem, Reason};
use crate::account::Outcome;
use crate::claim::record::{self, Claim, Key};
use crate::claim::task::Verdict;
use crate::clock::{self, Clock};
use crate::config::split::{Caller, Route, Split};
use crate::router::Router;
use crate::sched::retry;
use crate::util::{hash64, unix_ms, within};
use crate::wire::{Kind, Listing, Member, Work};

/// Longest time to connect to a backend server.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Time without an answer after which an idempotent call is also sent over a new connection,
/// because the first one may be silent for good.
const HEDGE_AFTER: Duration = Duration::from_millis(1000);

/// Most attempts of one call.
const ATTEMPTS_MAX: usize = 3;

/// Time for which a server that failed is passed over while others are left.
const FAILED_PENALTY: Duration = Duration::from_secs(2);

/// Greatest size of an answer in bytes.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Repeats allowed; bounds the extra load when every server fails.
const REPEATS: retry::Policy = retry::Policy {
    ratio: 0.1,
    slack: 20.0,
    window: Duration::from_secs(10),
    hosts: 1,
};

/// Names the caller's request on both hops; an answer that carries another value is discarded.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Set on the answer to a repeat that did not run again.
const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");

new_key_type! {
    /// A backend server.
    pub struct Server;
}

#[derive(Debug)]
struct State {
    name: CompactString,
    address: CompactString,
    service: CompactString,
    failure_domain: CompactString,
    running: u32,
    listed_leaving: bool,
    // The server's own word; it holds until the list names another address, or shows the server
    // live after it showed it leaving.
    said_leaving: bool,
    failed_at: Option<Instant>,
    picked: u64,
}

impl State {
    fn is_open(&self) -> bool {
        !self.listed_leaving && !self.said_leaving
    }
}

/// How an attempt on a server ended, as far as the choice of servers is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The server answered.
    Answered,
    /// The server could not be reached, or its connection broke or stayed silent.
    Failed,
    /// The server said that it takes no new work.
    Leaving,
}

/// The backend servers of all services, and the budget of repeated calls.
#[derive(Debug)]
pub struct Servers<C: Clock> {
    clock: C,
    failure_domain: CompactString,
    servers: SlotMap<Server, State>,
    picks: u64,
    repeats: retry::Budget,
}

impl<C: Clock> Servers<C> {
    /// Creates the state of a host in `failure_domain`.
    pub fn new(clock: C, failure_domain: CompactString) -> Self {
        Self {
            clock,
            failure_domain,
            servers: SlotMap::with_key(),
            picks: 0,
            repeats: retry::Budget::new(REPEATS),
        }
    }

    /// Takes over the membership list.
    pub fn set_members(&mut self, members: &[Member]) {
        let backends = || members.iter().filter(|member| member.kind == Kind::Backend);
        self.servers.retain(|_, state| {
            backends().any(|member| {
                member.name == state.name
                    && member.address == state.address
                    && member.service == state.service
            })
        });
        for member in backends() {
            let leaving = member.state == Listing::Leaving;
            let known = self.servers.values_mut();
            match { known }.find(|state| state.name == member.name) {
                Some(state) => {
                    state.said_leaving &= leaving || !state.listed_leaving;
                    state.listed_leaving = leaving;
                }
                None => {
                    self.servers.insert(State {
                        name: member.name.clone(),
                        address: member.address.clone(),
                        service: member.service.clone(),
                        failure_domain: member.failure_domain.clone(),
                        running: 0,
                        listed_leaving: leaving,
                        said_leaving: false,
                        failed_at: None,
                        picked: 0,
                    });
                }
            }
        }
    }

    /// Returns the servers that take work, by name, with the running calls of this host.
    pub fn overview(&self) -> BTreeMap<CompactString, u32> {
        let open = self.servers.values().filter(|state| state.is_open());
        open.map(|state| (state.name.clone(), state.running))
            .collect()
    }

    /// Chooses a server for an attempt, which ends with [`Servers::end`].
    ///
    /// Servers outside `tried` that did not fail lately go first, then those with the fewest
    /// running calls of this host, then those of the own failure domain.
    pub fn begin(&mut self, service: &str, tried: &[Server]) -> Option<(Server, CompactString)> {
        let now = self.clock.now();
        let candidates = self
            .servers
            .iter()
            .filter(|(_, state)| state.service == service && state.is_open());
        let (server, _) = candidates.min_by_key(|(key, state)| {
            let failed = state
                .failed_at
                .is_some_and(|at| now.duration_since(at) < FAILED_PENALTY);
            let foreign = state.failure_domain != self.failure_domain;
            (
                tried.contains(key),
                failed,
                state.running,
                foreign,
                state.picked,
            )
        })?;
        self.picks += 1;
        let state = &mut self.servers[server];
        state.running += 1;
        state.picked = self.picks;
        Some((server, state.address.clone()))
    }

    /// Notes the end of an attempt.
    pub fn end(&mut self, server: Server, end: End) {
        let now = self.clock.now();
        let Some(state) = self.servers.get_mut(server) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        match end {
            End::Answered => state.failed_at = None,
            End::Failed => state.failed_at = Some(now),
            End::Leaving => state.said_leaving = true,
        }
    }

    /// Notes a new call to a service.
    pub fn arrived(&mut self, service: &str) {
        let now = self.clock.now();
        self.repeats.arrived(service, now);
    }

    /// Returns whether the budget allows one more repeat, and takes it.
    pub fn spend(&mut self, service: &str) -> bool {
        let now = self.clock.now();
        self.repeats.spend(service, now)
    }
}

/// The servers as the tasks of calls share them.
pub type Shared = Rc<RefCell<Servers<clock::System>>>;

/// A call of a caller.
#[derive(Clone, Debug)]
struct Call {
    id: CompactString,
    head: Parts,
    body: Bytes,
    route: Route,
    deadline: Instant,
}

/// A whole answer of a backend server.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// What an attempt came to.
#[derive(Debug)]
enum Attempt {
    Answered(Answer),
    /// No byte of the call reached a server, or the server said that it did not run.
    NotRun(String),
    Unknown(String),
}

/// Ends an attempt in [`Servers`] also when its task is cancelled.
struct Running {
    servers: Shared,
    server: Server,
    end: End,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.servers.borrow_mut().end(self.server, self.end);
    }
}

/// Answers a call to a path of the split.
pub async fn answer(router: &Rc<Router>, head: Parts, body: Bytes) -> Response<Body> {
    let split = router.split();
    let Some(route) = split.route(head.uri.path()) else {
        let detail = "no such path; use POST /v1/completions or a route of the split";
        return router.refused(Problem::not_run(Reason::NotFound, detail));
    };
    let caller = match identify(&split, &head.headers) {
        Ok(caller) => caller,
        Err(problem) => return router.refused(problem),
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
    // A caller that goes away must not cancel a call halfway: its outcome is recorded.
    router.streams.spawn(async move {
        let partner = partner_of(&split, &caller);
        task_router.dispatch.submitted(&partner);
        let (outcome, response) = match call.route.idempotent {
            true => finish(&task_router, repeatable(&task_router.backends, &call).await),
            false => keyed(&task_router, &call, &caller).await,
        };
        task_router.dispatch.ended(&partner, outcome);
        let _ = reply.send(response);
    });
    response.await.unwrap_or_else(|_| {
        let detail = "the host stopped while the call ran; its outcome is unknown";
        Problem::new(Reason::OutcomeUnknown, Work::Unknown, detail).into_response()
    })
}

fn partner_of(split: &Split, caller: &Caller) -> CompactString {
    let team = split.teams.get(&caller.team);
    team.map(|team| team.partner.clone()).unwrap_or_default()
}

/// Turns the result of an attempt into the account's outcome and the response.
fn finish(router: &Router, attempt: Attempt) -> (Outcome, Response<Body>) {
    match attempt {
        Attempt::Answered(answer) => (Outcome::Served(0), answer.into_response()),
        Attempt::NotRun(cause) => {
            let detail = format!("no backend server took the call: {cause}; retry later");
            let problem = Problem::not_run(Reason::BackendUnavailable, detail);
            refuse(router, problem.retry_after(Duration::from_secs(1)))
        }
        Attempt::Unknown(cause) => {
            let detail =
                format!("the backend server gave no whole answer: {cause}; check its data");
            failed(Problem::new(Reason::OutcomeUnknown, Work::Unknown, detail))
        }
    }
}

fn refuse(router: &Router, problem: Problem) -> (Outcome, Response<Body>) {
    (Outcome::Refused(problem.reason), router.refused(problem))
}

fn failed(problem: Problem) -> (Outcome, Response<Body>) {
    info!(
        "event=call_failed reason={} work={:?}",
        problem.reason.as_str(),
        problem.work
    );
    (Outcome::Failed, problem.into_response())
}

/// Runs an idempotent call; a failed or slow attempt is repeated within the budget.
async fn repeatable(servers: &Shared, call: &Call) -> Attempt {
    servers.borrow_mut().arrived(&call.route.service);
    let mut running = FuturesUnordered::new();
    let mut tried = Vec::new();
    let mut last = Attempt::NotRun("the service has no server".into());
    loop {
        let in_time = Instant::now() < call.deadline;
        let may_start = tried.len() < ATTEMPTS_MAX && in_time;
        if may_start && (tried.is_empty() || servers.borrow_mut().spend(&call.route.service)) {
            let begun = servers.borrow_mut().begin(&call.route.service, &tried);
            if let Some((server, address)) = begun {
                tried.push(server);
                running.push(attempt(servers, server, address, call));
            }
        }
        if running.is_empty() {
            return last;
        }
        let wait = Box::pin(compio::time::sleep(HEDGE_AFTER));
        match select(running.next(), wait).await {
            Either::Left((Some(Attempt::Answered(answer)), _)) if !is_gateway(answer.status) => {
                return Attempt::Answered(answer);
            }
            // An attempt that did not run says nothing about an earlier one that may have.
            Either::Left((Some(Attempt::NotRun(_)), _)) if !matches!(last, Attempt::NotRun(_)) => {}
            Either::Left((Some(other), _)) => last = other,
            Either::Left((None, _)) | Either::Right(_) => {}
        }
    }
}

fn is_gateway(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

/// Runs a call that may not be repeated: only attempts that certainly did not run are followed by
/// another one.
async fn once(servers: &Shared, call: &Call) -> Attempt {
    let mut tried = Vec::new();
    let mut last = Attempt::NotRun("the service has no server".into());
    while tried.len() < ATTEMPTS_MAX && Instant::now() < call.deadline {
        let begun = servers.borrow_mut().begin(&call.route.service, &tried);
        let Some((server, address)) = begun else {
            break;
        };
        tried.push(server);
        last = attempt(servers, server, address, call).await;
        if !matches!(last, Attempt::NotRun(_)) {
            break;
        }
    }
    last
}

async fn attempt(servers: &Shared, server: Server, address: CompactString, call: &Call) -> Attempt {
    let mut running = Running {
        servers: servers.clone(),
        server,
        end: End::Failed,
    };
    let (end, attempt) = exchange(&address, call).await;
    running.end = end;
    attempt
}

async fn exchange(address: &str, call: &Call) -> (End, Attempt) {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let sent = client::send(address, request(address, call), CONNECT_LIMIT.min(left));
    let mut exchange = match within(left, sent).await {
        Some(Ok(exchange)) => exchange,
        Some(Err(err)) if err.is_unsent() => {
            return (End::Failed, Attempt::NotRun(err.to_string()));
        }
        Some(Err(err)) => return (End::Failed, Attempt::Unknown(err.to_string())),
        None => return (End::Failed, Attempt::Unknown("no answer in time".into())),
    };
    let left = call.deadline.saturating_duration_since(Instant::now());
    let body = match within(left, exchange.rest(ANSWER_BYTES)).await {
        Some(Ok(body)) if body.len() < ANSWER_BYTES => body,
        Some(Ok(_)) => {
            return (
                End::Failed,
                Attempt::Unknown("the answer is too long".into()),
            );
        }
        Some(Err(err)) => return (End::Failed, Attempt::Unknown(err.to_string())),
        None => {
            return (
                End::Failed,
                Attempt::Unknown("no end of the answer in time".into()),
            );
        }
    };
    let headers = exchange.head.headers();
    if headers
        .get(REQUEST_ID)
        .is_some_and(|id| id != call.id.as_str())
    {
        let cause = "the answer belongs to another request".into();
        return (End::Failed, Attempt::Unknown(cause));
    }
    if let Some(problem) = refusal(headers, &body) {
        let end = match problem.reason {
            Reason::Leaving => End::Leaving,
            _ => End::Answered,
        };
        return (end, Attempt::NotRun(problem.detail));
    }
    let answer = Answer {
        status: exchange.head.status(),
        headers: passed_on(headers),
        body: body.into(),
    };
    (End::Answered, Attempt::Answered(answer))
}

/// Returns the server's own word that the call did not run.
fn refusal(headers: &HeaderMap, body: &[u8]) -> Option<Problem> {
    let kind = headers.get(header::CONTENT_TYPE)?.as_bytes();
    if !kind.starts_with(b"application/problem+json") {
        return None;
    }
    let problem: Problem = serde_json::from_slice(body).ok()?;
    (problem.work == Work::NotRun).then_some(problem)
}

/// Returns the headers that cross a hop: neither those of the connection nor our own secrets.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    const OF_THE_HOP: [HeaderName; 8] = [
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
    for name in OF_THE_HOP {
        passed.remove(name);
    }
    passed
}

fn request(address: &str, call: &Call) -> hyper::Request<Full<Bytes>> {
    let path = call.head.uri.path_and_query();
    let mut request = hyper::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method.clone();
    *request.uri_mut() = path.map_or_else(hyper::Uri::default, |path| path.clone().into());
    *request.headers_mut() = passed_on(&call.head.headers);
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
        let mut response = Response::new(Body::whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }

    fn recorded(&self) -> record::Outcome {
        let kind = self.headers.get(header::CONTENT_TYPE);
        let text = std::str::from_utf8(&self.body).ok();
        let text = text.filter(|text| text.len() <= record::MAX_BODY_BYTES);
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

/// Runs a call at most once for its key, on whichever router it arrives.
async fn keyed(router: &Rc<Router>, call: &Call, caller: &Caller) -> (Outcome, Response<Body>) {
    let key = match key_of(&call.head.headers) {
        Ok(key) => key,
        Err(problem) => return refuse(router, problem),
    };
    let Some(claims) = &router.claims else {
        let detail = "this host has no store, so calls with a key cannot run; add store = URL";
        return refuse(router, Problem::not_run(Reason::StoreUnavailable, detail));
    };
    let claim = Claim {
        key,
        body: digest(call),
        caller: hash64(&[caller.team.as_bytes(), caller.name.as_bytes()]),
        nonce: rand::random(),
        claimant: router.host.name.clone(),
        limit_ms: call.route.timeout.as_millis() as u64,
    };
    match claims.claim(&claim).await {
        Verdict::Granted => {}
        other => return answer_of(router, other),
    }
    let timed = Call {
        deadline: Instant::now() + call.route.timeout,
        ..call.clone()
    };
    let attempt = once(&router.backends, &timed).await;
    let outcome = match &attempt {
        Attempt::Answered(answer) => answer.recorded(),
        Attempt::NotRun(_) => record::Outcome::NotRun,
        Attempt::Unknown(_) => record::Outcome::Unknown,
    };
    claims.report(&claim, outcome);
    finish(router, attempt)
}

fn key_of(headers: &HeaderMap) -> Result<Key, Problem> {
    let Some(text) = headers.get("idempotency-key") else {
        let detail = "this route needs an Idempotency-Key; send a UUID of version 7";
        return Err(Problem::not_run(Reason::KeyMissing, detail));
    };
    // The header's value may be quoted, as a string of RFC 8941.
    let text = text.to_str().unwrap_or_default().trim_matches('"');
    let key = Key::parse(text).ok_or_else(|| {
        let detail = "the Idempotency-Key is not a UUID of version 7; generate one for the call";
        Problem::not_run(Reason::KeyInvalid, detail)
    })?;
    match key.is_acceptable(unix_ms(clock::System.wall())) {
        true => Ok(key),
        false => Err(expired()),
    }
}

fn expired() -> Problem {
    let detail = "the key is older than 10 min or from the future; check what became of the call, \
                  and use a new key";
    Problem::not_run(Reason::KeyExpired, detail)
}

/// Returns a digest of all that makes two calls the same.
fn digest(call: &Call) -> [u8; 16] {
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

fn answer_of(router: &Router, verdict: Verdict) -> (Outcome, Response<Body>) {
    let second = Duration::from_secs(1);
    match verdict {
        Verdict::Recorded(record::Outcome::Answered(answered)) => replay(answered),
        Verdict::Conflict => {
            let detail = "the key belongs to a call with another body; use a new key";
            refuse(router, Problem::not_run(Reason::KeyConflict, detail))
        }
        Verdict::Expired => refuse(router, expired()),
        Verdict::Unavailable => {
            let detail = "the call could not be claimed, as the store or the owner of its key \
                          cannot be reached; retry with the same key";
            let problem = Problem::not_run(Reason::StoreUnavailable, detail);
            refuse(router, problem.retry_after(second))
        }
        Verdict::Granted | Verdict::Recorded(_) | Verdict::Unknown => {
            let detail = "an earlier call with this key may have run; check its effect before \
                          calling with a new key";
            failed(Problem::new(Reason::OutcomeUnknown, Work::Unknown, detail))
        }
    }
}

fn replay(answered: record::Response) -> (Outcome, Response<Body>) {
    let Some(body) = answered.body else {
        let detail = "the call ran, but its answer is too large to be kept; read its effect";
        return failed(Problem::new(Reason::AlreadyRan, Work::Ran, detail));
    };
    let mut response = Response::new(Body::whole(body.to_string()));
    *response.status_mut() = StatusCode::from_u16(answered.status).unwrap_or_default();
    let headers = response.headers_mut();
    if let Ok(kind) = HeaderValue::from_str(&answered.content_type) {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    (Outcome::Served(0), response)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::Manual;

    fn member(name: &str, domain: &str) -> Member {
        Member {
            name: name.into(),
            kind: Kind::Backend,
            address: name.into(),
            peer_address: None,
            failure_domain: domain.into(),
            region: "r".into(),
            state: Listing::Live,
            service: "booking".into(),
        }
    }

    /// Guards against calls that pile up on one server, leave the failure domain without need, or
    /// go to a server that is leaving or just failed.
    #[test]
    fn chooses_idle_and_near_servers() {
        let clock = Manual::default();
        let mut servers = Servers::new(clock.clone(), "fd-a".into());
        let list = [member("far", "fd-b"), member("near", "fd-a")];
        servers.set_members(&list);
        let (near, address) = servers.begin("booking", &[]).unwrap();
        assert_eq!(address, "near");
        let (far, address) = servers.begin("booking", &[]).unwrap();
        assert_eq!(address, "far");
        servers.end(near, End::Failed);
        assert_eq!(servers.begin("booking", &[]).unwrap().1, "far");
        clock.advance(FAILED_PENALTY);
        assert_eq!(servers.begin("booking", &[]).unwrap().1, "near");
        servers.end(far, End::Leaving);
        servers.set_members(&list);
        for _ in 0..5 {
            assert_eq!(servers.begin("booking", &[near]).unwrap().1, "near");
        }
        assert!(servers.begin("other", &[]).is_none());
        let mut leaving = list;
        leaving[0].state = Listing::Leaving;
        leaving[1].state = Listing::Leaving;
        servers.set_members(&leaving);
        assert!(servers.begin("booking", &[]).is_none());
        leaving[0].state = Listing::Live;
        servers.set_members(&leaving);
        assert_eq!(servers.begin("booking", &[]).unwrap().1, "far");
    }

    /// Guards against a fleet of failing servers that gets a multiple of its load.
    #[test]
    fn repeats_are_bounded() {
        let mut servers = Servers::new(Manual::default(), "fd-a".into());
        let repeats = (0..1000).filter(|_| {
            servers.arrived("booking");
            servers.spend("booking")
        });
        let repeats = repeats.count();
        assert!((100..=120).contains(&repeats), "{repeats}");
    }
}
