//! Follows the objects of the store that the process needs.

use std::{rc::Rc, time::Duration};

use jaystand_adapter::{
    entry,
    store::{Change, Object, Page},
};
use jaystand_dispatch::source::Source;
use jaystand_types::{Moment, Version};
use rand::RngExt as _;
use tokio::time::sleep;

use crate::{
    clock,
    hub::{Hub, Kind, is_config},
    store::{Error, WATCH_WAIT},
};

/// Changes of servers gather for this long for each host that follows the store.
const BATCH_PAUSE_PER_HOST: Duration = Duration::from_millis(25);
/// Longest time for which they gather. A server that leaves must get no request after two seconds.
const MAX_BATCH_PAUSE: Duration = Duration::from_millis(1_500);
/// The list after a failed watch is confirmed by another one after this time.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(1_200);
const FIRST_BACKOFF: Duration = Duration::from_millis(60);
/// The store's return is noticed at most this late; a change of the configuration is due within two seconds.
const MAX_BACKOFF: Duration = Duration::from_millis(900);

/// Follows one kind of objects for as long as the process runs, while this host follows the store.
///
/// A host that has just started lists once before it knows whom to follow: its callers are waiting already, unless the
/// whole fleet starts for the first time. It asks for one page only: 300 hosts that started together after a kill would
/// each take some hundred kilobytes of entries from the store, and the hosts that others follow would wait behind them.
pub(crate) async fn follow(hub: Rc<Hub>, kind: Kind) {
    let mut source = hub.source.subscribe();
    let mut listed = None;
    loop {
        let now = *source.borrow_and_update();
        let first = now == Source::Unknown && !hub.settings.borrow().bootstrap;
        let run = async {
            match now {
                Source::Store => follow_store(&hub, kind, listed.take()).await,
                _ if first => {
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

/// Follows the store. A watch that failed is followed by a list, and by a second one a little later: while a store
/// forgets its history, a new watch may hear nothing of the changes that are made meanwhile.
async fn follow_store(hub: &Rc<Hub>, kind: Kind, mut listed: Option<Version>) {
    // The list of a host that has just started is some time old when its first watch begins.
    let mut lost = listed.is_some();
    loop {
        let revision = if let Some(revision) = listed.take() {
            revision
        } else {
            let (revision, failed) = list(hub, kind).await;
            lost |= failed;
            revision
        };
        let first_wait = if lost { CONFIRMATION_WAIT } else { WATCH_WAIT };
        lost = watch(hub, kind, revision, first_wait).await;
    }
}

/// Takes in what one page holds. Returns the revision that it shows if that is everything.
async fn list_at_start(hub: &Rc<Hub>, kind: Kind) -> Option<Version> {
    let (page, asked, _) = call_until_answered(hub, kind, async || {
        hub.store.page(&hub.metrics, kind.store_kind(), None).await
    })
    .await;
    if page.next_after.is_none() {
        adopt_list(hub, kind, &page.objects, page.revision, asked);
        return Some(page.revision);
    }
    if kind != Kind::Servers {
        return Some(list(hub, kind).await.0);
    }
    // What is left out is not gone, and is older or newer: this says nothing of how far the kind is known.
    for object in &page.objects {
        hub.adopt_server(&object.name, &object.value);
    }
    log::info!(feed = kind.as_str(), objects = page.objects.len();
        "part of a long list taken in; the rest comes from the source that is chosen");
    None
}

/// Lists until the store answers, and takes the objects in. Returns the revision that they show, and whether calls
/// failed before.
async fn list(hub: &Rc<Hub>, kind: Kind) -> (Version, bool) {
    let (page, asked, failed) = call_until_answered(hub, kind, async || {
        hub.store.list(&hub.metrics, kind.store_kind()).await
    })
    .await;
    adopt_list(hub, kind, &page.objects, page.revision, asked);
    (page.revision, failed)
}

/// Calls the store until it answers. Returns the answer, when it was asked for, and whether calls failed before.
async fn call_until_answered(
    hub: &Rc<Hub>,
    kind: Kind,
    call: impl AsyncFn() -> Result<Page, Error>,
) -> (Page, Moment, bool) {
    let mut backoff = FIRST_BACKOFF;
    let mut failed = false;
    loop {
        let asked = clock::since_boot();
        match call().await {
            Ok(page) => {
                hub.record_store_answer(kind, true);
                if page.unreadable > 0 {
                    log::warn!(feed = kind.as_str(), unreadable = page.unreadable;
                        "objects that cannot be read are passed over");
                }
                return (page, asked, failed);
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

/// Watches until another list is needed. Returns whether that is because of a failure.
async fn watch(hub: &Rc<Hub>, kind: Kind, mut revision: Version, first_wait: Duration) -> bool {
    let mut wait = first_wait;
    loop {
        let watch = hub
            .store
            .watch(&hub.metrics, kind.store_kind(), revision, wait);
        let changes = tokio::select! {
            changes = watch => changes,
            () = hub.relist_servers.notified(), if kind == Kind::Servers => {
                log::warn!(feed = kind.as_str(), revision; "another host knows newer servers; listing again");
                return true;
            }
        };
        match changes {
            Ok(changes) => {
                hub.record_store_answer(kind, true);
                if changes.unreadable > 0 {
                    let unreadable = changes.unreadable;
                    log::warn!(feed = kind.as_str(), unreadable; "changes that cannot be read are passed over");
                }
                for change in &changes.changes {
                    adopt_change(hub, kind, change);
                }
                revision = changes.revision;
                hub.state.borrow_mut().feed(kind).revision = revision;
                if wait != WATCH_WAIT {
                    return false;
                }
                if kind == Kind::Servers {
                    sleep(batch_pause(hub.count_store_followers())).await;
                }
            }
            Err(Error::Forgotten) => {
                log::info!(feed = kind.as_str(), revision; "the store has forgotten this history; listing again");
                return true;
            }
            Err(error) => {
                hub.record_store_answer(kind, false);
                log::debug!(feed = kind.as_str(); "watch failed: {error}");
                let jitter = rand::rng().random_range(0.0..1.0);
                sleep(FIRST_BACKOFF.mul_f64(jitter)).await;
                return true;
            }
        }
        wait = WATCH_WAIT;
    }
}

/// The pause after changes of servers, in which further changes gather, with so many hosts that follow the store. A
/// call of each of them for every change would grow with the square of the fleet.
pub(crate) fn batch_pause(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    BATCH_PAUSE_PER_HOST
        .saturating_mul(hosts)
        .min(MAX_BATCH_PAUSE)
}

/// Notes the newest change of an object that is known.
fn record_newest_change(hub: &Hub, kind: Kind, object: &Object) {
    let mut state = hub.state.borrow_mut();
    let feed = state.feed(kind);
    feed.changed = feed.changed.max(object.revision);
}

fn adopt_list(hub: &Hub, kind: Kind, objects: &[Object], revision: Version, asked: Moment) {
    match kind {
        Kind::Servers => {
            hub.replace_servers(objects.iter().map(|object| (&object.name, &*object.value)));
            for object in objects {
                record_newest_change(hub, kind, object);
            }
        }
        Kind::Config => adopt_configs(hub, objects, asked),
        Kind::Weights => {
            for object in objects {
                adopt_object(hub, kind, object);
            }
        }
    }
    let mut state = hub.state.borrow_mut();
    let feed = state.feed(kind);
    feed.revision = revision;
    feed.loaded = true;
}

/// Takes in a list of configurations that was asked for at a moment, which proves that no newer one was in force then.
fn adopt_configs(hub: &Hub, objects: &[Object], asked: Moment) {
    for object in objects.iter().filter(|object| is_config(&object.name)) {
        record_newest_change(hub, Kind::Config, object);
        if let Some(version) = hub.adopt_config(&object.value, "store") {
            hub.state.borrow_mut().proof.confirm(version, asked);
        }
    }
}

/// Reads the configuration again and again, so that keys which were taken away are not accepted any more. A watch
/// that is silent proves nothing.
pub(crate) async fn confirm_config(hub: Rc<Hub>, period: Duration) {
    let mut ticks = hub.timer.every(period);
    loop {
        ticks.tick().await;
        if *hub.source.borrow() != Source::Store {
            continue;
        }
        let asked = clock::since_boot();
        match hub
            .store
            .list(&hub.metrics, Kind::Config.store_kind())
            .await
        {
            Ok(page) => adopt_configs(&hub, &page.objects, asked),
            Err(error) => log::debug!("the configuration cannot be confirmed: {error}"),
        }
    }
}

fn adopt_change(hub: &Hub, kind: Kind, change: &Change) {
    match (kind, change) {
        (_, Change::Written(object)) => adopt_object(hub, kind, object),
        (Kind::Servers, Change::Removed(name)) => hub.remove_server(name),
        (Kind::Config | Kind::Weights, Change::Removed(name)) => {
            log::warn!(feed = kind.as_str(), name = name.as_str(); "removed object stays in force");
        }
    }
}

fn adopt_object(hub: &Hub, kind: Kind, object: &Object) {
    record_newest_change(hub, kind, object);
    match kind {
        Kind::Config if is_config(&object.name) => {
            hub.adopt_config(&object.value, "store");
        }
        Kind::Config => {}
        Kind::Servers => hub.adopt_server(&object.name, &object.value),
        Kind::Weights => match entry::weights(object.value.get().as_bytes()) {
            Ok((model, version)) => hub.record_named_weights(&model, version, None, "store"),
            Err(error) => {
                log::warn!(name = object.name.as_str(); "named weights cannot be read: {error}");
            }
        },
    }
}

/// Waits with jitter, and longer the next time.
async fn sleep_backoff(backoff: &mut Duration) {
    let jitter = rand::rng().random_range(0.5..1.5);
    sleep(backoff.mul_f64(jitter)).await;
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
}
