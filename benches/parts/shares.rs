//! Shares of work under full load that enters unevenly, with a host killed and one that its peers
//! cannot reach, and the time until a new split is met.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bilberrypost::config::split::key_digest;
use bilberrypost::emulate::proxy::Fault;
use bilberrypost::load::client::{self, Call};
use bilberrypost::wire::{Kind, Listing, Member};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Map, Value, json};

use super::support::{self, Cluster, Pace};
use super::{ENGINES, ROUTERS, SEED, SLOTS, STEP_PER_STREAM_US, STEP_US, TOKENS};

const PARTNERS: [&str; 3] = ["a", "b", "c"];
const SHARES: [u32; 3] = [50, 30, 20];
const NEW_SHARES: [u32; 3] = [20, 30, 50];

/// Callers of each partner that always have one request out: 320 places in all.
const CALLERS: usize = 300;

/// Where a partner's callers enter, in parts: at one host and a little at another, everywhere, and
/// at three hosts.
const ENTRY: [[f64; ROUTERS]; 3] = [
    [0.8, 0.2, 0.0, 0.0, 0.0, 0.0],
    [0.1, 0.1, 0.2, 0.2, 0.2, 0.2],
    [0.0, 0.0, 0.0, 0.3, 0.3, 0.4],
];

/// Host that is killed, and host that its peers cannot reach.
const KILLED: usize = 1;
const CUT_OFF: usize = 3;

const WARM: u64 = 14;
const KILL_AT: u64 = 22;
const UNLIST_AT: u64 = 24;
const CUT_AT: u64 = 30;
const CHANGE_AT: u64 = 62;
const END: u64 = 80;

/// Length of the windows in which shares are compared, and of those after a new split.
const WINDOW: usize = 30;
const NEW_WINDOW: usize = 10;

/// Points by which a share may differ.
const TOLERANCE: f64 = 2.0;

/// Buckets a second.
const RATE: usize = 4;

type Tokens = Vec<[u32; 3]>;

fn key(partner: usize) -> String {
    format!("key-of-partner-{}", PARTNERS[partner])
}

fn split(shares: [u32; 3]) -> String {
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

/// One caller that asks again and again, at the next host when one does not answer.
async fn ask(
    addresses: Rc<Vec<String>>,
    mut router: usize,
    partner: usize,
    number: u64,
    started: Instant,
    tokens: Rc<RefCell<Tokens>>,
) {
    let mut rng = StdRng::seed_from_u64(SEED * 1_000_000 + number);
    while started.elapsed() < Duration::from_secs(END) {
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
            let bucket = at.saturating_duration_since(started).as_millis() as usize * RATE / 1000;
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

/// Runs the callers that enter at one router; returns the tokens that arrived by time and partner.
async fn run_callers(addresses: Vec<String>, router: usize, started: Instant) -> Tokens {
    let addresses = Rc::new(addresses);
    let tokens = Rc::new(RefCell::new(vec![[0; 3]; END as usize * RATE]));
    let mut tasks = Vec::new();
    for (partner, entry) in ENTRY.iter().enumerate() {
        let count = (CALLERS as f64 * entry[router]).round() as u64;
        for caller in 0..count {
            let number = (router as u64 * 3 + partner as u64) * 1000 + caller;
            let (addresses, tokens) = (addresses.clone(), tokens.clone());
            tasks.push(compio::runtime::spawn(ask(
                addresses, router, partner, number, started, tokens,
            )));
        }
    }
    let end = started + Duration::from_secs(END);
    compio::time::sleep(end.saturating_duration_since(Instant::now())).await;
    drop(tasks);
    tokens.take()
}

fn percents(tokens: &[[u32; 3]]) -> [f64; 3] {
    let sums = [0, 1, 2].map(|partner| {
        let counts = tokens.iter().map(|counts| u64::from(counts[partner]));
        counts.sum::<u64>() as f64
    });
    let total: f64 = sums.iter().sum();
    sums.map(|sum| 100.0 * sum / total.max(1.0))
}

fn error(got: [f64; 3], shares: [u32; 3]) -> f64 {
    let errors = got.iter().zip(shares);
    errors
        .map(|(got, share)| (got - f64::from(share)).abs())
        .fold(0.0, f64::max)
}

fn start() -> (Cluster, support::Proxy) {
    let mut cluster = Cluster::start();
    let pace = Pace {
        slots: SLOTS,
        step_us: STEP_US,
        step_per_stream_us: STEP_PER_STREAM_US,
    };
    cluster.paced_engines(ENGINES, &pace, &[]);
    let mut proxy = None;
    for index in 0..ROUTERS {
        match index == CUT_OFF {
            true => proxy = Some(cluster.proxied_router(&split(SHARES), ENGINES)),
            false => {
                cluster.router(&split(SHARES), ENGINES);
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
        state: Listing::Leaving,
        service: "".into(),
    });
}

/// Publishes the new split; returns when it was in force in the store, from the start.
fn publish(cluster: &Cluster, started: Instant) -> Duration {
    let file = cluster.write("new-split.ini", &split(NEW_SHARES));
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

pub(super) fn shares(result: &mut Map<String, Value>) {
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
    wait_for(KILL_AT);
    cluster.routers[KILLED].kill();
    wait_for(UNLIST_AT);
    unlist(&cluster, KILLED);
    wait_for(CUT_AT);
    proxy.set(Fault::Cut);
    wait_for(CHANGE_AT);
    let changed = publish(&cluster, started);
    let mut tokens: Tokens = vec![[0; 3]; END as usize * RATE];
    for thread in threads {
        for (sum, counts) in tokens.iter_mut().zip(thread.join().expect("the load ran")) {
            (0..3).for_each(|partner| sum[partner] += counts[partner]);
        }
    }
    report(&tokens, changed, result);
}

fn report(tokens: &Tokens, changed: Duration, result: &mut Map<String, Value>) {
    for second in (0..END as usize).step_by(4) {
        let got = percents(&tokens[second * RATE..(second + 4).min(END as usize) * RATE]);
        println!(
            "shares from {second} s: {:.1} {:.1} {:.1}",
            got[0], got[1], got[2]
        );
    }
    let mut worst: f64 = 0.0;
    for first in WARM as usize * RATE..=(CHANGE_AT as usize - WINDOW) * RATE {
        let got = percents(&tokens[first..first + WINDOW * RATE]);
        worst = worst.max(error(got, SHARES));
    }
    let from = (changed.as_secs_f64() * RATE as f64) as usize;
    let met = (from..=tokens.len() - NEW_WINDOW * RATE)
        .find(|first| {
            let got = percents(&tokens[*first..first + NEW_WINDOW * RATE]);
            error(got, NEW_SHARES) <= TOLERANCE
        })
        .map(|first| (first as f64 / RATE as f64 - changed.as_secs_f64()).max(0.0));
    result.insert(
        "share_error_points_max".into(),
        json!((worst * 100.0).round() / 100.0),
    );
    result.insert(
        "split_change_s".into(),
        json!(met.map(|met| (met * 100.0).round() / 100.0)),
    );
}
