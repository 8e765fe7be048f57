//! Sums over a sliding window, such as counts of requests and retries.

use std::collections::VecDeque;
use std::ops::AddAssign;
use std::time::{Duration, Instant};

/// Number of slices in which a window is counted.
const SLICES: u32 = 40;

/// Requests and retries of one time span.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Total {
    /// First attempts of requests.
    pub requests: u32,
    /// Further attempts.
    pub retries: u32,
}

impl AddAssign for Total {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.retries += other.retries;
    }
}

#[derive(Debug)]
struct Slice<T> {
    started_at: Instant,
    total: T,
}

/// A sliding window; the caller passes the time, which must not go back.
#[derive(Debug)]
pub struct Window<T = Total> {
    length: Duration,
    // Invariant: in order of time, and no slice is older than the window and one slice.
    slices: VecDeque<Slice<T>>,
}

impl Window {
    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.current_slice(now).requests += 1;
    }

    /// Counts a further attempt.
    pub fn record_retry(&mut self, now: Instant) {
        self.current_slice(now).retries += 1;
    }

    /// Takes back a retry that was not made after all.
    pub fn remove_retry(&mut self, now: Instant) {
        self.expire(now);
        let mut slices = self.slices.iter_mut().rev();
        if let Some(slice) = slices.find(|slice| slice.total.retries > 0) {
            slice.total.retries -= 1;
        }
    }

    /// Returns the retries since `from`, counting the slice that contains it in full.
    pub fn retries_since(&self, from: Instant) -> u32 {
        let slice_length = self.length / SLICES;
        let recent = self
            .slices
            .iter()
            .filter(|slice| slice.started_at + slice_length > from);
        recent.map(|slice| slice.total.retries).sum()
    }
}

impl<T: AddAssign + Copy + Default> Window<T> {
    /// Creates an empty window.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            slices: VecDeque::new(),
        }
    }

    /// Adds to the sum.
    pub fn add(&mut self, value: T, now: Instant) {
        *self.current_slice(now) += value;
    }

    /// Returns the sum over the whole window.
    pub fn total(&mut self, now: Instant) -> T {
        self.expire(now);
        let mut sum = T::default();
        for slice in &self.slices {
            sum += slice.total;
        }
        sum
    }

    // A slice counts until its last event has left the window.
    fn expire(&mut self, now: Instant) {
        let age_max = self.length + self.length / SLICES;
        while let Some(oldest) = self.slices.front()
            && now.duration_since(oldest.started_at) >= age_max
        {
            self.slices.pop_front();
        }
    }

    fn current_slice(&mut self, now: Instant) -> &mut T {
        self.expire(now);
        let slice_length = self.length / SLICES;
        let is_current = |slice: &Slice<T>| now.duration_since(slice.started_at) < slice_length;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(Slice {
                started_at: now,
                total: T::default(),
            });
        }
        let current = self.slices.back_mut().expect("a slice was just ensured");
        &mut current.total
    }
}
