//! A generation from caller to engine, over as many attempts as it takes.

pub mod budget;
pub mod cursor;
pub mod event;
pub mod events;
pub mod generation;
pub mod handover;
pub mod killer;
pub mod pace;
pub mod silence;
pub mod stream;

/// What the generations of one host know together.
#[derive(Debug, Default)]
pub struct Shared {
    /// Time between tokens, by engine.
    pub pace: pace::Pace,
    /// Limit on resumes.
    pub budget: budget::Budget,
    /// Prompts that engines died with.
    pub killers: killer::Killers,
}
