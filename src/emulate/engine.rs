//! An emulated engine with continuous batching, a prefix cache and faults on request.
//!
//! A prompt may ask for faults: `[fault die@5]` ends the process after 5 tokens. The kinds are
//! `die`, `stall` (no more tokens), `silent` (tokens are produced but not sent), `foreign` (frames
//! of another request) and `late` (the first frame waits for as many milliseconds). `die@5/1`
//! limits the fault to attempt 1. A `kill-engines` fault is `die` without a limit.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::net::TcpListener;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::{Chance, sampler};
use crate::http::body::Body;
use crate::http::problem::{Problem, Reason, json_response, text_response};
use crate::http::{server, sse};
use crate::route::prefix;
use crate::supervisor::{Group, Signal};
use crate::util::hash64;
use crate::wire;

/// Tokens of prompt that one step reads.
const PREFILL_TOKENS_PER_STEP: u32 = 512;

/// Frames that wait for a slow reader before the stream pauses.
const BUFFERED_FRAMES: usize = 64;

/// Finished streams that are remembered.
const REMEMBERED_STREAMS: usize = 256;

/// Steps between two reports of load on a stream.
const STEPS_PER_LOAD: u32 = 8;

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

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// Identity; an order with a known one has no further effect.
    pub id: CompactString,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Action {
    /// Loads a version of a model in place of the present one.
    Load {
        /// Model name.
        model: CompactString,
        /// Version to load.
        version: CompactString,
    },
    /// Loads an adapter.
    Adapter {
        /// Adapter name.
        adapter: CompactString,
    },
    /// Changes the role.
    Role {
        /// New role.
        role: CompactString,
    },
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

enum Message {
    Start(
        wire::Request,
        oneshot::Sender<Result<mpsc::Receiver<wire::Frame>, Problem>>,
    ),
    Cancel(CompactString, u32),
    Query(CompactString, oneshot::Sender<wire::Stream>),
    Status(u64, oneshot::Sender<wire::Status>),
    Order(Order, oneshot::Sender<Result<(), u64>>),
    Totals(oneshot::Sender<Totals>),
    Leave,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Die(u32),
    Stall(u32),
    Silent(u32),
    Foreign(u32),
    Late(u32),
}

/// Reads the faults that a prompt asks for in an attempt.
fn faults(prompt: &str, attempt: u32) -> Vec<Fault> {
    let mut found = Vec::new();
    for part in prompt.split("[fault ").skip(1) {
        let Some((text, _)) = part.split_once(']') else {
            continue;
        };
        let (text, only) = text.split_once('/').unwrap_or((text, ""));
        if !only.is_empty() && only.parse() != Ok(attempt) {
            continue;
        }
        let (kind, value) = text.split_once('@').unwrap_or((text, "0"));
        let value = value.parse().unwrap_or(0);
        found.extend(match kind {
            "die" => Some(Fault::Die(value)),
            "stall" => Some(Fault::Stall(value)),
            "silent" => Some(Fault::Silent(value)),
            "foreign" => Some(Fault::Foreign(value)),
            "late" => Some(Fault::Late(value)),
            _ => None,
        });
    }
    found
}

struct Sequence {
    request: wire::Request,
    version: CompactString,
    sampler: sampler::Sampler,
    faults: Vec<Fault>,
    arrived: Instant,
    // Prompt and resumed tokens that are still to be read.
    prefill_left: u32,
    prefilled: u32,
    next: u32,
    sender: mpsc::Sender<wire::Frame>,
    steps: u32,
}

impl Sequence {
    fn is_prefilling(&self) -> bool {
        self.prefill_left > 0
    }

    fn phase(&self) -> wire::Phase {
        if self.is_prefilling() {
            return wire::Phase::Prefill;
        }
        wire::Phase::Decode
    }

    fn produced(&self) -> u32 {
        self.next - self.request.resume_tokens.len() as u32
    }
}

/// Least recently used cache of prefix blocks.
#[derive(Default)]
struct Cache {
    // Invariant: `by_use` holds exactly the inverse of `uses`.
    uses: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let old = self.uses.insert(block, self.clock);
        if let Some(old) = old {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.clock, block);
        old.is_some()
    }

    fn evict(&mut self, limit: usize) -> Option<u64> {
        if self.uses.len() <= limit {
            return None;
        }
        let (_, block) = self.by_use.pop_first()?;
        self.uses.remove(&block);
        Some(block)
    }
}

