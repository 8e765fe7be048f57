//! A lease in the store, with a fencing number that grows with each holder.
//!
//! The holder counts the time of its lease from before the write that took or renewed it, and stops
//! acting one clock bound before the end. A candidate counts from after the read that showed the
//! present version, and waits for the whole lease and a bound. Both use their own monotonic clock
//! only, so no two hosts act at once unless their clocks drift by more than a bound over a lease.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::bytes::Bytes;
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::objects::{Condition, Error, Objects, Version};
use crate::clock::Clock;
use crate::util::unix_ms;

/// Times of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Time for which a write of the lease holds.
    pub length: Duration,
    /// Greatest difference of two hosts' clocks over a lease, and the longest time for which an
    /// action is on its way.
    pub bound: Duration,
}

/// The object that holds the lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Name of the holder's host.
    pub holder: CompactString,
    /// Identity of the holder's process.
    pub writer: CompactString,
    /// Grows by one with each change of the holder.
    pub fencing: u64,
    /// Number of the write among those of its writer, by which a lost response is resolved.
    pub renewal: u64,
    /// Wall-clock end in milliseconds since the Unix epoch, for operators only.
    pub expires_at_ms: u64,
    /// What the holder tells the next one.
    #[serde(default)]
    pub note: String,
    /// Whether the holder gave the lease up before its end.
    #[serde(default)]
    pub released: bool,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fencing: u64,
    version: Version,
    // Invariant: measured before the write that took effect was sent.
    since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: Version,
    // Invariant: measured after the read that showed the version for the first time.
    at: Instant,
}

/// One host's part in a lease.
#[derive(Debug)]
pub struct Lease<O: Objects, C: Clock> {
    store: O,
    clock: C,
    key: &'static str,
    host: CompactString,
    writer: CompactString,
    terms: Terms,
    held: Cell<Option<Held>>,
    seen: Cell<Option<Seen>>,
    renewals: Cell<u64>,
    note: RefCell<String>,
    stored_note: RefCell<String>,
    inherited: RefCell<String>,
}

impl<O: Objects, C: Clock> Lease<O, C> {
    /// Creates the part of `host`, which does not hold the lease.
    pub fn new(store: O, clock: C, key: &'static str, host: CompactString, terms: Terms) -> Self {
        Self {
            store,
            clock,
            key,
            host,
            writer: compact_str::format_compact!("{}", uuid::Uuid::now_v7()),
            terms,
            held: Cell::new(None),
            seen: Cell::new(None),
            renewals: Cell::new(0),
            note: RefCell::default(),
            stored_note: RefCell::default(),
            inherited: RefCell::default(),
        }
    }

    /// Returns the note of the holder before this one.
    pub fn inherited(&self) -> String {
        self.inherited.borrow().clone()
    }

    /// Writes a note for the next holder.
    ///
    /// # Errors
    /// It is not certain that the store holds the note.
    pub async fn announce(&self, note: String) -> Result<(), Error> {
        if *self.stored_note.borrow() == note {
            return Ok(());
        }
        let held = self.held.get().ok_or(Error::Conflict)?;
        self.note.replace(note.clone());
        self.renew(held).await?;
        // A renewal that was under way can have won with the note before.
        match *self.stored_note.borrow() == note {
            true => Ok(()),
            false => Err(Error::Conflict),
        }
    }

    /// Returns the fencing number if this host may act now.
    pub fn fencing(&self) -> Option<u64> {
        let held = self.held.get()?;
        let end = held.since + self.terms.length - self.terms.bound;
        (self.clock.now() < end).then_some(held.fencing)
    }

    /// Returns whether this host holds the lease as far as it knows, even if it may not act now.
    pub fn is_held(&self) -> bool {
        self.held.get().is_some()
    }

    /// Forgets the lease, because an engine has seen a higher number.
    pub fn lose(&self) {
        self.held.set(None);
    }

    /// Renews the lease, or takes it if no other host can still act on it.
    ///
    /// # Errors
    /// The store gave no clear answer; what is held stays valid until its end.
    pub async fn step(&self) -> Result<(), Error> {
        match self.held.get() {
            Some(held) if self.renewal_is_due(held) => self.renew(held).await,
            Some(_) => Ok(()),
            None => self.look().await,
        }
    }

