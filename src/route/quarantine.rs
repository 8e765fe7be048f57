//! Parts of prompts that crash engines, found by comparing what ran on engines that ended.
//!
//! Such a part ends every engine that begins to write a response to it. A host sees few of these
//! ends, so hosts report them to each other and each draws its own conclusion from all of them:
//!
//! - A [`Crash`] is an engine that ended just as it began to write the response to a request. All parts
//!   of that request that other requests may share are suspect.
//! - A [`Pass`] is a response that an engine has begun to write and survived. It clears the parts of
//!   its request of all crashes before.
//! - A part is blocked once [`EVENTS_MIN`] separate crashes of [`REQUESTS_MIN`] different requests
//!   have it in common since it last passed. Engines of one failure domain that end together count
//!   as one crash, as they more probably share a cause of their own.
//! - A crash is only possible if the engine may have ended for another reason or not at all: it broke off
//!   before the head of its response, or accepts connections again at once. More of these are needed for
//!   a block, from more requests, and they are not held against a single request.
//! - Parts that these crashes have in common are blocked together: only requests with all of them are
//!   refused. A part that passes on its own is taken out, and so are parts that further crashes do
//!   without. A sound part is therefore not blocked because it was sent along with a bad one.
//! - A crash that a block explains is no evidence against the other parts of its request, nor of other
//!   requests on the engine.
//!
//! A block ends after a while, as the engines may have been mended, and one request at a time then
//! shows whether it was still right.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::evidence::{Block, Certainty, Crash, DomainHash, Evidence, Pass};
use super::losses::Finder;
use super::passes::Passes;
use super::prompt::{self, PartHash, Prompt};
pub use super::suspicion::{EVENTS_MIN, REQUESTS_MIN};
use super::suspicion::{KnownCrash, Suspicion, count_events};
use crate::route::load::EngineHash;
use crate::util::hash64;

/// Separate crashes after which one request, also when its caller sends it again, is not sent to
/// another engine. One crash may be a coincidence.
pub const REQUEST_EVENTS_MAX: usize = 2;

/// Time for which a crash is evidence. Requests with a part that few use may be this far apart.
const CRASH_TTL: Duration = Duration::from_secs(60);

/// Time for which a crash is reported; a report that is lost is repeated in this time.
const REPORTED_FOR: Duration = Duration::from_secs(3);

/// Shortest time after the last crash for which a part is blocked. Each trial of a part that still
/// crashes engines costs one, so trials must be rare.
pub const BLOCKED_FOR_MIN: Duration = Duration::from_secs(60);

/// Longest time after the last crash for which a part is blocked that has failed no trial. Hosts end the
/// block at different times, so that the report of the first trial reaches most others before theirs.
pub const BLOCKED_FOR_MAX: Duration = Duration::from_secs(240);

/// Factor by which a block lasts longer after each failed trial. A sound part passes its first trial; one that
/// fails it costs three engines in a day.
pub const FAILED_TRIAL_FACTOR: u32 = 12;

/// Longest block of a part that has failed trials. Engines that were mended serve it a day later.
const BLOCKED_FOR_LIMIT: Duration = Duration::from_secs(24 * 3600);

/// Time after the last crash for which a part whose block has ended gets one request at a time, and
/// a single crash blocks it again. It is longer than the longest block.
const TRIAL_FOR: Duration = Duration::from_secs(26 * 3600);

/// Time after which a trial counts as ended without result, as the request may never have been sent.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of crashes kept; the oldest are dropped first.
const CRASHES_MAX: usize = 256;

/// Maximum number of blocked parts; the one whose last crash is oldest is dropped first.
const BLOCKS_MAX: usize = 64;

/// Maximum number of crashes, passes and blocks each in one report, which bounds its size.
const REPORTED_MAX: usize = 8;

/// Maximum number of parts in the crashes, and in the blocks, of one report.
pub const REPORTED_PARTS_MAX: usize = 64;

