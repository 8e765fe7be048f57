//! Starts real processes for tests and benches, and ends them.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod platform;

use std::future::Future;
use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

use bilberrypost::config::split::key_digest;
use bilberrypost::emulate::proxy::Fault;
use bilberrypost::load::client::Call;
use bilberrypost::wire::{Kind, Lifecycle, Member, Rank};
use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A deadline that only a hang reaches.
pub const HANG: Duration = Duration::from_secs(60);

/// Key of the caller that [`SPLIT_HEAD`] names.
pub const CALLER_KEY: &str = "test-caller-key";

/// Key of administrators in tests that set one.
pub const ADMIN_KEY: &str = "test-key-of-administrators";

const PEER_KEY: &str = "test-key-between-routers";

/// Runs a future on a runtime of its own.
pub fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// A process of this program; it is killed when dropped.
pub struct Process {
    child: Child,
    output: BufReader<ChildStdout>,
    pub address: String,
    /// The whole `ready` line.
    pub ready: String,
}

impl Process {
    /// Starts the program and waits for the line that says where it listens.
    pub fn start(args: &[&str]) -> Self {
        Self::start_logging(args, Stdio::inherit())
    }

    /// Starts the program with its log written to `log`.
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
            output,
            address: String::new(),
            ready: String::new(),
        };
        process.address = process.ready_line();
        process
    }

    /// Reads the next `ready` line and returns its address.
    pub fn ready_line(&mut self) -> String {
        let mut line = String::new();
        while self.output.read_line(&mut line).unwrap() > 0 {
            if line.starts_with("ready ") {
                self.ready = line.trim().to_owned();
                return self.field("address").unwrap();
            }
            line.clear();
        }
        panic!("the program ended before it was ready");
    }

    /// Waits for the end of the process and returns what it wrote since the `ready` line.
    pub fn rest_of_output(&mut self) -> String {
        let mut output = String::new();
        std::io::Read::read_to_string(&mut self.output, &mut output).unwrap();
        self.wait();
        output
    }

    /// Returns a field of the `ready` line.
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

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + HANG;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not end");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Speed of emulated engines.
pub struct Pace {
    /// Streams in a batch.
    pub slots: u32,
    /// Time of a step with an empty batch, in microseconds.
    pub step_us: u32,
    /// Time that each stream adds, in microseconds.
    pub step_per_stream_us: u32,
}

/// The processes of one test.
pub struct Cluster {
    pub members: Process,
    pub store: Process,
    pub engines: Vec<Process>,
    pub backends: Vec<Process>,
    pub routers: Vec<Process>,
    /// Further lines of the settings of routers that start from now on.
    pub settings: String,
    domains: Vec<String>,
    folder: tempfile::TempDir,
}

/// Failure domain of the n-th process of a kind.
pub fn domain(index: usize) -> String {
    format!("fd-{}", ["a", "b", "c"][index % 3])
}

/// Settings with one partner, team, caller and model.
pub fn split() -> String {
    format!(
        "[partner nubeatlas]\nshare = 50\n[team drafts]\npartner = nubeatlas\n\
         [caller tester]\nteam = drafts\nmay_be_urgent = yes\nkey_sha256 = {}\n\
         [model atlas]\nversion = 1\n",
        key_digest(CALLER_KEY)
    )
}

impl Cluster {
    /// Starts store and membership list.
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

    /// Lists a member; `address` may be that of a proxy in front of it.
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

    /// Lists a member, or changes its entry.
    pub fn list_member(&self, member: &Member) {
        let path = format!("/v1/emulation/members/{}", member.name);
        put(&self.members.address, &path, member);
    }

    /// Starts a backend server of a service and lists it; returns its index.
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

    /// Starts an engine of model `atlas` and lists it; returns its index.
    pub fn engine(&mut self, extra: &[&str]) -> usize {
        let index = self.engines.len();
        let process = self.unlisted_engine(extra);
        let address = process.address.clone();
        self.engines.push(process);
        let name = format!("engine-{index}");
        self.list(&name, Kind::Engine, &address, &domain(index), "atlas");
        index
    }

    /// Starts engines with a given batch size and step; returns when all are listed.
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

