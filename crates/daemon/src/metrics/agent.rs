//! The metrics of an agent.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Registry, Unit},
};

use crate::metrics::{FloatGauge, ListenerLabel};

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// `answered`, `not-run`, `failed` or `unknown`.
    pub outcome: &'static str,
}

/// The metrics of an agent.
#[derive(Debug, Clone, Default)]
#[allow(missing_docs, reason = "docs/metrics.md and the help texts describe each metric")]
pub struct AgentMetrics {
    pub requests: Family<OutcomeLabel, Counter>,
    pub slots: Gauge,
    pub slots_in_use: Gauge,
    pub running_tasks: Gauge,
    pub frozen_tasks: Gauge,
    pub freezes: Counter,
    pub lease_left_seconds: FloatGauge,
    pub config_version: Gauge,
    pub entries: Gauge,
    pub heartbeat_age_seconds: FloatGauge,
    pub starts: Counter,
    pub starts_failed: Counter,
    pub connections: Family<ListenerLabel, Gauge>,
}

impl AgentMetrics {
    /// Adds all metrics to a registry.
    pub fn register(&self, r: &mut Registry) {
        r.register("agent_requests", "Requests passed on, by outcome", self.requests.clone());
        r.register("agent_slots", "Requests that the endpoints take at one time", self.slots.clone());
        r.register("agent_slots_in_use", "Requests in flight at the endpoints", self.slots_in_use.clone());
        r.register("agent_running_tasks", "Tasks that run on the worker", self.running_tasks.clone());
        r.register("agent_frozen_tasks", "Tasks frozen for want of a lease", self.frozen_tasks.clone());
        r.register("agent_freezes", "Tasks that were frozen since the start", self.freezes.clone());
        let help = "Time until the earliest lease of a running task ends; 0 without tasks";
        r.register_with_unit("agent_lease_left_min", help, Unit::Seconds, self.lease_left_seconds.clone());
        r.register("agent_config_version", "Version of the configuration in force here", self.config_version.clone());
        r.register("agent_entries", "Entries that this agent keeps a session with or dials", self.entries.clone());
        let help = "Time since any entry last answered a heartbeat";
        r.register_with_unit("agent_heartbeat_age", help, Unit::Seconds, self.heartbeat_age_seconds.clone());
        r.register("agent_starts", "Starts of tasks asked of the worker", self.starts.clone());
        r.register("agent_starts_failed", "Starts that the worker refused", self.starts_failed.clone());
        r.register("connections", "Open connections by listener", self.connections.clone());
    }
}
