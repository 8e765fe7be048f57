//! Decisions on the keys of one range.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use log::info;
use serde::{Deserialize, Serialize};

use super::log::{Error, Log};
use super::record::{Claim, Key, Outcome, RETENTION, Record, Report};
use crate::clock::Clock;
use crate::store::objects::Objects;
use crate::util::unix_ms;

/// Least time between two writes of a range.
pub const WRITE_PERIOD: Duration = Duration::from_millis(30);

/// Longest time that outcomes wait for claims to share a write with; nobody waits for them.
const OUTCOME_DELAY: Duration = Duration::from_millis(150);

/// Time between two attempts to write while the store is down.
const DOWN_PERIOD: Duration = Duration::from_millis(200);

/// Time beyond the call's limit after which an outcome is no longer expected.
const OUTCOME_GRACE: Duration = Duration::from_secs(5);

/// Most bytes of records in one write; values of the store are limited to 1 MB.
const WRITE_BYTES: usize = 256 * 1024;

/// Answer to a claim or an outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The claimant may run the call, once.
    Granted,
    /// An earlier call with the key has this outcome.
    Recorded(Outcome),
    /// An earlier call with the key runs; ask again.
    Running,
    /// The key belongs to a call with another body or of another caller.
    Conflict,
    /// The key is outside the window.
    Expired,
    /// The store cannot be reached; this claim will not be granted.
    Unavailable,
    /// This host does not own the range; ask again.
    Moved,
    /// The outcome is in the log.
    Noted,
}

#[derive(Debug)]
struct Entry {
    claim: Claim,
    // Whether the claim is in the log. Invariant: it is granted only then.
    is_durable: bool,
    outcome: Option<Outcome>,
    is_outcome_durable: bool,
    // Until then an outcome is expected.
    deadline: Instant,
}

#[derive(Debug)]
struct Waiting<W> {
    claim: Claim,
    waiter: W,
    // The answer is `running` if the outcome is not known by then.
    until: Instant,
}

#[derive(Debug)]
struct Pending<W> {
    record: Record,
    line: String,
    waiter: Option<W>,
}

/// The keys of one range, and what waits to be written. `W` identifies who waits for an answer.
#[derive(Debug)]
pub struct Range<S: Objects, C: Clock, W> {
    clock: C,
    log: Log<S>,
    entries: BTreeMap<Key, Entry>,
    // Invariant: a record stays here, in order, until it is in the log, because a write without
    // an answer may still take effect.
    pending: VecDeque<Pending<W>>,
    waiting: Vec<Waiting<W>>,
    answers: Vec<(W, Answer)>,
    is_down: bool,
    wrote_at: Option<Instant>,
}

impl<S: Objects, C: Clock, W> Range<S, C, W> {
    /// Creates a range that is not held.
    pub fn new(clock: C, log: Log<S>) -> Self {
        Self {
            clock,
            log,
            entries: BTreeMap::new(),
            pending: VecDeque::new(),
            waiting: Vec::new(),
            answers: Vec::new(),
            is_down: false,
            wrote_at: None,
        }
    }

