//! Endpoint for other hosts. It sends the configuration and the engines to hosts that follow this one
//! instead of the store; such a query waits for a change (long polling). It also answers questions about
//! runs ([`inquiry`]).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use log::info;
use serde::{Deserialize, Serialize};

use super::Gateway;
use super::delivery::{Delivery, Summary};
use super::inquiry::{self, Question};
use super::pacing::Pacing;
use super::position::Position;
use crate::clock::Clock;
use crate::config::patch::{self, Patch};
use crate::http::body::Body;
use crate::http::problem::{json_bytes_response, json_response, text_response};
use crate::http::server;
use crate::route::history::Changes;
use crate::util::within;

/// Path of the feed.
pub const PATH: &str = "/v1/directory";

/// Maximum size of a query in bytes.
const QUERY_BYTES_MAX: usize = 1024;

/// Longest time that a query waits for a change.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// Maximum size in bytes of a configuration, or of a patch to it, that is sent to followers. Sending
/// a larger one to each follower would saturate the link of a small host, so they read the
/// configuration from the store.
const SENT_REVISION_BYTES_MAX: usize = 16 * 1024;

/// Longest time that an answer waits for the link. It stays below the 300 ms after which a host that
/// hears of a newer revision from its peers reads the store anyway (`peer::newer`), and below the 300 ms that a
/// follower waits beyond the requested time.
const SEND_WAIT_MAX: Duration = Duration::from_millis(200);

/// [`SEND_WAIT_MAX`] for a follower that cannot read the store. It stays below its timeout of 3 s.
const CUT_OFF_WAIT_MAX: Duration = Duration::from_secs(2);

/// What a follower already knows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Query {
    /// Id of the process that numbered the changes of `engines`.
    pub process: u64,
    /// Number of the last change of engines that the follower applied from that process.
    pub engines: Option<u64>,
    /// Version of the follower's configuration, 0 if it has none.
    pub revision: u64,
    /// Digest of the follower's configuration document, that of the empty text if it has none.
    /// `None` if the follower cannot apply patches, as in releases before they existed.
    #[serde(default)]
    pub document: Option<u64>,
    /// Time to wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// Whether the follower cannot read the store and needs the configuration whatever its size.
    pub is_cut_off: bool,
    /// Whether only the state of the answering host is asked for, at once and without any changes.
    #[serde(default)]
    pub is_probe: bool,
}

/// What changed since a query's state.
#[derive(Debug, Deserialize, Serialize)]
pub struct Update {
    /// Id of the answering process.
    pub process: u64,
    /// Changes of the engines.
    pub engines: Changes,
    /// `engines.registered` as compressed JSON, in place of all engines if the follower can apply
    /// patches.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed_engines: Option<Patch>,
    /// Revision of the store up to which the answering host knows these changes.
    pub engines_revision: u64,
    /// Era of the store that `engines_revision` belongs to; `None` from releases before eras were known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engines_era: Option<u64>,
    /// Version of the configuration in force, 0 if there is none.
    pub version: u64,
    /// The configuration document as stored, if the follower has an older one, cannot apply patches,
    /// and the size limit allows.
    pub revision: Option<String>,
    /// A patch to the configuration document, if the follower has an older one, can apply patches,
    /// and the size limit allows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub patch: Option<Patch>,
    /// Whether the answering host watches the store itself and reaches it.
    pub is_confirmed: bool,
    /// Age in milliseconds of the older one of its configuration and its engines.
    pub age_ms: u64,
}

/// Why an update could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The answer, or the list of engines in it, is not valid JSON of the expected form.
    #[error("the answer cannot be parsed: {0}; run the same version on all hosts")]
    Malformed(#[from] serde_json::Error),
    /// The compressed list of engines is corrupt.
    #[error("the list of engines cannot be restored: {0}")]
    Corrupt(#[from] patch::Error),
}

impl Update {
    /// Parses the answer to a query and restores the list of engines.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn decode(body: &[u8]) -> Result<Self, Error> {
        let mut update: Self = serde_json::from_slice(body)?;
        if let Some(packed) = update.packed_engines.take() {
            update.engines.registered = serde_json::from_str(&packed.apply("")?)?;
        }
        Ok(update)
    }

    /// Returns the position in the store's history up to which the answering host knows its engines. One
    /// that does not tell its era counts as being in that of `known`.
    pub fn engines_position(&self, known: Position) -> Position {
        Position {
            era: self.engines_era.unwrap_or(known.era),
            revision: self.engines_revision,
        }
    }

    /// Compresses the list of engines. A follower that changes to this host gets all of them.
    fn pack_engines(&mut self) {
        let registered = std::mem::take(&mut self.engines.registered);
        let list = serde_json::to_string(&registered).expect("registrations serialize");
        self.packed_engines = Some(Patch::new("", &list));
    }
}

/// The HTTP service that answers queries of other gateways.
#[derive(Debug)]
pub struct Endpoint<C: Clock> {
    gateway: Rc<Gateway<C>>,
    delivery: RefCell<Delivery>,
    pacing: RefCell<Pacing>,
}

