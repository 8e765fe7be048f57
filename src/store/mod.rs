//! The platform's object API.

pub mod fake;
pub mod lease;
pub mod objects;
