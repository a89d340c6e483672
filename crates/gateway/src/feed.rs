//! Follows the store's objects that the process needs: configuration, servers and named weights.

use std::{rc::Rc, time::Duration};

use hashbrown::HashSet;
use jaystand_adapter::{
    entry,
    store::{Change, Next, Object, Page},
};
use jaystand_dispatch::{revision::Revision, source::Source, weights::Sighting};
use jaystand_types::{Moment, ServerName};
use rand::RngExt as _;
use tokio::time::sleep;

use crate::{
    clock,
    hub::{Hub, Kind, is_config},
    store::{Error, Listed, WATCH_WAIT},
};

/// Pause between watches of servers, for each host that follows the store.
const BATCH_PAUSE_PER_HOST: Duration = Duration::from_millis(25);
/// Longest pause between watches of servers. A server that leaves must get no request after two seconds.
const MAX_BATCH_PAUSE: Duration = Duration::from_millis(1_500);
/// The list after a failed watch is confirmed by a second list after this time.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(1_200);
/// A broken watch had delivered all changes until this long before: the store acknowledges what it is sent within a second.
const BROKEN_WATCH_DOUBT: Duration = Duration::from_secs(1);
/// A watch that follows the last answer within this time reports changes when they are made.
const MAX_WATCH_GAP: Duration = Duration::from_millis(200);
const FIRST_BACKOFF: Duration = Duration::from_millis(60);
/// A host of the fleet asks for the store's era this often, whichever hosts are awake: a watch may wait on for a revision
/// that is given out again. A change of the configuration must be in force within two seconds.
const ERA_CHECK_PERIOD: Duration = Duration::from_millis(800);
/// Longest pause between calls to a store that does not answer. It bounds how late the store's return is noticed; a
/// change of the configuration must be in force within two seconds.
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// Follows one kind of object whenever this host follows the store, for as long as the process runs.
///
/// A host that has just started lists once before it knows which source to follow: its callers are already waiting,
/// unless the whole fleet starts for the first time. It asks for one page of servers only. Otherwise 300 hosts that
/// start together after a kill would each read some hundred kilobytes of entries from the store, and the hosts that
/// others follow would wait behind them.
pub(crate) async fn follow(hub: Rc<Hub>, kind: Kind) {
    let mut source = hub.source.subscribe();
    let mut listed = None;
    loop {
        let current = *source.borrow_and_update();
        let list_first = current == Source::Unknown && !hub.settings.borrow().bootstrap;
        let run = async {
            match current {
                Source::Store => follow_store(&hub, kind, listed.take()).await,
                _ if list_first => {
                    listed = list_at_start(&hub, kind).await;
                    std::future::pending::<()>().await;
                }
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            () = run => {}
            changed = source.changed() => if changed.is_err() {
                return;
            }
        }
    }
}

/// Follows the store. After a failed watch it lists, and lists a second time a little later: while a store loses its
/// history, a new watch may miss the changes that are made meanwhile.
async fn follow_store(hub: &Rc<Hub>, kind: Kind, mut listed: Option<Revision>) {
    // The list that a host makes at its start is some time old when the first watch begins, so it is confirmed as well.
    let mut must_confirm = listed.is_some();
    loop {
        let revision = if let Some(revision) = listed.take() {
            revision
        } else {
            let (revision, failed) = list(hub, kind).await;
            must_confirm |= failed;
            revision
        };
        let first_wait = if must_confirm {
            CONFIRMATION_WAIT
        } else {
            WATCH_WAIT
        };
        must_confirm = watch(hub, kind, revision, first_wait).await;
    }
}

/// Reads and applies one page of a kind, or the whole list if there are more pages and the kind isn't servers. Returns
/// the revision if all objects were read.
async fn list_at_start(hub: &Rc<Hub>, kind: Kind) -> Option<Revision> {
    let ((listing, page), _) = call_until_answered(hub, kind, async |asked_at| {
        let page = hub
            .store
            .page(&hub.metrics, kind.store_kind(), None)
            .await?;
        let mut listing = Listing::new(hub, kind, asked_at);
        listing.adopt(&page);
        Ok((listing, page))
    })
    .await;
    if page.next == Next::End {
        let (revision, complete) = (page.revision, true);
        listing.finish(&Listed { revision, complete });
        return Some(revision);
    }
    if kind != Kind::Servers {
        return Some(list(hub, kind).await.0);
    }
    // Servers that the page lacks are not gone. The feed's revision stays, since the list is not complete.
    log::info!(feed = kind.as_str(), objects = page.objects.len();
        "part of a long list taken in; the rest comes from the source that is chosen");
    None
}

/// Lists until the store answers, and applies the list. Returns its revision, and whether calls failed before.
async fn list(hub: &Rc<Hub>, kind: Kind) -> (Revision, bool) {
    let ((listing, listed), failed) = call_until_answered(hub, kind, async |asked_at| {
        let mut listing = Listing::new(hub, kind, asked_at);
        let adopt = |page: &Page| listing.adopt(page);
        let listed = hub
            .store
            .list(&hub.metrics, kind.store_kind(), adopt)
            .await?;
        Ok((listing, listed))
    })
    .await;
    listing.finish(&listed);
    (listed.revision, failed)
}

/// Calls the store until it answers. Passes on when each call is made. Returns what the call returns, and whether calls
/// failed before.
async fn call_until_answered<T>(
    hub: &Rc<Hub>,
    kind: Kind,
    call: impl AsyncFn(Moment) -> Result<T, Error>,
) -> (T, bool) {
    let mut backoff = FIRST_BACKOFF;
    let mut failed = false;
    loop {
        match call(clock::since_boot()).await {
            Ok(answer) => {
                hub.record_store_answer(kind, true);
                return (answer, failed);
            }
            Err(error) => {
                failed = true;
                hub.record_store_answer(kind, false);
                log::debug!(feed = kind.as_str(); "list failed: {error}");
                sleep_backoff(&mut backoff).await;
            }
        }
    }
}

/// A list of one kind that is applied page by page. A server on one page is of use although the next page cannot be
/// read.
struct Listing<'a> {
    hub: &'a Hub,
    kind: Kind,
    asked_at: Moment,
    /// Names of the listed servers.
    names: HashSet<ServerName>,
    /// Revision of the newest listed server.
    newest: Option<Revision>,
    unreadable: usize,
}

