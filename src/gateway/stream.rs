//! Streams of numbered events, from one engine or from several in turn.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::Response;

use super::Gateway;
use super::attempt::{self, Open, Place, Start, head_of};
use super::front::{Admitted, RETRY_SOON, Refused};
use super::protocol::Protocol;
use crate::clock::Clock;
use crate::http::body::{Body, Writer};
use crate::http::client::Exchange;
use crate::http::problem::Reason;
use crate::peer::report::Name;
use crate::relay::events::{Position, Splitter};
use crate::relay::{handover, silence};
use crate::route::registry::{Engine, Need};
use crate::supervisor::Signal;
use crate::util::within;

/// Sends that certainly did not run before a request is refused.
const NOT_RUN_MAX: u32 = 12;

/// Pause before engines that were passed over are tried again.
const ALL_BUSY_PAUSE: Duration = Duration::from_millis(60);

/// Time that is left at least when a stream is sent once more.
const RETRY_LEFT_MIN: Duration = Duration::from_millis(300);

/// Time without output after which a stream that was broken is given up.
const RESUME_LIMIT: Duration = Duration::from_secs(4);

/// One stream and its attempts.
struct Run<C: Clock> {
    gateway: Rc<Gateway<C>>,
    admitted: Admitted,
    position: Position,
    /// Engines that may have run it.
    ran: u32,
    /// Sends that certainly did not run.
    not_run: u32,
    /// Engines that are passed over.
    excluded: Vec<Engine>,
    /// The engine that holds a replica of the broken run, and the id of that run.
    copy: Option<(Engine, CompactString)>,
    digest: u64,
}

/// An attempt whose events can be read.
struct Feed<C: Clock> {
    exchange: Exchange,
    place: Place<C>,
    /// Given when the engine is lost.
    lost: Signal,
    splitter: Splitter,
    heard: Instant,
    has_output: bool,
}

/// How the events of one attempt ended.
enum End {
    /// The engine ended the stream as complete.
    Complete,
    /// The engine broke off, fell silent, or sent what cannot be passed on.
    Broken(&'static str),
    /// The deadline has come.
    Late,
    /// The caller is gone.
    Gone,
}

/// Serves a stream.
///
/// # Errors
/// [`Refused`] if no engine began to answer.
pub async fn serve<C: Clock, P: Protocol>(
    gateway: &Rc<Gateway<C>>,
    admitted: Admitted,
) -> Result<Response<Body>, Refused> {
    let digest = admitted.call.digest(&admitted.path);
    let copy = handed_over(gateway, &admitted, digest);
    let mut run = Run {
        digest,
        position: Position::after(admitted.call.last_event),
        gateway: gateway.clone(),
        admitted,
        ran: 0,
        not_run: 0,
        excluded: Vec::new(),
        copy,
    };
    let (open, place) = run.next::<P>().await?;
    let head = head_of(&open.exchange.head);
    if !open.is_success {
        return run.failure(open, head).await;
    }
    let (writer, body) = Body::pieces();
    let feed = run.feed(open, place);
    gateway.streams.spawn(run.relay::<P>(feed, writer));
    head.body(body).map_err(|_| lost())
}

/// Returns the replica of a stream that the caller brings from another host.
fn handed_over<C: Clock>(
    gateway: &Gateway<C>,
    admitted: &Admitted,
    digest: u64,
) -> Option<(Engine, CompactString)> {
    if !admitted.route.repeat.is_repeatable() || admitted.call.parts.is_empty() {
        return None;
    }
    admitted.call.last_event?;
    let now = gateway.clock.now();
    let stream = gateway.streams_elsewhere.borrow_mut().take(digest, now)?;
    let engine = gateway.registry.borrow().by_name(stream.replica)?;
    let registry = gateway.registry.borrow();
    let replica = registry.get(engine)?.registration.id.as_str();
    let pairs = format_args!("run={} replica={replica}", stream.run);
    admitted.trace.note("handed_over", pairs);
    Some((engine, stream.run))
}

impl<C: Clock> Drop for Run<C> {
    fn drop(&mut self) {
        let mut own = self.gateway.own_streams.borrow_mut();
        let is_own = |stream: &handover::Stream| stream.run == self.admitted.call.id;
        if own.get(&self.digest).is_some_and(is_own) {
            own.remove(&self.digest);
        }
    }
}

fn lost() -> Refused {
    let detail = "the engine's answer was lost; ask for what is missing by the last event id";
    Refused::unknown(Reason::AnswerLost, detail)
}

impl<C: Clock> Run<C> {
    /// Starts attempts until one is answered.
    async fn next<P: Protocol>(&mut self) -> Result<(Open, Place<C>), Refused> {
        loop {
            if self.ran + self.not_run > 0 && !self.may_repeat() {
                return Err(self.refused());
            }
            let registry = &self.gateway.registry;
            let copy = self.copy.take();
            let copy = copy.filter(|(engine, _)| registry.borrow().is_usable(*engine));
            let from = copy.as_ref().map(|(engine, _)| *engine);
            let Some(engine) = from.or_else(|| self.choose()) else {
                if self.excluded.is_empty() || !self.may_wait() {
                    return Err(self.refused());
                }
                self.excluded.clear();
                compio::time::sleep(ALL_BUSY_PAUSE).await;
                continue;
            };
            let replica = self.choose_replica(engine);
            let footprint = self.admitted.call.footprint();
            let place = Place::new(&self.gateway, engine, replica, footprint);
            let start = Start {
                last_event: self.position.last(),
                copy_of: copy.map(|(_, run)| run),
            };
            let until = self.head_limit(engine);
            let gateway = self.gateway.clone();
            match attempt::open::<C, P>(&gateway, &self.admitted, &place, &start, until).await {
                Ok(open) if open.is_success => return Ok((open, place)),
                Ok(open) => {
                    self.ran += 1;
                    if !self.admitted.route.repeat.is_repeatable() || !self.has_attempts() {
                        return Ok((open, place));
                    }
                }
                Err(fault) if fault.is_not_run() => self.not_run += 1,
                Err(_) => {
                    self.ran += 1;
                    if !self.admitted.route.repeat.is_repeatable() {
                        return Err(lost());
                    }
                    self.copy = self.copy_of(&place);
                }
            }
            self.excluded.push(engine);
            if !self.has_attempts() || self.not_run >= NOT_RUN_MAX {
                return Err(self.refused());
            }
        }
    }

