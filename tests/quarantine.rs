//! Parts of prompts that crash engines, as hosts recognize them, on a clock that the tests advance.

use std::time::{Duration, Instant};

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::route::evidence::{Block, Certainty, DomainHash, Evidence};
use bilberrypost::route::load::EngineHash;
use bilberrypost::route::losses::Finder;
use bilberrypost::route::prompt::{PartHash, Prompt};
use bilberrypost::route::quarantine::{
    BLOCKED_FOR_MAX, BLOCKED_FOR_MIN, Cause, EVENTS_MIN, FAILED_TRIAL_FACTOR, Quarantine,
    REPORTED_PARTS_MAX,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Delay of a report between two hosts.
const REPORT_DELAY: Duration = Duration::from_millis(80);

/// Request `number` with these parts and a last one of its own.
fn prompt(number: u64, parts: &[&str]) -> Prompt {
    let own = format!("own-{number}");
    Prompt::new(number, parts.iter().copied().chain([own.as_str()]))
}

/// Hosts that report to each other, directly or through a representative.
struct Fleet {
    clock: Manual,
    hosts: Vec<Quarantine>,
    engines: u64,
}

impl Fleet {
    fn new(hosts: u64) -> Self {
        Self {
            clock: Manual::default(),
            hosts: (0..hosts).map(Quarantine::new).collect(),
            engines: 0,
        }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn crash(&mut self, host: usize, domain: &str, prompt: &Prompt) {
        self.end(host, domain, prompt, Certainty::Certain);
    }

    fn end(&mut self, host: usize, domain: &str, prompt: &Prompt, certainty: Certainty) {
        self.engines += 1;
        let engine = EngineHash::of(&format!("i-{}", self.engines));
        let now = self.now();
        let domain = DomainHash::of(domain);
        self.hosts[host].record_crash(engine, domain, prompt, certainty, now);
    }

    fn pass(&mut self, host: usize, prompt: &Prompt) {
        let now = self.now();
        self.hosts[host].record_pass(prompt, now);
    }

    /// Lets every host report to every other, and to those of other domains by a summary.
    fn report(&mut self) {
        let now = self.now();
        let reports: Vec<Evidence> = self.hosts.iter().map(|host| host.own(now)).collect();
        self.clock.advance(REPORT_DELAY);
        let now = self.now();
        for (from, report) in reports.iter().enumerate() {
            for (to, host) in self.hosts.iter_mut().enumerate() {
                if from != to {
                    host.merge(report, Finder::Peer, now);
                }
            }
        }
        for host in &mut self.hosts {
            host.expire(now);
        }
    }

    fn refusing(&self, prompt: &Prompt) -> usize {
        let now = self.now();
        let hosts = self.hosts.iter();
        hosts
            .filter(|host| host.check(prompt, now).is_some())
            .count()
    }
}

/// Guards against a part that crashes an engine at one host after the other while none of them sees
/// enough, as in a large fleet.
#[test]
fn hosts_that_see_one_crash_each_block_the_part_together() {
    let mut fleet = Fleet::new(195);
    for host in 0..EVENTS_MIN {
        assert_eq!(fleet.refusing(&prompt(900, &["p", "s"])), 0);
        fleet.crash(host, "fd", &prompt(host as u64, &["p", "s"]));
        fleet.clock.advance(Duration::from_secs(1));
        fleet.report();
    }
    assert_eq!(fleet.refusing(&prompt(900, &["p", "s"])), 195);
}

/// Guards against a sound part that is refused because all requests that crashed engines had it too.
#[test]
fn a_part_that_was_merely_there_is_not_blocked() {
    let mut fleet = Fleet::new(4);
    for number in 0..6 {
        fleet.crash(number as usize % 4, "fd", &prompt(number, &["s", "p"]));
        fleet.clock.advance(Duration::from_secs(1));
        fleet.report();
    }
    assert_eq!(fleet.refusing(&prompt(900, &["s", "p"])), 4);
    assert_eq!(fleet.refusing(&prompt(901, &["s"])), 0);
    assert_eq!(fleet.refusing(&prompt(902, &["s", "q"])), 0);
    // Shows which of the two it was, so the other need not be there.
    fleet.pass(1, &prompt(901, &["s"]));
    fleet.report();
    assert_eq!(fleet.refusing(&prompt(903, &["p"])), 4);
    assert_eq!(fleet.refusing(&prompt(904, &["r", "p"])), 4);
    assert_eq!(fleet.refusing(&prompt(905, &["s", "q"])), 0);
}

/// Guards against a part that goes on to crash engines in other company than in its first crashes.
#[test]
fn a_part_is_found_in_changing_company() {
    let mut fleet = Fleet::new(3);
    for number in 0..3 {
        let company = format!("c-{number}");
        fleet.crash(
            number as usize,
            "fd",
            &prompt(number, &["s", "p", &company]),
        );
        fleet.clock.advance(Duration::from_secs(1));
        fleet.report();
    }
    assert_eq!(fleet.refusing(&prompt(900, &["s", "p", "x"])), 3);
    assert_eq!(fleet.refusing(&prompt(901, &["p"])), 0);
    for number in 10..12 {
        fleet.crash(0, "fd", &prompt(number, &["t", "p"]));
        fleet.clock.advance(Duration::from_secs(1));
        fleet.report();
    }
    assert_eq!(fleet.refusing(&prompt(901, &["p"])), 3);
    assert_eq!(fleet.refusing(&prompt(902, &["s"])), 0);
}

/// Guards against one request that is retried until it has crashed as many engines as its route has
/// attempts, also when its caller sends it again at another host.
#[test]
fn one_request_crashes_two_engines_at_most() {
    let mut fleet = Fleet::new(2);
    let request = prompt(7, &["p", "s"]);
    fleet.crash(0, "fd-a", &request);
    assert_eq!(fleet.refusing(&request), 0);
    fleet.crash(0, "fd-b", &request);
    fleet.report();
    assert_eq!(fleet.refusing(&request), 2);
    let blocked = fleet.hosts[1].check(&request, fleet.now()).unwrap();
    assert_eq!(blocked.cause, Cause::Request);
    // Its parts are not held against other requests.
    assert_eq!(fleet.refusing(&prompt(8, &["p", "s"])), 0);
}

/// Guards against a sound request that is refused because it began on two engines that crashed for
/// other reasons, although all its parts have been answered since.
#[test]
fn a_request_of_parts_that_passed_is_not_refused() {
    let mut fleet = Fleet::new(2);
    let request = prompt(7, &["s", "t"]);
    fleet.crash(0, "fd-a", &request);
    fleet.clock.advance(Duration::from_secs(1));
    fleet.crash(0, "fd-b", &request);
    fleet.report();
    assert_eq!(fleet.refusing(&request), 2);
    fleet.pass(1, &prompt(8, &["s"]));
    fleet.report();
    assert_eq!(fleet.refusing(&request), 2);
    fleet.pass(0, &prompt(9, &["t"]));
    fleet.report();
    fleet.report();
    assert_eq!(fleet.refusing(&request), 0);
}

/// Guards against a failure domain that crashes with many requests at their beginning and counts as
/// many crashes.
#[test]
fn engines_that_end_together_count_once() {
    let mut fleet = Fleet::new(3);
    for round in 0..2 {
        for number in 0..20 {
            fleet.crash(
                number as usize % 3,
                "fd",
                &prompt(round * 100 + number, &["s"]),
            );
            fleet.clock.advance(Duration::from_millis(10));
        }
        fleet.report();
        fleet.clock.advance(Duration::from_secs(6));
    }
    assert_eq!(fleet.refusing(&prompt(900, &["s"])), 0);
}

/// Guards against sound requests that are refused because engines of whole failure domains crash
/// every few seconds while a tenth of all requests is at the beginning.
#[test]
fn crashes_of_domains_block_no_part_in_use() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut fleet = Fleet::new(6);
    let mut number = 0;
    for step in 0..2000_u32 {
        fleet.clock.advance(Duration::from_millis(50));
        let parts = [
            "common".to_owned(),
            format!("s-{}", rng.random_range(0..40)),
        ];
        let parts: Vec<_> = parts.iter().map(String::as_str).collect();
        number += 1;
        let request = prompt(number, &parts);
        assert_eq!(fleet.refusing(&request), 0, "step {step}");
        let host = rng.random_range(0..6);
        match step % 120 {
            0..=4 => fleet.crash(host, ["a", "b", "c"][step as usize / 120 % 3], &request),
            _ if rng.random_bool(0.9) => fleet.pass(host, &request),
            _ => {}
        }
        if step % 10 == 0 {
            fleet.report();
        }
    }
}

/// Guards against sound parts that are blocked as connections to all failure domains are reset every few
/// seconds, which breaks most requests that wait for the head of their response.
#[test]
fn resets_of_all_connections_block_no_part_in_use() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut fleet = Fleet::new(6);
    for step in 0..2000_u32 {
        fleet.clock.advance(Duration::from_millis(50));
        let session = format!("s-{}", rng.random_range(0..40));
        let request = prompt(step.into(), &["common", &session]);
        assert_eq!(fleet.refusing(&request), 0, "step {step}");
        let host = rng.random_range(0..6);
        if step % 80 == 0 {
            for waiting in 0..30 {
                let domain = ["a", "b", "c"][waiting % 3];
                let number = u64::from(step) * 100 + waiting as u64;
                let session = format!("s-{}", rng.random_range(0..40));
                let broken = prompt(number, &["common", &session]);
                fleet.end(host, domain, &broken, Certainty::Possible);
            }
        } else if rng.random_bool(0.9) {
            fleet.pass(host, &request);
        }
        if step % 10 == 0 {
            fleet.report();
        }
    }
}

