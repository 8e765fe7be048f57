//! CPU time, memory and traffic of a router's control tasks at several fleet sizes, extrapolated to
//! 770 nodes, and the cost of relaying streams.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use bilberrypost::emulate::store::Calls;
use bilberrypost::load::client;
use serde_json::{Value, json};
use support::{Cluster, block_on, call, get, shared_settings, wait_until};

/// Default fleet sizes; numbers on the command line replace them.
const SIZES: [usize; 4] = [8, 16, 24, 32];

/// Fleet size to which the results are extrapolated.
const FULL_SIZE_NODES: f64 = 770.0;

/// Default of the setting `region_pool_hosts`; larger regions do not share a lease pool.
const REGION_POOL_HOSTS: f64 = 12.0;

/// Number of routers that watch the store at full size: two in each of 31 failure domains.
const STORE_WATCHERS: f64 = 62.0;

/// Time after the start of the fleet that is not measured.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Length of a measurement.
const MEASURE_TIME: Duration = Duration::from_secs(20);

/// Reported only; the processes of the fleet seed their own random numbers.
const SEED: u64 = 1;

/// Keys of `control_bytes` in a router's status.
const REMOTE_PARTIES: [&str; 3] = ["peers", "store", "engines"];

/// Counters of a router process at one time.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    cpu_s: f64,
    memory_mb: f64,
    bytes: [f64; 3],
}

impl Sample {
    fn of(pid: u32, address: &str) -> Self {
        let status: Value = get(address, "/admin/v1/status");
        Self {
            cpu_s: cpu_seconds(pid),
            memory_mb: memory_mb(pid),
            bytes: REMOTE_PARTIES.map(|party| status["control_bytes"][party].as_f64().unwrap()),
        }
    }
}

fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap();
    text.split(' ').next().unwrap().parse::<f64>().unwrap() / 1e9
}

fn memory_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    let kilobytes = line.split_whitespace().nth(1).unwrap();
    kilobytes.parse::<f64>().unwrap() / 1024.0
}

/// Fits a least-squares line to points `(x, y)`; returns intercept and slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (sx, sy) = points
        .iter()
        .fold((0.0, 0.0), |(x, y), p| (x + p.0, y + p.1));
    let (mx, my) = (sx / n, sy / n);
    let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    let sxx: f64 = points.iter().map(|p| (p.0 - mx) * (p.0 - mx)).sum();
    // With a single size there is no slope.
    let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
    (my - slope * mx, slope)
}

/// Means over the routers of a fleet; store calls are those of the whole fleet.
struct Measurement {
    nodes: f64,
    core_percent: f64,
    memory_mb: f64,
    bytes_per_s: [f64; 3],
    store_writes_per_s: f64,
    store_reads_per_s: f64,
}

fn measure(nodes: usize) -> Measurement {
    let mut cluster = Cluster::start();
    for _ in 0..12 {
        cluster.engine(&[]);
    }
    for _ in 0..nodes {
        cluster.router(&shared_settings(), 12);
    }
    let last = cluster.routers.last().unwrap().address.clone();
    wait_until("all routers are live", || {
        let status: Value = get(&last, "/admin/v1/status");
        status["live"].as_array().unwrap().len() == nodes
    });
    std::thread::sleep(SETTLE_TIME);
    let sample = |cluster: &Cluster| -> Vec<Sample> {
        let routers = cluster.routers.iter();
        routers
            .map(|router| Sample::of(router.id(), &router.address))
            .collect()
    };
    let calls = |cluster: &Cluster| get::<Calls>(&cluster.store.address, "/v1/emulation/calls");
    let (before, calls_before, start) = (sample(&cluster), calls(&cluster), Instant::now());
    std::thread::sleep(MEASURE_TIME);
    let (after, calls_after) = (sample(&cluster), calls(&cluster));
    let seconds = start.elapsed().as_secs_f64();
    let mean = |value: &dyn Fn(&Sample, &Sample) -> f64| {
        let pairs = before.iter().zip(&after);
        pairs
            .map(|(before, after)| value(before, after))
            .sum::<f64>()
            / nodes as f64
    };
    Measurement {
        nodes: nodes as f64,
        core_percent: mean(&|before, after| (after.cpu_s - before.cpu_s) / seconds * 100.0),
        memory_mb: mean(&|_, after| after.memory_mb),
        bytes_per_s: [0, 1, 2].map(|party| {
            mean(&|before, after| (after.bytes[party] - before.bytes[party]) / seconds)
        }),
        store_writes_per_s: (calls_after.writes - calls_before.writes) as f64 / seconds,
        store_reads_per_s: (calls_after.reads - calls_before.reads) as f64 / seconds,
    }
}

