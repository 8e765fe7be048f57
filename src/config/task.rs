//! Keeps the newest revision of the split in force on this host.
//!
//! Two routers of each failure domain watch the store. All others learn the number of the newest
//! revision from messages between routers, and fetch its content from the sender. In an outage of
//! the store each host keeps what it has.

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

use super::operator::Report;
use super::revision::{self, CURRENT, Current, Package};
use super::split::Split;
use crate::member::rendezvous;
use crate::member::view::Peer;
use crate::peer::server::Methods;
use crate::router::Router;
use crate::store::objects::{Client, Objects, Version};
use crate::supervisor::Signal;
use crate::wire::Member;

/// Routers of each failure domain that watch the store.
const WATCHERS: usize = 2;

/// Longest time for which one watch waits. A connection that went silent is noticed after this and
/// the store's call limit, which together must stay below the 4 s for a change.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Time between two exchanges of revision numbers.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(500);

/// Time between two reads of the store by a router that does not watch it, in case that all
/// watchers of the fleet failed together.
const RECHECK_PERIOD: Duration = Duration::from_secs(30);

/// Calls to the store are spread over this time after a failure.
const RETURN_SPREAD: Duration = Duration::from_secs(2);

/// The first retry is spread over this time.
const FIRST_SPREAD: Duration = Duration::from_millis(200);

/// Pause after a watch that showed nothing new at once, as a stale read does.
const STALE_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a starting host waits for a peer before it trusts the store alone, whose reads
/// may be stale.
const PEER_WAIT: Duration = Duration::from_secs(1);

/// Peers that a starting host asks at once.
const ASKED_AT_START: usize = 4;

/// Longest time for an exchange of numbers.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// Longest time to fetch a content.
const FETCH_LIMIT: Duration = Duration::from_secs(1);

/// Asks for a revision above a number.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Fetch {
    above: u64,
}

/// What a starting host gets from a peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Join {
    package: Option<Package>,
    members: Vec<Member>,
}

enum Message {
    Revision(oneshot::Sender<Report>),
    Fetch(u64, oneshot::Sender<Option<Package>>),
    Join(oneshot::Sender<Join>),
}

/// Numbers for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Overview {
    /// Revision in force, 0 for that of local files or for none.
    pub revision: u64,
    /// Hex SHA-256 of the split in force, computed from the split itself.
    pub digest: String,
    /// Whether the host has settings to serve with.
    pub ready: bool,
    /// Whether this host watches the store.
    pub watches: bool,
    /// Calls to the store so far.
    pub store_calls: u64,
}

/// The part of the state that other parts of the router see.
#[derive(Debug, Default)]
pub struct State {
    // Invariant: the package of the revision in force; its number only grows.
    package: RefCell<Option<Arc<Package>>>,
    digest: RefCell<String>,
    ready: Cell<bool>,
    reason: Cell<&'static str>,
    watches: Cell<bool>,
    store_calls: Cell<u64>,
}

impl State {
    /// Returns the revision in force, 0 for that of local files or for none.
    pub fn revision(&self) -> u64 {
        let package = self.package.borrow();
        package
            .as_ref()
            .map_or(0, |package| package.record.revision)
    }

    /// Returns whether the split in force was published, and not read from local files.
    pub fn is_stored(&self) -> bool {
        self.package.borrow().is_some()
    }

    /// Returns why the host has no settings to serve with, `None` if it has.
    pub fn not_ready(&self) -> Option<&'static str> {
        (!self.ready.get()).then(|| self.reason.get())
    }

    /// Returns numbers for operators.
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

/// What the task needs besides the router.
#[derive(Debug)]
pub struct Sources {
    /// Addresses to ask at the start.
    pub seeds: Vec<CompactString>,
    /// Split from local files, in force until the first revision is published.
    pub files: Option<Split>,
}

struct Task {
    router: Rc<Router>,
    sources: Sources,
    stop: Signal,
    known: Cell<Option<Version>>,
}

/// Adds the methods that peers and operators call, and returns the task.
pub fn create(
    router: Rc<Router>,
    sources: Sources,
    methods: &mut Methods,
    stop: Signal,
) -> impl Future<Output = ()> + 'static {
    let (sender, receiver) = mpsc::unbounded();
    add_methods(methods, sender);
    router.config.reason.set("the settings are being fetched");
    let task = Task {
        router,
        sources,
        stop,
        known: Cell::new(None),
    };
    task.run(receiver)
}

