//! Faults and changes as the admin API sends them and the command line reads them.

use jaystand_types::common;
use miette::Diagnostic as _;

use crate::{Action, Change, Fault, Faults, Place};

common! { message
    /// A fault as text, with its place.
    pub struct FaultReport {
        /// Where it is, in words.
        pub place: String,
        /// Row of the sheet as the spreadsheet numbers it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub row: Option<usize>,
        /// Column of the sheet.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub column: Option<String>,
        /// What is wrong.
        pub problem: String,
        /// What to write in its place.
        pub remedy: String,
    }

    /// A change as text.
    pub struct ChangeReport {
        /// `added`, `removed` or `changed`.
        pub action: String,
        /// What changes.
        pub subject: String,
        /// The whole change on one line.
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
    /// Every fault, in reading order.
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
    /// Every change, in the order of [`crate::diff`].
    #[must_use]
    pub fn from_changes(changes: &[Change]) -> Vec<Self> {
        changes.iter().map(Self::from).collect()
    }
}
