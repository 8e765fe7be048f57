//! What one host knows of all orders: their state, its own counts and those of the other hosts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::judge;
use super::order::{Entry, Lifecycle, Order, Outcome};
use super::plan::{Policy, View};
use super::tally::{Answer, Route, Tally};
use crate::route::load::EngineHash;
use crate::route::reports::Source;

/// Time without a report of another host after which this host draws no request for a new version, as it
/// would not learn that the version is bad. Hosts report every 500 ms at least.
const CUT_OFF_AFTER: Duration = Duration::from_secs(2);

/// Broken answers of one engine within this time count once, as a crash fails all that runs on it.
const BREAK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an order is remembered after its last confirmation, by this host or one that reports to
/// it, that it is in the store: first for an order that has not ended, then for one that has. The second is
/// longer, as engines of a reverted version run on for a while and must get no request.
const UNCONFIRMED_FOR: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(60));

/// Number of times during an order at which counts are kept, so that a version that turned bad later is
/// judged by what it did since.
const SNAPSHOTS: u32 = 8;

/// Shortest time between two judgements, which bounds their cost under many answers and reports.
const JUDGE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of orders in a report, which keeps it within a datagram. If there are more, reports
/// mention them in turn.
const MENTIONS_MAX: usize = 1;

/// What a host, or a representative for its failure domain, reports of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mention {
    /// The order.
    pub order: Order,
    /// Whether the sender reads the order from the store.
    pub is_stored: bool,
    /// Time since the order in milliseconds.
    pub age_ms: u64,
    /// Whether a host found the new version bad.
    pub is_bad: bool,
    /// Whether all requests go to the new version, so that the old engines can end their work.
    pub is_promoted: bool,
    /// How the order ended; `None` if it has not.
    pub outcome: Option<Outcome>,
    /// Counts of the hosts that the report covers.
    pub tally: Tally,
}

/// What a host knows of the engines that an order concerns.
#[derive(Clone, Copy, Debug)]
pub struct Engines {
    /// Whether those of the new version can take over from the old ones.
    pub has_new: bool,
    /// Whether the old ones have no work.
    pub has_idle_old: bool,
}

/// Which versions the requests for a service go to.
#[derive(Clone, Debug, PartialEq)]
pub enum Rule {
    /// The new version gets the share of the requests.
    Trial {
        /// The new version.
        to: CompactString,
        /// Part of the requests.
        share: f64,
        /// Whether the new version may stand in when no other engine is left.
        is_ripe: bool,
    },
    /// All requests go to this version, and to others only if it has no engine.
    Completed(CompactString),
    /// No request goes to this version.
    Reverted(CompactString),
}

/// Reporting process: that of a host, or any of a failure domain's representatives.
type Reporter = (Source, u64);

/// One order.
#[derive(Debug)]
struct Rollout {
    order: Order,
    ordered_at: Instant,
    // When it was last read from the store, by this host or one that reports to it.
    confirmed_at: Instant,
    // Invariant: once set, stays for this order.
    is_bad: bool,
    // Whether a host that reads the order from the store decided to complete it. Yields to `is_bad`.
    is_promoted: bool,
    // Invariant: once set, stays for this order.
    outcome: Option<Outcome>,
    // The order in the store, if this host watches it.
    entry: Option<Entry>,
    // Since when the store lacks the state that it should have.
    unwritten_since: Option<Instant>,
    own: Tally,
    // Counts stay when their host is gone, as the requests were made.
    others: BTreeMap<Reporter, Tally>,
    joint: Tally,
    // Joint counts at multiples of the order's duration / `SNAPSHOTS`, oldest first, each with its multiple.
    snapshots: Vec<(u32, Tally)>,
    judged_at: Option<Instant>,
    broken_at: BTreeMap<EngineHash, Instant>,
}

