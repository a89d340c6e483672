//! `jaystand sheet`: checks, compares, applies and rolls back configurations, and shows where they are in force.

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
    output::{Output, print_table},
};

/// Time between two status calls while waiting for hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const GREEN: Style = AnsiColor::Green.on_default();
const YELLOW: Style = AnsiColor::Yellow.on_default();
const RED: Style = AnsiColor::Red.on_default();
/// Columns of the host table: header and JSON pointer.
const HOST_COLUMNS: &[(&str, &str)] = &[
    ("host", "/name"),
    ("data centre", "/data_centre"),
    ("state", "/state"),
    ("version", "/config/version"),
    ("hash", "/config/hash"),
    ("told ms ago", "/config/age_ms"),
];

pub(crate) async fn run(
    command: Sheet,
    new_client: impl Fn() -> Result<Client, Error>,
    output: &Output,
) -> Result<(), Error> {
    match command {
        Sheet::Check { sheet, directory } => check(&sheet, &directory, output),
        Sheet::Diff(files) => diff(&files, &new_client()?, output).await,
        Sheet::Apply {
            files,
            parent,
            signature,
            waiting,
        } => {
            let client = new_client()?;
            apply(&files, parent, &signature, &waiting, &client, output).await
        }
        Sheet::Status => status(&new_client()?, output).await,
        Sheet::History { limit } => history(limit, &new_client()?, output).await,
        Sheet::Rollback {
            version,
            signature,
            waiting,
        } => rollback(version, &signature, &waiting, &new_client()?, output).await,
    }
}

fn check(sheet: &Path, directory: &Path, output: &Output) -> Result<(), Error> {
    let document = Document {
        sheet: read_text(sheet)?,
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
    let body = proposal_body(files, &in_force, None)?;
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
    parent: Option<Version>,
    signature: &Signature,
    waiting: &Waiting,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let in_force = client.config().await?.unwrap_or_default();
    let body = proposal_body(files, &in_force, Some(signature))?;
    let parent = parent.unwrap_or(in_force.version);
    let accepted = put_config(client, parent, &body).await?;
    report_accepted(&accepted, waiting, client, output).await
}

/// Replaces the configuration of version `parent`; the daemon refuses if that is not the newest one.
pub(crate) async fn put_config(
    client: &Client,
    parent: Version,
    body: &Value,
) -> Result<Value, Error> {
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
    report_accepted(&accepted, waiting, client, output).await
}

/// Reports an accepted change. With `--wait`, first waits until it is in force on all hosts.
async fn report_accepted(
    accepted: &Value,
    waiting: &Waiting,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    let version = accepted["version"].as_u64().unwrap_or_default();
    if waiting.wait {
        wait_for_hosts(version, waiting.timeout, client).await?;
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

/// Polls the status until all hosts have this version in force; fails with their names after `timeout`.
async fn wait_for_hosts(version: Version, timeout: Duration, client: &Client) -> Result<(), Error> {
    // Hidden when standard error is not a terminal.
    let progress = ProgressBar::new_spinner();
    progress.enable_steady_tick(POLL_INTERVAL);
    let deadline = tokio::time::Instant::now() + timeout;
    loop {
        let status = client.get("/v1/status").await?;
        let missing = missing_hosts(&status, version);
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the names of hosts that are not gone and have not confirmed this version or a newer one.
fn missing_hosts(status: &Value, version: Version) -> Vec<&str> {
    let hosts = status["hosts"].as_array();
    let hosts = hosts.map_or(&[][..], Vec::as_slice).iter();
    hosts
        .filter(|host| host["state"] != "gone")
        .filter(|host| {
            let in_force = host["config"]["version"].as_u64();
            in_force.is_none_or(|in_force| in_force < version)
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
        let summary = if status["in_force_everywhere"] == true {
            "in force on all hosts"
        } else {
            "not yet in force on all hosts"
        };
        anstream::println!("{summary}");
        let hosts = status["hosts"].as_array();
        print_table(hosts.map_or(&[][..], Vec::as_slice), HOST_COLUMNS);
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
    output.show_table(&client.get(&path).await?, "versions", &columns);
    Ok(())
}

/// Builds the body of a call that proposes a configuration. Without a directory file, the directory in force stays.
fn proposal_body(
    files: &Files,
    in_force: &Document,
    signature: Option<&Signature>,
) -> Result<Value, Error> {
    let directory = match &files.directory {
        Some(path) => read_directory(path)?,
        None => in_force.directory.clone(),
    };
    Ok(json!({
        "sheet": read_text(&files.sheet)?,
        "directory": directory,
        "author": signature.map_or("", |signature| signature.author.as_str()),
        "note": signature.map_or("", |signature| signature.note.as_str()),
    }))
}

fn read_text(path: &Path) -> Result<String, Error> {
    let bytes = std::fs::read(path).map_err(|error| {
        Error::usage(
            format!("{}: cannot be read: {error}", path.display()),
            "name a readable file with --sheet or --directory",
        )
    })?;
    String::from_utf8(bytes).map_err(|error| {
        let offset = error.utf8_error().valid_up_to();
        Error::refused(
            format!("{}: is not UTF-8 from byte {offset} on", path.display()),
            "export the file again in UTF-8",
        )
    })
}

fn read_directory(path: &Path) -> Result<Directory, Error> {
    serde_json::from_str(&read_text(path)?).map_err(|error| {
        Error::refused(
            format!("{}: is not a directory: {error}", path.display()),
            "correct the file at that line and column",
        )
    })
}
