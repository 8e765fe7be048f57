//! Prompt prefixes as blocks, the unit in which engines cache.

use crate::util::hash64;

/// Bytes of prompt in a block.
pub const BLOCK_BYTES: usize = 256;

/// Bytes of prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the hash of each complete block, each covering the prompt up to the block's end.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut prefix = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|chunk| {
            prefix = hash64(&[&u64::to_le_bytes(prefix), chunk]);
            prefix
        })
        .collect()
}

/// Returns the number of tokens in a prompt.
pub fn tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}
