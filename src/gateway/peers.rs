//! Reports between gateways: what each runs on which engine, and which configuration it has.
//!
//! A report is one datagram. A lost one is made good by the next, and an old one loses its effect.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::bytes::Bytes;
use compio::net::UdpSocket;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::Gateway;
use super::protocol::Directory;
use crate::clock::Clock;
use crate::http::body::Body;
use crate::http::pool::Pool;
use crate::http::problem::text_response;
use crate::http::server;
use crate::peer::roster::Roster;
use crate::relay::handover;
use crate::route::load::Load;
use crate::route::registry::Registration;
use crate::supervisor::Signal;
use crate::util::within;

/// Time between two looks for something to report.
const ROUND: Duration = Duration::from_millis(50);

/// Longest time between two reports.
const PERIOD: Duration = Duration::from_millis(500);

/// Greatest size of a report in bytes.
const REPORT_BYTES_MAX: usize = 8192;

/// Streams of one report, so that it stays below the greatest size.
const STREAMS_MAX: usize = 64;

/// Time for which a newer configuration of a peer is left to the directory.
const REVISION_PATIENCE: Duration = Duration::from_millis(300);

/// Longest time to read a peer's state.
const STATE_LIMIT: Duration = Duration::from_millis(500);

/// Path of a gateway's state.
const STATE_PATH: &str = "/v1/state";

/// What a gateway tells the others.
#[derive(Debug, Deserialize, Serialize)]
struct Report {
    /// Grows with each report of a host, also over its starts.
    number: u64,
    /// Version of the configuration, 0 if there is none.
    revision: u64,
    /// Hosts that were heard lately.
    hosts: Vec<IpAddr>,
    /// Running streams with replicas.
    streams: Vec<handover::Stream>,
    /// Engine ids with requests, prompt tokens in reading, and tokens in memory.
    loads: Vec<(CompactString, u64, u64, u64)>,
}

/// What a gateway knows, for one that cannot read the directory.
#[derive(Debug, Default, Deserialize, Serialize)]
struct State {
    /// The configuration as the directory has it.
    revision: Option<String>,
    /// The engines.
    engines: Vec<Registration>,
}

/// Answers other gateways.
pub struct Service<C: Clock>(pub Rc<Gateway<C>>);

impl<C: Clock> server::Service for Service<C> {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() != STATE_PATH {
            return text_response(StatusCode::NOT_FOUND, "no such path");
        }
        let revision = self.0.revision();
        let state = State {
            revision: revision.map(|revision| revision.source.to_string()),
            engines: self.0.registry.borrow().registrations(),
        };
        crate::http::problem::json_response(&state)
    }
}

/// Exchanges reports until `stop` is given.
pub async fn run<C: Clock, D: Directory>(
    gateway: Rc<Gateway<C>>,
    directory: D,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    stop: Signal,
) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(err) => return warn!("event=peers_off address={address} error={err:?}"),
    };
    let mut peers = Peers {
        gateway,
        directory,
        roster: Roster::new(address, seeds),
        pool: Pool::default(),
        number: 0,
        newer: None,
    };
    let (sender, mut reports) = futures_channel::mpsc::unbounded();
    let receiving = compio::runtime::spawn(receive(socket.clone(), sender));
    let mut sent = (0, None::<Instant>);
    while !stop.is_given() {
        within(ROUND, stop.wait()).await;
        while let Ok((from, report)) = reports.try_recv() {
            peers.take(from, report);
        }
        peers.pull_newer().await;
        let now = peers.gateway.clock.now();
        let changes = peers.gateway.registry.borrow().changes();
        let is_due = sent.1.is_none_or(|at| now.duration_since(at) >= PERIOD);
        if changes != sent.0 || is_due {
            peers.send(&socket, now).await;
            sent = (changes, Some(now));
        }
        peers.gateway.registry.borrow_mut().expire_peers();
    }
    receiving.cancel().await;
}

