//! What records change in a cell.

use crate::{
    cell::{Runner, TaskPhase},
    ids::{AgentId, AttemptRef, RequestKey, TaskId},
    profile::LeaseSettings,
    record::FenceReason,
};

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellEvent {
    /// A task was submitted.
    Submitted {
        /// The task.
        task: TaskId,
    },
    /// The same id was submitted before with another body.
    SubmissionConflict {
        /// The task.
        task: TaskId,
    },
    /// An assignment won.
    Assigned {
        /// The attempt.
        attempt: AttemptRef,
        /// Its agent.
        runner: Runner,
    },
    /// An assignment came too late or was for another attempt.
    AssignmentLost {
        /// The attempt.
        attempt: AttemptRef,
        /// The agent that holds a reservation that is no longer needed.
        agent: AgentId,
    },
    /// An attempt was fenced.
    Fenced {
        /// The attempt.
        attempt: AttemptRef,
        /// Its agent.
        runner: Runner,
        /// Why.
        reason: FenceReason,
    },
    /// An attempt is stopped, as reported by the worker; the task waits for its next attempt or has ended.
    Stopped {
        /// The attempt.
        attempt: AttemptRef,
    },
    /// A task has ended.
    Ended {
        /// The task.
        task: TaskId,
        /// How.
        phase: TaskPhase,
    },
    /// A running task shall be stopped because its caller cancelled it.
    CancelRequested {
        /// The running attempt.
        attempt: AttemptRef,
        /// Its agent.
        runner: Runner,
    },
    /// A request was claimed.
    Claimed {
        /// Its key.
        key: RequestKey,
    },
    /// A claimed request has an outcome.
    Resolved {
        /// Its key.
        key: RequestKey,
    },
    /// The fencing set changed.
    FencersChanged,
    /// Lease times were put in force.
    LeaseChanged {
        /// The lease times.
        lease: LeaseSettings,
    },
}
