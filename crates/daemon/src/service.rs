//! Calls of plain services. The repeat rule of some request kinds forbids running a call twice.

use std::sync::Arc;

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self as http_header, HeaderName},
};
use jaystand_sheet::{Rule, Target};
use jaystand_types::{Outcome, RepeatRule};
use jaystand_wire::header;
use tracing::Instrument;

use crate::{
    chat,
    drive::{Driver, Job, Output},
    entry::{Call, Entry, Shape, Submitted},
    hub::Configured,
    once::{self, IdempotencyKey, Permission},
    reply::{Body, Problem, insert},
};

/// Headers that are not forwarded, because they concern only one connection or this daemon.
const NOT_FORWARDED: [HeaderName; 12] = [
    http_header::CONNECTION,
    http_header::TRANSFER_ENCODING,
    http_header::TE,
    http_header::TRAILER,
    http_header::UPGRADE,
    http_header::PROXY_AUTHENTICATE,
    http_header::PROXY_AUTHORIZATION,
    http_header::CONTENT_LENGTH,
    http_header::HOST,
    http_header::EXPECT,
    http_header::AUTHORIZATION,
    header::REQUEST_ID,
];

/// Serves a call of a plain service.
pub(crate) async fn call(
    entry: &Arc<Entry>,
    call: Call,
    kind: &str,
) -> Result<Response<Body>, Problem> {
    let rule = find_rule(&call.configured, &call.team, kind)?;
    let key = once::idempotency_key(&call.head.headers, rule.repeat)?;
    let service_call = ServiceCall {
        entry: Arc::clone(entry),
        call,
        rule,
        key,
    };
    if service_call.rule.repeat != RepeatRule::Once {
        return service_call.run().await;
    }
    // The call runs in its own task, so that its result is recorded even if the caller disconnects.
    let span = tracing::Span::current();
    let task = entry.background.spawn(service_call.run().instrument(span));
    task.await.unwrap_or_else(|error| {
        log::error!("the task of a call that must run at most once failed: {error}");
        Err(outcome_unknown("the daemon failed while the call ran"))
    })
}

/// A call of a plain service in progress.
struct ServiceCall {
    entry: Arc<Entry>,
    call: Call,
    rule: Arc<Rule>,
    key: Option<IdempotencyKey>,
}

impl ServiceCall {
    async fn run(mut self) -> Result<Response<Body>, Problem> {
        let path = self.call.head.uri.path().as_bytes();
        let permission = once::claim(
            &self.entry,
            self.rule.repeat,
            &self.call.team,
            self.key.as_ref(),
            [path, &self.call.body],
            self.call.arrived + self.rule.limits.deadline,
        );
        let claim = match permission.await? {
            Permission::NotNeeded => None,
            Permission::Claimed(claim) => Some(claim),
            Permission::Recorded(mut response) => {
                once::insert_key(&mut response, self.key.as_deref());
                return Ok(response);
            }
        };
        let submitted = match self.submit() {
            Ok(submitted) => submitted,
            Err(problem) => {
                if let Some(claim) = claim {
                    claim.release();
                }
                return Err(problem);
            }
        };
        let (outcome, mut response) = self.answer(submitted).await;
        if let Some(claim) = claim {
            claim.settle(outcome, &response).await;
        }
        once::insert_key(&mut response, self.key.as_deref());
        Ok(response)
    }

    fn submit(&mut self) -> Result<Submitted, Problem> {
        let team = self.call.team.clone();
        let kind = self.rule.kind.clone();
        let find = |configured: &Configured| find_rule(configured, &team, &kind);
        let entry = Arc::clone(&self.entry);
        let submitted = entry.submit(&mut self.call, find, &Shape::default())?;
        submitted.check_repeat(self.rule.repeat)
    }

    async fn answer(&self, submitted: Submitted) -> (Outcome, Response<Body>) {
        let Submitted {
            handle,
            deadline,
            rule,
            guard,
        } = submitted;
        let mut headers = forwarded_headers(&self.call.head.headers);
        if let Some(key) = &self.key {
            insert(&mut headers, header::IDEMPOTENCY_KEY, key);
        }
        let job = Job::Service {
            method: self.call.head.method.clone(),
            path: self.call.head.uri.clone(),
            headers,
            body: self.call.body.clone(),
        };
        let metrics = Arc::clone(&self.entry.metrics);
        let mut driver = Driver::new(handle, job, false, deadline, &rule, metrics);
        let id = self.call.id;
        let (outcome, response) = match driver.next().await {
            Output::Answer(answer) => {
                let outcome = answer.outcome();
                (outcome, chat::backend_response(answer, id, driver.source()))
            }
            Output::Refused {
                reason,
                retry_after,
                outcome,
            } => {
                let problem = Problem::refused(reason, retry_after, outcome);
                (outcome, problem.response(Some(id)))
            }
            // Attempts at a plain service yield only whole answers.
            Output::Event(_) | Output::End => {
                let problem = outcome_unknown("the backend server sent a stream");
                (Outcome::Unknown, problem.response(Some(id)))
            }
        };
        guard.finish(outcome);
        (outcome, response)
    }
}

fn outcome_unknown(message: &str) -> Problem {
    let mut problem = Problem::invalid_request(StatusCode::BAD_GATEWAY, "backend_failed", message);
    problem.outcome = Outcome::Unknown;
    problem
}

/// Returns the team's rule for a request kind that a plain service serves.
fn find_rule(configured: &Configured, team: &str, kind: &str) -> Result<Arc<Rule>, Problem> {
    let rule = configured.active.rule(team, kind);
    match rule {
        Some(rule) if matches!(rule.target, Target::Service(_)) => Ok(Arc::clone(rule)),
        _ => {
            let message = format!("the team has no request kind `{kind}` for a service");
            let status = StatusCode::NOT_FOUND;
            Err(Problem::invalid_request(status, "unknown_kind", message).param(Some("kind")))
        }
    }
}

/// Returns the headers that are forwarded.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 8);
    for (name, value) in headers {
        let excluded = NOT_FORWARDED.contains(name) || name == "keep-alive";
        if !excluded {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}
