//! Where one attempt stands at its agent.

use std::sync::Arc;

use crate::{
    ids::AttemptRef,
    record::{Outcome, TaskSpec},
    runner::{Report, WorkerEnd},
    units::TimeMs,
};

/// What the worker is told to run.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) spec: Arc<TaskSpec>,
    pub(super) checkpoint: Option<String>,
}

#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// Capacity is held; the assignment is not known to have won.
    Reserved,
    /// The assignment won; the start waits for a proof.
    Assigned(Job),
    /// The worker was told to start it. `retry_at` is set if its answer was lost.
    Starting { job: Job, retry_at: Option<TimeMs> },
    /// It may run.
    Running,
    /// Its lease has run out, or it was adopted and has no lease of this run yet.
    Frozen,
    /// The worker was told to stop it. `retry_at` is set if its answer was lost.
    Stopping { retry_at: Option<TimeMs> },
    /// It does not run and never will; no entry has accepted the report yet.
    Closed { report: Report, on_worker: bool },
}

#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) stage: Stage,
    /// The end of the lease that the worker was told last.
    pub(super) told_until: TimeMs,
    /// The share of processor time it may use while it is not frozen.
    pub(super) percent: u8,
    pub(super) stop_wanted: bool,
}

impl Attempt {
    pub(super) fn new(stage: Stage) -> Self {
        Self { stage, told_until: TimeMs(0), percent: 100, stop_wanted: false }
    }

    /// Whether the agent asks entries for proofs.
    pub(super) fn is_held(&self) -> bool {
        !matches!(self.stage, Stage::Reserved | Stage::Closed { .. })
    }

    pub(super) fn close(&mut self, report: Report, on_worker: bool) {
        self.stage = Stage::Closed { report, on_worker };
    }
}

/// The report of an attempt that never started, or that may have started and is gone.
pub(super) fn stopped(attempt: &AttemptRef, started: bool) -> Report {
    Report::Stopped { attempt: attempt.clone(), started, checkpoint: None }
}

/// The report of an attempt that ended on the worker.
pub(super) fn ended(attempt: &AttemptRef, end: WorkerEnd) -> Report {
    let attempt = attempt.clone();
    match end {
        WorkerEnd::Succeeded => Report::Finished { attempt, outcome: Outcome::Succeeded },
        WorkerEnd::Failed { reason } => Report::Finished { attempt, outcome: Outcome::Failed { reason } },
        WorkerEnd::Stopped { checkpoint } => Report::Stopped { attempt, started: true, checkpoint },
    }
}
