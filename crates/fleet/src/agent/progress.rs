//! Reports to the leader of how far the runs on the endpoint have come.

use fescuelead_core::{jobs::RunProgress, units::TimeMs};

use super::{Agent, State, incarnation::IncarnationState};

/// Runs are reported once they have run for this long, in milliseconds: shorter ones end before a report would be of use.
const MIN_ELAPSED_MS: u64 = 1_000;
/// How often the progress of a run is reported at most, in milliseconds. One leader hears all agents.
const MIN_INTERVAL_MS: u64 = 1_000;

impl Agent {
    /// The progress to tell the leader of with the next request for a grant. Marks it as told. Linear in the number of runs.
    pub(crate) fn take_progress(&self) -> Vec<RunProgress> {
        self.state.borrow_mut().take_progress(self.clock.now())
    }
}

impl State {
    /// Lets the next request for a grant name the progress of all runs, as a new leader does not know of it.
    pub(super) fn repeat_progress(&mut self) {
        self.current.orders.values_mut().for_each(|order| order.sent_progress = None);
    }

    /// Leaves out runs of which this process does not know the start, and tasks that serve users, which make no progress.
    fn take_progress(&mut self, now: TimeMs) -> Vec<RunProgress> {
        let IncarnationState { orders, running, endpoint_clock, .. } = &mut self.current;
        let Some((_, read_at)) = *endpoint_clock else { return Vec::new() };
        let mut reports = Vec::new();
        for (&task, order) in orders.iter_mut().filter(|(_, order)| order.tail_target_ms.is_none()) {
            let running = running.get(&task).filter(|running| running.run == order.run);
            let Some(percent) = running.and_then(|running| running.percent) else { continue };
            let Some(elapsed_ms) = order.started_at.map(|at| read_at.since_ms(at)) else { continue };
            let due = order.sent_progress.is_none_or(|(told_percent, told_at)| {
                told_percent != percent && now.since_ms(told_at) >= MIN_INTERVAL_MS
            });
            if elapsed_ms > MIN_ELAPSED_MS && due {
                order.sent_progress = Some((percent, now));
                reports.push(RunProgress { task, run: order.run, percent, elapsed_ms });
            }
        }
        reports
    }
}
