//! What the process learns of servers: from their entries, their answers and other hosts.

use hashbrown::HashSet;
use http::{HeaderMap, StatusCode};
use jaystand_adapter::{entry, response};
use jaystand_dispatch::{
    ServerKey,
    directory::{Change, Directory, Server},
    limit::{Call, Origin, Rate},
    notice::LimitChange,
};
use jaystand_types::{ServerName, Version};
use serde_json::value::RawValue;

use crate::hub::{Hub, whole_ms};

impl Hub {
    /// Adds or updates a server by its entry in the store.
    pub(crate) fn adopt_server(&self, name: &ServerName, text: &RawValue) {
        let decoded = entry::server(name, text.get().as_bytes());
        let entry = match decoded {
            Ok(entry) => entry,
            Err(error) => {
                log::warn!(server = name.as_str(); "the server's entry cannot be used: {error}");
                self.remove_server(name);
                return;
            }
        };
        let mut state = self.state.borrow_mut();
        state.entries.upsert_server(name, text);
        let leaving = entry.leaving;
        let address = entry.address;
        let former_limit = state.directory.limit_of(name).map(Rate::per_second);
        let change = state.directory.upsert(entry);
        self.count_servers(&state.directory);
        if change != Change::Nothing {
            let change = change_name(change);
            log::info!(server = name.as_str(), change, leaving, address:% = address,
                former_limit_per_s:? = former_limit; "server changed");
            self.weights_changed.notify_one();
        }
    }

    pub(crate) fn count_servers(&self, directory: &Directory) {
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.metrics.servers.set(count(directory.len()));
        self.metrics.unused_entries.set(count(directory.unused()));
    }

    /// Records that a server's entry is gone from the store.
    pub(crate) fn remove_server(&self, name: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let change = state.directory.remove(now, name);
        self.count_servers(&state.directory);
        if change == Change::Removed {
            state.entries.remove_server(name);
            self.metrics.forget_server(name);
        }
        if change != Change::Nothing {
            log::info!(server = name, change = change_name(change); "server's entry is gone");
        }
    }

    /// Applies a complete list of servers: servers that it lacks are removed.
    pub(crate) fn replace_servers<'a>(
        &self,
        entries: impl IntoIterator<Item = (&'a ServerName, &'a RawValue)>,
    ) {
        let mut listed = HashSet::new();
        for (name, text) in entries {
            listed.insert(name.clone());
            self.adopt_server(name, text);
        }
        self.retain_servers(&listed);
    }

    /// Removes the servers that a complete list lacks.
    pub(crate) fn retain_servers(&self, listed: &HashSet<ServerName>) {
        let absent = self.state.borrow().directory.absent(listed);
        for name in absent {
            self.remove_server(&name);
        }
    }

    /// Records that a server serves newer weights.
    pub(crate) fn learn_version(
        &self,
        server: ServerKey,
        model: &str,
        version: Version,
        source: &str,
    ) {
        let mut state = self.state.borrow_mut();
        if state.directory.learn_version(server, model, version) {
            log::info!(server = state.directory.name(server), model, version, source; "server serves newer weights");
        }
    }

    /// Records that a server has refused a request since it does not serve the expected version of a model, and which one it
    /// stated.
    pub(crate) fn refute_version(
        &self,
        server: ServerKey,
        model: &str,
        expected: Version,
        stated: Option<Version>,
    ) {
        let mut state = self.state.borrow_mut();
        let believed = state
            .directory
            .refute_version(server, model, expected, stated);
        if let Some(version) = believed {
            log::info!(server = state.directory.name(server), model, expected, stated, version;
                "the server does not serve the expected weights");
            self.weights_changed.notify_one();
        }
    }

    /// Marks a server as gone because another server answered at its address.
    pub(crate) fn mark_replaced(&self, server: ServerKey, answered_by: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.directory.mark_replaced(now, server, answered_by) {
            log::info!(server = state.directory.name(server), answered_by;
                "another server listens at its address; the server is gone");
        }
    }

    /// Applies what the head of an answer says of its server: that it leaves, asks for a pause, or limits requests.
    pub(crate) fn observe_response_head(
        &self,
        key: ServerKey,
        name: &str,
        status: StatusCode,
        headers: &HeaderMap,
        origin: Origin,
    ) {
        if response::is_from_other_server(headers, name) {
            return;
        }
        let mut notice = response::notice(status, headers);
        notice.limit = notice.limit.proven_by(origin);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let learned = state.directory.observe_notice(now, key, notice);
        if learned.invalid {
            log::warn!(server = name, asked:? = notice.pause;
                "the server asks for a pause that cannot be read or is too long; stated once");
        }
        if let Some(pause) = learned.paused {
            log::info!(server = name, pause_ms = whole_ms(pause);
                "the server wants no requests for a while");
        }
        log_limit_change(&state.directory, key, learned.limit, "answer");
        match learned.limit {
            Some(LimitChange::Named(_) | LimitChange::Ended) => self.report_now.notify_one(),
            Some(LimitChange::Invalid) => {
                log::warn!(server = name, named:? = response::limit_value(headers);
                    "the server names a limit that is no positive number; ignored and stated once");
            }
            None => {}
        }
        if learned.leaves {
            log::info!(server = name, source = "answer"; "the server leaves");
            state.departures.push_back((now, key));
            self.report_now.notify_one();
            self.weights_changed.notify_one();
        }
    }

    /// Returns whether a server accepts a call now, by its pauses and its limit.
    pub(crate) fn accepts_call(&self, key: ServerKey, call: Call) -> bool {
        let state = self.state.borrow();
        let server = state.directory.get(key);
        server.is_none_or(|server| server.accepts(self.now(), call))
    }

    /// Uses a permit for a call to a server and returns true, if its pause and its limit allow the call.
    pub(crate) fn take_call(&self, key: ServerKey, call: Call) -> bool {
        let mut state = self.state.borrow_mut();
        if !state.directory.take_call(self.now(), key, call) {
            return false;
        }
        let limited = state.directory.get(key).filter(|s| s.limit().is_some());
        if let Some(server) = limited {
            let labels = [server.entry.name.as_str(), call.as_str()];
            self.metrics.limited_calls.with_label_values(&labels).inc();
        }
        true
    }
}

/// Logs that a server names another limit, or none any more.
pub(crate) fn log_limit_change(
    directory: &Directory,
    key: ServerKey,
    change: Option<LimitChange>,
    source: &str,
) {
    let server = directory.name(key);
    match change {
        Some(LimitChange::Named(rate)) => {
            let share = directory.get(key).is_some_and(Server::has_limit_share);
            log::info!(server, per_s = rate.per_second(), share, source; "the server limits requests");
        }
        Some(LimitChange::Ended) => {
            log::info!(server, source; "the server limits requests no more");
        }
        Some(LimitChange::Invalid) | None => {}
    }
}

fn change_name(change: Change) -> &'static str {
    match change {
        Change::Nothing => "nothing",
        Change::Added => "added",
        Change::Unused => "added without use: the configuration does not name its service",
        Change::Leaving => "leaving",
        Change::Weights => "weights",
        Change::Removed => "removed",
        Change::Missing => "missing",
        Change::Doubted => "returned with an older copy of the store",
    }
}
