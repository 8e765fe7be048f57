//! A host is stopped as planned just after its start: SIGTERM, and SIGKILL after `grace-s`.
//!
//! Rule LOST: no request that was passed on to a server is cut around a SIGTERM.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use crate::app::App;
use crate::host::{Host, Place, Ports};
use crate::http;
use crate::record::Record;
use crate::store::Store;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"book","host":"alley.example","path-prefix":"/book/","route-type":"non_idempotent","timeout-ms":1000,"target-latency-ms":150,"priority":2,"service":"buchungsdienst","max-attempts":1,"anonymous":false}],"services":[{"name":"buchungsdienst","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"league","api-keys":["key-of-league"],"priority":1}]}"#;

/// Time that a server works on a request, within the 220 ms of the sheet.
const WORK: Duration = Duration::from_millis(100);

/// Callers with a kept connection each, and the pause after each answer: about 30 requests a second,
/// as when many users come at once.
const CALLERS: usize = 4;
const CALLER_PAUSE: Duration = Duration::from_millis(20);

/// Bound of the deployment.
const GRACE: Duration = Duration::from_secs(8);

/// Time from the start of the process to SIGTERM in the first round. A later round takes more if the process
/// was ended by the signal, as it had no handler yet, and less if it drained.
const STOP_AFTER: Duration = Duration::from_micros(1200);
const STOP_STEP: Duration = Duration::from_micros(100);

/// Time from the start to SIGTERM without trouble.
const STOP_AFTER_CALM: Duration = Duration::from_secs(1);

/// Number of starts that are each followed by a stop, and the time after which no further one begins.
const ROUNDS: u32 = 40;
const ROUNDS_CALM: u32 = 5;
const TIME_MAX: Duration = Duration::from_secs(95);

const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends requests on a kept connection until the host closes it. Returns the id of a request without an
/// answer.
fn call(address: &str, caller: &str, stop: &AtomicBool, record: &Record) -> Option<String> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{caller}-{number}");
        let request = format!(
            "POST /book/2f HTTP/1.1\r\nHost: alley.example\r\nX-Bilberrypost-Attempt-Id: {id}\r\n\
             X-Bilberrypost-Deadline-Ms: 1000\r\nX-Bilberrypost-Credential: key-of-league\r\n\
             Content-Length: 4\r\n\r\nlane"
        );
        writer.write_all(request.as_bytes()).ok()?;
        let answer = match http::read_message(&mut reader) {
            Ok(answer) => answer,
            Err(err) => {
                record.line(&format!("caller {caller}: {id} gets no answer: {err}"));
                return Some(id);
            }
        };
        record.line(&format!("caller {caller}: {id} gets {}", answer.first_line));
        if answer.header("connection") == Some("close") {
            return None;
        }
        sleep(CALLER_PAUSE);
    }
    None
}

/// Starts the callers of a host that the balancer takes for ready.
fn start_callers(
    host: &Host,
    round: u32,
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> Vec<JoinHandle<Option<String>>> {
    let start = |number| {
        let (address, stop, record) = (host.place.frontend(), stop.clone(), record.clone());
        let caller = format!("r{round}c{number}");
        thread::spawn(move || call(&address, &caller, &stop, &record))
    };
    (0..CALLERS).map(start).collect()
}

/// How a stop went.
struct Stopped {
    /// Ids of requests without an answer.
    unanswered: Vec<String>,
    /// Whether SIGTERM ended the process at once, as it had no handler yet.
    is_killed_by_term: bool,
}

/// Waits until the process ends, for `grace-s` after `stopped_at` at most, and kills it then. Starts the
/// callers once the host says that it is ready.
fn stop_host(
    host: &mut Host,
    round: u32,
    stopped_at: Instant,
    mut callers: Vec<JoinHandle<Option<String>>>,
    record: &Record,
) -> Stopped {
    let stop = Arc::new(AtomicBool::new(false));
    let mut end = host.end();
    while end.is_none() && stopped_at.elapsed() < GRACE {
        if callers.is_empty() && host.is_ready() {
            record.line(&format!("round {round}: the host says that it is ready"));
            callers = start_callers(host, round, &stop, record);
        }
        sleep(Duration::from_millis(20));
        end = host.end();
    }
    let ready = if end.is_none() && host.is_ready() {
        "ready"
    } else {
        "not ready"
    };
    record.line(&format!(
        "round {round}: at the end {ready}, ended by itself: {end:?}"
    ));
    if end.is_none() {
        record.line(&format!("round {round}: SIGKILL after grace-s"));
        host.kill();
    }
    stop.store(true, Ordering::Relaxed);
    let ended = callers.into_iter().filter_map(|caller| caller.join().ok());
    Stopped {
        unanswered: ended.flatten().collect(),
        is_killed_by_term: end.is_some_and(|end| end.contains("signal")),
    }
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
    let place = Place {
        name: "edge-niederbach-mitte-1".into(),
        ip: "127.0.6.1".into(),
        zone: "niederbach-mitte".into(),
        seeds: vec!["127.0.6.1".into()],
        store: store.address.clone(),
        ports: Ports::choose(),
        folder: folder.into(),
    };
    let began = Instant::now();
    let mut delay = STOP_AFTER;
    let mut is_kept = true;
    let rounds = if has_trouble { ROUNDS } else { ROUNDS_CALM };
    for round in 0..rounds {
        if !is_kept || began.elapsed() > TIME_MAX {
            break;
        }
        let mut host = Host::spawn(place.clone())?;
        let started_at = Instant::now();
        let mut callers = Vec::new();
        if has_trouble {
            while started_at.elapsed() < delay {
                std::hint::spin_loop();
            }
        } else {
            host.wait_until_ready()?;
            callers = start_callers(&host, round, &Arc::default(), record);
            sleep(STOP_AFTER_CALM);
        }
        let pid = i32::try_from(host.pid()).map_err(|err| err.to_string())?;
        // SAFETY: a plain system call; the process is a child that was not waited for.
        unsafe { kill(pid, SIGTERM) };
        let stopped_at = Instant::now();
        let micros = started_at.elapsed().as_micros();
        record.line(&format!(
            "round {round}: SIGTERM {micros} us after the start"
        ));
        let stopped = stop_host(&mut host, round, stopped_at, callers, record);
        delay = match stopped.is_killed_by_term {
            true => delay + STOP_STEP,
            false => delay.saturating_sub(STOP_STEP),
        };
        for id in stopped.unanswered {
            let runs: u32 = servers.iter().map(|server| server.runs_of(&id)).sum();
            record.line(&format!("result: {id} has no answer and ran {runs} times"));
            is_kept &= runs == 0;
        }
    }
    Ok(is_kept)
}
