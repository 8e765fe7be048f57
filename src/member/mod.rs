//! Which hosts, engines and backend servers there are.

pub mod list;
pub mod rendezvous;
pub mod table;
pub mod task;
pub mod view;
