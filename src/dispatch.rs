//! The task that owns the scheduler, the view of the fleet and the account.

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
use crate::config::host::{Choice, Host, Order, Preemption};
use crate::config::split::Split;
use crate::http::problem::Reason;
use crate::route::fleet::{Domain, Engine, Fleet, Need};
use crate::sched::lease::{Demand, Grant};
use crate::sched::limit::{Limits, Use};
use crate::sched::scheduler::Scheduler;
use crate::sched::share::Shares;
use crate::sched::work::{Refusal, Start, Ticket, Work};
use crate::supervisor::Signal;
use crate::util::within;
use crate::wire::{self, Rank};

/// Longest time between two looks at deadlines.
const TICK: Duration = Duration::from_millis(50);

/// Where an attempt runs.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The request.
    pub ticket: Ticket,
    /// The engine.
    pub engine: Engine,
    /// Name of the engine.
    pub name: CompactString,
    /// Address of the engine, `IP:PORT`.
    pub address: CompactString,
    /// Version that it serves.
    pub version: CompactString,
    /// Place in the engine's own queue.
    pub priority: Rank,
    /// Given when the attempt is to give way: cancel it and ask for a new placement.
    pub paused: Signal,
}

/// How this host decides.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    /// Name of the host, which seeds its draws.
    pub host: CompactString,
    /// Failure domain whose engines are preferred.
    pub failure_domain: CompactString,
    /// Order in which waiting work starts.
    pub order: Order,
    /// How engines are chosen.
    pub choice: Choice,
    /// What urgent work does while routine work holds all places.
    pub preemption: Preemption,
}

impl Policy {
    /// Returns the policy of a host's settings.
    pub fn of(host: &Host) -> Self {
        Self {
            host: host.name.clone(),
            failure_domain: match host.route {
                Choice::Scored => host.failure_domain.clone(),
                Choice::LeastLoaded => CompactString::default(),
            },
            order: host.scheduler,
            choice: host.route,
            preemption: host.preemption,
        }
    }
}

/// What became of an engine in the eyes of a connection's task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It died, stalled or went silent.
    Failed,
    /// It takes no new work.
    Leaving,
    /// It did not answer a status request.
    Unanswered,
}

/// Numbers for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Overview {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// Engines by name.
    pub engines: BTreeMap<CompactString, EngineView>,
    /// Accounts by partner.
    pub ledger: Ledger,
}

/// An engine as this host sees it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineView {
    /// Version.
    pub version: CompactString,
    /// Streams that this host runs there.
    pub own: u32,
    /// Load as reported last.
    pub load: wire::Load,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// What a poll of an engine needs to know.
#[derive(Clone, Debug)]
pub struct Polled {
    /// The engine.
    pub engine: Engine,
    /// Address, `IP:PORT`.
    pub address: CompactString,
    /// Next cache event to ask for.
    pub next_seq: u64,
    /// When load was reported last.
    pub reported_at: Option<Instant>,
}

/// What a report to allocators needs.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// What this host wants, uses and has done.
    pub demand: Demand,
    /// Failure domains in use.
    pub domains: BTreeMap<CompactString, Domain>,
    /// Shares in force.
    pub shares: Shares,
    /// Routers in the platform's list.
    pub routers: BTreeSet<CompactString>,
}

type Reply = oneshot::Sender<Result<Placement, Refusal>>;

enum Message {
    Submit(Work, Reply),
    Replace(Ticket, Need, Instant, Reply),
    Progress(Ticket, u32, Option<wire::Load>),
    Finish(Ticket, Outcome),
    Health(Engine, Health),
    Members(Vec<wire::Member>),
    Status(Engine, wire::Status),
    Split(Arc<Split>),
    Submitted(CompactString),
    Ended(CompactString, Outcome),
    Engines(oneshot::Sender<Vec<Polled>>),
    Demand(oneshot::Sender<Asked>),
    Grant(Grant),
    Overview(oneshot::Sender<Overview>),
}