/// What changed with new evidence.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Update {
    /// Crashes that were not known.
    pub crashes: usize,
    /// Sets of parts that are blocked from now on.
    pub blocked: Vec<Vec<PartHash>>,
    /// Parts that are no longer in a block.
    pub cleared: Vec<PartHash>,
}

impl Update {
    /// Returns whether other hosts should hear of it at once.
    pub fn is_news(&self) -> bool {
        self.crashes > 0 || !self.blocked.is_empty() || !self.cleared.is_empty()
    }
}

/// Why a request must not be sent to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Cause {
    /// One of these parts of it crashes engines.
    Parts(Vec<PartHash>),
    /// The request itself has crashed several engines.
    Request,
}

/// A request that must not be sent to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Blocked {
    /// The reason.
    pub cause: Cause,
    /// Time since the last crash.
    pub age: Duration,
    /// Time until the request may be tried again.
    pub left: Duration,
}

#[derive(Clone, Debug)]
struct KnownBlock {
    // Invariant: not empty, in ascending order.
    parts: Vec<PartHash>,
    crashed_at: Instant,
    // Number of trials that crashed an engine.
    failed_trials: u32,
    // While this lies ahead, a trial of the part is under way at this host.
    trial_until: Option<Instant>,
}

/// What this host believes of parts that may crash engines.
#[derive(Debug)]
pub struct Quarantine {
    // Oldest first.
    crashes: Vec<KnownCrash>,
    passes: Passes,
    blocks: Vec<KnownBlock>,
    // Distinguishes this host from others in how long it keeps a block.
    seed: u64,
    // Last crash of blocked parts that another host reports although they have passed since.
    disputed: BTreeMap<PartHash, Instant>,
    own_version: u64,
    joint_version: u64,
}

impl Quarantine {
    /// Creates an empty state; `seed` should differ between hosts.
    pub fn new(seed: u64) -> Self {
        Self {
            crashes: Vec::new(),
            passes: Passes::default(),
            blocks: Vec::new(),
            seed,
            disputed: BTreeMap::new(),
            own_version: 0,
            joint_version: 0,
        }
    }

    /// Records that an engine ended at `now` as it began to write the response to a request.
    pub fn record_crash(
        &mut self,
        engine: EngineHash,
        domain: DomainHash,
        prompt: &Prompt,
        certainty: Certainty,
        now: Instant,
    ) -> Update {
        let mut update = Update::default();
        let crash = KnownCrash {
            engine,
            domain,
            request: prompt.request,
            parts: prompt.parts.clone(),
            certainty,
            at: now,
            finder: Finder::Own,
        };
        update.crashes += usize::from(self.insert(crash));
        self.conclude(now, &mut update);
        self.count(&update, Finder::Own);
        update
    }

    /// Records that an engine has begun to write the response to a request and survived.
    pub fn record_pass(&mut self, prompt: &Prompt, now: Instant) -> Update {
        let mut update = Update::default();
        for part in &prompt.parts {
            self.pass(*part, now, Finder::Own, &mut update);
        }
        self.count(&update, Finder::Own);
        update
    }

    /// Adds the evidence that another host reports.
    pub fn merge(&mut self, evidence: &Evidence, finder: Finder, now: Instant) -> Update {
        let mut update = Update::default();
        let time_of = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        for pass in &evidence.passes {
            if let Some(at) = time_of(pass.age_ms) {
                self.pass(pass.part, at, finder, &mut update);
            }
        }
        for crash in &evidence.crashes {
            let Some(at) = time_of(crash.age_ms) else {
                continue;
            };
            update.crashes += usize::from(self.insert(KnownCrash {
                engine: crash.engine,
                domain: crash.domain,
                request: crash.request,
                parts: crash.parts.clone(),
                certainty: crash.certainty,
                at,
                finder,
            }));
        }
        for block in &evidence.blocks {
            if let Some(at) = time_of(block.age_ms) {
                self.adopt(block, at, now, &mut update);
            }
        }
        if update.crashes > 0 {
            self.conclude(now, &mut update);
        }
        self.count(&update, finder);
        update
    }

