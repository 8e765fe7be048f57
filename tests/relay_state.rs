//! The state of a generation under seeded random histories, with a clock that is moved by hand.

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

/// The outside of one generation: engines, clock, and a caller that keeps what it gets.
struct World {
    clock: Manual,
    shared: Shared,
    generation: Generation,
    // Engine, version, attempt and next position of the open connection.
    open: Option<(u64, CompactString, u32, u32)>,
    place: Option<(Option<CompactString>, Vec<Engine>)>,
    probe: Option<u32>,
    // Whether the question is about an engine whose connection closed.
    is_autopsy: bool,
    emitted: Vec<u32>,
    version: CompactString,
    faults: Vec<Fault>,
    starts: Vec<u64>,
    restarts: u32,
    is_finished: bool,
    problem: Option<Problem>,
}

impl World {
    fn new(request: wire::Request, is_streamed: bool) -> Self {
        Self {
            clock: Manual::default(),
            shared: Shared::default(),
            emitted: request.resume_tokens.clone(),
            generation: Generation::new(request, is_streamed),
            open: None,
            place: None,
            probe: None,
            is_autopsy: false,
            version: "1".into(),
            faults: Vec::new(),
            starts: Vec::new(),
            restarts: 0,
            is_finished: false,
            problem: None,
        }
    }

    fn send(&mut self, event: Event) {
        let now = self.clock.now();
        let actions = self.generation.handle(event, now, &mut self.shared);
        for action in actions {
            assert!(!self.is_over(), "after the end: {action:?}");
            self.perform(action);
        }
    }

