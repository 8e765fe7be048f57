//! Reverse proxy between callers and the engines or backend servers of each route.
//!
//! Request and response bodies are opaque bytes; streams are sequences of numbered events. The
//! gateway knows no header or document by name: the [`protocol`] traits, which an adapter
//! implements, translate them.

pub mod admission;
pub mod attempt;
pub mod attempts;
pub mod bounds;
pub mod call;
pub mod check;
pub mod crash;
pub mod delivery;
pub mod digest;
pub mod documents;
pub mod drain;
pub mod failover;
pub mod fault;
pub mod feed;
pub mod follow;
pub mod followed;
pub mod front;
pub mod handover;
pub mod inquiry;
pub mod intake;
pub mod lateness;
pub mod notice;
pub mod pacing;
pub mod peers;
pub mod plain;
pub mod position;
pub mod process;
pub mod protocol;
pub mod reach;
pub mod ready;
pub mod refusal;
pub mod replica;
pub mod request;
pub mod rollouts;
pub mod stagger;
pub mod stream;
pub mod versions;
pub mod watch;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use log::{info, warn};

use crate::clock::Clock;
use crate::config::patch::{self, Patch};
use crate::config::routes::Revision;
use crate::http::budget::{self, Budget};
use crate::http::problem::Reason;
use crate::http::server;
use crate::peer::auth::Keys;
use crate::relay::handover::{LocalStreams, RemoteStreams};
use crate::report::metrics::Metrics;
use crate::report::trace::Sampler;
use crate::rollout::{self, Rollouts};
use crate::route::placing::Policy;
use crate::route::quarantine::Quarantine;
use crate::route::registry::Registry;
use crate::sched::admission::Controller;
use crate::sched::retry;
use crate::supervisor::{Group, Signal};
use documents::Documents;
use drain::{AnswerTimes, Drain};
use follow::Role;
use position::Position;
use protocol::{Directory, Unavailable};
use refusal::Refusal;
use request::AdmittedRequest;

/// Time after the request to stop in which the load balancer still sends new connections to this
/// host. The listener for callers stays open that long.
const BALANCER_LAG: Duration = Duration::from_millis(2300);

/// The remaining work is cut this long before the end of the drain limit, at which the process is
/// killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Time after the start within which a host normally has read its configuration.
const STARTUP_TIME: Duration = Duration::from_millis(500);

/// While no configuration is known, `Retry-After` is the caller's timeout divided by this.
const RETRY_TIMEOUT_DIVISOR: u32 = 6;

/// Longest time after the start for which a host stays not ready because it does not know the roll-out orders.
/// If neither the store nor a peer has told it by then, it serves as if there were none.
const ORDERS_WAIT_MAX: Duration = Duration::from_secs(3);

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of the host.
    pub name: CompactString,
    /// Failure domain of the host.
    pub failure_domain: CompactString,
    /// Address for callers, `IP:PORT`.
    pub listen: CompactString,
    /// Address for the load balancer's readiness check and for metrics, `IP:PORT`.
    pub ready_listen: CompactString,
    /// Own address for messages between gateways, and the addresses of the seeds, which are the
    /// first gateways to contact. `None` without peers.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>)>,
    /// Keys that prove the sender of a report; `None` if reports of any sender are used.
    pub peer_keys: Option<Keys>,
    /// Address of the store, `IP:PORT`.
    pub store: CompactString,
    /// Time after the request to stop at which the process is killed.
    pub drain_limit: Duration,
    /// Whether the host refuses requests with a key while its configuration is stale.
    pub is_fail_closed: bool,
    /// Age of the last confirmation above which the configuration counts as stale.
    pub revoke_limit: Duration,
    /// Rate of the host's link in Mbit/s; `None` if what it sends to followers is not paced.
    pub link_mbps: Option<f64>,
    /// Memory in MB above which the process is killed; `None` if it is not limited.
    pub memory_mb: Option<u32>,
    /// Number of descriptors that the process may have, those of files included; `None` if it is not
    /// limited.
    pub max_fds: Option<u32>,
    /// How requests with a prompt are placed.
    pub placing: Policy,
    /// Limits on retries.
    pub retries: retry::Policy,
    /// Limits on roll-outs; `None` if the host carries out none.
    pub rollouts: Option<rollout::Policy>,
}

