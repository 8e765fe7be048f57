//! Tests of the scheduler with simulated engines and a manual clock, and of the dispatch task.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use bilberrypost::account::Outcome;
use bilberrypost::clock::{Clock, Manual};
use bilberrypost::config::host::{Preemption, QueueOrder};
use bilberrypost::config::ini::File;
use bilberrypost::config::split::SharedSettings;
use bilberrypost::dispatch::{self, Policy};
use bilberrypost::emulate::engine::Totals;
use bilberrypost::http::problem::Reason;
use bilberrypost::load::client;
use bilberrypost::route::fleet::{Engine, Fleet, Need};
use bilberrypost::sched::job::{Job, Refusal, Scope, Ticket};
use bilberrypost::sched::lease::{Class, Grant};
use bilberrypost::sched::limit::{Limits, Usage};
use bilberrypost::sched::scheduler::Scheduler;
use bilberrypost::supervisor::Signal;
use bilberrypost::wire::{self, Rank};
use compact_str::{CompactString, format_compact};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{Cluster, assert_exact, block_on, call, get, wait_until};

const TICK: Duration = Duration::from_millis(10);

fn shared_settings(extra: &str) -> SharedSettings {
    let text = format!(
        "[partner a]\nshare = 50\n[partner b]\nshare = 30\n[partner c]\nshare = 20\n\
         [team a1]\npartner = a\n[team b1]\npartner = b\n[team c1]\npartner = c\n{extra}"
    );
    SharedSettings::from_files(&[File::parse("s.ini", &text).unwrap()]).unwrap()
}

fn job(partner: &str, caller: &str, rank: Rank, max_tokens: u32) -> Job {
    Job {
        partner: partner.into(),
        team: format_compact!("{partner}1"),
        caller: caller.into(),
        rank,
        need: Need {
            model: "atlas".into(),
            ..Need::default()
        },
        prompt_tokens: 10,
        max_tokens,
    }
}

/// A scheduler and engines that decode one token of each request in the batch per tick.
struct Sim {
    clock: Manual,
    shared_settings: SharedSettings,
    scheduler: Scheduler<Manual>,
    fleet: Fleet<Manual>,
    slots: usize,
    /// Requests by engine: those in the batch first, then the engine's own queue.
    engines: BTreeMap<Engine, Vec<(Rank, Ticket)>>,
    /// Remaining tokens of each request that was submitted and has not ended.
    left: BTreeMap<Ticket, u32>,
    /// Tokens decoded, by partner and rank.
    done: BTreeMap<(CompactString, Rank), u64>,
}

impl Sim {
    fn new(
        engines: usize,
        slots: u32,
        preemption: Preemption,
        shared_settings: SharedSettings,
    ) -> Self {
        let clock = Manual::new(SystemTime::UNIX_EPOCH);
        let mut fleet = Fleet::new(clock.clone(), "fd-a".into());
        let members: Vec<_> = (0..engines).map(member).collect();
        fleet.set_members(&members);
        let keys: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
        for key in &keys {
            fleet.set_status(*key, &status(slots));
        }
        Self {
            scheduler: Scheduler::with_policy(clock.clone(), QueueOrder::Fair, preemption),
            clock,
            shared_settings,
            fleet,
            slots: slots as usize,
            engines: keys.into_iter().map(|key| (key, Vec::new())).collect(),
            left: BTreeMap::new(),
            done: BTreeMap::new(),
        }
    }

    /// Submits a job that ends after `tokens`.
    fn submit(&mut self, job: Job, tokens: u32) -> Result<Ticket, Refusal> {
        let ticket = self.scheduler.submit(job, &self.shared_settings)?;
        self.left.insert(ticket, tokens);
        Ok(ticket)
    }

    fn decide(&mut self) -> Vec<Ticket> {
        let mut started = Vec::new();
        while let Some(start) = self.scheduler.next(&self.fleet) {
            self.fleet.begin(start.engine, &[]);
            let queue = self.engines.get_mut(&start.engine).unwrap();
            queue.push((start.priority, start.ticket));
            let waiting = self.slots.min(queue.len());
            queue[waiting..].sort_by_key(|(priority, _)| *priority);
            started.push(start.ticket);
        }
        started
    }

