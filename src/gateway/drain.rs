//! Decides which requests a leaving host still passes on to engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Requests that arrive after the load balancer has noticed must be expected to end this many times
/// sooner than the host cuts them. Their callers can send them to another host.
const LATE_FACTOR: u32 = 3;

/// Time after which the slowest answer of a service is forgotten, at the latest after twice this time.
const ANSWER_WINDOW: Duration = Duration::from_secs(10);

/// The stop of a host: from when the load balancer sends it no new connections, and when it cuts what
/// still runs.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    listens_until: Instant,
    ends_at: Instant,
}

impl Drain {
    /// Begins a drain. The load balancer notices it after `lag`; what runs is cut after `limit`.
    pub fn new(now: Instant, lag: Duration, limit: Duration) -> Self {
        Self {
            listens_until: now + lag,
            ends_at: now + limit,
        }
    }

    /// Returns whether a request may be passed on that is expected to take `expected`, and that ends at
    /// its `deadline` at the latest.
    pub fn may_begin(&self, now: Instant, expected: Duration, deadline: Instant) -> bool {
        let factor = match now < self.listens_until {
            true => 1,
            false => LATE_FACTOR,
        };
        deadline.min(now + expected * factor) < self.ends_at
    }

    /// Returns the time until the load balancer sends new connections elsewhere. An earlier retry may
    /// reach this host again, and callers retry only once or twice.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.listens_until.saturating_duration_since(now)
    }
}

/// Times that the slowest recent requests took, by service.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    by_service: BTreeMap<CompactString, Slowest>,
}

/// The slowest requests in the current window and in the one before it.
#[derive(Clone, Copy, Debug)]
struct Slowest {
    window_began_at: Instant,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl Slowest {
    fn new(now: Instant) -> Self {
        Self {
            window_began_at: now,
            current: None,
            previous: None,
        }
    }

    /// Begins the window that `now` belongs to.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.window_began_at);
        if elapsed < ANSWER_WINDOW {
            return;
        }
        self.previous = self.current.filter(|_| elapsed < 2 * ANSWER_WINDOW);
        self.current = None;
        self.window_began_at = now;
    }
}

impl AnswerTimes {
    /// Records that a request to a service has ended after `taken`.
    pub fn record(&mut self, service: &CompactString, taken: Duration, now: Instant) {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), Slowest::new(now));
        }
        if let Some(slowest) = self.by_service.get_mut(service) {
            slowest.advance(now);
            slowest.current = slowest.current.max(Some(taken));
        }
    }

    /// Returns the time that the slowest recent request to a service took; `None` if there was none.
    pub fn slowest(&self, service: &str, now: Instant) -> Option<Duration> {
        let mut slowest = *self.by_service.get(service)?;
        slowest.advance(now);
        slowest.current.max(slowest.previous)
    }
}
