//! Measures how well shares of work are met under full load that is spread unevenly over the hosts,
//! while one host is killed and one is cut off from its peers, and how fast new shares take effect.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bilberrypost::config::split::key_digest;
use bilberrypost::emulate::proxy::Fault;
use bilberrypost::load::client::{self, Call};
use bilberrypost::wire::{Kind, Lifecycle, Member};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Map, Value, json};

use super::paced::{PACE, ROUTERS};
use super::support::{self, Cluster};
use super::{ENGINES, SEED, TOKENS};

const PARTNERS: [&str; 3] = ["a", "b", "c"];
const SHARES: [u32; 3] = [50, 30, 20];
const NEW_SHARES: [u32; 3] = [20, 30, 50];

/// Number of callers of each partner, each with one request at a time. All engines together have
/// only 320 slots.
const CALLERS_PER_PARTNER: usize = 300;

/// Fractions of each partner's callers that use each router: mostly one router, all routers, and
/// three routers.
const ROUTER_FRACTIONS: [[f64; ROUTERS]; 3] = [
    [0.8, 0.2, 0.0, 0.0, 0.0, 0.0],
    [0.1, 0.1, 0.2, 0.2, 0.2, 0.2],
    [0.0, 0.0, 0.0, 0.3, 0.3, 0.4],
];

/// Index of the router that is killed, and of the one that its peers cannot reach.
const KILLED: usize = 1;
const CUT_OFF: usize = 3;

// Start of the measurement, times of the faults and of the new shares, and end of the run.
const WARM_UP_S: u64 = 14;
const KILL_AT_S: u64 = 22;
const UNLIST_AT_S: u64 = 24;
const CUT_OFF_AT_S: u64 = 30;
const CHANGE_AT_S: u64 = 62;
const END_S: u64 = 80;

/// Length of the windows in which shares are compared, before and after the new shares, in seconds.
const WINDOW_S: usize = 30;
const NEW_WINDOW_S: usize = 10;

/// Largest error of a share at which the new shares count as met, in percentage points.
const TOLERANCE_POINTS: f64 = 2.0;

/// Buckets per second, in which tokens are counted.
const BUCKETS_PER_S: usize = 4;

/// Tokens by bucket and partner.
type Tokens = Vec<[u32; 3]>;

fn key(partner: usize) -> String {
    format!("key-of-partner-{}", PARTNERS[partner])
}

fn shared_settings(shares: [u32; 3]) -> String {
    let mut text =
        String::from("[model atlas]\nversion = 1\n[rank routine]\nqueue_limit_ms = 10000\n");
    for (partner, name) in PARTNERS.iter().enumerate() {
        let (share, digest) = (shares[partner], key_digest(&key(partner)));
        text += &format!(
            "[partner {name}]\nshare = {share}\n[team {name}]\npartner = {name}\n\
             [caller {name}]\nteam = {name}\nkey_sha256 = {digest}\n"
        );
    }
    text
}

/// Runs one caller, which sends one request after another and moves to the next router when a
/// connection fails.
async fn run_caller(
    addresses: Rc<Vec<String>>,
    mut router: usize,
    partner: usize,
    number: u64,
    started: Instant,
    tokens: Rc<RefCell<Tokens>>,
) {
    let mut rng = StdRng::seed_from_u64(SEED * 1_000_000 + number);
    while started.elapsed() < Duration::from_secs(END_S) {
        let seed = rng.random();
        let call = Call {
            key: key(partner),
            prompt: format!("Plan {seed:x}"),
            max_tokens: rng.random_range(TOKENS.0..=TOKENS.1),
            seed,
            event_timeout: Duration::from_secs(20),
            ..support::call("", 1, 1)
        };
        let sent = Instant::now();
        let answer = client::complete(&addresses[router], &call).await;
        let mut at = sent + answer.first_token.unwrap_or_default();
        let first = answer.first_token.map(|_| Duration::ZERO);
        for gap in first.into_iter().chain(answer.gaps.iter().copied()) {
            at += gap;
            let bucket =
                at.saturating_duration_since(started).as_millis() as usize * BUCKETS_PER_S / 1000;
            if let Some(counts) = tokens.borrow_mut().get_mut(bucket) {
                counts[partner] += 1;
            }
        }
        if answer.failure.is_some() {
            router = (router + 1) % ROUTERS;
        }
        if !answer.complete {
            compio::time::sleep(Duration::from_millis(rng.random_range(100..300))).await;
        }
    }
}

/// Runs the callers that start at one router; returns the tokens that they received.
async fn run_callers(addresses: Vec<String>, router: usize, started: Instant) -> Tokens {
    let addresses = Rc::new(addresses);
    let tokens = Rc::new(RefCell::new(vec![[0; 3]; END_S as usize * BUCKETS_PER_S]));
    let mut tasks = Vec::new();
    for (partner, fractions) in ROUTER_FRACTIONS.iter().enumerate() {
        let count = (CALLERS_PER_PARTNER as f64 * fractions[router]).round() as u64;
        for caller in 0..count {
            let number = (router as u64 * 3 + partner as u64) * 1000 + caller;
            let (addresses, tokens) = (addresses.clone(), tokens.clone());
            tasks.push(compio::runtime::spawn(run_caller(
                addresses, router, partner, number, started, tokens,
            )));
        }
    }
    let end = started + Duration::from_secs(END_S);
    compio::time::sleep(end.saturating_duration_since(Instant::now())).await;
    drop(tasks);
    tokens.take()
}

