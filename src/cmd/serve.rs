//! `bilberrypost serve`: runs a router.

use anyhow::Context;
use clap::ArgMatches;

use super::Subcommand;
use crate::config::host::Host;
use crate::config::ini::File;
use crate::gateway::process;
use crate::platform;
use crate::report::output;
use crate::router::{self, Sockets};
use crate::signals::{Policy, Shutdown};

pub(super) struct Serve;

impl Subcommand for Serve {
    const SIGNALS: Policy = Policy::Serve;

    async fn run(matches: &ArgMatches, shutdown: Shutdown) -> anyhow::Result<()> {
        let path = matches.get_one::<String>("config").expect("required");
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("could not read {path}; check the path"))?;
        let file = File::parse(path, &text)?;
        if let Some(settings) = platform::settings::read(&file)? {
            let log = output::start()?;
            let store = platform::store::Store::new(&settings.store);
            let result =
                process::run::<platform::Platform, _>(settings, store, shutdown.stop).await;
            log.flush();
            return result;
        }
        super::start_log(matches);
        let host = Host::from_file(&file)?;
        let shared_settings = match host.settings_files.is_empty() {
            true => None,
            false => Some(router::read_shared_settings(&host.settings_files)?),
        };
        let sockets = Sockets::bind(&host).await?;
        println!(
            "ready kind=router peer_address={} address={}",
            sockets.peers.local_addr()?,
            sockets.callers.local_addr()?
        );
        router::run(sockets, host, shared_settings, shutdown).await
    }
}
