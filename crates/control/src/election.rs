//! Elections by rendezvous hashing over hosts. Daemons with the same view elect the same host, and a change of one
//! host moves only what that host was elected for.

use crate::member::{Entry, Members, State};

/// Number of daemons in each data centre that watch the platform.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

impl Members {
    /// Returns the names of the daemons of a data centre that watch the platform.
    #[must_use]
    pub fn watchers(&self, data_centre: &str) -> Vec<&str> {
        let key = format!("watch/{data_centre}");
        let candidates = self.electable(|entry| entry.data_centre == data_centre);
        let mut ranked = rank(&key, candidates);
        ranked.truncate(WATCHERS_PER_DATA_CENTRE);
        ranked
    }

    /// Returns whether the own daemon is a watcher of its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.watchers(&self.own_entry().data_centre)
            .contains(&self.own_entry().name.as_str())
    }

    /// Returns the daemon of the own region that asks a backend server for its load.
    #[must_use]
    pub fn reporter(&self, server: &str) -> Option<&str> {
        let key = format!("report/{server}");
        elect(
            &key,
            self.electable(|entry| entry.region == self.own_entry().region),
        )
    }

    /// Returns the daemons of the own region that may try to hold a lease, the preferred one first.
    #[must_use]
    pub fn lease_candidates(&self, lease: &str) -> Vec<&str> {
        let key = format!("lease/{lease}");
        let candidates = self.electable(|entry| entry.region == self.own_entry().region);
        rank(&key, candidates)
    }

    /// Returns the names of running daemons that satisfy `is_eligible`. Leaving daemons are included only if there is
    /// no other.
    fn electable(&self, is_eligible: impl Fn(&Entry) -> bool) -> Vec<&str> {
        let is_running = |entry: &&Entry| matches!(entry.state, State::Live | State::Leaving);
        let is_staying =
            |entry: &&Entry| entry.state == State::Live && !self.marks().is_leaving(&entry.name);
        let running: Vec<&Entry> = self
            .all()
            .filter(|entry| is_eligible(entry))
            .filter(is_running)
            .collect();
        let staying: Vec<&Entry> = running.iter().copied().filter(is_staying).collect();
        let chosen = if staying.is_empty() { running } else { staying };
        chosen.iter().map(|entry| entry.name.as_str()).collect()
    }
}

/// Returns the candidates in descending order of their scores for `key`, the elected one first.
#[must_use]
pub fn rank<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|name| (score(key, name), name))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// Returns the candidate with the highest score for `key`.
#[must_use]
pub fn elect<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .into_iter()
        .max_by_key(|name| (score(key, name), *name))
}

fn score(key: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    // Separates key and name, so that `a` + `bc` and `ab` + `c` get different scores.
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    crate::digest::short_hash(hasher.finalize().as_bytes())
}
