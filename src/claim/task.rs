//! The tasks that own the ranges of this host, and what claimants need of them.

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
use super::record::{Claim, Outcome, RANGES, Report};
use crate::clock;
use crate::member::view::{Peer, View};
use crate::peer;
use crate::peer::server::Methods;
use crate::store::objects::{Client, Objects};
use crate::supervisor::{Group, Signal, Supervisor};
use crate::util::within;

/// Longest time for which a claim is pursued; a grant that arrives later is not acted on.
const CLAIM_LIMIT: Duration = Duration::from_secs(4);

/// Longest time for one question to an owner. Longer than a write whose response is lost and that
/// is read back.
const ASK_LIMIT: Duration = Duration::from_millis(1500);

/// Longest time for which an owner holds back the answer `running`.
const HOLD: Duration = Duration::from_millis(500);

/// Time between two questions about a range that moves.
const RETRY: Duration = Duration::from_millis(25);

/// Time beyond the call's limit for which a repeat waits for the outcome.
const OUTCOME_GRACE: Duration = Duration::from_secs(2);

/// Time in which outcomes gather for one message.
const REPORT_PERIOD: Duration = Duration::from_millis(20);

/// Most outcomes in one message.
const REPORTS_MAX: usize = 256;

/// Longest time between two looks at who owns a range and whose outcome is overdue.
const TICK: Duration = Duration::from_millis(100);

/// Time after the loss of a range before this host takes it again, so that two hosts with
/// different views do not take it from each other at every call.
const LOST_PERIOD: Duration = Duration::from_millis(300);

/// Time between two removals of expired records.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// What a claimant may do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Run the call, once.
    Granted,
    /// Return the outcome of an earlier call.
    Recorded(Outcome),
    /// Refuse: the key belongs to another call.
    Conflict,
    /// Refuse: the key is outside the window.
    Expired,
    /// Refuse: the call cannot be claimed now.
    Unavailable,
    /// An earlier call with the key runs or ran, and its outcome did not become known in time.
    Unknown,
}

/// Question to the owner of a range.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Ask {
    claim: Claim,
    // A relayed question is not relayed again, so that it cannot go in circles.
    relayed: bool,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Reports {
    range: u32,
    reports: Vec<Report>,
}

enum Message {
    Claim(Ask, oneshot::Sender<Answer>),
    Outcomes(Vec<Report>, oneshot::Sender<bool>),
}

struct Inner {
    view: View,
    peer: peer::client::Client,
    ranges: Vec<mpsc::UnboundedSender<Message>>,
    outboxes: Vec<mpsc::UnboundedSender<Report>>,
    // Outcomes that no owner has confirmed yet.
    unconfirmed: Cell<usize>,
    held: RefCell<BTreeSet<u32>>,
}

/// Claims keys on behalf of callers.
#[derive(Clone)]
pub struct Handle(Rc<Inner>);

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Handle")
    }
}

fn duty(range: u32) -> CompactString {
    format_compact!("claims/{range}")
}

/// Starts the tasks of all ranges and adds the methods that other routers call.
pub fn start(
    store: &Client,
    incarnation: u64,
    view: &View,
    peer: &peer::client::Client,
    methods: &mut Methods,
    supervisor: &Supervisor,
) -> Handle {
    let channels: Vec<_> = (0..RANGES).map(|_| mpsc::unbounded()).collect();
    let outboxes: Vec<_> = (0..RANGES).map(|_| mpsc::unbounded()).collect();
    let handle = Handle(Rc::new(Inner {
        view: view.clone(),
        peer: peer.clone(),
        ranges: channels.iter().map(|(sender, _)| sender.clone()).collect(),
        outboxes: outboxes.iter().map(|(sender, _)| sender.clone()).collect(),
        unconfirmed: Cell::new(0),
        held: RefCell::default(),
    }));
    add_methods(&handle, methods);
    let owner = Owner {
        name: view.own_name().clone(),
        incarnation,
    };
    let receivers = channels.into_iter().map(|(_, receiver)| receiver);
    for (range, receiver) in (0..RANGES).zip(receivers) {
        let log = Log::new(store.clone(), range, owner.clone());
        let task = Task {
            number: range,
            handle: handle.clone(),
            range: Range::new(clock::System, log),
            parked: Vec::new(),
            relays: Group::default(),
            open_at: Instant::now(),
            expired_at: Instant::now(),
        };
        supervisor.spawn("claims", task.run(receiver, supervisor.stop_signal()));
    }
    let receivers = outboxes.into_iter().map(|(_, receiver)| receiver);
    for (range, receiver) in (0..RANGES).zip(receivers) {
        let stop = supervisor.stop_signal();
        supervisor.spawn("outcomes", handle.clone().deliver(range, receiver, stop));
    }
    handle
}

