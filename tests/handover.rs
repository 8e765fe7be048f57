//! Streams that callers continue at another host.

mod support;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bilberrypost::gateway::digest::Request;
use bilberrypost::platform::Platform;
use bilberrypost::relay::handover::{LocalStreams, RemoteStreams, Stream};
use bilberrypost::relay::inquiry::{
    Account, Inquiry, KnownRun, Missing, Replica, reconnect_time_max,
};
use bilberrypost::route::load::EngineHash;
use hyper::Method;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde_json::json;
use support::TEST_TIMEOUT;
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

/// Time that the route of the streams allows for a request.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(12);

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
        config["routes"][3]["timeout-ms"] = json!(ROUTE_TIMEOUT.as_millis() as u64);
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

    /// Starts a stream at a host that does not end, and waits for its first events.
    fn run_at(&self, host: &Gateway, id: &str, call: &Call, session: &str) -> TcpStream {
        let headers = headers(id, call) + session;
        let mut stream = host.open(call.method, call.path, &headers, call.body);
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut bytes = [0; 1024];
        let mut text = String::new();
        while !text.contains("id: 3") {
            let count = stream.read(&mut bytes).unwrap();
            assert!(count > 0, "{id}: {text}");
            text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        }
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

    /// Waits until the second host has a report of the first one.
    fn wait_for_hosts(&self) {
        wait_for("a report", || {
            self.second.metric("bilberrypost_hosts") == Some(2.0)
        });
    }

    /// Waits until the second host knows this number of runs of the first one, and has known all of them for
    /// longer than callers take to reconnect.
    fn wait_for_history(&self, runs: u32) {
        let needed = reconnect_time_max(ROUTE_TIMEOUT).as_secs_f64();
        let metric = |name: &str| self.second.metric(name).unwrap_or_default();
        wait_for("a history of the runs", || {
            metric("bilberrypost_remembered_runs") >= f64::from(runs)
                && metric("bilberrypost_run_history_seconds") > needed
        });
    }
}

fn headers(id: &str, call: &Call) -> String {
    stream_headers(id).replace(API_KEY, call.key) + call.headers
}

/// Guards against a stream that goes on from the memory of another request of its session, whose
/// pieces its caller then gets, and against one that reads its prompt again although its own run is known.
#[test]
fn a_stream_goes_on_from_the_run_of_its_own_request_only() {
    let mut fleet = Fleet::start();
    fleet.wait_for_history(0);
    let _stream = fleet.run_at(&fleet.first, "own", &CALL, SESSION);
    fleet.wait_for_history(1);
    fleet.first.process.kill();
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
    let mut fleet = Fleet::start();
    fleet.wait_for_history(0);
    let _one = fleet.run_at(&fleet.first, "one", &CALL, SESSION);
    let _two = fleet.run_at(&fleet.first, "two", &CALL, SESSION);
    fleet.wait_for_history(2);
    fleet.first.process.kill();
    let from = fleet.continue_at_second("next", &CALL, SESSION);
    assert_eq!(from, None);
}

/// Guards against a caller that goes on from the memory of another caller's equal request, because the host
/// that it comes to has started again and heard only of the other one's run.
#[test]
fn a_restarted_host_does_not_take_the_run_of_an_equal_request() {
    let mut fleet = Fleet::start();
    fleet.wait_for_history(0);
    let _other = fleet.run_at(&fleet.first, "other", &CALL, SESSION);
    let _own = fleet.run_at(&fleet.second, "own", &CALL, SESSION);
    fleet.second.restart();
    wait_for("readiness", || fleet.second.is_ready());
    fleet.wait_for_hosts();
    let from = fleet.continue_at_second("own-2", &CALL, SESSION);
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

/// The host that asks, and two others.
const HERE: usize = 0;
const ONE: usize = 1;
const TWO: usize = 2;

fn host(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7200))
}

/// Longest time that callers take to reconnect.
const RECONNECT_TIME: Duration = Duration::from_secs(9);

