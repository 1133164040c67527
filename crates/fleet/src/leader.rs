//! The leader feeds the scheduler with events from the store and the hosts, stores its decisions, and sends them to the
//! hosts once they are stored.

use std::{collections::BTreeMap, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{Batch, Effect, HostName, JobId, MoveReason, Phase, RunOutcome, Scheduler},
    units::TimeMs,
};
use tokio::{
    sync::{mpsc, watch},
    task::{JoinHandle, spawn_local},
    time::interval,
};
use tokio_util::sync::CancellationToken;

use crate::{
    entry::{EPOCHS_PER_MS, Entry, back_off},
    message::{ToAgent, ToLeader},
    metrics::OutcomeLabel,
    session::{self, Leadership, Order, SessionEvent},
    store::{JobRecord, LeaderMark, LeaderRecord, StoreError, Stream},
};

mod appends;
mod reports;
mod starts;

use appends::{Appended, append_records, encode};
use starts::{HeldStarts, StoredStart};

/// How often the scheduler checks for expired leases and due occurrences, in milliseconds.
const TICK_MS: u64 = 50;
/// How far the epoch floor rises above an epoch that the store refused: the epochs of five seconds, which is more than
/// the clocks of two entries differ.
const EPOCH_STEP: u64 = 5_000 * EPOCHS_PER_MS;
/// The sequence number of a leader's first record.
const FIRST_SEQUENCE: u64 = 1;
/// How often the leader stores a heartbeat record, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// How long a stopping leader tries to store its resignation, in milliseconds. Without it the other entries take over
/// after the leader's timeout.
const RESIGN_TIMEOUT_MS: u64 = 1_000;
/// The backoff after the first failed append, in milliseconds.
const APPEND_BACKOFF_MS: u64 = 10;

/// A change that the entry has read from the store and the leader has to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LeaderEvent {
    Submitted(JobId),
    Cancelled(JobId),
    Configured,
    ZonesChanged,
    HostsChanged,
}

/// A read of the store for starts that wait for it.
type Refresh = Pin<Box<dyn Future<Output = ()>>>;

/// The leader's session with the agent of one host, including its reconnects.
struct Session {
    address: watch::Sender<SocketAddr>,
    orders: mpsc::UnboundedSender<Order>,
    task: JoinHandle<()>,
}

struct Leader {
    entry: Rc<Entry>,
    leadership: Rc<Leadership>,
    scheduler: Scheduler,
    sessions: BTreeMap<HostName, Session>,
    session_events: mpsc::UnboundedSender<(HostName, SessionEvent)>,
    /// The sequence number of the latest append.
    sequence: u64,
    /// The batch whose records are being stored. Its effects are carried out afterwards.
    pending_batch: Option<Batch>,
    /// Starts of stored batches that wait for recent copies of the store.
    held_starts: HeldStarts,
    /// The jobs whose progress is being removed, which are forgotten afterwards.
    pending_removals: Vec<JobId>,
    append_results: mpsc::UnboundedSender<Result<Appended, StoreError>>,
    /// The latest task that stores records. It is aborted with the leader, as it would otherwise repeat the append
    /// until the store is back.
    append_task: Option<JoinHandle<()>>,
    /// When the leader last began to store a heartbeat record.
    heartbeat_at: TimeMs,
}

impl Drop for Leader {
    fn drop(&mut self) {
        self.sessions.values().for_each(|session| session.task.abort());
        if let Some(append_task) = &self.append_task {
            append_task.abort();
        }
    }
}

