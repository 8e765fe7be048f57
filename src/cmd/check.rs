//! `bilberrypost check`: checks settings files.

use anyhow::Context;
use clap::ArgMatches;

use super::Subcommand;
use crate::config::check;
use crate::error::Error;
use crate::signals::{Policy, Shutdown};

pub(super) struct Check;

impl Subcommand for Check {
    const SIGNALS: Policy = Policy::Exit;

    async fn run(matches: &ArgMatches, _shutdown: Shutdown) -> anyhow::Result<()> {
        let texts = read_files(matches)?;
        let (settings, hosts) =
            check::parse_files(&texts).map_err(|errors| Error::Refused(errors.to_string()))?;
        println!(
            "ok partners={} teams={} callers={} models={} routes={} services={} hosts={hosts}",
            settings.partners.len(),
            settings.teams.len(),
            settings.callers.len(),
            settings.models.len(),
            settings.routes.len(),
            settings.services.len(),
        );
        Ok(())
    }
}

/// Reads the files of the argument `files`; returns path and text of each.
pub(super) fn read_files(matches: &ArgMatches) -> anyhow::Result<Vec<(String, String)>> {
    let paths = matches.get_many::<String>("files").unwrap_or_default();
    paths
        .map(|path| {
            let text = std::fs::read_to_string(path)
                .map_err(|err| Error::Refused(err.to_string()))
                .with_context(|| format!("could not read {path}; check the path"))?;
            Ok((path.clone(), text))
        })
        .collect()
}
