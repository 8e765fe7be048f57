//! The object API in memory, with scripted faults, for tests of what uses it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
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
    /// The store refuses it.
    Unavailable,
}

#[derive(Debug, Default)]
struct State {
    objects: RefCell<BTreeMap<String, Object>>,
    last_version: Cell<u64>,
    faults: RefCell<VecDeque<Option<Fault>>>,
    is_down: Cell<bool>,
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

    fn write(
        &self,
        key: &str,
        condition: Condition,
        change: impl FnOnce(&mut BTreeMap<String, Object>, Version),
    ) -> Result<Version, Error> {
        self.0.writes.set(self.0.writes.get() + 1);
        self.check_up()?;
        let fault = self.0.faults.borrow_mut().pop_front().flatten();
        match fault {
            Some(Fault::RequestLost) => return Err(Error::Unknown("no answer".into())),
            Some(Fault::Unavailable) => return Err(Error::Unavailable("refused".into())),
            _ => {}
        }
        let mut objects = self.0.objects.borrow_mut();
        let version = objects.get(key).map(|object| object.version);
        let holds = match condition {
            Condition::Absent => version.is_none(),
            Condition::Is(expected) => version == Some(expected),
            Condition::Any => true,
        };
        if holds {
            self.0.last_version.set(self.0.last_version.get() + 1);
            change(&mut objects, Version(self.0.last_version.get()));
        }
        if fault == Some(Fault::AnswerLost) {
            return Err(Error::Unknown("no answer".into()));
        }
        match holds {
            true => Ok(Version(self.0.last_version.get())),
            false => Err(Error::Conflict),
        }
    }
}

impl Objects for Fake {
    async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        self.check_up()?;
        Ok(self.0.objects.borrow().get(key).cloned())
    }

    async fn put(&self, key: &str, body: Bytes, condition: Condition) -> Result<Version, Error> {
        self.write(key, condition, |objects, version| {
            objects.insert(key.into(), Object { version, body });
        })
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), Error> {
        self.write(key, condition, |objects, _| {
            objects.remove(key);
        })?;
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        self.check_up()?;
        let objects = self.0.objects.borrow();
        let matching = objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries = matching.map(|(key, object)| Entry {
            key: key.clone(),
            version: object.version,
            size: object.body.len(),
        });
        Ok(entries.collect())
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
