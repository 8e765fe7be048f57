//! Keyed calls under faults, their cost, and drains under load.
//!
//! `cargo bench --bench claims [-- --seed N]`

#[path = "../tests/support/mod.rs"]
mod support;

#[path = "../tests/support/keyed.rs"]
mod keyed;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bilberrypost::emulate::proxy::Fault;
use bilberrypost::emulate::store::{Calls, Entry, Faults};
use bilberrypost::http::pool::Pool;
use bilberrypost::load::client;
use bilberrypost::wire::{Kind, Listing, Member, Work};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use keyed::{Call, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use support::{Cluster, Proxy, TEST_TIMEOUT, block_on, domain, get, put, wait_until};

const ROUTERS: usize = 6;

/// Keys of the phase of one fault; eight of them and two phases with all make 14,000 keys.
const KEYS: usize = 1000;

/// Keys of a phase with all faults.
const KEYS_TOGETHER: usize = 3000;

/// Keys a second in the phases with faults.
const RATE: f64 = 250.0;

/// Time between two faults of a phase.
const FAULT_PERIOD: Duration = Duration::from_millis(500);

/// Requests that a caller sends with one key while they are refused as not run.
const TRIES: usize = 4;

/// Routers that are drained at once, and how often.
const DRAINS: (usize, usize) = (5, 4);

type Addresses = Arc<Mutex<Vec<String>>>;

/// One request and its answer.
struct Sent {
    key: String,
    id: String,
    reply: Reply,
}

/// What the callers of one or more phases saw.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    calls: usize,
    answered: usize,
    replayed: usize,
    not_run: usize,
    unknown: usize,
    broken: usize,
    double_runs: usize,
    false_not_run: usize,
    crossed: usize,
}

fn tally(cluster: &Cluster, sent: &[Sent]) -> Tally {
    let runs = keyed::runs(cluster);
    let mut runs_of_key: BTreeMap<&str, u64> = BTreeMap::new();
    for (id, count) in &runs {
        let key = id.split('/').next().unwrap_or_default();
        *runs_of_key.entry(key).or_default() += count;
    }
    let keys: BTreeSet<_> = sent.iter().map(|sent| sent.key.as_str()).collect();
    let double = |key: &&&str| runs_of_key.get(**key).is_some_and(|count| *count > 1);
    let mut tally = Tally {
        calls: sent.len(),
        double_runs: keys.iter().filter(double).count(),
        ..Tally::default()
    };
    for Sent { key, id, reply } in sent {
        let has_run = runs.contains_key(id);
        match reply.work() {
            Some(Work::NotRun) => {
                tally.not_run += 1;
                tally.false_not_run += usize::from(has_run);
            }
            Some(Work::Unknown | Work::Ran) => tally.unknown += 1,
            None if reply.status == 200 => tally.answered += 1,
            None => tally.broken += 1,
        }
        tally.replayed += usize::from(reply.replayed);
        if let Some(run) = &reply.confirmation {
            let is_own = run.call.split('/').next() == Some(key) && run.body == body_of(key);
            let is_right = runs.contains_key(&run.call) && (reply.replayed || run.call == *id);
            tally.crossed += usize::from(!is_own || !is_right);
        }
    }
    tally
}

fn body_of(key: &str) -> String {
    format!("lane for {key}")
}