    /// Starts an engine that the membership list does not show.
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

    /// Returns what a router wrote to its log.
    pub fn log(&self, router: usize) -> String {
        std::fs::read_to_string(self.log_path(router)).unwrap()
    }

    /// Starts a router with a split file and waits until it sees `engines` engines.
    pub fn router(&mut self, split: &str, engines: usize) -> usize {
        self.router_with(split, engines, "")
    }

    /// Starts a router whose peers reach it through a proxy; returns the proxy.
    pub fn proxied_router(&mut self, split: &str, engines: usize) -> Proxy {
        let proxy = Proxy::start("127.0.0.1:1");
        let settings = format!("peer_address = {}\n", proxy.address());
        let index = self.router_with(split, engines, &settings);
        let upstream = self.routers[index].field("peer_address").unwrap();
        put(&proxy.control, "/v1/emulation/upstream", &upstream);
        proxy
    }

    /// Starts a router with further lines in its `[host]` section.
    pub fn router_with(&mut self, split: &str, engines: usize, settings: &str) -> usize {
        let index = self.routers.len();
        let split_path = self.path(&format!("split-{index}.ini"));
        std::fs::write(&split_path, split).unwrap();
        let settings = format!("split = {split_path}\n{settings}");
        let address = self.start_router(index, &domain(index), &settings);
        wait_until("the router has its settings", || is_ready(&address));
        wait_until("the router sees the engines", || {
            known_engines(&address) >= engines
        });
        index
    }

    /// Starts a router that takes its split from the store or from peers; returns its index.
    pub fn published_router(&mut self, settings: &str) -> usize {
        let domain = domain(self.routers.len());
        self.published_router_in(&domain, settings)
    }

    /// Starts such a router in a failure domain; returns its index.
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

    /// Kills a router and starts it again with its settings.
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
        let router = Process::start_logging(&["serve", "-c", &host], log.into());
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

    /// Returns the path of a file of this cluster.
    pub fn path(&self, name: &str) -> String {
        self.folder.path().join(name).to_str().unwrap().into()
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Writes the settings of an operator and returns their path.
    pub fn operator(&self) -> String {
        let settings = format!(
            "[operator]\nstore = http://{}\nmembers = http://{}\nkey = {PEER_KEY}\n",
            self.store.address, self.members.address
        );
        let path = self.path("operator.ini");
        // Publishers that run already must not see half of the file.
        std::fs::rename(self.write("operator.new", &settings), &path).unwrap();
        path
    }

    /// Sets faults of the store.
    pub fn store_faults(&self, faults: &serde_json::Value) {
        put(&self.store.address, "/v1/emulation/faults", faults);
    }
}

/// Runs the program to its end; returns the exit code and what it printed.
pub fn run(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .args(args)
        .output()
        .expect("the program starts");
    let printed = [output.stdout, output.stderr].concat();
    let code = output.status.code().expect("the program was not killed");
    (code, String::from_utf8_lossy(&printed).into_owned())
}

/// Returns whether a router has settings and takes work.
pub fn is_ready(address: &str) -> bool {
    block_on(async {
        let request = client().get(format!("http://{address}/readyz")).unwrap();
        let response = request.send().await;
        response.is_ok_and(|response| response.status().is_success())
    })
}

fn known_engines(router: &str) -> usize {
    let status: serde_json::Value = get(router, "/admin/v1/status");
    let engines = status["dispatch"]["engines"].as_object().unwrap();
    engines
        .values()
        .filter(|engine| engine["version"] != "")
        .count()
}

/// Waits for a condition.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + HANG;
    while !condition() {
        assert!(Instant::now() < deadline, "did not happen: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A call of the test caller.
pub fn call(prompt: &str, max_tokens: u32, seed: u64) -> Call {
    Call {
        key: CALLER_KEY.into(),
        model: "atlas".into(),
        prompt: prompt.into(),
        max_tokens,
        seed,
        rank: Rank::Routine,
        event_timeout: HANG,
    }
}

fn client() -> cyper::Client {
    cyper::Client::builder().no_proxy().build().unwrap()
}

/// Gets a JSON document.
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
