//! This host's view of the engines, and the choice among them.

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
    /// Names an engine in this host's view.
    pub struct Engine;
}

/// Time for which an engine gets no new work after its first failure; doubled by each further one.
const BACKOFF_MIN: Duration = Duration::from_secs(2);

/// Longest time for which an engine gets no new work after a failure.
const BACKOFF_MAX: Duration = Duration::from_secs(30);

/// Time after a first failure from which an answered status ends the backoff.
const BACKOFF_FLOOR: Duration = Duration::from_millis(500);

/// Time for which an engine that said that it leaves is not taken up again from the list. It may
/// restart under the same address before the list drops it.
const LEFT_FOR: Duration = Duration::from_secs(30);

/// Statuses in a row that must deny leaving before a restarted engine gets work again. One may have
/// been on its way when the engine started to leave.
const STATUSES_TO_RETURN: u32 = 2;

/// Unanswered status requests in a row after which an engine counts as no capacity. One may be lost
/// because this host was paused.
const MISSES_MAX: u32 = 2;

// The terms of an engine's cost in milliseconds of expected delay.

/// Cost of a full batch in comparison to an empty one.
const OCCUPANCY_MS: f64 = 400.0;

/// Cost of each batch of requests that waits before a new one.
const QUEUE_MS: f64 = 2000.0;

/// Worth of a cached prompt token, which saves the time to prefill it and the delay that this
/// means for the streams in the batch.
const CACHED_TOKEN_MS: f64 = 0.1;

/// Greatest worth of a cached prefix. It equals 30% of occupancy, so a preamble too hot for one
/// engine spreads to others before the first is full.
const CACHED_MS_MAX: f64 = 120.0;

/// Cost of an engine in another failure domain.
const FAR_MS: f64 = 15.0;

/// Cost of an engine that is used only if no other one takes the work.
const UNRESPONSIVE_MS: f64 = 1e6;

/// Engines whose cost is within this of the lowest are equal, and two of them are drawn.
const TIE_MS: f64 = 30.0;

/// What the view holds about an engine.
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
    /// Loaded version, empty while not known.
    pub version: CompactString,
    /// Greatest number of streams in the batch.
    pub slots: u32,
    /// Load as reported last.
    pub reported: wire::Load,
    /// When the report arrived.
    pub reported_at: Option<Instant>,
    /// Next cache event to ask for.
    pub next_seq: u64,
    /// Streams that this host runs there.
    pub own: u32,
    /// Streams that this host may run there.
    pub limit: u32,
    /// Streams that this host started there since the last report.
    pub own_since_report: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    // Whether it is one of the engines that this host uses; others only finish their streams.
    used: bool,
    // Statuses in a row that denied leaving.
    denials: u32,
    // Status requests in a row without an answer.
    misses: u32,
    failures: u32,
    failed_at: Option<Instant>,
    cache: Cache,
}

/// What a request needs of an engine.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Model name.
    pub model: CompactString,
    /// Version, if the generation is bound to one.
    pub version: Option<CompactString>,
    /// Prefix blocks of the prompt.
    pub blocks: Vec<u64>,
    /// Engines that must not be used.
    pub excluded: Vec<Engine>,
}

/// How many of an engine's places new work may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// All but one in sixteen.
    Spare,
    /// All.
    Free,
    /// All, and so many more may wait in the engine's own queue.
    Queue(u32),
}

impl Room {
    /// Returns how many of `places` may be taken.
    pub fn of(self, places: u32) -> u32 {
        match self {
            Self::Spare => places - places / 16,
            Self::Free => places,
            Self::Queue(more) => places.saturating_add(more),
        }
    }
}

/// A failure domain that a host uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Domain {
    /// Places of the live engines that the host uses.
    pub slots: u32,
    /// Places of all live engines, as far as the host can tell.
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
    // Names and addresses of engines that said that they leave, while the list still shows them.
    left: BTreeMap<(CompactString, CompactString), Instant>,
    routers: BTreeSet<CompactString>,
    engines: SlotMap<Engine, State>,
    // Invariant: maps the name of each engine in `engines` to its key.
    names: BTreeMap<CompactString, Engine>,
    // Invariant: holds the used engines of `engines` by the model that they serve.
    by_model: BTreeMap<CompactString, Vec<Engine>>,
    // Draws do not change what is known, so `choose` takes a shared reference.
    draws: RefCell<StdRng>,
}

