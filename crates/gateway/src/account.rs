//! Counts the connections of a listener and sheds those that hold its resources without progress.
//!
//! A connection whose request may have been forwarded to a server is never shed to make room, because its answer must
//! be delivered. It is only closed when its caller reads nothing of the answer for [`UNREAD_TIMEOUT`].

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use hashbrown::HashMap;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
    time::Instant,
};

use crate::socket;

/// A connection is closed if its client accepts no byte of an answer for this long. Servers cut off answers that stay
/// unread for some seconds, so the gateway cancels them before.
pub(crate) const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of a body that count as progress. Single bytes now and then do not.
const MIN_PROGRESS_BYTES: usize = 1_024;
/// A body without progress for this long is refused. Deadlines are 2.5 to 15 seconds, so this ends only bodies that
/// arrive at less than 103 bytes per second.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// A body without progress for this long may be shed for another one. A retransmission takes 200 ms.
const MIN_STALL: Duration = Duration::from_millis(250);

/// Connections to the readiness listener. The platform opens one a second.
const MAX_READINESS_CONNECTIONS: usize = 16;
/// Connections to the metrics listener.
const MAX_METRICS_CONNECTIONS: usize = 8;
/// Connections to the listener for copies. A host may be followed by all others of its data centre, about 75 of 300
/// hosts.
const MAX_COPY_CONNECTIONS: usize = 96;

/// Why a connection is closed or its request refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shed {
    /// Another connection needs its place.
    Connections,
    /// Another body needs its memory.
    Memory,
    /// No request arrived in time.
    Idle,
    /// Its head did not arrive in time.
    HeadTimeout,
    /// Its body makes no progress.
    BodyStalled,
    /// The client does not read the answer.
    Unread,
}

impl Shed {
    pub(crate) const ALL: [Self; 6] = [
        Self::Connections,
        Self::Memory,
        Self::Idle,
        Self::HeadTimeout,
        Self::BodyStalled,
        Self::Unread,
    ];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::Idle => "idle",
            Self::HeadTimeout => "head_timeout",
            Self::BodyStalled => "body_stalled",
            Self::Unread => "unread",
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// A part of a head has arrived.
    Head,
    /// The body is read.
    Body,
    /// The request was answered without a server.
    Answering,
    /// A server may have the request, or has answered it.
    Forwarded,
}

/// The connections of one listener.
pub(crate) struct Account {
    connections: RefCell<HashMap<u64, Rc<Connection>>>,
    next_id: Cell<u64>,
    max_connections: usize,
    /// Whether a new connection may also replace one whose request is being answered.
    replaces_any: bool,
    shed: [Cell<u64>; Shed::ALL.len()],
}

/// The accounts of all listeners.
pub(crate) struct Accounts {
    pub(crate) callers: Rc<Account>,
    pub(crate) ready: Rc<Account>,
    pub(crate) metrics: Rc<Account>,
    pub(crate) copies: Rc<Account>,
}

impl Accounts {
    pub(crate) fn new(caller_connections: usize) -> Self {
        Self {
            callers: Account::new(caller_connections, false),
            ready: Account::new(MAX_READINESS_CONNECTIONS, true),
            metrics: Account::new(MAX_METRICS_CONNECTIONS, true),
            copies: Account::new(MAX_COPY_CONNECTIONS, true),
        }
    }

    /// Returns the accounts with the names of their listeners.
    pub(crate) fn all(&self) -> [(&'static str, &Rc<Account>); 4] {
        [
            ("callers", &self.callers),
            ("readiness", &self.ready),
            ("metrics", &self.metrics),
            ("copies", &self.copies),
        ]
    }
}

/// The accounted state of one connection.
pub(crate) struct Connection {
    id: u64,
    phase: Cell<Phase>,
    /// When the phase began or last made progress.
    progress_at: Cell<Instant>,
    /// Bytes of the body since then.
    progress_bytes: Cell<usize>,
    /// Bytes that the body takes.
    body_bytes: Cell<usize>,
    /// Since when the socket accepts no bytes of an answer.
    blocked_since: Cell<Option<Instant>>,
    /// Whether the HTTP library has taken the whole answer. It may still hold unwritten bytes.
    answer_taken: Cell<bool>,
    /// Whether the end of the connection is the only sign of the end of the answer.
    close_delimited: Cell<bool>,
    shed: Cell<Option<Shed>>,
    /// Whether a body was being read when the connection was shed.
    owes_answer: Cell<bool>,
    shed_now: Notify,
    writable: Notify,
}

/// A place in an account, which is free again when this is dropped.
pub(crate) struct Place {
    account: Rc<Account>,
    pub(crate) connection: Rc<Connection>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut connections = self.account.connections.borrow_mut();
        connections.remove(&self.connection.id);
    }
}