/// Sends calls with `keys` fresh keys from a thread of its own; a fifth of them also through
/// another router at the same time.
fn load(addresses: &Addresses, seed: u64, keys: usize, drops: f64) -> JoinHandle<Vec<Sent>> {
    let addresses = addresses.clone();
    std::thread::spawn(move || {
        let random = Rc::new(RefCell::new(StdRng::seed_from_u64(seed)));
        block_on(async move {
            let started = Instant::now();
            let callers = (0..keys).map(|number| {
                let (addresses, random) = (addresses.clone(), random.clone());
                let due = started + Duration::from_secs_f64(number as f64 / RATE);
                async move {
                    compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
                    let key = keyed::new_key();
                    let (is_double, is_dropped) = {
                        let mut random = random.borrow_mut();
                        (random.random_bool(0.2), random.random_bool(drops))
                    };
                    // Slower calls, so that faults hit more of them while they run.
                    let fault = if is_dropped { "drop" } else { "slow@60" };
                    let caller = |lane: usize| caller(&addresses, &random, &key, lane, fault);
                    match is_double {
                        true => join_all([caller(0), caller(1)]).await.concat_sent(),
                        false => caller(0).await,
                    }
                }
            });
            join_all(callers).await.concat_sent()
        })
    })
}

trait Concat {
    fn concat_sent(self) -> Vec<Sent>;
}

impl Concat for Vec<Vec<Sent>> {
    fn concat_sent(self) -> Vec<Sent> {
        self.into_iter().flatten().collect()
    }
}

/// One caller, which repeats a call that did not run.
async fn caller(
    addresses: &Addresses,
    random: &Rc<RefCell<StdRng>>,
    key: &str,
    lane: usize,
    fault: &str,
) -> Vec<Sent> {
    let mut sent = Vec::new();
    for attempt in 0..TRIES {
        let address = {
            let addresses = addresses.lock().unwrap();
            let index = random.borrow_mut().random_range(0..addresses.len());
            addresses[index].clone()
        };
        let id = format!("{key}/{lane}-{attempt}");
        let call = Call::reserve(key, &id).fault(fault);
        let reply = call.send(&address).await;
        let again = reply.work() == Some(Work::NotRun) || reply.status == 0;
        sent.push(Sent {
            key: key.into(),
            id,
            reply,
        });
        if !again {
            break;
        }
        compio::time::sleep(Duration::from_millis(400)).await;
    }
    sent
}

/// Routers, store and backend servers behind proxies.
struct Stage {
    cluster: Cluster,
    store: Proxy,
    // The store's own address, for its faults.
    store_address: String,
    backends: Vec<Proxy>,
    // By index of the router; the addresses of those that take calls are in `addresses`.
    peers: Vec<Proxy>,
    live: Vec<usize>,
    addresses: Addresses,
}

impl Stage {
    fn new() -> Self {
        let mut cluster = Cluster::start();
        let store_address = cluster.store.address.clone();
        let store = Proxy::start(&store_address);
        cluster.store.address = store.address().to_owned();
        let mut backends = Vec::new();
        for index in 0..3 {
            cluster.backend("booking", &[]);
            let proxy = Proxy::start(&cluster.backends[index].address);
            let (name, domain) = (format!("backend-{index}"), domain(index));
            cluster.list(&name, Kind::Backend, proxy.address(), &domain, "booking");
            backends.push(proxy);
        }
        let mut stage = Self {
            cluster,
            store,
            store_address,
            backends,
            peers: Vec::new(),
            live: Vec::new(),
            addresses: Addresses::default(),
        };
        for _ in 0..ROUTERS {
            stage.add_router();
        }
        keyed::wait_for_cluster(&stage.cluster, ROUTERS, 3);
        stage
    }

    fn member(&self, router: usize, state: Listing) -> Member {
        Member {
            name: format!("router-{router}").into(),
            kind: Kind::Router,
            address: self.cluster.routers[router].address.as_str().into(),
            peer_address: Some(self.peers[router].address().into()),
            failure_domain: domain(router).into(),
            region: "default".into(),
            state,
            service: "".into(),
        }
    }

    fn add_router(&mut self) -> usize {
        let index = self.cluster.router(&keyed::split(), 0);
        let router = &self.cluster.routers[index];
        self.peers
            .push(Proxy::start(&router.field("peer_address").unwrap()));
        let member = self.member(index, Listing::Live);
        self.cluster.list_member(&member);
        self.set_live(index, true);
        index
    }

