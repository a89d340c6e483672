//! Tests of the chat request, the assembled completion and the headers of the engine protocol.

use std::time::Duration;

use http::HeaderMap;
use jaystand_wire::{
    chat::Request,
    chunk::{Chunk, Completion, render_id},
    engine::{Position, RequestHead, ResponseHead},
};
use proptest::prelude::*;
use serde_json::{Value, json};

fn engine_body(body: &str, continuation: Option<&str>) -> Value {
    let request = Request::try_from(body.as_bytes()).expect("valid");
    serde_json::from_slice(&request.to_engine_body(continuation)).expect("JSON")
}

// Guards against a field that the router does not know and that reaches the engine changed, such as a rounded number.
#[test]
fn unknown_fields_are_passed_on_as_written() {
    let body = r#"{"model":"m","messages":[{"role":"user","content":"a"}],"seed":12345678901234567890123,
        "x":{"b":1.50,"a":[null]},"stream":false}"#;
    let request = Request::try_from(body.as_bytes()).expect("valid");
    let sent = String::from_utf8(request.to_engine_body(None)).expect("UTF-8");
    assert!(sent.contains(r#""seed":12345678901234567890123"#), "{sent}");
    assert!(sent.contains(r#""x":{"b":1.50,"a":[null]}"#), "{sent}");
    assert!(sent.contains(r#""stream":true"#), "{sent}");
    assert!(!sent.contains(r#""stream":false"#), "{sent}");
}

// Guards against a complete answer without usage, and against a usage chunk that a streaming caller did not ask for.
#[test]
fn usage_is_requested_only_for_callers_without_a_stream() {
    let unstreamed = engine_body(r#"{"model":"m","messages":[1]}"#, None);
    assert_eq!(unstreamed["stream_options"], json!({"include_usage": true}));
    let streamed = engine_body(r#"{"model":"m","messages":[1],"stream":true}"#, None);
    assert_eq!(streamed.get("stream_options"), None);
}

// Guards against a continuation that starts the answer again because the text already sent is missing.
#[test]
fn a_continuation_is_added_as_the_last_message() {
    let body = r#"{"model":"m","messages":[{"role":"user","content":"a"}],"stream":true}"#;
    let sent = engine_body(body, Some("so \"far\"\n"));
    let last = json!({"role": "assistant", "content": "so \"far\"\n"});
    assert_eq!(
        sent["messages"],
        json!([{"role": "user", "content": "a"}, last])
    );
}

// Guards against malformed or ambiguous bodies. The router and an engine could read a repeated field differently.
#[test]
fn malformed_or_ambiguous_requests_are_refused() {
    let cases = [
        ("", None),
        ("[]", None),
        (r#"{"model":"m","messages":[1]"#, None),
        (r#"{"model":"m","messages":[1]} x"#, None),
        (r#"{"messages":[1]}"#, Some("model")),
        (r#"{"model":null,"messages":[1]}"#, Some("model")),
        (r#"{"model":"a","model":"b","messages":[1]}"#, Some("model")),
        (
            r#"{"model":"a","mod\u0065l":"b","messages":[1]}"#,
            Some("model"),
        ),
        (r#"{"model":7,"messages":[1]}"#, Some("model")),
        (r#"{"model":"m"}"#, Some("messages")),
        (r#"{"model":"m","messages":{}}"#, Some("messages")),
        (r#"{"model":"m","messages":[]}"#, Some("messages")),
        (
            r#"{"model":"m","messages":[1],"stream":"yes"}"#,
            Some("stream"),
        ),
        (
            r#"{"model":"m","messages":[1],"max_tokens":-1}"#,
            Some("max_tokens"),
        ),
        (r#"{"model":"m","messages":[1],"n":1.5}"#, Some("n")),
    ];
    for (body, field) in cases {
        let error = Request::try_from(body.as_bytes()).expect_err(body);
        assert_eq!(error.field(), field, "{body}: {error}");
    }
}

// Guards against the refusal of clients that write `null` for the fields that they do not set.
#[test]
fn null_means_absent() {
    let body =
        r#"{"model":"m","messages":[1],"stream":null,"max_tokens":null,"stream_options":null}"#;
    let request = Request::try_from(body.as_bytes()).expect("valid");
    assert!(!request.stream);
    assert_eq!(request.max_tokens, None);
}

// Guards against a complete answer with fragmented text or tool calls, which arrive over several chunks.
#[test]
fn a_completion_joins_text_tool_calls_and_usage() {
    let chunks = [
        json!({"id": "chatcmpl-1", "created": 5, "model": "m",
            "choices": [{"index": 0, "delta": {"role": "assistant", "content": "he"}}]}),
        json!({"id": "chatcmpl-1", "choices": [
            {"index": 1, "delta": {"content": "other"}, "finish_reason": "stop"},
            {"index": 0, "delta": {"content": "y", "tool_calls": [
                {"index": 0, "id": "c1", "type": "function", "function": {"name": "f", "arguments": "{\"a\""}}]}}]}),
        json!({"id": "chatcmpl-1", "choices": [{"index": 0, "finish_reason": "tool_calls", "delta": {
            "tool_calls": [{"index": 0, "function": {"arguments": ":1}"}}]}}]}),
        json!({"id": "chatcmpl-1", "choices": [], "usage": {"total_tokens": 9}}),
    ];
    let mut completion = Completion::default();
    for chunk in &chunks {
        let text = chunk.to_string();
        let chunk: Chunk<'_> = serde_json::from_str(&text).expect("a chunk");
        completion.add(chunk);
    }
    let rendered: Value = serde_json::from_slice(&completion.to_json()).expect("JSON");
    let expected = json!({
        "id": "chatcmpl-1", "object": "chat.completion", "created": 5, "model": "m",
        "choices": [
            {"index": 0, "finish_reason": "tool_calls", "message": {
                "role": "assistant", "content": "hey", "tool_calls": [
                    {"id": "c1", "type": "function", "function": {"name": "f", "arguments": "{\"a\":1}"}}]}},
            {"index": 1, "finish_reason": "stop", "message": {"role": "assistant", "content": "other"}},
        ],
        "usage": {"total_tokens": 9},
    });
    assert_eq!(rendered, expected);
}

// Guards against a chunk that is taken for the answer to another request.
#[test]
fn chunk_ids_name_their_request() {
    assert_eq!(render_id(255), "chatcmpl-00000000000000ff");
    for (id, request) in [
        ("chatcmpl-00000000000000ff", Some(255)),
        ("chatcmpl-ff", None),
        ("00000000000000ff", None),
        ("", None),
    ] {
        let text = json!({"id": id}).to_string();
        let chunk: Chunk<'_> = serde_json::from_str(&text).expect("a chunk");
        assert_eq!(chunk.request(), request, "{id}");
    }
}

// Guards against missing request headers, and against a resumed or continued stream that repeats or skips events.
#[test]
fn request_heads_say_where_the_stream_resumes() {
    let mut head = RequestHead {
        request: 255,
        expect_incarnation: Some(3),
        weights_version: "v1",
        cache_salt: "00ff",
        priority: 2,
        deadline: Duration::from_millis(1500),
        position: Position::After(9),
    };
    let mut headers = HeaderMap::new();
    head.write_headers(&mut headers);
    for (name, value) in [
        ("x-request-id", "00000000000000ff"),
        ("x-expect-incarnation", "3"),
        ("x-weights-version", "v1"),
        ("x-cache-salt", "00ff"),
        ("x-priority", "2"),
        ("x-deadline-ms", "1500"),
        ("last-event-id", "9"),
    ] {
        assert_eq!(headers[name], value);
    }
    head.position = Position::Continue(10);
    head.expect_incarnation = None;
    let mut headers = HeaderMap::new();
    head.write_headers(&mut headers);
    assert_eq!(headers["x-continue-from"], "10");
    assert!(!headers.contains_key("last-event-id"));
    assert!(!headers.contains_key("x-expect-incarnation"));
}

// Guards against invalid response headers, above all against a wrong proof that a request did not start: requests that
// may run only once are sent again on that proof.
#[test]
fn response_heads_are_checked() {
    let read = |pairs: &[(&'static str, &'static str)]| {
        let mut headers = HeaderMap::new();
        for (name, value) in pairs {
            headers.insert(*name, value.parse().expect("a value"));
        }
        ResponseHead::try_from(&headers)
    };
    let head = read(&[
        ("x-request-id", "00000000000000ff"),
        ("x-not-started", "1"),
        ("retry-after", "2"),
        ("x-cached-tokens", "7"),
    ]);
    let head = head.expect("valid");
    assert_eq!(head.request, Some(255));
    assert!(head.not_started);
    assert_eq!(head.retry_after, Some(Duration::from_secs(2)));
    assert_eq!(head.cached_tokens, 7);
    assert!(
        !read(&[("x-not-started", "true")])
            .expect("valid")
            .not_started
    );
    let date = read(&[("retry-after", "Wed, 21 Oct 2026 07:28:00 GMT")]);
    assert_eq!(date.expect("valid").retry_after, None);
    for pair in [
        ("x-request-id", "ff"),
        ("x-engine-incarnation", "-1"),
        ("x-cached-tokens", "many"),
    ] {
        assert!(read(&[pair]).is_err(), "{pair:?}");
    }
}

proptest! {
    /// Guards against a caller that makes the daemon panic with the bytes of a body.
    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Request::try_from(&bytes[..]);
    }

    /// Guards against a panic on bodies that are JSON but of another shape, also when they are rendered for an engine.
    #[test]
    fn random_fields_never_panic(
        text in "\\{(\"(model|messages|stream|stream_options|max_tokens|n|x)\":([0-9]{1,12}|null|true|\"[a-z\\\\\"]{0,6}\"|\\[\\{\\}\\]|\\{\\}),?){0,6}\\}",
    ) {
        if let Ok(request) = Request::try_from(text.as_bytes()) {
            let _ = request.to_engine_body(None);
            let _ = request.to_engine_body(Some("so far"));
        }
    }
}
