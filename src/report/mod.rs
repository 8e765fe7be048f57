//! What operators see.

pub mod metrics;
