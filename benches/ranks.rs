//! Measures the time to the first token of urgent requests within their share, first while routine
//! requests ask for three times the capacity, then while urgent requests of another team do.

#[path = "parts/paced.rs"]
mod paced;
#[path = "../tests/support/mod.rs"]
mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bilberrypost::config::split::key_digest;
use bilberrypost::emulate::engine::Totals;
use bilberrypost::load::client::{self, Call};
use bilberrypost::wire::Rank;
use paced::{ROUTERS, capacity, finish_measured, next_gap, send_to_all};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use support::{Cluster, get};

const SEED: u64 = 11;

const ENGINES: usize = 35;

/// Length of the prompt prefix that all requests of a team share, in tokens.
const SHARED_PREFIX_TOKENS: usize = 1024;

/// Capacity of an engine's prefix cache, in blocks: the shared prefixes of four of the ten teams.
const CACHE_BLOCKS: &str = "64";

/// Smallest and largest number of output tokens: of routine and flooding requests, and of urgent
/// requests within their share.
const LONG_TOKENS: (u32, u32) = (60, 180);
const SHORT_TOKENS: (u32, u32) = (20, 60);

/// Load as a multiple of the capacity: of the flood, and of urgent requests within their share.
const FLOOD_LOAD: f64 = 3.0;
const URGENT_LOAD: f64 = 0.2;

/// Time before each measurement, in which the queues fill.
const WARM_UP: Duration = Duration::from_secs(6);

const MEASURE: Duration = Duration::from_secs(12);

/// Latency that is counted for a request that was refused or failed, and the longest wait for the
/// last ones.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Partner, team, and the team's fraction of the routine load; two teams are large.
const TEAMS: [(&str, &str, f64); 10] = [
    ("a", "a1", 0.40),
    ("a", "a2", 0.05),
    ("a", "a3", 0.05),
    ("a", "a4", 0.03),
    ("b", "b1", 0.25),
    ("b", "b2", 0.05),
    ("b", "b3", 0.05),
    ("c", "c1", 0.04),
    ("c", "c2", 0.04),
    ("c", "c3", 0.04),
];

/// Index of the team whose urgent requests flood.
const FLOODING_TEAM: usize = 0;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Routine,
    Urgent,
    Flood,
}

#[derive(Clone, Debug)]
struct Arrival {
    at: Duration,
    team: usize,
    kind: Kind,
    tokens: u32,
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    arrived_at: Duration,
    /// When the request ended, from the start of the run.
    ended_at: Duration,
    tokens: u32,
    kind: Kind,
    /// Time to the first token, if there was one.
    first_token: Option<Duration>,
    /// Number of missing, repeated and foreign tokens.
    wrong_tokens: u32,
}

/// Draws the arrivals of one kind of request, with `load` as a multiple of the capacity.
fn arrivals(
    kind: Kind,
    load: f64,
    (from, to): (Duration, Duration),
    teams: &[(usize, f64)],
    rng: &mut StdRng,
) -> Vec<Arrival> {
    let (least, most) = match kind {
        Kind::Urgent => SHORT_TOKENS,
        Kind::Routine | Kind::Flood => LONG_TOKENS,
    };
    let per_s = load * capacity(ENGINES) * 2.0 / f64::from(least + most);
    let total: f64 = teams.iter().map(|(_, weight)| weight).sum();
    let mut drawn = Vec::new();
    let mut at = from.as_secs_f64();
    loop {
        at += next_gap(per_s, rng);
        if at >= to.as_secs_f64() {
            return drawn;
        }
        let mut left = rng.random_range(0.0..total);
        let chosen = teams.iter().find(|(_, weight)| {
            left -= weight;
            left < 0.0
        });
        drawn.push(Arrival {
            at: Duration::from_secs_f64(at),
            team: chosen.unwrap_or(&teams[0]).0,
            kind,
            tokens: rng.random_range(least..=most),
            seed: rng.random(),
        });
    }
}

