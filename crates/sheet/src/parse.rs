//! The parser of the routing sheet, which reads CSV as spreadsheet programs export it.

use std::{
    collections::{HashMap, HashSet},
    num::NonZeroU32,
    sync::Arc,
    time::Duration,
};

use compact_str::CompactString;
use csv::StringRecord;
use jaystand_types::{ServerId, UnknownName, Urgency};

use crate::{
    Column, Directory, Fault, Faults, Limits, Rule, Server, ServerKind, Target, check,
    column::Header,
    fault::{Place, Problem},
};

const BYTE_ORDER_MARK: char = '\u{feff}';
const MAX_KIND_BYTES: usize = 64;
const MAX_FIRST_TOKEN_MS: u32 = 600_000;
/// One day. Results are kept for that long, and a repeat could not be answered after it.
const MAX_DEADLINE_S: u32 = 86_400;
const MAX_EXPECTED_TOKENS: u32 = 1_000_000;
const DEFAULT_EXPECTED_TOKENS: u32 = 256;

jaystand_types::common! { data
    /// A routing sheet in which every row has been checked.
    #[derive(Default)]
    pub struct Sheet {
        /// The rules, in the order of the sheet.
        pub rules: Vec<Rule>,
    }
}

impl TryFrom<(&str, &Directory)> for Sheet {
    type Error = Faults;

    /// Checks the directory and every row of the sheet.
    fn try_from((text, directory): (&str, &Directory)) -> Result<Self, Faults> {
        let mut faults = check::find_faults(directory);
        let rules = parse_rules(text, directory, &mut faults);
        if faults.is_empty() {
            Ok(Self { rules })
        } else {
            Err(Faults { faults })
        }
    }
}

/// Returns the rules of the rows that pass the checks. The faults of the other rows are added to `faults`.
pub(crate) fn parse_rules(text: &str, directory: &Directory, faults: &mut Vec<Fault>) -> Vec<Rule> {
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let faults_before = faults.len();
    let rows = read_rows(text, faults);
    let mut rows = rows.iter();
    let Some((row, header)) = rows.next() else {
        if faults.len() == faults_before {
            faults.push(Fault::new(Place::Sheet, Problem::Empty));
        }
        return Vec::new();
    };
    let header = Header::parse(header, *row, faults);
    if faults.len() > faults_before {
        // Without a valid header it is not known to which column a cell belongs.
        return Vec::new();
    }
    if rows.len() == 0 {
        faults.push(Fault::new(Place::Sheet, Problem::NoRule));
    }
    let mut parser = RowParser::new(directory, header);
    rows.filter_map(|(row, record)| parser.parse_rule(*row, record, faults))
        .collect()
}

/// Returns the rows with content and their numbers in the spreadsheet.
fn read_rows(text: &str, faults: &mut Vec<Fault>) -> Vec<(usize, StringRecord)> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .delimiter(detect_delimiter(text))
        .from_reader(text.as_bytes());
    let mut rows = Vec::new();
    let mut numbers = RowNumbers::new(text);
    for record in reader.records() {
        match record {
            Ok(record) => {
                let row = numbers.number_of(&record);
                if record.iter().any(|cell| !cell.is_empty()) {
                    rows.push((row, record));
                }
            }
            Err(error) => {
                let place = Place::Row(numbers.row);
                faults.push(Fault::new(place, Problem::NotCsv(error.to_string())));
            }
        }
    }
    // The CSV reader takes everything after an open quote as one cell, so the quote is in the last row read.
    if text.matches('"').count() % 2 == 1 {
        faults.push(Fault::new(Place::Row(numbers.row), Problem::OpenQuote));
    }
    rows
}

/// Numbers rows as a spreadsheet does: blank lines count, line breaks inside cells do not.
struct RowNumbers<'a> {
    text: &'a str,
    /// The byte offset at which the last numbered row starts.
    start: usize,
    /// The number of that row.
    row: usize,
    /// The line breaks inside the cells of that row.
    breaks_in_cells: usize,
}

impl<'a> RowNumbers<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            start: 0,
            row: 1,
            breaks_in_cells: 0,
        }
    }

    /// Returns the number of the row of a record. The records must come in the order of the sheet.
    fn number_of(&mut self, record: &StringRecord) -> usize {
        let position = record.position().map_or(0, csv::Position::byte);
        let mut start = usize::try_from(position).unwrap_or(0).max(self.start);
        let rest = self.text.as_bytes().get(start..).unwrap_or_default();
        // The position of a record may precede the line breaks that end the row before it.
        start += rest.iter().take_while(|byte| is_line_break(**byte)).count();
        let passed = &self.text.as_bytes()[self.start..start];
        self.row += count_line_feeds(passed).saturating_sub(self.breaks_in_cells);
        self.start = start;
        self.breaks_in_cells = record
            .iter()
            .map(|cell| count_line_feeds(cell.as_bytes()))
            .sum();
        self.row
    }
}

