//! Queues of waiting work and the account of running work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use slotmap::SlotMap;

use super::lease::{Class, Demand, Grant, Want};
use super::tree::{Among, Node, Path, Place, Tree};
use super::work::{Refusal, Scope, Start, Ticket, Work};
use crate::clock::Clock;
use crate::config::host::{Order, Preemption};
use crate::config::split::Split;
use crate::http::problem::Reason;
use crate::route::fleet::{self, Engine, Fleet, Need, SlotLimit};
use crate::wire::Rank;

/// Requests of a rank that may wait on one host.
///
/// Each partner may fill an equal part of them, a team half of its partner's part, and under
/// contention a caller a quarter of its team's.
const QUEUE_LIMIT: usize = 4096;

/// Work of an uncached prompt token, in tokens of output.
const PREFILL_WORK: f64 = 0.1;

/// Resumed requests that are tried in one decision.
const RESUMES_TRIED: usize = 8;

/// Callers that are looked at for one below its share, so that a decision stays bounded.
const HEADS_TRIED: usize = 32;

/// Urgent requests that may wait in an engine's own queue, where they go before routine ones.
const URGENT_QUEUED: u32 = 4;

/// Time between two measurements of the rate of work.
const RATE_PERIOD: Duration = Duration::from_millis(250);

/// Weight of the newest measurement of a rate.
const RATE_WEIGHT: f64 = 0.25;

/// Time of waiting work after which the measured rate shows what the fleet can do.
const RATE_SETTLED: Duration = Duration::from_secs(3);

/// Time after its last request for which places are left to a caller.
const ACTIVE: Duration = Duration::from_secs(10);

/// Seconds of routine work that count towards its floor when urgent work comes.
const FLOOR_CREDIT_S: f64 = 0.5;

/// Weight of the newest request in the expected part of `max_tokens` that is used.
const USE_WEIGHT: f64 = 0.1;

/// Least part of `max_tokens` that is charged at dispatch.
const USE_MIN: f64 = 0.05;

/// Pauses of one routine request.
const PAUSES_MAX: u32 = 2;

/// Part of the urgent target for the first token after which routine work gives way.
const PAUSE_PART: u32 = 4;

/// Time after which a paused request goes before new work, as output is to continue within 4 s.
const PAUSE_LIMIT: Duration = Duration::from_secs(3);

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// In the tree.
    Queued(Place),
    /// Started before, and waits for another engine.
    Resuming(u64),
    /// On an engine, since an instant.
    Running(Engine, Instant),
    /// Taken out of the queue; its caller is being told.
    Expired,
}

#[derive(Debug)]
struct Item {
    work: Work,
    stage: Stage,
    deadline: Instant,
    attempts: u32,
    /// Work expected when the request was queued, in tokens.
    expected: f64,
    /// Work charged so far.
    charged: f64,
    /// Work done so far.
    done: f64,
    /// Output tokens so far.
    tokens: u32,
    /// When output came last.
    output_at: Option<Instant>,
    /// Node of the caller that is charged.
    caller: Node,
    pauses: u32,
    // When a paused request is given up; it goes first once `deadline` has passed.
    given_up: Option<Instant>,
    is_pausing: bool,
}

/// The rate of work of a pool.
#[derive(Debug)]
struct Meter {
    marked: Instant,
    work: [f64; 2],
    /// Tokens per second by rank.
    rate: [f64; 2],
    /// Since when work has been waiting at each look.
    backlogged: Option<Instant>,
}

/// The requests for one model, which compete for the same engines.
#[derive(Debug)]
struct Pool {
    tree: Tree<Ticket>,
    // Started requests that wait for another engine.
    resuming: BTreeMap<u64, Ticket>,
    meter: Meter,
    // Active callers with the instant of their last request.
    active: BTreeMap<Node, Instant>,
}

/// Decides which waiting work runs next, and on which engine.
#[derive(Debug)]
pub struct Scheduler<C: Clock> {
    clock: C,
    order: Order,
    preemption: Preemption,
    items: SlotMap<Ticket, Item>,
    pools: BTreeMap<CompactString, Pool>,
    // Invariant: holds exactly the tickets that wait, by their deadlines.
    deadlines: BTreeSet<(Instant, Ticket)>,
    // Invariant: `wanted` counts the tickets of a class, `in_use` those that run.
    classes: BTreeMap<Class, Want>,
    // Running routine requests that may be paused, by engine and start.
    routine: BTreeMap<Engine, BTreeSet<(Instant, Ticket)>>,
    // Urgent requests on an engine without output, by start.
    starting: BTreeSet<(Instant, Ticket)>,
    running: usize,
    // Part of `max_tokens` that requests of a team use.
    use_of: BTreeMap<CompactString, f64>,
    grant: Option<Grant>,
    granted_at: Instant,
    // Work done here since the last grant, in tokens.
    done_here: BTreeMap<CompactString, f64>,
    last_number: u64,
    floor_percent: u32,
}

