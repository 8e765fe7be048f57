//! The state machine of a generation: random faults from a seed, and single faults. A manual clock
//! replaces the time.

use std::time::{Duration, Instant};

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::dispatch::Placement;
use bilberrypost::emulate::sampler::Sampler;
use bilberrypost::http::problem::{Problem, Reason};
use bilberrypost::relay::Shared;
use bilberrypost::relay::event::{Action, Event, Fault};
use bilberrypost::relay::generation::Generation;
use bilberrypost::route::fleet::Engine;
use bilberrypost::wire::{self, Phase, Rank};
use compact_str::{CompactString, format_compact};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slotmap::KeyData;

const MAX_TOKENS: u32 = 40;
const PROMPT: &str = "Sky notes:";

fn engine(number: u64) -> Engine {
    Engine::from(KeyData::from_ffi(number))
}

fn placement(number: u64, version: &str) -> Placement {
    Placement {
        ticket: Default::default(),
        engine: engine(number),
        name: format_compact!("engine-{number}"),
        address: format_compact!("address-{number}"),
        version: version.into(),
        priority: Rank::Routine,
        paused: Default::default(),
    }
}

fn request() -> wire::Request {
    wire::Request {
        request_id: "r-1".into(),
        attempt: 0,
        model: "atlas".into(),
        model_version: None,
        prompt: PROMPT.into(),
        max_tokens: MAX_TOKENS,
        seed: 5,
        priority: Rank::Routine,
        resume_tokens: Vec::new(),
    }
}

/// Environment of one generation: emulated engines, a manual clock, and a caller that keeps its
/// output.
struct Simulation {
    clock: Manual,
    shared: Shared,
    generation: Generation,
    // Engine, version, attempt and next output position of the open connection.
    connection: Option<(u64, CompactString, u32, u32)>,
    requested_placement: Option<(Option<CompactString>, Vec<Engine>)>,
    probe_id: Option<u32>,
    // Whether the open probe is about an engine whose connection closed.
    is_death_probe: bool,
    emitted: Vec<u32>,
    version: CompactString,
    faults: Vec<Fault>,
    started_engines: Vec<u64>,
    restarts: u32,
    is_finished: bool,
    problem: Option<Problem>,
}

impl Simulation {
    fn new(request: wire::Request, is_streamed: bool) -> Self {
        Self {
            clock: Manual::default(),
            shared: Shared::default(),
            emitted: request.resume_tokens.clone(),
            generation: Generation::new(request, is_streamed),
            connection: None,
            requested_placement: None,
            probe_id: None,
            is_death_probe: false,
            version: "1".into(),
            faults: Vec::new(),
            started_engines: Vec::new(),
            restarts: 0,
            is_finished: false,
            problem: None,
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.generation.handle(event, now, &mut self.shared);
        for action in actions {
            assert!(!self.has_ended(), "action after the end: {action:?}");
            self.perform(action);
        }
    }

    fn has_ended(&self) -> bool {
        self.is_finished || self.problem.is_some()
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start(placement) => {
                let request = self.generation.request();
                assert_eq!(request.resume_tokens, self.emitted);
                let number = placement.address["address-".len()..].parse().unwrap();
                self.started_engines.push(number);
                let position = request.resume_tokens.len() as u32;
                self.connection = Some((number, placement.version, request.attempt, position));
            }
            Action::Place {
                version, excluded, ..
            } => self.requested_placement = Some((version, excluded)),
            Action::Probe { id, .. } => {
                self.probe_id = Some(id);
                self.is_death_probe = self.connection.is_none();
            }
            Action::Emit(frame) => {
                self.version = frame.model_version;
                self.emitted.extend(frame.tokens);
            }
            Action::Restart => {
                self.restarts += 1;
                self.emitted.clear();
            }
            Action::DropAttempt { fault, .. } => {
                self.faults.push(fault);
                self.connection = None;
            }
            Action::Finish => self.is_finished = true,
            Action::Fail(problem) => self.problem = Some(problem),
            Action::Cancel { .. } => {}
        }
    }

    /// Returns the next frame of the open connection, with up to `count` tokens.
    fn next_frame(&self, count: u32) -> Option<wire::Frame> {
        let (_, version, attempt, position) = self.connection.clone()?;
        let sampler = Sampler::new("atlas", &version, PROMPT, 5);
        let end = (position + count).min(MAX_TOKENS);
        Some(wire::Frame {
            request_id: "r-1".into(),
            attempt,
            model_version: version,
            sampler: wire::COUNTER_SAMPLER.into(),
            position,
            tokens: (position..end).map(|at| sampler.token(at)).collect(),
            text: "".into(),
            finish_reason: (end == MAX_TOKENS).then(|| "length".into()),
            prefilled: None,
            load: None,
        })
    }

