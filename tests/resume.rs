//! Generations that break, with real processes behind fault-injecting proxies.

mod support;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bilberrypost::emulate::engine::Totals;
use bilberrypost::emulate::proxy::Fault;
use bilberrypost::http::client as http_client;
use bilberrypost::http::problem::{Problem, Reason};
use bilberrypost::load::client::{self, Answer, Call};
use bilberrypost::util::within;
use bilberrypost::wire::{Kind, Work};
use compio::bytes::Bytes;
use futures_util::future::select;
use http_body_util::Full;
use serde_json::json;
use support::{
    CALLER_KEY, Cluster, Proxy, TEST_TIMEOUT, block_on, call, domain, get, split, wait_until,
};

/// Engines behind proxies, and routers that know the proxies.
struct Fleet {
    cluster: Cluster,
    proxies: Vec<Proxy>,
}

impl Fleet {
    fn start(engines: usize, routers: usize) -> Self {
        Self::shaped(&vec![&[][..]; engines], routers)
    }

    fn shaped(engines: &[&[&str]], routers: usize) -> Self {
        let mut cluster = Cluster::start();
        let mut proxies = Vec::new();
        for (index, extra) in engines.iter().enumerate() {
            let engine = cluster.unlisted_engine(extra);
            let proxy = Proxy::start(&engine.address);
            let name = format!("engine-{index}");
            let address = proxy.address();
            cluster.list(&name, Kind::Engine, address, &domain(index), "atlas");
            cluster.engines.push(engine);
            proxies.push(proxy);
        }
        for _ in 0..routers {
            cluster.router(&split(), engines.len());
        }
        Self { cluster, proxies }
    }

    fn router(&self, index: usize) -> String {
        self.cluster.routers[index].address.clone()
    }

    fn ask(&self, call: Call) -> JoinHandle<Answer> {
        let router = self.router(0);
        thread::spawn(move || block_on(client::complete(&router, &call)))
    }

    fn totals(&self, index: usize) -> Totals {
        get(&self.cluster.engines[index].address, "/v1/emulation/totals")
    }

    fn started(&self) -> u64 {
        let all = 0..self.cluster.engines.len();
        all.map(|index| self.totals(index).started).sum()
    }

    /// Waits until an engine decoded so many tokens and returns its index.
    fn busy(&self, tokens: u64) -> usize {
        let mut found = None;
        wait_until("an engine decodes", || {
            let mut all = 0..self.cluster.engines.len();
            found = all.find(|index| self.totals(*index).decoded >= tokens);
            found.is_some()
        });
        found.unwrap()
    }
}

fn assert_exact(answer: &Answer) {
    assert!(answer.complete, "{answer:?}");
    assert_eq!((answer.missing, answer.repeated, answer.foreign), (0, 0, 0));
}

/// Guards against an answer that ends with its engine's process.
#[test]
fn killed_engine() {
    let mut fleet = Fleet::start(2, 1);
    let answer = fleet.ask(call("Sky notes: killed.", 150, 7));
    let engine = fleet.busy(20);
    fleet.cluster.engines[engine].kill();
    assert_exact(&answer.join().unwrap());
    // Tokens that the engine had made but not sent are lost with it, so the router's position tells
    // what had to be decoded again.
    let log = fleet.cluster.log(0);
    let (_, position) = log.split_once("position=").expect("the attempt broke");
    let position: u64 = position.lines().next().unwrap().parse().unwrap();
    let decoded = fleet.totals(1 - engine).decoded;
    assert_eq!(decoded, 150 - position, "it resumed elsewhere");
}

/// Guards against an answer that waits for a stopped engine, and against late frames of it.
#[test]
fn paused_engine() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.ask(call("Sky notes: paused.", 150, 7));
    let engine = fleet.busy(20);
    fleet.cluster.engines[engine].pause();
    wait_until("another engine goes on", || {
        fleet.totals(1 - engine).started == 1
    });
    fleet.cluster.engines[engine].unpause();
    assert_exact(&answer.join().unwrap());
    wait_until("the old attempt is cancelled", || {
        fleet.totals(engine).cancelled == 1
    });
}

