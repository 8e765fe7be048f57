//! Calls with an idempotency key: correctness under faults, cost of claims, and draining of routers
//! under load.
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
use bilberrypost::wire::{Execution, Kind, Lifecycle, Member};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use keyed::{Call, Reply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use support::{Cluster, Proxy, TEST_TIMEOUT, block_on, domain, get, put, wait_until};

const ROUTERS: usize = 6;

/// Keys in a phase with at most one kind of fault. Eight of these phases and two with all faults
/// make 14,000 keys.
const KEYS_PER_PHASE: usize = 1000;

/// Keys in a phase with all faults.
const KEYS_WITH_ALL_FAULTS: usize = 3000;

/// New keys per second in each phase.
const KEYS_PER_SECOND: f64 = 250.0;

/// Time between two faults in a phase.
const FAULT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of requests that a caller sends with one key while the reply is `not-run` or the
/// connection breaks.
const MAX_ATTEMPTS: usize = 4;

/// Number of routers that are drained together, and number of such rounds.
const DRAIN_SIZE_AND_ROUNDS: (usize, usize) = (5, 4);

type Addresses = Arc<Mutex<Vec<String>>>;

/// One request and its reply; `id` identifies the request to the backend server.
struct Exchange {
    key: String,
    id: String,
    reply: Reply,
}

/// What the callers of one or more phases saw, in requests unless said otherwise.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    calls: usize,
    answered: usize,
    // Answered with a recorded response.
    replayed: usize,
    not_run: usize,
    // Failed because the call may have run or did run.
    unknown: usize,
    // Neither status 200 nor a problem document: mostly broken connections.
    broken: usize,
    // Keys whose call ran more than once.
    double_runs: usize,
    // Refused as `not-run`, although the call ran.
    false_not_run: usize,
    // Answered with the response of another key or of a run that did not happen.
    crossed: usize,
}

fn tally(cluster: &Cluster, sent: &[Exchange]) -> Tally {
    let runs = keyed::runs(cluster);
    let mut runs_of_key: BTreeMap<&str, u64> = BTreeMap::new();
    for (id, count) in &runs {
        let key = id.split('/').next().unwrap_or_default();
        *runs_of_key.entry(key).or_default() += count;
    }
    let keys: BTreeSet<_> = sent.iter().map(|sent| sent.key.as_str()).collect();
    let has_double_run = |key: &&&str| runs_of_key.get(**key).is_some_and(|count| *count > 1);
    let mut tally = Tally {
        calls: sent.len(),
        double_runs: keys.iter().filter(has_double_run).count(),
        ..Tally::default()
    };
    for Exchange { key, id, reply } in sent {
        let has_run = runs.contains_key(id);
        match reply.work() {
            Some(Execution::NotRun) => {
                tally.not_run += 1;
                tally.false_not_run += usize::from(has_run);
            }
            Some(Execution::Unknown | Execution::Ran) => tally.unknown += 1,
            None if reply.status == 200 => tally.answered += 1,
            None => tally.broken += 1,
        }
        tally.replayed += usize::from(reply.replayed);
        if let Some(run) = &reply.confirmation {
            let is_same_call = run.call.split('/').next() == Some(key) && run.body == body_of(key);
            let is_counted = runs.contains_key(&run.call) && (reply.replayed || run.call == *id);
            tally.crossed += usize::from(!is_same_call || !is_counted);
        }
    }
    tally
}

fn body_of(key: &str) -> String {
    format!("lane for {key}")
}

/// Sends calls with `keys` new keys from a new thread. A fifth of the keys is used by two callers
/// at the same time. The backend server drops the responses of a share `drop_share` of the calls.
fn spawn_load(
    addresses: &Addresses,
    seed: u64,
    keys: usize,
    drop_share: f64,
) -> JoinHandle<Vec<Exchange>> {
    let addresses = addresses.clone();
    std::thread::spawn(move || {
        let random = Rc::new(RefCell::new(StdRng::seed_from_u64(seed)));
        block_on(async move {
            let started = Instant::now();
            let calls = (0..keys).map(|number| {
                let (addresses, random) = (addresses.clone(), random.clone());
                let due = started + Duration::from_secs_f64(number as f64 / KEYS_PER_SECOND);
                async move {
                    compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
                    let key = keyed::new_key();
                    let (has_two_callers, is_dropped) = {
                        let mut random = random.borrow_mut();
                        (random.random_bool(0.2), random.random_bool(drop_share))
                    };
                    // The delay makes it more likely that a fault occurs while the call runs.
                    let fault = if is_dropped { "drop" } else { "slow@60" };
                    let send =
                        |caller: usize| send_until_run(&addresses, &random, &key, caller, fault);
                    match has_two_callers {
                        true => join_all([send(0), send(1)]).await.concat_exchanges(),
                        false => send(0).await,
                    }
                }
            });
            join_all(calls).await.concat_exchanges()
        })
    })
}

