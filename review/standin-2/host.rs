//! The project's own program as host processes, with the settings of the deploy file.

use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

/// Ports that are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub peers: u16,
}

impl Ports {
    /// Finds ports that are free at all addresses.
    pub fn find(addresses: &[IpAddr]) -> Option<Self> {
        let first = 20000 + (std::process::id() % 9000) as u16;
        let is_free = |port: u16| {
            addresses.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        };
        let mut free = (first..first + 2000).filter(|port| is_free(*port));
        Some(Self {
            front: free.next()?,
            ready: free.next()?,
            control: free.next()?,
            peers: free.next()?,
        })
    }
}

/// One machine with the role `edge`.
pub struct Host {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    ports: Ports,
    program: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Host {
    /// Writes the settings of a host, filled into the template of the deploy file.
    pub fn new(
        root: &Path,
        folder: &Path,
        record: &Record,
        (name, zone, ip): (&str, &str, IpAddr),
        ports: Ports,
        seeds: &[IpAddr],
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let seeds: Vec<_> = seeds
            .iter()
            .map(|ip| format!("{ip}:{}", ports.control))
            .collect();
        let text = std::fs::read_to_string(root.join("deploy/host.ini"))?;
        let text = text.replace(
            "{{#bounds.fail-closed}}yes{{/bounds.fail-closed}}{{^bounds.fail-closed}}no{{/bounds.fail-closed}}",
            "no",
        );
        let values = [
            ("node-name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen-addrs.frontend", format!("{ip}:{}", ports.front)),
            ("listen-addrs.readiness", format!("{ip}:{}", ports.ready)),
            ("seed-nodes", seeds.join(",")),
            ("port-range", format!("{},{}", ports.peers, ports.peers)),
            ("platform.address", store.to_string()),
            ("bounds.revoke-ms", "5000".to_owned()),
            ("bounds.grace-s", "8".to_owned()),
            ("limits.link-mbps", "1000.0".to_owned()),
            ("limits.memory-mb", "110".to_owned()),
            ("limits.max-fds", "4100".to_owned()),
            ("bounds.retry-budget-ratio", "0.8".to_owned()),
            ("bounds.budget-slack", "150".to_owned()),
            ("bounds.retry-window-s", "10".to_owned()),
            ("bounds.exposure-ratio", String::new()),
            ("bounds.exposure-tolerance", String::new()),
        ];
        let text = values.iter().fold(text, |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        });
        let text = without_places(&text);
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            ip,
            settings,
            ports,
            program: root.join("target/release/bilberrypost"),
            log: folder.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
        })
    }

    /// Starts the process, as the deploy file says.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .args(["serve", "-c"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("host-start host={}", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("host-killed host={}", self.name));
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.front)
    }

    /// Waits until the host says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(SocketAddr::new(self.ip, self.ports.ready))
        else {
            return false;
        };
        let question = format!(
            "GET /bilberrypost/readyz HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.ip
        );
        connection.send(question.as_bytes());
        connection
            .read_message()
            .is_some_and(|answer| answer.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Leaves out the places of a template that have no value here, as the platform does.
fn without_places(text: &str) -> String {
    let mut parts = text.split("{{");
    let first = parts.next().unwrap_or_default().to_owned();
    let rest = parts.map(|part| part.split_once("}}").map_or(part, |(_, rest)| rest));
    rest.fold(first, |text, part| text + part)
}
