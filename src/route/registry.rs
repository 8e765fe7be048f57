//! Registered engines, their load, and the choice of one for a request.
//!
//! Engines register themselves in the store. Their load is what this host runs on them, and what
//! the other hosts report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use super::history::{Changes, History};
use super::load::{Footprint, Load};
use super::losses::{Finder, Loss, Losses};
use super::placing::{self, Candidate};
use super::reports::{Reports, Source};
use crate::clock::Clock;
use crate::peer::report::{EngineHash, Usage};
use crate::supervisor::Signal;
use crate::util::hash64;

/// Time after an outage of the store for which entries that it no longer lists stay in use. Entries
/// that lapsed during the outage are renewed in this time.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Time for which an engine that could not be reached is tried last, and one that is lost not at
/// all. A restart takes about as long, and gives the engine another id or start time.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1500);

/// Age of the registrations above which the store must be out of reach. Longer than a watch of the
/// store without changes lasts.
const OUTAGE_AFTER: Duration = Duration::from_secs(3);

/// Time for which a failed response adds to the cost of an engine.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);

/// Cost of a recent failed response, in running requests.
const FAILURE_WEIGHT: u64 = 3;

/// Percentage of an engine's memory that requests may use by their expected size. The rest is for
/// outputs that get longer than expected.
const PLANNED_MEMORY_PERCENT: u64 = 92;

/// Prompt tokens to prefill that delay other requests as much as one running request does.
const PREFILL_TOKENS_PER_RUNNING_REQUEST: u64 = 250;

/// Silence of an engine with running requests after which a connection to its address is tried.
const SILENCE_CHECK_AFTER: Duration = Duration::from_millis(240);

/// Age up to which the last contact with an engine, which may be a round trip old, shows that it is
/// alive although others of its failure domain are lost.
const RECENT_CONTACT: Duration = Duration::from_millis(5);

/// Time between two checks of an engine that is lost and still registered.
const LOST_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which losses of engines in one failure domain count as one event.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_millis(500);

/// Time for which the engines of a failure domain in which other hosts lost several are tried last.
/// They are not checked, as all hosts would check them.
const DOMAIN_DOUBTED_FOR: Duration = Duration::from_millis(1000);

/// Number of engines of a failure domain lost in one event from which its other engines are checked
/// before they are used.
const DOMAIN_LOSSES_MIN: usize = 2;

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
}

