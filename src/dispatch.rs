//! The dispatch task, which owns the scheduler, the host's view of the engines and the accounts of
//! partners, and the handle through which connection tasks talk to it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use log::info;
use serde::Serialize;

use crate::account::{Ledger, Outcome};
use crate::clock::Clock;
use crate::config::host::{EngineSelection, Host, Preemption, QueueOrder};
use crate::config::split::SharedSettings;
use crate::http::problem::Reason;
use crate::route::fleet::{Domain, Engine, Fleet, Need};
use crate::sched::job::{Job, Refusal, Start, Ticket};
use crate::sched::lease::{Demand, Grant};
use crate::sched::limit::{Limits, Usage};
use crate::sched::scheduler::Scheduler;
use crate::sched::share::Shares;
use crate::supervisor::Signal;
use crate::util::within;
use crate::wire::{self, Rank};

/// Time between checks for expired deadlines, abandoned requests and due pauses.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Engine assigned to an attempt.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Request that the attempt belongs to.
    pub ticket: Ticket,
    /// Key of the engine in this host's view.
    pub engine: Engine,
    /// Name of the engine.
    pub name: CompactString,
    /// Address of the engine, `IP:PORT`.
    pub address: CompactString,
    /// Model version that the engine serves.
    pub version: CompactString,
    /// Priority in the engine's own queue.
    pub priority: Rank,
    /// Set when the attempt is preempted: its task cancels it and asks for a new placement.
    pub paused: Signal,
}

/// Scheduling and routing settings of this host.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    /// Name of the host, which seeds its random choices between engines.
    pub host: CompactString,
    /// Failure domain whose engines are preferred.
    pub failure_domain: CompactString,
    /// Order in which waiting work starts.
    pub order: QueueOrder,
    /// How engines are chosen.
    pub engine_selection: EngineSelection,
    /// What urgent work does while routine work uses all slots.
    pub preemption: Preemption,
}

impl Policy {
    /// Takes the policy from the settings of a host.
    pub fn from_host(host: &Host) -> Self {
        Self {
            host: host.name.clone(),
            failure_domain: match host.engine_selection {
                EngineSelection::Scored => host.failure_domain.clone(),
                EngineSelection::LeastLoaded => CompactString::default(),
            },
            order: host.queue_order,
            engine_selection: host.engine_selection,
            preemption: host.preemption,
        }
    }
}

/// Unhealthy state of an engine, as seen by a task that called it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The engine died, or its stream stalled or went silent.
    Failed,
    /// The engine is shutting down and accepts no new requests.
    Leaving,
    /// The engine did not answer a status request.
    Unanswered,
}

/// Scheduler state as shown on the status page for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Overview {
    /// Requests that wait for an engine.
    pub waiting: usize,
    /// Requests that run on an engine.
    pub running: usize,
    /// Engines by name.
    pub engines: BTreeMap<CompactString, EngineView>,
    /// Accounts by partner.
    pub ledger: Ledger,
}

/// An engine as this host sees it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineView {
    /// Model version that the engine serves.
    pub version: CompactString,
    /// Streams that this host runs there.
    pub own: u32,
    /// Load that the engine reported last.
    pub load: wire::Load,
    /// Whether the engine is shutting down and accepts no new requests.
    pub leaving: bool,
}

/// An engine to poll for its status.
#[derive(Clone, Debug)]
pub struct PollTarget {
    /// Key of the engine in this host's view.
    pub engine: Engine,
    /// Address, `IP:PORT`.
    pub address: CompactString,
    /// Sequence number of the first cache event that this host has not seen.
    pub next_seq: u64,
    /// When the engine last reported its load; `None` before the first report.
    pub reported_at: Option<Instant>,
}

