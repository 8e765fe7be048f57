//! Turns the reports of hosts into leases on the places of one failure domain.
//!
//! Bound on overcommitment: hosts may use at most `capacity * (1 + k / n)` places, where `capacity`
//! is the greatest within the last lease period, `n` the number of hosts that share the domain, and
//! `k` the number of those that were apart at some time within the last two lease periods. A host is
//! apart if it has no lease, or reports to an allocator that at most half of the hosts report to. In
//! a settled state `k` is 0.
//!
//! - An allocator counts for each host the greatest lease that the host may still believe in, and
//!   the work that it runs, and leases only what is left.
//! - A host without a lease uses at most `capacity / n` places. As long as the platform lists a host
//!   that does not report, its places are not leased to others; they are once the list drops it.
//! - An allocator that hears `m` hosts, at most half, leases `capacity * m / n`, as the others may
//!   have another allocator. So both sides of a partition serve, and a loss of less than half of the
//!   hosts leaves nothing idle.
//! - An allocator that starts, or comes to hear more than half, leases nothing beyond what hosts
//!   hold until all leases of its predecessor have expired.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::lease::{Class, LEASE, Lease, Report, Want};
use super::share::{self, Shares};
use crate::clock::Clock;

/// Time between two corrections of weights by measured work.
const CORRECTION_PERIOD: Duration = Duration::from_secs(1);

/// Part of a new measurement in the mean of work rates, per correction. The mean covers about 4 s,
/// a few generations, and so smooths their starts and ends.
const RATE_GAIN: f64 = 0.25;

/// Part of the relative error of a partner's work that each correction removes, beyond what its
/// work per place explains. The effect of a correction shows after about 6 s (a lease, a
/// generation, the mean of rates); a gain well below 1/6 a second keeps the loop from oscillating.
const CORRECTION_GAIN: f64 = 0.04;

/// Corrections in a row at which a partner must want more than it gets before its work is compared
/// with its share. The mean of rates still shows the time before until then.
const SETTLING: u32 = 10;

/// Greatest correction of a weight, up or down. Tokens per place differ by this much between short
/// prompts with long answers and long prompts with short ones.
const CORRECTION_MAX: f64 = 4.0;

/// Time after which the remainder of a division among hosts moves on to other hosts. Each move
/// leaves a place empty for about a second.
const ROTATION: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Offer {
    seq: u64,
    places: u32,
    until: Instant,
}

#[derive(Debug)]
struct Holder {
    incarnation: u64,
    seq: u64,
    heard: Instant,
    capacity: u32,
    sharers: u32,
    wants: BTreeMap<Class, Want>,
    // Places of the lease that the host said it has in force.
    held: u32,
    held_until: Instant,
    // Invariant: leases given after the one in force; the host may have received any of them.
    offers: Vec<Offer>,
    last: Option<(Lease, Instant)>,
}

impl Holder {
    /// Returns the places that the host may use at most.
    fn outstanding(&self, now: Instant) -> u32 {
        let offers = self.offers.iter().filter(|offer| offer.until > now);
        let offered = offers.map(|offer| offer.places).max().unwrap_or(0);
        let held = if self.held_until > now { self.held } else { 0 };
        let is_heard = now.duration_since(self.heard) < LEASE;
        let running = if is_heard { self.running() } else { 0 };
        offered.max(held).max(running)
    }

    fn running(&self) -> u32 {
        self.wants.values().map(|want| want.in_use).sum()
    }
}

/// The allocator of one failure domain.
#[derive(Debug)]
pub struct Allocator<C: Clock> {
    clock: C,
    started: Instant,
    shares: Shares,
    holders: BTreeMap<CompactString, Holder>,
    last_report: Option<Instant>,
    warm_at: Instant,
    // Routers in the platform's list.
    listed: BTreeSet<CompactString>,
    // Invariant: holds only listed hosts that are not heard, with what they use meanwhile.
    silent: BTreeMap<CompactString, BTreeMap<Class, u32>>,
    // Whether at most half of the hosts were heard at the last report.
    is_minor: bool,
    // Work by partner since the last correction, in tokens.
    work: BTreeMap<CompactString, u64>,
    rates: BTreeMap<CompactString, f64>,
    // Mean of places in use by partner, over the same time as `rates`.
    places: BTreeMap<CompactString, f64>,
    corrections: BTreeMap<CompactString, f64>,
    // Corrections in a row at which a partner wanted more than it got.
    short: BTreeMap<CompactString, u32>,
    corrected_at: Instant,
    // What rounding withheld from each class so far, in places.
    carry: BTreeMap<Class, f64>,
}

