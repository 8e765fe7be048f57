//! Signals of the operating system, at any time in the life of a process.

mod support;

use std::fs::File;
use std::io::{BufReader, Write};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bilberrypost::signals::{Request, Requests};
use rustix::fs::{CWD, Mode};
use rustix::process::{Pid, Signal, kill_process};
use support::TEST_TIMEOUT;
use support::platform::{
    Engine, Gateway, Message, RefusingAddress, headers, ok, settings, start, wait_for,
};

fn send(id: u32, signal: Signal) {
    let pid = Pid::from_raw(id as i32).unwrap();
    kill_process(pid, signal).unwrap();
}

/// A process that waits for its settings, which it reads from a named pipe.
struct Starting {
    child: Child,
    settings: File,
    _folder: tempfile::TempDir,
}

impl Starting {
    /// Starts the program with the path of the pipe as its last argument, and waits until it has
    /// opened the pipe.
    fn start(args: &[&str]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("host.ini");
        rustix::fs::mkfifoat(CWD, &path, Mode::RUSR | Mode::WUSR).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
            .args(args)
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let settings = File::options().write(true).open(&path).unwrap();
        Self {
            child,
            settings,
            _folder: folder,
        }
    }

    fn send(&self, signals: &[Signal]) {
        for signal in signals {
            send(self.child.id(), *signal);
        }
    }

    /// Writes the settings and returns the exit code; `None` if a signal ended the process.
    fn finish(mut self, settings: &str) -> Option<i32> {
        // An error means that the process has ended.
        let _ = self.settings.write_all(settings.as_bytes());
        drop(self.settings);
        wait(&mut self.child)
    }
}

fn wait(child: &mut Child) -> Option<i32> {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    panic!("the process did not exit");
}

/// Settings of a host whose store refuses connections.
fn gateway_settings(store: &RefusingAddress) -> String {
    settings(&store.address, "")
}

const ROUTER_SETTINGS: &str = "[host]\nname = a\nfailure_domain = fd-a\nlisten = 127.0.0.1:0\n\
                               peer_listen = 127.0.0.1:0\nstore = http://127.0.0.1:1\n\
                               members = http://127.0.0.1:1\nkey = key-between-the-routers\n";

/// Guards against a host that is asked to stop before it listens for signals, ignores it, and is
/// killed with the requests that it has taken since; and against one that a signal ends at once.
#[test]
fn a_stop_before_the_settings_are_read_is_not_lost() {
    let store = RefusingAddress::new();
    let gateway = gateway_settings(&store);
    let cases: [&[Signal]; 5] = [
        &[Signal::TERM],
        &[Signal::INT],
        &[Signal::HUP, Signal::TERM],
        &[Signal::TERM, Signal::TERM, Signal::HUP],
        &[Signal::INT, Signal::TERM, Signal::INT, Signal::HUP],
    ];
    for settings in [gateway.as_str(), ROUTER_SETTINGS] {
        std::thread::scope(|scope| {
            for signals in cases {
                scope.spawn(move || {
                    let starting = Starting::start(&["serve", "-c"]);
                    starting.send(signals);
                    let code = starting.finish(settings);
                    assert_eq!(code, Some(0), "{signals:?} {settings}");
                });
            }
        });
    }
}

/// Guards against a host that ends when its settings file changes while it starts.
#[test]
fn a_hang_up_before_the_settings_are_read_ends_no_host() {
    let store = RefusingAddress::new();
    let starting = Starting::start(&["serve", "-c"]);
    starting.send(&[Signal::HUP]);
    let id = starting.child.id();
    let stopping = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(500));
        send(id, Signal::TERM);
    });
    assert_eq!(starting.finish(&gateway_settings(&store)), Some(0));
    stopping.join().unwrap();
}

/// Guards against a host that ends because a signal arrives while no listener for it is registered:
/// each of many signals that come close together must find one.
#[test]
fn signals_close_together_end_no_host() {
    const COUNT: usize = 20_000;
    let app = Engine::start("i-1", |_| ok());
    let (_store, mut gateway) = start(&[(&app, "app", "fd-a")]);
    let id = gateway.process.id();
    let is_sent = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..COUNT {
                send(id, Signal::HUP);
            }
            is_sent.store(true, Ordering::Relaxed);
        });
        let mut number = 0;
        while !is_sent.load(Ordering::Relaxed) || number == 0 {
            number += 1;
            let request = format!("r{number}");
            assert_eq!(gateway.status("POST", "/once/x", &request, "b"), 200);
        }
    });
    gateway.process.terminate();
    assert_eq!(gateway.process.wait(), Some(0));
}

/// Guards against a drain that a further signal cuts, of the same or of another kind.
#[test]
fn further_signals_cut_no_drain() {
    let app = Engine::start("i-1", |_| {
        std::thread::sleep(Duration::from_millis(1500));
        ok()
    });
    let (_store, mut gateway) = start(&[(&app, "app", "fd-a")]);
    let stream = gateway.open("POST", "/once/x", &headers("r1"), "b");
    wait_for("arrival", || app.request_count() == 1);
    gateway.process.terminate();
    wait_for("refusal of readiness", || !gateway.is_ready());
    for signal in [Signal::INT, Signal::HUP, Signal::TERM, Signal::INT] {
        send(gateway.process.id(), signal);
        std::thread::sleep(Duration::from_millis(100));
    }
    let answer = Message::read(&mut BufReader::new(stream)).expect("an answer");
    assert_eq!(answer.status(), 200);
    assert_eq!(gateway.process.wait(), Some(0));
}