    /// Removes a request from its engine.
    fn stop(&mut self, ticket: Ticket) {
        if let Some((Some(engine), _)) = self.scheduler.get(ticket) {
            self.fleet.end(engine);
            let queue = self.engines.get_mut(&engine).unwrap();
            queue.retain(|(_, running)| *running != ticket);
        }
    }

    fn end(&mut self, ticket: Ticket) {
        self.stop(ticket);
        self.scheduler.remove(ticket);
        self.left.remove(&ticket);
    }

    fn tick(&mut self) -> Vec<Ticket> {
        self.clock.advance(TICK);
        let mut ended = Vec::new();
        for queue in self.engines.values() {
            for (_, ticket) in queue.iter().take(self.slots) {
                let (_, job) = self.scheduler.get(*ticket).unwrap();
                *self
                    .done
                    .entry((job.partner.clone(), job.rank))
                    .or_default() += 1;
                self.scheduler.progress(*ticket, 1);
                let left = self.left.get_mut(ticket).unwrap();
                *left -= 1;
                if *left == 0 {
                    ended.push(*ticket);
                }
            }
        }
        for ticket in &ended {
            self.scheduler.record_usage(*ticket);
            self.end(*ticket);
        }
        for (engine, queue) in &self.engines {
            let load = wire::Load {
                running: queue.len().min(self.slots) as u32,
                queued: queue.len().saturating_sub(self.slots) as u32,
                step_us: 10_000,
            };
            self.fleet.set_load(*engine, load);
        }
        for (ticket, _) in self.scheduler.expire(&self.fleet) {
            self.end(ticket);
        }
        self.decide()
    }

    /// Keeps 8 requests of each class waiting, for `time`.
    fn flood(&mut self, classes: &[(&str, Rank)], time: Duration, rng: &mut StdRng) {
        let until = self.clock.now() + time;
        let mut waiting: BTreeMap<Ticket, usize> = BTreeMap::new();
        while self.clock.now() < until {
            waiting.retain(|ticket, _| {
                let job = self.scheduler.get(*ticket);
                job.is_some_and(|(engine, _)| engine.is_none())
            });
            for (index, (partner, rank)) in classes.iter().enumerate() {
                let waiting_count = waiting.values().filter(|class| **class == index).count();
                for _ in waiting_count..8 {
                    let max = rng.random_range(20..200);
                    let tokens = rng.random_range(max / 2..=max);
                    if let Ok(ticket) = self.submit(job(partner, "x", *rank, max), tokens) {
                        waiting.insert(ticket, index);
                    }
                }
            }
            self.tick();
        }
    }

    fn tokens(&self, partner: &str, rank: Rank) -> f64 {
        let done = self.done.get(&(partner.into(), rank));
        done.copied().unwrap_or(0) as f64
    }
}

fn member(index: usize) -> wire::Member {
    wire::Member {
        name: format_compact!("engine-{index}"),
        kind: wire::Kind::Engine,
        address: "127.0.0.1:1".into(),
        peer_address: None,
        failure_domain: "fd-a".into(),
        region: "default".into(),
        state: wire::Lifecycle::Live,
        service: "atlas".into(),
    }
}

