//! Commands against a daemon in this process, in front of the platform stand-in.

mod support;

use jaystand_standin::platform;
use support::live::{document, start, start_with};

/// Guards against a daily sheet that is applied without the operator seeing what it changes, whether it is in force
/// everywhere, and how to go back; and against the loser of a race being told that the change took effect.
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

/// Guards against reads and marks that print something else than what is in force, and against a wrong key.
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
    all += &live.run_with("wrong", &["host", "list"]).await;
    insta::assert_snapshot!(all);
    let servers = live.run(&["server", "list"]).await;
    assert_eq!(servers.lines().count(), 24 + 4, "{servers}");
    live.scratch.write(
        "request.json",
        r#"{"model": "kauri-9b", "messages": [{"role": "user", "content": "a leak"}]}"#,
    );
    let question = [
        "explain",
        "--team",
        "schools",
        "--kind",
        "leak-triage",
        "request.json",
    ];
    let explained = live.run(&question).await;
    assert!(
        explained.contains("schools / leak-triage (urgent)"),
        "{explained}"
    );
    assert!(explained.contains("score ms"), "{explained}");
}

/// Guards against a deployment that cannot be given its first sheet, or only by writing the platform's object.
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
