//! The log of a range: a sequence of objects of which only the last accepts records.
//!
//! Every write is conditional on the version that this owner saw last, so that a write takes
//! effect only while no other owner has written. An object is sealed by a write of its own, so
//! that a new owner which overwrites the last object stops the old owner before it can create the
//! next one. No clock is involved.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use compio::bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::iter;
use serde::{Deserialize, Serialize};

use super::record::{RETENTION, Record};
use crate::store::objects::{Condition, Entry, Error as Store, Object, Objects, Version};

/// Size in bytes from which an object is sealed.
const SEAL_BYTES: usize = 64 * 1024;

/// Reads that run at once during a takeover; the store allows about 2,000 a second.
const READS_AT_ONCE: usize = 16;

/// Who writes the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// Name of the host.
    pub name: CompactString,
    /// Grows with each start of the host's router.
    pub incarnation: u64,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Header {
    owner: Owner,
    epoch: u64,
    sealed: bool,
}

/// Why a step on the log failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Another owner has the range.
    #[error("another host took the range over; ask that host")]
    Lost,
    /// The step is not done, and the reason may be over at once.
    #[error("the step is not done yet: {0}; take it again")]
    Again(String),
    /// The store does not answer.
    #[error("the store cannot be reached: {0}; retry later")]
    Down(String),
}

impl From<Store> for Error {
    fn from(err: Store) -> Self {
        match err {
            Store::Conflict | Store::Limited => Self::Again(err.to_string()),
            Store::Unavailable(_) | Store::Unknown(_) => Self::Down(err.to_string()),
        }
    }
}

#[derive(Debug)]
struct Held {
    epoch: u64,
    seq: u64,
    // `None` until the object is created.
    version: Option<Version>,
    // Invariant: the records that are in the object at `version`.
    text: String,
    // Bytes of `text` that `append` or `open` returned.
    reported: usize,
    // Whether the object at `version` is sealed; the next one is then still to be created.
    sealed: bool,
    // The sealed object before one that was just created, until it is seen unchanged.
    unverified: Option<(u64, Version)>,
}

impl Held {
    fn new(epoch: u64, seq: u64, version: Version, text: &str) -> Self {
        Self {
            epoch,
            seq,
            version: Some(version),
            text: text.into(),
            reported: text.len(),
            sealed: false,
            unverified: None,
        }
    }
}

/// A sealed object, which is deleted when its latest key has expired.
#[derive(Debug)]
struct Sealed {
    seq: u64,
    version: Version,
    latest_ms: u64,
}

/// The log of one range as its owner sees it.
#[derive(Debug)]
pub struct Log<S: Objects> {
    store: S,
    prefix: String,
    owner: Owner,
    seal_bytes: usize,
    held: Option<Held>,
    // Invariant: in order of `seq`, which is the order of deletion.
    sealed: VecDeque<Sealed>,
    // Sealed objects that a takeover read before it failed, so that the next one needs fewer reads
    // when the store limits their rate.
    read: BTreeMap<Version, Part>,
}

#[derive(Clone, Debug)]
struct Part {
    seq: u64,
    version: Version,
    header: Header,
    text: String,
}

fn parse(seq: u64, object: &Object) -> Result<Part, Error> {
    let malformed = || Error::Down(format!("object {seq} of the log is malformed"));
    let text = std::str::from_utf8(&object.body).map_err(|_| malformed())?;
    let (header, text) = text.split_once('\n').ok_or_else(malformed)?;
    Ok(Part {
        seq,
        version: object.version,
        header: serde_json::from_str(header).map_err(|_| malformed())?,
        text: text.into(),
    })
}

fn records(text: &str) -> Result<Vec<Record>, Error> {
    Record::read_all(text).map_err(|err| Error::Down(format!("the log is malformed: {err}")))
}

fn latest_ms(text: &str) -> Result<u64, Error> {
    let records = records(text)?;
    let times = records.iter().map(|record| record.key().time_ms());
    Ok(times.max().unwrap_or(0))
}

