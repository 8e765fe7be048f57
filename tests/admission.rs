//! Admission to services with few slots, simulated on a clock that the tests advance: hosts with the
//! real decision, their reports, and engines with slots and a queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use bilberrypost::route::load::EngineHash;
use bilberrypost::sched::admission::{Controller, Engine, Request, Verdict, are_slots_scarce};
use bilberrypost::sched::demand::{Class, Counts};
use bilberrypost::sched::retry::Service;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 6;
const QUEUE_MAX: usize = 24;
const WORK: Duration = Duration::from_millis(30);

/// Targets of requests that may run once and of those that may be repeated.
const TARGET_LATENCY: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(150)];
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time that the way from the caller through the host to the engine and back takes.
const ROUND_TRIP: Duration = Duration::from_millis(10);

const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const REPORT_DELAY_MAX: Duration = Duration::from_millis(150);

/// Requests of all callers per second.
const RATE: f64 = 250.0;

/// Rate at which one engine can answer.
const ENGINE_RATE: f64 = SLOTS as f64 / 0.030;

#[derive(Clone, Copy)]
struct Call {
    sent_at: Instant,
    team: &'static str,
    is_repeatable: bool,
    retries_left: u32,
}

/// What happens at a moment of the simulation.
enum Event {
    Call,
    Arrival(Call),
    Report(usize),
    Received(usize, Counts),
    /// An engine has finished a request that a host sent at this time.
    Done {
        engine: usize,
        host: usize,
        call: Call,
        placed_at: Instant,
    },
    Loss(usize),
    Return(usize),
    /// All hosts start anew, and this part of their reports is lost from now on.
    Restart(f64),
    ReportsLost(f64),
}

#[derive(Default)]
struct Server {
    running: u32,
    queue: VecDeque<(usize, Call, Instant)>,
    is_down: bool,
}

/// Results of the calls that were sent first in one second, by team and whether they may be repeated.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    calls: u32,
    on_time: u32,
    late: u32,
    refused: u32,
}

/// The load of a simulation.
#[derive(Clone, Copy)]
struct Load {
    hosts: usize,
    /// Part of the callers that send each call four times more at once, from 5 to 8 s.
    repeating: f64,
    /// How many times its usual the team `flood` sends from 5 s on.
    flood: f64,
    /// Part of the reports that is lost.
    lost_reports: f64,
    seconds: u64,
}

const LOAD: Load = Load {
    hosts: 63,
    repeating: 0.0,
    flood: 1.0,
    lost_reports: 0.02,
    seconds: 14,
};

