//! Signals that tasks wait for, without a runtime.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Wake, Waker};

use bilberrypost::supervisor::Signal;

/// Waker that counts its calls.
#[derive(Default)]
struct Counter(AtomicUsize);

impl Wake for Counter {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

fn poll(future: std::pin::Pin<&mut impl Future<Output = ()>>, task: &Arc<Counter>) -> Poll<()> {
    let waker = Waker::from(task.clone());
    future.poll(&mut Context::from_waker(&waker))
}

/// Guards against a host whose memory grows with each connection and stream that it has served: the
/// signal to stop, or that an engine is lost, kept the wakers of all tasks that ever waited for it, and
/// with them the memory of the tasks.
#[test]
fn a_waiter_that_leaves_is_forgotten() {
    let signal = Signal::default();
    let task = Arc::new(Counter::default());
    for _ in 0..3 {
        let mut wait = pin!(signal.wait());
        assert!(poll(wait.as_mut(), &task).is_pending());
        assert!(poll(wait.as_mut(), &task).is_pending());
        assert_eq!(Arc::strong_count(&task), 2);
    }
    drop(signal.wait());
    assert_eq!(Arc::strong_count(&task), 1);
    signal.set();
    assert_eq!(task.0.load(Ordering::Relaxed), 0);
}

/// Guards against a waiter that is never woken because another one left, or because it moved to
/// another task.
#[test]
fn remaining_waiters_are_woken() {
    let signal = Signal::default();
    let tasks: [Arc<Counter>; 3] = Default::default();
    let mut first = pin!(signal.wait());
    let mut second = Box::pin(signal.wait());
    assert!(poll(first.as_mut(), &tasks[0]).is_pending());
    assert!(poll(second.as_mut(), &tasks[1]).is_pending());
    assert!(poll(first.as_mut(), &tasks[2]).is_pending());
    drop(second);
    signal.clone().set();
    let woken = tasks.each_ref().map(|task| task.0.load(Ordering::Relaxed));
    assert_eq!(woken, [0, 0, 1]);
    assert!(poll(first.as_mut(), &tasks[2]).is_ready());
    assert!(poll(pin!(signal.wait()), &tasks[0]).is_ready());
    assert!(tasks.iter().all(|task| Arc::strong_count(task) == 1));
}
