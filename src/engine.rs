//! Client for the HTTP API of engines.

use std::time::Duration;

use compact_str::CompactString;
use serde_json::json;

use crate::http::client::{self, BodyError, Exchange, post_json};
use crate::http::pool::message_bytes;
use crate::http::problem::Problem;
use crate::http::sse;
use crate::util::within;
use crate::wire;

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of bytes read of an error response.
const MAX_ERROR_BYTES: usize = 16 * 1024;

/// Why a stream could not be started or ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The engine answered with a problem document.
    #[error("the engine refused the request: {0}")]
    Refused(Problem),
    /// No byte of the request was sent.
    #[error("{0}")]
    Unreachable(client::Error),
    /// The request or stream failed; the engine may have executed part of the request.
    #[error("the engine's stream failed: {0}")]
    Broken(String),
}

/// A stream of frames. Dropping it closes the connection, which cancels the attempt on the engine.
#[derive(Debug)]
pub struct Stream {
    exchange: Exchange,
    parser: sse::Parser,
}

/// Starts an attempt on the engine at `address`.
///
/// # Errors
/// See [`Error`].
pub async fn start(address: &str, request: &wire::Request) -> Result<Stream, Error> {
    let post = post_json(address, "/v1/completions", request);
    let mut exchange =
        client::send(address, post, CONNECT_TIMEOUT)
            .await
            .map_err(|err| match err.is_unsent() {
                true => Error::Unreachable(err),
                false => Error::Broken(err.to_string()),
            })?;
    if exchange.head.status().is_success() {
        return Ok(Stream {
            exchange,
            parser: sse::Parser::default(),
        });
    }
    let broken = |err: BodyError| Error::Broken(err.to_string());
    let body = exchange.read_rest(MAX_ERROR_BYTES).await.map_err(broken)?;
    match serde_json::from_slice(&body) {
        Ok(problem) => Err(Error::Refused(problem)),
        Err(_) => Err(Error::Broken(format!("status {}", exchange.head.status()))),
    }
}

impl Stream {
    /// Returns the next frame.
    ///
    /// # Errors
    /// [`Error::Broken`] if the stream ended early or violates the protocol.
    pub async fn next(&mut self) -> Result<wire::Frame, Error> {
        let broken = |text: String| Error::Broken(text);
        loop {
            while let Some(event) = self.parser.next() {
                if event.data != "[DONE]" {
                    return serde_json::from_str(&event.data)
                        .map_err(|err| broken(err.to_string()));
                }
            }
            let chunk = self.exchange.next().await;
            match chunk.map_err(|err| broken(err.to_string()))? {
                Some(chunk) => self
                    .parser
                    .push(&chunk)
                    .map_err(|err| broken(err.to_string()))?,
                None => return Err(broken("the connection ended before the last frame".into())),
            }
        }
    }
}

/// Fetches the status of a stream over a new connection.
///
/// Returns `None` if there was no valid response within `timeout`.
pub async fn stream_status(
    address: &str,
    request_id: &str,
    timeout: Duration,
) -> Option<wire::StreamStatus> {
    let path = format!("/v1/streams/{request_id}");
    let (stream, _) = get(address, &path, timeout).await?;
    Some(stream)
}

/// Fetches the status of an engine with its cache events from `since` on. Also returns the bytes
/// sent and received.
///
/// Returns `None` if there was no valid response within `timeout`.
pub async fn status(address: &str, since: u64, timeout: Duration) -> Option<(wire::Status, u64)> {
    get(address, &format!("/v1/status?since={since}"), timeout).await
}

/// Cancels an attempt and all earlier ones of its request.
///
/// Errors are ignored, as a lost cancellation only wastes work on the engine.
pub async fn cancel(address: &str, request_id: &CompactString, attempt: u32) {
    let body = json!({"request_id": request_id, "attempt": attempt});
    let post = post_json(address, "/v1/cancel", &body);
    within(
        CONNECT_TIMEOUT,
        client::send(address, post, CONNECT_TIMEOUT),
    )
    .await;
}

async fn get<T: serde::de::DeserializeOwned>(
    address: &str,
    path: &str,
    timeout: Duration,
) -> Option<(T, u64)> {
    let request = hyper::Request::get(path)
        .header(hyper::header::HOST, address)
        .body(http_body_util::Full::default())
        .ok()?;
    let sent = message_bytes(request.headers(), path.len());
    let response = async {
        let mut exchange = client::send(address, request, timeout).await.ok()?;
        let body = exchange.read_rest(1024 * 1024).await.ok()?;
        let received = message_bytes(exchange.head.headers(), body.len());
        Some((serde_json::from_slice(&body).ok()?, sent + received))
    };
    within(timeout, response).await?
}
