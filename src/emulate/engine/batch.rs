//! Continuous batching: sequences that decode together.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_channel::mpsc;
use futures_util::StreamExt;
use hyper::StatusCode;

use super::cache::Cache;
use super::fault::{Fault, faults};
use super::{Message, Shape, Totals};
use crate::emulate::{Random, sampler};
use crate::http::problem::{Problem, Reason};
use crate::route::prefix;
use crate::supervisor::Signal;
use crate::util::hash64;
use crate::wire::{self, Action, Order};

/// Tokens of prompt that one step reads.
const PREFILL_TOKENS_PER_STEP: u32 = 512;

/// Frames that wait for a slow reader before the stream pauses.
const BUFFERED_FRAMES: usize = 64;

/// Finished streams that are remembered.
const REMEMBERED_STREAMS: usize = 256;

/// Steps between two reports of load on a stream.
const STEPS_PER_LOAD: u32 = 8;

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

/// The sequences of an engine, which decode together one step at a time.
pub(super) struct Batch {
    shape: Shape,
    messages: mpsc::UnboundedReceiver<Message>,
    random: Random,
    queue: VecDeque<Sequence>,
    running: Vec<Sequence>,
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

impl Batch {
    /// Creates an empty batch.
    pub(super) fn new(shape: Shape, messages: mpsc::UnboundedReceiver<Message>) -> Self {
        Self {
            random: Random::new(shape.seed),
            shape,
            messages,
            queue: VecDeque::new(),
            running: Vec::new(),
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
        }
    }

    /// Runs steps until `stop` is given.
    pub(super) async fn run(mut self, stop: Signal) {
        loop {
            while let Ok(message) = self.messages.try_recv() {
                self.handle(message);
            }
            self.admit();
            if self.running.is_empty() {
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
        let before = self.queue.len() + self.running.len();
        self.queue.retain(|sequence| !matches(sequence));
        self.running.retain(|sequence| !matches(sequence));
        self.totals.cancelled += (before - self.queue.len() - self.running.len()) as u64;
    }

    fn query(&self, id: &str) -> wire::Stream {
        let stream = |state, sequence: &Sequence| wire::Stream {
            state,
            attempt: sequence.request.attempt,
            position: sequence.next,
        };
        let of_id = |sequence: &&Sequence| sequence.request.request_id == id;
        if let Some(sequence) = self.running.iter().find(of_id) {
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
            running: self.running.len() as u32,
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
        while self.running.len() < self.shape.slots as usize {
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
            self.running.push(sequence);
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
        if !self.random.random_bool(self.shape.event_loss) {
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
            .running
            .iter()
            .filter(|sequence| !sequence.is_prefilling())
            .count() as u32;
        for sequence in self.running.iter_mut().filter(|s| s.is_prefilling()) {
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
        while index < self.running.len() {
            if self.running[index].is_prefilling() {
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
        let sequence = self.running.swap_remove(index);
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
        let sequence = &mut self.running[index];
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