fn add_methods(handle: &Handle, methods: &mut Methods) {
    let ranges = handle.0.ranges.clone();
    methods.add("claim.claim", move |_, ask: Ask| {
        let range = ranges[ask.claim.key.range() as usize].clone();
        async move {
            let (reply, answer) = oneshot::channel();
            range.unbounded_send(Message::Claim(ask, reply)).ok()?;
            answer.await.ok()
        }
    });
    let ranges = handle.0.ranges.clone();
    methods.add("claim.outcome", move |_, sent: Reports| {
        let range = ranges.get(sent.range as usize).cloned();
        async move {
            let (reply, answer) = oneshot::channel();
            let message = Message::Outcomes(sent.reports, reply);
            range?.unbounded_send(message).ok()?;
            answer.await.ok()
        }
    });
}

impl Handle {
    /// Claims the key of a call, and waits for the outcome of a call that runs with it already.
    pub async fn claim(&self, claim: &Claim) -> Verdict {
        let started = Instant::now();
        let mut asked = started;
        let mut is_running = false;
        let running_limit = Duration::from_millis(claim.limit_ms) + OUTCOME_GRACE;
        loop {
            let answer = self.ask(claim).await;
            // A late grant is not acted on: a pause of this host can lie before this line.
            if asked.elapsed() >= CLAIM_LIMIT {
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
                    asked = Instant::now();
                }
                Some(Answer::Running) => break,
                Some(Answer::Moved | Answer::Noted) | None => compio::time::sleep(RETRY).await,
            }
        }
        self.report(claim, Outcome::NotRun);
        match is_running {
            true => Verdict::Unknown,
            false => Verdict::Unavailable,
        }
    }

    async fn ask(&self, claim: &Claim) -> Option<Answer> {
        let range = claim.key.range();
        let ask = Ask {
            claim: claim.clone(),
            relayed: false,
        };
        if let Some(owner) = self.other_owner(range) {
            return self.ask_peer(&owner, &ask).await;
        }
        let (reply, answer) = oneshot::channel();
        let message = Message::Claim(ask, reply);
        self.0.ranges[range as usize].unbounded_send(message).ok()?;
        within(ASK_LIMIT, answer).await?.ok()
    }

    /// Returns the owner of a range, `None` if it is this host. A host that leaves keeps its
    /// ranges while there is no other.
    fn other_owner(&self, range: u32) -> Option<Peer> {
        let owner = self.0.view.owner(&duty(range))?;
        (owner.name != *self.0.view.own_name()).then_some(owner)
    }

    async fn ask_peer(&self, owner: &Peer, ask: &Ask) -> Option<Answer> {
        let peer = &self.0.peer;
        let call = peer.call(&owner.address, "claim.claim", ask, ASK_LIMIT);
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

    /// Sends the outcome of a claim to the owner of its key, until the owner confirms it.
    pub fn report(&self, claim: &Claim, outcome: Outcome) {
        let report = Report {
            key: claim.key,
            nonce: claim.nonce,
            outcome,
        };
        let outbox = &self.0.outboxes[claim.key.range() as usize];
        if outbox.unbounded_send(report).is_ok() {
            self.0.unconfirmed.set(self.0.unconfirmed.get() + 1);
        }
    }

    async fn deliver(self, range: u32, mut outbox: mpsc::UnboundedReceiver<Report>, stop: Signal) {
        let mut reports = Vec::new();
        while !stop.is_given() {
            if reports.is_empty() {
                reports.extend(within(TICK, outbox.next()).await.flatten());
                continue;
            }
            compio::time::sleep(REPORT_PERIOD).await;
            while let Ok(report) = outbox.try_recv() {
                reports.push(report);
            }
            let count = reports.len().min(REPORTS_MAX);
            if self.send_reports(range, &reports[..count]).await == Some(true) {
                reports.drain(..count);
                let unconfirmed = self.0.unconfirmed.get();
                self.0.unconfirmed.set(unconfirmed.saturating_sub(count));
            } else {
                within(TICK, stop.wait()).await;
            }
        }
    }

    async fn send_reports(&self, range: u32, reports: &[Report]) -> Option<bool> {
        if let Some(owner) = self.other_owner(range) {
            let params = Reports {
                range,
                reports: reports.to_vec(),
            };
            let peer = &self.0.peer;
            let call = peer.call(&owner.address, "claim.outcome", &params, ASK_LIMIT);
            return call.await.ok();
        }
        let (reply, answer) = oneshot::channel();
        let message = Message::Outcomes(reports.to_vec(), reply);
        self.0.ranges[range as usize].unbounded_send(message).ok()?;
        within(ASK_LIMIT, answer).await?.ok()
    }

    /// Returns the ranges that this host holds, as far as it knows.
    pub fn held(&self) -> Vec<u32> {
        self.0.held.borrow().iter().copied().collect()
    }

    /// Waits until the last records of the ranges that other hosts own now are written and these
    /// ranges are released.
    pub async fn released(&self) {
        while { self.held() }
            .into_iter()
            .any(|range| self.other_owner(range).is_some())
        {
            compio::time::sleep(RETRY).await;
        }
    }

    /// Waits until the owners have confirmed all outcomes of this host.
    pub async fn confirmed(&self) {
        while self.0.unconfirmed.get() > 0 {
            compio::time::sleep(RETRY).await;
        }
    }
}

