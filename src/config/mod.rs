//! Settings: of one host, and of the shared split.

pub mod check;
pub mod host;
pub mod ini;
pub mod split;
