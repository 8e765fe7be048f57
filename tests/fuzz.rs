//! Fuzz of the decoders that bytes of callers, engines, the store and other hosts reach: no panic, and
//! nothing decoded that is larger than its bound.
//!
//! By default the seed is fixed and few inputs are tried. By hand, also for a single test:
//! `FUZZ_CASES=N FUZZ_SEED=N cargo test --release --test fuzz [TEST]`.

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use bilberrypost::clock::Manual;
use bilberrypost::config::host::Secret;
use bilberrypost::config::patch::{self, Patch};
use bilberrypost::gateway::feed::{Query, Update};
use bilberrypost::gateway::position::Position;
use bilberrypost::gateway::protocol::{Directory, Listing, Protocol, Unavailable};
use bilberrypost::http::sse;
use bilberrypost::peer::auth::Keys;
use bilberrypost::peer::report::{BYTES_MAX, Report, Summary};
use bilberrypost::peer::seal::{self, Verifier};
use bilberrypost::platform::Platform;
use bilberrypost::platform::store::Store;
use bilberrypost::relay::event_stream::{self, Splitter};
use bilberrypost::relay::handover::RemoteStreams;
use bilberrypost::route::cache::Cache;
use bilberrypost::route::evidence::Evidence;
use bilberrypost::route::losses::Finder;
use bilberrypost::route::prompt::{PARTS_MAX, Prompt};
use bilberrypost::route::quarantine::Quarantine;
use bilberrypost::route::registry::Registry;
use bilberrypost::route::reports::Source;
use bilberrypost::sched::admission::Controller;
use bilberrypost::sched::retry;
use bilberrypost::wire;
use compio::bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde::Serialize;
use serde_json::json;
use serde_with::base64::Base64;
use serde_with::serde_as;
use support::platform::{Message, config, empty_report, gateway_settings, registration};

/// Number of inputs of each test without `FUZZ_CASES`.
const CASES: u64 = 300;

/// Maximum length of an input; it exceeds the limit on an event.
const INPUT_BYTES_MAX: usize = 32 * 1024;

/// Limit on the buffered bytes of an event stream.
const EVENT_BYTES_MAX: usize = 16 * 1024;

/// Limit on a document that a patch restores.
const DOCUMENT_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Where watches begin.
const SINCE: Position = Position {
    era: 0,
    revision: 1,
};

/// Texts and binary numbers that decoders often treat specially, separated by spaces.
const TOKENS: &[u8] = b"\r\n \n\n \r id: : , \" { [ ] } null -1 1e400 4294967295 \
    18446744073709551615 \\u0000 \xff\xff\xff\xff\x0f \xff\xff\xff\xff\xff\xff\xff\xff\xff\x01 \0";

/// Replaces a part of an input.
#[derive(Clone, Debug)]
struct Edit {
    at: Index,
    removed: usize,
    inserted: Insertion,
    times: usize,
}

#[derive(Clone, Debug)]
enum Insertion {
    Removed,
    Bytes(Vec<u8>),
    EndOf(Index, Index),
}

fn edit() -> impl Strategy<Value = Edit> {
    let tokens = TOKENS.split(|byte| *byte == b' ').map(<[u8]>::to_vec);
    let inserted = prop_oneof![
        Just(Insertion::Removed),
        select(tokens.collect::<Vec<_>>()).prop_map(Insertion::Bytes),
        prop::collection::vec(any::<u8>(), 0..3).prop_map(Insertion::Bytes),
        any::<(Index, Index)>().prop_map(|(other, from)| Insertion::EndOf(other, from)),
    ];
    let removed = prop_oneof![Just(0), Just(1), 0..100_usize];
    let times = prop_oneof![3 => Just(1), 1 => 1..500_usize];
    let parts = (any::<Index>(), removed, inserted, times);
    parts.prop_map(|(at, removed, inserted, times)| Edit {
        at,
        removed,
        inserted,
        times,
    })
}

fn apply(edit: &Edit, bytes: &mut Vec<u8>, samples: &[Vec<u8>]) {
    let at = edit.at.index(bytes.len() + 1);
    let end = (at + edit.removed).min(bytes.len());
    let inserted = match &edit.inserted {
        Insertion::Removed => &bytes[at..end],
        Insertion::Bytes(bytes) => bytes,
        Insertion::EndOf(other, from) => {
            let other = other.get(samples);
            &other[from.index(other.len() + 1)..]
        }
    };
    let inserted = inserted.repeat(edit.times);
    drop(bytes.splice(at..end, inserted));
    bytes.truncate(INPUT_BYTES_MAX);
}

