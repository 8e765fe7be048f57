//! Cost of a request for an engine, and the load of an engine, in tokens.

use std::time::Duration;

/// Tokens that a request costs an engine; all zero for requests without a prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Footprint {
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
}

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 5;

/// Time to decode one output token in a batch with other requests, in microseconds.
const OUTPUT_TOKEN_US: u64 = 6000;

impl Footprint {
    /// Returns the expected time from the arrival of the request to the end of its output.
    pub fn expected_time(self) -> Duration {
        Duration::from_millis(u64::from(self.prompt) / PREFILL_TOKENS_PER_MS)
            + Duration::from_micros(u64::from(self.output) * OUTPUT_TOKEN_US)
    }

    /// Returns the tokens that the request holds in the engine's memory at its end.
    pub fn memory(self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }
}

/// Load of an engine, or the part of it that certain hosts cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Running requests.
    pub running: u64,
    /// Prompt tokens that are still to be prefilled, which are those of requests without output.
    pub reading: u64,
    /// Tokens in the engine's memory, those of replicas included.
    pub memory: u64,
}

impl Load {
    /// Adds the load that others cause on the same engine.
    pub fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.reading += other.reading;
        self.memory += other.memory;
    }

    /// Undoes [`Load::add`].
    pub fn subtract(&mut self, other: &Self) {
        self.running -= other.running;
        self.reading -= other.reading;
        self.memory -= other.memory;
    }
}
