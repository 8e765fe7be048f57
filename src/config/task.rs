//! Task that keeps the newest revision of the shared settings in force on this host.
//!
//! Two routers of each failure domain watch the store. All other routers learn the number of the
//! newest revision from messages of other routers, and fetch its content from the sender. During an
//! outage of the store, each host keeps the revision that it has.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_channel::{mpsc, oneshot};
use futures_util::future::{join_all, select};
use futures_util::{FutureExt, StreamExt};
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::operator::RevisionReport;
use super::revision::{self, CURRENT_KEY, Current, Package};
use super::split::SharedSettings;
use crate::member::rendezvous;
use crate::member::view::Peer;
use crate::peer::server::Methods;
use crate::router::Router;
use crate::store::objects::{Client, Objects, Version};
use crate::supervisor::Signal;
use crate::wire::Member;

/// Number of routers of each failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Time after which the store ends a watch without a change. A dead connection is detected after
/// this time plus the timeout of store calls; the sum must stay below 4 s, the time within which a
/// change must be in force on all hosts.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two exchanges of revision numbers with a peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two reads of the store by a router that does not watch it. These reads find new
/// revisions if all watchers of the fleet fail together.
const RECHECK_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum random delay of a retry after repeated failures, so that hosts do not call a returning
/// store all at once.
const RETRY_SPREAD: Duration = Duration::from_secs(2);

/// Maximum random delay of the first retry.
const FIRST_RETRY_SPREAD: Duration = Duration::from_millis(200);

/// Delay after a watch that returned in less than this time without a new revision, as a stale read
/// does; without it, the loop would be busy.
const STALE_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a starting host waits for an answer of a peer. After that, it accepts the
/// revision that the store returns, although reads may be stale.
const START_PEER_WAIT: Duration = Duration::from_secs(1);

/// Maximum number of peers that a starting host asks concurrently.
const START_PEERS_MAX: usize = 4;

/// Timeout of calls that exchange revision numbers or join peers.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a call that fetches the content of a revision.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Parameters of `config.fetch`: asks for the revision in force if its number is above `above`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Fetch {
    above: u64,
}

/// Reply to `config.join`, by which a starting host gets settings and members from a peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Join {
    package: Option<Package>,
    members: Vec<Member>,
}

/// Requests from peers and operators, each with a channel for the reply.
enum Message {
    Revision(oneshot::Sender<RevisionReport>),
    Fetch(u64, oneshot::Sender<Option<Package>>),
    Join(oneshot::Sender<Join>),
}

/// State of the configuration, as returned by `/admin/v1/status`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Overview {
    /// Published revision in force; 0 for settings from local files or for none.
    pub revision: u64,
    /// SHA-256 of the settings in force, in hex; computed from the settings that are in use, not
    /// copied from the record.
    pub digest: String,
    /// Whether the host has shared settings and can serve.
    pub ready: bool,
    /// Whether this host watches the store.
    pub watches: bool,
    /// Number of calls to the store since the start.
    pub store_calls: u64,
}

/// State that other parts of the router can read.
#[derive(Debug, Default)]
pub struct State {
    // The published revision in force; its number never decreases.
    package: RefCell<Option<Arc<Package>>>,
    digest: RefCell<String>,
    ready: Cell<bool>,
    reason: Cell<&'static str>,
    watches: Cell<bool>,
    store_calls: Cell<u64>,
}

impl State {
    /// Returns the published revision in force; 0 for settings from local files or for none.
    pub fn revision(&self) -> u64 {
        let package = self.package.borrow();
        package
            .as_ref()
            .map_or(0, |package| package.record.revision)
    }

    /// Returns whether the settings in force are a published revision, not local files.
    pub fn is_published(&self) -> bool {
        self.package.borrow().is_some()
    }

    /// Returns why the host has no shared settings yet, or `None` if it has them.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        (!self.ready.get()).then(|| self.reason.get())
    }

    /// Returns the state for `/admin/v1/status`.
    pub fn overview(&self) -> Overview {
        Overview {
            revision: self.revision(),
            digest: self.digest.borrow().clone(),
            ready: self.ready.get(),
            watches: self.watches.get(),
            store_calls: self.store_calls.get(),
        }
    }
}