impl Rollout {
    fn new(order: Order, ordered_at: Instant, now: Instant) -> Self {
        Self {
            order,
            ordered_at,
            confirmed_at: now,
            is_bad: false,
            is_promoted: false,
            outcome: None,
            entry: None,
            unwritten_since: None,
            own: Tally::default(),
            others: BTreeMap::new(),
            joint: Tally::default(),
            snapshots: Vec::new(),
            judged_at: None,
            broken_at: BTreeMap::new(),
        }
    }

    fn view(&self, now: Instant) -> View<'_> {
        View {
            elapsed: now.saturating_duration_since(self.ordered_at),
            duration: self.order.duration,
            tally: &self.joint,
        }
    }

    /// Returns the counts of this host and of the hosts that report to it directly.
    fn direct(&self) -> Tally {
        let mut direct = self.own.clone();
        for ((source, _), tally) in &self.others {
            if matches!(source, Source::Host(_)) {
                direct.add(tally);
            }
        }
        direct
    }

    fn update_joint(&mut self) {
        let mut joint = self.own.clone();
        self.others.values().for_each(|tally| joint.add(tally));
        self.joint = joint;
    }

    fn take_snapshot(&mut self, now: Instant) {
        let interval = self.order.duration / SNAPSHOTS;
        let elapsed = now.saturating_duration_since(self.ordered_at);
        let number = elapsed.as_nanos() / interval.as_nanos().max(1);
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        let last = self.snapshots.last().map_or(0, |(last, _)| *last);
        if number > last && number < SNAPSHOTS {
            self.snapshots.push((number, self.joint.clone()));
        }
    }

    /// Returns whether there is this evidence against the new version, in all or since one of the kept
    /// counts.
    fn has_evidence(&self, evidence: judge::Evidence) -> bool {
        let mut later = self.snapshots.iter();
        judge::is_bad(&self.joint, evidence)
            || later.any(|(_, earlier)| judge::is_bad(&self.joint.since(earlier), evidence))
    }

    fn judge(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.duration_since(at) < JUDGE_INTERVAL;
        if self.is_bad || self.outcome.is_some() || self.judged_at.is_some_and(is_recent) {
            return;
        }
        self.judged_at = Some(now);
        self.take_snapshot(now);
        let evidence = match self.is_promoted {
            true => judge::CLEAR_FAILURES,
            false => judge::CLEAR,
        };
        if !self.has_evidence(evidence) {
            return;
        }
        self.is_bad = true;
        let new = self.joint.all().new;
        warn!(
            "event=rollout_bad service={} to={} answers={} failed={} trials={} requests={}",
            self.order.service,
            self.order.to,
            new.total(),
            new.failed,
            self.joint.trials,
            self.joint.requests
        );
    }

    /// Returns the outcome that is due; `None` while the order goes on. Promotes the version when it is due.
    fn due_outcome(&mut self, engines: Engines, now: Instant) -> Option<Outcome> {
        if self.is_bad {
            return Some(Outcome::Reverted);
        }
        let view = self.view(now);
        if self.is_promoted {
            let is_due = engines.has_idle_old || view.is_due();
            return is_due.then_some(Outcome::Completed);
        }
        if view.is_ripe() && engines.has_new && !self.has_evidence(judge::SUSPICIOUS) {
            let Order { service, to, .. } = &self.order;
            info!("event=rollout_promoted service={service} to={to}");
            self.is_promoted = true;
            return None;
        }
        view.is_late().then_some(Outcome::Reverted)
    }

    /// Sets the outcome; returns whether it was not known.
    fn end(&mut self, outcome: Outcome) -> bool {
        if self.outcome.is_some() {
            return false;
        }
        self.outcome = Some(outcome);
        let state = Lifecycle::Ended(outcome).as_str();
        let Order { service, to, .. } = &self.order;
        info!("event=rollout_ended service={service} to={to} outcome={state}");
        true
    }

    fn mention(&self, tally: Tally, now: Instant) -> Mention {
        let age = now.saturating_duration_since(self.ordered_at);
        Mention {
            order: self.order.clone(),
            is_stored: self.entry.is_some(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            is_bad: self.is_bad,
            is_promoted: self.is_promoted,
            outcome: self.outcome,
            tally,
        }
    }
}

