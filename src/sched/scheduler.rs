//! Queues of waiting work and the account of running work.

use std::collections::BTreeMap;
use std::time::Instant;

use compact_str::CompactString;
use slotmap::SlotMap;

use super::lease::{Class, Demand, Grant};
use crate::clock::Clock;
use crate::config::split::Split;
use crate::http::problem::Reason;
use crate::route::fleet::{Engine, Fleet, Need};
use crate::wire::Rank;

slotmap::new_key_type! {
    /// Names a request that waits or runs.
    pub struct Ticket;
}

/// Requests that may wait on one host.
const QUEUE_LIMIT: usize = 4096;

/// Work that asks to run.
#[derive(Clone, Debug)]
pub struct Work {
    /// Partner that pays.
    pub partner: CompactString,
    /// Team of the partner.
    pub team: CompactString,
    /// Caller of the team.
    pub caller: CompactString,
    /// Rank.
    pub rank: Rank,
    /// What the work needs of an engine.
    pub need: Need,
    /// Tokens of prompt.
    pub prompt_tokens: u32,
    /// Greatest number of output tokens.
    pub max_tokens: u32,
}

/// Why work was not taken or not started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
}

#[derive(Debug)]
struct Item {
    work: Work,
    deadline: Instant,
    arrived: Instant,
    engine: Option<Engine>,
    has_run: bool,
}

fn class(work: &Work) -> Class {
    Class {
        partner: work.partner.clone(),
        rank: work.rank,
    }
}

/// Decides which waiting work runs next, and on which engine.
#[derive(Debug)]
pub struct Scheduler<C: Clock> {
    clock: C,
    items: SlotMap<Ticket, Item>,
    // Invariant: holds only tickets whose item has no engine.
    waiting: Vec<Ticket>,
    work: BTreeMap<Class, u64>,
    grant: Option<u32>,
}

impl<C: Clock> Scheduler<C> {
    /// Creates a scheduler without work.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            items: SlotMap::with_key(),
            waiting: Vec::new(),
            work: BTreeMap::new(),
            grant: None,
        }
    }

    /// Takes work into the queue.
    ///
    /// # Errors
    /// The queue is full.
    pub fn submit(&mut self, work: Work, split: &Split) -> Result<Ticket, Refusal> {
        if self.waiting.len() >= QUEUE_LIMIT {
            return Err(Refusal {
                reason: Reason::QueueFull,
            });
        }
        let now = self.clock.now();
        let deadline = now + split.target(work.rank).queue_limit;
        let ticket = self.items.insert(Item {
            work,
            deadline,
            arrived: now,
            engine: None,
            has_run: false,
        });
        self.waiting.push(ticket);
        Ok(ticket)
    }

    /// Puts running work back into the queue for another engine; it keeps its place in time.
    pub fn requeue(&mut self, ticket: Ticket, need: Need, deadline: Instant) {
        if let Some(item) = self.items.get_mut(ticket) {
            item.engine = None;
            item.work.need = need;
            item.deadline = deadline;
            self.waiting.push(ticket);
        }
    }

    /// Chooses the next work to start and its engine.
    pub fn next(&mut self, fleet: &Fleet<C>) -> Option<(Ticket, Engine)> {
        let running = self.running() as u32;
        if self.grant.is_some_and(|places| running >= places) {
            return None;
        }
        let items = &self.items;
        self.waiting
            .sort_by_key(|ticket| (items[*ticket].work.rank, items[*ticket].arrived));
        let at = self
            .waiting
            .iter()
            .position(|ticket| fleet.choose(&items[*ticket].work.need).is_some())?;
        let ticket = self.waiting.remove(at);
        let engine = fleet.choose(&self.items[ticket].work.need)?;
        self.items[ticket].engine = Some(engine);
        self.items[ticket].has_run = true;
        Some((ticket, engine))
    }

    /// Takes work whose deadline has passed out of the queue and returns it.
    ///
    /// The tickets stay valid until [`Scheduler::remove`].
    pub fn expire(&mut self, fleet: &Fleet<C>) -> Vec<(Ticket, Refusal)> {
        let now = self.clock.now();
        let items = &self.items;
        let late: Vec<_> = self
            .waiting
            .iter()
            .filter(|ticket| items[**ticket].deadline <= now)
            .map(|ticket| {
                let reason = match fleet.has_any(&items[*ticket].work.need) {
                    true => Reason::DeadlineUnreachable,
                    false => Reason::NoEngine,
                };
                (*ticket, Refusal { reason })
            })
            .collect();
        self.waiting
            .retain(|ticket| !late.iter().any(|(expired, _)| expired == ticket));
        late
    }

    /// Notes output of running work, in tokens.
    pub fn progress(&mut self, ticket: Ticket, tokens: u32) {
        if let Some(item) = self.items.get(ticket) {
            *self.work.entry(class(&item.work)).or_default() += u64::from(tokens);
        }
    }

    /// Returns what the host wants, uses and has done since the last call.
    pub fn demand(&mut self) -> Demand {
        let mut demand = Demand::default();
        for item in self.items.values() {
            let want = demand.classes.entry(class(&item.work)).or_default();
            want.wanted += 1;
            want.in_use += u32::from(item.engine.is_some());
        }
        for (class, work) in std::mem::take(&mut self.work) {
            demand.classes.entry(class).or_default().work = work;
        }
        demand
    }

    /// Limits the work that runs to the places of a grant.
    pub fn set_grant(&mut self, grant: &Grant) {
        self.grant = Some(grant.places.values().sum());
    }

    /// Returns the engine and work of a ticket.
    pub fn get(&self, ticket: Ticket) -> Option<(Option<Engine>, &Work)> {
        self.items.get(ticket).map(|item| (item.engine, &item.work))
    }

    /// Returns whether any attempt of the work was started.
    pub fn has_run(&self, ticket: Ticket) -> bool {
        self.items.get(ticket).is_some_and(|item| item.has_run)
    }

    /// Forgets work that ended or was given up.
    pub fn remove(&mut self, ticket: Ticket) {
        self.items.remove(ticket);
        self.waiting.retain(|waiting| *waiting != ticket);
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> usize {
        self.items.len() - self.waiting.len()
    }
}