fn status(slots: u32) -> wire::Status {
    wire::Status {
        name: "engine".into(),
        failure_domain: "fd-a".into(),
        models: vec![wire::Model {
            model: "atlas".into(),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        role: "serve".into(),
        slots,
        load: wire::Load::default(),
        leaving: false,
        next_seq: 0,
        events: Vec::new(),
    }
}

/// Guards against requests that are lost, run twice or are miscounted when they arrive, fail, pause
/// and end in random order.
#[test]
fn random_histories_add_up() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Sim::new(3, 4, Preemption::Pause, shared_settings(""));
        for step in 0..600 {
            let partner = ["a", "b", "c"][rng.random_range(0..3)];
            let rank = [Rank::Urgent, Rank::Routine][rng.random_range(0..2)];
            let caller = ["x", "y"][rng.random_range(0..2)];
            let tokens = rng.random_range(1..120);
            if rng.random_bool(0.5) {
                let _ = sim.submit(job(partner, caller, rank, 120), tokens);
            }
            let known: Vec<_> = sim.left.keys().copied().collect();
            let any = known.get(rng.random_range(0..known.len().max(1))).copied();
            match (rng.random_range(0..20), any) {
                (0, Some(ticket)) => sim.end(ticket),
                (1, Some(ticket)) if sim.scheduler.get(ticket).unwrap().0.is_some() => {
                    sim.stop(ticket);
                    let deadline = sim.clock.now() + Duration::from_secs(5);
                    let need = sim.scheduler.get(ticket).unwrap().1.need.clone();
                    sim.scheduler.requeue(ticket, need, deadline);
                }
                _ => {}
            }
            for ticket in sim.scheduler.select_pauses(&sim.shared_settings) {
                sim.stop(ticket);
                let need = sim.scheduler.get(ticket).unwrap().1.need.clone();
                let deadline = sim.clock.now() + Duration::from_secs(5);
                sim.scheduler.requeue(ticket, need, deadline);
            }
            let started = sim.tick();
            let mut unique = started.clone();
            unique.sort();
            unique.dedup();
            assert_eq!(unique.len(), started.len(), "seed {seed} step {step}");
            let on_engines: usize = sim.engines.values().map(Vec::len).sum();
            assert_eq!(sim.scheduler.running(), on_engines, "seed {seed}");
            let waiting = sim.left.len() - on_engines;
            assert_eq!(sim.scheduler.waiting(), waiting, "seed {seed} step {step}");
            let has_free_slot = |queue: &Vec<_>| queue.len() < sim.slots;
            let is_any_free = sim.engines.values().any(has_free_slot);
            assert!(!(is_any_free && waiting > 0), "seed {seed}: idle engine");
        }
        let demand = sim.scheduler.demand();
        let wanted: u32 = demand.classes.values().map(|want| want.wanted).sum();
        let in_use: u32 = demand.classes.values().map(|want| want.in_use).sum();
        let work: u64 = demand.classes.values().map(|want| want.work).sum();
        assert_eq!(wanted as usize, sim.left.len(), "seed {seed}");
        assert_eq!(in_use as usize, sim.scheduler.running(), "seed {seed}");
        assert_eq!(work, sim.done.values().sum::<u64>(), "seed {seed}");
    }
}

/// Guards against partners that get more or less than their share of the work in a 30 s window.
#[test]
fn shares_hold_in_each_window() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sim = Sim::new(4, 8, Preemption::Queue, shared_settings(""));
        let classes = [
            ("a", Rank::Routine),
            ("b", Rank::Routine),
            ("c", Rank::Routine),
        ];
        sim.flood(&classes, Duration::from_secs(5), &mut rng);
        for window in 0..3 {
            sim.done.clear();
            sim.flood(&classes, Duration::from_secs(30), &mut rng);
            let total: u64 = sim.done.values().sum();
            for (partner, share) in [("a", 50.0), ("b", 30.0), ("c", 20.0)] {
                let percent = 100.0 * sim.tokens(partner, Rank::Routine) / total as f64;
                let error = (percent - share).abs();
                assert!(
                    error <= 2.0,
                    "seed {seed} window {window}: {partner} {percent}"
                );
            }
        }
    }
}

/// Guards against routine work that gets less than its floor under a flood of urgent work, and
/// against urgent work that does not get the rest.
#[test]
fn ranks_keep_their_parts() {
    for seed in 0..10 {
        for floor in [10.0, 30.0] {
            let mut rng = StdRng::seed_from_u64(seed);
            let extra = format!("[rank routine]\nfloor_percent = {floor}\n");
            let mut sim = Sim::new(4, 8, Preemption::Pause, shared_settings(&extra));
            sim.scheduler.set_settings(&sim.shared_settings.clone());
            let classes = [("a", Rank::Urgent), ("a", Rank::Routine)];
            sim.flood(&classes[1..], Duration::from_secs(5), &mut rng);
            sim.flood(&classes, Duration::from_secs(15), &mut rng);
            sim.done.clear();
            sim.flood(&classes, Duration::from_secs(30), &mut rng);
            let total: u64 = sim.done.values().sum();
            let percent = 100.0 * sim.tokens("a", Rank::Routine) / total as f64;
            assert!(percent > floor - 1.0, "seed {seed}: {percent} of {floor}");
            assert!(percent < floor + 2.0, "seed {seed}: {percent} of {floor}");
        }
    }
}

