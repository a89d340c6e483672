//! Copies of the store's objects, for hosts that follow another host instead of the store.
//!
//! A copy is one state at one change number. Each host numbers the changes that it applies. A follower asks for the changes after the last one that it has; the
//! other host holds the query back until there is one. If the follower's number is of another run, it gets everything.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode, Uri, header};
use http_body_util::Full;
use jaystand_dispatch::{
    replica::{self, Digest, Divergence, Replica},
    revision::Revision,
    source::Source,
    weights::{Age, Sighting},
};
use jaystand_types::{Era, Model, Moment, ServerName, Version};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

use crate::{
    clock, front,
    hub::{Hub, Kind, State, whole_ms},
    link::Connection,
    pack::{self, Contents, MAX_COPY_BYTES, Packed},
};

/// How long the other host holds a query back for a change. A host that does not answer is noticed this late.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time allowed for an answer beyond the wait, and for a connection. A message takes about 3 ms each way.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Followers leave a host that has lost the store for longer than this. After a broken watch, the host usually lists
/// again within some hundred milliseconds; if all followers left at once, each would turn to the store.
const MAX_STORE_OUTAGE: Duration = Duration::from_millis(800);
/// Pause after a failure, before another host is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
const PATH: &str = "/copy";

/// The head of a copy: everything but the contents of configuration and server entries.
#[derive(Serialize, Deserialize)]
pub(crate) struct Head {
    /// The run of the process that numbered the changes.
    run: u64,
    /// Number of the newest change.
    change: u64,
    /// Whether the host is in touch with the store, directly or through another host.
    connected: bool,
    /// Whether the contents hold all server entries, not only the changed ones.
    complete: bool,
    /// The latest known era of the store.
    #[serde(default)]
    era: Era,
    /// Era of the next two revisions; 0 from hosts that do not know of eras.
    #[serde(default)]
    servers_era: Era,
    servers_revision: Version,
    servers_changed: Version,
    removed: Vec<ServerName>,
    /// All names of the state, by which followers notice that theirs differ; missing from hosts that do not know of it.
    #[serde(default)]
    names: Option<NamesDigest>,
    weights: Vec<NamedWeights>,
    proven: Option<Confirmation>,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
struct NamesDigest {
    names: u64,
    sum: u64,
}

impl From<Digest> for NamesDigest {
    fn from(digest: Digest) -> Self {
        Self {
            names: digest.names,
            sum: digest.sum,
        }
    }
}

impl From<NamesDigest> for Digest {
    fn from(digest: NamesDigest) -> Self {
        Self {
            names: digest.names,
            sum: digest.sum,
        }
    }
}

#[derive(Serialize, Deserialize)]
struct NamedWeights {
    model: Model,
    version: Version,
    age_ms: u64,
    presumed: bool,
}

/// The version of the newest configuration, and when it was confirmed to be the newest: milliseconds after the query
/// arrived.
#[derive(Serialize, Deserialize)]
struct Confirmation {
    version: Version,
    after_ms: i64,
}

impl Head {
    fn revision(&self) -> Revision {
        Revision::new(self.servers_era, self.servers_revision)
    }

    fn changed(&self) -> Revision {
        Revision::new(self.servers_era, self.servers_changed)
    }
}

/// A follower's query for the changes after a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Query {
    run: u64,
    after: u64,
    wait: bool,
}

impl Query {
    fn path(self) -> String {
        format!(
            "{PATH}?run={}&after={}&wait={}",
            self.run,
            self.after,
            u8::from(self.wait)
        )
    }

    fn parse(uri: &Uri) -> Option<Self> {
        if uri.path() != PATH {
            return None;
        }
        let mut query = Self::default();
        for pair in uri.query().unwrap_or_default().split('&') {
            let (name, value) = pair.split_once('=')?;
            let value: u64 = value.parse().ok()?;
            match name {
                "run" => query.run = value,
                "after" => query.after = value,
                "wait" => query.wait = value != 0,
                _ => return None,
            }
        }
        Some(query)
    }
}

