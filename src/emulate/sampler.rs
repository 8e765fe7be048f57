//! Tokens that follow from version, prompt, seed and position, so that any reader can tell a
//! missing, repeated or foreign token.

use compact_str::{CompactString, format_compact};

use crate::util::hash64;

/// Identity of a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sampler(u64);

impl Sampler {
    /// Creates the sampler of one generation.
    pub fn new(model: &str, version: &str, prompt: &str, seed: u64) -> Self {
        Self(hash64(&[
            model.as_bytes(),
            version.as_bytes(),
            prompt.as_bytes(),
            &seed.to_le_bytes(),
        ]))
    }

    /// Returns the token at an output position.
    pub fn token(self, position: u32) -> u32 {
        hash64(&[&self.0.to_le_bytes(), &position.to_le_bytes()]) as u32 & 0x000f_ffff
    }
}

/// Returns a token as text.
pub fn text(token: u32) -> CompactString {
    format_compact!(" {token:05x}")
}

/// Reads a token back from its text.
pub fn parse(text: &str) -> Option<u32> {
    u32::from_str_radix(text.trim(), 16).ok()
}
