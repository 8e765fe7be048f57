//! The gateway as a real process between callers and stand-ins for engines and the store.

mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use bilberrypost::config::host::Secret;
use bilberrypost::peer::auth::Keys;
use bilberrypost::peer::report::Report;
use bilberrypost::peer::seal::{BYTES_MAX, seal};
use serde_json::json;
use support::platform::{
    API_KEY, End, Engine, Gateway, Message, Mode, PEER_PORT, Reaction, Store, config, empty_report,
    events, exchange, ok, own_ips, registrations, request, resumable, settings, start,
    stream_headers, two_engines, wait_for,
};

/// Script of a stream that breaks off inside event 4 and cannot be resumed.
fn breaks_for_good(request: &Message) -> Reaction {
    match request.header("last-event-id") {
        None => Reaction::Events(3, End::HalfEvent),
        Some(_) => Reaction::Close,
    }
}

/// Guards against changed requests or responses, keys that reach engines, and forwarded headers of
/// the caller that only the gateway may set.
#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    let app = Engine::start("i-1", |_| Reaction::Response(200, "a body".into()));
    let (_store, gateway) = start(&[(&app, "app", "fd-a")]);
    let headers = format!(
        "x-bilberrypost-attempt-id: r1\r\nx-bilberrypost-deadline-ms: 5000\r\n\
         x-bilberrypost-credential: {API_KEY}\r\nx-bilberrypost-tenant: forged\r\n\
         x-bilberrypost-kv-replica: 1.2.3.4:5\r\nkv-from: 1.2.3.4:5/x\r\n\
         x-bilberrypost-pin-ms: 9\r\nx-custom: kept\r\n"
    );
    let answer = gateway
        .send("POST", "/once/x/y?q=1&r=%20", &headers, "payload")
        .unwrap();
    assert_eq!((answer.status(), answer.text().as_str()), (200, "a body"));
    assert_eq!(
        answer.header("x-bilberrypost-response-seal"),
        Some("seal-i-1")
    );
    assert_eq!(answer.header("x-bilberrypost-attempt-id"), Some("r1"));
    let seen = app.received.lock().unwrap()[0].clone();
    assert_eq!(seen.first_line, "POST /once/x/y?q=1&r=%20 HTTP/1.1");
    assert_eq!(seen.text(), "payload");
    assert_eq!(seen.header("x-bilberrypost-tenant"), Some("team-a"));
    assert_eq!(seen.header("x-bilberrypost-expect-instance"), Some("i-1"));
    assert_eq!(seen.header("x-custom"), Some("kept"));
    let left: u64 = seen
        .header("x-bilberrypost-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 5000, "{left}");
    for own in ["credential", "kv-replica", "pin-ms"] {
        assert_eq!(seen.header(&format!("x-bilberrypost-{own}")), None, "{own}");
    }
    assert_eq!(seen.header("kv-from"), None);
}

/// Guards against a non-idempotent request that is sent to a second engine after its response was
/// lost or invalid, and against a refusal that claims that the request did not run.
#[test]
fn non_idempotent_requests_are_sent_once() {
    let invalid_responses = [
        Reaction::Close,
        Reaction::Raw("HTTP/1.1 200 x\r\ncontent-length: 50\r\n\r\nshort".into()),
        Reaction::Raw("no protocol at all\r\n\r\n".into()),
        Reaction::Raw(
            "HTTP/1.1 200 x\r\nx-bilberrypost-attempt-id: other\r\n\
             x-bilberrypost-response-seal: s\r\ncontent-length: 2\r\n\r\nhi"
                .into(),
        ),
        Reaction::Raw(
            "HTTP/1.1 200 x\r\nx-bilberrypost-attempt-id: ID\r\ncontent-length: 2\r\n\r\nhi".into(),
        ),
        Reaction::Raw(
            "HTTP/1.1 200 x\r\nx-bilberrypost-attempt-id: ID\r\ncontent-encoding: gzip\r\n\
             x-bilberrypost-response-seal: s\r\ncontent-length: 2\r\n\r\nhi"
                .into(),
        ),
    ];
    let one = Engine::start("i-1", |_| ok());
    let two = Engine::start("i-2", |_| ok());
    let (_store, gateway) = start(&[(&one, "app", "fd-a"), (&two, "app", "fd-b")]);
    for (number, act) in invalid_responses.into_iter().enumerate() {
        let before = one.request_count() + two.request_count();
        for engine in [&one, &two] {
            let act = act.clone();
            engine.set_script(move |_| act.clone());
        }
        let id = format!("once{number}");
        let answer = gateway.call("POST", "/once/x", &id, "book");
        assert_eq!(answer.status(), 502, "{act:?}");
        assert_eq!(
            one.request_count() + two.request_count(),
            before + 1,
            "{act:?}"
        );
    }
}

