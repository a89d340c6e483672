//! The measures of a comparison, computed from the answers and the engines' records.

use std::time::Duration;

use hdrhistogram::Histogram;
use jaystand_standin::fleet::Deployment;
use serde::Serialize;

use super::{
    run::{Outcome, started_by_prompt},
    trace::{Arrival, Window, is_urgent},
};

/// Longest time that a histogram holds, in microseconds.
const MAX_US: u64 = 60_000_000;

/// Definitions of the measures, printed below every table.
pub(crate) const DEFINITIONS: [(&str, &str); 8] = [
    (
        "hit rate",
        "prompt tokens found in caches / prompt tokens of all attempts that ran; `of oracle`: found tokens / \
         tokens that one unbounded cache would have found for the same attempts",
    ),
    (
        "urgent first token",
        "time from sending an urgent request to its first token; a request without one counts as its deadline; \
         quiet: window without long work and slowed servers; crest: both crests of 5x load",
    ),
    (
        "wasted tokens",
        "recomputed prompt tokens that an unbounded cache would have had, over all attempts, in thousands",
    ),
    (
        "head-of-line",
        "urgent first-token p99 in the quiet window with long work minus that in the quiet window just before, without",
    ),
    (
        "crest goodput",
        "whole answers inside their deadline / requests that arrive in the crests",
    ),
    (
        "slowed",
        "urgent first-token p99 while 1 in 8 servers is slowed 8x / p99 in the quiet window before, with long work too",
    ),
    (
        "refused, failed, cut",
        "share answered not_run; share ended by an explicit error; number of answers with neither an end nor an \
         error, unfinished ones included",
    ),
    (
        "long done",
        "whole answers to long work / long requests, at the end of the run",
    ),
];

/// The values of all measures for one run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub(crate) hit_rate: f64,
    pub(crate) hit_of_oracle: f64,
    pub(crate) quiet_p50_ms: f64,
    pub(crate) quiet_p99_ms: f64,
    pub(crate) crest_p50_ms: f64,
    pub(crate) crest_p99_ms: f64,
    pub(crate) crest_to_quiet: f64,
    pub(crate) wasted_ktokens: f64,
    pub(crate) head_of_line_ms: f64,
    pub(crate) crest_goodput: f64,
    pub(crate) slowed_ratio: f64,
    pub(crate) long_done: f64,
    pub(crate) whole: f64,
    pub(crate) refused: f64,
    pub(crate) failed: f64,
    pub(crate) cut: f64,
    pub(crate) attempts: f64,
    /// Urgent first-token p99 by half seconds of the run, for the plot.
    pub(crate) p99_by_time_ms: Vec<f64>,
}

/// A row of the table: its name, its number of decimals and the value in [`Figures`] that it shows.
#[derive(Clone, Copy)]
pub(crate) struct Measure {
    pub(crate) name: &'static str,
    pub(crate) decimals: usize,
    pub(crate) read: fn(&Figures) -> f64,
}

pub(crate) const MEASURES: [Measure; 17] = [
    measure("hit rate", 3, |figures| figures.hit_rate),
    measure("hit rate of oracle", 3, |figures| figures.hit_of_oracle),
    measure("urgent p50 quiet ms", 0, |figures| figures.quiet_p50_ms),
    measure("urgent p99 quiet ms", 0, |figures| figures.quiet_p99_ms),
    measure("urgent p50 crest ms", 0, |figures| figures.crest_p50_ms),
    measure("urgent p99 crest ms", 0, |figures| figures.crest_p99_ms),
    measure("crest / quiet p99", 2, |figures| figures.crest_to_quiet),
    measure("wasted ktokens", 0, |figures| figures.wasted_ktokens),
    measure("head-of-line ms", 0, |figures| figures.head_of_line_ms),
    measure("crest goodput", 3, |figures| figures.crest_goodput),
    measure("slowed p99 ratio", 2, |figures| figures.slowed_ratio),
    measure("long done", 3, |figures| figures.long_done),
    measure("whole answers", 3, |figures| figures.whole),
    measure("refused", 3, |figures| figures.refused),
    measure("failed", 3, |figures| figures.failed),
    measure("cut answers", 0, |figures| figures.cut),
    measure("attempts/request", 3, |figures| figures.attempts),
];

const fn measure(name: &'static str, decimals: usize, read: fn(&Figures) -> f64) -> Measure {
    Measure {
        name,
        decimals,
        read,
    }
}