/// Takes over and leads until `stop` is cancelled or a later leader is detected.
pub(crate) async fn lead(entry: Rc<Entry>, leadership: Rc<Leadership>, stop: CancellationToken) {
    tokio::select! {
        taken = take_over(&entry, &leadership) => if !taken {
            log::info!("another entry took over at the same time: entry={} epoch={}", leadership.name, leadership.epoch.get());
            return;
        },
        () = stop.cancelled() => return,
    }
    let (sender, mut entry_events) = mpsc::unbounded_channel();
    entry.set_leading(Some(sender));
    entry.config.metrics.take_overs.inc();
    entry.config.metrics.leading.set(1);
    let (session_sender, mut session_receiver) = mpsc::unbounded_channel();
    let (result_sender, mut append_results) = mpsc::unbounded_channel();
    let mut leader = Leader::new(entry.clone(), leadership.clone(), session_sender, result_sender);
    leader.connect();
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    let mut refresh: Option<Refresh> = None;
    loop {
        tokio::select! {
            event = entry_events.recv() => {
                let Some(event) = event else { break };
                leader.handle_entry_event(event);
            }
            event = session_receiver.recv() => {
                let Some((host, event)) = event else { break };
                leader.handle_session_event(&host, event);
                while let Ok((host, event)) = session_receiver.try_recv() {
                    leader.handle_session_event(&host, event);
                }
            }
            outcome = append_results.recv() => {
                let Some(Ok(appended)) = outcome else { break };
                entry.progress_stored(appended.next, appended.sent_at);
                entry.forget_jobs(&std::mem::take(&mut leader.pending_removals));
                if let Some(batch) = leader.pending_batch.take() {
                    leader.apply_batch(batch);
                }
            }
            () = async { if let Some(refresh) = &mut refresh { refresh.await } }, if refresh.is_some() => refresh = None,
            _ = ticks.tick() => {}
            () = stop.cancelled(), if leader.pending_batch.is_none() => break,
        }
        if leadership.superseded.get() {
            log::warn!("leadership lost to a later leader: entry={} epoch={}", leadership.name, leadership.epoch.get());
            break;
        }
        // What was read from the store counts before any start is sent.
        while let Ok(event) = entry_events.try_recv() {
            leader.handle_entry_event(event);
        }
        for host in leader.scheduler.tick(entry.config.clock.moment()) {
            log::warn!("host lost because its lease has ended: host={host}");
        }
        leader.send_pair_tables();
        leader.report_slow_runs();
        leader.report_reservations();
        leader.set_gauges();
        if leader.pending_batch.is_none() {
            leader.append_next();
        }
        leader.send_held_starts();
        if refresh.is_none() && leader.waits_for_copies() {
            let entry = entry.clone();
            refresh = Some(Box::pin(async move { entry.refresh_for_starts().await }));
        }
    }
    entry.set_leading(None);
    entry.config.metrics.leading.set(0);
    if stop.is_cancelled() && leader.pending_batch.is_none() {
        leader.resign().await;
    }
}

/// Fences earlier leaders, then reads all records that they have written. Returns whether this entry leads now.
///
/// If two entries take over with the same epoch, the store drops the first record of the second one as a duplicate.
/// Each entry therefore reads back which of them is the leader.
async fn take_over(entry: &Entry, leadership: &Leadership) -> bool {
    let mut backoff_ms = APPEND_BACKOFF_MS;
    loop {
        let max_record_bytes = entry.store.max_record_bytes();
        let appends = encode(&Batch::default(), Some(leadership.record(false)), max_record_bytes);
        let sent_at = leadership.clock.now();
        let mark = |sequence| Some(LeaderMark { epoch: leadership.epoch.get(), sequence });
        let fence = async {
            entry.call_store("append", entry.store.append(Stream::Progress, &[], mark(0))).await?;
            for records in &appends {
                entry.call_store("append", entry.store.append(Stream::Progress, records, mark(FIRST_SEQUENCE))).await?;
            }
            Ok(())
        };
        match fence.await {
            Ok(()) => {
                leadership.proof.borrow_mut().renew(sent_at);
                break;
            }
            Err(StoreError::Fenced) => {
                // Another entry has taken over, or has tried to with a clock that is ahead of this one.
                entry.raise_epoch_floor(leadership.epoch.get() + EPOCH_STEP);
                return false;
            }
            Err(error) => {
                log::warn!("cannot take over yet: entry={} error={error}", leadership.name);
                back_off(&mut backoff_ms).await;
            }
        }
    }
    for stream in [Stream::Jobs, Stream::Hosts, Stream::Operator, Stream::Progress] {
        while let Err(error) = entry.catch_up(stream).await {
            log::warn!("cannot take over yet: entry={} stream={stream:?} error={error}", leadership.name);
            back_off(&mut backoff_ms).await;
        }
    }
    entry.is_leader(&leadership.name, leadership.epoch.get())
}

