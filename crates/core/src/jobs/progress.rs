//! The stored state of a job: which tasks have succeeded, and where the others may be running.

use std::collections::BTreeMap;

use super::{
    hosts::HostName,
    spec::{JobSpec, TaskRef},
};

mod tasks;

pub use tasks::Tasks;

/// The highest number of a run that is believed. A task runs a few times; a number that is much higher is from another
/// writer of the store, and would leave no number for the next run.
pub const MAX_RUN: u32 = u32::MAX / 2;

plain! {
    /// The state of a job.
    #[derive(Copy)]
    pub enum Phase {
        /// At least one task has yet to succeed.
        Active,
        /// All tasks have succeeded.
        Completed,
        /// A task has reached the failure limit of the queue, or was given up because endpoints crash under it.
        Failed,
        /// A client has cancelled the job.
        Cancelled,
    }

    /// Whether a task waits, may be running or has succeeded.
    pub enum TaskState {
        /// No run exists; the task waits for its dependencies or for a host.
        Waiting,
        /// The latest run may exist on this incarnation of a host, and no other run exists anywhere.
        Assigned {
            /// The host that the run was assigned to.
            host: HostName,
            /// The incarnation of the host's endpoint, which increases with each restart.
            incarnation: u64,
        },
        /// A run has succeeded.
        Done,
    }

    /// The stored state of a task.
    pub struct TaskProgress {
        /// Whether a run of the task may exist or has succeeded.
        pub state: TaskState,
        /// The number of the latest run; 0 before the first.
        pub run: u32,
        /// The number of failed runs.
        pub failures: u32,
        /// The latest known checkpoint; absent if none was saved, and once the task has succeeded.
        pub checkpoint: Option<String>,
    }

    /// The stored state of a job.
    pub struct JobProgress {
        /// Whether the job is active, or how it ended.
        pub phase: Phase,
        /// Whether a task is known to have started. Earlier versions set it when the first task is assigned to a host.
        pub begun: bool,
        /// The tasks, indexed by occurrence, step and position within the step.
        pub occurrences: Vec<Vec<Tasks>>,
        /// The number of endpoints that crashed right after they had started the task. Tasks without any are left out.
        /// Absent in records of earlier versions.
        #[serde(deserialize_with = "crate::trailing::or_default")]
        pub crashes: BTreeMap<TaskRef, u32>,
    }
}

impl TaskProgress {
    /// The state of a task that has never run.
    pub const fn new() -> Self {
        Self { state: TaskState::Waiting, run: 0, failures: 0, checkpoint: None }
    }

    /// Whether the task is assigned to this incarnation of a host under this run number.
    pub fn is_assigned_to(&self, on_host: &HostName, on_incarnation: u64, run: u32) -> bool {
        self.run == run
            && matches!(
                &self.state,
                TaskState::Assigned { host, incarnation } if host == on_host && *incarnation == on_incarnation
            )
    }

    /// Whether the task is assigned to this incarnation of a host or to an earlier one, under this run number. An
    /// incarnation may run what was meant for the one before.
    pub fn may_run_on(&self, on_host: &HostName, on_incarnation: u64, run: u32) -> bool {
        self.run == run
            && matches!(
                &self.state,
                TaskState::Assigned { host, incarnation } if host == on_host && *incarnation <= on_incarnation
            )
    }
}

impl Default for TaskProgress {
    fn default() -> Self {
        Self::new()
    }
}

