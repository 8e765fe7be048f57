//! Changes of the settings, a long outage of the store, and orders, with real processes.
//!
//! `cargo bench --bench settings -- SEED`; with `returns` besides, only the return of the store is
//! measured.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bilberrypost::config::check;
use bilberrypost::config::revision::{self, CURRENT, Current};
use bilberrypost::emulate::engine::Totals;
use bilberrypost::emulate::store::Calls;
use bilberrypost::http::pool::Pool;
use bilberrypost::load::client;
use bilberrypost::store::objects::{Client, Objects};
use compio::bytes::Bytes;
use http_body_util::Full;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use support::{Cluster, block_on, call, get, is_ready, run, split, wait_until};

const ROUTERS: usize = 6;
const ENGINES: usize = 6;
const CHANGES: usize = 100;
const OUTAGE: Duration = Duration::from_secs(60);
/// Time into the outage at which another host starts.
const JOIN_AFTER: Duration = Duration::from_secs(20);
const QUIET: Duration = Duration::from_secs(15);
const FLAPPING: Duration = Duration::from_secs(20);
/// Time for which a holder of the lease on orders is stopped; longer than its lease and the wait.
const PAUSE: Duration = Duration::from_secs(12);
const PAUSES: usize = 2;
const CALLERS: usize = 12;

/// What was seen of one router or of the store.
#[derive(Clone, Debug)]
struct Sight {
    at: Instant,
    revision: u64,
    digest: String,
}

/// A revision as the store showed it first.
struct Stored {
    at: Instant,
    digest: String,
    author: String,
}

/// Looks at the routers and the store all the time, each from a thread of its own.
#[derive(Default)]
struct Watch {
    stop: Arc<AtomicBool>,
    pause_store: Arc<AtomicBool>,
    /// First sight of each revision, by router.
    routers: Vec<Arc<Mutex<Vec<Sight>>>>,
    /// First sight of each revision in the store.
    store: Arc<Mutex<BTreeMap<u64, Stored>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    fn router(&mut self, address: &str) {
        let sights = Arc::new(Mutex::new(Vec::<Sight>::new()));
        self.routers.push(sights.clone());
        let (stop, address) = (self.stop.clone(), address.to_owned());
        self.threads.push(std::thread::spawn(move || {
            block_on(async {
                let pool = Pool::default();
                while !stop.load(Ordering::Relaxed) {
                    let config = config(&pool, &address).await;
                    if let Some((revision, digest)) = config {
                        let mut sights = sights.lock().unwrap();
                        let last = sights.last();
                        if last
                            .is_none_or(|last| (last.revision, &last.digest) != (revision, &digest))
                        {
                            let at = Instant::now();
                            sights.push(Sight {
                                at,
                                revision,
                                digest,
                            });
                        }
                    }
                    compio::time::sleep(Duration::from_millis(10)).await;
                }
            });
        }));
    }

    fn store(&mut self, address: &str) {
        let (stop, pause, seen) = (
            self.stop.clone(),
            self.pause_store.clone(),
            self.store.clone(),
        );
        let store = address.to_owned();
        self.threads.push(std::thread::spawn(move || {
            block_on(async {
                let store = Client::new(&store);
                while !stop.load(Ordering::Relaxed) {
                    if !pause.load(Ordering::Relaxed)
                        && let Ok(Some(object)) = store.get(CURRENT).await
                    {
                        let at = Instant::now();
                        let current: Current = serde_json::from_slice(&object.body).unwrap();
                        let mut seen = seen.lock().unwrap();
                        for record in current.records() {
                            let entry = seen.entry(record.revision);
                            entry.or_insert_with(|| Stored {
                                at,
                                digest: record.digest.clone(),
                                author: record.author.to_string(),
                            });
                        }
                    }
                    compio::time::sleep(Duration::from_millis(10)).await;
                }
            });
        }));
    }

    fn newest(&self) -> u64 {
        let seen = self.store.lock().unwrap();
        seen.last_key_value().map_or(0, |(revision, _)| *revision)
    }

    fn has(&self, router: usize, revision: u64) -> Option<Instant> {
        let sights = self.routers[router].lock().unwrap();
        let first = sights.iter().find(|sight| sight.revision >= revision);
        first.map(|sight| sight.at)
    }

    /// Waits until all routers but those left out have a revision; returns when the last one had.
    fn everywhere(&self, revision: u64, without: &[usize]) -> Instant {
        let routers = || (0..self.routers.len()).filter(|index| !without.contains(index));
        wait_until("the revision is on all hosts", || {
            routers().all(|index| self.has(index, revision).is_some())
        });
        let times = routers().filter_map(|index| self.has(index, revision));
        times.max().unwrap()
    }

