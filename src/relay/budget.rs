//! Limit on resumes of one host, as a share of its running and recent requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which requests and resumes count as recent.
const WINDOW: Duration = Duration::from_secs(10);

/// Length of one entry of the window.
const SLICE: Duration = Duration::from_millis(500);

/// Resumes that are always allowed within the window, so that a quiet host can resume at all.
const BASE: u32 = 16;

/// Percentage of running and recent requests that may be resumed within the window. A third of the
/// engines may be lost together, and their generations must resume without delay.
const SHARE_PERCENT: u32 = 50;

/// Delay that each resume over the limit adds for the next one.
const DELAY_STEP: Duration = Duration::from_millis(20);

/// Longest delay. Together with the detection of silence it stays within the 4 s in which output
/// has to go on.
const DELAY_MAX: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Slice {
    since: Instant,
    started: u32,
    resumed: u32,
}

/// Counts requests and resumes; an exhausted budget delays resumes and refuses none.
#[derive(Debug, Default)]
pub struct Budget {
    running: u32,
    // Invariant: in order of time, at most WINDOW / SLICE + 1 entries.
    slices: VecDeque<Slice>,
}

impl Budget {
    /// Notes the start of a request.
    pub fn start(&mut self, now: Instant) {
        self.running += 1;
        self.slice(now).started += 1;
    }

    /// Notes the end of a request.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Notes a resume and returns the delay after which it may start.
    pub fn resume(&mut self, now: Instant) -> Duration {
        self.slice(now).resumed += 1;
        let (started, resumed) = self
            .slices
            .iter()
            .fold((0, 0), |(started, resumed), slice| {
                (started + slice.started, resumed + slice.resumed)
            });
        let allowed = BASE + (self.running + started) * SHARE_PERCENT / 100;
        (DELAY_STEP * resumed.saturating_sub(allowed)).min(DELAY_MAX)
    }

    fn slice(&mut self, now: Instant) -> &mut Slice {
        while let Some(first) = self.slices.front()
            && now.duration_since(first.since) >= WINDOW
        {
            self.slices.pop_front();
        }
        let is_current = |slice: &Slice| now.duration_since(slice.since) < SLICE;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(Slice {
                since: now,
                started: 0,
                resumed: 0,
            });
        }
        self.slices.back_mut().expect("an entry was just ensured")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a budget that slows the loss of a third of the engines, that lets a storm
    /// of resumes through at once, or that delays beyond the limit.
    #[test]
    fn delays_only_a_storm() {
        let mut budget = Budget::default();
        let now = Instant::now();
        for _ in 0..300 {
            budget.start(now);
        }
        let delays: Vec<_> = (0..2000).map(|_| budget.resume(now)).collect();
        assert!(delays[..100].iter().all(Duration::is_zero));
        assert!(delays[400] > Duration::ZERO);
        assert_eq!(delays[1999], DELAY_MAX);
        for _ in 0..300 {
            budget.end();
        }
        assert_eq!(budget.resume(now + WINDOW + SLICE), Duration::ZERO);
    }
}
