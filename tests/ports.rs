//! A host one of whose ports is in use.

mod support;

use std::net::{TcpListener, UdpSocket};
use std::process::{Command, Stdio};

use support::platform::{PEER_PORT, RefusingAddress, own_ips, settings};

/// Starts a host on `ip`, waits until it has ended, and returns its exit code and what it printed to
/// standard output and standard error.
fn run(ip: &str) -> (Option<i32>, String, String) {
    let store = RefusingAddress::new();
    let more = format!("seeds = {ip}:1\nports = {PEER_PORT},{PEER_PORT}");
    let settings = settings(&store.address, &more).replace("127.0.0.1:0", &format!("{ip}:0"));
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("host.ini");
    std::fs::write(&path, settings).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_bilberrypost"))
        .args(["serve", "-c"])
        .arg(&path)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Guards against a host that says that it is ready and then ends, or goes on without its peers,
/// because another process has the port for them.
#[test]
fn a_host_without_its_ports_is_not_ready() {
    let [tcp, udp] = own_ips();
    let _listener = TcpListener::bind((tcp.as_str(), PEER_PORT)).unwrap();
    let _socket = UdpSocket::bind((udp.as_str(), PEER_PORT)).unwrap();
    for ip in [tcp, udp] {
        let (code, output, errors) = run(&ip);
        assert_eq!(code, Some(1), "{errors}");
        assert!(!output.contains("ready "), "{output}");
        assert!(
            errors.contains(&format!("{ip}:{PEER_PORT}; choose a free port")),
            "{errors}"
        );
    }
}
