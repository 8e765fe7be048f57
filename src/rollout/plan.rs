//! What to do with an order, by time and by joint counts.

use std::time::Duration;

use super::tally::Tally;

/// Part of the order's time after which all requests go to a version that is not bad. Until then it may
/// show that it turns bad later.
const PROMOTED_AFTER: f64 = 0.7;

/// Part of the order's time after which a version that did not get all requests is reverted. It comes after
/// [`PROMOTED_AFTER`], so that missing answers or engines can still arrive.
const ENDED_AFTER: f64 = 0.8;

/// Part of the order's time after which a version that has all requests is completed, although old
/// engines still have work. The rest is for the write.
const COMPLETED_AFTER: f64 = 0.85;

/// Answers of the new version without which it does not get all requests. A version that has shown
/// nothing must not be taken for a sound one.
const ANSWERS_MIN: u32 = 5;

/// Part of [`Policy::ratio`] that the hosts use. Each host decides by counts that lack the latest requests
/// of the others, so the rest is a margin for requests that are not reported yet.
const USED_FRACTION: f64 = 0.8;

/// Part of [`Policy::tolerance`] that the hosts use. The rest is a margin for the same reason, which does not
/// depend on the number of requests.
const USED_TOLERANCE: f64 = 0.4;

/// Limits on the requests that a version gets before it gets all: at most `ratio` of the requests for the
/// service, and `tolerance` further ones.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Limit as part of the requests for the service.
    pub ratio: f64,
    /// Number of requests above that part.
    pub tolerance: f64,
}

/// A step of the ramp: until it is over, requests go to the new version with a probability of this part of
/// [`Policy::ratio`].
struct Step {
    part: f64,
    // Answers and part of the time, both of which end the step.
    answers: u32,
    after: f64,
    // Part of the time that ends the step whatever the answers are.
    at_latest: f64,
}

/// Part of [`Policy::ratio`] in the last step, which lasts until the decision. It is above 1
/// so that [`Policy::tolerance`] is used early; [`View::has_room`] bounds the sum of all steps.
const LAST_PART: f64 = 1.5;

/// The steps before the last one.
const STEPS: [Step; 2] = [
    Step {
        part: 0.25,
        answers: 4,
        after: 0.04,
        at_latest: 0.1,
    },
    Step {
        part: 0.5,
        answers: 12,
        after: 0.1,
        at_latest: 0.25,
    },
];

/// An order as a host sees it.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time in which the order is to be carried out.
    pub duration: Duration,
    /// Joint counts of all hosts.
    pub tally: &'a Tally,
}

impl View<'_> {
    /// Returns the passed part of the order's time.
    fn progress(&self) -> f64 {
        let duration = self.duration.as_secs_f64().max(f64::MIN_POSITIVE);
        self.elapsed.as_secs_f64() / duration
    }

    fn answers(&self) -> u32 {
        let pairs = self.tally.routes.values();
        pairs.map(|pair| pair.new.total()).sum()
    }

    /// Returns the probability with which a request goes to the new version.
    pub fn share(&self, policy: Policy) -> f64 {
        let (answers, progress) = (self.answers(), self.progress());
        let is_over = |step: &&Step| {
            let has_evidence = answers >= step.answers && progress >= step.after;
            has_evidence || progress >= step.at_latest
        };
        let step = STEPS.iter().find(|step| !is_over(step));
        step.map_or(LAST_PART, |step| step.part) * policy.ratio
    }

    /// Returns whether a further request to the new version stays within the limit.
    pub fn has_room(&self, policy: Policy) -> bool {
        let allowed = f64::from(self.tally.requests) * policy.ratio * USED_FRACTION;
        let allowed = allowed + policy.tolerance * USED_TOLERANCE;
        f64::from(self.tally.trials) + 1.0 <= allowed
    }

    /// Returns whether a version without evidence against it is due to get all requests.
    pub fn is_ripe(&self) -> bool {
        self.progress() >= PROMOTED_AFTER && self.answers() >= ANSWERS_MIN
    }

    /// Returns whether a version that has all requests is due to be completed, whatever the old engines
    /// still have to do.
    pub fn is_due(&self) -> bool {
        self.progress() >= COMPLETED_AFTER
    }

    /// Returns whether a version that cannot be completed is to be reverted.
    pub fn is_late(&self) -> bool {
        self.progress() >= ENDED_AFTER
    }
}
