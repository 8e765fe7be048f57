//! The settings file of a host changes several times, and the host gets a SIGHUP for each change.
//!
//! Rule LOST: no request that was passed on to a server is cut around a SIGHUP, and the process does not
//! end.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::app::App;
use crate::host::{Host, Place, Ports};
use crate::http;
use crate::record::Record;
use crate::store::Store;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"book","host":"alley.example","path-prefix":"/book/","route-type":"non_idempotent","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"buchungsdienst","max-attempts":1,"anonymous":false}],"services":[{"name":"buchungsdienst","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"league","api-keys":["key-of-league"],"priority":1}]}"#;

/// Time that a server works on a request, within the 220 ms of the sheet.
const WORK: Duration = Duration::from_millis(100);

/// Callers with a kept connection each. They send about as much as the sheet says for one host.
const CALLERS: usize = 2;

/// Signals of one round of changes, the time between two of them, and between two rounds.
const SIGNALS: usize = 10;
const SIGNAL_GAP: Duration = Duration::from_micros(20);
const ROUND_GAP: Duration = Duration::from_millis(100);

/// Time for which changes come.
const CHANGES_TIME: Duration = Duration::from_secs(90);

const SIGHUP: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends requests on one connection until `stop` is set or the connection ends. Returns the id of a
/// request that was sent and has no whole answer.
fn call(address: &str, caller: usize, stop: &AtomicBool, record: &Record) -> Option<String> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("c{caller}-{number}");
        let request = format!(
            "POST /book/2f HTTP/1.1\r\nHost: alley.example\r\nX-Bilberrypost-Attempt-Id: {id}\r\n\
             X-Bilberrypost-Deadline-Ms: 1000\r\nX-Bilberrypost-Credential: key-of-league\r\n\
             Content-Length: 4\r\n\r\nlane"
        );
        if writer.write_all(request.as_bytes()).is_err() {
            record.line(&format!("caller {caller}: connection ended before {id}"));
            return None;
        }
        match http::read_message(&mut reader) {
            Ok(answer) => record.line(&format!("caller {caller}: {id} gets {}", answer.first_line)),
            Err(err) => {
                record.line(&format!("caller {caller}: {id} gets no answer: {err}"));
                return Some(id);
            }
        }
    }
    None
}

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let mut servers = Vec::new();
    for zone in ["niederbach-nord", "niederbach-mitte", "niederbach-sued"] {
        let id = format!("i-{zone}");
        let server = App::start(&id, WORK, record);
        let address = &server.address;
        let entry = format!(
            r#"{{"service":"buchungsdienst","address":"{address}","zone":"{zone}","version":"v1","batch-slots":6,"lifecycle":"available","cold-remaining-ms":0,"sequence":4,"born":1785061641000}}"#
        );
        store.put("servers", &id, &entry);
        servers.push(server);
    }
    let mut host = Host::start(Place {
        name: "edge-niederbach-mitte-1".into(),
        ip: "127.0.4.1".into(),
        zone: "niederbach-mitte".into(),
        seeds: vec!["127.0.4.1".into()],
        store: store.address.clone(),
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
    sleep(Duration::from_secs(1));
    let began = Instant::now();
    let mut rounds = 0;
    let pid = i32::try_from(host.pid()).map_err(|err| err.to_string())?;
    let mut end = None;
    while began.elapsed() < CHANGES_TIME && end.is_none() {
        if has_trouble {
            rounds += 1;
            for _ in 0..SIGNALS {
                // SAFETY: a plain system call; the process is a child that was not waited for.
                unsafe { kill(pid, SIGHUP) };
                let sent_at = Instant::now();
                while sent_at.elapsed() < SIGNAL_GAP {
                    std::hint::spin_loop();
                }
            }
        }
        sleep(ROUND_GAP);
        end = host.end();
    }
    stop.store(true, Ordering::Relaxed);
    record.line(&format!(
        "rounds of {SIGNALS} SIGHUP: {rounds}, end of the process: {end:?}"
    ));
    let mut is_kept = end.is_none();
    for caller in callers {
        let Some(id) = caller.join().map_err(|_| "a caller failed")? else {
            continue;
        };
        let runs: u32 = servers.iter().map(|server| server.runs_of(&id)).sum();
        record.line(&format!("result: {id} has no answer and ran {runs} times"));
        is_kept = false;
    }
    Ok(is_kept)
}
