//! Metrics of a process. `docs/metrics.md` lists them.

use std::sync::{Arc, atomic::AtomicU64};

use parking_lot::Mutex;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::gauge::Gauge,
    registry::Registry,
};

mod agent;
mod entry;

pub use self::{
    agent::{AgentMetrics, OutcomeLabel},
    entry::{
        BudgetLabels, EntryMetrics, OutcomeLabels, PhaseLabel, ProfileLabel, ReasonLabel, RefusalLabels, ServiceLabel,
        StateLabel, StreamLabel, WindowLabels,
    },
};

/// A gauge with fractions.
pub type FloatGauge = Gauge<f64, AtomicU64>;

/// A listener.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ListenerLabel {
    /// `request` or `peer`.
    pub listener: &'static str,
}

/// A listener and why TLS handshakes on it failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HandshakeLabels {
    /// `request` or `api`.
    pub listener: &'static str,
    /// `timeout`, `protocol` or `closed`.
    pub reason: &'static str,
}

/// Counts something as long as it is kept.
#[derive(Debug)]
pub struct Counted(Gauge);

impl Counted {
    /// Adds one to the gauge until it is dropped.
    pub fn new(gauge: &Gauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// The metrics of one process.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// No metrics yet.
    pub fn new() -> Self {
        Self { registry: Arc::new(Mutex::new(Registry::with_prefix("fescuelead"))) }
    }

    /// Adds metrics.
    pub fn register(&self, add: impl FnOnce(&mut Registry)) {
        add(&mut self.registry.lock());
    }

    /// All metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry.lock()) {
            Ok(()) => text,
            Err(error) => {
                crate::limited!(Warn, "api: metrics cannot be written: {error}");
                String::new()
            }
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
