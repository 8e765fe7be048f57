//! Exchange of reports between gateways over UDP.
//!
//! A report is one datagram with the sender's load on each engine, its streams and the hosts it
//! knows. It replaces the sender's last one and expires after a while, so a lost datagram needs no
//! resend.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, ToCompactString};
use compio::bytes::Bytes;
use compio::net::UdpSocket;
use log::{info, warn};

use super::Gateway;
use super::crash;
use super::feed::{self, Query, Update};
use super::follow::Duty;
use super::protocol::Directory;
use super::watch;
use crate::clock::Clock;
use crate::http::client::post_json;
use crate::http::pool::Pool;
use crate::member::rendezvous;
use crate::peer::newer::Newer;
use crate::peer::report::{Report, Summary};
use crate::peer::roster::{REPRESENTATIVES, Roster};
use crate::peer::schedule::Schedule;
use crate::peer::seal::{self, Verifier};
use crate::relay::handover;
use crate::route::evidence::Evidence;
use crate::route::load::EngineHash;
use crate::route::losses::{Finder, Loss};
use crate::route::reports::Source;
use crate::sched::demand::Counts;
use crate::supervisor::{Group, Signal};
use crate::util::{unix_ms, within};

/// Period of the loop that handles received reports and sends due ones.
const TICK: Duration = Duration::from_millis(50);

/// A wait for the next tick that takes this long shows that the process was paused. Datagrams that arrived
/// meanwhile may have found the buffer of the socket full.
const PAUSE_MIN: Duration = Duration::from_secs(1);

/// Recipients for which a host may report a change in every tick. With more recipients it waits for
/// one more tick per this number of them, which bounds the datagrams per second.
const REPORTS_PER_TICK_MAX: u32 = 12;

/// Time after which a report is sent even if nothing changed.
const REPORT_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Maximum number of streams in one report, which keeps it below [`report::BYTES_MAX`].
const REPORT_STREAMS_MAX: usize = 64;

/// Maximum number of the hosts that report to this one that are asked about a run.
const ASKED_REPORTERS_MAX: usize = 6;

/// Name of the duty to write the states of roll-outs.
const WRITER_DUTY: &str = "rollouts";

/// Timeout for fetching the configuration and the engines from a peer, which may be large.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Exchanges reports over `socket`, which is bound to `address`, until `stop` is set.
pub async fn run<C: Clock, D: Directory>(
    gateway: Rc<Gateway<C>>,
    directory: D,
    socket: UdpSocket,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    stop: Signal,
) {
    let socket = Rc::new(socket);
    let (sender, mut reports) = futures_channel::mpsc::unbounded();
    let receiver = compio::runtime::spawn(receive(gateway.clone(), socket.clone(), sender));
    let domain = gateway.settings.failure_domain.clone();
    let mut peers = Peers {
        own_address: address,
        roster: Roster::new(address, domain, seeds),
        socket,
        gateway,
        directory,
        pool: Rc::default(),
        fetches: Group::default(),
        is_fetching: Rc::default(),
        last_number: 0,
        newer: Newer::default(),
        awaiting_reply: BTreeSet::new(),
        summaries: BTreeMap::new(),
        last_report: None,
        reported_losses: 0,
        reported_evidence: 0,
        reported_rollouts: 0,
        summarized_rollouts: 0,
        schedule: Schedule::default(),
        summarized_losses: 0,
        summarized_evidence: 0,
        has_urgent_summary: false,
    };
    while !stop.is_set() {
        let began = peers.gateway.clock.now();
        within(TICK, stop.wait()).await;
        peers.record_pause(began);
        while let Ok((from, report)) = reports.try_recv() {
            peers.handle_report(from, report);
        }
        peers.refresh();
        peers.fetch_newer_revision();
        peers.send_report().await;
        peers.send_summaries().await;
    }
    receiver.cancel().await;
    peers.fetches.cancel().await;
}

