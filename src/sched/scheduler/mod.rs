//! Scheduler of one host: queues jobs, decides which one starts next and on which engine, and tracks
//! the running ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::clock::Clock;
use crate::config::host::{Preemption, QueueOrder};
use crate::config::split::SharedSettings;
use crate::http::problem::Reason;
use crate::route::fleet::{self, Engine, Fleet, Need};
use crate::sched::job::{Job, Refusal, Start, Ticket};
use crate::sched::lease::{Class, ClassDemand, Demand, Grant};
use crate::sched::tree::{Node, Path, Position};
use crate::wire::Rank;
use queue::{ModelQueue, QUEUE_LIMIT};

mod choice;
mod queue;

/// Work to prefill an uncached prompt token, in output tokens.
const PREFILL_WORK: f64 = 0.1;

/// Weight of the newest request in the moving average of the used fraction of `max_tokens`.
const USED_FRACTION_WEIGHT: f64 = 0.1;

/// Smallest fraction of `max_tokens` that is charged when a job starts.
const USED_FRACTION_MIN: f64 = 0.05;

/// Largest number of times that a routine job is paused.
const PAUSES_MAX: u32 = 2;

/// Divisor of the urgent target for the first token: when an urgent job has waited on an engine for
/// this part of the target, a routine job there is paused.
const PAUSE_DIVISOR: u32 = 4;

/// Time after which a paused job goes before all new jobs, because its output should continue within
/// 4 s.
const PAUSE_LIMIT: Duration = Duration::from_secs(3);

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waits in the fair queues.
    Queued(Position),
    /// Has run, and waits for another engine under this number of `ModelQueue::resuming`.
    Resuming(u64),
    /// Runs on the engine since the instant.
    Running(Engine, Instant),
    /// Neither waits nor runs: being moved, or removed from the queue at its deadline.
    Detached,
}

/// A queued or running job with its account of work.
#[derive(Debug)]
struct Entry {
    job: Job,
    stage: Stage,
    deadline: Instant,
    attempts: u32,
    /// Work expected when the job was queued, in tokens.
    expected: f64,
    /// Work charged so far, in tokens.
    charged: f64,
    /// Work done so far, in tokens.
    done: f64,
    /// Output tokens so far.
    tokens: u32,
    /// When the latest output arrived, in the current attempt.
    output_at: Option<Instant>,
    /// Node of the caller, which is charged.
    caller: Node,
    pauses: u32,
    // Deadline of a paused job. Its `deadline` is earlier: from then on it goes before new jobs.
    final_deadline: Option<Instant>,
    is_pausing: bool,
}

/// Scheduler of one host.
#[derive(Debug)]
pub struct Scheduler<C: Clock> {
    clock: C,
    order: QueueOrder,
    preemption: Preemption,
    entries: SlotMap<Ticket, Entry>,
    queues: BTreeMap<CompactString, ModelQueue>,
    // Invariant: exactly the jobs that wait, by deadline.
    deadlines: BTreeSet<(Instant, Ticket)>,
    // Invariant: `wanted` counts the jobs of a class, `in_use` those that run.
    classes: BTreeMap<Class, ClassDemand>,
    // Running routine jobs that may be paused, by engine and start time.
    pausable: BTreeMap<Engine, BTreeSet<(Instant, Ticket)>>,
    // Urgent jobs that were started and have no output yet, by start time.
    awaiting_output: BTreeSet<(Instant, Ticket)>,
    running: usize,
    // Fraction of `max_tokens` that the jobs of a team use, as a moving average.
    used_fractions: BTreeMap<CompactString, f64>,
    grant: Option<Grant>,
    granted_at: Instant,
    // Work done on this host since the last grant by partner, in tokens.
    local_work: BTreeMap<CompactString, f64>,
    last_resume_number: u64,
    floor_percent: u32,
}

impl<C: Clock> Scheduler<C> {
    /// Creates a scheduler without jobs and with the default policies.
    pub fn new(clock: C) -> Self {
        Self::with_policy(clock, QueueOrder::Fair, Preemption::default())
    }

