//! The engines that a router knows, and the choice of one for a request.
//!
//! Engines come from the platform's membership list. Their load and cache events come from stream
//! frames and polled statuses.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;

use super::cache::Cache;
use super::prefix;
use super::select::{ENGINES_MAX, select};
use crate::clock::Clock;
use crate::util::hash64;
use crate::wire;

slotmap::new_key_type! {
    /// Key of an engine in a [`Fleet`]. A restarted engine gets another key.
    pub struct Engine;
}

/// Time for which an engine gets no new work after its first failure. Each further failure doubles
/// it.
const BACKOFF_INITIAL: Duration = Duration::from_secs(2);

/// Upper bound of the backoff after failures.
const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// Time since a first failure after which an answered status request ends the backoff early. An
/// earlier status may have been on its way when the engine failed.
const EARLY_RECOVERY_AFTER: Duration = Duration::from_millis(500);

/// Time for which an engine that announced that it is leaving is not selected again while the
/// membership list still shows it. Limited, as the engine may restart under the same address before
/// the list drops it.
const LEAVING_TTL: Duration = Duration::from_secs(30);

/// Consecutive statuses without the leaving flag after which a leaving engine counts as restarted
/// and gets work again. A single one may have been on its way when the engine started to leave.
const STATUSES_TO_READMIT: u32 = 2;

/// Consecutive unanswered status requests from which the slots of an engine no longer count as
/// capacity. A single one may fail because this host was paused.
const UNANSWERED_MAX: u32 = 2;

// Terms of an engine's cost, in milliseconds of expected delay.

/// Cost of a full batch compared with an empty one.
const OCCUPANCY_MS: f64 = 400.0;

/// Cost of each full batch of requests that is queued ahead of a new one.
const QUEUE_MS: f64 = 2000.0;

/// Benefit of a cached prompt token: it need not be prefilled, which would also delay the streams
/// in the batch.
const CACHED_TOKEN_MS: f64 = 0.1;

/// Maximum benefit of a cached prefix. It equals the cost of 30% of a batch, so a prefix shared by
/// too many requests for one engine spreads to other engines before the first one is full.
const CACHED_MS_MAX: f64 = 120.0;

/// Cost of an engine in another failure domain.
const OTHER_DOMAIN_MS: f64 = 15.0;

/// Cost of an engine that did not answer its last status request. So large that it is chosen only
/// if no other engine takes the work.
const UNANSWERED_MS: f64 = 1e6;

/// Maximum distance from the lowest cost at which engines count as equal. Two of the equal engines
/// are drawn at random, and the cheaper one is chosen.
const TIE_MS: f64 = 30.0;

/// State of one engine, as this host knows it.
#[derive(Debug)]
pub struct State {
    /// Name.
    pub name: CompactString,
    /// Address, `IP:PORT`.
    pub address: CompactString,
    /// Failure domain.
    pub failure_domain: CompactString,
    /// Model name.
    pub model: CompactString,
    /// Loaded version of the model, empty until a status tells it.
    pub version: CompactString,
    /// Maximum number of streams in the batch.
    pub slots: u32,
    /// Last reported load.
    pub reported: wire::Load,
    /// When that report arrived, `None` before the first one.
    pub reported_at: Option<Instant>,
    /// Sequence number of the next cache event to ask for.
    pub next_seq: u64,
    /// Streams that this host runs on the engine.
    pub own_streams: u32,
    /// Maximum number of streams that this host may run on the engine.
    pub stream_limit: u32,
    /// Streams that this host started on the engine since the last report.
    pub started_since_report: u32,
    /// Whether the engine shuts down and takes no new work.
    pub is_leaving: bool,
    // Whether this host selected the engine for new work. The others only finish their streams.
    is_used: bool,
    // Consecutive statuses without the leaving flag.
    statuses_not_leaving: u32,
    // Consecutive status requests without an answer.
    unanswered_polls: u32,
    // Failures since a stream frame last reported load outside of a backoff.
    failures: u32,
    failed_at: Option<Instant>,
    cache: Cache,
}

/// Requirements of a request for its engine.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Model name.
    pub model: CompactString,
    /// Version, if the generation must use a certain one.
    pub version: Option<CompactString>,
    /// Prefix blocks of the prompt, see [`prefix::blocks`].
    pub blocks: Vec<u64>,
    /// Engines that must not be used.
    pub excluded: Vec<Engine>,
}