    fn set_live(&mut self, router: usize, is_live: bool) {
        self.live.retain(|live| *live != router);
        if is_live {
            self.live.push(router);
        }
        let address = |index: &usize| self.cluster.routers[*index].address.clone();
        *self.addresses.lock().unwrap() = self.live.iter().map(address).collect();
    }

    fn set_store(&self, faults: Faults) {
        put(&self.store_address, "/v1/emulation/faults", &faults);
    }

    /// Returns whether `other` sees a router as live.
    fn is_live(&self, router: usize, other: usize) -> bool {
        let address = &self.cluster.routers[other].address;
        let status: serde_json::Value = get(address, "/admin/v1/status");
        let name = format!("router-{router}");
        let live = status["live"].as_array().unwrap();
        live.iter().any(|peer| peer["name"] == name.as_str())
    }

    /// Does one of the faults; `turn` says which router or server it hits, and `usual` what the
    /// store does otherwise.
    fn disturb(&mut self, fault: &str, turn: usize, usual: &Faults) {
        let router = self.live[turn % self.live.len()];
        let other = self.live[(turn + 1) % self.live.len()];
        match fault {
            "killed routers" => {
                self.cluster.routers[router].kill();
                // The balancer notices a dead host late.
                std::thread::sleep(Duration::from_millis(300));
                self.set_live(router, false);
                self.add_router();
            }
            "paused routers" => {
                self.cluster.routers[router].pause();
                std::thread::sleep(Duration::from_millis(700));
                self.cluster.routers[router].unpause();
            }
            "paused owners" => {
                self.cluster.routers[router].pause();
                wait_until("the paused router is missed", || {
                    !self.is_live(router, other)
                });
                std::thread::sleep(Duration::from_millis(500));
                self.cluster.routers[router].unpause();
            }
            "store outage" => {
                self.set_store(Faults {
                    outage: true,
                    ..usual.clone()
                });
                std::thread::sleep(Duration::from_millis(600));
                self.set_store(usual.clone());
            }
            "silent connections" => {
                self.store.set(Fault::Silence);
                self.backends[turn % 3].set(Fault::Silence);
                self.peers[router].set(Fault::Silence);
            }
            _ => {}
        }
    }

    /// Runs one phase: calls, and meanwhile the faults in turn.
    fn phase(&mut self, phase: &Phase<'_>, seed: u64) -> Tally {
        let started = Instant::now();
        let usual = match phase.lost {
            true => Faults {
                lost_answers: 0.1,
                stale_reads: 0.1,
                delay_ms: 10,
                ..Faults::default()
            },
            false => Faults::default(),
        };
        self.set_store(usual.clone());
        let load = load(&self.addresses, seed, phase.keys, phase.drops);
        let mut turn = 0;
        while !load.is_finished() {
            let due = Duration::from_secs_f64(phase.keys as f64 / RATE);
            if started.elapsed() < due && !phase.faults.is_empty() {
                let fault = phase.faults[turn % phase.faults.len()];
                self.disturb(fault, turn, &usual);
                turn += 1;
            }
            std::thread::sleep(FAULT_PERIOD);
        }
        let sent = load.join().unwrap();
        self.set_store(Faults::default());
        let tally = tally(&self.cluster, &sent);
        println!(
            "phase={:?} s={:.1} faults={turn} {tally:?}",
            phase.name,
            started.elapsed().as_secs_f64()
        );
        tally
    }
}

/// What goes wrong in a phase.
struct Phase<'a> {
    name: &'a str,
    faults: &'a [&'a str],
    // Whether a tenth of the store's responses to writes are lost and of its reads are stale.
    lost: bool,
    // Share of calls whose answer the backend server drops.
    drops: f64,
    keys: usize,
}

