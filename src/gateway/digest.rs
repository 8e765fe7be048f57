//! Digest by which hosts recognize a request that its caller sends again.

use hyper::Method;
use hyper::header::HeaderMap;

use super::protocol::Protocol;
use crate::util::hash64;

/// A caller's request without what differs between attempts at it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Method of the request.
    pub method: &'a Method,
    /// Path and query as the caller sent them.
    pub path_and_query: &'a str,
    /// API key of the caller.
    pub key: Option<&'a str>,
    /// Headers that are forwarded to engines.
    pub headers: &'a HeaderMap,
    /// The whole body.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Returns a digest of everything that may decide the response, which stays the same when the
    /// caller retries. The key is part of it, so that no caller can compute the digest of another
    /// one's request.
    pub fn digest<P: Protocol>(&self) -> u64 {
        let mut headers: Vec<_> = self
            .headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_bytes()))
            .filter(|(name, _)| !P::ATTEMPT_HEADERS.contains(name))
            .collect();
        // The sort is stable, so that the values of a repeated header stay in order.
        headers.sort_by_key(|(name, _)| *name);
        let mut parts: Vec<&[u8]> = vec![
            self.method.as_str().as_bytes(),
            self.path_and_query.as_bytes(),
            self.key.unwrap_or("").as_bytes(),
            self.body,
        ];
        for (name, value) in headers {
            parts.push(name.as_bytes());
            parts.push(value);
        }
        hash64(&parts)
    }
}
