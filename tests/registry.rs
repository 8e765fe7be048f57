//! Engine selection of the gateway, on a clock that the tests advance.

mod support;

use std::time::Duration;

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::route::departed::Departed;
use bilberrypost::route::load::Load;
use bilberrypost::route::load::{EngineHash, Usage};
use bilberrypost::route::registry::{Engine, Registration, Registry};
use bilberrypost::route::reports::Source;
use bilberrypost::route::speed::Reading;
use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::engines::{SMALL, need, registration, registry};

fn chosen(registry: &Registry<Manual>) -> Option<CompactString> {
    let engine = registry.choose(&need(&[]))?;
    registry
        .get(engine)
        .map(|state| state.registration.id.clone())
}

/// Guards against requests that queue on one engine while another is idle, also if other hosts
/// cause the load, and against reports that count after their host failed.
#[test]
fn the_engine_with_the_least_load_is_chosen() {
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
        read: Reading::default(),
    };
    let host = Source::Host("127.0.0.1".parse().unwrap());
    let usage = Usage::new(EngineHash::of(&busy), load);
    registry.set_report(host.clone(), 2, vec![usage]);
    assert_eq!(registry.choose(&need(&[])), Some(first));
    // A report that arrives after a later one changes nothing.
    registry.set_report(host, 1, Vec::new());
    assert_eq!(registry.choose(&need(&[])), Some(first));
    clock.advance(Duration::from_secs(2));
    registry.expire_reports();
    assert_eq!(registry.choose(&need(&[])), Some(second));
}

/// Guards against traffic to another failure domain although an engine of the own one has no more
/// load, and against requests that queue in the own domain while an engine of another is idle.
#[test]
fn engines_of_the_own_failure_domain_are_chosen_among_equals() {
    for seed in 0..20 {
        let clock = Manual::default();
        let names = [format!("x{seed}"), format!("y{seed}"), format!("z{seed}")];
        let entries = [
            (names[0].as_str(), "fd-c"),
            (names[1].as_str(), "fd-a"),
            (names[2].as_str(), "fd-b"),
        ];
        let mut registry = registry(&clock, &entries);
        let own = registry.by_id(&names[1]);
        assert_eq!(registry.choose(&need(&[])), own);
        registry.begin(own.unwrap(), SMALL);
        assert_ne!(registry.choose(&need(&[])), own);
    }
}

/// Guards against requests that go to restarted engines during an outage of the store. The store
/// still lists the engines under their old ids, so each attempt is rejected, and the retry budget
/// of all requests is used up. Seen on day trouble-3 of nql-bilberry-grown.
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
    // The last confirmation is 2.1 s old, as after a watch without changes, which is no outage.
    assert_eq!(registry.choose(&need(&[])), Some(lost));
    registry.end(other.unwrap(), SMALL, false);
    clock.advance(Duration::from_secs(3));
    // With 5.1 s it is an outage. The address accepts connections, but perhaps for another engine.
    registry.set_heard(lost);
    registry.begin(other.unwrap(), SMALL);
    assert_eq!(registry.choose(&need(&[])), other);
    // The store is back and still lists the engine.
    registry.confirm(clock.now());
    assert_eq!(registry.choose(&need(&[])), Some(lost));
    registry.set_unreachable(lost);
    clock.advance(Duration::from_secs(5));
    assert_eq!(registry.choose(&need(&[])), other);
    // The engine answers under its id.
    registry.set_answered(lost);
    assert_eq!(registry.choose(&need(&[])), Some(lost));
}

/// Guards against reports whose numbers overflow when they are added up, which ends the process.
#[test]
fn extreme_loads_in_reports_do_not_overflow() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    let extreme = Load {
        running: u64::MAX,
        reading: u64::MAX,
        memory: u64::MAX,
        read: Reading {
            tokens: u64::MAX,
            ms: u64::MAX,
        },
    };
    for host in ["127.0.0.1", "127.0.0.2"] {
        let host = Source::Host(host.parse().unwrap());
        registry.set_report(host, 1, vec![Usage::new(EngineHash::of("a"), extreme)]);
    }
    let chosen = registry.choose(&need(&[])).unwrap();
    assert_eq!(Some(chosen), registry.by_id("b"));
    registry.begin(registry.by_id("a").unwrap(), SMALL);
    assert_eq!(registry.choose_replica(&need(&[]), chosen), None);
}

