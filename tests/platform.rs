//! The adapter to the platform, with valid, malformed and random heads and documents.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use bilberrypost::gateway::call::{Attempt, Outcome};
use bilberrypost::gateway::position::Position;
use bilberrypost::gateway::protocol::{Change, Directory, Protocol};
use bilberrypost::platform::Platform;
use bilberrypost::platform::store::Store as Client;
use hyper::Response;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use support::block_on;
use support::platform::{Message, Store, config, registration};

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let pairs = pairs.iter().map(|(name, value)| {
        let name: HeaderName = name.parse().unwrap();
        (name, HeaderValue::from_str(value).unwrap())
    });
    pairs.collect()
}

/// Guards against hop-by-hop headers, and headers that only the gateway may set, that a caller can
/// send to engines.
#[test]
fn only_end_to_end_headers_are_forwarded() {
    let received = headers(&[
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
    let forwarded = Platform::forwarded_headers(&received);
    let mut names: Vec<_> = forwarded.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["accept", "host", "x-bilberrypost-attempt-id"]);
    // Listing the id in `Connection` must not remove it.
    let protected_id = headers(&[
        ("connection", "x-bilberrypost-attempt-id"),
        ("x-bilberrypost-attempt-id", "r1"),
    ]);
    assert_eq!(Platform::forwarded_headers(&protected_id).len(), 1);
}

/// Guards against an attempt without its deadline, engine or replica.
#[test]
fn an_attempt_carries_deadline_engine_and_replica() {
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

/// Guards against accepting a response that does not come from the engine or belongs to another
/// request.
#[test]
fn responses_are_classified() {
    type Case = (u16, &'static [(&'static str, &'static str)], Outcome);
    let cases: [Case; 14] = [
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
        (
            408,
            &[("x-bilberrypost-attempt-id", "r1")],
            Outcome::UnstatedRefusal,
        ),
        (
            429,
            &[("x-bilberrypost-attempt-id", "r1")],
            Outcome::UnstatedRefusal,
        ),
        (
            503,
            &[
                ("x-bilberrypost-attempt-id", "r1"),
                ("x-bilberrypost-response-seal", "s"),
            ],
            Outcome::UnstatedRefusal,
        ),
        (421, &[], Outcome::OtherEngine),
        (
            421,
            &[("x-bilberrypost-attempt-id", "r1")],
            Outcome::OtherEngine,
        ),
        (
            421,
            &[("x-bilberrypost-attempt-id", "r2")],
            Outcome::Foreign,
        ),
        (
            503,
            &[
                ("x-bilberrypost-attempt-id", "r1"),
                ("x-bilberrypost-attempt-id", "r2"),
                ("x-bilberrypost-not-executed", "1"),
            ],
            Outcome::Foreign,
        ),
    ];
    for (status, pairs, expected) in cases {
        let mut head = Response::new(());
        *head.status_mut() = status.try_into().unwrap();
        *head.headers_mut() = headers(pairs);
        assert_eq!(
            Platform::decode_response(&head, "r1").outcome,
            expected,
            "{status} {pairs:?}"
        );
    }
}

/// Guards against an answer whose word that the engine leaves is overlooked or made up.
#[test]
fn answers_of_leaving_engines_are_recognized() {
    for (status, value, expected) in [
        (200, Some("1"), true),
        (500, Some(" 1 "), true),
        (503, Some("1"), true),
        (200, Some("0"), false),
        (200, Some(""), false),
        (200, None, false),
    ] {
        let mut head = Response::new(());
        *head.status_mut() = status.try_into().unwrap();
        let pairs = value.map(|value| ("server-leaving", value));
        *head.headers_mut() = headers(pairs.as_slice());
        let answer = Platform::decode_response(&head, "r1");
        assert_eq!(answer.is_leaving, expected, "{status} {value:?}");
    }
}

/// Guards against a time that an engine names and that is overlooked, misread or made up.
#[test]
fn the_time_for_which_an_engine_wants_nothing_is_read() {
    let seconds = |seconds| Some(Duration::from_secs_f64(seconds));
    for (status, value, expected) in [
        (503, "2", seconds(2.0)),
        (503, " 0.25 ", seconds(0.25)),
        (503, "1e300", Some(Duration::MAX)),
        (503, "0", None),
        (503, "-3", None),
        (503, "NaN", None),
        (503, "", None),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", None),
        (429, "2", None),
        (500, "2", None),
        (200, "2", None),
    ] {
        let mut head = Response::new(());
        *head.status_mut() = status.try_into().unwrap();
        *head.headers_mut() = headers(&[("retry-after", value)]);
        let answer = Platform::decode_response(&head, "r1");
        assert_eq!(answer.retry_after, expected, "{status} {value:?}");
    }
}

/// Guards against panics on malformed heads, with 20,000 random ones.
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
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut received = HeaderMap::new();
        for name in names {
            let count = rng.random_range(0..3);
            let value: String = (0..count)
                .map(|_| words[rng.random_range(0..words.len())])
                .collect();
            if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
                received.insert(HeaderName::from_static(name), value);
            }
        }
        let decoded = Platform::decode_request(&received);
        assert!(decoded.is_err() || received.contains_key("x-bilberrypost-attempt-id"));
        let _ = decoded.map(|call| (call.footprint(), Instant::now() + call.timeout));
        let _ = Platform::forwarded_headers(&received);
    }
}

