//! Settings that all hosts share: partners and their shares, teams, callers, models, ranks, routes
//! and services. Operators publish them as revisions. A host file can name files with them in its
//! setting `split`.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sha2::{Digest, Sha256};

use super::ini::{Error, File, Section};
use crate::wire::Rank;

/// The shared settings of one revision, parsed from one or more files.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedSettings {
    /// Partners by name.
    pub partners: BTreeMap<CompactString, Partner>,
    /// Teams by name.
    pub teams: BTreeMap<CompactString, Team>,
    /// Callers by [`key_digest`] of their key.
    pub callers: BTreeMap<CompactString, Caller>,
    /// Models by name.
    pub models: BTreeMap<CompactString, Model>,
    /// Targets by rank; see [`SharedSettings::target`] for ranks that are not set.
    pub ranks: BTreeMap<Rank, Target>,
    /// Routes to backend services by path prefix.
    pub routes: BTreeMap<CompactString, Route>,
    /// Backend services by name.
    #[serde(default)]
    pub services: BTreeMap<CompactString, Service>,
    /// Limits of the store that engines load model weights from.
    #[serde(default)]
    pub weight_store: WeightStore,
}

/// A service of backend servers.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Timeout of calls on routes that do not set their own.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
}

/// Limits of the store that engines load model weights from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightStore {
    /// Maximum number of weight loads per minute, over all engines.
    pub loads_per_minute: u32,
}

impl Default for WeightStore {
    fn default() -> Self {
        Self {
            loads_per_minute: 60,
        }
    }
}

/// An organization that pays for a share of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Partner {
    /// Share of the capacity, relative to the shares of the other partners.
    pub share: u32,
    /// Share of the cost, relative to the cost shares of the other partners.
    pub cost_share: u32,
}

/// A team of a partner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Partner that the team belongs to.
    pub partner: CompactString,
    /// Weight relative to the other teams of the partner.
    pub weight: u32,
}

/// A caller, identified by its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Caller {
    /// Name for logs and metrics.
    pub name: CompactString,
    /// Team that the caller belongs to.
    pub team: CompactString,
    /// Rank of requests that do not set one.
    pub rank: Rank,
    /// Whether its requests may ask for the rank `urgent`.
    pub may_be_urgent: bool,
}

/// A model that engines serve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Version that new requests use.
    pub version: CompactString,
    /// Adapters that each engine of the model loads.
    pub adapters: Vec<CompactString>,
    /// Maximum length of a prompt in bytes.
    pub max_prompt_bytes: usize,
    /// Maximum number of output tokens of a request.
    pub max_tokens: u32,
    /// Percentage of the engines that must keep serving while a version is rolled out.
    pub min_serving_percent: u32,
}

/// Latency targets and queue limits of a rank.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Target for the time to the first token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token: Duration,
    /// Target for the time between two tokens.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub between_tokens: Duration,
    /// Maximum time in the queue; work that waits, or would have to wait, longer is
    /// refused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub queue_limit: Duration,
    /// Minimum percentage of the work that the rank gets.
    pub floor_percent: u32,
}

/// A route to a backend service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Service whose backend servers receive the calls.
    pub service: CompactString,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Timeout of a call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
}

/// Timeout of a call if neither the route nor its service sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

impl Target {
    /// Returns the targets of a rank that the settings do not set.
    pub fn default_for(rank: Rank) -> Self {
        match rank {
            Rank::Urgent => Self {
                first_token: Duration::from_millis(640),
                between_tokens: Duration::from_millis(41),
                queue_limit: Duration::from_secs(10),
                floor_percent: 0,
            },
            Rank::Routine => Self {
                first_token: Duration::from_secs(5),
                between_tokens: Duration::from_millis(100),
                queue_limit: Duration::from_secs(60),
                floor_percent: 10,
            },
        }
    }
}

/// Returns the hex SHA-256 of a caller's key; the settings contain only this digest.
pub fn key_digest(key: &str) -> CompactString {
    let digest = Sha256::digest(key.as_bytes());
    digest
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect::<String>()
        .into()
}

impl SharedSettings {
    /// Builds the shared settings from parsed files.
    ///
    /// # Errors
    /// The first error: an unknown section, a section in two files, a malformed setting, or a name
    /// that no section defines.
    pub fn from_files(files: &[File]) -> Result<Self, Error> {
        let (settings, mut errors) = Self::collect(files);
        match errors.is_empty() {
            true => Ok(settings),
            false => Err(errors.remove(0)),
        }
    }

