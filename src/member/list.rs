//! Reads the platform's membership list.

use std::time::Duration;

use cyper::Client;
use hyper::StatusCode;
use log::{info, warn};

use crate::supervisor::Signal;
use crate::util::within;
use crate::wire::{Kind, Member};

/// Time between two readings of a small fleet.
const PERIOD: Duration = Duration::from_millis(500);

/// Time between two readings for each router, so that all routers together read at most 100 times a
/// second.
const PERIOD_PER_ROUTER: Duration = Duration::from_millis(10);

/// Longest time for one reading.
const LIMIT: Duration = Duration::from_secs(2);

/// Reads the list again and again, and passes each new version to `take`.
pub async fn watch(url: String, mut take: impl FnMut(Vec<Member>), stop: Signal) {
    let mut client = None;
    let mut known = None;
    let mut period = PERIOD;
    let mut is_reachable = true;
    while !stop.is_set() {
        let outcome = attempt(&mut client, &url, known.as_deref()).await;
        if is_reachable != outcome.is_ok() {
            is_reachable = outcome.is_ok();
            match &outcome {
                Ok(_) => info!("event=members_reachable"),
                Err(err) => warn!("event=members_unreachable error={:?}", format!("{err:#}")),
            }
        }
        match outcome {
            Ok(Some((tag, members))) => {
                let is_router = |member: &&Member| member.kind == Kind::Router;
                let routers = members.iter().filter(is_router).count() as u32;
                period = PERIOD.max(PERIOD_PER_ROUTER * routers);
                known = Some(tag);
                take(members);
            }
            Ok(None) => {}
            // The client's pooled connection can be silent for good, so it is not used again.
            Err(_) => client = None,
        }
        within(period, stop.wait()).await;
    }
}

async fn attempt(
    client: &mut Option<Client>,
    url: &str,
    known: Option<&str>,
) -> anyhow::Result<Option<(String, Vec<Member>)>> {
    let client = match client {
        Some(client) => client,
        None => client.insert(Client::builder().no_proxy().build()?),
    };
    let reading = within(LIMIT, read(client, url, known)).await;
    reading.unwrap_or_else(|| Err(anyhow::anyhow!("no answer in {} ms", LIMIT.as_millis())))
}

async fn read(
    client: &Client,
    url: &str,
    known: Option<&str>,
) -> anyhow::Result<Option<(String, Vec<Member>)>> {
    let mut request = client.get(format!("{url}/v1/members"))?;
    if let Some(known) = known {
        request = request.header("if-none-match", known)?;
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
    let tag = response
        .headers()
        .get(hyper::header::ETAG)
        .and_then(|tag| tag.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    Ok(Some((tag, response.json().await?)))
}
