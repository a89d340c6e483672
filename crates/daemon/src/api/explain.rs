//! The call that returns the candidates for a request without sending it.

use std::{sync::Arc, time::Duration};

use hyper::StatusCode;
use jaystand_policy::{Candidate, Request, Source};
use jaystand_wire::chat;
use serde::Deserialize;
use serde_json::{Value, json, value::RawValue};

use super::{Call, Problem, Result, ok};
use crate::{
    chat::{find_rule, shape},
    hub::{Configured, Hub},
    settings::Settings,
};

/// The call fails when the configuration changes during this many lookups in a row.
const MAX_LOOKUPS: usize = 3;

/// A chat request, with the team and request kind that it would have.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Question<'a> {
    team: String,
    #[serde(default)]
    kind: Option<String>,
    #[serde(borrow)]
    request: &'a RawValue,
}

pub(super) fn explain(call: &Call) -> Result {
    let question: Question<'_> =
        serde_json::from_slice(&call.body).map_err(|error| Problem::bad_body(&error))?;
    let body = question.request.get().as_bytes();
    let request = chat::Request::try_from(body).map_err(|error| {
        let message = format!("the chat request is not valid: {error}; correct `request`");
        Problem::new(StatusCode::BAD_REQUEST, "invalid_request", message).param("request")
    })?;
    let hub = call.kernel.require::<Hub>()?;
    let settings = call.kernel.require::<Settings>()?;
    for _ in 0..MAX_LOOKUPS {
        let configured = hub.configured().ok_or_else(Problem::no_configuration)?;
        let model = request.model.as_ref();
        let rule = find_rule(&configured, &question.team, question.kind.as_deref(), model)?;
        let piece_bytes = settings.chain.piece_bytes;
        let shape = shape(piece_bytes, &configured, &question.team, &request);
        let levels = shape.chain.levels().len();
        let query = Request {
            id: rand::random(),
            team: rule.team.clone(),
            kind: rule.kind.clone(),
            urgency: rule.urgency,
            repeat: rule.repeat,
            chain: shape.chain,
            prompt_tokens: shape.prompt_tokens,
            expected_tokens: shape
                .max_tokens
                .map_or(rule.limits.expected_tokens, |max_tokens| {
                    max_tokens.min(rule.limits.expected_tokens)
                }),
            deadline: hub.now() + rule.limits.deadline,
            first_token_target: rule.limits.first_token,
            servers: Arc::clone(&rule.servers),
        };
        if let Some(candidates) = hub.explain(&configured, &query) {
            let candidates: Vec<Value> = candidates
                .iter()
                .map(|it| render(&configured, it))
                .collect();
            return Ok(ok(&json!({
                "team": rule.team,
                "kind": rule.kind,
                "urgency": rule.urgency,
                "prompt_tokens": query.prompt_tokens,
                "levels": levels,
                "candidates": candidates,
            })));
        }
    }
    let message = "the configuration keeps changing; repeat the call";
    Err(Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "configuration_changing",
        message,
    ))
}

fn render(configured: &Configured, candidate: &Candidate) -> Value {
    let backend = configured.backends.get(candidate.server as usize);
    json!({
        "server": backend.map(|backend| &backend.server.name),
        "source": match candidate.source {
            Source::Member => "member",
            Source::Holder => "holder",
            Source::LeastLoaded => "least_loaded",
            Source::Baseline => "baseline",
        },
        "queue_ms": milliseconds(candidate.queue),
        "prefill_ms": milliseconds(candidate.prefill),
        "missed_tokens": candidate.missed_tokens,
        "link_ms": milliseconds(candidate.link),
        "health_ms": milliseconds(candidate.health),
        "score_ms": milliseconds(candidate.score),
    })
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
