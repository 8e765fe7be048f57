//! `bilberrypost check`

use anyhow::Context;
use clap::ArgMatches;

use super::Run;
use crate::config::check;
use crate::error::Error;
use crate::supervisor::Signal;

pub(super) struct Check;

impl Run for Check {
    async fn run(matches: &ArgMatches, _stop: Signal) -> anyhow::Result<()> {
        let texts = read(matches)?;
        let (split, hosts) =
            check::parse_files(&texts).map_err(|errors| Error::Refused(errors.to_string()))?;
        println!(
            "ok partners={} teams={} callers={} models={} routes={} services={} hosts={hosts}",
            split.partners.len(),
            split.teams.len(),
            split.callers.len(),
            split.models.len(),
            split.routes.len(),
            split.services.len(),
        );
        Ok(())
    }
}

/// Reads the files of the argument `files`, with their names.
pub(super) fn read(matches: &ArgMatches) -> anyhow::Result<Vec<(String, String)>> {
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
