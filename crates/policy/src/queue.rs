//! Requests that wait for one server's window, ordered by urgency with ageing, team and arrival.

use jaystand_types::{Moment, RequestId, Urgency};

use crate::Settings;

/// Number of urgency classes.
pub(crate) const CLASSES: usize = 3;

/// The class of an urgency, 0 the most urgent.
pub(crate) fn class(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Background => 2,
    }
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub(crate) request: RequestId,
    pub(crate) class: usize,
    pub(crate) long: bool,
    pub(crate) team: usize,
    pub(crate) since: Moment,
    /// Order of arrival.
    pub(crate) sequence: u64,
}

impl Entry {
    /// The class after ageing, so that background work completes under lasting load.
    pub(crate) fn aged_class(&self, now: Moment, settings: &Settings) -> usize {
        let waited = now.saturating_sub(self.since).as_millis();
        let steps = waited / settings.ageing.as_millis().max(1);
        self.class
            .saturating_sub(usize::try_from(steps).unwrap_or(CLASSES))
    }
}

/// The queue of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    entries: Vec<Entry>,
    counts: [u32; CLASSES],
}

impl Queue {
    pub(crate) fn push(&mut self, entry: Entry) {
        self.counts[entry.class] += 1;
        self.entries.push(entry);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Entry> {
        let index = self.entries.iter().position(|e| e.request == request)?;
        Some(self.take(index))
    }

    /// Removes the first request in the given order among those that pass.
    pub(crate) fn pop<K: PartialOrd>(
        &mut self,
        order: impl Fn(&Entry) -> K,
        passes: impl Fn(&Entry) -> bool,
    ) -> Option<Entry> {
        let mut best: Option<(usize, K)> = None;
        for (index, entry) in self.entries.iter().enumerate() {
            if !passes(entry) {
                continue;
            }
            let key = order(entry);
            if best.as_ref().is_none_or(|(_, least)| key < *least) {
                best = Some((index, key));
            }
        }
        best.map(|(index, _)| self.take(index))
    }

    /// Waiting requests of this class and more urgent ones.
    pub(crate) fn ahead_of(&self, class: usize) -> u32 {
        self.counts[..=class].iter().sum()
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn drain(&mut self) -> Vec<Entry> {
        self.counts = [0; CLASSES];
        std::mem::take(&mut self.entries)
    }

    fn take(&mut self, index: usize) -> Entry {
        let entry = self.entries.swap_remove(index);
        self.counts[entry.class] -= 1;
        entry
    }
}
