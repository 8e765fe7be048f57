//! The tasks that manage the ranges on this host, and the handle through which calls are claimed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::log::{Error, Log, Owner};
use super::range::{Answer, Range};
use super::record::{CLAIM_TIMEOUT, Claim, Outcome, RANGE_COUNT, Report};
use crate::clock;
use crate::member::view::{Liveness, Peer, View};
use crate::peer;
use crate::peer::server::Methods;
use crate::store::objects::{Client, Objects};
use crate::supervisor::{Group, Signal, Supervisor};
use crate::util::within;

/// Timeout of one request to the owner of a range. It must be longer than a store write whose
/// response is lost plus the read that checks it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which an owner delays the answer `running`, in case the outcome arrives meanwhile.
const RUNNING_ANSWER_DELAY: Duration = Duration::from_millis(500);

/// Time between two attempts to reach the owner of a range that is being taken over; also the
/// polling interval of [`Handle::wait_released`] and [`Handle::wait_confirmed`].
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Time beyond the call's timeout for which a repeat waits for the outcome.
const REPEAT_GRACE: Duration = Duration::from_secs(2);

/// Time for which outcomes are collected before they are sent in one message.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of outcomes in one message.
const BATCH_REPORTS_MAX: usize = 256;

/// Maximum time between two checks of who owns a range and which outcomes are overdue; also the
/// delay before a failed takeover or a failed message with outcomes is retried.
const TICK: Duration = Duration::from_millis(100);

/// Time between the loss of a range and an attempt to take it over again, so that two hosts with
/// different views of the membership do not take it from each other at every call.
const RETAKE_DELAY: Duration = Duration::from_millis(300);

/// Time between two removals of expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// What the claimant must do with the call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Run the call; do not repeat it.
    Granted,
    /// Return the outcome of an earlier call.
    Recorded(Outcome),
    /// Refuse: the key belongs to another call.
    Conflict,
    /// Refuse: the key is too old, or too far in the future.
    Expired,
    /// Refuse: the call cannot be claimed now.
    Unavailable,
    /// Fail: an earlier call with the key may have run, and its outcome did not become known in
    /// time.
    Unknown,
}

/// Parameters of `claim.claim`, which a router sends to the owner of the key's range.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ClaimRequest {
    claim: Claim,
    // Whether another router forwarded the claim. It is then not forwarded again, so that routers
    // with different views cannot pass it around in a loop.
    relayed: bool,
}

/// Parameters of `claim.outcome`.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct OutcomeRequest {
    range: u32,
    reports: Vec<Report>,
}

/// Message to the task of a range. The reply to `Outcomes` is whether all are in the log.
enum Message {
    Claim(ClaimRequest, oneshot::Sender<Answer>),
    Outcomes(Vec<Report>, oneshot::Sender<bool>),
}

struct Inner {
    view: View,
    peer: peer::client::Client,
    // By number of the range.
    range_tasks: Vec<mpsc::UnboundedSender<Message>>,
    // By number of the range: outcomes to be sent to its owner.
    report_queues: Vec<mpsc::UnboundedSender<Report>>,
    // Number of outcomes that the owner has not confirmed yet.
    unconfirmed_count: Cell<usize>,
    held_ranges: RefCell<BTreeSet<u32>>,
}

/// Claims keys for the calls that this host accepts, and reports their outcomes.
#[derive(Clone)]
pub struct Handle(Rc<Inner>);

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Handle")
    }
}

/// Returns the name by which rendezvous hashing chooses the owner of a range.
fn duty(range: u32) -> CompactString {
    format_compact!("claims/{range}")
}

/// Starts the tasks of all ranges, and adds `claim.claim` and `claim.outcome` to `methods`.
pub fn start(
    store: &Client,
    incarnation: u64,
    view: &View,
    peer: &peer::client::Client,
    methods: &mut Methods,
    supervisor: &Supervisor,
) -> Handle {
    let tasks: Vec<_> = (0..RANGE_COUNT).map(|_| mpsc::unbounded()).collect();
    let queues: Vec<_> = (0..RANGE_COUNT).map(|_| mpsc::unbounded()).collect();
    let handle = Handle(Rc::new(Inner {
        view: view.clone(),
        peer: peer.clone(),
        range_tasks: tasks.iter().map(|(sender, _)| sender.clone()).collect(),
        report_queues: queues.iter().map(|(sender, _)| sender.clone()).collect(),
        unconfirmed_count: Cell::new(0),
        held_ranges: RefCell::default(),
    }));
    add_methods(&handle, methods);
    let owner = Owner {
        name: view.own_name().clone(),
        incarnation,
    };
    let receivers = tasks.into_iter().map(|(_, receiver)| receiver);
    for (range, receiver) in (0..RANGE_COUNT).zip(receivers) {
        let log = Log::new(store.clone(), range, owner.clone());
        let task = Task {
            range_number: range,
            handle: handle.clone(),
            range: Range::new(clock::System, log),
            early_claims: Vec::new(),
            forwards: Group::default(),
            next_takeover_at: Instant::now(),
            last_expiry_at: Instant::now(),
        };
        supervisor.spawn("claims", task.run(receiver, supervisor.stop_signal()));
    }
    let receivers = queues.into_iter().map(|(_, receiver)| receiver);
    for (range, receiver) in (0..RANGE_COUNT).zip(receivers) {
        let stop = supervisor.stop_signal();
        supervisor.spawn(
            "outcomes",
            handle.clone().deliver_reports(range, receiver, stop),
        );
    }
    handle
}

