//! Checks the promises of the gateways against what callers and backend servers see.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hashbrown::HashMap;
use jaystand_adapter_standin::{
    answer::{EVENTS_PER_STREAM, answer_body, stream_event},
    call::Kind,
};

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Kind of the request.
    pub kind: Kind,
    /// Time since the start of the run; `Duration::MAX` for probes after the run.
    pub sent_at: Duration,
    /// Method, path and query.
    pub line: String,
    /// Body.
    pub body: String,
    /// Team that the key belongs to.
    pub team: &'static str,
    /// Gateway that it was sent to.
    pub gateway: SocketAddr,
}

/// A request as a server ran it. Its `Debug` output is written to the report.
#[derive(Clone, Debug, PartialEq)]
pub struct Ran {
    /// Method, path and query.
    pub line: String,
    /// Body.
    pub body: String,
    /// Team that the gateway named.
    pub team: String,
    /// Whether the caller's key was passed on.
    pub key: bool,
    /// Event after which a resumed stream goes on; 0 for others.
    pub after: u64,
}

/// A call that arrived at a server while its answers named a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedCall {
    /// Requests a second that the limit allows.
    pub per_second: f64,
    /// Time since the limit was first named.
    pub after: Duration,
    /// Time since the start of the run.
    pub received_at: Duration,
    /// Id of the request; empty for calls that are no caller's request.
    pub id: String,
}

/// How a request ended for its caller. The `Debug` output of the last two variants is written to the report.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The caller received an answer.
    Answer {
        /// Status.
        status: u16,
        /// Whether a server signed it.
        sealed: bool,
        /// Body, or the events of a stream.
        body: String,
        /// Whether the body arrived to its announced end.
        complete: bool,
    },
    /// The connection ended without an answer.
    Closed,
    /// No answer came within the deadline and a margin.
    Silent,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Short text of the promise, as the report names it.
    pub promise: &'static str,
    /// What was seen instead.
    pub seen: String,
}

/// Records what callers and servers see, and derives the broken promises from it.
#[derive(Debug, Default)]
pub struct Checker {
    sent: HashMap<String, Sent>,
    ran: HashMap<String, Vec<Ran>>,
    /// Times at which each request arrived at servers, since the start of the run.
    arrivals: HashMap<String, Vec<Duration>>,
    ended: HashMap<String, End>,
    fences: BTreeMap<u64, String>,
    // By server and number of its limit.
    limited: BTreeMap<(String, u64), Vec<LimitedCall>>,
    // Gateway, start and end of each disturbance; times since the start of the run.
    disturbances: Vec<(SocketAddr, Duration, Duration)>,
    breaches: Vec<Breach>,
}

/// A limit must hold from this long after it was first named.
const LIMIT_NOTICE: Duration = Duration::from_secs(3);
/// In each window, a server may get this many times what its limit allows, and some calls more.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_EXCESS: f64 = 5.0;
/// Calls of a gateway count from this long after one that was answered with the limit.
const LIMIT_TOLD: Duration = Duration::from_millis(500);
/// In each window, a service may get this many repeats for each request that callers sent to it, and some more.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 52.0;
/// Longest time from sending a request to its answer or the caller's timeout.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(6);

impl Checker {
    /// Records a request that a caller is about to send.
    pub fn record_sent(&mut self, id: &str, sent: Sent) {
        self.sent.insert(id.to_owned(), sent);
    }

    /// Records that a server ran a request.
    pub fn record_run(&mut self, id: &str, ran: Ran) {
        self.ran.entry(id.to_owned()).or_default().push(ran);
    }

    /// Records that a request arrived at a server, which ran or refused it.
    pub fn record_arrival(&mut self, id: &str, at: Duration) {
        self.arrivals.entry(id.to_owned()).or_default().push(at);
    }

    /// Records how a request ended for its caller.
    pub fn record_end(&mut self, id: &str, end: End) {
        self.ended.insert(id.to_owned(), end);
    }

    /// Records a weight order that a server accepted, and checks that its fencing number has one holder only.
    pub fn record_order(&mut self, holder: &str, fence: u64) {
        let known = self
            .fences
            .entry(fence)
            .or_insert_with(|| holder.to_owned());
        if known != holder {
            let seen = format!("fence {fence} used by {known} and {holder}");
            self.record_breach("one holder for each fence", seen);
        }
    }

    /// Records a call that arrived at a server while its answers named a limit.
    pub fn record_limited_call(&mut self, server: &str, limit: u64, call: LimitedCall) {
        let calls = self.limited.entry((server.to_owned(), limit)).or_default();
        calls.push(call);
    }

