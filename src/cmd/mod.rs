//! The command line.

mod args;
mod demo;
mod emulate;
mod report;
mod serve;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::error::Error;
use crate::supervisor::Signal;

/// A subcommand.
trait Run {
    /// Runs the subcommand to its end.
    async fn run(matches: &ArgMatches, stop: Signal) -> anyhow::Result<()>;
}

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    let matches = args::command().get_matches();
    start_log(&matches);
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        eprintln!("could not start the runtime; check the limit on open files");
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
    let _ = simplelog::WriteLogger::init(level, simplelog::Config::default(), std::io::stderr());
}

async fn dispatch(matches: &ArgMatches) -> anyhow::Result<()> {
    let stop = Signal::default();
    let signals = compio::runtime::spawn(watch_signals(stop.clone()));
    let result = match matches.subcommand() {
        Some(("serve", matches)) => serve::Serve::run(matches, stop).await,
        Some(("emulate", matches)) => emulate::Emulate::run(matches, stop).await,
        Some(("report", matches)) => report::Report::run(matches, stop).await,
        Some(("demo", matches)) => demo::Demo::run(matches, stop).await,
        _ => unreachable!("clap accepts only the subcommands above"),
    };
    signals.cancel().await;
    result
}

async fn watch_signals(stop: Signal) {
    use futures_util::future::select;
    let terminate = Box::pin(compio::signal::unix::signal(15));
    let interrupt = Box::pin(compio::signal::unix::signal(2));
    select(terminate, interrupt).await;
    stop.give();
}
