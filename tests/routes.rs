//! Routes, budgets, events, reports and log lines: decisions without sockets.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bilberrypost::config::routes::{Denied, Limits, Repeat, Revision, Route, Target, Team};
use bilberrypost::gateway::watch::WATCH_WAIT;
use bilberrypost::peer::report::Name;
use bilberrypost::platform::store::WATCH_SLACK;
use bilberrypost::relay::events::{Error, Position, Splitter};
use bilberrypost::relay::handover::{Stream, Streams};
use bilberrypost::report::trace::{LINES_PER_S, Sampler};
use bilberrypost::sched::retry::{Budget, Policy};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn route(prefix: &str, is_open: bool) -> Route {
    Route {
        name: prefix.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        repeat: Repeat::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_secs(1),
        pause: Duration::from_secs(1),
        rank: 0,
        attempts: 1,
        is_open,
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

/// Guards against a route that takes paths beside its prefix, against a shorter prefix that goes
/// before a longer one, and against requests without a key.
#[test]
fn the_longest_prefix_decides() {
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

/// Guards against services that get another part of a route's requests than their weights say.
#[test]
fn weights_divide_the_requests() {
    let route = route("/a/", false);
    let ones = (0..1000).filter(|n| route.service(f64::from(*n) / 1000.0) == "one");
    assert_eq!(ones.count(), 750);
    assert_eq!(route.service(1.0), "two");
}

/// Guards against a fleet of failing engines that gets a multiple of its load, and against a quiet
/// host that cannot repeat at all.
#[test]
fn repeats_keep_to_the_ratio() {
    let policy = Policy {
        ratio: 0.5,
        slack: 30.0,
        window: Duration::from_secs(10),
        hosts: 3,
    };
    let mut budget = Budget::new(policy);
    let now = Instant::now();
    let spent = |budget: &mut Budget, at| (0..1000).filter(|_| budget.spend("s", at)).count();
    let quiet = spent(&mut budget, now);
    assert!((1..=10).contains(&quiet), "{quiet}");
    let later = now + Duration::from_secs(11);
    for _ in 0..100 {
        budget.arrived("s", later);
    }
    let busy = spent(&mut budget, later);
    assert!((quiet..=60).contains(&busy), "{busy}");
    assert_eq!(spent(&mut budget, later + Duration::from_secs(5)), 0);
    assert!(spent(&mut budget, later + Duration::from_secs(11)) > 0);
}

/// Guards against events that change, join or split when a body arrives in any pieces, and against
/// an event out of order that is passed on.
#[test]
fn events_are_cut_out_of_any_pieces() {
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nversion: 4\nid: 3\ndata: c\n\nid: 5\n\nid: 6";
    for seed in 0..200 {
        let mut draws = StdRng::seed_from_u64(seed);
        let mut splitter = Splitter::default();
        let mut position = Position::default();
        let mut passed = Vec::new();
        let mut faults = 0;
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(draws.random_range(1..=rest.len().min(9)));
            rest = after;
            splitter.push(piece).unwrap();
            while let Some(event) = splitter.next() {
                match position.advance(&event) {
                    Ok(()) => passed.extend_from_slice(&event.bytes),
                    Err(fault) => {
                        assert_eq!(fault, Error::OutOfOrder);
                        faults += 1;
                    }
                }
            }
        }
        let expected = text.split("id: 5").next().unwrap();
        assert_eq!(String::from_utf8(passed).unwrap(), expected, "seed {seed}");
        assert_eq!((faults, position.last()), (1, Some(3)), "seed {seed}");
        assert!(splitter.has_rest());
    }
}

/// Guards against a return of the store, or a connection that went silent, that is noticed after the
/// 3 s in which a host has to know what changed (mix --seed 80280065627 on nql-bilberry).
#[test]
fn a_silent_watch_ends_in_time() {
    let longest = WATCH_WAIT + WATCH_SLACK;
    assert!(longest < Duration::from_secs(3), "{longest:?}");
}

/// Guards against a replica that is used twice, by another request, or after its engine dropped it.
#[test]
fn a_stream_of_another_host_is_taken_once() {
    let now = Instant::now();
    let stream = |digest: u64| Stream {
        digest,
        run: "s1".into(),
        replica: Name::of("i-2"),
    };
    let mut streams = Streams::default();
    streams.record_report(vec![stream(1), stream(2)], now);
    assert_eq!(streams.take(3, now), None);
    assert_eq!(streams.take(1, now), Some(stream(1)));
    assert_eq!(streams.take(1, now), None);
    assert_eq!(streams.take(2, now + Duration::from_secs(4)), None);
}

/// Guards against a flood that fills the log, and against a sampler that never keeps all again.
#[test]
fn the_log_is_bounded_in_a_flood() {
    let mut now = Instant::now();
    let sampler = Rc::new(Sampler::new(now));
    let mut kept = 0;
    for second in 0..20 {
        now += Duration::from_secs(1);
        for request in 0..5000 {
            let id = format!("r{second}-{request}");
            let trace = bilberrypost::report::trace::Trace::new(id.as_str().into(), &sampler, now);
            kept += u32::from(sampler.keeps(&id, now));
            trace.note("admitted", format_args!("x=1"));
        }
    }
    assert!(kept <= 20 * LINES_PER_S, "{kept}");
    for _ in 0..20 {
        now += Duration::from_secs(1);
        sampler.keeps("x", now);
    }
    assert!((0..1000).all(|n| sampler.keeps(&format!("q{n}"), now)));
}
