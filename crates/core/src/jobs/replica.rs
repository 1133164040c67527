/*!
The copy of all jobs that every entry holds, built from the latest record of every key.

A job passes through two states. While it is live, its submission and its progress are held, because every entry may become
the leader and then needs them at once. Once it has ended and no run of it may exist, only its status is held, which takes
[`ENDED_JOB_BYTES`] whatever was submitted: the status has to be reported, and a repeated submission has to be recognized.
The payload is dropped earlier, when the job ends or is cancelled, since nothing of it starts afterwards.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{
    progress::{JobProgress, Phase},
    scheduler::MeanWork,
    spec::{JobId, JobSpec},
};

/// The memory that a replica needs at most for a job that has ended, in bytes: its entries in ordered maps, whose nodes may be half empty.
pub const ENDED_JOB_BYTES: usize = 128;

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

/// The records of a live job, which may arrive in any order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicatedJob {
    /// The submitted job; absent until the submission arrives. Without its payload if the job has ended or
    /// was cancelled.
    pub spec: Option<Arc<JobSpec>>,
    /// The leader's latest record; absent until the leader has stored one.
    pub progress: Option<JobProgress>,
    /// Whether a client has cancelled the job.
    pub cancelled: bool,
    /// Whether the store no longer has the submission, because the job has ended.
    submission_removed: bool,
    /// [`JobSpec::memory_bytes`] of `spec`.
    memory_bytes: usize,
}

impl ReplicatedJob {
    fn set_spec(&mut self, spec: Arc<JobSpec>) {
        self.memory_bytes = spec.memory_bytes();
        self.spec = Some(spec);
    }

    fn drop_payload(&mut self) {
        if let Some(spec) = self.spec.take() {
            self.set_spec(spec.without_payload());
        }
    }

    /// The status reported to clients; `None` until the submission arrives.
    pub fn status(&self) -> Option<JobStatus> {
        self.spec.as_ref()?;
        let phase = self.progress.as_ref().map_or(Phase::Active, |progress| progress.phase);
        Some(match JobStatus::of_ended(phase) {
            Some(ended) => ended,
            None if self.cancelled => JobStatus::Cancelled,
            None if self.progress.as_ref().is_some_and(|progress| progress.begun) => JobStatus::Active,
            None => JobStatus::Queued,
        })
    }
}

impl JobStatus {
    /// The status of a job that has ended in this phase; `None` if it is still active.
    fn of_ended(phase: Phase) -> Option<Self> {
        match phase {
            Phase::Active => None,
            Phase::Completed => Some(Self::Completed),
            Phase::Failed => Some(Self::Failed),
            Phase::Cancelled => Some(Self::Cancelled),
        }
    }
}

/// The copy of all jobs of a cell.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    live: BTreeMap<JobId, ReplicatedJob>,
    /// The phase in which each ended job has ended.
    ended: BTreeMap<JobId, Phase>,
    /// The ended jobs whose submission may still be in the store.
    stored_submissions: BTreeSet<JobId>,
    /// The ended jobs whose cancellation may still be in the store.
    stored_cancellations: BTreeSet<JobId>,
    /// The work of all jobs whose submission was applied.
    mean_work: MeanWork,
    /// The sum of [`ReplicatedJob::memory_bytes`] over the live jobs.
    live_bytes: usize,
}

impl Replica {
    /// An empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a submission. Only the first one of an id counts; returns whether this was the first.
    pub fn apply_submission(&mut self, id: JobId, spec: JobSpec) -> bool {
        if self.ended.contains_key(&id) {
            self.stored_submissions.insert(id);
            return false;
        }
        let job = self.live.entry(id).or_default();
        job.submission_removed = false;
        let first = job.spec.is_none();
        if first {
            self.mean_work.add(&spec);
            job.set_spec(Arc::new(spec));
            if job.cancelled {
                job.drop_payload();
            }
            self.live_bytes += job.memory_bytes;
            self.shrink(id);
        }
        first
    }

    /// Applies the removal of a submission, which the leader removes once the job has ended.
    pub fn apply_submission_removal(&mut self, id: JobId) {
        self.stored_submissions.remove(&id);
        if let Some(job) = self.live.get_mut(&id) {
            job.submission_removed = true;
        }
    }

    /// Applies a client's cancellation. Returns whether the job was live and not cancelled before.
    pub fn apply_cancellation(&mut self, id: JobId) -> bool {
        if self.ended.contains_key(&id) {
            self.stored_cancellations.insert(id);
            return false;
        }
        let job = self.live.entry(id).or_default();
        self.live_bytes -= job.memory_bytes;
        job.drop_payload();
        self.live_bytes += job.memory_bytes;
        !std::mem::replace(&mut job.cancelled, true)
    }

    /// Applies the removal of a cancellation.
    pub fn apply_cancellation_removal(&mut self, id: JobId) {
        self.stored_cancellations.remove(&id);
    }

    /// Applies a leader's record, which replaces the previous one. An ended job does not become live again.
    pub fn apply_progress(&mut self, id: JobId, progress: JobProgress) {
        if !self.ended.contains_key(&id) {
            self.live.entry(id).or_default().progress = Some(progress);
            self.shrink(id);
        }
    }

    /// Drops what is not needed of a job that has ended: the payload at once, everything but the status as soon as no run may
    /// exist. Until then the leader needs the resources of the runs.
    fn shrink(&mut self, id: JobId) {
        let Some(job) = self.live.get_mut(&id) else { return };
        let Some(progress) = &job.progress else { return };
        let phase = progress.phase;
        if phase == Phase::Active {
            return;
        }
        if progress.has_assigned_tasks() {
            self.live_bytes -= job.memory_bytes;
            job.drop_payload();
            self.live_bytes += job.memory_bytes;
            return;
        }
        if job.spec.is_some() && !job.submission_removed {
            self.stored_submissions.insert(id);
        }
        if job.cancelled {
            self.stored_cancellations.insert(id);
        }
        self.remove_live(id);
        self.ended.insert(id, phase);
    }

    fn remove_live(&mut self, id: JobId) {
        self.live_bytes -= self.live.remove(&id).map_or(0, |job| job.memory_bytes);
    }

    /// Removes a job whose record has expired.
    pub fn remove(&mut self, id: JobId) {
        self.remove_live(id);
        self.ended.remove(&id);
        self.stored_submissions.remove(&id);
        self.stored_cancellations.remove(&id);
    }

    /// Notes the submissions that the store holds, if all of them were read anew. Submissions are removed only after the job
    /// has ended.
    pub fn retain_submissions(&mut self, stored: &BTreeSet<JobId>) {
        self.stored_submissions.retain(|id| stored.contains(id));
        let unlisted = self.live.iter_mut().filter(|(id, job)| job.spec.is_some() && !stored.contains(id));
        unlisted.for_each(|(_, job)| job.submission_removed = true);
        self.remove_expired();
    }

    /// Notes the jobs whose progress the store holds, if all of it was read anew, and removes the jobs that have expired.
    pub fn retain_progress(&mut self, stored: &BTreeSet<JobId>) {
        self.ended.retain(|id, _| stored.contains(id));
        self.stored_submissions.retain(|id| stored.contains(id));
        self.stored_cancellations.retain(|id| stored.contains(id));
        let unlisted = self.live.iter_mut().filter(|(id, _)| !stored.contains(id));
        unlisted.for_each(|(_, job)| job.progress = None);
        self.remove_expired();
    }

    /// Removes the jobs of which the store holds neither submission nor progress any more.
    fn remove_expired(&mut self) {
        let is_expired = |job: &ReplicatedJob| job.submission_removed && job.progress.is_none();
        let expired = self.live.extract_if(.., |_, job| is_expired(job));
        self.live_bytes -= expired.map(|(_, job)| job.memory_bytes).sum::<usize>();
    }

    /// The records of a job; `None` if there are none or if only its status is left.
    pub fn job(&self, id: JobId) -> Option<&ReplicatedJob> {
        self.live.get(&id)
    }

    /// Whether the job was submitted.
    pub fn is_submitted(&self, id: JobId) -> bool {
        self.status(id).is_some()
    }

    /// Whether only the status of the job is left.
    pub fn has_ended(&self, id: JobId) -> bool {
        self.ended.contains_key(&id)
    }

    /// The status reported to clients; `None` if the job was not submitted, or has expired.
    pub fn status(&self, id: JobId) -> Option<JobStatus> {
        match self.ended.get(&id) {
            Some(&phase) => JobStatus::of_ended(phase),
            None => self.live.get(&id)?.status(),
        }
    }

    /// The phase that the leader has stored; `None` if there is no progress of the job.
    pub fn phase(&self, id: JobId) -> Option<Phase> {
        let live = || Some(self.live.get(&id)?.progress.as_ref()?.phase);
        self.ended.get(&id).copied().or_else(live)
    }

    /// Iterates over all live jobs in ascending order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &ReplicatedJob)> {
        self.live.iter().map(|(&id, job)| (id, job))
    }

    /// The memory that a process sets aside for all jobs, in bytes: [`JobSpec::memory_bytes`] of each live one, and
    /// [`ENDED_JOB_BYTES`] of each that has ended.
    pub fn memory_bytes(&self) -> usize {
        self.live_bytes + self.ended.len() * ENDED_JOB_BYTES
    }

    /// The number of jobs of which only the status is left.
    pub fn ended_jobs(&self) -> usize {
        self.ended.len()
    }

    /// The ended jobs whose submission may still be in the store.
    pub fn stored_submissions(&self) -> impl Iterator<Item = JobId> {
        self.stored_submissions.iter().copied()
    }

    /// The ended jobs whose cancellation may still be in the store.
    pub fn stored_cancellations(&self) -> impl Iterator<Item = JobId> {
        self.stored_cancellations.iter().copied()
    }

    /// The work of all jobs whose submission was applied.
    pub(super) fn mean_work(&self) -> &MeanWork {
        &self.mean_work
    }

    /// The number of jobs of a queue with the status [`JobStatus::Queued`]. Linear in the number of live jobs.
    pub fn count_queued(&self, queue: &str) -> usize {
        self.live
            .values()
            .filter(|job| job.spec.as_ref().is_some_and(|spec| spec.queue == queue))
            .filter(|job| job.status() == Some(JobStatus::Queued))
            .count()
    }
}
