//! What a replica holds of a job while it is live and after it has ended.

use fescuelead_core::jobs::{
    JobId, JobProgress, JobSpec, JobStatus, Phase, QueueSettings, Replica, StepSpec, TaskState,
};
use rstest::rstest;

const JOB: JobId = JobId(7);

fn spec() -> JobSpec {
    let settings = QueueSettings {
        service: "desk".to_owned(),
        priority: 0,
        max_failures: 3,
        stretch_percent: 150,
        latency_ms: 250,
    };
    let steps = vec![StepSpec { tasks: 2, ..StepSpec::default() }];
    JobSpec {
        queue: "queue-1".to_owned(),
        settings,
        accepted_unix_ms: 0,
        payload: "payload".to_owned(),
        steps,
        repeat: None,
    }
}

fn progress(phase: Phase, assigned: bool) -> JobProgress {
    let mut progress = JobProgress { phase, ..JobProgress::new(&spec()) };
    if assigned {
        progress.occurrences[0][0][1].state = TaskState::Assigned { host: "host-a".to_owned(), incarnation: 1 };
    }
    progress
}

fn payload(replica: &Replica) -> Option<String> {
    Some(replica.job(JOB)?.spec.as_ref()?.payload.clone())
}

/// Guards against memory that grows with what was submitted: only the status is left of a job that has ended.
#[rstest]
#[case(Phase::Completed, JobStatus::Completed)]
#[case(Phase::Failed, JobStatus::Failed)]
#[case(Phase::Cancelled, JobStatus::Cancelled)]
fn only_the_status_of_an_ended_job_is_kept(#[case] phase: Phase, #[case] status: JobStatus) {
    let mut replica = Replica::new();
    assert!(replica.apply_submission(JOB, spec()));
    assert_eq!(payload(&replica).as_deref(), Some("payload"));
    replica.apply_progress(JOB, progress(phase, false));
    assert_eq!(replica.job(JOB), None);
    assert_eq!(replica.status(JOB), Some(status));
    assert_eq!(replica.stored_submissions().collect::<Vec<_>>(), [JOB]);
    replica.apply_submission_removal(JOB);
    assert_eq!(replica.stored_submissions().count(), 0);
    replica.remove(JOB);
    assert_eq!(replica.status(JOB), None);
}

/// Guards against a start that exceeds the capacity of a host: a later leader does not know what is still being stopped there.
#[test]
fn the_runs_of_an_ended_job_are_known_until_they_are_gone() {
    let mut replica = Replica::new();
    replica.apply_submission(JOB, spec());
    replica.apply_progress(JOB, progress(Phase::Cancelled, true));
    let job = replica.job(JOB).expect("a live job");
    assert!(job.progress.as_ref().is_some_and(JobProgress::has_assigned_tasks));
    assert_eq!(payload(&replica).as_deref(), Some(""));
    assert_eq!(replica.status(JOB), Some(JobStatus::Cancelled));
    replica.apply_progress(JOB, progress(Phase::Cancelled, false));
    assert!(replica.has_ended(JOB));
}

/// Guards against a payload that is kept although nothing of its job starts any more.
#[rstest]
#[case::cancelled_after_its_submission(false)]
#[case::cancelled_before_its_submission(true)]
fn a_cancelled_job_has_no_payload(#[case] cancelled_first: bool) {
    let mut replica = Replica::new();
    if cancelled_first {
        replica.apply_cancellation(JOB);
    }
    assert!(replica.apply_submission(JOB, spec()));
    if !cancelled_first {
        assert!(replica.apply_cancellation(JOB));
    }
    assert_eq!(payload(&replica).as_deref(), Some(""));
    assert_eq!(replica.status(JOB), Some(JobStatus::Cancelled));
}

/// Guards against a job that runs again: its submission is repeated, or its records arrive in another order.
#[test]
fn an_ended_job_does_not_become_live_again() {
    let mut replica = Replica::new();
    replica.apply_progress(JOB, progress(Phase::Completed, false));
    assert_eq!(replica.status(JOB), Some(JobStatus::Completed));
    assert_eq!(replica.stored_submissions().count(), 0);
    assert!(!replica.apply_submission(JOB, spec()));
    assert!(!replica.apply_cancellation(JOB));
    replica.apply_progress(JOB, progress(Phase::Active, true));
    assert_eq!(replica.job(JOB), None);
    assert_eq!(replica.status(JOB), Some(JobStatus::Completed));
    // The leader removes what was stored again.
    assert_eq!(replica.stored_submissions().collect::<Vec<_>>(), [JOB]);
    assert_eq!(replica.stored_cancellations().collect::<Vec<_>>(), [JOB]);
}

/// Guards against jobs that are kept for ever because their removals were not read.
#[rstest]
#[case::submissions_first(true)]
#[case::progress_first(false)]
fn a_job_without_records_is_removed(#[case] submissions_first: bool) {
    let (ended, expired, live) = (JobId(1), JobId(2), JobId(3));
    let mut replica = Replica::new();
    for job in [ended, expired, live] {
        replica.apply_submission(job, spec());
        replica.apply_progress(job, progress(Phase::Active, true));
    }
    replica.apply_progress(ended, progress(Phase::Failed, false));
    // The end of the second job and all removals were missed. A job without progress may be new.
    let (submissions, stored) = ([live].into(), [live].into());
    if submissions_first {
        replica.retain_submissions(&submissions);
        assert_eq!(replica.status(expired), Some(JobStatus::Queued));
        replica.retain_progress(&stored);
    } else {
        replica.retain_progress(&stored);
        assert_eq!(replica.status(expired), Some(JobStatus::Queued));
        replica.retain_submissions(&submissions);
    }
    assert_eq!(replica.status(ended), None);
    assert_eq!(replica.status(expired), None);
    assert_eq!(replica.status(live), Some(JobStatus::Queued));
}
