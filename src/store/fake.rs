//! In-memory object store with scripted faults, for tests of its clients.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use compio::bytes::Bytes;

use super::objects::{Condition, Entry, Era, Error, Object, Objects, Version};

/// Fault of a write call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The request is lost, so the write does not take effect.
    RequestLost,
    /// The call gets no response, and the write is executed only by
    /// [`Fake::deliver_delayed_write`].
    Delayed,
    /// The store rejects the write.
    Unavailable,
}

/// A write, or a deletion if `body` is `None`.
#[derive(Debug)]
struct Write {
    key: String,
    body: Option<Bytes>,
    condition: Condition,
}

/// Content of the store at one moment.
#[derive(Clone, Debug, Default)]
struct Copy {
    objects: BTreeMap<String, Object>,
    last_version: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: RefCell<BTreeMap<String, Object>>,
    last_version: Cell<u64>,
    era: Cell<Era>,
    faults: RefCell<VecDeque<Option<Fault>>>,
    delayed_writes: RefCell<VecDeque<Write>>,
    // The last replaced or deleted value of each key, which a stale read returns.
    previous: RefCell<BTreeMap<String, Object>>,
    stale_reads: RefCell<VecDeque<bool>>,
    is_down: Cell<bool>,
    is_yielding: Cell<bool>,
    write_calls: Cell<u64>,
    // Empty until one is taken.
    copy: RefCell<Copy>,
}

/// In-memory store; its clones share the objects and faults, and the era that they have seen.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    state: Rc<State>,
    shown_era: Rc<Cell<Era>>,
}

impl Fake {
    /// Appends the outcomes of coming write calls, in order; `None` is a write without a fault.
    pub fn script_faults(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.state.faults.borrow_mut().extend(faults);
    }

    /// Starts or ends an outage.
    pub fn set_down(&self, is_down: bool) {
        self.state.is_down.set(is_down);
    }

    /// Returns the number of write and delete calls, including failed ones.
    pub fn write_calls(&self) -> u64 {
        self.state.write_calls.get()
    }

    fn check_up(&self) -> Result<(), Error> {
        match self.state.is_down.get() {
            true => Err(Error::Unavailable("outage".into())),
            false => Ok(()),
        }
    }

    /// Ends the outage and discards the scripted faults. Delayed writes stay queued.
    pub fn recover(&self) {
        self.set_down(false);
        self.state.faults.borrow_mut().clear();
        self.state.stale_reads.borrow_mut().clear();
    }

    /// Makes each call yield to the executor once before and once after it takes effect, so that a
    /// test can interleave calls.
    pub fn set_yielding(&self, is_yielding: bool) {
        self.state.is_yielding.set(is_yielding);
    }

    /// Appends whether each of the coming reads is stale, in order. A stale read returns the value
    /// that the last write of the key replaced.
    pub fn script_stale_reads(&self, is_stale: impl IntoIterator<Item = bool>) {
        self.state.stale_reads.borrow_mut().extend(is_stale);
    }

    /// Returns a handle of another host, which has seen no era yet.
    pub fn for_other_host(&self) -> Self {
        Self {
            state: self.state.clone(),
            shown_era: Rc::default(),
        }
    }

    /// Takes a copy of the content.
    pub fn take_copy(&self) {
        let copy = Copy {
            objects: self.state.objects.borrow().clone(),
            last_version: self.state.last_version.get(),
        };
        self.state.copy.replace(copy);
    }

    /// Returns to the last copy, or to the empty store without one, begins the next era, and
    /// allocates the versions since then again. Delayed writes stay queued.
    pub fn restore_copy(&self) {
        let copy = self.state.copy.borrow().clone();
        self.state.objects.replace(copy.objects);
        self.state.last_version.set(copy.last_version);
        self.state.previous.borrow_mut().clear();
        let Era(era) = self.state.era.get();
        self.state.era.set(Era(era + 1));
    }

