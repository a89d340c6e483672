//! Watches whether the stores of cached prompt parts can be reached.
//!
//! A server that is told to fetch a part from a dead store loses some hundred milliseconds. An open connection shows
//! without a call when a store ends.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use hashbrown::HashMap;
use jaystand_dispatch::placement::Store;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{hub::Hub, socket};

/// Time allowed for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failed connection, before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// A connection that ends after this time was closed for idleness; one that ends sooner shows that the store is gone.
const MIN_IDLE_TIME: Duration = Duration::from_secs(3);
/// How often the configuration is checked for added and removed stores.
const CONFIG_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Watches all stores of the configuration for as long as the process runs.
pub(crate) async fn watch(hub: Rc<Hub>) {
    let mut watchers: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    let mut ticks = hub.timer.every(CONFIG_CHECK_PERIOD);
    loop {
        ticks.tick().await;
        let config = hub.state.borrow().config.clone();
        let Some(config) = config else {
            continue;
        };
        let present: Vec<SocketAddr> = config.stores().collect();
        watchers.retain(|address, watcher| {
            let stays = present.contains(address);
            if !stays {
                watcher.abort();
                set_reachable(&hub, Store::new(*address), false);
            }
            stays
        });
        for address in present {
            watchers.entry(address).or_insert_with(|| {
                tokio::task::spawn_local(watch_store(Rc::clone(&hub), Store::new(address)))
            });
        }
    }
}

/// Keeps a connection to one store open, and records whether the store can be reached.
async fn watch_store(hub: Rc<Hub>, store: Store) {
    loop {
        let opened = socket::connect(store.address, CONNECT_TIMEOUT, CONNECT_TIMEOUT).await;
        if let Ok(stream) = opened {
            set_reachable(&hub, store, true);
            let since = Instant::now();
            // No request was sent, so a readable connection has ended.
            let ended = stream.readable().await;
            if ended.is_ok() && since.elapsed() > MIN_IDLE_TIME {
                continue;
            }
        }
        set_reachable(&hub, store, false);
        sleep(RETRY_PAUSE).await;
    }
}

fn set_reachable(hub: &Hub, store: Store, reachable: bool) {
    let mut state = hub.state.borrow_mut();
    let known = state.part_stores.contains(&store);
    if known == reachable {
        return;
    }
    log::info!(address:% = store.address, reachable; "store of kept parts");
    if reachable {
        state.part_stores.push(store);
        state.holdings.add_store(store.key);
    } else {
        state.part_stores.retain(|other| *other != store);
        // The store may come back empty.
        state.holdings.forget(store.key);
    }
}
