//! Plays the scripts of the third review: `review-standin-3 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod server;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let result = match case.as_str() {
        "foreign-weights" => cases::foreign_weights(folder),
        "foreign-address" => cases::foreign_address(folder),
        "crowd-memory" => cases::crowd_memory(folder),
        "foreign-fields" => cases::foreign_fields(folder),
        "dedicated-tenant" => cases::dedicated_tenant(folder),
        "unreadable-page" => cases::unreadable_page(folder),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
