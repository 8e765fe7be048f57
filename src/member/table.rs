//! State of all routers as known to this host: a SWIM-like membership table without any I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};

use super::view::{Liveness, Peer};
use crate::clock::Clock;
use crate::util::hash64;

/// Time between two direct probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(1000);

/// Time after which a suspected router counts as dead unless it refutes the suspicion.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a dead or left router is remembered. It is longer than the lag of the platform's
/// list, which would otherwise bring the router back.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(120);

/// Number of routers that are asked to probe one that did not answer a direct probe.
const HELPERS_PER_PROBE: usize = 2;

/// Maximum number of updates about other routers in a message. A burst of changes then costs a host
/// under 4 KB/s: 2 calls a second, each with two messages of at most 5 updates of 200 bytes.
const UPDATES_PER_MESSAGE_MAX: usize = 4;

/// Number of messages that carry a change of this host's own state; their receivers spread it
/// further.
const OWN_UPDATE_MESSAGES: u32 = 32;

/// Shortest time between two exchanges of whole tables.
const SYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two ticks above which this process must have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// State of a router, in ascending order of precedence: a later state replaces an earlier one of
/// the same incarnation and refutation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts work and duties.
    Live,
    /// Did not answer probes; may still refute the suspicion.
    Suspect,
    /// Finishes its running work and accepts no new work.
    Leaving,
    /// Was suspected and did not refute in time.
    Dead,
    /// Shut down cleanly.
    Left,
}

/// Update on the state of one router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The router.
    pub peer: Peer,
    /// Start of its process, in milliseconds since the Unix epoch; 0 if it is known only from the
    /// platform's list.
    pub incarnation: u64,
    /// Number of suspicions of this incarnation that were refuted.
    pub refutation: u32,
    /// State of the router.
    pub state: State,
}

impl Update {
    fn precedence(&self) -> (u64, u32, State) {
        (self.incarnation, self.refutation, self.state)
    }
}

#[derive(Debug)]
struct Entry {
    update: Update,
    // Start of the state; it is reset after a pause of this process.
    since: Instant,
    // Start of the suspicion, also of a dead router; it is reset like `since`.
    silent_since: Option<Instant>,
    // Number of messages that are still to carry this update.
    sends_left: u32,
}

impl Entry {
    fn liveness(&self) -> Liveness {
        match self.update.state {
            State::Live | State::Leaving => Liveness::Running,
            State::Suspect | State::Dead => Liveness::Silent(self.silent_since),
            State::Left => Liveness::Ended,
        }
    }
}

/// Call that the membership task must make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Probe a router directly.
    Probe(Peer),
    /// Ask the helpers (second field) to probe a router (first field).
    ProbeIndirectly(Peer, Vec<Peer>),
    /// Exchange whole tables with a router.
    Sync(Peer),
}

/// Membership table of all routers, this one included.
#[derive(Debug)]
pub struct Table<C: Clock> {
    clock: C,
    rng: StdRng,
    own: Update,
    // Number of messages that are still to carry this host's own update.
    own_sends_left: u32,
    // Invariant: does not contain this host.
    entries: BTreeMap<CompactString, Entry>,
    // Names in the latest version of the platform's list.
    listed: BTreeSet<CompactString>,
    // Routers that are still to be probed in this round, in random order; the last one is next.
    probe_queue: Vec<CompactString>,
    probe_requests: BTreeSet<CompactString>,
    next_probe: Instant,
    last_sync: Option<Instant>,
    last_tick: Instant,
    // Routers that were neither heard from nor probed since this process was paused. Until it is
    // empty, this host does not act on duties.
    unconfirmed: BTreeSet<CompactString>,
}

