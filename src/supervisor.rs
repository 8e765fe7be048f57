//! Ownership of tasks: a supervisor joins all that it spawned.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::task::Waker;

use compio::runtime::JoinHandle;
use log::error;

/// A signal that is given once and seen by all clones.
#[derive(Clone, Debug, Default)]
pub struct Signal(Rc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    is_set: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Gives the signal; later calls have no effect.
    pub fn set(&self) {
        self.0.is_set.set(true);
        for waker in self.0.wakers.take() {
            waker.wake();
        }
    }

    /// Returns whether the signal was given.
    pub fn is_set(&self) -> bool {
        self.0.is_set.get()
    }

    /// Waits until the signal is given.
    pub async fn wait(&self) {
        std::future::poll_fn(|cx| {
            if self.is_set() {
                return std::task::Poll::Ready(());
            }
            let mut wakers = self.0.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            std::task::Poll::Pending
        })
        .await;
    }
}

/// Owns the tasks of one part of the process.
///
/// Dropping a supervisor cancels its tasks, because dropping a compio handle does.
#[derive(Debug, Default)]
pub struct Supervisor {
    stop: Signal,
    // Invariant: holds the handle of each task that was spawned here and not yet joined.
    tasks: RefCell<Vec<(&'static str, JoinHandle<()>)>>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the signal that asks the tasks to end.
    pub fn stop_signal(&self) -> Signal {
        self.stop.clone()
    }

    /// Spawns a task. `name` is used in logs.
    pub fn spawn<F: Future<Output = ()> + 'static>(&self, name: &'static str, task: F) {
        let handle = compio::runtime::spawn(task);
        self.tasks.borrow_mut().push((name, handle));
    }

    /// Asks all tasks to end and joins them.
    pub async fn stop(self) {
        self.stop.set();
        for (name, handle) in self.tasks.take() {
            if handle.await.is_err() {
                error!("event=task_panicked task={name}");
            }
        }
    }
}

/// Owns short-lived tasks of one kind, such as those of streams.
#[derive(Debug, Default)]
pub struct Group(RefCell<Vec<JoinHandle<()>>>);

/// Handles of finished tasks are dropped when this many have gathered.
const PRUNE_AT: usize = 64;

impl Group {
    /// Spawns a task.
    pub fn spawn<F: Future<Output = ()> + 'static>(&self, task: F) {
        let mut handles = self.0.borrow_mut();
        if handles.len() >= PRUNE_AT && handles.len().is_power_of_two() {
            handles.retain(|handle| !handle.is_finished());
        }
        handles.push(compio::runtime::spawn(task));
    }

    /// Cancels all tasks.
    pub async fn cancel(&self) {
        for handle in self.0.take() {
            handle.cancel().await;
        }
    }

    /// Waits for the end of all tasks.
    pub async fn join(&self) {
        loop {
            let Some(handle) = self.0.borrow_mut().pop() else {
                return;
            };
            let _ = handle.await;
        }
    }
}
