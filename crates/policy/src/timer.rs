//! Timers of the router.

use std::{cmp::Reverse, collections::BinaryHeap};

use jaystand_types::{Moment, RequestId};

use crate::AttemptNumber;

jaystand_types::common! { value
    /// What a timer triggers. Timers of ended requests are ignored.
    pub(crate) enum Due {
        /// The request's deadline has passed.
        Deadline(RequestId),
        /// The next attempt of a request is due.
        Retry(RequestId),
        /// The first token of an attempt is later than nearly all first tokens.
        FirstTokenLate(RequestId, AttemptNumber),
    }
}

/// The heap is cleaned when it has this many times as many timers as there are active requests, so timers of ended
/// requests may make up three quarters of it.
const CLEAN_FACTOR: usize = 4;
/// Smaller heaps are not cleaned.
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

    /// Removes and returns the next timer if it is due.
    pub(crate) fn pop(&mut self, now: Moment) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, due))| due)
    }

    /// Drops the timers of ended requests if the heap is much larger than the number of live requests.
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
