//! Which engine serves a request.

pub mod cache;
pub mod fleet;
pub mod prefix;
mod select;
