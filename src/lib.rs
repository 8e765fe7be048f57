//! bilberrypost serves long model generations and resumes them when an engine fails.
//!
//! docs/design.md describes the components and how they work together.

pub mod account;
pub mod claim;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod dispatch;
pub mod emulate;
pub mod engine;
pub mod error;
pub mod gateway;
pub mod http;
pub mod load;
pub mod member;
pub mod orders;
pub mod peer;
pub mod platform;
pub mod relay;
pub mod report;
pub mod rollout;
pub mod route;
pub mod router;
pub mod sched;
pub mod signals;
pub mod store;
pub mod supervisor;
pub mod util;
pub mod wire;
