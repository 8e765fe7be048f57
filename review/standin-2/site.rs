//! A small deployment: a store, engines and six hosts in three zones.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::engine::{Engine, Failure, Memories};
use crate::host::{Host, Ports};
use crate::record::Record;
use crate::store::Store;

pub const ZONES: [&str; 3] = ["niederbach-nord", "niederbach-mitte", "niederbach-sued"];

/// Zone of each host, as in the sheet of kegelpost.
const HOSTS: [(&str, &str); 6] = [
    ("edge-niederbach-nord-1", "niederbach-nord"),
    ("edge-niederbach-nord-2", "niederbach-nord"),
    ("edge-niederbach-nord-3", "niederbach-nord"),
    ("edge-niederbach-mitte-1", "niederbach-mitte"),
    ("edge-niederbach-sued-1", "niederbach-sued"),
    ("edge-niederbach-sued-2", "niederbach-sued"),
];

/// Index of the only host of its zone.
pub const MITTE: usize = 3;

/// Services, whether they are model engines, and how many there are in each zone.
const SERVICES: [(&str, bool, u32); 3] = [
    ("kegelassist", true, 3),
    ("kegelassist-neu", true, 3),
    ("buchungsdienst", false, 1),
];

pub struct Site {
    pub store: Store,
    pub hosts: Vec<Host>,
    pub engines: Vec<Engine>,
    folder: PathBuf,
}

impl Site {
    /// Starts all parts and waits until all hosts have been ready for more than `stable-ms`.
    pub fn start(root: &Path, record: &Record) -> Result<Self, String> {
        let text = |err: std::io::Error| err.to_string();
        let folder = std::env::temp_dir().join(format!("bilberrypost-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let store = Store::default();
        let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(text)?;
        let store_address = listener.local_addr().map_err(text)?;
        store.serve(listener);
        let memories = Memories::default();
        let mut engines = Vec::new();
        for (service, is_model, count) in SERVICES {
            for (zone, number) in ZONES
                .iter()
                .flat_map(|zone| (0..count).map(move |number| (zone, number)))
            {
                let listener = TcpListener::bind(("127.0.0.1", 0)).map_err(text)?;
                let engine = Engine {
                    id: format!("i-{service}-{zone}-{number}"),
                    service: service.to_owned(),
                    zone: (*zone).to_owned(),
                    address: listener.local_addr().map_err(text)?,
                    slots: if is_model { 64 } else { 6 },
                    record: record.clone(),
                    memories: memories.clone(),
                    events: 180,
                    gap: Duration::from_millis(80),
                    prefill: Duration::from_millis(400),
                    failure: Arc::new(Mutex::new(Failure::None)),
                    unframed: None,
                };
                engine.serve(listener);
                store.put("servers", &engine.id, &engine.entry());
                engines.push(engine);
            }
        }
        store.put("config", "main", &configuration(1, "kegelassist"));
        // A group of loopback addresses of its own for each run.
        let group = (std::process::id() % 200) as u8 + 20;
        let ips: Vec<IpAddr> = (0..HOSTS.len())
            .map(|number| Ipv4Addr::new(127, group, 1, number as u8 + 1).into())
            .collect();
        let ports = Ports::find(&ips).ok_or("no free ports")?;
        let seeds = [ips[0], ips[3], ips[4]];
        let mut hosts = Vec::new();
        for ((name, zone), ip) in HOSTS.into_iter().zip(&ips) {
            let name = (name, zone, *ip);
            let store = SocketAddr::new(store_address.ip(), store_address.port());
            let host =
                Host::new(root, &folder, record, name, ports, &seeds, store).map_err(text)?;
            hosts.push(host);
        }
        let mut site = Self {
            store,
            hosts,
            engines,
            folder,
        };
        for host in &mut site.hosts {
            host.start().map_err(text)?;
        }
        for host in &site.hosts {
            if !host.wait_ready(Duration::from_secs(10)) {
                return Err(format!(
                    "{} is not ready; build the project first",
                    host.name
                ));
            }
        }
        std::thread::sleep(Duration::from_secs(4));
        record.line("all hosts are ready for more than stable-ms");
        Ok(site)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a configuration whose streaming route goes to `service`.
pub fn configuration(version: u32, service: &str) -> String {
    let models = ["kegelassist", "kegelassist-neu"].map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-connections\":360,\"protocol\":\"h1\",\
             \"tls\":false,\"engine-id\":{{\"batch-slots\":64,\"kv-capacity\":55000,\"kv-bytes\":163840,\
             \"link-mbps\":1100000.0,\"migrations\":true,\"replicas\":true,\"interval\":7,\"most\":12,\
             \"pin-ms\":4000.0,\"hold-ms\":2000.0,\"kv-handle-s\":4.0,\"model-list\":[{{\"name\":\"m\"}}]}}}}"
        )
    });
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"bahnfrage\",\"host\":\"ficu95.example\",\"path-prefix\":\"/pufi791/\",\
         \"route-type\":\"streaming\",\"timeout-ms\":25000,\"target-latency-ms\":10000,\"priority\":2,\
         \"service\":\"{service}\",\"max-attempts\":5,\"anonymous\":false,\"session-affinity\":true,\
         \"stream-resume\":true,\"target-gap-ms\":700}},\
         {{\"name\":\"bahnbuchung\",\"host\":\"ficu95.example\",\"path-prefix\":\"/pule252/\",\
         \"route-type\":\"non_idempotent\",\"timeout-ms\":1000,\"target-latency-ms\":150,\"priority\":2,\
         \"service\":\"buchungsdienst\",\"max-attempts\":1,\"anonymous\":false}}],\
         \"services\":[{},{},{{\"name\":\"buchungsdienst\",\"health-path\":\"/healthz\",\
         \"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api-keys\":[\"{}\"],\"priority\":1}}]}}",
        models[0],
        models[1],
        crate::client::KEY
    )
}
