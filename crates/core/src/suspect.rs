/*!
Detects workers on which every task fails, as opposed to tasks that fail on every worker.

A failing worker frees its capacity at once and would attract more tasks because it is empty. Three rules prevent that. A
worker on which no task has run long enough yet may hold only a few new tasks. After [`SuspectSettings::failures`]
failures of different tasks without a success it is suspected. A suspected worker gets one probe at a time, with a growing
pause.

A failure counts against the worker only while the task has not failed on a healthy worker as well. Failures on workers
that were not shown to be healthy are not evidence against the task: two broken workers would otherwise exonerate each
other.
*/

use std::collections::{HashMap, VecDeque};

use slotmap::SecondaryMap;

use crate::{ids::TaskId, placement::WorkerKey, units::TimeMs};

/// The maximum number of failed tasks that are remembered. The oldest are dropped first.
const MAX_TASKS: usize = 16_384;
/// The maximum number of workers remembered per failed task.
const MAX_WORKERS_PER_TASK: usize = 4;

/// Thresholds of the suspicion of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectSettings {
    /// Consecutive failures of different tasks that make a worker suspected.
    pub failures: usize,
    /// New tasks that a worker may hold at one time until it is shown to be healthy.
    pub unproven_starts: usize,
    /// A task that has run this long shows that its worker is healthy, in milliseconds.
    pub proof_ms: u64,
    /// The pause before the first probe, in milliseconds; it doubles with each failed probe.
    pub probe_pause_ms: u64,
    /// The maximum pause between probes, in milliseconds.
    pub max_probe_pause_ms: u64,
    /// If `false`, every worker is trusted.
    pub enabled: bool,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            failures: 3,
            unproven_starts: 3,
            proof_ms: 30_000,
            probe_pause_ms: 20 * 60_000,
            max_probe_pause_ms: 3_600_000,
            enabled: true,
        }
    }
}

/// Whether a worker may take new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrustLevel {
    /// Tasks have run on the worker long enough or succeeded, with no failure since.
    Trusted,
    /// The worker was not shown to be healthy since it was added or since its last failure. It may hold a few new
    /// tasks.
    Unproven {
        /// The number of further tasks that it may take now.
        room: usize,
    },
    /// The worker takes no tasks before its next probe.
    Suspected {
        /// When the next probe may start, provided that no earlier one still runs.
        probe_at: TimeMs,
    },
    /// The worker is suspected and may take one task as a probe.
    ProbeDue,
}

impl TrustLevel {
    /// Whether a task may start on the worker now.
    pub fn may_start(self) -> bool {
        match self {
            Self::Trusted | Self::ProbeDue => true,
            Self::Unproven { room } => room > 0,
            Self::Suspected { .. } => false,
        }
    }
}

/// The conclusion from one failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Too few failures to conclude anything.
    Open,
    /// The worker is suspected, from now on or already before.
    WorkerSuspected,
    /// The task also failed on a healthy worker, so this failure does not count against the worker.
    TaskFailsEverywhere,
}

#[derive(Debug, Clone, Default)]
struct WorkerRecord {
    proven: bool,
    /// Whether a task ran long enough or succeeded since the worker was last suspected.
    healthy: bool,
    failed: Vec<TaskId>,
    pending: Vec<(TaskId, TimeMs)>,
    suspected: bool,
    probe_at: TimeMs,
    pause_ms: u64,
}

/// Task failures per worker and per task.
#[derive(Debug, Clone, Default)]
pub struct Suspicions {
    settings: SuspectSettings,
    workers: SecondaryMap<WorkerKey, WorkerRecord>,
    tasks: HashMap<TaskId, Vec<WorkerKey>>,
    order: VecDeque<TaskId>,
}