/// Returns the result where only this host's memory of reports of a host that is gone tells of the runs.
fn conclude(streams: &RemoteStreams, digest: u64, now: Instant) -> Result<Replica, Missing> {
    let mut inquiry = Inquiry::default();
    let account = Account {
        runs: streams.runs_of(digest, now),
        known_for: RECONNECT_TIME,
    };
    inquiry.record(host(HERE), account);
    inquiry.record_gone(host(ONE));
    inquiry.conclude(RECONNECT_TIME)
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
    let one = host(ONE);
    let first = vec![stream(1, "a"), stream(2, "c"), stream(3, "e")];
    streams.record_report(one, first, now);
    streams.record_report(host(TWO), vec![stream(1, "b"), without_replica], now);
    let later = now + Duration::from_secs(20);
    streams.record_report(one, vec![stream(3, "f"), stream(4, "g")], later);
    for digest in [1, 2, 3] {
        assert_eq!(
            conclude(&streams, digest, later),
            Err(Missing::Distinction),
            "{digest}"
        );
    }
    assert_eq!(conclude(&streams, 4, later), found("g"));
    let after = later + Duration::from_secs(31);
    streams.record_report(one, vec![stream(1, "h")], after);
    assert_eq!(conclude(&streams, 1, after), found("h"));
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
    let mut report = |stream: &Stream| {
        streams.record_report(host(ONE), vec![stream.clone()], now);
        let result = conclude(&streams, 1, now);
        streams.record_use(1, "a");
        result
    };
    assert_eq!(report(&without_replica), Err(Missing::Replica));
    for _ in 0..2 {
        assert_eq!(report(&stream(1, "a")), found("a"));
    }
    assert_eq!(report(&without_replica), Err(Missing::Replica));
}

/// A run as its host or another one tells of it.
fn run(id: &str, at: usize, age_s: u64, is_running: bool) -> KnownRun {
    KnownRun {
        run: id.into(),
        replica: Some(EngineHash::of("i-2")),
        host: host(at),
        age: Duration::from_secs(age_s),
        is_running,
    }
}

/// What one host tells: for how many seconds it has known all runs, and these.
type Told = (usize, u64, Vec<KnownRun>);

/// What hosts tell, the hosts that are gone, and what follows.
type Case = (
    &'static str,
    Vec<Told>,
    Vec<usize>,
    Result<Replica, Missing>,
);

/// Guards against a stream that goes on from the memory of another caller's equal request, as its host has
/// started again, missed reports or never got one, or as the run's host was not asked whether it goes on.
#[test]
fn a_replica_is_used_only_if_its_run_is_certainly_the_callers() {
    let broken = |id| run(id, ONE, 0, false);
    let cases: Vec<Case> = vec![
        (
            "no run is known",
            vec![(HERE, 9, vec![])],
            vec![],
            Err(Missing::Run),
        ),
        (
            "the run's host is gone",
            vec![(HERE, 9, vec![broken("a")])],
            vec![ONE],
            found("a"),
        ),
        (
            "the run goes on for its own caller",
            vec![
                (HERE, 9, vec![broken("a")]),
                (ONE, 9, vec![run("a", ONE, 0, true)]),
            ],
            vec![],
            Err(Missing::End),
        ),
        (
            "the same, told in another order",
            vec![
                (ONE, 9, vec![run("a", ONE, 0, true)]),
                (HERE, 9, vec![broken("a")]),
            ],
            vec![],
            Err(Missing::End),
        ),
        (
            "the run's host does not answer",
            vec![(HERE, 9, vec![broken("a")])],
            vec![TWO],
            Err(Missing::Confirmation),
        ),
        (
            "only another host knows the caller's run, as this one has started again",
            vec![
                (HERE, 1, vec![broken("a")]),
                (TWO, 9, vec![broken("a"), run("b", HERE, 1, false)]),
            ],
            vec![ONE],
            Err(Missing::Distinction),
        ),
        (
            "the caller's run ended here before any report told of it",
            vec![(HERE, 9, vec![broken("a"), run("b", HERE, 1, false)])],
            vec![ONE],
            Err(Missing::Distinction),
        ),
        (
            "all hosts have started again",
            vec![(HERE, 1, vec![broken("a")]), (TWO, 8, vec![broken("a")])],
            vec![ONE],
            Err(Missing::History),
        ),
        (
            "another host has known all runs for long enough",
            vec![(HERE, 1, vec![broken("a")]), (TWO, 9, vec![broken("a")])],
            vec![ONE],
            found("a"),
        ),
        (
            "only another host knows the run, and that its own host told it last",
            vec![
                (HERE, 1, vec![]),
                (TWO, 9, vec![run("a", ONE, 3, false)]),
                (ONE, 2, vec![broken("a")]),
            ],
            vec![],
            found("a"),
        ),
        (
            "the engine no longer keeps the replica",
            vec![(HERE, 9, vec![run("a", ONE, 4, false)])],
            vec![ONE],
            Err(Missing::Replica),
        ),
    ];
    for (case, told, gone, expected) in cases {
        let mut inquiry = Inquiry::default();
        for (from, known_s, runs) in told {
            let known_for = Duration::from_secs(known_s);
            inquiry.record(host(from), Account { runs, known_for });
        }
        gone.iter()
            .for_each(|gone| inquiry.record_gone(host(*gone)));
        assert_eq!(inquiry.conclude(RECONNECT_TIME), expected, "{case}");
    }
}

