//! Signed event ids (cursors) with which a caller continues a stream at any router after its own
//! router died.
//!
//! An id is `1-SEED-POSITION-END-BODY-TOKENS-MAC-VERSION`: the format number, the sampler seed, the
//! next output position, 1 if the output is complete, digests of the request and of the tokens
//! before the position, a MAC, and the model version. The MAC is the first half of an HMAC-SHA256
//! over the other fields under the key shared by the routers. All but the version are hexadecimal.

use compact_str::{CompactString, format_compact};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::config::host::Secret;

/// Prefix of the signed bytes, so that no other MAC under the same key is accepted here.
const DOMAIN_SEPARATOR: &[u8] = b"bilberrypost cursor 1";

/// Length to which the MAC is truncated; 128 bits cannot be guessed.
const MAC_BYTES: usize = 16;

/// Position in a stream, and the generation it belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cursor {
    /// Digest of the request's body and caller.
    pub body_digest: u64,
    /// Model version of the generation.
    pub version: CompactString,
    /// Seed of the sampler.
    pub seed: u64,
    /// Next output position.
    pub position: u32,
    /// Whether all tokens were sent.
    pub is_end: bool,
    /// Digest of the tokens before `position`.
    pub token_digest: u64,
}

/// Why a cursor was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Malformed, altered, or signed under an unknown key.
    #[error("Last-Event-ID was not issued here; send the id of the last event as received")]
    Invalid,
    /// Issued for another request or caller.
    #[error("Last-Event-ID belongs to another request; send the same body and key as before")]
    WrongRequest,
    /// The tokens differ from those that were sent.
    #[error(
        "resume_tokens differ from the tokens sent up to Last-Event-ID; send exactly the tokens \
         received up to that event"
    )]
    WrongTokens,
}

/// Signs and verifies cursors.
#[derive(Debug)]
pub struct Signer {
    key: Secret,
    previous_key: Option<Secret>,
}

/// Incremental digest of the tokens of a stream.
#[derive(Clone, Debug, Default)]
pub struct TokenHasher(Sha256);

impl TokenHasher {
    /// Appends tokens.
    pub fn update(&mut self, tokens: &[u32]) {
        for token in tokens {
            self.0.update(token.to_le_bytes());
        }
    }

    /// Returns the digest of all tokens so far.
    pub fn digest(&self) -> u64 {
        first_u64(&self.0.clone().finalize())
    }
}

/// Returns the digest of a request's parts. The length of each part is hashed before it, so that
/// moving bytes from one part to the next changes the digest.
pub fn body_digest(parts: &[&[u8]]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    first_u64(&digest.finalize())
}

/// Returns the first 8 bytes of a digest as a big-endian number.
fn first_u64(digest: &[u8]) -> u64 {
    digest
        .iter()
        .take(8)
        .fold(0, |word, byte| (word << 8) | u64::from(*byte))
}

impl Signer {
    /// Creates a signer. Cursors signed with the previous key are accepted too, so that streams
    /// survive a key rotation.
    pub fn new(key: Secret, previous_key: Option<Secret>) -> Self {
        Self { key, previous_key }
    }

    /// Returns the event id of a cursor.
    pub fn sign(&self, cursor: &Cursor) -> String {
        let mac = mac(&self.key, cursor).finalize().into_bytes();
        let mac: String = mac[..MAC_BYTES]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        format!("{}-{mac}-{}", encode_numbers(cursor), cursor.version)
    }

    /// Parses an event id and verifies it against the request that it came with: the digest of the
    /// request and the `resume_tokens`.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn verify(&self, id: &str, body_digest: u64, tokens: &[u32]) -> Result<Cursor, Error> {
        let (cursor, received_mac) = parse(id).ok_or(Error::Invalid)?;
        let is_valid = |key: &Secret| {
            mac(key, &cursor)
                .verify_truncated_left(&received_mac)
                .is_ok()
        };
        if !is_valid(&self.key) && !self.previous_key.as_ref().is_some_and(is_valid) {
            return Err(Error::Invalid);
        }
        if cursor.body_digest != body_digest {
            return Err(Error::WrongRequest);
        }
        let mut hasher = TokenHasher::default();
        hasher.update(tokens);
        if cursor.position as usize != tokens.len() || cursor.token_digest != hasher.digest() {
            return Err(Error::WrongTokens);
        }
        Ok(cursor)
    }
}

/// Returns the fields before the MAC, as they stand in an event id.
fn encode_numbers(cursor: &Cursor) -> CompactString {
    format_compact!(
        "1-{:x}-{:x}-{}-{:x}-{:x}",
        cursor.seed,
        cursor.position,
        u8::from(cursor.is_end),
        cursor.body_digest,
        cursor.token_digest
    )
}

fn mac(key: &Secret, cursor: &Cursor) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.expose()).expect("any length is allowed");
    mac.update(DOMAIN_SEPARATOR);
    mac.update(encode_numbers(cursor).as_bytes());
    mac.update(b"-");
    mac.update(cursor.version.as_bytes());
    mac
}

/// Splits an event id into its cursor and its MAC, which is not verified yet.
fn parse(id: &str) -> Option<(Cursor, [u8; MAC_BYTES])> {
    // The version comes last because it may contain hyphens.
    let mut parts = id.splitn(8, '-');
    if parts.next()? != "1" {
        return None;
    }
    let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
    let (seed, position, is_end) = (number()?, number()?, number()?);
    let (body_digest, token_digest) = (number()?, number()?);
    let mac = u128::from_str_radix(parts.next()?, 16).ok()?;
    let cursor = Cursor {
        body_digest,
        version: parts.next()?.into(),
        seed,
        position: position.try_into().ok()?,
        is_end: match is_end {
            0 => false,
            1 => true,
            _ => return None,
        },
        token_digest,
    };
    Some((cursor, mac.to_be_bytes()))
}

#[cfg(test)]
mod tests;