    fn is_over(&self) -> bool {
        self.is_finished || self.problem.is_some()
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start(placement) => {
                let request = self.generation.request();
                assert_eq!(request.resume_tokens, self.emitted);
                let number = placement.address["address-".len()..].parse().unwrap();
                self.starts.push(number);
                let position = request.resume_tokens.len() as u32;
                self.open = Some((number, placement.version, request.attempt, position));
            }
            Action::Place {
                version, excluded, ..
            } => self.place = Some((version, excluded)),
            Action::Probe { probe, .. } => {
                self.probe = Some(probe);
                self.is_autopsy = self.open.is_none();
            }
            Action::Emit(frame) => {
                self.version = frame.model_version;
                self.emitted.extend(frame.tokens);
            }
            Action::Restart => {
                self.restarts += 1;
                self.emitted.clear();
            }
            Action::Broken { fault, .. } => {
                self.faults.push(fault);
                self.open = None;
            }
            Action::Finish => self.is_finished = true,
            Action::Fail(problem) => self.problem = Some(problem),
            Action::Cancel { .. } => {}
        }
    }

    fn frame(&self, count: u32) -> Option<wire::Frame> {
        let (_, version, attempt, position) = self.open.clone()?;
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
        if let Some((_, _, attempt, position)) = &mut self.open {
            *position = (frame.position + frame.tokens.len() as u32).min(MAX_TOKENS - 1);
            let attempt = *attempt;
            self.send(Event::Frame { attempt, frame });
        }
    }

    fn deliver_next(&mut self, count: u32) {
        if let Some(frame) = self.frame(count) {
            self.deliver(frame);
        }
    }

    fn pass(&mut self, time: Duration) {
        self.clock.advance(time);
        self.send(Event::Tick);
    }

    fn pass_to_deadline(&mut self) {
        if let Some(deadline) = self.generation.deadline() {
            let now: Instant = self.clock.now();
            self.pass(deadline.saturating_duration_since(now));
        }
    }

    fn answer(&mut self, state: Phase, ahead: u32) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let answer = Some(wire::Stream {
            state,
            attempt: self.generation.attempt(),
            position: self.emitted.len() as u32 + ahead,
        });
        self.send(Event::Probed { probe, answer });
    }

    fn no_answer(&mut self) {
        if let Some(probe) = self.probe.take() {
            let answer = None;
            self.send(Event::Probed { probe, answer });
        }
    }

    /// Gives a place on the first engine that is not excluded.
    fn give_place(&mut self, versions: &[&str]) {
        let Some((version, excluded)) = self.place.take() else {
            return;
        };
        let fits = |number: &u64| {
            let own = versions[*number as usize - 1];
            !excluded.contains(&engine(*number)) && version.as_ref().is_none_or(|v| v == own)
        };
        let found = (1..=versions.len() as u64).find(fits);
        let event = found.map_or(Event::Unplaced, |number| {
            Event::Placed(placement(number, versions[number as usize - 1]))
        });
        self.send(event);
    }

    fn check(&self, seed: u64) {
        let sampler = Sampler::new("atlas", &self.version, PROMPT, 5);
        let right: Vec<_> = (0..self.emitted.len() as u32)
            .map(|at| sampler.token(at))
            .collect();
        assert_eq!(self.emitted, right, "seed {seed}");
        if self.is_finished {
            assert_eq!(self.emitted.len() as u32, MAX_TOKENS, "seed {seed}");
        }
        if let Some(problem) = &self.problem {
            let complete = problem.complete_tokens.unwrap();
            assert_eq!(complete as usize, self.emitted.len(), "seed {seed}");
        }
    }

    /// Does one random step, most of them harmful.
    fn misbehave(&mut self, random: &mut StdRng) {
        let count = random.random_range(1..4);
        let Some(frame) = self.frame(count) else {
            return self.stay_out(random);
        };
        match random.random_range(0..16) {
            0..=5 => {
                self.clock
                    .advance(Duration::from_millis(random.random_range(1..30)));
                self.deliver(frame);
            }
            6 => {
                // The frame is lost, so the next one has a gap before it.
                if let Some((_, _, _, position)) = &mut self.open {
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
            12 => self.send(Event::Closed {
                attempt: frame.attempt,
                sent: random.random(),
            }),
            13 => {
                // The connection of an earlier attempt ends late.
                let attempt = frame.attempt.wrapping_sub(1);
                self.send(Event::Closed {
                    attempt,
                    sent: true,
                });
            }
            14 => self.pass_to_deadline(),
            _ => self.answer_at_random(random),
        }
    }

    fn answer_at_random(&mut self, random: &mut StdRng) {
        // A third death would be blamed on the prompt, which another test covers.
        match random.random_range(0..5) {
            0 if !self.is_autopsy => self.no_answer(),
            1 => self.answer(Phase::Prefill, 0),
            2 => self.answer(Phase::Decode, 0),
            3 => self.answer(Phase::Decode, 3),
            _ => self.answer(Phase::Unknown, 0),
        }
    }

    fn stay_out(&mut self, random: &mut StdRng) {
        // Engines answer, so that no death is blamed on the prompt.
        self.answer(Phase::Unknown, 0);
        match random.random_range(0..4) {
            0 if self
                .place
                .as_ref()
                .is_some_and(|(_, excluded)| !excluded.is_empty()) =>
            {
                self.place = None;
                self.send(Event::Unplaced);
            }
            1 => self.pass_to_deadline(),
            _ => self.give_place(&["1", "1", "1", "1"]),
        }
    }

    /// Lets everything go well until the end.
    fn behave(&mut self, versions: &[&str]) {
        for _ in 0..1000 {
            if self.is_over() {
                return;
            }
            self.answer(Phase::Queued, 0);
            self.give_place(versions);
            if let Some((_, _, _, position)) = &mut self.open {
                *position = self.emitted.len() as u32;
                self.deliver_next(1);
            } else {
                self.pass_to_deadline();
            }
        }
        panic!("the generation did not end");
    }
}

/// Guards against a token that is missing, repeated or of another generation after frames were
/// dropped, duplicated, reordered, foreign or stale, and against a generation that gets stuck.
#[test]
fn random_histories_emit_exactly_the_sequence() {
    for seed in 0..3000 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::new(request(), seed % 4 > 0);
        world.send(Event::Placed(placement(1, "1")));
        for _ in 0..random.random_range(5..60) {
            if world.is_over() {
                break;
            }
            world.misbehave(&mut random);
            world.check(seed);
        }
        if !world.is_over() {
            world.behave(&["1", "1", "1", "1"]);
        }
        world.check(seed);
        let is_given_up = world.faults.len() >= 16
            && world.problem.as_ref().map(|problem| problem.reason) == Some(Reason::ResumeLimit);
        assert!(
            world.is_finished || is_given_up,
            "seed {seed}: {:?}",
            world.problem
        );
    }
}

fn running(is_streamed: bool, tokens: u32) -> World {
    let mut world = World::new(request(), is_streamed);
    world.send(Event::Placed(placement(1, "1")));
    for _ in 0..tokens {
        world.clock.advance(Duration::from_millis(10));
        world.deliver_next(1);
    }
    world
}

/// Guards against a dead connection, a slow batch, a stall and a silent engine taken for one
/// another.
#[test]
fn probes_tell_the_causes_of_silence_apart() {
    let mut connection = running(true, 10);
    connection.pass_to_deadline();
    connection.answer(Phase::Decode, 6);
    assert!(connection.faults.is_empty(), "frames may be on the way");
    connection.pass_to_deadline();
    assert_eq!(connection.faults, [Fault::Connection]);
    assert_eq!(connection.starts, [1, 1], "the engine's cache is warm");

    let mut slow = running(true, 10);
    for phase in [Phase::Queued, Phase::Prefill, Phase::Queued, Phase::Decode] {
        slow.pass_to_deadline();
        slow.answer(phase, 0);
    }
    assert!(slow.faults.is_empty(), "{:?}", slow.faults);

    let mut stalled = running(true, 10);
    let silent_since = stalled.clock.now();
    for _ in 0..2 {
        stalled.pass_to_deadline();
        stalled.answer(Phase::Decode, 0);
    }
    assert_eq!(stalled.faults, [Fault::Stalled]);
    stalled.give_place(&["1", "1"]);
    assert_eq!(stalled.starts, [1, 2]);
    assert!(stalled.clock.now() - silent_since < Duration::from_secs(2));

    let mut silent = running(true, 10);
    silent.pass_to_deadline();
    silent.no_answer();
    assert_eq!(silent.faults, [Fault::Silent]);
}

