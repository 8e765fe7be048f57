//! Which engine serves a request.

pub mod cache;
pub mod fleet;
pub mod history;
pub mod load;
pub mod poll;
pub mod prefix;
pub mod registry;
pub mod reports;
mod select;
