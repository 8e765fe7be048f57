//! The users' platform: names, formats and calls. Nothing here decides.

mod document;
mod headers;
pub mod settings;
pub mod store;

use std::time::Duration;

use hyper::Response;
use hyper::header::HeaderMap;

use crate::config::routes::Revision;
use crate::gateway::call::{Answer, Call, Invalid, Sending};
use crate::gateway::protocol::{self, Change, Listing, Protocol, Unavailable};
use crate::route::registry::Registration;

/// Path of the question whether a host takes new connections.
const READY_PATH: &str = "/bilberrypost/readyz";

/// The platform's protocol between callers, this system and engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Platform;

impl Protocol for Platform {
    const READY_PATH: &'static str = READY_PATH;

    fn call(headers: &HeaderMap) -> Result<Call, Invalid> {
        headers::call(headers)
    }

    fn passed_on(headers: &HeaderMap) -> HeaderMap {
        headers::passed_on(headers)
    }

    fn attempt(headers: &mut HeaderMap, sending: &Sending<'_>) {
        headers::attempt(headers, sending);
    }

    fn answer(head: &Response<()>, id: &str) -> Answer {
        headers::answer(head, id)
    }

    fn own_answer(headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>) {
        headers::own_answer(headers, id, retry_after);
    }
}

impl From<store::Error> for Unavailable {
    fn from(err: store::Error) -> Self {
        match err {
            store::Error::Gone => Self::HistoryGone,
            store::Error::Unavailable(cause) => Self::NoAnswer(cause),
        }
    }
}

/// Decodes what was read; entries that cannot be read are counted.
fn decoded<T, U>(batch: store::Batch<T>, decode: impl Fn(T) -> Entry<U>) -> Listing<U> {
    let mut listing = Listing {
        items: Vec::new(),
        unreadable: batch.unreadable,
        at: batch.at,
    };
    for item in batch.items {
        match decode(item) {
            Entry::Item(item) => listing.items.push(item),
            Entry::Unreadable(item) => {
                listing.unreadable += 1;
                listing.items.extend(item);
            }
            Entry::Other => {}
        }
    }
    listing
}

/// What an entry of the store holds.
enum Entry<T> {
    /// What was asked for.
    Item(T),
    /// Something that cannot be read, and what follows from it.
    Unreadable(Option<T>),
    /// Something else.
    Other,
}

fn revision_of(object: &store::Object) -> Entry<Revision> {
    if object.metadata.name != store::CONFIG_NAME {
        return Entry::Other;
    }
    document::revision(&object.spec).map_or(Entry::Unreadable(None), Entry::Item)
}

fn registration_of(object: &store::Object) -> Entry<Registration> {
    let registration = document::registration(&object.metadata.name, &object.spec);
    registration.map_or(Entry::Unreadable(None), Entry::Item)
}

/// An entry that cannot be read any more names no engine, like one that was removed.
fn change_of(change: store::Change) -> Entry<Change> {
    let name = change.object.metadata.name.clone();
    if change.removed {
        return Entry::Item(Change::Removed(name));
    }
    match registration_of(&change.object) {
        Entry::Item(registration) => Entry::Item(Change::Registered(registration)),
        _ => Entry::Unreadable(Some(Change::Removed(name))),
    }
}

impl protocol::Directory for store::Store {
    async fn revision(&self) -> Result<Listing<Revision>, Unavailable> {
        let batch = self.list(store::CONFIG).await?;
        Ok(decoded(batch, |object| revision_of(&object)))
    }

    async fn revision_changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> Result<Listing<Revision>, Unavailable> {
        let batch = self.watch(store::CONFIG, from, wait).await?;
        Ok(decoded(batch, |change| match change.removed {
            true => Entry::Other,
            false => revision_of(&change.object),
        }))
    }

    fn decode_revision(&self, source: &str) -> Option<Revision> {
        let spec = serde_json::from_str(source).ok()?;
        document::revision(&spec).ok()
    }

    async fn engines(&self) -> Result<Listing<Registration>, Unavailable> {
        let batch = self.list(store::ENGINES).await?;
        Ok(decoded(batch, |object| registration_of(&object)))
    }

    async fn engine_changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> Result<Listing<Change>, Unavailable> {
        let batch = self.watch(store::ENGINES, from, wait).await?;
        Ok(decoded(batch, change_of))
    }
}
