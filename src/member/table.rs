//! The state of all routers as this host knows it, free of sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngCore, SeedableRng};
use serde::{Deserialize, Serialize};

use super::view::Peer;
use crate::clock::Clock;
use crate::util::hash64;

/// Time between two direct probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(1000);

/// Time after which a suspected router that did not refute counts as dead.
const SUSPECT_LIMIT: Duration = Duration::from_millis(1500);

/// Time for which the end of a router is remembered, longer than the platform's list lags.
const MEMORY: Duration = Duration::from_secs(120);

/// Routers asked to probe one that did not answer.
const HELPERS: usize = 2;

/// News that one message carries, so that a burst of changes costs a host under 4 KB/s: 2 calls a
/// second, each with two messages of at most 5 news of 200 bytes.
const NEWS_PER_MESSAGE: usize = 4;

/// Messages that carry a change of this host's own state; those who hear it spread it further.
const OWN_NEWS_MESSAGES: u32 = 32;

/// Time between two comparisons of whole tables.
const SYNC_PERIOD: Duration = Duration::from_secs(30);

/// A jump of the clock between two ticks that shows that this process was paused.
const PAUSE: Duration = Duration::from_millis(1500);

/// State of a router, in the order in which news of the same incarnation replace each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes work and duties.
    Live,
    /// Did not answer probes; can still refute.
    Suspect,
    /// Finishes what it has.
    Leaving,
    /// Did not answer for too long.
    Dead,
    /// Ended in order.
    Left,
}

/// News about one router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// The router.
    pub peer: Peer,
    /// Start of its process, in milliseconds since the Unix epoch; 0 if only listed so far.
    pub incarnation: u64,
    /// Number of suspicions that this incarnation refuted.
    pub refutation: u32,
    /// State.
    pub state: State,
}

impl News {
    fn precedence(&self) -> (u64, u32, State) {
        (self.incarnation, self.refutation, self.state)
    }
}

#[derive(Debug)]
struct Entry {
    news: News,
    since: Instant,
    // Messages that still carry this entry.
    to_tell: u32,
}

/// What the task must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Probe a router directly.
    Probe(Peer),
    /// Ask helpers to probe a router.
    ProbeThrough(Peer, Vec<Peer>),
    /// Exchange whole tables with a router.
    Sync(Peer),
}

/// All routers, this one included.
#[derive(Debug)]
pub struct Table<C: Clock> {
    clock: C,
    rng: StdRng,
    own: News,
    // Messages that still carry this host's own news.
    own_to_tell: u32,
    // Invariant: never holds this host.
    entries: BTreeMap<CompactString, Entry>,
    // Names in the platform's list as read last.
    listed: BTreeSet<CompactString>,
    // Invariant: routers that are still to be probed in this round.
    round: Vec<CompactString>,
    doubted: BTreeSet<CompactString>,
    next_probe: Instant,
    last_sync: Option<Instant>,
    last_tick: Instant,
    // Routers that did not answer or fail a probe since this process was paused; duties rest
    // until it is empty.
    unconfirmed: BTreeSet<CompactString>,
}

impl<C: Clock> Table<C> {
    /// Creates a table that holds this host only.
    pub fn new(clock: C, own: Peer, incarnation: u64, seed: u64) -> Self {
        let now = clock.now();
        Self {
            clock,
            rng: StdRng::seed_from_u64(seed),
            own: News {
                peer: own,
                incarnation,
                refutation: 0,
                state: State::Live,
            },
            own_to_tell: OWN_NEWS_MESSAGES,
            entries: BTreeMap::new(),
            listed: BTreeSet::new(),
            round: Vec::new(),
            doubted: BTreeSet::new(),
            next_probe: now,
            last_sync: None,
            last_tick: now,
            unconfirmed: BTreeSet::new(),
        }
    }