impl<C: Clock> Fleet<C> {
    /// Creates an empty view of a host in `failure_domain`.
    pub fn new(clock: C, failure_domain: CompactString) -> Self {
        Self {
            clock,
            host: CompactString::default(),
            failure_domain,
            listed: BTreeMap::new(),
            left: BTreeMap::new(),
            routers: BTreeSet::new(),
            engines: SlotMap::with_key(),
            names: BTreeMap::new(),
            by_model: BTreeMap::new(),
            draws: RefCell::new(StdRng::seed_from_u64(0)),
        }
    }

    /// Sets the host's name, which seeds the draws and decides which engines of many it uses.
    #[must_use]
    pub fn with_host(mut self, host: CompactString) -> Self {
        self.draws = RefCell::new(StdRng::seed_from_u64(hash64(&[host.as_bytes()])));
        self.host = host;
        self
    }

    /// Takes over the engines of the membership list.
    pub fn set_members(&mut self, members: &[wire::Member]) {
        self.listed.clear();
        let live = |member: &&wire::Member| member.state == wire::Listing::Live;
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

    /// Chooses anew which of the listed engines this host uses.
    fn reselect(&mut self) {
        let now = self.clock.now();
        self.left.retain(|_, at| now.duration_since(*at) < LEFT_FOR);
        let mut chosen: BTreeMap<CompactString, wire::Member> = BTreeMap::new();
        for domains in self.listed.values() {
            let names = domains.iter().map(|(domain, members)| {
                let staying = members.values().filter(|member| !self.has_left(member));
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
            engine.used = listed.is_some_and(|member| member.address == engine.address);
            // Running streams of an engine that is not used any more go on. Another address means
            // another incarnation, with a cold cache.
            if !engine.used && (engine.own == 0 || listed.is_some()) {
                self.remove(key);
            }
        }
        for member in chosen.values() {
            if !self.names.contains_key(&member.name) {
                let key = self.engines.insert(State::new(member));
                self.names.insert(member.name.clone(), key);
            }
        }
        self.index();
    }

    fn has_left(&self, member: &wire::Member) -> bool {
        let incarnation = (member.name.clone(), member.address.clone());
        self.left.contains_key(&incarnation)
    }

    fn remove(&mut self, key: Engine) {
        if let Some(engine) = self.engines.remove(key) {
            self.names.remove(&engine.name);
        }
    }

    fn index(&mut self) {
        self.by_model.clear();
        for (key, engine) in self.engines.iter().filter(|(_, engine)| engine.used) {
            let keys = self.by_model.entry(engine.model.clone()).or_default();
            keys.push(key);
        }
    }

    /// Returns an engine's state, if it is still known.
    pub fn get(&self, engine: Engine) -> Option<&State> {
        self.engines.get(engine)
    }

    /// Returns the engines that this host uses, and those where it still has streams.
    pub fn iter(&self) -> impl Iterator<Item = (Engine, &State)> {
        self.engines.iter()
    }

    /// Takes over an engine's status.
    pub fn set_status(&mut self, key: Engine, status: &wire::Status) {
        let now = self.clock.now();
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        let mut serves_another = false;
        if let Some(model) = status.models.first() {
            if engine.version != model.version {
                engine.cache.clear();
            }
            serves_another = engine.model != model.model;
            engine.model = model.model.clone();
            engine.version = model.version.clone();
        }
        engine.slots = status.slots;
        engine.cache.apply(&status.events, status.next_seq);
        engine.next_seq = status.next_seq;
        let may_forgive = engine
            .failed_at
            .is_some_and(|at| now.duration_since(at) >= BACKOFF_FLOOR);
        if engine.failures == 1 && may_forgive {
            engine.failed_at = None;
        }
        engine.set_load(status.load, now);
        if serves_another {
            self.index();
        }
        match status.leaving {
            true => self.set_leaving(key),
            false => self.set_staying(key),
        }
    }

    fn set_staying(&mut self, key: Engine) {
        let engine = &mut self.engines[key];
        engine.denials += 1;
        if engine.leaving && engine.denials >= STATUSES_TO_RETURN {
            engine.leaving = false;
            engine.cache.clear();
            let incarnation = (engine.name.clone(), engine.address.clone());
            self.left.remove(&incarnation);
        }
    }

    /// Takes over the load that a stream carried.
    pub fn set_load(&mut self, key: Engine, load: wire::Load) {
        let now = self.clock.now();
        if let Some(engine) = self.engines.get_mut(key) {
            engine.set_load(load, now);
            if engine.is_out_of_backoff(now) {
                engine.failures = 0;
            }
        }
    }

    /// Notes that an engine failed, so that it gets no new work for a while.
    pub fn set_failed(&mut self, key: Engine) {
        let now = self.clock.now();
        if let Some(engine) = self.engines.get_mut(key) {
            // The streams of one engine break together and count as one failure.
            if engine.is_out_of_backoff(now) {
                engine.failures += 1;
                engine.failed_at = Some(now);
            }
            engine.cache.clear();
        }
    }

    /// Notes that an engine did not answer a status request, so that it is used last until it is
    /// heard again.
    pub fn set_unanswered(&mut self, key: Engine) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.misses += 1;
        }
    }

    /// Notes that an engine takes no new work.
    pub fn set_leaving(&mut self, key: Engine) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.denials = 0;
        if engine.leaving {
            return;
        }
        engine.leaving = true;
        let incarnation = (engine.name.clone(), engine.address.clone());
        self.left.insert(incarnation, self.clock.now());
        let model = engine.model.clone();
        // Another engine takes its place only if this host does not use all of them anyway.
        if self.listed_count(&model) > ENGINES_MAX {
            self.reselect();
        }
    }

