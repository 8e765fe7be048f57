//! Message authentication between routers: HMAC-SHA256 over the send time, a nonce and the body.

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

/// Largest accepted difference between the time in a message and the local clock. Accepted nonces
/// are remembered for as long, so that a replay is detected.
const MAX_TIME_DIFFERENCE: Duration = Duration::from_secs(60);

/// Header `TIME-NONCE-MAC`, each part in hex. One short header instead of three keeps the messages
/// small that every host sends continuously.
const AUTH_HEADER: &str = "x-auth";

/// Length of a truncated MAC; 128 bits cannot be guessed.
pub const MAC_BYTES: usize = 16;

/// Keys that hosts of one fleet share: the one to sign with, and during a rotation another one, which
/// is accepted too.
#[derive(Clone, Debug)]
pub struct Keys {
    key: Secret,
    previous_key: Option<Secret>,
}

impl Keys {
    /// Creates the keys of a host.
    pub fn new(key: Secret, previous_key: Option<Secret>) -> Self {
        Self { key, previous_key }
    }

    /// Returns the MAC of a message, given in parts whose lengths follow from the message.
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        let whole = mac(&self.key, parts).finalize().into_bytes();
        let mut truncated = [0; MAC_BYTES];
        truncated.copy_from_slice(&whole[..MAC_BYTES]);
        truncated
    }

    /// Returns whether a MAC of this message was made with one of the keys.
    pub fn is_valid(&self, parts: &[&[u8]], received_mac: &[u8; MAC_BYTES]) -> bool {
        let mut keys = std::iter::once(&self.key).chain(&self.previous_key);
        keys.any(|key| mac(key, parts).verify_truncated_left(received_mac).is_ok())
    }
}

fn mac(key: &Secret, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.expose()).expect("HMAC accepts keys of any length");
    for part in parts {
        mac.update(part);
    }
    mac
}

/// Why a message was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The header is missing or malformed.
    #[error("the message has no valid x-auth header; set the same key on all hosts")]
    Missing,
    /// The MAC matches neither the current nor the previous key.
    #[error("the message is signed with another key; set the same key on all hosts")]
    Forged,
    /// The time in the message is too far in the past or the future.
    #[error("the message's time is more than 60 s off; synchronize the clocks of the hosts")]
    Expired,
    /// A message with the same time and nonce was accepted before.
    #[error("the message was already received; send a new one")]
    Replayed,
}

/// Signs messages and verifies signatures.
#[derive(Debug)]
pub struct Authenticator<C: Clock> {
    clock: C,
    keys: Keys,
    // Invariant: contains the time and nonce of each accepted message that is not yet too old.
    accepted: RefCell<BTreeSet<(u64, u64)>>,
}

impl<C: Clock> Authenticator<C> {
    /// Creates an authenticator that signs with `key`. During a key rotation it also accepts
    /// messages signed with `previous_key`.
    pub fn new(clock: C, key: Secret, previous_key: Option<Secret>) -> Self {
        Self {
            clock,
            keys: Keys::new(key, previous_key),
            accepted: RefCell::default(),
        }
    }

    /// Adds the authentication header for `body`.
    pub fn sign(&self, headers: &mut HeaderMap, body: &[u8]) {
        let time_ms = unix_ms(self.clock.wall());
        let nonce: u64 = rand::random();
        let signed = (time_ms.to_le_bytes(), nonce.to_le_bytes());
        let mac = self.keys.sign(&[&signed.0, &signed.1, body]);
        let hex: String = mac.iter().map(|byte| format!("{byte:02x}")).collect();
        if let Ok(value) = HeaderValue::from_str(&format!("{time_ms:x}-{nonce:x}-{hex}")) {
            headers.insert(AUTH_HEADER, value);
        }
    }

    /// Verifies the header of a message against its `body`, and remembers the nonce.
    ///
    /// # Errors
    /// The header is missing, or the message is forged, expired or replayed.
    pub fn verify(&self, headers: &HeaderMap, body: &[u8]) -> Result<(), Error> {
        let value = headers
            .get(AUTH_HEADER)
            .and_then(|value| value.to_str().ok());
        let (time_ms, nonce, received_mac) = value.and_then(parse_header).ok_or(Error::Missing)?;
        let signed = (time_ms.to_le_bytes(), nonce.to_le_bytes());
        let parts: [&[u8]; 3] = [&signed.0, &signed.1, body];
        if !self.keys.is_valid(&parts, &received_mac) {
            return Err(Error::Forged);
        }
        let now_ms = unix_ms(self.clock.wall());
        let max_difference_ms = MAX_TIME_DIFFERENCE.as_millis() as u64;
        if now_ms.abs_diff(time_ms) > max_difference_ms {
            return Err(Error::Expired);
        }
        let mut accepted = self.accepted.borrow_mut();
        *accepted = accepted.split_off(&(now_ms.saturating_sub(max_difference_ms), 0));
        match accepted.insert((time_ms, nonce)) {
            true => Ok(()),
            false => Err(Error::Replayed),
        }
    }
}

fn parse_header(text: &str) -> Option<(u64, u64, [u8; MAC_BYTES])> {
    let mut parts = text.split('-');
    let time_ms = u64::from_str_radix(parts.next()?, 16).ok()?;
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    let mac = parts.next().filter(|mac| mac.len() == 2 * MAC_BYTES)?;
    let mac = u128::from_str_radix(mac, 16).ok()?;
    Some((time_ms, nonce, mac.to_be_bytes()))
}

#[cfg(test)]
mod tests;
