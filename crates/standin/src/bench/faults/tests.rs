use hyper::StatusCode;
use jaystand_standin::{
    caller::{Answer, Call, Cut},
    engine::answer_text,
};

use super::{SentRequest, Verdict};

const PROMPT: u64 = 42;
const TOKENS: u32 = 8;

fn sent_request() -> SentRequest {
    SentRequest {
        call: Call::completion("key", "kind", "{}"),
        prompt: PROMPT,
        tokens: TOKENS,
    }
}

fn complete_answer() -> Answer {
    Answer {
        status: Some(StatusCode::OK),
        text: answer_text(PROMPT, TOKENS),
        chunks: TOKENS,
        outcome: "done".to_owned(),
        ..Answer::default()
    }
}

fn refused_answer() -> Answer {
    Answer {
        status: Some(StatusCode::SERVICE_UNAVAILABLE),
        text: "{\"error\":{}}".to_owned(),
        outcome: "not_run".to_owned(),
        ..Answer::default()
    }
}

/// Guards against a check that accepts a wrong answer, or that counts a correct one as wrong.
#[test]
fn each_wrong_answer_is_counted_under_its_name() {
    let truncated = Answer {
        text: answer_text(PROMPT, 3),
        ..complete_answer()
    };
    let table = [
        (complete_answer(), true, None),
        (refused_answer(), false, None),
        (
            Answer {
                cut: Some(Cut::Explicit),
                ..truncated.clone()
            },
            true,
            None,
        ),
        (truncated, true, Some("truncated as complete")),
        (
            Answer {
                text: answer_text(PROMPT + 1, TOKENS),
                ..complete_answer()
            },
            true,
            Some("reordered or foreign text"),
        ),
        (
            Answer {
                cut: Some(Cut::Body),
                text: answer_text(PROMPT, 3) + "x",
                ..complete_answer()
            },
            true,
            Some("reordered or foreign text"),
        ),
        (
            Answer {
                foreign_chunks: 1,
                ..complete_answer()
            },
            true,
            Some("crossed"),
        ),
        (refused_answer(), true, Some("wrongly not_run")),
    ];
    for (answer, ran, expected) in table {
        let mut verdict = Verdict::default();
        let found = verdict.check_completion(&sent_request(), &answer, ran);
        assert_eq!(found, expected, "{answer:?}");
        let counted =
            verdict.crossed + verdict.reordered + verdict.truncated + verdict.wrongly_not_run;
        assert_eq!(counted, u64::from(expected.is_some()), "{answer:?}");
    }
}

/// Guards against a check that accepts an order that was executed twice, or whose answer contradicts the ledger.
#[test]
fn orders_are_checked_against_the_ledgers_executions() {
    let table = [
        (complete_answer(), 1, None),
        (refused_answer(), 0, None),
        (complete_answer(), 2, Some("executed twice")),
        (refused_answer(), 1, Some("wrongly not_run")),
        (complete_answer(), 0, Some("done without execution")),
    ];
    for (answer, executed, expected) in table {
        assert_eq!(
            Verdict::default().check_order(&answer, executed),
            expected,
            "{answer:?} {executed}"
        );
    }
}
