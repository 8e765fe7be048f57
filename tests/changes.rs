//! Requests beside a series of configuration changes, while sound servers fall silent for a second.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::platform::{
    End, Engine, Gateway, Message, Reaction, Store, config, events, headers, ok, registrations,
    request, start_gateway, stream_headers, wait_for,
};

/// Time for which a server is silent.
const SILENCE: Duration = Duration::from_millis(1100);

/// Time from the start of one silence of a server to the start of the next.
const SILENCE_INTERVAL: Duration = Duration::from_millis(3300);

/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// Pause between two versions of the configuration, which come in storms.
const CHANGE_PAUSE: Duration = Duration::from_millis(90);

/// Number of events of each stream.
const EVENTS: u64 = 40;

/// Starts a server that is silent from time to time, and reacts as given otherwise.
fn silent_server(id: &str, offset: Duration, reaction: Reaction) -> Engine {
    let began_at = Instant::now();
    Engine::start(id, move |_| {
        let into = (began_at.elapsed() + offset).as_millis() % SILENCE_INTERVAL.as_millis();
        let left = SILENCE.as_millis().saturating_sub(into) as u64;
        Reaction::After(Duration::from_millis(left), Box::new(reaction.clone()))
    })
}

/// Returns version `number` of the configuration: a route comes and goes, timeouts and limits change.
fn version(number: u64) -> Value {
    let mut config = config(number);
    let routes = config["routes"].as_array_mut().unwrap();
    for route in routes.iter_mut() {
        route["timeout-ms"] = json!(15_000 + number % 5 * 1000);
    }
    if number.is_multiple_of(2) {
        let mut extra = routes[1].clone();
        extra["name"] = json!("extra");
        extra["path-prefix"] = json!("/extra/");
        routes.push(extra);
    }
    config["limits"]["idle-timeout-ms"] = json!(4000 + number % 4 * 3000);
    config["services"][0]["max-connections"] = json!(8 + number % 3 * 40);
    config
}

/// Changes the configuration in storms until `stop` is set; returns the number of versions.
fn change(store: &Store, stop: &AtomicBool) -> u64 {
    let mut number = 3;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        store.put("config", "main", version(number));
        std::thread::sleep(match number % 12 {
            0 => 10 * CHANGE_PAUSE,
            _ => CHANGE_PAUSE,
        });
    }
    number
}

/// What the callers have seen.
#[derive(Default)]
struct Seen {
    calls: AtomicU64,
    streams: AtomicU64,
    faults: Mutex<Vec<String>>,
}

impl Seen {
    fn record_fault(&self, fault: String) {
        self.faults.lock().unwrap().push(fault);
    }
}

/// Sends calls on kept connections, and on a new one after each that the host has announced to close.
fn call(gateway: &Gateway, caller: usize, stop: &AtomicBool, seen: &Seen) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut reader = BufReader::new(TcpStream::connect(&gateway.process.address).unwrap());
        let keeps = !caller.is_multiple_of(4);
        loop {
            number += 1;
            let id = format!("c{caller}-{number}");
            let path = ["/once/x", "/any/x", "/extra/x"][number % 3];
            let text = request("POST", path, &headers(&id), "b");
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                // An idle connection may be closed; nothing has been read then.
                break;
            }
            let Some(answer) = Message::read(&mut reader) else {
                seen.record_fault(format!("{id} {path}: no answer"));
                break;
            };
            seen.calls.fetch_add(1, Ordering::Relaxed);
            let is_expected = answer.status() == 200 && answer.text() == "done"
                || answer.status() == 404 && path == "/extra/x";
            if !is_expected || answer.header("broken").is_some() {
                seen.record_fault(format!("{id} {path}: {}", answer.first_line));
            }
            if !keeps || answer.header("connection") == Some("close") {
                break;
            }
            if stop.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}

/// Sends streams, each on a new connection.
fn stream(gateway: &Gateway, caller: usize, stop: &AtomicBool, seen: &Seen) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("s{caller}-{number}");
        let answer = gateway.send("POST", "/stream/x", &stream_headers(&id), &id);
        let Some(answer) = answer else {
            seen.record_fault(format!("{id}: no answer"));
            continue;
        };
        seen.streams.fetch_add(1, Ordering::Relaxed);
        if answer.status() != 200 || answer.text() != events(1, EVENTS) {
            let length = answer.text().len();
            seen.record_fault(format!("{id}: {} {length} bytes", answer.first_line));
        }
    }
}

/// Guards against a request that has been passed on and gets neither an answer nor a refusal, because
/// the configuration changes while its server is silent for a second and then goes on.
#[test]
fn requests_beside_changes_and_silent_servers_are_answered() {
    let apps: Vec<_> = (0..4)
        .map(|n| silent_server(&format!("app-{n}"), SILENCE * n, ok()))
        .collect();
    let models: Vec<_> = (0..3)
        .map(|n| {
            let end = End::Pause(SILENCE, EVENTS);
            let reaction = Reaction::Events(EVENTS / 2, end);
            silent_server(&format!("model-{n}"), SILENCE * n, reaction)
        })
        .collect();
    let domains = ["fd-a", "fd-b", "fd-c"];
    let mut engines: Vec<_> = apps.iter().map(|app| (app, "app", "fd-a")).collect();
    engines.extend(
        models
            .iter()
            .zip(domains)
            .map(|(model, domain)| (model, "model", domain)),
    );
    let (store, mut gateway) = start_gateway(config(3), &registrations(&engines));
    let (stop, seen) = (AtomicBool::new(false), Arc::new(Seen::default()));
    let versions = std::thread::scope(|scope| {
        let changes = scope.spawn(|| change(&store, &stop));
        for caller in 0..16 {
            let (gateway, stop, seen) = (&gateway, &stop, &seen);
            scope.spawn(move || call(gateway, caller, stop, seen));
        }
        for caller in 0..6 {
            let (gateway, stop, seen) = (&gateway, &stop, &seen);
            scope.spawn(move || stream(gateway, caller, stop, seen));
        }
        std::thread::sleep(LOAD_TIME);
        stop.store(true, Ordering::Relaxed);
        changes.join().unwrap()
    });
    let faults = seen.faults.lock().unwrap().clone();
    let calls = seen.calls.load(Ordering::Relaxed);
    let streams = seen.streams.load(Ordering::Relaxed);
    println!("{calls} calls, {streams} streams, {versions} versions");
    assert!(
        faults.is_empty(),
        "{} faults: {:?}",
        faults.len(),
        &faults[..faults.len().min(20)]
    );
    assert!(calls > 0 && streams > 0);
    let last = format!("{versions}");
    wait_for("the last version", || {
        gateway
            .metric("bilberrypost_revision_version ")
            .map(|version| version.to_string())
            == Some(last.clone())
    });
    gateway.process.terminate();
    assert_eq!(gateway.process.wait(), Some(0));
}
