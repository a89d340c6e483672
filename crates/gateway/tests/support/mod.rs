//! The program as a process of its own, on a loopback address of its own.

#![allow(dead_code, reason = "each test program uses a part of this")]

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::{Duration, Instant},
};

use jaystand_adapter_standin::call::{Call, Kind};
use rustix::process::{Pid, Signal, kill_process};

/// A test that waits longer for the process has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaystand-gateway");

/// The request of a caller.
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

/// A settings file and the addresses in it.
pub struct Scene {
    address: Ipv4Addr,
    settings: PathBuf,
}

impl Scene {
    /// A scene with the lines of its bounds. Each number has an address of its own, so that ports need not be drawn.
    pub fn new(number: u8, bounds: &str) -> Self {
        let process = std::process::id().to_le_bytes();
        let address = Ipv4Addr::new(127, 32 + process[1] % 32, process[0], number);
        let settings = std::env::temp_dir().join(format!(
            "jaystand-gateway-{}-{number}.toml",
            std::process::id()
        ));
        let text = format!(
            "host = \"host-{number}\"\ndata_centre = \"a\"\npeer_port = 8702\nseeds = []\n\
             [listen]\nfront = \"{address}:8700\"\nready = \"{address}:8701\"\n\
             [store]\naddress = \"{address}:9200\"\n[bounds]\n{bounds}\n"
        );
        std::fs::write(&settings, text).expect("a settings file");
        Self { address, settings }
    }

    /// Where callers are served.
    pub fn front(&self) -> SocketAddr {
        (self.address, 8_700).into()
    }

    /// Where the process looks for the store.
    pub fn store(&self) -> SocketAddr {
        (self.address, 9_200).into()
    }

    /// Where a backend server may listen.
    pub fn server(&self) -> SocketAddr {
        (self.address, 9_100).into()
    }

    /// Starts the program. What it prints is read when it ends.
    pub fn start(&self) -> Running {
        self.run(Command::new(PROGRAM).arg("--settings"), Stdio::piped)
    }

    /// Starts the program for a test that does not wait for its end: nobody would read what it prints.
    pub fn start_unheard(&self) -> Running {
        self.run(Command::new(PROGRAM).arg("--settings"), Stdio::null)
    }

    /// Starts the program with so many descriptors.
    pub fn start_with_descriptors(&self, most: u32) -> Running {
        let limited = format!("ulimit -n {most} && exec \"$0\" --settings \"$1\"");
        self.run(
            Command::new("sh").args(["-c", &limited, PROGRAM]),
            Stdio::piped,
        )
    }

    fn run(&self, command: &mut Command, output: fn() -> Stdio) -> Running {
        let child = command
            .arg(&self.settings)
            .stdout(output())
            .stderr(output())
            .spawn()
            .expect("the program starts");
        Running(Some(child))
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        if let Err(error) = std::fs::remove_file(&self.settings) {
            eprintln!("{}: {error}", self.settings.display());
        }
    }
}

/// A started process, which is killed if nobody waits for its end.
pub struct Running(Option<Child>);

impl Running {
    fn child(&mut self) -> &mut Child {
        self.0.as_mut().expect("not waited for yet")
    }

    pub fn signal(&mut self, signal: Signal) {
        let id = i32::try_from(self.child().id()).expect("a process id");
        kill_process(Pid::from_raw(id).expect("not 0"), signal).expect("signalled");
    }

    pub fn has_ended(&mut self) -> bool {
        self.child().try_wait().expect("a child").is_some()
    }

    /// Waits for the end of the process.
    pub fn ended(mut self) -> Output {
        let until = Instant::now() + PATIENCE;
        while !self.has_ended() {
            assert!(Instant::now() < until, "the process does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
        let child = self.0.take().expect("not waited for yet");
        child.wait_with_output().expect("its output")
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(mut child) = self.0.take() {
            child.kill().expect("a child");
            child.wait().expect("a child");
        }
    }
}
