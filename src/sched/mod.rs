//! Which request runs next.

pub mod lease;
pub mod scheduler;
