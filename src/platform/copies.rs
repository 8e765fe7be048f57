//! Calls by which an engine copies the memory of a run to another engine.

use compact_str::CompactString;
use compio::bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use serde::{Deserialize, Serialize};

/// Path of the call that copies the memory of a run.
const COPY_PATH: &str = "/bilberrypost/kv-move";

/// Prefix of the path of a copy.
const HANDLE_PATH: &str = "/bilberrypost/kv-handle/";

/// Body of the call that copies the memory of a run.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct CopyDocument<'a> {
    /// Id of the run, despite its name.
    instance_id: &'a str,
    to: &'a str,
    /// Whether the run stops.
    #[serde(rename = "final")]
    is_final: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct HandleDocument {
    kv_handle: CompactString,
}

/// Returns the request to the engine at `address` to copy the memory of `run` to the engine at `to`.
pub(super) fn copy_request(address: &str, run: &str, to: &str) -> Option<Request<Full<Bytes>>> {
    let document = CopyDocument {
        instance_id: run,
        to,
        is_final: false,
    };
    let body = serde_json::to_vec(&document).ok()?;
    Request::builder()
        .method(Method::POST)
        .uri(COPY_PATH)
        .header(HOST, address)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()
}

/// Returns the id of a copy from the answer to [`copy_request`].
pub(super) fn decode_copy(body: &[u8]) -> Option<CompactString> {
    let document: HandleDocument = serde_json::from_slice(body).ok()?;
    Some(document.kv_handle)
}

/// Returns the request to the engine at `address` to free a copy that it made.
pub(super) fn release_request(address: &str, id: &str) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(Method::DELETE)
        .uri(format!("{HANDLE_PATH}{id}"))
        .header(HOST, address)
        .body(Full::default())
        .ok()
}