impl<S: Objects> Log<S> {
    /// Creates the log of a range, without ownership.
    pub fn new(store: S, range: u32, owner: Owner) -> Self {
        Self {
            store,
            prefix: format!("claims/{range}/"),
            owner,
            seal_bytes: SEAL_BYTES,
            held: None,
            sealed: VecDeque::new(),
            read: BTreeMap::new(),
        }
    }

    /// Changes the size in bytes from which an object is sealed.
    #[must_use]
    pub fn seal_bytes(mut self, bytes: usize) -> Self {
        self.seal_bytes = bytes;
        self
    }

    /// Returns whether this host owns the range, as far as it knows.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Gives the range up. The next owner needs no word of it.
    pub fn release(&mut self) {
        self.held = None;
        self.sealed.clear();
    }

    fn key(&self, seq: u64) -> String {
        format!("{}{seq:010}", self.prefix)
    }

    fn body(&self, epoch: u64, sealed: bool, text: &str) -> Bytes {
        let header = Header {
            owner: self.owner.clone(),
            epoch,
            sealed,
        };
        let mut body = serde_json::to_string(&header).expect("a header serializes");
        body.push('\n');
        body.push_str(text);
        body.into()
    }

    fn is_own(&self, part: &Part, epoch: u64) -> bool {
        part.header.owner == self.owner && part.header.epoch == epoch
    }

    /// Takes the range over and returns its records in order.
    ///
    /// # Errors
    /// See [`Error`]; nothing is held after an error.
    pub async fn open(&mut self) -> Result<Vec<Record>, Error> {
        self.release();
        let mut parts = self.read_all().await?;
        let last = parts.pop();
        // An object before the last is sealed; one that is not comes from an owner that created
        // it after a long pause, and no claim in it was granted.
        parts.retain(|part| part.header.sealed);
        for part in &parts {
            self.note_sealed(part.seq, part.version, &part.text)?;
        }
        let held = match &last {
            Some(last) if !last.header.sealed => {
                let epoch = last.header.epoch + 1;
                let expected = Some(last.version);
                let version = self.replace(last.seq, expected, epoch, &last.text).await?;
                Held::new(epoch, last.seq, version, &last.text)
            }
            Some(last) => {
                let epoch = last.header.epoch + 1;
                self.note_sealed(last.seq, last.version, &last.text)?;
                let version = self.replace(last.seq + 1, None, epoch, "").await?;
                Held {
                    unverified: Some((last.seq, last.version)),
                    ..Held::new(epoch, last.seq + 1, version, "")
                }
            }
            None => Held::new(1, 0, self.create_first().await?, ""),
        };
        self.held = Some(held);
        if let Err(err) = self.verify().await {
            self.release();
            return Err(err);
        }
        let mut all = Vec::new();
        for part in parts.iter().chain(&last) {
            all.extend(records(&part.text)?);
        }
        Ok(all)
    }

    /// Creates the first object, and checks that it is the only one: an owner that was paused
    /// since it saw none could create it after later owners deleted it as expired.
    async fn create_first(&self) -> Result<Version, Error> {
        let version = self.replace(0, None, 1, "").await?;
        let entries = self.store.list(&self.prefix).await?;
        if entries.len() == 1 && entries[0].version == version {
            return Ok(version);
        }
        let condition = Condition::Matches(version);
        let _ = self.store.delete(&self.key(0), condition).await;
        Err(Error::Again(
            "another owner went on from the first object".into(),
        ))
    }

