/*!
What ran where and when, over all workers of a test.

An interval of running is time during which a task may use the processor: it begins with a start, a thaw or a renewal
after the lease ran out, and ends with the task, a freeze or the end of the lease.
*/

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
};

use fescuelead_core::ids::{AttemptRef, TaskId};
use serde::Serialize;
use tokio::time::Instant;

// Below the resolution of tokio's timers; it absorbs rounding where one interval ends and the next begins.
const OVERLAP_TOLERANCE_MS: f64 = 0.01;

/// A time during which an attempt ran, in milliseconds since the ledger was made.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Interval {
    /// The worker.
    pub worker: String,
    /// The attempt.
    pub attempt: AttemptRef,
    /// When it began.
    pub from_ms: f64,
    /// When it ended; none if it goes on.
    pub to_ms: Option<f64>,
}

impl Interval {
    fn overlaps(&self, other: &Self) -> bool {
        let from_ms = self.from_ms.max(other.from_ms);
        let to_ms = self.to_ms.unwrap_or(f64::INFINITY).min(other.to_ms.unwrap_or(f64::INFINITY));
        to_ms - from_ms > OVERLAP_TOLERANCE_MS
    }
}

/// Two places where a task ran at one time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Overlap {
    /// The one that began first.
    pub first: Interval,
    /// The other.
    pub second: Interval,
}

/// How attempts ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct AttemptCounts {
    /// How often it was started.
    pub starts: u64,
    /// How often it did its work.
    pub successes: u64,
    /// How often it failed.
    pub failures: u64,
    /// How often it was stopped before its end.
    pub stops: u64,
    /// How often it vanished with its host.
    pub crashes: u64,
    /// How often it did its work, but its host crashed before the agent had let the worker forget the result.
    pub lost_results: u64,
}

impl AttemptCounts {
    /// All ends.
    pub fn ends(&self) -> u64 {
        self.successes + self.failures + self.stops + self.crashes
    }

    fn add(&mut self, other: &Self) {
        self.starts += other.starts;
        self.successes += other.successes;
        self.failures += other.failures;
        self.stops += other.stops;
        self.crashes += other.crashes;
        self.lost_results += other.lost_results;
    }
}

/// How an attempt ended, for [`Ledger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Success,
    Failure,
    Stop,
    Crash,
}

/// Brings a worker's state up to the present, so that what happened since its last call is in the ledger.
pub(crate) trait Settle: Send + Sync {
    fn settle(&self);
}

#[derive(Debug, Default)]
struct Book {
    counts: BTreeMap<AttemptRef, AttemptCounts>,
    intervals: BTreeMap<TaskId, Vec<Interval>>,
}

struct Shared {
    epoch: Instant,
    book: Mutex<Book>,
    workers: Mutex<Vec<Weak<dyn Settle>>>,
}

/// The ledger that several workers share. Clones are the same ledger.
#[derive(Clone)]
pub struct Ledger {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Ledger {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ledger").field("book", &self.shared.book).finish_non_exhaustive()
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new()
    }
}

impl Ledger {
    /// An empty ledger; its time begins now.
    pub fn new() -> Self {
        let shared = Shared { epoch: Instant::now(), book: Mutex::default(), workers: Mutex::default() };
        Self { shared: Arc::new(shared) }
    }

    /// What became of one attempt, over all workers.
    pub fn attempt(&self, attempt: &AttemptRef) -> AttemptCounts {
        self.settled().counts.get(attempt).copied().unwrap_or_default()
    }

    /// What became of all attempts of a task.
    pub fn task(&self, task: &TaskId) -> AttemptCounts {
        self.sum(|attempt| attempt.task == *task)
    }

    /// What became of all attempts.
    pub fn total(&self) -> AttemptCounts {
        self.sum(|_| true)
    }

