//! Metrics of a process, exposed at `/metrics`.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

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

/// A kind of decision of the gateway and its outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Decision {
    decision: &'static str,
    outcome: &'static str,
}

/// A limit of the process and what was done there.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct BoundAction {
    bound: &'static str,
    action: &'static str,
}

/// Why prompts are prefilled once more.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Reprefill {
    cause: &'static str,
}

/// A step of a request or of the process whose duration is measured.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Step {
    step: &'static str,
}

/// Kind of content that a host sends to other hosts.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Sent {
    content: &'static str,
}

/// Whether an engine was expected to hold prompt tokens, or to read them.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PromptTokens {
    work: &'static str,
}

/// Upper bounds of the histogram buckets for durations.
const DURATION_BUCKETS_S: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

fn durations() -> Histogram {
    Histogram::new(DURATION_BUCKETS_S)
}

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    decisions: Family<Decision, Counter>,
    durations: Family<Step, Histogram, fn() -> Histogram>,
    revision_version: Gauge,
    store_era: Gauge,
    engines: Gauge,
    hosts: Gauge,
    watches_store: Gauge,
    configuration_age: Gauge<f64, AtomicU64>,
    engines_age: Gauge<f64, AtomicU64>,
    run_history: Gauge<f64, AtomicU64>,
    remembered_runs: Gauge,
    refusals: Family<Refusal, Counter>,
    relayed: Family<Relayed, Counter>,
    feed_bytes: Family<Sent, Counter>,
    report_bytes: Family<Sent, Counter>,
    bound_actions: Family<BoundAction, Counter>,
    caller_memory: Gauge,
    caller_connections: Gauge,
    prompt_tokens: Family<PromptTokens, Counter>,
    reprefill_tokens: Family<Reprefill, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("bilberrypost");
        let refusals = Family::default();
        registry.register("refusals", "Refused requests by reason", refusals.clone());
        let relayed = Family::default();
        registry.register("relay", "Events of relayed generations", relayed.clone());
        let decisions = Family::default();
        registry.register("decisions", "Decisions by outcome", decisions.clone());
        let feed_bytes = Family::default();
        let text = "Bytes of answers to following hosts by content, without heads";
        registry.register_with_unit("feed", text, Unit::Bytes, feed_bytes.clone());
        let report_bytes = Family::default();
        let text = "Bytes of datagrams to other hosts by content, without IP and UDP headers";
        registry.register_with_unit("report", text, Unit::Bytes, report_bytes.clone());
        let prompt_tokens = Family::default();
        let text = "Prompt tokens of begun streams that engines were expected to hold, or to read";
        registry.register("prompt_tokens", text, prompt_tokens.clone());
        let reprefill_tokens = Family::default();
        let text = "Prompt tokens of streams that engines prefill once more, by cause";
        registry.register("reprefill_tokens", text, reprefill_tokens.clone());
        let durations = Family::new_with_constructor(durations as fn() -> Histogram);
        let text = "Time of a step";
        registry.register_with_unit("duration", text, Unit::Seconds, durations.clone());
        let revision_version = Gauge::default();
        let text = "Version of the configuration in force";
        registry.register("revision_version", text, revision_version.clone());
        let store_era = Gauge::default();
        let text = "Number of times that the store came back from an older copy";
        registry.register("store_era", text, store_era.clone());
        let engines = Gauge::default();
        registry.register("engines", "Registered engines", engines.clone());
        let hosts = Gauge::default();
        registry.register("hosts", "Known hosts, this one included", hosts.clone());
        let watches_store = Gauge::default();
        let text = "Whether this host watches the store (1) or follows a representative (0)";
        registry.register("watches_store", text, watches_store.clone());
        let configuration_age = Gauge::default();
        let text = "Time since the configuration was last confirmed";
        let unit = || Unit::Seconds;
        registry.register_with_unit("configuration_age", text, unit(), configuration_age.clone());
        let engines_age = Gauge::default();
        let text = "Time since the engines were last confirmed";
        registry.register_with_unit("engines_age", text, unit(), engines_age.clone());
        let run_history = Gauge::default();
        let text = "Time for which all runs that other hosts reported have been known";
        registry.register_with_unit("run_history", text, unit(), run_history.clone());
        let remembered_runs = Gauge::default();
        let text = "Known runs that other hosts relay or relayed";
        registry.register("remembered_runs", text, remembered_runs.clone());
        let bound_actions = Family::default();
        let text = "Connections closed, and connections and requests refused, at a limit";
        registry.register("bound_actions", text, bound_actions.clone());
        let caller_memory = Gauge::default();
        let text = "Memory that is charged for callers";
        registry.register_with_unit("caller_memory", text, Unit::Bytes, caller_memory.clone());
        let caller_connections = Gauge::default();
        let text = "Open connections of callers";
        registry.register("caller_connections", text, caller_connections.clone());
        Self {
            registry: Mutex::new(registry),
            decisions,
            durations,
            revision_version,
            store_era,
            engines,
            hosts,
            watches_store,
            configuration_age,
            engines_age,
            run_history,
            remembered_runs,
            refusals,
            relayed,
            feed_bytes,
            report_bytes,
            bound_actions,
            caller_memory,
            caller_connections,
            prompt_tokens,
            reprefill_tokens,
        }
    }
}

