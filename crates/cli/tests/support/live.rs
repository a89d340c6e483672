//! Starts a daemon inside the test process, with the platform stand-in and the example deployment.

use std::{net::SocketAddr, time::Duration};

use jaystand_daemon::{Settings, settings::Raw};
use jaystand_sheet::{Directory, Document};
use jaystand_standin::platform;
use tokio::sync::oneshot;

use super::{Scratch, example, render};

const START_TIMEOUT: Duration = Duration::from_secs(60);
const ADMIN_KEY: &str = "the-admin-key";

/// Running daemon, its platform stand-in and a directory to run the tool in.
pub struct Live {
    pub scratch: Scratch,
    pub platform: platform::Handle,
    admin: SocketAddr,
    _stop: oneshot::Sender<()>,
}

/// Returns the configuration of the example deployment, with every backend server at a closed loopback port.
pub fn document() -> Document {
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

/// Starts a daemon and waits until it has the configuration of [`document`] in force.
pub async fn start(name: &str) -> Live {
    let stored = serde_json::to_vec(&document()).expect("a document");
    let live = start_with(name, Some(stored)).await;
    let in_force = async {
        while !live.run(&["sheet", "status"]).await.contains("version 1") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(START_TIMEOUT, in_force)
        .await
        .expect("a configuration");
    live
}

/// Starts a daemon whose platform holds this configuration object, or none.
pub async fn start_with(name: &str, stored: Option<Vec<u8>>) -> Live {
    let platform = platform::start(platform::Settings::default()).expect("a platform");
    if let Some(stored) = stored {
        platform.standin().set_object("config", "current", stored);
    }
    let mut raw = Raw::default();
    for address in [
        &mut raw.listen.callers,
        &mut raw.listen.admin,
        &mut raw.listen.peers,
    ] {
        "127.0.0.1:0".clone_into(address);
    }
    "whau-1".clone_into(&mut raw.host.name);
    "whau".clone_into(&mut raw.host.data_centre);
    "auckland".clone_into(&mut raw.host.region);
    raw.platform.address = platform.address().to_string();
    raw.platform.budget_per_s = 1_000.0;
    raw.admin.key = ADMIN_KEY.into();
    let settings = Settings::try_from(raw).expect("valid settings");
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async move {
        let _ = stopped.await;
    };
    let (announce, announced) = oneshot::channel();
    tokio::spawn(jaystand_daemon::run_announcing(settings, stopped, announce));
    let addresses = tokio::time::timeout(START_TIMEOUT, announced).await;
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
    live
}

impl Live {
    /// Runs the tool with the daemon's admin key.
    pub async fn run(&self, arguments: &[&str]) -> String {
        self.run_with_key(ADMIN_KEY, arguments).await
    }

    /// Runs the tool with this admin key.
    pub async fn run_with_key(&self, key: &str, arguments: &[&str]) -> String {
        let mut command = self.scratch.command(arguments);
        command
            .env("JAYSTAND_ADDRESS", self.admin.to_string())
            .env("JAYSTAND_ADMIN_KEY", key)
            .env("USER", "ben");
        let run = tokio::task::spawn_blocking(move || command.output());
        let output = run.await.expect("no panic").expect("a run");
        mask(&render(arguments, &output), self.admin)
    }
}

/// Replaces the parts that differ between runs: the admin address by `ADMIN`, and hashes, keys and other ports by
/// letters of the same length.
fn mask(text: &str, admin: SocketAddr) -> String {
    let text = text.replace(&admin.to_string(), "ADMIN");
    let mut after_colon = false;
    let words = text.split_inclusive(|letter: char| !letter.is_ascii_alphanumeric());
    let words = words.map(|word| {
        let bare = word.trim_end_matches(|letter: char| !letter.is_ascii_alphanumeric());
        let is_hash =
            matches!(bare.len(), 16 | 64) && bare.bytes().all(|byte| byte.is_ascii_hexdigit());
        let is_port =
            after_colon && bare.len() == 5 && bare.bytes().all(|byte| byte.is_ascii_digit());
        after_colon = word.ends_with(':');
        if is_hash || is_port {
            let letter = if is_hash { "h" } else { "N" };
            word.replace(bare, &letter.repeat(bare.len()))
        } else {
            word.to_owned()
        }
    });
    words.collect()
}
