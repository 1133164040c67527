//! The metrics of entries and agents, which docs/metrics.md describes.

use std::time::Duration;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

/// The upper bound of the first bucket of the latency histograms, in seconds. Each bound is twice the one before, from
/// 0.5 ms to 8 s.
const FIRST_BUCKET_S: f64 = 0.000_5;
/// The number of buckets of the latency histograms.
const BUCKETS: u16 = 15;

/// The labels of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The name of the request or call, such as `submit` or `append`.
    pub kind: &'static str,
    /// `ok`, or the reason of the failure, such as `unknown`.
    pub outcome: &'static str,
}

/// The label of a run that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// `done`, `failed` or `interrupted`.
    pub outcome: &'static str,
}

/// The label of what a server refused or closed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// Why, such as `body-budget`.
    pub reason: &'static str,
}

/// What the servers of a process hold, close and refuse. Clones share their values.
#[derive(Debug, Clone, Default)]
#[allow(missing_docs, reason = "the help texts describe each metric")]
pub struct ServerMetrics {
    pub connections: Gauge,
    pub body_bytes: Gauge,
    closed: Family<ReasonLabel, Counter>,
    refused: Family<ReasonLabel, Counter>,
}

impl ServerMetrics {
    /// Counts a connection that was closed or not accepted.
    pub fn count_closed(&self, reason: &'static str) {
        self.closed.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a request that was refused.
    pub fn count_refused(&self, reason: &'static str) {
        self.refused.get_or_create(&ReasonLabel { reason }).inc();
    }

    fn register(&self, r: &mut Registry) {
        r.register("server_connections", "Open connections of clients", self.connections.clone());
        r.register("server_body_bytes", "Bytes charged for the bodies of requests", self.body_bytes.clone());
        r.register("server_connections_closed", "Connections closed by the limits of the server", self.closed.clone());
        r.register("server_requests_refused", "Requests refused by the limits of the server", self.refused.clone());
    }
}

/// The label of a prediction of run times.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PredictionLabel {
    /// `expectation` of the leader, or `estimate` of the client.
    pub by: &'static str,
}

/// A counter and a latency histogram of calls, by kind and outcome.
#[derive(Debug, Clone)]
pub struct Calls {
    count: Family<OutcomeLabels, Counter>,
    latency: Family<OutcomeLabels, Histogram>,
}

impl Default for Calls {
    fn default() -> Self {
        let latency = Family::new_with_constructor(
            (|| Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))) as fn() -> Histogram,
        );
        Self { count: Family::default(), latency }
    }
}

impl Calls {
    /// Counts a call that took `took_ms` milliseconds.
    pub fn observe(&self, kind: &'static str, outcome: &'static str, took_ms: u64) {
        let labels = OutcomeLabels { kind, outcome };
        self.count.get_or_create(&labels).inc();
        self.latency.get_or_create(&labels).observe(Duration::from_millis(took_ms).as_secs_f64());
    }

    /// The number of calls of a kind with an outcome since the start of the process.
    pub fn count(&self, kind: &'static str, outcome: &'static str) -> u64 {
        self.count.get_or_create(&OutcomeLabels { kind, outcome }).get()
    }

    fn register(&self, name: &str, help: &str, registry: &mut Registry) {
        registry.register(name, help, self.count.clone());
        registry.register_with_unit(format!("{name}_latency"), help, Unit::Seconds, self.latency.clone());
    }
}

/// The metrics of an entry. Clones share their values.
#[derive(Debug, Clone, Default)]
#[allow(missing_docs, reason = "the help texts describe each metric")]
pub struct EntryMetrics {
    pub requests: Calls,
    pub store_calls: Calls,
    pub leading: Gauge,
    pub take_overs: Counter,
    pub runs_ordered: Counter,
    pub runs_ended: Family<OutcomeLabel, Counter>,
    pub tasks_moved: Counter,
    pub departure_moves: Counter,
    pub tasks_given_up: Counter,
    pub waiting_steps: Gauge,
    pub progress_reports: Counter,
    pub slow_runs: Gauge,
    pub reserved_hosts: Gauge,
    pub reserving_steps: Gauge,
    pub run_time_error_percent: Family<PredictionLabel, Gauge>,
    pub hosts_connected: Gauge,
    pub departing_hosts: Gauge,
    pub held_starts: Gauge,
    pub unreported_runs: Gauge,
    pub config_version: Gauge,
    pub records_skipped: Counter,
    pub early_cancellations: Gauge,
    pub ended_jobs: Gauge,
    pub job_memory_bytes: Gauge,
    pub jobs_refused: Counter,
    pub server: ServerMetrics,
}

