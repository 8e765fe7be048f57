//! Streams of other hosts that have a replica of their engine's memory.
//!
//! If a host dies, or stops while streams run, its callers reconnect to another host within a
//! fraction of a second. Prefilling the prompt again would take longer than the gap that callers
//! accept, so the other host resumes the stream at the engine that holds the replica.
//!
//! A caller that reconnects sends its request under a new id, so the other host recognizes the run
//! by a digest of the request. Two runs of equal requests cannot be told apart. Neither is resumed
//! from its replica then, as a stream must not go on from the memory of another request.
//!
//! A host hears of the runs of others from their reports, and forgets them when it restarts. What it
//! knows by itself therefore never shows that a run is the only one of its request:
//! [`super::inquiry`] decides by what all hosts know.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use super::inquiry::KnownRun;
use crate::route::load::EngineHash;

/// Longest id of a run that is reported whole, in ASCII. Callers choose the ids, and long ones would fill the
/// datagram of a report.
const RUN_ID_BYTES_MAX: usize = 32;

/// Time for which a run is remembered after its end, or after the last report of it. Its caller may
/// still reconnect then, and must not get the replica of an equal request that began later.
const RUN_LIFETIME: Duration = Duration::from_secs(30);

/// A running stream that another host may resume.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stream {
    /// Digest of the request, which is the same for all attempts of its caller.
    pub digest: u64,
    /// Id of the run, under which the engine keeps the replica.
    pub run: CompactString,
    /// Hash of the id of the engine that holds the replica; `None` if there is no replica that the
    /// caller may go on from.
    pub replica: Option<EngineHash>,
}

new_key_type! {
    /// Key of a stream in [`LocalStreams`].
    pub struct LocalStream;
}

/// A run of this host.
#[derive(Debug)]
struct LocalRun {
    stream: Stream,
    // Whether its caller got the head of a response. Only then can the caller have an event of it.
    is_begun: bool,
    // `None` while it runs.
    ended_at: Option<Instant>,
    // Number of the last report that told all other hosts of it; 0 if none did.
    last_report: u64,
}

/// Resumable streams that this host relays, and those that ended a short time ago.
#[derive(Debug, Default)]
pub struct LocalStreams {
    runs: SlotMap<LocalStream, LocalRun>,
    // Number of reports to all other hosts.
    reports: u64,
}

impl LocalStreams {
    /// Adds a stream without a replica.
    pub fn begin(&mut self, digest: u64, run: CompactString) -> LocalStream {
        self.runs.insert(LocalRun {
            stream: Stream {
                digest,
                run,
                replica: None,
            },
            is_begun: false,
            ended_at: None,
            last_report: 0,
        })
    }

    /// Records that the caller of a stream gets the head of a response.
    pub fn set_begun(&mut self, key: LocalStream) {
        if let Some(run) = self.runs.get_mut(key) {
            run.is_begun = true;
        }
    }

    /// Sets the engine that holds the replica of a stream.
    pub fn set_replica(&mut self, key: LocalStream, replica: Option<EngineHash>) {
        if let Some(run) = self.runs.get_mut(key) {
            run.stream.replica = replica;
        }
    }

    /// Records that a stream has ended. It is remembered for a while if its caller may have events of it.
    pub fn end(&mut self, key: LocalStream, now: Instant) {
        let is_remembered = |ended_at: Instant| now.duration_since(ended_at) < RUN_LIFETIME;
        self.runs
            .retain(|_, run| run.ended_at.is_none_or(is_remembered));
        match self.runs.get_mut(key) {
            Some(run) if run.is_begun => run.ended_at = Some(now),
            _ => drop(self.runs.remove(key)),
        }
    }

    /// Returns the runs of requests with this digest, those that ended a short time ago included. `host` is
    /// the address of this host.
    pub fn runs_of(&self, digest: u64, host: SocketAddr, now: Instant) -> Vec<KnownRun> {
        let runs = self.runs.values();
        let runs = runs.filter(|run| run.stream.digest == digest);
        let known = runs.map(|run| {
            let ended = run.ended_at;
            KnownRun {
                run: shortened(&run.stream.run),
                replica: run.stream.reportable_replica(),
                host,
                age: ended.map_or(Duration::ZERO, |at| now.duration_since(at)),
                is_running: ended.is_none(),
            }
        });
        known.filter(|known| known.age < RUN_LIFETIME).collect()
    }

