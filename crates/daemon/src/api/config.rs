//! The configuration calls: read, check, compare, replace, history and rollback.

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

/// Configurations of the history whose author and note are read. Each costs a call to the platform, of which a
/// daemon has 10 a second by default.
const HISTORY_DETAILS: usize = 5;
/// Versions listed unless `limit` says otherwise, and at most.
const HISTORY_LIMIT: usize = 50;
const MAX_HISTORY: usize = 1_000;

/// A configuration that an operator proposes; its version follows from the one that it replaces.
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

/// A wanted rollback.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Rollback {
    version: Version,
    #[serde(default)]
    author: String,
    #[serde(default)]
    note: String,
}

/// One configuration of the history.
#[derive(Debug, Serialize)]
struct Past {
    version: Version,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<Version>,
    #[serde(skip_serializing_if = "Option::is_none")]
    author: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<String>,
}

impl Proposal {
    fn on(self, parent: Version) -> Document {
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

/// The newest configuration: that of the platform, or else the one in force here.
pub(super) async fn get(call: &Call) -> Result {
    let here = here(call)?;
    let document = match platform(call) {
        Ok(client) => match read(&client, Object::Current).await {
            Ok(Some(newest)) if here.as_ref().is_none_or(|it| it.version < newest.version) => {
                Some(newest)
            }
            // The copy in force here is right unless another operator has just been faster.
            Err(error) if here.is_none() => return Err(error.into()),
            Ok(_) | Err(_) => here,
        },
        Err(_) => here,
    };
    let document = document.ok_or_else(Problem::no_configuration)?;
    Ok(tagged(ok(&document), document.version))
}

pub(super) fn check(call: &Call) -> Result {
    let proposal: Proposal = call.read()?;
    let sheet = whole_check(&proposal.on(0))?;
    Ok(ok(&json!({"rules": sheet.rules.len(), "faults": []})))
}

pub(super) fn diff(call: &Call) -> Result {
    let proposal: Proposal = call.read()?;
    let in_force = here(call)?.unwrap_or_default();
    let proposed = proposal.on(in_force.version);
    whole_check(&proposed)?;
    let changes = ChangeReport::from_changes(&changes(&in_force, &proposed));
    Ok(ok(
        &json!({"version": in_force.version, "changes": changes}),
    ))
}

pub(super) async fn put(call: &Call) -> Result {
    let parent = parent(call)?.ok_or_else(Problem::if_match_missing)?;
    let proposal: Proposal = call.read()?;
    replace(call, &proposal.on(parent)).await
}

pub(super) async fn rollback(call: &Call) -> Result {
    let wanted: Rollback = call.read()?;
    let named = parent(call)?;
    let client = platform(call)?;
    let in_force = read(&client, Object::Current).await?;
    let in_force = in_force.ok_or_else(Problem::no_configuration)?;
    let old = read_old(&client, wanted.version).await?;
    let mut document = config::rollback(&old, &in_force, wanted.author, wanted.note);
    if let Some(named) = named {
        // The named parent is compared by the conditional update, like that of any other change.
        document.parent = named;
        document.version = named.saturating_add(1);
    }
    replace(call, &document).await
}

pub(super) async fn history(call: &Call) -> Result {
    let limit = limit(&call.query)?;
    let client = platform(call)?;
    let kind = Object::History(0).kind();
    let listing = client.list(kind).await?;
    let names = listing.objects.iter();
    let mut versions: Vec<Version> = names.filter_map(|it| it.name.parse().ok()).collect();
    versions.sort_unstable_by(|a, b| b.cmp(a));
    versions.truncate(limit);
    let newest = versions.iter().take(HISTORY_DETAILS);
    let details = join_all(newest.map(|version| read(&client, Object::History(*version))));
    let mut details = details.await.into_iter();
    let past = versions.into_iter().map(|version| {
        // A former configuration that cannot be read is listed without author and note.
        let found = details.next().and_then(|it| it.ok().flatten());
        Past {
            version,
            parent: found.as_ref().map(|it| it.parent),
            author: found.as_ref().map(|it| it.author.clone()),
            note: found.map(|it| it.note),
        }
    });
    let past: Vec<Past> = past.collect();
    Ok(ok(&json!({"versions": past})))
}

pub(super) async fn old(call: &Call, version: &str) -> Result {
    let parsed = version
        .parse()
        .map_err(|_| Problem::unknown_version(version))?;
    let document = read_old(&*platform(call)?, parsed).await?;
    Ok(tagged(ok(&document), document.version))
}

async fn read_old(client: &Client, version: Version) -> Result<Document> {
    let found = read(client, Object::History(version)).await?;
    found.ok_or_else(|| Problem::unknown_version(&version.to_string()))
}

/// Checks a document whole and puts it in force.
async fn replace(call: &Call, document: &Document) -> Result {
    whole_check(document)?;
    let client = platform(call)?;
    match accept(&client, document).await {
        config::Answer::Accepted(head) => {
            // Peers learn of it from here at once, without waiting for the platform's watch.
            call.kernel.require::<Store>()?.offer(document.clone());
            let body = json!({
                "version": head.version,
                "hash": document.hash().to_hex().as_str(),
            });
            Ok(tagged(ok(&body), head.version))
        }
        config::Answer::Conflict { in_force } => {
            Err(conflict(&client, document, in_force.as_deref()).await)
        }
        config::Answer::Refused(refusal) => Err(refusal.into()),
        config::Answer::Unknown => Err(Problem::outcome_unknown()),
    }
}

async fn conflict(client: &Client, wanted: &Document, in_force: Option<&Document>) -> Problem {
    let nothing = Document::default();
    let newest = in_force.unwrap_or(&nothing);
    let before = match wanted.parent {
        0 => Some(nothing.clone()),
        // The difference is a help only; the conflict is certain without it.
        parent => read(client, Object::History(parent)).await.ok().flatten(),
    };
    let theirs = before.map_or_else(Vec::new, |before| {
        ChangeReport::from_changes(&changes(&before, newest))
    });
    let yours = ChangeReport::from_changes(&changes(newest, wanted));
    Problem::conflict(wanted.parent, in_force, &theirs, &yours)
}

fn whole_check(document: &Document) -> Result<Sheet> {
    document.check().map_err(|faults| Problem::faults(&faults))
}

fn here(call: &Call) -> Result<Option<Document>> {
    let store = call.kernel.require::<Store>()?;
    Ok(store.current().map(|active| active.document.clone()))
}

fn platform(call: &Call) -> Result<Arc<Client>> {
    let client = platform::client(&call.kernel).ok().flatten();
    client.ok_or_else(Problem::no_platform)
}

/// The version that `If-Match` names.
fn parent(call: &Call) -> Result<Option<Version>> {
    let Some(value) = call.headers.get(IF_MATCH) else {
        return Ok(None);
    };
    let version = value
        .to_str()
        .ok()
        .and_then(|tag| tag.trim().trim_matches('"').parse().ok());
    version.map(Some).ok_or_else(Problem::if_match_invalid)
}

fn limit(query: &str) -> Result<usize> {
    let Some(text) = query.split('&').find_map(|it| it.strip_prefix("limit=")) else {
        return Ok(HISTORY_LIMIT);
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

fn tagged(mut answer: Answer, version: Version) -> Answer {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        answer.headers_mut().insert(ETAG, tag);
    }
    answer
}
