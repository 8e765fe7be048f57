//! The keys of one range: decides which claims are granted, and writes claims and outcomes to the
//! log in batches.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use log::info;
use serde::{Deserialize, Serialize};

use super::log::{Error, Log};
use super::record::{CLAIM_TIMEOUT, Claim, Key, Outcome, RETENTION, Record, Report};
use crate::clock::Clock;
use crate::member::view::Liveness;
use crate::store::objects::Objects;
use crate::util::unix_ms;

/// Time between two writes of a range while a claim is pending; it bounds the write rate of
/// [`RANGE_COUNT`](super::record::RANGE_COUNT) ranges.
pub const CLAIM_WRITE_INTERVAL: Duration = Duration::from_millis(30);

/// Time between two writes of a range when only outcomes are pending, so that they can share a
/// write with later claims. No caller's response waits for an outcome to be written.
const OUTCOME_WRITE_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two attempts to write while the store is unavailable.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time beyond the call's timeout after which the owner no longer expects an outcome.
const OUTCOME_GRACE: Duration = Duration::from_secs(5);

/// Silence of a claimant after which its outcome is no longer expected. A paused claimant cannot be
/// told from a dead one, and must not use a grant once a repeat was told that the outcome is unknown.
const CLAIMANT_SILENCE: Duration = CLAIM_TIMEOUT;

/// Maximum number of segments deleted by one call of [`Range::remove_expired`], so that a long log
/// does not use up the store's write limit.
const DELETIONS_MAX: usize = 10;

/// Size of the new records in one write: the record that reaches it is the last one. The store
/// limits values to 1 MB.
const WRITE_BATCH_BYTES: usize = 256 * 1024;

/// Answer to a claim or to a report of an outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The claimant may run the call, once.
    Granted,
    /// An earlier claim of the key has this outcome.
    Recorded(Outcome),
    /// An earlier call with the key is still running; claim again.
    Running,
    /// The key belongs to a call with another body or of another caller.
    Conflict,
    /// The key is too old, or too far in the future.
    Expired,
    /// The store cannot be reached; the claim will not be granted.
    Unavailable,
    /// This host does not hold the range; find the owner and ask again.
    Moved,
    /// The outcome is in the log.
    Noted,
}

/// The current claim of a key.
#[derive(Debug)]
struct Entry {
    claim: Claim,
    // Whether the claim is in the log. Invariant: a claim is granted only if it is.
    is_durable: bool,
    outcome: Option<Outcome>,
    // Whether the outcome is in the log.
    is_outcome_durable: bool,
    // A repeat that arrives later, while there is no outcome, sets the outcome to unknown.
    outcome_deadline: Instant,
    // Start of the claimant's silence, but not before a repeat has found the claimant silent: the
    // claimant can make a claim before this host notices that it is back.
    silent_since: Option<Instant>,
}

impl Entry {
    /// Updates what is known about the claimant.
    fn update_claimant(&mut self, liveness: Liveness, now: Instant) {
        match liveness {
            Liveness::Running => self.silent_since = None,
            Liveness::Silent(since) => {
                let found_at = self.silent_since.unwrap_or(now);
                self.silent_since = since.max(Some(found_at));
            }
            Liveness::Ended => self.outcome_deadline = self.outcome_deadline.min(now),
        }
    }

    /// Returns whether the claimant is not expected to report an outcome any more.
    fn is_overdue(&self, now: Instant) -> bool {
        let silence = self.silent_since.map(|since| now.duration_since(since));
        now >= self.outcome_deadline || silence.is_some_and(|silence| silence >= CLAIMANT_SILENCE)
    }
}

/// A claim that is not answered yet.
#[derive(Debug)]
struct PendingClaim<W> {
    claim: Claim,
    waiter: W,
    // The answer is `running` if the outcome of another claim with the key is not known by then.
    answer_by: Instant,
}

/// A record that is not known to be in the log yet.
#[derive(Debug)]
struct PendingWrite<W> {
    record: Record,
    line: String,
    waiter: Option<W>,
}

/// The keys of one range and the records to be written. `W` identifies who gets an answer.
#[derive(Debug)]
pub struct Range<S: Objects, C: Clock, W> {
    clock: C,
    log: Log<S>,
    entries: BTreeMap<Key, Entry>,
    // Invariant: a record stays here, in order, until it is known to be in the log, because a write
    // without a response may still take effect.
    pending_writes: VecDeque<PendingWrite<W>>,
    pending_claims: Vec<PendingClaim<W>>,
    answers: Vec<(W, Answer)>,
    is_store_down: bool,
    last_write_at: Option<Instant>,
}

impl<S: Objects, C: Clock, W> Range<S, C, W> {
    /// Creates a range that this host does not hold yet.
    pub fn new(clock: C, log: Log<S>) -> Self {
        Self {
            clock,
            log,
            entries: BTreeMap::new(),
            pending_writes: VecDeque::new(),
            pending_claims: Vec::new(),
            answers: Vec::new(),
            is_store_down: false,
            last_write_at: None,
        }
    }

