//! The cases. Each returns how often its rule was broken.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{self, Prompt};
use crate::engine::{Engine, Failure, Memories};
use crate::record::{Record, value};
use crate::site::{MITTE, Site, configuration};

/// Deadline of streaming requests.
const DEADLINE: Duration = Duration::from_secs(25);

/// Waits until `is_met`, for `limit` at most.
fn wait(limit: Duration, is_met: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// A client that reads a stream in a thread of its own.
struct Reader {
    thread: std::thread::JoinHandle<Option<client::Stream>>,
    last: Arc<AtomicI64>,
}

impl Reader {
    fn start(
        record: &Record,
        name: &'static str,
        address: std::net::SocketAddr,
        prompt: &Prompt,
    ) -> Self {
        let last = Arc::new(AtomicI64::new(-1));
        let (record, prompt, seen) = (record.clone(), prompt.clone(), last.clone());
        let thread = std::thread::spawn(move || {
            let seen = |id| seen.store(id as i64, Ordering::SeqCst);
            client::stream(&record, name, address, &prompt, None, DEADLINE, seen)
        });
        Self { thread, last }
    }

    fn has_event(&self, id: i64) -> bool {
        self.last.load(Ordering::SeqCst) >= id
    }
}

/// CONFIG: a route moves to another service while a stream runs; later the stream's host is killed, and its
/// client goes on at another host.
pub fn moved_route(root: &Path, record: &Record, has_trouble: bool) -> Result<usize, String> {
    let mut site = Site::start(root, record)?;
    let prompt = Prompt {
        path: "/pufi791/2f".to_owned(),
        parts: "5c1e07a2:800,91bd3f06:410,e4402b7d:250".to_owned(),
        body: "where is lane 3?".to_owned(),
    };
    let reader = Reader::start(record, "x", site.hosts[0].front(), &prompt);
    if !wait(Duration::from_secs(8), || reader.has_event(10)) {
        return Err("the stream has not begun".to_owned());
    }
    site.store
        .put("config", "main", &configuration(2, "kegelassist-neu"));
    record.line("acknowledged version=2: bahnfrage goes to kegelassist-neu");
    // Longer than config-apply-ms (2 s).
    std::thread::sleep(Duration::from_millis(3500));
    record.line("3.5 s after the acknowledgement");
    let other = Prompt {
        parts: "5c1e07a2:800,0badcafe:300".to_owned(),
        ..prompt.clone()
    };
    let control = Reader::start(record, "c", site.hosts[MITTE].front(), &other);
    if !wait(Duration::from_secs(5), || control.has_event(3)) {
        return Err("the control request has not begun".to_owned());
    }
    if has_trouble {
        site.hosts[0].kill();
    }
    let ended = reader.thread.join().map_err(|_| "the client failed")?;
    let ended = ended.ok_or("the stream had no answer")?;
    if !ended.is_complete {
        // Retries reach other nodes.
        std::thread::sleep(Duration::from_millis(200));
        let address = site.hosts[1].front();
        client::stream(record, "x", address, &prompt, ended.last, DEADLINE, |_| {});
    }
    let _ = control.thread.join();
    Ok(broken_by_old_service(record))
}

/// Counts the runs at the old service of requests that were sent after the wait.
fn broken_by_old_service(record: &Record) -> usize {
    let lines = record.with("");
    let after = lines
        .iter()
        .skip_while(|line| !line.contains("3.5 s after the acknowledgement"));
    let sent: Vec<_> = after
        .filter(|line| line.contains(" sent client="))
        .collect();
    let sent: Vec<_> = sent.iter().map(|line| value(line, "attempt")).collect();
    let runs = record.with(" run attempt=");
    let old = runs
        .iter()
        .filter(|line| value(line, "service") == "kegelassist");
    let broken: Vec<_> = old
        .filter(|line| sent.contains(&value(line, "attempt")))
        .collect();
    for line in &broken {
        record.line(&format!(
            "BROKEN CONFIG: run by the old service: {}",
            line.trim()
        ));
    }
    broken.len()
}

/// MIXED: two clients of a tenant send equal requests; the host of one is killed with two others, and its client
/// goes on at another of them.
pub fn equal_requests(root: &Path, record: &Record, has_trouble: bool) -> Result<usize, String> {
    let mut site = Site::start(root, record)?;
    let prompt = Prompt {
        path: "/pufi791/2f".to_owned(),
        parts: "5c1e07a2:800,91bd3f06:410,e4402b7d:250".to_owned(),
        body: "where is lane 3?".to_owned(),
    };
    let first = Reader::start(record, "x", site.hosts[0].front(), &prompt);
    std::thread::sleep(Duration::from_millis(500));
    let second = Reader::start(record, "y", site.hosts[1].front(), &prompt);
    let has_begun = wait(Duration::from_secs(8), || {
        second.has_event(25) && first.has_event(25)
    });
    if !has_begun {
        return Err("the streams have not begun".to_owned());
    }
    if has_trouble {
        // Three of six hosts at once; all are started again after a short delay.
        const KILLED: [usize; 3] = [1, 2, MITTE];
        KILLED.iter().for_each(|host| site.hosts[*host].kill());
        std::thread::sleep(Duration::from_millis(500));
        for host in KILLED {
            site.hosts[host].start().map_err(|err| err.to_string())?;
        }
    }
    let ended = second.thread.join().map_err(|_| "the client failed")?;
    let ended = ended.ok_or("the stream had no answer")?;
    if !ended.is_complete {
        std::thread::sleep(Duration::from_millis(1000));
        // Retries reach other nodes.
        let address = site.hosts[2].front();
        client::stream(record, "y", address, &prompt, ended.last, DEADLINE, |_| {});
    }
    let _ = first.thread.join();
    let runs = record.with(" run attempt=");
    let mut broken = 0;
    for line in &runs {
        let (attempt, source) = (value(line, "attempt"), value(line, "memory_of"));
        // The id of an attempt begins with the name of its client.
        if source != "none" && source.get(..1) != attempt.get(..1) {
            record.line(&format!(
                "BROKEN MIXED: goes on from the memory of another client: {}",
                line.trim()
            ));
            broken += 1;
        }
    }
    Ok(broken)
}

/// REFUSED: one of three servers fails a part of the requests that it has run with 503, without saying that they
/// were not executed.
pub fn run_and_refused(root: &Path, record: &Record, has_trouble: bool) -> Result<usize, String> {
    let site = Site::start(root, record)?;
    let calls = |count: usize| -> Vec<(String, u16)> {
        let hosts = site.hosts.iter().cycle().take(count);
        hosts
            .map(|host| {
                let (attempt, answer) = client::submit(record, "b", host.front(), "/pule252/2f");
                std::thread::sleep(Duration::from_millis(20));
                (attempt, answer.map_or(0, |answer| answer.status()))
            })
            .collect()
    };
    let before = calls(12);
    if before.iter().any(|(_, status)| *status != 200) {
        return Err("calls fail before the disruption".to_owned());
    }
    if has_trouble {
        let mut servers = site
            .engines
            .iter()
            .filter(|engine| engine.service == "buchungsdienst");
        let server = servers.next().ok_or("there is no server")?;
        *server.failure.lock().unwrap() = Failure::Unavailable;
        record.line(&format!(
            "server {} fails two fifths of what it runs with 503",
            server.id
        ));
    }
    let answered = calls(60);
    let runs = record.with(" run attempt=");
    let has_run = |attempt: &str| runs.iter().any(|line| value(line, "attempt") == attempt);
    let mut broken = 0;
    for (attempt, status) in answered {
        if matches!(status, 408 | 421 | 429 | 503) && has_run(&attempt) {
            record.line(&format!(
                "BROKEN REFUSED: attempt={attempt} was answered {status} and has run"
            ));
            broken += 1;
        }
    }
    Ok(broken)
}

/// Serves one model engine as a process of its own, of whose streams one in [`UNFRAMED`] has no length; prints its
/// address.
pub fn serve_engine(path: &str, id: &str) {
    let record = Record::create(path).expect("the record can be written");
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let zone = crate::site::ZONES[id.bytes().map(usize::from).sum::<usize>() % 3];
    let engine = Engine {
        id: id.to_owned(),
        service: "kegelassist".to_owned(),
        zone: zone.to_owned(),
        address,
        slots: 64,
        record,
        memories: Memories::default(),
        events: EVENTS,
        gap: Duration::from_millis(60),
        prefill: Duration::from_millis(400),
        failure: Arc::new(Mutex::new(Failure::None)),
        unframed: Some(UNFRAMED),
    };
    engine.serve(listener);
    eprintln!("{}", engine.entry());
    let parent = std::os::unix::process::parent_id();
    while std::os::unix::process::parent_id() == parent {
        std::thread::sleep(Duration::from_millis(500));
    }
}

/// Number of events of a stream of such an engine.
const EVENTS: u64 = 100;

/// One stream in this many has no length.
const UNFRAMED: u64 = 20;

/// Number of such engines.
const PROCESSES: usize = 9;

/// An engine as a process, which ends with this value.
struct Process {
    id: String,
    child: Child,
    record: PathBuf,
}

impl Process {
    fn start(number: usize) -> Result<(Self, String), String> {
        let text = |err: std::io::Error| err.to_string();
        let id = format!("i-process-{number}");
        let record = std::env::temp_dir().join(format!("bilberrypost-{}-{id}", std::process::id()));
        let program = std::env::current_exe().map_err(text)?;
        let mut command = Command::new(program);
        command.arg("engine").arg(&record).arg(&id);
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(text)?;
        let output = child.stderr.take();
        let process = Self { id, child, record };
        let mut entry = String::new();
        BufReader::new(output.ok_or("no output")?)
            .read_line(&mut entry)
            .map_err(text)?;
        Ok((process, entry.trim().to_owned()))
    }

    /// Returns the lines of its record that contain `text`.
    fn lines(&self, text: &str) -> Vec<String> {
        let record = std::fs::read_to_string(&self.record).unwrap_or_default();
        record
            .lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }

    /// Kills the process (SIGKILL).
    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.record);
    }
}

