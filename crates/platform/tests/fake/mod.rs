//! A small object API server that fails on demand. It writes raw HTTP/1.1, because a server library does not allow
//! these faults.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use parking_lot::Mutex;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

/// What goes wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    Outage,
    ServerError,
    Denied,
    /// The connection closes before the request is executed.
    LostBefore,
    /// The connection closes after the request is executed.
    LostAfter,
    /// The connection stays open without an answer.
    Silent,
    /// The connection closes within the body.
    CutBody,
    /// The connection stays open, but the body stops before its end.
    SlowBody,
    GarbageAnswer,
    GarbageBody,
    WeakTag,
    NoTag,
    StaleTag,
    /// The body is longer than the client accepts.
    Oversized,
}

#[derive(Default)]
pub struct State {
    pub objects: HashMap<String, (u64, Vec<u8>)>,
    pub faults: VecDeque<Fault>,
    // Number of the connection, and method and path, of each received request.
    pub requests: Vec<(usize, String)>,
    connections: usize,
}

#[derive(Clone)]
pub struct Fake {
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
}

struct Received {
    method: String,
    path: String,
    condition: Option<String>,
    body: Vec<u8>,
}

impl Fake {
    pub async fn start(faults: impl IntoIterator<Item = Fault>) -> Fake {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let fake = Fake {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        fake.state.lock().faults.extend(faults);
        let server = fake.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        fake
    }

    async fn serve(self, stream: TcpStream) -> Option<()> {
        let connection = {
            let mut state = self.state.lock();
            state.connections += 1;
            state.connections
        };
        let mut stream = BufReader::new(stream);
        loop {
            let received = receive(&mut stream).await?;
            let (fault, answer) = {
                let mut state = self.state.lock();
                let line = format!("{} {}", received.method, received.path);
                state.requests.push((connection, line));
                let fault = state.faults.pop_front().unwrap_or(Fault::None);
                (fault, state.answer(fault, &received))
            };
            if fault == Fault::Silent {
                return std::future::pending().await;
            }
            stream.write_all(&answer?).await.ok()?;
            match fault {
                Fault::CutBody => return None,
                Fault::SlowBody => return std::future::pending().await,
                _ => {}
            }
        }
    }
}

impl State {
    fn answer(&mut self, fault: Fault, received: &Received) -> Option<Vec<u8>> {
        let refusal = |status, header| render_answer(status, header, b"");
        match fault {
            Fault::Outage => return Some(refusal("503 Busy", "Retry-After: 1\r\n")),
            Fault::ServerError => return Some(refusal("500 Failed", "")),
            Fault::Denied => return Some(refusal("403 Denied", "")),
            Fault::LostBefore | Fault::Silent => return None,
            _ => {}
        }
        let (status, version, body) = self.apply(received);
        let tag = match fault {
            Fault::WeakTag => format!("ETag: W/\"{version}\"\r\n"),
            Fault::NoTag => String::new(),
            Fault::StaleTag => "ETag: \"0\"\r\n".to_owned(),
            _ => format!("ETag: \"{version}\"\r\n"),
        };
        match fault {
            Fault::LostAfter => None,
            Fault::GarbageAnswer => Some(b"\x00\x01 no HTTP\r\n\r\n".to_vec()),
            Fault::GarbageBody => Some(render_answer(status, &tag, b"{\"objects\":")),
            Fault::Oversized => Some(render_answer(status, &tag, &vec![b' '; 17 << 20])),
            Fault::CutBody | Fault::SlowBody => {
                let mut answer = render_answer(status, &tag, b"half of the body");
                answer.truncate(answer.len() - 8);
                Some(answer)
            }
            _ => Some(render_answer(status, &tag, &body)),
        }
    }

    fn apply(&mut self, received: &Received) -> (&'static str, u64, Vec<u8>) {
        let path = received.path.split('?').next().unwrap_or_default();
        let current = self.objects.get(path).map(|(version, _)| *version);
        let found = current.map(|version| format!("\"{version}\""));
        let matches = match received.condition.as_deref() {
            Some("*") => found.is_none(),
            condition => condition == found.as_deref(),
        };
        match received.method.as_str() {
            "GET" if path == "/v1/hosts" => ("200 OK", 0, HOSTS.into()),
            "GET" if path == "/v1/objects/kind" => ("200 OK", 0, LISTING.into()),
            "GET" => match self.objects.get(path) {
                Some((version, value)) => ("200 OK", *version, value.clone()),
                None => ("404 Not Found", 0, Vec::new()),
            },
            _ if !matches => ("412 Conflict", current.unwrap_or(0), Vec::new()),
            "PUT" => {
                let version = current.unwrap_or(6) + 1;
                self.objects
                    .insert(path.to_owned(), (version, received.body.clone()));
                ("200 OK", version, Vec::new())
            }
            _ => {
                self.objects.remove(path);
                ("200 OK", 0, Vec::new())
            }
        }
    }
}

const HOSTS: &[u8] = br#"{"hosts":[{"name":"h1","address":"127.0.0.1:1","data_centre":"a","state":"leaving","role":"daemon"}]}"#;
const LISTING: &[u8] = br#"{"revision":9,"objects":[{"name":"n","version":7}],"events":[{"name":"n","version":8,"value":null}]}"#;

fn render_answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

async fn receive(stream: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        lines.push(line.trim().to_owned());
    }
    let header = |name: &str| {
        lines.iter().find_map(|line| {
            let (key, value) = line.split_once(": ")?;
            key.eq_ignore_ascii_case(name).then(|| value.to_owned())
        })
    };
    let length = header("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    let mut words = lines.first()?.split(' ').map(str::to_owned);
    Some(Received {
        method: words.next()?,
        path: words.next()?,
        condition: header("if-match").or(header("if-none-match")),
        body,
    })
}
