//! Calls to backend services, with and without a key.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::collections::BTreeMap;
use std::time::Duration;

use bilberrypost::claim::record::Key;
use bilberrypost::config::split::key_digest;
use bilberrypost::emulate::backend::Confirmation;
use bilberrypost::http::client;
use bilberrypost::http::problem::{Problem, Reason};
use bilberrypost::member::rendezvous;
use bilberrypost::util::within;
use bilberrypost::wire::Execution;
use compio::bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use uuid::Uuid;

use super::support::{CALLER_KEY, Cluster, block_on, get, wait_until};

/// Longest time that a caller waits; only a hang reaches it.
const PATIENCE: Duration = Duration::from_secs(60);

/// Routes of a booking service: reservations run at most once, the status page may be read again.
pub fn split() -> String {
    format!(
        "[partner niederbach]\nshare = 50\n[team desk]\npartner = niederbach\n\
         [caller tester]\nteam = desk\nkey_sha256 = {}\n[model atlas]\nversion = 1\n\
         [route /reserve]\nservice = booking\nidempotent = no\ntimeout_ms = 3000\n\
         [route /status]\nservice = booking\nidempotent = yes\ntimeout_ms = 8000\n",
        key_digest(CALLER_KEY)
    )
}

pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// A call; `id` is what the backend server counts runs by.
#[derive(Clone, Debug)]
pub struct Call {
    pub path: &'static str,
    pub key: String,
    pub id: String,
    pub body: String,
    pub fault: String,
}

impl Call {
    pub fn reserve(key: &str, id: &str) -> Self {
        Self {
            path: "/reserve",
            key: key.into(),
            id: id.into(),
            body: format!("lane for {key}"),
            fault: String::new(),
        }
    }

    pub fn status(id: &str) -> Self {
        Self {
            path: "/status",
            key: String::new(),
            ..Self::reserve("", id)
        }
    }

    pub fn fault(mut self, fault: &str) -> Self {
        self.fault = fault.into();
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }

    pub fn request(&self, address: &str) -> Request<Full<Bytes>> {
        let mut request = Request::post(self.path)
            .header("host", address)
            .header("authorization", format!("Bearer {CALLER_KEY}"))
            .header("x-call", &self.id);
        for (name, value) in [("idempotency-key", &self.key), ("x-fault", &self.fault)] {
            if !value.is_empty() {
                request = request.header(name, value);
            }
        }
        request
            .body(Full::new(Bytes::from(self.body.clone())))
            .unwrap()
    }

    /// Makes the call.
    pub async fn send(&self, address: &str) -> Reply {
        let exchange = async {
            let request = self.request(address);
            let mut exchange = client::send(address, request, PATIENCE).await.ok()?;
            let body = exchange.read_rest(1024 * 1024).await.ok()?;
            let headers = exchange.head.headers();
            let replayed = headers.contains_key("idempotency-replayed");
            Some(Reply::new(exchange.head.status().as_u16(), replayed, &body))
        };
        within(PATIENCE, exchange)
            .await
            .flatten()
            .unwrap_or_default()
    }
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// 0 if the connection broke.
    pub status: u16,
    pub replayed: bool,
    pub confirmation: Option<Confirmation>,
    pub problem: Option<Problem>,
}

impl Reply {
    pub fn new(status: u16, replayed: bool, body: &[u8]) -> Self {
        Self {
            status,
            replayed,
            confirmation: serde_json::from_slice(body).ok(),
            problem: serde_json::from_slice(body).ok(),
        }
    }

    pub fn reason(&self) -> Option<Reason> {
        self.problem.as_ref().map(|problem| problem.reason)
    }

    pub fn work(&self) -> Option<Execution> {
        self.problem.as_ref().map(|problem| problem.work)
    }

    /// Returns the id of the run that this answer is of.
    pub fn run(&self) -> &str {
        self.confirmation
            .as_ref()
            .map_or("", |run| run.call.as_str())
    }
}

/// Runs of each call on all backend servers.
pub fn runs(cluster: &Cluster) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for backend in &cluster.backends {
        let runs: BTreeMap<String, u64> = get(&backend.address, "/v1/emulation/runs");
        for (call, count) in runs {
            *all.entry(call).or_default() += count;
        }
    }
    all
}

/// Runs of the calls whose id starts with `prefix`.
pub fn runs_of(cluster: &Cluster, prefix: &str) -> u64 {
    let runs = runs(cluster);
    let matching = runs.iter().filter(|(call, _)| call.starts_with(prefix));
    matching.map(|(_, count)| count).sum()
}

/// Starts `backends` servers and `routers` routers, and waits until each knows all and each range
/// has an owner.
pub fn cluster(routers: usize, backends: usize) -> Cluster {
    let mut cluster = Cluster::start();
    for _ in 0..backends {
        cluster.backend("booking", &[]);
    }
    for _ in 0..routers {
        cluster.router(&split(), 0);
    }
    settle(&cluster, routers, backends);
    cluster
}

/// Waits until the routers know each other and the backend servers, and hold their ranges.
pub fn settle(cluster: &Cluster, routers: usize, backends: usize) {
    let names: Vec<_> = (0..routers)
        .map(|index| format!("router-{index}"))
        .collect();
    wait_until("the routers know the others and hold their ranges", || {
        let routers_of = cluster.routers.iter().enumerate().take(routers);
        routers_of.into_iter().all(|(index, router)| {
            let owned = (0..4).filter(|range| owner(*range, &names) == index);
            let owned: Vec<_> = owned.map(serde_json::Value::from).collect();
            let status: serde_json::Value = get(&router.address, "/admin/v1/status");
            status["live"].as_array().unwrap().len() == routers
                && status["backends"].as_object().unwrap().len() == backends
                && status["ranges"].as_array() == Some(&owned)
        })
    });
    // A host with an older view may have taken a range meanwhile; a claim in each range makes the
    // owner notice. The backend server refuses the calls, so that no run is counted.
    for range in 0..4 {
        let key = key_where(|key| key.range() == range);
        let call = Call::reserve(&key, "settle").fault("refuse");
        let reply = block_on(call.send(&cluster.routers[0].address));
        assert_eq!(
            reply.reason(),
            Some(Reason::BackendUnavailable),
            "{reply:?}"
        );
    }
}

fn key_where(accepts: impl Fn(Key) -> bool) -> String {
    loop {
        let key = new_key();
        if accepts(Key::parse(&key).unwrap()) {
            return key;
        }
    }
}

/// Returns the index of the router that owns a range.
pub fn owner(range: u32, names: &[String]) -> usize {
    let duty = format!("claims/{range}");
    let owner = rendezvous::owner(&duty, names.iter().map(String::as_str)).unwrap();
    names.iter().position(|name| name == owner).unwrap()
}

/// Draws a key whose range is owned by one of `routers` routers for which `accepts` holds; returns
/// it with its owner.
pub fn key_owned_by(routers: usize, accepts: impl Fn(usize) -> bool) -> (String, usize) {
    let names: Vec<_> = (0..routers)
        .map(|index| format!("router-{index}"))
        .collect();
    let owner_of = |key: Key| owner(key.range(), &names);
    let key = key_where(|key| accepts(owner_of(key)));
    let owner = owner_of(Key::parse(&key).unwrap());
    (key, owner)
}
