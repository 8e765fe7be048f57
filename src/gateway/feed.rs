//! Configuration and engines for hosts that follow this one instead of asking the store.

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

/// Greatest size of a question in bytes.
const QUESTION_BYTES_MAX: usize = 1024;

/// Longest wait for news that is granted.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// Greatest size in bytes of a configuration that is sent to followers. A large one would fill the
/// link of a small host many times over, so its followers read it from the store.
const SENT_BYTES_MAX: usize = 16 * 1024;

/// What a follower knows already.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Question {
    /// Process that numbered `engines`.
    pub process: u64,
    /// Last change of engines that it took over from that process.
    pub engines: Option<u64>,
    /// Version of its configuration, 0 if it has none.
    pub revision: u64,
    /// Milliseconds that it waits for news.
    pub wait_ms: u64,
    /// Whether it cannot read the store, so that it needs the configuration of any size.
    pub is_cut_off: bool,
}

/// What is new to a follower.
#[derive(Debug, Deserialize, Serialize)]
pub struct Answer {
    /// The answering process.
    pub process: u64,
    /// Changes of engines.
    pub engines: Changes,
    /// Version of the configuration in force, 0 if there is none.
    pub version: u64,
    /// The configuration as the store has it, if the follower has an older one and it is small.
    pub revision: Option<String>,
    /// Whether the answering host itself watches the store and reaches it.
    pub is_confirmed: bool,
    /// Age of what it knows, in milliseconds.
    pub age_ms: u64,
}

/// Answers other gateways.
pub struct Service<C: Clock>(pub Rc<Gateway<C>>);

impl<C: Clock> server::Service for Service<C> {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() != PATH {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        }
        let body = Limited::new(request.into_body(), QUESTION_BYTES_MAX).collect();
        let Ok(body) = body.await else {
            return text_response(StatusCode::BAD_REQUEST, "the question broke off");
        };
        let Ok(question) = serde_json::from_slice(&body.to_bytes()) else {
            return text_response(StatusCode::BAD_REQUEST, "the question is malformed");
        };
        json_response(&self.answer(question).await)
    }
}

impl<C: Clock> Service<C> {
    async fn answer(&self, question: Question) -> Answer {
        let news = self.0.news.borrow().clone();
        if !self.has_news(question) {
            let wait = Duration::from_millis(question.wait_ms).min(WAIT_MAX);
            within(wait, news.wait()).await;
        }
        let known = (question.process == self.0.process).then_some(question.engines);
        let revision = self.0.revision();
        let newer = revision.filter(|revision| {
            let is_sent = question.is_cut_off || revision.source.len() <= SENT_BYTES_MAX;
            is_sent && revision.version > question.revision
        });
        let age = self.0.directory_age().max(self.0.configuration_age());
        Answer {
            process: self.0.process,
            engines: self.0.registry.borrow().changes_since(known.flatten()),
            version: self.0.version(),
            revision: newer.map(|revision| revision.source.to_string()),
            is_confirmed: self.0.duty.is_watching() && self.0.reaches_store(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn has_news(&self, question: Question) -> bool {
        let changed = self.0.registry.borrow().last_change();
        question.process != self.0.process
            || question.engines != Some(changed)
            || question.revision < self.0.version()
    }
}