/// Sources of settings besides the store.
#[derive(Debug)]
pub struct Sources {
    /// Peer addresses to contact at startup.
    pub seeds: Vec<CompactString>,
    /// Settings from local files, in force until the first revision is published.
    pub files: Option<SharedSettings>,
}

struct Task {
    router: Rc<Router>,
    sources: Sources,
    stop: Signal,
    // Newest version of `config/current` whose revision is in force here.
    known_version: Cell<Option<Version>>,
}

/// Registers the methods that peers and operators call, and returns the task.
pub fn create(
    router: Rc<Router>,
    sources: Sources,
    methods: &mut Methods,
    stop: Signal,
) -> impl Future<Output = ()> + 'static {
    let (sender, receiver) = mpsc::unbounded();
    add_methods(methods, sender);
    router
        .config
        .reason
        .set("the settings have not been fetched yet");
    let task = Task {
        router,
        sources,
        stop,
        known_version: Cell::new(None),
    };
    task.run(receiver)
}

fn add_methods(methods: &mut Methods, sender: mpsc::UnboundedSender<Message>) {
    let revision_sender = sender.clone();
    methods.add("config.revision", move |_, ()| {
        let (reply, answer) = oneshot::channel();
        let _ = revision_sender.unbounded_send(Message::Revision(reply));
        answer.map(Result::ok)
    });
    let fetch_sender = sender.clone();
    methods.add("config.fetch", move |_, fetch: Fetch| {
        let (reply, answer) = oneshot::channel();
        let _ = fetch_sender.unbounded_send(Message::Fetch(fetch.above, reply));
        answer.map(Result::ok)
    });
    methods.add("config.join", move |_, ()| {
        let (reply, answer) = oneshot::channel();
        let _ = sender.unbounded_send(Message::Join(reply));
        answer.map(Result::ok)
    });
}

impl Task {
    async fn run(self, messages: mpsc::UnboundedReceiver<Message>) {
        let senders = self.router.peer.subscribe();
        let follow = async {
            self.start().await;
            futures_util::join!(self.watch(), self.recheck());
        };
        let all = async {
            futures_util::join!(
                self.handle_messages(messages),
                self.follow_senders(senders),
                self.exchange(),
                follow
            );
        };
        select(Box::pin(self.stop.wait()), Box::pin(all)).await;
    }

    fn revision(&self) -> u64 {
        self.router.config.revision()
    }

    fn package_in_force(&self) -> Option<Arc<Package>> {
        self.router.config.package.borrow().clone()
    }

    /// Puts a revision into force, unless this host has the same or a later one.
    fn apply_if_newer(&self, package: Package) {
        if package.record.revision <= self.revision() {
            return;
        }
        let settings = match package.settings() {
            Ok(settings) => settings,
            Err(err) => return warn!("event=revision_refused error={err:?}"),
        };
        let record = &package.record;
        info!(
            "event=revision_in_force revision={} digest={} author={}",
            record.revision, record.digest, record.author
        );
        self.router.peer.set_revision(record.revision);
        *self.router.config.package.borrow_mut() = Some(Arc::new(package));
        self.apply(settings);
    }

    fn apply(&self, settings: SharedSettings) {
        *self.router.config.digest.borrow_mut() = revision::settings_digest(&settings);
        self.router.set_settings(Arc::new(settings));
        self.router.config.ready.set(true);
    }

    async fn handle_messages(&self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.next().await {
            let package_above = |number| {
                let package = self.package_in_force();
                let newer = package.filter(|package| package.record.revision > number);
                newer.map(|package| Package::clone(&package))
            };
            match message {
                Message::Revision(reply) => {
                    let _ = reply.send(RevisionReport {
                        revision: self.revision(),
                        ready: self.router.config.ready.get(),
                    });
                }
                Message::Fetch(number, reply) => {
                    let _ = reply.send(package_above(number));
                }
                Message::Join(reply) => {
                    let _ = reply.send(Join {
                        package: package_above(0),
                        members: self.router.member_list(),
                    });
                }
            }
        }
    }

    /// Fetches the settings from every sender of a message that has a later revision than this
    /// host.
    async fn follow_senders(&self, mut senders: mpsc::UnboundedReceiver<crate::peer::Sender>) {
        while let Some(sender) = senders.next().await {
            if sender.revision <= self.revision() {
                continue;
            }
            if let Some(peer) = self.router.view.get(&sender.name) {
                self.fetch(&peer.address).await;
            }
        }
    }