/// Guards against an idle share that stays unused, is saved up, or is returned late.
#[test]
fn idle_shares_are_lent_and_return_at_once() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut sim = Sim::new(1, 4, Preemption::Queue, shared_settings(""));
    sim.flood(&[("a", Rank::Routine)], Duration::from_secs(60), &mut rng);
    // The first tick only starts requests.
    assert_eq!(sim.tokens("a", Rank::Routine), 4.0 * (6000.0 - 1.0));
    sim.submit(job("b", "x", Rank::Routine, 50), 50).unwrap();
    let next = loop {
        if let Some(ticket) = sim.tick().first() {
            break *ticket;
        }
    };
    let (_, started) = sim.scheduler.get(next).unwrap();
    assert_eq!(started.partner, "b");
    let classes = [("a", Rank::Routine), ("b", Rank::Routine)];
    sim.flood(&classes, Duration::from_secs(5), &mut rng);
    sim.done.clear();
    sim.flood(&classes, Duration::from_secs(30), &mut rng);
    let total: u64 = sim.done.values().sum();
    let percent = 100.0 * sim.tokens("b", Rank::Routine) / total as f64;
    assert!((percent - 37.5).abs() <= 2.0, "{percent}");
}

/// Guards against a flood that leaves no slot for urgent work and callers below their share, and
/// against slots that stay unused while no other caller is active.
#[test]
fn flood_leaves_slots_to_others() {
    let mut sim = Sim::new(1, 16, Preemption::Queue, shared_settings(""));
    for _ in 0..40 {
        sim.submit(job("a", "x", Rank::Routine, 1000), 1000)
            .unwrap();
    }
    sim.tick();
    assert_eq!(sim.scheduler.running(), 16, "nobody else is active");
    let other = sim.submit(job("b", "x", Rank::Routine, 10), 10).unwrap();
    sim.tick();
    assert!(sim.scheduler.get(other).unwrap().0.is_none());
    sim.end(other);
    for left in [15, 14, 14] {
        let running = |ticket: &&Ticket| sim.scheduler.get(**ticket).unwrap().0.is_some();
        let first = *sim.left.keys().find(running).unwrap();
        sim.end(first);
        sim.tick();
        assert_eq!(sim.scheduler.running(), left);
    }
    let other = sim.submit(job("b", "x", Rank::Routine, 10), 10).unwrap();
    assert_eq!(sim.tick(), [other]);
    let urgent = sim.submit(job("b", "x", Rank::Urgent, 10), 10).unwrap();
    // Routine requests may start after it if they are below their floor.
    assert_eq!(sim.tick().first(), Some(&urgent));
}

/// Guards against unbounded queues, and against a flood that fills the queues of others.
#[test]
fn queues_are_bounded_by_caller_team_and_partner() {
    let shared_settings = shared_settings("[team a2]\npartner = a\n");
    let mut sim = Sim::new(0, 1, Preemption::Queue, shared_settings);
    let flood = |sim: &mut Sim, team: &str, caller: &str| {
        let mut taken = 0;
        loop {
            let mut job = job("a", caller, Rank::Routine, 10);
            job.team = team.into();
            match sim.submit(job, 10) {
                Ok(_) => taken += 1,
                Err(refusal) => {
                    assert_eq!(refusal.reason, Reason::QueueFull);
                    return (taken, refusal.scope.unwrap());
                }
            }
        }
    };
    // Alone, a caller may fill the queue of its team; while others wait, only a quarter.
    let (taken_alone, scope) = flood(&mut sim, "a1", "x");
    assert_eq!(scope, Scope::Team);
    let (taken_with_others, scope) = flood(&mut sim, "a2", "x");
    assert_eq!(scope, Scope::Caller);
    assert_eq!(taken_alone, 4 * taken_with_others);
    let (_, scope) = flood(&mut sim, "a2", "y");
    assert_eq!(scope, Scope::Caller);
    for caller in ["z", "u", "v"] {
        flood(&mut sim, "a2", caller);
    }
    let (accepted, scope) = flood(&mut sim, "a3", "x");
    assert_eq!((accepted, scope), (0, Scope::Partner));
    assert!(sim.submit(job("b", "x", Rank::Routine, 10), 10).is_ok());
    assert!(sim.submit(job("a", "x", Rank::Urgent, 10), 10).is_ok());
}