fn under_faults(seed: u64) -> Tally {
    let mut stage = Stage::new();
    let plain = Phase {
        name: "none",
        faults: &[],
        lost: false,
        drops: 0.0,
        keys: KEYS,
    };
    let faults = [
        "killed routers",
        "paused routers",
        "silent connections",
        "store outage",
        "paused owners",
    ];
    let together = Phase {
        name: "all together",
        faults: &faults,
        lost: true,
        drops: 0.05,
        keys: KEYS_TOGETHER,
    };
    let alone = faults.iter().map(std::slice::from_ref).map(|fault| Phase {
        name: fault[0],
        faults: fault,
        ..plain
    });
    let mut phases: Vec<_> = alone.collect();
    phases.push(Phase {
        name: "lost store responses",
        lost: true,
        ..plain
    });
    phases.push(Phase {
        name: "dropped answers",
        drops: 0.3,
        ..plain
    });
    phases.push(plain);
    phases.push(together);
    let mut total = Tally::default();
    let mut add = |tally: Tally| {
        total.calls += tally.calls;
        total.double_runs += tally.double_runs;
        total.false_not_run += tally.false_not_run;
        total.crossed += tally.crossed;
    };
    for (number, phase) in phases.iter().enumerate() {
        add(stage.phase(phase, seed + number as u64));
    }
    let last = phases.last().expect("has phases");
    add(stage.phase(last, seed + phases.len() as u64));
    println!("faults: {total:?}");
    total
}

/// Cost of calls at one rate.
struct Cost {
    p50_ms: f64,
    p99_ms: f64,
    served: u64,
    writes: u64,
}

/// Sends calls at `rate` a second from four threads over kept connections.
fn paced(cluster: &Cluster, rate: f64, seconds: f64, is_keyed: bool) -> Cost {
    const THREADS: usize = 4;
    let addresses: Vec<_> = cluster
        .routers
        .iter()
        .map(|router| router.address.clone())
        .collect();
    let calls = |cluster: &Cluster| -> Calls { get(&cluster.store.address, "/v1/emulation/calls") };
    let before = calls(cluster).writes;
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            let addresses = addresses.clone();
            std::thread::spawn(move || {
                block_on(async {
                    let pool = Pool::default();
                    let started = Instant::now();
                    let count = (rate * seconds) as usize / THREADS;
                    let one = |number: usize| {
                        let offset = (number * THREADS + thread) as f64 / rate;
                        let due = started + Duration::from_secs_f64(offset);
                        let address = &addresses[number % addresses.len()];
                        let pool = &pool;
                        async move {
                            compio::time::sleep(due.saturating_duration_since(Instant::now()))
                                .await;
                            let key = keyed::new_key();
                            let call = match is_keyed {
                                true => Call::reserve(&key, &key),
                                false => Call::status(&key),
                            };
                            let sent = Instant::now();
                            let answer = pool
                                .call(address, call.request(address), TEST_TIMEOUT)
                                .await;
                            let is_served = answer.is_ok_and(|(head, _)| head.status == 200);
                            (is_served, sent.elapsed())
                        }
                    };
                    join_all((0..count).map(one)).await
                })
            })
        })
        .collect();
    let mut histogram = Histogram::<u64>::new(3).unwrap();
    let mut served = 0;
    for thread in threads {
        for (is_served, time) in thread.join().unwrap() {
            served += u64::from(is_served);
            histogram.record(time.as_micros() as u64).unwrap();
        }
    }
    // Outcomes are written a little later.
    std::thread::sleep(Duration::from_millis(500));
    Cost {
        p50_ms: histogram.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: histogram.value_at_quantile(0.99) as f64 / 1000.0,
        served,
        writes: calls(cluster).writes - before,
    }
}

fn claim_bytes(cluster: &Cluster) -> usize {
    let entries: Vec<Entry> = get(&cluster.store.address, "/v1/objects?prefix=claims/");
    entries.iter().map(|entry| entry.size).sum()
}

