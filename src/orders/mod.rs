//! Orders to engines: requests to load a model version or an adapter.

pub mod plan;
pub mod task;