impl<C: Clock> server::Service for Endpoint<C> {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let is_question = request.uri().path() == inquiry::PATH;
        if !is_question && request.uri().path() != PATH {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        }
        let body = Limited::new(request.into_body(), QUERY_BYTES_MAX).collect();
        let Ok(body) = body.await else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "the query was cut off or is too long; send it again",
            );
        };
        let body = body.to_bytes();
        if is_question {
            return match serde_json::from_slice::<Question>(&body) {
                Ok(question) => {
                    json_response(&inquiry::own_account(&self.gateway, question.digest))
                }
                Err(_) => malformed_query(),
            };
        }
        let Ok(query) = serde_json::from_slice(&body) else {
            return malformed_query();
        };
        let mut update = self.update(query).await;
        if update.engines.is_whole && query.document.is_some() {
            update.pack_engines();
        }
        self.pace(query, &mut update).await;
        let body = encode(&update);
        self.record(query, &update, body.len() as u64);
        json_bytes_response(body)
    }
}

fn malformed_query() -> Response<Body> {
    text_response(
        StatusCode::BAD_REQUEST,
        "the query is malformed; run the same version on all hosts",
    )
}

fn encode(update: &Update) -> Vec<u8> {
    serde_json::to_vec(update).expect("an update serializes")
}

fn log_delivery(summary: Summary) {
    let duration = summary.last_at.duration_since(summary.first_at);
    info!(
        "event=revision_sent version={} followers={} referred={} bytes={} took_ms={}",
        summary.version,
        summary.followers,
        summary.referred,
        summary.bytes,
        duration.as_millis()
    );
}

impl<C: Clock> Endpoint<C> {
    /// Creates the service for the followers of `gateway`.
    pub fn new(gateway: Rc<Gateway<C>>) -> Self {
        Self {
            delivery: RefCell::default(),
            pacing: RefCell::new(Pacing::new(gateway.settings.link_mbps)),
            gateway,
        }
    }

    /// Waits until the link is free for `update`. If that takes too long, the revision is left out and
    /// the rest sent at once, so that the follower reads the store.
    async fn pace(&self, query: Query, update: &mut Update) {
        let now = self.gateway.clock.now();
        let wait = self.pacing.borrow().wait(now);
        let wait_max = match query.is_cut_off {
            true => CUT_OFF_WAIT_MAX,
            false => SEND_WAIT_MAX,
        };
        let has_revision = update.revision.is_some() || update.patch.is_some();
        if has_revision && wait > wait_max {
            update.revision = None;
            update.patch = None;
            return;
        }
        let bytes = encode(update).len();
        match has_revision {
            true => self.pacing.borrow_mut().reserve(bytes, now),
            false => {
                let mut pacing = self.pacing.borrow_mut();
                pacing.reserve_within(bytes, now, wait_max);
            }
        }
        let wait = wait.min(wait_max);
        if wait.is_zero() {
            return;
        }
        compio::time::sleep(wait).await;
        let waited = self.gateway.clock.now().duration_since(now);
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        update.age_ms = update.age_ms.saturating_add(waited_ms);
    }

    /// Counts the bytes of an update, and logs the delivery of a revision once it has ended.
    fn record(&self, query: Query, update: &Update, bytes: u64) {
        let content = match (&update.revision, &update.patch) {
            (Some(_), _) => "revision",
            (_, Some(_)) => "patch",
            _ if update.engines.is_whole => "engines",
            _ => "changes",
        };
        self.gateway.metrics.count_feed_bytes(content, bytes);
        let now = self.gateway.clock.now();
        let mut delivery = self.delivery.borrow_mut();
        let delivered = delivery.take_delivered(now);
        let is_newer = update.version > query.revision;
        let is_sent = update.revision.is_some() || update.patch.is_some();
        let ended = is_newer
            .then(|| delivery.record(update.version, is_sent, bytes, now))
            .flatten();
        delivered.into_iter().chain(ended).for_each(log_delivery);
    }

    async fn update(&self, query: Query) -> Update {
        if query.is_probe {
            return self.state();
        }
        let next_change = self.gateway.next_change.borrow().clone();
        if !self.has_changes_for(query) {
            let wait = Duration::from_millis(query.wait_ms).min(WAIT_MAX);
            within(wait, next_change.wait()).await;
        }
        let known = (query.process == self.gateway.process).then_some(query.engines);
        let newer = self.gateway.revision();
        let newer = newer.filter(|revision| revision.version > query.revision);
        let is_sendable = |bytes| query.is_cut_off || bytes <= SENT_REVISION_BYTES_MAX;
        let patch = newer.as_ref().zip(query.document);
        let patch = patch.map(|(revision, base)| self.gateway.patch_to(revision, base));
        let whole = newer.filter(|_| query.document.is_none());
        let whole = whole.map(|revision| revision.source.to_string());
        let registry = self.gateway.registry.borrow();
        Update {
            engines: registry.changes_since(known.flatten()),
            revision: whole.filter(|whole| is_sendable(whole.len())),
            patch: patch.filter(|patch| is_sendable(patch.bytes())),
            ..self.state()
        }
    }

    /// Returns an update without changes.
    fn state(&self) -> Update {
        let age = self
            .gateway
            .engines_age()
            .max(self.gateway.configuration_age());
        let position = self.gateway.engines_position();
        Update {
            process: self.gateway.process,
            engines: Changes::default(),
            packed_engines: None,
            engines_revision: position.revision,
            engines_era: Some(position.era),
            version: self.gateway.revision_version(),
            revision: None,
            patch: None,
            is_confirmed: self.gateway.role.is_watching() && self.gateway.reaches_store(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn has_changes_for(&self, query: Query) -> bool {
        let changed = self.gateway.registry.borrow().last_change();
        query.process != self.gateway.process
            || query.engines != Some(changed)
            || query.revision < self.gateway.revision_version()
    }
}
