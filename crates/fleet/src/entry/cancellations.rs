/*!
Cancellations of jobs of which no submission is known.

The submission of such a job may be under way, at any entry, and the store may carry it out seconds later. The
cancellation is therefore stored before the client is told that the job does not exist; every entry and the leader apply
it to a submission that arrives afterwards.

The record is removed once no submission can arrive any more. Each entry keeps the deadline of each such record. The
leader removes it from the store once it has read all submissions up to the deadline, and an entry forgets it once it has
read the removal and its own deadline has passed.
*/

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{JobId, JobStatus},
    units::TimeMs,
};
use tokio::time::sleep;

use super::{Entry, RequestError, State, requests::UNKNOWN_OUTCOME_MS};
use crate::{
    leader::LeaderEvent,
    store::{JobRecord, Record, Stream},
};

/// How many cancellations without a submission are kept. Beyond that, further ones are refused.
const MAX_EARLY_CANCELLATIONS: usize = 4_096;
/// How long after a cancellation a submission may take effect at most, in milliseconds.
const RETENTION_MS: u64 = UNKNOWN_OUTCOME_MS;
/// How often the leader removes the records of cancellations whose retention has ended, in milliseconds.
const REMOVAL_INTERVAL_MS: u64 = 1_000;
/// How many records are removed in one append. A removal has some 30 bytes.
const MAX_REMOVALS: usize = 1_000;

/// A cancellation without a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EarlyCancellation {
    kept_until: TimeMs,
    /// Whether the store no longer has its record.
    removed: bool,
}

/// The cancellations without a submission.
#[derive(Debug, Default)]
pub(super) struct EarlyCancellations {
    by_job: BTreeMap<JobId, EarlyCancellation>,
}

impl EarlyCancellations {
    /// Notes that the record of a cancellation was stored or read.
    fn add(&mut self, job: JobId, now: TimeMs) {
        self.by_job.insert(job, EarlyCancellation { kept_until: now.plus_ms(RETENTION_MS), removed: false });
    }

    /// Notes that the job of a cancellation was submitted, so that the record has to stay.
    pub(super) fn submitted(&mut self, job: JobId) {
        self.by_job.remove(&job);
    }

    /// Notes that the store has dropped the record of a cancellation.
    pub(super) fn removed(&mut self, job: JobId) {
        if let Some(cancellation) = self.by_job.get_mut(&job) {
            cancellation.removed = true;
        }
    }

    /// Notes that all records of the store will be read anew. Those that are not [added](Self::add) again were removed.
    pub(super) fn read_anew(&mut self) {
        self.by_job.values_mut().for_each(|early| early.removed = true);
    }

    /// Whether a submission that is sent now is covered by an earlier cancellation for half of the retention at least, so
    /// that another one changes nothing.
    fn covers(&self, job: JobId, now: TimeMs) -> bool {
        let covered_until = now.plus_ms(RETENTION_MS / 2);
        self.by_job.get(&job).is_some_and(|early| !early.removed && early.kept_until >= covered_until)
    }

    /// Forgets the cancellations whose retention has ended and whose records were removed, and returns their jobs.
    fn forget_removed(&mut self, now: TimeMs) -> Vec<JobId> {
        let ended = |early: &EarlyCancellation| early.removed && early.kept_until <= now;
        self.by_job.extract_if(.., |_, early| ended(early)).map(|(job, _)| job).collect()
    }

    /// The cancellations whose retention had ended at `complete_at`, when all records of the store were known here, and whose
    /// own records are in the store. A submission that took effect within the retention is known then.
    fn removable(&self, complete_at: TimeMs) -> impl Iterator<Item = JobId> {
        let is_removable = move |early: &EarlyCancellation| !early.removed && early.kept_until <= complete_at;
        self.by_job.iter().filter(move |(_, early)| is_removable(early)).map(|(&job, _)| job)
    }
}

impl Entry {
    /// Cancels a job unless it has already finished. Returns whether the job exists. The cancellation of a job that does
    /// not exist is stored as well, and also cancels a submission that takes effect in the following minute.
    ///
    /// # Errors
    ///
    /// Fails if the job is unknown here and the store cannot be read, if the store has not confirmed the cancellation
    /// by `deadline`, at once during an outage of the store, or if too many unknown jobs were cancelled lately.
    pub async fn cancel(&self, job: JobId, deadline: TimeMs) -> Result<bool, RequestError> {
        let status = self.status(job).await?;
        if status.is_some_and(|status| !matches!(status, JobStatus::Queued | JobStatus::Active)) {
            return Ok(true);
        }
        let now = self.config.clock.now();
        if status.is_none() && self.early_cancellation_is_known(job, now)? {
            return Ok(false);
        }
        let is_stored = || {
            let state = self.state.borrow();
            let copy = state.replica.job(job).filter(|copy| copy.spec.is_some());
            let is_cancelled = copy.is_some_and(|copy| copy.cancelled) || state.replica.has_ended(job);
            is_cancelled || state.early_cancellations.covers(job, now)
        };
        self.append_request(JobRecord::cancelled(job), deadline, is_stored).await?;
        let mut state = self.state.borrow_mut();
        state.apply_cancellation(job, self.config.clock.now());
        Ok(state.replica.is_submitted(job))
    }

    /// Whether the cancellation of an unknown job is stored already.
    ///
    /// # Errors
    ///
    /// Fails if it is not and no further one may be stored.
    fn early_cancellation_is_known(&self, job: JobId, now: TimeMs) -> Result<bool, RequestError> {
        let early = &self.state.borrow().early_cancellations;
        if early.covers(job, now) {
            return Ok(true);
        }
        if early.by_job.len() >= MAX_EARLY_CANCELLATIONS && !early.by_job.contains_key(&job) {
            log::warn!("cancellation refused because too many unknown jobs were cancelled: job={job}");
            let message = format!("{MAX_EARLY_CANCELLATIONS} jobs that do not exist were cancelled in the last minute");
            return Err(RequestError::NotDone(message));
        }
        Ok(false)
    }

    /// Removes the cancellations of jobs that were not submitted, until the task is dropped.
    pub(super) async fn remove_early_cancellations(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(REMOVAL_INTERVAL_MS)).await;
            let now = self.config.clock.now();
            let records: Vec<Record> = {
                let state = &mut *self.state.borrow_mut();
                for job in state.early_cancellations.forget_removed(now) {
                    if !state.replica.has_ended(job) {
                        state.replica.remove(job);
                    }
                }
                self.config.metrics.early_cancellations.set(state.early_cancellations.by_job.len() as i64);
                let complete_at = state.views.complete_at(Stream::Jobs);
                state
                    .early_cancellations
                    .removable(complete_at)
                    .take(MAX_REMOVALS)
                    .map(JobRecord::cancellation_removed)
                    .collect()
            };
            if records.is_empty() || !self.leading.get() {
                continue;
            }
            if let Err(error) = self.call_store("append", self.store.append(Stream::Jobs, &records, None)).await {
                log::warn!("records of cancellations not removed yet: count={} error={error}", records.len());
            }
        }
    }
}

impl State {
    /// Applies a cancellation that was stored.
    pub(super) fn apply_cancellation(&mut self, job: JobId, now: TimeMs) {
        if self.replica.apply_cancellation(job) {
            self.notify_leader(LeaderEvent::Cancelled(job));
        }
        if !self.replica.is_submitted(job) {
            self.early_cancellations.add(job, now);
        }
    }
}
