//! What the gateway needs from the protocol around it; an adapter implements both traits.

use std::time::Duration;

use compact_str::CompactString;
use hyper::Response;
use hyper::header::HeaderMap;

use super::call::{Answer, Call, Invalid, Sending};
use crate::config::routes::Revision;
use crate::route::registry::Registration;

/// Translates heads between the wire and the gateway's types.
pub trait Protocol: 'static {
    /// Path of the question whether this host takes new connections.
    const READY_PATH: &'static str;

    /// Decodes what a caller's head says.
    ///
    /// # Errors
    /// [`Invalid`] if the request cannot be served as it is.
    fn call(headers: &HeaderMap) -> Result<Call, Invalid>;

    /// Returns the caller's headers that are passed on with each attempt.
    fn passed_on(headers: &HeaderMap) -> HeaderMap;

    /// Adds the headers of one attempt.
    fn attempt(headers: &mut HeaderMap, sending: &Sending<'_>);

    /// Decodes what an engine's head says about the request `id`.
    fn answer(head: &Response<()>, id: &str) -> Answer;

    /// Completes the head of an answer that no engine gave.
    fn own_answer(headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);
}

/// What was read, and the revision of the directory to go on from.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// What was read.
    pub items: Vec<T>,
    /// Entries that could not be read.
    pub unreadable: usize,
    /// Revision of the directory.
    pub at: u64,
}

/// A change of a registration.
#[derive(Clone, Debug)]
pub enum Change {
    /// An engine registered, or changed what it says.
    Registered(Registration),
    /// The engine with this id is gone.
    Removed(CompactString),
}

/// Why the directory gave no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Unavailable {
    /// The changes since that revision are not known any more.
    #[error("the history is gone; read everything again")]
    HistoryGone,
    /// No answer.
    #[error("{0}")]
    NoAnswer(String),
}

/// Where the configuration and the engines are registered.
pub trait Directory: Clone + 'static {
    /// Returns the configuration; the last item is in force.
    ///
    /// # Errors
    /// See [`Unavailable`].
    fn revision(&self) -> impl Future<Output = Result<Listing<Revision>, Unavailable>>;

    /// Waits for a newer configuration, for at most `wait`; the last item is in force.
    ///
    /// # Errors
    /// See [`Unavailable`].
    fn revision_changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing<Revision>, Unavailable>>;

    /// Decodes a configuration that another host read; `None` if it cannot be read.
    fn decode_revision(&self, source: &str) -> Option<Revision>;

    /// Returns all engines.
    ///
    /// # Errors
    /// See [`Unavailable`].
    fn engines(&self) -> impl Future<Output = Result<Listing<Registration>, Unavailable>>;

    /// Waits for changes of engines, for at most `wait`.
    ///
    /// # Errors
    /// See [`Unavailable`].
    fn engine_changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing<Change>, Unavailable>>;
}
