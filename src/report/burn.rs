//! Burn rates of the error budgets of each partner, rank and service-level indicator.
//!
//! The objective of each indicator is 95 % good events. At a burn rate of 1 the error budget is used
//! up exactly; at 10 it is used up ten times as fast.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock::Clock;
use crate::wire::Rank;

/// Objective of each indicator: fraction of events that must be good.
pub const OBJECTIVE: f64 = 0.95;

/// Length of the buckets in which events are counted.
const BUCKET_LENGTH: Duration = Duration::from_secs(10);

/// Length of the short window, which shows a high burn rate early.
const SHORT_WINDOW: Duration = Duration::from_secs(5 * 60);

/// Length of the long window, which shows a low burn rate that lasts.
const LONG_WINDOW: Duration = Duration::from_secs(60 * 60);

/// Service-level indicator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Indicator {
    /// Time to the first token, compared with the target of the rank.
    FirstToken,
    /// Time between tokens, compared with the target of the rank.
    BetweenTokens,
    /// Whether an accepted request was answered in full.
    Completion,
    /// Whether a request was accepted rather than refused.
    Acceptance,
}

/// Identifies a line of the report.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Line {
    /// Name of the partner.
    pub partner: CompactString,
    /// Rank of the requests.
    pub rank: Rank,
    /// Measured indicator.
    pub indicator: Indicator,
}

/// Events in a time window.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// Number of events, good and bad.
    pub events: u64,
    /// Number of events that missed the target.
    pub bad: u64,
    /// Burn rate; 1 if exactly the objective is met.
    pub burn: f64,
}

impl Window {
    fn new(events: u64, bad: u64) -> Self {
        let bad_fraction = bad as f64 / events.max(1) as f64;
        Self {
            events,
            bad,
            burn: bad_fraction / (1.0 - OBJECTIVE),
        }
    }

    /// Adds the events of another host's window.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self::new(self.events + other.events, self.bad + other.bad)
    }
}

/// One line of the report with its burn rates.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Burn {
    /// Partner, rank and indicator of the line.
    #[serde(flatten)]
    pub line: Line,
    /// Events of the last five minutes.
    pub short: Window,
    /// Events of the last hour.
    pub long: Window,
}

#[derive(Debug, Default)]
struct Series {
    // Start, number of events and number of bad events of each bucket.
    // Invariant: in order of time, at most LONG_WINDOW / BUCKET_LENGTH + 1 buckets.
    buckets: VecDeque<(Instant, u64, u64)>,
}

impl Series {
    fn record(&mut self, now: Instant, events: u64, bad: u64) {
        match self.buckets.back_mut() {
            Some((start, all, bad_events)) if now.duration_since(*start) < BUCKET_LENGTH => {
                *all += events;
                *bad_events += bad;
            }
            _ => self.buckets.push_back((now, events, bad)),
        }
        while self
            .buckets
            .front()
            .is_some_and(|(start, ..)| now.duration_since(*start) > LONG_WINDOW)
        {
            self.buckets.pop_front();
        }
    }

    fn window(&self, now: Instant, length: Duration) -> Window {
        let recent = self
            .buckets
            .iter()
            .rev()
            .take_while(|(start, ..)| now.duration_since(*start) <= length);
        let (events, bad) = recent.fold((0, 0), |(events, bad), (_, all, bad_events)| {
            (events + all, bad + bad_events)
        });
        Window::new(events, bad)
    }
}

/// Records events and reports their burn rates.
#[derive(Debug)]
pub struct Report<C: Clock> {
    clock: C,
    series: BTreeMap<Line, Series>,
}

impl<C: Clock> Report<C> {
    /// Creates a report without events.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            series: BTreeMap::new(),
        }
    }

    /// Records `events` of a line, of which `bad` missed the target.
    pub fn record(&mut self, line: Line, events: u64, bad: u64) {
        let now = self.clock.now();
        let series = self.series.entry(line).or_default();
        series.record(now, events, bad);
    }

    /// Returns the burn rates of all lines.
    pub fn burns(&self) -> Vec<Burn> {
        let now = self.clock.now();
        let burns = self.series.iter().map(|(line, series)| Burn {
            line: line.clone(),
            short: series.window(now, SHORT_WINDOW),
            long: series.window(now, LONG_WINDOW),
        });
        burns.collect()
    }
}

/// Merges the reports of several hosts by adding up their events.
pub fn merge(reports: impl IntoIterator<Item = Vec<Burn>>) -> Vec<Burn> {
    let mut merged: BTreeMap<Line, Burn> = BTreeMap::new();
    for burn in reports.into_iter().flatten() {
        match merged.get_mut(&burn.line) {
            Some(merged_burn) => {
                merged_burn.short = merged_burn.short.merge(burn.short);
                merged_burn.long = merged_burn.long.merge(burn.long);
            }
            None => {
                merged.insert(burn.line.clone(), burn);
            }
        }
    }
    merged.into_values().collect()
}

/// Formats a report as a table.
pub fn table(burns: &[Burn]) -> String {
    let mut text = format!(
        "{:<16} {:<8} {:<15} {:>9} {:>8} {:>8} {:>8}\n",
        "partner", "rank", "indicator", "events", "bad", "burn 5m", "burn 1h"
    );
    for burn in burns {
        let name = |value: serde_json::Value| value.as_str().unwrap_or("").to_owned();
        text.push_str(&format!(
            "{:<16} {:<8} {:<15} {:>9} {:>8} {:>8.2} {:>8.2}\n",
            burn.line.partner,
            name(serde_json::json!(burn.line.rank)),
            name(serde_json::json!(burn.line.indicator)),
            burn.long.events,
            burn.long.bad,
            burn.short.burn,
            burn.long.burn
        ));
    }
    text
}

#[cfg(test)]
mod tests;
