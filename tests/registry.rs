//! Which engine gets a request, with a clock that is moved by hand.

use std::time::Duration;

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::peer::report::{EngineHash, Usage};
use bilberrypost::route::load::{Footprint, Load};
use bilberrypost::route::registry::{Engine, Need, Registration, Registry};
use bilberrypost::route::reports::Source;
use compact_str::{CompactString, format_compact};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SMALL: Footprint = Footprint {
    prompt: 1000,
    output: 100,
};

fn entry(id: &str, domain: &str) -> Registration {
    Registration {
        id: id.into(),
        service: "model".into(),
        address: format_compact!("{id}:1"),
        failure_domain: domain.into(),
        slots: 4,
        is_draining: false,
        started_ms: 1,
    }
}

fn need(excluded: &[Engine]) -> Need<'_> {
    Need {
        service: "model",
        footprint: SMALL,
        capacity: 10_000,
        excluded,
    }
}

fn registry(clock: &Manual, entries: &[(&str, &str)]) -> Registry<Manual> {
    let mut registry = Registry::new(clock.clone(), "host-a".into(), "fd-a".into());
    let entries = entries.iter().map(|(id, domain)| entry(id, domain));
    registry.replace(entries.collect(), false);
    registry
}

fn chosen(registry: &Registry<Manual>) -> Option<CompactString> {
    let engine = registry.choose(&need(&[]))?;
    registry
        .get(engine)
        .map(|state| state.registration.id.clone())
}

/// Guards against prompts that queue on one engine while another is idle, also when the load is that
/// of another host, and against a report that outlives its host.
#[test]
fn the_engine_with_the_least_to_read_is_chosen() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    let first = registry.choose(&need(&[])).unwrap();
    registry.begin(first, SMALL);
    let second = registry.choose(&need(&[])).unwrap();
    assert_ne!(first, second);
    let busy = registry.get(second).unwrap().registration.id.clone();
    let load = Load {
        running: 3,
        reading: 9000,
        memory: 9900,
    };
    let host = Source::Host("127.0.0.1".parse().unwrap());
    let usage = Usage::new(EngineHash::of(&busy), load);
    registry.set_peer(host.clone(), 2, vec![usage]);
    assert_eq!(registry.choose(&need(&[])), Some(first));
    // A report that was overtaken on the way changes nothing.
    registry.set_peer(host, 1, Vec::new());
    assert_eq!(registry.choose(&need(&[])), Some(first));
    clock.advance(Duration::from_secs(2));
    registry.expire_peers();
    assert_eq!(registry.choose(&need(&[])), Some(second));
}

/// Guards against bytes that cross failure domains though an engine nearby is as free, and against
/// prompts that queue nearby while one elsewhere is free.
#[test]
fn equal_engines_nearby_are_chosen_first() {
    for seed in 0..20 {
        let clock = Manual::default();
        let names = [format!("x{seed}"), format!("y{seed}"), format!("z{seed}")];
        let entries = [
            (names[0].as_str(), "fd-c"),
            (names[1].as_str(), "fd-a"),
            (names[2].as_str(), "fd-b"),
        ];
        let mut registry = registry(&clock, &entries);
        let near = registry.by_id(&names[1]);
        assert_eq!(registry.choose(&need(&[])), near);
        registry.begin(near.unwrap(), SMALL);
        assert_ne!(registry.choose(&need(&[])), near);
    }
}

/// Guards against an outage of the store in which requests go to engines that started again under
/// other ids, where each is turned away and the repeats of all requests are used up (trouble-3 of
/// nql-bilberry-grown).
#[test]
fn engines_lost_in_an_outage_are_tried_last() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    registry.confirm(clock.now());
    let (lost, other) = (registry.by_id("a").unwrap(), registry.by_id("b"));
    clock.advance(Duration::from_millis(100));
    registry.set_lost(lost);
    clock.advance(Duration::from_secs(2));
    registry.set_heard(lost);
    registry.begin(other.unwrap(), SMALL);
    // A watch without news lasts as long.
    assert_eq!(registry.choose(&need(&[])), Some(lost));
    registry.end(other.unwrap(), SMALL, false);
    clock.advance(Duration::from_secs(3));
    // Something at its address takes connections again.
    registry.set_heard(lost);
    registry.begin(other.unwrap(), SMALL);
    assert_eq!(registry.choose(&need(&[])), other);
    // The store is back and still lists it, or it answers under its id.
    registry.confirm(clock.now());
    assert_eq!(registry.choose(&need(&[])), Some(lost));
    registry.set_unreachable(lost);
    clock.advance(Duration::from_secs(5));
    assert_eq!(registry.choose(&need(&[])), other);
    registry.set_answered(lost);
    assert_eq!(registry.choose(&need(&[])), Some(lost));
}

/// Guards against a report with absurd numbers that ends the process.
#[test]
fn absurd_reports_are_survived() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    let absurd = Load {
        running: u64::MAX,
        reading: u64::MAX,
        memory: u64::MAX,
    };
    for host in ["127.0.0.1", "127.0.0.2"] {
        let host = Source::Host(host.parse().unwrap());
        registry.set_peer(host, 1, vec![Usage::new(EngineHash::of("a"), absurd)]);
    }
    let chosen = registry.choose(&need(&[])).unwrap();
    assert_eq!(Some(chosen), registry.by_id("b"));
    registry.begin(registry.by_id("a").unwrap(), SMALL);
    assert_eq!(registry.choose_replica(&need(&[]), chosen), None);
}

