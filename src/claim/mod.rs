//! Calls that run at most once: keys are claimed in logs that the store fences.

pub mod log;
pub mod range;
pub mod record;
pub mod task;