/// Guards against a replica in the failure domain of the engine that runs the request, or on an
/// engine that is draining or has no room.
#[test]
fn replicas_are_in_another_failure_domain() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("a2", "fd-a"), ("b", "fd-b")]);
    let run = registry.by_id("a").unwrap();
    let replica = registry.choose_replica(&need(&[]), run);
    assert_eq!(replica, registry.by_id("b"));
    for _ in 0..8 {
        registry.hold_replica(replica.unwrap(), SMALL);
    }
    assert_eq!(registry.choose_replica(&need(&[]), run), None);
    for _ in 0..8 {
        registry.release_replica(replica.unwrap(), SMALL);
    }
    registry.insert(Registration {
        is_draining: true,
        ..registration("b", "fd-b")
    });
    assert!(!registry.is_usable(replica.unwrap()));
    assert_eq!(registry.choose_replica(&need(&[]), run), None);
}

/// Guards against streams and replicas that are placed on failed engines whose entries have not
/// lapsed yet.
#[test]
fn engines_are_checked_after_several_losses_in_their_domain() {
    let clock = Manual::default();
    let entries = [
        ("a1", "fd-a"),
        ("a2", "fd-a"),
        ("a3", "fd-a"),
        ("b1", "fd-b"),
    ];
    let mut registry = registry(&clock, &entries);
    clock.advance(Duration::from_secs(1));
    let by_id = |registry: &Registry<Manual>, id: &str| registry.by_id(id).unwrap();
    registry.set_lost(by_id(&registry, "a1"));
    assert!(registry.due_checks().is_empty());
    registry.set_unreachable(by_id(&registry, "a2"));
    assert_eq!(chosen(&registry).as_deref(), Some("b1"));
    let due = registry.due_checks();
    assert!(
        due.iter()
            .any(|(engine, _)| *engine == by_id(&registry, "a3"))
    );
    // An engine that turns out to be alive is used again.
    registry.set_heard(by_id(&registry, "a3"));
    registry.begin(by_id(&registry, "b1"), SMALL);
    assert_eq!(chosen(&registry).as_deref(), Some("a3"));
}

/// Guards against an engine that stays in use after another one started at its address, and against
/// an engine that restarts under the same id and keeps the load from before.
#[test]
fn a_newer_engine_replaces_an_older_one_at_its_address() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("old", "fd-a")]);
    let old = registry.by_id("old").unwrap();
    registry.begin(old, SMALL);
    let lost = registry.get(old).unwrap().lost.clone();
    registry.insert(Registration {
        address: "old:1".into(),
        started_ms: 2,
        ..registration("new", "fd-a")
    });
    assert!(lost.is_set());
    assert!(!registry.is_usable(old));
    assert_eq!(chosen(&registry).as_deref(), Some("new"));
    let before = registry.by_id("new").unwrap();
    registry.begin(before, SMALL);
    registry.insert(Registration {
        address: "old:1".into(),
        started_ms: 3,
        ..registration("new", "fd-a")
    });
    let after = registry.by_id("new").unwrap();
    assert_ne!(before, after);
    assert_eq!(registry.get(after).unwrap().own_load, Load::default());
    registry.end(before, SMALL, false);
    assert!(registry.get(before).is_none());
}

/// Guards against entries that lapsed during an outage of the store and are dropped before engines
/// can renew them, and against entries that stay in use although they were not renewed.
#[test]
fn lapsed_entries_stay_in_use_for_two_seconds() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    registry.replace(vec![registration("a", "fd-a")], true);
    let b = registry.by_id("b").unwrap();
    assert!(registry.is_usable(b));
    clock.advance(Duration::from_millis(1900));
    assert!(registry.is_usable(b));
    clock.advance(Duration::from_millis(200));
    assert!(!registry.is_usable(b));
    registry.insert(registration("b", "fd-b"));
    assert!(registry.is_usable(b));
    registry.replace(vec![registration("a", "fd-a")], false);
    assert!(!registry.is_usable(b));
}