    async fn fetch(&self, address: &str) {
        let fetch = Fetch {
            above: self.revision(),
        };
        let call = self.router.peer.call::<_, Option<Package>>(
            address,
            "config.fetch",
            &fetch,
            FETCH_TIMEOUT,
        );
        match call.await {
            Ok(Some(package)) => self.apply_if_newer(package),
            Ok(None) => {}
            Err(err) => info!("event=fetch_failed peer={address} error={err:?}"),
        }
    }

    /// Exchanges revision numbers with one random peer after another, so that a change spreads even
    /// if routers send no other messages.
    async fn exchange(&self) {
        for round in 0u64.. {
            compio::time::sleep(EXCHANGE_INTERVAL).await;
            // Every other round asks a router that watches the store, so that a change takes one hop.
            let peer = match round.is_multiple_of(2) {
                true => random_peer(&self.watchers(), self.router.view.own_name()),
                false => random_peer(&self.router.view.live(), self.router.view.own_name()),
            };
            if let Some(peer) = peer {
                let call = self.router.peer.call::<_, RevisionReport>(
                    &peer.address,
                    "config.revision",
                    &(),
                    CALL_TIMEOUT,
                );
                if let Err(err) = call.await {
                    info!("event=exchange_failed peer={} error={err:?}", peer.name);
                }
            }
        }
    }

    /// Returns the routers of this failure domain that watch the store.
    fn watchers(&self) -> Vec<Peer> {
        let domain = &self.router.host.failure_domain;
        let live = self.router.view.live();
        let local = live
            .iter()
            .filter(|peer| peer.failure_domain == *domain)
            .map(|peer| peer.name.as_str());
        let ranked = rendezvous::ranked("config-watch", local);
        let names = &ranked[..ranked.len().min(WATCHERS_PER_DOMAIN)];
        let is_watcher = |peer: &&Peer| names.contains(&peer.name.as_str());
        live.iter().filter(is_watcher).cloned().collect()
    }

    /// Watches the store for new revisions while this router is one of the watchers.
    async fn watch(&self) {
        let Some(store) = self.router.store.clone() else {
            return;
        };
        let mut failures = 0u32;
        loop {
            let own = self.router.view.own_name();
            let watches = self.watchers().iter().any(|peer| peer.name == *own);
            self.router.config.watches.set(watches);
            if !watches {
                compio::time::sleep(EXCHANGE_INTERVAL).await;
                continue;
            }
            let (revision_before, started) = (self.revision(), Instant::now());
            self.count_call();
            let seen = store
                .watch(CURRENT_KEY, self.known_version.get(), WATCH_TIMEOUT)
                .await;
            let accepted = match seen {
                Ok(Some(object)) => match revision::parse_current(&object.body) {
                    Ok(current) => self.accept(&store, object.version, &current).await,
                    Err(err) => Err(err),
                },
                Ok(None) => Ok(()),
                Err(err) => Err(err.into()),
            };
            if let Err(err) = accepted {
                failures += 1;
                if failures == 1 {
                    warn!("event=watch_failed error={err:?}");
                    // The connection alone may have failed, so the first retry comes early.
                    random_delay(FIRST_RETRY_SPREAD).await;
                } else {
                    info!("event=watch_failed failures={failures} error={err:?}");
                    random_delay(RETRY_SPREAD).await;
                }
                continue;
            }
            if failures > 1 {
                warn!("event=watch_returned failures={failures}");
            }
            failures = 0;
            if self.revision() == revision_before && started.elapsed() < STALE_PAUSE {
                compio::time::sleep(STALE_PAUSE).await;
            }
        }
    }

