//! Engine selection of the router, on a clock that the tests advance.

use std::collections::BTreeMap;
use std::time::Duration;

use bilberrypost::clock::Manual;
use bilberrypost::route::fleet::{Engine, Fleet, Need};
use bilberrypost::wire::{CacheEvent, Kind, Lifecycle, Load, Member, Model, Status};

const SLOTS: u32 = 16;

fn member(name: String, kind: Kind, domain: usize) -> Member {
    Member {
        address: format!("{name}:1").into(),
        name: name.into(),
        kind,
        peer_address: None,
        failure_domain: format!("fd-{domain}").into(),
        region: "default".into(),
        state: Lifecycle::Live,
        service: "atlas".into(),
    }
}

fn members(engines: usize, domains: usize, routers: usize) -> Vec<Member> {
    let engine = |index: usize| member(format!("engine-{index:05}"), Kind::Engine, index % domains);
    let router = |index: usize| member(format!("router-{index}"), Kind::Router, index % domains);
    (0..engines)
        .map(engine)
        .chain((0..routers).map(router))
        .collect()
}

fn status(running: u32) -> Status {
    Status {
        name: "".into(),
        failure_domain: "".into(),
        models: vec![Model {
            model: "atlas".into(),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        role: "serve".into(),
        slots: SLOTS,
        load: Load {
            running,
            queued: 0,
            step_us: 8000,
        },
        leaving: false,
        next_seq: 0,
        events: Vec::new(),
    }
}

fn need(blocks: &[u64]) -> Need {
    Need {
        model: "atlas".into(),
        blocks: blocks.to_vec(),
        ..Need::default()
    }
}

/// Blocks of the 16 KB prompt prefix with this number. Different numbers share no block.
fn shared_prefix(number: u64) -> Vec<u64> {
    (0..64).map(|block| number * 1000 + block).collect()
}

/// Creates the fleet of a host to which all engines have reported no load.
fn fleet(clock: &Manual, members: &[Member], host: &str) -> Fleet<Manual> {
    let mut fleet = Fleet::new(clock.clone(), "fd-0".into()).with_host(host.into());
    fleet.set_members(members);
    report(&mut fleet, |_| Some(0));
    fleet
}

/// Applies a status of each engine for which `running` returns its number of running streams.
fn report(fleet: &mut Fleet<Manual>, running: impl Fn(&str) -> Option<u32>) {
    let known: Vec<_> = fleet
        .iter()
        .map(|(key, engine)| (key, engine.name.clone()))
        .collect();
    for (key, name) in known {
        if let Some(running) = running(&name) {
            fleet.set_status(key, &status(running));
        }
    }
}

fn name(fleet: &Fleet<Manual>, key: Engine) -> String {
    fleet.get(key).unwrap().name.to_string()
}

fn key(fleet: &Fleet<Manual>, name: &str) -> Engine {
    let found = fleet.iter().find(|(_, engine)| engine.name == name);
    found.unwrap().0
}

/// Starts a stream for a prompt with these blocks, and returns the name of the chosen engine.
fn place(fleet: &mut Fleet<Manual>, blocks: &[u64]) -> String {
    let chosen = fleet.choose(&need(blocks)).expect("an engine is free");
    fleet.begin(chosen, blocks);
    name(fleet, chosen)
}

/// Guards against hosts that all send their work to the one engine that reports no load, and
/// overload it.
#[test]
fn hosts_do_not_all_choose_an_engine_that_reports_no_load() {
    let clock = Manual::default();
    let members = members(8, 1, 6);
    let mut sent: BTreeMap<String, u32> = BTreeMap::new();
    for host in 0..6 {
        let mut fleet = fleet(&clock, &members, &format!("router-{host}"));
        report(&mut fleet, |name| {
            Some(if name == "engine-00000" { 0 } else { 8 })
        });
        for _ in 0..8 {
            *sent.entry(place(&mut fleet, &[])).or_default() += 1;
        }
    }
    let idle = sent["engine-00000"];
    assert!((1..=SLOTS).contains(&idle), "{sent:?}");
    let others: Vec<_> = sent
        .iter()
        .filter(|(name, _)| *name != "engine-00000")
        .collect();
    assert_eq!(others.len(), 7, "{sent:?}");
    assert!(
        others.iter().all(|(_, count)| **count <= SLOTS - 8),
        "{sent:?}"
    );
}

/// Guards against hosts that all choose equal engines in the same order.
#[test]
fn hosts_choose_differently_among_equal_engines() {
    let clock = Manual::default();
    let members = members(30, 1, 6);
    let first = |host: usize| {
        let mut fleet = fleet(&clock, &members, &format!("router-{host}"));
        place(&mut fleet, &[])
    };
    let firsts: std::collections::BTreeSet<_> = (0..6).map(first).collect();
    assert!(firsts.len() >= 3, "{firsts:?}");
    assert_eq!(first(1), first(1));
}

/// Guards against prefixes of lost engines that all move to the same remaining engine, and against
/// prefixes of remaining engines that move although they are cached.
#[test]
fn prefixes_of_lost_engines_spread_over_the_others() {
    let clock = Manual::default();
    let mut fleet = fleet(&clock, &members(12, 1, 1), "router-0");
    let first_engines: Vec<_> = (0..36)
        .map(|number| place(&mut fleet, &shared_prefix(number)))
        .collect();
    let lost: Vec<_> = (0..4).map(|index| format!("engine-{index:05}")).collect();
    for name in &lost {
        let key = key(&fleet, name);
        fleet.set_failed(key);
    }
    report(&mut fleet, |name| {
        (!lost.iter().any(|lost| lost == name)).then_some(0)
    });
    let ended: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
    for key in ended {
        (0..36).for_each(|_| fleet.end(key));
    }
    let mut moved: BTreeMap<String, u32> = BTreeMap::new();
    for (number, first_engine) in first_engines.iter().enumerate() {
        let chosen = place(&mut fleet, &shared_prefix(number as u64));
        match lost.contains(first_engine) {
            true => *moved.entry(chosen).or_default() += 1,
            false => assert_eq!(chosen, *first_engine, "prefix {number}"),
        }
    }
    let total: u32 = moved.values().sum();
    assert!(
        moved.len() >= 4 && moved.values().all(|count| *count <= total / 2),
        "{moved:?}"
    );
}

/// Guards against requests that queue at the engine that caches their prefix while others are idle.
#[test]
fn requests_with_one_popular_prefix_spread_over_all_engines() {
    let clock = Manual::default();
    let mut fleet = fleet(&clock, &members(8, 1, 1), "router-0");
    let first = place(&mut fleet, &shared_prefix(1));
    assert_eq!(place(&mut fleet, &shared_prefix(1)), first);
    let mut sent: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..62 {
        *sent
            .entry(place(&mut fleet, &shared_prefix(1)))
            .or_default() += 1;
    }
    assert_eq!(sent.len(), 8, "{sent:?}");
    assert!(sent.values().all(|count| *count < SLOTS), "{sent:?}");
}

/// Guards against work for an engine that does not answer or is leaving, but is still in the
/// membership list.
#[test]
fn a_silent_engine_is_used_last_and_a_leaving_one_not_at_all() {
    let clock = Manual::default();
    let members = members(3, 1, 1);
    let mut fleet = fleet(&clock, &members, "router-0");
    report(&mut fleet, |name| {
        (name != "engine-00000").then_some(SLOTS / 2)
    });
    let silent = key(&fleet, "engine-00000");
    fleet.set_unanswered(silent);
    assert_eq!(fleet.domains()["fd-0"].capacity, 3 * SLOTS);
    fleet.set_unanswered(silent);
    let leaving = key(&fleet, "engine-00001");
    fleet.set_leaving(leaving);
    fleet.set_members(&members);
    assert_eq!(fleet.domains()["fd-0"].capacity, SLOTS);
    for _ in 0..SLOTS / 2 {
        assert_eq!(place(&mut fleet, &[]), "engine-00002");
    }
    // An engine that does not answer is still better than none.
    assert_eq!(place(&mut fleet, &[]), "engine-00000");
    for _ in 0..SLOTS - 1 {
        place(&mut fleet, &[]);
    }
    assert!(fleet.choose(&need(&[])).is_none());
    // After 30 s the list counts again for the engine that left. It gets work once a status tells
    // its version.
    clock.advance(Duration::from_secs(31));
    fleet.set_members(&members);
    let back = key(&fleet, "engine-00001");
    assert!(fleet.choose(&need(&[])).is_none());
    fleet.set_status(back, &status(0));
    assert_eq!(place(&mut fleet, &[]), "engine-00001");
}

/// Guards against a host that takes all engines for lost after it was paused itself.
#[test]
fn a_paused_host_keeps_its_engines() {
    let clock = Manual::default();
    let mut fleet = fleet(&clock, &members(3, 1, 1), "router-0");
    clock.advance(Duration::from_secs(60));
    let known: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
    known.iter().for_each(|key| fleet.set_unanswered(*key));
    assert_eq!(fleet.domains()["fd-0"].capacity, 3 * SLOTS);
    assert!(fleet.choose(&need(&[])).is_some());
}

/// Guards against an engine that gets work again at once because it answers status requests,
/// although it breaks each stream.
#[test]
fn repeated_failures_back_off_longer() {
    let clock = Manual::default();
    let mut fleet = fleet(&clock, &members(1, 1, 1), "router-0");
    let engine = key(&fleet, "engine-00000");
    let is_usable = |fleet: &Fleet<Manual>| fleet.choose(&need(&[])).is_some();
    fleet.set_failed(engine);
    fleet.set_status(engine, &status(0));
    assert!(!is_usable(&fleet), "a status just after the failure");
    clock.advance(Duration::from_secs(1));
    fleet.set_status(engine, &status(0));
    assert!(is_usable(&fleet), "a status 1 s after the failure");
    fleet.set_failed(engine);
    for _ in 0..3 {
        clock.advance(Duration::from_secs(1));
        fleet.set_status(engine, &status(0));
        assert!(!is_usable(&fleet), "within 3 s of the second failure");
    }
    clock.advance(Duration::from_secs(1));
    assert!(is_usable(&fleet));
}

/// Guards against a restarted engine that is taken to have the cache and load from before.
#[test]
fn a_restarted_engine_has_an_empty_cache() {
    let clock = Manual::default();
    let mut members = members(2, 1, 1);
    let mut fleet = fleet(&clock, &members, "router-0");
    let first_engine = place(&mut fleet, &shared_prefix(1));
    let old = key(&fleet, &first_engine);
    let listed = members
        .iter_mut()
        .find(|member| member.name == first_engine);
    listed.unwrap().address = "elsewhere:1".into();
    fleet.set_members(&members);
    assert!(fleet.get(old).is_none());
    fleet.end(old);
    let new = key(&fleet, &first_engine);
    assert_eq!(fleet.get(new).unwrap().address, "elsewhere:1");
    let other = members
        .iter()
        .find(|member| member.name != first_engine)
        .unwrap();
    assert_eq!(place(&mut fleet, &shared_prefix(1)), other.name);
    fleet.set_status(new, &status(0));
    let chosen: std::collections::BTreeSet<_> = (0..20)
        .map(|_| name(&fleet, fleet.choose(&need(&shared_prefix(1))).unwrap()))
        .collect();
    assert_eq!(
        chosen.len(),
        1,
        "the engine that caches the prefix is chosen"
    );
    assert!(chosen.contains(other.name.as_str()));
}

/// Guards against an engine that never gets work again after the membership list left it out once.
#[test]
fn an_engine_that_is_listed_again_serves_again() {
    let clock = Manual::default();
    let members = members(1, 1, 1);
    let mut fleet = fleet(&clock, &members, "router-0");
    let running = fleet.choose(&need(&[])).unwrap();
    fleet.begin(running, &[]);
    fleet.set_members(&[]);
    assert!(fleet.choose(&need(&[])).is_none());
    assert!(fleet.get(running).is_some());
    fleet.set_members(&members);
    assert_eq!(fleet.choose(&need(&[])), Some(running));
    fleet.set_members(&[]);
    fleet.end(running);
    assert!(fleet.get(running).is_none());
}

/// Guards against a host that keeps state for all engines of a large fleet, and against a capacity
/// that counts only the engines that it uses.
#[test]
fn uses_few_of_12000_engines() {
    let clock = Manual::default();
    let members = members(12_000, 31, 770);
    let mut fleet = fleet(&clock, &members, "router-7");
    assert_eq!(fleet.iter().count(), 64);
    let capacity = fleet.domains();
    assert_eq!(capacity.len(), 3, "{capacity:?}");
    assert!(
        capacity
            .values()
            .all(|domain| (387 * SLOTS..=388 * SLOTS).contains(&domain.capacity))
    );
    let leaving = fleet.choose(&need(&[])).unwrap();
    let left = name(&fleet, leaving);
    fleet.set_leaving(leaving);
    assert_eq!(fleet.iter().count(), 64);
    assert!(fleet.iter().all(|(_, engine)| engine.name != left));
}

/// Guards against blocks that are taken for cached because the event of their eviction was missed.
#[test]
fn missed_cache_events_evict_the_least_recently_used_blocks() {
    let clock = Manual::default();
    let mut fleet = fleet(&clock, &members(1, 1, 1), "router-0");
    let engine = key(&fleet, "engine-00000");
    let event = |seq, block| CacheEvent {
        seq,
        stored: true,
        block,
    };
    let mut with_events = status(0);
    with_events.events = (0..64).map(|seq| event(seq, seq)).collect();
    with_events.next_seq = 64;
    fleet.set_status(engine, &with_events);
    assert_eq!(fleet.get(engine).unwrap().cached_blocks(&[0, 1, 2]), 3);
    with_events.events = vec![event(66, 100)];
    with_events.next_seq = 67;
    fleet.set_status(engine, &with_events);
    let cached = |blocks: &[u64]| fleet.get(engine).unwrap().cached_blocks(blocks);
    assert_eq!((cached(&[0]), cached(&[1]), cached(&[2])), (0, 0, 1));
    assert_eq!(fleet.get(engine).unwrap().next_seq, 67);
}
