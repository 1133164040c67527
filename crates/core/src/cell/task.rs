//! The state machine of one task.

use serde::{Deserialize, Serialize};

use crate::{
    cell::CellEvent,
    ids::{AgentId, AttemptRef, TaskId},
    record::{Outcome, TaskSpec},
};

plain! {
    /// The agent that an attempt is assigned to.
    pub struct Runner {
        /// Id of the agent.
        pub agent: AgentId,
        /// The incarnation of the agent that reserved the capacity.
        pub agent_incarnation: u64,
        /// The offset of the assignment in the stream.
        pub offset: u64,
    }

    /// The phase of a task. A task never leaves a final phase, except that a late report replaces `Unknown`.
    pub enum TaskPhase {
        /// Waiting for the next attempt to be assigned.
        Pending,
        /// The current attempt is assigned to an agent.
        Assigned {
            /// The agent that runs the attempt.
            runner: Runner,
        },
        /// The current attempt is fenced. The next one may be assigned once the agent's lease must have expired.
        Fenced {
            /// The agent that may still run the attempt until its lease expires.
            runner: Runner,
        },
        /// Final: an attempt succeeded.
        Succeeded,
        /// Final: the task was rejected, or its last permitted attempt failed.
        Failed {
            /// The reason of the rejection or of the last failure.
            reason: String,
        },
        /// Final: the caller cancelled the task.
        Cancelled,
        /// Final: the task is non-idempotent, and it is unknown whether it ran.
        Unknown,
    }
}

impl TaskPhase {
    /// Whether the phase is final, so that no further attempt is assigned.
    pub fn is_ended(&self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed { .. } | Self::Cancelled | Self::Unknown)
    }
}

/// A task and its progress through attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Derived from the home cell and the caller's idempotency key.
    pub id: TaskId,
    /// The submission; never changes.
    pub spec: TaskSpec,
    /// The phase as of the last record of the task.
    pub phase: TaskPhase,
    /// The number of the current attempt, or of the next one while the task is pending. Counts from 1.
    pub attempt: u32,
    /// The number of attempts that ran and failed.
    pub failures: u32,
    /// The number of attempts that were fenced, or stopped after they had started.
    pub evictions: u32,
    /// The last checkpoint, from which the next attempt resumes. `None` if no attempt saved one.
    pub checkpoint: Option<String>,
    /// Whether the caller cancelled the task. The current attempt may still be running.
    pub cancel_requested: bool,
    /// The offset of the submission in the stream.
    pub submitted_offset: u64,
}

impl TaskSpec {
    /// Whether two submissions request the same work. Compares only what the caller chose: between two submissions the
    /// profile may have been published again, and a retry has a later deadline.
    pub fn same_work(&self, other: &Self) -> bool {
        self.service == other.service && self.profile == other.profile && self.payload == other.payload
    }
}

impl Task {
    pub(super) fn new(id: TaskId, spec: TaskSpec, submitted_offset: u64) -> Self {
        Self {
            id,
            spec,
            phase: TaskPhase::Pending,
            attempt: 1,
            failures: 0,
            evictions: 0,
            checkpoint: None,
            cancel_requested: false,
            submitted_offset,
        }
    }

    /// The agent of the current attempt, fenced or not. `None` while the task is pending and after it has ended.
    pub fn runner(&self) -> Option<&Runner> {
        match &self.phase {
            TaskPhase::Assigned { runner } | TaskPhase::Fenced { runner } => Some(runner),
            _ => None,
        }
    }

    /// The current attempt, or the next one while the task is pending.
    pub fn attempt_ref(&self) -> AttemptRef {
        AttemptRef::new(self.id.clone(), self.attempt)
    }

    /// The attempt number that an assignment must have to take effect. `None` if no attempt may be assigned.
    pub fn next_attempt(&self) -> Option<u32> {
        match self.phase {
            TaskPhase::Pending => Some(self.attempt),
            // A fenced attempt of a non-idempotent task may have completed its work, so there must be no further attempt.
            TaskPhase::Fenced { .. } if self.spec.idempotent && !self.cancel_requested => Some(self.attempt + 1),
            _ => None,
        }
    }

