//! The `admin` plug-in: a listener that serves health, metrics and the admin API.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use jaystand_kernel::{
    Kernel,
    plugin::{Running, Stage, StartResult},
};
use miette::miette;
use tokio::net::TcpListener;

use crate::{Listeners, api, hub::Hub, metrics::Metrics, settings::Settings};

/// An HTTP response of the admin listener.
pub type Answer = Response<Full<Bytes>>;

jaystand_kernel::register!("admin", Stage::Admin, start);

async fn start(kernel: Kernel) -> StartResult {
    let settings = kernel.require::<Settings>()?;
    let metrics = Metrics::new(kernel.metrics())
        .map_err(|error| miette!("the metrics cannot be registered: {error}"))?;
    kernel.provide(Arc::new(metrics));
    let address = settings.listen.admin;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| miette!("listen.admin: cannot listen on {address}: {error}"))?;
    *kernel.require::<Listeners>()?.admin.lock() = listener.local_addr().ok();
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn(accept(listener, kernel));
    Ok(Running::with_shutdown(
        async move { tasks.shutdown().await },
    ))
}

/// Accepts connections and serves each one in its own task.
async fn accept(listener: TcpListener, kernel: Kernel) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        let kernel = kernel.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let kernel = kernel.clone();
                async move { Ok::<_, Infallible>(route(&kernel, request).await) }
            });
            let mut builder = auto::Builder::new(TokioExecutor::new());
            builder.http1().timer(TokioTimer::new());
            let served = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("an admin connection ended: {error}");
            }
        });
    }
}

async fn route(kernel: &Kernel, request: Request<Incoming>) -> Answer {
    match request.uri().path() {
        "/livez" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" => readiness(kernel),
        "/metrics" => metrics(kernel),
        path if path.starts_with("/v1/") => api::answer(kernel, request).await,
        _ => text_response(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// Answers `ok`, or lists why the daemon is not ready.
fn readiness(kernel: &Kernel) -> Answer {
    let reasons = kernel.lifecycle().not_ready_reasons();
    if reasons.is_empty() {
        return text_response(StatusCode::OK, "ok\n");
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, reasons.join("\n") + "\n")
}

/// Renders all metrics as text.
fn metrics(kernel: &Kernel) -> Answer {
    if let (Ok(hub), Ok(metrics)) = (kernel.require::<Hub>(), kernel.require::<Metrics>()) {
        metrics.set_in_flight(hub.in_flight());
    }
    let families = kernel.metrics().gather();
    match prometheus::TextEncoder::new().encode_to_string(&families) {
        Ok(rendered) => text_response(StatusCode::OK, rendered),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}
