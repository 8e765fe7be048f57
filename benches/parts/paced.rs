//! A small installation with slow engines, and random requests to its routers, which several benches
//! share.

#![allow(dead_code)]

use std::future::Future;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use rand::Rng;
use rand::rngs::StdRng;

use super::support::{self, Cluster, Pace};

/// Number of routers.
pub(crate) const ROUTERS: usize = 6;

/// Number of streams in a batch of an engine.
const SLOTS: u32 = 16;

/// Time of a decoding step with an empty batch, and the time that each stream adds. The ratio is about
/// that of the default engine. The times are longer to limit the load on the machine: a token of a
/// full batch takes 32 of the 41 ms allowed.
const STEP_US: u32 = 21_000;
const STEP_PER_STREAM_US: u32 = 700;

/// Speed of the engines.
pub(crate) const PACE: Pace = Pace {
    slots: SLOTS,
    step_us: STEP_US,
    step_per_stream_us: STEP_PER_STREAM_US,
};

/// Returns the tokens per second of `engines` engines with full batches.
pub(crate) fn capacity(engines: usize) -> f64 {
    let step_us = STEP_US + STEP_PER_STREAM_US * SLOTS;
    f64::from(engines as u32 * SLOTS) * 1e6 / f64::from(step_us)
}

/// Starts engines with more arguments, and routers with shared settings and lines for the `[host]`
/// section.
pub(crate) fn start(
    engines: usize,
    args: &[&str],
    shared_settings: &str,
    settings: &str,
) -> Cluster {
    let mut cluster = Cluster::start();
    cluster.paced_engines(engines, &PACE, args);
    for _ in 0..ROUTERS {
        cluster.router_with(shared_settings, engines, settings);
    }
    cluster
}

/// Draws the time in seconds until the next of `per_s` random arrivals per second.
pub(crate) fn next_gap(per_s: f64, rng: &mut StdRng) -> f64 {
    -rng.random_range(f64::EPSILON..1.0).ln() / per_s
}

/// Sends to each router in a thread of its own; `send` gets the index and address of the router.
/// Returns all results.
pub(crate) fn send_to_all<T: Send, F: Future<Output = Vec<T>>>(
    cluster: &Cluster,
    send: impl Fn(usize, String) -> F + Sync,
) -> Vec<T> {
    let send = &send;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..ROUTERS)
            .map(|index| {
                let address = cluster.routers[index].address.clone();
                scope.spawn(move || support::block_on(send(index, address)))
            })
            .collect();
        let results = threads.into_iter();
        results
            .flat_map(|thread| thread.join().expect("the load ran"))
            .collect()
    })
}

/// Waits up to `limit` until the tasks that are marked as measured have ended.
pub(crate) async fn finish_measured(tasks: &mut [(bool, JoinHandle<()>)], limit: Duration) {
    let until = Instant::now() + limit;
    for (_, task) in tasks.iter_mut().filter(|(is_measured, _)| *is_measured) {
        let left = until.saturating_duration_since(Instant::now());
        let _ = compio::time::timeout(left, task).await;
    }
}
