//! Server for JSON-RPC calls from other routers.

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

/// Maximum size of a call in bytes.
const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

/// RPC methods that a router offers to its peers.
#[derive(Debug)]
pub struct Methods(RpcModule<()>);

impl Default for Methods {
    fn default() -> Self {
        Self(RpcModule::new(()))
    }
}

impl Methods {
    /// Adds a method. `handler` gets the sender and the parameters; it returns `None` if the task
    /// that would answer has stopped.
    ///
    /// `handler` must be `Send`, so it shares no state: it sends a message to the task that owns
    /// it.
    ///
    /// # Panics
    /// If a method of the same name was added before.
    pub fn add<P, R, F, Fut>(&mut self, name: &'static str, handler: F)
    where
        P: DeserializeOwned + Send + 'static,
        R: Serialize + Clone + 'static,
        F: Fn(Sender, P) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Option<R>> + Send + 'static,
    {
        let registered = self.0.register_async_method(name, move |params, _, _| {
            let handler = handler.clone();
            async move {
                let envelope: Envelope<P> = params.parse()?;
                let result = handler(envelope.from, envelope.body).await;
                result.ok_or_else(|| ErrorObjectOwned::owned(-32000, "stopping", None::<()>))
            }
        });
        registered.expect("each method is added once");
    }
}

#[derive(Deserialize)]
struct RpcCall {
    params: Envelope<Box<RawValue>>,
}

#[derive(Deserialize)]
struct RpcResponse {
    result: Option<Box<RawValue>>,
    error: Option<Box<RawValue>>,
}

#[derive(Serialize)]
struct PeerResponse {
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<Envelope<Box<RawValue>>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<Box<RawValue>>,
}

struct Endpoint {
    methods: Methods,
    client: Client,
}

/// Serves calls on `listener` until `stop` is set.
pub async fn run(listener: TcpListener, methods: Methods, client: Client, stop: Signal) {
    server::serve(listener, Rc::new(Endpoint { methods, client }), stop).await;
}

impl Endpoint {
    async fn handle(&self, body: &[u8]) -> Option<PeerResponse> {
        let text = std::str::from_utf8(body).ok()?;
        let call: RpcCall = serde_json::from_str(text).ok()?;
        self.client.notify_received(&call.params.from);
        let (response, _) = self.methods.0.raw_json_request(text, 1).await.ok()?;
        let response: RpcResponse = serde_json::from_str(response.get()).ok()?;
        let from = self.client.sender();
        Some(PeerResponse {
            result: response.result.map(|body| Envelope { from, body }),
            error: response.error,
        })
    }
}

impl server::Service for Endpoint {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(body) = Limited::new(body, MAX_CALL_BYTES).collect().await else {
            return text_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the call cannot be read or is larger than 4 MiB",
            );
        };
        let body = body.to_bytes();
        if let Err(err) = self.client.auth().verify(&head.headers, &body) {
            warn!("event=peer_refused error={err:?}");
            return text_response(StatusCode::UNAUTHORIZED, err.to_string());
        }
        let Some(peer_response) = self.handle(&body).await else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "the body is not a JSON-RPC call with a sender",
            );
        };
        let text = serde_json::to_vec(&peer_response).expect("a response serializes");
        let mut response = Response::new(Body::Full(None));
        self.client.auth().sign(response.headers_mut(), &text);
        self.client.count_answered_bytes(
            message_bytes(&head.headers, body.len())
                + message_bytes(response.headers(), text.len()),
        );
        *response.body_mut() = Body::full(text);
        response
    }
}
