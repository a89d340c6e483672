//! Records what the answers of a request's servers, or their absence, say of these servers.

use std::time::Duration;

use http::StatusCode;
use jaystand_adapter::response::{Head, Identity};
use jaystand_dispatch::{ServerKey, health::Outcome, placement::Choice};

use crate::call::Call;

impl Call {
    /// Records the outcome of an attempt in the metrics and in the server's health.
    pub(crate) fn record_outcome(&self, server: ServerKey, outcome: Outcome) {
        let label = match outcome {
            Outcome::Good => "good",
            Outcome::Error => "error",
            Outcome::Busy => "refused",
            Outcome::Broken => "broken",
            Outcome::Silent => "silent",
            Outcome::Unreachable => "unreachable",
        };
        let attempts = &self.hub.metrics.attempts;
        attempts
            .with_label_values(&[self.service.as_str(), label])
            .inc();
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        if let Some(server) = state.directory.get_mut(server) {
            server.health.observe(now, outcome);
        }
    }

    /// Records what a refusal says of the weights of the server that was chosen. Only a server that expects to be asked for
    /// its present version refuses by this status in its own name.
    pub(crate) fn record_version_refusal(&self, choice: &Choice, head: &Head) {
        let is_own = head.server.as_ref().is_none_or(|s| *s == self.server_name);
        let is_refusal = head.status == StatusCode::MISDIRECTED_REQUEST
            && head.identity == Identity::Matching
            && is_own;
        if let (true, Some(prompt), Some(expected)) = (is_refusal, &self.prompt, choice.version) {
            self.hub
                .refute_version(choice.server, &prompt.model, expected, head.version);
        }
    }

    /// Records that a server in its data centre has responded.
    pub(crate) fn record_contact(&self, server: ServerKey) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        let data_centre = state
            .directory
            .get(server)
            .map(|s| s.entry.data_centre.clone());
        if let Some(data_centre) = data_centre {
            state.reach.record_contact(now, &data_centre);
        }
    }

    /// Records how long an answer, or its first event, took relative to what was expected of the server.
    pub(crate) fn record_slowdown(&self, server: ServerKey, took: Duration, expected: Duration) {
        self.record_response(server, took, expected);
        let now = self.hub.now();
        let state = &mut *self.hub.state.borrow_mut();
        if let Some(server) = state.directory.get_mut(server) {
            if let Some(estimate) = &mut state.estimate {
                let service = &server.entry.service;
                estimate.record_time(now, service, &mut server.speed, took, expected);
                return;
            }
            let slowdown = server.health.slowdown(now);
            let base = expected.as_secs_f64() / slowdown;
            server
                .health
                .observe_slowdown(took.as_secs_f64() / base.max(1e-3));
        }
    }
}
