//! Latest reports of the load that other hosts cause on engines.
//!
//! [`crate::gateway::peers`] receives them. Reports expire, as a host that fails cannot take back
//! its last one.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::load::{EngineHash, Load, Usage};

/// Time after which a report expires.
const REPORT_TTL: Duration = Duration::from_millis(1500);

/// Sender of a report, and which hosts it covers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// A host with this address, which reports its own load.
    Host(IpAddr),
    /// A representative of this failure domain, which reports the load of all hosts there.
    Domain(CompactString),
}

/// The last report of a source.
#[derive(Debug)]
struct Report {
    number: u64,
    received_at: Instant,
    usages: Vec<Usage>,
}

/// The last report of each source. [`Reports::expire`] removes those that are too old.
#[derive(Debug, Default)]
pub struct Reports(BTreeMap<Source, Report>);

impl Reports {
    /// Returns whether report `number` is newer than the one known from its source. Datagrams may
    /// arrive out of order.
    pub fn is_newer(&self, source: &Source, number: u64) -> bool {
        let known = self.0.get(source);
        known.is_none_or(|report| report.number < number)
    }

    /// Stores a report and returns the usages of the one that it replaces.
    pub fn replace(
        &mut self,
        source: Source,
        number: u64,
        usages: Vec<Usage>,
        now: Instant,
    ) -> Vec<Usage> {
        let report = Report {
            number,
            received_at: now,
            usages,
        };
        let old = self.0.insert(source, report);
        old.map(|report| report.usages).unwrap_or_default()
    }

    /// Removes reports older than `REPORT_TTL` and returns their usages.
    pub fn expire(&mut self, now: Instant) -> Vec<Usage> {
        let is_old = |report: &Report| now.duration_since(report.received_at) >= REPORT_TTL;
        let old = self.0.extract_if(.., |_, report| is_old(report));
        old.flat_map(|(_, report)| report.usages).collect()
    }

    /// Returns the number of sources.
    pub fn sources(&self) -> usize {
        self.0.len()
    }

    /// Returns the age of the oldest report, or zero if there is none.
    pub fn age(&self, now: Instant) -> Duration {
        let ages = self
            .0
            .values()
            .map(|report| now.duration_since(report.received_at));
        ages.max().unwrap_or_default()
    }

    /// Returns the load that all sources report for one engine.
    pub fn load(&self, engine: EngineHash) -> Load {
        let usages = self.0.values().flat_map(|report| &report.usages);
        let mut load = Load::default();
        for usage in usages.filter(|usage| usage.engine == engine) {
            load.add(&usage.load());
        }
        load
    }

    /// Returns the usages reported by single hosts, without those that representatives report.
    pub fn host_usages(&self) -> impl Iterator<Item = Usage> {
        let reports = self.0.iter();
        let hosts = reports.filter(|(source, _)| matches!(source, Source::Host(_)));
        hosts.flat_map(|(_, report)| report.usages.iter().copied())
    }
}
