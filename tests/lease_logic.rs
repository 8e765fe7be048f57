//! Tests of allocators and lease clients in seeded simulations of a network, with a manual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::route::fleet::Domain;
use bilberrypost::sched::allocator::Allocator;
use bilberrypost::sched::lease::{Class, ClassDemand, Demand, Grant, LEASE_TTL, Lease, Report};
use bilberrypost::sched::lease_client::LeaseClient;
use bilberrypost::sched::share::Shares;
use bilberrypost::wire::Rank;
use compact_str::{CompactString, format_compact};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HOSTS: usize = 6;
const CAPACITY: u32 = 90;
const STEP: Duration = Duration::from_millis(50);
const DOMAIN: &str = "fd-a";
const PARTNERS: [&str; 3] = ["a", "b", "c"];

fn shares(numbers: [f64; 3]) -> Shares {
    let partners = PARTNERS.iter().zip(numbers);
    Shares {
        partners: partners
            .map(|(name, share)| ((*name).into(), share))
            .collect(),
        routine_floor: 0.1,
    }
}

fn class(partner: usize, rank: Rank) -> Class {
    Class {
        partner: PARTNERS[partner].into(),
        rank,
    }
}

/// Faults of the simulated network: probabilities of loss and duplication, and the largest delay.
#[derive(Clone, Copy, Default)]
struct Network {
    loss: f64,
    duplication: f64,
    delay_max_ms: u64,
}

enum Message {
    Report(usize, usize, Report, Instant),
    Lease(usize, Lease, Instant),
}

struct Host {
    client: LeaseClient<Manual>,
    incarnation: u64,
    /// Host whose allocator it reports to; `None` while it is cut off.
    allocator: Option<usize>,
    phase: Duration,
    /// Constant demand by class, in slots.
    wanted: BTreeMap<Class, u32>,
    /// End times of the running requests by class.
    running: BTreeMap<Class, Vec<Instant>>,
    work: BTreeMap<Class, f64>,
    grant: Grant,
    /// When it was last isolated: without a lease, or on a side with at most half of the hosts.
    isolated_at: Option<Instant>,
    is_alive: bool,
}

struct Simulation {
    clock: Manual,
    start: Instant,
    rng: StdRng,
    network: Network,
    hosts: Vec<Host>,
    allocators: BTreeMap<usize, Allocator<Manual>>,
    messages: BTreeMap<(Instant, u64), Message>,
    sent: u64,
    shares: Shares,
    /// Tokens per slot and second of each partner.
    speed: [f64; 3],
    done: [f64; 3],
}

impl Host {
    fn slots(&self) -> u32 {
        self.grant.slots.values().sum()
    }
}

impl Simulation {
    fn new(seed: u64, network: Network) -> Self {
        let clock = Manual::default();
        let mut rng = StdRng::seed_from_u64(seed);
        let shares = shares([50.0, 30.0, 20.0]);
        let now = clock.now();
        let host = |index: usize| Host {
            client: LeaseClient::new(clock.clone(), shares.clone()),
            incarnation: 1,
            allocator: Some(0),
            phase: STEP * rng.random_range(0..20) + Duration::from_micros(index as u64),
            wanted: BTreeMap::new(),
            running: BTreeMap::new(),
            work: BTreeMap::new(),
            grant: Grant {
                slots: BTreeMap::new(),
                work_per_s: BTreeMap::new(),
                expires_at: now,
            },
            isolated_at: Some(now),
            is_alive: true,
        };
        let hosts = (0..HOSTS).map(host).collect();
        Self {
            start: now,
            rng,
            network,
            hosts,
            allocators: BTreeMap::new(),
            messages: BTreeMap::new(),
            sent: 0,
            shares,
            speed: [100.0; 3],
            done: [0.0; 3],
            clock,
        }
    }

    fn elapsed(&self) -> Duration {
        self.clock.now() - self.start
    }

    fn want(&mut self, host: usize, partner: usize, rank: Rank, slots: u32) {
        self.hosts[host].wanted.insert(class(partner, rank), slots);
    }