impl Settings {
    /// Returns whether other gateways are named to exchange reports with.
    fn has_peers(&self) -> bool {
        let peers = self.peers.as_ref();
        peers.is_some_and(|(own, seeds)| seeds.iter().any(|seed| seed != own))
    }
}

/// State shared by the tasks of a gateway process.
#[derive(Debug)]
pub struct Gateway<C: Clock> {
    /// Source of the current time.
    pub clock: C,
    /// Known engines and their load.
    pub registry: RefCell<Registry<C>>,
    /// Retry budget.
    pub budget: RefCell<retry::Budget>,
    /// Memory and connections that this process holds for callers.
    pub memory: Budget,
    /// Admission to services with few slots.
    pub admission: RefCell<Controller>,
    /// Overloads in which it refuses requests, for the log.
    pub overloads: RefCell<admission::Overloads>,
    /// Timeouts of the callers of each route.
    pub caller_timeouts: RefCell<AnswerTimes>,
    /// Parts of prompts that crash engines.
    pub quarantine: RefCell<Quarantine>,
    /// Orders to roll versions out.
    pub rollouts: RefCell<Rollouts>,
    /// Number of hosts that write the state of a roll-out before this one.
    pub writer_rank: Cell<u32>,
    /// Requests that wait for an engine to begin, which end when a part of theirs is blocked.
    pub waiting: crash::Waiting,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Selects the requests that are logged in full.
    pub sampler: Rc<Sampler>,
    /// Times that requests to the services without prompts took.
    pub answer_times: RefCell<AnswerTimes>,
    /// Set once the process drains.
    pub leaving: Signal,
    /// Set shortly before a leaving process cuts what still runs. Callers without a response get one.
    pub ending: Signal,
    /// Random id of this process. Followers use it to notice a restart, after which the change
    /// numbers that they hold are void.
    pub process: u64,
    /// Whether this host watches the store or follows another host.
    pub role: Role,
    /// Set at the next change of the configuration or the engines, and replaced by a new signal.
    pub next_change: RefCell<Signal>,
    /// Resumable streams that this host relays.
    pub local_streams: RefCell<LocalStreams>,
    /// Resumable streams that other hosts reported.
    pub remote_streams: RefCell<RemoteStreams>,
    /// Questions to other hosts about runs.
    pub inquiries: inquiry::Inquiries,
    /// Tasks that relay streams.
    pub stream_tasks: Group,
    /// Checks of single engines.
    pub checks: Group,
    /// Whether this host reaches anything.
    pub reach: reach::Reach,
    /// Accepted requests whose response is not complete.
    pub requests: server::Requests,
    settings: Settings,
    revision: RefCell<Option<Rc<Revision>>>,
    documents: RefCell<Documents>,
    // When the revision in force was last known to be the newest one.
    revision_confirmed_at: Cell<Option<Instant>>,
    started_at: Instant,
    // The latest position in the store's history that an answer told, `None` before the first one.
    store_position: Cell<Option<Position>>,
    // Set when an answer tells a new era of the store, and replaced by a new signal.
    next_era: RefCell<Signal>,
    // Whether the engines were read at least once.
    has_engine_list: Cell<bool>,
    // Number of kinds of calls to the store whose last call failed.
    failing_calls: Cell<usize>,
    // When the registry was last known to match the directory.
    engines_confirmed_at: Cell<Option<Instant>>,
    // Position in the store's history up to which the changes of engines are known.
    engines_position: Cell<Position>,
    // Set when draining begins.
    drain: Cell<Option<Drain>>,
}

