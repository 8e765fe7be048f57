//! The log of a range: a sequence of segments, each one object in the store. Records are appended
//! to the last segment only.
//!
//! Every write is conditional on the object version that this owner saw last, so a write fails once
//! another owner has written. A segment is marked as sealed by a conditional write before the next
//! segment is created. A new owner that overwrites the last segment therefore makes the old owner's
//! seal fail, and the old owner cannot create the next segment. No clock is involved.
//!
//! When the store comes back from an older copy, claims of the log are gone and cannot be told from
//! keys that were never claimed. The first owner after it therefore stores a time up to which the
//! issue of a lost key can lie; see [`Log::complete_after_ms`].

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use compio::bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::iter;
use serde::{Deserialize, Serialize};

use super::record::{ACCEPTED_KEY_LEAD_MAX, RETENTION, Record};
use crate::clock::Clock;
use crate::store::objects::{Condition, Entry, Era, Error as StoreError, Object, Objects, Version};
use crate::util::unix_ms;

/// Size in bytes at which a segment is sealed.
const SEAL_BYTES: usize = 64 * 1024;

/// Maximum number of concurrent reads during a takeover; the store allows about 2,000 reads a
/// second.
const CONCURRENT_READS_MAX: usize = 16;

/// A router process that writes the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owner {
    /// Name of the host.
    pub name: CompactString,
    /// Number that grows with each start of the host's router.
    pub incarnation: u64,
}

/// First line of a segment, as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Header {
    owner: Owner,
    #[serde(flatten)]
    term: Term,
    sealed: bool,
}

/// What a takeover determines for the segments that the owner writes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Term {
    // Grows by 1 with each takeover of the range.
    epoch: u64,
    // Era of the store in which the segments are written.
    #[serde(default)]
    era: Era,
    // See `Log::complete_after_ms`.
    #[serde(default)]
    complete_after_ms: u64,
}

impl Term {
    /// Returns the term of the first owner, which found no segments in this era.
    fn first(era: Era, now_ms: u64) -> Self {
        // A log of an earlier era may be gone as a whole.
        let before = Self {
            epoch: 0,
            era: Era::FIRST,
            complete_after_ms: 0,
        };
        before.next(era, now_ms)
    }

    /// Returns the term of the next owner, which read the log in this era before `now_ms`.
    fn next(self, era: Era, now_ms: u64) -> Self {
        let complete_after_ms = match era == self.era {
            true => self.complete_after_ms,
            false => now_ms + ACCEPTED_KEY_LEAD_MAX.as_millis() as u64,
        };
        Self {
            epoch: self.epoch + 1,
            era,
            complete_after_ms: complete_after_ms.max(self.complete_after_ms),
        }
    }
}

/// Failure of an operation on the log.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Another owner has taken over the range.
    #[error("another host took over the range; ask that host")]
    Lost,
    /// A conflict, a rate limit or an outdated read; a retry may succeed at once.
    #[error("the log operation did not complete: {0}")]
    Retry(String),
    /// The store cannot be reached, or the log is malformed.
    #[error("the log cannot be read or written: {0}")]
    Unavailable(String),
}

impl From<StoreError> for Error {
    fn from(err: StoreError) -> Self {
        match err {
            StoreError::Conflict | StoreError::Limited => Self::Retry(err.to_string()),
            StoreError::Unavailable(_) | StoreError::Unknown(_) => {
                Self::Unavailable(err.to_string())
            }
        }
    }
}

/// The last segment of a log that this host holds.
#[derive(Debug)]
struct Tail {
    term: Term,
    seq: u64,
    // `None` until the object is created.
    version: Option<Version>,
    // Invariant: the records that are in the object at `version`.
    text: String,
    // Length in bytes of the start of `text` that `append` or `take_over` has returned.
    returned_bytes: usize,
    // Whether the object at `version` is sealed; the next segment is then still to be created.
    is_sealed: bool,
    // Number and version of the sealed segment before one that was just created, until a read has
    // shown that it is unchanged.
    unverified_predecessor: Option<(u64, Version)>,
}

