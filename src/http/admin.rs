//! Endpoints for operators.

use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use serde_json::json;

use super::body::Body;
use super::problem::{Problem, Reason, json_response, text_response};
use crate::router::Router;

/// Answers an operator's request, `None` if the path is not one of theirs.
pub async fn answer(router: &Router, head: &Parts) -> Option<Response<Body>> {
    let path = head.uri.path();
    if let Some(path) = path.strip_prefix("/admin/v1/") {
        return Some(match check(router, head) {
            Ok(()) => administer(router, &head.method, path).await,
            Err(problem) => router.refused(problem),
        });
    }
    let response = match path {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" if router.leaving.is_given() => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving\n")
        }
        "/readyz" if let Some(reason) = router.config.not_ready() => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
        }
        "/readyz" => text_response(StatusCode::OK, "ready\n"),
        "/metrics" => text_response(StatusCode::OK, router.metrics.text()),
        _ => return None,
    };
    Some(response)
}

fn check(router: &Router, head: &Parts) -> Result<(), Problem> {
    let given = head.headers.get(hyper::header::AUTHORIZATION);
    let given = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let is_known = match &router.host.admin_key {
        Some(key) => given.is_some_and(|given| key.matches(given)),
        None => head.method == Method::GET,
    };
    if is_known {
        return Ok(());
    }
    let detail = "the administrator's key is missing or not known; send Authorization: Bearer KEY \
                  with the admin_key of the host's settings";
    Err(Problem::not_run(Reason::UnknownCaller, detail))
}

async fn administer(router: &Router, method: &Method, path: &str) -> Response<Body> {
    match (method, path) {
        (&Method::GET, "status") => json_response(&json!({
            "host": router.host.name,
            "failure_domain": router.host.failure_domain,
            "leaving": router.leaving.is_given(),
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
            router.stop.give();
            text_response(StatusCode::ACCEPTED, "leaving\n")
        }
        _ => {
            let detail = "no such path; use GET status, GET report or POST leave";
            router.refused(Problem::not_run(Reason::NotFound, detail))
        }
    }
}
