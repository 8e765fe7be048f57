//! Client of the platform's object store: versioned objects, conditional writes and long polls.

use std::rc::Rc;
use std::time::Duration;

use compio::bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Builder;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;

use crate::http::client;
use crate::http::pool::Pool;

/// Timeout of a call; a watch adds it to the time for which the store holds the request.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Version of an object. Versions are store-wide: each write of any object returns a higher one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

/// A stored object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Version of the object when it was read.
    pub version: Version,
    /// Value, at most 1 MB.
    pub body: Bytes,
}

/// One entry of a listing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
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
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Matches(Version),
    /// No precondition: the object may exist or not.
    Any,
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

    /// Waits up to `wait` for the object to have a version other than `known`; `None` if it does
    /// not exist or has not changed by then.
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
}

impl Client {
    /// Creates a client of the store at `url`, in the form `http://IP:PORT`.
    pub fn new(url: &str) -> Self {
        let address = url.strip_prefix("http://").unwrap_or(url);
        Self {
            address: address.trim_end_matches('/').into(),
            pool: Rc::default(),
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

    async fn call(
        &self,
        request: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Option<Version>, Bytes), Error> {
        let request = request
            .body(Full::new(body))
            .map_err(|err| Error::Unavailable(err.to_string()))?;
        let response = self.pool.call(&self.address, request, timeout).await;
        let (head, body) = response.map_err(|err| match err {
            client::Error::Connect { cause, .. } => Error::Unavailable(cause),
            client::Error::Response { cause, .. } => Error::Unknown(cause),
        })?;
        let etag = head.headers.get(hyper::header::ETAG);
        let version = etag
            .and_then(|etag| etag.to_str().ok()?.trim_matches('"').parse().ok())
            .map(Version);
        match head.status {
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Limited),
            // A 502 or 504 can come from an intermediary after the store has executed the write.
            StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY => {
                Err(Error::Unknown(head.status.to_string()))
            }
            status if status.is_server_error() => Err(Error::Unavailable(status.to_string())),
            status => Ok((status, version, body)),
        }
    }

    async fn read(&self, request: Builder, timeout: Duration) -> Result<Option<Object>, Error> {
        let (status, version, body) = self.call(request, Bytes::new(), timeout).await?;
        match (status, version) {
            (StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED, _) => Ok(None),
            (StatusCode::OK, Some(version)) => Ok(Some(Object { version, body })),
            (status, _) => Err(Error::Unavailable(format!("unexpected status {status}"))),
        }
    }
}

fn with_condition(request: Builder, condition: Condition) -> Builder {
    match condition {
        Condition::Absent => request.header(hyper::header::IF_NONE_MATCH, "*"),
        Condition::Matches(Version(version)) => {
            request.header(hyper::header::IF_MATCH, format!("\"{version}\""))
        }
        Condition::Any => request,
    }
}

impl Objects for Client {
    async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &format!("/v1/objects/{key}"));
        self.read(request, CALL_TIMEOUT).await
    }

    async fn put(&self, key: &str, body: Bytes, condition: Condition) -> Result<Version, Error> {
        let request = self.request(Method::PUT, &format!("/v1/objects/{key}"));
        let request = with_condition(request, condition);
        let (status, version, _) = self.call(request, body, CALL_TIMEOUT).await?;
        match (status.is_success(), version) {
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
        let (_, _, body) = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(|err| Error::Unavailable(err.to_string()))
    }

    async fn watch(
        &self,
        key: &str,
        known: Option<Version>,
        wait: Duration,
    ) -> Result<Option<Object>, Error> {
        let path = format!("/v1/objects/{key}?wait={}", wait.as_secs());
        let mut request = self.request(Method::GET, &path);
        if let Some(Version(version)) = known {
            request = request.header(hyper::header::IF_NONE_MATCH, format!("\"{version}\""));
        }
        self.read(request, wait + CALL_TIMEOUT).await
    }
}
