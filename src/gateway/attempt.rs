//! One attempt to send a request to an engine, over a new connection.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};

use super::call::{Attempt, Outcome};
use super::failover::Cause;
use super::fault::Fault;
use super::protocol::Protocol;
use super::reach::{self, Unreached};
use super::replica::Replica;
use super::request::AdmittedRequest;
use super::{Gateway, check, crash, notice, versions};
use crate::clock::Clock;
use crate::http::client::{Connection, Error, Exchange};
use crate::rollout::Answer;
use crate::route::held::Prefix;
use crate::route::load::Footprint;
use crate::route::registry::{Engine, Estimate};
use crate::util::within;

/// Shortest and longest time for which a request waits while this host reaches nothing. Between
/// them it is the route's target for the response: later the caller had better try another host.
const CONTACT_WAIT: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// Load that a request adds to an engine, and to the engine that holds the replica of its run. It
/// is removed from the registry when dropped.
#[derive(Debug)]
pub struct Placement<C: Clock> {
    gateway: Rc<Gateway<C>>,
    /// The engine that runs the request.
    pub engine: Engine,
    /// The engine that holds the replica of the run.
    pub replica: Option<Engine>,
    /// What is expected of the engine; `None` if the request has no prompt, or is placed by load alone.
    pub estimate: Option<Estimate>,
    /// When the request was placed.
    pub placed_at: Instant,
    footprint: Footprint,
    has_output: bool,
    // Beginnings of the prompt that the engine prefills, and since when. Set if the time to the first event
    // tells how fast it reads.
    reading: Option<(Vec<Prefix>, Instant)>,
    // Counts the answer for the version of the engine.
    sample: Option<versions::Sample<C>>,
}

impl<C: Clock> Placement<C> {
    /// Adds the request to the load of both engines.
    pub fn new(
        gateway: &Rc<Gateway<C>>,
        engine: Engine,
        replica: Option<Engine>,
        admitted: &AdmittedRequest,
    ) -> Self {
        let sample = versions::Sample::begin(gateway, admitted, engine);
        let mut registry = gateway.registry.borrow_mut();
        let estimate = registry.estimate(engine, &admitted.need(&[]));
        let is_timed = estimate.is_some() && admitted.route.kind.is_stream();
        let footprint = Footprint {
            held: estimate.map_or(0, |estimate| estimate.held),
            ..admitted.call.footprint()
        };
        registry.begin(engine, footprint);
        if let Some(replica) = replica {
            registry.hold_replica(replica, footprint);
        }
        Self {
            gateway: gateway.clone(),
            engine,
            replica,
            estimate,
            placed_at: gateway.clock.now(),
            footprint,
            has_output: false,
            reading: is_timed.then(|| (admitted.prefixes.clone(), gateway.clock.now())),
            sample,
        }
    }

    /// Records that the engine reported a failure.
    fn record_failure(&self) {
        if let Some(sample) = &self.sample {
            sample.record_failure(Answer::Failed);
        }
    }

    /// Records that the engine's response was lost or broke off.
    pub fn record_break(&self) {
        if let Some(sample) = &self.sample {
            sample.record_failure(Answer::Broken);
        }
    }

    /// Records the time of an attempt that was given up because the engine did not answer.
    fn record_silence(&self) {
        if let Some(sample) = &self.sample {
            sample.record_begun();
        }
    }

    /// Records that the engine goes on from a replica, so that it does not read the prompt.
    pub fn skip_reading(&mut self) {
        self.reading = None;
    }

    /// Moves the load of the replica to the engine that holds it from now on.
    pub fn set_replica(&mut self, engine: Engine) {
        let mut registry = self.gateway.registry.borrow_mut();
        if let Some(earlier) = self.replica.replace(engine) {
            registry.release_replica(earlier, self.footprint);
        }
        registry.hold_replica(engine, self.footprint);
    }

    /// Records that the engine sent output, which shows that it has prefilled the prompt.
    pub fn record_output(&mut self) {
        if self.has_output {
            return;
        }
        self.has_output = true;
        if let Some(sample) = &self.sample {
            sample.record_begun();
        }
        let mut registry = self.gateway.registry.borrow_mut();
        registry.set_prefilled(self.engine, self.footprint);
        registry.set_answered(self.engine);
        let Some(((prompt, sent_at), estimate)) = self.reading.take().zip(self.estimate) else {
            return;
        };
        let footprint = self.footprint;
        registry.record_reading(self.engine, &prompt, footprint, estimate.queued, sent_at);
        let metrics = &self.gateway.metrics;
        metrics.count_prompt_tokens("held", footprint.held);
        metrics.count_prompt_tokens("read", footprint.unread());
        metrics.record_duration("first_event_expected", estimate.first_event);
        let took = self.gateway.clock.now().duration_since(sent_at);
        metrics.record_duration("first_event", took);
    }
}

impl<C: Clock> Drop for Placement<C> {
    fn drop(&mut self) {
        let mut registry = self.gateway.registry.borrow_mut();
        registry.end(self.engine, self.footprint, self.has_output);
        if let Some(replica) = self.replica {
            registry.release_replica(replica, self.footprint);
        }
    }
}

