//! Which request runs next.

pub mod lease;
pub mod limit;
pub mod scheduler;
pub mod tree;
