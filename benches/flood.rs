//! Measures how much of their throughput partners keep while another one sends ten times its usual
//! load: first routine requests to one host, then urgent requests to several hosts unevenly.

#[path = "parts/paced.rs"]
mod paced;
#[path = "../tests/support/mod.rs"]
mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bilberrypost::config::split::key_digest;
use bilberrypost::load::client::{self, Call};
use bilberrypost::wire::Rank;
use paced::{ROUTERS, capacity, next_gap, send_to_all};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

const SEED: u64 = 17;

const ENGINES: usize = 20;

/// Smallest and largest number of output tokens of a request.
const TOKENS: (u32, u32) = (40, 120);

/// Usual load of each partner, as a fraction of its share of the capacity.
const USUAL_LOAD: f64 = 0.7;

/// Load of the flooding partner during the flood, as a multiple of its usual load.
const FLOOD_FACTOR: f64 = 10.0;

/// Partner, its share in percent, and the number of its teams; partner `a` floods.
const PARTNERS: [(&str, u32, usize); 3] = [("a", 50, 4), ("b", 30, 3), ("c", 20, 3)];

/// Fractions of each partner's requests that are sent to each router.
const ROUTER_FRACTIONS: [[f64; ROUTERS]; 3] = [
    [0.3, 0.2, 0.2, 0.1, 0.1, 0.1],
    [0.4, 0.1, 0.1, 0.1, 0.1, 0.2],
    [0.0, 0.1, 0.5, 0.0, 0.4, 0.0],
];

/// Fractions of the flood that are sent to each router, in phases 1 and 2.
const FLOOD_ROUTER_FRACTIONS: [[f64; ROUTERS]; 2] = [
    [1.0, 0.0, 0.0, 0.0, 0.0, 0.0],
    [0.1, 0.1, 0.5, 0.2, 0.1, 0.0],
];

/// Time of a phase before it is measured, in which the queues fill.
const WARM_UP: Duration = Duration::from_secs(8);
const MEASURE: Duration = Duration::from_secs(20);

/// Number of phases: one without a flood, and two with one.
const PHASES: u32 = 3;

/// Timeout of a request; a later answer does not count.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Debug)]
struct Arrival {
    at: Duration,
    partner: usize,
    team: usize,
    router: usize,
    tokens: u32,
    seed: u64,
    rank: Rank,
    is_flood: bool,
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    ended_at: Duration,
    partner: usize,
    tokens: u32,
    first_token: Option<Duration>,
    wrong_tokens: u32,
}

fn phase_duration() -> Duration {
    WARM_UP + MEASURE
}

fn pick(weights: &[f64], rng: &mut StdRng) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    let chosen = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    chosen.unwrap_or(0)
}

/// Draws the arrivals of one partner in a phase, with `load` as a fraction of the capacity.
fn arrivals(
    partner: usize,
    load: f64,
    fractions: &[f64; ROUTERS],
    rng: &mut StdRng,
) -> Vec<Arrival> {
    let per_s = load * capacity(ENGINES) * 2.0 / f64::from(TOKENS.0 + TOKENS.1);
    let mut drawn = Vec::new();
    let mut at = 0.0;
    loop {
        at += next_gap(per_s, rng);
        if at >= phase_duration().as_secs_f64() {
            return drawn;
        }
        drawn.push(Arrival {
            at: Duration::from_secs_f64(at),
            partner,
            team: rng.random_range(0..PARTNERS[partner].2),
            router: pick(fractions, rng),
            tokens: rng.random_range(TOKENS.0..=TOKENS.1),
            seed: rng.random(),
            rank: [Rank::Urgent, Rank::Routine][usize::from(rng.random_bool(0.7))],
            is_flood: false,
        });
    }
}

/// Returns all arrivals: the same usual requests in each phase, and the flood in phases 1 and 2.
fn plan() -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let usual: Vec<_> = (0..PARTNERS.len())
        .flat_map(|partner| {
            let load = USUAL_LOAD * f64::from(PARTNERS[partner].1) / 100.0;
            arrivals(partner, load, &ROUTER_FRACTIONS[partner], &mut rng)
        })
        .collect();
    let mut plan = Vec::new();
    for number in 0..PHASES {
        let shifted = |arrival: &Arrival| Arrival {
            at: arrival.at + phase_duration() * number,
            ..arrival.clone()
        };
        plan.extend(usual.iter().map(shifted));
        if number == 0 {
            continue;
        }
        let load = (FLOOD_FACTOR - 1.0) * USUAL_LOAD * f64::from(PARTNERS[0].1) / 100.0;
        let fractions = &FLOOD_ROUTER_FRACTIONS[number as usize - 1];
        let rank = [Rank::Routine, Rank::Urgent][number as usize - 1];
        let flood = arrivals(0, load, fractions, &mut rng);
        plan.extend(flood.iter().map(shifted).map(|arrival| Arrival {
            rank,
            is_flood: true,
            ..arrival
        }));
    }
    plan.sort_by_key(|arrival| arrival.at);
    plan
}

