//! Allocator of one failure domain: divides its slots among the hosts that report to it.
//!
//! A slot is room for one stream in an engine's batch. Messages and status pages call slots
//! `places`. Hosts report their demand once a second and get a lease, the number of slots that they
//! may use for each class of work until the lease expires. In a region with few hosts one allocator
//! serves all failure domains as if they were one; see `Reporter::lease_pools` in `lease_task`.
//!
//! Bound on overcommitment: all hosts together use at most `capacity * (1 + k / n)` slots, where
//! `capacity` is the greatest capacity within the last lease period (`LEASE_TTL`), `n` is the number
//! of hosts that share the domain, and `k` is the number of hosts that were isolated at some time
//! within the last two lease periods. A host is isolated if it has no lease, or if at most half of
//! the hosts report to its allocator. Without faults `k` is 0.
//!
//! - For each host the allocator reserves the largest lease that may still be valid there, or the
//!   slots in use if these are more. It leases only the remaining slots to others.
//! - A host without a lease uses at most `capacity / n` slots. While the platform lists a host that
//!   does not report, its slots are reserved for it; they are leased to others once it is unlisted.
//! - An allocator with `m` reporting hosts, at most half of all, leases `capacity * m / n` slots,
//!   because the other hosts may report to another allocator. So both sides of a partition serve.
//!   With a majority it leases the whole capacity, so the loss of fewer hosts leaves no slot idle.
//! - An allocator that starts, or regains a majority, first warms up for one lease period: hosts keep
//!   what they use, and nothing more is leased until all leases of another allocator have expired.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::lease::{Class, ClassDemand, LEASE_TTL, Lease, Report};
use super::share::{self, Shares};
use crate::clock::Clock;

/// Time between two corrections of the partners' weights by measured work.
const CORRECTION_INTERVAL: Duration = Duration::from_secs(1);

/// Weight of the newest measurement in the moving averages of work rates and slots in use. With one
/// measurement a second the averages cover about 4 s, a few generations, which smooths their starts
/// and ends.
const RATE_GAIN: f64 = 0.25;

/// Fraction of the relative error in a partner's work that each correction removes, apart from the
/// error explained by its work per slot. A correction takes about 6 s to show (lease, generation,
/// moving average), so the gain must be well below 1/6 per second or the loop oscillates.
const CORRECTION_GAIN: f64 = 0.04;

/// Consecutive corrections at which a partner must want more than it gets before its work is
/// compared with its share. Until then the moving averages still include the time before.
const SETTLE_CORRECTIONS: u32 = 10;

/// Largest factor by which a weight is corrected, up or down. Tokens per slot differ by about this
/// factor between short prompts with long answers and long prompts with short answers.
const CORRECTION_FACTOR_MAX: f64 = 4.0;

/// Time after which the remainder of a division among hosts goes to other hosts. Each change leaves
/// a slot empty for about a second, so a shorter period would waste capacity.
const REMAINDER_INTERVAL: Duration = Duration::from_secs(10);

/// Lease that was sent to a host and is not yet confirmed by one of its reports.
#[derive(Debug)]
struct Offer {
    seq: u64,
    slots: u32,
    expires_at: Instant,
}

/// State of a host that reports to this allocator.
#[derive(Debug)]
struct Holder {
    incarnation: u64,
    seq: u64,
    reported_at: Instant,
    capacity: u32,
    sharers: u32,
    demand: BTreeMap<Class, ClassDemand>,
    // Slots of the lease that the host reported as in force.
    held: u32,
    held_until: Instant,
    // Invariant: leases sent after the one in force; the host may have received any of them.
    offers: Vec<Offer>,
    last_lease: Option<(Lease, Instant)>,
}

impl Holder {
    /// Returns the largest number of slots that the host may be using.
    fn outstanding(&self, now: Instant) -> u32 {
        let offers = self.offers.iter().filter(|offer| offer.expires_at > now);
        let offered = offers.map(|offer| offer.slots).max().unwrap_or(0);
        let held = if self.held_until > now { self.held } else { 0 };
        let is_reporting = now.duration_since(self.reported_at) < LEASE_TTL;
        let running = if is_reporting { self.running() } else { 0 };
        offered.max(held).max(running)
    }

