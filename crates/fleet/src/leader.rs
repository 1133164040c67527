//! The leader: drives the scheduler with what the store and the hosts say.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{Batch, Effect, HostName, JobId, Phase, RunOutcome, Scheduler},
    units::TimeMs,
};
use tokio::{
    sync::mpsc,
    task::{JoinHandle, spawn_local},
    time::interval,
};
use tokio_util::sync::CancellationToken;

use crate::{
    entry::{EPOCHS_PER_MS, Entry, pause},
    message::{Start, ToAgent, ToLeader},
    metrics::OutcomeLabel,
    session::{self, Leading, SessionEvent},
    store::{JobRecord, LeaderMark, LeaderRecord, Record, StoreError, Stream},
};

/// How often the leader looks for leases that have ended and occurrences that are due, in milliseconds.
const TICK_MS: u64 = 50;
/// The most bytes of records in one append; the platform takes at least twice as much.
const MAX_APPEND_BYTES: usize = 512 * 1024;
/// By how much the epoch grows when the store has seen a higher one than this entry: more than clocks differ, five
/// seconds in the unit of epochs.
const EPOCH_STEP: u64 = 5_000 * EPOCHS_PER_MS;
/// The sequence number of a leader's first record.
const TAKE_OVER_SEQUENCE: u64 = 1;
/// How often the leader shows that it lives when it has nothing else to store, in milliseconds.
const SIGN_OF_LIFE_MS: u64 = 400;
/// How long a leader that stops tries to tell the others, in milliseconds; they find out by themselves after it.
const RESIGN_MS: u64 = 1_000;
/// The first pause before an append is repeated, in milliseconds.
const APPEND_PAUSE_MS: u64 = 10;

/// What an entry tells its leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LeaderEvent {
    Submitted(JobId),
    Cancelled(JobId),
    Configured,
    ZonesChanged,
    HostsChanged,
}

struct Session {
    address: String,
    orders: mpsc::UnboundedSender<ToAgent>,
    task: JoinHandle<()>,
}

struct Leader {
    entry: Rc<Entry>,
    leading: Rc<Leading>,
    scheduler: Scheduler,
    sessions: BTreeMap<HostName, Session>,
    session_events: mpsc::UnboundedSender<(HostName, SessionEvent)>,
    /// The sequence number of the latest append.
    sequence: u64,
    /// What is being stored.
    storing: Option<Batch>,
    stored: mpsc::UnboundedSender<Result<u64, StoreError>>,
    /// The latest task that stores records. One that has lost its leader would try for as long as the store is away.
    appending: Option<JoinHandle<()>>,
    /// When the leader last showed that it lives.
    signed_at: TimeMs,
}

impl Drop for Leader {
    fn drop(&mut self) {
        self.sessions.values().for_each(|session| session.task.abort());
        if let Some(appending) = &self.appending {
            appending.abort();
        }
    }
}

/// Leads until `stop` or until another leader is seen.
pub(crate) async fn lead(entry: Rc<Entry>, leading: Rc<Leading>, stop: CancellationToken) {
    tokio::select! {
        taken = take_over(&entry, &leading) => if !taken {
            log::info!("another entry took over at the same time: entry={} epoch={}", leading.name, leading.epoch.get());
            return;
        },
        () = stop.cancelled() => return,
    }
    let (sender, mut news) = mpsc::unbounded_channel();
    entry.set_leading(Some(sender));
    entry.config.metrics.take_overs.inc();
    entry.config.metrics.leading.set(1);
    let (session_events, mut said) = mpsc::unbounded_channel();
    let (stored_sender, mut stored) = mpsc::unbounded_channel();
    let mut leader = Leader::new(entry.clone(), leading.clone(), session_events, stored_sender);
    leader.connect();
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    loop {
        tokio::select! {
            event = news.recv() => {
                let Some(event) = event else { break };
                leader.news(event);
            }
            event = said.recv() => {
                let Some((host, event)) = event else { break };
                leader.session(&host, event);
                while let Ok((host, event)) = said.try_recv() {
                    leader.session(&host, event);
                }
            }
            outcome = stored.recv() => {
                let Some(Ok(next)) = outcome else { break };
                entry.progress_stored(next);
                if let Some(batch) = leader.storing.take() {
                    leader.carry_out(batch);
                }
            }
            _ = ticks.tick() => {}
            () = stop.cancelled(), if leader.storing.is_none() => break,
        }
        if leading.superseded.get() {
            log::warn!("leadership lost to a later leader: entry={} epoch={}", leading.name, leading.epoch.get());
            break;
        }
        leader.scheduler.tick(entry.config.clock.moment());
        leader.tell_pairs();
        leader.set_gauges();
        if leader.storing.is_none() {
            leader.store_next();
        }
    }
    entry.set_leading(None);
    entry.config.metrics.leading.set(0);
    if stop.is_cancelled() && leader.storing.is_none() {
        leader.resign().await;
    }
}

