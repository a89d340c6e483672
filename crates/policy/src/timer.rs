//! Moments at which the router must act on its own.

use std::{cmp::Reverse, collections::BinaryHeap};

use jaystand_types::{Moment, RequestId};

use crate::AttemptNumber;

jaystand_types::common! { value
    /// What is due. A timer of a request that has ended is ignored.
    pub(crate) enum Due {
        /// The request's deadline.
        Deadline(RequestId),
        /// The next attempt of a request.
        Retry(RequestId),
        /// The first token of an attempt is later than nearly all others.
        FirstTokenLate(RequestId, AttemptNumber),
    }
}

/// Timers of ended requests may make up three quarters of the heap before it is cleaned.
const CLEAN_FACTOR: usize = 4;
const MIN_CLEAN_TIMERS: usize = 1_024;

/// The timers, earliest first.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Moment, Due)>>,
}

impl Timers {
    pub(crate) fn push(&mut self, at: Moment, due: Due) {
        self.heap.push(Reverse((at, due)));
    }

    pub(crate) fn next(&self) -> Option<Moment> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// The next timer that is due.
    pub(crate) fn pop(&mut self, now: Moment) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, due))| due)
    }

    /// Drops timers of ended requests once they outnumber the others by far.
    pub(crate) fn clean(&mut self, live: usize, is_live: impl Fn(RequestId) -> bool) {
        if self.heap.len() < MIN_CLEAN_TIMERS.max(CLEAN_FACTOR * live) {
            return;
        }
        self.heap.retain(|Reverse((_, due))| match *due {
            Due::Deadline(request) | Due::Retry(request) | Due::FirstTokenLate(request, _) => {
                is_live(request)
            }
        });
    }
}
