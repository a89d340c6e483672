//! Commands against a daemon in this process, in front of the platform stand-in.

mod support;

use std::{net::SocketAddr, time::Duration};

use jaystand_daemon::{Settings, settings::Raw};
use jaystand_sheet::{Directory, Document};
use jaystand_standin::platform;
use support::{Scratch, example, render};
use tokio::sync::oneshot;

const PATIENCE: Duration = Duration::from_secs(60);
const KEY: &str = "the-admin-key";

struct Live {
    scratch: Scratch,
    platform: platform::Handle,
    admin: SocketAddr,
    _stop: oneshot::Sender<()>,
}

/// The example of a deployment, with every backend server on a closed loopback port.
fn document() -> Document {
    let directory = example("tanekaha/directory.json");
    let mut directory: Directory = serde_json::from_str(&directory).expect("a directory");
    for (server, port) in directory.servers.iter_mut().zip(1..) {
        server.address = SocketAddr::from(([127, 0, 0, 1], port));
    }
    Document {
        version: 1,
        sheet: example("tanekaha/sheet.csv"),
        directory,
        author: "ana".to_owned(),
        note: "first sheet".to_owned(),
        ..Document::default()
    }
}

async fn start(name: &str) -> Live {
    let platform = platform::start(platform::Settings::default()).expect("a platform");
    let stored = serde_json::to_vec(&document()).expect("a document");
    platform.standin().set_object("config", "current", stored);
    let mut raw = Raw::default();
    for address in [
        &mut raw.listen.callers,
        &mut raw.listen.admin,
        &mut raw.listen.peers,
    ] {
        "127.0.0.1:0".clone_into(address);
    }
    "whau-1".clone_into(&mut raw.host.name);
    raw.platform.address = platform.address().to_string();
    raw.platform.budget_per_s = 1_000.0;
    raw.admin.key = KEY.into();
    let settings = Settings::try_from(raw).expect("valid settings");
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async move {
        let _ = stopped.await;
    };
    let (announce, announced) = oneshot::channel();
    tokio::spawn(jaystand_daemon::run_announcing(settings, stopped, announce));
    let addresses = tokio::time::timeout(PATIENCE, announced).await;
    let live = Live {
        scratch: Scratch::new(name),
        platform,
        admin: addresses
            .expect("in time")
            .expect("the daemon starts")
            .admin,
        _stop: stop,
    };
    live.scratch.write("sheet.csv", document().sheet);
    let wait = async {
        while !live.run(&["sheet", "status"]).await.contains("version 1") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait)
        .await
        .expect("a configuration");
    live
}

impl Live {
    async fn run(&self, line: &[&str]) -> String {
        self.run_with(KEY, line).await
    }

    async fn run_with(&self, key: &str, line: &[&str]) -> String {
        let mut command = self.scratch.command(line);
        command
            .env("JAYSTAND_ADDRESS", self.admin.to_string())
            .env("JAYSTAND_ADMIN_KEY", key)
            .env("USER", "ben");
        let run = tokio::task::spawn_blocking(move || command.output());
        let output = run.await.expect("no panic").expect("a run");
        mask(&render(line, &output), self.admin)
    }
}

/// Replaces what differs between runs by text of the same length: hashes, keys and ports.
fn mask(text: &str, admin: SocketAddr) -> String {
    let text = text.replace(&admin.to_string(), "ADMIN");
    let words = text.split_inclusive(|letter: char| !letter.is_ascii_alphanumeric());
    let words = words.map(|word| {
        let bare = word.trim_end_matches(|letter: char| !letter.is_ascii_alphanumeric());
        let hash = matches!(bare.len(), 16 | 64) && bare.bytes().all(|it| it.is_ascii_hexdigit());
        let port = bare.len() == 5 && bare.bytes().all(|it| it.is_ascii_digit());
        let letter = if hash { "h" } else { "N" };
        if hash || port {
            word.replace(bare, &letter.repeat(bare.len()))
        } else {
            word.to_owned()
        }
    });
    words.collect()
}

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
