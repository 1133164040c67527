//! What the latest report of the endpoint proves about a run. All conclusions from a report are drawn here.
//!
//! Two more facts prove that a run has ended, both in the module `crash`: a report of the next incarnation, and the end of the
//! lease. Nothing else does: an endpoint that refuses, resets or does not answer calls may run on. docs/design.md lists all proofs
//! with their tests, and what only looks like one.

use fescuelead_core::{
    jobs::{Rejection, TaskRef},
    units::TimeMs,
};

use super::{Agent, State};
use crate::endpoint::EndList;

/// What is known of a run on the endpoint's current incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunStatus {
    /// The latest report lists the run as running.
    Running,
    /// The run has ended, and the leader has not confirmed the end as stored.
    Ended,
    /// The run does not exist: the endpoint has not started it, or has dropped it without an end, or the leader has stored
    /// its end. No later report lists it.
    Absent,
    /// The run may exist, or may have ended without an end that was listed so far.
    Unknown,
}

impl State {
    /// Whether the latest report lists a run as running.
    pub(super) fn is_running(&self, task: TaskRef, run: u32) -> bool {
        self.current.running.get(&task).is_some_and(|running| running.run == run)
    }

    /// What the latest report proves about a run, if calls for it up to `settled_at` may have started it. With the default
    /// of `settled_at` no call of this process may have. Calls of an earlier agent process have no effect after the first
    /// report, due to their fencing token.
    pub(super) fn run_status(&self, task: TaskRef, run: u32, settled_at: TimeMs) -> RunStatus {
        if self.is_running(task, run) {
            return RunStatus::Running;
        }
        if self.current.ends.values().any(|ended| ended.task == task && ended.run == run) {
            return RunStatus::Ended;
        }
        match self.current.end_list {
            EndList::Complete if self.current.report_sent_at > settled_at => RunStatus::Absent,
            EndList::Complete | EndList::Incomplete => RunStatus::Unknown,
        }
    }

    /// Notes that the endpoint has answered a call at `now`, after which the run cannot start unless it already has. The
    /// next report that is requested proves whether it exists.
    pub(super) fn record_settled(&mut self, incarnation: u64, task: TaskRef, run: u32, now: TimeMs) {
        if self.incarnation == Some(incarnation)
            && let Some(order) = self.current.orders.get_mut(&task).filter(|order| order.run == run)
        {
            order.settled_at = Some(now);
        }
    }

    /// Rejects the runs of settled orders that do not exist.
    pub(super) fn reject_absent_runs(&mut self, incarnation: u64, now: TimeMs) {
        if self.current.end_list == EndList::Incomplete {
            // Saves the search of all ends for each order: no run can be absent.
            return;
        }
        let settled = self.current.orders.iter().filter_map(|(&task, order)| Some((task, order, order.settled_at?)));
        let absent: Vec<_> = settled
            .filter(|(task, order, at)| self.run_status(*task, order.run, *at) == RunStatus::Absent)
            .map(|(task, order, _)| (task, order.run, order.started_at.is_some() && !order.stopping))
            .collect();
        for (task, run, is_missing) in absent {
            if is_missing {
                log::warn!("run missing from the report: task={task} run={run} incarnation={incarnation}");
            }
            self.drop_order(task, run);
            self.reject(incarnation, task, run, Rejection::Outdated, now);
        }
    }

    /// The number of settled orders whose runs the latest report does not list as running.
    fn undecided_runs(&self) -> usize {
        let settled = self.current.orders.iter().filter(|(_, order)| order.settled_at.is_some());
        settled.filter(|(task, order)| !self.is_running(**task, order.run)).count()
    }
}

impl Agent {
    /// Notes whether the latest report, which lists `listed` ends, lists all of them.
    pub(super) fn observe_end_list(&self, state: &mut State, end_list: EndList, listed: usize) {
        if end_list == EndList::Incomplete {
            self.metrics.incomplete_reports.inc();
        }
        if std::mem::replace(&mut state.current.end_list, end_list) == end_list {
            return;
        }
        let undecided = state.undecided_runs();
        match end_list {
            EndList::Complete => log::info!("list of ends complete: host={} undecided={undecided}", self.name),
            EndList::Incomplete => {
                log::warn!("list of ends cut off: host={} listed={listed} undecided={undecided}", self.name);
            }
        }
    }
}