    /// Records the time in which a gateway was stopped, paused or killed.
    pub fn record_disturbance(&mut self, gateway: SocketAddr, since: Duration, until: Duration) {
        self.disturbances.push((gateway, since, until));
    }

    /// Records a breach that was detected elsewhere.
    pub fn record_breach(&mut self, promise: &'static str, seen: String) {
        self.breaches.push(Breach { promise, seen });
    }

    /// Returns the requests of callers with their ends, without the probes after the run.
    pub fn requests(&self) -> impl Iterator<Item = (&Sent, Option<&End>)> {
        self.sent
            .iter()
            .filter(|(_, sent)| sent.sent_at < Duration::MAX)
            .map(|(id, sent)| (sent, self.ended.get(id)))
    }

    /// Returns the share of the requests sent from `from` until before `to` that got a whole answer with status 200;
    /// `None` when none was sent.
    #[must_use]
    pub fn served_share(&self, from: Duration, to: Duration) -> Option<f64> {
        let within = |sent: &Sent| from <= sent.sent_at && sent.sent_at < to;
        let ends = self.requests().filter(|(sent, _)| within(sent));
        let (mut total, mut served) = (0.0, 0.0);
        for (_, end) in ends {
            total += 1.0;
            served += f64::from(end.is_some_and(|end| {
                matches!(
                    end,
                    End::Answer {
                        status: 200,
                        complete: true,
                        ..
                    }
                )
            }));
        }
        (total > 0.0).then(|| served / total)
    }

    /// Returns all breaches: the recorded ones and those that follow from the recorded requests.
    #[must_use]
    pub fn breaches(&self) -> Vec<Breach> {
        let mut breaches = self.breaches.clone();
        let mut report = |promise, seen| breaches.push(Breach { promise, seen });
        for (id, runs) in &self.ran {
            let Some(sent) = self.sent.get(id) else {
                report("only what a caller sent is run", id.clone());
                continue;
            };
            for ran in runs {
                if ran.line != sent.line || ran.body != sent.body || ran.team != sent.team {
                    report("requests reach servers unchanged", format!("{id}: {ran:?}"));
                }
                if ran.key {
                    report("keys are not passed on", id.clone());
                }
            }
            if sent.kind == Kind::Order && runs.len() > 1 {
                report("orders run once", format!("{id} ran {} times", runs.len()));
            }
        }
        for ((server, _), calls) in &self.limited {
            if let Some(seen) = self.limit_excess(calls) {
                report(
                    "limits hold for all hosts together",
                    format!("{server}: {seen}"),
                );
            }
        }
        for (service, kinds) in [
            ("lm", [Kind::Stream].as_slice()),
            ("plain", &[Kind::Read, Kind::Order]),
        ] {
            if let Some(seen) = self.retry_excess(kinds) {
                report(
                    "the retry budget holds for all hosts together",
                    format!("{service}: {seen}"),
                );
            }
        }
        for (id, end) in &self.ended {
            let kind = self.sent.get(id).map(|sent| sent.kind);
            let ran = self.ran.contains_key(id);
            match end {
                End::Answer {
                    status: 408 | 421 | 429 | 503,
                    sealed: false,
                    ..
                } if ran && kind == Some(Kind::Order) => {
                    report("a refusal has not run", id.clone());
                }
                End::Answer {
                    status: 200..300,
                    sealed,
                    body,
                    complete,
                } => {
                    if !sealed {
                        report("a success is a server's", id.clone());
                    }
                    let fault = match kind {
                        Some(Kind::Stream) => stream_fault(id, body, *complete),
                        _ if *complete && *body != answer_body(id) => {
                            Some("another body".to_owned())
                        }
                        _ => None,
                    };
                    if let Some(fault) = fault {
                        report(
                            "answers are whole and the caller's own",
                            format!("{id}: {fault}"),
                        );
                    }
                }
                End::Closed | End::Silent if self.was_undisturbed(id) => {
                    let seen = format!("{id}: {end:?}, {kind:?}, ran: {ran}");
                    report("a sound gateway answers", seen);
                }
                _ => {}
            }
        }
        breaches
    }

