/*!
An entry: it takes jobs from clients, keeps a copy of all jobs, and may be the leader.

A job is accepted by appending it to the store, whoever leads and whether anyone does. The leader reads it from there.
Every entry follows the store, so that it can answer for every job and can take over at once.
*/

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
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
    directory::{Directory, OperatorChange, Route},
    leader::{self, LeaderEvent},
    metrics::EntryMetrics,
    session::Leading,
    store::{JobRecord, Page, Record, Store, StoreError, Stream},
};

/// How long a read waits for records, in milliseconds. An entry whose reads fail for longer than a few of these knows that
/// its view is old.
const READ_WAIT_MS: u64 = 1_500;
/// The pause between two reads of the leader's records by other entries, in milliseconds: the lag of what they show.
const FOLLOW_SPACING_MS: u64 = 100;
/// The pause between two reads of submissions by entries that do not lead, in milliseconds.
const SUBMISSIONS_SPACING_MS: u64 = 300;
/// The longest pause after a failed call to the store, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 400;
/// The first such pause, in milliseconds.
const FIRST_PAUSE_MS: u64 = 30;
/// How long the leader's records may stay away until another entry takes over, in milliseconds: four signs of life.
const LEADER_SILENCE_MS: u64 = 1_600;
/// Entries take over at different times, at most this much apart, in milliseconds. If two do, the store refuses the earlier.
const TAKE_OVER_JITTER_MS: u64 = 400;
/// The same after a leader has resigned.
const SUCCESSION_JITTER_MS: u64 = 120;
/// Epochs are times of day in this part of a millisecond, with a random last part, so that two entries hardly ever choose
/// the same. They stay below 2^53, the largest number that all JSON readers take.
pub(crate) const EPOCHS_PER_MS: u64 = 1_000;
/// How often an entry looks whether it should lead, in milliseconds.
const LOOK_MS: u64 = 30;
/// How long a call to the store may take, in milliseconds: a hundred times the usual.
const STORE_CALL_MS: u64 = 600;

/// The settings of an entry.
#[derive(Debug, Clone)]
pub struct EntryConfig {
    /// The name, for logs.
    pub name: String,
    /// The time limits of leases.
    pub plan: LeasePlan,
    /// The clocks.
    pub clock: Clock,
    /// Reads a record of [`Stream::Operator`].
    pub read_operator: fn(&Record) -> Result<OperatorChange, String>,
    /// What is counted.
    pub metrics: EntryMetrics,
}

/// Where a request is to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// No configuration has been read yet.
    NotConfigured,
    /// No such queue exists.
    NoRoute,
    /// The route of the queue.
    Found(Route),
}

#[derive(Default)]
struct State {
    replica: Replica,
    next: BTreeMap<Stream, u64>,
    hosts: BTreeMap<HostName, String>,
    directory: Option<Directory>,
    zones_out: BTreeSet<String>,
    leader: Option<mpsc::UnboundedSender<LeaderEvent>>,
    /// The highest epoch of a leader that was seen.
    epoch: u64,
    /// The store refused epochs below this one.
    epoch_floor: u64,
    /// The name of that leader.
    leader_name: String,
    /// Whether that leader surely does not lead any more.
    resigned: bool,
    /// Since when the leader's records could be read and nothing new came.
    quiet_since: TimeMs,
}

/// An entry.
pub struct Entry {
    pub(crate) config: EntryConfig,
    pub(crate) store: Box<dyn Store>,
    state: RefCell<State>,
    leading: Cell<bool>,
    leading_changed: Notify,
    away: Cell<Option<Away>>,
    store_away: Notify,
    /// Jobs whose submission had no known outcome, and when.
    unknown: RefCell<BTreeMap<JobId, TimeMs>>,
}

mod requests;

use requests::Away;
pub use requests::RequestError;

