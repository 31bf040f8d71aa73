//! Metrics of a node, encoded as OpenMetrics text.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::coordination::outcome::Outcome;
use crate::state::object::Class;
use crate::transport::counted::CallCounters;
use crate::transport::link::ExchangeBytes;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0,
];

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    class: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ControlLabels {
    kind: &'static str,
    direction: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct NameLabel {
    name: &'static str,
}

/// The metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Histogram,
    control_bytes: Family<ControlLabels, Counter>,
    control_messages: Family<ControlLabels, Counter>,
    retries: Counter,
    voids: Family<NameLabel, Counter>,
    platform_calls: CallCounters,
    gauges: Family<NameLabel, Gauge<f64, AtomicU64>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("tarragon");
        let metrics = Metrics {
            requests: Family::default(),
            latency: Histogram::new(LATENCY_BUCKETS),
            control_bytes: Family::default(),
            control_messages: Family::default(),
            retries: Counter::default(),
            voids: Family::default(),
            platform_calls: CallCounters::default(),
            gauges: Family::default(),
            registry: Registry::default(),
        };
        let r = &mut registry;
        r.register(
            "requests",
            "Callers' requests by outcome",
            metrics.requests.clone(),
        );
        r.register_with_unit(
            "request_latency",
            "Time to the head of the answer",
            Unit::Seconds,
            metrics.latency.clone(),
        );
        r.register(
            "control_bytes",
            "Control traffic by kind",
            metrics.control_bytes.clone(),
        );
        r.register(
            "control_messages",
            "Control messages by kind",
            metrics.control_messages.clone(),
        );
        r.register(
            "retries",
            "Attempts after the first",
            metrics.retries.clone(),
        );
        r.register(
            "voids",
            "Voids asked after broken links, by answer",
            metrics.voids.clone(),
        );
        r.register(
            "platform_calls",
            "Calls to the platform's key-value service by operation",
            metrics.platform_calls.clone(),
        );
        r.register(
            "level",
            "State of the node, by name",
            metrics.gauges.clone(),
        );
        Metrics {
            registry,
            ..metrics
        }
    }
}

impl Metrics {
    /// Counts a sent control message and its bytes.
    pub fn record_sent(&self, kind: &'static str, bytes: usize) {
        self.record_control(kind, "sent", bytes);
    }

    /// Counts a received control message and its bytes.
    pub fn record_received(&self, kind: &'static str, bytes: usize) {
        self.record_control(kind, "received", bytes);
    }

    /// Counts a request to a peer and its reply.
    pub fn record_exchange(&self, kind: &'static str, bytes: ExchangeBytes) {
        self.record_sent(kind, bytes.sent);
        self.record_received(kind, bytes.received);
    }

    /// Returns the control bytes of a kind that were sent and received so far.
    pub fn control_bytes(&self, kind: &'static str) -> (u64, u64) {
        let count = |direction| {
            let labels = ControlLabels { kind, direction };
            self.control_bytes.get_or_create(&labels).get()
        };
        (count("sent"), count("received"))
    }

    /// Counts a completed request and records its latency.
    pub fn record_request(&self, class: Option<Class>, outcome: Outcome, latency: Duration) {
        let outcome = match outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        };
        let class = class.map_or_else(|| "none".to_string(), |c| c.to_string());
        self.requests
            .get_or_create(&RequestLabels { class, outcome })
            .inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Counts a retry of a request.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Returns the number of retries so far.
    pub fn retries(&self) -> u64 {
        self.retries.get()
    }

    /// Counts a request to void an attempt, by its result.
    pub fn record_void(&self, result: &'static str) {
        self.voids.get_or_create(&NameLabel { name: result }).inc();
    }

    /// Returns the counters of the calls to the platform.
    pub fn platform_calls(&self) -> CallCounters {
        self.platform_calls.clone()
    }

    /// Sets the given gauges by name, and encodes all metrics as OpenMetrics text.
    pub fn encode(&self, gauges: &[(&'static str, f64)]) -> String {
        for (name, value) in gauges {
            let label = NameLabel { name };
            self.gauges.get_or_create(&label).set(*value);
        }
        let mut text = String::new();
        let encoded = encode(&mut text, &self.registry);
        debug_assert!(encoded.is_ok(), "writing to a string does not fail");
        text
    }

    fn record_control(&self, kind: &'static str, direction: &'static str, bytes: usize) {
        let labels = ControlLabels { kind, direction };
        self.control_bytes
            .get_or_create(&labels)
            .inc_by(bytes as u64);
        self.control_messages.get_or_create(&labels).inc();
    }
}
