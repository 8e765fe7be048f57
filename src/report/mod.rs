//! What operators see.

pub mod burn;
pub mod explain;
pub mod meter;
pub mod metrics;
pub mod output;
pub mod trace;
