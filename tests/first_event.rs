//! Placing by the time until the first event: the decision under a table of loads, and a simulation of
//! many hosts beside simpler decisions.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bilberrypost::clock::{Clock, Manual};
use bilberrypost::route::first_event::{Candidate, choose};
use bilberrypost::route::held::{Prefix, Sighting, prefixes};
use bilberrypost::route::load::{EngineHash, Footprint, Load, Usage};
use bilberrypost::route::placing::Policy;
use bilberrypost::route::registry::{Engine, Need, Registration, Registry, Versions};
use bilberrypost::route::reports::Source;
use rand::rngs::StdRng;
use rand::{Rng, RngCore, SeedableRng};
use slotmap::SlotMap;
use support::engines::{self, registration};

/// A prompt of a shared part and a part of its own.
const PROMPT: Footprint = Footprint {
    prompt: 6000,
    output: 500,
    held: 0,
};

const MEMORY_TOKENS: u32 = 50_000;

fn prompt(shared: &str, own: &str) -> Vec<Prefix> {
    prefixes("m", [(shared, 5000), (own, 1000)].into_iter())
}

fn need(prompt: &[Prefix]) -> Need<'_> {
    Need {
        service: "model",
        footprint: PROMPT,
        memory_tokens: MEMORY_TOKENS,
        prompt,
        excluded: &[],
        versions: Versions::Any,
    }
}

/// Returns the registry of a host that places by the first event, and knows two engines in its own
/// failure domain.
fn two_engines(clock: &Manual) -> Registry<Manual> {
    engines::registry(clock, &[("a", "fd-a"), ("b", "fd-a")]).with_policy(Policy::FirstEvent)
}

/// Two engines in the own failure domain; `a` has read the shared part `hot` at the usual speed.
fn after_a_read(clock: &Manual) -> (Registry<Manual>, Engine, Engine) {
    let mut registry = two_engines(clock);
    let (a, b) = (registry.by_id("a").unwrap(), registry.by_id("b").unwrap());
    let sent_at = clock.now();
    clock.advance(Duration::from_millis(1230));
    registry.record_reading(a, &prompt("hot", "first"), PROMPT, 0, sent_at);
    (registry, a, b)
}

/// Returns a report of another host, which puts this load on each engine: running requests, tokens to
/// read and tokens in memory.
fn report(registry: &mut Registry<Manual>, loads: &[(&str, (u64, u64, u64))]) {
    let usages = loads.iter().map(|(id, (running, reading, memory))| {
        let load = Load {
            running: *running,
            reading: *reading,
            memory: *memory,
            ..Load::default()
        };
        Usage::new(EngineHash::of(id), load)
    });
    let host = Source::Host("127.0.0.2".parse().unwrap());
    registry.set_report(host, 1, usages.collect());
}

fn held(registry: &Registry<Manual>, id: &str) -> u32 {
    let prompt = prompt("hot", "other");
    let engine = registry.by_id(id).unwrap();
    registry.estimate(engine, &need(&prompt)).unwrap().held
}

/// Returns how many of 200 choices fall on `engine`.
fn times_chosen(registry: &Registry<Manual>, shared: &str, engine: Engine) -> usize {
    let prompt = prompt(shared, "other");
    let choices = (0..200).map(|_| registry.choose(&need(&prompt)).unwrap());
    choices.filter(|chosen| *chosen == engine).count()
}

/// Guards against a held part that is ignored while its engine has time and room, and against one
/// that draws requests to an engine that is busy, full or lost.
#[test]
fn what_is_held_is_weighed_against_the_wait() {
    /// Load of `a` and of `b`: running requests, tokens to read, tokens in memory.
    type Loads = [(u64, u64, u64); 2];
    const IDLE: (u64, u64, u64) = (0, 0, 0);
    const FULL: (u64, u64, u64) = (4, 6000, 49_000);
    const MANY: std::ops::RangeInclusive<usize> = 180..=200;
    const FEW: std::ops::RangeInclusive<usize> = 0..=20;
    let table: [(&str, &str, Loads, _); 6] = [
        ("idle", "hot", [IDLE, IDLE], MANY),
        ("another part", "cold", [IDLE, IDLE], 50..=150),
        ("a short queue", "hot", [(1, 1000, 7500), IDLE], MANY),
        ("one hot part", "hot", [(2, 30_000, 36_000), IDLE], FEW),
        (
            "no room for the request",
            "hot",
            [(3, 0, 45_000), IDLE],
            FEW,
        ),
        ("all engines full", "hot", [FULL, FULL], MANY),
    ];
    for (case, shared, loads, expected) in table {
        let clock = Manual::default();
        let (mut registry, a, _) = after_a_read(&clock);
        report(&mut registry, &[("a", loads[0]), ("b", loads[1])]);
        let times = times_chosen(&registry, shared, a);
        assert!(expected.contains(&times), "{case}: {times} of 200");
    }
}