/// Keeps earlier leaders from writing, then reads all that they have written. Returns whether this entry leads now.
///
/// Two entries that take over with the same epoch are told apart by the first record: the store takes the second for a
/// repetition of the first and drops it.
async fn take_over(entry: &Entry, leading: &Leading) -> bool {
    let mut pause_ms = APPEND_PAUSE_MS;
    loop {
        let appends = encode(&Batch::default(), Some(leading.record(false)));
        let asked = leading.clock.now();
        let mark = |sequence| Some(LeaderMark { epoch: leading.epoch.get(), sequence });
        let fence = async {
            entry.bounded("append", entry.store.append(Stream::Progress, &[], mark(0))).await?;
            for records in &appends {
                entry
                    .bounded("append", entry.store.append(Stream::Progress, records, mark(TAKE_OVER_SEQUENCE)))
                    .await?;
            }
            Ok(())
        };
        match fence.await {
            Ok(()) => {
                leading.proof.borrow_mut().confirm(asked);
                break;
            }
            Err(StoreError::Fenced) => {
                // Another entry was faster, or failed at the same point with a clock that is ahead of this one.
                entry.raise_epoch_floor(leading.epoch.get() + EPOCH_STEP);
                return false;
            }
            Err(error) => {
                log::warn!("cannot take over yet: entry={} error={error}", leading.name);
                pause(&mut pause_ms).await;
            }
        }
    }
    for stream in [Stream::Jobs, Stream::Hosts, Stream::Operator, Stream::Progress] {
        while let Err(error) = entry.catch_up(stream).await {
            log::warn!("cannot take over yet: entry={} stream={stream:?} error={error}", leading.name);
            pause(&mut pause_ms).await;
        }
    }
    entry.is_leader(&leading.name, leading.epoch.get())
}

/// Stores records under consecutive sequence numbers, and repeats each append until the store has answered. Returns the
/// offset after the records.
async fn store(entry: &Entry, leading: &Leading, first: u64, appends: &[Vec<Record>]) -> Result<u64, StoreError> {
    let mut next = 0;
    for (sequence, records) in (first..).zip(appends) {
        let mark = LeaderMark { epoch: leading.epoch.get(), sequence };
        let mut pause_ms = APPEND_PAUSE_MS;
        next = loop {
            let asked = leading.clock.now();
            match entry.bounded("append", entry.store.append(Stream::Progress, records, Some(mark))).await {
                Ok(next) => {
                    leading.proof.borrow_mut().confirm(asked);
                    break next;
                }
                Err(StoreError::Fenced) => {
                    log::warn!(
                        "records refused, a later leader has written: entry={} sequence={sequence}",
                        leading.name
                    );
                    return Err(StoreError::Fenced);
                }
                Err(error) => {
                    log::warn!("records not stored yet: entry={} sequence={sequence} error={error}", leading.name);
                    pause(&mut pause_ms).await;
                }
            }
        };
    }
    Ok(next)
}

