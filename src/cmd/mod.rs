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
use futures_util::FutureExt;

use crate::config::ini::File;
use crate::config::operator::Operator;
use crate::error::Error;
use crate::supervisor::Signal;

const SIGTERM: i32 = 15;

/// A subcommand of the program.
trait Subcommand {
    /// Runs the subcommand to its end, or until `stop` is set.
    async fn run(matches: &ArgMatches, stop: Signal) -> anyhow::Result<()>;
}

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    let matches = args::command().get_matches();
    // `serve` starts the log after it has read the settings, which decide where the log goes.
    if matches.subcommand_name() != Some("serve") {
        start_log(&matches);
    }
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        eprintln!("could not start the async runtime; check the limit on open files");
        return ExitCode::FAILURE;
    };
    match runtime.block_on(dispatch(&matches)) {
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

/// Keeps a SIGTERM handler installed for the life of the process. A listener removes itself after
/// its first signal; a second signal before the next listener exists, or during exit, would
/// otherwise kill the process.
fn keep_sigterm_handler() {
    let mut listener = Box::pin(compio::signal::unix::signal(SIGTERM));
    // The first poll registers the listener; `forget` keeps it registered.
    let _ = listener.as_mut().now_or_never();
    std::mem::forget(listener);
}

async fn dispatch(matches: &ArgMatches) -> anyhow::Result<()> {
    keep_sigterm_handler();
    let stop = Signal::default();
    let signals = compio::runtime::spawn(watch_signals(stop.clone()));
    let result = match matches.subcommand() {
        Some(("serve", matches)) => serve::Serve::run(matches, stop).await,
        Some(("check", matches)) => check::Check::run(matches, stop).await,
        Some(("publish", matches)) => publish::Publish::run(matches, stop).await,
        Some(("status", matches)) => status::Status::run(matches, stop).await,
        Some(("emulate", matches)) => emulate::Emulate::run(matches, stop).await,
        Some(("load", matches)) => load::Load::run(matches, stop).await,
        Some(("report", matches)) => report::Report::run(matches, stop).await,
        Some(("explain", matches)) => explain::Explain::run(matches, stop).await,
        Some(("demo", matches)) => demo::Demo::run(matches, stop).await,
        _ => unreachable!("clap accepts only the subcommands above"),
    };
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

/// Sets `stop` on the first SIGTERM or SIGINT.
async fn watch_signals(stop: Signal) {
    use futures_util::future::select;
    let terminate = Box::pin(compio::signal::unix::signal(SIGTERM));
    // 2 is SIGINT.
    let interrupt = Box::pin(compio::signal::unix::signal(2));
    select(terminate, interrupt).await;
    stop.set();
}
