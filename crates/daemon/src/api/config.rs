//! The calls that read, check, compare, replace and roll back the configuration and list its history.

use std::sync::Arc;

use futures::future::join_all;
use hyper::header::{ETAG, HeaderValue, IF_MATCH};
use jaystand_control::config::{self, Object};
use jaystand_platform::Client;
use jaystand_sheet::{ChangeReport, Directory, Document, Sheet, diff as changes};
use jaystand_types::Version;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{Call, Problem, Result, ok};
use crate::{
    admin::Answer,
    config::Store,
    platform,
    watch::{accept, read},
};

/// Number of configurations in the history whose author and note are read. Each costs a call to the platform, and a
/// daemon may make 10 per second by default.
const MAX_DETAILS: usize = 5;
/// Number of versions listed without the query key `limit`.
const DEFAULT_HISTORY: usize = 50;
/// Greatest value of `limit`.
const MAX_HISTORY: usize = 1_000;

/// A configuration that an operator proposes. Its version follows from that of its parent.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    sheet: String,
    directory: Directory,
    #[serde(default)]
    author: String,
    #[serde(default)]
    note: String,
}

/// A rollback to an earlier version.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Rollback {
    version: Version,
    #[serde(default)]
    author: String,
    #[serde(default)]
    note: String,
}

/// A configuration in the history.
#[derive(Debug, Serialize)]
struct HistoryEntry {
    version: Version,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<Version>,
    #[serde(skip_serializing_if = "Option::is_none")]
    author: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<String>,
}

impl Proposal {
    /// Returns the proposal as a document whose parent is this version.
    fn with_parent(self, parent: Version) -> Document {
        Document {
            version: parent.saturating_add(1),
            parent,
            sheet: self.sheet,
            directory: self.directory,
            author: self.author,
            note: self.note,
        }
    }
}

/// Returns the newest configuration: the platform's, or else the one in force at this daemon.
pub(super) async fn get(call: &Call) -> Result {
    let local = local_document(call)?;
    let document = match platform_client(call) {
        Ok(client) => match read(&client, Object::Current).await {
            Ok(Some(newest)) if local.as_ref().is_none_or(|it| it.version < newest.version) => {
                Some(newest)
            }
            // The local configuration is the newest unless another operator has just replaced it.
            Err(error) if local.is_none() => return Err(error.into()),
            Ok(_) | Err(_) => local,
        },
        Err(_) => local,
    };
    let document = document.ok_or_else(Problem::no_configuration)?;
    Ok(with_etag(ok(&document), document.version))
}

pub(super) fn check(call: &Call) -> Result {
    let proposal: Proposal = call.parse_body()?;
    let sheet = check_document(&proposal.with_parent(0))?;
    Ok(ok(&json!({"rules": sheet.rules.len(), "faults": []})))
}

pub(super) fn diff(call: &Call) -> Result {
    let proposal: Proposal = call.parse_body()?;
    let in_force = local_document(call)?.unwrap_or_default();
    let proposed = proposal.with_parent(in_force.version);
    check_document(&proposed)?;
    let changes = ChangeReport::from_changes(&changes(&in_force, &proposed));
    Ok(ok(
        &json!({"version": in_force.version, "changes": changes}),
    ))
}

pub(super) async fn put(call: &Call) -> Result {
    let parent = parse_if_match(call)?.ok_or_else(Problem::if_match_missing)?;
    let proposal: Proposal = call.parse_body()?;
    replace(call, &proposal.with_parent(parent)).await
}

pub(super) async fn rollback(call: &Call) -> Result {
    let requested: Rollback = call.parse_body()?;
    let if_match = parse_if_match(call)?;
    let client = platform_client(call)?;
    let in_force = read(&client, Object::Current).await?;
    let in_force = in_force.ok_or_else(Problem::no_configuration)?;
    let old = read_version(&client, requested.version).await?;
    let mut document = config::rollback(&old, &in_force, requested.author, requested.note);
    if let Some(parent) = if_match {
        // The conditional update compares this parent, as for any other change.
        document.parent = parent;
        document.version = parent.saturating_add(1);
    }
    replace(call, &document).await
}

