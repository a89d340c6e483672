//! Tests of commands that call a daemon, which runs inside the test process with the platform stand-in.

mod support;

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
};

use jaystand_standin::platform;
use support::{
    Scratch,
    live::{document, start, start_with},
    render,
};

/// Guards against applying a sheet without showing the operator its changes, whether all hosts have it in force and how
/// to roll it back; and against reporting success to an operator whose change conflicts with an earlier one.
#[tokio::test(flavor = "multi_thread")]
async fn a_day_with_the_sheet() {
    let live = start("day").await;
    let mut all = live.run(&["sheet", "status"]).await;
    let sheet = document().sheet;
    let changed = sheet.replace("volunteers,question", "volunteers,help")
        + "design,lookup,kauri-9b,normal,repeatable,*,,,,,\n";
    live.scratch.write("sheet.csv", &changed);
    live.scratch
        .write("faulty.csv", sheet + "nobody,k,kauri-9b,soon,once,*,,,,,\n");
    for line in [
        &["sheet", "diff"][..],
        &["sheet", "apply", "--note", "friday", "--wait"],
        &["sheet", "diff"],
        &["sheet", "apply", "--on", "1"],
        &["sheet", "apply", "--sheet", "faulty.csv"],
        &[
            "sheet",
            "rollback",
            "1",
            "--note",
            "help is not ready",
            "--wait",
        ],
        &["sheet", "rollback", "9"],
        &["sheet", "history"],
        &["sheet", "status"],
    ] {
        all += &live.run(line).await;
    }
    live.platform.set_faults(platform::Faults {
        outage: true,
        ..platform::Faults::default()
    });
    all += &live.run(&["sheet", "apply"]).await;
    insta::assert_snapshot!(all);
}

/// Guards against commands on teams, kinds, servers and hosts that print something else than what is in force, and
/// against a wrong admin key that is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn teams_servers_and_hosts() {
    let live = start("teams").await;
    let mut all = String::new();
    for line in [
        &["team", "add", "library", "--weight", "3"][..],
        &["team", "add", "library"],
        &["team", "key", "library"],
        &["team", "list"],
        &["team", "remove", "library"],
        &["team", "remove", "schools"],
        &["team", "remove", "nobody"],
        &["kind", "list"],
        &["server", "drain", "whau-engine-1"],
        &["server", "undrain", "whau-engine-1"],
        &["server", "drain", "whau-engine-9"],
        &["server", "drain", "a b/c?"],
        &["host", "list"],
        &["request", "show", "0123456789abcdef"],
        &["log-level", "loud"],
    ] {
        all += &live.run(line).await;
    }
    all += &live.run_with_key("wrong", &["host", "list"]).await;
    insta::assert_snapshot!(all);
    let servers = live.run(&["server", "list"]).await;
    assert_eq!(servers.lines().count(), 24 + 4, "{servers}");
    live.scratch.write(
        "request.json",
        r#"{"model": "kauri-9b", "messages": [{"role": "user", "content": "a leak"}]}"#,
    );
    let arguments = [
        "explain",
        "--team",
        "schools",
        "--kind",
        "leak-triage",
        "request.json",
    ];
    let explanation = live.run(&arguments).await;
    assert!(
        explanation.contains("schools / leak-triage (urgent)"),
        "{explanation}"
    );
    assert!(explanation.contains("score ms"), "{explanation}");
}

/// Guards against a deployment whose first sheet cannot be applied with the tool, so that an operator has to write the
/// configuration object at the platform by hand.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_sheet_is_applied_to_an_empty_deployment() {
    let live = start_with("first", None).await;
    let directory = serde_json::to_vec(&document().directory).expect("a directory");
    live.scratch.write("directory.json", directory);
    let mut all = live.run(&["sheet", "status"]).await;
    let apply = ["sheet", "apply", "--directory", "directory.json", "--wait"];
    all += &live.run(&apply).await;
    all += &live.run(&["sheet", "status"]).await;
    insta::assert_snapshot!(all);
}

/// Starts a fake daemon that accepts a rollback and always reports hosts that have not confirmed the new version.
fn fake_daemon_with_missing_hosts() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut head = String::new();
            let mut reader = BufReader::new(&mut stream);
            while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).expect("a line") > 0 {}
            let body = if head.starts_with("GET /v1/status") {
                r#"{"hosts": [{"name": "whau-1", "state": "live", "config": {"version": 3}},
                    {"name": "orakei-1", "state": "live", "config": {"version": 2}},
                    {"name": "mangere-1", "state": "suspect", "config": null},
                    {"name": "takapuna-1", "state": "gone", "config": null}]}"#
            } else {
                r#"{"version": 3}"#
            };
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            );
            stream.write_all(answer.as_bytes()).expect("written");
        }
    });
    address
}

/// Guards against `--wait` that never ends, or that succeeds although a host has not confirmed the version.
#[test]
fn a_wait_ends_with_the_names_of_the_missing_hosts() {
    let scratch = Scratch::new("wait");
    let address = fake_daemon_with_missing_hosts().to_string();
    let line = ["sheet", "rollback", "1", "--wait", "--timeout", "100ms"];
    let mut command = scratch.command(&line);
    command.env("JAYSTAND_ADDRESS", address);
    command.env("JAYSTAND_ADMIN_KEY", "key");
    insta::assert_snapshot!(render(&line, &command.output().expect("a run")));
}
