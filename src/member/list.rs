//! Reads the platform's membership list.

use std::time::Duration;

use cyper::Client;
use hyper::StatusCode;
use log::warn;

use crate::supervisor::Signal;
use crate::util::within;
use crate::wire::Member;

/// Time between two readings.
const PERIOD: Duration = Duration::from_millis(500);

/// Longest time for one reading.
const LIMIT: Duration = Duration::from_secs(2);

/// Reads the list again and again, and passes each new version to `take`.
pub async fn watch(url: String, mut take: impl FnMut(Vec<Member>), stop: Signal) {
    let Ok(client) = Client::builder().no_proxy().build() else {
        return;
    };
    let mut known = None;
    while !stop.is_given() {
        match within(LIMIT, read(&client, &url, known.as_deref())).await {
            Some(Ok(Some((tag, members)))) => {
                known = Some(tag);
                take(members);
            }
            Some(Ok(None)) => {}
            Some(Err(err)) => warn!("event=members_unreachable error={:?}", format!("{err:#}")),
            None => warn!("event=members_unreachable error=timeout"),
        }
        within(PERIOD, stop.wait()).await;
    }
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
