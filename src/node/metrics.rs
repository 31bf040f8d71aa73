//! Counters of a node, in OpenMetrics text.

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
struct ByteLabels {
    kind: &'static str,
    direction: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct NameLabel {
    name: &'static str,
}

/// The counters of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Histogram,
    control: Family<ByteLabels, Counter>,
    datagrams: Family<ByteLabels, Counter>,
    retries: Counter,
    voids: Family<NameLabel, Counter>,
    levels: Family<NameLabel, Gauge<f64, AtomicU64>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("tarragon");
        let metrics = Metrics {
            requests: Family::default(),
            latency: Histogram::new(LATENCY_BUCKETS),
            control: Family::default(),
            datagrams: Family::default(),
            retries: Counter::default(),
            voids: Family::default(),
            levels: Family::default(),
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
            metrics.control.clone(),
        );
        r.register(
            "control_messages",
            "Control messages by kind",
            metrics.datagrams.clone(),
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
            "level",
            "State of the node, by name",
            metrics.levels.clone(),
        );
        Metrics {
            registry,
            ..metrics
        }
    }
}

impl Metrics {
    /// Counts control bytes sent.
    pub fn sent(&self, kind: &'static str, bytes: usize) {
        self.moved(kind, "sent", bytes);
    }

    /// Counts control bytes received.
    pub fn received(&self, kind: &'static str, bytes: usize) {
        self.moved(kind, "received", bytes);
    }

    /// Counts the bytes of a request to a peer and its reply.
    pub fn exchanged(&self, kind: &'static str, moved: ExchangeBytes) {
        self.sent(kind, moved.sent);
        self.received(kind, moved.received);
    }

    /// Control bytes sent and received of a kind so far.
    pub fn control_bytes(&self, kind: &'static str) -> (u64, u64) {
        let read = |direction| {
            let labels = ByteLabels { kind, direction };
            self.control.get_or_create(&labels).get()
        };
        (read("sent"), read("received"))
    }

    /// Counts an ended request.
    pub fn request(&self, class: Option<Class>, outcome: Outcome, took: Duration) {
        let outcome = match outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        };
        let class = class.map_or_else(|| "none".to_string(), |c| c.to_string());
        self.requests
            .get_or_create(&RequestLabels { class, outcome })
            .inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// Counts an attempt after the first.
    pub fn retry(&self) {
        self.retries.inc();
    }

    /// Retries so far.
    pub fn retries(&self) -> u64 {
        self.retries.get()
    }

    /// Counts a void by its answer.
    pub fn void(&self, answer: &'static str) {
        self.voids.get_or_create(&NameLabel { name: answer }).inc();
    }

    /// Writes all counters, after setting the levels given.
    pub fn encode(&self, levels: &[(&'static str, f64)]) -> String {
        for (name, level) in levels {
            let label = NameLabel { name };
            self.levels.get_or_create(&label).set(*level);
        }
        let mut text = String::new();
        let encoded = encode(&mut text, &self.registry);
        debug_assert!(encoded.is_ok(), "writing to a string does not fail");
        text
    }

    fn moved(&self, kind: &'static str, direction: &'static str, bytes: usize) {
        let labels = ByteLabels { kind, direction };
        self.control.get_or_create(&labels).inc_by(bytes as u64);
        self.datagrams.get_or_create(&labels).inc();
    }
}
