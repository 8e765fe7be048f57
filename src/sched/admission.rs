//! Admission of requests to services whose engines have few slots, over all hosts.
//!
//! A host has less than one slot of such a service, so it decides by rates of the whole fleet: the
//! requests that arrive, and what the engines can answer. While more arrives than can be answered, a
//! part of the requests is refused at once, so that the queues of the engines stay short and what
//! they answer is in time. Otherwise every request is sent.
//!
//! The order is by rank, then by team, then by class: see [`Class`]. `docs/design/engine-limits.md`
//! has the reasons.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::demand::{Answered, Answers, Arrivals, Class, Counts, Tally, Team};
use super::retry::Service;
use super::share::max_min;
use super::window::Window;
use crate::route::load::EngineHash;

/// Time over which rates are measured.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Highest count that is taken from a report, so that sums of corrupted ones do not overflow.
const COUNT_MAX: u32 = 1_000_000;

/// Time over which the rates of teams are measured, which are lower.
const TEAM_WINDOW: Duration = Duration::from_secs(2);

/// Answers of an engine within [`RATE_WINDOW`] below which its rate and answer time are not used, as chance
/// would outweigh the load.
const ANSWERS_MIN: u32 = 15;

/// Part of the mean that each rank, team and class gets at least, so that none starves.
const FLOOR: f64 = 0.3;

/// The same for requests that cannot be answered within their target latency. It is lower, as requests
/// that can still be in time go first.
const LATE_FLOOR: f64 = 0.05;

/// Part of the target latency that a request may wait in the queue of an engine. The rest is for the answer
/// itself.
const QUEUE_PART: f64 = 0.25;

/// Time within which queues that are too long are to shrink to the wanted length.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Part of an engine's slots in use below which it is taken to have no queue, so that its answer time is
/// that of a request alone.
const IDLE_PART: f64 = 0.5;

/// Requests on an engine per slot, queued ones included, above which all its slots are taken to be in use.
/// It is above 1, as some of the requests are on their way.
const SATURATED_PART: f64 = 1.2;

/// Ratios of the arrivals to the nominal capacity (slots / answer time) that show an overload before a queue
/// does: from the first on, a part of the excess is refused; from the second on, all of it.
const EXCESS: (f64, f64) = (1.1, 1.4);

/// Time constants of the exponential averages. The capacity recovers more slowly than it falls, so that one
/// short queue does not end an overload; a team's usual rate must outlast a burst.
const ANSWER_TIME_MEMORY: Duration = Duration::from_secs(2);
const CAPACITY_MEMORY: Duration = Duration::from_secs(1);
const CAPACITY_RECOVERY: Duration = Duration::from_secs(2);
const TEAM_MEMORY: Duration = Duration::from_secs(30);

/// Growth of the capacity estimate per second while the queues are short. Without it, an estimate that is too
/// low would stay so, as the refused requests would never show what the engines can answer.
const CAPACITY_GROWTH: f64 = 0.1;

/// Upper bound on an engine's capacity as a multiple of its nominal capacity (slots / answer time). It is above
/// 1, as the answer time includes the network, during which the slot is free for another request.
const EFFICIENCY_MAX: f64 = 1.5;

/// Upper bound on the time that one update of the estimates stands for. A host may get a request of a service
/// only every few seconds, while the measurements cover the last windows only.
const UPDATE_TIME_MAX: Duration = Duration::from_secs(2);

/// Parts of the caller's time left between which `Retry-After` is drawn, so that callers come back spread
/// out and with time to be served.
const RETRY_AFTER_PART: (f64, f64) = (1.0 / 6.0, 1.0 / 3.0);

/// A new request, before its first attempt.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service.
    pub service: Service,
    /// Class.
    pub class: Class,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Time until the caller needs the response.
    pub time_left: Duration,
    /// Target for the time to the response.
    pub target_latency: Duration,
}

/// An engine that may get requests.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Hash of its id.
    pub id: EngineHash,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Hosts per slot of a service from which on its requests are limited by the counts of all hosts. With fewer
/// hosts, each sees an overload on its own connections.
const HOSTS_PER_SLOT_MIN: usize = 2;

