//! The store's objects that this host knows, each with the number of the change that brought it.
//!
//! The numbers are valid for one run of the process. Followers ask for the changes after the last number that they
//! have.

use std::rc::Rc;

use jaystand_dispatch::replica::{Digest, Log};
use jaystand_types::ServerName;
use serde_json::value::RawValue;
use tokio::sync::watch;

/// Server entries and numbered changes.
#[derive(Default)]
pub(crate) struct Entries {
    log: Log<Rc<RawValue>>,
    /// Number of the newest change. Held queries of followers wait for the next one.
    change: watch::Sender<u64>,
    /// Number of the last change of the configuration.
    config: u64,
    /// Number of the last change of named weights.
    weights: u64,
}

impl Entries {
    /// Adds or replaces a server's entry.
    pub(crate) fn upsert_server(&mut self, name: &ServerName, text: &RawValue) {
        let known = self.log.get(name);
        if known.is_none_or(|known| known.get() != text.get()) {
            self.log.write(name, Rc::from(text.to_owned()));
            self.publish();
        }
    }

    /// Removes a server's entry.
    pub(crate) fn remove_server(&mut self, name: &str) {
        if self.log.remove(name) {
            self.publish();
        }
    }

    /// Records that another configuration is in force.
    pub(crate) fn record_config_change(&mut self) {
        self.config = self.log.advance();
        self.publish();
    }

    /// Records that newer weights are named.
    pub(crate) fn record_weights_change(&mut self) {
        self.weights = self.log.advance();
        self.publish();
    }

    /// Returns the server entries with the numbers of their changes.
    pub(crate) fn log(&self) -> &Log<Rc<RawValue>> {
        &self.log
    }

    /// Returns the digest of the names of the servers, without those of which the entry is missing but may return.
    pub(crate) fn digest_without<'a>(
        &self,
        missing: impl Iterator<Item = &'a ServerName>,
    ) -> Digest {
        let mut digest = self.log.digest();
        for name in missing.filter(|name| self.log.get(name).is_some()) {
            digest.subtract(name);
        }
        digest
    }

    /// Returns a receiver that is notified of each change, and of each call of `wake_waiters`.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.change.subscribe()
    }

    /// Notifies all receivers without a change, so that they check other conditions.
    pub(crate) fn wake_waiters(&self) {
        self.change.send_modify(|_| {});
    }

    /// Notifies all receivers of the newest change.
    fn publish(&self) {
        self.change.send_replace(self.log.newest());
    }

    /// Returns whether the configuration changed after a number.
    pub(crate) fn config_changed_after(&self, after: u64) -> bool {
        self.config > after
    }

    /// Returns whether weights were named after a number.
    pub(crate) fn weights_changed_after(&self, after: u64) -> bool {
        self.weights > after
    }
}
