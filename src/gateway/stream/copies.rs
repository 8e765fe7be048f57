//! Copies of the memory of a running stream, so that it can go on when its engine and its replica are lost
//! one after the other.

use std::time::Instant;

use super::super::protocol::Protocol;
use super::super::replica::{self, Replica};
use super::Stream;
use super::forwarding::ActiveAttempt;
use crate::clock::Clock;
use crate::relay::replication::Schedule;
use crate::route::registry::Engine;

/// Copies of the run's memory that its engine makes on request of this host.
pub(super) struct Copies {
    schedule: Schedule,
    /// The copy that the engine is making.
    pending: Option<replica::Pending>,
    /// The copy that replaces the replica that the request ordered.
    current: Option<Replica>,
    /// When the replica was ordered, or the current copy begun.
    since: Instant,
    /// When the last copy was begun.
    begun_at: Instant,
    /// Where the last copy goes that its engine did not answer for. The engine may go on with it.
    unanswered: Option<Engine>,
}

impl Copies {
    /// Creates the copies of a run whose request was sent at `placed_at`.
    pub(super) fn new(placed_at: Instant) -> Self {
        Self {
            schedule: Schedule::default(),
            pending: None,
            current: None,
            since: placed_at,
            begun_at: placed_at,
            unanswered: None,
        }
    }
}

impl<C: Clock> Stream<C> {
    /// Has the memory of the run copied to another engine if none holds it any more, and renews the copy.
    pub(super) fn keep_replica<P: Protocol>(&self, active: &mut ActiveAttempt<C>) {
        let Some(lifetime) = self.admitted.copy_lifetime.filter(|_| self.can_resume()) else {
            return;
        };
        let now = self.gateway.clock.now();
        let ended = active.copies.pending.as_ref().and_then(|copy| copy.take());
        if let Some(outcome) = ended {
            active.copies.pending = None;
            self.record_copy(active, outcome, now);
        }
        let engine = active.placement.engine;
        let held = {
            let registry = self.gateway.registry.borrow();
            let since = active.copies.since;
            let replica = active.placement.replica;
            replica.filter(|replica| registry.may_hold(*replica, since))
        };
        if !active.copies.schedule.is_due(held.is_some(), lifetime, now) {
            return;
        }
        let unanswered = active.copies.unanswered.filter(|to| self.may_resume(*to));
        let to = held.or(unanswered).or_else(|| self.choose_replica(engine));
        let Some(to) = to else {
            return active.copies.schedule.record_no_room(now);
        };
        active.copies.schedule.begin(now);
        active.copies.begun_at = now;
        active.copies.unanswered = Some(to);
        let run = self.admitted.call.id.clone();
        let copy = replica::copy::<C, P>(&self.gateway, engine, to, run);
        active.copies.pending = Some(copy);
    }

    fn record_copy(&self, active: &mut ActiveAttempt<C>, outcome: replica::Outcome, now: Instant) {
        let copies = &mut active.copies;
        if outcome != replica::Outcome::Unanswered {
            copies.unanswered = None;
        }
        let replica::Outcome::Copied(copy) = outcome else {
            return copies.schedule.end(false, now);
        };
        copies.schedule.end(true, now);
        copies.since = copies.begun_at;
        active.placement.set_replica(copy.engine);
        copies.current = Some(copy);
        // Other hosts do not know the id of the copy.
        if let Some(key) = self.local {
            let mut local = self.gateway.local_streams.borrow_mut();
            local.set_replica(key, None);
        }
        let last = self.last_event();
        let pairs = format_args!("last_event={last}");
        self.admitted.trace.log("replica_copied", pairs);
    }

    /// Returns the replica that the stream can go on from if its engine is lost.
    pub(super) fn replica_of(&self, active: &ActiveAttempt<C>) -> Option<Replica> {
        let ordered = |engine| Replica {
            engine,
            source: None,
            id: self.admitted.call.id.clone(),
        };
        let copy = active.copies.current.clone();
        copy.or_else(|| active.placement.replica.map(ordered))
    }

    /// Frees the copy of a run that has ended.
    pub(super) fn release_copy<P: Protocol>(&self, active: &ActiveAttempt<C>) {
        if let Some(copy) = &active.copies.current {
            replica::release::<C, P>(&self.gateway, active.placement.engine, copy);
        }
    }
}
