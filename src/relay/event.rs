//! What happens to a generation, and what is to be done.

use std::time::Duration;

use compact_str::CompactString;

use crate::dispatch::{Health, Placement};
use crate::http::problem::Problem;
use crate::route::fleet::Engine;
use crate::wire;

/// Why an attempt ended early.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// The connection closed before the last frame.
    Died,
    /// The engine could not be reached; nothing was sent.
    Unreachable,
    /// The engine did not answer when asked.
    Silent,
    /// The engine answered when asked, but made no progress.
    Stalled,
    /// The engine went on, but its frames did not arrive.
    Connection,
    /// A frame belonged to another request.
    Foreign,
    /// A frame had another position than the next one.
    Position,
    /// A frame came from another version.
    Version,
    /// A frame came from another kind of sampler.
    Sampler,
    /// The engine refused the attempt.
    Refused,
}

impl Fault {
    /// Returns the fault as it is written in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Died => "died",
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Stalled => "stalled",
            Self::Connection => "connection",
            Self::Foreign => "foreign",
            Self::Position => "position",
            Self::Version => "version",
            Self::Sampler => "sampler",
            Self::Refused => "refused",
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An engine has a place for the next attempt.
    Placed(Placement),
    /// No engine had a place in time.
    Unplaced,
    /// A frame arrived on the connection of an attempt.
    Frame {
        /// Attempt of the connection.
        attempt: u32,
        /// The frame.
        frame: wire::Frame,
    },
    /// The connection of an attempt closed, or could not be opened.
    Closed {
        /// Attempt of the connection.
        attempt: u32,
        /// Whether any byte can have reached the engine.
        sent: bool,
    },
    /// The engine refused an attempt; it did not run.
    Refused {
        /// Attempt that was refused.
        attempt: u32,
        /// Whether the engine takes no new work.
        leaving: bool,
    },
    /// The attempt is to give way to urgent work and go on later.
    Paused {
        /// Attempt that is to give way.
        attempt: u32,
    },
    /// The answer to a question about a stream, `None` if there was none in time.
    Probed {
        /// Number of the question.
        probe: u32,
        /// The answer.
        answer: Option<wire::Stream>,
    },
    /// The caller took output after it had been slow.
    Drained,
    /// The instant of [`Generation::deadline`] has come.
    Tick,
    /// The caller went away.
    Gone,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask for a place and report [`Event::Placed`] or [`Event::Unplaced`].
    Place {
        /// Version that the engine must have.
        version: Option<CompactString>,
        /// Engines that must not be used.
        excluded: Vec<Engine>,
        /// Longest wait.
        limit: Duration,
    },
    /// Open a connection for the current attempt, in place of any other.
    Start(Placement),
    /// Send the frame's tokens to the caller.
    Emit(wire::Frame),
    /// Forget all output; the generation starts again. Nothing of it was sent to the caller.
    Restart,
    /// Ask an engine for the state of the stream, over a new connection.
    Probe {
        /// Number of the question.
        probe: u32,
        /// Address of the engine.
        address: CompactString,
    },
    /// Cancel an attempt and earlier ones on an engine.
    Cancel {
        /// Address of the engine.
        address: CompactString,
        /// The attempt.
        attempt: u32,
    },
    /// Drop the connection of an attempt; log and count the fault.
    Broken {
        /// Where it ran.
        placement: Placement,
        /// The attempt.
        attempt: u32,
        /// The fault.
        fault: Fault,
        /// What the fault says about the engine.
        health: Option<Health>,
    },
    /// All tokens were emitted.
    Finish,
    /// The generation cannot be completed.
    Fail(Problem),
}
