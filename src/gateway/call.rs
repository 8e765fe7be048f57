//! Requests and responses as decoded from their heads, independent of the protocol's headers.

use std::time::Duration;

use compact_str::CompactString;

use crate::route::held::{self, Prefix};
use crate::route::load::Footprint;
use crate::route::prompt::Prompt;

/// A caller's request as described by its head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Id of the request; each retry by the caller has a new one.
    pub id: CompactString,
    /// Time for which the caller waits for the response.
    pub timeout: Duration,
    /// API key of the caller.
    pub key: Option<CompactString>,
    /// Number of tokens, if the request has a prompt.
    pub token_count: Option<TokenCount>,
    /// Name of the model, empty if the request has none.
    pub model: CompactString,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The caller's estimate of the output in tokens.
    pub length_hint: Option<u32>,
    /// Id of the last event that the caller has, if it continues a stream.
    pub last_event: Option<u64>,
}

impl Call {
    /// Returns the prompt as it is related to engines that ended. `digest` is that of the whole
    /// request.
    pub fn prompt(&self, digest: u64) -> Prompt {
        let ids = self.prompt_parts.iter().map(|part| part.id.as_str());
        Prompt::new(digest, ids)
    }

    /// Returns the beginnings of the prompt, by which engines keep it.
    pub fn prefixes(&self) -> Vec<Prefix> {
        let parts = self.prompt_parts.iter();
        let parts = parts.map(|part| (part.id.as_str(), part.tokens));
        held::prefixes(&self.model, parts)
    }

    /// Returns the load that the request is expected to put on an engine.
    pub fn footprint(&self) -> Footprint {
        let Some(count) = self.token_count else {
            return Footprint::default();
        };
        let hint = self.length_hint.unwrap_or(count.output_max);
        Footprint {
            prompt: count.prompt,
            output: hint.min(count.output_max),
            held: 0,
        }
    }
}

/// Number of tokens of a request with a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Limit on the tokens of the output.
    pub output_max: u32,
}

/// A part of a prompt that several requests may share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the content.
    pub id: CompactString,
    /// Length in tokens.
    pub tokens: u32,
}

/// The head of a request is invalid; holds the reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}; correct the request")]
pub struct InvalidHead(pub &'static str);

/// Values that the headers of one attempt carry to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Time left for the response.
    pub time_left: Duration,
    /// Id of the engine that the request is meant for; any other engine must refuse it.
    pub engine_id: &'a str,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Rank in the engine's queue; 0 runs first.
    pub rank: Option<u8>,
    /// Address of the engine to copy a replica of the run to.
    pub replica_address: Option<&'a str>,
    /// Address of the engine that holds a replica to resume from, and the id of the replicated run.
    pub resume_from: Option<(&'a str, &'a str)>,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of an engine's response says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// What it says about the request.
    pub outcome: Outcome,
    /// Whether the engine says that it leaves, and so takes no further request.
    pub is_leaving: bool,
    /// Time for which the engine wants no further request of this host, if it asks to be left alone.
    pub retry_after: Option<Duration>,
}

/// What the head of an engine's response says about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request succeeded; the body follows.
    Success,
    /// The engine ran the request and reports a failure; the body follows.
    Failure,
    /// The engine reports a failure with a status that tells callers that the request did not run, but does
    /// not say so itself; it may have run.
    UnstatedRefusal,
    /// The engine did not run the request.
    NotRun,
    /// Another engine listens on the address; the request did not run.
    OtherEngine,
    /// The response belongs to another request, or was not produced by the engine.
    Foreign,
}
