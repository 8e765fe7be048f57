//! The tasks that report to allocators, and that answer as one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use log::{debug, info};
use serde::{Deserialize, Serialize};

use super::allocator::Allocator;
use super::keeper::{Held, Keeper};
use super::lease::{Grant, Lease, Report};
use super::share::Shares;
use crate::clock::Clock;
use crate::dispatch::Handle;
use crate::member::view::View;
use crate::peer;
use crate::peer::server::Methods;
use crate::route::fleet::Domain;
use crate::supervisor::Signal;
use crate::util::within;

/// Time between two reports.
const PERIOD: Duration = Duration::from_secs(1);

/// Longest time for a report. It ends before the next one starts.
const REPORT_LIMIT: Duration = Duration::from_millis(800);

/// Time after which the grant is looked at again without a new lease, for leases that expire.
const GRANT_PERIOD: Duration = Duration::from_millis(250);

/// Parameters of `sched.report`.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Params {
    domain: CompactString,
    report: Report,
}

enum Message {
    Report(
        CompactString,
        u64,
        CompactString,
        Report,
        oneshot::Sender<Lease>,
    ),
    Shares(Shares),
    Listed(BTreeSet<CompactString>),
}

/// Sends messages to the allocator task.
#[derive(Clone, Debug)]
pub struct Allocators(mpsc::UnboundedSender<Message>);

impl Allocators {
    /// Passes a host's report for a failure domain on and waits for the lease.
    async fn report(
        &self,
        host: CompactString,
        incarnation: u64,
        domain: CompactString,
        report: Report,
    ) -> Option<Lease> {
        let (reply, answer) = oneshot::channel();
        let message = Message::Report(host, incarnation, domain, report, reply);
        self.0.unbounded_send(message).ok()?;
        answer.await.ok()
    }

    /// Puts new shares into force.
    pub fn shares(&self, shares: Shares) {
        let _ = self.0.unbounded_send(Message::Shares(shares));
    }

    /// Takes over the routers of the platform's list.
    pub fn listed(&self, listed: BTreeSet<CompactString>) {
        let _ = self.0.unbounded_send(Message::Listed(listed));
    }

    /// Adds the method that takes the reports of other hosts.
    pub fn add_methods(&self, methods: &mut Methods) {
        let allocators = self.clone();
        methods.add("sched.report", move |from, params: Params| {
            let allocators = allocators.clone();
            async move {
                let Params { domain, report } = params;
                allocators
                    .report(from.name, from.incarnation, domain, report)
                    .await
            }
        });
    }
}

/// Creates the handle and the task that holds the allocators of this host.
pub fn allocators<C: Clock>(clock: C, stop: Signal) -> (Allocators, impl Future<Output = ()>) {
    let (sender, mut messages) = mpsc::unbounded();
    let task = async move {
        let mut shares = Shares::default();
        let mut held: BTreeMap<CompactString, Allocator<C>> = BTreeMap::new();
        while !stop.is_set() {
            let message = match within(PERIOD, messages.next()).await {
                Some(Some(message)) => message,
                Some(None) => return,
                None => continue,
            };
            match message {
                Message::Shares(new) => {
                    shares = new;
                    held.values_mut()
                        .for_each(|allocator| allocator.set_shares(shares.clone()));
                }
                Message::Listed(listed) => {
                    held.values_mut()
                        .for_each(|allocator| allocator.set_listed(listed.clone()));
                }
                Message::Report(host, incarnation, domain, report, reply) => {
                    let allocator = held.entry(domain).or_insert_with_key(|domain| {
                        info!("event=allocator_started domain={domain}");
                        Allocator::new(clock.clone(), shares.clone())
                    });
                    let _ = reply.send(allocator.report(&host, incarnation, &report));
                }
            }
        }
    };
    (Allocators(sender), task)
}

/// What this host may use by failure domain, for operators.
pub type Board = Rc<RefCell<BTreeMap<CompactString, Held>>>;

