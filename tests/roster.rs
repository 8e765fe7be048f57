//! Decisions about reports, representatives and followers of gateways, without sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::gateway::followed::Followed;
use bilberrypost::gateway::watch::retry_interval;
use bilberrypost::peer::newer::Newer;
use bilberrypost::peer::report::{BYTES_MAX, Report, Summary};
use bilberrypost::peer::representatives::Representatives;
use bilberrypost::peer::roster::{REPRESENTATIVES, Roster};
use bilberrypost::peer::schedule::Schedule;
use bilberrypost::relay::handover::Stream;
use bilberrypost::rollout::{Answer, Entry, Order, Rollouts, Route};
use bilberrypost::route::evidence::{Block, Certainty, Crash, DomainHash, Evidence, Pass};
use bilberrypost::route::held::{self, Sighting};
use bilberrypost::route::load::Load;
use bilberrypost::route::load::{EngineHash, Usage};
use bilberrypost::route::losses::Loss;
use bilberrypost::route::prompt::{PartHash, RequestHash};
use bilberrypost::route::quarantine::REPORTED_PARTS_MAX;
use bilberrypost::route::registry::{Registration, Registry};
use bilberrypost::route::removals::REPORTED_MAX as REMOVALS_MAX;
use bilberrypost::route::speed::Reading;
use bilberrypost::sched::demand::{Answered, Answers, Arrivals, Class, Counts, ENTRIES_MAX, Team};
use bilberrypost::sched::retry;
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

/// Returns the roster of host `own` after a report from each of the hosts `0..hosts`.
fn roster(own: u16, hosts: u16, now: Instant) -> Roster {
    let mut roster = Roster::new(
        address(own),
        domain(own).into(),
        vec![address(0), address(1)],
    );
    for n in 0..hosts {
        roster.record_report(address(n), domain(n), false, now);
    }
    roster
}

/// Guards against a number of reports that grows with the fleet, and against hosts of a small fleet
/// or of the same failure domain that get no report.
#[test]
fn reports_stay_in_the_failure_domain_of_a_large_fleet() {
    let now = Instant::now();
    assert_eq!(roster(1, 6, now).report_targets().len(), 5);
    for hosts in [60, 120, 240] {
        let roster = roster(1, hosts, now);
        let report_targets: BTreeSet<_> = roster.report_targets().into_iter().collect();
        let expected = (0..hosts).filter(|n| *n != 1 && domain(*n) == domain(1));
        assert_eq!(
            report_targets,
            expected.map(address).collect(),
            "{hosts} hosts"
        );
        let others = roster.other_representatives();
        assert_eq!(others.len(), 2 * REPRESENTATIVES, "{hosts} hosts");
    }
}

/// Guards against hosts that disagree on the representatives of a failure domain, and against a
/// domain without a representative.
#[test]
fn all_hosts_agree_on_the_representatives() {
    let now = Instant::now();
    let expected = roster(0, 60, now).own_representatives(false, now);
    assert_eq!(expected.len(), REPRESENTATIVES);
    for n in (0..60).filter(|n| domain(*n) == domain(0)) {
        let representatives = roster(n, 60, now).own_representatives(false, now);
        assert_eq!(representatives, expected, "host {n}");
    }
    let others = roster(1, 60, now).other_representatives();
    assert!(expected.iter().all(|host| others.contains(host)));
}

/// Guards against a dead or leaving host that stays representative; the next one in the ranking
/// replaces it.
#[test]
fn a_lost_representative_is_replaced() {
    let mut now = Instant::now();
    let mut roster = roster(0, 60, now);
    let first = roster.own_representatives(false, now)[0];
    let others = (0..60).filter(|n| address(*n) != first);
    let others: Vec<_> = others.collect();
    for n in &others {
        roster.record_report(address(*n), domain(*n), false, now);
    }
    // A host that reports that it is leaving is replaced at once.
    if first != address(0) {
        roster.record_report(first, domain(0), true, now);
    }
    let is_leaving = first == address(0);
    let representatives = roster.own_representatives(is_leaving, now);
    assert!(!representatives.contains(&first));
    assert_eq!(representatives.len(), REPRESENTATIVES);
    // A dead host stops reporting while the others go on.
    roster.record_report(first, domain(0), false, now);
    now += Duration::from_millis(1300);
    for n in others {
        roster.record_report(address(n), domain(n), false, now);
    }
    let representatives = roster.own_representatives(is_leaving, now);
    assert!(!representatives.contains(&first));
    assert_eq!(representatives.len(), REPRESENTATIVES);
}