/// Guards against idempotent requests that fail because one engine fails, and against changed
/// failure responses of engines.
#[test]
fn idempotent_requests_are_retried() {
    let one = Engine::start("i-1", |_| Reaction::Close);
    let two = Engine::start("i-2", |_| ok());
    let (_store, gateway) = start(&[(&one, "app", "fd-a"), (&two, "app", "fd-b")]);
    for number in 0..8 {
        assert_eq!(
            gateway.status("GET", "/any/x", &format!("any{number}"), ""),
            200
        );
    }
    one.set_script(|_| Reaction::Response(500, "broken".into()));
    two.set_script(|_| Reaction::Response(500, "broken".into()));
    let answer = gateway.call("GET", "/any/x", "failing", "");
    assert_eq!((answer.status(), answer.text().as_str()), (500, "broken"));
    assert!(answer.header("x-bilberrypost-response-seal").is_some());
}

/// Guards against requests that fail at a full engine while another has room, and against a refusal
/// without `Retry-After`.
#[test]
fn a_full_engine_is_replaced_by_another() {
    let full = Engine::start("i-1", |_| Reaction::NotExecuted);
    let free = Engine::start("i-2", |_| ok());
    let (_store, gateway) = start(&[(&full, "app", "fd-a"), (&free, "app", "fd-b")]);
    for number in 0..6 {
        assert_eq!(
            gateway.status("POST", "/once/x", &format!("r{number}"), "b"),
            200
        );
    }
    free.set_script(|_| Reaction::NotExecuted);
    let answer = gateway.call("POST", "/once/x", "refused", "b");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(answer.header("x-bilberrypost-attempt-id"), Some("refused"));
}

/// Guards against a request that is refused because the first engines were unreachable: an attempt
/// that reached no engine is no retry.
#[test]
fn refused_connections_use_no_retries() {
    let free = Engine::start("i-9", |_| ok());
    let store = Store::start();
    store.put("config", "main", config(3));
    let mut closed = free.registration("app", "fd-a");
    for number in 1..=6 {
        closed["address"] = json!(format!("127.0.0.1:{number}"));
        store.put("servers", &format!("i-{number}"), closed.clone());
    }
    store.put("servers", &free.id, free.registration("app", "fd-b"));
    let settings = settings(&store.address, "")
        .replace("retry_ratio = 0.8", "retry_ratio = 0")
        .replace("retry_slack = 150", "retry_slack = 0");
    let gateway = Gateway::start(&settings);
    wait_for("readiness", || gateway.is_ready());
    assert_eq!(gateway.status("POST", "/once/x", "r1", "b"), 200);
    assert_eq!(free.request_count(), 1);
}

/// Guards against a missing, repeated or partial event after an engine broke off a stream, and
/// against a resumed run that ignores the replica.
#[test]
fn a_broken_stream_resumes_at_the_next_event() {
    let engines = two_engines(|_| ok());
    for (engine, other) in [(0, 1), (1, 0)] {
        let other = engines[other].address.clone();
        engines[engine].set_script(move |request| match request.header("last-event-id") {
            None => {
                assert_eq!(
                    request.header("x-bilberrypost-kv-replica"),
                    Some(other.as_str())
                );
                Reaction::Events(5, End::HalfEvent)
            }
            Some(_) => Reaction::Events(12, End::Complete),
        });
    }
    let (_store, gateway) = start(&[
        (&engines[0], "model", "fd-a"),
        (&engines[1], "model", "fd-b"),
    ]);
    let answer = gateway.stream("s1");
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.text(), events(1, 12));
    assert_eq!(answer.header("broken"), None);
    let first = engines.iter().find(|engine| {
        engine.received.lock().unwrap()[0]
            .header("last-event-id")
            .is_none()
    });
    let first = first.unwrap();
    let second = engines.iter().find(|engine| engine.id != first.id).unwrap();
    let seal = format!("seal-{}", first.id);
    assert_eq!(
        answer.header("x-bilberrypost-response-seal"),
        Some(seal.as_str())
    );
    let resumed = second.received.lock().unwrap()[0].clone();
    assert_eq!(resumed.header("last-event-id"), Some("5"));
    let copy = format!("{}/s1", second.address);
    assert_eq!(resumed.header("kv-from"), Some(copy.as_str()));
}

