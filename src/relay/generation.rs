//! The state of one generation, free of sockets: events in, actions out.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::event::{Action, Event, Fault};
use super::{Shared, killer, pace};
use crate::dispatch::{Health, Placement};
use crate::http::problem::{Problem, Reason};
use crate::route::fleet::Engine;
use crate::wire::{self, Phase, Work};

/// Longest wait for the answer to a question about a stream.
pub const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Silence before the first frame of a resumed attempt, after which the engine is asked. The
/// caller already waits, so it is shorter than the limit of an engine with unknown pace.
const RESUMED_LIMIT: Duration = Duration::from_millis(400);

/// Time for frames on the way to arrive after the engine showed a position ahead of ours.
const GRACE: Duration = Duration::from_millis(40);

/// Time between two questions about a stream that waits or is being prefilled.
const WAIT_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest and longest time between two questions that show no progress. A single step of a batch
/// with a long prefill can take most of a second, so a shorter time would take it for a stall; with
/// a longer one the pause after a stall could exceed 4 s.
const STALL_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(1000), Duration::from_millis(1500));

/// Questions without progress that show a stall.
const STALL_PROBES: u32 = 2;

/// A tick later than this means that this process did not run, so that silence proves nothing.
const LATE: Duration = Duration::from_millis(50);

/// Late ticks in a row that are excused; on a host that is always late silence must count.
const LATE_MAX: u32 = 3;

/// Time for which an engine that broke an attempt is not used again if others live.
const EXCLUSIVE_LIMIT: Duration = Duration::from_millis(700);

/// Time for which an engine that broke an attempt stays excluded.
const EXCLUSION: Duration = Duration::from_secs(10);

/// Longest time without a new token before a generation is given up.
const RESUME_LIMIT: Duration = Duration::from_secs(20);

/// Delay before an attempt after one without a token; doubles with each.
const BACKOFF: Duration = Duration::from_millis(25);

/// Longest such delay.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Broken attempts of one generation before it is given up.
const BREAKS_MAX: u32 = 16;

/// Tokens of one attempt after which earlier broken attempts no longer count.
const SOUND_TOKENS: u32 = 256;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Watch {
    /// Frames arrive, or are not overdue.
    Quiet,
    /// An answer is awaited.
    Probing { probe: u32, since: Instant },
    /// The engine is ahead; frames on the way may still arrive.
    Ahead,
}

#[derive(Clone, Debug)]
struct Attempt {
    placement: Placement,
    // Instant of the last frame, or of the start.
    last: Instant,
    // Frames accepted so far.
    frames: u32,
    // Tokens accepted so far.
    tokens: u32,
    watch: Watch,
    // When to ask next, or when the grace ends.
    check_at: Instant,
    // Questions in a row that showed no progress.
    unchanged: u32,
    late: u32,
}

#[derive(Clone, Debug)]
enum State {
    /// Nothing was placed yet.
    New,
    /// Waits until an attempt may start, on the same engine if given.
    Delayed {
        until: Instant,
        same: Option<Placement>,
    },
    /// Waits to learn whether the engine died.
    Autopsy { probe: u32, delay: Duration },
    /// Waits for a place.
    Placing { exclusive: bool },
    /// An attempt runs.
    Running(Box<Attempt>),
    /// The generation ended.
    Ended,
}

/// One generation.
#[derive(Clone, Debug)]
pub struct Generation {
    request: wire::Request,
    // Invariant: equal to the tokens emitted since the last restart, in order, after those that
    // the caller had before.
    tokens: Vec<u32>,
    // Set by the first placement; later attempts must have the same version.
    version: Option<CompactString>,
    // Set by the first frame; no continuation is possible unless it is the counter sampler.
    is_counter: Option<bool>,
    // Whether emitted tokens reach the caller at once, so that they cannot be taken back.
    is_streamed: bool,
    prompt: u64,
    state: State,
    excluded: Vec<(Engine, Instant)>,
    // Broken attempts since the last sound one.
    breaks: u32,
    // Attempts in a row without a token.
    fruitless: u32,
    // When output stopped, if it did.
    stopped_at: Option<Instant>,
    last_probe: u32,
    // Questions of broken attempts whose engine may have died.
    autopsies: Vec<u32>,
    may_have_run: bool,
    stale: u64,
    resumes: u32,
    prefilled: u64,
}

