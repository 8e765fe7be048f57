//! Forwarding of a stream's events to its caller, and its continuation on another engine.

use std::pin::pin;
use std::time::Instant;

use futures_util::future::{Either, select};

use super::super::attempt::{OpenResponse, Placement};
use super::super::failover::{Cause, Failover};
use super::super::protocol::Protocol;
use super::super::{check, crash, reach};
use super::copies::Copies;
use super::{RETRY_TIME_LEFT_MIN, RETRY_WAIT_MAX, Stream};
use crate::clock::Clock;
use crate::http::body::Writer;
use crate::http::client::Exchange;
use crate::http::problem::Reason;
use crate::relay::event_stream::Splitter;
use crate::relay::silence::{self, Progress};
use crate::route::load::EngineHash;
use crate::route::registry::Engine;
use crate::util::within;

/// Number of events from an engine after which it is past the beginning of the response. One event
/// may still be sent by an engine that ends for what it is about to write.
const BEGINNING_EVENTS: u64 = 2;

/// The attempt whose events are being forwarded.
pub(super) struct ActiveAttempt<C: Clock> {
    exchange: Exchange,
    pub(super) placement: Placement<C>,
    splitter: Splitter,
    progress: Progress,
    /// Number of events that this engine has sent.
    events: u64,
    /// Whether the response says where it ends. One that does not and holds no event may be that of an
    /// engine that ended.
    is_framed: bool,
    pub(super) copies: Copies,
}

/// Why forwarding the events of an attempt ended.
enum End {
    /// The engine completed the stream.
    Complete,
    /// The connection broke, or the engine sent an invalid event; holds the reason for logs and
    /// metrics.
    Broken(&'static str),
    /// The engine does not respond, and another attempt is possible.
    Unresponsive(Cause),
    /// The deadline of the request has passed.
    TimedOut,
    /// The caller closed the connection.
    CallerGone,
}

impl<C: Clock> Stream<C> {
    /// Starts to forward the events of a response, and publishes its replica.
    pub(super) fn activate(
        &self,
        mut open: OpenResponse,
        placement: Placement<C>,
    ) -> ActiveAttempt<C> {
        let is_framed = open.exchange.is_framed();
        open.exchange.clear_headers();
        self.publish_replica(&placement);
        let placed_at = placement.placed_at;
        ActiveAttempt {
            exchange: open.exchange,
            placement,
            splitter: Splitter::default(),
            progress: Progress::new(self.gateway.clock.now()),
            events: 0,
            is_framed,
            copies: Copies::new(placed_at),
        }
    }

    /// Lists the replica of this stream in the reports to other hosts.
    fn publish_replica(&self, placement: &Placement<C>) {
        let Some(key) = self.local else { return };
        let registry = self.gateway.registry.borrow();
        let replica = placement.replica.and_then(|replica| registry.get(replica));
        let replica = replica.map(|replica| EngineHash::of(&replica.registration.id));
        let mut local = self.gateway.local_streams.borrow_mut();
        local.set_begun(key);
        local.set_replica(key, replica);
    }

