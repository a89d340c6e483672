//! What the store holds, as far as this host knows, with the number of the change that brought it.
//!
//! Numbers are of one run of the process. Hosts that follow this one ask for what came after the last number that they
//! have.

use std::{collections::VecDeque, rc::Rc};

use hashbrown::HashMap;
use jaystand_types::ServerName;
use serde_json::value::RawValue;
use tokio::sync::watch;

/// Removals that are remembered. A follower that lacks more gets everything.
const REMEMBERED_REMOVALS: usize = 1_024;

/// The numbered changes.
#[derive(Default)]
pub(crate) struct Entries {
    /// Number of the newest change. Whoever passes changes on waits for it.
    change: watch::Sender<u64>,
    config: u64,
    weights: u64,
    servers: HashMap<ServerName, (u64, Rc<RawValue>)>,
    removed: VecDeque<(u64, ServerName)>,
    /// Removals up to this change are not remembered.
    forgotten: u64,
}

impl Entries {
    /// Takes a server's entry in.
    pub(crate) fn put_server(&mut self, name: &ServerName, text: &RawValue) {
        let known = self.servers.get(name);
        if known.is_none_or(|(_, known)| known.get() != text.get()) {
            let entry = (self.advance(), Rc::from(text.to_owned()));
            self.servers.insert(name.clone(), entry);
        }
    }

    /// Takes in that a server's entry is gone.
    pub(crate) fn remove_server(&mut self, name: &str) {
        if self.servers.remove(name).is_none() {
            return;
        }
        let change = self.advance();
        self.removed.push_back((change, name.into()));
        if self.removed.len() > REMEMBERED_REMOVALS
            && let Some((change, _)) = self.removed.pop_front()
        {
            self.forgotten = change;
        }
    }

    /// Another configuration is in force.
    pub(crate) fn record_config_change(&mut self) {
        self.config = self.advance();
    }

    /// Newer weights are named.
    pub(crate) fn record_weights_change(&mut self) {
        self.weights = self.advance();
    }

    /// Number of the newest change.
    pub(crate) fn change(&self) -> u64 {
        *self.change.borrow()
    }

    /// Tells of each change, and when something else should be looked at by whoever waits for one.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.change.subscribe()
    }

    /// Wakes whoever waits for a change without one.
    pub(crate) fn wake_waiters(&self) {
        self.change.send_modify(|_| {});
    }

    fn advance(&self) -> u64 {
        self.change.send_modify(|change| *change += 1);
        self.change()
    }

    /// Whether who knows the changes up to a number must be told everything: removals after it are forgotten.
    pub(crate) fn needs_full_copy(&self, after: u64) -> bool {
        after == 0 || after < self.forgotten
    }

    /// Whether the configuration changed after a number.
    pub(crate) fn config_changed_after(&self, after: u64) -> bool {
        self.config > after
    }

    /// Whether weights were named after a number.
    pub(crate) fn weights_changed_after(&self, after: u64) -> bool {
        self.weights > after
    }

    /// Servers whose entries changed after a number.
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

    /// Servers that were removed after a number.
    pub(crate) fn removed_after(&self, after: u64) -> impl Iterator<Item = ServerName> {
        let removed = self
            .removed
            .iter()
            .filter(move |(change, _)| *change > after);
        removed.map(|(_, name)| name.clone())
    }
}