impl Generation {
    /// Starts the state of a request; `request.resume_tokens` are already with the caller.
    ///
    /// Emitted tokens of a streamed generation reach the caller at once.
    pub fn new(request: wire::Request, is_streamed: bool) -> Self {
        Self {
            tokens: request.resume_tokens.clone(),
            version: request.model_version.clone(),
            prompt: killer::digest(&request.model, &request.prompt),
            request,
            is_counter: None,
            is_streamed,
            state: State::New,
            excluded: Vec::new(),
            breaks: 0,
            fruitless: 0,
            stopped_at: None,
            last_probe: 0,
            autopsies: Vec::new(),
            may_have_run: false,
            stale: 0,
            resumes: 0,
            prefilled: 0,
        }
    }

    /// Returns the request of the current attempt.
    pub fn request(&self) -> wire::Request {
        wire::Request {
            model_version: self.version.clone(),
            resume_tokens: self.tokens.clone(),
            ..self.request.clone()
        }
    }

    /// Returns the tokens sent to the caller.
    pub fn tokens(&self) -> &[u32] {
        &self.tokens
    }

    /// Returns the version of the generation, once known.
    pub fn version(&self) -> Option<&CompactString> {
        self.version.as_ref()
    }

    /// Returns the tokens prefilled by all attempts.
    pub fn prefilled(&self) -> u64 {
        self.prefilled
    }

    /// Returns the number of the current attempt.
    pub fn attempt(&self) -> u32 {
        self.request.attempt
    }

    /// Returns the number of attempts that took a generation over.
    pub fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Returns the number of frames that belonged to other attempts.
    pub fn stale(&self) -> u64 {
        self.stale
    }

    /// Returns when [`Event::Tick`] is due, if ever.
    pub fn deadline(&self) -> Option<Instant> {
        match &self.state {
            State::Delayed { until, .. } => Some(*until),
            State::Running(attempt) => match attempt.watch {
                Watch::Probing { .. } => None,
                Watch::Quiet | Watch::Ahead => Some(attempt.check_at),
            },
            _ => None,
        }
    }

    /// Takes an event and returns what to do, in order.
    pub fn handle(&mut self, event: Event, now: Instant, shared: &mut Shared) -> Vec<Action> {
        let mut actions = Vec::new();
        let out = &mut actions;
        match event {
            Event::Placed(placement) => self.placed(placement, now, shared, out),
            Event::Unplaced => self.unplaced(now, out),
            Event::Frame { attempt, frame } => self.frame(attempt, frame, now, shared, out),
            Event::Closed { attempt, sent } if self.is_current(attempt) => {
                let fault = match sent {
                    true => Fault::Died,
                    false => Fault::Unreachable,
                };
                self.broken(fault, now, shared, out);
            }
            Event::Refused { attempt, leaving } if self.is_current(attempt) => {
                self.refused(leaving, now, out);
            }
            Event::Paused { attempt } if self.is_current(attempt) => self.paused(now, out),
            Event::Probed { probe, answer } => self.probed(probe, answer, now, shared, out),
            Event::Drained => self.drained(now, shared),
            Event::Tick => self.tick(now, shared, out),
            Event::Gone => self.abandon(out),
            Event::Closed { .. } | Event::Refused { .. } | Event::Paused { .. } => {}
        }
        actions
    }

    fn is_current(&self, attempt: u32) -> bool {
        matches!(self.state, State::Running(_)) && attempt == self.request.attempt
    }

    fn placed(
        &mut self,
        placement: Placement,
        now: Instant,
        shared: &Shared,
        out: &mut Vec<Action>,
    ) {
        if !matches!(self.state, State::New | State::Placing { .. }) {
            return;
        }
        if shared.killers.is_killer(self.prompt, now) {
            return self.fail_killer(out);
        }
        if self.version.is_none() && !placement.version.is_empty() {
            self.version = Some(placement.version.clone());
        }
        self.start(placement, now, out);
    }

    fn start(&mut self, placement: Placement, now: Instant, out: &mut Vec<Action>) {
        self.request.attempt += 1;
        let is_resumed = self.breaks > 0 && self.stopped_at.is_some();
        self.resumes += u32::from(is_resumed);
        let limit = match is_resumed {
            true => RESUMED_LIMIT,
            false => pace::CEILING,
        };
        self.state = State::Running(Box::new(Attempt {
            placement: placement.clone(),
            last: now,
            frames: 0,
            tokens: 0,
            watch: Watch::Quiet,
            check_at: now + limit,
            unchanged: 0,
            late: 0,
        }));
        out.push(Action::Start(placement));
    }

