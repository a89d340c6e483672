//! Demonstrates the router in one process. For each of the two deployments it starts stand-ins and two daemons on
//! loopback and sends a conversation, a long review, an urgent triage and an order twice.
//!
//! Exits with 0 only if every check holds; otherwise it prints the checks that failed.

use std::{fs, io, path::Path, process::ExitCode, time::Duration};

use jaystand_daemon::Settings;
use jaystand_standin::{
    caller::{Answer, Call, Caller},
    engine::{Message, token_text},
    fleet::{Deployment, Entry, Fleet},
};
use miette::IntoDiagnostic as _;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const DAEMONS: usize = 2;
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay of the urgent request, so that it arrives while the review is running.
const TRIAGE_DELAY: Duration = Duration::from_millis(150);

/// Indexes into [`Deployment::kinds`].
const TRIAGE: usize = 0;
const CHAT: usize = 2;
const REVIEW: usize = 3;
const ORDER: usize = 4;

/// One line of the printed table.
struct Line {
    label: String,
    daemon: usize,
    answer: Answer,
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    jaystand_kernel::install_logging("quickstart", log::LevelFilter::Error)?;
    let mut failures = Vec::new();
    for deployment in [Deployment::tanekaha(), Deployment::cumbre()] {
        run_deployment(deployment, &mut failures).await?;
    }
    if failures.is_empty() {
        println!("all checks passed");
        return Ok(ExitCode::SUCCESS);
    }
    for failure in &failures {
        println!("check failed: {failure}");
    }
    Ok(ExitCode::FAILURE)
}

async fn run_deployment(deployment: Deployment, failures: &mut Vec<String>) -> miette::Result<()> {
    let fleet = deployment.start(1, |_, _| {}).into_diagnostic()?;
    let entries = fleet.entries(DAEMONS).into_diagnostic()?;
    fleet.publish(&entries);
    let directory =
        std::env::temp_dir().join(format!("jaystand-quickstart-{}", std::process::id()));
    fs::create_dir_all(&directory).into_diagnostic()?;
    let mut daemons = Vec::new();
    for index in 0..DAEMONS {
        daemons.push(start_daemon(&fleet, &entries, index, &directory)?);
    }
    let caller = Caller::default();
    for entry in &entries {
        wait_ready(&caller, entry).await.into_diagnostic()?;
    }
    println!(
        "{}: {} engines, {} {} servers, {DAEMONS} daemons",
        fleet.deployment.name,
        fleet.engines.len(),
        fleet.ledgers.len(),
        fleet.deployment.service,
    );
    let lines = send_requests(&fleet, &entries, &caller).await;
    print_table(&lines);
    check_answers(&fleet, &lines, failures);
    for (stop, daemon) in daemons {
        stop.cancel();
        daemon.await.into_diagnostic()??;
    }
    fs::remove_dir_all(&directory).into_diagnostic()
}

/// Starts a daemon in this process from a settings file, as an operator would.
fn start_daemon(
    fleet: &Fleet,
    entries: &[Entry],
    index: usize,
    directory: &Path,
) -> miette::Result<(CancellationToken, JoinHandle<miette::Result<()>>)> {
    let bootstrap = directory.join("bootstrap.json");
    let document = serde_json::to_vec(&fleet.document()).into_diagnostic()?;
    fs::write(&bootstrap, document).into_diagnostic()?;
    let path = directory.join(format!("{}.toml", entries[index].name));
    let settings = fleet.settings(entries, index, "jaystand", &bootstrap);
    fs::write(&path, settings).into_diagnostic()?;
    let settings = Settings::read(&path)?;
    let stop = CancellationToken::new();
    let stopped = stop.clone().cancelled_owned();
    Ok((stop, tokio::spawn(jaystand_daemon::run(settings, stopped))))
}

