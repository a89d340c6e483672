//! The store's objects that this host knows, each with the number of the change that brought it.
//!
//! The numbers are valid for one run of the process. Followers ask for the changes after the last number that they
//! have.

use std::{collections::VecDeque, rc::Rc};

use hashbrown::HashMap;
use jaystand_types::ServerName;
use serde_json::value::RawValue;
use tokio::sync::watch;

/// Number of removals that are kept. A follower that lacks older ones gets a complete copy.
const MAX_KEPT_REMOVALS: usize = 1_024;

/// Server entries and numbered changes.
#[derive(Default)]
pub(crate) struct Entries {
    /// Number of the newest change. Held queries of followers wait for the next one.
    change: watch::Sender<u64>,
    /// Number of the last change of the configuration.
    config: u64,
    /// Number of the last change of named weights.
    weights: u64,
    servers: HashMap<ServerName, (u64, Rc<RawValue>)>,
    removed: VecDeque<(u64, ServerName)>,
    /// Removals up to this change are no longer kept.
    removals_dropped_up_to: u64,
}

impl Entries {
    /// Adds or replaces a server's entry.
    pub(crate) fn upsert_server(&mut self, name: &ServerName, text: &RawValue) {
        let known = self.servers.get(name);
        if known.is_none_or(|(_, known)| known.get() != text.get()) {
            let entry = (self.advance(), Rc::from(text.to_owned()));
            self.servers.insert(name.clone(), entry);
        }
    }

    /// Removes a server's entry.
    pub(crate) fn remove_server(&mut self, name: &str) {
        if self.servers.remove(name).is_none() {
            return;
        }
        let change = self.advance();
        self.removed.push_back((change, name.into()));
        if self.removed.len() > MAX_KEPT_REMOVALS
            && let Some((change, _)) = self.removed.pop_front()
        {
            self.removals_dropped_up_to = change;
        }
    }

    /// Records that another configuration is in force.
    pub(crate) fn record_config_change(&mut self) {
        self.config = self.advance();
    }

    /// Records that newer weights are named.
    pub(crate) fn record_weights_change(&mut self) {
        self.weights = self.advance();
    }

    /// Returns the number of the newest change.
    pub(crate) fn newest_change(&self) -> u64 {
        *self.change.borrow()
    }

    /// Returns a receiver that is notified of each change, and of each call of `wake_waiters`.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.change.subscribe()
    }

    /// Notifies all receivers without a change, so that they check other conditions.
    pub(crate) fn wake_waiters(&self) {
        self.change.send_modify(|_| {});
    }

    fn advance(&self) -> u64 {
        self.change.send_modify(|change| *change += 1);
        self.newest_change()
    }

    /// Returns whether a follower that knows the changes up to a number needs a complete copy, because it knows none or
    /// removals after the number are no longer kept.
    pub(crate) fn needs_full_copy(&self, after: u64) -> bool {
        after == 0 || after < self.removals_dropped_up_to
    }

    /// Returns whether the configuration changed after a number.
    pub(crate) fn config_changed_after(&self, after: u64) -> bool {
        self.config > after
    }

    /// Returns whether weights were named after a number.
    pub(crate) fn weights_changed_after(&self, after: u64) -> bool {
        self.weights > after
    }

    /// Returns the server entries that changed after a number.
    pub(crate) fn servers_after(
        &self,
        after: u64,
    ) -> impl Iterator<Item = (ServerName, Rc<RawValue>)> {
        let changed = self
            .servers
            .iter()
            .filter(move |(_, (change, _))| *change > after);
        changed.map(|(name, (_, text))| (name.clone(), Rc::clone(text)))
    }

    /// Returns the servers that were removed after a number.
    pub(crate) fn removed_after(&self, after: u64) -> impl Iterator<Item = ServerName> {
        let removed = self
            .removed
            .iter()
            .filter(move |(change, _)| *change > after);
        removed.map(|(_, name)| name.clone())
    }
}
