//! `bilberrypost emulate KIND`: runs an emulator.

use std::time::Duration;

use clap::ArgMatches;

use super::Subcommand;
use crate::emulate::{backend, bind, engine, members, proxy, store};
use crate::signals::{Policy, Shutdown};

pub(super) struct Emulate;

impl Subcommand for Emulate {
    const SIGNALS: Policy = Policy::Stop;

    async fn run(matches: &ArgMatches, shutdown: Shutdown) -> anyhow::Result<()> {
        let stop = shutdown.stop;
        let (kind, matches) = matches.subcommand().expect("required");
        let listener = bind(kind, text(matches, "listen")).await?;
        let seed = number(matches, "seed");
        match kind {
            "engine" => engine::run(listener, engine_config(matches)?, stop).await,
            "store" => {
                let faults = store::Faults {
                    writes_per_s: number(matches, "writes-per-s") as u32,
                    reads_per_s: number(matches, "reads-per-s") as u32,
                    ..store::Faults::default()
                };
                store::run(listener, faults, seed, stop).await;
            }
            "members" => members::run(listener, Vec::new(), millis(matches, "lag-ms"), stop).await,
            "backend" => backend::run(listener, millis(matches, "delay-ms"), stop).await,
            // `proxy`: the parser accepts no other kind.
            _ => {
                let control = bind("proxy-control", text(matches, "control")).await?;
                proxy::run(listener, control, text(matches, "upstream").into(), stop).await;
            }
        }
        Ok(())
    }
}

fn engine_config(matches: &ArgMatches) -> anyhow::Result<engine::Config> {
    Ok(engine::Config {
        name: text(matches, "name").into(),
        failure_domain: text(matches, "failure-domain").into(),
        model: text(matches, "model").into(),
        version: text(matches, "model-version").into(),
        slots: number(matches, "slots") as u32,
        queue_limit: number(matches, "queue") as u32,
        step_base: micros(matches, "step-us"),
        step_per_stream: micros(matches, "step-per-stream-us"),
        prefill_per_token: micros(matches, "prefill-per-token-us"),
        cache_blocks: number(matches, "cache-blocks") as usize,
        status_lag: millis(matches, "status-lag-ms"),
        event_loss: text(matches, "event-loss").parse()?,
        checks_fencing: text(matches, "fencing") == "check",
        load_time: millis(matches, "load-ms"),
        seed: number(matches, "seed"),
    })
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("has a default")
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("has a default")
}

fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(number(matches, name))
}

fn micros(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_micros(number(matches, name))
}
