//! Calls of plain services, some of which must not run twice.

use std::sync::Arc;

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self as http_header, HeaderName},
};
use jaystand_sheet::{Rule, Target};
use jaystand_types::{Outcome, RepeatRule};
use jaystand_wire::header;

use crate::{
    chat,
    drive::{Driver, Job, Output},
    entry::{Call, Entry, Shape, Submitted, idempotency_key},
    hub::Configured,
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
    mut call: Call,
    kind: &str,
) -> Result<Response<Body>, Problem> {
    let team = call.team.clone();
    let find = |configured: &Configured| find_rule(configured, &team, kind);
    let rule = find(&call.configured)?;
    let key = key(&call.head.headers, rule.repeat)?;
    if rule.repeat == RepeatRule::Once {
        return Err(Problem::unavailable(
            "claims_unavailable",
            "the request must run at most once, which cannot be ensured now",
            std::time::Duration::from_secs(1),
        ));
    }
    let submitted = entry.submit(&mut call, find, &Shape::default())?;
    let Submitted {
        handle,
        deadline,
        rule,
        tally,
    } = submitted;
    let mut headers = end_to_end(&call.head.headers);
    if let Some(key) = &key {
        insert(&mut headers, header::IDEMPOTENCY_KEY, key);
    }
    let job = Job::Service {
        method: call.head.method.clone(),
        path: call.head.uri.clone(),
        headers,
        body: call.body.clone(),
        once: rule.repeat == RepeatRule::Once,
    };
    let metrics = Arc::clone(&entry.metrics);
    let mut driver = Driver::new(handle, job, false, deadline, rule.urgency, metrics);
    let mut response = match driver.next().await {
        Output::Answer(answer) => {
            let outcome = answer.outcome();
            let response = chat::pass_on(answer, call.id, driver.source());
            tally.end(outcome);
            response
        }
        Output::Refused {
            reason,
            retry_after,
            outcome,
        } => {
            tally.end(outcome);
            Problem::refused(reason, retry_after, outcome).response(Some(call.id))
        }
        // A service's attempt yields whole answers only.
        Output::Event(_) | Output::End => {
            let message = "the backend server sent a stream";
            let status = StatusCode::BAD_GATEWAY;
            let mut problem = Problem::request(status, "backend_failed", message);
            problem.outcome = Outcome::Unknown;
            problem.response(Some(call.id))
        }
    };
    if let Some(key) = &key {
        insert(response.headers_mut(), header::IDEMPOTENCY_KEY, key);
    }
    Ok(response)
}

/// The idempotency key; one is minted for unrepeatable requests without one.
fn key(headers: &HeaderMap, repeat: RepeatRule) -> Result<Option<String>, Problem> {
    let given = idempotency_key(headers)?;
    Ok(match (given, repeat) {
        (None, RepeatRule::Once | RepeatRule::OnceChecked) => {
            Some(format!("{:032x}", rand::random::<u128>()))
        }
        (given, _) => given,
    })
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
