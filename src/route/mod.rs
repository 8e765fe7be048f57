//! Which engine serves a request.

pub mod fleet;
pub mod prefix;