/// Answers the queries of other hosts for as long as the process runs.
pub(crate) async fn serve(hub: Rc<Hub>, listener: Rc<TcpListener>) {
    let account = Rc::clone(&hub.accounts.copies);
    front::serve_text(hub, listener, account, async |hub: Rc<Hub>, request| {
        let Some(query) = Query::parse(request.uri()) else {
            return (StatusCode::NOT_FOUND, Vec::new());
        };
        match answer_query(&hub, query).await {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => {
                log::error!("cannot encode a copy: {error}");
                (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
            }
        }
    })
    .await;
}

async fn answer_query(hub: &Hub, query: Query) -> std::io::Result<Vec<u8>> {
    let arrived_at = clock::since_boot();
    let after = if query.run == hub.incarnation {
        query.after
    } else {
        0
    };
    if query.wait {
        hub.record_follower();
        let mut changed = hub.state.borrow().entries.subscribe();
        let due = async { while !is_answer_due(hub, after) && changed.changed().await.is_ok() {} };
        if timeout(WATCH_WAIT, due).await.is_err() {
            log::debug!(after; "no change to pass on");
        }
    }
    encode_changes_after(hub, after, arrived_at)
}

/// Returns whether a query for the changes after a number is to be answered now.
fn is_answer_due(hub: &Hub, after: u64) -> bool {
    let state = hub.state.borrow();
    let loaded = state.config_feed.loaded && state.servers_feed.loaded;
    let lost = loaded && !state.is_connected_within(hub.now(), MAX_STORE_OUTAGE);
    hub.is_stopping() || lost || (loaded && state.entries.log().newest() > after)
}

fn encode_changes_after(hub: &Hub, after: u64, arrived_at: Moment) -> std::io::Result<Vec<u8>> {
    let now = hub.now();
    let state = hub.state.borrow();
    let entries = &state.entries;
    let complete = entries.log().needs_full_copy(after);
    let after = if complete { 0 } else { after };
    let packed = pack_contents_after(hub, &state, after)?;
    let weights = state.versions.ages(now);
    let weights = weights.map(|(model, version, age)| NamedWeights {
        model: model.clone(),
        version,
        age_ms: whole_ms(age.duration()),
        presumed: age.is_presumed(),
    });
    let confirmed = state.proof.newest();
    let head = Head {
        run: hub.incarnation,
        change: entries.log().newest(),
        connected: state.is_connected_within(now, MAX_STORE_OUTAGE) && !hub.is_stopping(),
        complete,
        era: hub.store.era(),
        servers_era: state.servers_feed.revision.era(),
        servers_revision: state.servers_feed.revision.number(),
        servers_changed: state.servers_feed.newest_change_in_era(),
        removed: if complete {
            Vec::new()
        } else {
            entries.log().removed_after(after).collect()
        },
        names: Some(entries.log().digest().into()),
        weights: if entries.weights_changed_after(after) {
            weights.collect()
        } else {
            Vec::new()
        },
        proven: confirmed.map(|(version, at)| Confirmation {
            version,
            after_ms: offset_ms(arrived_at, at),
        }),
    };
    packed.with_head(&head)
}

/// Packs the contents that changed after a number. A complete copy is packed once and shared by all that ask for it.
fn pack_contents_after(hub: &Hub, state: &State, after: u64) -> std::io::Result<Packed> {
    let entries = &state.entries;
    let mut cached = hub.packed_copy.borrow_mut();
    if let Some((change, packed)) = cached.as_ref()
        && after == 0
        && *change == entries.log().newest()
    {
        return Ok(packed.clone());
    }
    let config = state.config_text.clone();
    let packed = Packed::new(&Contents {
        config: config.filter(|_| entries.config_changed_after(after)),
        servers: entries.log().written_after(after).collect(),
    })?;
    if after == 0 {
        *cached = Some((entries.log().newest(), packed.clone()));
    }
    Ok(packed)
}

/// Returns the milliseconds from one moment to another, rounded down.
fn offset_ms(from: Moment, to: Moment) -> i64 {
    if let Some(later) = to.checked_sub(from) {
        i64::try_from(later.as_millis()).unwrap_or(i64::MAX)
    } else {
        let earlier = from.saturating_sub(to).as_millis();
        i64::try_from(earlier).map_or(i64::MIN, |ms| -ms - 1)
    }
}

/// Follows another host whenever this one does not follow the store, for as long as the process runs.
pub(crate) async fn follow(hub: Rc<Hub>) {
    let mut source = hub.source.subscribe();
    // The host that answered last, the connection to it and the next query, which holds its last change.
    let mut followed: Option<(IpAddr, Connection, Query)> = None;
    let mut divergence = Divergence::default();
    loop {
        let current = *source.borrow_and_update();
        let Source::Host(host) = current else {
            followed = None;
            if source.changed().await.is_err() {
                return;
            }
            continue;
        };
        let former = followed
            .take()
            .filter(|(address, connection, _)| *address == host && connection.is_ready());
        let (connection, query) = match former {
            Some((_, connection, query)) => (Some(connection), query),
            None => (
                None,
                Query {
                    wait: true,
                    ..Query::default()
                },
            ),
        };
        // Confirmation times are counted from before the query is sent: the answer may be delayed, and this host may
        // be suspended meanwhile.
        let asked_at = clock::since_boot();
        match request_copy(&hub, host, connection, query).await {
            Ok((connection, head, contents)) if head.connected && !is_behind(&hub, &head) => {
                apply_copy(&hub, &head, &contents, asked_at, "relay");
                record_relay_contact(&hub, &head, asked_at);
                let diverged = is_full_copy_due(&hub, &mut divergence, host, &head);
                let next = Query {
                    run: head.run,
                    after: if diverged { 0 } else { head.change },
                    wait: !diverged,
                };
                followed = Some((host, connection, next));
            }
            Ok((_, head, _)) => {
                log::info!(peer:% = host, connected = head.connected;
                    "the followed host is behind or has lost the store; looking for another source");
                hub.record_relay_failure(host);
                sleep(RETRY_PAUSE).await;
            }
            Err(error) => {
                log::info!(peer:% = host; "the followed host does not answer: {error}");
                hub.record_relay_failure(host);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns whether to ask for a complete copy, because the servers of this host differ from those of the followed one.
fn is_full_copy_due(hub: &Hub, divergence: &mut Divergence, host: IpAddr, head: &Head) -> bool {
    let Some(followed) = head.names.map(Digest::from) else {
        return false;
    };
    let state = hub.state.borrow();
    let own = state.entries.digest_without(state.directory.missing());
    let due = divergence.is_copy_due(hub.now(), followed, own);
    if due {
        hub.metrics.diverged_copies.inc();
        log::warn!(peer:% = host, change = head.change, names = followed.names, own_names = own.names;
            "the servers of this host differ from those of the followed one; asking for a complete copy");
    }
    due
}

/// Returns whether a copy lacks changes of servers that this host knows.
fn is_behind(hub: &Hub, head: &Head) -> bool {
    let known = hub.state.borrow().servers_feed.changed;
    known.supersedes(head.changed())
}

/// Records that this host is in touch with the store, since the followed host is.
fn record_relay_contact(hub: &Hub, head: &Head, asked_at: Moment) {
    for kind in [Kind::Config, Kind::Servers, Kind::Weights] {
        hub.record_store_answer(kind, true);
        let mut state = hub.state.borrow_mut();
        let feed = state.feed(kind);
        feed.loaded = true;
        feed.record_seen(asked_at);
    }
    let mut state = hub.state.borrow_mut();
    state.servers_feed.advance(head.revision(), head.changed());
}

/// Fetches a complete copy from a host and applies its configuration and weights. Applies its servers only if this host
/// cannot reach the store and the copy is newer.
pub(crate) async fn fetch(hub: &Hub, host: IpAddr) -> std::io::Result<()> {
    let asked_at = clock::since_boot();
    let (_, head, mut contents) = request_copy(hub, host, None, Query::default()).await?;
    log::info!(peer:% = host, servers = contents.servers.len(); "copy of a peer received");
    let (connected, known) = {
        let feed = &hub.state.borrow().servers_feed;
        (feed.is_connected(), feed.revision)
    };
    let apply_servers = !connected && head.revision().supersedes(known);
    if !apply_servers {
        contents.servers.clear();
    }
    let head = Head {
        complete: head.complete && apply_servers,
        ..head
    };
    apply_copy(hub, &head, &contents, asked_at, "peer");
    if apply_servers {
        hub.state.borrow_mut().servers_feed.revision = head.revision();
    }
    Ok(())
}

async fn request_copy(
    hub: &Hub,
    host: IpAddr,
    connection: Option<Connection>,
    query: Query,
) -> std::io::Result<(Connection, Head, Contents)> {
    let port = hub.settings.borrow().peer_port;
    let address = SocketAddr::new(host, port);
    let time_limit = if query.wait {
        WATCH_WAIT + ANSWER_TIMEOUT
    } else {
        ANSWER_TIMEOUT
    };
    let exchange = async {
        let mut connection = match connection {
            Some(connection) => connection,
            None => Connection::open(address, ANSWER_TIMEOUT, ANSWER_TIMEOUT).await?,
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::try_from(query.path()).map_err(std::io::Error::other)?;
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let answer = connection
            .exchange(request, &hub.inner_buffers, MAX_COPY_BYTES)
            .await
            .map_err(std::io::Error::other)?;
        let body = answer.into_body();
        let body = body.ok_or_else(|| std::io::Error::other("the copy broke off"))?;
        let (head, contents) = pack::unpack(&body)?;
        if !connection.wait_reusable().await {
            return Err(std::io::Error::other("the connection cannot be used again"));
        }
        Ok((connection, head, contents))
    };
    timeout(time_limit, exchange).await?
}

fn apply_copy(hub: &Hub, head: &Head, contents: &Contents, asked_at: Moment, source: &str) {
    hub.learn_era(head.era);
    if let Some(config) = &contents.config {
        hub.adopt_config(config, source);
    }
    if let Some(confirmation) = &head.proven {
        let offset = Duration::from_millis(confirmation.after_ms.unsigned_abs());
        let at = if confirmation.after_ms < 0 {
            asked_at.checked_sub(offset)
        } else {
            Some(asked_at + offset)
        };
        if let Some(at) = at {
            hub.state
                .borrow_mut()
                .confirm_config(confirmation.version, at);
        }
    }
    for weights in &head.weights {
        let age = Age::new(Duration::from_millis(weights.age_ms), weights.presumed);
        hub.record_named_weights(
            &weights.model,
            weights.version,
            Sighting::Stated(age),
            source,
        );
    }
    let mut servers = Servers(hub);
    replica::apply(
        &mut servers,
        head.complete,
        &head.removed,
        &contents.servers,
    );
}

/// The servers that this host knows.
struct Servers<'a>(&'a Hub);

impl Replica<Rc<RawValue>> for Servers<'_> {
    fn replace(&mut self, entries: &[(ServerName, Rc<RawValue>)]) {
        self.0
            .replace_servers(entries.iter().map(|(name, text)| (name, &**text)));
    }

    fn remove(&mut self, name: &ServerName) {
        self.0.remove_server(name);
    }

    fn write(&mut self, name: &ServerName, entry: &Rc<RawValue>) {
        self.0.adopt_server(name, entry);
    }
}
