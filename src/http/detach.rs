//! Copies of parts of a message that outlive the read buffer they arrived in.
//!
//! Headers and short bodies are slices of a connection's read buffer, and each slice keeps the whole
//! buffer of 8 KB.

use compio::bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};

/// Size of a body in bytes from which on it has a buffer of its own.
const SHARED_BYTES_MAX: usize = 8 * 1024;

/// Replaces the values by copies.
pub fn detach_headers(headers: &mut HeaderMap) {
    for value in headers.values_mut() {
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            *value = copy;
        }
    }
}

/// Returns a copy of a body that may share a read buffer.
pub fn detach_body(body: Bytes) -> Bytes {
    match body.len() <= SHARED_BYTES_MAX {
        true => Bytes::copy_from_slice(&body),
        false => body,
    }
}
