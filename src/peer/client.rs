//! Calls to other routers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compio::bytes::Bytes;
use futures_channel::mpsc;
use http_body_util::Full;
use hyper::Request;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::auth::Authenticator;
use super::{Envelope, Sender};
use crate::clock;
use crate::http::client::Error as Transport;
use crate::http::pool::Pool;

/// Why a call gave no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the call was sent.
    #[error("could not reach the peer: {0}; check that it runs")]
    Unsent(String),
    /// The call may have arrived.
    #[error("the peer did not answer: {0}; its outcome is unknown")]
    Unanswered(String),
    /// The peer refused the call.
    #[error("the peer refused: {0}")]
    Refused(String),
}

#[derive(Deserialize)]
struct Response<T> {
    result: Option<Envelope<T>>,
    error: Option<serde_json::Value>,
}

struct Inner {
    name: CompactString,
    incarnation: u64,
    revision: Cell<u64>,
    auth: Authenticator<clock::System>,
    pool: Pool,
    answered: Cell<u64>,
    listeners: RefCell<Vec<mpsc::UnboundedSender<Sender>>>,
}

/// This host among its peers: calls them, and tells its parts who was heard.
#[derive(Clone)]
pub struct Client(Rc<Inner>);

impl Client {
    /// Creates the client of a host.
    pub fn new(name: CompactString, incarnation: u64, auth: Authenticator<clock::System>) -> Self {
        Self(Rc::new(Inner {
            name,
            incarnation,
            revision: Cell::new(0),
            auth,
            pool: Pool::default(),
            answered: Cell::new(0),
            listeners: RefCell::default(),
        }))
    }

    /// Returns this host as the sender of messages.
    pub fn sender(&self) -> Sender {
        Sender {
            name: self.0.name.clone(),
            incarnation: self.0.incarnation,
            revision: self.0.revision.get(),
        }
    }

    /// Sets the revision that this host's messages carry.
    pub fn set_revision(&self, revision: u64) {
        self.0.revision.set(revision);
    }

    /// Returns a channel with the sender of each message that arrives from now on.
    pub fn listen(&self) -> mpsc::UnboundedReceiver<Sender> {
        let (sender, receiver) = mpsc::unbounded();
        self.0.listeners.borrow_mut().push(sender);
        receiver
    }

    /// Tells all listeners who was heard.
    pub fn heard(&self, from: &Sender) {
        let mut listeners = self.0.listeners.borrow_mut();
        listeners.retain(|listener| listener.unbounded_send(from.clone()).is_ok());
    }

    /// Counts bytes of calls that this host answered.
    pub fn count_answered(&self, bytes: u64) {
        self.0.answered.set(self.0.answered.get() + bytes);
    }

    /// Returns the bytes of all calls in both directions, without those of TCP and IP.
    pub fn bytes(&self) -> u64 {
        self.0.pool.bytes() + self.0.answered.get()
    }

    /// Returns the authenticator that peers share.
    pub fn auth(&self) -> &Authenticator<clock::System> {
        &self.0.auth
    }

    /// Calls a method of the peer at `address` and waits for its result, at most for `limit`.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        method: &str,
        params: &P,
        limit: Duration,
    ) -> Result<R, Error> {
        let envelope = json!({"from": self.sender(), "body": params});
        let body = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": envelope});
        let body = body.to_string();
        let mut request = Request::post("/rpc")
            .header(hyper::header::HOST, address)
            .body(Full::new(Bytes::from(body.clone())))
            .map_err(|err| Error::Unsent(err.to_string()))?;
        self.0.auth.sign(request.headers_mut(), body.as_bytes());
        let (head, body) =
            self.0
                .pool
                .call(address, request, limit)
                .await
                .map_err(|err| match err {
                    Transport::Connect { cause, .. } => Error::Unsent(cause),
                    Transport::Response { cause, .. } => Error::Unanswered(cause),
                })?;
        if !head.status.is_success() {
            return Err(Error::Refused(String::from_utf8_lossy(&body).into_owned()));
        }
        self.0
            .auth
            .check(&head.headers, &body)
            .map_err(|err| Error::Refused(err.to_string()))?;
        let response: Response<R> =
            serde_json::from_slice(&body).map_err(|err| Error::Unanswered(err.to_string()))?;
        match response.result {
            Some(envelope) => {
                self.heard(&envelope.from);
                Ok(envelope.body)
            }
            None => Err(Error::Refused(
                response.error.unwrap_or_default().to_string(),
            )),
        }
    }
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Client").field(&self.0.name).finish()
    }
}