/// Returns all arrivals: routine requests flood in the first measurement, urgent requests of one
/// team in the second.
fn plan() -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let window_length = WARM_UP + MEASURE;
    let routine: Vec<_> = (0..TEAMS.len()).map(|team| (team, TEAMS[team].2)).collect();
    let all: Vec<_> = (0..TEAMS.len()).map(|team| (team, 1.0)).collect();
    let others: Vec<_> = all[..]
        .iter()
        .filter(|(team, _)| *team != FLOODING_TEAM)
        .copied()
        .collect();
    let first = (Duration::ZERO, window_length);
    let second = (window_length, 2 * window_length);
    let mut plan = arrivals(Kind::Routine, FLOOD_LOAD, first, &routine, &mut rng);
    plan.extend(arrivals(Kind::Urgent, URGENT_LOAD, first, &all, &mut rng));
    plan.extend(arrivals(Kind::Routine, 1.0, second, &routine, &mut rng));
    plan.extend(arrivals(
        Kind::Flood,
        FLOOD_LOAD,
        second,
        &[(FLOODING_TEAM, 1.0)],
        &mut rng,
    ));
    plan.extend(arrivals(
        Kind::Urgent,
        URGENT_LOAD,
        second,
        &others,
        &mut rng,
    ));
    plan.sort_by_key(|arrival| arrival.at);
    plan
}

fn key(team: usize) -> String {
    format!("key-of-{}", TEAMS[team].1)
}

fn shared_settings() -> String {
    let mut text = String::from(
        "[partner a]\nshare = 50\n[partner b]\nshare = 30\n[partner c]\nshare = 20\n\
         [model atlas]\nversion = 1\n\
         [rank urgent]\nqueue_limit_ms = 10000\n[rank routine]\nqueue_limit_ms = 15000\n",
    );
    for (index, (partner, team, _)) in TEAMS.iter().enumerate() {
        let digest = key_digest(&key(index));
        text += &format!(
            "[team {team}]\npartner = {partner}\n\
             [caller {team}]\nteam = {team}\nmay_be_urgent = yes\nkey_sha256 = {digest}\n"
        );
    }
    text
}

fn call(arrival: &Arrival) -> Call {
    let team = TEAMS[arrival.team].1;
    let shared_prefix = format!("Rules of team {team}. ").repeat(SHARED_PREFIX_TOKENS * 4 / 18);
    Call {
        key: key(arrival.team),
        prompt: format!("{shared_prefix}Notes {:x}.", arrival.seed),
        max_tokens: arrival.tokens,
        seed: arrival.seed,
        rank: match arrival.kind {
            Kind::Routine => Rank::Routine,
            Kind::Urgent | Kind::Flood => Rank::Urgent,
        },
        event_timeout: 2 * ANSWER_TIMEOUT,
        ..support::call("", 1, 1)
    }
}

/// Sends the requests of one router at their times, and waits for the measured ones.
async fn send(address: String, arrivals: Vec<Arrival>, started: Instant) -> Vec<Completion> {
    let completions: Rc<RefCell<Vec<Completion>>> = Rc::default();
    let mut tasks = Vec::new();
    for arrival in arrivals {
        let wait = (started + arrival.at).saturating_duration_since(Instant::now());
        compio::time::sleep(wait).await;
        let (address, completions) = (address.clone(), completions.clone());
        let is_measured = arrival.kind == Kind::Urgent;
        let task = compio::runtime::spawn(async move {
            let answer = client::complete(&address, &call(&arrival)).await;
            completions.borrow_mut().push(Completion {
                arrived_at: arrival.at,
                ended_at: started.elapsed(),
                tokens: answer.tokens,
                kind: arrival.kind,
                first_token: answer.first_token.filter(|_| answer.complete),
                wrong_tokens: answer.missing + answer.repeated + answer.mismatched,
            });
        });
        tasks.push((is_measured, task));
    }
    finish_measured(&mut tasks, ANSWER_TIMEOUT).await;
    completions.take()
}

#[derive(Debug)]
struct Outcome {
    /// p50 and p95 time to the first token in the two measurements, in milliseconds.
    p50_ms: [f64; 2],
    p95_ms: [f64; 2],
    /// Number of urgent requests within their share, and of those without an answer.
    urgent: [usize; 2],
    unserved: [usize; 2],
    /// Tokens of the routine requests and of all requests that ended, in percent of the capacity.
    routine_percent: [f64; 2],
    all_percent: [f64; 2],
    hit_percent: f64,
    cancelled: u64,
}

fn run(settings: &str) -> Outcome {
    let cache = ["--cache-blocks", CACHE_BLOCKS];
    let cluster = paced::start(ENGINES, &cache, &shared_settings(), settings);
    let plan = plan();
    let started = Instant::now() + Duration::from_millis(200);
    let completions = send_to_all(&cluster, |index, address| {
        let own = plan.iter().skip(index).step_by(ROUTERS);
        send(address, own.cloned().collect(), started)
    });
    outcome(&cluster, &plan, &completions)
}

