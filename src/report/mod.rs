//! What operators see.

pub mod burn;
pub mod metrics;
