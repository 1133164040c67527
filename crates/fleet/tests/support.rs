//! An in-memory store and endpoint with fault injection.

#![allow(dead_code)] // No test file uses all of this module.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use fescuelead_core::jobs::{RunEnd, RunOutcome, TaskRef};
use fescuelead_fleet::{
    endpoint::{EndList, Endpoint, EndpointError, Renewal, Report, Running, StartAnswer, StartOrder},
    store::{JobRecord, LeaderMark, LeaderRecord, Page, Record, Store, StoreError, Stream},
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

#[path = "support/session.rs"] // This file is also built as a test of its own, where the default path differs.
pub mod session;
#[path = "support/site.rs"]
pub mod site;

/// The number of ended runs that an endpoint lists at a time.
pub const MAX_LISTED_ENDS: usize = 500;
/// The latency of a call to the store, in milliseconds, as the platform states it.
const STORE_LATENCY_MS: u64 = 4;

/// How long a read waits for its answer beyond the wait that it asks for, in milliseconds: implementations of the store have
/// timeouts of their own.
const READ_TIMEOUT_MS: u64 = 2_000;

#[derive(Default)]
struct Log {
    streams: BTreeMap<Stream, Vec<Record>>,
    epoch: u64,
    /// The sequence numbers of the appends in this epoch, each with the offset that was returned first.
    answers: Vec<(u64, u64)>,
}

/// An in-memory store. Clones share its records and its faults; see [`MemoryStore::with_separate_faults`].
#[derive(Clone, Default)]
pub struct MemoryStore {
    shared: Rc<RefCell<Log>>,
    changed: Rc<Notify>,
    /// The latency of all calls beyond [`STORE_LATENCY_MS`], in milliseconds.
    pub slow_ms: Rc<Cell<u64>>,
    /// How long an append of a client's record takes beyond that, in milliseconds. It takes effect at the end, also if the
    /// caller has given up.
    pub queue_ms: Rc<Cell<u64>>,
    /// How long the answer of a read that may wait is under way at most, in milliseconds.
    pub late_reads_ms: Rc<Cell<u64>>,
    /// Whether calls fail without an effect.
    pub down: Rc<Cell<bool>>,
    /// Whether reads fail, while appends are carried out.
    pub unreadable: Rc<Cell<bool>>,
    /// Whether appends fail without an effect, while reads are answered.
    pub unwritable: Rc<Cell<bool>>,
    /// Whether calls have no effect and are never answered.
    pub silent: Rc<Cell<bool>>,
    /// The number of next appends that take effect but whose answer is lost.
    pub lose_answers: Rc<Cell<u32>>,
    /// The stream whose next read fails because its records are not kept any more.
    pub expire: Rc<Cell<Option<Stream>>>,
    /// The stream of which no further record can be read, although there are some.
    pub stuck: Rc<Cell<Option<Stream>>>,
    /// The number of reads of that stream.
    pub stuck_reads: Rc<Cell<u32>>,
    /// Whether another leader takes over with the same epoch just before the next one does.
    pub rival: Rc<Cell<bool>>,
}

impl MemoryStore {
    /// Returns a clone that shares the records, as another process would see them, and has its own faults except
    /// `rival`.
    pub fn with_separate_faults(&self) -> Self {
        Self {
            down: Rc::default(),
            unreadable: Rc::default(),
            unwritable: Rc::default(),
            silent: Rc::default(),
            lose_answers: Rc::default(),
            ..self.clone()
        }
    }

    /// All records of a stream, oldest first.
    pub fn records(&self, stream: Stream) -> Vec<Record> {
        self.shared.borrow().streams.get(&stream).cloned().unwrap_or_default()
    }

    /// Appends a record without latency or faults, as an operator or another process would.
    pub fn put(&self, stream: Stream, record: Record) {
        self.shared.borrow_mut().streams.entry(stream).or_default().push(record);
        self.changed.notify_waiters();
    }

    async fn simulate_call(&self) -> Result<(), StoreError> {
        if self.silent.get() {
            std::future::pending::<()>().await;
        }
        sleep(Duration::from_millis(STORE_LATENCY_MS + self.slow_ms.get())).await;
        self.check_served()
    }

    async fn simulate_read(&self, wait_ms: u64) -> Result<(), StoreError> {
        let timeout = Duration::from_millis(wait_ms + READ_TIMEOUT_MS);
        let served = tokio::time::timeout(timeout, self.simulate_call()).await;
        served.map_err(|_| StoreError::Unknown("no answer in time".to_owned()))??;
        self.check_readable()
    }

    fn check_served(&self) -> Result<(), StoreError> {
        if self.down.get() { Err(StoreError::NotDone("down".to_owned())) } else { Ok(()) }
    }

    fn check_readable(&self) -> Result<(), StoreError> {
        if self.unreadable.get() { Err(StoreError::NotDone("unreadable".to_owned())) } else { self.check_served() }
    }
}

#[async_trait(?Send)]
impl Store for MemoryStore {
    async fn newest(&self, stream: Stream) -> Result<Page, StoreError> {
        self.simulate_read(0).await?;
        let records = self.records(stream);
        let next = records.len() as u64;
        let newest: BTreeMap<_, _> = records.into_iter().map(|record| (record.key.clone(), record)).collect();
        // A key is dropped with a record that has no value.
        let records = newest.into_values().filter(|record| record.value.is_some()).collect();
        Ok(Page { records, next, at_end: true })
    }

    async fn read(&self, stream: Stream, from: u64, wait_ms: u64) -> Result<Page, StoreError> {
        self.simulate_read(wait_ms).await?;
        if self.stuck.get() == Some(stream) {
            self.stuck_reads.set(self.stuck_reads.get() + 1);
            return Ok(Page { records: Vec::new(), next: from, at_end: false });
        }
        let length = || self.shared.borrow().streams.get(&stream).map_or(0, Vec::len) as u64;
        let waiting = async {
            while length() <= from {
                self.changed.notified().await;
            }
        };
        if wait_ms > 0 {
            let waited = tokio::time::timeout(Duration::from_millis(wait_ms), waiting).await;
            // After a timeout the answer has no records.
            drop(waited);
            self.check_readable()?;
        }
        if self.expire.get() == Some(stream) {
            self.expire.set(None);
            return Err(StoreError::Expired);
        }
        let records = self.records(stream).split_off((from as usize).min(length() as usize));
        if wait_ms > 0 && self.late_reads_ms.get() > 0 {
            sleep(Duration::from_millis(rand::random_range(0..self.late_reads_ms.get()))).await;
        }
        let next = from + records.len() as u64;
        Ok(Page { records, next, at_end: true })
    }

    async fn append(&self, stream: Stream, records: &[Record], mark: Option<LeaderMark>) -> Result<u64, StoreError> {
        self.simulate_call().await?;
        if self.unwritable.get() {
            return Err(StoreError::NotDone("unwritable".to_owned()));
        }
        if records.iter().any(|record| record.size_bytes() > self.max_record_bytes()) {
            return Err(StoreError::NotDone("a record is too large".to_owned()));
        }
        if stream == Stream::Jobs && self.queue_ms.get() > 0 {
            let (store, records, delay) = (self.clone(), records.to_vec(), Duration::from_millis(self.queue_ms.get()));
            let queued = tokio::task::spawn_local(async move {
                sleep(delay).await;
                records.into_iter().for_each(|record| store.put(stream, record));
                store.records(stream).len() as u64
            });
            return queued.await.map_err(|e| StoreError::Unknown(e.to_string()));
        }
        let end = {
            let mut shared = self.shared.borrow_mut();
            if let Some(mark) = mark {
                if mark.epoch < shared.epoch {
                    return Err(StoreError::Fenced);
                }
                if mark.epoch > shared.epoch {
                    shared.epoch = mark.epoch;
                    shared.answers.clear();
                }
                let repeated = shared.answers.iter().find(|(sequence, _)| *sequence == mark.sequence);
                if let Some((_, end)) = repeated.filter(|_| !records.is_empty()) {
                    return Ok(*end);
                }
            }
            if let Some(mark) = mark.filter(|_| records.is_empty() && self.rival.take()) {
                let heartbeat = LeaderRecord { epoch: mark.epoch, name: "rival".to_owned(), resigned: false };
                let records = shared.streams.entry(stream).or_default();
                records.push(JobRecord::leader(&heartbeat).expect("a record"));
                let end = records.len() as u64;
                shared.answers.push((1, end));
            }
            let stream = shared.streams.entry(stream).or_default();
            stream.extend_from_slice(records);
            let end = stream.len() as u64;
            if let Some(mark) = mark.filter(|_| !records.is_empty()) {
                shared.answers.push((mark.sequence, end));
            }
            end
        };
        self.changed.notify_waiters();
        if self.lose_answers.get() > 0 {
            self.lose_answers.set(self.lose_answers.get() - 1);
            return Err(StoreError::Unknown("the answer was lost".to_owned()));
        }
        Ok(end)
    }
}

#[derive(Default)]
struct EndpointState {
    token: u64,
    /// The time of the first report call, from which the endpoint's clock counts.
    started: Option<Instant>,
    lease_end_ms: u64,
    runs: BTreeMap<TaskRef, u32>,
    highest_run: BTreeMap<TaskRef, u32>,
    ended: BTreeMap<u64, RunEnd>,
    last_number: u64,
    /// The number of crashes so far.
    crashes: u64,
}

impl EndpointState {
    /// The current incarnation; 1 before the first crash.
    fn incarnation(&self) -> u64 {
        1 + self.crashes
    }
}

/// An in-memory endpoint. Clones share its state.
#[derive(Clone, Default)]
pub struct MemoryEndpoint {
    state: Rc<RefCell<EndpointState>>,
    changed: Rc<Notify>,
    /// Whether calls have no effect and are never answered.
    pub silent: Rc<Cell<bool>>,
    /// Whether connections are refused. Runs go on.
    pub down: Rc<Cell<bool>>,
    /// Whether connections are accepted and reset.
    pub resetting: Rc<Cell<bool>>,
    /// The number of times that all open connections were reset.
    resets: Rc<Cell<u64>>,
    /// The number of connections that were refused.
    pub refused: Rc<Cell<u32>>,
    /// The number of next starts that take effect but whose answer is lost.
    pub lose_starts: Rc<Cell<u32>>,
    /// Whether runs go on after they were ordered to stop.
    pub slow_stops: Rc<Cell<bool>>,
    /// How long runs go on after they were ordered to stop, in milliseconds.
    pub stop_ms: Rc<Cell<u64>>,
    /// The number of next stops that take effect but whose answer is lost.
    pub lose_stops: Rc<Cell<u32>>,
    /// The number of next starts that are rejected as unhealthy.
    pub refuse_starts: Rc<Cell<u32>>,
    /// The number of next starts that have no effect because they name another incarnation.
    pub misdirect_starts: Rc<Cell<u32>>,
    /// How long after their arrival starts are carried out, in milliseconds. They get no answer unless this is 0.
    pub delay_starts_ms: Rc<Cell<u64>>,
    /// Whether the ended runs that a report lists cannot be read.
    pub unreadable_ends: Rc<Cell<bool>>,
    /// The work done that reports state for each run, in percent.
    pub percent: Rc<Cell<Option<u8>>>,
    /// How long the answer of a report call is under way, in milliseconds.
    pub late_reports_ms: Rc<Cell<u64>>,
    /// All runs that were started, in order.
    pub started: Rc<RefCell<Vec<(TaskRef, u32)>>>,
    /// All runs that the agent has ordered to stop.
    pub stopped: Rc<RefCell<BTreeSet<(TaskRef, u32)>>>,
    /// The highest number up to which the agent allows ended runs to be forgotten.
    pub forgotten: Rc<Cell<u64>>,
}

impl MemoryEndpoint {
    /// Starts a run, as an earlier agent process would have ordered.
    pub fn begin(&self, task: TaskRef, run: u32) {
        let mut state = self.state.borrow_mut();
        state.runs.insert(task, run);
        state.highest_run.insert(task, run);
        self.started.borrow_mut().push((task, run));
    }

    /// Ends the run of a task, if there is one.
    pub fn end(&self, task: TaskRef, end: RunOutcome) {
        let mut state = self.state.borrow_mut();
        let Some(run) = state.runs.remove(&task) else { return };
        state.last_number += 1;
        let number = state.last_number;
        state.ended.insert(number, RunEnd { number, task, run, end, checkpoint: None });
        self.changed.notify_waiters();
    }

    /// Ends all runs, resets the calls in flight and refuses connections. The endpoint has the next incarnation once
    /// `down` is cleared.
    pub fn crash(&self) {
        let crashes = self.state.borrow().crashes + 1;
        *self.state.borrow_mut() = EndpointState { crashes, ..EndpointState::default() };
        self.down.set(true);
        self.changed.notify_waiters();
    }

    /// Resets the calls in flight. Runs go on.
    pub fn reset_connections(&self) {
        self.resets.set(self.resets.get() + 1);
        self.changed.notify_waiters();
    }

    /// Ends all runs if the lease has ended.
    pub fn expire_lease(&self) {
        let tasks: Vec<_> = self.state.borrow().runs.keys().copied().collect();
        if self.clock_ms() > self.lease_end_ms() {
            tasks.into_iter().for_each(|task| self.end(task, RunOutcome::Interrupted));
        }
    }

    /// All tasks that are running.
    pub fn running(&self) -> Vec<TaskRef> {
        self.state.borrow().runs.keys().copied().collect()
    }

    /// Whether a run is running.
    pub fn is_running(&self, task: TaskRef, run: u32) -> bool {
        self.state.borrow().runs.get(&task) == Some(&run)
    }

    /// Removes the run of a task without an end.
    pub fn lose(&self, task: TaskRef) {
        self.state.borrow_mut().runs.remove(&task);
    }

    /// Adds `count` ended runs of `task`.
    pub fn add_ends(&self, task: TaskRef, count: usize) {
        let mut state = self.state.borrow_mut();
        for run in (1..).take(count) {
            state.last_number += 1;
            let number = state.last_number;
            state.ended.insert(number, RunEnd { number, task, run, end: RunOutcome::Done, checkpoint: None });
        }
    }

    /// When the lease ends, in milliseconds on the endpoint's clock.
    pub fn lease_end_ms(&self) -> u64 {
        self.state.borrow().lease_end_ms
    }

    /// The endpoint's clock in milliseconds; 0 before the first report call.
    pub fn clock_ms(&self) -> u64 {
        self.state.borrow().started.map_or(0, |started| started.elapsed().as_millis() as u64)
    }

    /// Sets the highest fencing token that the endpoint has seen, as an earlier agent would have.
    pub fn set_highest_token(&self, token: u64) {
        self.state.borrow_mut().token = token;
    }

    async fn simulate_call(&self) -> Result<(), EndpointError> {
        if self.down.get() {
            self.refused.set(self.refused.get() + 1);
            return Err(EndpointError::Refused("connection refused".to_owned()));
        }
        let connection = self.connection();
        if self.silent.get() {
            std::future::pending::<()>().await;
        }
        sleep(Duration::from_millis(1)).await;
        self.check_open(connection)
    }

    /// What a call depends on until it is answered: the incarnation, and the number of resets before the call.
    fn connection(&self) -> (u64, u64) {
        (self.state.borrow().incarnation(), self.resets.get())
    }

    /// Fails if the endpoint has crashed or has reset its connections since a call was sent on `connection`.
    fn check_open(&self, connection: (u64, u64)) -> Result<(), EndpointError> {
        if self.connection() != connection || self.resetting.get() {
            return Err(EndpointError::Unknown("connection reset".to_owned()));
        }
        Ok(())
    }

    /// Fails if a call is meant for another incarnation than the current one.
    fn expect_incarnation(&self, expected: u64) -> Result<(), EndpointError> {
        let found = self.state.borrow().incarnation();
        if found == expected { Ok(()) } else { Err(EndpointError::OtherIncarnation { expected, found }) }
    }

    fn accepts(&self, token: u64) -> bool {
        let mut state = self.state.borrow_mut();
        let accepted = token >= state.token;
        state.token = state.token.max(token);
        accepted
    }

    fn carry_out_start(&self, token: u64, order: &StartOrder) -> Result<StartAnswer, EndpointError> {
        if self.misdirect_starts.get() > 0 {
            self.misdirect_starts.set(self.misdirect_starts.get() - 1);
            return Ok(StartAnswer::OtherIncarnation);
        }
        if !self.accepts(token) {
            return Ok(StartAnswer::Fenced);
        }
        if self.refuse_starts.get() > 0 {
            self.refuse_starts.set(self.refuse_starts.get() - 1);
            return Ok(StartAnswer::Rejected(fescuelead_core::jobs::Rejection::Unhealthy));
        }
        if order.deadline_ms <= self.clock_ms() {
            return Ok(StartAnswer::Late);
        }
        let mut state = self.state.borrow_mut();
        let is_running = state.runs.get(&order.task) == Some(&order.run);
        if !is_running && state.highest_run.get(&order.task).is_some_and(|&run| run >= order.run) {
            return Ok(StartAnswer::Rejected(fescuelead_core::jobs::Rejection::Outdated));
        }
        if !is_running {
            state.runs.insert(order.task, order.run);
            state.highest_run.insert(order.task, order.run);
            self.started.borrow_mut().push((order.task, order.run));
        }
        state.lease_end_ms = state.lease_end_ms.max(order.deadline_ms);
        if self.lose_starts.get() > 0 {
            self.lose_starts.set(self.lose_starts.get() - 1);
            return Err(EndpointError::Unknown("the answer was lost".to_owned()));
        }
        Ok(StartAnswer::Started)
    }
}

#[async_trait(?Send)]
impl Endpoint for MemoryEndpoint {
    async fn start(&self, incarnation: u64, token: u64, order: &StartOrder) -> Result<StartAnswer, EndpointError> {
        self.simulate_call().await?;
        self.expect_incarnation(incarnation)?;
        if self.delay_starts_ms.get() > 0 {
            let (endpoint, order, delay) =
                (self.clone(), order.clone(), Duration::from_millis(self.delay_starts_ms.get()));
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                // Nobody waits for the answer.
                drop(endpoint.carry_out_start(token, &order));
            });
            std::future::pending::<()>().await;
        }
        self.carry_out_start(token, order)
    }

    async fn stop(&self, incarnation: u64, token: u64, task: TaskRef, run: u32) -> Result<bool, EndpointError> {
        self.simulate_call().await?;
        self.expect_incarnation(incarnation)?;
        if !self.accepts(token) {
            return Ok(false);
        }
        self.stopped.borrow_mut().insert((task, run));
        let is_running = {
            let mut state = self.state.borrow_mut();
            let highest_run = state.highest_run.entry(task).or_default();
            *highest_run = run.max(*highest_run);
            state.runs.get(&task) == Some(&run)
        };
        if is_running && self.stop_ms.get() > 0 {
            let (endpoint, delay) = (self.clone(), Duration::from_millis(self.stop_ms.get()));
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                if endpoint.is_running(task, run) {
                    endpoint.end(task, RunOutcome::Interrupted);
                }
            });
        } else if is_running && !self.slow_stops.get() {
            self.end(task, RunOutcome::Interrupted);
        }
        if self.lose_stops.get() > 0 {
            self.lose_stops.set(self.lose_stops.get() - 1);
            return Err(EndpointError::Unknown("the answer was lost".to_owned()));
        }
        Ok(true)
    }

    async fn report(
        &self,
        token: u64,
        renewal: Option<Renewal>,
        wait_ms: u64,
    ) -> Result<Option<Report>, EndpointError> {
        self.simulate_call().await?;
        let renewal = renewal.filter(|renewal| renewal.incarnation == self.state.borrow().incarnation());
        let wait_ms = if renewal.is_some() { wait_ms } else { 0 };
        let Renewal { deadline_ms, seen, .. } = renewal.unwrap_or_default();
        if !self.accepts(token) {
            return Ok(None);
        }
        self.forgotten.set(seen.max(self.forgotten.get()));
        {
            let mut state = self.state.borrow_mut();
            state.started.get_or_insert_with(Instant::now);
            state.ended.retain(|&number, _| number > seen);
            state.lease_end_ms = state.lease_end_ms.max(deadline_ms.unwrap_or(0));
        }
        let connection = self.connection();
        let position = || (self.connection(), self.state.borrow().last_number);
        let before = position();
        let waiting = async {
            while position() == before {
                self.changed.notified().await;
            }
        };
        let waited = tokio::time::timeout(Duration::from_millis(wait_ms), waiting).await;
        // After a timeout the report has no new ended run.
        drop(waited);
        self.check_open(connection)?;
        let report = {
            let state = self.state.borrow();
            let percent = self.percent.get();
            let running = state
                .runs
                .iter()
                .map(|(&task, &run)| Running { task, run, checkpoint: None, percent, reading: 0 })
                .collect();
            let listed = if self.unreadable_ends.get() { 0 } else { MAX_LISTED_ENDS };
            let ended: Vec<_> = state.ended.values().take(listed).cloned().collect();
            let is_complete = state.ended.len() < MAX_LISTED_ENDS && ended.len() == state.ended.len();
            let end_list = if is_complete { EndList::Complete } else { EndList::Incomplete };
            Report { incarnation: state.incarnation(), clock_ms: self.clock_ms(), running, ended, end_list }
        };
        if self.late_reports_ms.get() > 0 {
            sleep(Duration::from_millis(self.late_reports_ms.get())).await;
        }
        self.check_open(connection)?;
        Ok(Some(report))
    }

    async fn pace(&self, incarnation: u64, _: u64, _: TaskRef, _: u32, _: u8) -> Result<(), EndpointError> {
        self.simulate_call().await?;
        self.expect_incarnation(incarnation)
    }
}