fn outcome(cluster: &Cluster, plan: &[Arrival], completions: &[Completion]) -> Outcome {
    let wrong_tokens: u32 = completions
        .iter()
        .map(|completion| completion.wrong_tokens)
        .sum();
    assert_eq!(wrong_tokens, 0, "tokens were missing, repeated or mixed");
    let window_length = WARM_UP + MEASURE;
    let in_window = |at: Duration, window: u32| {
        at >= window_length * window + WARM_UP && at < window_length * (window + 1)
    };
    let mut outcome = Outcome {
        p50_ms: [0.0; 2],
        p95_ms: [0.0; 2],
        urgent: [0; 2],
        unserved: [0; 2],
        routine_percent: [0.0; 2],
        all_percent: [0.0; 2],
        hit_percent: 0.0,
        cancelled: 0,
    };
    for window in 0..2 {
        let index = window as usize;
        let of_kind = |kind| {
            completions.iter().filter(move |completion| {
                completion.kind == kind && in_window(completion.arrived_at, window)
            })
        };
        let mut latencies: Vec<_> = of_kind(Kind::Urgent)
            .filter_map(|completion| completion.first_token)
            .collect();
        let planned = plan.iter().filter(|arrival| arrival.kind == Kind::Urgent);
        let planned = planned
            .filter(|arrival| in_window(arrival.at, window))
            .count();
        outcome.urgent[index] = planned;
        outcome.unserved[index] = planned - latencies.len();
        let percent = |counts: fn(&Completion) -> bool| {
            let ended = completions
                .iter()
                .filter(|completion| in_window(completion.ended_at, window));
            let tokens: u32 = ended
                .filter(|completion| counts(completion))
                .map(|completion| completion.tokens)
                .sum();
            100.0 * f64::from(tokens) / (capacity(ENGINES) * MEASURE.as_secs_f64())
        };
        outcome.routine_percent[index] = percent(|completion| completion.kind == Kind::Routine);
        outcome.all_percent[index] = percent(|_| true);
        latencies.resize(planned, ANSWER_TIMEOUT);
        latencies.sort();
        let at = |part: f64| latencies[(part * (planned - 1) as f64) as usize].as_secs_f64() * 1e3;
        outcome.p50_ms[index] = at(0.50);
        outcome.p95_ms[index] = at(0.95);
    }
    let (mut cached, mut prefilled) = (0, 0);
    for engine in &cluster.engines {
        let totals: Totals = get(&engine.address, "/v1/emulation/totals");
        cached += totals.cached;
        prefilled += totals.prefilled;
        outcome.cancelled += totals.cancelled;
    }
    outcome.hit_percent = 100.0 * cached as f64 / (cached + prefilled).max(1) as f64;
    outcome
}

fn worst(values: [f64; 2]) -> f64 {
    values[0].max(values[1])
}

fn main() {
    println!("seed {SEED}, capacity {:.0} tokens/s", capacity(ENGINES));
    let cases = [
        ("queue", "preemption = queue\n"),
        ("pause", "preemption = pause\n"),
        ("wait", "preemption = wait\n"),
        ("first come", "scheduler = fifo\n"),
        ("least loaded", "scheduler = fifo\nroute = least_loaded\n"),
    ];
    // Names of cases as arguments run only these cases and print no JSON result.
    let only: Vec<_> = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"))
        .collect();
    if !only.is_empty() {
        for (name, settings) in cases
            .iter()
            .filter(|(name, _)| only.contains(&(*name).into()))
        {
            println!("{name}: {:?}", run(settings));
        }
        return;
    }
    let outcomes = cases.map(|(name, settings)| {
        let outcome = run(settings);
        println!("{name}: {outcome:?}");
        outcome
    });
    let [_, pause, _, first_come, least_loaded] = &outcomes;
    let baseline = worst(first_come.p95_ms).min(worst(least_loaded.p95_ms));
    let result = json!({
        "seed": SEED,
        "urgent_ttft_p95_ms": worst(pause.p95_ms).round(),
        "baseline_urgent_ttft_p95_ms": baseline.round(),
        "prefix_hit_percent": (10.0 * pause.hit_percent).round() / 10.0,
        "baseline_prefix_hit_percent": (10.0 * least_loaded.hit_percent).round() / 10.0,
    });
    println!("{result}");
}
