//! Registered engines and what this host knows of each: its registration, load and health.
//!
//! Engines register themselves in the store. Their load is what this host runs on them, and what
//! the other hosts report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use super::departed::Departed;
use super::held::{self, Held, Sightings};
use super::history::{Changes, History, Lapse};
use super::load::{EngineHash, Load};
use super::losses::Losses;
use super::placing::Policy;
use super::removals::Removals;
use super::reports::Reports;
use super::rotation::Rotation;
use super::speed::Readings;
use crate::clock::Clock;
use crate::supervisor::Signal;
use crate::util::hash64;

mod choice;
mod estimate;
mod health;
mod hold;
mod leaving;
mod usage;

pub use choice::{Need, Versions};
pub use estimate::Estimate;
pub use hold::HOLD_MAX;
use hold::Holds;
use leaving::Leaving;

/// Time after an outage of the store for which entries that it no longer lists stay in use. Entries
/// that lapsed during the outage are renewed in this time.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Time for which an engine that could not be reached is tried last, and one that is lost not at
/// all. A restart takes about as long, and gives the engine another id or start time.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1500);

/// Time for which a failed response adds to the cost of an engine.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);

new_key_type! {
    /// Key of an engine or backend server in a [`Registry`]. A restarted one gets another key.
    pub struct Engine;
}

/// Entry of an engine or backend server, as it registers itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Id. Most engines get another one with each start, but not all; see `started_ms`.
    pub id: CompactString,
    /// Service that the engine belongs to.
    pub service: CompactString,
    /// Address, `IP:PORT`.
    pub address: CompactString,
    /// Failure domain.
    pub failure_domain: CompactString,
    /// Maximum number of requests that the engine runs at once.
    pub slots: u32,
    /// Whether the engine takes no new work.
    pub is_draining: bool,
    /// Start time in Unix milliseconds. Another value under the same id means a restart.
    pub started_ms: u64,
    /// Version of the engine's software, empty if it is not known.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub version: CompactString,
}

/// One start of an engine. Stays the same when its entry is removed and comes back.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Incarnation {
    id_hash: u64,
    started_ms: u64,
}

impl Incarnation {
    fn of(registration: &Registration) -> Self {
        Self {
            id_hash: hash64(&[registration.id.as_bytes()]),
            started_ms: registration.started_ms,
        }
    }
}

/// State of one engine, as this host knows it.
#[derive(Clone, Debug)]
pub struct State {
    /// The engine's registration.
    pub registration: Registration,
    // Invariant: that of the registration.
    incarnation: Incarnation,
    /// Load that this host causes.
    pub own_load: Load,
    // Load that the other hosts cause, by their last reports.
    peer_load: Load,
    // What this host saw the engine read.
    own_readings: Readings,
    // Beginnings of prompts that the engine probably holds.
    held: Held,
    // Since when this host knows this start of the engine.
    known_since: Instant,
    // When the entry expires, if the store no longer lists it.
    expires_at: Option<Instant>,
    // Whether it was draining when the era of the store changed, and has not written its entry since.
    has_drained_before_era: bool,
    unreachable_until: Option<Instant>,
    // When the engine was last lost or unreachable, unless it has answered since.
    lost_at: Option<Instant>,
    // Times of recent failed responses.
    failures: Vec<Instant>,
    /// Set when the engine is lost, which ends the attempts that run on it.
    pub lost: Signal,
    // When received bytes or a connection last showed that the engine is alive, or when its last
    // check began.
    checked_at: Instant,
    is_checking: bool,
    // When received bytes or a connection last showed that the engine is alive.
    alive_at: Option<Instant>,
    // Set while other hosts have just lost several engines of its failure domain.
    doubted_until: Option<Instant>,
    // Whether several engines of its failure domain were lost, and neither received bytes nor a
    // connection have shown since that this one is alive.
    needs_check: bool,
    // Order among equal servers of a service without prompts. Differs between hosts, so that they do
    // not all choose the same one.
    tie_break: u64,
}

