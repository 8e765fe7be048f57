//! What requests take of an engine, and what runs there.

use std::time::Duration;

/// What a request takes of an engine, in tokens; zero for requests without a prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Footprint {
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
}

/// Prompt tokens that an engine reads in a millisecond.
const READ_PER_MS: u64 = 5;

/// Time of one output token beside other work, in microseconds.
const OUTPUT_US: u64 = 6000;

impl Footprint {
    /// Returns the usual time from the arrival to the end of a stream.
    pub fn usual_time(self) -> Duration {
        Duration::from_millis(u64::from(self.prompt) / READ_PER_MS)
            + Duration::from_micros(u64::from(self.output) * OUTPUT_US)
    }

    /// Returns the tokens in memory at the end of the request.
    pub fn memory(self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }
}

/// What runs on an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests.
    pub running: u64,
    /// Prompt tokens of requests without output.
    pub reading: u64,
    /// Tokens in memory, those of replicas included.
    pub memory: u64,
}

impl Load {
    /// Adds what others run there.
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