impl Account {
    pub(crate) fn new(max_connections: usize, replaces_any: bool) -> Rc<Self> {
        Rc::new(Self {
            connections: RefCell::default(),
            next_id: Cell::new(0),
            max_connections,
            replaces_any,
            shed: Default::default(),
        })
    }

    /// Returns the number of connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns whether a new connection takes the place of another one.
    pub(crate) fn is_full(&self) -> bool {
        self.len() >= self.max_connections
    }

    /// Takes the number of connections that were shed for a reason since the last call.
    pub(crate) fn take_shed(&self, reason: Shed) -> u64 {
        self.shed[reason as usize].take()
    }

    /// Adds a connection, and sheds another one if there is no place left. Returns `None` if none may be shed.
    pub(crate) fn open(self: &Rc<Self>) -> Option<Place> {
        if self.is_full() {
            let victim = self.slowest()?;
            self.shed(&victim, Shed::Connections);
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::new(Connection {
            id,
            phase: Cell::new(Phase::Idle),
            progress_at: Cell::new(Instant::now()),
            progress_bytes: Cell::new(0),
            body_bytes: Cell::new(0),
            blocked_since: Cell::new(None),
            answer_taken: Cell::new(false),
            close_delimited: Cell::new(false),
            shed: Cell::new(None),
            owes_answer: Cell::new(false),
            shed_now: Notify::new(),
            writable: Notify::new(),
        });
        let mut connections = self.connections.borrow_mut();
        connections.insert(id, Rc::clone(&connection));
        drop(connections);
        Some(Place {
            account: Rc::clone(self),
            connection,
        })
    }

    /// Returns the connection to shed next: one that is idle for longest, or else the one without progress for longest.
    fn slowest(&self) -> Option<Rc<Connection>> {
        let connections = self.connections.borrow();
        let sheddable = connections
            .values()
            .filter(|connection| self.replaces_any || connection.phase.get() != Phase::Forwarded);
        let rank = |connection: &&Rc<Connection>| {
            let rank = match connection.phase.get() {
                Phase::Idle => 0,
                Phase::Head | Phase::Body | Phase::Answering => 1,
                Phase::Forwarded => 2,
            };
            (rank, connection.progress_at.get(), connection.id)
        };
        sheddable.min_by_key(rank).cloned()
    }

    /// Sheds stalled bodies that take at least `bytes` bytes together, the ones without progress for longest first.
    /// Returns whether any was shed.
    pub(crate) fn shed_bodies(&self, bytes: usize, keep: &Connection) -> bool {
        let now = Instant::now();
        let mut stalled: Vec<_> = {
            let connections = self.connections.borrow();
            let is_stalled = |connection: &&Rc<Connection>| {
                connection.phase.get() == Phase::Body
                    && connection.body_bytes.get() > 0
                    && connection.id != keep.id
                    && now - connection.progress_at.get() >= MIN_STALL
            };
            connections.values().filter(is_stalled).cloned().collect()
        };
        stalled.sort_unstable_by_key(|connection| connection.progress_at.get());
        let mut shed = 0;
        for connection in &stalled {
            if shed >= bytes {
                break;
            }
            shed += connection.body_bytes.get();
            self.shed(connection, Shed::Memory);
        }
        shed > 0
    }

    /// Closes the connections whose head, body or reading client is too slow.
    pub(crate) fn sweep(&self, head_timeout: Duration, idle_timeout: Duration) {
        let now = Instant::now();
        let overdue: Vec<_> = {
            let connections = self.connections.borrow();
            let overdue = connections.values().filter_map(|connection| {
                let reason = connection.overdue(now, head_timeout, idle_timeout)?;
                Some((Rc::clone(connection), reason))
            });
            overdue.collect()
        };
        for (connection, reason) in overdue {
            self.shed(&connection, reason);
        }
    }

    /// Frees the place of a connection and asks its task to end.
    fn shed(&self, connection: &Connection, reason: Shed) {
        let count = &self.shed[reason as usize];
        count.set(count.get() + 1);
        self.connections.borrow_mut().remove(&connection.id);
        connection.shed.set(Some(reason));
        let reads_body = connection.phase.get() == Phase::Body;
        connection.owes_answer.set(reads_body);
        connection.shed_now.notify_waiters();
    }
}

impl Connection {
    fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.progress_at.set(Instant::now());
        self.progress_bytes.set(0);
    }