struct Fleet {
    load: Load,
    start: Instant,
    now: Instant,
    random: StdRng,
    controllers: Vec<Controller>,
    servers: Vec<Server>,
    // By time; the number keeps the order of events at the same time.
    events: BinaryHeap<Reverse<(Instant, usize)>>,
    contents: BTreeMap<usize, Event>,
    results: BTreeMap<(u64, &'static str, bool), Results>,
    arrivals: u32,
    rejected: u32,
}

impl Fleet {
    fn new(load: Load, seed: u64) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            load,
            start,
            now: start,
            random: StdRng::seed_from_u64(seed),
            controllers: (0..load.hosts).map(|_| Controller::default()).collect(),
            servers: (0..3).map(|_| Server::default()).collect(),
            events: BinaryHeap::new(),
            contents: BTreeMap::new(),
            results: BTreeMap::new(),
            arrivals: 0,
            rejected: 0,
        };
        fleet.after(Duration::ZERO, Event::Call);
        for host in 0..load.hosts {
            let delay = REPORT_INTERVAL.mul_f64(fleet.random.random());
            fleet.after(delay, Event::Report(host));
        }
        fleet
    }

    fn after(&mut self, delay: Duration, event: Event) {
        let number = self
            .contents
            .last_key_value()
            .map_or(0, |(last, _)| last + 1);
        self.contents.insert(number, event);
        self.events.push(Reverse((self.now + delay, number)));
    }

    fn run(&mut self) {
        let end = self.start + Duration::from_secs(self.load.seconds);
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at >= end {
                return;
            }
            self.now = at;
            let event = self.contents.remove(&number).unwrap();
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call => self.call(),
            Event::Arrival(call) => self.arrive(call),
            Event::Report(host) => self.report(host),
            Event::Received(host, counts) => {
                self.controllers[host].record_counts(&counts, self.now);
            }
            Event::Done {
                engine,
                host,
                call,
                placed_at,
            } => self.finish(engine, host, call, placed_at),
            Event::Loss(engine) => self.servers[engine].is_down = true,
            Event::Return(engine) => self.servers[engine].is_down = false,
            Event::Restart(lost) => {
                self.controllers.fill_with(Controller::default);
                self.load.lost_reports = lost;
            }
            Event::ReportsLost(lost) => self.load.lost_reports = lost,
        }
    }

    fn second(&self, at: Instant) -> u64 {
        at.duration_since(self.start).as_secs()
    }

    fn result(&mut self, call: &Call) -> &mut Results {
        let key = (self.second(call.sent_at), call.team, call.is_repeatable);
        self.results.entry(key).or_default()
    }

    /// Sends a call, and draws when the next one follows.
    fn call(&mut self) {
        let is_flooding = self.second(self.now) >= 5;
        let flood = if is_flooding { self.load.flood } else { 1.0 };
        // The flooding team usually sends a tenth of the calls.
        let rate = RATE * (0.9 + 0.1 * flood);
        let is_flood = self.random.random_bool(0.1 * flood / (0.9 + 0.1 * flood));
        let call = Call {
            sent_at: self.now,
            team: if is_flood { "flood" } else { "usual" },
            is_repeatable: self.random.random_bool(0.4),
            retries_left: 1,
        };
        self.result(&call).calls += 1;
        self.after(Duration::ZERO, Event::Arrival(call));
        let repeats = (5..8).contains(&self.second(self.now));
        if repeats && self.random.random_bool(self.load.repeating) {
            for _ in 0..4 {
                let repeated = Call {
                    retries_left: 0,
                    ..call
                };
                self.result(&call).calls += 1;
                self.after(Duration::ZERO, Event::Arrival(repeated));
            }
        }
        let wait = -self.random.random::<f64>().max(1e-9).ln() / rate;
        self.after(Duration::from_secs_f64(wait), Event::Call);
    }

    fn arrive(&mut self, call: Call) {
        let host = self.random.random_range(0..self.load.hosts);
        let waited = self.now.duration_since(call.sent_at);
        let target_latency = TARGET_LATENCY[usize::from(call.is_repeatable)];
        let engines: Vec<_> = (0..self.servers.len())
            .filter(|engine| !self.servers[*engine].is_down)
            .map(|engine| Engine {
                id: engine_hash(engine),
                slots: SLOTS,
            })
            .collect();
        let request = Request {
            service: Service::of("desk"),
            class: Class::new(2, waited + WORK > target_latency, call.is_repeatable),
            team: Some(call.team),
            time_left: TIMEOUT.saturating_sub(waited),
            target_latency,
        };
        let draw = self.random.random();
        let decision = self.controllers[host].decide(&request, &engines, draw, self.now);
        match decision {
            Verdict::Send => self.place(host, call),
            Verdict::Refuse { retry_after } => self.refuse(call, retry_after),
        }
    }

    fn refuse(&mut self, mut call: Call, retry_after: Duration) {
        if call.retries_left == 0 {
            self.result(&call).refused += 1;
            return;
        }
        call.retries_left -= 1;
        self.after(retry_after, Event::Arrival(call));
    }

    /// Sends a request to an engine, which starts, queues or rejects it.
    fn place(&mut self, host: usize, call: Call) {
        self.arrivals += 1;
        let up: Vec<_> = (0..self.servers.len())
            .filter(|engine| !self.servers[*engine].is_down)
            .collect();
        let load = |engine: &usize| {
            let server = &self.servers[*engine];
            server.running as usize + server.queue.len()
        };
        let Some(engine) = up.into_iter().min_by_key(load) else {
            return self.refuse(call, Duration::from_millis(300));
        };
        let now = self.now;
        let server = &mut self.servers[engine];
        if server.running < SLOTS {
            self.start(engine, host, call, now);
        } else if server.queue.len() < QUEUE_MAX {
            server.queue.push_back((host, call, now));
        } else {
            self.rejected += 1;
            self.refuse(call, Duration::from_millis(300));
        }
    }

    fn start(&mut self, engine: usize, host: usize, call: Call, placed_at: Instant) {
        self.servers[engine].running += 1;
        let work = WORK.mul_f64(self.random.random_range(0.1..1.9));
        let done = Event::Done {
            engine,
            host,
            call,
            placed_at,
        };
        self.after(work, done);
    }

    fn finish(&mut self, engine: usize, host: usize, call: Call, placed_at: Instant) {
        let taken = self.now.duration_since(placed_at) + ROUND_TRIP / 2;
        let service = Service::of("desk");
        self.controllers[host].record_answer(service, engine_hash(engine), taken, self.now);
        let total = self.now.duration_since(call.sent_at) + ROUND_TRIP;
        let result = self.result(&call);
        match total <= TARGET_LATENCY[usize::from(call.is_repeatable)] {
            true => result.on_time += 1,
            false => result.late += 1,
        }
        let server = &mut self.servers[engine];
        server.running -= 1;
        if let Some((host, call, placed_at)) = server.queue.pop_front() {
            self.start(engine, host, call, placed_at);
        }
    }

    fn report(&mut self, host: usize) {
        let counts = self.controllers[host].take_counts();
        for other in (0..self.load.hosts).filter(|other| *other != host) {
            if self.random.random_bool(self.load.lost_reports) {
                continue;
            }
            let delay = REPORT_DELAY_MAX.mul_f64(self.random.random());
            self.after(delay, Event::Received(other, counts.clone()));
        }
        self.after(REPORT_INTERVAL, Event::Report(host));
    }

    /// Returns the results of all calls sent first in `seconds` that `select` accepts by team and
    /// whether they may be repeated.
    fn total(&self, seconds: std::ops::Range<u64>, select: impl Fn(&str, bool) -> bool) -> Results {
        let mut sum = Results::default();
        let entries = self.results.iter();
        for ((_, _, _), results) in entries.filter(|((second, team, is_repeatable), _)| {
            seconds.contains(second) && select(team, *is_repeatable)
        }) {
            sum.calls += results.calls;
            sum.on_time += results.on_time;
            sum.late += results.late;
            sum.refused += results.refused;
        }
        sum
    }
}