    fn unplaced(&mut self, now: Instant, out: &mut Vec<Action>) {
        let State::Placing { exclusive } = self.state else {
            return;
        };
        let stopped_at = *self.stopped_at.get_or_insert(now);
        let left = RESUME_LIMIT.saturating_sub(now.duration_since(stopped_at));
        if !exclusive || left.is_zero() {
            return self.fail_unplaced(out);
        }
        self.excluded.clear();
        if self.can_restart() {
            self.restart(out);
        }
        self.state = State::Placing { exclusive: false };
        out.push(Action::Place {
            version: self.version.clone(),
            excluded: Vec::new(),
            limit: left,
        });
    }

    fn can_restart(&self) -> bool {
        self.request.resume_tokens.is_empty() && (!self.is_streamed || self.tokens.is_empty())
    }

    /// Gives up output and version, so that any engine of the model can go on.
    fn restart(&mut self, out: &mut Vec<Action>) {
        if !self.tokens.is_empty() {
            out.push(Action::Restart);
        }
        self.tokens.clear();
        self.version = None;
        self.is_counter = None;
    }

    fn frame(
        &mut self,
        attempt: u32,
        frame: wire::Frame,
        now: Instant,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        if !self.is_current(attempt) || frame.attempt != attempt {
            self.stale += 1;
            return;
        }
        if let Some(fault) = self.fault_of(&frame) {
            return self.broken(fault, now, shared, out);
        }
        let State::Running(running) = &mut self.state else {
            return;
        };
        let count = frame.tokens.len() as u32;
        let engine = running.placement.engine;
        if running.frames > 0 && count > 0 {
            let gap = now.duration_since(running.last) / count;
            shared.pace.observe(engine, gap);
        }
        running.last = now;
        running.frames += 1;
        running.tokens += count;
        running.watch = Watch::Quiet;
        running.unchanged = 0;
        running.late = 0;
        running.check_at = now + shared.pace.limit(engine);
        if running.tokens >= SOUND_TOKENS {
            self.breaks = 0;
        }
        if count > 0 {
            self.fruitless = 0;
            self.stopped_at = None;
        }
        self.may_have_run = true;
        self.is_counter = Some(frame.sampler == wire::COUNTER_SAMPLER);
        if self.version.is_none() {
            self.version = Some(frame.model_version.clone());
        }
        self.tokens.extend(&frame.tokens);
        self.prefilled += u64::from(frame.prefilled.unwrap_or(0));
        let is_last = frame.finish_reason.is_some();
        out.push(Action::Emit(frame));
        if is_last {
            shared.killers.cleared(self.prompt);
            self.state = State::Ended;
            out.push(Action::Finish);
        }
    }

    fn fault_of(&self, frame: &wire::Frame) -> Option<Fault> {
        if frame.request_id != self.request.request_id {
            return Some(Fault::Foreign);
        }
        let end = frame.position as usize + frame.tokens.len();
        if frame.position as usize != self.tokens.len() || end > self.request.max_tokens as usize {
            return Some(Fault::Position);
        }
        let version = self.version.as_ref();
        if version.is_some_and(|version| *version != frame.model_version) {
            return Some(Fault::Version);
        }
        let is_counter = frame.sampler == wire::COUNTER_SAMPLER;
        let must_continue = !self.tokens.is_empty();
        let is_other = self.is_counter.is_some_and(|known| known != is_counter);
        (must_continue && (is_other || !is_counter && self.is_counter.is_none()))
            .then_some(Fault::Sampler)
    }

    /// Ends the current attempt early and arranges for the next one.
    fn broken(&mut self, fault: Fault, now: Instant, shared: &mut Shared, out: &mut Vec<Action>) {
        let State::Running(running) = std::mem::replace(&mut self.state, State::Ended) else {
            return;
        };
        let Attempt {
            placement, tokens, ..
        } = *running;
        let attempt = self.request.attempt;
        let address = placement.address.clone();
        let on_same = fault == Fault::Connection && tokens > 0;
        out.push(Action::Broken {
            placement: placement.clone(),
            attempt,
            fault,
            health: (fault != Fault::Connection).then_some(Health::Failed),
        });
        if fault != Fault::Unreachable {
            self.may_have_run = true;
            out.push(Action::Cancel {
                address: address.clone(),
                attempt,
            });
        }
        self.note_break(tokens, now);
        if !on_same {
            self.excluded.push((placement.engine, now));
        }
        if self.breaks >= BREAKS_MAX {
            return self.fail_limit(out);
        }
        if self.is_counter == Some(false) && !self.tokens.is_empty() {
            if !self.can_restart() {
                return self.fail_sampler(out);
            }
            self.restart(out);
        }
        let delay = shared.budget.resume(now).max(self.backoff());
        if fault == Fault::Died {
            self.last_probe += 1;
            let probe = self.last_probe;
            out.push(Action::Probe { probe, address });
            if shared.killers.is_suspect(self.prompt, now) {
                self.state = State::Autopsy { probe, delay };
                return;
            }
            self.autopsies.push(probe);
        }
        self.resume_after(delay, on_same.then_some(placement), now, out);
    }