fn inputs(samples: Vec<Vec<u8>>) -> impl Strategy<Value = Bytes> {
    let edits = prop::collection::vec(edit(), 0..6);
    let edited = (any::<Index>(), edits).prop_map(move |(sample, edits)| {
        let mut bytes = sample.get(&samples).clone();
        edits
            .iter()
            .for_each(|edit| apply(edit, &mut bytes, &samples));
        bytes.into()
    });
    let random = prop::collection::vec(any::<u8>(), 0..300).prop_map(Bytes::from);
    prop_oneof![9 => edited, 1 => random]
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().unwrap())
}

/// Checks a property of random inputs and of edited samples. It also gets lengths of pieces.
fn check(samples: Vec<Vec<u8>>, property: impl Fn(&[u8], &[usize])) {
    let config = Config {
        cases: setting("FUZZ_CASES", CASES) as u32,
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    };
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&setting("FUZZ_SEED", 1).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let pieces = prop::collection::vec(1..3000_usize, 1..6);
    let result =
        TestRunner::new_with_rng(config, rng).run(&(inputs(samples), pieces), |(bytes, pieces)| {
            property(&bytes, &pieces);
            Ok(())
        });
    result.unwrap_or_else(|err| panic!("{err}"));
}

fn json_bytes(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap()
}

/// Parses the lines of a head that are valid headers.
fn headers(bytes: &[u8]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let text = String::from_utf8_lossy(bytes);
    for (name, value) in text.lines().filter_map(|line| line.split_once(':')) {
        let value = HeaderValue::from_str(value.trim());
        if let (Ok(name), Ok(value)) = (HeaderName::from_bytes(name.as_bytes()), value) {
            headers.append(name, value);
        }
    }
    headers
}

/// Guards against the head of a caller or an engine that panics, or whose values exceed their limits.
#[test]
fn heads() {
    let request = "x-bilberrypost-attempt-id: a-1\nx-bilberrypost-deadline-ms: 900.5\n\
        x-bilberrypost-credential: key\nx-bilberrypost-token-count: 10, 20\n\
        x-bilberrypost-prompt-prefix: a:100,b:200,c:300\nx-bilberrypost-length-hint: 7\n\
        last-event-id: 4\nconnection: close, te\nte: x\nhost: shop.example\n";
    let response = "x-bilberrypost-attempt-id: a-1\nx-bilberrypost-response-seal: s\n\
        server-leaving: 1\nretry-after: 0.25\nx-bilberrypost-not-executed: 1\n";
    let day = Duration::from_secs(24 * 3600);
    check(vec![request.into(), response.into()], |bytes, pieces| {
        let headers = headers(bytes);
        let mut forwarded = Platform::forwarded_headers(&headers);
        assert!(forwarded.len() <= headers.len());
        if let Ok(call) = Platform::decode_request(&headers) {
            assert!(call.timeout <= day);
            assert!(call.prompt_parts.len() <= bytes.len());
            assert!(call.prompt(1).parts.len() <= PARTS_MAX);
            call.footprint().expected_time();
            call.footprint().memory();
            Platform::add_gateway_headers(&mut forwarded, &call.id, Some(call.timeout));
        }
        let status = [200, 421, 503, 100 + pieces[0] as u16 % 900][bytes.len() % 4];
        let mut response = Response::new(());
        *response.status_mut() = StatusCode::from_u16(status).unwrap();
        *response.headers_mut() = headers;
        Platform::decode_response(&response, "a-1");
    });
}

/// Cuts bytes into pieces of these lengths, over and over.
fn cut<'a>(mut bytes: &'a [u8], lengths: &'a [usize]) -> impl Iterator<Item = &'a [u8]> {
    lengths.iter().cycle().map_while(move |length| {
        let piece = bytes.split_off(..(*length).min(bytes.len()))?;
        (!piece.is_empty()).then_some(piece)
    })
}

