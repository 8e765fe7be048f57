//! Reading speed of an engine: the prompt tokens that it reads in a millisecond.
//!
//! It is learned from the times between sending requests and their first events. Few requests of one
//! host go to the same engine, so the sums of all hosts are added up.

use std::time::{Duration, Instant};

/// Time in which sums of earlier readings halve. An engine that was slow and is therefore not chosen
/// counts as an average one again after a few times as long.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Speed of an engine before any of its service is known, in prompt tokens a millisecond.
const SPEED_DEFAULT: f64 = 5.0;

/// Weight of the mean speed in an engine's own, as a number of tokens read at the mean speed. It keeps one
/// short reading from setting the speed.
const PRIOR_TOKENS: f64 = 4000.0;

/// Ratio to the mean speed, either way, up to which an engine has the mean speed. Prompts that other hosts sent
/// at the same time, unknown to this one, change a reading by as much.
const EVEN_RATIO: f64 = 1.4;

/// Bounds on a speed, in prompt tokens a millisecond. They limit what wrong reports of other hosts can do.
const SPEED_MIN: f64 = 0.05;
const SPEED_MAX: f64 = 1000.0;

/// Time from the end of reading to the first event.
pub const STEP: Duration = Duration::from_millis(30);

/// Lower bound on a reading time, as little may be left once [`STEP`] is subtracted.
const TIME_MIN: Duration = Duration::from_millis(1);

/// Prompt tokens that were read, and the time that it took.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reading {
    /// Tokens.
    pub tokens: u64,
    /// Time in milliseconds.
    pub ms: u64,
}

impl Reading {
    /// Adds what others saw.
    pub fn add(&mut self, other: &Self) {
        self.tokens += other.tokens;
        self.ms += other.ms;
    }

    /// Undoes [`Reading::add`].
    pub fn subtract(&mut self, other: &Self) {
        self.tokens -= other.tokens;
        self.ms -= other.ms;
    }
}

/// Sums of readings, of which earlier ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Readings {
    tokens: f64,
    ms: f64,
    updated_at: Option<Instant>,
}

impl Readings {
    /// Records that a prompt of which `tokens` had to be read had its first event after `took`, where
    /// `queued` tokens of other prompts were to be read first. Each of these counts with its own prompt.
    pub fn record(&mut self, tokens: u64, queued: u64, took: Duration, now: Instant) {
        let share_left = self.share_left(now);
        let part = tokens as f64 / tokens.saturating_add(queued).max(1) as f64;
        let took = took.saturating_sub(STEP).max(TIME_MIN).mul_f64(part);
        self.tokens = self.tokens * share_left + tokens as f64;
        self.ms = self.ms * share_left + took.as_secs_f64() * 1000.0;
        self.updated_at = Some(now);
    }

    /// Returns the sums as of `now`.
    pub fn sums(&self, now: Instant) -> Reading {
        let share = self.share_left(now);
        Reading {
            tokens: (self.tokens * share) as u64,
            ms: (self.ms * share) as u64,
        }
    }

    fn share_left(&self, now: Instant) -> f64 {
        let age = self.updated_at.map(|at| now.duration_since(at));
        let half_lives = age.unwrap_or_default().as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }
}

/// Prompt tokens that an engine reads in a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed(f64);

impl Default for Speed {
    fn default() -> Self {
        Self(SPEED_DEFAULT)
    }
}

impl Speed {
    /// Returns the mean speed of engines that together read this.
    pub fn mean(all: Reading) -> Self {
        Self::default().updated(all)
    }

    /// Returns the speed of an engine that read this, where `self` is the mean speed of the engines of
    /// its service.
    #[must_use]
    pub fn updated(self, reading: Reading) -> Self {
        let tokens = reading.tokens as f64 + PRIOR_TOKENS;
        let ms = reading.ms as f64 + PRIOR_TOKENS / self.0;
        Self((tokens / ms).clamp(SPEED_MIN, SPEED_MAX))
    }

    /// Returns `mean` if this speed differs from it by less than readings of equal engines do.
    #[must_use]
    pub fn or_even(self, mean: Self) -> Self {
        let ratio = self.0 / mean.0;
        match (EVEN_RATIO.recip()..=EVEN_RATIO).contains(&ratio) {
            true => mean,
            false => self,
        }
    }

    /// Returns the time in which an engine reads `tokens`.
    pub fn time(self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.0 / 1000.0)
    }
}

/// Returns the tokens that an engine reads in a second on average, by the sums of its readings and the
/// time since when it is known.
pub fn tokens_per_s(reading: Reading, known_for: Duration) -> f64 {
    let half_life_s = HALF_LIFE.as_secs_f64();
    // At a constant rate, the sums approach as much as is read in this time.
    let settled_s = half_life_s / std::f64::consts::LN_2;
    let approached = 1.0 - 0.5_f64.powf(known_for.as_secs_f64() / half_life_s);
    reading.tokens as f64 / (settled_s * approached).max(1.0)
}
