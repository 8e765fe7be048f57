//! Continuous batching: requests join and leave the batch between decoding steps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_channel::mpsc;
use futures_util::StreamExt;
use hyper::StatusCode;

use super::cache::Cache;
use super::fault::{self, Fault};
use super::{Config, Message, Totals};
use crate::emulate::{Random, sampler};
use crate::http::problem::{Problem, Reason};
use crate::route::prefix;
use crate::supervisor::Signal;
use crate::util::hash64;
use crate::wire::{self, Action, Order};

/// Maximum number of tokens that one step prefills.
const PREFILL_TOKENS_PER_STEP: u32 = 512;

/// Maximum number of frames that wait for a slow reader; then the stream pauses.
const BUFFERED_FRAMES_MAX: usize = 64;

/// Maximum number of finished streams whose state can still be queried.
const FINISHED_STREAMS_MAX: usize = 256;

/// A frame carries the load if the number of frames sent before it is a multiple of this.
const FRAMES_PER_LOAD: u32 = 8;

/// A request in the queue or in the batch.
struct Sequence {
    request: wire::Request,
    version: CompactString,
    sampler: sampler::Sampler,
    faults: Vec<Fault>,
    arrived_at: Instant,
    // Prompt and resumed tokens that remain to be prefilled.
    prefill_left: u32,
    // Prompt and resumed tokens that had to be prefilled in total.
    prefill_total: u32,
    // Output position of the next token.
    next_position: u32,
    sender: mpsc::Sender<wire::Frame>,
    frames_sent: u32,
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

    /// Returns the number of tokens that this attempt has produced.
    fn produced(&self) -> u32 {
        self.next_position - self.request.resume_tokens.len() as u32
    }
}

/// State of an emulated engine: its queue, its batch and its prefix cache.
pub(super) struct Batch {
    config: Config,
    messages: mpsc::UnboundedReceiver<Message>,
    random: Random,
    queue: VecDeque<Sequence>,
    // The sequences in the batch.
    running: Vec<Sequence>,
    // Request id and final state of finished streams, oldest first.
    finished: VecDeque<(CompactString, wire::StreamStatus)>,
    cache: Cache,
    // Cache events that were not lost, oldest first.
    cache_events: VecDeque<(Instant, wire::CacheEvent)>,
    next_seq: u64,
    // Load at the time of each status query, oldest first.
    loads: VecDeque<(Instant, wire::Load)>,
    step_us: u32,
    is_leaving: bool,
    role: CompactString,
    adapters: Vec<CompactString>,
    highest_fencing: u64,
    totals: Totals,
}

impl Batch {
    /// Creates an empty batch.
    pub(super) fn new(config: Config, messages: mpsc::UnboundedReceiver<Message>) -> Self {
        Self {
            random: Random::new(config.seed),
            config,
            messages,
            queue: VecDeque::new(),
            running: Vec::new(),
            finished: VecDeque::new(),
            cache: Cache::default(),
            cache_events: VecDeque::new(),
            next_seq: 0,
            loads: VecDeque::new(),
            step_us: 0,
            is_leaving: false,
            role: "serve".into(),
            adapters: Vec::new(),
            highest_fencing: 0,
            totals: Totals::default(),
        }
    }

