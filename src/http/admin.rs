//! Endpoints for operators.

use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use serde_json::json;

use super::body::Body;
use super::problem::{Problem, Reason, json_response, text_response};
use crate::router::Router;

/// Answers a request for an operator endpoint; returns `None` for other paths.
pub async fn answer(router: &Router, head: &Parts) -> Option<Response<Body>> {
    let path = head.uri.path();
    if let Some(path) = path.strip_prefix("/admin/v1/") {
        return Some(match authorize(router, head) {
            Ok(()) => answer_admin(router, &head.method, path).await,
            Err(problem) => router.refuse(problem),
        });
    }
    let response = match path {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" if router.leaving.is_set() => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
        }
        "/readyz" if let Some(reason) = router.config.not_ready_reason() => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
        }
        "/readyz" => text_response(StatusCode::OK, "ready\n"),
        "/metrics" => text_response(StatusCode::OK, router.metrics.text()),
        _ => return None,
    };
    Some(response)
}

/// Checks the admin key. Without one in the settings, only `GET` is allowed.
fn authorize(router: &Router, head: &Parts) -> Result<(), Problem> {
    let value = head.headers.get(hyper::header::AUTHORIZATION);
    let token = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let is_authorized = match &router.host.admin_key {
        Some(key) => token.is_some_and(|token| key.matches(token)),
        None => head.method == Method::GET,
    };
    if is_authorized {
        return Ok(());
    }
    let detail = "the admin key is missing or wrong; send Authorization: Bearer KEY \
                  with the admin_key of the host's settings";
    Err(Problem::not_run(Reason::UnknownCaller, detail))
}

async fn answer_admin(router: &Router, method: &Method, path: &str) -> Response<Body> {
    match (method, path) {
        (&Method::GET, "status") => json_response(&json!({
            "host": router.host.name,
            "failure_domain": router.host.failure_domain,
            "leaving": router.leaving.is_set(),
            "live": router.view.live(),
            "active": router.view.is_active(),
            "control_bytes": router.control_bytes(),
            "backends": router.backends.borrow().overview(),
            "ranges": router.claims.as_ref().map(|claims| claims.held_ranges()),
            "config": router.config.overview(),
            "orders": router.orders.overview(),
            "dispatch": router.dispatch.overview().await,
            "leases": *router.leases.borrow(),
        })),
        (&Method::GET, "report") => json_response(&router.burns()),
        (&Method::POST, "leave") => {
            router.stop.set();
            text_response(StatusCode::ACCEPTED, "leaving\n")
        }
        _ => {
            let detail = "no such admin endpoint; use GET status, GET report or POST leave";
            router.refuse(Problem::not_run(Reason::NotFound, detail))
        }
    }
}
