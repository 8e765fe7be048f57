//! A gateway process: its sockets, its tasks and its end.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use compio::net::{TcpListener, UdpSocket};
use log::{info, warn};

use super::protocol::{Directory, Protocol};
use super::{BALANCER_LAG, Gateway, Settings};
use super::{check, feed, follow, front, lateness, peers, ready, rollouts, watch};
use crate::clock;
use crate::http::server;
use crate::supervisor::{Signal, Supervisor};
use crate::util::within;

/// Callers that have no response yet get one this long before the remaining work is cut.
const LAST_RESPONSE_TIME: Duration = Duration::from_millis(200);

/// Number of requests that the log names when they are cut at the end of a drain.
const DRAIN_CUT_IDS_MAX: usize = 16;

async fn listen_on(address: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}; choose a free port"))
}

/// Sockets for other gateways.
struct PeerSockets {
    feed: TcpListener,
    reports: UdpSocket,
}

impl PeerSockets {
    async fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let feed = listen_on(&address.to_string()).await?;
        let reports = UdpSocket::bind(address).await;
        let reports =
            reports.with_context(|| format!("could not bind UDP {address}; choose a free port"))?;
        Ok(Self { feed, reports })
    }
}

/// Runs a gateway process until `stop` is set and all requests have ended or were cut at the
/// drain limit.
///
/// # Errors
/// A socket cannot be bound to its address, or its local address cannot be read.
pub async fn run<P: Protocol, D: Directory>(
    settings: Settings,
    directory: D,
    stop: Signal,
) -> anyhow::Result<()> {
    let caller_listener = listen_on(&settings.listen).await?;
    let ready_listener = listen_on(&settings.ready_listen).await?;
    let peer_sockets = match &settings.peers {
        Some((address, _)) => Some(PeerSockets::bind(*address).await?),
        None => None,
    };
    info!(
        "event=started host={} failure_domain={} listen={} store={}",
        settings.name, settings.failure_domain, settings.listen, settings.store
    );
    println!(
        "ready kind=gateway ready_address={} address={}",
        ready_listener.local_addr()?,
        caller_listener.local_addr()?
    );
    let supervisor = Supervisor::new();
    let gateway = Rc::new(Gateway::new(clock::System, settings));
    supervisor.spawn(
        "revisions",
        watch::revisions(gateway.clone(), directory.clone(), supervisor.stop_signal()),
    );
    supervisor.spawn(
        "engines",
        watch::engines(gateway.clone(), directory.clone(), supervisor.stop_signal()),
    );
    if gateway.settings.rollouts.is_some() {
        supervisor.spawn(
            "orders",
            rollouts::watch_orders(gateway.clone(), directory.clone(), supervisor.stop_signal()),
        );
        supervisor.spawn(
            "order_states",
            rollouts::write_states(gateway.clone(), directory.clone(), supervisor.stop_signal()),
        );
    }
    if let Some((sockets, (address, seeds))) = peer_sockets.zip(gateway.settings.peers.clone()) {
        let service = Rc::new(feed::Endpoint::new(gateway.clone()));
        supervisor.spawn(
            "feed",
            server::serve(sockets.feed, service, supervisor.stop_signal()),
        );
        supervisor.spawn(
            "follow",
            follow::run(gateway.clone(), directory.clone(), supervisor.stop_signal()),
        );
        supervisor.spawn(
            "peers",
            peers::run(
                gateway.clone(),
                directory,
                sockets.reports,
                address,
                seeds,
                supervisor.stop_signal(),
            ),
        );
    }
    let ready = Rc::new(ready::Endpoint::<_, P>::new(gateway.clone()));
    supervisor.spawn(
        "ready",
        server::serve(ready_listener, ready, supervisor.stop_signal()),
    );
    supervisor.spawn(
        "checks",
        check::run(gateway.clone(), supervisor.stop_signal()),
    );
    supervisor.spawn(
        "lateness",
        lateness::run(gateway.clone(), supervisor.stop_signal()),
    );
    let caller_stop = Signal::default();
    let front = Rc::new(front::Endpoint::<_, P>::new(gateway.clone()));
    let caller_server =
        compio::runtime::spawn(server::serve(caller_listener, front, caller_stop.clone()));
    stop.wait().await;
    info!("event=leaving running={}", gateway.requests.running().len());
    gateway.begin_drain();
    let mut drained = pin!(async {
        compio::time::sleep(BALANCER_LAG).await;
        caller_stop.set();
        let _ = caller_server.await;
    });
    let limit = gateway.drain_limit().saturating_sub(LAST_RESPONSE_TIME);
    let mut has_drained = within(limit, drained.as_mut()).await.is_some();
    if !has_drained {
        gateway.ending.set();
        has_drained = within(LAST_RESPONSE_TIME, drained).await.is_some();
    }
    if !has_drained {
        let running = gateway.requests.running();
        let ids = running.iter().take(DRAIN_CUT_IDS_MAX);
        let ids: Vec<_> = ids.map(|(id, _)| id.as_str()).collect();
        warn!(
            "event=drain_cut requests={} ids={}",
            running.len(),
            ids.join(",")
        );
    }
    gateway.stream_tasks.cancel().await;
    within(Duration::from_millis(100), supervisor.stop()).await;
    gateway.checks.cancel().await;
    gateway.reach.stop().await;
    info!("event=stopped");
    Ok(())
}
