//! Orders engines to load the newest weights while this process holds the lease on weight orders.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use jaystand_adapter::engine::{self, Order, Reply, Report};
use jaystand_dispatch::{
    ServerKey,
    directory::Server,
    health::Outcome,
    lease::{Fence, Lease, Record, Step, Written},
    limit::{Call, Origin},
    revision::Revision,
    weights::{self, Update},
};
use jaystand_types::Era;
use tokio::time::{Instant, sleep, timeout};

use crate::{clock, hub::Hub, link::Error, updates};

/// How often the holder looks for servers to update, and the other hosts for a holder that is gone.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Pause between the announcement of an update and its order, so that hosts stop sending requests to the server.
/// Reports between peers take a few milliseconds.
const ANNOUNCEMENT_PAUSE: Duration = Duration::from_millis(15);
/// Time allowed for a report or for the answer to an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest age of what an engine's report shows. The users' pages state some 200 ms.
const MAX_ENGINE_REPORT_AGE: Duration = Duration::from_millis(250);
/// Wait between an accepted order and the first report. The server's entry usually shows the new weights sooner, which
/// saves the cost of a report; starting the reports at 0.35 s brought no gain on eight of the users' days.
const FIRST_REPORT_WAIT: Duration = Duration::from_millis(900);
/// How often reports are read after the first one.
const REPORT_PERIOD: Duration = Duration::from_millis(300);
/// How often the known version of a server is checked between reports.
const VERSION_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// An update that has not ended after this time is abandoned, and started anew if it is still due. The server finishes
/// its runs first, which takes seconds for long answers.
const MAX_UPDATE_TIME: Duration = Duration::from_secs(6);
/// Pause after a failed update, before the server may be updated again.
const FAILED_UPDATE_PAUSE: Duration = Duration::from_millis(300);
/// Largest accepted report or answer to an order.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Gives weight orders for as long as the process runs.
pub(crate) async fn run(hub: Rc<Hub>) {
    let settings = hub.settings.borrow().clone();
    // A run of this task that started again after a panic is another holder: orders of the former one may be under way.
    let name = compact_str::format_compact!(
        "{}-{:04x}",
        settings.run_name(hub.incarnation),
        rand::random::<u16>()
    );
    let lease = Lease::new(name, settings.lease);
    let lease = Rc::new(RefCell::new(lease));
    let running = Rc::new(RefCell::new(Vec::new()));
    let mut ticks = hub.timer.every(CHECK_PERIOD);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = hub.weights_changed.notified() => {}
        }
        updates::expire(&hub);
        let pending = {
            let state = hub.state.borrow();
            weights::pending(&state.directory, &state.versions)
        };
        let wanted = pending && !hub.is_stopping();
        lease
            .borrow_mut()
            .observe_era(clock::since_boot(), hub.store.era());
        if let Some((reported_at, revision, record)) = hub.reported_lease.take() {
            lease
                .borrow_mut()
                .observe_holder(reported_at, revision, record);
        }
        if hub.lease_may_be_free.take() {
            lease.borrow_mut().require_read();
        }
        if let Some(fence) = hub.abandoned_fence.get() {
            lease.borrow_mut().observe_abandoned(fence);
        }
        publish_abandoned(&hub, &lease);
        updates::refresh_marks(&hub);
        if hub.is_stopping() {
            release_lease(&hub, &lease).await;
        }
        lease.borrow_mut().set_wanted(clock::since_boot(), wanted);
        advance_lease(&hub, &lease).await;
        if !wanted {
            *hub.held_lease.borrow_mut() = None;
            continue;
        }
        let holds = publish_lease(&hub, &lease);
        if holds {
            start_updates(&hub, &lease, &running);
        }
    }
}

/// Sets the lease that the reports to peers name. Returns whether this process holds it.
fn publish_lease(hub: &Hub, lease: &RefCell<Lease>) -> bool {
    let lease = lease.borrow();
    let held = lease.held_record(clock::since_boot());
    *hub.held_lease.borrow_mut() = held.map(|(revision, record)| (revision, record.clone()));
    held.is_some()
}

