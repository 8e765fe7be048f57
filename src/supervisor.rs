//! Ownership of tasks: groups that spawn, stop and join them.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use compio::runtime::JoinHandle;
use log::error;
use slotmap::{SlotMap, new_key_type};

/// A one-shot event that tasks wait for. Clones share its state, and it is never cleared.
#[derive(Clone, Debug, Default)]
pub struct Signal(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    is_set: Cell<bool>,
    // Invariant: contains one waker for each `Wait` that was polled and not dropped. A waker keeps
    // the memory of its task, so one that stayed would be a leak.
    wakers: RefCell<SlotMap<WaiterKey, Waker>>,
}

new_key_type! {
    /// Identifies a waiter of a signal.
    struct WaiterKey;
}

impl Signal {
    /// Sets the signal and wakes all waiters; later calls have no effect.
    pub fn set(&self) {
        self.0.is_set.set(true);
        for (_, waker) in self.0.wakers.take() {
            waker.wake();
        }
    }

    /// Returns whether the signal is set.
    pub fn is_set(&self) -> bool {
        self.0.is_set.get()
    }

    /// Waits until the signal is set.
    pub fn wait(&self) -> Wait<'_> {
        Wait {
            signal: self,
            key: None,
        }
    }
}

/// Future of [`Signal::wait`].
#[derive(Debug)]
pub struct Wait<'a> {
    signal: &'a Signal,
    // Key of the waker, once polled.
    key: Option<WaiterKey>,
}

impl Future for Wait<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.signal.is_set() {
            return Poll::Ready(());
        }
        let mut wakers = self.signal.0.wakers.borrow_mut();
        match self.key.and_then(|key| wakers.get_mut(key)) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => self.key = Some(wakers.insert(cx.waker().clone())),
        }
        Poll::Pending
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        // `set` has removed all wakers, and none is added after it.
        let waker = self
            .key
            .and_then(|key| self.signal.0.wakers.borrow_mut().remove(key));
        drop(waker);
    }
}

/// Owns the long-lived tasks of a process.
///
/// Dropping a supervisor cancels its tasks, as dropping a compio `JoinHandle` cancels its task.
#[derive(Debug, Default)]
pub struct Supervisor {
    stop: Signal,
    // Invariant: contains the handles of all spawned tasks that were not joined yet.
    tasks: RefCell<Vec<(&'static str, JoinHandle<()>)>>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the signal that tells the tasks to end.
    pub fn stop_signal(&self) -> Signal {
        self.stop.clone()
    }

    /// Spawns a task; `name` identifies it in the log.
    pub fn spawn<F: Future<Output = ()> + 'static>(&self, name: &'static str, task: F) {
        let handle = compio::runtime::spawn(task);
        self.tasks.borrow_mut().push((name, handle));
    }

    /// Sets the stop signal and joins all tasks.
    pub async fn stop(self) {
        self.stop.set();
        for (name, handle) in self.tasks.take() {
            if handle.await.is_err() {
                error!("event=task_panicked task={name}");
            }
        }
    }
}

/// Owns a changing number of short-lived tasks of one kind, such as one for each stream.
#[derive(Debug, Default)]
pub struct Group(RefCell<Vec<JoinHandle<()>>>);

/// Smallest number of handles at which those of finished tasks are dropped.
const PRUNE_LEN_MIN: usize = 64;

impl Group {
    /// Spawns a task.
    pub fn spawn<F: Future<Output = ()> + 'static>(&self, task: F) {
        let mut handles = self.0.borrow_mut();
        if handles.len() >= PRUNE_LEN_MIN && handles.len().is_power_of_two() {
            handles.retain(|handle| !handle.is_finished());
        }
        // Boxed, as the memory of a spawned future is freed only with its handle.
        handles.push(compio::runtime::spawn(Box::pin(task)));
    }

    /// Cancels all tasks and waits for their cancellation.
    pub async fn cancel(&self) {
        for handle in self.0.take() {
            handle.cancel().await;
        }
    }

    /// Joins all tasks, including those spawned meanwhile.
    pub async fn join(&self) {
        loop {
            let Some(handle) = self.0.borrow_mut().pop() else {
                return;
            };
            let _ = handle.await;
        }
    }
}
