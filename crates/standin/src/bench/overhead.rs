//! `overhead`: measures the latency that one daemon adds to a small request, and its throughput.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use clap::Args;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, client::conn::http1::SendRequest};
use hyper_util::rt::TokioIo;
use jaystand_standin::fleet::Deployment;
use serde_json::json;
use tokio::net::TcpStream;

use super::{
    cluster::Cluster,
    measure::{histogram, percentile, record},
};

/// Consecutive requests on one path (direct or routed) before the other has its turn, so that other load on the machine
/// affects both alike.
const REQUESTS_PER_BLOCK: u32 = 200;

/// Measures the overhead of a daemon.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Requests to each side, one after the other.
    #[arg(long, default_value_t = 4000)]
    requests: u32,
    /// Connections of the throughput part.
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Seconds of the throughput part.
    #[arg(long, default_value_t = 3)]
    seconds: u64,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    body: Bytes,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

impl Connection {
    async fn open(address: SocketAddr, body: Bytes) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            address,
            body,
        })
    }

    async fn call(&mut self) -> io::Result<Duration> {
        let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let request = Request::post("/v1/chat/completions")
            .header("host", self.address.to_string())
            .header(
                "authorization",
                format!("Bearer {}", Deployment::team_key(0)),
            )
            .header("x-request-kind", "permit-check")
            .header("x-request-id", format!("{id:016x}"))
            .header("content-type", "application/json")
            .body(Full::new(self.body.clone()))
            .map_err(io::Error::other)?;
        let began = Instant::now();
        self.sender.ready().await.map_err(io::Error::other)?;
        let response = self
            .sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        let took = began.elapsed();
        if status.is_success() {
            return Ok(took);
        }
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        Err(io::Error::other(format!("{status}: {text}")))
    }
}

pub(crate) async fn overhead(options: Options) -> io::Result<bool> {
    let deployment = Deployment {
        engines: 1,
        services: 1,
        ..Deployment::cumbre()
    };
    let cluster = Cluster::start(deployment, 1, "jaystand", 1, |_, settings| {
        settings.slots = 256;
        settings.step = Duration::ZERO;
        settings.step_per_request = Duration::ZERO;
        settings.prefill_per_token = Duration::ZERO;
    })
    .await?;
    let body = json!({
        "model": cluster.fleet.deployment.model,
        "stream": false,
        "max_tokens": 4,
        "messages": [{"role": "user", "content": "Is permit 4711 valid today?"}],
    });
    let body = Bytes::from(body.to_string());
    let direct = cluster.fleet.engines[0].address();
    let routed = cluster.entries[0].callers;
    let (direct_times, routed_times) = measure_latencies(&options, direct, routed, &body).await?;
    for (name, times) in [
        ("direct", &direct_times),
        ("through one daemon", &routed_times),
    ] {
        println!(
            "{name:<20} median {:>8.1} us   p99 {:>8.1} us   ({} requests, one at a time, keep-alive)",
            percentile(times, 50.0) * 1000.0,
            percentile(times, 99.0) * 1000.0,
            times.len(),
        );
    }
    let added = percentile(&routed_times, 50.0) - percentile(&direct_times, 50.0);
    println!(
        "{:<20} median {:>8.1} us",
        "added by the daemon",
        added * 1000.0
    );
    let (direct_rate, _) = measure_throughput(&options, direct, &body, None).await?;
    println!(
        "direct, {} connections: {direct_rate:.0} requests/s",
        options.connections
    );
    let (rate, core) = measure_throughput(&options, routed, &body, Some(&cluster)).await?;
    println!(
        "through one daemon, {} connections: {rate:.0} requests/s, {:.0} requests per second of the daemon's \
         processor time, {core:.2} cores busy",
        options.connections,
        rate / core.max(0.001),
    );
    cluster.shut_down().await;
    Ok(true)
}

async fn measure_latencies(
    options: &Options,
    direct: SocketAddr,
    routed: SocketAddr,
    body: &Bytes,
) -> io::Result<(Histogram<u64>, Histogram<u64>)> {
    let mut sides = [
        (Connection::open(direct, body.clone()).await?, histogram()),
        (Connection::open(routed, body.clone()).await?, histogram()),
    ];
    for (connection, _) in &mut sides {
        for _ in 0..REQUESTS_PER_BLOCK {
            connection.call().await?;
        }
    }
    for _ in 0..options.requests.div_ceil(REQUESTS_PER_BLOCK) {
        for (connection, times) in &mut sides {
            for _ in 0..REQUESTS_PER_BLOCK {
                record(times, connection.call().await?);
            }
        }
    }
    let [(_, direct), (_, routed)] = sides;
    Ok((direct, routed))
}

/// Returns the requests per second, and the daemon's processor time per second (0 without a cluster).
async fn measure_throughput(
    options: &Options,
    address: SocketAddr,
    body: &Bytes,
    cluster: Option<&Cluster>,
) -> io::Result<(f64, f64)> {
    let done = Arc::new(AtomicU64::new(0));
    let length = Duration::from_secs(options.seconds);
    let processor_time = async || match cluster {
        Some(cluster) => cluster.processor_time(0).await,
        None => Duration::ZERO,
    };
    let before = processor_time().await;
    let began = Instant::now();
    let workers = (0..options.connections).map(|_| {
        let (done, body) = (Arc::clone(&done), body.clone());
        tokio::spawn(async move {
            let mut connection = Connection::open(address, body).await?;
            while began.elapsed() < length {
                connection.call().await?;
                done.fetch_add(1, Ordering::Relaxed);
            }
            io::Result::Ok(())
        })
    });
    for worker in futures::future::join_all(workers).await {
        worker.map_err(io::Error::other)??;
    }
    let seconds = began.elapsed().as_secs_f64();
    let core = processor_time().await.saturating_sub(before).as_secs_f64() / seconds;
    let done = u32::try_from(done.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
    Ok((f64::from(done) / seconds, core))
}