    /// Returns why a request must not be sent to an engine, `None` if it may.
    pub fn check(&self, prompt: &Prompt, now: Instant) -> Option<Blocked> {
        let blocked = |cause, at, lasts: Duration| {
            let age = now.duration_since(at);
            (age < lasts).then(|| Blocked {
                cause,
                age,
                left: lasts.saturating_sub(age),
            })
        };
        let by_part = self.blocks_of(prompt).find_map(|block| {
            let cause = Cause::Parts(block.parts.clone());
            blocked(cause, block.crashed_at, self.lasts(block))
        });
        by_part.or_else(|| {
            let own = || {
                let crashes = self.crashes.iter();
                let own = crashes.filter(|crash| crash.request == prompt.request);
                own.filter(|crash| crash.certainty == Certainty::Certain && self.is_evidence(crash))
            };
            let ends = own().map(|crash| (crash.domain, crash.at)).collect();
            let last = own().map(|crash| crash.at).max()?;
            (count_events(ends) >= REQUEST_EVENTS_MAX)
                .then(|| blocked(Cause::Request, last, CRASH_TTL))
                .flatten()
        })
    }

    /// Like [`Quarantine::check`], for a new request: when the block of a part has ended, the request
    /// becomes its trial, and others are refused until that has a result.
    pub fn admit(&mut self, prompt: &Prompt, now: Instant) -> Option<Blocked> {
        let blocked = self.check(prompt, now);
        if blocked.is_some() {
            return blocked;
        }
        let ended = |block: &&mut KnownBlock| has_all(&prompt.parts, &block.parts);
        for block in self.blocks.iter_mut().filter(ended) {
            if let Some(until) = block.trial_until.filter(|until| *until > now) {
                return Some(Blocked {
                    cause: Cause::Parts(block.parts.clone()),
                    age: now.duration_since(block.crashed_at),
                    left: until.duration_since(now),
                });
            }
            block.trial_until = Some(now + TRIAL_TIMEOUT);
        }
        None
    }

    fn blocks_of<'a>(&'a self, prompt: &'a Prompt) -> impl Iterator<Item = &'a KnownBlock> {
        let blocks = self.blocks.iter();
        blocks.filter(|block| has_all(&prompt.parts, &block.parts))
    }