impl<C: Clock> Scheduler<C> {
    /// Creates a scheduler without work.
    pub fn new(clock: C) -> Self {
        Self::with_policy(clock, Order::Fair, Preemption::default())
    }

    /// Creates a scheduler without work that follows other policies, for comparison.
    pub fn with_policy(clock: C, order: Order, preemption: Preemption) -> Self {
        Self {
            granted_at: clock.now(),
            clock,
            order,
            preemption,
            items: SlotMap::with_key(),
            pools: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            classes: BTreeMap::new(),
            routine: BTreeMap::new(),
            starting: BTreeSet::new(),
            running: 0,
            use_of: BTreeMap::new(),
            grant: None,
            done_here: BTreeMap::new(),
            last_number: 0,
            floor_percent: Split::default().target(Rank::Routine).floor_percent,
        }
    }

    /// Puts the weights of a split into force, also for work that waits.
    pub fn set_split(&mut self, split: &Split) {
        self.floor_percent = split.target(Rank::Routine).floor_percent;
        for pool in self.pools.values_mut() {
            pool.tree.set_floor(self.floor_percent);
            pool.tree.set_weights(|level, name| match level {
                1 => split.partners.get(name).map(|partner| partner.share),
                _ => split.teams.get(name).map(|team| team.weight),
            });
        }
        let teams = &split.teams;
        self.use_of.retain(|team, _| teams.contains_key(team));
    }

    /// Bounds what runs here by the places of a lease.
    pub fn set_grant(&mut self, grant: &Grant) {
        let now = self.clock.now();
        let seconds = now.duration_since(self.granted_at).as_secs_f64();
        let total = grant.work_per_s.values().sum::<f64>() * seconds;
        let here = |partner| self.done_here.get(partner).copied().unwrap_or(0.0);
        // Each host corrects its part of an imbalance; with all of it the hosts would overshoot.
        let part = self.done_here.values().sum::<f64>() / total.max(1.0);
        let elsewhere: BTreeMap<_, _> = grant
            .work_per_s
            .iter()
            .map(|(partner, rate)| {
                let excess = rate * seconds * part.min(1.0) - here(partner);
                (partner.clone(), excess)
            })
            .collect();
        if self.grant.is_some() {
            for pool in self.pools.values_mut() {
                pool.tree.charge_elsewhere(&elsewhere);
            }
        }
        self.done_here.clear();
        self.granted_at = now;
        self.grant = Some(grant.clone());
    }

    /// Returns what this host asks for, and starts a new count of work.
    pub fn demand(&mut self) -> Demand {
        let demand = Demand {
            classes: self.classes.clone(),
        };
        for want in self.classes.values_mut() {
            want.work = 0;
        }
        self.classes.retain(|_, want| want.wanted > 0);
        demand
    }

    /// Takes work into the queue.
    ///
    /// # Errors
    /// A queue is full, or the work cannot start before its rank's queue limit.
    pub fn submit(&mut self, work: Work, split: &Split) -> Result<Ticket, Refusal> {
        let now = self.clock.now();
        let limit = split.target(work.rank).queue_limit;
        let order = self.order;
        let floor = self.floor_percent;
        let pool = self
            .pools
            .entry(work.need.model.clone())
            .or_insert_with(|| Pool::new(now, floor));
        let caller = pool.tree.caller(&path(order, &work, split));
        if order == Order::Fair {
            pool.check_queues(caller, split.partners.len())?;
            pool.check_wait(caller, work.rank, limit, now)?;
        } else if pool.tree.waiting() >= QUEUE_LIMIT {
            return Err(Refusal::new(Reason::QueueFull, Duration::from_secs(1)));
        }
        let used = self.use_of.get(&work.team).copied().unwrap_or(1.0);
        let expected = f64::from(work.max_tokens) * used.max(USE_MIN)
            + PREFILL_WORK * f64::from(work.prompt_tokens);
        self.classes.entry(class(&work)).or_default().wanted += 1;
        let ticket = self.items.insert(Item {
            work,
            stage: Stage::Expired,
            deadline: now + limit,
            attempts: 0,
            expected,
            charged: 0.0,
            done: 0.0,
            tokens: 0,
            output_at: None,
            caller,
            pauses: 0,
            given_up: None,
            is_pausing: false,
        });
        pool.tree.hold(caller);
        if pool.active.insert(caller, now).is_none() {
            pool.tree.set_active(caller, true);
        }
        let place = pool.tree.push(caller, ticket, expected);
        self.items[ticket].stage = Stage::Queued(place);
        self.deadlines.insert((now + limit, ticket));
        Ok(ticket)
    }