impl Tail {
    fn new(term: Term, seq: u64, version: Version, text: &str) -> Self {
        Self {
            term,
            seq,
            version: Some(version),
            text: text.into(),
            returned_bytes: text.len(),
            is_sealed: false,
            unverified_predecessor: None,
        }
    }
}

/// A sealed segment, which is deleted when its newest key has expired.
#[derive(Debug)]
struct SealedSegment {
    seq: u64,
    version: Version,
    newest_key_ms: u64,
}

/// The log of one range, as seen by one owner.
#[derive(Debug)]
pub struct Log<S: Objects> {
    store: S,
    prefix: String,
    owner: Owner,
    seal_bytes: usize,
    // `None` while this host does not hold the range.
    tail: Option<Tail>,
    // Invariant: in order of `seq`, which is the order of deletion.
    sealed: VecDeque<SealedSegment>,
    // Sealed segments that a failed takeover read, so that the next takeover needs fewer reads when
    // the store limits their rate.
    cached: BTreeMap<Version, Segment>,
}

/// A segment as read from the store; `text` holds its records.
#[derive(Clone, Debug)]
struct Segment {
    seq: u64,
    version: Version,
    header: Header,
    text: String,
}

fn parse_segment(seq: u64, object: &Object) -> Result<Segment, Error> {
    let malformed = || Error::Unavailable(format!("segment {seq} of the log is malformed"));
    let text = std::str::from_utf8(&object.body).map_err(|_| malformed())?;
    let (header, text) = text.split_once('\n').ok_or_else(malformed)?;
    Ok(Segment {
        seq,
        version: object.version,
        header: serde_json::from_str(header).map_err(|_| malformed())?,
        text: text.into(),
    })
}

fn parse_records(text: &str) -> Result<Vec<Record>, Error> {
    Record::parse_lines(text)
        .map_err(|err| Error::Unavailable(format!("the log is malformed: {err}")))
}

/// Returns the time of issue of the newest key in `text`, or 0 if there is none.
fn newest_key_ms(text: &str) -> Result<u64, Error> {
    let records = parse_records(text)?;
    let times = records.iter().map(|record| record.key().issued_ms());
    Ok(times.max().unwrap_or(0))
}

impl<S: Objects> Log<S> {
    /// Creates the log of a range that this host does not hold yet.
    pub fn new(store: S, range: u32, owner: Owner) -> Self {
        Self {
            store,
            prefix: format!("claims/{range}/"),
            owner,
            seal_bytes: SEAL_BYTES,
            tail: None,
            sealed: VecDeque::new(),
            cached: BTreeMap::new(),
        }
    }

    /// Sets the size in bytes at which a segment is sealed.
    #[must_use]
    pub fn seal_bytes(mut self, bytes: usize) -> Self {
        self.seal_bytes = bytes;
        self
    }

    /// Returns whether this host holds the range. Another host may have taken it over since the
    /// last write.
    pub fn is_held(&self) -> bool {
        let era = self.store.era();
        self.tail.as_ref().is_some_and(|tail| tail.term.era == era)
    }

    /// Returns whether the store has come back from an older copy since this host took over the
    /// range.
    pub fn is_outdated(&self) -> bool {
        self.tail.is_some() && !self.is_held()
    }

    /// Returns the time, in milliseconds since the Unix epoch, after which a key must have been
    /// issued for the log to be certain to have its claim. It is 0 if the store never came back from
    /// an older copy, or the range is not held.
    pub fn complete_after_ms(&self) -> u64 {
        let tail = self.tail.as_ref();
        tail.map_or(0, |tail| tail.term.complete_after_ms)
    }

    /// Gives up the range without a write to the store; the next owner can take over at any time.
    pub fn release(&mut self) {
        self.tail = None;
        self.sealed.clear();
    }

    fn object_key(&self, seq: u64) -> String {
        format!("{}{seq:010}", self.prefix)
    }

    fn body(&self, term: Term, is_sealed: bool, text: &str) -> Bytes {
        let header = Header {
            owner: self.owner.clone(),
            term,
            sealed: is_sealed,
        };
        let mut body = serde_json::to_string(&header).expect("a header serializes");
        body.push('\n');
        body.push_str(text);
        body.into()
    }