fn add_methods(handle: &Handle, methods: &mut Methods) {
    let tasks = handle.0.range_tasks.clone();
    methods.add("claim.claim", move |_, request: ClaimRequest| {
        let task = tasks[request.claim.key.range() as usize].clone();
        async move {
            let (reply, answer) = oneshot::channel();
            task.unbounded_send(Message::Claim(request, reply)).ok()?;
            answer.await.ok()
        }
    });
    let tasks = handle.0.range_tasks.clone();
    methods.add("claim.outcome", move |_, request: OutcomeRequest| {
        let task = tasks.get(request.range as usize).cloned();
        async move {
            let (reply, answer) = oneshot::channel();
            let message = Message::Outcomes(request.reports, reply);
            task?.unbounded_send(message).ok()?;
            answer.await.ok()
        }
    });
}

impl Handle {
    /// Claims the key of a call. If an earlier call with the key is still running, waits for its
    /// outcome.
    pub async fn claim(&self, claim: &Claim) -> Verdict {
        let started = Instant::now();
        let mut last_answer_at = started;
        let mut is_running = false;
        let running_limit = Duration::from_millis(claim.limit_ms) + REPEAT_GRACE;
        loop {
            let answer = self.send_claim(claim).await;
            // A late grant is not used: this process may have been paused since the owner granted
            // the claim.
            if last_answer_at.elapsed() >= CLAIM_TIMEOUT {
                break;
            }
            match answer {
                Some(Answer::Granted) => return Verdict::Granted,
                Some(Answer::Recorded(outcome)) => return Verdict::Recorded(outcome),
                Some(Answer::Conflict) => return Verdict::Conflict,
                Some(Answer::Expired) => return Verdict::Expired,
                Some(Answer::Unavailable) => return Verdict::Unavailable,
                Some(Answer::Running) if started.elapsed() < running_limit => {
                    is_running = true;
                    last_answer_at = Instant::now();
                }
                Some(Answer::Running) => break,
                Some(Answer::Moved | Answer::Noted) | None => {
                    compio::time::sleep(RETRY_INTERVAL).await
                }
            }
        }
        info!(
            "event=claim_given_up range={} nonce={:016x} running={is_running} ms={} silent_ms={}",
            claim.key.range(),
            claim.nonce,
            started.elapsed().as_millis(),
            last_answer_at.elapsed().as_millis()
        );
        self.report(claim, Outcome::NotRun);
        match is_running {
            true => Verdict::Unknown,
            false => Verdict::Unavailable,
        }
    }

    /// Sends a claim to the owner of its key; returns `None` if there is no answer.
    async fn send_claim(&self, claim: &Claim) -> Option<Answer> {
        let range = claim.key.range();
        let request = ClaimRequest {
            claim: claim.clone(),
            relayed: false,
        };
        if let Some(owner) = self.remote_owner(range) {
            return self.send_claim_to(&owner, &request).await;
        }
        let (reply, answer) = oneshot::channel();
        let message = Message::Claim(request, reply);
        self.0.range_tasks[range as usize]
            .unbounded_send(message)
            .ok()?;
        within(REQUEST_TIMEOUT, answer).await?.ok()
    }

    /// Returns the owner of a range, or `None` if it is this host. A host that leaves keeps its
    /// ranges while there is no other host.
    fn remote_owner(&self, range: u32) -> Option<Peer> {
        let owner = self.0.view.owner(&duty(range))?;
        (owner.name != *self.0.view.own_name()).then_some(owner)
    }

    async fn send_claim_to(&self, owner: &Peer, request: &ClaimRequest) -> Option<Answer> {
        let peer = &self.0.peer;
        let call = peer.call(&owner.address, "claim.claim", request, REQUEST_TIMEOUT);
        match call.await {
            Ok(answer) => Some(answer),
            Err(err) => {
                info!(
                    "event=claim_unanswered host={} error={:?}",
                    owner.name,
                    err.to_string()
                );
                self.0.view.request_probe(&owner.name);
                None
            }
        }
    }

