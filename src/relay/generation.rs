//! The state of one generation, free of sockets.

use compact_str::CompactString;

use crate::wire;

/// Attempts whose engine died before a request is given up.
const DEATHS_MAX: u32 = 3;

/// What to do with a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send these tokens to the caller.
    Emit,
    /// Send these tokens to the caller; they are the last.
    Finish,
    /// Drop the frame; it belongs to an attempt that was given up.
    Stale,
    /// The attempt is of no use any more; resume on another engine.
    Broken(Fault),
}

/// Why an attempt ended early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The connection closed before the last frame.
    Died,
    /// No frame arrived for too long.
    Silent,
    /// A frame belonged to another request.
    Foreign,
    /// A frame had another position than the next one.
    Position,
    /// A frame came from another version.
    Version,
    /// The engine refused the attempt.
    Refused,
}

/// What can go on after a broken attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Start an attempt on another engine.
    Resume,
    /// Too many engines died with this prompt.
    GiveUp,
}

/// One generation.
#[derive(Clone, Debug)]
pub struct Generation {
    request: wire::Request,
    // Invariant: equal to the tokens sent to the caller, in order.
    tokens: Vec<u32>,
    // Set by the first frame; later attempts must have the same version.
    version: Option<CompactString>,
    deaths: u32,
    prefilled: u64,
}

impl Generation {
    /// Starts the state of a request; `request.resume_tokens` are already with the caller.
    pub fn new(request: wire::Request) -> Self {
        Self {
            tokens: request.resume_tokens.clone(),
            version: request.model_version.clone(),
            request,
            deaths: 0,
            prefilled: 0,
        }
    }

    /// Returns the request of the next attempt.
    pub fn begin_attempt(&mut self) -> wire::Request {
        self.request.attempt += 1;
        self.request.resume_tokens = self.tokens.clone();
        self.request.model_version = self.version.clone();
        self.request.clone()
    }

    /// Judges a frame of an attempt.
    pub fn accept(&mut self, attempt: u32, frame: &wire::Frame) -> Verdict {
        if attempt != self.request.attempt || frame.attempt != attempt {
            return Verdict::Stale;
        }
        if frame.request_id != self.request.request_id {
            return Verdict::Broken(Fault::Foreign);
        }
        if frame.position as usize != self.tokens.len() {
            return Verdict::Broken(Fault::Position);
        }
        if self
            .version
            .as_ref()
            .is_some_and(|version| *version != frame.model_version)
        {
            return Verdict::Broken(Fault::Version);
        }
        self.version = Some(frame.model_version.clone());
        self.tokens.extend(&frame.tokens);
        self.prefilled += u64::from(frame.prefilled.unwrap_or(0));
        match frame.finish_reason {
            Some(_) => Verdict::Finish,
            None => Verdict::Emit,
        }
    }

    /// Notes that the current attempt ended early.
    pub fn broken(&mut self, fault: Fault) -> Next {
        if fault == Fault::Died {
            self.deaths += 1;
        }
        if self.deaths >= DEATHS_MAX {
            return Next::GiveUp;
        }
        Next::Resume
    }

    /// Returns the tokens sent to the caller.
    pub fn tokens(&self) -> &[u32] {
        &self.tokens
    }

    /// Returns the version of the generation, once known.
    pub fn version(&self) -> Option<&CompactString> {
        self.version.as_ref()
    }

    /// Returns the tokens prefilled by all attempts.
    pub fn prefilled(&self) -> u64 {
        self.prefilled
    }

    /// Returns the number of the current attempt.
    pub fn attempt(&self) -> u32 {
        self.request.attempt
    }
}
