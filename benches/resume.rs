//! Pauses and extra work of generations that break, and the cost of relaying.
//!
//! `BENCH_SEED` sets the seed. Rounds start one set of streams over all engines, lose one engine or
//! a third of them, and check every answer token by token.

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
use support::{Cluster, Proxy, block_on, call, domain, get, split, wait_until};

const ENGINES: usize = 6;
const STREAMS: usize = 48;
const TOKENS: u32 = 600;
const BROKEN_MIN: usize = 200;
const ROUNDS_MIN: usize = 18;
const ROUNDS_MAX: usize = 26;
const BASELINE_ROUNDS: usize = 2;
const OVERHEAD_CALLS: usize = 12;

/// A silence after which the baseline starts again.
const BASELINE_PATIENCE: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    Kill,
    Stop,
    Silence,
}

/// Work that engines did, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    decoded: u64,
    prefilled: u64,
}

struct Fleet {
    cluster: Cluster,
    proxies: Vec<Proxy>,
    // Work of engines that were killed.
    lost: Work,
}

impl Fleet {
    fn start() -> Self {
        let mut fleet = Self {
            cluster: Cluster::start(),
            proxies: Vec::new(),
            lost: Work::default(),
        };
        for index in 0..ENGINES {
            let engine = fleet.cluster.unlisted_engine(&[]);
            let proxy = Proxy::start(&engine.address);
            fleet.cluster.engines.push(engine);
            fleet.proxies.push(proxy);
            fleet.list(index);
        }
        fleet.cluster.router(&split(), ENGINES);
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

    /// Returns the work of all engines, those that were killed included.
    fn work(&self) -> Work {
        let present = self.work_without(&[]);
        Work {
            decoded: self.lost.decoded + present.decoded,
            prefilled: self.lost.prefilled + present.prefilled,
        }
    }

    /// Returns the tokens that each present engine decoded.
    fn decoded(&self) -> Vec<u64> {
        let engines = 0..ENGINES;
        engines.map(|index| self.totals(index).decoded).collect()
    }

    /// Returns the work of the present engines but `victims`.
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

    /// Returns whether a stream runs on an engine.
    fn runs(&self, index: usize, id: &str) -> bool {
        let address = &self.cluster.engines[index].address;
        let stream: wire::Stream = get(address, &format!("/v1/streams/{id}"));
        matches!(stream.state, Phase::Queued | Phase::Prefill | Phase::Decode)
    }

    fn lose(&mut self, loss: Loss, victims: &[usize], streams: usize) {
        if loss == Loss::Kill {
            for index in victims {
                let totals = self.totals(*index);
                self.lost.decoded += totals.decoded;
                self.lost.prefilled += totals.prefilled;
            }
            // The engines go on between the question and their end; a step takes longer than
            // that, so that one token for each stream is an upper bound.
            self.lost.decoded += streams as u64;
        }
        for index in victims {
            match loss {
                Loss::Kill => self.cluster.engines[*index].kill(),
                Loss::Stop => self.cluster.engines[*index].pause(),
                Loss::Silence => self.proxies[*index].set(proxy::Fault::Silence),
            }
        }
    }

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

/// Progress of a round's streams: request id and tokens received.
type Seen = Arc<Mutex<Vec<(CompactString, usize)>>>;

fn prompt(round: usize, stream: usize) -> String {
    let preamble = "Observers report the clouds of the day. ".repeat(26);
    format!("{preamble}Round {round}, report {stream}.")
}

fn start_streams(router: &str, round: usize, seen: &Seen) -> thread::JoinHandle<Vec<Answer>> {
    let (router, seen) = (router.to_owned(), seen.clone());
    thread::spawn(move || {
        block_on(join_all((0..STREAMS).map(|stream| {
            let call = call(&prompt(round, stream), TOKENS, stream as u64);
            let (router, seen) = (router.clone(), seen.clone());
            async move {
                let note = |answer: &Answer| {
                    seen.lock().unwrap()[stream] =
                        (answer.request_id.clone(), answer.received.len());
                };
                client::observe(&router, &call, note).await
            }
        })))
    })
}

#[derive(Default)]
struct Outcome {
    broken: usize,
    complete: usize,
    third_lost: usize,
    missing: u32,
    repeated: u32,
    mixed: u32,
    unbroken_failed: usize,
    death: Vec<f64>,
    silence: Vec<f64>,
    redecoded: u64,
    broken_tokens: u64,
    killed: Repeated,
}

/// Work that was done again for generations whose engine was killed.
#[derive(Clone, Copy, Debug, Default)]
struct Repeated {
    broken: usize,
    prefilled: u64,
    redecoded: u64,
}

impl Repeated {
    fn add(&mut self, broken: usize, prefilled: u64, redecoded: u64) {
        self.broken += broken;
        self.prefilled += prefilled;
        self.redecoded += redecoded;
    }

    fn prefilled_each(self) -> f64 {
        self.prefilled as f64 / self.broken.max(1) as f64
    }

    /// Returns the work for each broken generation, with the weight of prefilled tokens that the
    /// scheduler charges.
    fn work_each(self) -> f64 {
        let work = self.redecoded as f64 + 0.1 * self.prefilled as f64;
        work / self.broken.max(1) as f64
    }
}

fn wait_for_progress(seen: &Seen, tokens: usize) {
    wait_until("all streams run", || {
        seen.lock().unwrap().iter().all(|(_, got)| *got >= tokens)
    });
}

/// Chooses engines that decoded since `before`; cache affinity can leave some without streams.
fn victims(fleet: &Fleet, before: &[u64], random: &mut StdRng, count: usize) -> Vec<usize> {
    let decoded = fleet.decoded();
    let busy: Vec<_> = (0..ENGINES)
        .filter(|index| decoded[*index] > before[*index])
        .collect();
    let chosen = index::sample(random, busy.len(), count.min(busy.len()));
    chosen.into_iter().map(|at| busy[at]).collect()
}

fn round(fleet: &mut Fleet, number: usize, random: &mut StdRng, result: &mut Outcome) {
    let loss = [Loss::Kill, Loss::Stop, Loss::Silence][number % 3];
    let (before, decoded) = (fleet.work(), fleet.decoded());
    let seen: Seen = Arc::new(Mutex::new(vec![Default::default(); STREAMS]));
    let streams = start_streams(fleet.router(), number, &seen);
    wait_for_progress(&seen, random.random_range(40..200));
    let victims = victims(fleet, &decoded, random, 1 + number / 3 % 2);
    let ids: Vec<_> = seen
        .lock()
        .unwrap()
        .iter()
        .map(|(id, _)| id.clone())
        .collect();
    let on_victim = |id: &CompactString| victims.iter().any(|index| fleet.runs(*index, id));
    let broken: Vec<bool> = ids.iter().map(on_victim).collect();
    let count = broken.iter().filter(|broken| **broken).count();
    let survivors = fleet.work_without(&victims);
    fleet.lose(loss, &victims, count);
    let answers = streams.join().expect("the callers end");
    if loss == Loss::Kill {
        let prefilled = fleet.work_without(&victims).prefilled - survivors.prefilled;
        result.killed.add(count, prefilled, 0);
    }
    fleet.restore(loss, &victims);
    let after = fleet.work();
    let delivered: u64 = answers.iter().map(|answer| u64::from(answer.tokens)).sum();
    let redecoded = (after.decoded - before.decoded).saturating_sub(delivered);
    result.redecoded += redecoded;
    if loss == Loss::Kill {
        result.killed.add(0, 0, redecoded);
    }
    result.broken += count;
    result.third_lost += if victims.len() > 1 { count } else { 0 };
    for (answer, is_broken) in answers.iter().zip(broken) {
        result.missing += answer.missing;
        result.repeated += answer.repeated;
        result.mixed += answer.foreign;
        if !is_broken {
            result.unbroken_failed += usize::from(!answer.complete);
            continue;
        }
        result.complete += usize::from(answer.complete);
        result.broken_tokens += u64::from(answer.tokens);
        let pause = answer.gaps.iter().max().copied().unwrap_or_default();
        let pauses = match loss {
            Loss::Kill => &mut result.death,
            Loss::Stop | Loss::Silence => &mut result.silence,
        };
        pauses.push(pause.as_secs_f64() * 1000.0);
    }
    println!("round={number} loss={loss:?} victims={victims:?} broken={count}");
}

/// Streams from an engine and starts again from nothing on the next one when it breaks; returns
/// the tokens that were thrown away.
async fn start_again(
    addresses: &[String],
    first: usize,
    request: wire::Request,
    seen: Seen,
) -> u64 {
    let stream = first;
    let mut thrown_away = 0;
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
        while let Some(Ok(frame)) = within(BASELINE_PATIENCE, frames.next()).await {
            tokens += frame.tokens.len();
            if attempt == 1 {
                seen.lock().unwrap()[stream].1 = tokens;
            }
            if frame.finish_reason.is_some() {
                return thrown_away;
            }
        }
        thrown_away += tokens as u64;
    }
    panic!("the baseline found no engine");
}

/// Kills engines under callers that start again from nothing.
fn baseline(fleet: &mut Fleet, number: usize, random: &mut StdRng) -> Repeated {
    let decoded = fleet.decoded();
    let seen: Seen = Arc::new(Mutex::new(vec![Default::default(); STREAMS]));
    let addresses: Vec<_> = fleet
        .proxies
        .iter()
        .map(|proxy| proxy.address().to_owned())
        .collect();
    let (seen_of_streams, round) = (seen.clone(), ROUNDS_MAX + number);
    let streams = thread::spawn(move || {
        block_on(join_all((0..STREAMS).map(|stream| {
            let request = request(&prompt(round, stream), TOKENS, round, stream);
            start_again(&addresses, stream, request, seen_of_streams.clone())
        })))
    });
    wait_for_progress(&seen, random.random_range(40..200));
    let victims = victims(fleet, &decoded, random, 1 + number % 2);
    let survivors = fleet.work_without(&victims);
    let on_victim = |stream: &usize| victims.contains(&(stream % ENGINES));
    let broken = (0..STREAMS).filter(on_victim).count();
    fleet.lose(Loss::Kill, &victims, broken);
    let thrown_away = streams.join().expect("the callers end").iter().sum();
    let prefilled = fleet.work_without(&victims).prefilled - survivors.prefilled;
    fleet.restore(Loss::Kill, &victims);
    println!("baseline={number} victims={victims:?} broken={broken}");
    Repeated {
        broken,
        prefilled,
        redecoded: thrown_away,
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

/// Time to the first token and from there to the last, in seconds.
type Times = (f64, f64);

async fn direct(address: &str, number: usize) -> Times {
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

async fn relayed(router: &str, number: usize) -> Times {
    let call = call(&format!("Relayed {number}."), 80, number as u64);
    let answer = client::complete(router, &call).await;
    assert!(answer.complete, "{answer:?}");
    let rest: Duration = answer.gaps.iter().sum();
    (
        answer.first_token.unwrap().as_secs_f64(),
        rest.as_secs_f64(),
    )
}

/// Returns time to first token and token rate through the router, relative to the engine itself.
fn overhead(fleet: &Fleet) -> (f64, f64) {
    let (mut through, mut straight) = (Vec::new(), Vec::new());
    for number in 0..OVERHEAD_CALLS {
        let engine = fleet.proxies[number % ENGINES].address();
        straight.push(block_on(direct(engine, number)));
        through.push(block_on(relayed(fleet.router(), number)));
    }
    let median = |times: &[Times], part: fn(&Times) -> f64| {
        let mut values: Vec<_> = times.iter().map(part).collect();
        percentile(&mut values, 50)
    };
    let first = median(&through, |times| times.0) / median(&straight, |times| times.0);
    let rate = median(&straight, |times| times.1) / median(&through, |times| times.1);
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
    let (ttft_ratio, rate_ratio) = overhead(&fleet);
    let mut result = Outcome::default();
    for number in 0..ROUNDS_MAX {
        if number >= ROUNDS_MIN && result.broken >= BROKEN_MIN {
            break;
        }
        round(&mut fleet, number, &mut random, &mut result);
    }
    let mut base = Repeated::default();
    for number in 0..BASELINE_ROUNDS {
        let repeated = baseline(&mut fleet, number, &mut random);
        base.add(repeated.broken, repeated.prefilled, repeated.redecoded);
    }
    let all = [&result.death[..], &result.silence].concat();
    let pause_max = all.iter().copied().fold(0.0, f64::max);
    let redecoded = 100.0 * result.redecoded as f64 / result.broken_tokens.max(1) as f64;
    let line = json!({
        "seed": seed,
        "broken": result.broken,
        "complete": result.complete,
        "third_lost_together": result.third_lost,
        "unbroken_failed": result.unbroken_failed,
        "missing": result.missing,
        "repeated": result.repeated,
        "mixed": result.mixed,
        "death_pause_p95_ms": percentile(&mut result.death, 95),
        "silence_pause_p95_ms": percentile(&mut result.silence, 95),
        "pause_max_ms": pause_max,
        "redecoded_percent": redecoded,
        "prefilled_ratio": result.killed.prefilled_each() / base.prefilled_each(),
        "repeated_work_ratio": result.killed.work_each() / base.work_each(),
        "relay_ttft_ratio": ttft_ratio,
        "relay_rate_ratio": rate_ratio,
    });
    println!("{line}");
}
