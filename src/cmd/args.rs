//! Definition of all subcommands and their arguments.

use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the parser of the command line.
pub(super) fn command() -> Command {
    Command::new("bilberrypost")
        .about("Serves long model generations on engines that fail")
        .subcommand_required(true)
        .arg(
            Arg::new("verbose")
                .short('v')
                .global(true)
                .action(ArgAction::Count)
                .help("Log more; twice: also debug messages"),
        )
        .subcommand(serve())
        .subcommand(check())
        .subcommand(publish())
        .subcommand(status())
        .subcommand(demo())
        .subcommand(emulate())
        .subcommand(report())
        .subcommand(explain())
        .subcommand(load())
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run one router process on an entry host")
        .arg(
            Arg::new("config")
                .short('c')
                .long("config")
                .value_name("FILE")
                .required(true)
                .help("Settings file of this host"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings files together; errors state file, line and remedy")
        .arg(files_arg().required(true))
}

fn publish() -> Command {
    let revision = |name| {
        Arg::new(name)
            .value_name("REVISION")
            .required(true)
            .value_parser(value_parser!(u64))
    };
    Command::new("publish")
        .about(
            "Publish settings files as one revision; exit codes: 0 in force, 2 refused, \
             3 another publisher was first, 4 outcome unknown",
        )
        .arg(
            Arg::new("store")
                .long("store")
                .value_name("URL")
                .global(true)
                .help("Store, http://IP:PORT [default: that of the settings file]"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .global(true)
                .help("Author to record in the history"),
        )
        .arg(operator_file_arg().global(true))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REVISION")
                .global(true)
                .value_parser(value_parser!(u64))
                .help("Publish only if this revision is in force"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Wait until every live host reports the revision"),
        )
        .arg(number_arg("wait-limit", "30", "Maximum wait of --wait in seconds").global(true))
        .arg(files_arg())
        .subcommand(Command::new("history").about("List the revisions that the store keeps"))
        .subcommand(
            Command::new("diff")
                .about("Show the differences between two revisions")
                .arg(revision("from"))
                .arg(revision("to")),
        )
        .subcommand(
            Command::new("undo")
                .about("Publish the content of an old revision under a new number")
                .arg(revision("revision")),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Show the revision of each live host")
        .arg(operator_file_arg())
}

fn operator_file_arg() -> Arg {
    Arg::new("config")
        .short('c')
        .long("config")
        .value_name("FILE")
        .help("Settings with an [operator] or [host] section: key, and members or seeds")
}

fn files_arg() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .num_args(1..)
        .help("Settings files that are checked or published together")
}

fn demo() -> Command {
    Command::new("demo")
        .about(
            "Run a router with emulated engines, store, members and backend server in one process",
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:8080")
                .help("Address on which the router listens"),
        )
}

fn report() -> Command {
    Command::new("report")
        .about("Print how fast each partner and rank uses its error budget, over all given hosts")
        .arg(
            Arg::new("hosts")
                .value_name("IP:PORT")
                .num_args(1..)
                .required(true)
                .help("Addresses of the routers"),
        )
        .arg(
            Arg::new("admin-key-file")
                .long("admin-key-file")
                .value_name("FILE")
                .help("File that contains the administrator's key"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON array"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explain what happened to a request, from the logs of all hosts")
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .required(true)
                .help("Id of the request: the value of request= in the logs"),
        )
        .arg(files_arg().required(true).help("Log files of all hosts"))
}

fn load() -> Command {
    Command::new("load")
        .about("Send open-loop load and check each token of the answers")
        .arg(
            Arg::new("routers")
                .value_name("IP:PORT")
                .num_args(1..)
                .required(true)
                .help("Addresses of the routers; calls are sent to them in turn"),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .required(true)
                .help("File that contains the caller's key"),
        )
        .arg(text_arg("model", "atlas", "Name of the model"))
        .arg(text_arg("rate", "10", "Mean number of calls a second"))
        .arg(number_arg(
            "seconds",
            "10",
            "Time during which calls start, in seconds",
        ))
        .arg(number_arg(
            "prompt-words",
            "100",
            "Number of words of each prompt",
        ))
        .arg(number_arg(
            "max-tokens",
            "100",
            "Number of output tokens of each call",
        ))
        .arg(number_arg(
            "urgent-percent",
            "0",
            "Percentage of calls with rank urgent",
        ))
        .arg(number_arg(
            "patience-ms",
            "10000",
            "Longest wait for the response head and for each event, in milliseconds",
        ))
        .arg(number_arg(
            "seed",
            "1",
            "Seed of the random start times, prompts and ranks",
        ))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        )
}

fn emulate() -> Command {
    Command::new("emulate")
        .about("Run an emulator of one of the systems that a router talks to")
        .subcommand_required(true)
        .subcommand(emulate_engine())
        .subcommand(
            emulator("store", "An object store")
                .arg(number_arg(
                    "writes-per-s",
                    "300",
                    "Maximum number of writes a second, 0 for no limit",
                ))
                .arg(number_arg(
                    "reads-per-s",
                    "2000",
                    "Maximum number of reads a second, 0 for no limit",
                )),
        )
        .subcommand(emulator("members", "A membership list").arg(number_arg(
            "lag-ms",
            "1000",
            "Time until readers see a change, in milliseconds",
        )))
        .subcommand(emulator("backend", "A backend server").arg(number_arg(
            "delay-ms",
            "2",
            "Time for a POST, in milliseconds",
        )))
        .subcommand(
            emulator(
                "proxy",
                "A TCP proxy that injects faults between two processes",
            )
            .arg(text_arg(
                "upstream",
                "127.0.0.1:1",
                "Address to which connections are forwarded",
            ))
            .arg(text_arg(
                "control",
                "127.0.0.1:0",
                "Address to listen on for requests that set the fault",
            )),
        )
}

fn emulate_engine() -> Command {
    emulator("engine", "A model engine")
        .arg(text_arg("name", "engine-1", "Name of the engine"))
        .arg(text_arg(
            "failure-domain",
            "fd-a",
            "Failure domain of the engine",
        ))
        .arg(text_arg("model", "atlas", "Name of the model"))
        .arg(text_arg(
            "model-version",
            "1",
            "Version loaded at the start",
        ))
        .arg(number_arg(
            "slots",
            "16",
            "Maximum number of streams in the batch",
        ))
        .arg(number_arg(
            "queue",
            "64",
            "Maximum number of waiting requests",
        ))
        .arg(number_arg(
            "step-us",
            "8000",
            "Base time of a decoding step, in microseconds",
        ))
        .arg(number_arg(
            "step-per-stream-us",
            "250",
            "Time that each decoding stream adds to a step, in microseconds",
        ))
        .arg(number_arg(
            "prefill-per-token-us",
            "20",
            "Time that each prefilled token adds to a step, in microseconds",
        ))
        .arg(number_arg(
            "cache-blocks",
            "4096",
            "Maximum number of prefix blocks in the cache",
        ))
        .arg(number_arg(
            "status-lag-ms",
            "500",
            "Age of the load and cache events that the status reports, in milliseconds",
        ))
        .arg(number_arg(
            "load-ms",
            "500",
            "Time to load a version in milliseconds; not emulated",
        ))
        .arg(text_arg(
            "event-loss",
            "0.05",
            "Share of cache events that are lost, 0 to 1",
        ))
        .arg(text_arg(
            "fencing",
            "check",
            "Orders with an old fencing number: check refuses, ignore accepts them",
        ))
}

/// Returns an emulator's command with the arguments that all emulators have.
fn emulator(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(text_arg("listen", "127.0.0.1:0", "Address to listen on"))
        .arg(number_arg("seed", "1", "Seed of the random faults"))
}

fn text_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text_arg(name, default, help).value_parser(value_parser!(u64))
}