/// Reads or writes the lease in the store if its next step asks for that.
async fn advance_lease(hub: &Rc<Hub>, lease: &RefCell<Lease>) {
    let rank = lease_rank(hub);
    let step = lease.borrow_mut().step(clock::since_boot(), rank);
    let (record, expected) = match step {
        Step::Wait => return,
        Step::Read => {
            match hub.store.read_lease(&hub.metrics).await {
                Ok((era, object)) => {
                    log_read_lease(era, object.as_ref());
                    lease.borrow_mut().observe(clock::since_boot(), era, object);
                }
                Err(error) => log::info!("the lease on weight orders cannot be read: {error}"),
            }
            return;
        }
        Step::Create(record) => (record, None),
        Step::Replace(revision, record) => (record, Some(revision)),
    };
    let written = hub.store.write_lease(&hub.metrics, &record, expected).await;
    lease
        .borrow_mut()
        .record_write(clock::since_boot(), written);
    if matches!(written, Written::Refused | Written::Unknown) {
        abandon_lease(hub, lease);
    }
    let result = match written {
        Written::Done(_) => "held",
        Written::Conflict => "conflict",
        Written::Refused => "refused",
        Written::Unknown => "unknown",
    };
    log::info!(fence = u64::from(record.fence), renewal = record.renewal, rank, result; "lease on weight orders written");
}

fn log_read_lease(era: Era, object: Option<&(Revision, Record)>) {
    match object {
        Some((revision, record)) => {
            log::info!(era, revision = revision.number(), holder = record.holder.as_str(),
                fence = u64::from(record.fence), renewal = record.renewal;
                "lease on weight orders read");
        }
        None => log::info!(era; "lease on weight orders read: the store has none"),
    }
}

/// Releases the lease if this process holds it.
async fn release_lease(hub: &Rc<Hub>, lease: &RefCell<Lease>) {
    let step = lease.borrow_mut().release(clock::since_boot());
    if let Step::Replace(revision, record) = step {
        let written = hub
            .store
            .write_lease(&hub.metrics, &record, Some(revision))
            .await;
        log::info!(fence = u64::from(record.fence), result:? = written; "lease on weight orders given up");
        hub.report_now.notify_one();
    }
}

/// Abandons the lease when this host cannot reach the store to renew it.
fn abandon_lease(hub: &Hub, lease: &RefCell<Lease>) {
    let cut_off = !hub.state.borrow().servers_feed.is_connected();
    if !cut_off {
        return;
    }
    if let Some(fence) = lease.borrow_mut().abandon(clock::since_boot()) {
        log::warn!(fence = u64::from(fence); "lease on weight orders abandoned: the store cannot be reached");
        *hub.held_lease.borrow_mut() = None;
    }
}

/// Tells other hosts that this one has abandoned its lease, once its last order has been answered, so that another host
/// can take it over at once.
fn publish_abandoned(hub: &Hub, lease: &RefCell<Lease>) {
    if let Some(fence) = lease.borrow_mut().take_abandoned() {
        log::info!(fence = u64::from(fence); "abandoned lease on weight orders is free for other hosts");
        lease.borrow_mut().observe_abandoned(fence);
        hub.abandoned_fence
            .set(hub.abandoned_fence.get().max(Some(fence)));
        hub.report_now.notify_one();
    }
}

/// An order that has been sent and not answered.
struct OpenOrder<'a>(&'a RefCell<Lease>);

impl<'a> OpenOrder<'a> {
    /// Returns `None` if this process does not hold the lease with the fencing token of the order.
    fn begin(lease: &'a RefCell<Lease>, fence: Fence) -> Option<Self> {
        let holds = lease.borrow_mut().begin_order(clock::since_boot(), fence);
        holds.then_some(Self(lease))
    }
}

impl Drop for OpenOrder<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().end_order();
    }
}

