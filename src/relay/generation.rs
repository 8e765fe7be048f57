//! State machine of one generation. It does no I/O: it takes events and returns actions.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::event::{Action, Event, Fault};
use super::{Shared, deaths, pace};
use crate::dispatch::{Health, Placement};
use crate::http::problem::{Problem, Reason};
use crate::route::fleet::Engine;
use crate::wire::{self, Execution, Phase};

/// Longest wait for the answer to a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Silence before the first frame of a resumed attempt after which the engine is probed. The caller
/// is already waiting, so it is shorter than [`pace::SILENCE_MAX`], the limit of other attempts.
const RESUMED_SILENCE_LIMIT: Duration = Duration::from_millis(400);

/// Time for frames in flight to arrive after a probe showed that the engine is ahead, or after a
/// late timer.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(40);

/// Time between two probes of a stream that is queued or being prefilled.
const QUEUED_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest and longest time between two probes without progress. One step of a batch with a long
/// prefill can take most of a second, so a shorter time would report it as a stall; with a longer
/// one the pause after a stall could exceed 4 s.
const STALL_PROBE_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(1000), Duration::from_millis(1500));

/// Probes in a row without progress after which a stream counts as stalled.
const STALL_PROBES: u32 = 2;

/// Delay of a timer above which this process itself was paused. The frames of that time may be
/// unread, so silence is no evidence against the engine.
const LATE_TIMER: Duration = Duration::from_millis(50);

/// Late timers in a row that are excused. On a host whose timers are always late, a silent engine
/// must still be detected.
const LATE_TIMERS_MAX: u32 = 3;

/// Longest wait for an engine that is not excluded; after it, excluded engines may be used too.
const OTHER_ENGINE_WAIT_MAX: Duration = Duration::from_millis(700);

/// Time for which an engine stays excluded after it broke or refused an attempt.
const EXCLUSION_TIME: Duration = Duration::from_secs(10);

/// Longest interruption of output; a generation that then still has no engine fails.
const RESUME_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay after two attempts in a row without a token; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(25);

/// Longest delay after attempts without a token.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Broken attempts after which a generation fails.
const BROKEN_ATTEMPTS_MAX: u32 = 16;

/// Tokens of one attempt that reset the count of broken attempts.
const BROKEN_RESET_TOKENS: u32 = 256;

/// Silence detection of the running attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeState {
    /// No probe is open; the next one is sent when silence lasts until `check_at`.
    NoProbe,
    /// Waits for the answer to a probe.
    Probing { id: u32, since: Instant },
    /// A probe showed that the engine is ahead; frames in flight may arrive until `check_at`.
    EngineAhead,
}

#[derive(Clone, Debug)]
struct Attempt {
    placement: Placement,
    // Arrival of the last frame, at first the start of the attempt.
    last_frame_at: Instant,
    frames: u32,
    tokens: u32,
    probe_state: ProbeState,
    // When a probe is due, or when frames in flight count as lost.
    check_at: Instant,
    // Counted since the last frame or sign of progress.
    probes_without_progress: u32,
    // Late timers since the last frame.
    late_timers: u32,
}

#[derive(Clone, Debug)]
enum State {
    /// Waits for its first placement.
    New,
    /// Waits for a delay; then starts an attempt on `same_engine`, or requests a placement if
    /// `None`.
    Delayed {
        until: Instant,
        same_engine: Option<Placement>,
    },
    /// Waits for the probe that shows whether the engine died; resumes after `delay` if it did not.
    ConfirmingDeath { id: u32, delay: Duration },
    /// Waits for a further placement.
    Placing { has_exclusions: bool },
    /// An attempt runs.
    Running(Box<Attempt>),
    /// The generation ended.
    Ended,
}