/// Guards against an engine that left while this host alone was cut off from the store, and that stays
/// in use as if its entry had lapsed in an outage of the store. The store told another host of it.
#[test]
fn a_removal_that_another_host_was_told_ends_a_lapse() {
    let clock = Manual::default();
    let entries = [("a", "fd-a"), ("b", "fd-b"), ("c", "fd-b")];
    let mut watcher = registry(&clock, &entries);
    let mut returned = registry(&clock, &entries);
    watcher.apply_removal("b");
    let removals = watcher.recent_removals();
    assert_eq!(removals, [EngineHash::of("b")]);
    // An entry that the own list still has may have been written again since.
    assert_eq!(returned.end_removed(removals[0]), None);
    assert!(returned.by_id("b").is_some());
    returned.replace(vec![registration("a", "fd-a")], true);
    assert_eq!(returned.end_removed(removals[0]).as_deref(), Some("b"));
    assert_eq!(returned.by_id("b"), None);
    // The store told nobody that it removed this one.
    let c = returned.by_id("c").unwrap();
    assert!(returned.is_usable(c));
    watcher.insert(registration("b", "fd-b"));
    assert_eq!(watcher.recent_removals(), []);
}

/// Guards against memory that grows with each engine that ever left, if the store never comes back from
/// an older copy.
#[test]
fn old_removals_are_dropped() {
    let clock = Manual::default();
    let mut departed = Departed::default();
    for number in 0..100 {
        let removed = registration(&format!("i-{number}"), "fd-a");
        departed.record(&removed, clock.now());
        clock.advance(Duration::from_secs(10));
    }
    assert!((1..10).contains(&departed.len()), "{}", departed.len());
}

/// Guards against removals that are reported for ever, or that a new era of the store has undone.
#[test]
fn removals_are_reported_for_a_while() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    registry.apply_removal("a");
    clock.advance(Duration::from_secs(60));
    assert_eq!(registry.recent_removals(), []);
    registry.apply_removal("b");
    registry.begin_era();
    assert_eq!(registry.recent_removals(), []);
}

/// Guards against an engine that has left and is used again, because a host that did not reach the
/// store meanwhile keeps its entry as lapsed and hands it on.
#[test]
fn a_lapsed_entry_is_not_handed_on_as_registered() {
    let clock = Manual::default();
    let mut returned = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    let mut follower = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    let before = returned.last_change();
    follower.remove("b");
    returned.replace(vec![registration("a", "fd-a")], true);
    assert!(returned.is_usable(returned.by_id("b").unwrap()));
    for from in [None, Some(0), Some(before)] {
        follower.apply_changes(returned.changes_since(from), false);
        assert_eq!(follower.by_id("b"), None, "{from:?}");
    }
    returned.insert(registration("b", "fd-b"));
    follower.apply_changes(returned.changes_since(Some(before)), false);
    assert!(follower.is_usable(follower.by_id("b").unwrap()));
}

/// Guards against followers that drop all engines whose entries lapsed during an outage of the store,
/// before the engines can renew them, or use them for longer than the host that they follow.
#[test]
fn lapsed_entries_stay_in_use_on_followers() {
    for position in [None, Some(2)] {
        let clock = Manual::default();
        let mut watcher = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
        let mut follower = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
        watcher.replace(vec![registration("a", "fd-a")], true);
        clock.advance(Duration::from_millis(500));
        follower.apply_changes(watcher.changes_since(position), false);
        let b = follower.by_id("b").unwrap();
        assert!(follower.is_usable(b));
        clock.advance(Duration::from_millis(1400));
        assert!(follower.is_usable(b));
        clock.advance(Duration::from_millis(200));
        assert!(!follower.is_usable(b));
        watcher.insert(registration("b", "fd-b"));
        follower.apply_changes(watcher.changes_since(position), false);
        assert!(follower.is_usable(follower.by_id("b").unwrap()));
    }
}