    /// Returns whether this host holds the range. Another host may have taken it over since the
    /// last write.
    pub fn is_held(&self) -> bool {
        self.log.is_held()
    }

    /// Returns the time, in milliseconds since the Unix epoch, after which a key must have been
    /// issued to be granted; see [`Log::complete_after_ms`].
    pub fn complete_after_ms(&self) -> u64 {
        self.log.complete_after_ms()
    }

    /// Returns the number of keys with a claim.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    /// Takes over the range.
    ///
    /// # Errors
    /// See [`Error`]; after an error the range is not held.
    pub async fn take_over(&mut self) -> Result<(), Error> {
        self.reset();
        let records = self.log.take_over(&self.clock).await?;
        self.is_store_down = false;
        for record in &records {
            self.apply(record);
        }
        Ok(())
    }

    /// Updates what is known about the claimants whose outcomes pending claims wait for. `liveness`
    /// returns the liveness of the host with this name.
    pub fn update_claimants(&mut self, liveness: impl Fn(&str) -> Liveness) {
        let now = self.clock.now();
        for pending in &self.pending_claims {
            let entry = self.entries.get_mut(&pending.claim.key);
            let Some(entry) = entry.filter(|entry| entry.outcome.is_none()) else {
                continue;
            };
            let liveness = match entry.claim.nonce == pending.claim.nonce {
                // The claimant itself asks.
                true => Liveness::Running,
                false => liveness(&entry.claim.claimant),
            };
            entry.update_claimant(liveness, now);
        }
    }

    /// Accepts a claim; [`Range::take_answers`] returns its answer. While another claim with the
    /// key has no outcome there is no answer until `answer_by`, and `running` from then on.
    pub fn claim(&mut self, claim: Claim, waiter: W, answer_by: Instant) {
        self.pending_claims.push(PendingClaim {
            claim,
            waiter,
            answer_by,
        });
    }

    /// Accepts the outcome of a claim; [`Range::take_answers`] returns `noted` once it is in the
    /// log.
    pub fn report(&mut self, report: Report, waiter: W) {
        if !self.is_held() {
            self.answers.push((waiter, Answer::Moved));
            return;
        }
        let entry = self.entries.get_mut(&report.key);
        if let Some(entry) = entry.filter(|entry| entry.claim.nonce == report.nonce) {
            if entry.is_outcome_durable {
                self.answers.push((waiter, Answer::Noted));
                return;
            }
            entry.outcome.get_or_insert(report.outcome.clone());
        }
        // The outcome of an unknown claim is written too: if another host has taken over the range
        // and granted the claim, the write fails and the claimant reports to that host.
        self.push_write(Record::Outcome(report), Some(waiter));
    }

    /// Takes out the answers that are due.
    pub fn take_answers(&mut self) -> Vec<(W, Answer)> {
        for pending in std::mem::take(&mut self.pending_claims) {
            match self.decide(&pending) {
                Some(answer) => self.answers.push((pending.waiter, answer)),
                None => self.pending_claims.push(pending),
            }
        }
        std::mem::take(&mut self.answers)
    }