/// Guards against possible crashes that other hosts do not hear of, since a report has no room for all the
/// requests that merely waited at the same engine and go on at others.
#[test]
fn possible_crashes_are_enough_after_the_fifth() {
    let mut fleet = Fleet::new(6);
    for crash in 0..5_u64 {
        let host = crash as usize % 6;
        let waiting: Vec<_> = (0..60)
            .map(|n| prompt(1000 + crash * 100 + n, &["s", &format!("s-{crash}-{n}")]))
            .collect();
        let bad = prompt(crash, &["s", "p"]);
        for request in std::iter::once(&bad).chain(&waiting) {
            fleet.end(host, "fd", request, Certainty::Possible);
        }
        fleet.report();
        for request in &waiting {
            fleet.pass(host, request);
        }
        for _ in 0..4 {
            fleet.clock.advance(Duration::from_millis(200));
            fleet.report();
        }
    }
    assert_eq!(fleet.refusing(&prompt(900, &["s", "p"])), 6);
    assert_eq!(fleet.refusing(&prompt(901, &["s"])), 0);
}

/// Guards against a block that is never lifted, or lifted at all hosts in the same moment.
#[test]
fn a_block_fades_and_one_request_tries() {
    let mut fleet = Fleet::new(20);
    let bad = |number| prompt(number, &["p"]);
    for number in 0..3 {
        fleet.crash(number as usize, "fd", &bad(number));
        fleet.clock.advance(Duration::from_secs(1));
        fleet.report();
    }
    // Reports that repeat a block must not renew it.
    let until = fleet.now() + BLOCKED_FOR_MIN - Duration::from_secs(2);
    while fleet.now() < until {
        fleet.report();
        fleet.clock.advance(Duration::from_millis(420));
        assert_eq!(fleet.refusing(&bad(900)), 20);
    }
    while fleet.refusing(&bad(900)) == 20 {
        fleet.report();
        fleet.clock.advance(Duration::from_millis(420));
    }
    assert!(fleet.refusing(&bad(900)) >= 15);
    let now = fleet.now();
    let host = |fleet: &Fleet| {
        let mut hosts = fleet.hosts.iter();
        hosts.position(|host| host.check(&bad(900), now).is_none())
    };
    let first = host(&fleet).unwrap();
    assert_eq!(fleet.hosts[first].admit(&bad(901), now), None);
    assert!(fleet.hosts[first].admit(&bad(902), now).is_some());
    // The trial crashes an engine: all hosts refuse again.
    fleet.crash(first, "fd", &bad(901));
    fleet.report();
    assert_eq!(fleet.refusing(&bad(903)), 20);
    fleet.clock.advance(BLOCKED_FOR_MAX);
    assert_eq!(fleet.refusing(&bad(903)), 20);
    fleet
        .clock
        .advance(BLOCKED_FOR_MAX * (FAILED_TRIAL_FACTOR - 1));
    assert_eq!(fleet.refusing(&bad(903)), 0);
    // The next trial passes.
    let now = fleet.now();
    assert_eq!(fleet.hosts[4].admit(&bad(904), now), None);
    fleet.pass(4, &bad(904));
    fleet.report();
    let now = fleet.now();
    for host in &mut fleet.hosts {
        assert_eq!(host.admit(&bad(905), now), None);
        assert_eq!(host.admit(&bad(906), now), None);
    }
}

