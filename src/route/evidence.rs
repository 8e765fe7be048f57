//! What hosts report to each other about parts of prompts that crash engines.

use serde::{Deserialize, Serialize};

use super::prompt::{PartHash, RequestHash};
use crate::route::load::EngineHash;
use crate::util::hash64;

/// Hash of the name of a failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct DomainHash(u16);

impl DomainHash {
    /// Returns the hash of the failure domain `name`.
    pub fn of(name: &str) -> Self {
        Self(hash64(&[name.as_bytes()]) as u16)
    }
}

/// How certain it is that an engine ended at a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Certainty {
    /// Its connection broke or timed out before it was past the beginning of the response. The engine
    /// may have ended and started again, or have ended at another request, or only the connection failed.
    Possible,
    /// It began the response, and its address refused connections afterwards.
    Certain,
}

/// An engine that ended just as it began to write the response to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// The engine.
    pub engine: EngineHash,
    /// Its failure domain.
    pub domain: DomainHash,
    /// The request.
    pub request: RequestHash,
    /// Parts of the request's prompt that others may share.
    pub parts: Vec<PartHash>,
    /// How certain it is.
    pub certainty: Certainty,
    /// Time since the engine ended in milliseconds.
    pub age_ms: u32,
}

/// A part that an engine has begun to write a response to and survived.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pass {
    /// The part.
    pub part: PartHash,
    /// Time since then in milliseconds.
    pub age_ms: u32,
}

/// Parts of which one crashes engines; requests with all of them are refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Block {
    /// The parts, in ascending order.
    pub parts: Vec<PartHash>,
    /// Number of requests that were let through after a block had ended and crashed an engine.
    pub failed_trials: u32,
    /// Time since their last crash in milliseconds.
    pub age_ms: u32,
}

/// What hosts report to each other.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Crashes of the last moments.
    pub crashes: Vec<Crash>,
    /// Recent passes of parts that are suspect or blocked.
    pub passes: Vec<Pass>,
    /// Blocks in force, for hosts that have started since the crashes.
    pub blocks: Vec<Block>,
}
