//! `jaystand settings`: runs the daemon's checks on a settings file and prints the daemon's defaults.

use jaystand_daemon::settings as daemon;
use serde_json::json;

use crate::{
    arguments::Settings,
    error::{Class, Error},
    output::Output,
};
use jaystand_sheet::FaultReport;

/// Key that the daemon reports for a file that cannot be read or is not TOML.
const WHOLE_FILE: &str = "(file)";

pub(crate) fn run(command: &Settings, output: &Output) -> Result<(), Error> {
    let file = match command {
        Settings::Defaults => {
            anstream::print!("{}", daemon::defaults());
            return Ok(());
        }
        Settings::Check { file } => file,
    };
    if let Err(error) = std::fs::metadata(file) {
        return Err(Error::usage(
            format!("{}: cannot be read: {error}", file.display()),
            "name a readable settings file",
        ));
    }
    let Err(faults) = daemon::Settings::read(file) else {
        output.show(&json!({"faults": []}), || {
            anstream::println!("{}: no faults", file.display());
        });
        return Ok(());
    };
    let reports: Vec<FaultReport> = faults.faults.iter().map(fault_report).collect();
    let message = format!("{} fault(s) found", reports.len());
    if output.json {
        output.show(&json!({"faults": reports}), || {});
        return Err(Error::new(Class::Refused, message));
    }
    Err(Error::refused(message, "correct every fault listed and check again").with_faults(reports))
}

fn fault_report(fault: &daemon::Fault) -> FaultReport {
    let place = if fault.key == WHOLE_FILE {
        fault.file.clone()
    } else {
        format!("{}, `{}`", fault.file, fault.key)
    };
    FaultReport {
        place,
        row: None,
        column: None,
        problem: fault.problem.clone(),
        remedy: fault.remedy.clone(),
    }
}
