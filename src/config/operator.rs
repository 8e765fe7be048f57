//! Settings of the command line tools that operators run, and their calls to routers.

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

/// Timeout of one call to a router or to the membership list.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Reply of a router to `config.revision`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct RevisionReport {
    /// Published revision in force; 0 for settings from local files or for none.
    pub revision: u64,
    /// Whether the host has shared settings and can serve.
    pub ready: bool,
}

/// A router and its reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostReport {
    /// Name of the host, or its peer address if the name is not known.
    pub name: CompactString,
    /// Failure domain; empty if not known.
    pub failure_domain: CompactString,
    /// Reply, or `None` if the router did not answer.
    pub report: Option<RevisionReport>,
}

/// Settings of an operator's tool, from an `[operator]` section or a router's `[host]` section.
#[derive(Clone, Debug)]
pub struct Operator {
    /// URL of the store, if set.
    pub store: Option<String>,
    members: Option<String>,
    seeds: Vec<CompactString>,
    key: Secret,
}

impl Operator {
    /// Reads the settings from the `[host]` section, or else from the `[operator]` section.
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
            key: key
                .ok_or_else(|| section.error("key", "[operator] is missing key; add key = …"))?,
        })
    }

    /// Asks all live routers for their revision, concurrently.
    ///
    /// # Errors
    /// The membership list cannot be read and no seeds are set.
    pub async fn hosts(&self) -> anyhow::Result<Vec<HostReport>> {
        let auth = Authenticator::new(clock::System, self.key.clone(), None);
        let peer = peer::client::Client::new("operator".into(), 0, auth);
        let calls = self.routers().await?.into_iter().map(|router| {
            let peer = peer.clone();
            async move {
                let address = router.peer_address.unwrap_or_default();
                let answer = peer
                    .call(&address, "config.revision", &(), CALL_TIMEOUT)
                    .await;
                if let Err(err) = &answer {
                    log::info!("event=host_silent host={} error={err:?}", router.name);
                }
                HostReport {
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
            return Ok(self.seeds.iter().map(seed_member).collect());
        };
        let client = Client::builder().no_proxy().build()?;
        let request = async {
            let response = client.get(format!("{url}/v1/members"))?.send().await?;
            anyhow::ensure!(
                response.status().is_success(),
                "HTTP status {}",
                response.status()
            );
            Ok(response.json::<Vec<Member>>().await?)
        };
        let members = within(CALL_TIMEOUT, request).await.unwrap_or_else(|| {
            Err(anyhow::anyhow!(
                "no answer in {} ms",
                CALL_TIMEOUT.as_millis()
            ))
        });
        match members {
            Ok(mut members) => {
                members.retain(|member| {
                    member.kind == Kind::Router && member.state == Lifecycle::Live
                });
                Ok(members)
            }
            Err(_) if !self.seeds.is_empty() => Ok(self.seeds.iter().map(seed_member).collect()),
            Err(err) => Err(err.context(format!(
                "could not read the membership list at {url}; check the URL, or set seeds"
            ))),
        }
    }
}

/// Returns a member of which only the peer address is known.
fn seed_member(address: &CompactString) -> Member {
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