    fn running(&self) -> u32 {
        self.demand.values().map(|class| class.in_use).sum()
    }
}

/// Allocator of one failure domain.
#[derive(Debug)]
pub struct Allocator<C: Clock> {
    clock: C,
    started: Instant,
    shares: Shares,
    holders: BTreeMap<CompactString, Holder>,
    last_report: Option<Instant>,
    warm_up_until: Instant,
    // Hosts whose routers the platform lists.
    listed_hosts: BTreeSet<CompactString>,
    // Invariant: only listed hosts that do not report, with the slots that they use meanwhile.
    missing: BTreeMap<CompactString, BTreeMap<Class, u32>>,
    // Whether at most half of the hosts reported, as of the last report.
    lacked_majority: bool,
    // Work by partner since the last correction, in tokens.
    work_since_correction: BTreeMap<CompactString, u64>,
    work_rates: BTreeMap<CompactString, f64>,
    // Moving average of slots in use by partner, over the same time as `work_rates`.
    slots_in_use: BTreeMap<CompactString, f64>,
    corrections: BTreeMap<CompactString, f64>,
    // Consecutive corrections at which a partner wanted more than it got.
    unmet_streaks: BTreeMap<CompactString, u32>,
    corrected_at: Instant,
    // Accumulated rounding error of each class, in slots; positive if it got too few.
    rounding_errors: BTreeMap<Class, f64>,
}

/// Division of the leasable slots among classes.
#[derive(Debug, Default)]
struct Division {
    wanted: BTreeMap<Class, u32>,
    exact: BTreeMap<Class, f64>,
    rounded: BTreeMap<Class, u32>,
}

impl<C: Clock> Allocator<C> {
    /// Creates an allocator without hosts.
    pub fn new(clock: C, shares: Shares) -> Self {
        let now = clock.now();
        Self {
            clock,
            started: now,
            shares,
            holders: BTreeMap::new(),
            last_report: None,
            warm_up_until: now,
            listed_hosts: BTreeSet::new(),
            missing: BTreeMap::new(),
            lacked_majority: true,
            work_since_correction: BTreeMap::new(),
            work_rates: BTreeMap::new(),
            slots_in_use: BTreeMap::new(),
            corrections: BTreeMap::new(),
            unmet_streaks: BTreeMap::new(),
            corrected_at: now,
            rounding_errors: BTreeMap::new(),
        }
    }

    /// Replaces the partners' shares.
    pub fn set_shares(&mut self, shares: Shares) {
        if self.shares != shares {
            self.shares = shares;
            self.rounding_errors.clear();
            self.unmet_streaks.clear();
        }
    }

    /// Replaces the hosts whose routers the platform lists.
    pub fn set_listed_hosts(&mut self, listed_hosts: BTreeSet<CompactString>) {
        self.listed_hosts = listed_hosts;
    }

    /// Records a host's report and returns its lease.
    ///
    /// A duplicate report gets the same lease with its remaining time; an outdated report gets an
    /// empty lease, which the host ignores. Neither is recorded.
    pub fn report(&mut self, host: &CompactString, incarnation: u64, report: &Report) -> Lease {
        let now = self.clock.now();
        self.restart_if_idle(now);
        self.drop_expired(now);
        if let Some(holder) = self.holders.get(host)
            && (incarnation, report.seq) <= (holder.incarnation, holder.seq)
        {
            return repeat_lease(holder, report.seq, now);
        }
        let is_new = !self.holders.contains_key(host);
        self.record(host, incarnation, report, now);
        let lacked_majority_before = self.lacked_majority;
        self.lacked_majority = self.lacks_majority(now);
        if lacked_majority_before && !self.lacked_majority {
            self.warm_up_until = now + LEASE_TTL;
        }
        let division = self.divide(now);
        self.correct_weights(&division, now);
        let target = self.target_slots(host, &division, now);
        let limit = self.slot_limit(host, report, is_new, now);
        self.issue_lease(host, report.seq, share::scale_down(target, limit), now)
    }