/// Division of the capacity.
#[derive(Debug, Default)]
struct Division {
    wants: BTreeMap<Class, u32>,
    exact: BTreeMap<Class, f64>,
    whole: BTreeMap<Class, u32>,
}

impl<C: Clock> Allocator<C> {
    /// Creates an allocator that knows no host.
    pub fn new(clock: C, shares: Shares) -> Self {
        let now = clock.now();
        Self {
            clock,
            started: now,
            shares,
            holders: BTreeMap::new(),
            last_report: None,
            warm_at: now,
            listed: BTreeSet::new(),
            silent: BTreeMap::new(),
            is_minor: true,
            work: BTreeMap::new(),
            rates: BTreeMap::new(),
            places: BTreeMap::new(),
            corrections: BTreeMap::new(),
            short: BTreeMap::new(),
            corrected_at: now,
            carry: BTreeMap::new(),
        }
    }

    /// Puts new shares into force.
    pub fn set_shares(&mut self, shares: Shares) {
        if self.shares != shares {
            self.shares = shares;
            self.carry.clear();
            self.short.clear();
        }
    }

    /// Takes over the routers of the platform's list.
    pub fn set_listed(&mut self, listed: BTreeSet<CompactString>) {
        self.listed = listed;
    }

    /// Takes a host's report and returns its lease.
    ///
    /// A report that arrives again or late changes nothing.
    pub fn report(&mut self, host: &CompactString, incarnation: u64, report: &Report) -> Lease {
        let now = self.clock.now();
        self.begin(now);
        self.forget(now);
        if let Some(holder) = self.holders.get(host)
            && (incarnation, report.seq) <= (holder.incarnation, holder.seq)
        {
            return repeat(holder, report.seq, now);
        }
        let is_new = !self.holders.contains_key(host);
        self.take(host, incarnation, report, now);
        let was_minor = self.is_minor;
        self.is_minor = self.hears_half(now);
        if was_minor && !self.is_minor {
            self.warm_at = now + LEASE;
        }
        let division = self.divide(now);
        self.correct(&division, now);
        let target = self.target(host, &division, now);
        let limit = self.limit(host, report, is_new, now);
        self.lease(host, report.seq, share::trim(target, limit), now)
    }

    /// Starts a warm-up if no host has reported for a lease period.
    fn begin(&mut self, now: Instant) {
        let is_fresh = self
            .last_report
            .is_none_or(|at| now.duration_since(at) >= LEASE);
        if is_fresh {
            self.holders.clear();
            self.silent.clear();
            self.work.clear();
            self.warm_at = now + LEASE;
            self.corrected_at = now;
        }
        self.last_report = Some(now);
    }

    fn forget(&mut self, now: Instant) {
        let is_heard = |holder: &Holder| now.duration_since(holder.heard) < LEASE;
        let safe = self.safe(now);
        for (name, holder) in &self.holders {
            let lease = holder.last.as_ref().filter(|_| !is_heard(holder));
            if let (Some((lease, _)), false) = (lease, self.silent.contains_key(name)) {
                let places = apart(lease.places(), &self.shares, safe);
                self.silent.insert(name.clone(), places);
            }
        }
        self.holders
            .retain(|_, holder| is_heard(holder) || holder.outstanding(now) > 0);
        let heard = |name: &CompactString| self.holders.get(name).is_some_and(is_heard);
        self.silent
            .retain(|name, _| self.listed.contains(name) && !heard(name));
    }

    /// Returns the places that hosts use which do not report although the platform lists them.
    ///
    /// They may be cut off and serve on. A side that hears at most half of the hosts leases its own
    /// part only, and so counts no others.
    fn silent(&self, now: Instant) -> BTreeMap<Class, u32> {
        let mut places = BTreeMap::new();
        if self.hears_half(now) {
            return places;
        }
        for (class, count) in self.silent.values().flatten() {
            *places.entry(class.clone()).or_default() += count;
        }
        places
    }