    /// Queues the outcome of a claim; it is sent to the owner of its key until the owner confirms
    /// it.
    pub fn report(&self, claim: &Claim, outcome: Outcome) {
        let report = Report {
            key: claim.key,
            nonce: claim.nonce,
            outcome,
        };
        let queue = &self.0.report_queues[claim.key.range() as usize];
        if queue.unbounded_send(report).is_ok() {
            self.0
                .unconfirmed_count
                .set(self.0.unconfirmed_count.get() + 1);
        }
    }

    /// Sends the outcomes of `queue` to the owner of a range until `stop` is set.
    async fn deliver_reports(
        self,
        range: u32,
        mut queue: mpsc::UnboundedReceiver<Report>,
        stop: Signal,
    ) {
        let mut reports = Vec::new();
        while !stop.is_set() {
            if reports.is_empty() {
                reports.extend(within(TICK, queue.next()).await.flatten());
                continue;
            }
            compio::time::sleep(REPORT_BATCH_DELAY).await;
            while let Ok(report) = queue.try_recv() {
                reports.push(report);
            }
            let count = reports.len().min(BATCH_REPORTS_MAX);
            if self.send_reports(range, &reports[..count]).await == Some(true) {
                reports.drain(..count);
                let unconfirmed = self.0.unconfirmed_count.get();
                self.0
                    .unconfirmed_count
                    .set(unconfirmed.saturating_sub(count));
            } else {
                within(TICK, stop.wait()).await;
            }
        }
    }

    /// Returns whether the owner has all `reports` in its log, or `None` if there is no answer.
    async fn send_reports(&self, range: u32, reports: &[Report]) -> Option<bool> {
        if let Some(owner) = self.remote_owner(range) {
            let params = OutcomeRequest {
                range,
                reports: reports.to_vec(),
            };
            let peer = &self.0.peer;
            let call = peer.call(&owner.address, "claim.outcome", &params, REQUEST_TIMEOUT);
            return call.await.ok();
        }
        let (reply, answer) = oneshot::channel();
        let message = Message::Outcomes(reports.to_vec(), reply);
        self.0.range_tasks[range as usize]
            .unbounded_send(message)
            .ok()?;
        within(REQUEST_TIMEOUT, answer).await?.ok()
    }

    /// Returns the numbers of the ranges that this host holds. Another host may have taken one over
    /// since the last write.
    pub fn held_ranges(&self) -> Vec<u32> {
        self.0.held_ranges.borrow().iter().copied().collect()
    }

