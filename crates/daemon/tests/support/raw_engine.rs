//! A minimal engine that shows what the stand-ins do not: the headers that it received, and how many bytes of its
//! answer were accepted.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

pub struct RawEngine {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    heads: Mutex<Vec<String>>,
    sent: AtomicUsize,
}

impl RawEngine {
    /// Starts an engine that answers each completion with `chunks` chunks of `bytes` bytes of text.
    pub async fn start(chunks: usize, bytes: usize) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&accepting), chunks, bytes));
            }
        });
        Self { address, shared }
    }

    /// Returns a header of the last completion request.
    pub fn header(&self, name: &str) -> Option<String> {
        let heads = self.shared.heads.lock().expect("not poisoned");
        header_value(heads.last()?, name)
    }

    /// Returns how many bytes of answers the daemon has accepted so far.
    pub fn sent(&self) -> usize {
        self.shared.sent.load(Ordering::SeqCst)
    }
}

fn header_value(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines();
    lines.find_map(|line| {
        let (key, value) = line.split_once(": ")?;
        (key == name).then(|| value.to_owned())
    })
}

async fn serve(mut stream: TcpStream, shared: Arc<Shared>, chunks: usize, bytes: usize) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else {
            return;
        };
        head.push(byte);
    }
    let head = String::from_utf8(head).expect("UTF-8");
    if !head.starts_with("POST ") {
        let _ = stream
            .write_all(b"HTTP/1.1 404 Not Found\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
            .await;
        return;
    }
    let id = header_value(&head, "x-request-id").expect("an id");
    shared.heads.lock().expect("not poisoned").push(head);
    let start = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\nx-request-id: {id}\r\n\r\n"
    );
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    let text = "x".repeat(bytes);
    for offset in 0..chunks {
        let reason = if offset + 1 == chunks {
            "\"stop\""
        } else {
            "null"
        };
        let chunk = format!(
            "id: {offset}\ndata: {{\"id\":\"chatcmpl-{id}\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":{reason}}}]}}\n\n"
        );
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
        shared.sent.fetch_add(chunk.len(), Ordering::SeqCst);
    }
    let _ = stream.write_all(b"data: [DONE]\n\n").await;
    let _ = stream.shutdown().await;
    // The rest of the request is read, so that closing does not reset the connection.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
}
