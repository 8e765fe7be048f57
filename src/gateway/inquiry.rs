//! Questions to other hosts about the runs of a request that a caller continues.
//! [`crate::relay::inquiry`] decides by the answers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use compio::net::TcpStream;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::clock::Clock;
use crate::http::client::{Connection, Exchange, post_json};
use crate::peer::roster::REPRESENTATIVES;
use crate::relay::inquiry::{Account, Inquiry};
use crate::util::within;

/// Path of the questions.
pub const PATH: &str = "/v1/runs";

/// Longest time that a host waits for the answers. Reading the prompt again takes longer than that, and
/// callers accept longer gaps.
const ANSWERS_WAIT_MAX: Duration = Duration::from_millis(150);

/// Longest wait for the hosts that were asked before more of a failure domain are asked.
const ROUND_WAIT: Duration = Duration::from_millis(40);

/// Number of hosts of a failure domain that are asked in each further round.
const ROUND_HOSTS: usize = 7;

/// Maximum number of the hosts that report to this one that are asked first.
const REPORTERS_MAX: usize = 6;

/// Maximum number of the hosts of another failure domain that are asked: its representatives and two further
/// rounds. Large parts of a fleet may be killed at once and start again without a memory.
pub const DOMAIN_HOSTS_MAX: usize = REPRESENTATIVES + 2 * ROUND_HOSTS;

/// Time after the last summary of a failure domain for which it is told to others that ask. Longer than callers
/// wait between tries.
const DOMAIN_LIFETIME: Duration = Duration::from_secs(30);

/// Pause before a host is asked again that closed the connection, as its process may be ending, or whose run
/// still goes on.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Maximum size of an answer.
const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// Maximum number of inquiries at a time, which bounds their connections. Others wait.
const INQUIRIES_MAX: usize = 32;

/// Pause of an inquiry that waits for others to end.
const TURN_PAUSE: Duration = Duration::from_millis(5);

/// The hosts to ask.
#[derive(Clone, Debug, Default)]
pub struct Scope {
    // Hosts that together hear of all runs.
    hosts: BTreeSet<SocketAddr>,
    // Hosts of failure domains that are asked if those of the domain in `hosts` are gone, or forgot runs; none in
    // a small fleet.
    substitutes: BTreeMap<CompactString, Vec<SocketAddr>>,
}

impl Scope {
    /// Returns a scope of some of the hosts that report to this one. They are chosen at equal distances, as
    /// hosts with neighbouring addresses often fail together.
    pub fn of_reporters(reporters: &[SocketAddr]) -> Self {
        let count = reporters.len().min(REPORTERS_MAX);
        let chosen = (0..count).map(|index| reporters[index * reporters.len() / count]);
        Self {
            hosts: chosen.collect(),
            substitutes: BTreeMap::new(),
        }
    }

    /// Adds the other failure domains, whose hosts alone hear of the runs there. The representatives of each
    /// come first.
    pub fn add_domains(&mut self, domains: BTreeMap<CompactString, Vec<SocketAddr>>) {
        for (domain, mut hosts) in domains {
            let substitutes = hosts.split_off(hosts.len().min(REPRESENTATIVES));
            self.hosts.extend(hosts);
            self.substitutes.insert(domain, substitutes);
        }
    }

    /// Adds the hosts that report to this one as substitutes for each other in their failure domain.
    pub fn add_own_domain(&mut self, domain: CompactString, reporters: &[SocketAddr]) {
        let others = reporters.iter().filter(|host| !self.hosts.contains(host));
        self.substitutes.insert(domain, others.copied().collect());
    }

    /// Returns the hosts of these failure domains to ask in a further round.
    fn substitutes(&self, domains: &BTreeSet<CompactString>, round: usize) -> Vec<SocketAddr> {
        let domains = domains
            .iter()
            .filter_map(|domain| self.substitutes.get(domain));
        let rounds = domains.filter_map(|hosts| hosts.chunks(ROUND_HOSTS).nth(round));
        rounds.flatten().copied().collect()
    }
}

/// Whom to ask, and how many inquiries run.
#[derive(Debug, Default)]
pub struct Inquiries {
    scope: RefCell<Scope>,
    // When a summary of each other failure domain was last heard; empty in a small fleet.
    domains_heard: RefCell<BTreeMap<CompactString, Instant>>,
    running: Cell<usize>,
}

impl Inquiries {
    /// Sets the hosts to ask.
    pub fn set_scope(&self, scope: Scope) {
        self.scope.replace(scope);
    }

    /// Records a new summary of another failure domain. Its hosts alone hear of the runs there.
    pub fn record_domain(&self, domain: &CompactString, now: Instant) {
        let mut domains = self.domains_heard.borrow_mut();
        domains.retain(|_, at| now.duration_since(*at) < DOMAIN_LIFETIME);
        domains.insert(domain.clone(), now);
    }

    /// Returns the failure domains with the time since each was heard of.
    fn separate_domains(&self, now: Instant) -> BTreeMap<CompactString, Duration> {
        let domains = self.domains_heard.borrow();
        let ages = domains
            .iter()
            .map(|(domain, at)| (domain.clone(), now.duration_since(*at)));
        ages.collect()
    }

