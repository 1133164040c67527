/*!
An entry accepts jobs from clients, replicates the state of all jobs, and may be elected leader.

A job is accepted by appending it to the store, which does not require a leader. The leader reads the job from the
store. Every entry replicates the store, so any entry can report the status of any job and take over immediately.
*/

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use fescuelead_core::{
    jobs::{HostName, JobId, JobSpec, Replica, lease::LeasePlan},
    units::TimeMs,
};
use rand::RngExt;
use tokio::{
    sync::{Notify, mpsc},
    task::spawn_local,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::Clock,
    leader::LeaderEvent,
    metrics::EntryMetrics,
    routing::{OperatorChange, Route, RoutingConfig},
    store::{Record, Store, StoreError, Stream},
};

/// The longest backoff after a failed call to the store, in milliseconds.
const MAX_BACKOFF_MS: u64 = 400;
/// The backoff after the first failed call to the store, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 30;
/// Epochs per millisecond of Unix time. An epoch is the Unix time in milliseconds times this number plus a random
/// number below it, so that two entries rarely choose the same epoch. Epochs stay below 2^53, the largest integer that
/// all JSON parsers read exactly.
pub(crate) const EPOCHS_PER_MS: u64 = 1_000;
/// The timeout of a call to the store, in milliseconds: a hundred times the usual latency.
const STORE_CALL_TIMEOUT_MS: u64 = 600;

/// What an [`Entry`] is created with: its identity, lease times, clock, decoder and metrics.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// The name of the entry, unique among all entries. It identifies the leader in the store.
    pub name: String,
    /// The durations of leases and of leadership. All entries and agents of a cell need the same plan.
    pub plan: LeasePlan,
    /// The clock of this process; tests pass one that they can pause.
    pub clock: Clock,
    /// Decodes a record of [`Stream::Operator`]. A record for which it returns an error is logged and skipped.
    pub decode_operator_record: fn(&Record) -> Result<OperatorChange, String>,
    /// The metrics that this entry updates. Clones share their values.
    pub metrics: EntryMetrics,
}

/// The result of looking up the queue of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// No configuration has been read yet.
    NotConfigured,
    /// No route matches the host name and the path.
    NoRoute,
    /// The matching route with the longest path prefix.
    Found(Route),
}

#[derive(Default)]
struct State {
    replica: Replica,
    retention: Retention,
    admission: Admission,
    early_cancellations: EarlyCancellations,
    /// The offset of the next record to read from each stream; absent until the stream was read for the first time.
    next: BTreeMap<Stream, u64>,
    views: Views,
    /// The streams whose latest read by their follower has failed.
    unreachable: BTreeSet<Stream>,
    /// The address of each host's agent.
    hosts: BTreeMap<HostName, SocketAddr>,
    routing: Option<RoutingConfig>,
    zones_out: BTreeSet<String>,
    leader_events: Option<mpsc::UnboundedSender<LeaderEvent>>,
    /// The highest epoch of a leader read from the store.
    epoch: u64,
    /// The next epoch of this entry has to be higher than this, because the store has refused a lower one.
    epoch_floor: u64,
    /// The name of the leader with the highest epoch.
    leader_name: String,
    /// Whether the leader with the highest epoch is known to have stopped leading.
    resigned: bool,
    /// The start of the time in which the store could be read and held no new record of a leader.
    leader_silent_since: TimeMs,
}

/// A replica of the job state that serves clients and takes part in the leader election.
pub struct Entry {
    pub(crate) config: EntryConfig,
    pub(crate) store: Box<dyn Store>,
    state: RefCell<State>,
    leading: Cell<bool>,
    leading_changed: Notify,
    /// The current outage of the store; `None` after a successful read or append.
    outage: Cell<Option<Outage>>,
    outage_started: Notify,
    /// When the store last answered a call.
    store_answered_at: Cell<TimeMs>,
    /// Jobs whose submission had an unknown outcome, with the time of that outcome.
    unknown_submissions: RefCell<BTreeMap<JobId, TimeMs>>,
}

mod admission;
mod cancellations;
mod election;
mod replication;
mod requests;
mod retention;
mod views;

use admission::Admission;
pub use admission::{DEFAULT_JOB_BUDGET_BYTES, MIN_JOB_BUDGET_BYTES};
use cancellations::EarlyCancellations;
use requests::Outage;
pub use requests::RequestError;
use retention::Retention;
pub use retention::{DEFAULT_STATUS_MS, JobLimits};
pub use views::MAX_COUNT_AGE_MS;
use views::Views;

impl Entry {
    /// Creates an entry, which does nothing until [`Entry::run`] is called.
    pub fn new(config: EntryConfig, store: Box<dyn Store>) -> Rc<Self> {
        Self::with_job_limits(config, store, JobLimits::default())
    }

