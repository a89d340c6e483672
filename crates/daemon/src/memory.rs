//! Remembers the outcomes of recent requests, so that a caller who lost an answer can ask for it.

use std::{collections::HashMap, collections::VecDeque};

use jaystand_types::{Outcome, RequestId, TeamId};
use parking_lot::Mutex;
use serde::Serialize;

/// Requests remembered. At the target peak of about 17 requests a second a daemon, this is an hour.
const CAPACITY: usize = 65_536;

/// What is remembered of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Record {
    #[serde(skip)]
    pub(crate) team: TeamId,
    pub(crate) state: State,
    pub(crate) outcome: Option<Outcome>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    InFlight,
    Ended,
}

/// A bounded memory; the oldest request is forgotten first.
#[derive(Debug, Default)]
pub(crate) struct Memory(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    records: HashMap<RequestId, Record>,
    order: VecDeque<RequestId>,
}

impl Memory {
    pub(crate) fn begin(&self, request: RequestId, team: &TeamId) {
        let record = Record {
            team: team.clone(),
            state: State::InFlight,
            outcome: None,
        };
        let mut inner = self.0.lock();
        if inner.order.len() >= CAPACITY
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.records.remove(&oldest);
        }
        inner.order.push_back(request);
        inner.records.insert(request, record);
    }

    pub(crate) fn end(&self, request: RequestId, outcome: Outcome) {
        if let Some(record) = self.0.lock().records.get_mut(&request) {
            record.state = State::Ended;
            record.outcome = Some(outcome);
        }
    }

    /// What is remembered of a request of any team, for operators.
    pub(crate) fn find(&self, request: RequestId) -> Option<Record> {
        self.0.lock().records.get(&request).cloned()
    }

    /// What is remembered of a team's request; those of other teams are not shown.
    pub(crate) fn get(&self, request: RequestId, team: &TeamId) -> Option<Record> {
        let inner = self.0.lock();
        let record = inner.records.get(&request)?;
        (record.team == *team).then(|| record.clone())
    }
}
