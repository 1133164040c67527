//! What a client submits: a job of steps, each a number of equal tasks.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::units::Resources;

/// The most tasks of one job, over all its occurrences. A record of the store holds 256 KiB, and the progress of a task
/// takes about 40 bytes.
pub const MAX_TASKS: usize = 4_096;

/// The id of a job, chosen by the client: 64 bits, written as 16 lowercase hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A text that is no job id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a job id has 16 lowercase hexadecimal digits; choose such an id")]
pub struct JobIdError;

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, JobIdError> {
        let digits = text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        if text.len() != 16 || !digits {
            return Err(JobIdError);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| JobIdError)
    }
}

/// One task of a job: an index within a step of one occurrence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// The occurrence of a repeated job, counted from 0; 0 for others.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u32,
    /// The task within its step, counted from 0.
    pub index: u32,
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// A text that is no task name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a task name has the form JOB.OCCURRENCE.STEP.INDEX")]
pub struct TaskRefError;

impl FromStr for TaskRef {
    type Err = TaskRefError;

    fn from_str(text: &str) -> Result<Self, TaskRefError> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(TaskRefError);
        let job = part()?.parse().map_err(|_| TaskRefError)?;
        let mut number = || part()?.parse().map_err(|_| TaskRefError);
        let (occurrence, step, index) = (number()?, number()?, number()?);
        parts.next().is_none().then_some(Self { job, occurrence, step, index }).ok_or(TaskRefError)
    }
}

plain! {
    /// What an operator has set for a queue.
    pub struct QueueSettings {
        /// The service whose hosts run the tasks.
        pub service: String,
        /// 0 comes first.
        pub priority: u8,
        /// How many runs of a task may fail before its job has failed.
        pub max_failures: u32,
        /// By how much a job may take longer than its longest chain of tasks, in percent of the chain.
        pub stretch_percent: u32,
        /// The latency that a job may have beyond that, in milliseconds.
        pub latency_ms: u64,
    }

    /// When the occurrences of a repeated job are due.
    pub struct Repeat {
        /// How many occurrences there are, at least 1.
        pub count: u32,
        /// When the first is due, in milliseconds since 1970.
        pub first_unix_ms: u64,
        /// The time between two in milliseconds.
        pub interval_ms: u64,
    }

    /// A number of equal tasks.
    #[derive(Default)]
    pub struct StepSpec {
        /// How many tasks there are.
        pub tasks: u32,
        /// What one task needs.
        pub resources: Resources,
        /// A rough estimate of the run time of a task in milliseconds.
        pub estimate_ms: u64,
        /// The earlier steps whose tasks must all have succeeded.
        pub after: Vec<u32>,
        /// Whether the tasks save checkpoints.
        pub checkpoints: bool,
        /// Whether the tasks only work together, all of one run at the same time.
        pub gang: bool,
        /// Whether the tasks are slowed when they run on more than one rack.
        pub same_rack: bool,
        /// A label that a host must have.
        pub label: Option<String>,
        /// The rack where the data is; elsewhere the tasks are slowed.
        pub rack: Option<String>,
        /// The most tasks of one occurrence on one host.
        pub per_host: Option<u32>,
        /// Whether the tasks run until the job is cancelled.
        pub long_running: bool,
        /// The bound on the tail latency of tasks that serve users, in milliseconds.
        pub tail_target_ms: Option<u32>,
        /// Whether the tasks use only processor time that others leave; their processors do not count as committed.
        pub background: bool,
        /// What the tasks run. Tasks of one image disturb others, and are disturbed, alike.
        pub image: Option<String>,
    }

    /// A job as it was accepted.
    pub struct JobSpec {
        /// The name of the queue.
        pub queue: String,
        /// The settings of the queue when the job was accepted. They stay in force if the queue is removed.
        pub settings: QueueSettings,
        /// When it was accepted, in milliseconds since 1970.
        pub accepted_unix_ms: u64,
        /// What the tasks are told to do; opaque.
        pub payload: String,
        /// The steps.
        pub steps: Vec<StepSpec>,
        /// Set for a job that is repeated.
        pub repeat: Option<Repeat>,
    }
}

/// Why a job cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// There are no steps, or a step without tasks.
    #[error("step {step} has no tasks; give each job a step and each step a task")]
    Empty {
        /// The step.
        step: usize,
    },
    /// A step depends on itself or on a later one.
    #[error("step {step} depends on step {on}; a step can depend on earlier ones only")]
    Order {
        /// The step.
        step: usize,
        /// The step it depends on.
        on: u32,
    },
    /// There are more than [`MAX_TASKS`] tasks.
    #[error("the job has {tasks} tasks; split it into jobs of at most {MAX_TASKS}")]
    TooLarge {
        /// The number of tasks over all occurrences.
        tasks: usize,
    },
}

impl JobSpec {
    /// The number of occurrences: 1 for a job that is not repeated.
    pub fn occurrences(&self) -> u32 {
        self.repeat.as_ref().map_or(1, |repeat| repeat.count.max(1))
    }

    /// When an occurrence is due, in milliseconds since 1970; `None` for at once.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let repeat = self.repeat.as_ref()?;
        Some(repeat.first_unix_ms.saturating_add(repeat.interval_ms.saturating_mul(u64::from(occurrence))))
    }

    /// The longest chain of steps that depend on each other, by the estimates, in milliseconds. Linear in the dependencies.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|&on| ends.get(on as usize)).max().copied().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// When an occurrence should have ended, in milliseconds since 1970.
    pub fn objective_unix_ms(&self, occurrence: u32, settings: &QueueSettings) -> u64 {
        let start = self.due_unix_ms(occurrence).unwrap_or(self.accepted_unix_ms);
        let span = self.critical_path_ms().saturating_mul(u64::from(settings.stretch_percent)) / 100;
        start.saturating_add(span).saturating_add(settings.latency_ms)
    }

    /// Checks the steps.
    ///
    /// # Errors
    ///
    /// See [`SpecError`].
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::Empty { step: 0 });
        }
        for (step, spec) in self.steps.iter().enumerate() {
            if spec.tasks == 0 {
                return Err(SpecError::Empty { step });
            }
            if let Some(&on) = spec.after.iter().find(|&&on| on as usize >= step) {
                return Err(SpecError::Order { step, on });
            }
        }
        let a_round = self.steps.iter().fold(0_usize, |sum, step| sum.saturating_add(step.tasks as usize));
        let tasks = a_round.saturating_mul(self.occurrences() as usize);
        if tasks > MAX_TASKS {
            return Err(SpecError::TooLarge { tasks });
        }
        Ok(())
    }
}
