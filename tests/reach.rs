//! How a host tells engines that it cannot reach from its own loss of contact.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bilberrypost::peer::report::Report;

use support::platform::{
    API_KEY, End, Engine, Gateway, Message, Reaction, Store, config, empty_report, event, exchange,
    request, settings, start_gateway, tagged_event, wait_for,
};

/// An address to which a connection fails at once with an error other than a refusal.
const UNROUTED: &str = "224.0.0.1:9";

fn start_stream(gateway: &Gateway, id: &str) -> JoinHandle<Option<Message>> {
    let address = gateway.process.address.clone();
    let headers = format!(
        "x-bilberrypost-attempt-id: {id}\r\nx-bilberrypost-deadline-ms: 6000\r\n\
         x-bilberrypost-credential: {API_KEY}\r\nx-bilberrypost-token-count: 1000,70\r\n"
    );
    let text = request("POST", "/stream/x", &headers, "p");
    std::thread::spawn(move || exchange(&address, &text))
}

/// Blocks all engines at the same time, as for a host that loses contact.
fn block(engines: &[Engine]) {
    std::thread::scope(|scope| {
        for engine in engines {
            scope.spawn(|| engine.block_connections());
        }
    });
}

/// Guards against a stream that is broken when contact returns, because the packets of the connection
/// to its engine were dropped meanwhile and are sent again only after a second.
#[test]
fn an_engine_is_not_lost_when_a_short_loss_of_contact_ends() {
    let script =
        |_: &Message| Reaction::TaggedEvents(3, End::Complete, Duration::from_millis(1300));
    let engines = ["i-1", "i-2"].map(|id| Engine::start(id, script));
    let (_store, gateway) = start_gateway(
        config(3),
        &[
            ("i-1", engines[0].registration("model", "fd-a")),
            ("i-2", engines[1].registration("model", "fd-b")),
        ],
    );
    let response = start_stream(&gateway, "s1");
    let requests = || engines.iter().map(Engine::request_count).sum::<usize>();
    wait_for("the stream", || requests() == 1);
    block(&engines);
    std::thread::sleep(Duration::from_millis(300));
    engines.iter().for_each(Engine::unblock_connections);
    let text = response.join().unwrap().unwrap().text();
    assert_eq!(requests(), 1, "the stream was taken off a sound engine");
    assert!(text.ends_with(&tagged_event(3, "s1")), "{text}");
}

/// Guards against a call that is refused because the route to one of two engines is gone.
#[test]
fn a_call_goes_to_another_engine_if_there_is_no_route_to_one() {
    let sound = Engine::start("i-2", |_| Reaction::Response(200, "done".into()));
    let mut unrouted = sound.registration("app", "fd-a");
    unrouted["address"] = UNROUTED.into();
    let (_store, gateway) = start_gateway(
        config(3),
        &[
            ("i-1", unrouted),
            ("i-2", sound.registration("app", "fd-a")),
        ],
    );
    let statuses: Vec<_> = (0..8)
        .map(|n| gateway.status("POST", "/any/x", &format!("r{n}"), "b"))
        .collect();
    assert_eq!(statuses, [200; 8]);
}

/// Guards against a host that spends its processor time on connections that fail at once.
#[test]
fn a_begun_stream_without_a_route_does_not_retry_without_pause() {
    let lost = Engine::start("i-1", |_| Reaction::Events(3, End::Unresponsive));
    let (store, gateway) = start_gateway(config(3), &[("i-1", lost.registration("model", "fd-a"))]);
    let response = start_stream(&gateway, "s1");
    wait_for("the stream", || lost.request_count() == 1);
    let mut unrouted = lost.registration("model", "fd-a");
    unrouted["address"] = UNROUTED.into();
    store.put("servers", "i-3", unrouted);
    let ticks = || {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", gateway.process.id())).unwrap();
        let fields: Vec<_> = text.rsplit(") ").next().unwrap().split(' ').collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    };
    std::thread::sleep(Duration::from_secs(1));
    let before = ticks();
    std::thread::sleep(Duration::from_secs(2));
    let used = ticks() - before;
    assert!(
        used < 50,
        "{used} of 200 ticks of processor time in two seconds"
    );
    drop(response);
}

