//! Reads the bodies of requests within the memory budget of the process.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};

use super::refusal::{RETRY_AFTER_SHORT, Refusal};
use crate::clock::Clock;
use crate::http::budget::{Budget, ConnectionKey, Exhausted, Wait};
use crate::http::problem::Reason;
use crate::util::within;

/// Smallest capacity of a buffer for a body, which saves small bodies in many parts the reallocations.
const CAPACITY_MIN: usize = 1024;

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size in bytes.
    pub bytes_max: usize,
    /// Longest time in which no part of the body arrives.
    pub idle_timeout: Duration,
    /// When the whole body must have arrived.
    pub deadline: Instant,
}

/// A connection's part of the budget of the process, to which the memory of its bodies is charged.
#[derive(Clone, Debug)]
pub struct Account {
    budget: Budget,
    key: ConnectionKey,
}

impl Account {
    /// Admits a request that arrived on the connection `key`, of `team` if it has one.
    ///
    /// # Errors
    /// [`Refusal`] if the connections that are left are kept for others.
    pub fn admit(
        budget: &Budget,
        key: ConnectionKey,
        team: Option<&CompactString>,
        now: Instant,
    ) -> Result<Self, Refusal> {
        let admitted = budget.admit(key, team, now);
        admitted.map_err(|Exhausted| {
            let detail = "this host has no connection left for the request; retry";
            overloaded(detail)
        })?;
        Ok(Self {
            budget: budget.clone(),
            key,
        })
    }

    /// Records that the body is awaited, until the guard is dropped.
    fn wait(&self, since: Instant) -> BodyWait<'_> {
        self.budget.set_wait(self.key, Wait::Body, Some(since));
        BodyWait(self)
    }
}

/// Marks a connection as waiting for a part of its body until it is dropped.
#[derive(Debug)]
struct BodyWait<'a>(&'a Account);

impl Drop for BodyWait<'_> {
    fn drop(&mut self) {
        self.0.budget.set_wait(self.0.key, Wait::Body, None);
    }
}

/// Memory that is charged to an account until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Option<Account>,
    bytes: usize,
}

impl Reservation {
    fn grow(&mut self, bytes: usize, now: Instant) -> Result<(), Exhausted> {
        if let Some(account) = &self.account {
            account.budget.grow(account.key, bytes, now)?;
        }
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(account) = &self.account {
            account.budget.shrink(account.key, self.bytes);
        }
    }
}

/// A body that has arrived.
#[derive(Clone, Debug)]
pub struct ReceivedBody {
    /// The whole body.
    pub bytes: Bytes,
    /// Memory that the body is charged for.
    pub reservation: Rc<Reservation>,
}

/// A growing body.
///
/// The parts of a body are copied, since a part may be a single byte and keep a read buffer.
#[derive(Debug)]
struct Buffer {
    bytes: Vec<u8>,
    // Invariant: covers the capacity of `bytes`.
    reservation: Reservation,
}

impl Buffer {
    /// Appends `part`; the capacity grows to `capacity_max`, or to what is needed.
    fn append(&mut self, part: &[u8], capacity_max: usize, now: Instant) -> Result<(), Exhausted> {
        let size = self.bytes.len() + part.len();
        let reserved = self.reservation.bytes;
        if size > reserved {
            let doubled = (reserved * 2).max(CAPACITY_MIN).min(capacity_max);
            let capacity = size.max(doubled);
            self.reservation.grow(capacity - reserved, now)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }
}

/// Reads a whole body.
///
/// # Errors
/// [`Refusal`] if the body exceeds a limit, or its connection fails.
pub async fn read_body<C: Clock>(
    body: &mut Incoming,
    limits: Limits,
    account: Option<Account>,
    clock: &C,
) -> Result<ReceivedBody, Refusal> {
    let mut buffer = Buffer {
        bytes: Vec::new(),
        reservation: Reservation {
            account: account.clone(),
            bytes: 0,
        },
    };
    let capacity_max = body.size_hint().exact().unwrap_or(u64::MAX);
    let capacity_max = limits
        .bytes_max
        .min(usize::try_from(capacity_max).unwrap_or(usize::MAX));
    loop {
        let now = clock.now();
        let waiting = account.as_ref().map(|account| account.wait(now));
        let left = limits.deadline.saturating_duration_since(now);
        let frame = within(left.min(limits.idle_timeout), body.frame()).await;
        drop(waiting);
        let Some(frame) = frame else {
            return Err(late());
        };
        let Some(frame) = frame else {
            return Ok(ReceivedBody {
                bytes: buffer.bytes.into(),
                reservation: Rc::new(buffer.reservation),
            });
        };
        let Ok(part) = frame.map_err(|_| malformed())?.into_data() else {
            continue;
        };
        if buffer.bytes.len() + part.len() > limits.bytes_max {
            return Err(too_long(limits.bytes_max));
        }
        let appended = buffer.append(&part, capacity_max, clock.now());
        appended
            .map_err(|Exhausted| overloaded("this host has no memory left for the body; retry"))?;
    }
}

fn late() -> Refusal {
    let detail = "the body did not arrive in time; send it again";
    Refusal::not_run(Reason::NoEngine, detail, RETRY_AFTER_SHORT)
}

fn malformed() -> Refusal {
    let detail = "the body is truncated or malformed; send it again";
    Refusal::permanent(Reason::BadRequest, detail)
}

fn too_long(limit: usize) -> Refusal {
    let detail = format!("the body is longer than {limit} bytes; shorten it");
    Refusal::permanent(Reason::PromptTooLong, detail)
}

fn overloaded(detail: &str) -> Refusal {
    Refusal::not_run(Reason::Overloaded, detail, RETRY_AFTER_SHORT)
}
