//! The promises, checked from what callers and back ends see.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hashbrown::HashMap;
use jaystand_adapter_standin::{
    answer::{EVENTS_PER_STREAM, answer_body, stream_event},
    call::Kind,
};

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Kind.
    pub kind: Kind,
    /// When, from the start of the run.
    pub at: Duration,
    /// Method, path and query.
    pub line: String,
    /// Body.
    pub body: String,
    /// Team of its key.
    pub team: &'static str,
    /// Gateway that it was sent to.
    pub gateway: SocketAddr,
}

/// A request as a server ran it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ran {
    /// Method, path and query.
    pub line: String,
    /// Body.
    pub body: String,
    /// Team that it was said to be of.
    pub team: String,
    /// Whether the caller's key was passed on.
    pub key: bool,
    /// Event after which a resumed stream goes on; 0 for others.
    pub after: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// An answer.
    Answer {
        /// Status.
        status: u16,
        /// Whether a server signed it.
        sealed: bool,
        /// Body, or the events of a stream.
        body: String,
        /// Whether the body has the announced end.
        complete: bool,
    },
    /// The connection ended without an answer.
    Closed,
    /// No answer within the deadline and some time.
    Silent,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which one.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Collects what was seen.
#[derive(Debug, Default)]
pub struct Judge {
    sent: HashMap<String, Sent>,
    ran: HashMap<String, Vec<Ran>>,
    ended: HashMap<String, End>,
    fences: BTreeMap<u64, String>,
    hurts: Vec<(SocketAddr, Duration, Duration)>,
    breaches: Vec<Breach>,
}

/// A request is answered or given up within this time.
const UNDER_WAY: Duration = Duration::from_secs(6);

impl Judge {
    /// A caller is about to send a request.
    pub fn sent(&mut self, id: &str, sent: Sent) {
        self.sent.insert(id.to_owned(), sent);
    }

    /// A server runs a request.
    pub fn ran(&mut self, id: &str, ran: Ran) {
        self.ran.entry(id.to_owned()).or_default().push(ran);
    }

    /// A request has ended for its caller.
    pub fn ended(&mut self, id: &str, end: End) {
        self.ended.insert(id.to_owned(), end);
    }

    /// A server accepted a weight order.
    pub fn ordered(&mut self, holder: &str, fence: u64) {
        let known = self
            .fences
            .entry(fence)
            .or_insert_with(|| holder.to_owned());
        if known != holder {
            let seen = format!("fence {fence} used by {known} and {holder}");
            self.breach("one holder for each fence", seen);
        }
    }

    /// A gateway was stopped, paused or killed.
    pub fn hurt(&mut self, gateway: SocketAddr, since: Duration, until: Duration) {
        self.hurts.push((gateway, since, until));
    }

    /// Notes a breach that was seen elsewhere.
    pub fn breach(&mut self, promise: &'static str, seen: String) {
        self.breaches.push(Breach { promise, seen });
    }

    /// Requests of callers with their ends; probes, which come after the run, are left out.
    pub fn requests(&self) -> impl Iterator<Item = (&Sent, Option<&End>)> {
        self.sent
            .iter()
            .filter(|(_, sent)| sent.at < Duration::MAX)
            .map(|(id, sent)| (sent, self.ended.get(id)))
    }

    /// Share of the requests sent between two times that got a whole answer.
    #[must_use]
    pub fn served(&self, from: Duration, to: Duration) -> Option<f64> {
        let within = |sent: &Sent| from <= sent.at && sent.at < to;
        let ends = self.requests().filter(|(sent, _)| within(sent));
        let (mut all, mut good) = (0.0, 0.0);
        for (_, end) in ends {
            all += 1.0;
            good += f64::from(end.is_some_and(|end| {
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
        (all > 0.0).then(|| good / all)
    }

    /// All breaches.
    #[must_use]
    pub fn verdict(&self) -> Vec<Breach> {
        let mut breaches = self.breaches.clone();
        let mut note = |promise, seen| breaches.push(Breach { promise, seen });
        for (id, runs) in &self.ran {
            let Some(sent) = self.sent.get(id) else {
                note("only what a caller sent is run", id.clone());
                continue;
            };
            for ran in runs {
                if ran.line != sent.line || ran.body != sent.body || ran.team != sent.team {
                    note("requests reach servers unchanged", format!("{id}: {ran:?}"));
                }
                if ran.key {
                    note("keys are not passed on", id.clone());
                }
            }
            if sent.kind == Kind::Order && runs.len() > 1 {
                note("orders run once", format!("{id} ran {} times", runs.len()));
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
                    note("a refusal has not run", id.clone());
                }
                End::Answer {
                    status: 200..300,
                    sealed,
                    body,
                    complete,
                } => {
                    if !sealed {
                        note("a success is a server's", id.clone());
                    }
                    let fault = match kind {
                        Some(Kind::Stream) => stream_fault(id, body, *complete),
                        _ if *complete && *body != answer_body(id) => Some("another body"),
                        _ => None,
                    };
                    if let Some(fault) = fault {
                        note(
                            "answers are whole and the caller's own",
                            format!("{id}: {fault}"),
                        );
                    }
                }
                End::Closed | End::Silent if self.was_sound(id) => {
                    let seen = format!("{id}: {end:?}, {kind:?}, ran: {ran}");
                    note("a sound gateway answers", seen);
                }
                _ => {}
            }
        }
        breaches
    }

    /// Whether nothing was done to the gateway of a request while it could be under way.
    fn was_sound(&self, id: &str) -> bool {
        self.sent.get(id).is_some_and(|sent| {
            let overlaps =
                |since, until| sent.at < until + UNDER_WAY && since < sent.at + UNDER_WAY;
            let mut hurts = self.hurts.iter();
            !hurts
                .any(|(gateway, since, until)| *gateway == sent.gateway && overlaps(*since, *until))
        })
    }
}

/// What is wrong with the events of a stream.
fn stream_fault(id: &str, body: &str, complete: bool) -> Option<&'static str> {
    let mut rest = body;
    let mut number = 0;
    while let Some(end) = rest.find("\n\n") {
        number += 1;
        let (event, after) = rest.split_at(end + 2);
        if event != stream_event(id, number) {
            return Some("an event is missing, doubled or another's");
        }
        rest = after;
    }
    (complete && (number != EVENTS_PER_STREAM || !rest.is_empty()))
        .then_some("the stream ends early as complete")
}
