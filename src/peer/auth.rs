//! Authentication of messages by HMAC-SHA256 over time, nonce and body.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use hmac::{Hmac, Mac};
use hyper::HeaderMap;
use hyper::header::HeaderValue;
use sha2::Sha256;

use crate::clock::Clock;
use crate::config::host::Secret;
use crate::util::unix_ms;

/// Greatest age of a message, and greatest difference of clocks.
const WINDOW: Duration = Duration::from_secs(60);

/// Header with time, nonce and code in hex. One short header instead of three keeps the messages
/// that each host sends all the time small.
const HEADER: &str = "x-auth";

/// Bytes of the code that are kept; 128 bits cannot be guessed.
const CODE_BYTES: usize = 16;

/// Why a message was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A header is missing or malformed.
    #[error("the message is not authenticated; set the same key on all hosts")]
    Missing,
    /// Neither key gives the message's code.
    #[error("the message has another key; set the same key on all hosts")]
    Forged,
    /// The message is too old, or from the future.
    #[error("the message's time differs by more than 60 s; set the clocks of the hosts")]
    Expired,
    /// The message arrived before.
    #[error("the message arrived before; send a new one")]
    Replayed,
}

/// Signs and checks messages.
#[derive(Debug)]
pub struct Authenticator<C: Clock> {
    clock: C,
    key: Secret,
    previous: Option<Secret>,
    // Invariant: holds time and nonce of each message accepted within the window.
    seen: RefCell<BTreeSet<(u64, u64)>>,
}

impl<C: Clock> Authenticator<C> {
    /// Creates an authenticator; messages with the previous key are accepted during rotation.
    pub fn new(clock: C, key: Secret, previous: Option<Secret>) -> Self {
        Self {
            clock,
            key,
            previous,
            seen: RefCell::default(),
        }
    }

    /// Adds the header that authenticates `body`.
    pub fn sign(&self, headers: &mut HeaderMap, body: &[u8]) {
        let time = unix_ms(self.clock.wall());
        let nonce = rand::random();
        let code = code(&self.key, time, nonce, body).finalize().into_bytes();
        let hex: String = code[..CODE_BYTES]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        if let Ok(value) = HeaderValue::from_str(&format!("{time:x}-{nonce:x}-{hex}")) {
            headers.insert(HEADER, value);
        }
    }

    /// Checks a message.
    ///
    /// # Errors
    /// The message is forged, expired or replayed.
    pub fn check(&self, headers: &HeaderMap, body: &[u8]) -> Result<(), Error> {
        let value = headers.get(HEADER).and_then(|value| value.to_str().ok());
        let (time, nonce, sent) = value.and_then(parse).ok_or(Error::Missing)?;
        let is_valid = |key: &Secret| {
            let code = code(key, time, nonce, body);
            code.verify_truncated_left(&sent).is_ok()
        };
        if !is_valid(&self.key) && !self.previous.as_ref().is_some_and(is_valid) {
            return Err(Error::Forged);
        }
        let now = unix_ms(self.clock.wall());
        let window = WINDOW.as_millis() as u64;
        if now.abs_diff(time) > window {
            return Err(Error::Expired);
        }
        let mut seen = self.seen.borrow_mut();
        *seen = seen.split_off(&(now.saturating_sub(window), 0));
        match seen.insert((time, nonce)) {
            true => Ok(()),
            false => Err(Error::Replayed),
        }
    }
}

fn parse(text: &str) -> Option<(u64, u64, [u8; CODE_BYTES])> {
    let mut parts = text.split('-');
    let time = u64::from_str_radix(parts.next()?, 16).ok()?;
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    let code = parts.next().filter(|code| code.len() == 2 * CODE_BYTES)?;
    let code = u128::from_str_radix(code, 16).ok()?;
    Some((time, nonce, code.to_be_bytes()))
}

fn code(key: &Secret, time: u64, nonce: u64, body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.expose()).expect("any length is allowed");
    mac.update(&time.to_le_bytes());
    mac.update(&nonce.to_le_bytes());
    mac.update(body);
    mac
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::Manual;

    fn authenticator(clock: &Manual, key: &str, previous: Option<&str>) -> Authenticator<Manual> {
        Authenticator::new(clock.clone(), Secret::new(key), previous.map(Secret::new))
    }

    /// Guards against messages that are accepted with a wrong key, changed, late or twice.
    #[test]
    fn refuses_what_it_did_not_sign() {
        let clock = Manual::default();
        let one = authenticator(&clock, "one", None);
        let rotated = authenticator(&clock, "two", Some("one"));
        let mut headers = HeaderMap::new();
        one.sign(&mut headers, b"body");
        let stranger = authenticator(&clock, "three", None);
        assert_eq!(stranger.check(&headers, b"body"), Err(Error::Forged));
        assert_eq!(one.check(&headers, b"other"), Err(Error::Forged));
        assert_eq!(one.check(&HeaderMap::new(), b"body"), Err(Error::Missing));
        assert_eq!(rotated.check(&headers, b"body"), Ok(()));
        assert_eq!(rotated.check(&headers, b"body"), Err(Error::Replayed));
        clock.advance(WINDOW + Duration::from_secs(1));
        assert_eq!(one.check(&headers, b"body"), Err(Error::Expired));
    }
}