    fn send(&mut self, make: impl Fn() -> Message) {
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.network.loss) {
                continue;
            }
            let delay = self.rng.random_range(1..=self.network.delay_max_ms);
            self.sent += 1;
            let at = self.clock.now() + Duration::from_millis(delay);
            self.messages.insert((at, self.sent), make());
        }
    }

    fn step(&mut self) {
        self.clock.advance(STEP);
        let now = self.clock.now();
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let message = entry.remove();
            self.deliver(message);
        }
        for index in 0..HOSTS {
            if self.hosts[index].is_alive {
                self.run_host(index);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(to, host, report, sent_at) => {
                let is_cut_off = self.hosts[host].allocator.is_none();
                if !self.hosts[to].is_alive || is_cut_off {
                    return;
                }
                let (clock, shares) = (self.clock.clone(), self.shares.clone());
                let allocator = self
                    .allocators
                    .entry(to)
                    .or_insert_with(|| Allocator::new(clock, shares));
                let name = format!("host-{host}");
                let incarnation = self.hosts[host].incarnation;
                let lease = allocator.report(&name.as_str().into(), incarnation, &report);
                self.send(|| Message::Lease(host, lease.clone(), sent_at));
            }
            Message::Lease(host, lease, sent_at) => {
                if self.hosts[host].allocator.is_some() {
                    self.hosts[host].client.accept(DOMAIN, sent_at, lease);
                }
            }
        }
    }

    fn run_host(&mut self, index: usize) {
        let now = self.clock.now();
        let since = now + Duration::from_secs(1) - self.start - self.hosts[index].phase;
        if since.as_millis() % 1000 < STEP.as_millis() {
            self.report(index);
        }
        let to = self.hosts[index].allocator;
        let side = self.hosts.iter().filter(|host| host.allocator == to);
        let is_minority = to.is_some() && 2 * side.count() <= HOSTS;
        let host = &mut self.hosts[index];
        host.grant = host.client.grant();
        let has_no_lease = host.client.allotments().values().all(|held| !held.leased);
        if has_no_lease || is_minority {
            host.isolated_at = Some(now);
        }
        for (class, ends) in &mut host.running {
            let partner = PARTNERS.iter().position(|name| *name == class.partner);
            let done = ends.len() as f64 * self.speed[partner.unwrap()] * STEP.as_secs_f64();
            *host.work.entry(class.clone()).or_default() += done;
            self.done[partner.unwrap()] += done;
            ends.retain(|end| *end > now);
        }
        let limit: u32 = host.grant.slots.values().sum();
        while (host.running.values().map(Vec::len).sum::<usize>() as u32) < limit {
            let unused_slots = |class: &Class| {
                let running = host.running.get(class).map_or(0, Vec::len) as i64;
                i64::from(host.grant.slots.get(class).copied().unwrap_or(0)) - running
            };
            let waiting = host.wanted.iter().filter(|(class, wanted)| {
                host.running.get(class).map_or(0, Vec::len) < **wanted as usize
            });
            let Some(class) = waiting
                .map(|(class, _)| class)
                .max_by_key(|class| unused_slots(class))
            else {
                break;
            };
            let duration = Duration::from_millis(self.rng.random_range(500..1500));
            let ends = host.running.entry(class.clone()).or_default();
            ends.push(now + duration);
        }
    }

    fn report(&mut self, index: usize) {
        let sent_at = self.clock.now();
        let host = &mut self.hosts[index];
        let mut demand = Demand::default();
        for (class, wanted) in &host.wanted {
            let in_use = host.running.get(class).map_or(0, Vec::len) as u32;
            let work = host.work.remove(class).unwrap_or(0.0) as u64;
            let class_demand = ClassDemand {
                wanted: *wanted.max(&in_use),
                in_use,
                work,
            };
            demand.classes.insert(class.clone(), class_demand);
        }
        let domain = Domain {
            slots: CAPACITY,
            capacity: CAPACITY,
        };
        let domains = BTreeMap::from([(DOMAIN.into(), domain)]);
        let reports = host.client.reports(&demand, &domains, HOSTS as u32);
        let Some(to) = host.allocator else {
            return;
        };
        for (_, report) in reports {
            self.send(|| Message::Report(to, index, report.clone(), sent_at));
        }
    }

    /// Returns the slots that all live hosts may use now.
    fn granted(&self) -> u32 {
        let live = self.hosts.iter().filter(|host| host.is_alive);
        live.map(Host::slots).sum()
    }

    /// Returns the bound on slots in use: the capacity, plus an equal part of it for each host that
    /// was isolated within the last two lease periods.
    fn bound(&self) -> u32 {
        let now = self.clock.now();
        let is_recent = |at: Instant| now - at <= 2 * LEASE_TTL + STEP;
        let was_isolated = |host: &&Host| host.isolated_at.is_some_and(is_recent);
        let isolated = self.hosts.iter().filter(was_isolated).count() as u32;
        CAPACITY + isolated * (CAPACITY / HOSTS as u32)
    }

    /// Runs for `time` and returns each partner's part of the work done meanwhile, in percent.
    fn run(&mut self, time: Duration) -> [f64; 3] {
        let end = self.elapsed() + time;
        self.done = [0.0; 3];
        while self.elapsed() < end {
            self.step();
        }
        let total: f64 = self.done.iter().sum();
        self.done.map(|done| 100.0 * done / total.max(1.0))
    }
}

