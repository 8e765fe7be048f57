//! Endpoints for operators.

use hyper::{Response, StatusCode};
use serde_json::json;

use super::body::Body;
use super::problem::{json_response, text_response};
use crate::router::Router;

/// Answers an operator's request, `None` if the path is not one of theirs.
pub async fn answer(router: &Router, path: &str) -> Option<Response<Body>> {
    let response = match path {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" if router.leaving.is_given() => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
        }
        "/readyz" => text_response(StatusCode::OK, "ready\n"),
        "/metrics" => text_response(StatusCode::OK, router.metrics.text()),
        "/admin/v1/status" => json_response(&json!({
            "host": router.host.name,
            "failure_domain": router.host.failure_domain,
            "leaving": router.leaving.is_given(),
            "routers": router.view.live(),
            "backends": router.backends.borrow().overview(),
            "ranges": router.claims.as_ref().map(|claims| claims.held()),
            "dispatch": router.dispatch.overview().await,
        })),
        _ => return None,
    };
    Some(response)
}