    /// Returns whether this process wrote the segment in this term.
    fn is_own(&self, segment: &Segment, term: Term) -> bool {
        segment.header.owner == self.owner && segment.header.term == term
    }

    /// Takes over the range and returns its records in order.
    ///
    /// # Errors
    /// See [`Error`]; after an error the range is not held.
    pub async fn take_over(&mut self, clock: &impl Clock) -> Result<Vec<Record>, Error> {
        self.release();
        let mut segments = self.read_all().await?;
        let now_ms = unix_ms(clock.wall());
        let last = segments.pop();
        // Every segment before the last is sealed. An unsealed one was created by an owner after a
        // long pause, and no claim in it was granted.
        segments.retain(|segment| segment.header.sealed);
        for segment in &segments {
            self.push_sealed(segment.seq, segment.version, &segment.text)?;
        }
        let tail = match &last {
            Some(last) if !last.header.sealed => {
                let term = last.header.term.next(last.version.era, now_ms);
                let condition = Condition::Matches(last.version);
                let version = self
                    .write_segment(last.seq, condition, term, &last.text)
                    .await?;
                Tail::new(term, last.seq, version, &last.text)
            }
            Some(last) => {
                let term = last.header.term.next(last.version.era, now_ms);
                self.push_sealed(last.seq, last.version, &last.text)?;
                let condition = Condition::Absent(term.era);
                let version = self
                    .write_segment(last.seq + 1, condition, term, "")
                    .await?;
                Tail {
                    unverified_predecessor: Some((last.seq, last.version)),
                    ..Tail::new(term, last.seq + 1, version, "")
                }
            }
            None => {
                let term = Term::first(self.store.era(), now_ms);
                Tail::new(term, 0, self.create_first(term).await?, "")
            }
        };
        self.tail = Some(tail);
        if let Err(err) = self.verify_predecessor().await {
            self.release();
            return Err(err);
        }
        let mut all = Vec::new();
        for segment in segments.iter().chain(&last) {
            all.extend(parse_records(&segment.text)?);
        }
        Ok(all)
    }

    /// Creates the first segment, and checks that it is the only one: an owner that listed no
    /// segments and was then paused could create it anew after later owners deleted it as expired.
    async fn create_first(&self, term: Term) -> Result<Version, Error> {
        let condition = Condition::Absent(term.era);
        let version = self.write_segment(0, condition, term, "").await?;
        let entries = self.store.list(&self.prefix).await?;
        if entries.len() == 1 && entries[0].version == version {
            return Ok(version);
        }
        let condition = Condition::Matches(version);
        let _ = self.store.delete(&self.object_key(0), condition).await;
        Err(Error::Retry(
            "another owner has already continued the log".into(),
        ))
    }

    /// Reads the segments in order. All but the last have the version that was listed.
    async fn read_all(&mut self) -> Result<Vec<Segment>, Error> {
        let entries = self.store.list(&self.prefix).await?;
        let last = entries.last().map(|entry| entry.version);
        let cached = std::mem::take(&mut self.cached);
        let reads = entries.into_iter().map(|entry| {
            let cached = cached.get(&entry.version);
            self.read_listed(entry, cached.cloned())
        });
        let reads: Vec<_> = iter(reads).buffered(CONCURRENT_READS_MAX).collect().await;
        let mut segments = Vec::new();
        let mut failed = None;
        for (entry, result) in reads {
            let is_last = Some(entry.version) == last;
            let is_expected = |segment: &Segment| match is_last {
                true => segment.version.era == entry.version.era,
                false => segment.version == entry.version,
            };
            match result {
                Ok(Some(segment)) if is_expected(&segment) => segments.push(segment),
                // Deleted since the listing, because all its keys had expired.
                Ok(None) if !is_last => {}
                Ok(_) => {
                    failed = Some(Error::Retry(format!(
                        "{} changed during the takeover",
                        entry.key
                    )))
                }
                Err(err) => failed = Some(err),
            }
        }
        let Some(failed) = failed else {
            return Ok(segments);
        };
        let sealed = segments.into_iter().filter(|segment| segment.header.sealed);
        self.cached = sealed.map(|segment| (segment.version, segment)).collect();
        Err(failed)
    }

