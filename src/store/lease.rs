//! An exclusive lease, kept as an object in the store, with a fencing number that grows with each
//! holder.
//!
//! The holder measures the lease from just before it sent the write that acquired or renewed it, and
//! stops acting one clock bound before the lease expires. A candidate measures from just after the
//! read that first showed the current version, and waits for the TTL plus one clock bound. Both use
//! only their own monotonic clock, so two hosts act at the same time only if their clocks drift apart
//! by more than the clock bound during a lease.
//!
//! When the store comes back from an older copy, the record of the present holder may be gone. A
//! candidate then waits as long as for a lease that is held, whatever the store shows.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::bytes::Bytes;
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::objects::{Condition, Era, Error, Objects, Version};
use crate::clock::Clock;
use crate::util::unix_ms;

/// Timing of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time from a write of the lease until it expires.
    pub ttl: Duration,
    /// Upper bound on the drift between two hosts' clocks during a lease, and on the time that an
    /// action of the holder takes to arrive. Beyond it, actions of two holders can overlap.
    pub clock_bound: Duration,
}

/// Content of the object that stores the lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name of the holder's host.
    pub holder: CompactString,
    /// Random id of the holder's process, so that a restarted process is not taken for the old one.
    pub writer: CompactString,
    /// Fencing number: grows each time that the lease is acquired, see
    /// [`Era::next_number`](super::objects::Era::next_number).
    pub fencing: u64,
    /// Era of the store in which the record was written.
    #[serde(default)]
    pub era: Era,
    /// Sequence number of this write among those of its writer.
    pub renewal: u64,
    /// Expiry by the holder's wall clock in milliseconds since the Unix epoch, for operators only.
    pub expires_at_ms: u64,
    /// Message to the next holder.
    #[serde(default)]
    pub note: String,
    /// Whether the holder gave up the lease before it expired.
    #[serde(default)]
    pub released: bool,
}

/// The lease as this host holds it.
#[derive(Clone, Copy, Debug)]
struct Held {
    fencing: u64,
    version: Version,
    // Invariant: measured before the write that took effect was sent, or earlier.
    since: Instant,
}

/// The newest version of another host's lease that this host has read.
#[derive(Clone, Copy, Debug)]
struct Observation {
    // The number is 0 if there was no lease.
    version: Version,
    // Invariant: measured after the read that first showed the version.
    since: Instant,
}

/// A host's handle of a lease, as its holder or as a candidate.
#[derive(Debug)]
pub struct Lease<O: Objects, C: Clock> {
    store: O,
    clock: C,
    key: &'static str,
    host: CompactString,
    writer: CompactString,
    timing: Timing,
    held: Cell<Option<Held>>,
    observed: Cell<Option<Observation>>,
    last_renewal: Cell<u64>,
    // The note that the next write stores.
    note: RefCell<String>,
    // The last note that is known to be stored.
    stored_note: RefCell<String>,
    inherited_note: RefCell<String>,
}

impl<O: Objects, C: Clock> Lease<O, C> {
    /// Creates the handle of `host`, which does not hold the lease yet.
    pub fn new(store: O, clock: C, key: &'static str, host: CompactString, timing: Timing) -> Self {
        Self {
            store,
            clock,
            key,
            host,
            writer: compact_str::format_compact!("{}", uuid::Uuid::now_v7()),
            timing,
            held: Cell::new(None),
            observed: Cell::new(None),
            last_renewal: Cell::new(0),
            note: RefCell::default(),
            stored_note: RefCell::default(),
            inherited_note: RefCell::default(),
        }
    }

    /// Returns the note that the previous holder left when this host acquired the lease.
    pub fn inherited_note(&self) -> String {
        self.inherited_note.borrow().clone()
    }