/// Computes the figures of a run.
pub(crate) fn figures(deployment: &Deployment, trace: &[Arrival], outcome: &Outcome) -> Figures {
    let quiet = urgent_latencies(deployment, trace, outcome, |arrival| {
        arrival.window == Window::Clean
    });
    let crest = urgent_latencies(deployment, trace, outcome, |arrival| {
        arrival.window.is_crest()
    });
    let long = urgent_latencies(deployment, trace, outcome, |arrival| {
        arrival.window == Window::Long
    });
    let slow = urgent_latencies(deployment, trace, outcome, |arrival| {
        arrival.window == Window::Slow
    });
    let tokens = sum_tokens(trace, outcome);
    let in_time = |index: usize, arrival: &Arrival| {
        let deadline = deployment.kinds[arrival.kind].deadline;
        let answer = outcome.answers[index].as_ref();
        answer.is_some_and(|answer| answer.complete() && answer.total <= deadline)
    };
    let complete = |index: usize, _: &Arrival| {
        let answer = outcome.answers[index].as_ref();
        answer.is_some_and(jaystand_standin::caller::Answer::complete)
    };
    let refused = |index: usize, _: &Arrival| {
        let answer = outcome.answers[index].as_ref();
        answer.is_some_and(|answer| !answer.complete() && answer.not_run())
    };
    let failed = |index: usize, _: &Arrival| {
        let answer = outcome.answers[index].as_ref();
        answer.is_some_and(|answer| answer.failed() && !answer.not_run())
    };
    let cut = |index: usize, arrival: &Arrival| {
        let ended = complete(index, arrival) || refused(index, arrival) || failed(index, arrival);
        !ended
    };
    let (cut_share, total) = (share(trace, |_| true, cut), count_as_f64(trace.len()));
    Figures {
        hit_rate: ratio(tokens.cached, tokens.prompt),
        hit_of_oracle: ratio(tokens.cached, tokens.known),
        quiet_p50_ms: percentile(&quiet, 50.0),
        quiet_p99_ms: percentile(&quiet, 99.0),
        crest_p50_ms: percentile(&crest, 50.0),
        crest_p99_ms: percentile(&crest, 99.0),
        crest_to_quiet: percentile(&crest, 99.0) / percentile(&quiet, 99.0).max(0.001),
        wasted_ktokens: tokens.wasted / 1000.0,
        head_of_line_ms: percentile(&long, 99.0) - percentile(&quiet, 99.0),
        crest_goodput: share(trace, |arrival| arrival.window.is_crest(), in_time),
        slowed_ratio: percentile(&slow, 99.0) / percentile(&long, 99.0).max(0.001),
        long_done: share(trace, Arrival::is_long, complete),
        whole: share(trace, |_| true, complete),
        refused: share(trace, |_| true, refused),
        failed: share(trace, |_| true, failed),
        cut: cut_share * total,
        attempts: tokens.attempts / total.max(1.0),
        p99_by_time_ms: p99_by_time(deployment, trace, outcome),
    }
}

#[derive(Default)]
struct Tokens {
    prompt: f64,
    cached: f64,
    known: f64,
    wasted: f64,
    attempts: f64,
}

/// Sums the tokens of all attempts that ran, including retries and hedges.
fn sum_tokens(trace: &[Arrival], outcome: &Outcome) -> Tokens {
    let by_prompt = started_by_prompt(&outcome.records);
    let mut sum = Tokens::default();
    for arrival in trace {
        for record in by_prompt.get(&arrival.prompt).into_iter().flatten() {
            sum.attempts += 1.0;
            sum.prompt += f64::from(record.prompt_tokens);
            sum.cached += f64::from(record.cached_tokens);
            sum.known += f64::from(arrival.known_tokens);
            sum.wasted += f64::from(arrival.known_tokens.saturating_sub(record.cached_tokens));
        }
    }
    sum
}

/// Returns the first-token times of the selected urgent requests; the deadline stands for a missing answer.
fn urgent_latencies(
    deployment: &Deployment,
    trace: &[Arrival],
    outcome: &Outcome,
    wanted: impl Fn(&Arrival) -> bool,
) -> Histogram<u64> {
    let mut histogram = histogram();
    for (arrival, answer) in trace.iter().zip(&outcome.answers) {
        if is_urgent(deployment, arrival) && wanted(arrival) {
            let first = answer.as_ref().filter(|answer| answer.complete());
            let first = first.and_then(|answer| answer.first_token);
            record(
                &mut histogram,
                first.unwrap_or(deployment.kinds[arrival.kind].deadline),
            );
        }
    }
    histogram
}

fn p99_by_time(deployment: &Deployment, trace: &[Arrival], outcome: &Outcome) -> Vec<f64> {
    let slice = Duration::from_millis(500);
    let p99 = |from: Duration| {
        let inside = |arrival: &Arrival| arrival.at >= from && arrival.at < from + slice;
        percentile(&urgent_latencies(deployment, trace, outcome, inside), 99.0)
    };
    let slice_count = Window::Tail.bounds().1.as_millis() / slice.as_millis();
    let slice_count = u32::try_from(slice_count).unwrap_or(0);
    (0..slice_count).map(|index| p99(slice * index)).collect()
}

fn share(
    trace: &[Arrival],
    wanted: impl Fn(&Arrival) -> bool,
    good: impl Fn(usize, &Arrival) -> bool,
) -> f64 {
    let chosen = trace
        .iter()
        .enumerate()
        .filter(|(_, arrival)| wanted(arrival));
    let (mut all, mut hit) = (0.0, 0.0);
    for (index, arrival) in chosen {
        all += 1.0;
        hit += f64::from(u8::from(good(index, arrival)));
    }
    ratio(hit, all)
}

/// Returns an empty histogram of microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, 3).expect("the bounds are constant and valid")
}

pub(crate) fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_US);
    histogram.saturating_record(micros.max(1));
}

/// Returns a percentile in milliseconds; 0 without values.
pub(crate) fn percentile(histogram: &Histogram<u64>, percent: f64) -> f64 {
    if histogram.is_empty() {
        return 0.0;
    }
    Duration::from_micros(histogram.value_at_percentile(percent)).as_secs_f64() * 1000.0
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

/// Converts a count to a float; saturates at `u32::MAX`.
pub(crate) fn count_as_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Median, least and greatest value.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Spread {
    pub(crate) median: f64,
    pub(crate) least: f64,
    pub(crate) greatest: f64,
}

/// Returns the spread of values over seeds.
pub(crate) fn spread(values: impl IntoIterator<Item = f64>) -> Spread {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    let (Some(least), Some(greatest)) = (values.first(), values.last()) else {
        return Spread::default();
    };
    let middle = values.len() / 2;
    let median = if values.len() % 2 == 1 {
        values[middle]
    } else {
        f64::midpoint(values[middle - 1], values[middle])
    };
    Spread {
        median,
        least: *least,
        greatest: *greatest,
    }
}

#[cfg(test)]
mod tests;
