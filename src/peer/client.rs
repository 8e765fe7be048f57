//! Client for JSON-RPC calls to other routers.

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
use crate::http::client::Error as TransportError;
use crate::http::pool::Pool;

/// Why a call returned no result.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No byte of the call was sent, so the peer did not run it.
    #[error("could not reach the peer: {0}; check that it is running")]
    Unsent(String),
    /// The call was sent, but no readable response came; the peer may have run it.
    #[error("the peer did not answer: {0}; the outcome of the call is unknown")]
    Unanswered(String),
    /// The peer refused the call, or its response is not authenticated.
    #[error("the peer refused the call: {0}")]
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
    answered_bytes: Cell<u64>,
    subscribers: RefCell<Vec<mpsc::UnboundedSender<Sender>>>,
}

/// Calls peers, and notifies subscribers of the sender of each message that arrives. Clones share
/// one state.
#[derive(Clone)]
pub struct Client(Rc<Inner>);

impl Client {
    /// Creates the client of the host `name`.
    pub fn new(name: CompactString, incarnation: u64, auth: Authenticator<clock::System>) -> Self {
        Self(Rc::new(Inner {
            name,
            incarnation,
            revision: Cell::new(0),
            auth,
            pool: Pool::default(),
            answered_bytes: Cell::new(0),
            subscribers: RefCell::default(),
        }))
    }

    /// Returns the sender that this host's messages carry.
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

    /// Returns a channel that receives the sender of each message that arrives from now on.
    pub fn subscribe(&self) -> mpsc::UnboundedReceiver<Sender> {
        let (sender, receiver) = mpsc::unbounded();
        self.0.subscribers.borrow_mut().push(sender);
        receiver
    }

    /// Notifies all subscribers of a message from `sender`, and drops closed channels.
    pub fn notify_received(&self, sender: &Sender) {
        let mut subscribers = self.0.subscribers.borrow_mut();
        subscribers.retain(|subscriber| subscriber.unbounded_send(sender.clone()).is_ok());
    }

    /// Counts the bytes of a call that this host answered, and of its response.
    pub fn count_answered_bytes(&self, bytes: u64) {
        self.0
            .answered_bytes
            .set(self.0.answered_bytes.get() + bytes);
    }

    /// Returns the bytes of all calls in both directions, without TCP and IP headers.
    pub fn bytes(&self) -> u64 {
        self.0.pool.bytes() + self.0.answered_bytes.get()
    }

    /// Returns the authenticator of messages between routers.
    pub fn auth(&self) -> &Authenticator<clock::System> {
        &self.0.auth
    }

    /// Calls a method of the peer at `address` and waits at most `timeout` for its result.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, Error> {
        let envelope = json!({"from": self.sender(), "body": params});
        let body = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": envelope});
        let body = body.to_string();
        let mut request = Request::post("/rpc")
            .header(hyper::header::HOST, address)
            .body(Full::new(Bytes::from(body.clone())))
            .map_err(|err| Error::Unsent(err.to_string()))?;
        self.0.auth.sign(request.headers_mut(), body.as_bytes());
        let (head, body) = self
            .0
            .pool
            .call(address, request, timeout)
            .await
            .map_err(|err| match err {
                TransportError::Connect { cause, .. } => Error::Unsent(cause),
                TransportError::Response { cause, .. } => Error::Unanswered(cause),
            })?;
        if !head.status.is_success() {
            return Err(Error::Refused(String::from_utf8_lossy(&body).into_owned()));
        }
        self.0
            .auth
            .verify(&head.headers, &body)
            .map_err(|err| Error::Refused(err.to_string()))?;
        let response: Response<R> =
            serde_json::from_slice(&body).map_err(|err| Error::Unanswered(err.to_string()))?;
        match response.result {
            Some(envelope) => {
                self.notify_received(&envelope.from);
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