    /// The tasks that did their work more than once. Exactly-once work has none.
    ///
    /// A success does not count here if its result was lost with the host: nobody can tell it from work that was cut off.
    /// [`lost_results`](Self::lost_results) names these, so that a test can check that none of them had been recorded.
    pub fn repeated_successes(&self) -> Vec<TaskId> {
        let book = self.settled();
        let tasks = book.counts.iter().fold(BTreeMap::<&TaskId, u64>::new(), |mut tasks, (attempt, counts)| {
            *tasks.entry(&attempt.task).or_default() += counts.successes - counts.lost_results;
            tasks
        });
        tasks.into_iter().filter(|(_, successes)| *successes > 1).map(|(task, _)| task.clone()).collect()
    }

    /// The attempts that did their work on a host that crashed before the agent had let the worker forget the result.
    pub fn lost_results(&self) -> Vec<AttemptRef> {
        let book = self.settled();
        book.counts.iter().filter(|(_, counts)| counts.lost_results > 0).map(|(attempt, _)| attempt.clone()).collect()
    }

    /// When and where a task ran.
    pub fn intervals(&self, task: &TaskId) -> Vec<Interval> {
        self.settled().intervals.get(task).cloned().unwrap_or_default()
    }

    /// Every case of a task that ran in two places at once.
    pub fn overlaps(&self) -> Vec<Overlap> {
        let book = self.settled();
        let mut found = Vec::new();
        for intervals in book.intervals.values() {
            let mut sorted: Vec<&Interval> = intervals.iter().collect();
            sorted.sort_by(|one, other| one.from_ms.total_cmp(&other.from_ms));
            for (index, first) in sorted.iter().enumerate() {
                let later = sorted[index + 1..].iter();
                let overlapping = later.filter(|second| first.overlaps(second));
                found.extend(overlapping.map(|second| Overlap { first: (*first).clone(), second: (*second).clone() }));
            }
        }
        found
    }

    pub(crate) fn register(&self, worker: Weak<dyn Settle>) {
        lock(&self.shared.workers).push(worker);
    }

    pub(crate) fn now_ms(&self) -> f64 {
        Instant::now().duration_since(self.shared.epoch).as_secs_f64() * 1_000.0
    }

    pub(crate) fn started(&self, attempt: &AttemptRef) {
        lock(&self.shared.book).counts.entry(attempt.clone()).or_default().starts += 1;
    }

    pub(crate) fn ended(&self, attempt: &AttemptRef, end: End) {
        let mut book = lock(&self.shared.book);
        let counts = book.counts.entry(attempt.clone()).or_default();
        match end {
            End::Success => counts.successes += 1,
            End::Failure => counts.failures += 1,
            End::Stop => counts.stops += 1,
            End::Crash => counts.crashes += 1,
        }
    }

    pub(crate) fn result_lost(&self, attempt: &AttemptRef) {
        lock(&self.shared.book).counts.entry(attempt.clone()).or_default().lost_results += 1;
    }

    pub(crate) fn runs(&self, worker: &str, attempt: &AttemptRef, from_ms: f64) {
        let interval = Interval { worker: worker.to_owned(), attempt: attempt.clone(), from_ms, to_ms: None };
        lock(&self.shared.book).intervals.entry(attempt.task.clone()).or_default().push(interval);
    }

    pub(crate) fn rests(&self, worker: &str, attempt: &AttemptRef, to_ms: f64) {
        let mut book = lock(&self.shared.book);
        let intervals = book.intervals.get_mut(&attempt.task).into_iter().flatten();
        let is_open = |interval: &&mut Interval| {
            interval.to_ms.is_none() && interval.attempt == *attempt && interval.worker == worker
        };
        if let Some(interval) = intervals.rev().find(is_open) {
            interval.to_ms = Some(to_ms);
        }
    }

    fn sum(&self, wanted: impl Fn(&AttemptRef) -> bool) -> AttemptCounts {
        let book = self.settled();
        let mut sum = AttemptCounts::default();
        book.counts.iter().filter(|(attempt, _)| wanted(attempt)).for_each(|(_, counts)| sum.add(counts));
        sum
    }

    fn settled(&self) -> MutexGuard<'_, Book> {
        // The locks are taken one after the other: a worker that settles locks the book itself.
        let workers: Vec<_> = lock(&self.shared.workers).iter().filter_map(Weak::upgrade).collect();
        workers.iter().for_each(|worker| worker.settle());
        lock(&self.shared.book)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
