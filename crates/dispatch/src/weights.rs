//! Weights versions: which servers may still begin a request, and which ones are updated next.

use std::time::Duration;

use hashbrown::HashMap;
use jaystand_types::{Model, Moment, Version};
use smallvec::SmallVec;

use crate::{
    ServerKey,
    directory::{Directory, Server},
};

/// Updates that may be under way for each hundred engines. The users' sheets state that loading slows down when
/// more than 3 of 18, 2 of 9, 12 of 60 or 17 of 89 load.
const UPDATES_IN_HUNDRED: usize = 19;
/// What an update does to the runs of its server. Waiting for them kept a fifth of the engines of a large
/// deployment from new requests for ten seconds after each new version; the runs that go on lose the credit of
/// what they make on the new weights, which is less.
pub const RUNS_DURING_UPDATE: Runs = Runs::Continue;
/// Versions remembered for a model; older ones matter no longer.
const REMEMBERED: usize = 16;

jaystand_types::common! { value
    /// Times from the moment at which a version is named.
    pub struct Settings {
        /// Answers on older weights lose credit from then on.
        pub preferred_after: Duration,
        /// No request may begin on older weights from then on.
        pub required_after: Duration,
    }
}

/// Versions that were named.
#[derive(Clone, Debug)]
pub struct Versions {
    settings: Settings,
    named: HashMap<Model, SmallVec<[Named; 4]>>,
}

/// A version with its age at some moment. Ages reach back beyond the start of the process, moments do not.
#[derive(Clone, Copy, Debug)]
struct Named {
    version: Version,
    at: Moment,
    age: Age,
}

jaystand_types::common! { value
    /// How long ago a version was named.
    pub enum Age {
        /// Seen when it was named, by this host or another.
        Known(Duration),
        /// Found at the start of a process: taken for this age until another host knows better.
        Presumed(Duration),
    }
}

impl Age {
    /// An age, as one host states it to another.
    #[must_use]
    pub fn new(length: Duration, presumed: bool) -> Self {
        if presumed {
            Self::Presumed(length)
        } else {
            Self::Known(length)
        }
    }

    /// Whether it is presumed.
    #[must_use]
    pub fn is_presumed(self) -> bool {
        matches!(self, Self::Presumed(_))
    }

    /// The time since the version was named.
    #[must_use]
    pub fn duration(self) -> Duration {
        match self {
            Self::Known(age) | Self::Presumed(age) => age,
        }
    }

    fn after(self, time: Duration) -> Self {
        match self {
            Self::Known(age) => Self::Known(age + time),
            Self::Presumed(age) => Self::Presumed(age + time),
        }
    }

    /// Whether this tells more than the other one.
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
        self.age.after(now.saturating_sub(self.at))
    }
}

impl Versions {
    /// No version yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            named: HashMap::new(),
        }
    }

    /// Takes in that a version was named. Returns whether it is the newest yet.
    pub fn record_named(&mut self, now: Moment, model: &Model, version: Version, age: Age) -> bool {
        let named = self.named.entry(model.clone()).or_default();
        let news = Named {
            version,
            at: now,
            age,
        };
        match named.binary_search_by_key(&version, |known| known.version) {
            Ok(index) => {
                if age.replaces(named[index].age(now)) {
                    named[index] = news;
                }
                false
            }
            Err(index) => {
                named.insert(index, news);
                let newest = index + 1 == named.len();
                if named.len() > REMEMBERED {
                    named.remove(0);
                }
                newest
            }
        }
    }

    /// All remembered versions with their ages, oldest first.
    pub fn ages(&self, now: Moment) -> impl Iterator<Item = (&Model, Version, Age)> {
        self.named.iter().flat_map(move |(model, named)| {
            let with_age = move |named: &Named| (model, named.version, named.age(now));
            named.iter().map(with_age)
        })
    }

    /// The newest version of a model.
    #[must_use]
    pub fn newest(&self, model: &str) -> Option<Version> {
        self.named.get(model)?.last().map(|named| named.version)
    }

    /// All models with their newest version.
    pub fn iter(&self) -> impl Iterator<Item = (&Model, Version)> {
        let newest = |(model, named): (_, &SmallVec<[Named; 4]>)| {
            named.last().map(|named| (model, named.version))
        };
        self.named.iter().filter_map(newest)
    }

    /// The oldest version on which a request may begin.
    #[must_use]
    pub fn required(&self, now: Moment, model: &str) -> Version {
        self.due(now, model, self.settings.required_after)
    }

    /// The oldest version on which an answer earns its full credit.
    #[must_use]
    pub fn preferred(&self, now: Moment, model: &str) -> Version {
        self.due(now, model, self.settings.preferred_after)
    }

    fn due(&self, now: Moment, model: &str, after: Duration) -> Version {
        let named = self.named.get(model).map_or(&[][..], |named| &named[..]);
        let old = named
            .iter()
            .rev()
            .find(|named| named.age(now).duration() >= after);
        old.map_or(0, |named| named.version)
    }

    /// The model of a server whose newest version it does not serve, with that version.
    #[must_use]
    pub fn outdated(&self, server: &Server) -> Option<(Model, Version)> {
        server.entry.weights.iter().find_map(|(model, version)| {
            let newest = self.newest(model)?;
            (newest > *version).then(|| (model.clone(), newest))
        })
    }
}

jaystand_types::common! { value
    /// What becomes of the runs of a server whose weights change.
    pub enum Runs {
        /// They end before the new weights are loaded; no other request begins meanwhile.
        Finish,
        /// They go on, on the new weights.
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
        /// The version that it is to serve.
        pub version: Version,
    }
}

/// Whether any server that stays serves an older version than the newest.
#[must_use]
pub fn pending(directory: &Directory, versions: &Versions) -> bool {
    let stays = |server: &&Server| server.takes_work();
    let mut servers = directory.iter().filter(stays);
    servers.any(|server| versions.outdated(server).is_some())
}

/// The servers to update next, when updates of `running` are under way. The least loaded ones come first,
/// since an update takes from the runs of its server.
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
    let most = ((engines.count() * UPDATES_IN_HUNDRED + 50) / 100).max(1);
    // Updates of a former holder count, too, as long as they are known to go on.
    let under_way = |server: &&Server| server.updating(now) || running.contains(&server.key);
    let room = most.saturating_sub(directory.iter().filter(under_way).count());
    let mut due: Vec<(bool, Version, u32, Update)> = directory
        .iter()
        .filter(|server| server.takes_work() && !under_way(server))
        // An order would be a request that the server asked not to get.
        .filter(|server| server.paused_until(now).is_none())
        .filter_map(|server| {
            let (model, version) = versions.outdated(server)?;
            let serves = server.entry.version(&model).unwrap_or(0);
            let update = Update {
                server: server.key,
                model,
                version,
            };
            Some((
                server.health.is_backing_off(now),
                serves,
                load(server),
                update,
            ))
        })
        .collect();
    due.sort_by_key(|(paused, serves, load, update)| (*paused, *serves, *load, update.server));
    due.into_iter()
        .take(room)
        .map(|(.., update)| update)
        .collect()
}
