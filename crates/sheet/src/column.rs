//! Columns of the routing sheet and the recognition of its header row.

use std::fmt;

use crate::{
    Fault,
    fault::{Place, Problem},
};

jaystand_types::common! { value
    /// A column of the routing sheet.
    pub enum Column {
        /// Team.
        Team,
        /// Request kind.
        Kind,
        /// Model or plain service.
        Target,
        /// Urgency.
        Urgency,
        /// Repeat rule.
        Repeat,
        /// Backend servers.
        Servers,
        /// Requests in flight at once.
        MaxInFlight,
        /// Requests a minute.
        RequestsPerMinute,
        /// Wanted time to first token.
        FirstToken,
        /// Time for the whole answer.
        Deadline,
        /// Expected answer length.
        ExpectedTokens,
    }
}

impl Column {
    /// Every column, in the usual order.
    pub const ALL: [Self; 11] = [
        Self::Team,
        Self::Kind,
        Self::Target,
        Self::Urgency,
        Self::Repeat,
        Self::Servers,
        Self::MaxInFlight,
        Self::RequestsPerMinute,
        Self::FirstToken,
        Self::Deadline,
        Self::ExpectedTokens,
    ];

    /// The header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Team => "team",
            Self::Kind => "request kind",
            Self::Target => "model or service",
            Self::Urgency => "urgency",
            Self::Repeat => "repeat rule",
            Self::Servers => "backend servers",
            Self::MaxInFlight => "max in flight",
            Self::RequestsPerMinute => "requests per minute",
            Self::FirstToken => "first token ms",
            Self::Deadline => "deadline s",
            Self::ExpectedTokens => "expected tokens",
        }
    }

    pub(crate) fn names() -> String {
        Self::ALL.map(Self::as_str).join(", ")
    }

    fn from_header(text: &str) -> Option<Self> {
        let words: Vec<String> = text
            .split(|letter: char| letter.is_whitespace() || letter == '_')
            .filter(|word| !word.is_empty())
            .map(str::to_lowercase)
            .collect();
        let name = words.join(" ");
        Self::ALL.into_iter().find(|column| column.as_str() == name)
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The position of each column in the rows of one sheet.
pub(crate) struct Header {
    positions: [Option<usize>; Column::ALL.len()],
    /// Cells of the header row. Further cells of a row belong to no column.
    pub(crate) width: usize,
}

impl Header {
    pub(crate) fn read(record: &csv::StringRecord, row: usize, faults: &mut Vec<Fault>) -> Self {
        let mut positions = [None; Column::ALL.len()];
        for (index, text) in record.iter().enumerate() {
            let problem = match Column::from_header(text) {
                // Spreadsheets export a column that only once had content with an empty header.
                None if text.is_empty() => continue,
                None => Problem::UnknownColumn(text.to_owned()),
                Some(column) => match &mut positions[column as usize] {
                    Some(_) => Problem::RepeatedColumn(column),
                    free => {
                        *free = Some(index);
                        continue;
                    }
                },
            };
            faults.push(Fault::new(Place::Row(row), problem));
        }
        for column in Column::ALL {
            if positions[column as usize].is_none() {
                faults.push(Fault::new(Place::Row(row), Problem::MissingColumn(column)));
            }
        }
        Self {
            positions,
            width: record.len(),
        }
    }

    /// The cell of a column; empty when the row is too short.
    pub(crate) fn cell<'a>(&self, record: &'a csv::StringRecord, column: Column) -> &'a str {
        self.positions[column as usize]
            .and_then(|index| record.get(index))
            .unwrap_or_default()
    }
}
