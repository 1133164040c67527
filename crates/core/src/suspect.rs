/*!
Workers that fail everything they start, told apart from tasks that fail everywhere.

A failing worker frees its capacity at once and would attract work by being empty. Three rules prevent that. A worker
that has not yet kept a task alive may hold only a few new tasks. After [`SuspectSettings::failures`] failures of
different tasks without a success it is suspected. A suspected worker gets one probe at a time, with a growing pause.

A failure counts against the worker only while the task has not failed on a healthy worker as well. (Failures on workers
without a proof of health say nothing of the task: two broken workers would otherwise clear each other.)
*/

use std::collections::{HashMap, VecDeque};

use slotmap::SecondaryMap;

use crate::{ids::TaskId, placement::WorkerKey, units::TimeMs};

/// Failed tasks that are remembered. The oldest are dropped first.
const MAX_TASKS: usize = 16_384;
/// Workers remembered for one failed task.
const MAX_WORKERS_PER_TASK: usize = 4;

/// Limits of the suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectSettings {
    /// Failures of different tasks in a row that make a worker suspected.
    pub failures: usize,
    /// New tasks that a worker without a proof of health may hold at one time.
    pub unproven_starts: usize,
    /// A task that has run this long proves its worker healthy.
    pub proof_ms: u64,
    /// The pause before the first probe; it doubles with each failed probe.
    pub probe_pause_ms: u64,
    /// The longest pause between probes.
    pub max_probe_pause_ms: u64,
    /// Off, every worker is trusted.
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

/// How far a worker is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrustLevel {
    /// It has kept tasks alive.
    Trusted,
    /// It has not yet, and may take this many more new tasks.
    Unproven {
        /// New tasks that it may take now.
        room: usize,
    },
    /// It takes nothing before its next probe.
    Suspected {
        /// When the next probe is due.
        probe_at: TimeMs,
    },
    /// It is suspected and may take one task as a probe.
    ProbeDue,
}

impl TrustLevel {
    /// Whether a task may start there now.
    pub fn may_start(self) -> bool {
        match self {
            Self::Trusted | Self::ProbeDue => true,
            Self::Unproven { room } => room > 0,
            Self::Suspected { .. } => false,
        }
    }
}

/// What a failure says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing yet.
    Open,
    /// The worker is suspected from now on, or still.
    WorkerSuspected,
    /// The task has failed on several workers; its failures count against none of them.
    TaskFailsEverywhere,
}

#[derive(Debug, Clone, Default)]
struct WorkerRecord {
    proven: bool,
    /// It has kept a task alive since it was last suspected.
    healthy: bool,
    failed: Vec<TaskId>,
    on_trial: Vec<(TaskId, TimeMs)>,
    suspected: bool,
    probe_at: TimeMs,
    pause_ms: u64,
}

/// What is known of the health of workers and tasks.
#[derive(Debug, Clone, Default)]
pub struct Suspicions {
    settings: SuspectSettings,
    workers: SecondaryMap<WorkerKey, WorkerRecord>,
    tasks: HashMap<TaskId, Vec<WorkerKey>>,
    order: VecDeque<TaskId>,
}

impl Suspicions {
    /// Knows nothing yet.
    pub fn new(settings: SuspectSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Notes a start. Constant time.
    pub fn started(&mut self, worker: WorkerKey, task: &TaskId, now: TimeMs) {
        let Some(record) = self.record(worker) else { return };
        if !record.proven {
            record.on_trial.push((task.clone(), now));
        }
    }

    /// Notes that a task did its work, or was stopped or cancelled while it was healthy (`proof` is then false).
    pub fn ended(&mut self, worker: WorkerKey, task: &TaskId, proof: bool) {
        let Some(record) = self.record(worker) else { return };
        record.on_trial.retain(|(id, _)| id != task);
        if proof {
            record.prove();
        }
        if proof {
            self.tasks.remove(task);
        }
    }

    /// Notes a failure.
    pub fn failed(&mut self, worker: WorkerKey, task: &TaskId, now: TimeMs) -> Verdict {
        let settings = self.settings;
        let elsewhere = self.blame(worker, task);
        let Some(record) = self.record(worker) else { return Verdict::Open };
        record.on_trial.retain(|(id, _)| id != task);
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
            // A worker whose last word is a failure is on trial again, so that a burst cannot land on it.
            record.proven = false;
        }
        let (suspected, healthy) = (record.suspected, record.healthy);
        if healthy {
            self.clear(worker, task);
        }
        match (elsewhere.is_empty(), suspected) {
            (_, true) => Verdict::WorkerSuspected,
            (false, false) => Verdict::TaskFailsEverywhere,
            (true, false) => Verdict::Open,
        }
    }

