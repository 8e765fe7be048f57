//! Settings of one router process.

use std::time::Duration;

use compact_str::CompactString;

use super::ini::{Error, File, Section};

/// Settings of the host that a router process runs on.
#[derive(Clone)]
pub struct Host {
    /// Unique name.
    pub name: CompactString,
    /// Failure domain.
    pub failure_domain: CompactString,
    /// Region.
    pub region: CompactString,
    /// Address for callers and operators, `IP:PORT`.
    pub listen: CompactString,
    /// Address for messages between routers, `IP:PORT`.
    pub peer_listen: CompactString,
    /// Address under which other routers reach this one, if it is not `peer_listen`.
    pub peer_address: Option<CompactString>,
    /// URL of the store, or `None` to run without one.
    pub store: Option<String>,
    /// URL of the membership list.
    pub members: Option<String>,
    /// Peer addresses to ask at the start, `IP:PORT`.
    pub seeds: Vec<CompactString>,
    /// Key that authenticates routers, publishers and administrators to each other.
    pub key: Secret,
    /// Earlier key, accepted during rotation.
    pub previous_key: Option<Secret>,
    /// Key of administrators; without one, reading is open and changing is refused.
    pub admin_key: Option<Secret>,
    /// Split files for a host that runs without a store.
    pub split: Vec<String>,
    /// Hosts of a region up to which one allocator leases all of its failure domains.
    pub region_pool_hosts: usize,
    /// Time after which a leaving host cuts what still runs.
    pub drain_limit: Duration,
    /// Order in which waiting work starts.
    pub queue_order: QueueOrder,
    /// How engines are chosen.
    pub engine_selection: EngineSelection,
    /// What urgent work does while routine work holds all places.
    pub preemption: Preemption,
    /// Time for which a caller may leave output unread; until then its engine's stream pauses.
    pub slow_reader_limit: Duration,
}

/// Order in which waiting work starts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// By rank, and fairly between partners, teams and callers.
    #[default]
    Fair,
    /// First come, first served; a baseline for benches.
    Fifo,
}

/// How engines are chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EngineSelection {
    /// By cached prefix, load and failure domain.
    #[default]
    Scored,
    /// By load alone; a baseline for benches.
    LeastLoaded,
}

/// What urgent work does while routine work holds all places.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Preemption {
    /// It waits on this host; a baseline for benches.
    Wait,
    /// A bounded part waits in the engines' own queues, which order by priority.
    Queue,
    /// As `Queue`, and routine work on the same engine is paused. In benches/ranks.rs this cut the
    /// p95 time to the first token from 791 to 460 ms at the same work done.
    #[default]
    Pause,
}

/// Text that must not show in logs, status or errors.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Creates a secret.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Compares with a given value, in a time that does not depend on where they differ.
    pub fn matches(&self, given: &[u8]) -> bool {
        use sha2::{Digest, Sha256};
        Sha256::digest(&self.0) == Sha256::digest(given)
    }

    /// Returns the secret for use as a key.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// Fewest bytes of a key between routers.
const KEY_BYTES_MIN: usize = 16;

const SETTINGS: &[&str] = &[
    "name",
    "failure_domain",
    "region",
    "listen",
    "peer_listen",
    "peer_address",
    "store",
    "members",
    "seeds",
    "key",
    "previous_key",
    "admin_key",
    "split",
    "region_pool_hosts",
    "drain_limit_ms",
    "scheduler",
    "route",
    "preemption",
    "slow_reader_limit_ms",
];

