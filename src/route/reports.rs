//! The last reports of what other hosts run on engines.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::load::Load;
use crate::peer::report::{EngineHash, Usage};

/// Time for which a report counts.
const COUNTS_FOR: Duration = Duration::from_millis(1500);

/// Who reports what runs elsewhere.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// A host, of what it runs.
    Host(IpAddr),
    /// A representative, of what the hosts of this failure domain run.
    Domain(CompactString),
}

/// The last report of a source.
#[derive(Debug)]
struct Report {
    number: u64,
    heard_at: Instant,
    usages: Vec<Usage>,
}

/// The reports that count, by source.
#[derive(Debug, Default)]
pub struct Reports(BTreeMap<Source, Report>);

impl Reports {
    /// Returns whether the report `number` is newer than the one that counts.
    pub fn is_newer(&self, source: &Source, number: u64) -> bool {
        let known = self.0.get(source);
        known.is_none_or(|report| report.number < number)
    }

    /// Takes over a report; returns the usages that do not count any more.
    pub fn replace(
        &mut self,
        source: Source,
        number: u64,
        usages: Vec<Usage>,
        now: Instant,
    ) -> Vec<Usage> {
        let report = Report {
            number,
            heard_at: now,
            usages,
        };
        let old = self.0.insert(source, report);
        old.map(|report| report.usages).unwrap_or_default()
    }

    /// Forgets reports that are too old; returns their usages.
    pub fn expire(&mut self, now: Instant) -> Vec<Usage> {
        let is_old = |report: &Report| now.duration_since(report.heard_at) >= COUNTS_FOR;
        let old = self.0.extract_if(.., |_, report| is_old(report));
        old.flat_map(|(_, report)| report.usages).collect()
    }

    /// Returns the age of the oldest report; zero without any.
    pub fn age(&self, now: Instant) -> Duration {
        let ages = self
            .0
            .values()
            .map(|report| now.duration_since(report.heard_at));
        ages.max().unwrap_or_default()
    }

    /// Returns what runs elsewhere on one engine.
    pub fn load(&self, engine: EngineHash) -> Load {
        let usages = self.0.values().flat_map(|report| &report.usages);
        let mut load = Load::default();
        for usage in usages.filter(|usage| usage.engine == engine) {
            load.add(&usage.load());
        }
        load
    }

    /// Returns what the hosts report, without summaries.
    pub fn of_hosts(&self) -> impl Iterator<Item = Usage> {
        let reports = self.0.iter();
        let hosts = reports.filter(|(source, _)| matches!(source, Source::Host(_)));
        hosts.flat_map(|(_, report)| report.usages.iter().copied())
    }
}
