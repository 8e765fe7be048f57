//! Event ids from which any router continues a stream whose router died.
//!
//! An id is `1-SEED-POSITION-END-BODY-TOKENS-CODE-VERSION`: the seed, the next output position,
//! whether that was the last token, digests of the request's body and of the tokens before the
//! position, and the first half of an HMAC-SHA256 over all of it and the version, under the key
//! between routers. Numbers are hexadecimal.

use compact_str::{CompactString, format_compact};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::config::host::Secret;

/// Separates these codes from others under the same key.
const LABEL: &[u8] = b"bilberrypost cursor 1";

/// Bytes of the code that are kept; 128 bits cannot be guessed.
const CODE_BYTES: usize = 16;

/// Where a stream stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cursor {
    /// Digest of the request's body and caller.
    pub body: u64,
    /// Version that generates.
    pub version: CompactString,
    /// Seed of the sampler.
    pub seed: u64,
    /// Next output position.
    pub position: u32,
    /// Whether all tokens were sent.
    pub is_end: bool,
    /// Digest of the tokens before `position`.
    pub tokens: u64,
}

/// Why a cursor was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Not an event id of this system, or changed.
    #[error("Last-Event-ID was not issued here; send the id of the last event as received")]
    Forged,
    /// Issued for another request or caller.
    #[error("Last-Event-ID belongs to another request; send the same body and key as before")]
    Foreign,
    /// The tokens are not those that were sent.
    #[error(
        "resume_tokens are not the tokens up to Last-Event-ID; send exactly those received until \
         that event"
    )]
    Mismatched,
}

/// Signs and checks cursors.
#[derive(Debug)]
pub struct Signer {
    key: Secret,
    previous: Option<Secret>,
}

/// Running digest of the tokens of a stream.
#[derive(Clone, Debug, Default)]
pub struct Tokens(Sha256);

impl Tokens {
    /// Adds tokens in order.
    pub fn push(&mut self, tokens: &[u32]) {
        for token in tokens {
            self.0.update(token.to_le_bytes());
        }
    }

    /// Returns the digest of all tokens so far.
    pub fn digest(&self) -> u64 {
        first_word(&self.0.clone().finalize())
    }
}

/// Returns the digest of a request, each part with its length.
pub fn body_digest(parts: &[&[u8]]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    first_word(&digest.finalize())
}

fn first_word(digest: &[u8]) -> u64 {
    digest
        .iter()
        .take(8)
        .fold(0, |word, byte| (word << 8) | u64::from(*byte))
}

impl Signer {
    /// Creates a signer; cursors under the previous key are accepted during rotation.
    pub fn new(key: Secret, previous: Option<Secret>) -> Self {
        Self { key, previous }
    }

    /// Returns the event id of a cursor.
    pub fn sign(&self, cursor: &Cursor) -> String {
        let code = code(&self.key, cursor).finalize().into_bytes();
        let code: String = code[..CODE_BYTES]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        format!("{}-{code}-{}", numbers(cursor), cursor.version)
    }

    /// Reads an event id and checks it against the request that came with it.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn check(&self, id: &str, body: u64, tokens: &[u32]) -> Result<Cursor, Error> {
        let (cursor, sent) = parse(id).ok_or(Error::Forged)?;
        let is_valid = |key: &Secret| code(key, &cursor).verify_truncated_left(&sent).is_ok();
        if !is_valid(&self.key) && !self.previous.as_ref().is_some_and(is_valid) {
            return Err(Error::Forged);
        }
        if cursor.body != body {
            return Err(Error::Foreign);
        }
        let mut digest = Tokens::default();
        digest.push(tokens);
        if cursor.position as usize != tokens.len() || cursor.tokens != digest.digest() {
            return Err(Error::Mismatched);
        }
        Ok(cursor)
    }
}

fn numbers(cursor: &Cursor) -> CompactString {
    format_compact!(
        "1-{:x}-{:x}-{}-{:x}-{:x}",
        cursor.seed,
        cursor.position,
        u8::from(cursor.is_end),
        cursor.body,
        cursor.tokens
    )
}

fn code(key: &Secret, cursor: &Cursor) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.expose()).expect("any length is allowed");
    mac.update(LABEL);
    mac.update(numbers(cursor).as_bytes());
    mac.update(b"-");
    mac.update(cursor.version.as_bytes());
    mac
}

fn parse(id: &str) -> Option<(Cursor, [u8; CODE_BYTES])> {
    let mut parts = id.splitn(8, '-');
    if parts.next()? != "1" {
        return None;
    }
    let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
    let (seed, position, is_end) = (number()?, number()?, number()?);
    let (body, tokens) = (number()?, number()?);
    let code = u128::from_str_radix(parts.next()?, 16).ok()?;
    let cursor = Cursor {
        body,
        version: parts.next()?.into(),
        seed,
        position: position.try_into().ok()?,
        is_end: match is_end {
            0 => false,
            1 => true,
            _ => return None,
        },
        tokens,
    };
    Some((cursor, code.to_be_bytes()))
}

#[cfg(test)]
mod tests {
    use super::*;

    const BODY: u64 = u64::MAX;

    fn cursor(position: u32) -> Cursor {
        let mut tokens = Tokens::default();
        tokens.push(&[7, 8, 9][..position as usize]);
        Cursor {
            body: BODY,
            version: "2-beta".into(),
            seed: u64::MAX,
            position,
            is_end: false,
            tokens: tokens.digest(),
        }
    }

    /// Guards against cursors that are accepted changed, with another key, body or tokens, and
    /// against good ones that are refused.
    #[test]
    fn accepts_only_what_was_issued() {
        let signer = Signer::new(Secret::new("one"), None);
        let id = signer.sign(&cursor(2));
        assert!((100..=150).contains(&(id.len() + "id: \n".len())), "{id}");
        assert_eq!(signer.check(&id, BODY, &[7, 8]), Ok(cursor(2)));
        let rotated = Signer::new(Secret::new("two"), Some(Secret::new("one")));
        assert_eq!(rotated.check(&id, BODY, &[7, 8]), Ok(cursor(2)));
        let stranger = Signer::new(Secret::new("two"), None);
        assert_eq!(stranger.check(&id, BODY, &[7, 8]), Err(Error::Forged));
        assert_eq!(signer.check(&id, BODY - 1, &[7, 8]), Err(Error::Foreign));
        for tokens in [&[7, 9][..], &[7], &[7, 8, 9], &[]] {
            assert_eq!(signer.check(&id, BODY, tokens), Err(Error::Mismatched));
        }
    }

    /// Guards against an id of which any single character can be changed.
    #[test]
    fn refuses_every_changed_character() {
        let signer = Signer::new(Secret::new("one"), None);
        let id = signer.sign(&cursor(2));
        for at in 0..id.len() {
            for other in ['0', '1', 'f', '-', 'x'] {
                let mut changed: Vec<char> = id.chars().collect();
                if changed[at] == other {
                    continue;
                }
                changed[at] = other;
                let changed: String = changed.into_iter().collect();
                assert_eq!(signer.check(&changed, BODY, &[7, 8]), Err(Error::Forged));
            }
        }
        assert_eq!(signer.check("", BODY, &[]), Err(Error::Forged));
    }
}