trait Concat {
    fn concat_exchanges(self) -> Vec<Exchange>;
}

impl Concat for Vec<Vec<Exchange>> {
    fn concat_exchanges(self) -> Vec<Exchange> {
        self.into_iter().flatten().collect()
    }
}

/// Sends a call to random routers until it runs, its outcome is unknown, or [`MAX_ATTEMPTS`] is
/// reached.
async fn send_until_run(
    addresses: &Addresses,
    random: &Rc<RefCell<StdRng>>,
    key: &str,
    caller: usize,
    fault: &str,
) -> Vec<Exchange> {
    let mut sent = Vec::new();
    for attempt in 0..MAX_ATTEMPTS {
        let address = {
            let addresses = addresses.lock().unwrap();
            let index = random.borrow_mut().random_range(0..addresses.len());
            addresses[index].clone()
        };
        let id = format!("{key}/{caller}-{attempt}");
        let call = Call::reserve(key, &id).fault(fault);
        let reply = call.send(&address).await;
        let should_retry = reply.work() == Some(Execution::NotRun) || reply.status == 0;
        sent.push(Exchange {
            key: key.into(),
            id,
            reply,
        });
        if !should_retry {
            break;
        }
        compio::time::sleep(Duration::from_millis(400)).await;
    }
    sent
}

/// A cluster whose store, backend servers and routers are reached through fault proxies.
struct ProxiedCluster {
    cluster: Cluster,
    store_proxy: Proxy,
    // Address of the store without the proxy, to set its faults.
    store_address: String,
    backend_proxies: Vec<Proxy>,
    // By index of the router: proxy of its peer address.
    peer_proxies: Vec<Proxy>,
    // Indices of the routers that the load is sent to, and their addresses.
    live_routers: Vec<usize>,
    addresses: Addresses,
}

impl ProxiedCluster {
    fn new() -> Self {
        let mut cluster = Cluster::start();
        let store_address = cluster.store.address.clone();
        let store_proxy = Proxy::start(&store_address);
        cluster.store.address = store_proxy.address().to_owned();
        let mut backend_proxies = Vec::new();
        for index in 0..3 {
            cluster.backend("booking", &[]);
            let proxy = Proxy::start(&cluster.backends[index].address);
            let (name, domain) = (format!("backend-{index}"), domain(index));
            cluster.list(&name, Kind::Backend, proxy.address(), &domain, "booking");
            backend_proxies.push(proxy);
        }
        let mut proxied = Self {
            cluster,
            store_proxy,
            store_address,
            backend_proxies,
            peer_proxies: Vec::new(),
            live_routers: Vec::new(),
            addresses: Addresses::default(),
        };
        for _ in 0..ROUTERS {
            proxied.add_router();
        }
        keyed::wait_for_cluster(&proxied.cluster, ROUTERS, 3);
        proxied
    }

    fn member(&self, router: usize, state: Lifecycle) -> Member {
        Member {
            name: format!("router-{router}").into(),
            kind: Kind::Router,
            address: self.cluster.routers[router].address.as_str().into(),
            peer_address: Some(self.peer_proxies[router].address().into()),
            failure_domain: domain(router).into(),
            region: "default".into(),
            state,
            service: "".into(),
        }
    }

    fn add_router(&mut self) -> usize {
        let index = self.cluster.router(&keyed::shared_settings(), 0);
        let router = &self.cluster.routers[index];
        self.peer_proxies
            .push(Proxy::start(&router.field("peer_address").unwrap()));
        let member = self.member(index, Lifecycle::Live);
        self.cluster.list_member(&member);
        self.set_live(index, true);
        index
    }

