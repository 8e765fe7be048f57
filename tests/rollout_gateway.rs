//! Gateway processes that carry out a roll-out between emulated engines and a store.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use support::platform::{
    Engine, Gateway, Message, PEER_PORT, Reaction, Store, config, ok, own_ips, settings, wait_for,
};

const LIMITS: &str = "rollout_ratio = 0.1\nrollout_tolerance = 50";

/// Pause of each caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(10);

fn failure(_: &Message) -> Reaction {
    Reaction::Response(500, "broken".into())
}

fn registered(engine: &Engine, version: &str) -> Value {
    let mut registration = engine.registration("app", "fd-a");
    registration["version"] = version.into();
    registration
}

/// Two engines of version `v1`, and two of `v2` that react as given.
struct Engines {
    old: [Engine; 2],
    new: [Engine; 2],
}

impl Engines {
    fn start(store: &Store, new: fn(&Message) -> Reaction) -> Self {
        let engines = Self {
            old: ["i-1", "i-2"].map(|id| Engine::start(id, |_| ok())),
            new: ["i-3", "i-4"].map(|id| Engine::start(id, new)),
        };
        let old = engines.old.iter().map(|engine| (engine, "v1"));
        for (engine, version) in old.chain(engines.new.iter().map(|engine| (engine, "v2"))) {
            store.put("servers", &engine.id, registered(engine, version));
        }
        engines
    }
}

fn requests(engines: &[Engine]) -> usize {
    engines.iter().map(Engine::request_count).sum()
}

/// Ends the callers when it is dropped, also by a panic.
struct Load<'a>(&'a AtomicBool);

impl Drop for Load<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends requests to all gateways until `body` returns; returns how many failed.
fn under_load(gateways: &[&Gateway], body: impl FnOnce()) -> usize {
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let call = |caller: usize| {
            let gateway = gateways[caller % gateways.len()];
            let mut failed = 0;
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("{caller}-{number}");
                failed += usize::from(gateway.status("GET", "/any/x", &id, "") != 200);
                std::thread::sleep(CALLER_PAUSE);
            }
            failed
        };
        let callers: Vec<_> = (0..4)
            .map(|caller| scope.spawn(move || call(caller)))
            .collect();
        let load = Load(&is_over);
        body();
        drop(load);
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .sum()
    })
}

fn status(lifecycle: &str) -> Value {
    json!({"lifecycle": lifecycle, "to": "v2"})
}

fn order(store: &Store) {
    let spec = json!({"service": "app", "to": "v2", "duration-s": 4});
    store.put("rollouts", "app", spec);
}

fn wait_for_end(store: &Store, lifecycle: &str) {
    wait_for("outcome", || store.written_statuses().len() > 1);
    assert_eq!(
        store.written_statuses(),
        [status("in_progress"), status(lifecycle)]
    );
}

/// Guards against a good version that is not completed, or whose old engines still get requests.
#[test]
fn good_version_is_completed() {
    let store = Store::with(config(3), &[]);
    let engines = Engines::start(&store, |_| ok());
    let gateway = Gateway::start(&settings(&store.address, LIMITS));
    wait_for("readiness", || gateway.is_ready());
    order(&store);
    let failed = under_load(&[&gateway], || {
        wait_for_end(&store, "completed");
        std::thread::sleep(Duration::from_millis(200));
        let before = requests(&engines.old);
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(requests(&engines.old), before);
    });
    assert_eq!(failed, 0);
    assert_eq!(store.written_statuses().len(), 2);
}

/// Guards against a bad version that gets requests after it was found bad, at another host too, at one
/// that starts later, or after the store came back from an older copy.
#[test]
fn bad_version_is_reverted() {
    let store = Store::with(config(3), &[]);
    let engines = Engines::start(&store, failure);
    let [first, second, third] = own_ips();
    let start = |name: &str, ip: &str| {
        let peers = format!("ports = {PEER_PORT},{PEER_PORT}\nseeds = {first}:1,{second}:1");
        let text = settings(&store.address, &format!("{LIMITS}\n{peers}"));
        let text = text.replace("name = host-a", &format!("name = {name}"));
        Gateway::start(&text.replace("listen = 127.0.0.1:0", &format!("listen = {ip}:0")))
    };
    let gateways = [start("host-a", &first), start("host-b", &second)];
    for gateway in &gateways {
        wait_for("readiness", || gateway.is_ready());
    }
    std::thread::sleep(Duration::from_secs(1));
    order(&store);
    wait_for("start of the order", || store.written_statuses().len() == 1);
    let copy = store.copy();
    let failed = under_load(&[&gateways[0], &gateways[1]], || {
        wait_for_end(&store, "reverted");
        std::thread::sleep(Duration::from_millis(200));
        let before = requests(&engines.new);
        assert!((4..50).contains(&before), "{before} requests");
        store.restore(&copy);
        wait_for("outcome again", || store.written_statuses().len() == 3);
        assert_eq!(requests(&engines.new), before);
    });
    assert_eq!(failed, 0, "requests are retried on the old version");
    assert_eq!(store.written_statuses()[2], status("reverted"));
    let before = requests(&engines.new);
    let late = start("host-c", &third);
    wait_for("readiness", || late.is_ready());
    under_load(&[&late], || std::thread::sleep(Duration::from_millis(500)));
    assert_eq!(requests(&engines.new), before);
}

/// Guards against calls for roll-outs and a choice by version on hosts whose settings ask for neither.
#[test]
fn hosts_without_limits_carry_out_no_order() {
    let store = Store::with(config(3), &[]);
    let engines = Engines::start(&store, |_| ok());
    order(&store);
    let gateway = Gateway::start(&settings(&store.address, "rollout_ratio ="));
    wait_for("readiness", || gateway.is_ready());
    under_load(&[&gateway], || {
        wait_for("requests", || requests(&engines.new) > 50);
    });
    assert!(store.written_statuses().is_empty());
}
