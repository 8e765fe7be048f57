//! Exchange of reports between gateways.
//!
//! A report is one datagram. A lost one is made good by the next, and an old one loses its effect.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::bytes::Bytes;
use compio::net::UdpSocket;
use log::{info, warn};

use super::Gateway;
use super::feed::{self, Answer, Question};
use super::protocol::Directory;
use super::watch;
use crate::clock::Clock;
use crate::http::client::post_json;
use crate::http::pool::Pool;
use crate::peer::report::{self, Report, Summary};
use crate::peer::roster::{REPRESENTATIVES, Roster};
use crate::relay::handover;
use crate::route::reports::Source;
use crate::supervisor::{Group, Signal};
use crate::util::{hash64, unix_ms, within};

/// Time between two looks for something to report.
const ROUND: Duration = Duration::from_millis(50);

/// Hosts that a report may go to in each round. With more of them a host reports less often.
const REPORTS_A_ROUND: u32 = 12;

/// Longest time between two reports.
const PERIOD: Duration = Duration::from_millis(500);

/// Time between two exchanges of summaries.
const SUMMARY_PERIOD: Duration = Duration::from_millis(200);

/// Streams of one report, so that it stays below the greatest size.
const STREAMS_MAX: usize = 64;

/// Time for which a newer configuration of a peer is left to the store.
const REVISION_PATIENCE: Duration = Duration::from_millis(300);

/// Longest time to read what a peer knows, which may be large.
const PULL_LIMIT: Duration = Duration::from_secs(3);

/// Exchanges reports until `stop` is given.
pub async fn run<C: Clock, D: Directory>(
    gateway: Rc<Gateway<C>>,
    directory: D,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    stop: Signal,
) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(err) => return warn!("event=peers_off address={address} error={err:?}"),
    };
    let domain = gateway.settings.failure_domain.clone();
    let mut peers = Peers {
        own: address,
        roster: Roster::new(address, domain, seeds),
        socket: socket.clone(),
        gateway,
        directory,
        pool: Rc::default(),
        pulls: Group::default(),
        is_pulling: Rc::default(),
        number: 0,
        newer: None,
        strangers: BTreeSet::new(),
        summaries: BTreeMap::new(),
        reported: None,
        summarized_at: None,
    };
    let (sender, mut reports) = futures_channel::mpsc::unbounded();
    let receiving = compio::runtime::spawn(receive(socket, sender));
    while !stop.is_given() {
        within(ROUND, stop.wait()).await;
        while let Ok((from, report)) = reports.try_recv() {
            peers.take(from, report);
        }
        peers.refresh();
        peers.pull_newer();
        peers.report().await;
        peers.exchange_summaries().await;
    }
    receiving.cancel().await;
    peers.pulls.cancel().await;
}

