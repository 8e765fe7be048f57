//! Client of the platform's object store: versioned objects, conditional writes and long polls.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use compio::bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Builder;
use hyper::{HeaderMap, Method, Request, StatusCode};
use log::warn;
use serde::{Deserialize, Serialize};

use crate::http::client;
use crate::http::pool::Pool;

/// Timeout of a call; a watch adds it to the time for which the store holds the request.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Header with the [`Era`]: in each response the store's own, in a request the one in which the
/// call may be executed.
pub const STORE_ERA: &str = "store-era";

/// Part of the store's history that ends when the store comes back from an older copy; counted
/// from 1. What was written since the copy is then gone.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Era(pub u64);

/// Maximum count of the numbers that one era gives out, see [`Era::next_number`].
const NUMBERS_PER_ERA: u64 = 1_000_000_000;

impl Era {
    /// The era of a store that never came back from an older copy.
    pub const FIRST: Self = Self(1);

    /// Returns the number that follows the stored number `last` (0 for none) in this era. It is
    /// higher than all that were given out in earlier eras, also those that are gone.
    pub fn next_number(self, last: u64) -> u64 {
        let first = (self.0 - Self::FIRST.0) * NUMBERS_PER_ERA + 1;
        first.max(last + 1)
    }
}

impl Default for Era {
    fn default() -> Self {
        Self::FIRST
    }
}

/// Version of an object. Versions are store-wide: each write of any object returns a higher one,
/// also after a return from an older copy.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Version {
    /// Era in which the version was read or written.
    pub era: Era,
    /// Number in the era; later eras give out the same numbers again.
    pub number: u64,
}

/// A stored object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Version of the object when it was read.
    pub version: Version,
    /// Value, at most 1 MB.
    pub body: Bytes,
}

/// One entry of a listing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Key of the object.
    pub key: String,
    /// Current version of the object.
    pub version: Version,
    /// Size of the value in bytes.
    pub size: usize,
}

/// Precondition of a write or a deletion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The store is still in this era, and the object does not exist.
    Absent(Era),
    /// The store is still in the era of this version, and the object has it.
    Matches(Version),
    /// No precondition: the object may exist or not.
    Any,
}

impl Condition {
    /// Returns the only era in which the write may be executed; `None` for any.
    pub fn era(self) -> Option<Era> {
        match self {
            Self::Absent(era) => Some(era),
            Self::Matches(version) => Some(version.era),
            Self::Any => None,
        }
    }
}

/// Failure of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The precondition failed; this call wrote nothing.
    #[error("the object has changed since it was read; read it again")]
    Conflict,
    /// The store could not be reached or rejected the call; nothing was written.
    #[error("the store is unavailable: {0}; retry later")]
    Unavailable(String),
    /// The store's rate limit was reached; nothing was written.
    #[error("the store rejected the call because of its rate limit; retry later")]
    Limited,
    /// No conclusive response; a write may or may not have taken effect.
    #[error(
        "no conclusive response from the store: {0}; read the object to learn whether a write took effect"
    )]
    Unknown(String),
}

