//! `bilberrypost publish`: publishes, lists, compares and undoes revisions of the settings.

use std::time::{Duration, Instant};

use clap::ArgMatches;

use super::{Subcommand, check};
use crate::clock;
use crate::config::operator::Operator;
use crate::config::publish::{self, Publisher};
use crate::config::revision::{self, Current, Record};
use crate::error::Error;
use crate::signals::{Policy, Shutdown};
use crate::store::objects::Client;

/// Time between two queries of the hosts while waiting for them.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(super) struct Publish;

impl Subcommand for Publish {
    const SIGNALS: Policy = Policy::Exit;

    async fn run(matches: &ArgMatches, _shutdown: Shutdown) -> anyhow::Result<()> {
        let operator = super::read_operator(matches)?;
        let store = store_client(matches, operator.as_ref())?;
        let is_waiting = matches.get_flag("wait");
        if is_waiting && operator.is_none() {
            let message = "--wait needs the key and the list of hosts; add -c FILE";
            return Err(Error::Refused(message.into()).into());
        }
        let record = match matches.subcommand() {
            Some(("history", _)) => return print_history(&store).await,
            Some(("diff", matches)) => return print_diff(&store, matches).await,
            // `undo`: the parser accepts no other subcommand.
            Some((_, undo)) => {
                let old = *undo.get_one::<u64>("revision").expect("required");
                let base = matches.get_one("base").copied();
                publisher(&store, matches)?.undo(old, base).await?
            }
            None => {
                let texts = check::read_files(matches)?;
                let (settings, hosts) = crate::config::check::parse_files(&texts)
                    .map_err(|errors| Error::Refused(errors.to_string()))?;
                if hosts > 0 || texts.is_empty() {
                    let message = "pass files of shared settings and no host files";
                    return Err(Error::Refused(message.into()).into());
                }
                let base = matches.get_one("base").copied();
                publisher(&store, matches)?.publish(&settings, base).await?
            }
        };
        println!(
            "in force revision={} digest={} author={} bytes={}",
            record.revision, record.digest, record.author, record.bytes
        );
        if let (true, Some(operator)) = (is_waiting, operator) {
            return wait_for_hosts(&operator, &record, matches).await;
        }
        Ok(())
    }
}

fn store_client(matches: &ArgMatches, operator: Option<&Operator>) -> Result<Client, Error> {
    let argument = matches.get_one::<String>("store").cloned();
    let url = argument.or_else(|| operator?.store.clone());
    let url = url
        .ok_or_else(|| Error::Refused("the store is not set; add --store http://IP:PORT".into()))?;
    if !url.starts_with("http://") {
        let message = format!("--store {url} is not a URL; write http://IP:PORT");
        return Err(Error::Refused(message));
    }
    Ok(Client::new(&url))
}

fn publisher(
    store: &Client,
    matches: &ArgMatches,
) -> Result<Publisher<Client, clock::System>, Error> {
    let author = matches.get_one::<String>("author");
    let author =
        author.ok_or_else(|| Error::Refused("the author is not set; add --author NAME".into()))?;
    let (store, limit) = (store.clone(), publish::TIMEOUT);
    Ok(Publisher::new(store, clock::System, author, limit))
}

async fn read_current(store: &Client) -> Result<Current, Error> {
    match revision::read_current(store).await {
        Ok(Some((_, current))) => Ok(current),
        Ok(None) => Err(Error::Refused(
            "the store has no published settings; publish some first".into(),
        )),
        Err(err) => Err(Error::Refused(err.to_string())),
    }
}

async fn print_history(store: &Client) -> anyhow::Result<()> {
    for record in read_current(store).await?.records() {
        let undo = record
            .undo_of
            .map_or(String::new(), |revision| format!(" undo_of={revision}"));
        println!(
            "revision={} at_ms={} author={} digest={} bytes={} writer={}{undo}",
            record.revision,
            record.at_ms,
            record.author,
            record.digest,
            record.bytes,
            record.writer
        );
    }
    Ok(())
}

async fn print_diff(store: &Client, matches: &ArgMatches) -> anyhow::Result<()> {
    let number = |name| *matches.get_one::<u64>(name).expect("required");
    let current = read_current(store).await?;
    for line in publish::changes(store, &current, number("from"), number("to")).await? {
        println!("{line}");
    }
    Ok(())
}

/// Waits until every live host reports the revision or a later one.
///
/// # Errors
/// [`Error::Unknown`] if a host does not report it within `--wait-limit`.
async fn wait_for_hosts(
    operator: &Operator,
    record: &Record,
    matches: &ArgMatches,
) -> anyhow::Result<()> {
    let started = Instant::now();
    let limit = Duration::from_secs(*matches.get_one("wait-limit").expect("has a default"));
    loop {
        let hosts = operator.hosts().await;
        let has_revision = |host: &crate::config::operator::HostReport| {
            host.report
                .is_some_and(|report| report.revision >= record.revision)
        };
        if let Ok(hosts) = &hosts
            && !hosts.is_empty()
            && hosts.iter().all(has_revision)
        {
            let elapsed = started.elapsed().as_millis();
            println!("on every live host hosts={} wait_ms={elapsed}", hosts.len());
            return Ok(());
        }
        if started.elapsed() >= limit {
            let missing = match hosts {
                Ok(hosts) => hosts
                    .iter()
                    .filter(|host| !has_revision(host))
                    .map(|host| host.name.to_string())
                    .collect::<Vec<_>>()
                    .join(" "),
                Err(err) => format!("{err:#}"),
            };
            let message = format!(
                "revision {} is in force in the store, but not confirmed by all live hosts: \
                 {missing}; see `bilberrypost status`",
                record.revision
            );
            return Err(Error::Unknown(message).into());
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}
