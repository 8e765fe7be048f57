//! Streams that callers continue at another host.

mod support;

use std::time::{Duration, Instant};

use bilberrypost::gateway::digest::Request;
use bilberrypost::platform::Platform;
use bilberrypost::relay::handover::{LocalStreams, Missing, RemoteStreams, Replica, Stream};
use bilberrypost::route::load::EngineHash;
use hyper::Method;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde_json::json;
use support::platform::{
    API_KEY, End, Engine, Gateway, Store, config, own_ips, registrations, resumable, settings,
    stream_headers, two_engines, wait_for,
};

/// A second key of the team of [`API_KEY`].
const SECOND_KEY: &str = "second-key-of-the-team";

/// Key of another team.
const OTHER_TEAM_KEY: &str = "key-of-another-team";

/// Prompt parts of a session.
const SESSION: &str = "x-bilberrypost-prompt-prefix: aa:200,bb:800\r\n";

/// Prompt parts of another session.
const OTHER_SESSION: &str = "x-bilberrypost-prompt-prefix: aa:200,cc:800\r\n";

/// A request for a stream.
#[derive(Clone)]
struct Call {
    method: &'static str,
    path: &'static str,
    key: &'static str,
    headers: &'static str,
    body: &'static str,
}

const CALL: Call = Call {
    method: "POST",
    path: "/stream/x",
    key: API_KEY,
    headers: "x-bilberrypost-model-id: m\r\n",
    body: "prompt",
};

/// Calls that differ from [`CALL`] in one thing only.
fn other_calls() -> Vec<(&'static str, Call)> {
    vec![
        (
            "method",
            Call {
                method: "PUT",
                ..CALL
            },
        ),
        (
            "path",
            Call {
                path: "/stream/y",
                ..CALL
            },
        ),
        (
            "query",
            Call {
                path: "/stream/x?n=2",
                ..CALL
            },
        ),
        (
            "credential",
            Call {
                key: SECOND_KEY,
                ..CALL
            },
        ),
        (
            "team",
            Call {
                key: OTHER_TEAM_KEY,
                ..CALL
            },
        ),
        (
            "model",
            Call {
                headers: "x-bilberrypost-model-id: n\r\n",
                ..CALL
            },
        ),
        (
            "another header",
            Call {
                headers: "x-bilberrypost-model-id: m\r\nx-style: b\r\n",
                ..CALL
            },
        ),
        (
            "body",
            Call {
                body: "prompu",
                ..CALL
            },
        ),
    ]
}

/// Two hosts that report to each other, and two engines.
struct Fleet {
    engines: [Engine; 2],
    first: Gateway,
    second: Gateway,
    _store: Store,
}

impl Fleet {
    fn start() -> Self {
        let engines = two_engines(resumable(3, End::Endless, 9));
        let [one, two] = &engines;
        let registered = registrations(&[(one, "model", "fd-a"), (two, "model", "fd-b")]);
        let mut config = config(3);
        config["tenants"] = json!([
            {"name": "team-a", "api-keys": [API_KEY, SECOND_KEY], "priority": 1},
            {"name": "team-b", "api-keys": [OTHER_TEAM_KEY], "priority": 1}
        ]);
        let store = Store::with(config, &registered);
        let [first_ip, second_ip] = own_ips();
        let port = support::platform::PEER_PORT;
        let on = |ip: &str| {
            let peers = format!("seeds = {first_ip}:{port}\nports = {port},{port}");
            let settings = settings(&store.address, &peers);
            Gateway::start(&settings.replace("listen = 127.0.0.1:0", &format!("listen = {ip}:0")))
        };
        let (first, second) = (on(&first_ip), on(&second_ip));
        wait_for("readiness", || first.is_ready() && second.is_ready());
        Self {
            engines,
            first,
            second,
            _store: store,
        }
    }

