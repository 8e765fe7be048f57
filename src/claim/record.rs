//! Keys, claims and outcomes, and their JSON form in the log.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use uuid::Uuid;

use crate::util::hash64;

/// Number of ranges that the keys are hashed into. One write per range every 30 ms makes 133 writes
/// a second for the whole fleet; the store allows several hundred.
pub const RANGE_COUNT: u32 = 4;

/// Timeout of a claim; a grant that arrives later is not used.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum age at which a key is accepted.
pub const KEY_AGE_MAX: Duration = Duration::from_secs(600);

/// Maximum tolerated difference between a host's clock and true time.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_secs(60);

/// Age of a key beyond which its record may be deleted: [`KEY_AGE_MAX`] plus twice
/// [`CLOCK_SKEW_MAX`]. A host with a slow clock accepts a key until its true age is the maximum
/// plus one skew. A host with a fast clock then computes an age of the maximum plus two skews, and
/// must still have the record.
pub const RETENTION: Duration = Duration::from_secs(600 + 2 * 60);

/// Maximum time by which the issue of a key that another host has accepted by now lies ahead of this
/// host's clock. A host accepts keys up to one [`CLOCK_SKEW_MAX`] ahead of its clock, which may be
/// fast by another one; this host's clock may be slow by a third.
pub const ACCEPTED_KEY_LEAD_MAX: Duration = Duration::from_secs(3 * 60);

/// Maximum size of a response body that is recorded for repeats of the call.
pub const BODY_BYTES_MAX: usize = 1024;

/// The idempotency key that a caller chose for one call: a UUID of version 7.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Key(Uuid);

impl Key {
    /// Parses a key; returns `None` if it is not a UUID of version 7.
    pub fn parse(text: &str) -> Option<Self> {
        let uuid = Uuid::try_parse(text).ok()?;
        (uuid.get_version_num() == 7).then_some(Self(uuid))
    }

    /// Returns the timestamp in the UUID, in milliseconds since the Unix epoch.
    pub fn issued_ms(self) -> u64 {
        (self.0.as_u128() >> 80) as u64
    }

    /// Returns the range that the key belongs to.
    pub fn range(self) -> u32 {
        (hash64(&[self.0.as_bytes()]) % u64::from(RANGE_COUNT)) as u32
    }

    /// Returns whether the key is neither too old nor too far in the future when this host's clock
    /// shows `now_ms`.
    pub fn is_acceptable(self, now_ms: u64) -> bool {
        let issued = self.issued_ms();
        issued + KEY_AGE_MAX.as_millis() as u64 >= now_ms
            && issued <= now_ms + CLOCK_SKEW_MAX.as_millis() as u64
    }
}

/// A request for the right to run the call of a key.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Key of the call.
    #[serde(rename = "k")]
    pub key: Key,
    /// Digest of method, path and body.
    #[serde(rename = "b")]
    #[serde_as(as = "Hex")]
    pub body: [u8; 16],
    /// Digest of the caller's name.
    #[serde(rename = "a")]
    pub caller: u64,
    /// Random number that tells apart the requests with the same key.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Host that makes the claim, and runs the call if the claim is granted.
    #[serde(rename = "w")]
    pub claimant: CompactString,
    /// Timeout of the call in milliseconds.
    #[serde(rename = "l")]
    pub limit_ms: u64,
}

/// A response of a backend server, as recorded for repeats of the call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Response {
    /// HTTP status code.
    #[serde(rename = "s")]
    pub status: u16,
    /// Value of `Content-Type`, empty if there was none.
    #[serde(rename = "t")]
    pub content_type: CompactString,
    /// Body; `None` if it is longer than [`BODY_BYTES_MAX`] or not UTF-8.
    #[serde(rename = "x")]
    pub body: Option<CompactString>,
}

/// Result of the call of a granted claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The call ran, and the backend server answered.
    #[serde(rename = "a")]
    Answered(Response),
    /// The call did not run and the claimant will not run it, so the key may be claimed again.
    #[serde(rename = "n")]
    NotRun,
    /// The call may have run, so it is never run again.
    #[serde(rename = "u")]
    Unknown,
}

/// The outcome of one claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Key of the claim.
    #[serde(rename = "k")]
    pub key: Key,
    /// Nonce of the claim.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Result of the call.
    #[serde(rename = "o")]
    pub outcome: Outcome,
}

/// One line of the log: a JSON object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A claim; it is granted only when this line is in the log.
    #[serde(rename = "c")]
    Claim(Claim),
    /// The outcome of an earlier claim.
    #[serde(rename = "o")]
    Outcome(Report),
}

impl Record {
    /// Returns the key of the claim or outcome.
    pub fn key(&self) -> Key {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Outcome(report) => report.key,
        }
    }

    /// Appends the record to `text` as one line of JSON.
    pub fn write_line(&self, text: &mut String) {
        text.push_str(&serde_json::to_string(self).expect("a record serializes"));
        text.push('\n');
    }

    /// Parses `text`, which holds one record per line.
    ///
    /// # Errors
    /// A line is not a valid record.
    pub fn parse_lines(text: &str) -> Result<Vec<Self>, serde_json::Error> {
        text.lines().map(serde_json::from_str).collect()
    }
}

#[cfg(test)]
mod tests;
