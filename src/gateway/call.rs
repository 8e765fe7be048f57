//! Requests and answers as the decisions see them, whatever the protocol around them.

use std::time::Duration;

use compact_str::CompactString;

use crate::route::load::Footprint;
use crate::util::hash64;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Id of this attempt of the caller.
    pub id: CompactString,
    /// Time for which the caller waits.
    pub deadline: Duration,
    /// Key of the caller.
    pub key: Option<CompactString>,
    /// Sizes, if the request has a prompt.
    pub size: Option<Size>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// The caller's estimate of the output, in tokens.
    pub length_hint: Option<u32>,
    /// Last event of the stream that the caller has.
    pub last_event: Option<u64>,
}

impl Call {
    /// Returns a digest that is the same for all attempts of a caller at one request.
    pub fn digest(&self, path: &str) -> u64 {
        let size = self.size.map_or((0, 0), |size| (size.prompt, size.output));
        let mut parts = vec![path.to_owned(), format!("{size:?}")];
        parts.extend(
            self.parts
                .iter()
                .map(|part| format!("{}:{}", part.id, part.tokens)),
        );
        let parts: Vec<_> = parts.iter().map(String::as_bytes).collect();
        hash64(&parts)
    }

    /// Returns what the request is expected to take of an engine.
    pub fn footprint(&self) -> Footprint {
        let Some(size) = self.size else {
            return Footprint::default();
        };
        let hint = self.length_hint.unwrap_or(size.output);
        Footprint {
            prompt: size.prompt,
            output: hint.min(size.output),
        }
    }
}

/// Size of a request with a prompt, in tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
    /// Prompt.
    pub prompt: u32,
    /// Greatest output.
    pub output: u32,
}

/// A part of a prompt that requests may share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Id of its content.
    pub id: CompactString,
    /// Length in tokens.
    pub tokens: u32,
}

/// A head that cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}; correct the request")]
pub struct Invalid(pub &'static str);

/// What one attempt adds to a request.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Time that is left.
    pub left: Duration,
    /// Id of the engine that must answer.
    pub engine: &'a str,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Rank in the engine's queue, 0 first.
    pub rank: Option<u8>,
    /// Address of the engine that is to hold a replica of the run.
    pub replica: Option<&'a str>,
    /// Address of the engine whose replica the run goes on from, and the id of that run.
    pub copy: Option<(&'a str, &'a str)>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

/// What an engine's head says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The request ran well; the body follows.
    Success,
    /// The engine ran the request and reports a failure.
    Failure,
    /// The engine did not run the request.
    NotRun,
    /// Another engine has the address; the request did not run.
    OtherEngine,
    /// The answer belongs to another request, or is none of the engine's.
    Foreign,
}