/// Guards against streams that hang on an engine that stopped responding without a reset.
#[test]
fn a_stream_leaves_an_unresponsive_engine() {
    let [one, two] = two_engines(resumable(3, End::Unresponsive, 9));
    let (_store, gateway) = start(&[(&one, "model", "fd-a"), (&two, "model", "fd-b")]);
    let answer = gateway.stream("s1");
    assert_eq!(answer.text(), events(1, 9));
    assert_eq!(answer.header("broken"), None);
}

/// Guards against a broken stream that looks complete to the caller although no engine could resume
/// it.
#[test]
fn a_stream_without_another_engine_ends_incomplete() {
    let only = Engine::start("i-1", breaks_for_good);
    let (_store, gateway) = start(&[(&only, "model", "fd-a")]);
    let answer = gateway.stream("s1");
    assert_eq!(answer.text(), events(1, 3));
    assert_eq!(answer.header("broken"), Some("yes"));
}

/// Guards against invalid requests that get the wrong status, reach an engine or disturb others.
#[test]
fn invalid_requests_are_refused() {
    let app = Engine::start("i-1", |_| ok());
    let (_store, gateway) = start(&[(&app, "app", "fd-a")]);
    let address = gateway.process.address.clone();
    // For the whole test this caller has sent only part of its head.
    let mut slow = TcpStream::connect(&address).unwrap();
    slow.write_all(b"POST /once/x HTTP/1.1\r\nhost: shop.ex")
        .unwrap();
    let with = |key: &str, id: &str| {
        format!("x-bilberrypost-attempt-id: {id}\r\nx-bilberrypost-credential: {key}\r\n")
    };
    let status = |method: &str, path: &str, headers: &str, body: &str| {
        let answer = exchange(&address, &request(method, path, headers, body));
        answer.map_or(0, |answer| answer.status())
    };
    assert_eq!(status("POST", "/once/x", &with("wrong", "a"), ""), 401);
    assert_eq!(
        status("POST", "/once/x", "x-bilberrypost-attempt-id: b\r\n", ""),
        401
    );
    assert_eq!(status("POST", "/nowhere/x", &with(API_KEY, "c"), ""), 404);
    assert_eq!(status("POST", "/oncex", &with(API_KEY, "c"), ""), 404);
    assert_eq!(
        status(
            "POST",
            "/once/x",
            &format!("x-bilberrypost-credential: {API_KEY}\r\n"),
            ""
        ),
        400
    );
    let bad_deadline = with(API_KEY, "d") + "x-bilberrypost-deadline-ms: soon\r\n";
    assert_eq!(status("POST", "/once/x", &bad_deadline, ""), 400);
    assert_eq!(
        status("POST", "/once/x", &with(API_KEY, "e"), &"x".repeat(100_001)),
        413
    );
    let long = with(API_KEY, "f") + &format!("x-long: {}\r\n", "y".repeat(20_000));
    assert_eq!(status("POST", "/once/x", &long, ""), 431);
    assert_eq!(
        exchange(&address, "nonsense\r\n\r\n").map_or(0, |answer| answer.status()),
        400
    );
    assert_eq!(app.request_count(), 0);
    assert_eq!(
        status("GET", "/open/x", "x-bilberrypost-attempt-id: g\r\n", ""),
        200
    );
    assert_eq!(gateway.status("POST", "/once/x", "h", "fine"), 200);
}