    /// Gives the lease up, so that another host need not wait for its end.
    pub async fn release(&self) {
        let Some(held) = self.held.take() else {
            return;
        };
        let record = Record {
            released: true,
            ..self.record(held.fencing)
        };
        let condition = Condition::Is(held.version);
        let put = self.store.put(self.key, body(&record), condition).await;
        info!(
            "event=lease_released key={} fencing={} stored={}",
            self.key,
            held.fencing,
            put.is_ok()
        );
    }

    fn renewal_is_due(&self, held: Held) -> bool {
        self.clock.now().duration_since(held.since) >= self.terms.length / 4
    }

    fn record(&self, fencing: u64) -> Record {
        self.renewals.set(self.renewals.get() + 1);
        Record {
            holder: self.host.clone(),
            writer: self.writer.clone(),
            fencing,
            renewal: self.renewals.get(),
            expires_at_ms: unix_ms(self.clock.wall() + self.terms.length),
            note: self.note.borrow().clone(),
            released: false,
        }
    }

    async fn renew(&self, held: Held) -> Result<(), Error> {
        let condition = Condition::Is(held.version);
        self.write(held.fencing, condition).await
    }

    /// Writes the lease; a response that says nothing clear is resolved by reading back.
    async fn write(&self, fencing: u64, condition: Condition) -> Result<(), Error> {
        let since = self.clock.now();
        let record = self.record(fencing);
        let put = self.store.put(self.key, body(&record), condition).await;
        let version = match put {
            Ok(version) => version,
            // A conflict can also mean that an earlier write of ours took effect.
            Err(err @ (Error::Unknown(_) | Error::Conflict)) => {
                return self.read_back(err, condition).await;
            }
            Err(err) => return Err(err),
        };
        self.stored_note.replace(record.note);
        self.hold(fencing, version, since);
        Ok(())
    }