/// Splits pieces of a body into events, up to the first error.
fn split<'a>(pieces: impl Iterator<Item = &'a [u8]>) -> (Vec<event_stream::Event>, bool) {
    let (mut splitter, mut events, mut kept) = (Splitter::default(), Vec::new(), 0);
    for piece in pieces {
        if splitter.push(piece).is_err() {
            return (events, false);
        }
        kept += piece.len();
        assert!(kept <= EVENT_BYTES_MAX);
        while let Some(event) = splitter.next() {
            kept -= event.bytes.len();
            events.push(event);
        }
        assert_eq!(splitter.has_rest(), kept > 0);
    }
    (events, true)
}

/// Guards against events that depend on where a body was cut, and against a buffer without a limit.
#[test]
fn event_streams() {
    let stream = b"id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\n: c\n\nretry: 5\n\n\
        x-bilberrypost-weight-versions: 3\nid: 18446744073709551615\n\n"
        .to_vec();
    let last = b"event: done\nid: 0\ndata: {}\ndata: x\n\n".to_vec();
    check(vec![stream, last], |bytes, lengths| {
        let (events, is_whole) = split(cut(bytes, lengths));
        let (by_byte, is_whole_by_byte) = split(bytes.chunks(1));
        assert!(by_byte.starts_with(&events));
        assert!(!is_whole || (by_byte == events && is_whole_by_byte));
        let mut position = event_stream::Position::after(None);
        for event in &events {
            let _ = event.check(Platform::EVENT_FIELDS);
            let _ = position.advance(event);
        }
        let parse = |pieces: &mut dyn Iterator<Item = &[u8]>| {
            let (mut parser, mut events) = (sse::Parser::default(), Vec::new());
            for piece in pieces {
                parser.push(piece).unwrap();
                events.extend(std::iter::from_fn(|| parser.next()));
            }
            events
        };
        assert_eq!(
            parse(&mut cut(bytes, lengths)),
            parse(&mut std::iter::once(bytes))
        );
    });
}

/// Starts a store that answers each call with the body in `body`.
fn start_store(body: Arc<Mutex<Vec<u8>>>) -> Store {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let body = Arc::clone(&body);
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while Message::read(&mut reader).is_some() {
                    let body = body.lock().unwrap();
                    let head = format!("HTTP/1.1 200 x\r\ncontent-length: {}\r\n\r\n", body.len());
                    let _ = stream.write_all(&[head.as_bytes(), &body].concat());
                }
            });
        }
    });
    Store::new(&address)
}

fn entries<T>(listing: Result<Listing<T>, Unavailable>) -> usize {
    listing.map_or(0, |listing| listing.items.len() + listing.unreadable)
}

/// Guards against an answer of the store, or an entry in it, that panics or yields more entries than it
/// has.
#[test]
fn store_entries() {
    let object = |name: &str, spec| json!({"metadata": {"name": name}, "spec": spec});
    let engine = object("i-1", registration("10.0.0.1:80", "app", "fd-a"));
    let main = object("main", config(3));
    let events = json!([{"removed": true, "object": engine}, {"object": main}]);
    let listing = json!({"at": 9, "has-more": false, "entries": [engine, main], "events": events});
    let change = json!({"at": 9, "events": [{"removed": false, "object": engine}]});
    let body = Arc::new(Mutex::new(Vec::new()));
    let store = start_store(Arc::clone(&body));
    let runtime = compio::runtime::Runtime::new().unwrap();
    let samples = vec![json_bytes(&listing), json_bytes(&change)];
    check(samples, |bytes, _| {
        *body.lock().unwrap() = bytes.to_vec();
        // A list has two pages at most, as the second one ends with the same name.
        let max = 2 * bytes.len();
        runtime.block_on(async {
            assert!(entries(store.list_engines().await) <= max);
            assert!(entries(store.watch_engines(SINCE, Duration::ZERO).await) <= max);
            assert!(entries(store.read_revision().await) <= max);
            assert!(entries(store.watch_revision(SINCE, Duration::ZERO).await) <= max);
        });
    });
}

/// Guards against a configuration that panics when it is read or used, or that grows by more than its
/// numbers do in another notation.
#[test]
fn configurations() {
    let mut split = config(u64::MAX);
    split["routes"][0]["traffic-split"] = json!([{"service": "app", "weight": 0.25},
                                                 {"service": "model", "weight": 1e300}]);
    let store = Store::new("127.0.0.1:1");
    let samples = vec![json_bytes(&config(3)), json_bytes(&split)];
    check(samples, |bytes, _| {
        let Some(revision) = store.decode_revision(&String::from_utf8_lossy(bytes)) else {
            return;
        };
        assert!(revision.routes() <= bytes.len());
        assert!(revision.source.len() <= 20 * bytes.len());
        for path in ["/once/a", "/any/", "/stream/x", ""] {
            if let Ok((route, _)) = revision.find("shop.example", path, Some("key")) {
                route.service(0.999);
            }
        }
    });
}

