//! Errors of commands: message, remedy, listed details and exit code.

use anstyle::{AnsiColor, Style};
use jaystand_sheet::{ChangeReport, FaultReport};

const RED: Style = AnsiColor::Red.on_default().bold();
const CYAN: Style = AnsiColor::Cyan.on_default();

/// Class of an error; it decides the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Class {
    Refused,
    Usage,
    Unreachable,
    Conflict,
}

/// Error of a command with its remedy.
#[derive(Debug)]
pub(crate) struct Error {
    class: Class,
    message: String,
    remedy: Option<String>,
    details: Box<Details>,
}

/// Faults and changes that are printed along with the message.
#[derive(Debug, Default)]
struct Details {
    faults: Vec<FaultReport>,
    theirs: Vec<ChangeReport>,
    yours: Vec<ChangeReport>,
}

impl Error {
    /// Creates an error without a separate remedy: its message names the remedy, or the details listed with it do.
    pub(crate) fn new(class: Class, message: impl Into<String>) -> Self {
        Self {
            class,
            message: message.into(),
            remedy: None,
            details: Box::default(),
        }
    }

    pub(crate) fn refused(message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::new(Class::Refused, message).with_remedy(remedy)
    }

    pub(crate) fn usage(message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::new(Class::Usage, message).with_remedy(remedy)
    }

    pub(crate) fn unreachable(message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::new(Class::Unreachable, message).with_remedy(remedy)
    }

    fn with_remedy(self, remedy: impl Into<String>) -> Self {
        Self {
            remedy: Some(remedy.into()),
            ..self
        }
    }

    pub(crate) fn with_faults(mut self, faults: Vec<FaultReport>) -> Self {
        self.details.faults = faults;
        self
    }

    pub(crate) fn with_conflict(
        mut self,
        theirs: Vec<ChangeReport>,
        yours: Vec<ChangeReport>,
    ) -> Self {
        self.details.theirs = theirs;
        self.details.yours = yours;
        self
    }

    /// Returns the exit code of the error's class.
    pub(crate) fn exit_code(&self) -> u8 {
        match self.class {
            Class::Refused => 1,
            Class::Usage => 2,
            Class::Unreachable => 3,
            Class::Conflict => 4,
        }
    }

    /// Prints the error and its details to standard error.
    pub(crate) fn print(&self) {
        for fault in &self.details.faults {
            anstream::eprintln!("{}: {}", fault.place, fault.problem);
            anstream::eprintln!("  {CYAN}help:{CYAN:#} {}", fault.remedy);
        }
        anstream::eprintln!("{RED}error:{RED:#} {}", self.message);
        if let Some(remedy) = &self.remedy {
            anstream::eprintln!("  {CYAN}help:{CYAN:#} {remedy}");
        }
        print_changes("what the other operator changed", &self.details.theirs);
        print_changes("what your change would do now", &self.details.yours);
    }
}

fn print_changes(title: &str, changes: &[ChangeReport]) {
    if changes.is_empty() {
        return;
    }
    anstream::eprintln!("{title}:");
    for change in changes {
        anstream::eprintln!("  {}", change.text);
    }
}
