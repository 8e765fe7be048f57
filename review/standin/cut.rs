//! A host is cut off from the store. Just after the cut, an engine is removed that never reports that it
//! drains.
//!
//! Rule DRAIN: a host that is in touch sends the engine no request later than `drain-ms` after that.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::app::App;
use crate::host::{Host, Place, Ports};
use crate::http;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"book","host":"alley.example","path-prefix":"/book/","route-type":"non_idempotent","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"buchungsdienst","max-attempts":1,"anonymous":false}],"services":[{"name":"buchungsdienst","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"league","api-keys":["key-of-league"],"priority":1}]}"#;

const ZONES: [&str; 3] = ["niederbach-nord", "niederbach-mitte", "niederbach-sued"];

/// Mean work of the sheet.
const WORK: Duration = Duration::from_millis(30);

/// Callers with a kept connection each, and the pause after each answer: about 20 requests a second,
/// as the sheet says for the only host of niederbach-mitte.
const CALLERS: usize = 4;
const CALLER_PAUSE: Duration = Duration::from_millis(170);

/// The cut ends at a call to the store that comes after the first time, at the latest after the second,
/// which is the limit of the site file.
const CUT_TIME: (Duration, Duration) = (Duration::from_millis(3700), Duration::from_millis(5500));

/// Time from the end of the cut to the removal of the engine's entry.
const REMOVED_AFTER: Duration = Duration::from_millis(600);

/// Bounds of the deployment.
const STABLE: Duration = Duration::from_millis(3000);
const DRAIN: Duration = Duration::from_millis(2000);

/// Time for which the engine serves on after its removal: `drain-ms` "and a little longer (at times many
/// seconds)".
const LINGER: Duration = Duration::from_millis(5000);

/// A request that a caller sent, and the status of its answer; 0 for none.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

fn call(address: &str, caller: usize, stop: &AtomicBool, record: &Record) -> Vec<Sent> {
    let mut sent = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(address) else {
            sleep(CALLER_PAUSE);
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Ok(mut writer) = stream.try_clone() else {
            continue;
        };
        let mut reader = BufReader::new(stream);
        while !stop.load(Ordering::Relaxed) {
            let id = format!("c{caller}-{}", sent.len() + 1);
            let request = format!(
                "POST /book/2f HTTP/1.1\r\nHost: alley.example\r\n\
                 X-Bilberrypost-Attempt-Id: {id}\r\nX-Bilberrypost-Deadline-Ms: 1000\r\n\
                 X-Bilberrypost-Credential: key-of-league\r\nContent-Length: 4\r\n\r\nlane"
            );
            let at = Instant::now();
            let answer = writer
                .write_all(request.as_bytes())
                .and_then(|()| http::read_message(&mut reader));
            let status = answer.map_or(0, |answer| answer.second_word().parse().unwrap_or(0));
            record.line(&format!("caller {caller}: {id} gets {status}"));
            sent.push(Sent { id, at, status });
            if status == 0 {
                break;
            }
            sleep(CALLER_PAUSE);
        }
    }
    sent
}

/// Cuts the path until shortly after the host has begun a call; returns the end of the cut.
fn cut(proxy: &Proxy, record: &Record) -> Instant {
    let began = Instant::now();
    proxy.set_cut(true);
    record.line("trouble: the host is cut off from the store");
    sleep(CUT_TIME.0);
    let from = Instant::now();
    while began.elapsed() < CUT_TIME.1 && proxy.last_lost_list().is_none_or(|at| at < from) {
        sleep(Duration::from_millis(2));
    }
    proxy.set_cut(false);
    let millis = began.elapsed().as_millis();
    record.line(&format!("trouble: the cut ends after {millis} ms"));
    Instant::now()
}

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let mut servers = Vec::new();
    for zone in ZONES {
        let id = format!("i-{zone}");
        let server = App::start(&id, WORK, record);
        let address = &server.address;
        let entry = format!(
            r#"{{"service":"buchungsdienst","address":"{address}","zone":"{zone}","version":"v1","batch-slots":6,"lifecycle":"available","cold-remaining-ms":0,"sequence":4,"born":1785061641000}}"#
        );
        store.put("servers", &id, &entry);
        servers.push(server);
    }
    let proxy = Proxy::start(&store.address);
    let host = Host::start(Place {
        name: "edge-niederbach-mitte-1".into(),
        ip: "127.0.5.1".into(),
        zone: "niederbach-mitte".into(),
        seeds: vec!["127.0.5.1".into()],
        store: proxy.address.clone(),
        ports: Ports::choose(),
        folder: folder.into(),
    })?;
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (address, stop, record) = (host.place.frontend(), stop.clone(), record.clone());
            thread::spawn(move || call(&address, caller, &stop, &record))
        })
        .collect();
    sleep(Duration::from_secs(4));
    let healed_at = match has_trouble {
        true => cut(&proxy, record),
        false => Instant::now(),
    };
    sleep(REMOVED_AFTER);
    let leaving = &servers[1];
    store.remove("servers", "i-niederbach-mitte");
    let removed_at = Instant::now();
    record.line("the store has removed i-niederbach-mitte");
    sleep(LINGER);
    stop.store(true, Ordering::Relaxed);
    let sent = Mutex::new(Vec::new());
    for caller in callers {
        let own = caller.join().map_err(|_| "a caller failed")?;
        sent.lock().expect("no panic").extend(own);
    }
    let sent = sent.into_inner().expect("no panic");
    let mut late = 0;
    for (id, at) in leaving.arrivals() {
        let after = at.saturating_duration_since(removed_at);
        let request = sent.iter().find(|request| request.id == id);
        // Without a cut the host is in touch all the while.
        let is_in_touch =
            !has_trouble || request.is_some_and(|request| request.at >= healed_at + STABLE);
        if after > DRAIN && is_in_touch {
            late += 1;
            let status = request.map_or(0, |request| request.status);
            record.line(&format!(
                "result: {id} reached i-niederbach-mitte {} ms after its removal, answered {status}",
                after.as_millis()
            ));
        }
    }
    record.line(&format!("result: {} requests, {late} too late", sent.len()));
    Ok(late == 0)
}