/// Data from which the reports to the allocators are made.
#[derive(Clone, Debug, Default)]
pub struct ReportInput {
    /// Slots wanted and in use on this host, and work done since the last report.
    pub demand: Demand,
    /// Failure domains of the engines that this host uses.
    pub domains: BTreeMap<CompactString, Domain>,
    /// Shares in force.
    pub shares: Shares,
    /// Routers in the platform's list.
    pub routers: BTreeSet<CompactString>,
}

type Reply = oneshot::Sender<Result<Placement, Refusal>>;

enum Message {
    Submit(Job, Reply),
    Requeue(Ticket, Need, Instant, Reply),
    Progress(Ticket, u32, Option<wire::Load>),
    Finish(Ticket, Outcome),
    ReportHealth(Engine, Health),
    SetMembers(Vec<wire::Member>),
    SetStatus(Engine, wire::Status),
    SetSettings(Arc<SharedSettings>),
    BackendCallStarted(CompactString),
    BackendCallEnded(CompactString, Outcome),
    PollTargets(oneshot::Sender<Vec<PollTarget>>),
    ReportInput(oneshot::Sender<ReportInput>),
    SetGrant(Grant),
    Overview(oneshot::Sender<Overview>),
}

/// Answer to a request that arrives after the dispatch task has ended.
const DISPATCH_STOPPED: Result<Placement, Refusal> = Err(Refusal {
    reason: Reason::Leaving,
    scope: None,
    retry_after: Duration::ZERO,
});

/// Handle that sends messages to the dispatch task.
#[derive(Clone, Debug)]
pub struct Handle(mpsc::UnboundedSender<Message>);

impl Handle {
    /// Queues a new request and waits until it is assigned to an engine.
    ///
    /// # Errors
    /// The request was refused; it did not run.
    pub async fn submit(&self, job: Job) -> Result<Placement, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Submit(job, reply));
        let mut pending = PendingSubmit {
            handle: self,
            answer,
        };
        (&mut pending.answer).await.unwrap_or(DISPATCH_STOPPED)
    }

    /// Queues the next attempt of a request and waits until it is assigned to an engine.
    ///
    /// # Errors
    /// No engine had a free slot before `deadline`; the ticket stays valid until
    /// [`Handle::finish`].
    pub async fn requeue(
        &self,
        ticket: Ticket,
        need: Need,
        deadline: Instant,
    ) -> Result<Placement, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Requeue(ticket, need, deadline, reply));
        answer.await.unwrap_or(DISPATCH_STOPPED)
    }

    /// Records new output tokens of a running request, and the engine load reported with them.
    pub fn record_progress(&self, ticket: Ticket, tokens: u32, load: Option<wire::Load>) {
        self.send(Message::Progress(ticket, tokens, load));
    }

    /// Ends a request and records its outcome in the account of its partner.
    pub fn finish(&self, ticket: Ticket, outcome: Outcome) {
        self.send(Message::Finish(ticket, outcome));
    }

    /// Reports a problem with an engine.
    pub fn report_health(&self, engine: Engine, health: Health) {
        self.send(Message::ReportHealth(engine, health));
    }

    /// Replaces the membership list.
    pub fn set_members(&self, members: Vec<wire::Member>) {
        self.send(Message::SetMembers(members));
    }

    /// Records the status that an engine answered to a poll.
    pub fn set_status(&self, engine: Engine, status: wire::Status) {
        self.send(Message::SetStatus(engine, status));
    }

    /// Replaces the shared settings: shares, teams, callers and limits.
    pub fn set_settings(&self, settings: Arc<SharedSettings>) {
        self.send(Message::SetSettings(settings));
    }

    /// Counts a new call to a backend service in the account of its partner.
    pub fn backend_call_started(&self, partner: &CompactString) {
        self.send(Message::BackendCallStarted(partner.clone()));
    }

    /// Records the outcome of a call that was counted by [`Handle::backend_call_started`].
    pub fn backend_call_ended(&self, partner: &CompactString, outcome: Outcome) {
        self.send(Message::BackendCallEnded(partner.clone(), outcome));
    }

    /// Returns all known engines for polling; empty once the dispatch task has ended.
    pub async fn poll_targets(&self) -> Vec<PollTarget> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::PollTargets(reply));
        answer.await.unwrap_or_default()
    }

    /// Returns the data for the next reports to the allocators.
    ///
    /// Each call resets the count of work done.
    pub async fn report_input(&self) -> ReportInput {
        let (reply, answer) = oneshot::channel();
        self.send(Message::ReportInput(reply));
        answer.await.unwrap_or_default()
    }

    /// Replaces the slots that this host may use.
    pub fn set_grant(&self, grant: Grant) {
        self.send(Message::SetGrant(grant));
    }

    /// Returns the scheduler state for operators.
    pub async fn overview(&self) -> Overview {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Overview(reply));
        answer.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        // The dispatch task ends after all connections, so sending fails only during shutdown.
        let _ = self.0.unbounded_send(message);
    }
}

