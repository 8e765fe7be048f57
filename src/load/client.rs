//! A caller that checks each token of its answer.

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

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Call {
    /// Key of the caller.
    pub key: String,
    /// Model name.
    pub model: CompactString,
    /// Prompt.
    pub prompt: String,
    /// Output tokens.
    pub max_tokens: u32,
    /// Seed of the sampler.
    pub seed: u64,
    /// Rank.
    pub rank: Rank,
    /// Longest time without an event.
    pub patience: Duration,
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Tokens that are the right ones at their position.
    pub tokens: u32,
    /// Positions that were passed over.
    pub missing: u32,
    /// Positions that came again.
    pub repeated: u32,
    /// Tokens that belong to no position of this generation.
    pub foreign: u32,
    /// Whether the answer ended with its last token.
    pub complete: bool,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between events, in order.
    pub gaps: Vec<Duration>,
    /// Id of the last event.
    pub cursor: String,
    /// Id of the request that the host gave it.
    pub request_id: CompactString,
    /// Numbers of the tokens, in order of arrival.
    pub received: Vec<u32>,
    /// Problem that the host reported.
    pub problem: Option<Problem>,
    /// Transport error.
    pub broken: Option<String>,
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

/// Makes a streamed call, checks its answer and shows it after each event.
pub async fn observe(address: &str, call: &Call, seen: impl FnMut(&Answer)) -> Answer {
    let mut answer = Answer::default();
    follow(address, call, &mut answer, seen).await;
    answer
}

/// Continues an answer that broke off, from the cursor of its last event.
pub async fn reconnect(address: &str, call: &Call, answer: &mut Answer) {
    answer.broken = None;
    answer.problem = None;
    follow(address, call, answer, |_| {}).await;
}

async fn follow(address: &str, call: &Call, answer: &mut Answer, mut seen: impl FnMut(&Answer)) {
    let started = Instant::now();
    let request = request(address, call, answer);
    let exchange = within(call.patience, client::send(address, request, call.patience)).await;
    let mut exchange = match exchange {
        Some(Ok(exchange)) => exchange,
        Some(Err(err)) => return answer.broken = Some(err.to_string()),
        None => return answer.broken = Some("no response in time".into()),
    };
    if !exchange.head.status().is_success() {
        let body = exchange.read_rest(64 * 1024).await.unwrap_or_default();
        answer.problem = serde_json::from_slice(&body).ok();
        if answer.problem.is_none() {
            answer.broken = Some(format!("status {}", exchange.head.status()));
        }
        return;
    }
    let mut parser = sse::Parser::default();
    let mut last = started;
    loop {
        while let Some(event) = parser.next() {
            let now = Instant::now();
            if !take(&event, call, answer) {
                return;
            }
            match answer.first_token {
                None => answer.first_token = Some(now - started),
                Some(_) => answer.gaps.push(now - last),
            }
            last = now;
            seen(answer);
        }
        match within(call.patience, exchange.next()).await {
            Some(Ok(Some(piece))) if parser.push(&piece).is_ok() => {}
            Some(Ok(Some(_))) => return answer.broken = Some("oversized event".into()),
            Some(Ok(None)) => return answer.broken = Some("ended early".into()),
            Some(Err(err)) => return answer.broken = Some(err.to_string()),
            None => return answer.broken = Some("no event in time".into()),
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

/// Checks an event; returns whether more are expected.
fn take(event: &sse::Event, call: &Call, answer: &mut Answer) -> bool {
    if event.name == "error" {
        answer.problem = serde_json::from_str(&event.data).ok();
        return false;
    }
    if event.data == "[DONE]" {
        answer.complete = answer.tokens == call.max_tokens;
        return false;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
        answer.broken = Some(format!("not a chunk: {}", event.data));
        return false;
    };
    answer.cursor.clone_from(&event.id);
    answer.request_id = chunk.id;
    let sampler = Sampler::new(&call.model, &chunk.model_version, &call.prompt, call.seed);
    for (offset, token) in chunk.tokens.iter().enumerate() {
        let position = chunk.position + offset as u32;
        let next = answer.received.len() as u32;
        if sampler.token(position) != *token {
            answer.foreign += 1;
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