async fn wait_ready(caller: &Caller, entry: &Entry) -> io::Result<()> {
    let ready = async {
        loop {
            let state = caller.get(entry.admin, "/readyz", "").await;
            if state.is_some_and(|(status, _)| status.is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(READY_TIMEOUT, ready).await;
    waited.map_err(|_| {
        io::Error::other(format!(
            "{} is not ready after {READY_TIMEOUT:?}",
            entry.name
        ))
    })
}

/// Sends the conversation, the review, the triage and the order; returns a line for each answer.
async fn send_requests(fleet: &Fleet, entries: &[Entry], caller: &Caller) -> Vec<Line> {
    let send = async |label: &str, daemon: usize, call: Call| Line {
        label: label.to_owned(),
        daemon,
        answer: caller.send(entries[daemon].callers, &call).await,
    };
    let mut lines = Vec::new();
    let mut messages = vec![
        message("system", &text("house rules", 2048)),
        message("user", &text("site handbook", 8192)),
        message("user", "Which filter suits this tank?"),
    ];
    for turn in ["first turn", "second turn", "third turn"] {
        // Consecutive turns go through different daemons.
        let daemon = lines.len() % DAEMONS;
        let line = send(turn, daemon, completion(fleet, CHAT, &messages, 24)).await;
        messages.push(message("assistant", &line.answer.text));
        messages.push(message("user", &format!("And after the {turn}?")));
        lines.push(line);
    }
    let review = vec![
        message("system", &text("house rules", 2048)),
        message("user", &text("plans to review", 32_768)),
    ];
    let triage = vec![
        message("system", &text("house rules", 2048)),
        message(
            "user",
            "Water on the classroom floor, a 200 l tank, who can come?",
        ),
    ];
    let review = send("long review", 0, completion(fleet, REVIEW, &review, 200));
    let triage = async {
        tokio::time::sleep(TRIAGE_DELAY).await;
        send("urgent triage", 1, completion(fleet, TRIAGE, &triage, 6)).await
    };
    let (review, triage) = tokio::join!(review, triage);
    lines.extend([triage, review]);
    let kind = fleet.deployment.kinds[ORDER].name;
    for (label, daemon) in [("order", 0), ("order repeated", 1)] {
        let body = json!({"glass": "6 mm", "panes": 4}).to_string();
        let call = Call::service(Deployment::team_key(0), kind, Some(order_key(fleet)), body);
        lines.push(send(label, daemon, call).await);
    }
    lines
}

fn completion(fleet: &Fleet, kind: usize, messages: &[Message], tokens: u32) -> Call {
    let body = json!({
        "model": fleet.deployment.model,
        "stream": true,
        "max_tokens": tokens,
        "messages": messages,
    });
    let kind = fleet.deployment.kinds[kind].name;
    Call::completion(Deployment::team_key(0), kind, body.to_string())
}

fn check_answers(fleet: &Fleet, lines: &[Line], failures: &mut Vec<String>) {
    let name = fleet.deployment.name;
    let mut require = |holds: bool, failure: String| {
        if !holds {
            failures.push(format!("{name}: {failure}"));
        }
    };
    for line in lines {
        let answer = &line.answer;
        require(
            answer.complete(),
            format!(
                "{} is not a whole answer (status {:?}, {:?}, outcome `{}`: {})",
                line.label, answer.status, answer.cut, answer.outcome, answer.text
            ),
        );
    }
    let (first, second) = (&lines[0].answer, &lines[1].answer);
    require(
        first.served_by == second.served_by,
        format!(
            "the second turn was served by `{}`, the first by `{}`",
            second.served_by, first.served_by
        ),
    );
    require(
        second.cached_tokens.is_some_and(|cached| cached > 0),
        format!(
            "the second turn had {:?} cached tokens",
            second.cached_tokens
        ),
    );
    let executions = executions(fleet);
    println!("executions in the ledgers' own records: {executions}\n");
    require(
        executions == 1,
        format!("the repeated order was executed {executions} times"),
    );
}

/// Returns how often the order was executed, over all ledgers.
fn executions(fleet: &Fleet) -> u32 {
    let key = order_key(fleet);
    let counts = fleet
        .ledgers
        .iter()
        .map(|ledger| ledger.standin().executions());
    counts.filter_map(|counts| counts.get(&key).copied()).sum()
}

fn order_key(fleet: &Fleet) -> String {
    format!("quickstart-{}", fleet.deployment.name)
}

fn print_table(lines: &[Line]) {
    println!(
        "  {:<15} {:<8} {:<12} {:<12} {:>7} {:>14} {:>9} outcome",
        "request", "daemon", "server", "data centre", "cached", "first token ms", "whole ms"
    );
    for Line {
        label,
        daemon,
        answer,
    } in lines
    {
        let first = answer.first_token.unwrap_or_default().as_secs_f64() * 1000.0;
        let cached = answer
            .cached_tokens
            .map_or_else(|| "-".to_owned(), |cached| cached.to_string());
        println!(
            "  {label:<15} entry-{:<2} {:<12} {:<12} {cached:>7} {first:>14.1} {:>9.1} {}",
            daemon + 1,
            answer.served_by,
            answer.data_centre,
            answer.total.as_secs_f64() * 1000.0,
            answer.outcome,
        );
    }
}

fn message(role: &str, content: &str) -> Message {
    Message {
        role: role.to_owned(),
        content: content.to_owned(),
    }
}

/// Returns deterministic text of a length; it depends on the label alone.
fn text(label: &str, bytes: usize) -> String {
    let seed = label
        .bytes()
        .fold(7, |seed: u64, byte| seed.wrapping_mul(31) + u64::from(byte));
    let mut text = String::with_capacity(bytes + 16);
    let mut index = 0;
    while text.len() < bytes {
        text.push_str(&token_text(seed, index));
        index += 1;
    }
    text.truncate(bytes);
    text
}
