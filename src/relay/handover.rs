//! Streams of other hosts that have a replica of their engine's memory.
//!
//! If a host dies, or stops while streams run, its callers reconnect to another host within a
//! fraction of a second. Prefilling the prompt again would take longer than the gap that callers
//! accept, so the other host resumes the stream at the engine that holds the replica.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::peer::report::EngineHash;

/// Age of a report after which its replicas are no longer used: the time for which an engine keeps
/// a replica after its run ended, less the age of the report on arrival.
const REPLICA_LIFETIME: Duration = Duration::from_millis(3500);

/// A running stream with a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stream {
    /// Digest of the request, without the parts that differ between a caller's attempts.
    pub digest: u64,
    /// Id of the run, under which the engine keeps the replica.
    pub run: CompactString,
    /// Hash of the id of the engine that holds the replica.
    pub replica: EngineHash,
}

/// Streams in the recent reports of other hosts.
#[derive(Debug, Default)]
pub struct Streams {
    // By digest, with the time of the last report that contained the stream.
    by_digest: BTreeMap<u64, (Instant, Stream)>,
}

impl Streams {
    /// Adds the streams of a host's report and drops those that are too old.
    pub fn record_report(&mut self, streams: Vec<Stream>, now: Instant) {
        self.by_digest
            .retain(|_, (reported_at, _)| now.duration_since(*reported_at) < REPLICA_LIFETIME);
        for stream in streams {
            self.by_digest.insert(stream.digest, (now, stream));
        }
    }

    /// Removes and returns the stream that a reconnecting caller asks for, unless its report is too
    /// old.
    pub fn take(&mut self, digest: u64, now: Instant) -> Option<Stream> {
        let (reported_at, stream) = self.by_digest.remove(&digest)?;
        (now.duration_since(reported_at) < REPLICA_LIFETIME).then_some(stream)
    }
}
