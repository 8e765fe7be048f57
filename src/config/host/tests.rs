use super::*;

const VALID: &str = "[host]\nname = h1\nfailure_domain = fd-a\nlisten = 127.0.0.1:0\n\
                    peer_listen = 127.0.0.1:0\nkey = 0123456789abcdef\n";

/// Guards against errors that report the wrong file or line, or that print a key.
#[test]
fn errors_name_file_and_line() {
    let cases = [
        ("listen = 127.0.0.1:0", "listen = here", "h.ini:4: listen"),
        ("key = 0123456789abcdef", "key = short", "h.ini:6: key"),
        (
            "name = h1",
            "nam = h1",
            "h.ini:2: [host] has no setting nam",
        ),
        ("name = h1\n", "", "h.ini:1: [host] is missing name"),
        (
            "name = h1",
            "name = h1\nscheduler = fast",
            "h.ini:3: scheduler = fast is not supported",
        ),
        ("[host]", "[hast]", "h.ini:1: no [host] section"),
    ];
    for (from, to, expected) in cases {
        let text = VALID.replacen(from, to, 1);
        let file = File::parse("h.ini", &text).unwrap();
        let err = Host::from_file(&file).err().expect(expected).to_string();
        assert!(err.starts_with(expected), "{err}");
        assert!(!err.contains("short ") && !err.contains("= short"), "{err}");
    }
}
