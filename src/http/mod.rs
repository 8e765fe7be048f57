//! HTTP endpoints for callers and operators, and the HTTP server and clients of all processes.

pub mod admin;
pub mod backend;
pub mod body;
pub mod budget;
pub mod client;
pub mod completions;
pub mod detach;
pub mod fair;
pub mod idle;
pub mod linger;
pub mod pool;
pub mod problem;
pub mod retry_after;
pub mod server;
pub mod socket;
pub mod sse;
pub mod unsent;