impl Entry {
    /// Makes an entry.
    pub fn new(config: EntryConfig, store: Box<dyn Store>) -> Rc<Self> {
        Rc::new(Self {
            config,
            store,
            state: RefCell::default(),
            leading: Cell::new(false),
            leading_changed: Notify::new(),
            away: Cell::new(None),
            store_away: Notify::new(),
            unknown: RefCell::default(),
        })
    }

    /// Follows the store and takes part in the choice of the leader. Stops to take part at `stop`, but goes on to follow, so
    /// that requests can be answered until the process ends.
    pub async fn run(self: Rc<Self>, stop: CancellationToken) {
        let streams = [Stream::Operator, Stream::Hosts, Stream::Jobs, Stream::Progress];
        for stream in streams {
            spawn_local(self.clone().follow(stream));
        }
        spawn_local(self.clone().try_store());
        self.clone().take_part(stop).await;
    }

    /// The name of the entry.
    pub fn name(&self) -> &str {
        &self.config.name
    }

    /// Whether the entry has read everything that it needs to answer clients.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.directory.is_some()
            && state.next.contains_key(&Stream::Jobs)
            && state.next.contains_key(&Stream::Progress)
    }

    /// What is counted.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.config.metrics
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.state.borrow().directory.as_ref().map(|directory| directory.version)
    }

    /// Finds the queue of a request.
    pub fn route(&self, host: &str, path: &str) -> Lookup {
        match &self.state.borrow().directory {
            None => Lookup::NotConfigured,
            Some(directory) => directory.route(host, path).cloned().map_or(Lookup::NoRoute, Lookup::Found),
        }
    }

    pub(crate) async fn bounded<T>(
        &self,
        kind: &'static str,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.limited(kind, STORE_CALL_MS, call).await
    }

    async fn limited<T>(
        &self,
        kind: &'static str,
        limit_ms: u64,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let asked = self.config.clock.now();
        let answer = match timeout(Duration::from_millis(limit_ms), call).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::Unknown(format!("none within {limit_ms} ms"))),
        };
        let outcome = answer.as_ref().map_or_else(StoreError::kind, |_| "ok");
        self.config.metrics.store_calls.ended(kind, outcome, self.config.clock.now().since_ms(asked));
        answer
    }

    /// Keeps the copy of a stream up to date.
    async fn follow(self: Rc<Self>, stream: Stream) {
        let mut pause_ms = FIRST_PAUSE_MS;
        let mut lost = false;
        loop {
            // The leader writes these records itself.
            while stream == Stream::Progress && self.leading.get() {
                self.leading_changed.notified().await;
            }
            let from = self.state.borrow().next.get(&stream).copied();
            let answer = match from {
                None => self.store.newest(stream).await,
                Some(from) => self.store.read(stream, from, READ_WAIT_MS).await,
            };
            match answer {
                Ok(page) => {
                    self.away.set(None);
                    if std::mem::take(&mut lost) {
                        log::info!("store regained: stream={stream:?} next={}", page.next);
                    }
                    pause_ms = FIRST_PAUSE_MS;
                    if from.is_none() {
                        log::info!("stream read: stream={stream:?} records={} next={}", page.records.len(), page.next);
                    }
                    self.apply(stream, page);
                    let spacing_ms = match stream {
                        Stream::Progress => FOLLOW_SPACING_MS,
                        Stream::Jobs if !self.leading.get() => SUBMISSIONS_SPACING_MS,
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
                        // The leader may be as cut off as this entry is.
                        self.state.borrow_mut().quiet_since = self.config.clock.now();
                    }
                    if !std::mem::replace(&mut lost, true) {
                        log::warn!("store lost: stream={stream:?} error={error}");
                    }
                    pause(&mut pause_ms).await;
                }
            }
        }
    }

    /// Reads a stream to its end.
    pub(crate) async fn catch_up(&self, stream: Stream) -> Result<(), StoreError> {
        loop {
            let from = self.state.borrow().next.get(&stream).copied();
            let page = match from {
                None => self.store.newest(stream).await?,
                Some(from) => match self.bounded("read", self.store.read(stream, from, 0)).await {
                    Ok(page) => page,
                    Err(StoreError::Expired) => {
                        self.state.borrow_mut().next.remove(&stream);
                        continue;
                    }
                    Err(error) => return Err(error),
                },
            };
            let read = page.records.len();
            self.apply(stream, page);
            if read == 0 {
                return Ok(());
            }
        }
    }

    fn apply(&self, stream: Stream, page: Page) {
        let mut state = self.state.borrow_mut();
        if stream == Stream::Progress && !page.records.is_empty() {
            state.quiet_since = self.config.clock.now();
        }
        for record in &page.records {
            match stream {
                Stream::Operator => match (self.config.read_operator)(record) {
                    Ok(change) => state.operator(change),
                    Err(message) => log::warn!("operator record skipped: key={} error={message}", record.key),
                },
                Stream::Hosts => state.host(record),
                Stream::Jobs | Stream::Progress => match JobRecord::decode(record) {
                    Ok(decoded) => state.job(decoded),
                    Err(error) => log::warn!("record skipped: stream={stream:?} error={error}"),
                },
            }
        }
        state.next.insert(stream, page.next);
        if let Some(directory) = &state.directory {
            self.config.metrics.config_version.set(directory.version as i64);
        }
        if stream == Stream::Progress && !self.leading.get() && state.leader_name == self.config.name {
            // The latest leader was an earlier life of this entry, or this entry before it stopped leading.
            state.resigned = true;
        }
    }

    /// Leads when no other entry does, until `stop`.
    async fn take_part(self: Rc<Self>, stop: CancellationToken) {
        let clock = self.config.clock;
        self.state.borrow_mut().quiet_since = clock.now();
        while !stop.is_cancelled() {
            let jitter_ms = rand::rng().random_range(0..=TAKE_OVER_JITTER_MS);
            let succession_ms = jitter_ms * SUCCESSION_JITTER_MS / TAKE_OVER_JITTER_MS;
            let mut resigned_at = None;
            loop {
                sleep(Duration::from_millis(LOOK_MS)).await;
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
                if now.since_ms(state.quiet_since) >= LEADER_SILENCE_MS + jitter_ms {
                    break;
                }
            }
            if self.is_ready() && self.still_without_leader().await {
                let chance = rand::rng().random_range(0..EPOCHS_PER_MS);
                let floor = {
                    let state = self.state.borrow();
                    state.epoch.max(state.epoch_floor) + 1 + chance
                };
                let epoch = (clock.unix_ms() * EPOCHS_PER_MS + chance).max(floor);
                let leading = Leading::new(self.config.name.clone(), epoch, self.config.plan, clock);
                leader::lead(self.clone(), Rc::new(leading), stop.clone()).await;
            }
            let mut state = self.state.borrow_mut();
            state.quiet_since = clock.now();
            state.resigned = false;
        }
    }

    /// Reads the newest records, which may show that another entry has just taken over.
    async fn still_without_leader(&self) -> bool {
        let before = self.state.borrow().epoch;
        let quiet_since = self.state.borrow().quiet_since;
        match self.catch_up(Stream::Progress).await {
            Ok(()) => {
                let state = self.state.borrow();
                state.epoch == before && (state.resigned || state.quiet_since == quiet_since)
            }
            Err(error) => {
                log::warn!("cannot take over: entry={} error={error}", self.config.name);
                false
            }
        }
    }

    /// Makes the epochs of this entry higher than `epoch` from now on.
    pub(crate) fn raise_epoch_floor(&self, epoch: u64) {
        let mut state = self.state.borrow_mut();
        state.epoch_floor = state.epoch_floor.max(epoch);
    }

    /// Whether the latest leader that was seen has this name and epoch.
    pub(crate) fn is_leader(&self, name: &str, epoch: u64) -> bool {
        let state = self.state.borrow();
        state.epoch == epoch && state.leader_name == name
    }

    /// Starts or ends the flow of news to the leader's task.
    pub(crate) fn set_leading(&self, sender: Option<mpsc::UnboundedSender<LeaderEvent>>) {
        self.leading.set(sender.is_some());
        self.state.borrow_mut().leader = sender;
        self.leading_changed.notify_waiters();
    }

    /// The copy of all jobs.
    pub(crate) fn with_replica<T>(&self, read: impl FnOnce(&mut Replica) -> T) -> T {
        read(&mut self.state.borrow_mut().replica)
    }

    pub(crate) fn submission(&self, job: JobId) -> Option<Arc<JobSpec>> {
        self.state.borrow().replica.job(job).and_then(|copy| copy.spec.clone())
    }

    /// The leader's own records end here now.
    pub(crate) fn progress_stored(&self, next: u64) {
        self.state.borrow_mut().next.insert(Stream::Progress, next);
    }

    pub(crate) fn hosts(&self) -> BTreeMap<HostName, String> {
        self.state.borrow().hosts.clone()
    }

    pub(crate) fn directory(&self) -> Directory {
        self.state.borrow().directory.clone().unwrap_or_default()
    }

    pub(crate) fn zones_out(&self) -> BTreeSet<String> {
        self.state.borrow().zones_out.clone()
    }
}

