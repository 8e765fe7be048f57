//! Stand-ins for case 11: the platform's store, a service with three engines, another writer of the store,
//! clients, and the platform, which kills and starts the machines. Runs the gateway with the command of the
//! deploy file and judges the rule RECOVER by what clients were answered.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// Site kegelpost and the pages.
const HOSTS: [(&str, &str); 3] =
    [("127.0.0.11", "niederbach-nord"), ("127.0.0.12", "niederbach-mitte"), ("127.0.0.13", "niederbach-sued")];
const MEMORY_MB: u64 = 110;
const STORE_ANSWER: Duration = Duration::from_millis(4);
const HEARTBEAT: Duration = Duration::from_millis(1200);
const RECOVERY: Duration = Duration::from_secs(12);
/// How long the machines are down, as in the closing of the site's days.
const DOWN: Duration = Duration::from_millis(1200);
const BEFORE_FAULT: Duration = Duration::from_secs(8);
const JUDGED: Duration = Duration::from_secs(8);
const REQUESTS_PER_S: u64 = 10;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1000);
const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

fn send_signal(pid: u32, signal: i32) {
    // SAFETY: only sends a signal to a process that this program started and has not reaped.
    unsafe { kill(pid as i32, signal) };
}

/// The record of the run, with times since its start.
#[derive(Clone)]
struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn ms(&self, at: Instant) -> u128 {
        at.duration_since(self.began).as_millis()
    }

    fn line(&self, text: &str) {
        let now = self.ms(Instant::now());
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:>6} {text}").unwrap();
    }
}

// ---- the store ----

#[derive(Default)]
struct Objects {
    revision: u64,
    // Text of each object by kind and name.
    current: BTreeMap<(String, String), String>,
    // All changes: revision, kind, text of the event.
    history: Vec<(u64, String, Arc<str>)>,
}

#[derive(Clone, Default)]
struct Store(Arc<(Mutex<Objects>, Condvar)>);

impl Store {
    /// Writes an object; returns when the write is acknowledged.
    fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut objects = self.0.0.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
             \"finalizer-list\":[],\"deletion-pending\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let event = format!("{{\"removed\":false,\"object\":{object}}}");
        objects.history.push((revision, kind.into(), event.into()));
        objects.current.insert((kind.into(), name.into()), object);
        self.0.1.notify_all();
        drop(objects);
        thread::sleep(STORE_ANSWER);
        Instant::now()
    }

    /// Writes an object like [`Store::put`]. A change of its `sequence` alone is no event.
    fn put_quietly(&self, kind: &str, name: &str, spec: &str, is_changed: bool) {
        if is_changed {
            self.put(kind, name, spec);
            return;
        }
        let mut objects = self.0.0.lock().unwrap();
        if let Some(object) = objects.current.get_mut(&(kind.to_owned(), name.to_owned())) {
            let (before, after) = (object.find("\"spec\":").unwrap(), object.rfind(",\"status\"").unwrap());
            object.replace_range(before + 7..after, spec);
        }
    }

    fn serve(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let store = self.clone();
            thread::spawn(move || store.serve_connection(stream));
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(head) = read_head(&mut reader) {
            thread::sleep(STORE_ANSWER);
            let body = self.answer(head.first.split(' ').nth(1).unwrap_or(""));
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() || stream.write_all(body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a list, or a watch as soon as there is a change.
    fn answer(&self, path: &str) -> String {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let kind = path.rsplit('/').next().unwrap_or("");
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let mut objects = self.0.0.lock().unwrap();
        let Some(since) = value("watch-revision").and_then(|since| since.parse::<u64>().ok()) else {
            let of_kind = objects.current.iter().filter(|((known, _), _)| known == kind);
            let entries: Vec<_> = of_kind.map(|(_, text)| text.as_str()).collect();
            let at = objects.revision;
            return format!("{{\"entries\":[{}],\"has-more\":false,\"at\":{at}}}", entries.join(","));
        };
        let wait = value("wait-ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let changes = objects.history.iter().filter(|(at, known, _)| *at > since && known == kind);
            let events: Vec<&str> = changes.map(|(_, _, event)| &**event).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = objects.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            objects = self.0.1.wait_timeout(objects, left).unwrap().0;
        }
    }
}

// ---- HTTP ----

struct Head {
    first: String,
    headers: BTreeMap<String, String>,
}

fn read_head<R: BufRead>(reader: &mut R) -> Option<Head> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let first = lines.next()?;
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_lowercase(), value.trim().to_owned()))
    });
    Some(Head { first, headers: headers.collect() })
}

