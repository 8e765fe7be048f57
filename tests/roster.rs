//! Who reports to whom, who watches the store, and who follows: decisions without sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bilberrypost::clock::Manual;
use bilberrypost::gateway::watch::retry_pause;
use bilberrypost::peer::report::{BYTES_MAX, Name, Report, Summary, Usage};
use bilberrypost::peer::roster::{REPRESENTATIVES, Roster};
use bilberrypost::peer::sources::Sources;
use bilberrypost::relay::handover::Stream;
use bilberrypost::route::load::Load;
use bilberrypost::route::registry::{Registration, Registry};
use compact_str::{CompactString, format_compact};
use rand::rngs::StdRng;
use rand::{Rng, RngCore, SeedableRng};

const DOMAINS: [&str; 3] = ["fd-a", "fd-b", "fd-c"];

fn address(n: u16) -> SocketAddr {
    let [high, low] = n.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7200))
}

fn domain(n: u16) -> &'static str {
    DOMAINS[usize::from(n) % DOMAINS.len()]
}

/// Returns the roster of host `own` that heard all hosts below `hosts`.
fn roster(own: u16, hosts: u16, now: Instant) -> Roster {
    let mut roster = Roster::new(
        address(own),
        domain(own).into(),
        vec![address(0), address(1)],
    );
    for n in 0..hosts {
        roster.heard(address(n), domain(n), false, now);
    }
    roster
}

/// Guards against reports whose number grows with the fleet, and against hosts of a small fleet or of
/// the same failure domain that get none.
#[test]
fn reports_stay_in_the_failure_domain_of_a_large_fleet() {
    let now = Instant::now();
    assert_eq!(roster(1, 6, now).mates().len(), 5);
    for hosts in [60, 120, 240] {
        let roster = roster(1, hosts, now);
        let mates: BTreeSet<_> = roster.mates().into_iter().collect();
        let expected = (0..hosts).filter(|n| *n != 1 && domain(*n) == domain(1));
        assert_eq!(mates, expected.map(address).collect(), "{hosts} hosts");
        let elsewhere = roster.representatives_elsewhere();
        assert_eq!(elsewhere.len(), 2 * REPRESENTATIVES, "{hosts} hosts");
    }
}

/// Guards against two views of who represents a failure domain, and against one that nobody does.
#[test]
fn all_hosts_agree_on_the_representatives() {
    let now = Instant::now();
    let of_first = roster(0, 60, now).representatives_here(false, now);
    assert_eq!(of_first.len(), REPRESENTATIVES);
    for n in (0..60).filter(|n| domain(*n) == domain(0)) {
        let here = roster(n, 60, now).representatives_here(false, now);
        assert_eq!(here, of_first, "host {n}");
    }
    let elsewhere = roster(1, 60, now).representatives_elsewhere();
    assert!(of_first.iter().all(|host| elsewhere.contains(host)));
}

/// Guards against a duty of a host that is dead or leaves: the next one in the order takes it.
#[test]
fn a_lost_representative_is_replaced() {
    let mut now = Instant::now();
    let mut roster = roster(0, 60, now);
    let first = roster.representatives_here(false, now)[0];
    let others = (0..60).filter(|n| address(*n) != first);
    let others: Vec<_> = others.collect();
    for n in &others {
        roster.heard(address(*n), domain(*n), false, now);
    }
    // A leaving host says so, and is replaced at once.
    if first != address(0) {
        roster.heard(first, domain(0), true, now);
    }
    let is_own = first == address(0);
    let here = roster.representatives_here(is_own, now);
    assert!(!here.contains(&first));
    assert_eq!(here.len(), REPRESENTATIVES);
    // A dead one falls silent while the others go on.
    roster.heard(first, domain(0), false, now);
    now += Duration::from_millis(1300);
    for n in others {
        roster.heard(address(n), domain(n), false, now);
    }
    let here = roster.representatives_here(is_own, now);
    assert!(!here.contains(&first));
    assert_eq!(here.len(), REPRESENTATIVES);
}