    /// Starts a stream at the first host that does not end, and waits for its run.
    fn run_at_first(&self, id: &str, call: &Call, session: &str) -> std::net::TcpStream {
        let headers = headers(id, call) + session;
        let stream = self.first.open(call.method, call.path, &headers, call.body);
        wait_for("a run", || self.has_request(id));
        stream
    }

    /// Continues a stream at the second host; returns the value of `kv-from` that an engine got.
    fn continue_at_second(&self, id: &str, call: &Call, session: &str) -> Option<String> {
        let headers = headers(id, call) + session + "last-event-id: 3\r\n";
        let answer = self
            .second
            .send(call.method, call.path, &headers, call.body);
        assert_eq!(answer.expect("a response").status(), 200, "{id}");
        let received = self.engines.iter().flat_map(|engine| {
            let received = engine.received.lock().unwrap();
            received.clone()
        });
        let mut attempts =
            received.filter(|seen| seen.header("x-bilberrypost-attempt-id") == Some(id));
        attempts.find_map(|seen| seen.header("kv-from").map(str::to_owned))
    }

    fn has_request(&self, id: &str) -> bool {
        self.engines.iter().any(|engine| {
            let received = engine.received.lock().unwrap();
            received
                .iter()
                .any(|seen| seen.header("x-bilberrypost-attempt-id") == Some(id))
        })
    }

    /// Waits until the second host knows the streams that the first one relays: it goes on from the
    /// replica of a stream that began after them.
    fn wait_for_report(&self) {
        let call = Call {
            body: "control",
            ..CALL
        };
        let _stream = self.run_at_first("control", &call, OTHER_SESSION);
        wait_for("a stream that goes on from its replica", || {
            let found = self.continue_at_second("control-2", &call, OTHER_SESSION);
            found.is_some_and(|from| from.ends_with("/control"))
        });
    }
}

fn headers(id: &str, call: &Call) -> String {
    stream_headers(id).replace(API_KEY, call.key) + call.headers
}

/// Guards against a stream that goes on from the memory of another request of its session, whose
/// pieces its caller then gets.
#[test]
fn a_stream_goes_on_from_the_run_of_its_own_request_only() {
    let fleet = Fleet::start();
    let _stream = fleet.run_at_first("own", &CALL, SESSION);
    fleet.wait_for_report();
    for (difference, call) in other_calls() {
        let from = fleet.continue_at_second(difference, &call, SESSION);
        assert_eq!(from, None, "{difference}");
    }
    let from = fleet
        .continue_at_second("own-2", &CALL, SESSION)
        .expect("a replica");
    assert!(from.ends_with("/own"), "{from}");
}

/// Guards against a stream that goes on from the memory of an equal request, whose output may differ.
#[test]
fn a_stream_goes_on_from_neither_of_two_equal_runs() {
    let fleet = Fleet::start();
    let _one = fleet.run_at_first("one", &CALL, SESSION);
    let _two = fleet.run_at_first("two", &CALL, SESSION);
    fleet.wait_for_report();
    let from = fleet.continue_at_second("next", &CALL, SESSION);
    assert_eq!(from, None);
}

fn stream(digest: u64, run: &str) -> Stream {
    Stream {
        digest,
        run: run.into(),
        replica: Some(EngineHash::of("i-2")),
    }
}

fn found(run: &str) -> Result<Replica, Missing> {
    Ok(Replica {
        run: run.into(),
        engine: EngineHash::of("i-2"),
    })
}

/// Guards against the replica of another run where two hosts report runs of equal requests, where one
/// of the runs has no replica, and where one of them ended before the other began.
#[test]
fn runs_of_equal_requests_are_not_told_apart() {
    let now = Instant::now();
    let without_replica = Stream {
        replica: None,
        ..stream(2, "d")
    };
    let mut streams = RemoteStreams::default();
    streams.record_report(vec![stream(1, "a"), stream(2, "c"), stream(3, "e")], now);
    streams.record_report(vec![stream(1, "b"), without_replica], now);
    let later = now + Duration::from_secs(20);
    streams.record_report(vec![stream(3, "f"), stream(4, "g")], later);
    for digest in [1, 2, 3] {
        assert_eq!(
            streams.take(digest, later),
            Err(Missing::Distinction),
            "{digest}"
        );
    }
    assert_eq!(streams.take(4, later), found("g"));
    let after = later + Duration::from_secs(31);
    streams.record_report(vec![stream(1, "h")], after);
    assert_eq!(streams.take(1, after), found("h"));
}