    fn deliver(&mut self, frame: wire::Frame) {
        if let Some((_, _, attempt, position)) = &mut self.connection {
            *position = (frame.position + frame.tokens.len() as u32).min(MAX_TOKENS - 1);
            let attempt = *attempt;
            self.handle(Event::Frame { attempt, frame });
        }
    }

    fn deliver_next(&mut self, count: u32) {
        if let Some(frame) = self.next_frame(count) {
            self.deliver(frame);
        }
    }

    fn advance(&mut self, time: Duration) {
        self.clock.advance(time);
        self.handle(Event::Tick);
    }

    fn advance_to_deadline(&mut self) {
        if let Some(deadline) = self.generation.deadline() {
            let now: Instant = self.clock.now();
            self.advance(deadline.saturating_duration_since(now));
        }
    }

    /// Answers the open probe with a position `ahead` tokens after the emitted ones.
    fn answer_probe(&mut self, state: Phase, ahead: u32) {
        let Some(id) = self.probe_id.take() else {
            return;
        };
        let answer = Some(wire::StreamStatus {
            state,
            attempt: self.generation.attempt(),
            position: self.emitted.len() as u32 + ahead,
        });
        self.handle(Event::Probed { id, answer });
    }

    fn time_out_probe(&mut self) {
        if let Some(id) = self.probe_id.take() {
            let answer = None;
            self.handle(Event::Probed { id, answer });
        }
    }

    /// Answers a placement request with the first engine that is not excluded and has the right
    /// version; `versions` holds the version of each engine.
    fn answer_place_request(&mut self, versions: &[&str]) {
        let Some((version, excluded)) = self.requested_placement.take() else {
            return;
        };
        let fits = |number: &u64| {
            let own = versions[*number as usize - 1];
            !excluded.contains(&engine(*number)) && version.as_ref().is_none_or(|v| v == own)
        };
        let found = (1..=versions.len() as u64).find(fits);
        let event = found.map_or(Event::PlacementFailed, |number| {
            Event::Placed(placement(number, versions[number as usize - 1]))
        });
        self.handle(event);
    }

    /// Asserts that the output is a prefix of the sampler's sequence, complete if the generation
    /// finished, and that a failure reports its length.
    fn assert_output(&self, seed: u64) {
        let sampler = Sampler::new("atlas", &self.version, PROMPT, 5);
        let expected: Vec<_> = (0..self.emitted.len() as u32)
            .map(|at| sampler.token(at))
            .collect();
        assert_eq!(self.emitted, expected, "seed {seed}");
        if self.is_finished {
            assert_eq!(self.emitted.len() as u32, MAX_TOKENS, "seed {seed}");
        }
        if let Some(problem) = &self.problem {
            let complete = problem.complete_tokens.unwrap();
            assert_eq!(complete as usize, self.emitted.len(), "seed {seed}");
        }
    }

    /// Performs one random step; most steps inject a fault.
    fn random_step(&mut self, random: &mut StdRng) {
        let count = random.random_range(1..4);
        let Some(frame) = self.next_frame(count) else {
            return self.random_step_without_connection(random);
        };
        match random.random_range(0..16) {
            0..=5 => {
                self.clock
                    .advance(Duration::from_millis(random.random_range(1..30)));
                self.deliver(frame);
            }
            6 => {
                // The frame is lost, so the next one starts after a gap.
                if let Some((_, _, _, position)) = &mut self.connection {
                    *position = (*position + count).min(MAX_TOKENS - 1);
                }
            }
            7 => {
                self.deliver(frame.clone());
                self.deliver(frame);
            }
            8 => {
                let mut later = frame.clone();
                later.position += count;
                self.deliver(later);
                self.deliver(frame);
            }
            9 => self.deliver(wire::Frame {
                request_id: "r-2".into(),
                ..frame
            }),
            10 => self.deliver(wire::Frame {
                attempt: frame.attempt.wrapping_sub(1),
                ..frame
            }),
            11 => self.deliver(wire::Frame {
                model_version: "9".into(),
                ..frame
            }),
            12 => self.handle(Event::Closed {
                attempt: frame.attempt,
                was_sent: random.random(),
            }),
            13 => {
                // The connection of an earlier attempt ends late.
                let attempt = frame.attempt.wrapping_sub(1);
                self.handle(Event::Closed {
                    attempt,
                    was_sent: true,
                });
            }
            14 => self.advance_to_deadline(),
            _ => self.answer_probe_at_random(random),
        }
    }