    fn reverts(&self) -> usize {
        let of_router = |sights: &Arc<Mutex<Vec<Sight>>>| {
            let sights = sights.lock().unwrap();
            sights
                .windows(2)
                .filter(|pair| pair[1].revision < pair[0].revision)
                .count()
        };
        self.routers.iter().map(of_router).sum()
    }

    /// Counts sights of a revision with another content than the published one.
    fn half_applied(&self) -> usize {
        let seen = self.store.lock().unwrap();
        let is_wrong = |sight: &Sight| {
            sight.revision > 0
                && seen
                    .get(&sight.revision)
                    .is_none_or(|stored| stored.digest != sight.digest)
        };
        let of_router = |sights: &Arc<Mutex<Vec<Sight>>>| {
            sights
                .lock()
                .unwrap()
                .iter()
                .filter(|sight| is_wrong(sight))
                .count()
        };
        self.routers.iter().map(of_router).sum()
    }
}

async fn config(pool: &Pool, address: &str) -> Option<(u64, String)> {
    let request = hyper::Request::get("/admin/v1/status")
        .header("host", address)
        .body(Full::new(Bytes::new()))
        .unwrap();
    let limit = Duration::from_secs(2);
    let (_, body) = pool.call(address, request, limit).await.ok()?;
    let status: Value = serde_json::from_slice(&body).ok()?;
    let config = &status["config"];
    Some((
        config["revision"].as_u64()?,
        config["digest"].as_str()?.to_owned(),
    ))
}

/// Verdicts of all publishers.
#[derive(Default)]
struct Verdicts {
    number: usize,
    /// Author and digest of each publisher that was told that it is in force.
    in_force: Vec<(String, String)>,
    raced: BTreeSet<String>,
    unknown: usize,
    refused: usize,
}

struct Bench {
    cluster: Cluster,
    watch: Watch,
    verdicts: Verdicts,
    random: StdRng,
    version: usize,
}

impl Bench {
    fn settings(&mut self) -> String {
        let (share, version) = (self.random.random_range(1..1000), self.version);
        let mut text = split()
            .replace("share = 50", &format!("share = {share}"))
            .replace("version = 1", &format!("version = {version}"));
        text += "[weight-store]\nloads_per_minute = 600\n[service filler]\n";
        // Some contents are larger than a chunk.
        if self.random.random_bool(0.1) {
            for number in 0..22_000 {
                text += &format!("[service service-with-a-long-name-{number}]\n");
            }
        }
        text
    }

    /// Runs publishers at the same time and returns how many were told that they are in force.
    fn publish(&mut self, publishers: usize) -> usize {
        let operator = self.cluster.operator();
        let mut runs = Vec::new();
        for _ in 0..publishers {
            self.verdicts.number += 1;
            let author = format!("author-{}", self.verdicts.number);
            let text = self.settings();
            let file = self.cluster.write(&format!("{author}.ini"), &text);
            let (split, _) = check::texts(&[(file.clone(), text)]).unwrap();
            let operator = operator.clone();
            runs.push(std::thread::spawn(move || {
                let args = ["publish", "-c", &operator, "--author", &author, &file];
                let (code, printed) = run(&args);
                (author, revision::digest_of(&split), code, printed)
            }));
        }
        let mut won = 0;
        for run in runs {
            let (author, digest, code, printed) = run.join().unwrap();
            match code {
                0 => {
                    won += 1;
                    self.verdicts.in_force.push((author, digest));
                }
                3 => {
                    self.verdicts.raced.insert(author);
                }
                4 => self.verdicts.unknown += 1,
                _ => {
                    eprintln!("refused: {printed}");
                    self.verdicts.refused += 1;
                }
            }
        }
        won
    }

    /// Puts one change into force, however often a publisher has to try.
    fn change(&mut self, publishers: usize, without: &[usize]) -> Duration {
        let before = self.watch.newest();
        while self.publish(publishers) == 0 {}
        let newest = || self.watch.newest();
        wait_until("the change is in the store", || newest() > before);
        let mut slowest = Duration::ZERO;
        for revision in before + 1..=newest() {
            let last = self.watch.everywhere(revision, without);
            let stored = self.watch.store.lock().unwrap()[&revision].at;
            slowest = slowest.max(last.saturating_duration_since(stored));
        }
        slowest
    }