/// State of one engine, as this host knows it.
#[derive(Clone, Debug)]
pub struct State {
    /// The engine's registration.
    pub registration: Registration,
    /// Load that this host causes.
    pub own_load: Load,
    // Load that the other hosts cause, by their last reports.
    peer_load: Load,
    // When the entry expires, if the store no longer lists it.
    expires_at: Option<Instant>,
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

/// Requirements of a request for its engine.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Service.
    pub service: &'a str,
    /// Tokens that the request costs the engine.
    pub footprint: Footprint,
    /// Tokens that fit into the memory of an engine of the service. 0 if the service has no such
    /// memory, as with backend servers; its engines then always have room.
    pub memory_tokens: u32,
    /// Engines that must not be chosen.
    pub excluded: &'a [Engine],
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
    // Time up to which all changes in the store are known.
    confirmed_at: Option<Instant>,
    // Recently lost engines, with their failure domains.
    domain_losses: Vec<(Instant, Engine, CompactString)>,
    losses: Losses,
    // Invariant: the `peer_load` of each engine in `by_hash` is the sum of its usages in these
    // reports.
    reports: Reports,
    own_load_version: u64,
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
            confirmed_at: None,
            domain_losses: Vec::new(),
            losses: Losses::default(),
            reports: Reports::default(),
            own_load_version: 0,
        }
    }

    /// Applies a listing of all registrations. Engines that it does not list are removed, after an
    /// outage of the store only once `LAPSE_GRACE` has passed.
    pub fn replace(&mut self, listed: Vec<Registration>, is_after_outage: bool) {
        let now = self.clock.now();
        let missing: Vec<_> = self
            .by_id
            .keys()
            .filter(|id| !listed.iter().any(|registration| registration.id == **id))
            .cloned()
            .collect();
        for id in missing {
            match is_after_outage {
                true => {
                    let engine = &mut self.engines[self.by_id[&id]];
                    engine.expires_at.get_or_insert(now + LAPSE_GRACE);
                }
                false => self.remove(&id),
            }
        }
        for registration in listed {
            self.insert(registration);
        }
    }

    /// Adds or updates one registration. That of a restarted engine replaces the earlier one.
    pub fn insert(&mut self, registration: Registration) {
        if let Some(key) = self.by_id.get(&registration.id) {
            let known = &mut self.engines[*key];
            let is_same = known.registration.started_ms == registration.started_ms
                && known.registration.address == registration.address;
            if is_same {
                known.expires_at = None;
                if known.registration != registration {
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
            registration,
            own_load: Load::default(),
            expires_at: None,
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
                gone: Vec::new(),
            };
        };
        let (known, gone): (Vec<_>, Vec<_>) =
            ids.into_iter().partition(|id| self.by_id.contains_key(*id));
        let registered = known
            .iter()
            .map(|id| self.engines[self.by_id[*id]].registration.clone());
        Changes {
            at: self.last_change(),
            is_whole: false,
            registered: registered.collect(),
            gone: gone.into_iter().cloned().collect(),
        }
    }

    /// Applies changes that were read from another host.
    pub fn apply_changes(&mut self, changes: Changes) {
        if changes.is_whole {
            return self.replace(changes.registered, false);
        }
        changes.gone.iter().for_each(|id| self.remove(id));
        for registration in changes.registered {
            self.insert(registration);
        }
    }

    /// Removes engines whose entries lapsed during an outage of the store and were not renewed in
    /// time.
    pub fn expire_lapsed(&mut self) {
        let now = self.clock.now();
        let is_expired = |key: &Engine| self.engines[*key].expires_at.is_some_and(|at| at <= now);
        let expired = self.by_id.iter().filter(|(_, key)| is_expired(key));
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.remove(id));
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

    /// Removes an engine. The requests that run on it continue.
    pub fn remove(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
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

    /// Returns the number of registered engines.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no engine is registered.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Chooses an engine for a new request.
    ///
    /// A service without prompts has few servers whose requests are short, so the one with the least
    /// load is chosen, and equal ones are ordered differently on each host. Otherwise see
    /// [`placing`].
    pub fn choose(&self, need: &Need<'_>) -> Option<Engine> {
        if need.memory_tokens > 0 {
            let candidates: Vec<_> = self
                .candidates(need)
                .map(|(key, state)| self.placing_candidate(key, state, need))
                .collect();
            return placing::choose(&candidates, rand::random());
        }
        let candidates = self.candidates(need);
        candidates
            .min_by_key(|(_, state)| {
                (
                    self.is_suspect(state),
                    self.failure_penalty(state) + state.total_load().running,
                    self.is_remote(state),
                    state.tie_break,
                )
            })
            .map(|(key, _)| key)
    }

    fn placing_candidate(&self, engine: Engine, state: &State, need: &Need<'_>) -> Candidate {
        let load = state.total_load();
        let penalty = self.failure_penalty(state) * PREFILL_TOKENS_PER_RUNNING_REQUEST;
        Candidate {
            engine,
            is_suspect: self.is_suspect(state),
            is_full: !state.has_room(need),
            is_remote: self.is_remote(state),
            backlog: load.reading.saturating_add(penalty),
            running: load.running,
        }
    }

    fn is_remote(&self, state: &State) -> bool {
        state.registration.failure_domain != self.failure_domain
    }

    /// Chooses an engine of another failure domain to hold the replica of a request that runs on
    /// `engine`. Returns `None` if no such engine has room. Draws one of those with about the most
    /// room, as other hosts choose at the same time.
    pub fn choose_replica(&self, need: &Need<'_>, engine: Engine) -> Option<Engine> {
        let domain = &self.engines.get(engine)?.registration.failure_domain;
        let used = |state: &State| {
            let load = state.total_load();
            load.memory.saturating_add(load.reading)
        };
        let fitting = || {
            self.candidates(need)
                .filter(|(_, state)| state.registration.failure_domain != *domain)
                .filter(|(_, state)| state.has_room(need) && !self.is_suspect(state))
        };
        let least = fitting().map(|(_, state)| used(state)).min()?;
        let limit = least.saturating_add(need.footprint.memory());
        let near = || fitting().filter(|(_, state)| used(state) <= limit);
        let count = near().count() as u64;
        let drawn = near().nth((rand::random::<u64>() % count) as usize);
        drawn.map(|(key, _)| key)
    }

    fn candidates<'a>(&'a self, need: &'a Need<'_>) -> impl Iterator<Item = (Engine, &'a State)> {
        let now = self.clock.now();
        let registered = self.by_id.values().map(|key| (*key, &self.engines[*key]));
        registered.filter(move |(key, state)| {
            let registration = &state.registration;
            registration.service == need.service
                && !registration.is_draining
                && !state.is_lost(now)
                && state.expires_at.is_none_or(|at| at > now)
                && !need.excluded.contains(key)
        })
    }

    fn is_suspect(&self, state: &State) -> bool {
        let now = self.clock.now();
        let is_ahead = |until: Option<Instant>| until.is_some_and(|until| until > now);
        is_ahead(state.unreachable_until)
            || is_ahead(state.doubted_until)
            || state.needs_check
            || state.lost.is_set()
            || self.is_probably_replaced(state)
    }

    /// Returns whether an engine was lost and the store, which is out of reach, has not confirmed
    /// its registration since. What answers at its address is then probably a restarted engine
    /// under another id, which rejects the requests. In an outage of the store such engines would
    /// use up the retry budget of all requests.
    fn is_probably_replaced(&self, state: &State) -> bool {
        let (Some(lost_at), Some(confirmed_at)) = (state.lost_at, self.confirmed_at) else {
            return false;
        };
        let is_outage = self.clock.now().duration_since(confirmed_at) > OUTAGE_AFTER;
        is_outage && confirmed_at < lost_at + UNREACHABLE_FOR
    }

    /// Records that the registrations are up to date as of `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the cost of recent failed responses in running requests.
    fn failure_penalty(&self, state: &State) -> u64 {
        let now = self.clock.now();
        let recent = |at: &&Instant| now.duration_since(**at) < FAILURE_WINDOW;
        state.failures.iter().filter(recent).count() as u64 * FAILURE_WEIGHT
    }

    /// Returns whether an engine may get requests.
    pub fn is_usable(&self, engine: Engine) -> bool {
        let now = self.clock.now();
        let Some(state) = self.engines.get(engine) else {
            return false;
        };
        self.by_id.get(&state.registration.id) == Some(&engine)
            && !state.registration.is_draining
            && !state.is_lost(now)
            && state.expires_at.is_none_or(|at| at > now)
    }

    /// Returns the registrations of all registered engines.
    pub fn registrations(&self) -> Vec<Registration> {
        let engines = self.by_id.values().map(|key| &self.engines[*key]);
        engines.map(|state| state.registration.clone()).collect()
    }

    /// Returns a number that grows with each change of the load that this host causes.
    pub fn own_load_version(&self) -> u64 {
        self.own_load_version
    }

    /// Returns the load that this host causes, by engine.
    pub fn own_usages(&self) -> Vec<Usage> {
        let busy = self
            .engines
            .values()
            .filter(|state| state.own_load != Load::default());
        busy.map(|state| Usage::new(EngineHash::of(&state.registration.id), state.own_load))
            .collect()
    }

    /// Returns the load by engine that this host and the hosts that report to it cause together,
    /// without the load that representatives report.
    pub fn joint_usages(&self) -> Vec<Usage> {
        let mut sums: BTreeMap<EngineHash, Load> = BTreeMap::new();
        for usage in self.reports.host_usages().chain(self.own_usages()) {
            sums.entry(usage.engine).or_default().add(&usage.load());
        }
        let usages = sums.into_iter();
        usages
            .map(|(engine, load)| Usage::new(engine, load))
            .collect()
    }

    /// Applies report `number` of a source; returns `false` if it is out of date.
    pub fn set_report(&mut self, source: Source, number: u64, usages: Vec<Usage>) -> bool {
        if !self.reports.is_newer(&source, number) {
            return false;
        }
        self.update_peer_load(&usages, Load::add);
        let now = self.clock.now();
        let old = self.reports.replace(source, number, usages, now);
        self.update_peer_load(&old, Load::subtract);
        true
    }

    /// Returns the age of the oldest report, or zero if there is none.
    pub fn reports_age(&self) -> Duration {
        self.reports.age(self.clock.now())
    }

    /// Removes the reports that are too old, and their load.
    pub fn expire_reports(&mut self) {
        let old = self.reports.expire(self.clock.now());
        self.update_peer_load(&old, Load::subtract);
    }

    fn update_peer_load(&mut self, usages: &[Usage], update: fn(&mut Load, &Load)) {
        for usage in usages {
            if let Some(key) = self.by_hash.get(&usage.engine) {
                update(&mut self.engines[*key].peer_load, &usage.load());
            }
        }
    }

    /// Records that a request is sent to an engine.
    pub fn begin(&mut self, engine: Engine, footprint: Footprint) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            if state.own_load.running == 0 {
                state.checked_at = now;
            }
            if state.lost.is_set() {
                state.lost = Signal::default();
            }
            self.own_load_version += 1;
            state.own_load.running += 1;
            state.own_load.reading += u64::from(footprint.prompt);
            state.own_load.memory += footprint.memory();
        }
    }

    /// Records the first output of a request, by which its prompt has been prefilled.
    pub fn set_prefilled(&mut self, engine: Engine, footprint: Footprint) {
        if let Some(state) = self.engines.get_mut(engine) {
            self.own_load_version += 1;
            let load = &mut state.own_load;
            load.reading = load.reading.saturating_sub(u64::from(footprint.prompt));
        }
    }

    /// Records the end of a request. `had_output` tells whether [`Registry::set_prefilled`] was
    /// called.
    pub fn end(&mut self, engine: Engine, footprint: Footprint, had_output: bool) {
        if !had_output {
            self.set_prefilled(engine, footprint);
        }
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        self.own_load_version += 1;
        state.own_load.running = state.own_load.running.saturating_sub(1);
        state.own_load.memory = state.own_load.memory.saturating_sub(footprint.memory());
        let is_listed = self.by_id.get(&state.registration.id) == Some(&engine);
        if !is_listed && state.own_load.running == 0 {
            self.engines.remove(engine);
        }
    }

    /// Records that an engine holds a replica from now on.
    pub fn hold_replica(&mut self, engine: Engine, footprint: Footprint) {
        if let Some(state) = self.engines.get_mut(engine) {
            self.own_load_version += 1;
            state.own_load.memory += footprint.memory();
        }
    }

    /// Records that an engine no longer holds a replica.
    pub fn release_replica(&mut self, engine: Engine, footprint: Footprint) {
        if let Some(state) = self.engines.get_mut(engine) {
            self.own_load_version += 1;
            state.own_load.memory = state.own_load.memory.saturating_sub(footprint.memory());
        }
    }

    /// Records that received bytes or a connection show that an engine is alive. Ends its check,
    /// and a lost engine no longer counts as lost.
    pub fn set_heard(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.checked_at = now;
            state.alive_at = Some(now);
            state.is_checking = false;
            state.needs_check = false;
            state.doubted_until = None;
            if state.lost.is_set() {
                state.lost = Signal::default();
            }
        }
    }

    /// Records that an engine's address accepted a connection. Does not end its check, and a lost
    /// engine still counts as lost.
    pub fn set_connected(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.checked_at = now;
            state.alive_at = Some(now);
            state.needs_check = false;
            state.doubted_until = None;
        }
    }

    /// Returns whether received bytes or a connection have shown since `since` that an engine is
    /// alive.
    pub fn was_heard_since(&self, engine: Engine, since: Instant) -> bool {
        let state = self.engines.get(engine);
        state.is_some_and(|state| state.alive_at.is_some_and(|at| at >= since))
    }

    /// Returns the addresses of engines to try for comparison with one that does not answer: of each
    /// other failure domain one at random, or else another of its own. If it is the only
    /// engine, a new connection to it is all that can be tried.
    pub fn comparable_to(&self, engine: Engine) -> Vec<CompactString> {
        let own = self.engines.get(engine);
        let own = own.map(|state| &state.registration);
        let mut latest: BTreeMap<&str, &State> = BTreeMap::new();
        let mut others: Vec<_> = self.by_id.values().filter(|key| **key != engine).collect();
        others.shuffle(&mut rand::rng());
        let others = others.into_iter();
        for state in others.map(|key| &self.engines[*key]) {
            latest
                .entry(&state.registration.failure_domain)
                .or_insert(state);
        }
        if latest.len() > 1 {
            latest.retain(|domain, _| own.is_none_or(|own| own.failure_domain != *domain));
        }
        let compared = latest.into_values().map(|state| &state.registration);
        let mut addresses: Vec<_> = compared.map(|engine| engine.address.clone()).collect();
        if addresses.is_empty() {
            addresses.extend(own.map(|own| own.address.clone()));
        }
        addresses
    }

    /// Returns the engines to check now, with their addresses: those with running requests that are
    /// silent for too long, those whose failure domain just lost several others, and lost ones.
    /// Each is returned once, until [`Registry::set_heard`], [`Registry::set_lost`] or
    /// [`Registry::end_check`].
    pub fn due_checks(&mut self) -> Vec<(Engine, CompactString)> {
        let now = self.clock.now();
        let is_due = |state: &State| {
            let after = match state.lost.is_set() {
                true => LOST_CHECK_INTERVAL,
                false if state.needs_check => Duration::ZERO,
                false if state.own_load.running > 0 => SILENCE_CHECK_AFTER,
                false => return false,
            };
            !state.is_checking && now.duration_since(state.checked_at) >= after
        };
        let due = self.engines.iter_mut().filter(|(_, state)| is_due(state));
        due.map(|(key, state)| {
            state.is_checking = true;
            state.checked_at = now;
            (key, state.registration.address.clone())
        })
        .collect()
    }

    /// Starts the check of an engine if it must be checked before it is used; returns its address.
    pub fn begin_needed_check(&mut self, engine: Engine) -> Option<CompactString> {
        let now = self.clock.now();
        let state = self.engines.get_mut(engine)?;
        if !state.needs_check || state.is_checking {
            return None;
        }
        state.is_checking = true;
        state.checked_at = now;
        Some(state.registration.address.clone())
    }

    /// Records that a check ended without a result.
    pub fn end_check(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.is_checking = false;
            state.checked_at = now;
        }
    }

    /// Records that an engine is lost, which ends the attempts that run on it.
    pub fn set_lost(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.is_checking = false;
            state.checked_at = now;
            state.unreachable_until = Some(now + UNREACHABLE_FOR);
            state.lost_at = Some(now);
            state.lost.set();
        }
        self.record_loss(engine);
    }

    /// Counts the loss of an engine. When several engines of a failure domain are lost together,
    /// the others probably are too, so they are checked before they are used.
    fn record_loss(&mut self, engine: Engine) {
        let now = self.clock.now();
        let Some(state) = self.engines.get(engine) else {
            return;
        };
        let hash = EngineHash::of(&state.registration.id);
        self.losses.record(hash, now, Finder::Own);
        let domain = state.registration.failure_domain.clone();
        self.domain_losses.retain(|(at, lost, _)| {
            now.duration_since(*at) < DOMAIN_LOSS_WINDOW && *lost != engine
        });
        self.domain_losses.push((now, engine, domain.clone()));
        let together = self
            .domain_losses
            .iter()
            .filter(|(_, _, lost_domain)| *lost_domain == domain);
        if together.count() < DOMAIN_LOSSES_MIN {
            return;
        }
        let others = self.engines.values_mut().filter(|state| {
            state.registration.failure_domain == domain
                && now.duration_since(state.checked_at) > RECENT_CONTACT
        });
        others.for_each(|state| state.needs_check = true);
    }

    /// Records a loss that another host reports; returns whether it changes what this host believes
    /// of the engine.
    pub fn record_reported_loss(&mut self, loss: Loss, finder: Finder) -> bool {
        let now = self.clock.now();
        let age = Duration::from_millis(loss.age_ms.into());
        let Some(at) = now.checked_sub(age) else {
            return false;
        };
        let known = self.by_hash.get(&loss.engine).copied();
        let alive_at = known.and_then(|engine| self.engines[engine].alive_at);
        if alive_at.is_some_and(|alive_at| alive_at > at)
            || !self.losses.record(loss.engine, at, finder)
        {
            return false;
        }
        let Some(engine) = known else {
            return false;
        };
        let state = &mut self.engines[engine];
        state.unreachable_until = state.unreachable_until.max(Some(at + UNREACHABLE_FOR));
        state.lost_at = state.lost_at.max(Some(at));
        // The requests that run there end as soon as the loss is confirmed.
        state.needs_check |= state.own_load.running > 0;
        let domain = state.registration.failure_domain.clone();
        self.doubt_domain(&domain);
        true
    }

    /// Lets the engines of a failure domain be tried last if several of them were lost together.
    fn doubt_domain(&mut self, domain: &str) {
        let now = self.clock.now();
        let Some(from) = now.checked_sub(DOMAIN_LOSS_WINDOW) else {
            return;
        };
        let lost = self.losses.since(from);
        let lost = lost.filter_map(|engine| self.by_hash.get(&engine));
        let lost_there =
            lost.filter(|engine| self.engines[**engine].registration.failure_domain == domain);
        if lost_there.count() < DOMAIN_LOSSES_MIN {
            return;
        }
        let others = self
            .engines
            .values_mut()
            .filter(|state| state.registration.failure_domain == domain);
        for state in others.filter(|state| state.alive_at.is_none_or(|at| at < from)) {
            state.doubted_until = Some(now + DOMAIN_DOUBTED_FOR);
            state.needs_check |= state.own_load.running > 0;
        }
    }

    /// Drops losses that are too old to be reported.
    pub fn expire_losses(&mut self) {
        self.losses.expire(self.clock.now());
    }

    /// Returns the recent losses.
    pub fn losses(&self) -> &Losses {
        &self.losses
    }

    /// Records that a response of an engine did not come or broke off, which may be the fault of the
    /// connection alone. The engine is tried last, and is no loss until a check shows it.
    pub fn set_suspect(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.unreachable_until = Some(now + UNREACHABLE_FOR);
            state.needs_check = true;
        }
    }

    /// Records that an engine could not be reached although this host reaches others.
    pub fn set_unreachable(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.unreachable_until = Some(now + UNREACHABLE_FOR);
            state.lost_at = Some(now);
        }
        self.record_loss(engine);
    }

    /// Records a response of an engine, which shows that it works.
    pub fn set_answered(&mut self, engine: Engine) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.unreachable_until = None;
            state.lost_at = None;
            let hash = EngineHash::of(&state.registration.id);
            self.losses.remove(hash);
        }
    }

    /// Removes an engine at whose address another one answered.
    pub fn set_replaced(&mut self, engine: Engine) {
        let now = self.clock.now();
        let Some(state) = self.engines.get(engine) else {
            return;
        };
        let id = state.registration.id.clone();
        self.losses.record(EngineHash::of(&id), now, Finder::Own);
        self.remove(&id);
    }

    /// Records a failed or malformed response of an engine.
    pub fn set_failed(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state
                .failures
                .retain(|at| now.duration_since(*at) < FAILURE_WINDOW);
            state.failures.push(now);
        }
    }
}

impl State {
    fn is_lost(&self, now: Instant) -> bool {
        self.lost.is_set() && self.unreachable_until.is_some_and(|until| until > now)
    }

    fn has_room(&self, need: &Need<'_>) -> bool {
        if need.memory_tokens == 0 {
            return true;
        }
        let planned = u64::from(need.memory_tokens) * PLANNED_MEMORY_PERCENT / 100;
        let load = self.total_load();
        load.memory.saturating_add(need.footprint.memory()) <= planned
            && load.running < u64::from(self.registration.slots)
    }

    /// Returns the load that all hosts cause, by their last reports.
    pub fn total_load(&self) -> Load {
        let mut load = self.own_load;
        load.add(&self.peer_load);
        load
    }
}
