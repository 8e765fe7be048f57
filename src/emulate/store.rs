//! An emulated object store with versions, conditional writes, watches, rate limits and faults.
//!
//! The version of an object is its `ETag`. `GET /v1/objects/{key}?wait=SECONDS` is a watch: it
//! responds as soon as the version differs from that in `If-None-Match`, or with 304 at the end of
//! the wait.
//!
//! Every response tells in `Store-Era` how often the store has come back from an older copy. Each
//! return discards what was written since the copy, and allocates the versions since then again.
//! A write with another `Store-Era` is refused with 412; a watch with another one responds at once.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::bytes::Bytes;
use compio::net::TcpListener;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::Random;
use crate::http::body::Body;
use crate::http::problem::{json_response, text_response};
use crate::http::server;
use crate::store::objects::STORE_ERA;
use crate::supervisor::Signal;
use crate::util::within;

/// Maximum size of a value in bytes.
pub const VALUE_LIMIT: usize = 1024 * 1024;

/// Injected faults and rate limits, set by `PUT /v1/emulation/faults`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Whether every call is refused with 503.
    pub outage: bool,
    /// Delay of every call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes whose response is never sent although the write took effect, 0 to 1.
    pub lost_answers: f64,
    /// Share of reads that return the previous version of an object, 0 to 1.
    pub stale_reads: f64,
    /// Maximum number of writes a second, 0 for no limit.
    pub writes_per_s: u32,
    /// Maximum number of reads a second, 0 for no limit.
    pub reads_per_s: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            outage: false,
            delay_ms: 0,
            lost_answers: 0.0,
            stale_reads: 0.0,
            writes_per_s: 300,
            reads_per_s: 2000,
        }
    }
}

/// Number of calls since the start, returned by `GET /v1/emulation/calls`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Calls {
    /// Reads, lists and watches, including refused ones.
    pub reads: u64,
    /// Writes and deletions, including refused ones.
    pub writes: u64,
    /// Calls refused because of a rate limit.
    pub limited: u64,
    /// Calls refused because of an outage.
    pub outage: u64,
}

/// One entry of a listing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: u64,
    /// Size in bytes.
    pub size: usize,
}

/// A write that has not taken effect because of [`Faults::delay_ms`], returned by
/// `GET /v1/emulation/delayed`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DelayedWrite {
    /// Key of the object.
    pub key: String,
    /// Value, with invalid UTF-8 replaced; empty for a deletion.
    pub value: String,
}

#[derive(Clone)]
struct Object {
    version: u64,
    body: Bytes,
    // Version and body before the last write, for stale reads.
    previous: Option<(u64, Bytes)>,
}

/// Content of the store at one moment.
#[derive(Clone, Default)]
struct Copy {
    objects: BTreeMap<String, Object>,
    last_version: u64,
}

/// A token bucket that holds the calls of one second.
struct Bucket {
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
}

impl Bucket {
    fn new() -> Self {
        Self {
            // The first call reduces this to the rate: the bucket starts full.
            tokens: Cell::new(f64::MAX),
            refilled_at: Cell::new(Instant::now()),
        }
    }

    /// Takes a token if there is one; returns whether a call is allowed at `rate` calls a second.
    fn try_take(&self, rate: u32) -> bool {
        if rate == 0 {
            return true;
        }
        let elapsed = self
            .refilled_at
            .replace(Instant::now())
            .elapsed()
            .as_secs_f64();
        let rate = f64::from(rate);
        let tokens = (self.tokens.get() + elapsed * rate).min(rate);
        self.tokens
            .set(if tokens >= 1.0 { tokens - 1.0 } else { tokens });
        tokens >= 1.0
    }
}

struct Store {
    objects: RefCell<BTreeMap<String, Object>>,
    // Version of the last write of any object.
    last_version: Cell<u64>,
    era: Cell<u64>,
    // Empty until one is taken.
    copy: RefCell<Copy>,
    // Set on each write, then replaced by a new signal.
    changed: RefCell<Signal>,
    faults: RefCell<Faults>,
    calls: Cell<Calls>,
    // Writes that wait for their delay, by the number of writes that came before them.
    delayed: RefCell<BTreeMap<u64, DelayedWrite>>,
    random: Random,
    read_bucket: Bucket,
    write_bucket: Bucket,
    stop: Signal,
}

/// Runs an emulated store on `listener` until `stop` is set. `seed` determines which calls the
/// faults affect.
pub async fn run(listener: TcpListener, faults: Faults, seed: u64, stop: Signal) {
    let store = Store {
        objects: RefCell::default(),
        last_version: Cell::new(0),
        era: Cell::new(1),
        copy: RefCell::default(),
        changed: RefCell::default(),
        faults: RefCell::new(faults),
        calls: Cell::default(),
        delayed: RefCell::default(),
        random: Random::new(seed),
        read_bucket: Bucket::new(),
        write_bucket: Bucket::new(),
        stop: stop.clone(),
    };
    server::serve(listener, Rc::new(store), stop).await;
}

