//! A generation from caller to engine, over as many attempts as it takes.

pub mod generation;
pub mod stream;
