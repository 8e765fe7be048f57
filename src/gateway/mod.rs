//! Opaque requests from callers to engines and backend servers, by route.
//!
//! The gateway serves a protocol that an adapter translates. Requests are bytes with sizes, streams
//! are rows of numbered events.

pub mod attempt;
pub mod call;
pub mod check;
pub mod feed;
pub mod follow;
pub mod front;
pub mod peers;
pub mod plain;
pub mod protocol;
pub mod ready;
pub mod stream;
pub mod watch;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use compact_str::CompactString;
use compio::net::TcpListener;
use futures_util::future::{Either, select};
use log::{info, warn};

use crate::clock::{self, Clock};
use crate::config::routes::Revision;
use crate::http::server;
use crate::relay::handover;
use crate::report::metrics::Metrics;
use crate::report::trace::Sampler;
use crate::route::registry::Registry;
use crate::sched::retry;
use crate::supervisor::{Group, Signal, Supervisor};
use crate::util::within;
use follow::Duty;
use front::Front;
use protocol::{Directory, Protocol};
use ready::Ready;

/// Time after the request to stop in which the balancer still sends new connections.
const BALANCER_LAG: Duration = Duration::from_millis(2300);

/// Time before the host is killed in which the last streams are given up.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Time in which a host that starts usually reads its configuration.
const STARTING: Duration = Duration::from_millis(500);

/// Part of a caller's deadline after which it is asked back when the store is away.
const RETRY_PART: u32 = 6;

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of the host.
    pub name: CompactString,
    /// Failure domain of the host.
    pub failure_domain: CompactString,
    /// Address for callers, `IP:PORT`.
    pub listen: CompactString,
    /// Address for the balancer's question and for metrics, `IP:PORT`.
    pub ready_listen: CompactString,
    /// Address for messages of other gateways, and those of gateways to ask at the start.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
    /// Address of the store, `IP:PORT`.
    pub store: CompactString,
    /// Time after the request to stop at which the process is killed.
    pub drain_limit: Duration,
    /// Whether a host that cannot confirm its configuration refuses requests with keys.
    pub is_fail_closed: bool,
    /// Time after which an unconfirmed configuration counts as old.
    pub revoke_limit: Duration,
    /// Limits on repeated sends.
    pub retries: retry::Policy,
}

/// What the tasks of a gateway process share.
#[derive(Debug)]
pub struct Gateway<C: Clock> {
    /// Time.
    pub clock: C,
    /// Engines and what runs on them.
    pub registry: RefCell<Registry<C>>,
    /// Limit on repeated sends.
    pub budget: RefCell<retry::Budget>,
    /// Metrics.
    pub metrics: Metrics,
    /// Chooses the requests whose log lines are kept.
    pub sampler: Rc<Sampler>,
    /// Given when the process was asked to stop.
    pub leaving: Signal,
    /// Identity of the process, for hosts that follow it.
    pub process: u64,
    /// Whether this host watches the store, and whom it follows otherwise.
    pub duty: Duty,
    /// Given at the next change of the configuration or the engines, and then replaced.
    pub news: RefCell<Signal>,
    /// Running streams with replicas, by digest.
    pub own_streams: RefCell<BTreeMap<u64, handover::Stream>>,
    /// Running streams of the other hosts.
    pub streams_elsewhere: RefCell<handover::Streams>,
    /// Tasks of streams.
    pub streams: Group,
    /// Requests that were accepted and are not answered in full.
    pub requests: server::Requests,
    settings: Settings,
    revision: RefCell<Option<Rc<Revision>>>,
    // When the directory last confirmed the revision.
    confirmed_at: Cell<Option<Instant>>,
    started_at: Instant,
    has_engines: Cell<bool>,
    // Kinds of calls to the store that failed the last time.
    failing_calls: Cell<usize>,
    // When the directory last told what is known of engines.
    directory_at: Cell<Option<Instant>>,
    // When running work is cut, once the process was asked to stop.
    ends_at: Cell<Option<Instant>>,
}

