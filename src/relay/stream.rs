//! Runs a generation: starts attempts, relays their frames, resumes broken ones.

use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use log::{info, warn};

use super::generation::{Fault, Generation, Next, Verdict};
use crate::dispatch::{Handle, Health, Placement};
use crate::engine;
use crate::http::problem::{Problem, Reason};
use crate::route::fleet::{Engine, Need};
use crate::util::within;
use crate::wire::{self, Work};

/// Time without a frame after which an attempt is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// Time without a first frame after which an attempt is given up.
const FIRST_FRAME_LIMIT: Duration = Duration::from_secs(10);

/// Longest wait for a place for a resumed attempt.
const RESUME_LIMIT: Duration = Duration::from_secs(20);

/// Receives the output of a generation.
pub trait Sink {
    /// Takes a frame of new tokens.
    ///
    /// # Errors
    /// The caller is gone.
    fn emit(&mut self, frame: &wire::Frame) -> impl Future<Output = Result<(), Gone>>;
}

/// The caller went away; the generation is cancelled.
#[derive(Clone, Copy, Debug)]
pub struct Gone;

/// How a generation ended.
#[derive(Debug)]
pub enum End {
    /// All tokens were emitted.
    Complete,
    /// The caller is gone.
    Gone,
    /// The generation could not be completed.
    Failed(Problem),
}

enum Attempt {
    Finished,
    Gone,
    Broken(Fault),
    /// The dispatch task asked to give way to urgent work.
    Paused,
}

/// Runs a generation to its end, from its first placement on.
pub async fn run<S: Sink>(
    dispatch: &Handle,
    mut placement: Placement,
    need: Need,
    generation: &mut Generation,
    sink: &mut S,
) -> End {
    let mut excluded: Vec<Engine> = Vec::new();
    loop {
        let fault = match attempt(dispatch, &placement, generation, sink).await {
            Attempt::Finished => return End::Complete,
            Attempt::Gone => return End::Gone,
            Attempt::Broken(fault) => fault,
            Attempt::Paused => {
                let need = Need {
                    version: generation.version().cloned(),
                    excluded: excluded.clone(),
                    ..need.clone()
                };
                let deadline = Instant::now() + RESUME_LIMIT;
                placement = match dispatch.replace(placement.ticket, need, deadline).await {
                    Ok(placement) => placement,
                    Err(_) => return End::Failed(no_engine(generation)),
                };
                continue;
            }
        };
        warn!(
            "event=attempt_broken engine={} attempt={} fault={fault:?} position={}",
            placement.name,
            generation.attempt(),
            generation.tokens().len()
        );
        if fault != Fault::Refused {
            dispatch.health(placement.engine, Health::Failed);
        }
        if generation.broken(fault) == Next::GiveUp {
            return End::Failed(give_up(generation));
        }
        excluded.push(placement.engine);
        let need = Need {
            version: generation.version().cloned(),
            excluded: excluded.clone(),
            ..need.clone()
        };
        let deadline = Instant::now() + RESUME_LIMIT;
        placement = match dispatch.replace(placement.ticket, need, deadline).await {
            Ok(placement) => placement,
            Err(_) => return End::Failed(no_engine(generation)),
        };
    }
}

fn give_up(generation: &Generation) -> Problem {
    let detail = "several engines died while serving this prompt; change the prompt";
    Problem::new(Reason::EngineKiller, Work::Ran, detail)
        .complete_tokens(generation.tokens().len() as u32)
}

fn no_engine(generation: &Generation) -> Problem {
    let detail = "no engine with the same version took the generation over; \
                  reconnect later with the last event id";
    Problem::new(Reason::VersionGone, Work::Ran, detail)
        .complete_tokens(generation.tokens().len() as u32)
        .retry_after(Duration::from_secs(5))
}

async fn attempt<S: Sink>(
    dispatch: &Handle,
    placement: &Placement,
    generation: &mut Generation,
    sink: &mut S,
) -> Attempt {
    let request = wire::Request {
        priority: placement.priority,
        ..generation.begin_attempt()
    };
    let started = within(
        FIRST_FRAME_LIMIT,
        engine::start(&placement.address, &request),
    )
    .await;
    let mut stream = match started {
        Some(Ok(stream)) => stream,
        Some(Err(engine::Error::Refused(problem))) => {
            info!(
                "event=engine_refused engine={} reason={}",
                placement.name,
                problem.reason.as_str()
            );
            if problem.reason == Reason::Leaving {
                dispatch.health(placement.engine, Health::Leaving);
            }
            return Attempt::Broken(Fault::Refused);
        }
        Some(Err(_)) => return Attempt::Broken(Fault::Died),
        None => return Attempt::Broken(Fault::Silent),
    };
    let mut limit = FIRST_FRAME_LIMIT;
    loop {
        let next = within(limit, stream.next());
        let paused = placement.paused.wait();
        let next = match select(std::pin::pin!(next), std::pin::pin!(paused)).await {
            Either::Left((next, _)) => next,
            Either::Right(_) => {
                engine::cancel(&placement.address, &request.request_id, request.attempt).await;
                return Attempt::Paused;
            }
        };
        let frame = match next {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Attempt::Broken(Fault::Died),
            None => {
                engine::cancel(&placement.address, &request.request_id, request.attempt).await;
                return Attempt::Broken(Fault::Silent);
            }
        };
        limit = SILENCE_LIMIT;
        let verdict = generation.accept(request.attempt, &frame);
        match verdict {
            Verdict::Stale => continue,
            Verdict::Broken(fault) => return Attempt::Broken(fault),
            Verdict::Emit | Verdict::Finish => {}
        }
        dispatch.progress(placement.ticket, frame.tokens.len() as u32, frame.load);
        if sink.emit(&frame).await.is_err() {
            return Attempt::Gone;
        }
        if verdict == Verdict::Finish {
            return Attempt::Finished;
        }
    }
}
