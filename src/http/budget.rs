//! Budget of the memory and the connections that a process holds for callers.
//!
//! Each connection is charged a fixed amount for its buffers, and the capacity of the buffers of its
//! request body. When the budget is used up, the connection that has kept the process waiting longest is
//! closed, of the owner that holds most. If there is none, the newcomer is refused.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use crate::supervisor::Signal;

/// Memory that is charged for a connection: its read buffer, the part of an answer that waits to be
/// written, and the state of the request.
pub const CONNECTION_BYTES: usize = 24 * 1024;

/// Divisor: callers may hold one part in this many of the process's memory. The rest is for the process
/// itself, for connections to engines and for what the allocator does not reuse.
const MEMORY_SHARE: usize = 3;

/// Divisor: one part in this many of the memory and of the connections is kept for owners that hold less than
/// such a part themselves, so that one owner cannot shut out the others.
const RESERVE_SHARE: usize = 4;

/// Descriptors that are set aside for files.
const FILE_DESCRIPTORS: usize = 200;

/// Sockets for the store, other hosts, readiness checks and idle connections to engines: one in this many of
/// all (a divisor), with an upper bound.
const OTHER_SOCKETS_SHARE: usize = 8;
const OTHER_SOCKETS_MAX: usize = 64;

/// Time for which a connection must have kept the process waiting before it is closed in favour of
/// another one of its owner. A body that is just arriving pauses for less.
const STALL_MIN: Duration = Duration::from_secs(1);

const BYTES_PER_MB: usize = 1024 * 1024;

new_key_type! {
    /// Identifies a connection in a [`Budget`].
    pub struct ConnectionKey;
}

/// What a process may hold for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Memory in bytes.
    pub bytes: usize,
    /// Number of connections.
    pub connections: usize,
}

impl Limits {
    /// Derives the limits from those of the process: memory in MB and descriptors. What is `None` is
    /// not limited.
    pub fn of_process(memory_mb: Option<u32>, max_fds: Option<u32>) -> Self {
        let bytes = |mb: u32| (mb as usize).saturating_mul(BYTES_PER_MB) / MEMORY_SHARE;
        // A running request has a connection from its caller and one to its engine.
        let connections = |fds: u32| {
            let sockets = (fds as usize).saturating_sub(FILE_DESCRIPTORS);
            let others = (sockets / OTHER_SOCKETS_SHARE).min(OTHER_SOCKETS_MAX);
            ((sockets - others) / 2).max(1)
        };
        Self {
            bytes: memory_mb.map_or(usize::MAX, bytes),
            connections: max_fds.map_or(usize::MAX, connections),
        }
    }

    fn reserve(&self) -> usize {
        self.bytes / RESERVE_SHARE
    }
}

/// A limit of the process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Bound {
    /// Memory.
    Memory,
    /// Descriptors.
    Descriptors,
}

impl Bound {
    /// Returns the value written to logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }
}

/// What was done at a limit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Action {
    /// A connection that kept the process waiting was closed.
    Closed,
    /// A request or a new connection was refused.
    Refused,
}

impl Action {
    /// Returns the value written to logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Refused => "refused",
        }
    }
}

/// Number of times that something was done at a limit.
pub type Actions = BTreeMap<(Bound, Action), u64>;

/// The budget is used up, and no connection can be closed for the newcomer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the budget for callers is used up; retry later")]
pub struct Exhausted;

/// Whom the memory and the connections count for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Owner {
    /// A peer whose key is not known.
    Address(IpAddr),
    /// A team.
    Team(CompactString),
}

/// What a connection waits for its peer to do. Waiting for an engine is not included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wait {
    /// The next request.
    Request,
    /// The rest of the body.
    Body,
    /// Room for the answer in the socket.
    Answer,
}

/// Number of variants of [`Wait`], each of which has its own time in a connection.
const WAITS: usize = 3;

#[derive(Debug)]
struct Connection {
    owner: Owner,
    // Bytes held beside [`CONNECTION_BYTES`].
    bytes: usize,
    // Since when the connection waits for its peer, by what it waits for.
    waits: [Option<Instant>; WAITS],
    closing: Signal,
}

impl Connection {
    fn stalled_since(&self) -> Option<Instant> {
        self.waits.iter().flatten().min().copied()
    }

