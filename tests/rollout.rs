//! Roll-outs as hosts decide them together, on a clock that the tests advance. Each case plays an order
//! of 12 s on four hosts with two routes.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::rollout::share;
use bilberrypost::rollout::{
    Answer, Engines, Entry, Lifecycle, Order, Outcome, Policy, Rollouts, Route, Rule,
};
use bilberrypost::route::load::EngineHash;
use bilberrypost::route::reports::Source;
use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const HOSTS: usize = 4;
const DURATION: Duration = Duration::from_secs(12);
const TICK: Duration = Duration::from_millis(100);
const REQUESTS_PER_TICK: usize = 10;
/// Engines of each version.
const ENGINES: usize = 6;
const IDS: [&str; ENGINES] = ["a", "b", "c", "d", "e", "f"];
const POLICY: Policy = Policy {
    ratio: 0.1,
    tolerance: 50.0,
};
/// Patience of the host that writes next if the first one does not.
const PATIENCE: Duration = Duration::from_millis(500);

/// Engines of both versions, of which the old ones have work.
const BUSY: Engines = Engines {
    has_new: true,
    has_idle_old: false,
};

/// No engine of the new version.
const NONE: Engines = Engines {
    has_new: false,
    ..BUSY
};

/// A request that the new version runs.
struct Trial {
    since: Duration,
    route: usize,
    engine: usize,
    // Requests that the engine runs at the same time, as part of those on an old engine.
    load: f64,
}

/// Returns whether the new version fails a request, and by which factor it is slower.
type Behavior = fn(&Trial, &mut StdRng) -> (bool, f64);

fn sound(_: &Trial, _: &mut StdRng) -> (bool, f64) {
    (false, 1.0)
}

fn fails_a_third(_: &Trial, random: &mut StdRng) -> (bool, f64) {
    (random.random_bool(0.33), 1.0)
}

fn fails_later(trial: &Trial, random: &mut StdRng) -> (bool, f64) {
    let is_late = trial.since > DURATION.mul_f64(0.4);
    (is_late && random.random_bool(0.5), 1.0)
}

fn fails_on_one_route(trial: &Trial, random: &mut StdRng) -> (bool, f64) {
    (trial.route == 1 && random.random_bool(0.5), 1.0)
}

fn fails_under_load(trial: &Trial, random: &mut StdRng) -> (bool, f64) {
    (trial.load > 0.5 && random.random_bool(0.5), 1.0)
}

fn fails_under_all_requests(trial: &Trial, random: &mut StdRng) -> (bool, f64) {
    (trial.load >= 1.0 && random.random_bool(0.5), 1.0)
}

fn slow(_: &Trial, random: &mut StdRng) -> (bool, f64) {
    let factor = if random.random_bool(0.4) { 5.0 } else { 1.0 };
    (false, factor)
}

/// What happens beside the order.
#[derive(Clone, Copy, Default)]
struct Events {
    /// A failure domain with a third of all engines crashes after half of the time.
    has_crash: bool,
    /// The store does not answer in this part of the time.
    store_away: (f64, f64),
    /// Hosts 0 and 1, of which host 0 writes first, are cut off from the others from this part of the
    /// time on.
    cut_off_at: Option<f64>,
    /// Host 0 never writes.
    is_writer_gone: bool,
}

/// What came of an order.
struct Played {
    trials: u32,
    requests: u32,
    // Trials later than the bound on a roll-back after the 50th bad answer.
    late_trials: u32,
    written: Vec<Lifecycle>,
}

fn entry(order: &Order, lifecycle: Option<Lifecycle>, revision: u64) -> Entry {
    Entry {
        order: order.clone(),
        lifecycle,
        revision,
        document: CompactString::default(),
    }
}

fn order(to: &str) -> Order {
    Order {
        service: "app".into(),
        to: to.into(),
        duration: DURATION,
        created: 1,
        era: 0,
    }
}

/// A store with one order, which accepts writes based on the current revision.
struct Store {
    current: Entry,
    written: Vec<Lifecycle>,
}

impl Store {
    fn write(&mut self, base: &Entry, lifecycle: Lifecycle) {
        if base.revision == self.current.revision {
            self.current = entry(&base.order, Some(lifecycle), base.revision + 1);
            self.written.push(lifecycle);
        }
    }
}

fn exchange_reports(hosts: &mut [Rollouts], now: Instant) {
    let reports: Vec<_> = hosts.iter_mut().map(|host| host.own(now)).collect();
    for (to, host) in hosts.iter_mut().enumerate() {
        for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
            let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, from as u8));
            host.record_report(Source::Host(ip), from as u64, report.clone(), now);
        }
    }
}