fn read_body<R: Read>(head: &Head, reader: &mut R) -> Option<Vec<u8>> {
    let length = head.headers.get("content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Runs a server of a service: answers each request at once and records it.
fn serve_service(listener: TcpListener, instance: String, record: Record) {
    for stream in listener.incoming().flatten() {
        let (instance, record) = (instance.clone(), record.clone());
        thread::spawn(move || {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut stream = stream;
            while let Some(head) = read_head(&mut reader) {
                let Some(_) = read_body(&head, &mut reader) else { return };
                let id = head.headers.get("x-bilberrypost-attempt-id").cloned().unwrap_or_default();
                record.line(&format!("run id={id} at={instance}"));
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Bilberrypost-Attempt-Id: {id}\r\n\
                     X-Bilberrypost-Response-Seal: seal-{id}\r\nContent-Length: 2\r\n\r\nok"
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// Sends one request over a new connection; returns the status, 0 without an answer in time.
fn call(address: &str, path: &str, id: &str, timeout: Duration) -> u16 {
    let exchange = || -> Option<u16> {
        let mut stream = TcpStream::connect_timeout(&address.parse().ok()?, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Bilberrypost-Attempt-Id: {id}\r\n\
             X-Bilberrypost-Deadline-Ms: {}\r\nX-Bilberrypost-Credential: key-1\r\n\r\n",
            timeout.as_millis()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let head = read_head(&mut BufReader::new(stream))?;
        head.first.split(' ').nth(1)?.parse().ok()
    };
    exchange().unwrap_or(0)
}

// ---- the configuration and the engines ----

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"ficu95.example\",\
     \"path-prefix\":\"/puxa403/\",\"route-type\":\"idempotent\",\"timeout-ms\":1000,\
     \"target-latency-ms\":150,\"priority\":2,\"service\":\"buchungsdienst\",\"max-attempts\":2,\
     \"anonymous\":false,\"session-affinity\":false}],\"services\":[{\"name\":\"buchungsdienst\",\
     \"health-path\":\"/healthz\",\"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}],\
     \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
     \"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"team-1\",\"api-keys\":[\"key-1\"]}]}"
        .to_owned()
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// Returns an entry of the kind `servers`.
fn entry(service: &str, address: &str, zone: &str, sequence: u64, born: u128) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"batch-slots\":6,\"lifecycle\":\"available\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\
         \"born\":{born}}}"
    )
}

// ---- the machines ----

/// A process of the system.
struct Machine {
    process: Child,
    address: String,
    ready_address: String,
}

fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

fn start_machine(index: usize, template: &str, program: &Path, folder: &Path, store: &str, ports: [u16; 3]) -> Machine {
    let (ip, zone) = HOSTS[index];
    let [front, ready, peer] = ports;
    let seeds: Vec<_> = HOSTS.iter().map(|(ip, _)| format!("{ip}:{peer}")).collect();
    let mut text = template.to_owned();
    // The rest of the template holds only these fields of the platform.
    for (field, value) in [
        ("{{node-name}}", format!("edge-{zone}-1")),
        ("{{zone}}", zone.to_owned()),
        ("{{listen-addrs.frontend}}", format!("{ip}:{front}")),
        ("{{listen-addrs.readiness}}", format!("{ip}:{ready}")),
        ("{{seed-nodes}}", seeds.join(",")),
        ("{{port-range}}", format!("{peer},{}", peer + 1)),
        ("{{platform.address}}", store.to_owned()),
        ("{{#bounds.fail-closed}}yes{{/bounds.fail-closed}}{{^bounds.fail-closed}}no{{/bounds.fail-closed}}", "no".to_owned()),
        ("{{bounds.revoke-ms}}", "5000".to_owned()),
        ("{{bounds.grace-s}}", "8".to_owned()),
        ("{{limits.link-mbps}}", "1000.0".to_owned()),
        ("{{limits.memory-mb}}", MEMORY_MB.to_string()),
        ("{{limits.max-fds}}", "4100".to_owned()),
        ("{{bounds.retry-budget-ratio}}", "0.8".to_owned()),
        ("{{bounds.budget-slack}}", "150".to_owned()),
        ("{{bounds.retry-window-s}}", "10".to_owned()),
        ("{{bounds.exposure-ratio}}", String::new()),
        ("{{bounds.exposure-tolerance}}", String::new()),
    ] {
        text = text.replace(field, &value);
    }
    let settings = folder.join(format!("host-{index}.ini"));
    fs::write(&settings, text).unwrap();
    let log = File::create(folder.join(format!("host-{index}.log"))).unwrap();
    let mut command = Command::new(program);
    command.args(["serve", "-c"]).arg(&settings).stdin(Stdio::null()).stdout(log);
    // SAFETY: `prctl` is safe to call between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        })
    };
    let process = command.spawn().expect("the system starts");
    Machine { process, address: format!("{ip}:{front}"), ready_address: format!("{ip}:{ready}") }
}

fn is_ready(address: &str) -> bool {
    call(address, "/bilberrypost/readyz", "ready", Duration::from_secs(1)) == 200
}

/// A request as its client saw it.
struct Sent {
    at: Instant,
    status: u16,
}

/// Sends requests to a machine at an even rate until `ended` is set, each over a new connection.
fn send_requests(machine: usize, address: &str, ended: &AtomicBool, sent: &Mutex<Vec<Sent>>, record: &Record) {
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        let next = Instant::now() + Duration::from_secs(1) / REQUESTS_PER_S as u32;
        let id = format!("m{machine}n{number:05}");
        number += 1;
        let at = Instant::now();
        let status = call(address, "/puxa403/2f", &id, CLIENT_TIMEOUT);
        record.line(&format!("answered id={id} machine={machine} sent={} status={status}", record.ms(at)));
        sent.lock().unwrap().push(Sent { at, status });
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn main() -> ExitCode {
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let [root, folder, record_path] = arguments.as_slice() else {
        eprintln!("usage: stand_in REPOSITORY TEMPORARY_FOLDER RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record {
        began: Instant::now(),
        file: Arc::new(Mutex::new(File::create(record_path).unwrap())),
    };
    let template = fs::read_to_string(root.join("deploy/host.ini")).unwrap();
    let program = root.join("target/release/bilberrypost");
    let ended = Arc::new(AtomicBool::new(false));

    let store = Store::default();
    let store_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let store_address = store_listener.local_addr().unwrap().to_string();
    thread::spawn({
        let store = store.clone();
        move || store.serve(store_listener)
    });
    store.put("config", "main", &configuration());
    let mut engines = Vec::new();
    for (number, (_, zone)) in HOSTS.iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let instance = format!("i-{number}7f3a91c2");
        let born = unix_ms();
        engines.push((address.clone(), *zone));
        thread::spawn({
            let (instance, record) = (instance.clone(), record.clone());
            move || serve_service(listener, instance, record)
        });
        // Each engine writes its entry with every heartbeat, to the end.
        let (store, ended, record) = (store.clone(), ended.clone(), record.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                let is_changed = sequence == 1;
                let spec = entry("buchungsdienst", &address, zone, sequence, born);
                if is_changed {
                    record.line(&format!("entry servers/{instance} {spec}"));
                }
                store.put_quietly("servers", &instance, &spec, is_changed);
                thread::sleep(HEARTBEAT);
            }
        });
    }
    thread::sleep(Duration::from_millis(200));

    let ports = [free_port(HOSTS[0].0), free_port(HOSTS[0].0), free_port(HOSTS[0].0)];
    let start_all = || -> Vec<Machine> {
        (0..HOSTS.len())
            .map(|index| start_machine(index, &template, &program, folder, &store_address, ports))
            .collect()
    };
    let mut machines = start_all();
    if !wait_until_ready(&machines) {
        eprintln!("the system did not become ready");
        machines.iter_mut().for_each(end);
        return ExitCode::from(2);
    }
    record.line("the machines are ready");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(index, machine)| {
            let (address, ended, sent, record) =
                (machine.address.clone(), ended.clone(), sent.clone(), record.clone());
            thread::spawn(move || send_requests(index, &address, &ended, &sent, &record))
        })
        .collect();
    thread::sleep(BEFORE_FAULT);

    // The final fault: all processes are killed.
    let fault = Instant::now();
    machines.iter_mut().for_each(end);
    record.line("all machines are killed");
    thread::sleep(DOWN / 2);
    if has_trouble {
        // Entries of another writer: they name a service that the configuration does not.
        for (number, (address, zone)) in engines.iter().enumerate() {
            let name = format!("x-inventory-{number}");
            let spec = entry("inventory", address, zone, 1, unix_ms());
            store.put("servers", &name, &spec);
            record.line(&format!("entry servers/{name} {spec}"));
        }
    }
    thread::sleep(DOWN / 2);
    let mut machines = start_all();
    let back = Instant::now();
    record.line("the machines are back");
    let are_ready = wait_until_ready(&machines);
    record.line(&format!("all machines say that they are ready: {are_ready}"));
    thread::sleep((RECOVERY + JUDGED).saturating_sub(back.elapsed()));
    ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    machines.iter_mut().for_each(end);
    ExitCode::from(judge(&record, &sent.lock().unwrap(), fault, back + RECOVERY))
}

fn wait_until_ready(machines: &[Machine]) -> bool {
    let began = Instant::now();
    while !machines.iter().all(|machine| is_ready(&machine.ready_address)) {
        if began.elapsed() > Duration::from_secs(10) {
            return false;
        }
        thread::sleep(Duration::from_millis(100));
    }
    true
}

fn end(machine: &mut Machine) {
    send_signal(machine.process.id(), SIGKILL);
    let _ = machine.process.wait();
}

/// Judges RECOVER: of the requests sent later than `recovery-s` after the machines are back, less than a
/// quarter is served, though a quarter or more was before the final fault.
fn judge(record: &Record, sent: &[Sent], fault: Instant, recovered: Instant) -> u8 {
    let count = |is_counted: &dyn Fn(&Sent) -> bool| {
        let counted: Vec<_> = sent.iter().filter(|request| is_counted(request)).collect();
        let served = counted.iter().filter(|request| request.status == 200).count();
        (served, counted.len())
    };
    let (served_before, before) = count(&|request| request.at < fault);
    let (served_after, after) = count(&|request| request.at > recovered);
    record.line(&format!(
        "judged: before the final fault {served_before} of {before} requests were served; of those sent later \
         than {} s after the machines were back, {served_after} of {after}",
        RECOVERY.as_secs()
    ));
    if before == 0 || after == 0 || 4 * served_before < before {
        println!("the case could not run");
        return 2;
    }
    let is_broken = 4 * served_after < after;
    let verdict = if is_broken { "RECOVER is broken" } else { "RECOVER holds" };
    record.line(verdict);
    println!("{verdict}");
    u8::from(is_broken)
}
