//! Job specifications: the steps of a job, each with a number of identical tasks.

use std::{fmt, ops::RangeInclusive, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::units::Resources;

/// Maximum number of tasks of a job over all its occurrences. A record of the store holds at most 256 KiB, and the
/// progress of a task takes about 40 bytes.
pub const MAX_TASKS: usize = 4_096;

/// Maximum length of the name of an image, in bytes. What is learned of images outlasts the jobs that name them.
const MAX_IMAGE_BYTES: usize = 128;

/// Maximum number of processors that a task requests, in thousandths of a core. The sum over the tasks of a host must
/// fit in 32 bits.
pub const MAX_TASK_CPU_MILLI: u32 = 1_024_000;

/// The memory that is set aside for the state of a task, in bytes: its progress in the replica and in the leader's scheduler, each with the
/// name of a host and a checkpoint.
pub const TASK_BYTES: usize = 256;

/// The memory that a process needs for a job beside its submission and its tasks, in bytes.
const JOB_OVERHEAD_BYTES: usize = 512;

/// The id of a job, chosen by the client and written as 16 lowercase hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The error for a string that is not a valid [`JobId`].
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

/// Identifies a task within an occurrence of a job. Written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The occurrence of a repeated job, counted from 0; 0 for a job that is not repeated.
    pub occurrence: u32,
    /// The index of the step in [`JobSpec::steps`].
    pub step: u32,
    /// The index of the task within its step, counted from 0.
    pub index: u32,
}

impl TaskRef {
    /// The tasks that start together with this one: all members if it is a member of a gang, otherwise the task alone.
    pub fn starting_together(&self, gang: bool) -> RangeInclusive<Self> {
        if gang { Self { index: 0, ..*self }..=Self { index: u32::MAX, ..*self } } else { *self..=*self }
    }
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// The error for a string that is not a valid [`TaskRef`].
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
    /// The operator's settings of a queue.
    pub struct QueueSettings {
        /// The service whose hosts run the tasks.
        pub service: String,
        /// Jobs of a lower number are scheduled first; 0 is the most urgent.
        pub priority: u8,
        /// The number of failed runs of one task at which its job fails.
        pub max_failures: u32,
        /// The time that a job may take, in percent of the estimated duration of its critical path.
        pub stretch_percent: u32,
        /// The time that a job may take beyond that, in milliseconds.
        pub latency_ms: u64,
    }

    /// The schedule of a repeated job.
    pub struct Repeat {
        /// The number of occurrences, at least 1.
        pub count: u32,
        /// When the first occurrence is due, in milliseconds since the Unix epoch.
        pub first_unix_ms: u64,
        /// The time between consecutive occurrences, in milliseconds.
        pub interval_ms: u64,
    }

    /// A step of a job: a number of identical tasks.
    #[derive(Default)]
    pub struct StepSpec {
        /// The number of tasks in each occurrence, at least 1.
        pub tasks: u32,
        /// The resources that one task requests.
        pub resources: Resources,
        /// The client's rough estimate of the run time of one task, in milliseconds.
        pub estimate_ms: u64,
        /// The indexes of the earlier steps whose tasks must all succeed before this step starts.
        pub after: Vec<u32>,
        /// Whether the tasks save checkpoints, so that a new run resumes where the last one stopped.
        pub checkpoints: bool,
        /// Whether the tasks are gang-scheduled: all of them run at the same time or none does.
        pub gang: bool,
        /// Whether the tasks run slower when they are spread over several racks.
        pub same_rack: bool,
        /// A label that a host must have; any host will do if absent.
        pub label: Option<String>,
        /// The rack that holds the input data, if there is one; tasks run slower on other racks.
        pub rack: Option<String>,
        /// The maximum number of tasks of one occurrence on one host; unlimited if absent.
        pub per_host: Option<u32>,
        /// Whether the tasks run until the job is cancelled. Failed runs of such tasks never fail the job.
        pub long_running: bool,
        /// The bound on the tail latency in milliseconds; set only for tasks that serve users.
        pub tail_target_ms: Option<u32>,
        /// Whether the tasks use only processor time left over by other tasks; their processors do not count as
        /// committed.
        pub background: bool,
        /// The image that the tasks run. Tasks of the same image cause the same interference and are equally sensitive
        /// to it.
        pub image: Option<String>,
    }

    /// An accepted job.
    pub struct JobSpec {
        /// The name of the queue that the job was submitted to.
        pub queue: String,
        /// The settings of the queue at acceptance, which apply to the job after the queue has been removed.
        pub settings: QueueSettings,
        /// When the job was accepted, in milliseconds since the Unix epoch.
        pub accepted_unix_ms: u64,
        /// The input of the tasks, which the scheduler passes on without interpreting it.
        pub payload: String,
        /// The steps; a step can depend on earlier ones only.
        pub steps: Vec<StepSpec>,
        /// The schedule of a repeated job; absent if the job runs once.
        pub repeat: Option<Repeat>,
    }
}

/// The reason why a job specification is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The job has no steps, or a step has no tasks.
    #[error("step {step} has no tasks; give each job a step and each step a task")]
    Empty {
        /// The index of the step; 0 if there are no steps.
        step: usize,
    },
    /// A step depends on itself or on a later one.
    #[error("step {step} depends on step {on}; a step can depend on earlier ones only")]
    Order {
        /// The index of the dependent step.
        step: usize,
        /// The index of the step that it depends on.
        on: u32,
    },
    /// A task requests more than [`MAX_TASK_CPU_MILLI`].
    #[error(
        "a task of step {step} requests {cpu_milli} thousandths of a core; no host has more than {MAX_TASK_CPU_MILLI}"
    )]
    TooManyProcessors {
        /// The index of the step.
        step: usize,
        /// The processors that a task requests, in thousandths of a core.
        cpu_milli: u32,
    },
    /// The job has more than [`MAX_TASKS`] tasks.
    #[error("the job has {tasks} tasks; split it into jobs of at most {MAX_TASKS}")]
    TooLarge {
        /// The number of tasks over all occurrences.
        tasks: usize,
    },
}