    pub(super) fn assign(&mut self, attempt: u32, runner: &Runner) -> bool {
        let accepted = self.next_attempt() == Some(attempt);
        if accepted {
            self.attempt = attempt;
            self.phase = TaskPhase::Assigned { runner: runner.clone() };
        }
        accepted
    }

    pub(super) fn fence(&mut self, attempt: u32) -> Option<Runner> {
        match &self.phase {
            TaskPhase::Assigned { runner } if self.attempt == attempt => {
                let runner = runner.clone();
                self.evictions += 1;
                self.phase = TaskPhase::Fenced { runner: runner.clone() };
                Some(runner)
            }
            _ => None,
        }
    }

    pub(super) fn stop(&mut self, attempt: u32, started: bool, checkpoint: Option<&str>) -> Option<CellEvent> {
        self.runner().filter(|_| self.attempt == attempt)?;
        let was_fenced = matches!(self.phase, TaskPhase::Fenced { .. });
        if started && !was_fenced {
            self.evictions += 1;
        }
        if let Some(checkpoint) = checkpoint {
            self.checkpoint = Some(checkpoint.to_owned());
        }
        if self.cancel_requested {
            return self.end(TaskPhase::Cancelled);
        }
        if started && !self.spec.idempotent && checkpoint.is_none() {
            return self.end(TaskPhase::Unknown);
        }
        let stopped = self.attempt_ref();
        self.return_to_pending();
        Some(CellEvent::Stopped { attempt: stopped })
    }

    pub(super) fn finish(&mut self, attempt: u32, outcome: &Outcome) -> Option<CellEvent> {
        let open = self.runner().is_some() || self.phase == TaskPhase::Unknown;
        if !open || self.attempt != attempt {
            return None;
        }
        match outcome {
            Outcome::Succeeded => self.end(TaskPhase::Succeeded),
            Outcome::Failed { reason } => self.fail(reason),
        }
    }

    pub(super) fn lose(&mut self, attempt: u32) -> Option<CellEvent> {
        let fenced = matches!(self.phase, TaskPhase::Fenced { .. }) && self.attempt == attempt;
        match (fenced, self.cancel_requested, self.spec.idempotent) {
            (false, _, _) => None,
            (true, _, false) => self.end(TaskPhase::Unknown),
            (true, true, true) => self.end(TaskPhase::Cancelled),
            (true, false, true) => None,
        }
    }

    pub(super) fn cancel(&mut self) -> Option<CellEvent> {
        if self.phase.is_ended() || self.cancel_requested {
            return None;
        }
        self.cancel_requested = true;
        match self.runner().cloned() {
            Some(runner) => Some(CellEvent::CancelRequested { attempt: self.attempt_ref(), runner }),
            None => self.end(TaskPhase::Cancelled),
        }
    }

    pub(super) fn reject(&mut self, reason: &str) -> Option<CellEvent> {
        (self.phase == TaskPhase::Pending).then(|| self.end(TaskPhase::Failed { reason: reason.to_owned() }))?
    }

    fn fail(&mut self, reason: &str) -> Option<CellEvent> {
        self.failures += 1;
        let retries = self.spec.idempotent && !self.cancel_requested && self.failures < self.spec.attempts;
        if !retries {
            return self.end(TaskPhase::Failed { reason: reason.to_owned() });
        }
        let stopped = self.attempt_ref();
        self.return_to_pending();
        Some(CellEvent::Stopped { attempt: stopped })
    }

    fn return_to_pending(&mut self) {
        self.attempt += 1;
        self.phase = TaskPhase::Pending;
    }

    fn end(&mut self, phase: TaskPhase) -> Option<CellEvent> {
        self.phase = phase.clone();
        Some(CellEvent::Ended { task: self.id.clone(), phase })
    }
}
