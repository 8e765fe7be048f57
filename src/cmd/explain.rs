//! `bilberrypost explain`: explains a request from log files.

use clap::ArgMatches;

use super::{Subcommand, check};
use crate::error::Error;
use crate::report::explain::{Line, explain};
use crate::signals::{Policy, Shutdown};

pub(super) struct Explain;

impl Subcommand for Explain {
    const SIGNALS: Policy = Policy::Exit;

    async fn run(matches: &ArgMatches, _shutdown: Shutdown) -> anyhow::Result<()> {
        let id = matches.get_one::<String>("request").expect("required");
        let files = check::read_files(matches)?;
        let lines: Vec<_> = files
            .iter()
            .flat_map(|(file, text)| text.lines().filter_map(|line| Line::parse(file, line)))
            .collect();
        let Some(explanation) = explain(id, &lines) else {
            let message = format!(
                "no log line has request {id}; check the id, and pass the logs of all hosts"
            );
            return Err(Error::Refused(message).into());
        };
        for (after_ms, line) in &explanation.lines {
            println!("{after_ms:>7} ms {} {}", line.host, line.text);
        }
        println!("cause: {}", explanation.cause);
        Ok(())
    }
}