/// Guards against requests that are refused because one engine, whose running streams go on, takes no
/// new connection while another is free.
#[test]
fn a_full_engine_with_running_streams_does_not_hold_up_new_ones() {
    let script = |_: &Message| Reaction::Events(3, End::Endless);
    let engines = ["i-1", "i-2"].map(|id| Engine::start(id, script));
    let (_store, gateway) = start_gateway(
        config(3),
        &[
            ("i-1", engines[0].registration("model", "fd-a")),
            ("i-2", engines[1].registration("model", "fd-b")),
        ],
    );
    let _first = start_stream(&gateway, "s0");
    let requests = || engines.iter().map(Engine::request_count).sum::<usize>();
    wait_for("the stream", || requests() == 1);
    let busy = engines.iter().find(|engine| engine.request_count() == 1);
    busy.unwrap().block_connections();
    for engine in &engines {
        engine.set_script(|_| Reaction::Events(3, End::Complete));
    }
    let statuses: Vec<_> = (1..9)
        .map(|n| {
            let response = start_stream(&gateway, &format!("s{n}")).join().unwrap();
            response.map_or(0, |response| response.status())
        })
        .collect();
    assert_eq!(statuses, [200; 8]);
}

/// Guards against engines that are compared only with each other while both are lost.
#[test]
fn two_lost_engines_of_two_failure_domains_are_found_by_an_idle_host() {
    let hang = |_: &Message| Reaction::TaggedEvents(9, End::Complete, Duration::from_secs(60));
    let lost = ["i-1", "i-2"].map(|id| Engine::start(id, hang));
    let sound = ["i-3", "i-4"].map(|id| Engine::start(id, |_| Reaction::Events(6, End::Complete)));
    let store = Store::start();
    store.put("config", "main", config(3));
    for (engine, domain) in lost.iter().zip(["fd-a", "fd-b"]) {
        store.put("servers", &engine.id, engine.registration("model", domain));
    }
    let gateway = Gateway::start(&settings(&store.address, ""));
    wait_for("readiness", || gateway.is_ready());
    let mut streams = Vec::new();
    while lost.iter().any(|engine| engine.request_count() == 0) {
        let before: usize = lost.iter().map(Engine::request_count).sum();
        streams.push(start_stream(&gateway, &format!("s{}", streams.len())));
        wait_for("the stream", || {
            lost.iter().map(Engine::request_count).sum::<usize>() > before
        });
    }
    block(&lost);
    for (engine, domain) in sound.iter().zip(["fd-a", "fd-b"]) {
        store.put("servers", &engine.id, engine.registration("model", domain));
    }
    wait_for("the engines", || {
        gateway.metric("bilberrypost_engines") == Some(4.0)
    });
    for stream in streams {
        let response = stream.join().unwrap().expect("a response");
        let text = response.text();
        assert!(
            text.ends_with(&event(6)),
            "{text:?} {:?}",
            response.first_line
        );
    }
}

/// Guards against a process that does not end in time because streams wait for contact.
#[test]
fn a_stop_ends_in_time_while_streams_wait_for_contact() {
    let hang = |_: &Message| Reaction::TaggedEvents(9, End::Complete, Duration::from_secs(60));
    let engines = ["i-1", "i-2"].map(|id| Engine::start(id, hang));
    let (_store, mut gateway) = start_gateway(
        config(3),
        &[
            ("i-1", engines[0].registration("model", "fd-a")),
            ("i-2", engines[1].registration("model", "fd-b")),
        ],
    );
    let streams: Vec<_> = (0..20)
        .map(|n| start_stream(&gateway, &format!("s{n}")))
        .collect();
    let requests = || engines.iter().map(Engine::request_count).sum::<usize>();
    wait_for("the streams", || requests() == 20);
    block(&engines);
    std::thread::sleep(Duration::from_millis(1500));
    let stopped_at = Instant::now();
    gateway.process.terminate();
    assert_eq!(gateway.process.wait(), Some(0));
    let elapsed = stopped_at.elapsed();
    assert!(elapsed < Duration::from_secs(8), "{elapsed:?}");
    drop(streams);
}

