use super::*;

fn parse(text: &str) -> Result<SharedSettings, Error> {
    SharedSettings::from_files(&[File::parse("s.ini", text)?])
}

/// Guards against invalid settings that are accepted, and against errors that report the wrong
/// line.
#[test]
fn invalid_settings_are_refused() {
    let cases = [
        ("[partner a]\n", "s.ini:1: [partner a] is missing share"),
        ("[partner a]\nshare = 0\n", "s.ini:2: share = 0"),
        (
            "[team t]\npartner = b\n",
            "s.ini:2: partner b is not defined",
        ),
        ("[rank soon]\n", "s.ini:1: rank soon is not supported"),
        (
            "[route /x]\nservice = b\n",
            "s.ini:1: [route /x] is missing idempotent",
        ),
        ("[modle m]\n", "s.ini:1: section [modle …] is not supported"),
        (
            "[model m]\nversion = 1\nversion = 2\n",
            "s.ini:2: version is given twice",
        ),
    ];
    for (text, expected) in cases {
        let err = parse(text).expect_err(expected).to_string();
        assert!(err.starts_with(expected), "{err}");
    }
}

/// Guards against calls that are sent to the service of another route, because a shorter or
/// only partly matching prefix was chosen.
#[test]
fn route_with_longest_prefix_is_chosen() {
    let text = "[route /lanes]\nservice = a\nidempotent = yes\n\
                [route /lanes/book]\nservice = b\nidempotent = no\n";
    let settings = parse(text).unwrap();
    let service = |path| settings.route(path).map(|route| route.service.as_str());
    assert_eq!(service("/lanes/book/7"), Some("b"));
    assert_eq!(service("/lanes/bookings"), Some("a"));
    assert_eq!(service("/lanesx"), None);
}