impl Results {
    fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.calls)
    }
}

fn engine_hash(engine: usize) -> EngineHash {
    EngineHash::of(&format!("i-{engine}"))
}

fn after_seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a small fleet that is limited although each host sees an overload itself.
#[test]
fn hosts_with_slots_of_their_own_do_not_limit_requests() {
    let engines = |count: usize, slots| -> Vec<Engine> {
        let engine = |number| Engine {
            id: engine_hash(number),
            slots,
        };
        (0..count).map(engine).collect()
    };
    let cases = [
        (6, 3, 6, false),
        (7, 1, 6, false),
        (35, 3, 6, false),
        (36, 3, 6, true),
        (195, 5, 6, true),
    ];
    for (hosts, count, slots, expected) in cases {
        let is_scarce = are_slots_scarce(hosts, &engines(count, slots));
        assert_eq!(is_scarce, expected, "{hosts} hosts, {count} engines");
    }
}

/// Guards against a fleet that refuses requests while its engines have free slots.
#[test]
fn nothing_is_refused_under_capacity() {
    let mut fleet = Fleet::new(LOAD, 1);
    fleet.run();
    let all = fleet.total(0..13, |_, _| true);
    assert_eq!(all.refused, 0, "{all:?}");
    assert!(all.on_time * 100 >= all.calls * 98, "{all:?}");
}

/// Guards against engines that answer all requests late because their queues are full.
#[test]
fn what_the_engine_that_is_left_can_do_is_on_time() {
    for hosts in [63, 195] {
        let load = Load {
            hosts,
            seconds: 18,
            ..LOAD
        };
        let mut fleet = Fleet::new(load, 2);
        fleet.after(after_seconds(4), Event::Loss(0));
        fleet.after(after_seconds(5), Event::Loss(1));
        fleet.after(after_seconds(12), Event::Return(0));
        fleet.run();
        // Two seconds after the loss.
        let all = fleet.total(7..12, |_, _| true);
        let answers = all.on_time + all.late;
        assert!(all.on_time * 10 >= answers * 9, "{hosts} hosts: {all:?}");
        let capacity = ENGINE_RATE * 5.0;
        let on_time = f64::from(all.on_time);
        assert!(on_time >= 0.9 * capacity, "{hosts} hosts: {all:?}");
        let (rejected, arrivals) = (fleet.rejected, fleet.arrivals);
        assert!(rejected * 20 < arrivals, "{rejected} of {arrivals}");
        let recovered = fleet.total(14..17, |_, _| true);
        assert!(
            recovered.on_time * 100 >= recovered.calls * 98,
            "{recovered:?}"
        );
    }
}

