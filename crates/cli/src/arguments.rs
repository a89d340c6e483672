//! Every command, flag and environment variable of `jaystand`.

use std::{path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use jaystand_types::Version;

use crate::losses::Group;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused, or faults were found
  2  wrong usage, or a file that cannot be read
  3  the daemon or the platform cannot be reached, or did not confirm in time
  4  conflict: another operator was first

Examples:
  jaystand sheet check --sheet sheet.csv --directory directory.json
  jaystand sheet apply --sheet sheet.csv --wait
  jaystand server drain engine-7
  jaystand --address 10.0.0.1:8081 --admin-key-file key.txt host list --json";

/// Operates jaystand: routing sheet, teams, backend servers and hosts.
#[derive(Debug, Parser)]
#[command(name = "jaystand", version, after_help = EXIT_CODES, max_term_width = 100)]
pub(crate) struct Arguments {
    #[command(flatten)]
    pub(crate) connection: Connection,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Which daemon to call, and how to print.
#[derive(Debug, Args)]
pub(crate) struct Connection {
    /// Admin address of any daemon.
    #[arg(
        long,
        global = true,
        value_name = "HOST:PORT",
        env = "JAYSTAND_ADDRESS",
        default_value = "127.0.0.1:8081"
    )]
    pub(crate) address: String,
    /// Admin key; prefer the variable or the file, since other users of the machine can see arguments.
    #[arg(
        long,
        global = true,
        value_name = "KEY",
        env = "JAYSTAND_ADMIN_KEY",
        hide_env_values = true
    )]
    pub(crate) admin_key: Option<String>,
    /// File that holds the admin key; used when no key is given.
    #[arg(
        long,
        global = true,
        value_name = "FILE",
        env = "JAYSTAND_ADMIN_KEY_FILE"
    )]
    pub(crate) admin_key_file: Option<PathBuf>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check, compare, apply and roll back the routing sheet.
    #[command(subcommand)]
    Sheet(Sheet),
    /// Teams and their API keys.
    #[command(subcommand)]
    Team(Team),
    /// Request kinds of the sheet in force.
    #[command(subcommand)]
    Kind(Kind),
    /// Backend servers.
    #[command(subcommand)]
    Server(Server),
    /// Hosts that run the daemon.
    #[command(subcommand)]
    Host(Host),
    /// Show where the router would send a request, with each term of the score.
    Explain(Explain),
    /// Recent requests.
    #[command(subcommand)]
    Request(Request),
    /// Tell the story of one request from the logs of several daemons.
    #[command(
        after_help = "Example:\n  jaystand trace 9c41d07be2a35f68 host-1.log host-2.log --context"
    )]
    Trace(Trace),
    /// Count what became of all requests, from the logs of gateways.
    #[command(after_help = "Example:\n  jaystand losses --by time --slice 2s host-*.log")]
    Losses(Losses),
    /// Settings files of the daemon.
    #[command(subcommand)]
    Settings(Settings),
    /// Change the log level of the daemon that is called, until it restarts.
    LogLevel {
        /// off, error, warn, info, debug or trace.
        level: String,
    },
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Sheet {
    /// Check a sheet and a directory without calling a daemon; prints every fault.
    #[command(after_help = "Example:\n  jaystand sheet check --sheet monday.csv")]
    Check {
        /// Routing sheet (CSV).
        #[arg(long, value_name = "FILE", default_value = "sheet.csv")]
        sheet: PathBuf,
        /// Directory (JSON).
        #[arg(long, value_name = "FILE", default_value = "directory.json")]
        directory: PathBuf,
    },
    /// Show what a sheet would change.
    #[command(after_help = "Example:\n  jaystand sheet diff --sheet monday.csv")]
    Diff(Files),
    /// Put a sheet in force everywhere.
    #[command(
        after_help = "Example:\n  jaystand sheet apply --sheet monday.csv --note 'monday' --wait"
    )]
    Apply {
        #[command(flatten)]
        files: Files,
        /// Version that the sheet replaces, as `sheet status` showed it; without it the newest one.
        #[arg(long = "on", value_name = "VERSION")]
        parent: Option<Version>,
        #[command(flatten)]
        signature: Signature,
        #[command(flatten)]
        waiting: Waiting,
    },
    /// Show the configuration in force here and on the other hosts.
    Status,
    /// List former configurations, the newest first.
    History {
        /// Configurations to list.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=1000))]
        limit: u16,
    },
    /// Put the content of a former configuration in force, as a new version.
    #[command(after_help = "Example:\n  jaystand sheet rollback 41 --note 'wrong limits' --wait")]
    Rollback {
        /// The former version.
        version: Version,
        #[command(flatten)]
        signature: Signature,
        #[command(flatten)]
        waiting: Waiting,
    },
}

