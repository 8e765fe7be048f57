//! The handle through which connection tasks talk to the dispatch task.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_channel::{mpsc, oneshot};

use super::{Health, Overview, Placement, PollTarget, ReportInput};
use crate::account::Outcome;
use crate::config::split::SharedSettings;
use crate::http::problem::Reason;
use crate::route::fleet::{Engine, Need};
use crate::sched::job::{Job, Refusal, Ticket};
use crate::sched::lease::Grant;
use crate::wire;

pub(super) type Reply = oneshot::Sender<Result<Placement, Refusal>>;

pub(super) enum Message {
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
pub struct Handle(pub(super) mpsc::UnboundedSender<Message>);

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