/// Guards against requests that are queued although they cannot start in time, and against
/// refusals of requests that can.
#[test]
fn refuses_early_what_cannot_start_in_time() {
    let shared_settings = shared_settings("[rank routine]\nqueue_limit_ms = 10000\n");
    let mut sim = Sim::new(1, 4, Preemption::Queue, shared_settings);
    // The engine decodes 400 tokens per second, so 4,000 tokens can wait for at most 10 s.
    let mut refused = None;
    for _ in 0..400 {
        if let Err(refusal) = sim.submit(job("a", "x", Rank::Routine, 100), 100) {
            refused = Some(refusal);
        }
        sim.tick();
    }
    let refusal = refused.expect("the queue is too long");
    assert_eq!(refusal.reason, Reason::DeadlineUnreachable);
    assert!(refusal.retry_after >= Duration::from_secs(1));
    let other = sim.submit(job("b", "x", Rank::Routine, 100), 100).unwrap();
    let limit = sim.clock.now() + Duration::from_secs(10);
    while sim
        .scheduler
        .get(other)
        .is_some_and(|(engine, _)| engine.is_none())
    {
        assert!(sim.clock.now() < limit, "did not start in time");
        sim.tick();
    }
}

/// Guards against hosts that use more slots than granted, and against granted slots that stay unused.
#[test]
fn grants_bound_classes_and_lend() {
    let mut sim = Sim::new(2, 8, Preemption::Queue, shared_settings(""));
    let class = |partner: &str| Class {
        partner: partner.into(),
        rank: Rank::Routine,
    };
    let grant = Grant {
        slots: BTreeMap::from([(class("a"), 4), (class("b"), 2)]),
        work_per_s: BTreeMap::new(),
        expires_at: sim.clock.now() + Duration::from_secs(3),
    };
    sim.scheduler.set_grant(&grant);
    for _ in 0..20 {
        sim.submit(job("a", "x", Rank::Routine, 100), 100).unwrap();
    }
    assert_eq!(sim.decide().len(), 6, "unused slots of b are lent to a");
    for _ in 0..20 {
        sim.submit(job("b", "x", Rank::Routine, 100), 100).unwrap();
    }
    assert_eq!(sim.decide().len(), 2, "b gets its own slots at once");
    for _ in 0..100 {
        sim.tick();
    }
    let demand = sim.scheduler.demand();
    assert_eq!(demand.classes[&class("a")].in_use, 4);
    assert_eq!(demand.classes[&class("b")].in_use, 2);
}

/// Guards against an urgent flood of one partner that takes the granted slots of others.
#[test]
fn urgent_flood_leaves_granted_places_to_others() {
    let mut sim = Sim::new(2, 8, Preemption::Pause, shared_settings(""));
    let class = |partner: &str, rank| Class {
        partner: partner.into(),
        rank,
    };
    let routine = class("b", Rank::Routine);
    sim.scheduler.set_grant(&Grant {
        slots: BTreeMap::from([(class("a", Rank::Urgent), 8), (routine.clone(), 8)]),
        work_per_s: BTreeMap::new(),
        expires_at: sim.clock.now() + Duration::from_secs(3),
    });
    let mut rng = StdRng::seed_from_u64(5);
    // Routine work of partner a waits too, but its urgent work uses all slots of a.
    let classes = [
        ("a", Rank::Urgent),
        ("a", Rank::Routine),
        ("b", Rank::Routine),
    ];
    sim.flood(&classes, Duration::from_secs(20), &mut rng);
    let share = sim.tokens("b", Rank::Routine)
        / (sim.tokens("a", Rank::Urgent) + sim.tokens("b", Rank::Routine));
    assert!(share >= 0.95 * 0.5, "b keeps its half: {share}");
}