/// Returns the era in which a request may be executed; `None` for any.
fn era_in(request: &hyper::http::request::Parts) -> Option<u64> {
    let value = request.headers.get(STORE_ERA)?.to_str().ok()?;
    value.parse().ok()
}

/// Returns the version in a header that holds an `ETag`.
fn version_in(request: &hyper::http::request::Parts, name: &str) -> Option<u64> {
    let value = request.headers.get(name)?.to_str().ok()?;
    value.trim_matches('"').parse().ok()
}

impl Store {
    fn count(&self, change: impl FnOnce(&mut Calls)) {
        let mut calls = self.calls.get();
        change(&mut calls);
        self.calls.set(calls);
    }

    /// Counts a call, delays it, and refuses it in an outage or above the rate limit.
    async fn admit(&self, is_write: bool) -> Result<(), Response<Body>> {
        let faults = self.faults.borrow().clone();
        self.count(|calls| match is_write {
            true => calls.writes += 1,
            false => calls.reads += 1,
        });
        if faults.delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.faults.borrow().outage {
            self.count(|calls| calls.outage += 1);
            return Err(text_response(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        let is_allowed = match is_write {
            true => self.write_bucket.try_take(faults.writes_per_s),
            false => self.read_bucket.try_take(faults.reads_per_s),
        };
        if !is_allowed {
            self.count(|calls| calls.limited += 1);
            return Err(text_response(StatusCode::TOO_MANY_REQUESTS, "rate limit"));
        }
        Ok(())
    }

    /// Allocates the version of a write and wakes the watches.
    fn next_version(&self) -> u64 {
        self.last_version.set(self.last_version.get() + 1);
        self.changed.take().set();
        self.last_version.get()
    }

    fn take_copy(&self) {
        let copy = Copy {
            objects: self.objects.borrow().clone(),
            last_version: self.last_version.get(),
        };
        self.copy.replace(copy);
    }

    /// Returns to the last copy, begins the next era and wakes the watches.
    fn restore_copy(&self) {
        let copy = self.copy.borrow().clone();
        self.objects.replace(copy.objects);
        self.last_version.set(copy.last_version);
        self.era.set(self.era.get() + 1);
        self.changed.take().set();
    }

    /// Returns an object, or `None` if it does not exist or still has the version `known`.
    fn read(&self, key: &str, known: Option<u64>) -> Option<Response<Body>> {
        let objects = self.objects.borrow();
        let object = objects.get(key)?;
        let mut visible = (object.version, object.body.clone());
        if let Some(previous) = &object.previous
            && self.random.random_bool(self.faults.borrow().stale_reads)
        {
            visible = previous.clone();
        }
        if known == Some(visible.0) {
            return None;
        }
        let response = Response::builder()
            .header(hyper::header::ETAG, format!("\"{}\"", visible.0))
            .body(Body::full(visible.1))
            .expect("the headers are valid");
        Some(response)
    }

    /// Waits at most `limit` until an object has another version than `known`, or the store is in
    /// another era than `era`.
    async fn watch(
        &self,
        key: &str,
        known: Option<u64>,
        era: u64,
        limit: Duration,
    ) -> Response<Body> {
        let deadline = Instant::now() + limit;
        loop {
            if self.faults.borrow().outage {
                return text_response(StatusCode::SERVICE_UNAVAILABLE, "outage");
            }
            let known = known.filter(|_| self.era.get() == era);
            if let Some(response) = self.read(key, known) {
                return response;
            }
            let changed = self.changed.borrow().clone();
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stop.is_set() {
                return text_response(StatusCode::NOT_MODIFIED, "");
            }
            // Wakes up every 200 ms to notice the start of an outage and the end of the process.
            within(left.min(Duration::from_millis(200)), changed.wait()).await;
        }
    }

    fn get(&self, key: &str) -> Response<Body> {
        let missing = || text_response(StatusCode::NOT_FOUND, "no such object");
        self.read(key, None).unwrap_or_else(missing)
    }

    fn list(&self, prefix: &str) -> Response<Body> {
        let objects = self.objects.borrow();
        let entries: Vec<_> = objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, object)| Entry {
                key: key.clone(),
                version: object.version,
                size: object.body.len(),
            })
            .collect();
        json_response(&entries)
    }

    /// Returns whether the store and the object meet `Store-Era`, `If-None-Match` and `If-Match` of
    /// a write.
    fn meets_condition(&self, head: &hyper::http::request::Parts, key: &str) -> bool {
        if era_in(head).is_some_and(|era| era != self.era.get()) {
            return false;
        }
        let objects = self.objects.borrow();
        let version = objects.get(key).map(|object| object.version);
        if head.headers.contains_key(hyper::header::IF_NONE_MATCH) && version.is_some() {
            return false;
        }
        if head.headers.contains_key(hyper::header::IF_MATCH) {
            return version.is_some() && version_in(head, "if-match") == version;
        }
        true
    }

    async fn put(
        &self,
        head: &hyper::http::request::Parts,
        key: &str,
        body: Bytes,
    ) -> Response<Body> {
        if body.len() > VALUE_LIMIT {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "value above 1 MB");
        }
        if !self.meets_condition(head, key) {
            return text_response(StatusCode::PRECONDITION_FAILED, "version differs");
        }
        let version = self.next_version();
        self.replace(key, version, body);
        self.confirm_write(version).await
    }

