//! This host's view of the engines, and the choice among them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use slotmap::SlotMap;

use super::prefix;
use crate::clock::Clock;
use crate::wire;

slotmap::new_key_type! {
    /// Names an engine in this host's view.
    pub struct Engine;
}

/// Time for which an engine that failed gets no new work.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// Prefix blocks remembered for each engine.
const BLOCKS_PER_ENGINE: usize = 8192;

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
    avoid_until: Option<Instant>,
    blocks: BTreeSet<u64>,
    block_order: VecDeque<u64>,
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
    fn of(self, slots: u32) -> u32 {
        match self {
            Self::Spare => slots - slots / 16,
            Self::Free => slots,
            Self::Queue(more) => slots.saturating_add(more),
        }
    }
}

/// The engines known to this host.
#[derive(Debug)]
pub struct Fleet<C: Clock> {
    clock: C,
    failure_domain: CompactString,
    engines: SlotMap<Engine, State>,
    // Invariant: maps the name of each engine in `engines` to its key.
    names: BTreeMap<CompactString, Engine>,
}

impl<C: Clock> Fleet<C> {
    /// Creates an empty view of a host in `failure_domain`.
    pub fn new(clock: C, failure_domain: CompactString) -> Self {
        Self {
            clock,
            failure_domain,
            engines: SlotMap::with_key(),
            names: BTreeMap::new(),
        }
    }

    /// Takes over the engines of the membership list.
    pub fn set_members(&mut self, members: &[wire::Member]) {
        let listed = members
            .iter()
            .filter(|member| member.kind == wire::Kind::Engine);
        let listed: BTreeMap<_, _> = listed.map(|member| (&member.name, member)).collect();
        let gone: Vec<_> = self
            .names
            .iter()
            .filter(|(name, _)| !listed.contains_key(name))
            .map(|(name, key)| (name.clone(), *key))
            .collect();
        for (name, key) in gone {
            // Running streams of an unlisted engine go on; it only gets no new work.
            if self.engines[key].own > 0 {
                self.engines[key].leaving = true;
                continue;
            }
            self.engines.remove(key);
            self.names.remove(&name);
        }
        for member in listed.values() {
            self.set_member(member);
        }
    }

    fn set_member(&mut self, member: &wire::Member) {
        if let Some(key) = self.names.get(&member.name) {
            let engine = &mut self.engines[*key];
            if engine.address == member.address {
                engine.leaving |= member.state == wire::Listing::Leaving;
                return;
            }
            // Another address means another incarnation, with a cold cache.
            self.engines.remove(*key);
        }
        let key = self.engines.insert(State {
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
            leaving: member.state == wire::Listing::Leaving,
            avoid_until: None,
            blocks: BTreeSet::new(),
            block_order: VecDeque::new(),
        });
        self.names.insert(member.name.clone(), key);
    }

    /// Returns an engine's state, if it is still known.
    pub fn get(&self, engine: Engine) -> Option<&State> {
        self.engines.get(engine)
    }

    /// Returns all engines.
    pub fn iter(&self) -> impl Iterator<Item = (Engine, &State)> {
        self.engines.iter()
    }

    /// Takes over an engine's status.
    pub fn set_status(&mut self, key: Engine, status: &wire::Status) {
        let now = self.clock.now();
        let Some(engine) = self.engines.get_mut(key) else {
            return;
        };
        if let Some(model) = status.models.first() {
            if engine.version != model.version {
                engine.forget_blocks();
            }
            engine.model = model.model.clone();
            engine.version = model.version.clone();
        }
        engine.slots = status.slots;
        engine.leaving |= status.leaving;
        engine.avoid_until = None;
        for event in &status.events {
            engine.set_block(event.block, event.stored);
        }
        engine.next_seq = status.next_seq;
        engine.set_load(status.load, now);
    }

    /// Takes over the load that a stream carried.
    pub fn set_load(&mut self, key: Engine, load: wire::Load) {
        let now = self.clock.now();
        if let Some(engine) = self.engines.get_mut(key) {
            engine.set_load(load, now);
        }
    }

    /// Notes that an engine failed, so that it gets no new work for a while.
    pub fn set_failed(&mut self, key: Engine) {
        let until = self.clock.now() + FAILURE_BACKOFF;
        if let Some(engine) = self.engines.get_mut(key) {
            engine.avoid_until = Some(until);
            engine.forget_blocks();
        }
    }

    /// Notes that an engine takes no new work.
    pub fn set_leaving(&mut self, key: Engine) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.leaving = true;
        }
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
        let usable = self.engines.iter().filter(|(key, engine)| {
            engine.takes_work(now)
                && engine.fits(need)
                && !need.excluded.contains(key)
                && engine.own < room.of(engine.limit)
                && engine.expected_load() < room.of(engine.slots)
        });
        let score = |engine: &State| {
            let cached = engine.cached_blocks(&need.blocks) as f64;
            let occupied = f64::from(engine.expected_load()) / f64::from(engine.slots.max(1));
            let is_near = engine.failure_domain == self.failure_domain;
            cached / need.blocks.len().max(1) as f64 - 2.0 * occupied
                + if is_near { 0.1 } else { 0.0 }
        };
        usable
            .max_by(|(_, a), (_, b)| score(a).total_cmp(&score(b)))
            .map(|(key, _)| key)
    }

    /// Returns whether any engine could serve the request now or once it has a free place.
    pub fn has_any(&self, need: &Need) -> bool {
        let now = self.clock.now();
        self.engines
            .values()
            .any(|engine| engine.takes_work(now) && engine.fits(need))
    }

    /// Notes that this host starts a stream on an engine.
    pub fn begin(&mut self, key: Engine, blocks: &[u64]) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.own += 1;
            engine.own_since_report += 1;
            for block in blocks {
                engine.set_block(*block, true);
            }
        }
    }

    /// Notes that a stream of this host ended.
    pub fn end(&mut self, key: Engine) {
        if let Some(engine) = self.engines.get_mut(key) {
            engine.own = engine.own.saturating_sub(1);
        }
    }
}

impl State {
    fn takes_work(&self, now: Instant) -> bool {
        !self.leaving && self.avoid_until.is_none_or(|until| until <= now)
    }

    fn fits(&self, need: &Need) -> bool {
        self.model == need.model
            && !self.version.is_empty()
            && need
                .version
                .as_ref()
                .is_none_or(|version| *version == self.version)
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
    }

    /// Returns how many of the blocks, from the first on, are in the engine's cache.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.blocks.contains(block))
            .count()
    }

    fn set_block(&mut self, block: u64, stored: bool) {
        if !stored {
            self.blocks.remove(&block);
            return;
        }
        if self.blocks.insert(block) {
            self.block_order.push_back(block);
        }
        while self.block_order.len() > BLOCKS_PER_ENGINE {
            if let Some(oldest) = self.block_order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    fn forget_blocks(&mut self) {
        self.blocks.clear();
        self.block_order.clear();
    }
}

/// Returns the prompt tokens that `cached` blocks cover.
pub fn cached_tokens(cached: usize) -> u32 {
    (cached * prefix::BLOCK_BYTES / prefix::BYTES_PER_TOKEN) as u32
}