fn add_methods(methods: &mut Methods, sender: mpsc::UnboundedSender<Message>) {
    let ask = sender.clone();
    methods.add("config.revision", move |_, ()| {
        let (reply, answer) = oneshot::channel();
        let _ = ask.unbounded_send(Message::Revision(reply));
        answer.map(Result::ok)
    });
    let ask = sender.clone();
    methods.add("config.fetch", move |_, fetch: Fetch| {
        let (reply, answer) = oneshot::channel();
        let _ = ask.unbounded_send(Message::Fetch(fetch.above, reply));
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
        let heard = self.router.peer.listen();
        let follow = async {
            self.start().await;
            futures_util::join!(self.watch(), self.recheck());
        };
        let all = async {
            futures_util::join!(
                self.answer(messages),
                self.listen(heard),
                self.exchange(),
                follow
            );
        };
        select(Box::pin(self.stop.wait()), Box::pin(all)).await;
    }

    fn revision(&self) -> u64 {
        self.router.config.revision()
    }

    fn own_package(&self) -> Option<Arc<Package>> {
        self.router.config.package.borrow().clone()
    }

    /// Puts a revision into force unless the host has it or a later one.
    fn offer(&self, package: Package) {
        if package.record.revision <= self.revision() {
            return;
        }
        let split = match package.split() {
            Ok(split) => split,
            Err(err) => return warn!("event=revision_refused error={err:?}"),
        };
        let record = &package.record;
        info!(
            "event=revision_in_force revision={} digest={} author={}",
            record.revision, record.digest, record.author
        );
        self.router.peer.set_revision(record.revision);
        *self.router.config.package.borrow_mut() = Some(Arc::new(package));
        self.serve(split);
    }

    fn serve(&self, split: Split) {
        *self.router.config.digest.borrow_mut() = revision::digest_of(&split);
        self.router.set_split(Arc::new(split));
        self.router.config.ready.set(true);
    }

    async fn answer(&self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.next().await {
            let above = |number| {
                let package = self.own_package();
                let newer = package.filter(|package| package.record.revision > number);
                newer.map(|package| Package::clone(&package))
            };
            match message {
                Message::Revision(reply) => {
                    let _ = reply.send(Report {
                        revision: self.revision(),
                        ready: self.router.config.ready.get(),
                    });
                }
                Message::Fetch(number, reply) => {
                    let _ = reply.send(above(number));
                }
                Message::Join(reply) => {
                    let _ = reply.send(Join {
                        package: above(0),
                        members: self.router.listing(),
                    });
                }
            }
        }
    }

    /// Fetches from each sender that has a later revision than this host.
    async fn listen(&self, mut heard: mpsc::UnboundedReceiver<crate::peer::Sender>) {
        while let Some(from) = heard.next().await {
            if from.revision <= self.revision() {
                continue;
            }
            if let Some(peer) = self.router.view.get(&from.name) {
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
            FETCH_LIMIT,
        );
        match call.await {
            Ok(Some(package)) => self.offer(package),
            Ok(None) => {}
            Err(err) => info!("event=fetch_failed peer={address} error={err:?}"),
        }
    }

    /// Tells one peer after another this host's revision and hears theirs, so that a change spreads
    /// in a cluster whose hosts send nothing else.
    async fn exchange(&self) {
        for round in 0u64.. {
            compio::time::sleep(EXCHANGE_PERIOD).await;
            // Every other round asks a watcher, which gives one step from the store to each host.
            let peer = match round.is_multiple_of(2) {
                true => pick(&self.watchers(), self.router.view.own()),
                false => pick(&self.router.view.live(), self.router.view.own()),
            };
            if let Some(peer) = peer {
                let call = self.router.peer.call::<_, Report>(
                    &peer.address,
                    "config.revision",
                    &(),
                    CALL_LIMIT,
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
        let names = &ranked[..ranked.len().min(WATCHERS)];
        let is_watcher = |peer: &&Peer| names.contains(&peer.name.as_str());
        live.iter().filter(is_watcher).cloned().collect()
    }

    async fn watch(&self) {
        let Some(store) = self.router.store.clone() else {
            return;
        };
        let mut failures = 0u32;
        loop {
            let own = self.router.view.own();
            let watches = self.watchers().iter().any(|peer| peer.name == *own);
            self.router.config.watches.set(watches);
            if !watches {
                compio::time::sleep(EXCHANGE_PERIOD).await;
                continue;
            }
            let before = (self.revision(), Instant::now());
            self.count_call();
            let seen = store.watch(CURRENT, self.known.get(), WATCH_WAIT).await;
            let taken = match seen {
                Ok(Some(object)) => match revision::parse(&object.body) {
                    Ok(current) => self.take(&store, object.version, &current).await,
                    Err(err) => Err(err),
                },
                Ok(None) => Ok(()),
                Err(err) => Err(err.into()),
            };
            if let Err(err) = taken {
                failures += 1;
                if failures == 1 {
                    warn!("event=watch_failed error={err:?}");
                    // Only the connection may have failed, so the first retry does not wait.
                    spread(FIRST_SPREAD).await;
                } else {
                    info!("event=watch_failed failures={failures} error={err:?}");
                    spread(RETURN_SPREAD).await;
                }
                continue;
            }
            if failures > 1 {
                warn!("event=watch_returned failures={failures}");
            }
            failures = 0;
            if self.revision() == before.0 && before.1.elapsed() < STALE_PAUSE {
                compio::time::sleep(STALE_PAUSE).await;
            }
        }
    }

    async fn recheck(&self) {
        let Some(store) = self.router.store.clone() else {
            return;
        };
        spread(RECHECK_PERIOD).await;
        loop {
            if !self.router.config.watches.get() {
                self.count_call();
                let taken = match revision::current(&store).await {
                    Ok(Some((version, current))) => self.take(&store, version, &current).await,
                    Ok(None) => Ok(()),
                    Err(err) => Err(err),
                };
                if let Err(err) = taken {
                    info!("event=recheck_failed error={err:?}");
                }
            }
            compio::time::sleep(RECHECK_PERIOD).await;
        }
    }

    /// Takes over what the store shows as the current revision.
    async fn take(
        &self,
        store: &Client,
        version: Version,
        current: &Current,
    ) -> Result<(), revision::Error> {
        if current.latest.revision > self.revision() {
            let package = self.read(store, current).await?;
            self.offer(package);
        }
        // A watch names the newest version that is in force here, also after a stale read.
        self.known.set(self.known.get().max(Some(version)));
        Ok(())
    }

    async fn read(&self, store: &Client, current: &Current) -> Result<Package, revision::Error> {
        let calls = current.latest.chunks.len() as u64;
        let counted = &self.router.config.store_calls;
        counted.set(counted.get() + calls);
        revision::package(store, &current.latest).await
    }

    fn count_call(&self) {
        let counted = &self.router.config.store_calls;
        counted.set(counted.get() + 1);
    }

    /// Finds the newest revision that store and peers have, and puts it into force.
    async fn start(&self) {
        let started = Instant::now();
        if self.router.store.is_none()
            && let Some(files) = self.sources.files.clone()
        {
            return self.serve(files);
        }
        loop {
            let (stored, joins) = futures_util::join!(self.stored(), self.join_peers());
            let has_peer = !joins.is_empty() || started.elapsed() >= PEER_WAIT;
            let from_peers = joins.into_iter().filter_map(|join| join.package);
            let known = matches!(stored, Ok(Some(_)));
            let is_empty = matches!(stored, Ok(None));
            let packages = from_peers.chain(stored.ok().flatten());
            let newest = packages.max_by_key(|package| package.record.revision);
            match newest {
                Some(package) if has_peer => self.offer(package),
                None if is_empty => {
                    if let Some(files) = self.sources.files.clone() {
                        return self.serve(files);
                    }
                    let reason = "no settings were published; run bilberrypost publish";
                    self.router.config.reason.set(reason);
                }
                None if !known => {
                    let reason = "neither the store nor a seed gives the settings; check both";
                    self.router.config.reason.set(reason);
                }
                _ => {}
            }
            // A peer's message may have brought a revision meanwhile.
            if self.router.config.ready.get() {
                return;
            }
            spread(match started.elapsed() < PEER_WAIT {
                true => PEER_WAIT / 5,
                false => RETURN_SPREAD,
            })
            .await;
        }
    }

    async fn stored(&self) -> Result<Option<Package>, revision::Error> {
        let Some(store) = &self.router.store else {
            return Ok(None);
        };
        self.count_call();
        match revision::current(store).await? {
            Some((_, current)) => Ok(Some(self.read(store, &current).await?)),
            None => Ok(None),
        }
    }

    async fn join_peers(&self) -> Vec<Join> {
        let own = self.router.view.own();
        let live = self.router.view.live();
        let others = live.iter().filter(|peer| peer.name != *own);
        let mut addresses: Vec<_> = others.map(|peer| peer.address.clone()).collect();
        addresses.extend(self.sources.seeds.iter().cloned());
        addresses.sort();
        addresses.dedup();
        while addresses.len() > ASKED_AT_START {
            addresses.swap_remove(rand::random_range(0..addresses.len()));
        }
        let calls = addresses.iter().map(|address| {
            let peer = &self.router.peer;
            peer.call::<_, Join>(address, "config.join", &(), CALL_LIMIT)
        });
        let joins: Vec<Join> = join_all(calls).await.into_iter().flatten().collect();
        let longest = joins.iter().max_by_key(|join| join.members.len());
        if let Some(join) = longest.filter(|join| !join.members.is_empty()) {
            self.router.set_listing_if_empty(join.members.clone());
        }
        joins
    }
}

fn pick(peers: &[Peer], own: &str) -> Option<Peer> {
    let others: Vec<_> = peers.iter().filter(|peer| peer.name != own).collect();
    match others.is_empty() {
        true => None,
        false => Some(others[rand::random_range(0..others.len())].clone()),
    }
}

/// Waits for a random part of `time`.
async fn spread(time: Duration) {
    compio::time::sleep(time.mul_f64(rand::random())).await;
}
