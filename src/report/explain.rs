//! Explains one request from the logs of all hosts.
//!
//! Hosts' clocks differ. Lines of one host keep their order; hosts are set against each other by the
//! events that all of them see, such as a new version of the configuration.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};

/// Time before a request in which events of its process and engines are shown, in milliseconds.
const BEFORE_MS: i64 = 2000;

/// Time after a request in which such events are shown, in milliseconds.
const AFTER_MS: i64 = 200;

/// Events that all hosts see, with the key that tells them apart.
const SHARED: [(&str, &str); 3] = [
    ("revision", "version"),
    ("engine_registered", "engine"),
    ("engine_gone", "engine"),
];

/// Events of a process that can decide any of its requests.
const OF_PROCESS: [&str; 8] = [
    "started",
    "leaving",
    "drain_cut",
    "stopped",
    "revision",
    "dependency_lost",
    "dependency_back",
    "log_left_out",
];

/// One line of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Host that wrote it: what stands before the line, or the name of the file.
    pub host: CompactString,
    /// Time by the host's clock in Unix milliseconds.
    pub time_ms: i64,
    /// The line from its event on.
    pub text: String,
    pairs: BTreeMap<CompactString, CompactString>,
}

impl Line {
    /// Reads a line of the log `file`; `None` for other output.
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

    /// Returns the value of a key, empty if there is none.
    pub fn value(&self, key: &str) -> &str {
        self.pairs.get(key).map_or("", CompactString::as_str)
    }

    fn shared_key(&self) -> Option<CompactString> {
        let event = self.value("event");
        let (_, key) = SHARED.iter().find(|(name, _)| *name == event)?;
        Some(format_compact!("{event} {}", self.value(key)))
    }
}

/// What the logs say about a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Explanation {
    /// Lines with their time after the first one in milliseconds, in order.
    pub lines: Vec<(i64, Line)>,
    /// The cause in one sentence.
    pub cause: String,
}

/// Returns what the lines say about the request `id`; `None` if they do not name it.
pub fn explain(id: &str, lines: &[Line]) -> Option<Explanation> {
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.value("request") == id)
        .collect();
    let first = *own.first()?;
    let offsets = offsets(lines, &first.host);
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
        time >= start - BEFORE_MS && time <= end + AFTER_MS
    };
    let is_told = |line: &Line| {
        let of_process = hosts.contains(&line.host) && OF_PROCESS.contains(&line.value("event"));
        let of_engine = line.value("request").is_empty() && engines.contains(line.value("engine"));
        is_near(line) && (of_process || of_engine)
    };
    let chosen = lines
        .iter()
        .filter(|line| line.value("request") == id || is_told(line));
    let mut told: Vec<_> = chosen
        .map(|line| (time(line) - start, line.clone()))
        .collect();
    // A stable sort keeps the order of lines of one host with the same time.
    told.sort_by_key(|(after, _)| *after);
    Some(Explanation {
        cause: cause(&own, &told),
        lines: told,
    })
}

/// Returns how far each host's clock is ahead of that of `reference`, in milliseconds.
fn offsets(lines: &[Line], reference: &CompactString) -> BTreeMap<CompactString, i64> {
    let mut seen: BTreeMap<CompactString, BTreeMap<&CompactString, i64>> = BTreeMap::new();
    for line in lines {
        if let Some(key) = line.shared_key() {
            let hosts = seen.entry(key).or_default();
            hosts.entry(&line.host).or_insert(line.time_ms);
        }
    }
    let mut ahead: BTreeMap<CompactString, Vec<i64>> = BTreeMap::new();
    for hosts in seen.values() {
        let Some(known) = hosts.get(reference) else {
            continue;
        };
        for (host, time) in hosts {
            ahead.entry((*host).clone()).or_default().push(time - known);
        }
    }
    let medians = ahead.into_iter().map(|(host, mut all)| {
        all.sort_unstable();
        let median = all[all.len() / 2];
        (host, median)
    });
    medians.collect()
}

/// Says in one sentence what decided how the request ended.
fn cause(own: &[&Line], told: &[(i64, Line)]) -> String {
    let last = own[own.len() - 1];
    let failed: Vec<_> = own
        .iter()
        .filter(|line| matches!(line.value("event"), "attempt_failed" | "stream_broken"))
        .map(|line| format!("{}{}", line.value("fault"), line.value("reason")))
        .collect();
    let tries = match failed.is_empty() {
        true => "no attempt failed before".to_owned(),
        false => format!("attempts failed before: {}", failed.join(", ")),
    };
    let is_leaving = told
        .iter()
        .any(|(_, line)| line.value("event") == "drain_cut" && line.host == last.host);
    match last.value("event") {
        "refused" => format!(
            "refused for {} with status {}, work {}; {tries}",
            last.value("reason"),
            last.value("status"),
            last.value("work"),
        ),
        "answered" if !last.value("status").starts_with('2') => format!(
            "the engine itself answered with status {}; {tries}",
            last.value("status")
        ),
        "stream_ended" => format!(
            "the stream broke off after event {} for {}; {tries}",
            last.value("last_event"),
            last.value("reason"),
        ),
        "stream_complete" | "answered" if !is_leaving => {
            format!("this attempt was served; {tries}")
        }
        _ if is_leaving => format!("the host stopped while the request ran; {tries}"),
        event => format!("the log ends at {event}: the host ended, or its log was cut; {tries}"),
    }
}
