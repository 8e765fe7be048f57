//! Runs a generation: performs the actions of its state and reports what happens.

use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::runtime::{JoinHandle, spawn};
use futures_util::future::{FutureExt, pending};
use futures_util::stream::{FuturesUnordered, StreamExt};
use log::{info, warn};

use super::event::{Action, Event};
use super::generation::{Generation, PROBE_LIMIT};
use crate::dispatch::{Handle, Placement};
use crate::engine;
use crate::http::problem::{Problem, Reason};
use crate::route::fleet::Need;
use crate::router::Router;
use crate::sched::work::{Refusal, Ticket};
use crate::supervisor::Signal;
use crate::util::within;
use crate::wire;

/// A wait for the caller that is longer than this is no silence of the engine.
const DRAIN_NOTICE: Duration = Duration::from_millis(20);

/// Receives the output of a generation.
pub trait Sink {
    /// Takes a frame of new tokens.
    ///
    /// # Errors
    /// The caller is gone.
    fn emit(&mut self, frame: &wire::Frame) -> impl Future<Output = Result<(), Gone>>;

    /// Waits until the caller goes away.
    fn gone(&mut self) -> impl Future<Output = ()>;

    /// Forgets all output.
    fn restart(&mut self);
}

/// The caller went away; the generation is cancelled.
#[derive(Clone, Copy, Debug)]
pub struct Gone;

/// How a generation ended.
#[derive(Debug)]
pub enum End {
    /// All tokens were emitted.
    Complete,
    /// The caller is gone, or was cut for the given reason.
    Gone(Reason),
    /// The generation could not be completed.
    Failed(Problem),
}

/// The connection of the current attempt. Tasks are cancelled when their handle is dropped.
enum Feed {
    None,
    Starting(JoinHandle<Result<engine::Stream, engine::Error>>),
    Open(engine::Stream),
}

impl Feed {
    /// Returns the next event of the attempt; cancelling the wait loses nothing.
    async fn next(&mut self, attempt: u32) -> Event {
        if let Self::Starting(starting) = self {
            let started = starting.await;
            match started.unwrap_or_else(|err| Err(engine::Error::Broken(err.to_string()))) {
                Ok(stream) => *self = Self::Open(stream),
                Err(err) => {
                    *self = Self::None;
                    return failed(attempt, &err);
                }
            }
        }
        let Self::Open(stream) = self else {
            return pending().await;
        };
        match stream.next().await {
            Ok(frame) => Event::Frame { attempt, frame },
            Err(err) => {
                *self = Self::None;
                failed(attempt, &err)
            }
        }
    }
}

fn failed(attempt: u32, err: &engine::Error) -> Event {
    info!("event=stream_ended attempt={attempt} error={err:?}");
    match err {
        engine::Error::Refused(problem) => Event::Refused {
            attempt,
            leaving: problem.reason == Reason::Leaving,
        },
        engine::Error::Unreachable(_) => Event::Closed {
            attempt,
            sent: false,
        },
        engine::Error::Broken(_) => Event::Closed {
            attempt,
            sent: true,
        },
    }
}

type Placing = JoinHandle<Result<Placement, Refusal>>;

struct Driver<'a, S> {
    router: &'a Rc<Router>,
    request_id: CompactString,
    ticket: Ticket,
    need: Need,
    sink: &'a mut S,
    feed: Feed,
    // Given when the current attempt is to give way.
    paused: Signal,
    placing: Option<Placing>,
    probes: FuturesUnordered<JoinHandle<Event>>,
}

/// Runs a generation to its end, from its first placement on.
pub async fn run<S: Sink>(
    router: &Rc<Router>,
    placement: Placement,
    need: Need,
    generation: &mut Generation,
    sink: &mut S,
) -> End {
    router.relay.borrow_mut().budget.start(Instant::now());
    let mut driver = Driver {
        router,
        request_id: generation.request().request_id,
        ticket: placement.ticket,
        need,
        sink,
        feed: Feed::None,
        paused: placement.paused.clone(),
        placing: None,
        probes: FuturesUnordered::new(),
    };
    let end = driver.run(generation, Event::Placed(placement)).await;
    router.relay.borrow_mut().budget.end();
    router.metrics.relayed("stale", generation.stale());
    router
        .metrics
        .relayed("resumed", u64::from(generation.resumes()));
    if let End::Gone(reason) = &end {
        router.metrics.relayed(reason.as_str(), 1);
    }
    end
}

