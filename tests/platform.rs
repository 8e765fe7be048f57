//! The adapter to the users' platform: heads and documents from outside, whole, broken and random.

mod support;

use std::time::{Duration, Instant};

use bilberrypost::gateway::call::{Attempt, Outcome};
use bilberrypost::gateway::protocol::{Change, Directory, Protocol};
use bilberrypost::platform::Platform;
use bilberrypost::platform::store::Store as Client;
use hyper::Response;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use support::block_on;
use support::platform::{Store, config};

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name: HeaderName = name.parse().unwrap();
        (name, HeaderValue::from_str(value).unwrap())
    });
    pairs.collect()
}

/// Guards against headers of one connection, or of the system, that a caller passes on to engines.
#[test]
fn only_the_callers_own_headers_are_passed_on() {
    let given = headers(&[
        ("connection", "close, x-private"),
        ("x-private", "1"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("x-bilberrypost-credential", "key"),
        ("x-bilberrypost-tenant", "forged"),
        ("x-bilberrypost-expect-instance", "i-9"),
        ("x-bilberrypost-kv-retention", "h"),
        ("kv-fetch", "1.2.3.4:5"),
        ("x-bilberrypost-attempt-id", "r1"),
        ("host", "shop.example"),
        ("accept", "a"),
    ]);
    let passed = Platform::forwarded_headers(&given);
    let mut names: Vec<_> = passed.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["accept", "host", "x-bilberrypost-attempt-id"]);
    // A caller cannot have the id taken off by naming it as a header of its connection.
    let tricky = headers(&[
        ("connection", "x-bilberrypost-attempt-id"),
        ("x-bilberrypost-attempt-id", "r1"),
    ]);
    assert_eq!(Platform::forwarded_headers(&tricky).len(), 1);
}

/// Guards against an attempt without its deadline, engine or replica.
#[test]
fn an_attempt_names_engine_deadline_and_replica() {
    let mut sent = HeaderMap::new();
    let attempt = Attempt {
        id: "r2",
        time_left: Duration::from_millis(750),
        engine_id: "i-1",
        team: Some("team-a"),
        rank: Some(12),
        replica_address: Some("10.0.0.1:80"),
        resume_from: Some(("10.0.0.2:80", "r1")),
        last_event: Some(7),
    };
    Platform::add_attempt_headers(&mut sent, &attempt);
    let value = |name: &str| sent[name].to_str().unwrap().to_owned();
    assert_eq!(value("x-bilberrypost-deadline-ms"), "750");
    assert_eq!(value("x-bilberrypost-expect-instance"), "i-1");
    assert_eq!(value("x-bilberrypost-tenant"), "team-a");
    assert_eq!(value("x-bilberrypost-request-priority"), "9");
    assert_eq!(value("x-bilberrypost-kv-replica"), "10.0.0.1:80");
    assert_eq!(value("kv-from"), "10.0.0.2:80/r1");
    assert_eq!(value("last-event-id"), "7");
}

/// Guards against answers that are taken for the engine's own though they are not.
#[test]
fn answers_are_told_apart() {
    type Case = (u16, &'static [(&'static str, &'static str)], Outcome);
    let cases: [Case; 8] = [
        (
            200,
            &[
                ("x-bilberrypost-attempt-id", "r1"),
                ("x-bilberrypost-response-seal", "s"),
            ],
            Outcome::Success,
        ),
        (
            200,
            &[("x-bilberrypost-attempt-id", "r1")],
            Outcome::Foreign,
        ),
        (
            200,
            &[("x-bilberrypost-response-seal", "s")],
            Outcome::Foreign,
        ),
        (
            200,
            &[
                ("x-bilberrypost-attempt-id", "r2"),
                ("x-bilberrypost-response-seal", "s"),
            ],
            Outcome::Foreign,
        ),
        (
            200,
            &[
                ("x-bilberrypost-attempt-id", "r1"),
                ("x-bilberrypost-response-seal", "s"),
                ("content-encoding", "gzip"),
            ],
            Outcome::Foreign,
        ),
        (
            500,
            &[("x-bilberrypost-attempt-id", "r1")],
            Outcome::Failure,
        ),
        (
            503,
            &[("x-bilberrypost-not-executed", "1")],
            Outcome::NotRun,
        ),
        (421, &[], Outcome::OtherEngine),
    ];
    for (status, pairs, expected) in cases {
        let mut head = Response::new(());
        *head.status_mut() = status.try_into().unwrap();
        *head.headers_mut() = headers(pairs);
        assert_eq!(
            Platform::decode_response(&head, "r1"),
            expected,
            "{status} {pairs:?}"
        );
    }
}

/// Guards against heads that end the process, with 20,000 random ones.
#[test]
fn random_heads_are_decoded_or_refused() {
    let names = [
        "x-bilberrypost-attempt-id",
        "x-bilberrypost-deadline-ms",
        "x-bilberrypost-token-count",
        "x-bilberrypost-prompt-prefix",
        "x-bilberrypost-length-hint",
        "last-event-id",
        "connection",
    ];
    let words = [
        "1",
        "-1",
        "1e400",
        "NaN",
        "99999999999999999999",
        ",",
        ":",
        "a:1",
        "a:",
        "1,2",
        "",
        " ",
        "x\u{e9}",
    ];
    let mut draws = StdRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut given = HeaderMap::new();
        for name in names {
            let count = draws.random_range(0..3);
            let value: String = (0..count)
                .map(|_| words[draws.random_range(0..words.len())])
                .collect();
            if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
                given.insert(HeaderName::from_static(name), value);
            }
        }
        let decoded = Platform::decode_request(&given);
        assert!(decoded.is_err() || given.contains_key("x-bilberrypost-attempt-id"));
        let _ = decoded.map(|call| (call.footprint(), Instant::now() + call.timeout));
        let _ = Platform::forwarded_headers(&given);
    }
}

