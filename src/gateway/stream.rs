//! Requests whose response is a stream of numbered events.
//!
//! When the engine of a resumable stream is lost, the stream continues on another engine after the
//! last event that the caller has, from a replica of the run if there is one.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::Response;

use super::attempt::{self, OpenResponse, Placement, ResumePoint, response_builder};
use super::attempts::Attempts;
use super::failover::Failover;
use super::fault::Fault;
use super::protocol::Protocol;
use super::refusal::Refusal;
use super::replica::Replica;
use super::request::AdmittedRequest;
use super::{Gateway, crash, handover, versions};
use crate::clock::Clock;
use crate::http::body::Body;
use crate::http::problem::Reason;
use crate::relay::event_stream::Position;
use crate::relay::handover::LocalStream;
use crate::relay::reprefill::{self, Outcome};
use crate::relay::silence;
use crate::route::registry::{Engine, Need, Versions};
use crate::util::within;

mod copies;
mod forwarding;

/// A request is refused after it was rejected by this many engines.
const REJECTED_ATTEMPTS_MAX: u32 = 12;

/// Pause while there is no engine to try, before those that failed are tried again.
const NO_ENGINE_PAUSE: Duration = Duration::from_millis(60);

/// Pause after the last engine that a begun stream may try in one round, before the next round.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// A stream is not retried when less time than this is left until its deadline.
const RETRY_TIME_LEFT_MIN: Duration = Duration::from_millis(300);

/// Longest wait for a retry while the budget is used up, unless the engine might have gone on. Callers
/// accept longer waits for the first event, and a late event is better than a stream that breaks off.
const RETRY_WAIT_MAX: Duration = Duration::from_secs(2);

/// Time between two tries to take a retry out of the budget.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for the body of a failure that an engine reports.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// A stream to a caller, across all its attempts.
struct Stream<C: Clock> {
    gateway: Rc<Gateway<C>>,
    admitted: AdmittedRequest,
    position: Position,
    attempts: Attempts<C>,
    /// Whether an engine got past the beginning of the response, so that the prompt is not what ends
    /// engines.
    has_passed: bool,
    /// The replica to resume from.
    resume_replica: Option<Replica>,
    /// Which attempts prefill the prompt once more.
    reprefill: reprefill::Tracker,
    /// Whether the caller has the head of a response.
    is_begun: bool,
    /// Longest wait for a retry; `None` if only the deadline ends it.
    retry_wait: Option<Duration>,
    /// Key in the list of streams that are reported to other hosts; `None` if the stream cannot be
    /// resumed there.
    local: Option<LocalStream>,
}

/// Serves a stream. Returns once an engine has sent the head of its response; a task forwards the
/// events.
///
/// # Errors
/// [`Refusal`] if no engine responded.
pub async fn serve<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: AdmittedRequest,
) -> Result<Response<Body>, Refusal> {
    let handed_over = handover::find(gateway, &admitted).await;
    let mut stream = Stream {
        local: handover::list(gateway, &admitted),
        position: Position::after(admitted.call.last_event),
        gateway: gateway.clone(),
        attempts: Attempts::new(gateway, admitted.service.clone()),
        has_passed: false,
        is_begun: false,
        retry_wait: Some(RETRY_WAIT_MAX),
        admitted,
        reprefill: reprefill::Tracker::new(handed_over.as_ref().err().copied()),
        resume_replica: handed_over.unwrap_or_default(),
    };
    let (open, placement) = stream.open_next::<P>().await?;
    let head = response_builder(&open.exchange.head);
    if !open.is_success {
        return stream.forward_failure(open, head).await;
    }
    let (writer, body) = Body::channel();
    stream.is_begun = true;
    let active = stream.activate(open, placement);
    gateway
        .stream_tasks
        .spawn(stream.relay::<P>(active, writer));
    head.body(body).map_err(|_| answer_lost())
}

impl<C: Clock> Drop for Stream<C> {
    fn drop(&mut self) {
        if let Some(key) = self.local {
            let now = self.gateway.clock.now();
            self.gateway.local_streams.borrow_mut().end(key, now);
        }
    }
}

fn answer_lost() -> Refusal {
    let detail = "the engine's answer is lost; resume with the id of the last received event";
    Refusal::unknown(Reason::AnswerLost, detail)
}

