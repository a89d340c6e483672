//! Starts the tasks of the process, and stops the process in order.

use std::{net::SocketAddr, path::PathBuf, rc::Rc, time::Duration};

use jaystand_dispatch::directory::Server;
use jaystand_types::{DataCentre, Moment};
use miette::{Context as _, IntoDiagnostic as _};
use rand::seq::IndexedRandom as _;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    task::spawn_local,
    time::{Instant, sleep},
};

use crate::{
    clock, copy, feed, front,
    hub::{Hub, Kind, whole_ms},
    logs,
    metrics::Metrics,
    news, orders, peer, quota,
    settings::Settings,
    socket, stores, supervise, waiting,
};

/// How often idle connections, missing servers and dropped log lines are checked.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(500);
/// The process ends this long before it would be killed, so that its last log lines are written.
const END_MARGIN: Duration = Duration::from_millis(150);
/// Time allowed for a connection to a data centre in doubt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a stopping process checks whether its last request has ended.
const STOP_PERIOD: Duration = Duration::from_millis(50);
/// If the clock that also runs while the host is suspended gains more than this on the other clock, the host was
/// suspended.
const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// Starts the log.
///
/// # Errors
/// Fails when standard output cannot be prepared, or a logger is installed already.
pub fn start_logging(settings: &Settings) -> miette::Result<()> {
    let bucket = logs::Bucket::new(settings.log_lines);
    let output: Box<dyn std::io::Write + Send> = Box::new(logs::Output::open().into_diagnostic()?);
    supervise::log_panics();
    jaystand_kernel::install_logging_with(
        settings.host.as_str(),
        settings.log_level,
        move |metadata| bucket.try_take(metadata.level()),
        output,
    )?;
    Ok(())
}

/// Runs the gateway until it is asked to stop.
///
/// # Errors
/// Fails when an address cannot be listened on.
pub async fn run(settings: Settings, path: PathBuf) -> miette::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    run_until(settings, path, async move {
        terminate.recv().await;
    })
    .await
}

/// Runs the gateway until the future ends, and then stops it as if it had been asked to.
///
/// # Errors
/// Fails when an address cannot be listened on.
pub async fn run_until(
    settings: Settings,
    path: PathBuf,
    asked_to_stop: impl Future<Output = ()>,
) -> miette::Result<()> {
    // A signal that arrives before its handler is installed would end the process.
    let mut hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    let incarnation = rand::random();
    let metrics = Metrics::new().into_diagnostic()?;
    let hub = Rc::new(Hub::new(settings.clone(), metrics, incarnation));

    let peer_address = (settings.listen.front.ip(), settings.peer_port);
    let socket = UdpSocket::bind(peer_address).await;
    let socket = Rc::new(socket.into_diagnostic().wrap_err_with(|| {
        format!(
            "reports cannot be received at {}",
            SocketAddr::from(peer_address)
        )
    })?);
    let copies = listen(peer_address.into(), "copies")?;
    let ready = listen(settings.listen.ready, "readiness")?;
    let callers = listen(settings.listen.front, "callers")?;
    let receiving_socket = Rc::clone(&socket);
    hub.spawn_supervised("reports received", move |hub| {
        peer::receive_reports(hub, Rc::clone(&receiving_socket))
    });
    hub.spawn_supervised("reports sent", move |hub| {
        peer::send_reports(hub, Rc::clone(&socket))
    });
    hub.spawn_supervised("copies for others", move |hub| {
        copy::serve(hub, Rc::clone(&copies))
    });
    hub.spawn_supervised("copies of others", copy::follow);
    hub.spawn_supervised("peers watched", peer::fetch_copies);
    let confirmation_period = hub.state.borrow().proof.read_period();
    if let Some(period) = confirmation_period {
        hub.spawn_supervised("proof of the configuration", move |hub| {
            feed::confirm_config(hub, period)
        });
    }
    hub.spawn_supervised("era of the store", feed::check_era);
    for kind in [Kind::Config, Kind::Servers, Kind::Weights] {
        hub.spawn_supervised(kind.as_str(), move |hub| feed::follow(hub, kind));
    }
    hub.spawn_supervised("readiness", move |hub| {
        front::serve_readiness(hub, Rc::clone(&ready))
    });
    hub.spawn_supervised("callers", move |hub| {
        front::accept(hub, Rc::clone(&callers))
    });
    if let Some(address) = settings.listen.metrics {
        let listener = listen(address, "metrics")?;
        hub.spawn_supervised("metrics", move |hub| {
            front::serve_metrics(hub, Rc::clone(&listener))
        });
    }
    hub.spawn_supervised("waiting requests", waiting::run);
    hub.spawn_supervised("weight orders", orders::run);
    hub.spawn_supervised("news of engines", news::listen);
    hub.spawn_supervised("stores of kept parts", stores::watch);
    hub.spawn_supervised("housekeeping", run_housekeeping);
    log::info!(version = env!("CARGO_PKG_VERSION"), incarnation, front:% = settings.listen.front;
        "started");

    let mut asked_to_stop = std::pin::pin!(asked_to_stop);
    loop {
        tokio::select! {
            () = asked_to_stop.as_mut() => break,
            _ = hangup.recv() => reload(&hub, &path),
        }
    }
    // The settings may change right before the stop, and while it lasts.
    let mut stop = std::pin::pin!(stop(&hub));
    loop {
        tokio::select! {
            () = stop.as_mut() => return Ok(()),
            _ = hangup.recv() => reload(&hub, &path),
        }
    }
}

