//! Logging to standard error, one JSON object a line.

use std::{
    fmt, io,
    time::{SystemTime, UNIX_EPOCH},
};

use log::{LevelFilter, Record};
use serde::Serialize;

/// Logging could not be installed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("a logger is already installed")]
#[diagnostic(help("install logging once, at the start of the process"))]
pub struct LoggingError(#[from] log::SetLoggerError);

#[derive(Serialize)]
struct Line<'a> {
    time: f64,
    level: &'static str,
    target: &'a str,
    host: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

/// Installs the JSON logger for the process. `host` is added to each line.
///
/// Records may carry a `request` key-value pair, which becomes a field of the line.
///
/// # Errors
/// Fails when a logger is installed already.
pub fn install(host: impl Into<String>, level: LevelFilter) -> Result<(), LoggingError> {
    let host = host.into();
    fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .level_for("h2", LevelFilter::Warn)
        .level_for("hyper_util", LevelFilter::Warn)
        .level_for("tower", LevelFilter::Warn)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", render(&host, message, record)));
        })
        .chain(io::stderr())
        .apply()?;
    set_level(level);
    Ok(())
}

/// Changes the level of the running process.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

fn render(host: &str, message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let line = Line {
        time: time.as_secs_f64(),
        level: record.level().as_str(),
        target: record.target(),
        host,
        message: &message.to_string(),
        request: record
            .key_values()
            .get("request".into())
            .map(|value| value.to_string()),
    };
    serde_json::to_string(&line).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}