    /// Puts running work back into the queue for another engine.
    ///
    /// It goes before new work, unless it was paused: then it goes before the other work of its
    /// caller, and before all new work after 3 s.
    pub fn requeue(&mut self, ticket: Ticket, need: Need, deadline: Instant) {
        self.unplace(ticket);
        let now = self.clock.now();
        let Some(item) = self.items.get_mut(ticket) else {
            return;
        };
        item.work.need = need;
        item.output_at = None;
        let is_paused = std::mem::take(&mut item.is_pausing);
        if !is_paused {
            return self.resume(ticket, deadline);
        }
        let Some(pool) = self.pools.get_mut(&item.work.need.model) else {
            return;
        };
        pool.tree.charge(item.caller, item.done - item.charged);
        item.expected = (item.charged - item.done).max(1.0);
        item.charged = item.done;
        item.pauses += 1;
        item.given_up = Some(deadline);
        item.deadline = deadline.min(now + PAUSE_LIMIT);
        let place = pool.tree.push_front(item.caller, ticket, item.expected);
        item.stage = Stage::Queued(place);
        self.deadlines.insert((item.deadline, ticket));
    }

    /// Puts started work before all new work.
    fn resume(&mut self, ticket: Ticket, deadline: Instant) {
        self.last_number += 1;
        let number = self.last_number;
        let Some(item) = self.items.get_mut(ticket) else {
            return;
        };
        item.deadline = deadline;
        item.given_up = None;
        item.stage = Stage::Resuming(number);
        if let Some(pool) = self.pools.get_mut(&item.work.need.model) {
            pool.resuming.insert(number, ticket);
        }
        self.deadlines.insert((deadline, ticket));
    }

    /// Takes a ticket out of whatever holds it, and marks it as expired.
    fn unplace(&mut self, ticket: Ticket) {
        let Some(item) = self.items.get_mut(ticket) else {
            return;
        };
        let stage = std::mem::replace(&mut item.stage, Stage::Expired);
        self.deadlines.remove(&(item.deadline, ticket));
        let pool = self.pools.get_mut(&item.work.need.model);
        match (stage, pool) {
            (Stage::Queued(place), Some(pool)) => pool.tree.remove(place, item.expected),
            (Stage::Resuming(number), Some(pool)) => {
                pool.resuming.remove(&number);
            }
            (Stage::Running(engine, since), pool) => {
                self.running -= 1;
                if let Some(pool) = pool {
                    pool.tree.set_running(item.caller, false);
                }
                remove_running(&mut self.routine, engine, (since, ticket));
                self.starting.remove(&(since, ticket));
                if let Some(want) = self.classes.get_mut(&class(&item.work)) {
                    want.in_use -= 1;
                }
            }
            _ => {}
        }
    }

    /// Chooses the next work to start, and its engine.
    ///
    /// Only the head of the queue asks for an engine: waiting requests of one model need the same.
    pub fn next(&mut self, fleet: &Fleet<C>) -> Option<Start> {
        let found = self.next_resumed(fleet).or_else(|| self.next_new(fleet));
        let start = found?;
        let Start { ticket, engine, .. } = start;
        self.charge_start(ticket, engine, fleet);
        self.unplace(ticket);
        let now = self.clock.now();
        let item = &mut self.items[ticket];
        item.stage = Stage::Running(engine, now);
        item.attempts += 1;
        item.given_up = None;
        self.running += 1;
        if let Some(pool) = self.pools.get_mut(&item.work.need.model) {
            pool.tree.set_running(item.caller, true);
        }
        match item.work.rank {
            Rank::Routine if item.pauses < PAUSES_MAX => {
                self.routine
                    .entry(engine)
                    .or_default()
                    .insert((now, ticket));
            }
            Rank::Routine => {}
            Rank::Urgent => {
                self.starting.insert((now, ticket));
            }
        }
        self.classes.entry(class(&item.work)).or_default().in_use += 1;
        Some(start)
    }

