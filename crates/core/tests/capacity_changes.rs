//! Tests of hosts whose capacity shrinks and grows while tasks run on them.

use std::{collections::BTreeSet, sync::Arc};

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, JobId, JobSpec, Moment, QueueSettings, Rejection, Replica, RunEnd, RunOutcome, Scheduler,
        StepSpec, TaskRef, lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};

const INCARNATION: u64 = 1_700_000_000_000;
const FULL: Resources = Resources { cpu_milli: 4_000, memory_mib: 8_000, accelerators: 0 };
const SHRUNK: Resources = Resources { cpu_milli: 2_000, memory_mib: 8_000, accelerators: 0 };

type Run = (TaskRef, u32, String);

fn at(ms: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + ms), unix_ms: INCARNATION + ms }
}

fn info(capacity: Resources) -> HostInfo {
    HostInfo {
        service: "desk".to_owned(),
        availability_zone: "a".to_owned(),
        labels: BTreeSet::new(),
        capacity,
        draining: false,
        ..HostInfo::default()
    }
}

fn step(tasks: u32) -> StepSpec {
    StepSpec { tasks, resources: Resources::new(1_000, 1_000), estimate_ms: 1_000, ..StepSpec::default() }
}

fn job(step: StepSpec) -> JobSpec {
    JobSpec {
        queue: "previews".to_owned(),
        settings: QueueSettings {
            service: "desk".to_owned(),
            priority: 1,
            max_failures: 3,
            stretch_percent: 150,
            latency_ms: 250,
        },
        accepted_unix_ms: INCARNATION,
        payload: String::new(),
        steps: vec![step],
        repeat: None,
    }
}

fn connect(scheduler: &mut Scheduler, host: &str, capacity: Resources, running: &[(TaskRef, u32)], now: Moment) {
    let host = host.to_owned();
    scheduler.host_connected(&host);
    scheduler.host_info_changed(&host, Some(info(capacity)));
    scheduler.reconcile_host(&host, INCARNATION, running, now);
}

fn shrink(scheduler: &mut Scheduler, host: &str, capacity: Resources) {
    scheduler.host_info_changed(&host.to_owned(), Some(info(capacity)));
}

/// A scheduler with one host of full capacity, `host-a`.
fn scheduler_with_one_host() -> Scheduler {
    let mut scheduler = Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], at(0));
    connect(&mut scheduler, "host-a", FULL, &[], at(0));
    scheduler
}

/// The starts and the stops that the scheduler decides on now.
fn decide(scheduler: &mut Scheduler, now: Moment) -> (Vec<Run>, Vec<Run>) {
    scheduler.tick(now);
    let (mut starts, mut stops) = (Vec::new(), Vec::new());
    for effect in scheduler.take_batch().effects {
        match effect {
            Effect::Start { host, task, run, .. } => starts.push((task, run, host)),
            Effect::Stop { host, task, run } => stops.push((task, run, host)),
            Effect::Move { .. } | Effect::Forget { .. } => {}
        }
    }
    (starts, stops)
}

fn submit(scheduler: &mut Scheduler, id: u64, step: StepSpec, now: Moment) -> Vec<Run> {
    scheduler.job_submitted(JobId(id), Arc::new(job(step)), now);
    decide(scheduler, now).0
}

fn end(scheduler: &mut Scheduler, number: u64, run: &Run, end: RunOutcome, now: Moment) {
    let ended = RunEnd { number, task: run.0, run: run.1, end, checkpoint: None };
    scheduler.run_ended(&run.2, INCARNATION, &ended, now);
}

/// A start on a host whose capacity has shrunk below what is committed there puts it further over its limit.
#[test]
fn nothing_starts_on_a_shrunk_host_before_enough_runs_have_ended() {
    let mut scheduler = scheduler_with_one_host();
    let runs = submit(&mut scheduler, 1, step(3), at(10));
    assert_eq!(runs.len(), 3);
    shrink(&mut scheduler, "host-a", SHRUNK);
    assert!(submit(&mut scheduler, 2, step(1), at(20)).is_empty());
    end(&mut scheduler, 1, &runs[0], RunOutcome::Done, at(30));
    assert!(decide(&mut scheduler, at(30)).0.is_empty());
    end(&mut scheduler, 2, &runs[1], RunOutcome::Done, at(40));
    assert_eq!(decide(&mut scheduler, at(40)).0.len(), 1);
}

/// A run that is being stopped uses its resources until it has ended.
#[test]
fn a_run_that_is_being_stopped_counts_until_its_end_is_reported() {
    let mut scheduler = scheduler_with_one_host();
    let runs = submit(&mut scheduler, 1, step(2), at(10));
    shrink(&mut scheduler, "host-a", SHRUNK);
    scheduler.job_cancelled(JobId(1), at(20));
    assert_eq!(decide(&mut scheduler, at(20)).1.len(), 2);
    assert!(submit(&mut scheduler, 2, step(1), at(30)).is_empty());
    end(&mut scheduler, 1, &runs[0], RunOutcome::Interrupted, at(40));
    assert_eq!(decide(&mut scheduler, at(40)).0.len(), 1);
}