    fn note_break(&mut self, tokens: u32, now: Instant) {
        self.stopped_at.get_or_insert(now);
        self.breaks += 1;
        self.fruitless = match tokens {
            0 => self.fruitless + 1,
            _ => 0,
        };
    }

    fn backoff(&self) -> Duration {
        match self.fruitless {
            0 | 1 => Duration::ZERO,
            fruitless => (BACKOFF * (1 << (fruitless - 2).min(8))).min(BACKOFF_MAX),
        }
    }

    fn resume_after(
        &mut self,
        delay: Duration,
        same: Option<Placement>,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        if !delay.is_zero() {
            let until = now + delay;
            self.state = State::Delayed { until, same };
            return;
        }
        match same {
            Some(placement) => self.start(placement, now, out),
            None => self.place(now, out),
        }
    }

    fn place(&mut self, now: Instant, out: &mut Vec<Action>) {
        let stopped_at = *self.stopped_at.get_or_insert(now);
        let left = RESUME_LIMIT.saturating_sub(now.duration_since(stopped_at));
        if left.is_zero() {
            return self.fail_unplaced(out);
        }
        self.excluded
            .retain(|(_, at)| now.duration_since(*at) < EXCLUSION);
        let exclusive = !self.excluded.is_empty();
        self.state = State::Placing { exclusive };
        out.push(Action::Place {
            version: self.version.clone(),
            excluded: self.excluded.iter().map(|(engine, _)| *engine).collect(),
            limit: match exclusive {
                true => EXCLUSIVE_LIMIT.min(left),
                false => left,
            },
        });
    }

    fn refused(&mut self, leaving: bool, now: Instant, out: &mut Vec<Action>) {
        let State::Running(running) = std::mem::replace(&mut self.state, State::Ended) else {
            return;
        };
        self.excluded.push((running.placement.engine, now));
        out.push(Action::Broken {
            placement: running.placement,
            attempt: self.request.attempt,
            fault: Fault::Refused,
            health: leaving.then_some(Health::Leaving),
        });
        // A refusal costs the engine nothing, so it counts towards no limit but the time.
        self.stopped_at.get_or_insert(now);
        self.fruitless += 1;
        match self.backoff() {
            Duration::ZERO => self.place(now, out),
            delay => {
                let until = now + delay;
                self.state = State::Delayed { until, same: None };
            }
        }
    }

    /// Gives the engine up without a fault and asks for another place.
    fn paused(&mut self, now: Instant, out: &mut Vec<Action>) {
        // Output of another sampler cannot be continued.
        if self.is_counter == Some(false) && !self.tokens.is_empty() {
            return;
        }
        self.may_have_run = true;
        self.abandon(out);
        self.place(now, out);
    }

    fn drained(&mut self, now: Instant, shared: &Shared) {
        if let State::Running(running) = &mut self.state {
            running.last = now;
            running.watch = Watch::Quiet;
            running.check_at = now + shared.pace.limit(running.placement.engine);
        }
    }

    fn tick(&mut self, now: Instant, shared: &mut Shared, out: &mut Vec<Action>) {
        if self.deadline().is_none_or(|deadline| now < deadline) {
            return;
        }
        match &mut self.state {
            State::Delayed { same, .. } => {
                let same = same.take();
                self.resume_after(Duration::ZERO, same, now, out);
            }
            State::Running(running) => {
                let is_late = now.duration_since(running.check_at) > LATE;
                if is_late && running.late < LATE_MAX {
                    running.late += 1;
                    running.check_at = now + GRACE;
                    return;
                }
                if running.watch == Watch::Ahead {
                    return self.broken(Fault::Connection, now, shared, out);
                }
                self.last_probe += 1;
                let probe = self.last_probe;
                running.watch = Watch::Probing { probe, since: now };
                out.push(Action::Probe {
                    probe,
                    address: running.placement.address.clone(),
                });
            }
            _ => {}
        }
    }

