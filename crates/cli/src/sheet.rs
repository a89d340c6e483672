//! `jaystand sheet`: check, compare, apply, follow and roll back configurations.

use std::{path::Path, time::Duration};

use anstyle::{AnsiColor, Style};
use hyper::Method;
use indicatif::ProgressBar;
use jaystand_sheet::{Directory, Document, FaultReport};
use jaystand_types::Version;
use serde_json::{Value, json};

use crate::{
    arguments::{Files, Sheet, Signature, Waiting},
    client::Client,
    error::Error,
    output::{Output, table},
};

/// Time between two looks at the state while waiting.
const POLL: Duration = Duration::from_millis(250);
const GREEN: Style = AnsiColor::Green.on_default();
const YELLOW: Style = AnsiColor::Yellow.on_default();
const RED: Style = AnsiColor::Red.on_default();
const HOSTS: &[(&str, &str)] = &[
    ("host", "/name"),
    ("data centre", "/data_centre"),
    ("state", "/state"),
    ("version", "/config/version"),
    ("hash", "/config/hash"),
    ("told ms ago", "/config/age_ms"),
];

pub(crate) async fn run(
    command: Sheet,
    client: impl Fn() -> Result<Client, Error>,
    output: &Output,
) -> Result<(), Error> {
    match command {
        Sheet::Check { sheet, directory } => check(&sheet, &directory, output),
        Sheet::Diff(files) => diff(&files, &client()?, output).await,
        Sheet::Apply {
            files,
            on,
            signature,
            waiting,
        } => {
            let client = client()?;
            apply(&files, on, &signature, &waiting, &client, output).await
        }
        Sheet::Status => status(&client()?, output).await,
        Sheet::History { limit } => history(limit, &client()?, output).await,
        Sheet::Rollback {
            version,
            signature,
            waiting,
        } => rollback(version, &signature, &waiting, &client()?, output).await,
    }
}

fn check(sheet: &Path, directory: &Path, output: &Output) -> Result<(), Error> {
    let document = Document {
        sheet: read(sheet)?,
        directory: read_directory(directory)?,
        ..Document::default()
    };
    match document.check() {
        Ok(checked) => {
            let rules = checked.rules.len();
            output.show(&json!({"rules": rules, "faults": []}), || {
                anstream::println!("{GREEN}no faults:{GREEN:#} {rules} rules");
            });
            Ok(())
        }
        Err(faults) => {
            let reports = FaultReport::from_faults(&faults);
            let error = Error::refused(
                format!("{} fault(s) found", reports.len()),
                "correct every fault listed and check again",
            );
            if output.json {
                output.show(&json!({"faults": reports}), || {});
                return Err(error);
            }
            Err(error.with_faults(reports))
        }
    }
}

async fn diff(files: &Files, client: &Client, output: &Output) -> Result<(), Error> {
    let in_force = client.config().await?.unwrap_or_default();
    let body = proposal(files, &in_force, None)?;
    let difference = client.post("/v1/config/diff", &body).await?;
    output.show(&difference, || {
        let changes = difference["changes"].as_array();
        let changes = changes.map_or(&[][..], Vec::as_slice);
        anstream::println!("against version {}:", difference["version"]);
        if changes.is_empty() {
            anstream::println!("  no change");
        }
        for change in changes {
            let colour = match change["action"].as_str() {
                Some("added") => GREEN,
                Some("removed") => RED,
                _ => YELLOW,
            };
            let text = change["text"].as_str().unwrap_or_default();
            anstream::println!("  {colour}{text}{colour:#}");
        }
    });
    Ok(())
}

async fn apply(
    files: &Files,
    on: Option<Version>,
    signature: &Signature,
    waiting: &Waiting,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let in_force = client.config().await?.unwrap_or_default();
    let body = proposal(files, &in_force, Some(signature))?;
    let parent = on.unwrap_or(in_force.version);
    let accepted = put(client, parent, &body).await?;
    finish(&accepted, waiting, client, output).await
}

/// Replaces the configuration of version `parent`.
pub(crate) async fn put(client: &Client, parent: Version, body: &Value) -> Result<Value, Error> {
    let path = "/v1/config";
    client.call(Method::PUT, path, Some(parent), body).await
}

async fn rollback(
    version: Version,
    signature: &Signature,
    waiting: &Waiting,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let body = json!({
        "version": version,
        "author": signature.author,
        "note": signature.note,
    });
    let accepted = client.post("/v1/config/rollback", &body).await?;
    finish(&accepted, waiting, client, output).await
}