/// Guards against a partner that gets its full share here in addition to its work on other hosts.
#[test]
fn work_on_other_hosts_counts() {
    let mut sim = Sim::new(1, 1, Preemption::Queue, shared_settings(""));
    let mut rng = StdRng::seed_from_u64(1);
    let classes = [("a", Rank::Routine), ("b", Rank::Routine)];
    let mut sums = [0.0; 2];
    for second in 0..20 {
        let [a, b] = ["a", "b"].map(|partner| sim.tokens(partner, Rank::Routine));
        let one_slot = |partner: &str| {
            let partner = partner.into();
            let rank = Rank::Routine;
            (Class { partner, rank }, 1)
        };
        // As if nine other hosts of this size served only partner a.
        sim.scheduler.set_grant(&Grant {
            slots: ["a", "b"].map(one_slot).into(),
            work_per_s: BTreeMap::from([("a".into(), 900.0 + a), ("b".into(), b)]),
            expires_at: sim.clock.now() + Duration::from_secs(3),
        });
        sim.done.clear();
        sim.flood(&classes, Duration::from_secs(1), &mut rng);
        if second >= 5 {
            sums[0] += sim.tokens("a", Rank::Routine);
            sums[1] += sim.tokens("b", Rank::Routine);
        }
    }
    // The shares of a and b are 50 and 30.
    assert!(sums[1] > 2.0 * sums[0], "{sums:?}");
    assert!(sums[0] + sums[1] >= 1400.0, "{sums:?}");
}

/// Guards against urgent requests that wait behind routine ones, and against a paused request that
/// is never resumed.
#[test]
fn routine_work_pauses_and_returns() {
    let mut sim = Sim::new(1, 2, Preemption::Pause, shared_settings(""));
    let old = sim
        .submit(job("a", "x", Rank::Routine, 1000), 1000)
        .unwrap();
    sim.tick();
    let new = sim
        .submit(job("a", "x", Rank::Routine, 1000), 1000)
        .unwrap();
    sim.tick();
    let urgent = sim.submit(job("b", "x", Rank::Urgent, 100), 100).unwrap();
    assert_eq!(sim.tick(), [urgent]);
    assert!(
        sim.scheduler.select_pauses(&sim.shared_settings).is_empty(),
        "too early"
    );
    for _ in 0..20 {
        sim.tick();
    }
    assert_eq!(sim.scheduler.select_pauses(&sim.shared_settings), [new]);
    assert!(sim.scheduler.select_pauses(&sim.shared_settings).is_empty());
    sim.stop(new);
    let need = sim.scheduler.get(new).unwrap().1.need.clone();
    let deadline = sim.clock.now() + Duration::from_secs(20);
    sim.scheduler.requeue(new, need, deadline);
    assert!(sim.scheduler.get(old).unwrap().0.is_some());
    for _ in 0..500 {
        sim.tick();
        let urgent = job("b", "x", Rank::Urgent, 100);
        let _ = sim.submit(urgent, 100);
    }
    assert!(sim.scheduler.get(new).unwrap().0.is_some(), "still paused");
}

