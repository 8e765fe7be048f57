//! Documents compressed with an earlier document as dictionary, so that a small change of a large
//! configuration takes few bytes.
//!
//! Documents are opaque text. LZ4 refers back by at most 64 KB, so a document is compressed in blocks,
//! each with the part of the earlier document around the same position as dictionary. Text that was
//! shifted by more than [`MARGIN_BYTES`] is no longer found there and takes more bytes.

use lz4_flex::block;
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use crate::util::hash64;

/// Size of a block before compression in bytes.
const BLOCK_BYTES: usize = 32 * 1024;

/// Bytes of the earlier document before and after a block's position that its dictionary contains.
/// A block and its dictionary together span less than the 64 KB that LZ4 can refer back, measured
/// from a position in the block to the same position in the dictionary.
const MARGIN_BYTES: usize = 15 * 1024;

/// Maximum size of a document in bytes. It bounds the memory that a malformed patch can take.
const DOCUMENT_BYTES_MAX: usize = 4 * 1024 * 1024;

/// A document in compressed form.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Patch {
    // Digest of the document that served as dictionary, and of the result.
    base: u64,
    result: u64,
    // Size of the result in bytes.
    size: usize,
    #[serde_as(as = "Vec<Base64>")]
    blocks: Vec<Vec<u8>>,
}

/// Why a patch could not be applied.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The patch was made for another document.
    #[error("the patch applies to another document; request the whole document")]
    OtherBase,
    /// The patch is corrupt; holds the cause.
    #[error("the patch is corrupt: {0}; request the whole document")]
    Corrupt(String),
}

/// Returns the digest of a document, by which both sides recognize that they have the same one.
pub fn digest(document: &str) -> u64 {
    hash64(&[document.as_bytes()])
}

impl Patch {
    /// Compresses `document` for a recipient that has `base`, which is empty if it has none.
    pub fn new(base: &str, document: &str) -> Self {
        let blocks = document.as_bytes().chunks(BLOCK_BYTES).enumerate();
        let compress = |(number, block)| {
            block::compress_with_dict(block, dictionary(base, number * BLOCK_BYTES))
        };
        Self {
            base: digest(base),
            result: digest(document),
            size: document.len(),
            blocks: blocks.map(compress).collect(),
        }
    }

    /// Returns the number of compressed bytes.
    pub fn bytes(&self) -> usize {
        self.blocks.iter().map(Vec::len).sum()
    }

    /// Restores the document from `base`, the document that the recipient has. A patch that needs no
    /// earlier document applies to any.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn apply(&self, base: &str) -> Result<String, Error> {
        let base = match self.base {
            expected if expected == digest(base) => base,
            expected if expected == digest("") => "",
            _ => return Err(Error::OtherBase),
        };
        if self.size > DOCUMENT_BYTES_MAX {
            return Err(Error::Corrupt(format!("it claims {} bytes", self.size)));
        }
        let mut document = Vec::with_capacity(self.size);
        for block in &self.blocks {
            let size = (self.size - document.len()).min(BLOCK_BYTES);
            let dictionary = dictionary(base, document.len());
            let restored = block::decompress_with_dict(block, size, dictionary)
                .map_err(|err| Error::Corrupt(err.to_string()))?;
            if restored.len() != size {
                return Err(Error::Corrupt("a block has the wrong size".into()));
            }
            document.extend_from_slice(&restored);
        }
        let document =
            String::from_utf8(document).map_err(|err| Error::Corrupt(err.to_string()))?;
        match digest(&document) == self.result {
            true => Ok(document),
            false => Err(Error::Corrupt("the result has another digest".into())),
        }
    }
}

/// Returns the part of `base` that serves as dictionary of the block that starts at `start`.
fn dictionary(base: &str, start: usize) -> &[u8] {
    let from = start.saturating_sub(MARGIN_BYTES).min(base.len());
    let to = (start + BLOCK_BYTES + MARGIN_BYTES).min(base.len());
    &base.as_bytes()[from..to]
}
