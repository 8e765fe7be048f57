//! Messages and values with which hosts and allocators divide the slots of the engines.
//!
//! A slot is room for one stream in an engine's batch. Fields that are sent or shown call it
//! `places`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::wire::Rank;

/// Partner and rank, by which slots and work are counted.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Class {
    /// Partner that pays for the work.
    pub partner: CompactString,
    /// Urgency of the work.
    pub rank: Rank,
}

/// Demand of one class on one host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClassDemand {
    /// Slots wanted: the number of waiting and running requests.
    pub wanted: u32,
    /// Slots in use: the number of running requests.
    pub in_use: u32,
    /// Work done since the last report, in tokens.
    pub work: u64,
}

/// Demand of one host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Demand of each class.
    pub classes: BTreeMap<Class, ClassDemand>,
}

/// Slots that one host may use, until the next grant replaces it.
///
/// The host runs at most the sum of all slots. Each class may claim its own slots; other work of the
/// host may use those that the class leaves idle.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Slots by class.
    pub slots: BTreeMap<Class, u32>,
    /// Rate of work of all hosts by partner, in tokens per second.
    pub work_per_s: BTreeMap<CompactString, f64>,
    /// Earliest expiry of the leases that it combines, at most [`LEASE_TTL`] ahead.
    pub expires_at: Instant,
}

/// Time for which a lease is valid.
pub const LEASE_TTL: Duration = Duration::from_secs(3);

/// Report of a host to the allocator of a failure domain, with the part of its demand that falls on
/// the domain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Sequence number of the host's reports for this domain, from 1.
    pub seq: u64,
    /// `seq` of the report that the lease in force answered, 0 without one.
    pub lease: u64,
    /// Slots that the host may use now, by lease or without one.
    pub held: u32,
    /// Remaining time of the lease in force, 0 without one.
    pub held_ms: u32,
    /// Slots of the domain's live engines, as seen by the host.
    pub capacity: u32,
    /// Number of hosts that share the domain, as far as the host knows.
    pub sharers: u32,
    /// Partner, rank, slots wanted, slots in use, and work in tokens since the host's start.
    ///
    /// Work is reported as a total, so that lost and duplicate reports do not distort it.
    pub classes: Vec<(CompactString, Rank, u32, u32, u64)>,
}

/// Lease, the allocator's answer to a report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Lease {
    /// `seq` of the report that this lease answers.
    pub seq: u64,
    /// Time for which the lease is valid, counted from when the report was sent.
    pub ttl_ms: u32,
    /// Number of hosts that report to the allocator.
    pub hosts: u32,
    /// Partner, rank and number of slots.
    pub places: Vec<(CompactString, Rank, u32)>,
    /// Rate of work on the domain by partner, in tokens per second.
    pub work_per_s: Vec<(CompactString, u32)>,
}

impl Lease {
    /// Returns the slots by class.
    pub fn slots_by_class(&self) -> BTreeMap<Class, u32> {
        let slots = self.places.iter().map(|(partner, rank, count)| {
            let class = Class {
                partner: partner.clone(),
                rank: *rank,
            };
            (class, *count)
        });
        slots.collect()
    }

    /// Returns the slots of all classes together.
    pub fn total_slots(&self) -> u32 {
        self.places.iter().map(|(_, _, count)| count).sum()
    }
}