    fn take(&mut self, host: &CompactString, incarnation: u64, report: &Report, now: Instant) {
        let old = self.holders.remove(host);
        let old = old.filter(|holder| holder.incarnation == incarnation);
        let mut wants = BTreeMap::new();
        for (partner, rank, wanted, in_use, work) in &report.classes {
            let class = Class {
                partner: partner.clone(),
                rank: *rank,
            };
            let before = old
                .as_ref()
                .map(|holder| holder.wants.get(&class).map_or(0, |want| want.work));
            // Totals of a host that this allocator has not heard before are no work of this second.
            let done = work.saturating_sub(before.unwrap_or(*work));
            *self.work.entry(partner.clone()).or_default() += done;
            let want = Want {
                wanted: *wanted,
                in_use: *in_use,
                work: *work,
            };
            wants.insert(class, want);
        }
        let mut offers = old.map(|holder| holder.offers).unwrap_or_default();
        offers.retain(|offer| offer.seq > report.lease && offer.until > now);
        let holder = Holder {
            incarnation,
            seq: report.seq,
            heard: now,
            capacity: report.capacity,
            sharers: report.sharers,
            wants,
            held: report.held,
            held_until: now + Duration::from_millis(report.held_ms.into()),
            offers,
            last: None,
        };
        self.holders.insert(host.clone(), holder);
    }

    fn heard(&self, now: Instant) -> impl Iterator<Item = (&CompactString, &Holder)> {
        let is_heard = move |holder: &Holder| now.duration_since(holder.heard) < LEASE;
        self.holders
            .iter()
            .filter(move |(_, holder)| is_heard(holder))
    }

    /// Returns the number of hosts heard, and of those that share the domain.
    fn hosts(&self, now: Instant) -> (u32, u32) {
        let sharers = self.heard(now).map(|(_, holder)| holder.sharers).max();
        let heard = self.heard(now).count() as u32;
        (heard, sharers.unwrap_or(0).max(heard))
    }

    fn hears_half(&self, now: Instant) -> bool {
        let (heard, all) = self.hosts(now);
        heard < all && 2 * heard <= all
    }

    /// Returns the places that may be out on lease.
    fn leasable(&self, now: Instant) -> u32 {
        let (heard, all) = self.hosts(now);
        match self.hears_half(now) {
            true => (u64::from(self.capacity()) * u64::from(heard) / u64::from(all)) as u32,
            false => self.capacity(),
        }
    }

    /// Returns the domain's places: the median of what hosts see, so that a host that cannot reach
    /// the engines does not change it.
    pub fn capacity(&self) -> u32 {
        let mut seen: Vec<_> = self
            .heard(self.clock.now())
            .map(|(_, holder)| holder.capacity)
            .collect();
        seen.sort_unstable();
        seen.get(seen.len() / 2).copied().unwrap_or(0)
    }

    fn divide(&self, now: Instant) -> Division {
        let mut wants = self.silent(now);
        for (_, holder) in self.heard(now) {
            for (class, want) in &holder.wants {
                *wants.entry(class.clone()).or_default() += want.wanted;
            }
        }
        let capacity = self.leasable(now);
        let mut weighted = self.shares.clone();
        for (partner, share) in &mut weighted.partners {
            let correction = self.corrections.get(partner).copied().unwrap_or(1.0);
            *share *= correction / self.work_per_place(partner);
        }
        let exact = weighted.divide(capacity, &wants);
        let with_carry = exact.iter().map(|(class, amount)| {
            let carry = self.carry.get(class).copied().unwrap_or(0.0);
            let wanted = f64::from(wants[class]);
            (class.clone(), (amount + carry).clamp(0.0, wanted))
        });
        let whole = share::round(&with_carry.collect(), capacity);
        Division {
            wants,
            exact,
            whole,
        }
    }