pub(super) async fn history(call: &Call) -> Result {
    let limit = parse_limit(&call.query)?;
    let client = platform_client(call)?;
    let kind = Object::History(0).kind();
    let listing = client.list(kind).await?;
    let names = listing.objects.iter();
    let mut versions: Vec<Version> = names.filter_map(|it| it.name.parse().ok()).collect();
    versions.sort_unstable_by(|a, b| b.cmp(a));
    versions.truncate(limit);
    let newest = versions.iter().take(MAX_DETAILS);
    let details = join_all(newest.map(|version| read(&client, Object::History(*version))));
    let mut details = details.await.into_iter();
    let entries = versions.into_iter().map(|version| {
        // A configuration that cannot be read is listed without author and note.
        let found = details.next().and_then(|it| it.ok().flatten());
        HistoryEntry {
            version,
            parent: found.as_ref().map(|it| it.parent),
            author: found.as_ref().map(|it| it.author.clone()),
            note: found.map(|it| it.note),
        }
    });
    let entries: Vec<HistoryEntry> = entries.collect();
    Ok(ok(&json!({"versions": entries})))
}

pub(super) async fn get_version(call: &Call, version: &str) -> Result {
    let parsed = version
        .parse()
        .map_err(|_| Problem::unknown_version(version))?;
    let document = read_version(&*platform_client(call)?, parsed).await?;
    Ok(with_etag(ok(&document), document.version))
}

async fn read_version(client: &Client, version: Version) -> Result<Document> {
    let found = read(client, Object::History(version)).await?;
    found.ok_or_else(|| Problem::unknown_version(&version.to_string()))
}

/// Checks a document and puts it in force.
async fn replace(call: &Call, document: &Document) -> Result {
    check_document(document)?;
    let client = platform_client(call)?;
    match accept(&client, document).await {
        config::Answer::Accepted(head) => {
            // The other daemons get the document from this one at once, without waiting for the platform's watch.
            call.kernel.require::<Store>()?.offer(document.clone());
            let body = json!({
                "version": head.version,
                "hash": document.hash().to_hex().as_str(),
            });
            Ok(with_etag(ok(&body), head.version))
        }
        config::Answer::Conflict { in_force } => {
            Err(conflict(&client, document, in_force.as_deref()).await)
        }
        config::Answer::Refused(refusal) => Err(refusal.into()),
        config::Answer::Unknown => Err(Problem::outcome_unknown()),
    }
}

/// Returns the error for a document whose parent is not in force, with the changes of both operators.
async fn conflict(client: &Client, proposed: &Document, in_force: Option<&Document>) -> Problem {
    let nothing = Document::default();
    let newest = in_force.unwrap_or(&nothing);
    let parent = match proposed.parent {
        0 => Some(nothing.clone()),
        // The conflict is reported even if the parent cannot be read for the comparison.
        version => read(client, Object::History(version)).await.ok().flatten(),
    };
    let theirs = parent.map_or_else(Vec::new, |parent| {
        ChangeReport::from_changes(&changes(&parent, newest))
    });
    let yours = ChangeReport::from_changes(&changes(newest, proposed));
    Problem::conflict(proposed.parent, in_force, &theirs, &yours)
}

fn check_document(document: &Document) -> Result<Sheet> {
    document.check().map_err(|faults| Problem::faults(&faults))
}

/// Returns the configuration in force at this daemon.
fn local_document(call: &Call) -> Result<Option<Document>> {
    let store = call.kernel.require::<Store>()?;
    Ok(store.current().map(|active| active.document.clone()))
}

fn platform_client(call: &Call) -> Result<Arc<Client>> {
    let client = platform::client(&call.kernel).ok().flatten();
    client.ok_or_else(Problem::no_platform)
}

/// Returns the version in the header `If-Match`.
fn parse_if_match(call: &Call) -> Result<Option<Version>> {
    let Some(value) = call.headers.get(IF_MATCH) else {
        return Ok(None);
    };
    let version = value
        .to_str()
        .ok()
        .and_then(|tag| tag.trim().trim_matches('"').parse().ok());
    version.map(Some).ok_or_else(Problem::if_match_invalid)
}

/// Returns the value of the query key `limit`, or the default.
fn parse_limit(query: &str) -> Result<usize> {
    let Some(text) = query.split('&').find_map(|it| it.strip_prefix("limit=")) else {
        return Ok(DEFAULT_HISTORY);
    };
    let limit = text
        .parse()
        .ok()
        .filter(|it| (1..=MAX_HISTORY).contains(it));
    limit.ok_or_else(|| {
        let message = format!("limit is not a number from 1 to {MAX_HISTORY}; correct it");
        Problem::new(hyper::StatusCode::BAD_REQUEST, "invalid_limit", message).param("limit")
    })
}

/// Adds the version as `ETag`.
fn with_etag(mut answer: Answer, version: Version) -> Answer {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        answer.headers_mut().insert(ETAG, tag);
    }
    answer
}
