//! Weights versions: which servers may begin a request, and which ones are updated next.
//!
//! What each source proves of the time at which a version was named:
//! - a watch that follows the last answer at once: it was named when the watch reported it;
//! - a list or a later watch, of a version that was not known: it was named since this host last knew all versions;
//! - the first list of a process: nothing, so an age is presumed by which the version is required soon;
//! - a list, of a version that is known: nothing more than is known;
//! - another host: what that host knows. Presumed ages stay presumed, however many hosts pass them on.

use std::time::Duration;

use hashbrown::HashMap;
use jaystand_types::{Model, Moment, Version};
use smallvec::SmallVec;

use crate::{
    ServerKey,
    directory::{Directory, Server},
    limit::Call,
};

/// Maximum share of the engines that are updated at the same time, in percent. The users' sheets state that loading
/// slows down when more than 3 of 18, 2 of 9, 12 of 60 or 17 of 89 load.
const MAX_UPDATES_PERCENT: usize = 19;
/// What happens to the runs of a server during an update. Waiting for their end kept a fifth of the engines of a large
/// deployment from new requests for ten seconds after each new version. Runs that go on lose the credit for the tokens
/// that they generate on the new weights, which costs less.
pub const RUNS_DURING_UPDATE: Runs = Runs::Continue;
/// A version that may have been named long before this host saw it is required this long after that at the earliest: a
/// process counts as in touch only three seconds after its start, and a request may wait in its server meanwhile. A host
/// that was out of touch for less than this knows the age of a version well enough.
const UNSEEN_VERSION_GRACE: Duration = Duration::from_secs(2);
/// Maximum number of versions in memory for a model. Older ones no longer matter.
const MAX_VERSIONS: usize = 16;

jaystand_types::common! { value
    /// Times after which older weights are worse or excluded. They count from the time at which a version is named.
    pub struct Settings {
        /// Answers on older weights lose credit after this time.
        pub preferred_after: Duration,
        /// No request may begin on older weights after this time.
        pub required_after: Duration,
    }
}

/// The named versions of each model, oldest first.
#[derive(Clone, Debug)]
pub struct Versions {
    settings: Settings,
    named: HashMap<Model, SmallVec<[Named; 4]>>,
}

/// A version with its age at the time of `recorded`. A version may have been named before the process started, which
/// an age can express and a moment cannot.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: Version,
    recorded: Moment,
    age: Age,
}

jaystand_types::common! { value
    /// How long ago a version was named, at most.
    pub enum Age {
        /// This host or another one has seen the version named.
        Known(Duration),
        /// The host found the version when it started, or was in touch with the store again. It assumes this age until
        /// another host states a known one.
        Presumed(Duration),
    }

    /// How a host learned of a named version, which decides what it knows of the version's age.
    pub enum Sighting {
        /// The store reported the change when it was made: the version was named now.
        Change,
        /// A list has the version. A version that is known already has no other age by that: it is still named. Another
        /// one was named since this host last knew all named versions, the stated time ago; `None` at its start, which
        /// proves nothing of the age.
        Listed(Option<Duration>),
        /// Another host states the age. A presumed age of another host proves no more than one of this host.
        Stated(Age),
    }
}

impl Age {
    /// Returns the age that another host states.
    #[must_use]
    pub fn new(duration: Duration, presumed: bool) -> Self {
        if presumed {
            Self::Presumed(duration)
        } else {
            Self::Known(duration)
        }
    }

    /// Returns whether the age is presumed.
    #[must_use]
    pub fn is_presumed(self) -> bool {
        matches!(self, Self::Presumed(_))
    }

    /// Returns the time since the version was named.
    #[must_use]
    pub fn duration(self) -> Duration {
        match self {
            Self::Known(age) | Self::Presumed(age) => age,
        }
    }

    /// Returns the age after some more time.
    fn after(self, time: Duration) -> Self {
        match self {
            Self::Known(age) => Self::Known(age + time),
            Self::Presumed(age) => Self::Presumed(age + time),
        }
    }

    /// Returns whether this age is better than the other one: a known age replaces a presumed one, and otherwise a
    /// longer age a shorter one.
    fn replaces(self, other: Self) -> bool {
        match (self, other) {
            (Self::Known(age), Self::Known(other))
            | (Self::Presumed(age), Self::Presumed(other)) => age > other,
            (Self::Known(_), Self::Presumed(_)) => true,
            (Self::Presumed(_), Self::Known(_)) => false,
        }
    }
}

impl Named {
    fn age(&self, now: Moment) -> Age {
        self.age.after(now.saturating_sub(self.recorded))
    }
}

