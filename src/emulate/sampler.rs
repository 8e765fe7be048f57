//! Deterministic tokens. Each is a hash of model, version, prompt, seed and position, so a client
//! can compute the expected token and detect a missing, repeated or wrong one.

use compact_str::{CompactString, format_compact};

use crate::util::hash64;

/// Sampler of one generation: a hash of the values that its tokens depend on.
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

    /// Returns the token at an output position, a number of 20 bits.
    pub fn token(self, position: u32) -> u32 {
        hash64(&[&self.0.to_le_bytes(), &position.to_le_bytes()]) as u32 & 0x000f_ffff
    }
}

/// Returns the text of a token: a space and five hexadecimal digits.
pub fn text(token: u32) -> CompactString {
    format_compact!(" {token:05x}")
}

/// Parses the text of a token; returns `None` if it is not a hexadecimal number.
pub fn parse(text: &str) -> Option<u32> {
    u32::from_str_radix(text.trim(), 16).ok()
}