const RELIABLE: Network = Network {
    loss: 0.0,
    duplication: 0.0,
    delay_max_ms: 5,
};

const UNRELIABLE: Network = Network {
    loss: 0.2,
    duplication: 0.2,
    delay_max_ms: 2500,
};

/// Guards against more slots in use than the bound allows when messages are lost, duplicated or
/// delayed, hosts restart or are cut off, and the allocator changes.
#[test]
fn never_exceeds_the_bound() {
    for seed in 0..30 {
        let network = if seed % 3 == 0 { RELIABLE } else { UNRELIABLE };
        let mut sim = Simulation::new(seed, network);
        let mut allocator = 0;
        for step in 0..1200 {
            if step % 20 == 0 {
                let host = sim.rng.random_range(0..HOSTS);
                let partner = sim.rng.random_range(0..3);
                let rank = [Rank::Urgent, Rank::Routine][sim.rng.random_range(0..2)];
                let slots = [0, 3, 30, 200][sim.rng.random_range(0..4)];
                sim.want(host, partner, rank, slots);
            }
            if step % 40 == 0 {
                let host = sim.rng.random_range(0..HOSTS);
                match sim.rng.random_range(0..4) {
                    // A host is cut off, or comes back.
                    0 => {
                        let was_cut_off = sim.hosts[host].allocator.take().is_none();
                        sim.hosts[host].allocator = was_cut_off.then_some(allocator);
                    }
                    // A host restarts.
                    1 => {
                        let clock = sim.clock.clone();
                        sim.allocators.remove(&host);
                        let host = &mut sim.hosts[host];
                        host.incarnation += 1;
                        host.client = LeaseClient::new(clock, sim.shares.clone());
                        host.running.clear();
                    }
                    // A host reports to another allocator than the others, or to the same again.
                    2 if sim.hosts[host].allocator.is_some() => {
                        let other = sim.rng.random_range(0..HOSTS);
                        let same = sim.hosts[host].allocator != Some(allocator);
                        sim.hosts[host].allocator = Some(if same { allocator } else { other });
                    }
                    _ => {}
                }
            }
            if step % 200 == 199 {
                // The allocator is lost, and all reachable hosts report to another one.
                sim.allocators.remove(&allocator);
                allocator = sim.rng.random_range(0..HOSTS);
                sim.allocators.retain(|name, _| *name == allocator);
                let hosts = sim.hosts.iter_mut();
                let reaching = hosts.filter(|host| host.allocator.is_some());
                reaching.for_each(|host| host.allocator = Some(allocator));
            }
            sim.step();
            let (granted, bound) = (sim.granted(), sim.bound());
            assert!(
                granted <= bound,
                "seed {seed} step {step}: {granted} > {bound}"
            );
        }
    }
}

