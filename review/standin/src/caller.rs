//! Callers' requests.

use std::{net::SocketAddr, net::TcpStream, time::Duration};

use crate::{engine::MODEL, http::Connection, record::Record};

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer with this status.
    Answered(String),
    /// The connection ended without a complete answer.
    Cut,
    /// No connection could be opened, or nothing was sent.
    NotSent,
}

/// Sends a request on a connection of its own and waits for its answer.
pub fn call(front: SocketAddr, path: &str, id: &str, body: &str, record: &Record) -> End {
    record.line(&format!("caller sends {id}: POST {path}"));
    let end = exchange(front, path, id, body);
    let text = match &end {
        End::Answered(status) => format!("gets a complete answer with status {status}"),
        End::Cut => "sees its connection end without a complete answer".to_owned(),
        End::NotSent => "could not connect".to_owned(),
    };
    record.line(&format!("caller of {id} {text}"));
    end
}

fn exchange(front: SocketAddr, path: &str, id: &str, body: &str) -> End {
    let Ok(stream) = TcpStream::connect(front) else {
        return End::NotSent;
    };
    let mut connection = Connection::new(stream);
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(12)));
    let prompt = if path.starts_with("/talk/") {
        // A request that comes again has the same prompt, too.
        let own = if path.ends_with("/again") {
            "again"
        } else {
            id
        };
        format!(
            "x-model: {MODEL}\r\nx-token-usage: 900,20\r\nx-prompt-prefix: aa:500,{own}:400\r\n"
        )
    } else {
        String::new()
    };
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 10000\r\n{prompt}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    if connection.write(&text).is_err() {
        return End::NotSent;
    }
    let Ok(answer) = connection.read() else {
        return End::Cut;
    };
    let chunked = answer.header("transfer-encoding").is_some();
    if chunked && connection.read_chunks().is_err() {
        return End::Cut;
    }
    End::Answered(answer.word(1).to_owned())
}
