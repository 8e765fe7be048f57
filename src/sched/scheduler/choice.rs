//! Choice of the job that starts next, and of its engine.

use super::queue::ModelQueue;
use super::{Scheduler, Stage, class};
use crate::clock::Clock;
use crate::config::host::{Preemption, QueueOrder};
use crate::route::fleet::{Fleet, SlotLimit};
use crate::sched::job::{Start, Ticket};
use crate::sched::lease::{Class, Grant};
use crate::sched::tree::CallerGroup;
use crate::wire::Rank;

/// Largest number of resuming jobs of a model for which one decision looks for an engine.
const RESUMES_TRIED_MAX: usize = 8;

/// Largest number of callers that one decision searches for one below its share; bounds its time.
const CALLERS_TRIED_MAX: usize = 32;

/// Number of urgent jobs that may wait in an engine's own queue, where they run before routine ones.
const URGENT_QUEUE_MAX: u32 = 4;

impl<C: Clock> Scheduler<C> {
    pub(super) fn next_resumed(&mut self, fleet: &Fleet<C>) -> Option<Start> {
        for queue in self.queues.values_mut() {
            let candidates = queue.resuming.iter().take(RESUMES_TRIED_MAX);
            let candidates: Vec<_> = candidates
                .map(|(number, ticket)| (*number, *ticket))
                .collect();
            for (number, ticket) in candidates {
                let need = &self.entries[ticket].job.need;
                let free = fleet.choose(need);
                if let Some(engine) = free
                    .or_else(|| fleet.choose_with(need, SlotLimit::AllAndQueue(URGENT_QUEUE_MAX)))
                {
                    return Some(Start {
                        ticket,
                        engine,
                        priority: Rank::Urgent,
                    });
                }
                // Move it behind the others, which may need other versions or exclude other engines.
                self.last_resume_number += 1;
                queue.resuming.remove(&number);
                queue.resuming.insert(self.last_resume_number, ticket);
                self.entries[ticket].stage = Stage::Resuming(self.last_resume_number);
            }
        }
        None
    }

    pub(super) fn next_new(&self, fleet: &Fleet<C>) -> Option<Start> {
        self.queues.values().find_map(|queue| {
            let ticket = self.next_ticket(queue)?;
            let must_leave_slots_free = self.must_leave_slots_free(queue, ticket);
            self.choose_engine(queue, ticket, must_leave_slots_free, fleet)
                .or_else(|| {
                    // The slots that it must leave free are for callers below their share.
                    let ticket = must_leave_slots_free.then(|| self.next_below_share(queue))??;
                    self.choose_engine(queue, ticket, false, fleet)
                })
        })
    }

    /// Returns whether a job must leave some slots free for others, which would otherwise wait for
    /// the end of a generation. This holds for callers above their share, and for routine work while
    /// urgent callers are active.
    ///
    /// Within granted slots only the callers of the same partner are compared, because the grant
    /// already divides the slots between partners.
    fn must_leave_slots_free(&self, queue: &ModelQueue, ticket: Ticket) -> bool {
        let entry = &self.entries[ticket];
        let class = class(&entry.job);
        if self.order != QueueOrder::Fair || queue.priority(class.rank) != class.rank {
            return false;
        }
        let group = match self.grant.is_some() && self.has_granted_slot(&class) {
            true => CallerGroup::Partner,
            false => CallerGroup::All,
        };
        queue.tree.is_over_share(entry.caller, group)
            || class.rank == Rank::Routine && queue.tree.is_urgent_active(entry.caller, group)
    }

    /// Returns the first job that may run without leaving slots free for others.
    fn next_below_share(&self, queue: &ModelQueue) -> Option<Ticket> {
        let mut candidates = queue.tree.first_requests().take(CALLERS_TRIED_MAX);
        let found = candidates.find(|(rank, partner, _, ticket)| {
            let class = Class {
                partner: (*partner).clone(),
                rank: *rank,
            };
            let may_run =
                self.has_granted_slot(&class) || self.is_below_granted_total(SlotLimit::All);
            may_run && !self.must_leave_slots_free(queue, *ticket)
        });
        found.map(|(_, _, _, ticket)| ticket)
    }

