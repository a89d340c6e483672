//! `jaystand losses`: counts from the gateways' logs how requests ended and which of them were late or lost.
//!
//! Each request is counted once, by the line that its host logs when the request ends. A stream is late if its first
//! event or a pause between two events exceeds its limit. The two cases have different remedies, so they are counted
//! apart.

use std::collections::BTreeMap;

use clap::ValueEnum;
use serde_json::{Value, json};

use crate::{
    arguments::Losses,
    error::Error,
    logs::{self, Line},
    output::{Output, print_table},
};

/// Message of the line that a host logs when a request ends.
const ENDED_MESSAGE: &str = "request ended";
/// Reasons that the gateway logs for streams that end before their last event.
const CUT_REASONS: [&str; 2] = ["stream broke off", "stream overdue"];
/// Size classes: most prompt tokens of a request in the class, and name.
const SIZE_CLASSES: [(u64, &str); 4] = [
    (0, "no prompt"),
    (1_000, "to 1,000"),
    (4_000, "to 4,000"),
    (16_000, "to 16,000"),
];
/// Name of the class for prompts that are larger than all of [`SIZE_CLASSES`].
const LARGEST_SIZE_CLASS: &str = "over 16,000";

/// Property that requests are grouped by.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub(crate) enum Group {
    /// Kind of request.
    #[default]
    Kind,
    /// Team.
    Team,
    /// Host that received the request.
    Host,
    /// Backend server that was tried last.
    Server,
    /// Prompt tokens.
    Size,
    /// Seconds since the first line, in slices.
    Time,
    /// Reason why the request ended.
    Reason,
}

/// How a request ended, as counted in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Category {
    InTime,
    LateFirst,
    LatePause,
    Cut,
    Refused,
    Failed,
    Rejected,
    Gone,
}

impl Category {
    const ALL: [(Self, &str); 8] = [
        (Self::InTime, "in time"),
        (Self::LateFirst, "late first"),
        (Self::LatePause, "late pause"),
        (Self::Cut, "cut"),
        (Self::Refused, "refused"),
        (Self::Failed, "failed"),
        (Self::Rejected, "rejected"),
        (Self::Gone, "gone"),
    ];

    /// Returns the category of the request whose end a line reports.
    fn from_line(line: &Line) -> Self {
        let reason = line.text("reason");
        let exceeds = |value_field: &str, limit_field: &str| {
            line.number(limit_field) > 0 && line.number(value_field) > line.number(limit_field)
        };
        match line.number("status") {
            499 => Self::Gone,
            200..=299 if reason == "caller gone" => Self::Gone,
            _ if CUT_REASONS.contains(&reason) => Self::Cut,
            200..=299 if exceeds("first_ms", "objective_ms") => Self::LateFirst,
            200..=299 if exceeds("pause_ms", "most_pause_ms") => Self::LatePause,
            200..=299 => Self::InTime,
            408 | 421 | 429 | 503 if reason != "answered" => Self::Refused,
            400..=499 => Self::Rejected,
            _ => Self::Failed,
        }
    }
}

/// Counts and times of the requests of one group.
#[derive(Debug, Default)]
struct Row {
    counts: BTreeMap<Category, u64>,
    first_ms: Vec<u64>,
    pause_ms: Vec<u64>,
}

impl Row {
    fn count_of(&self, category: Category) -> u64 {
        self.counts.get(&category).copied().unwrap_or(0)
    }

    fn to_json(&self, group: &str) -> Value {
        let mut value = json!({
            "group": group,
            "requests": self.counts.values().sum::<u64>(),
            "first_p50_ms": percentile(&self.first_ms, 50),
            "first_p99_ms": percentile(&self.first_ms, 99),
            "pause_p50_ms": percentile(&self.pause_ms, 50),
            "pause_p99_ms": percentile(&self.pause_ms, 99),
        });
        for (category, name) in Category::ALL {
            value[name] = self.count_of(category).into();
        }
        value
    }
}

pub(crate) fn run(command: &Losses, output: &Output) -> Result<(), Error> {
    let mut lines = Vec::new();
    logs::read(&command.files, |line| {
        lines.extend(line.filter(|line| line.text("message") == ENDED_MESSAGE));
    })?;
    if lines.is_empty() {
        return Err(Error::refused(
            "no line tells of a request that ended",
            "name the logs of gateways, at level info or finer",
        ));
    }
    let start = lines
        .iter()
        .map(|line| line.time)
        .fold(f64::INFINITY, f64::min);
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for line in &lines {
        let group = group_name(line, command, start);
        let row = rows.entry(group).or_default();
        *row.counts.entry(Category::from_line(line)).or_default() += 1;
        row.first_ms
            .extend(Some(line.number("first_ms")).filter(|ms| *ms > 0));
        row.pause_ms
            .extend(Some(line.number("pause_ms")).filter(|ms| *ms > 0));
    }
    for row in rows.values_mut() {
        row.first_ms.sort_unstable();
        row.pause_ms.sort_unstable();
    }
    let rows: Vec<Value> = rows.iter().map(|(group, row)| row.to_json(group)).collect();
    let mut columns = vec![("group", "/group"), ("requests", "/requests")];
    let pointers: Vec<String> = Category::ALL
        .iter()
        .map(|(_, name)| format!("/{name}"))
        .collect();
    let names = Category::ALL.iter().map(|(_, name)| *name);
    columns.extend(names.zip(pointers.iter().map(String::as_str)));
    columns.extend([
        ("first p50 ms", "/first_p50_ms"),
        ("p99", "/first_p99_ms"),
        ("pause p50 ms", "/pause_p50_ms"),
        ("p99", "/pause_p99_ms"),
    ]);
    output.show(&json!({ "groups": rows }), || print_table(&rows, &columns));
    Ok(())
}

fn group_name(line: &Line, command: &Losses, start: f64) -> String {
    match command.by {
        Group::Kind => line.text("kind").to_owned(),
        Group::Team => line.text("team").to_owned(),
        Group::Host => line.text("host").to_owned(),
        Group::Server => line.text("server").to_owned(),
        Group::Reason => line.text("reason").to_owned(),
        Group::Size => {
            let prompt_tokens = line.number("prompt");
            let class = SIZE_CLASSES
                .iter()
                .find(|(max_tokens, _)| prompt_tokens <= *max_tokens);
            class
                .map_or(LARGEST_SIZE_CLASS, |(_, name)| name)
                .to_owned()
        }
        Group::Time => {
            let slice = command.slice.as_secs_f64().max(0.001);
            format!("{:9.1} s", ((line.time - start) / slice).floor() * slice)
        }
    }
}

/// Returns a percentile of sorted values by the nearest-rank method.
fn percentile(sorted: &[u64], percent: usize) -> Option<u64> {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied()
}