/// All known engines.
#[derive(Debug)]
pub struct Registry<C: Clock> {
    clock: C,
    host: CompactString,
    failure_domain: CompactString,
    engines: SlotMap<Engine, State>,
    // Invariant: holds the engines that the store lists, or that lapsed less than LAPSE_GRACE ago.
    // Others are kept in `engines` only while this host runs requests on them.
    by_id: BTreeMap<CompactString, Engine>,
    // Invariant: holds the engines of `by_id`.
    by_hash: BTreeMap<EngineHash, Engine>,
    // Changes of `by_id` and of the registrations in it.
    history: History,
    departed: Departed,
    removals: Removals,
    // Time up to which all changes in the store are known.
    confirmed_at: Option<Instant>,
    // Recently lost engines, with their failure domains.
    domain_losses: Vec<(Instant, Engine, CompactString)>,
    losses: Losses,
    // Order in which failure domains were lost.
    rotation: Rotation,
    leaving: Leaving,
    holds: Holds,
    // Invariant: the `peer_load` of each engine in `by_hash` is the sum of its usages in these
    // reports.
    reports: Reports,
    own_load_version: u64,
    policy: Policy,
    // Beginnings of prompts that this host saw engines read, and those of all hosts that report to it.
    own_sightings: Sightings,
    joint_sightings: Sightings,
}

impl<C: Clock> Registry<C> {
    /// Creates an empty registry for `host` in `failure_domain`.
    pub fn new(clock: C, host: CompactString, failure_domain: CompactString) -> Self {
        Self {
            clock,
            host,
            failure_domain,
            engines: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            by_hash: BTreeMap::new(),
            history: History::default(),
            departed: Departed::default(),
            removals: Removals::default(),
            confirmed_at: None,
            domain_losses: Vec::new(),
            losses: Losses::default(),
            rotation: Rotation::default(),
            leaving: Leaving::default(),
            holds: Holds::default(),
            reports: Reports::default(),
            own_load_version: 0,
            policy: Policy::default(),
            own_sightings: Sightings::new(held::REPORTED_MAX),
            joint_sightings: Sightings::new(held::SUMMARIZED_MAX),
        }
    }

    /// Sets how requests with a prompt are placed.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Begins a new era of the store, which came back from an older copy: engines that were removed so far
    /// may be listed again.
    pub fn begin_era(&mut self) {
        self.departed.begin_era(self.clock.now());
        self.removals.clear();
        for key in self.by_id.values() {
            let state = &mut self.engines[*key];
            state.has_drained_before_era = state.registration.is_draining;
        }
    }

    /// Applies a listing of all registrations. Engines that it does not list are removed, after an
    /// outage of the store only once `LAPSE_GRACE` has passed. One that was draining has left.
    pub fn replace(&mut self, listed: Vec<Registration>, is_after_outage: bool) {
        let listed = self.without_departed(listed);
        let mut missing = self.ids_missing_in(&listed);
        // Those that lapse were missing in an earlier list too.
        missing.retain(|id| self.engines[self.by_id[id]].expires_at.is_none());
        self.drop_missing(&missing, is_after_outage);
        for registration in listed {
            self.insert_listed(registration);
        }
    }

    /// Adds or updates a registration that a list shows. An older copy of the store may show an engine that
    /// drains as it was before; it stays draining until it writes its entry in the current era.
    fn insert_listed(&mut self, mut registration: Registration) {
        let incarnation = Incarnation::of(&registration);
        let id = registration.id.clone();
        let known = self.by_id.get(&id).map(|key| &self.engines[*key]);
        let stays_draining = known
            .is_some_and(|known| known.has_drained_before_era && known.incarnation == incarnation);
        registration.is_draining |= stays_draining;
        self.insert(registration);
        if let Some(key) = self.by_id.get(&id) {
            self.engines[*key].has_drained_before_era = stays_draining;
        }
    }

    /// Returns the listed engines without those that were removed in an earlier era.
    fn without_departed(&mut self, mut listed: Vec<Registration>) -> Vec<Registration> {
        let now = self.clock.now();
        let ids: BTreeSet<_> = listed.iter().map(|listed| listed.id.clone()).collect();
        self.departed.retain_listed(|id| ids.contains(id));
        listed.retain(|registration| !self.departed.withhold(registration, now));
        listed
    }

    /// Removes engines that are no longer listed, those that may be listed again only once
    /// `LAPSE_GRACE` has passed.
    fn drop_missing(&mut self, missing: &[CompactString], may_return: bool) {
        let expires_at = self.clock.now() + LAPSE_GRACE;
        for id in missing {
            let is_draining = self.engines[self.by_id[id]].registration.is_draining;
            match may_return && !is_draining {
                true => self.begin_lapse(id, expires_at),
                false => self.remove(id),
            }
        }
    }

    fn ids_missing_in(&self, listed: &[Registration]) -> Vec<CompactString> {
        let listed: BTreeSet<_> = listed.iter().map(|registration| &registration.id).collect();
        let missing = self.by_id.keys().filter(|id| !listed.contains(id));
        missing.cloned().collect()
    }

