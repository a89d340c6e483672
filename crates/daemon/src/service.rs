//! Calls of plain services, some of which must not run twice.

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

/// Headers that concern one connection, or this daemon only.
const NOT_PASSED_ON: [HeaderName; 12] = [
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
    let key = once::key(&call.head.headers, rule.repeat)?;
    let work = Work {
        entry: Arc::clone(entry),
        call,
        rule,
        key,
    };
    if work.rule.repeat != RepeatRule::Once {
        return work.run().await;
    }
    // The result is recorded for a repeat even when the caller goes away.
    let span = tracing::Span::current();
    let task = entry.background.spawn(work.run().instrument(span));
    task.await.unwrap_or_else(|error| {
        log::error!("a call that must run once failed: {error}");
        Err(unknown_end("the daemon failed while the call ran"))
    })
}

struct Work {
    entry: Arc<Entry>,
    call: Call,
    rule: Arc<Rule>,
    key: Option<IdempotencyKey>,
}

impl Work {
    async fn run(mut self) -> Result<Response<Body>, Problem> {
        let path = self.call.head.uri.path().as_bytes();
        let permission = once::permit(
            &self.entry,
            self.rule.repeat,
            &self.call.team,
            self.key.as_ref(),
            [path, &self.call.body],
            self.call.arrived + self.rule.limits.deadline,
        );
        let claim = match permission.await? {
            Permission::Free => None,
            Permission::Claimed(claim) => Some(claim),
            Permission::Answered(mut response) => {
                once::name_key(&mut response, self.key.as_deref());
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
        once::name_key(&mut response, self.key.as_deref());
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
            tally,
        } = submitted;
        let mut headers = end_to_end(&self.call.head.headers);
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
                (outcome, chat::pass_on(answer, id, driver.source()))
            }
            Output::Refused {
                reason,
                retry_after,
                outcome,
            } => {
                let problem = Problem::refused(reason, retry_after, outcome);
                (outcome, problem.response(Some(id)))
            }
            // A service's attempt yields whole answers only.
            Output::Event(_) | Output::End => {
                let problem = unknown_end("the backend server sent a stream");
                (Outcome::Unknown, problem.response(Some(id)))
            }
        };
        tally.end(outcome);
        (outcome, response)
    }
}

fn unknown_end(message: &str) -> Problem {
    let mut problem = Problem::request(StatusCode::BAD_GATEWAY, "backend_failed", message);
    problem.outcome = Outcome::Unknown;
    problem
}

fn find_rule(configured: &Configured, team: &str, kind: &str) -> Result<Arc<Rule>, Problem> {
    let rule = configured.active.rule(team, kind);
    match rule {
        Some(rule) if matches!(rule.target, Target::Service(_)) => Ok(Arc::clone(rule)),
        _ => {
            let message = format!("the team has no request kind `{kind}` for a service");
            let status = StatusCode::NOT_FOUND;
            Err(Problem::request(status, "unknown_kind", message).param(Some("kind")))
        }
    }
}

/// The headers that are passed on.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len() + 8);
    for (name, value) in headers {
        let own = NOT_PASSED_ON.contains(name) || name == "keep-alive";
        if !own {
            passed.append(name, value.clone());
        }
    }
    passed
}