/// Answer of a task that has ended.
const STOPPING: Result<Placement, Refusal> = Err(Refusal {
    reason: Reason::Leaving,
    scope: None,
    retry_after: Duration::ZERO,
});

/// Sends messages to the dispatch task.
#[derive(Clone, Debug)]
pub struct Handle(mpsc::UnboundedSender<Message>);

impl Handle {
    /// Asks for a place for new work and waits for it.
    ///
    /// # Errors
    /// The work was refused; it did not run.
    pub async fn submit(&self, work: Work) -> Result<Placement, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Submit(work, reply));
        let mut unclaimed = Unclaimed {
            handle: self,
            answer,
        };
        (&mut unclaimed.answer).await.unwrap_or(STOPPING)
    }

    /// Asks for a place for the next attempt of a request, until `deadline`.
    ///
    /// # Errors
    /// No engine had a place in time; the ticket stays valid until [`Handle::finish`].
    pub async fn replace(
        &self,
        ticket: Ticket,
        need: Need,
        deadline: Instant,
    ) -> Result<Placement, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Replace(ticket, need, deadline, reply));
        answer.await.unwrap_or(STOPPING)
    }

    /// Notes output of running work, in tokens, and the load that came with it.
    pub fn progress(&self, ticket: Ticket, tokens: u32, load: Option<wire::Load>) {
        self.send(Message::Progress(ticket, tokens, load));
    }

    /// Notes the end of a request that has a ticket.
    pub fn finish(&self, ticket: Ticket, outcome: Outcome) {
        self.send(Message::Finish(ticket, outcome));
    }

    /// Notes what became of an engine.
    pub fn health(&self, engine: Engine, health: Health) {
        self.send(Message::Health(engine, health));
    }

    /// Takes over the membership list.
    pub fn members(&self, members: Vec<wire::Member>) {
        self.send(Message::Members(members));
    }

    /// Takes over an engine's status.
    pub fn status(&self, engine: Engine, status: wire::Status) {
        self.send(Message::Status(engine, status));
    }

    /// Puts a split into force.
    pub fn split(&self, split: Arc<Split>) {
        self.send(Message::Split(split));
    }

    /// Notes the arrival of a call to a backend service in the account of its partner.
    pub fn submitted(&self, partner: &CompactString) {
        self.send(Message::Submitted(partner.clone()));
    }

    /// Notes the end of a call to a backend service that was submitted before.
    pub fn ended(&self, partner: &CompactString, outcome: Outcome) {
        self.send(Message::Ended(partner.clone(), outcome));
    }

    /// Returns what a poll of each engine needs to know.
    pub async fn engines(&self) -> Vec<Polled> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Engines(reply));
        answer.await.unwrap_or_default()
    }

    /// Returns what the next report to allocators needs; work counts since the last call.
    pub async fn demand(&self) -> Asked {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Demand(reply));
        answer.await.unwrap_or_default()
    }

    /// Puts a grant into force.
    pub fn grant(&self, grant: Grant) {
        self.send(Message::Grant(grant));
    }

    /// Returns numbers for operators.
    pub async fn overview(&self) -> Overview {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Overview(reply));
        answer.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        // The task ends only after all connections, so a failure here means a stopping process.
        let _ = self.0.unbounded_send(message);
    }
}

/// Ends a request whose caller left after its placement was sent and before it was taken.
struct Unclaimed<'a> {
    handle: &'a Handle,
    answer: oneshot::Receiver<Result<Placement, Refusal>>,
}

impl Drop for Unclaimed<'_> {
    fn drop(&mut self) {
        if let Ok(Some(Ok(placement))) = self.answer.try_recv() {
            let outcome = Outcome::Refused(Reason::CallerGone);
            self.handle.finish(placement.ticket, outcome);
        }
    }
}

struct Dispatch<C: Clock> {
    clock: C,
    choice: Choice,
    split: Arc<Split>,
    scheduler: Scheduler<C>,
    fleet: Fleet<C>,
    limits: Limits<C>,
    ledger: Ledger,
    replies: BTreeMap<Ticket, Reply>,
    // Signals of running attempts.
    paused: BTreeMap<Ticket, Signal>,
    // Whether something changed that a decision depends on.
    is_changed: bool,
    // When deadlines and callers that left were looked at last.
    looked_at: Instant,
}