    fn set_live(&mut self, router: usize, is_live: bool) {
        self.live_routers.retain(|live| *live != router);
        if is_live {
            self.live_routers.push(router);
        }
        let address = |index: &usize| self.cluster.routers[*index].address.clone();
        *self.addresses.lock().unwrap() = self.live_routers.iter().map(address).collect();
    }

    fn set_store_faults(&self, faults: Faults) {
        put(&self.store_address, "/v1/emulation/faults", &faults);
    }

    /// Returns whether the router `observer` sees `router` as live.
    fn is_seen_live(&self, router: usize, observer: usize) -> bool {
        let address = &self.cluster.routers[observer].address;
        let status: serde_json::Value = get(address, "/admin/v1/status");
        let name = format!("router-{router}");
        let live = status["live"].as_array().unwrap();
        live.iter().any(|peer| peer["name"] == name.as_str())
    }

    /// Injects the fault named `fault`. `number` selects the router and backend server;
    /// `store_faults` are the faults of the store to restore after an outage.
    fn inject(&mut self, fault: &str, number: usize, store_faults: &Faults) {
        let router = self.live_routers[number % self.live_routers.len()];
        let observer = self.live_routers[(number + 1) % self.live_routers.len()];
        match fault {
            "killed routers" => {
                self.cluster.routers[router].kill();
                // The load balancer still sends calls to the dead router for a while.
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
                wait_until("the paused router is no longer seen as live", || {
                    !self.is_seen_live(router, observer)
                });
                std::thread::sleep(Duration::from_millis(500));
                self.cluster.routers[router].unpause();
            }
            "store outage" => {
                self.set_store_faults(Faults {
                    outage: true,
                    ..store_faults.clone()
                });
                std::thread::sleep(Duration::from_millis(600));
                self.set_store_faults(store_faults.clone());
            }
            "silent connections" => {
                self.store_proxy.set(Fault::Silence);
                self.backend_proxies[number % 3].set(Fault::Silence);
                self.peer_proxies[router].set(Fault::Silence);
            }
            _ => {}
        }
    }

    /// Runs one phase: sends its calls and meanwhile injects its faults one after another.
    fn run_phase(&mut self, phase: &Phase<'_>, seed: u64) -> Tally {
        let started = Instant::now();
        let store_faults = match phase.has_store_faults {
            true => Faults {
                lost_answers: 0.1,
                stale_reads: 0.1,
                delay_ms: 10,
                ..Faults::default()
            },
            false => Faults::default(),
        };
        self.set_store_faults(store_faults.clone());
        let load = spawn_load(&self.addresses, seed, phase.keys, phase.drop_share);
        let mut injected = 0;
        while !load.is_finished() {
            let due = Duration::from_secs_f64(phase.keys as f64 / KEYS_PER_SECOND);
            if started.elapsed() < due && !phase.faults.is_empty() {
                let fault = phase.faults[injected % phase.faults.len()];
                self.inject(fault, injected, &store_faults);
                injected += 1;
            }
            std::thread::sleep(FAULT_INTERVAL);
        }
        let sent = load.join().unwrap();
        self.set_store_faults(Faults::default());
        let tally = tally(&self.cluster, &sent);
        println!(
            "phase={:?} s={:.1} faults={injected} {tally:?}",
            phase.name,
            started.elapsed().as_secs_f64()
        );
        tally
    }
}

/// The faults and the load of a phase.
struct Phase<'a> {
    name: &'a str,
    faults: &'a [&'a str],
    // Whether a tenth of the store's responses to writes are lost and a tenth of its reads stale.
    has_store_faults: bool,
    // Share of calls whose response the backend server drops.
    drop_share: f64,
    keys: usize,
}

