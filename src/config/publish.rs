//! Puts a split into force as one revision, all or nothing.
//!
//! Chunks are written first and belong to nothing until `config/current` names them by a
//! conditional write. Chunks that no kept revision names are deleted by the next publisher that
//! succeeds.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use compio::bytes::Bytes;
use log::{info, warn};

use super::diff;
use super::revision::{self, CHUNK_BYTES, CHUNKS, CURRENT, Current, HISTORY, Record};
use super::split::Split;
use crate::clock::Clock;
use crate::error::Error;
use crate::store::objects::{self, Condition, Objects, Version};
use crate::util::unix_ms;

/// Time for which a publisher tries to reach a verdict.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Shortest time between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// Publishes to a store, under one identity.
#[derive(Debug)]
pub struct Publisher<O: Objects, C: Clock> {
    store: O,
    clock: C,
    author: CompactString,
    writer: CompactString,
    deadline: Instant,
}

/// The revision that a publisher builds on.
type Base = Option<(Version, Current)>;

/// What reading back tells of a write without an answer.
enum Verdict {
    InForce(Version, Box<Current>),
    NotSeen,
    Raced(Box<Current>),
}

impl<O: Objects, C: Clock> Publisher<O, C> {
    /// Creates a publisher that gives up after `limit`.
    pub fn new(store: O, clock: C, author: &str, limit: Duration) -> Self {
        Self {
            deadline: clock.now() + limit,
            store,
            clock,
            author: author.into(),
            writer: format_compact!("{}", uuid::Uuid::now_v7()),
        }
    }

    /// Puts `split` into force and returns its record.
    ///
    /// `expected` is the revision that the files were made for, if the operator names one.
    ///
    /// # Errors
    /// [`Error::Refused`] if nothing changed, [`Error::Raced`] if another publisher was first, and
    /// [`Error::Unknown`] if neither could be found out.
    pub async fn publish(&self, split: &Split, expected: Option<u64>) -> Result<Record, Error> {
        let base = self.base(expected).await?;
        let content = serde_json::to_string(split).expect("a split serializes");
        let digest = revision::digest(content.as_bytes());
        let pieces: Vec<_> = content.as_bytes().chunks(CHUNK_BYTES).collect();
        let keys = (0..pieces.len()).map(|number| format!("{CHUNKS}{digest}/{number}"));
        let record = Record {
            digest: digest.clone(),
            bytes: content.len(),
            chunks: keys.collect(),
            ..self.record(&base, None)
        };
        // Chunks that the base names cannot be deleted without our conditional write failing.
        let is_kept = base.iter().any(|(_, base)| {
            let mut records = base.records();
            records.any(|kept| kept.digest == digest && kept.chunks == record.chunks)
        });
        if !is_kept {
            for (key, piece) in record.chunks.iter().zip(pieces) {
                self.put_chunk(key, Bytes::copy_from_slice(piece)).await?;
            }
        }
        self.put_current(base, record).await
    }

    /// Puts the content of an old revision into force under a new number.
    ///
    /// # Errors
    /// As for [`Publisher::publish`].
    pub async fn undo(&self, old: u64, expected: Option<u64>) -> Result<Record, Error> {
        let base = self.base(expected).await?;
        let found = base.as_ref().and_then(|(_, base)| base.record(old));
        let found = found.cloned().ok_or_else(|| {
            let what = format!("revision {old} is not in the history; see `publish history`");
            Error::Refused(what)
        })?;
        let new = self.record(&base, Some(old));
        let record = Record {
            revision: new.revision,
            author: new.author,
            writer: new.writer,
            at_ms: new.at_ms,
            undo_of: new.undo_of,
            ..found
        };
        self.put_current(base, record).await
    }

    fn record(&self, base: &Base, undo_of: Option<u64>) -> Record {
        Record {
            revision: base.as_ref().map_or(0, |(_, base)| base.latest.revision) + 1,
            digest: String::new(),
            author: self.author.clone(),
            writer: self.writer.clone(),
            at_ms: unix_ms(self.clock.wall()),
            bytes: 0,
            chunks: Vec::new(),
            undo_of,
        }
    }

