//! The changes between two documents, which operators read before and after they apply a sheet.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use compact_str::CompactString;

use crate::{Column, Directory, Document, Model, Rule, Server, Target, Team, parse};

/// One change between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What changes.
    pub subject: Subject,
    /// How it changes.
    pub action: Action,
}

/// The subject of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A team of the directory.
    Team(CompactString),
    /// A model of the directory.
    Model(CompactString),
    /// A backend server of the directory.
    Server(CompactString),
    /// The rule of a team for a request kind.
    Rule(CompactString, CompactString),
    /// The order of a team's rules, which decides the request kind of callers that state none.
    RuleOrder(CompactString),
}

/// How a subject changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The subject is new.
    Added,
    /// The subject is removed.
    Removed,
    /// Fields of the subject change.
    Changed(Vec<Field>),
}

/// A field that changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// The name: a column of the sheet or a key of the directory.
    pub name: &'static str,
    /// The old value as text.
    pub old: String,
    /// The new value as text.
    pub new: String,
}

/// The names and values of a subject's fields. Subjects of one type have the same fields in the same order.
type Fields = Vec<(&'static str, String)>;

/// Returns the changes from `old` to `new`: teams, models, servers, rules and then the order of rules, each sorted by
/// name.
///
/// Rows that do not pass the checks count as absent.
#[must_use]
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let (before, after) = (collect_subjects(old), collect_subjects(new));
    let all: BTreeSet<&Subject> = before.keys().chain(after.keys()).collect();
    all.into_iter()
        .filter_map(|subject| {
            let action = compare_fields(before.get(subject), after.get(subject))?;
            let subject = subject.clone();
            Some(Change { subject, action })
        })
        .collect()
}

/// Returns how a subject changes, or `None` when it does not.
fn compare_fields(before: Option<&Fields>, after: Option<&Fields>) -> Option<Action> {
    let (before, after) = match (before, after) {
        (Some(before), Some(after)) => (before, after),
        (None, Some(_)) => return Some(Action::Added),
        (Some(_), None) => return Some(Action::Removed),
        (None, None) => return None,
    };
    let changed: Vec<Field> = before
        .iter()
        .zip(after)
        .filter(|(old, new)| old != new)
        .map(|((name, old), (_, new))| Field {
            name,
            old: old.clone(),
            new: new.clone(),
        })
        .collect();
    (!changed.is_empty()).then_some(Action::Changed(changed))
}

/// Returns every subject of a document with its fields.
fn collect_subjects(document: &Document) -> BTreeMap<Subject, Fields> {
    let directory = &document.directory;
    let rules = parse::parse_rules(&document.sheet, directory, &mut Vec::new());
    let mut kinds_by_team: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for rule in &rules {
        kinds_by_team
            .entry(&rule.team)
            .or_default()
            .push(&rule.kind);
    }
    let rule_orders = kinds_by_team.into_iter().map(|(team, kinds)| {
        let fields = vec![("request kinds", kinds.join(" "))];
        (Subject::RuleOrder(team.into()), fields)
    });
    let teams = directory.teams.iter().map(team_fields);
    let models = directory.models.iter().map(model_fields);
    let servers = directory.servers.iter().map(server_fields);
    let rules = rules.iter().map(|rule| rule_fields(rule, directory));
    teams
        .chain(models)
        .chain(servers)
        .chain(rules)
        .chain(rule_orders)
        .collect()
}

fn team_fields(team: &Team) -> (Subject, Fields) {
    let fields = vec![
        ("key_hash", team.key_hash.to_string()),
        ("weight", team.weight.to_string()),
    ];
    (Subject::Team(team.name.clone()), fields)
}

fn model_fields(model: &Model) -> (Subject, Fields) {
    let fields = vec![
        ("weights_version", model.weights_version.to_string()),
        ("serving_share", model.serving_share.to_string()),
    ];
    (Subject::Model(model.name.clone()), fields)
}

fn server_fields(server: &Server) -> (Subject, Fields) {
    let fields = vec![
        ("address", server.address.to_string()),
        ("data_centre", server.data_centre.to_string()),
        ("kind", format!("{:?}", server.kind).to_lowercase()),
        ("model", server.model.to_string()),
        ("weights_version", server.weights_version.to_string()),
        ("fencing", format!("{:?}", server.fencing).to_lowercase()),
        ("slots", server.slots.to_string()),
    ];
    (Subject::Server(server.name.clone()), fields)
}

fn rule_fields(rule: &Rule, directory: &Directory) -> (Subject, Fields) {
    let (Target::Model(target) | Target::Service(target)) = &rule.target;
    let mut servers: Vec<&str> = rule
        .servers
        .iter()
        .filter_map(|id| directory.servers.get(*id as usize))
        .map(|server| server.name.as_str())
        .collect();
    servers.sort_unstable();
    let limits = &rule.limits;
    let limit_text = |limit: Option<std::num::NonZeroU32>| {
        limit.map_or_else(|| "unlimited".to_owned(), |limit| limit.to_string())
    };
    let cells = [
        (Column::Target, target.to_string()),
        (Column::Urgency, rule.urgency.to_string()),
        (Column::Repeat, rule.repeat.to_string()),
        (Column::Servers, servers.join(" ")),
        (Column::MaxInFlight, limit_text(limits.max_in_flight)),
        (
            Column::RequestsPerMinute,
            limit_text(limits.requests_per_minute),
        ),
        (
            Column::FirstToken,
            limits.first_token.as_millis().to_string(),
        ),
        (Column::Deadline, limits.deadline.as_secs().to_string()),
        (Column::ExpectedTokens, limits.expected_tokens.to_string()),
    ];
    let fields = cells.map(|(column, text)| (column.as_str(), text));
    let subject = Subject::Rule(rule.team.clone(), rule.kind.clone());
    (subject, fields.into())
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.action {
            Action::Added => write!(f, "+ {}", self.subject),
            Action::Removed => write!(f, "- {}", self.subject),
            Action::Changed(fields) => {
                write!(f, "~ {}", self.subject)?;
                for (index, field) in fields.iter().enumerate() {
                    write!(f, "{} {field}", if index == 0 { ":" } else { "," })?;
                }
                Ok(())
            }
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(name) => write!(f, "team {name}"),
            Self::Model(name) => write!(f, "model {name}"),
            Self::Server(name) => write!(f, "backend server {name}"),
            Self::Rule(team, kind) => write!(f, "rule {team} / {kind}"),
            Self::RuleOrder(team) => write!(f, "order of the rules of team {team}"),
        }
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.name != Column::Servers.as_str() {
            return write!(f, "{} {} -> {}", self.name, self.old, self.new);
        }
        // A list of servers may have hundreds of names, so only the difference is written.
        f.write_str(self.name)?;
        let old: BTreeSet<&str> = self.old.split(' ').collect();
        let new: BTreeSet<&str> = self.new.split(' ').collect();
        for name in new.difference(&old) {
            write!(f, " +{name}")?;
        }
        for name in old.difference(&new) {
            write!(f, " -{name}")?;
        }
        Ok(())
    }
}