/// Where an attempt continues a stream; the default starts from the beginning.
#[derive(Clone, Debug, Default)]
pub struct ResumePoint {
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
    /// The replica to resume from, if the engine holds one.
    pub replica: Option<Replica>,
}

/// A response whose head has arrived and whose body has not been read.
#[derive(Debug)]
pub struct OpenResponse {
    /// The head of the response and the connection that delivers its body.
    pub exchange: Exchange,
    /// Whether the engine reports success.
    pub is_success: bool,
}

/// Sends a request to the engine of `placement` and waits for the head of the response until the
/// deadline, or until `failover` gives the engine up. Records in the registry what the result says about
/// the engine.
///
/// # Errors
/// [`Fault`] if there is no response that belongs to this request.
pub async fn open<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &AdmittedRequest,
    placement: &Placement<C>,
    resume_point: &ResumePoint,
    failover: impl Future<Output = Cause>,
) -> Result<OpenResponse, Fault> {
    log_placement(gateway, admitted, placement, resume_point);
    let started = gateway.clock.now();
    let result = send::<C, P>(gateway, admitted, placement, resume_point, failover).await;
    let engine = placement.engine;
    let mut registry = gateway.registry.borrow_mut();
    let id = registry
        .get(engine)
        .map(|state| state.registration.id.clone());
    let id = id.unwrap_or_default();
    match &result {
        Ok(open) if open.is_success => {}
        Ok(_) => registry.set_failed(engine),
        Err(Fault::Unsent) => registry.set_unreachable(engine),
        Err(Fault::Silent) => registry.set_suspect(engine),
        Err(Fault::OtherEngine) => registry.set_replaced(engine),
        Err(Fault::Lost | Fault::Busy | Fault::UnstatedRefusal) => registry.set_failed(engine),
        Err(Fault::Declined | Fault::NotRun | Fault::NoContact | Fault::EngineLost) => {}
    }
    drop(registry);
    match &result {
        Ok(open) if !open.is_success => placement.record_failure(),
        Err(Fault::UnstatedRefusal) => placement.record_failure(),
        Err(Fault::Lost) => placement.record_break(),
        Err(Fault::Silent) => placement.record_silence(),
        _ => {}
    }
    check::start_if_due(gateway, engine);
    let elapsed = gateway.clock.now().duration_since(started);
    gateway.metrics.record_duration("attempt_head", elapsed);
    match &result {
        Ok(open) => {
            let outcome = if open.is_success {
                "success"
            } else {
                "failure"
            };
            gateway.metrics.count_decision("attempt", outcome);
        }
        Err(fault) => {
            gateway.metrics.count_decision("attempt", fault.as_str());
            admitted.trace.log(
                "attempt_failed",
                format_args!(
                    "engine={id} fault={} work={} from_copy={} after_ms={}",
                    fault.as_str(),
                    if fault.is_not_run() {
                        "not-run"
                    } else {
                        "unknown"
                    },
                    resume_point.replica.is_some(),
                    elapsed.as_millis(),
                ),
            );
        }
    }
    result
}

/// Logs the engine that a request is sent to and the load that was known of it.
fn log_placement<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &AdmittedRequest,
    placement: &Placement<C>,
    resume_point: &ResumePoint,
) {
    let registry = gateway.registry.borrow();
    let Some(state) = registry.get(placement.engine) else {
        return;
    };
    let replica = placement.replica.and_then(|replica| registry.get(replica));
    let load = state.total_load();
    let estimate = placement.estimate.unwrap_or_default();
    admitted.trace.log(
        "placed",
        format_args!(
            "engine={} failure_domain={} replica={} from_copy={} running={} reading={} memory={} \
             engines_age_ms={} reports_age_ms={} expected_first_event_ms={} held={}",
            state.registration.id,
            state.registration.failure_domain,
            replica.map_or("none", |replica| replica.registration.id.as_str()),
            resume_point.replica.is_some(),
            load.running,
            load.reading,
            load.memory,
            gateway.engines_age().as_millis(),
            registry.reports_age().as_millis(),
            estimate.first_event.as_millis(),
            estimate.held,
        ),
    );
}