    /// Returns what exceeds the retry budget of a service, if anything.
    fn retry_excess(&self, kinds: &[Kind]) -> Option<String> {
        let mut requests: Vec<Duration> = Vec::new();
        let mut repeats: Vec<Duration> = Vec::new();
        for (id, sent) in &self.sent {
            if !kinds.contains(&sent.kind) || sent.sent_at == Duration::MAX {
                continue;
            }
            requests.push(sent.sent_at);
            let mut arrivals = self.arrivals.get(id).cloned().unwrap_or_default();
            arrivals.sort_unstable();
            repeats.extend(arrivals.iter().skip(1));
        }
        let within = |times: &[Duration], end: Duration| {
            let in_window = |at: &&Duration| **at <= end && **at + RETRY_WINDOW > end;
            let count = times.iter().filter(in_window).count();
            f64::from(u32::try_from(count).unwrap_or(u32::MAX))
        };
        repeats.iter().find_map(|end| {
            // The requests of this window, of the one before it, or of the one in between.
            let most = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW]
                .map(|by| {
                    end.checked_sub(by)
                        .map_or(0.0, |end| within(&requests, end))
                })
                .into_iter()
                .fold(0.0, f64::max);
            let allowed = RETRY_RATIO * most + RETRY_SLACK;
            let seen = within(&repeats, *end);
            (seen > allowed).then(|| format!("{seen} repeats in 10 s, {allowed:.0} allowed"))
        })
    }

    /// Returns what exceeds a limit, if anything, by the calls of undisturbed gateways that have got an answer with it.
    fn limit_excess(&self, calls: &[LimitedCall]) -> Option<String> {
        let mut told: HashMap<SocketAddr, Duration> = HashMap::new();
        let mut counted: Vec<Duration> = Vec::new();
        for call in calls {
            let since = call.received_at.saturating_sub(call.after);
            let Some(sent) = self.sent.get(&call.id) else {
                // Calls without an id may come from any gateway.
                let mut gateways = self.sent.values().map(|sent| sent.gateway);
                if gateways.all(|gateway| self.is_undisturbed(gateway, since, call.received_at)) {
                    counted.push(call.after);
                }
                continue;
            };
            if !self.is_undisturbed(sent.gateway, since, call.received_at) {
                continue;
            }
            let is_answered = matches!(
                self.ended.get(&call.id),
                Some(End::Answer { sealed: true, .. })
            );
            match told.get(&sent.gateway) {
                Some(told) if *told + LIMIT_TOLD <= call.after => counted.push(call.after),
                None if is_answered => {
                    told.insert(sent.gateway, call.after);
                }
                _ => {}
            }
        }
        let per_second = calls.first()?.per_second;
        let allowed = LIMIT_FACTOR * per_second * LIMIT_WINDOW.as_secs_f64() + LIMIT_EXCESS;
        let ends = counted.iter().filter(|end| **end >= LIMIT_NOTICE);
        let most = ends
            .map(|end| {
                let in_window = |at: &&Duration| **at <= *end && **at + LIMIT_WINDOW > *end;
                counted.iter().filter(in_window).count()
            })
            .max()?;
        let exceeds = f64::from(u32::try_from(most).unwrap_or(u32::MAX)) > allowed;
        exceeds.then(|| format!("{most} calls in 4 s at {per_second} a second"))
    }

    /// Returns whether a gateway was neither stopped, paused nor killed between two times.
    fn is_undisturbed(&self, gateway: SocketAddr, from: Duration, to: Duration) -> bool {
        let mut disturbances = self.disturbances.iter();
        !disturbances.any(|(other, since, until)| *other == gateway && *since < to && from < *until)
    }

    /// Returns whether the gateway of a request was neither stopped, paused nor killed while the request could be in
    /// flight.
    fn was_undisturbed(&self, id: &str) -> bool {
        self.sent.get(id).is_some_and(|sent| {
            let from = sent.sent_at.saturating_sub(MAX_REQUEST_TIME);
            let to = sent.sent_at.saturating_add(MAX_REQUEST_TIME);
            self.is_undisturbed(sent.gateway, from, to)
        })
    }
}

/// Returns the lines of an event without comments, which a server in trouble may send before it.
fn without_comments(event: &str) -> impl Iterator<Item = &str> {
    event.split('\n').filter(|line| !line.starts_with(':'))
}

/// Returns what is wrong with the events of a stream, if anything.
fn stream_fault(id: &str, body: &str, complete: bool) -> Option<String> {
    let mut rest = body;
    let mut number = 0;
    while let Some(end) = rest.find("\n\n") {
        number += 1;
        let (event, after) = rest.split_at(end + 2);
        if !without_comments(event).eq(stream_event(id, number).split('\n')) {
            return Some(format!(
                "event {number} is missing, doubled or another's: {event:?}"
            ));
        }
        rest = after;
    }
    (complete && (number != EVENTS_PER_STREAM || !rest.is_empty()))
        .then(|| "the stream ends early as complete".to_owned())
}