/// How far new work may fill a number of slots: those of an engine, or all that this host was
/// granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotLimit {
    /// All slots but an eighth, which stays free so that work with a better claim to it need not
    /// wait for the end of a generation.
    KeepSpare,
    /// All slots.
    All,
    /// All slots, and this number of requests in the engine's own queue.
    AllAndQueue(u32),
}

impl SlotLimit {
    /// Returns the maximum number of requests for a number of slots.
    pub fn apply(self, slots: u32) -> u32 {
        match self {
            Self::KeepSpare => slots - slots / 8,
            Self::All => slots,
            Self::AllAndQueue(queued) => slots.saturating_add(queued),
        }
    }
}

/// Slots of a failure domain in which a host uses engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Domain {
    /// Slots of the live engines that the host uses.
    pub slots: u32,
    /// Estimated slots of all live engines.
    pub capacity: u32,
}

/// The engines known to this host.
#[derive(Debug)]
pub struct Fleet<C: Clock> {
    clock: C,
    host: CompactString,
    failure_domain: CompactString,
    // Engines of the membership list by model, failure domain and name.
    listed: BTreeMap<CompactString, BTreeMap<CompactString, BTreeMap<CompactString, wire::Member>>>,
    // When engines, by name and address, announced that they are leaving. Entries expire after
    // LEAVING_TTL.
    leaving_since: BTreeMap<(CompactString, CompactString), Instant>,
    routers: BTreeSet<CompactString>,
    engines: SlotMap<Engine, State>,
    // Invariant: maps the name of each engine in `engines` to its key.
    by_name: BTreeMap<CompactString, Engine>,
    // Invariant: holds the keys of the used engines, by the model that they serve.
    by_model: BTreeMap<CompactString, Vec<Engine>>,
    // In a cell, so that `choose` takes a shared reference.
    rng: RefCell<StdRng>,
}

impl<C: Clock> Fleet<C> {
    /// Creates a fleet without engines, for a host in `failure_domain`.
    pub fn new(clock: C, failure_domain: CompactString) -> Self {
        Self {
            clock,
            host: CompactString::default(),
            failure_domain,
            listed: BTreeMap::new(),
            leaving_since: BTreeMap::new(),
            routers: BTreeSet::new(),
            engines: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            by_model: BTreeMap::new(),
            rng: RefCell::new(StdRng::seed_from_u64(0)),
        }
    }

    /// Sets the host's name, which seeds the random draws and determines the engines that the host
    /// uses if there are more than it can use.
    #[must_use]
    pub fn with_host(mut self, host: CompactString) -> Self {
        self.rng = RefCell::new(StdRng::seed_from_u64(hash64(&[host.as_bytes()])));
        self.host = host;
        self
    }

    /// Applies a new membership list.
    pub fn set_members(&mut self, members: &[wire::Member]) {
        self.listed.clear();
        let live = |member: &&wire::Member| member.state == wire::Lifecycle::Live;
        let of_kind = |kind| {
            members
                .iter()
                .filter(move |member| member.kind == kind)
                .filter(live)
        };
        self.routers = of_kind(wire::Kind::Router)
            .map(|member| member.name.clone())
            .collect();
        for member in of_kind(wire::Kind::Engine) {
            let domains = self.listed.entry(member.service.clone()).or_default();
            let names = domains.entry(member.failure_domain.clone()).or_default();
            names.insert(member.name.clone(), member.clone());
        }
        self.reselect();
    }