    /// Forwards events until the stream ends, and resumes on another engine when one is lost.
    pub(super) async fn relay<P: Protocol>(
        mut self,
        mut active: ActiveAttempt<C>,
        mut writer: Writer,
    ) {
        loop {
            let reason = match self.forward_events::<P>(&mut active, &mut writer).await {
                End::Complete => {
                    self.record_complete(&active);
                    self.release_copy::<P>(&active);
                    // An error means that the caller has closed the connection.
                    let _ = writer.finish().await;
                    if !active.is_framed && !self.has_passed {
                        let engine = active.placement.engine;
                        crash::record_end(
                            &self.gateway,
                            &self.admitted,
                            engine,
                            crash::End::Closed,
                        )
                        .await;
                    }
                    return;
                }
                End::CallerGone => {
                    self.release_copy::<P>(&active);
                    return self.record_incomplete("caller-gone");
                }
                End::TimedOut => {
                    self.release_copy::<P>(&active);
                    return self.record_incomplete("deadline");
                }
                End::Broken(reason) => {
                    active.placement.record_break();
                    self.retry_wait = Some(RETRY_WAIT_MAX);
                    reason
                }
                End::Unresponsive(cause) => {
                    // The engine may have been sound, so the stream ends for nothing but its deadline.
                    self.retry_wait = None;
                    cause.as_str()
                }
            };
            let broken = active.placement.engine;
            self.record_broken(&active, reason);
            let broken_at = self.gateway.clock.now();
            if !self.has_passed {
                self.record_crash(broken, reason).await;
            }
            if !self.can_resume() {
                return self.record_incomplete("not-resumable");
            }
            self.attempts.excluded = vec![broken];
            self.resume_replica = self.replica_of(&active);
            self.reprefill
                .record_broken(active.events > 0, self.resume_replica.is_some());
            // Closes the connection, which cancels the run if the engine still works.
            drop(active);
            let next = {
                // Boxed, so that a stream takes its memory only while it has no engine.
                let next = Box::pin(self.open_next::<P>());
                let gone = pin!(writer.closed());
                match select(next, gone).await {
                    Either::Left((next, _)) => next,
                    Either::Right(_) => return,
                }
            };
            let (open, placement) = match next {
                Ok(next) => next,
                Err(refusal) if refusal.problem.reason == Reason::EngineKiller => {
                    return self.record_incomplete("crashing-prompt");
                }
                Err(_) => return self.record_incomplete("no-engine"),
            };
            if !open.is_success {
                return self.record_incomplete("engine-failed");
            }
            let after = self.gateway.clock.now().duration_since(broken_at);
            self.gateway.metrics.record_duration("resume", after);
            self.admitted.trace.log(
                "stream_resumed",
                format_args!("after_ms={}", after.as_millis()),
            );
            active = self.activate(open, placement);
        }
    }

    /// Logs and counts the end of a complete stream.
    fn record_complete(&self, active: &ActiveAttempt<C>) {
        if let Some(key) = self.local {
            // Its caller has nothing to go on for.
            let mut local = self.gateway.local_streams.borrow_mut();
            local.set_replica(key, None);
        }
        // A response without a length ends in the same way when its engine crashes.
        if active.events > 0 && active.is_framed {
            crash::record_pass(&self.gateway, &self.admitted.prompt);
        }
        self.admitted.trace.log(
            "stream_complete",
            format_args!(
                "last_event={} engines={}",
                self.last_event(),
                self.attempts.possible_runs
            ),
        );
        self.gateway
            .metrics
            .count_decision("stream_end", "complete");
    }

    /// Records that an engine may have crashed at the beginning of its response.
    async fn record_crash(&self, engine: Engine, reason: &str) {
        match reason {
            "reset" | "half-event" | "empty" => {
                crash::record_end(&self.gateway, &self.admitted, engine, crash::End::Broken).await;
            }
            "engine-lost" => crash::record_possible(&self.gateway, &self.admitted, engine),
            _ => {}
        }
    }

    /// Logs and counts an attempt that was broken off, and has its engine checked.
    fn record_broken(&self, active: &ActiveAttempt<C>, reason: &'static str) {
        let last_at = active.progress.last_at();
        let silent = self.gateway.clock.now().duration_since(last_at);
        self.admitted.trace.log(
            "stream_broken",
            format_args!(
                "reason={reason} last_event={} has_copy={} silent_ms={} events={}",
                self.last_event(),
                active.placement.replica.is_some(),
                silent.as_millis(),
                active.events,
            ),
        );
        self.gateway.metrics.count_decision("stream_broken", reason);
        if reason != Cause::Lost.as_str() {
            let engine = active.placement.engine;
            self.gateway.registry.borrow_mut().set_suspect(engine);
            check::start_if_due(&self.gateway, engine);
        }
    }

    /// Logs and counts the end of a stream that is not complete.
    fn record_incomplete(&self, reason: &'static str) {
        let now = self.gateway.clock.now();
        self.gateway.metrics.count_decision("stream_end", reason);
        self.admitted.trace.log_failure(
            "stream_ended",
            format_args!(
                "reason={reason} last_event={} engines={} not_run={} after_ms={}",
                self.last_event(),
                self.attempts.possible_runs,
                self.attempts.not_run(),
                now.duration_since(self.admitted.arrived_at).as_millis(),
            ),
        );
    }