impl State {
    fn tell(&self, event: LeaderEvent) {
        if let Some(leader) = &self.leader
            && leader.send(event).is_err()
        {
            log::debug!("the leader has stopped");
        }
    }

    fn tell_submitted(&self, job: JobId) {
        self.tell(LeaderEvent::Submitted(job));
    }

    fn operator(&mut self, change: OperatorChange) {
        match change {
            OperatorChange::Configured(directory) => {
                let version = self.directory.as_ref().map(|directory| directory.version);
                if version.is_some_and(|version| version >= directory.version) {
                    return;
                }
                log::info!("configuration in force: version={} before={version:?}", directory.version);
                self.directory = Some(directory);
                self.tell(LeaderEvent::Configured);
            }
            OperatorChange::ZoneOut(zone) => {
                log::info!("availability zone out of service: zone={zone}");
                self.zones_out.insert(zone);
                self.tell(LeaderEvent::ZonesChanged);
            }
            OperatorChange::ZoneIn(zone) => {
                if self.zones_out.remove(&zone) {
                    log::info!("availability zone back in service: zone={zone}");
                    self.tell(LeaderEvent::ZonesChanged);
                }
            }
            OperatorChange::Other => {}
        }
    }

    fn host(&mut self, record: &Record) {
        match record.value.as_deref().map(std::str::from_utf8) {
            Some(Ok(address)) => {
                self.hosts.insert(record.key.clone(), address.to_owned());
                self.tell(LeaderEvent::HostsChanged);
            }
            Some(Err(e)) => log::warn!("host record skipped: key={} error={e}", record.key),
            None => {}
        }
    }

    fn job(&mut self, record: JobRecord) {
        match record {
            JobRecord::Submitted(job, spec) => {
                if self.replica.apply_submission(job, *spec) {
                    self.tell_submitted(job);
                }
            }
            JobRecord::Cancelled(job) => {
                if self.replica.apply_cancellation(job) {
                    self.tell(LeaderEvent::Cancelled(job));
                }
            }
            JobRecord::Progressed(job, progress) => self.replica.apply_progress(job, progress),
            JobRecord::Leader(leader) => {
                if leader.epoch > self.epoch {
                    log::info!("leader seen: leader={} epoch={}", leader.name, leader.epoch);
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

/// Waits before a call is repeated, each time longer, with jitter so that processes do not call in step.
pub(crate) async fn pause(pause_ms: &mut u64) {
    let jittered = rand::rng().random_range(*pause_ms / 2..=*pause_ms);
    *pause_ms = (*pause_ms * 2).min(LONGEST_PAUSE_MS);
    sleep(Duration::from_millis(jittered)).await;
}
