//! Engines and hosts that are only silent for a while keep their running work.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use support::platform::{
    API_KEY, End, Engine, Gateway, Reaction, Store, config, request, settings, wait_for,
};

/// Time for which an engine or a host is silent.
const SILENCE: Duration = Duration::from_millis(2500);

fn start(engines: &[(&Engine, &str, &str)]) -> (Store, Gateway) {
    let store = Store::start();
    store.put("config", "main", config(3));
    for (engine, service, domain) in engines {
        store.put("servers", &engine.id, engine.registration(service, domain));
    }
    let gateway = Gateway::start(&settings(&store.address, ""));
    wait_for("readiness", || gateway.is_ready());
    (store, gateway)
}

fn headers(id: &str) -> String {
    format!(
        "x-bilberrypost-attempt-id: {id}\r\nx-bilberrypost-deadline-ms: 20000\r\n\
         x-bilberrypost-credential: {API_KEY}\r\n"
    )
}

/// Guards against a call that is started again or given up because its engine is silent for a while
/// and its registration is gone from the store meanwhile.
#[test]
fn a_silent_engine_keeps_its_call() {
    let slow = |_: &_| {
        std::thread::sleep(SILENCE);
        Reaction::Response(200, "done".into())
    };
    let one = Engine::start("i-1", slow);
    let two = Engine::start("i-2", slow);
    let (store, gateway) = start(&[(&one, "app", "fd-a"), (&two, "app", "fd-b")]);
    for path in ["/once/x", "/any/x"] {
        let before = one.request_count() + two.request_count();
        let headers = headers(&format!("r{before}"));
        let address = gateway.process.address.clone();
        let call = std::thread::spawn(move || {
            let text = request("POST", path, &headers, "b");
            support::platform::exchange(&address, &text).unwrap()
        });
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
    let one = Engine::start("i-1", |_| Reaction::Events(3, End::Endless));
    let two = Engine::start("i-2", |_| Reaction::Events(3, End::Endless));
    let (_store, gateway) = start(&[(&one, "model", "fd-a"), (&two, "model", "fd-b")]);
    let mut stream = TcpStream::connect(&gateway.process.address).unwrap();
    stream
        .set_read_timeout(Some(support::TEST_TIMEOUT))
        .unwrap();
    let headers = headers("s1") + "x-bilberrypost-token-count: 1000,70\r\n";
    stream
        .write_all(request("POST", "/stream/x", &headers, "p").as_bytes())
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
    let pid = rustix::process::Pid::from_raw(gateway.process.id() as i32).unwrap();
    rustix::process::kill_process(pid, rustix::process::Signal::STOP).unwrap();
    std::thread::sleep(SILENCE);
    rustix::process::kill_process(pid, rustix::process::Signal::CONT).unwrap();
    let after = events_until(Instant::now() + Duration::from_millis(1500));
    assert!(
        after > before,
        "{before} before the pause, {after} after it"
    );
    assert_eq!(one.request_count() + two.request_count(), 1);
}
