//! Metrics of the process in the text format of Prometheus.

use jaystand_dispatch::limit::Call;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::quota;
use crate::waiting;

/// Bounds of the latency buckets in seconds. They surround the objectives of the users' sheets.
pub(crate) const LATENCY_BUCKETS: [f64; 10] =
    [0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.6, 1.0, 3.0, 10.0];

/// The metrics of the process.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by kind, status and reason.
    pub(crate) requests: IntCounterVec,
    /// Seconds from a request's head to its answer or first event, by kind.
    pub(crate) latency: HistogramVec,
    /// Attempts at servers by service and outcome.
    pub(crate) attempts: IntCounterVec,
    /// Connections used for attempts, by service and by whether they were new.
    pub(crate) connections: IntCounterVec,
    /// Calls to the store by call and result.
    pub(crate) store_calls: IntCounterVec,
    /// Orders to engines by result.
    pub(crate) orders: IntCounterVec,
    /// Calls to servers that limit requests, by server and purpose.
    pub(crate) limited_calls: IntCounterVec,
    /// Retries that the retry budget allowed or refused, by service and result.
    pub(crate) retries: IntCounterVec,
    /// Rate limits of teams.
    pub(crate) quota: quota::Metrics,
    /// Hosts that share the slack of the retry budget, this one included.
    pub(crate) budget_hosts: IntGauge,
    /// Prompt parts that are suspected to crash servers.
    pub(crate) suspected_parts: IntGauge,
    /// Requests that are suspected to crash servers.
    pub(crate) suspected_requests: IntGauge,
    /// Waiting requests and the capacity of servers.
    pub(crate) waiting: waiting::Metrics,
    /// What clients hold.
    pub(crate) clients: Clients,
    /// Dropped log lines.
    pub(crate) dropped_lines: IntCounter,
    /// Complete copies that were asked for because the servers differed from those of the followed host.
    pub(crate) diverged_copies: IntCounter,
    /// Panics of the process's tasks, which started again.
    pub(crate) panics: IntCounter,
    /// Era that the store names; 0 while it names none.
    pub(crate) store_era: IntGauge,
    /// Version of the configuration in force.
    pub(crate) config_version: IntGauge,
    /// Servers in use.
    pub(crate) servers: IntGauge,
    /// Entries of services that the configuration does not name.
    pub(crate) unused_entries: IntGauge,
    /// Hosts that report.
    pub(crate) peers: IntGauge,
    /// Requests in flight at servers, by service and measure.
    pub(crate) server_load: GaugeVec,
}

/// Metrics of what clients hold.
pub(crate) struct Clients {
    /// Connections by listener.
    pub(crate) open_connections: IntGaugeVec,
    /// Bytes of whole bodies, and of streams that wait for their callers.
    pub(crate) held_bytes: IntGaugeVec,
    /// Connections that were shed, by listener and reason.
    pub(crate) shed: IntCounterVec,
}

impl Clients {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let gauges = |name: &str, help: &str, label: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        let shed = Opts::new(
            "jaystand_shed_total",
            "Connections closed and bodies refused for what they held or how slow they were.",
        );
        let shed = IntCounterVec::new(shed, &["listener", "reason"])?;
        registry.register(Box::new(shed.clone()))?;
        Ok(Self {
            open_connections: gauges(
                "jaystand_open_connections",
                "Open connections by listener.",
                "listener",
            )?,
            held_bytes: gauges(
                "jaystand_held_bytes",
                "Bytes held for callers: whole bodies, and streams that wait for slow readers.",
                "kind",
            )?,
            shed,
        })
    }
}

fn register_server_load(registry: &Registry) -> Result<GaugeVec, prometheus::Error> {
    let options = Opts::new(
        "jaystand_server_load",
        "Requests in flight at a service's servers, with `even_load_hosts`.",
    );
    let server_load = GaugeVec::new(options, &["service", "measure"])?;
    registry.register(Box::new(server_load.clone()))?;
    Ok(server_load)
}

fn register_latency(registry: &Registry) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(
        "jaystand_first_byte_seconds",
        "Time from a request's head to its answer or first event.",
    );
    let latency = HistogramVec::new(options.buckets(LATENCY_BUCKETS.to_vec()), &["kind"])?;
    registry.register(Box::new(latency.clone()))?;
    Ok(latency)
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let server_load = register_server_load(&registry)?;
        let latency = register_latency(&registry)?;
        let dropped_lines = counter(
            "jaystand_log_lines_dropped_total",
            "Log lines dropped to bound their number.",
        )?;
        let diverged_copies = counter(
            "jaystand_diverged_copies_total",
            "Complete copies asked for because servers differed from those of the followed host.",
        )?;
        let panics = counter(
            "jaystand_panics_total",
            "Panics of parts of the process, which started again.",
        )?;
        Ok(Self {
            requests: counters(
                "jaystand_requests_total",
                "Requests by kind, status and reason.",
                &["kind", "status", "reason"],
            )?,
            attempts: counters(
                "jaystand_attempts_total",
                "Sendings to backend servers.",
                &["service", "outcome"],
            )?,
            connections: counters(
                "jaystand_connections_total",
                "Connections used for sendings.",
                &["service", "origin"],
            )?,
            store_calls: counters(
                "jaystand_store_calls_total",
                "Calls to the store.",
                &["call", "result"],
            )?,
            orders: counters(
                "jaystand_orders_total",
                "Weight orders to engines.",
                &["result"],
            )?,
            limited_calls: counters(
                "jaystand_limited_calls_total",
                "Calls to servers while they limit requests.",
                &["server", "purpose"],
            )?,
            retries: counters(
                "jaystand_retry_budget_total",
                "Retries that the retry budget allowed or refused.",
                &["service", "result"],
            )?,
            quota: quota::Metrics::register(&registry)?,
            clients: Clients::new(&registry)?,
            budget_hosts: gauge(
                "jaystand_retry_budget_hosts",
                "Hosts that share the slack of the retry budget, this one included.",
            )?,
            suspected_parts: gauge(
                "jaystand_suspected_parts",
                "Prompt parts that are suspected to crash servers.",
            )?,
            suspected_requests: gauge(
                "jaystand_suspected_requests",
                "Requests that are suspected to crash servers.",
            )?,
            store_era: gauge(
                "jaystand_store_era",
                "Era of the store; it rises when the store comes back from an older copy.",
            )?,
            config_version: gauge("jaystand_config_version", "Configuration in force.")?,
            servers: gauge("jaystand_servers", "Backend servers in use.")?,
            unused_entries: gauge(
                "jaystand_unused_entries",
                "Entries of services that the configuration does not name.",
            )?,
            peers: gauge("jaystand_peers", "Hosts that report.")?,
            waiting: waiting::Metrics::new(&registry)?,
            server_load,
            latency,
            dropped_lines,
            diverged_copies,
            panics,
            registry,
        })
    }

    /// Removes the metrics of a server that is gone.
    pub(crate) fn forget_server(&self, name: &str) {
        for call in Call::ALL {
            // Most servers never limit requests and have no such metric.
            let _ = self
                .limited_calls
                .remove_label_values(&[name, call.as_str()]);
        }
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("cannot encode metrics: {error}");
        }
        text
    }
}
