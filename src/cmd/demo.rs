//! `bilberrypost demo`

use std::time::Duration;

use clap::ArgMatches;
use compact_str::{CompactString, format_compact};
use compio::net::TcpListener;

use super::Run;
use crate::config::host::Host;
use crate::config::ini::File;
use crate::config::split::{Split, key_digest};
use crate::emulate::{backend, engine, members, store};
use crate::router::{self, Sockets};
use crate::supervisor::{Signal, Supervisor};
use crate::wire::{Kind, Listing, Member};

const LOCAL: &str = "127.0.0.1:0";

const KEY: &str = "demo-key";

pub(super) struct Demo;

impl Run for Demo {
    async fn run(matches: &ArgMatches, stop: Signal) -> anyhow::Result<()> {
        let listen = matches.get_one::<String>("listen").expect("has a default");
        let platform = Supervisor::new();
        let (store, members) = start_platform(&platform).await?;
        let host = format!(
            "[host]\nname = demo\nfailure_domain = fd-a\nlisten = {listen}\n\
             peer_listen = {LOCAL}\nstore = http://{store}\nmembers = http://{members}\n\
             key = demo-key-between-routers\n"
        );
        let host = Host::from_file(&File::parse("demo host", &host)?)?;
        let split = Split::from_files(&[File::parse("demo split", &split())?])?;
        let sockets = Sockets::bind(&host).await?;
        let address = sockets.callers.local_addr()?;
        println!("The router listens on {address}. Try:\n");
        println!(
            "curl -N http://{address}/v1/completions -H 'Authorization: Bearer {KEY}' \
             -d '{{\"model\":\"atlas\",\"prompt\":\"Sky notes:\",\"max_tokens\":20,\"stream\":true}}'"
        );
        router::run(sockets, host, Some(split), stop).await?;
        platform.stop().await;
        Ok(())
    }
}

fn split() -> String {
    format!(
        "[partner nubeatlas]\nshare = 60\n[partner niederbach]\nshare = 40\n\
         [team drafts]\npartner = nubeatlas\n[caller demo]\nteam = drafts\nrank = urgent\n\
         key_sha256 = {}\n[model atlas]\nversion = 1\n\
         [service booking]\n[route /lanes/reserve]\nservice = booking\nidempotent = no\n",
        key_digest(KEY)
    )
}

/// Starts the emulated platform; returns the addresses of store and membership list.
async fn start_platform(platform: &Supervisor) -> anyhow::Result<(String, String)> {
    let mut listed = Vec::new();
    for number in 1..=3 {
        let listener = TcpListener::bind(LOCAL).await?;
        let config = engine::Config {
            name: format_compact!("engine-{number}"),
            ..engine::Config::default()
        };
        let address = format_compact!("{}", listener.local_addr()?);
        listed.push(member(&config.name, Kind::Engine, address, "atlas"));
        let task = engine::run(listener, config, platform.stop_signal());
        platform.spawn("engine", task);
    }
    let listener = TcpListener::bind(LOCAL).await?;
    let address = format_compact!("{}", listener.local_addr()?);
    listed.push(member("booking-1", Kind::Backend, address, "booking"));
    let delay = Duration::from_millis(2);
    platform.spawn(
        "backend",
        backend::run(listener, delay, platform.stop_signal()),
    );

    let listener = TcpListener::bind(LOCAL).await?;
    let store_address = listener.local_addr()?.to_string();
    let faults = store::Faults::default();
    platform.spawn(
        "store",
        store::run(listener, faults, 1, platform.stop_signal()),
    );

    let listener = TcpListener::bind(LOCAL).await?;
    let members_address = listener.local_addr()?.to_string();
    let list = members::run(listener, listed, Duration::ZERO, platform.stop_signal());
    platform.spawn("members", list);
    Ok((store_address, members_address))
}

fn member(name: &str, kind: Kind, address: CompactString, service: &str) -> Member {
    Member {
        name: name.into(),
        kind,
        address,
        peer_address: None,
        failure_domain: "fd-a".into(),
        region: "default".into(),
        state: Listing::Live,
        service: service.into(),
    }
}
