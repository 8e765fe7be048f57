//! Cases of the second independent review that are no days of the bench: `standin CASE RECORD`.
//!
//! Store, engines, operator and clients are threads of this process; the hosts are processes of the
//! project's program. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod client;
mod engine;
mod host;
mod http;
mod record;
mod site;
mod store;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, command, path, id] = arguments.as_slice()
        && command == "engine"
    {
        return cases::serve_engine(path, id);
    }
    let [_, case, path, root] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD ROOT");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(path) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("could not write {path}: {err}");
            std::process::exit(2);
        }
    };
    record.line(&format!("case={case} trouble={has_trouble}"));
    let root = PathBuf::from(root);
    let verdict = match case.as_str() {
        "moved-route" => cases::moved_route(&root, &record, has_trouble),
        "equal-requests" => cases::equal_requests(&root, &record, has_trouble),
        "run-and-refused" => cases::run_and_refused(&root, &record, has_trouble),
        "engine-killed" => cases::engine_killed(&root, &record, has_trouble),
        _ => Err("unknown case".to_owned()),
    };
    let code = match verdict {
        Ok(0) => 0,
        Ok(_) => 1,
        Err(cause) => {
            record.line(&format!("could not run: {cause}"));
            2
        }
    };
    record.line(&format!("exit={code}"));
    std::process::exit(code);
}