struct Engine {
    shape: Shape,
    messages: mpsc::UnboundedReceiver<Message>,
    chance: Chance,
    queue: VecDeque<Sequence>,
    batch: Vec<Sequence>,
    finished: VecDeque<(CompactString, wire::Stream)>,
    cache: Cache,
    events: VecDeque<(Instant, wire::Event)>,
    next_seq: u64,
    loads: VecDeque<(Instant, wire::Load)>,
    step_us: u32,
    leaving: bool,
    role: CompactString,
    adapters: Vec<CompactString>,
    highest_fencing: u64,
    totals: Totals,
}

/// Runs an emulated engine on `listener` until `stop` is given.
pub async fn run(listener: TcpListener, shape: Shape, stop: Signal) {
    let (sender, messages) = mpsc::unbounded();
    let service = Rc::new(Front {
        sender,
        streams: Group::default(),
    });
    let engine = Engine {
        chance: Chance::new(shape.seed),
        shape,
        messages,
        queue: VecDeque::new(),
        batch: Vec::new(),
        finished: VecDeque::new(),
        cache: Cache::default(),
        events: VecDeque::new(),
        next_seq: 0,
        loads: VecDeque::new(),
        step_us: 0,
        leaving: false,
        role: "serve".into(),
        adapters: Vec::new(),
        highest_fencing: 0,
        totals: Totals::default(),
    };
    let batch = compio::runtime::spawn(engine.run(stop.clone()));
    server::serve(listener, service.clone(), stop).await;
    service.streams.join().await;
    let _ = batch.await;
}

impl Engine {
    async fn run(mut self, stop: Signal) {
        loop {
            while let Ok(message) = self.messages.try_recv() {
                self.handle(message);
            }
            self.admit();
            if self.batch.is_empty() {
                let stopped = std::pin::pin!(stop.wait());
                let next = self.messages.next();
                match futures_util::future::select(stopped, next).await {
                    futures_util::future::Either::Left(_) => return,
                    futures_util::future::Either::Right((None, _)) => return,
                    futures_util::future::Either::Right((Some(message), _)) => {
                        self.handle(message);
                    }
                }
                continue;
            }
            self.step().await;
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Start(request, reply) => {
                let _ = reply.send(self.start(request));
            }
            Message::Cancel(id, attempt) => {
                self.remove(|sequence| {
                    sequence.request.request_id == id && sequence.request.attempt <= attempt
                });
            }
            Message::Query(id, reply) => {
                let _ = reply.send(self.query(&id));
            }
            Message::Status(since, reply) => {
                let _ = reply.send(self.status(since));
            }
            Message::Order(order, reply) => {
                let _ = reply.send(self.order(order));
            }
            Message::Totals(reply) => {
                let _ = reply.send(self.totals.clone());
            }
            Message::Leave => self.leaving = true,
        }
    }

    fn start(&mut self, request: wire::Request) -> Result<mpsc::Receiver<wire::Frame>, Problem> {
        self.check(&request)?;
        let id = request.request_id.clone();
        self.remove(|sequence| {
            sequence.request.request_id == id && sequence.request.attempt < request.attempt
        });
        if self.queue.len() >= self.shape.queue as usize {
            let problem = Problem::not_run(Reason::QueueFull, "the engine's queue is full");
            return Err(problem.retry_after(Duration::from_secs(1)));
        }
        let (sender, receiver) = mpsc::channel(BUFFERED_FRAMES);
        let version = self.shape.version.clone();
        self.queue.push_back(Sequence {
            sampler: sampler::Sampler::new(&request.model, &version, &request.prompt, request.seed),
            faults: faults(&request.prompt, request.attempt),
            version,
            arrived: Instant::now(),
            prefill_left: 0,
            prefilled: 0,
            next: request.resume_tokens.len() as u32,
            sender,
            steps: 0,
            request,
        });
        self.totals.started += 1;
        Ok(receiver)
    }

    fn check(&self, request: &wire::Request) -> Result<(), Problem> {
        if self.leaving {
            let detail = "the engine is leaving; use another engine";
            return Err(Problem::not_run(Reason::Leaving, detail));
        }
        if request.model != self.shape.model {
            let detail = format!("the engine serves model {}", self.shape.model);
            return Err(Problem::not_run(Reason::UnknownModel, detail));
        }
        match &request.model_version {
            Some(version) if *version != self.shape.version => {
                let detail = format!("the engine has version {}", self.shape.version);
                let mut problem = Problem::not_run(Reason::VersionGone, detail);
                problem.status = StatusCode::CONFLICT.as_u16();
                Err(problem)
            }
            _ => Ok(()),
        }
    }