impl JobProgress {
    /// The state of a job before its first run. Linear in the number of steps of all occurrences.
    pub fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps.iter().map(|step| Tasks::new(step.tasks as usize)).collect();
        Self {
            phase: Phase::Active,
            begun: false,
            occurrences: vec![steps; spec.occurrences() as usize],
            crashes: BTreeMap::new(),
        }
    }

    /// The state of a task; `None` if the job has no such task.
    pub fn task(&self, task: &TaskRef) -> Option<&TaskProgress> {
        self.occurrences.get(task.occurrence as usize)?.get(task.step as usize)?.get(task.index as usize)
    }

    /// The state of a task for modification; `None` if the job has no such task.
    pub fn task_mut(&mut self, task: &TaskRef) -> Option<&mut TaskProgress> {
        self.occurrences.get_mut(task.occurrence as usize)?.get_mut(task.step as usize)?.get_mut(task.index as usize)
    }

    /// Keeps a checkpoint for a task or, if it is a member of a gang, for all members. Linear in the number of members.
    pub fn keep_checkpoint(&mut self, task: &TaskRef, gang: bool, checkpoint: &str) {
        let steps = self.occurrences.get_mut(task.occurrence as usize);
        let Some(tasks) = steps.and_then(|steps| steps.get_mut(task.step as usize)) else { return };
        let members = tasks.iter_mut().enumerate().filter(|(index, _)| gang || *index == task.index as usize);
        members.for_each(|(_, member)| member.checkpoint = Some(checkpoint.to_owned()));
    }

    /// This progress without some checkpoints, the largest first, that together have at least `bytes` bytes; without any if they have
    /// less. A task without its checkpoint starts from the beginning, if a later leader starts it again.
    pub fn with_fewer_checkpoints(&self, bytes: usize) -> Self {
        let mut reduced = self.clone();
        let tasks = reduced.occurrences.iter_mut().flatten().flat_map(Tasks::started_mut);
        let mut checkpoints: Vec<_> = tasks.map(|task| &mut task.checkpoint).filter(|saved| saved.is_some()).collect();
        checkpoints.sort_by_key(|saved| std::cmp::Reverse(saved.as_ref().map_or(0, String::len)));
        let mut removed_bytes = 0;
        for checkpoint in checkpoints {
            if removed_bytes >= bytes {
                break;
            }
            removed_bytes += checkpoint.take().map_or(0, |saved| saved.len());
        }
        reduced
    }

    /// Whether a crash was counted against a task or, if it is a member of a gang, against any member. All members of a gang
    /// start together, so that each of them may be the cause of a crash.
    pub fn has_counted_crash(&self, task: &TaskRef, gang: bool) -> bool {
        self.crashes.range(task.starting_together(gang)).next().is_some()
    }

    /// Whether all tasks of a step have succeeded in an occurrence; `false` if there is no such step.
    pub fn step_done(&self, occurrence: u32, step: u32) -> bool {
        self.occurrences
            .get(occurrence as usize)
            .and_then(|steps| steps.get(step as usize))
            .is_some_and(|tasks| tasks.iter().all(|task| task.state == TaskState::Done))
    }

    /// Whether a run of any task may exist.
    pub fn has_assigned_tasks(&self) -> bool {
        self.occurrences.iter().flatten().flatten().any(|task| matches!(task.state, TaskState::Assigned { .. }))
    }

    /// Drops the checkpoints, which a job that has ended does not need.
    pub fn drop_checkpoints(&mut self) {
        let started = self.occurrences.iter_mut().flatten().flat_map(Tasks::started_mut);
        started.for_each(|task| task.checkpoint = None);
    }

    /// Whether all tasks of all occurrences have succeeded.
    pub fn all_done(&self) -> bool {
        self.occurrences.iter().flatten().flatten().all(|task| task.state == TaskState::Done)
    }

    /// Whether the numbers of all runs are at most [`MAX_RUN`].
    pub fn has_valid_runs(&self) -> bool {
        self.occurrences.iter().flatten().flatten().all(|task| task.run <= MAX_RUN)
    }

    /// Whether the numbers of occurrences, steps and tasks are those of `spec`.
    pub fn matches_spec(&self, spec: &JobSpec) -> bool {
        self.occurrences.len() == spec.occurrences() as usize
            && self.occurrences.iter().all(|steps| {
                steps.len() == spec.steps.len()
                    && steps.iter().zip(&spec.steps).all(|(tasks, step)| tasks.len() == step.tasks as usize)
            })
    }
}
