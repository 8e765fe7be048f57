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

/// Simulated hosts whose links a test can cut, in each direction.
struct Network {
    clock: Manual,
    tables: Vec<Table<Manual>>,
    is_up: Vec<bool>,
    cut_links: BTreeSet<(usize, usize)>,
}

impl Network {
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
            cut_links: BTreeSet::new(),
        }
    }

    fn index(&self, peer: &Peer) -> usize {
        peer.name.rsplit_once('-').unwrap().1.parse().unwrap()
    }

    /// Delivers a request and its answer; returns whether the answer arrived.
    fn exchange(&mut self, from: usize, to: usize) -> bool {
        if !self.is_up[to] || self.cut_links.contains(&(from, to)) {
            return false;
        }
        let updates = self.tables[from].next_updates();
        let incarnation = self.tables[from].own.incarnation;
        self.tables[to].record_contact(&format!("host-{from}"), incarnation);
        self.tables[to].apply_all(updates);
        if self.cut_links.contains(&(to, from)) {
            return false;
        }
        let updates = self.tables[to].next_updates();
        let incarnation = self.tables[to].own.incarnation;
        self.tables[from].record_contact(&format!("host-{to}"), incarnation);
        self.tables[from].apply_all(updates);
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
                    self.perform(number, action);
                }
            }
        }
    }

    fn perform(&mut self, from: usize, action: Action) {
        let Action::Probe(target) = action else {
            return;
        };
        let to = self.index(&target);
        let answered = self.exchange(from, to);
        let next = self.tables[from].record_probe(&target.name, answered, false);
        if let Some(Action::ProbeIndirectly(target, helpers)) = next {
            let helpers: Vec<_> = helpers.iter().map(|helper| self.index(helper)).collect();
            let answered = helpers
                .into_iter()
                .any(|helper| self.exchange(from, helper) && self.exchange(helper, to));
            self.tables[from].record_probe(&target.name, answered, true);
        }
    }

    fn sees_live(&self, at: usize, other: usize) -> bool {
        self.tables[at].live().contains(&peer(other))
    }
}

/// Guards against a dead router that keeps its duties, and against a live one that loses them.
#[test]
fn dead_routers_are_removed_and_live_ones_kept() {
    for seed in 0..50 {
        let mut net = Network::new(6, seed);
        net.run(Duration::from_secs(5));
        net.is_up[2] = false;
        net.run(Duration::from_secs(12));
        for at in [0, 1, 3, 4, 5] {
            for other in 0..6 {
                assert_eq!(
                    net.sees_live(at, other),
                    other != 2,
                    "seed {seed} {at} {other}"
                );
            }
        }
    }
}

/// Guards against a router that counts as dead because the link to one peer is cut.
#[test]
fn indirect_probes_bypass_a_cut_link() {
    for seed in 0..50 {
        let mut net = Network::new(6, seed);
        net.cut_links = BTreeSet::from([(0, 3), (3, 0)]);
        net.run(Duration::from_secs(30));
        assert!(net.sees_live(0, 3) && net.sees_live(3, 0), "seed {seed}");
    }
}

/// Guards against a partition whose sides still count each other as dead after it has healed.
#[test]
fn a_healed_partition_merges() {
    for seed in 0..50 {
        let mut net = Network::new(6, seed);
        let is_across = |a: usize, b: usize| (a < 2) != (b < 2);
        net.cut_links = (0..36)
            .map(|pair| (pair / 6, pair % 6))
            .filter(|(a, b)| is_across(*a, *b))
            .collect();
        net.run(Duration::from_secs(20));
        assert!(!net.sees_live(0, 4) && !net.sees_live(4, 0), "seed {seed}");
        assert!(net.sees_live(0, 1) && net.sees_live(4, 2), "seed {seed}");
        net.cut_links.clear();
        net.run(Duration::from_secs(40));
        for at in 0..6 {
            assert_eq!(net.tables[at].live().len(), 6, "seed {seed}");
        }
    }
}

/// Guards against a router that acts on its former duties right after a pause of its process.
#[test]
fn a_paused_router_is_inactive_until_it_has_probed() {
    let mut net = Network::new(3, 1);
    net.run(Duration::from_secs(3));
    assert!(net.tables[0].is_active());
    net.clock.advance(Duration::from_secs(10));
    let probes = net.tables[0].tick();
    assert!(!net.tables[0].is_active());
    for action in probes {
        net.perform(0, action);
    }
    assert!(net.tables[0].is_active());
}

/// Guards against an old update that replaces a newer one, for any order of arrival.
#[test]
fn updates_converge_in_any_order() {
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..500 {
        let mut updates: Vec<_> = (0..12)
            .map(|_| Update {
                peer: peer(1),
                incarnation: rng.random_range(1..4),
                refutation: rng.random_range(0..3),
                state: [State::Live, State::Suspect, State::Leaving][rng.random_range(0..3)],
            })
            .collect();
        let newest = updates
            .iter()
            .max_by_key(|update| update.precedence())
            .unwrap()
            .clone();
        updates.shuffle(&mut rng);
        let mut table = Table::new(Manual::default(), peer(0), 1, 1);
        table.apply_all(updates);
        assert_eq!(
            table.entries["host-1"].update.precedence(),
            newest.precedence()
        );
    }
}

/// Guards against a leaving router that gets duties because the list still shows it as live.
#[test]
fn the_list_does_not_undo_leaving() {
    let mut table = Table::new(Manual::default(), peer(0), 1, 1);
    table.set_listed(&[(peer(1), false)]);
    table.apply_all([Update {
        peer: peer(1),
        incarnation: 5,
        refutation: 0,
        state: State::Leaving,
    }]);
    table.set_listed(&[(peer(1), false)]);
    assert_eq!(table.state("host-1"), Some(State::Leaving));
}
