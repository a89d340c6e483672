//! Traces: a span a hop, the caller's trace context taken in and passed on.
//!
//! Without an installed exporter the spans are disabled and cost a check each; the caller's `traceparent` is then
//! passed on unchanged.

use hyper::{HeaderMap, header::HeaderValue};
use jaystand_wire::header::TRACEPARENT;
use miette::miette;
use opentelemetry::{
    KeyValue,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::TracerProvider,
};
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::{
    Resource,
    propagation::TraceContextPropagator,
    trace::{Sampler, SdkTracerProvider},
};
use tracing::{Level, Span, level_filters::LevelFilter};
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::{Layer, filter::Targets, layer::SubscriberExt};

use crate::settings::{Host, Trace};

const SERVICE: &str = "jaystandd";

/// The installed exporter. Spans that wait are sent by [`Exporter::finish`].
#[derive(Debug)]
pub struct Exporter(SdkTracerProvider);

/// Exports the process's spans to an OTLP collector. To be called once, inside the runtime.
///
/// # Errors
/// Fails when the endpoint is not valid or a subscriber is installed already.
pub fn install(host: &Host, settings: &Trace) -> miette::Result<Exporter> {
    let exporter = SpanExporter::builder()
        .with_tonic()
        .with_endpoint(&settings.endpoint)
        .build()
        .map_err(|error| miette!("trace.endpoint: {}: {error}", settings.endpoint))?;
    let resource = Resource::builder()
        .with_service_name(SERVICE)
        .with_attribute(KeyValue::new("host.name", host.name.to_string()))
        .with_attribute(KeyValue::new("data_centre", host.data_centre.to_string()))
        .build();
    let provider = SdkTracerProvider::builder()
        .with_batch_exporter(exporter)
        .with_sampler(sampler(settings.sample))
        .with_resource(resource)
        .build();
    install_provider(provider)
}

/// Hands the process's spans to a provider.
///
/// # Errors
/// Fails when a subscriber is installed already.
pub fn install_provider(provider: SdkTracerProvider) -> miette::Result<Exporter> {
    // Spans of the exporter's own connection would be exported in turn, without end.
    let own_spans = Targets::new()
        .with_target("jaystand", Level::INFO)
        .with_default(LevelFilter::OFF);
    let layer = tracing_opentelemetry::layer()
        .with_tracer(provider.tracer(SERVICE))
        .with_filter(own_spans);
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::set_global_default(subscriber)
        .map_err(|error| miette!("traces are installed already: {error}"))?;
    Ok(Exporter(provider))
}

/// A trace that arrives sampled stays so; of the others the given share is sampled.
fn sampler(share: f64) -> Sampler {
    Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(share)))
}

impl Exporter {
    /// Sends what waits and ends the export.
    pub fn finish(self) {
        if let Err(error) = self.0.shutdown() {
            log::warn!("the last spans were not exported: {error}");
        }
    }
}

/// Makes the caller's trace the parent of `span`.
pub(crate) fn set_remote_parent(span: &Span, headers: &HeaderMap) {
    if span.is_disabled() || !headers.contains_key(TRACEPARENT) {
        return;
    }
    let context = TraceContextPropagator::new().extract(&Headers(headers));
    // Fails only if the span has started in another trace, which a new span has not.
    let _ = span.set_parent(context);
}

/// Passes the trace on with `span` as the parent of what comes next.
pub(crate) fn inject_context(span: &Span, headers: &mut HeaderMap) {
    if span.is_disabled() {
        return;
    }
    TraceContextPropagator::new().inject_context(&span.context(), &mut Writer(headers));
}

struct Headers<'a>(&'a HeaderMap);

struct Writer<'a>(&'a mut HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0
            .keys()
            .map(hyper::header::HeaderName::as_str)
            .collect()
    }
}

impl Injector for Writer<'_> {
    fn set(&mut self, key: &str, value: String) {
        // An empty trace state needs no header.
        if key == TRACEPARENT.as_str()
            && let Ok(value) = HeaderValue::from_str(&value)
        {
            self.0.insert(TRACEPARENT, value);
        }
    }
}