/// A host that is over its capacity in one resource must not receive tasks that need none of it.
#[test]
fn nothing_starts_on_a_host_that_is_over_its_capacity_in_another_resource() {
    let mut scheduler = scheduler_with_one_host();
    assert_eq!(submit(&mut scheduler, 1, step(3), at(10)).len(), 3);
    shrink(&mut scheduler, "host-a", SHRUNK);
    let background = StepSpec { background: true, ..step(1) };
    let mut started = submit(&mut scheduler, 2, background, at(20));
    // An idle background job may start on a host without free processors.
    started.extend(decide(&mut scheduler, at(3_000)).0);
    assert!(started.is_empty(), "{started:?}");
}

/// After a reconnect or a take-over, an order for a run that the host has not started would put it over its shrunk capacity.
/// An earlier order may still start the run, so that it must be stopped before the task goes elsewhere.
#[rstest::rstest]
#[case::reconnect(false)]
#[case::take_over(true)]
fn a_missing_run_is_stopped_on_a_shrunk_host_and_placed_elsewhere(#[case] take_over: bool) {
    let mut scheduler = scheduler_with_one_host();
    scheduler.job_submitted(JobId(1), Arc::new(job(step(3))), at(10));
    scheduler.tick(at(10));
    let batch = scheduler.take_batch();
    if take_over {
        let mut replica = Replica::new();
        replica.apply_submission(JobId(1), job(step(3)));
        for (id, progress) in batch.records {
            replica.apply_progress(id, progress);
        }
        scheduler = Scheduler::new(LeasePlan::new(6_000), &replica, ["host-a".to_owned()], at(500));
    } else {
        scheduler.host_disconnected(&"host-a".to_owned(), Some(at(400).at), at(500));
    }
    let tasks: Vec<_> = (0..3).map(|index| TaskRef { job: JobId(1), occurrence: 0, step: 0, index }).collect();
    connect(&mut scheduler, "host-a", SHRUNK, &[(tasks[0], 1), (tasks[1], 1)], at(600));
    connect(&mut scheduler, "host-b", FULL, &[], at(600));
    let (starts, stops) = decide(&mut scheduler, at(600));
    assert!(starts.iter().all(|(task, run, host)| *task != tasks[2] && *run == 1 && host == "host-a"), "{starts:?}");
    assert_eq!(stops, [(tasks[2], 1, "host-a".to_owned())]);
    scheduler.run_rejected(&"host-a".to_owned(), INCARNATION, &tasks[2], 1, Rejection::Outdated, at(700));
    assert_eq!(decide(&mut scheduler, at(700)).0, [(tasks[2], 2, "host-b".to_owned())]);
}

/// A host whose shrunk capacity still holds everything that is committed there keeps its missing runs.
#[test]
fn a_missing_run_is_ordered_again_on_a_shrunk_host_with_room_for_it() {
    let mut scheduler = scheduler_with_one_host();
    let runs = submit(&mut scheduler, 1, step(2), at(10));
    scheduler.host_disconnected(&"host-a".to_owned(), Some(at(400).at), at(500));
    connect(&mut scheduler, "host-a", SHRUNK, &[(runs[0].0, 1)], at(600));
    assert_eq!(decide(&mut scheduler, at(600)), (runs, Vec::new()));
}

/// A task that runs until it is cancelled counts as lost if it waits although there is room again.
#[test]
fn a_waiting_long_running_task_starts_as_soon_as_the_capacity_has_grown() {
    let mut scheduler = scheduler_with_one_host();
    shrink(&mut scheduler, "host-a", SHRUNK);
    let started = submit(&mut scheduler, 1, StepSpec { long_running: true, ..step(4) }, at(10));
    assert_eq!(started.len(), 2);
    for ms in (300..5_000).step_by(250) {
        assert!(decide(&mut scheduler, at(ms)).0.is_empty());
    }
    shrink(&mut scheduler, "host-a", FULL);
    assert_eq!(decide(&mut scheduler, at(5_010)).0.len(), 2);
}

/// The processors of background tasks are not committed, but their memory is.
#[test]
fn the_memory_of_background_tasks_counts_on_a_shrunk_host_and_their_processors_do_not() {
    let background = || StepSpec { background: true, ..step(4) };
    let mut scheduler = scheduler_with_one_host();
    assert_eq!(submit(&mut scheduler, 1, background(), at(10)).len(), 4);
    shrink(&mut scheduler, "host-a", Resources::new(1_000, 8_000));
    assert_eq!(submit(&mut scheduler, 2, step(1), at(20)).len(), 1);

    let mut scheduler = scheduler_with_one_host();
    assert_eq!(submit(&mut scheduler, 1, background(), at(10)).len(), 4);
    shrink(&mut scheduler, "host-a", Resources::new(4_000, 3_000));
    let light = StepSpec { resources: Resources::new(1_000, 0), ..step(1) };
    assert!(submit(&mut scheduler, 2, light, at(20)).is_empty());
}

/// The memory of a missing background task puts a shrunk host over its limit like that of any other.
#[test]
fn a_missing_background_run_is_stopped_on_a_host_with_less_memory() {
    let mut scheduler = scheduler_with_one_host();
    let runs = submit(&mut scheduler, 1, StepSpec { background: true, ..step(4) }, at(10));
    scheduler.host_disconnected(&"host-a".to_owned(), Some(at(400).at), at(500));
    let running: Vec<_> = runs[..3].iter().map(|(task, run, _)| (*task, *run)).collect();
    connect(&mut scheduler, "host-a", Resources::new(4_000, 3_000), &running, at(600));
    assert_eq!(decide(&mut scheduler, at(600)).1, runs[3..]);
}