/// Guards against a restarted host that sends requests with a part that all others block.
#[test]
fn a_restarted_host_learns_the_blocks() {
    let mut fleet = Fleet::new(5);
    for number in 0..3 {
        fleet.crash(number as usize, "fd", &prompt(number, &["p", "s"]));
        fleet.clock.advance(Duration::from_secs(1));
        fleet.report();
    }
    fleet.clock.advance(Duration::from_secs(20));
    fleet.hosts[2] = Quarantine::new(77);
    assert_eq!(fleet.refusing(&prompt(900, &["p", "s"])), 4);
    fleet.report();
    assert_eq!(fleet.refusing(&prompt(900, &["p", "s"])), 5);
}

/// Guards against a block that a host with too little knowledge draws and the others take over,
/// although they know better.
#[test]
fn a_wrong_block_is_withdrawn() {
    let mut fleet = Fleet::new(4);
    fleet.pass(1, &prompt(1, &["s"]));
    for number in 10..13 {
        fleet.crash(0, "fd", &prompt(number, &["s"]));
        fleet.clock.advance(Duration::from_secs(4));
    }
    fleet.pass(2, &prompt(2, &["s"]));
    assert_eq!(fleet.refusing(&prompt(900, &["s"])), 1);
    fleet.report();
    fleet.report();
    assert_eq!(fleet.refusing(&prompt(900, &["s"])), 0);
}

