//! Cost of a request for an engine, and the load of an engine, in tokens.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::speed::Reading;
use crate::util::hash64;

/// Tokens that a request costs an engine; all zero for requests without a prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Footprint {
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
    /// Prompt tokens that the engine probably holds from earlier requests.
    pub held: u32,
}

/// Prompt tokens that an engine prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 5;

/// Time to decode one output token in a batch with other requests, in microseconds.
const OUTPUT_TOKEN_US: u64 = 6000;

/// Returns the expected time in which an engine prefills prompt tokens.
pub fn prefill_time(tokens: u64) -> Duration {
    Duration::from_millis(tokens / PREFILL_TOKENS_PER_MS)
}

impl Footprint {
    /// Returns the expected time from the arrival of the request to the end of its output.
    pub fn expected_time(self) -> Duration {
        prefill_time(self.prompt.into())
            + Duration::from_micros(u64::from(self.output) * OUTPUT_TOKEN_US)
    }

    /// Returns the prompt tokens that the engine has to read.
    pub fn unread(self) -> u32 {
        self.prompt.saturating_sub(self.held)
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
    /// What the engine read of late.
    pub read: Reading,
}

impl Load {
    /// Adds the load that others cause on the same engine.
    pub fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.reading += other.reading;
        self.memory += other.memory;
        self.read.add(&other.read);
    }

    /// Undoes [`Load::add`].
    pub fn subtract(&mut self, other: &Self) {
        self.running -= other.running;
        self.reading -= other.reading;
        self.memory -= other.memory;
        self.read.subtract(&other.read);
    }
}

/// Hash of an engine's id, which keeps reports small. The reported loads of two engines with the
/// same hash are added up, which only makes the choice of an engine worse.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EngineHash(u32);

impl EngineHash {
    /// Returns the hash of the engine `id`.
    pub fn of(id: &str) -> Self {
        Self(hash64(&[id.as_bytes()]) as u32)
    }
}

/// Units of what an engine read, in tokens and milliseconds. With them, both numbers mostly take one
/// byte in a report.
const TOKENS_UNIT: u64 = 1024;
const MS_UNIT: u64 = 128;

/// Returns a number in units, rounded to the nearest.
fn in_units(number: u64, unit: u64) -> u64 {
    number.saturating_add(unit / 2) / unit
}

/// Load on one engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// The engine.
    pub engine: EngineHash,
    /// Number of running requests.
    pub running: u32,
    /// Prompt tokens of requests that have no output yet.
    pub reading: u32,
    /// Tokens in the engine's memory, those of replicas included.
    pub memory: u32,
    /// Prompt tokens that the engine read of late, in units of `TOKENS_UNIT`.
    read_tokens: u32,
    /// Time that this took, in units of `MS_UNIT`.
    read_ms: u32,
}

impl Usage {
    /// Creates the usage of an engine; larger values are reported as `u32::MAX`.
    pub fn new(engine: EngineHash, load: Load) -> Self {
        let saturate = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        Self {
            engine,
            running: saturate(load.running),
            reading: saturate(load.reading),
            memory: saturate(load.memory),
            read_tokens: saturate(in_units(load.read.tokens, TOKENS_UNIT)),
            read_ms: saturate(in_units(load.read.ms, MS_UNIT)),
        }
    }

    /// Returns the usage as a load; its 64-bit fields make room for sums of reports.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.into(),
            reading: self.reading.into(),
            memory: self.memory.into(),
            read: Reading {
                tokens: u64::from(self.read_tokens) * TOKENS_UNIT,
                ms: u64::from(self.read_ms) * MS_UNIT,
            },
        }
    }
}
