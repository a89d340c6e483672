//! Tracing: the daemon's spans join the caller's trace, and backend servers get the trace context.
//!
//! Without an installed exporter the spans are disabled, and each costs only a check. The caller's `traceparent` is
//! then forwarded unchanged.

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

/// The installed exporter. [`Exporter::finish`] sends the spans that are still buffered.
#[derive(Debug)]
pub struct Exporter(SdkTracerProvider);

/// Exports the spans of this process to an OTLP collector. Must be called once, inside the runtime.
///
/// # Errors
/// Fails when the endpoint is not valid, or a subscriber is already installed.
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

/// Exports the spans of this process through a provider.
///
/// # Errors
/// Fails when a subscriber is already installed.
pub fn install_provider(provider: SdkTracerProvider) -> miette::Result<Exporter> {
    // Only the daemon's spans are exported. Exporting the spans of the exporter's own connection would create further
    // spans without end.
    let daemon_spans = Targets::new()
        .with_target("jaystand", Level::INFO)
        .with_default(LevelFilter::OFF);
    let layer = tracing_opentelemetry::layer()
        .with_tracer(provider.tracer(SERVICE))
        .with_filter(daemon_spans);
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::set_global_default(subscriber)
        .map_err(|error| miette!("a tracing subscriber is already installed: {error}"))?;
    Ok(Exporter(provider))
}

/// Returns a sampler that follows the decision of the caller's trace and samples the given share of new traces.
fn sampler(share: f64) -> Sampler {
    Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(share)))
}

impl Exporter {
    /// Sends the buffered spans and ends the export.
    pub fn finish(self) {
        if let Err(error) = self.0.shutdown() {
            log::warn!("cannot export the last spans: {error}");
        }
    }
}

/// Makes the caller's trace the parent of `span`.
pub(crate) fn set_remote_parent(span: &Span, headers: &HeaderMap) {
    if span.is_disabled() || !headers.contains_key(TRACEPARENT) {
        return;
    }
    let context = TraceContextPropagator::new().extract(&HeaderExtractor(headers));
    // This fails only for a span that has already started in another trace; `span` is new.
    let _ = span.set_parent(context);
}

/// Writes the trace context to `headers`, with `span` as the parent of the receiver's spans.
pub(crate) fn inject_context(span: &Span, headers: &mut HeaderMap) {
    if span.is_disabled() {
        return;
    }
    TraceContextPropagator::new().inject_context(&span.context(), &mut HeaderInjector(headers));
}

struct HeaderExtractor<'a>(&'a HeaderMap);

struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Extractor for HeaderExtractor<'_> {
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

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        // Only `traceparent` is sent; an empty `tracestate` needs no header.
        if key == TRACEPARENT.as_str()
            && let Ok(value) = HeaderValue::from_str(&value)
        {
            self.0.insert(TRACEPARENT, value);
        }
    }
}
