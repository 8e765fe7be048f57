//! Changes of the shared settings, a long outage of the store, and orders to engines, with real
//! processes.
//!
//! Run with `cargo bench --bench settings -- SEED`. With the further argument `returns`, it only
//! measures how changes take effect after outages of the store.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bilberrypost::config::check;
use bilberrypost::config::revision::{self, CURRENT_KEY, Current};
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
use support::{Cluster, block_on, call, get, is_ready, run, shared_settings, wait_until};

const ROUTERS: usize = 6;
const ENGINES: usize = 6;
const CHANGES: usize = 100;
/// Length of the outage of the store and the membership list.
const OUTAGE: Duration = Duration::from_secs(60);
/// Time after the start of the outage at which another host starts.
const JOIN_AFTER: Duration = Duration::from_secs(20);
/// Time in which the calls to the store are counted while nothing changes.
const STEADY: Duration = Duration::from_secs(15);
/// Time during which the store fails and returns repeatedly.
const FLAPPING: Duration = Duration::from_secs(20);
/// Time for which the holder of the lease for orders is stopped. It is longer than the lease and
/// the time that the next holder waits.
const HOLDER_PAUSE: Duration = Duration::from_secs(12);
/// Number of times that the holder of the lease for orders is stopped.
const HOLDER_PAUSES: usize = 2;
const CALLERS: usize = 12;

/// Revision and digest of the settings that a router had in force at some time.
#[derive(Clone, Debug)]
struct Observation {
    at: Instant,
    revision: u64,
    digest: String,
}

/// A revision, with the time at which it was first seen in the store.
struct StoredRevision {
    at: Instant,
    digest: String,
    author: String,
}

