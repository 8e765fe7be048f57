//! Adapter to the platform of the callers, engines and the store: its names, formats and calls.
//!
//! All decisions are made in [`crate::gateway`].

mod copies;
mod document;
mod headers;
pub mod settings;
mod split;
pub mod store;

use std::time::Duration;

use compact_str::CompactString;
use compio::bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, Response};

use crate::config::routes::Revision;
use crate::gateway::call::{Answer, Attempt, Call, InvalidHead};
use crate::gateway::position::Position;
use crate::gateway::protocol::{self, Change, Listing, OrderChange, Protocol, Unavailable};
use crate::rollout;
use crate::route::registry::Registration;

/// Path of the load balancer's readiness check.
const READY_PATH: &str = "/bilberrypost/readyz";

/// Field of an event at which the version of the engine's weights changes; it is the first line.
const EVENT_WEIGHTS: &str = "x-bilberrypost-weight-versions";

/// The platform's HTTP protocol between callers, gateways and engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Platform;

impl Protocol for Platform {
    const READY_PATH: &'static str = READY_PATH;
    const EVENT_FIELDS: &'static [&'static str] = &[EVENT_WEIGHTS];
    const ATTEMPT_HEADERS: &'static [&'static str] = headers::ATTEMPT_HEADERS;

    fn decode_request(headers: &HeaderMap) -> Result<Call, InvalidHead> {
        headers::decode_request(headers)
    }

    fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
        headers::forwarded_headers(headers)
    }

    fn add_attempt_headers(headers: &mut HeaderMap, attempt: &Attempt<'_>) {
        headers::add_attempt_headers(headers, attempt);
    }

    fn decode_response(head: &Response<()>, id: &str) -> Answer {
        headers::decode_response(head, id)
    }

    fn copy_request(address: &str, run: &str, to: &str) -> Option<Request<Full<Bytes>>> {
        copies::copy_request(address, run, to)
    }

    fn decode_copy(body: &[u8]) -> Option<CompactString> {
        copies::decode_copy(body)
    }

    fn release_request(address: &str, id: &str) -> Option<Request<Full<Bytes>>> {
        copies::release_request(address, id)
    }

    fn add_gateway_headers(headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>) {
        headers::add_gateway_headers(headers, id, retry_after);
    }
}

impl From<store::Error> for Unavailable {
    fn from(err: store::Error) -> Self {
        match err {
            store::Error::HistoryGone => Self::HistoryGone,
            store::Error::Unavailable(cause) => Self::NoAnswer(cause),
        }
    }
}

/// Decodes the entries of a batch and counts those that are malformed.
fn decode_batch<T, U>(batch: store::Batch<T>, decode: impl Fn(T) -> Decoded<U>) -> Listing<U> {
    let mut listing = Listing {
        items: Vec::new(),
        unreadable: batch.unreadable,
        position: Position {
            era: batch.era,
            revision: batch.store_revision,
        },
    };
    for item in batch.items {
        match decode(item) {
            Decoded::Item(item) => listing.items.push(item),
            Decoded::Unreadable(item) => {
                listing.unreadable += 1;
                listing.items.extend(item);
            }
            Decoded::Ignored => {}
        }
    }
    listing
}

/// Result of decoding an entry of the store.
enum Decoded<T> {
    /// The decoded item.
    Item(T),
    /// The entry is malformed; holds the item to use in its place, if any.
    Unreadable(Option<T>),
    /// The entry is of no interest.
    Ignored,
}

fn decode_config(object: &store::Object) -> Decoded<Revision> {
    if object.name != store::CONFIG_NAME {
        return Decoded::Ignored;
    }
    let revision = object.spec.as_ref().map(document::decode_revision);
    match revision {
        Some(Ok(revision)) => Decoded::Item(revision),
        Some(Err(_)) | None => Decoded::Unreadable(None),
    }
}

fn decode_engine(object: &store::Object) -> Decoded<Registration> {
    let spec = object.spec.as_ref();
    let registration = spec.and_then(|spec| document::decode_registration(&object.name, spec));
    registration.map_or(Decoded::Unreadable(None), Decoded::Item)
}

