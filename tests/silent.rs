//! Engines and hosts that are only silent for a while keep their running work.

mod support;

use std::io::{BufRead, BufReader};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::platform::{
    End, Engine, Gateway, Message, Reaction, Store, config, events, exchange, headers, ok,
    registrations, request, settings, start, stream_headers, two_engines, wait_for,
};

/// Time for which an engine or a host is silent.
const SILENCE: Duration = Duration::from_millis(2500);

/// Guards against a call that is started again or given up because its engine is silent for a while
/// and its registration is gone from the store meanwhile.
#[test]
fn a_silent_engine_keeps_its_call() {
    let slow = |_: &_| {
        std::thread::sleep(SILENCE);
        ok()
    };
    let [one, two] = two_engines(slow);
    let (store, gateway) = start(&[(&one, "app", "fd-a"), (&two, "app", "fd-b")]);
    for path in ["/once/x", "/any/x"] {
        let before = one.request_count() + two.request_count();
        let text = request("POST", path, &headers(&format!("r{before}")), "b");
        let address = gateway.process.address.clone();
        let call = std::thread::spawn(move || exchange(&address, &text).unwrap());
        // The stand-in counts a request once it knows the reaction, which is after its silence.
        std::thread::sleep(SILENCE / 2);
        for engine in [&one, &two] {
            store.remove("servers", &engine.id);
        }
        assert_eq!(call.join().unwrap().status(), 200, "{path}");
        assert_eq!(
            one.request_count() + two.request_count(),
            before + 1,
            "{path}"
        );
        for (engine, domain) in [(&one, "fd-a"), (&two, "fd-b")] {
            store.put("servers", &engine.id, engine.registration("app", domain));
        }
        wait_for("the engines", || {
            gateway.metric("bilberrypost_engines") == Some(2.0)
        });
    }
}

/// Guards against a stream that a host gives up or starts elsewhere because the host itself was
/// paused: the silence it then sees is its own.
#[test]
fn a_paused_host_keeps_its_streams() {
    let [one, two] = two_engines(|_| Reaction::Events(3, End::Endless));
    let (_store, gateway) = start(&[(&one, "model", "fd-a"), (&two, "model", "fd-b")]);
    let stream = gateway.open("POST", "/stream/x", &stream_headers("s1"), "p");
    stream
        .set_read_timeout(Some(support::TEST_TIMEOUT))
        .unwrap();
    let mut lines = BufReader::new(stream).lines();
    let mut events_until = |until: Instant| {
        let mut last = 0;
        while Instant::now() < until {
            let line = lines.next().unwrap().unwrap();
            if let Some(id) = line.strip_prefix("id: ") {
                let id: u64 = id.parse().unwrap();
                assert!(last == 0 || id == last + 1, "{id} after {last}");
                last = id;
            }
        }
        last
    };
    let before = events_until(Instant::now() + Duration::from_millis(500));
    gateway.process.pause();
    std::thread::sleep(SILENCE);
    gateway.process.unpause();
    let after = events_until(Instant::now() + Duration::from_millis(1500));
    assert!(
        after > before,
        "{before} before the pause, {after} after it"
    );
    assert_eq!(one.request_count() + two.request_count(), 1);
}

/// Time for which a sound engine is silent: long enough for a check of its address to end.
const ENGINE_SILENCE: Duration = Duration::from_millis(1500);

/// Number of events of a stream, of which [`EVENTS_BEFORE`] precede the silence of its engine.
const EVENTS: u64 = 9;

const EVENTS_BEFORE: u64 = 3;

/// Time until a retry no longer counts: longer than a stream waits for one after a break.
const RETRY_WINDOW_S: u64 = 5;

/// Two engines for streams, and a gateway.
struct Fleet {
    engines: [Engine; 2],
    gateway: Gateway,
    _store: Store,
}

impl Fleet {
    /// Engines that are silent in the middle of each stream.
    fn start(config: Value, retries: u32) -> Self {
        Self::with_script(config, retries, |_| {
            Reaction::Events(EVENTS_BEFORE, End::Pause(ENGINE_SILENCE, EVENTS))
        })
    }

    fn with_script(
        config: Value,
        retries: u32,
        script: impl Fn(&Message) -> Reaction + Clone + Send + 'static,
    ) -> Self {
        let engines = two_engines(script);
        let registered = [
            (&engines[0], "model", "fd-a"),
            (&engines[1], "model", "fd-b"),
        ];
        let store = Store::with(config, &registrations(&registered));
        let settings = settings(&store.address, "")
            .replace("retry_ratio = 0.8", "retry_ratio = 0")
            .replace(
                "retry_slack = 150",
                &format!("retry_slack = {retries}\nretry_window_s = {RETRY_WINDOW_S}"),
            );
        let gateway = Gateway::start(&settings);
        wait_for("readiness", || gateway.is_ready());
        Self {
            engines,
            gateway,
            _store: store,
        }
    }

    fn requests(&self) -> usize {
        self.engines.iter().map(Engine::request_count).sum()
    }

    /// Returns the response to a stream during which its engine accepts connections or does not.
    fn stream(&self, is_accepting: bool) -> Message {
        let address = self.gateway.process.address.clone();
        let text = request("POST", "/stream/x", &stream_headers("s1"), "p");
        let response = std::thread::spawn(move || exchange(&address, &text).unwrap());
        wait_for("the stream", || self.requests() == 1);
        let runs = |engine: &&Engine| engine.request_count() == 1;
        if !is_accepting {
            self.engines.iter().find(runs).unwrap().block_connections();
        }
        response.join().unwrap()
    }
}