    /// Corrects weights once a second, so that work rather than places follows the shares.
    fn correct(&mut self, division: &Division, now: Instant) {
        let elapsed = now.duration_since(self.corrected_at);
        if elapsed < CORRECTION_PERIOD {
            return;
        }
        self.corrected_at = now;
        let work = std::mem::take(&mut self.work);
        let names: Vec<_> = self.shares.partners.keys().cloned().collect();
        let mut in_use: BTreeMap<CompactString, u32> = BTreeMap::new();
        for (_, holder) in self.heard(now) {
            for (class, want) in &holder.wants {
                *in_use.entry(class.partner.clone()).or_default() += want.in_use;
            }
        }
        for name in &names {
            let done = work.get(name).copied().unwrap_or(0) as f64 / elapsed.as_secs_f64();
            let used = f64::from(in_use.get(name).copied().unwrap_or(0));
            let rate = self.rates.entry(name.clone()).or_insert(done);
            *rate += RATE_GAIN * (done - *rate);
            let places = self.places.entry(name.clone()).or_insert(used);
            *places += RATE_GAIN * (used - *places);
        }
        self.rates.retain(|name, _| names.contains(name));
        for (class, exact) in &division.exact {
            let carry = self.carry.entry(class.clone()).or_default();
            let missed = exact - f64::from(division.whole[class]);
            *carry = (*carry + missed).clamp(-1.0, 1.0);
        }
        self.carry
            .retain(|class, _| division.exact.contains_key(class));
        self.correct_rest(division, names, &self.silent(now));
    }

    /// Corrects what the work per place does not explain, such as places that stay empty between
    /// two requests.
    fn correct_rest(
        &mut self,
        division: &Division,
        names: Vec<CompactString>,
        silent: &BTreeMap<Class, u32>,
    ) {
        let is_short = |name: &CompactString| {
            let mut classes = division
                .wants
                .iter()
                .filter(|(class, _)| class.partner == *name);
            classes.any(|(class, wanted)| *wanted > division.whole[class])
        };
        for name in &names {
            let count = self.short.entry(name.clone()).or_default();
            *count = if is_short(name) { *count + 1 } else { 0 };
        }
        let (settled, others): (Vec<_>, Vec<_>) = names
            .into_iter()
            .partition(|name| self.short[name] >= SETTLING);
        for name in others.into_iter().filter(|name| self.short[name] == 0) {
            let correction = self.corrections.entry(name).or_insert(1.0);
            *correction = correction.powf(1.0 - CORRECTION_GAIN);
        }
        let rates: Vec<_> = settled
            .iter()
            .map(|name| self.rate_with(name, silent))
            .collect();
        let rate: f64 = rates.iter().sum();
        let claimed: f64 = settled.iter().map(|name| self.shares.get(name)).sum();
        if rate <= 0.0 {
            return;
        }
        for (name, own) in settled.into_iter().zip(rates) {
            let relative = own / rate * claimed / self.shares.get(&name);
            let correction = self.corrections.entry(name).or_insert(1.0);
            *correction *= (-CORRECTION_GAIN * (relative - 1.0).clamp(-1.0, 1.0)).exp();
            *correction = correction.clamp(1.0 / CORRECTION_MAX, CORRECTION_MAX);
        }
    }

    /// Returns a partner's rate of work with that of hosts that do not report, which are taken to
    /// do as much on each place as the others.
    fn rate_with(&self, partner: &CompactString, silent: &BTreeMap<Class, u32>) -> f64 {
        let unheard: u32 = silent
            .iter()
            .filter(|(class, _)| class.partner == *partner)
            .map(|(_, count)| *count)
            .sum();
        let places = self.places[partner].max(1.0);
        self.rates[partner] * (1.0 + f64::from(unheard) / places)
    }

    /// Returns a partner's work per place in comparison to that of all partners.
    fn work_per_place(&self, partner: &CompactString) -> f64 {
        let (rate, places) = (self.rates.get(partner), self.places.get(partner));
        let (Some(rate), Some(places)) = (rate, places) else {
            return 1.0;
        };
        // Less than one place in use tells nothing.
        if *places < 1.0 || *rate <= 0.0 {
            return 1.0;
        }
        let all = self.rates.values().sum::<f64>() / self.places.values().sum::<f64>();
        (rate / places / all).clamp(1.0 / CORRECTION_MAX, CORRECTION_MAX)
    }