/// Guards against request smuggling: a second request inside the body of the first, which has both
/// `Transfer-Encoding` and `Content-Length`.
#[test]
fn smuggled_requests_do_not_reach_engines() {
    let app = Engine::start("i-1", |_| ok());
    let (_store, gateway) = start(&[(&app, "app", "fd-a")]);
    let inner = "POST /once/smuggled HTTP/1.1\r\nhost: shop.example\r\n\r\n";
    let text = format!(
        "POST /once/x HTTP/1.1\r\nhost: shop.example\r\nx-bilberrypost-attempt-id: r1\r\n\
         x-bilberrypost-credential: {API_KEY}\r\ntransfer-encoding: chunked\r\n\
         content-length: 4\r\n\r\n{:x}\r\n{inner}\r\n0\r\n\r\n",
        inner.len()
    );
    let _ = exchange(&gateway.process.address, &text);
    assert_eq!(gateway.status("POST", "/once/x", "r2", "next"), 200);
    let seen = app.received.lock().unwrap();
    let is_smuggled = |message: &Message| message.first_line.contains("smuggled");
    assert!(!seen.iter().any(is_smuggled), "{seen:?}");
}

/// Guards against a host that is ready too early, that returns to an older configuration, or that
/// accepts a revoked key, also after the store dropped its history.
#[test]
fn configuration_changes_take_effect() {
    let app = Engine::start("i-1", |_| ok());
    let store = Store::start();
    let gateway = Gateway::start(&settings(&store.address, ""));
    assert!(!gateway.is_ready());
    assert_eq!(gateway.status("POST", "/once/x", "early", ""), 503);
    store.put("config", "main", config(3));
    store.put("servers", &app.id, app.registration("app", "fd-a"));
    wait_for("readiness", || gateway.is_ready());
    wait_for("an answer", || {
        gateway.status("POST", "/once/x", "r1", "") == 200
    });
    store.put("config", "main", config(2));
    store.set_mode(Mode::HistoryGone);
    store.put("servers", "forged", json!({"service": 7}));
    let mut without_key = config(9);
    without_key["tenants"][0]["api-keys"] = json!(["another"]);
    store.put("config", "main", without_key);
    wait_for("401", || gateway.status("POST", "/once/x", "r2", "") == 401);
    store.put("config", "main", config(5));
    let calls_before = store.calls();
    wait_for("further calls", || store.calls() > calls_before + 3);
    assert_eq!(gateway.status("POST", "/once/x", "r3", ""), 401);
}

/// Guards against requests to engines that drain, that are gone, or whose entry is malformed, and
/// against refusals during an outage of the store.
#[test]
fn registration_changes_take_effect() {
    let one = Engine::start("i-1", |_| ok());
    let two = Engine::start("i-2", |_| ok());
    let (store, gateway) = start(&[(&one, "app", "fd-a"), (&two, "app", "fd-b")]);
    let leaving = |engine: &Engine| {
        let mut entry = engine.registration("app", "fd-a");
        entry["lifecycle"] = json!("draining");
        entry
    };
    let expect_no_requests_at = |engine: &Engine| {
        wait_for("engine without requests", || {
            let before = engine.request_count();
            for number in 0..4 {
                assert_eq!(
                    gateway.status("GET", "/any/x", &format!("r{number}"), ""),
                    200
                );
            }
            engine.request_count() == before
        });
    };
    store.put("servers", &one.id, leaving(&one));
    expect_no_requests_at(&one);
    store.put("servers", &one.id, one.registration("app", "fd-a"));
    store.remove("servers", &two.id);
    expect_no_requests_at(&two);
    store.put("servers", &two.id, json!({"service": "app", "address": 5}));
    expect_no_requests_at(&two);
    store.set_mode(Mode::Unavailable);
    for number in 0..10 {
        assert_eq!(
            gateway.status("POST", "/once/x", &format!("o{number}"), ""),
            200
        );
    }
}