    fn charge(&self) -> usize {
        CONNECTION_BYTES.saturating_add(self.bytes)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    bytes: usize,
    connections: usize,
}

#[derive(Debug)]
struct State {
    limits: Limits,
    // Connections that were not closed. Invariant: `total` and `usages` are their sums.
    connections: SlotMap<ConnectionKey, Connection>,
    total: Usage,
    usages: BTreeMap<Owner, Usage>,
    // Not yet taken with `take_actions`.
    actions: Actions,
}

/// The budget of a process. Clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Rc<RefCell<State>>);

/// A connection in the budget, which leaves it when dropped.
#[derive(Debug)]
pub struct OpenConnection {
    budget: Budget,
    /// Identifies the connection.
    pub key: ConnectionKey,
    /// Set when the connection must be closed.
    pub closing: Signal,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.budget.0.borrow_mut().remove(self.key);
    }
}

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: Limits) -> Self {
        Self(Rc::new(RefCell::new(State {
            limits,
            connections: SlotMap::with_key(),
            total: Usage::default(),
            usages: BTreeMap::new(),
            actions: Actions::new(),
        })))
    }

    /// Adds a connection, in place of another one if necessary.
    ///
    /// # Errors
    /// [`Exhausted`] if the connection must be closed at once.
    pub fn open(&self, address: IpAddr, now: Instant) -> Result<OpenConnection, Exhausted> {
        let mut state = self.0.borrow_mut();
        let owner = Owner::Address(address);
        if state.total.connections >= state.limits.connections
            && !state.close_one(Bound::Descriptors, &owner, None, now)
        {
            return Err(state.refuse(Bound::Descriptors));
        }
        state.make_room(&owner, None, CONNECTION_BYTES, now)?;
        let closing = Signal::default();
        let mut waits = [None; WAITS];
        waits[Wait::Request as usize] = Some(now);
        let connection = Connection {
            owner,
            bytes: 0,
            waits,
            closing: closing.clone(),
        };
        let key = state.insert(connection);
        drop(state);
        Ok(OpenConnection {
            budget: self.clone(),
            key,
            closing,
        })
    }

    /// Admits a request, whose connection counts for `team` from now on if that is known.
    ///
    /// # Errors
    /// [`Exhausted`] if the request must be refused, so that others find a connection.
    pub fn admit(
        &self,
        key: ConnectionKey,
        team: Option<&CompactString>,
        now: Instant,
    ) -> Result<(), Exhausted> {
        let mut state = self.0.borrow_mut();
        let Some(connection) = state.connections.get(key) else {
            return Err(Exhausted);
        };
        let known = connection.owner.clone();
        let owner = team.map_or(known.clone(), |team| Owner::Team(team.clone()));
        if owner != known {
            state.update(key, |connection| connection.owner = owner.clone());
        }
        while !state.has_connection(&owner) {
            if !state.close_one(Bound::Descriptors, &owner, Some(key), now) {
                return Err(state.refuse(Bound::Descriptors));
            }
        }
        Ok(())
    }

    /// Records since when the connection waits for its peer; `None` if it does not.
    pub fn set_wait(&self, key: ConnectionKey, wait: Wait, since: Option<Instant>) {
        if let Some(connection) = self.0.borrow_mut().connections.get_mut(key) {
            connection.waits[wait as usize] = since;
        }
    }

    /// Reserves memory for a body, for which other connections may be closed.
    ///
    /// # Errors
    /// [`Exhausted`] if the request must be refused.
    pub fn grow(&self, key: ConnectionKey, bytes: usize, now: Instant) -> Result<(), Exhausted> {
        let mut state = self.0.borrow_mut();
        let Some(connection) = state.connections.get(key) else {
            return Err(Exhausted);
        };
        let owner = connection.owner.clone();
        state.make_room(&owner, Some(key), bytes, now)?;
        state.update(key, |connection| connection.bytes += bytes);
        Ok(())
    }

    /// Releases memory.
    pub fn shrink(&self, key: ConnectionKey, bytes: usize) {
        let mut state = self.0.borrow_mut();
        if state.connections.contains_key(key) {
            state.update(key, |connection| {
                connection.bytes = connection.bytes.saturating_sub(bytes);
            });
        }
    }

    /// Returns the bytes and the number of connections in use.
    pub fn usage(&self) -> (usize, usize) {
        let total = self.0.borrow().total;
        (total.bytes, total.connections)
    }

    /// Returns what was done at a limit since the last call.
    pub fn take_actions(&self) -> Actions {
        std::mem::take(&mut self.0.borrow_mut().actions)
    }
}

impl State {
    fn insert(&mut self, connection: Connection) -> ConnectionKey {
        self.add(&connection);
        self.connections.insert(connection)
    }