impl<C: Clock> Table<C> {
    /// Creates a table that contains only this host.
    pub fn new(clock: C, own: Peer, incarnation: u64, seed: u64) -> Self {
        let now = clock.now();
        Self {
            clock,
            rng: StdRng::seed_from_u64(seed),
            own: Update {
                peer: own,
                incarnation,
                refutation: 0,
                state: State::Live,
            },
            own_sends_left: OWN_UPDATE_MESSAGES,
            entries: BTreeMap::new(),
            listed: BTreeSet::new(),
            probe_queue: Vec::new(),
            probe_requests: BTreeSet::new(),
            next_probe: now,
            last_sync: None,
            last_tick: now,
            unconfirmed: BTreeSet::new(),
        }
    }

    /// Merges the platform's list; the flags say which routers it shows as leaving. The list lags,
    /// so it adds unknown routers but does not revive dead ones, unless their address has changed.
    pub fn set_listed(&mut self, listed: &[(Peer, bool)]) {
        self.listed = listed.iter().map(|(peer, _)| peer.name.clone()).collect();
        for (peer, is_leaving) in listed {
            if peer.name == self.own.peer.name {
                continue;
            }
            let known = self.entries.get(&peer.name);
            let has_new_address =
                known.is_some_and(|known| known.update.peer.address != peer.address);
            let has_ended = known.is_some_and(|known| known.update.state >= State::Dead);
            if known.is_none() || (has_new_address && has_ended) {
                self.insert(Update {
                    peer: peer.clone(),
                    incarnation: 0,
                    refutation: 0,
                    state: State::Live,
                });
            }
            if *is_leaving && let Some(entry) = self.entries.get(&peer.name) {
                let mut update = entry.update.clone();
                update.state = update.state.max(State::Leaving);
                self.apply(update);
            }
        }
    }

    /// Applies the updates of a message.
    pub fn apply_all(&mut self, updates: impl IntoIterator<Item = Update>) {
        for update in updates {
            self.apply(update);
        }
    }

    fn apply(&mut self, update: Update) {
        if update.peer.name == self.own.peer.name {
            return self.refute(&update);
        }
        let known = self.entries.get(&update.peer.name);
        if known.is_none() && update.state >= State::Dead {
            return;
        }
        if known.is_none_or(|known| known.update.precedence() < update.precedence()) {
            self.insert(update);
        }
    }

    fn refute(&mut self, update: &Update) {
        let is_current = update.incarnation == self.own.incarnation || update.incarnation == 0;
        let is_wrong = matches!(update.state, State::Suspect | State::Dead);
        if !is_current || !is_wrong {
            return;
        }
        if update.refutation >= self.own.refutation {
            self.own.refutation = update.refutation + 1;
        }
        self.own_sends_left = OWN_UPDATE_MESSAGES;
    }

    fn insert(&mut self, update: Update) {
        let name = update.peer.name.clone();
        let fleet_size = self.entries.len() as u32 + 2;
        let now = self.clock.now();
        let previous = self.entries.get(&name);
        let known = previous.map(|entry| &entry.update);
        let is_silent = matches!(update.state, State::Suspect | State::Dead);
        let silent_since = previous.and_then(|entry| entry.silent_since);
        // An update that changes only the incarnation, or adds a router that is only listed, is not
        // spread: peers learn the incarnation of a listed router from the router itself.
        let is_already_known = match known {
            Some(known) => known.state == update.state && known.peer == update.peer,
            None => update.incarnation == 0,
        };
        let entry = Entry {
            since: now,
            silent_since: is_silent.then(|| silent_since.unwrap_or(now)),
            // Enough messages for an update to reach all routers with high probability.
            sends_left: if is_already_known {
                0
            } else {
                3 * fleet_size.ilog2().max(1)
            },
            update,
        };
        self.entries.insert(name, entry);
    }

    /// Records a message from a router, which proves that this incarnation is alive.
    pub fn record_contact(&mut self, name: &str, incarnation: u64) {
        self.unconfirmed.remove(name);
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        let mut update = entry.update.clone();
        if incarnation > update.incarnation {
            update.incarnation = incarnation;
            update.refutation = 0;
            update.state = State::Live;
            self.insert(update);
        }
    }

