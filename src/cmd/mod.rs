//! The command line: one module per subcommand.

mod args;
mod check;
mod demo;
mod emulate;
mod explain;
mod load;
mod publish;
mod report;
mod serve;
mod status;

use std::process::ExitCode;

use anyhow::Context;
use clap::ArgMatches;

use crate::config::ini::File;
use crate::config::operator::Operator;
use crate::error::Error;
use crate::signals::{Handlers, Policy, Shutdown};

/// A subcommand of the program.
trait Subcommand {
    /// What signals do while the subcommand runs.
    const SIGNALS: Policy;

    /// Runs the subcommand to its end, or until `shutdown` asks to stop.
    async fn run(matches: &ArgMatches, shutdown: Shutdown) -> anyhow::Result<()>;
}

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    let Ok(handlers) = Handlers::install() else {
        eprintln!("could not handle signals; check the limit on open files");
        return ExitCode::FAILURE;
    };
    let matches = args::command().get_matches();
    // `serve` starts the log after it has read the settings, which decide where the log goes.
    if matches.subcommand_name() != Some("serve") {
        start_log(&matches);
    }
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        eprintln!("could not start the async runtime; check the limit on open files");
        return ExitCode::FAILURE;
    };
    match runtime.block_on(dispatch(&matches, handlers)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err:#}");
            let code = err.downcast_ref::<Error>().map_or(1, Error::exit_code);
            ExitCode::from(code)
        }
    }
}

fn start_log(matches: &ArgMatches) {
    let level = match matches.get_count("verbose") {
        0 => log::LevelFilter::Warn,
        1 => log::LevelFilter::Info,
        _ => log::LevelFilter::Debug,
    };
    let config = simplelog::ConfigBuilder::new()
        .set_time_format_rfc3339()
        .build();
    let _ = simplelog::WriteLogger::init(level, config, std::io::stderr());
}

async fn dispatch(matches: &ArgMatches, handlers: Handlers) -> anyhow::Result<()> {
    match matches.subcommand() {
        Some(("serve", matches)) => run::<serve::Serve>(matches, handlers).await,
        Some(("check", matches)) => run::<check::Check>(matches, handlers).await,
        Some(("publish", matches)) => run::<publish::Publish>(matches, handlers).await,
        Some(("status", matches)) => run::<status::Status>(matches, handlers).await,
        Some(("emulate", matches)) => run::<emulate::Emulate>(matches, handlers).await,
        Some(("load", matches)) => run::<load::Load>(matches, handlers).await,
        Some(("report", matches)) => run::<report::Report>(matches, handlers).await,
        Some(("explain", matches)) => run::<explain::Explain>(matches, handlers).await,
        Some(("demo", matches)) => run::<demo::Demo>(matches, handlers).await,
        _ => unreachable!("clap accepts only the subcommands above"),
    }
}

async fn run<S: Subcommand>(matches: &ArgMatches, handlers: Handlers) -> anyhow::Result<()> {
    let shutdown = Shutdown::default();
    if S::SIGNALS == Policy::Exit {
        handlers.restore_default();
        return S::run(matches, shutdown).await;
    }
    let watch = handlers.watch(S::SIGNALS, shutdown.clone());
    let signals = compio::runtime::spawn(watch);
    let result = S::run(matches, shutdown).await;
    signals.cancel().await;
    result
}

/// Reads the settings file of the argument `-c`; returns `None` without it.
fn read_operator(matches: &ArgMatches) -> anyhow::Result<Option<Operator>> {
    let Some(path) = matches.get_one::<String>("config") else {
        return Ok(None);
    };
    let text = std::fs::read_to_string(path)
        .map_err(|err| Error::Refused(err.to_string()))
        .with_context(|| format!("could not read {path}; check the path"))?;
    let operator = File::parse(path, &text).and_then(|file| Operator::from_file(&file));
    Ok(Some(
        operator.map_err(|err| Error::Refused(err.to_string()))?,
    ))
}