fn play(behavior: Behavior, events: Events, seed: u64) -> Played {
    let mut random = StdRng::seed_from_u64(seed);
    let clock = Manual::default();
    let began = clock.now();
    let mut hosts: Vec<_> = (0..HOSTS)
        .map(|_| Rollouts::new(Some(POLICY), true))
        .collect();
    let mut store = Store {
        current: entry(&order("v2"), None, 1),
        written: Vec::new(),
    };
    let mut played = Played {
        trials: 0,
        requests: 0,
        late_trials: 0,
        written: Vec::new(),
    };
    let (mut bad, mut bad_since) = (0, None);
    while clock.now() < began + DURATION + Duration::from_secs(3) {
        let now = clock.now();
        let since = now - began;
        let part = since.as_secs_f64() / DURATION.as_secs_f64();
        let is_away = (events.store_away.0..events.store_away.1).contains(&part);
        let is_cut_off = |host| host < 2 && events.cut_off_at.is_some_and(|at| part >= at);
        for (number, host) in hosts.iter_mut().enumerate() {
            if is_away || is_cut_off(number) {
                continue;
            }
            host.set_entries(vec![store.current.clone()], now);
            if number == 0 && events.is_writer_gone {
                continue;
            }
            let patience = PATIENCE * number as u32;
            for (base, lifecycle) in host.due_writes(patience, |_| BUSY, now) {
                store.write(&base, lifecycle);
            }
        }
        for request in 0..REQUESTS_PER_TICK {
            let number = request % HOSTS;
            let host = &mut hosts[number];
            let is_trial = host.draw("app", || random.random(), now);
            let version = match host.rule("app", now) {
                Some(Rule::Completed(to)) => to,
                _ if is_trial => "v2".into(),
                _ => "v1".into(),
            };
            let is_new = version == "v2";
            let share = match host.rule("app", now) {
                Some(Rule::Trial { share, .. }) => share,
                _ => 1.0,
            };
            let trial_engines = share::trial_engines(&IDS, ENGINES, share);
            let engine = match is_new {
                true => trial_engines[random.random_range(0..trial_engines.len())],
                false => random.random_range(0..ENGINES),
            };
            let route = usize::from(random.random_bool(0.3));
            let trial = Trial {
                since,
                route,
                engine,
                load: share * ENGINES as f64 / trial_engines.len() as f64,
            };
            let (has_failed, factor) = match is_new {
                true => behavior(&trial, &mut random),
                false => (random.random_bool(0.005), 1.0),
            };
            let is_crash = (0.5..0.52).contains(&part) && trial.engine < ENGINES / 3;
            let is_broken = events.has_crash && is_crash;
            let answer = match has_failed {
                _ if is_broken => Answer::Broken,
                true => Answer::Failed,
                false => {
                    let time = random.random_range(40.0..120.0) * factor;
                    Answer::Begun(Duration::from_secs_f64(time / 1000.0))
                }
            };
            let engine = EngineHash::of(&format!("{version}-{engine}"));
            let route = Route::of(["r-0", "r-1"][route]);
            host.record_answer("app", (engine, &version), route, answer, now);
            if since < DURATION {
                played.requests += 1;
                played.trials += u32::from(is_new);
            }
            bad += u32::from(is_new && (has_failed || is_broken || factor > 1.0));
            if bad >= 50 {
                let limit = *bad_since.get_or_insert(now) + Duration::from_secs(5);
                played.late_trials += u32::from(is_new && now > limit);
            }
        }
        match events.cut_off_at.is_some_and(|at| part >= at) {
            true => exchange_reports(&mut hosts[2..], now),
            false => exchange_reports(&mut hosts, now),
        }
        clock.advance(TICK);
    }
    played.written = store.written;
    played
}

