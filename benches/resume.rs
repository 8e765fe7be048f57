//! Pauses and repeated work after engines are lost, and the overhead of relaying.
//!
//! Each round starts a set of streams on all engines, loses one engine or a third of them, and
//! checks every answer token by token. The baseline kills engines under clients without a router,
//! which start again from the first token. `BENCH_SEED` sets the seed. The last line is the result
//! as JSON.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bilberrypost::emulate::engine::Totals;
use bilberrypost::emulate::proxy;
use bilberrypost::engine;
use bilberrypost::load::client::{self, Answer};
use bilberrypost::util::within;
use bilberrypost::wire::{self, Kind, Phase, Rank};
use compact_str::{CompactString, format_compact};
use futures_util::future::join_all;
use rand::rngs::StdRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};
use serde_json::json;
use support::{Cluster, Proxy, block_on, call, domain, get, shared_settings, wait_until};

const ENGINES: usize = 6;
const STREAMS: usize = 48;
const TOKENS_PER_STREAM: u32 = 600;
const BROKEN_STREAMS_MIN: usize = 200;
const ROUNDS_MIN: usize = 18;
const ROUNDS_MAX: usize = 26;
const BASELINE_ROUNDS: usize = 2;
const OVERHEAD_CALLS: usize = 12;

/// Silence after which a client of the baseline tries the next engine.
const BASELINE_SILENCE_MAX: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// The process is killed.
    Kill,
    /// The process is stopped and continues after the round.
    Stop,
    /// Open connections carry no more bytes.
    Silence,
}

/// Work of engines, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    decoded: u64,
    prefilled: u64,
}

struct Fleet {
    cluster: Cluster,
    proxies: Vec<Proxy>,
    // Work of the engines that were killed.
    killed_work: Work,
}

impl Fleet {
    fn start() -> Self {
        let mut fleet = Self {
            cluster: Cluster::start(),
            proxies: Vec::new(),
            killed_work: Work::default(),
        };
        for index in 0..ENGINES {
            let engine = fleet.cluster.unlisted_engine(&[]);
            let proxy = Proxy::start(&engine.address);
            fleet.cluster.engines.push(engine);
            fleet.proxies.push(proxy);
            fleet.list(index);
        }
        fleet.cluster.router(&shared_settings(), ENGINES);
        fleet
    }

    fn list(&self, index: usize) {
        let name = format!("engine-{index}");
        let address = self.proxies[index].address();
        let kind = Kind::Engine;
        self.cluster
            .list(&name, kind, address, &domain(index), "atlas");
    }

    fn router(&self) -> &str {
        &self.cluster.routers[0].address
    }

    fn totals(&self, index: usize) -> Totals {
        let address = &self.cluster.engines[index].address;
        get(address, "/v1/emulation/totals")
    }

    /// Returns the work of all engines, including those that were killed.
    fn work(&self) -> Work {
        let present = self.work_without(&[]);
        Work {
            decoded: self.killed_work.decoded + present.decoded,
            prefilled: self.killed_work.prefilled + present.prefilled,
        }
    }

    /// Returns the tokens decoded by each engine, in order of their index.
    fn decoded_by_engine(&self) -> Vec<u64> {
        let engines = 0..ENGINES;
        engines.map(|index| self.totals(index).decoded).collect()
    }

    /// Returns the work of the current engines, except `victims`.
    fn work_without(&self, victims: &[usize]) -> Work {
        let engines = (0..ENGINES).filter(|index| !victims.contains(index));
        engines.fold(Work::default(), |sum, index| {
            let totals = self.totals(index);
            Work {
                decoded: sum.decoded + totals.decoded,
                prefilled: sum.prefilled + totals.prefilled,
            }
        })
    }

    /// Returns whether a stream is queued or runs on an engine.
    fn runs_stream(&self, index: usize, id: &str) -> bool {
        let address = &self.cluster.engines[index].address;
        let stream: wire::StreamStatus = get(address, &format!("/v1/streams/{id}"));
        matches!(stream.state, Phase::Queued | Phase::Prefill | Phase::Decode)
    }

    /// Loses the engines `victims`, on which `streams` streams run.
    fn inject_loss(&mut self, loss: Loss, victims: &[usize], streams: usize) {
        if loss == Loss::Kill {
            for index in victims {
                let totals = self.totals(*index);
                self.killed_work.decoded += totals.decoded;
                self.killed_work.prefilled += totals.prefilled;
            }
            // The engines keep decoding between the request for their totals and the kill. That
            // takes less than one step, so one token per stream is an upper bound.
            self.killed_work.decoded += streams as u64;
        }
        for index in victims {
            match loss {
                Loss::Kill => self.cluster.engines[*index].kill(),
                Loss::Stop => self.cluster.engines[*index].pause(),
                Loss::Silence => self.proxies[*index].set(proxy::Fault::Silence),
            }
        }
    }

