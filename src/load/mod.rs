//! Load generator that checks every token of the answers.

pub mod client;
pub mod tool;
