//! `bilberrypost publish`

use std::time::{Duration, Instant};

use clap::ArgMatches;

use super::{Run, check};
use crate::clock;
use crate::config::operator::Operator;
use crate::config::publish::{self, Publisher};
use crate::config::revision::{self, Current, Record};
use crate::error::Error;
use crate::store::objects::Client;
use crate::supervisor::Signal;

/// Time between two looks at the hosts while waiting for them.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

pub(super) struct Publish;

impl Run for Publish {
    async fn run(matches: &ArgMatches, _stop: Signal) -> anyhow::Result<()> {
        let operator = super::operator(matches)?;
        let store = store(matches, operator.as_ref())?;
        let waits = matches.get_flag("wait");
        if waits && operator.is_none() {
            let what = "--wait needs the key and the list of hosts; add -c FILE";
            return Err(Error::Refused(what.into()).into());
        }
        let record = match matches.subcommand() {
            Some(("history", _)) => return history(&store).await,
            Some(("diff", matches)) => return diff(&store, matches).await,
            Some((_, sub)) => {
                let old = *sub.get_one::<u64>("revision").expect("required");
                let base = matches.get_one("base").copied();
                publisher(&store, matches)?.undo(old, base).await?
            }
            None => {
                let texts = check::read(matches)?;
                let (split, hosts) = crate::config::check::parse_files(&texts)
                    .map_err(|errors| Error::Refused(errors.to_string()))?;
                if hosts > 0 || texts.is_empty() {
                    let what = "give the files of the split, without host files";
                    return Err(Error::Refused(what.into()).into());
                }
                let base = matches.get_one("base").copied();
                publisher(&store, matches)?.publish(&split, base).await?
            }
        };
        println!(
            "in force revision={} digest={} author={} bytes={}",
            record.revision, record.digest, record.author, record.bytes
        );
        if let (true, Some(operator)) = (waits, operator) {
            return wait(&operator, &record, matches).await;
        }
        Ok(())
    }
}

fn store(matches: &ArgMatches, operator: Option<&Operator>) -> Result<Client, Error> {
    let given = matches.get_one::<String>("store").cloned();
    let url = given.or_else(|| operator?.store.clone());
    let url = url.ok_or_else(|| Error::Refused("no store; add --store http://IP:PORT".into()))?;
    if !url.starts_with("http://") {
        let what = format!("--store {url} is not a URL; write http://IP:PORT");
        return Err(Error::Refused(what));
    }
    Ok(Client::new(&url))
}

fn publisher(
    store: &Client,
    matches: &ArgMatches,
) -> Result<Publisher<Client, clock::System>, Error> {
    let author = matches.get_one::<String>("author");
    let author = author.ok_or_else(|| Error::Refused("no author; add --author NAME".into()))?;
    let (store, limit) = (store.clone(), publish::TIMEOUT);
    Ok(Publisher::new(store, clock::System, author, limit))
}

async fn current(store: &Client) -> Result<Current, Error> {
    match revision::read_current(store).await {
        Ok(Some((_, current))) => Ok(current),
        Ok(None) => Err(Error::Refused("nothing was published yet".into())),
        Err(err) => Err(Error::Refused(err.to_string())),
    }
}

async fn history(store: &Client) -> anyhow::Result<()> {
    for record in current(store).await?.records() {
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

async fn diff(store: &Client, matches: &ArgMatches) -> anyhow::Result<()> {
    let number = |name| *matches.get_one::<u64>(name).expect("required");
    let current = current(store).await?;
    for line in publish::changes(store, &current, number("from"), number("to")).await? {
        println!("{line}");
    }
    Ok(())
}

/// Waits until every live host reports the revision or a later one.
async fn wait(operator: &Operator, record: &Record, matches: &ArgMatches) -> anyhow::Result<()> {
    let started = Instant::now();
    let limit = Duration::from_secs(*matches.get_one("wait-limit").expect("has a default"));
    loop {
        let hosts = operator.hosts().await;
        let has = |host: &crate::config::operator::HostReport| {
            host.report
                .is_some_and(|report| report.revision >= record.revision)
        };
        if let Ok(hosts) = &hosts
            && !hosts.is_empty()
            && hosts.iter().all(has)
        {
            let elapsed = started.elapsed().as_millis();
            println!("on every live host hosts={} wait_ms={elapsed}", hosts.len());
            return Ok(());
        }
        if started.elapsed() >= limit {
            let lacking = match hosts {
                Ok(hosts) => hosts
                    .iter()
                    .filter(|host| !has(host))
                    .map(|host| host.name.to_string())
                    .collect::<Vec<_>>()
                    .join(" "),
                Err(err) => format!("{err:#}"),
            };
            let what = format!(
                "revision {} is in force in the store, but not seen on: {lacking}; see \
                 `bilberrypost status`",
                record.revision
            );
            return Err(Error::Unknown(what).into());
        }
        compio::time::sleep(LOOK_PERIOD).await;
    }
}