    /// Waits until this host has released all ranges that another host owns now. A range is
    /// released once its last records are written.
    pub async fn wait_released(&self) {
        while { self.held_ranges() }
            .into_iter()
            .any(|range| self.remote_owner(range).is_some())
        {
            compio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Waits until the owners have confirmed all outcomes that this host reported.
    pub async fn wait_confirmed(&self) {
        while self.0.unconfirmed_count.get() > 0 {
            compio::time::sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Recipient of an answer of a range.
enum Waiter {
    Claimant(oneshot::Sender<Answer>),
    Reporter(Rc<ReportBatch>),
}

/// The outcomes of one message, which get one reply.
struct ReportBatch {
    unanswered: Cell<usize>,
    // Whether all answers so far are `noted`.
    is_noted: Cell<bool>,
    reply: RefCell<Option<oneshot::Sender<bool>>>,
}

impl Waiter {
    fn answer(self, answer: Answer) {
        match self {
            Self::Claimant(reply) => {
                let _ = reply.send(answer);
            }
            Self::Reporter(batch) => {
                batch
                    .is_noted
                    .set(batch.is_noted.get() && answer == Answer::Noted);
                batch.unanswered.set(batch.unanswered.get() - 1);
                if batch.unanswered.get() == 0
                    && let Some(reply) = batch.reply.take()
                {
                    let _ = reply.send(batch.is_noted.get());
                }
            }
        }
    }
}

/// The task of one range.
struct Task<S: Objects> {
    range_number: u32,
    handle: Handle,
    range: Range<S, clock::System, Waiter>,
    // Claims that arrived before this host took over the range.
    early_claims: Vec<(Claim, Waiter)>,
    // Claims that are being forwarded to the owner.
    forwards: Group,
    next_takeover_at: Instant,
    last_expiry_at: Instant,
}

impl<S: Objects> Task<S> {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>, stop: Signal) {
        while !stop.is_set() {
            let timeout = self.range.next_write_in().unwrap_or(TICK).min(TICK);
            if let Some(Some(message)) = within(timeout, messages.next()).await {
                self.handle_message(message);
                while let Ok(message) = messages.try_recv() {
                    self.handle_message(message);
                }
            }
            self.advance().await;
            let mut held = self.handle.0.held_ranges.borrow_mut();
            match self.range.is_held() {
                true => held.insert(self.range_number),
                false => held.remove(&self.range_number),
            };
        }
        if self.range.is_held() {
            self.flush().await;
        }
        self.range.release();
        self.send_answers();
        self.forwards.join().await;
    }

    /// Returns whether this host should hold the range, by its own view of the membership.
    fn is_owner(&self) -> bool {
        let view = &self.handle.0.view;
        view.owns(&duty(self.range_number)) || view.live().is_empty()
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Claim(request, reply) => {
                let waiter = Waiter::Claimant(reply);
                if self.range.is_held() {
                    self.range
                        .claim(request.claim, waiter, Instant::now() + RUNNING_ANSWER_DELAY);
                } else if self.is_owner() {
                    self.early_claims.push((request.claim, waiter));
                } else if request.relayed {
                    waiter.answer(Answer::Moved);
                } else {
                    self.forward(request.claim, waiter);
                }
            }
            Message::Outcomes(reports, reply) => {
                let batch = Rc::new(ReportBatch {
                    unanswered: Cell::new(reports.len()),
                    is_noted: Cell::new(true),
                    reply: RefCell::new(Some(reply)),
                });
                for report in reports {
                    self.range.report(report, Waiter::Reporter(batch.clone()));
                }
            }
        }
    }

    /// Forwards a claim to the owner of the range.
    fn forward(&self, claim: Claim, waiter: Waiter) {
        let handle = self.handle.clone();
        let range = self.range_number;
        self.forwards.spawn(async move {
            let request = ClaimRequest {
                claim,
                relayed: true,
            };
            let answer = match handle.remote_owner(range) {
                Some(owner) => handle.send_claim_to(&owner, &request).await,
                None => None,
            };
            waiter.answer(answer.unwrap_or(Answer::Moved));
        });
    }

    /// Takes over or releases the range if its owner has changed, sends the answers that are due,
    /// and writes and removes records.
    async fn advance(&mut self) {
        if self.range.release_if_outdated() {
            info!("event=range_outdated range={}", self.range_number);
            self.send_answers();
        }
        if !self.range.is_held() && self.is_owner() && Instant::now() >= self.next_takeover_at {
            self.take_over().await;
        }
        // These are left if the takeover is not due or has failed; their claimants try again.
        for (_, waiter) in self.early_claims.drain(..) {
            waiter.answer(Answer::Moved);
        }
        self.send_answers();
        let is_due = |range: &Range<S, _, _>| range.next_write_in() == Some(Duration::ZERO);
        if self.range.is_held() && is_due(&self.range) {
            self.flush().await;
            self.send_answers();
        }
        if self.range.is_held() && !self.is_owner() && self.range.next_write_in().is_none() {
            info!("event=range_released range={}", self.range_number);
            self.range.release();
            self.send_answers();
        }
        if self.range.is_held() && self.last_expiry_at.elapsed() >= EXPIRY_INTERVAL {
            self.last_expiry_at = Instant::now();
            self.range.remove_expired().await;
        }
    }

    async fn take_over(&mut self) {
        let started = Instant::now();
        match self.range.take_over().await {
            Ok(()) => {
                info!(
                    "event=range_taken range={} keys={} ms={} complete_after_ms={}",
                    self.range_number,
                    self.range.key_count(),
                    started.elapsed().as_millis(),
                    self.range.complete_after_ms()
                );
                for (claim, waiter) in self.early_claims.drain(..) {
                    self.range
                        .claim(claim, waiter, Instant::now() + RUNNING_ANSWER_DELAY);
                }
            }
            Err(err) => {
                info!(
                    "event=range_not_taken range={} error={:?}",
                    self.range_number,
                    err.to_string()
                );
                self.next_takeover_at = Instant::now() + TICK;
                if matches!(err, Error::Unavailable(_)) {
                    for (_, waiter) in self.early_claims.drain(..) {
                        waiter.answer(Answer::Unavailable);
                    }
                }
            }
        }
    }

    async fn flush(&mut self) {
        let Err(err) = self.range.flush().await else {
            return;
        };
        warn!(
            "event=claims_not_written range={} error={:?}",
            self.range_number,
            err.to_string()
        );
        if err == Error::Lost {
            self.next_takeover_at = Instant::now() + RETAKE_DELAY;
        }
    }

    /// Sends the answers that are due.
    fn send_answers(&mut self) {
        let view = &self.handle.0.view;
        self.range.update_claimants(|name| {
            let liveness = view.liveness(name);
            if matches!(liveness, Liveness::Silent(_)) {
                view.request_probe(name);
            }
            liveness
        });
        for (waiter, answer) in self.range.take_answers() {
            waiter.answer(answer);
        }
    }
}