/// Guards against lost, repeated and late reports that count a crash twice or lose it.
#[test]
fn reports_may_be_lost_repeated_and_late() {
    let clock = Manual::default();
    let (mut sender, mut receiver) = (Quarantine::new(1), Quarantine::new(2));
    let domain = DomainHash::of("fd");
    let mut late = Vec::new();
    for number in 0..2 {
        let engine = EngineHash::of(&format!("i-{number}"));
        sender.record_crash(
            engine,
            domain,
            &prompt(number, &["p"]),
            Certainty::Certain,
            clock.now(),
        );
        clock.advance(Duration::from_millis(700));
        late.push(sender.own(clock.now()));
    }
    for _ in 0..5 {
        clock.advance(Duration::from_millis(1300));
        for report in &late {
            receiver.merge(report, Finder::Peer, clock.now());
        }
    }
    assert_eq!(receiver.check(&prompt(900, &["p"]), clock.now()), None);
    let engine = EngineHash::of("i-9");
    sender.record_crash(
        engine,
        domain,
        &prompt(9, &["p"]),
        Certainty::Certain,
        clock.now(),
    );
    let report = sender.own(clock.now());
    receiver.merge(&report, Finder::Remote, clock.now());
    assert!(receiver.check(&prompt(900, &["p"]), clock.now()).is_some());
}

/// Guards against memory and reports that grow with the number of distinct parts, at the rates of
/// a host of the design's size and far beyond.
#[test]
fn evidence_stays_bounded() {
    let clock = Manual::default();
    let mut quarantine = Quarantine::new(1);
    for number in 0..30_000_u64 {
        let parts = [format!("a-{number}"), format!("b-{}", number / 2)];
        let parts: Vec<_> = parts.iter().map(String::as_str).collect();
        let request = prompt(number, &parts);
        match number % 3 {
            0 => {
                let engine = EngineHash::of(&format!("i-{number}"));
                quarantine.record_crash(
                    engine,
                    DomainHash::of("fd"),
                    &request,
                    Certainty::Certain,
                    clock.now(),
                );
            }
            _ => drop(quarantine.record_pass(&request, clock.now())),
        }
        clock.advance(Duration::from_millis(5));
    }
    let (crashes, passes, blocks) = quarantine.sizes();
    assert!(crashes <= 256 && passes <= 8192 && blocks <= 64);
    let report = quarantine.joint(clock.now());
    assert!(report.crashes.len() <= 8 && report.passes.len() <= 8 && report.blocks.len() <= 8);
    assert!(!report.crashes.is_empty());
}

/// Guards against the last part of a prompt, which belongs to one request or session, as a cause.
#[test]
fn the_last_part_is_no_candidate() {
    let request = Prompt::new(1, ["a", "b", "own"].into_iter());
    assert_eq!(request.parts, vec![PartHash::of("a"), PartHash::of("b")]);
    assert_eq!(Prompt::new(2, ["own"].into_iter()).parts, vec![]);
}

