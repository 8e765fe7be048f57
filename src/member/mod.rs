//! Membership: which routers are live, and which hosts, engines and backend servers the platform
//! lists.

pub mod list;
pub mod rendezvous;
pub mod table;
pub mod task;
pub mod view;