/// Finishes a request when its task ends, also when the task is cancelled.
#[derive(Debug)]
pub struct Guard {
    handle: Handle,
    ticket: Ticket,
    outcome: Outcome,
}

impl Guard {
    /// Takes charge of a placed request; until told otherwise its outcome is a failure.
    pub fn new(handle: Handle, ticket: Ticket) -> Self {
        Self {
            handle,
            ticket,
            outcome: Outcome::Failed,
        }
    }

    /// Sets the outcome that is noted at the end.
    pub fn set(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.handle.finish(self.ticket, self.outcome);
    }
}

/// Creates the handle and the task's future.
pub fn create<C: Clock>(
    clock: C,
    policy: Policy,
    stop: Signal,
) -> (Handle, impl Future<Output = ()>) {
    let (sender, receiver) = mpsc::unbounded();
    let dispatch = Dispatch {
        split: Arc::default(),
        scheduler: Scheduler::with_policy(clock.clone(), policy.order, policy.preemption),
        fleet: Fleet::new(clock.clone(), policy.failure_domain).with_host(policy.host),
        limits: Limits::new(clock.clone()),
        ledger: Ledger::default(),
        replies: BTreeMap::new(),
        paused: BTreeMap::new(),
        is_changed: false,
        looked_at: clock.now(),
        choice: policy.choice,
        clock,
    };
    (Handle(sender), dispatch.run(receiver, stop))
}

