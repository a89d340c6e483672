//! A loopback proxy that delays, blocks or resets the connections through it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

use crate::plan::Mode;

/// Added delay of each read in [`Mode::Delay`].
const CHUNK_DELAY: Duration = Duration::from_millis(120);
const BUFFER_BYTES: usize = 16 << 10;

/// A running proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    mode: Arc<watch::Sender<Mode>>,
}

impl Proxy {
    /// Starts a proxy between an address and the target behind it.
    ///
    /// # Errors
    /// Fails when the proxy cannot listen at `address`.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self {
            mode: Arc::new(watch::Sender::new(Mode::Pass)),
        };
        let mode = Arc::clone(&proxy.mode);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(forward(caller, target, mode.subscribe()));
            }
        });
        Ok(proxy)
    }

    /// Sets the mode of all connections, open and new ones.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(caller: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Reset {
        reset_on_close(&caller);
        return;
    }
    if *mode.borrow() == Mode::Silent && mode.wait_for(|mode| *mode != Mode::Silent).await.is_err()
    {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset_on_close(&caller);
        return;
    };
    for stream in [&caller, &server] {
        // Without it, small writes wait for acknowledgements. A socket that refuses the option is about to fail anyway.
        let _ = stream.set_nodelay(true);
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut reset_mode = mode.clone();
    tokio::select! {
        () = copy_direction(from_caller, to_server, mode.clone(), false) => {}
        () = copy_direction(from_server, to_caller, mode, true) => {}
        _ = reset_mode.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

/// Copies one direction of a connection until it ends; `from_server` marks the direction from the server.
async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    from_server: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            reset_on_close(to.as_ref());
            return;
        };
        if length == 0 {
            return;
        }
        let blocked = |mode: &Mode| *mode == Mode::Silent || (from_server && *mode == Mode::OneWay);
        if mode.wait_for(|mode| !blocked(mode)).await.is_err() {
            return;
        }
        if *mode.borrow() == Mode::Delay {
            sleep(CHUNK_DELAY).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            reset_on_close(from.as_ref());
            return;
        }
    }
}

/// Makes the connection end with a reset when it is closed.
fn reset_on_close(stream: &TcpStream) {
    // A socket that refuses the option is closed in the usual way, which disturbs the peer as well.
    let _ = stream.set_zero_linger();
}
