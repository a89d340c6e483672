//! Requests that must run at most once: each is claimed before it is sent, and its claim is settled after the answer.

use std::{ops::Deref, sync::Arc, time::Duration};

use hyper::{HeaderMap, Response, StatusCode, header::CONTENT_TYPE};
use jaystand_control::claim::{BodyHash, Reason};
use jaystand_types::{Moment, Outcome, RepeatRule, TeamId};
use jaystand_wire::header;
use tracing::Instrument;

use crate::{
    claim::{Claims, StoredReply, Ticket, Verdict},
    entry::{self, Entry},
    reply::{Body, Problem, insert, insert_outcome},
};

/// `Retry-After` of a daemon without a platform, which cannot record claims.
const RETRY_AFTER: Duration = Duration::from_secs(5);
/// Longest time that an answer waits until it is recorded. A repeat right after the answer should find the record, but
/// an outage of the platform must not delay the answer.
const RECORD_TIMEOUT: Duration = Duration::from_millis(100);

/// A claim that permits sending a request and must be settled afterwards. Dropping it leaves the recorded claim in
/// place; repeats are then told that the outcome is unknown.
pub(crate) struct Claim {
    claims: Arc<Claims>,
    ticket: Ticket,
}

/// Whether a request may be sent.
pub(crate) enum Permission {
    /// It may be sent without a claim.
    NotNeeded,
    /// It may be sent under this claim.
    Claimed(Claim),
    /// It is not sent: this is the recorded answer of an earlier request with the same key.
    Recorded(Response<Body>),
}

/// The idempotency key of a request.
pub(crate) struct IdempotencyKey {
    value: String,
    /// Whether this daemon generated the key for this request. No earlier request can have used it then.
    generated: bool,
}

impl Deref for IdempotencyKey {
    type Target = str;

    fn deref(&self) -> &str {
        &self.value
    }
}

/// Returns the caller's idempotency key. Generates one for an unrepeatable request that has none.
///
/// # Errors
/// Fails when the caller's key is not valid.
pub(crate) fn idempotency_key(
    headers: &HeaderMap,
    repeat: RepeatRule,
) -> Result<Option<IdempotencyKey>, Problem> {
    let given = entry::idempotency_key(headers)?;
    Ok(match (given, repeat) {
        (Some(value), _) => Some(IdempotencyKey {
            value,
            generated: false,
        }),
        (None, RepeatRule::Once | RepeatRule::OnceChecked) => Some(IdempotencyKey {
            value: format!("{:032x}", rand::random::<u128>()),
            generated: true,
        }),
        (None, RepeatRule::Repeatable) => None,
    })
}

/// Claims the key if the repeat rule requires a claim.
///
/// # Errors
/// Fails when the request must not be sent.
pub(crate) async fn claim(
    entry: &Entry,
    repeat: RepeatRule,
    team: &TeamId,
    key: Option<&IdempotencyKey>,
    content: [&[u8]; 2],
    deadline: Moment,
) -> Result<Permission, Problem> {
    let (RepeatRule::Once, Some(key)) = (repeat, key) else {
        return Ok(Permission::NotNeeded);
    };
    let Some(claims) = &entry.claims else {
        let message =
            "the request must run at most once, which cannot be ensured without a platform";
        let problem = Problem::unavailable("claims_unavailable", message, RETRY_AFTER);
        return Err(not_claimed(problem, key.generated));
    };
    let hash = hash(content);
    let span = tracing::info_span!(target: "jaystand", "platform");
    let verdict = claims.acquire(team, key, hash, deadline).instrument(span);
    match verdict.await {
        Verdict::Dispatch(ticket) => Ok(Permission::Claimed(Claim {
            claims: Arc::clone(claims),
            ticket,
        })),
        Verdict::Answer(reply) => Ok(Permission::Recorded(recorded_response(&reply))),
        Verdict::NotRun {
            reason,
            retry_after,
        } => {
            let problem =
                Problem::unavailable("claim_not_recorded", &reason.to_string(), retry_after);
            let excluded = key.generated || reason.excludes_earlier_run();
            Err(not_claimed(problem, excluded))
        }
        Verdict::Unknown {
            reason,
            retry_after,
        } => Err(outcome_unknown(reason, retry_after)),
        Verdict::KeyReused => {
            let message = "the idempotency key was used for a request with other content";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            let problem = Problem::invalid_request(status, "idempotency_key_reused", message);
            Err(problem.param(Some("idempotency-key")))
        }
    }
}

/// Hashes path and body, since the same body under another path is another request.
fn hash([path, body]: [&[u8]; 2]) -> BodyHash {
    let mut content = Vec::with_capacity(path.len() + 1 + body.len());
    content.extend_from_slice(path);
    content.push(b'\n');
    content.extend_from_slice(body);
    BodyHash::new(&content)
}

/// Returns the error for a request that could not be claimed. Unless an earlier run under the key is excluded, the
/// outcome must not be `not_run`: the caller would conclude that no request with the key ran, and repeat it under
/// another key.
fn not_claimed(mut problem: Problem, earlier_run_excluded: bool) -> Problem {
    if !earlier_run_excluded {
        problem.outcome = Outcome::Unknown;
        problem.message.push_str(
            "; this request was not run, but an earlier one with the same idempotency key may have been: repeat it \
             with the same key",
        );
    }
    problem
}

fn outcome_unknown(reason: Reason, retry_after: Option<Duration>) -> Problem {
    let mut problem =
        Problem::invalid_request(StatusCode::CONFLICT, "outcome_unknown", reason.to_string());
    problem.outcome = Outcome::Unknown;
    problem.retry_after = retry_after;
    problem
}

fn recorded_response(reply: &StoredReply) -> Response<Body> {
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
    /// Settles the claim by the outcome of its request. Waits up to [`RECORD_TIMEOUT`] until an answer is recorded.
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
                // The record is still written after the timeout.
                let _ = tokio::time::timeout(RECORD_TIMEOUT, recorded).await;
            }
            // A streamed answer is not recorded, and an unknown outcome leaves nothing to record.
            (Outcome::Done | Outcome::Unknown, _) => {}
        }
    }

    /// Releases the key because the request was not submitted to the router.
    pub(crate) fn release(self) {
        self.claims.release(self.ticket);
    }
}

/// Adds the key under which the request ran to the response.
pub(crate) fn insert_key(response: &mut Response<Body>, key: Option<&str>) {
    if let Some(key) = key {
        insert(response.headers_mut(), header::IDEMPOTENCY_KEY, key);
    }
}
