//! A loopback proxy that hurts the connections through it.

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

/// Extra time of each piece of bytes in the delaying mode.
const DELAY: Duration = Duration::from_millis(120);
const PIECE: usize = 16 << 10;

/// A running proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    mode: Arc<watch::Sender<Mode>>,
}

impl Proxy {
    /// Starts a proxy between an address and the target behind it.
    ///
    /// # Errors
    /// Fails when the address cannot be listened at.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self {
            mode: Arc::new(watch::Sender::new(Mode::Pass)),
        };
        let mode = Arc::clone(&proxy.mode);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(carry(caller, target, mode.subscribe()));
            }
        });
        Ok(proxy)
    }

    /// Changes what happens to all connections, open and new ones.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn carry(caller: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Reset {
        reset(&caller);
        return;
    }
    if *mode.borrow() == Mode::Silent && mode.wait_for(|mode| *mode != Mode::Silent).await.is_err()
    {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&caller);
        return;
    };
    for stream in [&caller, &server] {
        // Without it, small pieces wait for acknowledgements; a socket that refuses is about to fail anyway.
        let _ = stream.set_nodelay(true);
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut resets = mode.clone();
    tokio::select! {
        () = copy(from_caller, to_server, mode.clone(), false) => {}
        () = copy(from_server, to_caller, mode, true) => {}
        _ = resets.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

/// Copies one direction until it ends.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    answers: bool,
) {
    let mut piece = vec![0; PIECE];
    loop {
        let Ok(length) = from.read(&mut piece).await else {
            reset(to.as_ref());
            return;
        };
        if length == 0 {
            return;
        }
        let held = |mode: &Mode| *mode == Mode::Silent || (answers && *mode == Mode::OneWay);
        if mode.wait_for(|mode| !held(mode)).await.is_err() {
            return;
        }
        if *mode.borrow() == Mode::Delay {
            sleep(DELAY).await;
        }
        if to.write_all(&piece[..length]).await.is_err() {
            reset(from.as_ref());
            return;
        }
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    // A socket that cannot be set is closed in the usual way, which is a fault as well.
    let _ = stream.set_zero_linger();
}