/// All orders that a host knows.
#[derive(Debug)]
pub struct Rollouts {
    // `None` if the host carries out no orders.
    policy: Option<Policy>,
    // Whether there are other hosts that send reports.
    has_peers: bool,
    // Whether the orders were read from the store, or reported by another host that knows them.
    is_known: bool,
    heard_at: Option<Instant>,
    // The last order of each service.
    services: BTreeMap<CompactString, Rollout>,
    // Number of orders that reports have mentioned.
    mentioned: usize,
    version: u64,
}

impl Rollouts {
    /// Creates the state of a host that knows no orders. Without a policy it carries out none.
    pub fn new(policy: Option<Policy>, has_peers: bool) -> Self {
        Self {
            policy,
            has_peers,
            is_known: false,
            heard_at: None,
            services: BTreeMap::new(),
            mentioned: 0,
            version: 0,
        }
    }

    /// Returns whether this host carries out orders.
    pub fn is_enabled(&self) -> bool {
        self.policy.is_some()
    }

    /// Returns whether this host still has to learn which orders there are.
    pub fn is_unknown(&self) -> bool {
        self.policy.is_some() && !self.is_known
    }

    /// Returns a number that grows with each change that other hosts should hear of at once.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a list of all orders in the store. Orders that it lacks were withdrawn.
    pub fn set_entries(&mut self, entries: Vec<Entry>, now: Instant) {
        let listed: Vec<_> = entries.iter().map(|entry| entry.order.clone()).collect();
        let missing = self.services.iter().filter(|(_, rollout)| {
            let is_listed = listed.iter().any(|order| order.is_same(&rollout.order));
            rollout.entry.is_some() && !is_listed
        });
        let missing: Vec<_> = missing.map(|(service, _)| service.clone()).collect();
        missing.iter().for_each(|service| self.withdraw(service));
        for entry in entries {
            self.set_entry(entry, now);
        }
        self.is_known = true;
    }

    /// Applies an order in the store, which is new or has changed.
    pub fn set_entry(&mut self, entry: Entry, now: Instant) {
        let rollout = self.begin(&entry.order, now, now);
        let is_older =
            |known: &Entry| known.order.era == entry.order.era && known.revision > entry.revision;
        if rollout.entry.as_ref().is_some_and(is_older) {
            return;
        }
        let lifecycle = entry.lifecycle;
        // In a new era an order of the same content may be created anew.
        rollout.order.clone_from(&entry.order);
        rollout.entry = Some(entry);
        if let Some(Lifecycle::Ended(outcome)) = lifecycle {
            self.version += u64::from(rollout.end(outcome));
        }
    }

    /// Records that the store no longer holds the order of a service. An outcome stays in force for a
    /// while, as engines of a reverted version may still run.
    pub fn withdraw(&mut self, service: &str) {
        let Some(rollout) = self.services.get_mut(service) else {
            return;
        };
        rollout.entry = None;
        if rollout.outcome.is_none() {
            info!("event=rollout_withdrawn service={service}");
            self.services.remove(service);
        }
    }

    /// Records that this host no longer watches the store.
    pub fn end_watch(&mut self) {
        for rollout in self.services.values_mut() {
            rollout.entry = None;
        }
    }

    /// Forgets orders that nobody reads from the store any more.
    pub fn expire(&mut self, now: Instant) {
        self.services.retain(|_, rollout| {
            let limit = match rollout.outcome {
                None => UNCONFIRMED_FOR.0,
                Some(_) => UNCONFIRMED_FOR.1,
            };
            if rollout.entry.is_some() {
                rollout.confirmed_at = now;
            }
            now.saturating_duration_since(rollout.confirmed_at) < limit
        });
    }

