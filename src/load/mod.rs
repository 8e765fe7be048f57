//! Open-loop load that checks every answer token by token.

pub mod client;
pub mod tool;