    fn remove(&mut self, matches: impl Fn(&Sequence) -> bool) {
        let before = self.queue.len() + self.batch.len();
        self.queue.retain(|sequence| !matches(sequence));
        self.batch.retain(|sequence| !matches(sequence));
        self.totals.cancelled += (before - self.queue.len() - self.batch.len()) as u64;
    }

    fn query(&self, id: &str) -> wire::Stream {
        let stream = |state, sequence: &Sequence| wire::Stream {
            state,
            attempt: sequence.request.attempt,
            position: sequence.next,
        };
        let of_id = |sequence: &&Sequence| sequence.request.request_id == id;
        if let Some(sequence) = self.batch.iter().find(of_id) {
            return stream(sequence.phase(), sequence);
        }
        if let Some(sequence) = self.queue.iter().find(of_id) {
            return stream(wire::Phase::Queued, sequence);
        }
        let finished = self.finished.iter().rev().find(|(known, _)| known == id);
        finished.map_or(
            wire::Stream {
                state: wire::Phase::Unknown,
                attempt: 0,
                position: 0,
            },
            |(_, stream)| *stream,
        )
    }

    fn load(&self) -> wire::Load {
        wire::Load {
            running: self.batch.len() as u32,
            queued: self.queue.len() as u32,
            step_us: self.step_us,
        }
    }

    fn status(&mut self, since: u64) -> wire::Status {
        let now = Instant::now();
        let lag = self.shape.status_lag;
        let is_shown = |at: Instant| now.duration_since(at) >= lag;
        self.loads.push_back((now, self.load()));
        while self.loads.len() > 1 && is_shown(self.loads[1].0) {
            self.loads.pop_front();
        }
        let events: Vec<_> = self
            .events
            .iter()
            .filter(|(at, event)| event.seq >= since && is_shown(*at))
            .map(|(_, event)| *event)
            .collect();
        wire::Status {
            name: self.shape.name.clone(),
            failure_domain: self.shape.failure_domain.clone(),
            models: vec![wire::Model {
                model: self.shape.model.clone(),
                version: self.shape.version.clone(),
                adapters: self.adapters.clone(),
            }],
            role: self.role.clone(),
            slots: self.shape.slots,
            load: self
                .loads
                .front()
                .map_or_else(|| self.load(), |(_, load)| *load),
            leaving: self.leaving,
            next_seq: events.last().map_or(since, |event| event.seq + 1),
            events,
        }
    }