    /// Returns the state of an order, which is new if it is not known.
    fn begin(&mut self, order: &Order, ordered_at: Instant, now: Instant) -> &mut Rollout {
        let known = self.services.get(&order.service);
        if !known.is_some_and(|known| known.order.is_same(order)) {
            let Order { service, to, .. } = order;
            let limit = order.duration.as_millis();
            info!("event=rollout service={service} to={to} limit_ms={limit}");
            let rollout = Rollout::new(order.clone(), ordered_at, now);
            self.services.insert(order.service.clone(), rollout);
            self.version += 1;
        }
        let rollout = self.services.get_mut(&order.service);
        rollout.expect("the order was just added")
    }

    /// Decides whether a request for a service goes to the new version, by a number from 0 to 1 that is
    /// drawn only while an order needs it.
    pub fn draw(&mut self, service: &str, drawn: impl FnOnce() -> f64, now: Instant) -> bool {
        let is_trial = match self.rule(service, now) {
            Some(Rule::Trial { share, .. }) => drawn() < share,
            _ => false,
        };
        let Some(rollout) = self.services.get_mut(service) else {
            return false;
        };
        for tally in [&mut rollout.own, &mut rollout.joint] {
            tally.requests = tally.requests.saturating_add(1);
            tally.trials = tally.trials.saturating_add(u32::from(is_trial));
        }
        is_trial
    }

    /// Returns which versions the requests for a service go to; `None` if the version does not matter.
    pub fn rule(&self, service: &str, now: Instant) -> Option<Rule> {
        let policy = self.policy?;
        let rollout = self.services.get(service)?;
        let to = rollout.order.to.clone();
        match rollout.outcome {
            Some(Outcome::Completed) => return Some(Rule::Completed(to)),
            Some(Outcome::Reverted) => return Some(Rule::Reverted(to)),
            None if rollout.is_bad => return Some(Rule::Reverted(to)),
            None if rollout.is_promoted => return Some(Rule::Completed(to)),
            None => {}
        }
        let view = rollout.view(now);
        let is_open = !self.is_cut_off(now) && view.has_room(policy);
        Some(Rule::Trial {
            to,
            share: if is_open { view.share(policy) } else { 0.0 },
            is_ripe: view.is_ripe(),
        })
    }

    fn is_cut_off(&self, now: Instant) -> bool {
        let is_late = |at: Instant| now.saturating_duration_since(at) > CUT_OFF_AFTER;
        self.has_peers && self.heard_at.is_none_or(is_late)
    }

    /// Returns the version that an order names for a service while its answers are counted.
    pub fn counted_version(&self, service: &str) -> Option<&str> {
        let rollout = self.services.get(service)?;
        rollout
            .outcome
            .is_none()
            .then_some(rollout.order.to.as_str())
    }

    /// Records an answer of an engine with this version.
    pub fn record_answer(
        &mut self,
        service: &str,
        (engine, version): (EngineHash, &str),
        route: Route,
        answer: Answer,
        now: Instant,
    ) {
        let Some(rollout) = self.services.get_mut(service) else {
            return;
        };
        if answer == Answer::Broken {
            let last = rollout.broken_at.insert(engine, now);
            if last.is_some_and(|at| now.duration_since(at) < BREAK_INTERVAL) {
                return;
            }
        }
        let is_new = rollout.order.to == version;
        rollout.own.record(route, is_new, answer);
        rollout.joint.record(route, is_new, answer);
        if !is_new {
            return;
        }
        let was_bad = rollout.is_bad;
        rollout.judge(now);
        self.version += u64::from(rollout.is_bad != was_bad);
    }

    /// Returns what this host reports; `None` while it does not know the orders itself.
    pub fn own(&mut self, now: Instant) -> Option<Vec<Mention>> {
        self.mentions(now, |rollout| rollout.own.clone())
    }