/// Guards against a SIGTERM that cuts a running request or does not end the process, and against a
/// SIGHUP or a second SIGTERM that ends it at once.
#[test]
fn running_requests_end_after_sigterm() {
    let app = Engine::start("i-1", |_| {
        std::thread::sleep(Duration::from_millis(1500));
        ok()
    });
    let (_store, mut gateway) = start(&[(&app, "app", "fd-a")]);
    gateway.process.reload();
    let headers =
        format!("x-bilberrypost-attempt-id: r1\r\nx-bilberrypost-credential: {API_KEY}\r\n");
    let stream = gateway.open("POST", "/once/x", &headers, "b");
    wait_for("arrival", || app.request_count() == 1 || gateway.is_ready());
    gateway.process.terminate();
    wait_for("refusal of readiness", || !gateway.is_ready());
    // A second SIGTERM must not cut the request either.
    gateway.process.terminate();
    let answer = Message::read(&mut BufReader::new(stream)).unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(gateway.process.wait(), Some(0));
}

/// Guards against a leaving host that accepts a stream which it would have to cut, and against a
/// `Retry-After` so short that the retry reaches the same host, which uses up the caller's retries.
#[test]
fn a_leaving_host_refuses_streams_that_it_would_cut() {
    let engine = Engine::start("i-1", |_| Reaction::Events(3, End::Endless));
    let (_store, gateway) = start(&[(&engine, "model", "fd-a")]);
    let _running = gateway.open("POST", "/stream/x", &stream_headers("s1"), "p");
    wait_for("a run", || engine.request_count() == 1);
    gateway.process.terminate();
    wait_for("refusal of readiness", || !gateway.is_ready());
    // Prefilling this prompt alone takes longer than the host has left.
    let long = stream_headers("s2").replace("1000,70", "50000,70");
    let answer = gateway.send("POST", "/stream/x", &long, "p").unwrap();
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0, "{after}");
    assert_eq!(engine.request_count(), 1);
}

/// Guards against a host that cannot serve because the store refuses its calls, although its peers
/// know the configuration and the engines.
#[test]
fn a_host_without_the_store_reads_from_its_peers() {
    let app = Engine::start("i-1", |_| ok());
    let store = Store::with(config(3), &registrations(&[(&app, "app", "fd-a")]));
    let [one, two] = own_ips();
    let on = |ip: &str, store: &str| {
        settings(
            store,
            &format!("seeds = {one}:1\nports = {PEER_PORT},{}", PEER_PORT + 1),
        )
        .replace("listen = 127.0.0.1:0", &format!("listen = {ip}:0"))
    };
    let connected = Gateway::start(&on(&one, &store.address));
    wait_for("readiness", || connected.is_ready());
    let unavailable_store = Store::start();
    unavailable_store.set_mode(Mode::Unavailable);
    let cut_off = Gateway::start(&on(&two, &unavailable_store.address));
    wait_for("readiness by a peer", || cut_off.is_ready());
    assert_eq!(cut_off.status("POST", "/once/x", "r1", "b"), 200);
    store.put("config", "main", {
        let mut next = config(4);
        next["tenants"][0]["api-keys"] = json!(["another"]);
        next
    });
    wait_for("a newer configuration", || {
        cut_off.status("POST", "/once/x", "r2", "") == 401
    });
}

/// Guards against a fleet in which every host watches the store, and against followers that miss a
/// revision or a removed engine, also after the representatives that they follow were lost.
#[test]
fn most_hosts_follow_a_representative() {
    let one = Engine::start("i-1", |_| ok());
    let two = Engine::start("i-2", |_| ok());
    let engines = registrations(&[(&one, "app", "fd-a"), (&two, "app", "fd-a")]);
    let store = Store::with(config(3), &engines);
    let ips = own_ips::<4>();
    let start = |ip: &String| {
        let more = format!("seeds = {}:1\nports = {PEER_PORT},{PEER_PORT}", ips[0]);
        let settings = settings(&store.address, &more);
        Gateway::start(&settings.replace("127.0.0.1:0", &format!("{ip}:0")))
    };
    let mut hosts: Vec<_> = ips.iter().map(start).collect();
    hosts
        .iter()
        .for_each(|host| wait_for("readiness", || host.is_ready()));
    let watching = |host: &Gateway| host.metric("bilberrypost_watches_store") == Some(1.0);
    wait_for("one representative that watches", || {
        hosts.iter().filter(|host| watching(host)).count() == 1
    });
    let expect_all_follow = |hosts: &[Gateway], version: u64, key: &str, status: u16| {
        let mut next = config(version);
        // Odd versions exceed the size that representatives send, so followers read them from the
        // store.
        let routes = next["routes"].as_array_mut().unwrap();
        for number in 0..(version % 2) * 100 {
            let mut route = routes[0].clone();
            route["path-prefix"] = json!(format!("/more{number}/"));
            routes.push(route);
        }
        next["tenants"][0]["api-keys"] = json!([key]);
        store.put("config", "main", next);
        for host in hosts {
            wait_for("the revision", || {
                host.status("POST", "/once/x", "r1", "") == status
            });
        }
    };
    expect_all_follow(&hosts, 4, "another", 401);
    expect_all_follow(&hosts, 5, API_KEY, 200);
    hosts.retain(|host| !watching(host));
    expect_all_follow(&hosts, 6, "another", 401);
    expect_all_follow(&hosts, 7, API_KEY, 200);
    store.remove("servers", &one.id);
    wait_for("an engine without requests", || {
        let before = one.request_count();
        for (number, host) in hosts.iter().enumerate() {
            let id = format!("g{number}");
            assert_eq!(host.status("GET", "/any/x", &id, ""), 200);
        }
        one.request_count() == before
    });
}