async fn receive(
    socket: Rc<UdpSocket>,
    reports: futures_channel::mpsc::UnboundedSender<(SocketAddr, Report)>,
) {
    let mut buffer = Vec::with_capacity(report::BYTES_MAX);
    loop {
        buffer.clear();
        let compio::BufResult(result, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((length, from)) = result else {
            compio::time::sleep(ROUND).await;
            continue;
        };
        let report = match Report::decode(&buffer[..length]) {
            Ok(report) => report,
            Err(err) => {
                info!("event=report_unreadable peer={from} error={err:?}");
                continue;
            }
        };
        if reports.unbounded_send((from, report)).is_err() {
            return;
        }
    }
}

struct Peers<C: Clock, D> {
    gateway: Rc<Gateway<C>>,
    directory: D,
    own: SocketAddr,
    socket: Rc<UdpSocket>,
    roster: Roster,
    pool: Rc<Pool>,
    pulls: Group,
    is_pulling: Rc<Cell<bool>>,
    number: u64,
    // A peer with a newer configuration, and since when it is known.
    newer: Option<(SocketAddr, Instant)>,
    // Hosts of other failure domains that asked who is there, and get one report.
    strangers: BTreeSet<SocketAddr>,
    // The last summaries of other failure domains, and whether they were passed on.
    summaries: BTreeMap<CompactString, (Summary, bool)>,
    // When the last report was sent, and which changes of the registry it told.
    reported: Option<(Instant, u64)>,
    summarized_at: Option<Instant>,
}

impl<C: Clock, D: Directory> Peers<C, D> {
    fn take(&mut self, from: SocketAddr, report: Report) {
        let now = self.gateway.clock.now();
        let domain = &report.domain;
        if self.roster.heard(from, domain, report.is_leaving, now) {
            info!("event=peer_heard peer={from} failure_domain={domain}");
        }
        for (of, hosts) in &report.hosts {
            for host in hosts {
                let address = SocketAddr::new(*host, from.port());
                self.roster.named(address, of, of == domain, now);
            }
        }
        let is_empty = self.gateway.registry.borrow().is_empty();
        if report.revision > self.gateway.version() || (is_empty && report.revision > 0) {
            self.newer.get_or_insert((from, now));
        }
        for summary in report.summaries {
            self.take_summary(summary, from, now);
        }
        if !self.roster.is_direct(&report.domain) {
            if report.is_question {
                self.strangers.insert(from);
            }
            return;
        }
        let mut streams = self.gateway.streams_elsewhere.borrow_mut();
        streams.record_report(report.streams, now);
        let mut registry = self.gateway.registry.borrow_mut();
        registry.set_report(Source::Host(from.ip()), report.number, report.usages);
    }

    fn take_summary(&mut self, summary: Summary, from: SocketAddr, now: Instant) {
        for host in &summary.hosts {
            let address = SocketAddr::new(*host, from.port());
            self.roster.named(address, &summary.domain, true, now);
        }
        if self.roster.is_direct(&summary.domain) {
            return;
        }
        let known = self.summaries.get(&summary.domain);
        if known.is_some_and(|(known, _)| known.number >= summary.number) {
            return;
        }
        let mut registry = self.gateway.registry.borrow_mut();
        let source = Source::Domain(summary.domain.clone());
        registry.set_report(source, summary.number, summary.usages.clone());
        self.summaries
            .insert(summary.domain.clone(), (summary, false));
    }

    /// Lets what is too old lose its effect, and works out this host's duty.
    fn refresh(&mut self) {
        let now = self.gateway.clock.now();
        self.roster.expire(now);
        let mut registry = self.gateway.registry.borrow_mut();
        registry.expire_reports();
        let before = registry.last_change();
        registry.expire_lapsed();
        let has_changed = registry.last_change() != before;
        drop(registry);
        if has_changed {
            self.gateway.note_news();
        }
        let hosts = self.roster.len();
        self.gateway.metrics.set_hosts(hosts);
        self.gateway.budget.borrow_mut().set_hosts(hosts);
        self.set_duty(now);
    }

    fn set_duty(&mut self, now: Instant) {
        let is_leaving = self.gateway.leaving.is_given();
        let here = self.roster.representatives_here(is_leaving, now);
        // A leaving host does not look for others to follow any more.
        let is_representative = here.is_empty() || here.contains(&self.own);
        let mut sources = here;
        if !sources.is_empty() {
            let share = hash64(&[self.own.to_string().as_bytes()]) as usize % sources.len();
            sources.rotate_left(share);
        }
        sources.extend(self.roster.representatives_elsewhere());
        let is_followed = self.roster.heard_here(now).len() >= REPRESENTATIVES;
        self.gateway
            .duty
            .set(is_representative, is_followed, sources);
    }

    /// Sends this host's report to those that hear it directly, if it is due.
    async fn report(&mut self) {
        let now = self.gateway.clock.now();
        let changes = self.gateway.registry.borrow().own_load_version();
        let mates = self.roster.mates();
        let rounds = (mates.len() as u32).div_ceil(REPORTS_A_ROUND).max(1);
        let mut targets = match self.reported {
            Some((at, told)) => {
                let since = now.duration_since(at);
                let is_due = since >= PERIOD || (told != changes && since >= ROUND * (rounds - 1));
                if is_due { mates } else { Vec::new() }
            }
            None => mates,
        };
        if !targets.is_empty() {
            self.reported = Some((now, changes));
        }
        targets.extend(std::mem::take(&mut self.strangers));
        let seeds = self.roster.due_seeds(now);
        if targets.is_empty() && seeds.is_empty() {
            return;
        }
        let usages = self.gateway.registry.borrow().own_usages();
        let report = Report {
            usages,
            streams: self.own_streams(),
            ..self.blank(now)
        };
        let question = Report {
            is_question: true,
            ..report.clone()
        };
        self.send(report, &targets).await;
        self.send(question, &seeds).await;
    }

    /// Tells the representatives of other failure domains what this one runs, and the hosts of this
    /// one what the others run. Only the first representative does, the second one stands by.
    async fn exchange_summaries(&mut self) {
        let now = self.gateway.clock.now();
        let is_due = |at: Instant| now.duration_since(at) >= SUMMARY_PERIOD;
        let is_leaving = self.gateway.leaving.is_given();
        let here = self.roster.representatives_here(is_leaving, now);
        if !self.roster.is_large()
            || here.first() != Some(&self.own)
            || !self.summarized_at.is_none_or(is_due)
        {
            return;
        }
        self.summarized_at = Some(now);
        self.send_summary(now).await;
        self.pass_summaries_on(now).await;
    }

    /// Tells the representatives of other failure domains what the hosts of this one run.
    async fn send_summary(&mut self, now: Instant) {
        let mut hosts = self.roster.heard_here(now);
        hosts.push(self.own);
        let summary = Summary {
            domain: self.gateway.settings.failure_domain.clone(),
            number: self.next_number(),
            hosts: hosts.iter().map(SocketAddr::ip).collect(),
            usages: self.gateway.registry.borrow().joint_usages(),
        };
        let report = Report {
            summaries: vec![summary],
            ..self.blank(now)
        };
        let elsewhere = self.roster.representatives_elsewhere();
        self.send(report, &elsewhere).await;
    }

    /// Tells the hosts of this failure domain what is new of the others, with one datagram for each
    /// summary, as that of a large domain nearly fills one.
    async fn pass_summaries_on(&mut self, now: Instant) {
        let mut fresh = Vec::new();
        for (summary, is_passed_on) in self.summaries.values_mut() {
            if !std::mem::replace(is_passed_on, true) {
                fresh.push(summary.clone());
            }
        }
        let mates = self.roster.mates();
        for summary in fresh {
            let report = Report {
                summaries: vec![summary],
                ..self.blank(now)
            };
            self.send(report, &mates).await;
        }
    }

    fn own_streams(&self) -> Vec<handover::Stream> {
        let own = self.gateway.own_streams.borrow();
        own.values().take(STREAMS_MAX).cloned().collect()
    }

    /// Returns a report without any work.
    fn blank(&mut self, now: Instant) -> Report {
        let hosts = self.roster.listing(now).into_iter();
        Report {
            number: self.next_number(),
            domain: self.gateway.settings.failure_domain.clone(),
            revision: self.gateway.version(),
            is_leaving: self.gateway.leaving.is_given(),
            is_question: false,
            hosts: hosts
                .map(|(domain, hosts)| (domain, hosts.iter().map(SocketAddr::ip).collect()))
                .collect(),
            usages: Vec::new(),
            streams: Vec::new(),
            summaries: Vec::new(),
        }
    }

    /// Returns a number above all earlier ones. The wall clock makes numbers grow over restarts; it
    /// may step back while the process runs.
    fn next_number(&mut self) -> u64 {
        let wall = unix_ms(self.gateway.clock.wall());
        self.number = wall.max(self.number + 1);
        self.number
    }

    async fn send(&self, report: Report, targets: &[SocketAddr]) {
        let bytes = match report.encode() {
            Ok(bytes) => Bytes::from(bytes),
            Err(err) => return warn!("event=report_unsent error={err:?}"),
        };
        for target in targets {
            let compio::BufResult(result, _) = self.socket.send_to(bytes.clone(), *target).await;
            if let Err(err) = result {
                info!("event=report_unsent peer={target} error={err:?}");
            }
        }
    }

    /// Reads a newer configuration if neither the store nor a representative brings it.
    fn pull_newer(&mut self) {
        let now = self.gateway.clock.now();
        let Some((from, since)) = self.newer else {
            return;
        };
        if now.duration_since(since) < REVISION_PATIENCE || self.is_pulling.replace(true) {
            return;
        }
        self.newer = None;
        let (gateway, directory) = (self.gateway.clone(), self.directory.clone());
        let (pool, is_pulling) = (self.pool.clone(), self.is_pulling.clone());
        self.pulls.spawn(async move {
            let has_read = watch::read_revision(&gateway, &directory).await;
            if !has_read || gateway.registry.borrow().is_empty() {
                pull(&gateway, &directory, &pool, from).await;
            }
            is_pulling.set(false);
        });
    }
}

/// Reads the configuration, and the engines if none is known, from a peer.
async fn pull<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    pool: &Pool,
    from: SocketAddr,
) {
    let question = Question {
        revision: gateway.version(),
        is_cut_off: true,
        ..Question::default()
    };
    let address = from.to_string();
    let request = post_json(&address, feed::PATH, &question);
    let answer = pool.call(&address, request, PULL_LIMIT).await;
    let answer: Answer = match answer.map(|(_, body)| serde_json::from_slice(&body)) {
        Ok(Ok(answer)) => answer,
        Ok(Err(err)) => return info!("event=peer_unreadable peer={from} error={err:?}"),
        Err(err) => return info!("event=peer_failed peer={from} error={err:?}"),
    };
    if let Some(source) = answer.revision {
        gateway.take_revision(directory, &source, "peer");
    }
    let engines = answer.engines.registered.len();
    let mut registry = gateway.registry.borrow_mut();
    if registry.is_empty() && engines > 0 {
        info!("event=engines_from_peer engines={engines}");
        registry.apply_changes(answer.engines);
        drop(registry);
        gateway.note_news();
        gateway.registered(Duration::ZERO);
    }
}
