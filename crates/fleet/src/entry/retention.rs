/*!
How long jobs that have ended are kept, and what of them.

Once the end of a job is stored, the leader removes its submission and its cancellation from the store; every entry then holds
only the status. After [`JobLimits::retention_ms`] the leader removes the progress record as well, and each entry forgets the job
when it reads the removal. Entries do not forget a job by their own clocks, so that all of them answer alike.
*/

use std::{collections::VecDeque, rc::Rc, time::Duration};

use fescuelead_core::{
    jobs::{JobId, JobProgress},
    units::TimeMs,
};
use tokio::time::sleep;

use super::{DEFAULT_JOB_BUDGET_BYTES, Entry, State, requests::UNKNOWN_OUTCOME_MS};
use crate::store::{JobRecord, Record, Stream};

/// How long the status of an ended job has to be reported if the platform states no other time, in milliseconds.
pub const DEFAULT_STATUS_MS: u64 = 120_000;
/// How often the leader removes the submissions of jobs that have ended, in milliseconds.
const REMOVAL_INTERVAL_MS: u64 = 1_000;
/// How many records are removed in one append. A removal has some 30 bytes.
const MAX_REMOVALS: usize = 1_000;

/// Limits for what an entry keeps of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobLimits {
    /// How long an ended job is known, in milliseconds.
    retention_ms: u64,
    /// The memory that all jobs may use, in bytes.
    budget_bytes: usize,
}

impl Default for JobLimits {
    fn default() -> Self {
        Self::new(DEFAULT_STATUS_MS)
    }
}

impl JobLimits {
    /// Limits under which the status of an ended job is reported for `status_ms` milliseconds. The job is known for longer by
    /// the time in which a repeated submission may arrive.
    pub fn new(status_ms: u64) -> Self {
        Self { retention_ms: status_ms.saturating_add(UNKNOWN_OUTCOME_MS), budget_bytes: DEFAULT_JOB_BUDGET_BYTES }
    }

    /// Sets the memory that all jobs may use, in bytes; at least [`MIN_JOB_BUDGET_BYTES`](super::MIN_JOB_BUDGET_BYTES).
    pub fn with_budget_bytes(self, budget_bytes: usize) -> Self {
        Self { budget_bytes, ..self }
    }

    pub(super) fn budget_bytes(&self) -> usize {
        self.budget_bytes
    }
}

/// When a job that has ended may be forgotten.
#[derive(Debug, Clone, Copy)]
struct Expiry {
    kept_until: TimeMs,
    job: JobId,
}

/// The times until which ended jobs are kept.
#[derive(Debug, Default)]
pub(super) struct Retention {
    limits: JobLimits,
    /// In ascending order of time, as all jobs are kept equally long.
    expiries: VecDeque<Expiry>,
}

impl Retention {
    pub(super) fn new(limits: JobLimits) -> Self {
        Self { limits, expiries: VecDeque::new() }
    }
}

impl State {
    /// Applies a leader's record.
    pub(super) fn apply_progress(&mut self, job: JobId, progress: JobProgress, now: TimeMs) {
        let had_ended = self.replica.has_ended(job);
        self.replica.apply_progress(job, progress);
        if !had_ended && self.replica.has_ended(job) {
            let kept_until = now.plus_ms(self.retention.limits.retention_ms);
            self.retention.expiries.push_back(Expiry { kept_until, job });
        }
    }

    /// Applies the removal of a job's progress, after which the job is unknown.
    pub(super) fn forget_ended(&mut self, job: JobId) {
        if self.replica.has_ended(job) {
            self.replica.remove(job);
        }
    }

    /// The ended jobs whose time has passed. Drops those at the front that are forgotten already.
    fn expired(&mut self, now: TimeMs) -> Vec<JobId> {
        let Self { replica, retention, .. } = self;
        let is_due = |expiry: &Expiry| expiry.kept_until <= now;
        while retention.expiries.pop_front_if(|expiry| is_due(expiry) && !replica.has_ended(expiry.job)).is_some() {}
        let due = retention.expiries.iter().take_while(|expiry| is_due(expiry)).map(|expiry| expiry.job);
        due.filter(|job| replica.has_ended(*job)).take(MAX_REMOVALS).collect()
    }
}

impl Entry {
    /// The jobs whose progress the leader may remove, at most [`MAX_REMOVALS`].
    pub(crate) fn expired_jobs(&self) -> Vec<JobId> {
        self.state.borrow_mut().expired(self.config.clock.now())
    }

    /// Forgets jobs whose progress this entry has removed as the leader.
    pub(crate) fn forget_jobs(&self, jobs: &[JobId]) {
        let mut state = self.state.borrow_mut();
        jobs.iter().for_each(|job| state.forget_ended(*job));
    }

    /// Applies a record that this entry has stored as the leader.
    pub(crate) fn apply_stored_progress(&self, job: JobId, progress: JobProgress) {
        self.state.borrow_mut().apply_progress(job, progress, self.config.clock.now());
    }

    /// Removes submissions and cancellations of jobs that have ended, while this entry leads, until the task is dropped. Reads
    /// the removals back, and repeats those that were not stored.
    pub(super) async fn remove_ended_jobs(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(REMOVAL_INTERVAL_MS)).await;
            let records: Vec<Record> = {
                let state = self.state.borrow();
                self.config.metrics.ended_jobs.set(state.replica.ended_jobs() as i64);
                let submissions = state.replica.stored_submissions().map(JobRecord::submission_removed);
                let cancellations = state.replica.stored_cancellations().map(JobRecord::cancellation_removed);
                submissions.chain(cancellations).take(MAX_REMOVALS).collect()
            };
            if records.is_empty() || !self.leading.get() {
                continue;
            }
            if let Err(error) = self.call_store("append", self.store.append(Stream::Jobs, &records, None)).await {
                log::warn!("records of ended jobs not removed yet: count={} error={error}", records.len());
            }
        }
    }
}