    /// Returns at most `limit` running streams to report to other hosts, first those that no report told, then
    /// those whose last report is the oldest. Those of equal requests are reported without their replicas, so
    /// that one of them is enough to withhold the others'. So are those whose callers chose a long id, which
    /// is shortened.
    pub fn to_report(&self, limit: usize) -> Vec<Stream> {
        let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
        let running = self.running();
        for key in &running {
            *runs.entry(self.runs[*key].stream.digest).or_default() += 1;
        }
        let reported = running.iter().take(limit).map(|key| {
            let stream = &self.runs[*key].stream;
            let replica = stream.reportable_replica();
            Stream {
                digest: stream.digest,
                run: shortened(&stream.run),
                replica: replica.filter(|_| runs[&stream.digest] == 1),
            }
        });
        reported.collect()
    }

    /// Records that all other hosts were sent [`Self::to_report`].
    pub fn record_report(&mut self, limit: usize) {
        self.reports += 1;
        for key in self.running().into_iter().take(limit) {
            self.runs[key].last_report = self.reports;
        }
    }

    /// Returns the running streams in the order in which they are reported.
    fn running(&self) -> Vec<LocalStream> {
        let running = self.runs.iter().filter(|(_, run)| run.ended_at.is_none());
        let mut keys: Vec<_> = running.map(|(key, run)| (run.last_report, key)).collect();
        keys.sort_by_key(|(last_report, _)| *last_report);
        keys.into_iter().map(|(_, key)| key).collect()
    }
}

fn shortened(run: &str) -> CompactString {
    run.chars().take(RUN_ID_BYTES_MAX).collect()
}

impl Stream {
    /// Returns the replica, unless the id under which its engine keeps it is too long to be reported.
    fn reportable_replica(&self) -> Option<EngineHash> {
        self.replica.filter(|_| self.run.len() <= RUN_ID_BYTES_MAX)
    }
}

/// A run in [`RemoteStreams`].
#[derive(Debug)]
struct RemoteRun {
    run: CompactString,
    replica: Option<EngineHash>,
    host: SocketAddr,
    reported_at: Instant,
}

/// Streams in the recent reports of other hosts.
#[derive(Debug, Default)]
pub struct RemoteStreams {
    // Runs by the digest of the request. Invariant: the runs of a digest have different ids.
    by_digest: BTreeMap<u64, Vec<RemoteRun>>,
    // Since when all reported runs are known; `None` before the first report.
    complete_since: Option<Instant>,
}

impl RemoteStreams {
    /// Adds the streams of the report of `host` and drops those that are too old.
    pub fn record_report(&mut self, host: SocketAddr, streams: Vec<Stream>, now: Instant) {
        self.by_digest.retain(|_, runs| {
            runs.retain(|run| now.duration_since(run.reported_at) < RUN_LIFETIME);
            !runs.is_empty()
        });
        self.complete_since.get_or_insert(now);
        for stream in streams {
            let runs = self.by_digest.entry(stream.digest).or_default();
            runs.retain(|known| known.run != stream.run);
            runs.push(RemoteRun {
                run: stream.run,
                replica: stream.replica,
                host,
                reported_at: now,
            });
        }
    }

    /// Records that this host may have missed reports until `now`.
    pub fn record_gap(&mut self, now: Instant) {
        self.complete_since = self.complete_since.map(|_| now);
    }

    /// Returns the number of runs that are known.
    pub fn len(&self) -> usize {
        self.by_digest.values().map(Vec::len).sum()
    }

    /// Returns whether no run is known.
    pub fn is_empty(&self) -> bool {
        self.by_digest.is_empty()
    }

    /// Returns for how long all reported runs have been known.
    pub fn known_for(&self, now: Instant) -> Duration {
        let since = self.complete_since;
        since.map_or(Duration::ZERO, |since| now.duration_since(since))
    }

    /// Returns the runs of requests with this digest.
    pub fn runs_of(&self, digest: u64, now: Instant) -> Vec<KnownRun> {
        let runs = self.by_digest.get(&digest).into_iter().flatten();
        let known = runs.map(|run| KnownRun {
            run: run.run.clone(),
            replica: run.replica,
            host: run.host,
            age: now.duration_since(run.reported_at),
            is_running: false,
        });
        known.filter(|known| known.age < RUN_LIFETIME).collect()
    }

    /// Records that the replica of a run is used, after which its engine no longer holds it.
    pub fn record_use(&mut self, digest: u64, run: &str) {
        let runs = self.by_digest.get_mut(&digest).into_iter().flatten();
        for known in runs.filter(|known| known.run == run) {
            known.replica = None;
        }
    }
}