    /// Returns the places that a host should have: its part of what each class gets, and its part
    /// of the places that nobody wants.
    fn target(
        &self,
        host: &CompactString,
        division: &Division,
        now: Instant,
    ) -> BTreeMap<Class, u32> {
        let hosts: Vec<_> = self.heard(now).collect();
        let Some(own) = hosts.iter().position(|(name, _)| *name == host) else {
            return BTreeMap::new();
        };
        let turn = (now.duration_since(self.started).as_secs() / ROTATION.as_secs()) as usize;
        let silent = self.silent(now);
        let mut places = BTreeMap::new();
        for (class, whole) in &division.whole {
            let wants: Vec<_> = hosts
                .iter()
                .map(|(_, holder)| holder.wants.get(class).map_or(0, |want| want.wanted))
                .collect();
            let whole = whole.saturating_sub(silent.get(class).copied().unwrap_or(0));
            let got = share::level(whole, &wants, turn % hosts.len())[own];
            places.insert(class.clone(), got);
        }
        let used: u32 = division.whole.values().sum();
        let idle = self.leasable(now).saturating_sub(used);
        let idle = share::level(idle, &vec![idle; hosts.len()], turn % hosts.len())[own];
        add_idle(&mut places, &self.shares, idle);
        places
    }

    /// Returns how many places a host may get at most.
    fn limit(&self, host: &CompactString, report: &Report, is_new: bool, now: Instant) -> u32 {
        let others = self.holders.iter().filter(|(name, _)| *name != host);
        let out: u32 = others.map(|(_, holder)| holder.outstanding(now)).sum();
        let out = out + self.silent(now).values().sum::<u32>();
        let free = self.leasable(now).saturating_sub(out);
        let has_lease = report.held_ms > 0;
        if now < self.warm_at {
            // Before, the host used the same without this allocator.
            return match has_lease {
                true => free.min(report.held),
                false => report.held,
            };
        }
        if is_new {
            // Until the others have made room it keeps what it may use without a lease.
            return free.max(report.held.min(self.safe(now)));
        }
        free
    }

    fn safe(&self, now: Instant) -> u32 {
        self.capacity() / self.hosts(now).1.max(1)
    }

    fn lease(
        &mut self,
        host: &CompactString,
        seq: u64,
        places: BTreeMap<Class, u32>,
        now: Instant,
    ) -> Lease {
        let hosts = self.hosts(now).0;
        let offer = Offer {
            seq,
            places: places.values().sum(),
            until: now + LEASE,
        };
        let places = places.into_iter().filter(|(_, count)| *count > 0);
        let rates = self.rates.iter();
        let lease = Lease {
            seq,
            ttl_ms: LEASE.as_millis() as u32,
            hosts,
            places: places
                .map(|(class, count)| (class.partner, class.rank, count))
                .collect(),
            work_per_s: rates
                .map(|(partner, rate)| (partner.clone(), *rate as u32))
                .collect(),
        };
        if let Some(holder) = self.holders.get_mut(host) {
            holder.last = Some((lease.clone(), offer.until));
            holder.offers.push(offer);
        }
        lease
    }
}

/// Returns the places that a host uses after its lease expired: those of the lease, but at most what
/// is `safe`, and at least half of that.
pub(super) fn apart(
    places: BTreeMap<Class, u32>,
    shares: &Shares,
    safe: u32,
) -> BTreeMap<Class, u32> {
    let mut places = share::trim(places, safe);
    let total: u32 = places.values().sum();
    add_idle(&mut places, shares, safe.div_ceil(2).saturating_sub(total));
    places
}

/// Adds places that nobody wants, by share. They wait for routine work, as all urgent work may use
/// them.
pub(super) fn add_idle(places: &mut BTreeMap<Class, u32>, shares: &Shares, idle: u32) {
    let total: f64 = shares.partners.values().sum();
    let parts = shares.partners.iter();
    let parts = parts
        .map(|(partner, share)| (partner.clone(), f64::from(idle) * share / total))
        .collect();
    for (partner, count) in share::round(&parts, idle) {
        let rank = crate::wire::Rank::Routine;
        *places.entry(Class { partner, rank }).or_default() += count;
    }
}

/// Returns the last lease with the time that it has left.
fn repeat(holder: &Holder, seq: u64, now: Instant) -> Lease {
    let last = holder.last.clone().filter(|(lease, _)| lease.seq == seq);
    let Some((mut lease, until)) = last else {
        return Lease::default();
    };
    lease.ttl_ms = until.saturating_duration_since(now).as_millis() as u32;
    lease
}