/// Guards against evidence that representatives do not pass on between failure domains, and against
/// summaries that return to where they came from.
#[test]
fn summaries_carry_the_evidence_of_a_failure_domain() {
    let clock = Manual::default();
    let mut hosts: Vec<_> = (0..4).map(Quarantine::new).collect();
    let domain = DomainHash::of("fd");
    for number in 0..3 {
        let engine = EngineHash::of(&format!("i-{number}"));
        let request = prompt(number, &["p", "s"]);
        hosts[0].record_crash(engine, domain, &request, Certainty::Certain, clock.now());
        clock.advance(Duration::from_millis(600));
    }
    // Host 0 reports to its representative 1, which sends a summary to 2, which forwards it to 3.
    let before = hosts[1].versions();
    let report = hosts[0].own(clock.now());
    hosts[1].merge(&report, Finder::Peer, clock.now());
    assert_eq!(hosts[1].versions().0, before.0);
    assert!(hosts[1].versions().1 > before.1);
    assert!(hosts[1].own(clock.now()).crashes.is_empty());
    let summary = hosts[1].joint(clock.now());
    assert_eq!(summary.crashes.len(), 3);
    for number in [2, 3] {
        hosts[number].merge(&summary, Finder::Remote, clock.now());
        let blocked = hosts[number].check(&prompt(900, &["p", "s"]), clock.now());
        assert!(blocked.is_some());
        assert!(hosts[number].joint(clock.now()).crashes.is_empty());
        assert_eq!(hosts[number].versions().1, 0);
    }
    // A pass in the other domain comes back the same way.
    clock.advance(Duration::from_millis(100));
    hosts[3].record_pass(&prompt(901, &["s"]), clock.now());
    let report = hosts[3].own(clock.now());
    hosts[2].merge(&report, Finder::Peer, clock.now());
    let summary = hosts[2].joint(clock.now());
    hosts[1].merge(&summary, Finder::Remote, clock.now());
    for host in &hosts[1..] {
        assert!(host.check(&prompt(902, &["p"]), clock.now()).is_some());
        assert!(host.check(&prompt(903, &["s"]), clock.now()).is_none());
    }
}

/// Guards against a sound request that is refused since it began on two engines that the bad part of other
/// requests ended, although that part is blocked now.
#[test]
fn a_request_is_not_blamed_for_ends_that_a_block_explains() {
    let mut fleet = Fleet::new(3);
    let sound = prompt(500, &["s", "t"]);
    for number in 0..3 {
        fleet.crash(0, "fd", &prompt(number, &["p"]));
        if number < 2 {
            // It began on the same engine.
            fleet.engines -= 1;
            fleet.crash(1, "fd", &sound);
        }
        fleet.clock.advance(Duration::from_secs(1));
        fleet.report();
    }
    assert_eq!(fleet.refusing(&prompt(900, &["p"])), 3);
    assert_eq!(fleet.refusing(&sound), 0);
}

/// Guards against a host that was cut off while a part became known, and lets requests with it through
/// since it answered some before.
#[test]
fn a_host_that_missed_crashes_learns_the_block_of_a_part_that_once_passed() {
    // With the first pause it still hears of the last crash.
    for pause in [Duration::ZERO, Duration::from_secs(4)] {
        let mut fleet = Fleet::new(4);
        fleet.pass(3, &prompt(1, &["s", "p"]));
        fleet.clock.advance(Duration::from_secs(5));
        let cut_off = fleet.hosts.pop().unwrap();
        for number in 10..13 {
            fleet.clock.advance(Duration::from_secs(4));
            fleet.crash(0, "fd", &prompt(number, &["s", "p"]));
            fleet.report();
        }
        fleet.clock.advance(pause);
        fleet.report();
        fleet.hosts.push(cut_off);
        assert_eq!(fleet.refusing(&prompt(900, &["s", "p"])), 3);
        fleet.report();
        assert_eq!(fleet.refusing(&prompt(900, &["s", "p"])), 4, "{pause:?}");
    }
}