    /// Creates a scheduler without jobs and with the given policies.
    pub fn with_policy(clock: C, order: QueueOrder, preemption: Preemption) -> Self {
        Self {
            granted_at: clock.now(),
            clock,
            order,
            preemption,
            entries: SlotMap::with_key(),
            queues: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            classes: BTreeMap::new(),
            pausable: BTreeMap::new(),
            awaiting_output: BTreeSet::new(),
            running: 0,
            used_fractions: BTreeMap::new(),
            grant: None,
            local_work: BTreeMap::new(),
            last_resume_number: 0,
            floor_percent: SharedSettings::default()
                .target(Rank::Routine)
                .floor_percent,
        }
    }

    /// Applies the weights of new settings, also to waiting jobs.
    pub fn set_settings(&mut self, settings: &SharedSettings) {
        self.floor_percent = settings.target(Rank::Routine).floor_percent;
        for queue in self.queues.values_mut() {
            queue.tree.set_floor(self.floor_percent);
            queue.tree.set_weights(|level, name| match level {
                1 => settings.partners.get(name).map(|partner| partner.share),
                _ => settings.teams.get(name).map(|team| team.weight),
            });
        }
        let teams = &settings.teams;
        self.used_fractions
            .retain(|team, _| teams.contains_key(team));
    }

    /// Limits the running jobs to the slots of a grant, and charges partners with the work that
    /// other hosts did since the last grant.
    pub fn set_grant(&mut self, grant: &Grant) {
        let now = self.clock.now();
        let seconds = now.duration_since(self.granted_at).as_secs_f64();
        let total = grant.work_per_s.values().sum::<f64>() * seconds;
        let here = |partner| self.local_work.get(partner).copied().unwrap_or(0.0);
        // Each host corrects the part of an imbalance that matches its part of all work. If each
        // corrected the whole imbalance, the hosts together would overshoot.
        let local_part = self.local_work.values().sum::<f64>() / total.max(1.0);
        let remote_work: BTreeMap<_, _> = grant
            .work_per_s
            .iter()
            .map(|(partner, rate)| {
                let excess = rate * seconds * local_part.min(1.0) - here(partner);
                (partner.clone(), excess)
            })
            .collect();
        if self.grant.is_some() {
            for queue in self.queues.values_mut() {
                queue.tree.charge_remote_work(&remote_work);
            }
        }
        self.local_work.clear();
        self.granted_at = now;
        self.grant = Some(grant.clone());
    }

    /// Returns the demand of this host, and resets the count of work done.
    pub fn demand(&mut self) -> Demand {
        let demand = Demand {
            classes: self.classes.clone(),
        };
        for class in self.classes.values_mut() {
            class.work = 0;
        }
        self.classes.retain(|_, class| class.wanted > 0);
        demand
    }

    /// Queues a new job.
    ///
    /// # Errors
    /// A queue is full, or the job is not expected to start within the queue limit of its rank.
    pub fn submit(&mut self, job: Job, settings: &SharedSettings) -> Result<Ticket, Refusal> {
        let now = self.clock.now();
        let limit = settings.target(job.rank).queue_limit;
        let order = self.order;
        let floor = self.floor_percent;
        let queue = self
            .queues
            .entry(job.need.model.clone())
            .or_insert_with(|| ModelQueue::new(now, floor));
        let caller = queue.tree.caller(&path(order, &job, settings));
        if order == QueueOrder::Fair {
            queue.check_queues(caller, settings.partners.len())?;
            queue.check_wait(caller, job.rank, limit, now)?;
        } else if queue.tree.waiting() >= QUEUE_LIMIT {
            return Err(Refusal::new(Reason::QueueFull, Duration::from_secs(1)));
        }
        let used_fraction = self.used_fractions.get(&job.team).copied().unwrap_or(1.0);
        let expected = f64::from(job.max_tokens) * used_fraction.max(USED_FRACTION_MIN)
            + PREFILL_WORK * f64::from(job.prompt_tokens);
        self.classes.entry(class(&job)).or_default().wanted += 1;
        let ticket = self.entries.insert(Entry {
            job,
            stage: Stage::Detached,
            deadline: now + limit,
            attempts: 0,
            expected,
            charged: 0.0,
            done: 0.0,
            tokens: 0,
            output_at: None,
            caller,
            pauses: 0,
            final_deadline: None,
            is_pausing: false,
        });
        queue.tree.add_request(caller);
        if queue.active_callers.insert(caller, now).is_none() {
            queue.tree.set_active(caller, true);
        }
        let position = queue.tree.push(caller, ticket, expected);
        self.entries[ticket].stage = Stage::Queued(position);
        self.deadlines.insert((now + limit, ticket));
        Ok(ticket)
    }

