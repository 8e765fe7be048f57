//! Calls to backend services, with and without an idempotency key.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

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

/// Time limit of a call; long enough that only a hang reaches it.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns settings with two routes of a booking service: `/reserve` is not idempotent, `/status` is.
pub fn shared_settings() -> String {
    settings_with_timeout(3000)
}

/// Like [`shared_settings`], with the timeout of `/reserve` in milliseconds.
pub fn settings_with_timeout(reserve_ms: u32) -> String {
    format!(
        "[partner niederbach]\nshare = 50\n[team desk]\npartner = niederbach\n\
         [caller tester]\nteam = desk\nkey_sha256 = {}\n[model atlas]\nversion = 1\n\
         [route /reserve]\nservice = booking\nidempotent = no\ntimeout_ms = {reserve_ms}\n\
         [route /status]\nservice = booking\nidempotent = yes\ntimeout_ms = 8000\n",
        key_digest(CALLER_KEY)
    )
}

pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// A call to the booking service.
#[derive(Clone, Debug)]
pub struct Call {
    pub path: &'static str,
    /// Idempotency key, or empty for none.
    pub key: String,
    /// Id by which the backend server counts the runs of the call.
    pub id: String,
    pub body: String,
    /// Fault that the backend server injects, or empty for none.
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

    /// Sends the call; a broken connection or a timeout gives a reply with nothing but its cause.
    pub async fn send(&self, address: &str) -> Reply {
        let began = Instant::now();
        let exchange = async {
            let request = self.request(address);
            let exchange = client::send(address, request, CALL_TIMEOUT).await;
            let mut exchange = exchange.map_err(|err| err.to_string())?;
            let body = exchange.read_rest(1024 * 1024).await;
            let body = body.map_err(|err| err.to_string())?;
            let headers = exchange.head.headers();
            let replayed = headers.contains_key("idempotency-replayed");
            Ok(Reply::new(exchange.head.status().as_u16(), replayed, &body))
        };
        let cause = match within(CALL_TIMEOUT, exchange).await {
            Some(Ok(reply)) => return reply,
            Some(Err::<_, String>(cause)) => cause,
            None => "no whole response in time".to_owned(),
        };
        Reply {
            failure: Some(format!("{cause}, after {:?}", began.elapsed())),
            ..Reply::default()
        }
    }
}

/// Response to a call, as the caller sees it.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Status code, or 0 without a whole response.
    pub status: u16,
    /// Whether the response is marked as replayed from the record of an earlier run.
    pub replayed: bool,
    pub confirmation: Option<Confirmation>,
    pub problem: Option<Problem>,
    /// Why there is no whole response.
    pub failure: Option<String>,
}

impl Reply {
    pub fn new(status: u16, replayed: bool, body: &[u8]) -> Self {
        Self {
            status,
            replayed,
            confirmation: serde_json::from_slice(body).ok(),
            problem: serde_json::from_slice(body).ok(),
            failure: None,
        }
    }

    pub fn reason(&self) -> Option<Reason> {
        self.problem.as_ref().map(|problem| problem.reason)
    }

    pub fn work(&self) -> Option<Execution> {
        self.problem.as_ref().map(|problem| problem.work)
    }

    /// Returns the id of the call whose run gave this response, or an empty string.
    pub fn run(&self) -> &str {
        self.confirmation
            .as_ref()
            .map_or("", |run| run.call.as_str())
    }
}

/// Returns the number of runs by call id, summed over all backend servers.
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

/// Returns the number of runs of the calls whose id starts with `prefix`.
pub fn runs_of(cluster: &Cluster, prefix: &str) -> u64 {
    let runs = runs(cluster);
    let matching = runs.iter().filter(|(call, _)| call.starts_with(prefix));
    matching.map(|(_, count)| count).sum()
}

/// Starts backend servers and routers, and waits until each router knows all of them and each claim
/// range has an owner.
pub fn cluster(routers: usize, backends: usize) -> Cluster {
    let mut cluster = Cluster::start();
    for _ in 0..backends {
        cluster.backend("booking", &[]);
    }
    for _ in 0..routers {
        cluster.router(&shared_settings(), 0);
    }
    wait_for_cluster(&cluster, routers, backends);
    cluster
}

/// Waits until the routers know each other and the backend servers, and each holds the claim ranges
/// that it owns.
pub fn wait_for_cluster(cluster: &Cluster, routers: usize, backends: usize) {
    let names: Vec<_> = (0..routers)
        .map(|index| format!("router-{index}"))
        .collect();
    wait_until("the routers know each other and hold their ranges", || {
        let started = cluster.routers.iter().enumerate().take(routers);
        started.into_iter().all(|(index, router)| {
            let owned = (0..4).filter(|range| owner(*range, &names) == index);
            let owned: Vec<_> = owned.map(serde_json::Value::from).collect();
            let status: serde_json::Value = get(&router.address, "/admin/v1/status");
            status["live"].as_array().unwrap().len() == routers
                && status["backends"].as_object().unwrap().len() == backends
                && status["ranges"].as_array() == Some(&owned)
        })
    });
    // A host with an older view of the members may have taken over a range in the meantime; a claim in
    // each range makes the owner notice. The backend server refuses the calls, so no run is counted.
    for range in 0..4 {
        let key = random_key(|key| key.range() == range);
        let call = Call::reserve(&key, "settle").fault("refuse");
        let reply = block_on(call.send(&cluster.routers[0].address));
        assert_eq!(
            reply.reason(),
            Some(Reason::BackendUnavailable),
            "{reply:?}"
        );
    }
}

/// Returns a random key that `accepts` accepts.
fn random_key(accepts: impl Fn(Key) -> bool) -> String {
    loop {
        let key = new_key();
        if accepts(Key::parse(&key).unwrap()) {
            return key;
        }
    }
}

/// Returns the index in `names` of the router that owns a claim range.
pub fn owner(range: u32, names: &[String]) -> usize {
    let duty = format!("claims/{range}");
    let owner = rendezvous::owner(&duty, names.iter().map(String::as_str)).unwrap();
    names.iter().position(|name| name == owner).unwrap()
}

/// Returns a random key, and the index of the router that owns its range. `accepts` gets such an index
/// and decides whether the key is used.
pub fn key_owned_by(routers: usize, accepts: impl Fn(usize) -> bool) -> (String, usize) {
    let names: Vec<_> = (0..routers)
        .map(|index| format!("router-{index}"))
        .collect();
    let owner_of = |key: Key| owner(key.range(), &names);
    let key = random_key(|key| accepts(owner_of(key)));
    let owner = owner_of(Key::parse(&key).unwrap());
    (key, owner)
}
