//! Orders to engines: which versions and adapters they load.

pub mod plan;
pub mod task;
