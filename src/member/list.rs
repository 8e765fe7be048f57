//! Polls the platform's membership list.

use std::time::Duration;

use cyper::Client;
use hyper::StatusCode;
use log::{info, warn};

use crate::supervisor::Signal;
use crate::util::within;
use crate::wire::{Kind, Member};

/// Shortest time between two polls; it applies to small fleets.
const POLL_INTERVAL_MIN: Duration = Duration::from_millis(500);

/// Time between two polls, for each router in the list. All routers together then poll at most 100
/// times a second.
const POLL_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(10);

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the list until `stop` is set, and passes each new version to `on_change`.
pub async fn watch(url: String, mut on_change: impl FnMut(Vec<Member>), stop: Signal) {
    let mut client = None;
    let mut known_etag = None;
    let mut interval = POLL_INTERVAL_MIN;
    let mut is_reachable = true;
    while !stop.is_set() {
        let outcome = poll(&mut client, &url, known_etag.as_deref()).await;
        if is_reachable != outcome.is_ok() {
            is_reachable = outcome.is_ok();
            match &outcome {
                Ok(_) => info!("event=members_reachable"),
                Err(err) => warn!("event=members_unreachable error={:?}", format!("{err:#}")),
            }
        }
        match outcome {
            Ok(Some((etag, members))) => {
                let is_router = |member: &&Member| member.kind == Kind::Router;
                let routers = members.iter().filter(is_router).count() as u32;
                interval = POLL_INTERVAL_MIN.max(POLL_INTERVAL_PER_ROUTER * routers);
                known_etag = Some(etag);
                on_change(members);
            }
            Ok(None) => {}
            // The pooled connection may never answer again, so the next poll uses a new client.
            Err(_) => client = None,
        }
        within(interval, stop.wait()).await;
    }
}

async fn poll(
    client: &mut Option<Client>,
    url: &str,
    known_etag: Option<&str>,
) -> anyhow::Result<Option<(String, Vec<Member>)>> {
    let client = match client {
        Some(client) => client,
        None => client.insert(Client::builder().no_proxy().build()?),
    };
    let fetched = within(POLL_TIMEOUT, fetch(client, url, known_etag)).await;
    fetched.unwrap_or_else(|| {
        Err(anyhow::anyhow!(
            "no answer in {} ms",
            POLL_TIMEOUT.as_millis()
        ))
    })
}

async fn fetch(
    client: &Client,
    url: &str,
    known_etag: Option<&str>,
) -> anyhow::Result<Option<(String, Vec<Member>)>> {
    let mut request = client.get(format!("{url}/v1/members"))?;
    if let Some(known_etag) = known_etag {
        request = request.header("if-none-match", known_etag)?;
    }
    let response = request.send().await?;
    if response.status() == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    anyhow::ensure!(
        response.status().is_success(),
        "status {}",
        response.status()
    );
    let etag = response
        .headers()
        .get(hyper::header::ETAG)
        .and_then(|etag| etag.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    Ok(Some((etag, response.json().await?)))
}