/// Numbers of concurrent streams and of tokens per stream of the two relay measurements.
const RELAY_LOADS: [(usize, u32); 2] = [(16, 400), (128, 400)];

/// Returns the CPU time per relayed token in microseconds and the memory per stream in kilobytes,
/// computed from the difference between the two loads.
fn measure_relay() -> (f64, f64) {
    let mut cluster = Cluster::start();
    for _ in 0..4 {
        cluster.engine(&[
            "--slots",
            "64",
            "--step-us",
            "8000",
            "--step-per-stream-us",
            "0",
        ]);
    }
    cluster.router(&shared_settings(), 4);
    let router = &cluster.routers[0];
    let samples = RELAY_LOADS.map(|(streams, tokens)| {
        let before = Sample::of(router.id(), &router.address);
        let calls: Vec<_> = (0..streams as u64)
            .map(|seed| call(&format!("Sky notes {seed}:"), tokens, seed))
            .collect();
        let answers = calls
            .iter()
            .map(|call| client::complete(&router.address, call));
        let answers = block_on(futures_util::future::join_all(answers));
        assert!(answers.iter().all(|answer| answer.complete));
        let after = Sample::of(router.id(), &router.address);
        let relayed = streams as f64 * f64::from(tokens);
        let cpu_us = (after.cpu_s - before.cpu_s) * 1e6;
        (streams as f64, relayed, cpu_us, after.memory_mb)
    });
    let [small, large] = samples;
    println!(
        "relayed tokens {} and {}: {:.0} and {:.0} us",
        small.1, large.1, small.2, large.2
    );
    let per_token = (large.2 - small.2) / (large.1 - small.1);
    let per_stream = (large.3 - small.3) * 1024.0 / (large.0 - small.0);
    (per_token, per_stream.max(0.0))
}

fn main() {
    println!("seed {SEED}");
    println!(
        "nodes  core %  memory MB  peers B/s  store B/s  engines B/s  store writes/s  store reads/s"
    );
    let mut all = Vec::new();
    let sizes: Vec<_> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() { &SIZES[..] } else { &sizes };
    for size in sizes.iter().copied() {
        let m = measure(size);
        println!(
            "{:>5}  {:>6.3}  {:>9.1}  {:>9.0}  {:>9.0}  {:>11.0}  {:>14.2}  {:>13.2}",
            m.nodes,
            m.core_percent,
            m.memory_mb,
            m.bytes_per_s[0],
            m.bytes_per_s[1],
            m.bytes_per_s[2],
            m.store_writes_per_s,
            m.store_reads_per_s
        );
        all.push(m);
    }
    let fit_measurements = |value: fn(&Measurement) -> f64| {
        // The number of lease pools, and with it the control traffic, changes at the size at which a
        // region no longer shares one pool. Only larger fleets are extrapolated to full size.
        let large = all.iter().filter(|m| m.nodes > REGION_POOL_HOSTS);
        let selected: Vec<_> = match large.clone().count() {
            0 | 1 => all.iter().collect(),
            _ => large.collect(),
        };
        let points: Vec<_> = selected.iter().map(|m| (m.nodes, value(m))).collect();
        fit_line(&points)
    };
    let extrapolate = |name: &str, value: fn(&Measurement) -> f64| {
        let (base, slope) = fit_measurements(value);
        println!("{name}: {base:.4} + {slope:.6} per node");
        (base + slope * FULL_SIZE_NODES).max(0.0)
    };
    let core = extrapolate("core percent", |m| m.core_percent);
    let memory = extrapolate("memory MB", |m| m.memory_mb);
    let bytes = extrapolate("control bytes/s", |m| m.bytes_per_s.iter().sum());
    let writes = extrapolate("store writes/s, whole fleet", |m| m.store_writes_per_s);
    // The number of watchers, which cause the reads, depends on the failure domains, not on the
    // number of nodes.
    let watchers = |m: &Measurement| m.store_reads_per_s / m.nodes.min(6.0);
    let per_watcher = all.iter().map(watchers).sum::<f64>() / all.len() as f64;
    println!("store reads/s per watcher: {per_watcher:.3}");
    let (relay_us_per_token, relay_kb_per_stream) = measure_relay();
    println!("relay: {relay_us_per_token:.1} us per token, {relay_kb_per_stream:.1} KB per stream");
    let result = json!({
        "relay_us_per_token": relay_us_per_token,
        "relay_kb_per_stream": relay_kb_per_stream,
        "seed": SEED,
        "control_core_percent": core,
        "control_memory_mb": memory,
        "control_bytes_per_s": bytes,
        "store_writes_per_s": writes,
        "store_reads_per_s": per_watcher * STORE_WATCHERS,
    });
    println!("{result}");
}
