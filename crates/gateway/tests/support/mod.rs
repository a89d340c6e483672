//! Runs the program as a process on a loopback address of its own.

#![allow(dead_code, reason = "each test program uses a part of this")]

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::{Duration, Instant},
};

use jaystand_adapter_standin::{
    call::{Call, Kind},
    exchange::{Request, read_request},
};
use rustix::process::{Pid, Signal, kill_process};
use tokio::{io::AsyncWriteExt as _, net::TcpListener};

/// Maximum time that a test waits for the process.
pub const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaystand-gateway");

/// Returns the text of a caller's request.
pub fn request(id: &str) -> String {
    let call = Call {
        id,
        kind: Kind::Read,
        line: "GET /read/x",
        body: "",
        key: "key-1",
        timeout: Duration::from_secs(8),
    };
    call.text()
}

/// Starts a backend server that gives these answers.
pub async fn serve(address: SocketAddr, answer: fn(&Request) -> Vec<u8>) {
    let listener = TcpListener::bind(address).await.expect("a free address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while let Some(received) = read_request(&mut stream, &mut bytes).await {
                    if stream.write_all(&answer(&received)).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A settings file and the addresses in it. The file is removed on drop.
pub struct Fixture {
    address: Ipv4Addr,
    settings: PathBuf,
    limits: String,
}

impl Fixture {
    /// Writes a settings file with these lines in its section `[bounds]`. Each number has an address of its own, so
    /// that fixed ports do not collide.
    pub fn new(number: u8, bounds: &str) -> Self {
        Self::with_limits(number, bounds, "")
    }

    /// Writes a settings file with these lines in its sections `[bounds]` and `[limits]`.
    pub fn with_limits(number: u8, bounds: &str, limits: &str) -> Self {
        let process_id = std::process::id().to_le_bytes();
        let address = Ipv4Addr::new(127, 32 + process_id[1] % 32, process_id[0], number);
        let settings = std::env::temp_dir().join(format!(
            "jaystand-gateway-{}-{number}.toml",
            std::process::id()
        ));
        let limits = limits.to_owned();
        let fixture = Self {
            address,
            settings,
            limits,
        };
        fixture.write_settings(bounds);
        fixture
    }

    /// Replaces the lines in the section `[bounds]` of the settings file.
    pub fn write_settings(&self, bounds: &str) {
        let address = self.address;
        let number = address.octets()[3];
        let limits = &self.limits;
        let text = format!(
            "host = \"host-{number}\"\ndata_centre = \"a\"\npeer_port = 8702\nseeds = []\n\
             [listen]\nfront = \"{address}:8700\"\nready = \"{address}:8701\"\n\
             metrics = \"{address}:9464\"\n\
             [store]\naddress = \"{address}:9200\"\n[bounds]\n{bounds}\n[limits]\n{limits}\n"
        );
        std::fs::write(&self.settings, text).expect("a settings file");
    }

    /// Returns the address at which callers are served.
    pub fn front(&self) -> SocketAddr {
        (self.address, 8_700).into()
    }

    /// Returns the address of the readiness check.
    pub fn ready(&self) -> SocketAddr {
        (self.address, 8_701).into()
    }

    /// Returns the address at which other hosts ask for copies.
    pub fn copies(&self) -> SocketAddr {
        (self.address, 8_702).into()
    }

    /// Returns the address of the metrics.
    pub fn metrics(&self) -> SocketAddr {
        (self.address, 9_464).into()
    }

    /// Returns the address at which the process expects the store.
    pub fn store(&self) -> SocketAddr {
        (self.address, 9_200).into()
    }

    /// Returns an address for a backend server.
    pub fn server(&self) -> SocketAddr {
        (self.address, 9_100).into()
    }

    /// Starts the program. Its output is read when it ends.
    pub fn start(&self) -> Process {
        self.run(Command::new(PROGRAM).arg("--settings"), Stdio::piped)
    }

    /// Starts the program without reading its output, for tests that do not wait for its end.
    pub fn start_without_output(&self) -> Process {
        self.run(Command::new(PROGRAM).arg("--settings"), Stdio::null)
    }

    /// Starts the program with a limit on its file descriptors.
    pub fn start_with_descriptors(&self, max_descriptors: u32) -> Process {
        self.start_limited(max_descriptors, Stdio::piped)
    }

    /// Starts the program with a limit on its file descriptors, without reading its output.
    pub fn start_limited_without_output(&self, max_descriptors: u32) -> Process {
        self.start_limited(max_descriptors, Stdio::null)
    }

    fn start_limited(&self, max_descriptors: u32, output: fn() -> Stdio) -> Process {
        let limited = format!("ulimit -n {max_descriptors} && exec \"$0\" --settings \"$1\"");
        self.run(Command::new("sh").args(["-c", &limited, PROGRAM]), output)
    }

    fn run(&self, command: &mut Command, output: fn() -> Stdio) -> Process {
        let child = command
            .arg(&self.settings)
            .stdout(output())
            .stderr(output())
            .spawn()
            .expect("the program starts");
        Process(Some(child))
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_file(&self.settings) {
            eprintln!("{}: {error}", self.settings.display());
        }
    }
}

/// A started process. It is killed on drop unless its end was waited for.
pub struct Process(Option<Child>);

impl Process {
    fn child(&mut self) -> &mut Child {
        self.0.as_mut().expect("not waited for yet")
    }

    /// Sends a signal to the process.
    pub fn signal(&mut self, signal: Signal) {
        let id = i32::try_from(self.child().id()).expect("a process id");
        kill_process(Pid::from_raw(id).expect("not 0"), signal).expect("signalled");
    }

    /// Returns the id of the process.
    pub fn id(&mut self) -> u32 {
        self.child().id()
    }

    /// Returns the peak of the resident memory.
    pub fn peak_memory_kb(&mut self) -> u64 {
        let path = format!("/proc/{}/status", self.id());
        let text = std::fs::read_to_string(path).expect("the process lives");
        let line = text.lines().find(|line| line.starts_with("VmHWM:"));
        let line = line.expect("the peak of the resident memory");
        let number = line.split_whitespace().nth(1).expect("a number");
        number.parse().expect("a number")
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child().try_wait().expect("a child").is_some()
    }

    /// Waits for the end of the process and returns its output.
    pub fn wait_for_end(mut self) -> Output {
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while !self.has_ended() {
            assert!(Instant::now() < deadline, "the process does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
        let child = self.0.take().expect("not waited for yet");
        child.wait_with_output().expect("its output")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.0.take() {
            child.kill().expect("a child");
            child.wait().expect("a child");
        }
    }
}