    fn answer_probe_at_random(&mut self, random: &mut StdRng) {
        // Three deaths would end the generation as engine-killer, which another test covers.
        match random.random_range(0..5) {
            0 if !self.is_death_probe => self.time_out_probe(),
            1 => self.answer_probe(Phase::Prefill, 0),
            2 => self.answer_probe(Phase::Decode, 0),
            3 => self.answer_probe(Phase::Decode, 3),
            _ => self.answer_probe(Phase::Unknown, 0),
        }
    }

    /// Performs one random step while no attempt runs.
    fn random_step_without_connection(&mut self, random: &mut StdRng) {
        // Engines answer probes, so that no death counts against the prompt.
        self.answer_probe(Phase::Unknown, 0);
        match random.random_range(0..4) {
            0 if self
                .requested_placement
                .as_ref()
                .is_some_and(|(_, excluded)| !excluded.is_empty()) =>
            {
                self.requested_placement = None;
                self.handle(Event::PlacementFailed);
            }
            1 => self.advance_to_deadline(),
            _ => self.answer_place_request(&["1", "1", "1", "1"]),
        }
    }

    /// Runs without further faults until the generation ends.
    fn run_to_end(&mut self, versions: &[&str]) {
        for _ in 0..1000 {
            if self.has_ended() {
                return;
            }
            self.answer_probe(Phase::Queued, 0);
            self.answer_place_request(versions);
            if let Some((_, _, _, position)) = &mut self.connection {
                *position = self.emitted.len() as u32;
                self.deliver_next(1);
            } else {
                self.advance_to_deadline();
            }
        }
        panic!("the generation did not end");
    }
}

/// Guards against missing, repeated or wrong tokens after frames were dropped, duplicated or
/// reordered, or came from another request, version or attempt; and against a generation that
/// hangs.
#[test]
fn random_faults_do_not_change_the_output() {
    for seed in 0..3000 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut simulation = Simulation::new(request(), seed % 4 > 0);
        simulation.handle(Event::Placed(placement(1, "1")));
        for _ in 0..random.random_range(5..60) {
            if simulation.has_ended() {
                break;
            }
            simulation.random_step(&mut random);
            simulation.assert_output(seed);
        }
        if !simulation.has_ended() {
            simulation.run_to_end(&["1", "1", "1", "1"]);
        }
        simulation.assert_output(seed);
        let has_failed_by_limit = simulation.faults.len() >= 16
            && simulation.problem.as_ref().map(|problem| problem.reason)
                == Some(Reason::ResumeLimit);
        assert!(
            simulation.is_finished || has_failed_by_limit,
            "seed {seed}: {:?}",
            simulation.problem
        );
    }
}

fn running_simulation(is_streamed: bool, tokens: u32) -> Simulation {
    let mut simulation = Simulation::new(request(), is_streamed);
    simulation.handle(Event::Placed(placement(1, "1")));
    for _ in 0..tokens {
        simulation.clock.advance(Duration::from_millis(10));
        simulation.deliver_next(1);
    }
    simulation
}

/// Guards against mistaking a dead connection, a slow batch, a stalled stream and a silent engine
/// for one another.
#[test]
fn probes_distinguish_causes_of_silence() {
    let mut dead_connection = running_simulation(true, 10);
    dead_connection.advance_to_deadline();
    dead_connection.answer_probe(Phase::Decode, 6);
    assert!(dead_connection.faults.is_empty(), "frames may be in flight");
    dead_connection.advance_to_deadline();
    assert_eq!(dead_connection.faults, [Fault::Connection]);
    assert_eq!(
        dead_connection.started_engines,
        [1, 1],
        "the engine's cache is warm"
    );

    let mut slow = running_simulation(true, 10);
    for phase in [Phase::Queued, Phase::Prefill, Phase::Queued, Phase::Decode] {
        slow.advance_to_deadline();
        slow.answer_probe(phase, 0);
    }
    assert!(slow.faults.is_empty(), "{:?}", slow.faults);

    let mut stalled = running_simulation(true, 10);
    let silent_since = stalled.clock.now();
    for _ in 0..2 {
        stalled.advance_to_deadline();
        stalled.answer_probe(Phase::Decode, 0);
    }
    assert_eq!(stalled.faults, [Fault::Stalled]);
    stalled.answer_place_request(&["1", "1"]);
    assert_eq!(stalled.started_engines, [1, 2]);
    assert!(stalled.clock.now() - silent_since < Duration::from_secs(2));

    let mut silent = running_simulation(true, 10);
    silent.advance_to_deadline();
    silent.time_out_probe();
    assert_eq!(silent.faults, [Fault::Silent]);
}

