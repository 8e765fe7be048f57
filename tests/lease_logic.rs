//! Allocators and hosts over many seeded histories, with the clock moved by hand.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::route::fleet::Domain;
use bilberrypost::sched::allocator::Allocator;
use bilberrypost::sched::lease::{Class, Demand, Grant, LEASE, Lease, Report, Want};
use bilberrypost::sched::lease_client::Keeper;
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

/// What happens to messages.
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
    keeper: Keeper<Manual>,
    incarnation: u64,
    /// The host whose allocator it reports to, `None` when it reaches none.
    allocator: Option<usize>,
    phase: Duration,
    /// Demand by class that never runs out, in places.
    wanted: BTreeMap<Class, u32>,
    /// Running work by class: when it ends.
    running: BTreeMap<Class, Vec<Instant>>,
    work: BTreeMap<Class, f64>,
    grant: Grant,
    /// When it was last without a lease, or on a side with at most half of the hosts.
    apart_at: Option<Instant>,
    alive: bool,
}

struct World {
    clock: Manual,
    start: Instant,
    draws: StdRng,
    network: Network,
    hosts: Vec<Host>,
    allocators: BTreeMap<usize, Allocator<Manual>>,
    messages: BTreeMap<(Instant, u64), Message>,
    sent: u64,
    shares: Shares,
    /// Tokens per place and second of each partner.
    speed: [f64; 3],
    done: [f64; 3],
}

impl Host {
    fn places(&self) -> u32 {
        self.grant.places.values().sum()
    }
}