    /// Reads the objects in order. All but the last are as they were listed.
    async fn read_all(&mut self) -> Result<Vec<Part>, Error> {
        let entries = self.store.list(&self.prefix).await?;
        let last = entries.last().map(|entry| entry.version);
        let known = std::mem::take(&mut self.read);
        let reads = entries.into_iter().map(|entry| {
            let known = known.get(&entry.version);
            self.read_part(entry, known.cloned())
        });
        let reads: Vec<_> = iter(reads).buffered(READS_AT_ONCE).collect().await;
        let mut parts = Vec::new();
        let mut failed = None;
        for (entry, result) in reads {
            let is_last = Some(entry.version) == last;
            match result {
                Ok(Some(part)) if is_last || part.version == entry.version => parts.push(part),
                // Deleted since it was listed, because all its keys expired.
                Ok(None) if !is_last => {}
                Ok(_) => failed = Some(Error::Again(format!("{} changed meanwhile", entry.key))),
                Err(err) => failed = Some(err),
            }
        }
        let Some(failed) = failed else {
            return Ok(parts);
        };
        let sealed = parts.into_iter().filter(|part| part.header.sealed);
        self.read = sealed.map(|part| (part.version, part)).collect();
        Err(failed)
    }

    async fn read_part(
        &self,
        entry: Entry,
        known: Option<Part>,
    ) -> (Entry, Result<Option<Part>, Error>) {
        if known.is_some() {
            return (entry, Ok(known));
        }
        let read = async {
            let seq = entry
                .key
                .rsplit('/')
                .next()
                .and_then(|seq| seq.parse().ok());
            let seq = seq.ok_or_else(|| Error::Down(format!("{} is foreign", entry.key)))?;
            let object = self.store.get(&entry.key).await?;
            object.map(|object| parse(seq, &object)).transpose()
        };
        let part = read.await;
        (entry, part)
    }

    /// Writes an object during a takeover.
    async fn replace(
        &self,
        seq: u64,
        expected: Option<Version>,
        epoch: u64,
        text: &str,
    ) -> Result<Version, Error> {
        let body = self.body(epoch, false, text);
        match self
            .store
            .put(&self.key(seq), body, condition(expected))
            .await
        {
            Ok(version) => Ok(version),
            Err(Store::Unknown(cause)) => {
                let part = self.read_back(seq).await?;
                let landed = part.filter(|part| {
                    self.is_own(part, epoch) && part.text == text && Some(part.version) != expected
                });
                landed.map(|part| part.version).ok_or(Error::Again(cause))
            }
            Err(err) => Err(err.into()),
        }
    }

    async fn read_back(&self, seq: u64) -> Result<Option<Part>, Error> {
        match self.store.get(&self.key(seq)).await? {
            Some(object) => parse(seq, &object).map(Some),
            None => Ok(None),
        }
    }

    /// Writes `lines` after the records that are in the log, and returns the lines that took
    /// effect: those, or after a lost response the shorter ones of an earlier call.
    ///
    /// The lines of calls that failed must be passed again, followed by any new ones.
    ///
    /// # Errors
    /// See [`Error`]. After [`Error::Lost`] nothing is held.
    pub async fn append(&mut self, lines: &str) -> Result<String, Error> {
        let result = self.try_append(lines).await;
        if result == Err(Error::Lost) {
            self.release();
        }
        result
    }

    async fn try_append(&mut self, lines: &str) -> Result<String, Error> {
        let held = self.held.as_ref().ok_or(Error::Lost)?;
        if held.sealed || held.reported < held.text.len() {
            return self.settle().await;
        }
        let text = format!("{}{lines}", held.text);
        let sealed = text.len() >= self.seal_bytes;
        let (seq, expected, epoch) = (held.seq, held.version, held.epoch);
        let body = self.body(epoch, sealed, &text);
        let key = self.key(seq);
        match self.store.put(&key, body, condition(expected)).await {
            Ok(version) => self.advance(version, text, sealed),
            Err(err @ (Store::Unknown(_) | Store::Conflict)) => {
                let part = self.read_back(seq).await?;
                self.resolve(part, expected, epoch, &err)?;
            }
            Err(err) => return Err(err.into()),
        }
        self.settle().await
    }

