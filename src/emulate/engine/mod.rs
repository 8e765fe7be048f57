//! An emulated engine with continuous batching, a prefix cache and faults on request.

mod batch;
mod cache;
mod fault;
mod front;

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compio::net::TcpListener;
use futures_channel::{mpsc, oneshot};
use serde::{Deserialize, Serialize};

use crate::http::problem::Problem;
use crate::http::server;
use crate::supervisor::Signal;
use crate::wire::{self, Order};
use batch::Batch;
use front::Front;

/// Shape of an emulated engine.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Engine name.
    pub name: CompactString,
    /// Failure domain.
    pub failure_domain: CompactString,
    /// Model name.
    pub model: CompactString,
    /// Loaded version.
    pub version: CompactString,
    /// Greatest number of streams in the batch.
    pub slots: u32,
    /// Requests that may wait for a place in the batch.
    pub queue: u32,
    /// Time of a step with an empty batch.
    pub step: Duration,
    /// Time that each stream in the batch adds to a step.
    pub step_per_stream: Duration,
    /// Time to read one token of prompt.
    pub prefill_per_token: Duration,
    /// Prefix blocks that fit in the cache.
    pub cache_blocks: usize,
    /// Age of the load and cache events that `status` shows.
    pub status_lag: Duration,
    /// Share of cache events that are lost, 0 to 1.
    pub event_loss: f64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time to load a version.
    pub load_time: Duration,
    /// Seed of chance events.
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            name: "engine-1".into(),
            failure_domain: "fd-a".into(),
            model: "atlas".into(),
            version: "1".into(),
            slots: 16,
            queue: 64,
            step: Duration::from_millis(8),
            step_per_stream: Duration::from_micros(250),
            prefill_per_token: Duration::from_micros(20),
            cache_blocks: 4096,
            status_lag: Duration::from_millis(500),
            event_loss: 0.05,
            checks_fencing: true,
            load_time: Duration::from_millis(500),
            seed: 1,
        }
    }
}

/// What the engine has done, for tests and benches.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Totals {
    /// Tokens decoded.
    pub decoded: u64,
    /// Prompt and resumed tokens prefilled.
    pub prefilled: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Streams started.
    pub started: u64,
    /// Streams cancelled before their end.
    pub cancelled: u64,
    /// Orders in the order in which they were carried out.
    pub orders: Vec<Order>,
    /// Orders refused for an old fencing number.
    pub refused_orders: u64,
}

/// What the endpoints ask of the batch.
enum Message {
    Start(
        wire::Request,
        oneshot::Sender<Result<mpsc::Receiver<wire::Frame>, Problem>>,
    ),
    Cancel(CompactString, u32),
    Query(CompactString, oneshot::Sender<wire::StreamStatus>),
    Status(u64, oneshot::Sender<wire::Status>),
    Order(Order, oneshot::Sender<Result<(), u64>>),
    Totals(oneshot::Sender<Totals>),
    Leave,
}

/// Runs an emulated engine on `listener` until `stop` is given.
pub async fn run(listener: TcpListener, shape: Shape, stop: Signal) {
    let (sender, messages) = mpsc::unbounded();
    let front = Rc::new(Front::new(sender));
    let batch = compio::runtime::spawn(Batch::new(shape, messages).run(stop.clone()));
    server::serve(listener, front.clone(), stop).await;
    front.streams.join().await;
    let _ = batch.await;
}