/// The output of a model for one request, over all attempts.
#[derive(Clone, Debug)]
pub struct Generation {
    request: wire::Request,
    // Invariant: the tokens that the caller had before, followed by those emitted since the last
    // restart, in order.
    tokens: Vec<u32>,
    // Set by the first placement or frame; later attempts must run on the same version.
    version: Option<CompactString>,
    // Set by each frame. Only output of the counter sampler can be continued by another attempt.
    is_counter_sampler: Option<bool>,
    // Whether emitted tokens reach the caller at once, so that they cannot be discarded.
    is_streamed: bool,
    prompt_digest: u64,
    state: State,
    // Engines that broke or refused an attempt, and when.
    excluded: Vec<(Engine, Instant)>,
    // Since the last attempt that emitted `BROKEN_RESET_TOKENS`.
    broken_attempts: u32,
    // Attempts in a row that broke or were refused without a token.
    empty_attempts: u32,
    // When output was interrupted, `None` while tokens arrive.
    output_stopped_at: Option<Instant>,
    last_probe_id: u32,
    // Open probes that show whether the engine of a broken attempt died.
    death_probes: Vec<u32>,
    // Whether any attempt may have run on an engine.
    may_have_run: bool,
    // Frames of other attempts than the current one.
    stale_frames: u64,
    resumes: u32,
    prefilled: u64,
}

impl Generation {
    /// Creates the state of a request before its first attempt. The caller already has
    /// `request.resume_tokens`; `is_streamed` tells whether emitted tokens reach it at once.
    pub fn new(request: wire::Request, is_streamed: bool) -> Self {
        Self {
            tokens: request.resume_tokens.clone(),
            version: request.model_version.clone(),
            prompt_digest: deaths::prompt_digest(&request.model, &request.prompt),
            request,
            is_counter_sampler: None,
            is_streamed,
            state: State::New,
            excluded: Vec::new(),
            broken_attempts: 0,
            empty_attempts: 0,
            output_stopped_at: None,
            last_probe_id: 0,
            death_probes: Vec::new(),
            may_have_run: false,
            stale_frames: 0,
            resumes: 0,
            prefilled: 0,
        }
    }

    /// Returns the request of the current attempt, which continues after the tokens so far.
    pub fn request(&self) -> wire::Request {
        wire::Request {
            model_version: self.version.clone(),
            resume_tokens: self.tokens.clone(),
            ..self.request.clone()
        }
    }

    /// Returns the tokens emitted so far, after those that the caller had before.
    pub fn tokens(&self) -> &[u32] {
        &self.tokens
    }

    /// Returns the model version of the generation, once known.
    pub fn version(&self) -> Option<&CompactString> {
        self.version.as_ref()
    }

    /// Returns the number of tokens that engines prefilled for all attempts.
    pub fn prefilled(&self) -> u64 {
        self.prefilled
    }

    /// Returns the number of the current attempt, 0 before the first.
    pub fn attempt(&self) -> u32 {
        self.request.attempt
    }

    /// Returns the number of attempts started to resume after a broken one.
    pub fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Returns the number of frames dropped because they belonged to another attempt.
    pub fn stale_frames(&self) -> u64 {
        self.stale_frames
    }