    /// Returns the id of the last event that the caller has for logs, -1 for none.
    pub(super) fn last_event(&self) -> i64 {
        let last = self.position.last();
        last.map_or(-1, |last| i64::try_from(last).unwrap_or(i64::MAX))
    }

    async fn forward_events<P: Protocol>(
        &mut self,
        active: &mut ActiveAttempt<C>,
        writer: &mut Writer,
    ) -> End {
        loop {
            while let Some(event) = active.splitter.next() {
                if event.check(P::EVENT_FIELDS).is_err() {
                    return End::Broken("not-an-event");
                }
                if self.position.advance(&event).is_err() {
                    return End::Broken("order");
                }
                if event.id.is_some() {
                    active.progress.record_event(self.gateway.clock.now());
                    active.events += 1;
                    if active.events == BEGINNING_EVENTS {
                        self.has_passed = true;
                        crash::record_pass(&self.gateway, &self.admitted.prompt);
                    }
                }
                active.placement.record_output();
                if writer.send(event.bytes).await.is_err() {
                    return End::CallerGone;
                }
            }
            if active.events > 0 {
                self.keep_replica::<P>(active);
            }
            let now = self.gateway.clock.now();
            if now >= self.admitted.deadline {
                return End::TimedOut;
            }
            let left = self.admitted.deadline.saturating_duration_since(now);
            let chunk = {
                let silence = self.silence(active);
                let failover = Failover {
                    gateway: &self.gateway,
                    admitted: &self.admitted,
                    runs: self.attempts.possible_runs,
                    attempts: &mut self.attempts,
                    engine: active.placement.engine,
                    time_left_min: RETRY_TIME_LEFT_MIN,
                    may_return: true,
                    has_response: false,
                };
                let unresponsive = pin!(failover.wait(silence));
                let next = pin!(within(left, active.exchange.next()));
                let gone = pin!(writer.closed());
                match select(next, select(unresponsive, gone)).await {
                    Either::Left((chunk, _)) => chunk,
                    Either::Right((Either::Left((cause, _)), _)) => {
                        return End::Unresponsive(cause);
                    }
                    Either::Right((Either::Right(_), _)) => return End::CallerGone,
                }
            };
            match chunk {
                Some(Ok(Some(chunk))) => {
                    self.gateway
                        .registry
                        .borrow_mut()
                        .set_heard(active.placement.engine);
                    if active.splitter.push(&chunk).is_err() {
                        return End::Broken("oversized");
                    }
                }
                Some(Ok(None)) if active.splitter.has_rest() => return End::Broken("half-event"),
                Some(Ok(None)) if !active.is_framed && active.events == 0 => {
                    return End::Broken("empty");
                }
                Some(Ok(None)) => return End::Complete,
                Some(Err(_)) => return End::Broken("reset"),
                None => return End::TimedOut,
            }
        }
    }

    /// Returns whether the stream can go on at another engine.
    pub(super) fn can_resume(&self) -> bool {
        self.admitted.route.kind.is_retryable() && self.has_attempts_left()
    }

    /// Waits until the engine counts as silent: its next event is late, and this host has since
    /// reached another address. The silence of a host that was paused or whose link was full is not
    /// held against the engine.
    fn silence(&self, active: &ActiveAttempt<C>) -> impl Future<Output = ()> + use<C> {
        let gateway = self.gateway.clone();
        let engine = active.placement.engine;
        let limit = self.silence_deadline(active);
        async move {
            let left = limit.saturating_duration_since(gateway.clock.now());
            compio::time::sleep(left).await;
            let since = gateway.clock.now();
            reach::wait_for_contact(&gateway, engine, since).await;
        }
    }

    /// Returns until when to wait for the next event before the engine counts as silent.
    fn silence_deadline(&self, active: &ActiveAttempt<C>) -> Instant {
        let registry = self.gateway.registry.borrow();
        let load = registry
            .get(active.placement.engine)
            .map(|state| (state.own_load.reading, state.total_load().reading));
        let (own_reading, reading) = load.unwrap_or_default();
        let limit = match active.progress.has_event() {
            true => active
                .progress
                .event_limit(self.admitted.route.target_gap, reading > 0),
            false => silence::first_event_limit(own_reading),
        };
        active.progress.last_at() + limit
    }
}
