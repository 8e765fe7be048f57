//! `bilberrypost report`: prints how fast error budgets are used.

use anyhow::Context;
use clap::ArgMatches;

use super::Subcommand;
use crate::report::burn::{self, Burn};
use crate::signals::{Policy, Shutdown};

pub(super) struct Report;

impl Subcommand for Report {
    const SIGNALS: Policy = Policy::Exit;

    async fn run(matches: &ArgMatches, _shutdown: Shutdown) -> anyhow::Result<()> {
        let key = read_key(matches)?;
        let hosts = matches.get_many::<String>("hosts").expect("required");
        let mut reports = Vec::new();
        for host in hosts {
            let report = fetch_report(host, key.as_deref()).await;
            reports.push(report.with_context(|| format!("could not read the report of {host}"))?);
        }
        let burns = burn::merge(reports);
        match matches.get_flag("json") {
            true => println!("{}", serde_json::to_string(&burns)?),
            false => print!("{}", burn::table(&burns)),
        }
        Ok(())
    }
}

fn read_key(matches: &ArgMatches) -> anyhow::Result<Option<String>> {
    let Some(path) = matches.get_one::<String>("admin-key-file") else {
        return Ok(None);
    };
    let key = std::fs::read_to_string(path)
        .with_context(|| format!("could not read {path}; check the path"))?;
    Ok(Some(key.trim().into()))
}

async fn fetch_report(host: &str, key: Option<&str>) -> anyhow::Result<Vec<Burn>> {
    let client = cyper::Client::builder().no_proxy().build()?;
    let mut request = client.get(format!("http://{host}/admin/v1/report"))?;
    if let Some(key) = key {
        request = request.bearer_auth(key)?;
    }
    let response = request.send().await?;
    let status = response.status();
    anyhow::ensure!(
        status.is_success(),
        "the host responded with status {status}; check the administrator's key"
    );
    Ok(response.json().await?)
}
