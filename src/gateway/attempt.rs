//! One attempt of a request at one engine, over a connection of its own.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_util::future::{Either, select};
use http_body_util::Full;
use hyper::{Request, Response};

use super::Gateway;
use super::call::{Answer, Sending};
use super::front::Admitted;
use super::protocol::Protocol;
use crate::clock::Clock;
use crate::http::client::{Connection, Error, Exchange};
use crate::route::load::Footprint;
use crate::route::registry::Engine;
use crate::supervisor::Signal;
use crate::util::within;

/// Longest time to connect to an engine. Engines are under a millisecond away, and one that went
/// dark never answers.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);

/// A request's place on an engine, and the replica of its run; given back when dropped.
#[derive(Debug)]
pub struct Place<C: Clock> {
    gateway: Rc<Gateway<C>>,
    /// The engine.
    pub engine: Engine,
    /// The engine that holds the replica.
    pub replica: Option<Engine>,
    footprint: Footprint,
    had_output: bool,
}

impl<C: Clock> Place<C> {
    /// Takes a place.
    pub fn new(
        gateway: &Rc<Gateway<C>>,
        engine: Engine,
        replica: Option<Engine>,
        footprint: Footprint,
    ) -> Self {
        let mut registry = gateway.registry.borrow_mut();
        registry.begin(engine, footprint);
        if let Some(replica) = replica {
            registry.hold_replica(replica, footprint);
        }
        Self {
            gateway: gateway.clone(),
            engine,
            replica,
            footprint,
            had_output: false,
        }
    }

    /// Notes output of the engine.
    pub fn has_output(&mut self) {
        if self.had_output {
            return;
        }
        self.had_output = true;
        let mut registry = self.gateway.registry.borrow_mut();
        registry.set_prefilled(self.engine, self.footprint);
        registry.set_answered(self.engine);
    }
}

impl<C: Clock> Drop for Place<C> {
    fn drop(&mut self) {
        let mut registry = self.gateway.registry.borrow_mut();
        registry.end(self.engine, self.footprint, self.had_output);
        if let Some(replica) = self.replica {
            registry.release_replica(replica, self.footprint);
        }
    }
}

/// What an attempt goes on from.
#[derive(Clone, Debug, Default)]
pub struct Start {
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Id of the run whose replica the engine holds, if it does.
    pub copy_of: Option<CompactString>,
}

/// Why an attempt has no answer that can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// No byte reached the engine.
    Unsent,
    /// The engine says that it did not run the request.
    NotRun,
    /// Another engine has the address; the request did not run.
    OtherEngine,
    /// The answer was lost, or is not the engine's own.
    Lost,
    /// No answer in time.
    Silent,
    /// The engine is lost with all that runs on it.
    EngineLost,
}

impl Fault {
    /// Returns whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::NotRun | Self::OtherEngine)
    }

    /// Returns the fault as it is written in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::NotRun => "not-run",
            Self::OtherEngine => "other-engine",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::EngineLost => "engine-lost",
        }
    }
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct Open {
    /// The connection.
    pub exchange: Exchange,
    /// Whether the engine reports success.
    pub is_success: bool,
}

/// Sends a request to the engine of `place` and waits for the head of its answer until `until`.
///
/// # Errors
/// [`Fault`], with which the registry was told what it says about the engine.
pub async fn open<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &Admitted,
    place: &Place<C>,
    start: &Start,
    until: Instant,
) -> Result<Open, Fault> {
    note_place(gateway, admitted, place, start);
    let started = gateway.clock.now();
    let result = send::<C, P>(gateway, admitted, place, start, until).await;
    let mut registry = gateway.registry.borrow_mut();
    let engine = place.engine;
    let name = registry
        .get(engine)
        .map(|state| state.registration.id.clone());
    let name = name.unwrap_or_default();
    match &result {
        Ok(open) if open.is_success => {}
        Ok(_) => registry.set_failed(engine),
        Err(Fault::Unsent | Fault::Silent | Fault::EngineLost) => registry.set_unreachable(engine),
        Err(Fault::OtherEngine) => registry.remove(&name),
        Err(Fault::Lost) => registry.set_failed(engine),
        Err(Fault::NotRun) => {}
    }
    let took = gateway.clock.now().duration_since(started);
    gateway.metrics.took("attempt_head", took);
    match &result {
        Ok(open) => {
            let outcome = if open.is_success {
                "success"
            } else {
                "failure"
            };
            gateway.metrics.decided("attempt", outcome);
        }
        Err(fault) => {
            gateway.metrics.decided("attempt", fault.as_str());
            admitted.trace.note(
                "attempt_failed",
                format_args!(
                    "engine={name} fault={} work={} from_copy={} after_ms={}",
                    fault.as_str(),
                    if fault.is_not_run() {
                        "not-run"
                    } else {
                        "unknown"
                    },
                    start.copy_of.is_some(),
                    took.as_millis(),
                ),
            );
        }
    }
    result
}

