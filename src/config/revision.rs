//! Revisions of the shared settings, as stored and as sent between routers.

use compact_str::CompactString;
use compio::bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::split::SharedSettings;
use crate::store::objects::{self, Objects, Version};

/// Key of the object that holds [`Current`]: the revision in force and the history.
pub const CURRENT_KEY: &str = "config/current";

/// Prefix of the keys of content chunks: `config/chunks/DIGEST/NUMBER`.
pub const CHUNK_PREFIX: &str = "config/chunks/";

/// Maximum size of a chunk; the store refuses values above 1 MB.
pub const CHUNK_BYTES_MAX: usize = 960 * 1024;

/// Number of revisions that are kept, including the one in force.
pub const REVISIONS_KEPT: usize = 32;

/// Metadata of a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Revision number, from 1. Each new revision adds 1; the first one after a return of the store
    /// from an older copy adds more, see
    /// [`Era::next_number`](crate::store::objects::Era::next_number).
    pub revision: u64,
    /// SHA-256 of the content, in hex.
    pub digest: String,
    /// Author, as given with `--author`.
    pub author: CompactString,
    /// UUID of the publishing process, by which it recognizes its own write.
    pub writer: CompactString,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Length of the content in bytes.
    pub bytes: usize,
    /// Keys of the chunks that make up the content, in order.
    pub chunks: Vec<String>,
    /// Older revision whose content this one restores, if it was published by an undo.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub undo_of: Option<u64>,
}

/// Value of the object [`CURRENT_KEY`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Current {
    /// Revision in force.
    #[serde(flatten)]
    pub latest: Record,
    /// Earlier revisions, newest first.
    pub history: Vec<Record>,
}

impl Current {
    /// Returns the records of all kept revisions, newest first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.latest).chain(&self.history)
    }

    /// Returns the number of the revision before this one; if that is not kept, the number below.
    pub fn number_before(&self, revision: u64) -> u64 {
        let numbers = self.records().map(|record| record.revision);
        let before = numbers.filter(|number| *number < revision).max();
        before.unwrap_or(revision - 1)
    }

    /// Returns the record of a revision, if it is still kept.
    pub fn record(&self, revision: u64) -> Option<&Record> {
        self.records().find(|record| record.revision == revision)
    }
}

/// A revision with its content, as sent between routers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Package {
    /// Metadata of the revision.
    pub record: Record,
    /// [`SharedSettings`] as JSON.
    pub content: String,
}

/// Why a revision could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The store failed to return an object.
    #[error("{0}")]
    Store(#[from] objects::Error),
    /// A chunk no longer exists, because a later publisher deleted it.
    #[error("chunk {0} was deleted by a later publisher; read config/current again")]
    Gone(String),
    /// The stored data is corrupt.
    #[error("{0}; publish the settings again")]
    Damaged(String),
}

impl Package {
    /// Verifies the digest of the content and parses it.
    ///
    /// # Errors
    /// [`Error::Damaged`] if the digest differs or the content does not parse.
    pub fn settings(&self) -> Result<SharedSettings, Error> {
        let computed = digest(self.content.as_bytes());
        if computed != self.record.digest {
            let message = format!(
                "the content has digest {computed}, not {}",
                self.record.digest
            );
            return Err(Error::Damaged(message));
        }
        serde_json::from_str(&self.content)
            .map_err(|err| Error::Damaged(format!("the content cannot be parsed: {err}")))
    }
}

/// Returns the SHA-256 of a revision's content, in hex.
pub fn digest(content: &[u8]) -> String {
    let digest = Sha256::digest(content);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the digest that a revision with these settings has.
pub fn settings_digest(settings: &SharedSettings) -> String {
    digest(&serde_json::to_vec(settings).expect("shared settings serialize to JSON"))
}

/// Reads [`CURRENT_KEY`] from the store; `None` if nothing was published yet.
///
/// # Errors
/// [`Error::Store`] or [`Error::Damaged`].
pub async fn read_current<O: Objects>(store: &O) -> Result<Option<(Version, Current)>, Error> {
    let object = store.get(CURRENT_KEY).await?;
    object
        .map(|object| Ok((object.version, parse_current(&object.body)?)))
        .transpose()
}

/// Parses the body of [`CURRENT_KEY`].
///
/// # Errors
/// [`Error::Damaged`] if it is not valid JSON of [`Current`].
pub fn parse_current(body: &Bytes) -> Result<Current, Error> {
    serde_json::from_slice(body)
        .map_err(|err| Error::Damaged(format!("{CURRENT_KEY} cannot be parsed: {err}")))
}

/// Reads the chunks of a revision from the store and verifies the content.
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
    let content = String::from_utf8(content)
        .map_err(|_| Error::Damaged("the content is not UTF-8".into()))?;
    let package = Package {
        record: record.clone(),
        content,
    };
    package.settings()?;
    Ok(package)
}