/// Who waits for an answer of a range.
enum Waiter {
    Claimant(oneshot::Sender<Answer>),
    Reporter(Rc<Batch>),
}

/// The outcomes of one message, which are confirmed together.
struct Batch {
    left: Cell<usize>,
    noted: Cell<bool>,
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
                    .noted
                    .set(batch.noted.get() && answer == Answer::Noted);
                batch.left.set(batch.left.get() - 1);
                if batch.left.get() == 0
                    && let Some(reply) = batch.reply.take()
                {
                    let _ = reply.send(batch.noted.get());
                }
            }
        }
    }
}

struct Task<S: Objects> {
    number: u32,
    handle: Handle,
    range: Range<S, clock::System, Waiter>,
    // Questions that arrived before the range was taken over.
    parked: Vec<(Claim, Waiter)>,
    relays: Group,
    open_at: Instant,
    expired_at: Instant,
}

impl<S: Objects> Task<S> {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>, stop: Signal) {
        while !stop.is_given() {
            let wake = self.range.next_write().unwrap_or(TICK).min(TICK);
            if let Some(Some(message)) = within(wake, messages.next()).await {
                self.handle(message);
                while let Ok(message) = messages.try_recv() {
                    self.handle(message);
                }
            }
            self.step().await;
            let mut held = self.handle.0.held.borrow_mut();
            match self.range.is_held() {
                true => held.insert(self.number),
                false => held.remove(&self.number),
            };
        }
        if self.range.is_held() {
            self.flush().await;
        }
        self.range.release();
        self.answer();
        self.relays.join().await;
    }

    fn owns(&self) -> bool {
        let view = &self.handle.0.view;
        view.owns(&duty(self.number)) || view.live().is_empty()
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Claim(ask, reply) => {
                let waiter = Waiter::Claimant(reply);
                if self.range.is_held() {
                    self.range.claim(ask.claim, waiter, Instant::now() + HOLD);
                } else if self.owns() {
                    self.parked.push((ask.claim, waiter));
                } else if ask.relayed {
                    waiter.answer(Answer::Moved);
                } else {
                    self.relay(ask.claim, waiter);
                }
            }
            Message::Outcomes(reports, reply) => {
                let batch = Rc::new(Batch {
                    left: Cell::new(reports.len()),
                    noted: Cell::new(true),
                    reply: RefCell::new(Some(reply)),
                });
                for report in reports {
                    self.range.outcome(report, Waiter::Reporter(batch.clone()));
                }
            }
        }
    }

    fn relay(&self, claim: Claim, waiter: Waiter) {
        let handle = self.handle.clone();
        let number = self.number;
        self.relays.spawn(async move {
            let ask = Ask {
                claim,
                relayed: true,
            };
            let answer = match handle.other_owner(number) {
                Some(owner) => handle.ask_peer(&owner, &ask).await,
                None => None,
            };
            waiter.answer(answer.unwrap_or(Answer::Moved));
        });
    }

    async fn step(&mut self) {
        if !self.range.is_held() && self.owns() && Instant::now() >= self.open_at {
            self.open().await;
        }
        for (_, waiter) in self.parked.drain(..) {
            waiter.answer(Answer::Moved);
        }
        self.answer();
        let is_due = |range: &Range<S, _, _>| range.next_write() == Some(Duration::ZERO);
        if self.range.is_held() && is_due(&self.range) {
            self.flush().await;
            self.answer();
        }
        if self.range.is_held() && !self.owns() && self.range.next_write().is_none() {
            info!("event=range_released range={}", self.number);
            self.range.release();
            self.answer();
        }
        if self.range.is_held() && self.expired_at.elapsed() >= EXPIRE_PERIOD {
            self.expired_at = Instant::now();
            self.range.expire().await;
        }
    }

    async fn open(&mut self) {
        let started = Instant::now();
        let view = self.handle.0.view.clone();
        let is_alive = |name: &str| view.get(name).is_some();
        match self.range.open(is_alive).await {
            Ok(()) => {
                info!(
                    "event=range_taken range={} keys={} ms={}",
                    self.number,
                    self.range.keys(),
                    started.elapsed().as_millis()
                );
                for (claim, waiter) in self.parked.drain(..) {
                    self.range.claim(claim, waiter, Instant::now() + HOLD);
                }
            }
            Err(err) => {
                info!(
                    "event=range_not_taken range={} error={:?}",
                    self.number,
                    err.to_string()
                );
                self.open_at = Instant::now() + TICK;
                if matches!(err, Error::Down(_)) {
                    for (_, waiter) in self.parked.drain(..) {
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
            self.number,
            err.to_string()
        );
        if err == Error::Lost {
            self.open_at = Instant::now() + LOST_PERIOD;
        }
    }

    fn answer(&mut self) {
        for (waiter, answer) in self.range.settle() {
            waiter.answer(answer);
        }
    }
}