    /// Takes over the platform's list as a hint; it lags, so it brings no one back to life.
    pub fn set_listed(&mut self, listed: &[(Peer, bool)]) {
        self.listed = listed.iter().map(|(peer, _)| peer.name.clone()).collect();
        for (peer, is_leaving) in listed {
            if peer.name == self.own.peer.name {
                continue;
            }
            let known = self.entries.get(&peer.name);
            let has_moved = known.is_some_and(|known| known.news.peer.address != peer.address);
            let is_over = known.is_some_and(|known| known.news.state >= State::Dead);
            if known.is_none() || (has_moved && is_over) {
                self.insert(News {
                    peer: peer.clone(),
                    incarnation: 0,
                    refutation: 0,
                    state: State::Live,
                });
            }
            if *is_leaving && let Some(entry) = self.entries.get(&peer.name) {
                let mut news = entry.news.clone();
                news.state = news.state.max(State::Leaving);
                self.learn(news);
            }
        }
    }

    /// Takes over news from a message.
    pub fn learn_all(&mut self, news: impl IntoIterator<Item = News>) {
        for news in news {
            self.learn(news);
        }
    }

    fn learn(&mut self, news: News) {
        if news.peer.name == self.own.peer.name {
            return self.refute(&news);
        }
        let known = self.entries.get(&news.peer.name);
        if known.is_none() && news.state >= State::Dead {
            return;
        }
        if known.is_none_or(|known| known.news.precedence() < news.precedence()) {
            self.insert(news);
        }
    }

    fn refute(&mut self, news: &News) {
        let is_current = news.incarnation == self.own.incarnation || news.incarnation == 0;
        let is_wrong = matches!(news.state, State::Suspect | State::Dead);
        if !is_current || !is_wrong {
            return;
        }
        if news.refutation >= self.own.refutation {
            self.own.refutation = news.refutation + 1;
        }
        self.own_to_tell = OWN_NEWS_MESSAGES;
    }

    fn insert(&mut self, news: News) {
        let name = news.peer.name.clone();
        let fleet = self.entries.len() as u32 + 2;
        let known = self.entries.get(&name).map(|entry| &entry.news);
        // Peers learn the incarnation of a listed router from the router itself.
        let is_known = match known {
            Some(known) => known.state == news.state && known.peer == news.peer,
            None => news.incarnation == 0,
        };
        let entry = Entry {
            since: self.clock.now(),
            // Enough messages for news to reach all routers with high probability.
            to_tell: if is_known {
                0
            } else {
                3 * fleet.ilog2().max(1)
            },
            news,
        };
        self.entries.insert(name, entry);
    }

    /// Notes a message of a router, which shows that this incarnation lives.
    pub fn heard(&mut self, name: &str, incarnation: u64) {
        self.unconfirmed.remove(name);
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        let mut news = entry.news.clone();
        if incarnation > news.incarnation {
            news.incarnation = incarnation;
            news.refutation = 0;
            news.state = State::Live;
            self.insert(news);
        }
    }

    /// Notes that a call to a router failed, so that it is probed at once.
    pub fn doubt(&mut self, name: &str) {
        if self.entries.contains_key(name) {
            self.doubted.insert(name.into());
        }
    }

    /// Notes the result of a direct or indirect probe.
    pub fn probed(&mut self, name: &str, answered: bool, was_indirect: bool) -> Option<Action> {
        let entry = self.entries.get(name)?;
        let peer = entry.news.peer.clone();
        let mut news = entry.news.clone();
        self.unconfirmed.remove(name);
        if answered {
            // The answer itself shows life; a refutation of the peer's own may still be on its way.
            if matches!(news.state, State::Suspect | State::Dead) {
                news.refutation += 1;
                news.state = State::Live;
                self.insert(news);
            }
            return None;
        }
        if was_indirect {
            if news.state == State::Live {
                news.state = State::Suspect;
                self.insert(news);
            }
            return None;
        }
        let helpers = self.helpers(name);
        if helpers.is_empty() {
            return self.probed(name, false, true);
        }
        Some(Action::ProbeThrough(peer, helpers))
    }