    /// Finds out from the object what became of a write without an answer.
    fn resolve(
        &mut self,
        part: Option<Part>,
        expected: Option<Version>,
        epoch: u64,
        cause: &Store,
    ) -> Result<(), Error> {
        let again = Err(Error::Again(cause.to_string()));
        let Some(part) = part else {
            // The last object is deleted only after another owner went on from it.
            return expected.map_or(again, |_| Err(Error::Lost));
        };
        if expected.is_some_and(|expected| part.version <= expected) {
            // The write is lost or still under way, or this read is of an old version.
            return again;
        }
        if !self.is_own(&part, epoch) {
            return Err(Error::Lost);
        }
        self.advance(part.version, part.text, part.header.sealed);
        Ok(())
    }

    /// Notes what the last object holds now.
    fn advance(&mut self, version: Version, text: String, sealed: bool) {
        let before = self
            .sealed
            .back()
            .map(|sealed| (sealed.seq, sealed.version));
        let Some(held) = &mut self.held else {
            return;
        };
        if held.version.is_none() {
            held.unverified = before;
        }
        held.version = Some(version);
        held.text = text;
        held.sealed = sealed;
    }

    /// Confirms what was written, and goes on to the next object after a seal.
    async fn settle(&mut self) -> Result<String, Error> {
        self.verify().await?;
        let held = self.held.as_mut().ok_or(Error::Lost)?;
        let new = held.text[held.reported..].to_owned();
        held.reported = held.text.len();
        if held.sealed {
            let (seq, text) = (held.seq, std::mem::take(&mut held.text));
            let version = held.version.take().ok_or(Error::Lost)?;
            (held.seq, held.reported, held.sealed) = (seq + 1, 0, false);
            self.note_sealed(seq, version, &text)?;
        }
        Ok(new)
    }

    /// Checks that the object before a new one still exists.
    ///
    /// An owner that was paused could create an object again that later owners wrote, sealed and
    /// deleted as expired. Objects are deleted in order, so the sealed object before it is gone
    /// too in this case.
    async fn verify(&mut self) -> Result<(), Error> {
        let held = self.held.as_ref().ok_or(Error::Lost)?;
        let Some((seq, version)) = held.unverified else {
            return Ok(());
        };
        let object = self.store.get(&self.key(seq)).await?;
        let seen = object.ok_or(Error::Lost)?.version;
        if seen < version {
            return Err(Error::Again("a read is of an old version".into()));
        }
        if seen > version {
            return Err(Error::Lost);
        }
        let held = self.held.as_mut().ok_or(Error::Lost)?;
        held.unverified = None;
        Ok(())
    }

    fn note_sealed(&mut self, seq: u64, version: Version, text: &str) -> Result<(), Error> {
        let latest_ms = latest_ms(text)?;
        self.sealed.push_back(Sealed {
            seq,
            version,
            latest_ms,
        });
        Ok(())
    }

    /// Deletes the oldest sealed object if all its keys have expired; returns whether it did.
    ///
    /// # Errors
    /// The store did not confirm; the object is deleted by a later call.
    pub async fn delete_expired(&mut self, now_ms: u64) -> Result<bool, Error> {
        let Some(oldest) = self.sealed.front() else {
            return Ok(false);
        };
        if oldest.latest_ms + RETENTION.as_millis() as u64 >= now_ms {
            return Ok(false);
        }
        let held = self.held.as_ref().ok_or(Error::Lost)?;
        if held.unverified.is_some() || (held.version.is_none() && self.sealed.len() == 1) {
            // The last object is never deleted: it carries the fence.
            return Ok(false);
        }
        let key = self.key(oldest.seq);
        let condition = Condition::Matches(oldest.version);
        if let Err(err) = self.store.delete(&key, condition).await {
            let still_there = match err {
                Store::Conflict | Store::Unknown(_) => self.store.get(&key).await?,
                _ => return Err(err.into()),
            };
            if still_there.is_some_and(|object| object.version == oldest.version) {
                return Err(err.into());
            }
        }
        self.sealed.pop_front();
        Ok(true)
    }
}

fn condition(expected: Option<Version>) -> Condition {
    expected.map_or(Condition::Absent, Condition::Matches)
}
