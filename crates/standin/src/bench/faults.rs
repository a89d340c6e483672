//! `faults`: sends many requests under random faults and checks the answers against the stand-ins' records.

use std::{
    collections::{HashMap, HashSet},
    io,
    sync::Arc,
    time::Duration,
};

use clap::Args;
use futures::StreamExt as _;
use jaystand_standin::{
    caller::{Answer, Call},
    engine::{self, Faults, Prompt, StreamFault, answer_text},
    fleet::Deployment,
    ledger, platform,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde_json::json;

use super::{
    cluster::Cluster,
    run,
    trace::{filler, message},
};

/// One in this many requests is an order.
const ORDER_ONE_IN: u64 = 10;
const ORDER_KIND: usize = 4;
/// Time between two changes of the faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
const MAX_EXAMPLES: usize = 5;

/// Sends requests under random faults.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Requests.
    #[arg(long, default_value_t = 10_000)]
    requests: u64,
    /// Seed of the requests and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Rate of requests that an engine fault hits.
    #[arg(long, default_value_t = 0.1)]
    rate: f64,
    /// Requests in flight.
    #[arg(long, default_value_t = 96)]
    parallel: usize,
}

/// A request and what its answer is checked against.
#[derive(Clone, Debug)]
struct SentRequest {
    call: Call,
    prompt: u64,
    tokens: u32,
}

/// Counts of answers and of violations.
#[derive(Debug, Default)]
struct Verdict {
    whole: u64,
    refused: u64,
    failed: u64,
    crossed: u64,
    reordered: u64,
    truncated: u64,
    wrongly_not_run: u64,
    executed_twice: u64,
    done_without_execution: u64,
    examples: Vec<String>,
}

pub(crate) async fn faults(options: Options) -> io::Result<bool> {
    let deployment = Deployment::cumbre();
    let cluster = Cluster::start(
        deployment,
        run::DAEMONS,
        "jaystand",
        options.seed,
        |_, settings| {
            settings.step = Duration::from_millis(2);
            settings.step_per_request = Duration::from_micros(50);
            settings.prefill_per_token = Duration::from_micros(5);
            settings.slots = 32;
        },
    );
    let cluster = Arc::new(cluster.await?);
    let fault_task = tokio::spawn(change_faults(
        Arc::clone(&cluster),
        options.seed,
        options.rate,
    ));
    let sent: Vec<SentRequest> = (0..options.requests)
        .map(|index| build_request(&cluster, options.seed, index))
        .collect();
    let balancer = &cluster.balancer;
    // Unordered, so that an order whose ledger is silent does not delay the requests after it.
    let answers = futures::stream::iter(sent.iter().enumerate())
        .map(|(index, sent)| async move { (index, balancer.send(&sent.call).await) });
    let answers = answers.buffer_unordered(options.parallel);
    let mut answers: Vec<(usize, Answer)> = answers.collect().await;
    answers.sort_by_key(|(index, _)| *index);
    let answers: Vec<Answer> = answers.into_iter().map(|(_, answer)| answer).collect();
    fault_task.abort();
    let _ = fault_task.await;
    let verdict = check_answers(&cluster, &sent, &answers);
    print_verdict(&verdict, answers.len());
    if let Ok(cluster) = Arc::try_unwrap(cluster) {
        cluster.shut_down().await;
    }
    let violations =
        verdict.crossed + verdict.reordered + verdict.truncated + verdict.wrongly_not_run;
    let violations = violations + verdict.executed_twice + verdict.done_without_execution;
    Ok(violations == 0 && verdict.whole > 0)
}

fn build_request(cluster: &Cluster, seed: u64, index: u64) -> SentRequest {
    let deployment = &cluster.fleet.deployment;
    let team = usize::try_from(index % 8).unwrap_or(0);
    let key = Deployment::team_key(team);
    if index.is_multiple_of(ORDER_ONE_IN) {
        let kind = deployment.kinds[ORDER_KIND].name;
        let order = format!("order-{seed}-{index}");
        let body = json!({"order": order}).to_string();
        return SentRequest {
            call: Call::service(key, kind, Some(order), body),
            prompt: 0,
            tokens: 0,
        };
    }
    let kind = usize::try_from(index % 3).unwrap_or(0);
    let tokens = 4 + u32::try_from(index % 29).unwrap_or(0);
    let messages = [
        message("system", filler(&format!("system {team}"), 1500)),
        message("user", filler(&format!("request {seed} {index}"), 200)),
    ];
    let body = json!({
        "model": deployment.model,
        "stream": true,
        "max_tokens": tokens,
        "messages": messages,
    });
    SentRequest {
        call: Call::completion(key, deployment.kinds[kind].name, body.to_string()),
        prompt: Prompt::new("", &messages, 0, 1024, 4).hash,
        tokens,
    }
}