/// Guards against beliefs that outlive the engine that they are about, its memory or their time.
#[test]
fn beliefs_end_with_the_engine_and_its_memory() {
    let clock = Manual::default();
    let (mut registry, a, _) = after_a_read(&clock);
    assert_eq!(held(&registry, "a"), 5000);
    let sightings = registry.own_sightings();

    // Many other prompts pass through its memory.
    for number in 0..20 {
        let sent_at = clock.now();
        clock.advance(Duration::from_millis(200));
        let other = prompt(&format!("part-{number}"), "own");
        registry.record_reading(a, &other, PROMPT, 0, sent_at);
    }
    assert_eq!(held(&registry, "a"), 0);

    // A restart under the same id.
    let (mut registry, _, _) = after_a_read(&clock);
    registry.insert(Registration {
        started_ms: 2,
        ..registration("a", "fd-a")
    });
    assert_eq!(held(&registry, "a"), 0);

    // A report about the time before the restart.
    clock.advance(Duration::from_millis(100));
    let late: Vec<_> = sightings
        .iter()
        .map(|sighting| Sighting {
            age_ms: 500,
            ..*sighting
        })
        .collect();
    registry.record_sightings(&late, true);
    assert_eq!(held(&registry, "a"), 0);

    let (registry, _, _) = after_a_read(&clock);
    clock.advance(Duration::from_secs(60));
    assert_eq!(held(&registry, "a"), 0);
}

/// Guards against a host that learns nothing from the others, which see most of what engines read.
#[test]
fn reports_carry_what_was_read_and_how_fast() {
    let clock = Manual::default();
    let (registry, ..) = after_a_read(&clock);
    clock.advance(Duration::from_millis(1));
    let mut other = two_engines(&clock);
    clock.advance(Duration::from_millis(500));
    let host = Source::Host("127.0.0.3".parse().unwrap());
    other.set_report(host, 1, registry.own_usages());
    other.record_sightings(&registry.own_sightings(), true);
    // The host learned of the engine later than it was used.
    assert_eq!(held(&other, "a"), 0);
    let mut other = two_engines(&clock);
    clock.advance(Duration::from_secs(2));
    let (registry, ..) = after_a_read(&clock);
    clock.advance(Duration::from_millis(500));
    other.record_sightings(&registry.own_sightings(), true);
    let a = other.by_id("a").unwrap();
    assert_eq!(held(&other, "a"), 5000);
    assert!(times_chosen(&other, "hot", a) >= 180);
    assert_eq!(other.joint_sightings().len(), 2);
}

/// Guards against slow engines that get as many prompts as fast ones, and against a speed that is
/// kept for ever.
#[test]
fn slow_engines_get_fewer_prompts_while_they_are_known_to_be_slow() {
    let clock = Manual::default();
    let (mut registry, a, b) = after_a_read(&clock);
    for _ in 0..3 {
        let sent_at = clock.now();
        clock.advance(Duration::from_millis(250));
        registry.record_reading(b, &[], PROMPT, 0, sent_at);
    }
    assert!(times_chosen(&registry, "cold", b) >= 180);
    clock.advance(Duration::from_secs(120));
    let idle = (0, 0, 0);
    report(&mut registry, &[("a", idle), ("b", idle)]);
    let times = times_chosen(&registry, "cold", a);
    assert!((50..=150).contains(&times), "{times} of 200");
}

