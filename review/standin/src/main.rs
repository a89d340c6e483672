//! Runs the cases of the review as scripts: starts gateways, and stands in for their platform, servers and callers.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod caller;
mod deadly;
mod engine;
mod fleet;
mod gateway;
mod grace;
mod http;
mod partition;
mod peers;
mod record;
mod relay;
mod server;
mod store;

use std::{
    env,
    net::{IpAddr, Ipv4Addr},
    path::PathBuf,
    process::ExitCode,
};

use record::Record;

/// The result of a run.
pub enum Verdict {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let process = std::process::id().to_le_bytes();
    let base = [64 + process[0] / 2, process[1] ^ process[0]];
    let address = |number: u8| IpAddr::V4(Ipv4Addr::new(127, base[0], base[1], number));
    let folder: PathBuf = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let result = std::fs::create_dir_all(&folder).and_then(|()| {
        let record = Record::create(path.as_ref())?;
        match case.as_str() {
            "partition" => partition::run(trouble, &record, &folder, address),
            "relay" => relay::run(trouble, &record, &folder, address),
            "grace" => grace::run(trouble, &record, &folder, address),
            "deadly" => deadly::run(trouble, &record, &folder, address),
            _ => Ok(Verdict::NotRun(format!("no case `{case}`"))),
        }
    });
    if env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("settings and logs: {}", folder.display());
    }
    match result {
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::NotRun(reason)) => {
            println!("not run: {reason}");
            ExitCode::from(2)
        }
        Err(error) => {
            println!("not run: {error}");
            ExitCode::from(2)
        }
    }
}