/// Ends a request whose caller disconnects after the placement was sent and before it is received.
struct PendingSubmit<'a> {
    handle: &'a Handle,
    answer: oneshot::Receiver<Result<Placement, Refusal>>,
}

impl Drop for PendingSubmit<'_> {
    fn drop(&mut self) {
        if let Ok(Some(Ok(placement))) = self.answer.try_recv() {
            let outcome = Outcome::Refused(Reason::CallerGone);
            self.handle.finish(placement.ticket, outcome);
        }
    }
}

struct Dispatch<C: Clock> {
    clock: C,
    engine_selection: EngineSelection,
    settings: Arc<SharedSettings>,
    scheduler: Scheduler<C>,
    fleet: Fleet<C>,
    limits: Limits<C>,
    ledger: Ledger,
    replies: BTreeMap<Ticket, Reply>,
    // Pause signals of running attempts.
    pause_signals: BTreeMap<Ticket, Signal>,
    // Whether something changed since the last scheduling pass that may let a request start.
    needs_scheduling: bool,
    // When the periodic checks ran last.
    checked_at: Instant,
}

/// Ends a request on drop, so that it is also ended when its task is cancelled.
#[derive(Debug)]
pub struct FinishGuard {
    handle: Handle,
    ticket: Ticket,
    outcome: Outcome,
}

impl FinishGuard {
    /// Creates a guard for a placed request, with the outcome [`Outcome::Failed`].
    pub fn new(handle: Handle, ticket: Ticket) -> Self {
        Self {
            handle,
            ticket,
            outcome: Outcome::Failed,
        }
    }

    /// Sets the outcome that is recorded on drop.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for FinishGuard {
    fn drop(&mut self) {
        self.handle.finish(self.ticket, self.outcome);
    }
}

/// Creates the dispatch task and its handle. The future runs until `stop` is set.
pub fn create<C: Clock>(
    clock: C,
    policy: Policy,
    stop: Signal,
) -> (Handle, impl Future<Output = ()>) {
    let (sender, receiver) = mpsc::unbounded();
    let dispatch = Dispatch {
        settings: Arc::default(),
        scheduler: Scheduler::with_policy(clock.clone(), policy.order, policy.preemption),
        fleet: Fleet::new(clock.clone(), policy.failure_domain).with_host(policy.host),
        limits: Limits::new(clock.clone()),
        ledger: Ledger::default(),
        replies: BTreeMap::new(),
        pause_signals: BTreeMap::new(),
        needs_scheduling: false,
        checked_at: clock.now(),
        engine_selection: policy.engine_selection,
        clock,
    };
    (Handle(sender), dispatch.run(receiver, stop))
}

