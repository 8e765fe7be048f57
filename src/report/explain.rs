//! Explains one request from the logs of all hosts.
//!
//! The clocks of hosts differ. Their offsets are estimated from events that all hosts log, such as a
//! new revision of the configuration; lines of one host keep their order.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};

/// Time before the first line of a request from which events of its hosts and engines are shown.
const CONTEXT_BEFORE_MS: i64 = 2000;

/// Time after the last line of a request up to which such events are shown.
const CONTEXT_AFTER_MS: i64 = 200;

/// Events that all hosts log at about the same time, with the key that identifies the occurrence.
const SHARED_EVENTS: [(&str, &str); 3] = [
    ("revision", "version"),
    ("engine_registered", "engine"),
    ("engine_gone", "engine"),
];

/// Events of a process that may affect any of its requests.
const PROCESS_EVENTS: [&str; 8] = [
    "started",
    "leaving",
    "drain_cut",
    "stopped",
    "revision",
    "dependency_lost",
    "dependency_back",
    "log_left_out",
];

/// A log line of an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Host that wrote it: the word before `time_ms=` if there is one, else the name of the file.
    pub host: CompactString,
    /// Unix time in milliseconds by the clock of the host.
    pub time_ms: i64,
    /// The line without host and time.
    pub text: String,
    pairs: BTreeMap<CompactString, CompactString>,
}

impl Line {
    /// Parses a line of the log `file`; returns `None` for other output.
    pub fn parse(file: &str, line: &str) -> Option<Self> {
        let (before, rest) = line.split_once("time_ms=")?;
        let (time, text) = rest.split_once(' ')?;
        let words = text.split(' ').filter_map(|word| word.split_once('='));
        Some(Self {
            host: before.split_whitespace().last().unwrap_or(file).into(),
            time_ms: time.parse().ok()?,
            text: text.trim_end().into(),
            pairs: words
                .map(|(key, value)| (key.into(), value.into()))
                .collect(),
        })
    }

    /// Returns the value of a key, empty if absent.
    pub fn value(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", CompactString::as_str)
    }

    fn shared_key(&self) -> Option<CompactString> {
        let event = self.value("event");
        let (_, key) = SHARED_EVENTS.iter().find(|(name, _)| *name == event)?;
        Some(format_compact!("{event} {}", self.value(key)))
    }
}

/// The log lines about a request and what decided its outcome.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Explanation {
    /// Lines in order of time, each with its offset in milliseconds from the request's first line.
    pub lines: Vec<(i64, Line)>,
    /// What decided the outcome, in one sentence.
    pub cause: String,
}

/// Explains the request `id` from log lines of all hosts; `None` if no line belongs to it.
pub fn explain(id: &str, lines: &[Line]) -> Option<Explanation> {
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.value("request") == id)
        .collect();
    let first = *own.first()?;
    let offsets = clock_offsets(lines, &first.host);
    // Time by the clock of the host that logged the first line of the request.
    let time = |line: &Line| line.time_ms - offsets.get(&line.host).copied().unwrap_or(0);
    let start = own.iter().map(|line| time(line)).min()?;
    let end = own.iter().map(|line| time(line)).max()?;
    let hosts: BTreeSet<_> = own.iter().map(|line| &line.host).collect();
    let engines: BTreeSet<_> = own
        .iter()
        .flat_map(|line| [line.value("engine"), line.value("replica")])
        .filter(|engine| !engine.is_empty() && *engine != "none")
        .collect();
    let is_near = |line: &Line| {
        let time = time(line);
        time >= start - CONTEXT_BEFORE_MS && time <= end + CONTEXT_AFTER_MS
    };
    let is_context = |line: &Line| {
        let of_process =
            hosts.contains(&line.host) && PROCESS_EVENTS.contains(&line.value("event"));
        let of_engine = line.value("request").is_empty() && engines.contains(line.value("engine"));
        is_near(line) && (of_process || of_engine)
    };
    let chosen = lines
        .iter()
        .filter(|line| line.value("request") == id || is_context(line));
    let mut selected: Vec<_> = chosen
        .map(|line| (time(line) - start, line.clone()))
        .collect();
    // A stable sort keeps the order of lines of one host with the same time.
    selected.sort_by_key(|(after, _)| *after);
    Some(Explanation {
        cause: describe_cause(&own, &selected),
        lines: selected,
    })
}

/// Returns how far the clock of each host is ahead of that of `reference`, in milliseconds.
///
/// The offset is the median over the shared events that both hosts logged.
fn clock_offsets(lines: &[Line], reference: &CompactString) -> BTreeMap<CompactString, i64> {
    let mut seen: BTreeMap<CompactString, BTreeMap<&CompactString, i64>> = BTreeMap::new();
    for line in lines {
        if let Some(key) = line.shared_key() {
            let hosts = seen.entry(key).or_default();
            hosts.entry(&line.host).or_insert(line.time_ms);
        }
    }
    let mut differences: BTreeMap<CompactString, Vec<i64>> = BTreeMap::new();
    for hosts in seen.values() {
        let Some(known) = hosts.get(reference) else {
            continue;
        };
        for (host, time) in hosts {
            differences
                .entry((*host).clone())
                .or_default()
                .push(time - known);
        }
    }
    let medians = differences.into_iter().map(|(host, mut all)| {
        all.sort_unstable();
        let median = all[all.len() / 2];
        (host, median)
    });
    medians.collect()
}

/// Describes in one sentence what decided the outcome of the request.
fn describe_cause(own: &[&Line], selected: &[(i64, Line)]) -> String {
    let last = own[own.len() - 1];
    let failed: Vec<_> = own
        .iter()
        .filter(|line| matches!(line.value("event"), "attempt_failed" | "stream_broken"))
        .map(|line| format!("{}{}", line.value("fault"), line.value("reason")))
        .collect();
    let earlier = match failed.is_empty() {
        true => "no attempt failed before".to_owned(),
        false => format!("attempts failed before: {}", failed.join(", ")),
    };
    let was_cut = selected
        .iter()
        .any(|(_, line)| line.value("event") == "drain_cut" && line.host == last.host);
    match last.value("event") {
        "refused" => format!(
            "refused for {} with status {}, work {}; {earlier}",
            last.value("reason"),
            last.value("status"),
            last.value("work"),
        ),
        "answered" if !last.value("status").starts_with('2') => format!(
            "the engine itself answered with status {}; {earlier}",
            last.value("status")
        ),
        "stream_ended" => format!(
            "the stream broke off after event {} for {}; {earlier}",
            last.value("last_event"),
            last.value("reason"),
        ),
        "stream_complete" | "answered" if !was_cut => {
            format!("this attempt was served; {earlier}")
        }
        _ if was_cut => format!("the host stopped while the request ran; {earlier}"),
        event => format!("the log ends at {event}: the host ended, or its log was cut; {earlier}"),
    }
}
