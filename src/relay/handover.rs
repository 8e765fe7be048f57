//! Streams of other hosts that have a replica of their engine's memory.
//!
//! If a host dies, or stops while streams run, its callers reconnect to another host within a
//! fraction of a second. Prefilling the prompt again would take longer than the gap that callers
//! accept, so the other host resumes the stream at the engine that holds the replica.
//!
//! A caller that reconnects sends its request under a new id, so the other host recognizes the run
//! by a digest of the request. Two runs of equal requests cannot be told apart. Neither is resumed
//! from its replica then, as a stream must not go on from the memory of another request.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::route::load::EngineHash;

/// Longest id of a run that is reported whole, in ASCII. Callers choose the ids, and long ones would fill the
/// datagram of a report.
const RUN_ID_BYTES_MAX: usize = 32;

/// Age of a report after which its replicas are no longer used: the time for which an engine keeps
/// a replica after its run ended, less the age of the report on arrival.
const REPLICA_LIFETIME: Duration = Duration::from_millis(3500);

/// Time for which a run of another host is remembered after the last report of it. Its caller may
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

/// A replica that a stream of another host goes on from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// Id of the replicated run.
    pub run: CompactString,
    /// Hash of the id of the engine that holds the replica.
    pub engine: EngineHash,
}

new_key_type! {
    /// Key of a stream in [`LocalStreams`].
    pub struct LocalStream;
}

/// Resumable streams that this host relays.
#[derive(Debug, Default)]
pub struct LocalStreams {
    streams: SlotMap<LocalStream, Stream>,
}

impl LocalStreams {
    /// Adds a stream without a replica.
    pub fn begin(&mut self, digest: u64, run: CompactString) -> LocalStream {
        self.streams.insert(Stream {
            digest,
            run,
            replica: None,
        })
    }

    /// Sets the engine that holds the replica of a stream.
    pub fn set_replica(&mut self, key: LocalStream, replica: Option<EngineHash>) {
        if let Some(stream) = self.streams.get_mut(key) {
            stream.replica = replica;
        }
    }

    /// Removes a stream that has ended.
    pub fn end(&mut self, key: LocalStream) {
        self.streams.remove(key);
    }

    /// Returns whether this host relays a stream of a request with this digest.
    pub fn has_run_of(&self, digest: u64) -> bool {
        self.streams.values().any(|stream| stream.digest == digest)
    }

    /// Returns at most `limit` streams to report to other hosts. Those of equal requests are reported
    /// without their replicas, so that one of them is enough to withhold the others'. So are those whose
    /// callers chose a long id, which is shortened.
    pub fn to_report(&self, limit: usize) -> Vec<Stream> {
        let mut runs: BTreeMap<u64, usize> = BTreeMap::new();
        for stream in self.streams.values() {
            *runs.entry(stream.digest).or_default() += 1;
        }
        let reported = self.streams.values().take(limit).map(|stream| {
            let has_short_id = stream.run.len() <= RUN_ID_BYTES_MAX;
            let can_be_told = has_short_id && runs[&stream.digest] == 1;
            Stream {
                digest: stream.digest,
                run: stream.run.chars().take(RUN_ID_BYTES_MAX).collect(),
                replica: stream.replica.filter(|_| can_be_told),
            }
        });
        reported.collect()
    }
}

/// Why no replica is known from which a reconnecting caller may go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Missing {
    /// No run of the request is known.
    #[error("unknown-run")]
    Run,
    /// The run has no replica, or none that its engine still keeps.
    #[error("no-replica")]
    Replica,
    /// Several runs of equal requests are known.
    #[error("ambiguous-run")]
    Distinction,
}

/// A run in [`RemoteStreams`].
#[derive(Debug)]
struct RemoteRun {
    run: CompactString,
    replica: Option<EngineHash>,
    reported_at: Instant,
}

/// Streams in the recent reports of other hosts.
#[derive(Debug, Default)]
pub struct RemoteStreams {
    // Runs by the digest of the request. Invariant: the runs of a digest have different ids.
    by_digest: BTreeMap<u64, Vec<RemoteRun>>,
}

impl RemoteStreams {
    /// Adds the streams of a host's report and drops those that are too old.
    pub fn record_report(&mut self, streams: Vec<Stream>, now: Instant) {
        self.by_digest.retain(|_, runs| {
            runs.retain(|run| now.duration_since(run.reported_at) < RUN_LIFETIME);
            !runs.is_empty()
        });
        for stream in streams {
            let runs = self.by_digest.entry(stream.digest).or_default();
            runs.retain(|known| known.run != stream.run);
            runs.push(RemoteRun {
                run: stream.run,
                replica: stream.replica,
                reported_at: now,
            });
        }
    }

    /// Returns the replica of the run that a reconnecting caller goes on with. It is not returned
    /// again, unless a later report contains it.
    ///
    /// # Errors
    /// [`Missing`] if there is none, or if it may be that of another run.
    pub fn take(&mut self, digest: u64, now: Instant) -> Result<Replica, Missing> {
        let known = self.by_digest.get_mut(&digest);
        match known.map(Vec::as_mut_slice).unwrap_or_default() {
            [] => Err(Missing::Run),
            [run] => run.take_replica(now).ok_or(Missing::Replica),
            _ => Err(Missing::Distinction),
        }
    }
}

impl RemoteRun {
    fn take_replica(&mut self, now: Instant) -> Option<Replica> {
        let is_held = now.duration_since(self.reported_at) < REPLICA_LIFETIME;
        let engine = self.replica.take().filter(|_| is_held)?;
        Some(Replica {
            run: self.run.clone(),
            engine,
        })
    }
}