/// A proposed configuration.
#[derive(Debug, Args)]
pub(crate) struct Files {
    /// Routing sheet (CSV).
    #[arg(long, value_name = "FILE", default_value = "sheet.csv")]
    pub(crate) sheet: PathBuf,
    /// Directory (JSON); without it the one in force stays.
    #[arg(long, value_name = "FILE")]
    pub(crate) directory: Option<PathBuf>,
}

/// Author and note of a change, as the history shows them.
#[derive(Debug, Args)]
pub(crate) struct Signature {
    /// Who makes the change.
    #[arg(long, env = "USER", default_value = "", hide_env_values = true)]
    pub(crate) author: String,
    /// Reason for the change.
    #[arg(long, default_value = "")]
    pub(crate) note: String,
}

/// Whether to wait until a change is in force on every host, and for how long.
#[derive(Debug, Args)]
pub(crate) struct Waiting {
    /// Wait until the change is in force on all hosts.
    #[arg(long)]
    pub(crate) wait: bool,
    /// Longest wait.
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = humantime::parse_duration)]
    pub(crate) timeout: Duration,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Team {
    /// List the teams.
    List,
    /// Add a team; its API key is shown once.
    Add {
        /// Name.
        name: String,
        /// Weight in fair queueing.
        #[arg(long, default_value = "1")]
        weight: std::num::NonZeroU32,
        #[command(flatten)]
        signature: Signature,
    },
    /// Remove a team that the sheet does not name any more.
    Remove {
        /// Name.
        name: String,
        #[command(flatten)]
        signature: Signature,
    },
    /// Replace a team's API key; the new one is shown once and the old one stops working.
    Key {
        /// Name.
        name: String,
        #[command(flatten)]
        signature: Signature,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Kind {
    /// List the request kinds of every team.
    List,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Server {
    /// List the backend servers.
    List,
    /// Give a backend server no new work, on every host.
    Drain {
        /// Name.
        name: String,
    },
    /// Give a drained backend server work again.
    Undrain {
        /// Name.
        name: String,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum Host {
    /// List the hosts and the configuration that each has in force.
    List,
}

#[derive(Debug, Args)]
pub(crate) struct Explain {
    /// The team that would send the request.
    #[arg(long)]
    pub(crate) team: String,
    /// Its request kind; without it the team's first rule for the model.
    #[arg(long)]
    pub(crate) kind: Option<String>,
    /// Chat request (JSON); `-` reads standard input.
    pub(crate) file: PathBuf,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Request {
    /// Show the state and outcome of a request that the called daemon has handled.
    Show {
        /// Its `x-request-id`.
        id: String,
    },
}

#[derive(Debug, Args)]
pub(crate) struct Trace {
    /// Identity of the request, as its caller sent it.
    pub(crate) id: String,
    /// Logs (one JSON object per line); `-` reads standard input.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
    /// Also show what the request's hosts logged about themselves and its servers, from five seconds before its first
    /// line on.
    #[arg(long)]
    pub(crate) context: bool,
}

#[derive(Debug, Args)]
pub(crate) struct Losses {
    /// Logs (one JSON object per line); `-` reads standard input.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
    /// What requests are grouped by.
    #[arg(long, value_enum, default_value_t)]
    pub(crate) by: Group,
    /// Length of the time slices.
    #[arg(long, default_value = "4s", value_parser = humantime::parse_duration)]
    pub(crate) slice: Duration,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Settings {
    /// Check a settings file with the daemon's own checks.
    Check {
        /// The file (TOML).
        file: PathBuf,
    },
    /// Print the defaults.
    Defaults,
}