    fn order(&mut self, order: Order) -> Result<(), u64> {
        if self.shape.checks_fencing && order.fencing < self.highest_fencing {
            self.totals.refused_orders += 1;
            return Err(self.highest_fencing);
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        if self.totals.orders.iter().any(|done| done.id == order.id) {
            return Ok(());
        }
        match &order.action {
            Action::Load { version, .. } => self.shape.version = version.clone(),
            Action::Adapter { adapter } => self.adapters.push(adapter.clone()),
            Action::Role { role } => self.role = role.clone(),
        }
        self.totals.orders.push(order);
        Ok(())
    }

    fn admit(&mut self) {
        while self.batch.len() < self.shape.slots as usize {
            let next = (0..self.queue.len()).min_by_key(|&index| {
                let sequence = &self.queue[index];
                (sequence.request.priority, sequence.arrived)
            });
            let Some(mut sequence) = next.and_then(|index| self.queue.remove(index)) else {
                return;
            };
            let cached = self.read_prefix(&sequence.request.prompt);
            let prompt = prefix::tokens(&sequence.request.prompt);
            let resumed = sequence.request.resume_tokens.len() as u32;
            // The last prompt token is always read, because it gives the first output token.
            sequence.prefill_left = (prompt.saturating_sub(cached) + resumed).max(1);
            sequence.prefilled = sequence.prefill_left;
            self.totals.prefilled += u64::from(sequence.prefill_left);
            self.totals.cached += u64::from(cached);
            self.batch.push(sequence);
        }
    }

    fn read_prefix(&mut self, prompt: &str) -> u32 {
        let mut cached = 0;
        let mut is_prefix = true;
        for block in prefix::blocks(prompt) {
            if self.cache.touch(block) {
                cached += u32::from(is_prefix);
            } else {
                is_prefix = false;
                self.publish(block, true);
            }
        }
        while let Some(block) = self.cache.evict(self.shape.cache_blocks) {
            self.publish(block, false);
        }
        cached * (prefix::BLOCK_BYTES / prefix::BYTES_PER_TOKEN) as u32
    }

    fn publish(&mut self, block: u64, stored: bool) {
        let event = wire::Event {
            seq: self.next_seq,
            stored,
            block,
        };
        self.next_seq += 1;
        if !self.chance.happens(self.shape.event_loss) {
            self.events.push_back((Instant::now(), event));
        }
        if self.events.len() > 2 * self.shape.cache_blocks {
            self.events.pop_front();
        }
    }

    async fn step(&mut self) {
        let mut prefill_budget = PREFILL_TOKENS_PER_STEP;
        let mut prefilled = 0;
        let decoding = self
            .batch
            .iter()
            .filter(|sequence| !sequence.is_prefilling())
            .count() as u32;
        for sequence in self.batch.iter_mut().filter(|s| s.is_prefilling()) {
            let read = sequence.prefill_left.min(prefill_budget);
            sequence.prefill_left -= read;
            prefill_budget -= read;
            prefilled += read;
        }
        let time = self.shape.step
            + self.shape.step_per_stream * decoding
            + self.shape.prefill_per_token * prefilled;
        compio::time::sleep(time).await;
        self.step_us = time.as_micros() as u32;
        let load = self.load();
        let mut index = 0;
        while index < self.batch.len() {
            if self.batch[index].is_prefilling() {
                index += 1;
                continue;
            }
            match self.advance(index, load) {
                Progress::Running => index += 1,
                Progress::Ended(state) => self.end(index, state),
            }
        }
    }

    fn end(&mut self, index: usize, state: wire::Phase) {
        let sequence = self.batch.swap_remove(index);
        if state == wire::Phase::Unknown {
            self.totals.cancelled += 1;
            return;
        }
        let stream = wire::Stream {
            state,
            attempt: sequence.request.attempt,
            position: sequence.next,
        };
        self.finished
            .push_back((sequence.request.request_id, stream));
        if self.finished.len() > REMEMBERED_STREAMS {
            self.finished.pop_front();
        }
    }

    fn advance(&mut self, index: usize, load: wire::Load) -> Progress {
        let sequence = &mut self.batch[index];
        if sequence.sender.is_closed() {
            return Progress::Ended(wire::Phase::Unknown);
        }
        let mut frame = wire::Frame {
            request_id: sequence.request.request_id.clone(),
            attempt: sequence.request.attempt,
            model_version: sequence.version.clone(),
            sampler: wire::COUNTER_SAMPLER.into(),
            position: sequence.next,
            tokens: vec![sequence.sampler.token(sequence.next)],
            text: sampler::text(sequence.sampler.token(sequence.next)),
            finish_reason: None,
            prefilled: (sequence.produced() == 0).then_some(sequence.prefilled),
            load: sequence
                .steps
                .is_multiple_of(STEPS_PER_LOAD)
                .then_some(load),
        };
        for fault in &sequence.faults {
            match *fault {
                Fault::Die(after) if sequence.produced() >= after => std::process::exit(137),
                Fault::Stall(after) if sequence.produced() >= after => return Progress::Running,
                Fault::Silent(after) if sequence.produced() >= after => {
                    sequence.next = (sequence.next + 1).min(sequence.request.max_tokens);
                    return Progress::Running;
                }
                Fault::Foreign(after) if sequence.produced() >= after => {
                    let stranger = hash64(&[frame.request_id.as_bytes()]);
                    frame.request_id = compact_str::format_compact!("{stranger:016x}");
                }
                Fault::Late(ms)
                    if sequence.arrived.elapsed() < Duration::from_millis(ms.into()) =>
                {
                    return Progress::Running;
                }
                _ => {}
            }
        }
        let is_last = sequence.next + 1 >= sequence.request.max_tokens;
        if is_last {
            frame.finish_reason = Some("length".into());
        }
        // A full buffer means a slow reader: the stream pauses and the token is made again later.
        if sequence.sender.try_send(frame).is_err() {
            return Progress::Running;
        }
        sequence.next += 1;
        sequence.steps += 1;
        self.totals.decoded += 1;
        if is_last {
            return Progress::Ended(wire::Phase::Done);
        }
        Progress::Running
    }
}

enum Progress {
    Running,
    Ended(wire::Phase),
}

struct Front {
    sender: mpsc::UnboundedSender<Message>,
    streams: Group,
}

#[derive(Deserialize)]
struct Cancel {
    request_id: CompactString,
    attempt: u32,
}

impl Front {
    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.unbounded_send(make(reply)).ok()?;
        answer.await.ok()
    }

