//! What operators see.

pub mod burn;
pub mod meter;
pub mod metrics;