    /// Returns the answer to a claim, or `None` if it must wait for the log or for an outcome.
    fn decide(&mut self, pending: &PendingClaim<W>) -> Option<Answer> {
        let claim = &pending.claim;
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
            // Another host may have taken over the range and have the real outcome, which only a
            // write can show.
            Some(Outcome::Unknown) if !entry.is_outcome_durable => {
                (now >= pending.answer_by).then_some(Answer::Running)
            }
            Some(outcome) => Some(Answer::Recorded(outcome.clone())),
            None if is_own && entry.is_durable => Some(match self.may_have_lost_claim(claim.key) {
                true => Answer::Recorded(Outcome::Unknown),
                false => Answer::Granted,
            }),
            None if is_own && self.is_store_down => {
                self.set_outcome(claim.key, Outcome::NotRun);
                Some(Answer::Unavailable)
            }
            None if is_own => None,
            None if entry.is_overdue(now) => {
                info!(
                    "event=outcome_given_up claimant={} nonce={:016x} silent={}",
                    entry.claim.claimant,
                    entry.claim.nonce,
                    entry.silent_since.is_some()
                );
                self.set_outcome(claim.key, Outcome::Unknown);
                None
            }
            None => (now >= pending.answer_by).then_some(Answer::Running),
        }
    }

    /// Returns whether a claim of the key may have been granted and lost since, whatever the log
    /// has of the key. Such a key is never granted.
    fn may_have_lost_claim(&self, key: Key) -> bool {
        key.issued_ms() <= self.log.complete_after_ms()
    }

    /// Adds a new claim, which can be granted only once it is in the log.
    fn register(&mut self, claim: &Claim) -> Option<Answer> {
        if self.may_have_lost_claim(claim.key) {
            return Some(Answer::Recorded(Outcome::Unknown));
        }
        if self.is_store_down {
            return Some(Answer::Unavailable);
        }
        self.insert(claim.clone(), false);
        self.push_write(Record::Claim(claim.clone()), None);
        None
    }

    fn insert(&mut self, claim: Claim, is_durable: bool) {
        let entry = Entry {
            outcome_deadline: self.clock.now() + outcome_timeout(&claim),
            claim,
            is_durable,
            outcome: None,
            is_outcome_durable: false,
            silent_since: None,
        };
        self.entries.insert(entry.claim.key, entry);
    }

    /// Sets an outcome that this host decides itself; a later report does not change it.
    fn set_outcome(&mut self, key: Key, outcome: Outcome) {
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
        self.push_write(Record::Outcome(report), None);
    }

    fn push_write(&mut self, record: Record, waiter: Option<W>) {
        let mut line = String::new();
        record.write_line(&mut line);
        self.pending_writes.push_back(PendingWrite {
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
                // A later claim, whose record is still to be written.
                Some(entry) if !entry.is_durable => {}
                // Its owner knew that the earlier claim was given up, possibly by a report that came
                // before that claim.
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

    /// Returns the time until the next write is due, or `None` if no write is pending.
    pub fn next_write_in(&self) -> Option<Duration> {
        let first = self.pending_writes.front()?;
        let Some(last_write_at) = self.last_write_at else {
            return Some(Duration::ZERO);
        };
        let has_claim = matches!(first.record, Record::Claim(_))
            || self
                .pending_writes
                .iter()
                .any(|pending| matches!(pending.record, Record::Claim(_)));
        let interval = match (self.is_store_down, has_claim) {
            (true, _) => STORE_RETRY_INTERVAL,
            (false, true) => CLAIM_WRITE_INTERVAL,
            (false, false) => OUTCOME_WRITE_INTERVAL,
        };
        Some((last_write_at + interval).saturating_duration_since(self.clock.now()))
    }

    /// Writes pending records to the log, as many as one write may hold.
    ///
    /// # Errors
    /// See [`Error`]. After [`Error::Lost`] the range is not held; after [`Error::Unavailable`] new
    /// claims are refused until a write succeeds.
    pub async fn flush(&mut self) -> Result<(), Error> {
        let mut lines = String::new();
        for pending in &self.pending_writes {
            lines.push_str(&pending.line);
            if lines.len() >= WRITE_BATCH_BYTES {
                break;
            }
        }
        if lines.is_empty() {
            return Ok(());
        }
        self.last_write_at = Some(self.clock.now());
        match self.log.append(&lines).await {
            Ok(written) => {
                self.is_store_down = false;
                self.confirm_writes(written.lines().count());
                Ok(())
            }
            Err(err) => {
                match err {
                    Error::Lost => self.reset(),
                    Error::Unavailable(_) => self.is_store_down = true,
                    Error::Retry(_) => {}
                }
                Err(err)
            }
        }
    }

    /// Applies the first `count` pending records, which are in the log now.
    fn confirm_writes(&mut self, count: usize) {
        for _ in 0..count {
            let Some(pending) = self.pending_writes.pop_front() else {
                return;
            };
            self.apply(&pending.record);
            if let Some(waiter) = pending.waiter {
                self.answers.push((waiter, Answer::Noted));
            }
        }
    }

    /// Gives up the range if the store has come back from an older copy since this host took it
    /// over; returns whether it did.
    pub fn release_if_outdated(&mut self) -> bool {
        let is_outdated = self.log.is_outdated();
        if is_outdated {
            self.release();
        }
        is_outdated
    }

    /// Gives up the range; every waiter without an answer gets `moved`.
    pub fn release(&mut self) {
        self.log.release();
        self.reset();
    }

    fn reset(&mut self) {
        let claims = self.pending_claims.drain(..).map(|claim| claim.waiter);
        let writes = self
            .pending_writes
            .drain(..)
            .filter_map(|write| write.waiter);
        let moved = claims.chain(writes).map(|waiter| (waiter, Answer::Moved));
        self.answers.extend(moved);
        self.entries.clear();
        self.is_store_down = false;
        self.last_write_at = None;
    }

    /// Forgets expired keys and deletes expired segments of the log.
    pub async fn remove_expired(&mut self) {
        let now_ms = unix_ms(self.clock.wall());
        let retention = RETENTION.as_millis() as u64;
        while let Some(first) = self.entries.first_entry() {
            if first.key().issued_ms() + retention >= now_ms {
                break;
            }
            first.remove();
        }
        for _ in 0..DELETIONS_MAX {
            if self.is_store_down {
                return;
            }
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

/// Returns how long to wait for the outcome of a claim.
fn outcome_timeout(claim: &Claim) -> Duration {
    Duration::from_millis(claim.limit_ms) + OUTCOME_GRACE
}
