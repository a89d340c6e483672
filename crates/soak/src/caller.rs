//! Callers: requests at a steady rate, on kept and new connections.

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

use crate::check::{End, Judge, Sent};

/// Part of the requests that go out on a kept connection, if there is one.
const KEPT_PART: f64 = 0.8;
/// Longest idle time of a kept connection: four fifths of what the configuration allows.
const KEPT: Duration = Duration::from_secs(12);
/// Time to open a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Deadlines of plain requests and of streams.
const PLAIN: Duration = Duration::from_secs(2);
const STREAM: Duration = Duration::from_secs(4);
/// What a caller waits beyond its deadline before it takes a connection for silent.
const BEYOND: Duration = Duration::from_millis(1_500);

/// What all callers share.
#[derive(Debug)]
pub struct Crowd {
    /// What was seen.
    pub judge: Arc<Mutex<Judge>>,
    /// Addresses of the gateways that take new connections.
    pub open: Mutex<Vec<SocketAddr>>,
    /// The key in force.
    pub key: Mutex<String>,
    /// Start of the run.
    pub started: Instant,
    kept: Mutex<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
}

impl Crowd {
    /// Callers that have not begun.
    #[must_use]
    pub fn new(judge: Arc<Mutex<Judge>>, started: Instant, key: &str) -> Self {
        Self {
            judge,
            open: Mutex::default(),
            key: Mutex::new(key.to_owned()),
            started,
            kept: Mutex::default(),
        }
    }

    /// Sends requests until a time, then waits for the last answers.
    pub async fn run(self: Arc<Self>, seed: u64, per_s: u32, length: Duration) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let pause = Duration::from_secs(1) / per_s;
        let mut calls = Vec::new();
        while self.started.elapsed() < length {
            sleep(pause).await;
            let kind = match random.random_range(0..10) {
                0..3 => Kind::Order,
                3..6 => Kind::Read,
                _ => Kind::Stream,
            };
            let id = format!("{:016x}", random.random::<u64>());
            let point: u64 = random.random();
            let kept = random.random_bool(KEPT_PART);
            let crowd = Arc::clone(&self);
            calls.push(tokio::spawn(async move {
                crowd.call(&id, kind, point, kept).await;
            }));
        }
        for call in calls {
            call.await.expect("a call does not panic");
        }
    }

    async fn call(&self, id: &str, kind: Kind, point: u64, kept: bool) {
        let Some(address) = self.choose(point) else {
            return;
        };
        let kept = if kept { self.take_kept(address) } else { None };
        let stream = match kept {
            Some(stream) => Some(stream),
            None => match timeout(CONNECT, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => Some(stream),
                _ => None,
            },
        };
        // Nothing was sent: the platform would have tried another gateway.
        let Some(mut stream) = stream else {
            return;
        };
        let patience = match kind {
            Kind::Order | Kind::Read => PLAIN,
            Kind::Stream => STREAM,
        };
        let line = format!(
            "POST /{}/{}?n={}",
            call::route_prefix(kind),
            point % 7,
            point % 3
        );
        let body = format!("body of {id}");
        let key = self.key.lock().expect("not poisoned").clone();
        let text = Call {
            id,
            kind,
            line: &line,
            body: &body,
            key: &key,
            timeout: patience,
        }
        .text();
        let sent = Sent {
            kind,
            at: self.started.elapsed(),
            line,
            body,
            team: call::TEAM,
            gateway: address,
        };
        self.judge.lock().expect("not poisoned").sent(id, sent);
        let end = match timeout(patience + BEYOND, exchange(&mut stream, &text)).await {
            Err(_) => End::Silent,
            Ok(None) => End::Closed,
            Ok(Some(answer)) => {
                let closes = answer
                    .header("connection")
                    .is_some_and(|c| c.eq_ignore_ascii_case("close"));
                if answer.complete && !closes {
                    self.keep(address, stream);
                }
                End::Answer {
                    status: answer.status,
                    sealed: answer.is_sealed(),
                    body: String::from_utf8_lossy(&answer.body).into_owned(),
                    complete: answer.complete,
                }
            }
        };
        self.judge.lock().expect("not poisoned").ended(id, end);
    }

    fn choose(&self, point: u64) -> Option<SocketAddr> {
        let open = self.open.lock().expect("not poisoned");
        let index = point % u64::try_from(open.len().max(1)).unwrap_or(1);
        open.get(usize::try_from(index).unwrap_or(0)).copied()
    }

    fn take_kept(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut kept = self.kept.lock().expect("not poisoned");
        let streams = kept.get_mut(&address)?;
        streams.retain(|(_, since)| since.elapsed() < KEPT);
        // The oldest first, so that connections live long; a caller sees that one was closed.
        while !streams.is_empty() {
            let (stream, _) = streams.remove(0);
            if is_open(&stream) {
                return Some(stream);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, stream: TcpStream) {
        let mut kept = self.kept.lock().expect("not poisoned");
        kept.entry(address)
            .or_default()
            .push((stream, Instant::now()));
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let nothing = stream.try_read(&mut [0]);
    nothing.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

async fn exchange(stream: &mut TcpStream, text: &str) -> Option<exchange::Answer> {
    stream.write_all(text.as_bytes()).await.ok()?;
    exchange::read(stream).await
}
