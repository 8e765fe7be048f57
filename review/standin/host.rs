//! A host of the system: the program of the deploy file with settings made from its template.

use std::fs;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

/// The ports that all hosts use, each on an IP address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    frontend: u16,
    readiness: u16,
    control: u16,
    peers: u16,
}

impl Ports {
    /// Chooses free ports.
    pub fn choose() -> Self {
        let listeners: Vec<_> = (0..4)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let port = |at: usize| listeners[at].local_addr().expect("an address").port();
        Self {
            frontend: port(0),
            readiness: port(1),
            control: port(2),
            peers: port(3),
        }
    }
}

/// Where a host runs and which store it uses.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub seeds: Vec<String>,
    pub store: String,
    pub ports: Ports,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// A running host, which is killed when dropped.
pub struct Host {
    /// Where it runs.
    pub place: Place,
    process: Child,
}

/// The template of the deploy file, filled in with the bounds of kegelpost.
fn settings(place: &Place) -> Result<String, String> {
    let template = fs::read_to_string("deploy/host.ini").map_err(|err| err.to_string())?;
    let control = place.ports.control;
    let seeds: Vec<_> = place
        .seeds
        .iter()
        .map(|ip| format!("{ip}:{control}"))
        .collect();
    let values = [
        ("{{node-name}}", place.name.clone()),
        ("{{zone}}", place.zone.clone()),
        ("{{listen-addrs.frontend}}", place.frontend()),
        ("{{listen-addrs.readiness}}", place.readiness()),
        ("{{seed-nodes}}", seeds.join(",")),
        ("{{port-range}}", format!("{0},{0}", place.ports.peers)),
        ("{{platform.address}}", place.store.clone()),
        (
            "{{#bounds.fail-closed}}yes{{/bounds.fail-closed}}{{^bounds.fail-closed}}no{{/bounds.fail-closed}}",
            "no".into(),
        ),
        ("{{bounds.revoke-ms}}", "5000".into()),
        ("{{bounds.grace-s}}", "8".into()),
        ("{{limits.link-mbps}}", "1000.0".into()),
        ("{{bounds.retry-budget-ratio}}", "0.8".into()),
        ("{{bounds.budget-slack}}", "150".into()),
        ("{{bounds.retry-window-s}}", "10".into()),
    ];
    let filled = values
        .iter()
        .fold(template, |text, (name, value)| text.replace(name, value));
    match filled.contains("{{") {
        true => Err(format!("the template has unknown places: {filled}")),
        false => Ok(filled),
    }
}

impl Place {
    /// Returns the address for callers.
    pub fn frontend(&self) -> String {
        format!("{}:{}", self.ip, self.ports.frontend)
    }

    fn readiness(&self) -> String {
        format!("{}:{}", self.ip, self.ports.readiness)
    }
}

impl Host {
    /// Starts the program and waits until it is ready.
    pub fn start(place: Place) -> Result<Self, String> {
        let host = Self::spawn(place)?;
        host.wait_until_ready()?;
        Ok(host)
    }

    /// Starts the program.
    pub fn spawn(place: Place) -> Result<Self, String> {
        let failed = |err: std::io::Error| err.to_string();
        let path = place.folder.join(format!("{}.conf", place.name));
        fs::write(&path, settings(&place)?).map_err(failed)?;
        let log = place.folder.join(format!("{}.log", place.name));
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(failed)?;
        let process = Command::new("target/release/bilberrypost")
            .args(["serve", "-c"])
            .arg(&path)
            .env("BILBERRYPOST_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(failed)?)
            .stderr(log)
            .spawn()
            .map_err(failed)?;
        Ok(Self { place, process })
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} is not ready within 10 s", self.place.name))
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.place.readiness()) else {
            return false;
        };
        let request = "GET /bilberrypost/readyz HTTP/1.1\r\nHost: balancer\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let answer = http::read_message(&mut BufReader::new(stream));
        answer.is_ok_and(|answer| answer.second_word() == "200")
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Returns how the process ended, if it has.
    pub fn end(&mut self) -> Option<String> {
        let status = self.process.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