/// Guards against hosts whose mentions of a dead host keep it known to each other forever.
#[test]
fn all_hosts_forget_a_dead_host() {
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
            let is_known = roster.report_targets().contains(&address(dead));
            assert!(
                !is_known,
                "host {n} of {hosts} still knows the dead host {dead}"
            );
        }
    }
}

/// Delivers one report of each host to all its targets.
fn exchange(rosters: &mut [(u16, Roster)], now: Instant) {
    let reports: Vec<_> = rosters
        .iter_mut()
        .map(|(n, roster)| {
            roster.expire(now);
            let targets: Vec<_> = roster
                .report_targets()
                .into_iter()
                .chain(roster.seeds_to_query(now))
                .collect();
            (*n, targets, roster.hosts_to_mention(now))
        })
        .collect();
    for (from, targets, hosts_to_mention) in reports {
        for (n, roster) in rosters.iter_mut() {
            if !targets.contains(&address(*n)) {
                continue;
            }
            roster.record_report(address(from), domain(from), false, now);
            for (listed_domain, hosts) in &hosts_to_mention {
                for host in hosts {
                    roster.record_mention(*host, listed_domain, listed_domain == domain(from), now);
                }
            }
        }
    }
}

/// Guards against hosts that know only the seeds at their start and never find the others.
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

/// Guards against a follower that stays with a representative that does not reach the store, and
/// against one that reads from the store although a representative would answer.
#[test]
fn a_follower_tries_all_representatives_before_the_store() {
    let mut representatives = Representatives::default();
    assert!(
        representatives.all_failed() && representatives.all_silent(),
        "a host without representatives reads from the store"
    );
    representatives.set(vec![address(1), address(2), address(3)]);
    assert_eq!(representatives.current(), Some(address(1)));
    representatives.record_failure(true);
    assert_eq!(representatives.current(), Some(address(2)));
    representatives.record_failure(true);
    assert!(!representatives.all_failed());
    representatives.record_success();
    // The host stays with the representative that answers when the others change.
    representatives.set(vec![address(4), address(3)]);
    assert_eq!(representatives.current(), Some(address(3)));
    representatives.record_failure(true);
    assert!(!representatives.all_failed());
    representatives.record_failure(true);
    assert!(representatives.all_failed() && representatives.all_silent());
    representatives.record_success();
    assert!(!representatives.all_failed());
}

/// Guards against a representative that is not probed, or one that is probed although it has just
/// failed, when a follower looks for another one.
#[test]
fn all_representatives_but_the_failed_one_are_probed() {
    let mut representatives = Representatives::default();
    assert_eq!(representatives.others(), []);
    representatives.set(vec![address(1), address(2), address(3)]);
    representatives.record_failure(true);
    assert_eq!(representatives.others(), [address(2), address(3)]);
    representatives.record_failure(true);
    assert_eq!(representatives.others(), [address(3), address(1)]);
    assert_eq!(representatives.preferred(), Some(address(1)));
}

/// Guards against a fleet whose hosts all call a store that is out of reach.
#[test]
fn representatives_without_the_store_are_not_silent() {
    let mut representatives = Representatives::default();
    representatives.set(vec![address(1), address(2)]);
    for _ in 0..10 {
        representatives.record_failure(true);
        representatives.record_failure(false);
        assert!(representatives.all_failed());
        assert!(!representatives.all_silent());
    }
}

/// Guards against calls to the store for revisions that arrived in the meantime, also in a series of
/// changes.
#[test]
fn only_a_revision_that_does_not_arrive_is_fetched() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut newer = Newer::default();
    for number in 0..20 {
        let now = number * 200;
        newer.record(address(1), number + 2, number + 1, at(now));
        assert_eq!(newer.due(at(now + 150)), None);
        newer.record_own(number + 2, at(now + 150));
        assert_eq!(newer.due(at(now + 400)), None);
    }
    newer.record(address(1), 30, 21, at(5000));
    newer.record(address(2), 31, 21, at(5200));
    newer.record_own(30, at(5250));
    newer.record_own(30, at(5400));
    assert_eq!(newer.due(at(5549)), None);
    assert_eq!(newer.due(at(5550)), Some((address(2), 31)));
    newer.clear();
    assert_eq!(newer.due(at(9000)), None);
}