/// Logs where a request is sent, and what was known of that engine.
fn note_place<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &Admitted,
    place: &Place<C>,
    start: &Start,
) {
    let registry = gateway.registry.borrow();
    let Some(state) = registry.get(place.engine) else {
        return;
    };
    let replica = place.replica.and_then(|replica| registry.get(replica));
    let load = state.total_load();
    admitted.trace.note(
        "placed",
        format_args!(
            "engine={} failure_domain={} replica={} from_copy={} running={} reading={} memory={} \
             engines_age_ms={} reports_age_ms={}",
            state.registration.id,
            state.registration.failure_domain,
            replica.map_or("none", |replica| replica.registration.id.as_str()),
            start.copy_of.is_some(),
            load.running,
            load.reading,
            load.memory,
            gateway.directory_age().as_millis(),
            registry.reports_age().as_millis(),
        ),
    );
}

async fn send<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &Admitted,
    place: &Place<C>,
    start: &Start,
    until: Instant,
) -> Result<Open, Fault> {
    let (address, lost) = {
        let registry = gateway.registry.borrow();
        let state = registry.get(place.engine).ok_or(Fault::Unsent)?;
        (state.registration.address.clone(), state.lost.clone())
    };
    let mut connection = Connection::open(&address, CONNECT_LIMIT)
        .await
        .map_err(|_| Fault::Unsent)?;
    gateway.registry.borrow_mut().set_connected(place.engine);
    let request = {
        let now = gateway.clock.now();
        let left = admitted.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Err(Fault::Unsent);
        }
        build::<C, P>(gateway, admitted, place, start, left, &address).ok_or(Fault::Unsent)?
    };
    let left = until.saturating_duration_since(gateway.clock.now());
    gateway.registry.borrow_mut().set_heard(place.engine);
    let may_leave = admitted.route.repeat.is_repeatable();
    let answer = within(left, connection.send(request));
    let response = match unless(&lost, may_leave, answer).await {
        Some(Some(Ok(response))) => response,
        Some(Some(Err(Error::Connect { .. }))) => return Err(Fault::Unsent),
        Some(Some(Err(Error::Response { .. }))) => return Err(Fault::Lost),
        Some(None) => return Err(Fault::Silent),
        None => return Err(Fault::EngineLost),
    };
    gateway.registry.borrow_mut().set_heard(place.engine);
    let exchange = Exchange::new(response, connection);
    match P::answer(&exchange.head, &admitted.call.id) {
        Answer::Success => Ok(Open {
            exchange,
            is_success: true,
        }),
        Answer::Failure => Ok(Open {
            exchange,
            is_success: false,
        }),
        Answer::NotRun => Err(Fault::NotRun),
        Answer::OtherEngine => Err(Fault::OtherEngine),
        Answer::Foreign => Err(Fault::Lost),
    }
}

/// Waits for `future`; if `may_leave`, only until the engine is lost. A request that must not run
/// twice gains nothing from an earlier end, as its answer may still come.
async fn unless<F: Future>(lost: &Signal, may_leave: bool, future: F) -> Option<F::Output> {
    if !may_leave {
        return Some(future.await);
    }
    match select(pin!(future), pin!(lost.wait())).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

fn build<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &Admitted,
    place: &Place<C>,
    start: &Start,
    left: Duration,
    address: &str,
) -> Option<Request<Full<compio::bytes::Bytes>>> {
    let registry = gateway.registry.borrow();
    let engine = &registry.get(place.engine)?.registration;
    let replica = place.replica.and_then(|replica| registry.get(replica));
    let mut request = Request::builder()
        .method(admitted.method.clone())
        .uri(admitted.path.as_str())
        .body(Full::new(admitted.body.clone()))
        .ok()?;
    *request.headers_mut() = admitted.headers.clone();
    let sending = Sending {
        id: &admitted.call.id,
        left,
        engine: &engine.id,
        team: admitted.team.as_deref(),
        rank: (admitted.capacity > 0).then_some(admitted.rank),
        replica: replica.map(|replica| replica.registration.address.as_str()),
        copy: start.copy_of.as_deref().map(|run| (address, run)),
        last_event: start.last_event,
    };
    P::attempt(request.headers_mut(), &sending);
    Some(request)
}

/// Returns the head of an engine's answer without the headers of its connection.
pub fn head_of(head: &Response<()>) -> hyper::http::response::Builder {
    const OF_CONNECTION: [&str; 5] = [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "upgrade",
    ];
    let mut response = Response::builder().status(head.status());
    for (name, value) in head.headers() {
        if !OF_CONNECTION.contains(&name.as_str()) {
            response = response.header(name, value);
        }
    }
    response
}
