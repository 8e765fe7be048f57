//! Roll-outs: an operator's order to move a service to engines of another version, which all hosts
//! carry out together. `docs/design/rollouts.md` describes who decides what.
//!
//! [`Rollouts`] is what one host knows of all orders. Nothing here reads a clock or a socket.

pub mod judge;
pub mod order;
pub mod plan;
pub mod share;
pub mod state;
pub mod tally;

pub use order::{Entry, Lifecycle, Order, Outcome};
pub use plan::Policy;
pub use state::{Engines, Mention, Rollouts, Rule};
pub use tally::{Answer, Route, Tally};
