//! Generations with faults, between real processes and through fault-injecting proxies.

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
use bilberrypost::wire::{Execution, Kind};
use compio::bytes::Bytes;
use futures_util::future::select;
use http_body_util::Full;
use serde_json::json;
use support::{
    CALLER_KEY, Cluster, Proxy, TEST_TIMEOUT, assert_exact, block_on, call, domain, get,
    shared_settings, wait_until,
};

/// Engines behind proxies, and routers that reach the engines only through the proxies.
struct Fleet {
    cluster: Cluster,
    proxies: Vec<Proxy>,
}

impl Fleet {
    fn start(engines: usize, routers: usize) -> Self {
        Self::start_with_args(&vec![&[][..]; engines], routers)
    }

    fn start_with_args(engine_args: &[&[&str]], routers: usize) -> Self {
        let mut cluster = Cluster::start();
        let mut proxies = Vec::new();
        for (index, args) in engine_args.iter().enumerate() {
            let engine = cluster.unlisted_engine(args);
            let proxy = Proxy::start(&engine.address);
            let name = format!("engine-{index}");
            let address = proxy.address();
            cluster.list(&name, Kind::Engine, address, &domain(index), "atlas");
            cluster.engines.push(engine);
            proxies.push(proxy);
        }
        for _ in 0..routers {
            cluster.router(&shared_settings(), engine_args.len());
        }
        Self { cluster, proxies }
    }

    fn router(&self, index: usize) -> String {
        self.cluster.routers[index].address.clone()
    }

    fn spawn_call(&self, call: Call) -> JoinHandle<Answer> {
        let router = self.router(0);
        thread::spawn(move || block_on(client::complete(&router, &call)))
    }

    fn totals(&self, index: usize) -> Totals {
        get(&self.cluster.engines[index].address, "/v1/emulation/totals")
    }

    fn attempts_started(&self) -> u64 {
        let all = 0..self.cluster.engines.len();
        all.map(|index| self.totals(index).started).sum()
    }

    /// Waits until an engine has decoded `tokens` tokens and returns its index.
    fn wait_for_decoding_engine(&self, tokens: u64) -> usize {
        let mut found = None;
        wait_until("an engine decodes", || {
            let mut all = 0..self.cluster.engines.len();
            found = all.find(|index| self.totals(*index).decoded >= tokens);
            found.is_some()
        });
        found.unwrap()
    }
}

/// Guards against an answer that is cut off when the process of its engine dies.
#[test]
fn killed_engine() {
    let mut fleet = Fleet::start(2, 1);
    let answer = fleet.spawn_call(call("Sky notes: killed.", 150, 7));
    let engine = fleet.wait_for_decoding_engine(20);
    fleet.cluster.engines[engine].kill();
    assert_exact(&answer.join().unwrap());
    // Tokens that the engine decoded but did not send are lost with it, so the router's position is
    // where the other engine has to start.
    let log = fleet.cluster.log(0);
    let (_, position) = log
        .split_once("position=")
        .expect("the log has the position of the broken attempt");
    let position: u64 = position.lines().next().unwrap().parse().unwrap();
    let decoded = fleet.totals(1 - engine).decoded;
    assert_eq!(
        decoded,
        150 - position,
        "the other engine resumed at the position of the router"
    );
}

/// Guards against an answer that waits for a stopped process, and against frames that it sends
/// after it continues.
#[test]
fn paused_engine() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.spawn_call(call("Sky notes: paused.", 150, 7));
    let engine = fleet.wait_for_decoding_engine(20);
    fleet.cluster.engines[engine].pause();
    wait_until("another engine continues", || {
        fleet.totals(1 - engine).started == 1
    });
    fleet.cluster.engines[engine].unpause();
    assert_exact(&answer.join().unwrap());
    wait_until("the old attempt is cancelled", || {
        fleet.totals(engine).cancelled == 1
    });
}

/// Guards against treating a silent connection as a dead engine. The engine's cache would be lost.
#[test]
fn silent_connection() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.spawn_call(call("Sky notes: silent.", 400, 7));
    let engine = fleet.wait_for_decoding_engine(20);
    fleet.proxies[engine].set(Fault::Silence);
    assert_exact(&answer.join().unwrap());
    assert_eq!(
        fleet.totals(engine).started,
        2,
        "resumed on the same engine"
    );
    assert_eq!(fleet.totals(1 - engine).started, 0);
}

/// Guards against an answer that is cut off when a connection is reset, or that contains frames
/// left over from it.
#[test]
fn reset_connection() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.spawn_call(call("Sky notes: reset.", 300, 7));
    let engine = fleet.wait_for_decoding_engine(20);
    fleet.proxies[engine].set(Fault::Reset);
    assert_exact(&answer.join().unwrap());
    assert_eq!(fleet.attempts_started(), 2);
}

