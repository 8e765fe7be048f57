//! Counters and histograms for `/metrics`.

use std::sync::Mutex;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::http::problem::Reason;

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct ReasonValue(Reason);

impl EncodeLabelValue for ReasonValue {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        EncodeLabelValue::encode(&self.0.as_str(), encoder)
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Refusal {
    reason: ReasonValue,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Relayed {
    event: &'static str,
}

/// The metrics of one router process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    refusals: Family<Refusal, Counter>,
    relayed: Family<Relayed, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("bilberrypost");
        let refusals = Family::default();
        registry.register("refusals", "Refused requests by reason", refusals.clone());
        let relayed = Family::default();
        registry.register("relay", "Events of relayed generations", relayed.clone());
        Self {
            registry: Mutex::new(registry),
            refusals,
            relayed,
        }
    }
}

impl Metrics {
    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        let refusal = Refusal {
            reason: ReasonValue(reason),
        };
        self.refusals.get_or_create(&refusal).inc();
    }

    /// Counts events of relayed generations, such as faults of attempts.
    pub fn relayed(&self, event: &'static str, count: u64) {
        if count > 0 {
            self.relayed.get_or_create(&Relayed { event }).inc_by(count);
        }
    }

    /// Returns all metrics in the text format of OpenMetrics.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Ok(registry) = self.registry.lock() {
            let _ = encode(&mut text, &registry);
        }
        text
    }
}