/// Returns store writes per call and added median latency at 1,000 calls a second.
fn cost() -> (f64, f64) {
    let mut cluster = keyed::cluster(ROUTERS, ROUTERS);
    let mut at_target = (0.0, 0.0);
    for (rate, seconds) in [(100.0, 8.0), (1000.0, 8.0), (5000.0, 6.0)] {
        let plain = paced(&cluster, rate, seconds, false);
        let before = claim_bytes(&cluster);
        let keyed = paced(&cluster, rate, seconds, true);
        let count = (rate * seconds) as u64;
        let bytes = (claim_bytes(&cluster) - before) as f64 / count as f64;
        let added = keyed.p50_ms - plain.p50_ms;
        let writes = keyed.writes as f64 / count as f64;
        println!(
            "rate={rate} calls={count} served={} plain_served={} writes_per_call={writes:.3} \
             added_p50_ms={added:.1} plain_p50_ms={:.1} p50_ms={:.1} p99_ms={:.1} \
             bytes_per_call={bytes:.0}",
            keyed.served, plain.served, plain.p50_ms, keyed.p50_ms, keyed.p99_ms
        );
        if rate == 1000.0 {
            at_target = (writes, added);
        }
    }
    takeover(&mut cluster);
    at_target
}

/// Measures how long the ranges of a dead host have no owner once the list shows its death.
fn takeover(cluster: &mut Cluster) {
    let names: Vec<_> = (0..ROUTERS)
        .map(|index| format!("router-{index}"))
        .collect();
    let owner = keyed::owner(0, &names);
    let objects: Vec<Entry> = get(&cluster.store.address, "/v1/objects?prefix=claims/0/");
    let member = Member {
        name: format!("router-{owner}").into(),
        kind: Kind::Router,
        address: cluster.routers[owner].address.as_str().into(),
        peer_address: None,
        failure_domain: domain(owner).into(),
        region: "default".into(),
        state: Listing::Leaving,
        service: "".into(),
    };
    cluster.routers[owner].kill();
    let killed = Instant::now();
    cluster.list_member(&member);
    let (key, _) = keyed::key_owned_by(ROUTERS, |other| other == owner);
    let other = (owner + 1) % ROUTERS;
    wait_until("the range has an owner", || {
        let call = Call::reserve(&key, &format!("{key}/takeover"));
        block_on(call.send(&cluster.routers[other].address)).status == 200
    });
    println!(
        "takeover_ms={} objects={} bytes={}",
        killed.elapsed().as_millis(),
        objects.len(),
        objects.iter().map(|entry| entry.size).sum::<usize>()
    );
    for (index, _) in cluster.routers.iter().enumerate() {
        for line in cluster
            .log(index)
            .lines()
            .filter(|line| line.contains("range_taken"))
        {
            println!("router={index} {line}");
        }
    }
}

/// What the callers of a host saw that left.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    finished: usize,
    refused: usize,
    cut: usize,
    new_after_2s: usize,
    exit_failed: usize,
}

/// Calls a host until it is gone. A call counts as new work after 2 s if it was sent later than
/// that and ran, and as cut if it was sent earlier and got no whole answer.
fn visit(address: String, terminated: Arc<Mutex<Option<Instant>>>, number: u64) -> Drain {
    let limit = Duration::from_secs(2);
    let late = |at: Instant| {
        terminated
            .lock()
            .unwrap()
            .is_some_and(|gone| at > gone + limit)
    };
    block_on(async {
        let mut drain = Drain::default();
        let mut count = 0;
        loop {
            count += 1;
            let sent = Instant::now();
            let connected = compio::net::TcpStream::connect(&address).await;
            if connected.is_err() {
                return drain;
            }
            drop(connected);
            let (is_whole, is_refused) = match (number + count) % 3 {
                0 => {
                    let call = support::call("Lanes:", 100, count);
                    let answer = client::complete(&address, &call).await;
                    {
                        let work = answer.problem.map(|problem| problem.work);
                        (answer.complete, work == Some(Work::NotRun))
                    }
                }
                1 => reply_of(&Call::status("drain").fault("slow@800"), &address).await,
                _ => {
                    let key = keyed::new_key();
                    reply_of(&Call::reserve(&key, &key), &address).await
                }
            };
            match (late(sent), is_whole, is_refused) {
                (_, _, true) => drain.refused += 1,
                (true, true, _) => drain.new_after_2s += 1,
                (false, true, _) => drain.finished += 1,
                (false, false, _) => drain.cut += 1,
                (true, false, _) => {}
            }
        }
    })
}