    /// Reads a listed segment, unless `cached` already holds it; the result is `None` if it no
    /// longer exists.
    async fn read_listed(
        &self,
        entry: Entry,
        cached: Option<Segment>,
    ) -> (Entry, Result<Option<Segment>, Error>) {
        if cached.is_some() {
            return (entry, Ok(cached));
        }
        let read = async {
            let seq = entry
                .key
                .rsplit('/')
                .next()
                .and_then(|seq| seq.parse().ok());
            let seq = seq.ok_or_else(|| {
                Error::Unavailable(format!("{} is not a segment of the log", entry.key))
            })?;
            let object = self.store.get(&entry.key).await?;
            object.map(|object| parse_segment(seq, &object)).transpose()
        };
        let segment = read.await;
        (entry, segment)
    }

    /// Creates or overwrites a segment during a takeover, if `condition` holds.
    async fn write_segment(
        &self,
        seq: u64,
        condition: Condition,
        term: Term,
        text: &str,
    ) -> Result<Version, Error> {
        let body = self.body(term, false, text);
        match self.store.put(&self.object_key(seq), body, condition).await {
            Ok(version) => Ok(version),
            Err(StoreError::Unknown(cause)) => {
                let segment = self.read_back(seq).await?;
                let written = segment.filter(|segment| {
                    self.is_own(segment, term)
                        && segment.text == text
                        && Some(segment.version.era) == condition.era()
                        && Condition::Matches(segment.version) != condition
                });
                written
                    .map(|segment| segment.version)
                    .ok_or(Error::Retry(cause))
            }
            Err(err) => Err(err.into()),
        }
    }

    async fn read_back(&self, seq: u64) -> Result<Option<Segment>, Error> {
        match self.store.get(&self.object_key(seq)).await? {
            Some(object) => parse_segment(seq, &object).map(Some),
            None => Ok(None),
        }
    }

    /// Appends `lines` to the log, and returns the lines now known to be in it: `lines`, or those
    /// of an earlier call whose response was lost, which are the first part of `lines`.
    ///
    /// After an error the caller must pass the same lines again, optionally followed by new ones.
    ///
    /// # Errors
    /// See [`Error`]. After [`Error::Lost`] the range is not held.
    pub async fn append(&mut self, lines: &str) -> Result<String, Error> {
        let result = self.try_append(lines).await;
        if result == Err(Error::Lost) {
            self.release();
        }
        result
    }

    async fn try_append(&mut self, lines: &str) -> Result<String, Error> {
        let tail = self.tail.as_ref().ok_or(Error::Lost)?;
        if tail.term.era != self.store.era() {
            return Err(Error::Lost);
        }
        if tail.is_sealed || tail.returned_bytes < tail.text.len() {
            return self.confirm().await;
        }
        let text = format!("{}{lines}", tail.text);
        let is_sealed = text.len() >= self.seal_bytes;
        let (seq, expected, term) = (tail.seq, tail.version, tail.term);
        let condition = expected.map_or(Condition::Absent(term.era), Condition::Matches);
        let body = self.body(term, is_sealed, &text);
        let key = self.object_key(seq);
        match self.store.put(&key, body, condition).await {
            Ok(version) => self.update_tail(version, text, is_sealed),
            Err(err @ (StoreError::Unknown(_) | StoreError::Conflict)) => {
                let segment = self.read_back(seq).await?;
                if condition.era() != Some(self.store.era()) {
                    return Err(Error::Lost);
                }
                self.resolve_write(segment, expected, term, &err)?;
            }
            Err(err) => return Err(err.into()),
        }
        self.confirm().await
    }

    /// Determines from the segment read back whether a write with an unknown result took effect.
    fn resolve_write(
        &mut self,
        segment: Option<Segment>,
        expected: Option<Version>,
        term: Term,
        cause: &StoreError,
    ) -> Result<(), Error> {
        let retry = Err(Error::Retry(cause.to_string()));
        let Some(segment) = segment else {
            // The last segment is deleted only after another owner has created the next one.
            return expected.map_or(retry, |_| Err(Error::Lost));
        };
        if expected.is_some_and(|expected| segment.version <= expected) {
            // The write is lost or still in flight, or the read returned an outdated version.
            return retry;
        }
        if !self.is_own(&segment, term) {
            return Err(Error::Lost);
        }
        self.update_tail(segment.version, segment.text, segment.header.sealed);
        Ok(())
    }

