//! Which request runs next.

pub mod scheduler;
