//! Messages exchanged with callers, engines and the membership list.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Rank of work; urgent work goes first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Served first.
    Urgent,
    /// Served from what urgent work leaves, with a floor.
    #[default]
    Routine,
}

/// How a refusal or failure left the work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No part of the request can have reached a back end.
    NotRun,
    /// The work ran, wholly or in part.
    Ran,
    /// The outcome is not known.
    Unknown,
}

impl Execution {
    /// Returns the outcome as it is written in documents and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// A request to generate, as sent to an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Request {
    /// Identity of the caller's request, the same for all its attempts.
    pub request_id: CompactString,
    /// Number of the attempt, from 1; a higher one supersedes a lower one.
    pub attempt: u32,
    /// Model name.
    pub model: CompactString,
    /// Version that must generate, or `None` for the engine's current one.
    pub model_version: Option<CompactString>,
    /// The prompt as text.
    pub prompt: String,
    /// Greatest number of output tokens, those in `resume_tokens` included.
    pub max_tokens: u32,
    /// Seed of the sampler.
    pub seed: u64,
    /// Rank, honoured by the engine's own queue.
    pub priority: Rank,
    /// Output tokens that are known already; generation goes on after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume_tokens: Vec<u32>,
}

/// One frame of an engine's stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Frame {
    /// Request that the frame belongs to.
    pub request_id: CompactString,
    /// Attempt that the frame belongs to.
    pub attempt: u32,
    /// Version that generates.
    pub model_version: CompactString,
    /// `counter` if a token depends only on version, prompt, seed and position.
    pub sampler: CompactString,
    /// Output position of the first token of `tokens`.
    pub position: u32,
    /// Token numbers.
    pub tokens: Vec<u32>,
    /// The tokens as text.
    pub text: CompactString,
    /// Set on the last frame: `stop` or `length`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<CompactString>,
    /// Prompt tokens that had to be prefilled; set on the first frame of an attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefilled: Option<u32>,
    /// Load of the engine, set now and then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Streams in the batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub queued: u32,
    /// Time of one decoding step in microseconds.
    pub step_us: u32,
}

/// Sampler name of engines whose streams can be continued elsewhere.
pub const COUNTER_SAMPLER: &str = "counter";

/// State of one stream on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Waits for a place in the batch.
    Queued,
    /// The prompt is being read.
    Prefill,
    /// Tokens are being produced.
    Decode,
    /// All tokens were produced.
    Done,
    /// The engine does not know the stream.
    Unknown,
}

/// Answer to a question about one stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamStatus {
    /// State of the stream.
    pub state: Phase,
    /// Number of the newest attempt, 0 if unknown.
    pub attempt: u32,
    /// Next output position.
    pub position: u32,
}

/// A model that an engine serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Model name.
    pub model: CompactString,
    /// Loaded version.
    pub version: CompactString,
    /// Loaded adapters.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events were lost.
    pub seq: u64,
    /// Whether the block was stored (`true`) or evicted.
    pub stored: bool,
    /// Hash of the prompt up to the end of the block.
    pub block: u64,
}

/// Status of an engine; its load and cache events lag.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Engine name.
    pub name: CompactString,
    /// Failure domain of the engine.
    pub failure_domain: CompactString,
    /// Models that it serves.
    pub models: Vec<Model>,
    /// Role, such as `serve` or `spare`.
    pub role: CompactString,
    /// Greatest number of streams in the batch.
    pub slots: u32,
    /// Load.
    #[serde(flatten)]
    pub load: Load,
    /// Whether the engine leaves and takes no new work.
    pub leaving: bool,
    /// Sequence number to ask for next.
    pub next_seq: u64,
    /// Cache events from the asked number on.
    pub events: Vec<CacheEvent>,
}

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// Identity; an order with a known one has no further effect.
    pub id: CompactString,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Action {
    /// Loads a version of a model in place of the present one.
    Load {
        /// Model name.
        model: CompactString,
        /// Version to load.
        version: CompactString,
    },
    /// Loads an adapter.
    Adapter {
        /// Adapter name.
        adapter: CompactString,
    },
    /// Changes the role.
    Role {
        /// New role.
        role: CompactString,
    },
}

/// Kind of a member of the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A router process on an entry host.
    Router,
    /// A model engine.
    Engine,
    /// A backend server of a plain service.
    Backend,
}

/// State of a member in the platform's list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// Takes work.
    #[default]
    Live,
    /// Finishes what it has.
    Leaving,
}

/// One entry of the platform's membership list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Unique name.
    pub name: CompactString,
    /// What it is.
    pub kind: Kind,
    /// Address of its main endpoint, `IP:PORT`.
    pub address: CompactString,
    /// Address for messages between routers, `IP:PORT`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<CompactString>,
    /// Failure domain.
    pub failure_domain: CompactString,
    /// Region.
    #[serde(default)]
    pub region: CompactString,
    /// State.
    #[serde(default)]
    pub state: Lifecycle,
    /// Model of an engine, or service of a backend server.
    #[serde(default)]
    pub service: CompactString,
}