/// Guards against a frame that arrives during a question and is followed by a needless resume.
#[test]
fn a_late_frame_ends_the_suspicion() {
    for ahead in [0, 4] {
        let mut world = running(true, 10);
        world.pass_to_deadline();
        world.answer(Phase::Decode, ahead);
        world.deliver_next(1);
        world.no_answer();
        world.behave(&["1", "1"]);
        assert!(world.faults.is_empty(), "{:?}", world.faults);
        assert!(world.is_finished);
    }
}

/// Guards against engines that are declared silent because this process itself was paused.
#[test]
fn an_own_pause_is_no_silence() {
    let mut world = running(true, 10);
    world.pass(Duration::from_secs(30));
    assert_eq!(world.probe, None);
    world.deliver_next(1);
    assert!(world.faults.is_empty());
}

/// Guards against a retry on the engine that just failed while others live, and against giving up
/// when only that engine is left.
#[test]
fn the_failed_engine_is_the_last_resort() {
    let closed = |world: &World| Event::Closed {
        attempt: world.generation.attempt(),
        sent: true,
    };
    let mut world = running(true, 5);
    world.send(closed(&world));
    world.give_place(&["1", "1"]);
    world.send(closed(&world));
    world.give_place(&["1", "1", "1"]);
    assert_eq!(world.starts, [1, 2, 3]);

    let mut single = running(true, 5);
    single.send(closed(&single));
    single.give_place(&["1"]);
    assert_eq!(single.starts, [1], "not while others may live");
    single.give_place(&["1"]);
    assert_eq!(single.starts, [1, 1]);
    single.behave(&["1"]);
    assert!(single.is_finished);
}

/// Guards against a continuation by another version: before the first byte the generation starts
/// again, after it the generation ends and says how much is complete.
#[test]
fn another_version_continues_nothing() {
    for (is_streamed, tokens) in [(true, 0), (false, 5), (true, 5)] {
        let mut world = running(is_streamed, tokens);
        world.send(Event::Closed {
            attempt: 1,
            sent: true,
        });
        world.behave(&["1-gone", "2"]);
        world.check(0);
        if is_streamed && tokens > 0 {
            let problem = world.problem.unwrap();
            assert_eq!(problem.reason, Reason::VersionGone);
            assert_eq!(problem.complete_tokens, Some(tokens));
        } else {
            assert!(world.is_finished);
            assert_eq!(world.version, "1-gone");
            assert_eq!(world.restarts, u32::from(tokens > 0));
        }
    }
}

/// Guards against a continuation of tokens that a sampler with hidden state produced.
#[test]
fn only_the_counter_sampler_is_continued() {
    for is_streamed in [true, false] {
        let mut world = running(is_streamed, 0);
        let mut frame = world.frame(2).unwrap();
        frame.sampler = "stateful".into();
        world.deliver(frame);
        world.send(Event::Closed {
            attempt: 1,
            sent: true,
        });
        match is_streamed {
            true => assert_eq!(world.problem.unwrap().complete_tokens, Some(2)),
            false => assert_eq!(world.restarts, 1),
        }
    }
}

/// Guards against a prompt that takes down one engine after the other, and against one that is
/// blamed for connections that broke while their engines lived.
#[test]
fn a_prompt_that_kills_engines_is_stopped() {
    for died in [true, false] {
        let mut world = running(true, 1);
        let mut broken = 0;
        while broken < 3 && !world.is_over() {
            let attempt = world.generation.attempt();
            world.send(Event::Closed {
                attempt,
                sent: true,
            });
            broken += 1;
            match died {
                true => world.no_answer(),
                false => world.answer(Phase::Unknown, 0),
            }
            world.give_place(&["1"; 8]);
            world.deliver_next(1);
        }
        let reason = world.problem.as_ref().map(|problem| problem.reason);
        assert_eq!(reason, died.then_some(Reason::EngineKiller));
        assert_eq!(world.starts.len(), if died { 3 } else { 4 });
        let mut same = World::new(request(), true);
        same.shared = world.shared;
        same.send(Event::Placed(placement(5, "1")));
        assert_eq!(same.problem.is_some(), died, "another caller's same prompt");
    }
}
