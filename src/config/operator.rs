//! Settings of a publisher or administrator, and its calls to routers.

use std::time::Duration;

use compact_str::CompactString;
use cyper::Client;
use serde::Deserialize;

use super::host::{self, Secret};
use super::ini::{Error, File};
use crate::clock;
use crate::peer;
use crate::peer::auth::Authenticator;
use crate::util::within;
use crate::wire::{Kind, Lifecycle, Member};

/// Longest time for one call to a router.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// What a router says of its revision.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Report {
    /// Revision in force, 0 for none.
    pub revision: u64,
    /// Whether the host has settings to serve with.
    pub ready: bool,
}

/// A router and what it reported, `None` if it did not answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Name, or address if the name is not known.
    pub name: CompactString,
    /// Failure domain, empty if not known.
    pub failure_domain: CompactString,
    /// What it reported.
    pub report: Option<Report>,
}

/// Settings from an `[operator]` section, or from the `[host]` section of a router's file.
#[derive(Clone, Debug)]
pub struct Operator {
    /// URL of the store.
    pub store: Option<String>,
    members: Option<String>,
    seeds: Vec<CompactString>,
    key: Secret,
}

impl Operator {
    /// Reads the settings.
    ///
    /// # Errors
    /// A setting is missing, unknown or malformed.
    pub fn from_file(file: &File) -> Result<Self, Error> {
        if file.section("host").is_some() {
            let host = host::Host::from_file(file)?;
            return Ok(Self {
                store: host.store,
                members: host.members,
                seeds: host.seeds,
                key: host.key,
            });
        }
        let section = file.section("operator").ok_or_else(|| {
            file.error(
                1,
                "no [operator] section; add one with key, and members or seeds",
            )
        })?;
        section.check_names(&["store", "members", "seeds", "key"])?;
        let key = host::secret(&section, "key")?;
        Ok(Self {
            store: host::url(&section, "store")?,
            members: host::url(&section, "members")?,
            seeds: section.words("seeds"),
            key: key.ok_or_else(|| section.error("key", "[operator] lacks key; add key = …"))?,
        })
    }

    /// Asks every live router for its revision.
    ///
    /// # Errors
    /// The membership list cannot be read.
    pub async fn hosts(&self) -> anyhow::Result<Vec<Host>> {
        let auth = Authenticator::new(clock::System, self.key.clone(), None);
        let peer = peer::client::Client::new("operator".into(), 0, auth);
        let calls = self.routers().await?.into_iter().map(|router| {
            let peer = peer.clone();
            async move {
                let address = router.peer_address.unwrap_or_default();
                let answer = peer
                    .call(&address, "config.revision", &(), CALL_LIMIT)
                    .await;
                if let Err(err) = &answer {
                    log::info!("event=host_silent host={} error={err:?}", router.name);
                }
                Host {
                    name: router.name,
                    failure_domain: router.failure_domain,
                    report: answer.ok(),
                }
            }
        });
        Ok(futures_util::future::join_all(calls).await)
    }

    async fn routers(&self) -> anyhow::Result<Vec<Member>> {
        let Some(url) = &self.members else {
            return Ok(self.seeds.iter().map(seed).collect());
        };
        let client = Client::builder().no_proxy().build()?;
        let read = async {
            let response = client.get(format!("{url}/v1/members"))?.send().await?;
            anyhow::ensure!(
                response.status().is_success(),
                "status {}",
                response.status()
            );
            Ok(response.json::<Vec<Member>>().await?)
        };
        let members = within(CALL_LIMIT, read)
            .await
            .unwrap_or_else(|| Err(anyhow::anyhow!("no answer")));
        match members {
            Ok(mut members) => {
                members.retain(|member| {
                    member.kind == Kind::Router && member.state == Lifecycle::Live
                });
                Ok(members)
            }
            Err(_) if !self.seeds.is_empty() => Ok(self.seeds.iter().map(seed).collect()),
            Err(err) => Err(err.context(format!(
                "could not read the membership list at {url}; check it, or set seeds"
            ))),
        }
    }
}

fn seed(address: &CompactString) -> Member {
    Member {
        name: address.clone(),
        kind: Kind::Router,
        address: CompactString::default(),
        peer_address: Some(address.clone()),
        failure_domain: CompactString::default(),
        region: CompactString::default(),
        state: Lifecycle::Live,
        service: CompactString::default(),
    }
}