    /// Selects the listed engines that this host uses. Adds new ones, and removes those that are no
    /// longer used and run no stream of this host.
    fn reselect(&mut self) {
        let now = self.clock.now();
        self.leaving_since
            .retain(|_, at| now.duration_since(*at) < LEAVING_TTL);
        let mut chosen: BTreeMap<CompactString, wire::Member> = BTreeMap::new();
        for domains in self.listed.values() {
            let names = domains.iter().map(|(domain, members)| {
                let staying = members
                    .values()
                    .filter(|member| !self.is_known_leaving(member));
                let names = staying.map(|member| member.name.as_str()).collect();
                (domain.as_str(), names)
            });
            let names = names.collect();
            for name in select(&self.host, &self.failure_domain, &names) {
                let member = domains.values().find_map(|members| members.get(name));
                chosen.extend(member.map(|member| (member.name.clone(), member.clone())));
            }
        }
        let known: Vec<_> = self.engines.keys().collect();
        for key in known {
            let engine = &mut self.engines[key];
            let listed = chosen.get(&engine.name);
            engine.is_used = listed.is_some_and(|member| member.address == engine.address);
            // An engine that is no longer used keeps its running streams. One that is selected
            // under another address was restarted, and its cache is empty.
            if !engine.is_used && (engine.own_streams == 0 || listed.is_some()) {
                self.remove(key);
            }
        }
        for member in chosen.values() {
            if !self.by_name.contains_key(&member.name) {
                let key = self.engines.insert(State::new(member));
                self.by_name.insert(member.name.clone(), key);
            }
        }
        self.rebuild_index();
    }

    fn is_known_leaving(&self, member: &wire::Member) -> bool {
        let name_and_address = (member.name.clone(), member.address.clone());
        self.leaving_since.contains_key(&name_and_address)
    }

    fn remove(&mut self, key: Engine) {
        if let Some(engine) = self.engines.remove(key) {
            self.by_name.remove(&engine.name);
        }
    }

    fn rebuild_index(&mut self) {
        self.by_model.clear();
        for (key, engine) in self.engines.iter().filter(|(_, engine)| engine.is_used) {
            let keys = self.by_model.entry(engine.model.clone()).or_default();
            keys.push(key);
        }
    }

    /// Returns an engine's state, if it is still known.
    pub fn get(&self, engine: Engine) -> Option<&State> {
        self.engines.get(engine)
    }

    /// Returns the engines that this host uses, and those on which it still has streams.
    pub fn iter(&self) -> impl Iterator<Item = (Engine, &State)> {
        self.engines.iter()
    }

    /// Applies an engine's status.
    pub fn set_status(&mut self, key: Engine, status: &wire::Status) {
        let now = self.clock.now();
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let mut has_other_model = false;
        if let Some(model) = status.models.first() {
            if engine.version != model.version {
                engine.cache.clear();
            }
            has_other_model = engine.model != model.model;
            engine.model = model.model.clone();
            engine.version = model.version.clone();
        }
        engine.slots = status.slots;
        engine.cache.apply(&status.events, status.next_seq);
        engine.next_seq = status.next_seq;
        let may_recover = engine
            .failed_at
            .is_some_and(|at| now.duration_since(at) >= EARLY_RECOVERY_AFTER);
        if engine.failures == 1 && may_recover {
            engine.failed_at = None;
        }
        engine.set_load(status.load, now);
        if has_other_model {
            self.rebuild_index();
        }
        match status.leaving {
            true => self.set_leaving(key),
            false => self.set_not_leaving(key),
        }
    }

    fn set_not_leaving(&mut self, key: Engine) {
        let engine = &mut self.engines[key];
        engine.statuses_not_leaving += 1;
        if engine.is_leaving && engine.statuses_not_leaving >= STATUSES_TO_READMIT {
            engine.is_leaving = false;
            engine.cache.clear();
            let name_and_address = (engine.name.clone(), engine.address.clone());
            self.leaving_since.remove(&name_and_address);
        }
    }

    /// Applies the load that an engine reported in a stream frame. Outside of a backoff this resets
    /// the count of failures.
    pub fn set_load(&mut self, key: Engine, load: wire::Load) {
        let now = self.clock.now();
        if let Some(engine) = self.engines.get_mut(key) {
            engine.set_load(load, now);
            if engine.is_out_of_backoff(now) {
                engine.failures = 0;
            }
        }
    }

    /// Records a failure of an engine, which then gets no new work during a backoff.
    pub fn set_failed(&mut self, key: Engine) {
        let now = self.clock.now();
        if let Some(engine) = self.engines.get_mut(key) {
            // When an engine fails, all of its streams break. They count as one failure.
            if engine.is_out_of_backoff(now) {
                engine.failures += 1;
                engine.failed_at = Some(now);
            }
            engine.cache.clear();
        }
    }

