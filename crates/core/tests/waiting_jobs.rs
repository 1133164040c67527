//! When a job counts as one that has started a task.

use std::{collections::BTreeSet, sync::Arc};

use fescuelead_core::{
    jobs::{
        Batch, Effect, HostInfo, JobId, JobSpec, Moment, QueueSettings, Replica, RunEnd, RunOutcome, Scheduler,
        StepSpec, TaskRef, lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};

const JOB: JobId = JobId(7);
const FIRST: TaskRef = TaskRef { job: JOB, occurrence: 0, step: 0, index: 0 };
const INCARNATION: u64 = 1_700_000_000_000;
const HOST: &str = "host-a";

fn at(ms: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + ms), unix_ms: INCARNATION + ms }
}

fn job() -> Arc<JobSpec> {
    let step = StepSpec { tasks: 2, resources: Resources::new(100, 100), estimate_ms: 1_000, ..StepSpec::default() };
    Arc::new(JobSpec {
        queue: "previews".to_owned(),
        settings: QueueSettings {
            service: "desk".to_owned(),
            priority: 1,
            max_failures: 3,
            stretch_percent: 150,
            latency_ms: 250,
        },
        accepted_unix_ms: INCARNATION,
        payload: "render".to_owned(),
        steps: vec![step],
        repeat: None,
    })
}

/// A scheduler that has assigned both tasks of [`JOB`] to [`HOST`], and the batch with the assignments.
fn scheduler_with_an_assigned_job() -> (Scheduler, Batch) {
    let mut scheduler = Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], at(0));
    let host = HOST.to_owned();
    scheduler.host_connected(&host);
    scheduler.host_info_changed(
        &host,
        Some(HostInfo {
            service: "desk".to_owned(),
            availability_zone: "zone-a".to_owned(),
            labels: BTreeSet::new(),
            capacity: Resources::new(4_000, 10_000),
            draining: false,
            ..HostInfo::default()
        }),
    );
    scheduler.reconcile_host(&host, INCARNATION, &[], at(0));
    scheduler.job_submitted(JOB, job(), at(0));
    scheduler.tick(at(0));
    let batch = scheduler.take_batch();
    let starts = batch.effects.iter().filter(|effect| matches!(effect, Effect::Start { .. })).count();
    assert_eq!(starts, 2, "{:?}", batch.effects);
    (scheduler, batch)
}

/// The end of the first run of [`FIRST`].
fn first_done() -> RunEnd {
    RunEnd { number: 1, task: FIRST, run: 1, end: RunOutcome::Done, checkpoint: None }
}

/// Whether the record of [`JOB`] in a batch says that a task has started; `None` without a record.
fn begun(batch: &Batch) -> Option<bool> {
    batch.records.iter().find(|(id, _)| *id == JOB).map(|(_, progress)| progress.begun)
}

/// Guards against a count of waiting jobs that leaves out those whose tasks were assigned to hosts that never got the order.
#[test]
fn an_assignment_does_not_begin_a_job() {
    let (mut scheduler, assigned) = scheduler_with_an_assigned_job();
    assert_eq!(begun(&assigned), Some(false));
    scheduler.host_disconnected(&HOST.to_owned(), None, at(100));
    scheduler.tick(at(60_000));
    let lost = scheduler.take_batch();
    assert_eq!(begun(&lost), Some(false), "the host was lost before it could report a start");
}

/// Guards against a job that counts as waiting until its first task has ended, and against a record for each start.
#[test]
fn a_reported_start_is_stored_after_a_second_at_the_latest() {
    let (mut scheduler, _) = scheduler_with_an_assigned_job();
    scheduler.jobs_started(&[JOB], at(500));
    scheduler.tick(at(1_499));
    assert_eq!(begun(&scheduler.take_batch()), None);
    scheduler.tick(at(1_500));
    assert_eq!(begun(&scheduler.take_batch()), Some(true));
    scheduler.jobs_started(&[JOB], at(1_600));
    scheduler.tick(at(60_000));
    assert_eq!(begun(&scheduler.take_batch()), None, "the start is known already");
}

/// Guards against a second record for a start that another change of the job has stored.
#[test]
fn a_change_of_the_job_stores_its_start() {
    let (mut scheduler, _) = scheduler_with_an_assigned_job();
    scheduler.jobs_started(&[JOB], at(500));
    scheduler.run_ended(&HOST.to_owned(), INCARNATION, &first_done(), at(600));
    assert_eq!(begun(&scheduler.take_batch()), Some(true));
    scheduler.tick(at(60_000));
    assert_eq!(begun(&scheduler.take_batch()), None);
}

/// Guards against a short job that counts as waiting after it has run, because its end arrives before the report of its start.
#[test]
fn the_end_of_a_run_begins_a_job() {
    let (mut scheduler, _) = scheduler_with_an_assigned_job();
    scheduler.run_ended(&HOST.to_owned(), INCARNATION, &first_done(), at(300));
    assert_eq!(begun(&scheduler.take_batch()), Some(true));
}
