//! `bilberrypost demo`: runs a router and everything that it needs in one process.

use std::time::Duration;

use clap::ArgMatches;
use compact_str::{CompactString, format_compact};
use compio::net::TcpListener;

use super::Subcommand;
use crate::config::host::Host;
use crate::config::ini::File;
use crate::config::split::{SharedSettings, key_digest};
use crate::emulate::{backend, engine, members, store};
use crate::router::{self, Sockets};
use crate::signals::{Policy, Shutdown};
use crate::supervisor::Supervisor;
use crate::wire::{Kind, Lifecycle, Member};

/// Listens on a free loopback port.
const ANY_PORT: &str = "127.0.0.1:0";

const CALLER_KEY: &str = "demo-key";

pub(super) struct Demo;

impl Subcommand for Demo {
    const SIGNALS: Policy = Policy::Stop;

    async fn run(matches: &ArgMatches, shutdown: Shutdown) -> anyhow::Result<()> {
        let listen = matches.get_one::<String>("listen").expect("has a default");
        let emulators = Supervisor::new();
        let (store, members) = start_emulators(&emulators).await?;
        let host = format!(
            "[host]\nname = demo\nfailure_domain = fd-a\nlisten = {listen}\n\
             peer_listen = {ANY_PORT}\nstore = http://{store}\nmembers = http://{members}\n\
             key = demo-key-between-routers\n"
        );
        let host = Host::from_file(&File::parse("demo host", &host)?)?;
        let settings =
            SharedSettings::from_files(&[File::parse("demo settings", &shared_settings())?])?;
        let sockets = Sockets::bind(&host).await?;
        let address = sockets.callers.local_addr()?;
        println!("The router listens on {address}. Try:\n");
        println!(
            "curl -N http://{address}/v1/completions -H 'Authorization: Bearer {CALLER_KEY}' \
             -d '{{\"model\":\"atlas\",\"prompt\":\"Sky notes:\",\"max_tokens\":20,\"stream\":true}}'"
        );
        router::run(sockets, host, Some(settings), shutdown).await?;
        emulators.stop().await;
        Ok(())
    }
}

fn shared_settings() -> String {
    format!(
        "[partner nubeatlas]\nshare = 60\n[partner niederbach]\nshare = 40\n\
         [team drafts]\npartner = nubeatlas\n[caller demo]\nteam = drafts\nrank = urgent\n\
         key_sha256 = {}\n[model atlas]\nversion = 1\n\
         [service booking]\n[route /lanes/reserve]\nservice = booking\nidempotent = no\n",
        key_digest(CALLER_KEY)
    )
}

/// Starts emulated engines, a backend server, a store and a membership list. Returns the addresses
/// of the store and the membership list.
async fn start_emulators(emulators: &Supervisor) -> anyhow::Result<(String, String)> {
    let mut members = Vec::new();
    for number in 1..=3 {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let config = engine::Config {
            name: format_compact!("engine-{number}"),
            ..engine::Config::default()
        };
        let address = format_compact!("{}", listener.local_addr()?);
        members.push(member(&config.name, Kind::Engine, address, "atlas"));
        let task = engine::run(listener, config, emulators.stop_signal());
        emulators.spawn("engine", task);
    }
    let listener = TcpListener::bind(ANY_PORT).await?;
    let address = format_compact!("{}", listener.local_addr()?);
    members.push(member("booking-1", Kind::Backend, address, "booking"));
    let delay = Duration::from_millis(2);
    emulators.spawn(
        "backend",
        backend::run(listener, delay, emulators.stop_signal()),
    );

    let listener = TcpListener::bind(ANY_PORT).await?;
    let store_address = listener.local_addr()?.to_string();
    let faults = store::Faults::default();
    emulators.spawn(
        "store",
        store::run(listener, faults, 1, emulators.stop_signal()),
    );

    let listener = TcpListener::bind(ANY_PORT).await?;
    let members_address = listener.local_addr()?.to_string();
    let task = members::run(listener, members, Duration::ZERO, emulators.stop_signal());
    emulators.spawn("members", task);
    Ok((store_address, members_address))
}

/// Returns an entry of the membership list. `service` is the model of an engine.
fn member(name: &str, kind: Kind, address: CompactString, service: &str) -> Member {
    Member {
        name: name.into(),
        kind,
        address,
        peer_address: None,
        failure_domain: "fd-a".into(),
        region: "default".into(),
        state: Lifecycle::Live,
        service: service.into(),
    }
}