    /// Returns what a representative reports for its failure domain.
    pub fn joint(&mut self, now: Instant) -> Option<Vec<Mention>> {
        self.mentions(now, Rollout::direct)
    }

    fn mentions(
        &mut self,
        now: Instant,
        tally: impl Fn(&Rollout) -> Tally,
    ) -> Option<Vec<Mention>> {
        if !self.is_known {
            return None;
        }
        let count = self.services.len().min(MENTIONS_MAX);
        let in_turn = self.services.values().cycle();
        let rollouts = in_turn.skip(self.mentioned).take(count);
        let mentions = rollouts.map(|known| known.mention(tally(known), now));
        let mentions: Vec<_> = mentions.collect();
        self.mentioned = (self.mentioned + count) % self.services.len().max(1);
        Some(mentions)
    }

    /// Applies what other hosts report. `process` is that of a host, and the same for all
    /// representatives of a failure domain.
    pub fn record_report(
        &mut self,
        source: Source,
        process: u64,
        mentions: Option<Vec<Mention>>,
        now: Instant,
    ) {
        if self.policy.is_none() {
            return;
        }
        self.heard_at = Some(now);
        let Some(mentions) = mentions else {
            return;
        };
        self.is_known = true;
        for mention in mentions {
            self.record_mention((source.clone(), process), mention, now);
        }
    }

    fn record_mention(&mut self, reporter: Reporter, mention: Mention, now: Instant) {
        let Mention { order, tally, .. } = mention;
        let age = Duration::from_millis(mention.age_ms);
        let ordered_at = now.checked_sub(age).unwrap_or(now);
        let known = self.services.get(&order.service);
        let is_known = known.is_some_and(|known| known.order.is_same(&order));
        // Hosts that have not heard of the last order still report an earlier one.
        let is_later = known.is_none_or(|known| known.ordered_at < ordered_at);
        let is_new = mention.is_stored && is_later;
        if !is_known && !is_new {
            return;
        }
        let rollout = self.begin(&order, ordered_at, now);
        if mention.is_stored {
            rollout.confirmed_at = now;
        }
        rollout.ordered_at = rollout.ordered_at.min(ordered_at);
        rollout.others.insert(reporter, tally);
        rollout.update_joint();
        let was_bad = rollout.is_bad;
        rollout.is_bad |= mention.is_bad;
        let was_promoted = rollout.is_promoted;
        rollout.is_promoted |= mention.is_promoted;
        let has_ended = mention.outcome.is_some_and(|outcome| rollout.end(outcome));
        rollout.judge(now);
        let has_news =
            has_ended || rollout.is_bad != was_bad || rollout.is_promoted != was_promoted;
        self.version += u64::from(has_news);
    }

    /// Returns the states that the store lacks, each with the entry to base the write on, once they have
    /// been lacking for `patience`. `engines` tells of the engines that an order concerns.
    pub fn due_writes(
        &mut self,
        patience: Duration,
        engines: impl Fn(&Order) -> Engines,
        now: Instant,
    ) -> Vec<(Entry, Lifecycle)> {
        let mut due = Vec::new();
        for rollout in self.services.values_mut() {
            rollout.judge(now);
            let Some(entry) = rollout.entry.clone() else {
                continue;
            };
            let was_promoted = rollout.is_promoted;
            let outcome = rollout
                .outcome
                .or_else(|| rollout.due_outcome(engines(&entry.order), now));
            self.version += u64::from(rollout.is_promoted != was_promoted);
            let state = outcome.map_or(Lifecycle::InProgress, Lifecycle::Ended);
            let is_written = matches!(entry.lifecycle, Some(Lifecycle::Ended(_)))
                || entry.lifecycle == Some(state);
            if is_written {
                rollout.unwritten_since = None;
                continue;
            }
            let since = *rollout.unwritten_since.get_or_insert(now);
            if now.saturating_duration_since(since) >= patience {
                due.push((entry, state));
            }
        }
        due
    }
}
