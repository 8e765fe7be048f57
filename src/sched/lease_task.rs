//! Tasks of the lease exchange: one reports the demand of this host to the allocators, the other
//! runs the allocators for which this host is responsible.

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
use super::lease::{Grant, Lease, Report};
use super::lease_client::{Allotment, LeaseClient};
use super::share::Shares;
use crate::clock::Clock;
use crate::dispatch::Handle;
use crate::member::view::View;
use crate::peer;
use crate::peer::server::Methods;
use crate::route::fleet::Domain;
use crate::supervisor::Signal;
use crate::util::within;

/// Time between the starts of two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a report; shorter than the interval, so that a call ends before the next report starts.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between two checks of the grant while no lease arrives, to notice leases that expire.
const GRANT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

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
    SetShares(Shares),
    SetListedHosts(BTreeSet<CompactString>),
}

/// Handle that sends messages to the allocator task.
#[derive(Clone, Debug)]
pub struct AllocatorHandle(mpsc::UnboundedSender<Message>);

impl AllocatorHandle {
    /// Passes a host's report to the allocator of a failure domain and waits for the lease; `None`
    /// once the task has ended.
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

    /// Replaces the partners' shares.
    pub fn set_shares(&self, shares: Shares) {
        let _ = self.0.unbounded_send(Message::SetShares(shares));
    }

    /// Replaces the hosts whose routers the platform lists.
    pub fn set_listed_hosts(&self, listed: BTreeSet<CompactString>) {
        let _ = self.0.unbounded_send(Message::SetListedHosts(listed));
    }

    /// Registers the peer method `sched.report`, through which other hosts send their reports.
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

/// Creates the task that runs the allocators of this host, and its handle.
pub fn create_allocators<C: Clock>(
    clock: C,
    stop: Signal,
) -> (AllocatorHandle, impl Future<Output = ()>) {
    let (sender, mut messages) = mpsc::unbounded();
    let task = async move {
        let mut shares = Shares::default();
        let mut allocators: BTreeMap<CompactString, Allocator<C>> = BTreeMap::new();
        while !stop.is_set() {
            let message = match within(REPORT_INTERVAL, messages.next()).await {
                Some(Some(message)) => message,
                Some(None) => return,
                None => continue,
            };
            match message {
                Message::SetShares(new) => {
                    shares = new;
                    allocators
                        .values_mut()
                        .for_each(|allocator| allocator.set_shares(shares.clone()));
                }
                Message::SetListedHosts(listed) => {
                    allocators
                        .values_mut()
                        .for_each(|allocator| allocator.set_listed_hosts(listed.clone()));
                }
                Message::Report(host, incarnation, domain, report, reply) => {
                    let allocator = allocators.entry(domain).or_insert_with_key(|domain| {
                        info!("event=allocator_started domain={domain}");
                        Allocator::new(clock.clone(), shares.clone())
                    });
                    let _ = reply.send(allocator.report(&host, incarnation, &report));
                }
            }
        }
    };
    (AllocatorHandle(sender), task)
}

/// Slots that this host may use by failure domain, for the status page.
pub type LeaseStatus = Rc<RefCell<BTreeMap<CompactString, Allotment>>>;

/// Task that reports demand to the allocators and passes their leases to the dispatch task.
#[derive(Clone, Debug)]
pub struct Reporter {
    /// Dispatch task, which supplies the demand and receives the grants.
    pub dispatch: Handle,
    /// Live routers.
    pub view: View,
    /// Client for calls to other routers.
    pub peer: peer::client::Client,
    /// Allocators that run on this host.
    pub allocators: AllocatorHandle,
    /// Status of the leases, written by this task.
    pub lease_status: LeaseStatus,
    /// Number of hosts in a region up to which one allocator leases all of its failure domains.
    pub region_pool_hosts: usize,
}

impl Reporter {
    /// Reports once a second and passes on the grants, until `stop` is set.
    pub async fn run<C: Clock>(self, clock: C, stop: Signal) {
        let client = RefCell::new(LeaseClient::new(clock.clone(), Shares::default()));
        let last_grant = Cell::new(None);
        while !stop.is_set() {
            let started = Instant::now();
            let input = self.dispatch.report_input().await;
            client.borrow_mut().set_shares(input.shares);
            let reports = client.borrow_mut().reports(
                &input.demand,
                &self.lease_pools(input.domains),
                input.routers.len() as u32,
            );
            self.allocators.set_listed_hosts(input.routers);
            self.send_grant(&client.borrow(), &last_grant);
            let sent_at = clock.now();
            let answers = reports.into_iter().map(|(domain, report)| {
                let (this, client, last_grant) = (&self, &client, &last_grant);
                async move {
                    if let Some(lease) = this.send_report(domain.clone(), report).await {
                        client.borrow_mut().accept(&domain, sent_at, lease);
                        this.send_grant(&client.borrow(), last_grant);
                    }
                }
            });
            futures_util::future::join_all(answers).await;
            while !stop.is_set() && started.elapsed() < REPORT_INTERVAL {
                let left = REPORT_INTERVAL.saturating_sub(started.elapsed());
                within(left.min(GRANT_CHECK_INTERVAL), stop.wait()).await;
                self.send_grant(&client.borrow(), &last_grant);
            }
        }
    }

    /// Returns the pools, the units with an allocator of their own: one for each failure domain, or a
    /// single pool in a region with few hosts, because each pool costs a host one call a second.
    fn lease_pools(
        &self,
        domains: BTreeMap<CompactString, Domain>,
    ) -> BTreeMap<CompactString, Domain> {
        let live = self.view.live();
        let own = live.iter().find(|peer| peer.name == *self.view.own_name());
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

    /// Sends the grant to the dispatch task if its slots changed, or if it lasts at least an interval
    /// longer than the one sent last.
    ///
    /// The scheduler charges the work of other hosts once for each grant, and short intervals would
    /// only add noise.
    fn send_grant<C: Clock>(&self, client: &LeaseClient<C>, last_grant: &Cell<Option<Grant>>) {
        *self.lease_status.borrow_mut() = client.allotments();
        // Before the first engine is known there are no slots to limit.
        if self.lease_status.borrow().is_empty() {
            return;
        }
        let grant = client.grant();
        let sent = last_grant.take();
        let is_due = sent.as_ref().is_none_or(|sent| {
            sent.slots != grant.slots || grant.expires_at >= sent.expires_at + REPORT_INTERVAL
        });
        if is_due {
            self.dispatch.set_grant(grant.clone());
        }
        last_grant.set(if is_due { Some(grant) } else { sent });
    }

    /// Sends a report to the allocator of a domain, which may run on this host. Returns `None` if it
    /// does not answer in time.
    async fn send_report(&self, domain: CompactString, report: Report) -> Option<Lease> {
        let owner = self
            .view
            .owner_in(&domain, &format_compact!("sched/{domain}"))?;
        if owner.name == *self.view.own_name() {
            let sender = self.peer.sender();
            let allocators = &self.allocators;
            return allocators
                .report(sender.name, sender.incarnation, domain, report)
                .await;
        }
        let params = Params { domain, report };
        let call = self
            .peer
            .call(&owner.address, "sched.report", &params, REPORT_TIMEOUT);
        match within(REPORT_TIMEOUT, call).await {
            Some(Ok(lease)) => Some(lease),
            Some(Err(err)) => {
                debug!("event=report_failed allocator={} error={err}", owner.name);
                None
            }
            None => None,
        }
    }
}