/// Reports to `follower` as a host at `address` of the failure domain `fd-b` until `is_up` is unset.
fn report(address: SocketAddr, all: &[SocketAddr], follower: SocketAddr, is_up: Arc<AtomicBool>) {
    let socket = UdpSocket::bind(address).unwrap();
    let hosts = all.iter().map(SocketAddr::ip).collect();
    let report = Report {
        revision: 3,
        hosts: [("fd-b".into(), hosts)].into(),
        ..empty_report("fd-b")
    };
    let datagram = report.encode().unwrap();
    std::thread::spawn(move || {
        while is_up.load(Ordering::Relaxed) && socket.send_to(&datagram, follower).is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
}

/// Returns a listener that answers no connection, and what fills its queue.
fn unanswering(address: SocketAddr) -> (TcpListener, Vec<TcpStream>) {
    let listener = TcpListener::bind(address).unwrap();
    rustix::net::listen(&listener, 0).unwrap();
    let mut fillers = Vec::new();
    while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        fillers.push(filler);
    }
    (listener, fillers)
}

/// Guards against a lost engine that is found late because the two other hosts that are known were
/// lost with it, while engines of the own failure domain answer.
#[test]
fn an_engine_that_is_lost_with_the_known_hosts_is_found_at_once() {
    let port = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap().port()
    };
    let [first, second, own] = [1, 2, 3].map(|n| SocketAddr::from(([127, 0, 6, n], port)));
    let lost = Engine::start("i-1", |_| {
        Reaction::TaggedEvents(9, End::Complete, Duration::from_secs(60))
    });
    let sound = Engine::start("i-2", |_| Reaction::Events(6, End::Complete));
    let store = Store::start();
    store.put("config", "main", config(3));
    store.put("servers", "i-1", lost.registration("model", "fd-b"));
    let more = format!("seeds = {}:1\nports = {port},{port}", first.ip());
    let text = settings(&store.address, &more).replace("127.0.0.1:0", &format!("{}:0", own.ip()));
    let gateway = Gateway::start(&text);
    let is_up = Arc::new(AtomicBool::new(true));
    let _unanswering = [first, second].map(unanswering);
    for address in [first, second] {
        report(address, &[first, second], own, is_up.clone());
    }
    wait_for("readiness", || gateway.is_ready());
    wait_for("the hosts", || {
        gateway.metric("bilberrypost_hosts") == Some(3.0)
    });
    let stream = start_stream(&gateway, "s1");
    wait_for("the stream", || lost.request_count() == 1);
    store.put("servers", "i-2", sound.registration("model", "fd-a"));
    wait_for("the engines", || {
        gateway.metric("bilberrypost_engines") == Some(2.0)
    });
    is_up.store(false, Ordering::Relaxed);
    lost.block_connections();
    let lost_at = Instant::now();
    let response = stream.join().unwrap().unwrap();
    let elapsed = lost_at.elapsed();
    assert!(response.text().ends_with(&event(6)), "{}", response.text());
    assert!(elapsed < Duration::from_millis(1500), "{elapsed:?}");
}

/// Guards against connections and processor time that grow with the streams while a host reaches
/// nothing.
#[test]
fn many_streams_without_contact_take_few_connections() {
    const STREAMS: usize = 200;
    let hang = |_: &Message| Reaction::TaggedEvents(9, End::Complete, Duration::from_secs(60));
    let engines = ["i-1", "i-2"].map(|id| Engine::start(id, hang));
    let (_store, gateway) = start_gateway(
        config(3),
        &[
            ("i-1", engines[0].registration("model", "fd-a")),
            ("i-2", engines[1].registration("model", "fd-b")),
        ],
    );
    let streams: Vec<_> = (0..STREAMS)
        .map(|n| start_stream(&gateway, &format!("s{n}")))
        .collect();
    let requests = || engines.iter().map(Engine::request_count).sum::<usize>();
    wait_for("the streams", || requests() == STREAMS);
    let sockets = || {
        std::fs::read_dir(format!("/proc/{}/fd", gateway.process.id()))
            .unwrap()
            .count()
    };
    let before = sockets();
    block(&engines);
    let mut most = 0;
    for _ in 0..50 {
        most = most.max(sockets());
        std::thread::sleep(Duration::from_millis(40));
    }
    eprintln!("sockets before {before}, most without contact {most}");
    assert!(most < before + 30, "{most} after {before}");
    drop(streams);
}