    /// Drops crashes and blocks that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.crashes
            .retain(|crash| now.duration_since(crash.at) < CRASH_TTL);
        self.blocks
            .retain(|block| now.duration_since(block.crashed_at) < TRIAL_FOR);
        self.disputed
            .retain(|_, crashed_at| now.duration_since(*crashed_at) < CRASH_TTL);
    }

    /// Returns a number that grows with each crash and each cleared part that this host found, and one
    /// that grows with each that it or a host that reports to it found.
    pub fn versions(&self) -> (u64, u64) {
        (self.own_version, self.joint_version)
    }

    /// Returns the evidence that this host found, and the blocked parts.
    pub fn own(&self, now: Instant) -> Evidence {
        self.found_by(Finder::Own, now)
    }

    /// Returns the evidence that this host and those that report to it found, and the blocked parts.
    pub fn joint(&self, now: Instant) -> Evidence {
        self.found_by(Finder::Peer, now)
    }

    fn count(&mut self, update: &Update, finder: Finder) {
        let has_news = update.is_news();
        self.own_version += u64::from(has_news && finder == Finder::Own);
        self.joint_version += u64::from(has_news && finder != Finder::Remote);
    }

    /// Returns the numbers of crashes, passes and blocks that are kept.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.crashes.len(), self.passes.len(), self.blocks.len())
    }

    /// Inserts a crash in order of time; returns whether it was not known.
    fn insert(&mut self, crash: KnownCrash) -> bool {
        // The time is not compared, as a report may be late by any time.
        let is_same =
            |known: &KnownCrash| known.request == crash.request && known.engine == crash.engine;
        if self.crashes.iter().any(is_same) {
            return false;
        }
        for block in &mut self.blocks {
            if crash.has_all(&block.parts) {
                let is_trial = crash.at >= block.crashed_at + BLOCKED_FOR_MIN;
                // The number may come from another host.
                block.failed_trials = block.failed_trials.saturating_add(u32::from(is_trial));
                block.crashed_at = block.crashed_at.max(crash.at);
                block.trial_until = None;
            }
        }
        let position = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(position, crash);
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.remove(0);
        }
        true
    }

    fn pass(&mut self, part: PartHash, at: Instant, finder: Finder, update: &mut Update) {
        self.passes.record(part, at, finder);
        for block in &mut self.blocks {
            if block.crashed_at < at && block.parts.contains(&part) {
                block.parts.retain(|blocked| *blocked != part);
                update.cleared.push(part);
            }
        }
        self.blocks.retain(|block| !block.parts.is_empty());
    }

    /// Takes over a block from another host, without the parts that passed after its last crash; those
    /// are reported to the other host. A host that has heard of enough crashes leaves out all parts that
    /// ever passed: of these it draws its own conclusion.
    fn adopt(&mut self, reported: &Block, crashed_at: Instant, now: Instant, update: &mut Update) {
        if now.duration_since(crashed_at) >= TRIAL_FOR {
            return;
        }
        let parts = reported.parts.as_slice();
        if let Some(known) = self.blocks.iter_mut().find(|known| known.parts == parts) {
            known.failed_trials = known.failed_trials.max(reported.failed_trials);
        }
        for part in parts {
            let passed_at = self.passes.last(*part);
            let is_disputed = passed_at.is_some_and(|at| at > crashed_at);
            if is_disputed && self.disputed.len() < BLOCKS_MAX {
                self.disputed.insert(*part, crashed_at);
            }
        }
        let crashes = self.crashes.iter();
        let crashes =
            crashes.filter(|crash| crash.certainty == Certainty::Certain && crash.has_all(parts));
        let ends = crashes.map(|crash| (crash.domain, crash.at)).collect();
        let is_informed = count_events(ends) >= EVENTS_MIN;
        let is_open = |part: &PartHash| match self.passes.last(*part) {
            Some(at) => !is_informed && at <= crashed_at,
            None => true,
        };
        let open: Vec<_> = parts.iter().copied().filter(is_open).collect();
        if open.is_empty() {
            return;
        }
        self.block(open, crashed_at, reported.failed_trials, update);
    }

    /// Blocks a set of parts, unless some of them are blocked already. Replaces the blocks of
    /// larger sets.
    fn block(
        &mut self,
        parts: Vec<PartHash>,
        crashed_at: Instant,
        failed_trials: u32,
        update: &mut Update,
    ) {
        // Only a crash moves the time of a block. The time of a reported block includes the delay of
        // the report, and hosts would renew each other's blocks without end.
        if self
            .blocks
            .iter()
            .any(|block| has_all(&parts, &block.parts))
        {
            return;
        }
        self.blocks.retain(|block| !has_all(&block.parts, &parts));
        if self.blocks.len() >= BLOCKS_MAX {
            let oldest = self.blocks.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, block)| block.crashed_at);
            if let Some((oldest, _)) = oldest {
                self.blocks.remove(oldest);
            }
        }
        self.blocks.push(KnownBlock {
            parts: parts.clone(),
            crashed_at,
            failed_trials,
            trial_until: None,
        });
        update.blocked.push(parts);
    }

    /// Blocks the parts that the known crashes are enough for, the most probable first: each explains
    /// crashes, which are then no evidence against others.
    fn conclude(&mut self, now: Instant, update: &mut Update) {
        while let Some((parts, crashed_at)) = self.most_suspect(now) {
            let blocked = update.blocked.len();
            self.block(parts, crashed_at, 0, update);
            if update.blocked.len() == blocked {
                return;
            }
        }
    }

    /// Returns the parts to block next with the time of their last crash. A part that never passed
    /// goes before those that have passed, then the one with most crashes.
    fn most_suspect(&self, now: Instant) -> Option<(Vec<PartHash>, Instant)> {
        let suspicions = self.suspicions(now).into_iter();
        let enough = suspicions.filter_map(|(part, suspicion)| {
            let is_blocked = self.blocks.iter().any(|block| block.parts.contains(&part));
            let is_enough = match is_blocked {
                true => suspicion.events() >= REQUEST_EVENTS_MAX,
                false => suspicion.is_enough(),
            };
            let events = suspicion.events().max(suspicion.all_events());
            is_enough.then_some((part, events, suspicion))
        });
        let (part, _, suspicion) = enough
            .max_by_key(|(part, events, _)| (self.passes.get(*part).is_none(), *events, *part))?;
        Some((
            self.indistinguishable(part, &suspicion),
            suspicion.last_at()?,
        ))
    }

    /// Returns the parts that may as well be the cause as `part`: all its crashes have them in common,
    /// they have not passed since the first, and an earlier block that contains `part` has them too.
    fn indistinguishable(&self, part: PartHash, suspicion: &Suspicion) -> Vec<PartHash> {
        let first_at = suspicion.first_at();
        let has_passed = self.passes.get(part).is_some();
        let block = self.blocks.iter().find(|block| block.parts.contains(&part));
        let is_like = |other: &PartHash| match self.passes.last(*other) {
            Some(at) => has_passed && Some(at) < first_at,
            None => true,
        };
        let common = suspicion.common.iter().flatten().copied();
        common
            .filter(|other| {
                *other == part
                    || (is_like(other) && block.is_none_or(|block| block.parts.contains(other)))
            })
            .collect()
    }

    fn suspicions(&self, now: Instant) -> BTreeMap<PartHash, Suspicion> {
        let mut suspicions: BTreeMap<PartHash, Suspicion> = BTreeMap::new();
        let explained = self.explained_ends();
        for crash in &self.crashes {
            let ends = explained.get(&crash.engine).into_iter().flatten();
            let mut ends = ends.filter(|at| crash.is_end_at(**at));
            if ends.next().is_some() || now.duration_since(crash.at) >= CRASH_TTL {
                continue;
            }
            for part in &crash.parts {
                let has_passed = self.passes.last(*part).is_some_and(|at| at >= crash.at);
                if !has_passed {
                    suspicions.entry(*part).or_default().add(crash);
                }
            }
        }
        suspicions
    }

    /// Returns whether a part of the request may be the cause of a crash: no block explains it, and some
    /// part has not passed since.
    fn is_evidence(&self, crash: &KnownCrash) -> bool {
        let has_passed = |part: &PartHash| self.passes.last(*part).is_some_and(|at| at >= crash.at);
        !crash.parts.iter().all(has_passed) && !self.is_explained(crash)
    }

    /// Returns whether a request with blocked parts began on the same engine when it ended.
    fn is_explained(&self, crash: &KnownCrash) -> bool {
        let mut others = self
            .crashes
            .iter()
            .filter(|other| other.engine == crash.engine && other.is_end_at(crash.at));
        others.any(|other| self.blocks.iter().any(|block| other.has_all(&block.parts)))
    }

    /// Returns the ends of engines that a block explains. What else began there at the time is no
    /// evidence.
    fn explained_ends(&self) -> BTreeMap<EngineHash, Vec<Instant>> {
        let mut ends: BTreeMap<EngineHash, Vec<Instant>> = BTreeMap::new();
        for crash in &self.crashes {
            if self.blocks.iter().any(|block| crash.has_all(&block.parts)) {
                ends.entry(crash.engine).or_default().push(crash.at);
            }
        }
        ends
    }

    /// Returns for how long after their last crash this host blocks these parts.
    fn lasts(&self, block: &KnownBlock) -> Duration {
        let spread = (BLOCKED_FOR_MAX - BLOCKED_FOR_MIN).as_millis() as u64;
        let own = hash64(&[
            &self.seed.to_le_bytes(),
            prompt::join(&block.parts).as_bytes(),
        ]);
        let first = BLOCKED_FOR_MIN + Duration::from_millis(own % spread);
        let factor = FAILED_TRIAL_FACTOR.saturating_pow(block.failed_trials);
        first.saturating_mul(factor).min(BLOCKED_FOR_LIMIT)
    }

    fn found_by(&self, last: Finder, now: Instant) -> Evidence {
        let age_of = |at: Instant| now.duration_since(at).as_millis() as u32;
        let is_recent = |at: Instant| now.duration_since(at) < REPORTED_FOR;
        let crashes = self.crashes.iter().rev();
        let crashes = crashes.filter(|crash| crash.finder <= last && is_recent(crash.at));
        let crashes = self.most_telling_first(crashes.collect(), now).into_iter();
        let mut blocks: Vec<_> = self.blocks.iter().collect();
        blocks.sort_by_key(|block| std::cmp::Reverse(block.crashed_at));
        let blocks = within_parts_max(blocks.into_iter(), |block| &block.parts);
        Evidence {
            crashes: within_parts_max(crashes, |crash| &crash.parts)
                .map(|crash| Crash {
                    engine: crash.engine,
                    domain: crash.domain,
                    request: crash.request,
                    parts: crash.parts.clone(),
                    certainty: crash.certainty,
                    age_ms: age_of(crash.at),
                })
                .collect(),
            passes: self.passes_to_report(last, now),
            blocks: blocks
                .map(|block| Block {
                    parts: block.parts.clone(),
                    failed_trials: block.failed_trials,
                    age_ms: age_of(block.crashed_at),
                })
                .collect(),
        }
    }

    /// Sorts crashes so that a report has room for those that matter: when an engine ends, many requests that
    /// merely waited there are recorded too.
    fn most_telling_first<'a>(
        &self,
        mut crashes: Vec<&'a KnownCrash>,
        now: Instant,
    ) -> Vec<&'a KnownCrash> {
        if crashes.len() <= REPORTED_MAX {
            return crashes;
        }
        let suspicions = self.suspicions(now);
        crashes.sort_by_cached_key(|crash| {
            let suspicions = crash.parts.iter().filter_map(|part| suspicions.get(part));
            let events = suspicions.map(Suspicion::all_events).max();
            std::cmp::Reverse((crash.certainty, events))
        });
        crashes
    }

    /// Returns the passes that clear a part of a known crash, or one that another host blocks: those of
    /// parts with most crashes first, as hosts may be about to block them.
    fn passes_to_report(&self, last: Finder, now: Instant) -> Vec<Pass> {
        let disputed = self.disputed.iter();
        let mut suspects: BTreeMap<_, _> = disputed
            .map(|(part, crashed_at)| (*part, (*crashed_at, usize::MAX)))
            .collect();
        for crash in &self.crashes {
            for part in &crash.parts {
                let (crashed_at, crashes) = suspects.entry(*part).or_insert((crash.at, 0));
                *crashed_at = crash.at;
                *crashes = crashes.saturating_add(1);
            }
        }
        let passes = suspects.iter().filter_map(|(part, (crashed_at, crashes))| {
            let (at, finder) = self.passes.get(*part)?;
            (at >= *crashed_at && finder <= last).then_some((*crashes, at, *part))
        });
        let mut passes: Vec<_> = passes.collect();
        passes.sort_by(|a, b| b.cmp(a));
        let reported = passes.into_iter().take(REPORTED_MAX);
        reported
            .map(|(_, at, part)| Pass {
                part,
                age_ms: now.duration_since(at).as_millis() as u32,
            })
            .collect()
    }
}

/// Returns the first items of which a report has room for all parts.
fn within_parts_max<T>(
    items: impl Iterator<Item = T>,
    parts_of: impl Fn(&T) -> &[PartHash],
) -> impl Iterator<Item = T> {
    let mut total = 0;
    items.take(REPORTED_MAX).take_while(move |item| {
        total += parts_of(item).len();
        total <= REPORTED_PARTS_MAX
    })
}

fn has_all(parts: &[PartHash], wanted: &[PartHash]) -> bool {
    wanted.iter().all(|part| parts.contains(part))
}