    /// Stores a note for the next holder.
    ///
    /// # Errors
    /// This host does not hold the lease, or it is not certain that the note was stored.
    pub async fn store_note(&self, note: String) -> Result<(), Error> {
        if *self.stored_note.borrow() == note {
            return Ok(());
        }
        let held = self.held.get().ok_or(Error::Conflict)?;
        self.note.replace(note.clone());
        self.renew(held).await?;
        // A concurrent renewal may have been written with the previous note.
        match *self.stored_note.borrow() == note {
            true => Ok(()),
            false => Err(Error::Conflict),
        }
    }

    /// Returns the fencing number if this host may act as the holder now. It may not during the last
    /// clock bound before its lease expires.
    pub fn fencing(&self) -> Option<u64> {
        let held = self.held.get()?;
        let end = held.since + self.timing.ttl - self.timing.clock_bound;
        (self.clock.now() < end).then_some(held.fencing)
    }

    /// Returns whether this host holds the lease as far as it knows, also when [`Lease::fencing`]
    /// does not let it act.
    pub fn is_held(&self) -> bool {
        self.held.get().is_some()
    }

    /// Drops the lease without a write; for a holder that learned of a higher fencing number.
    pub fn mark_lost(&self) {
        self.held.set(None);
    }

    /// Renews the lease if a renewal is due, or acquires it if no other host can still act on it.
    ///
    /// # Errors
    /// The store could not be read or written, or it is not certain whether the write took effect.
    /// A lease that is held stays valid until it expires.
    pub async fn renew_or_acquire(&self) -> Result<(), Error> {
        self.drop_if_outdated();
        match self.held.get() {
            Some(held) if self.renewal_is_due(held) => self.renew(held).await,
            Some(_) => Ok(()),
            None => self.try_acquire().await,
        }
    }

    /// Gives up the lease, so that another host need not wait until it expires.
    pub async fn release(&self) {
        let Some(held) = self.held.take() else {
            return;
        };
        let record = Record {
            released: true,
            ..self.new_record(held.fencing, held.version.era)
        };
        let condition = Condition::Matches(held.version);
        let put = self.store.put(self.key, encode(&record), condition).await;
        info!(
            "event=lease_released key={} fencing={} stored={}",
            self.key,
            held.fencing,
            put.is_ok()
        );
    }

    /// Drops a lease of an earlier era: another host may have acquired it in a part of the history
    /// that is gone, so this host waits like any candidate.
    fn drop_if_outdated(&self) {
        let era = self.store.era();
        let Some(held) = self.held.get().filter(|held| held.version.era < era) else {
            return;
        };
        warn!(
            "event=lease_lost key={} era={} fencing={}",
            self.key, era.0, held.fencing
        );
        self.held.set(None);
    }

    fn renewal_is_due(&self, held: Held) -> bool {
        self.clock.now().duration_since(held.since) >= self.timing.ttl / 4
    }

    fn new_record(&self, fencing: u64, era: Era) -> Record {
        self.last_renewal.set(self.last_renewal.get() + 1);
        Record {
            holder: self.host.clone(),
            writer: self.writer.clone(),
            fencing,
            era,
            renewal: self.last_renewal.get(),
            expires_at_ms: unix_ms(self.clock.wall() + self.timing.ttl),
            note: self.note.borrow().clone(),
            released: false,
        }
    }

    async fn renew(&self, held: Held) -> Result<(), Error> {
        let condition = Condition::Matches(held.version);
        self.write(held.fencing, condition).await
    }

    /// Writes the lease. After an inconclusive response it reads the lease back.
    async fn write(&self, fencing: u64, condition: Condition) -> Result<(), Error> {
        let since = self.clock.now();
        let era = condition.era().unwrap_or(self.store.era());
        let record = self.new_record(fencing, era);
        let put = self.store.put(self.key, encode(&record), condition).await;
        let version = match put {
            Ok(version) => version,
            // A conflict can also come from an earlier write of this process whose response was lost.
            Err(err @ (Error::Unknown(_) | Error::Conflict)) => {
                return self.read_back(err, condition).await;
            }
            Err(err) => return Err(err),
        };
        self.stored_note.replace(record.note);
        self.set_held(fencing, version, since);
        Ok(())
    }