impl<S: Sink> Driver<'_, S> {
    async fn run(&mut self, generation: &mut Generation, first: Event) -> End {
        let mut event = first;
        loop {
            let mut actions = VecDeque::from(self.step(generation, event));
            while let Some(action) = actions.pop_front() {
                if let Some(end) = self.perform(generation, action, &mut actions).await {
                    if matches!(end, End::Gone(_)) {
                        self.abandon(generation);
                    }
                    return end;
                }
            }
            event = self.next(generation).await;
            if matches!(event, Event::Gone) {
                self.abandon(generation);
                return End::Gone(Reason::CallerGone);
            }
        }
    }

    fn step(&self, generation: &mut Generation, event: Event) -> Vec<Action> {
        let mut shared = self.router.relay.borrow_mut();
        generation.handle(event, Instant::now(), &mut shared)
    }

    fn abandon(&mut self, generation: &mut Generation) {
        for action in self.step(generation, Event::Gone) {
            if let Action::Cancel { address, attempt } = action {
                self.cancel(address, attempt);
            }
        }
    }

    async fn next(&mut self, generation: &Generation) -> Event {
        let attempt = generation.attempt();
        let deadline = generation.deadline();
        let mut frame = pin!(self.feed.next(attempt).fuse());
        let mut gone = pin!(self.sink.gone().fuse());
        let mut place = pin!(placed(&mut self.placing).fuse());
        let mut paused = pin!(given(&mut self.paused, attempt).fuse());
        let mut probed = pin!(answered(&mut self.probes).fuse());
        let mut tick = pin!(due(deadline).fuse());
        futures_util::select_biased! {
            event = frame => event,
            event = place => event,
            () = gone => Event::Gone,
            event = probed => event,
            event = paused => event,
            () = tick => Event::Tick,
        }
    }

    async fn perform(
        &mut self,
        generation: &mut Generation,
        action: Action,
        actions: &mut VecDeque<Action>,
    ) -> Option<End> {
        match action {
            Action::Emit(frame) => {
                let tokens = frame.tokens.len() as u32;
                self.router
                    .dispatch
                    .record_progress(self.ticket, tokens, frame.load);
                let started = Instant::now();
                match within(self.router.host.slow_reader_limit, self.sink.emit(&frame)).await {
                    None => return Some(End::Gone(Reason::SlowReader)),
                    Some(Err(Gone)) => return Some(End::Gone(Reason::CallerGone)),
                    Some(Ok(())) if started.elapsed() >= DRAIN_NOTICE => {
                        actions.extend(self.step(generation, Event::Drained));
                    }
                    Some(Ok(())) => {}
                }
            }
            Action::Start(placement) => self.start(generation.request(), &placement),
            Action::Place {
                version,
                excluded,
                limit,
            } => {
                self.feed = Feed::None;
                self.place(version, excluded, limit);
            }
            Action::Probe { probe, address } => self.probe(probe, address),
            Action::Cancel { address, attempt } => self.cancel(address, attempt),
            Action::Broken {
                placement,
                attempt,
                fault,
                health,
            } => {
                self.feed = Feed::None;
                warn!(
                    "event=attempt_broken request={} engine={} attempt={attempt} fault={} position={}",
                    self.request_id,
                    placement.name,
                    fault.as_str(),
                    generation.tokens().len()
                );
                self.router.metrics.relayed(fault.as_str(), 1);
                if let Some(health) = health {
                    self.router.dispatch.report_health(placement.engine, health);
                }
            }
            Action::Restart => self.sink.restart(),
            Action::Finish => return Some(End::Complete),
            Action::Fail(problem) => return Some(End::Failed(problem)),
        }
        None
    }

    fn start(&mut self, request: wire::Request, placement: &Placement) {
        let address = placement.address.clone();
        let request = wire::Request {
            priority: placement.priority,
            ..request
        };
        self.paused = placement.paused.clone();
        let starting = async move { engine::start(&address, &request).await };
        self.feed = Feed::Starting(spawn(starting));
    }

    fn place(
        &mut self,
        version: Option<CompactString>,
        excluded: Vec<crate::route::fleet::Engine>,
        limit: Duration,
    ) {
        let dispatch: Handle = self.router.dispatch.clone();
        let ticket = self.ticket;
        let need = Need {
            version,
            excluded,
            ..self.need.clone()
        };
        let deadline = Instant::now() + limit;
        let placing = async move { dispatch.requeue(ticket, need, deadline).await };
        self.placing = Some(spawn(placing));
    }

    fn probe(&mut self, probe: u32, address: CompactString) {
        let request_id = self.request_id.clone();
        let asking = async move {
            let answer = engine::query(&address, &request_id, PROBE_LIMIT).await;
            Event::Probed { probe, answer }
        };
        self.probes.push(spawn(asking));
    }

    /// Cancels in a task of its own, which outlives the generation.
    fn cancel(&self, address: CompactString, attempt: u32) {
        let request_id = self.request_id.clone();
        self.router.streams.spawn(async move {
            engine::cancel(&address, &request_id, attempt).await;
        });
    }
}

async fn placed(placing: &mut Option<Placing>) -> Event {
    let Some(waiting) = placing else {
        return pending().await;
    };
    let result = waiting.await;
    *placing = None;
    match result {
        Ok(Ok(placement)) => Event::Placed(placement),
        Ok(Err(_)) | Err(_) => Event::Unplaced,
    }
}

/// Reports once that an attempt is to give way.
async fn given(paused: &mut Signal, attempt: u32) -> Event {
    paused.wait().await;
    // The generation may have to go on, so the signal must not be seen again.
    *paused = Signal::default();
    Event::Paused { attempt }
}

async fn answered(probes: &mut FuturesUnordered<JoinHandle<Event>>) -> Event {
    match probes.next().await {
        Some(Ok(event)) => event,
        // A question whose task failed stays open until the stream itself shows what happened.
        Some(Err(_)) | None => pending().await,
    }
}

async fn due(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => {
            compio::time::sleep(deadline.saturating_duration_since(Instant::now())).await;
        }
        None => pending().await,
    }
}