impl<C: Clock> Gateway<C> {
    /// Creates the shared state of a process.
    pub fn new(clock: C, settings: Settings) -> Self {
        Self {
            registry: RefCell::new(Registry::new(
                clock.clone(),
                settings.name.clone(),
                settings.failure_domain.clone(),
            )),
            budget: RefCell::new(retry::Budget::new(settings.retries.shared())),
            metrics: Metrics::default(),
            sampler: Rc::new(Sampler::new(clock.now())),
            leaving: Signal::default(),
            process: rand::random(),
            duty: Duty::default(),
            news: RefCell::default(),
            failing_calls: Cell::default(),
            own_streams: RefCell::default(),
            streams_elsewhere: RefCell::default(),
            streams: Group::default(),
            requests: server::Requests::default(),
            revision: RefCell::default(),
            confirmed_at: Cell::default(),
            started_at: clock.now(),
            has_engines: Cell::default(),
            directory_at: Cell::default(),
            ends_at: Cell::default(),
            clock,
            settings,
        }
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Option<Rc<Revision>> {
        self.revision.borrow().clone()
    }

    /// Returns the version of the revision in force, 0 if there is none.
    pub fn version(&self) -> u64 {
        let revision = self.revision.borrow();
        revision.as_ref().map_or(0, |revision| revision.version)
    }

    /// Puts a revision into force if it is newer; returns whether it is.
    pub fn set_revision(&self, revision: Revision, from: &str) -> bool {
        let known = self.revision.borrow().as_ref().map(|known| known.version);
        let version = revision.version;
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        info!("event=revision version={version} from={from}");
        self.metrics.set_revision(version);
        *self.revision.borrow_mut() = Some(Rc::new(revision));
        self.note_news();
        true
    }

    /// Takes over a configuration that another host read; returns whether it is newer.
    pub fn take_revision<D: Directory>(&self, directory: &D, source: &str, from: &str) -> bool {
        match directory.decode_revision(source) {
            Some(revision) => self.set_revision(revision, from),
            None => {
                warn!("event=revision_unreadable from={from}");
                false
            }
        }
    }

    /// Wakes the hosts that follow this one.
    pub fn note_news(&self) {
        self.news.take().set();
    }

    /// Notes that the revision in force was the newest one `age` ago.
    pub fn confirm(&self, age: Duration) {
        let at = self.clock.now().checked_sub(age);
        self.confirmed_at.set(self.confirmed_at.get().max(at));
    }

    /// Notes that the engines are known as they were `age` ago.
    pub fn registered(&self, age: Duration) {
        let at = self.clock.now().checked_sub(age);
        self.has_engines.set(true);
        self.directory_at.set(self.directory_at.get().max(at));
        if let Some(at) = at {
            self.registry.borrow_mut().confirm(at);
        }
        self.metrics.set_engines(self.registry.borrow().len());
    }

    /// Notes that calls of one kind to the store began to fail, or work again.
    pub fn set_failing(&self, is_failing: bool) {
        let failing = self.failing_calls.get();
        self.failing_calls.set(match is_failing {
            true => failing + 1,
            false => failing.saturating_sub(1),
        });
    }

    /// Returns whether this host learned everything from the store, and its last calls worked.
    pub fn reaches_store(&self) -> bool {
        let has_read = self.directory_at.get().is_some() && self.confirmed_at.get().is_some();
        has_read && self.failing_calls.get() == 0
    }

    /// Returns whether keys may have been taken away without this host's knowledge, where such a
    /// host has to refuse.
    pub fn is_closed(&self) -> bool {
        let now = self.clock.now();
        let is_old = |at: Instant| now.duration_since(at) > self.settings.revoke_limit;
        self.settings.is_fail_closed && self.confirmed_at.get().is_none_or(is_old)
    }

    /// Returns the age of what the directory told about engines.
    pub fn directory_age(&self) -> Duration {
        self.age_of(self.directory_at.get())
    }

    /// Returns the time since the configuration was confirmed.
    pub fn configuration_age(&self) -> Duration {
        self.age_of(self.confirmed_at.get())
    }

    fn age_of(&self, at: Option<Instant>) -> Duration {
        at.map_or(Duration::MAX, |at| self.clock.now().duration_since(at))
    }

    /// Returns the metrics as text.
    pub fn metrics_text(&self) -> String {
        self.metrics.set_watching(self.duty.is_watching());
        self.metrics
            .set_ages(self.configuration_age(), self.directory_age());
        self.metrics.text()
    }

    /// Returns whether work that takes `expected` can end before this host does.
    pub fn has_time_for(&self, expected: Duration) -> bool {
        let Some(ends_at) = self.ends_at.get() else {
            return true;
        };
        self.clock.now() + expected < ends_at
    }

    /// Returns when a caller that waits for `deadline` may come back to a host without configuration.
    ///
    /// A host that just started reads one at once. Later the store must be away, and callers, who
    /// retry only once or twice, gain most from a retry as late as they can still be served.
    pub fn until_settled(&self, deadline: Duration) -> Duration {
        let age = self.clock.now().duration_since(self.started_at);
        match age < STARTING {
            true => STARTING,
            false => (deadline / RETRY_PART).max(front::RETRY_SOON),
        }
    }

    /// Returns the time until the balancer sends new connections elsewhere. An earlier retry may come
    /// back to this host, and callers retry only once or twice.
    pub fn until_closed(&self) -> Duration {
        let Some(ends_at) = self.ends_at.get() else {
            return Duration::ZERO;
        };
        let lasts = self.drain_limit().saturating_sub(BALANCER_LAG);
        ends_at
            .checked_sub(lasts)
            .map_or(Duration::ZERO, |closes_at| {
                closes_at.saturating_duration_since(self.clock.now())
            })
    }

    /// Returns the time after the request to stop at which running streams are cut.
    fn drain_limit(&self) -> Duration {
        self.settings.drain_limit.saturating_sub(EXIT_MARGIN)
    }

    fn leave(&self) {
        let ends_at = self.clock.now() + self.drain_limit();
        self.ends_at.set(Some(ends_at));
        self.leaving.set();
    }

    /// Returns why this host takes no new connections, if it does not.
    pub fn not_ready(&self) -> Option<&'static str> {
        if self.leaving.is_set() {
            return Some("leaving");
        }
        if self.revision.borrow().is_none() {
            return Some("no configuration is known yet");
        }
        if !self.has_engines.get() {
            return Some("no engines are known yet");
        }
        None
    }
}

