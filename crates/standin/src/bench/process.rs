//! Daemon processes: start, signals by process id, and memory and processor time from `/proc`.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

/// Clock ticks a second in `/proc/<pid>/stat`; fixed at 100 for user space on Linux.
const TICKS_PER_S: f64 = 100.0;

/// A daemon process, killed on drop.
#[derive(Debug)]
pub(crate) struct Daemon {
    child: Child,
    pid: u32,
}

/// Memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Memory {
    pub(crate) resident_kib: u64,
    pub(crate) peak_kib: u64,
}

impl Daemon {
    pub(crate) fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let pid = child
            .id()
            .ok_or_else(|| io::Error::other("the daemon ended at once"))?;
        Ok(Self { child, pid })
    }

    /// Sends SIGTERM, which asks for a planned stop.
    pub(crate) fn terminate(&self) {
        let pid = i32::try_from(self.pid).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // Fails only when the process has ended already.
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Waits for the process to exit; returns whether it succeeded, or `None` after the timeout.
    pub(crate) async fn wait_exit(&mut self, timeout: Duration) -> Option<bool> {
        let ended = tokio::time::timeout(timeout, self.child.wait()).await;
        ended.ok()?.ok().map(|status| status.success())
    }

    /// Kills the process, as a crash would.
    pub(crate) async fn kill(&mut self) {
        let _ = self.child.kill().await;
    }

    pub(crate) fn memory(&self) -> Memory {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let number = line.and_then(|line| line.split_whitespace().next());
            number.and_then(|number| number.parse().ok()).unwrap_or(0)
        };
        Memory {
            resident_kib: field("VmRSS:"),
            peak_kib: field("VmHWM:"),
        }
    }

    /// Returns the processor time used so far.
    pub(crate) fn processor_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid)).unwrap_or_default();
        // Of the fields after the parenthesised name, the 12th and 13th are utime and stime.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let fields = fields.split_whitespace().skip(11).take(2);
        let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
        Duration::from_secs_f64(ticks / TICKS_PER_S)
    }
}

/// Returns the path of the daemon's program, which must be in the directory of this program.
pub(crate) fn daemon_program() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?.with_file_name("jaystandd");
    if program.exists() {
        return Ok(program);
    }
    let message = format!(
        "{} is missing; build it with `cargo build --release --locked --bin jaystandd`",
        program.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}