async fn send<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &AdmittedRequest,
    placement: &Placement<C>,
    resume_point: &ResumePoint,
    failover: impl Future<Output = Cause>,
) -> Result<OpenResponse, Fault> {
    let address = {
        let registry = gateway.registry.borrow();
        let state = registry.get(placement.engine).ok_or(Fault::Unsent)?;
        state.registration.address.clone()
    };
    let limit = contact_limit(gateway, admitted);
    // Boxed, so that a request that waits for its response does not hold the memory of this step.
    let stream = Box::pin(reach::connect(gateway, placement.engine, &address, limit))
        .await
        .map_err(|cause| match cause {
            Unreached::Refused | Unreached::Unanswered => Fault::Unsent,
            Unreached::Busy => Fault::Busy,
            Unreached::NoContact => Fault::NoContact,
        })?;
    let mut connection = Connection::start(&address, stream)
        .await
        .map_err(|_| Fault::NoContact)?;
    gateway
        .registry
        .borrow_mut()
        .set_connected(placement.engine);
    if gateway.registry.borrow().is_declining(placement.engine) {
        return Err(Fault::Declined);
    }
    let request = {
        let now = gateway.clock.now();
        let left = admitted.deadline.saturating_duration_since(now);
        if left.is_zero() {
            return Err(Fault::Unsent);
        }
        build_request::<C, P>(gateway, admitted, placement, resume_point, left, &address)
            .ok_or(Fault::Unsent)?
    };
    let left = admitted
        .deadline
        .saturating_duration_since(gateway.clock.now());
    gateway.registry.borrow_mut().set_heard(placement.engine);
    let response = {
        let answer = pin!(within(left, connection.send(request)));
        match select(answer, pin!(failover)).await {
            Either::Left((Some(Ok(response)), _)) => response,
            Either::Left((Some(Err(Error::Connect { .. })), _)) => return Err(Fault::Unsent),
            Either::Left((Some(Err(Error::Response { .. })), _)) => {
                crash::record_possible(gateway, admitted, placement.engine);
                return Err(Fault::Lost);
            }
            Either::Left((None, _)) | Either::Right((Cause::Silent, _)) => {
                return Err(Fault::Silent);
            }
            Either::Right((Cause::Lost, _)) => {
                crash::record_possible(gateway, admitted, placement.engine);
                return Err(Fault::EngineLost);
            }
        }
    };
    gateway.registry.borrow_mut().set_heard(placement.engine);
    let exchange = Exchange::new(response, connection);
    let answer = P::decode_response(&exchange.head, &admitted.call.id);
    notice::record(gateway, placement.engine, &answer);
    let is_stream = admitted.route.kind.is_stream();
    match answer.outcome {
        Outcome::Success if is_stream && !is_event_stream(&exchange.head) => Err(Fault::Lost),
        Outcome::Success => Ok(OpenResponse {
            exchange,
            is_success: true,
        }),
        Outcome::Failure => Ok(OpenResponse {
            exchange,
            is_success: false,
        }),
        Outcome::UnstatedRefusal => Err(Fault::UnstatedRefusal),
        Outcome::NotRun => Err(Fault::NotRun),
        Outcome::OtherEngine => Err(Fault::OtherEngine),
        Outcome::Foreign => Err(Fault::Lost),
    }
}

/// Returns whether a successful response is a stream of events, by its status and type. It may have no
/// type.
fn is_event_stream(head: &Response<()>) -> bool {
    const EVENT_STREAM: &[u8] = b"text/event-stream";
    let kind = head.headers().get(hyper::header::CONTENT_TYPE);
    let kind = kind.map(|kind| kind.as_bytes().split(|byte| *byte == b';'));
    let kind = kind.and_then(|mut parts| parts.next());
    let is_events = kind.is_none_or(|kind| kind.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM));
    head.status() == StatusCode::OK && is_events
}

/// Returns for how long to wait for a connection while this host reaches nothing.
fn contact_limit<C: Clock>(gateway: &Gateway<C>, admitted: &AdmittedRequest) -> Duration {
    let left = admitted
        .deadline
        .saturating_duration_since(gateway.clock.now());
    let wait = admitted.route.target_latency;
    wait.clamp(CONTACT_WAIT.0, CONTACT_WAIT.1).min(left)
}

fn build_request<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: &AdmittedRequest,
    placement: &Placement<C>,
    resume_point: &ResumePoint,
    left: Duration,
    address: &str,
) -> Option<Request<Full<compio::bytes::Bytes>>> {
    let registry = gateway.registry.borrow();
    let engine = &registry.get(placement.engine)?.registration;
    let replica = placement.replica.and_then(|replica| registry.get(replica));
    let mut request = Request::builder()
        .method(admitted.method.clone())
        .uri(admitted.path_and_query.as_str())
        .body(Full::new(admitted.body.clone()))
        .ok()?;
    *request.headers_mut() = admitted.headers.clone();
    let attempt = Attempt {
        id: &admitted.call.id,
        time_left: left,
        engine_id: &engine.id,
        team: admitted.team.as_deref(),
        rank: (admitted.memory_tokens > 0).then_some(admitted.rank),
        replica_address: replica.map(|replica| replica.registration.address.as_str()),
        resume_from: resume_point.replica.as_ref().map(|replica| {
            let source = replica.source.as_deref();
            (source.unwrap_or(address), replica.id.as_str())
        }),
        last_event: resume_point.last_event,
    };
    P::add_attempt_headers(request.headers_mut(), &attempt);
    Some(request)
}

/// Starts a response to the caller with the status and headers of the engine's response, without
/// the headers that belong to the engine's connection.
pub fn response_builder(head: &Response<()>) -> hyper::http::response::Builder {
    const NOT_FORWARDED: [&str; 5] = [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "upgrade",
    ];
    let mut response = Response::builder().status(head.status());
    for (name, value) in head.headers() {
        if !NOT_FORWARDED.contains(&name.as_str()) {
            response = response.header(name, value);
        }
    }
    response
}
