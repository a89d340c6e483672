//! Keeps the outcomes of recent requests, so that a caller that lost an answer can ask for its outcome.

use std::{collections::HashMap, collections::VecDeque};

use jaystand_types::{Outcome, RequestId, TeamId};
use parking_lot::Mutex;
use serde::Serialize;

/// Number of requests kept. At the target peak of about 17 requests per second and daemon, this is about an hour.
const MAX_RECORDS: usize = 65_536;

/// The state and outcome of a request.
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

/// A bounded store of request records. The oldest record is removed first.
#[derive(Debug, Default)]
pub(crate) struct Memory(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    records: HashMap<RequestId, Record>,
    /// Requests from the oldest to the newest.
    order: VecDeque<RequestId>,
}

impl Memory {
    /// Adds a record for a request in flight.
    pub(crate) fn record_start(&self, request: RequestId, team: &TeamId) {
        let record = Record {
            team: team.clone(),
            state: State::InFlight,
            outcome: None,
        };
        let mut inner = self.0.lock();
        if inner.order.len() >= MAX_RECORDS
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.records.remove(&oldest);
        }
        inner.order.push_back(request);
        inner.records.insert(request, record);
    }

    /// Records the outcome of a request.
    pub(crate) fn record_end(&self, request: RequestId, outcome: Outcome) {
        if let Some(record) = self.0.lock().records.get_mut(&request) {
            record.state = State::Ended;
            record.outcome = Some(outcome);
        }
    }

    /// Returns the record of a request of any team, for operators.
    pub(crate) fn find(&self, request: RequestId) -> Option<Record> {
        self.0.lock().records.get(&request).cloned()
    }

    /// Returns the record of a request, if it is the team's.
    pub(crate) fn find_for_team(&self, request: RequestId, team: &TeamId) -> Option<Record> {
        let inner = self.0.lock();
        let record = inner.records.get(&request)?;
        (record.team == *team).then(|| record.clone())
    }
}