impl<C: Clock> Dispatch<C> {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>, stop: Signal) {
        while !stop.is_given() {
            if let Some(Some(message)) = within(TICK, messages.next()).await {
                self.handle(message);
                while let Ok(message) = messages.try_recv() {
                    self.handle(message);
                }
            }
            self.decide();
        }
    }

    fn handle(&mut self, message: Message) {
        // Output without a load report frees no place, and most messages are of this kind.
        self.is_changed |= !matches!(message, Message::Progress(_, _, None));
        match message {
            Message::Submit(work, reply) => self.submit(work, reply),
            Message::Replace(ticket, need, deadline, reply) => {
                self.release(ticket);
                self.paused.remove(&ticket);
                self.scheduler.requeue(ticket, need, deadline);
                self.replies.insert(ticket, reply);
            }
            Message::Progress(ticket, tokens, load) => self.progress(ticket, tokens, load),
            Message::Finish(ticket, outcome) => {
                self.release(ticket);
                self.end(ticket, outcome);
            }
            Message::Health(engine, Health::Failed) => self.fleet.set_failed(engine),
            Message::Health(engine, Health::Leaving) => self.fleet.set_leaving(engine),
            Message::Health(engine, Health::Unanswered) => self.fleet.set_unanswered(engine),
            Message::Members(members) => {
                self.fleet.set_members(&members);
                self.limits
                    .retain(|engine| self.fleet.get(engine).is_some());
            }
            Message::Status(engine, status) => self.fleet.set_status(engine, &status),
            Message::Split(split) => {
                self.scheduler.set_split(&split);
                self.split = split;
            }
            Message::Submitted(partner) => self.ledger.submit(&partner),
            Message::Ended(partner, outcome) => self.ledger.end(&partner, outcome),
            Message::Engines(reply) => {
                let engines = self.fleet.iter().map(|(key, engine)| Polled {
                    engine: key,
                    address: engine.address.clone(),
                    next_seq: engine.next_seq,
                    reported_at: engine.reported_at,
                });
                let _ = reply.send(engines.collect());
            }
            Message::Demand(reply) => {
                let _ = reply.send(Asked {
                    demand: self.scheduler.demand(),
                    domains: self.fleet.domains(),
                    shares: Shares::of(&self.split),
                    routers: self.fleet.routers().clone(),
                });
            }
            Message::Grant(grant) => self.scheduler.set_grant(&grant),
            Message::Overview(reply) => {
                let _ = reply.send(self.overview());
            }
        }
    }

    fn submit(&mut self, mut work: Work, reply: Reply) {
        if self.choice == Choice::LeastLoaded {
            work.need.blocks.clear();
        }
        let partner = work.partner.clone();
        self.ledger.submit(&partner);
        match self.scheduler.submit(work, &self.split) {
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
        let Some((Some(engine), work)) = self.scheduler.get(ticket) else {
            return;
        };
        if let (Some(gap), Some(state)) = (gap, self.fleet.get(engine)) {
            let used = Use {
                own: state.own_streams,
                slots: state.slots,
            };
            let target = self.split.target(work.rank).between_tokens;
            let limit = self.limits.observe(engine, work.rank, gap, target, used);
            if let Some(limit) = limit {
                self.fleet.set_limit(engine, limit);
                self.is_changed = true;
            }
        }
        if let Some(load) = load {
            self.fleet.set_load(engine, load);
        }
    }

    fn release(&mut self, ticket: Ticket) {
        if let Some((Some(engine), _)) = self.scheduler.get(ticket) {
            self.fleet.end(engine);
        }
    }

    fn end(&mut self, ticket: Ticket, outcome: Outcome) {
        if let Some((_, work)) = self.scheduler.get(ticket) {
            self.ledger.end(&work.partner.clone(), outcome);
        }
        if matches!(outcome, Outcome::Served(_)) {
            self.scheduler.learn(ticket);
        }
        self.replies.remove(&ticket);
        self.paused.remove(&ticket);
        self.scheduler.remove(ticket);
    }

    fn decide(&mut self) {
        let now = self.clock.now();
        if now.duration_since(self.looked_at) >= TICK {
            self.looked_at = now;
            self.drop_abandoned();
            self.expire();
            self.pause();
            self.is_changed = true;
        }
        if !std::mem::take(&mut self.is_changed) {
            return;
        }
        while let Some(start) = self.scheduler.next(&self.fleet) {
            self.start(start);
        }
    }

    fn expire(&mut self) {
        for (ticket, refusal) in self.scheduler.expire(&self.fleet) {
            if !self.scheduler.has_run(ticket) {
                self.end_waiting(ticket, refusal);
                continue;
            }
            if let Some(reply) = self.replies.remove(&ticket) {
                let _ = reply.send(Err(refusal));
            }
        }
    }

    fn pause(&mut self) {
        for ticket in self.scheduler.pause(&self.split) {
            if let Some(signal) = self.paused.remove(&ticket) {
                info!("event=paused");
                signal.give();
            }
        }
    }

    fn end_waiting(&mut self, ticket: Ticket, refusal: Refusal) {
        let reply = self.replies.remove(&ticket);
        self.end(ticket, Outcome::Refused(refusal.reason));
        if let Some(reply) = reply {
            let _ = reply.send(Err(refusal));
        }
    }

    fn drop_abandoned(&mut self) {
        let is_gone = |(_, reply): &(&Ticket, &Reply)| reply.is_canceled();
        let gone: Vec<_> = self
            .replies
            .iter()
            .filter(is_gone)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in gone {
            self.replies.remove(&ticket);
            if !self.scheduler.has_run(ticket) {
                self.end(ticket, Outcome::Refused(Reason::CallerGone));
            }
        }
    }

    fn start(&mut self, start: Start) {
        let Start { ticket, engine, .. } = start;
        let Some((_, work)) = self.scheduler.get(ticket) else {
            return;
        };
        self.fleet.begin(engine, &work.need.blocks);
        let Some(state) = self.fleet.get(engine) else {
            return;
        };
        info!(
            "event=dispatched engine={} partner={}",
            state.name, work.partner
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
        self.paused.insert(ticket, placement.paused.clone());
        let reply = self.replies.remove(&ticket);
        let is_unsent = reply.is_none_or(|reply| reply.send(Ok(placement)).is_err());
        // A later attempt is ended by the guard of its connection's task.
        if is_unsent && self.scheduler.attempts(ticket) == 1 {
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
