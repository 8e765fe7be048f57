//! Measures the service level of one request as its caller sees it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::burn::{Indicator, Line};
use crate::config::split::Target;
use crate::relay::stream::{CallerGone, End, Sink};
use crate::router::Router;
use crate::wire::{self, Rank, Work};

/// Passes output on and notes when it was handed to the caller.
#[derive(Debug)]
pub struct Meter<'a, S> {
    sink: &'a mut S,
    router: Rc<Router>,
    partner: CompactString,
    rank: Rank,
    target: Target,
    // When the caller began to wait for the next token.
    since: Instant,
    has_output: bool,
    gaps: u64,
    late_gaps: u64,
}

impl<'a, S: Sink> Meter<'a, S> {
    /// Starts to measure a request that arrived at `arrived`.
    pub fn new(
        sink: &'a mut S,
        router: &Rc<Router>,
        partner: CompactString,
        rank: Rank,
        arrived: Instant,
    ) -> Self {
        Self {
            sink,
            router: router.clone(),
            target: router.split().target(rank),
            partner,
            rank,
            since: arrived,
            has_output: false,
            gaps: 0,
            late_gaps: 0,
        }
    }

    /// Notes the end of the request.
    ///
    /// A caller who went away has not been failed, so its request does not count as incomplete.
    pub fn end(self, end: &End) {
        self.record(Indicator::BetweenTokens, self.gaps, self.late_gaps);
        match end {
            End::Complete => self.record(Indicator::Completion, 1, 0),
            End::Failed(problem) if problem.work != Work::NotRun => {
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

    fn waited(&mut self, now: Instant) -> Duration {
        let waited = now.duration_since(self.since);
        self.since = now;
        waited
    }
}

impl<S: Sink> Sink for Meter<'_, S> {
    async fn emit(&mut self, frame: &wire::Frame) -> Result<(), CallerGone> {
        let waited = self.waited(Instant::now());
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
