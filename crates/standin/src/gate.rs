//! Byte streams that can go silent: the connection stays open but passes no more bytes, as when a firewall or NAT
//! drops a flow without a reset to either end.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Decides which connections of a server pass bytes.
#[derive(Debug, Default)]
pub(crate) struct Gate(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    frozen: bool,
    /// Connections with a lower number are silent for good.
    silent_below: u64,
    next_number: u64,
    wakers: Vec<Waker>,
}

/// A connection behind a gate.
#[derive(Debug)]
pub(crate) struct Gated<T> {
    io: T,
    number: u64,
    gate: Arc<Gate>,
}

impl Gate {
    /// Stops or resumes all connections, open and future ones.
    pub(crate) fn freeze(&self, frozen: bool) {
        let mut state = self.0.lock();
        state.frozen = frozen;
        state.wakers.drain(..).for_each(Waker::wake);
    }

    /// Silences the open connections for good.
    pub(crate) fn silence_existing(&self) {
        let mut state = self.0.lock();
        state.silent_below = state.next_number;
    }

    /// Puts a new connection behind the gate.
    pub(crate) fn guard<T>(self: &Arc<Self>, io: T) -> Gated<T> {
        let mut state = self.0.lock();
        let number = state.next_number;
        state.next_number += 1;
        Gated {
            io,
            number,
            gate: Arc::clone(self),
        }
    }

    /// Returns whether a connection passes no bytes now; registers its waker if it can be resumed.
    fn blocks(&self, number: u64, context: &Context<'_>) -> bool {
        let mut state = self.0.lock();
        let silent = number < state.silent_below;
        if state.frozen && !silent {
            state.wakers.push(context.waker().clone());
        }
        state.frozen || silent
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Gated<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.gate.blocks(self.number, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Gated<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.gate.blocks(self.number, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.gate.blocks(self.number, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.gate.blocks(self.number, context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