impl Suspicions {
    /// Creates a table without failures, in which every worker is unproven.
    pub fn new(settings: SuspectSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records the start of a task. Constant time.
    pub fn started(&mut self, worker: WorkerKey, task: &TaskId, now: TimeMs) {
        let Some(record) = self.record(worker) else { return };
        if !record.proven {
            record.pending.push((task.clone(), now));
        }
    }

    /// Records a task that ended without a failure of its own. `proof` is `true` if it did its work, and `false` if it
    /// was stopped or cancelled, which does not show that the worker is healthy.
    pub fn ended(&mut self, worker: WorkerKey, task: &TaskId, proof: bool) {
        let Some(record) = self.record(worker) else { return };
        record.pending.retain(|(id, _)| id != task);
        if proof {
            record.mark_healthy();
        }
        if proof {
            self.tasks.remove(task);
        }
    }

    /// Records a failure.
    pub fn failed(&mut self, worker: WorkerKey, task: &TaskId, now: TimeMs) -> Verdict {
        let settings = self.settings;
        let elsewhere = self.record_failure(worker, task);
        let Some(record) = self.record(worker) else { return Verdict::Open };
        record.pending.retain(|(id, _)| id != task);
        if elsewhere.is_empty() && !record.failed.contains(task) {
            record.failed.push(task.clone());
        }
        if record.suspected {
            record.pause_ms = (record.pause_ms * 2).min(settings.max_probe_pause_ms);
            record.probe_at = now.plus_ms(record.pause_ms);
        } else if record.failed.len() >= settings.failures {
            record.suspected = true;
            record.proven = false;
            record.healthy = false;
            record.pause_ms = settings.probe_pause_ms;
            record.probe_at = now.plus_ms(record.pause_ms);
        } else {
            // The worker has to prove itself again after a failure, so that a burst of tasks cannot start on it.
            record.proven = false;
        }
        let (suspected, healthy) = (record.suspected, record.healthy);
        if healthy {
            self.exonerate(worker, task);
        }
        match (elsewhere.is_empty(), suspected) {
            (_, true) => Verdict::WorkerSuspected,
            (false, false) => Verdict::TaskFailsEverywhere,
            (true, false) => Verdict::Open,
        }
    }

    /// Workers on which a task failed, at most four. Its next attempt should avoid them: a task that keeps failing on
    /// one broken worker counts as a single failure, and the worker would never be suspected.
    pub fn failed_on(&self, task: &TaskId) -> &[WorkerKey] {
        self.tasks.get(task).map_or(&[], Vec::as_slice)
    }

    /// The trust in a worker at `now`. Constant time.
    pub fn trust_level(&self, worker: WorkerKey, now: TimeMs) -> TrustLevel {
        if !self.settings.enabled {
            return TrustLevel::Trusted;
        }
        let Some(record) = self.workers.get(worker) else {
            return TrustLevel::Unproven { room: self.settings.unproven_starts };
        };
        let pending = record.pending.len();
        if record.suspected {
            let due = record.probe_at <= now && pending == 0;
            return if due { TrustLevel::ProbeDue } else { TrustLevel::Suspected { probe_at: record.probe_at } };
        }
        if record.proven {
            return TrustLevel::Trusted;
        }
        let used = pending + record.failed.len();
        TrustLevel::Unproven { room: self.settings.unproven_starts.saturating_sub(used) }
    }

    /// Marks workers as healthy on which a task has run long enough. Linear in the number of workers.
    pub fn tick(&mut self, now: TimeMs) {
        let proof_ms = self.settings.proof_ms;
        for record in self.workers.values_mut().filter(|record| !record.proven) {
            if record.pending.iter().any(|(_, since)| now.since_ms(*since) >= proof_ms) {
                record.mark_healthy();
            }
        }
    }

    /// Drops the record of a worker that was removed.
    pub fn remove(&mut self, worker: WorkerKey) {
        self.workers.remove(worker);
    }

    fn record(&mut self, worker: WorkerKey) -> Option<&mut WorkerRecord> {
        Some(self.workers.entry(worker)?.or_default())
    }

    /// Records that `task` failed on `worker`, and returns the other, healthy workers on which it failed before.
    fn record_failure(&mut self, worker: WorkerKey, task: &TaskId) -> Vec<WorkerKey> {
        if !self.tasks.contains_key(task) {
            self.order.push_back(task.clone());
        }
        let workers = self.tasks.entry(task.clone()).or_default();
        let healthy = |key: &WorkerKey| self.workers.get(*key).is_some_and(|record| record.healthy);
        let elsewhere = workers.iter().copied().filter(|w| *w != worker && healthy(w)).collect();
        if !workers.contains(&worker) && workers.len() < MAX_WORKERS_PER_TASK {
            workers.push(worker);
        }
        while self.order.len() > MAX_TASKS {
            if let Some(oldest) = self.order.pop_front() {
                self.tasks.remove(&oldest);
            }
        }
        elsewhere
    }

    /// Removes a failure of `task` from the records of all other workers that are not suspected.
    fn exonerate(&mut self, healthy: WorkerKey, task: &TaskId) {
        for worker in self.tasks.get(task).into_iter().flatten().filter(|key| **key != healthy) {
            if let Some(record) = self.workers.get_mut(*worker).filter(|record| !record.suspected) {
                record.failed.retain(|id| id != task);
            }
        }
    }
}

impl WorkerRecord {
    fn mark_healthy(&mut self) {
        self.proven = true;
        self.healthy = true;
        self.suspected = false;
        self.failed.clear();
        self.pending.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use slotmap::SlotMap;

    fn keys(count: usize) -> Vec<WorkerKey> {
        let mut arena: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        (0..count).map(|_| arena.insert(())).collect()
    }

    fn task(n: u32) -> TaskId {
        TaskId::new(format!("c0-{n}")).expect("valid id")
    }

    /// Guards against a broken worker that attracts one task after another because it is empty.
    #[test]
    fn three_failures_of_different_tasks_make_a_worker_suspected() {
        let worker = keys(1)[0];
        let mut suspicions = Suspicions::default();
        for n in 0..3 {
            assert!(suspicions.trust_level(worker, TimeMs(0)).may_start());
            suspicions.started(worker, &task(n), TimeMs(0));
            suspicions.failed(worker, &task(n), TimeMs(1));
        }
        assert!(!suspicions.trust_level(worker, TimeMs(2)).may_start());
        let due = TimeMs(1).plus_ms(SuspectSettings::default().probe_pause_ms);
        assert_eq!(suspicions.trust_level(worker, due), TrustLevel::ProbeDue);
        suspicions.started(worker, &task(9), due);
        assert!(!suspicions.trust_level(worker, due).may_start());
        suspicions.ended(worker, &task(9), true);
        assert_eq!(suspicions.trust_level(worker, due), TrustLevel::Trusted);
    }

    /// Guards against a broken worker that repeatedly gets the same task, which counts as a single failure.
    #[test]
    fn the_workers_on_which_a_task_failed_are_reported() {
        let worker = keys(1)[0];
        let mut suspicions = Suspicions::default();
        suspicions.failed(worker, &task(1), TimeMs(1));
        assert_eq!(suspicions.failed_on(&task(1)), [worker]);
        suspicions.ended(worker, &task(1), true);
        assert!(suspicions.failed_on(&task(1)).is_empty());
    }

    /// Guards against suspecting healthy workers because of one faulty task.
    #[test]
    fn a_task_that_fails_everywhere_does_not_count_against_workers() {
        let workers = keys(6);
        let mut suspicions = Suspicions::default();
        for worker in &workers {
            suspicions.ended(*worker, &task(0), true);
            suspicions.started(*worker, &task(1), TimeMs(0));
            suspicions.failed(*worker, &task(1), TimeMs(1));
        }
        assert_eq!(suspicions.failed(workers[0], &task(1), TimeMs(2)), Verdict::TaskFailsEverywhere);
        assert!(workers.iter().all(|w| suspicions.trust_level(*w, TimeMs(2)).may_start()));
    }

    /// Guards against a burst of starts on a new worker before its first failure is known.
    #[test]
    fn an_unproven_worker_takes_few_tasks_until_one_has_run_long_enough() {
        let worker = keys(1)[0];
        let mut suspicions = Suspicions::default();
        (0..3).for_each(|n| suspicions.started(worker, &task(n), TimeMs(0)));
        assert!(!suspicions.trust_level(worker, TimeMs(1)).may_start());
        suspicions.tick(TimeMs(30_000));
        assert_eq!(suspicions.trust_level(worker, TimeMs(30_000)), TrustLevel::Trusted);
    }
}
