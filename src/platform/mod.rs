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

impl protocol::Directory for store::Store {
    async fn revision(&self) -> Result<Listing<Revision>, Unavailable> {
        let batch = self.list(store::CONFIG).await?;
        let mut listing = Listing {
            items: Vec::new(),
            unreadable: batch.unreadable,
            at: batch.at,
        };
        for object in batch.items {
            if object.metadata.name != store::CONFIG_NAME {
                continue;
            }
            match document::revision(&object.spec) {
                Ok(revision) => listing.items.push(revision),
                Err(_) => listing.unreadable += 1,
            }
        }
        Ok(listing)
    }

    async fn revision_changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> Result<Listing<Revision>, Unavailable> {
        let batch = self.watch(store::CONFIG, from, wait).await?;
        let mut listing = Listing {
            items: Vec::new(),
            unreadable: batch.unreadable,
            at: batch.at,
        };
        for change in batch.items {
            if change.removed || change.object.metadata.name != store::CONFIG_NAME {
                continue;
            }
            match document::revision(&change.object.spec) {
                Ok(revision) => listing.items.push(revision),
                Err(_) => listing.unreadable += 1,
            }
        }
        Ok(listing)
    }

    fn decode_revision(&self, source: &str) -> Option<Revision> {
        let spec = serde_json::from_str(source).ok()?;
        document::revision(&spec).ok()
    }

    async fn engines(&self) -> Result<Listing<Registration>, Unavailable> {
        let batch = self.list(store::ENGINES).await?;
        let mut listing = Listing {
            items: Vec::new(),
            unreadable: batch.unreadable,
            at: batch.at,
        };
        for object in batch.items {
            match document::registration(&object.metadata.name, &object.spec) {
                Some(registration) => listing.items.push(registration),
                None => listing.unreadable += 1,
            }
        }
        Ok(listing)
    }

    async fn engine_changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> Result<Listing<Change>, Unavailable> {
        let batch = self.watch(store::ENGINES, from, wait).await?;
        let mut listing = Listing {
            items: Vec::new(),
            unreadable: batch.unreadable,
            at: batch.at,
        };
        for change in batch.items {
            let name = change.object.metadata.name;
            if change.removed {
                listing.items.push(Change::Removed(name));
                continue;
            }
            match document::registration(&name, &change.object.spec) {
                Some(registration) => listing.items.push(Change::Registered(registration)),
                None => {
                    listing.unreadable += 1;
                    listing.items.push(Change::Removed(name));
                }
            }
        }
        Ok(listing)
    }
}
