//! Records what the answers of a request's servers, or their absence, say of these servers.

use std::time::Duration;

use jaystand_dispatch::{ServerKey, health::Outcome};

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