    fn replace(&self, key: &str, version: u64, body: Bytes) {
        let mut objects = self.objects.borrow_mut();
        let previous = objects
            .remove(key)
            .map(|object| (object.version, object.body));
        let object = Object {
            version,
            body,
            previous,
        };
        objects.insert(key.into(), object);
    }

    async fn delete(&self, head: &hyper::http::request::Parts, key: &str) -> Response<Body> {
        if !self.meets_condition(head, key) {
            return text_response(StatusCode::PRECONDITION_FAILED, "version differs");
        }
        self.objects.borrow_mut().remove(key);
        let version = self.next_version();
        self.confirm_write(version).await
    }

    /// Responds to a write that took effect, unless the fault drops the response.
    async fn confirm_write(&self, version: u64) -> Response<Body> {
        if self.random.random_bool(self.faults.borrow().lost_answers) {
            // The connection stays open without a response until the client's timeout ends the
            // call.
            within(Duration::from_secs(30), self.stop.wait()).await;
            return text_response(StatusCode::GATEWAY_TIMEOUT, "");
        }
        Response::builder()
            .header(hyper::header::ETAG, format!("\"{version}\""))
            .body(Body::full(""))
            .expect("the headers are valid")
    }

    async fn control(&self, method: &Method, path: &str, body: &[u8]) -> Response<Body> {
        match (method, path) {
            (&Method::GET, "calls") => json_response(&self.calls.get()),
            (&Method::GET, "delayed") => {
                let delayed = self.delayed.borrow();
                json_response(&delayed.values().collect::<Vec<_>>())
            }
            (&Method::PUT, "faults") => match serde_json::from_slice(body) {
                Ok(faults) => {
                    *self.faults.borrow_mut() = faults;
                    text_response(StatusCode::OK, "")
                }
                Err(err) => text_response(StatusCode::BAD_REQUEST, err.to_string()),
            },
            (&Method::PUT, "copy") => {
                self.take_copy();
                text_response(StatusCode::OK, "")
            }
            (&Method::PUT, "restore") => {
                self.restore_copy();
                text_response(StatusCode::OK, "")
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn call_object(
        &self,
        head: &hyper::http::request::Parts,
        key: &str,
        body: Bytes,
    ) -> Response<Body> {
        let is_write = head.method != Method::GET;
        let write_number = self.calls.get().writes;
        let era = era_in(head).unwrap_or(self.era.get());
        if is_write {
            let value = String::from_utf8_lossy(&body).into_owned();
            let key = key.to_owned();
            self.delayed
                .borrow_mut()
                .insert(write_number, DelayedWrite { key, value });
        }
        let admission = self.admit(is_write).await;
        if is_write {
            self.delayed.borrow_mut().remove(&write_number);
        }
        if let Err(refusal) = admission {
            return refusal;
        }
        let wait = head
            .uri
            .query()
            .and_then(|query| query.strip_prefix("wait="));
        match (&head.method, wait.and_then(|wait| wait.parse().ok())) {
            (&Method::GET, Some(seconds)) => {
                let known = version_in(head, "if-none-match");
                let limit = Duration::from_secs(seconds);
                self.watch(key, known, era, limit).await
            }
            (&Method::GET, None) => self.get(key),
            (&Method::PUT, _) => self.put(head, key, body).await,
            (&Method::DELETE, _) => self.delete(head, key).await,
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or DELETE"),
        }
    }
}

impl Store {
    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "the request body is incomplete");
        };
        let body = body.to_bytes();
        let path = head.uri.path();
        if let Some(path) = path.strip_prefix("/v1/emulation/") {
            return self.control(&head.method, path, &body).await;
        }
        if let Some(key) = path.strip_prefix("/v1/objects/") {
            return self.call_object(&head, key, body).await;
        }
        if path == "/v1/objects" {
            if let Err(refusal) = self.admit(false).await {
                return refusal;
            }
            let query = head.uri.query().unwrap_or("");
            return self.list(query.strip_prefix("prefix=").unwrap_or(""));
        }
        text_response(StatusCode::NOT_FOUND, "no such path")
    }
}

impl server::Service for Store {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let mut response = self.respond(request).await;
        let era = HeaderValue::from(self.era.get());
        response.headers_mut().insert(STORE_ERA, era);
        response
    }
}