/// Guards against a partition in which both sides lease the whole capacity or one side serves
/// nothing, and against overcommitment that continues after the partition.
#[test]
fn both_sides_of_a_partition_serve_within_the_bound() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, RELIABLE);
        for host in 0..HOSTS {
            sim.want(host, host % 3, Rank::Routine, 200);
        }
        sim.run(Duration::from_secs(10));
        let side = sim.rng.random_range(1..HOSTS);
        for host in 0..side {
            sim.hosts[host].allocator = Some(0);
        }
        for host in side..HOSTS {
            sim.hosts[host].allocator = Some(HOSTS - 1);
        }
        for _ in 0..400 {
            sim.step();
            assert!(sim.granted() <= sim.bound(), "seed {seed}");
        }
        let part = |hosts: usize| match 2 * hosts > HOSTS {
            true => CAPACITY,
            false => hosts as u32 * CAPACITY / HOSTS as u32,
        };
        for (hosts, expected) in [(0..side, part(side)), (side..HOSTS, part(HOSTS - side))] {
            let got: u32 = sim.hosts[hosts].iter().map(Host::slots).sum();
            // Slots that move from one host to another are unused for about a second.
            assert!(
                got <= expected && 10 * got >= 9 * expected - 10,
                "seed {seed} side {side}: {got} for {expected}"
            );
        }
        for host in &mut sim.hosts {
            host.allocator = Some(0);
        }
        sim.run(2 * LEASE_TTL);
        for _ in 0..200 {
            sim.step();
            assert!(sim.granted() <= CAPACITY, "seed {seed}: {}", sim.granted());
        }
    }
}

/// Guards against hosts that stop serving, or use more than the fallback, when no allocator answers.
#[test]
fn hosts_without_allocator_use_a_safe_fraction() {
    let mut sim = Simulation::new(1, RELIABLE);
    sim.want(0, 0, Rank::Routine, 200);
    sim.run(Duration::from_secs(10));
    let before: u32 = sim.hosts[0].grant.slots.values().sum();
    assert!(
        before > CAPACITY / 2,
        "the only host with work has most slots: {before}"
    );
    for host in &mut sim.hosts {
        host.allocator = None;
    }
    sim.run(Duration::from_secs(1));
    let during: u32 = sim.hosts[0].grant.slots.values().sum();
    assert_eq!(during, before, "the last lease is still in force");
    sim.run(LEASE_TTL);
    for host in &sim.hosts {
        // The lease of a host without work was empty, so it uses only half of the fallback limit.
        let limit = CAPACITY / HOSTS as u32;
        assert!((limit.div_ceil(2)..=limit).contains(&host.slots()));
    }
}

/// Guards against slots of a dead host that are never leased again.
#[test]
fn a_dead_host_loses_its_lease_after_it_expired() {
    let mut sim = Simulation::new(2, RELIABLE);
    for host in 0..HOSTS {
        sim.want(host, 0, Rank::Routine, 200);
    }
    sim.run(Duration::from_secs(10));
    assert_eq!(sim.granted(), CAPACITY);
    sim.hosts[3].is_alive = false;
    sim.run(Duration::from_secs(1));
    assert!(sim.granted() < CAPACITY);
    // The lease lasts 3 s, and the next reports come within 1 s.
    sim.run(LEASE_TTL + Duration::from_secs(1));
    assert_eq!(sim.granted(), CAPACITY);
}

/// Guards against shares that apply to slots instead of work, and against shares that depend on the
/// hosts at which the work arrives.
#[test]
fn shares_of_work_converge() {
    for (seed, speed) in [
        (1, [100.0; 3]),
        (2, [100.0, 50.0, 100.0]),
        (3, [40.0, 90.0, 120.0]),
    ] {
        let mut sim = Simulation::new(seed, RELIABLE);
        sim.speed = speed;
        // Work of partner a arrives at one host, of b at two, of c at all.
        sim.want(0, 0, Rank::Routine, 900);
        sim.want(1, 1, Rank::Urgent, 50);
        sim.want(2, 1, Rank::Routine, 300);
        for host in 0..HOSTS {
            sim.want(host, 2, Rank::Routine, 30);
        }
        sim.run(Duration::from_secs(60));
        let got = sim.run(Duration::from_secs(30));
        for (got, expected) in got.iter().zip([50.0, 30.0, 20.0]) {
            assert!((got - expected).abs() <= 2.0, "seed {seed}: {got:?}");
        }
    }
}

