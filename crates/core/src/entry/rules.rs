//! Rules that decide on one attempt from its state in the view.

use std::sync::Arc;

use crate::{
    cell::{CellState, Task, TaskPhase},
    ids::AttemptRef,
    runner::{Command, Report},
};

pub(super) fn is_fenced(cell: &CellState, attempt: &AttemptRef) -> bool {
    cell.task(&attempt.task)
        .is_some_and(|task| task.attempt == attempt.attempt && matches!(task.phase, TaskPhase::Fenced { .. }))
}

/// Whether the record of a report would still have an effect. A finish has one even after `AttemptLost`.
pub(super) fn has_effect(task: &Task, report: &Report) -> bool {
    let late_finish = task.phase == TaskPhase::Unknown && matches!(report, Report::Finished { .. });
    task.attempt == report.attempt().attempt && (task.runner().is_some() || late_finish)
}

pub(super) fn must_stop(task: &Task, attempt: &AttemptRef) -> bool {
    let fenced = task.attempt == attempt.attempt && matches!(task.phase, TaskPhase::Fenced { .. });
    fenced || task.attempt > attempt.attempt || task.phase.is_ended() || task.cancel_requested
}

/// The command for an attempt that is assigned to the agent in the view but missing from its request.
pub(super) fn command_for_missing(task: &Task, incarnation: u64) -> Option<Command> {
    let runner = task.runner()?;
    let (attempt, agent_incarnation) = (task.attempt_ref(), runner.agent_incarnation);
    if agent_incarnation > incarnation {
        return None;
    }
    if agent_incarnation < incarnation || must_stop(task, &attempt) {
        return Some(Command::Stop { attempt, agent_incarnation });
    }
    let (spec, checkpoint) = (Arc::new(task.spec.clone()), task.checkpoint.clone());
    Some(Command::Start { attempt, agent_incarnation, spec, checkpoint })
}