/// A patch as it is sent.
#[serde_as]
#[derive(Serialize)]
struct SentPatch {
    base: u64,
    result: u64,
    size: usize,
    #[serde_as(as = "Vec<Base64>")]
    blocks: Vec<Vec<u8>>,
}

/// Guards against a patch that panics, or that restores more than a document may have.
#[test]
fn patches() {
    let base = config(3).to_string().repeat(30);
    let document = base.replacen("20000", "15000", 9);
    let block = lz4_flex::block::compress(&document.as_bytes()[..20_000]);
    let samples = vec![json_bytes(&Patch::new(&base, &document)), block];
    check(samples, |bytes, lengths| {
        let patch = serde_json::from_slice::<Patch>(bytes).ok();
        let restored = patch.and_then(|patch| patch.apply(&base).ok());
        assert!(restored.is_none_or(|text| text.len() <= DOCUMENT_BYTES_MAX));
        for size in [lengths[0], 20_000, DOCUMENT_BYTES_MAX, usize::MAX] {
            let sent = SentPatch {
                base: patch::digest(&base),
                result: patch::digest(""),
                size,
                blocks: vec![bytes.to_vec(); lengths.len()],
            };
            let patch: Patch = serde_json::from_value(json!(sent)).unwrap();
            assert!(patch.apply(&base).is_err());
        }
    });
}

/// Report of a representative with something in each field, and numbers as large as `number`.
fn full_report(number: u64) -> Report {
    let small = number as u32;
    let crash = |engine: u32| {
        json!({"engine": engine, "domain": engine, "request": engine, "parts": [1, 2],
               "certainty": "Certain", "age_ms": 9})
    };
    let usages = json!([{"engine": 1, "running": small, "reading": small, "memory": small,
                         "read_tokens": small, "read_ms": small}]);
    let class = json!({"rank": 1, "is_late": false, "is_repeatable": true});
    let counts = json!({
        "arrivals": [{"service": 1, "class": class, "team": 1, "count": small}],
        "answers": [{"service": 1, "engine": 1, "answered": {"count": small, "time_us": number}}]});
    let prefix = json!({"hash": 1, "tokens": small});
    let sightings = json!([{"engine": 1, "prefix": prefix, "age_ms": small}]);
    let retries = json!([{"service": 1, "requests": small, "committed": small}]);
    let losses = json!([{"engine": 1, "age_ms": number as u16}]);
    let evidence = json!({
        "crashes": [crash(1), crash(2), crash(3)], "passes": [{"part": 2, "age_ms": small}],
        "blocks": [{"parts": [1], "failed_trials": small, "age_ms": 3_600_000}]});
    let summary = |domain: &str| {
        json!({"domain": domain, "number": number, "process": number, "hosts": ["10.0.0.2", "::2"],
               "usages": usages, "retrying_hosts": number, "retries": retries, "losses": losses,
               "counts": counts, "evidence": evidence, "sightings": sightings, "rollouts": []})
    };
    let report = json!({
        "number": number, "process": number, "domain": "fd-a", "revision": number,
        "is_leaving": false, "is_question": true, "hosts": {"fd-a": ["10.0.0.2"], "fd-b": ["::2"]},
        "usages": usages, "retries": retries, "counts": counts, "losses": losses, "removals": [1],
        "evidence": evidence, "sightings": sightings, "rollouts": null, "streams": [{"digest": number, "run": "r-1", "replica": 1}],
        "summaries": [summary("fd-b"), summary("fd-c")]});
    serde_json::from_value(report).unwrap()
}

