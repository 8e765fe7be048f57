//! Measures the accuracy of shares, the time of a scheduling decision at full size, and the latency
//! of small callers next to a large one.

#[path = "parts/paced.rs"]
mod paced;
#[path = "parts/shares.rs"]
mod shares;
#[path = "../tests/support/mod.rs"]
mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bilberrypost::clock::Manual;
use bilberrypost::config::split::{Partner, SharedSettings, Team, key_digest};
use bilberrypost::load::client::{self, Call};
use bilberrypost::route::fleet::{Fleet, Need};
use bilberrypost::sched::job::{Job, Ticket};
use bilberrypost::sched::scheduler::Scheduler;
use bilberrypost::wire::{self, Rank};
use compact_str::format_compact;
use paced::{ROUTERS, capacity, finish_measured, next_gap, send_to_all};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Map, Value, json};

const SEED: u64 = 13;

/// Number of teams and engines at the full size of the design.
const FULL_SIZE_TEAMS: usize = 420;
const FULL_SIZE_ENGINES: usize = 12_000;

/// Number of decisions of which the median is taken.
const DECISIONS: usize = 2_000;

/// Number of requests of each team that wait during the decisions.
const WAITING_PER_TEAM: usize = 6;

const PARTNERS: usize = 6;

/// Number of engines of a small installation.
const ENGINES: usize = 20;

/// Smallest and largest number of output tokens of a request.
const TOKENS: (u32, u32) = (40, 120);

/// Number of small callers, their total load as a fraction of the capacity, and the load of the
/// large caller as a multiple of one small caller's.
const SMALL_CALLERS: usize = 10;
const SMALL_LOAD: f64 = 0.4;
const LARGE_FACTOR: f64 = 20.0;

const WARM_UP: Duration = Duration::from_secs(8);
const MEASURE: Duration = Duration::from_secs(30);

/// Latency that is counted for a request without an answer, and the longest wait for the last ones.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A scheduler with waiting jobs, and engines with free slots.
struct Setup {
    scheduler: Scheduler<Manual>,
    fleet: Fleet<Manual>,
    shared_settings: SharedSettings,
    rng: StdRng,
}

impl Setup {
    fn new(teams: usize, engines: usize) -> Self {
        let clock = Manual::default();
        let mut shared_settings = SharedSettings::default();
        for partner in 0..PARTNERS {
            let cost_share = 10 + partner as u32;
            let partner = Partner {
                share: cost_share,
                cost_share,
            };
            shared_settings
                .partners
                .insert(format_compact!("p{cost_share}"), partner);
        }
        for team in 0..teams {
            let team_of = Team {
                partner: format_compact!("p{}", 10 + team % PARTNERS),
                weight: 1 + team as u32 % 3,
            };
            shared_settings
                .teams
                .insert(format_compact!("t{team}"), team_of);
        }
        let mut fleet = Fleet::new(clock.clone(), "fd-0".into());
        let members: Vec<_> = (0..engines).map(member).collect();
        fleet.set_members(&members);
        let keys: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
        for key in keys {
            fleet.set_status(key, &status());
        }
        let mut setup = Self {
            scheduler: Scheduler::new(clock),
            fleet,
            shared_settings,
            rng: StdRng::seed_from_u64(SEED),
        };
        for team in 0..teams {
            for _ in 0..WAITING_PER_TEAM {
                setup.submit(team);
            }
        }
        setup
    }

    fn submit(&mut self, team: usize) {
        let rank = [Rank::Urgent, Rank::Routine][self.rng.random_range(0..2)];
        let job = Job {
            partner: format_compact!("p{}", 10 + team % PARTNERS),
            team: format_compact!("t{team}"),
            caller: format_compact!("c{}", self.rng.random_range(0..4)),
            rank,
            need: Need {
                model: "atlas".into(),
                blocks: (0..16).map(|block| (team * 100 + block) as u64).collect(),
                ..Need::default()
            },
            prompt_tokens: 1024,
            max_tokens: self.rng.random_range(50..500),
        };
        self.scheduler
            .submit(job, &self.shared_settings)
            .expect("the queues have room");
    }

    /// Returns the time of one decision, including the choice of the engine, and the started job.
    fn decide(&mut self) -> (Duration, Ticket) {
        let started = Instant::now();
        let start = self.scheduler.next(&self.fleet).expect("a slot is free");
        (started.elapsed(), start.ticket)
    }

    /// Returns the median time of a decision in microseconds.
    fn median_us(&mut self) -> f64 {
        let mut times: Vec<_> = (0..DECISIONS)
            .map(|_| {
                let (time, ticket) = self.decide();
                let (_, job) = self.scheduler.get(ticket).expect("it runs");
                let team = job.team[1..].parse().expect("teams have numbers");
                self.scheduler.progress(ticket, 60);
                self.scheduler.remove(ticket);
                self.submit(team);
                time
            })
            .collect();
        times.sort();
        times[DECISIONS / 2].as_secs_f64() * 1e6
    }
}

fn member(index: usize) -> wire::Member {
    wire::Member {
        name: format_compact!("engine-{index}"),
        kind: wire::Kind::Engine,
        address: format_compact!("127.0.0.1:{}", 1 + index % 60_000),
        peer_address: None,
        failure_domain: format_compact!("fd-{}", index % 31),
        region: "default".into(),
        state: wire::Lifecycle::Live,
        service: "atlas".into(),
    }
}