    /// Restores the lost engines and waits until all are idle and known to the router.
    fn restore(&mut self, loss: Loss, victims: &[usize]) {
        for index in victims {
            match loss {
                Loss::Kill => {
                    let name = format!("engine-{index}");
                    let domain = domain(*index);
                    let args = ["emulate", "engine", "--name", &name];
                    let args = [&args[..], &["--failure-domain", &domain]].concat();
                    let engine = support::Process::start(&args);
                    self.proxies[*index] = Proxy::start(&engine.address);
                    self.cluster.engines[*index] = engine;
                    self.list(*index);
                }
                Loss::Stop => self.cluster.engines[*index].unpause(),
                Loss::Silence => self.proxies[*index].set(proxy::Fault::Pass),
            }
        }
        let all = 0..ENGINES;
        wait_until("the engines are idle", || {
            all.clone().all(|index| {
                let status: wire::Status =
                    get(&self.cluster.engines[index].address, "/v1/status?since=0");
                status.load.running == 0 && status.load.queued == 0
            })
        });
        let router = self.router().to_owned();
        wait_until("the router knows the engines", || {
            let status: serde_json::Value = get(&router, "/admin/v1/status");
            let engines = status["dispatch"]["engines"].as_object().unwrap();
            let known = |engine: &serde_json::Value| engine["version"] != "";
            engines.values().filter(|engine| known(engine)).count() == ENGINES
        });
    }
}

/// Request id and number of received tokens of each stream of a round.
type Progress = Arc<Mutex<Vec<(CompactString, usize)>>>;

fn prompt(round: usize, stream: usize) -> String {
    let preamble = "Observers report the clouds of the day. ".repeat(26);
    format!("{preamble}Round {round}, report {stream}.")
}

fn start_streams(
    router: &str,
    round: usize,
    progress: &Progress,
) -> thread::JoinHandle<Vec<Answer>> {
    let (router, progress) = (router.to_owned(), progress.clone());
    thread::spawn(move || {
        block_on(join_all((0..STREAMS).map(|stream| {
            let call = call(&prompt(round, stream), TOKENS_PER_STREAM, stream as u64);
            let (router, progress) = (router.clone(), progress.clone());
            async move {
                let record = |answer: &Answer| {
                    progress.lock().unwrap()[stream] =
                        (answer.request_id.clone(), answer.received.len());
                };
                client::observe(&router, &call, record).await
            }
        })))
    })
}

/// Sums and pauses over all rounds. A stream is broken if it ran on a lost engine.
#[derive(Default)]
struct Measurement {
    broken: usize,
    complete: usize,
    // Broken streams of rounds that lost more than one engine.
    broken_by_joint_loss: usize,
    missing: u32,
    repeated: u32,
    mixed: u32,
    unbroken_failed: usize,
    death_pauses_ms: Vec<f64>,
    silence_pauses_ms: Vec<f64>,
    redecoded: u64,
    // Tokens that the callers of broken streams received.
    broken_tokens: u64,
    after_kills: RepeatedWork,
}

/// Tokens that were prefilled or decoded again for streams whose engine was killed.
#[derive(Clone, Copy, Debug, Default)]
struct RepeatedWork {
    broken: usize,
    prefilled: u64,
    redecoded: u64,
}

impl RepeatedWork {
    fn add(&mut self, broken: usize, prefilled: u64, redecoded: u64) {
        self.broken += broken;
        self.prefilled += prefilled;
        self.redecoded += redecoded;
    }

    fn prefilled_mean(self) -> f64 {
        self.prefilled as f64 / self.broken.max(1) as f64
    }

    /// Returns the work per broken stream in decoded tokens. A prefilled token counts as 0.1, as in
    /// the scheduler's charges.
    fn work_mean(self) -> f64 {
        let work = self.redecoded as f64 + 0.1 * self.prefilled as f64;
        work / self.broken.max(1) as f64
    }
}

fn wait_for_progress(progress: &Progress, tokens: usize) {
    wait_until("all streams run", || {
        progress
            .lock()
            .unwrap()
            .iter()
            .all(|(_, got)| *got >= tokens)
    });
}

/// Chooses up to `count` engines that decoded tokens since `before`. Cache affinity can leave some
/// engines without streams.
fn choose_victims(fleet: &Fleet, before: &[u64], random: &mut StdRng, count: usize) -> Vec<usize> {
    let decoded = fleet.decoded_by_engine();
    let busy: Vec<_> = (0..ENGINES)
        .filter(|index| decoded[*index] > before[*index])
        .collect();
    let chosen = index::sample(random, busy.len(), count.min(busy.len()));
    chosen.into_iter().map(|at| busy[at]).collect()
}

