//! Two streams of one session run on a host that is killed. Their callers go on at other hosts.
//!
//! Rule MIXED: no request goes on from the memory of another request, and no stream has pieces of two.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

use crate::host::{Host, Place, Ports};
use crate::http;
use crate::model::Fleet;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 3] = ["niederbach-nord", "niederbach-mitte", "niederbach-sued"];

/// Models in the zones, as in the sheet, but fewer.
const ENGINES_PER_ZONE: usize = 2;

/// Time for which the killed host is down. The site file allows 3.5 s.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Longest silence of a host that a caller accepts.
const SILENCE_MAX: Duration = Duration::from_secs(25);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"plan","host":"alley.example","path-prefix":"/plan/","route-type":"streaming","timeout-ms":25000,"target-latency-ms":4000,"priority":0,"service":"kegelassist","max-attempts":5,"anonymous":false,"session-affinity":true,"stream-resume":true,"target-gap-ms":700}],"services":[{"name":"kegelassist","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine-id":{"batch-slots":64,"kv-capacity":55000,"kv-bytes":163840,"link-mbps":1100000.0,"migrations":true,"replicas":true,"interval":7,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"kv-handle-s":4.0,"model-list":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"league","api-keys":["key-of-league"],"priority":1}]}"#;

/// A caller with one request, which goes on at another host when its connection breaks.
struct Caller {
    /// Name and body of the request.
    name: &'static str,
    /// Last part of the prompt.
    session: &'static str,
    first_host: String,
    second_host: String,
    /// Time from the loss of the connection to the next attempt.
    pause: Duration,
    record: Record,
}

/// Result of a request: the pieces that are not its own.
struct Received {
    name: &'static str,
    foreign: Vec<String>,
    is_complete: bool,
}

impl Caller {
    fn start(self, events: Sender<&'static str>) -> JoinHandle<Received> {
        thread::spawn(move || self.run(&events))
    }

    fn run(&self, events: &Sender<&'static str>) -> Received {
        let mut pieces = Vec::new();
        let mut last = None;
        for (attempt, host) in [&self.first_host, &self.second_host]
            .into_iter()
            .enumerate()
        {
            let is_complete = self.attempt(attempt, host, &mut last, &mut pieces, events);
            let text = format!(
                "caller {}: attempt {attempt} complete={is_complete}",
                self.name
            );
            self.record.line(&format!("{text} last-event-id={last:?}"));
            if is_complete {
                break;
            }
            sleep(self.pause);
        }
        let own = format!("{}-", self.name);
        let foreign: Vec<_> = pieces
            .iter()
            .filter(|piece| !piece.starts_with(&own))
            .cloned()
            .collect();
        Received {
            name: self.name,
            is_complete: last == Some(119),
            foreign,
        }
    }

    /// Makes one attempt; returns whether its answer is complete.
    fn attempt(
        &self,
        attempt: usize,
        host: &str,
        last: &mut Option<u64>,
        pieces: &mut Vec<String>,
        events: &Sender<&'static str>,
    ) -> bool {
        let Ok(mut stream) = TcpStream::connect(host) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(SILENCE_MAX));
        let resumed = last.map_or(String::new(), |last| format!("Last-Event-Id: {last}\r\n"));
        let (name, session) = (self.name, self.session);
        let request = format!(
            "POST /plan/2f HTTP/1.1\r\nHost: alley.example\r\n\
             X-Bilberrypost-Attempt-Id: {name}{attempt}\r\n{resumed}X-Bilberrypost-Model-Id: m\r\n\
             X-Bilberrypost-Token-Count: 1460,840\r\n\
             X-Bilberrypost-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{session}:250\r\n\
             X-Bilberrypost-Deadline-Ms: 25000\r\nX-Bilberrypost-Credential: key-of-league\r\n\
             Content-Length: {}\r\n\r\n{name}",
            name.len()
        );
        self.record.line(&format!(
            "caller {name}: sends {name}{attempt} to {host}, {resumed:?}"
        ));
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let mut reader = BufReader::new(stream);
        let Ok(head) = http::read_head(&mut reader) else {
            return false;
        };
        self.record.line(&format!(
            "caller {name}: {name}{attempt} gets {}",
            head.first_line
        ));
        if head.second_word() != "200" {
            return false;
        }
        let mut rest = String::new();
        loop {
            match http::read_chunk(&mut reader) {
                Ok(chunk) if chunk.is_empty() => return true,
                Ok(chunk) => rest.push_str(&String::from_utf8_lossy(&chunk)),
                Err(_) => return false,
            }
            while let Some((event, after)) = rest.split_once("\n\n") {
                for line in event.lines() {
                    if let Some(id) = line.strip_prefix("id: ") {
                        *last = id.parse().ok();
                    } else if let Some(piece) = line.strip_prefix("data: ") {
                        pieces.push(piece.to_owned());
                    }
                }
                rest = after.to_owned();
                let _ = events.send(name);
            }
        }
    }
}