    /// Workers on which a task failed, at most four. Its next attempt should go elsewhere: a task that fails again and
    /// again on one broken worker would be one failure only, and the worker would never be suspected.
    pub fn failed_on(&self, task: &TaskId) -> &[WorkerKey] {
        self.tasks.get(task).map_or(&[], Vec::as_slice)
    }

    /// How far a worker is trusted at `now`. Constant time.
    pub fn trust_level(&self, worker: WorkerKey, now: TimeMs) -> TrustLevel {
        if !self.settings.enabled {
            return TrustLevel::Trusted;
        }
        let Some(record) = self.workers.get(worker) else {
            return TrustLevel::Unproven { room: self.settings.unproven_starts };
        };
        let pending = record.on_trial.len();
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

    /// Lets tasks that have run long enough prove their workers healthy. Linear in the number of workers.
    pub fn tick(&mut self, now: TimeMs) {
        let proof_ms = self.settings.proof_ms;
        for record in self.workers.values_mut().filter(|record| !record.proven) {
            if record.on_trial.iter().any(|(_, since)| now.since_ms(*since) >= proof_ms) {
                record.prove();
            }
        }
    }

    /// Forgets a worker that has gone.
    pub fn remove(&mut self, worker: WorkerKey) {
        self.workers.remove(worker);
    }

    fn record(&mut self, worker: WorkerKey) -> Option<&mut WorkerRecord> {
        Some(self.workers.entry(worker)?.or_default())
    }

    /// Remembers that `task` failed on `worker` and returns the other, healthy workers where it failed before.
    fn blame(&mut self, worker: WorkerKey, task: &TaskId) -> Vec<WorkerKey> {
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

    /// Takes a failure of `task` back from the other workers that are not suspected.
    fn clear(&mut self, healthy: WorkerKey, task: &TaskId) {
        for worker in self.tasks.get(task).into_iter().flatten().filter(|key| **key != healthy) {
            if let Some(record) = self.workers.get_mut(*worker).filter(|record| !record.suspected) {
                record.failed.retain(|id| id != task);
            }
        }
    }
}

impl WorkerRecord {
    fn prove(&mut self) {
        self.proven = true;
        self.healthy = true;
        self.suspected = false;
        self.failed.clear();
        self.on_trial.clear();
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

    /// Guards against an empty, broken worker that takes one task after another.
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

    /// Guards against a broken worker that gets the same task again and again, which counts as one failure.
    #[test]
    fn a_failed_task_names_the_worker_to_avoid() {
        let worker = keys(1)[0];
        let mut suspicions = Suspicions::default();
        suspicions.failed(worker, &task(1), TimeMs(1));
        assert_eq!(suspicions.failed_on(&task(1)), [worker]);
        suspicions.ended(worker, &task(1), true);
        assert!(suspicions.failed_on(&task(1)).is_empty());
    }

    /// Guards against healthy workers that are suspected because of one bad task.
    #[test]
    fn a_task_that_fails_everywhere_is_not_held_against_workers() {
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
    fn an_unproven_worker_takes_few_tasks_until_one_has_lived() {
        let worker = keys(1)[0];
        let mut suspicions = Suspicions::default();
        (0..3).for_each(|n| suspicions.started(worker, &task(n), TimeMs(0)));
        assert!(!suspicions.trust_level(worker, TimeMs(1)).may_start());
        suspicions.tick(TimeMs(30_000));
        assert_eq!(suspicions.trust_level(worker, TimeMs(30_000)), TrustLevel::Trusted);
    }
}