/// ORDER: one of nine engines is killed while it sends a stream that has no length.
pub fn engine_killed(root: &Path, record: &Record, has_trouble: bool) -> Result<usize, String> {
    let site = Site::start(root, record)?;
    // The model engines of the site leave; processes take their place.
    for engine in site
        .engines
        .iter()
        .filter(|engine| engine.service == "kegelassist")
    {
        site.store.put(
            "servers",
            &engine.id,
            &engine.entry().replace("available", "draining"),
        );
    }
    let mut processes = Vec::new();
    for number in 0..PROCESSES {
        let (process, entry) = Process::start(number)?;
        site.store.put("servers", &process.id, &entry);
        processes.push(process);
    }
    std::thread::sleep(Duration::from_secs(4));
    let mut readers = Vec::new();
    for number in 0..UNFRAMED + 2 {
        let prompt = Prompt {
            path: "/pufi791/2f".to_owned(),
            parts: format!("5c1e07a2:800,e4402b{number:02x}:250"),
            body: format!("where is lane {number}?"),
        };
        let host = &site.hosts[number as usize % site.hosts.len()];
        readers.push(Reader::start(record, "x", host.front(), &prompt));
        std::thread::sleep(Duration::from_millis(10));
    }
    if !wait(Duration::from_secs(8), || {
        readers.iter().all(|reader| reader.has_event(20))
    }) {
        return Err("the streams have not begun".to_owned());
    }
    if has_trouble {
        let runs = |process: &&mut Process| !process.lines(" unframed ").is_empty();
        let process = processes
            .iter_mut()
            .find(runs)
            .ok_or("no stream is without a length")?;
        process.kill();
        record.line(&format!("engine-killed engine={} (SIGKILL)", process.id));
        for line in process.lines("") {
            record.line(&format!("  of its record: {}", line.trim()));
        }
    }
    let mut broken = 0;
    for reader in readers {
        let ended = reader.thread.join().map_err(|_| "the client failed")?;
        let ended = ended.ok_or("a stream had no answer")?;
        if ended.is_complete && ended.last != Some(EVENTS - 1) {
            let last = ended.last.map_or(-1, |last| last as i64);
            record.line(&format!(
                "BROKEN ORDER: complete after event {last} of 0 to {}",
                EVENTS - 1
            ));
            broken += 1;
        }
    }
    Ok(broken)
}