/// Guards against a host that fetches from a peer which has ended, while another one that still
/// reports has the same revision.
#[test]
fn a_revision_is_fetched_from_the_last_peer_to_report_it() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut newer = Newer::default();
    newer.record(address(1), 2, 1, at(0));
    newer.record(address(2), 2, 1, at(100));
    newer.record(address(3), 1, 1, at(200));
    assert_eq!(newer.due(at(300)), Some((address(2), 2)));
}

/// Guards against hosts that all follow one representative of the fleet or of another failure
/// domain first, and against one that follows itself.
#[test]
fn the_first_representatives_are_followed_first() {
    let now = Instant::now();
    for own in 0..60 {
        let roster = roster(own, 60, now);
        let first = roster.own_representatives(false, now)[0];
        let to_follow = roster.representatives_to_follow(false, now);
        assert!(!to_follow.contains(&address(own)));
        if first != address(own) {
            assert_eq!(to_follow[0], first);
        }
        let others = roster.other_representatives();
        let position = |host: &SocketAddr| {
            to_follow
                .iter()
                .position(|address| address == host)
                .unwrap()
        };
        for pair in others.chunks(REPRESENTATIVES) {
            assert!(position(&pair[0]) < DOMAINS.len());
            assert!(position(&pair[1]) + 1 >= DOMAINS.len());
        }
    }
}

/// Guards against hosts that each call the store several times a second during an outage, and
/// against hosts that notice its return too late.
#[test]
fn retries_slow_down_during_an_outage() {
    let pauses: Vec<_> = (1..40).map(|n| retry_interval(n, true)).collect();
    assert!(pauses.is_sorted());
    assert!(pauses[0] <= Duration::from_millis(200));
    // Lapsed registrations stay in force for 2 s after the store returns.
    assert!(*pauses.last().unwrap() < Duration::from_secs(1));
    assert!(retry_interval(u32::MAX, false) > retry_interval(u32::MAX, true));
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
        version: "v1".into(),
    }
}

/// Guards, over random histories, against a follower whose engines differ from those that the host
/// that it follows has from the store, also after it missed changes, and against one that uses other
/// engines than that host.
#[test]
fn followers_match_the_host_they_follow() {
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let clock = Manual::default();
        let mut watcher = Registry::new(clock.clone(), "host-a".into(), "fd-a".into());
        let mut follower = Registry::new(clock.clone(), "host-b".into(), "fd-b".into());
        let mut position = None;
        for step in 0..400 {
            let id = format!("e{}", rng.random_range(0..8));
            let entry = Registration {
                address: format_compact!("{id}:1"),
                ..registration(&id, rng.random_range(1..5))
            };
            match rng.random_range(0..7) {
                0..3 => watcher.insert(entry),
                3 => watcher.remove(&id),
                4 => watcher.replace(vec![entry], rng.random_bool(0.5)),
                5 => {
                    clock.advance(Duration::from_millis(900));
                    watcher.expire_lapsed();
                }
                _ => {
                    let changes = watcher.changes_since(position);
                    position = Some(changes.at);
                    follower.apply_changes(changes, false);
                    let known = follower.registrations();
                    assert_eq!(known, watcher.registrations(), "seed {seed} step {step}");
                    for id in (0..8).map(|n| format!("e{n}")) {
                        let is_usable = |of: &Registry<_>| {
                            of.by_id(&id).is_some_and(|engine| of.is_usable(engine))
                        };
                        let is_kept = is_usable(&follower);
                        assert!(!is_kept || is_usable(&watcher), "seed {seed} step {step}");
                    }
                }
            }
            if rng.random_bool(0.01) {
                position = None;
            }
        }
    }
}