/// Guards against answers lost when several engines fail together.
#[test]
fn third_of_the_engines_lost_together() {
    let mut fleet = Fleet::start(6, 1);
    let calls = (0..18).map(|n| call(&format!("Sky notes {n}:"), 150, n));
    let answers: Vec<_> = calls.map(|call| fleet.spawn_call(call)).collect();
    wait_until("all engines decode", || {
        (0..6).all(|index| fleet.totals(index).decoded >= 20)
    });
    fleet.cluster.engines[1].kill();
    fleet.cluster.engines[4].pause();
    for answer in answers {
        assert_exact(&answer.join().unwrap());
    }
}

/// Guards against tokens of another request in an answer.
#[test]
fn frames_of_another_request() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.spawn_call(call("Sky notes: [fault foreign@10/1]", 60, 7));
    assert_exact(&answer.join().unwrap());
    assert_eq!(fleet.attempts_started(), 2);
}

/// Guards against an answer that waits for an engine that answers probes but makes no progress.
#[test]
fn stalled_stream() {
    let fleet = Fleet::start(2, 1);
    let answer = fleet.spawn_call(call("Sky notes: [fault stall@10/1]", 60, 7));
    assert_exact(&answer.join().unwrap());
    assert_eq!(fleet.attempts_started(), 2);
}

/// Guards against a resume, and so repeated work, because a batch is slow.
#[test]
fn slow_batch_is_not_resumed() {
    // Prefilling the prompt takes 8 steps of half a second.
    let slow = ["--prefill-per-token-us", "1000"];
    let fleet = Fleet::start_with_args(&[&slow, &slow], 1);
    let prompt = "The clouds of today, at length. ".repeat(500);
    let answer = fleet.spawn_call(call(&prompt, 20, 7));
    assert_exact(&answer.join().unwrap());
    assert_eq!(fleet.attempts_started(), 1);
}

/// Guards against an answer that cannot be continued at another router after its own router died.
#[test]
fn killed_router() {
    let mut fleet = Fleet::start(2, 2);
    let call = call("Sky notes: router.", 200, 7);
    let answer = fleet.spawn_call(call.clone());
    fleet.wait_for_decoding_engine(20);
    fleet.cluster.routers[0].kill();
    let mut answer = answer.join().unwrap();
    assert!(!answer.complete && answer.tokens > 0, "{answer:?}");
    block_on(client::reconnect(&fleet.router(1), &call, &mut answer));
    assert_exact(&answer);
}

/// Guards against cursors that are accepted although they were altered, belong to another request
/// or do not match the tokens; against refused requests that run all the same; and against refusing
/// a valid cursor.
#[test]
fn invalid_cursors_are_refused() {
    let fleet = Fleet::start(1, 2);
    let call = call("Sky notes: cursor.", 30, 7);
    let complete = fleet.spawn_call(call.clone()).join().unwrap();
    assert_exact(&complete);
    let assert_refused = |call: &Call, change: &dyn Fn(&mut Answer)| {
        let mut answer = complete.clone();
        change(&mut answer);
        block_on(client::reconnect(&fleet.router(1), call, &mut answer));
        let problem = answer.problem.expect("the cursor is refused");
        assert_eq!(problem.reason, Reason::BadCursor);
        assert_eq!(problem.work, Execution::NotRun);
        assert!(problem.detail.contains("send"), "{}", problem.detail);
    };
    let forged = complete.cursor.replacen("1-7-", "1-8-", 1);
    assert_refused(&call, &|answer| answer.cursor.clone_from(&forged));
    assert_refused(&call, &|answer| answer.cursor = "30".into());
    assert_refused(&call, &|answer| answer.cursor.clear());
    assert_refused(&call, &|answer| answer.received[3] += 1);
    assert_refused(&call, &|answer| answer.received.truncate(9));
    let other = Call {
        prompt: "Sky notes: other.".into(),
        ..call.clone()
    };
    assert_refused(&other, &|_| {});
    assert_eq!(fleet.attempts_started(), 1);

    // The last cursor of a complete answer is valid and is answered without an engine.
    let mut answer = complete.clone();
    block_on(client::reconnect(&fleet.router(1), &call, &mut answer));
    assert_exact(&answer);
    assert_eq!(fleet.attempts_started(), 1);
}

fn raw_request(router: &str, body: String) -> hyper::Request<Full<Bytes>> {
    hyper::Request::post("/v1/completions")
        .header("host", router)
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .body(Full::new(Bytes::from(body)))
        .unwrap()
}

/// Makes a call in a thread and closes its connection once `disconnect` is set.
fn spawn_disconnecting_call(
    router: String,
    body: serde_json::Value,
    disconnect: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        block_on(async {
            let request = raw_request(&router, body.to_string());
            let answer = Box::pin(async {
                let mut exchange = http_client::send(&router, request, TEST_TIMEOUT)
                    .await
                    .unwrap();
                while let Ok(Some(_)) = exchange.next().await {}
            });
            let disconnected = Box::pin(async {
                while !disconnect.load(Ordering::Relaxed) {
                    compio::time::sleep(Duration::from_millis(5)).await;
                }
            });
            select(answer, disconnected).await;
        });
    })
}

fn body(prompt: &str, is_streamed: bool) -> serde_json::Value {
    json!({"model": "atlas", "prompt": prompt, "max_tokens": 8000, "stream": is_streamed})
}

