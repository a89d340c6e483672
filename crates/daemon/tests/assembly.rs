//! Tests the assembly of an answer: whatever the attempts send, the caller gets a prefix of the answer or all of it.

use bytes::Bytes;
use jaystand_daemon::stream::{Assembly, Fault, MAX_CONTINUATION_BYTES, Step};
use jaystand_wire::{chunk::render_id, sse::Event};
use proptest::prelude::*;
use serde_json::{Value, json};

const REQUEST: u64 = 0xabc;

fn raw(offset: Option<u64>, data: impl Into<Bytes>) -> Event {
    Event {
        offset,
        name: Bytes::new(),
        data: data.into(),
    }
}

fn text(offset: u64, content: &str) -> Event {
    let choice = json!({"index": 0, "delta": {"content": content}, "finish_reason": null});
    chunk(offset, REQUEST, &choice)
}

fn final_chunk(offset: u64) -> Event {
    let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
    chunk(offset, REQUEST, &choice)
}

fn chunk(offset: u64, request: u64, choice: &Value) -> Event {
    let data = json!({"id": render_id(request), "choices": [choice]});
    raw(Some(offset), data.to_string())
}

fn terminal_marker() -> Event {
    raw(None, "[DONE]")
}

/// Accepts the events and returns one letter for each: delivered, duplicate, end, or the letter of the fault.
fn accept_all(assembly: &mut Assembly, events: Vec<Event>) -> String {
    let outcome = |event| match assembly.accept(event) {
        Ok(Step::Deliver(_)) => 'd',
        Ok(Step::Duplicate) => '=',
        Ok(Step::End) => 'e',
        Err(Fault::Gap { .. }) => 'G',
        Err(Fault::WrongRequest) => 'C',
        Err(Fault::Malformed) => 'M',
        Err(Fault::PrematureEnd) => 'E',
        Err(Fault::Engine) => 'X',
        Err(Fault::TooLarge) => 'L',
    };
    events.into_iter().map(outcome).collect()
}

// Guards against a lost, repeated, reordered or foreign event that is delivered, and against a truncated answer that is
// taken as complete.
#[test]
fn each_kind_of_event_is_classified() {
    let foreign = chunk(
        1,
        REQUEST + 1,
        &json!({"index": 0, "delta": {"content": "x"}}),
    );
    let old_foreign = chunk(
        0,
        REQUEST + 1,
        &json!({"index": 0, "delta": {"content": "x"}}),
    );
    let error = json!({"id": render_id(REQUEST), "error": {"message": "out of memory"}});
    let cases: Vec<(&str, Vec<Event>, &str)> = vec![
        (
            "in order",
            vec![text(0, "a"), final_chunk(1), terminal_marker()],
            "dde",
        ),
        (
            "duplicate",
            vec![
                text(0, "a"),
                text(0, "a"),
                final_chunk(1),
                terminal_marker(),
            ],
            "d=de",
        ),
        ("gap", vec![text(0, "a"), text(2, "c")], "dG"),
        ("first missing", vec![text(1, "b")], "G"),
        (
            "reordered",
            vec![text(0, "a"), text(2, "c"), text(1, "b"), text(2, "c")],
            "dGdd",
        ),
        ("crossed", vec![text(0, "a"), foreign], "dC"),
        (
            "crossed with an old offset",
            vec![text(0, "a"), old_foreign],
            "dC",
        ),
        ("no offset", vec![raw(None, "{}")], "M"),
        ("not JSON", vec![raw(Some(0), "{\"id\":")], "M"),
        ("not UTF-8", vec![raw(Some(0), &b"\xff\xfe"[..])], "M"),
        ("no id", vec![raw(Some(0), "{}")], "M"),
        ("engine error", vec![raw(Some(0), error.to_string())], "X"),
        ("marker first", vec![terminal_marker()], "E"),
        (
            "marker after a lost tail",
            vec![text(0, "a"), terminal_marker()],
            "dE",
        ),
        (
            "marker after a lost chunk",
            vec![text(0, "a"), final_chunk(1), raw(Some(3), "[DONE]")],
            "ddG",
        ),
        (
            "marker with its offset",
            vec![text(0, "a"), final_chunk(1), raw(Some(2), "[DONE]")],
            "dde",
        ),
    ];
    for (name, events, expected) in cases {
        let mut assembly = Assembly::new(REQUEST, true);
        assert_eq!(accept_all(&mut assembly, events), expected, "{name}");
        assert_eq!(assembly.ended(), expected.ends_with('e'), "{name}");
        assert_eq!(assembly.whole().is_some(), assembly.ended(), "{name}");
    }
}