    fn remove(&mut self, key: ConnectionKey) -> Option<Connection> {
        let connection = self.connections.remove(key)?;
        self.subtract(&connection);
        Some(connection)
    }

    fn update(&mut self, key: ConnectionKey, change: impl FnOnce(&mut Connection)) {
        // The key must stay, so the connection is not removed and inserted.
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let (owner, before) = (connection.owner.clone(), connection.charge());
        change(connection);
        let (new_owner, after) = (connection.owner.clone(), connection.charge());
        self.subtract_usage(&owner, before);
        self.add_usage(new_owner, after);
    }

    fn add(&mut self, connection: &Connection) {
        self.add_usage(connection.owner.clone(), connection.charge());
    }

    fn subtract(&mut self, connection: &Connection) {
        self.subtract_usage(&connection.owner, connection.charge());
    }

    fn add_usage(&mut self, owner: Owner, bytes: usize) {
        for usage in [&mut self.total, self.usages.entry(owner).or_default()] {
            usage.bytes += bytes;
            usage.connections += 1;
        }
    }

    fn subtract_usage(&mut self, owner: &Owner, bytes: usize) {
        self.total.bytes -= bytes;
        self.total.connections -= 1;
        if let Some(usage) = self.usages.get_mut(owner) {
            usage.bytes -= bytes;
            usage.connections -= 1;
            if usage.connections == 0 {
                self.usages.remove(owner);
            }
        }
    }

    fn usage_of(&self, owner: &Owner) -> Usage {
        self.usages.get(owner).copied().unwrap_or_default()
    }

    fn has_room(&self, owner: &Owner, bytes: usize) -> bool {
        let total = self.total.bytes.saturating_add(bytes);
        let reserve = self.limits.reserve();
        let is_small = self.usage_of(owner).bytes.saturating_add(bytes) <= reserve;
        total <= self.limits.bytes - reserve || (is_small && total <= self.limits.bytes)
    }

    /// Returns whether a request of `owner` may use its connection.
    fn has_connection(&self, owner: &Owner) -> bool {
        let reserve = self.limits.connections / RESERVE_SHARE;
        self.total.connections <= self.limits.connections - reserve
            || self.usage_of(owner).connections <= reserve
    }

    fn make_room(
        &mut self,
        owner: &Owner,
        key: Option<ConnectionKey>,
        bytes: usize,
        now: Instant,
    ) -> Result<(), Exhausted> {
        // No room can be made for what never fits.
        if bytes > self.limits.bytes {
            return Err(self.refuse(Bound::Memory));
        }
        while !self.has_room(owner, bytes) {
            if !self.close_one(Bound::Memory, owner, key, now) {
                return Err(self.refuse(Bound::Memory));
            }
        }
        Ok(())
    }

    /// Closes the connection that has kept the process waiting longest, of the owner that uses most;
    /// returns whether there is one that may be closed for a newcomer of `owner`. An owner makes no
    /// room for one that uses as much, and its own connections and unread answers get some time.
    fn close_one(
        &mut self,
        bound: Bound,
        owner: &Owner,
        spared: Option<ConnectionKey>,
        now: Instant,
    ) -> bool {
        let used = |owner: &Owner| {
            let usage = self.usage_of(owner);
            match bound {
                Bound::Memory => usage.bytes,
                Bound::Descriptors => usage.connections,
            }
        };
        let own = used(owner);
        let candidate = |(key, connection): (ConnectionKey, &Connection)| {
            let since = connection.stalled_since()?;
            let stalled = now.saturating_duration_since(since);
            let uses = used(&connection.owner);
            let is_own = connection.owner == *owner;
            // The request of an unread answer runs, and its caller may read on in a moment.
            let is_answered = connection.waits[Wait::Answer as usize].is_some();
            let has_stalled = stalled >= STALL_MIN || !(is_own || is_answered);
            let may_close = Some(key) != spared && (is_own || uses > own) && has_stalled;
            may_close.then_some((uses, stalled, key))
        };
        let victim = self.connections.iter().filter_map(candidate).max();
        let Some((_, _, key)) = victim else {
            return false;
        };
        if let Some(connection) = self.remove(key) {
            connection.closing.set();
        }
        *self.actions.entry((bound, Action::Closed)).or_default() += 1;
        true
    }

    fn refuse(&mut self, bound: Bound) -> Exhausted {
        *self.actions.entry((bound, Action::Refused)).or_default() += 1;
        Exhausted
    }
}

#[cfg(test)]
mod tests;
