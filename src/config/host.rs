//! Settings of one router process, read from the `[host]` section of its file.

use std::time::Duration;

use compact_str::CompactString;

use super::ini::{Error, File, Section};

/// Settings of a router process and the host that it runs on.
#[derive(Clone)]
pub struct Host {
    /// Name, unique in the fleet.
    pub name: CompactString,
    /// Failure domain of the host.
    pub failure_domain: CompactString,
    /// Region of the host; `default` if not set.
    pub region: CompactString,
    /// Address for callers and operators, `IP:PORT`.
    pub listen: CompactString,
    /// Address for messages between routers, `IP:PORT`.
    pub peer_listen: CompactString,
    /// Address at which other routers reach this one, if it differs from `peer_listen`.
    pub peer_address: Option<CompactString>,
    /// URL of the store, or `None` to run without one.
    pub store: Option<String>,
    /// Base URL of the service that lists the members; `None` to use `seeds` only.
    pub members: Option<String>,
    /// Addresses of peers to contact at startup, `IP:PORT`.
    pub seeds: Vec<CompactString>,
    /// Shared key that authenticates routers, publishers and administrators to each other.
    pub key: Secret,
    /// Previous `key`, still accepted during a key rotation.
    pub previous_key: Option<Secret>,
    /// Key of administrators. Without it, anyone may read the admin endpoints and changes are
    /// refused.
    pub admin_key: Option<Secret>,
    /// Paths of shared settings files, used without a store and until the first revision is
    /// published; set as `split`.
    pub settings_files: Vec<String>,
    /// Largest number of hosts in a region for which one allocator leases the engines of all its
    /// failure domains.
    pub region_pool_hosts: usize,
    /// Time after which a leaving host terminates requests that still run.
    pub drain_limit: Duration,
    /// Order in which queued work starts; set as `scheduler`.
    pub queue_order: QueueOrder,
    /// How engines are chosen; set as `route`.
    pub engine_selection: EngineSelection,
    /// What urgent work does while routine work uses all slots.
    pub preemption: Preemption,
    /// Time for which a caller may leave output unread before its request ends. Meanwhile, the
    /// stream from the engine is not read either.
    pub slow_reader_limit: Duration,
}

/// Order in which queued work starts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// By rank, and with fair shares for partners, teams and callers.
    #[default]
    Fair,
    /// First in, first out; a baseline for benchmarks.
    Fifo,
}

/// How engines are chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EngineSelection {
    /// By cached prefix, load and failure domain.
    #[default]
    Scored,
    /// By load alone; a baseline for benchmarks.
    LeastLoaded,
}

/// What urgent work does while routine work uses all slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Preemption {
    /// It waits in the queue of this host; a baseline for benchmarks.
    Wait,
    /// A limited part of it waits in the engines' own queues, which are ordered by priority.
    Queue,
    /// Like `Queue`, but also pauses routine work on the same engine. In benches/ranks.rs this cut
    /// the p95 time to the first token from 791 to 460 ms at the same throughput.
    #[default]
    Pause,
}

/// Secret bytes, whose `Debug` output hides them from logs and errors.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Wraps the bytes of a secret.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns whether `given` equals the secret. Compares hashes, so that the time does not reveal
    /// how many leading bytes match.
    pub fn matches(&self, given: &[u8]) -> bool {
        use sha2::{Digest, Sha256};
        Sha256::digest(&self.0) == Sha256::digest(given)
    }

    /// Returns the bytes, for use as a cryptographic key.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// Minimum length of a key.
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
        let section = file.section("host").ok_or_else(|| {
            file.error(
                1,
                "no [host] section; add one with name, failure_domain, listen, peer_listen and key",
            )
        })?;
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
                .ok_or_else(|| section.error("key", "[host] is missing key; add key = …"))?,
            previous_key: secret(&section, "previous_key")?,
            admin_key: secret(&section, "admin_key")?,
            settings_files: section
                .words("split")
                .into_iter()
                .map(String::from)
                .collect(),
            region_pool_hosts: section.value("region_pool_hosts", 12)?,
            drain_limit: section.millis("drain_limit_ms", Duration::from_secs(600))?,
            queue_order: choice(
                &section,
                "scheduler",
                &[("fair", QueueOrder::Fair), ("fifo", QueueOrder::Fifo)],
            )?,
            engine_selection: choice(
                &section,
                "route",
                &[
                    ("scored", EngineSelection::Scored),
                    ("least_loaded", EngineSelection::LeastLoaded),
                ],
            )?,
            preemption: choice(
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

fn choice<T: Copy + Default>(
    section: &Section<'_>,
    name: &str,
    choices: &[(&str, T)],
) -> Result<T, Error> {
    let Some(text) = section.text(name) else {
        return Ok(T::default());
    };
    let found = choices.iter().find(|(choice, _)| *choice == text);
    found.map(|(_, value)| *value).ok_or_else(|| {
        let supported: Vec<_> = choices.iter().map(|(choice, _)| *choice).collect();
        let message = format!(
            "{name} = {text} is not supported; use {}",
            supported.join(" or ")
        );
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

/// Reads a key; `None` if it is not set.
///
/// # Errors
/// The key is too short.
pub(crate) fn secret(section: &Section<'_>, name: &str) -> Result<Option<Secret>, Error> {
    let Some(text) = section.text(name) else {
        return Ok(None);
    };
    if text.len() < KEY_BYTES_MIN {
        let message = format!("{name} is shorter than {KEY_BYTES_MIN} bytes; use a longer key");
        return Err(section.error(name, message));
    }
    Ok(Some(Secret::new(text)))
}

#[cfg(test)]
mod tests;