/// Operations of the object store.
pub trait Objects: Clone + 'static {
    /// Returns the newest era that a response has shown.
    fn era(&self) -> Era;

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    /// Any [`Error`] but [`Error::Conflict`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, Error>>;

    /// Writes an object if `condition` holds, and returns its new version.
    ///
    /// # Errors
    /// See [`Error`].
    fn put(
        &self,
        key: &str,
        body: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Version, Error>>;

    /// Deletes an object if `condition` holds.
    ///
    /// # Errors
    /// See [`Error`].
    fn delete(&self, key: &str, condition: Condition) -> impl Future<Output = Result<(), Error>>;

    /// Lists the objects whose key starts with `prefix`, sorted by key.
    ///
    /// # Errors
    /// Any [`Error`] but [`Error::Conflict`].
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Entry>, Error>>;

    /// Waits up to `wait` for the object to have a version other than `known`, or for the store to
    /// be in another era; `None` if the object does not exist or has not changed by then.
    ///
    /// # Errors
    /// Any [`Error`] but [`Error::Conflict`].
    fn watch(
        &self,
        key: &str,
        known: Option<Version>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, Error>>;
}

/// Client of the object store over HTTP.
#[derive(Clone, Debug)]
pub struct Client {
    address: Rc<str>,
    pool: Rc<Pool>,
    // `None` before the first response.
    era: Rc<Cell<Option<Era>>>,
}

/// One entry of a listing as the store sends it.
#[derive(Debug, Deserialize)]
struct ListedEntry {
    key: String,
    version: u64,
    size: usize,
}

/// A response that is no error.
#[derive(Debug)]
struct Response {
    status: StatusCode,
    era: Era,
    version: Option<Version>,
    body: Bytes,
}

impl Client {
    /// Creates a client of the store at `url`, in the form `http://IP:PORT`.
    pub fn new(url: &str) -> Self {
        let address = url.strip_prefix("http://").unwrap_or(url);
        Self {
            address: address.trim_end_matches('/').into(),
            pool: Rc::default(),
            era: Rc::default(),
        }
    }

    /// Returns the number of bytes sent and received by all calls, excluding TCP and IP headers.
    pub fn bytes(&self) -> u64 {
        self.pool.bytes()
    }

    fn request(&self, method: Method, path: &str) -> Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, &*self.address)
    }

    /// Returns the era of a response.
    ///
    /// # Errors
    /// [`Error::Unknown`] if another response has already shown a later one: what this response
    /// tells may be gone.
    fn update_era(&self, headers: &HeaderMap) -> Result<Era, Error> {
        let known = self.era();
        let era = headers.get(STORE_ERA);
        let era = era.and_then(|era| era.to_str().ok()?.parse().ok());
        // An intermediary's response does not tell it.
        let era = era.map_or(known, Era);
        if era < known {
            let cause = format!("the response is of era {}, now {}", era.0, known.0);
            return Err(Error::Unknown(cause));
        }
        if self.era.replace(Some(era)).is_some() && era > known {
            warn!("event=store_restored era={} before={}", era.0, known.0);
        }
        Ok(era)
    }

    async fn call(
        &self,
        request: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let request = request
            .body(Full::new(body))
            .map_err(|err| Error::Unavailable(err.to_string()))?;
        let response = self.pool.call(&self.address, request, timeout).await;
        let (head, body) = response.map_err(|err| match err {
            client::Error::Connect { cause, .. } => Error::Unavailable(cause),
            client::Error::Response { cause, .. } => Error::Unknown(cause),
        })?;
        let era = self.update_era(&head.headers)?;
        let etag = head.headers.get(hyper::header::ETAG);
        let version = etag
            .and_then(|etag| etag.to_str().ok()?.trim_matches('"').parse().ok())
            .map(|number| Version { era, number });
        match head.status {
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Limited),
            // A 502 or 504 can come from an intermediary after the store has executed the write.
            StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY => {
                Err(Error::Unknown(head.status.to_string()))
            }
            status if status.is_server_error() => Err(Error::Unavailable(status.to_string())),
            status => Ok(Response {
                status,
                era,
                version,
                body,
            }),
        }
    }

    async fn read(&self, request: Builder, timeout: Duration) -> Result<Option<Object>, Error> {
        let response = self.call(request, Bytes::new(), timeout).await?;
        let body = response.body;
        match (response.status, response.version) {
            (StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED, _) => Ok(None),
            (StatusCode::OK, Some(version)) => Ok(Some(Object { version, body })),
            (status, _) => Err(Error::Unavailable(format!("unexpected status {status}"))),
        }
    }
}

fn with_condition(request: Builder, condition: Condition) -> Builder {
    let request = match condition.era() {
        Some(era) => request.header(STORE_ERA, era.0),
        None => request,
    };
    match condition {
        Condition::Absent(_) => request.header(hyper::header::IF_NONE_MATCH, "*"),
        Condition::Matches(version) => request.header(hyper::header::IF_MATCH, etag(version)),
        Condition::Any => request,
    }
}

fn etag(version: Version) -> String {
    format!("\"{}\"", version.number)
}

impl Objects for Client {
    fn era(&self) -> Era {
        self.era.get().unwrap_or_default()
    }

    async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &format!("/v1/objects/{key}"));
        self.read(request, CALL_TIMEOUT).await
    }

    async fn put(&self, key: &str, body: Bytes, condition: Condition) -> Result<Version, Error> {
        let request = self.request(Method::PUT, &format!("/v1/objects/{key}"));
        let request = with_condition(request, condition);
        let response = self.call(request, body, CALL_TIMEOUT).await?;
        let status = response.status;
        match (status.is_success(), response.version) {
            (true, Some(version)) => Ok(version),
            _ => Err(Error::Unavailable(format!("unexpected status {status}"))),
        }
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), Error> {
        let request = self.request(Method::DELETE, &format!("/v1/objects/{key}"));
        let request = with_condition(request, condition);
        self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let request = self.request(Method::GET, &format!("/v1/objects?prefix={prefix}"));
        let response = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        let listed: Vec<ListedEntry> = serde_json::from_slice(&response.body)
            .map_err(|err| Error::Unavailable(err.to_string()))?;
        let entries = listed.into_iter().map(|entry| Entry {
            key: entry.key,
            version: Version {
                era: response.era,
                number: entry.version,
            },
            size: entry.size,
        });
        Ok(entries.collect())
    }

    async fn watch(
        &self,
        key: &str,
        known: Option<Version>,
        wait: Duration,
    ) -> Result<Option<Object>, Error> {
        let path = format!("/v1/objects/{key}?wait={}", wait.as_secs());
        let mut request = self.request(Method::GET, &path);
        if let Some(version) = known {
            request = request.header(hyper::header::IF_NONE_MATCH, etag(version));
            request = request.header(STORE_ERA, version.era.0);
        }
        self.read(request, wait + CALL_TIMEOUT).await
    }
}
