//! Accepts the connections of callers and serves them until they close.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::{Request, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use jaystand_kernel::{
    Kernel,
    plugin::{Running, Stage, StartResult},
};
use miette::miette;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::Entry;
use crate::{
    Addresses, Listeners, claim::Claims, hub::Hub, memory::Memory, metrics::Metrics,
    settings::Settings,
};

/// Maximum number of open streams of an HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 256;
/// Interval of pings that detect dead HTTP/2 connections.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// How long idle connections stay open after the listener has closed. Without this time, a request that a caller is
/// sending at that moment would be lost.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// Delay after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The backlog counts as empty when no connection arrives for this time.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(50);

jaystand_kernel::register!("entry", Stage::Entry, start);

async fn start(kernel: Kernel) -> StartResult {
    let settings = kernel.require::<Settings>()?;
    let address = settings.listen.callers;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| miette!("listen.callers: cannot listen on {address}: {error}"))?;
    announce(&kernel, &listener)?;
    let memory = Arc::new(Memory::default());
    kernel.provide(Arc::clone(&memory));
    let entry = Arc::new(Entry {
        hub: kernel.require::<Hub>()?,
        metrics: kernel.require::<Metrics>()?,
        memory,
        lifecycle: kernel.lifecycle().clone(),
        claims: kernel.require::<Claims>().ok(),
        background: TaskTracker::new(),
        settings,
    });
    let background = entry.background.clone();
    let connections = TaskTracker::new();
    let stop = CancellationToken::new();
    let accepting = tokio::spawn(accept(listener, entry, connections.clone(), stop.clone()));
    Ok(Running::with_shutdown(async move {
        stop.cancel();
        // The accept loop does not panic; if it did, no connection would be left to wait for.
        let _ = accepting.await;
        connections.close();
        connections.wait().await;
        background.close();
        background.wait().await;
    }))
}

/// Sends the bound addresses to whoever started the daemon and waits for them.
fn announce(kernel: &Kernel, listener: &TcpListener) -> miette::Result<()> {
    let bound = kernel.require::<Listeners>()?;
    let admin = *bound.admin.lock();
    let announce = bound.announce.lock().take();
    if let (Ok(callers), Some(admin), Some(announce)) = (listener.local_addr(), admin, announce) {
        // The receiver may have been dropped.
        let _ = announce.send(Addresses { callers, admin });
    }
    Ok(())
}

/// Accepts connections until `stop` is cancelled, then those that are left in the backlog.
async fn accept(
    listener: TcpListener,
    entry: Arc<Entry>,
    connections: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, Arc::clone(&entry), stop.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener would reset the connections in the backlog.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(BACKLOG_TIMEOUT, listener.accept()).await {
        connections.spawn(serve(stream, Arc::clone(&entry), stop.clone()));
    }
}

/// Serves one connection until it closes. After `stop` is cancelled, closes it gracefully.
async fn serve(stream: TcpStream, entry: Arc<Entry>, stop: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
    let header_timeout = entry.settings.limits.header_timeout;
    let request_seen = Arc::new(AtomicBool::new(false));
    let service = {
        let request_seen = Arc::clone(&request_seen);
        service_fn(move |request: Request<Incoming>| {
            request_seen.store(true, Ordering::Relaxed);
            let entry = Arc::clone(&entry);
            async move { Ok::<_, Infallible>(entry.answer(request).await) }
        })
    };
    let builder = builder(header_timeout);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // The header timeout of the HTTP library starts only when the first bytes have shown the HTTP version.
    let first_request_timeout = tokio::time::sleep(header_timeout);
    tokio::pin!(first_request_timeout);
    let mut awaits_first_request = true;
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break result,
            () = &mut first_request_timeout, if awaits_first_request => {
                if !request_seen.load(Ordering::Relaxed) {
                    return;
                }
                awaits_first_request = false;
            }
            () = stop.cancelled() => {
                tokio::select! {
                    result = connection.as_mut() => break result,
                    () = tokio::time::sleep(IDLE_GRACE) => {}
                }
                connection.as_mut().graceful_shutdown();
                break connection.await;
            }
        }
    };
    if let Err(error) = result {
        log::debug!("a caller's connection failed: {error}");
    }
}

fn builder(header_timeout: Duration) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    builder
}