fn wait_for_events(events: &Receiver<&'static str>, name: &str, count: usize) -> bool {
    let mut seen = 0;
    while let Ok(from) = events.recv_timeout(Duration::from_secs(10)) {
        seen += usize::from(from == name);
        if seen == count {
            return true;
        }
    }
    false
}

/// Runs the case; returns whether the rule held.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let store = Store::start();
    store.put("config", "main", CONFIG);
    let fleet = Fleet::new(record);
    for (number, zone) in ZONES
        .iter()
        .cycle()
        .take(ZONES.len() * ENGINES_PER_ZONE)
        .enumerate()
    {
        let id = format!("i-{number}");
        let address = fleet.start(&id);
        let entry = format!(
            r#"{{"service":"kegelassist","address":"{address}","zone":"{zone}","version":"v1","batch-slots":64,"lifecycle":"available","cold-remaining-ms":0,"phase":"unified","model-list":[{{"name":"m","version":1,"adapter-list":[]}}],"sequence":4,"born":1785061641000}}"#
        );
        store.put("servers", &id, &entry);
    }
    let ports = Ports::choose();
    let ips: Vec<_> = (1..=3).map(|number| format!("127.0.3.{number}")).collect();
    let mut hosts = Vec::new();
    for (zone, ip) in ZONES.iter().zip(&ips) {
        hosts.push(Host::start(Place {
            name: format!("edge-{zone}-1"),
            ip: ip.clone(),
            zone: (*zone).into(),
            seeds: ips.clone(),
            store: store.address.clone(),
            ports,
            folder: folder.into(),
        })?);
    }
    // The hosts get to know each other.
    sleep(Duration::from_secs(2));
    let (sender, events) = mpsc::channel();
    let caller = |name, session, second: usize, pause_ms| Caller {
        name,
        session,
        first_host: hosts[0].place.frontend(),
        second_host: hosts[second].place.frontend(),
        pause: Duration::from_millis(pause_ms),
        record: record.clone(),
    };
    let mut callers = vec![
        caller("plan-of-anna", "e4402b7d", 1, 20).start(sender.clone()),
        caller("plan-of-karl", "77aa01c3", 1, 20).start(sender.clone()),
    ];
    sleep(Duration::from_millis(300));
    // A second request of the first session.
    callers.push(caller("plan-of-bert", "e4402b7d", 2, 120).start(sender));
    if !wait_for_events(&events, "plan-of-bert", 40) {
        return Err("no events arrive".into());
    }
    if has_trouble {
        record.line(&format!("trouble: SIGKILL of {}", hosts[0].place.name));
        hosts[0].kill();
        sleep(DOWN_TIME);
        hosts[0] = Host::start(hosts[0].place.clone())?;
        record.line(&format!("{} runs again", hosts[0].place.name));
    }
    let mut is_kept = true;
    for caller in callers {
        let received = caller.join().map_err(|_| "a caller failed")?;
        let (name, complete) = (received.name, received.is_complete);
        let first = received.foreign.first();
        record.line(&format!(
            "result: {name} complete={complete} foreign pieces={} first={first:?}",
            received.foreign.len()
        ));
        is_kept &= received.foreign.is_empty();
    }
    for continuation in fleet.continuations() {
        let is_own = continuation.request == continuation.memory_of;
        record.line(&format!(
            "result: {} went on from the memory of {}",
            continuation.request, continuation.memory_of
        ));
        is_kept &= is_own;
    }
    Ok(is_kept)
}
