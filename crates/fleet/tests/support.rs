//! A store and an endpoint in memory, with switches for their faults.

#![allow(dead_code)] // Each test file uses a part of it.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use async_trait::async_trait;
use fescuelead_core::jobs::{RunEnd, RunOutcome, TaskRef};
use fescuelead_fleet::{
    endpoint::{Endpoint, EndpointError, Report, Running, StartAnswer, StartOrder},
    store::{JobRecord, LeaderMark, LeaderRecord, Page, Record, Store, StoreError, Stream},
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

/// How long the store takes to answer, in milliseconds; the platform states the same.
const ANSWER_MS: u64 = 4;

#[derive(Default)]
struct Shared {
    streams: BTreeMap<Stream, Vec<Record>>,
    epoch: u64,
    /// The sequence numbers of the leader's last appends and their first answers.
    answered: Vec<(u64, u64)>,
}

/// A store. Clones share its records; each has its own faults.
#[derive(Clone, Default)]
pub struct MemoryStore {
    shared: Rc<RefCell<Shared>>,
    changed: Rc<Notify>,
    /// Calls of this clone are refused.
    pub down: Rc<Cell<bool>>,
    /// Calls of this clone are neither carried out nor answered.
    pub silent: Rc<Cell<bool>>,
    /// The next appends take effect and are not answered.
    pub lose_answers: Rc<Cell<u32>>,
    /// When the next leader takes over, another one has just done so with the same epoch.
    pub rival: Rc<Cell<bool>>,
}

impl MemoryStore {
    /// A clone whose faults are its own.
    pub fn for_another_process(&self) -> Self {
        Self { down: Rc::default(), silent: Rc::default(), lose_answers: Rc::default(), ..self.clone() }
    }

    /// All records of a stream.
    pub fn records(&self, stream: Stream) -> Vec<Record> {
        self.shared.borrow().streams.get(&stream).cloned().unwrap_or_default()
    }

    /// Appends as the operator or another process does.
    pub fn put(&self, stream: Stream, record: Record) {
        self.shared.borrow_mut().streams.entry(stream).or_default().push(record);
        self.changed.notify_waiters();
    }

    async fn answer(&self) -> Result<(), StoreError> {
        if self.silent.get() {
            std::future::pending::<()>().await;
        }
        sleep(Duration::from_millis(ANSWER_MS)).await;
        if self.down.get() {
            return Err(StoreError::NotDone("down".to_owned()));
        }
        Ok(())
    }
}

#[async_trait(?Send)]
impl Store for MemoryStore {
    async fn newest(&self, stream: Stream) -> Result<Page, StoreError> {
        self.answer().await?;
        let records = self.records(stream);
        let newest: BTreeMap<_, _> = records.iter().map(|record| (record.key.clone(), record.clone())).collect();
        Ok(Page { records: newest.into_values().collect(), next: records.len() as u64 })
    }

    async fn read(&self, stream: Stream, from: u64, wait_ms: u64) -> Result<Page, StoreError> {
        self.answer().await?;
        let length = || self.shared.borrow().streams.get(&stream).map_or(0, Vec::len) as u64;
        let waiting = async {
            while length() <= from {
                self.changed.notified().await;
            }
        };
        if wait_ms > 0 {
            let waited = tokio::time::timeout(Duration::from_millis(wait_ms), waiting).await;
            // Without a record the answer is empty.
            drop(waited);
        }
        let records = self.records(stream).split_off((from as usize).min(length() as usize));
        let next = from + records.len() as u64;
        Ok(Page { records, next })
    }

    async fn append(&self, stream: Stream, records: &[Record], mark: Option<LeaderMark>) -> Result<u64, StoreError> {
        self.answer().await?;
        let end = {
            let mut shared = self.shared.borrow_mut();
            if let Some(mark) = mark {
                if mark.epoch < shared.epoch {
                    return Err(StoreError::Fenced);
                }
                if mark.epoch > shared.epoch {
                    shared.epoch = mark.epoch;
                    shared.answered.clear();
                }
                let repeated = shared.answered.iter().find(|(sequence, _)| *sequence == mark.sequence);
                if let Some((_, end)) = repeated.filter(|_| !records.is_empty()) {
                    return Ok(*end);
                }
            }
            if let Some(mark) = mark.filter(|_| records.is_empty() && self.rival.take()) {
                let sign = LeaderRecord { epoch: mark.epoch, name: "rival".to_owned(), resigned: false };
                let records = shared.streams.entry(stream).or_default();
                records.push(JobRecord::leader(&sign).expect("a record"));
                let end = records.len() as u64;
                shared.answered.push((1, end));
            }
            let stream = shared.streams.entry(stream).or_default();
            stream.extend_from_slice(records);
            let end = stream.len() as u64;
            if let Some(mark) = mark.filter(|_| !records.is_empty()) {
                shared.answered.push((mark.sequence, end));
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
struct Work {
    token: u64,
    /// When the endpoint was first asked; its clock counts from then.
    started: Option<Instant>,
    lease_end_ms: u64,
    runs: BTreeMap<TaskRef, u32>,
    highest: BTreeMap<TaskRef, u32>,
    ended: BTreeMap<u64, RunEnd>,
    numbers: u64,
}

/// An endpoint. Clones are the same one.
#[derive(Clone, Default)]
pub struct MemoryEndpoint {
    work: Rc<RefCell<Work>>,
    changed: Rc<Notify>,
    /// No call is answered, and none takes effect.
    pub silent: Rc<Cell<bool>>,
    /// The next starts take effect and are not answered.
    pub lose_starts: Rc<Cell<u32>>,
    /// The next starts are refused as unhealthy.
    pub refuse_starts: Rc<Cell<u32>>,
    /// Every start that took effect.
    pub started: Rc<RefCell<Vec<(TaskRef, u32)>>>,
    /// Every stop.
    pub stopped: Rc<RefCell<BTreeSet<(TaskRef, u32)>>>,
    /// The numbers up to which ends may be forgotten.
    pub forgotten: Rc<Cell<u64>>,
}

impl MemoryEndpoint {
    /// A run ends.
    pub fn end(&self, task: TaskRef, end: RunOutcome) {
        let mut work = self.work.borrow_mut();
        let Some(run) = work.runs.remove(&task) else { return };
        work.numbers += 1;
        let number = work.numbers;
        work.ended.insert(number, RunEnd { number, task, run, end, checkpoint: None });
        self.changed.notify_waiters();
    }

    /// When the lease ends, on the endpoint's clock.
    pub fn lease_end_ms(&self) -> u64 {
        self.work.borrow().lease_end_ms
    }

    /// What the endpoint's clock reads.
    pub fn clock_ms(&self) -> u64 {
        self.work.borrow().started.map_or(0, |started| started.elapsed().as_millis() as u64)
    }

    /// A fencing token that an earlier agent used.
    pub fn remember_token(&self, token: u64) {
        self.work.borrow_mut().token = token;
    }

    async fn reach(&self) -> Result<(), EndpointError> {
        if self.silent.get() {
            std::future::pending::<()>().await;
        }
        sleep(Duration::from_millis(1)).await;
        Ok(())
    }

    fn accepts(&self, token: u64) -> bool {
        let mut work = self.work.borrow_mut();
        let accepted = token >= work.token;
        work.token = work.token.max(token);
        accepted
    }
}

#[async_trait(?Send)]
impl Endpoint for MemoryEndpoint {
    async fn start(&self, token: u64, order: &StartOrder) -> Result<StartAnswer, EndpointError> {
        self.reach().await?;
        if !self.accepts(token) {
            return Ok(StartAnswer::Fenced);
        }
        if self.refuse_starts.get() > 0 {
            self.refuse_starts.set(self.refuse_starts.get() - 1);
            return Ok(StartAnswer::Rejected(fescuelead_core::jobs::Rejection::Unhealthy));
        }
        let mut work = self.work.borrow_mut();
        let there = work.runs.get(&order.task) == Some(&order.run);
        if !there && work.highest.get(&order.task).is_some_and(|&run| run >= order.run) {
            return Ok(StartAnswer::Rejected(fescuelead_core::jobs::Rejection::Outdated));
        }
        if !there {
            work.runs.insert(order.task, order.run);
            work.highest.insert(order.task, order.run);
            self.started.borrow_mut().push((order.task, order.run));
        }
        work.lease_end_ms = work.lease_end_ms.max(order.deadline_ms);
        if self.lose_starts.get() > 0 {
            self.lose_starts.set(self.lose_starts.get() - 1);
            return Err(EndpointError::Unknown("the answer was lost".to_owned()));
        }
        Ok(StartAnswer::Started)
    }

    async fn stop(&self, token: u64, task: TaskRef, run: u32) -> Result<bool, EndpointError> {
        self.reach().await?;
        if !self.accepts(token) {
            return Ok(false);
        }
        self.stopped.borrow_mut().insert((task, run));
        let there = {
            let mut work = self.work.borrow_mut();
            let highest = work.highest.entry(task).or_default();
            *highest = run.max(*highest);
            work.runs.get(&task) == Some(&run)
        };
        if there {
            self.end(task, RunOutcome::Interrupted);
        }
        Ok(true)
    }

    async fn report(
        &self,
        token: u64,
        deadline_ms: Option<u64>,
        seen: u64,
        wait_ms: u64,
    ) -> Result<Option<Report>, EndpointError> {
        self.reach().await?;
        if !self.accepts(token) {
            return Ok(None);
        }
        self.forgotten.set(seen.max(self.forgotten.get()));
        {
            let mut work = self.work.borrow_mut();
            work.started.get_or_insert_with(Instant::now);
            work.ended.retain(|&number, _| number > seen);
            work.lease_end_ms = work.lease_end_ms.max(deadline_ms.unwrap_or(0));
        }
        let before = self.work.borrow().numbers;
        let waiting = async {
            while self.work.borrow().numbers == before {
                self.changed.notified().await;
            }
        };
        let waited = tokio::time::timeout(Duration::from_millis(wait_ms), waiting).await;
        // Without an end the report is the same as before.
        drop(waited);
        let clock_ms = self.clock_ms();
        let work = self.work.borrow();
        let running =
            work.runs.iter().map(|(&task, &run)| Running { task, run, checkpoint: None, reading: 0 }).collect();
        let ended = work.ended.values().cloned().collect();
        Ok(Some(Report { incarnation: 1, clock_ms, running, ended }))
    }

    async fn pace(&self, _: u64, _: TaskRef, _: u32, _: u8) -> Result<(), EndpointError> {
        self.reach().await
    }
}
