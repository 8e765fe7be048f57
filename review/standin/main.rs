//! Stand-ins of clients, engines and the platform for the scripts in `review/`, and their cases.
//!
//! `standin CASE FOLDER` runs a case in the current folder, which is the repository's root, and writes
//! `FOLDER/record.txt`. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
//! With `TROUBLE=0` in the environment there is no disruption.

mod app;
mod cut;
mod handover;
mod host;
mod http;
mod model;
mod proxy;
mod record;
mod reload;
mod stop;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

fn run(case: &str, folder: &Path) -> Result<bool, String> {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt")).map_err(|err| err.to_string())?;
    let scratch = std::env::temp_dir().join(format!("bilberrypost-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).map_err(|err| err.to_string())?;
    let result = match case {
        "cut" => cut::run(&scratch, &record, has_trouble),
        "handover" => handover::run(&scratch, &record, has_trouble),
        "stop" => stop::run(&scratch, &record, has_trouble),
        "reload" => reload::run(&scratch, &record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    let _ = std::fs::remove_dir_all(&scratch);
    match &result {
        Ok(is_kept) => record.line(&format!("end: trouble={has_trouble} rule held={is_kept}")),
        Err(err) => record.line(&format!("end: could not run: {err}")),
    }
    result
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    match run(case, &PathBuf::from(folder)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            eprintln!("{err}");
            ExitCode::from(2)
        }
    }
}
