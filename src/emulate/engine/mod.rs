//! An emulated engine with continuous batching, a prefix cache and faults that prompts request.

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
use front::Frontend;

/// Configuration of an emulated engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Engine name.
    pub name: CompactString,
    /// Failure domain of the engine.
    pub failure_domain: CompactString,
    /// Name of the model that it serves.
    pub model: CompactString,
    /// Version of the model that is loaded at the start.
    pub version: CompactString,
    /// Maximum number of streams in the batch.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot in the batch.
    pub queue_limit: u32,
    /// Time of a decoding step, without the times that streams and prefill add.
    pub step_base: Duration,
    /// Time that each decoding stream adds to a step.
    pub step_per_stream: Duration,
    /// Time that each prefilled token adds to a step.
    pub prefill_per_token: Duration,
    /// Maximum number of prefix blocks in the cache.
    pub cache_blocks: usize,
    /// Age of the load and of the newest cache events in a response to `/v1/status`.
    pub status_lag: Duration,
    /// Share of cache events that `/v1/status` omits, 0 to 1.
    pub event_loss: f64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time to load a version. Not emulated: an order to load takes effect at once.
    pub load_time: Duration,
    /// Seed that determines which cache events are lost.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            name: "engine-1".into(),
            failure_domain: "fd-a".into(),
            model: "atlas".into(),
            version: "1".into(),
            slots: 16,
            queue_limit: 64,
            step_base: Duration::from_millis(8),
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

/// Counts of what the engine has done, for tests and benches.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Totals {
    /// Output tokens decoded and sent.
    pub decoded: u64,
    /// Prompt and resumed tokens that had to be prefilled.
    pub prefilled: u64,
    /// Prompt tokens that were in the cache.
    pub cached: u64,
    /// Requests accepted, including those that still wait.
    pub started: u64,
    /// Requests that were cancelled, replaced by a newer attempt or disconnected before their last
    /// token.
    pub cancelled: u64,
    /// Orders that were carried out, oldest first.
    pub orders: Vec<Order>,
    /// Orders refused because of an old fencing number.
    pub refused_orders: u64,
}

/// A message from the HTTP service to the batch, with the channel for the reply if there is one.
enum Message {
    /// Starts a request; the reply is the channel of its frames.
    Start(
        wire::Request,
        oneshot::Sender<Result<mpsc::Receiver<wire::Frame>, Problem>>,
    ),
    /// Cancels attempts of a request up to the given number.
    Cancel(CompactString, u32),
    /// Queries the state of the stream with the given request id.
    Query(CompactString, oneshot::Sender<wire::StreamStatus>),
    /// Queries the status, with the cache events from the given sequence number on.
    Status(u64, oneshot::Sender<wire::Status>),
    /// Carries out an order; the error is the highest fencing number known.
    Order(Order, oneshot::Sender<Result<(), u64>>),
    Totals(oneshot::Sender<Totals>),
    /// Makes the engine refuse new requests.
    Leave,
}

/// Runs an emulated engine on `listener` until `stop` is set.
pub async fn run(listener: TcpListener, config: Config, stop: Signal) {
    let (sender, messages) = mpsc::unbounded();
    let front = Rc::new(Frontend::new(sender));
    let batch = compio::runtime::spawn(Batch::new(config, messages).run(stop.clone()));
    server::serve(listener, front.clone(), stop).await;
    front.streams.join().await;
    let _ = batch.await;
}