    fn calls(&self) -> Calls {
        get(&self.cluster.store.address, "/v1/emulation/calls")
    }

    /// Returns the calls to the store, for each host and second, of `time` without the bench's own.
    fn calls_per_host(&self, time: Duration) -> f64 {
        self.watch.pause_store.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(100));
        let before = self.calls();
        std::thread::sleep(time);
        let after = self.calls();
        self.watch.pause_store.store(false, Ordering::Relaxed);
        let calls = after.reads + after.writes - before.reads - before.writes;
        calls as f64 / self.watch.routers.len() as f64 / time.as_secs_f64()
    }

    fn config_calls(&self) -> u64 {
        let calls = self.cluster.routers.iter().map(|router| {
            let status: Value = get(&router.address, "/admin/v1/status");
            status["config"]["store_calls"].as_u64().unwrap()
        });
        calls.sum()
    }

    /// Returns the calls of the config task for each host and change, beyond those of a quiet time.
    fn calls_per_change(&mut self) -> f64 {
        let quiet = Duration::from_secs(5);
        let start = self.config_calls();
        std::thread::sleep(quiet);
        let rate = (self.config_calls() - start) as f64 / quiet.as_secs_f64();
        let (start, begun) = (self.config_calls(), Instant::now());
        let changes = 10;
        for _ in 0..changes {
            self.change(1, &[]);
        }
        let calls = (self.config_calls() - start) as f64;
        let own = calls - rate * begun.elapsed().as_secs_f64();
        own.max(0.0) / f64::from(changes) / ROUTERS as f64
    }

    fn holder(&self) -> Option<usize> {
        let routers = self.cluster.routers.iter();
        let mut holds = routers.map(|router| {
            let status: Value = get(&router.address, "/admin/v1/status");
            status["orders"]["holds"] == true
        });
        holds.position(|holds| holds)
    }

    fn totals(&self) -> Vec<Totals> {
        let engines = self.cluster.engines.iter();
        engines
            .map(|engine| get(&engine.address, "/v1/emulation/totals"))
            .collect()
    }

    /// Stops the holder of the lease in the middle of a rollout, lets another one go on with a newer
    /// version, and wakes the old one.
    fn pause_holder(&mut self) {
        wait_until("a router holds the lease", || self.holder().is_some());
        let holder = self.holder().unwrap();
        let given = |bench: &Self| bench.totals().iter().map(|t| t.orders.len()).sum::<usize>();
        let before = given(self);
        self.version += 1;
        self.change(1, &[]);
        wait_until("the rollout begins", || given(self) > before);
        self.cluster.routers[holder].pause();
        let paused = Instant::now();
        self.version += 1;
        self.change(1, &[holder]);
        std::thread::sleep(PAUSE.saturating_sub(paused.elapsed()));
        self.cluster.routers[holder].unpause();
        self.all_loaded();
    }

    fn all_loaded(&self) {
        let version = self.version.to_string();
        wait_until("all engines have the version", || {
            let mut engines = self.cluster.engines.iter();
            engines.all(|engine| {
                let status: Value = get(&engine.address, "/v1/status?since=0");
                status["models"][0]["version"] == *version
            })
        });
    }

    /// Counts orders that an earlier holder gave after a later one, and orders carried out twice.
    fn double_orders(&self) -> usize {
        let of_engine = |totals: Totals| {
            let late = totals.orders.windows(2);
            let late = late
                .filter(|pair| pair[1].fencing < pair[0].fencing)
                .count();
            let ids: BTreeSet<_> = totals.orders.iter().map(|order| &order.id).collect();
            late + totals.orders.len() - ids.len()
        };
        self.totals().into_iter().map(of_engine).sum()
    }

    /// Counts publishers whose verdict is not what the store shows.
    fn lost(&self) -> usize {
        let seen = self.watch.store.lock().unwrap();
        let has = |author: &str, digest: Option<&str>| {
            seen.values().any(|stored| {
                stored.author == author && digest.is_none_or(|digest| digest == stored.digest)
            })
        };
        let in_force = self.verdicts.in_force.iter();
        let vanished = in_force
            .filter(|(author, digest)| !has(author, Some(digest)))
            .count();
        let denied = self
            .verdicts
            .raced
            .iter()
            .filter(|author| has(author, None))
            .count();
        vanished + denied
    }
}

/// Callers that ask the routers all the time.
struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<(usize, usize)>>,
}