impl<C: Clock> Dispatch<C> {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>, stop: Signal) {
        while !stop.is_set() {
            if let Some(Some(message)) = within(CHECK_INTERVAL, messages.next()).await {
                self.handle(message);
                while let Ok(message) = messages.try_recv() {
                    self.handle(message);
                }
            }
            self.schedule();
        }
    }

    fn handle(&mut self, message: Message) {
        // Most messages report output without engine load, which cannot let a request start.
        self.needs_scheduling |= !matches!(message, Message::Progress(_, _, None));
        match message {
            Message::Submit(job, reply) => self.submit(job, reply),
            Message::Requeue(ticket, need, deadline, reply) => {
                self.release(ticket);
                self.pause_signals.remove(&ticket);
                self.scheduler.requeue(ticket, need, deadline);
                self.replies.insert(ticket, reply);
            }
            Message::Progress(ticket, tokens, load) => self.progress(ticket, tokens, load),
            Message::Finish(ticket, outcome) => {
                self.release(ticket);
                self.end(ticket, outcome);
            }
            Message::ReportHealth(engine, Health::Failed) => self.fleet.set_failed(engine),
            Message::ReportHealth(engine, Health::Leaving) => self.fleet.set_leaving(engine),
            Message::ReportHealth(engine, Health::Unanswered) => self.fleet.set_unanswered(engine),
            Message::SetMembers(members) => {
                self.fleet.set_members(&members);
                self.limits
                    .retain(|engine| self.fleet.get(engine).is_some());
            }
            Message::SetStatus(engine, status) => self.fleet.set_status(engine, &status),
            Message::SetSettings(settings) => {
                self.scheduler.set_settings(&settings);
                self.settings = settings;
            }
            Message::BackendCallStarted(partner) => self.ledger.submit(&partner),
            Message::BackendCallEnded(partner, outcome) => self.ledger.end(&partner, outcome),
            Message::PollTargets(reply) => {
                let engines = self.fleet.iter().map(|(key, engine)| PollTarget {
                    engine: key,
                    address: engine.address.clone(),
                    next_seq: engine.next_seq,
                    reported_at: engine.reported_at,
                });
                let _ = reply.send(engines.collect());
            }
            Message::ReportInput(reply) => {
                let _ = reply.send(ReportInput {
                    demand: self.scheduler.demand(),
                    domains: self.fleet.domains(),
                    shares: Shares::from_settings(&self.settings),
                    routers: self.fleet.routers().clone(),
                });
            }
            Message::SetGrant(grant) => self.scheduler.set_grant(&grant),
            Message::Overview(reply) => {
                let _ = reply.send(self.overview());
            }
        }
    }

    fn submit(&mut self, mut job: Job, reply: Reply) {
        if self.engine_selection == EngineSelection::LeastLoaded {
            // Without prefix blocks cached prefixes do not affect the choice of the engine.
            job.need.blocks.clear();
        }
        let partner = job.partner.clone();
        self.ledger.submit(&partner);
        match self.scheduler.submit(job, &self.settings) {
            Ok(ticket) => {
                self.replies.insert(ticket, reply);
            }
            Err(refusal) => {
                self.ledger.end(&partner, Outcome::Refused(refusal.reason));
                let _ = reply.send(Err(refusal));
            }
        }
    }

    fn progress(&mut self, ticket: Ticket, tokens: u32, load: Option<wire::Load>) {
        let gap = self.scheduler.progress(ticket, tokens);
        let Some((Some(engine), job)) = self.scheduler.get(ticket) else {
            return;
        };
        if let (Some(gap), Some(state)) = (gap, self.fleet.get(engine)) {
            let usage = Usage {
                own: state.own_streams,
                slots: state.slots,
            };
            let target = self.settings.target(job.rank).between_tokens;
            let limit = self.limits.observe(engine, job.rank, gap, target, usage);
            if let Some(limit) = limit {
                self.fleet.set_limit(engine, limit);
                self.needs_scheduling = true;
            }
        }
        if let Some(load) = load {
            self.fleet.set_load(engine, load);
        }
    }

    /// Frees the slot of a running request in the host's view of its engine.
    fn release(&mut self, ticket: Ticket) {
        if let Some((Some(engine), _)) = self.scheduler.get(ticket) {
            self.fleet.end(engine);
        }
    }

    fn end(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some((_, job)) = self.scheduler.get(ticket) {
            self.ledger.end(&job.partner.clone(), outcome);
        }
        if matches!(outcome, Outcome::Served(_)) {
            self.scheduler.record_usage(ticket);
        }
        self.replies.remove(&ticket);
        self.pause_signals.remove(&ticket);
        self.scheduler.remove(ticket);
    }

    /// Runs the periodic checks if they are due, then starts all requests that can start.
    fn schedule(&mut self) {
        let now = self.clock.now();
        if now.duration_since(self.checked_at) >= CHECK_INTERVAL {
            self.checked_at = now;
            self.end_abandoned();
            self.refuse_expired();
            self.signal_pauses();
            self.needs_scheduling = true;
        }
        if !std::mem::take(&mut self.needs_scheduling) {
            return;
        }
        while let Some(start) = self.scheduler.next(&self.fleet) {
            self.start(start);
        }
    }

    fn refuse_expired(&mut self) {
        for (ticket, refusal) in self.scheduler.expire(&self.fleet) {
            // A request that has run stays in the account until its `FinishGuard` ends it.
            if !self.scheduler.has_run(ticket) {
                self.refuse_waiting(ticket, refusal);
                continue;
            }
            if let Some(reply) = self.replies.remove(&ticket) {
                let _ = reply.send(Err(refusal));
            }
        }
    }

    fn signal_pauses(&mut self) {
        for ticket in self.scheduler.select_pauses(&self.settings) {
            if let Some(signal) = self.pause_signals.remove(&ticket) {
                info!("event=paused");
                signal.set();
            }
        }
    }

    fn refuse_waiting(&mut self, ticket: Ticket, refusal: Refusal) {
        let reply = self.replies.remove(&ticket);
        self.end(ticket, Outcome::Refused(refusal.reason));
        if let Some(reply) = reply {
            let _ = reply.send(Err(refusal));
        }
    }

    fn end_abandoned(&mut self) {
        let is_gone = |(_, reply): &(&Ticket, &Reply)| reply.is_canceled();
        let abandoned: Vec<_> = self
            .replies
            .iter()
            .filter(is_gone)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in abandoned {
            self.replies.remove(&ticket);
            if !self.scheduler.has_run(ticket) {
                self.end(ticket, Outcome::Refused(Reason::CallerGone));
            }
        }
    }

    fn start(&mut self, start: Start) {
        let Start { ticket, engine, .. } = start;
        let Some((_, job)) = self.scheduler.get(ticket) else {
            return;
        };
        self.fleet.begin(engine, &job.need.blocks);
        let Some(state) = self.fleet.get(engine) else {
            return;
        };
        info!(
            "event=dispatched engine={} partner={}",
            state.name, job.partner
        );
        let placement = Placement {
            ticket,
            engine,
            name: state.name.clone(),
            address: state.address.clone(),
            version: state.version.clone(),
            priority: start.priority,
            paused: Signal::default(),
        };
        self.pause_signals.insert(ticket, placement.paused.clone());
        let reply = self.replies.remove(&ticket);
        let is_undelivered = reply.is_none_or(|reply| reply.send(Ok(placement)).is_err());
        // From the second attempt on, the `FinishGuard` of the connection's task ends the request.
        if is_undelivered && self.scheduler.attempts(ticket) == 1 {
            self.release(ticket);
            self.end(ticket, Outcome::Refused(Reason::CallerGone));
        }
    }

    fn overview(&self) -> Overview {
        let engines = self.fleet.iter().map(|(_, engine)| {
            let view = EngineView {
                version: engine.version.clone(),
                own: engine.own_streams,
                load: engine.reported,
                leaving: engine.is_leaving,
            };
            (engine.name.clone(), view)
        });
        Overview {
            waiting: self.scheduler.waiting(),
            running: self.scheduler.running(),
            engines: engines.collect(),
            ledger: self.ledger.clone(),
        }
    }
}
