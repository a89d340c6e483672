//! Rendezvous hashing over hosts: every daemon with the same view elects the same host, and a change of one
//! host moves only that host's share.

use crate::member::{Entry, Members, State};

/// Watchers of the platform in each data centre.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

impl Members {
    /// The two daemons of a data centre that hold the watch on the platform.
    #[must_use]
    pub fn watchers(&self, data_centre: &str) -> Vec<&str> {
        let key = format!("watch/{data_centre}");
        let inside = self.electable(|entry| entry.data_centre == data_centre);
        let mut ranked = rank(&key, inside);
        ranked.truncate(WATCHERS_PER_DATA_CENTRE);
        ranked
    }

    /// Whether the own daemon is one of the watchers of its data centre.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.watchers(&self.own_entry().data_centre)
            .contains(&self.own_entry().name.as_str())
    }

    /// The daemon of the region that asks a backend server for its load.
    #[must_use]
    pub fn reporter(&self, server: &str) -> Option<&str> {
        let key = format!("report/{server}");
        elect(
            &key,
            self.electable(|entry| entry.region == self.own_entry().region),
        )
    }

    /// The daemons of the region that try to hold a lease, the preferred one first.
    #[must_use]
    pub fn lease_candidates(&self, lease: &str) -> Vec<&str> {
        let key = format!("lease/{lease}");
        let region = self.electable(|entry| entry.region == self.own_entry().region);
        rank(&key, region)
    }

    /// Names that satisfy `wanted` and run; leaving ones only when there is no other.
    fn electable(&self, wanted: impl Fn(&Entry) -> bool) -> Vec<&str> {
        let runs = |entry: &&Entry| matches!(entry.state, State::Live | State::Leaving);
        let stays =
            |entry: &&Entry| entry.state == State::Live && !self.marks().is_leaving(&entry.name);
        let running: Vec<&Entry> = self.all().filter(|e| wanted(e)).filter(runs).collect();
        let staying: Vec<&Entry> = running.iter().copied().filter(stays).collect();
        let chosen = if staying.is_empty() { running } else { staying };
        chosen.iter().map(|entry| entry.name.as_str()).collect()
    }
}

/// The candidates ordered by their score for `key`, the elected one first.
#[must_use]
pub fn rank<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> = candidates
        .into_iter()
        .map(|name| (score(key, name), name))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// The elected candidate.
#[must_use]
pub fn elect<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates
        .into_iter()
        .max_by_key(|name| (score(key, name), *name))
}

fn score(key: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    // Separates key and name, so that `a` + `bc` and `ab` + `c` differ.
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    crate::digest::short_hash(hasher.finalize().as_bytes())
}