/// Guards against a replica in the failure domain of its run, or on an engine that leaves or has no
/// room.
#[test]
fn replicas_are_in_another_failure_domain() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("a2", "fd-a"), ("b", "fd-b")]);
    let run = registry.by_id("a").unwrap();
    let replica = registry.choose_replica(&need(&[]), run);
    assert_eq!(replica, registry.by_id("b"));
    for _ in 0..8 {
        registry.hold(replica.unwrap(), SMALL);
    }
    assert_eq!(registry.choose_replica(&need(&[]), run), None);
    for _ in 0..8 {
        registry.release(replica.unwrap(), SMALL);
    }
    registry.insert(Registration {
        is_draining: true,
        ..entry("b", "fd-b")
    });
    assert!(!registry.is_usable(replica.unwrap()));
    assert_eq!(registry.choose_replica(&need(&[]), run), None);
}

/// Guards against streams and replicas that go to dead engines whose entries have not lapsed yet.
#[test]
fn a_domain_that_loses_several_engines_is_doubted() {
    let clock = Manual::default();
    let entries = [
        ("a1", "fd-a"),
        ("a2", "fd-a"),
        ("a3", "fd-a"),
        ("b1", "fd-b"),
    ];
    let mut registry = registry(&clock, &entries);
    clock.advance(Duration::from_secs(1));
    let of = |registry: &Registry<Manual>, id: &str| registry.by_id(id).unwrap();
    registry.set_lost(of(&registry, "a1"));
    assert!(registry.due_checks().is_empty());
    registry.set_unreachable(of(&registry, "a2"));
    assert_eq!(chosen(&registry).as_deref(), Some("b1"));
    let doubted = registry.due_checks();
    assert!(
        doubted
            .iter()
            .any(|(engine, _)| *engine == of(&registry, "a3"))
    );
    // One that turns out to live is used again.
    registry.set_heard(of(&registry, "a3"));
    registry.begin(of(&registry, "b1"), SMALL);
    assert_eq!(chosen(&registry).as_deref(), Some("a3"));
}

/// Guards against engines that stay in use after another one started at their address, and against
/// an engine that restarts under its id and keeps the load of before.
#[test]
fn a_newer_start_replaces_an_older_one() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("old", "fd-a")]);
    let old = registry.by_id("old").unwrap();
    registry.begin(old, SMALL);
    let lost = registry.get(old).unwrap().lost.clone();
    registry.insert(Registration {
        address: "old:1".into(),
        started_ms: 2,
        ..entry("new", "fd-a")
    });
    assert!(lost.is_given());
    assert!(!registry.is_usable(old));
    assert_eq!(chosen(&registry).as_deref(), Some("new"));
    let before = registry.by_id("new").unwrap();
    registry.begin(before, SMALL);
    registry.insert(Registration {
        address: "old:1".into(),
        started_ms: 3,
        ..entry("new", "fd-a")
    });
    let after = registry.by_id("new").unwrap();
    assert_ne!(before, after);
    assert_eq!(registry.get(after).unwrap().load, Load::default());
    registry.end(before, SMALL, false);
    assert!(registry.get(before).is_none());
}

/// Guards against entries that lapsed with the store and are dropped before they can come back, or
/// that stay in use after that.
#[test]
fn entries_that_lapsed_get_two_seconds() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    registry.replace(vec![entry("a", "fd-a")], true);
    let b = registry.by_id("b").unwrap();
    assert!(registry.is_usable(b));
    clock.advance(Duration::from_millis(1900));
    assert!(registry.is_usable(b));
    clock.advance(Duration::from_millis(200));
    assert!(!registry.is_usable(b));
    registry.insert(entry("b", "fd-b"));
    assert!(registry.is_usable(b));
    registry.replace(vec![entry("a", "fd-a")], false);
    assert!(!registry.is_usable(b));
}

/// Guards, over random histories, against a choice that leaves, is gone or is excluded, and against
/// loads that do not come back to zero.
#[test]
fn random_histories_keep_the_invariants() {
    for seed in 0..200 {
        let mut draws = StdRng::seed_from_u64(seed);
        let clock = Manual::default();
        let mut registry = registry(&clock, &[]);
        let mut running: Vec<(Engine, bool)> = Vec::new();
        for step in 0..300 {
            let id = format!("e{}", draws.random_range(0..6));
            let domain = ["fd-a", "fd-b", "fd-c"][draws.random_range(0..3)];
            match draws.random_range(0..10) {
                0 | 1 => registry.insert(Registration {
                    started_ms: draws.random_range(1..4),
                    is_draining: draws.random_bool(0.2),
                    ..entry(&id, domain)
                }),
                2 => registry.remove(&id),
                3 => registry.replace(vec![entry(&id, domain)], draws.random_bool(0.5)),
                4 => clock.advance(Duration::from_millis(draws.random_range(0..1500))),
                5 => registry
                    .by_id(&id)
                    .into_iter()
                    .for_each(|engine| registry.set_lost(engine)),
                6 if !running.is_empty() => {
                    let (engine, had_output) = running.swap_remove(0);
                    registry.end(engine, SMALL, had_output);
                }
                7 => drop(registry.due_checks()),
                _ => {
                    let excluded: Vec<_> = registry.by_id(&id).into_iter().collect();
                    let Some(engine) = registry.choose(&need(&excluded)) else {
                        continue;
                    };
                    let state = registry.get(engine).unwrap();
                    assert!(!state.registration.is_draining, "seed {seed} step {step}");
                    assert!(registry.is_usable(engine), "seed {seed} step {step}");
                    assert!(!excluded.contains(&engine), "seed {seed} step {step}");
                    registry.begin(engine, SMALL);
                    let had_output = draws.random_bool(0.5);
                    if had_output {
                        registry.read(engine, SMALL);
                    }
                    running.push((engine, had_output));
                }
            }
        }
        for (engine, had_output) in running {
            registry.end(engine, SMALL, had_output);
        }
        assert_eq!(registry.own_usages().len(), 0, "seed {seed}");
    }
}
