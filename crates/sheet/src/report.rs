//! Faults and changes as text, in the form that the admin API sends and the command line reads.

use jaystand_types::common;
use miette::Diagnostic as _;

use crate::{Action, Change, Fault, Faults, Place};

common! { message
    /// A fault as text, with its place.
    pub struct FaultReport {
        /// The place of the fault, as text.
        pub place: String,
        /// The row of the sheet, as the spreadsheet numbers it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub row: Option<usize>,
        /// The column of the sheet.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub column: Option<String>,
        /// What is wrong.
        pub problem: String,
        /// How to correct it.
        pub remedy: String,
    }

    /// A change as text.
    pub struct ChangeReport {
        /// `added`, `removed` or `changed`.
        pub action: String,
        /// What changes.
        pub subject: String,
        /// The complete change on one line.
        pub text: String,
    }
}

impl From<&Fault> for FaultReport {
    fn from(fault: &Fault) -> Self {
        let (row, column) = match &fault.place {
            Place::Row(row) => (Some(*row), None),
            Place::Cell(row, column) => (Some(*row), Some(column.to_string())),
            Place::Sheet | Place::Entry(..) => (None, None),
        };
        Self {
            place: fault.place.to_string(),
            row,
            column,
            problem: fault.problem.to_string(),
            remedy: fault
                .help()
                .map(|help| help.to_string())
                .unwrap_or_default(),
        }
    }
}

impl FaultReport {
    /// Returns a report of each fault, in reading order.
    #[must_use]
    pub fn from_faults(faults: &Faults) -> Vec<Self> {
        faults.faults.iter().map(Self::from).collect()
    }
}

impl From<&Change> for ChangeReport {
    fn from(change: &Change) -> Self {
        let action = match &change.action {
            Action::Added => "added",
            Action::Removed => "removed",
            Action::Changed(_) => "changed",
        };
        Self {
            action: action.to_owned(),
            subject: change.subject.to_string(),
            text: change.to_string(),
        }
    }
}

impl ChangeReport {
    /// Returns a report of each change, in the given order.
    #[must_use]
    pub fn from_changes(changes: &[Change]) -> Vec<Self> {
        changes.iter().map(Self::from).collect()
    }
}