    /// Puts a running job back into the queue for another engine.
    ///
    /// It goes before all new jobs. If it was paused, it goes before the other jobs of its caller,
    /// and before all new jobs after `PAUSE_LIMIT`.
    pub fn requeue(&mut self, ticket: Ticket, need: Need, deadline: Instant) {
        self.detach(ticket);
        let now = self.clock.now();
        let Some(entry) = self.entries.get_mut(ticket) else {
            return;
        };
        entry.job.need = need;
        entry.output_at = None;
        let is_paused = std::mem::take(&mut entry.is_pausing);
        if !is_paused {
            return self.resume(ticket, deadline);
        }
        let Some(queue) = self.queues.get_mut(&entry.job.need.model) else {
            return;
        };
        queue.tree.charge(entry.caller, entry.done - entry.charged);
        entry.expected = (entry.charged - entry.done).max(1.0);
        entry.charged = entry.done;
        entry.pauses += 1;
        entry.final_deadline = Some(deadline);
        entry.deadline = deadline.min(now + PAUSE_LIMIT);
        let position = queue.tree.push_front(entry.caller, ticket, entry.expected);
        entry.stage = Stage::Queued(position);
        self.deadlines.insert((entry.deadline, ticket));
    }

    /// Queues a job that has run before all new jobs.
    fn resume(&mut self, ticket: Ticket, deadline: Instant) {
        self.last_resume_number += 1;
        let number = self.last_resume_number;
        let Some(entry) = self.entries.get_mut(ticket) else {
            return;
        };
        entry.deadline = deadline;
        entry.final_deadline = None;
        entry.stage = Stage::Resuming(number);
        if let Some(queue) = self.queues.get_mut(&entry.job.need.model) {
            queue.resuming.insert(number, ticket);
        }
        self.deadlines.insert((deadline, ticket));
    }

    /// Removes a job from the queue or from its engine, and marks it as [`Stage::Detached`].
    fn detach(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.get_mut(ticket) else {
            return;
        };
        let stage = std::mem::replace(&mut entry.stage, Stage::Detached);
        self.deadlines.remove(&(entry.deadline, ticket));
        let queue = self.queues.get_mut(&entry.job.need.model);
        match (stage, queue) {
            (Stage::Queued(position), Some(queue)) => queue.tree.remove(position, entry.expected),
            (Stage::Resuming(number), Some(queue)) => {
                queue.resuming.remove(&number);
            }
            (Stage::Running(engine, since), queue) => {
                self.running -= 1;
                if let Some(queue) = queue {
                    queue.tree.set_running(entry.caller, false);
                }
                remove_running(&mut self.pausable, engine, (since, ticket));
                self.awaiting_output.remove(&(since, ticket));
                if let Some(demand) = self.classes.get_mut(&class(&entry.job)) {
                    demand.in_use -= 1;
                }
            }
            _ => {}
        }
    }

    /// Starts the next job: chooses it and its engine.
    ///
    /// An engine is sought only for the first job of a queue, because all waiting jobs of a model
    /// need the same engines.
    pub fn next(&mut self, fleet: &Fleet<C>) -> Option<Start> {
        let found = self.next_resumed(fleet).or_else(|| self.next_new(fleet));
        let start = found?;
        let Start { ticket, engine, .. } = start;
        self.charge_at_start(ticket, engine, fleet);
        self.detach(ticket);
        let now = self.clock.now();
        let entry = &mut self.entries[ticket];
        entry.stage = Stage::Running(engine, now);
        entry.attempts += 1;
        entry.final_deadline = None;
        self.running += 1;
        if let Some(queue) = self.queues.get_mut(&entry.job.need.model) {
            queue.tree.set_running(entry.caller, true);
        }
        match entry.job.rank {
            Rank::Routine if entry.pauses < PAUSES_MAX => {
                self.pausable
                    .entry(engine)
                    .or_default()
                    .insert((now, ticket));
            }
            Rank::Routine => {}
            Rank::Urgent => {
                self.awaiting_output.insert((now, ticket));
            }
        }
        self.classes.entry(class(&entry.job)).or_default().in_use += 1;
        Some(start)
    }

