//! Tests of the settings. An operator must see every error at once, and a misspelt key must not be ignored.

use jaystand_daemon::settings::{Faults, Raw, Settings, defaults};
use proptest::prelude::*;

fn render(faults: &Faults) -> String {
    let lines = faults.faults.iter();
    let lines = lines.map(|fault| format!("{fault} -> {}", fault.remedy));
    lines.collect::<Vec<_>>().join("\n")
}

/// Guards against printed defaults that do not parse, lack a key or differ from the built-in defaults.
#[test]
fn the_printed_defaults_are_valid_and_complete() {
    let parsed = Settings::parse(&defaults(), "defaults").expect("valid");
    let built = Settings::try_from(Raw::default()).expect("valid");
    assert_eq!(format!("{parsed:?}"), format!("{built:?}"));
    Settings::parse("", "empty").expect("every key has a default");
}

/// Guards against a check that stops at the first error, or that ignores unknown keys or values of the wrong type.
#[test]
fn every_error_is_reported_at_once() {
    let text = r#"
bootstrap = 7
colour = "red"
peers = 3
[host]
name = ""
region = "a b"
[listen]
callers = "localhost"
admin = 8081
port = 1
[platform]
address = "1.2.3.4:5"
budget_per_s = 0
[limits]
body_bytes = 0
header_timeout = "soon"
queue = -1
[policy]
name = "fastest"
[log]
level = "loud"
[trace]
endpoint = "http://127.0.0.1:4317"
sample = 2.0
"#;
    let faults = Settings::parse(text, "jaystand.toml").expect_err("faults");
    insta::assert_snapshot!(render(&faults));
}

/// Guards against a syntax error that is reported without the name of the file.
#[test]
fn text_that_is_not_toml_is_reported() {
    let faults = Settings::parse("[host", "x.toml").expect_err("faults");
    assert_eq!(faults.faults.len(), 1);
    assert!(render(&faults).starts_with("x.toml: `(file)`: is not TOML"));
}

/// Guards against secret keys in the `Debug` output of the settings, which may be logged.
#[test]
fn keys_do_not_reach_the_log() {
    let text = "[peers]\nkey = \"s3cret\"\n[admin]\nkey = \"s3cret\"\n";
    let settings = Settings::parse(text, "x").expect("valid");
    assert!(!format!("{settings:?}").contains("s3cret"));
}

proptest! {
    /// Guards against a daemon or tool that panics on arbitrary bytes in a settings file.
    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Settings::parse(&String::from_utf8_lossy(&bytes), "random");
    }

    /// Guards against a panic on odd values. Only well-formed TOML reaches the checks of values.
    #[test]
    fn random_values_never_panic(
        section in "(host|listen|platform|peers|limits|orders|shutdown|trace|x)",
        key in "(name|callers|address|budget_per_s|seeds|queue|drain|sample|y)",
        value in "(-?[0-9]{1,19}|-?[0-9]{1,9}e[0-9]{1,3}|nan|inf|true|\"[a-z0-9:. ]{0,12}\"|\\[\"[0-9:.]{0,9}\"\\])",
    ) {
        let _ = Settings::parse(&format!("[{section}]\n{key} = {value}\n"), "random");
    }
}