impl Leadership {
    fn record(&self, resigned: bool) -> LeaderRecord {
        LeaderRecord { epoch: self.epoch.get(), name: self.name.clone(), resigned }
    }
}

impl Leader {
    /// Creates the scheduler from the replica, which holds all records of earlier leaders.
    fn new(
        entry: Rc<Entry>,
        leadership: Rc<Leadership>,
        session_events: mpsc::UnboundedSender<(HostName, SessionEvent)>,
        append_results: mpsc::UnboundedSender<Result<Appended, StoreError>>,
    ) -> Self {
        let now = entry.config.clock.moment();
        let known_hosts = entry.hosts();
        let mut scheduler =
            entry.with_replica(|replica| Scheduler::new(leadership.plan, replica, known_hosts.into_keys(), now));
        scheduler.set_zones_out(entry.zones_out());
        scheduler.set_queues(entry.routing_config().queues(), now);
        let jobs = entry.with_replica(|replica| replica.jobs().count());
        log::info!("leading: entry={} epoch={} jobs={jobs}", leadership.name, leadership.epoch.get());
        Self {
            entry,
            leadership,
            scheduler,
            sessions: BTreeMap::new(),
            session_events,
            sequence: FIRST_SEQUENCE,
            pending_batch: None,
            held_starts: HeldStarts::default(),
            pending_removals: Vec::new(),
            append_results,
            append_task: None,
            // Makes the next append include a heartbeat at once.
            heartbeat_at: TimeMs::default(),
        }
    }

    /// Takes the scheduler's next batch and begins to store its records. A batch without records is applied at once,
    /// unless a heartbeat is due that is stored first.
    fn append_next(&mut self) {
        let batch = self.scheduler.take_batch();
        let now = self.entry.config.clock.now();
        let heartbeat_due = now.since_ms(self.heartbeat_at) >= HEARTBEAT_INTERVAL_MS;
        if batch.records.is_empty() && !heartbeat_due {
            return self.apply_batch(batch);
        }
        let mut appends =
            encode(&batch, heartbeat_due.then(|| self.leadership.record(false)), self.entry.store.max_record_bytes());
        if heartbeat_due {
            self.heartbeat_at = now;
            self.pending_removals = self.entry.expired_jobs();
            appends[0].extend(self.pending_removals.iter().copied().map(JobRecord::progress_removed));
        }
        let first = self.sequence + 1;
        self.sequence += appends.len() as u64;
        let (entry, leadership, append_results) =
            (self.entry.clone(), self.leadership.clone(), self.append_results.clone());
        let append_task = spawn_local(async move {
            let outcome = append_records(&entry, &leadership, first, &appends).await;
            if append_results.send(outcome).is_err() {
                log::debug!("the leader stopped while records were being stored");
            }
        });
        self.pending_batch = Some(batch);
        self.append_task = Some(append_task);
    }

    /// Stores a resignation, upon which another entry takes over without waiting for the leader's timeout.
    async fn resign(&self) {
        let leadership = &self.leadership;
        log::info!("leadership given up: entry={} epoch={}", leadership.name, leadership.epoch.get());
        let max_record_bytes = self.entry.store.max_record_bytes();
        let appends = encode(&Batch::default(), Some(leadership.record(true)), max_record_bytes);
        let appending = append_records(&self.entry, leadership, self.sequence + 1, &appends);
        if tokio::time::timeout(Duration::from_millis(RESIGN_TIMEOUT_MS), appending).await.is_err() {
            log::warn!("resignation not stored within the time limit: entry={}", leadership.name);
        }
    }