/// Guards against shares that change when a host is cut off, and against slots that stay reserved
/// for it after the platform no longer lists it.
#[test]
fn a_listed_host_that_is_cut_off_keeps_its_part() {
    let mut sim = Simulation::new(7, RELIABLE);
    for host in 0..HOSTS {
        sim.want(host, host % 3, Rank::Routine, 200);
        sim.want(host, 0, Rank::Routine, 200);
    }
    sim.run(Duration::from_secs(30));
    let mut names: BTreeSet<_> = (0..HOSTS)
        .map(|host| format_compact!("host-{host}"))
        .collect();
    let list = |sim: &mut Simulation, names: &BTreeSet<CompactString>| {
        let allocators = sim.allocators.values_mut();
        allocators.for_each(|allocator| allocator.set_listed_hosts(names.clone()));
    };
    list(&mut sim, &names);
    sim.hosts[4].allocator = None;
    sim.run(2 * LEASE_TTL);
    assert!(sim.granted() <= CAPACITY, "{}", sim.granted());
    let got = sim.run(Duration::from_secs(30));
    for (got, expected) in got.iter().zip([50.0, 30.0, 20.0]) {
        assert!((got - expected).abs() <= 2.0, "{got} for {expected}");
    }
    names.remove("host-4");
    list(&mut sim, &names);
    sim.run(LEASE_TTL);
    let others: u32 = (0..HOSTS)
        .filter(|host| *host != 4)
        .map(|host| sim.hosts[host].slots())
        .sum();
    // Slots that move from one host to another are unused for about a second.
    assert!(others >= CAPACITY * 9 / 10, "{others}");
}

/// Guards against new shares that take effect late.
#[test]
fn new_shares_are_met_within_four_seconds() {
    let mut sim = Simulation::new(4, RELIABLE);
    for host in 0..HOSTS {
        (0..3).for_each(|partner| sim.want(host, partner, Rank::Routine, 100));
    }
    sim.run(Duration::from_secs(30));
    sim.shares = shares([20.0, 30.0, 50.0]);
    for allocator in sim.allocators.values_mut() {
        allocator.set_shares(sim.shares.clone());
    }
    sim.run(Duration::from_secs(4));
    let got = sim.run(Duration::from_secs(10));
    for (got, expected) in got.iter().zip([20.0, 30.0, 50.0]) {
        assert!((got - expected).abs() <= 2.0, "{got} for {expected}");
    }
}

/// Guards against idle slots that are not lent, and lent slots that are not returned.
#[test]
fn lends_what_is_idle_and_returns_it() {
    let mut sim = Simulation::new(5, RELIABLE);
    sim.want(0, 0, Rank::Routine, 900);
    sim.run(Duration::from_secs(10));
    let got = sim.hosts[0].grant.slots.values().sum::<u32>();
    assert_eq!(got, CAPACITY, "all idle slots are lent");
    sim.want(4, 1, Rank::Routine, 900);
    sim.want(5, 2, Rank::Urgent, 900);
    // The report, the release by the other host and its confirmation take a second each.
    sim.run(Duration::from_secs(3));
    for (host, expected) in [(0, 45), (4, 27), (5, 18)] {
        let got: u32 = sim.hosts[host].grant.slots.values().sum();
        assert!(got.abs_diff(expected) <= 2, "host {host}: {got}");
    }
}

/// Guards against messages that exceed the budget of 6 KB/s per host. A third of it is left for
/// other control traffic; the rest is for 3 domains, each with one report and one lease a second.
#[test]
fn messages_are_small() {
    let mut sim = Simulation::new(6, RELIABLE);
    for host in 0..HOSTS {
        for partner in 0..3 {
            sim.want(host, partner, Rank::Urgent, 100);
            sim.want(host, partner, Rank::Routine, 1000);
        }
    }
    sim.network.delay_max_ms = 300;
    sim.run(Duration::from_secs(20));
    let mut largest = [0, 0];
    for _ in 0..100 {
        sim.step();
        for message in sim.messages.values() {
            match message {
                Message::Report(_, _, report, _) => {
                    largest[0] = largest[0].max(serde_json::to_string(report).unwrap().len());
                }
                Message::Lease(_, lease, _) => {
                    largest[1] = largest[1].max(serde_json::to_string(lease).unwrap().len());
                }
            }
        }
    }
    assert!(largest[0] > 0 && largest[1] > 0);
    assert!(largest.iter().sum::<usize>() <= 4096 / 3, "{largest:?}");
}