/// Guards against hosts of different failure domains that answer each other's reports endlessly,
/// and against a starting host that gets no answer from a seed in another failure domain.
#[test]
fn reports_from_other_domains_are_answered_only_if_they_ask() {
    let app = Engine::start("i-1", |_| ok());
    let store = Store::with(config(3), &registrations(&[(&app, "app", "fd-a")]));
    let [own_ip, other_ip] = own_ips();
    let port = PEER_PORT;
    let socket = std::net::UdpSocket::bind((other_ip.as_str(), port)).unwrap();
    let settings = settings(&store.address, &format!("ports = {port},{port}"));
    let gateway = Gateway::start(&settings.replace("127.0.0.1:0", &format!("{own_ip}:0")));
    wait_for("readiness", || gateway.is_ready());
    let hosts = (1..=30).map(|n| std::net::IpAddr::from([127, 0, 1, n]));
    let mut report = Report {
        // A leaving host is no representative, so it gets no summaries either.
        is_leaving: true,
        hosts: [("fd-z".into(), hosts.collect())].into(),
        ..empty_report("fd-z")
    };
    let to = format!("{own_ip}:{port}");
    let mut buffer = [0; BYTES_MAX];
    // Sent repeatedly, as the gateway forgets hosts that are no longer listed.
    let (sender, datagram, to_host) = (
        socket.try_clone().unwrap(),
        report.encode().unwrap(),
        to.clone(),
    );
    std::thread::spawn(move || {
        while sender.send_to(&datagram, &to_host).is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    // The gateway reports to all hosts until it knows that the fleet is large.
    wait_for("the other hosts", || {
        gateway.metric("bilberrypost_hosts") == Some(32.0)
    });
    socket
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    while socket.recv(&mut buffer).is_ok() {}
    assert!(
        socket.recv(&mut buffer).is_err(),
        "an answer to a report that does not ask for one"
    );
    report.is_question = true;
    socket
        .set_read_timeout(Some(support::TEST_TIMEOUT))
        .unwrap();
    socket.send_to(&report.encode().unwrap(), &to).unwrap();
    let length = socket.recv(&mut buffer).unwrap();
    let answer = Report::decode(&buffer[..length]).unwrap();
    assert_eq!(
        (answer.domain.as_str(), answer.is_question),
        ("fd-a", false)
    );
}

/// Guards against a datagram of a stranger that is used although the hosts share a key, and against
/// hosts that do not hear each other while that key is rotated.
#[test]
fn reports_without_the_key_of_the_hosts_change_nothing() {
    let app = Engine::start("i-1", |_| ok());
    let store = Store::with(config(3), &registrations(&[(&app, "app", "fd-a")]));
    let [one, two, stranger] = own_ips();
    let start = |ip: &str, keys: &str| {
        let more = format!("seeds = {one}:1\nports = {PEER_PORT},{PEER_PORT}\n{keys}");
        let settings = settings(&store.address, &more);
        Gateway::start(&settings.replace("127.0.0.1:0", &format!("{ip}:0")))
    };
    let old = "key-before-the-rotation";
    let rotated = format!("peer_key = key-after-the-rotation\nprevious_peer_key = {old}");
    let prepared = format!("peer_key = {old}\nprevious_peer_key = key-after-the-rotation");
    let hosts = [start(&one, &rotated), start(&two, &prepared)];
    let known = |host: &Gateway| host.metric("bilberrypost_hosts");
    let hear_each_other = || hosts.iter().all(|host| known(host) == Some(2.0));
    wait_for("the other host", hear_each_other);
    let socket = std::net::UdpSocket::bind((stranger.as_str(), PEER_PORT)).unwrap();
    let listed = (1..=30).map(|n| std::net::IpAddr::from([127, 0, 1, n]));
    let report = Report {
        number: u64::MAX,
        is_question: true,
        hosts: [("fd-z".into(), listed.collect())].into(),
        ..empty_report("fd-z")
    };
    let mut other_key = report.encode().unwrap();
    let keys = Keys::new(Secret::new("key-of-another-fleet"), None);
    seal(&keys, socket.local_addr().unwrap(), &mut other_key);
    for datagram in [report.encode().unwrap(), other_key] {
        for ip in [&one, &two] {
            socket.send_to(&datagram, (ip.as_str(), PEER_PORT)).unwrap();
        }
    }
    let refused = "bilberrypost_decisions_total{decision=\"report\",outcome=\"refused\"}";
    for host in &hosts {
        wait_for("refused datagrams", || host.metric(refused) == Some(2.0));
    }
    // Longer than the time between two reports, after which the list of hosts is updated.
    std::thread::sleep(Duration::from_secs(1));
    assert!(hear_each_other());
    socket.set_nonblocking(true).unwrap();
    assert!(socket.recv(&mut [0; BYTES_MAX]).is_err(), "an answer");
}

/// Guards against a prompt that is prefilled again when the caller continues a stream at another
/// host, although an engine holds a replica of the run.
#[test]
fn a_stream_resumes_at_another_host() {
    let engines = two_engines(resumable(3, End::Endless, 9));
    let [one, two] = &engines;
    let registered = registrations(&[(one, "model", "fd-a"), (two, "model", "fd-b")]);
    let store = Store::with(config(3), &registered);
    let [first_ip, second_ip] = own_ips();
    let on = |ip: &str| {
        settings(
            &store.address,
            &format!("seeds = {first_ip}:1\nports = {PEER_PORT},{PEER_PORT}"),
        )
        .replace("listen = 127.0.0.1:0", &format!("listen = {ip}:0"))
    };
    let (mut first, second) = (
        Gateway::start(&on(&first_ip)),
        Gateway::start(&on(&second_ip)),
    );
    wait_for("readiness", || first.is_ready() && second.is_ready());
    let parts = "x-bilberrypost-prompt-prefix: aa:200,bb:800\r\n";
    let headers = stream_headers("s1") + parts;
    let _stream = first.open("POST", "/stream/x", &headers, "prompt");
    let runs_at = |engine: &Engine| engine.request_count() > 0;
    wait_for("a run", || engines.iter().any(runs_at));
    let replica = engines.iter().find(|engine| !runs_at(engine)).unwrap();
    let copy = format!("{}/s1", replica.address);
    // Longer than callers take to reconnect, by the time that the route allows for a request.
    let is_known = || {
        let metric = |name: &str| second.metric(name).unwrap_or_default();
        metric("bilberrypost_remembered_runs") == 1.0
            && metric("bilberrypost_run_history_seconds") > 8.0
    };
    wait_for("a report of the run", is_known);
    first.process.kill();
    let headers = stream_headers("s2") + parts + "last-event-id: 3\r\n";
    let answer = second
        .send("POST", "/stream/x", &headers, "prompt")
        .unwrap();
    assert_eq!(answer.text(), events(4, 9));
    let seen = replica.received.lock().unwrap();
    let mut sources = seen.iter().map(|request| request.header("kv-from"));
    assert!(sources.any(|source| source == Some(copy.as_str())));
}

/// Stops a gateway; returns its log and what `bilberrypost explain` prints for a request.
fn explain(gateway: &mut Gateway, id: &str) -> (String, String) {
    gateway.process.terminate();
    let log = gateway.process.rest_of_output();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host-a.log");
    std::fs::write(&file, &log).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .args(["explain", "--request", id])
        .arg(&file)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    (log, String::from_utf8(output.stdout).unwrap())
}

/// Guards against a broken stream whose log does not tell the engine, the reason and the attempts.
#[test]
fn the_log_explains_a_broken_stream() {
    let only = Engine::start("i-1", breaks_for_good);
    let (_store, mut gateway) = start(&[(&only, "model", "fd-a")]);
    let answer = gateway.stream("s1");
    assert_eq!(answer.header("broken"), Some("yes"));
    let (_, explanation) = explain(&mut gateway, "s1");
    for word in [
        "event=admitted",
        "event=placed",
        "engines_age_ms=",
        "event=stream_broken",
        "event=stream_ended",
    ] {
        assert!(explanation.contains(word), "{word}: {explanation}");
    }
    assert!(
        explanation.contains("cause: the stream broke off after event 3"),
        "{explanation}"
    );
}

/// Guards against a request with an unknown outcome whose log does not name the engine.
#[test]
fn the_log_explains_an_unknown_outcome() {
    let app = Engine::start("i-1", |_| Reaction::Close);
    let (_store, mut gateway) = start(&[(&app, "app", "fd-a")]);
    assert_eq!(gateway.status("POST", "/once/x", "r1", "b"), 502);
    let (_, explanation) = explain(&mut gateway, "r1");
    assert!(
        explanation.contains("engine=i-1 fault=lost work=unknown"),
        "{explanation}"
    );
    assert!(
        explanation.contains("cause: refused for answer-lost with status 502, work unknown"),
        "{explanation}"
    );
}

/// Guards against a refusal whose reason is not logged when lines of successful requests are left
/// out under load, and against keys in the log.
#[test]
fn the_log_explains_a_refusal_in_a_flood() {
    let app = Engine::start("i-1", |request| {
        match request.first_line.contains("refused") {
            true => Reaction::NotExecuted,
            false => ok(),
        }
    });
    let (_store, mut gateway) = start(&[(&app, "app", "fd-a")]);
    for number in 0..600 {
        gateway.call("GET", "/any/x", &format!("flood{number}"), "");
    }
    assert_eq!(gateway.status("POST", "/once/refused", "r1", "b"), 503);
    let (log, explanation) = explain(&mut gateway, "r1");
    assert!(explanation.contains("event=admitted"), "{explanation}");
    assert!(
        explanation.contains("cause: refused for no-engine with status 503, work not-run"),
        "{explanation}"
    );
    assert!(!log.contains(API_KEY), "a key is in the log");
}

/// Guards against requests that block while nobody reads the log.
#[test]
fn a_blocked_log_pipe_does_not_delay_requests() {
    let app = Engine::start("i-1", |_| ok());
    let (_store, gateway) = start(&[(&app, "app", "fd-a")]);
    // The log lines of these refusals exceed the buffer of the pipe and the queue, as nobody reads
    // them.
    for number in 0..4000 {
        let headers = format!("x-bilberrypost-attempt-id: n{number}\r\n");
        let refused = gateway.send("GET", "/any/x", &headers, "").unwrap();
        assert_eq!(refused.status(), 401);
    }
    assert_eq!(gateway.status("POST", "/once/x", "last", "b"), 200);
}

/// Guards against a missing or repeated log line when a dependency is lost or comes back.
#[test]
fn a_lost_dependency_is_logged_once() {
    let app = Engine::start("i-1", |_| ok());
    let (store, mut gateway) = start(&[(&app, "app", "fd-a")]);
    store.set_mode(Mode::Unavailable);
    let calls_before = store.calls();
    wait_for("failed calls", || store.calls() > calls_before + 6);
    store.set_mode(Mode::Normal);
    let calls_before = store.calls();
    wait_for("successful calls", || store.calls() > calls_before + 4);
    gateway.process.terminate();
    let log = gateway.process.rest_of_output();
    for event in ["dependency_lost", "dependency_back"] {
        for name in ["configuration", "engines"] {
            let line = format!("event={event} name={name}");
            assert_eq!(log.matches(&line).count(), 1, "{line} in {log}");
        }
    }
}