    /// Returns when [`Event::Tick`] is due, `None` while no timer runs.
    pub fn deadline(&self) -> Option<Instant> {
        match &self.state {
            State::Delayed { until, .. } => Some(*until),
            State::Running(attempt) => match attempt.probe_state {
                ProbeState::Probing { .. } => None,
                ProbeState::NoProbe | ProbeState::EngineAhead => Some(attempt.check_at),
            },
            _ => None,
        }
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn handle(&mut self, event: Event, now: Instant, shared: &mut Shared) -> Vec<Action> {
        let mut actions = Vec::new();
        let out = &mut actions;
        match event {
            Event::Placed(placement) => self.placed(placement, now, shared, out),
            Event::PlacementFailed => self.placement_failed(now, out),
            Event::Frame { attempt, frame } => {
                self.frame_received(attempt, frame, now, shared, out)
            }
            Event::Closed { attempt, was_sent } if self.is_current(attempt) => {
                let fault = match was_sent {
                    true => Fault::Died,
                    false => Fault::Unreachable,
                };
                self.attempt_broken(fault, now, shared, out);
            }
            Event::Refused {
                attempt,
                is_leaving,
            } if self.is_current(attempt) => {
                self.attempt_refused(is_leaving, now, out);
            }
            Event::Paused { attempt } if self.is_current(attempt) => self.attempt_paused(now, out),
            Event::Probed { id, answer } => self.probed(id, answer, now, shared, out),
            Event::EmitDelayed => self.emit_delayed(now, shared),
            Event::Tick => self.tick(now, shared, out),
            Event::CallerGone => self.cancel_attempt(out),
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
        if shared.deaths.is_killer(self.prompt_digest, now) {
            return self.fail_killer(out);
        }
        if self.version.is_none() && !placement.version.is_empty() {
            self.version = Some(placement.version.clone());
        }
        self.start_attempt(placement, now, out);
    }

    fn start_attempt(&mut self, placement: Placement, now: Instant, out: &mut Vec<Action>) {
        self.request.attempt += 1;
        let is_resumed = self.broken_attempts > 0 && self.output_stopped_at.is_some();
        self.resumes += u32::from(is_resumed);
        let limit = match is_resumed {
            true => RESUMED_SILENCE_LIMIT,
            false => pace::SILENCE_MAX,
        };
        self.state = State::Running(Box::new(Attempt {
            placement: placement.clone(),
            last_frame_at: now,
            frames: 0,
            tokens: 0,
            probe_state: ProbeState::NoProbe,
            check_at: now + limit,
            probes_without_progress: 0,
            late_timers: 0,
        }));
        out.push(Action::Start(placement));
    }

    fn placement_failed(&mut self, now: Instant, out: &mut Vec<Action>) {
        let State::Placing { has_exclusions } = self.state else {
            return;
        };
        let output_stopped_at = *self.output_stopped_at.get_or_insert(now);
        let left = RESUME_TIMEOUT.saturating_sub(now.duration_since(output_stopped_at));
        if !has_exclusions || left.is_zero() {
            return self.fail_placement(out);
        }
        self.excluded.clear();
        if self.can_restart() {
            self.restart(out);
        }
        self.state = State::Placing {
            has_exclusions: false,
        };
        out.push(Action::Place {
            version: self.version.clone(),
            excluded: Vec::new(),
            limit: left,
        });
    }

    /// Returns whether no token has reached the caller, so that output can be discarded.
    fn can_restart(&self) -> bool {
        self.request.resume_tokens.is_empty() && (!self.is_streamed || self.tokens.is_empty())
    }

    /// Discards output and version, so that any engine of the model can generate it again.
    fn restart(&mut self, out: &mut Vec<Action>) {
        if !self.tokens.is_empty() {
            out.push(Action::Restart);
        }
        self.tokens.clear();
        self.version = None;
        self.is_counter_sampler = None;
    }

    fn frame_received(
        &mut self,
        attempt: u32,
        frame: wire::Frame,
        now: Instant,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        if !self.is_current(attempt) || frame.attempt != attempt {
            self.stale_frames += 1;
            return;
        }
        if let Some(fault) = self.frame_fault(&frame) {
            return self.attempt_broken(fault, now, shared, out);
        }
        let State::Running(running) = &mut self.state else {
            return;
        };
        let count = frame.tokens.len() as u32;
        let engine = running.placement.engine;
        if running.frames > 0 && count > 0 {
            let gap = now.duration_since(running.last_frame_at) / count;
            shared.pace.observe(engine, gap);
        }
        running.last_frame_at = now;
        running.frames += 1;
        running.tokens += count;
        running.probe_state = ProbeState::NoProbe;
        running.probes_without_progress = 0;
        running.late_timers = 0;
        running.check_at = now + shared.pace.silence_limit(engine);
        if running.tokens >= BROKEN_RESET_TOKENS {
            self.broken_attempts = 0;
        }
        if count > 0 {
            self.empty_attempts = 0;
            self.output_stopped_at = None;
        }
        self.may_have_run = true;
        self.is_counter_sampler = Some(frame.sampler == wire::COUNTER_SAMPLER);
        if self.version.is_none() {
            self.version = Some(frame.model_version.clone());
        }
        self.tokens.extend(&frame.tokens);
        self.prefilled += u64::from(frame.prefilled.unwrap_or(0));
        let is_last = frame.finish_reason.is_some();
        out.push(Action::Emit(frame));
        if is_last {
            shared.deaths.clear(self.prompt_digest);
            self.state = State::Ended;
            out.push(Action::Finish);
        }
    }

    /// Returns why a frame cannot follow the output so far, `None` if it can.
    fn frame_fault(&self, frame: &wire::Frame) -> Option<Fault> {
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
        let is_counter_sampler = frame.sampler == wire::COUNTER_SAMPLER;
        let is_continuation = !self.tokens.is_empty();
        let has_changed = self
            .is_counter_sampler
            .is_some_and(|known| known != is_counter_sampler);
        (is_continuation
            && (has_changed || !is_counter_sampler && self.is_counter_sampler.is_none()))
        .then_some(Fault::Sampler)
    }

    /// Ends the current attempt after a fault and prepares the next one.
    fn attempt_broken(
        &mut self,
        fault: Fault,
        now: Instant,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        let State::Running(running) = std::mem::replace(&mut self.state, State::Ended) else {
            return;
        };
        let Attempt {
            placement, tokens, ..
        } = *running;
        let attempt = self.request.attempt;
        let address = placement.address.clone();
        // An engine that lives still has the tokens in its cache.
        let on_same_engine = fault == Fault::Connection && tokens > 0;
        out.push(Action::DropAttempt {
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
        self.count_broken(tokens, now);
        if !on_same_engine {
            self.excluded.push((placement.engine, now));
        }
        if self.broken_attempts >= BROKEN_ATTEMPTS_MAX {
            return self.fail_resume_limit(out);
        }
        if self.is_counter_sampler == Some(false) && !self.tokens.is_empty() {
            if !self.can_restart() {
                return self.fail_sampler(out);
            }
            self.restart(out);
        }
        let delay = shared.budget.record_resume(now).max(self.backoff());
        if fault == Fault::Died {
            self.last_probe_id += 1;
            let id = self.last_probe_id;
            out.push(Action::Probe { id, address });
            // If the prompt kills engines, the next attempt would kill another one.
            if shared.deaths.is_suspect(self.prompt_digest, now) {
                self.state = State::ConfirmingDeath { id, delay };
                return;
            }
            self.death_probes.push(id);
        }
        self.resume_after(delay, on_same_engine.then_some(placement), now, out);
    }

    fn count_broken(&mut self, tokens: u32, now: Instant) {
        self.output_stopped_at.get_or_insert(now);
        self.broken_attempts += 1;
        self.empty_attempts = match tokens {
            0 => self.empty_attempts + 1,
            _ => 0,
        };
    }

    fn backoff(&self) -> Duration {
        match self.empty_attempts {
            0 | 1 => Duration::ZERO,
            empty_attempts => (BACKOFF_MIN * (1 << (empty_attempts - 2).min(8))).min(BACKOFF_MAX),
        }
    }

    fn resume_after(
        &mut self,
        delay: Duration,
        same_engine: Option<Placement>,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        if !delay.is_zero() {
            let until = now + delay;
            self.state = State::Delayed { until, same_engine };
            return;
        }
        match same_engine {
            Some(placement) => self.start_attempt(placement, now, out),
            None => self.request_placement(now, out),
        }
    }

    fn request_placement(&mut self, now: Instant, out: &mut Vec<Action>) {
        let output_stopped_at = *self.output_stopped_at.get_or_insert(now);
        let left = RESUME_TIMEOUT.saturating_sub(now.duration_since(output_stopped_at));
        if left.is_zero() {
            return self.fail_placement(out);
        }
        self.excluded
            .retain(|(_, at)| now.duration_since(*at) < EXCLUSION_TIME);
        let has_exclusions = !self.excluded.is_empty();
        self.state = State::Placing { has_exclusions };
        out.push(Action::Place {
            version: self.version.clone(),
            excluded: self.excluded.iter().map(|(engine, _)| *engine).collect(),
            limit: match has_exclusions {
                true => OTHER_ENGINE_WAIT_MAX.min(left),
                false => left,
            },
        });
    }

    fn attempt_refused(&mut self, is_leaving: bool, now: Instant, out: &mut Vec<Action>) {
        let State::Running(running) = std::mem::replace(&mut self.state, State::Ended) else {
            return;
        };
        self.excluded.push((running.placement.engine, now));
        out.push(Action::DropAttempt {
            placement: running.placement,
            attempt: self.request.attempt,
            fault: Fault::Refused,
            health: is_leaving.then_some(Health::Leaving),
        });
        // A refusal costs the engine nothing, so only RESUME_TIMEOUT limits refusals.
        self.output_stopped_at.get_or_insert(now);
        self.empty_attempts += 1;
        match self.backoff() {
            Duration::ZERO => self.request_placement(now, out),
            delay => {
                let until = now + delay;
                self.state = State::Delayed {
                    until,
                    same_engine: None,
                };
            }
        }
    }

    /// Cancels the preempted attempt without a fault and requests another placement.
    fn attempt_paused(&mut self, now: Instant, out: &mut Vec<Action>) {
        // Only output of the counter sampler can be continued, so this attempt is not cancelled.
        if self.is_counter_sampler == Some(false) && !self.tokens.is_empty() {
            return;
        }
        self.may_have_run = true;
        self.cancel_attempt(out);
        self.request_placement(now, out);
    }

    fn emit_delayed(&mut self, now: Instant, shared: &Shared) {
        if let State::Running(running) = &mut self.state {
            running.last_frame_at = now;
            running.probe_state = ProbeState::NoProbe;
            running.check_at = now + shared.pace.silence_limit(running.placement.engine);
        }
    }

    fn tick(&mut self, now: Instant, shared: &mut Shared, out: &mut Vec<Action>) {
        if self.deadline().is_none_or(|deadline| now < deadline) {
            return;
        }
        match &mut self.state {
            State::Delayed { same_engine, .. } => {
                let same_engine = same_engine.take();
                self.resume_after(Duration::ZERO, same_engine, now, out);
            }
            State::Running(running) => {
                let is_late = now.duration_since(running.check_at) > LATE_TIMER;
                if is_late && running.late_timers < LATE_TIMERS_MAX {
                    running.late_timers += 1;
                    running.check_at = now + IN_FLIGHT_GRACE;
                    return;
                }
                if running.probe_state == ProbeState::EngineAhead {
                    return self.attempt_broken(Fault::Connection, now, shared, out);
                }
                self.last_probe_id += 1;
                let id = self.last_probe_id;
                running.probe_state = ProbeState::Probing { id, since: now };
                out.push(Action::Probe {
                    id,
                    address: running.placement.address.clone(),
                });
            }
            _ => {}
        }
    }

    fn probed(
        &mut self,
        id: u32,
        answer: Option<wire::StreamStatus>,
        now: Instant,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        if let Some(at) = self.death_probes.iter().position(|known| *known == id) {
            self.death_probes.swap_remove(at);
            return self.death_probed(answer, now, shared, out);
        }
        match &self.state {
            State::ConfirmingDeath { id: awaited, delay } if *awaited == id => {
                let delay = *delay;
                self.death_probed(answer, now, shared, out);
                if !matches!(self.state, State::Ended) {
                    self.resume_after(delay, None, now, out);
                }
            }
            State::Running(running) => match running.probe_state {
                ProbeState::Probing { id: awaited, since } if awaited == id => {
                    self.silence_probed(answer, since, now, shared, out)
                }
                _ => {}
            },
            _ => {}
        }
    }

    /// Counts a death if the engine of a closed connection did not answer a probe.
    fn death_probed(
        &mut self,
        answer: Option<wire::StreamStatus>,
        now: Instant,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        if answer.is_some() || matches!(self.state, State::Ended) {
            return;
        }
        shared.deaths.record(self.prompt_digest, now);
        if shared.deaths.is_killer(self.prompt_digest, now) {
            self.cancel_attempt(out);
            self.fail_killer(out);
        }
    }

    /// Evaluates the answer to a probe that was sent because the current attempt was silent.
    fn silence_probed(
        &mut self,
        answer: Option<wire::StreamStatus>,
        since: Instant,
        now: Instant,
        shared: &mut Shared,
        out: &mut Vec<Action>,
    ) {
        let next_position = self.tokens.len() as u32;
        let attempt = self.request.attempt;
        let State::Running(running) = &mut self.state else {
            return;
        };
        running.probe_state = ProbeState::NoProbe;
        let Some(stream) = answer else {
            let is_late = now.duration_since(since) > PROBE_TIMEOUT + LATE_TIMER;
            if is_late && running.late_timers < LATE_TIMERS_MAX {
                running.late_timers += 1;
                running.check_at = now;
                return;
            }
            return self.attempt_broken(Fault::Silent, now, shared, out);
        };
        let knows_attempt = stream.attempt == attempt && stream.state != Phase::Unknown;
        if knows_attempt && matches!(stream.state, Phase::Queued | Phase::Prefill) {
            running.probes_without_progress = 0;
            running.check_at = now + QUEUED_PROBE_INTERVAL;
            return;
        }
        if knows_attempt && stream.position > next_position {
            running.probe_state = ProbeState::EngineAhead;
            running.check_at = now + IN_FLIGHT_GRACE;
            return;
        }
        running.probes_without_progress += 1;
        let has_lost_attempt = !knows_attempt && running.frames > 0;
        if running.probes_without_progress >= STALL_PROBES || has_lost_attempt {
            return self.attempt_broken(Fault::Stalled, now, shared, out);
        }
        let gap = shared.pace.average_gap(running.placement.engine);
        let (shortest, longest) = STALL_PROBE_INTERVAL;
        let interval = gap.map_or(shortest, |gap| (2 * gap).clamp(shortest, longest));
        running.check_at = now + interval;
    }

    /// Cancels the current attempt, if one runs, and leaves the state `Ended`.
    fn cancel_attempt(&mut self, out: &mut Vec<Action>) {
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
            true => Execution::Ran,
            false => Execution::NotRun,
        };
        let complete = match self.is_streamed {
            true => self.tokens.len() as u32,
            false => 0,
        };
        let problem = Problem::new(reason, work, detail).complete_tokens(complete);
        let is_retryable = matches!(reason, Reason::VersionGone | Reason::NoEngine);
        out.push(Action::Fail(match is_retryable {
            true => problem.retry_after(Duration::from_secs(5)),
            false => problem,
        }));
    }

    fn fail_killer(&mut self, out: &mut Vec<Action>) {
        let detail = "several engines died while serving this prompt; change the prompt";
        self.fail(Reason::EngineKiller, detail, out);
    }

    fn fail_resume_limit(&mut self, out: &mut Vec<Action>) {
        let detail = "too many attempts broke off; reconnect later with the last event id";
        self.fail(Reason::ResumeLimit, detail, out);
    }

    fn fail_sampler(&mut self, out: &mut Vec<Action>) {
        let detail = "output of the engine's sampler cannot be continued on another engine; send \
                      the request again";
        self.fail(Reason::ResumeLimit, detail, out);
    }

    fn fail_placement(&mut self, out: &mut Vec<Action>) {
        if self.can_restart() {
            let detail = "no engine of the model accepted the request; retry later";
            return self.fail(Reason::NoEngine, detail, out);
        }
        let detail = "no engine with the same model version could continue the generation; \
                      reconnect later with the last event id";
        self.fail(Reason::VersionGone, detail, out);
    }
}