// Guards against an answer with two choices that is taken as complete when only one of them has finished.
#[test]
fn every_choice_must_finish() {
    let choice = |index: u32, reason: Value| json!({"index": index, "delta": {"content": "x"}, "finish_reason": reason});
    let mut assembly = Assembly::new(REQUEST, false);
    let events = vec![
        chunk(0, REQUEST, &choice(0, Value::Null)),
        chunk(1, REQUEST, &choice(1, Value::Null)),
        chunk(2, REQUEST, &choice(0, json!("stop"))),
        terminal_marker(),
        chunk(3, REQUEST, &choice(1, json!("stop"))),
        terminal_marker(),
    ];
    assert_eq!(accept_all(&mut assembly, events), "dddEde");
}

// Guards against continuing at another engine an answer that holds more than plain text. The other engine gets only
// the text, so anything else would be lost or repeated.
#[test]
fn only_plain_text_can_be_continued() {
    let mut assembly = Assembly::new(REQUEST, false);
    accept_all(&mut assembly, vec![text(0, "so "), text(1, "far")]);
    assert_eq!(assembly.continuation(), Some("so far"));
    let tool = json!({"index": 0, "delta": {"tool_calls": [{"index": 0}]}});
    accept_all(&mut assembly, vec![chunk(2, REQUEST, &tool), text(3, "x")]);
    assert_eq!(assembly.continuation(), None);

    let mut assembly = Assembly::new(REQUEST, false);
    let long = "x".repeat(MAX_CONTINUATION_BYTES);
    accept_all(&mut assembly, vec![text(0, &long)]);
    assert!(assembly.continuation().is_some());
    accept_all(&mut assembly, vec![text(1, "x")]);
    assert_eq!(assembly.continuation(), None);
}

proptest! {
    // Guards against a mix of duplicates, gaps and reordering that makes the caller get anything but a prefix of the
    // answer, or an end before all of it.
    #[test]
    fn what_is_delivered_is_always_a_prefix(order in prop::collection::vec(0_u64..7, 0..60)) {
        let mut assembly = Assembly::new(REQUEST, false);
        let mut delivered = Vec::new();
        for number in order {
            let event = match number {
                5 => final_chunk(5),
                6 => terminal_marker(),
                offset => text(offset, &offset.to_string()),
            };
            match assembly.accept(event) {
                Ok(Step::Deliver(event)) => delivered.push(event.offset),
                Ok(Step::End) => prop_assert_eq!(delivered.len(), 6),
                Ok(Step::Duplicate) | Err(_) => {}
            }
            let expected: Vec<Option<u64>> = (0..delivered.len() as u64).map(Some).collect();
            prop_assert_eq!(&delivered, &expected);
        }
    }

    // Guards against a panic on data of a broken engine. It must be rejected or delivered.
    #[test]
    fn random_data_never_panics(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        fields in "\\{(\"(id|choices|usage|error|index|delta|finish_reason)\":([0-9]{1,20}|null|\"[a-z0-9-]{0,24}\"|\\[\\{\\}\\]),?){0,5}\\}",
        whole: bool,
    ) {
        for data in [bytes, fields.into_bytes()] {
            let mut assembly = Assembly::new(REQUEST, whole);
            let _ = assembly.accept(raw(Some(0), data));
            let _ = assembly.accept(terminal_marker());
        }
    }
}