/// Encodes a sign of life and changed jobs as the records of one or more appends.
fn encode(batch: &Batch, sign: Option<LeaderRecord>) -> Vec<Vec<Record>> {
    let mut first = Vec::new();
    match sign.as_ref().map(JobRecord::leader) {
        Some(Ok(record)) => first.push(record),
        Some(Err(error)) => log::error!("a sign of life cannot be stored: error={error}"),
        None => {}
    }
    let mut appends = vec![first];
    let mut bytes = 0;
    for (job, progress) in &batch.records {
        let record = match JobRecord::progressed(*job, progress) {
            Ok(record) => record,
            Err(error) => {
                log::error!("a job cannot be stored: job={job} error={error}");
                continue;
            }
        };
        let size = record.value.as_ref().map_or(0, Vec::len) + record.key.len();
        if bytes + size > MAX_APPEND_BYTES && bytes > 0 {
            appends.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = appends.last_mut() {
            last.push(record);
        }
    }
    appends
}

impl Leading {
    fn record(&self, resigned: bool) -> LeaderRecord {
        LeaderRecord { epoch: self.epoch.get(), name: self.name.clone(), resigned }
    }
}

impl Leader {
    /// Starts from the records that are stored.
    fn new(
        entry: Rc<Entry>,
        leading: Rc<Leading>,
        session_events: mpsc::UnboundedSender<(HostName, SessionEvent)>,
        stored: mpsc::UnboundedSender<Result<u64, StoreError>>,
    ) -> Self {
        let now = entry.config.clock.moment();
        let known_hosts = entry.hosts();
        let mut scheduler =
            entry.with_replica(|replica| Scheduler::new(leading.plan, replica, known_hosts.into_keys(), now));
        scheduler.set_zones_out(entry.zones_out());
        scheduler.set_queues(entry.directory().queues(), now);
        let jobs = entry.with_replica(|replica| replica.jobs().count());
        log::info!("leading: entry={} epoch={} jobs={jobs}", leading.name, leading.epoch.get());
        Self {
            entry,
            leading,
            scheduler,
            sessions: BTreeMap::new(),
            session_events,
            sequence: TAKE_OVER_SEQUENCE,
            storing: None,
            stored,
            appending: None,
            // The first records show the others who leads.
            signed_at: TimeMs::default(),
        }
    }

    /// Begins to store what has changed, or carries out what needs no record.
    fn store_next(&mut self) {
        let batch = self.scheduler.take_batch();
        let now = self.entry.config.clock.now();
        let signs = now.since_ms(self.signed_at) >= SIGN_OF_LIFE_MS;
        if batch.records.is_empty() && !signs {
            return self.carry_out(batch);
        }
        if signs {
            self.signed_at = now;
        }
        let appends = encode(&batch, signs.then(|| self.leading.record(false)));
        let first = self.sequence + 1;
        self.sequence += appends.len() as u64;
        let (entry, leading, stored) = (self.entry.clone(), self.leading.clone(), self.stored.clone());
        let appending = spawn_local(async move {
            let outcome = store(&entry, &leading, first, &appends).await;
            if stored.send(outcome).is_err() {
                log::debug!("the leader stopped while records were being stored");
            }
        });
        self.storing = Some(batch);
        self.appending = Some(appending);
    }

    /// Tells the other entries that one of them should lead.
    async fn resign(&self) {
        let leading = &self.leading;
        log::info!("leadership given up: entry={} epoch={}", leading.name, leading.epoch.get());
        let appends = encode(&Batch::default(), Some(leading.record(true)));
        let resigning = store(&self.entry, leading, self.sequence + 1, &appends);
        if tokio::time::timeout(Duration::from_millis(RESIGN_MS), resigning).await.is_err() {
            log::warn!("the others could not be told that the leader resigned: entry={}", leading.name);
        }
    }

    fn news(&mut self, event: LeaderEvent) {
        let now = self.entry.config.clock.moment();
        match event {
            LeaderEvent::Submitted(job) => {
                if let Some(spec) = self.entry.submission(job) {
                    log::info!("job accepted: job={job} queue={} steps={}", spec.queue, spec.steps.len());
                    self.scheduler.job_submitted(job, spec, now);
                }
                // The cancellation of a job may be read before its submission.
                let cancelled = self.entry.with_replica(|replica| replica.job(job).is_some_and(|copy| copy.cancelled));
                if cancelled {
                    self.scheduler.job_cancelled(job, now);
                }
            }
            LeaderEvent::Cancelled(job) => {
                log::info!("job cancelled: job={job}");
                self.scheduler.job_cancelled(job, now);
            }
            LeaderEvent::Configured => self.scheduler.set_queues(self.entry.directory().queues(), now),
            LeaderEvent::ZonesChanged => self.scheduler.set_zones_out(self.entry.zones_out()),
            LeaderEvent::HostsChanged => self.connect(),
        }
    }

    /// Opens sessions with the hosts that are new or have a new address.
    fn connect(&mut self) {
        for (host, address) in self.entry.hosts() {
            if self.sessions.get(&host).is_some_and(|session| session.address == address) {
                continue;
            }
            self.scheduler.host_discovered(&host);
            let (orders, receiver) = mpsc::unbounded_channel();
            let events = self.session_events.clone();
            let dial = session::dial(self.leading.clone(), host.clone(), address.clone(), receiver, events);
            let task = spawn_local(dial);
            if let Some(earlier) = self.sessions.insert(host, Session { address, orders, task }) {
                earlier.task.abort();
            }
        }
    }

    fn session(&mut self, host: &HostName, event: SessionEvent) {
        let now = self.entry.config.clock.moment();
        let message = match event {
            SessionEvent::Opened => {
                log::info!("host connected: host={host}");
                return self.scheduler.host_connected(host);
            }
            SessionEvent::Closed { answered } => {
                log::warn!("host disconnected: host={host}");
                return self.scheduler.host_disconnected(host, answered, now);
            }
            SessionEvent::Said(message) => message,
        };
        match message {
            ToLeader::Info(info) => self.scheduler.host_info_changed(host, info),
            ToLeader::Runs { incarnation, running } => {
                log::info!("host reported: host={host} incarnation={incarnation} running={}", running.len());
                self.scheduler.reconcile_host(host, incarnation, &running, now);
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
                self.scheduler.run_ended(host, incarnation, &ended, now);
            }
            ToLeader::Rejected { incarnation, task, run, reason } => {
                log::info!("run rejected: task={task} run={run} host={host} reason={reason:?}");
                self.scheduler.run_rejected(host, incarnation, &task, run, reason, now);
            }
            ToLeader::Checkpoint { incarnation, task, run, checkpoint } => {
                self.scheduler.checkpoint_saved(host, incarnation, &task, run, checkpoint);
            }
            ToLeader::Headroom(headroom) => self.scheduler.host_headroom_changed(host, &headroom),
            ToLeader::Paces(paces) => self.scheduler.host_paces_changed(host, &paces, now),
            ToLeader::Changes(changes) => self.scheduler.learn_interference(&changes, now),
            ToLeader::Remembered(table) => self.scheduler.restore_pairs(&table, now),
            ToLeader::Gone { incarnation } => {
                log::warn!("host lost its runs: host={host} incarnation={incarnation}");
                self.scheduler.host_lost(host, now);
            }
            // The session answers these itself.
            ToLeader::Ask { .. } | ToLeader::Superseded { .. } => {}
        }
    }

    /// Brings the gauges up to date.
    fn set_gauges(&self) {
        let metrics = &self.entry.config.metrics;
        metrics.waiting_steps.set(self.scheduler.waiting_steps() as i64);
        metrics.hosts_connected.set(self.scheduler.connected_hosts() as i64);
    }

    /// Tells agents what was learned of the images on their hosts.
    fn tell_pairs(&mut self) {
        for (host, table) in self.scheduler.take_pair_updates(self.entry.config.clock.moment()) {
            log::debug!("pairs told: host={host} pairs={}", table.len());
            self.order(&host, ToAgent::Pairs(table));
        }
    }

    /// Sends an order to an agent. One that does not arrive is given again when the host has reported what it runs.
    fn order(&self, host: &HostName, order: ToAgent) {
        let session = self.sessions.get(host);
        if session.is_none_or(|session| session.orders.send(order).is_err()) {
            log::warn!("no session for an order: host={host}");
        }
    }

    /// Carries out what rests on stored records.
    fn carry_out(&mut self, batch: Batch) {
        let Batch { records, effects } = batch;
        self.entry.with_replica(|replica| {
            for (job, progress) in records {
                if progress.phase != Phase::Active {
                    log::info!("job ended: job={job} phase={:?}", progress.phase);
                }
                replica.apply_progress(job, progress);
            }
        });
        for effect in effects {
            let (host, order) = match effect {
                Effect::Start { host, incarnation, task, run, spec, checkpoint } => {
                    let Some(step) = spec.steps.get(task.step as usize) else { continue };
                    log::info!("run ordered: task={task} run={run} host={host}");
                    self.entry.config.metrics.runs_ordered.inc();
                    let start = Start {
                        incarnation,
                        task,
                        run,
                        payload: spec.payload.clone(),
                        checkpoint,
                        cpu_milli: step.resources.cpu_milli,
                        background: step.background,
                        tail_target_ms: step.tail_target_ms,
                        image: step.image.clone(),
                    };
                    (host, ToAgent::Start(start))
                }
                Effect::Stop { host, task, run } => (host, ToAgent::Stop { task, run }),
                Effect::Move { host, task, run } => {
                    log::info!("run moved, its image is slowed: task={task} run={run} host={host}");
                    self.entry.config.metrics.tasks_moved.inc();
                    (host, ToAgent::Stop { task, run })
                }
                Effect::Forget { host, incarnation, up_to } => (host, ToAgent::Forget { incarnation, up_to }),
            };
            self.order(&host, order);
        }
    }
}
