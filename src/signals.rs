//! Signals of the operating system: SIGTERM and SIGINT ask a process to stop, SIGHUP tells that its
//! settings file has changed.
//!
//! The handlers are installed before anything else and stay until the process exits. A listener that
//! is added and removed for each signal leaves gaps in which a signal is lost or ends the process.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::{self, Read};
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::UnixStream;
use futures_util::future::join3;
use log::{error, info};
use nix::sys::signal::{SigSet, Signal};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level};

use crate::supervisor;

/// What signals do to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Each signal ends the process at once.
    Exit,
    /// Each signal asks the process to stop.
    Stop,
    /// SIGTERM and SIGINT ask the process to stop; SIGHUP is logged.
    Serve,
}

/// Requests to end a process.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Set at the first request: running work ends and no new work begins.
    pub stop: supervisor::Signal,
    /// Set at a later request: running work may be cut.
    pub abort: supervisor::Signal,
}

/// What a request to stop means after those before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Request {
    /// The process stops once its running work has ended.
    Stop,
    /// The process stops already; the request changes nothing.
    Same,
    /// The process stops at once.
    Abort,
}

/// Requests to stop that a process has received, by the names of the signals.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    received: BTreeSet<&'static str>,
}

impl Requests {
    /// Records a request and returns what it means. Only a signal that is sent again aborts, as some
    /// tools send several kinds at once.
    pub fn record(&mut self, signal: &'static str) -> Request {
        let is_first = self.received.is_empty();
        match self.received.insert(signal) {
            true if is_first => Request::Stop,
            true => Request::Same,
            false => Request::Abort,
        }
    }
}

/// Installed signal handlers. Each signal that arrives adds a byte to its stream.
#[derive(Debug)]
pub struct Handlers {
    terminate: StdUnixStream,
    interrupt: StdUnixStream,
    hang_up: StdUnixStream,
    // While set, a signal takes its default action, which ends the process.
    is_default: Arc<AtomicBool>,
}

impl Handlers {
    /// Installs the handlers for the life of the process. The signals are blocked meanwhile, as one that
    /// arrives while its handler is being installed would be lost. To be called on the only thread.
    ///
    /// # Errors
    /// The process cannot open more files.
    pub fn install() -> io::Result<Self> {
        let blocked: SigSet = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]
            .into_iter()
            .collect();
        blocked.thread_block()?;
        let handlers = Self::install_blocked();
        blocked.thread_unblock()?;
        handlers
    }

    fn install_blocked() -> io::Result<Self> {
        let is_default = Arc::new(AtomicBool::new(false));
        Ok(Self {
            terminate: handle(SIGTERM, &is_default)?,
            interrupt: handle(SIGINT, &is_default)?,
            hang_up: handle(SIGHUP, &is_default)?,
            is_default,
        })
    }

    /// Lets each signal end the process at once, also one that has arrived already.
    pub fn restore_default(self) {
        self.is_default.store(true, Ordering::SeqCst);
        let streams = [
            (SIGTERM, self.terminate),
            (SIGINT, self.interrupt),
            (SIGHUP, self.hang_up),
        ];
        for (signal, mut stream) in streams {
            let has_arrived = matches!(stream.read(&mut [0]), Ok(1..));
            if has_arrived {
                // An error is possible only for signals without a known default action.
                let _ = low_level::emulate_default_handler(signal);
            }
        }
    }

    /// Passes signals on to `shutdown` until it is cancelled.
    pub async fn watch(self, policy: Policy, shutdown: Shutdown) {
        let requests = RefCell::new(Requests::default());
        let request_stop = |name: &'static str, count: usize| {
            info!("event=stop_requested signal={name} count={count}");
            // Signals that arrive together are one request.
            match requests.borrow_mut().record(name) {
                Request::Stop => shutdown.stop.set(),
                Request::Same => {}
                Request::Abort => shutdown.abort.set(),
            }
        };
        let hang_up = |name: &'static str, count: usize| match policy {
            // The settings of a running process do not change, so there is nothing to reload.
            Policy::Serve => info!("event=reload changed=none count={count}"),
            Policy::Stop | Policy::Exit => request_stop(name, count),
        };
        join3(
            forward("SIGTERM", self.terminate, &request_stop),
            forward("SIGINT", self.interrupt, &request_stop),
            forward("SIGHUP", self.hang_up, &hang_up),
        )
        .await;
    }
}

/// Installs the handler of one signal; returns the stream that gets a byte at each signal.
fn handle(signal: i32, is_default: &Arc<AtomicBool>) -> io::Result<StdUnixStream> {
    flag::register_conditional_default(signal, is_default.clone())?;
    let (receiver, sender) = StdUnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    low_level::pipe::register(signal, sender)?;
    Ok(receiver)
}

/// Calls `record` with the number of signals that have arrived, each time that some have.
async fn forward(
    name: &'static str,
    receiver: StdUnixStream,
    record: &impl Fn(&'static str, usize),
) {
    let mut receiver = match UnixStream::from_std(receiver) {
        Ok(receiver) => receiver,
        Err(err) => return error!("event=signal_lost signal={name} error={err:?}"),
    };
    let mut buffer = Vec::with_capacity(64);
    loop {
        buffer.clear();
        let BufResult(result, filled) = receiver.read(buffer).await;
        buffer = filled;
        match result {
            Ok(count) => record(name, count),
            Err(err) => return error!("event=signal_lost signal={name} error={err:?}"),
        }
    }
}
