//! Gateways as processes of their own, started with the command of the deploy file.

use std::{
    fs::File,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http::Connection;

const PROGRAM: &str = "target/release/jaystand-gateway";
pub const PEER_PORT: u16 = 7_340;
pub const FRONT_PORT: u16 = 8_782;
pub const READY_PORT: u16 = 8_789;

/// What the template of the settings states of one gateway.
pub struct Settings {
    pub host: String,
    pub data_centre: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub store: SocketAddr,
    pub grace_s: u32,
}

pub struct Gateway {
    child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Settings {
    /// Writes the settings file and returns its path.
    pub fn write(&self, folder: &Path) -> io::Result<PathBuf> {
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "host = \"{}\"\ndata_centre = \"{}\"\npeer_port = {PEER_PORT}\nbootstrap = true\n\
             seeds = [{}]\n[listen]\nfront = \"{}\"\nready = \"{}\"\n[limits]\nmemory_mb = 110\n\
             link_mbps = 1000.0\n[store]\naddress = \"{}\"\n[bounds]\ngrace_s = {}\n\
             lease_ms = 3000\nweights_ms = 8000\nretry_ratio = 0.2\nretry_slack = 56\n\
             retry_window_s = 10\nstrict_revoke = false\nrevoke_ms = 5000\n",
            self.host,
            self.data_centre,
            seeds.join(","),
            self.front,
            self.ready,
            self.store,
            self.grace_s,
        );
        let path = folder.join(format!("{}.toml", self.host));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Gateway {
    pub fn start(settings: &Settings, folder: &Path) -> io::Result<Self> {
        let path = settings.write(folder)?;
        let log = File::create(folder.join(format!("{}.log", settings.host)))?;
        let child = Command::new(PROGRAM)
            .env("JAYSTAND_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-s", name, &id]).status()?;
        Ok(())
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

/// Waits until a gateway answers the readiness check with 200.
pub fn wait_ready(address: SocketAddr, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if let Ok(stream) = std::net::TcpStream::connect(address) {
            let mut connection = Connection::new(stream);
            let sent = connection.write("GET /v1/readyz HTTP/1.1\r\nhost: a\r\n\r\n");
            if sent.is_ok()
                && connection
                    .read()
                    .is_ok_and(|answer| answer.word(1) == "200")
            {
                return true;
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
