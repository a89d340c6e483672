//! A server that runs callers' requests. It may crash under one, and then starts again after some seconds.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    engine::MODEL,
    http::{Connection, Message},
    record::Record,
    store::Store,
};

/// How long a server that crashed is down.
const DOWN_TIME: Duration = Duration::from_millis(3_400);
const ACCEPT_PERIOD: Duration = Duration::from_millis(2);

/// What a server does with a request.
#[derive(Clone, Copy)]
pub enum Run {
    /// Works for a time and answers in one body.
    Whole(Duration),
    /// Answers with this number of events, one after each interval.
    Stream(u32, Duration),
    /// Sends the first event of a stream and crashes.
    Crash,
}

/// The beginning or the end of a request's run.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub id: String,
    pub kind: EventKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    Began,
    Done,
    Crashed,
}

/// What a server needs to start.
#[derive(Clone)]
pub struct Setup {
    pub name: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub store: Store,
    pub record: Record,
    pub events: Arc<Mutex<Vec<Event>>>,
    pub behaviour: fn(&Message) -> Run,
}

struct Incarnation {
    setup: Setup,
    name: String,
    connections: Mutex<Vec<TcpStream>>,
    crashed: Mutex<bool>,
}

/// Starts a server, which starts again whenever it has crashed.
pub fn start(setup: Setup) -> io::Result<()> {
    let first = Incarnation::listen(&setup, 0)?;
    thread::spawn(move || {
        let mut next = Some(first);
        for number in 1.. {
            let Some((listener, incarnation)) = next.take() else {
                return;
            };
            incarnation.serve_until_crash(&listener);
            drop(listener);
            thread::sleep(DOWN_TIME);
            setup.store.remove("servers", &incarnation.name);
            next = Incarnation::listen(&setup, number).ok();
        }
    });
    Ok(())
}

impl Incarnation {
    fn listen(setup: &Setup, number: u32) -> io::Result<(TcpListener, Arc<Self>)> {
        let listener = TcpListener::bind(setup.address)?;
        listener.set_nonblocking(true)?;
        let name = format!("{}-{number}", setup.name);
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let models = if setup.service == "lm" {
            format!(",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]")
        } else {
            String::new()
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"zone-0\",\"version\":\"v1\",\
             \"slots\":24,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{},\"seq\":1{models}}}",
            setup.service,
            setup.address,
            born.unwrap_or_default().as_millis()
        );
        setup.store.put("servers", &name, &entry);
        setup.record.line(&format!("server {name} starts"));
        let incarnation = Self {
            setup: setup.clone(),
            name,
            connections: Mutex::default(),
            crashed: Mutex::new(false),
        };
        Ok((listener, Arc::new(incarnation)))
    }

    fn serve_until_crash(self: &Arc<Self>, listener: &TcpListener) {
        while !*self.crashed.lock().expect("not poisoned") {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PERIOD);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(kept) = stream.try_clone() {
                self.connections.lock().expect("not poisoned").push(kept);
            }
            let incarnation = Arc::clone(self);
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(request) = connection.read() {
                    if incarnation.answer(&mut connection, &request).is_err() {
                        return;
                    }
                }
            });
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let instance = format!("x-instance-id: {}\r\n", self.name);
        if request
            .header("x-expect-instance")
            .is_some_and(|name| name != self.name)
        {
            return connection.reply("421 Misdirected Request", &instance, "");
        }
        if request.line.starts_with("GET /v1/kv-events") {
            thread::sleep(Duration::from_secs(1));
            let none = "{\"bootEpoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";
            return connection.reply("200 OK", &instance, none);
        }
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        self.log(&id, EventKind::Began);
        let name = &self.name;
        let headers = format!("{instance}x-request-id: {id}\r\nx-response-seal: {name}.{id}\r\n");
        match (self.setup.behaviour)(request) {
            Run::Whole(work) => {
                thread::sleep(work);
                connection.reply("200 OK", &headers, &format!("recorded {id}"))?;
            }
            Run::Stream(events, interval) => {
                self.begin_stream(connection, &headers)?;
                for number in 1..=events {
                    thread::sleep(interval);
                    send_event(connection, &id, number)?;
                }
                connection.write("0\r\n\r\n")?;
            }
            Run::Crash => {
                self.begin_stream(connection, &headers)?;
                send_event(connection, &id, 1)?;
                thread::sleep(Duration::from_millis(20));
                *self.crashed.lock().expect("not poisoned") = true;
                self.log(&id, EventKind::Crashed);
                for stream in self.connections.lock().expect("not poisoned").drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        self.log(&id, EventKind::Done);
        Ok(())
    }

    fn begin_stream(&self, connection: &mut Connection, headers: &str) -> io::Result<()> {
        connection.write(&format!(
            "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\nx-weight-versions: 1\r\n\
             transfer-encoding: chunked\r\n\r\n"
        ))
    }

    fn log(&self, id: &str, kind: EventKind) {
        let what = match kind {
            EventKind::Began => "begins to run",
            EventKind::Done => "has answered",
            EventKind::Crashed => "crashes under",
        };
        self.setup
            .record
            .line(&format!("server {} {what} {id}", self.name));
        let event = Event {
            at: self.setup.record.now(),
            id: id.to_owned(),
            kind,
        };
        self.setup.events.lock().expect("not poisoned").push(event);
    }
}

fn send_event(connection: &mut Connection, id: &str, number: u32) -> io::Result<()> {
    let event = format!("id: {number}\ndata: {id}\n\n");
    connection.write(&format!("{:x}\r\n{event}\r\n", event.len()))
}