impl<C: Clock> Stream<C> {
    /// Makes attempts until an engine responds, and returns its response. A response that reports
    /// failure is returned only if the request cannot be retried.
    async fn open_next<P: Protocol>(&mut self) -> Result<(OpenResponse, Placement<C>), Refusal> {
        loop {
            if !self.wait_until_allowed().await {
                return Err(self.refusal());
            }
            if crash::is_blocked(&self.gateway, &self.admitted) {
                return Err(self.blocked());
            }
            if self.attempts.possible_runs == 0 {
                self.gateway.check_time_left(&self.admitted)?;
            }
            let resume_replica = self.resume_replica.take();
            let was_replicated = resume_replica.is_some();
            let resume_replica = resume_replica.filter(|replica| self.may_resume(replica.engine));
            if was_replicated && resume_replica.is_none() {
                self.reprefill.record_replica_lost();
            }
            let from = resume_replica.as_ref().map(|replica| replica.engine);
            let Some(engine) = from.or_else(|| self.choose_engine()) else {
                let is_retried = !self.attempts.excluded.is_empty() && self.has_retry_time();
                if !is_retried && !self.can_wait() {
                    return Err(self.refusal());
                }
                self.attempts.excluded.clear();
                compio::time::sleep(NO_ENGINE_PAUSE).await;
                continue;
            };
            let is_resumed = resume_replica.is_some();
            self.attempts.begin();
            let (result, placement) = match self.open_at::<P>(engine, resume_replica.clone()).await
            {
                Some(opened) => opened,
                None => return Err(crash::stopped()),
            };
            self.record_prefill(is_resumed, result.as_ref().err().copied());
            match result {
                Ok(open) if open.is_success => {
                    self.attempts.record_answer();
                    return Ok((open, placement));
                }
                Ok(open) => {
                    self.attempts.record_answer();
                    self.attempts.excluded.push(engine);
                    if !self.admitted.route.kind.is_retryable() || !self.has_attempts_left() {
                        return Ok((open, placement));
                    }
                }
                Err(Fault::NoContact) => {
                    self.attempts.record_no_contact();
                    if !self.can_wait() {
                        return Err(self.refusal());
                    }
                    self.resume_replica = resume_replica;
                    compio::time::sleep(NO_ENGINE_PAUSE).await;
                }
                Err(fault) => {
                    self.attempts.record_fault(engine, fault);
                    if self.is_begun && matches!(fault, Fault::Silent | Fault::EngineLost) {
                        self.retry_wait = None;
                    }
                    if !fault.is_not_run() && !self.admitted.route.kind.is_retryable() {
                        return Err(answer_lost());
                    }
                }
            }
            drop(placement);
            if !self.has_attempts_left() {
                return Err(self.refusal());
            }
            if self.attempts.is_unplaceable(REJECTED_ATTEMPTS_MAX) {
                if !self.can_wait() {
                    return Err(self.refusal());
                }
                self.attempts.begin_round();
                compio::time::sleep(ROUND_PAUSE).await;
            }
        }
    }

    /// Makes one attempt at `engine`, from the replica there if given. Returns `None` if the
    /// request has become known to crash engines meanwhile.
    async fn open_at<P: Protocol>(
        &mut self,
        engine: Engine,
        resume_replica: Option<Replica>,
    ) -> Option<(Result<OpenResponse, Fault>, Placement<C>)> {
        let replica = self.choose_replica(engine);
        let mut placement = Placement::new(&self.gateway, engine, replica, &self.admitted);
        if resume_replica.is_some() {
            placement.skip_reading();
        }
        let resume_point = ResumePoint {
            last_event: self.position.last(),
            replica: resume_replica,
        };
        let head_limit = self.head_limit_of(engine);
        let failover = Failover {
            gateway: &self.gateway,
            admitted: &self.admitted,
            runs: self.attempts.possible_runs + 1,
            attempts: &mut self.attempts,
            engine,
            time_left_min: RETRY_TIME_LEFT_MIN,
            may_return: true,
            has_response: false,
        };
        let failover = failover.wait(compio::time::sleep(head_limit));
        let result = {
            let open = pin!(attempt::open::<C, P>(
                &self.gateway,
                &self.admitted,
                &placement,
                &resume_point,
                failover,
            ));
            let blocked = pin!(crash::wait_until_blocked(&self.gateway, &self.admitted));
            match select(open, blocked).await {
                Either::Left((result, _)) => Some(result),
                Either::Right(_) => None,
            }
        };
        if result.is_none() {
            self.attempts.record_fault(engine, Fault::EngineLost);
        }
        Some((result?, placement))
    }