/// Returns the number of live hosts that try for the lease before this one.
fn lease_rank(hub: &Hub) -> u32 {
    let local_address = hub.settings.borrow().listen.front.ip();
    let state = hub.state.borrow();
    let hosts = state.hosts.iter().filter(|(_, host)| !host.stopping);
    let before = hosts
        .filter(|(address, _)| **address < local_address)
        .count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

fn start_updates(hub: &Rc<Hub>, lease: &Rc<RefCell<Lease>>, running: &Rc<RefCell<Vec<ServerKey>>>) {
    let due = {
        let state = hub.state.borrow();
        let load = |server: &Server| server.load.active + state.peers.total(server.key).active;
        let running = running.borrow();
        weights::next_updates(hub.now(), &state.directory, &state.versions, &running, load)
    };
    for update in due {
        running.borrow_mut().push(update.server);
        let (hub, lease, running) = (Rc::clone(hub), Rc::clone(lease), Rc::clone(running));
        tokio::task::spawn_local(async move {
            updates::announce(&hub, &update, false);
            sleep(ANNOUNCEMENT_PAUSE).await;
            let result = timeout(MAX_UPDATE_TIME, update_server(&hub, &lease, &update)).await;
            let result = result.unwrap_or("took too long");
            finish_update(&hub, &update, result).await;
            running
                .borrow_mut()
                .retain(|server| *server != update.server);
            hub.weights_changed.notify_one();
        });
    }
}

async fn finish_update(hub: &Hub, update: &Update, result: &str) {
    hub.metrics.orders.with_label_values(&[result]).inc();
    log::info!(server = hub.state.borrow().directory.name(update.server),
        model = update.model.as_str(), version = update.version, result;
        "weights update ended");
    updates::announce(hub, update, true);
    if result != "done" {
        updates::forget(hub, update);
        sleep(FAILED_UPDATE_PAUSE).await;
    }
}

/// Returns whether this process holds the lease with a fencing token.
fn holds(lease: &RefCell<Lease>, fence: Fence) -> bool {
    lease.borrow().held_fence(clock::since_boot()) == Some(fence)
}

/// Orders one server to load a weights version and waits until it serves it. Returns the result for logs and metrics.
async fn update_server(hub: &Rc<Hub>, lease: &RefCell<Lease>, update: &Update) -> &'static str {
    // The number of accepted orders in the report before the last order, and when that order was sent.
    let mut sent: Option<(u64, Instant)> = None;
    loop {
        let Some((address, name)) = update_target(hub, update.server) else {
            return "server gone";
        };
        if serves_version(hub, update) {
            return "done";
        }
        if !hub.accepts_call(update.server, Call::Report) {
            sleep(VERSION_CHECK_PERIOD).await;
            continue;
        }
        let report = match read_report(hub, update.server, address, &name).await {
            Ok(Some(report)) => report,
            Ok(None) => {
                sleep(REPORT_PERIOD).await;
                continue;
            }
            Err(result) => return result,
        };
        for (model, version) in &report.weights {
            hub.learn_version(update.server, model, *version, "report");
        }
        if serves_version(hub, update) {
            return "done";
        }
        let awaited = sent.is_some_and(|(count, at)| {
            report.accepted_orders <= count && at.elapsed() < MAX_ENGINE_REPORT_AGE + REPORT_PERIOD
        });
        if report.busy || awaited || sent.is_some_and(|(count, _)| report.accepted_orders > count) {
            if !report.busy && sent.is_some_and(|(_, at)| at.elapsed() > MAX_UPDATE_TIME / 2) {
                return "order without effect";
            }
            wait_for_version(hub, update, REPORT_PERIOD).await;
            continue;
        }
        let Some(fence) = lease.borrow().held_fence(clock::since_boot()) else {
            return "lease lost";
        };
        let holder = hub.settings.borrow().host.clone();
        let order = engine::order(&Order {
            model: &update.model,
            version: update.version,
            runs: weights::RUNS_DURING_UPDATE,
            holder: &holder,
            fence: fence.into(),
            expected_orders: report.accepted_orders,
        });
        let sent_at = Instant::now();
        let answer = call_engine(
            hub,
            update.server,
            address,
            &name,
            engine::ORDER_METHOD,
            order,
            || OpenOrder::begin(lease, fence),
        )
        .await;
        let reply = match answer {
            Ok((status, _)) => engine::reply(status),
            Err(Error::NotSent) if !holds(lease, fence) => return "lease lost",
            Err(Error::NotSent) => {
                mark_unreachable(hub, update.server);
                return "unreachable";
            }
            Err(Error::Broken(_) | Error::Timeout) => Reply::Unknown,
        };
        log::info!(server = name.as_str(), version = update.version, fence = u64::from(fence),
            expected_orders = report.accepted_orders, reply:? = reply; "weight order sent");
        match reply {
            Reply::Accepted => {
                sent = Some((report.accepted_orders, sent_at));
                wait_for_version(hub, update, FIRST_REPORT_WAIT).await;
            }
            Reply::Holds => {
                hub.learn_version(update.server, &update.model, update.version, "order");
                return "done";
            }
            // The next report settles whether the order was accepted.
            Reply::Unknown => {
                sent = Some((report.accepted_orders, sent_at));
                sleep(MAX_ENGINE_REPORT_AGE).await;
            }
            Reply::Conflict => sleep(REPORT_PERIOD).await,
            Reply::FencedOff => {
                lease.borrow_mut().mark_fenced_off(fence);
                return "fenced off";
            }
            Reply::OtherServer => return "other server",
            Reply::Invalid => return "invalid",
        }
    }
}

