//! Keys, claims and outcomes, and how the log holds them.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use uuid::Uuid;

use crate::util::hash64;

/// Number of ranges: at one write per range each 30 ms this makes 133 writes a second for the
/// fleet, which several hundred allow.
pub const RANGES: u32 = 4;

/// Age up to which a key is accepted.
pub const WINDOW: Duration = Duration::from_secs(600);

/// Greatest tolerated difference between a host's clock and true time.
pub const CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Age from which a record may be dropped. A host whose clock is slow by the tolerated skew
/// accepts a key until its age is the window plus one skew; a host whose clock is fast by it
/// reaches that moment when its own clock shows one skew more.
pub const RETENTION: Duration = Duration::from_secs(600 + 2 * 60);

/// Greatest size of an answer's body that is kept, in bytes.
pub const BODY_LIMIT: usize = 1024;

/// A key that a caller chose for one call: a UUID of version 7.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Key(Uuid);

impl Key {
    /// Reads a key, `None` if it is not a UUID of version 7.
    pub fn parse(text: &str) -> Option<Self> {
        let uuid = Uuid::try_parse(text).ok()?;
        (uuid.get_version_num() == 7).then_some(Self(uuid))
    }

    /// Returns the time of issue in milliseconds since the Unix epoch.
    pub fn time_ms(self) -> u64 {
        (self.0.as_u128() >> 80) as u64
    }

    /// Returns the range that the key belongs to.
    pub fn range(self) -> u32 {
        (hash64(&[self.0.as_bytes()]) % u64::from(RANGES)) as u32
    }

    /// Returns whether the key is inside the window at `now_ms` of this host's clock.
    pub fn is_acceptable(self, now_ms: u64) -> bool {
        let issued = self.time_ms();
        issued + WINDOW.as_millis() as u64 >= now_ms
            && issued <= now_ms + CLOCK_SKEW.as_millis() as u64
    }
}

/// A request to run the call of a key.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The key.
    #[serde(rename = "k")]
    pub key: Key,
    /// Digest of method, path and body.
    #[serde(rename = "b")]
    #[serde_as(as = "Hex")]
    pub body: [u8; 16],
    /// Digest of the caller's name.
    #[serde(rename = "a")]
    pub caller: u64,
    /// Drawn by the claimant for each request of a caller.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Host that asks, and runs the call if granted.
    #[serde(rename = "w")]
    pub claimant: CompactString,
    /// Longest time for the call in milliseconds.
    #[serde(rename = "l")]
    pub limit_ms: u64,
}

/// An answer of a backend server, as it is kept for repeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answered {
    /// Status code.
    #[serde(rename = "s")]
    pub status: u16,
    /// Value of `Content-Type`, empty if there was none.
    #[serde(rename = "t")]
    pub content_type: CompactString,
    /// Body; `None` if it is longer than [`BODY_LIMIT`] or not UTF-8.
    #[serde(rename = "x")]
    pub body: Option<CompactString>,
}

/// What became of a granted claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The call ran and was answered.
    #[serde(rename = "a")]
    Answered(Answered),
    /// The call did not run, and the claimant will not run it.
    #[serde(rename = "n")]
    NotRun,
    /// The call may have run.
    #[serde(rename = "u")]
    Unknown,
}

/// The outcome of one claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// The key.
    #[serde(rename = "k")]
    pub key: Key,
    /// Nonce of the claim.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// What became of it.
    #[serde(rename = "o")]
    pub outcome: Outcome,
}

/// One line of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A claim, which is granted once this line is in the log.
    #[serde(rename = "c")]
    Claim(Claim),
    /// An outcome.
    #[serde(rename = "o")]
    Outcome(Report),
}

impl Record {
    /// Returns the key.
    pub fn key(&self) -> Key {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Outcome(report) => report.key,
        }
    }

    /// Appends the record to `text` as one line.
    pub fn write(&self, text: &mut String) {
        text.push_str(&serde_json::to_string(self).expect("a record serializes"));
        text.push('\n');
    }

    /// Reads the records of `text`.
    ///
    /// # Errors
    /// A line is not a record.
    pub fn read_all(text: &str) -> Result<Vec<Self>, serde_json::Error> {
        text.lines().map(serde_json::from_str).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a record that is dropped while some host still accepts its key.
    #[test]
    fn keys_outlive_their_window() {
        let key = Key::parse("018bcfe5-6800-7000-8000-000000000001").unwrap();
        let issued = key.time_ms();
        assert_eq!(issued, 1_700_000_000_000);
        assert!(key.is_acceptable(issued + 600_000) && key.is_acceptable(issued - 60_000));
        assert!(!key.is_acceptable(issued + 600_001) && !key.is_acceptable(issued - 60_001));
        assert_eq!(RETENTION, WINDOW + 2 * CLOCK_SKEW);
        for other in ["", "018bcfe5-6800-4000-8000-000000000001", "018bcfe5"] {
            assert!(Key::parse(other).is_none(), "{other}");
        }
    }
}