    /// Counts the prompt if an attempt, from a replica if `is_resumed`, prefilled it once more.
    fn record_prefill(&mut self, is_resumed: bool, fault: Option<Fault>) {
        let outcome = match fault {
            None => Outcome::Answered,
            Some(fault) if fault.is_not_run() => Outcome::NotRun,
            Some(_) => Outcome::MayHaveRun,
        };
        let Some(cause) = self.reprefill.record_attempt(is_resumed, outcome) else {
            return;
        };
        let tokens = self.admitted.call.footprint().prompt;
        let metrics = &self.gateway.metrics;
        metrics.count_reprefill_tokens(cause.as_str(), tokens.into());
        let pairs = format_args!("cause={} tokens={tokens}", cause.as_str());
        self.admitted.trace.log("prefilled_again", pairs);
    }

    fn may_resume(&self, engine: Engine) -> bool {
        self.gateway.registry.borrow().is_usable(engine)
            && versions::allows(&self.gateway, &self.admitted.service, engine)
    }

    fn has_attempts_left(&self) -> bool {
        self.attempts.possible_runs < self.admitted.route.max_attempts
    }

    /// Waits until the retry budget allows the next attempt; returns `false` if it does not in time.
    async fn wait_until_allowed(&mut self) -> bool {
        let began = self.gateway.clock.now();
        let waits_until = self.retry_wait.map(|wait| began + wait);
        let mut is_logged = false;
        while !self.attempts.may_send() {
            if !std::mem::replace(&mut is_logged, true) {
                self.log_retry_denied();
            }
            let now = self.gateway.clock.now();
            if !self.has_retry_time() || waits_until.is_some_and(|until| now >= until) {
                return false;
            }
            compio::time::sleep(RETRY_POLL_INTERVAL).await;
        }
        true
    }

    fn log_retry_denied(&self) {
        let now = self.gateway.clock.now();
        let mut budget = self.gateway.budget.borrow_mut();
        let balance = budget.balance(&self.admitted.service, now);
        self.admitted.trace.log(
            "retry_denied",
            format_args!(
                "requests={} retries={} guaranteed={} left={:.1} hosts={} heard={}",
                balance.own.requests,
                balance.own.retries,
                balance.guaranteed,
                balance.left,
                balance.hosts.0,
                balance.hosts.1,
            ),
        );
    }

    fn has_retry_time(&self) -> bool {
        let now = self.gateway.clock.now();
        self.admitted.deadline.saturating_duration_since(now) >= RETRY_TIME_LEFT_MIN
    }

    /// Returns whether to wait on while no engine takes the request. A caller whose request no engine
    /// may have run had better try another host.
    fn can_wait(&self) -> bool {
        self.attempts.possible_runs > 0 && self.has_retry_time()
    }

    fn need(&self) -> Need<'_> {
        self.admitted.need(&self.attempts.excluded)
    }

    fn choose_engine(&self) -> Option<Engine> {
        versions::choose(&self.gateway, &self.need(), self.attempts.is_trial())
    }

    fn choose_replica(&self, engine: Engine) -> Option<Engine> {
        let is_useful = self.admitted.has_replicas && self.admitted.route.kind.is_retryable();
        let version = versions::replica_version(&self.gateway, &self.admitted.service, engine);
        let need = Need {
            versions: version.as_deref().map_or(Versions::Any, Versions::Only),
            ..self.need()
        };
        let registry = self.gateway.registry.borrow();
        is_useful
            .then(|| registry.choose_replica(&need, engine))
            .flatten()
    }

    /// Returns how long to wait for the head of a response from `engine` before it counts as silent,
    /// which depends on the prompt tokens that it has to prefill first.
    fn head_limit_of(&self, engine: Engine) -> Duration {
        let registry = self.gateway.registry.borrow();
        let reading = registry
            .get(engine)
            .map_or(0, |state| state.own_load.reading);
        silence::first_event_limit(reading)
    }

    /// Returns the refusal of a request that has become known to crash engines.
    fn blocked(&self) -> Refusal {
        match self.attempts.possible_runs {
            0 => crash::not_sent(&self.gateway, &self.admitted),
            _ => crash::stopped(),
        }
    }

    fn refusal(&self) -> Refusal {
        if self.attempts.possible_runs > 0 {
            return answer_lost();
        }
        self.attempts.no_engine()
    }

    /// Forwards the response of an engine that reports failure.
    async fn forward_failure(
        &self,
        open: OpenResponse,
        head: hyper::http::response::Builder,
    ) -> Result<Response<Body>, Refusal> {
        const FAILURE_BYTES_MAX: usize = 1024 * 1024;
        let mut exchange = open.exchange;
        let body = within(FAILURE_BODY_TIMEOUT, exchange.read_rest(FAILURE_BYTES_MAX)).await;
        let Some(Ok(body)) = body else {
            return Err(answer_lost());
        };
        head.body(Body::full(Bytes::from(body)))
            .map_err(|_| answer_lost())
    }
}