/// Runs streams, loses engines, restores them, and adds what the callers got to `result`.
fn run_round(fleet: &mut Fleet, number: usize, random: &mut StdRng, result: &mut Measurement) {
    let loss = [Loss::Kill, Loss::Stop, Loss::Silence][number % 3];
    let (before, decoded) = (fleet.work(), fleet.decoded_by_engine());
    let progress: Progress = Arc::new(Mutex::new(vec![Default::default(); STREAMS]));
    let streams = start_streams(fleet.router(), number, &progress);
    wait_for_progress(&progress, random.random_range(40..200));
    let victims = choose_victims(fleet, &decoded, random, 1 + number / 3 % 2);
    let ids: Vec<_> = progress
        .lock()
        .unwrap()
        .iter()
        .map(|(id, _)| id.clone())
        .collect();
    let on_victim = |id: &CompactString| victims.iter().any(|index| fleet.runs_stream(*index, id));
    let broken: Vec<bool> = ids.iter().map(on_victim).collect();
    let count = broken.iter().filter(|broken| **broken).count();
    let survivors = fleet.work_without(&victims);
    fleet.inject_loss(loss, &victims, count);
    let answers = streams.join().expect("the callers end");
    if loss == Loss::Kill {
        let prefilled = fleet.work_without(&victims).prefilled - survivors.prefilled;
        result.after_kills.add(count, prefilled, 0);
    }
    fleet.restore(loss, &victims);
    let after = fleet.work();
    let delivered: u64 = answers.iter().map(|answer| u64::from(answer.tokens)).sum();
    let redecoded = (after.decoded - before.decoded).saturating_sub(delivered);
    result.redecoded += redecoded;
    if loss == Loss::Kill {
        result.after_kills.add(0, 0, redecoded);
    }
    result.broken += count;
    result.broken_by_joint_loss += if victims.len() > 1 { count } else { 0 };
    for (answer, is_broken) in answers.iter().zip(broken) {
        result.missing += answer.missing;
        result.repeated += answer.repeated;
        result.mixed += answer.mismatched;
        if !is_broken {
            result.unbroken_failed += usize::from(!answer.complete);
            continue;
        }
        result.complete += usize::from(answer.complete);
        result.broken_tokens += u64::from(answer.tokens);
        let pause = answer.gaps.iter().max().copied().unwrap_or_default();
        let pauses = match loss {
            Loss::Kill => &mut result.death_pauses_ms,
            Loss::Stop | Loss::Silence => &mut result.silence_pauses_ms,
        };
        pauses.push(pause.as_secs_f64() * 1000.0);
    }
    println!("round={number} loss={loss:?} victims={victims:?} broken={count}");
}

/// Streams from an engine and, when the stream breaks, starts again from the first token on the
/// next engine. Returns the number of tokens discarded.
async fn restart_until_complete(
    addresses: &[String],
    first: usize,
    request: wire::Request,
    progress: Progress,
) -> u64 {
    let stream = first;
    let mut discarded = 0;
    for attempt in 1..=2 * ENGINES as u32 {
        let address = &addresses[(first + attempt as usize - 1) % ENGINES];
        let request = wire::Request {
            attempt,
            ..request.clone()
        };
        let Ok(mut frames) = engine::start(address, &request).await else {
            continue;
        };
        let mut tokens = 0;
        while let Some(Ok(frame)) = within(BASELINE_SILENCE_MAX, frames.next()).await {
            tokens += frame.tokens.len();
            if attempt == 1 {
                progress.lock().unwrap()[stream].1 = tokens;
            }
            if frame.finish_reason.is_some() {
                return discarded;
            }
        }
        discarded += tokens as u64;
    }
    panic!("the baseline found no engine");
}

/// Kills engines under clients that start again from the first token.
fn run_baseline(fleet: &mut Fleet, number: usize, random: &mut StdRng) -> RepeatedWork {
    let decoded = fleet.decoded_by_engine();
    let progress: Progress = Arc::new(Mutex::new(vec![Default::default(); STREAMS]));
    let addresses: Vec<_> = fleet
        .proxies
        .iter()
        .map(|proxy| proxy.address().to_owned())
        .collect();
    let (progress_of_streams, round) = (progress.clone(), ROUNDS_MAX + number);
    let streams = thread::spawn(move || {
        block_on(join_all((0..STREAMS).map(|stream| {
            let request = request(&prompt(round, stream), TOKENS_PER_STREAM, round, stream);
            restart_until_complete(&addresses, stream, request, progress_of_streams.clone())
        })))
    });
    wait_for_progress(&progress, random.random_range(40..200));
    let victims = choose_victims(fleet, &decoded, random, 1 + number % 2);
    let survivors = fleet.work_without(&victims);
    let on_victim = |stream: &usize| victims.contains(&(stream % ENGINES));
    let broken = (0..STREAMS).filter(on_victim).count();
    fleet.inject_loss(Loss::Kill, &victims, broken);
    let discarded = streams.join().expect("the callers end").iter().sum();
    let prefilled = fleet.work_without(&victims).prefilled - survivors.prefilled;
    fleet.restore(Loss::Kill, &victims);
    println!("baseline={number} victims={victims:?} broken={broken}");
    RepeatedWork {
        broken,
        prefilled,
        redecoded: discarded,
    }
}

