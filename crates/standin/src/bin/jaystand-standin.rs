//! Runs one stand-in as its own process.
//!
//! Prints the addresses of the stand-in and of the control server as one JSON line. On the control address,
//! `PUT /faults` replaces the fault switches, `GET /faults` and `GET /records` return switches and records, and
//! `POST /silence`, `/crash`, `/restart` and `/stop` act on the stand-in's connections and state.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use clap::{Args, Parser, Subcommand};
use compact_str::CompactString;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    Method, Request, Response, StatusCode, body::Bytes, body::Incoming, service::service_fn,
};
use hyper_util::rt::TokioIo;
use jaystand_standin::{Handle, Standin, engine, ledger, platform, service};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::net::TcpListener;

#[derive(Debug, Parser)]
#[command(version, about = "Runs one stand-in for something outside the system")]
struct Options {
    /// Where the stand-in listens; port 0 picks a free one.
    #[arg(long, default_value = "127.0.0.1:0", global = true)]
    listen: SocketAddr,
    /// Where faults and records are served.
    #[arg(long, default_value = "127.0.0.1:0", global = true)]
    control: SocketAddr,
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// An engine.
    Engine(Engine),
    /// A plain service that echoes.
    Service {
        /// Time for one answer.
        #[arg(long, default_value_t = 2)]
        latency_ms: u64,
    },
    /// A ledger that counts executions by idempotency key.
    Ledger {
        /// Time for one execution.
        #[arg(long, default_value_t = 2)]
        latency_ms: u64,
        /// Answer a repeated key with the first answer.
        #[arg(long)]
        checks_keys: bool,
    },
    /// The platform's object API.
    Platform {
        /// Time for one answer.
        #[arg(long, default_value_t = 2)]
        latency_ms: u64,
        /// Seed of the random faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Debug, Args)]
struct Engine {
    /// Model that it serves.
    #[arg(long, default_value = "model")]
    model: CompactString,
    /// Weights version at start.
    #[arg(long, default_value = "v1")]
    weights_version: CompactString,
    /// Requests that run at once.
    #[arg(long, default_value_t = 16)]
    slots: usize,
    /// Blocks that the prefix cache holds.
    #[arg(long, default_value_t = 4096)]
    cache_blocks: usize,
    /// Time of one step with an empty batch.
    #[arg(long, default_value_t = 5000)]
    step_us: u64,
    /// Added to a step for each running request.
    #[arg(long, default_value_t = 250)]
    step_per_request_us: u64,
    /// Added to a step for each prompt token that it computes.
    #[arg(long, default_value_t = 100)]
    prefill_per_token_us: u64,
    /// Ignore the fencing number of orders.
    #[arg(long)]
    ignore_fencing: bool,
    /// Seed of incarnations and random faults; random by default, so that incarnations differ.
    #[arg(long)]
    seed: Option<u64>,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let options = Options::parse();
    let address = options.listen;
    let outcome = match options.kind {
        Kind::Engine(arguments) => {
            serve_control(
                engine::start(arguments.into_settings(address)),
                options.control,
            )
            .await
        }
        Kind::Service { latency_ms } => {
            let latency = Duration::from_millis(latency_ms);
            let settings = service::Settings { address, latency };
            serve_control(service::start(settings), options.control).await
        }
        Kind::Ledger {
            latency_ms,
            checks_keys,
        } => {
            let settings = ledger::Settings {
                address,
                latency: Duration::from_millis(latency_ms),
                checks_keys,
            };
            serve_control(ledger::start(settings), options.control).await
        }
        Kind::Platform { latency_ms, seed } => {
            let settings = platform::Settings {
                address,
                latency: Duration::from_millis(latency_ms),
                seed,
                ..platform::Settings::default()
            };
            serve_control(platform::start(settings), options.control).await
        }
    };
    outcome.map_err(|error| miette::miette!("{error}; check --listen and --control"))
}

impl Engine {
    fn into_settings(self, address: SocketAddr) -> engine::Settings {
        engine::Settings {
            address,
            model: self.model,
            weights_version: self.weights_version,
            slots: self.slots,
            cache_blocks: self.cache_blocks,
            step: Duration::from_micros(self.step_us),
            step_per_request: Duration::from_micros(self.step_per_request_us),
            prefill_per_token: Duration::from_micros(self.prefill_per_token_us),
            fencing: !self.ignore_fencing,
            seed: self.seed.unwrap_or_else(rand::random),
            ..engine::Settings::default()
        }
    }
}

/// Serves the control address of a started stand-in until Ctrl-C.
async fn serve_control<S>(started: io::Result<Handle<S>>, control: SocketAddr) -> io::Result<()>
where
    S: Standin<Faults: Serialize + DeserializeOwned, Record: Serialize>,
{
    let handle = Arc::new(started?);
    let listener = TcpListener::bind(control).await?;
    let control = listener.local_addr()?;
    println!(
        "{}",
        json!({"address": handle.address(), "control": control})
    );
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted?.0,
            _ = tokio::signal::ctrl_c() => return Ok(()),
        };
        let handle = Arc::clone(&handle);
        let service = service_fn(move |request| respond(Arc::clone(&handle), request));
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(connection);
    }
}

async fn respond<S>(
    handle: Arc<Handle<S>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error>
where
    S: Standin<Faults: Serialize + DeserializeOwned, Record: Serialize>,
{
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let body = request.into_body().collect().await?.to_bytes();
    let (status, value) = match (method, path.as_str()) {
        (Method::GET, "/records") => (StatusCode::OK, json!(handle.records())),
        (Method::GET, "/faults") => (StatusCode::OK, json!(handle.faults())),
        (Method::PUT, "/faults") => replace_faults(&handle, &body),
        (Method::POST, action) => perform_action(&handle, action).await,
        _ => (StatusCode::NOT_FOUND, json!({"error": "no such path"})),
    };
    let mut response = Response::new(Full::from(value.to_string()));
    *response.status_mut() = status;
    Ok(response)
}

fn replace_faults<S>(handle: &Handle<S>, body: &[u8]) -> (StatusCode, Value)
where
    S: Standin<Faults: Serialize + DeserializeOwned>,
{
    match serde_json::from_slice(body) {
        Ok(faults) => {
            handle.set_faults(faults);
            (StatusCode::OK, json!(handle.faults()))
        }
        Err(error) => (StatusCode::BAD_REQUEST, json!({"error": error.to_string()})),
    }
}

async fn perform_action<S: Standin>(handle: &Handle<S>, action: &str) -> (StatusCode, Value) {
    match action {
        "/silence" => handle.silence_existing(),
        "/crash" => handle.crash().await,
        "/stop" => handle.stop().await,
        "/restart" => {
            if let Err(error) = handle.restart() {
                let error = error.to_string();
                return (StatusCode::CONFLICT, json!({"error": error}));
            }
        }
        _ => return (StatusCode::NOT_FOUND, json!({"error": "no such action"})),
    }
    (StatusCode::OK, json!({"done": action}))
}
