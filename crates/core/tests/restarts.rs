//! Tests of endpoints that restart at once and run, as the next incarnation, what was meant for the one before.

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, JobId, JobSpec, Moment, Phase, QueueSettings, Rejection, Replica, RunEnd, RunOutcome,
        Scheduler, StepSpec, TaskRef, lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};
use rstest::rstest;

const UNIX_MS: u64 = 1_700_000_000_000;
const BEFORE: u64 = UNIX_MS;
const AFTER: u64 = UNIX_MS + 5_000;
const TASK: TaskRef = TaskRef { job: JobId(1), occurrence: 0, step: 0, index: 0 };
const OTHER_TASK: TaskRef = TaskRef { index: 1, ..TASK };
const LISTED: &[(TaskRef, u32)] = &[(TASK, 1)];

fn at(ms: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + ms), unix_ms: UNIX_MS + ms }
}

fn host(name: &str) -> String {
    format!("host-{name}")
}

fn info() -> HostInfo {
    HostInfo { service: "desk".to_owned(), capacity: Resources::new(4_000, 8_000), ..HostInfo::default() }
}

fn job() -> JobSpec {
    JobSpec {
        queue: "previews".to_owned(),
        settings: QueueSettings {
            service: "desk".to_owned(),
            priority: 1,
            max_failures: 3,
            stretch_percent: 150,
            latency_ms: 250,
        },
        accepted_unix_ms: UNIX_MS,
        payload: String::new(),
        steps: vec![StepSpec { tasks: 2, resources: Resources::new(1_000, 1_000), ..StepSpec::default() }],
        repeat: None,
    }
}

fn connect(scheduler: &mut Scheduler, name: &str) {
    scheduler.host_connected(&host(name));
    scheduler.host_info_changed(&host(name), Some(info()));
    scheduler.reconcile_host(&host(name), BEFORE, &[], at(0));
}

/// A scheduler that has assigned run 1 of both tasks to host a, and has a further host b. Also returns its records.
fn scheduler_with_assigned_runs() -> (Scheduler, Replica) {
    let mut replica = Replica::new();
    replica.apply_submission(JobId(1), job());
    let mut scheduler = Scheduler::new(LeasePlan::new(6_000), &replica, [], at(0));
    connect(&mut scheduler, "a");
    scheduler.tick(at(10));
    let batch = scheduler.take_batch();
    assert_eq!(starts(&batch.effects), [(host("a"), TASK, 1), (host("a"), OTHER_TASK, 1)]);
    for (job, progress) in batch.records {
        replica.apply_progress(job, progress);
    }
    connect(&mut scheduler, "b");
    (scheduler, replica)
}

/// The runs that are started by effects, and are not reported to run already.
fn starts(effects: &[Effect]) -> Vec<(String, TaskRef, u32)> {
    let start = |effect: &Effect| match effect {
        Effect::Start { host, task, run, reported: false, .. } => Some((host.clone(), *task, *run)),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

fn tick(scheduler: &mut Scheduler) -> Vec<Effect> {
    scheduler.tick(at(5_100));
    scheduler.take_batch().effects
}

fn end(task: TaskRef, end: RunOutcome) -> RunEnd {
    RunEnd { number: 1, task, run: 1, end, checkpoint: None }
}

/// Asserts that only the task whose run was lost with the earlier incarnation is started again, and no run is stopped.
fn assert_only_the_lost_run_starts_again(effects: &[Effect]) {
    let started: Vec<_> = starts(effects).into_iter().map(|(_, task, run)| (task, run)).collect();
    assert_eq!(started, [(OTHER_TASK, 2)]);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Stop { .. })), "{effects:?}");
}

/// Guards against running a task twice: its run on the next incarnation is unknown to the leader, which starts the task
/// elsewhere and stops that run. The agent tells of the crash first, or only of the runs.
#[rstest]
fn a_run_that_the_next_incarnation_lists_is_taken_over(#[values(false, true)] crash_is_reported: bool) {
    let (mut scheduler, _) = scheduler_with_assigned_runs();
    if crash_is_reported {
        scheduler.host_info_changed(&host("a"), None);
        scheduler.host_restarted(&host("a"), BEFORE, &[], LISTED, at(5_000));
        assert_only_the_lost_run_starts_again(&tick(&mut scheduler));
        scheduler.host_info_changed(&host("a"), Some(info()));
        scheduler.reconcile_host(&host("a"), AFTER, LISTED, at(5_100));
        assert_eq!(starts(&tick(&mut scheduler)), []);
    } else {
        scheduler.reconcile_host(&host("a"), AFTER, LISTED, at(5_000));
        assert_only_the_lost_run_starts_again(&tick(&mut scheduler));
    }
    scheduler.run_ended(&host("a"), AFTER, &end(TASK, RunOutcome::Done), at(5_200));
    scheduler.run_ended(&host("b"), BEFORE, &RunEnd { run: 2, ..end(OTHER_TASK, RunOutcome::Done) }, at(5_200));
    scheduler.run_ended(&host("a"), AFTER, &RunEnd { run: 2, ..end(OTHER_TASK, RunOutcome::Done) }, at(5_200));
    let records = scheduler.take_batch().records;
    assert!(records.iter().any(|(_, progress)| progress.phase == Phase::Completed), "{records:?}");
}