/// A deployment in the simulation: uneven engines, and hosts that choose by late reports.
struct Site {
    hosts: usize,
    engines: usize,
    requests_per_s: f64,
    shared_parts: usize,
    shared_tokens: f64,
    own_tokens: f64,
    /// Whether the parts are used so evenly that sending each to its holder balances the load as well.
    is_even: bool,
}

const REPORT_AGE_MS: f64 = 500.0;
const OUTPUT_MS: f64 = 4000.0;
const CAPACITY_TOKENS: f64 = 55_000.0;

/// Speeds of the engines in turn, in tokens a millisecond.
const SPEEDS: [f64; 3] = [3.5, 3.5, 8.5];

struct Run {
    host: usize,
    placed_at: f64,
    read_at: f64,
    tokens: f64,
}

#[derive(Default)]
struct Machine {
    runs: Vec<Run>,
    /// Shared parts by number: when it was read first, and when it was used last.
    held: BTreeMap<usize, (f64, f64)>,
}

impl Machine {
    fn holds(&self, part: usize, at: f64) -> bool {
        self.held
            .get(&part)
            .is_some_and(|(read_at, _)| *read_at <= at)
    }

    /// Runs a request and returns when its prompt is read, and how many tokens are.
    fn run(
        &mut self,
        site: &Site,
        host: usize,
        part: usize,
        own: f64,
        now: f64,
        speed: f64,
    ) -> (f64, f64) {
        let free_at = self.runs.last().map_or(now, |run| run.read_at.max(now));
        let is_held = self.held.contains_key(&part);
        let tokens = own + if is_held { 0.0 } else { site.shared_tokens };
        let read_at = free_at + tokens / speed;
        let running = self.runs.iter().filter(|run| run.read_at + OUTPUT_MS > now);
        let used: f64 = running.map(|_| own + 500.0).sum();
        let first = if is_held { self.held[&part].0 } else { read_at };
        self.held.insert(part, (first, read_at));
        while self.held.len() as f64 * site.shared_tokens + used > CAPACITY_TOKENS
            && self.held.len() > 1
        {
            let last_use = self
                .held
                .iter()
                .min_by(|one, other| one.1.1.total_cmp(&other.1.1));
            let oldest = *last_use.unwrap().0;
            self.held.remove(&oldest);
        }
        self.runs.push(Run {
            host,
            placed_at: now,
            read_at,
            tokens,
        });
        (read_at, tokens)
    }
}

/// What a host knows of an engine when it chooses.
#[derive(Clone, Copy)]
struct View {
    candidate: Candidate,
    is_held: bool,
    load: f64,
}

/// Result: times to the first event in milliseconds, sorted, and the tokens that were read.
fn simulate(site: &Site, seed: u64, place: impl Fn(&[View], u64) -> usize) -> (Vec<f64>, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut keys: SlotMap<Engine, ()> = SlotMap::with_key();
    let keys: Vec<_> = (0..site.engines).map(|_| keys.insert(())).collect();
    let mut machines: Vec<_> = (0..site.engines).map(|_| Machine::default()).collect();
    let (mut times, mut read, mut now) = (Vec::new(), 0.0, 0.0);
    while now < 15_000.0 {
        now -= random.random::<f64>().max(1e-9).ln() * 1000.0 / site.requests_per_s;
        let host = random.random_range(0..site.hosts);
        let part = random.random_range(0..site.shared_parts);
        let own = site.own_tokens * random.random_range(0.5..1.5);
        let known_at = now - REPORT_AGE_MS;
        let view = |engine: usize| {
            let machine: &Machine = &machines[engine];
            let known = machine
                .runs
                .iter()
                .filter(|run| run.host == host || run.placed_at < known_at);
            let at = |run: &&Run| if run.host == host { now } else { known_at };
            let running = known.filter(|run| run.read_at + OUTPUT_MS > at(run));
            let (mut count, mut queued) = (0.0, 0.0);
            for run in running {
                count += 1.0;
                queued += if run.read_at > at(&run) {
                    run.tokens
                } else {
                    0.0
                };
            }
            let is_held = machine.holds(part, known_at);
            let unread = own + if is_held { 0.0 } else { site.shared_tokens };
            let time = |tokens: f64| Duration::from_secs_f64(tokens / SPEEDS[engine % 3] / 1000.0);
            let candidate = Candidate {
                engine: keys[engine],
                is_suspect: false,
                is_full: count >= 12.0,
                is_remote: engine / 3 % 3 != host % 3,
                is_reading: queued > 0.0,
                wait: time(queued + 250.0 * count),
                reading: time(unread),
            };
            View {
                candidate,
                is_held,
                load: count + queued / 250.0,
            }
        };
        let views: Vec<_> = (0..site.engines).map(view).collect();
        let engine = place(&views, random.next_u64());
        let machine = &mut machines[engine];
        let (read_at, tokens) = machine.run(site, host, part, own, now, SPEEDS[engine % 3]);
        times.push(read_at - now);
        read += tokens;
    }
    times.sort_by(f64::total_cmp);
    (times, read)
}

