//! Prompts as the gateway relates them to engines that ended: by short hashes of their parts.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::util::hash64;

/// Maximum number of parts kept of a prompt, which bounds memory and log lines. Half of them are the
/// first parts, the others the last ones.
pub const PARTS_MAX: usize = 32;

/// Hash of the id of a part of a prompt. Two parts with the same hash count as one; with the few
/// parts that are ever suspect at a time this is rarer than a coincidence of crashes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartHash(u32);

impl PartHash {
    /// Returns the hash of the part `id`.
    pub fn of(id: &str) -> Self {
        Self(hash64(&[id.as_bytes()]) as u32)
    }
}

impl fmt::Display for PartHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Hash of a whole request, which is the same when its caller retries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestHash(u32);

impl RequestHash {
    /// Shortens the digest of a request.
    pub fn of(digest: u64) -> Self {
        Self(digest as u32)
    }
}

/// The prompt of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The whole request.
    pub request: RequestHash,
    /// Parts that other requests may share, in order. The last part of a prompt is left out, as it
    /// belongs to the request or its session alone.
    pub parts: Vec<PartHash>,
}

impl Prompt {
    /// Creates the prompt of the request with this digest from the ids of all its parts.
    pub fn new<'a>(digest: u64, ids: impl Iterator<Item = &'a str>) -> Self {
        let mut parts: Vec<_> = ids.map(PartHash::of).collect();
        parts.pop();
        let excess = parts.len().saturating_sub(PARTS_MAX);
        if excess > 0 {
            parts.drain(PARTS_MAX / 2..PARTS_MAX / 2 + excess);
        }
        Self {
            request: RequestHash::of(digest),
            parts,
        }
    }
}

impl fmt::Display for Prompt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&join(&self.parts))
    }
}

/// Returns parts as a list for logs, separated by commas; `none` if there is none.
pub fn join(parts: &[PartHash]) -> String {
    if parts.is_empty() {
        return "none".to_owned();
    }
    let parts: Vec<_> = parts.iter().map(PartHash::to_string).collect();
    parts.join(",")
}
