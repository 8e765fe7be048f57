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

/// The endpoints of an emulated engine.
pub(super) struct Front {
    sender: mpsc::UnboundedSender<Message>,
    pub(super) streams: Group,
}

#[derive(Deserialize)]
struct Cancel {
    request_id: CompactString,
    attempt: u32,
}

impl Front {
    /// Creates the endpoints of the batch that takes the messages.
    pub(super) fn new(sender: mpsc::UnboundedSender<Message>) -> Self {
        Self {
            sender,
            streams: Group::default(),
        }
    }

    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.sender.unbounded_send(make(reply)).ok()?;
        answer.await.ok()
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
        let bad = |err: serde_json::Error| text_response(StatusCode::BAD_REQUEST, err.to_string());
        match path {
            "/v1/completions" => match serde_json::from_slice(body) {
                Ok(request) => self.complete(request).await,
                Err(err) => bad(err),
            },
            "/v1/cancel" => match serde_json::from_slice::<Cancel>(body) {
                Ok(cancel) => {
                    let message = Message::Cancel(cancel.request_id, cancel.attempt);
                    let _ = self.sender.unbounded_send(message);
                    text_response(StatusCode::OK, "")
                }
                Err(err) => bad(err),
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
                Err(err) => bad(err),
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
            let answer = self.ask(|reply| Message::Query(id.into(), reply)).await;
            return answer.map_or_else(stopping, |stream| json_response(&stream));
        }
        match path {
            "/v1/status" => {
                let since = query
                    .strip_prefix("since=")
                    .and_then(|since| since.parse().ok())
                    .unwrap_or(0);
                let answer = self.ask(|reply| Message::Status(since, reply)).await;
                answer.map_or_else(stopping, |status| json_response(&status))
            }
            "/v1/emulation/totals" => {
                let answer = self.ask(Message::Totals).await;
                answer.map_or_else(stopping, |totals| json_response(&totals))
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl server::Service for Front {
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
