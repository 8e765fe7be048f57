//! `bilberrypost status`: prints the revision of each live host.

use clap::ArgMatches;

use super::Subcommand;
use crate::error::Error;
use crate::signals::{Policy, Shutdown};

pub(super) struct Status;

impl Subcommand for Status {
    const SIGNALS: Policy = Policy::Exit;

    async fn run(matches: &ArgMatches, _shutdown: Shutdown) -> anyhow::Result<()> {
        let operator = super::read_operator(matches)?
            .ok_or_else(|| Error::Refused("the settings are not given; add -c FILE".into()))?;
        let hosts = operator.hosts().await?;
        for host in &hosts {
            let report = match host.report {
                Some(report) => format!("revision={} ready={}", report.revision, report.ready),
                None => "revision=unknown ready=unknown".into(),
            };
            let (name, domain) = (&host.name, &host.failure_domain);
            println!("host={name} failure_domain={domain} {report}");
        }
        if hosts.iter().any(|host| host.report.is_none()) {
            let message = "a host did not answer; check that it runs and has the same key";
            return Err(Error::Unknown(message.into()).into());
        }
        Ok(())
    }
}
