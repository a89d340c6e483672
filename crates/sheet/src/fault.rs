//! The faults of a sheet or a directory: the place, the problem and the remedy.

use std::fmt;

use compact_str::CompactString;
use jaystand_types::UnknownName;

use crate::Column;

/// All faults of a sheet and its directory, in reading order. A configuration with a fault is not applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("the configuration has {} fault(s); nothing was applied", .faults.len())]
#[diagnostic(
    code(jaystand::sheet),
    help("correct every fault listed and apply the sheet again")
)]
pub struct Faults {
    /// The faults.
    #[related]
    pub faults: Vec<Fault>,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The place of the fault.
    pub place: Place,
    /// What is wrong.
    pub problem: Problem,
}

/// The place of a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// The sheet as a whole.
    Sheet,
    /// A row of the sheet, as the spreadsheet numbers it: rows count from 1, the header included.
    Row(usize),
    /// A cell of the sheet, by row and column.
    Cell(usize, Column),
    /// A field of a directory entry, by list, entry and field name. Entries count from 1.
    Entry(Section, usize, &'static str),
}

/// One of the lists of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Section {
    /// Teams.
    Teams,
    /// Backend servers.
    Servers,
    /// Models.
    Models,
}

/// What is wrong. The message contains the offending text, and the help says how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[expect(missing_docs, reason = "the messages describe the variants")]
pub enum Problem {
    #[error("the sheet is empty")]
    #[diagnostic(help("export the sheet again with its header row and at least one rule"))]
    Empty,
    #[error("the sheet has a header but no rule")]
    #[diagnostic(help("add at least one rule below the header"))]
    NoRule,
    #[error("a quoted cell is not closed")]
    #[diagnostic(help("close the cell with `\"`, and write a quote inside a cell as `\"\"`"))]
    OpenQuote,
    #[error("the text is not CSV: {0}")]
    #[diagnostic(help("export the sheet again as CSV in UTF-8"))]
    NotCsv(String),
    #[error("there is no column `{0}`")]
    #[diagnostic(help("add a column with the header `{0}`"))]
    MissingColumn(Column),
    #[error("unknown column `{0}`")]
    #[diagnostic(help("remove it, or rename it to one of: {}", Column::names()))]
    UnknownColumn(String),
    #[error("column `{0}` appears twice")]
    #[diagnostic(help("keep one of the two columns"))]
    RepeatedColumn(Column),
    #[error("`{0}` stands to the right of the last column")]
    #[diagnostic(help("remove it, or quote the cell to the left that contains the separator"))]
    ExtraCell(String),
    #[error("the cell is empty")]
    #[diagnostic(help("fill it in; only the five limits may be empty"))]
    Missing,
    #[error("unknown team `{0}`")]
    #[diagnostic(help("use a team of the directory, or add `{0}` to its `teams`"))]
    UnknownTeam(String),
    #[error("`{0}` cannot name a request kind")]
    #[diagnostic(help("use letters, digits, `-`, `_` and `.` only, 64 at most"))]
    BadKind(String),
    #[error("`{0}` is neither a model nor a plain service")]
    #[diagnostic(help(
        "use a name of the directory's `models`, or the `model` of a server of kind `service`"
    ))]
    UnknownTarget(String),
    #[error("{0}")]
    #[diagnostic(help("use one of the names listed"))]
    UnknownName(UnknownName),
    #[error("unknown backend server `{0}`")]
    #[diagnostic(help("use a server of the directory, or `*` for all that serve the target"))]
    UnknownServer(String),
    #[error("backend server `{server}` serves `{serves}`, not `{target}`")]
    #[diagnostic(help("remove it from the list, or change the model or service of the row"))]
    WrongServer {
        server: CompactString,
        serves: CompactString,
        target: CompactString,
    },
    #[error("backend server `{0}` is listed twice")]
    #[diagnostic(help("list it once"))]
    RepeatedServer(String),
    #[error("`*` is mixed with names")]
    #[diagnostic(help("write `*` alone, or names alone"))]
    MixedServers,
    #[error("no backend server serves `{0}`")]
    #[diagnostic(help("add a server with this model or service to the directory"))]
    NoServer(CompactString),
    #[error("`{text}` is not a whole number from 1 to {max}")]
    #[diagnostic(help(
        "write digits only, without separators or units, or leave the cell empty for the default"
    ))]
    BadNumber { text: String, max: u32 },
    #[error("the deadline of {deadline_s} s is shorter than the first token's {first_token_ms} ms")]
    #[diagnostic(help("raise the deadline or lower the time to first token"))]
    ShortDeadline {
        deadline_s: u64,
        first_token_ms: u128,
    },
    #[error("team `{team}` already has a rule for `{kind}` in row {row}")]
    #[diagnostic(help("keep one of the two rows, or rename the request kind of one"))]
    RepeatedRule {
        team: CompactString,
        kind: CompactString,
        row: usize,
    },
    #[error("`{0}` cannot be used as a name")]
    #[diagnostic(help("use 1 to 64 visible characters without spaces, other than `*`"))]
    BadName(CompactString),
    #[error("`{text}` is already used by entry {first}")]
    #[diagnostic(help("give each entry its own"))]
    Repeated { text: String, first: usize },
    #[error("`{0}` is not a key hash")]
    #[diagnostic(help("write the BLAKE3 hash of the API key as 64 hexadecimal digits"))]
    BadKeyHash(CompactString),
    #[error("unknown model `{0}`")]
    #[diagnostic(help("add `{0}` to the directory's `models`, or use one of them"))]
    UnknownModel(CompactString),
    #[error("an engine or model needs a weights version")]
    #[diagnostic(help("write the weights version that is to be served"))]
    NoWeights,
    #[error("plain service `{0}` has the name of a model")]
    #[diagnostic(help("rename the service or the model: the sheet refers to both by name"))]
    ServiceNamedAsModel(CompactString),
    #[error("`{0}` is not an address that can be called")]
    #[diagnostic(help("write the server's own IP address and a port other than 0"))]
    BadAddress(String),
    #[error("a serving share of {0} % is impossible")]
    #[diagnostic(help("write a percentage from 0 to 100"))]
    BadShare(u8),
}

impl Fault {
    pub(crate) fn new(place: Place, problem: Problem) -> Self {
        Self { place, problem }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

impl std::error::Error for Fault {}

impl miette::Diagnostic for Fault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.problem.help()
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sheet => f.write_str("sheet"),
            Self::Row(row) => write!(f, "row {row}"),
            Self::Cell(row, column) => write!(f, "row {row}, column `{column}`"),
            Self::Entry(part, entry, field) => {
                write!(f, "directory, {part} entry {entry}, `{field}`")
            }
        }
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Teams => "teams",
            Self::Servers => "servers",
            Self::Models => "models",
        })
    }
}