impl World {
    fn new(seed: u64, network: Network) -> Self {
        let clock = Manual::default();
        let mut draws = StdRng::seed_from_u64(seed);
        let shares = shares([50.0, 30.0, 20.0]);
        let now = clock.now();
        let host = |index: usize| Host {
            keeper: Keeper::new(clock.clone(), shares.clone()),
            incarnation: 1,
            allocator: Some(0),
            phase: STEP * draws.random_range(0..20) + Duration::from_micros(index as u64),
            wanted: BTreeMap::new(),
            running: BTreeMap::new(),
            work: BTreeMap::new(),
            grant: Grant {
                places: BTreeMap::new(),
                work_per_s: BTreeMap::new(),
                until: now,
            },
            apart_at: Some(now),
            alive: true,
        };
        let hosts = (0..HOSTS).map(host).collect();
        Self {
            start: now,
            draws,
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

    fn want(&mut self, host: usize, partner: usize, rank: Rank, places: u32) {
        self.hosts[host].wanted.insert(class(partner, rank), places);
    }

    fn send(&mut self, make: impl Fn() -> Message) {
        let copies = 1 + usize::from(self.draws.random_bool(self.network.duplication));
        for _ in 0..copies {
            if self.draws.random_bool(self.network.loss) {
                continue;
            }
            let delay = self.draws.random_range(1..=self.network.delay_max_ms);
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
            if self.hosts[index].alive {
                self.run_host(index);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report(to, host, report, sent_at) => {
                let from_cut_off = self.hosts[host].allocator.is_none();
                if !self.hosts[to].alive || from_cut_off {
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
                    self.hosts[host].keeper.accept(DOMAIN, sent_at, lease);
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
        let is_minor = to.is_some() && 2 * side.count() <= HOSTS;
        let host = &mut self.hosts[index];
        host.grant = host.keeper.grant();
        let is_alone = host.keeper.domains().values().all(|held| !held.leased);
        if is_alone || is_minor {
            host.apart_at = Some(now);
        }
        for (class, ends) in &mut host.running {
            let partner = PARTNERS.iter().position(|name| *name == class.partner);
            let done = ends.len() as f64 * self.speed[partner.unwrap()] * STEP.as_secs_f64();
            *host.work.entry(class.clone()).or_default() += done;
            self.done[partner.unwrap()] += done;
            ends.retain(|end| *end > now);
        }
        let limit: u32 = host.grant.places.values().sum();
        while (host.running.values().map(Vec::len).sum::<usize>() as u32) < limit {
            let claim = |class: &Class| {
                let running = host.running.get(class).map_or(0, Vec::len) as i64;
                i64::from(host.grant.places.get(class).copied().unwrap_or(0)) - running
            };
            let waiting = host.wanted.iter().filter(|(class, wanted)| {
                host.running.get(class).map_or(0, Vec::len) < **wanted as usize
            });
            let Some(class) = waiting
                .map(|(class, _)| class)
                .max_by_key(|class| claim(class))
            else {
                break;
            };
            let lasts = Duration::from_millis(self.draws.random_range(500..1500));
            let ends = host.running.entry(class.clone()).or_default();
            ends.push(now + lasts);
        }
    }

    fn report(&mut self, index: usize) {
        let sent_at = self.clock.now();
        let host = &mut self.hosts[index];
        let mut demand = Demand::default();
        for (class, wanted) in &host.wanted {
            let in_use = host.running.get(class).map_or(0, Vec::len) as u32;
            let work = host.work.remove(class).unwrap_or(0.0) as u64;
            let want = Want {
                wanted: *wanted.max(&in_use),
                in_use,
                work,
            };
            demand.classes.insert(class.clone(), want);
        }
        let domain = Domain {
            slots: CAPACITY,
            capacity: CAPACITY,
        };
        let domains = BTreeMap::from([(DOMAIN.into(), domain)]);
        let reports = host.keeper.reports(&demand, &domains, HOSTS as u32);
        let Some(to) = host.allocator else {
            return;
        };
        for (_, report) in reports {
            self.send(|| Message::Report(to, index, report.clone(), sent_at));
        }
    }

    /// Returns the places that all live hosts may use now.
    fn granted(&self) -> u32 {
        let alive = self.hosts.iter().filter(|host| host.alive);
        alive.map(Host::places).sum()
    }

    /// Returns the bound: the capacity, and its part of it for each host that was apart lately.
    fn bound(&self) -> u32 {
        let now = self.clock.now();
        let is_late = |at: Instant| now - at <= 2 * LEASE + STEP;
        let lately = |host: &&Host| host.apart_at.is_some_and(is_late);
        let apart = self.hosts.iter().filter(lately).count() as u32;
        CAPACITY + apart * (CAPACITY / HOSTS as u32)
    }

    /// Runs for a time and returns each partner's part of the work done in it, in percent.
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

const CALM: Network = Network {
    loss: 0.0,
    duplication: 0.0,
    delay_max_ms: 5,
};

const STORMY: Network = Network {
    loss: 0.2,
    duplication: 0.2,
    delay_max_ms: 2500,
};

/// Guards against more places than the stated bound, whatever happens to messages, hosts and
/// allocators while all hosts agree on the allocator.
#[test]
fn never_exceeds_the_bound() {
    for seed in 0..30 {
        let network = if seed % 3 == 0 { CALM } else { STORMY };
        let mut world = World::new(seed, network);
        let mut allocator = 0;
        for step in 0..1200 {
            if step % 20 == 0 {
                let host = world.draws.random_range(0..HOSTS);
                let partner = world.draws.random_range(0..3);
                let rank = [Rank::Urgent, Rank::Routine][world.draws.random_range(0..2)];
                let places = [0, 3, 30, 200][world.draws.random_range(0..4)];
                world.want(host, partner, rank, places);
            }
            if step % 40 == 0 {
                let host = world.draws.random_range(0..HOSTS);
                match world.draws.random_range(0..4) {
                    // A host is cut off, or comes back.
                    0 => {
                        let cut = world.hosts[host].allocator.take().is_none();
                        world.hosts[host].allocator = cut.then_some(allocator);
                    }
                    // A host restarts.
                    1 => {
                        let clock = world.clock.clone();
                        world.allocators.remove(&host);
                        let host = &mut world.hosts[host];
                        host.incarnation += 1;
                        host.keeper = Keeper::new(clock, world.shares.clone());
                        host.running.clear();
                    }
                    // A host sees another allocator than the others, or the same again.
                    2 if world.hosts[host].allocator.is_some() => {
                        let other = world.draws.random_range(0..HOSTS);
                        let same = world.hosts[host].allocator != Some(allocator);
                        world.hosts[host].allocator = Some(if same { allocator } else { other });
                    }
                    _ => {}
                }
            }
            if step % 200 == 199 {
                // The allocator is lost, and all hosts report to another one.
                world.allocators.remove(&allocator);
                allocator = world.draws.random_range(0..HOSTS);
                world.allocators.retain(|name, _| *name == allocator);
                let hosts = world.hosts.iter_mut();
                let reaching = hosts.filter(|host| host.allocator.is_some());
                reaching.for_each(|host| host.allocator = Some(allocator));
            }
            world.step();
            let (granted, bound) = (world.granted(), world.bound());
            assert!(
                granted <= bound,
                "seed {seed} step {step}: {granted} > {bound}"
            );
        }
    }
}

/// Guards against two sides that each lease the whole capacity, a side that serves nothing, and an
/// excess that outlasts the partition.
#[test]
fn both_sides_of_a_partition_serve_within_the_bound() {
    for seed in 0..20 {
        let mut world = World::new(seed, CALM);
        for host in 0..HOSTS {
            world.want(host, host % 3, Rank::Routine, 200);
        }
        world.run(Duration::from_secs(10));
        let side = world.draws.random_range(1..HOSTS);
        for host in 0..side {
            world.hosts[host].allocator = Some(0);
        }
        for host in side..HOSTS {
            world.hosts[host].allocator = Some(HOSTS - 1);
        }
        for _ in 0..400 {
            world.step();
            assert!(world.granted() <= world.bound(), "seed {seed}");
        }
        let part = |hosts: usize| match 2 * hosts > HOSTS {
            true => CAPACITY,
            false => hosts as u32 * CAPACITY / HOSTS as u32,
        };
        for (hosts, expected) in [(0..side, part(side)), (side..HOSTS, part(HOSTS - side))] {
            let got: u32 = world.hosts[hosts].iter().map(Host::places).sum();
            // Places on their way from one host to another are out for a second.
            assert!(
                got <= expected && 10 * got >= 9 * expected - 10,
                "seed {seed} side {side}: {got} for {expected}"
            );
        }
        for host in &mut world.hosts {
            host.allocator = Some(0);
        }
        world.run(2 * LEASE);
        for _ in 0..200 {
            world.step();
            assert!(
                world.granted() <= CAPACITY,
                "seed {seed}: {}",
                world.granted()
            );
        }
    }
}

/// Guards against hosts that stop or overcommit for good when no allocator answers.
#[test]
fn hosts_without_allocator_use_a_safe_fraction() {
    let mut world = World::new(1, CALM);
    world.want(0, 0, Rank::Routine, 200);
    world.run(Duration::from_secs(10));
    let before: u32 = world.hosts[0].grant.places.values().sum();
    assert!(
        before > CAPACITY / 2,
        "the only host with work has most: {before}"
    );
    for host in &mut world.hosts {
        host.allocator = None;
    }
    world.run(Duration::from_secs(1));
    let during: u32 = world.hosts[0].grant.places.values().sum();
    assert_eq!(during, before, "the last lease goes on");
    world.run(LEASE);
    for host in &world.hosts {
        // The lease of a host without work was empty.
        let safe = CAPACITY / HOSTS as u32;
        assert!((safe.div_ceil(2)..=safe).contains(&host.places()));
    }
}

/// Guards against places of a dead host that are never leased again.
#[test]
fn a_dead_host_loses_its_lease_after_it_expired() {
    let mut world = World::new(2, CALM);
    for host in 0..HOSTS {
        world.want(host, 0, Rank::Routine, 200);
    }
    world.run(Duration::from_secs(10));
    assert_eq!(world.granted(), CAPACITY);
    world.hosts[3].alive = false;
    world.run(Duration::from_secs(1));
    assert!(world.granted() < CAPACITY);
    // The lease lasts 3 s, and the next reports come within 1 s.
    world.run(LEASE + Duration::from_secs(1));
    assert_eq!(world.granted(), CAPACITY);
}

/// Guards against shares of places instead of work, and against shares that depend on the hosts
/// where the work enters.
#[test]
fn shares_of_work_converge() {
    for (seed, speed) in [
        (1, [100.0; 3]),
        (2, [100.0, 50.0, 100.0]),
        (3, [40.0, 90.0, 120.0]),
    ] {
        let mut world = World::new(seed, CALM);
        world.speed = speed;
        // Partner a enters at one host, b at two, c at all.
        world.want(0, 0, Rank::Routine, 900);
        world.want(1, 1, Rank::Urgent, 50);
        world.want(2, 1, Rank::Routine, 300);
        for host in 0..HOSTS {
            world.want(host, 2, Rank::Routine, 30);
        }
        world.run(Duration::from_secs(60));
        let got = world.run(Duration::from_secs(30));
        for (got, expected) in got.iter().zip([50.0, 30.0, 20.0]) {
            assert!((got - expected).abs() <= 2.0, "seed {seed}: {got:?}");
        }
    }
}

/// Guards against shares that a host shifts when it is cut off, and against its places being kept
/// for it after the platform dropped it.
#[test]
fn a_listed_host_that_is_cut_off_keeps_its_part() {
    let mut world = World::new(7, CALM);
    for host in 0..HOSTS {
        world.want(host, host % 3, Rank::Routine, 200);
        world.want(host, 0, Rank::Routine, 200);
    }
    world.run(Duration::from_secs(30));
    let mut names: BTreeSet<_> = (0..HOSTS)
        .map(|host| format_compact!("host-{host}"))
        .collect();
    let list = |world: &mut World, names: &BTreeSet<CompactString>| {
        let allocators = world.allocators.values_mut();
        allocators.for_each(|allocator| allocator.set_listed(names.clone()));
    };
    list(&mut world, &names);
    world.hosts[4].allocator = None;
    world.run(2 * LEASE);
    assert!(world.granted() <= CAPACITY, "{}", world.granted());
    let got = world.run(Duration::from_secs(30));
    for (got, expected) in got.iter().zip([50.0, 30.0, 20.0]) {
        assert!((got - expected).abs() <= 2.0, "{got} for {expected}");
    }
    names.remove("host-4");
    list(&mut world, &names);
    world.run(LEASE);
    let others: u32 = (0..HOSTS)
        .filter(|host| *host != 4)
        .map(|host| world.hosts[host].places())
        .sum();
    // Places on their way from one host to another are out for a second.
    assert!(others >= CAPACITY * 9 / 10, "{others}");
}

/// Guards against a new split that takes effect late.
#[test]
fn a_new_split_is_met_within_four_seconds() {
    let mut world = World::new(4, CALM);
    for host in 0..HOSTS {
        (0..3).for_each(|partner| world.want(host, partner, Rank::Routine, 100));
    }
    world.run(Duration::from_secs(30));
    world.shares = shares([20.0, 30.0, 50.0]);
    for allocator in world.allocators.values_mut() {
        allocator.set_shares(world.shares.clone());
    }
    world.run(Duration::from_secs(4));
    let got = world.run(Duration::from_secs(10));
    for (got, expected) in got.iter().zip([20.0, 30.0, 50.0]) {
        assert!((got - expected).abs() <= 2.0, "{got} for {expected}");
    }
}

/// Guards against idle places that are not lent, and lent places that do not come back.
#[test]
fn lends_what_is_idle_and_returns_it() {
    let mut world = World::new(5, CALM);
    world.want(0, 0, Rank::Routine, 900);
    world.run(Duration::from_secs(10));
    let got = world.hosts[0].grant.places.values().sum::<u32>();
    assert_eq!(got, CAPACITY, "all is lent");
    world.want(4, 1, Rank::Routine, 900);
    world.want(5, 2, Rank::Urgent, 900);
    // Report, room made by the other host and its confirmation take a second each.
    world.run(Duration::from_secs(3));
    for (host, expected) in [(0, 45), (4, 27), (5, 18)] {
        let got: u32 = world.hosts[host].grant.places.values().sum();
        assert!(got.abs_diff(expected) <= 2, "host {host}: {got}");
    }
}

/// Guards against reports that grow over the budget of 6 KB/s a host, of which a third is left to
/// other control traffic: 3 domains, each with a report and a lease of 1 message a second.
#[test]
fn messages_are_small() {
    let mut world = World::new(6, CALM);
    for host in 0..HOSTS {
        for partner in 0..3 {
            world.want(host, partner, Rank::Urgent, 100);
            world.want(host, partner, Rank::Routine, 1000);
        }
    }
    world.network.delay_max_ms = 300;
    world.run(Duration::from_secs(20));
    let mut largest = [0, 0];
    for _ in 0..100 {
        world.step();
        for message in world.messages.values() {
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
