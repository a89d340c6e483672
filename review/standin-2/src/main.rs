//! The stand-ins and checks of the scripts under `review/`.
//!
//! `review-standin-2 CASE RECORD` writes the file RECORD, and exits with 0 if the rule held, 1 if it was broken, and 2 if
//! the case could not run.

mod crowd;
mod engine;
mod entries;
mod fields;
mod http;
mod models;
mod record;
mod site;
mod stop;
mod store;
mod twice;
mod upload;
mod wall;

use std::{path::Path, process::ExitCode};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match record::Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble: {trouble}"));
    let result = match case.as_str() {
        "crowd" => crowd::run(&record, trouble),
        "entries" => entries::run(&record, trouble),
        "fields" => fields::run(&record, trouble),
        "models" => models::run(&record, trouble),
        "stop" => stop::run(&record, trouble),
        "twice" => twice::run(&record, trouble),
        "upload" => upload::run(&record, trouble),
        "wall" => wall::run(&record, trouble),
        _ => Err("unknown case".into()),
    };
    match result {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
