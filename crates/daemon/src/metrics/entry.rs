//! The metrics of an entry.

use fescuelead_core::ids::{ProfileName, ServiceName};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

use crate::metrics::{FloatGauge, HandshakeLabels, ListenerLabel};

/// One service of the configuration, or `other`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabel {
    /// The service.
    pub service: String,
}

/// A service and what became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The service.
    pub service: String,
    /// The outcome.
    pub outcome: &'static str,
}

/// A service and why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// The service.
    pub service: String,
    /// The reason.
    pub reason: &'static str,
}

/// A service and the span that a burn rate is measured over.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WindowLabels {
    /// The service.
    pub service: String,
    /// The profile.
    pub profile: String,
    /// The span: `5m`, `1h`, `6h` or `3d`.
    pub window: &'static str,
}

/// A service under a profile.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BudgetLabels {
    /// The service.
    pub service: String,
    /// The profile.
    pub profile: String,
}

/// One profile of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ProfileLabel {
    /// The profile.
    pub profile: String,
}

/// A phase of tasks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PhaseLabel {
    /// The phase.
    pub phase: &'static str,
}

/// A reason out of a fixed list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The reason.
    pub reason: &'static str,
}

/// A stream of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StreamLabel {
    /// The stream.
    pub stream: String,
}

/// How agents are.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StateLabel {
    /// The state.
    pub state: &'static str,
}

type SecondsFamily<L> = Family<L, Histogram, fn() -> Histogram>;

/// The metrics of an entry. Labels come from the configuration or from fixed lists, never from callers or tasks.
#[derive(Debug, Clone)]
#[allow(missing_docs, reason = "docs/metrics.md and the help texts describe each metric")]
pub struct EntryMetrics {
    pub requests: Family<OutcomeLabels, Counter>,
    pub request_seconds: SecondsFamily<ServiceLabel>,
    pub retries: Family<ServiceLabel, Counter>,
    pub hedges: Family<ServiceLabel, Counter>,
    pub refusals: Family<RefusalLabels, Counter>,
    pub slots: Family<ServiceLabel, Gauge>,
    pub slots_in_use: Family<ServiceLabel, Gauge>,
    pub burn_rate: Family<WindowLabels, FloatGauge>,
    pub budget_left: Family<BudgetLabels, FloatGauge>,
    pub tasks: Family<PhaseLabel, Gauge>,
    pub frozen_attempts: Gauge,
    pub placements: Counter,
    pub reservations_refused: Counter,
    pub fences: Family<ReasonLabel, Counter>,
    pub stalls: Counter,
    pub start_delay_seconds: SecondsFamily<ProfileLabel>,
    pub appends: Family<StreamLabel, Counter>,
    pub append_failures: Family<StreamLabel, Counter>,
    pub append_seconds: SecondsFamily<StreamLabel>,
    pub appended_bytes: Family<StreamLabel, Counter>,
    pub read_bytes: Family<StreamLabel, Counter>,
    pub read_failures: Family<StreamLabel, Counter>,
    pub records_read: Family<StreamLabel, Counter>,
    pub folded_offset: Family<StreamLabel, Gauge>,
    pub skipped_records: Family<StreamLabel, Gauge>,
    pub log_up: Gauge,
    pub copies_given: Family<StreamLabel, Counter>,
    pub copies_adopted: Family<StreamLabel, Counter>,
    pub view_is_copy: Gauge,
    pub config_version: Gauge,
    pub agents: Family<StateLabel, Gauge>,
    pub heartbeat_age_seconds: FloatGauge,
    pub heartbeat_replies: Counter,
    pub connections: Family<ListenerLabel, Gauge>,
    pub tls_handshake_failures: Family<HandshakeLabels, Counter>,
}

fn request_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_25, 2.0, 18))
}

fn delay_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.01, 2.0, 20))
}

impl EntryMetrics {
    /// Metrics that have counted nothing.
    pub fn new() -> Self {
        Self {
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(request_histogram),
            retries: Family::default(),
            hedges: Family::default(),
            refusals: Family::default(),
            slots: Family::default(),
            slots_in_use: Family::default(),
            burn_rate: Family::default(),
            budget_left: Family::default(),
            tasks: Family::default(),
            frozen_attempts: Gauge::default(),
            placements: Counter::default(),
            reservations_refused: Counter::default(),
            fences: Family::default(),
            stalls: Counter::default(),
            start_delay_seconds: Family::new_with_constructor(delay_histogram),
            appends: Family::default(),
            append_failures: Family::default(),
            append_seconds: Family::new_with_constructor(request_histogram),
            appended_bytes: Family::default(),
            read_bytes: Family::default(),
            read_failures: Family::default(),
            records_read: Family::default(),
            folded_offset: Family::default(),
            skipped_records: Family::default(),
            log_up: Gauge::default(),
            copies_given: Family::default(),
            copies_adopted: Family::default(),
            view_is_copy: Gauge::default(),
            config_version: Gauge::default(),
            agents: Family::default(),
            heartbeat_age_seconds: FloatGauge::default(),
            heartbeat_replies: Counter::default(),
            connections: Family::default(),
            tls_handshake_failures: Family::default(),
        }
    }