    fn charge_at_start(&mut self, ticket: Ticket, engine: Engine, fleet: &Fleet<C>) {
        let entry = &mut self.entries[ticket];
        let queue = self.queues.get_mut(&entry.job.need.model);
        let (Stage::Queued(position), Some(queue)) = (entry.stage, queue) else {
            return;
        };
        queue.tree.serve(position, entry.expected);
        entry.charged += entry.expected;
        if entry.attempts > 0 {
            return;
        }
        let cached = fleet.get(engine).map_or(0, |engine| {
            fleet::cached_tokens(engine.cached_blocks(&entry.job.need.blocks))
        });
        let cached = f64::from(cached.min(entry.job.prompt_tokens));
        queue.tree.charge(entry.caller, -PREFILL_WORK * cached);
        entry.charged -= PREFILL_WORK * cached;
        entry.done += PREFILL_WORK * (f64::from(entry.job.prompt_tokens) - cached);
    }

    /// Removes jobs whose deadline has passed from the queue and returns them. Also measures the
    /// rate of work.
    ///
    /// The tickets stay valid until [`Scheduler::remove`].
    pub fn expire(&mut self, fleet: &Fleet<C>) -> Vec<(Ticket, Refusal)> {
        let now = self.clock.now();
        for queue in self.queues.values_mut() {
            queue.measure(now);
        }
        let mut expired = Vec::new();
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            if let Some(final_deadline) = self.entries[ticket].final_deadline {
                self.detach(ticket);
                self.resume(ticket, final_deadline.max(now + PAUSE_LIMIT));
                continue;
            }
            let entry = &self.entries[ticket];
            let reason = match fleet.has_candidate(&entry.job.need) {
                true => Reason::DeadlineUnreachable,
                false => Reason::NoEngine,
            };
            let queue = self.queues.get(&entry.job.need.model);
            let wait = queue.and_then(|queue| queue.wait(entry.caller, entry.job.rank, now));
            let wait = wait.unwrap_or(Duration::ZERO).max(Duration::from_secs(1));
            expired.push((ticket, Refusal::new(reason, wait)));
            self.detach(ticket);
        }
        expired
    }

    /// Records new output tokens of a running job; returns the time per token since its previous
    /// output, if there was any.
    pub fn progress(&mut self, ticket: Ticket, tokens: u32) -> Option<Duration> {
        let now = self.clock.now();
        let entry = self.entries.get_mut(ticket)?;
        let Stage::Running(_, since) = entry.stage else {
            return None;
        };
        self.awaiting_output.remove(&(since, ticket));
        let work = f64::from(tokens);
        entry.tokens += tokens;
        entry.done += work;
        let uncharged = entry.done - entry.charged;
        if let Some(queue) = self.queues.get_mut(&entry.job.need.model) {
            queue.meter.work[entry.job.rank as usize] += work;
            if uncharged > 0.0 {
                entry.charged += uncharged;
                queue.tree.charge(entry.caller, uncharged);
            }
        }
        let class = class(&entry.job);
        *self.local_work.entry(class.partner.clone()).or_default() += work;
        self.classes.entry(class).or_default().work += u64::from(tokens);
        let before = entry.output_at.replace(now)?;
        Some(now.duration_since(before) / tokens.max(1))
    }

    /// Returns a job and the engine on which it runs.
    pub fn get(&self, ticket: Ticket) -> Option<(Option<Engine>, &Job)> {
        self.entries.get(ticket).map(|entry| {
            let engine = match entry.stage {
                Stage::Running(engine, _) => Some(engine),
                _ => None,
            };
            (engine, &entry.job)
        })
    }

    /// Returns whether any attempt of the job was started.
    pub fn has_run(&self, ticket: Ticket) -> bool {
        self.attempts(ticket) > 0
    }

    /// Returns the number of attempts that were started.
    pub fn attempts(&self, ticket: Ticket) -> u32 {
        self.entries.get(ticket).map_or(0, |entry| entry.attempts)
    }

    /// Chooses running routine jobs to pause for urgent jobs of this host that wait in the queue of
    /// the same engine.
    ///
    /// Each job is returned once; the caller stops it and passes it to [`Scheduler::requeue`].
    /// Routine work keeps at least its floor of the running jobs.
    pub fn select_pauses(&mut self, settings: &SharedSettings) -> Vec<Ticket> {
        let mut paused = Vec::new();
        if self.preemption != Preemption::Pause {
            return paused;
        }
        let now = self.clock.now();
        let wait_limit = settings.target(Rank::Urgent).first_token / PAUSE_DIVISOR;
        let classes = self.classes.iter();
        let routine = classes.filter(|(class, _)| class.rank == Rank::Routine);
        let mut running: usize = routine.map(|(_, demand)| demand.in_use as usize).sum();
        while let Some((since, urgent)) = self.awaiting_output.first().copied() {
            let reserved = self.running * self.floor_percent as usize / 100;
            if now.duration_since(since) < wait_limit || running <= reserved {
                break;
            }
            self.awaiting_output.pop_first();
            let Some((Some(engine), _)) = self.get(urgent) else {
                continue;
            };
            // The job that started last has the fewest tokens to prefill again when it resumes.
            let last = self.pausable.get(&engine).and_then(|set| set.last());
            let Some((started, ticket)) = last.copied() else {
                continue;
            };
            remove_running(&mut self.pausable, engine, (started, ticket));
            self.entries[ticket].is_pausing = true;
            running -= 1;
            paused.push(ticket);
        }
        paused
    }

    /// Updates the used fraction of `max_tokens` of a team from a job that was served in full.
    pub fn record_usage(&mut self, ticket: Ticket) {
        if let Some(entry) = self.entries.get(ticket) {
            let used = f64::from(entry.tokens) / f64::from(entry.job.max_tokens.max(1));
            let average = self
                .used_fractions
                .entry(entry.job.team.clone())
                .or_insert(1.0);
            *average += USED_FRACTION_WEIGHT * (used.min(1.0) - *average);
        }
    }

    /// Removes a job that ended or was given up, and corrects its charge to the work done.
    pub fn remove(&mut self, ticket: Ticket) {
        self.detach(ticket);
        let Some(entry) = self.entries.remove(ticket) else {
            return;
        };
        if let Some(demand) = self.classes.get_mut(&class(&entry.job)) {
            demand.wanted -= 1;
        }
        if let Some(queue) = self.queues.get_mut(&entry.job.need.model) {
            queue.tree.charge(entry.caller, entry.done - entry.charged);
            queue.tree.remove_request(entry.caller);
        }
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the number of running jobs.
    pub fn running(&self) -> usize {
        self.running
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

fn class(job: &Job) -> Class {
    Class {
        partner: job.partner.clone(),
        rank: job.rank,
    }
}

/// Name of the single queue for first come, first served order.
static FIFO_QUEUE: CompactString = CompactString::const_new("all");

fn path<'a>(order: QueueOrder, job: &'a Job, settings: &SharedSettings) -> Path<'a> {
    if order == QueueOrder::Fifo {
        return Path {
            rank: Rank::Routine,
            partner: (&FIFO_QUEUE, 1),
            team: (&FIFO_QUEUE, 1),
            caller: &FIFO_QUEUE,
        };
    }
    let share = settings.partners.get(&job.partner);
    let weight = settings.teams.get(&job.team);
    Path {
        rank: job.rank,
        partner: (&job.partner, share.map_or(1, |partner| partner.share)),
        team: (&job.team, weight.map_or(1, |team| team.weight)),
        caller: &job.caller,
    }
}