impl<C: Clock> Gateway<C> {
    /// Creates the state of a process that knows no configuration and no engines.
    pub fn new(clock: C, settings: Settings) -> Self {
        let process = rand::random();
        Self {
            registry: RefCell::new(
                Registry::new(
                    clock.clone(),
                    settings.name.clone(),
                    settings.failure_domain.clone(),
                )
                .with_policy(settings.placing),
            ),
            budget: RefCell::new(retry::Budget::new(settings.retries, process)),
            memory: Budget::new(budget::Limits::of_process(
                settings.memory_mb,
                settings.max_fds,
            )),
            admission: RefCell::default(),
            overloads: RefCell::default(),
            caller_timeouts: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(process)),
            rollouts: RefCell::new(Rollouts::new(settings.rollouts, settings.has_peers())),
            writer_rank: Cell::default(),
            waiting: crash::Waiting::default(),
            metrics: Metrics::default(),
            sampler: Rc::new(Sampler::new(clock.now())),
            answer_times: RefCell::default(),
            leaving: Signal::default(),
            ending: Signal::default(),
            process,
            role: Role::default(),
            next_change: RefCell::default(),
            failing_calls: Cell::default(),
            local_streams: RefCell::default(),
            remote_streams: RefCell::default(),
            inquiries: inquiry::Inquiries::default(),
            stream_tasks: Group::default(),
            checks: Group::default(),
            reach: reach::Reach::default(),
            requests: server::Requests::default(),
            revision: RefCell::default(),
            documents: RefCell::default(),
            revision_confirmed_at: Cell::default(),
            started_at: clock.now(),
            store_position: Cell::default(),
            next_era: RefCell::default(),
            has_engine_list: Cell::default(),
            engines_confirmed_at: Cell::default(),
            engines_position: Cell::default(),
            drain: Cell::default(),
            clock,
            settings,
        }
    }

    /// Returns the configuration revision in force.
    pub fn revision(&self) -> Option<Rc<Revision>> {
        self.revision.borrow().clone()
    }

    /// Returns the version of the revision in force, 0 if there is none.
    pub fn revision_version(&self) -> u64 {
        let revision = self.revision.borrow();
        revision.as_ref().map_or(0, |revision| revision.version)
    }

    /// Puts `revision` into force if it is newer than the current one; returns whether it was
    /// newer. `from` names its origin in the log.
    pub fn set_revision(&self, revision: Revision, from: &str) -> bool {
        let known = self.revision.borrow().as_ref().map(|known| known.version);
        let version = revision.version;
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        info!("event=revision version={version} from={from}");
        self.metrics.set_revision(version);
        let replaced = self.revision.replace(Some(Rc::new(revision)));
        let mut documents = self.documents.borrow_mut();
        match replaced {
            Some(replaced) if self.role.is_representative() => {
                documents.keep(replaced.source.clone());
            }
            _ => documents.clear(),
        }
        drop(documents);
        self.notify_followers();
        true
    }

    /// Returns the digest of the configuration document in force, that of the empty text if there is
    /// none.
    pub fn document_digest(&self) -> u64 {
        let revision = self.revision.borrow();
        patch::digest(revision.as_ref().map_or("", |known| known.source.as_str()))
    }

    /// Returns a patch to the document of `revision` for a host whose document has the digest `base`.
    pub fn patch_to(&self, revision: &Revision, base: u64) -> Patch {
        let mut documents = self.documents.borrow_mut();
        documents.patch_to(&revision.source, base)
    }

    /// Applies the configuration that another host sent, as patch or whole, if it is newer.
    pub fn apply_revision<D: Directory>(&self, directory: &D, update: &feed::Update, from: &str) {
        if update.version <= self.revision_version() {
            return;
        }
        if let Some(patch) = &update.patch {
            let known = self.revision();
            match patch.apply(known.as_ref().map_or("", |known| known.source.as_str())) {
                Ok(source) => {
                    self.set_encoded_revision(directory, &source, from);
                }
                Err(err) => warn!("event=revision_unreadable from={from} error={err:?}"),
            }
        } else if let Some(source) = &update.revision {
            self.set_encoded_revision(directory, source, from);
        }
    }

    /// Decodes a configuration sent by another host and puts it into force if it is newer; returns
    /// whether it was newer.
    pub fn set_encoded_revision<D: Directory>(
        &self,
        directory: &D,
        source: &str,
        from: &str,
    ) -> bool {
        match directory.decode_revision(source) {
            Some(revision) => self.set_revision(revision, from),
            None => {
                warn!("event=revision_unreadable from={from}");
                false
            }
        }
    }

    /// Answers the pending queries of the hosts that follow this one.
    pub fn notify_followers(&self) {
        self.next_change.take().set();
    }

    /// Records that the revision in force was the newest one `age` ago.
    pub fn confirm_revision(&self, age: Duration) {
        let at = self.clock.now().checked_sub(age);
        self.revision_confirmed_at
            .set(self.revision_confirmed_at.get().max(at));
    }

    /// Returns the signal that is set when an answer of the store tells a new era.
    pub fn next_era(&self) -> Signal {
        self.next_era.borrow().clone()
    }

    /// Returns whether no answer has told a later era than that of `position`.
    pub fn is_current_era(&self, position: Position) -> bool {
        let latest = self.store_position.get();
        latest.is_none_or(|latest| latest.era <= position.era)
    }

    /// Records the position that an answer of the store told. In a new era the calls that still wait
    /// are begun again. `name` is the kind of the call, for the log.
    fn record_position(&self, name: &str, position: Position) {
        let known = self.store_position.get();
        self.store_position.set(known.max(Some(position)));
        let Some(known) = known.filter(|known| known.era != position.era) else {
            return;
        };
        info!(
            "event=store_era name={name} era={} revision={} known_era={} known_revision={}",
            position.era, position.revision, known.era, known.revision
        );
        if position.era > known.era {
            self.next_era.take().set();
        }
    }

    /// Checks the answer of the store to a watch from `since`, or to a listing without `since`. `name`
    /// is the kind of the call, `known` the last position of that kind.
    ///
    /// # Errors
    /// [`Unavailable::HistoryGone`] if the answer is of a later era than `since`, and
    /// [`Unavailable::NoAnswer`] if it is older than what this host knows.
    pub fn check_position(
        &self,
        name: &str,
        since: Option<Position>,
        known: Position,
        answer: Position,
    ) -> Result<(), Unavailable> {
        self.record_position(name, answer);
        let era = self.store_position.get().map_or(0, |latest| latest.era);
        if answer < known.max(Position { era, revision: 0 }) {
            let cause = "the answer is older than what this host knows".to_owned();
            return Err(Unavailable::NoAnswer(cause));
        }
        match since.is_some_and(|since| since.era < answer.era) {
            true => Err(Unavailable::HistoryGone),
            false => Ok(()),
        }
    }

    /// Returns the position in the store's history up to which the changes of engines are known.
    pub fn engines_position(&self) -> Position {
        self.engines_position.get()
    }

    /// Records that the changes of engines are known up to `position` of the store's history.
    pub fn set_engines_position(&self, position: Position) {
        let known = self.engines_position.get();
        self.engines_position.set(known.max(position));
    }

    /// Records that the registry matched the directory `age` ago.
    pub fn confirm_engines(&self, age: Duration) {
        let at = self.clock.now().checked_sub(age);
        self.has_engine_list.set(true);
        self.engines_confirmed_at
            .set(self.engines_confirmed_at.get().max(at));
        if let Some(at) = at {
            self.registry.borrow_mut().confirm(at);
        }
        self.metrics.set_engines(self.registry.borrow().len());
    }

    /// Records that calls of one kind to the store started to fail, or succeed again. Followers hear
    /// of a failure at once, so that they go to another host.
    pub fn set_call_failing(&self, is_failing: bool) {
        if is_failing {
            self.notify_followers();
        }
        let failing = self.failing_calls.get();
        self.failing_calls.set(match is_failing {
            true => failing + 1,
            false => failing.saturating_sub(1),
        });
    }

    /// Returns whether this host knows configuration and engines and its last calls to the store
    /// succeeded.
    pub fn reaches_store(&self) -> bool {
        let has_read =
            self.engines_confirmed_at.get().is_some() && self.revision_confirmed_at.get().is_some();
        has_read && self.failing_calls.get() == 0
    }

    /// Returns whether requests with a key must be refused: the configuration is stale, so the key
    /// may have been revoked, and the host is set to fail closed.
    pub fn must_refuse_keys(&self) -> bool {
        let now = self.clock.now();
        let is_stale = |at: Instant| now.duration_since(at) > self.settings.revoke_limit;
        self.settings.is_fail_closed && self.revision_confirmed_at.get().is_none_or(is_stale)
    }

    /// Returns the time since the engines were confirmed; [`Duration::MAX`] if they never were.
    pub fn engines_age(&self) -> Duration {
        self.age_of(self.engines_confirmed_at.get())
    }

    /// Returns the time since the configuration was confirmed; [`Duration::MAX`] if it never was.
    pub fn configuration_age(&self) -> Duration {
        self.age_of(self.revision_confirmed_at.get())
    }

    fn age_of(&self, at: Option<Instant>) -> Duration {
        at.map_or(Duration::MAX, |at| self.clock.now().duration_since(at))
    }

    /// Returns the time since the start of the process.
    pub fn uptime(&self) -> Duration {
        self.age_of(Some(self.started_at))
    }

    /// Returns all metrics in the text format of OpenMetrics.
    pub fn metrics_text(&self) -> String {
        bounds::report(self);
        self.metrics.set_watching(self.role.is_watching());
        let position = self.store_position.get().unwrap_or_default();
        self.metrics.set_store_era(position.era);
        self.metrics
            .set_ages(self.configuration_age(), self.engines_age());
        let runs = self.remote_streams.borrow();
        let history = runs.known_for(self.clock.now());
        self.metrics.set_remembered_runs(history, runs.len());
        drop(runs);
        self.metrics.text()
    }

    /// Checks that a request which no engine has run yet ends before this host, if it is leaving.
    ///
    /// # Errors
    /// [`Refusal`] if the request had better be sent to another host.
    pub fn check_time_left(&self, admitted: &AdmittedRequest) -> Result<(), Refusal> {
        let Some(drain) = self.drain.get() else {
            return Ok(());
        };
        let now = self.clock.now();
        let expected = match admitted.call.footprint().expected_time() {
            // Without a prompt, the service's recent requests tell.
            Duration::ZERO => {
                let answer_times = self.answer_times.borrow();
                let slowest = answer_times.slowest(&admitted.service, now);
                slowest.unwrap_or(admitted.route.target_latency)
            }
            expected => expected,
        };
        match drain.may_begin(now, expected, admitted.deadline) {
            true => Ok(()),
            false => Err(self.leaving_refusal()),
        }
    }

    /// Returns the refusal of a request that no engine has run, by a host that is leaving.
    pub fn leaving_refusal(&self) -> Refusal {
        let now = self.clock.now();
        let after = self
            .drain
            .get()
            .map_or(Duration::ZERO, |drain| drain.retry_after(now));
        let detail = "this host is leaving; retry to reach another host";
        Refusal::not_run(Reason::Leaving, detail, after)
    }

    /// Returns the `Retry-After` for a caller with the given timeout while no configuration is
    /// known.
    ///
    /// A host that just started reads its configuration within `STARTUP_TIME`. Later the store
    /// must be unreachable; as callers retry only once or twice, their retry should come as late as
    /// it can still be served.
    pub fn configuration_retry_after(&self, timeout: Duration) -> Duration {
        let age = self.clock.now().duration_since(self.started_at);
        match age < STARTUP_TIME {
            true => STARTUP_TIME,
            false => (timeout / RETRY_TIMEOUT_DIVISOR).max(refusal::RETRY_AFTER_SHORT),
        }
    }

    /// Returns the time after the request to stop at which running requests and streams are cut.
    fn drain_limit(&self) -> Duration {
        self.settings.drain_limit.saturating_sub(EXIT_MARGIN)
    }

    fn begin_drain(&self) {
        let drain = Drain::new(self.clock.now(), BALANCER_LAG, self.drain_limit());
        self.drain.set(Some(drain));
        self.leaving.set();
    }

    /// Returns why this host is not ready for new connections; `None` if it is.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        if self.leaving.is_set() {
            return Some("leaving");
        }
        if self.revision.borrow().is_none() {
            return Some("no configuration is known yet");
        }
        if !self.has_engine_list.get() {
            return Some("no engines are known yet");
        }
        if self.rollouts.borrow().is_unknown() && self.uptime() < ORDERS_WAIT_MAX {
            return Some("no roll-outs are known yet");
        }
        None
    }
}
