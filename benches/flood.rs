//! What other partners keep while one floods with ten times its work: first with routine work that
//! enters at one host, then with urgent work that enters unevenly.

#[path = "../tests/support/mod.rs"]
mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bilberrypost::config::split::key_digest;
use bilberrypost::load::client::{self, Call};
use bilberrypost::wire::Rank;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use support::{Cluster, Pace};

const SEED: u64 = 17;

const ROUTERS: usize = 6;
const ENGINES: usize = 20;
const SLOTS: u32 = 16;

/// Step of an engine with an empty batch, and what each stream adds: the default shape, slowed
/// until a token of a full batch takes 32 of the 41 ms allowed, to spare the machine.
const STEP_US: u32 = 21_000;
const STEP_PER_STREAM_US: u32 = 700;

const TOKENS: (u32, u32) = (40, 120);

/// What each partner asks before the flood, in parts of its share of the capacity.
const LOAD: f64 = 0.7;

/// Work of the flooding partner during the flood, in parts of what it asked before.
const FLOOD: f64 = 10.0;

/// Partner, its share in percent, and its teams; partner `a` floods.
const PARTNERS: [(&str, u32, usize); 3] = [("a", 50, 4), ("b", 30, 3), ("c", 20, 3)];

/// Parts of a partner's work that enter at each router.
const ENTRY: [[f64; ROUTERS]; 3] = [
    [0.3, 0.2, 0.2, 0.1, 0.1, 0.1],
    [0.4, 0.1, 0.1, 0.1, 0.1, 0.2],
    [0.0, 0.1, 0.5, 0.0, 0.4, 0.0],
];

/// Where the flood enters in each phase.
const FLOOD_ENTRY: [[f64; ROUTERS]; 2] = [
    [1.0, 0.0, 0.0, 0.0, 0.0, 0.0],
    [0.1, 0.1, 0.5, 0.2, 0.1, 0.0],
];

/// Time of a phase before it is measured, until queues are full.
const WARM: Duration = Duration::from_secs(8);
const MEASURE: Duration = Duration::from_secs(20);
const PHASES: u32 = 3;

/// Longest time until an answer counts for nothing.
const PATIENCE: Duration = Duration::from_secs(20);

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
struct Seen {
    ended: Duration,
    partner: usize,
    tokens: u32,
    first: Option<Duration>,
    wrong: u32,
}

fn capacity() -> f64 {
    let step_us = STEP_US + STEP_PER_STREAM_US * SLOTS;
    f64::from(ENGINES as u32 * SLOTS) * 1e6 / f64::from(step_us)
}

fn phase() -> Duration {
    WARM + MEASURE
}

fn pick(weights: &[f64], rng: &mut StdRng) -> usize {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    let chosen = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    chosen.unwrap_or(0)
}

/// Draws the arrivals of one partner in a phase with `load` parts of the capacity.
fn arrivals(partner: usize, load: f64, entry: &[f64; ROUTERS], rng: &mut StdRng) -> Vec<Arrival> {
    let per_s = load * capacity() * 2.0 / f64::from(TOKENS.0 + TOKENS.1);
    let mut drawn = Vec::new();
    let mut at = 0.0;
    loop {
        at += -rng.random_range(f64::EPSILON..1.0).ln() / per_s;
        if at >= phase().as_secs_f64() {
            return drawn;
        }
        drawn.push(Arrival {
            at: Duration::from_secs_f64(at),
            partner,
            team: rng.random_range(0..PARTNERS[partner].2),
            router: pick(entry, rng),
            tokens: rng.random_range(TOKENS.0..=TOKENS.1),
            seed: rng.random(),
            rank: [Rank::Urgent, Rank::Routine][usize::from(rng.random_bool(0.7))],
            is_flood: false,
        });
    }
}