/// Returns [`config`] with one value of the route `/stream/` replaced.
fn config_with(field: &str, value: Value) -> Value {
    let mut config = config(3);
    config["routes"][3][field] = value;
    config
}

fn assert_whole(response: &Message, case: &str) {
    assert_eq!(response.text(), events(1, EVENTS), "{case}");
    assert_eq!(response.header("broken"), None, "{case}");
}

/// Guards against a stream that can go on nowhere else and is cut because its sound engine accepts no
/// connection for a while.
#[test]
fn a_stream_that_can_go_on_nowhere_else_outlasts_a_silent_engine() {
    let configs = [
        ("not resumable", config_with("stream-resume", json!(false))),
        ("no attempts left", config_with("max-attempts", json!(1))),
    ];
    for (case, config) in configs {
        for is_accepting in [true, false] {
            let fleet = Fleet::start(config.clone(), 150);
            let case = format!("{case}, is_accepting={is_accepting}");
            assert_whole(&fleet.stream(is_accepting), &case);
            assert_eq!(fleet.requests(), 1, "{case}");
        }
    }
}

/// Guards against a stream that is taken off a sound engine and then cut because the retry budget is
/// used up.
#[test]
fn a_stream_without_a_retry_outlasts_a_silent_engine() {
    for is_accepting in [true, false] {
        let fleet = Fleet::start(config(3), 0);
        let case = format!("is_accepting={is_accepting}");
        assert_whole(&fleet.stream(is_accepting), &case);
        assert_eq!(fleet.requests(), 1, "{case}");
    }
}

/// Guards against a call that is refused although its silent engine would have answered, as no other
/// attempt may be made.
#[test]
fn a_call_without_a_retry_outlasts_a_silent_engine() {
    for (attempts, retries) in [(3, 0), (1, 150)] {
        // The stand-in counts a request once it knows the reaction, which is after its silence.
        let running = ["i-1", "i-2"].map(|_| Arc::new(AtomicUsize::new(0)));
        let engines = [0, 1].map(|index| {
            let running = running[index].clone();
            Engine::start(&format!("i-{}", index + 1), move |_| {
                running.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(ENGINE_SILENCE);
                ok()
            })
        });
        let mut config = config(3);
        config["routes"][1]["max-attempts"] = json!(attempts);
        let registered = [(&engines[0], "app", "fd-a"), (&engines[1], "app", "fd-b")];
        let store = Store::with(config, &registrations(&registered));
        let settings = settings(&store.address, "")
            .replace("retry_ratio = 0.8", "retry_ratio = 0")
            .replace("retry_slack = 150", &format!("retry_slack = {retries}"));
        let gateway = Gateway::start(&settings);
        wait_for("readiness", || gateway.is_ready());
        let address = gateway.process.address.clone();
        let text = request("POST", "/any/x", &headers("r1"), "b");
        let call = std::thread::spawn(move || exchange(&address, &text).unwrap());
        let is_running = |index: &usize| running[*index].load(Ordering::Relaxed) == 1;
        wait_for("the call", || [0, 1].iter().any(is_running));
        let silent = [0, 1].into_iter().find(is_running).unwrap();
        engines[silent].block_connections();
        let response = call.join().unwrap();
        assert_eq!(response.status(), 200, "{attempts} {retries}");
    }
}

/// Guards against a stream that leaves a silent engine with the last retry and is cut because the next
/// engine rejects it.
#[test]
fn a_stream_that_left_a_silent_engine_waits_for_a_retry() {
    let resumed = Arc::new(AtomicUsize::new(0));
    let fleet = Fleet::with_script(config(3), 2, move |request| {
        if request.header("last-event-id").is_none() {
            return Reaction::Events(EVENTS_BEFORE, End::Pause(support::TEST_TIMEOUT, EVENTS));
        }
        match resumed.fetch_add(1, Ordering::Relaxed) {
            0 => Reaction::NotExecuted,
            _ => Reaction::Events(EVENTS, End::Complete),
        }
    });
    assert_whole(&fleet.stream(true), "silent after its first events");
    assert_eq!(fleet.requests(), 3);
}

/// Guards against a resumed stream that is kept at a silent engine because the only other one broke it
/// before, or is cut because that one rejects it.
#[test]
fn a_resumed_stream_leaves_a_silent_engine_for_one_that_broke_it() {
    for rejections in 0..2 {
        let begun = Arc::new(AtomicUsize::new(0));
        let count = begun.clone();
        let fleet = Fleet::with_script(config(3), 3, move |_| {
            match count.fetch_add(1, Ordering::Relaxed) {
                0 => Reaction::Events(EVENTS_BEFORE, End::HalfEvent),
                1 => {
                    std::thread::sleep(support::TEST_TIMEOUT);
                    Reaction::Close
                }
                number if number < 2 + rejections => Reaction::NotExecuted,
                _ => Reaction::Events(EVENTS, End::Complete),
            }
        });
        let address = fleet.gateway.process.address.clone();
        let text = request("POST", "/stream/x", &stream_headers("s1"), "p");
        let response = std::thread::spawn(move || exchange(&address, &text).unwrap());
        wait_for("the second attempt", || begun.load(Ordering::Relaxed) == 2);
        // The stand-in counts a request once it knows the reaction.
        let silent = |engine: &&Engine| engine.request_count() == 0;
        let silent = fleet.engines.iter().find(silent).unwrap();
        silent.block_connections();
        let case = format!("{rejections} rejections");
        assert_whole(&response.join().unwrap(), &case);
        assert_eq!(begun.load(Ordering::Relaxed), 3 + rejections, "{case}");
    }
}
