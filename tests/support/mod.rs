//! Starts and stops processes of the program for tests and benches.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod directory;
pub mod engines;
pub mod fault_plan;
pub mod platform;
pub mod poll;
pub mod seed_log;

use std::future::Future;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bilberrypost::config::split::key_digest;
use bilberrypost::emulate::proxy::Fault;
use bilberrypost::load::client::{Answer, Call};
use bilberrypost::wire::{Kind, Lifecycle, Member, Rank};
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time limit of all waits; long enough that only a hang reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of lines that a failed test prints of each of its processes.
const PRINTED_LINES_MAX: usize = 200;

/// Key of the caller in the settings that [`shared_settings`] returns.
pub const CALLER_KEY: &str = "test-caller-key";

/// Key of administrators; tests that need one set it as `admin_key`.
pub const ADMIN_KEY: &str = "test-key-of-administrators";

const PEER_KEY: &str = "test-key-between-routers";

/// Runs a future to completion on a new runtime.
pub fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// A process of the program. Dropping it kills the process.
pub struct Process {
    child: Child,
    // `None` once the output is copied elsewhere.
    output: Option<BufReader<ChildStdout>>,
    copying: Option<JoinHandle<()>>,
    pub address: String,
    /// The last `ready` line that was read, whole.
    pub ready: String,
}

impl Process {
    /// Starts the program and waits for its `ready` line.
    pub fn start(args: &[&str]) -> Self {
        Self::start_logging(args, Stdio::inherit())
    }

    /// Starts the program with `log` as its standard error, and waits for its `ready` line.
    pub fn start_logging(args: &[&str], log: Stdio) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let output = BufReader::new(child.stdout.take().unwrap());
        let mut process = Self {
            child,
            output: Some(output),
            copying: None,
            address: String::new(),
            ready: String::new(),
        };
        process.address = process.ready_line();
        process
    }

    /// Waits for the next `ready` line and returns its field `address`.
    pub fn ready_line(&mut self) -> String {
        let mut line = String::new();
        let output = self.output.as_mut().unwrap();
        while output.read_line(&mut line).unwrap() > 0 {
            if line.starts_with("ready ") {
                self.ready = line.trim().to_owned();
                return self.field("address").unwrap();
            }
            line.clear();
        }
        panic!("the program exited before its `ready` line");
    }

    /// Waits until the process exits and returns its standard output after the `ready` line.
    pub fn rest_of_output(&mut self) -> String {
        let mut output = String::new();
        let rest = self.output.as_mut().unwrap();
        std::io::Read::read_to_string(rest, &mut output).unwrap();
        self.wait();
        output
    }

    /// Copies the further standard output until the process exits.
    pub fn copy_output(&mut self, mut target: impl Write + Send + 'static) {
        let mut output = self.output.take().expect("output that is not yet copied");
        self.copying = Some(std::thread::spawn(move || {
            let _ = std::io::copy(&mut output, &mut target);
        }));
    }

    /// Returns the value of a field of the last `ready` line.
    pub fn field(&self, name: &str) -> Option<String> {
        let fields = self
            .ready
            .split(' ')
            .filter_map(|field| field.split_once('='));
        let mut found = fields.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| value.to_owned())
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        let _ = kill_process(pid, signal);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn unpause(&self) {
        self.signal(Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, which says that the settings file has changed.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process exits and returns its exit code, or `None` if a signal killed it.
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not exit");
    }
}

impl Process {
    /// Prints how the process ended and the last lines of its output.
    fn print_log(&mut self, end: &str) {
        let mut log = Vec::new();
        if let Some(output) = &mut self.output {
            let _ = std::io::Read::read_to_end(output, &mut log);
        }
        let log = String::from_utf8_lossy(&log);
        let lines: Vec<_> = log.lines().collect();
        let last = &lines[lines.len().saturating_sub(PRINTED_LINES_MAX)..];
        println!("process of {}: {end}; its output:", self.ready);
        println!("{}", last.join("\n"));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let is_failing = std::thread::panicking();
        let end = match self.child.try_wait() {
            Ok(Some(status)) => status.to_string(),
            _ => "killed by the test".to_owned(),
        };
        self.kill();
        if let Some(copying) = self.copying.take() {
            let _ = copying.join();
        }
        if is_failing {
            self.print_log(&end);
        }
    }
}

