//! The listener and its connections, from accept to graceful close.

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

/// Streams that one HTTP/2 connection may have open.
const MAX_CONCURRENT_STREAMS: u32 = 256;
/// Silent HTTP/2 connections are found by pings at this interval.
const PING_INTERVAL: Duration = Duration::from_secs(20);
/// How long idle connections stay open after the listener has closed: a request that a caller is just sending
/// on one would otherwise be cut.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// Pause after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Quiet time after which the backlog counts as empty.
const BACKLOG_QUIET: Duration = Duration::from_millis(50);

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
        // The accept loop does not panic; if it did, no connection is left to wait for.
        let _ = accepting.await;
        connections.close();
        connections.wait().await;
        background.close();
        background.wait().await;
    }))
}

fn announce(kernel: &Kernel, listener: &TcpListener) -> miette::Result<()> {
    let bound = kernel.require::<Listeners>()?;
    let admin = *bound.admin.lock();
    let announce = bound.announce.lock().take();
    if let (Ok(callers), Some(admin), Some(announce)) = (listener.local_addr(), admin, announce) {
        // Whoever asked may have stopped waiting.
        let _ = announce.send(Addresses { callers, admin });
    }
    Ok(())
}

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
                log::warn!("a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Connections that wait in the backlog would be reset when the listener closes.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(BACKLOG_QUIET, listener.accept()).await {
        connections.spawn(serve(stream, Arc::clone(&entry), stop.clone()));
    }
}

async fn serve(stream: TcpStream, entry: Arc<Entry>, stop: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY was not set: {error}");
    }
    let header_timeout = entry.settings.limits.header_timeout;
    let begun = Arc::new(AtomicBool::new(false));
    let service = {
        let begun = Arc::clone(&begun);
        service_fn(move |request: Request<Incoming>| {
            begun.store(true, Ordering::Relaxed);
            let entry = Arc::clone(&entry);
            async move { Ok::<_, Infallible>(entry.answer(request).await) }
        })
    };
    let builder = builder(header_timeout);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // Until the first bytes show the HTTP version, no timeout of the HTTP library applies.
    let first_request = tokio::time::sleep(header_timeout);
    tokio::pin!(first_request);
    let mut watching = true;
    let result = loop {
        tokio::select! {
            result = connection.as_mut() => break result,
            () = &mut first_request, if watching => {
                if !begun.load(Ordering::Relaxed) {
                    return;
                }
                watching = false;
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
        log::debug!("a caller's connection ended: {error}");
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
