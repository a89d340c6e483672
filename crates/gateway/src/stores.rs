//! Watches whether the stores of kept prompt parts can be reached.
//!
//! A server that is told to fetch from a dead store loses some hundred milliseconds. An open connection shows the
//! end of a store without a call.

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
/// Pause before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// A connection that ends after this time was idle for too long; one that ends sooner shows that the store went.
const MIN_IDLE_TIME: Duration = Duration::from_secs(3);
/// How often the configuration is looked at for stores.
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
                tokio::task::spawn_local(follow(Rc::clone(&hub), Store::new(address)))
            });
        }
    }
}

async fn follow(hub: Rc<Hub>, store: Store) {
    loop {
        let opened = socket::connect(store.address, CONNECT_TIMEOUT, CONNECT_TIMEOUT).await;
        if let Ok(stream) = opened {
            set_reachable(&hub, store, true);
            let since = Instant::now();
            // Readable without a request means that the connection has ended.
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
        // It may come back empty.
        state.holdings.forget(store.key);
    }
}