impl<'a> Listing<'a> {
    fn new(hub: &'a Hub, kind: Kind, asked_at: Moment) -> Self {
        Self {
            hub,
            kind,
            asked_at,
            names: HashSet::new(),
            newest: None,
            unreadable: 0,
        }
    }

    /// Applies a page.
    fn adopt(&mut self, page: &Page) {
        let Self { hub, kind, .. } = *self;
        hub.enter_era();
        self.unreadable += page.unreadable;
        match kind {
            Kind::Servers => {
                for object in &page.objects {
                    hub.adopt_server(&object.name, &object.value);
                    self.names.insert(object.name.clone());
                    if self
                        .newest
                        .is_none_or(|newest| object.revision.supersedes(newest))
                    {
                        self.newest = Some(object.revision);
                    }
                }
            }
            Kind::Config => adopt_configs(hub, &page.objects, self.asked_at),
            Kind::Weights => {
                let now = clock::since_boot();
                let unseen = hub.state.borrow().weights_feed.unseen_before(now);
                for object in &page.objects {
                    adopt_object(hub, kind, object, Sighting::Listed(unseen));
                }
            }
        }
    }

    /// Ends the list. Servers that it lacks are removed if it is complete.
    fn finish(self, listed: &Listed) {
        let Self { hub, kind, .. } = self;
        if self.unreadable > 0 {
            log::warn!(feed = kind.as_str(), unreadable = self.unreadable;
                "objects that cannot be read are skipped");
        }
        if kind == Kind::Servers && listed.complete {
            hub.retain_servers(&self.names);
        }
        if let Some(newest) = self.newest {
            record_newest_change(hub, kind, newest);
        }
        let mut state = hub.state.borrow_mut();
        let feed = state.feed(kind);
        feed.revision = listed.revision;
        feed.loaded = true;
        feed.record_seen(self.asked_at);
    }
}

/// Watches and applies changes until another list is needed. Returns whether a failure is the reason.
async fn watch(hub: &Rc<Hub>, kind: Kind, mut revision: Revision, first_wait: Duration) -> bool {
    let mut wait = first_wait;
    loop {
        let called_at = clock::since_boot();
        let watch = hub
            .store
            .watch(&hub.metrics, kind.store_kind(), revision, wait);
        let changes = tokio::select! {
            changes = watch => changes,
            () = hub.relist_servers.notified(), if kind == Kind::Servers => {
                log::warn!(feed = kind.as_str(), revision = revision.number(); "another host knows newer servers; listing again");
                return true;
            }
        };
        match changes {
            Ok(changes) => {
                hub.record_store_answer(kind, true);
                if changes.unreadable > 0 {
                    let unreadable = changes.unreadable;
                    log::warn!(feed = kind.as_str(), unreadable; "changes that cannot be read are skipped");
                }
                let unseen = hub.state.borrow_mut().feed(kind).unseen_before(called_at);
                let sighting = match unseen {
                    Some(unseen) if unseen <= MAX_WATCH_GAP => Sighting::Change,
                    unseen => Sighting::Listed(unseen),
                };
                for change in &changes.changes {
                    adopt_change(hub, kind, change, sighting);
                }
                revision = changes.revision;
                {
                    let mut state = hub.state.borrow_mut();
                    let feed = state.feed(kind);
                    feed.revision = revision;
                    feed.record_seen(clock::since_boot());
                }
                if wait != WATCH_WAIT {
                    return false;
                }
                if kind == Kind::Servers {
                    sleep(batch_pause(hub.count_store_followers())).await;
                }
            }
            Err(Error::HistoryGone) => {
                log::info!(feed = kind.as_str(), revision = revision.number(); "the history of this watch is gone; listing again");
                return true;
            }
            Err(Error::OtherEra) => {
                log::info!(feed = kind.as_str(), revision = revision.number(), era = revision.era();
                    "the store came back from an older copy; listing again");
                return true;
            }
            Err(error) => {
                hub.record_store_answer(kind, false);
                log::debug!(feed = kind.as_str(); "watch failed: {error}");
                let seen_until = clock::since_boot().saturating_sub(BROKEN_WATCH_DOUBT);
                if seen_until > called_at {
                    hub.state.borrow_mut().feed(kind).record_seen(seen_until);
                }
                let jitter = rand::rng().random_range(0.0..1.0);
                sleep(FIRST_BACKOFF.mul_f64(jitter)).await;
                return true;
            }
        }
        wait = WATCH_WAIT;
    }
}