/// Runs a phase for each kind of fault, one without faults, and two with all faults together;
/// returns the totals.
fn run_phases(seed: u64) -> Tally {
    let mut proxied = ProxiedCluster::new();
    let no_faults = Phase {
        name: "none",
        faults: &[],
        has_store_faults: false,
        drop_share: 0.0,
        keys: KEYS_PER_PHASE,
    };
    let faults = [
        "killed routers",
        "paused routers",
        "silent connections",
        "store outage",
        "paused owners",
    ];
    let all_faults = Phase {
        name: "all together",
        faults: &faults,
        has_store_faults: true,
        drop_share: 0.05,
        keys: KEYS_WITH_ALL_FAULTS,
    };
    let single_faults = faults.iter().map(std::slice::from_ref).map(|fault| Phase {
        name: fault[0],
        faults: fault,
        ..no_faults
    });
    let mut phases: Vec<_> = single_faults.collect();
    phases.push(Phase {
        name: "lost store responses",
        has_store_faults: true,
        ..no_faults
    });
    phases.push(Phase {
        name: "dropped answers",
        drop_share: 0.3,
        ..no_faults
    });
    phases.push(no_faults);
    phases.push(all_faults);
    let mut total = Tally::default();
    let mut add = |tally: Tally| {
        total.calls += tally.calls;
        total.double_runs += tally.double_runs;
        total.false_not_run += tally.false_not_run;
        total.crossed += tally.crossed;
    };
    for (number, phase) in phases.iter().enumerate() {
        add(proxied.run_phase(phase, seed + number as u64));
    }
    let last = phases.last().expect("there are phases");
    add(proxied.run_phase(last, seed + phases.len() as u64));
    println!("faults: {total:?}");
    total
}

/// Latency of calls, number of served calls, and number of store writes at one rate.
struct Cost {
    p50_ms: f64,
    p99_ms: f64,
    served: u64,
    writes: u64,
}