/// Speed of emulated engines.
pub struct Pace {
    /// Maximum number of streams in a batch.
    pub slots: u32,
    /// Fixed part of the time of a decoding step, in microseconds.
    pub step_us: u32,
    /// Time that each stream adds to a step, in microseconds.
    pub step_per_stream_us: u32,
}

/// The processes of one test. Members are named by kind and index, such as `router-0`.
pub struct Cluster {
    pub members: Process,
    pub store: Process,
    pub engines: Vec<Process>,
    pub backends: Vec<Process>,
    pub routers: Vec<Process>,
    /// Lines added to the `[host]` section of routers that start from now on.
    pub settings: String,
    domains: Vec<String>,
    folder: tempfile::TempDir,
}

/// Returns the failure domain of the process of a kind with this index: `fd-a`, `fd-b` or `fd-c` in
/// turn.
pub fn domain(index: usize) -> String {
    format!("fd-{}", ["a", "b", "c"][index % 3])
}

/// Returns settings with one partner, team, caller and model.
pub fn shared_settings() -> String {
    format!(
        "[partner nubeatlas]\nshare = 50\n[team drafts]\npartner = nubeatlas\n\
         [caller tester]\nteam = drafts\nmay_be_urgent = yes\nkey_sha256 = {}\n\
         [model atlas]\nversion = 1\n",
        key_digest(CALLER_KEY)
    )
}

/// Prints the routers' logs when a test fails, as their files are deleted.
impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for router in 0..self.routers.len() {
            let log = std::fs::read_to_string(self.log_path(router)).unwrap_or_default();
            eprintln!("log of router-{router}:\n{log}");
        }
    }
}

