//! Which jobs are known to have started a task.

use super::{Moment, Scheduler};
use crate::jobs::spec::JobId;

/// How long the first start of a job may wait for another change of the job before it is stored, in milliseconds. Together with
/// the interval at which agents report starts, it stays below the 2 s by which the count of waiting jobs may be out of date.
const MAX_UNSTORED_START_MS: u64 = 1_000;

impl Scheduler {
    /// Handles a host's report that a task of each of these jobs has started there. An assignment alone does not prove that:
    /// its host may have been cut off or lost before the order arrived.
    pub fn jobs_started(&mut self, jobs: &[JobId], now: Moment) {
        for id in jobs {
            if self.record_begun(id) {
                self.unstored_starts.insert(*id, now.at.plus_ms(MAX_UNSTORED_START_MS));
            }
        }
    }

    /// Notes that a task of a job has started. Returns whether that was not known before.
    pub(super) fn record_begun(&mut self, id: &JobId) -> bool {
        self.jobs.get_mut(id).is_some_and(|job| !std::mem::replace(&mut job.progress.begun, true))
    }

    /// Lets the next batch contain the jobs whose first start has waited long enough to be stored.
    pub(super) fn store_due_starts(&mut self, now: Moment) {
        let due = self.unstored_starts.extract_if(.., |_, store_at| *store_at <= now.at);
        self.changed.extend(due.map(|(id, _)| id));
    }
}
