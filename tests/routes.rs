//! Unit tests of the gateway without sockets: routes, retry budgets, events, reports and sampling
//! of the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bilberrypost::config::routes::{Denied, Limits, Revision, Route, RouteKind, Target, Team};
use bilberrypost::gateway::watch::WATCH_WAIT;
use bilberrypost::platform::store::WATCH_TIMEOUT_MARGIN;
use bilberrypost::relay::event_stream::{Error, Position, Splitter};
use bilberrypost::relay::handover::{RemoteStreams, Stream};
use bilberrypost::relay::inquiry::{Account, Inquiry, Missing, Replica};
use bilberrypost::report::trace::{LINES_PER_S, Sampler};
use bilberrypost::route::load::EngineHash;
use bilberrypost::sched::retry::{Budget, Policy};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn route(prefix: &str, is_anonymous: bool) -> Route {
    Route {
        name: prefix.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        target_gap: Duration::from_secs(1),
        rank: 0,
        max_attempts: 1,
        is_anonymous,
        targets: vec![
            Target {
                service: "one".into(),
                weight: 3,
            },
            Target {
                service: "two".into(),
                weight: 1,
            },
        ],
    }
}

fn revision() -> Revision {
    let routes = vec![
        route("/a/", false),
        route("/a/b/", false),
        route("/open/", true),
    ];
    let team = Team {
        name: "team".into(),
        rank: None,
    };
    let teams = vec![(team, vec!["key".into()])];
    Revision::new(1, Limits::default(), routes, BTreeMap::new(), teams)
}

/// Guards against a route that matches paths outside its prefix, against a shorter prefix that wins
/// over a longer one, and against requests accepted with a missing or unknown key.
#[test]
fn route_with_longest_prefix_matches() {
    let revision = revision();
    let find = |host: &str, path: &str, key: Option<&str>| {
        let found = revision.find(host, path, key);
        found.map(|(route, team)| (route.prefix.to_string(), team.is_some()))
    };
    assert_eq!(
        find("shop.example", "/a/x", Some("key")),
        Ok(("/a/".into(), true))
    );
    assert_eq!(
        find("Shop.Example:80", "/a/b/c/d", Some("key")),
        Ok(("/a/b/".into(), true))
    );
    assert_eq!(
        find("shop.example", "/a/bc", Some("key")),
        Ok(("/a/".into(), true))
    );
    assert_eq!(
        find("shop.example", "/a", Some("key")),
        Err(Denied::NoRoute)
    );
    assert_eq!(
        find("other.example", "/a/x", Some("key")),
        Err(Denied::NoRoute)
    );
    assert_eq!(
        find("shop.example", "/a/x", Some("old")),
        Err(Denied::NoKey)
    );
    assert_eq!(find("shop.example", "/a/x", None), Err(Denied::NoKey));
    assert_eq!(
        find("shop.example", "/open/x", None),
        Ok(("/open/".into(), false))
    );
}

/// Guards against services that get a share of a route's requests that differs from their weight.
#[test]
fn requests_are_divided_by_weight() {
    let route = route("/a/", false);
    let requests_of_one = (0..1000).filter(|n| route.service(f64::from(*n) / 1000.0) == "one");
    assert_eq!(requests_of_one.count(), 750);
    assert_eq!(route.service(1.0), "two");
}

/// Guards against retries that multiply the load of failing engines, and against a host with few
/// requests that cannot retry at all.
#[test]
fn retries_stay_within_the_ratio() {
    let policy = Policy {
        ratio: 0.5,
        slack: 10.0,
        window: Duration::from_secs(10),
    };
    let mut budget = Budget::new(policy, 0);
    let now = Instant::now();
    let spend_all =
        |budget: &mut Budget, at| (0..1000).filter(|_| budget.try_spend("s", at)).count();
    let quiet = spend_all(&mut budget, now);
    assert!((1..=10).contains(&quiet), "{quiet}");
    let later = now + Duration::from_secs(11);
    for _ in 0..100 {
        budget.record_request("s", later);
    }
    let busy = spend_all(&mut budget, later);
    assert!((quiet..=60).contains(&busy), "{busy}");
    assert_eq!(spend_all(&mut budget, later + Duration::from_secs(5)), 0);
    assert!(spend_all(&mut budget, later + Duration::from_secs(11)) > 0);
}