fn listen(address: SocketAddr, purpose: &str) -> miette::Result<Rc<TcpListener>> {
    front::listen(address)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot listen at {address} for {purpose}"))
}

/// Reads the settings again. Only the log level, the seeds and the grace period are replaced.
fn reload(hub: &Hub, path: &std::path::Path) {
    match Settings::read(path) {
        Ok(settings) => {
            jaystand_kernel::set_log_level(settings.log_level);
            let mut current = hub.settings.borrow_mut();
            if current.listen.front != settings.listen.front || current.store != settings.store {
                log::warn!("changed addresses take effect at the next start");
            }
            current.seeds = settings.seeds;
            current.grace = settings.grace;
            log::info!("settings read again");
        }
        Err(error) => {
            log::error!("settings cannot be read again, the former ones stay: {error}");
        }
    }
}

/// Announces the stop, then waits until all requests have ended or the grace period is nearly over. The grace period is the
/// one in force, by which requests are admitted as well.
async fn stop(hub: &Hub) {
    let started = Instant::now();
    let grace = || hub.settings.borrow().grace;
    log::info!(open = hub.open_requests.get(), grace_ms = whole_ms(grace()); "asked to stop");
    hub.stop_requested_at.set(Some(hub.now()));
    hub.stopping.send_replace(true);
    // Wakes the held queries of followers, so that they look for another host.
    hub.state.borrow().entries.wake_waiters();
    hub.report_now.notify_one();
    // Until the platform notices the stop, it sends new connections, which are still served.
    let min_wait = front::CLOSE_IDLE_AFTER + STOP_PERIOD;
    while started.elapsed() < grace().saturating_sub(END_MARGIN) {
        sleep(STOP_PERIOD).await;
        if started.elapsed() >= min_wait && hub.open_requests.get() == 0 {
            break;
        }
    }
    log::info!(open = hub.open_requests.get(), took_ms = whole_ms(started.elapsed()); "stopped");
    hub.ended.set(true);
}

/// Tries to connect to one server of each data centre in doubt, so that the data centre is used again once it answers.
fn probe_data_centres(hub: &Rc<Hub>, now: Moment) {
    let targets: Vec<(DataCentre, SocketAddr)> = {
        let state = hub.state.borrow();
        let doubtful = state.reach.doubtful_data_centres(now);
        doubtful
            .filter_map(|data_centre| {
                let inside = |server: &&Server| server.entry.data_centre == *data_centre;
                let servers: Vec<_> = state.directory.iter().filter(inside).collect();
                let server = servers.choose(&mut rand::rng())?;
                Some((data_centre.clone(), server.entry.address))
            })
            .collect()
    };
    for (data_centre, address) in targets {
        let hub = Rc::clone(hub);
        spawn_local(async move {
            let reached = socket::connect(address, PROBE_TIMEOUT, PROBE_TIMEOUT)
                .await
                .is_ok();
            log::info!(data_centre = data_centre.as_str(), reached; "data centre in doubt probed");
            if reached {
                let now = hub.now();
                hub.state
                    .borrow_mut()
                    .reach
                    .record_contact(now, &data_centre);
            }
        });
    }
}

/// Logs when keys stop being accepted because the configuration wasn't confirmed, and when they are accepted again.
/// Returns whether they are accepted.
fn log_key_acceptance(hub: &Hub, accepted_before: bool) -> bool {
    let accepted = hub.accepts_keys();
    let state = hub.state.borrow();
    let confirmed = state.proof.newest();
    let age_ms = confirmed.map(|(_, at)| whole_ms(clock::since_boot().saturating_sub(at)));
    match (accepted_before, accepted) {
        (true, false) => {
            log::warn!(age_ms; "keys are refused: the configuration is not proven to be recent");
        }
        (false, true) => log::info!(age_ms; "keys are accepted"),
        _ => {}
    }
    accepted
}

/// Does periodic work: closes idle connections, removes expired servers, probes data centres in doubt, and logs changes
/// of key acceptance, dropped log lines and suspensions.
async fn run_housekeeping(hub: Rc<Hub>) {
    let mut ticks = hub.timer.every(HOUSEKEEPING_PERIOD);
    // Difference between the clock that also runs while the host is suspended and the one that does not. It grows by
    // each suspension.
    let mut offset = clock::since_boot().saturating_sub(hub.now());
    let mut accepted_keys = false;
    loop {
        let now = ticks.tick().await;
        hub.pool.close_expired();
        let gone = {
            let mut state = hub.state.borrow_mut();
            let gone = state.directory.expire(now);
            for name in &gone {
                state.entries.remove_server(name);
            }
            gone
        };
        for name in gone {
            log::info!(server = name.as_str(); "the server's missing entry did not return; the server counts as gone");
        }
        hub.sweep_connections();
        probe_data_centres(&hub, now);
        quota::observe(&hub);
        accepted_keys = log_key_acceptance(&hub, accepted_keys);
        let dropped = logs::take_dropped();
        if dropped > 0 {
            hub.metrics.dropped_lines.inc_by(dropped);
            log::warn!(dropped; "log lines dropped");
        }
        let new_offset = clock::since_boot().saturating_sub(now);
        if new_offset > offset + MIN_SUSPENSION {
            let suspended_ms = whole_ms(new_offset.saturating_sub(offset));
            log::warn!(suspended_ms; "the host was suspended");
        }
        offset = new_offset;
    }
}