    /// Limits the use of an engine that the store no longer lists; one that is not known is not
    /// added.
    fn begin_lapse(&mut self, id: &CompactString, expires_at: Instant) {
        let Some(key) = self.by_id.get(id) else {
            return;
        };
        let known = &mut self.engines[*key].expires_at;
        match known {
            Some(known) => *known = expires_at.min(*known),
            None => {
                *known = Some(expires_at);
                self.history.push(id.clone());
            }
        }
    }

    /// Adds or updates one registration. That of a restarted engine replaces the earlier one.
    pub fn insert(&mut self, registration: Registration) {
        self.departed.readmit(&registration);
        self.removals.cancel(EngineHash::of(&registration.id));
        if let Some(key) = self.by_id.get(&registration.id) {
            let known = &mut self.engines[*key];
            let is_same = known.registration.started_ms == registration.started_ms
                && known.registration.address == registration.address;
            if is_same {
                let was_lapsing = known.expires_at.take().is_some();
                known.has_drained_before_era = false;
                if was_lapsing || known.registration != registration {
                    known.registration = registration.clone();
                    self.history.push(registration.id);
                }
                return;
            }
            let id = registration.id.clone();
            self.remove(&id);
        }
        self.remove_older_at_address(&registration);
        let id = registration.id.clone();
        let key = self.engines.insert(State {
            tie_break: hash64(&[self.host.as_bytes(), id.as_bytes()]),
            peer_load: self.reports.load(EngineHash::of(&id)),
            incarnation: Incarnation::of(&registration),
            registration,
            own_load: Load::default(),
            own_readings: Readings::default(),
            held: Held::default(),
            known_since: self.clock.now(),
            expires_at: None,
            has_drained_before_era: false,
            unreachable_until: None,
            lost_at: None,
            failures: Vec::new(),
            lost: Signal::default(),
            checked_at: self.clock.now(),
            is_checking: false,
            alive_at: None,
            doubted_until: None,
            needs_check: false,
        });
        self.by_hash.insert(EngineHash::of(&id), key);
        self.by_id.insert(id.clone(), key);
        self.history.push(id);
    }

    /// Returns the number of the last change of a registration, 0 if there was none.
    pub fn last_change(&self) -> u64 {
        self.history.last()
    }

    /// Returns the changes after change number `from`, or all registrations if `from` is `None` or
    /// these changes are no longer kept.
    pub fn changes_since(&self, from: Option<u64>) -> Changes {
        let Some(ids) = from.and_then(|from| self.history.since(from)) else {
            return Changes {
                at: self.last_change(),
                is_whole: true,
                registered: self.registrations(),
                lapsing: self.lapses(self.by_id.values()),
                gone: Vec::new(),
            };
        };
        let (known, gone): (Vec<_>, Vec<_>) =
            ids.into_iter().partition(|id| self.by_id.contains_key(*id));
        let known: Vec<_> = known.iter().map(|id| &self.by_id[*id]).collect();
        Changes {
            at: self.last_change(),
            is_whole: false,
            registered: self.listed(known.iter().copied()),
            lapsing: self.lapses(known.iter().copied()),
            gone: gone.into_iter().cloned().collect(),
        }
    }

