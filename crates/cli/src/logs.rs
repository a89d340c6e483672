//! Reads the logs of daemons and gateways, which hold one JSON object per line.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde_json::{Map, Value};

use crate::error::Error;

/// Line of a log.
#[derive(Debug)]
pub(crate) struct Line {
    pub(crate) time: f64,
    pub(crate) fields: Map<String, Value>,
}

impl Line {
    /// Parses a line. Text before the JSON object, which log collectors add, is skipped.
    fn parse(text: &str) -> Option<Self> {
        let object = text.get(text.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time = fields.get("time")?.as_f64()?;
        Some(Self { time, fields })
    }

    /// Returns the text of a field, or an empty string if the line has no such text field.
    pub(crate) fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the whole number of a field, or 0 if the line has no such field.
    pub(crate) fn number(&self, field: &str) -> u64 {
        self.fields
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }
}

/// Reads files (`-` is standard input) and calls `on_line` with each line that is not blank, or with `None` if the line
/// cannot be parsed.
pub(crate) fn read(files: &[PathBuf], mut on_line: impl FnMut(Option<Line>)) -> Result<(), Error> {
    for file in files {
        read_file(file, &mut on_line).map_err(|error| {
            let message = format!("{}: cannot be read: {error}", file.display());
            Error::usage(message, "name readable log files, or - for standard input")
        })?;
    }
    Ok(())
}

fn read_file(file: &Path, on_line: impl FnMut(Option<Line>)) -> io::Result<()> {
    if file.as_os_str() == "-" {
        return read_lines(io::stdin().lock(), on_line);
    }
    read_lines(BufReader::new(File::open(file)?), on_line)
}

fn read_lines(reader: impl BufRead, mut on_line: impl FnMut(Option<Line>)) -> io::Result<()> {
    for bytes in reader.split(b'\n') {
        let bytes = bytes?;
        let text = String::from_utf8_lossy(&bytes);
        if !text.trim().is_empty() {
            on_line(Line::parse(&text));
        }
    }
    Ok(())
}