    /// Starts a warm-up if no host has reported for a lease period.
    fn restart_if_idle(&mut self, now: Instant) {
        let is_idle = self
            .last_report
            .is_none_or(|at| now.duration_since(at) >= LEASE_TTL);
        if is_idle {
            self.holders.clear();
            self.missing.clear();
            self.work_since_correction.clear();
            self.warm_up_until = now + LEASE_TTL;
            self.corrected_at = now;
        }
        self.last_report = Some(now);
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_reporting = |holder: &Holder| now.duration_since(holder.reported_at) < LEASE_TTL;
        let limit = self.fallback_limit(now);
        for (name, holder) in &self.holders {
            let lease = holder.last_lease.as_ref().filter(|_| !is_reporting(holder));
            if let (Some((lease, _)), false) = (lease, self.missing.contains_key(name)) {
                let slots = fallback_slots(lease.slots_by_class(), &self.shares, limit);
                self.missing.insert(name.clone(), slots);
            }
        }
        self.holders
            .retain(|_, holder| is_reporting(holder) || holder.outstanding(now) > 0);
        let has_reported = |name: &CompactString| self.holders.get(name).is_some_and(is_reporting);
        self.missing
            .retain(|name, _| self.listed_hosts.contains(name) && !has_reported(name));
    }

    /// Returns the slots used by hosts that the platform lists but that do not report.
    ///
    /// Such a host may be cut off and still serve. Without a majority the result is empty, because
    /// the allocator then leases only the part of the hosts that report to it.
    fn missing_slots(&self, now: Instant) -> BTreeMap<Class, u32> {
        let mut slots = BTreeMap::new();
        if self.lacks_majority(now) {
            return slots;
        }
        for (class, count) in self.missing.values().flatten() {
            *slots.entry(class.clone()).or_default() += count;
        }
        slots
    }

    fn record(&mut self, host: &CompactString, incarnation: u64, report: &Report, now: Instant) {
        let old = self.holders.remove(host);
        let old = old.filter(|holder| holder.incarnation == incarnation);
        let mut demand = BTreeMap::new();
        for (partner, rank, wanted, in_use, work) in &report.classes {
            let class = Class {
                partner: partner.clone(),
                rank: *rank,
            };
            let last_total = old
                .as_ref()
                .map(|holder| holder.demand.get(&class).map_or(0, |last| last.work));
            // The first total of a host is its work since its start, not since the last correction.
            let done = work.saturating_sub(last_total.unwrap_or(*work));
            *self
                .work_since_correction
                .entry(partner.clone())
                .or_default() += done;
            let class_demand = ClassDemand {
                wanted: *wanted,
                in_use: *in_use,
                work: *work,
            };
            demand.insert(class, class_demand);
        }
        let mut offers = old.map(|holder| holder.offers).unwrap_or_default();
        offers.retain(|offer| offer.seq > report.lease && offer.expires_at > now);
        let holder = Holder {
            incarnation,
            seq: report.seq,
            reported_at: now,
            capacity: report.capacity,
            sharers: report.sharers,
            demand,
            held: report.held,
            held_until: now + Duration::from_millis(report.held_ms.into()),
            offers,
            last_lease: None,
        };
        self.holders.insert(host.clone(), holder);
    }

    fn reporting(&self, now: Instant) -> impl Iterator<Item = (&CompactString, &Holder)> {
        let is_reporting =
            move |holder: &Holder| now.duration_since(holder.reported_at) < LEASE_TTL;
        self.holders
            .iter()
            .filter(move |(_, holder)| is_reporting(holder))
    }

    /// Returns the number of hosts that report, and of all hosts that share the domain.
    fn host_counts(&self, now: Instant) -> (u32, u32) {
        let sharers = self.reporting(now).map(|(_, holder)| holder.sharers).max();
        let reporting = self.reporting(now).count() as u32;
        (reporting, sharers.unwrap_or(0).max(reporting))
    }