/// Guards against a report that changes when it is encoded and decoded, and against one of maximum
/// size that does not fit into a datagram.
#[test]
fn encoded_reports_fit_and_decode_unchanged() {
    let usages: Vec<_> = (0..387)
        .map(|n| {
            let load = Load {
                running: 64,
                reading: 40_000,
                memory: 55_000,
                read: Reading {
                    tokens: 120_000,
                    ms: 14_000,
                },
            };
            Usage::new(EngineHash::of(&format!("i-{n:08x}")), load)
        })
        .collect();
    let hosts: Vec<_> = (0..40).map(|n| address(n).ip()).collect();
    let retries: Vec<_> = (0..8)
        .map(|n| retry::Usage {
            service: retry::Service::of(&format!("service-{n}")),
            requests: 400,
            committed: 300,
        })
        .collect();
    let losses: Vec<_> = (0..40)
        .map(|n| Loss {
            engine: EngineHash::of(&format!("lost-{n}")),
            age_ms: 1400,
        })
        .collect();
    let parts: Vec<_> = (0..REPORTED_PARTS_MAX / 8)
        .map(|n| PartHash::of(&format!("part-{n}")))
        .collect();
    let evidence = Evidence {
        crashes: vec![
            Crash {
                engine: EngineHash::of("crashed"),
                domain: DomainHash::of("fd-a"),
                request: RequestHash::of(u64::MAX),
                parts: parts.clone(),
                certainty: Certainty::Certain,
                age_ms: 3000,
            };
            8
        ],
        passes: vec![
            Pass {
                part: parts[0],
                age_ms: 60_000,
            };
            8
        ],
        blocks: vec![
            Block {
                parts: parts.clone(),
                failed_trials: 3,
                age_ms: 900_000,
            };
            8
        ],
    };
    let counts = Counts {
        arrivals: vec![
            Arrivals {
                service: retry::Service::of("s"),
                class: Class::new(9, true, true),
                team: Team::of(Some("t")),
                count: 1000,
            };
            ENTRIES_MAX
        ],
        answers: vec![
            Answers {
                service: retry::Service::of("s"),
                engine: EngineHash::of("i-1"),
                answered: Answered::one(Duration::from_secs(60)),
            };
            ENTRIES_MAX
        ],
    };
    let sighting = Sighting {
        engine: EngineHash::of("i-1"),
        prefix: held::prefixes("model", [("part", 13_300)].into_iter())[0],
        age_ms: 30_000,
    };
    let now = Manual::default().now();
    let mut known = Rollouts::new(None, true);
    let services = ["some-service", "another-service", "third-service"];
    let entries = services.map(|service| {
        let order = Order {
            service: service.into(),
            to: "v123".into(),
            duration: Duration::from_secs(600),
            created: 1 << 30,
            era: 3,
        };
        Entry {
            order,
            lifecycle: None,
            revision: 1 << 30,
            document: CompactString::default(),
        }
    });
    known.set_entries(entries.into(), now);
    for service in services {
        for number in 0..60_000 {
            let version = ["v1", "v123"][number % 2];
            let route = Route::of(&format!("route-{}", number % 12));
            let time = Duration::from_secs_f64(0.004 * 1.41_f64.powi(number as i32 % 27));
            let engine = (EngineHash::of("i-1"), version);
            known.record_answer(service, engine, route, Answer::Begun(time), now);
        }
    }
    let rollouts = known.own(now);
    let summary = Summary {
        domain: "fd-a".into(),
        number: 1 << 41,
        process: 1 << 60,
        hosts: hosts.clone(),
        usages: usages.clone(),
        retrying_hosts: 40,
        retries: retries.clone(),
        counts: counts.clone(),
        losses: losses.clone(),
        evidence: evidence.clone(),
        sightings: vec![sighting; held::SUMMARIZED_MAX],
        rollouts: rollouts.clone(),
    };
    let stream = Stream {
        digest: u64::MAX,
        run: "9c41d07be2a35f68".into(),
        replica: Some(EngineHash::of("i-1")),
    };
    let empty = Report {
        number: 1 << 41,
        process: 1 << 60,
        domain: "fd-a".into(),
        revision: 5,
        is_leaving: false,
        is_question: false,
        hosts: BTreeMap::from([(CompactString::from("fd-a"), hosts)]),
        usages: Vec::new(),
        retries: Vec::new(),
        counts: Counts::default(),
        losses: Vec::new(),
        removals: vec![EngineHash::of("i-1"); REMOVALS_MAX],
        evidence: Evidence::default(),
        sightings: Vec::new(),
        rollouts: None,
        streams: Vec::new(),
        summaries: Vec::new(),
    };
    let reports = [
        Report {
            usages: usages[..100].to_vec(),
            retries,
            counts,
            losses,
            evidence,
            sightings: vec![sighting; held::REPORTED_MAX],
            rollouts,
            streams: vec![stream; 64],
            ..empty.clone()
        },
        Report {
            summaries: vec![summary],
            ..empty
        },
    ];
    let without = Report {
        evidence: Evidence::default(),
        ..reports[0].clone()
    };
    let evidence_bytes = reports[0].encode().unwrap().len() - without.encode().unwrap().len();
    assert!(evidence_bytes <= 1000, "{evidence_bytes} bytes");
    let without = Report {
        rollouts: None,
        ..reports[0].clone()
    };
    let rollout_bytes = reports[0].encode().unwrap().len() - without.encode().unwrap().len();
    assert!(rollout_bytes <= 2000, "{rollout_bytes} bytes");
    for report in reports {
        let bytes = report.encode().unwrap();
        assert!(bytes.len() <= BYTES_MAX, "{} bytes", bytes.len());
        assert_eq!(Report::decode(&bytes).unwrap(), report);
    }
}

