//! Requests that must run at most once: the claim before dispatch and its settlement after the answer.

use std::{ops::Deref, sync::Arc, time::Duration};

use hyper::{HeaderMap, Response, StatusCode, header::CONTENT_TYPE};
use jaystand_control::claim::{BodyHash, Reason};
use jaystand_types::{Moment, Outcome, RepeatRule, TeamId};
use jaystand_wire::header;
use tracing::Instrument;

use crate::{
    claim::{Claims, StoredReply, Ticket, Verdict},
    entry::{Entry, idempotency_key},
    reply::{Body, Problem, insert, insert_outcome},
};

/// When to come back to a daemon that has no platform to record claims in.
const RETRY_AFTER: Duration = Duration::from_secs(5);
/// Longest delay of an answer for its record. A repeat right after the answer should find the record, and an outage of
/// the platform must not hold the answer back.
const RECORD_TIMEOUT: Duration = Duration::from_millis(100);

/// The right to send a request, and the duty to settle it. Dropping it leaves the claim in place, so that repeats
/// are told that the outcome is unknown.
pub(crate) struct Claim {
    claims: Arc<Claims>,
    ticket: Ticket,
}

/// Whether a request may be sent.
pub(crate) enum Permission {
    /// It needs no claim.
    Free,
    /// It is claimed.
    Claimed(Claim),
    /// An earlier request with the key has this answer.
    Answered(Response<Body>),
}

/// The idempotency key of a request.
pub(crate) struct IdempotencyKey {
    value: String,
    /// Made by this daemon for this request, so that no earlier request can have used it.
    minted: bool,
}

impl Deref for IdempotencyKey {
    type Target = str;

    fn deref(&self) -> &str {
        &self.value
    }
}

/// The idempotency key; one is minted for unrepeatable requests without one.
///
/// # Errors
/// Fails when the caller's key is not valid.
pub(crate) fn key(
    headers: &HeaderMap,
    repeat: RepeatRule,
) -> Result<Option<IdempotencyKey>, Problem> {
    let given = idempotency_key(headers)?;
    Ok(match (given, repeat) {
        (Some(value), _) => Some(IdempotencyKey {
            value,
            minted: false,
        }),
        (None, RepeatRule::Once | RepeatRule::OnceChecked) => Some(IdempotencyKey {
            value: format!("{:032x}", rand::random::<u128>()),
            minted: true,
        }),
        (None, RepeatRule::Repeatable) => None,
    })
}

/// Claims the key if the rule asks for it.
///
/// # Errors
/// Fails when the request must not be sent.
pub(crate) async fn permit(
    entry: &Entry,
    repeat: RepeatRule,
    team: &TeamId,
    key: Option<&IdempotencyKey>,
    content: [&[u8]; 2],
    deadline: Moment,
) -> Result<Permission, Problem> {
    let (RepeatRule::Once, Some(key)) = (repeat, key) else {
        return Ok(Permission::Free);
    };
    let Some(claims) = &entry.claims else {
        let message =
            "the request must run at most once, which cannot be ensured without a platform";
        let problem = Problem::unavailable("claims_unavailable", message, RETRY_AFTER);
        return Err(unclaimed(problem, key.minted));
    };
    let hash = hash(content);
    let span = tracing::info_span!(target: "jaystand", "platform");
    let verdict = claims.acquire(team, key, hash, deadline).instrument(span);
    match verdict.await {
        Verdict::Dispatch(ticket) => Ok(Permission::Claimed(Claim {
            claims: Arc::clone(claims),
            ticket,
        })),
        Verdict::Answer(reply) => Ok(Permission::Answered(answered(&reply))),
        Verdict::NotRun {
            reason,
            retry_after,
        } => {
            let problem =
                Problem::unavailable("claim_not_recorded", &reason.to_string(), retry_after);
            let excluded = key.minted || reason.excludes_earlier_run();
            Err(unclaimed(problem, excluded))
        }
        Verdict::Unknown {
            reason,
            retry_after,
        } => Err(unknown(reason, retry_after)),
        Verdict::KeyReused => {
            let message = "the idempotency key was used for a request with other content";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            let problem = Problem::request(status, "idempotency_key_reused", message);
            Err(problem.param(Some("idempotency-key")))
        }
    }
}

/// The path belongs to the content: the same body means something else under another path.
fn hash([path, body]: [&[u8]; 2]) -> BodyHash {
    let mut content = Vec::with_capacity(path.len() + 1 + body.len());
    content.extend_from_slice(path);
    content.push(b'\n');
    content.extend_from_slice(body);
    BodyHash::new(&content)
}

/// The answer to a request without a claim. Unless an earlier run under the key is excluded, `not_run` would be
/// taken for a statement about the order, which would then be placed anew under another key.
fn unclaimed(mut problem: Problem, earlier_run_excluded: bool) -> Problem {
    if !earlier_run_excluded {
        problem.outcome = Outcome::Unknown;
        problem.message.push_str(
            "; this request was not run, but an earlier one with the same idempotency key may have been: repeat it \
             with the same key",
        );
    }
    problem
}

fn unknown(reason: Reason, retry_after: Option<Duration>) -> Problem {
    let mut problem = Problem::request(StatusCode::CONFLICT, "outcome_unknown", reason.to_string());
    problem.outcome = Outcome::Unknown;
    problem.retry_after = retry_after;
    problem
}

fn answered(reply: &StoredReply) -> Response<Body> {
    let mut response = Response::new(Body::Whole(Some(reply.body.clone())));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if !reply.content_type.is_empty() {
        insert(headers, CONTENT_TYPE, &reply.content_type);
    }
    insert_outcome(headers, Outcome::Done);
    response
}

impl Claim {
    /// Settles a claim by what became of its request, and waits a short time for the record of an answer.
    pub(crate) async fn settle(self, outcome: Outcome, response: &Response<Body>) {
        match (outcome, response.body()) {
            (Outcome::NotRun, _) => self.claims.release(self.ticket),
            (Outcome::Done, Body::Whole(Some(body))) => {
                let content_type = response.headers().get(CONTENT_TYPE);
                let content_type = content_type.and_then(|value| value.to_str().ok());
                let reply = StoredReply {
                    status: response.status().as_u16(),
                    content_type: content_type.unwrap_or_default().into(),
                    body: body.clone(),
                };
                let recorded = self.claims.finish(self.ticket, reply);
                // The record is still written when this gives up.
                let _ = tokio::time::timeout(RECORD_TIMEOUT, recorded).await;
            }
            // A streamed answer is not kept, and of an unknown one nothing is known.
            (Outcome::Done | Outcome::Unknown, _) => {}
        }
    }

    /// Gives the key free again: the request was not handed to the router.
    pub(crate) fn release(self) {
        self.claims.release(self.ticket);
    }
}

/// Tells the caller the key under which the request ran.
pub(crate) fn name_key(response: &mut Response<Body>, key: Option<&str>) {
    if let Some(key) = key {
        insert(response.headers_mut(), header::IDEMPOTENCY_KEY, key);
    }
}