    /// Creates an entry like [`Entry::new`], with other limits for what is kept of jobs.
    pub fn with_job_limits(config: EntryConfig, store: Box<dyn Store>, job_limits: JobLimits) -> Rc<Self> {
        let state = State {
            retention: Retention::new(job_limits),
            admission: Admission::new(job_limits.budget_bytes()),
            ..State::default()
        };
        Rc::new(Self {
            config,
            store,
            state: RefCell::new(state),
            leading: Cell::new(false),
            leading_changed: Notify::new(),
            outage: Cell::new(None),
            outage_started: Notify::new(),
            store_answered_at: Cell::default(),
            unknown_submissions: RefCell::default(),
        })
    }

    /// Replicates the store and takes part in the leader election until `stop` is cancelled. Replication continues
    /// after that, so that requests can be answered until the process ends.
    pub async fn run(self: Rc<Self>, stop: CancellationToken) {
        let streams = [Stream::Operator, Stream::Hosts, Stream::Jobs, Stream::Progress];
        for stream in streams {
            spawn_local(self.clone().follow(stream));
        }
        spawn_local(self.clone().probe_store());
        spawn_local(self.clone().remove_early_cancellations());
        spawn_local(self.clone().remove_ended_jobs());
        self.clone().run_election(stop).await;
    }

    /// The name from [`EntryConfig::name`].
    pub fn name(&self) -> &str {
        &self.config.name
    }

    /// Whether the entry has read the configuration and all jobs, and so can answer clients.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.routing.is_some() && state.next.contains_key(&Stream::Jobs) && state.next.contains_key(&Stream::Progress)
    }

    /// The metrics that this entry updates.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.config.metrics
    }

    /// The version of the configuration in force; `None` until one was read.
    pub fn version(&self) -> Option<u64> {
        self.state.borrow().routing.as_ref().map(|routing| routing.version)
    }

    /// Looks up the queue of a request by its host name and path.
    pub fn route(&self, host: &str, path: &str) -> Lookup {
        match &self.state.borrow().routing {
            None => Lookup::NotConfigured,
            Some(routing) => routing.route(host, path).cloned().map_or(Lookup::NoRoute, Lookup::Found),
        }
    }

    /// Applies [`STORE_CALL_TIMEOUT_MS`] to a call to the store and counts its outcome.
    pub(crate) async fn call_store<T>(
        &self,
        kind: &'static str,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.call_store_within(kind, STORE_CALL_TIMEOUT_MS, call).await
    }

    async fn call_store_within<T>(
        &self,
        kind: &'static str,
        timeout_ms: u64,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let sent_at = self.config.clock.now();
        let answer = match timeout(Duration::from_millis(timeout_ms), call).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::Unknown(format!("none within {timeout_ms} ms"))),
        };
        if answer.is_ok() {
            self.store_answered_at.set(self.config.clock.now());
        }
        let outcome = answer.as_ref().map_or_else(StoreError::kind, |_| "ok");
        self.config.metrics.store_calls.observe(kind, outcome, self.config.clock.now().since_ms(sent_at));
        answer
    }

    /// Calls `read` with the replicated job state.
    pub(crate) fn with_replica<T>(&self, read: impl FnOnce(&mut Replica) -> T) -> T {
        read(&mut self.state.borrow_mut().replica)
    }

    /// The submission of a job; `None` if it has not been read yet.
    pub(crate) fn job_spec(&self, job: JobId) -> Option<Arc<JobSpec>> {
        self.state.borrow().replica.job(job).and_then(|copy| copy.spec.clone())
    }

    /// Notes that the leader's own records end before the offset `next`. The append was sent at `sent_at`.
    pub(crate) fn progress_stored(&self, next: u64, sent_at: TimeMs) {
        let mut state = self.state.borrow_mut();
        state.next.insert(Stream::Progress, next);
        state.views.completed(Stream::Progress, sent_at);
    }

    /// The number of hosts that have announced themselves. A leader has a connection to each.
    pub fn host_count(&self) -> usize {
        self.state.borrow().hosts.len()
    }

    pub(crate) fn hosts(&self) -> BTreeMap<HostName, SocketAddr> {
        self.state.borrow().hosts.clone()
    }

    pub(crate) fn routing_config(&self) -> RoutingConfig {
        self.state.borrow().routing.clone().unwrap_or_default()
    }

    pub(crate) fn zones_out(&self) -> BTreeSet<String> {
        self.state.borrow().zones_out.clone()
    }
}

/// Waits before a call is repeated and doubles the next wait, up to [`MAX_BACKOFF_MS`]. The jitter keeps processes from
/// calling at the same time.
pub(crate) async fn back_off(backoff_ms: &mut u64) {
    let jittered = rand::rng().random_range(*backoff_ms / 2..=*backoff_ms);
    *backoff_ms = (*backoff_ms * 2).min(MAX_BACKOFF_MS);
    sleep(Duration::from_millis(jittered)).await;
}
