//! Publishes shared settings as one revision, atomically.
//!
//! The content is written first, in chunks. It takes effect when a conditional write of
//! `config/current` refers to these chunks. Chunks that no revision in the history refers to are
//! deleted by the next publisher that succeeds.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use compio::bytes::Bytes;
use log::{info, warn};

use super::diff;
use super::revision::{
    self, CHUNK_BYTES_MAX, CHUNK_PREFIX, CURRENT_KEY, Current, REVISIONS_KEPT, Record,
};
use super::split::SharedSettings;
use crate::clock::Clock;
use crate::error::Error;
use crate::store::objects::{self, Condition, Objects, Version};
use crate::util::unix_ms;

/// Time for which a publisher retries before it gives up.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Minimum delay between two attempts.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);

/// Publishes to a store. `writer` is a random identity, by which it recognizes its own writes.
#[derive(Debug)]
pub struct Publisher<O: Objects, C: Clock> {
    store: O,
    clock: C,
    author: CompactString,
    writer: CompactString,
    deadline: Instant,
}

/// `config/current` as the publisher read it, with its version; the new revision replaces it.
type Base = Option<(Version, Current)>;

/// Outcome of a write of `config/current` whose answer was lost or was a conflict, as found by
/// reading the object back.
enum WriteOutcome {
    /// The write took effect; later revisions may have replaced it since.
    Applied(Version, Box<Current>),
    /// The read showed nothing newer than the base, or failed; the write may still take effect.
    NotVisible,
    /// Another publisher replaced the base first, so this write can no longer take effect.
    Replaced(Box<Current>),
}

impl<O: Objects, C: Clock> Publisher<O, C> {
    /// Creates a publisher that gives up after `timeout`.
    pub fn new(store: O, clock: C, author: &str, timeout: Duration) -> Self {
        Self {
            deadline: clock.now() + timeout,
            store,
            clock,
            author: author.into(),
            writer: format_compact!("{}", uuid::Uuid::now_v7()),
        }
    }

    /// Publishes `settings` as the next revision and returns its record.
    ///
    /// `expected` is the revision that the operator edited, if given; publishing fails if another
    /// one is in force.
    ///
    /// # Errors
    /// [`Error::Refused`] if nothing was changed, [`Error::Raced`] if another publisher was first,
    /// and [`Error::Unknown`] if the outcome could not be determined.
    pub async fn publish(
        &self,
        settings: &SharedSettings,
        expected: Option<u64>,
    ) -> Result<Record, Error> {
        let base = self.read_base(expected).await?;
        let content = serde_json::to_string(settings).expect("shared settings serialize to JSON");
        let digest = revision::digest(content.as_bytes());
        let chunks: Vec<_> = content.as_bytes().chunks(CHUNK_BYTES_MAX).collect();
        let keys = (0..chunks.len()).map(|number| format!("{CHUNK_PREFIX}{digest}/{number}"));
        let record = Record {
            digest: digest.clone(),
            bytes: content.len(),
            chunks: keys.collect(),
            ..self.next_record(&base, None)
        };
        // Chunks of the base need not be written again: deleting them takes a newer version of
        // `config/current`, with which the conditional write below fails.
        let has_chunks = base.iter().any(|(_, base)| {
            let mut records = base.records();
            records.any(|old| old.digest == digest && old.chunks == record.chunks)
        });
        if !has_chunks {
            for (key, chunk) in record.chunks.iter().zip(chunks) {
                self.put_chunk(key, Bytes::copy_from_slice(chunk)).await?;
            }
        }
        self.put_current(base, record).await
    }

    /// Publishes the content of an old revision again, under a new number.
    ///
    /// # Errors
    /// As for [`Publisher::publish`].
    pub async fn undo(&self, old: u64, expected: Option<u64>) -> Result<Record, Error> {
        let base = self.read_base(expected).await?;
        let old_record = base.as_ref().and_then(|(_, base)| base.record(old));
        let old_record = old_record.cloned().ok_or_else(|| {
            let message = format!("revision {old} is not in the history; see `publish history`");
            Error::Refused(message)
        })?;
        let new = self.next_record(&base, Some(old));
        let record = Record {
            revision: new.revision,
            author: new.author,
            writer: new.writer,
            at_ms: new.at_ms,
            undo_of: new.undo_of,
            ..old_record
        };
        self.put_current(base, record).await
    }

