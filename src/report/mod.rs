//! Metrics, logs and service-level reports for operators.

pub mod burn;
pub mod explain;
pub mod meter;
pub mod metrics;
pub mod output;
pub mod trace;
