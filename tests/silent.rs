//! Engines and hosts that are only silent for a while keep their running work.

mod support;

use std::io::{BufRead, BufReader};
use std::time::{Duration, Instant};

use support::platform::{
    End, Reaction, exchange, headers, ok, request, start, stream_headers, two_engines, wait_for,
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
