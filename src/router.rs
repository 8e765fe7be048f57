//! A router process: its components, their tasks, startup and shutdown.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use compact_str::{CompactString, format_compact};
use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use futures_util::future::{Either, select};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use log::{info, warn};
use serde::Serialize;

use crate::claim;
use crate::clock::{self, Clock};
use crate::config::host::{Host, QueueOrder, Secret};
use crate::config::split::SharedSettings;
use crate::config::task::{self, Sources};
use crate::dispatch::{self, Handle, Health};
use crate::engine;
use crate::http::backend;
use crate::http::body::Body;
use crate::http::completions::{self, Format};
use crate::http::problem::{Problem, Reason};
use crate::http::{admin, server};
use crate::member;
use crate::member::list;
use crate::member::table::State;
use crate::member::view::{Peer, View};
use crate::orders;
use crate::peer;
use crate::peer::auth::Authenticator;
use crate::peer::server::Methods;
use crate::relay::{self, cursor::Signer};
use crate::report::burn::{Burn, Line, Report};
use crate::report::metrics::Metrics;
use crate::route::poll::{self, Poller};
use crate::route::servers::Servers;
use crate::sched::lease_task::{self, AllocatorHandle, LeaseStatus, Reporter};
use crate::sched::share::Shares;
use crate::signals::Shutdown;
use crate::store::objects;
use crate::supervisor::{Group, Signal, Supervisor};
use crate::util::{unix_ms, within};
use crate::wire;

/// Time for which a leaving host still accepts new requests, until the load balancer has noticed.
///
/// The limit is 2 s; the difference covers the delay of signals and busy tasks.
const LEAVE_GRACE: Duration = Duration::from_millis(1900);

/// Timeout for writing the last claim records and releasing the ranges.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Timeout of a status request to an engine.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of a request body.
const BODY_BYTES_MAX: usize = 2 * 1024 * 1024;

/// Components shared by the tasks of a router process.
#[derive(Debug)]
pub struct Router {
    /// The settings of this host that request handling needs.
    pub host: HostView,
    /// Handle of the dispatch task.
    pub dispatch: Handle,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Set to make this process leave.
    pub stop: Signal,
    /// Set when the host starts to leave; it still accepts requests for `LEAVE_GRACE`.
    pub leaving: Signal,
    /// Set when the host refuses new requests.
    pub refusing: Signal,
    /// Tasks that generate answers or call backend servers.
    pub request_tasks: Group,
    /// Client for calls to other routers.
    pub peer: peer::client::Client,
    /// The live routers as this host sees them.
    pub view: View,
    /// Allocators that run on this host.
    pub allocators: AllocatorHandle,
    /// Slots of engines that this host may use, by failure domain.
    pub leases: LeaseStatus,
    /// Handle of the membership task.
    pub members: member::task::Handle,
    /// Client of the store, `None` if the settings name no store.
    pub store: Option<objects::Client>,
    /// State of the task that sends orders to engines.
    pub orders: orders::task::State,
    /// State shared by all generations.
    pub relay: RefCell<relay::Shared>,
    /// Signs and verifies event ids.
    pub cursors: Signer,
    /// State of the configuration task.
    pub config: task::State,
    /// Claims on calls that run at most once; `None` without a store.
    pub claims: Option<claim::task::Handle>,
    /// Backend servers.
    pub backends: backend::Shared,
    /// Accepted requests that are not yet answered in full.
    pub requests: server::Requests,
    settings: RefCell<Arc<SharedSettings>>,
    member_list: RefCell<Vec<wire::Member>>,
    report: RefCell<Report<clock::System>>,
    incarnation: u64,
    last_request: Cell<u64>,
    polled_bytes: Cell<u64>,
}

/// Control traffic in bytes, by kind of remote party.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ControlBytes {
    /// Calls to and from other routers.
    pub peers: u64,
    /// Calls to the store.
    pub store: u64,
    /// Status requests to engines.
    pub engines: u64,
}

/// The host settings that request handling needs.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Unique name of the host.
    pub name: CompactString,
    /// Failure domain of the host.
    pub failure_domain: CompactString,
    /// Time for which a caller may leave output unread before its stream is cancelled.
    pub slow_reader_limit: Duration,
    /// Bearer token for the admin endpoints, if one is set.
    pub admin_key: Option<Secret>,
}

impl Router {
    /// Returns the shared settings in force.
    pub fn settings(&self) -> Arc<SharedSettings> {
        self.settings.borrow().clone()
    }