    /// Runs decoding steps; ends once `stop` is set and the batch is empty.
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
                self.cancel(|sequence| {
                    sequence.request.request_id == id && sequence.request.attempt <= attempt
                });
            }
            Message::Query(id, reply) => {
                let _ = reply.send(self.stream(&id));
            }
            Message::Status(since, reply) => {
                let _ = reply.send(self.status(since));
            }
            Message::Order(order, reply) => {
                let _ = reply.send(self.apply_order(order));
            }
            Message::Totals(reply) => {
                let _ = reply.send(self.totals.clone());
            }
            Message::Leave => self.is_leaving = true,
        }
    }

    /// Queues a request and cancels older attempts of it; returns the channel of its frames.
    fn start(&mut self, request: wire::Request) -> Result<mpsc::Receiver<wire::Frame>, Problem> {
        self.check(&request)?;
        let id = request.request_id.clone();
        self.cancel(|sequence| {
            sequence.request.request_id == id && sequence.request.attempt < request.attempt
        });
        if self.queue.len() >= self.config.queue_limit as usize {
            let problem = Problem::not_run(Reason::QueueFull, "the engine's queue is full");
            return Err(problem.retry_after(Duration::from_secs(1)));
        }
        let (sender, receiver) = mpsc::channel(BUFFERED_FRAMES_MAX);
        let version = self.config.version.clone();
        self.queue.push_back(Sequence {
            sampler: sampler::Sampler::new(&request.model, &version, &request.prompt, request.seed),
            faults: fault::parse(&request.prompt, request.attempt),
            version,
            arrived_at: Instant::now(),
            prefill_left: 0,
            prefill_total: 0,
            next_position: request.resume_tokens.len() as u32,
            sender,
            frames_sent: 0,
            request,
        });
        self.totals.started += 1;
        Ok(receiver)
    }

    /// Refuses a request that the engine cannot run.
    fn check(&self, request: &wire::Request) -> Result<(), Problem> {
        if self.is_leaving {
            let detail = "the engine is leaving; use another engine";
            return Err(Problem::not_run(Reason::Leaving, detail));
        }
        if request.model != self.config.model {
            let detail = format!("the engine serves model {}", self.config.model);
            return Err(Problem::not_run(Reason::UnknownModel, detail));
        }
        match &request.model_version {
            Some(version) if *version != self.config.version => {
                let detail = format!("the engine has version {}", self.config.version);
                let mut problem = Problem::not_run(Reason::VersionGone, detail);
                problem.status = StatusCode::CONFLICT.as_u16();
                Err(problem)
            }
            _ => Ok(()),
        }
    }

    /// Removes the sequences that match from queue and batch.
    fn cancel(&mut self, matches: impl Fn(&Sequence) -> bool) {
        let len_before = self.queue.len() + self.running.len();
        self.queue.retain(|sequence| !matches(sequence));
        self.running.retain(|sequence| !matches(sequence));
        self.totals.cancelled += (len_before - self.queue.len() - self.running.len()) as u64;
    }

    /// Returns the state of the stream of a request.
    fn stream(&self, id: &str) -> wire::StreamStatus {
        let stream_of = |state, sequence: &Sequence| wire::StreamStatus {
            state,
            attempt: sequence.request.attempt,
            position: sequence.next_position,
        };
        let has_id = |sequence: &&Sequence| sequence.request.request_id == id;
        if let Some(sequence) = self.running.iter().find(has_id) {
            return stream_of(sequence.phase(), sequence);
        }
        if let Some(sequence) = self.queue.iter().find(has_id) {
            return stream_of(wire::Phase::Queued, sequence);
        }
        let finished = self
            .finished
            .iter()
            .rev()
            .find(|(finished_id, _)| finished_id == id);
        finished.map_or(
            wire::StreamStatus {
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

    /// Returns the status. Its load and cache events are at least as old as the configured lag; the
    /// events start at sequence number `since`.
    fn status(&mut self, since: u64) -> wire::Status {
        let now = Instant::now();
        let lag = self.config.status_lag;
        let is_visible = |at: Instant| now.duration_since(at) >= lag;
        self.loads.push_back((now, self.load()));
        while self.loads.len() > 1 && is_visible(self.loads[1].0) {
            self.loads.pop_front();
        }
        let events: Vec<_> = self
            .cache_events
            .iter()
            .filter(|(at, event)| event.seq >= since && is_visible(*at))
            .map(|(_, event)| *event)
            .collect();
        wire::Status {
            name: self.config.name.clone(),
            failure_domain: self.config.failure_domain.clone(),
            models: vec![wire::Model {
                model: self.config.model.clone(),
                version: self.config.version.clone(),
                adapters: self.adapters.clone(),
            }],
            role: self.role.clone(),
            slots: self.config.slots,
            load: self
                .loads
                .front()
                .map_or_else(|| self.load(), |(_, load)| *load),
            leaving: self.is_leaving,
            next_seq: events.last().map_or(since, |event| event.seq + 1),
            events,
        }
    }

    /// Carries out an order unless it is already done; the error is the highest fencing number
    /// known.
    fn apply_order(&mut self, order: Order) -> Result<(), u64> {
        if self.config.checks_fencing && order.fencing < self.highest_fencing {
            self.totals.refused_orders += 1;
            return Err(self.highest_fencing);
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        if self.totals.orders.iter().any(|done| done.id == order.id) {
            return Ok(());
        }
        match &order.action {
            Action::Load { version, .. } => self.config.version = version.clone(),
            Action::Adapter { adapter } => self.adapters.push(adapter.clone()),
            Action::Role { role } => self.role = role.clone(),
        }
        self.totals.orders.push(order);
        Ok(())
    }

    /// Moves requests from the queue to the batch, by priority and then by arrival.
    fn admit(&mut self) {
        while self.running.len() < self.config.slots as usize {
            let next = (0..self.queue.len()).min_by_key(|&index| {
                let sequence = &self.queue[index];
                (sequence.request.priority, sequence.arrived_at)
            });
            let Some(mut sequence) = next.and_then(|index| self.queue.remove(index)) else {
                return;
            };
            let cached = self.cache_prompt(&sequence.request.prompt);
            let prompt_tokens = prefix::tokens(&sequence.request.prompt);
            let resumed = sequence.request.resume_tokens.len() as u32;
            // At least one token is prefilled even if all are cached: it yields the next output
            // token.
            sequence.prefill_left = (prompt_tokens.saturating_sub(cached) + resumed).max(1);
            sequence.prefill_total = sequence.prefill_left;
            self.totals.prefilled += u64::from(sequence.prefill_left);
            self.totals.cached += u64::from(cached);
            self.running.push(sequence);
        }
    }

    /// Stores the blocks of a prompt in the cache; returns the number of tokens in the leading
    /// blocks that were cached before.
    fn cache_prompt(&mut self, prompt: &str) -> u32 {
        let mut cached_blocks = 0;
        let mut are_all_cached = true;
        for block in prefix::blocks(prompt) {
            if self.cache.insert(block) {
                cached_blocks += u32::from(are_all_cached);
            } else {
                are_all_cached = false;
                self.publish(block, true);
            }
        }
        while let Some(block) = self.cache.evict(self.config.cache_blocks) {
            self.publish(block, false);
        }
        cached_blocks * (prefix::BLOCK_BYTES / prefix::BYTES_PER_TOKEN) as u32
    }

    /// Records a cache event for the status, unless it is lost.
    fn publish(&mut self, block: u64, stored: bool) {
        let event = wire::CacheEvent {
            seq: self.next_seq,
            stored,
            block,
        };
        self.next_seq += 1;
        if !self.random.random_bool(self.config.event_loss) {
            self.cache_events.push_back((Instant::now(), event));
        }
        if self.cache_events.len() > 2 * self.config.cache_blocks {
            self.cache_events.pop_front();
        }
    }

    /// Runs one step: prefills waiting prompts and decodes one token of each other sequence. A
    /// sequence whose prefill ends in this step decodes its first token in this step too.
    async fn step(&mut self) {
        let mut prefill_budget = PREFILL_TOKENS_PER_STEP;
        let mut prefilled = 0;
        let decoding = self
            .running
            .iter()
            .filter(|sequence| !sequence.is_prefilling())
            .count() as u32;
        for sequence in self.running.iter_mut().filter(|s| s.is_prefilling()) {
            let tokens = sequence.prefill_left.min(prefill_budget);
            sequence.prefill_left -= tokens;
            prefill_budget -= tokens;
            prefilled += tokens;
        }
        let time = self.config.step_base
            + self.config.step_per_stream * decoding
            + self.config.prefill_per_token * prefilled;
        compio::time::sleep(time).await;
        self.step_us = time.as_micros() as u32;
        let load = self.load();
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].is_prefilling() {
                index += 1;
                continue;
            }
            match self.decode(index, load) {
                Progress::Running => index += 1,
                Progress::Ended(state) => self.finish(index, state),
            }
        }
    }

    /// Removes a sequence from the batch. `state` is `Unknown` if its reader disconnected.
    fn finish(&mut self, index: usize, state: wire::Phase) {
        let sequence = self.running.swap_remove(index);
        if state == wire::Phase::Unknown {
            self.totals.cancelled += 1;
            return;
        }
        let stream = wire::StreamStatus {
            state,
            attempt: sequence.request.attempt,
            position: sequence.next_position,
        };
        self.finished
            .push_back((sequence.request.request_id, stream));
        if self.finished.len() > FINISHED_STREAMS_MAX {
            self.finished.pop_front();
        }
    }

    /// Decodes and sends the next token of a sequence, or applies its faults.
    fn decode(&mut self, index: usize, load: wire::Load) -> Progress {
        let sequence = &mut self.running[index];
        if sequence.sender.is_closed() {
            return Progress::Ended(wire::Phase::Unknown);
        }
        let mut frame = wire::Frame {
            request_id: sequence.request.request_id.clone(),
            attempt: sequence.request.attempt,
            model_version: sequence.version.clone(),
            sampler: wire::COUNTER_SAMPLER.into(),
            position: sequence.next_position,
            tokens: vec![sequence.sampler.token(sequence.next_position)],
            text: sampler::text(sequence.sampler.token(sequence.next_position)),
            finish_reason: None,
            prefilled: (sequence.produced() == 0).then_some(sequence.prefill_total),
            load: sequence
                .frames_sent
                .is_multiple_of(FRAMES_PER_LOAD)
                .then_some(load),
        };
        for fault in &sequence.faults {
            match *fault {
                // 137 is the exit status that a shell reports for a process killed by SIGKILL.
                Fault::Die(after) if sequence.produced() >= after => std::process::exit(137),
                Fault::Stall(after) if sequence.produced() >= after => return Progress::Running,
                Fault::Silent(after) if sequence.produced() >= after => {
                    sequence.next_position =
                        (sequence.next_position + 1).min(sequence.request.max_tokens);
                    return Progress::Running;
                }
                Fault::Foreign(after) if sequence.produced() >= after => {
                    let other_id = hash64(&[frame.request_id.as_bytes()]);
                    frame.request_id = compact_str::format_compact!("{other_id:016x}");
                }
                Fault::Late(ms)
                    if sequence.arrived_at.elapsed() < Duration::from_millis(ms.into()) =>
                {
                    return Progress::Running;
                }
                _ => {}
            }
        }
        let is_last = sequence.next_position + 1 >= sequence.request.max_tokens;
        if is_last {
            frame.finish_reason = Some("length".into());
        }
        // A full buffer means a slow reader: the next step tries to send the same token again.
        if sequence.sender.try_send(frame).is_err() {
            return Progress::Running;
        }
        sequence.next_position += 1;
        sequence.frames_sent += 1;
        self.totals.decoded += 1;
        if is_last {
            return Progress::Ended(wire::Phase::Done);
        }
        Progress::Running
    }
}

/// State of a sequence after a step.
enum Progress {
    Running,
    Ended(wire::Phase),
}