async fn reply_of(call: &Call, address: &str) -> (bool, bool) {
    let reply = call.send(address).await;
    (reply.status == 200, reply.work() == Some(Work::NotRun))
}

fn drains() -> Drain {
    const CALLERS: u64 = 12;
    let mut cluster = Cluster::start();
    for _ in 0..3 {
        cluster.backend("booking", &[]);
        cluster.engine(&[]);
    }
    cluster.router(&keyed::split(), 3);
    cluster.router(&keyed::split(), 3);
    keyed::wait_for_cluster(&cluster, 2, 3);
    let mut total = Drain::default();
    for round in 0..DRAINS.1 {
        let leaving: Vec<_> = (0..DRAINS.0)
            .map(|_| cluster.router(&keyed::split(), 3))
            .collect();
        wait_until("the routers know the servers", || {
            leaving.iter().all(|router| {
                let address = &cluster.routers[*router].address;
                let status: serde_json::Value = get(address, "/admin/v1/status");
                status["backends"].as_object().unwrap().len() == 3
                    && status["live"].as_array().unwrap().len() == 2 + DRAINS.0
            })
        });
        let visits: Vec<_> = leaving
            .iter()
            .map(|router| {
                let terminated = Arc::default();
                let callers: Vec<_> = (0..CALLERS)
                    .map(|number| {
                        let address = cluster.routers[*router].address.clone();
                        let terminated = Arc::clone(&terminated);
                        std::thread::spawn(move || visit(address, terminated, number))
                    })
                    .collect();
                (*router, terminated, callers)
            })
            .collect();
        std::thread::sleep(Duration::from_millis(1000));
        for (router, terminated, _) in &visits {
            *terminated.lock().unwrap() = Some(Instant::now());
            cluster.routers[*router].terminate();
        }
        for (router, _, callers) in visits {
            let code = cluster.routers[router].wait();
            total.exit_failed += usize::from(code != Some(0));
            for caller in callers {
                let drain = caller.join().unwrap();
                total.finished += drain.finished;
                total.refused += drain.refused;
                total.cut += drain.cut;
                total.new_after_2s += drain.new_after_2s;
            }
            // The platform's list lags behind.
            let member = Member {
                name: format!("router-{router}").into(),
                kind: Kind::Router,
                address: cluster.routers[router].address.as_str().into(),
                peer_address: None,
                failure_domain: domain(router).into(),
                region: "default".into(),
                state: Listing::Leaving,
                service: "".into(),
            };
            cluster.list_member(&member);
        }
        println!("drains={} {total:?}", (round + 1) * DRAINS.0);
    }
    total
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let seed = arguments.iter().position(|argument| argument == "--seed");
    let seed = seed.map_or(1, |index| arguments[index + 1].parse().expect("a number"));
    println!("seed={seed}");
    let started = Instant::now();
    let faults = under_faults(seed);
    let (writes_per_call, added_p50_ms) = cost();
    let drain = drains();
    println!("s={:.0}", started.elapsed().as_secs_f64());
    let fields = json!({
        "seed": seed,
        "calls": faults.calls,
        "double_runs": faults.double_runs,
        "false_not_run": faults.false_not_run,
        "crossed": faults.crossed,
        "store_writes_per_call": writes_per_call,
        "added_p50_ms": added_p50_ms,
        "drain_cut": drain.cut,
        "drain_new_after_2s": drain.new_after_2s,
    });
    println!("{fields}");
}
