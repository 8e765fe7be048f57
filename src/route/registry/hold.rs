//! Engines that turned a request away and asked this host to send nothing for a while.
//!
//! Such an engine gets no request until that time has passed. It is then tried with one request at a
//! time while other engines can take the rest, until it answers without asking again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{Engine, Incarnation, Registry};
use crate::clock::Clock;

/// Upper bound on a hold. An engine that asks for more is tried again after it, in case its value is
/// wrong.
pub const HOLD_MAX: Duration = Duration::from_secs(3600);

/// Time for which a trial that has no answer yet lets other engines go first.
const TRIAL_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Hold {
    began_at: Instant,
    until: Instant,
    /// When the last request was sent after `until`.
    tried_at: Option<Instant>,
}

/// Holds of engines that have not answered since, also of those whose entry was removed.
#[derive(Debug, Default)]
pub(super) struct Holds(BTreeMap<Incarnation, Hold>);

impl Holds {
    /// Returns for how long from `now` an engine gets no request.
    pub(super) fn left(&self, incarnation: Incarnation, now: Instant) -> Duration {
        let hold = self.0.get(&incarnation);
        hold.map_or(Duration::ZERO, |hold| {
            hold.until.saturating_duration_since(now)
        })
    }

    /// Returns whether a request is sent to see whether an engine takes requests again.
    pub(super) fn is_on_trial(&self, incarnation: Incarnation, now: Instant) -> bool {
        let tried_at = self.0.get(&incarnation).and_then(|hold| hold.tried_at);
        tried_at.is_some_and(|at| now.duration_since(at) < TRIAL_TIME)
    }

    /// Records that a request is sent to an engine, which is a trial if its hold is over.
    pub(super) fn record_request(&mut self, incarnation: Incarnation, now: Instant) {
        if let Some(hold) = self.0.get_mut(&incarnation)
            && hold.until <= now
        {
            hold.tried_at = Some(now);
        }
    }

    /// Starts a hold. A longer one that has begun before stays.
    fn insert(&mut self, incarnation: Incarnation, duration: Duration, now: Instant) {
        let until = now + duration;
        let hold = self.0.entry(incarnation).or_insert(Hold {
            began_at: now,
            until,
            tried_at: None,
        });
        hold.until = hold.until.max(until);
        hold.tried_at = None;
    }

    /// Ends the hold of an engine that answered after it; returns how long ago it began.
    fn release(&mut self, incarnation: Incarnation, now: Instant) -> Option<Duration> {
        self.0.get(&incarnation).filter(|hold| hold.until <= now)?;
        let hold = self.0.remove(&incarnation)?;
        Some(now.duration_since(hold.began_at))
    }

    /// Drops holds that are over of engines that are not in `registered`.
    fn expire(&mut self, registered: &BTreeSet<Incarnation>, now: Instant) {
        self.0
            .retain(|incarnation, hold| hold.until > now || registered.contains(incarnation));
    }
}

impl<C: Clock> Registry<C> {
    /// Sends nothing to an engine for `duration`, up to an hour. Returns for how long it gets nothing,
    /// or `None` if it is held already.
    pub fn hold(&mut self, engine: Engine, duration: Duration) -> Option<Duration> {
        let incarnation = self.engines.get(engine)?.incarnation;
        let now = self.clock.now();
        let is_held = !self.holds.left(incarnation, now).is_zero();
        self.holds.insert(incarnation, duration.min(HOLD_MAX), now);
        let registered = self.incarnations();
        self.holds.expire(&registered, now);
        (!is_held).then(|| self.holds.left(incarnation, now))
    }

    /// Records an answer of an engine that does not ask to be left alone. Returns how long ago its
    /// hold began if that ends it.
    pub fn release(&mut self, engine: Engine) -> Option<Duration> {
        let incarnation = self.engines.get(engine)?.incarnation;
        self.holds.release(incarnation, self.clock.now())
    }

    /// Returns the time until the first engine of a service takes requests if all that would take
    /// them are held; zero if one is not, or there is none.
    pub fn held_for(&self, service: &str) -> Duration {
        let now = self.clock.now();
        let states = self.by_id.values().map(|key| &self.engines[*key]);
        let staying = states.filter(|state| {
            let registration = &state.registration;
            registration.service == service
                && !registration.is_draining
                && !self.leaving.contains(state.incarnation)
        });
        let left = staying.map(|state| self.holds.left(state.incarnation, now));
        left.min().unwrap_or_default()
    }

    /// Returns whether an engine has asked for no request at present.
    pub fn is_declining(&self, engine: Engine) -> bool {
        let now = self.clock.now();
        let state = self.engines.get(engine);
        state.is_some_and(|state| {
            self.leaving.contains(state.incarnation)
                || !self.holds.left(state.incarnation, now).is_zero()
        })
    }
}