/// Guards against a replica that is never used because an earlier report of its run had none, and
/// against one that is used although its host no longer has it.
#[test]
fn the_last_report_of_a_run_counts() {
    let now = Instant::now();
    let without_replica = Stream {
        replica: None,
        ..stream(1, "a")
    };
    let mut streams = RemoteStreams::default();
    streams.record_report(vec![without_replica.clone()], now);
    assert_eq!(streams.take(1, now), Err(Missing::Replica));
    streams.record_report(vec![stream(1, "a")], now);
    streams.record_report(vec![stream(1, "a")], now);
    assert_eq!(streams.take(1, now), found("a"));
    streams.record_report(vec![stream(1, "a")], now);
    streams.record_report(vec![without_replica], now);
    assert_eq!(streams.take(1, now), Err(Missing::Replica));
}

/// Guards against reports that are too long for a datagram, as callers chose long ids for their streams.
#[test]
fn long_ids_of_runs_are_shortened_and_not_handed_over() {
    let mut local = LocalStreams::default();
    let key = local.begin(1, "a".repeat(5000).into());
    local.set_replica(key, Some(EngineHash::of("i-2")));
    let shortened = Stream {
        replica: None,
        ..stream(1, &"a".repeat(32))
    };
    assert_eq!(local.to_report(1), vec![shortened]);
}

/// Guards against a report that offers the replica of one of several equal runs, also where the
/// other one is past the limit of the report.
#[test]
fn equal_local_runs_are_reported_without_replica() {
    let mut local = LocalStreams::default();
    let replica = Some(EngineHash::of("i-2"));
    let [one, two, other] = [(1, "a"), (1, "b"), (2, "c")].map(|(digest, run)| {
        let key = local.begin(digest, run.into());
        local.set_replica(key, replica);
        key
    });
    assert_eq!(
        local.to_report(1),
        vec![Stream {
            replica: None,
            ..stream(1, "a")
        }]
    );
    assert_eq!(local.to_report(3).last(), Some(&stream(2, "c")));
    assert!(local.has_run_of(1) && !local.has_run_of(3));
    local.end(two);
    assert_eq!(local.to_report(3), vec![stream(1, "a"), stream(2, "c")]);
    local.end(one);
    local.end(other);
    assert_eq!(local.to_report(3), vec![]);
}

/// Guards against a caller that gets no replica because its attempts differ in what belongs to a
/// single attempt, or in the order of their headers.
#[test]
fn the_attempts_of_a_caller_have_the_same_digest() {
    let digest = |headers: &[(&'static str, &'static str)]| {
        let headers: HeaderMap = headers
            .iter()
            .map(|(name, value)| {
                (
                    HeaderName::from_static(name),
                    HeaderValue::from_static(value),
                )
            })
            .collect();
        let request = Request {
            method: &Method::POST,
            path_and_query: "/stream/x",
            key: Some(API_KEY),
            headers: &headers,
            body: b"prompt",
        };
        request.digest::<Platform>()
    };
    let first = digest(&[
        ("x-bilberrypost-attempt-id", "s1"),
        ("x-bilberrypost-deadline-ms", "25000"),
        ("x-bilberrypost-model-id", "m"),
        ("host", "shop.example"),
    ]);
    let second = digest(&[
        ("host", "shop.example"),
        ("x-bilberrypost-model-id", "m"),
        ("last-event-id", "7"),
        ("x-bilberrypost-deadline-ms", "21000"),
        ("x-bilberrypost-attempt-id", "s2"),
    ]);
    assert_eq!(first, second);
}