/// Guards against a silent connection taken for a dead engine, whose cache would be lost.
#[test]
fn silent_connection() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.ask(call("Sky notes: silent.", 400, 7));
    let engine = fleet.busy(20);
    fleet.proxies[engine].set(Fault::Silence);
    assert_exact(&answer.join().unwrap());
    assert_eq!(
        fleet.totals(engine).started,
        2,
        "resumed on the same engine"
    );
    assert_eq!(fleet.totals(1 - engine).started, 0);
}

/// Guards against an answer that ends with a connection, or is mixed with what it still carried.
#[test]
fn reset_connection() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.ask(call("Sky notes: reset.", 300, 7));
    let engine = fleet.busy(20);
    fleet.proxies[engine].set(Fault::Reset);
    assert_exact(&answer.join().unwrap());
    assert_eq!(fleet.started(), 2);
}

/// Guards against answers lost when several engines go together.
#[test]
fn a_third_of_the_engines_lost_together() {
    let mut fleet = Fleet::start(6, 1);
    let calls = (0..18).map(|n| call(&format!("Sky notes {n}:"), 150, n));
    let answers: Vec<_> = calls.map(|call| fleet.ask(call)).collect();
    wait_until("all engines decode", || {
        (0..6).all(|index| fleet.totals(index).decoded >= 20)
    });
    fleet.cluster.engines[1].kill();
    fleet.cluster.engines[4].pause();
    for answer in answers {
        assert_exact(&answer.join().unwrap());
    }
}

/// Guards against tokens of another generation in an answer.
#[test]
fn foreign_frames() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.ask(call("Sky notes: [fault foreign@10/1]", 60, 7));
    assert_exact(&answer.join().unwrap());
    assert_eq!(fleet.started(), 2);
}

/// Guards against an answer that waits for an engine that responds but makes no progress.
#[test]
fn stalled_stream() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.ask(call("Sky notes: [fault stall@10/1]", 60, 7));
    assert_exact(&answer.join().unwrap());
    assert_eq!(fleet.started(), 2);
}

/// Guards against a resume, and so double work, because a batch is slow.
#[test]
fn slow_batch_is_no_death() {
    // Reading the prompt takes 8 steps of half a second.
    let slow = ["--prefill-per-token-us", "1000"];
    let fleet = Fleet::shaped(&[&slow, &slow], 1);
    let prompt = "The clouds of today, at length. ".repeat(500);
    let answer = fleet.ask(call(&prompt, 20, 7));
    assert_exact(&answer.join().unwrap());
    assert_eq!(fleet.started(), 1);
}

/// Guards against an answer that is lost, or begins again, with the router that relayed it.
#[test]
fn killed_router() {
    let mut fleet = Fleet::start(2, 2);
    let call = call("Sky notes: router.", 200, 7);
    let answer = fleet.ask(call.clone());
    fleet.busy(20);
    fleet.cluster.routers[0].kill();
    let mut answer = answer.join().unwrap();
    assert!(!answer.complete && answer.tokens > 0, "{answer:?}");
    block_on(client::reconnect(&fleet.router(1), &call, &mut answer));
    assert_exact(&answer);
}

/// Guards against cursors that are accepted although they are forged, belong to another request
/// or do not match the tokens, and against work that runs although it was refused.
#[test]
fn bad_cursors_do_not_run() {
    let fleet = Fleet::start(1, 2);
    let call = call("Sky notes: cursor.", 30, 7);
    let whole = fleet.ask(call.clone()).join().unwrap();
    assert_exact(&whole);
    let refused = |call: &Call, change: &dyn Fn(&mut Answer)| {
        let mut answer = whole.clone();
        change(&mut answer);
        block_on(client::reconnect(&fleet.router(1), call, &mut answer));
        let problem = answer.problem.expect("the cursor is refused");
        assert_eq!(problem.reason, Reason::BadCursor);
        assert_eq!(problem.work, Work::NotRun);
        assert!(problem.detail.contains("send"), "{}", problem.detail);
    };
    let forged = whole.cursor.replacen("1-7-", "1-8-", 1);
    refused(&call, &|answer| answer.cursor.clone_from(&forged));
    refused(&call, &|answer| answer.cursor = "30".into());
    refused(&call, &|answer| answer.cursor.clear());
    refused(&call, &|answer| answer.received[3] += 1);
    refused(&call, &|answer| answer.received.truncate(9));
    let other = Call {
        prompt: "Sky notes: other.".into(),
        ..call.clone()
    };
    refused(&other, &|_| {});
    assert_eq!(fleet.started(), 1);

    // The complete answer's own cursor is good and needs no engine.
    let mut answer = whole.clone();
    block_on(client::reconnect(&fleet.router(1), &call, &mut answer));
    assert_exact(&answer);
    assert_eq!(fleet.started(), 1);
}

