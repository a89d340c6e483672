//! `jaystand`, the operators' command-line tool. It reads files, calls the admin API of one daemon and prints text or
//! JSON.

mod arguments;
mod client;
mod error;
mod inspect;
mod logs;
mod losses;
mod output;
mod settings;
mod sheet;
mod team;
mod trace;

use clap::{CommandFactory, Parser};

use arguments::{Arguments, Command};
use client::Client;
use error::Error;
use output::Output;

/// Runs the command given by the process arguments and returns its exit code.
#[must_use]
pub fn run() -> u8 {
    let arguments = Arguments::parse();
    let output = Output {
        json: arguments.connection.json,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(execute(arguments, &output)),
        Err(error) => Err(Error::refused(
            format!("the runtime does not start: {error}"),
            "free memory or file descriptors and run the command again",
        )),
    };
    match result {
        Ok(()) => 0,
        Err(error) => {
            error.print();
            error.exit_code()
        }
    }
}

async fn execute(arguments: Arguments, output: &Output) -> Result<(), Error> {
    let new_client = || Client::new(&arguments.connection);
    match arguments.command {
        Command::Sheet(command) => sheet::run(command, new_client, output).await,
        Command::Team(command) => team::run(command, &new_client()?, output).await,
        Command::Kind(command) => inspect::kinds(&command, &new_client()?, output).await,
        Command::Server(command) => inspect::servers(command, &new_client()?, output).await,
        Command::Host(command) => inspect::hosts(&command, &new_client()?, output).await,
        Command::Explain(command) => inspect::explain(command, &new_client()?, output).await,
        Command::Request(command) => inspect::request(command, &new_client()?, output).await,
        Command::Trace(command) => trace::run(&command, output),
        Command::Losses(command) => losses::run(&command, output),
        Command::Settings(command) => settings::run(&command, output),
        Command::LogLevel { level } => inspect::log_level(&level, &new_client()?, output).await,
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "jaystand", &mut std::io::stdout());
            Ok(())
        }
    }
}
