//! Earlier configuration documents, which followers may still have, and the patches from them to
//! the document in force.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;

use crate::config::patch::{self, Patch};

/// Number of earlier documents that are kept. Followers fetch a revision within a second, in which a
/// series of changes puts about four into force.
const DOCUMENTS_MAX: usize = 4;

/// Maximum size of all kept documents in bytes. Memory of a host is priced; a document above this
/// size is sent without an earlier one as dictionary.
const BYTES_MAX: usize = 256 * 1024;

/// Earlier documents, and the patches that were made for the last document.
#[derive(Debug, Default)]
pub struct Documents {
    // Digest and text, oldest first.
    kept: VecDeque<(u64, CompactString)>,
    // Digest of the document that the patches lead to.
    target: u64,
    // By digest of the document that the follower has. Most followers have the same one, so each
    // patch is computed once.
    patches: BTreeMap<u64, Patch>,
}

impl Documents {
    /// Keeps a document that is no longer in force; drops the oldest ones above the limits.
    pub fn keep(&mut self, document: CompactString) {
        self.kept.push_back((patch::digest(&document), document));
        while self.kept.len() > DOCUMENTS_MAX || self.bytes() > BYTES_MAX {
            self.kept.pop_front();
        }
    }

    /// Drops all documents and patches, of a host that no longer sends them.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the size of all kept documents in bytes.
    pub fn bytes(&self) -> usize {
        self.kept.iter().map(|(_, document)| document.len()).sum()
    }

    /// Returns a patch to `document` for a follower whose document has the digest `base`. It needs
    /// no earlier document if that one is not kept.
    pub fn patch_to(&mut self, document: &str, base: u64) -> Patch {
        let target = patch::digest(document);
        if self.target != target {
            self.target = target;
            self.patches.clear();
        }
        let known = self.kept.iter().find(|(digest, _)| *digest == base);
        let base = known.map_or("", |(_, document)| document.as_str());
        let patch = self.patches.entry(patch::digest(base));
        patch.or_insert_with(|| Patch::new(base, document)).clone()
    }
}