fn by_first_event(hosts: usize) -> impl Fn(&[View], u64) -> usize {
    move |views, draw| {
        let candidates: Vec<_> = views.iter().map(|view| view.candidate).collect();
        let chosen = choose(&candidates, hosts - 1, draw).unwrap();
        let mut engines = candidates.iter();
        engines
            .position(|candidate| candidate.engine == chosen)
            .unwrap()
    }
}

/// One of the engines within two running requests of the least load.
fn by_load(views: &[View], draw: u64) -> usize {
    let least = views
        .iter()
        .map(|view| view.load)
        .min_by(f64::total_cmp)
        .unwrap();
    let near: Vec<_> = (0..views.len())
        .filter(|engine| views[*engine].load <= least + 2.0)
        .collect();
    near[(draw % near.len() as u64) as usize]
}

/// The least loaded engine that holds the part, whatever its load; else one of the least loaded.
fn by_affinity(views: &[View], draw: u64) -> usize {
    let holders = (0..views.len()).filter(|engine| views[*engine].is_held);
    let best = holders.min_by(|one, other| views[*one].load.total_cmp(&views[*other].load));
    best.unwrap_or_else(|| by_load(views, draw))
}

/// The sites of the comparison, by name.
const SITES: [(&str, Site); 3] = [
    (
        "many shared parts",
        Site {
            hosts: 80,
            engines: 48,
            requests_per_s: 15.0,
            shared_parts: 60,
            shared_tokens: 10_000.0,
            own_tokens: 500.0,
            is_even: true,
        },
    ),
    (
        "one hot part",
        Site {
            hosts: 30,
            engines: 30,
            requests_per_s: 20.0,
            shared_parts: 1,
            shared_tokens: 5000.0,
            own_tokens: 2500.0,
            is_even: false,
        },
    ),
    (
        "195 hosts, little shared",
        Site {
            hosts: 195,
            engines: 126,
            requests_per_s: 40.0,
            shared_parts: 5000,
            shared_tokens: 200.0,
            own_tokens: 5000.0,
            is_even: false,
        },
    ),
];

/// Guards against a decision that is worse for callers than one that knows only the load or only what
/// is held, and against one that reads more tokens. Where sending each part to its holder is a good
/// balance by itself, affinity alone reads fewer tokens, so there only the load is compared.
#[test]
fn first_events_come_sooner_than_by_load_or_affinity_alone() {
    for (name, site) in &SITES {
        for seed in 0..4 {
            let (times, read) = simulate(site, seed, by_first_event(site.hosts));
            let mut others = vec![("load", simulate(site, seed, by_load))];
            if !site.is_even {
                others.push(("affinity", simulate(site, seed, by_affinity)));
            }
            for (other, (other_times, other_read)) in others {
                let case = format!("{name}, seed {seed}, by {other}");
                for percent in [50, 99] {
                    let at = |times: &[f64]| times[times.len() * percent / 100];
                    let (time, other_time) = (at(&times), at(&other_times));
                    assert!(
                        time < other_time,
                        "{case}, {percent} in 100: {time} and {other_time} ms"
                    );
                }
                // Prompts that share next to nothing are read in full wherever they go.
                assert!(
                    read < other_read * 1.005,
                    "{case}: {read} and {other_read} tokens read"
                );
            }
        }
    }
}