/// Guards against a needless resume although a frame arrived after the probe was sent.
#[test]
fn frame_during_a_probe_prevents_a_resume() {
    for ahead in [0, 4] {
        let mut simulation = running_simulation(true, 10);
        simulation.advance_to_deadline();
        simulation.answer_probe(Phase::Decode, ahead);
        simulation.deliver_next(1);
        simulation.time_out_probe();
        simulation.run_to_end(&["1", "1"]);
        assert!(simulation.faults.is_empty(), "{:?}", simulation.faults);
        assert!(simulation.is_finished);
    }
}

/// Guards against an engine that counts as silent because this process itself was paused.
#[test]
fn pause_of_this_process_is_not_silence_of_the_engine() {
    let mut simulation = running_simulation(true, 10);
    simulation.advance(Duration::from_secs(30));
    assert_eq!(simulation.probe_id, None);
    simulation.deliver_next(1);
    assert!(simulation.faults.is_empty());
}

/// Guards against a retry on the engine that just failed while another is available, and against a
/// failure although that engine, the only one left, works again.
#[test]
fn failed_engine_is_used_last() {
    let closed = |simulation: &Simulation| Event::Closed {
        attempt: simulation.generation.attempt(),
        was_sent: true,
    };
    let mut simulation = running_simulation(true, 5);
    simulation.handle(closed(&simulation));
    simulation.answer_place_request(&["1", "1"]);
    simulation.handle(closed(&simulation));
    simulation.answer_place_request(&["1", "1", "1"]);
    assert_eq!(simulation.started_engines, [1, 2, 3]);

    let mut single_engine = running_simulation(true, 5);
    single_engine.handle(closed(&single_engine));
    single_engine.answer_place_request(&["1"]);
    assert_eq!(
        single_engine.started_engines,
        [1],
        "not while another engine may be available"
    );
    single_engine.answer_place_request(&["1"]);
    assert_eq!(single_engine.started_engines, [1, 1]);
    single_engine.run_to_end(&["1"]);
    assert!(single_engine.is_finished);
}

/// Guards against output of another model version after that of the first. Before the caller has a
/// token the generation restarts; after that it fails and reports the number of complete tokens.
#[test]
fn other_version_does_not_continue_output() {
    for (is_streamed, tokens) in [(true, 0), (false, 5), (true, 5)] {
        let mut simulation = running_simulation(is_streamed, tokens);
        simulation.handle(Event::Closed {
            attempt: 1,
            was_sent: true,
        });
        simulation.run_to_end(&["1-gone", "2"]);
        simulation.assert_output(0);
        if is_streamed && tokens > 0 {
            let problem = simulation.problem.unwrap();
            assert_eq!(problem.reason, Reason::VersionGone);
            assert_eq!(problem.complete_tokens, Some(tokens));
        } else {
            assert!(simulation.is_finished);
            assert_eq!(simulation.version, "1-gone");
            assert_eq!(simulation.restarts, u32::from(tokens > 0));
        }
    }
}

/// Guards against continuing the tokens of a sampler with hidden state, which another engine cannot
/// reproduce.
#[test]
fn only_output_of_the_counter_sampler_is_continued() {
    for is_streamed in [true, false] {
        let mut simulation = running_simulation(is_streamed, 0);
        let mut frame = simulation.next_frame(2).unwrap();
        frame.sampler = "stateful".into();
        simulation.deliver(frame);
        simulation.handle(Event::Closed {
            attempt: 1,
            was_sent: true,
        });
        match is_streamed {
            true => assert_eq!(simulation.problem.unwrap().complete_tokens, Some(2)),
            false => assert_eq!(simulation.restarts, 1),
        }
    }
}

/// Guards against a prompt that kills one engine after the other, and against refusing a prompt
/// whose connections broke while their engines stayed alive.
#[test]
fn prompt_that_kills_engines_is_refused() {
    for engine_died in [true, false] {
        let mut simulation = running_simulation(true, 1);
        let mut broken = 0;
        while broken < 3 && !simulation.has_ended() {
            let attempt = simulation.generation.attempt();
            simulation.handle(Event::Closed {
                attempt,
                was_sent: true,
            });
            broken += 1;
            match engine_died {
                true => simulation.time_out_probe(),
                false => simulation.answer_probe(Phase::Unknown, 0),
            }
            simulation.answer_place_request(&["1"; 8]);
            simulation.deliver_next(1);
        }
        let reason = simulation.problem.as_ref().map(|problem| problem.reason);
        assert_eq!(reason, engine_died.then_some(Reason::EngineKiller));
        assert_eq!(
            simulation.started_engines.len(),
            if engine_died { 3 } else { 4 }
        );
        let mut other_caller = Simulation::new(request(), true);
        other_caller.shared = simulation.shared;
        other_caller.handle(Event::Placed(placement(5, "1")));
        assert_eq!(
            other_caller.problem.is_some(),
            engine_died,
            "same prompt of another caller"
        );
    }
}
