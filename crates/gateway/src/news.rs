//! Reads from engines which prompt parts they hold in their caches.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use hashbrown::{HashMap, HashSet};
use http::{Request, Uri};
use http_body_util::Full;
use jaystand_adapter::engine::{self, CacheEvents};
use jaystand_dispatch::{
    ServerKey,
    limit::{Call, Origin},
    prompt,
};
use jaystand_types::ServerName;
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    hub::Hub,
    link::{self, Connection},
};

/// How long an engine holds a call back for new events. Calls that wait less than 200 ms have a price.
const WAIT: Duration = Duration::from_secs(1);
/// Time allowed for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Pause between two calls, so that events collect. Events are some 80 ms late anyway.
const CALL_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How often new servers are looked for, to start their listeners.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(500);
/// Largest number of engines that a host listens to. Each call costs processor time and bytes; in larger fleets,
/// placement relies on its own order of servers instead.
const MAX_ENGINES: usize = 24;
/// Largest accepted answer.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Listens to all engines for as long as the process runs.
pub(crate) async fn listen(hub: Rc<Hub>) {
    let mut listeners: HashMap<ServerKey, JoinHandle<()>> = HashMap::new();
    let mut ticks = hub.timer.every(DISCOVERY_PERIOD);
    loop {
        ticks.tick().await;
        let engines: Vec<(ServerKey, ServerName, SocketAddr)> = {
            let state = hub.state.borrow();
            let engines = state
                .directory
                .iter()
                .filter(|s| !s.entry.weights.is_empty());
            engines
                .map(|server| (server.key, server.entry.name.clone(), server.entry.address))
                .collect()
        };
        let present: HashSet<ServerKey> = engines.iter().map(|(key, ..)| *key).collect();
        listeners.retain(|key, listener| {
            let stays = present.contains(key);
            if !stays {
                listener.abort();
                hub.state.borrow_mut().holdings.forget(*key);
            }
            stays
        });
        if engines.len() > MAX_ENGINES {
            for (key, listener) in listeners.drain() {
                listener.abort();
                hub.state.borrow_mut().holdings.forget(key);
            }
            continue;
        }
        for (key, name, address) in engines {
            listeners.entry(key).or_insert_with(|| {
                tokio::task::spawn_local(follow_engine(Rc::clone(&hub), key, name, address))
            });
        }
    }
}

/// Reads the events of one incarnation of an engine for as long as its server is known.
async fn follow_engine(hub: Rc<Hub>, server: ServerKey, name: ServerName, address: SocketAddr) {
    let mut connection: Option<Connection> = None;
    let mut since = 0;
    let mut boot_epoch = None;
    loop {
        if !hub.accepts_call(server, Call::CacheEvents) {
            sleep(CALL_PAUSE).await;
            continue;
        }
        let events = match read_events(&hub, &mut connection, server, address, &name, since).await {
            Ok(events) => events,
            Err(error) => {
                log::debug!(server = name.as_str(); "cannot read the events of kept parts: {error}");
                connection = None;
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        // The first answer counts as a restart, too, and so does one after a time without questions in which the engine
        // has dropped events.
        let restarted =
            boot_epoch.replace(events.boot_epoch) != Some(events.boot_epoch) || events.gap;
        since = events.next;
        apply_events(&hub, server, restarted, &events);
        sleep(CALL_PAUSE).await;
    }
}

fn apply_events(hub: &Hub, server: ServerKey, restarted: bool, events: &CacheEvents) {
    let mut state = hub.state.borrow_mut();
    if restarted {
        state.holdings.forget(server);
        state.holdings.start_reports(server);
    }
    for event in &events.events {
        let key = prompt::cache_key(&event.salt, &event.part);
        state.holdings.record_report(key, server, event.tokens);
    }
}

/// Reads the events after a number. Keeps the connection for the next call if it can be used again.
async fn read_events(
    hub: &Hub,
    connection: &mut Option<Connection>,
    server: ServerKey,
    address: SocketAddr,
    name: &str,
    since: u64,
) -> Result<CacheEvents, link::Error> {
    let mut open = match connection.take().filter(Connection::is_ready) {
        Some(open) => open,
        None => Connection::open(address, CONNECT_TIMEOUT, ANSWER_TIMEOUT)
            .await
            .map_err(|_| link::Error::NotSent)?,
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() =
        Uri::try_from(engine::cache_events_path(since)).map_err(|_| link::Error::NotSent)?;
    let headers = request.headers_mut();
    *headers = engine::headers(name, &address.to_string()).map_err(|_| link::Error::NotSent)?;
    let (wait, value) = engine::wait_header(WAIT);
    headers.insert(wait, value);
    if !hub.take_call(server, Call::CacheEvents) {
        *connection = Some(open);
        return Err(link::Error::NotSent);
    }
    let exchange = open.exchange(request, &hub.buffers, MAX_ANSWER_BYTES);
    let answer = timeout(ANSWER_TIMEOUT, exchange)
        .await
        .map_err(|_| link::Error::Timeout)??;
    let status = answer.status();
    hub.observe_response_head(server, name, status, answer.headers(), Origin::Unnamed);
    let body = answer.into_body().ok_or(link::Error::Timeout)?;
    if open.wait_reusable().await {
        *connection = Some(open);
    }
    if !status.is_success() {
        return Err(link::Error::Timeout);
    }
    engine::cache_events(&body).map_err(|error| {
        log::warn!(server = name; "the events of kept parts cannot be decoded: {error}");
        link::Error::Timeout
    })
}