/// Guards against the choice of an engine that is draining, removed or excluded, and against loads
/// that do not return to zero when all requests have ended.
#[test]
fn random_operations_keep_the_invariants() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let clock = Manual::default();
        let mut registry = registry(&clock, &[]);
        let mut running: Vec<(Engine, bool)> = Vec::new();
        for step in 0..300 {
            let id = format!("e{}", rng.random_range(0..6));
            let domain = ["fd-a", "fd-b", "fd-c"][rng.random_range(0..3)];
            match rng.random_range(0..10) {
                0 | 1 => registry.insert(Registration {
                    started_ms: rng.random_range(1..4),
                    version: "v1".into(),
                    is_draining: rng.random_bool(0.2),
                    ..registration(&id, domain)
                }),
                2 => registry.remove(&id),
                3 => registry.replace(vec![registration(&id, domain)], rng.random_bool(0.5)),
                4 => clock.advance(Duration::from_millis(rng.random_range(0..1500))),
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
                    let had_output = rng.random_bool(0.5);
                    if had_output {
                        registry.set_prefilled(engine, SMALL);
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

/// Returns what an older copy of the store lists: engines `a` and `b`, as they first registered.
fn older_copy() -> Vec<Registration> {
    vec![registration("a", "fd-a"), registration("b", "fd-b")]
}

/// Guards against an engine that has left and is used again, as an older copy of the store lists it, and
/// against one that runs and is left out for good.
#[test]
fn an_engine_that_an_older_copy_lists_again_is_withheld() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    registry.remove("b");
    registry.begin_era();
    for _ in 0..3 {
        registry.replace(older_copy(), true);
        assert_eq!(registry.by_id("b"), None);
        clock.advance(Duration::from_secs(3));
        registry.expire_lapsed();
        assert_eq!(registry.by_id("b"), None);
    }
    clock.advance(Duration::from_secs(20));
    registry.expire_lapsed();
    assert_eq!(registry.by_id("b"), None, "the store has not confirmed it");
    registry.confirm(clock.now());
    registry.expire_lapsed();
    assert!(registry.is_usable(registry.by_id("b").unwrap()));
}

/// Guards against an engine that has left and is used before the store can have dropped its entry, as
/// the time began in an earlier era.
#[test]
fn the_time_of_a_withheld_engine_begins_anew_in_each_era() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    registry.remove("b");
    for _ in 0..2 {
        registry.begin_era();
        registry.replace(older_copy(), true);
        clock.advance(Duration::from_secs(8));
        registry.confirm(clock.now());
        registry.expire_lapsed();
        assert_eq!(registry.by_id("b"), None);
    }
}

/// Guards against an engine that is left out although it has written its entry again.
#[test]
fn a_withheld_engine_is_used_once_it_writes_its_entry() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    registry.remove("b");
    registry.begin_era();
    registry.replace(older_copy(), true);
    registry.insert(registration("b", "fd-b"));
    registry.replace(older_copy(), true);
    assert!(registry.is_usable(registry.by_id("b").unwrap()));
}

/// Guards against an engine that is used after the store dropped its entry in the new era.
#[test]
fn a_withheld_engine_that_is_no_longer_listed_is_not_used() {
    let clock = Manual::default();
    for is_event in [false, true] {
        let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
        registry.remove("b");
        registry.begin_era();
        registry.replace(older_copy(), true);
        match is_event {
            true => registry.remove("b"),
            false => registry.replace(vec![registration("a", "fd-a")], false),
        }
        clock.advance(Duration::from_secs(20));
        registry.expire_lapsed();
        assert_eq!(registry.by_id("b"), None);
    }
}

/// Guards against an engine that takes new work while it drains, as an older copy of the store shows
/// it as it was before.
#[test]
fn an_engine_that_drains_stays_draining() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    let draining = Registration {
        is_draining: true,
        ..registration("b", "fd-b")
    };
    registry.insert(draining);
    for _ in 0..2 {
        registry.begin_era();
        for _ in 0..2 {
            registry.replace(older_copy(), true);
            let b = registry.by_id("b").unwrap();
            assert!(registry.get(b).unwrap().registration.is_draining);
        }
    }
    registry.insert(registration("b", "fd-b"));
    registry.replace(older_copy(), true);
    let b = registry.by_id("b").unwrap();
    assert!(!registry.get(b).unwrap().registration.is_draining);
    registry.insert(Registration {
        started_ms: 2,
        ..registration("b", "fd-b")
    });
    let b = registry.by_id("b").unwrap();
    assert!(!registry.get(b).unwrap().registration.is_draining);
}

/// Guards against a restarted engine whose entry is replaced by that of its earlier start.
#[test]
fn an_older_copy_does_not_replace_a_restarted_engine() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    registry.insert(Registration {
        started_ms: 2,
        ..registration("b", "fd-b")
    });
    registry.begin_era();
    registry.replace(older_copy(), true);
    let b = registry.by_id("b").unwrap();
    assert_eq!(registry.get(b).unwrap().registration.started_ms, 2);
}