async fn receive(
    socket: Rc<UdpSocket>,
    reports: futures_channel::mpsc::UnboundedSender<(SocketAddr, Report)>,
) {
    let mut buffer = Vec::with_capacity(REPORT_BYTES_MAX);
    loop {
        buffer.clear();
        let compio::BufResult(result, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((length, from)) = result else {
            compio::time::sleep(ROUND).await;
            continue;
        };
        let Ok(report) = serde_json::from_slice::<Report>(&buffer[..length]) else {
            info!("event=report_unreadable from={from}");
            continue;
        };
        if reports.unbounded_send((from, report)).is_err() {
            return;
        }
    }
}

struct Peers<C: Clock, D> {
    gateway: Rc<Gateway<C>>,
    directory: D,
    roster: Roster,
    pool: Pool,
    number: u64,
    // A peer with a newer configuration, and since when it is known.
    newer: Option<(SocketAddr, Instant)>,
}

impl<C: Clock, D: Directory> Peers<C, D> {
    fn take(&mut self, from: SocketAddr, report: Report) {
        let now = self.gateway.clock.now();
        if self.roster.heard(from, now) {
            info!("event=peer_heard peer={from}");
        }
        for host in &report.hosts {
            self.roster.told(SocketAddr::new(*host, from.port()), now);
        }
        let own = self
            .gateway
            .revision()
            .map_or(0, |revision| revision.version);
        let is_empty = own == 0 || self.gateway.registry.borrow().is_empty();
        if report.revision > own || (is_empty && report.revision > 0) {
            self.newer.get_or_insert((from, now));
        }
        let loads = report
            .loads
            .into_iter()
            .map(|(id, running, reading, memory)| {
                let load = Load {
                    running,
                    reading,
                    memory,
                };
                (id, load)
            });
        let mut elsewhere = self.gateway.streams_elsewhere.borrow_mut();
        elsewhere.reported(report.streams, now);
        let mut registry = self.gateway.registry.borrow_mut();
        registry.set_peer(from.ip(), report.number, loads.collect());
    }

    async fn send(&mut self, socket: &UdpSocket, now: Instant) {
        // The wall clock makes numbers grow over restarts; it may step back while the process runs.
        let wall = crate::util::unix_ms(self.gateway.clock.wall());
        self.number = wall.max(self.number + 1);
        let targets = self.roster.targets(now);
        self.gateway.peers.set(self.roster.known().count());
        let report = Report {
            number: self.number,
            revision: self
                .gateway
                .revision()
                .map_or(0, |revision| revision.version),
            streams: self.own_streams(),
            hosts: self.roster.known().map(|host| host.ip()).collect(),
            loads: self
                .gateway
                .registry
                .borrow()
                .own_loads()
                .map(|(id, load)| (id, load.running, load.reading, load.memory))
                .collect(),
        };
        let Ok(bytes) = serde_json::to_vec(&report) else {
            return;
        };
        for target in targets {
            let compio::BufResult(result, _) = socket.send_to(bytes.clone(), target).await;
            if let Err(err) = result {
                info!("event=report_unsent peer={target} error={err:?}");
            }
        }
    }

    fn own_streams(&self) -> Vec<handover::Stream> {
        let own = self.gateway.own_streams.borrow();
        own.values().take(STREAMS_MAX).cloned().collect()
    }

    /// Reads a newer configuration from a peer if the directory does not bring it.
    async fn pull_newer(&mut self) {
        let now = self.gateway.clock.now();
        let Some((from, since)) = self.newer else {
            return;
        };
        if now.duration_since(since) < REVISION_PATIENCE {
            return;
        }
        self.newer = None;
        let request = Request::get(STATE_PATH)
            .header(hyper::header::HOST, from.to_string())
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else {
            return;
        };
        let answer = self
            .pool
            .call(&from.to_string(), request, STATE_LIMIT)
            .await;
        let state = match answer {
            Ok((_, body)) => serde_json::from_slice::<State>(&body).unwrap_or_default(),
            Err(err) => return info!("event=peer_state_failed peer={from} error={err:?}"),
        };
        let revision = state
            .revision
            .and_then(|source| self.directory.decode_revision(&source));
        if let Some(revision) = revision {
            let version = revision.version;
            if self.gateway.set_revision(revision) {
                info!("event=revision version={version} from_peer={from}");
            }
        }
        let mut registry = self.gateway.registry.borrow_mut();
        if registry.is_empty() && !state.engines.is_empty() {
            info!("event=engines_from_peer engines={}", state.engines.len());
            registry.replace(state.engines, false);
            drop(registry);
            self.gateway.registered();
        }
    }
}