fn raw_request(router: &str, body: String) -> hyper::Request<Full<Bytes>> {
    hyper::Request::post("/v1/completions")
        .header("host", router)
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .body(Full::new(Bytes::from(body)))
        .unwrap()
}

/// Makes a call and abandons it when `leave` is set.
fn vanish(router: String, body: serde_json::Value, leave: Arc<AtomicBool>) -> JoinHandle<()> {
    thread::spawn(move || {
        block_on(async {
            let request = raw_request(&router, body.to_string());
            let answer = Box::pin(async {
                let mut exchange = http_client::send(&router, request, TEST_TIMEOUT)
                    .await
                    .unwrap();
                while let Ok(Some(_)) = exchange.next().await {}
            });
            let left = Box::pin(async {
                while !leave.load(Ordering::Relaxed) {
                    compio::time::sleep(Duration::from_millis(5)).await;
                }
            });
            select(answer, left).await;
        });
    })
}

fn body(prompt: &str, is_streamed: bool) -> serde_json::Value {
    json!({"model": "atlas", "prompt": prompt, "max_tokens": 8000, "stream": is_streamed})
}

/// Guards against engines that work for callers who went away, at any stage.
#[test]
fn vanishing_caller_is_cancelled() {
    let fleet = Fleet::shaped(&[&["--slots", "1"]], 1);
    let calls = [
        body("Sky notes: gone.", true),
        body("Sky notes: [fault late@600000]", true),
        body("Sky notes: gone.", false),
        body("Sky notes: [fault late@600000]", false),
    ];
    for (index, call) in calls.into_iter().enumerate() {
        let leave = Arc::new(AtomicBool::new(false));
        let caller = vanish(fleet.router(0), call, leave.clone());
        let count = index as u64 + 1;
        wait_until("the call runs", || fleet.totals(0).started == count);
        leave.store(true, Ordering::Relaxed);
        caller.join().unwrap();
        wait_until("it is cancelled", || fleet.totals(0).cancelled == count);
    }
}

/// Guards against a caller that reads nothing and holds an engine's place for good.
#[test]
fn slow_reader_is_cut() {
    let mut cluster = Cluster::start();
    cluster.engine(&["--step-us", "50", "--step-per-stream-us", "0"]);
    // More output than the buffers of the system hold.
    let split = split() + "max_tokens = 1000000\n";
    cluster.router_with(&split, 1, "slow_reader_limit_ms = 300\n");
    let router = cluster.routers[0].address.clone();
    let mut call = body("Sky notes: slow.", true);
    call["max_tokens"] = json!(1_000_000);
    let reader = std::net::TcpStream::connect(&router).unwrap();
    let text = call.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {router}\r\n\
         authorization: Bearer {CALLER_KEY}\r\ncontent-length: {}\r\n\r\n{text}",
        text.len()
    );
    (&reader).write_all(head.as_bytes()).unwrap();
    wait_until("it is cancelled", || {
        let totals: Totals = get(&cluster.engines[0].address, "/v1/emulation/totals");
        totals.cancelled == 1
    });
    let counted = "relay_total{event=\"slow-reader\"} 1";
    wait_until("the cut is counted", || metrics(&router).contains(counted));
    drop(reader);
}

fn metrics(router: &str) -> String {
    block_on(async {
        let request = hyper::Request::get("/metrics")
            .header("host", router)
            .body(Full::default())
            .unwrap();
        let mut exchange = http_client::send(router, request, TEST_TIMEOUT)
            .await
            .unwrap();
        let text = exchange.rest(1024 * 1024).await.unwrap();
        String::from_utf8(text).unwrap()
    })
}