/// Replaces one random value of a document by one of another type or range.
fn corrupt(value: &mut Value, rng: &mut StdRng) {
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
    if inner.is_empty() || rng.random_bool(0.2) {
        *value = junk[rng.random_range(0..junk.len())].clone();
        return;
    }
    let chosen = rng.random_range(0..inner.len());
    corrupt(inner.into_iter().nth(chosen).unwrap(), rng);
}

/// Guards against panics on malformed configurations, with 5,000 random ones, and against accepting
/// documents that are no configuration.
#[test]
fn corrupt_configurations_do_not_panic() {
    let client = Client::new("127.0.0.1:1");
    let whole = client.decode_revision(&config(3).to_string()).unwrap();
    assert_eq!((whole.version, whole.routes()), (3, 4));
    let mut rng = StdRng::seed_from_u64(2);
    for _ in 0..5_000 {
        let mut document = config(3);
        for _ in 0..rng.random_range(1..4) {
            corrupt(&mut document, &mut rng);
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

/// Guards against malformed entries that register an engine, or that hide the entries after them.
#[test]
fn malformed_entries_are_counted_and_register_no_engine() {
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
    let seen = block_on(client.watch_engines(Position::default(), Duration::ZERO)).unwrap();
    let gone = seen
        .items
        .iter()
        .filter(|change| matches!(change, Change::Removed(_)));
    assert_eq!(gone.count(), changes.len() + 1);
}

/// Guards against a list that joins entries of two histories of the store.
#[test]
fn a_list_is_begun_again_if_the_era_changes() {
    let pages = [("a", true, 9, 4), ("b", false, 3, 5), ("c", false, 7, 5)];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = Client::new(&listener.local_addr().unwrap().to_string());
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        for (id, has_more, at, era) in pages {
            Message::read(&mut reader).unwrap();
            let spec = registration("10.0.0.1:80", "app", "fd-a");
            let entry = json!({"metadata": {"name": id}, "spec": spec});
            let page = json!({"entries": [entry], "has-more": has_more, "at": at}).to_string();
            let length = page.len();
            let head = format!("HTTP/1.1 200 x\r\nstore-era: {era}\r\ncontent-length: {length}");
            stream
                .write_all(format!("{head}\r\n\r\n{page}").as_bytes())
                .unwrap();
        }
    });
    let listing = block_on(client.list_engines()).unwrap();
    let ids = listing.items.iter().map(|entry| entry.id.as_str());
    assert_eq!(ids.collect::<Vec<_>>(), ["c"]);
    assert_eq!(
        listing.position,
        Position {
            era: 5,
            revision: 7
        }
    );
}

/// Guards against a copy of a run that the engine does not understand, or that stops the run, and against
/// an answer without an id that is taken for one.
#[test]
fn calls_for_copies_are_as_engines_expect_them() {
    let request = Platform::copy_request("1.2.3.4:5", "r1", "1.2.3.6:7").unwrap();
    assert_eq!(request.method(), "POST");
    assert_eq!(request.uri(), "/bilberrypost/kv-move");
    assert_eq!(request.headers()["host"], "1.2.3.4:5");
    let body = block_on(http_body_util::BodyExt::collect(request.into_body()));
    let body: Value = serde_json::from_slice(&body.unwrap().to_bytes()).unwrap();
    let expected = json!({"instance-id": "r1", "to": "1.2.3.6:7", "final": false});
    assert_eq!(body, expected);
    let request = Platform::release_request("1.2.3.4:5", "h1").unwrap();
    assert_eq!(request.method(), "DELETE");
    assert_eq!(request.uri(), "/bilberrypost/kv-handle/h1");
    let id = Platform::decode_copy(br#"{"kv-handle":"h1","created":3}"#);
    assert_eq!(id.as_deref(), Some("h1"));
    for malformed in ["", "{}", r#"{"kv-handle":3}"#, "[]"] {
        assert_eq!(Platform::decode_copy(malformed.as_bytes()), None);
    }
}