impl Cluster {
    /// Starts the store and the membership list.
    pub fn start() -> Self {
        Self {
            members: Process::start(&["emulate", "members", "--lag-ms", "0"]),
            store: Process::start(&["emulate", "store"]),
            engines: Vec::new(),
            backends: Vec::new(),
            routers: Vec::new(),
            settings: String::new(),
            domains: Vec::new(),
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// Adds a member to the membership list; `address` may be that of a proxy in front of it.
    pub fn list(&self, name: &str, kind: Kind, address: &str, domain: &str, service: &str) {
        let member = Member {
            name: name.into(),
            kind,
            address: address.into(),
            peer_address: None,
            failure_domain: domain.into(),
            region: "default".into(),
            state: Lifecycle::Live,
            service: service.into(),
        };
        self.list_member(&member);
    }

    /// Adds or replaces the entry of a member in the membership list.
    pub fn list_member(&self, member: &Member) {
        let path = format!("/v1/emulation/members/{}", member.name);
        put(&self.members.address, &path, member);
    }

    /// Starts a backend server of a service and adds it to the membership list; returns its index.
    pub fn backend(&mut self, service: &str, extra: &[&str]) -> usize {
        let index = self.backends.len();
        let mut args = vec!["emulate", "backend"];
        args.extend(extra);
        let process = Process::start(&args);
        let name = format!("backend-{index}");
        self.list(
            &name,
            Kind::Backend,
            &process.address,
            &domain(index),
            service,
        );
        self.backends.push(process);
        index
    }

    /// Starts an engine of model `atlas` and adds it to the membership list; returns its index.
    pub fn engine(&mut self, extra: &[&str]) -> usize {
        let index = self.engines.len();
        let process = self.unlisted_engine(extra);
        let address = process.address.clone();
        self.engines.push(process);
        let name = format!("engine-{index}");
        self.list(&name, Kind::Engine, &address, &domain(index), "atlas");
        index
    }

    /// Starts engines with the given batch size and step time, and adds them to the membership list.
    pub fn paced_engines(&mut self, count: usize, pace: &Pace, extra: &[&str]) {
        let [slots, step, per_stream] =
            [pace.slots, pace.step_us, pace.step_per_stream_us].map(|value| value.to_string());
        let mut args = vec!["--slots", &slots, "--step-us", &step];
        args.extend(["--step-per-stream-us", &per_stream]);
        args.extend(extra);
        for _ in 0..count {
            self.engine(&args);
        }
    }

    /// Starts an engine without adding it to the membership list.
    pub fn unlisted_engine(&self, extra: &[&str]) -> Process {
        let index = self.engines.len();
        let name = format!("engine-{index}");
        let domain = domain(index);
        let mut args = vec!["emulate", "engine", "--name", &name];
        args.extend(["--failure-domain", &domain]);
        args.extend(extra);
        Process::start(&args)
    }

    fn log_path(&self, router: usize) -> std::path::PathBuf {
        self.folder.path().join(format!("router-{router}.log"))
    }

    /// Returns the log of a router.
    pub fn log(&self, router: usize) -> String {
        std::fs::read_to_string(self.log_path(router)).unwrap()
    }

    /// Starts a router with a file of shared settings and waits until it knows `engines` engines;
    /// returns its index.
    pub fn router(&mut self, shared_settings: &str, engines: usize) -> usize {
        self.router_with(shared_settings, engines, "")
    }

    /// Starts a router whose peers reach it through a proxy; returns the proxy.
    ///
    /// The router's peer address is known only after the start, so the proxy gets its upstream last.
    pub fn proxied_router(&mut self, shared_settings: &str, engines: usize) -> Proxy {
        let proxy = Proxy::start("127.0.0.1:1");
        let settings = format!("peer_address = {}\n", proxy.address());
        let index = self.router_with(shared_settings, engines, &settings);
        let upstream = self.routers[index].field("peer_address").unwrap();
        put(&proxy.control, "/v1/emulation/upstream", &upstream);
        proxy
    }

    /// Like [`Cluster::router`], with `settings` added to the `[host]` section.
    pub fn router_with(&mut self, shared_settings: &str, engines: usize, settings: &str) -> usize {
        let index = self.routers.len();
        let shared_path = self.path(&format!("split-{index}.ini"));
        std::fs::write(&shared_path, shared_settings).unwrap();
        let settings = format!("split = {shared_path}\n{settings}");
        let address = self.start_router(index, &domain(index), &settings);
        wait_until("the router has its settings", || is_ready(&address));
        wait_until("the router knows the engines", || {
            known_engines(&address) >= engines
        });
        index
    }

    /// Starts a router that gets its shared settings from the store or from peers; returns its index.
    pub fn published_router(&mut self, settings: &str) -> usize {
        let domain = domain(self.routers.len());
        self.published_router_in(&domain, settings)
    }

    /// Like [`Cluster::published_router`], in the given failure domain.
    pub fn published_router_in(&mut self, domain: &str, settings: &str) -> usize {
        let index = self.routers.len();
        self.start_router(index, domain, settings);
        index
    }

    fn start_router(&mut self, index: usize, domain: &str, settings: &str) -> String {
        let host = format!(
            "[host]\nname = router-{index}\nfailure_domain = {}\nlisten = 127.0.0.1:0\n\
             peer_listen = 127.0.0.1:0\nstore = http://{}\nmembers = http://{}\n\
             key = {PEER_KEY}\n{settings}{}",
            domain, self.store.address, self.members.address, self.settings,
        );
        std::fs::write(self.path(&format!("host-{index}.ini")), host).unwrap();
        let router = self.router_process(index, domain);
        let address = router.address.clone();
        self.routers.push(router);
        self.domains.push(domain.into());
        address
    }

    /// Kills a router and starts it again with the same settings.
    pub fn restart_router(&mut self, index: usize) {
        self.routers[index].kill();
        self.routers[index] = self.router_process(index, &self.domains[index]);
    }

    fn router_process(&self, index: usize, domain: &str) -> Process {
        let host = self.path(&format!("host-{index}.ini"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_path(index))
            .unwrap();
        let mut args = vec!["serve", "-c", &host];
        // Benches, which also use this module, measure routers at the default level.
        if cfg!(test) {
            args.push("-v");
        }
        let router = Process::start_logging(&args, log.into());
        self.list_member(&Member {
            name: format!("router-{index}").into(),
            kind: Kind::Router,
            address: router.address.as_str().into(),
            peer_address: router.field("peer_address").map(Into::into),
            failure_domain: domain.into(),
            region: "default".into(),
            state: Lifecycle::Live,
            service: "".into(),
        });
        router
    }

    /// Returns the path of a file in the cluster's temporary folder.
    pub fn path(&self, name: &str) -> String {
        self.folder.path().join(name).to_str().unwrap().into()
    }

    /// Writes a file in the cluster's temporary folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Writes the settings file of an operator and returns its path.
    pub fn operator(&self) -> String {
        let settings = format!(
            "[operator]\nstore = http://{}\nmembers = http://{}\nkey = {PEER_KEY}\n",
            self.store.address, self.members.address
        );
        let path = self.path("operator.ini");
        // A rename replaces the file at once, so a running publisher never reads a partial file.
        std::fs::rename(self.write("operator.new", &settings), &path).unwrap();
        path
    }

    /// Sets the faults that the emulated store injects.
    pub fn store_faults(&self, faults: &serde_json::Value) {
        put(&self.store.address, "/v1/emulation/faults", faults);
    }
}

/// Runs the program until it exits; returns the exit code, and standard output followed by standard
/// error.
pub fn run(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .args(args)
        .output()
        .expect("the program starts");
    let printed = [output.stdout, output.stderr].concat();
    let code = output.status.code().expect("the program was not killed");
    (code, String::from_utf8_lossy(&printed).into_owned())
}

/// Returns whether a router's `/readyz` reports success.
pub fn is_ready(address: &str) -> bool {
    block_on(async {
        let request = client().get(format!("http://{address}/readyz")).unwrap();
        let response = request.send().await;
        response.is_ok_and(|response| response.status().is_success())
    })
}

/// Returns the number of engines whose model version the router knows.
fn known_engines(router: &str) -> usize {
    let status: serde_json::Value = get(router, "/admin/v1/status");
    let engines = status["dispatch"]["engines"].as_object().unwrap();
    engines
        .values()
        .filter(|engine| engine["version"] != "")
        .count()
}

/// Waits until a condition holds; panics with `what` after [`TEST_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "not within {TEST_TIMEOUT:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns a call of the caller in [`shared_settings`].
pub fn call(prompt: &str, max_tokens: u32, seed: u64) -> Call {
    Call {
        key: CALLER_KEY.into(),
        model: "atlas".into(),
        prompt: prompt.into(),
        max_tokens,
        seed,
        rank: Rank::Routine,
        event_timeout: TEST_TIMEOUT,
    }
}

/// Asserts that an answer has each token exactly once.
pub fn assert_exact(answer: &Answer) {
    assert!(answer.complete, "{answer:?}");
    assert_eq!(
        (answer.missing, answer.repeated, answer.mismatched),
        (0, 0, 0)
    );
}

fn client() -> cyper::Client {
    cyper::Client::builder().no_proxy().build().unwrap()
}

/// Gets a JSON document with the key of administrators.
pub fn get<T: DeserializeOwned>(address: &str, path: &str) -> T {
    block_on(async {
        let request = client().get(format!("http://{address}{path}")).unwrap();
        let request = request.bearer_auth(ADMIN_KEY).unwrap();
        request.send().await.unwrap().json().await.unwrap()
    })
}

/// Puts a JSON document.
pub fn put<T: Serialize>(address: &str, path: &str, body: &T) {
    block_on(async {
        let request = client().put(format!("http://{address}{path}")).unwrap();
        let response = request.json(body).unwrap().send().await.unwrap();
        assert!(response.status().is_success(), "{}", response.status());
    });
}

/// Posts an empty body.
pub fn post(address: &str, path: &str) {
    block_on(async {
        let request = client().post(format!("http://{address}{path}")).unwrap();
        let response = request.send().await.unwrap();
        assert!(response.status().is_success(), "{}", response.status());
    });
}

/// A fault-injecting proxy in front of an address.
pub struct Proxy {
    process: Process,
    control: String,
}

impl Proxy {
    pub fn start(upstream: &str) -> Self {
        let mut process = Process::start(&["emulate", "proxy", "--upstream", upstream]);
        let control = process.ready_line();
        Self { process, control }
    }

    pub fn address(&self) -> &str {
        &self.process.address
    }

    pub fn set(&self, fault: Fault) {
        put(&self.control, "/v1/emulation/fault", &fault);
    }
}
