//! The copy of all jobs that every entry holds, built from the newest record of every key.

use std::{collections::BTreeMap, sync::Arc};

use super::{
    progress::{JobProgress, Phase},
    spec::{JobId, JobSpec},
};

plain! {
    /// What a client sees of a job.
    #[derive(Copy)]
    pub enum JobStatus {
        /// No task has started.
        Queued,
        /// Some task has started and some has not ended.
        Active,
        /// All tasks have succeeded.
        Completed,
        /// A task has failed as often as the queue allows.
        Failed,
        /// A client has cancelled the job.
        Cancelled,
    }
}

/// What is known of one job. Its records may arrive in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicatedJob {
    /// What was submitted.
    pub spec: Option<Arc<JobSpec>>,
    /// What the leader has decided.
    pub progress: Option<JobProgress>,
    /// Whether a client has cancelled the job.
    pub cancelled: bool,
}

impl ReplicatedJob {
    /// What a client sees; `None` if the job was never submitted.
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

/// All jobs.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    jobs: BTreeMap<JobId, ReplicatedJob>,
}

impl Replica {
    /// No jobs.
    pub fn new() -> Self {
        Self::default()
    }

    /// A client submitted a job. The first submission of an id stands. Returns whether this was the first.
    pub fn apply_submission(&mut self, job: JobId, spec: JobSpec) -> bool {
        let copy = self.jobs.entry(job).or_default();
        let first = copy.spec.is_none();
        if first {
            copy.spec = Some(Arc::new(spec));
        }
        first
    }

    /// A client cancelled a job. Returns whether this is news.
    pub fn apply_cancellation(&mut self, job: JobId) -> bool {
        !std::mem::replace(&mut self.jobs.entry(job).or_default().cancelled, true)
    }

    /// A leader decided something about a job.
    pub fn apply_progress(&mut self, job: JobId, progress: JobProgress) {
        self.jobs.entry(job).or_default().progress = Some(progress);
    }

    /// The record of a job expired.
    pub fn remove(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// What is known of a job.
    pub fn job(&self, job: JobId) -> Option<&ReplicatedJob> {
        self.jobs.get(&job)
    }

    /// All jobs in the order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &ReplicatedJob)> {
        self.jobs.iter().map(|(&id, copy)| (id, copy))
    }

    /// The number of accepted jobs of a queue of which no task has started. Linear in the number of jobs.
    pub fn count_queued(&self, queue: &str) -> usize {
        self.jobs
            .values()
            .filter(|copy| copy.spec.as_ref().is_some_and(|spec| spec.queue == queue))
            .filter(|copy| copy.status() == Some(JobStatus::Queued))
            .count()
    }
}