/// Guards against events that are changed, joined or split when the body arrives in chunks of any
/// size, and against an event out of order that is passed on.
#[test]
fn events_are_parsed_from_chunks_of_any_size() {
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nversion: 4\nid: 3\ndata: c\n\nid: 5\n\nid: 6";
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut splitter = Splitter::default();
        let mut position = Position::default();
        let mut passed = Vec::new();
        let mut errors = 0;
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(random.random_range(1..=rest.len().min(9)));
            rest = after;
            splitter.push(chunk).unwrap();
            while let Some(event) = splitter.next() {
                match position.advance(&event) {
                    Ok(()) => passed.extend_from_slice(&event.bytes),
                    Err(error) => {
                        assert_eq!(error, Error::OutOfOrder);
                        errors += 1;
                    }
                }
            }
        }
        let expected = text.split("id: 5").next().unwrap();
        assert_eq!(String::from_utf8(passed).unwrap(), expected, "seed {seed}");
        assert_eq!((errors, position.last()), (1, Some(3)), "seed {seed}");
        assert!(splitter.has_rest());
    }
}

/// Guards against a dead connection, or a store that is back after an outage, being noticed only
/// after 3 s, the time within which a host must learn of a change (seen with `mix --seed
/// 80280065627` on nql-bilberry).
#[test]
fn watch_on_a_dead_connection_ends_within_3_s() {
    let longest = WATCH_WAIT + WATCH_TIMEOUT_MARGIN;
    assert!(longest < Duration::from_secs(3), "{longest:?}");
}

/// Guards against a replica that is used twice, for another request, or after its engine dropped
/// it.
#[test]
fn a_stream_of_another_host_is_taken_once() {
    let now = Instant::now();
    let stream = |digest: u64| Stream {
        digest,
        run: "s1".into(),
        replica: Some(EngineHash::of("i-2")),
    };
    let found = Ok(Replica {
        run: "s1".into(),
        engine: EngineHash::of("i-2"),
    });
    let mut streams = RemoteStreams::default();
    let from = SocketAddr::from(([10, 0, 0, 1], 7200));
    streams.record_report(from, vec![stream(1), stream(2)], now);
    let mut take = |digest, now| {
        let mut inquiry = Inquiry::default();
        let account = Account {
            runs: streams.runs_of(digest, now),
            known_for: Duration::from_secs(9),
        };
        inquiry.record(SocketAddr::from(([10, 0, 0, 2], 7200)), account);
        inquiry.record_gone(from);
        let result = inquiry.conclude(Duration::from_secs(9));
        streams.record_use(digest, "s1");
        result
    };
    assert_eq!(take(3, now), Err(Missing::Run));
    assert_eq!(take(1, now), found);
    assert_eq!(take(1, now), Err(Missing::Replica));
    let later = now + Duration::from_secs(4);
    assert_eq!(take(2, later), Err(Missing::Replica));
}

/// Guards against a log that grows without limit under high load, and against a sampler that still
/// drops lines after the load has ended.
#[test]
fn log_sampling_is_limited_and_recovers() {
    let mut now = Instant::now();
    let sampler = Rc::new(Sampler::new(now));
    let mut kept = 0;
    for second in 0..20 {
        now += Duration::from_secs(1);
        for request in 0..5000 {
            let id = format!("r{second}-{request}");
            let trace = bilberrypost::report::trace::Trace::new(id.as_str().into(), &sampler, now);
            kept += u32::from(sampler.keeps(&id, now));
            trace.log("admitted", format_args!("x=1"));
        }
    }
    assert!(kept <= 20 * LINES_PER_S, "{kept}");
    for _ in 0..20 {
        now += Duration::from_secs(1);
        sampler.keeps("x", now);
    }
    assert!((0..1000).all(|n| sampler.keeps(&format!("q{n}"), now)));
}
