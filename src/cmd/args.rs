//! The arguments of all subcommands.

use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the command line.
pub(super) fn command() -> Command {
    Command::new("bilberrypost")
        .about("Serves long model generations on engines that fail")
        .subcommand_required(true)
        .arg(
            Arg::new("verbose")
                .short('v')
                .global(true)
                .action(ArgAction::Count)
                .help("Log more; twice for details"),
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
                .help("Settings of this host"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings files together; errors name file, line and remedy")
        .arg(files().required(true))
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
            "Put settings files into force as one revision; exit codes: 0 in force, 2 refused, \
             3 raced, 4 unknown",
        )
        .arg(
            Arg::new("store")
                .long("store")
                .value_name("URL")
                .global(true)
                .help("Store, http://IP:PORT; by default that of the settings"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .global(true)
                .help("Who publishes, for the history"),
        )
        .arg(operator_file().global(true))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REVISION")
                .global(true)
                .value_parser(value_parser!(u64))
                .help("Refuse unless this revision is in force"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Wait until every live host reports the revision"),
        )
        .arg(number("wait-limit", "30", "Longest wait in seconds").global(true))
        .arg(files())
        .subcommand(Command::new("history").about("List the revisions that are kept"))
        .subcommand(
            Command::new("diff")
                .about("Show what differs between two revisions")
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
        .about("Show which live hosts have which revision")
        .arg(operator_file())
}

fn operator_file() -> Arg {
    Arg::new("config")
        .short('c')
        .long("config")
        .value_name("FILE")
        .help("Settings with an [operator] or [host] section: key, and members or seeds")
}

fn files() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .num_args(1..)
        .help("Settings files of all services")
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run a router with emulated engines, store and backend service in one process")
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:8080")
                .help("Address of the router"),
        )
}

fn report() -> Command {
    Command::new("report")
        .about("Print the service-level burn of hosts, joined")
        .arg(
            Arg::new("hosts")
                .value_name("IP:PORT")
                .num_args(1..)
                .required(true)
                .help("Addresses of routers"),
        )
        .arg(
            Arg::new("admin-key-file")
                .long("admin-key-file")
                .value_name("FILE")
                .help("File with the administrator's key"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Say from the logs of all hosts what became of a request")
        .arg(
            Arg::new("request")
                .long("request")
                .value_name("ID")
                .required(true)
                .help("Id of the caller's attempt"),
        )
        .arg(files().required(true))
}

fn load() -> Command {
    Command::new("load")
        .about("Send open-loop load and check every answer token by token")
        .arg(
            Arg::new("routers")
                .value_name("IP:PORT")
                .num_args(1..)
                .required(true)
                .help("Routers, taken in turn"),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .required(true)
                .help("File that holds the key of the caller"),
        )
        .arg(text("model", "atlas", "Model"))
        .arg(text("rate", "10", "Calls a second"))
        .arg(number("seconds", "10", "Time in which calls start"))
        .arg(number("prompt-words", "100", "Words of a prompt"))
        .arg(number("max-tokens", "100", "Output tokens of a call"))
        .arg(number("urgent-percent", "0", "Percentage of urgent calls"))
        .arg(number(
            "patience-ms",
            "10000",
            "Longest time without an event",
        ))
        .arg(number("seed", "1", "Seed of arrivals and prompts"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object"),
        )
}

fn emulate() -> Command {
    Command::new("emulate")
        .about("Run one stand-in for an outside system")
        .subcommand_required(true)
        .subcommand(emulate_engine())
        .subcommand(
            emulation("store", "The platform's object API")
                .arg(number(
                    "writes-per-s",
                    "300",
                    "Limit on writes a second, 0 for none",
                ))
                .arg(number(
                    "reads-per-s",
                    "2000",
                    "Limit on reads a second, 0 for none",
                )),
        )
        .subcommand(
            emulation("members", "The platform's membership list").arg(number(
                "lag-ms",
                "1000",
                "Age of what the list shows",
            )),
        )
        .subcommand(emulation("backend", "A plain backend service").arg(number(
            "delay-ms",
            "2",
            "Time for a call",
        )))
        .subcommand(
            emulation("proxy", "A fault-injecting proxy between two processes")
                .arg(text("upstream", "127.0.0.1:1", "Address to forward to"))
                .arg(text("control", "127.0.0.1:0", "Address that takes faults")),
        )
}

fn emulate_engine() -> Command {
    emulation("engine", "A model engine")
        .arg(text("name", "engine-1", "Name"))
        .arg(text("failure-domain", "fd-a", "Failure domain"))
        .arg(text("model", "atlas", "Model"))
        .arg(text("model-version", "1", "Loaded version"))
        .arg(number("slots", "16", "Streams in a batch"))
        .arg(number("queue", "64", "Requests that may wait"))
        .arg(number(
            "step-us",
            "8000",
            "Time of a step with an empty batch",
        ))
        .arg(number(
            "step-per-stream-us",
            "250",
            "Time that each stream adds",
        ))
        .arg(number(
            "prefill-per-token-us",
            "20",
            "Time to read a prompt token",
        ))
        .arg(number("cache-blocks", "4096", "Prefix blocks in the cache"))
        .arg(number(
            "status-lag-ms",
            "500",
            "Age of reported load and cache events",
        ))
        .arg(number("load-ms", "500", "Time to load a version"))
        .arg(text(
            "event-loss",
            "0.05",
            "Share of cache events that are lost",
        ))
        .arg(text(
            "fencing",
            "check",
            "Old fencing numbers: check or ignore",
        ))
}

fn emulation(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(text("listen", "127.0.0.1:0", "Address to listen on"))
        .arg(number("seed", "1", "Seed of chance events"))
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_parser(value_parser!(u64))
}
