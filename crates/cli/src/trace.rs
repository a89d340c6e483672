//! `jaystand trace`: prints the log lines of one request in order of time, from the logs of several daemons.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use crate::{
    arguments::Trace,
    error::Error,
    logs::{self, Line},
    output::Output,
};

/// Context starts this many seconds before the request's first line, since entries, weights and stores change some
/// seconds before the change affects a request.
const CONTEXT_BEFORE_S: f64 = 5.0;
/// Fields that are not printed as details: they have a column or are of no use to operators.
const NON_DETAIL_FIELDS: [&str; 6] = ["time", "host", "level", "message", "target", "request"];

/// Log lines of a request, and the lines that may be printed as its context.
#[derive(Debug, Default)]
struct Timeline {
    lines: Vec<Line>,
    /// Lines that name no request.
    context: Vec<Line>,
    /// Number of lines that could not be parsed.
    unreadable: usize,
}

pub(crate) fn run(command: &Trace, output: &Output) -> Result<(), Error> {
    let mut timeline = Timeline::default();
    logs::read(&command.files, |line| timeline.add_line(&command.id, line))?;
    if timeline.lines.is_empty() {
        let message = format!(
            "no line names request {}; {} line(s) could not be read",
            command.id, timeline.unreadable
        );
        let remedy = "check the id, and name the logs of all hosts of that time";
        return Err(Error::refused(message, remedy));
    }
    timeline.sort_lines(command.context);
    let value = json!({
        "request": command.id,
        "lines": timeline.lines.iter().map(|line| &line.fields).collect::<Vec<_>>(),
        "unreadable": timeline.unreadable,
    });
    output.show(&value, || timeline.print());
    Ok(())
}

impl Timeline {
    fn add_line(&mut self, id: &str, line: Option<Line>) {
        match line {
            Some(line) if line.text("request") == id => self.lines.push(line),
            Some(line) if line.fields.contains_key("request") => {}
            Some(line) => self.context.push(line),
            None => self.unreadable += 1,
        }
    }

    /// Sorts the lines by time. With `with_context`, first adds the context lines about the request's servers and
    /// hosts.
    fn sort_lines(&mut self, with_context: bool) {
        let context = std::mem::take(&mut self.context);
        if with_context {
            let times = || self.lines.iter().map(|line| line.time);
            let first = times().fold(f64::INFINITY, f64::min);
            let last = times().fold(0.0, f64::max);
            let names = |field| {
                let values = self
                    .lines
                    .iter()
                    .map(move |line| line.text(field).to_owned());
                values
                    .filter(|name| !name.is_empty())
                    .collect::<BTreeSet<_>>()
            };
            let (servers, hosts) = (names("server"), names("host"));
            let is_related = |line: &Line| {
                let in_time = first - CONTEXT_BEFORE_S <= line.time && line.time <= last;
                let server = line.text("server");
                let concerns_request = if server.is_empty() {
                    hosts.contains(line.text("host"))
                } else {
                    servers.contains(server)
                };
                in_time && concerns_request
            };
            let related: Vec<Line> = context.into_iter().filter(is_related).collect();
            self.lines.extend(related);
        }
        self.lines
            .sort_by(|left, right| left.time.total_cmp(&right.time));
    }

    fn print(&self) {
        let names_request = |line: &&Line| line.fields.contains_key("request");
        let start = self
            .lines
            .iter()
            .find(names_request)
            .map_or(0.0, |line| line.time);
        let width = |field| {
            let lengths = self
                .lines
                .iter()
                .map(|line| line.text(field).chars().count());
            lengths.max().unwrap_or(0)
        };
        let (hosts, messages) = (width("host"), width("message"));
        for line in &self.lines {
            let text = format!(
                "{:+9.3} s  {:hosts$}  {:messages$}  {}",
                line.time - start,
                line.text("host"),
                line.text("message"),
                format_details(line),
            );
            anstream::println!("{}", text.trim_end());
        }
        if self.unreadable > 0 {
            anstream::println!("{} line(s) could not be read", self.unreadable);
        }
    }
}

/// Formats the fields of a line that have no column as `name=value` pairs.
fn format_details(line: &Line) -> String {
    let rest = line
        .fields
        .iter()
        .filter(|(name, _)| !NON_DETAIL_FIELDS.contains(&name.as_str()));
    let pairs = rest.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    pairs.collect::<Vec<_>>().join(" ")
}