    /// Requests an immediate probe of a router, because a call to it failed.
    pub fn request_probe(&mut self, name: &str) {
        if self.entries.contains_key(name) {
            self.probe_requests.insert(name.into());
        }
    }

    /// Records the result of a direct or indirect probe; returns the indirect probe that must
    /// follow a failed direct one.
    pub fn record_probe(
        &mut self,
        name: &str,
        answered: bool,
        was_indirect: bool,
    ) -> Option<Action> {
        let entry = self.entries.get(name)?;
        let peer = entry.update.peer.clone();
        let mut update = entry.update.clone();
        self.unconfirmed.remove(name);
        if answered {
            // The answer proves that the peer is alive, even if its refutation has not arrived yet.
            if matches!(update.state, State::Suspect | State::Dead) {
                update.refutation += 1;
                update.state = State::Live;
                self.insert(update);
            }
            return None;
        }
        if was_indirect {
            if update.state == State::Live {
                update.state = State::Suspect;
                self.insert(update);
            }
            return None;
        }
        let helpers = self.helpers(name);
        if helpers.is_empty() {
            return self.record_probe(name, false, true);
        }
        Some(Action::ProbeIndirectly(peer, helpers))
    }

    fn helpers(&mut self, excluded: &str) -> Vec<Peer> {
        let mut live: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.update.state == State::Live && entry.update.peer.name != excluded)
            .map(|entry| entry.update.peer.clone())
            .collect();
        live.shuffle(&mut self.rng);
        live.truncate(HELPERS_PER_PROBE);
        live
    }

    /// Returns an exchange of tables with a router whose digest differs, if one is due.
    pub fn sync_if_due(&mut self, name: &str) -> Option<Action> {
        let now = self.clock.now();
        let is_due = |at: Instant| now.duration_since(at) >= SYNC_INTERVAL;
        if !self.last_sync.is_none_or(is_due) {
            return None;
        }
        let peer = self.entries.get(name)?.update.peer.clone();
        self.last_sync = Some(now);
        Some(Action::Sync(peer))
    }

    /// Updates the table for the current time and returns the probes that are due. Must be called
    /// at least ten times a second.
    pub fn tick(&mut self) -> Vec<Action> {
        let now = self.clock.now();
        if now.duration_since(self.last_tick) >= PAUSE_THRESHOLD {
            let others = self.entries.iter();
            // Routers that have left are not probed.
            let running = others.filter(|(_, entry)| entry.update.state != State::Left);
            self.unconfirmed = running.map(|(name, _)| name.clone()).collect();
            // Suspicions that aged during the pause prove nothing, so their age is reset.
            for entry in self.entries.values_mut() {
                entry.since = now;
                entry.silent_since = entry.silent_since.map(|_| now);
            }
            self.probe_requests.extend(self.unconfirmed.iter().cloned());
        }
        self.last_tick = now;
        self.expire(now);
        let mut actions: Vec<_> = self.take_requested_probes();
        if now >= self.next_probe {
            self.next_probe = now + PROBE_INTERVAL;
            actions.extend(self.next_probe_target().map(Action::Probe));
        }
        actions
    }

    fn take_requested_probes(&mut self) -> Vec<Action> {
        let probe_requests = std::mem::take(&mut self.probe_requests);
        let probes = probe_requests.iter().filter_map(|name| {
            let update = &self.entries.get(name)?.update;
            (update.state != State::Left).then(|| Action::Probe(update.peer.clone()))
        });
        probes.collect()
    }

    fn expire(&mut self, now: Instant) {
        let mut dead = Vec::new();
        for entry in self.entries.values() {
            let age = now.duration_since(entry.since);
            if entry.update.state == State::Suspect && age >= SUSPECT_TIMEOUT {
                dead.push(Update {
                    state: State::Dead,
                    ..entry.update.clone()
                });
            }
        }
        dead.into_iter().for_each(|update| self.insert(update));
        // A dead router stays in the table while it is listed; otherwise the list would revive it.
        let listed = &self.listed;
        self.entries.retain(|name, entry| {
            entry.update.state < State::Dead
                || listed.contains(name)
                || now.duration_since(entry.since) < TOMBSTONE_RETENTION
        });
        let entries = &self.entries;
        self.unconfirmed.retain(|name| {
            let entry = entries.get(name);
            entry.is_some_and(|entry| entry.update.state != State::Left)
        });
    }

    fn next_probe_target(&mut self) -> Option<Peer> {
        for _ in 0..2 {
            while let Some(name) = self.probe_queue.pop() {
                let entry = self.entries.get(&name);
                // Dead routers are probed too, so that both sides notice the end of a partition.
                if let Some(entry) = entry.filter(|entry| entry.update.state != State::Left) {
                    return Some(entry.update.peer.clone());
                }
            }
            self.probe_queue = self.entries.keys().cloned().collect();
            self.probe_queue.shuffle(&mut self.rng);
        }
        None
    }

    /// Sets the state of this host, which is leaving or has left.
    pub fn leave(&mut self, state: State) {
        self.own.state = state;
        self.own_sends_left = OWN_UPDATE_MESSAGES;
    }

    /// Returns the update on this host.
    pub fn own(&self) -> &Update {
        &self.own
    }

    /// Returns the updates for the next message, this host's own first while it is to be sent, and
    /// counts them as sent.
    pub fn next_updates(&mut self) -> Vec<Update> {
        let mut updates = Vec::new();
        if self.own_sends_left > 0 {
            self.own_sends_left -= 1;
            updates.push(self.own.clone());
        }
        let mut pending: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.sends_left > 0)
            .collect();
        pending.sort_by_key(|entry| std::cmp::Reverse(entry.sends_left));
        for entry in pending.into_iter().take(UPDATES_PER_MESSAGE_MAX) {
            entry.sends_left -= 1;
            updates.push(entry.update.clone());
        }
        updates
    }

    /// Returns an update for each known router, this one included.
    pub fn all_updates(&self) -> Vec<Update> {
        let others = self.entries.values().map(|entry| entry.update.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Returns the live routers, this one included unless it is leaving.
    pub fn live(&self) -> Vec<Peer> {
        let others = self.entries.values().map(|entry| &entry.update);
        std::iter::once(&self.own)
            .chain(others)
            .filter(|update| update.state == State::Live)
            .map(|update| update.peer.clone())
            .collect()
    }

    /// Returns the liveness of all other routers that are neither live nor unknown.
    pub fn not_live(&self) -> BTreeMap<CompactString, Liveness> {
        let others = self.entries.iter();
        others
            .filter(|(_, entry)| entry.update.state != State::Live)
            .map(|(name, entry)| (name.clone(), entry.liveness()))
            .collect()
    }

    /// Returns whether this host may act on duties: it is live, and has heard from or probed all
    /// peers since its process was last paused.
    pub fn is_active(&self) -> bool {
        self.own.state == State::Live && self.unconfirmed.is_empty()
    }

    /// Returns the state of another router.
    pub fn state(&self, name: &str) -> Option<State> {
        self.entries.get(name).map(|entry| entry.update.state)
    }

    /// Returns a digest of the names and addresses of the live routers, to compare two tables.
    pub fn digest(&self) -> u64 {
        let mut live = self.live();
        live.sort_by(|a, b| a.name.cmp(&b.name));
        live.iter().fold(0, |digest, peer| {
            hash64(&[
                &u64::to_le_bytes(digest),
                peer.name.as_bytes(),
                peer.address.as_bytes(),
            ])
        })
    }

    /// Returns a random live peer.
    pub fn random_peer(&mut self) -> Option<Peer> {
        let live = self.live();
        let others: Vec<_> = live
            .iter()
            .filter(|peer| peer.name != self.own.peer.name)
            .collect();
        others.choose(&mut self.rng).map(|peer| (*peer).clone())
    }

    /// Returns a random number.
    pub fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }
}

#[cfg(test)]
mod tests;
