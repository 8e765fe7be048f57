//! Messages exchanged with callers, engines and the membership list.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Priority class of a request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Scheduled before routine requests.
    Urgent,
    /// Scheduled on the capacity that urgent requests leave, with a guaranteed minimum share.
    #[default]
    Routine,
}

/// Whether a refused or failed request was executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No part of the request can have reached an engine or backend server.
    NotRun,
    /// The request was executed in whole or in part.
    Ran,
    /// The request may or may not have been executed.
    Unknown,
}

impl Execution {
    /// Returns the value written to problem documents and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// A generation request sent to an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Request {
    /// Id of the caller's request, the same for all its attempts.
    pub request_id: CompactString,
    /// Attempt number, starting at 1; an attempt supersedes those with lower numbers.
    pub attempt: u32,
    /// Model name.
    pub model: CompactString,
    /// Model version to generate with, `None` for the version the engine has loaded.
    pub model_version: Option<CompactString>,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of output tokens, including `resume_tokens`.
    pub max_tokens: u32,
    /// Seed of the sampler.
    pub seed: u64,
    /// Rank of the request in the engine's own queue.
    pub priority: Rank,
    /// Output tokens of earlier attempts; generation continues after them.
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
    /// Model version that generated the tokens.
    pub model_version: CompactString,
    /// Sampler name; see [`COUNTER_SAMPLER`].
    pub sampler: CompactString,
    /// Output position of the first token of `tokens`.
    pub position: u32,
    /// Token ids.
    pub tokens: Vec<u32>,
    /// The tokens as text.
    pub text: CompactString,
    /// `stop` or `length`; set only on the last frame.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<CompactString>,
    /// Prompt tokens that had to be prefilled; set on the first frame of an attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefilled: Option<u32>,
    /// Load of the engine; set on some frames only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Load>,
}

/// Load of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Streams in the batch.
    pub running: u32,
    /// Requests waiting for a slot in the batch.
    pub queued: u32,
    /// Duration of one decoding step in microseconds.
    pub step_us: u32,
}

/// Name of the sampler whose tokens depend only on model version, prompt, seed and position.
///
/// Streams of this sampler can be resumed on another engine.
pub const COUNTER_SAMPLER: &str = "counter";

/// Phase of a stream on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Waiting for a slot in the batch.
    Queued,
    /// The prompt is being prefilled.
    Prefill,
    /// Output tokens are being generated.
    Decode,
    /// All output tokens were generated.
    Done,
    /// The engine does not know the stream.
    Unknown,
}

/// Status of one stream, as returned by its engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamStatus {
    /// Phase of the stream.
    pub state: Phase,
    /// Number of the newest attempt, 0 if the stream is unknown.
    pub attempt: u32,
    /// Next output position.
    pub position: u32,
}

/// A model that an engine serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Model name.
    pub model: CompactString,
    /// Loaded model version.
    pub version: CompactString,
    /// Names of the loaded adapters.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
}

/// A block stored in or evicted from an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that events are missing.
    pub seq: u64,
    /// Whether the block was stored (`true`) or evicted.
    pub stored: bool,
    /// Hash of the prompt up to the end of the block.
    pub block: u64,
}

/// Status of an engine. Load and cache events may be out of date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Engine name.
    pub name: CompactString,
    /// Failure domain of the engine.
    pub failure_domain: CompactString,
    /// Models that the engine serves.
    pub models: Vec<Model>,
    /// Role, such as `serve` or `spare`.
    pub role: CompactString,
    /// Maximum number of streams in the batch.
    pub slots: u32,
    /// Load of the engine.
    #[serde(flatten)]
    pub load: Load,
    /// Whether the engine is leaving and accepts no new requests.
    pub leaving: bool,
    /// Sequence number to pass as `since` in the next status request.
    pub next_seq: u64,
    /// Cache events from the requested sequence number on.
    pub events: Vec<CacheEvent>,
}

/// An order to change what an engine serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// Id of the order; an engine applies each id at most once.
    pub id: CompactString,
    /// Requested change.
    #[serde(flatten)]
    pub action: Action,
}

/// Change requested by an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Action {
    /// Replaces the loaded version of a model.
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
    /// Changes the role of the engine.
    Role {
        /// New role.
        role: CompactString,
    },
}

/// Kind of a member in the platform's membership list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A router process on an entry host.
    Router,
    /// A model engine.
    Engine,
    /// A backend server of a service other than model generation.
    Backend,
}

/// State of a member in the platform's membership list.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// Accepts new requests.
    #[default]
    Live,
    /// Finishes its requests and accepts no new ones.
    Leaving,
}

/// One entry of the platform's membership list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Unique name.
    pub name: CompactString,
    /// Kind of the member.
    pub kind: Kind,
    /// Address of its main endpoint, `IP:PORT`.
    pub address: CompactString,
    /// Address for messages between routers, `IP:PORT`; only routers have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<CompactString>,
    /// Failure domain.
    pub failure_domain: CompactString,
    /// Region.
    #[serde(default)]
    pub region: CompactString,
    /// Whether the member accepts new requests.
    #[serde(default)]
    pub state: Lifecycle,
    /// Model of an engine or service of a backend server; empty for routers.
    #[serde(default)]
    pub service: CompactString,
}