    fn next_record(&self, base: &Base, undo_of: Option<u64>) -> Record {
        let (era, last) = match base {
            Some((version, base)) => (version.era, base.latest.revision),
            None => (self.store.era(), 0),
        };
        Record {
            revision: era.next_number(last),
            digest: String::new(),
            author: self.author.clone(),
            writer: self.writer.clone(),
            at_ms: unix_ms(self.clock.wall()),
            bytes: 0,
            chunks: Vec::new(),
            undo_of,
        }
    }

    async fn read_base(&self, expected: Option<u64>) -> Result<Base, Error> {
        let base = loop {
            match revision::read_current(&self.store).await {
                Ok(base) => break base,
                Err(revision::Error::Store(err)) => {
                    self.wait_before_retry("nothing was changed", &err).await?
                }
                Err(err) => return Err(Error::Refused(err.to_string())),
            }
        };
        let latest = base.as_ref().map_or(0, |(_, base)| base.latest.revision);
        match (expected, &base) {
            (Some(expected), Some((_, base))) if expected != latest => {
                Err(Error::Raced(self.describe_changes(expected, base).await))
            }
            (Some(expected), None) if expected != 0 => Err(Error::Refused(format!(
                "--base is {expected}, but no revision was published yet; leave out --base"
            ))),
            _ => Ok(base),
        }
    }

    /// Waits before the next attempt.
    ///
    /// # Errors
    /// [`Error::Refused`] if the deadline has passed; the message starts with `state`.
    async fn wait_before_retry(&self, state: &str, err: &objects::Error) -> Result<(), Error> {
        if self.clock.now() >= self.deadline {
            return Err(Error::Refused(format!("{state}: {err}")));
        }
        // Jitter keeps racing publishers from retrying at the same time.
        let jitter = rand::random_range(0..RETRY_DELAY_MIN.as_millis() as u64 * 2);
        compio::time::sleep(RETRY_DELAY_MIN + Duration::from_millis(jitter)).await;
        Ok(())
    }

    async fn put_chunk(&self, key: &str, body: Bytes) -> Result<(), Error> {
        loop {
            match self.store.put(key, body.clone(), Condition::Any).await {
                Ok(_) => return Ok(()),
                Err(err) => self.wait_before_retry("nothing was changed", &err).await?,
            }
        }
    }

    async fn put_current(&self, base: Base, record: Record) -> Result<Record, Error> {
        let (version, history) = match &base {
            Some((version, base)) => (Some(*version), base.records().cloned().collect()),
            None => (None, Vec::new()),
        };
        let mut current = Current {
            latest: record.clone(),
            history,
        };
        current.history.truncate(REVISIONS_KEPT - 1);
        let body = serde_json::to_vec(&current).expect("a record serializes");
        let body = Bytes::from(body);
        let condition = version.map_or(Condition::Absent(self.store.era()), Condition::Matches);
        let mut may_be_written = false;
        loop {
            let put = self.store.put(CURRENT_KEY, body.clone(), condition).await;
            let err = match put {
                Ok(version) => {
                    self.delete_unused_chunks(version, &current).await;
                    return Ok(record);
                }
                Err(err) => err,
            };
            may_be_written |= matches!(err, objects::Error::Unknown(_));
            let has_conflict = err == objects::Error::Conflict;
            if may_be_written || has_conflict {
                match self.read_back(version).await {
                    WriteOutcome::Applied(version, found) => {
                        self.finish_after_read_back(&record, version, &found).await;
                        return Ok(record);
                    }
                    WriteOutcome::Replaced(found) => {
                        let seen = base.as_ref().map_or(0, |(_, base)| base.latest.revision);
                        return Err(Error::Raced(self.describe_changes(seen, &found).await));
                    }
                    WriteOutcome::NotVisible => {}
                }
            }
            if let Err(refused) = self.wait_before_retry("nothing was changed", &err).await {
                return Err(match (may_be_written, has_conflict) {
                    (false, false) => refused,
                    (false, true) => Error::Raced(
                        "another publisher was first, and its changes could not be read from the \
                         store; nothing was changed by this one; see `publish history`"
                            .into(),
                    ),
                    (true, _) => Error::Unknown(format!(
                        "the store did not confirm whether revision {} is in force; look for \
                         writer {} in `publish history` before publishing again",
                        record.revision, self.writer
                    )),
                });
            }
        }
    }