impl Metrics {
    /// Counts a refused request.
    pub fn count_refusal(&self, reason: Reason) {
        let refusal = Refusal {
            reason: ReasonValue(reason),
        };
        self.refusals.get_or_create(&refusal).inc();
    }

    /// Counts events of relayed generations, such as failed attempts.
    pub fn count_relay_events(&self, event: &'static str, count: u64) {
        if count > 0 {
            self.relayed.get_or_create(&Relayed { event }).inc_by(count);
        }
    }

    /// Counts a decision and its outcome.
    pub fn count_decision(&self, decision: &'static str, outcome: &'static str) {
        let key = Decision { decision, outcome };
        self.decisions.get_or_create(&key).inc();
    }

    /// Counts bytes sent to a host that follows this one.
    pub fn count_feed_bytes(&self, content: &'static str, bytes: u64) {
        self.feed_bytes
            .get_or_create(&Sent { content })
            .inc_by(bytes);
    }

    /// Counts bytes of datagrams sent to other hosts.
    pub fn count_report_bytes(&self, content: &'static str, bytes: u64) {
        self.report_bytes
            .get_or_create(&Sent { content })
            .inc_by(bytes);
    }

    /// Counts prompt tokens of a stream that has begun.
    pub fn count_prompt_tokens(&self, work: &'static str, tokens: u32) {
        let key = PromptTokens { work };
        self.prompt_tokens.get_or_create(&key).inc_by(tokens.into());
    }

    /// Counts the tokens of a prompt that an engine prefills once more.
    pub fn count_reprefill_tokens(&self, cause: &'static str, tokens: u64) {
        self.reprefill_tokens
            .get_or_create(&Reprefill { cause })
            .inc_by(tokens);
    }

    /// Records the duration of a step.
    pub fn record_duration(&self, step: &'static str, duration: Duration) {
        let durations = self.durations.get_or_create(&Step { step });
        durations.observe(duration.as_secs_f64());
    }

    /// Counts what was done at a limit of the process.
    pub fn count_bound_actions(&self, bound: &'static str, action: &'static str, count: u64) {
        let key = BoundAction { bound, action };
        self.bound_actions.get_or_create(&key).inc_by(count);
    }

    /// Sets the memory in bytes and the connections that are held for callers.
    pub fn set_caller_usage(&self, bytes: usize, connections: usize) {
        let value = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.caller_memory.set(value(bytes));
        self.caller_connections.set(value(connections));
    }

    /// Sets the version of the active configuration.
    pub fn set_revision(&self, version: u64) {
        self.revision_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the era of the store.
    pub fn set_store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Sets the number of registered engines.
    pub fn set_engines(&self, engines: usize) {
        self.engines.set(i64::try_from(engines).unwrap_or(i64::MAX));
    }

    /// Sets the number of known hosts, including this one.
    pub fn set_hosts(&self, hosts: usize) {
        self.hosts.set(i64::try_from(hosts).unwrap_or(i64::MAX));
    }

    /// Sets whether this host watches the store or follows a representative.
    pub fn set_watching(&self, is_watching: bool) {
        self.watches_store.set(is_watching.into());
    }

    /// Sets the times since the configuration and the engines were last confirmed.
    pub fn set_ages(&self, configuration: Duration, engines: Duration) {
        self.configuration_age.set(configuration.as_secs_f64());
        self.engines_age.set(engines.as_secs_f64());
    }

    /// Sets what is known of the runs of other hosts: for how long all of them, and how many.
    pub fn set_remembered_runs(&self, history: Duration, runs: usize) {
        self.run_history.set(history.as_secs_f64());
        self.remembered_runs
            .set(i64::try_from(runs).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Ok(registry) = self.registry.lock() {
            let _ = encode(&mut text, &registry);
        }
        text
    }
}