impl Load {
    fn start(addresses: &[String], seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLERS).map(|caller| {
            let (stop, address) = (stop.clone(), addresses[caller % addresses.len()].clone());
            std::thread::spawn(move || {
                block_on(async {
                    let (mut complete, mut failed) = (0, 0);
                    while !stop.load(Ordering::Relaxed) {
                        let number = (complete + failed) as u64;
                        let prompt = format!("Sky notes of caller {caller}: {number}");
                        let call = call(&prompt, 40, seed * 1_000_000 + number);
                        let answer = client::complete(&address, &call).await;
                        match answer.complete {
                            true => complete += 1,
                            false => {
                                eprintln!("failed: {:?} {:?}", answer.problem, answer.failure);
                                failed += 1;
                            }
                        }
                    }
                    (complete, failed)
                })
            })
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    fn end(self) -> (usize, usize) {
        self.stop.store(true, Ordering::Relaxed);
        let counts = self
            .threads
            .into_iter()
            .map(|thread| thread.join().unwrap());
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }
}

fn start(seed: u64) -> Bench {
    let mut cluster = Cluster::start();
    for index in 0..ENGINES {
        let fencing = ["check", "ignore"][index % 2];
        cluster.engine(&["--fencing", fencing, "--slots", "16"]);
    }
    let mut bench = Bench {
        cluster,
        watch: Watch::default(),
        verdicts: Verdicts::default(),
        random: StdRng::seed_from_u64(seed),
        version: 1,
    };
    bench.publish(1);
    bench.watch.store(&bench.cluster.store.address);
    for router in 0..ROUTERS {
        // Three routers in each of two failure domains, so that one of each does not watch.
        let domain = ["fd-a", "fd-b"][router % 2];
        let index = bench.cluster.published_router_in(domain, "");
        bench.watch.router(&bench.cluster.routers[index].address);
    }
    bench.watch.everywhere(1, &[]);
    bench
}

fn seconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 1000.0).round() / 1000.0
}

fn main() {
    let seed = std::env::args()
        .find_map(|arg| arg.parse().ok())
        .unwrap_or(1);
    println!("seed={seed}");
    let mut bench = start(seed);
    if std::env::args().any(|arg| arg == "returns") {
        return print_returns(seed, &mut bench);
    }
    std::thread::sleep(Duration::from_secs(3));
    let steady = bench.calls_per_host(QUIET);
    println!("steady store_calls_per_host_per_s={steady:.2}");
    let per_change = bench.calls_per_change();
    println!("change store_calls_per_host={per_change:.2}");

    let mut times = Vec::new();
    for change in 0..CHANGES {
        let is_hard = change % 3 == 0;
        let lost = if is_hard { 0.3 } else { 0.0 };
        bench
            .cluster
            .store_faults(&json!({"lost_answers": lost, "stale_reads": lost / 3.0}));
        let publishers = if is_hard {
            bench.random.random_range(2..=4)
        } else {
            1
        };
        let time = bench.change(publishers, &[]);
        times.push(time);
    }
    bench.cluster.store_faults(&json!({}));
    times.sort();
    println!(
        "changes={CHANGES} in_force_p50_s={} in_force_max_s={} told_in_force={} raced={} unknown={} refused={}",
        seconds(times[CHANGES / 2]),
        seconds(times[CHANGES - 1]),
        bench.verdicts.in_force.len(),
        bench.verdicts.raced.len(),
        bench.verdicts.unknown,
        bench.verdicts.refused
    );

    for _ in 0..PAUSES {
        bench.pause_holder();
    }
    println!("pauses={PAUSES} double_orders={}", bench.double_orders());

    let addresses: Vec<_> = bench
        .cluster
        .routers
        .iter()
        .map(|r| r.address.clone())
        .collect();
    let load = Load::start(&addresses, seed);
    std::thread::sleep(Duration::from_secs(2));
    let joined = outage(&mut bench);
    bench.watch.pause_store.store(true, Ordering::Relaxed);
    let before = bench.calls();
    bench.cluster.store_faults(&json!({"outage": false}));
    support::put(
        &bench.cluster.members.address,
        "/v1/emulation/outage",
        &false,
    );
    std::thread::sleep(Duration::from_secs(2));
    let after = bench.calls();
    bench.watch.pause_store.store(false, Ordering::Relaxed);
    let (complete, failed) = load.end();
    let returned = (after.reads + after.writes - before.reads - before.writes) as f64;
    let on_return = returned / bench.watch.routers.len() as f64;
    println!(
        "outage_s={} complete={complete} failed={failed} join_s={} return_store_calls_per_host={on_return:.2}",
        OUTAGE.as_secs(),
        seconds(joined)
    );

    let (switch_back, flap) = returns(&mut bench);
    println!(
        "switch_back_in_force_s={} flapping_in_force_max_s={} flapping_store_calls_per_host_per_s={:.2}",
        seconds(switch_back),
        seconds(flap.0),
        flap.1
    );
    bench.all_loaded();
    bench.watch.stop.store(true, Ordering::Relaxed);
    for thread in std::mem::take(&mut bench.watch.threads) {
        thread.join().unwrap();
    }
    println!(
        "{}",
        json!({
            "seed": seed,
            "changes": CHANGES,
            "in_force_max_s": seconds(times[CHANGES - 1]),
            "reverts": bench.watch.reverts(),
            "lost": bench.lost(),
            "half_applied": bench.watch.half_applied(),
            "outage_failed": failed,
            "join_in_outage_s": seconds(joined),
            "double_orders": bench.double_orders(),
            "in_force_p50_s": seconds(times[CHANGES / 2]),
            "store_calls_steady_per_host_per_s": (steady * 100.0).round() / 100.0,
            "store_calls_per_host_per_change": (per_change * 100.0).round() / 100.0,
            "store_calls_on_return_per_host": (on_return * 100.0).round() / 100.0,
            "switch_back_in_force_s": seconds(switch_back),
            "flapping_in_force_max_s": seconds(flap.0),
            "flapping_store_calls_per_host_per_s": (flap.1 * 100.0).round() / 100.0,
        })
    );
}