    /// Builds the shared settings from parsed files. Returns them with all errors; they are
    /// complete only if there are none.
    pub(super) fn collect(files: &[File]) -> (Self, Vec<Error>) {
        let mut settings = Self::default();
        let sections = || files.iter().flat_map(File::sections);
        let mut errors: Vec<_> = sections()
            .filter_map(|section| settings.add_section(&section).err())
            .collect();
        settings.inherit_timeouts(sections());
        if errors.is_empty() {
            errors
                .extend(sections().filter_map(|section| settings.check_references(&section).err()));
        }
        (settings, errors)
    }

    /// Returns the targets of a rank, or its defaults if it is not set.
    pub fn target(&self, rank: Rank) -> Target {
        let target = self.ranks.get(&rank).copied();
        target.unwrap_or_else(|| Target::default_for(rank))
    }

    /// Returns the caller with this key.
    pub fn caller(&self, key: &str) -> Option<&Caller> {
        self.callers.get(&key_digest(key))
    }

    /// Returns the route with the longest prefix of `path`, compared by whole path segments.
    pub fn route(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|(prefix, _)| {
            let rest = path.strip_prefix(prefix.as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        });
        matching
            .max_by_key(|(prefix, _)| prefix.len())
            .map(|(_, route)| route)
    }

    fn add_section(&mut self, section: &Section<'_>) -> Result<(), Error> {
        if section.title == "weight-store" {
            self.weight_store = weight_store(section)?;
            return Ok(());
        }
        let (kind, name) = section.kind_and_name();
        let name = CompactString::from(name);
        if name.is_empty() {
            let message = format!("[{kind}] is missing a name; write [{kind} NAME]");
            return Err(section.error("", message));
        }
        let is_new = match kind {
            "partner" => insert(&mut self.partners, name, partner(section)?),
            "team" => insert(&mut self.teams, name, team(section)?),
            "caller" => {
                let (digest, caller) = caller(section, name)?;
                if let Some(other) = self.callers.get(&digest)
                    && other.name != caller.name
                {
                    let message =
                        format!("caller {} has the same key; use another key", other.name);
                    return Err(section.error("key_sha256", message));
                }
                insert(&mut self.callers, digest, caller)
            }
            "model" => insert(&mut self.models, name, model(section)?),
            "rank" => insert(
                &mut self.ranks,
                rank(section, &name)?,
                target(section, &name)?,
            ),
            "route" => insert(&mut self.routes, name, route(section)?),
            "service" => insert(&mut self.services, name, service(section)?),
            _ => {
                let message = format!(
                    "section [{kind} …] is not supported; use partner, team, caller, model, rank, route, \
                     service or weight-store"
                );
                return Err(section.error("", message));
            }
        };
        if !is_new {
            let message = format!("[{}] is given twice; keep it in one file", section.title);
            return Err(section.error("", message));
        }
        Ok(())
    }

    /// Sets the timeout of routes that have none to that of their service.
    fn inherit_timeouts<'a>(&mut self, sections: impl Iterator<Item = Section<'a>>) {
        for section in sections.filter(|section| section.text("timeout_ms").is_none()) {
            let (kind, name) = section.kind_and_name();
            if kind == "route"
                && let Some(route) = self.routes.get_mut(name)
                && let Some(service) = self.services.get(&route.service)
            {
                route.timeout = service.timeout;
            }
        }
    }

    fn check_references(&self, section: &Section<'_>) -> Result<(), Error> {
        let (kind, _) = section.kind_and_name();
        if kind == "team" {
            let partner = section.required("partner")?;
            if !self.partners.contains_key(partner) {
                let message = format!("partner {partner} is not defined; add [partner {partner}]");
                return Err(section.error("partner", message));
            }
        }
        if kind == "caller" {
            let team = section.required("team")?;
            if !self.teams.contains_key(team) {
                let message = format!("team {team} is not defined; add [team {team}]");
                return Err(section.error("team", message));
            }
        }
        Ok(())
    }
}

/// Inserts a value and returns whether the key was new.
fn insert<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, value: V) -> bool {
    map.insert(key, value).is_none()
}

