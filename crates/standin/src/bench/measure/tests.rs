use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use jaystand_standin::{caller::Answer, engine::Record, fleet::Deployment};

use super::{Arrival, Figures, Outcome, Window, figures, spread};

const URGENT: usize = 0;

fn arrival(prompt: u64, window: Window) -> Arrival {
    Arrival {
        at: window.bounds().0,
        window,
        kind: URGENT,
        team: 0,
        body: Bytes::new(),
        prompt,
        known_tokens: 80,
    }
}

fn answered(after: u64) -> Answer {
    let time = Duration::from_millis(after);
    Answer {
        status: Some(StatusCode::OK),
        first_token: Some(time),
        total: time,
        ..Answer::default()
    }
}

fn record(prompt: u64, cached_tokens: u32) -> Record {
    Record {
        prompt,
        cached_tokens,
        prompt_tokens: 100,
        started_us: Some(1),
        ..Record::default()
    }
}

fn judge(arrivals: &[Arrival], answers: Vec<Option<Answer>>, records: Vec<Record>) -> Figures {
    let outcome = Outcome {
        answers,
        records,
        restarted: true,
    };
    figures(&Deployment::tanekaha(), arrivals, &outcome)
}

/// Guards against a policy that gets good latencies by leaving urgent requests unanswered.
#[test]
fn an_urgent_request_without_an_answer_counts_as_its_deadline() {
    let arrivals = [arrival(1, Window::Clean), arrival(2, Window::FirstCrest)];
    let figures = judge(&arrivals, vec![Some(answered(50)), None], Vec::new());
    let deadline = Deployment::tanekaha().kinds[URGENT].deadline.as_secs_f64() * 1000.0;
    assert!((figures.quiet_p99_ms - 50.0).abs() < 1.0, "{figures:?}");
    assert!((figures.crest_p99_ms - deadline).abs() < 2.0, "{figures:?}");
    assert!(
        (figures.crest_goodput, figures.whole) == (0.0, 0.5),
        "{figures:?}"
    );
}

/// Guards against retries and hedges whose recomputed tokens are not counted.
#[test]
fn tokens_are_counted_over_all_attempts_that_ran() {
    let refused = Record {
        started_us: None,
        ..record(1, 0)
    };
    let records = vec![record(1, 80), record(1, 20), refused];
    let figures = judge(
        &[arrival(1, Window::Clean)],
        vec![Some(answered(50))],
        records,
    );
    assert!((figures.hit_rate - 0.5).abs() < 1e-9, "{figures:?}");
    assert!(
        (figures.hit_of_oracle - 100.0 / 160.0).abs() < 1e-9,
        "{figures:?}"
    );
    assert!((figures.wasted_ktokens - 0.06).abs() < 1e-9, "{figures:?}");
    assert!((figures.attempts - 2.0).abs() < 1e-9, "{figures:?}");
}

/// Guards against a median that depends on the order of the seeds.
#[test]
fn the_spread_holds_median_and_extremes() {
    for values in [[3.0, 1.0, 2.0], [1.0, 2.0, 3.0]] {
        let spread = spread(values);
        assert!(
            (spread.median, spread.least, spread.greatest) == (2.0, 1.0, 3.0),
            "{spread:?}"
        );
    }
}
