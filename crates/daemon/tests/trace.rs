//! Tests that the daemon continues the caller's trace.

mod support;

use opentelemetry_sdk::trace::{InMemorySpanExporter, SdkTracerProvider};
use support::{Daemon, chat, raw_engine::RawEngine};

const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

// Guards against a trace that ends at the daemon and so cannot show where a request spent its time.
#[tokio::test(flavor = "multi_thread")]
async fn spans_join_the_callers_trace_and_the_engine_gets_it() {
    let exporter = InMemorySpanExporter::default();
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(exporter.clone())
        .build();
    let _installed = jaystand_daemon::trace::install_provider(provider).expect("installed once");
    let engine = RawEngine::start(2, 10).await;
    let daemon = Daemon::start(support::raw_engine_document(&engine)).await;
    let parent = format!("00-{TRACE_ID}-00f067aa0ba902b7-01");
    let headers = [("traceparent", parent.as_str())];
    let body = chat(true, "hello", 2);
    let reply = daemon.post("/v1/chat/completions", &headers, body).await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    daemon.stop().await;
    let spans = exporter.get_finished_spans().expect("spans");
    let mut names: Vec<&str> = Vec::new();
    for span in &spans {
        assert_eq!(
            span.span_context.trace_id().to_string(),
            TRACE_ID,
            "{}",
            span.name
        );
        names.push(&span.name);
    }
    names.sort_unstable();
    assert_eq!(names, ["admission", "attempt", "caller", "placement"]);
    let attempt = spans
        .iter()
        .find(|span| span.name == "attempt")
        .expect("an attempt");
    let forwarded = engine.header("traceparent").expect("forwarded");
    let expected = format!("00-{TRACE_ID}-{}-01", attempt.span_context.span_id());
    assert_eq!(forwarded, expected);
}
