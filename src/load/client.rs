//! A client that makes streamed calls and checks each token of the answer.
//!
//! It works against emulated engines, whose tokens it computes with [`Sampler`].

use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::bytes::Bytes;
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::emulate::sampler::Sampler;
use crate::http::client;
use crate::http::problem::Problem;
use crate::http::sse;
use crate::util::within;
use crate::wire::Rank;

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// API key of the caller.
    pub key: String,
    /// Model name.
    pub model: CompactString,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of output tokens.
    pub max_tokens: u32,
    /// Seed of the sampler.
    pub seed: u64,
    /// Rank that is requested.
    pub rank: Rank,
    /// Longest wait for the response head and for each event.
    pub event_timeout: Duration,
}

/// The answer to a call, over all its connections.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// New tokens that are correct for their position.
    pub tokens: u32,
    /// Output positions that were skipped.
    pub missing: u32,
    /// Correct tokens at positions that were received before.
    pub repeated: u32,
    /// Tokens that differ from the expected token at their position, such as those of another
    /// request.
    pub mismatched: u32,
    /// Whether the stream ended normally and with all tokens correct.
    pub complete: bool,
    /// Time from the start of the connection that received it to the first event.
    pub first_token: Option<Duration>,
    /// Times between consecutive events, in order. For the first event after a reconnect it is the
    /// time since the connection was started.
    pub gaps: Vec<Duration>,
    /// Id of the last event; empty before the first one.
    pub cursor: String,
    /// Request id that the host assigned.
    pub request_id: CompactString,
    /// Token numbers in order of arrival.
    pub received: Vec<u32>,
    /// Problem document that the host sent.
    pub problem: Option<Problem>,
    /// Why the answer ended early without a problem document.
    pub failure: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    id: CompactString,
    model_version: CompactString,
    position: u32,
    tokens: Vec<u32>,
}

#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    seed: u64,
    stream: bool,
    #[serde(skip_serializing_if = "<[u32]>::is_empty")]
    resume_tokens: &'a [u32],
}

/// Makes a streamed call and checks its answer.
pub async fn complete(address: &str, call: &Call) -> Answer {
    observe(address, call, |_| {}).await
}

/// Makes a streamed call, checks its answer and passes the answer so far to `on_event` after each
/// event.
pub async fn observe(address: &str, call: &Call, on_event: impl FnMut(&Answer)) -> Answer {
    let mut answer = Answer::default();
    stream(address, call, &mut answer, on_event).await;
    answer
}

/// Continues an answer that ended early, after its last event.
pub async fn reconnect(address: &str, call: &Call, answer: &mut Answer) {
    answer.failure = None;
    answer.problem = None;
    stream(address, call, answer, |_| {}).await;
}

/// Sends a call or its continuation and adds the events of the response to `answer`.
async fn stream(
    address: &str,
    call: &Call,
    answer: &mut Answer,
    mut on_event: impl FnMut(&Answer),
) {
    let started = Instant::now();
    let request = request(address, call, answer);
    let exchange = within(
        call.event_timeout,
        client::send(address, request, call.event_timeout),
    )
    .await;
    let mut exchange = match exchange {
        Some(Ok(exchange)) => exchange,
        Some(Err(err)) => return answer.failure = Some(err.to_string()),
        None => return answer.failure = Some("no response within the timeout".into()),
    };
    if !exchange.head.status().is_success() {
        let body = exchange.read_rest(64 * 1024).await.unwrap_or_default();
        answer.problem = serde_json::from_slice(&body).ok();
        if answer.problem.is_none() {
            answer.failure = Some(format!(
                "status {} without a problem document",
                exchange.head.status()
            ));
        }
        return;
    }
    let mut parser = sse::Parser::default();
    let mut last_event_at = started;
    loop {
        while let Some(event) = parser.next() {
            let now = Instant::now();
            if !apply(&event, call, answer) {
                return;
            }
            match answer.first_token {
                None => answer.first_token = Some(now - started),
                Some(_) => answer.gaps.push(now - last_event_at),
            }
            last_event_at = now;
            on_event(answer);
        }
        match within(call.event_timeout, exchange.next()).await {
            Some(Ok(Some(bytes))) if parser.push(&bytes).is_ok() => {}
            Some(Ok(Some(_))) => {
                return answer.failure = Some("an event exceeds the size limit".into());
            }
            Some(Ok(None)) => {
                return answer.failure = Some("the stream ended without its last event".into());
            }
            Some(Err(err)) => return answer.failure = Some(err.to_string()),
            None => return answer.failure = Some("no event within the timeout".into()),
        }
    }
}

fn request(address: &str, call: &Call, answer: &Answer) -> hyper::Request<Full<Bytes>> {
    let body = Body {
        model: &call.model,
        prompt: &call.prompt,
        max_tokens: call.max_tokens,
        seed: call.seed,
        stream: true,
        resume_tokens: &answer.received,
    };
    let mut request = client::post_json(address, "/v1/completions", &json!(body));
    let headers = request.headers_mut();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    };
    set("authorization", &format!("Bearer {}", call.key));
    set(
        "x-rank",
        match call.rank {
            Rank::Urgent => "urgent",
            Rank::Routine => "routine",
        },
    );
    if !answer.cursor.is_empty() {
        set("last-event-id", &answer.cursor);
    }
    request
}

/// Checks an event and adds it to `answer`; returns whether more are expected.
fn apply(event: &sse::Event, call: &Call, answer: &mut Answer) -> bool {
    if event.name == "error" {
        answer.problem = serde_json::from_str(&event.data).ok();
        return false;
    }
    if event.data == "[DONE]" {
        answer.complete = answer.tokens == call.max_tokens;
        return false;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
        answer.failure = Some(format!("could not parse event: {}", event.data));
        return false;
    };
    answer.cursor.clone_from(&event.id);
    answer.request_id = chunk.id;
    let sampler = Sampler::new(&call.model, &chunk.model_version, &call.prompt, call.seed);
    for (offset, token) in chunk.tokens.iter().enumerate() {
        let position = chunk.position + offset as u32;
        let next = answer.received.len() as u32;
        if sampler.token(position) != *token {
            answer.mismatched += 1;
        } else if position < next {
            answer.repeated += 1;
        } else {
            answer.missing += position - next;
            answer.tokens += 1;
        }
        answer.received.push(*token);
    }
    true
}
