/*!
The worker on a host: it runs tasks under leases.

Every call carries the incarnation of the agent. The worker remembers the highest one that claimed it and refuses calls
with a lower one, so that an agent that was replaced has no effect any more. Leases run on the worker's own monotonic
clock: a call names the time of that clock at which the lease ends, and a task whose lease runs out is throttled to zero by the worker
itself. The clock goes on as long as the worker remembers who claimed it; one that has forgotten refuses calls until it is
claimed again. A renewal ends that and restores the share that the agent set last.
*/

use std::{fmt, sync::Arc};

use fescuelead_core::{ids::AttemptRef, units::Resources};
use serde::{Deserialize, Serialize};

pub mod http;

/// What a worker is asked to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The attempt.
    pub attempt: AttemptRef,
    /// The service whose code runs.
    pub service: String,
    /// The class of work that usage reports name.
    pub profile: String,
    /// What the task may use.
    pub resources: Resources,
    /// What the task is told.
    pub payload: Vec<u8>,
    /// Where it resumes.
    pub checkpoint: Option<String>,
    /// The end of the lease on the worker's clock, see [`WorkerReport::clock_ms`].
    pub lease_until_ms: u64,
}

/// Where a task stands on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum WorkerTaskState {
    /// It runs, perhaps throttled.
    Running,
    /// It did its work.
    Succeeded,
    /// It ran and failed.
    Failed {
        /// Why.
        reason: String,
    },
    /// It was stopped.
    Stopped {
        /// Where the next attempt can resume.
        checkpoint: Option<String>,
    },
}

/// One task as its worker reports it. Ended tasks are reported until [`WorkerApi::forget`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTask {
    /// The attempt.
    pub attempt: AttemptRef,
    /// The class of work.
    pub profile: String,
    /// What it may use.
    pub resources: Resources,
    /// Where it stands.
    pub state: WorkerTaskState,
    /// The share of its processor time that it may use, 0 to 100.
    pub throttle_percent: u8,
    /// A counter that grows while the task makes progress.
    pub progress: u64,
}

/// All that a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// What the host has for tasks.
    pub capacity: Resources,
    /// The worker's monotonic clock while it made the report. Leases end at times of this clock, so that a call that is
    /// delayed on its way, or whose sender is paused, does not make a lease longer.
    pub clock_ms: u64,
    /// The highest incarnation that claimed the worker.
    pub incarnation: u64,
    /// Its tasks.
    pub tasks: Vec<WorkerTask>,
}

/// The usage of one task over a past interval. Reports come late.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The attempt.
    pub attempt: AttemptRef,
    /// The class of work.
    pub profile: String,
    /// How long before the call the interval ended.
    pub age_ms: u64,
    /// The length of the interval.
    pub interval_ms: u64,
    /// Processor time used, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory used.
    pub memory_mib: u32,
    /// How much longer its work took than it does alone; 1.0 is undisturbed.
    pub slowdown: f64,
}