/// Guards against a corrupted or foreign datagram that makes the process panic.
#[test]
fn corrupted_datagrams_do_not_panic() {
    let report = Report {
        number: 3,
        process: 9,
        domain: "fd-a".into(),
        revision: 5,
        is_leaving: true,
        is_question: true,
        hosts: BTreeMap::from([("fd-b".into(), vec![address(1).ip()])]),
        usages: vec![Usage::new(EngineHash::of("a"), Load::default())],
        retries: Vec::new(),
        counts: Counts::default(),
        losses: vec![Loss {
            engine: EngineHash::of("a"),
            age_ms: 3,
        }],
        removals: vec![EngineHash::of("a")],
        evidence: Evidence::default(),
        sightings: Vec::new(),
        rollouts: None,
        streams: Vec::new(),
        summaries: Vec::new(),
    };
    let bytes = report.encode().unwrap();
    let mut rng = StdRng::seed_from_u64(11);
    for _ in 0..20_000 {
        let mut corrupted = bytes.clone();
        let position = rng.random_range(0..corrupted.len());
        corrupted[position] ^= rng.random_range(1..=255);
        corrupted.truncate(rng.random_range(0..=bytes.len()));
        let _ = Report::decode(&corrupted);
        let mut random_bytes = vec![0; rng.random_range(0..64)];
        rng.fill_bytes(&mut random_bytes);
        let _ = Report::decode(&random_bytes);
    }
    assert_eq!(Report::decode(&bytes).unwrap(), report);
}

/// Guards against losses that follow each other and fill the link of a representative with summaries.
#[test]
fn summaries_leave_room_on_a_small_link() {
    // A round to 20 hosts about three failure domains and 126 engines, and a link of 10 Mbit/s.
    const ROUND_BYTES: usize = 100_000;
    const LINK_BYTES_PER_S: usize = 1_250_000;
    let clock = Manual::default();
    let mut schedule = Schedule::default();
    let mut rounds = 0;
    for _ in 0..20 {
        if schedule.is_due(true, clock.now()) {
            schedule.record(true, clock.now());
            rounds += 1;
        }
        clock.advance(Duration::from_millis(50));
    }
    assert!(rounds * ROUND_BYTES <= LINK_BYTES_PER_S, "{rounds} rounds");
    // News after a quiet time go at once, also just after a round without news.
    clock.advance(Duration::from_millis(200));
    schedule.record(false, clock.now());
    clock.advance(Duration::from_millis(50));
    assert!(!schedule.is_due(false, clock.now()));
    assert!(schedule.is_due(true, clock.now()));
}

/// Guards against a log line for each query while no representative can be followed.
#[test]
fn only_changes_of_the_followed_representative_are_reported() {
    let mut followed = Followed::default();
    let [first, second] = [address(1), address(2)];
    assert!(followed.record_success(first));
    assert!(!followed.record_success(first));
    assert_eq!(followed.record_failure(), Some(first));
    assert_eq!(followed.record_failure(), None);
    assert!(followed.record_success(second));
    assert!(followed.record_success(first));
}
