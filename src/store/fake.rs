//! The object API in memory, with scripted faults, for tests of what uses it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use compio::bytes::Bytes;

use super::objects::{Condition, Entry, Error, Object, Objects, Version};

/// What happens to a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It takes effect, but its answer is lost.
    AnswerLost,
    /// It is lost on the way.
    RequestLost,
    /// Its answer is lost, and it arrives only with [`Fake::land`].
    Late,
    /// The store refuses it.
    Unavailable,
}

/// A write or deletion.
#[derive(Debug)]
struct Write {
    key: String,
    body: Option<Bytes>,
    condition: Condition,
}

#[derive(Debug, Default)]
struct State {
    objects: RefCell<BTreeMap<String, Object>>,
    last_version: Cell<u64>,
    faults: RefCell<VecDeque<Option<Fault>>>,
    late: RefCell<VecDeque<Write>>,
    previous: RefCell<BTreeMap<String, Object>>,
    stale_reads: RefCell<VecDeque<bool>>,
    is_down: Cell<bool>,
    is_stepped: Cell<bool>,
    writes: Cell<u64>,
}

/// A store in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Fake(Rc<State>);

impl Fake {
    /// Sets what happens to the next writes, in order.
    pub fn script(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.0.faults.borrow_mut().extend(faults);
    }

    /// Starts or ends an outage.
    pub fn set_down(&self, is_down: bool) {
        self.0.is_down.set(is_down);
    }

    /// Returns the number of write calls.
    pub fn writes(&self) -> u64 {
        self.0.writes.get()
    }

    fn check_up(&self) -> Result<(), Error> {
        match self.0.is_down.get() {
            true => Err(Error::Unavailable("outage".into())),
            false => Ok(()),
        }
    }

    /// Ends the outage, and forgets all faults to come.
    pub fn recover(&self) {
        self.set_down(false);
        self.0.faults.borrow_mut().clear();
        self.0.stale_reads.borrow_mut().clear();
    }

    /// Makes each call wait once before and once after it takes effect, so that a test can run
    /// other calls in between.
    pub fn set_stepped(&self, is_stepped: bool) {
        self.0.is_stepped.set(is_stepped);
    }

    /// Sets which of the next reads show the version before the last one.
    pub fn script_stale(&self, stale: impl IntoIterator<Item = bool>) {
        self.0.stale_reads.borrow_mut().extend(stale);
    }

    /// Lets the oldest late write arrive.
    pub fn land(&self) {
        let late = self.0.late.borrow_mut().pop_front();
        if let Some(late) = late {
            self.take_effect(&late);
        }
    }

    async fn step(&self) {
        let mut waited = !self.0.is_stepped.get();
        std::future::poll_fn(|context| match std::mem::replace(&mut waited, true) {
            true => Poll::Ready(()),
            false => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
        })
        .await;
    }

    fn take_effect(&self, write: &Write) -> Option<Version> {
        let mut objects = self.0.objects.borrow_mut();
        let current = objects.get(&write.key).map(|object| object.version);
        let holds = match write.condition {
            Condition::Absent => current.is_none(),
            Condition::Is(expected) => current == Some(expected),
            Condition::Any => true,
        };
        if !holds {
            return None;
        }
        let version = Version(self.0.last_version.get() + 1);
        self.0.last_version.set(version.0);
        let replaced = match write.body.clone() {
            Some(body) => objects.insert(write.key.clone(), Object { version, body }),
            None => objects.remove(&write.key),
        };
        if let Some(replaced) = replaced {
            let mut previous = self.0.previous.borrow_mut();
            previous.insert(write.key.clone(), replaced);
        }
        Some(version)
    }

    async fn write(&self, write: Write) -> Result<Version, Error> {
        self.step().await;
        self.0.writes.set(self.0.writes.get() + 1);
        self.check_up()?;
        let lost = Err(Error::Unknown("no answer".into()));
        let fault = self.0.faults.borrow_mut().pop_front().flatten();
        match fault {
            Some(Fault::RequestLost) => return lost,
            Some(Fault::Unavailable) => return Err(Error::Unavailable("refused".into())),
            Some(Fault::Late) => {
                self.0.late.borrow_mut().push_back(write);
                return lost;
            }
            Some(Fault::AnswerLost) | None => {}
        }
        let version = self.take_effect(&write);
        self.step().await;
        match fault {
            Some(Fault::AnswerLost) => lost,
            _ => version.ok_or(Error::Conflict),
        }
    }
}

impl Objects for Fake {
    async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        self.step().await;
        self.check_up()?;
        let object = self.0.objects.borrow().get(key).cloned();
        let is_stale = self.0.stale_reads.borrow_mut().pop_front() == Some(true);
        let previous = self.0.previous.borrow().get(key).cloned();
        self.step().await;
        Ok(match (object, previous) {
            (Some(_), Some(previous)) if is_stale => Some(previous),
            (object, _) => object,
        })
    }

    async fn put(&self, key: &str, body: Bytes, condition: Condition) -> Result<Version, Error> {
        let (key, body) = (key.into(), Some(body));
        self.write(Write {
            key,
            body,
            condition,
        })
        .await
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), Error> {
        let (key, body) = (key.into(), None);
        self.write(Write {
            key,
            body,
            condition,
        })
        .await?;
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        self.step().await;
        self.check_up()?;
        let entries = {
            let objects = self.0.objects.borrow();
            let matching = objects.iter().filter(|(key, _)| key.starts_with(prefix));
            let entries = matching.map(|(key, object)| Entry {
                key: key.clone(),
                version: object.version,
                size: object.body.len(),
            });
            entries.collect()
        };
        self.step().await;
        Ok(entries)
    }

    async fn watch(
        &self,
        key: &str,
        known: Option<Version>,
        _wait: Duration,
    ) -> Result<Option<Object>, Error> {
        let object = self.get(key).await?;
        Ok(object.filter(|object| Some(object.version) != known))
    }
}