/// Decodes a change of an engine. A malformed entry removes the engine.
fn decode_change(change: store::Change) -> Decoded<Change> {
    let name = change.object.name.clone();
    if !document::is_engine_id(&name) {
        return Decoded::Unreadable(None);
    }
    if change.removed {
        return Decoded::Item(Change::Removed(name));
    }
    match decode_engine(&change.object) {
        Decoded::Item(registration) => Decoded::Item(Change::Registered(registration)),
        _ => Decoded::Unreadable(Some(Change::Removed(name))),
    }
}

fn decode_order(object: &store::Object, era: u64) -> Decoded<rollout::Entry> {
    let whole = object.whole.as_ref();
    let entry = whole.and_then(|whole| document::decode_order(&object.name, whole, era));
    entry.map_or(Decoded::Unreadable(None), Decoded::Item)
}

/// Decodes a change of an order. A malformed entry withdraws the order.
fn decode_order_change(change: &store::Change, era: u64) -> Decoded<OrderChange> {
    let withdrawn = OrderChange::Withdrawn(change.object.name.clone());
    if change.removed {
        return Decoded::Item(withdrawn);
    }
    match decode_order(&change.object, era) {
        Decoded::Item(entry) => Decoded::Item(OrderChange::Changed(entry)),
        _ => Decoded::Unreadable(Some(withdrawn)),
    }
}

impl protocol::Directory for store::Store {
    async fn read_revision(&self) -> Result<Listing<Revision>, Unavailable> {
        let batch = self.list(store::CONFIG).await?;
        Ok(decode_batch(batch, |object| decode_config(&object)))
    }

    async fn watch_revision(
        &self,
        since: Position,
        wait: Duration,
    ) -> Result<Listing<Revision>, Unavailable> {
        let batch = self.watch(store::CONFIG, since.revision, wait).await?;
        Ok(decode_batch(batch, |change| match change.removed {
            true => Decoded::Ignored,
            false => decode_config(&change.object),
        }))
    }

    fn decode_revision(&self, source: &str) -> Option<Revision> {
        let spec = serde_json::from_str(source).ok()?;
        document::decode_revision(&spec).ok()
    }

    async fn list_engines(&self) -> Result<Listing<Registration>, Unavailable> {
        let batch = self.list(store::ENGINES).await?;
        Ok(decode_batch(batch, |object| decode_engine(&object)))
    }

    async fn watch_engines(
        &self,
        since: Position,
        wait: Duration,
    ) -> Result<Listing<Change>, Unavailable> {
        let batch = self.watch(store::ENGINES, since.revision, wait).await?;
        Ok(decode_batch(batch, decode_change))
    }

    async fn list_orders(&self) -> Result<Listing<rollout::Entry>, Unavailable> {
        let batch = self.list(store::ROLLOUTS).await?;
        let era = batch.era;
        Ok(decode_batch(batch, |object| decode_order(&object, era)))
    }

    async fn watch_orders(
        &self,
        since: Position,
        wait: Duration,
    ) -> Result<Listing<OrderChange>, Unavailable> {
        let batch = self.watch(store::ROLLOUTS, since.revision, wait).await?;
        let era = batch.era;
        Ok(decode_batch(batch, |change| {
            decode_order_change(&change, era)
        }))
    }

    async fn write_order_state(
        &self,
        entry: &rollout::Entry,
        lifecycle: rollout::Lifecycle,
    ) -> Result<Option<rollout::Entry>, Unavailable> {
        let unreadable = |cause: &str| Unavailable::NoAnswer(cause.to_owned());
        let whole = document::with_status(entry, lifecycle);
        let whole = whole.ok_or_else(|| unreadable("the order is malformed"))?;
        let name = &entry.order.service;
        let (object, era) = self.replace_status(store::ROLLOUTS, name, &whole).await?;
        let Some(object) = object else {
            return Ok(None);
        };
        match decode_order(&object, era) {
            Decoded::Item(entry) => Ok(Some(entry)),
            _ => Err(unreadable("the answer is malformed")),
        }
    }
}