/// Guards against callers that repeat at once and keep a service late after they have stopped.
#[test]
fn a_burst_of_repeated_calls_passes() {
    let load = Load {
        repeating: 1.0 / 3.0,
        ..LOAD
    };
    let mut fleet = Fleet::new(load, 3);
    fleet.after(after_seconds(4), Event::Loss(0));
    fleet.run();
    let (rejected, arrivals) = (fleet.rejected, fleet.arrivals);
    assert!(rejected * 20 < arrivals, "{rejected} of {arrivals}");
    let during = fleet.total(6..8, |_, _| true);
    let answers = during.on_time + during.late;
    assert!(during.on_time * 10 >= answers * 9, "{during:?}");
    let after = fleet.total(10..13, |_, _| true);
    assert!(after.on_time * 100 >= after.calls * 98, "{after:?}");
}

/// Guards against an order that lets requests that may be repeated starve, or go first.
#[test]
fn requests_that_may_run_once_go_first_and_none_starves() {
    let mut fleet = Fleet::new(LOAD, 4);
    fleet.after(after_seconds(4), Event::Loss(0));
    fleet.after(after_seconds(4), Event::Loss(1));
    fleet.run();
    let all = fleet.total(6..13, |_, _| true).served();
    let once = fleet
        .total(6..13, |_, is_repeatable| !is_repeatable)
        .served();
    let repeatable = fleet
        .total(6..13, |_, is_repeatable| is_repeatable)
        .served();
    assert!(once > 0.9, "{once}");
    assert!(
        repeatable < once && repeatable > all / 4.0,
        "{repeatable} of {all}"
    );
}

/// Guards against a team that floods a service at the cost of the others.
#[test]
fn a_flood_of_one_team_is_refused_before_others() {
    let load = Load {
        flood: 15.0,
        ..LOAD
    };
    let mut fleet = Fleet::new(load, 5);
    fleet.after(after_seconds(4), Event::Loss(0));
    fleet.run();
    let usual = fleet.total(7..13, |team, _| team == "usual");
    let flood = fleet.total(7..13, |team, _| team == "flood");
    assert!(usual.served() > 0.7, "{usual:?}");
    assert!(flood.served() < usual.served(), "{flood:?} {usual:?}");
    let all = fleet.total(7..13, |_, _| true).served();
    assert!(flood.served() > all / 4.0, "{flood:?} {all}");
}

/// Guards against hosts that refuse too much or too little while one in ten reports is lost.
#[test]
fn lost_reports_change_little() {
    let load = Load {
        lost_reports: 0.1,
        ..LOAD
    };
    let mut fleet = Fleet::new(load, 6);
    fleet.run();
    assert_eq!(fleet.total(0..13, |_, _| true).refused, 0);
    let mut fleet = Fleet::new(load, 6);
    fleet.after(after_seconds(4), Event::Loss(0));
    fleet.after(after_seconds(4), Event::Loss(1));
    fleet.run();
    let all = fleet.total(6..13, |_, _| true);
    let answers = all.on_time + all.late;
    assert!(all.on_time * 10 >= answers * 9, "{all:?}");
    assert!(f64::from(all.on_time) >= 0.8 * ENGINE_RATE * 7.0, "{all:?}");
}

/// Guards against a capacity that stays too low as it was measured while hosts heard few others.
#[test]
fn hosts_that_start_in_an_overload_find_the_capacity() {
    let mut fleet = Fleet::new(LOAD, 7);
    fleet.after(after_seconds(3), Event::Loss(0));
    fleet.after(after_seconds(3), Event::Loss(1));
    fleet.after(after_seconds(5), Event::Restart(0.6));
    fleet.after(Duration::from_millis(6500), Event::ReportsLost(0.02));
    fleet.run();
    let all = fleet.total(9..13, |_, _| true);
    let answers = all.on_time + all.late;
    assert!(all.on_time * 10 >= answers * 9, "{all:?}");
    assert!(f64::from(all.on_time) >= 0.8 * ENGINE_RATE * 4.0, "{all:?}");
}
