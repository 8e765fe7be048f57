//! The task that owns the scheduler, the host's view of the engines and the accounts of partners.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use futures_util::StreamExt;
use log::info;

use super::handle::{Handle, Message, Reply};
use super::{EngineView, Health, Overview, Placement, Policy, PollTarget, ReportInput};
use crate::account::{Ledger, Outcome};
use crate::clock::Clock;
use crate::config::host::EngineSelection;
use crate::config::split::SharedSettings;
use crate::http::problem::Reason;
use crate::route::fleet::Fleet;
use crate::sched::job::{Job, Refusal, Start, Ticket};
use crate::sched::limit::{Limits, Usage};
use crate::sched::scheduler::Scheduler;
use crate::sched::share::Shares;
use crate::supervisor::Signal;
use crate::util::within;
use crate::wire;

/// Time between checks for expired deadlines, abandoned requests and due pauses.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

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