/// Reports an accepted change, after it is in force everywhere if that is wanted.
async fn finish(
    accepted: &Value,
    waiting: &Waiting,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let version = accepted["version"].as_u64().unwrap_or_default();
    if waiting.wait {
        wait(version, waiting.timeout, client).await?;
    }
    output.show(accepted, || {
        let state = if waiting.wait {
            "is in force on all hosts"
        } else {
            "is accepted"
        };
        anstream::println!("{GREEN}version {version} {state}{GREEN:#}");
    });
    Ok(())
}

async fn wait(version: Version, timeout: Duration, client: &Client) -> Result<(), Error> {
    // Hidden when standard error is not a terminal.
    let progress = ProgressBar::new_spinner();
    progress.enable_steady_tick(POLL);
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        let status = client.get("/v1/status").await?;
        let missing = missing(&status, version);
        if missing.is_empty() {
            progress.finish_and_clear();
            return Ok(());
        }
        let names = missing.join(", ");
        progress.set_message(format!("version {version}: waiting for {names}"));
        if tokio::time::Instant::now() >= deadline {
            progress.finish_and_clear();
            return Err(Error::unreachable(
                format!("version {version} is accepted, but {names} did not confirm it in time"),
                "look at `jaystand sheet status` again; hosts that were cut off follow when they rejoin",
            ));
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Hosts that serve and are not known to have this version or a newer one.
fn missing(status: &Value, version: Version) -> Vec<&str> {
    let hosts = status["hosts"].as_array();
    let hosts = hosts.map_or(&[][..], Vec::as_slice).iter();
    hosts
        .filter(|host| host["state"] != "gone")
        .filter(|host| {
            let held = host["config"]["version"].as_u64();
            held.is_none_or(|held| held < version)
        })
        .map(|host| host["name"].as_str().unwrap_or("a host"))
        .collect()
}

async fn status(client: &Client, output: &Output) -> Result<(), Error> {
    let status = client.get("/v1/status").await?;
    output.show(&status, || {
        let config = &status["config"];
        if config.is_null() {
            anstream::println!("no configuration is in force");
        } else {
            let author = config["author"].as_str().unwrap_or_default();
            let note = config["note"].as_str().unwrap_or_default();
            anstream::println!("version {} by `{author}`: {note}", config["version"]);
        }
        let everywhere = if status["in_force_everywhere"] == true {
            "in force on all hosts"
        } else {
            "not yet in force on all hosts"
        };
        anstream::println!("{everywhere}");
        let hosts = status["hosts"].as_array();
        table(hosts.map_or(&[][..], Vec::as_slice), HOSTS);
    });
    Ok(())
}

async fn history(limit: u16, client: &Client, output: &Output) -> Result<(), Error> {
    let path = format!("/v1/config/history?limit={limit}");
    let columns = [
        ("version", "/version"),
        ("replaced", "/parent"),
        ("author", "/author"),
        ("note", "/note"),
    ];
    output.table(&client.get(&path).await?, "versions", &columns);
    Ok(())
}

fn proposal(
    files: &Files,
    in_force: &Document,
    signature: Option<&Signature>,
) -> Result<Value, Error> {
    let directory = match &files.directory {
        Some(path) => read_directory(path)?,
        None => in_force.directory.clone(),
    };
    Ok(json!({
        "sheet": read(&files.sheet)?,
        "directory": directory,
        "author": signature.map_or("", |it| it.author.as_str()),
        "note": signature.map_or("", |it| it.note.as_str()),
    }))
}

fn read(path: &Path) -> Result<String, Error> {
    let bytes = std::fs::read(path).map_err(|error| {
        Error::usage(
            format!("{}: cannot be read: {error}", path.display()),
            "name a readable file with --sheet or --directory",
        )
    })?;
    String::from_utf8(bytes).map_err(|error| {
        let at = error.utf8_error().valid_up_to();
        Error::refused(
            format!("{}: is not UTF-8 from byte {at} on", path.display()),
            "export the file again in UTF-8",
        )
    })
}

fn read_directory(path: &Path) -> Result<Directory, Error> {
    serde_json::from_str(&read(path)?).map_err(|error| {
        Error::refused(
            format!("{}: is not a directory: {error}", path.display()),
            "correct the file at that line and column",
        )
    })
}
