//! Service-level burn: how fast each partner's and rank's error budget is used up.
//!
//! An indicator has an objective of 95 good events in 100. A burn of 1 uses the budget exactly; a
//! burn of 10 uses it ten times as fast.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock::Clock;
use crate::wire::Rank;

/// Share of events that must be good.
pub const OBJECTIVE: f64 = 0.95;

/// Length of a bucket of events.
const BUCKET: Duration = Duration::from_secs(10);

/// Short window, in which a fast burn shows.
const SHORT: Duration = Duration::from_secs(5 * 60);

/// Long window, in which a slow burn shows.
const LONG: Duration = Duration::from_secs(60 * 60);

/// What is measured.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Indicator {
    /// Time to the first token against the rank's target.
    FirstToken,
    /// Time between tokens against the rank's target.
    BetweenTokens,
    /// Accepted requests that were answered in full.
    Completion,
    /// Requests that were accepted, not refused.
    Acceptance,
}

/// A measured line of the report.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Line {
    /// Partner.
    pub partner: CompactString,
    /// Rank.
    pub rank: Rank,
    /// Indicator.
    pub indicator: Indicator,
}

/// Events of a window.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// All events.
    pub events: u64,
    /// Events that missed the target.
    pub bad: u64,
    /// Speed at which the error budget is used, 1 for exactly the objective.
    pub burn: f64,
}

impl Window {
    fn new(events: u64, bad: u64) -> Self {
        let share = bad as f64 / events.max(1) as f64;
        Self {
            events,
            bad,
            burn: share / (1.0 - OBJECTIVE),
        }
    }

    /// Joins the windows of two hosts.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        Self::new(self.events + other.events, self.bad + other.bad)
    }
}

/// One line of the report with its windows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Burn {
    /// What is measured.
    #[serde(flatten)]
    pub line: Line,
    /// The last five minutes.
    pub short: Window,
    /// The last hour.
    pub long: Window,
}

#[derive(Debug, Default)]
struct Series {
    // Invariant: in order of time, at most LONG / BUCKET + 1 buckets.
    buckets: VecDeque<(Instant, u64, u64)>,
}

impl Series {
    fn record(&mut self, now: Instant, events: u64, bad: u64) {
        match self.buckets.back_mut() {
            Some((start, all, missed)) if now.duration_since(*start) < BUCKET => {
                *all += events;
                *missed += bad;
            }
            _ => self.buckets.push_back((now, events, bad)),
        }
        while self
            .buckets
            .front()
            .is_some_and(|(start, ..)| now.duration_since(*start) > LONG)
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
        let (events, bad) = recent.fold((0, 0), |(events, bad), (_, all, missed)| {
            (events + all, bad + missed)
        });
        Window::new(events, bad)
    }
}

/// Records events and reports their burn.
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

    /// Notes events of a line, of which some missed the target.
    pub fn record(&mut self, line: Line, events: u64, bad: u64) {
        let now = self.clock.now();
        let series = self.series.entry(line).or_default();
        series.record(now, events, bad);
    }

    /// Returns the burn of all lines.
    pub fn burns(&self) -> Vec<Burn> {
        let now = self.clock.now();
        let burns = self.series.iter().map(|(line, series)| Burn {
            line: line.clone(),
            short: series.window(now, SHORT),
            long: series.window(now, LONG),
        });
        burns.collect()
    }
}

/// Joins the reports of several hosts into one.
pub fn join(reports: impl IntoIterator<Item = Vec<Burn>>) -> Vec<Burn> {
    let mut joined: BTreeMap<Line, Burn> = BTreeMap::new();
    for burn in reports.into_iter().flatten() {
        match joined.get_mut(&burn.line) {
            Some(known) => {
                known.short = known.short.join(burn.short);
                known.long = known.long.join(burn.long);
            }
            None => {
                joined.insert(burn.line.clone(), burn);
            }
        }
    }
    joined.into_values().collect()
}

/// Writes a report as a table.
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
mod tests {
    use super::*;
    use crate::clock::Manual;

    fn line() -> Line {
        Line {
            partner: "a".into(),
            rank: Rank::Urgent,
            indicator: Indicator::FirstToken,
        }
    }

    /// Guards against events that stay in a window after its end.
    #[test]
    fn windows_forget() {
        let clock = Manual::default();
        let mut report = Report::new(clock.clone());
        report.record(line(), 100, 10);
        let burn = report.burns()[0].short;
        assert_eq!((burn.events, burn.bad), (100, 10));
        assert!((burn.burn - 2.0).abs() < 1e-9, "{}", burn.burn);
        clock.advance(SHORT + BUCKET);
        report.record(line(), 100, 0);
        assert_eq!(report.burns()[0].short.bad, 0);
        assert_eq!(report.burns()[0].long.bad, 10);
        clock.advance(LONG + BUCKET);
        report.record(line(), 1, 0);
        assert_eq!(report.burns()[0].long.events, 1);
    }

    /// Guards against a joint report that averages burns instead of counting events.
    #[test]
    fn joined_reports_count_events() {
        let burn = |events, bad| Burn {
            line: line(),
            short: Window::new(events, bad),
            long: Window::new(events, bad),
        };
        let joined = join([vec![burn(900, 0)], vec![burn(100, 50)]]);
        assert_eq!(joined.len(), 1);
        assert!((joined[0].long.burn - 1.0).abs() < 1e-9);
    }
}
