//! Relays the output of a generation from engines to the caller, over as many attempts as it takes.

pub mod budget;
pub mod cursor;
pub mod deaths;
pub mod event;
pub mod event_stream;
pub mod generation;
pub mod handover;
pub mod inquiry;
pub mod pace;
pub mod replication;
pub mod reprefill;
pub mod silence;
pub mod stream;

/// State shared by all generations of one host.
#[derive(Debug, Default)]
pub struct Shared {
    /// Average time between tokens, by engine.
    pub pace: pace::Pace,
    /// Limit on resumes.
    pub budget: budget::Budget,
    /// Deaths of engines, by prompt.
    pub deaths: deaths::Deaths,
}
