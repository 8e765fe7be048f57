//! Answers calls of other routers.

use std::rc::Rc;

use compio::net::TcpListener;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use log::warn;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::client::Client;
use super::{Envelope, Sender};
use crate::http::body::Body;
use crate::http::pool::message_bytes;
use crate::http::problem::text_response;
use crate::http::server;
use crate::supervisor::Signal;

/// Greatest size of a call in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// The methods of a router.
#[derive(Debug)]
pub struct Methods(RpcModule<()>);

impl Default for Methods {
    fn default() -> Self {
        Self(RpcModule::new(()))
    }
}

impl Methods {
    /// Adds a method. `answer` gets the sender and the parameters.
    ///
    /// State is not shared with `answer`; it passes messages to the task that owns the state.
    ///
    /// # Panics
    /// A method of the same name was added before.
    pub fn add<P, R, F, A>(&mut self, name: &'static str, answer: F)
    where
        P: DeserializeOwned + Send + 'static,
        R: Serialize + Clone + 'static,
        F: Fn(Sender, P) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Option<R>> + Send + 'static,
    {
        let added = self.0.register_async_method(name, move |params, _, _| {
            let answer = answer.clone();
            async move {
                let envelope: Envelope<P> = params.parse()?;
                let result = answer(envelope.from, envelope.body).await;
                result.ok_or_else(|| ErrorObjectOwned::owned(-32000, "stopping", None::<()>))
            }
        });
        added.expect("each method is added once");
    }
}

#[derive(Deserialize)]
struct Call {
    params: Envelope<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Answer {
    result: Option<Box<RawValue>>,
    error: Option<Box<RawValue>>,
}

#[derive(Serialize)]
struct Reply {
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<Envelope<Box<RawValue>>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<Box<RawValue>>,
}

struct Front {
    methods: Methods,
    peer: Client,
}

/// Answers calls on `listener` until `stop` is given.
pub async fn run(listener: TcpListener, methods: Methods, peer: Client, stop: Signal) {
    server::serve(listener, Rc::new(Front { methods, peer }), stop).await;
}

impl Front {
    async fn answer(&self, body: &[u8]) -> Option<Reply> {
        let text = std::str::from_utf8(body).ok()?;
        let call: Call = serde_json::from_str(text).ok()?;
        self.peer.heard(&call.params.from);
        let (answer, _) = self.methods.0.raw_json_request(text, 1).await.ok()?;
        let answer: Answer = serde_json::from_str(answer.get()).ok()?;
        let from = self.peer.sender();
        Some(Reply {
            result: answer.result.map(|body| Envelope { from, body }),
            error: answer.error,
        })
    }
}

impl server::Service for Front {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, BODY_LIMIT).collect().await else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the call is too large");
        };
        let body = body.to_bytes();
        if let Err(err) = self.peer.auth().check(&head.headers, &body) {
            warn!("event=peer_refused error={err:?}");
            return text_response(StatusCode::UNAUTHORIZED, err.to_string());
        }
        let Some(reply) = self.answer(&body).await else {
            return text_response(StatusCode::BAD_REQUEST, "not a call with a sender");
        };
        let text = serde_json::to_vec(&reply).expect("a reply serializes");
        let mut response = Response::new(Body::Full(None));
        self.peer.auth().sign(response.headers_mut(), &text);
        self.peer.count_answered(
            message_bytes(&head.headers, body.len())
                + message_bytes(response.headers(), text.len()),
        );
        *response.body_mut() = Body::full(text);
        response
    }
}