    async fn begin(&self) -> Turn<'_> {
        while self.running.get() >= INQUIRIES_MAX {
            compio::time::sleep(TURN_PAUSE).await;
        }
        self.running.set(self.running.get() + 1);
        Turn { inquiries: self }
    }
}

/// One of the inquiries that run. It ends when dropped.
struct Turn<'a> {
    inquiries: &'a Inquiries,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let running = &self.inquiries.running;
        running.set(running.get() - 1);
    }
}

/// A question for what a host knows of the runs of a request.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Question {
    /// Digest of the request.
    pub digest: u64,
}

/// What became of a question.
enum Answer {
    Account(Account),
    /// No process listens on the host.
    Gone,
    /// The host runs a release that knows no such question.
    Unreadable,
}

/// Returns what this host knows of the runs of a request.
pub fn own_account<C: Clock>(gateway: &Gateway<C>, digest: u64) -> Account {
    let now = gateway.clock.now();
    let remote = gateway.remote_streams.borrow();
    let local = gateway.local_streams.borrow();
    let mut runs = local.runs_of(digest, own_address(gateway), now);
    runs.extend(remote.runs_of(digest, now));
    Account {
        domain: gateway.settings.failure_domain.clone(),
        separate_domains: gateway.inquiries.separate_domains(now),
        runs,
        known_for: remote.known_for(now),
    }
}

/// Asks the other hosts what they know of the runs of a request, and the hosts of these runs whether they go
/// on. Ends after [`ANSWERS_WAIT_MAX`] with the answers that arrived. `reconnect_time_max` is the longest time
/// since the end of the caller's run.
pub async fn ask<C: Clock>(
    gateway: &Gateway<C>,
    digest: u64,
    reconnect_time_max: Duration,
) -> Inquiry {
    let own = own_address(gateway);
    let mut inquiry = Inquiry::default();
    inquiry.record(own, own_account(gateway, digest));
    let scope = gateway.inquiries.scope.borrow().clone();
    let inquiry = RefCell::new(inquiry);
    let asking = async {
        let _turn = gateway.inquiries.begin().await;
        ask_scope(&scope, digest, reconnect_time_max, &inquiry).await;
        // Some runs may be known from these answers only.
        let hosts = inquiry.borrow().unsettled();
        join_all(hosts.iter().map(|host| ask_host(*host, digest, &inquiry))).await;
        // A host may notice only now that the connection to its caller has ended.
        loop {
            let running_at = inquiry.borrow().only_run_host();
            let Some(host) = running_at else { return };
            compio::time::sleep(RETRY_PAUSE).await;
            match host == own {
                true => inquiry
                    .borrow_mut()
                    .record(own, own_account(gateway, digest)),
                false => ask_host(host, digest, &inquiry).await,
            }
        }
    };
    within(ANSWERS_WAIT_MAX, asking).await;
    inquiry.into_inner()
}

/// Asks the hosts of known runs and those of `scope`; substitutes only in failure domains of which no host has
/// answered so far that remembers enough.
async fn ask_scope(
    scope: &Scope,
    digest: u64,
    reconnect_time_max: Duration,
    inquiry: &RefCell<Inquiry>,
) {
    let mut hosts = inquiry.borrow().unsettled();
    hosts.extend(&scope.hosts);
    let questions = hosts
        .into_iter()
        .map(|host| ask_host(host, digest, inquiry));
    let mut questions: FuturesUnordered<_> = questions.collect();
    for round in 0.. {
        let answers = async { while questions.next().await.is_some() {} };
        within(ROUND_WAIT, answers).await;
        let unknown = inquiry.borrow().unknown_domains(reconnect_time_max);
        let substitutes = scope.substitutes(&unknown, round);
        if substitutes.is_empty() {
            break;
        }
        let further = substitutes
            .into_iter()
            .map(|host| ask_host(host, digest, inquiry));
        questions.extend(further);
    }
    while questions.next().await.is_some() {}
}

async fn ask_host(host: SocketAddr, digest: u64, inquiry: &RefCell<Inquiry>) {
    loop {
        match ask_once(host, digest).await {
            Some(Answer::Account(account)) => return inquiry.borrow_mut().record(host, account),
            Some(Answer::Gone) => return inquiry.borrow_mut().record_gone(host),
            Some(Answer::Unreadable) => return,
            None => compio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Returns the answer of a host; `None` if it may still be there without one.
async fn ask_once(host: SocketAddr, digest: u64) -> Option<Answer> {
    let stream = match TcpStream::connect(host).await {
        Ok(stream) => stream,
        Err(err) if err.kind() == ErrorKind::ConnectionRefused => return Some(Answer::Gone),
        Err(_) => return None,
    };
    let address = host.to_string();
    let mut connection = Connection::start(&address, stream).await.ok()?;
    let request = post_json(&address, PATH, &Question { digest });
    let response = connection.send(request).await.ok()?;
    let mut exchange = Exchange::new(response, connection);
    let body = exchange.read_rest(ANSWER_BYTES_MAX).await.ok()?;
    Some(serde_json::from_slice(&body).map_or(Answer::Unreadable, Answer::Account))
}

/// Returns the address of this host for other hosts; without any, one that is no host's.
fn own_address<C: Clock>(gateway: &Gateway<C>) -> SocketAddr {
    let peers = gateway.settings.peers.as_ref();
    let nowhere = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    peers.map_or(nowhere, |(own, _)| *own)
}