/// Logs each request to read the settings again. No setting can change while the process runs, so
/// nothing else is done; without a handler the signal would end the process.
async fn reloads(stop: Signal) {
    const SIGHUP: i32 = 1;
    while !stop.is_set() {
        let signal = pin!(compio::signal::unix::signal(SIGHUP));
        if let Either::Left(_) = select(signal, pin!(stop.wait())).await {
            info!("event=reload changed=none");
        }
    }
}

/// Logs further requests to stop, which change nothing: running work ends by itself or is cut at the
/// drain limit. Without a handler a second SIGTERM would end the process at once.
async fn repeated_stops(stop: Signal) {
    const SIGTERM: i32 = 15;
    while !stop.is_set() {
        let signal = pin!(compio::signal::unix::signal(SIGTERM));
        if let Either::Left(_) = select(signal, pin!(stop.wait())).await {
            info!("event=stop_requested");
        }
    }
}

async fn bind(address: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("could not listen on {address}; choose a free port"))
}

/// Runs a gateway process until `stop` is given and its work has ended.
///
/// # Errors
/// An address cannot be listened on.
pub async fn run<P: Protocol, D: Directory>(
    settings: Settings,
    directory: D,
    stop: Signal,
) -> anyhow::Result<()> {
    let callers = bind(&settings.listen).await?;
    let balancer = bind(&settings.ready_listen).await?;
    info!(
        "event=started host={} failure_domain={} listen={} store={}",
        settings.name, settings.failure_domain, settings.listen, settings.store
    );
    println!(
        "ready kind=gateway ready_address={} address={}",
        balancer.local_addr()?,
        callers.local_addr()?
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
    if let Some((address, seeds)) = gateway.settings.peers.clone() {
        let listener = bind(&address.to_string()).await?;
        let service = Rc::new(feed::Service(gateway.clone()));
        supervisor.spawn(
            "feed",
            server::serve(listener, service, supervisor.stop_signal()),
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
                address,
                seeds,
                supervisor.stop_signal(),
            ),
        );
    }
    let ready = Rc::new(Ready::<_, P>::new(gateway.clone()));
    supervisor.spawn(
        "ready",
        server::serve(balancer, ready, supervisor.stop_signal()),
    );
    supervisor.spawn(
        "checks",
        check::run(gateway.clone(), supervisor.stop_signal()),
    );
    supervisor.spawn("reloads", reloads(supervisor.stop_signal()));
    supervisor.spawn("stops", repeated_stops(supervisor.stop_signal()));
    let closed = Signal::default();
    let front = Rc::new(Front::<_, P>::new(gateway.clone()));
    let serving = compio::runtime::spawn(server::serve(callers, front, closed.clone()));
    stop.wait().await;
    info!("event=leaving running={}", gateway.requests.running().len());
    gateway.leave();
    let drained = async {
        compio::time::sleep(BALANCER_LAG).await;
        closed.set();
        let _ = serving.await;
    };
    if within(gateway.drain_limit(), drained).await.is_none() {
        let running = gateway.requests.running().len();
        warn!("event=drain_cut requests={running}");
    }
    gateway.streams.cancel().await;
    within(Duration::from_millis(100), supervisor.stop()).await;
    info!("event=stopped");
    Ok(())
}
