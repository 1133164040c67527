//! The copy of all jobs that every entry holds, built from the latest record of every key.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    progress::{JobProgress, Phase},
    spec::{JobId, JobSpec},
};

plain! {
    /// The state of a job as reported to clients.
    #[derive(Copy)]
    pub enum JobStatus {
        /// The job was accepted, and no task is known to have started.
        Queued,
        /// At least one task has started, and the job has not ended.
        Active,
        /// All tasks have succeeded.
        Completed,
        /// A task has reached the failure limit of the queue.
        Failed,
        /// A client has cancelled the job.
        Cancelled,
    }
}

/// The records of one job, which may arrive in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicatedJob {
    /// The submitted job; absent until the submission arrives.
    pub spec: Option<Arc<JobSpec>>,
    /// The leader's latest record; absent until the leader has stored one.
    pub progress: Option<JobProgress>,
    /// Whether a client has cancelled the job.
    pub cancelled: bool,
}

impl ReplicatedJob {
    /// The status reported to clients; `None` until the submission arrives.
    pub fn status(&self) -> Option<JobStatus> {
        self.spec.as_ref()?;
        let phase = self.progress.as_ref().map_or(Phase::Active, |progress| progress.phase);
        Some(match phase {
            Phase::Completed => JobStatus::Completed,
            Phase::Failed => JobStatus::Failed,
            Phase::Cancelled => JobStatus::Cancelled,
            Phase::Active if self.cancelled => JobStatus::Cancelled,
            Phase::Active if self.progress.as_ref().is_some_and(|progress| progress.begun) => JobStatus::Active,
            Phase::Active => JobStatus::Queued,
        })
    }
}

/// The copy of all jobs of a cell.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    jobs: BTreeMap<JobId, ReplicatedJob>,
}

impl Replica {
    /// An empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a submission. Only the first one of an id counts; returns whether this was the first.
    pub fn apply_submission(&mut self, job: JobId, spec: JobSpec) -> bool {
        let job = self.jobs.entry(job).or_default();
        let first = job.spec.is_none();
        if first {
            job.spec = Some(Arc::new(spec));
        }
        first
    }

    /// Applies a client's cancellation. Returns whether the job was not cancelled before.
    pub fn apply_cancellation(&mut self, job: JobId) -> bool {
        !std::mem::replace(&mut self.jobs.entry(job).or_default().cancelled, true)
    }

    /// Applies a leader's record, which replaces the previous one.
    pub fn apply_progress(&mut self, job: JobId, progress: JobProgress) {
        self.jobs.entry(job).or_default().progress = Some(progress);
    }

    /// Removes a job whose record has expired.
    pub fn remove(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// The records of a job; `None` if there are none.
    pub fn job(&self, job: JobId) -> Option<&ReplicatedJob> {
        self.jobs.get(&job)
    }

    /// Iterates over all jobs in ascending order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &ReplicatedJob)> {
        self.jobs.iter().map(|(&id, job)| (id, job))
    }

    /// The number of jobs of a queue with the status [`JobStatus::Queued`]. Linear in the number of jobs.
    pub fn count_queued(&self, queue: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| job.spec.as_ref().is_some_and(|spec| spec.queue == queue))
            .filter(|job| job.status() == Some(JobStatus::Queued))
            .count()
    }
}