async fn receive<C: Clock>(
    gateway: Rc<Gateway<C>>,
    socket: Rc<UdpSocket>,
    reports: futures_channel::mpsc::UnboundedSender<(SocketAddr, Report)>,
) {
    let mut verifier = Verifier::new(gateway.settings.peer_keys.clone());
    let mut buffer = Vec::with_capacity(seal::BYTES_MAX);
    loop {
        buffer.clear();
        let compio::BufResult(result, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((length, from)) = result else {
            compio::time::sleep(TICK).await;
            continue;
        };
        let now_ms = unix_ms(gateway.clock.wall());
        let report = match verifier.open(from, &buffer[..length], now_ms) {
            Ok(report) => report,
            Err(seal::Error::Unreadable(err)) => {
                info!("event=report_unreadable peer={from} error={err:?}");
                continue;
            }
            Err(err) => {
                gateway.metrics.count_decision("report", "refused");
                info!("event=report_refused peer={from} error={err:?}");
                continue;
            }
        };
        if reports.unbounded_send((from, report)).is_err() {
            return;
        }
    }
}

/// State of the exchange.
struct Peers<C: Clock, D> {
    gateway: Rc<Gateway<C>>,
    directory: D,
    own_address: SocketAddr,
    socket: Rc<UdpSocket>,
    roster: Roster,
    pool: Rc<Pool>,
    fetches: Group,
    is_fetching: Rc<Cell<bool>>,
    // Number of the last report or summary that was sent.
    last_number: u64,
    // The newest configuration that is newer than this host's, or that of a peer with engines while
    // this host knows none.
    newer: Newer,
    // Hosts of other failure domains that asked for a report. Each gets one.
    awaiting_reply: BTreeSet<SocketAddr>,
    // The last summary of each other failure domain, and whether it was forwarded.
    summaries: BTreeMap<CompactString, (Summary, bool)>,
    // When the last report was sent, and `Registry::own_load_version` at that time.
    last_report: Option<(Instant, u64)>,
    // The `Losses::versions` that the last report and the last summary contained.
    reported_losses: u64,
    // The `Quarantine::versions` that they contained.
    reported_evidence: u64,
    summarized_evidence: u64,
    // The `Rollouts::version` that they contained.
    reported_rollouts: u64,
    summarized_rollouts: u64,
    // The rounds of summaries.
    schedule: Schedule,
    summarized_losses: u64,
    // Whether a summary with new losses was not forwarded yet.
    has_urgent_summary: bool,
}

impl<C: Clock, D: Directory> Peers<C, D> {
    /// Records that reports may have been missed if this process was paused since `began`.
    fn record_pause(&self, began: Instant) {
        let now = self.gateway.clock.now();
        if now.duration_since(began) >= PAUSE_MIN {
            self.gateway.remote_streams.borrow_mut().record_gap(now);
        }
    }

    fn handle_report(&mut self, from: SocketAddr, report: Report) {
        let now = self.gateway.clock.now();
        let domain = &report.domain;
        if self
            .roster
            .record_report(from, domain, report.is_leaving, now)
        {
            info!("event=peer_heard peer={from} failure_domain={domain}");
        }
        for (listed_domain, hosts) in &report.hosts {
            for host in hosts {
                let address = SocketAddr::new(*host, from.port());
                self.roster
                    .record_mention(address, listed_domain, listed_domain == domain, now);
            }
        }
        let has_no_engines = self.gateway.registry.borrow().is_empty();
        if report.revision > self.gateway.revision_version()
            || (has_no_engines && report.revision > 0)
        {
            let own = self.gateway.revision_version();
            self.newer.record(from, report.revision, own, now);
        }
        for summary in report.summaries {
            self.handle_summary(summary, from, now);
        }
        self.end_removed(&report.removals, from);
        if !self.roster.reports_directly(&report.domain) {
            if report.is_question {
                self.awaiting_reply.insert(from);
            }
            return;
        }
        let mut streams = self.gateway.remote_streams.borrow_mut();
        streams.record_report(from, report.streams, now);
        drop(streams);
        let source = Source::Host(from.ip());
        let mut registry = self.gateway.registry.borrow_mut();
        registry.record_sightings(&report.sightings, true);
        if registry.set_report(source.clone(), report.number, report.usages) {
            let mut budget = self.gateway.budget.borrow_mut();
            budget.record_report(source, report.process, 1, report.retries, now);
            let mut admission = self.gateway.admission.borrow_mut();
            admission.record_counts(&report.counts, now);
            let mut rollouts = self.gateway.rollouts.borrow_mut();
            rollouts.record_report(
                Source::Host(from.ip()),
                report.process,
                report.rollouts,
                now,
            );
        }
        drop(registry);
        self.record_losses(&report.losses, Finder::Peer, from);
        crash::merge(&self.gateway, &report.evidence, Finder::Peer, from);
    }

    /// Ends the lapses of engines whose removal the store told another host.
    fn end_removed(&self, removals: &[EngineHash], from: SocketAddr) {
        let mut registry = self.gateway.registry.borrow_mut();
        let ids = removals
            .iter()
            .filter_map(|engine| registry.end_removed(*engine));
        let ids: Vec<_> = ids.collect();
        drop(registry);
        for id in &ids {
            info!("event=lapse_ended engine={id} peer={from}");
        }
        if !ids.is_empty() {
            self.gateway.notify_followers();
        }
    }

    /// Records the losses that another host reports; returns whether one of them was not known.
    fn record_losses(&self, losses: &[Loss], finder: Finder, from: SocketAddr) -> bool {
        let mut registry = self.gateway.registry.borrow_mut();
        let mut has_news = false;
        for loss in losses {
            if !registry.record_reported_loss(*loss, finder) {
                continue;
            }
            has_news = true;
            let engine = registry.by_hash(loss.engine);
            let state = engine.and_then(|engine| registry.get(engine));
            let id = state.map_or("none", |state| state.registration.id.as_str());
            let age = loss.age_ms;
            info!("event=engine_suspect engine={id} peer={from} age_ms={age}");
        }
        has_news
    }

    fn handle_summary(&mut self, summary: Summary, from: SocketAddr, now: Instant) {
        for host in &summary.hosts {
            let address = SocketAddr::new(*host, from.port());
            self.roster
                .record_mention(address, &summary.domain, true, now);
        }
        if self.roster.reports_directly(&summary.domain) {
            return;
        }
        let known = self.summaries.get(&summary.domain);
        if known.is_some_and(|(known, _)| known.number >= summary.number) {
            return;
        }
        let source = Source::Domain(summary.domain.clone());
        let mut registry = self.gateway.registry.borrow_mut();
        registry.record_sightings(&summary.sightings, false);
        if registry.set_report(source.clone(), summary.number, summary.usages.clone()) {
            let (hosts, retries) = (summary.retrying_hosts, summary.retries.clone());
            let mut budget = self.gateway.budget.borrow_mut();
            budget.record_report(source.clone(), summary.process, hosts, retries, now);
            let mut rollouts = self.gateway.rollouts.borrow_mut();
            // Any representative reports the counts of the whole domain.
            rollouts.record_report(source, 0, summary.rollouts.clone(), now);
            let mut admission = self.gateway.admission.borrow_mut();
            admission.record_summary(&summary.counts, now);
        }
        drop(registry);
        self.has_urgent_summary |= self.record_losses(&summary.losses, Finder::Remote, from);
        self.has_urgent_summary |=
            crash::merge(&self.gateway, &summary.evidence, Finder::Remote, from);
        self.summaries
            .insert(summary.domain.clone(), (summary, false));
    }

    /// Drops expired hosts, reports and engines, and updates this host's role.
    fn refresh(&mut self) {
        let now = self.gateway.clock.now();
        self.roster.expire(now);
        let mut registry = self.gateway.registry.borrow_mut();
        registry.expire_reports();
        registry.expire_losses();
        self.gateway.quarantine.borrow_mut().expire(now);
        self.gateway.rollouts.borrow_mut().expire(now);
        let before = registry.last_change();
        registry.expire_lapsed();
        let has_changed = registry.last_change() != before;
        drop(registry);
        if has_changed {
            self.gateway.notify_followers();
        }
        let hosts = self.roster.len();
        self.gateway.metrics.set_hosts(hosts);
        self.gateway.budget.borrow_mut().set_hosts(hosts, now);
        self.update_role(now);
    }

    fn update_role(&mut self, now: Instant) {
        let is_leaving = self.gateway.leaving.is_set();
        let local_representatives = self.roster.own_representatives(is_leaving, now);
        let is_followed = self.roster.live_in_own_domain(now).len() >= REPRESENTATIVES;
        let rank = local_representatives
            .iter()
            .position(|address| *address == self.own_address);
        let duty = match rank {
            Some(0) => Duty::Watch,
            // Two hosts that only follow each other save no calls.
            Some(_) if is_followed => Duty::Standby,
            Some(_) => Duty::Watch,
            // A leaving host is no representative. If no other is left, it keeps watching.
            None if local_representatives.is_empty() => Duty::Watch,
            None => Duty::Follow,
        };
        let representatives = self.roster.representatives_to_follow(is_leaving, now);
        self.gateway.role.set(duty, is_followed, representatives);
        self.update_writer_rank(is_leaving, now);
        let mut hosts = self.roster.live_in_own_domain(now);
        hosts.extend(self.roster.other_representatives());
        self.gateway.reach.set_hosts(hosts);
        self.update_asked_hosts(now);
    }

    /// Chooses the hosts that are asked about runs. In a large fleet each host of a failure domain hears of all
    /// runs there, so some of them are enough, and the representatives of the others.
    fn update_asked_hosts(&self, now: Instant) {
        let reporters = self.roster.live_reporters(now).into_iter();
        let mut hosts: BTreeSet<_> = reporters.take(ASKED_REPORTERS_MAX).collect();
        if self.roster.has_indirect_hosts() {
            hosts.extend(self.roster.other_representatives());
        }
        self.gateway.inquiries.set_hosts(hosts);
    }

    /// Ranks the hosts that may write the states of roll-outs, which are the first representatives.
    fn update_writer_rank(&self, is_leaving: bool, now: Instant) {
        if !self.gateway.rollouts.borrow().is_enabled() {
            return;
        }
        let own_name = self.own_address.to_compact_string();
        let local = self.roster.own_representatives(is_leaving, now);
        let representatives = local.into_iter().chain(self.roster.other_representatives());
        let names: Vec<_> = representatives
            .map(|address| address.to_compact_string())
            .collect();
        let ranked = rendezvous::ranked(WRITER_DUTY, names.iter().map(|name| name.as_str()));
        let rank = ranked.iter().position(|name| *name == own_name);
        let rank = rank.unwrap_or(ranked.len());
        self.gateway.writer_rank.set(rank as u32);
    }

    /// Sends a report to the recipients of direct reports if one is due, to hosts that asked for
    /// one, and as a question to seeds that were not heard.
    async fn send_report(&mut self) {
        let now = self.gateway.clock.now();
        let load_version = self.gateway.registry.borrow().own_load_version();
        let (losses_version, _) = self.gateway.registry.borrow().losses().versions();
        let (evidence_version, _) = self.gateway.quarantine.borrow().versions();
        let rollouts_version = self.gateway.rollouts.borrow().version();
        let recipients = self.roster.report_targets();
        let ticks = (recipients.len() as u32)
            .div_ceil(REPORTS_PER_TICK_MAX)
            .max(1);
        let mut targets = match self.last_report {
            Some((at, sent_version)) => {
                let since = now.duration_since(at);
                // A loss is reported at once, as the other hosts still choose the engine.
                let is_due = since >= REPORT_INTERVAL_MAX
                    || losses_version != self.reported_losses
                    || evidence_version != self.reported_evidence
                    || rollouts_version != self.reported_rollouts
                    || (sent_version != load_version && since >= TICK * (ticks - 1));
                if is_due { recipients } else { Vec::new() }
            }
            None => recipients,
        };
        if !targets.is_empty() {
            self.last_report = Some((now, load_version));
            self.reported_losses = losses_version;
            self.reported_evidence = evidence_version;
            self.reported_rollouts = rollouts_version;
        }
        targets.extend(std::mem::take(&mut self.awaiting_reply));
        let seeds = self.roster.seeds_to_query(now);
        if targets.is_empty() && seeds.is_empty() {
            return;
        }
        let (usages, losses, sightings) = {
            let registry = self.gateway.registry.borrow();
            let losses = registry.losses().own(now);
            (registry.own_usages(), losses, registry.own_sightings())
        };
        // Counts are reported once, so only to all recipients.
        let is_broadcast = self.last_report.is_some_and(|(at, _)| at == now);
        let counts = match is_broadcast {
            true => self.gateway.admission.borrow_mut().take_counts(),
            false => Counts::default(),
        };
        let retries = self.gateway.budget.borrow_mut().own_usages(now);
        let evidence = self.gateway.quarantine.borrow().own(now);
        let rollouts = self.gateway.rollouts.borrow_mut().own(now);
        let report = Report {
            usages,
            losses,
            evidence,
            retries,
            counts,
            sightings,
            rollouts,
            streams: self.streams_to_report(),
            ..self.empty_report(now)
        };
        if is_broadcast {
            let mut streams = self.gateway.local_streams.borrow_mut();
            streams.record_report(REPORT_STREAMS_MAX);
        }
        let question = Report {
            is_question: true,
            counts: Counts::default(),
            ..report.clone()
        };
        self.send(report, &targets).await;
        self.send(question, &seeds).await;
    }

    /// Exchanges summaries between failure domains if the fleet is too large for direct reports.
    /// Only the first representative of a failure domain does so; the second one takes over if it
    /// is lost.
    async fn send_summaries(&mut self) {
        let now = self.gateway.clock.now();
        let is_leaving = self.gateway.leaving.is_set();
        let local_representatives = self.roster.own_representatives(is_leaving, now);
        let (_, losses_version) = self.gateway.registry.borrow().losses().versions();
        let (_, evidence_version) = self.gateway.quarantine.borrow().versions();
        let rollouts_version = self.gateway.rollouts.borrow().version();
        let is_urgent = self.has_urgent_summary
            || rollouts_version != self.summarized_rollouts
            || losses_version != self.summarized_losses
            || evidence_version != self.summarized_evidence;
        if !self.roster.has_indirect_hosts()
            || local_representatives.first() != Some(&self.own_address)
        {
            self.gateway.admission.borrow_mut().clear_joint_counts();
            return;
        }
        if !self.schedule.is_due(is_urgent, now) {
            return;
        }
        self.schedule.record(is_urgent, now);
        self.summarized_losses = losses_version;
        self.summarized_evidence = evidence_version;
        self.summarized_rollouts = rollouts_version;
        self.has_urgent_summary = false;
        self.send_own_summary(now).await;
        self.forward_summaries(now).await;
    }

    /// Sends the total load of this failure domain to the representatives of the others.
    async fn send_own_summary(&mut self, now: Instant) {
        let mut hosts = self.roster.live_in_own_domain(now);
        hosts.push(self.own_address);
        let (retrying_hosts, retries) = self.gateway.budget.borrow_mut().joint_usages(now);
        let summary = Summary {
            domain: self.gateway.settings.failure_domain.clone(),
            number: self.next_number(),
            process: self.gateway.process,
            hosts: hosts.iter().map(SocketAddr::ip).collect(),
            usages: self.gateway.registry.borrow().joint_usages(),
            retrying_hosts,
            retries,
            counts: self.gateway.admission.borrow_mut().take_joint_counts(),
            losses: self.gateway.registry.borrow().losses().joint(now),
            evidence: self.gateway.quarantine.borrow().joint(now),
            sightings: self.gateway.registry.borrow().joint_sightings(),
            rollouts: self.gateway.rollouts.borrow_mut().joint(now),
        };
        let report = Report {
            summaries: vec![summary],
            ..self.empty_report(now)
        };
        let remote_representatives = self.roster.other_representatives();
        self.send(report, &remote_representatives).await;
    }

    /// Forwards new summaries of other failure domains to the hosts of this one. Each gets a
    /// datagram of its own, as the summary of a large domain nearly fills one.
    async fn forward_summaries(&mut self, now: Instant) {
        let mut pending = Vec::new();
        for (summary, is_forwarded) in self.summaries.values_mut() {
            if !std::mem::replace(is_forwarded, true) {
                pending.push(summary.clone());
            }
        }
        let recipients = self.roster.report_targets();
        for summary in pending {
            let report = Report {
                summaries: vec![summary],
                ..self.empty_report(now)
            };
            self.send(report, &recipients).await;
        }
    }

    fn streams_to_report(&self) -> Vec<handover::Stream> {
        let streams = self.gateway.local_streams.borrow();
        streams.to_report(REPORT_STREAMS_MAX)
    }

    /// Returns a report without load, streams and summaries.
    fn empty_report(&mut self, now: Instant) -> Report {
        let hosts = self.roster.hosts_to_mention(now).into_iter();
        Report {
            number: self.next_number(),
            process: self.gateway.process,
            domain: self.gateway.settings.failure_domain.clone(),
            revision: self.gateway.revision_version(),
            is_leaving: self.gateway.leaving.is_set(),
            is_question: false,
            hosts: hosts
                .map(|(domain, hosts)| (domain, hosts.iter().map(SocketAddr::ip).collect()))
                .collect(),
            usages: Vec::new(),
            retries: Vec::new(),
            counts: Counts::default(),
            losses: Vec::new(),
            removals: self.gateway.registry.borrow().recent_removals(),
            evidence: Evidence::default(),
            sightings: Vec::new(),
            rollouts: None,
            streams: Vec::new(),
            summaries: Vec::new(),
        }
    }

    /// Returns a number greater than all earlier ones. It is based on the wall clock, so that it
    /// also grows over restarts; the last number is kept because the clock may step back.
    fn next_number(&mut self) -> u64 {
        let wall = unix_ms(self.gateway.clock.wall());
        self.last_number = wall.max(self.last_number + 1);
        self.last_number
    }

    async fn send(&self, report: Report, targets: &[SocketAddr]) {
        let content = match report.summaries.is_empty() {
            true => "report",
            false => "summary",
        };
        let mut bytes = match report.encode() {
            Ok(bytes) => bytes,
            Err(err) => return warn!("event=report_unsent error={err:?}"),
        };
        if let Some(keys) = &self.gateway.settings.peer_keys {
            seal::seal(keys, self.own_address, &mut bytes);
        }
        let bytes = Bytes::from(bytes);
        let total = (bytes.len() * targets.len()) as u64;
        self.gateway.metrics.count_report_bytes(content, total);
        for target in targets {
            let compio::BufResult(result, _) = self.socket.send_to(bytes.clone(), *target).await;
            if let Err(err) = result {
                info!("event=report_unsent peer={target} error={err:?}");
            }
        }
    }

    /// Starts to fetch a newer configuration that a peer reported and that did not arrive in time:
    /// from the store, or from the peer if the store does not answer or has an older one, as it came
    /// back from an older copy, or if this host knows no engines.
    fn fetch_newer_revision(&mut self) {
        let now = self.gateway.clock.now();
        if !self.gateway.registry.borrow().is_empty() {
            self.newer.record_own(self.gateway.revision_version(), now);
        }
        let Some((from, reported)) = self.newer.due(now) else {
            return;
        };
        if self.is_fetching.replace(true) {
            return;
        }
        self.newer.clear();
        let (gateway, directory) = (self.gateway.clone(), self.directory.clone());
        let (pool, is_fetching) = (self.pool.clone(), self.is_fetching.clone());
        self.fetches.spawn(async move {
            let has_read = watch::read_revision(&gateway, &directory).await;
            let is_behind = gateway.revision_version() < reported;
            if !has_read || is_behind || gateway.registry.borrow().is_empty() {
                fetch(&gateway, &directory, &pool, from).await;
            }
            is_fetching.set(false);
        });
    }
}

/// Fetches the configuration from a peer, and the engines if this host knows none.
async fn fetch<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    pool: &Pool,
    from: SocketAddr,
) {
    let query = Query {
        revision: gateway.revision_version(),
        document: Some(gateway.document_digest()),
        is_cut_off: true,
        ..Query::default()
    };
    let address = from.to_string();
    let request = post_json(&address, feed::PATH, &query);
    let update = pool.call(&address, request, FETCH_TIMEOUT).await;
    let update = match update.map(|(_, body)| Update::decode(&body)) {
        Ok(Ok(update)) => update,
        Ok(Err(err)) => return info!("event=peer_unreadable peer={from} error={err:?}"),
        Err(err) => return info!("event=peer_failed peer={from} error={err:?}"),
    };
    gateway.apply_revision(directory, &update, "peer");
    let engines = update.engines.registered.len();
    let known = gateway.engines_position();
    let position = update.engines_position(known);
    let mut registry = gateway.registry.borrow_mut();
    if registry.is_empty() && engines > 0 && position >= known {
        info!("event=engines_from_peer engines={engines}");
        let is_new_era = position.era > known.era;
        if is_new_era {
            registry.begin_era();
        }
        registry.apply_changes(update.engines, is_new_era);
        drop(registry);
        gateway.notify_followers();
        gateway.set_engines_position(position);
        gateway.confirm_engines(Duration::from_millis(update.age_ms));
    }
}
