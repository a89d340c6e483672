//! Refuses requests that are suspected to crash servers, or whose prompts have a part that is, and tells other hosts of
//! the evidence.

use std::time::Duration;

use jaystand_dispatch::{
    ServerKey,
    admission::Reason,
    suspicion::{Statement, Subject, Suspicions, Verdict},
};
use jaystand_types::Moment;
use prost::Message;
use rand::seq::IndexedRandom as _;

use crate::{
    call::Call,
    hub::{Hub, State, host_id, whole_ms},
};

/// Largest number of subjects that may crash servers that a report names.
const MAX_SUSPICIONS: usize = 32;
/// Largest number of subjects without recent evidence that a whole report names, drawn at random: a host that has started
/// hears 40 whole reports a second.
const MAX_OLD_SUSPICIONS: usize = 8;
/// Brief reports name evidence that is not older than this, so that three reports in a row have it: some are lost. Whole
/// reports spread the rest. With 3 s, evidence was three quarters of all bytes between hosts while a third of the servers
/// crashed, as each host repeated what it had learned from the others.
const MAX_BRIEF_AGE: Duration = Duration::from_millis(600);

/// The evidence against a subject in a report to other hosts.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct SuspicionEntry {
    /// Hash of the part, or fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    part: u64,
    /// Servers that ended under it.
    #[prost(uint64, repeated, tag = "2")]
    servers: Vec<u64>,
    /// Times since they ended, in the same order.
    #[prost(uint64, repeated, tag = "3")]
    ages_ms: Vec<u64>,
    /// Time since a request with it was last answered.
    #[prost(uint64, optional, tag = "4")]
    cleared_ms: Option<u64>,
    /// Time since the last trial.
    #[prost(uint64, optional, tag = "5")]
    tried_ms: Option<u64>,
    /// Whether the subject is a request.
    #[prost(bool, tag = "6")]
    request: bool,
    /// Those of the servers that held other streams as well.
    #[prost(uint64, repeated, tag = "7")]
    shared: Vec<u64>,
}

impl SuspicionEntry {
    /// Returns whether a brief report names the entry.
    pub(crate) fn is_recent(&self) -> bool {
        let ages = self.ages_ms.iter().chain(&self.cleared_ms);
        let ages = ages.chain(&self.tried_ms).copied();
        ages.min()
            .is_some_and(|age| Duration::from_millis(age) <= MAX_BRIEF_AGE)
    }
}

impl Call {
    /// Returns the ids of the shared parts of the prompt for logs, in hexadecimal.
    pub(crate) fn part_ids(&self) -> String {
        let ids: Vec<String> = self.shared_parts.iter().copied().map(hash_name).collect();
        ids.join(",")
    }

    /// Returns what of the request may crash servers.
    fn subjects(&self) -> impl Iterator<Item = Subject> {
        let parts = self.shared_parts.iter().copied().map(Subject::Part);
        parts.chain([Subject::Request(self.fingerprint)])
    }

    fn verdict(&self, state: &State, now: Moment) -> Verdict {
        state.suspicions.verdict(now, self.subjects(), |subject| {
            let local = host_id(self.hub.settings.borrow().listen.front.ip());
            let others = state.hosts.iter().filter(|(_, host)| !host.stopping);
            subject.trial_delay(local, others.map(|(address, _)| host_id(*address)))
        })
    }

    /// Returns why the request must not be sent, if it or a part of its prompt is suspected and no trial is due. A
    /// request that was sent before is no trial: its own server may have been the last to end.
    pub(crate) fn suspect_reason(&self) -> Option<Reason> {
        let now = self.hub.now();
        let (subject, wait) = match self.verdict(&self.hub.state.borrow(), now) {
            Verdict::Suspected(subject, wait) => (subject, wait),
            Verdict::Trial(subject) if self.was_sent() => (subject, self.time_left()),
            Verdict::Trial(_) | Verdict::Sound => return None,
        };
        let next_trial_ms = whole_ms(wait);
        match subject {
            Subject::Part(part) => {
                log::info!(request = self.id.as_str(), part = hash_name(part), next_trial_ms;
                    "not sent: a part of the prompt is suspected to crash servers");
                Some(Reason::SuspectedPart(wait))
            }
            Subject::Request(fingerprint) => {
                log::info!(request = self.id.as_str(), fingerprint = hash_name(fingerprint), next_trial_ms;
                    "not sent: the request is suspected to crash servers");
                Some(Reason::SuspectedRequest(wait))
            }
        }
    }

