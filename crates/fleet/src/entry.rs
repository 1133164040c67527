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
    leader::{self, LeaderEvent},
    metrics::EntryMetrics,
    routing::{OperatorChange, Route, RoutingConfig},
    session::Leadership,
    store::{self, JobRecord, Page, Record, Store, StoreError, Stream},
};

/// How long a read waits for new records, in milliseconds. An entry whose reads have failed for several times this long
/// has a stale replica.
const READ_WAIT_MS: u64 = 1_500;
/// The pause between two reads of the leader's records by a follower, in milliseconds. Followers report job states that
/// are out of date by up to this much.
const PROGRESS_POLL_MS: u64 = 100;
/// The pause between two reads of submissions and cancellations by a follower, in milliseconds.
const JOBS_POLL_MS: u64 = 300;
/// The longest backoff after a failed call to the store, in milliseconds.
const MAX_BACKOFF_MS: u64 = 400;
/// The backoff after the first failed call to the store, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 30;
/// Another entry takes over when the leader has stored no record for this long, in milliseconds: five heartbeats. Work
/// that lost its host waits for that long, and a needless change of the leader costs less.
const LEADER_TIMEOUT_MS: u64 = 1_000;
/// A leader counts as silent only if the store holds nothing new of it for the time of this many further reads: an append
/// of the leader may wait for an earlier one, and takes longer than a read.
const SLOW_STORE_READS: u64 = 4;
/// The upper bound of the random delay before an entry takes over, in milliseconds. It keeps entries from taking over
/// at the same time; if two still do, the store refuses the one with the lower epoch.
const TAKEOVER_JITTER_MS: u64 = 200;
/// The upper bound of that delay after the leader has resigned, in milliseconds.
const SUCCESSION_JITTER_MS: u64 = 100;
/// Epochs per millisecond of Unix time. An epoch is the Unix time in milliseconds times this number plus a random
/// number below it, so that two entries rarely choose the same epoch. Epochs stay below 2^53, the largest integer that
/// all JSON parsers read exactly.
pub(crate) const EPOCHS_PER_MS: u64 = 1_000;
/// How often a follower checks whether it should take over, in milliseconds.
const ELECTION_POLL_MS: u64 = 30;
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

    /// Replicates a stream until the task is dropped.
    async fn follow(self: Rc<Self>, stream: Stream) {
        let mut backoff_ms = INITIAL_BACKOFF_MS;
        loop {
            // The leader writes these records itself and does not read them back.
            while stream == Stream::Progress && self.leading.get() {
                self.leading_changed.notified().await;
            }
            let from = self.state.borrow().next.get(&stream).copied();
            let sent_at = self.config.clock.now();
            let answer = match from {
                None => self.store.newest(stream).await,
                Some(from) => self.store.read(stream, from, READ_WAIT_MS).await,
            };
            match answer {
                Ok(page) => {
                    self.outage.set(None);
                    self.store_answered_at.set(self.config.clock.now());
                    if self.state.borrow_mut().unreachable.remove(&stream) {
                        log::info!("store reachable again: stream={stream:?} next={}", page.next);
                    }
                    backoff_ms = INITIAL_BACKOFF_MS;
                    if from.is_none() {
                        log::info!("stream read: stream={stream:?} records={} next={}", page.records.len(), page.next);
                    }
                    // The store has waited for records in vain, so the copy was complete until it answered.
                    let waited_ms = if from.is_some() && page.records.is_empty() { READ_WAIT_MS } else { 0 };
                    let read_at = sent_at.plus_ms(waited_ms).min(self.config.clock.now());
                    let at_end = page.at_end;
                    self.apply(stream, from, page, read_at);
                    let spacing_ms = match stream {
                        // Further records are in the store already.
                        _ if !at_end => 0,
                        Stream::Progress => PROGRESS_POLL_MS,
                        Stream::Jobs if !self.leading.get() => JOBS_POLL_MS,
                        _ => 0,
                    };
                    sleep(Duration::from_millis(spacing_ms)).await;
                }
                Err(StoreError::Expired) => {
                    log::warn!("records expired: stream={stream:?} from={from:?}");
                    self.state.borrow_mut().next.remove(&stream);
                }
                Err(error) => {
                    if stream == Stream::Progress {
                        // The leader may have lost the store as well, so its silence is no reason to take over.
                        self.state.borrow_mut().leader_silent_since = self.config.clock.now();
                    }
                    if self.state.borrow_mut().unreachable.insert(stream) {
                        log::warn!("store unreachable: stream={stream:?} error={error}");
                    }
                    back_off(&mut backoff_ms).await;
                }
            }
        }
    }

    /// Reads a stream up to its end and applies the records.
    pub(crate) async fn catch_up(&self, stream: Stream) -> Result<(), StoreError> {
        loop {
            let from = self.state.borrow().next.get(&stream).copied();
            let sent_at = self.config.clock.now();
            let page = match from {
                None => self.store.newest(stream).await?,
                Some(from) => match self.call_store("read", self.store.read(stream, from, 0)).await {
                    Ok(page) => page,
                    Err(StoreError::Expired) => {
                        self.state.borrow_mut().next.remove(&stream);
                        continue;
                    }
                    Err(error) => return Err(error),
                },
            };
            let is_end = page.records.is_empty();
            if self.apply(stream, from, page, sent_at) && is_end {
                return Ok(());
            }
        }
    }

    /// Applies a page that was read from the offset `from`, or the newest records if that is `None`. Returns whether it
    /// did: another task may have read on in the meantime, after which the records of this page are out of date. `read_at` is
    /// a time at which the store had no records after those of the page, if the page reaches the end of the stream.
    fn apply(&self, stream: Stream, from: Option<u64>, page: Page, read_at: TimeMs) -> bool {
        let mut state = self.state.borrow_mut();
        if state.next.get(&stream).copied() != from {
            log::info!("page dropped because newer records were read meanwhile: stream={stream:?} from={from:?}");
            return false;
        }
        if stream == Stream::Progress && !page.records.is_empty() {
            state.leader_silent_since = self.config.clock.now();
        }
        if stream == Stream::Jobs && from.is_none() {
            state.early_cancellations.read_anew();
        }
        let mut listed_zones_out = BTreeSet::new();
        let mut listed_jobs = BTreeSet::new();
        // Each record is freed once it is applied, so that a large page is not held twice.
        for record in page.records {
            let record = &record;
            match stream {
                Stream::Operator => match (self.config.decode_operator_record)(record) {
                    Ok(change) => {
                        if let OperatorChange::ZoneOut(zone) = &change {
                            listed_zones_out.insert(zone.clone());
                        }
                        state.apply_operator_change(change);
                    }
                    Err(message) => self.skip_record(stream, &record.key, &message),
                },
                Stream::Hosts => match store::host_address(record) {
                    Ok(Some(address)) => state.apply_host(&record.key, address),
                    Ok(None) => {}
                    Err(error) => self.skip_record(stream, &record.key, &error),
                },
                Stream::Jobs | Stream::Progress => {
                    if from.is_none() {
                        listed_jobs.extend(JobRecord::described_job(record));
                    }
                    match JobRecord::decode(record) {
                        Ok(decoded) => state.apply_job_record(decoded, self.config.clock.now()),
                        Err(error) => self.skip_record(stream, &record.key, &error),
                    }
                }
            }
        }
        if from.is_none() {
            match stream {
                Stream::Operator => state.restore_unlisted_zones(&listed_zones_out),
                Stream::Jobs => state.replica.retain_submissions(&listed_jobs),
                Stream::Progress => state.replica.retain_progress(&listed_jobs),
                Stream::Hosts => {}
            }
        }
        state.next.insert(stream, page.next);
        if page.at_end {
            state.views.completed(stream, read_at);
        }
        if let Some(routing) = &state.routing {
            self.config.metrics.config_version.set(routing.version as i64);
        }
        if stream == Stream::Progress && !self.leading.get() && state.leader_name == self.config.name {
            // The latest leader was this entry, either in an earlier process or before it stopped leading.
            state.resigned = true;
        }
        true
    }

    /// Logs and counts a record that cannot be used, for example because another writer has left it in the store. What
    /// an earlier record of its key said stays in force.
    fn skip_record(&self, stream: Stream, key: &str, error: &dyn std::fmt::Display) {
        self.config.metrics.records_skipped.inc();
        log::warn!("record skipped: stream={stream:?} key={key:?} error={error}");
    }

    /// Takes over the leadership whenever no other entry leads, until `stop` is cancelled.
    async fn run_election(self: Rc<Self>, stop: CancellationToken) {
        let clock = self.config.clock;
        self.state.borrow_mut().leader_silent_since = clock.now();
        while !stop.is_cancelled() {
            let jitter_ms = rand::rng().random_range(0..=TAKEOVER_JITTER_MS);
            let succession_ms = jitter_ms * SUCCESSION_JITTER_MS / TAKEOVER_JITTER_MS;
            let mut resigned_at = None;
            loop {
                sleep(Duration::from_millis(ELECTION_POLL_MS)).await;
                if stop.is_cancelled() {
                    return;
                }
                let now = clock.now();
                let state = self.state.borrow();
                if state.resigned {
                    let at = *resigned_at.get_or_insert(now);
                    if now.since_ms(at) >= succession_ms {
                        break;
                    }
                } else {
                    resigned_at = None;
                }
                if now.since_ms(state.leader_silent_since) >= LEADER_TIMEOUT_MS + jitter_ms {
                    break;
                }
            }
            if self.is_ready() && self.leadership_is_vacant().await {
                let random_part = rand::rng().random_range(0..EPOCHS_PER_MS);
                let floor = {
                    let state = self.state.borrow();
                    state.epoch.max(state.epoch_floor) + 1 + random_part
                };
                let epoch = (clock.unix_ms() * EPOCHS_PER_MS + random_part).max(floor);
                let leadership = Leadership::new(self.config.name.clone(), epoch, self.config.plan, clock);
                leader::lead(self.clone(), Rc::new(leadership), stop.clone()).await;
            }
            let mut state = self.state.borrow_mut();
            state.leader_silent_since = clock.now();
            state.resigned = false;
        }
    }

    /// Reads the newest records and returns whether there still is no leader; another entry may just have taken over. If the
    /// store is slow, so are the leader's records: the answer then comes after a pause in which they can arrive.
    async fn leadership_is_vacant(&self) -> bool {
        let (before, leader_silent_since) = {
            let state = self.state.borrow();
            (state.epoch, state.leader_silent_since)
        };
        let asked_at = self.config.clock.now();
        for read in 0..2 {
            if let Err(error) = self.catch_up(Stream::Progress).await {
                log::warn!("cannot take over: entry={} error={error}", self.config.name);
                return false;
            }
            let resigned = {
                let state = self.state.borrow();
                if state.epoch != before || !(state.resigned || state.leader_silent_since == leader_silent_since) {
                    return false;
                }
                state.resigned
            };
            if resigned {
                break;
            }
            if read == 0 {
                let took_ms = self.config.clock.now().since_ms(asked_at);
                sleep(Duration::from_millis(took_ms * SLOW_STORE_READS)).await;
            }
        }
        true
    }

    /// Makes all later epochs of this entry higher than `epoch`.
    pub(crate) fn raise_epoch_floor(&self, epoch: u64) {
        let mut state = self.state.borrow_mut();
        state.epoch_floor = state.epoch_floor.max(epoch);
    }

    /// Whether the latest leader read from the store has this name and epoch.
    pub(crate) fn is_leader(&self, name: &str, epoch: u64) -> bool {
        let state = self.state.borrow();
        state.epoch == epoch && state.leader_name == name
    }

    /// Sets or clears the channel through which the leader's task receives changes. The entry leads while there is one.
    pub(crate) fn set_leading(&self, sender: Option<mpsc::UnboundedSender<LeaderEvent>>) {
        self.leading.set(sender.is_some());
        self.state.borrow_mut().leader_events = sender;
        self.leading_changed.notify_waiters();
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

impl State {
    fn notify_leader(&self, event: LeaderEvent) {
        if let Some(leader_events) = &self.leader_events
            && leader_events.send(event).is_err()
        {
            log::debug!("change not passed on because the leader task has stopped");
        }
    }

    /// Applies a submission that was stored.
    fn apply_submission(&mut self, job: JobId, spec: JobSpec) {
        self.early_cancellations.submitted(job);
        if self.replica.apply_submission(job, spec) {
            self.notify_leader(LeaderEvent::Submitted(job));
        }
    }

    fn apply_operator_change(&mut self, change: OperatorChange) {
        match change {
            OperatorChange::Configured(routing) => {
                let version = self.routing.as_ref().map(|routing| routing.version);
                if version.is_some_and(|version| version >= routing.version) {
                    return;
                }
                log::info!("configuration in force: version={} before={version:?}", routing.version);
                self.routing = Some(routing);
                self.notify_leader(LeaderEvent::Configured);
            }
            OperatorChange::ZoneOut(zone) => {
                log::info!("availability zone out of service: zone={zone}");
                self.zones_out.insert(zone);
                self.notify_leader(LeaderEvent::ZonesChanged);
            }
            OperatorChange::ZoneIn(zone) => {
                if self.zones_out.remove(&zone) {
                    log::info!("availability zone back in service: zone={zone}");
                    self.notify_leader(LeaderEvent::ZonesChanged);
                }
            }
            OperatorChange::Other => {}
        }
    }

    /// Puts the availability zones that are not `listed` back into service. The newest records don't contain the ones
    /// that were removed, for example while this entry could not read.
    fn restore_unlisted_zones(&mut self, listed: &BTreeSet<String>) {
        let unlisted: Vec<_> = self.zones_out.difference(listed).cloned().collect();
        for zone in unlisted {
            self.apply_operator_change(OperatorChange::ZoneIn(zone));
        }
    }

    fn apply_host(&mut self, host: &str, address: SocketAddr) {
        self.hosts.insert(host.to_owned(), address);
        self.notify_leader(LeaderEvent::HostsChanged);
    }

    fn apply_job_record(&mut self, record: JobRecord, now: TimeMs) {
        match record {
            JobRecord::Submitted(job, spec) => self.apply_submission(job, *spec),
            JobRecord::Cancelled(job) => self.apply_cancellation(job, now),
            JobRecord::SubmissionRemoved(job) => self.replica.apply_submission_removal(job),
            JobRecord::CancellationRemoved(job) => {
                self.early_cancellations.removed(job);
                self.replica.apply_cancellation_removal(job);
            }
            JobRecord::Progressed(job, progress) => self.apply_progress(job, progress, now),
            JobRecord::ProgressRemoved(job) => self.forget_ended(job),
            JobRecord::Leader(leader) => {
                if leader.epoch > self.epoch {
                    log::info!("new leader: leader={} epoch={}", leader.name, leader.epoch);
                }
                if leader.epoch >= self.epoch {
                    self.epoch = leader.epoch;
                    self.leader_name = leader.name;
                    self.resigned = leader.resigned;
                }
            }
            JobRecord::Removed => {}
        }
    }
}

/// Waits before a call is repeated and doubles the next wait, up to [`MAX_BACKOFF_MS`]. The jitter keeps processes from
/// calling at the same time.
pub(crate) async fn back_off(backoff_ms: &mut u64) {
    let jittered = rand::rng().random_range(*backoff_ms / 2..=*backoff_ms);
    *backoff_ms = (*backoff_ms * 2).min(MAX_BACKOFF_MS);
    sleep(Duration::from_millis(jittered)).await;
}