    /// Puts shared settings into force.
    pub fn set_settings(&self, settings: Arc<SharedSettings>) {
        self.allocators.set_shares(Shares::from_settings(&settings));
        self.dispatch.set_settings(settings.clone());
        *self.settings.borrow_mut() = settings;
    }

    /// Returns the last known membership list.
    pub fn member_list(&self) -> Vec<wire::Member> {
        self.member_list.borrow().clone()
    }

    /// Replaces the membership list.
    pub fn set_member_list(&self, member_list: Vec<wire::Member>) {
        self.members.set_listed(&member_list);
        self.dispatch.set_members(member_list.clone());
        self.backends.borrow_mut().set_members(&member_list);
        *self.member_list.borrow_mut() = member_list;
    }

    /// Sets the membership list to that of a peer unless this host has read one.
    pub fn set_member_list_if_empty(&self, member_list: Vec<wire::Member>) {
        if self.member_list.borrow().is_empty() {
            self.set_member_list(member_list);
        }
    }

    /// Records `events` of a service-level indicator, of which `bad` missed the target.
    pub fn record(&self, line: Line, events: u64, bad: u64) {
        self.report.borrow_mut().record(line, events, bad);
    }

    /// Returns the burn rates of all service-level indicators.
    pub fn burns(&self) -> Vec<Burn> {
        self.report.borrow().burns()
    }

    /// Returns the control traffic since the start, without TCP and IP headers.
    pub fn control_bytes(&self) -> ControlBytes {
        ControlBytes {
            peers: self.peer.bytes(),
            store: self.store.as_ref().map_or(0, objects::Client::bytes),
            engines: self.polled_bytes.get(),
        }
    }

    /// Counts bytes of status requests to engines.
    pub fn count_polled_bytes(&self, bytes: u64) {
        self.polled_bytes.set(self.polled_bytes.get() + bytes);
    }

    /// Returns a new request id that is unique across hosts and restarts.
    pub fn new_request_id(&self) -> CompactString {
        self.last_request.set(self.last_request.get() + 1);
        let name = &self.host.name;
        format_compact!(
            "{name}-{:x}-{:x}",
            self.incarnation,
            self.last_request.get()
        )
    }

    /// Counts and logs a refusal and converts it into a response.
    pub fn refuse(&self, problem: Problem) -> Response<Body> {
        self.metrics.count_refusal(problem.reason);
        info!(
            "event=refused reason={} work={:?}",
            problem.reason.as_str(),
            problem.work
        );
        problem.into_response()
    }
}

/// The HTTP service for callers and operators.
struct Endpoint(Rc<Router>);

impl server::Service for Endpoint {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let router = &self.0;
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if let Some(response) = admin::answer(router, &head).await {
            return response;
        }
        if let Some(reason) = router.config.not_ready_reason() {
            let problem = Problem::not_run(Reason::NoSettings, reason);
            return router.refuse(problem.retry_after(Duration::from_secs(1)));
        }
        if router.refusing.is_set() {
            let detail = "this host is leaving; retry at once to reach another host";
            let problem = Problem::not_run(Reason::Leaving, detail);
            return router.refuse(problem.retry_after(Duration::ZERO));
        }
        let guard = router.requests.begin(format!("{} {path}", head.method));
        answer_accepted(router, head, body)
            .await
            .map(|body| body.with_guard(guard))
    }
}

/// Answers an accepted request, which is finished even if the host starts to leave.
async fn answer_accepted(router: &Rc<Router>, head: Parts, body: Incoming) -> Response<Body> {
    let Ok(body) = Limited::new(body, BODY_BYTES_MAX).collect().await else {
        let detail = format!(
            "the request body ended early or exceeds {BODY_BYTES_MAX} bytes; send a shorter one"
        );
        return router.refuse(Problem::not_run(Reason::PromptTooLong, detail));
    };
    let body = body.to_bytes();
    let format = match (&head.method, head.uri.path()) {
        (&Method::POST, "/v1/completions") => Format::Completion,
        (&Method::POST, "/v1/chat/completions") => Format::Chat,
        _ => return backend::answer(router, head, body).await,
    };
    completions::complete(router, format, &head.headers, &body).await
}

/// The listening sockets of a router process.
#[derive(Debug)]
pub struct Sockets {
    /// Accepts callers and operators.
    pub callers: TcpListener,
    /// Accepts other routers.
    pub peers: TcpListener,
}

