//! Drives the state machine of a generation: performs its actions and feeds it events.

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
use super::generation::{Generation, PROBE_TIMEOUT};
use crate::dispatch::{Handle, Placement};
use crate::engine;
use crate::http::problem::{Problem, Reason};
use crate::route::fleet::Need;
use crate::router::Router;
use crate::sched::job::{Refusal, Ticket};
use crate::supervisor::Signal;
use crate::util::within;
use crate::wire;

/// Shortest wait for the caller that is reported as [`Event::EmitDelayed`].
const EMIT_DELAY_MIN: Duration = Duration::from_millis(20);

/// Receives the output of a generation.
pub trait Sink {
    /// Sends or collects the tokens of a frame.
    ///
    /// # Errors
    /// [`CallerGone`] if the caller went away.
    fn emit(&mut self, frame: &wire::Frame) -> impl Future<Output = Result<(), CallerGone>>;

    /// Waits until the caller goes away.
    fn closed(&mut self) -> impl Future<Output = ()>;

    /// Discards all collected output.
    fn restart(&mut self);
}

/// Error of a sink whose caller went away.
#[derive(Clone, Copy, Debug)]
pub struct CallerGone;

/// How a generation ended.
#[derive(Debug)]
pub enum End {
    /// All tokens were emitted.
    Complete,
    /// The caller went away, or was disconnected because it read too slowly.
    Cancelled(Reason),
    /// The generation could not be completed.
    Failed(Problem),
}

/// Connection of the current attempt. Dropping the handle of a starting one cancels its task.
enum Connection {
    None,
    Starting(JoinHandle<Result<engine::Stream, engine::Error>>),
    Open(engine::Stream),
}