/// Replaces a random value somewhere in a document.
fn corrupt(value: &mut Value, draws: &mut StdRng) {
    let junk = [
        json!(null),
        json!(-1),
        json!("x"),
        json!([]),
        json!({}),
        json!(1e300),
    ];
    let inner: Vec<&mut Value> = match value {
        Value::Array(items) => items.iter_mut().collect(),
        Value::Object(fields) => fields.values_mut().collect(),
        _ => Vec::new(),
    };
    if inner.is_empty() || draws.random_bool(0.2) {
        *value = junk[draws.random_range(0..junk.len())].clone();
        return;
    }
    let chosen = draws.random_range(0..inner.len());
    corrupt(inner.into_iter().nth(chosen).unwrap(), draws);
}

/// Guards against configurations that end the process or are put into force half, with 5,000 spoiled
/// ones.
#[test]
fn spoiled_configurations_are_read_whole_or_not_at_all() {
    let client = Client::new("127.0.0.1:1");
    let whole = client.decode_revision(&config(3).to_string()).unwrap();
    assert_eq!((whole.version, whole.routes()), (3, 4));
    let mut draws = StdRng::seed_from_u64(2);
    for _ in 0..5_000 {
        let mut document = config(3);
        for _ in 0..draws.random_range(1..4) {
            corrupt(&mut document, &mut draws);
        }
        if let Some(revision) = client.decode_revision(&document.to_string()) {
            let found = revision.find("shop.example", "/open/x", Some("k"));
            let times =
                found.map(|(route, _)| (route.service(0.5), Instant::now() + route.timeout));
            let _ = times;
        }
    }
    for text in ["", "{", "[]", "7", "{\"version\":\"7\"}"] {
        assert!(client.decode_revision(text).is_none(), "{text}");
    }
}

/// Guards against entries of other writers that name an engine, or that hide those after them.
#[test]
fn unreadable_entries_are_counted_and_name_no_engine() {
    let store = Store::start();
    let good = json!({"service": "app", "address": "10.0.0.1:80", "zone": "fd-a", "version": "v1",
                      "batch-slots": 6, "lifecycle": "draining", "born": 7, "new-field": []});
    store.put("servers", "a", good.clone());
    let changes = [
        ("address", json!("nowhere")),
        ("batch-slots", json!("six")),
        ("lifecycle", json!("resting")),
        ("service", json!(null)),
        ("born", json!(1.5)),
    ];
    for (field, value) in &changes {
        let mut entry = good.clone();
        entry[*field] = value.clone();
        store.put("servers", field, entry);
    }
    store.put("servers", "bytes", json!("not an entry"));
    store.put("servers", "z", good);
    let client = Client::new(&store.address);
    let listing = block_on(client.list_engines()).unwrap();
    let ids: Vec<_> = listing
        .items
        .iter()
        .map(|entry| entry.id.as_str())
        .collect();
    assert_eq!(ids, ["a", "z"]);
    assert_eq!(listing.unreadable, changes.len() + 1);
    assert!(listing.items[0].is_draining);
    assert_eq!(listing.items[0].started_ms, 7);
    let seen = block_on(client.watch_engines(0, Duration::ZERO)).unwrap();
    let gone = seen
        .items
        .iter()
        .filter(|change| matches!(change, Change::Removed(_)));
    assert_eq!(gone.count(), changes.len() + 1);
}