/// The worker of one host.
#[async_trait::async_trait]
pub trait WorkerApi: Send + Sync + 'static {
    /// Makes this agent the worker's owner under an incarnation that is higher than any before, and returns it with the
    /// state of the worker.
    ///
    /// # Errors
    ///
    /// Fails if the worker cannot be reached.
    async fn claim(&self) -> Result<WorkerReport, WorkerError>;

    /// Starts an attempt. Repeating the call for the same attempt does nothing. A start is refused if it takes effect
    /// only after its lease has run out, or after a [`stop`](Self::stop) or [`forget`](Self::forget) of the attempt.
    ///
    /// # Errors
    ///
    /// Fails if the worker cannot be reached, was claimed by a later agent, or refuses.
    async fn start(&self, incarnation: u64, task: &StartTask) -> Result<(), WorkerError>;

    /// Renews leases until `lease_until_ms` on the worker's clock. Attempts that have ended or that the worker does not know are passed over.
    ///
    /// # Errors
    ///
    /// Fails as [`start`](Self::start) does.
    async fn renew(&self, incarnation: u64, attempts: &[AttemptRef], lease_until_ms: u64) -> Result<(), WorkerError>;

    /// Lets a task use at most `percent` of its processor time; 0 freezes it.
    ///
    /// # Errors
    ///
    /// Fails as [`start`](Self::start) does.
    async fn throttle(&self, incarnation: u64, attempt: &AttemptRef, percent: u8) -> Result<(), WorkerError>;

    /// Saves the task's progress and returns where it can resume. The task goes on.
    ///
    /// # Errors
    ///
    /// Fails as [`start`](Self::start) does, or if the task has ended.
    async fn checkpoint(&self, incarnation: u64, attempt: &AttemptRef) -> Result<String, WorkerError>;

    /// Stops a task for good and returns how it ended. It may have finished before. An unknown attempt is an error, and
    /// a start of it that arrives later is refused, so that an attempt that was told to stop never runs.
    ///
    /// # Errors
    ///
    /// Fails as [`start`](Self::start) does.
    async fn stop(&self, incarnation: u64, attempt: &AttemptRef) -> Result<WorkerTaskState, WorkerError>;

    /// Drops an ended task from the report.
    ///
    /// # Errors
    ///
    /// Fails as [`start`](Self::start) does.
    async fn forget(&self, incarnation: u64, attempt: &AttemptRef) -> Result<(), WorkerError>;

    /// Lists all tasks.
    ///
    /// # Errors
    ///
    /// Fails if the worker cannot be reached.
    async fn report(&self) -> Result<WorkerReport, WorkerError>;

    /// Usage samples that have become known since the last call.
    ///
    /// # Errors
    ///
    /// Fails if the worker cannot be reached.
    async fn usage(&self) -> Result<Vec<UsageSample>, WorkerError>;
}

/// A worker that many parts of an agent share.
pub type SharedWorker = Arc<dyn WorkerApi>;

/// Says why a worker did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerError {
    kind: WorkerErrorKind,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum WorkerErrorKind {
    NotConnected { message: String },
    Unreachable { message: String },
    Superseded,
    UnknownTask,
    Refused { message: String },
}

impl WorkerError {
    /// No connection came about, so the call certainly had no effect.
    pub fn not_connected(message: impl Into<String>) -> Self {
        Self { kind: WorkerErrorKind::NotConnected { message: message.into() } }
    }

    /// No answer came; the call may have taken effect.
    pub fn unreachable(message: impl Into<String>) -> Self {
        Self { kind: WorkerErrorKind::Unreachable { message: message.into() } }
    }

    /// A later agent has claimed the worker.
    pub fn superseded() -> Self {
        Self { kind: WorkerErrorKind::Superseded }
    }

    /// The worker knows no such attempt.
    pub fn unknown_task() -> Self {
        Self { kind: WorkerErrorKind::UnknownTask }
    }

    /// The worker did not do it.
    pub fn refused(message: impl Into<String>) -> Self {
        Self { kind: WorkerErrorKind::Refused { message: message.into() } }
    }

    /// Whether the call was not sent because no connection came about.
    pub fn is_not_connected(&self) -> bool {
        matches!(self.kind, WorkerErrorKind::NotConnected { .. })
    }

    /// Whether the call may have taken effect.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.kind, WorkerErrorKind::Unreachable { .. })
    }

    /// Whether a later agent owns the worker.
    pub fn is_superseded(&self) -> bool {
        self.kind == WorkerErrorKind::Superseded
    }

    /// Whether the worker knows no such attempt.
    pub fn is_unknown_task(&self) -> bool {
        self.kind == WorkerErrorKind::UnknownTask
    }
}

impl fmt::Display for WorkerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            WorkerErrorKind::NotConnected { message } => {
                write!(f, "the worker cannot be reached ({message}); check its address and try again")
            }
            WorkerErrorKind::Unreachable { message } => {
                write!(f, "the worker gave no answer ({message}); check its address and try again")
            }
            WorkerErrorKind::Superseded => {
                f.write_str("a later agent has claimed the worker; stop this one or restart it to claim again")
            }
            WorkerErrorKind::UnknownTask => f.write_str("the worker knows no such attempt; list its tasks"),
            WorkerErrorKind::Refused { message } => write!(f, "the worker refused ({message})"),
        }
    }
}

impl std::error::Error for WorkerError {}