    /// Returns whether this host owns the range, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.log.is_held()
    }

    /// Returns the number of keys that are kept.
    pub fn keys(&self) -> usize {
        self.entries.len()
    }

    /// Takes the range over. `is_alive` tells whether a claimant can still send an outcome.
    ///
    /// # Errors
    /// See [`Error`]; the range is not held then.
    pub async fn open(&mut self, is_alive: impl Fn(&str) -> bool) -> Result<(), Error> {
        self.drop_state();
        let records = self.log.open().await?;
        self.is_down = false;
        let now = self.clock.now();
        for record in &records {
            self.apply(record);
        }
        for entry in self.entries.values_mut() {
            if is_alive(&entry.claim.claimant) {
                entry.deadline = now + patience(&entry.claim);
            }
        }
        Ok(())
    }

    /// Takes a claim; [`Range::settle`] returns its answer, `running` after `until` at the latest
    /// if another claim with the key has no outcome.
    pub fn claim(&mut self, claim: Claim, waiter: W, until: Instant) {
        self.waiting.push(Waiting {
            claim,
            waiter,
            until,
        });
    }

    /// Takes an outcome; [`Range::settle`] returns `noted` once it is in the log.
    pub fn outcome(&mut self, report: Report, waiter: W) {
        if !self.is_held() {
            self.answers.push((waiter, Answer::Moved));
            return;
        }
        let entry = self.entries.get_mut(&report.key);
        let entry = entry.filter(|entry| entry.claim.nonce == report.nonce);
        match entry {
            Some(entry) if !entry.is_outcome_durable => {
                entry.outcome.get_or_insert(report.outcome.clone());
                self.push(Record::Outcome(report), Some(waiter));
            }
            _ => self.answers.push((waiter, Answer::Noted)),
        }
    }

    /// Returns the answers that are known now.
    pub fn settle(&mut self) -> Vec<(W, Answer)> {
        for waiting in std::mem::take(&mut self.waiting) {
            match self.decide(&waiting) {
                Some(answer) => self.answers.push((waiting.waiter, answer)),
                None => self.waiting.push(waiting),
            }
        }
        std::mem::take(&mut self.answers)
    }

    fn decide(&mut self, waiting: &Waiting<W>) -> Option<Answer> {
        let claim = &waiting.claim;
        if !self.is_held() {
            return Some(Answer::Moved);
        }
        if !claim.key.is_acceptable(unix_ms(self.clock.wall())) {
            return Some(Answer::Expired);
        }
        let now = self.clock.now();
        let Some(entry) = self.entries.get(&claim.key) else {
            return self.register(claim);
        };
        if (entry.claim.body, entry.claim.caller) != (claim.body, claim.caller) {
            return Some(Answer::Conflict);
        }
        let is_own = entry.claim.nonce == claim.nonce;
        match &entry.outcome {
            Some(Outcome::NotRun) if is_own => Some(Answer::Unavailable),
            Some(Outcome::NotRun) => self.register(claim),
            Some(outcome) => Some(Answer::Recorded(outcome.clone())),
            None if is_own && entry.is_durable => Some(Answer::Granted),
            None if is_own && self.is_down => {
                self.close(claim.key, Outcome::NotRun);
                Some(Answer::Unavailable)
            }
            None if is_own => None,
            None if now >= entry.deadline => {
                self.close(claim.key, Outcome::Unknown);
                Some(Answer::Recorded(Outcome::Unknown))
            }
            None => (now >= waiting.until).then_some(Answer::Running),
        }
    }

    /// Enters a new claim, which waits for the log.
    fn register(&mut self, claim: &Claim) -> Option<Answer> {
        if self.is_down {
            return Some(Answer::Unavailable);
        }
        self.insert(claim.clone(), false);
        self.push(Record::Claim(claim.clone()), None);
        None
    }

    fn insert(&mut self, claim: Claim, is_durable: bool) {
        let deadline = match is_durable {
            // Known from the log alone: no outcome is expected unless the claimant is alive.
            true => self.clock.now(),
            false => self.clock.now() + patience(&claim),
        };
        let entry = Entry {
            claim,
            is_durable,
            outcome: None,
            is_outcome_durable: false,
            deadline,
        };
        self.entries.insert(entry.claim.key, entry);
    }

    /// Sets an outcome that this host decides on for good.
    fn close(&mut self, key: Key, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.outcome = Some(outcome.clone());
        let nonce = entry.claim.nonce;
        let report = Report {
            key,
            nonce,
            outcome,
        };
        self.push(Record::Outcome(report), None);
    }

    fn push(&mut self, record: Record, waiter: Option<W>) {
        let mut line = String::new();
        record.write(&mut line);
        self.pending.push_back(Pending {
            record,
            line,
            waiter,
        });
    }

    /// Applies a record that is in the log.
    fn apply(&mut self, record: &Record) {
        match record {
            Record::Claim(claim) => match self.entries.get_mut(&claim.key) {
                Some(entry) if entry.claim.nonce == claim.nonce => entry.is_durable = true,
                Some(entry) if entry.outcome != Some(Outcome::NotRun) => {}
                _ => self.insert(claim.clone(), true),
            },
            Record::Outcome(report) => {
                let entry = self.entries.get_mut(&report.key);
                if let Some(entry) = entry.filter(|entry| entry.claim.nonce == report.nonce) {
                    entry.outcome.get_or_insert(report.outcome.clone());
                    entry.is_outcome_durable = true;
                }
            }
        }
    }

    /// Returns the time until the next write is due, `None` if nothing waits to be written.
    pub fn next_write(&self) -> Option<Duration> {
        let first = self.pending.front()?;
        let Some(wrote_at) = self.wrote_at else {
            return Some(Duration::ZERO);
        };
        let has_claim = matches!(first.record, Record::Claim(_))
            || self
                .pending
                .iter()
                .any(|pending| matches!(pending.record, Record::Claim(_)));
        let period = match (self.is_down, has_claim) {
            (true, _) => DOWN_PERIOD,
            (false, true) => WRITE_PERIOD,
            (false, false) => OUTCOME_DELAY,
        };
        Some((wrote_at + period).saturating_duration_since(self.clock.now()))
    }

    /// Writes what waits.
    ///
    /// # Errors
    /// See [`Error`]. After [`Error::Lost`] the range is not held, after [`Error::Down`] new
    /// claims are refused until a write succeeds.
    pub async fn flush(&mut self) -> Result<(), Error> {
        let mut lines = String::new();
        for pending in &self.pending {
            lines.push_str(&pending.line);
            if lines.len() >= WRITE_BYTES {
                break;
            }
        }
        if lines.is_empty() {
            return Ok(());
        }
        self.wrote_at = Some(self.clock.now());
        match self.log.append(&lines).await {
            Ok(written) => {
                self.is_down = false;
                self.take(written.lines().count());
                Ok(())
            }
            Err(err) => {
                match err {
                    Error::Lost => self.drop_state(),
                    Error::Down(_) => self.is_down = true,
                    Error::Again(_) => {}
                }
                Err(err)
            }
        }
    }

    /// Takes over that the first `count` records that waited are in the log.
    fn take(&mut self, count: usize) {
        for _ in 0..count {
            let Some(pending) = self.pending.pop_front() else {
                return;
            };
            self.apply(&pending.record);
            if let Some(waiter) = pending.waiter {
                self.answers.push((waiter, Answer::Noted));
            }
        }
    }

    /// Gives the range up; who waits is told to ask again elsewhere.
    pub fn release(&mut self) {
        self.log.release();
        self.drop_state();
    }

    fn drop_state(&mut self) {
        let waiting = self.waiting.drain(..).map(|waiting| waiting.waiter);
        let pending = self.pending.drain(..).filter_map(|pending| pending.waiter);
        let moved = waiting.chain(pending).map(|waiter| (waiter, Answer::Moved));
        self.answers.extend(moved);
        self.entries.clear();
        self.is_down = false;
        self.wrote_at = None;
    }

    /// Drops records of expired keys and deletes expired objects of the log.
    pub async fn expire(&mut self) {
        let now_ms = unix_ms(self.clock.wall());
        let retention = RETENTION.as_millis() as u64;
        while let Some(first) = self.entries.first_entry() {
            if first.key().time_ms() + retention >= now_ms {
                break;
            }
            first.remove();
        }
        while !self.is_down {
            match self.log.delete_expired(now_ms).await {
                Ok(true) => {}
                Ok(false) | Err(Error::Lost) => return,
                Err(err) => {
                    info!("event=claims_not_deleted error={:?}", err.to_string());
                    return;
                }
            }
        }
    }
}

/// Returns the time within which an outcome of a claim is expected.
fn patience(claim: &Claim) -> Duration {
    Duration::from_millis(claim.limit_ms) + OUTCOME_GRACE
}
