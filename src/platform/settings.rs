//! The `[platform]` section of a host's settings.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::config::host::secret;
use crate::config::ini::{Error, File, Section};
use crate::gateway::Settings;
use crate::peer::auth::Keys;
use crate::rollout;
use crate::route::placing::{Policy, UnknownPolicy};
use crate::sched::retry;

const SETTINGS: &[&str] = &[
    "name",
    "failure_domain",
    "listen",
    "ready_listen",
    "seeds",
    "ports",
    "peer_key",
    "previous_peer_key",
    "store",
    "fail_closed",
    "drain_limit_s",
    "link_mbps",
    "placing",
    "retry_ratio",
    "retry_slack",
    "retry_window_s",
    "revoke_limit_ms",
    "memory_mb",
    "max_fds",
    "rollout_ratio",
    "rollout_tolerance",
];

/// Accepted rates of a link in Mbit/s.
const LINK_MBPS_MIN: f64 = 0.1;
const LINK_MBPS_MAX: f64 = 1_000_000.0;

/// Reads the own address for messages between gateways and the addresses of the seeds. All hosts
/// use the first port of `ports` for these messages; only the IP addresses are taken from `listen`
/// and `seeds`. `None` if `ports` is empty.
fn peer_addresses(section: &Section<'_>) -> Result<Option<(SocketAddr, Vec<SocketAddr>)>, Error> {
    let ports = section.words("ports");
    let Some(port) = ports.first() else {
        return Ok(None);
    };
    let port: u16 = port.parse().map_err(|_| {
        let message = format!("ports = {port} is not a port number; write FIRST,LAST");
        section.error("ports", message)
    })?;
    let own: SocketAddr = section.required("listen")?.parse().map_err(|_| {
        let message = "listen is not an address; write IP:PORT";
        section.error("listen", message)
    })?;
    let seed = |text: &CompactString| match text.parse::<SocketAddr>() {
        Ok(address) => Ok(SocketAddr::new(address.ip(), port)),
        Err(_) => {
            let message =
                format!("seeds has {text}, which is not an address; write IP:PORT,IP:PORT");
            Err(section.error("seeds", message))
        }
    };
    let seeds = section.words("seeds");
    let seeds: Result<_, Error> = seeds.iter().map(seed).collect();
    Ok(Some((SocketAddr::new(own.ip(), port), seeds?)))
}

/// Reads the rate of the host's link in Mbit/s; `None` if it is not set. The bounds keep the times
/// that follow from it within what a duration can hold.
fn link_mbps(section: &Section<'_>) -> Result<Option<f64>, Error> {
    if section.text("link_mbps").is_none() {
        return Ok(None);
    }
    let rate: f64 = section.value("link_mbps", LINK_MBPS_MIN)?;
    match (LINK_MBPS_MIN..=LINK_MBPS_MAX).contains(&rate) {
        true => Ok(Some(rate)),
        false => {
            let message = format!(
                "link_mbps = {rate} is out of range; write the rate of the link in Mbit/s, \
                 from {LINK_MBPS_MIN} to {LINK_MBPS_MAX}"
            );
            Err(section.error("link_mbps", message))
        }
    }
}

/// Reads a limit of the process; `None` if it is not set or empty.
fn limit(section: &Section<'_>, name: &str) -> Result<Option<u32>, Error> {
    if section.text(name).is_none_or(str::is_empty) {
        return Ok(None);
    }
    let value: f64 = section.value(name, 0.0)?;
    match (1.0..=f64::from(u32::MAX)).contains(&value) {
        true => Ok(Some(value as u32)),
        false => {
            let message = format!("{name} = {value} is out of range; write a number above 0");
            Err(section.error(name, message))
        }
    }
}

/// Reads the keys that prove the sender of a message between gateways; `None` if there are none.
fn peer_keys(section: &Section<'_>) -> Result<Option<Keys>, Error> {
    let previous_key = secret(section, "previous_peer_key")?;
    match secret(section, "peer_key")? {
        Some(key) => Ok(Some(Keys::new(key, previous_key))),
        None if previous_key.is_some() => {
            let message = "previous_peer_key is set without peer_key; add peer_key = …";
            Err(section.error("previous_peer_key", message))
        }
        None => Ok(None),
    }
}

/// Reads how requests with a prompt are placed.
fn placing(section: &Section<'_>) -> Result<Policy, Error> {
    let Some(name) = section.text("placing") else {
        return Ok(Policy::default());
    };
    name.parse()
        .map_err(|err: UnknownPolicy| section.error("placing", format!("placing = {name} {err}")))
}

/// Reads the limits on the requests that a version gets before a roll-out is completed; `None` if they
/// are not set or empty, so that the host carries out no roll-outs.
fn rollout_policy(section: &Section<'_>) -> Result<Option<rollout::Policy>, Error> {
    if section.text("rollout_ratio").is_none_or(str::is_empty) {
        return Ok(None);
    }
    let ratio: f64 = section.value("rollout_ratio", 0.0)?;
    if !(0.0..=1.0).contains(&ratio) {
        let message =
            format!("rollout_ratio = {ratio} is out of range; write a number from 0 to 1");
        return Err(section.error("rollout_ratio", message));
    }
    let has_tolerance = section
        .text("rollout_tolerance")
        .is_some_and(|text| !text.is_empty());
    let tolerance = match has_tolerance {
        true => section.value("rollout_tolerance", 0.0)?,
        false => 0.0,
    };
    Ok(Some(rollout::Policy { ratio, tolerance }))
}

/// Reads the `[platform]` section of a settings file; `None` if the file has none.
///
/// # Errors
/// A setting is missing, unknown or malformed.
pub fn read(file: &File) -> Result<Option<Settings>, Error> {
    let Some(section) = file.section("platform") else {
        return Ok(None);
    };
    section.check_names(SETTINGS)?;
    let address = |name: &str| -> Result<CompactString, Error> {
        let text = section.required(name)?;
        match text.parse::<std::net::SocketAddr>() {
            Ok(_) => Ok(text.into()),
            Err(_) => {
                let message = format!("{name} = {text} is not an address; write IP:PORT");
                Err(section.error(name, message))
            }
        }
    };
    let seconds = |name: &str, default: f64| -> Result<Duration, Error> {
        let value: f64 = section.value(name, default)?;
        Duration::try_from_secs_f64(value).map_err(|_| {
            let message =
                format!("{name} = {value} is not a valid time; write a number of seconds");
            section.error(name, message)
        })
    };
    Ok(Some(Settings {
        name: section.required("name")?.into(),
        failure_domain: section.required("failure_domain")?.into(),
        listen: address("listen")?,
        ready_listen: address("ready_listen")?,
        peers: peer_addresses(&section)?,
        peer_keys: peer_keys(&section)?,
        store: address("store")?,
        drain_limit: seconds("drain_limit_s", 8.0)?,
        link_mbps: link_mbps(&section)?,
        placing: placing(&section)?,
        is_fail_closed: section.flag("fail_closed", false)?,
        revoke_limit: section.millis("revoke_limit_ms", Duration::from_secs(5))?,
        memory_mb: limit(&section, "memory_mb")?,
        max_fds: limit(&section, "max_fds")?,
        retries: retry::Policy {
            ratio: section.value("retry_ratio", 0.1)?,
            slack: section.value("retry_slack", 20.0)?,
            window: seconds("retry_window_s", 10.0)?,
        },
        rollouts: rollout_policy(&section)?,
    }))
}
