//! Refuses requests whose prompts have a part that is suspected to crash servers, and tells other hosts of the evidence.

use std::time::Duration;

use jaystand_dispatch::{
    ServerKey,
    admission::Reason,
    prompt::PartId,
    suspicion::{Statement, Suspicions, Verdict},
};
use jaystand_types::Moment;
use prost::Message;

use crate::{
    call::Call,
    hub::{Hub, State, whole_ms},
};

/// Largest number of parts that may crash servers that a report names.
const MAX_SUSPICIONS: usize = 16;

/// The evidence against a part in a report to other hosts.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct SuspicionEntry {
    #[prost(fixed64, tag = "1")]
    part: u64,
    /// Servers that ended under the part.
    #[prost(uint64, repeated, tag = "2")]
    servers: Vec<u64>,
    /// Times since they ended, in the same order.
    #[prost(uint64, repeated, tag = "3")]
    ages_ms: Vec<u64>,
    /// Time since a request with the part was last answered.
    #[prost(uint64, optional, tag = "4")]
    cleared_ms: Option<u64>,
    /// Time since the last trial.
    #[prost(uint64, optional, tag = "5")]
    tried_ms: Option<u64>,
}

impl Call {
    /// Returns the ids of the shared parts of the prompt for logs, in hexadecimal.
    pub(crate) fn part_ids(&self) -> String {
        let ids: Vec<String> = self.shared_parts.iter().copied().map(hash_name).collect();
        ids.join(",")
    }

    /// Returns why the request must not be sent, if a part of its prompt is suspected and no trial is due. A request
    /// that was sent before is no trial: its own server may have been the last to end.
    pub(crate) fn suspect_reason(&self) -> Option<Reason> {
        let now = self.hub.now();
        let state = self.hub.state.borrow();
        let (part, wait) = match state
            .suspicions
            .verdict(now, self.shared_parts.iter().copied())
        {
            Verdict::Suspected(part, wait) => (part, wait),
            Verdict::Trial(part) if self.was_sent() => (part, self.time_left()),
            Verdict::Trial(_) | Verdict::Sound => return None,
        };
        log::info!(request = self.id.as_str(), part = hash_name(part), next_trial_ms = whole_ms(wait);
            "not sent: a part of the prompt is suspected to crash servers");
        Some(Reason::SuspectedPart(wait))
    }

    /// Records that the request is about to be sent, which is a trial if a part of its prompt is suspected.
    pub(crate) fn record_trial(&self) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        if let Verdict::Trial(part) = state
            .suspicions
            .verdict(now, self.shared_parts.iter().copied())
        {
            state.suspicions.record_trial(now, part);
            log::info!(request = self.id.as_str(), part = hash_name(part);
                "trial of a part that is suspected to crash servers");
            self.hub.report_now.notify_one();
        }
    }

    /// Records that a server broke off before it had sent an event of the answer.
    pub(crate) fn record_crash(&self, server: ServerKey) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        let suspected =
            state
                .suspicions
                .record_crash(now, server, self.shared_parts.iter().copied());
        for part in suspected {
            log_suspected(&state.suspicions, part, "own request");
            self.hub.report_now.notify_one();
        }
    }

    /// Records that a server has answered the request to its end.
    pub(crate) fn record_complete(&self) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        state
            .suspicions
            .record_answer(now, self.shared_parts.iter().copied());
    }
}

/// Returns what this host knows of parts that may crash servers.
pub(crate) fn compose_suspicions(state: &State, now: Moment) -> Vec<SuspicionEntry> {
    let statements = state.suspicions.statements(now, MAX_SUSPICIONS);
    let entries = statements.into_iter().map(|statement| SuspicionEntry {
        part: statement.part,
        servers: statement.crashes.iter().map(|(key, _)| *key).collect(),
        ages_ms: statement
            .crashes
            .iter()
            .map(|(_, a)| whole_ms(*a))
            .collect(),
        cleared_ms: statement.cleared.map(whole_ms),
        tried_ms: statement.tried.map(whole_ms),
    });
    entries.collect()
}

/// Applies what another host knows of parts that may crash servers.
pub(crate) fn apply_suspicions(state: &mut State, now: Moment, entries: &[SuspicionEntry]) {
    for entry in entries {
        let ages = entry.ages_ms.iter().copied().map(Duration::from_millis);
        let statement = Statement {
            part: entry.part,
            crashes: entry.servers.iter().copied().zip(ages).collect(),
            cleared: entry.cleared_ms.map(Duration::from_millis),
            tried: entry.tried_ms.map(Duration::from_millis),
        };
        if let Some(part) = state.suspicions.learn(now, &statement) {
            log_suspected(&state.suspicions, part, "peer");
        }
    }
}

/// Logs that a part is suspected from now on.
pub(crate) fn log_suspected(suspicions: &Suspicions, part: PartId, source: &str) {
    let crashes = suspicions.crashes(part);
    log::warn!(part = hash_name(part), crashes, source;
        "a part of prompts is suspected to crash servers; requests with it are not sent, but for single trials");
}

/// Updates the metric of suspected parts.
pub(crate) fn count_suspected(hub: &Hub) {
    let state = hub.state.borrow();
    let suspected = state.suspicions.suspected().count();
    hub.metrics
        .suspected_parts
        .set(i64::try_from(suspected).unwrap_or(i64::MAX));
}

/// Returns a hash as logs have it, in hexadecimal.
pub(crate) fn hash_name(hash: u64) -> String {
    format!("{hash:016x}")
}