    fn charge_start(&mut self, ticket: Ticket, engine: Engine, fleet: &Fleet<C>) {
        let item = &mut self.items[ticket];
        let pool = self.pools.get_mut(&item.work.need.model);
        let (Stage::Queued(place), Some(pool)) = (item.stage, pool) else {
            return;
        };
        pool.tree.serve(place, item.expected);
        item.charged += item.expected;
        if item.attempts > 0 {
            return;
        }
        let cached = fleet.get(engine).map_or(0, |engine| {
            fleet::cached_tokens(engine.cached_blocks(&item.work.need.blocks))
        });
        let cached = f64::from(cached.min(item.work.prompt_tokens));
        pool.tree.charge(item.caller, -PREFILL_WORK * cached);
        item.charged -= PREFILL_WORK * cached;
        item.done += PREFILL_WORK * (f64::from(item.work.prompt_tokens) - cached);
    }

    fn next_resumed(&mut self, fleet: &Fleet<C>) -> Option<Start> {
        for pool in self.pools.values_mut() {
            let tried = pool.resuming.iter().take(RESUMES_TRIED);
            let tried: Vec<_> = tried.map(|(number, ticket)| (*number, *ticket)).collect();
            for (number, ticket) in tried {
                let need = &self.items[ticket].work.need;
                let free = fleet.choose(need);
                if let Some(engine) =
                    free.or_else(|| fleet.choose_with(need, SlotLimit::AllAndQueue(URGENT_QUEUED)))
                {
                    return Some(Start {
                        ticket,
                        engine,
                        priority: Rank::Urgent,
                    });
                }
                // Behind the others, which may need other versions or exclude other engines.
                self.last_number += 1;
                pool.resuming.remove(&number);
                pool.resuming.insert(self.last_number, ticket);
                self.items[ticket].stage = Stage::Resuming(self.last_number);
            }
        }
        None
    }

    fn next_new(&self, fleet: &Fleet<C>) -> Option<Start> {
        self.pools.values().find_map(|pool| {
            let ticket = self.head_of(pool)?;
            let gives_way = self.gives_way(pool, ticket);
            self.place(pool, ticket, gives_way, fleet).or_else(|| {
                // The places that it leaves are for those that have less than their share.
                let ticket = gives_way.then(|| self.head_below_share(pool))??;
                self.place(pool, ticket, false, fleet)
            })
        })
    }

    /// Returns whether work leaves places to others that would else wait for the end of a
    /// generation: callers above their share, and routine work while urgent callers are active.
    ///
    /// Within granted places only the callers of the same partner are compared, as the grant has
    /// settled what is between partners.
    fn gives_way(&self, pool: &Pool, ticket: Ticket) -> bool {
        let item = &self.items[ticket];
        let class = class(&item.work);
        if self.order != Order::Fair || pool.priority(class.rank) != class.rank {
            return false;
        }
        let among = match self.grant.is_some() && self.has_own_place(&class) {
            true => Among::Partner,
            false => Among::All,
        };
        pool.tree.is_over_share(item.caller, among)
            || class.rank == Rank::Routine && pool.tree.is_urgent_active(item.caller, among)
    }

    fn head_below_share(&self, pool: &Pool) -> Option<Ticket> {
        let mut heads = pool.tree.heads().take(HEADS_TRIED);
        let found = heads.find(|(rank, partner, _, ticket)| {
            let class = Class {
                partner: (*partner).clone(),
                rank: *rank,
            };
            let may_run = self.has_own_place(&class) || self.has_lent_place(SlotLimit::All);
            may_run && !self.gives_way(pool, *ticket)
        });
        found.map(|(_, _, _, ticket)| ticket)
    }