    /// Records that the request is about to be sent, which is a trial if it or a part of its prompt is suspected.
    pub(crate) fn record_trial(&self) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        if let Verdict::Trial(subject) = self.verdict(&state, now) {
            state.suspicions.record_trial(now, subject);
            match subject {
                Subject::Part(part) => {
                    log::info!(request = self.id.as_str(), part = hash_name(part);
                        "trial of a part that is suspected to crash servers");
                }
                Subject::Request(fingerprint) => {
                    log::info!(request = self.id.as_str(), fingerprint = hash_name(fingerprint);
                        "trial of a request that is suspected to crash servers");
                }
            }
            self.hub.report_now.notify_one();
        }
    }

    /// Records that a server broke off before it had sent an event of the answer, or a whole one.
    pub(crate) fn record_crash(&self, server: ServerKey) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        let suspected = state.suspicions.record_crash(now, server, self.subjects());
        for subject in suspected {
            log_suspected(&state.suspicions, subject, "own request");
            self.hub.report_now.notify_one();
        }
    }

    /// Records that a server broke off after it had sent events of the answer.
    pub(crate) fn record_cut(&self, server: ServerKey) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        let own = state.directory.get(server);
        let own = own.map_or(0, |server| server.load.active);
        let held = own.saturating_add(state.peers.total(server).active);
        let suspected = state
            .suspicions
            .record_cut(now, server, self.fingerprint, held);
        if let Some(subject) = suspected {
            log_suspected(&state.suspicions, subject, "own request");
            self.hub.report_now.notify_one();
        }
    }

    /// Records that a server has answered the request to its end.
    pub(crate) fn record_complete(&self) {
        let now = self.hub.now();
        let mut state = self.hub.state.borrow_mut();
        state.suspicions.record_answer(now, self.subjects());
    }
}

/// Returns what this host knows of subjects that may crash servers.
pub(crate) fn compose_suspicions(state: &State, now: Moment) -> Vec<SuspicionEntry> {
    let statements = state.suspicions.statements(now, MAX_SUSPICIONS);
    let entries = statements.into_iter().map(|statement| {
        let (part, request) = match statement.subject {
            Subject::Part(part) => (part, false),
            Subject::Request(fingerprint) => (fingerprint, true),
        };
        SuspicionEntry {
            part,
            servers: statement.crashes.iter().map(|(key, _)| *key).collect(),
            ages_ms: statement
                .crashes
                .iter()
                .map(|(_, a)| whole_ms(*a))
                .collect(),
            cleared_ms: statement.cleared.map(whole_ms),
            tried_ms: statement.tried.map(whole_ms),
            request,
            shared: statement.shared.to_vec(),
        }
    });
    let (mut recent, old): (Vec<_>, Vec<_>) = entries.partition(SuspicionEntry::is_recent);
    recent.extend(old.sample(&mut rand::rng(), MAX_OLD_SUSPICIONS).cloned());
    recent
}

/// Applies what another host knows of subjects that may crash servers.
pub(crate) fn apply_suspicions(state: &mut State, now: Moment, entries: &[SuspicionEntry]) {
    for entry in entries {
        let ages = entry.ages_ms.iter().copied().map(Duration::from_millis);
        let statement = Statement {
            subject: if entry.request {
                Subject::Request(entry.part)
            } else {
                Subject::Part(entry.part)
            },
            crashes: entry.servers.iter().copied().zip(ages).collect(),
            shared: entry.shared.iter().copied().collect(),
            cleared: entry.cleared_ms.map(Duration::from_millis),
            tried: entry.tried_ms.map(Duration::from_millis),
        };
        if let Some(subject) = state.suspicions.learn(now, &statement) {
            log_suspected(&state.suspicions, subject, "peer");
        }
    }
}

/// Logs that a subject is suspected from now on.
fn log_suspected(suspicions: &Suspicions, subject: Subject, source: &str) {
    let crashes = suspicions.crashes(subject);
    match subject {
        Subject::Part(part) => {
            log::warn!(part = hash_name(part), crashes, source;
                "a part of prompts is suspected to crash servers; requests with it are not sent, but for single trials");
        }
        Subject::Request(fingerprint) => {
            log::warn!(fingerprint = hash_name(fingerprint), crashes, source;
                "a request is suspected to crash servers; it is not sent, but for single trials");
        }
    }
}

/// Updates the metrics of suspected subjects.
pub(crate) fn count_suspected(hub: &Hub) {
    let state = hub.state.borrow();
    let (mut parts, mut requests) = (0, 0);
    for subject in state.suspicions.suspected() {
        match subject {
            Subject::Part(_) => parts += 1,
            Subject::Request(_) => requests += 1,
        }
    }
    hub.metrics.suspected_parts.set(parts);
    hub.metrics.suspected_requests.set(requests);
}

/// Returns a hash as logs have it, in hexadecimal.
pub(crate) fn hash_name(hash: u64) -> String {
    format!("{hash:016x}")
}