    fn handle_entry_event(&mut self, event: LeaderEvent) {
        let now = self.entry.config.clock.moment();
        match event {
            LeaderEvent::Submitted(job) => {
                if let Some(spec) = self.entry.job_spec(job) {
                    log::info!("job accepted: job={job} queue={} steps={}", spec.queue, spec.steps.len());
                    self.scheduler.job_submitted(job, spec, now);
                }
                // The cancellation of a job may be read from the store before its submission.
                let cancelled = self.entry.with_replica(|replica| replica.job(job).is_some_and(|copy| copy.cancelled));
                if cancelled {
                    self.scheduler.job_cancelled(job, now);
                }
            }
            LeaderEvent::Cancelled(job) => {
                log::info!("job cancelled: job={job}");
                self.scheduler.job_cancelled(job, now);
            }
            LeaderEvent::Configured => self.scheduler.set_queues(self.entry.routing_config().queues(), now),
            LeaderEvent::ZonesChanged => self.scheduler.set_zones_out(self.entry.zones_out()),
            LeaderEvent::HostsChanged => self.connect(),
        }
    }

    /// Opens a session with each host that is new or has a new address.
    fn connect(&mut self) {
        for (host, address) in self.entry.hosts() {
            if let Some(session) = self.sessions.get(&host) {
                session.address.send_if_modified(|current| std::mem::replace(current, address) != address);
                continue;
            }
            self.scheduler.host_discovered(&host);
            let (orders, receiver) = mpsc::unbounded_channel();
            let events = self.session_events.clone();
            let (address, current_address) = watch::channel(address);
            let dial = session::dial(self.leadership.clone(), host.clone(), current_address, receiver, events);
            let task = spawn_local(dial);
            self.sessions.insert(host, Session { address, orders, task });
        }
    }

    fn handle_session_event(&mut self, host: &HostName, event: SessionEvent) {
        let now = self.entry.config.clock.moment();
        let message = match event {
            SessionEvent::Opened => {
                log::info!("host connected: host={host}");
                return self.scheduler.host_connected(host);
            }
            SessionEvent::Closed { last_grant_at } => {
                log::warn!("host disconnected: host={host}");
                self.held_starts.drop_host(host);
                return self.scheduler.host_disconnected(host, last_grant_at, now);
            }
            SessionEvent::Started(jobs) => return self.scheduler.jobs_started(&jobs, now),
            SessionEvent::Suspected(Some(suspicion)) => return self.scheduler.host_suspected(host, suspicion),
            SessionEvent::Suspected(None) => return self.scheduler.suspicion_withdrawn(host),
            SessionEvent::Progressed(reports) => {
                self.entry.config.metrics.progress_reports.inc_by(reports.len() as u64);
                return self.scheduler.run_progressed(host, &reports, now);
            }
            SessionEvent::Received(message) => message,
        };
        match message {
            ToLeader::Info(info) => {
                let remaining_ms = info.as_ref().and_then(|info| info.remaining_ms);
                self.scheduler.host_info_changed(host, info);
                self.scheduler.host_departure_announced(host, remaining_ms.map(|ms| now.at.plus_ms(ms)));
            }
            ToLeader::Runs { incarnation, running } => {
                log::info!("host reported its runs: host={host} incarnation={incarnation} running={}", running.len());
                for crash in self.scheduler.reconcile_host(host, incarnation, &running, now) {
                    self.report_crash(host, &crash);
                }
            }
            ToLeader::Ended { incarnation, ended } => {
                log::info!(
                    "run ended: task={} run={} host={host} end={:?} number={}",
                    ended.task,
                    ended.run,
                    ended.end,
                    ended.number
                );
                let outcome = match ended.end {
                    RunOutcome::Done => "done",
                    RunOutcome::Failed => "failed",
                    RunOutcome::Interrupted => "interrupted",
                };
                self.entry.config.metrics.runs_ended.get_or_create(&OutcomeLabel { outcome }).inc();
                if !self.scheduler.run_ended(host, incarnation, &ended, now) {
                    log::warn!(
                        "end ignored because the run is not the latest one of its task: task={} run={} host={host} incarnation={incarnation}",
                        ended.task,
                        ended.run
                    );
                }
            }
            ToLeader::Rejected { incarnation, task, run, reason } => {
                log::info!("run rejected: task={task} run={run} host={host} reason={reason:?}");
                self.scheduler.run_rejected(host, incarnation, &task, run, reason, now);
            }
            ToLeader::Checkpoint { incarnation, task, run, checkpoint } => {
                self.scheduler.checkpoint_saved(host, incarnation, &task, run, checkpoint);
            }
            ToLeader::Headroom(headroom) => self.scheduler.host_headroom_changed(host, &headroom),
            ToLeader::Paces(paces) => self.scheduler.host_throttling_changed(host, &paces, now),
            ToLeader::Changes(changes) => self.scheduler.learn_interference(&changes, now),
            ToLeader::Remembered(table) => self.scheduler.restore_pairs(&table, now),
            ToLeader::Gone { incarnation, suspects, taken_over } => {
                log::warn!(
                    "host lost its runs: host={host} incarnation={incarnation} suspects={} taken_over={}",
                    suspects.len(),
                    taken_over.len()
                );
                for crash in self.scheduler.host_restarted(host, incarnation, &suspects, &taken_over, now) {
                    self.report_crash(host, &crash);
                }
            }
            // `session::dial` handles these messages.
            ToLeader::Ask { .. } | ToLeader::Superseded { .. } => {}
        }
    }