fn is_line_break(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

fn count_line_feeds(bytes: &[u8]) -> usize {
    bytes.split(|byte| *byte == b'\n').count() - 1
}

/// Returns the delimiter of cells: a semicolon if the header row has more of them than commas outside quotes, and a
/// comma otherwise.
fn detect_delimiter(text: &str) -> u8 {
    let header = text.lines().find(|line| !line.trim().is_empty());
    let mut quoted = false;
    let (mut commas, mut semicolons) = (0, 0);
    for byte in header.unwrap_or_default().bytes() {
        match byte {
            b'"' => quoted = !quoted,
            b',' if !quoted => commas += 1,
            b';' if !quoted => semicolons += 1,
            _ => {}
        }
    }
    if semicolons > commas { b';' } else { b',' }
}

/// Parses rows and checks them against the directory.
struct RowParser<'a> {
    header: Header,
    teams: HashSet<&'a str>,
    models: HashSet<&'a str>,
    servers: HashMap<&'a str, (ServerId, &'a Server)>,
    /// All servers of each model and service. The rules that say `*` share them.
    servers_by_target: HashMap<&'a str, Arc<[ServerId]>>,
    services: HashSet<&'a str>,
    /// The first row with each team and request kind.
    first_rows: HashMap<(CompactString, CompactString), usize>,
}

impl<'a> RowParser<'a> {
    fn new(directory: &'a Directory, header: Header) -> Self {
        let servers: Vec<(ServerId, &Server)> = (0..).zip(&directory.servers).collect();
        let mut servers_by_target: HashMap<&str, Vec<ServerId>> = HashMap::new();
        for (id, server) in &servers {
            servers_by_target
                .entry(&server.model)
                .or_default()
                .push(*id);
        }
        let services = servers
            .iter()
            .filter(|(_, server)| server.kind == ServerKind::Service)
            .map(|(_, server)| server.model.as_str());
        Self {
            header,
            teams: directory.teams.iter().map(|t| t.name.as_str()).collect(),
            models: directory.models.iter().map(|m| m.name.as_str()).collect(),
            services: services.collect(),
            servers_by_target: servers_by_target
                .into_iter()
                .map(|(target, ids)| (target, ids.into()))
                .collect(),
            servers: servers
                .into_iter()
                .map(|(id, server)| (server.name.as_str(), (id, server)))
                .collect(),
            first_rows: HashMap::new(),
        }
    }

    /// Returns the rule of a row, or `None` after adding the row's faults to `faults`.
    fn parse_rule(
        &mut self,
        row: usize,
        record: &StringRecord,
        faults: &mut Vec<Fault>,
    ) -> Option<Rule> {
        let faults_before = faults.len();
        let mut cells = Cells {
            header: &self.header,
            record,
            row,
            faults,
        };
        let team = cells.required_text(Column::Team);
        if !team.is_empty() && !self.teams.contains(team) {
            cells.add_fault(Column::Team, Problem::UnknownTeam(team.to_owned()));
        }
        let kind = cells.parse_kind();
        let target = self.parse_target(&mut cells);
        let urgency = cells.parse_name(Column::Urgency).unwrap_or(Urgency::Normal);
        let repeat = cells.parse_name(Column::Repeat);
        let servers = self.parse_servers(&mut cells, target.as_ref());
        let limits = cells.parse_limits(urgency);
        for extra in record.iter().skip(self.header.width) {
            if !extra.is_empty() {
                let problem = Problem::ExtraCell(extra.to_owned());
                cells.faults.push(Fault::new(Place::Row(row), problem));
            }
        }
        if !team.is_empty() && !kind.is_empty() {
            let key = (CompactString::from(team), CompactString::from(kind));
            let first_row = *self.first_rows.entry(key.clone()).or_insert(row);
            if first_row != row {
                let (team, kind) = key;
                let problem = Problem::RepeatedRule {
                    team,
                    kind,
                    row: first_row,
                };
                cells.add_fault(Column::Kind, problem);
            }
        }
        if faults.len() > faults_before {
            return None;
        }
        Some(Rule {
            team: team.into(),
            kind: kind.into(),
            target: target?,
            urgency,
            repeat: repeat?,
            servers,
            limits,
        })
    }

    fn parse_target(&self, cells: &mut Cells<'_, '_>) -> Option<Target> {
        let text = cells.required_text(Column::Target);
        if self.models.contains(text) {
            return Some(Target::Model(text.into()));
        }
        if self.services.contains(text) {
            return Some(Target::Service(text.into()));
        }
        if !text.is_empty() {
            cells.add_fault(Column::Target, Problem::UnknownTarget(text.to_owned()));
        }
        None
    }

