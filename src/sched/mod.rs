//! Scheduling: which request runs next, and how many slots of the shared engines each host may use.
//!
//! - [`scheduler`] queues the requests of this host and starts them, using the fair queues of
//!   [`tree`], the slots that [`lease`] grants, and the job types of [`job`].
//! - [`lease_task`] reports this host's demand once a second and runs the allocators. [`allocator`]
//!   divides the slots of a failure domain among hosts, [`lease_client`] holds the leases of this
//!   host, and [`share`] has the arithmetic of both.
//! - [`limit`] adapts this host's concurrency limit for each engine. [`retry`] bounds the retries of
//!   all hosts, which it counts in a [`window`].
//! - [`admission`] refuses what exceeds the capacity of services with few slots, by the [`demand`] that
//!   all hosts count.

pub mod admission;
pub mod allocator;
pub mod demand;
pub mod job;
pub mod lease;
pub mod lease_client;
pub mod lease_task;
pub mod limit;
pub mod retry;
pub mod scheduler;
pub mod share;
pub mod tree;
pub mod window;
