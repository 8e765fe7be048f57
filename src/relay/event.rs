//! Inputs and outputs of the state machine in [`super::generation`].

use std::time::Duration;

use compact_str::CompactString;

use crate::dispatch::{Health, Placement};
use crate::http::problem::Problem;
use crate::route::fleet::Engine;
use crate::wire;

/// Why an attempt ended before its last token.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// The connection closed before the last frame.
    Died,
    /// The engine could not be reached; nothing was sent.
    Unreachable,
    /// The engine did not answer a probe.
    Silent,
    /// The engine answered probes, but made no progress.
    Stalled,
    /// The engine made progress, but its frames did not arrive.
    Connection,
    /// A frame had the id of another request.
    Foreign,
    /// A frame did not start at the next output position, or exceeded `max_tokens`.
    Position,
    /// A frame came from another model version.
    Version,
    /// The sampler cannot continue the tokens emitted so far.
    Sampler,
    /// The engine refused the attempt.
    Refused,
}

impl Fault {
    /// Returns the value used in logs and metrics.
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

/// Input of [`Generation::handle`](super::generation::Generation::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// An engine has a slot for the next attempt.
    Placed(Placement),
    /// No engine had a slot within the limit.
    PlacementFailed,
    /// A frame arrived on the connection of an attempt.
    Frame {
        /// Attempt of the connection.
        attempt: u32,
        /// The frame as received; its own attempt number may differ.
        frame: wire::Frame,
    },
    /// The connection of an attempt closed, or could not be opened.
    Closed {
        /// Attempt of the connection.
        attempt: u32,
        /// Whether any byte can have reached the engine.
        was_sent: bool,
    },
    /// The engine refused an attempt and did not run it.
    Refused {
        /// The refused attempt.
        attempt: u32,
        /// Whether the engine takes no new work.
        is_leaving: bool,
    },
    /// An attempt is preempted by urgent work; the generation resumes later.
    Paused {
        /// The preempted attempt.
        attempt: u32,
    },
    /// A probe was answered or timed out.
    Probed {
        /// Id of the probe.
        id: u32,
        /// State of the stream on the engine, `None` after a timeout.
        answer: Option<wire::StreamStatus>,
    },
    /// The caller was slow to take a frame. No frame was read meanwhile, so that time does not
    /// count as silence of the engine.
    EmitDelayed,
    /// [`Generation::deadline`](super::generation::Generation::deadline) has passed.
    Tick,
    /// The caller went away.
    CallerGone,
}

/// Output of [`Generation::handle`](super::generation::Generation::handle).
#[derive(Clone, Debug)]
pub enum Action {
    /// Request a slot on an engine and report [`Event::Placed`] or [`Event::PlacementFailed`].
    Place {
        /// Model version that the engine must serve, any if `None`.
        version: Option<CompactString>,
        /// Engines that must not be used.
        excluded: Vec<Engine>,
        /// Longest wait for a slot.
        limit: Duration,
    },
    /// Open a connection for the current attempt and drop any earlier one.
    Start(Placement),
    /// Send the frame's tokens to the caller.
    Emit(wire::Frame),
    /// Discard all emitted output, none of which has reached the caller; the generation starts
    /// again.
    Restart,
    /// Ask an engine for the state of the stream, over a new connection, and report
    /// [`Event::Probed`].
    Probe {
        /// Id of the probe.
        id: u32,
        /// Address of the engine.
        address: CompactString,
    },
    /// Cancel an attempt and all earlier ones on an engine.
    Cancel {
        /// Address of the engine.
        address: CompactString,
        /// The last attempt to cancel.
        attempt: u32,
    },
    /// Drop the connection of a broken attempt; log and count the fault.
    DropAttempt {
        /// Engine that ran the attempt.
        placement: Placement,
        /// The broken attempt.
        attempt: u32,
        /// Why it broke.
        fault: Fault,
        /// New health of the engine, if the fault shows it.
        health: Option<Health>,
    },
    /// End the answer; all tokens were emitted.
    Finish,
    /// Report that the generation cannot be completed.
    Fail(Problem),
}
