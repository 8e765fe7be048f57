//! Shares of the fleet between hosts.

use std::collections::BTreeMap;
use std::time::Instant;

use compact_str::CompactString;

use crate::wire::Rank;

/// Places and work by partner and rank.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Class {
    /// Partner that pays.
    pub partner: CompactString,
    /// Rank.
    pub rank: Rank,
}

/// What one class asks for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Want {
    /// Places wanted: waiting and running work.
    pub wanted: u32,
    /// Places in use.
    pub in_use: u32,
    /// Work done since the last report, in tokens.
    pub work: u64,
}

/// What one host asks for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Places wanted, places in use and work by class.
    pub classes: BTreeMap<Class, Want>,
}

/// What one host may use until it is replaced.
///
/// The sum of the places is the limit of the host. The places of a class are what it may claim;
/// places that a class leaves idle are free for the host's other work.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Places by class.
    pub places: BTreeMap<Class, u32>,
    /// Work of the whole fleet by partner, in tokens per second.
    pub work_per_s: BTreeMap<CompactString, f64>,
    /// When the grant ends.
    pub until: Instant,
}
