//! Per-partner counts of served, refused and failed requests.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::http::problem::Reason;

/// Request counts and charged work of one partner.
///
/// Invariant: `submitted == served + refused.values().sum() + failed + running`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Requests received.
    pub submitted: u64,
    /// Requests answered in full.
    pub served: u64,
    /// Requests that were not executed, by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Requests that were executed in part or whose outcome is unknown.
    pub failed: u64,
    /// Requests that are queued or running.
    pub running: u64,
    /// Tokens charged; only served requests are charged.
    pub charged_tokens: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered in full; the value is the number of tokens to charge.
    Served(u64),
    /// Was not executed.
    Refused(Reason),
    /// Was executed in part, or its outcome is unknown.
    Failed,
}

/// The accounts of all partners on this host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger(BTreeMap<CompactString, Account>);

impl Ledger {
    /// Records the arrival of a request.
    pub fn submit(&mut self, partner: &CompactString) {
        let account = self.0.entry(partner.clone()).or_default();
        account.submitted += 1;
        account.running += 1;
    }

    /// Records the outcome of a submitted request.
    pub fn end(&mut self, partner: &CompactString, outcome: Outcome) {
        let account = self.0.entry(partner.clone()).or_default();
        debug_assert!(
            account.running > 0,
            "a request ended that was not submitted"
        );
        account.running = account.running.saturating_sub(1);
        match outcome {
            Outcome::Served(tokens) => {
                account.served += 1;
                account.charged_tokens += tokens;
            }
            Outcome::Refused(reason) => *account.refused.entry(reason).or_default() += 1,
            Outcome::Failed => account.failed += 1,
        }
    }

    /// Returns the accounts by partner.
    pub fn accounts(&self) -> &BTreeMap<CompactString, Account> {
        &self.0
    }
}
