//! Reads the routing sheet from CSV as spreadsheets export it.

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
const MAX_KIND: usize = 64;
const MAX_FIRST_TOKEN_MS: u32 = 600_000;
/// One day: the retention time of results, after which a repeat could not be answered.
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
        let mut faults = check::faults(directory);
        let rules = read(text, directory, &mut faults);
        if faults.is_empty() {
            Ok(Self { rules })
        } else {
            Err(Faults { faults })
        }
    }
}

/// The rows that pass; the faults of the others are added to `faults`.
pub(crate) fn read(text: &str, directory: &Directory, faults: &mut Vec<Fault>) -> Vec<Rule> {
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let before = faults.len();
    let rows = rows(text, faults);
    let mut rows = rows.iter();
    let Some((row, header)) = rows.next() else {
        if faults.len() == before {
            faults.push(Fault::new(Place::Sheet, Problem::Empty));
        }
        return Vec::new();
    };
    let header = Header::read(header, *row, faults);
    if faults.len() > before {
        // Without its header the cells of a row have no meaning.
        return Vec::new();
    }
    if rows.len() == 0 {
        faults.push(Fault::new(Place::Sheet, Problem::NoRule));
    }
    let mut reader = Reader::new(directory, header);
    rows.filter_map(|(row, record)| reader.rule(*row, record, faults))
        .collect()
}