/// Reads a server's report. Returns `None` if another try may succeed, and the update's result as error otherwise.
async fn read_report(
    hub: &Rc<Hub>,
    server: ServerKey,
    address: SocketAddr,
    name: &str,
) -> Result<Option<Report>, &'static str> {
    match call_engine(
        hub,
        server,
        address,
        name,
        Method::GET,
        Bytes::new(),
        || Some(()),
    )
    .await
    {
        Ok((status, body)) if status.is_success() => match engine::report(&body) {
            Ok(report) => Ok(Some(report)),
            Err(error) => {
                log::warn!(server = name; "report cannot be read: {error}");
                Err("unreadable report")
            }
        },
        Ok((StatusCode::MISDIRECTED_REQUEST, _)) => Err("other server"),
        Ok((status, _)) => {
            log::info!(server = name, status = status.as_u16(); "report refused");
            Ok(None)
        }
        Err(Error::NotSent) => {
            mark_unreachable(hub, server);
            Err("unreachable")
        }
        Err(error) => {
            log::info!(server = name; "no report: {error}");
            Ok(None)
        }
    }
}

/// Waits until the server is known to serve the version, or the time limit has passed. Its entry in the store shows the
/// version.
async fn wait_for_version(hub: &Hub, update: &Update, time_limit: Duration) {
    let until = Instant::now() + time_limit;
    while Instant::now() < until && !serves_version(hub, update) {
        sleep(VERSION_CHECK_PERIOD).await;
    }
}

fn serves_version(hub: &Hub, update: &Update) -> bool {
    let state = hub.state.borrow();
    let server = state.directory.get(update.server);
    let version = server.and_then(|server| server.entry.version(&update.model));
    version.is_some_and(|version| version >= update.version)
}

fn update_target(hub: &Hub, server: ServerKey) -> Option<(SocketAddr, jaystand_types::ServerName)> {
    let state = hub.state.borrow();
    let server = state
        .directory
        .get(server)
        .filter(|server| server.takes_work())?;
    Some((server.entry.address, server.entry.name.clone()))
}

fn mark_unreachable(hub: &Hub, server: ServerKey) {
    let now = hub.now();
    if let Some(server) = hub.state.borrow_mut().directory.get_mut(server) {
        server.health.observe(now, Outcome::Unreachable);
    }
}

/// Makes one call to an engine: GET reads its report, any other method sends an order. `begin` is called right before the
/// request is sent. Nothing is sent if it returns `None`; otherwise its value is kept until the call has ended.
async fn call_engine<T>(
    hub: &Rc<Hub>,
    server: ServerKey,
    address: SocketAddr,
    name: &str,
    method: Method,
    body: Bytes,
    begin: impl FnOnce() -> Option<T>,
) -> Result<(StatusCode, Bytes), Error> {
    let (path, purpose) = if method == Method::GET {
        (engine::REPORT_PATH, Call::Report)
    } else {
        (engine::ORDER_PATH, Call::Order)
    };
    while !hub.accepts_call(server, purpose) {
        sleep(VERSION_CHECK_PERIOD).await;
    }
    // Declared before the connection, so that it is dropped after the connection.
    let open;
    let mut pooled = match hub.pool.acquire(server, address, ANSWER_TIMEOUT).await {
        Ok(pooled) => pooled,
        Err(error) => {
            log::info!(server = name; "cannot connect for an order: {error}");
            return Err(Error::NotSent);
        }
    };
    // The process may have been paused while it connected, and the lease may have run out.
    open = begin();
    if open.is_none() {
        log::warn!(server = name; "the lease on weight orders has run out; nothing is sent");
        hub.return_connection(pooled, None).await;
        return Err(Error::NotSent);
    }
    let headers = match engine::headers(name, &address.to_string()) {
        Ok(headers) => headers,
        Err(error) => {
            log::error!(server = name; "cannot build a call: {error}");
            return Err(Error::NotSent);
        }
    };
    hub.take_call(server, purpose);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = http::Uri::from_static(path);
    *request.headers_mut() = headers;
    let connection = &mut pooled.connection;
    let exchange = connection.exchange(request, &hub.buffers, MAX_REPORT_BYTES);
    match timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => {
            let status = answer.status();
            hub.observe_response_head(server, name, status, answer.headers(), Origin::Unnamed);
            let body = answer.into_body();
            if body.is_some() {
                hub.return_connection(pooled, None).await;
            }
            Ok((status, body.unwrap_or_default()))
        }
        Ok(Err(error)) => Err(error),
        Err(_) => {
            hub.pool.close_idle(server);
            Err(Error::Timeout)
        }
    }
}