impl Sockets {
    /// Binds the addresses of the host's settings.
    ///
    /// # Errors
    /// An address is in use or does not belong to this machine.
    pub async fn bind(host: &Host) -> anyhow::Result<Self> {
        Ok(Self {
            callers: bind(&host.listen).await?,
            peers: bind(&host.peer_listen).await?,
        })
    }
}

async fn bind(address: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| {
        format!("could not listen on {address}; choose a local address and a free port")
    })
}

/// Runs a router process until `shutdown` asks to stop and all requests have ended.
///
/// `settings` is in force until the first revision is published.
///
/// # Errors
/// The local address of a socket cannot be read.
pub async fn run(
    sockets: Sockets,
    host: Host,
    settings: Option<SharedSettings>,
    shutdown: Shutdown,
) -> anyhow::Result<()> {
    let supervisor = Supervisor::new();
    let (dispatch, dispatch_task) = dispatch::create(
        clock::System,
        dispatch::Policy::from_host(&host),
        supervisor.stop_signal(),
    );
    supervisor.spawn("dispatch", dispatch_task);
    let (allocators, allocator_task) =
        lease_task::create_allocators(clock::System, supervisor.stop_signal());
    supervisor.spawn("allocators", allocator_task);
    let incarnation = unix_ms(clock::System.wall());
    let own = Peer {
        name: host.name.clone(),
        address: match &host.peer_address {
            Some(address) => address.clone(),
            None => format_compact!("{}", sockets.peers.local_addr()?),
        },
        failure_domain: host.failure_domain.clone(),
        region: host.region.clone(),
    };
    let peer = peer_client(&host, incarnation);
    let view = View::new(own.clone());
    let (members, members_task) = member::task::create(
        clock::System,
        own,
        view.clone(),
        peer.clone(),
        &host.seeds,
        supervisor.stop_signal(),
    );
    supervisor.spawn("membership", members_task);
    let store = host.store.as_deref().map(objects::Client::new);
    let mut methods = Methods::default();
    let claims = store.as_ref().map(|store| {
        claim::task::start(store, incarnation, &view, &peer, &mut methods, &supervisor)
    });
    let servers = Servers::new(clock::System, host.failure_domain.clone());
    let router = Rc::new(Router {
        host: HostView {
            name: host.name.clone(),
            failure_domain: host.failure_domain.clone(),
            slow_reader_limit: host.slow_reader_limit,
            admin_key: host.admin_key.clone(),
        },
        dispatch,
        metrics: Metrics::default(),
        stop: shutdown.stop.clone(),
        leaving: Signal::default(),
        refusing: Signal::default(),
        request_tasks: Group::default(),
        peer,
        view,
        members,
        allocators,
        leases: LeaseStatus::default(),
        relay: RefCell::default(),
        cursors: Signer::new(host.key.clone(), host.previous_key.clone()),
        config: task::State::default(),
        store,
        claims,
        backends: Rc::new(RefCell::new(servers)),
        requests: server::Requests::default(),
        orders: orders::task::State::default(),
        settings: RefCell::default(),
        member_list: RefCell::default(),
        report: RefCell::new(Report::new(clock::System)),
        incarnation,
        last_request: Cell::new(0),
        polled_bytes: Cell::new(0),
    });
    start_tasks(&router, &host, &supervisor);
    router.members.add_methods(&mut methods);
    router.allocators.add_methods(&mut methods);
    let sources = Sources {
        seeds: host.seeds.clone(),
        files: settings,
    };
    let stop_signal = supervisor.stop_signal();
    let config = task::create(router.clone(), sources, &mut methods, stop_signal);
    supervisor.spawn("config", config);
    let orders = orders::task::run(router.clone(), supervisor.stop_signal());
    supervisor.spawn("orders", orders);
    supervisor.spawn(
        "peers",
        peer::server::run(
            sockets.peers,
            methods,
            router.peer.clone(),
            supervisor.stop_signal(),
        ),
    );
    let close = Signal::default();
    let endpoint = Rc::new(Endpoint(router.clone()));
    let serving = compio::runtime::spawn(server::serve(sockets.callers, endpoint, close.clone()));
    info!("event=serving host={}", router.host.name);
    shutdown.stop.wait().await;
    leave(&router, host.drain_limit, shutdown.abort, close, serving).await;
    router.members.leave(State::Left).await;
    supervisor.stop().await;
    info!("event=stopped host={}", router.host.name);
    Ok(())
}

