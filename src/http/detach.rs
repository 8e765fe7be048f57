//! Copies of parts of a message that outlive the read buffer they arrived in.
//!
//! Headers are slices of a connection's read buffer, and each slice keeps the whole
//! buffer of 8 KB.

use hyper::header::{HeaderMap, HeaderValue};

/// Replaces the values by copies.
pub fn detach_headers(headers: &mut HeaderMap) {
    for value in headers.values_mut() {
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            *value = copy;
        }
    }
}
