//! Streams of other hosts that a caller may bring here, and where their replicas are.
//!
//! Answers the loss of a host, and its stop while streams run: a caller comes back by another host
//! within a fraction of a second, and reading its prompt again would take longer than its pause may.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::peer::report::EngineHash;

/// Time for which an engine keeps a replica after its run ended, less the age of a report.
const REPLICA_FOR: Duration = Duration::from_millis(3500);

/// A running stream with a replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stream {
    /// Digest of the request without what changes between a caller's attempts.
    pub digest: u64,
    /// Id under which the engine holds the replica.
    pub run: CompactString,
    /// The engine that holds the replica.
    pub replica: EngineHash,
}

/// The streams that other hosts reported last.
#[derive(Debug, Default)]
pub struct Streams {
    // By digest, with the time of the last report that names it.
    known: BTreeMap<u64, (Instant, Stream)>,
}

impl Streams {
    /// Takes over the streams of a host's report.
    pub fn reported(&mut self, streams: Vec<Stream>, now: Instant) {
        self.known
            .retain(|_, (at, _)| now.duration_since(*at) < REPLICA_FOR);
        for stream in streams {
            self.known.insert(stream.digest, (now, stream));
        }
    }

    /// Takes the stream of a request that a caller brings from another host.
    pub fn take(&mut self, digest: u64, now: Instant) -> Option<Stream> {
        let (at, stream) = self.known.remove(&digest)?;
        (now.duration_since(at) < REPLICA_FOR).then_some(stream)
    }
}