    fn copy_of(&self, place: &Place<C>) -> Option<(Engine, CompactString)> {
        let run = self.admitted.call.id.clone();
        place.replica.map(|replica| (replica, run))
    }

    fn has_attempts(&self) -> bool {
        self.ran < self.admitted.route.attempts
    }

    fn may_repeat(&self) -> bool {
        let now = self.gateway.clock.now();
        let service = &self.admitted.service;
        self.admitted.deadline.saturating_duration_since(now) >= RETRY_LEFT_MIN
            && self.gateway.budget.borrow_mut().spend(service, now)
    }

    fn may_wait(&self) -> bool {
        let now = self.gateway.clock.now();
        self.admitted.deadline.saturating_duration_since(now) >= RETRY_LEFT_MIN
    }

    fn need(&self) -> Need<'_> {
        Need {
            service: &self.admitted.service,
            footprint: self.admitted.call.footprint(),
            capacity: self.admitted.capacity,
            excluded: &self.excluded,
        }
    }

    fn choose(&self) -> Option<Engine> {
        self.gateway.registry.borrow().choose(&self.need())
    }

    fn choose_replica(&self, engine: Engine) -> Option<Engine> {
        let is_useful = self.admitted.has_replicas && self.admitted.route.repeat.is_repeatable();
        let registry = self.gateway.registry.borrow();
        is_useful
            .then(|| registry.choose_replica(&self.need(), engine))
            .flatten()
    }

    /// Returns until when the head of an answer is waited for.
    fn head_limit(&self, engine: Engine) -> Instant {
        let registry = self.gateway.registry.borrow();
        let reading = registry
            .get(engine)
            .map_or(0, |state| state.own_load.reading);
        let now = self.gateway.clock.now();
        (now + silence::first_event_limit(reading)).min(self.admitted.deadline)
    }

    fn refused(&self) -> Refused {
        if self.ran > 0 {
            return lost();
        }
        let detail = "no engine takes the request at present; retry";
        Refused::not_run(Reason::NoEngine, detail, RETRY_SOON)
    }

    /// Passes on a failure that an engine reported.
    async fn failure(
        &self,
        open: Open,
        head: hyper::http::response::Builder,
    ) -> Result<Response<Body>, Refused> {
        const FAILURE_BYTES_MAX: usize = 1024 * 1024;
        let mut exchange = open.exchange;
        let body = within(RESUME_LIMIT, exchange.rest(FAILURE_BYTES_MAX)).await;
        let Some(Ok(body)) = body else {
            return Err(lost());
        };
        head.body(Body::whole(Bytes::from(body)))
            .map_err(|_| lost())
    }

    fn feed(&self, open: Open, place: Place<C>) -> Feed<C> {
        self.announce(&place);
        let registry = self.gateway.registry.borrow();
        let state = registry.get(place.engine);
        Feed {
            lost: state.map(|state| state.lost.clone()).unwrap_or_default(),
            exchange: open.exchange,
            place,
            splitter: Splitter::default(),
            heard: self.gateway.clock.now(),
            has_output: false,
        }
    }

    /// Tells the other hosts where the replica of this stream is, in case the caller comes to them.
    fn announce(&self, place: &Place<C>) {
        let registry = self.gateway.registry.borrow();
        let replica = place.replica.and_then(|replica| registry.get(replica));
        let mut own = self.gateway.own_streams.borrow_mut();
        let Some(replica) = replica else {
            own.remove(&self.digest);
            return;
        };
        let stream = handover::Stream {
            digest: self.digest,
            run: self.admitted.call.id.clone(),
            replica: Name::of(&replica.registration.id),
        };
        own.insert(self.digest, stream);
    }

