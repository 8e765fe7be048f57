//! `bilberrypost serve`

use anyhow::Context;
use clap::ArgMatches;
use compio::net::TcpListener;

use super::Run;
use crate::config::host::Host;
use crate::config::ini::File;
use crate::router;
use crate::supervisor::Signal;

pub(super) struct Serve;

impl Run for Serve {
    async fn run(matches: &ArgMatches, stop: Signal) -> anyhow::Result<()> {
        let path = matches.get_one::<String>("config").expect("required");
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("could not read {path}; check the path"))?;
        let host = Host::from_file(&File::parse(path, &text)?)?;
        let split = router::read_split(&host.split)?;
        let listener = TcpListener::bind(host.listen.as_str())
            .await
            .with_context(|| format!("could not listen on {}; choose a free port", host.listen))?;
        println!("ready kind=router address={}", listener.local_addr()?);
        router::run(listener, host, split, stop).await;
        Ok(())
    }
}