/// Changes the faults of the engines and ledgers, and crashes or silences an engine, until aborted.
async fn change_faults(cluster: Arc<Cluster>, seed: u64, rate: f64) -> io::Result<()> {
    let mut random = Pcg64::seed_from_u64(seed);
    let fleet = &cluster.fleet;
    fleet.platform.set_faults(platform::Faults {
        lost_before: 0.02,
        lost_after: 0.02,
        ..platform::Faults::default()
    });
    loop {
        for engine in &fleet.engines {
            let offset = random.random_range(0..16);
            engine.set_faults(Faults {
                stream: stream_faults(offset),
                rate,
                slow: if random.random_bool(0.1) { 4.0 } else { 1.0 },
                seed: random.random(),
                ..Faults::default()
            });
        }
        for ledger in &fleet.ledgers {
            ledger.set_faults(ledger_faults(random.random_range(0..20)));
        }
        let chosen = random.random_range(0..fleet.engines.len());
        if random.random_bool(0.5) {
            fleet.engines[chosen].crash().await;
            fleet.engines[chosen].restart()?;
        } else {
            fleet.engines[chosen].silence_existing();
        }
        tokio::time::sleep(FAULT_INTERVAL).await;
    }
}

fn stream_faults(offset: u32) -> Vec<StreamFault> {
    vec![
        StreamFault::Drop(offset),
        StreamFault::Silent(offset),
        StreamFault::Duplicate(offset),
        StreamFault::Skip(offset),
        StreamFault::Reorder(offset),
        StreamFault::Crossed(offset),
        StreamFault::BadBytes(offset),
        StreamFault::Truncate(offset),
        StreamFault::WrongRequestId,
        StreamFault::Refuse { proof: true },
        StreamFault::Refuse { proof: false },
        StreamFault::Late(300),
    ]
}

/// Returns the faults of a ledger. Most choices mean none, so that most ledgers work at any moment.
fn ledger_faults(choice: u32) -> ledger::Faults {
    ledger::Faults {
        drop_after_execution: choice == 0,
        refuse: choice == 1,
        silent: choice == 2,
        wrong_request_id: choice == 3,
        slow_ms: if choice == 4 { 300 } else { 0 },
        ..ledger::Faults::default()
    }
}

fn check_answers(cluster: &Cluster, sent: &[SentRequest], answers: &[Answer]) -> Verdict {
    let fleet = &cluster.fleet;
    let ran: HashSet<u64> = fleet
        .engines
        .iter()
        .flat_map(engine::Handle::records)
        .filter(|record| record.started_us.is_some())
        .map(|record| record.prompt)
        .collect();
    let mut executions: HashMap<String, u32> = HashMap::new();
    for ledger in &fleet.ledgers {
        for (key, count) in ledger.standin().executions() {
            *executions.entry(key).or_default() += count;
        }
    }
    let mut verdict = Verdict::default();
    for (sent, answer) in sent.iter().zip(answers) {
        let violation = match &sent.call.idempotency_key {
            Some(key) => {
                let executed = executions.get(key).copied().unwrap_or(0);
                verdict.check_order(answer, executed)
            }
            None => verdict.check_completion(sent, answer, ran.contains(&sent.prompt)),
        };
        if answer.complete() {
            verdict.whole += 1;
        } else if answer.not_run() {
            verdict.refused += 1;
        } else {
            verdict.failed += 1;
        }
        if let Some(violation) = violation.filter(|_| verdict.examples.len() < MAX_EXAMPLES) {
            verdict.examples.push(format!(
                "{violation}: request {} of kind {} by {}, status {:?}, outcome `{}`, {} chunks of {}",
                answer.request_id,
                sent.call.kind,
                answer.served_by,
                answer.status,
                answer.outcome,
                answer.chunks,
                sent.tokens,
            ));
        }
    }
    verdict
}

impl Verdict {
    /// Checks the answer to a completion; returns the violation, if any.
    fn check_completion(
        &mut self,
        sent: &SentRequest,
        answer: &Answer,
        ran: bool,
    ) -> Option<&'static str> {
        let expected = answer_text(sent.prompt, sent.tokens);
        // The body of a refusal is not answer text.
        let streamed = answer.chunks > 0 || answer.complete();
        if answer.foreign_chunks > 0 {
            self.crossed += 1;
            return Some("crossed");
        }
        if streamed && !expected.starts_with(&answer.text) {
            self.reordered += 1;
            return Some("reordered or foreign text");
        }
        if answer.complete() && answer.text != expected {
            self.truncated += 1;
            return Some("truncated as complete");
        }
        if answer.not_run() && ran {
            self.wrongly_not_run += 1;
            return Some("wrongly not_run");
        }
        None
    }

    /// Checks the answer to an order; returns the violation, if any.
    fn check_order(&mut self, answer: &Answer, executed: u32) -> Option<&'static str> {
        if executed > 1 {
            self.executed_twice += 1;
            return Some("executed twice");
        }
        if answer.not_run() && executed > 0 {
            self.wrongly_not_run += 1;
            return Some("wrongly not_run");
        }
        if answer.complete() && executed == 0 {
            self.done_without_execution += 1;
            return Some("done without execution");
        }
        None
    }
}

fn print_verdict(verdict: &Verdict, total: usize) {
    println!(
        "{total} requests: {} whole, {} not_run, {} ended with an error or unknown",
        verdict.whole, verdict.refused, verdict.failed
    );
    let counts = [
        ("crossed", verdict.crossed),
        ("reordered or foreign text", verdict.reordered),
        ("truncated as complete", verdict.truncated),
        ("wrongly not_run", verdict.wrongly_not_run),
        ("orders executed twice", verdict.executed_twice),
        (
            "orders done without execution",
            verdict.done_without_execution,
        ),
    ];
    for (name, count) in counts {
        println!("{name:<30} {count}");
    }
    for example in &verdict.examples {
        println!("example: {example}");
    }
}

#[cfg(test)]
mod tests;
