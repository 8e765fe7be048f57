//! Orders of the operator, and what became of them.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// An order to move the requests of a service to engines of another version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The service.
    pub service: CompactString,
    /// Version that the engines of the service shall have.
    pub to: CompactString,
    /// Time in which the order is to be carried out.
    pub duration: Duration,
    /// Distinguishes orders of the same content within an era of the store.
    pub created: u64,
    /// Era of the store that `created` belongs to.
    pub era: u64,
}

impl Order {
    /// Returns whether both are the same order. After the store came back from an older copy, an order
    /// may have been created again.
    pub fn is_same(&self, other: &Self) -> bool {
        let is_recreated = self.era == other.era && self.created != other.created;
        self.service == other.service && self.to == other.to && !is_recreated
    }
}

/// How an order ended. Holds for good.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// All requests go to engines of the new version.
    Completed,
    /// No request goes to engines of the new version.
    Reverted,
}

/// State of an order in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lifecycle {
    /// The hosts carry the order out.
    InProgress,
    /// The order has ended.
    Ended(Outcome),
}

impl Lifecycle {
    /// Returns the name of the state in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Ended(Outcome::Completed) => "completed",
            Self::Ended(Outcome::Reverted) => "reverted",
        }
    }
}

/// An order as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The order.
    pub order: Order,
    /// What the hosts wrote of this order; `None` if nothing.
    pub lifecycle: Option<Lifecycle>,
    /// Revision of the last change of the entry.
    pub revision: u64,
    /// The entry in the store's own form, which a write of the state is based on.
    pub document: CompactString,
}
