//! An emulated membership list whose changes are visible after a delay and which can have an
//! outage.
//!
//! `GET /v1/members` returns the list. `PUT /v1/emulation/members/NAME` adds or replaces a member
//! and `DELETE` of the same path removes it. `PUT /v1/emulation/outage` with the body `true` starts
//! an outage, any other body ends it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::net::TcpListener;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use crate::http::body::Body;
use crate::http::problem::text_response;
use crate::http::server;
use crate::supervisor::Signal;
use crate::wire::Member;

type Entries = BTreeMap<CompactString, Member>;

struct List {
    // All members, including changes that are not visible yet.
    entries: RefCell<Entries>,
    // Time, version and entries of each snapshot, oldest first. Invariant: never empty; readers see
    // the first one.
    history: RefCell<VecDeque<(Instant, u64, Entries)>>,
    last_version: Cell<u64>,
    lag: Duration,
    has_outage: Cell<bool>,
}

/// Runs an emulated membership list on `listener` until `stop` is set. Readers see a change after
/// `lag`.
pub async fn run(listener: TcpListener, members: Vec<Member>, lag: Duration, stop: Signal) {
    let entries: Entries = members
        .into_iter()
        .map(|member| (member.name.clone(), member))
        .collect();
    let list = List {
        history: RefCell::new(VecDeque::from([(Instant::now(), 0, entries.clone())])),
        entries: RefCell::new(entries),
        last_version: Cell::new(0),
        lag,
        has_outage: Cell::new(false),
    };
    server::serve(listener, Rc::new(list), stop).await;
}

impl List {
    fn change(&self, change: impl FnOnce(&mut Entries)) {
        let mut entries = self.entries.borrow_mut();
        change(&mut entries);
        self.last_version.set(self.last_version.get() + 1);
        let snapshot = (Instant::now(), self.last_version.get(), entries.clone());
        self.history.borrow_mut().push_back(snapshot);
    }

    /// Returns the visible snapshot, or 304 if its `ETag` is `known_etag`.
    fn read(&self, known_etag: Option<&str>) -> Response<Body> {
        let mut history = self.history.borrow_mut();
        while history.len() > 1 && history[1].0.elapsed() >= self.lag {
            history.pop_front();
        }
        let (_, version, entries) = &history[0];
        let etag = format!("\"{version}\"");
        if known_etag == Some(&etag) {
            return text_response(StatusCode::NOT_MODIFIED, "");
        }
        let members: Vec<_> = entries.values().collect();
        Response::builder()
            .header(hyper::header::ETAG, etag)
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Body::full(
                serde_json::to_vec(&members).expect("members serialize"),
            ))
            .expect("the headers are valid")
    }

    fn control(&self, method: &Method, path: &str, body: &[u8]) -> Response<Body> {
        if path == "outage" {
            self.has_outage.set(body == b"true");
            return text_response(StatusCode::OK, "");
        }
        let Some(name) = path.strip_prefix("members/") else {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        };
        if method == Method::DELETE {
            self.change(|entries| {
                entries.remove(name);
            });
            return text_response(StatusCode::OK, "");
        }
        match serde_json::from_slice::<Member>(body) {
            Ok(member) => {
                self.change(|entries| {
                    entries.insert(member.name.clone(), member);
                });
                text_response(StatusCode::OK, "")
            }
            Err(err) => text_response(StatusCode::BAD_REQUEST, err.to_string()),
        }
    }
}

impl server::Service for List {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "the request body is incomplete");
        };
        if let Some(path) = head.uri.path().strip_prefix("/v1/emulation/") {
            return self.control(&head.method, path, &body.to_bytes());
        }
        if head.uri.path() != "/v1/members" {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        }
        if self.has_outage.get() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let known_etag = head.headers.get(hyper::header::IF_NONE_MATCH);
        self.read(known_etag.and_then(|etag| etag.to_str().ok()))
    }
}