/// Returns the pause after changes of servers, in which further changes collect, for this number of hosts that follow
/// the store. If each of them made a call for every change, the number of calls would grow with the square of the
/// fleet.
pub(crate) fn batch_pause(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    BATCH_PAUSE_PER_HOST
        .saturating_mul(hosts)
        .min(MAX_BATCH_PAUSE)
}

/// Records the revision of a change as the feed's newest one, if it is newer.
fn record_newest_change(hub: &Hub, kind: Kind, revision: Revision) {
    let mut state = hub.state.borrow_mut();
    let feed = state.feed(kind);
    if revision.supersedes(feed.changed) {
        feed.changed = revision;
    }
}

/// Applies a list of configurations. It confirms that no newer configuration was in force at the time of the call.
fn adopt_configs(hub: &Hub, objects: &[Object], asked_at: Moment) {
    for object in objects.iter().filter(|object| is_config(&object.name)) {
        record_newest_change(hub, Kind::Config, object.revision);
        if let Some(version) = hub.adopt_config(&object.value, "store") {
            hub.state.borrow_mut().confirm_config(version, asked_at);
        }
    }
}

/// Asks for the store's era now and then while this host follows the store.
pub(crate) async fn check_era(hub: Rc<Hub>) {
    loop {
        let hosts = u32::try_from(hub.count_store_followers()).unwrap_or(u32::MAX);
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(ERA_CHECK_PERIOD.saturating_mul(hosts).mul_f64(jitter)).await;
        if *hub.source.borrow() != Source::Store {
            continue;
        }
        if let Err(error) = hub.store.check_era(&hub.metrics).await {
            log::debug!("the store's era cannot be checked: {error}");
        }
        hub.enter_era();
    }
}

/// Reads the configuration periodically, so that revoked keys are not accepted any more. A silent watch doesn't show
/// that the configuration is still the newest.
pub(crate) async fn confirm_config(hub: Rc<Hub>, period: Duration) {
    let mut ticks = hub.timer.every(period);
    loop {
        ticks.tick().await;
        if *hub.source.borrow() != Source::Store {
            continue;
        }
        let asked_at = clock::since_boot();
        let adopt = |page: &Page| adopt_configs(&hub, &page.objects, asked_at);
        let kind = Kind::Config.store_kind();
        if let Err(error) = hub.store.list(&hub.metrics, kind, adopt).await {
            log::debug!("the configuration cannot be confirmed: {error}");
        }
    }
}

fn adopt_change(hub: &Hub, kind: Kind, change: &Change, sighting: Sighting) {
    match (kind, change) {
        (_, Change::Written(object)) => adopt_object(hub, kind, object, sighting),
        // An entry that cannot be read names no server.
        (Kind::Servers, Change::Removed(name) | Change::Unreadable(name)) => {
            hub.remove_server(name);
        }
        (Kind::Config | Kind::Weights, Change::Unreadable(name)) => {
            log::warn!(feed = kind.as_str(), name = name.as_str();
                "the object cannot be read any more; what it said stays in force");
        }
        (Kind::Config | Kind::Weights, Change::Removed(name)) => {
            log::warn!(feed = kind.as_str(), name = name.as_str();
                "the object was removed from the store, but stays in force");
        }
    }
}

/// Applies an object. The sighting tells how this host learned of it, which decides the age of named weights.
fn adopt_object(hub: &Hub, kind: Kind, object: &Object, sighting: Sighting) {
    record_newest_change(hub, kind, object.revision);
    match kind {
        Kind::Config if is_config(&object.name) => {
            hub.adopt_config(&object.value, "store");
        }
        Kind::Config => {}
        Kind::Servers => hub.adopt_server(&object.name, &object.value),
        Kind::Weights => match entry::weights(&object.name, object.value.get().as_bytes()) {
            Ok((model, version)) => hub.record_named_weights(&model, version, sighting, "store"),
            Err(error) => {
                log::warn!(name = object.name.as_str(); "named weights cannot be read: {error}");
            }
        },
    }
}

/// Sleeps for the backoff with jitter, and doubles it up to its maximum.
async fn sleep_backoff(backoff: &mut Duration) {
    let jitter = rand::rng().random_range(0.5..1.5);
    sleep(backoff.mul_f64(jitter)).await;
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
}
