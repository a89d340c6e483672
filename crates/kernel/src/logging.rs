//! JSON logging: each record becomes one JSON object on its own line.

use std::{
    fmt, io,
    time::{SystemTime, UNIX_EPOCH},
};

use log::{
    LevelFilter, Record,
    kv::{Key, Value, VisitSource},
};
use serde::Serialize;

/// The error returned when a logger is already installed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("a logger is already installed")]
#[diagnostic(help("install logging once, at the start of the process"))]
pub struct LoggingError(#[from] log::SetLoggerError);

/// One line of the log.
#[derive(Serialize)]
struct Line<'a> {
    /// Seconds since the Unix epoch.
    time: f64,
    level: &'static str,
    target: &'a str,
    host: &'a str,
    message: &'a str,
    #[serde(flatten)]
    fields: serde_json::Map<String, serde_json::Value>,
}

/// Collects the key-value pairs of a record as JSON.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            number.into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Installs the JSON logger for the process. It writes to standard error and adds `host` to each line.
///
/// The key-value pairs of a record become fields of its line.
///
/// # Errors
/// Fails when a logger is already installed.
pub fn install(host: impl Into<String>, level: LevelFilter) -> Result<(), LoggingError> {
    install_with(host, level, |_| true, io::stderr())
}

/// Installs the JSON logger with the given output and filter. Records for which `filter` returns `false` are dropped,
/// so that a caller can bound their number.
///
/// # Errors
/// Fails when a logger is already installed.
pub fn install_with(
    host: impl Into<String>,
    level: LevelFilter,
    filter: impl Fn(&log::Metadata<'_>) -> bool + Send + Sync + 'static,
    output: impl Into<fern::Output>,
) -> Result<(), LoggingError> {
    let host = host.into();
    fern::Dispatch::new()
        .level(LevelFilter::Trace)
        .level_for("h2", LevelFilter::Warn)
        .level_for("hyper_util", LevelFilter::Warn)
        .level_for("tower", LevelFilter::Warn)
        .filter(filter)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", render(&host, message, record)));
        })
        .chain(output)
        .apply()?;
    set_level(level);
    Ok(())
}

/// Sets the log level of the running process.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level);
}

/// Renders a record as one line of JSON.
fn render(host: &str, message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = Fields(serde_json::Map::new());
    // `Fields` accepts every pair, so the visit cannot fail.
    let _ = record.key_values().visit(&mut fields);
    let line = Line {
        time: time.as_secs_f64(),
        level: record.level().as_str(),
        target: record.target(),
        host,
        message: &message.to_string(),
        fields: fields.0,
    };
    serde_json::to_string(&line).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}