/// What the reporting task works with.
#[derive(Clone, Debug)]
pub struct Reporter {
    /// Source of demand, and taker of grants.
    pub dispatch: Handle,
    /// Live routers.
    pub view: View,
    /// Calls to other routers.
    pub peer: peer::client::Client,
    /// Allocators of this host.
    pub allocators: Allocators,
    /// Where operators see what this host may use.
    pub board: Board,
    /// Hosts of a region up to which one allocator leases all of its failure domains.
    pub region_pool_hosts: usize,
}

impl Reporter {
    /// Reports once a second and passes on what the host may use, until `stop` is given.
    pub async fn run<C: Clock>(self, clock: C, stop: Signal) {
        let keeper = RefCell::new(Keeper::new(clock.clone(), Shares::default()));
        let last = Cell::new(None);
        while !stop.is_set() {
            let started = Instant::now();
            let asked = self.dispatch.demand().await;
            keeper.borrow_mut().set_shares(asked.shares);
            let reports = keeper.borrow_mut().reports(
                &asked.demand,
                &self.pools(asked.domains),
                asked.routers.len() as u32,
            );
            self.allocators.listed(asked.routers);
            self.grant(&keeper.borrow(), &last);
            let sent_at = clock.now();
            let answers = reports.into_iter().map(|(domain, report)| {
                let (this, keeper, last) = (&self, &keeper, &last);
                async move {
                    if let Some(lease) = this.report(domain.clone(), report).await {
                        keeper.borrow_mut().accept(&domain, sent_at, lease);
                        this.grant(&keeper.borrow(), last);
                    }
                }
            });
            futures_util::future::join_all(answers).await;
            while !stop.is_set() && started.elapsed() < PERIOD {
                let left = PERIOD.saturating_sub(started.elapsed());
                within(left.min(GRANT_PERIOD), stop.wait()).await;
                self.grant(&keeper.borrow(), &last);
            }
        }
    }

    /// Returns what is leased together: each failure domain, or all of them where few hosts share a
    /// region, since every pool costs a host a call a second.
    fn pools(&self, domains: BTreeMap<CompactString, Domain>) -> BTreeMap<CompactString, Domain> {
        let live = self.view.live();
        let own = live.iter().find(|peer| peer.name == *self.view.own());
        let Some(own) = own else {
            return domains;
        };
        let hosts = live.iter().filter(|peer| peer.region == own.region).count();
        if hosts > self.region_pool_hosts || domains.is_empty() {
            return domains;
        }
        let pool = Domain {
            slots: domains.values().map(|domain| domain.slots).sum(),
            capacity: domains.values().map(|domain| domain.capacity).sum(),
        };
        BTreeMap::from([(format_compact!("region/{}", own.region), pool)])
    }

    /// Passes a grant on if its places changed or the last one is a period old.
    ///
    /// The scheduler charges the fleet's work from grant to grant; short times between them would
    /// only add noise to that.
    fn grant<C: Clock>(&self, keeper: &Keeper<C>, last: &Cell<Option<Grant>>) {
        *self.board.borrow_mut() = keeper.domains();
        // Before the first engine is known there is nothing to share, and nothing to limit.
        if self.board.borrow().is_empty() {
            return;
        }
        let grant = keeper.grant();
        let sent = last.take();
        let is_new = sent
            .as_ref()
            .is_none_or(|sent| sent.places != grant.places || grant.until >= sent.until + PERIOD);
        if is_new {
            self.dispatch.grant(grant.clone());
        }
        last.set(if is_new { Some(grant) } else { sent });
    }

    /// Reports to the allocator of a domain, which may be this host.
    async fn report(&self, domain: CompactString, report: Report) -> Option<Lease> {
        let owner = self
            .view
            .owner_in(&domain, &format_compact!("sched/{domain}"))?;
        if owner.name == *self.view.own() {
            let sender = self.peer.sender();
            let allocators = &self.allocators;
            return allocators
                .report(sender.name, sender.incarnation, domain, report)
                .await;
        }
        let params = Params { domain, report };
        let call = self
            .peer
            .call(&owner.address, "sched.report", &params, REPORT_LIMIT);
        match within(REPORT_LIMIT, call).await {
            Some(Ok(lease)) => Some(lease),
            Some(Err(err)) => {
                debug!("event=report_failed allocator={} error={err}", owner.name);
                None
            }
            None => None,
        }
    }
}
