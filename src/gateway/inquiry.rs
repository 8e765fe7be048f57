//! Questions to other hosts about the runs of a request that a caller continues.
//! [`crate::relay::inquiry`] decides by the answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use compio::net::TcpStream;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::clock::Clock;
use crate::http::client::{Connection, Exchange, post_json};
use crate::relay::inquiry::{Account, Inquiry};
use crate::util::within;

/// Path of the questions.
pub const PATH: &str = "/v1/runs";

/// Longest time that a host waits for the answers. Reading the prompt again takes longer than that, and
/// callers accept longer gaps.
const ANSWERS_WAIT_MAX: Duration = Duration::from_millis(150);

/// Pause before a host is asked again that closed the connection, as its process may be ending, or whose run
/// still goes on.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Maximum size of an answer.
const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// Maximum number of inquiries at a time, which bounds their connections. Others wait.
const INQUIRIES_MAX: usize = 32;

/// Pause of an inquiry that waits for others to end.
const TURN_PAUSE: Duration = Duration::from_millis(5);

/// Whom to ask, and how many inquiries run.
#[derive(Debug, Default)]
pub struct Inquiries {
    // Other hosts that together hear of all runs.
    hosts: RefCell<BTreeSet<SocketAddr>>,
    running: Cell<usize>,
}

impl Inquiries {
    /// Sets the hosts to ask, which together hear of all runs.
    pub fn set_hosts(&self, hosts: BTreeSet<SocketAddr>) {
        self.hosts.replace(hosts);
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
        runs,
        known_for: remote.known_for(now),
    }
}

/// Asks the other hosts what they know of the runs of a request, and the hosts of these runs whether they go
/// on. Ends after [`ANSWERS_WAIT_MAX`] with the answers that arrived.
pub async fn ask<C: Clock>(gateway: &Gateway<C>, digest: u64) -> Inquiry {
    let own = own_address(gateway);
    let mut inquiry = Inquiry::default();
    inquiry.record(own, own_account(gateway, digest));
    let mut hosts = inquiry.unsettled();
    hosts.extend(gateway.inquiries.hosts.borrow().iter());
    let inquiry = RefCell::new(inquiry);
    let asking = async {
        let _turn = gateway.inquiries.begin().await;
        join_all(hosts.iter().map(|host| ask_host(*host, digest, &inquiry))).await;
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
