//! The platform's object store and the lease that is kept in it.

pub mod fake;
pub mod lease;
pub mod objects;