/// Guards against followers that drop engines whose entries are missing in an older copy of the store,
/// or that use engines which left.
#[test]
fn followers_keep_what_an_older_copy_lacks() {
    let clock = Manual::default();
    let mut follower = registry(&clock, &[("a", "fd-a"), ("b", "fd-b"), ("c", "fd-a")]);
    follower.remove("b");
    follower.begin_era();
    let watcher = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    follower.apply_changes(watcher.changes_since(None), true);
    assert_eq!(follower.by_id("b"), None);
    let c = follower.by_id("c").unwrap();
    assert!(follower.is_usable(c));
    clock.advance(Duration::from_millis(2100));
    assert!(!follower.is_usable(c));
}

/// Guards against a running engine that is left out, as it was removed once in an earlier era and has
/// registered again since.
#[test]
fn an_engine_that_returned_before_the_era_changed_stays_in_use() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    registry.remove("b");
    registry.insert(registration("b", "fd-b"));
    registry.begin_era();
    registry.replace(older_copy(), true);
    let b = registry.by_id("b").unwrap();
    clock.advance(Duration::from_secs(3));
    assert!(registry.is_usable(b));
}

/// Guards against an engine whose lapse is cut short because another list of the same era lacks it too.
#[test]
fn a_second_list_does_not_end_a_lapse() {
    let clock = Manual::default();
    let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
    let listed = || vec![registration("a", "fd-a")];
    registry.replace(listed(), true);
    clock.advance(Duration::from_millis(500));
    registry.replace(listed(), false);
    clock.advance(Duration::from_millis(1000));
    registry.expire_lapsed();
    assert!(registry.is_usable(registry.by_id("b").unwrap()));
    clock.advance(Duration::from_millis(600));
    registry.expire_lapsed();
    assert_eq!(registry.by_id("b"), None);
}

/// Guards against running engines that are left out in a new era, because their lapse ended while the
/// store was away.
#[test]
fn a_lapse_that_ends_without_the_store_is_no_departure() {
    let clock = Manual::default();
    for is_confirmed in [false, true] {
        let mut registry = registry(&clock, &[("a", "fd-a"), ("b", "fd-b")]);
        registry.replace(vec![registration("a", "fd-a")], true);
        clock.advance(Duration::from_millis(2100));
        if is_confirmed {
            registry.confirm(clock.now());
        }
        registry.expire_lapsed();
        assert_eq!(registry.by_id("b"), None);
        registry.begin_era();
        registry.replace(older_copy(), true);
        assert_eq!(registry.by_id("b").is_some(), !is_confirmed);
    }
}

/// Guards against prompts in the failure domain that is lost next where domains are lost in turn, and
/// against a replica that counts although its engine was lost after it was ordered.
#[test]
fn the_domain_that_is_lost_next_is_avoided() {
    let clock = Manual::default();
    let entries = [
        ("a1", "fd-a"),
        ("a2", "fd-a"),
        ("b1", "fd-b"),
        ("b2", "fd-b"),
        ("c1", "fd-c"),
        ("c2", "fd-c"),
    ];
    let mut registry = registry(&clock, &entries);
    let ordered_at = clock.now();
    let held = registry.by_id("c1").unwrap();
    assert!(registry.may_hold(held, ordered_at));
    for (round, domain) in ["fd-a", "fd-b", "fd-c"].iter().enumerate() {
        let lost = entries
            .iter()
            .filter(|(_, its_domain)| its_domain == domain);
        for (id, _) in lost {
            let engine = registry.by_id(id).unwrap();
            registry.set_lost(engine);
            registry.insert(Registration {
                started_ms: 2 + round as u64,
                ..registration(id, domain)
            });
        }
        clock.advance(Duration::from_secs(3));
    }
    assert!(!registry.may_hold(held, ordered_at));
    // Now fd-a is due; this host is there, so that its engines would go first otherwise.
    for _ in 0..20 {
        let engine = registry.choose(&need(&[])).unwrap();
        let domain = &registry.get(engine).unwrap().registration.failure_domain;
        assert_ne!(domain, "fd-a");
    }
}
