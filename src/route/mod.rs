//! Choice of the engine that serves a request.
//!
//! [`fleet`] serves the router: it knows the prompt, so it can weigh prefix caches. [`registry`]
//! serves the gateway, whose requests are opaque: it weighs the load that the hosts report to each
//! other.

pub mod cache;
pub mod contact;
pub mod departed;
pub mod evidence;
pub mod first_event;
pub mod fleet;
pub mod held;
pub mod history;
pub mod load;
pub mod losses;
mod passes;
pub mod placing;
pub mod poll;
pub mod prefix;
pub mod prompt;
pub mod quarantine;
pub mod registry;
pub mod removals;
pub mod reports;
pub mod rotation;
mod select;
pub mod servers;
pub mod speed;
mod suspicion;
