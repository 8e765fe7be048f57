//! One router process: its parts and their tasks.

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
use crate::config::host::{Host, Order, Secret};
use crate::config::split::Split;
use crate::config::task::{self, Sources};
use crate::dispatch::{self, Handle, Health};
use crate::engine;
use crate::http::backend::{self, Servers};
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
use crate::sched::lease_task::{self, Allocators, Board, Reporter};
use crate::sched::share::Shares;
use crate::store::objects;
use crate::supervisor::{Group, Signal, Supervisor};
use crate::util::{unix_ms, within};
use crate::wire;

/// Time between a host's decision to leave and its refusal of new work, because the balancer lags.
/// It is below the limit of 2 s by the time that signals and busy tasks may take.
const LEAVE_GRACE: Duration = Duration::from_millis(1900);

/// Longest time to write the last claim records.
const RELEASE_LIMIT: Duration = Duration::from_millis(1000);

/// Longest time for a status request.
const STATUS_LIMIT: Duration = Duration::from_millis(800);

/// Greatest size of a request body in bytes.
const BODY_LIMIT: usize = 2 * 1024 * 1024;

/// The shared parts of a router process.
#[derive(Debug)]
pub struct Router {
    /// Settings of this host.
    pub host: HostView,
    /// The dispatch task.
    pub dispatch: Handle,
    /// Metrics.
    pub metrics: Metrics,
    /// Asks this process to leave.
    pub stop: Signal,
    /// Given when the host starts to leave.
    pub leaving: Signal,
    /// Given when new work is refused.
    pub refusing: Signal,
    /// Tasks of streamed answers and of calls to backend services.
    pub streams: Group,
    /// Calls to other routers.
    pub peer: peer::client::Client,
    /// Live routers.
    pub view: View,
    /// Allocators of this host.
    pub allocators: Allocators,
    /// Places that this host may use by failure domain.
    pub leases: Board,
    /// The membership task.
    pub members: member::task::Handle,
    /// The store, if the settings name one.
    pub store: Option<objects::Client>,
    /// The lease on orders to engines.
    pub orders: orders::task::State,
    /// What the generations know together.
    pub relay: RefCell<relay::Shared>,
    /// Signs and checks event ids.
    pub cursors: Signer,
    /// The revision in force.
    pub config: task::State,
    /// Claims on calls that run at most once; needs a store.
    pub claims: Option<claim::task::Handle>,
    /// Servers of backend services.
    pub backends: backend::Shared,
    /// Requests that were accepted and are not answered in full.
    pub requests: server::Requests,
    split: RefCell<Arc<Split>>,
    listing: RefCell<Vec<wire::Member>>,
    report: RefCell<Report<clock::System>>,
    incarnation: u64,
    last_request: Cell<u64>,
    polled_bytes: Cell<u64>,
}

/// Bytes that control has cost, by the other end.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ControlBytes {
    /// Calls to and of other routers.
    pub peers: u64,
    /// Calls to the store.
    pub store: u64,
    /// Status of engines.
    pub engines: u64,
}

/// What requests need to know of the host's settings.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Unique name.
    pub name: CompactString,
    /// Failure domain.
    pub failure_domain: CompactString,
    /// Time for which a caller may leave output unread.
    pub slow_reader_limit: Duration,
    /// Key of administrators.
    pub admin_key: Option<Secret>,
}

impl Router {
    /// Returns the split that is in force.
    pub fn split(&self) -> Arc<Split> {
        self.split.borrow().clone()
    }

    /// Puts a split into force.
    pub fn set_split(&self, split: Arc<Split>) {
        self.allocators.shares(Shares::of(&split));
        self.dispatch.split(split.clone());
        *self.split.borrow_mut() = split;
    }

    /// Returns the membership list as it was read last.
    pub fn listing(&self) -> Vec<wire::Member> {
        self.listing.borrow().clone()
    }

    /// Takes over the membership list.
    pub fn set_listing(&self, listing: Vec<wire::Member>) {
        self.members.listed(&listing);
        self.dispatch.members(listing.clone());
        self.backends.borrow_mut().set_members(&listing);
        *self.listing.borrow_mut() = listing;
    }

    /// Takes over a peer's membership list if this host could not read one.
    pub fn hint_listing(&self, listing: Vec<wire::Member>) {
        if self.listing.borrow().is_empty() {
            self.set_listing(listing);
        }
    }

    /// Notes events of a service level, of which some missed the target.
    pub fn record(&self, line: Line, events: u64, bad: u64) {
        self.report.borrow_mut().record(line, events, bad);
    }

    /// Returns the service-level burn.
    pub fn burns(&self) -> Vec<Burn> {
        self.report.borrow().burns()
    }