fn share_percents(tokens: &[[u32; 3]]) -> [f64; 3] {
    let sums = [0, 1, 2].map(|partner| {
        let counts = tokens.iter().map(|counts| u64::from(counts[partner]));
        counts.sum::<u64>() as f64
    });
    let total: f64 = sums.iter().sum();
    sums.map(|sum| 100.0 * sum / total.max(1.0))
}

fn share_error(got: [f64; 3], shares: [u32; 3]) -> f64 {
    let errors = got.iter().zip(shares);
    errors
        .map(|(got, share)| (got - f64::from(share)).abs())
        .fold(0.0, f64::max)
}

fn start() -> (Cluster, support::Proxy) {
    let mut cluster = Cluster::start();
    cluster.paced_engines(ENGINES, &PACE, &[]);
    let mut proxy = None;
    for index in 0..ROUTERS {
        match index == CUT_OFF {
            true => proxy = Some(cluster.proxied_router(&shared_settings(SHARES), ENGINES)),
            false => {
                cluster.router(&shared_settings(SHARES), ENGINES);
            }
        }
    }
    (cluster, proxy.expect("one router has a proxy"))
}

fn unlist(cluster: &Cluster, index: usize) {
    cluster.list_member(&Member {
        name: format!("router-{index}").into(),
        kind: Kind::Router,
        address: cluster.routers[index].address.as_str().into(),
        peer_address: None,
        failure_domain: support::domain(index).into(),
        region: "default".into(),
        state: Lifecycle::Leaving,
        service: "".into(),
    });
}

/// Publishes the new shares; returns when they were stored, from the start of the run.
fn publish(cluster: &Cluster, started: Instant) -> Duration {
    let file = cluster.write("new-split.ini", &shared_settings(NEW_SHARES));
    let (code, output) = support::run(&[
        "publish",
        "--author",
        "bench",
        "-c",
        &cluster.operator(),
        &file,
    ]);
    assert_eq!(code, 0, "{output}");
    started.elapsed()
}

pub(super) fn measure(result: &mut Map<String, Value>) {
    let (mut cluster, proxy) = start();
    let started = Instant::now() + Duration::from_secs(3);
    let addresses: Vec<_> = cluster
        .routers
        .iter()
        .map(|router| router.address.clone())
        .collect();
    let threads: Vec<_> = (0..ROUTERS)
        .map(|router| {
            let addresses = addresses.clone();
            let run = move || support::block_on(run_callers(addresses, router, started));
            std::thread::spawn(run)
        })
        .collect();
    let wait_for = |second: u64| {
        let at = started + Duration::from_secs(second);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    wait_for(KILL_AT_S);
    cluster.routers[KILLED].kill();
    wait_for(UNLIST_AT_S);
    unlist(&cluster, KILLED);
    wait_for(CUT_OFF_AT_S);
    proxy.set(Fault::Cut);
    wait_for(CHANGE_AT_S);
    let changed_at = publish(&cluster, started);
    let mut tokens: Tokens = vec![[0; 3]; END_S as usize * BUCKETS_PER_S];
    for thread in threads {
        for (sum, counts) in tokens.iter_mut().zip(thread.join().expect("the load ran")) {
            (0..3).for_each(|partner| sum[partner] += counts[partner]);
        }
    }
    report(&tokens, changed_at, result);
}

fn report(tokens: &Tokens, changed_at: Duration, result: &mut Map<String, Value>) {
    for second in (0..END_S as usize).step_by(4) {
        let got = share_percents(
            &tokens[second * BUCKETS_PER_S..(second + 4).min(END_S as usize) * BUCKETS_PER_S],
        );
        println!(
            "shares from {second} s: {:.1} {:.1} {:.1}",
            got[0], got[1], got[2]
        );
    }
    let mut worst: f64 = 0.0;
    for first in
        WARM_UP_S as usize * BUCKETS_PER_S..=(CHANGE_AT_S as usize - WINDOW_S) * BUCKETS_PER_S
    {
        let got = share_percents(&tokens[first..first + WINDOW_S * BUCKETS_PER_S]);
        worst = worst.max(share_error(got, SHARES));
    }
    let from = (changed_at.as_secs_f64() * BUCKETS_PER_S as f64) as usize;
    let met_after = (from..=tokens.len() - NEW_WINDOW_S * BUCKETS_PER_S)
        .find(|first| {
            let got = share_percents(&tokens[*first..first + NEW_WINDOW_S * BUCKETS_PER_S]);
            share_error(got, NEW_SHARES) <= TOLERANCE_POINTS
        })
        .map(|first| (first as f64 / BUCKETS_PER_S as f64 - changed_at.as_secs_f64()).max(0.0));
    result.insert(
        "share_error_points_max".into(),
        json!((worst * 100.0).round() / 100.0),
    );
    result.insert(
        "split_change_s".into(),
        json!(met_after.map(|met| (met * 100.0).round() / 100.0)),
    );
}