fn positive(section: &Section<'_>, name: &str, default: u32) -> Result<u32, Error> {
    let value = section.value(name, default)?;
    if value == 0 {
        return Err(section.error(name, format!("{name} = 0 is not valid; set at least 1")));
    }
    Ok(value)
}

fn percent(section: &Section<'_>, name: &str, default: u32) -> Result<u32, Error> {
    let value = section.value(name, default)?;
    if value > 100 {
        let message = format!("{name} = {value} is not a percentage; set 0 to 100");
        return Err(section.error(name, message));
    }
    Ok(value)
}

fn partner(section: &Section<'_>) -> Result<Partner, Error> {
    section.check_names(&["share", "cost_share"])?;
    section.required("share")?;
    let share = positive(section, "share", 1)?;
    Ok(Partner {
        share,
        cost_share: positive(section, "cost_share", share)?,
    })
}

fn team(section: &Section<'_>) -> Result<Team, Error> {
    section.check_names(&["partner", "weight"])?;
    Ok(Team {
        partner: section.required("partner")?.into(),
        weight: positive(section, "weight", 1)?,
    })
}

fn caller(section: &Section<'_>, name: CompactString) -> Result<(CompactString, Caller), Error> {
    section.check_names(&["team", "key_sha256", "rank", "may_be_urgent"])?;
    let digest = section.required("key_sha256")?;
    if digest.len() != 64 || !digest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        let message =
            "key_sha256 is not a SHA-256 in hex; set the 64 hex digits of the key's digest";
        return Err(section.error("key_sha256", message));
    }
    let rank = match section.text("rank") {
        Some(text) => rank(section, text)?,
        None => Rank::Routine,
    };
    let caller = Caller {
        name,
        team: section.required("team")?.into(),
        rank,
        may_be_urgent: section.flag("may_be_urgent", rank == Rank::Urgent)?,
    };
    Ok((digest.to_ascii_lowercase().into(), caller))
}

fn model(section: &Section<'_>) -> Result<Model, Error> {
    section.check_names(&[
        "version",
        "adapters",
        "max_prompt_bytes",
        "max_tokens",
        "min_serving_percent",
    ])?;
    Ok(Model {
        version: section.required("version")?.into(),
        adapters: section.words("adapters"),
        max_prompt_bytes: section.value("max_prompt_bytes", 256 * 1024)?,
        max_tokens: positive(section, "max_tokens", 8192)?,
        min_serving_percent: percent(section, "min_serving_percent", 75)?,
    })
}

fn service(section: &Section<'_>) -> Result<Service, Error> {
    section.check_names(&["timeout_ms"])?;
    Ok(Service {
        timeout: section.millis("timeout_ms", DEFAULT_TIMEOUT)?,
    })
}

fn weight_store(section: &Section<'_>) -> Result<WeightStore, Error> {
    section.check_names(&["loads_per_minute"])?;
    let default = WeightStore::default().loads_per_minute;
    Ok(WeightStore {
        loads_per_minute: positive(section, "loads_per_minute", default)?,
    })
}

fn rank(section: &Section<'_>, name: &str) -> Result<Rank, Error> {
    match name {
        "urgent" => Ok(Rank::Urgent),
        "routine" => Ok(Rank::Routine),
        _ => {
            let message = format!("rank {name} is not supported; use urgent or routine");
            Err(section.error("rank", message))
        }
    }
}

fn target(section: &Section<'_>, name: &str) -> Result<Target, Error> {
    section.check_names(&[
        "first_token_ms",
        "between_tokens_ms",
        "queue_limit_ms",
        "floor_percent",
    ])?;
    let default = Target::default_for(rank(section, name)?);
    Ok(Target {
        first_token: section.millis("first_token_ms", default.first_token)?,
        between_tokens: section.millis("between_tokens_ms", default.between_tokens)?,
        queue_limit: section.millis("queue_limit_ms", default.queue_limit)?,
        floor_percent: percent(section, "floor_percent", default.floor_percent)?,
    })
}

fn route(section: &Section<'_>) -> Result<Route, Error> {
    section.check_names(&["service", "idempotent", "timeout_ms"])?;
    section.required("idempotent")?;
    Ok(Route {
        service: section.required("service")?.into(),
        idempotent: section.flag("idempotent", false)?,
        timeout: section.millis("timeout_ms", DEFAULT_TIMEOUT)?,
    })
}

#[cfg(test)]
mod tests;