    /// Reads [`CURRENT_KEY`] to find the outcome of a write. A stale read shows nothing newer than
    /// the base.
    async fn read_back(&self, base: Option<Version>) -> WriteOutcome {
        match revision::read_current(&self.store).await {
            Ok(Some((version, found))) => {
                let is_ours = found.records().any(|record| record.writer == self.writer);
                match (is_ours, Some(version) > base) {
                    (true, _) => WriteOutcome::Applied(version, Box::new(found)),
                    // Our write is conditional on the version of the base, so it can no longer
                    // succeed.
                    (false, true) => WriteOutcome::Replaced(Box::new(found)),
                    (false, false) => WriteOutcome::NotVisible,
                }
            }
            _ => WriteOutcome::NotVisible,
        }
    }

    /// Deletes unused chunks if our revision is still in force; otherwise logs which one replaced
    /// it.
    async fn finish_after_read_back(&self, record: &Record, version: Version, found: &Current) {
        if found.latest.writer == self.writer {
            return self.delete_unused_chunks(version, found).await;
        }
        warn!(
            "event=replaced revision={} by_revision={} author={}",
            record.revision, found.latest.revision, found.latest.author
        );
    }

    /// Describes what other publishers changed since a revision, for the operator.
    async fn describe_changes(&self, since: u64, found: &Current) -> String {
        let mut text = format!(
            "revision {since} is no longer in force; nothing was changed by this publisher"
        );
        let mut newer: Vec<_> = found
            .records()
            .filter(|record| record.revision > since)
            .collect();
        newer.reverse();
        for record in newer {
            text += &format!("\nrevision {} by {}", record.revision, record.author);
            let before = found.number_before(record.revision);
            let changes = changes(&self.store, found, before, record.revision).await;
            match changes {
                Ok(lines) => lines.iter().for_each(|line| text += &format!("\n  {line}")),
                Err(err) => text += &format!("\n  the changes cannot be read: {err}"),
            }
        }
        text + "\nmerge the changes into the files and publish again"
    }

    /// Deletes chunks that no revision in the history refers to.
    ///
    /// An unused chunk that is older than our `config/current` can be deleted: a publisher that
    /// wrote it read an older version of that object, so its conditional write fails. If another
    /// publisher rewrites the chunk in the meantime, the version differs and the conditional delete
    /// fails.
    async fn delete_unused_chunks(&self, written: Version, current: &Current) {
        let used: BTreeSet<_> = current
            .records()
            .flat_map(|record| &record.chunks)
            .collect();
        let entries = match self.store.list(CHUNK_PREFIX).await {
            Ok(entries) => entries,
            Err(err) => return info!("event=garbage_kept error={err:?}"),
        };
        for entry in entries {
            if entry.version < written && !used.contains(&entry.key) {
                let condition = Condition::Matches(entry.version);
                if let Err(err) = self.store.delete(&entry.key, condition).await {
                    info!("event=garbage_kept key={} error={err:?}", entry.key);
                }
            }
        }
    }
}

/// Returns the differences between two revisions as lines of text; revision 0 is empty.
///
/// # Errors
/// [`Error::Refused`] if a revision is not in the history or cannot be read.
pub async fn changes<O: Objects>(
    store: &O,
    current: &Current,
    from: u64,
    to: u64,
) -> Result<Vec<String>, Error> {
    let read = async |number: u64| {
        if number == 0 {
            return Ok(SharedSettings::default());
        }
        let record = current.record(number).ok_or_else(|| {
            Error::Refused(format!(
                "revision {number} is not in the history; see `publish history`"
            ))
        })?;
        let package = revision::read_package(store, record).await;
        let settings = package.and_then(|package| package.settings());
        settings.map_err(|err| Error::Refused(format!("revision {number} cannot be read: {err}")))
    };
    Ok(diff::lines(&read(from).await?, &read(to).await?))
}

#[cfg(test)]
mod tests;