    fn place(
        &self,
        pool: &Pool,
        ticket: Ticket,
        gives_way: bool,
        fleet: &Fleet<C>,
    ) -> Option<Start> {
        let work = &self.items[ticket].work;
        let priority = pool.priority(work.rank);
        if gives_way && !self.has_lent_place(SlotLimit::KeepSpare) {
            return None;
        }
        // The engines' queues know no shares, so work beyond its partner's places stays out of them.
        let class = class(work);
        let may_queue = priority == Rank::Urgent
            && !gives_way
            && (self.has_own_place(&class) || self.may_go_first(&class))
            && self.order == Order::Fair
            && self.preemption != Preemption::Wait;
        let free = match gives_way {
            true => fleet.choose_with(&work.need, SlotLimit::KeepSpare),
            false => fleet.choose(&work.need),
        };
        let room = SlotLimit::AllAndQueue(URGENT_QUEUED);
        let queue = || may_queue.then(|| fleet.choose_with(&work.need, room))?;
        Some(Start {
            ticket,
            engine: free.or_else(queue)?,
            priority,
        })
    }

    /// Returns the request that is next by rank, places of the grant, and share.
    fn head_of(&self, pool: &Pool) -> Option<Ticket> {
        let is_urgent_due = !pool.tree.is_floor_due();
        let first = |class: &Class| class.rank == Rank::Urgent && self.may_go_first(class);
        let urgent = is_urgent_due.then(|| self.head(pool, first)).flatten();
        urgent
            .or_else(|| self.head(pool, |class| self.has_own_place(class)))
            .or_else(|| self.head(pool, |_| self.has_lent_place(SlotLimit::All)))
    }

    /// Returns whether urgent work goes before work of other partners that has granted places: it
    /// may use all places of its own partner, and a few without any, as it cannot wait for the next
    /// grant. With more, a flood of it would take the places of the others.
    fn may_go_first(&self, class: &Class) -> bool {
        let Some(grant) = &self.grant else {
            return true;
        };
        let is_own = |other: &Class| other.partner == class.partner;
        let places = grant.places.iter().filter(|(other, _)| is_own(other));
        let places: u32 = places.map(|(_, places)| *places).sum();
        let in_use = self.classes.iter().filter(|(other, _)| is_own(other));
        let in_use: u32 = in_use.map(|(_, want)| want.in_use).sum();
        in_use < places.max(URGENT_QUEUED)
    }

    fn head(&self, pool: &Pool, may_run: impl Fn(&Class) -> bool) -> Option<Ticket> {
        let next = pool.tree.next(|rank, partner| {
            let partner = partner.clone();
            may_run(&Class { partner, rank })
        });
        next.map(|(_, ticket)| ticket)
    }

    fn has_own_place(&self, class: &Class) -> bool {
        let Some(grant) = &self.grant else {
            return true;
        };
        let places = grant.places.get(class).copied().unwrap_or(0);
        let in_use = self.classes.get(class).map_or(0, |want| want.in_use);
        in_use < places
    }

    /// Returns whether less runs here than the room in the places of all classes.
    fn has_lent_place(&self, room: SlotLimit) -> bool {
        let total = |grant: &Grant| grant.places.values().sum::<u32>();
        self.grant
            .as_ref()
            .is_none_or(|grant| self.running < room.apply(total(grant)) as usize)
    }