    /// Returns the answer to a call that was executed in `era`.
    fn answer<T>(&self, era: Era, answer: Result<T, Error>) -> Result<T, Error> {
        if era < self.shown_era.get() {
            return Err(Error::Unknown("an answer of an earlier era".into()));
        }
        self.shown_era.set(era);
        answer
    }

    fn version_in_era(&self, version: Version) -> Version {
        let era = self.state.era.get();
        Version { era, ..version }
    }

    /// Executes the oldest delayed write, if there is one.
    pub fn deliver_delayed_write(&self) {
        let write = self.state.delayed_writes.borrow_mut().pop_front();
        if let Some(write) = write {
            self.apply(&write);
        }
    }

    async fn yield_once(&self) {
        let mut is_done = !self.state.is_yielding.get();
        std::future::poll_fn(|context| match std::mem::replace(&mut is_done, true) {
            true => Poll::Ready(()),
            false => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
        })
        .await;
    }

    /// Executes a write; `None` if its condition does not hold.
    fn apply(&self, write: &Write) -> Option<Version> {
        let mut objects = self.state.objects.borrow_mut();
        let era = self.state.era.get();
        let current = objects.get(&write.key).map(|object| object.version.number);
        let condition_holds = match write.condition {
            Condition::Absent(_) => current.is_none(),
            Condition::Matches(expected) => current == Some(expected.number),
            Condition::Any => true,
        };
        let is_in_era = write.condition.era().is_none_or(|expected| expected == era);
        if !condition_holds || !is_in_era {
            return None;
        }
        let number = self.state.last_version.get() + 1;
        let version = Version { era, number };
        self.state.last_version.set(number);
        let replaced = match write.body.clone() {
            Some(body) => objects.insert(write.key.clone(), Object { version, body }),
            None => objects.remove(&write.key),
        };
        if let Some(replaced) = replaced {
            let mut previous = self.state.previous.borrow_mut();
            previous.insert(write.key.clone(), replaced);
        }
        Some(version)
    }

    async fn write(&self, write: Write) -> Result<Version, Error> {
        self.yield_once().await;
        self.state.write_calls.set(self.state.write_calls.get() + 1);
        self.check_up()?;
        let lost = Err(Error::Unknown("no response".into()));
        let fault = self.state.faults.borrow_mut().pop_front().flatten();
        match fault {
            Some(Fault::RequestLost) => return lost,
            Some(Fault::Unavailable) => return Err(Error::Unavailable("rejected".into())),
            Some(Fault::Delayed) => {
                self.state.delayed_writes.borrow_mut().push_back(write);
                return lost;
            }
            Some(Fault::ResponseLost) | None => {}
        }
        let era = self.state.era.get();
        let version = self.apply(&write);
        self.yield_once().await;
        match fault {
            Some(Fault::ResponseLost) => lost,
            _ => self.answer(era, version.ok_or(Error::Conflict)),
        }
    }
}

impl Objects for Fake {
    fn era(&self) -> Era {
        self.shown_era.get()
    }

    async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        self.yield_once().await;
        self.check_up()?;
        let era = self.state.era.get();
        let object = self.state.objects.borrow().get(key).cloned();
        let is_stale = self.state.stale_reads.borrow_mut().pop_front() == Some(true);
        let previous = self.state.previous.borrow().get(key).cloned();
        let visible = match (object, previous) {
            (Some(_), Some(previous)) if is_stale => Some(previous),
            (object, _) => object,
        };
        let visible = visible.map(|object| Object {
            version: self.version_in_era(object.version),
            ..object
        });
        self.yield_once().await;
        self.answer(era, Ok(visible))
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
        self.yield_once().await;
        self.check_up()?;
        let era = self.state.era.get();
        let entries = {
            let objects = self.state.objects.borrow();
            let matching = objects.iter().filter(|(key, _)| key.starts_with(prefix));
            let entries = matching.map(|(key, object)| Entry {
                key: key.clone(),
                version: self.version_in_era(object.version),
                size: object.body.len(),
            });
            entries.collect()
        };
        self.yield_once().await;
        self.answer(era, Ok(entries))
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
