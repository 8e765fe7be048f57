//! The choice of an engine, with the clock moved by hand.

use std::collections::BTreeMap;
use std::time::Duration;

use bilberrypost::clock::Manual;
use bilberrypost::route::fleet::{Engine, Fleet, Need};
use bilberrypost::wire::{Event, Kind, Listing, Load, Member, Model, Status};

const SLOTS: u32 = 16;

fn member(name: String, kind: Kind, domain: usize) -> Member {
    Member {
        address: format!("{name}:1").into(),
        name: name.into(),
        kind,
        peer_address: None,
        failure_domain: format!("fd-{domain}").into(),
        region: "default".into(),
        state: Listing::Live,
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

/// Blocks of a preamble of 16 KB.
fn preamble(number: u64) -> Vec<u64> {
    (0..64).map(|block| number * 1000 + block).collect()
}

/// A fleet that has seen all engines idle.
fn fleet(clock: &Manual, members: &[Member], host: &str) -> Fleet<Manual> {
    let mut fleet = Fleet::new(clock.clone(), "fd-0".into()).with_host(host.into());
    fleet.set_members(members);
    report(&mut fleet, |_| Some(0));
    fleet
}

/// Reports the running streams of each engine for which `running` gives a number.
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

/// Places a request and returns the engine's name.
fn place(fleet: &mut Fleet<Manual>, blocks: &[u64]) -> String {
    let chosen = fleet.choose(&need(blocks)).expect("an engine is free");
    fleet.begin(chosen, blocks);
    name(fleet, chosen)
}

/// Guards against all hosts sending their work to the engine that reported no load last.
#[test]
fn a_herd_spares_a_freshly_reported_engine() {
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
    let fresh = sent["engine-00000"];
    assert!((1..=SLOTS).contains(&fresh), "{sent:?}");
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

/// Guards against equal engines being chosen in the same order by all hosts.
#[test]
fn hosts_draw_differently() {
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

/// Guards against the families of a lost engine's prefixes all moving to one survivor, and against
/// survivors losing theirs.
#[test]
fn a_cold_cache_after_a_loss_is_rebuilt_on_many() {
    let clock = Manual::default();
    let mut fleet = fleet(&clock, &members(12, 1, 1), "router-0");
    let homes: Vec<_> = (0..36)
        .map(|family| place(&mut fleet, &preamble(family)))
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
    for (family, home) in homes.iter().enumerate() {
        let chosen = place(&mut fleet, &preamble(family as u64));
        match lost.contains(home) {
            true => *moved.entry(chosen).or_default() += 1,
            false => assert_eq!(chosen, *home, "family {family}"),
        }
    }
    let total: u32 = moved.values().sum();
    assert!(
        moved.len() >= 4 && moved.values().all(|count| *count <= total / 2),
        "{moved:?}"
    );
}

/// Guards against a queue at the engine that holds a hot preamble while others are idle.
#[test]
fn a_hot_preamble_spreads() {
    let clock = Manual::default();
    let mut fleet = fleet(&clock, &members(8, 1, 1), "router-0");
    let first = place(&mut fleet, &preamble(1));
    assert_eq!(place(&mut fleet, &preamble(1)), first);
    let mut sent: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..62 {
        *sent.entry(place(&mut fleet, &preamble(1))).or_default() += 1;
    }
    assert_eq!(sent.len(), 8, "{sent:?}");
    assert!(sent.values().all(|count| *count < SLOTS), "{sent:?}");
}

/// Guards against work for an engine that stopped answering or leaves while the list shows it.
#[test]
fn an_engine_that_lags_or_leaves_gets_no_work() {
    let clock = Manual::default();
    let members = members(3, 1, 1);
    let mut fleet = fleet(&clock, &members, "router-0");
    report(&mut fleet, |name| {
        (name != "engine-00000").then_some(SLOTS / 2)
    });
    let lagging = key(&fleet, "engine-00000");
    fleet.set_unanswered(lagging);
    assert_eq!(fleet.domains()["fd-0"].capacity, 3 * SLOTS);
    fleet.set_unanswered(lagging);
    let leaving = key(&fleet, "engine-00001");
    fleet.set_leaving(leaving);
    fleet.set_members(&members);
    assert_eq!(fleet.domains()["fd-0"].capacity, SLOTS);
    for _ in 0..SLOTS / 2 {
        assert_eq!(place(&mut fleet, &[]), "engine-00002");
    }
    // An engine that only lags is still better than none.
    assert_eq!(place(&mut fleet, &[]), "engine-00000");
    for _ in 0..SLOTS - 1 {
        place(&mut fleet, &[]);
    }
    assert!(fleet.choose(&need(&[])).is_none());
    // One late denial does not bring it back, a restart does.
    clock.advance(Duration::from_secs(31));
    fleet.set_members(&members);
    let back = key(&fleet, "engine-00001");
    assert!(fleet.choose(&need(&[])).is_none());
    fleet.set_status(back, &status(0));
    assert_eq!(place(&mut fleet, &[]), "engine-00001");
}

/// Guards against a host that was paused itself and takes all engines for lost.
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

/// Guards against an engine that answers its status but breaks each stream.
#[test]
fn repeated_failures_back_off_longer() {
    let clock = Manual::default();
    let mut fleet = fleet(&clock, &members(1, 1, 1), "router-0");
    let engine = key(&fleet, "engine-00000");
    let is_usable = |fleet: &Fleet<Manual>| fleet.choose(&need(&[])).is_some();
    fleet.set_failed(engine);
    fleet.set_status(engine, &status(0));
    assert!(!is_usable(&fleet), "a status that was on its way");
    clock.advance(Duration::from_secs(1));
    fleet.set_status(engine, &status(0));
    assert!(is_usable(&fleet), "a status after the failure");
    fleet.set_failed(engine);
    for _ in 0..3 {
        clock.advance(Duration::from_secs(1));
        fleet.set_status(engine, &status(0));
        assert!(!is_usable(&fleet), "the second failure");
    }
    clock.advance(Duration::from_secs(1));
    assert!(is_usable(&fleet));
}

/// Guards against a restarted engine that is believed to hold its old cache and load.
#[test]
fn a_restarted_engine_starts_cold() {
    let clock = Manual::default();
    let mut members = members(2, 1, 1);
    let mut fleet = fleet(&clock, &members, "router-0");
    let home = place(&mut fleet, &preamble(1));
    let old = key(&fleet, &home);
    let listed = members.iter_mut().find(|member| member.name == home);
    listed.unwrap().address = "elsewhere:1".into();
    fleet.set_members(&members);
    assert!(fleet.get(old).is_none());
    fleet.end(old);
    let new = key(&fleet, &home);
    assert_eq!(fleet.get(new).unwrap().address, "elsewhere:1");
    let other = members.iter().find(|member| member.name != home).unwrap();
    assert_eq!(place(&mut fleet, &preamble(1)), other.name);
    fleet.set_status(new, &status(0));
    let chosen: std::collections::BTreeSet<_> = (0..20)
        .map(|_| name(&fleet, fleet.choose(&need(&preamble(1))).unwrap()))
        .collect();
    assert_eq!(chosen.len(), 1, "the warm engine is better than the cold");
    assert!(chosen.contains(other.name.as_str()));
}

/// Guards against an engine that never gets work again because the list dropped it for a moment.
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

/// Guards against a host that keeps state for, or asks, all engines of a large fleet, and against a
/// capacity that counts only the engines that it uses.
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

/// Guards against blocks that the engine evicted, where the event of it was lost.
#[test]
fn gaps_in_cache_events_cost_old_blocks() {
    let clock = Manual::default();
    let mut fleet = fleet(&clock, &members(1, 1, 1), "router-0");
    let engine = key(&fleet, "engine-00000");
    let event = |seq, block| Event {
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
