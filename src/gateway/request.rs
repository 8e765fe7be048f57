//! A request that may be sent to an engine.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderMap;

use super::call::Call;
use super::intake::Reservation;
use crate::config::routes::Route;
use crate::report::trace::Trace;
use crate::route::held::Prefix;
use crate::route::prompt::Prompt;
use crate::route::registry::{Engine, Need, Versions};

/// A request whose route and key were checked and whose body has arrived.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The decoded head.
    pub call: Call,
    /// Digest of the request, which is the same for all attempts of its caller.
    pub digest: u64,
    /// Hashes of the parts of the prompt.
    pub prompt: Prompt,
    /// Beginnings of the prompt that engines may hold.
    pub prefixes: Vec<Prefix>,
    /// Method of the request.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path_and_query: CompactString,
    /// Headers that are forwarded with each attempt.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Memory that the body is charged for.
    pub reservation: Rc<Reservation>,
    /// Route that the host and path select.
    pub route: Route,
    /// Service chosen among the targets of the route.
    pub service: CompactString,
    /// Tokens that fit into the memory of an engine of the service; 0 for a service without such
    /// memory.
    pub memory_tokens: u32,
    /// Whether engines of the service can hold replicas.
    pub has_replicas: bool,
    /// Time for which engines of the service keep a copy of a run's memory that another engine makes on
    /// request; `None` if they make none.
    pub copy_lifetime: Option<Duration>,
    /// Team that the key belongs to.
    pub team: Option<CompactString>,
    /// Rank of the team or else of the route; 0 goes first.
    pub rank: u8,
    /// When the head arrived.
    pub arrived_at: Instant,
    /// When the response must be complete.
    pub deadline: Instant,
    /// Log lines of the request.
    pub trace: Trace,
}

impl AdmittedRequest {
    /// Returns what the request needs of an engine that is none of `excluded`.
    pub fn need<'a>(&'a self, excluded: &'a [Engine]) -> Need<'a> {
        Need {
            service: &self.service,
            footprint: self.call.footprint(),
            memory_tokens: self.memory_tokens,
            prompt: &self.prefixes,
            excluded,
            versions: Versions::Any,
        }
    }
}
