//! Which request runs next.

pub mod allocator;
pub mod lease;
pub mod lease_client;
pub mod lease_task;
pub mod limit;
pub mod retry;
pub mod scheduler;
pub mod share;
pub mod tree;
pub mod work;