fn status() -> wire::Status {
    wire::Status {
        name: "engine".into(),
        failure_domain: "fd-0".into(),
        models: vec![wire::Model {
            model: "atlas".into(),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        role: "serve".into(),
        slots: 16,
        load: wire::Load::default(),
        leaving: false,
        next_seq: 0,
        events: Vec::new(),
    }
}

/// Measures decisions with growing numbers of teams and engines; reports the time at full size.
fn measure_decisions(result: &mut Map<String, Value>) {
    println!("teams  engines  decision us");
    let grid = [
        (42, 64),
        (FULL_SIZE_TEAMS, 64),
        (42, 1_000),
        (FULL_SIZE_TEAMS, 1_000),
        (FULL_SIZE_TEAMS, 4_000),
        (FULL_SIZE_TEAMS, FULL_SIZE_ENGINES),
    ];
    let mut last = 0.0;
    for (teams, engines) in grid {
        last = Setup::new(teams, engines).median_us();
        println!("{teams:5}  {engines:7}  {last:.2}");
    }
    result.insert(
        "decision_us_420x12000".into(),
        json!((last * 100.0).round() / 100.0),
    );
}

fn small_shared_settings() -> String {
    let mut text = String::from(
        "[partner niederbach]\nshare = 1\n[team lanes]\npartner = niederbach\n\
         [model atlas]\nversion = 1\n[rank routine]\nqueue_limit_ms = 10000\n",
    );
    for caller in 0..=SMALL_CALLERS {
        let digest = key_digest(&key(caller));
        text += &format!("[caller c{caller}]\nteam = lanes\nkey_sha256 = {digest}\n");
    }
    text
}

fn key(caller: usize) -> String {
    format!("key-of-caller-{caller}")
}

/// Sends requests of all callers to one router; returns the times to the first token of the measured
/// requests of small callers, `ANSWER_TIMEOUT` for those without an answer.
async fn send(address: String, large_factor: f64, router: u64) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(SEED + router);
    let small_per_s = SMALL_LOAD * capacity(ENGINES) * 2.0 / f64::from(TOKENS.0 + TOKENS.1);
    let per_small_caller = small_per_s / SMALL_CALLERS as f64;
    let per_s = (small_per_s + large_factor * per_small_caller) / ROUTERS as f64;
    let small_fraction = small_per_s / (small_per_s + large_factor * per_small_caller);
    let latencies: Rc<RefCell<Vec<Duration>>> = Rc::default();
    let mut tasks = Vec::new();
    let mut planned = 0;
    let started = Instant::now();
    let mut at = 0.0;
    while at < (WARM_UP + MEASURE).as_secs_f64() {
        at += next_gap(per_s, &mut rng);
        let instant = started + Duration::from_secs_f64(at);
        compio::time::sleep(instant.saturating_duration_since(Instant::now())).await;
        let is_small = rng.random_bool(small_fraction);
        let caller = match is_small {
            true => rng.random_range(0..SMALL_CALLERS),
            false => SMALL_CALLERS,
        };
        let seed = rng.random();
        let call = Call {
            key: key(caller),
            prompt: format!("When is a lane free? {seed:x}"),
            max_tokens: rng.random_range(TOKENS.0..=TOKENS.1),
            seed,
            event_timeout: 2 * ANSWER_TIMEOUT,
            ..support::call("", 1, 1)
        };
        let is_measured = is_small && at > WARM_UP.as_secs_f64();
        planned += usize::from(is_measured);
        let (address, latencies) = (address.clone(), latencies.clone());
        let task = compio::runtime::spawn(async move {
            let answer = client::complete(&address, &call).await;
            let first = answer.first_token.filter(|_| answer.complete);
            if let (true, Some(first)) = (is_measured, first) {
                latencies.borrow_mut().push(first);
            }
        });
        tasks.push((is_measured, task));
    }
    finish_measured(&mut tasks, ANSWER_TIMEOUT).await;
    let mut latencies = latencies.take();
    latencies.resize(planned, ANSWER_TIMEOUT);
    latencies
}

/// Returns the p95 time to the first token of small callers, in milliseconds.
fn small_ttft_ms(settings: &str, large_factor: f64) -> f64 {
    let cluster = paced::start(ENGINES, &[], &small_shared_settings(), settings);
    let mut latencies = send_to_all(&cluster, |index, address| {
        send(address, large_factor, index as u64)
    });
    latencies.sort();
    let at =
        |part: f64| latencies[(part * (latencies.len() - 1) as f64) as usize].as_secs_f64() * 1e3;
    println!(
        "{}large x{large_factor}: {} small requests, p50 {:.0} ms, p95 {:.0} ms, p99 {:.0} ms",
        settings.replace('\n', ", "),
        latencies.len(),
        at(0.5),
        at(0.95),
        at(0.99)
    );
    at(0.95)
}

/// Measures the ratio of small callers' latency with a large caller to that without one.
fn measure_small_callers(result: &mut Map<String, Value>) {
    for (name, settings) in [
        ("small_ttft_ratio", ""),
        ("baseline_small_ttft_ratio", "scheduler = fifo\n"),
    ] {
        let alone = small_ttft_ms(settings, 0.0);
        let beside = small_ttft_ms(settings, LARGE_FACTOR);
        let ratio = beside / alone;
        result.insert(name.into(), json!((ratio * 100.0).round() / 100.0));
    }
}

fn main() {
    println!("seed {SEED}");
    let mut result = Map::new();
    result.insert("seed".into(), json!(SEED));
    // The name of a part as argument runs only that part.
    let only = std::env::args()
        .nth(1)
        .filter(|name| !name.starts_with('-'));
    let is_due = |name: &str| only.as_deref().is_none_or(|only| only == name);
    if is_due("shares") {
        shares::measure(&mut result);
    }
    if is_due("decisions") {
        measure_decisions(&mut result);
    }
    if is_due("small") {
        measure_small_callers(&mut result);
    }
    println!("{}", Value::Object(result));
}