/// The same work in each phase, and in the second and third the flood besides.
fn plan() -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let usual: Vec<_> = (0..PARTNERS.len())
        .flat_map(|partner| {
            let load = LOAD * f64::from(PARTNERS[partner].1) / 100.0;
            arrivals(partner, load, &ENTRY[partner], &mut rng)
        })
        .collect();
    let mut plan = Vec::new();
    for number in 0..PHASES {
        let shifted = |arrival: &Arrival| Arrival {
            at: arrival.at + phase() * number,
            ..arrival.clone()
        };
        plan.extend(usual.iter().map(shifted));
        if number == 0 {
            continue;
        }
        let load = (FLOOD - 1.0) * LOAD * f64::from(PARTNERS[0].1) / 100.0;
        let entry = &FLOOD_ENTRY[number as usize - 1];
        let rank = [Rank::Routine, Rank::Urgent][number as usize - 1];
        let flood = arrivals(0, load, entry, &mut rng);
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

fn split() -> String {
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
        event_timeout: PATIENCE,
        ..support::call("", 1, 1)
    }
}

/// Sends the arrivals of one router.
async fn send(address: String, arrivals: Vec<Arrival>, started: Instant) -> Vec<Seen> {
    let seen: Rc<RefCell<Vec<Seen>>> = Rc::default();
    let mut tasks = Vec::new();
    for arrival in arrivals {
        let wait = (started + arrival.at).saturating_duration_since(Instant::now());
        compio::time::sleep(wait).await;
        let (address, seen) = (address.clone(), seen.clone());
        tasks.push(compio::runtime::spawn(async move {
            let answer = client::complete(&address, &call(&arrival)).await;
            if arrival.is_flood {
                return;
            }
            seen.borrow_mut().push(Seen {
                ended: started.elapsed(),
                partner: arrival.partner,
                tokens: if answer.complete { answer.tokens } else { 0 },
                first: answer.first_token,
                wrong: answer.missing + answer.repeated + answer.mismatched,
            });
        }));
    }
    let end = started + phase() * PHASES;
    compio::time::sleep(end.saturating_duration_since(Instant::now())).await;
    seen.take()
}

/// Returns the smallest part that a partner other than the flooding one keeps, in percent.
fn run(settings: &str) -> f64 {
    let mut cluster = Cluster::start();
    let pace = Pace {
        slots: SLOTS,
        step_us: STEP_US,
        step_per_stream_us: STEP_PER_STREAM_US,
    };
    cluster.paced_engines(ENGINES, &pace, &[]);
    for _ in 0..ROUTERS {
        cluster.router_with(&split(), ENGINES, settings);
    }
    let plan = plan();
    let started = Instant::now() + Duration::from_secs(4);
    let threads: Vec<_> = (0..ROUTERS)
        .map(|index| {
            let address = cluster.routers[index].address.clone();
            let own = plan.iter().filter(|arrival| arrival.router == index);
            let own: Vec<_> = own.cloned().collect();
            std::thread::spawn(move || support::block_on(send(address, own, started)))
        })
        .collect();
    let seen: Vec<Seen> = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("the load ran"))
        .collect();
    let wrong: u32 = seen.iter().map(|seen| seen.wrong).sum();
    assert_eq!(wrong, 0, "tokens were missing, repeated or mixed");
    kept(&seen)
}

fn kept(seen: &[Seen]) -> f64 {
    let mut served: BTreeMap<(usize, u32), (f64, Vec<Duration>)> = BTreeMap::new();
    for seen in seen {
        let number = (seen.ended.as_secs_f64() / phase().as_secs_f64()) as u32;
        if seen.ended >= phase() * number + WARM {
            let (tokens, firsts) = served.entry((seen.partner, number)).or_default();
            *tokens += f64::from(seen.tokens) / MEASURE.as_secs_f64();
            firsts.extend(seen.first);
        }
    }
    let mut least = f64::INFINITY;
    for (partner, (name, ..)) in PARTNERS.iter().enumerate() {
        let before = served.get(&(partner, 0)).map_or(0.0, |(tokens, _)| *tokens);
        for number in 0..PHASES {
            let Some((tokens, firsts)) = served.get_mut(&(partner, number)) else {
                least = 0.0;
                continue;
            };
            firsts.sort();
            let p95 = firsts.get(firsts.len() * 95 / 100).copied();
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
    let kept = run("");
    println!("baseline: first come first served, least loaded");
    let baseline = run("scheduler = fifo\nroute = least_loaded\n");
    let round = |percent: f64| (percent * 10.0).round() / 10.0;
    let result = json!({
        "bench": "flood",
        "seed": SEED,
        "others_kept_percent_min": round(kept),
        "baseline_others_kept_percent_min": round(baseline),
    });
    println!("{result}");
}
