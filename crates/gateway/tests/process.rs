//! Starts and stops the program as a process.

mod support;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant},
};

use rustix::process::Signal;
use support::{Fixture, PROCESS_TIMEOUT, request};

const GRACE: &str = "grace_s = 4.0";

fn wait_until_listening(fixture: &Fixture) {
    let deadline = Instant::now() + PROCESS_TIMEOUT;
    while TcpStream::connect(fixture.front()).is_err() {
        assert!(Instant::now() < deadline, "the program does not listen");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a second SIGTERM, or a SIGHUP, during shutdown that ends the process before its open requests are
/// done or makes its exit a failure.
#[test]
fn a_second_request_to_stop_changes_nothing() {
    let fixture = Fixture::new(1, GRACE);
    let mut process = fixture.start();
    wait_until_listening(&fixture);
    process.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(100));
    process.signal(Signal::TERM);
    process.signal(Signal::HUP);
    // New connections are accepted until the platform has noticed that the process stops.
    assert!(TcpStream::connect(fixture.front()).is_ok());
    let output = process.wait_for_end();
    assert!(output.status.success(), "{output:?}");
    let log = String::from_utf8_lossy(&output.stdout);
    assert_eq!(log.matches("\"asked to stop\"").count(), 1, "{log}");
    assert_eq!(log.matches("\"stopped\"").count(), 1, "{log}");
}

/// Guards against a process that keeps running or panics when it gets SIGTERM while it starts. Before its signal
/// handlers are installed, SIGTERM ends it by default.
#[test]
fn a_request_to_stop_while_it_starts_ends_it() {
    for wait_ms in [0, 1, 3, 6, 10, 20, 40] {
        let fixture = Fixture::new(2, GRACE);
        let mut process = fixture.start();
        std::thread::sleep(Duration::from_millis(wait_ms));
        process.signal(Signal::TERM);
        let output = process.wait_for_end();
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!text.contains("panicked"), "{text}");
    }
}

/// Guards against a process that ends or stops accepting connections after callers have used up its file descriptors.
#[test]
fn descriptors_used_up_by_callers_stop_nothing() {
    const MAX_DESCRIPTORS: u32 = 48;
    let fixture = Fixture::new(4, GRACE);
    let mut process = fixture.start_with_descriptors(MAX_DESCRIPTORS);
    wait_until_listening(&fixture);
    let connections: Vec<TcpStream> = (0..2 * MAX_DESCRIPTORS)
        .map(|_| TcpStream::connect(fixture.front()).expect("the queue has room"))
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    assert!(!process.has_ended());
    drop(connections);
    let mut stream = TcpStream::connect(fixture.front()).expect("connected");
    stream
        .set_read_timeout(Some(PROCESS_TIMEOUT))
        .expect("an open socket");
    let text = request("r-1");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("an answer");
    // The process knows no configuration yet.
    assert_eq!(&answer, b"HTTP/1.1 503");
    drop(stream);
    process.signal(Signal::TERM);
    let output = process.wait_for_end();
    let log = String::from_utf8_lossy(&output.stdout);
    assert!(log.contains("cannot accept a connection"), "{log}");
}

/// Guards against a startup error that does not name the address in use: an operator could not tell which of the five
/// configured addresses it is.
#[test]
fn an_address_in_use_is_named() {
    let fixture = Fixture::new(3, GRACE);
    let _listener = TcpListener::bind(fixture.front()).expect("a free address");
    let output = fixture.start().wait_for_end();
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(&fixture.front().to_string()), "{text}");
}
