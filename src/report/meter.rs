//! Measures the service-level indicators of one request as its caller sees them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::burn::{Indicator, Line};
use crate::config::split::Target;
use crate::relay::stream::{CallerGone, End, Sink};
use crate::router::Router;
use crate::wire::{self, Execution, Rank};

/// A sink that forwards output and measures the time the caller waits for it.
#[derive(Debug)]
pub struct Meter<'a, S> {
    sink: &'a mut S,
    router: Rc<Router>,
    partner: CompactString,
    rank: Rank,
    target: Target,
    // When the caller started to wait for the next frame.
    waiting_since: Instant,
    // Whether a frame was already forwarded.
    has_output: bool,
    gaps: u64,
    late_gaps: u64,
}

impl<'a, S: Sink> Meter<'a, S> {
    /// Starts to measure a request that arrived at `arrived_at`.
    pub fn new(
        sink: &'a mut S,
        router: &Rc<Router>,
        partner: CompactString,
        rank: Rank,
        arrived_at: Instant,
    ) -> Self {
        Self {
            sink,
            router: router.clone(),
            target: router.settings().target(rank),
            partner,
            rank,
            waiting_since: arrived_at,
            has_output: false,
            gaps: 0,
            late_gaps: 0,
        }
    }

    /// Records the end of the request.
    ///
    /// A request whose caller disconnected does not count as incomplete, as it is not a failure of
    /// the service.
    pub fn end(self, end: &End) {
        self.record(Indicator::BetweenTokens, self.gaps, self.late_gaps);
        match end {
            End::Complete => self.record(Indicator::Completion, 1, 0),
            End::Failed(problem) if problem.work != Execution::NotRun => {
                self.record(Indicator::Completion, 1, 1);
            }
            End::Failed(_) | End::Cancelled(_) => {}
        }
    }

    fn record(&self, indicator: Indicator, events: u64, bad: u64) {
        let line = Line {
            partner: self.partner.clone(),
            rank: self.rank,
            indicator,
        };
        self.router.record(line, events, bad);
    }

    /// Returns how long the caller has waited and starts the next wait.
    fn restart_wait(&mut self, now: Instant) -> Duration {
        let waited = now.duration_since(self.waiting_since);
        self.waiting_since = now;
        waited
    }
}

impl<S: Sink> Sink for Meter<'_, S> {
    async fn emit(&mut self, frame: &wire::Frame) -> Result<(), CallerGone> {
        let waited = self.restart_wait(Instant::now());
        if self.has_output {
            self.gaps += 1;
            self.late_gaps += u64::from(waited > self.target.between_tokens);
        } else {
            self.has_output = true;
            let is_late = waited > self.target.first_token;
            self.record(Indicator::FirstToken, 1, u64::from(is_late));
        }
        self.sink.emit(frame).await
    }

    async fn closed(&mut self) {
        self.sink.closed().await;
    }

    fn restart(&mut self) {
        self.sink.restart();
    }
}
