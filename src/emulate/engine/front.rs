//! The HTTP endpoints of an emulated engine.

use compact_str::CompactString;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;

use super::Message;
use crate::http::body::Body;
use crate::http::problem::{json_response, text_response};
use crate::http::{server, sse};
use crate::supervisor::Group;
use crate::wire;

/// HTTP service of an emulated engine; passes requests on to the batch as messages.
pub(super) struct Frontend {
    sender: mpsc::UnboundedSender<Message>,
    /// Tasks that write the response streams.
    pub(super) streams: Group,
}

#[derive(Deserialize)]
struct Cancel {
    request_id: CompactString,
    attempt: u32,
}

impl Frontend {
    /// Creates the service; `sender` leads to the batch.
    pub(super) fn new(sender: mpsc::UnboundedSender<Message>) -> Self {
        Self {
            sender,
            streams: Group::default(),
        }
    }

    /// Sends a message to the batch and waits for the reply; returns `None` if the batch has ended.
    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (sender, reply) = oneshot::channel();
        self.sender.unbounded_send(message(sender)).ok()?;
        reply.await.ok()
    }

    async fn complete(&self, request: wire::Request) -> Response<Body> {
        let started = self.ask(|reply| Message::Start(request, reply)).await;
        let mut frames = match started {
            Some(Ok(frames)) => frames,
            Some(Err(problem)) => {
                let status = problem.status;
                let mut response = problem.into_response();
                *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
                return response;
            }
            None => return text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        };
        let (mut writer, body) = Body::channel();
        self.streams.spawn(async move {
            while let Some(frame) = frames.next().await {
                let data = serde_json::to_string(&frame).expect("a frame serializes");
                if writer.send(sse::encode("", "", &data)).await.is_err() {
                    return;
                }
                if frame.finish_reason.is_some() {
                    let _ = writer.send(sse::encode("", "", "[DONE]")).await;
                }
            }
            let _ = writer.finish().await;
        });
        Response::builder()
            .header(hyper::header::CONTENT_TYPE, "text/event-stream")
            .body(body)
            .expect("the headers are valid")
    }

    async fn post(&self, path: &str, body: &[u8]) -> Response<Body> {
        let bad_request =
            |err: serde_json::Error| text_response(StatusCode::BAD_REQUEST, err.to_string());
        match path {
            "/v1/completions" => match serde_json::from_slice(body) {
                Ok(request) => self.complete(request).await,
                Err(err) => bad_request(err),
            },
            "/v1/cancel" => match serde_json::from_slice::<Cancel>(body) {
                Ok(cancel) => {
                    let message = Message::Cancel(cancel.request_id, cancel.attempt);
                    let _ = self.sender.unbounded_send(message);
                    text_response(StatusCode::OK, "")
                }
                Err(err) => bad_request(err),
            },
            "/v1/orders" => match serde_json::from_slice(body) {
                Ok(order) => match self.ask(|reply| Message::Order(order, reply)).await {
                    Some(Ok(())) => text_response(StatusCode::OK, ""),
                    Some(Err(highest)) => text_response(
                        StatusCode::CONFLICT,
                        format!("fencing number below {highest}"),
                    ),
                    None => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
                },
                Err(err) => bad_request(err),
            },
            "/v1/emulation/leave" => {
                let _ = self.sender.unbounded_send(Message::Leave);
                text_response(StatusCode::OK, "")
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn get(&self, path: &str, query: &str) -> Response<Body> {
        let stopping = || text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        if let Some(id) = path.strip_prefix("/v1/streams/") {
            let reply = self.ask(|reply| Message::Query(id.into(), reply)).await;
            return reply.map_or_else(stopping, |stream| json_response(&stream));
        }
        match path {
            "/v1/status" => {
                let since = query
                    .strip_prefix("since=")
                    .and_then(|since| since.parse().ok())
                    .unwrap_or(0);
                let reply = self.ask(|reply| Message::Status(since, reply)).await;
                reply.map_or_else(stopping, |status| json_response(&status))
            }
            "/v1/emulation/totals" => {
                let reply = self.ask(Message::Totals).await;
                reply.map_or_else(stopping, |totals| json_response(&totals))
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl server::Service for Frontend {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        if head.method == Method::GET {
            return self
                .get(head.uri.path(), head.uri.query().unwrap_or(""))
                .await;
        }
        match body.collect().await {
            Ok(body) => self.post(head.uri.path(), &body.to_bytes()).await,
            Err(err) => text_response(StatusCode::BAD_REQUEST, err.to_string()),
        }
    }
}