/// Returns whether the slots of a service's `engines` are so few beside the `hosts` that send requests
/// to them that the hosts have to limit the requests together.
pub fn are_slots_scarce(hosts: usize, engines: &[Engine]) -> bool {
    let slots: u32 = engines.iter().map(|engine| engine.slots).sum();
    hosts >= HOSTS_PER_SLOT_MIN * slots as usize
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send it to an engine.
    Send,
    /// Refuse it.
    Refuse {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// Load of a service over all hosts, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Level {
    /// Requests that arrive per second.
    pub arrivals: f64,
    /// Requests that the engines can answer per second.
    pub capacity: f64,
    /// Mean time in seconds that a request waits in the queue of its engine.
    pub queue_time: f64,
    /// Mean time in seconds to an answer without a queue.
    pub answer_time: f64,
    // Requests that the engines answer per second.
    answers: f64,
    // The longest `queue_time` that is wanted.
    queue_time_max: f64,
    // The capacity that follows from the answer time alone.
    nominal_capacity: f64,
}

impl Level {
    /// Returns the requests per second that may be sent.
    fn sendable(&self) -> f64 {
        let excess = (self.queue_time - self.queue_time_max).max(0.0);
        let drained = self.answers * excess / DRAIN_TIME.as_secs_f64();
        (self.capacity - drained).max(self.capacity * FLOOR)
    }

    /// Returns how certain it is that requests have to be refused, from 0 to 1.
    fn severity(&self) -> f64 {
        let queue = self.queue_time / self.queue_time_max;
        let (from, to) = EXCESS;
        let excess = self.arrivals / self.nominal_capacity;
        queue.max((excess - from) / (to - from)).clamp(0.0, 1.0)
    }
}

/// What is known of an engine.
#[derive(Debug)]
struct EngineState {
    answered: Window<Answered>,
    // Answers per second and slot, relative to the rate that follows from the answer time.
    efficiency: f64,
}

/// What is known of a team within a rank.
#[derive(Debug)]
struct TeamState {
    arrivals: Window<u32>,
    // Its mean rate per second over about `TEAM_MEMORY`.
    usual: f64,
}

/// What is known of a service.
#[derive(Debug, Default)]
struct State {
    arrivals: BTreeMap<Class, Window<u32>>,
    teams: BTreeMap<(u8, Team), TeamState>,
    engines: BTreeMap<EngineHash, EngineState>,
    // Mean time in seconds to an answer of an engine without a queue.
    answer_time: Option<f64>,
    updated_at: Option<Instant>,
}

/// Admission to all limited services, as one host decides on it.
#[derive(Debug, Default)]
pub struct Controller {
    services: BTreeMap<Service, State>,
    // What this host counted since its last report.
    own: Tally,
    // What this host and those that report to it counted since its last summary.
    joint: Tally,
}

impl Controller {
    /// Decides on a request to a service with these `engines`; `draw` is a random number from 0 to 1.
    pub fn decide(
        &mut self,
        request: &Request<'_>,
        engines: &[Engine],
        draw: f64,
        now: Instant,
    ) -> Verdict {
        let arrivals = Arrivals {
            service: request.service,
            class: request.class,
            team: Team::of(request.team),
            count: 1,
        };
        self.own.add_arrivals(arrivals);
        self.joint.add_arrivals(arrivals.without_team());
        let state = self.services.entry(request.service).or_default();
        state.record_arrivals(&arrivals, true, now);
        let Some(level) = state.update(engines, request.target_latency, now) else {
            return Verdict::Send;
        };
        let severity = level.severity();
        let expected = Duration::from_secs_f64(level.answer_time + level.queue_time);
        let is_in_time = severity < 1.0 || expected <= request.time_left;
        let part = state.admitted_part(&arrivals, &level, now);
        let sent = match is_in_time {
            true => 1.0 - severity * (1.0 - part),
            false => 0.0,
        };
        if draw < sent {
            return Verdict::Send;
        }
        let (from, to) = RETRY_AFTER_PART;
        // What is left of the draw is as random as the draw was.
        let retry_part = from + (to - from) * (draw - sent) / (1.0 - sent);
        Verdict::Refuse {
            retry_after: request.time_left.mul_f64(retry_part),
        }
    }

    /// Returns the load of a service; `None` if too little is known.
    pub fn level(
        &mut self,
        service: Service,
        engines: &[Engine],
        target_latency: Duration,
        now: Instant,
    ) -> Option<Level> {
        let state = self.services.get_mut(&service)?;
        state.update(engines, target_latency, now)
    }

    /// Returns the mean time to an answer of an engine without a queue, zero if it is not known.
    pub fn answer_time(&self, service: Service) -> Duration {
        let state = self.services.get(&service);
        let time = state.and_then(|state| state.answer_time);
        time.map_or(Duration::ZERO, Duration::from_secs_f64)
    }

    /// Records an answer of an engine, also one that reports a failure. Only services that are limited
    /// count, which are those that [`Controller::decide`] was asked about.
    pub fn record_answer(
        &mut self,
        service: Service,
        engine: EngineHash,
        taken: Duration,
        now: Instant,
    ) {
        if !self.services.contains_key(&service) {
            return;
        }
        let answers = Answers {
            service,
            engine,
            answered: Answered::one(taken),
        };
        self.own.add_answers(answers);
        self.joint.add_answers(answers);
        self.record_answers(&answers, now);
    }

    /// Records what another host counted.
    pub fn record_counts(&mut self, counts: &Counts, now: Instant) {
        for arrivals in &counts.arrivals {
            self.joint.add_arrivals(arrivals.without_team());
            self.record_arrivals(arrivals, true, now);
        }
        for answers in &counts.answers {
            self.joint.add_answers(*answers);
            self.record_answers(answers, now);
        }
    }

    /// Records what the hosts of another failure domain counted.
    pub fn record_summary(&mut self, counts: &Counts, now: Instant) {
        for arrivals in &counts.arrivals {
            self.record_arrivals(arrivals, false, now);
        }
        for answers in &counts.answers {
            self.record_answers(answers, now);
        }
    }

    /// Takes what this host counted since its last report.
    pub fn take_counts(&mut self) -> Counts {
        self.own.take()
    }

    /// Takes what this host and those that report to it counted since its last summary.
    pub fn take_joint_counts(&mut self) -> Counts {
        self.joint.take()
    }

    /// Forgets what was counted for a summary, as this host sends none.
    pub fn clear_joint_counts(&mut self) {
        self.joint.clear();
    }

    fn record_arrivals(&mut self, arrivals: &Arrivals, has_team: bool, now: Instant) {
        let state = self.services.entry(arrivals.service).or_default();
        let arrivals = Arrivals {
            count: arrivals.count.min(COUNT_MAX),
            ..*arrivals
        };
        state.record_arrivals(&arrivals, has_team, now);
    }

    fn record_answers(&mut self, answers: &Answers, now: Instant) {
        let state = self.services.entry(answers.service).or_default();
        let engine = state.engines.entry(answers.engine).or_insert(EngineState {
            answered: Window::new(RATE_WINDOW),
            efficiency: 1.0,
        });
        engine.answered.add(answers.answered, now);
    }
}

impl Arrivals {
    fn without_team(self) -> Self {
        Self {
            team: Team::NONE,
            ..self
        }
    }
}

impl State {
    fn record_arrivals(&mut self, arrivals: &Arrivals, has_team: bool, now: Instant) {
        let window = self.arrivals.entry(arrivals.class);
        let window = window.or_insert_with(|| Window::new(RATE_WINDOW));
        window.add(arrivals.count, now);
        if !has_team {
            return;
        }
        let key = (arrivals.class.rank, arrivals.team);
        let team = self.teams.entry(key).or_insert_with(|| TeamState {
            arrivals: Window::new(TEAM_WINDOW),
            usual: 0.0,
        });
        team.arrivals.add(arrivals.count, now);
    }

    /// Updates the estimates and returns the load; `None` if too little is known.
    fn update(
        &mut self,
        engines: &[Engine],
        target_latency: Duration,
        now: Instant,
    ) -> Option<Level> {
        let since = self.updated_at.map(|at| now.duration_since(at));
        self.updated_at = Some(now);
        let since = since.unwrap_or_default().min(UPDATE_TIME_MAX);
        self.drop_engines(engines, now);
        self.update_teams(since, now);
        let usages: Vec<_> = engines
            .iter()
            .map(|engine| self.usage(*engine, now))
            .collect();
        self.update_answer_time(&usages, since);
        let answer_time = self.answer_time?;
        let queue_time_max = answer_time.min(target_latency.as_secs_f64() * QUEUE_PART);
        let arrivals = self.arrivals.values_mut();
        let arrivals: u32 = arrivals.map(|window| window.total(now)).sum();
        let arrivals = f64::from(arrivals) / RATE_WINDOW.as_secs_f64();
        let mut level = Level {
            arrivals,
            answer_time,
            queue_time_max,
            ..Level::default()
        };
        let mut queued = 0.0;
        for usage in &usages {
            let slot_rate = self.update_slot_rate(usage, &level, engines, since);
            level.capacity += usage.slots * slot_rate;
            level.nominal_capacity += usage.slots / answer_time;
            level.answers += usage.answers;
            queued += usage.queued(answer_time);
        }
        if level.answers > 0.0 {
            level.queue_time = queued / level.answers;
        }
        (level.capacity > 0.0).then_some(level)
    }

    /// Drops engines that are gone and answer nothing more.
    fn drop_engines(&mut self, engines: &[Engine], now: Instant) {
        let is_usable = |id: &EngineHash| engines.iter().any(|engine| engine.id == *id);
        self.engines
            .retain(|id, state| is_usable(id) || state.answered.total(now).count > 0);
    }

    fn usage(&mut self, engine: Engine, now: Instant) -> Usage {
        let state = self.engines.get_mut(&engine.id);
        let answered = state.map(|state| state.answered.total(now));
        let answered = answered.unwrap_or_default();
        let window = RATE_WINDOW.as_secs_f64();
        Usage {
            engine: engine.id,
            slots: f64::from(engine.slots),
            answers: f64::from(answered.count) / window,
            running: Duration::from_micros(answered.time_us).as_secs_f64() / window,
            is_known: answered.count >= ANSWERS_MIN,
        }
    }

    /// Follows the answer time of engines without a queue, and any that is lower.
    fn update_answer_time(&mut self, usages: &[Usage], since: Duration) {
        for usage in usages.iter().filter(|usage| usage.is_known) {
            let measured = usage.running / usage.answers;
            let is_idle = usage.running < usage.slots * IDLE_PART;
            self.answer_time = Some(match self.answer_time {
                Some(known) if is_idle => follow(known, measured, since, ANSWER_TIME_MEMORY),
                Some(known) => known.min(measured),
                None => measured,
            });
        }
    }

    /// Returns the answers per second and slot that an engine can give.
    fn update_slot_rate(
        &mut self,
        usage: &Usage,
        level: &Level,
        engines: &[Engine],
        since: Duration,
    ) -> f64 {
        let nominal = 1.0 / level.answer_time;
        let Some(state) = self.engines.get_mut(&usage.engine) else {
            return nominal;
        };
        let known = nominal * state.efficiency;
        if !usage.is_known {
            return known;
        }
        let slots: u32 = engines.iter().map(|engine| engine.slots).sum();
        let queue_time = usage.queued(level.answer_time) / usage.answers;
        let is_queue_short = queue_time < level.queue_time_max;
        let is_saturated = usage.running > usage.slots * SATURATED_PART;
        // Without nearly as many arrivals as the capacity, a short queue does not show that there is more.
        let is_short_of = level.arrivals > 0.9 * known * f64::from(slots);
        if is_saturated && !is_queue_short {
            let measured = usage.answers / usage.slots / nominal;
            state.efficiency = follow(state.efficiency, measured, since, CAPACITY_MEMORY);
        } else if is_queue_short && state.efficiency < 1.0 {
            // The low value is out of date: the engine was slower, or reports of few hosts had arrived.
            state.efficiency = follow(state.efficiency, 1.0, since, CAPACITY_RECOVERY);
        } else if is_queue_short && is_short_of {
            state.efficiency *= 1.0 + CAPACITY_GROWTH * since.as_secs_f64();
        }
        state.efficiency = state.efficiency.min(EFFICIENCY_MAX);
        nominal * state.efficiency
    }

    fn update_teams(&mut self, since: Duration, now: Instant) {
        for team in self.teams.values_mut() {
            let rate = f64::from(team.arrivals.total(now)) / TEAM_WINDOW.as_secs_f64();
            team.usual = match team.usual {
                0.0 => rate,
                usual => follow(usual, rate, since, TEAM_MEMORY),
            };
        }
        // One request within the memory is the least that counts.
        let rate_min = 1.0 / TEAM_MEMORY.as_secs_f64();
        self.teams.retain(|_, team| team.usual >= rate_min);
    }

    /// Returns the part of such requests that may be sent at this load, from 0 to 1.
    fn admitted_part(&mut self, arrivals: &Arrivals, level: &Level, now: Instant) -> f64 {
        let rank = arrivals.class.rank;
        let mut ranks: BTreeMap<u8, f64> = BTreeMap::new();
        let mut classes: Vec<(Class, f64)> = Vec::new();
        for (class, window) in &mut self.arrivals {
            let rate = f64::from(window.total(now));
            *ranks.entry(class.rank).or_default() += rate;
            if class.rank == rank {
                classes.push((*class, rate));
            }
        }
        let total: f64 = ranks.values().sum();
        let sendable = level.sendable() * RATE_WINDOW.as_secs_f64();
        if total <= sendable {
            return 1.0;
        }
        let demands: Vec<_> = ranks.values().map(|rate| (*rate, FLOOR)).collect();
        let at = ranks.keys().position(|known| *known == rank);
        let part = part_in_order(sendable, &demands, at.unwrap_or_default());
        let part = self.team_part(rank, arrivals.team, part, now);
        let floor = |class: &Class| if class.is_late { LATE_FLOOR } else { FLOOR };
        let demands: Vec<_> = classes
            .iter()
            .map(|(class, rate)| (*rate, floor(class)))
            .collect();
        let at = classes
            .iter()
            .position(|(class, _)| *class == arrivals.class);
        let total: f64 = demands.iter().map(|(rate, _)| rate).sum();
        part_in_order(part * total, &demands, at.unwrap_or_default())
    }

    /// Returns the part of a team's requests that may be sent if `part` of those of all teams of the
    /// rank may be. What exceeds the team's usual rate goes last.
    fn team_part(&mut self, rank: u8, team: Team, part: f64, now: Instant) -> f64 {
        let mut demands = Vec::new();
        let mut at = None;
        let teams = self.teams.iter_mut();
        for ((_, known), state) in teams.filter(|((known, _), _)| *known == rank) {
            if *known == team {
                at = Some(demands.len());
            }
            demands.push((state.usual, f64::from(state.arrivals.total(now))));
        }
        let Some(at) = at.filter(|at| demands[*at].1 > 0.0) else {
            return part;
        };
        let total: f64 = demands.iter().map(|(_, rate)| rate).sum();
        let shared = total * part * (1.0 - FLOOR);
        let rest: Vec<_> = demands
            .iter()
            .map(|(usual, rate)| (*usual, rate * (1.0 - FLOOR * part)))
            .collect();
        let allotted = max_min(shared, &rest);
        FLOOR * part + allotted[at] / demands[at].1
    }
}

/// Use of an engine within the last window.
#[derive(Clone, Copy, Debug)]
struct Usage {
    engine: EngineHash,
    slots: f64,
    // Answers per second.
    answers: f64,
    // Mean number of requests in its slots, in its queue and on their way.
    running: f64,
    // Whether there were enough answers to tell anything.
    is_known: bool,
}

impl Usage {
    /// Returns the mean number of requests in the queue of the engine.
    fn queued(&self, answer_time: f64) -> f64 {
        (self.running - self.answers * answer_time).max(0.0)
    }
}

/// Moves an estimate towards a measured value.
fn follow(known: f64, measured: f64, since: Duration, memory: Duration) -> f64 {
    let weight = (since.as_secs_f64() / memory.as_secs_f64()).min(1.0);
    known + (measured - known) * weight
}

/// Divides `total` among demands in their order, each with the part of the mean that it gets at least.
/// Returns the part of the demand `at` that is granted.
fn part_in_order(total: f64, demands: &[(f64, f64)], at: usize) -> f64 {
    let wanted: f64 = demands.iter().map(|(rate, _)| rate).sum();
    let Some((own, _)) = demands.get(at).filter(|(rate, _)| *rate > 0.0) else {
        return 1.0;
    };
    if total >= wanted {
        return 1.0;
    }
    let mean = total / wanted;
    let floor_of = |(rate, floor): &(f64, f64)| rate * floor * mean;
    let mut rest = total - demands.iter().map(floor_of).sum::<f64>();
    for before in &demands[..at] {
        rest -= (before.0 - floor_of(before)).min(rest);
    }
    let floor = floor_of(&demands[at]);
    (floor + rest.min(own - floor)) / own
}