fn request(prompt: &str, tokens: u32, round: usize, stream: usize) -> wire::Request {
    wire::Request {
        request_id: format_compact!("direct-{round}-{stream}"),
        attempt: 1,
        model: "atlas".into(),
        model_version: None,
        prompt: prompt.into(),
        max_tokens: tokens,
        seed: stream as u64,
        priority: Rank::Routine,
        resume_tokens: Vec::new(),
    }
}

/// Time to the first token, and from the first to the last, in seconds.
type Times = (f64, f64);

async fn time_direct(address: &str, number: usize) -> Times {
    let started = Instant::now();
    let text = format!("Direct {number}.");
    let request = request(&text, 80, 2 * ROUNDS_MAX, number);
    let mut frames = engine::start(address, &request)
        .await
        .expect("the engine is idle");
    frames.next().await.expect("a first frame");
    let first = Instant::now();
    while frames
        .next()
        .await
        .expect("a frame")
        .finish_reason
        .is_none()
    {}
    (
        (first - started).as_secs_f64(),
        first.elapsed().as_secs_f64(),
    )
}

async fn time_relayed(router: &str, number: usize) -> Times {
    let call = call(&format!("Relayed {number}."), 80, number as u64);
    let answer = client::complete(router, &call).await;
    assert!(answer.complete, "{answer:?}");
    let rest: Duration = answer.gaps.iter().sum();
    (
        answer.first_token.unwrap().as_secs_f64(),
        rest.as_secs_f64(),
    )
}

/// Returns the time to the first token and the token rate through the router, each relative to a
/// direct connection to the engine.
fn measure_overhead(fleet: &Fleet) -> (f64, f64) {
    let (mut relayed, mut direct) = (Vec::new(), Vec::new());
    for number in 0..OVERHEAD_CALLS {
        let engine = fleet.proxies[number % ENGINES].address();
        direct.push(block_on(time_direct(engine, number)));
        relayed.push(block_on(time_relayed(fleet.router(), number)));
    }
    let median = |times: &[Times], part: fn(&Times) -> f64| {
        let mut values: Vec<_> = times.iter().map(part).collect();
        percentile(&mut values, 50)
    };
    let first = median(&relayed, |times| times.0) / median(&direct, |times| times.0);
    let rate = median(&direct, |times| times.1) / median(&relayed, |times| times.1);
    (first, rate)
}

fn percentile(values: &mut [f64], percent: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() * percent).div_ceil(100);
    values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

fn main() {
    let seed = std::env::var("BENCH_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or_else(|| rand::random::<u32>().into());
    println!("seed={seed}");
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start();
    let (ttft_ratio, rate_ratio) = measure_overhead(&fleet);
    let mut result = Measurement::default();
    for number in 0..ROUNDS_MAX {
        if number >= ROUNDS_MIN && result.broken >= BROKEN_STREAMS_MIN {
            break;
        }
        run_round(&mut fleet, number, &mut random, &mut result);
    }
    let mut baseline = RepeatedWork::default();
    for number in 0..BASELINE_ROUNDS {
        let repeated = run_baseline(&mut fleet, number, &mut random);
        baseline.add(repeated.broken, repeated.prefilled, repeated.redecoded);
    }
    let all = [&result.death_pauses_ms[..], &result.silence_pauses_ms].concat();
    let pause_max = all.iter().copied().fold(0.0, f64::max);
    let redecoded = 100.0 * result.redecoded as f64 / result.broken_tokens.max(1) as f64;
    let line = json!({
        "seed": seed,
        "broken": result.broken,
        "complete": result.complete,
        "third_lost_together": result.broken_by_joint_loss,
        "unbroken_failed": result.unbroken_failed,
        "missing": result.missing,
        "repeated": result.repeated,
        "mixed": result.mixed,
        "death_pause_p95_ms": percentile(&mut result.death_pauses_ms, 95),
        "silence_pause_p95_ms": percentile(&mut result.silence_pauses_ms, 95),
        "pause_max_ms": pause_max,
        "redecoded_percent": redecoded,
        "prefilled_ratio": result.after_kills.prefilled_mean() / baseline.prefilled_mean(),
        "repeated_work_ratio": result.after_kills.work_mean() / baseline.work_mean(),
        "relay_ttft_ratio": ttft_ratio,
        "relay_rate_ratio": rate_ratio,
    });
    println!("{line}");
}