    fn helpers(&mut self, without: &str) -> Vec<Peer> {
        let mut live: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.news.state == State::Live && entry.news.peer.name != without)
            .map(|entry| entry.news.peer.clone())
            .collect();
        live.shuffle(&mut self.rng);
        live.truncate(HELPERS);
        live
    }

    /// Notes that another router has another table.
    pub fn differs(&mut self, name: &str) -> Option<Action> {
        let now = self.clock.now();
        let is_due = |at: Instant| now.duration_since(at) >= SYNC_PERIOD;
        if !self.last_sync.is_none_or(is_due) {
            return None;
        }
        let peer = self.entries.get(name)?.news.peer.clone();
        self.last_sync = Some(now);
        Some(Action::Sync(peer))
    }

    /// Lets time pass; call it at least ten times a second.
    pub fn tick(&mut self) -> Vec<Action> {
        let now = self.clock.now();
        if now.duration_since(self.last_tick) >= PAUSE {
            let others = self.entries.keys().cloned();
            self.unconfirmed = others.collect();
            // Suspicions that grew old during the pause say nothing about the others.
            for entry in self.entries.values_mut() {
                entry.since = now;
            }
            self.doubted.extend(self.unconfirmed.iter().cloned());
        }
        self.last_tick = now;
        self.expire(now);
        let mut actions: Vec<_> = self.take_doubted();
        if now >= self.next_probe {
            self.next_probe = now + PROBE_PERIOD;
            actions.extend(self.next_in_round().map(Action::Probe));
        }
        actions
    }

    fn take_doubted(&mut self) -> Vec<Action> {
        let doubted = std::mem::take(&mut self.doubted);
        let probes = doubted.iter().filter_map(|name| {
            let news = &self.entries.get(name)?.news;
            (news.state < State::Dead).then(|| Action::Probe(news.peer.clone()))
        });
        probes.collect()
    }

    fn expire(&mut self, now: Instant) {
        let mut dead = Vec::new();
        for entry in self.entries.values() {
            let age = now.duration_since(entry.since);
            if entry.news.state == State::Suspect && age >= SUSPECT_LIMIT {
                dead.push(News {
                    state: State::Dead,
                    ..entry.news.clone()
                });
            }
        }
        dead.into_iter().for_each(|news| self.insert(news));
        // A dead router that is still listed stays known, or the list would revive it.
        let listed = &self.listed;
        self.entries.retain(|name, entry| {
            entry.news.state < State::Dead
                || listed.contains(name)
                || now.duration_since(entry.since) < MEMORY
        });
        let entries = &self.entries;
        self.unconfirmed.retain(|name| entries.contains_key(name));
    }

    fn next_in_round(&mut self) -> Option<Peer> {
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                let entry = self.entries.get(&name);
                // The dead are probed too, so that a healed partition is found from both sides.
                if let Some(entry) = entry.filter(|entry| entry.news.state != State::Left) {
                    return Some(entry.news.peer.clone());
                }
            }
            self.round = self.entries.keys().cloned().collect();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    /// Says that this host leaves.
    pub fn leave(&mut self, state: State) {
        self.own.state = state;
        self.own_to_tell = OWN_NEWS_MESSAGES;
    }

    /// Returns this host's own news.
    pub fn own(&self) -> &News {
        &self.own
    }

    /// Returns the news for the next message, this host's own first while they are new.
    pub fn news(&mut self) -> Vec<News> {
        let mut news = Vec::new();
        if self.own_to_tell > 0 {
            self.own_to_tell -= 1;
            news.push(self.own.clone());
        }
        let mut fresh: Vec<_> = self
            .entries
            .values_mut()
            .filter(|entry| entry.to_tell > 0)
            .collect();
        fresh.sort_by_key(|entry| std::cmp::Reverse(entry.to_tell));
        for entry in fresh.into_iter().take(NEWS_PER_MESSAGE) {
            entry.to_tell -= 1;
            news.push(entry.news.clone());
        }
        news
    }

    /// Returns everything that is known.
    pub fn all(&self) -> Vec<News> {
        let others = self.entries.values().map(|entry| entry.news.clone());
        std::iter::once(self.own.clone()).chain(others).collect()
    }

    /// Returns the live routers, this one included unless it leaves.
    pub fn live(&self) -> Vec<Peer> {
        let all = self.entries.values().map(|entry| &entry.news);
        std::iter::once(&self.own)
            .chain(all)
            .filter(|news| news.state == State::Live)
            .map(|news| news.peer.clone())
            .collect()
    }

    /// Returns whether this host may act on duties: it does not leave, and has heard of its peers
    /// since it was paused last.
    pub fn is_active(&self) -> bool {
        self.own.state == State::Live && self.unconfirmed.is_empty()
    }

    /// Returns the state of a router.
    pub fn state(&self, name: &str) -> Option<State> {
        self.entries.get(name).map(|entry| entry.news.state)
    }

    /// Returns a digest by which two tables can be compared.
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
    pub fn any_peer(&mut self) -> Option<Peer> {
        let live = self.live();
        let others: Vec<_> = live
            .iter()
            .filter(|peer| peer.name != self.own.peer.name)
            .collect();
        others.choose(&mut self.rng).map(|peer| (*peer).clone())
    }

    /// Returns a random number for the task.
    pub fn random(&mut self) -> u64 {
        self.rng.next_u64()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::Manual;
    use rand::Rng;

    fn peer(number: usize) -> Peer {
        Peer {
            name: format!("host-{number}").into(),
            address: format!("127.0.0.1:{}", 9000 + number).into(),
            failure_domain: "fd-a".into(),
            region: "default".into(),
        }
    }

    /// Hosts that exchange messages over links that a test can cut.
    struct Net {
        clock: Manual,
        tables: Vec<Table<Manual>>,
        is_up: Vec<bool>,
        cut: BTreeSet<(usize, usize)>,
    }

    impl Net {
        fn new(size: usize, seed: u64) -> Self {
            let clock = Manual::default();
            let listed: Vec<_> = (0..size).map(|number| (peer(number), false)).collect();
            let tables = (0..size).map(|number| {
                let seed = seed + number as u64;
                let mut table = Table::new(clock.clone(), peer(number), 1, seed);
                table.set_listed(&listed);
                table
            });
            Self {
                tables: tables.collect(),
                clock,
                is_up: vec![true; size],
                cut: BTreeSet::new(),
            }
        }

        fn index(&self, peer: &Peer) -> usize {
            peer.name.rsplit_once('-').unwrap().1.parse().unwrap()
        }

        /// A request and its answer.
        fn exchange(&mut self, from: usize, to: usize) -> bool {
            if !self.is_up[to] || self.cut.contains(&(from, to)) {
                return false;
            }
            let news = self.tables[from].news();
            let incarnation = self.tables[from].own.incarnation;
            self.tables[to].heard(&format!("host-{from}"), incarnation);
            self.tables[to].learn_all(news);
            if self.cut.contains(&(to, from)) {
                return false;
            }
            let news = self.tables[to].news();
            let incarnation = self.tables[to].own.incarnation;
            self.tables[from].heard(&format!("host-{to}"), incarnation);
            self.tables[from].learn_all(news);
            true
        }

        fn run(&mut self, time: Duration) {
            let step = Duration::from_millis(100);
            for _ in 0..time.as_millis() / step.as_millis() {
                self.clock.advance(step);
                for number in 0..self.tables.len() {
                    if !self.is_up[number] {
                        continue;
                    }
                    for action in self.tables[number].tick() {
                        self.act(number, action);
                    }
                }
            }
        }

        fn act(&mut self, from: usize, action: Action) {
            let Action::Probe(target) = action else {
                return;
            };
            let to = self.index(&target);
            let answered = self.exchange(from, to);
            let next = self.tables[from].probed(&target.name, answered, false);
            if let Some(Action::ProbeThrough(target, helpers)) = next {
                let helpers: Vec<_> = helpers.iter().map(|helper| self.index(helper)).collect();
                let answered = helpers
                    .into_iter()
                    .any(|helper| self.exchange(from, helper) && self.exchange(helper, to));
                self.tables[from].probed(&target.name, answered, true);
            }
        }

        fn sees(&self, at: usize, other: usize) -> bool {
            self.tables[at].live().contains(&peer(other))
        }
    }

    /// Guards against a dead router that keeps its duties, and a live one that loses them.
    #[test]
    fn finds_the_dead_and_keeps_the_living() {
        for seed in 0..50 {
            let mut net = Net::new(6, seed);
            net.run(Duration::from_secs(5));
            net.is_up[2] = false;
            net.run(Duration::from_secs(12));
            for at in [0, 1, 3, 4, 5] {
                for other in 0..6 {
                    assert_eq!(net.sees(at, other), other != 2, "seed {seed} {at} {other}");
                }
            }
        }
    }

    /// Guards against one cut link that makes a router look dead.
    #[test]
    fn an_indirect_probe_passes_a_cut_link() {
        for seed in 0..50 {
            let mut net = Net::new(6, seed);
            net.cut = BTreeSet::from([(0, 3), (3, 0)]);
            net.run(Duration::from_secs(30));
            assert!(net.sees(0, 3) && net.sees(3, 0), "seed {seed}");
        }
    }

    /// Guards against a partition whose sides never find each other again.
    #[test]
    fn a_healed_partition_joins_again() {
        for seed in 0..50 {
            let mut net = Net::new(6, seed);
            let sides = |a: usize, b: usize| (a < 2) != (b < 2);
            net.cut = (0..36)
                .map(|pair| (pair / 6, pair % 6))
                .filter(|(a, b)| sides(*a, *b))
                .collect();
            net.run(Duration::from_secs(20));
            assert!(!net.sees(0, 4) && !net.sees(4, 0), "seed {seed}");
            assert!(net.sees(0, 1) && net.sees(4, 2), "seed {seed}");
            net.cut.clear();
            net.run(Duration::from_secs(40));
            for at in 0..6 {
                assert_eq!(net.tables[at].live().len(), 6, "seed {seed}");
            }
        }
    }

    /// Guards against a router that acts on old duties after it was paused.
    #[test]
    fn a_paused_router_rests_until_it_has_probed() {
        let mut net = Net::new(3, 1);
        net.run(Duration::from_secs(3));
        assert!(net.tables[0].is_active());
        net.clock.advance(Duration::from_secs(10));
        let probes = net.tables[0].tick();
        assert!(!net.tables[0].is_active());
        for action in probes {
            net.act(0, action);
        }
        assert!(net.tables[0].is_active());
    }

    /// Guards against old news that replace newer ones, in any order of arrival.
    #[test]
    fn news_converge_in_any_order() {
        let mut rng = StdRng::seed_from_u64(7);
        for _ in 0..500 {
            let mut news: Vec<_> = (0..12)
                .map(|_| News {
                    peer: peer(1),
                    incarnation: rng.random_range(1..4),
                    refutation: rng.random_range(0..3),
                    state: [State::Live, State::Suspect, State::Leaving][rng.random_range(0..3)],
                })
                .collect();
            let newest = news
                .iter()
                .max_by_key(|news| news.precedence())
                .unwrap()
                .clone();
            news.shuffle(&mut rng);
            let mut table = Table::new(Manual::default(), peer(0), 1, 1);
            table.learn_all(news);
            assert_eq!(
                table.entries["host-1"].news.precedence(),
                newest.precedence()
            );
        }
    }

    /// Guards against a leaving router that gets duties because the list still shows it as live.
    #[test]
    fn the_list_does_not_undo_leaving() {
        let mut table = Table::new(Manual::default(), peer(0), 1, 1);
        table.set_listed(&[(peer(1), false)]);
        table.learn_all([News {
            peer: peer(1),
            incarnation: 5,
            refutation: 0,
            state: State::Leaving,
        }]);
        table.set_listed(&[(peer(1), false)]);
        assert_eq!(table.state("host-1"), Some(State::Leaving));
    }
}