    fn listed_count(&self, model: &str) -> usize {
        let domains = self.listed.get(model).into_iter().flatten();
        domains.map(|(_, members)| members.len()).sum()
    }

    /// Bounds the streams that this host runs on an engine.
    pub fn set_limit(&mut self, key: Engine, limit: u32) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.limit = limit;
        }
    }

    /// Chooses an engine with a free place.
    pub fn choose(&self, need: &Need) -> Option<Engine> {
        self.choose_with(need, Room::Free)
    }

    /// Chooses an engine that has room for new work.
    pub fn choose_with(&self, need: &Need, room: Room) -> Option<Engine> {
        let now = self.clock.now();
        let hosts_per_engine = self.hosts_per_engine(&need.model);
        let costs: Vec<_> = self
            .candidates(need, now)
            .filter(|(_, engine)| {
                engine.own < room.of(engine.limit) && engine.expected_load() < room.of(engine.slots)
            })
            .map(|(key, engine)| (key, self.cost(engine, need, hosts_per_engine)))
            .collect();
        let lowest = costs.iter().map(|(_, cost)| *cost).min_by(f64::total_cmp)?;
        let equal: Vec<_> = costs
            .into_iter()
            .filter(|(_, cost)| *cost <= lowest + TIE_MS)
            .collect();
        let mut draws = self.draws.borrow_mut();
        let mut draw = || equal[draws.random_range(0..equal.len())];
        let (one, other) = (draw(), draw());
        let better = if other.1 < one.1 { other } else { one };
        Some(better.0)
    }

    /// Returns whether any engine could serve the request now or once it has a free place.
    pub fn has_any(&self, need: &Need) -> bool {
        self.candidates(need, self.clock.now()).next().is_some()
    }

    fn candidates(&self, need: &Need, now: Instant) -> impl Iterator<Item = (Engine, &State)> {
        let keys = self.by_model.get(&need.model).into_iter().flatten();
        let engines = keys.filter_map(|key| Some((*key, self.engines.get(*key)?)));
        engines.filter(move |(key, engine)| {
            engine.takes_work(now) && engine.fits(need) && !need.excluded.contains(key)
        })
    }

    /// Returns how many hosts use an engine of a model, which is how many send when this one does.
    fn hosts_per_engine(&self, model: &str) -> f64 {
        let engines = self.listed_count(model).max(1);
        let used = engines.min(ENGINES_MAX);
        (self.routers.len() as f64 * used as f64 / engines as f64).max(1.0)
    }

    /// Returns the expected delay in milliseconds of new work on an engine.
    fn cost(&self, engine: &State, need: &Need, hosts_per_engine: f64) -> f64 {
        let slots = f64::from(engine.slots.max(1));
        let reported = f64::from(engine.reported.running + engine.reported.queued);
        // All hosts saw the same report and act on it alike.
        let expected = reported + f64::from(engine.own_since_report) * hosts_per_engine;
        let expected = expected.max(f64::from(engine.own));
        let queued = (expected - slots).max(0.0) / slots;
        let cached = f64::from(cached_tokens(engine.cached_blocks(&need.blocks)));
        let mut cost = OCCUPANCY_MS * (expected / slots).min(1.0) + QUEUE_MS * queued;
        cost += f64::from(engine.reported.step_us) / 1000.0;
        cost -= (cached * CACHED_TOKEN_MS).min(CACHED_MS_MAX);
        if engine.failure_domain != self.failure_domain {
            cost += FAR_MS;
        }
        if engine.misses > 0 {
            cost += UNRESPONSIVE_MS;
        }
        cost
    }

    /// Returns the failure domains that this host uses.
    ///
    /// Engines that it does not use count with the mean of those that it uses.
    pub fn domains(&self) -> BTreeMap<CompactString, Domain> {
        let now = self.clock.now();
        let mut used: BTreeMap<&CompactString, (u32, u32)> = BTreeMap::new();
        for engine in self.engines.values().filter(|engine| engine.used) {
            let (count, slots) = used.entry(&engine.failure_domain).or_default();
            let is_live =
                engine.takes_work(now) && !engine.version.is_empty() && engine.misses < MISSES_MAX;
            *count += 1;
            *slots += if is_live { engine.slots } else { 0 };
        }
        let listed = |domain: &CompactString| -> u32 {
            let models = self.listed.values();
            let members = models.filter_map(|domains| domains.get(domain));
            let staying = members
                .flat_map(BTreeMap::values)
                .filter(|member| !self.has_left(member));
            staying.count() as u32
        };
        let of_domain = |(domain, (count, slots)): (&CompactString, (u32, u32))| {
            let all = u64::from(slots) * u64::from(listed(domain).max(count));
            let capacity = (all / u64::from(count)) as u32;
            (domain.clone(), Domain { slots, capacity })
        };
        used.into_iter().map(of_domain).collect()
    }

    /// Returns the live routers of the platform's list.
    pub fn routers(&self) -> &BTreeSet<CompactString> {
        &self.routers
    }

    /// Notes that this host starts a stream on an engine.
    pub fn begin(&mut self, key: Engine, blocks: &[u64]) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.own += 1;
            engine.own_since_report += 1;
            blocks.iter().for_each(|block| engine.cache.touch(*block));
        }
    }

    /// Notes that a stream of this host ended.
    pub fn end(&mut self, key: Engine) {
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        engine.own = engine.own.saturating_sub(1);
        if engine.own == 0 && !engine.used {
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
            own: 0,
            limit: u32::MAX,
            own_since_report: 0,
            leaving: false,
            used: true,
            denials: 0,
            misses: 0,
            failures: 0,
            failed_at: None,
            cache: Cache::default(),
        }
    }

    fn takes_work(&self, now: Instant) -> bool {
        !self.leaving && self.is_out_of_backoff(now)
    }

    fn is_out_of_backoff(&self, now: Instant) -> bool {
        let doubled = BACKOFF_MIN * 2_u32.pow(self.failures.saturating_sub(1).min(8));
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

    /// Returns how many of the blocks, from the first on, are believed to be in the engine's cache.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        self.cache.count(blocks)
    }

    /// Returns the streams expected there: those reported and those sent since.
    pub fn expected_load(&self) -> u32 {
        let reported = self.reported.running + self.reported.queued + self.own_since_report;
        reported.max(self.own)
    }

    fn set_load(&mut self, load: wire::Load, now: Instant) {
        self.reported = load;
        self.reported_at = Some(now);
        self.own_since_report = 0;
        self.misses = 0;
    }
}

/// Returns the prompt tokens that `cached` blocks cover.
pub fn cached_tokens(cached: usize) -> u32 {
    (cached * prefix::BLOCK_BYTES / prefix::BYTES_PER_TOKEN) as u32
}
