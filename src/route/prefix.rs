//! Splits prompts into blocks, the unit in which engines cache prefixes.

use crate::util::hash64;

/// Bytes of prompt in a block.
pub const BLOCK_BYTES: usize = 256;

/// Bytes of prompt that count as one token. An estimate, as the router does not tokenize.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns a hash for each complete block. Each hash covers the prompt from its start to the end of
/// the block, so equal hashes mean equal prefixes.
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

/// Returns the estimated number of tokens in a prompt, rounded up.
pub fn tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}