fn key(partner: usize, team: usize) -> String {
    format!("key-of-{}{team}", PARTNERS[partner].0)
}

fn shared_settings() -> String {
    let mut text = String::from(
        "[model atlas]\nversion = 1\n[rank urgent]\nqueue_limit_ms = 10000\n\
         [rank routine]\nqueue_limit_ms = 15000\n",
    );
    for (partner, (name, share, teams)) in PARTNERS.iter().enumerate() {
        text += &format!("[partner {name}]\nshare = {share}\n");
        for team in 0..*teams {
            let digest = key_digest(&key(partner, team));
            text += &format!(
                "[team {name}{team}]\npartner = {name}\n[caller {name}{team}]\n\
                 team = {name}{team}\nmay_be_urgent = yes\nkey_sha256 = {digest}\n"
            );
        }
    }
    text
}

fn call(arrival: &Arrival) -> Call {
    let team = arrival.team;
    Call {
        key: key(arrival.partner, team),
        prompt: format!("Notes of team {team}: {:x}.", arrival.seed),
        max_tokens: arrival.tokens,
        seed: arrival.seed,
        rank: arrival.rank,
        event_timeout: REQUEST_TIMEOUT,
        ..support::call("", 1, 1)
    }
}

/// Sends the requests of one router at their times; returns the results of the usual requests.
async fn send(address: String, arrivals: Vec<Arrival>, started: Instant) -> Vec<Completion> {
    let completions: Rc<RefCell<Vec<Completion>>> = Rc::default();
    let mut tasks = Vec::new();
    for arrival in arrivals {
        let wait = (started + arrival.at).saturating_duration_since(Instant::now());
        compio::time::sleep(wait).await;
        let (address, completions) = (address.clone(), completions.clone());
        tasks.push(compio::runtime::spawn(async move {
            let answer = client::complete(&address, &call(&arrival)).await;
            if arrival.is_flood {
                return;
            }
            completions.borrow_mut().push(Completion {
                ended_at: started.elapsed(),
                partner: arrival.partner,
                tokens: if answer.complete { answer.tokens } else { 0 },
                first_token: answer.first_token,
                wrong_tokens: answer.missing + answer.repeated + answer.mismatched,
            });
        }));
    }
    let end = started + phase_duration() * PHASES;
    compio::time::sleep(end.saturating_duration_since(Instant::now())).await;
    completions.take()
}

/// Runs all phases with the given host settings; returns the smallest percentage of its throughput
/// that a partner other than the flooding one keeps.
fn run(settings: &str) -> f64 {
    let cluster = paced::start(ENGINES, &[], &shared_settings(), settings);
    let plan = plan();
    let started = Instant::now() + Duration::from_secs(4);
    let completions = send_to_all(&cluster, |index, address| {
        let own = plan.iter().filter(|arrival| arrival.router == index);
        send(address, own.cloned().collect(), started)
    });
    let wrong_tokens: u32 = completions
        .iter()
        .map(|completion| completion.wrong_tokens)
        .sum();
    assert_eq!(wrong_tokens, 0, "tokens were missing, repeated or mixed");
    retained_percent(&completions)
}

fn retained_percent(completions: &[Completion]) -> f64 {
    let mut served: BTreeMap<(usize, u32), (f64, Vec<Duration>)> = BTreeMap::new();
    for completion in completions {
        let number = (completion.ended_at.as_secs_f64() / phase_duration().as_secs_f64()) as u32;
        if completion.ended_at >= phase_duration() * number + WARM_UP {
            let (tokens, latencies) = served.entry((completion.partner, number)).or_default();
            *tokens += f64::from(completion.tokens) / MEASURE.as_secs_f64();
            latencies.extend(completion.first_token);
        }
    }
    let mut least = f64::INFINITY;
    for (partner, (name, ..)) in PARTNERS.iter().enumerate() {
        let before = served.get(&(partner, 0)).map_or(0.0, |(tokens, _)| *tokens);
        for number in 0..PHASES {
            let Some((tokens, latencies)) = served.get_mut(&(partner, number)) else {
                least = 0.0;
                continue;
            };
            latencies.sort();
            let p95 = latencies.get(latencies.len() * 95 / 100).copied();
            let percent = 100.0 * *tokens / before;
            println!(
                "partner {name} phase {number}: {tokens:.0} tokens/s, {percent:.1}%, p95 first \
                 token {:.0} ms",
                p95.unwrap_or_default().as_secs_f64() * 1e3
            );
            if partner > 0 && number > 0 {
                least = least.min(percent);
            }
        }
    }
    least
}

fn main() {
    println!("seed {SEED}");
    println!("phase 1: routine flood at one host; phase 2: urgent flood at several");
    let retained = run("");
    println!("baseline: first come first served, least loaded");
    let baseline = run("scheduler = fifo\nroute = least_loaded\n");
    let round = |percent: f64| (percent * 10.0).round() / 10.0;
    let result = json!({
        "bench": "flood",
        "seed": SEED,
        "others_kept_percent_min": round(retained),
        "baseline_others_kept_percent_min": round(baseline),
    });
    println!("{result}");
}
