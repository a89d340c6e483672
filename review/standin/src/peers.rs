//! A proxy for the traffic between two gateways, which can cut it.
//!
//! Each gateway knows the other one by an address of the proxy, its alias. What is sent to the alias of one is passed on
//! to it from the alias of the other.

use std::{
    io::{self, Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::gateway::PEER_PORT;

#[derive(Clone, Default)]
pub struct Link {
    cut: Arc<AtomicBool>,
}

impl Link {
    /// Connects the gateways at two addresses.
    pub fn start(gateways: [IpAddr; 2], aliases: [IpAddr; 2]) -> io::Result<Self> {
        let link = Self::default();
        let bind = |alias| UdpSocket::bind(SocketAddr::new(alias, PEER_PORT)).map(Arc::new);
        let sockets = [bind(aliases[0])?, bind(aliases[1])?];
        for to in 0..2 {
            let from = 1 - to;
            let target = SocketAddr::new(gateways[to], PEER_PORT);
            let source = gateways[from];
            let (receiving, sending) = (Arc::clone(&sockets[to]), Arc::clone(&sockets[from]));
            let datagrams = link.clone();
            thread::spawn(move || {
                let mut buffer = vec![0; 64 << 10];
                while let Ok((length, sender)) = receiving.recv_from(&mut buffer) {
                    if sender.ip() == source && !datagrams.is_cut() {
                        let _ = sending.send_to(&buffer[..length], target);
                    }
                }
            });
            let listener = TcpListener::bind(SocketAddr::new(aliases[to], PEER_PORT))?;
            let connections = link.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let link = connections.clone();
                    thread::spawn(move || link.forward(stream, target));
                }
            });
        }
        Ok(link)
    }

    /// Drops datagrams and holds back the bytes of connections while set.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    fn wait_until_healed(&self) {
        while self.is_cut() {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn forward(&self, caller: TcpStream, target: SocketAddr) {
        self.wait_until_healed();
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(from), Ok(to)) = (server.try_clone(), caller.try_clone()) else {
            return;
        };
        let back = self.clone();
        thread::spawn(move || back.copy(from, to));
        self.copy(caller, server);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            self.wait_until_healed();
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    }
}
