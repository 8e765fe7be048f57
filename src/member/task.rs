//! The task that owns the membership table: probes peers, answers theirs, spreads news.

use std::time::Duration;

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use log::info;
use serde::{Deserialize, Serialize};

use super::table::{Action, News, State, Table};
use super::view::{Peer, View};
use crate::clock::Clock;
use crate::peer::Sender;
use crate::peer::client::Client;
use crate::peer::server::Methods;
use crate::supervisor::{Group, Signal};
use crate::util::within;
use crate::wire;

/// Time between two ticks of the table.
const TICK: Duration = Duration::from_millis(100);

/// Time to wait for the answer to a direct probe.
const DIRECT_LIMIT: Duration = Duration::from_millis(300);

/// Time to wait for the answer of a helper, which probes directly.
const INDIRECT_LIMIT: Duration = Duration::from_millis(700);

/// Peers told at once that this host leaves; the others hear of it from them.
const FAREWELLS: usize = 16;

/// News and the digest of the sender's table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Gossip {
    digest: u64,
    news: Vec<News>,
}

enum Message {
    Ping(Gossip, oneshot::Sender<Gossip>),
    ProbeFor(Peer, oneshot::Sender<bool>),
    Sync(Vec<News>, oneshot::Sender<Vec<News>>),
    Listed(Vec<(Peer, bool)>),
    Probed(Probe),
    Synced(Vec<News>),
    Leave(State, oneshot::Sender<()>),
}

struct Probe {
    peer: Peer,
    answer: Option<Gossip>,
    was_indirect: bool,
}

/// Sends messages to the membership task.
#[derive(Clone, Debug)]
pub struct Handle(mpsc::UnboundedSender<Message>);

impl Handle {
    /// Takes over the platform's list.
    pub fn listed(&self, members: &[wire::Member]) {
        let routers = members
            .iter()
            .filter(|member| member.kind == wire::Kind::Router);
        let listed = routers.filter_map(|member| {
            let peer = Peer {
                name: member.name.clone(),
                address: member.peer_address.clone()?,
                failure_domain: member.failure_domain.clone(),
                region: member.region.clone(),
            };
            Some((peer, member.state == wire::Lifecycle::Leaving))
        });
        let _ = self.0.unbounded_send(Message::Listed(listed.collect()));
    }

    /// Tells peers that this host leaves or has left, and waits until some have heard.
    pub async fn leave(&self, state: State) {
        let (reply, done) = oneshot::channel();
        let _ = self.0.unbounded_send(Message::Leave(state, reply));
        let _ = done.await;
    }

    /// Adds the methods that peers call.
    pub fn add_methods(&self, methods: &mut Methods) {
        let handle = self.clone();
        methods.add("member.ping", move |_: Sender, gossip: Gossip| {
            let answer = handle.ask(|reply| Message::Ping(gossip, reply));
            async move { answer.await.ok() }
        });
        let handle = self.clone();
        methods.add("member.probe", move |_: Sender, peer: Peer| {
            let answer = handle.ask(|reply| Message::ProbeFor(peer, reply));
            async move { answer.await.ok() }
        });
        let handle = self.clone();
        methods.add("member.sync", move |_: Sender, news: Vec<News>| {
            let answer = handle.ask(|reply| Message::Sync(news, reply));
            async move { answer.await.ok() }
        });
    }

    fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Message) -> oneshot::Receiver<T> {
        let (reply, answer) = oneshot::channel();
        let _ = self.0.unbounded_send(make(reply));
        answer
    }
}

struct Task<C: Clock> {
    table: Table<C>,
    view: View,
    peer: Client,
    seeds: Vec<Peer>,
    sender: mpsc::UnboundedSender<Message>,
    calls: Group,
}

/// Creates the handle and the task's future.
///
/// `seeds` are asked for their tables at the start, because the list can be unreachable.
pub fn create<C: Clock>(
    clock: C,
    own: Peer,
    view: View,
    peer: Client,
    seeds: &[compact_str::CompactString],
    stop: Signal,
) -> (Handle, impl Future<Output = ()> + use<C>) {
    let (sender, receiver) = mpsc::unbounded();
    let seeds = seeds.iter().map(|address| Peer {
        name: address.clone(),
        address: address.clone(),
        failure_domain: own.failure_domain.clone(),
        region: own.region.clone(),
    });
    let seeds = seeds.collect();
    let incarnation = peer.sender().incarnation;
    let task = Task {
        table: Table::new(clock, own, incarnation, rand::random()),
        view,
        peer,
        seeds,
        sender: sender.clone(),
        calls: Group::default(),
    };
    (Handle(sender), task.run(receiver, stop))
}