/// Guards against a host that takes its memory of other hosts' runs for whole although it has missed some.
#[test]
fn a_host_knows_from_when_on_it_knows_all_runs() {
    let mut streams = RemoteStreams::default();
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let known_s = |streams: &RemoteStreams, seconds| streams.known_for(at(seconds)).as_secs();
    assert_eq!(known_s(&streams, 5), 0, "no report");
    streams.record_report(host(ONE), vec![stream(1, "a")], at(5));
    streams.record_report(host(ONE), vec![], at(7));
    assert_eq!(known_s(&streams, 9), 4);
    streams.record_gap(at(10));
    assert_eq!(known_s(&streams, 12), 2, "the process was paused");
}

/// Guards against a run that no report tells because there are more of them than a report has room for.
#[test]
fn reports_tell_every_run_in_turn() {
    let mut local = LocalStreams::default();
    let report = |local: &mut LocalStreams| {
        let streams = local.to_report(2);
        local.record_report(2);
        let digests = streams.into_iter().map(|stream| stream.digest);
        digests.collect::<Vec<_>>()
    };
    let begin = |local: &mut LocalStreams, digest: u64| {
        local.begin(digest, "a".into());
    };
    (1..=3).for_each(|digest| begin(&mut local, digest));
    assert_eq!(report(&mut local), [1, 2]);
    begin(&mut local, 4);
    assert_eq!(report(&mut local), [3, 4]);
    assert_eq!(report(&mut local), [1, 2]);
    begin(&mut local, 5);
    assert_eq!(report(&mut local), [5, 3]);
}

/// Guards against a host that forgets its own run before its caller is back, and against one that counts a
/// run of which the caller cannot have an event.
#[test]
fn a_host_remembers_its_own_runs_after_their_end() {
    let mut local = LocalStreams::default();
    let now = Instant::now();
    let [begun, unanswered] = ["a", "b"].map(|run| local.begin(1, run.into()));
    local.set_begun(begun);
    let replica = Some(EngineHash::of("i-2"));
    local.set_replica(begun, replica);
    local.set_replica(unanswered, replica);
    let runs = |local: &LocalStreams, seconds| {
        local.runs_of(1, host(HERE), now + Duration::from_secs(seconds))
    };
    let both = vec![run("a", HERE, 0, true), run("b", HERE, 0, true)];
    assert_eq!(runs(&local, 0), both);
    local.end(begun, now);
    local.end(unanswered, now);
    assert_eq!(runs(&local, 2), vec![run("a", HERE, 2, false)]);
    assert_eq!(runs(&local, 30), vec![]);
    assert_eq!(local.to_report(3), vec![]);
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
    let now = Instant::now();
    let runs = |digest| local.runs_of(digest, host(HERE), now).len();
    assert_eq!((runs(1), runs(3)), (2, 0));
    local.end(two, now);
    assert_eq!(local.to_report(3), vec![stream(1, "a"), stream(2, "c")]);
    local.end(one, now);
    local.end(other, now);
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