    /// Reads the store from time to time while this router does not watch it.
    async fn recheck(&self) {
        let Some(store) = self.router.store.clone() else {
            return;
        };
        random_delay(RECHECK_INTERVAL).await;
        loop {
            if !self.router.config.watches.get() {
                self.count_call();
                let accepted = match revision::read_current(&store).await {
                    Ok(Some((version, current))) => self.accept(&store, version, &current).await,
                    Ok(None) => Ok(()),
                    Err(err) => Err(err),
                };
                if let Err(err) = accepted {
                    info!("event=recheck_failed error={err:?}");
                }
            }
            compio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Applies the current revision that the store returned, if it is newer.
    async fn accept(
        &self,
        store: &Client,
        version: Version,
        current: &Current,
    ) -> Result<(), revision::Error> {
        if current.latest.revision > self.revision() {
            let package = self.read_package(store, current).await?;
            self.apply_if_newer(package);
        }
        // After a stale read, the next watch must still wait for a version above the newest one
        // that is in force here.
        self.known_version
            .set(self.known_version.get().max(Some(version)));
        Ok(())
    }

    async fn read_package(
        &self,
        store: &Client,
        current: &Current,
    ) -> Result<Package, revision::Error> {
        let calls = current.latest.chunks.len() as u64;
        let store_calls = &self.router.config.store_calls;
        store_calls.set(store_calls.get() + calls);
        revision::read_package(store, &current.latest).await
    }

    fn count_call(&self) {
        let store_calls = &self.router.config.store_calls;
        store_calls.set(store_calls.get() + 1);
    }

    /// Reads revisions from the store and from peers until the newest one is in force.
    async fn start(&self) {
        let started = Instant::now();
        if self.router.store.is_none()
            && let Some(files) = self.sources.files.clone()
        {
            return self.apply(files);
        }
        loop {
            let (stored, joins) = futures_util::join!(self.read_stored(), self.join_peers());
            let has_peer = !joins.is_empty() || started.elapsed() >= START_PEER_WAIT;
            let from_peers = joins.into_iter().filter_map(|join| join.package);
            let is_in_store = matches!(stored, Ok(Some(_)));
            let is_store_empty = matches!(stored, Ok(None));
            let packages = from_peers.chain(stored.ok().flatten());
            let newest = packages.max_by_key(|package| package.record.revision);
            match newest {
                Some(package) if has_peer => self.apply_if_newer(package),
                None if is_store_empty => {
                    if let Some(files) = self.sources.files.clone() {
                        return self.apply(files);
                    }
                    let reason = "no settings have been published; run bilberrypost publish";
                    self.router.config.reason.set(reason);
                }
                None if !is_in_store => {
                    let reason = "the settings cannot be read from the store or a seed; check both";
                    self.router.config.reason.set(reason);
                }
                _ => {}
            }
            // A message from a peer may have led to a fetch in the meantime.
            if self.router.config.ready.get() {
                return;
            }
            random_delay(match started.elapsed() < START_PEER_WAIT {
                true => START_PEER_WAIT / 5,
                false => RETRY_SPREAD,
            })
            .await;
        }
    }

    async fn read_stored(&self) -> Result<Option<Package>, revision::Error> {
        let Some(store) = &self.router.store else {
            return Ok(None);
        };
        self.count_call();
        match revision::read_current(store).await? {
            Some((_, current)) => Ok(Some(self.read_package(store, &current).await?)),
            None => Ok(None),
        }
    }

    /// Asks some live peers and seeds for their settings and members. Passes the longest list of
    /// members on to the router, for the case that this host cannot read the membership list.
    async fn join_peers(&self) -> Vec<Join> {
        let own = self.router.view.own_name();
        let live = self.router.view.live();
        let others = live.iter().filter(|peer| peer.name != *own);
        let mut addresses: Vec<_> = others.map(|peer| peer.address.clone()).collect();
        addresses.extend(self.sources.seeds.iter().cloned());
        addresses.sort();
        addresses.dedup();
        while addresses.len() > START_PEERS_MAX {
            addresses.swap_remove(rand::random_range(0..addresses.len()));
        }
        let calls = addresses.iter().map(|address| {
            let peer = &self.router.peer;
            peer.call::<_, Join>(address, "config.join", &(), CALL_TIMEOUT)
        });
        let joins: Vec<Join> = join_all(calls).await.into_iter().flatten().collect();
        let longest = joins.iter().max_by_key(|join| join.members.len());
        if let Some(join) = longest.filter(|join| !join.members.is_empty()) {
            self.router.set_member_list_if_empty(join.members.clone());
        }
        joins
    }
}

/// Returns a random peer other than `own`.
fn random_peer(peers: &[Peer], own: &str) -> Option<Peer> {
    let others: Vec<_> = peers.iter().filter(|peer| peer.name != own).collect();
    match others.is_empty() {
        true => None,
        false => Some(others[rand::random_range(0..others.len())].clone()),
    }
}

/// Waits for a random time of at most `limit`.
async fn random_delay(limit: Duration) {
    compio::time::sleep(limit.mul_f64(rand::random())).await;
}
