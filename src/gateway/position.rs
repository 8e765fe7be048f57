//! Positions in the history of the store.

use serde::{Deserialize, Serialize};

/// Position in the history of the store.
///
/// The store begins a new era each time it comes back from an older copy of its data. It then gives
/// out revisions again, so that revisions of different eras number different changes. Positions
/// are ordered by era first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    // `Ord` is derived, so the era has to stay the first field.
    /// Number of times that the store came back from an older copy, by its own count.
    pub era: u64,
    /// Revision of the store within the era.
    pub revision: u64,
}