    fn hold(&self, fencing: u64, version: Version, since: Instant) {
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

    async fn read_back(&self, err: Error, condition: Condition) -> Result<(), Error> {
        let Some((version, found)) = self.read().await? else {
            return Err(err);
        };
        let is_stale = matches!(condition, Condition::Is(known) if version <= known);
        if is_stale {
            return Err(err);
        }
        if found.writer == self.writer && !found.released {
            // It is not known when that write took effect, so its time is not counted: the next
            // renewal starts from this version.
            let since = match self.held.get() {
                Some(held) => held.since,
                None => self.clock.now() - self.terms.length,
            };
            self.stored_note.replace(found.note);
            self.hold(found.fencing, version, since);
            return Ok(());
        }
        if self.held.take().is_some() {
            warn!(
                "event=lease_lost key={} to={} fencing={}",
                self.key, found.holder, found.fencing
            );
        }
        self.note(version);
        Ok(())
    }

    fn note(&self, version: Version) -> Seen {
        match self.seen.get() {
            // A stale read must not restart the wait, nor count as the present version.
            Some(seen) if version <= seen.version => seen,
            _ => {
                let at = self.clock.now();
                let seen = Seen { version, at };
                self.seen.set(Some(seen));
                seen
            }
        }
    }

    async fn look(&self) -> Result<(), Error> {
        let Some((version, found)) = self.read().await? else {
            return self.write(1, Condition::Absent).await;
        };
        let seen = self.note(version);
        let waited = self.clock.now().duration_since(seen.at);
        let is_over = waited >= self.terms.length + self.terms.bound;
        if version == seen.version && (is_over || found.released) {
            self.note.replace(found.note.clone());
            self.inherited.replace(found.note);
            return self.write(found.fencing + 1, Condition::Is(version)).await;
        }
        Ok(())
    }

    async fn read(&self) -> Result<Option<(Version, Record)>, Error> {
        let Some(object) = self.store.get(self.key).await? else {
            return Ok(None);
        };
        let record = serde_json::from_slice(&object.body)
            .map_err(|err| Error::Unavailable(format!("{} cannot be read: {err}", self.key)))?;
        Ok(Some((object.version, record)))
    }
}

fn body(record: &Record) -> Bytes {
    serde_json::to_vec(record)
        .expect("a record serializes")
        .into()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::Manual;
    use crate::store::fake::{Fake, Fault};

    const TERMS: Terms = Terms {
        length: Duration::from_secs(5),
        bound: Duration::from_secs(1),
    };

    fn lease(store: &Fake, clock: &Manual, host: &str) -> Lease<Fake, Manual> {
        Lease::new(store.clone(), clock.clone(), "lease", host.into(), TERMS)
    }

    fn block_on<F: Future>(future: F) -> F::Output {
        compio::runtime::Runtime::new().unwrap().block_on(future)
    }

    /// Guards against two hosts that may act at once, and against a number that does not grow.
    #[test]
    fn a_paused_holder_may_not_act() {
        block_on(async {
            let (store, clock) = (Fake::default(), Manual::default());
            let (old, new) = (lease(&store, &clock, "old"), lease(&store, &clock, "new"));
            old.step().await.unwrap();
            assert_eq!(old.fencing(), Some(1));
            new.step().await.unwrap();
            for second in 1..=6 {
                assert_eq!(new.fencing(), None, "after {second} s");
                clock.advance(Duration::from_secs(1));
                assert_eq!(old.fencing().is_some(), second < 4, "after {second} s");
                new.step().await.unwrap();
            }
            assert_eq!(new.fencing(), Some(2));
            old.step().await.unwrap();
            assert!(!old.is_held());
            assert_eq!((old.fencing(), new.fencing()), (None, Some(2)));
        });
    }

    /// Guards against a wait that a renewal does not start again, and against a lost note.
    #[test]
    fn renewals_keep_others_out() {
        block_on(async {
            let (store, clock) = (Fake::default(), Manual::default());
            let (old, new) = (lease(&store, &clock, "old"), lease(&store, &clock, "new"));
            for _ in 0..30 {
                old.step().await.unwrap();
                new.step().await.unwrap();
                assert_eq!((old.fencing(), new.fencing()), (Some(1), None));
                clock.advance(Duration::from_secs(1));
            }
            old.announce("engine-7".into()).await.unwrap();
            old.release().await;
            new.step().await.unwrap();
            assert_eq!((old.fencing(), new.fencing()), (None, Some(2)));
            assert_eq!(new.inherited(), "engine-7");
            old.announce("engine-8".into()).await.unwrap_err();
        });
    }

    /// Guards against a lease that is counted from a write whose time is not known.
    #[test]
    fn lost_answers_do_not_lengthen_a_lease() {
        block_on(async {
            let (store, clock) = (Fake::default(), Manual::default());
            let lease = lease(&store, &clock, "h");
            store.script([Some(Fault::AnswerLost)]);
            lease.step().await.unwrap();
            assert!(lease.is_held());
            assert_eq!(lease.fencing(), None);
            lease.step().await.unwrap();
            assert_eq!(lease.fencing(), Some(1));
            clock.advance(Duration::from_secs(3));
            store.script([Some(Fault::AnswerLost), Some(Fault::RequestLost)]);
            lease.step().await.unwrap();
            clock.advance(Duration::from_secs(1));
            assert_eq!(lease.fencing(), None);
            lease.step().await.unwrap_err();
            assert_eq!(lease.fencing(), None);
            lease.step().await.unwrap();
            assert_eq!(lease.fencing(), Some(1));
        });
    }

    /// Guards against a lease that outlasts an outage of the store.
    #[test]
    fn an_outage_ends_a_lease() {
        block_on(async {
            let (store, clock) = (Fake::default(), Manual::default());
            let lease = lease(&store, &clock, "h");
            lease.step().await.unwrap();
            store.set_down(true);
            clock.advance(Duration::from_secs(4));
            lease.step().await.unwrap_err();
            assert_eq!(lease.fencing(), None);
            store.set_down(false);
            lease.step().await.unwrap();
            assert_eq!(lease.fencing(), Some(1));
        });
    }
}