    /// Returns the bytes that control has cost since the start, without those of TCP and IP.
    pub fn control_bytes(&self) -> ControlBytes {
        ControlBytes {
            peers: self.peer.bytes(),
            store: self.store.as_ref().map_or(0, objects::Client::bytes),
            engines: self.polled_bytes.get(),
        }
    }

    /// Counts bytes that asking an engine for its status took.
    pub fn count_polled(&self, bytes: u64) {
        self.polled_bytes.set(self.polled_bytes.get() + bytes);
    }

    /// Returns an identity that no other request of any host has.
    pub fn new_request_id(&self) -> CompactString {
        self.last_request.set(self.last_request.get() + 1);
        let name = &self.host.name;
        format_compact!(
            "{name}-{:x}-{:x}",
            self.incarnation,
            self.last_request.get()
        )
    }

    /// Counts and logs a refusal, and turns it into a response.
    pub fn refused(&self, problem: Problem) -> Response<Body> {
        self.metrics.refused(problem.reason);
        info!(
            "event=refused reason={} work={:?}",
            problem.reason.as_str(),
            problem.work
        );
        problem.into_response()
    }
}

struct Front(Rc<Router>);

impl server::Service for Front {
    async fn call(&self, request: Request<Incoming>) -> Response<Body> {
        let router = &self.0;
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        if let Some(response) = admin::answer(router, &head).await {
            return response;
        }
        if let Some(reason) = router.config.not_ready() {
            let problem = Problem::not_run(Reason::NoSettings, reason);
            return router.refused(problem.retry_after(Duration::from_secs(1)));
        }
        if router.refusing.is_given() {
            let detail = "this host is leaving; retry at once to reach another host";
            let problem = Problem::not_run(Reason::Leaving, detail);
            return router.refused(problem.retry_after(Duration::ZERO));
        }
        let entry = router.requests.begin(format!("{} {path}", head.method));
        accepted(router, head, body)
            .await
            .map(|body| body.held(entry))
    }
}

/// Answers a request that was accepted, which is finished even if the host leaves.
async fn accepted(router: &Rc<Router>, head: Parts, body: Incoming) -> Response<Body> {
    let Ok(body) = Limited::new(body, BODY_LIMIT).collect().await else {
        let detail = format!("the body broke off or exceeds {BODY_LIMIT} bytes; shorten it");
        return router.refused(Problem::not_run(Reason::PromptTooLong, detail));
    };
    let body = body.to_bytes();
    let format = match (&head.method, head.uri.path()) {
        (&Method::POST, "/v1/completions") => Format::Completion,
        (&Method::POST, "/v1/chat/completions") => Format::Chat,
        _ => return backend::answer(router, head, body).await,
    };
    completions::complete(router, format, &head.headers, &body).await
}

/// The sockets that a router process listens on.
#[derive(Debug)]
pub struct Sockets {
    /// For callers and operators.
    pub callers: TcpListener,
    /// For other routers.
    pub peers: TcpListener,
}

impl Sockets {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// An address is in use or not of this machine.
    pub async fn bind(host: &Host) -> anyhow::Result<Self> {
        Ok(Self {
            callers: bind(&host.listen).await?,
            peers: bind(&host.peer_listen).await?,
        })
    }
}

async fn bind(address: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}; choose a free port"))
}

/// Runs a router process until `stop` is given and all work has ended.
///
/// `split` is in force until the first revision is published.
///
/// # Errors
/// A socket has no address.
pub async fn run(
    sockets: Sockets,
    host: Host,
    split: Option<Split>,
    stop: Signal,
) -> anyhow::Result<()> {
    let supervisor = Supervisor::new();
    let (dispatch, dispatch_task) = dispatch::create(
        clock::System,
        dispatch::Policy::of(&host),
        supervisor.stop_signal(),
    );
    supervisor.spawn("dispatch", dispatch_task);
    let (allocators, allocator_task) =
        lease_task::allocators(clock::System, supervisor.stop_signal());
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
        stop: stop.clone(),
        leaving: Signal::default(),
        refusing: Signal::default(),
        streams: Group::default(),
        peer,
        view,
        members,
        allocators,
        leases: Board::default(),
        relay: RefCell::default(),
        cursors: Signer::new(host.key.clone(), host.previous_key.clone()),
        config: task::State::default(),
        store,
        claims,
        backends: Rc::new(RefCell::new(servers)),
        requests: server::Requests::default(),
        orders: orders::task::State::default(),
        split: RefCell::default(),
        listing: RefCell::default(),
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
        files: split,
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
    let closed = Signal::default();
    let front = Rc::new(Front(router.clone()));
    let serving = compio::runtime::spawn(server::serve(sockets.callers, front, closed.clone()));
    info!("event=serving host={}", router.host.name);
    let cut = Signal::default();
    let signals = compio::runtime::spawn(watch_second_signal(cut.clone()));
    stop.wait().await;
    leave(&router, host.drain_limit, cut, closed, serving).await;
    router.members.leave(State::Left).await;
    supervisor.stop().await;
    signals.cancel().await;
    info!("event=stopped host={}", router.host.name);
    Ok(())
}

