//! The columns of the routing sheet, and the parser of its header row.

use std::fmt;

use crate::{
    Fault,
    fault::{Place, Problem},
};

jaystand_types::common! { value
    /// A column of the routing sheet.
    pub enum Column {
        /// The team.
        Team,
        /// The request kind.
        Kind,
        /// The model or plain service.
        Target,
        /// The urgency.
        Urgency,
        /// The repeat rule.
        Repeat,
        /// The allowed backend servers.
        Servers,
        /// The limit on requests in flight.
        MaxInFlight,
        /// The limit on requests per minute.
        RequestsPerMinute,
        /// The target for the time to first token, in milliseconds.
        FirstToken,
        /// The time allowed for the complete answer, in seconds.
        Deadline,
        /// The expected length of an answer, in tokens.
        ExpectedTokens,
    }
}

impl Column {
    /// All columns, in their usual order.
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

    /// Returns the column's header.
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

    /// Returns the headers of all columns, for a message.
    pub(crate) fn names() -> String {
        Self::ALL.map(Self::as_str).join(", ")
    }

    /// Returns the column with this header. Ignores case, and takes underscores and runs of spaces for one space.
    fn from_header(text: &str) -> Option<Self> {
        let words: Vec<String> = text
            .split(|character: char| character.is_whitespace() || character == '_')
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

/// The header row of a sheet: the position of each column.
pub(crate) struct Header {
    positions: [Option<usize>; Column::ALL.len()],
    /// The number of cells of the header row. Cells further to the right belong to no column.
    pub(crate) width: usize,
}

impl Header {
    /// Parses the header row. Unknown, repeated and missing columns are added to `faults`.
    pub(crate) fn parse(record: &csv::StringRecord, row: usize, faults: &mut Vec<Fault>) -> Self {
        let mut positions = [None; Column::ALL.len()];
        for (index, text) in record.iter().enumerate() {
            let problem = match Column::from_header(text) {
                // Spreadsheet programs export a column whose content was deleted with an empty header.
                None if text.is_empty() => continue,
                None => Problem::UnknownColumn(text.to_owned()),
                Some(column) => match &mut positions[column as usize] {
                    Some(_) => Problem::RepeatedColumn(column),
                    position => {
                        *position = Some(index);
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

    /// Returns the cell of a column in a row. The cell is empty when the row is too short.
    pub(crate) fn cell<'a>(&self, record: &'a csv::StringRecord, column: Column) -> &'a str {
        self.positions[column as usize]
            .and_then(|index| record.get(index))
            .unwrap_or_default()
    }
}
