//! State of one attempt at its agent.

use std::sync::Arc;

use crate::{
    ids::AttemptRef,
    record::{Outcome, TaskSpec},
    runner::{Report, WorkerEnd},
    units::TimeMs,
};

/// The task that the worker is to start, and the checkpoint at which it resumes.
#[derive(Debug, Clone)]
pub(super) struct StartOrder {
    pub(super) spec: Arc<TaskSpec>,
    pub(super) checkpoint: Option<String>,
}

#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// Capacity is reserved; it is not known yet whether the assignment won.
    Reserved,
    /// The assignment won; the start waits for a proof.
    Assigned(StartOrder),
    /// A start was sent to the worker. `retry_at` is set if its response was lost.
    Starting { order: StartOrder, retry_at: Option<TimeMs> },
    /// The worker runs it under a valid lease.
    Running,
    /// Its lease has expired, or it was adopted and has no lease of this run yet.
    Frozen,
    /// A stop was sent to the worker. `retry_at` is set if its response was lost.
    Stopping { retry_at: Option<TimeMs> },
    /// It does not run and never will, but no entry has accepted the report yet. `on_worker` is true if the worker still
    /// lists it.
    Closed { report: Report, on_worker: bool },
}

#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) stage: Stage,
    /// The end of the lease in the last start or renewal sent to the worker.
    pub(super) sent_until: TimeMs,
    /// Limit of its processor time while it is not frozen, 1 to 100 percent.
    pub(super) percent: u8,
    pub(super) stop_requested: bool,
}

impl Attempt {
    pub(super) fn new(stage: Stage) -> Self {
        Self { stage, sent_until: TimeMs(0), percent: 100, stop_requested: false }
    }

    /// Whether the agent requests proofs for it from the entries.
    pub(super) fn needs_proof(&self) -> bool {
        !matches!(self.stage, Stage::Reserved | Stage::Closed { .. })
    }

    pub(super) fn close(&mut self, report: Report, on_worker: bool) {
        self.stage = Stage::Closed { report, on_worker };
    }
}

/// The report of an attempt that has stopped; `started` is false only if it certainly never started.
pub(super) fn stopped(attempt: &AttemptRef, started: bool) -> Report {
    Report::Stopped { attempt: attempt.clone(), started, checkpoint: None }
}

/// The report of an attempt whose end the worker reported.
pub(super) fn ended(attempt: &AttemptRef, end: WorkerEnd) -> Report {
    let attempt = attempt.clone();
    match end {
        WorkerEnd::Succeeded => Report::Finished { attempt, outcome: Outcome::Succeeded },
        WorkerEnd::Failed { reason } => Report::Finished { attempt, outcome: Outcome::Failed { reason } },
        WorkerEnd::Stopped { checkpoint } => Report::Stopped { attempt, started: true, checkpoint },
    }
}
