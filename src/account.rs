//! Account of served and refused work for each partner.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::http::problem::Reason;

/// Totals of one partner.
///
/// Invariant: `submitted == served + refused.values().sum() + failed + running`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Account {
    /// Requests that arrived.
    pub submitted: u64,
    /// Requests that were answered in full.
    pub served: u64,
    /// Requests that did not run, by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Requests that ran in part, or whose outcome is unknown.
    pub failed: u64,
    /// Requests that wait or run.
    pub running: u64,
    /// Work charged, in tokens; only served work is charged.
    pub charged_tokens: u64,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Answered in full, with so many tokens of work.
    Served(u64),
    /// Did not run.
    Refused(Reason),
    /// Ran in part, or its outcome is unknown.
    Failed,
}

/// The accounts of all partners on this host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger(BTreeMap<CompactString, Account>);

impl Ledger {
    /// Notes the arrival of a request.
    pub fn submit(&mut self, partner: &CompactString) {
        let account = self.0.entry(partner.clone()).or_default();
        account.submitted += 1;
        account.running += 1;
    }

    /// Notes the end of a request that was submitted before.
    pub fn end(&mut self, partner: &CompactString, outcome: Outcome) {
        let account = self.0.entry(partner.clone()).or_default();
        debug_assert!(account.running > 0, "each end follows a submission");
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