    fn overdue(
        &self,
        now: Instant,
        head_timeout: Duration,
        idle_timeout: Duration,
    ) -> Option<Shed> {
        if let Some(since) = self.blocked_since.get()
            && now - since >= UNREAD_TIMEOUT
        {
            return Some(Shed::Unread);
        }
        let waited = now - self.progress_at.get();
        match self.phase.get() {
            Phase::Idle if waited >= idle_timeout => Some(Shed::Idle),
            Phase::Head if waited >= head_timeout => Some(Shed::HeadTimeout),
            Phase::Body if waited >= BODY_STALL_TIMEOUT => Some(Shed::BodyStalled),
            _ => None,
        }
    }

    /// Records that the head of a request has arrived. Waits until the client has accepted the earlier answers, so that
    /// answers to pipelined requests do not pile up.
    pub(crate) async fn begin_request(&self) {
        while self.blocked_since.get().is_some() {
            self.writable.notified().await;
        }
        self.set_phase(Phase::Body);
        self.body_bytes.set(0);
        self.answer_taken.set(false);
    }

    /// Records that a server may get the request. The connection is kept until the answer is delivered.
    pub(crate) fn set_forwarded(&self) {
        self.set_phase(Phase::Forwarded);
    }

    /// Records that the head of the answer is known.
    pub(crate) fn begin_answer(&self) {
        if self.phase.get() != Phase::Forwarded {
            self.set_phase(Phase::Answering);
        }
    }

    /// Records that the end of the connection is the only sign of the end of the answer. From then on the connection is
    /// reset if it closes before the HTTP library shuts it down, so that a part of the answer does not look complete.
    pub(crate) fn set_close_delimited(&self) {
        self.close_delimited.set(true);
    }

    /// Records that the HTTP library has taken the whole answer.
    pub(crate) fn finish_answer(&self) {
        self.answer_taken.set(true);
    }

    /// Records bytes of the body, and the memory that the body takes now.
    pub(crate) fn record_body(&self, received: usize, taken: usize) {
        self.body_bytes.set(taken);
        let bytes = self.progress_bytes.get() + received;
        self.progress_bytes.set(bytes);
        if bytes >= MIN_PROGRESS_BYTES {
            self.progress_bytes.set(0);
            self.progress_at.set(Instant::now());
        }
    }

    /// Returns why the connection was shed, if it was.
    pub(crate) fn shed_reason(&self) -> Option<Shed> {
        self.shed.get()
    }

    /// Waits until the connection is shed.
    pub(crate) async fn wait_shed(&self) -> Shed {
        loop {
            // The future is created first, so that a notification in between is not lost.
            let notified = self.shed_now.notified();
            if let Some(reason) = self.shed.get() {
                return reason;
            }
            notified.await;
        }
    }

    /// Returns whether a body was being read when the connection was shed, so that its request is still to be answered.
    pub(crate) fn owes_answer(&self) -> bool {
        self.owes_answer.get()
    }

    fn record_read(&self) {
        if self.phase.get() == Phase::Idle {
            self.set_phase(Phase::Head);
        }
    }

    fn record_write(&self, blocked: bool) {
        if blocked {
            if self.blocked_since.get().is_none() {
                self.blocked_since.set(Some(Instant::now()));
            }
        } else if self.blocked_since.take().is_some() {
            self.writable.notify_waiters();
        }
    }

    fn record_flush(&self) {
        if self.answer_taken.take() {
            self.set_phase(Phase::Idle);
        }
    }
}

/// A connection whose reads and writes are accounted.
pub(crate) struct Stream {
    tcp: TcpStream,
    connection: Rc<Connection>,
    /// Whether the socket is reset when it closes.
    resets: bool,
}

impl Stream {
    pub(crate) fn new(tcp: TcpStream, connection: &Rc<Connection>) -> Self {
        Self {
            tcp,
            connection: Rc::clone(connection),
            resets: false,
        }
    }

    /// Sets whether the socket is reset when it closes, also if the process is killed.
    fn set_resets(&mut self, resets: bool) -> io::Result<()> {
        if self.resets != resets {
            socket::set_reset_on_close(&self.tcp, resets)?;
            self.resets = resets;
        }
        Ok(())
    }

    /// Prepares the socket for a part of an answer.
    fn prepare_write(&mut self) -> io::Result<()> {
        self.set_resets(self.connection.close_delimited.get())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.tcp).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.connection.record_read();
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.tcp).poll_write(context, bytes);
        self.connection.record_write(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.tcp).poll_flush(context);
        if result.is_ready() {
            self.connection.record_flush();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_resets(false)?;
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.tcp).poll_write_vectored(context, slices);
        self.connection.record_write(result.is_pending());
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }
}