    fn lacks_majority(&self, now: Instant) -> bool {
        let (reporting, all) = self.host_counts(now);
        reporting < all && 2 * reporting <= all
    }

    /// Returns the number of slots that may be leased in total.
    fn leasable_slots(&self, now: Instant) -> u32 {
        let (reporting, all) = self.host_counts(now);
        match self.lacks_majority(now) {
            true => (u64::from(self.capacity()) * u64::from(reporting) / u64::from(all)) as u32,
            false => self.capacity(),
        }
    }

    /// Returns the slots of the domain: the median of the hosts' reports, so that a host that cannot
    /// reach the engines does not change it.
    pub fn capacity(&self) -> u32 {
        let mut capacities: Vec<_> = self
            .reporting(self.clock.now())
            .map(|(_, holder)| holder.capacity)
            .collect();
        capacities.sort_unstable();
        capacities.get(capacities.len() / 2).copied().unwrap_or(0)
    }

    fn divide(&self, now: Instant) -> Division {
        let mut wanted = self.missing_slots(now);
        for (_, holder) in self.reporting(now) {
            for (class, demand) in &holder.demand {
                *wanted.entry(class.clone()).or_default() += demand.wanted;
            }
        }
        let capacity = self.leasable_slots(now);
        let mut weighted = self.shares.clone();
        for (partner, share) in &mut weighted.partners {
            let correction = self.corrections.get(partner).copied().unwrap_or(1.0);
            *share *= correction / self.relative_work_per_slot(partner);
        }
        let exact = weighted.divide(capacity, &wanted);
        let adjusted = exact.iter().map(|(class, amount)| {
            let error = self.rounding_errors.get(class).copied().unwrap_or(0.0);
            let maximum = f64::from(wanted[class]);
            (class.clone(), (amount + error).clamp(0.0, maximum))
        });
        let rounded = share::round_to_total(&adjusted.collect(), capacity);
        Division {
            wanted,
            exact,
            rounded,
        }
    }

    /// Corrects weights once a second, so that work done rather than slots follows the shares.
    fn correct_weights(&mut self, division: &Division, now: Instant) {
        let elapsed = now.duration_since(self.corrected_at);
        if elapsed < CORRECTION_INTERVAL {
            return;
        }
        self.corrected_at = now;
        let work = std::mem::take(&mut self.work_since_correction);
        let names: Vec<_> = self.shares.partners.keys().cloned().collect();
        let mut in_use: BTreeMap<CompactString, u32> = BTreeMap::new();
        for (_, holder) in self.reporting(now) {
            for (class, demand) in &holder.demand {
                *in_use.entry(class.partner.clone()).or_default() += demand.in_use;
            }
        }
        for name in &names {
            let done = work.get(name).copied().unwrap_or(0) as f64 / elapsed.as_secs_f64();
            let used = f64::from(in_use.get(name).copied().unwrap_or(0));
            let rate = self.work_rates.entry(name.clone()).or_insert(done);
            *rate += RATE_GAIN * (done - *rate);
            let slots = self.slots_in_use.entry(name.clone()).or_insert(used);
            *slots += RATE_GAIN * (used - *slots);
        }
        self.work_rates.retain(|name, _| names.contains(name));
        for (class, exact) in &division.exact {
            let error = self.rounding_errors.entry(class.clone()).or_default();
            let shortfall = exact - f64::from(division.rounded[class]);
            *error = (*error + shortfall).clamp(-1.0, 1.0);
        }
        self.rounding_errors
            .retain(|class, _| division.exact.contains_key(class));
        self.correct_residual(division, names, &self.missing_slots(now));
    }

