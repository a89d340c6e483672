//! `stream`: sends a long stream through each of two daemons to a caller that reads slowly.

use std::{io, time::Duration};

use clap::Args;
use jaystand_standin::{
    caller::Call,
    engine::{Prompt, answer_text},
    fleet::Deployment,
};
use serde_json::json;

use super::{cluster::Cluster, trace::message};

/// Maximum growth of a daemon's memory that counts as bounded; the stream itself has about 4 MB.
const MAX_GROWTH_KIB: u64 = 16 * 1024;
const LONG_KIND: usize = 3;

/// Streams 20,000 chunks through each of two daemons.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Chunks of the stream.
    #[arg(long, default_value_t = 20_000)]
    chunks: u32,
    /// Pause of the caller after each read, in milliseconds.
    #[arg(long, default_value_t = 10)]
    read_pause_ms: u64,
}

pub(crate) async fn stream(options: Options) -> io::Result<bool> {
    let deployment = Deployment {
        engines: 2,
        services: 1,
        ..Deployment::cumbre()
    };
    let cluster = Cluster::start(deployment, 2, "jaystand", 1, |_, settings| {
        settings.step = Duration::from_micros(20);
        settings.step_per_request = Duration::ZERO;
        settings.prefill_per_token = Duration::ZERO;
    })
    .await?;
    let messages = [message(
        "user",
        "Summarise the history of marker 12.".to_owned(),
    )];
    let expected = answer_text(Prompt::new("", &messages, 0, 1024, 4).hash, options.chunks);
    let body = json!({
        "model": cluster.fleet.deployment.model,
        "stream": true,
        "max_tokens": options.chunks,
        "messages": messages,
    });
    let kind = cluster.fleet.deployment.kinds[LONG_KIND].name;
    let mut call = Call::completion(Deployment::team_key(0), kind, body.to_string());
    call.read_pause = Duration::from_millis(options.read_pause_ms);
    let before = [cluster.memory(0).await, cluster.memory(1).await];
    let caller = cluster.balancer.caller();
    let answers = tokio::join!(
        caller.send(cluster.entries[0].callers, &call),
        caller.send(cluster.entries[1].callers, &call),
    );
    let mut passed = true;
    for (index, answer) in [answers.0, answers.1].into_iter().enumerate() {
        let after = cluster.memory(index).await;
        let same = answer.complete() && answer.text == expected;
        let growth = after.peak_kib.saturating_sub(before[index].resident_kib);
        let bounded = growth <= MAX_GROWTH_KIB;
        passed &= same && bounded;
        println!(
            "{}: {} chunks in {:.1} s, {}, memory {} KiB before, {} KiB at its peak, {} KiB after ({})",
            cluster.entries[index].name,
            answer.chunks,
            answer.total.as_secs_f64(),
            if same {
                "byte for byte the same".to_owned()
            } else {
                format!(
                    "NOT the same ({:?}, outcome `{}`)",
                    answer.cut, answer.outcome
                )
            },
            before[index].resident_kib,
            after.peak_kib,
            after.resident_kib,
            if bounded { "bounded" } else { "NOT bounded" },
        );
    }
    cluster.shut_down().await;
    Ok(passed)
}