/// Guards against a bad part that is not noticed since many others follow it in the prompt.
#[test]
fn a_bad_part_at_the_beginning_of_a_long_prompt_is_found() {
    let mut fleet = Fleet::new(2);
    let request = |number: u64| {
        let own: Vec<_> = (0..20).map(|n| format!("c-{number}-{n}")).collect();
        let parts = std::iter::once("p").chain(own.iter().map(String::as_str));
        prompt(number, &parts.collect::<Vec<_>>())
    };
    for number in 0..4 {
        fleet.crash(0, "fd", &request(number));
        fleet.clock.advance(Duration::from_secs(1));
        fleet.report();
    }
    assert_eq!(fleet.refusing(&request(900)), 2);
    let report = fleet.hosts[0].joint(fleet.now());
    let parts: usize = report.crashes.iter().map(|crash| crash.parts.len()).sum();
    assert!(
        (1..=REPORTED_PARTS_MAX).contains(&parts),
        "{parts} parts in a report"
    );
}

/// Guards against engines that a part which stays bad ends without limit, one for each trial.
#[test]
fn trials_of_a_part_that_stays_bad_become_rarer() {
    let mut fleet = Fleet::new(20);
    let mut crashes = 0;
    let started = fleet.now();
    let mut number = 0;
    while fleet.now() - started < Duration::from_secs(3600) {
        number += 1;
        let host = number as usize % 20;
        let request = prompt(number, &["p"]);
        let now = fleet.now();
        if fleet.hosts[host].admit(&request, now).is_none() {
            fleet.crash(host, "fd", &request);
            crashes += 1;
        }
        fleet.clock.advance(Duration::from_millis(920));
        fleet.report();
    }
    assert!(crashes <= 6, "{crashes} engines ended in an hour");
}

/// Guards against a part that ends more than three engines in the day after it became known, with hosts
/// that are restarted after each failed trial and know of none.
#[test]
fn a_part_that_stays_bad_fails_three_trials_a_day() {
    let mut fleet = Fleet::new(6);
    for number in 0..EVENTS_MIN {
        fleet.crash(0, "fd", &prompt(number as u64, &["p"]));
        fleet.clock.advance(Duration::from_secs(1));
        fleet.report();
    }
    let known_at = fleet.now();
    let mut failed = 0;
    let mut number = 100;
    while fleet.now() - known_at < Duration::from_secs(24 * 3600) {
        for host in 0..6 {
            number += 1;
            let request = prompt(number, &["p"]);
            let now = fleet.now();
            if fleet.hosts[host].admit(&request, now).is_none() {
                fleet.crash(host, "fd", &request);
                failed += 1;
                fleet.report();
                fleet.hosts[(host + 3) % 6] = Quarantine::new(number);
                fleet.report();
            }
        }
        fleet.clock.advance(Duration::from_secs(10));
        fleet.report();
    }
    assert!(failed <= 3, "{failed} engines ended in a day");
}

/// Guards against sound requests that are refused as several bad parts come in the company of one of
/// theirs.
#[test]
fn a_sound_part_in_the_company_of_two_bad_ones_is_served() {
    let mut fleet = Fleet::new(3);
    for number in 0..12 {
        let bad = ["p", "q"][number as usize % 2];
        let request = prompt(number, &["s", bad]);
        if fleet.refusing(&request) == 0 {
            fleet.crash(number as usize % 3, "fd", &request);
        }
        fleet.clock.advance(Duration::from_millis(700));
        fleet.report();
    }
    assert_eq!(fleet.refusing(&prompt(900, &["s", "p"])), 3);
    assert_eq!(fleet.refusing(&prompt(900, &["s", "q"])), 3);
    assert_eq!(fleet.refusing(&prompt(901, &["s"])), 0);
}

/// Guards against a reported number of failed trials that overflows at the next one, which would end a
/// long block early.
#[test]
fn any_number_of_failed_trials_may_be_reported() {
    let mut fleet = Fleet::new(1);
    fleet.clock.advance(Duration::from_secs(3600));
    let bad = prompt(1, &["bad"]);
    let block = Block {
        parts: vec![PartHash::of("bad")],
        failed_trials: u32::MAX,
        age_ms: 3_600_000,
    };
    let report = Evidence {
        blocks: vec![block],
        ..Evidence::default()
    };
    let now = fleet.now();
    fleet.hosts[0].merge(&report, Finder::Peer, now);
    fleet.crash(0, "fd-a", &bad);
    let blocks = fleet.hosts[0].own(now).blocks;
    assert_eq!(blocks[0].failed_trials, u32::MAX);
}