    /// Records that an engine did not answer a status request. It is chosen last until it reports
    /// again.
    pub fn set_unanswered(&mut self, key: Engine) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.unanswered_polls += 1;
        }
    }

    /// Records that an engine is leaving and takes no new work.
    pub fn set_leaving(&mut self, key: Engine) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.statuses_not_leaving = 0;
        if engine.is_leaving {
            return;
        }
        engine.is_leaving = true;
        let name_and_address = (engine.name.clone(), engine.address.clone());
        self.leaving_since
            .insert(name_and_address, self.clock.now());
        let model = engine.model.clone();
        // Another engine can replace it only if this host does not use all of them already.
        if self.listed_count(&model) > ENGINES_MAX {
            self.reselect();
        }
    }

    fn listed_count(&self, model: &str) -> usize {
        let domains = self.listed.get(model).into_iter().flatten();
        domains.map(|(_, members)| members.len()).sum()
    }

    /// Sets the maximum number of streams that this host may run on an engine.
    pub fn set_limit(&mut self, key: Engine, limit: u32) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.stream_limit = limit;
        }
    }

    /// Chooses an engine with a free slot.
    pub fn choose(&self, need: &Need) -> Option<Engine> {
        self.choose_with(need, SlotLimit::All)
    }

    /// Chooses an engine that new work may use within `limit`.
    pub fn choose_with(&self, need: &Need, limit: SlotLimit) -> Option<Engine> {
        let now = self.clock.now();
        let hosts_per_engine = self.hosts_per_engine(&need.model);
        let costs: Vec<_> = self
            .candidates(need, now)
            .filter(|(_, engine)| {
                engine.own_streams < limit.apply(engine.stream_limit)
                    && engine.expected_load() < limit.apply(engine.slots)
            })
            .map(|(key, engine)| (key, self.cost(engine, need, hosts_per_engine)))
            .collect();
        let lowest = costs.iter().map(|(_, cost)| *cost).min_by(f64::total_cmp)?;
        let equal: Vec<_> = costs
            .into_iter()
            .filter(|(_, cost)| *cost <= lowest + TIE_MS)
            .collect();
        let mut rng = self.rng.borrow_mut();
        let mut draw = || equal[rng.random_range(0..equal.len())];
        let (one, other) = (draw(), draw());
        let better = if other.1 < one.1 { other } else { one };
        Some(better.0)
    }

    /// Returns whether any engine could serve the request, now or once it has a free slot.
    pub fn has_candidate(&self, need: &Need) -> bool {
        self.candidates(need, self.clock.now()).next().is_some()
    }

    fn candidates(&self, need: &Need, now: Instant) -> impl Iterator<Item = (Engine, &State)> {
        let keys = self.by_model.get(&need.model).into_iter().flatten();
        let engines = keys.filter_map(|key| Some((*key, self.engines.get(*key)?)));
        engines.filter(move |(key, engine)| {
            engine.accepts_work(now) && engine.fits(need) && !need.excluded.contains(key)
        })
    }

    /// Returns the mean number of hosts that use an engine of `model`, and so probably send to it
    /// when this host does.
    fn hosts_per_engine(&self, model: &str) -> f64 {
        let engines = self.listed_count(model).max(1);
        let used = engines.min(ENGINES_MAX);
        (self.routers.len() as f64 * used as f64 / engines as f64).max(1.0)
    }

    /// Returns the expected delay in milliseconds of new work on an engine.
    fn cost(&self, engine: &State, need: &Need, hosts_per_engine: f64) -> f64 {
        let slots = f64::from(engine.slots.max(1));
        let reported = f64::from(engine.reported.running + engine.reported.queued);
        // All hosts get the same report and react alike, so each of them probably sent as many.
        let expected = reported + f64::from(engine.started_since_report) * hosts_per_engine;
        let expected = expected.max(f64::from(engine.own_streams));
        let queued = (expected - slots).max(0.0) / slots;
        let cached = f64::from(cached_tokens(engine.cached_blocks(&need.blocks)));
        let mut cost = OCCUPANCY_MS * (expected / slots).min(1.0) + QUEUE_MS * queued;
        cost += f64::from(engine.reported.step_us) / 1000.0;
        cost -= (cached * CACHED_TOKEN_MS).min(CACHED_MS_MAX);
        if engine.failure_domain != self.failure_domain {
            cost += OTHER_DOMAIN_MS;
        }
        if engine.unanswered_polls > 0 {
            cost += UNANSWERED_MS;
        }
        cost
    }

    /// Returns the slots of each failure domain in which this host uses engines.
    ///
    /// The capacity is an estimate: engines that this host does not use count with the mean slots
    /// of those that it uses.
    pub fn domains(&self) -> BTreeMap<CompactString, Domain> {
        let now = self.clock.now();
        let mut used: BTreeMap<&CompactString, (u32, u32)> = BTreeMap::new();
        for engine in self.engines.values().filter(|engine| engine.is_used) {
            let (count, slots) = used.entry(&engine.failure_domain).or_default();
            let is_live = engine.accepts_work(now)
                && !engine.version.is_empty()
                && engine.unanswered_polls < UNANSWERED_MAX;
            *count += 1;
            *slots += if is_live { engine.slots } else { 0 };
        }
        let listed = |domain: &CompactString| -> u32 {
            let models = self.listed.values();
            let members = models.filter_map(|domains| domains.get(domain));
            let staying = members
                .flat_map(BTreeMap::values)
                .filter(|member| !self.is_known_leaving(member));
            staying.count() as u32
        };
        let of_domain = |(domain, (count, slots)): (&CompactString, (u32, u32))| {
            let all = u64::from(slots) * u64::from(listed(domain).max(count));
            let capacity = (all / u64::from(count)) as u32;
            (domain.clone(), Domain { slots, capacity })
        };
        used.into_iter().map(of_domain).collect()
    }

    /// Returns the names of the live routers in the membership list.
    pub fn routers(&self) -> &BTreeSet<CompactString> {
        &self.routers
    }

    /// Records that this host starts a stream on an engine, which will cache the prompt's `blocks`.
    pub fn begin(&mut self, key: Engine, blocks: &[u64]) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.own_streams += 1;
            engine.started_since_report += 1;
            blocks.iter().for_each(|block| engine.cache.touch(*block));
        }
    }

    /// Records that a stream of this host on an engine ended.
    pub fn end(&mut self, key: Engine) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.own_streams = engine.own_streams.saturating_sub(1);
        if engine.own_streams == 0 && !engine.is_used {
            self.remove(key);
        }
    }
}