/// Guards against a bad version that is completed or gets more requests than the bound, and against
/// a good one that is not completed in time.
#[test]
fn orders_end_as_the_version_deserves() {
    let calm = Events::default();
    let crash = Events {
        has_crash: true,
        ..calm
    };
    let away = Events {
        store_away: (0.3, 0.85),
        ..calm
    };
    let cut_off = Events {
        cut_off_at: Some(0.3),
        ..calm
    };
    let replaced = Events {
        is_writer_gone: true,
        ..calm
    };
    let (completed, reverted) = (Outcome::Completed, Outcome::Reverted);
    let cases: [(&str, Behavior, Events, Outcome); 15] = [
        ("good", sound, calm, completed),
        ("good, domain crashes", sound, crash, completed),
        ("good, store away", sound, away, completed),
        ("good, writer gone", sound, replaced, completed),
        ("bad at once", fails_a_third, calm, reverted),
        ("bad, domain crashes", fails_a_third, crash, reverted),
        ("bad, store away", fails_a_third, away, reverted),
        ("bad, writer gone", fails_a_third, replaced, reverted),
        ("bad, hosts cut off", fails_a_third, cut_off, reverted),
        ("bad later", fails_later, calm, reverted),
        ("bad later, hosts cut off", fails_later, cut_off, reverted),
        ("bad on one route", fails_on_one_route, calm, reverted),
        ("bad under load", fails_under_load, calm, reverted),
        ("bad under all", fails_under_all_requests, calm, reverted),
        ("slow", slow, calm, reverted),
    ];
    for (name, behavior, events, outcome) in cases {
        for seed in 0..20 {
            let played = play(behavior, events, seed);
            let expected = [Lifecycle::InProgress, Lifecycle::Ended(outcome)];
            assert_eq!(played.written, expected, "{name}, seed {seed}");
            if outcome == reverted {
                let limit = f64::from(played.requests) * POLICY.ratio + POLICY.tolerance;
                let trials = f64::from(played.trials);
                assert!(trials <= limit, "{name}, seed {seed}: {trials} trials");
                assert_eq!(played.late_trials, 0, "{name}, seed {seed}");
            }
        }
    }
}

/// Guards against an outcome that a restored store undoes, and against a host that takes an order
/// created anew for the one that has ended.
#[test]
fn outcomes_are_final() {
    let now = Manual::default().now();
    let mut host = Rollouts::new(Some(POLICY), false);
    let ended = Some(Lifecycle::Ended(Outcome::Reverted));
    host.set_entries(vec![entry(&order("v2"), ended, 9)], now);
    let restored = Order {
        era: 1,
        ..order("v2")
    };
    host.set_entries(vec![entry(&restored, None, 3)], now);
    assert_eq!(host.rule("app", now), Some(Rule::Reverted("v2".into())));
    let due = host.due_writes(Duration::ZERO, |_| BUSY, now);
    let states: Vec<_> = due.iter().map(|(_, lifecycle)| Some(*lifecycle)).collect();
    assert_eq!(states, [ended], "the outcome is written again");
    let again = Order {
        created: 12,
        ..restored
    };
    host.set_entries(vec![entry(&again, None, 12)], now);
    assert!(matches!(host.rule("app", now), Some(Rule::Trial { .. })));
}

/// Guards against a host that starts or is cut off and goes on with its share.
#[test]
fn hosts_without_contact_draw_no_trial() {
    let clock = Manual::default();
    let mut started = Rollouts::new(Some(POLICY), true);
    assert!(started.is_unknown());
    let mut other = Rollouts::new(Some(POLICY), true);
    let ended = Some(Lifecycle::Ended(Outcome::Reverted));
    other.set_entries(vec![entry(&order("v2"), ended, 9)], clock.now());
    let source = Source::Host(Ipv4Addr::LOCALHOST.into());
    started.record_report(source.clone(), 1, other.own(clock.now()), clock.now());
    assert!(!started.is_unknown());
    let rule = started.rule("app", clock.now());
    assert_eq!(rule, Some(Rule::Reverted("v2".into())));

    let mut host = Rollouts::new(Some(POLICY), true);
    host.set_entries(vec![entry(&order("v2"), None, 1)], clock.now());
    assert!(
        !host.draw("app", || 0.0, clock.now()),
        "it has heard nobody"
    );
    host.record_report(source, 1, None, clock.now());
    assert!(host.draw("app", || 0.0, clock.now()));
    clock.advance(Duration::from_secs(3));
    assert!(!host.draw("app", || 0.0, clock.now()), "it is cut off");
}

/// Guards against an order that is completed without evidence or engines.
#[test]
fn orders_without_evidence_are_reverted() {
    let clock = Manual::default();
    let mut host = Rollouts::new(Some(POLICY), false);
    let started = Some(Lifecycle::InProgress);
    host.set_entries(vec![entry(&order("v2"), started, 1)], clock.now());
    let mut due = |after| {
        clock.advance(after);
        host.due_writes(Duration::ZERO, |_| NONE, clock.now())
    };
    assert!(due(DURATION.mul_f64(0.75)).is_empty());
    let due = due(DURATION.mul_f64(0.1));
    assert_eq!(due[0].1, Lifecycle::Ended(Outcome::Reverted));
}
