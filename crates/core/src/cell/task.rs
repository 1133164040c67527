//! One task and the rules by which records change it.

use serde::{Deserialize, Serialize};

use crate::{
    cell::CellEvent,
    ids::{AgentId, AttemptRef, TaskId},
    record::{Outcome, TaskSpec},
};

data_types! {
    /// The agent that an attempt belongs to.
    pub struct Runner {
        /// The agent.
        pub agent: AgentId,
        /// The run of the agent that reserved the capacity.
        pub agent_incarnation: u64,
        /// The offset of the assignment.
        pub offset: u64,
    }

    /// Where a task stands.
    pub enum TaskPhase {
        /// It waits for its next attempt.
        Pending,
        /// Its current attempt belongs to an agent.
        Assigned {
            /// The agent.
            runner: Runner,
        },
        /// Its current attempt is fenced; the next one may be assigned after the wait.
        Fenced {
            /// The agent that may still run it for a while.
            runner: Runner,
        },
        /// It did its work.
        Succeeded,
        /// It ran and failed in all its attempts.
        Failed {
            /// The reason of the last attempt.
            reason: String,
        },
        /// Its caller cancelled it.
        Cancelled,
        /// It is non-idempotent, and it is unknown whether it ran.
        Unknown,
    }
}

impl TaskPhase {
    /// Whether the task will not run again.
    pub fn is_ended(&self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed { .. } | Self::Cancelled | Self::Unknown)
    }
}

/// A task in its cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Its id.
    pub id: TaskId,
    /// What it is.
    pub spec: TaskSpec,
    /// Where it stands.
    pub phase: TaskPhase,
    /// The number of the current attempt, or of the next one while it waits; counts from 1.
    pub attempt: u32,
    /// Attempts that ran and failed.
    pub failures: u32,
    /// Attempts that were stopped or fenced after they had started.
    pub evictions: u32,
    /// Where the next attempt resumes.
    pub checkpoint: Option<String>,
    /// Whether its caller cancelled it.
    pub cancel_requested: bool,
    /// The offset of its submission.
    pub submitted_offset: u64,
}

impl TaskSpec {
    /// Whether two submissions ask for the same work. Only what the caller chose counts: the profile may have been
    /// published anew between two tries, and a later try names a later deadline.
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

    /// The agent that the current attempt belongs to, fenced or not.
    pub fn runner(&self) -> Option<&Runner> {
        match &self.phase {
            TaskPhase::Assigned { runner } | TaskPhase::Fenced { runner } => Some(runner),
            _ => None,
        }
    }

    /// The current attempt, or the next one while the task waits.
    pub fn attempt_ref(&self) -> AttemptRef {
        AttemptRef::new(self.id.clone(), self.attempt)
    }

    /// The attempt that an assignment must name to win: the one that waits, or the one after a fenced one.
    pub fn next_attempt(&self) -> Option<u32> {
        match self.phase {
            TaskPhase::Pending => Some(self.attempt),
            // A fenced attempt of a non-idempotent task may have done its work, so nothing may follow it.
            TaskPhase::Fenced { .. } if self.spec.idempotent && !self.cancel_requested => Some(self.attempt + 1),
            _ => None,
        }
    }

    pub(super) fn assign(&mut self, attempt: u32, runner: &Runner) -> bool {
        let wins = self.next_attempt() == Some(attempt);
        if wins {
            self.attempt = attempt;
            self.phase = TaskPhase::Assigned { runner: runner.clone() };
        }
        wins
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
        self.wait_for_next();
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
        self.wait_for_next();
        Some(CellEvent::Stopped { attempt: stopped })
    }

    fn wait_for_next(&mut self) {
        self.attempt += 1;
        self.phase = TaskPhase::Pending;
    }

    fn end(&mut self, phase: TaskPhase) -> Option<CellEvent> {
        self.phase = phase.clone();
        Some(CellEvent::Ended { task: self.id.clone(), phase })
    }
}