/// Runs the outage; returns the time from the start of a further host to its first answer.
fn outage(bench: &mut Bench) -> Duration {
    let started = Instant::now();
    bench.cluster.store_faults(&json!({"outage": true}));
    support::put(
        &bench.cluster.members.address,
        "/v1/emulation/outage",
        &true,
    );
    std::thread::sleep(JOIN_AFTER);
    let seeds: Vec<_> = bench.cluster.routers[..3]
        .iter()
        .map(|router| router.field("peer_address").unwrap())
        .collect();
    let begun = Instant::now();
    let settings = format!("seeds = {}\n", seeds.join(" "));
    let index = bench.cluster.published_router(&settings);
    let address = bench.cluster.routers[index].address.clone();
    wait_until("the late host is ready", || is_ready(&address));
    wait_until("the late host serves", || {
        let call = call("Sky notes of a late host", 1, 1);
        block_on(client::complete(&address, &call)).complete
    });
    let joined = begun.elapsed();
    bench.watch.router(&address);
    std::thread::sleep(OUTAGE.saturating_sub(started.elapsed()));
    joined
}

/// Measures only the return of the store, for comparisons of what routers do in an outage.
fn print_returns(seed: u64, bench: &mut Bench) {
    std::thread::sleep(Duration::from_secs(3));
    let (switch_back, (slowest, rate)) = returns(bench);
    println!(
        "{}",
        json!({
            "seed": seed,
            "switch_back_in_force_s": seconds(switch_back),
            "flapping_in_force_max_s": seconds(slowest),
            "flapping_store_calls_per_host_per_s": (rate * 100.0).round() / 100.0,
            "reverts": bench.watch.reverts(),
        })
    );
    bench.watch.stop.store(true, Ordering::Relaxed);
    for thread in std::mem::take(&mut bench.watch.threads) {
        thread.join().unwrap();
    }
}

/// Measures a change made as soon as the store is back after an outage, and changes while the store
/// comes and goes; returns the times, and the calls to the store while it comes and goes.
fn returns(bench: &mut Bench) -> (Duration, (Duration, f64)) {
    bench.cluster.store_faults(&json!({"outage": true}));
    std::thread::sleep(Duration::from_secs(8));
    bench.cluster.store_faults(&json!({"outage": false}));
    let switch_back = bench.change(1, &[]);
    let calls = bench.config_calls();
    let (started, mut slowest) = (Instant::now(), Duration::ZERO);
    while started.elapsed() < FLAPPING {
        bench.cluster.store_faults(&json!({"outage": true}));
        std::thread::sleep(Duration::from_millis(2500));
        bench.cluster.store_faults(&json!({"outage": false}));
        slowest = slowest.max(bench.change(1, &[]));
    }
    let calls = (bench.config_calls() - calls) as f64;
    let rate = calls / bench.watch.routers.len() as f64 / started.elapsed().as_secs_f64();
    (switch_back, (slowest, rate))
}