    /// Takes work whose deadline has passed out of the queue and returns it.
    ///
    /// The tickets stay valid until [`Scheduler::remove`].
    pub fn expire(&mut self, fleet: &Fleet<C>) -> Vec<(Ticket, Refusal)> {
        let now = self.clock.now();
        for pool in self.pools.values_mut() {
            pool.measure(now);
        }
        let mut late = Vec::new();
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            if let Some(given_up) = self.items[ticket].given_up {
                self.unplace(ticket);
                self.resume(ticket, given_up.max(now + PAUSE_LIMIT));
                continue;
            }
            let item = &self.items[ticket];
            let reason = match fleet.has_candidate(&item.work.need) {
                true => Reason::DeadlineUnreachable,
                false => Reason::NoEngine,
            };
            let pool = self.pools.get(&item.work.need.model);
            let wait = pool.and_then(|pool| pool.wait(item.caller, item.work.rank, now));
            let wait = wait.unwrap_or(Duration::ZERO).max(Duration::from_secs(1));
            late.push((ticket, Refusal::new(reason, wait)));
            self.unplace(ticket);
        }
        late
    }

    /// Notes output of running work, in tokens; returns the time that each token took.
    pub fn progress(&mut self, ticket: Ticket, tokens: u32) -> Option<Duration> {
        let now = self.clock.now();
        let item = self.items.get_mut(ticket)?;
        let Stage::Running(_, since) = item.stage else {
            return None;
        };
        self.starting.remove(&(since, ticket));
        let work = f64::from(tokens);
        item.tokens += tokens;
        item.done += work;
        let more = item.done - item.charged;
        if let Some(pool) = self.pools.get_mut(&item.work.need.model) {
            pool.meter.work[item.work.rank as usize] += work;
            if more > 0.0 {
                item.charged += more;
                pool.tree.charge(item.caller, more);
            }
        }
        let class = class(&item.work);
        *self.done_here.entry(class.partner.clone()).or_default() += work;
        self.classes.entry(class).or_default().work += u64::from(tokens);
        let before = item.output_at.replace(now)?;
        Some(now.duration_since(before) / tokens.max(1))
    }

    /// Returns the engine and work of a ticket.
    pub fn get(&self, ticket: Ticket) -> Option<(Option<Engine>, &Work)> {
        self.items.get(ticket).map(|item| {
            let engine = match item.stage {
                Stage::Running(engine, _) => Some(engine),
                _ => None,
            };
            (engine, &item.work)
        })
    }

    /// Returns whether any attempt of the work was started.
    pub fn has_run(&self, ticket: Ticket) -> bool {
        self.attempts(ticket) > 0
    }

    /// Returns the number of attempts that were started.
    pub fn attempts(&self, ticket: Ticket) -> u32 {
        self.items.get(ticket).map_or(0, |item| item.attempts)
    }

    /// Returns the running routine requests that should give way to urgent requests of this host
    /// that wait in the queue of the same engine.
    ///
    /// Each is returned once; it is to come back by [`Scheduler::requeue`]. Routine work keeps at
    /// least its floor of the running requests.
    pub fn pause(&mut self, split: &Split) -> Vec<Ticket> {
        let mut paused = Vec::new();
        if self.preemption != Preemption::Pause {
            return paused;
        }
        let now = self.clock.now();
        let patience = split.target(Rank::Urgent).first_token / PAUSE_PART;
        let classes = self.classes.iter();
        let routine = classes.filter(|(class, _)| class.rank == Rank::Routine);
        let mut running: usize = routine.map(|(_, want)| want.in_use as usize).sum();
        while let Some((since, urgent)) = self.starting.first().copied() {
            let kept = self.running * self.floor_percent as usize / 100;
            if now.duration_since(since) < patience || running <= kept {
                break;
            }
            self.starting.pop_first();
            let Some((Some(engine), _)) = self.get(urgent) else {
                continue;
            };
            // The one that started last has the least to read again.
            let last = self.routine.get(&engine).and_then(|set| set.last());
            let Some((started, ticket)) = last.copied() else {
                continue;
            };
            remove_running(&mut self.routine, engine, (started, ticket));
            self.items[ticket].is_pausing = true;
            running -= 1;
            paused.push(ticket);
        }
        paused
    }

    /// Learns from work that was served in full how much of `max_tokens` its team uses.
    pub fn learn(&mut self, ticket: Ticket) {
        if let Some(item) = self.items.get(ticket) {
            let used = f64::from(item.tokens) / f64::from(item.work.max_tokens.max(1));
            let known = self.use_of.entry(item.work.team.clone()).or_insert(1.0);
            *known += USE_WEIGHT * (used.min(1.0) - *known);
        }
    }

    /// Forgets work that ended or was given up, and corrects what it was charged.
    pub fn remove(&mut self, ticket: Ticket) {
        self.unplace(ticket);
        let Some(item) = self.items.remove(ticket) else {
            return;
        };
        if let Some(want) = self.classes.get_mut(&class(&item.work)) {
            want.wanted -= 1;
        }
        if let Some(pool) = self.pools.get_mut(&item.work.need.model) {
            pool.tree.charge(item.caller, item.done - item.charged);
            pool.tree.release(item.caller);
        }
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.running
    }
}

impl Pool {
    fn new(now: Instant, floor_percent: u32) -> Self {
        Self {
            tree: Tree::new(floor_percent),
            resuming: BTreeMap::new(),
            active: BTreeMap::new(),
            meter: Meter {
                marked: now,
                work: [0.0; 2],
                rate: [0.0; 2],
                backlogged: None,
            },
        }
    }

