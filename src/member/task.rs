//! The task that owns the membership table: probes peers, answers their probes, and spreads
//! updates.

use std::time::Duration;

use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use log::info;
use serde::{Deserialize, Serialize};

use super::table::{Action, State, Table, Update};
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

/// Timeout of a direct probe.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of an indirect probe: a call to a helper, which probes the target directly.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of peers that this host tells directly that it leaves; they spread it to the others.
const LEAVE_NOTICES: usize = 16;

/// Updates, and the digest of the sender's table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Gossip {
    digest: u64,
    #[serde(rename = "news")]
    updates: Vec<Update>,
}

enum Message {
    Ping(Gossip, oneshot::Sender<Gossip>),
    ProbeOnBehalf(Peer, oneshot::Sender<bool>),
    Sync(Vec<Update>, oneshot::Sender<Vec<Update>>),
    // Routers in the platform's list, and whether each is listed as leaving.
    Listed(Vec<(Peer, bool)>),
    Probed(Probe),
    Synced(Vec<Update>),
    Leave(State, oneshot::Sender<()>),
}

struct Probe {
    peer: Peer,
    answer: Option<Gossip>,
    was_indirect: bool,
}

/// Handle that sends messages to the membership task.
#[derive(Clone, Debug)]
pub struct Handle(mpsc::UnboundedSender<Message>);

impl Handle {
    /// Passes on the routers in the platform's list.
    pub fn set_listed(&self, members: &[wire::Member]) {
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

    /// Tells peers that this host is leaving or has left, and waits until the calls to them end.
    pub async fn leave(&self, state: State) {
        let (reply, done) = oneshot::channel();
        let _ = self.0.unbounded_send(Message::Leave(state, reply));
        let _ = done.await;
    }

    /// Adds the RPC methods of the membership protocol.
    pub fn add_methods(&self, methods: &mut Methods) {
        let handle = self.clone();
        methods.add("member.ping", move |_: Sender, gossip: Gossip| {
            let answer = handle.ask(|reply| Message::Ping(gossip, reply));
            async move { answer.await.ok() }
        });
        let handle = self.clone();
        methods.add("member.probe", move |_: Sender, peer: Peer| {
            let answer = handle.ask(|reply| Message::ProbeOnBehalf(peer, reply));
            async move { answer.await.ok() }
        });
        let handle = self.clone();
        methods.add("member.sync", move |_: Sender, updates: Vec<Update>| {
            let answer = handle.ask(|reply| Message::Sync(updates, reply));
            async move { answer.await.ok() }
        });
    }

    fn ask<T>(
        &self,
        to_message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> oneshot::Receiver<T> {
        let (reply, answer) = oneshot::channel();
        let _ = self.0.unbounded_send(to_message(reply));
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
/// At the start the task asks the `seeds` for their tables, as the platform's list may be
/// unreachable.
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
        let mut senders = self.peer.subscribe();
        for seed in std::mem::take(&mut self.seeds) {
            self.perform(Action::Sync(seed));
        }
        while !stop.is_set() {
            if let Some(Some(message)) = within(TICK, messages.next()).await {
                self.handle(message);
                while let Ok(message) = messages.try_recv() {
                    self.handle(message);
                }
            }
            while let Ok(sender) = senders.try_recv() {
                self.table.record_contact(&sender.name, sender.incarnation);
            }
            for name in self.view.take_probe_requests() {
                self.table.request_probe(&name);
            }
            for action in self.table.tick() {
                self.perform(action);
            }
            self.publish();
        }
        self.calls.join().await;
    }

    fn publish(&self) {
        let before = self.view.live();
        self.view.set(self.table.live(), self.table.not_live());
        let live = self.view.live();
        if before != live {
            let names: Vec<_> = live.iter().map(|peer| peer.name.as_str()).collect();
            info!("event=members_changed live={}", names.join(","));
        }
        self.view.set_active(self.table.is_active());
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Ping(gossip, reply) => {
                self.table.apply_all(gossip.updates);
                let _ = reply.send(self.gossip());
            }
            Message::ProbeOnBehalf(peer, reply) => self.probe_on_behalf(peer, reply),
            Message::Sync(updates, reply) => {
                self.table.apply_all(updates);
                let _ = reply.send(self.table.all_updates());
            }
            Message::Listed(listed) => self.table.set_listed(&listed),
            Message::Probed(probe) => self.record_probe(probe),
            Message::Synced(updates) => self.table.apply_all(updates),
            Message::Leave(state, done) => self.leave(state, done),
        }
    }

    fn gossip(&mut self) -> Gossip {
        Gossip {
            digest: self.table.digest(),
            updates: self.table.next_updates(),
        }
    }

    fn record_probe(&mut self, probe: Probe) {
        let name = probe.peer.name.clone();
        let answered = probe.answer.is_some();
        if let Some(gossip) = probe.answer {
            self.table.apply_all(gossip.updates);
            if gossip.digest != self.table.digest()
                && let Some(action) = self.table.sync_if_due(&name)
            {
                self.perform(action);
            }
        }
        if let Some(action) = self.table.record_probe(&name, answered, probe.was_indirect) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
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
            Action::ProbeIndirectly(peer, helpers) => self.calls.spawn(async move {
                let answered = probe_indirectly(&client, &peer, &helpers).await;
                let answer = answered.then(|| Gossip {
                    digest: 0,
                    updates: Vec::new(),
                });
                let _ = sender.unbounded_send(Message::Probed(Probe {
                    peer,
                    answer,
                    was_indirect: true,
                }));
            }),
            Action::Sync(peer) => {
                let updates = self.table.all_updates();
                self.calls.spawn(async move {
                    let timeout = Duration::from_secs(2);
                    let updates = client
                        .call(&peer.address, "member.sync", &updates, timeout)
                        .await;
                    if let Ok(updates) = updates {
                        let _ = sender.unbounded_send(Message::Synced(updates));
                    }
                });
            }
        }
    }

    fn probe_on_behalf(&mut self, peer: Peer, reply: oneshot::Sender<bool>) {
        let client = self.peer.clone();
        let gossip = self.gossip();
        self.calls.spawn(async move {
            let _ = reply.send(ping(&client, &peer, &gossip).await.is_some());
        });
    }

    fn leave(&mut self, state: State, done: oneshot::Sender<()>) {
        self.table.leave(state);
        self.publish();
        let peers = self.table.live().into_iter().take(LEAVE_NOTICES);
        let gossip = self.gossip();
        let client = self.peer.clone();
        let peers: Vec<_> = peers.collect();
        self.calls.spawn(async move {
            let pings = peers.iter().map(|peer| ping(&client, peer, &gossip));
            futures_util::future::join_all(pings).await;
            let _ = done.send(());
        });
    }
}

async fn ping(client: &Client, peer: &Peer, gossip: &Gossip) -> Option<Gossip> {
    let call = client.call(&peer.address, "member.ping", gossip, DIRECT_PROBE_TIMEOUT);
    call.await.ok()
}

async fn probe_indirectly(client: &Client, peer: &Peer, helpers: &[Peer]) -> bool {
    let calls = helpers.iter().map(|helper| {
        client.call::<_, bool>(
            &helper.address,
            "member.probe",
            peer,
            INDIRECT_PROBE_TIMEOUT,
        )
    });
    let answers = futures_util::future::join_all(calls).await;
    answers.into_iter().any(|answer| answer.unwrap_or(false))
}