impl Host {
    /// Reads the `[host]` section of a file.
    ///
    /// # Errors
    /// A setting is missing, unknown or malformed.
    pub fn from_file(file: &File) -> Result<Self, Error> {
        let section = file
            .section("host")
            .ok_or_else(|| file.error(1, "no [host] section; add one with name and listen"))?;
        section.check_names(SETTINGS)?;
        Ok(Self {
            name: section.required("name")?.into(),
            failure_domain: section.required("failure_domain")?.into(),
            region: section.text("region").unwrap_or("default").into(),
            listen: address(&section, "listen")?,
            peer_listen: address(&section, "peer_listen")?,
            peer_address: match section.text("peer_address") {
                Some(_) => Some(address(&section, "peer_address")?),
                None => None,
            },
            store: url(&section, "store")?,
            members: url(&section, "members")?,
            seeds: section.words("seeds"),
            key: secret(&section, "key")?
                .ok_or_else(|| section.error("key", "[host] lacks key; add key = …"))?,
            previous_key: secret(&section, "previous_key")?,
            admin_key: secret(&section, "admin_key")?,
            split: section
                .words("split")
                .into_iter()
                .map(String::from)
                .collect(),
            region_pool_hosts: section.value("region_pool_hosts", 12)?,
            drain_limit: section.millis("drain_limit_ms", Duration::from_secs(600))?,
            queue_order: word(
                &section,
                "scheduler",
                &[("fair", QueueOrder::Fair), ("fifo", QueueOrder::Fifo)],
            )?,
            engine_selection: word(
                &section,
                "route",
                &[
                    ("scored", EngineSelection::Scored),
                    ("least_loaded", EngineSelection::LeastLoaded),
                ],
            )?,
            preemption: word(
                &section,
                "preemption",
                &[
                    ("wait", Preemption::Wait),
                    ("queue", Preemption::Queue),
                    ("pause", Preemption::Pause),
                ],
            )?,
            slow_reader_limit: section.millis("slow_reader_limit_ms", Duration::from_secs(30))?,
        })
    }
}

fn address(section: &Section<'_>, name: &str) -> Result<CompactString, Error> {
    let text = section.required(name)?;
    if text.parse::<std::net::SocketAddr>().is_err() {
        let message = format!("{name} = {text} is not an address; write IP:PORT");
        return Err(section.error(name, message));
    }
    Ok(text.into())
}

fn word<T: Copy + Default>(
    section: &Section<'_>,
    name: &str,
    words: &[(&str, T)],
) -> Result<T, Error> {
    let Some(text) = section.text(name) else {
        return Ok(T::default());
    };
    let found = words.iter().find(|(word, _)| *word == text);
    found.map(|(_, value)| *value).ok_or_else(|| {
        let known: Vec<_> = words.iter().map(|(word, _)| *word).collect();
        let message = format!("{name} = {text} is not known; use {}", known.join(" or "));
        section.error(name, message)
    })
}

pub(super) fn url(section: &Section<'_>, name: &str) -> Result<Option<String>, Error> {
    let Some(text) = section.text(name) else {
        return Ok(None);
    };
    if !text.starts_with("http://") {
        let message = format!("{name} = {text} is not a URL; write http://IP:PORT");
        return Err(section.error(name, message));
    }
    Ok(Some(text.trim_end_matches('/').into()))
}

pub(super) fn secret(section: &Section<'_>, name: &str) -> Result<Option<Secret>, Error> {
    let Some(text) = section.text(name) else {
        return Ok(None);
    };
    if text.len() < KEY_BYTES_MIN {
        let message = format!("{name} is shorter than {KEY_BYTES_MIN} bytes; use a longer one");
        return Err(section.error(name, message));
    }
    Ok(Some(Secret::new(text)))
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "[host]\nname = h1\nfailure_domain = fd-a\nlisten = 127.0.0.1:0\n\
                        peer_listen = 127.0.0.1:0\nkey = 0123456789abcdef\n";

    /// Guards against errors that do not lead to the faulty line.
    #[test]
    fn errors_name_file_and_line() {
        let cases = [
            ("listen = 127.0.0.1:0", "listen = here", "h.ini:4: listen"),
            ("key = 0123456789abcdef", "key = short", "h.ini:6: key"),
            (
                "name = h1",
                "nam = h1",
                "h.ini:2: [host] has no setting nam",
            ),
            ("name = h1\n", "", "h.ini:1: [host] lacks name"),
            (
                "name = h1",
                "name = h1\nscheduler = fast",
                "h.ini:3: scheduler = fast is not known",
            ),
            ("[host]", "[hast]", "h.ini:1: no [host] section"),
        ];
        for (from, to, expected) in cases {
            let text = GOOD.replacen(from, to, 1);
            let file = File::parse("h.ini", &text).unwrap();
            let err = Host::from_file(&file).err().expect(expected).to_string();
            assert!(err.starts_with(expected), "{err}");
            assert!(!err.contains("short ") && !err.contains("= short"), "{err}");
        }
    }
}
