//! Settings of one host, and settings that all hosts share.

pub mod check;
pub mod diff;
pub mod host;
pub mod ini;
pub mod operator;
pub mod patch;
pub mod publish;
pub mod revision;
pub mod routes;
pub mod split;
pub mod task;