fn peer_client(host: &Host, incarnation: u64) -> peer::client::Client {
    let key = host.key.clone();
    let auth = Authenticator::new(clock::System, key, host.previous_key.clone());
    peer::client::Client::new(host.name.clone(), incarnation, auth)
}

/// Starts the tasks that keep this host's state up to date.
fn start_tasks(router: &Rc<Router>, host: &Host, supervisor: &Supervisor) {
    if let Some(url) = host.members.clone() {
        let router = router.clone();
        let take = move |members| router.set_listing(members);
        supervisor.spawn("members", list::watch(url, take, supervisor.stop_signal()));
    }
    let poll = poll_engines(router.clone(), clock::System, supervisor.stop_signal());
    supervisor.spawn("status", poll);
    // The baseline order of benches knows no shares.
    if host.scheduler == Order::Fifo {
        return;
    }
    let reporter = Reporter {
        dispatch: router.dispatch.clone(),
        view: router.view.clone(),
        peer: router.peer.clone(),
        allocators: router.allocators.clone(),
        board: router.leases.clone(),
        region_pool_hosts: host.region_pool_hosts,
    };
    supervisor.spawn(
        "leases",
        reporter.run(clock::System, supervisor.stop_signal()),
    );
}

/// Finishes what runs, hands over the duties of this host and closes its doors, in at most `limit`
/// or until `cut` is given.
async fn leave(
    router: &Rc<Router>,
    limit: Duration,
    cut: Signal,
    closed: Signal,
    serving: JoinHandle<()>,
) {
    info!("event=leaving host={}", router.host.name);
    let refusing_at = Instant::now() + LEAVE_GRACE;
    router.leaving.give();
    let mut serving = Some(serving);
    let drained = async {
        hand_over(router).await;
        compio::time::sleep(refusing_at.saturating_duration_since(Instant::now())).await;
        router.refusing.give();
        router.requests.idle().await;
        router.streams.join().await;
        closed.give();
        if let Some(serving) = &mut serving {
            let _ = serving.await;
        }
        if let Some(claims) = &router.claims {
            claims.wait_confirmed().await;
        }
    };
    let ended = within(limit, cut.wait());
    let is_drained = matches!(select(pin!(drained), pin!(ended)).await, Either::Left(_));
    if is_drained {
        return;
    }
    router.refusing.give();
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
    closed.give();
    router.streams.cancel().await;
    if let Some(serving) = serving {
        serving.cancel().await;
    }
}

/// Tells the peers that this host leaves, and releases its ranges to them.
async fn hand_over(router: &Router) {
    router.members.leave(State::Leaving).await;
    if let Some(claims) = &router.claims {
        // Without the store nothing can be written, and the next owner reads what is there.
        let released = within(RELEASE_LIMIT, claims.wait_released()).await;
        info!("event=ranges_released complete={}", released.is_some());
    }
}

/// Gives `cut` at the second signal to end.
async fn watch_second_signal(cut: Signal) {
    let second = |number| async move {
        // The default action, which ends the process, returns with the last listener of a signal;
        // this one is never dropped before the end.
        let mut held = Box::pin(compio::signal::unix::signal(number));
        let _ = futures_util::poll!(&mut held);
        let _ = compio::signal::unix::signal(number).await;
        let _ = compio::signal::unix::signal(number).await;
        drop(held);
    };
    select(pin!(second(15)), pin!(second(2))).await;
    cut.give();
    std::future::pending::<()>().await;
}

/// Asks engines whose load was not reported lately.
async fn poll_engines<C: Clock>(router: Rc<Router>, clock: C, stop: Signal) {
    let mut poller = Poller::new(clock);
    while !stop.is_given() {
        let engines = router.dispatch.engines().await;
        let asked = poller.due(&engines).into_iter().map(|polled| {
            let router = router.clone();
            async move {
                let status = engine::status(&polled.address, polled.next_seq, STATUS_LIMIT);
                let Some((status, bytes)) = status.await else {
                    return router.dispatch.health(polled.engine, Health::Unanswered);
                };
                router.count_polled(bytes);
                router.dispatch.status(polled.engine, status);
            }
        });
        futures_util::future::join_all(asked).await;
        within(poll::INTERVAL, stop.wait()).await;
    }
}

/// Reads split files and the host's settings from their texts.
///
/// # Errors
/// A file cannot be read, or holds a fault.
pub fn read_split(paths: &[String]) -> anyhow::Result<Split> {
    let mut files = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("could not read {path}; check the path"))?;
        files.push(crate::config::ini::File::parse(path, &text)?);
    }
    Ok(Split::from_files(&files)?)
}
