//! Callers that send requests at a steady rate, on reused and on new connections.

use std::{
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hashbrown::HashMap;
use jaystand_adapter_standin::{
    call::{self, Call, Kind},
    exchange,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::check::{Checker, End, Sent};

/// Probability that a request reuses an idle connection, if there is one.
const REUSE_PROBABILITY: f64 = 0.8;
/// Longest idle time of a connection that is reused: four fifths of what the configuration allows.
const MAX_IDLE: Duration = Duration::from_secs(12);
/// Time allowed to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of requests without a stream.
const PLAIN_DEADLINE: Duration = Duration::from_secs(2);
/// Deadline of streams.
const STREAM_DEADLINE: Duration = Duration::from_secs(4);
/// Time after the deadline that a caller still waits before it reports the connection as silent.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);

/// State that all callers share.
#[derive(Debug)]
pub struct Callers {
    /// Receives what callers send and how it ends.
    pub checker: Arc<Mutex<Checker>>,
    /// Addresses of the gateways that get new requests, kept up to date from their readiness.
    pub ready_gateways: Mutex<Vec<SocketAddr>>,
    /// Key that new requests carry.
    pub key: Mutex<String>,
    /// Start of the run.
    pub started: Instant,
    idle: Mutex<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
}

impl Callers {
    /// Returns callers that have sent no request yet.
    #[must_use]
    pub fn new(checker: Arc<Mutex<Checker>>, started: Instant, key: &str) -> Self {
        Self {
            checker,
            ready_gateways: Mutex::default(),
            key: Mutex::new(key.to_owned()),
            started,
            idle: Mutex::default(),
        }
    }

    /// Sends `requests_per_s` requests a second until the run is `length` old, then waits for the last answers.
    pub async fn run(self: Arc<Self>, seed: u64, requests_per_s: u32, length: Duration) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let interval = Duration::from_secs(1) / requests_per_s;
        let mut calls = Vec::new();
        while self.started.elapsed() < length {
            sleep(interval).await;
            let kind = match random.random_range(0..10) {
                0..3 => Kind::Order,
                3..6 => Kind::Read,
                _ => Kind::Stream,
            };
            let id = format!("{:016x}", random.random::<u64>());
            let selector: u64 = random.random();
            let reuse = random.random_bool(REUSE_PROBABILITY);
            let callers = Arc::clone(&self);
            calls.push(tokio::spawn(async move {
                callers.call(&id, kind, selector, reuse).await;
            }));
        }
        for call in calls {
            call.await.expect("a call does not panic");
        }
    }

    async fn call(&self, id: &str, kind: Kind, selector: u64, reuse: bool) {
        let Some(address) = self.choose_gateway(selector) else {
            return;
        };
        let idle = if reuse { self.take_idle(address) } else { None };
        let stream = match idle {
            Some(stream) => Some(stream),
            None => match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => Some(stream),
                _ => None,
            },
        };
        // Nothing was sent, so nothing is recorded: the platform would try another gateway.
        let Some(mut stream) = stream else {
            return;
        };
        let deadline = match kind {
            Kind::Order | Kind::Read => PLAIN_DEADLINE,
            Kind::Stream => STREAM_DEADLINE,
        };
        let line = format!(
            "POST /{}/{}?n={}",
            call::route_prefix(kind),
            selector % 7,
            selector % 3
        );
        let body = format!("body of {id}");
        let key = self.key.lock().expect("not poisoned").clone();
        let text = Call {
            id,
            kind,
            line: &line,
            body: &body,
            key: &key,
            timeout: deadline,
        }
        .text();
        let sent = Sent {
            kind,
            sent_at: self.started.elapsed(),
            line,
            body,
            team: call::TEAM,
            gateway: address,
        };
        self.checker
            .lock()
            .expect("not poisoned")
            .record_sent(id, sent);
        let end = match timeout(deadline + ANSWER_MARGIN, exchange(&mut stream, &text)).await {
            Err(_) => End::Silent,
            Ok(None) => End::Closed,
            Ok(Some(answer)) => {
                let server_closes = answer
                    .header("connection")
                    .is_some_and(|c| c.eq_ignore_ascii_case("close"));
                if answer.complete && !server_closes {
                    self.put_idle(address, stream);
                }
                End::Answer {
                    status: answer.status,
                    sealed: answer.is_sealed(),
                    body: String::from_utf8_lossy(&answer.body).into_owned(),
                    complete: answer.complete,
                }
            }
        };
        self.checker
            .lock()
            .expect("not poisoned")
            .record_end(id, end);
    }

    fn choose_gateway(&self, selector: u64) -> Option<SocketAddr> {
        let gateways = self.ready_gateways.lock().expect("not poisoned");
        let index = selector % u64::try_from(gateways.len().max(1)).unwrap_or(1);
        gateways.get(usize::try_from(index).unwrap_or(0)).copied()
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().expect("not poisoned");
        let streams = idle.get_mut(&address)?;
        streams.retain(|(_, since)| since.elapsed() < MAX_IDLE);
        // The oldest connection first, so that connections live long. Closed ones are skipped.
        while !streams.is_empty() {
            let (stream, _) = streams.remove(0);
            if is_open(&stream) {
                return Some(stream);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().expect("not poisoned");
        idle.entry(address)
            .or_default()
            .push((stream, Instant::now()));
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

async fn exchange(stream: &mut TcpStream, text: &str) -> Option<exchange::Answer> {
    stream.write_all(text.as_bytes()).await.ok()?;
    exchange::read(stream).await
}