/// Sends `rate` calls per second for `seconds` from four threads over persistent connections.
fn send_at_rate(cluster: &Cluster, rate: f64, seconds: f64, is_keyed: bool) -> Cost {
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
                    let send = |number: usize| {
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
                    join_all((0..count).map(send)).await
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
    // The owners write outcomes with a delay.
    std::thread::sleep(Duration::from_millis(500));
    Cost {
        p50_ms: histogram.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: histogram.value_at_quantile(0.99) as f64 / 1000.0,
        served,
        writes: calls(cluster).writes - before,
    }
}

/// Returns the size of all claim logs in the store.
fn claim_bytes(cluster: &Cluster) -> usize {
    let entries: Vec<Entry> = get(&cluster.store.address, "/v1/objects?prefix=claims/");
    entries.iter().map(|entry| entry.size).sum()
}

/// Measures the cost of claims at several rates; returns the store writes per call and the added
/// median latency at 1,000 calls per second.
fn measure_cost() -> (f64, f64) {
    let mut cluster = keyed::cluster(ROUTERS, ROUTERS);
    let mut at_target = (0.0, 0.0);
    for (rate, seconds) in [(100.0, 8.0), (1000.0, 8.0), (5000.0, 6.0)] {
        let plain = send_at_rate(&cluster, rate, seconds, false);
        let before = claim_bytes(&cluster);
        let keyed = send_at_rate(&cluster, rate, seconds, true);
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
    measure_takeover(&mut cluster);
    at_target
}

/// Prints the time from the death of a router, which the membership list shows at once, until
/// another router serves its range.
fn measure_takeover(cluster: &mut Cluster) {
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
        state: Lifecycle::Leaving,
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

/// What the callers of draining routers saw. A router may accept new work until 2 s after SIGTERM.
#[derive(Clone, Copy, Debug, Default)]
struct Drain {
    // Complete responses to calls sent before these 2 s were over.
    finished: usize,
    // Refused as `not-run`.
    refused: usize,
    // Calls sent before the 2 s were over that got no complete response.
    cut: usize,
    // Complete responses to calls sent after the 2 s.
    new_after_2s: usize,
    // Routers that did not exit with code 0.
    exit_failed: usize,
}

/// Calls a router until it accepts no connection any more. `terminated_at` is the time of SIGTERM;
/// `number` and the count of calls select the kind of each call.
fn call_until_exit(
    address: String,
    terminated_at: Arc<Mutex<Option<Instant>>>,
    number: u64,
) -> Drain {
    let limit = Duration::from_secs(2);
    let is_late = |sent: Instant| {
        terminated_at
            .lock()
            .unwrap()
            .is_some_and(|terminated| sent > terminated + limit)
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
            let (is_complete, is_refused) = match (number + count) % 3 {
                0 => {
                    let call = support::call("Lanes:", 100, count);
                    let answer = client::complete(&address, &call).await;
                    {
                        let work = answer.problem.map(|problem| problem.work);
                        (answer.complete, work == Some(Execution::NotRun))
                    }
                }
                1 => send(&Call::status("drain").fault("slow@800"), &address).await,
                _ => {
                    let key = keyed::new_key();
                    send(&Call::reserve(&key, &key), &address).await
                }
            };
            match (is_late(sent), is_complete, is_refused) {
                (_, _, true) => drain.refused += 1,
                (true, true, _) => drain.new_after_2s += 1,
                (false, true, _) => drain.finished += 1,
                (false, false, _) => drain.cut += 1,
                (true, false, _) => {}
            }
        }
    })
}

/// Sends a call; returns whether it was served and whether it was refused as `not-run`.
async fn send(call: &Call, address: &str) -> (bool, bool) {
    let reply = call.send(address).await;
    (reply.status == 200, reply.work() == Some(Execution::NotRun))
}

/// Stops routers under load, several at once; returns what their callers saw.
fn measure_drains() -> Drain {
    const CALLERS: u64 = 12;
    let mut cluster = Cluster::start();
    for _ in 0..3 {
        cluster.backend("booking", &[]);
        cluster.engine(&[]);
    }
    cluster.router(&keyed::shared_settings(), 3);
    cluster.router(&keyed::shared_settings(), 3);
    keyed::wait_for_cluster(&cluster, 2, 3);
    let mut total = Drain::default();
    for round in 0..DRAIN_SIZE_AND_ROUNDS.1 {
        let leaving: Vec<_> = (0..DRAIN_SIZE_AND_ROUNDS.0)
            .map(|_| cluster.router(&keyed::shared_settings(), 3))
            .collect();
        wait_until("the routers know the servers", || {
            leaving.iter().all(|router| {
                let address = &cluster.routers[*router].address;
                let status: serde_json::Value = get(address, "/admin/v1/status");
                status["backends"].as_object().unwrap().len() == 3
                    && status["live"].as_array().unwrap().len() == 2 + DRAIN_SIZE_AND_ROUNDS.0
            })
        });
        let drains: Vec<_> = leaving
            .iter()
            .map(|router| {
                let terminated_at = Arc::default();
                let callers: Vec<_> = (0..CALLERS)
                    .map(|number| {
                        let address = cluster.routers[*router].address.clone();
                        let terminated_at = Arc::clone(&terminated_at);
                        std::thread::spawn(move || call_until_exit(address, terminated_at, number))
                    })
                    .collect();
                (*router, terminated_at, callers)
            })
            .collect();
        std::thread::sleep(Duration::from_millis(1000));
        for (router, terminated_at, _) in &drains {
            *terminated_at.lock().unwrap() = Some(Instant::now());
            cluster.routers[*router].terminate();
        }
        for (router, _, callers) in drains {
            let code = cluster.routers[router].wait();
            total.exit_failed += usize::from(code != Some(0));
            for caller in callers {
                let drain = caller.join().unwrap();
                total.finished += drain.finished;
                total.refused += drain.refused;
                total.cut += drain.cut;
                total.new_after_2s += drain.new_after_2s;
            }
            // The membership list shows only now that the router leaves.
            let member = Member {
                name: format!("router-{router}").into(),
                kind: Kind::Router,
                address: cluster.routers[router].address.as_str().into(),
                peer_address: None,
                failure_domain: domain(router).into(),
                region: "default".into(),
                state: Lifecycle::Leaving,
                service: "".into(),
            };
            cluster.list_member(&member);
        }
        println!("drains={} {total:?}", (round + 1) * DRAIN_SIZE_AND_ROUNDS.0);
    }
    total
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let seed = arguments.iter().position(|argument| argument == "--seed");
    let seed = seed.map_or(1, |index| {
        arguments[index + 1].parse().expect("--seed needs a number")
    });
    println!("seed={seed}");
    let started = Instant::now();
    let faults = run_phases(seed);
    let (writes_per_call, added_p50_ms) = measure_cost();
    let drain = measure_drains();
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