/// Guards against a place that is held, or an account that stays open, for a caller who left
/// while the request waited.
#[test]
fn caller_that_leaves_the_queue_is_forgotten() {
    let fleet = Fleet::shaped(&[&["--slots", "1"]], 1);
    let account = || {
        let status: serde_json::Value = get(&fleet.router(0), "/admin/v1/status");
        status["dispatch"]["ledger"]["nubeatlas"].clone()
    };
    let first = fleet.ask(call("Sky notes: first.", 400, 7));
    wait_until("the first call runs", || fleet.totals(0).decoded > 0);
    let leave = Arc::new(AtomicBool::new(false));
    let second = body("Sky notes: second.", true);
    let caller = vanish(fleet.router(0), second, leave.clone());
    wait_until("the second call waits", || account()["submitted"] == 2);
    leave.store(true, Ordering::Relaxed);
    caller.join().unwrap();
    wait_until("the wait ends", || account()["refused"]["caller-gone"] == 1);
    assert_exact(&first.join().unwrap());
    assert_eq!(fleet.started(), 1);
}

/// Guards against a prompt that takes down the whole fleet, and harms other callers.
#[test]
fn engine_killing_prompt_is_stopped() {
    let mut fleet = Fleet::start(5, 1);
    let bad = call("Sky notes: [fault die@3]", 60, 7);
    let answer = fleet.ask(bad.clone()).join().unwrap();
    let problem = answer.problem.expect("the prompt is given up");
    assert_eq!(problem.reason, Reason::EngineKiller);
    assert_eq!(problem.complete_tokens, Some(answer.tokens));
    let alive = |fleet: &mut Fleet| {
        let engines = fleet.cluster.engines.iter_mut();
        engines
            .filter_map(|engine| engine.is_running().then_some(()))
            .count()
    };
    assert_eq!(alive(&mut fleet), 2);
    let again = fleet.ask(bad).join().unwrap();
    let problem = again.problem.expect("the prompt is remembered");
    assert_eq!(problem.reason, Reason::EngineKiller);
    assert_eq!(problem.work, Work::NotRun);
    assert_exact(&fleet.ask(call("Sky notes: good.", 60, 7)).join().unwrap());
    assert_eq!(alive(&mut fleet), 2);
}

fn post_raw(router: &str, body: String) -> (u16, Problem) {
    block_on(async {
        let request = raw_request(router, body);
        let exchange = within(
            TEST_TIMEOUT,
            http_client::send(router, request, TEST_TIMEOUT),
        )
        .await;
        let mut exchange = exchange.unwrap().unwrap();
        let body = exchange.rest(64 * 1024).await.unwrap();
        let status = exchange.head.status().as_u16();
        (status, serde_json::from_slice(&body).unwrap())
    })
}

/// Guards against input that is accepted, or harms another caller's running answer.
#[test]
fn bad_input_harms_nobody_else() {
    let fleet = Fleet::start(1, 1);
    let good = fleet.ask(call("Sky notes: good.", 300, 7));
    fleet.busy(5);
    let with = |rest: &str| format!("{{\"model\":\"atlas\",{rest}}}");
    let long = format!("\"prompt\":\"{}\"", "x".repeat(300 * 1024));
    let cases = [
        ("{\"model\":".into(), 400, Reason::BadRequest),
        ("[]".into(), 400, Reason::BadRequest),
        (String::new(), 400, Reason::BadRequest),
        (
            "{\"model\":\"nimbus\",\"prompt\":\"x\"}".into(),
            404,
            Reason::UnknownModel,
        ),
        (with("\"max_tokens\":5"), 400, Reason::BadRequest),
        (with(&long), 413, Reason::PromptTooLong),
        ("x".repeat(3 * 1024 * 1024), 413, Reason::PromptTooLong),
        (
            with("\"prompt\":\"x\",\"max_tokens\":0"),
            400,
            Reason::BadRequest,
        ),
        (
            with("\"prompt\":\"x\",\"max_tokens\":4000000000"),
            400,
            Reason::BadRequest,
        ),
        (
            with("\"prompt\":\"x\",\"max_tokens\":1e99"),
            400,
            Reason::BadRequest,
        ),
        (
            with("\"prompt\":\"x\",\"seed\":-1"),
            400,
            Reason::BadRequest,
        ),
    ];
    for (body, status, reason) in cases {
        let start = body[..body.len().min(60)].to_owned();
        let (got, problem) = post_raw(&fleet.router(0), body);
        assert_eq!((got, problem.reason), (status, reason), "{start}");
        assert_eq!(problem.work, Work::NotRun, "{start}");
    }
    assert_exact(&good.join().unwrap());
    assert_eq!(fleet.started(), 1);
}