/// Guards against hosts whose names of a dead host keep it known to each other for ever.
#[test]
fn a_dead_host_is_forgotten_by_all() {
    let mut now = Instant::now();
    let dead = 5;
    for hosts in [6, 60] {
        let mut rosters: Vec<_> = (0..hosts)
            .filter(|n| *n != dead)
            .map(|n| (n, roster(n, hosts, now)))
            .collect();
        for _ in 0..40 {
            now += Duration::from_millis(500);
            exchange(&mut rosters, now);
        }
        for (n, roster) in &rosters {
            let is_known = roster.mates().contains(&address(dead));
            assert!(!is_known, "host {n} of {hosts} still knows host {dead}");
        }
    }
}

/// Lets each host hear its mates once.
fn exchange(rosters: &mut [(u16, Roster)], now: Instant) {
    let told: Vec<_> = rosters
        .iter_mut()
        .map(|(n, roster)| {
            roster.expire(now);
            let targets: Vec<_> = roster
                .mates()
                .into_iter()
                .chain(roster.due_seeds(now))
                .collect();
            (*n, targets, roster.listing(now))
        })
        .collect();
    for (from, targets, listing) in told {
        for (n, roster) in rosters.iter_mut() {
            if !targets.contains(&address(*n)) {
                continue;
            }
            roster.heard(address(from), domain(from), false, now);
            for (of, hosts) in &listing {
                for host in hosts {
                    roster.named(*host, of, of == domain(from), now);
                }
            }
        }
    }
}

/// Guards against hosts that start with the address of one living seed and never find the others.
#[test]
fn hosts_find_each_other_through_a_seed() {
    let mut now = Instant::now();
    let mut rosters: Vec<_> = (0..12).map(|n| (n, roster(n, 0, now))).collect();
    for _ in 0..12 {
        now += Duration::from_millis(500);
        exchange(&mut rosters, now);
    }
    for (n, roster) in &rosters {
        assert_eq!(roster.len(), 12, "host {n}");
    }
}

/// Guards against a host that stays with a representative which does not reach the store, and against
/// one that asks the store while a representative would answer.
#[test]
fn a_follower_tries_all_representatives_first() {
    let mut sources = Sources::default();
    assert!(
        sources.is_lost(),
        "without representatives it asks the store"
    );
    sources.set(vec![address(1), address(2), address(3)]);
    assert_eq!(sources.get(), Some(address(1)));
    sources.failed();
    assert_eq!(sources.get(), Some(address(2)));
    sources.failed();
    assert!(!sources.is_lost());
    sources.confirmed();
    // It stays with the one that answers, also when the others change.
    sources.set(vec![address(4), address(3)]);
    assert_eq!(sources.get(), Some(address(3)));
    sources.failed();
    assert!(!sources.is_lost());
    sources.failed();
    assert!(sources.is_lost());
    sources.confirmed();
    assert!(!sources.is_lost());
}

/// Guards against an outage of the store in which every host asks it several times a second, and
/// against a return that is noticed too late.
#[test]
fn an_outage_slows_the_calls() {
    let pauses: Vec<_> = (1..40).map(|n| retry_pause(n, true)).collect();
    assert!(pauses.is_sorted());
    assert!(pauses[0] <= Duration::from_millis(200));
    // Lapsed entries count for 2 s after the return.
    assert!(*pauses.last().unwrap() < Duration::from_secs(1));
    assert!(retry_pause(u32::MAX, false) > retry_pause(u32::MAX, true));
}

fn registration(id: &str, version: u64) -> Registration {
    Registration {
        id: id.into(),
        service: "model".into(),
        address: "127.0.0.1:1".into(),
        failure_domain: "fd-a".into(),
        slots: 4,
        is_draining: version.is_multiple_of(3),
        started_ms: version,
    }
}

