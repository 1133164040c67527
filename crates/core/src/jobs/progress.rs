//! What is kept of a job: which tasks have succeeded and where the others may be running.

use super::{
    hosts::HostName,
    spec::{JobSpec, TaskRef},
};

plain! {
    /// How far a job is.
    #[derive(Copy)]
    pub enum Phase {
        /// Some task has not ended.
        Active,
        /// All tasks have succeeded.
        Completed,
        /// A task has failed as often as the queue allows.
        Failed,
        /// A client has cancelled the job.
        Cancelled,
    }

    /// Where a task is.
    pub enum TaskState {
        /// No run of the task exists.
        Waiting,
        /// The latest run may exist on this incarnation of a host, and no other run does.
        Assigned {
            /// The host.
            host: HostName,
            /// The incarnation of the host's endpoint.
            incarnation: u64,
        },
        /// A run has succeeded.
        Done,
    }

    /// What is kept of a task.
    pub struct TaskProgress {
        /// Where it is.
        pub state: TaskState,
        /// The number of the latest run; 0 before the first.
        pub run: u32,
        /// How many runs have failed.
        pub failures: u32,
        /// The latest checkpoint that is known.
        pub checkpoint: Option<String>,
    }

    /// What is kept of a job.
    pub struct JobProgress {
        /// How far it is.
        pub phase: Phase,
        /// Whether any task has been assigned yet.
        pub begun: bool,
        /// The tasks of every occurrence, by step and index.
        pub occurrences: Vec<Vec<Vec<TaskProgress>>>,
    }
}

impl TaskProgress {
    /// A task that has not run.
    pub fn new() -> Self {
        Self { state: TaskState::Waiting, run: 0, failures: 0, checkpoint: None }
    }

    /// Whether run `run` on this incarnation of `host` is the one that is assigned.
    pub fn is_assigned_to(&self, on: &HostName, at: u64, run: u32) -> bool {
        self.run == run
            && matches!(&self.state, TaskState::Assigned { host, incarnation } if host == on && *incarnation == at)
    }
}

impl Default for TaskProgress {
    fn default() -> Self {
        Self::new()
    }
}

impl JobProgress {
    /// A job of which no task has run.
    pub fn new(spec: &JobSpec) -> Self {
        let steps = spec.steps.iter().map(|step| vec![TaskProgress::new(); step.tasks as usize]).collect();
        Self { phase: Phase::Active, begun: false, occurrences: vec![steps; spec.occurrences() as usize] }
    }

    /// The progress of a task, if the job has it.
    pub fn task(&self, task: &TaskRef) -> Option<&TaskProgress> {
        self.occurrences.get(task.occurrence as usize)?.get(task.step as usize)?.get(task.index as usize)
    }

    /// The progress of a task, if the job has it.
    pub fn task_mut(&mut self, task: &TaskRef) -> Option<&mut TaskProgress> {
        self.occurrences.get_mut(task.occurrence as usize)?.get_mut(task.step as usize)?.get_mut(task.index as usize)
    }

    /// Whether all tasks of a step of one occurrence have succeeded.
    pub fn step_done(&self, occurrence: u32, step: u32) -> bool {
        self.occurrences
            .get(occurrence as usize)
            .and_then(|steps| steps.get(step as usize))
            .is_some_and(|tasks| tasks.iter().all(|task| task.state == TaskState::Done))
    }

    /// Whether all tasks have succeeded.
    pub fn all_done(&self) -> bool {
        self.occurrences.iter().flatten().flatten().all(|task| task.state == TaskState::Done)
    }

    /// Whether the tasks have the shape that `spec` gives them.
    pub fn matches_spec(&self, spec: &JobSpec) -> bool {
        self.occurrences.len() == spec.occurrences() as usize
            && self.occurrences.iter().all(|steps| {
                steps.len() == spec.steps.len()
                    && steps.iter().zip(&spec.steps).all(|(tasks, step)| tasks.len() == step.tasks as usize)
            })
    }
}