    async fn complete(&self, request: wire::Request) -> Response<Body> {
        let started = self.ask(|reply| Message::Start(request, reply)).await;
        let mut frames = match started {
            Some(Ok(frames)) => frames,
            Some(Err(problem)) => {
                let status = problem.status;
                let mut response = problem.into_response();
                *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
                return response;
            }
            None => return text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        };
        let (mut writer, body) = Body::pieces();
        self.streams.spawn(async move {
            while let Some(frame) = frames.next().await {
                let data = serde_json::to_string(&frame).expect("a frame serializes");
                if writer.send(sse::encode("", "", &data)).await.is_err() {
                    return;
                }
                if frame.finish_reason.is_some() {
                    let _ = writer.send(sse::encode("", "", "[DONE]")).await;
                }
            }
        });
        Response::builder()
            .header(hyper::header::CONTENT_TYPE, "text/event-stream")
            .body(body)
            .expect("the headers are valid")
    }

    async fn post(&self, path: &str, body: &[u8]) -> Response<Body> {
        let bad = |err: serde_json::Error| text_response(StatusCode::BAD_REQUEST, err.to_string());
        match path {
            "/v1/completions" => match serde_json::from_slice(body) {
                Ok(request) => self.complete(request).await,
                Err(err) => bad(err),
            },
            "/v1/cancel" => match serde_json::from_slice::<Cancel>(body) {
                Ok(cancel) => {
                    let message = Message::Cancel(cancel.request_id, cancel.attempt);
                    let _ = self.sender.unbounded_send(message);
                    text_response(StatusCode::OK, "")
                }
                Err(err) => bad(err),
            },
            "/v1/orders" => match serde_json::from_slice(body) {
                Ok(order) => match self.ask(|reply| Message::Order(order, reply)).await {
                    Some(Ok(())) => text_response(StatusCode::OK, ""),
                    Some(Err(highest)) => text_response(
                        StatusCode::CONFLICT,
                        format!("fencing number below {highest}"),
                    ),
                    None => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
                },
                Err(err) => bad(err),
            },
            "/v1/emulation/leave" => {
                let _ = self.sender.unbounded_send(Message::Leave);
                text_response(StatusCode::OK, "")
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn get(&self, path: &str, query: &str) -> Response<Body> {
        let stopping = || text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        if let Some(id) = path.strip_prefix("/v1/streams/") {
            let answer = self.ask(|reply| Message::Query(id.into(), reply)).await;
            return answer.map_or_else(stopping, |stream| json_response(&stream));
        }
        match path {
            "/v1/status" => {
                let since = query
                    .strip_prefix("since=")
                    .and_then(|since| since.parse().ok())
                    .unwrap_or(0);
                let answer = self.ask(|reply| Message::Status(since, reply)).await;
                answer.map_or_else(stopping, |status| json_response(&status))
            }
            "/v1/emulation/totals" => {
                let answer = self.ask(Message::Totals).await;
                answer.map_or_else(stopping, |totals| json_response(&totals))
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl server::Service for Front {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        if head.method == Method::GET {
            return self
                .get(head.uri.path(), head.uri.query().unwrap_or(""))
                .await;
        }
        match body.collect().await {
            Ok(body) => self.post(head.uri.path(), &body.to_bytes()).await,
            Err(err) => text_response(StatusCode::BAD_REQUEST, err.to_string()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against faults that hit attempts they were not meant for.
    #[test]
    fn faults_of_an_attempt() {
        let prompt = "a [fault die@5/1] b [fault late@20]";
        assert_eq!(faults(prompt, 1), [Fault::Die(5), Fault::Late(20)]);
        assert_eq!(faults(prompt, 2), [Fault::Late(20)]);
    }
}