    /// Adds all metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        self.register_requests(registry);
        self.register_tasks(registry);
        self.register_log(registry);
        let r = registry;
        r.register("config_version", "Version of the configuration in force here", self.config_version.clone());
        r.register("agents", "Agents by state", self.agents.clone());
        let help = "Age of the oldest last heartbeat of an agent that is not suspected dead";
        r.register_with_unit("heartbeat_age", help, Unit::Seconds, self.heartbeat_age_seconds.clone());
        let help = "Replies to heartbeats that were computed, those of held heartbeats each time";
        r.register("heartbeat_replies", help, self.heartbeat_replies.clone());
        r.register("connections", "Open connections by listener", self.connections.clone());
        let help = "TLS handshakes that failed, by listener and reason";
        r.register("tls_handshake_failures", help, self.tls_handshake_failures.clone());
    }

    fn register_requests(&self, r: &mut Registry) {
        r.register("requests", "Requests by service and outcome", self.requests.clone());
        let help = "Time from the arrival of a request to the end of its answer";
        r.register_with_unit("request", help, Unit::Seconds, self.request_seconds.clone());
        r.register("retries", "Copies of requests that were sent again", self.retries.clone());
        r.register("hedges", "Second copies of slow requests", self.hedges.clone());
        r.register("refusals", "Requests refused as not run, by reason", self.refusals.clone());
        r.register("slots", "Requests that the endpoints of a service take at one time", self.slots.clone());
        r.register("slots_in_use", "Requests of this entry in flight at endpoints", self.slots_in_use.clone());
        r.register("burn_rate", "Burn rate; 1 uses the error budget up at the end of 3 days", self.burn_rate.clone());
        let help = "Share of the error budget of 3 days that is left";
        r.register("error_budget_left_ratio", help, self.budget_left.clone());
    }

    fn register_tasks(&self, r: &mut Registry) {
        r.register("tasks", "Tasks by phase", self.tasks.clone());
        r.register(
            "frozen_attempts",
            "Running attempts that are frozen for want of a lease",
            self.frozen_attempts.clone(),
        );
        r.register("placements", "Assignments of this entry that won", self.placements.clone());
        r.register("reservations_refused", "Reservations that agents refused", self.reservations_refused.clone());
        r.register("fences", "Attempts fenced, by reason", self.fences.clone());
        r.register("stalls", "Tasks raised for want of progress", self.stalls.clone());
        let help = "Time from the submission of a task to its first assignment, if this entry placed it";
        r.register_with_unit("task_start_delay", help, Unit::Seconds, self.start_delay_seconds.clone());
    }

    fn register_log(&self, r: &mut Registry) {
        r.register("appends", "Appends to the log that succeeded", self.appends.clone());
        r.register("append_failures", "Appends that were refused or got no answer", self.append_failures.clone());
        r.register_with_unit("append", "Time of an append", Unit::Seconds, self.append_seconds.clone());
        r.register_with_unit("appended", "Bytes appended", Unit::Bytes, self.appended_bytes.clone());
        r.register_with_unit("read", "Bytes read from the log", Unit::Bytes, self.read_bytes.clone());
        r.register("read_failures", "Reads of the log that failed", self.read_failures.clone());
        r.register("records_read", "Appends read from the log and folded", self.records_read.clone());
        r.register("folded_offset", "Offset up to which a stream is folded", self.folded_offset.clone());
        r.register("skipped_records", "Appends that could not be decoded", self.skipped_records.clone());
        r.register("log_up", "Whether the last read of the task stream succeeded", self.log_up.clone());
        r.register("copies_given", "Copies of the state given to other entries", self.copies_given.clone());
        r.register("copies_adopted", "Copies of other entries that were adopted", self.copies_adopted.clone());
        r.register(
            "view_is_copy",
            "Whether the view is a peer's copy that no read has proven",
            self.view_is_copy.clone(),
        );
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl From<&ServiceName> for ServiceLabel {
    fn from(service: &ServiceName) -> Self {
        Self { service: service.to_string() }
    }
}

impl From<&ProfileName> for ProfileLabel {
    fn from(profile: &ProfileName) -> Self {
        Self { profile: profile.to_string() }
    }
}
