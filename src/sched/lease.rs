//! Capacity that hosts ask for and may use.

use std::collections::BTreeMap;
use std::time::Instant;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::wire::Rank;

/// Places and work by partner and rank.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Class {
    /// Partner that pays.
    pub partner: CompactString,
    /// Rank.
    pub rank: Rank,
}

/// What one class of a host asks for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// Places wanted: requests that wait or run.
    pub wanted: u32,
    /// Places in use.
    pub in_use: u32,
    /// Work done since the last report, in tokens.
    pub work: u64,
}

/// What one host asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// By class.
    pub classes: BTreeMap<Class, Want>,
}

/// What one host may use until it is replaced.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Places by class.
    pub places: BTreeMap<Class, u32>,
    /// The fleet's work by partner in tokens per second.
    pub work_per_s: BTreeMap<CompactString, f64>,
    /// When the lease ends.
    pub until: Instant,
}