/// Guards against running a task twice: a new leader knows the earlier incarnation from its records only.
#[test]
fn a_new_leader_takes_over_the_runs_of_the_next_incarnation() {
    let (_, replica) = scheduler_with_assigned_runs();
    let mut scheduler = Scheduler::new(LeasePlan::new(6_000), &replica, [], at(4_900));
    connect(&mut scheduler, "b");
    scheduler.host_connected(&host("a"));
    scheduler.host_info_changed(&host("a"), Some(info()));
    scheduler.reconcile_host(&host("a"), AFTER, LISTED, at(5_000));
    assert_only_the_lost_run_starts_again(&tick(&mut scheduler));
}

/// Guards against a start after a run has ended as done: the end of a run on the next incarnation was dropped, because the
/// run was assigned to the one before.
#[test]
fn an_end_on_the_next_incarnation_counts() {
    let (mut scheduler, _) = scheduler_with_assigned_runs();
    scheduler.run_ended(&host("a"), AFTER, &end(TASK, RunOutcome::Done), at(5_000));
    scheduler.host_restarted(&host("a"), BEFORE, &[], &[], at(5_000));
    scheduler.reconcile_host(&host("a"), AFTER, &[], at(5_000));
    assert_only_the_lost_run_starts_again(&tick(&mut scheduler));
}

/// Guards against an end that belongs to an earlier incarnation, whose runs were lost, but ends a run of a later one.
#[test]
fn an_end_on_an_earlier_incarnation_does_not_count() {
    let (mut scheduler, _) = scheduler_with_assigned_runs();
    scheduler.reconcile_host(&host("a"), AFTER, &[(TASK, 1), (OTHER_TASK, 1)], at(5_000));
    scheduler.run_ended(&host("a"), BEFORE, &end(TASK, RunOutcome::Interrupted), at(5_000));
    assert_eq!(starts(&tick(&mut scheduler)), []);
}

/// Guards against work that is lost with a checkpoint: the next incarnation saves one before the leader knows of it.
#[test]
fn a_checkpoint_on_the_next_incarnation_is_resumed_from() {
    let (mut scheduler, _) = scheduler_with_assigned_runs();
    scheduler.checkpoint_saved(&host("a"), AFTER, &TASK, 1, "saved".to_owned());
    scheduler.reconcile_host(&host("a"), AFTER, &[(TASK, 1), (OTHER_TASK, 1)], at(5_000));
    scheduler.run_rejected(&host("a"), AFTER, &TASK, 1, Rejection::Outdated, at(5_000));
    let effects = tick(&mut scheduler);
    let resumed = effects.iter().any(|effect| {
        matches!(effect, Effect::Start { task: TASK, run: 2, checkpoint: Some(checkpoint), .. } if checkpoint == "saved")
    });
    assert!(resumed, "{effects:?}");
}

/// Guards against a task that crashes endpoints and is never given up because the next incarnation lists its run.
#[test]
fn a_suspect_that_is_taken_over_is_counted() {
    let (mut scheduler, _) = scheduler_with_assigned_runs();
    let counted = scheduler.host_restarted(&host("a"), BEFORE, LISTED, LISTED, at(5_000));
    assert_eq!(counted.iter().map(|crash| (crash.task, crash.crashes)).collect::<Vec<_>>(), [(TASK, 1)]);
    assert_only_the_lost_run_starts_again(&tick(&mut scheduler));
}

/// Guards against a start after a run has ended as done: the end arrives after its task was given back and before that was
/// assigned again, and was ignored and acknowledged.
#[test]
fn an_end_as_done_counts_while_its_task_waits() {
    let (mut scheduler, _) = scheduler_with_assigned_runs();
    scheduler.host_crashed(&host("a"), BEFORE, &[], at(100));
    let ended = RunEnd { number: 1, task: TASK, run: 1, end: RunOutcome::Done, checkpoint: None };
    assert!(scheduler.run_ended(&host("a"), BEFORE, &ended, at(100)));
    scheduler.tick(at(200));
    let starts = scheduler.take_batch().effects;
    let starts_again = |effect: &Effect| matches!(effect, Effect::Start { task, .. } if *task == TASK);
    assert!(!starts.iter().any(starts_again), "{starts:?}");
    assert!(!scheduler.run_ended(&host("a"), BEFORE, &ended, at(300)), "the end is known already");
}

/// Guards against a job that fails because one failure is reported in two sessions and counted twice.
#[test]
fn an_end_as_failed_does_not_count_while_its_task_waits() {
    let (mut scheduler, _) = scheduler_with_assigned_runs();
    scheduler.host_crashed(&host("a"), BEFORE, &[], at(100));
    let ended = RunEnd { number: 1, task: TASK, run: 1, end: RunOutcome::Failed, checkpoint: None };
    assert!(!scheduler.run_ended(&host("a"), BEFORE, &ended, at(100)));
}