/// Guards against engines that keep working for callers who disconnected, before or during output.
#[test]
fn call_of_disconnected_caller_is_cancelled() {
    let fleet = Fleet::start_with_args(&[&["--slots", "1"]], 1);
    let calls = [
        body("Sky notes: gone.", true),
        body("Sky notes: [fault late@600000]", true),
        body("Sky notes: gone.", false),
        body("Sky notes: [fault late@600000]", false),
    ];
    for (index, call) in calls.into_iter().enumerate() {
        let disconnect = Arc::new(AtomicBool::new(false));
        let caller = spawn_disconnecting_call(fleet.router(0), call, disconnect.clone());
        let count = index as u64 + 1;
        wait_until("the call runs", || fleet.totals(0).started == count);
        disconnect.store(true, Ordering::Relaxed);
        caller.join().unwrap();
        wait_until("the call is cancelled", || {
            fleet.totals(0).cancelled == count
        });
    }
}

/// Guards against a caller that reads nothing and occupies a slot of an engine forever.
#[test]
fn slow_reader_is_disconnected() {
    let mut cluster = Cluster::start();
    cluster.engine(&["--step-us", "50", "--step-per-stream-us", "0"]);
    // More output than fits into the socket buffers.
    let shared_settings = shared_settings() + "max_tokens = 1000000\n";
    cluster.router_with(&shared_settings, 1, "slow_reader_limit_ms = 300\n");
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
    wait_until("the call is cancelled", || {
        let totals: Totals = get(&cluster.engines[0].address, "/v1/emulation/totals");
        totals.cancelled == 1
    });
    let counter = "relay_total{event=\"slow-reader\"} 1";
    wait_until("the disconnect is counted", || {
        metrics(&router).contains(counter)
    });
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
        let text = exchange.read_rest(1024 * 1024).await.unwrap();
        String::from_utf8(text).unwrap()
    })
}

/// Guards against a slot that stays occupied, or a request that is never accounted for, after its
/// caller disconnected while it was queued.
#[test]
fn caller_that_disconnects_in_the_queue_is_removed() {
    let fleet = Fleet::start_with_args(&[&["--slots", "1"]], 1);
    let account = || {
        let status: serde_json::Value = get(&fleet.router(0), "/admin/v1/status");
        status["dispatch"]["ledger"]["nubeatlas"].clone()
    };
    let first = fleet.spawn_call(call("Sky notes: first.", 400, 7));
    wait_until("the first call runs", || fleet.totals(0).decoded > 0);
    let disconnect = Arc::new(AtomicBool::new(false));
    let second = body("Sky notes: second.", true);
    let caller = spawn_disconnecting_call(fleet.router(0), second, disconnect.clone());
    wait_until("the second call waits", || account()["submitted"] == 2);
    disconnect.store(true, Ordering::Relaxed);
    caller.join().unwrap();
    wait_until("the wait ends", || account()["refused"]["caller-gone"] == 1);
    assert_exact(&first.join().unwrap());
    assert_eq!(fleet.attempts_started(), 1);
}

/// Guards against a prompt that kills all engines and so fails the requests of other callers.
#[test]
fn engine_killing_prompt_is_refused() {
    let mut fleet = Fleet::start(5, 1);
    let killing_call = call("Sky notes: [fault die@3]", 60, 7);
    let answer = fleet.spawn_call(killing_call.clone()).join().unwrap();
    let problem = answer.problem.expect("the prompt is refused");
    assert_eq!(problem.reason, Reason::EngineKiller);
    assert_eq!(problem.complete_tokens, Some(answer.tokens));
    let count_running = |fleet: &mut Fleet| {
        let engines = fleet.cluster.engines.iter_mut();
        engines
            .filter_map(|engine| engine.is_running().then_some(()))
            .count()
    };
    assert_eq!(count_running(&mut fleet), 2);
    let again = fleet.spawn_call(killing_call).join().unwrap();
    let problem = again.problem.expect("the prompt is remembered");
    assert_eq!(problem.reason, Reason::EngineKiller);
    assert_eq!(problem.work, Execution::NotRun);
    assert_exact(
        &fleet
            .spawn_call(call("Sky notes: good.", 60, 7))
            .join()
            .unwrap(),
    );
    assert_eq!(count_running(&mut fleet), 2);
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
        let body = exchange.read_rest(64 * 1024).await.unwrap();
        let status = exchange.head.status().as_u16();
        (status, serde_json::from_slice(&body).unwrap())
    })
}

/// Guards against invalid input that is accepted, or that disturbs the running answer of another
/// caller.
#[test]
fn invalid_input_does_not_affect_other_callers() {
    let fleet = Fleet::start(1, 1);
    let good = fleet.spawn_call(call("Sky notes: good.", 300, 7));
    fleet.wait_for_decoding_engine(5);
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
        assert_eq!(problem.work, Execution::NotRun, "{start}");
    }
    assert_exact(&good.join().unwrap());
    assert_eq!(fleet.attempts_started(), 1);
}
