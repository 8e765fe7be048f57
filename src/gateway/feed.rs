//! Endpoint that sends the configuration and the engines to hosts that follow this one instead of
//! the store. A query waits for a change (long polling).

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::clock::Clock;
use crate::http::body::Body;
use crate::http::problem::{json_response, text_response};
use crate::http::server;
use crate::route::history::Changes;
use crate::util::within;

/// Path of the feed.
pub const PATH: &str = "/v1/directory";

/// Maximum size of a query in bytes.
const QUERY_BYTES_MAX: usize = 1024;

/// Longest time that a query waits for a change.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// Maximum size in bytes of a configuration that is sent to followers. Sending a larger one to
/// each follower would saturate the link of a small host, so they read it from the store.
const SENT_REVISION_BYTES_MAX: usize = 16 * 1024;

/// What a follower already knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Query {
    /// Id of the process that numbered the changes of `engines`.
    pub process: u64,
    /// Number of the last change of engines that the follower applied from that process.
    pub engines: Option<u64>,
    /// Version of the follower's configuration, 0 if it has none.
    pub revision: u64,
    /// Time to wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// Whether the follower cannot read the store and needs the configuration whatever its size.
    pub is_cut_off: bool,
}

/// What changed since a query's state.
#[derive(Debug, Deserialize, Serialize)]
pub struct Update {
    /// Id of the answering process.
    pub process: u64,
    /// Changes of the engines.
    pub engines: Changes,
    /// Revision of the store up to which the answering host knows these changes.
    pub engines_revision: u64,
    /// Version of the configuration in force, 0 if there is none.
    pub version: u64,
    /// The configuration document as stored, if the follower has an older one and the size limit
    /// allows.
    pub revision: Option<String>,
    /// Whether the answering host watches the store itself and reaches it.
    pub is_confirmed: bool,
    /// Age in milliseconds of the older one of its configuration and its engines.
    pub age_ms: u64,
}

/// The HTTP service that answers queries of other gateways.
pub struct Endpoint<C: Clock>(pub Rc<Gateway<C>>);

impl<C: Clock> server::Service for Endpoint<C> {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() != PATH {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        }
        let body = Limited::new(request.into_body(), QUERY_BYTES_MAX).collect();
        let Ok(body) = body.await else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "the query was cut off or is too long; send it again",
            );
        };
        let Ok(query) = serde_json::from_slice(&body.to_bytes()) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "the query is malformed; run the same version on all hosts",
            );
        };
        json_response(&self.update(query).await)
    }
}

impl<C: Clock> Endpoint<C> {
    async fn update(&self, query: Query) -> Update {
        let next_change = self.0.next_change.borrow().clone();
        if !self.has_changes_for(query) {
            let wait = Duration::from_millis(query.wait_ms).min(WAIT_MAX);
            within(wait, next_change.wait()).await;
        }
        let known = (query.process == self.0.process).then_some(query.engines);
        let revision = self.0.revision();
        let newer = revision.filter(|revision| {
            let is_sendable = query.is_cut_off || revision.source.len() <= SENT_REVISION_BYTES_MAX;
            is_sendable && revision.version > query.revision
        });
        let age = self.0.engines_age().max(self.0.configuration_age());
        Update {
            process: self.0.process,
            engines: self.0.registry.borrow().changes_since(known.flatten()),
            engines_revision: self.0.engines_revision(),
            version: self.0.revision_version(),
            revision: newer.map(|revision| revision.source.to_string()),
            is_confirmed: self.0.role.is_watching() && self.0.reaches_store(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn has_changes_for(&self, query: Query) -> bool {
        let changed = self.0.registry.borrow().last_change();
        query.process != self.0.process
            || query.engines != Some(changed)
            || query.revision < self.0.revision_version()
    }
}