/// Polls the routers and the store, each from its own thread.
#[derive(Default)]
struct Monitor {
    stop: Arc<AtomicBool>,
    /// Set while calls to the store are counted, so that the monitor adds none.
    is_store_watch_paused: Arc<AtomicBool>,
    /// Changes of the settings in force, by router and in order of time.
    routers: Vec<Arc<Mutex<Vec<Observation>>>>,
    /// Revisions seen in the store, by number.
    store: Arc<Mutex<BTreeMap<u64, StoredRevision>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Monitor {
    fn watch_router(&mut self, address: &str) {
        let observations = Arc::new(Mutex::new(Vec::<Observation>::new()));
        self.routers.push(observations.clone());
        let (stop, address) = (self.stop.clone(), address.to_owned());
        self.threads.push(std::thread::spawn(move || {
            block_on(async {
                let pool = Pool::default();
                while !stop.load(Ordering::Relaxed) {
                    let config = read_config(&pool, &address).await;
                    if let Some((revision, digest)) = config {
                        let mut observations = observations.lock().unwrap();
                        let last = observations.last();
                        if last
                            .is_none_or(|last| (last.revision, &last.digest) != (revision, &digest))
                        {
                            let at = Instant::now();
                            observations.push(Observation {
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

    fn watch_store(&mut self, address: &str) {
        let (stop, pause, seen) = (
            self.stop.clone(),
            self.is_store_watch_paused.clone(),
            self.store.clone(),
        );
        let store = address.to_owned();
        self.threads.push(std::thread::spawn(move || {
            block_on(async {
                let store = Client::new(&store);
                while !stop.load(Ordering::Relaxed) {
                    if !pause.load(Ordering::Relaxed)
                        && let Ok(Some(object)) = store.get(CURRENT_KEY).await
                    {
                        let at = Instant::now();
                        let current: Current = serde_json::from_slice(&object.body).unwrap();
                        let mut seen = seen.lock().unwrap();
                        for record in current.records() {
                            let entry = seen.entry(record.revision);
                            entry.or_insert_with(|| StoredRevision {
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

    /// Returns the newest revision that was seen in the store, 0 for none.
    fn newest_revision(&self) -> u64 {
        let seen = self.store.lock().unwrap();
        seen.last_key_value().map_or(0, |(revision, _)| *revision)
    }

    /// Returns when a router first had this revision or a later one in force.
    fn first_seen(&self, router: usize, revision: u64) -> Option<Instant> {
        let observations = self.routers[router].lock().unwrap();
        let first = observations
            .iter()
            .find(|observation| observation.revision >= revision);
        first.map(|observation| observation.at)
    }

    /// Waits until all routers except `excluded` have this revision or a later one in force;
    /// returns the time at which the last of them had it.
    fn wait_for_all(&self, revision: u64, excluded: &[usize]) -> Instant {
        let routers = || (0..self.routers.len()).filter(|index| !excluded.contains(index));
        wait_until("the revision is on all hosts", || {
            routers().all(|index| self.first_seen(index, revision).is_some())
        });
        let times = routers().filter_map(|index| self.first_seen(index, revision));
        times.max().unwrap()
    }

    /// Counts changes of a router to an older revision.
    fn reverts(&self) -> usize {
        let of_router = |observations: &Arc<Mutex<Vec<Observation>>>| {
            let observations = observations.lock().unwrap();
            observations
                .windows(2)
                .filter(|pair| pair[1].revision < pair[0].revision)
                .count()
        };
        self.routers.iter().map(of_router).sum()
    }

    /// Counts observations of a revision whose digest differs from the published one.
    fn half_applied(&self) -> usize {
        let seen = self.store.lock().unwrap();
        let is_wrong = |observation: &Observation| {
            observation.revision > 0
                && seen
                    .get(&observation.revision)
                    .is_none_or(|stored| stored.digest != observation.digest)
        };
        let of_router = |observations: &Arc<Mutex<Vec<Observation>>>| {
            observations
                .lock()
                .unwrap()
                .iter()
                .filter(|observation| is_wrong(observation))
                .count()
        };
        self.routers.iter().map(of_router).sum()
    }
}

/// Reads the revision and digest that a router has in force; `None` if it does not answer.
async fn read_config(pool: &Pool, address: &str) -> Option<(u64, String)> {
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

/// Exit codes of all publishers.
#[derive(Default)]
struct Results {
    /// Number of publishers that were run.
    number: usize,
    /// Author and digest of each publisher that reported success.
    in_force: Vec<(String, String)>,
    /// Authors whose publisher reported that another one was first.
    raced: BTreeSet<String>,
    unknown: usize,
    refused: usize,
}

struct Bench {
    cluster: Cluster,
    monitor: Monitor,
    results: Results,
    random: StdRng,
    /// Model version in the settings that are published next.
    version: usize,
}

impl Bench {
    /// Returns shared settings with a random share and the current model version.
    fn settings(&mut self) -> String {
        let (share, version) = (self.random.random_range(1..1000), self.version);
        let mut text = shared_settings()
            .replace("share = 50", &format!("share = {share}"))
            .replace("version = 1", &format!("version = {version}"));
        text += "[weight-store]\nloads_per_minute = 600\n[service filler]\n";
        // Some settings are larger than one chunk.
        if self.random.random_bool(0.1) {
            for number in 0..22_000 {
                text += &format!("[service service-with-a-long-name-{number}]\n");
            }
        }
        text
    }

    /// Runs publishers concurrently and returns how many reported success.
    fn publish(&mut self, publishers: usize) -> usize {
        let operator = self.cluster.operator();
        let mut runs = Vec::new();
        for _ in 0..publishers {
            self.results.number += 1;
            let author = format!("author-{}", self.results.number);
            let text = self.settings();
            let file = self.cluster.write(&format!("{author}.ini"), &text);
            let (settings, _) = check::parse_files(&[(file.clone(), text)]).unwrap();
            let operator = operator.clone();
            runs.push(std::thread::spawn(move || {
                let args = ["publish", "-c", &operator, "--author", &author, &file];
                let (code, printed) = run(&args);
                (author, revision::settings_digest(&settings), code, printed)
            }));
        }
        let mut succeeded = 0;
        for run in runs {
            let (author, digest, code, printed) = run.join().unwrap();
            match code {
                0 => {
                    succeeded += 1;
                    self.results.in_force.push((author, digest));
                }
                3 => {
                    self.results.raced.insert(author);
                }
                4 => self.results.unknown += 1,
                _ => {
                    eprintln!("refused: {printed}");
                    self.results.refused += 1;
                }
            }
        }
        succeeded
    }

    /// Publishes until a publisher succeeds, and waits until all routers except `excluded` have the
    /// new revisions in force. Returns the longest time from the store to the last router.
    fn change(&mut self, publishers: usize, excluded: &[usize]) -> Duration {
        let before = self.monitor.newest_revision();
        while self.publish(publishers) == 0 {}
        let newest = || self.monitor.newest_revision();
        wait_until("the change is in the store", || newest() > before);
        let mut slowest = Duration::ZERO;
        for revision in before + 1..=newest() {
            let last = self.monitor.wait_for_all(revision, excluded);
            let stored = self.monitor.store.lock().unwrap()[&revision].at;
            slowest = slowest.max(last.saturating_duration_since(stored));
        }
        slowest
    }

    fn calls(&self) -> Calls {
        get(&self.cluster.store.address, "/v1/emulation/calls")
    }

    /// Returns the calls to the store per host and second over `time`, without those of the
    /// benchmark.
    fn calls_per_host(&self, time: Duration) -> f64 {
        self.monitor
            .is_store_watch_paused
            .store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(100));
        let before = self.calls();
        std::thread::sleep(time);
        let after = self.calls();
        self.monitor
            .is_store_watch_paused
            .store(false, Ordering::Relaxed);
        let calls = after.reads + after.writes - before.reads - before.writes;
        calls as f64 / self.monitor.routers.len() as f64 / time.as_secs_f64()
    }

    /// Returns the calls to the store that the configuration tasks of all routers have made.
    fn config_calls(&self) -> u64 {
        let calls = self.cluster.routers.iter().map(|router| {
            let status: Value = get(&router.address, "/admin/v1/status");
            status["config"]["store_calls"].as_u64().unwrap()
        });
        calls.sum()
    }

    /// Returns the calls of the configuration task per host and change, beyond those made without
    /// changes.
    fn calls_per_change(&mut self) -> f64 {
        let idle = Duration::from_secs(5);
        let start = self.config_calls();
        std::thread::sleep(idle);
        let rate = (self.config_calls() - start) as f64 / idle.as_secs_f64();
        let (start, started) = (self.config_calls(), Instant::now());
        let changes = 10;
        for _ in 0..changes {
            self.change(1, &[]);
        }
        let calls = (self.config_calls() - start) as f64;
        let added = calls - rate * started.elapsed().as_secs_f64();
        added.max(0.0) / f64::from(changes) / ROUTERS as f64
    }

    /// Returns the index of the router that holds the lease for orders.
    fn lease_holder(&self) -> Option<usize> {
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

    /// Stops the holder of the lease during a rollout, lets the next holder roll out a newer
    /// version, and continues the old holder.
    fn pause_holder(&mut self) {
        wait_until("a router holds the lease", || self.lease_holder().is_some());
        let holder = self.lease_holder().unwrap();
        let orders_given =
            |bench: &Self| bench.totals().iter().map(|t| t.orders.len()).sum::<usize>();
        let before = orders_given(self);
        self.version += 1;
        self.change(1, &[]);
        wait_until("the rollout begins", || orders_given(self) > before);
        self.cluster.routers[holder].pause();
        let paused = Instant::now();
        self.version += 1;
        self.change(1, &[holder]);
        std::thread::sleep(HOLDER_PAUSE.saturating_sub(paused.elapsed()));
        self.cluster.routers[holder].unpause();
        self.wait_for_version();
    }

    /// Waits until all engines have loaded the current model version.
    fn wait_for_version(&self) {
        let version = self.version.to_string();
        wait_until("all engines have the version", || {
            let mut engines = self.cluster.engines.iter();
            engines.all(|engine| {
                let status: Value = get(&engine.address, "/v1/status?since=0");
                status["models"][0]["version"] == *version
            })
        });
    }

    /// Counts orders that an engine carried out after one of a later lease holder, and orders that
    /// it carried out twice.
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

    /// Counts publishers whose result contradicts the store: successful ones whose revision is
    /// missing, and raced ones whose revision was stored.
    fn wrong_results(&self) -> usize {
        let seen = self.monitor.store.lock().unwrap();
        let has = |author: &str, digest: Option<&str>| {
            seen.values().any(|stored| {
                stored.author == author && digest.is_none_or(|digest| digest == stored.digest)
            })
        };
        let in_force = self.results.in_force.iter();
        let missing = in_force
            .filter(|(author, digest)| !has(author, Some(digest)))
            .count();
        let not_raced = self
            .results
            .raced
            .iter()
            .filter(|author| has(author, None))
            .count();
        missing + not_raced
    }
}

/// Callers that send requests to the routers until they are stopped.
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

    /// Stops the callers; returns the number of complete and of failed requests.
    fn end(self) -> (usize, usize) {
        self.stop.store(true, Ordering::Relaxed);
        let counts = self
            .threads
            .into_iter()
            .map(|thread| thread.join().unwrap());
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }
}

/// Starts the cluster with revision 1 in force, and the monitor.
fn start(seed: u64) -> Bench {
    let mut cluster = Cluster::start();
    for index in 0..ENGINES {
        let fencing = ["check", "ignore"][index % 2];
        cluster.engine(&["--fencing", fencing, "--slots", "16"]);
    }
    let mut bench = Bench {
        cluster,
        monitor: Monitor::default(),
        results: Results::default(),
        random: StdRng::seed_from_u64(seed),
        version: 1,
    };
    bench.publish(1);
    bench.monitor.watch_store(&bench.cluster.store.address);
    for router in 0..ROUTERS {
        // Three routers in each of two failure domains, so that one in each does not watch the
        // store.
        let domain = ["fd-a", "fd-b"][router % 2];
        let index = bench.cluster.published_router_in(domain, "");
        bench
            .monitor
            .watch_router(&bench.cluster.routers[index].address);
    }
    bench.monitor.wait_for_all(1, &[]);
    bench
}

/// Returns a time in seconds, rounded to milliseconds.
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
        return run_recovery_only(seed, &mut bench);
    }
    std::thread::sleep(Duration::from_secs(3));
    let steady = bench.calls_per_host(STEADY);
    println!("steady store_calls_per_host_per_s={steady:.2}");
    let per_change = bench.calls_per_change();
    println!("change store_calls_per_host={per_change:.2}");

    let mut times = Vec::new();
    for change in 0..CHANGES {
        let is_store_faulty = change % 3 == 0;
        let fault_rate = if is_store_faulty { 0.3 } else { 0.0 };
        bench
            .cluster
            .store_faults(&json!({"lost_answers": fault_rate, "stale_reads": fault_rate / 3.0}));
        let publishers = if is_store_faulty {
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
        bench.results.in_force.len(),
        bench.results.raced.len(),
        bench.results.unknown,
        bench.results.refused
    );

    for _ in 0..HOLDER_PAUSES {
        bench.pause_holder();
    }
    println!(
        "pauses={HOLDER_PAUSES} double_orders={}",
        bench.double_orders()
    );

    let addresses: Vec<_> = bench
        .cluster
        .routers
        .iter()
        .map(|r| r.address.clone())
        .collect();
    let load = Load::start(&addresses, seed);
    std::thread::sleep(Duration::from_secs(2));
    let joined = outage(&mut bench);
    bench
        .monitor
        .is_store_watch_paused
        .store(true, Ordering::Relaxed);
    let before = bench.calls();
    bench.cluster.store_faults(&json!({"outage": false}));
    support::put(
        &bench.cluster.members.address,
        "/v1/emulation/outage",
        &false,
    );
    std::thread::sleep(Duration::from_secs(2));
    let after = bench.calls();
    bench
        .monitor
        .is_store_watch_paused
        .store(false, Ordering::Relaxed);
    let (complete, failed) = load.end();
    let returned = (after.reads + after.writes - before.reads - before.writes) as f64;
    let calls_on_return = returned / bench.monitor.routers.len() as f64;
    println!(
        "outage_s={} complete={complete} failed={failed} join_s={} return_store_calls_per_host={calls_on_return:.2}",
        OUTAGE.as_secs(),
        seconds(joined)
    );

    let (switch_back, flapping) = measure_recovery(&mut bench);
    println!(
        "switch_back_in_force_s={} flapping_in_force_max_s={} flapping_store_calls_per_host_per_s={:.2}",
        seconds(switch_back),
        seconds(flapping.0),
        flapping.1
    );
    bench.wait_for_version();
    bench.monitor.stop.store(true, Ordering::Relaxed);
    for thread in std::mem::take(&mut bench.monitor.threads) {
        thread.join().unwrap();
    }
    println!(
        "{}",
        json!({
            "seed": seed,
            "changes": CHANGES,
            "in_force_max_s": seconds(times[CHANGES - 1]),
            "reverts": bench.monitor.reverts(),
            "lost": bench.wrong_results(),
            "half_applied": bench.monitor.half_applied(),
            "outage_failed": failed,
            "join_in_outage_s": seconds(joined),
            "double_orders": bench.double_orders(),
            "in_force_p50_s": seconds(times[CHANGES / 2]),
            "store_calls_steady_per_host_per_s": (steady * 100.0).round() / 100.0,
            "store_calls_per_host_per_change": (per_change * 100.0).round() / 100.0,
            "store_calls_on_return_per_host": (calls_on_return * 100.0).round() / 100.0,
            "switch_back_in_force_s": seconds(switch_back),
            "flapping_in_force_max_s": seconds(flapping.0),
            "flapping_store_calls_per_host_per_s": (flapping.1 * 100.0).round() / 100.0,
        })
    );
}

/// Runs the outage; returns the time from the start of another host to its first complete answer.
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
    let join_started = Instant::now();
    let settings = format!("seeds = {}\n", seeds.join(" "));
    let index = bench.cluster.published_router(&settings);
    let address = bench.cluster.routers[index].address.clone();
    wait_until("the host started in the outage is ready", || {
        is_ready(&address)
    });
    wait_until("the host started in the outage serves", || {
        let call = call("Sky notes of a late host", 1, 1);
        block_on(client::complete(&address, &call)).complete
    });
    let joined = join_started.elapsed();
    bench.monitor.watch_router(&address);
    std::thread::sleep(OUTAGE.saturating_sub(started.elapsed()));
    joined
}

/// Runs only the measurement of recovery, for comparisons of what routers do during an outage.
fn run_recovery_only(seed: u64, bench: &mut Bench) {
    std::thread::sleep(Duration::from_secs(3));
    let (switch_back, (slowest, rate)) = measure_recovery(bench);
    println!(
        "{}",
        json!({
            "seed": seed,
            "switch_back_in_force_s": seconds(switch_back),
            "flapping_in_force_max_s": seconds(slowest),
            "flapping_store_calls_per_host_per_s": (rate * 100.0).round() / 100.0,
            "reverts": bench.monitor.reverts(),
        })
    );
    bench.monitor.stop.store(true, Ordering::Relaxed);
    for thread in std::mem::take(&mut bench.monitor.threads) {
        thread.join().unwrap();
    }
}

/// Measures the time until a change is in force that is published when the store is back after an
/// outage, and the longest such time while the store fails and returns repeatedly. With the latter
/// comes the number of calls to the store per host and second meanwhile.
fn measure_recovery(bench: &mut Bench) -> (Duration, (Duration, f64)) {
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
    let rate = calls / bench.monitor.routers.len() as f64 / started.elapsed().as_secs_f64();
    (switch_back, (slowest, rate))
}