    /// Parses the list of servers, which are names separated by spaces, or `*` for all that serve the target.
    fn parse_servers(&self, cells: &mut Cells<'_, '_>, target: Option<&Target>) -> Arc<[ServerId]> {
        let text = cells.required_text(Column::Servers);
        let target = target.map(|(Target::Model(name) | Target::Service(name))| name);
        if text == "*" {
            let all = target.and_then(|name| self.servers_by_target.get(name.as_str()));
            if let (Some(name), None) = (target, all) {
                cells.add_fault(Column::Servers, Problem::NoServer(name.clone()));
            }
            return all.cloned().unwrap_or_default();
        }
        let mut ids: Vec<ServerId> = Vec::new();
        for name in text.split_whitespace() {
            let problem = match self.servers.get(name) {
                None if name == "*" => Problem::MixedServers,
                None => Problem::UnknownServer(name.to_owned()),
                Some((id, _)) if ids.contains(id) => Problem::RepeatedServer(name.to_owned()),
                Some((id, server)) => {
                    ids.push(*id);
                    match target {
                        Some(target) if *target != server.model => Problem::WrongServer {
                            server: server.name.clone(),
                            serves: server.model.clone(),
                            target: target.clone(),
                        },
                        _ => continue,
                    }
                }
            };
            cells.add_fault(Column::Servers, problem);
        }
        ids.into()
    }
}

/// The cells of one row, and the faults found so far.
struct Cells<'a, 'f> {
    header: &'a Header,
    record: &'a StringRecord,
    row: usize,
    faults: &'f mut Vec<Fault>,
}

impl<'a> Cells<'a, '_> {
    fn add_fault(&mut self, column: Column, problem: Problem) {
        let place = Place::Cell(self.row, column);
        self.faults.push(Fault::new(place, problem));
    }

    /// Returns the text of a cell. Adds a fault if it is empty.
    fn required_text(&mut self, column: Column) -> &'a str {
        let text = self.header.cell(self.record, column);
        if text.is_empty() {
            self.add_fault(column, Problem::Missing);
        }
        text
    }

    /// Returns the request kind. Callers also write it in a header and in a path, so few characters are allowed.
    fn parse_kind(&mut self) -> &'a str {
        let text = self.required_text(Column::Kind);
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if text.len() > MAX_KIND_BYTES || !text.bytes().all(is_allowed) {
            self.add_fault(Column::Kind, Problem::BadKind(text.to_owned()));
        }
        text
    }

    /// Parses a cell that must have one of a fixed set of names.
    fn parse_name<T: std::str::FromStr<Err = UnknownName>>(&mut self, column: Column) -> Option<T> {
        let text = self.required_text(column);
        if text.is_empty() {
            return None;
        }
        match text.to_lowercase().parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let name = text.to_owned();
                self.add_fault(column, Problem::UnknownName(UnknownName { name, ..error }));
                None
            }
        }
    }

    /// Parses a whole number from 1 to `max`. Returns `None` when the cell is empty.
    fn parse_number(&mut self, column: Column, max: u32) -> Option<NonZeroU32> {
        let text = self.header.cell(self.record, column);
        if text.is_empty() {
            return None;
        }
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit());
        let value = text
            .parse()
            .ok()
            .filter(|value: &NonZeroU32| value.get() <= max);
        if value.is_none() || !is_decimal {
            let text = text.to_owned();
            self.add_fault(column, Problem::BadNumber { text, max });
        }
        value
    }

    /// Parses the limits. An empty cell gets the default, which depends on the urgency for the two times.
    fn parse_limits(&mut self, urgency: Urgency) -> Limits {
        let max_in_flight = self.parse_number(Column::MaxInFlight, u32::MAX);
        let requests_per_minute = self.parse_number(Column::RequestsPerMinute, u32::MAX);
        let first_token = self
            .parse_number(Column::FirstToken, MAX_FIRST_TOKEN_MS)
            .map_or(default_first_token(urgency), |milliseconds| {
                Duration::from_millis(milliseconds.get().into())
            });
        let deadline = self
            .parse_number(Column::Deadline, MAX_DEADLINE_S)
            .map_or(default_deadline(urgency), |seconds| {
                Duration::from_secs(seconds.get().into())
            });
        if deadline < first_token {
            let problem = Problem::ShortDeadline {
                deadline_s: deadline.as_secs(),
                first_token_ms: first_token.as_millis(),
            };
            self.add_fault(Column::Deadline, problem);
        }
        Limits {
            max_in_flight,
            requests_per_minute,
            first_token,
            deadline,
            expected_tokens: self
                .parse_number(Column::ExpectedTokens, MAX_EXPECTED_TOKENS)
                .map_or(DEFAULT_EXPECTED_TOKENS, NonZeroU32::get),
        }
    }
}

/// Returns the default target for the time to first token. That of urgent requests is the target for 95 in 100 requests
/// at the target size, 0.34 s. Less urgent requests yield to them.
fn default_first_token(urgency: Urgency) -> Duration {
    match urgency {
        Urgency::Urgent => Duration::from_millis(340),
        Urgency::Normal => Duration::from_secs(2),
        Urgency::Background => Duration::from_secs(30),
    }
}

fn default_deadline(urgency: Urgency) -> Duration {
    match urgency {
        Urgency::Urgent => Duration::from_secs(60),
        Urgency::Normal => Duration::from_secs(300),
        Urgency::Background => Duration::from_secs(3_600),
    }
}