impl EntryMetrics {
    /// Formats the metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be formatted.
    pub fn text(&self) -> Result<String, std::fmt::Error> {
        let mut r = Registry::with_prefix("fescuelead");
        self.requests.register("requests", "Requests of clients, by kind and outcome", &mut r);
        self.store_calls.register("store_calls", "Calls to the platform's store, by kind and outcome", &mut r);
        r.register("leading", "Whether this entry decides for all hosts", self.leading.clone());
        r.register("take_overs", "How often this entry began to lead", self.take_overs.clone());
        r.register("runs_ordered", "Runs that this entry ordered as the leader", self.runs_ordered.clone());
        r.register("runs_ended", "Ends of runs that this entry was told of as the leader", self.runs_ended.clone());
        r.register("tasks_moved", "Slowed tasks that were stopped to go on elsewhere", self.tasks_moved.clone());
        r.register(
            "departure_moves",
            "Tasks that were stopped to go on elsewhere because their endpoint ends as planned",
            self.departure_moves.clone(),
        );
        r.register("departing_hosts", "Hosts with tasks whose endpoints end as planned", self.departing_hosts.clone());
        r.register(
            "tasks_given_up",
            "Tasks under which endpoints crash that were given up",
            self.tasks_given_up.clone(),
        );
        r.register("waiting_steps", "Steps with tasks that wait for a host", self.waiting_steps.clone());
        r.register("progress_reports", "Reported changes of the progress of runs", self.progress_reports.clone());
        r.register(
            "reserved_hosts",
            "Hosts with room reserved for a step that was passed over",
            self.reserved_hosts.clone(),
        );
        r.register("reserving_steps", "Steps that hold reservations of room", self.reserving_steps.clone());
        r.register("slow_runs", "Runs that are slow for their steps", self.slow_runs.clone());
        r.register(
            "run_time_error_percent",
            "Median error of predicted durations of the latest runs",
            self.run_time_error_percent.clone(),
        );
        r.register("hosts_connected", "Hosts with a session of this leader", self.hosts_connected.clone());
        r.register(
            "held_starts",
            "Starts that wait until the copies of the store are recent",
            self.held_starts.clone(),
        );
        r.register(
            "unreported_runs",
            "Runs on hosts that have a session but have not reported their runs in it",
            self.unreported_runs.clone(),
        );
        r.register("config_version", "Version of the configuration in force here", self.config_version.clone());
        r.register(
            "early_cancellations",
            "Cancelled jobs of which no submission is known",
            self.early_cancellations.clone(),
        );
        r.register("ended_jobs", "Jobs that have ended and of which only the status is kept", self.ended_jobs.clone());
        r.register("job_memory_bytes", "Memory that accepted jobs may need", self.job_memory_bytes.clone());
        r.register("jobs_refused", "Jobs refused because accepted ones use all memory", self.jobs_refused.clone());
        r.register("records_skipped", "Records of the store that could not be used", self.records_skipped.clone());
        self.server.register(&mut r);
        encode(&r)
    }
}

/// The metrics of an agent. Clones share their values.
#[derive(Debug, Clone, Default)]
#[allow(missing_docs, reason = "the help texts describe each metric")]
pub struct AgentMetrics {
    pub endpoint_calls: Calls,
    pub running: Gauge,
    pub paced_images: Gauge,
    pub sessions: Counter,
    pub incomplete_reports: Counter,
    pub departure_stops: Counter,
    pub departures_with_runs: Counter,
    pub leader_connections_closed: Counter,
    pub server: ServerMetrics,
}

impl AgentMetrics {
    /// Formats the metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be formatted.
    pub fn text(&self) -> Result<String, std::fmt::Error> {
        let mut r = Registry::with_prefix("fescuelead");
        self.endpoint_calls.register("endpoint_calls", "Calls to the endpoint, by kind and outcome", &mut r);
        r.register("running_tasks", "Tasks that the endpoint runs", self.running.clone());
        r.register("paced_images", "Images of background tasks that are slowed here", self.paced_images.clone());
        r.register("leader_sessions", "Sessions that leaders opened", self.sessions.clone());
        r.register(
            "incomplete_reports",
            "Reports of the endpoint that may omit ended runs",
            self.incomplete_reports.clone(),
        );
        r.register(
            "departure_stops",
            "Runs that the agent stopped because its endpoint is leaving",
            self.departure_stops.clone(),
        );
        r.register(
            "departures_with_runs",
            "Deregistrations acknowledged before all runs were listed as ended",
            self.departures_with_runs.clone(),
        );
        r.register(
            "leader_connections_closed",
            "Connections for which the port for leaders had no room",
            self.leader_connections_closed.clone(),
        );
        self.server.register(&mut r);
        encode(&r)
    }
}

fn encode(registry: &Registry) -> Result<String, std::fmt::Error> {
    let mut buffer = String::new();
    text::encode(&mut buffer, registry)?;
    Ok(buffer)
}
