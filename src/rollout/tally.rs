//! Counts of answers by version and route.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::util::hash64;

/// Number of routes that are counted apart. Further ones are counted together, which bounds the size
/// of reports.
const ROUTES_MAX: usize = 4;

/// Upper limit of the first bucket of times.
const FIRST_BUCKET: Duration = Duration::from_millis(4);

/// Factor between the limits of two buckets of times.
const BUCKET_FACTOR: f64 = std::f64::consts::SQRT_2;

/// Number of buckets of times. The last one begins at about 23 s and has no upper limit.
const BUCKETS: u8 = 27;

/// Hash of a route's name, which keeps reports small.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Route(u16);

impl Route {
    // Stands for the routes above `ROUTES_MAX`.
    const OTHERS: Self = Self(0);

    /// Returns the hash of the route `name`.
    pub fn of(name: &str) -> Self {
        Self((hash64(&[name.as_bytes()]) as u16).max(1))
    }
}

/// What an engine made of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// It began to answer after this time.
    Begun(Duration),
    /// It reported a failure.
    Failed,
    /// Its answer was lost or broke off, as when the engine crashes.
    Broken,
}

/// Answers of the engines of one version on one route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Failures.
    pub failed: u32,
    // Answers by bucket of the time after which they began.
    begun: BTreeMap<u8, u32>,
}

impl Counts {
    fn record(&mut self, answer: Answer) {
        match answer {
            Answer::Failed | Answer::Broken => self.failed += 1,
            Answer::Begun(time) => *self.begun.entry(bucket_of(time)).or_default() += 1,
        }
    }

    fn add(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        for (bucket, count) in &other.begun {
            let sum = self.begun.entry(*bucket).or_default();
            *sum = sum.saturating_add(*count);
        }
    }

    fn subtract(&mut self, earlier: &Self) {
        self.failed = self.failed.saturating_sub(earlier.failed);
        for (bucket, count) in &earlier.begun {
            if let Some(left) = self.begun.get_mut(bucket) {
                *left = left.saturating_sub(*count);
            }
        }
    }

    /// Returns the number of answers that began.
    pub fn begun(&self) -> u32 {
        self.begun.values().sum()
    }

    /// Returns the number of answers and failures.
    pub fn total(&self) -> u32 {
        self.begun().saturating_add(self.failed)
    }

    /// Returns the first bucket above which there are at most this part of the answers.
    pub fn bucket_with_rest(&self, part: f64) -> u8 {
        let limit = f64::from(self.begun()) * part;
        let is_below = |bucket: &u8| f64::from(self.above(*bucket)) <= limit;
        (0..BUCKETS).find(is_below).unwrap_or(BUCKETS)
    }

    /// Returns the number of answers that began in a later bucket than this one.
    pub fn above(&self, bucket: u8) -> u32 {
        let later = self.begun.range(bucket.saturating_add(1)..);
        later.map(|(_, count)| count).sum()
    }
}

fn bucket_of(time: Duration) -> u8 {
    let factor = time.as_secs_f64() / FIRST_BUCKET.as_secs_f64();
    let bucket = factor.max(1.0).log(BUCKET_FACTOR).ceil();
    (bucket as u8).min(BUCKETS - 1)
}

/// Answers of both versions on one route.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pair {
    /// Answers of the other versions.
    pub old: Counts,
    /// Answers of the version that the order names.
    pub new: Counts,
}

/// What hosts count of one order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tally {
    /// Requests for the service.
    pub requests: u32,
    /// Requests that went to the new version.
    pub trials: u32,
    /// Answers by route.
    pub routes: BTreeMap<Route, Pair>,
}

impl Tally {
    /// Records an answer.
    pub fn record(&mut self, route: Route, is_new: bool, answer: Answer) {
        let pair = self.pair(route);
        match is_new {
            true => pair.new.record(answer),
            false => pair.old.record(answer),
        }
    }

    /// Adds what another host counted.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.trials = self.trials.saturating_add(other.trials);
        for (route, theirs) in &other.routes {
            let pair = self.pair(*route);
            pair.old.add(&theirs.old);
            pair.new.add(&theirs.new);
        }
    }

    /// Returns the answers since these `earlier` counts.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut later = self.clone();
        for (route, counted) in &earlier.routes {
            let pair = later.pair(*route);
            pair.old.subtract(&counted.old);
            pair.new.subtract(&counted.new);
        }
        later
    }

    /// Returns the answers on all routes together.
    pub fn all(&self) -> Pair {
        let mut all = Pair::default();
        for pair in self.routes.values() {
            all.old.add(&pair.old);
            all.new.add(&pair.new);
        }
        all
    }

    fn pair(&mut self, route: Route) -> &mut Pair {
        let is_apart = self.routes.len() < ROUTES_MAX || self.routes.contains_key(&route);
        let route = if is_apart { route } else { Route::OTHERS };
        self.routes.entry(route).or_default()
    }
}