    fn set_held(&self, fencing: u64, version: Version, since: Instant) {
        if self.held.get().is_none_or(|held| held.fencing != fencing) {
            info!(
                "event=lease_taken key={} fencing={fencing} host={}",
                self.key, self.host
            );
        }
        self.held.set(Some(Held {
            fencing,
            version,
            since,
        }));
    }

    /// Reads the lease after a write that failed with `err`, and holds or drops it by what the store
    /// has. Returns `err` if the store shows nothing newer than before the write.
    async fn read_back(&self, err: Error, condition: Condition) -> Result<(), Error> {
        let read = self.read().await?;
        if condition.era() < Some(self.store.era()) {
            self.drop_if_outdated();
            return Ok(());
        }
        let Some((version, found)) = read else {
            return Err(err);
        };
        let is_stale = matches!(condition, Condition::Matches(known) if version <= known);
        if is_stale {
            return Err(err);
        }
        if found.writer == self.writer && !found.released {
            // It is not known when this version was written, so it does not extend the lease: after
            // an acquisition the lease counts as expired until the next renewal succeeds.
            let since = match self.held.get() {
                Some(held) => held.since,
                None => self.clock.now() - self.timing.ttl,
            };
            self.stored_note.replace(found.note);
            self.set_held(found.fencing, version, since);
            return Ok(());
        }
        if self.held.take().is_some() {
            warn!(
                "event=lease_lost key={} to={} fencing={}",
                self.key, found.holder, found.fencing
            );
        }
        self.observe(version);
        Ok(())
    }

    /// Records a version that was read, and returns the newest version seen and when it was first
    /// read.
    fn observe(&self, version: Version) -> Observation {
        match self.observed.get() {
            // A stale read must neither restart the wait nor replace the newest version.
            Some(observed) if version <= observed.version => observed,
            _ => {
                let since = self.clock.now();
                let observed = Observation { version, since };
                self.observed.set(Some(observed));
                observed
            }
        }
    }

    /// Acquires the lease if there is none, if it was released, or if it has expired by this host's
    /// clock.
    async fn try_acquire(&self) -> Result<(), Error> {
        let read = self.read().await?;
        let era = self.store.era();
        let version = read
            .as_ref()
            .map_or(Version { era, number: 0 }, |(version, _)| *version);
        let found = read.map(|(_, found)| found);
        let observed = self.observe(version);
        let waited = self.clock.now().duration_since(observed.since);
        let is_expired = waited >= self.timing.ttl + self.timing.clock_bound;
        let is_current = version == observed.version;
        if !is_current || !(is_expired || is_free(version.era, found.as_ref())) {
            return Ok(());
        }
        let Some(found) = found else {
            let fencing = era.next_number(0);
            return self.write(fencing, Condition::Absent(era)).await;
        };
        self.note.replace(found.note.clone());
        self.inherited_note.replace(found.note);
        let fencing = version.era.next_number(found.fencing);
        self.write(fencing, Condition::Matches(version)).await
    }

    async fn read(&self) -> Result<Option<(Version, Record)>, Error> {
        let Some(object) = self.store.get(self.key).await? else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&object.body).map_err(|err| {
            Error::Unavailable(format!("lease {} cannot be decoded: {err}", self.key))
        })?;
        Ok(Some((object.version, record)))
    }
}

/// Returns whether the store shows in `era` that no host holds the lease. What an earlier era shows is
/// no proof: a later record may be gone.
fn is_free(era: Era, found: Option<&Record>) -> bool {
    match found {
        Some(record) => record.released && record.era == era,
        None => era == Era::FIRST,
    }
}

fn encode(record: &Record) -> Bytes {
    serde_json::to_vec(record)
        .expect("a record serializes")
        .into()
}

#[cfg(test)]
mod tests;