impl State {
    fn new(member: &wire::Member) -> Self {
        Self {
            name: member.name.clone(),
            address: member.address.clone(),
            failure_domain: member.failure_domain.clone(),
            model: member.service.clone(),
            version: CompactString::default(),
            slots: 1,
            reported: wire::Load::default(),
            reported_at: None,
            next_seq: 0,
            own_streams: 0,
            stream_limit: u32::MAX,
            started_since_report: 0,
            is_leaving: false,
            is_used: true,
            statuses_not_leaving: 0,
            unanswered_polls: 0,
            failures: 0,
            failed_at: None,
            cache: Cache::default(),
        }
    }

    fn accepts_work(&self, now: Instant) -> bool {
        !self.is_leaving && self.is_out_of_backoff(now)
    }

    fn is_out_of_backoff(&self, now: Instant) -> bool {
        let doubled = BACKOFF_INITIAL * 2_u32.pow(self.failures.saturating_sub(1).min(8));
        let backoff = doubled.min(BACKOFF_MAX);
        self.failed_at.is_none_or(|at| now >= at + backoff)
    }

    fn fits(&self, need: &Need) -> bool {
        self.model == need.model
            && !self.version.is_empty()
            && need
                .version
                .as_ref()
                .is_none_or(|version| *version == self.version)
    }

    /// Returns how many of the blocks, counted from the first up to a miss, are probably in the
    /// engine's prefix cache.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        self.cache.prefix_hits(blocks)
    }

    /// Returns the expected number of streams on the engine: those reported and those that this
    /// host started since.
    pub fn expected_load(&self) -> u32 {
        let reported = self.reported.running + self.reported.queued + self.started_since_report;
        reported.max(self.own_streams)
    }

    fn set_load(&mut self, load: wire::Load, now: Instant) {
        self.reported = load;
        self.reported_at = Some(now);
        self.started_since_report = 0;
        self.unanswered_polls = 0;
    }
}

/// Returns the prompt tokens that `cached` blocks cover.
pub fn cached_tokens(cached: usize) -> u32 {
    (cached * prefix::BLOCK_BYTES / prefix::BYTES_PER_TOKEN) as u32
}