    /// Returns the registrations of those of `engines` that the store lists.
    fn listed<'a>(&self, engines: impl Iterator<Item = &'a Engine>) -> Vec<Registration> {
        let states = engines.map(|key| &self.engines[*key]);
        let listed = states.filter(|state| state.expires_at.is_none());
        listed.map(|state| state.registration.clone()).collect()
    }

    /// Returns those of `engines` that the store no longer lists.
    fn lapses<'a>(&self, engines: impl Iterator<Item = &'a Engine>) -> Vec<Lapse> {
        let now = self.clock.now();
        let states = engines.map(|key| &self.engines[*key]);
        let lapses = states.filter_map(|state| {
            let left = state.expires_at?.saturating_duration_since(now);
            Some(Lapse {
                id: state.registration.id.clone(),
                left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            })
        });
        lapses.collect()
    }

    /// Applies changes that were read from another host. Engines that a whole list lacks are removed,
    /// in a new era of the store only once `LAPSE_GRACE` has passed.
    pub fn apply_changes(&mut self, mut changes: Changes, is_new_era: bool) {
        let now = self.clock.now();
        for lapse in &changes.lapsing {
            let left = Duration::from_millis(lapse.left_ms).min(LAPSE_GRACE);
            self.begin_lapse(&lapse.id, now + left);
        }
        if changes.is_whole {
            changes.registered = self.without_departed(changes.registered);
            let mut missing = self.ids_missing_in(&changes.registered);
            missing.retain(|id| !changes.lapsing.iter().any(|lapse| lapse.id == *id));
            self.drop_missing(&missing, is_new_era);
        }
        changes.gone.iter().for_each(|id| self.remove(id));
        for registration in changes.registered {
            match changes.is_whole {
                true => self.insert_listed(registration),
                false => self.insert(registration),
            }
        }
    }

    /// Removes engines whose entries lapsed during an outage of the store and were not renewed in
    /// time, and uses those again that an older copy of the store has listed for long enough.
    pub fn expire_lapsed(&mut self) {
        let now = self.clock.now();
        let due = self.confirmed_at.map(|at| self.departed.take_due(at));
        for registration in due.unwrap_or_default() {
            if !self.by_id.contains_key(&registration.id) {
                self.insert(registration);
            }
        }
        let is_expired = |key: &Engine| self.engines[*key].expires_at.is_some_and(|at| at <= now);
        let expired = self.by_id.values().copied().filter(is_expired);
        let expired: Vec<_> = expired.collect();
        expired.into_iter().for_each(|key| self.end_lapse(key));
    }

    /// Removes an engine at the end of its lapse.
    fn end_lapse(&mut self, key: Engine) {
        let state = &self.engines[key];
        let was_confirmed = self.confirmed_at >= state.expires_at;
        let registration = state.registration.clone();
        self.remove(&registration.id);
        if !was_confirmed {
            // The store has not answered since, so the engine may have written its entry again.
            self.departed.readmit(&registration);
        }
    }

    /// Removes an engine that has the address of a newly registered one but started earlier. It no
    /// longer runs, and its entry has not lapsed yet.
    fn remove_older_at_address(&mut self, newer: &Registration) {
        let is_older = |state: &State| {
            state.registration.address == newer.address
                && state.registration.started_ms < newer.started_ms
        };
        let older = self
            .by_id
            .iter()
            .find(|(_, key)| is_older(&self.engines[**key]));
        if let Some((id, key)) = older.map(|(id, key)| (id.clone(), *key)) {
            self.engines[key].lost.set();
            self.remove(&id);
        }
    }

    /// Removes an engine as a change in the store tells, which other hosts hear of.
    pub fn apply_removal(&mut self, id: &str) {
        self.removals.record(EngineHash::of(id), self.clock.now());
        self.remove(id);
    }

    /// Returns the engines whose removal the store told this host a moment ago.
    pub fn recent_removals(&self) -> Vec<EngineHash> {
        self.removals.to_report(self.clock.now())
    }

    /// Ends the lapse of an engine whose removal the store told another host. Returns its id; `None` if
    /// it does not lapse here, as this host may know of a later registration.
    pub fn end_removed(&mut self, engine: EngineHash) -> Option<CompactString> {
        let state = &self.engines[self.by_hash(engine)?];
        state.expires_at?;
        let id = state.registration.id.clone();
        self.remove(&id);
        Some(id)
    }

    /// Removes an engine. The requests that run on it continue.
    pub fn remove(&mut self, id: &str) {
        self.departed.withdraw(id);
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        let now = self.clock.now();
        self.departed.record(&self.engines[key].registration, now);
        let hash = EngineHash::of(id);
        if self.by_hash.get(&hash) == Some(&key) {
            self.by_hash.remove(&hash);
        }
        self.history.push(id.into());
        if self.engines[key].own_load.running == 0 {
            self.engines.remove(key);
        }
    }

    /// Returns the state of an engine.
    pub fn get(&self, engine: Engine) -> Option<&State> {
        self.engines.get(engine)
    }

    /// Returns the engine whose id has this hash, if it is registered.
    pub fn by_hash(&self, hash: EngineHash) -> Option<Engine> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the engine with this id, if it is registered.
    pub fn by_id(&self, id: &str) -> Option<Engine> {
        self.by_id.get(id).copied()
    }

    fn incarnations(&self) -> BTreeSet<Incarnation> {
        let states = self.by_id.values().map(|key| &self.engines[*key]);
        states.map(|state| state.incarnation).collect()
    }

    /// Returns the number of registered engines.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no engine is registered.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Records that the registrations are up to date as of `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the registrations of all engines that the store lists.
    pub fn registrations(&self) -> Vec<Registration> {
        self.listed(self.by_id.values())
    }

    /// Returns the number of engines that the store no longer lists and that stay in use for a while.
    pub fn lapsing(&self) -> usize {
        let states = self.by_id.values().map(|key| &self.engines[*key]);
        states.filter(|state| state.expires_at.is_some()).count()
    }
}

impl State {
    /// Returns the load that all hosts cause, by their last reports.
    pub fn total_load(&self) -> Load {
        let mut load = self.own_load;
        load.add(&self.peer_load);
        load
    }
}
