//! Revisions of the split as they are kept in the store and passed between routers.

use compact_str::CompactString;
use compio::bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::split::SharedSettings;
use crate::store::objects::{self, Objects, Version};

/// Key of the object that says which revision is in force.
pub const CURRENT_KEY: &str = "config/current";

/// Prefix of the keys of all chunks.
pub const CHUNK_PREFIX: &str = "config/chunks/";

/// Greatest size of a chunk in bytes; a value of the store holds at most 1 MB.
pub const CHUNK_BYTES_MAX: usize = 960 * 1024;

/// Revisions that the history holds, the one in force included.
pub const REVISIONS_KEPT: usize = 32;

/// What is known of a revision without its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Number; grows by one with each revision.
    pub revision: u64,
    /// Hex SHA-256 of the content.
    pub digest: String,
    /// Who published it.
    pub author: CompactString,
    /// Identity of the publishing process, by which it recognises its own write.
    pub writer: CompactString,
    /// Milliseconds since the Unix epoch at which it was published.
    pub at_ms: u64,
    /// Size of the content in bytes.
    pub bytes: usize,
    /// Keys of the chunks of the content, in order.
    pub chunks: Vec<String>,
    /// Revision whose content this one repeats, if it undoes later ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub undo_of: Option<u64>,
}

/// The object [`CURRENT_KEY`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Current {
    /// The revision in force.
    #[serde(flatten)]
    pub latest: Record,
    /// Earlier revisions, the newest first.
    pub history: Vec<Record>,
}

impl Current {
    /// Returns the records of all revisions that are kept, the newest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.latest).chain(&self.history)
    }

    /// Returns the record of a revision.
    pub fn record(&self, revision: u64) -> Option<&Record> {
        self.records().find(|record| record.revision == revision)
    }
}

/// A revision with its content, as routers pass it to each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Package {
    /// The record.
    pub record: Record,
    /// The content: the split as JSON.
    pub content: String,
}

/// Why a revision could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The store did not give an object.
    #[error("{0}")]
    Store(#[from] objects::Error),
    /// A chunk is gone, because a later publisher deleted it.
    #[error("chunk {0} is gone; read config/current again")]
    Gone(String),
    /// The content is not what was published.
    #[error("{0}; publish the settings again")]
    Damaged(String),
}

impl Package {
    /// Checks the content against the digest and returns the split.
    ///
    /// # Errors
    /// [`Error::Damaged`].
    pub fn settings(&self) -> Result<SharedSettings, Error> {
        let found = digest(self.content.as_bytes());
        if found != self.record.digest {
            let message = format!("the content has digest {found}, not {}", self.record.digest);
            return Err(Error::Damaged(message));
        }
        serde_json::from_str(&self.content)
            .map_err(|err| Error::Damaged(format!("the content is not a split: {err}")))
    }
}

/// Returns the hex SHA-256 of a content.
pub fn digest(content: &[u8]) -> String {
    let digest = Sha256::digest(content);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the hex SHA-256 of a split's content.
pub fn settings_digest(split: &SharedSettings) -> String {
    digest(&serde_json::to_vec(split).expect("a split serializes"))
}

/// Reads [`CURRENT_KEY`]; `None` if nothing was ever published.
///
/// # Errors
/// See [`Error`].
pub async fn read_current<O: Objects>(store: &O) -> Result<Option<(Version, Current)>, Error> {
    let object = store.get(CURRENT_KEY).await?;
    object
        .map(|object| Ok((object.version, parse_current(&object.body)?)))
        .transpose()
}

/// Reads the body of [`CURRENT_KEY`].
///
/// # Errors
/// [`Error::Damaged`].
pub fn parse_current(body: &Bytes) -> Result<Current, Error> {
    serde_json::from_slice(body)
        .map_err(|err| Error::Damaged(format!("{CURRENT_KEY} cannot be read: {err}")))
}

/// Reads the content of a revision.
///
/// # Errors
/// See [`Error`].
pub async fn read_package<O: Objects>(store: &O, record: &Record) -> Result<Package, Error> {
    let mut content = Vec::with_capacity(record.bytes);
    for key in &record.chunks {
        let chunk = store.get(key).await?;
        let chunk = chunk.ok_or_else(|| Error::Gone(key.clone()))?;
        content.extend_from_slice(&chunk.body);
    }
    let content =
        String::from_utf8(content).map_err(|_| Error::Damaged("the content is not text".into()))?;
    let package = Package {
        record: record.clone(),
        content,
    };
    package.settings()?;
    Ok(package)
}