/// Guards, over random histories, against a follower that knows other engines than the host that it
/// follows, also after it missed changes.
#[test]
fn followers_know_what_they_follow() {
    for seed in 0..100 {
        let mut draws = StdRng::seed_from_u64(seed);
        let clock = Manual::default();
        let mut watcher = Registry::new(clock.clone(), "host-a".into(), "fd-a".into());
        let mut follower = Registry::new(clock.clone(), "host-b".into(), "fd-b".into());
        let mut at = None;
        for step in 0..400 {
            let id = format!("e{}", draws.random_range(0..8));
            let entry = Registration {
                address: format_compact!("{id}:1"),
                ..registration(&id, draws.random_range(1..5))
            };
            match draws.random_range(0..7) {
                0..3 => watcher.insert(entry),
                3 => watcher.remove(&id),
                4 => watcher.replace(vec![entry], draws.random_bool(0.5)),
                5 => {
                    clock.advance(Duration::from_millis(900));
                    watcher.expire_lapsed();
                }
                _ => {
                    let changes = watcher.changes_since(at);
                    at = Some(changes.at);
                    follower.apply_changes(changes);
                    let known = follower.registrations();
                    assert_eq!(known, watcher.registrations(), "seed {seed} step {step}");
                }
            }
            if draws.random_bool(0.01) {
                at = None;
            }
        }
    }
}

/// Guards against reports that cannot be read, and against a full one that does not fit.
#[test]
fn reports_are_read_as_they_were_written() {
    let usages: Vec<_> = (0..387)
        .map(|n| {
            let load = Load {
                running: 64,
                reading: 40_000,
                memory: 55_000,
            };
            Usage::new(Name::of(&format!("i-{n:08x}")), load)
        })
        .collect();
    let hosts: Vec<_> = (0..25).map(|n| address(n).ip()).collect();
    let summary = Summary {
        domain: "fd-a".into(),
        number: 1 << 41,
        hosts: hosts.clone(),
        usages: usages.clone(),
    };
    let stream = Stream {
        digest: 7,
        run: "9c41d07be2a35f68".into(),
        replica: Name::of("i-1"),
    };
    let blank = Report {
        number: 1 << 41,
        domain: "fd-a".into(),
        revision: 5,
        is_leaving: false,
        is_question: false,
        hosts: BTreeMap::from([(CompactString::from("fd-a"), hosts)]),
        usages: Vec::new(),
        streams: Vec::new(),
        summaries: Vec::new(),
    };
    let full = [
        Report {
            usages: usages[..100].to_vec(),
            streams: vec![stream; 64],
            ..blank.clone()
        },
        Report {
            summaries: vec![summary],
            ..blank
        },
    ];
    for report in full {
        let bytes = report.encode().unwrap();
        assert!(bytes.len() <= BYTES_MAX, "{} bytes", bytes.len());
        assert_eq!(Report::decode(&bytes).unwrap(), report);
    }
}

/// Guards against a datagram from elsewhere that ends the process.
#[test]
fn spoiled_datagrams_are_survived() {
    let report = Report {
        number: 3,
        domain: "fd-a".into(),
        revision: 5,
        is_leaving: true,
        is_question: true,
        hosts: BTreeMap::from([("fd-b".into(), vec![address(1).ip()])]),
        usages: vec![Usage::new(Name::of("a"), Load::default())],
        streams: Vec::new(),
        summaries: Vec::new(),
    };
    let bytes = report.encode().unwrap();
    let mut draws = StdRng::seed_from_u64(11);
    for _ in 0..20_000 {
        let mut spoiled = bytes.clone();
        let at = draws.random_range(0..spoiled.len());
        spoiled[at] ^= draws.random_range(1..=255);
        spoiled.truncate(draws.random_range(0..=bytes.len()));
        let _ = Report::decode(&spoiled);
        let mut noise = vec![0; draws.random_range(0..64)];
        draws.fill_bytes(&mut noise);
        let _ = Report::decode(&noise);
    }
    assert_eq!(Report::decode(&bytes).unwrap(), report);
}
