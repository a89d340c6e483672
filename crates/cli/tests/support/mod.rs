//! Runs the tool in a temporary directory and renders what it prints.
#![allow(dead_code, reason = "no test file uses every helper")]

pub mod live;

use std::{
    fmt::Write as _,
    path::{Path, PathBuf},
    process::{Command, Output},
};

/// Temporary directory that is removed with its files on drop.
pub struct Scratch(PathBuf);

impl Scratch {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("jaystand-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn write(&self, name: &str, content: impl AsRef<[u8]>) {
        std::fs::write(self.0.join(name), content).expect("a file");
    }

    pub fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jaystand"));
        command.args(arguments).current_dir(&self.0).env_clear();
        command
    }

    /// Runs the tool and returns the command line, standard output, standard error and exit code.
    pub fn run(&self, arguments: &[&str]) -> String {
        render(arguments, &self.command(arguments).output().expect("a run"))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Formats the command line, standard output, standard error and exit code of a run.
pub fn render(arguments: &[&str], output: &Output) -> String {
    let mut text = format!("$ jaystand {}\n", arguments.join(" "));
    text += &String::from_utf8_lossy(&output.stdout);
    text += &String::from_utf8_lossy(&output.stderr);
    let code = output.status.code().expect("an exit code");
    writeln!(text, "exit {code}\n").expect("a string");
    text
}

/// Reads a file of the workspace's `examples` folder.
pub fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    std::fs::read_to_string(root.join(name)).expect("an example")
}