    /// Passes the events on, from one engine after the other.
    async fn relay<P: Protocol>(mut self, mut feed: Feed<C>, mut writer: Writer) {
        self.ran += 1;
        loop {
            let why = match self.pass_on(&mut feed, &mut writer).await {
                End::Complete => {
                    self.admitted.trace.note(
                        "stream_complete",
                        format_args!("last_event={} engines={}", self.last_event(), self.ran),
                    );
                    self.gateway.metrics.decided("stream_end", "complete");
                    // A caller who is gone has nothing left to be told.
                    let _ = writer.finish().await;
                    return;
                }
                End::Gone => return self.ended("caller-gone"),
                End::Late => return self.ended("deadline"),
                End::Broken(why) => why,
            };
            let broken = feed.place.engine;
            let silent = self.gateway.clock.now().duration_since(feed.heard);
            self.admitted.trace.note(
                "stream_broken",
                format_args!(
                    "reason={why} last_event={} has_copy={} silent_ms={}",
                    self.last_event(),
                    feed.place.replica.is_some(),
                    silent.as_millis(),
                ),
            );
            self.gateway.metrics.decided("stream_broken", why);
            self.gateway.registry.borrow_mut().set_unreachable(broken);
            let broken_at = self.gateway.clock.now();
            if !self.admitted.route.repeat.is_repeatable() || !self.has_attempts() {
                return self.ended("not-resumable");
            }
            self.excluded = vec![broken];
            self.copy = self.copy_of(&feed.place);
            // Closes the connection, which ends the run at an engine that still works.
            drop(feed);
            let next = {
                let next = pin!(self.next::<P>());
                let gone = pin!(writer.gone());
                match select(next, gone).await {
                    Either::Left((next, _)) => next,
                    Either::Right(_) => return,
                }
            };
            let Ok((open, place)) = next else {
                return self.ended("no-engine");
            };
            if !open.is_success {
                return self.ended("engine-failed");
            }
            self.ran += 1;
            let after = self.gateway.clock.now().duration_since(broken_at);
            self.gateway.metrics.took("resume", after);
            self.admitted.trace.note(
                "stream_resumed",
                format_args!("after_ms={}", after.as_millis()),
            );
            feed = self.feed(open, place);
        }
    }

    fn ended(&self, why: &'static str) {
        let now = self.gateway.clock.now();
        self.gateway.metrics.decided("stream_end", why);
        self.admitted.trace.fail(
            "stream_ended",
            format_args!(
                "reason={why} last_event={} engines={} not_run={} after_ms={}",
                self.last_event(),
                self.ran,
                self.not_run,
                now.duration_since(self.admitted.arrived).as_millis(),
            ),
        );
    }

    /// Returns the last event that the caller has, -1 for none.
    fn last_event(&self) -> i64 {
        let last = self.position.last();
        last.map_or(-1, |last| i64::try_from(last).unwrap_or(i64::MAX))
    }

    async fn pass_on(&mut self, feed: &mut Feed<C>, writer: &mut Writer) -> End {
        loop {
            while let Some(event) = feed.splitter.next() {
                if self.position.advance(&event).is_err() {
                    return End::Broken("order");
                }
                feed.has_output = true;
                feed.place.has_output();
                if writer.send(event.bytes).await.is_err() {
                    return End::Gone;
                }
            }
            let now = self.gateway.clock.now();
            if now >= self.admitted.deadline {
                return End::Late;
            }
            let limit = self.silence_limit(feed).min(self.admitted.deadline);
            let left = limit.saturating_duration_since(now);
            let piece = {
                let next = pin!(within(left, feed.exchange.next()));
                let gone = pin!(writer.gone());
                let lost = pin!(feed.lost.wait());
                match select(next, select(gone, lost)).await {
                    Either::Left((piece, _)) => piece,
                    Either::Right((Either::Left(_), _)) => return End::Gone,
                    Either::Right((Either::Right(_), _)) => return End::Broken("engine-lost"),
                }
            };
            match piece {
                Some(Ok(Some(piece))) => {
                    feed.heard = self.gateway.clock.now();
                    self.gateway
                        .registry
                        .borrow_mut()
                        .set_heard(feed.place.engine);
                    if feed.splitter.push(&piece).is_err() {
                        return End::Broken("oversized");
                    }
                }
                Some(Ok(None)) if feed.splitter.has_rest() => return End::Broken("half-event"),
                Some(Ok(None)) => return End::Complete,
                Some(Err(_)) => return End::Broken("reset"),
                None if self.gateway.clock.now() >= self.admitted.deadline => return End::Late,
                None => return End::Broken("silent"),
            }
        }
    }

    fn silence_limit(&self, feed: &Feed<C>) -> Instant {
        if feed.has_output {
            return feed.heard + silence::event_limit(self.admitted.route.pause);
        }
        let registry = self.gateway.registry.borrow();
        let state = registry.get(feed.place.engine);
        feed.heard + silence::first_event_limit(state.map_or(0, |state| state.own_load.reading))
    }
}