    /// Updates the tail after a write that took effect.
    fn update_tail(&mut self, version: Version, text: String, is_sealed: bool) {
        let predecessor = self
            .sealed
            .back()
            .map(|sealed| (sealed.seq, sealed.version));
        let Some(tail) = &mut self.tail else {
            return;
        };
        if tail.version.is_none() {
            tail.unverified_predecessor = predecessor;
        }
        tail.version = Some(version);
        tail.text = text;
        tail.is_sealed = is_sealed;
    }

    /// Returns the lines that are written but not returned yet, once the predecessor is verified.
    /// If the last segment is sealed, the next segment becomes the tail.
    async fn confirm(&mut self) -> Result<String, Error> {
        self.verify_predecessor().await?;
        let tail = self.tail.as_mut().ok_or(Error::Lost)?;
        let lines = tail.text[tail.returned_bytes..].to_owned();
        tail.returned_bytes = tail.text.len();
        if tail.is_sealed {
            let (seq, text) = (tail.seq, std::mem::take(&mut tail.text));
            let version = tail.version.take().ok_or(Error::Lost)?;
            (tail.seq, tail.returned_bytes, tail.is_sealed) = (seq + 1, 0, false);
            self.push_sealed(seq, version, &text)?;
        }
        Ok(lines)
    }

    /// Checks that the segment before a newly created one is unchanged.
    ///
    /// An owner that was paused could create a segment again that later owners have sealed and
    /// deleted as expired. Segments are deleted in order, so in this case the one before it is
    /// deleted too.
    async fn verify_predecessor(&mut self) -> Result<(), Error> {
        let tail = self.tail.as_ref().ok_or(Error::Lost)?;
        let Some((seq, version)) = tail.unverified_predecessor else {
            return Ok(());
        };
        let object = self.store.get(&self.object_key(seq)).await?;
        let current = object.ok_or(Error::Lost)?.version;
        if current < version {
            return Err(Error::Retry(
                "the store returned an outdated version".into(),
            ));
        }
        if current > version {
            return Err(Error::Lost);
        }
        let tail = self.tail.as_mut().ok_or(Error::Lost)?;
        tail.unverified_predecessor = None;
        Ok(())
    }

    fn push_sealed(&mut self, seq: u64, version: Version, text: &str) -> Result<(), Error> {
        let newest_key_ms = newest_key_ms(text)?;
        self.sealed.push_back(SealedSegment {
            seq,
            version,
            newest_key_ms,
        });
        Ok(())
    }

    /// Deletes the oldest sealed segment if all its keys have expired; returns whether it did.
    ///
    /// # Errors
    /// The store did not confirm the deletion; a later call tries again. [`Error::Lost`] if the
    /// range is not held.
    pub async fn delete_expired(&mut self, now_ms: u64) -> Result<bool, Error> {
        let Some(oldest) = self.sealed.front() else {
            return Ok(false);
        };
        if oldest.newest_key_ms + RETENTION.as_millis() as u64 >= now_ms {
            return Ok(false);
        }
        let tail = self.tail.as_ref().ok_or(Error::Lost)?;
        if tail.unverified_predecessor.is_some()
            || (tail.version.is_none() && self.sealed.len() == 1)
        {
            // The last segment is never deleted: former owners are fenced by its version.
            return Ok(false);
        }
        let key = self.object_key(oldest.seq);
        let condition = Condition::Matches(oldest.version);
        if let Err(err) = self.store.delete(&key, condition).await {
            let remaining = match err {
                StoreError::Conflict | StoreError::Unknown(_) => self.store.get(&key).await?,
                _ => return Err(err.into()),
            };
            if remaining.is_some_and(|object| object.version == oldest.version) {
                return Err(err.into());
            }
        }
        self.sealed.pop_front();
        Ok(true)
    }
}