fn peer_client(host: &Host, incarnation: u64) -> peer::client::Client {
    let key = host.key.clone();
    let auth = Authenticator::new(clock::System, key, host.previous_key.clone());
    peer::client::Client::new(host.name.clone(), incarnation, auth)
}

/// Starts the tasks that read the membership list, poll engines and report to allocators.
fn start_tasks(router: &Rc<Router>, host: &Host, supervisor: &Supervisor) {
    if let Some(url) = host.members.clone() {
        let router = router.clone();
        let on_list = move |members| router.set_member_list(members);
        supervisor.spawn(
            "members",
            list::watch(url, on_list, supervisor.stop_signal()),
        );
    }
    let poll = poll_engines(router.clone(), clock::System, supervisor.stop_signal());
    supervisor.spawn("status", poll);
    // The order `fifo`, the baseline of benches, does not use shares or leases.
    if host.queue_order == QueueOrder::Fifo {
        return;
    }
    let reporter = Reporter {
        dispatch: router.dispatch.clone(),
        view: router.view.clone(),
        peer: router.peer.clone(),
        allocators: router.allocators.clone(),
        lease_status: router.leases.clone(),
        region_pool_hosts: host.region_pool_hosts,
    };
    supervisor.spawn(
        "leases",
        reporter.run(clock::System, supervisor.stop_signal()),
    );
}

/// Drains this host: releases its ranges, finishes its requests and closes its connections.
///
/// Requests that still run after `limit`, or when `abort` is set, are cancelled.
async fn leave(
    router: &Rc<Router>,
    limit: Duration,
    abort: Signal,
    close: Signal,
    serving: JoinHandle<()>,
) {
    info!("event=leaving host={}", router.host.name);
    let refusing_at = Instant::now() + LEAVE_GRACE;
    router.leaving.set();
    let mut serving = Some(serving);
    let drained = async {
        release_ranges(router).await;
        compio::time::sleep(refusing_at.saturating_duration_since(Instant::now())).await;
        router.refusing.set();
        router.requests.wait_idle().await;
        router.request_tasks.join().await;
        close.set();
        if let Some(serving) = &mut serving {
            let _ = serving.await;
        }
        if let Some(claims) = &router.claims {
            claims.wait_confirmed().await;
        }
    };
    let aborted = within(limit, abort.wait());
    let is_drained = matches!(select(pin!(drained), pin!(aborted)).await, Either::Left(_));
    if is_drained {
        return;
    }
    router.refusing.set();
    let running = router.requests.running();
    warn!(
        "event=drain_cut host={} requests={}",
        router.host.name,
        running.len()
    );
    for (request, since) in running {
        warn!(
            "event=request_cut request={request:?} age_ms={}",
            since.elapsed().as_millis()
        );
    }
    close.set();
    router.request_tasks.cancel().await;
    if let Some(serving) = serving {
        serving.cancel().await;
    }
}

/// Tells the peers that this host is leaving and releases its ranges.
async fn release_ranges(router: &Router) {
    router.members.leave(State::Leaving).await;
    if let Some(claims) = &router.claims {
        // If the store is unreachable, the next owner reads the records written so far.
        let released = within(RELEASE_TIMEOUT, claims.wait_released()).await;
        info!("event=ranges_released complete={}", released.is_some());
    }
}

/// Polls the status of engines whose load was not reported recently.
async fn poll_engines<C: Clock>(router: Rc<Router>, clock: C, stop: Signal) {
    let mut poller = Poller::new(clock);
    while !stop.is_set() {
        let engines = router.dispatch.poll_targets().await;
        let polls = poller.due(&engines).into_iter().map(|polled| {
            let router = router.clone();
            async move {
                let status = engine::status(&polled.address, polled.next_seq, STATUS_TIMEOUT);
                let Some((status, bytes)) = status.await else {
                    return router
                        .dispatch
                        .report_health(polled.engine, Health::Unanswered);
                };
                router.count_polled_bytes(bytes);
                router.dispatch.set_status(polled.engine, status);
            }
        });
        futures_util::future::join_all(polls).await;
        within(poll::INTERVAL, stop.wait()).await;
    }
}

/// Reads the shared settings from the files at `paths`.
///
/// # Errors
/// A file cannot be read or is invalid.
pub fn read_shared_settings(paths: &[String]) -> anyhow::Result<SharedSettings> {
    let mut files = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("could not read {path}; check the path"))?;
        files.push(crate::config::ini::File::parse(path, &text)?);
    }
    Ok(SharedSettings::from_files(&files)?)
}