/// The rows with content and their numbers in the spreadsheet.
fn rows(text: &str, faults: &mut Vec<Fault>) -> Vec<(usize, StringRecord)> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .delimiter(delimiter(text))
        .from_reader(text.as_bytes());
    let mut rows = Vec::new();
    let mut numbers = RowNumbers::new(text);
    for record in reader.records() {
        match record {
            Ok(record) => {
                let row = numbers.next(&record);
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
    // The reader takes the rest of the sheet as one cell, so the last row read holds the open quote.
    if text.matches('"').count() % 2 == 1 {
        faults.push(Fault::new(Place::Row(numbers.row), Problem::OpenQuote));
    }
    rows
}

/// Numbers rows as a spreadsheet does: blank lines count, line breaks inside cells do not.
struct RowNumbers<'a> {
    text: &'a str,
    start: usize,
    row: usize,
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

    fn next(&mut self, record: &StringRecord) -> usize {
        let position = record.position().map_or(0, csv::Position::byte);
        let mut start = usize::try_from(position).unwrap_or(0).max(self.start);
        let rest = self.text.as_bytes().get(start..).unwrap_or_default();
        // The position of a record may precede the line breaks that end the row before it.
        start += rest.iter().take_while(|byte| is_break(**byte)).count();
        let passed = &self.text.as_bytes()[self.start..start];
        self.row += breaks(passed).saturating_sub(self.breaks_in_cells);
        self.start = start;
        self.breaks_in_cells = record.iter().map(|cell| breaks(cell.as_bytes())).sum();
        self.row
    }
}

fn is_break(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

fn breaks(bytes: &[u8]) -> usize {
    bytes.split(|byte| *byte == b'\n').count() - 1
}

/// The separator that the header row uses more often outside quotes.
fn delimiter(text: &str) -> u8 {
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

/// Checks rows against the directory.
struct Reader<'a> {
    header: Header,
    teams: HashSet<&'a str>,
    models: HashSet<&'a str>,
    servers: HashMap<&'a str, (ServerId, &'a Server)>,
    /// All servers of each model and service, shared by the rules that say `*`.
    serving: HashMap<&'a str, Arc<[ServerId]>>,
    services: HashSet<&'a str>,
    seen: HashMap<(CompactString, CompactString), usize>,
}

impl<'a> Reader<'a> {
    fn new(directory: &'a Directory, header: Header) -> Self {
        let servers: Vec<(ServerId, &Server)> = (0..).zip(&directory.servers).collect();
        let mut serving: HashMap<&str, Vec<ServerId>> = HashMap::new();
        for (id, server) in &servers {
            serving.entry(&server.model).or_default().push(*id);
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
            serving: serving.into_iter().map(|(k, v)| (k, v.into())).collect(),
            servers: servers
                .into_iter()
                .map(|(id, server)| (server.name.as_str(), (id, server)))
                .collect(),
            seen: HashMap::new(),
        }
    }

    fn rule(&mut self, row: usize, record: &StringRecord, faults: &mut Vec<Fault>) -> Option<Rule> {
        let before = faults.len();
        let mut cells = Cells {
            header: &self.header,
            record,
            row,
            faults,
        };
        let team = cells.required(Column::Team);
        if !team.is_empty() && !self.teams.contains(team) {
            cells.fault(Column::Team, Problem::UnknownTeam(team.to_owned()));
        }
        let kind = cells.kind();
        let target = self.target(&mut cells);
        let urgency = cells.name(Column::Urgency).unwrap_or(Urgency::Normal);
        let repeat = cells.name(Column::Repeat);
        let servers = self.servers(&mut cells, target.as_ref());
        let limits = cells.limits(urgency);
        for extra in record.iter().skip(self.header.width) {
            if !extra.is_empty() {
                let problem = Problem::ExtraCell(extra.to_owned());
                cells.faults.push(Fault::new(Place::Row(row), problem));
            }
        }
        if !team.is_empty() && !kind.is_empty() {
            let key = (CompactString::from(team), CompactString::from(kind));
            let first = *self.seen.entry(key.clone()).or_insert(row);
            if first != row {
                let (team, kind) = key;
                let problem = Problem::RepeatedRule {
                    team,
                    kind,
                    row: first,
                };
                cells.fault(Column::Kind, problem);
            }
        }
        if faults.len() > before {
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

    fn target(&self, cells: &mut Cells<'_, '_>) -> Option<Target> {
        let text = cells.required(Column::Target);
        if self.models.contains(text) {
            return Some(Target::Model(text.into()));
        }
        if self.services.contains(text) {
            return Some(Target::Service(text.into()));
        }
        if !text.is_empty() {
            cells.fault(Column::Target, Problem::UnknownTarget(text.to_owned()));
        }
        None
    }

    fn servers(&self, cells: &mut Cells<'_, '_>, target: Option<&Target>) -> Arc<[ServerId]> {
        let text = cells.required(Column::Servers);
        let target = target.map(|(Target::Model(name) | Target::Service(name))| name);
        if text == "*" {
            let all = target.and_then(|name| self.serving.get(name.as_str()));
            if let (Some(name), None) = (target, all) {
                cells.fault(Column::Servers, Problem::NoServer(name.clone()));
            }
            return all.cloned().unwrap_or_default();
        }
        let mut ids: Vec<ServerId> = Vec::new();
        for word in text.split_whitespace() {
            let problem = match self.servers.get(word) {
                None if word == "*" => Problem::MixedServers,
                None => Problem::UnknownServer(word.to_owned()),
                Some((id, _)) if ids.contains(id) => Problem::RepeatedServer(word.to_owned()),
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
            cells.fault(Column::Servers, problem);
        }
        ids.into()
    }
}

/// The cells of one row.
struct Cells<'a, 'f> {
    header: &'a Header,
    record: &'a StringRecord,
    row: usize,
    faults: &'f mut Vec<Fault>,
}

impl<'a> Cells<'a, '_> {
    fn fault(&mut self, column: Column, problem: Problem) {
        let place = Place::Cell(self.row, column);
        self.faults.push(Fault::new(place, problem));
    }

    fn required(&mut self, column: Column) -> &'a str {
        let text = self.header.cell(self.record, column);
        if text.is_empty() {
            self.fault(column, Problem::Missing);
        }
        text
    }

    /// The request kind, which callers also write in a header and in a path.
    fn kind(&mut self) -> &'a str {
        let text = self.required(Column::Kind);
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if text.len() > MAX_KIND || !text.bytes().all(allowed) {
            self.fault(Column::Kind, Problem::BadKind(text.to_owned()));
        }
        text
    }

    fn name<T: std::str::FromStr<Err = UnknownName>>(&mut self, column: Column) -> Option<T> {
        let text = self.required(column);
        if text.is_empty() {
            return None;
        }
        match text.to_lowercase().parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let name = text.to_owned();
                self.fault(column, Problem::UnknownName(UnknownName { name, ..error }));
                None
            }
        }
    }

    fn number(&mut self, column: Column, max: u32) -> Option<NonZeroU32> {
        let text = self.header.cell(self.record, column);
        if text.is_empty() {
            return None;
        }
        let digits = text.bytes().all(|byte| byte.is_ascii_digit());
        let value = text
            .parse()
            .ok()
            .filter(|value: &NonZeroU32| value.get() <= max);
        if value.is_none() || !digits {
            let text = text.to_owned();
            self.fault(column, Problem::BadNumber { text, max });
        }
        value
    }

    fn limits(&mut self, urgency: Urgency) -> Limits {
        let max_in_flight = self.number(Column::MaxInFlight, u32::MAX);
        let requests_per_minute = self.number(Column::RequestsPerMinute, u32::MAX);
        let first_token = self
            .number(Column::FirstToken, MAX_FIRST_TOKEN_MS)
            .map_or(default_first_token(urgency), |ms| {
                Duration::from_millis(ms.get().into())
            });
        let deadline = self
            .number(Column::Deadline, MAX_DEADLINE_S)
            .map_or(default_deadline(urgency), |s| {
                Duration::from_secs(s.get().into())
            });
        if deadline < first_token {
            let problem = Problem::ShortDeadline {
                deadline_s: deadline.as_secs(),
                first_token_ms: first_token.as_millis(),
            };
            self.fault(Column::Deadline, problem);
        }
        Limits {
            max_in_flight,
            requests_per_minute,
            first_token,
            deadline,
            expected_tokens: self
                .number(Column::ExpectedTokens, MAX_EXPECTED_TOKENS)
                .map_or(DEFAULT_EXPECTED_TOKENS, NonZeroU32::get),
        }
    }
}

/// The target for 95 in 100 requests at the target size is 0.34 s; less urgent work yields to it.
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