    /// Corrects the error that work per slot does not explain, such as slots that stay empty between
    /// two requests.
    fn correct_residual(
        &mut self,
        division: &Division,
        names: Vec<CompactString>,
        missing: &BTreeMap<Class, u32>,
    ) {
        let has_unmet_demand = |name: &CompactString| {
            let mut classes = division
                .wanted
                .iter()
                .filter(|(class, _)| class.partner == *name);
            classes.any(|(class, wanted)| *wanted > division.rounded[class])
        };
        for name in &names {
            let count = self.unmet_streaks.entry(name.clone()).or_default();
            *count = if has_unmet_demand(name) {
                *count + 1
            } else {
                0
            };
        }
        let (settled, others): (Vec<_>, Vec<_>) = names
            .into_iter()
            .partition(|name| self.unmet_streaks[name] >= SETTLE_CORRECTIONS);
        for name in others
            .into_iter()
            .filter(|name| self.unmet_streaks[name] == 0)
        {
            let correction = self.corrections.entry(name).or_insert(1.0);
            *correction = correction.powf(1.0 - CORRECTION_GAIN);
        }
        let rates: Vec<_> = settled
            .iter()
            .map(|name| self.rate_with_missing(name, missing))
            .collect();
        let total_rate: f64 = rates.iter().sum();
        let total_share: f64 = settled.iter().map(|name| self.shares.get(name)).sum();
        if total_rate <= 0.0 {
            return;
        }
        for (name, own) in settled.into_iter().zip(rates) {
            let relative = own / total_rate * total_share / self.shares.get(&name);
            let correction = self.corrections.entry(name).or_insert(1.0);
            *correction *= (-CORRECTION_GAIN * (relative - 1.0).clamp(-1.0, 1.0)).exp();
            *correction = correction.clamp(1.0 / CORRECTION_FACTOR_MAX, CORRECTION_FACTOR_MAX);
        }
    }

    /// Returns a partner's rate of work on all hosts. Hosts that do not report are assumed to do as
    /// much work per slot as the others.
    fn rate_with_missing(&self, partner: &CompactString, missing: &BTreeMap<Class, u32>) -> f64 {
        let missing_count: u32 = missing
            .iter()
            .filter(|(class, _)| class.partner == *partner)
            .map(|(_, count)| *count)
            .sum();
        let slots = self.slots_in_use[partner].max(1.0);
        self.work_rates[partner] * (1.0 + f64::from(missing_count) / slots)
    }

    /// Returns a partner's work per slot, relative to the mean of all partners.
    fn relative_work_per_slot(&self, partner: &CompactString) -> f64 {
        let (rate, slots) = (self.work_rates.get(partner), self.slots_in_use.get(partner));
        let (Some(rate), Some(slots)) = (rate, slots) else {
            return 1.0;
        };
        // With less than one slot in use on average the quotient is too noisy.
        if *slots < 1.0 || *rate <= 0.0 {
            return 1.0;
        }
        let mean = self.work_rates.values().sum::<f64>() / self.slots_in_use.values().sum::<f64>();
        (rate / slots / mean).clamp(1.0 / CORRECTION_FACTOR_MAX, CORRECTION_FACTOR_MAX)
    }

    /// Returns the slots that a host should have: its part of what each class gets, and its part of
    /// the slots that no class wants.
    fn target_slots(
        &self,
        host: &CompactString,
        division: &Division,
        now: Instant,
    ) -> BTreeMap<Class, u32> {
        let hosts: Vec<_> = self.reporting(now).collect();
        let Some(own_index) = hosts.iter().position(|(name, _)| *name == host) else {
            return BTreeMap::new();
        };
        let rotation =
            (now.duration_since(self.started).as_secs() / REMAINDER_INTERVAL.as_secs()) as usize;
        let missing = self.missing_slots(now);
        let mut slots = BTreeMap::new();
        for (class, count) in &division.rounded {
            let wanted: Vec<_> = hosts
                .iter()
                .map(|(_, holder)| holder.demand.get(class).map_or(0, |demand| demand.wanted))
                .collect();
            let count = count.saturating_sub(missing.get(class).copied().unwrap_or(0));
            let own_part = share::divide_evenly(count, &wanted, rotation % hosts.len())[own_index];
            slots.insert(class.clone(), own_part);
        }
        let used: u32 = division.rounded.values().sum();
        let idle = self.leasable_slots(now).saturating_sub(used);
        let idle =
            share::divide_evenly(idle, &vec![idle; hosts.len()], rotation % hosts.len())[own_index];
        add_idle_slots(&mut slots, &self.shares, idle);
        slots
    }