    async fn base(&self, expected: Option<u64>) -> Result<Base, Error> {
        let base = loop {
            match revision::current(&self.store).await {
                Ok(base) => break base,
                Err(revision::Error::Store(err)) => self.pause("nothing was changed", &err).await?,
                Err(err) => return Err(Error::Refused(err.to_string())),
            }
        };
        let found = base.as_ref().map_or(0, |(_, base)| base.latest.revision);
        match (expected, &base) {
            (Some(expected), Some((_, base))) if expected != found => {
                Err(Error::Raced(self.told(expected, base).await))
            }
            (Some(expected), None) if expected != 0 => Err(Error::Refused(format!(
                "revision {expected} was expected, but nothing was published; leave out --base"
            ))),
            _ => Ok(base),
        }
    }

    /// Waits before the next try.
    async fn pause(&self, state: &str, err: &objects::Error) -> Result<(), Error> {
        if self.clock.now() >= self.deadline {
            return Err(Error::Refused(format!("{state}: {err}")));
        }
        // Publishers that race must not stay in step.
        let jitter = rand::random_range(0..PAUSE.as_millis() as u64 * 2);
        compio::time::sleep(PAUSE + Duration::from_millis(jitter)).await;
        Ok(())
    }

    async fn put_chunk(&self, key: &str, body: Bytes) -> Result<(), Error> {
        loop {
            match self.store.put(key, body.clone(), Condition::Any).await {
                Ok(_) => return Ok(()),
                Err(err) => self.pause("nothing was changed", &err).await?,
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
        current.history.truncate(HISTORY - 1);
        let body = serde_json::to_vec(&current).expect("a record serializes");
        let body = Bytes::from(body);
        let condition = version.map_or(Condition::Absent, Condition::Matches);
        let mut may_have_run = false;
        loop {
            let put = self.store.put(CURRENT, body.clone(), condition).await;
            let err = match put {
                Ok(version) => {
                    self.collect_garbage(version, &current).await;
                    return Ok(record);
                }
                Err(err) => err,
            };
            may_have_run |= matches!(err, objects::Error::Unknown(_));
            let has_changed = err == objects::Error::Conflict;
            if may_have_run || has_changed {
                match self.read_back(version).await {
                    Verdict::InForce(version, found) => {
                        self.confirm(&record, version, &found).await;
                        return Ok(record);
                    }
                    Verdict::Raced(found) => {
                        let seen = base.as_ref().map_or(0, |(_, base)| base.latest.revision);
                        return Err(Error::Raced(self.told(seen, &found).await));
                    }
                    Verdict::NotSeen => {}
                }
            }
            if let Err(refused) = self.pause("nothing was changed", &err).await {
                return Err(match (may_have_run, has_changed) {
                    (false, false) => refused,
                    (false, true) => Error::Raced(
                        "another publisher was first, and the store does not show what it \
                         changed; nothing was changed by this one; see `publish history`"
                            .into(),
                    ),
                    (true, _) => Error::Unknown(format!(
                        "the store did not tell whether revision {} is in force; look for writer \
                         {} in `publish history` before publishing again",
                        record.revision, self.writer
                    )),
                });
            }
        }
    }

    /// Reads [`CURRENT`] for a verdict; a stale read shows nothing newer than the base.
    async fn read_back(&self, base: Option<Version>) -> Verdict {
        match revision::current(&self.store).await {
            Ok(Some((version, found))) => {
                let is_ours = found.records().any(|record| record.writer == self.writer);
                match (is_ours, Some(version) > base) {
                    (true, _) => Verdict::InForce(version, Box::new(found)),
                    // Each write names the version before it, so ours can no longer follow the base.
                    (false, true) => Verdict::Raced(Box::new(found)),
                    (false, false) => Verdict::NotSeen,
                }
            }
            _ => Verdict::NotSeen,
        }
    }

    async fn confirm(&self, record: &Record, version: Version, found: &Current) {
        if found.latest.writer == self.writer {
            return self.collect_garbage(version, found).await;
        }
        warn!(
            "event=replaced revision={} by_revision={} author={}",
            record.revision, found.latest.revision, found.latest.author
        );
    }

    /// Says what others changed since a revision.
    async fn told(&self, since: u64, found: &Current) -> String {
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
            let changes = changes(&self.store, found, record.revision - 1, record.revision).await;
            match changes {
                Ok(lines) => lines.iter().for_each(|line| text += &format!("\n  {line}")),
                Err(err) => text += &format!("\n  changes cannot be read: {err}"),
            }
        }
        text + "\nmerge the changes into the files and publish again"
    }

    /// Deletes chunks that no kept revision names.
    ///
    /// A chunk older than our `config/current` belongs to no publisher that can still succeed: it
    /// read an older version of that object than ours, so its conditional write fails. A chunk that
    /// another publisher writes again meanwhile has a new version, so it is not deleted.
    async fn collect_garbage(&self, written: Version, current: &Current) {
        let kept: BTreeSet<_> = current
            .records()
            .flat_map(|record| &record.chunks)
            .collect();
        let entries = match self.store.list(CHUNKS).await {
            Ok(entries) => entries,
            Err(err) => return info!("event=garbage_kept error={err:?}"),
        };
        for entry in entries {
            if entry.version < written && !kept.contains(&entry.key) {
                let condition = Condition::Matches(entry.version);
                if let Err(err) = self.store.delete(&entry.key, condition).await {
                    info!("event=garbage_kept key={} error={err:?}", entry.key);
                }
            }
        }
    }
}

/// Returns what differs between two revisions of the history; revision 0 is empty.
///
/// # Errors
/// A revision is not in the history, or cannot be read.
pub async fn changes<O: Objects>(
    store: &O,
    current: &Current,
    from: u64,
    to: u64,
) -> Result<Vec<String>, Error> {
    let read = async |number: u64| {
        if number == 0 {
            return Ok(Split::default());
        }
        let record = current.record(number).ok_or_else(|| {
            Error::Refused(format!(
                "revision {number} is not in the history; see `publish history`"
            ))
        })?;
        let package = revision::package(store, record).await;
        let split = package.and_then(|package| package.split());
        split.map_err(|err| Error::Refused(format!("revision {number} cannot be read: {err}")))
    };
    Ok(diff::lines(&read(from).await?, &read(to).await?))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::System;
    use crate::config::ini::File;
    use crate::store::fake::{Fake, Fault};

    fn split(share: u32) -> Split {
        let text = format!("[partner a]\nshare = {share}\n");
        Split::from_files(&[File::parse("s.ini", &text).unwrap()]).unwrap()
    }

    fn publisher(store: &Fake, author: &str) -> Publisher<Fake, System> {
        Publisher::new(store.clone(), System, author, Duration::from_millis(300))
    }

    fn block_on<F: Future>(future: F) -> F::Output {
        compio::runtime::Runtime::new().unwrap().block_on(future)
    }

    async fn in_force(store: &Fake) -> Record {
        revision::current(store).await.unwrap().unwrap().1.latest
    }

    /// Guards against a wrong verdict when requests or answers are lost.
    #[test]
    fn lost_answers_are_resolved() {
        use Fault::{RequestLost, ResponseLost, Unavailable};
        let cases: &[&[Option<Fault>]] = &[
            &[None, None],
            &[Some(ResponseLost), None, Some(ResponseLost)],
            &[None, Some(RequestLost), Some(RequestLost)],
            &[None, Some(Unavailable), Some(ResponseLost)],
            &[
                Some(RequestLost),
                None,
                Some(RequestLost),
                Some(ResponseLost),
            ],
        ];
        for faults in cases {
            block_on(async {
                let store = Fake::default();
                store.script_faults(faults.iter().copied());
                let publisher = publisher(&store, "anna");
                let record = publisher.publish(&split(50), None).await.unwrap();
                assert_eq!(record.revision, 1, "{faults:?}");
                assert_eq!(in_force(&store).await, record, "{faults:?}");
            });
        }
    }

    /// Guards against a publisher that replaces what it has not seen, or reports another's as its.
    #[test]
    fn a_race_has_one_winner() {
        block_on(async {
            let store = Fake::default();
            let (anna, bert) = (publisher(&store, "anna"), publisher(&store, "bert"));
            let base = bert.base(None).await.unwrap();
            anna.publish(&split(50), None).await.unwrap();
            let lost = bert.put_current(base, bert.record(&None, None)).await;
            let text = match lost {
                Err(Error::Raced(text)) => text,
                other => panic!("{other:?}"),
            };
            assert!(text.contains("revision 1 by anna"), "{text}");
            assert!(text.contains("partners.a.share: added 50"), "{text}");
            assert_eq!(in_force(&store).await.author, "anna");
            let late = publisher(&store, "carl").publish(&split(60), Some(0)).await;
            assert!(matches!(late, Err(Error::Raced(_))), "{late:?}");
        });
    }

    /// Guards against a publisher that calls an open outcome a refusal, or a refusal open.
    #[test]
    fn an_outage_ends_in_the_right_verdict() {
        block_on(async {
            let store = Fake::default();
            store.set_down(true);
            let refused = publisher(&store, "anna").publish(&split(50), None).await;
            assert!(matches!(refused, Err(Error::Refused(_))), "{refused:?}");
            store.set_down(false);
            let lost = std::iter::repeat_n(Some(Fault::RequestLost), 1000);
            store.script_faults(std::iter::once(None).chain(lost));
            let open = publisher(&store, "anna").publish(&split(50), None).await;
            assert!(matches!(open, Err(Error::Unknown(_))), "{open:?}");
        });
    }

    /// Guards against an undo that goes back in number, and against chunks that are kept for ever
    /// or deleted while a kept revision needs them.
    #[test]
    fn history_is_bounded_and_whole() {
        block_on(async {
            let store = Fake::default();
            let orphan = format!("{CHUNKS}orphan/0");
            let put = store.put(&orphan, Bytes::from("x"), Condition::Any);
            put.await.unwrap();
            for share in 1..=40 {
                let publisher = publisher(&store, "anna");
                publisher.publish(&split(share), None).await.unwrap();
            }
            let undone = publisher(&store, "anna").undo(20, None).await.unwrap();
            assert_eq!((undone.revision, undone.undo_of), (41, Some(20)));
            let (_, current) = revision::current(&store).await.unwrap().unwrap();
            assert_eq!(current.records().count(), HISTORY);
            for record in current.records() {
                let package = revision::package(&store, record).await.unwrap();
                package.split().unwrap();
            }
            assert_eq!(store.list(CHUNKS).await.unwrap().len(), HISTORY - 1);
            let gone = publisher(&store, "anna").undo(3, None).await;
            assert!(matches!(gone, Err(Error::Refused(_))), "{gone:?}");
            let lines = changes(&store, &current, 40, 41).await.unwrap();
            assert_eq!(lines[1], "partners.a.share: 40 -> 20");
        });
    }

    /// Guards against a content above 1 MB that cannot be written or comes back changed.
    #[test]
    fn large_contents_are_cut_into_chunks() {
        block_on(async {
            let store = Fake::default();
            let mut large = split(50);
            for number in 0..30_000 {
                let service = crate::config::split::Service {
                    timeout: Duration::from_millis(number),
                };
                let name = format_compact!("service-with-a-long-name-{number}");
                large.services.insert(name, service);
            }
            let publisher = publisher(&store, "anna");
            let record = publisher.publish(&large, None).await.unwrap();
            assert!(record.chunks.len() > 1);
            let package = revision::package(&store, &record).await.unwrap();
            assert_eq!(package.split().unwrap(), large);
        });
    }
}
