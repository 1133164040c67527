//! The changes that [`CellState::apply`](crate::cell::CellState::apply) reports to its caller.

use crate::{
    cell::{Runner, TaskPhase},
    ids::{AgentId, AttemptRef, RequestKey, TaskId},
    profile::LeaseSettings,
    record::FenceReason,
};

/// A state change caused by one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellEvent {
    /// The first submission of a task took effect.
    Submitted {
        /// The submitted task, now pending.
        task: TaskId,
    },
    /// A submission was ignored because the id is in use by a task with another service, profile or payload.
    SubmissionConflict {
        /// The id that both submissions use.
        task: TaskId,
    },
    /// An assignment took effect.
    Assigned {
        /// The assigned attempt.
        attempt: AttemptRef,
        /// The agent that runs the attempt.
        runner: Runner,
    },
    /// An assignment was ignored: another one came first, the attempt is not the next one, or the quota is used up.
    AssignmentLost {
        /// The attempt named by the assignment.
        attempt: AttemptRef,
        /// The agent whose reservation can be released.
        agent: AgentId,
    },
    /// The current attempt of a task was fenced.
    Fenced {
        /// The fenced attempt.
        attempt: AttemptRef,
        /// The agent that may still run the attempt until its lease expires.
        runner: Runner,
        /// The reason given by the writer of the fence.
        reason: FenceReason,
    },
    /// The worker reported that an attempt has stopped or failed, and the task is pending again.
    Stopped {
        /// The attempt that stopped.
        attempt: AttemptRef,
    },
    /// A task has reached a final phase.
    Ended {
        /// The task that ended.
        task: TaskId,
        /// The final phase.
        phase: TaskPhase,
    },
    /// The caller cancelled a task whose current attempt must be stopped first.
    CancelRequested {
        /// The attempt to stop.
        attempt: AttemptRef,
        /// The agent that runs the attempt.
        runner: Runner,
    },
    /// A request was claimed.
    Claimed {
        /// Idempotency key of the request.
        key: RequestKey,
    },
    /// The outcome of a claimed request was recorded.
    Resolved {
        /// Idempotency key of the request.
        key: RequestKey,
    },
    /// A member, a candidate or an acknowledgement of the fencing set changed.
    FencersChanged,
    /// Lease settings of a newer configuration took effect.
    LeaseChanged {
        /// The settings now in force.
        lease: LeaseSettings,
    },
}