    fn probed(
        &mut self,
        probe: u32,
        answer: Option<wire::Stream>,
        now: Instant,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        if let Some(at) = self.autopsies.iter().position(|known| *known == probe) {
            self.autopsies.swap_remove(at);
            return self.examined(answer, now, shared, out);
        }
        match &self.state {
            State::Autopsy {
                probe: awaited,
                delay,
            } if *awaited == probe => {
                let delay = *delay;
                self.examined(answer, now, shared, out);
                if !matches!(self.state, State::Ended) {
                    self.resume_after(delay, None, now, out);
                }
            }
            State::Running(running) => match running.watch {
                Watch::Probing {
                    probe: awaited,
                    since,
                } if awaited == probe => self.answered(answer, since, now, shared, out),
                _ => {}
            },
            _ => {}
        }
    }

    /// Notes whether the engine of a closed connection died.
    fn examined(
        &mut self,
        answer: Option<wire::Stream>,
        now: Instant,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        if answer.is_some() || matches!(self.state, State::Ended) {
            return;
        }
        shared.killers.died(self.prompt, now);
        if shared.killers.is_killer(self.prompt, now) {
            self.abandon(out);
            self.fail_killer(out);
        }
    }

    /// Judges the answer to a question about the current attempt.
    fn answered(
        &mut self,
        answer: Option<wire::Stream>,
        since: Instant,
        now: Instant,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        let next = self.tokens.len() as u32;
        let attempt = self.request.attempt;
        let State::Running(running) = &mut self.state else {
            return;
        };
        running.watch = Watch::Quiet;
        let Some(stream) = answer else {
            let is_late = now.duration_since(since) > PROBE_LIMIT + LATE;
            if is_late && running.late < LATE_MAX {
                running.late += 1;
                running.check_at = now;
                return;
            }
            return self.broken(Fault::Silent, now, shared, out);
        };
        let is_known = stream.attempt == attempt && stream.state != Phase::Unknown;
        if is_known && matches!(stream.state, Phase::Queued | Phase::Prefill) {
            running.unchanged = 0;
            running.check_at = now + WAIT_INTERVAL;
            return;
        }
        if is_known && stream.position > next {
            running.watch = Watch::Ahead;
            running.check_at = now + GRACE;
            return;
        }
        running.unchanged += 1;
        let is_lost = !is_known && running.frames > 0;
        if running.unchanged >= STALL_PROBES || is_lost {
            return self.broken(Fault::Stalled, now, shared, out);
        }
        let gap = shared.pace.gap(running.placement.engine);
        let (shortest, longest) = STALL_INTERVAL;
        let interval = gap.map_or(shortest, |gap| (2 * gap).clamp(shortest, longest));
        running.check_at = now + interval;
    }

    /// Cancels the current attempt.
    fn abandon(&mut self, out: &mut Vec<Action>) {
        if let State::Running(running) = std::mem::replace(&mut self.state, State::Ended) {
            out.push(Action::Cancel {
                address: running.placement.address,
                attempt: self.request.attempt,
            });
        }
    }

    fn fail(&mut self, reason: Reason, detail: &str, out: &mut Vec<Action>) {
        self.state = State::Ended;
        let work = match self.may_have_run {
            true => Work::Ran,
            false => Work::NotRun,
        };
        let complete = match self.is_streamed {
            true => self.tokens.len() as u32,
            false => 0,
        };
        let problem = Problem::new(reason, work, detail).complete_tokens(complete);
        let can_succeed = matches!(reason, Reason::VersionGone | Reason::NoEngine);
        out.push(Action::Fail(match can_succeed {
            true => problem.retry_after(Duration::from_secs(5)),
            false => problem,
        }));
    }

    fn fail_killer(&mut self, out: &mut Vec<Action>) {
        let detail = "several engines died while serving this prompt; change the prompt";
        self.fail(Reason::EngineKiller, detail, out);
    }

    fn fail_limit(&mut self, out: &mut Vec<Action>) {
        let detail = "too many attempts broke off; reconnect later with the last event id";
        self.fail(Reason::ResumeLimit, detail, out);
    }

    fn fail_sampler(&mut self, out: &mut Vec<Action>) {
        let detail = "the engine's sampler cannot be continued on another engine; send the \
                      request again";
        self.fail(Reason::ResumeLimit, detail, out);
    }

    fn fail_unplaced(&mut self, out: &mut Vec<Action>) {
        if self.can_restart() {
            let detail = "no engine of the model took the request; retry later";
            return self.fail(Reason::NoEngine, detail, out);
        }
        let detail = "no engine with the same version took the generation over; \
                      reconnect later with the last event id";
        self.fail(Reason::VersionGone, detail, out);
    }
}
