//! Open-loop load generator: calls start at random times that do not depend on the answers.

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

/// Maximum number of times that a caller reconnects to continue an answer.
const RECONNECTS_MAX: u32 = 3;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Router addresses, `IP:PORT`; calls are sent to them in turn.
    pub routers: Vec<String>,
    /// API key of the caller.
    pub key: String,
    /// Model name.
    pub model: CompactString,
    /// Mean number of calls a second; their starts are a Poisson process.
    pub rate: f64,
    /// Time during which calls start.
    pub duration: Duration,
    /// Number of words of each prompt.
    pub prompt_words: u32,
    /// Number of output tokens of each call.
    pub max_tokens: u32,
    /// Percentage of calls with rank urgent.
    pub urgent_percent: u32,
    /// Longest wait for the response head and for each event.
    pub event_timeout: Duration,
    /// Seed of the random start times, prompts and ranks.
    pub seed: u64,
}

/// Percentiles of a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// Result of a load run.
///
/// Invariant: `calls == complete + refused + failed`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Seed of the run.
    pub seed: u64,
    /// Calls that were started.
    pub calls: u64,
    /// Calls whose answer ended normally and with all tokens correct.
    pub complete: u64,
    /// Calls that ended with a problem document before their first token.
    pub refused: u64,
    /// All other calls.
    pub failed: u64,
    /// Number of times that an answer was continued, through the next router.
    pub reconnects: u64,
    /// New tokens that were correct for their position.
    pub tokens: u64,
    /// Output positions that were skipped.
    pub missing: u64,
    /// Correct tokens at positions that were received before.
    pub repeated: u64,
    /// Tokens that differed from the expected token at their position.
    pub mixed: u64,
    /// Time to the first event of an answer.
    pub first_token: Percentiles,
    /// Time between consecutive events.
    pub between_tokens: Percentiles,
}

impl Summary {
    /// Returns whether no token was missing, repeated or mixed in any answer.
    pub fn is_exact(&self) -> bool {
        self.missing == 0 && self.repeated == 0 && self.mixed == 0
    }
}

/// The result so far.
struct Recorder {
    // Without the percentiles, which are computed at the end.
    summary: Summary,
    first_token_us: Histogram<u64>,
    between_tokens_us: Histogram<u64>,
}

impl Recorder {
    fn new(seed: u64) -> Self {
        let histogram = || Histogram::new(3).expect("3 significant digits are valid");
        Self {
            summary: Summary {
                seed,
                ..Summary::default()
            },
            first_token_us: histogram(),
            between_tokens_us: histogram(),
        }
    }

    /// Adds the answer to a call.
    fn record(&mut self, answer: &Answer, reconnects: u32) {
        let summary = &mut self.summary;
        summary.calls += 1;
        summary.reconnects += u64::from(reconnects);
        summary.tokens += u64::from(answer.tokens);
        summary.missing += u64::from(answer.missing);
        summary.repeated += u64::from(answer.repeated);
        summary.mixed += u64::from(answer.mismatched);
        let is_refused = answer.problem.is_some() && answer.received.is_empty();
        match (answer.complete, is_refused) {
            (true, _) => summary.complete += 1,
            (false, true) => summary.refused += 1,
            (false, false) => summary.failed += 1,
        }
        let micros = |time: &Duration| time.as_micros() as u64;
        if let Some(first) = &answer.first_token {
            self.first_token_us.saturating_record(micros(first));
        }
        for gap in &answer.gaps {
            self.between_tokens_us.saturating_record(micros(gap));
        }
    }

    fn into_summary(self) -> Summary {
        Summary {
            first_token: percentiles(&self.first_token_us),
            between_tokens: percentiles(&self.between_tokens_us),
            ..self.summary
        }
    }
}

/// Returns the percentiles of a histogram of microseconds.
fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let ms = |micros: u64| micros as f64 / 1000.0;
    Percentiles {
        p50_ms: ms(histogram.value_at_quantile(0.5)),
        p95_ms: ms(histogram.value_at_quantile(0.95)),
        p99_ms: ms(histogram.value_at_quantile(0.99)),
        max_ms: ms(histogram.max()),
    }
}

/// Generates the load and waits until all answers have ended. Once `stop` is set, no more calls
/// start.
pub async fn run(plan: Plan, stop: &Signal) -> Summary {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let recorder = Rc::new(RefCell::new(Recorder::new(plan.seed)));
    let plan = Rc::new(plan);
    let calls = Group::default();
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut number = 0;
    loop {
        // The gaps have an exponential distribution and do not depend on the answers, so that a
        // slow router gets the full rate.
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / plan.rate);
        if due >= plan.duration {
            break;
        }
        let wait = due.saturating_sub(started.elapsed());
        if within(wait, stop.wait()).await.is_some() {
            break;
        }
        let call = random_call(&plan, &mut random);
        let (plan, recorder) = (plan.clone(), recorder.clone());
        calls.spawn(async move {
            let (answer, reconnects) = run_call(&plan.routers, number, &call).await;
            recorder.borrow_mut().record(&answer, reconnects);
        });
        number += 1;
    }
    calls.join().await;
    recorder.replace(Recorder::new(0)).into_summary()
}

fn random_call(plan: &Plan, random: &mut StdRng) -> Call {
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
        event_timeout: plan.event_timeout,
    }
}

/// Makes a call and, if its answer ends early, continues it through the next routers. Returns the
/// answer and the number of reconnects.
async fn run_call(routers: &[String], number: usize, call: &Call) -> (Answer, u32) {
    let mut answer = client::complete(&routers[number % routers.len()], call).await;
    let mut reconnects = 0;
    while answer.failure.is_some() && !answer.cursor.is_empty() && reconnects < RECONNECTS_MAX {
        reconnects += 1;
        let router = &routers[(number + reconnects as usize) % routers.len()];
        client::reconnect(router, call, &mut answer).await;
    }
    (answer, reconnects)
}