/// Guards against a short command that a signal cannot end while it reads its input, also a signal that
/// arrived before the arguments were parsed.
#[test]
fn a_signal_ends_a_short_command() {
    for signal in [Signal::TERM, Signal::INT, Signal::HUP] {
        let starting = Starting::start(&["check"]);
        starting.send(&[signal]);
        let Starting { mut child, .. } = starting;
        assert_eq!(wait(&mut child), None, "{signal:?}");
    }
}

/// Guards against a process other than a host that a signal ends before it has stopped its work.
#[test]
fn an_emulator_stops_at_any_signal() {
    for signal in [Signal::TERM, Signal::INT, Signal::HUP] {
        let mut process = support::Process::start(&["emulate", "store"]);
        send(process.id(), signal);
        assert_eq!(process.wait(), Some(0), "{signal:?}");
    }
}

/// Guards against a drain that is cut because a tool sends several signals at once, and against an
/// operator who cannot end a process that drains.
#[test]
fn only_a_signal_that_is_sent_again_aborts() {
    let mut requests = Requests::default();
    for (signal, expected) in [
        ("SIGINT", Request::Stop),
        ("SIGTERM", Request::Same),
        ("SIGHUP", Request::Same),
        ("SIGTERM", Request::Abort),
        ("SIGINT", Request::Abort),
    ] {
        assert_eq!(requests.record(signal), expected, "{signal}");
    }
}

/// Guards against a router whose drain no operator can end, and against one that a second signal
/// ends without its log.
#[test]
fn a_later_signal_ends_the_drain_of_a_router() {
    let starting = Starting::start(&["serve", "-c"]);
    let id = starting.child.id();
    let stopping = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(500));
        for _ in 0..2 {
            send(id, Signal::TERM);
            std::thread::sleep(Duration::from_millis(400));
        }
    });
    assert_eq!(starting.finish(ROUTER_SETTINGS), Some(0));
    stopping.join().unwrap();
}

/// Guards against a host that a signal ends between its last task and its exit.
#[test]
fn signals_until_the_exit_change_no_exit_code() {
    let app = Engine::start("i-1", |_| ok());
    let (_store, mut gateway): (_, Gateway) = start(&[(&app, "app", "fd-a")]);
    let id = gateway.process.id();
    let pid = Pid::from_raw(id as i32).unwrap();
    let sending = std::thread::spawn(move || {
        // The process is waited for only after its exit, so that its id is not used again.
        let until = Instant::now() + Duration::from_secs(4);
        while Instant::now() < until {
            for signal in [Signal::TERM, Signal::HUP, Signal::INT] {
                let _ = kill_process(pid, signal);
            }
            std::thread::sleep(Duration::from_micros(50));
        }
    });
    sending.join().unwrap();
    assert_eq!(gateway.process.wait(), Some(0));
}

/// Returns whether this process and its children ignore one of the signals that the program handles:
/// `nohup` ignores SIGHUP, and a shell ignores SIGINT for what it runs in the background.
fn ignores_signals() -> bool {
    const HANDLED: [Signal; 3] = [Signal::TERM, Signal::INT, Signal::HUP];
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let ignored = status.lines().find_map(|line| line.strip_prefix("SigIgn:"));
    let ignored = u64::from_str_radix(ignored.unwrap().trim(), 16).unwrap();
    HANDLED
        .iter()
        .any(|signal| ignored >> (signal.as_raw() - 1) & 1 == 1)
}

/// Runs a test of this file again in a process in which all signals have their default actions.
fn run_with_default_signals(test: &str) {
    let status = Command::new("env")
        .arg("--default-signal")
        .arg(std::env::current_exe().unwrap())
        .args(["--exact", test])
        .status();
    assert!(status.unwrap().success());
}

/// Guards against a signal that is lost while its handler is being installed. The moment is met by
/// chance: each process gets one signal, at another time after its start.
#[test]
fn a_stop_at_any_moment_of_the_start_ends_a_process() {
    const THREADS: u64 = 8;
    const STARTS: u64 = 250;
    const LAST: Duration = Duration::from_micros(2500);
    if ignores_signals() {
        // A child would ignore them too until their handlers are installed, and rightly not end.
        return run_with_default_signals("a_stop_at_any_moment_of_the_start_ends_a_process");
    }
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for start in 0..STARTS {
                    let signal = [Signal::TERM, Signal::INT, Signal::HUP][start as usize % 3];
                    let mut child = Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
                        .args(["emulate", "store"])
                        .stdout(Stdio::null())
                        .spawn()
                        .unwrap();
                    let part = (start * THREADS + thread) as f64 / (STARTS * THREADS) as f64;
                    std::thread::sleep(LAST.mul_f64(part));
                    send(child.id(), signal);
                    let code = wait(&mut child);
                    assert!(matches!(code, None | Some(0)), "{signal:?} {code:?}");
                }
            });
        }
    });
}
