//! Failure domains that are lost one after the other.
//!
//! A fault that moves through a fleet, such as a rolling power cut, takes down one failure domain at a
//! time. Where the recent losses show such an order, the domain whose last loss is longest ago is
//! expected to be lost next. Without that order nothing is expected.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Losses in one failure domain within this time count as one, as its engines are found lost one by one.
const SAME_LOSS_WITHIN: Duration = Duration::from_secs(2);

/// Number of losses that are kept.
const LOSSES_MAX: usize = 16;

/// Smallest number of losses from which an order is inferred. Any two domains are lost in some order.
const ORDERED_MIN: usize = 3;

/// Shortest mean time between losses. Domains lost closer together are lost by one cause.
const INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Multiple of the mean time between losses after which no further one is expected.
const OVERDUE_INTERVALS: u32 = 2;

/// Recent losses of whole failure domains, or of large parts of them, from which the next one is inferred.
#[derive(Debug, Default)]
pub struct Rotation {
    // Oldest first.
    losses: VecDeque<(CompactString, Instant)>,
}

impl Rotation {
    /// Records that a large part of a failure domain was lost.
    pub fn record(&mut self, domain: &str, at: Instant) {
        let last = self.losses.iter().rev().find(|(lost, _)| lost == domain);
        if last.is_some_and(|(_, last)| at < *last + SAME_LOSS_WITHIN) {
            return;
        }
        if self.losses.len() == LOSSES_MAX {
            self.losses.pop_front();
        }
        self.losses.push_back((domain.into(), at));
    }

    /// Returns whether a large part of a failure domain was lost at `since` or later.
    pub fn was_lost_since(&self, domain: &str, since: Instant) -> bool {
        let mut losses = self.losses.iter();
        losses.any(|(lost, at)| lost == domain && *at >= since)
    }

    /// Returns when a failure domain is expected to be lost next; `None` if the losses so far show no
    /// order or the next one is overdue.
    pub fn next_loss(&self, domain: &str, now: Instant) -> Option<Instant> {
        let round = self.last_round()?;
        let (_, first) = round.first()?;
        let (_, last) = round.last()?;
        let gaps = u32::try_from(round.len() - 1).ok()?;
        let interval = last.duration_since(*first).checked_div(gaps)?;
        if interval < INTERVAL_MIN || now > *last + interval * OVERDUE_INTERVALS {
            return None;
        }
        let position = round.iter().position(|(lost, _)| lost == domain)?;
        let turns = u32::try_from(position).ok()? + 1;
        Some(*last + interval * turns)
    }

    /// Returns the last loss of each failure domain, oldest first, if the domains are lost in turn.
    fn last_round(&self) -> Option<Vec<&(CompactString, Instant)>> {
        let mut round: Vec<&(CompactString, Instant)> = Vec::new();
        let mut repeated = None;
        for loss in self.losses.iter().rev() {
            if round.iter().any(|(domain, _)| *domain == loss.0) {
                repeated = Some(&loss.0);
                break;
            }
            round.push(loss);
        }
        let (last, _) = self.losses.back()?;
        let is_whole = self
            .losses
            .iter()
            .all(|(lost, _)| round.iter().any(|(domain, _)| domain == lost));
        let is_in_turn = is_whole && repeated.is_none_or(|domain| domain == last);
        if !is_in_turn || round.len() < 2 || self.losses.len() < ORDERED_MIN {
            return None;
        }
        round.reverse();
        Some(round)
    }
}

#[cfg(test)]
mod tests;
