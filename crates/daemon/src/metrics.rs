//! Metrics of the request path. The set of values of every label is bounded.

use std::time::Duration;

use jaystand_policy::{Failure, Refusal};
use jaystand_types::{Outcome, Urgency};
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Histogram buckets from 1 ms to about 65 s, each double the one before.
const BUCKETS: usize = 17;

/// Metrics of the request path. Arrays are indexed by urgency, `requests` also by outcome.
#[derive(Debug)]
pub(crate) struct Metrics {
    requests: [[IntCounter; 3]; 3],
    first_token: [Histogram; 3],
    admission: [Histogram; 3],
    attempts_failed: IntCounterVec,
    refusals: IntCounterVec,
    rejected: IntCounterVec,
    retries: IntCounter,
    hedges: IntCounter,
    prompt_tokens: IntCounter,
    cached_tokens: IntCounter,
    in_flight: IntGauge,
}

impl Metrics {
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let register = Register(registry);
        let requests = register.counters(
            "jaystand_requests_total",
            "Requests that have their final answer.",
            &["urgency", "outcome"],
        )?;
        let first_token = register.histograms(
            "jaystand_first_token_seconds",
            "Time from submission to the first token.",
        )?;
        let admission = register.histograms(
            "jaystand_admission_seconds",
            "Time from submission to the first attempt.",
        )?;
        let by_outcome = |urgency: Urgency| {
            let counter = |outcome: Outcome| {
                requests.with_label_values(&[urgency.as_str(), outcome.as_str()])
            };
            [
                counter(Outcome::Done),
                counter(Outcome::NotRun),
                counter(Outcome::Unknown),
            ]
        };
        let by_urgency = |histograms: &HistogramVec| {
            [Urgency::Urgent, Urgency::Normal, Urgency::Background]
                .map(|urgency| histograms.with_label_values(&[urgency.as_str()]))
        };
        Ok(Self {
            requests: [
                by_outcome(Urgency::Urgent),
                by_outcome(Urgency::Normal),
                by_outcome(Urgency::Background),
            ],
            first_token: by_urgency(&first_token),
            admission: by_urgency(&admission),
            attempts_failed: register.counters(
                "jaystand_attempts_failed_total",
                "Failed attempts.",
                &["failure"],
            )?,
            refusals: register.counters(
                "jaystand_refusals_total",
                "Requests that the router gave up.",
                &["reason"],
            )?,
            rejected: register.counters(
                "jaystand_rejected_total",
                "Requests rejected before they reached the router.",
                &["code"],
            )?,
            retries: register.counter(
                "jaystand_retries_total",
                "Attempts after the first one, hedges not counted.",
            )?,
            hedges: register.counter("jaystand_hedges_total", "Attempts that race another.")?,
            prompt_tokens: register.counter(
                "jaystand_prompt_tokens_total",
                "Estimated prompt tokens of answered requests.",
            )?,
            cached_tokens: register.counter(
                "jaystand_cached_tokens_total",
                "Prompt tokens that engines found in their caches.",
            )?,
            in_flight: register.gauge("jaystand_in_flight", "Requests queued and running.")?,
        })
    }

    pub(crate) fn record_outcome(&self, urgency: Urgency, outcome: Outcome) {
        self.requests[urgency as usize][outcome as usize].inc();
    }

    pub(crate) fn observe_first_token(&self, urgency: Urgency, waited: Duration) {
        self.first_token[urgency as usize].observe(waited.as_secs_f64());
    }

    pub(crate) fn observe_admission(&self, urgency: Urgency, waited: Duration) {
        self.admission[urgency as usize].observe(waited.as_secs_f64());
    }

    pub(crate) fn record_cache_use(&self, prompt_tokens: u32, cached_tokens: u32) {
        self.prompt_tokens.inc_by(prompt_tokens.into());
        self.cached_tokens.inc_by(cached_tokens.into());
    }

    pub(crate) fn count_failed_attempt(&self, failure: Failure) {
        let name = match failure {
            Failure::NotSent => "not_sent",
            Failure::Refused { .. } => "refused",
            Failure::Mismatch => "mismatch",
            Failure::Silent => "silent",
            Failure::Broken => "broken",
            Failure::ServerError => "server_error",
        };
        self.attempts_failed.with_label_values(&[name]).inc();
    }

    pub(crate) fn count_refusal(&self, reason: Refusal) {
        let name = match reason {
            Refusal::Overload => "overload",
            Refusal::TeamLimit => "team_limit",
            Refusal::NoServer => "no_server",
            Refusal::DeadlinePassed => "deadline_passed",
            Refusal::AttemptsExhausted => "attempts_exhausted",
            Refusal::QueueFull => "queue_full",
        };
        self.refusals.with_label_values(&[name]).inc();
    }

    /// Counts a rejected request. `code` is one of the daemon's own error codes, so the label stays bounded.
    pub(crate) fn count_rejection(&self, code: &'static str) {
        self.rejected.with_label_values(&[code]).inc();
    }

    pub(crate) fn count_retry(&self) {
        self.retries.inc();
    }

    pub(crate) fn count_hedge(&self) {
        self.hedges.inc();
    }

    pub(crate) fn set_in_flight(&self, requests: usize) {
        self.in_flight
            .set(i64::try_from(requests).unwrap_or(i64::MAX));
    }
}

struct Register<'a>(&'a Registry);

impl Register<'_> {
    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        let counter = IntCounter::new(name, help)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    fn histograms(&self, name: &str, help: &str) -> Result<HistogramVec, prometheus::Error> {
        let buckets = prometheus::exponential_buckets(0.001, 2.0, BUCKETS)?;
        let options = HistogramOpts::new(name, help).buckets(buckets);
        let histograms = HistogramVec::new(options, &["urgency"])?;
        self.0.register(Box::new(histograms.clone()))?;
        Ok(histograms)
    }
}
