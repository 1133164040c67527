//! Runs whose start the endpoint has answered, and those of them that it no longer lists.

use fescuelead_core::{
    jobs::{Rejection, RunEnd, TaskRef},
    units::TimeMs,
};

use super::State;
use crate::message::ToLeader;

/// The number of ended runs that an endpoint lists at a time. A report with fewer of them lists all.
const MAX_LISTED_ENDS: usize = 500;

impl State {
    /// Notes that the answer to the start of a run on `incarnation` arrived at `now`.
    pub(super) fn record_start(&mut self, incarnation: u64, task: TaskRef, run: u32, now: TimeMs) {
        if self.incarnation == Some(incarnation)
            && let Some(order) = self.orders.get_mut(&task).filter(|order| order.run == run)
        {
            order.started_at = Some(now);
            self.started_jobs.insert(task.job);
        }
    }

    /// Lets the next request for a grant name all jobs of which tasks run, as a new leader does not know of their starts.
    pub(super) fn repeat_started_jobs(&mut self) {
        let answered = self.orders.iter().filter(|(_, order)| order.started_at.is_some()).map(|(task, _)| task.job);
        self.started_jobs = self.running.keys().map(|task| task.job).chain(answered).collect();
    }

    /// Rejects the runs whose start was answered before the call at `sent_at`, but which its report lists neither as
    /// running nor as ended: they no longer exist, and no later report will list an end. The report's running runs must
    /// already be in [`State::running`]. Runs that are being stopped are left to their stop.
    pub(super) fn reject_unlisted_runs(&mut self, incarnation: u64, sent_at: TimeMs, ended: &[RunEnd]) {
        if ended.len() >= MAX_LISTED_ENDS {
            return;
        }
        let is_listed = |task: &TaskRef, run: u32| {
            self.running.get(task).is_some_and(|running| running.run == run)
                || ended.iter().any(|ended| ended.task == *task && ended.run == run)
        };
        let unlisted: Vec<_> = self
            .orders
            .iter()
            .filter(|(_, order)| !order.stopping && order.started_at.is_some_and(|at| at < sent_at))
            .filter(|(task, order)| !is_listed(task, order.run))
            .map(|(&task, order)| (task, order.run))
            .collect();
        for (task, run) in unlisted {
            log::warn!("run missing from the report: task={task} run={run} incarnation={incarnation}");
            self.drop_order(task, run);
            self.send(ToLeader::Rejected { incarnation, task, run, reason: Rejection::Outdated });
        }
    }
}
