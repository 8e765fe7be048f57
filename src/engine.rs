//! Client of engines.

use std::time::Duration;

use compact_str::CompactString;
use serde_json::json;

use crate::http::client::{self, Exchange, post_json};
use crate::http::pool::message_bytes;
use crate::http::problem::Problem;
use crate::http::sse;
use crate::util::within;
use crate::wire;

/// Longest time to connect to an engine.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Longest refusal that is read, in bytes.
const REFUSAL_BYTES: usize = 16 * 1024;

/// Why a stream gave no frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The engine said that it does not take the work.
    #[error("the engine refused: {0}")]
    Refused(Problem),
    /// No byte reached the engine.
    #[error("{0}")]
    Unreachable(client::Error),
    /// The stream broke before its last frame.
    #[error("the engine's stream broke: {0}")]
    Broken(String),
}

/// A stream of frames; dropping it cancels the work on the engine.
#[derive(Debug)]
pub struct Stream {
    exchange: Exchange,
    parser: sse::Parser,
}

/// Starts an attempt on an engine.
///
/// # Errors
/// See [`Error`].
pub async fn start(address: &str, request: &wire::Request) -> Result<Stream, Error> {
    let post = post_json(address, "/v1/completions", request);
    let mut exchange = client::send(address, post, CONNECT_LIMIT)
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
    let broken = |err: hyper::Error| Error::Broken(err.to_string());
    let body = exchange.read_rest(REFUSAL_BYTES).await.map_err(broken)?;
    match serde_json::from_slice(&body) {
        Ok(problem) => Err(Error::Refused(problem)),
        Err(_) => Err(Error::Broken(format!("status {}", exchange.head.status()))),
    }
}

impl Stream {
    /// Returns the next frame.
    ///
    /// # Errors
    /// [`Error::Broken`] if the stream ended or does not follow the protocol.
    pub async fn next(&mut self) -> Result<wire::Frame, Error> {
        let broken = |text: String| Error::Broken(text);
        loop {
            while let Some(event) = self.parser.next() {
                if event.data != "[DONE]" {
                    return serde_json::from_str(&event.data)
                        .map_err(|err| broken(err.to_string()));
                }
            }
            let piece = self.exchange.next().await;
            match piece.map_err(|err| broken(err.to_string()))? {
                Some(piece) => self
                    .parser
                    .push(&piece)
                    .map_err(|err| broken(err.to_string()))?,
                None => return Err(broken("it ended before the last frame".into())),
            }
        }
    }
}

/// Asks for the state of a stream, over a new connection. `None` means no answer within `limit`.
pub async fn query(address: &str, request_id: &str, limit: Duration) -> Option<wire::StreamStatus> {
    let path = format!("/v1/streams/{request_id}");
    let (stream, _) = get(address, &path, limit).await?;
    Some(stream)
}

/// Asks for the status; also returns the bytes that this took. `None` means no answer within
/// `limit`.
pub async fn status(address: &str, since: u64, limit: Duration) -> Option<(wire::Status, u64)> {
    get(address, &format!("/v1/status?since={since}"), limit).await
}

/// Cancels an attempt and earlier ones; a lost cancellation is harmless.
pub async fn cancel(address: &str, request_id: &CompactString, attempt: u32) {
    let body = json!({"request_id": request_id, "attempt": attempt});
    let post = post_json(address, "/v1/cancel", &body);
    within(CONNECT_LIMIT, client::send(address, post, CONNECT_LIMIT)).await;
}

async fn get<T: serde::de::DeserializeOwned>(
    address: &str,
    path: &str,
    limit: Duration,
) -> Option<(T, u64)> {
    let request = hyper::Request::get(path)
        .header(hyper::header::HOST, address)
        .body(http_body_util::Full::default())
        .ok()?;
    let sent = message_bytes(request.headers(), path.len());
    let answer = async {
        let mut exchange = client::send(address, request, limit).await.ok()?;
        let body = exchange.read_rest(1024 * 1024).await.ok()?;
        let received = message_bytes(exchange.head.headers(), body.len());
        Some((serde_json::from_slice(&body).ok()?, sent + received))
    };
    within(limit, answer).await?
}