impl StepSpec {
    /// Sets the image. A name of more than 128 bytes is replaced by its 128-bit XXH3 hash: images are only compared.
    pub fn with_image(self, name: Option<String>) -> Self {
        let image = name.map(|name| {
            if name.len() <= MAX_IMAGE_BYTES { name } else { format!("xxh3:{:032x}", xxh3_128(name.as_bytes())) }
        });
        Self { image, ..self }
    }

    /// The memory of the step in bytes, without its tasks.
    fn memory_bytes(&self) -> usize {
        let texts = [&self.label, &self.rack, &self.image].into_iter().flatten().map(String::len).sum::<usize>();
        size_of::<Self>() + texts + size_of_val(self.after.as_slice())
    }

    /// The expected duration of the slowest task of the step, in milliseconds. The estimate is that of a usual task, and the
    /// slowest of many takes longer: 1.6 times as long of 10 tasks, and 1.9 times of 40, if their durations differ by about
    /// a third.
    pub fn slowest_task_ms(&self) -> u64 {
        self.slowest_of_ms(self.estimate_ms)
    }

    /// The same as [`Self::slowest_task_ms`] if a usual task takes `duration_ms`.
    pub fn slowest_of_ms(&self, duration_ms: u64) -> u64 {
        (duration_ms as f64 * (1.0 + f64::from(self.tasks.max(1)).ln() / 4.0)) as u64
    }

    /// The estimated work of one task, in milliseconds of a core; at least 1.
    pub fn task_work(&self) -> u64 {
        self.work_of(self.estimate_ms)
    }

    /// The work of one task that takes `duration_ms`, in milliseconds of a core; at least 1.
    pub fn work_of(&self, duration_ms: u64) -> u64 {
        (u64::from(self.resources.cpu_milli).saturating_mul(duration_ms) / 1_000).max(1)
    }
}

impl JobSpec {
    /// The same job without its payload, which only starts need.
    pub fn without_payload(self: Arc<Self>) -> Arc<Self> {
        if self.payload.is_empty() {
            return self;
        }
        Arc::new(Self { payload: String::new(), ..Self::clone(&self) })
    }

    /// The estimated work of an occurrence, in milliseconds of a core.
    pub fn work(&self) -> u64 {
        self.steps
            .iter()
            .fold(0, |sum: u64, step| sum.saturating_add(step.task_work().saturating_mul(u64::from(step.tasks))))
    }

    /// The memory that a process sets aside for the job while it is live, in bytes. All of its tasks may start, so they
    /// count in full from the beginning. Linear in the number of steps.
    pub fn memory_bytes(&self) -> usize {
        let texts = self.queue.len() + self.settings.service.len() + self.payload.len();
        let steps: usize = self.steps.iter().map(StepSpec::memory_bytes).sum();
        let tasks = self.steps.iter().fold(0_usize, |sum, step| sum.saturating_add(step.tasks as usize));
        let tasks = tasks.saturating_mul(self.occurrences() as usize);
        let fixed = size_of::<Self>() + JOB_OVERHEAD_BYTES + texts + steps;
        fixed.saturating_add(tasks.saturating_mul(TASK_BYTES))
    }

    /// The number of occurrences: 1 for a job that is not repeated.
    pub fn occurrences(&self) -> u32 {
        self.repeat.as_ref().map_or(1, |repeat| repeat.count.max(1))
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch; `None` if the job is not repeated and may start
    /// at once.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        let repeat = self.repeat.as_ref()?;
        Some(repeat.first_unix_ms.saturating_add(repeat.interval_ms.saturating_mul(u64::from(occurrence))))
    }

    /// The estimated duration of the longest chain of dependent steps, in milliseconds. A step takes as long as its slowest
    /// task. Linear in the number of dependencies.
    pub fn critical_path_ms(&self) -> u64 {
        let mut end_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start_ms = step.after.iter().filter_map(|&on| end_ms.get(on as usize)).max().copied().unwrap_or(0);
            end_ms.push(start_ms.saturating_add(step.slowest_task_ms()));
        }
        end_ms.into_iter().max().unwrap_or(0)
    }

    /// The time by which an occurrence should end, in milliseconds since the Unix epoch: its start plus
    /// `stretch_percent` of the critical path plus `latency_ms`.
    pub fn objective_unix_ms(&self, occurrence: u32, settings: &QueueSettings) -> u64 {
        let start = self.due_unix_ms(occurrence).unwrap_or(self.accepted_unix_ms);
        let span = self.critical_path_ms().saturating_mul(u64::from(settings.stretch_percent)) / 100;
        start.saturating_add(span).saturating_add(settings.latency_ms)
    }

    /// Checks that every step has tasks, depends on earlier steps only and requests no more processors than any host can
    /// have, and that the job has at most [`MAX_TASKS`] tasks.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
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
            let cpu_milli = spec.resources.cpu_milli;
            if cpu_milli > MAX_TASK_CPU_MILLI {
                return Err(SpecError::TooManyProcessors { step, cpu_milli });
            }
        }
        let tasks_per_occurrence = self.steps.iter().fold(0_usize, |sum, step| sum.saturating_add(step.tasks as usize));
        let tasks = tasks_per_occurrence.saturating_mul(self.occurrences() as usize);
        if tasks > MAX_TASKS {
            return Err(SpecError::TooLarge { tasks });
        }
        Ok(())
    }
}
