use std::collections::HashSet;

use hyper::StatusCode;
use jaystand_standin::{caller::Answer, ledger::Record};

use super::{Verdict, refused_before_execution};

fn answer(outcome: &str, request: &str) -> Answer {
    Answer {
        status: Some(StatusCode::SERVICE_UNAVAILABLE),
        request_id: request.to_owned(),
        outcome: outcome.to_owned(),
        ..Answer::default()
    }
}

fn record(request: &str, key: &str, executed: bool) -> Record {
    Record {
        request: request.to_owned(),
        key: key.to_owned(),
        executed,
    }
}

fn wrongly_not_run(answers: &[Answer], records: &[Record]) -> usize {
    let executed = records.iter().filter(|record| record.executed);
    let executed_requests: HashSet<String> =
        executed.map(|record| record.request.clone()).collect();
    let refused = refused_before_execution(records);
    let answers: Vec<&Answer> = answers.iter().collect();
    let mut verdict = Verdict::default();
    verdict.add_order(
        1,
        &answers,
        !executed_requests.is_empty(),
        &executed_requests,
        &refused,
    );
    verdict.wrongly_not_run
}

/// Guards against a check that accepts `not_run` for an order that the other sending executed. Only a refusal before
/// the execution makes `not_run` true.
#[test]
fn not_run_is_checked_against_the_executions_of_the_order() {
    let answers = [answer("not_run", "a"), answer("unknown", "b")];
    assert_eq!(wrongly_not_run(&answers, &[]), 0);
    assert_eq!(wrongly_not_run(&answers, &[record("b", "k", true)]), 1);
    assert_eq!(wrongly_not_run(&answers, &[record("a", "k", true)]), 1);
    let refused_first = [record("a", "k", false), record("b", "k", true)];
    assert_eq!(wrongly_not_run(&answers, &refused_first), 0);
    let refused_last = [record("b", "k", true), record("a", "k", false)];
    assert_eq!(wrongly_not_run(&answers, &refused_last), 1);
}
