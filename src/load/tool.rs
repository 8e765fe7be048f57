//! Open-loop load: calls start at their own times, however slow the answers are.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::client::{self, Answer, Call};
use crate::supervisor::{Group, Signal};
use crate::util::within;
use crate::wire::Rank;

/// Times that a caller reconnects with its cursor before an answer counts as broken.
const RECONNECTS_MAX: u32 = 3;

/// What to load and how.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Router addresses, `IP:PORT`, taken in turn.
    pub routers: Vec<String>,
    /// Key of the caller.
    pub key: String,
    /// Model name.
    pub model: CompactString,
    /// Calls a second; arrivals are a Poisson process.
    pub rate: f64,
    /// Time in which calls start.
    pub duration: Duration,
    /// Words of each prompt.
    pub prompt_words: u32,
    /// Output tokens of each call.
    pub max_tokens: u32,
    /// Percentage of urgent calls.
    pub urgent_percent: u32,
    /// Longest time without an event.
    pub patience: Duration,
    /// Seed of arrivals and prompts.
    pub seed: u64,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Greatest value.
    pub max_ms: f64,
}

/// What became of all calls.
///
/// Invariant: `calls == complete + refused + failed`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Calls that were started.
    pub calls: u64,
    /// Answers that ended with their last token.
    pub complete: u64,
    /// Calls that did not run.
    pub refused: u64,
    /// Calls that ended early.
    pub failed: u64,
    /// Times that a caller continued through another router.
    pub reconnects: u64,
    /// Tokens at their right position.
    pub tokens: u64,
    /// Positions that were passed over.
    pub missing: u64,
    /// Positions that came again.
    pub repeated: u64,
    /// Tokens of no position of their generation.
    pub mixed: u64,
    /// Time to the first token.
    pub first_token: Times,
    /// Time between events.
    pub between_tokens: Times,
}

impl Summary {
    /// Returns whether no token was missing, repeated or mixed in any answer.
    pub fn is_exact(&self) -> bool {
        self.missing == 0 && self.repeated == 0 && self.mixed == 0
    }
}

struct Counts {
    summary: Summary,
    // Microseconds.
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl Counts {
    fn new(seed: u64) -> Self {
        let histogram = || Histogram::new(3).expect("3 digits are allowed");
        Self {
            summary: Summary {
                seed,
                ..Summary::default()
            },
            first: histogram(),
            between: histogram(),
        }
    }

    fn take(&mut self, answer: &Answer, reconnects: u32) {
        let summary = &mut self.summary;
        summary.calls += 1;
        summary.reconnects += u64::from(reconnects);
        summary.tokens += u64::from(answer.tokens);
        summary.missing += u64::from(answer.missing);
        summary.repeated += u64::from(answer.repeated);
        summary.mixed += u64::from(answer.foreign);
        let is_refused = answer.problem.is_some() && answer.received.is_empty();
        match (answer.complete, is_refused) {
            (true, _) => summary.complete += 1,
            (false, true) => summary.refused += 1,
            (false, false) => summary.failed += 1,
        }
        let micros = |time: &Duration| time.as_micros() as u64;
        if let Some(first) = &answer.first_token {
            self.first.saturating_record(micros(first));
        }
        for gap in &answer.gaps {
            self.between.saturating_record(micros(gap));
        }
    }

    fn summary(self) -> Summary {
        Summary {
            first_token: times(&self.first),
            between_tokens: times(&self.between),
            ..self.summary
        }
    }
}

fn times(histogram: &Histogram<u64>) -> Times {
    let ms = |micros: u64| micros as f64 / 1000.0;
    Times {
        p50_ms: ms(histogram.value_at_quantile(0.5)),
        p95_ms: ms(histogram.value_at_quantile(0.95)),
        p99_ms: ms(histogram.value_at_quantile(0.99)),
        max_ms: ms(histogram.max()),
    }
}

/// Runs the load until all answers have ended. `stop` ends the start of calls early.
pub async fn run(plan: Plan, stop: &Signal) -> Summary {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let counts = Rc::new(RefCell::new(Counts::new(plan.seed)));
    let plan = Rc::new(plan);
    let calls = Group::default();
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut number = 0;
    loop {
        // Exponential gaps do not depend on the answers, so a slow router meets the full rate.
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / plan.rate);
        if due >= plan.duration {
            break;
        }
        let wait = due.saturating_sub(started.elapsed());
        if within(wait, stop.wait()).await.is_some() {
            break;
        }
        let call = call(&plan, &mut random);
        let (plan, counts) = (plan.clone(), counts.clone());
        calls.spawn(async move {
            let (answer, reconnects) = ask(&plan.routers, number, &call).await;
            counts.borrow_mut().take(&answer, reconnects);
        });
        number += 1;
    }
    calls.join().await;
    counts.replace(Counts::new(0)).summary()
}

fn call(plan: &Plan, random: &mut StdRng) -> Call {
    let words = (0..plan.prompt_words).map(|_| format!("w{:04x} ", random.random::<u16>()));
    Call {
        key: plan.key.clone(),
        model: plan.model.clone(),
        prompt: words.collect(),
        max_tokens: plan.max_tokens,
        seed: random.random(),
        rank: match random.random_range(0..100) < plan.urgent_percent {
            true => Rank::Urgent,
            false => Rank::Routine,
        },
        patience: plan.patience,
    }
}

async fn ask(routers: &[String], number: usize, call: &Call) -> (Answer, u32) {
    let mut answer = client::complete(&routers[number % routers.len()], call).await;
    let mut reconnects = 0;
    while answer.broken.is_some() && !answer.cursor.is_empty() && reconnects < RECONNECTS_MAX {
        reconnects += 1;
        let router = &routers[(number + reconnects as usize) % routers.len()];
        client::reconnect(router, call, &mut answer).await;
    }
    (answer, reconnects)
}
