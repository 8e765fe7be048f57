//! Calls that run at most once per idempotency key.
//!
//! A host must claim the key before it runs the call. The keys are hashed into ranges; each range
//! has one owner, which records claims and outcomes in a log in the store. Conditional writes fence
//! off former owners of a range.

pub mod log;
pub mod range;
pub mod record;
pub mod task;