    /// Returns the largest number of slots that a host may be leased now.
    fn slot_limit(&self, host: &CompactString, report: &Report, is_new: bool, now: Instant) -> u32 {
        let others = self.holders.iter().filter(|(name, _)| *name != host);
        let outstanding: u32 = others.map(|(_, holder)| holder.outstanding(now)).sum();
        let outstanding = outstanding + self.missing_slots(now).values().sum::<u32>();
        let free = self.leasable_slots(now).saturating_sub(outstanding);
        let has_lease = report.held_ms > 0;
        if now < self.warm_up_until {
            // The host already uses these slots, so leasing them again adds no overcommitment.
            return match has_lease {
                true => free.min(report.held),
                false => report.held,
            };
        }
        if is_new {
            // The host keeps the slots that it may use without a lease until others have freed some.
            return free.max(report.held.min(self.fallback_limit(now)));
        }
        free
    }

    fn fallback_limit(&self, now: Instant) -> u32 {
        self.capacity() / self.host_counts(now).1.max(1)
    }

    fn issue_lease(
        &mut self,
        host: &CompactString,
        seq: u64,
        slots: BTreeMap<Class, u32>,
        now: Instant,
    ) -> Lease {
        let hosts = self.host_counts(now).0;
        let offer = Offer {
            seq,
            slots: slots.values().sum(),
            expires_at: now + LEASE_TTL,
        };
        let slots = slots.into_iter().filter(|(_, count)| *count > 0);
        let rates = self.work_rates.iter();
        let lease = Lease {
            seq,
            ttl_ms: LEASE_TTL.as_millis() as u32,
            hosts,
            places: slots
                .map(|(class, count)| (class.partner, class.rank, count))
                .collect(),
            work_per_s: rates
                .map(|(partner, rate)| (partner.clone(), *rate as u32))
                .collect(),
        };
        if let Some(holder) = self.holders.get_mut(host) {
            holder.last_lease = Some((lease.clone(), offer.expires_at));
            holder.offers.push(offer);
        }
        lease
    }
}

/// Returns the slots that a host uses after its lease expired: those of the lease, scaled down to at
/// most `limit` and filled up to at least half of it.
pub(super) fn fallback_slots(
    slots: BTreeMap<Class, u32>,
    shares: &Shares,
    limit: u32,
) -> BTreeMap<Class, u32> {
    let mut slots = share::scale_down(slots, limit);
    let total: u32 = slots.values().sum();
    add_idle_slots(&mut slots, shares, limit.div_ceil(2).saturating_sub(total));
    slots
}

/// Adds `idle` slots that no class wants, divided by share. They are added to the routine classes,
/// because a partner's urgent work may use its routine slots too.
pub(super) fn add_idle_slots(slots: &mut BTreeMap<Class, u32>, shares: &Shares, idle: u32) {
    let total: f64 = shares.partners.values().sum();
    let parts = shares.partners.iter();
    let parts = parts
        .map(|(partner, share)| (partner.clone(), f64::from(idle) * share / total))
        .collect();
    for (partner, count) in share::round_to_total(&parts, idle) {
        let rank = crate::wire::Rank::Routine;
        *slots.entry(Class { partner, rank }).or_default() += count;
    }
}

/// Returns the last lease with its remaining time, or an empty lease if `seq` is not that of the
/// last report.
fn repeat_lease(holder: &Holder, seq: u64, now: Instant) -> Lease {
    let last = holder
        .last_lease
        .clone()
        .filter(|(lease, _)| lease.seq == seq);
    let Some((mut lease, expires_at)) = last else {
        return Lease::default();
    };
    lease.ttl_ms = expires_at.saturating_duration_since(now).as_millis() as u32;
    lease
}
