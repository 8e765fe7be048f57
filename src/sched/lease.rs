//! Shares of the fleet between hosts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

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

/// Time for which a lease lasts.
pub const LEASE: Duration = Duration::from_secs(3);

/// What a host tells the allocator of a failure domain.
///
/// It holds the part of the host's demand that falls on the domain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Grows with each report of the host for this domain, from 1.
    pub seq: u64,
    /// `seq` of the report that the lease in force answered, 0 without one.
    pub lease: u64,
    /// Places that the host uses now, by lease or without one.
    pub held: u32,
    /// Time that the lease in force has left, 0 without one.
    pub held_ms: u32,
    /// Places of the domain's live engines as the host sees them.
    pub capacity: u32,
    /// Hosts that share the domain, as far as the host knows.
    pub sharers: u32,
    /// Partner, rank, places wanted, places in use, and work in tokens since the host's start.
    ///
    /// Totals of work lose nothing when a report is lost, and count nothing twice.
    pub classes: Vec<(CompactString, Rank, u32, u32, u64)>,
}

/// What the allocator answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Lease {
    /// `seq` of the report.
    pub seq: u64,
    /// Time for which the lease lasts, counted from when the report was sent.
    pub ttl_ms: u32,
    /// Hosts that share the domain.
    pub hosts: u32,
    /// Partner, rank and places.
    pub places: Vec<(CompactString, Rank, u32)>,
    /// Work on the domain by partner in tokens per second.
    pub work_per_s: Vec<(CompactString, u32)>,
}

impl Lease {
    /// Returns the places by class.
    pub fn places(&self) -> BTreeMap<Class, u32> {
        let places = self.places.iter().map(|(partner, rank, count)| {
            let class = Class {
                partner: partner.clone(),
                rank: *rank,
            };
            (class, *count)
        });
        places.collect()
    }

    /// Returns the places of all classes.
    pub fn total(&self) -> u32 {
        self.places.iter().map(|(_, _, count)| count).sum()
    }
}
