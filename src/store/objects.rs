//! Objects with versions, conditional writes and watches.

use std::rc::Rc;
use std::time::Duration;

use compio::bytes::Bytes;
use http_body_util::Full;
use hyper::http::request::Builder;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;

use crate::http::client;
use crate::http::pool::Pool;

/// Longest time for one call.
const CALL_LIMIT: Duration = Duration::from_millis(1000);

/// Version of an object; every write of any object gives a higher one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

/// A value and its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Object {
    /// Version.
    pub version: Version,
    /// Value, at most 1 MB.
    pub body: Bytes,
}

/// One entry of a listing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Entry {
    /// Key of the object.
    pub key: String,
    /// Version.
    pub version: Version,
    /// Size in bytes.
    pub size: usize,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Is(Version),
    /// Nothing.
    Any,
}

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The condition does not hold; nothing was written.
    #[error("the object changed meanwhile; read it again")]
    Conflict,
    /// The store did not take the call; nothing was written.
    #[error("the store is unavailable: {0}; retry later")]
    Unavailable(String),
    /// The store limits its rate; nothing was written.
    #[error("the store limits the rate of calls; retry later")]
    Limited,
    /// No answer; a write may or may not have taken effect.
    #[error("the store did not answer: {0}; read the object back")]
    Unknown(String),
}

/// The object API.
pub trait Objects: Clone + 'static {
    /// Reads an object.
    ///
    /// # Errors
    /// All but [`Error::Conflict`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, Error>>;

    /// Writes an object under a condition and returns its new version.
    ///
    /// # Errors
    /// See [`Error`].
    fn put(
        &self,
        key: &str,
        body: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Version, Error>>;

    /// Deletes an object under a condition.
    ///
    /// # Errors
    /// See [`Error`].
    fn delete(&self, key: &str, condition: Condition) -> impl Future<Output = Result<(), Error>>;

    /// Lists the objects whose key starts with `prefix`, in order of keys.
    ///
    /// # Errors
    /// All but [`Error::Conflict`].
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Entry>, Error>>;

    /// Waits for a version other than `known`, for at most `wait`; `None` if there was none.
    ///
    /// # Errors
    /// All but [`Error::Conflict`].
    fn watch(
        &self,
        key: &str,
        known: Option<Version>,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, Error>>;
}

/// The object API over HTTP.
#[derive(Clone, Debug)]
pub struct Client {
    address: Rc<str>,
    pool: Rc<Pool>,
}

impl Client {
    /// Creates a client of the store at `url`, `http://IP:PORT`.
    pub fn new(url: &str) -> Self {
        let address = url.strip_prefix("http://").unwrap_or(url);
        Self {
            address: address.trim_end_matches('/').into(),
            pool: Rc::default(),
        }
    }

    /// Returns the bytes of all calls in both directions, without those of TCP and IP.
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
        limit: Duration,
    ) -> Result<(StatusCode, Option<Version>, Bytes), Error> {
        let request = request
            .body(Full::new(body))
            .map_err(|err| Error::Unavailable(err.to_string()))?;
        let answer = self.pool.call(&self.address, request, limit).await;
        let (head, body) = answer.map_err(|err| match err {
            client::Error::Connect { cause, .. } => Error::Unavailable(cause),
            client::Error::Response { cause, .. } => Error::Unknown(cause),
        })?;
        let tag = head.headers.get(hyper::header::ETAG);
        let version = tag
            .and_then(|tag| tag.to_str().ok()?.trim_matches('"').parse().ok())
            .map(Version);
        match head.status {
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Limited),
            // A gateway's word does not tell whether a write took effect.
            StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY => {
                Err(Error::Unknown(head.status.to_string()))
            }
            status if status.is_server_error() => Err(Error::Unavailable(status.to_string())),
            status => Ok((status, version, body)),
        }
    }

    async fn read(&self, request: Builder, limit: Duration) -> Result<Option<Object>, Error> {
        let (status, version, body) = self.call(request, Bytes::new(), limit).await?;
        match (status, version) {
            (StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED, _) => Ok(None),
            (StatusCode::OK, Some(version)) => Ok(Some(Object { version, body })),
            (status, _) => Err(Error::Unavailable(format!("unexpected status {status}"))),
        }
    }
}

fn conditional(request: Builder, condition: Condition) -> Builder {
    match condition {
        Condition::Absent => request.header(hyper::header::IF_NONE_MATCH, "*"),
        Condition::Is(Version(version)) => {
            request.header(hyper::header::IF_MATCH, format!("\"{version}\""))
        }
        Condition::Any => request,
    }
}

impl Objects for Client {
    async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &format!("/v1/objects/{key}"));
        self.read(request, CALL_LIMIT).await
    }

    async fn put(&self, key: &str, body: Bytes, condition: Condition) -> Result<Version, Error> {
        let request = self.request(Method::PUT, &format!("/v1/objects/{key}"));
        let request = conditional(request, condition);
        let (status, version, _) = self.call(request, body, CALL_LIMIT).await?;
        match (status.is_success(), version) {
            (true, Some(version)) => Ok(version),
            _ => Err(Error::Unavailable(format!("unexpected status {status}"))),
        }
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), Error> {
        let request = self.request(Method::DELETE, &format!("/v1/objects/{key}"));
        let request = conditional(request, condition);
        self.call(request, Bytes::new(), CALL_LIMIT).await?;
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let request = self.request(Method::GET, &format!("/v1/objects?prefix={prefix}"));
        let (_, _, body) = self.call(request, Bytes::new(), CALL_LIMIT).await?;
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
        self.read(request, wait + CALL_LIMIT).await
    }
}
