//! Guards the settings: an operator must see every error at once, and a misspelt key must not be passed over.

use jaystand_daemon::settings::{Faults, Raw, Settings, defaults};

fn render(faults: &Faults) -> String {
    let lines = faults.faults.iter();
    let lines = lines.map(|fault| format!("{fault} -> {}", fault.remedy));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn the_printed_defaults_are_valid_and_complete() {
    let parsed = Settings::parse(&defaults(), "defaults").expect("valid");
    let built = Settings::try_from(Raw::default()).expect("valid");
    assert_eq!(format!("{parsed:?}"), format!("{built:?}"));
    Settings::parse("", "empty").expect("every key has a default");
}

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

#[test]
fn text_that_is_not_toml_is_reported() {
    let faults = Settings::parse("[host", "x.toml").expect_err("faults");
    assert_eq!(faults.faults.len(), 1);
    assert!(render(&faults).starts_with("x.toml: `(file)`: is not TOML"));
}

#[test]
fn keys_do_not_reach_the_log() {
    let text = "[peers]\nkey = \"s3cret\"\n[admin]\nkey = \"s3cret\"\n";
    let settings = Settings::parse(text, "x").expect("valid");
    assert!(!format!("{settings:?}").contains("s3cret"));
}