    /// Chooses an engine for a job; `None` if no engine may take it now.
    fn choose_engine(
        &self,
        queue: &ModelQueue,
        ticket: Ticket,
        must_leave_slots_free: bool,
        fleet: &Fleet<C>,
    ) -> Option<Start> {
        let job = &self.entries[ticket].job;
        let priority = queue.priority(job.rank);
        if must_leave_slots_free && !self.is_below_granted_total(SlotLimit::KeepSpare) {
            return None;
        }
        // Engines' own queues ignore shares, so jobs beyond their partner's slots must not wait there.
        let class = class(job);
        let may_queue = priority == Rank::Urgent
            && !must_leave_slots_free
            && (self.has_granted_slot(&class) || self.has_urgent_precedence(&class))
            && self.order == QueueOrder::Fair
            && self.preemption != Preemption::Wait;
        let free = match must_leave_slots_free {
            true => fleet.choose_with(&job.need, SlotLimit::KeepSpare),
            false => fleet.choose(&job.need),
        };
        let room = SlotLimit::AllAndQueue(URGENT_QUEUE_MAX);
        let queued = || may_queue.then(|| fleet.choose_with(&job.need, room))?;
        Some(Start {
            ticket,
            engine: free.or_else(queued)?,
            priority,
        })
    }

    /// Returns the job that is next by rank, granted slots and share.
    fn next_ticket(&self, queue: &ModelQueue) -> Option<Ticket> {
        let may_go_first = !queue.tree.is_routine_below_floor();
        let first = |class: &Class| class.rank == Rank::Urgent && self.has_urgent_precedence(class);
        let urgent = may_go_first
            .then(|| self.first_allowed(queue, first))
            .flatten();
        urgent
            .or_else(|| self.first_allowed(queue, |class| self.has_granted_slot(class)))
            .or_else(|| self.first_allowed(queue, |_| self.is_below_granted_total(SlotLimit::All)))
    }

    /// Returns whether urgent work of a class goes before work of other partners within their
    /// granted slots.
    ///
    /// It may use all slots of its own partner, and at least [`URGENT_QUEUE_MAX`], because it cannot
    /// wait for the next grant. Without this limit a flood of it would take the slots of others.
    fn has_urgent_precedence(&self, class: &Class) -> bool {
        let Some(grant) = &self.grant else {
            return true;
        };
        let is_own = |other: &Class| other.partner == class.partner;
        let slots = grant.slots.iter().filter(|(other, _)| is_own(other));
        let slots: u32 = slots.map(|(_, slots)| *slots).sum();
        let in_use = self.classes.iter().filter(|(other, _)| is_own(other));
        let in_use: u32 = in_use.map(|(_, demand)| demand.in_use).sum();
        in_use < slots.max(URGENT_QUEUE_MAX)
    }

    /// Returns the first job of the classes that `may_run` accepts.
    fn first_allowed(
        &self,
        queue: &ModelQueue,
        may_run: impl Fn(&Class) -> bool,
    ) -> Option<Ticket> {
        let next = queue.tree.next(|rank, partner| {
            let partner = partner.clone();
            may_run(&Class { partner, rank })
        });
        next.map(|(_, ticket)| ticket)
    }

    /// Returns whether a class uses fewer slots than granted to it.
    fn has_granted_slot(&self, class: &Class) -> bool {
        let Some(grant) = &self.grant else {
            return true;
        };
        let slots = grant.slots.get(class).copied().unwrap_or(0);
        let in_use = self.classes.get(class).map_or(0, |demand| demand.in_use);
        in_use < slots
    }

    /// Returns whether the host runs fewer jobs than `room` allows of all granted slots.
    fn is_below_granted_total(&self, room: SlotLimit) -> bool {
        let total = |grant: &Grant| grant.slots.values().sum::<u32>();
        self.grant
            .as_ref()
            .is_none_or(|grant| self.running < room.apply(total(grant)) as usize)
    }
}