    /// Sends each agent the interference estimates for the images on its host that have changed.
    fn send_pair_tables(&mut self) {
        for (host, table) in self.scheduler.take_pair_updates(self.entry.config.clock.moment()) {
            log::debug!("interference estimates sent: host={host} pairs={}", table.len());
            self.send_order(&host, ToAgent::Pairs(table));
        }
    }

    /// Sends an order to an agent. An order that is lost with its session is sent again after the host has reported its
    /// runs in the next one.
    fn send_order(&self, host: &HostName, order: impl Into<Order>) {
        let session = self.sessions.get(host);
        if session.is_none_or(|session| session.orders.send(order.into()).is_err()) {
            log::warn!("order dropped because the host has no session: host={host}");
        }
    }

    /// Applies a batch whose records are stored: updates the replica and sends the effects to the hosts.
    fn apply_batch(&mut self, batch: Batch) {
        let Batch { records, effects } = batch;
        for (job, progress) in records {
            if progress.phase != Phase::Active {
                log::info!("job ended: job={job} phase={:?}", progress.phase);
            }
            self.entry.apply_stored_progress(job, progress);
        }
        for effect in effects {
            let (host, order) = match effect {
                Effect::Start { host, incarnation, task, run, spec, checkpoint, reported } => {
                    let start = StoredStart { host, incarnation, task, run, spec, checkpoint, reported };
                    self.handle_stored_start(start);
                    continue;
                }
                Effect::Stop { host, task, run } => (host, ToAgent::Stop { task, run }),
                Effect::Move { host, task, run, reason } => {
                    let metrics = &self.entry.config.metrics;
                    match reason {
                        MoveReason::Throttled => {
                            log::info!(
                                "run stopped to move it from a host that slows its image: task={task} run={run} host={host}"
                            );
                            metrics.tasks_moved.inc();
                        }
                        MoveReason::Departure => {
                            log::info!("departure: run stopped to move it: task={task} run={run} host={host}");
                            metrics.departure_moves.inc();
                        }
                    }
                    (host, ToAgent::Stop { task, run })
                }
                Effect::Forget { host, incarnation, up_to } => (host, ToAgent::Forget { incarnation, up_to }),
            };
            self.send_order(&host, order);
        }
    }
}