    /// Returns the place of work in the engines' own queues.
    ///
    /// Routine work below its floor goes like urgent work, whose queues at the engines would
    /// otherwise never leave it a free place.
    fn priority(&self, rank: Rank) -> Rank {
        match rank {
            Rank::Routine if self.tree.is_floor_due() => Rank::Urgent,
            rank => rank,
        }
    }

    /// Checks the bounds of the queues that a new request of a caller would join.
    fn check_queues(&self, caller: Node, partners: usize) -> Result<(), Refusal> {
        let of_caller = QUEUE_LIMIT / partners.max(1) / 8;
        let [caller, team, partner] = self.tree.waiting_above(caller);
        let is_contended = self.tree.waiting() > caller;
        let full = if partner >= 8 * of_caller {
            Scope::Partner
        } else if team >= 4 * of_caller {
            Scope::Team
        } else if is_contended && caller >= of_caller {
            Scope::Caller
        } else {
            return Ok(());
        };
        Err(Refusal {
            reason: Reason::QueueFull,
            scope: Some(full),
            retry_after: Duration::from_secs(1),
        })
    }

    /// Checks that a new request of a caller can start within `limit`.
    fn check_wait(
        &self,
        caller: Node,
        rank: Rank,
        limit: Duration,
        now: Instant,
    ) -> Result<(), Refusal> {
        match self.wait(caller, rank, now) {
            Some(wait) if wait > limit => Err(Refusal::new(
                Reason::DeadlineUnreachable,
                (wait - limit).max(Duration::from_secs(1)),
            )),
            _ => Ok(()),
        }
    }

    /// Returns the expected wait of a new request; `None` until the rate is known.
    fn wait(&self, caller: Node, rank: Rank, now: Instant) -> Option<Duration> {
        let since = self.meter.backlogged?;
        if now.duration_since(since) < RATE_SETTLED {
            return None;
        }
        let total: f64 = self.meter.rate.iter().sum();
        let floor = self.tree.floor();
        let other = match rank {
            Rank::Urgent => self.meter.rate[1].min(floor * total),
            Rank::Routine => self.meter.rate[0].min((1.0 - floor) * total),
        };
        let rate = total - other;
        if rate <= 0.0 {
            return None;
        }
        let seconds = self.tree.expected_wait(caller, rate);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Measures the rate of work.
    fn measure(&mut self, now: Instant) {
        let meter = &mut self.meter;
        if self.tree.waiting() == 0 {
            meter.backlogged = None;
        } else if meter.backlogged.is_none() {
            meter.backlogged = Some(now);
        }
        let elapsed = now.duration_since(meter.marked);
        if elapsed < RATE_PERIOD {
            return;
        }
        for (rate, work) in meter.rate.iter_mut().zip(&mut meter.work) {
            let newest = *work / elapsed.as_secs_f64();
            *rate += RATE_WEIGHT * (newest - *rate);
            *work = 0.0;
        }
        meter.marked = now;
        let tree = &mut self.tree;
        self.active.retain(|caller, at| {
            let stays = tree.is_held(*caller) || now.duration_since(*at) < ACTIVE;
            if !stays {
                tree.set_active(*caller, false);
            }
            stays
        });
        self.tree
            .set_credit(FLOOR_CREDIT_S * meter.rate.iter().sum::<f64>());
    }
}

fn remove_running(
    of: &mut BTreeMap<Engine, BTreeSet<(Instant, Ticket)>>,
    engine: Engine,
    entry: (Instant, Ticket),
) {
    if let Some(set) = of.get_mut(&engine) {
        set.remove(&entry);
        if set.is_empty() {
            of.remove(&engine);
        }
    }
}

fn class(work: &Work) -> Class {
    Class {
        partner: work.partner.clone(),
        rank: work.rank,
    }
}

/// Name of the one queue in which all work waits under first come, first served.
static ONE_QUEUE: CompactString = CompactString::const_new("all");

fn path<'a>(order: Order, work: &'a Work, split: &Split) -> Path<'a> {
    if order == Order::Fifo {
        return Path {
            rank: Rank::Routine,
            partner: (&ONE_QUEUE, 1),
            team: (&ONE_QUEUE, 1),
            caller: &ONE_QUEUE,
        };
    }
    let share = split.partners.get(&work.partner);
    let weight = split.teams.get(&work.team);
    Path {
        rank: work.rank,
        partner: (&work.partner, share.map_or(1, |partner| partner.share)),
        team: (&work.team, weight.map_or(1, |team| team.weight)),
        caller: &work.caller,
    }
}
