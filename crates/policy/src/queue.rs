//! The queue of one server: requests that wait for its window, ordered by aged urgency class, team and arrival.

use jaystand_types::{Moment, RequestId, Urgency};

use crate::Settings;

/// Number of urgency classes.
pub(crate) const CLASSES: usize = 3;

/// Returns the class of an urgency, 0 for the most urgent.
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
    pub(crate) is_long: bool,
    /// Position of the team in the list of teams.
    pub(crate) team: usize,
    pub(crate) submitted_at: Moment,
    /// Prompt tokens that it is expected to compute.
    pub(crate) missed_tokens: f64,
    /// Order of arrival.
    pub(crate) sequence: u64,
}

impl Entry {
    /// Returns the class after ageing, which lets background requests complete under lasting load.
    pub(crate) fn aged_class(&self, now: Moment, settings: &Settings) -> usize {
        let waited = now.saturating_sub(self.submitted_at).as_millis();
        let steps = waited / settings.ageing_interval.as_millis().max(1);
        self.class
            .saturating_sub(usize::try_from(steps).unwrap_or(CLASSES))
    }
}

/// The queue of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    entries: Vec<Entry>,
    /// Waiting requests by class.
    counts: [u32; CLASSES],
    /// Their prompt tokens to compute, by class.
    missed_tokens: [f64; CLASSES],
}

impl Queue {
    pub(crate) fn push(&mut self, entry: Entry) {
        self.counts[entry.class] += 1;
        self.missed_tokens[entry.class] += entry.missed_tokens;
        self.entries.push(entry);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Entry> {
        let index = self.entries.iter().position(|e| e.request == request)?;
        Some(self.remove_at(index))
    }

    /// Removes and returns the request with the lowest key among those that pass.
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
        best.map(|(index, _)| self.remove_at(index))
    }

    /// Returns the number of waiting requests of this class and more urgent ones.
    pub(crate) fn count_ahead(&self, class: usize) -> u32 {
        self.counts[..=class].iter().sum()
    }

    /// Returns the prompt tokens that the waiting requests of this class and more urgent ones are expected to compute.
    pub(crate) fn missed_tokens_ahead(&self, class: usize) -> f64 {
        self.missed_tokens[..=class].iter().sum()
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
        self.missed_tokens = [0.0; CLASSES];
        std::mem::take(&mut self.entries)
    }

    /// Removes and returns the requests of the most urgent class.
    pub(crate) fn drain_urgent(&mut self) -> Vec<Entry> {
        let urgent = self
            .entries
            .extract_if(.., |entry| entry.class == 0)
            .collect();
        self.counts[0] = 0;
        self.missed_tokens[0] = 0.0;
        urgent
    }

    fn remove_at(&mut self, index: usize) -> Entry {
        let entry = self.entries.swap_remove(index);
        self.counts[entry.class] -= 1;
        self.missed_tokens[entry.class] -= entry.missed_tokens;
        if self.counts[entry.class] == 0 {
            // Keeps rounding errors from accumulating.
            self.missed_tokens[entry.class] = 0.0;
        }
        entry
    }
}