/// Records the summary of another failure domain.
fn record(summary: Summary) {
    let now = Instant::now();
    let clock = Manual::new(SystemTime::UNIX_EPOCH);
    let mut registry = Registry::new(clock, "host-a".into(), "fd-a".into());
    let mut budget = retry::Budget::new(gateway_settings().retries, 1);
    let mut quarantine = Quarantine::new(1);
    let source = Source::Domain(summary.domain);
    registry.set_report(source.clone(), summary.number, summary.usages);
    let (process, hosts) = (summary.process, summary.retrying_hosts);
    budget.record_report(source, process, hosts, summary.retries, now);
    registry.record_sightings(&summary.sightings, false);
    let mut admission = Controller::default();
    for _ in 0..2 {
        admission.record_counts(&summary.counts, now);
        admission.record_summary(&summary.counts, now);
    }
    admission.take_joint_counts();
    for loss in summary.losses {
        registry.record_reported_loss(loss, Finder::Remote);
    }
    budget.record_request("app", now);
    budget.joint_usages(now);
    budget.balance("app", now);
    budget.try_spend("app", now);
    let blocks = Evidence {
        crashes: Vec::new(),
        ..summary.evidence.clone()
    };
    quarantine.merge(&blocks, Finder::Peer, now);
    quarantine.merge(&summary.evidence, Finder::Peer, now);
    quarantine.admit(&Prompt::new(1, ["a", "b"].into_iter()), now);
    assert!(quarantine.joint(now).crashes.len() <= summary.evidence.crashes.len());
}

/// Guards against a datagram of a peer that panics when it is read or recorded, or grows in it.
#[test]
fn datagrams() {
    let keys = Keys::new(Secret::new("one"), None);
    let from = SocketAddr::from(([10, 0, 0, 9], 7200));
    let samples = [full_report(7), full_report(u64::MAX), empty_report("fd-a")];
    let samples = samples.iter().map(|report| report.encode().unwrap());
    check(samples.collect(), |bytes, _| {
        let bytes = &bytes[..bytes.len().min(BYTES_MAX)];
        let forged = Verifier::new(Some(keys.clone())).open(from, bytes, 7);
        assert_eq!(forged, Err(seal::Error::Forged));
        let Ok(report) = Verifier::new(None).open(from, bytes, 7) else {
            return;
        };
        let encoded = report.encode().unwrap();
        assert!(encoded.len() <= bytes.len());
        assert_eq!(Report::decode(&encoded).as_ref(), Ok(&report));
        RemoteStreams::default().record_report(from, report.streams, Instant::now());
        report.summaries.into_iter().for_each(record);
    });
}

/// Guards against an answer or a query of another host's feed that panics when it is read or applied.
#[test]
fn feeds() {
    let engines = json!([{"id": "i-1", "service": "app", "address": "10.0.0.1:80",
        "failure_domain": "fd-a", "slots": 12, "is_draining": false, "started_ms": 1}]);
    let revision = config(3).to_string();
    let mut update = json!({
        "process": 1, "engines_revision": 8, "engines_era": 1, "version": 3, "revision": revision,
        "engines": {"at": u64::MAX, "is_whole": true, "registered": engines,
                    "lapsing": [{"id": "i-3", "left_ms": u64::MAX}], "gone": ["i-1"]},
        "patch": Patch::new("", &revision), "is_confirmed": true, "age_ms": u64::MAX});
    let mut samples = vec![json_bytes(&update), json_bytes(&Query::default())];
    update["packed_engines"] = json!(Patch::new("", &engines.to_string()));
    samples.push(json_bytes(&update));
    check(samples, |bytes, _| {
        let clock = Manual::new(SystemTime::UNIX_EPOCH);
        let mut registry = Registry::new(clock, "host-a".into(), "fd-a".into());
        if let Ok(query) = serde_json::from_slice::<Query>(bytes) {
            registry.changes_since(query.engines);
        }
        let Ok(update) = Update::decode(bytes) else {
            return;
        };
        update.engines_position(SINCE);
        let document = update.patch.and_then(|patch| patch.apply("").ok());
        assert!(document.is_none_or(|document| document.len() <= DOCUMENT_BYTES_MAX));
        registry.apply_changes(update.engines, bytes.len().is_multiple_of(2));
        registry.expire_lapsed();
        registry.changes_since(Some(1));
    });
}

/// Guards against an engine's events about its cache that panic, or fill the cache with other blocks.
#[test]
fn cache_events() {
    let event = |seq| json!({"seq": seq, "stored": true, "block": 5});
    let samples = vec![
        json_bytes(&json!([event(3), event(u64::MAX)])),
        json_bytes(&json!([event(1), event(2)])),
    ];
    check(samples, |bytes, lengths| {
        if let Ok(events) = serde_json::from_slice::<Vec<wire::CacheEvent>>(bytes) {
            let mut cache = Cache::default();
            cache.apply(&events, lengths[0] as u64);
            assert!(cache.len() <= events.len());
        }
    });
}
