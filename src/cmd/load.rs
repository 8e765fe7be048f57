//! `bilberrypost load`: generates load and checks the answers.

use std::time::Duration;

use anyhow::Context;
use clap::ArgMatches;

use super::Subcommand;
use crate::error::Error;
use crate::load::tool::{self, Percentiles, Plan, Summary};
use crate::signals::{Policy, Shutdown};

pub(super) struct Load;

impl Subcommand for Load {
    const SIGNALS: Policy = Policy::Stop;

    async fn run(matches: &ArgMatches, shutdown: Shutdown) -> anyhow::Result<()> {
        let summary = tool::run(parse_plan(matches)?, &shutdown.stop).await;
        match matches.get_flag("json") {
            true => println!("{}", serde_json::to_string(&summary)?),
            false => print_summary(&summary),
        }
        if !summary.is_exact() {
            let message = "tokens of an answer are missing, repeated or wrong; see the summary";
            return Err(Error::Refused(message.into()).into());
        }
        Ok(())
    }
}

fn parse_plan(matches: &ArgMatches) -> anyhow::Result<Plan> {
    let text = |name| matches.get_one::<String>(name).expect("has a default");
    let number = |name| *matches.get_one::<u64>(name).expect("has a default");
    let path = text("key-file");
    let key = std::fs::read_to_string(path)
        .with_context(|| format!("could not read {path}; check the path"))?;
    let rate: f64 = text("rate").parse().context("--rate is not a number")?;
    anyhow::ensure!(
        rate > 0.0 && rate.is_finite(),
        "--rate {rate} is out of range; use a number of calls a second above 0"
    );
    Ok(Plan {
        routers: matches
            .get_many::<String>("routers")
            .expect("required")
            .cloned()
            .collect(),
        key: key.trim().into(),
        model: text("model").into(),
        rate,
        duration: Duration::from_secs(number("seconds")),
        prompt_words: number("prompt-words") as u32,
        max_tokens: number("max-tokens") as u32,
        urgent_percent: number("urgent-percent") as u32,
        event_timeout: Duration::from_millis(number("patience-ms")),
        seed: number("seed"),
    })
}

fn print_summary(summary: &Summary) {
    println!(
        "seed {}: {} calls, {} complete, {} refused, {} failed, {} reconnects",
        summary.seed,
        summary.calls,
        summary.complete,
        summary.refused,
        summary.failed,
        summary.reconnects
    );
    println!(
        "{} tokens, {} missing, {} repeated, {} mixed",
        summary.tokens, summary.missing, summary.repeated, summary.mixed
    );
    let print_times = |name: &str, percentiles: &Percentiles| {
        println!(
            "{name}: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
            percentiles.p50_ms, percentiles.p95_ms, percentiles.p99_ms, percentiles.max_ms
        );
    };
    print_times("first token", &summary.first_token);
    print_times("between tokens", &summary.between_tokens);
}