impl Versions {
    /// Creates the state without any version.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            named: HashMap::new(),
        }
    }

    /// Records a version that this host learned of. Returns whether it is the newest one so far.
    pub fn record(
        &mut self,
        now: Moment,
        model: &Model,
        version: Version,
        sighting: Sighting,
    ) -> bool {
        let age = match sighting {
            Sighting::Change => Age::Known(Duration::ZERO),
            Sighting::Listed(_) if self.is_known(model, version) => return false,
            Sighting::Listed(Some(unseen)) if unseen < UNSEEN_VERSION_GRACE => Age::Known(unseen),
            Sighting::Listed(unseen) => {
                let longest = self.settings.required_after;
                let longest = longest.saturating_sub(UNSEEN_VERSION_GRACE);
                Age::Presumed(unseen.map_or(longest, |unseen| unseen.min(longest)))
            }
            Sighting::Stated(age) => age,
        };
        self.record_named(now, model, version, age)
    }

    fn is_known(&self, model: &str, version: Version) -> bool {
        let named = self.named.get(model);
        named.is_some_and(|named| named.iter().any(|known| known.version == version))
    }

    /// Records that a version was named. Returns whether it is the newest one so far.
    pub fn record_named(&mut self, now: Moment, model: &Model, version: Version, age: Age) -> bool {
        let named = self.named.entry(model.clone()).or_default();
        let new = Named {
            version,
            recorded: now,
            age,
        };
        match named.binary_search_by_key(&version, |known| known.version) {
            Ok(index) => {
                if age.replaces(named[index].age(now)) {
                    named[index] = new;
                }
                false
            }
            Err(index) => {
                named.insert(index, new);
                let is_newest = index + 1 == named.len();
                if named.len() > MAX_VERSIONS {
                    named.remove(0);
                }
                is_newest
            }
        }
    }

    /// Returns all versions in memory with their ages, the oldest first for each model.
    pub fn ages(&self, now: Moment) -> impl Iterator<Item = (&Model, Version, Age)> {
        self.named.iter().flat_map(move |(model, named)| {
            let with_age = move |named: &Named| (model, named.version, named.age(now));
            named.iter().map(with_age)
        })
    }

    /// Returns the newest version of a model.
    #[must_use]
    pub fn newest(&self, model: &str) -> Option<Version> {
        self.named.get(model)?.last().map(|named| named.version)
    }

    /// Returns all models with their newest versions.
    pub fn iter(&self) -> impl Iterator<Item = (&Model, Version)> {
        let newest = |(model, named): (_, &SmallVec<[Named; 4]>)| {
            named.last().map(|named| (model, named.version))
        };
        self.named.iter().filter_map(newest)
    }

    /// Returns the oldest version on which a request may begin.
    #[must_use]
    pub fn required(&self, now: Moment, model: &str) -> Version {
        self.newest_named_before(now, model, self.settings.required_after)
    }

    /// Returns the oldest version on which an answer gets its full credit.
    #[must_use]
    pub fn preferred(&self, now: Moment, model: &str) -> Version {
        self.newest_named_before(now, model, self.settings.preferred_after)
    }

    /// Returns the newest version that was named at least so long ago, or 0.
    fn newest_named_before(&self, now: Moment, model: &str, after: Duration) -> Version {
        let named = self.named.get(model).map_or(&[][..], |named| &named[..]);
        let newest = named
            .iter()
            .rev()
            .find(|named| named.age(now).duration() >= after);
        newest.map_or(0, |named| named.version)
    }

    /// Returns a model of which the server does not serve the newest version, and that version.
    #[must_use]
    pub fn outdated(&self, server: &Server) -> Option<(Model, Version)> {
        server.entry.weights.iter().find_map(|(model, version)| {
            let newest = self.newest(model)?;
            (newest > *version).then(|| (model.clone(), newest))
        })
    }
}

jaystand_types::common! { value
    /// What happens to the runs of a server during a weights update.
    pub enum Runs {
        /// They finish before the new weights are loaded. No other request begins until then.
        Finish,
        /// They go on with the new weights.
        Continue,
    }
}

jaystand_types::common! { data
    /// An update of one server.
    pub struct Update {
        /// The server.
        pub server: ServerKey,
        /// The model.
        pub model: Model,
        /// The version that the server should serve.
        pub version: Version,
    }
}

/// Returns whether any server that accepts requests does not serve the newest version of one of its models.
#[must_use]
pub fn pending(directory: &Directory, versions: &Versions) -> bool {
    let accepts_requests = |server: &&Server| server.takes_work();
    let mut servers = directory.iter().filter(accepts_requests);
    servers.any(|server| versions.outdated(server).is_some())
}

/// Returns the servers to update next, while the updates of `running` are under way.
///
/// Servers on the oldest weights come first, and among them the least loaded ones, since an update costs the runs of
/// its server. Servers in backoff come last.
#[must_use]
pub fn next_updates(
    now: Moment,
    directory: &Directory,
    versions: &Versions,
    running: &[ServerKey],
    load: impl Fn(&Server) -> u32,
) -> Vec<Update> {
    let engines = directory
        .iter()
        .filter(|server| !server.entry.weights.is_empty());
    let max_updates = ((engines.count() * MAX_UPDATES_PERCENT + 50) / 100).max(1);
    // Updates that a previous lease holder began count, too, as long as reports name them.
    let under_way = |server: &&Server| server.is_updating(now) || running.contains(&server.key);
    let available = max_updates.saturating_sub(directory.iter().filter(under_way).count());
    let mut due: Vec<(bool, Version, u32, Update)> = directory
        .iter()
        .filter(|server| server.takes_work() && !under_way(server))
        // An order and the report before it are requests, too.
        .filter(|server| server.accepts(now, Call::Report))
        .filter_map(|server| {
            let (model, version) = versions.outdated(server)?;
            let served = server.entry.version(&model).unwrap_or(0);
            let update = Update {
                server: server.key,
                model,
                version,
            };
            Some((
                server.health.is_backing_off(now),
                served,
                load(server),
                update,
            ))
        })
        .collect();
    due.sort_by_key(|(backing_off, served, load, update)| {
        (*backing_off, *served, *load, update.server)
    });
    due.into_iter()
        .take(available)
        .map(|(.., update)| update)
        .collect()
}