impl<C: Clock> Task<C> {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>, stop: Signal) {
        let mut heard = self.peer.listen();
        for seed in std::mem::take(&mut self.seeds) {
            self.act(Action::Sync(seed));
        }
        while !stop.is_set() {
            if let Some(Some(message)) = within(TICK, messages.next()).await {
                self.handle(message);
                while let Ok(message) = messages.try_recv() {
                    self.handle(message);
                }
            }
            while let Ok(sender) = heard.try_recv() {
                self.table.heard(&sender.name, sender.incarnation);
            }
            for name in self.view.take_doubted() {
                self.table.doubt(&name);
            }
            for action in self.table.tick() {
                self.act(action);
            }
            self.publish();
        }
        self.calls.join().await;
    }

    fn publish(&self) {
        let live = self.table.live();
        let before = self.view.live();
        if before != live {
            let names: Vec<_> = live.iter().map(|peer| peer.name.as_str()).collect();
            info!("event=members_changed live={}", names.join(","));
        }
        self.view.set(live);
        self.view.set_active(self.table.is_active());
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Ping(gossip, reply) => {
                self.table.learn_all(gossip.news);
                let _ = reply.send(self.gossip());
            }
            Message::ProbeFor(peer, reply) => self.probe_for(peer, reply),
            Message::Sync(news, reply) => {
                self.table.learn_all(news);
                let _ = reply.send(self.table.all());
            }
            Message::Listed(listed) => self.table.set_listed(&listed),
            Message::Probed(probe) => self.probed(probe),
            Message::Synced(news) => self.table.learn_all(news),
            Message::Leave(state, done) => self.leave(state, done),
        }
    }

    fn gossip(&mut self) -> Gossip {
        Gossip {
            digest: self.table.digest(),
            news: self.table.news(),
        }
    }

    fn probed(&mut self, probe: Probe) {
        let name = probe.peer.name.clone();
        let answered = probe.answer.is_some();
        if let Some(gossip) = probe.answer {
            self.table.learn_all(gossip.news);
            if gossip.digest != self.table.digest()
                && let Some(action) = self.table.differs(&name)
            {
                self.act(action);
            }
        }
        if let Some(action) = self.table.probed(&name, answered, probe.was_indirect) {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        let sender = self.sender.clone();
        let client = self.peer.clone();
        match action {
            Action::Probe(peer) => {
                let gossip = self.gossip();
                self.calls.spawn(async move {
                    let answer = ping(&client, &peer, &gossip).await;
                    let _ = sender.unbounded_send(Message::Probed(Probe {
                        peer,
                        answer,
                        was_indirect: false,
                    }));
                });
            }
            Action::ProbeThrough(peer, helpers) => self.calls.spawn(async move {
                let answered = probe_through(&client, &peer, &helpers).await;
                let answer = answered.then(|| Gossip {
                    digest: 0,
                    news: Vec::new(),
                });
                let _ = sender.unbounded_send(Message::Probed(Probe {
                    peer,
                    answer,
                    was_indirect: true,
                }));
            }),
            Action::Sync(peer) => {
                let all = self.table.all();
                self.calls.spawn(async move {
                    let limit = Duration::from_secs(2);
                    let news = client.call(&peer.address, "member.sync", &all, limit).await;
                    if let Ok(news) = news {
                        let _ = sender.unbounded_send(Message::Synced(news));
                    }
                });
            }
        }
    }

    fn probe_for(&mut self, peer: Peer, reply: oneshot::Sender<bool>) {
        let client = self.peer.clone();
        let gossip = self.gossip();
        self.calls.spawn(async move {
            let _ = reply.send(ping(&client, &peer, &gossip).await.is_some());
        });
    }

    fn leave(&mut self, state: State, done: oneshot::Sender<()>) {
        self.table.leave(state);
        self.publish();
        let peers = self.table.live().into_iter().take(FAREWELLS);
        let gossip = self.gossip();
        let client = self.peer.clone();
        let calls: Vec<_> = peers.collect();
        self.calls.spawn(async move {
            let pings = calls.iter().map(|peer| ping(&client, peer, &gossip));
            futures_util::future::join_all(pings).await;
            let _ = done.send(());
        });
    }
}

async fn ping(client: &Client, peer: &Peer, gossip: &Gossip) -> Option<Gossip> {
    let call = client.call(&peer.address, "member.ping", gossip, DIRECT_LIMIT);
    call.await.ok()
}

async fn probe_through(client: &Client, peer: &Peer, helpers: &[Peer]) -> bool {
    let calls = helpers.iter().map(|helper| {
        client.call::<_, bool>(&helper.address, "member.probe", peer, INDIRECT_LIMIT)
    });
    let answers = futures_util::future::join_all(calls).await;
    answers.into_iter().any(|answer| answer.unwrap_or(false))
}
