use hyper::StatusCode;
use jaystand_standin::{
    caller::{Answer, Call, Cut},
    engine::answer_text,
};

use super::{Sent, Verdict};

const PROMPT: u64 = 42;
const TOKENS: u32 = 8;

fn sent() -> Sent {
    Sent {
        call: Call::completion("key", "kind", "{}"),
        prompt: PROMPT,
        tokens: TOKENS,
    }
}

fn whole() -> Answer {
    Answer {
        status: Some(StatusCode::OK),
        text: answer_text(PROMPT, TOKENS),
        chunks: TOKENS,
        outcome: "done".to_owned(),
        ..Answer::default()
    }
}

fn refused() -> Answer {
    Answer {
        status: Some(StatusCode::SERVICE_UNAVAILABLE),
        text: "{\"error\":{}}".to_owned(),
        outcome: "not_run".to_owned(),
        ..Answer::default()
    }
}

/// Guards against a judge that lets a wrong answer pass, or that counts a sound one as wrong.
#[test]
fn each_wrong_answer_is_counted_under_its_name() {
    let truncated = Answer {
        text: answer_text(PROMPT, 3),
        ..whole()
    };
    let table = [
        (whole(), true, None),
        (refused(), false, None),
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
                ..whole()
            },
            true,
            Some("reordered or foreign text"),
        ),
        (
            Answer {
                cut: Some(Cut::Body),
                text: answer_text(PROMPT, 3) + "x",
                ..whole()
            },
            true,
            Some("reordered or foreign text"),
        ),
        (
            Answer {
                foreign_chunks: 1,
                ..whole()
            },
            true,
            Some("crossed"),
        ),
        (refused(), true, Some("wrongly not_run")),
    ];
    for (answer, ran, expected) in table {
        let mut verdict = Verdict::default();
        let found = verdict.completion(&sent(), &answer, ran);
        assert_eq!(found, expected, "{answer:?}");
        let counted =
            verdict.crossed + verdict.reordered + verdict.truncated + verdict.wrongly_not_run;
        assert_eq!(counted, u64::from(expected.is_some()), "{answer:?}");
    }
}

/// Guards against a duplicated or lost order that passes.
#[test]
fn orders_are_judged_by_the_ledgers_own_count() {
    let table = [
        (whole(), 1, None),
        (refused(), 0, None),
        (whole(), 2, Some("executed twice")),
        (refused(), 1, Some("wrongly not_run")),
        (whole(), 0, Some("done without execution")),
    ];
    for (answer, executed, expected) in table {
        assert_eq!(
            Verdict::default().order(&answer, executed),
            expected,
            "{answer:?} {executed}"
        );
    }
}