impl Connection {
    /// Returns the next event of the attempt. Dropping the future loses no frame.
    async fn next(&mut self, attempt: u32) -> Event {
        if let Self::Starting(starting) = self {
            let started = starting.await;
            match started.unwrap_or_else(|err| Err(engine::Error::Broken(err.to_string()))) {
                Ok(stream) => *self = Self::Open(stream),
                Err(err) => {
                    *self = Self::None;
                    return event_of_error(attempt, &err);
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
                event_of_error(attempt, &err)
            }
        }
    }
}

/// Returns the event for an attempt whose connection failed.
fn event_of_error(attempt: u32, err: &engine::Error) -> Event {
    info!("event=stream_ended attempt={attempt} error={err:?}");
    match err {
        engine::Error::Refused(problem) => Event::Refused {
            attempt,
            is_leaving: problem.reason == Reason::Leaving,
        },
        engine::Error::Unreachable(_) => Event::Closed {
            attempt,
            was_sent: false,
        },
        engine::Error::Broken(_) => Event::Closed {
            attempt,
            was_sent: true,
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
    connection: Connection,
    // Set when urgent work preempts the current attempt.
    paused: Signal,
    placing: Option<Placing>,
    probes: FuturesUnordered<JoinHandle<Event>>,
}

/// Runs a generation from its first placement to its end.
pub async fn run<S: Sink>(
    router: &Rc<Router>,
    placement: Placement,
    need: Need,
    generation: &mut Generation,
    sink: &mut S,
) -> End {
    router
        .relay
        .borrow_mut()
        .budget
        .record_start(Instant::now());
    let mut driver = Driver {
        router,
        request_id: generation.request().request_id,
        ticket: placement.ticket,
        need,
        sink,
        connection: Connection::None,
        paused: placement.paused.clone(),
        placing: None,
        probes: FuturesUnordered::new(),
    };
    let end = driver.run(generation, Event::Placed(placement)).await;
    router.relay.borrow_mut().budget.record_end();
    router
        .metrics
        .count_relay_events("stale", generation.stale_frames());
    router
        .metrics
        .count_relay_events("resumed", u64::from(generation.resumes()));
    if let End::Cancelled(reason) = &end {
        router.metrics.count_relay_events(reason.as_str(), 1);
    }
    end
}

impl<S: Sink> Driver<'_, S> {
    async fn run(&mut self, generation: &mut Generation, first: Event) -> End {
        let mut event = first;
        loop {
            let mut actions = VecDeque::from(self.handle(generation, event));
            while let Some(action) = actions.pop_front() {
                if let Some(end) = self.perform(generation, action, &mut actions).await {
                    if matches!(end, End::Cancelled(_)) {
                        self.cancel_attempt(generation);
                    }
                    return end;
                }
            }
            event = self.next(generation).await;
            if matches!(event, Event::CallerGone) {
                self.cancel_attempt(generation);
                return End::Cancelled(Reason::CallerGone);
            }
        }
    }

    fn handle(&self, generation: &mut Generation, event: Event) -> Vec<Action> {
        let mut shared = self.router.relay.borrow_mut();
        generation.handle(event, Instant::now(), &mut shared)
    }

    fn cancel_attempt(&mut self, generation: &mut Generation) {
        for action in self.handle(generation, Event::CallerGone) {
            if let Action::Cancel { address, attempt } = action {
                self.cancel(address, attempt);
            }
        }
    }

    async fn next(&mut self, generation: &Generation) -> Event {
        let attempt = generation.attempt();
        let deadline = generation.deadline();
        let mut frame = pin!(self.connection.next(attempt).fuse());
        let mut closed = pin!(self.sink.closed().fuse());
        let mut placement = pin!(placement_event(&mut self.placing).fuse());
        let mut paused = pin!(preempted(&mut self.paused, attempt).fuse());
        let mut probed = pin!(next_probed(&mut self.probes).fuse());
        let mut tick = pin!(sleep_until(deadline).fuse());
        futures_util::select_biased! {
            event = frame => event,
            event = placement => event,
            () = closed => Event::CallerGone,
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
                    None => return Some(End::Cancelled(Reason::SlowReader)),
                    Some(Err(CallerGone)) => return Some(End::Cancelled(Reason::CallerGone)),
                    Some(Ok(())) if started.elapsed() >= EMIT_DELAY_MIN => {
                        actions.extend(self.handle(generation, Event::EmitDelayed));
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
                self.connection = Connection::None;
                self.request_placement(version, excluded, limit);
            }
            Action::Probe { id, address } => self.probe(id, address),
            Action::Cancel { address, attempt } => self.cancel(address, attempt),
            Action::DropAttempt {
                placement,
                attempt,
                fault,
                health,
            } => {
                self.connection = Connection::None;
                warn!(
                    "event=attempt_broken request={} engine={} attempt={attempt} fault={} position={}",
                    self.request_id,
                    placement.name,
                    fault.as_str(),
                    generation.tokens().len()
                );
                self.router.metrics.count_relay_events(fault.as_str(), 1);
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
        self.connection = Connection::Starting(spawn(starting));
    }

    fn request_placement(
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

    fn probe(&mut self, id: u32, address: CompactString) {
        let request_id = self.request_id.clone();
        let query = async move {
            let answer = engine::stream_status(&address, &request_id, PROBE_TIMEOUT).await;
            Event::Probed { id, answer }
        };
        self.probes.push(spawn(query));
    }

    /// Sends the cancellation in a separate task, which outlives the generation.
    fn cancel(&self, address: CompactString, attempt: u32) {
        let request_id = self.request_id.clone();
        self.router.request_tasks.spawn(async move {
            engine::cancel(&address, &request_id, attempt).await;
        });
    }
}

async fn placement_event(placing: &mut Option<Placing>) -> Event {
    let Some(task) = placing else {
        return pending().await;
    };
    let result = task.await;
    *placing = None;
    match result {
        Ok(Ok(placement)) => Event::Placed(placement),
        Ok(Err(_)) | Err(_) => Event::PlacementFailed,
    }
}

/// Waits until an attempt is preempted, and reports it once.
async fn preempted(paused: &mut Signal, attempt: u32) -> Event {
    paused.wait().await;
    // The generation may decide to continue the attempt, so the signal must not fire again.
    *paused = Signal::default();
    Event::Paused { attempt }
}

async fn next_probed(probes: &mut FuturesUnordered<JoinHandle<Event>>) -> Event {
    match probes.next().await {
        Some(Ok(event)) => event,
        // A probe whose task failed stays unanswered; the connection shows what became of the
        // engine.
        Some(Err(_)) | None => pending().await,
    }
}

async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => {
            compio::time::sleep(deadline.saturating_duration_since(Instant::now())).await;
        }
        None => pending().await,
    }
}