/// Guards against concurrency limits that overload an engine, stay too low or leave their bounds.
#[test]
fn limits_follow_the_time_between_tokens() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let sim = Sim::new(1, 16, Preemption::Queue, shared_settings(""));
        let engine = *sim.engines.keys().next().unwrap();
        let mut limits = Limits::new(sim.clock.clone());
        let target = Duration::from_millis(40);
        let mut limit = 16;
        let mut settled = Vec::new();
        for step in 0..4000 {
            sim.clock.advance(TICK);
            // A step takes 5 ms per stream, so up to 8 streams meet the target.
            let gap = Duration::from_millis(u64::from(5 * limit) + rng.random_range(0..2));
            let usage = Usage {
                own: limit,
                slots: 16,
            };
            let changed = limits.observe(engine, Rank::Urgent, gap, target, usage);
            limit = changed.unwrap_or(limit);
            assert!((1..=16).contains(&limit), "seed {seed}: {limit}");
            if step > 1000 {
                settled.push(limit);
            }
        }
        let mean = f64::from(settled.iter().sum::<u32>()) / settled.len() as f64;
        assert!((5.0..=8.0).contains(&mean), "seed {seed}: {mean}");
    }
}

/// Guards against requests that are lost from the account when callers disconnect at any point.
#[test]
fn ledger_adds_up_when_callers_leave() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let stop = Signal::default();
        let clock = bilberrypost::clock::System;
        let (handle, task) = dispatch::create(clock, Policy::default(), stop.clone());
        let task = compio::runtime::spawn(task);
        handle.set_settings(std::sync::Arc::new(shared_settings("")));
        handle.set_members(vec![member(0)]);
        let engine = handle.poll_targets().await[0].engine;
        handle.set_status(engine, status(4));
        let mut rng = StdRng::seed_from_u64(7);
        let mut placed = Vec::new();
        for _ in 0..200 {
            let job = job("a", "x", Rank::Routine, 10);
            handle.set_status(engine, status(4));
            let mut submitted = Box::pin(handle.submit(job));
            if rng.random_bool(0.3) {
                placed.push(submitted.await.unwrap().ticket);
            } else {
                // The future is dropped before or after the placement is sent.
                for _ in 0..rng.random_range(1..4) {
                    if let std::task::Poll::Ready(Ok(placement)) =
                        futures_util::poll!(&mut submitted)
                    {
                        placed.push(placement.ticket);
                        break;
                    }
                    compio::time::sleep(Duration::from_millis(1)).await;
                }
                drop(submitted);
            }
            if placed.len() > 2 {
                let outcome = [Outcome::Served(10), Outcome::Failed][rng.random_range(0..2)];
                handle.finish(placed.remove(0), outcome);
            }
        }
        for ticket in placed.drain(..) {
            handle.finish(ticket, Outcome::Served(10));
        }
        let deadline = Instant::now() + Duration::from_secs(60);
        let overview = loop {
            let overview = handle.overview().await;
            if overview.waiting + overview.running == 0 || Instant::now() > deadline {
                break overview;
            }
            compio::time::sleep(TICK).await;
        };
        let account = &overview.ledger.accounts()["a"];
        let refused: u64 = account.refused.values().sum();
        assert_eq!(account.submitted, 200);
        assert_eq!(account.running, 0, "{account:?}");
        assert_eq!(account.served + refused + account.failed, 200);
        assert!(account.served > 0 && refused > 0, "{account:?}");
        assert_eq!(overview.engines["engine-0"].own, 0);
        stop.set();
        let _ = task.await;
    });
}

/// Guards against tokens that are lost or repeated when a generation is paused and resumed.
#[test]
fn paused_generation_keeps_every_token() {
    let mut cluster = Cluster::start();
    cluster.engine(&["--slots", "1", "--step-us", "20000"]);
    cluster.router_with(&support::shared_settings(), 1, "preemption = pause\n");
    let router = cluster.routers[0].address.clone();
    let engine = cluster.engines[0].address.clone();
    let routine = std::thread::spawn({
        let router = router.clone();
        move || block_on(client::complete(&router, &call("Sky notes: long.", 400, 7)))
    });
    let totals = || get::<Totals>(&engine, "/v1/emulation/totals");
    wait_until("the routine request runs", || totals().decoded > 0);
    let mut urgent = call("Sky notes: short.", 5, 8);
    urgent.rank = Rank::Urgent;
    let urgent = block_on(client::complete(&router, &urgent));
    let routine = routine.join().unwrap();
    for answer in [urgent, routine] {
        assert_exact(&answer);
    }
    assert_eq!(totals().cancelled, 1);
}
