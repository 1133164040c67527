//! Tests of the job scheduler: the order of records and commands, reassignment after failures, and placement.

use std::{collections::BTreeSet, sync::Arc};

use fescuelead_core::{
    jobs::{
        Batch, Effect, HostInfo, JobId, JobSpec, Moment, Phase, QueueSettings, Rejection, Replica, RunEnd, RunOutcome,
        Scheduler, StepSpec, TaskRef, TaskState,
        lease::{AgentLease, LeadershipProof, LeasePlan},
        pace::Headroom,
    },
    units::{Resources, TimeMs},
};

const JOB: JobId = JobId(0x4d57_56c9_7f82_414b);
const INCARNATION: u64 = 1_700_000_000_000;

fn plan() -> LeasePlan {
    LeasePlan::new(6_000)
}

fn at(ms: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + ms), unix_ms: INCARNATION + ms }
}

fn queue() -> QueueSettings {
    QueueSettings { service: "desk".to_owned(), priority: 1, max_failures: 3, stretch_percent: 150, latency_ms: 250 }
}

fn step(tasks: u32, cpu_milli: u32) -> StepSpec {
    StepSpec { tasks, resources: Resources::new(cpu_milli, 100), estimate_ms: 1_000, ..StepSpec::default() }
}

fn job(steps: Vec<StepSpec>) -> Arc<JobSpec> {
    let payload = "render".to_owned();
    Arc::new(JobSpec {
        queue: "previews".to_owned(),
        settings: queue(),
        accepted_unix_ms: INCARNATION,
        payload,
        steps,
        repeat: None,
    })
}

fn info(zone: &str) -> HostInfo {
    HostInfo {
        service: "desk".to_owned(),
        availability_zone: zone.to_owned(),
        labels: BTreeSet::from(["a".to_owned(), format!("rack-{zone}")]),
        capacity: Resources::new(4_000, 10_000),
        draining: false,
        ..HostInfo::default()
    }
}

fn connect(scheduler: &mut Scheduler, host: &str, zone: &str, now: Moment) {
    let host = host.to_owned();
    scheduler.host_connected(&host);
    scheduler.host_info_changed(&host, Some(info(zone)));
    scheduler.reconcile_host(&host, INCARNATION, &[], now);
}

/// A scheduler with the hosts `host-a` in `zone-a` and `host-b` in `zone-b`, both connected and empty.
fn scheduler_with_two_hosts() -> Scheduler {
    let mut scheduler = Scheduler::new(plan(), &Replica::new(), [], at(0));
    connect(&mut scheduler, "host-a", "zone-a", at(0));
    connect(&mut scheduler, "host-b", "zone-b", at(0));
    scheduler
}

fn starts(batch: &Batch) -> Vec<(TaskRef, u32, String)> {
    batch
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Start { host, task, run, .. } => Some((*task, *run, host.clone())),
            _ => None,
        })
        .collect()
}

fn task(step: u32, index: u32) -> TaskRef {
    TaskRef { job: JOB, occurrence: 0, step, index }
}

fn run_end(number: u64, task: TaskRef, run: u32, end: RunOutcome) -> RunEnd {
    RunEnd { number, task, run, end, checkpoint: None }
}

/// Submits a job and returns the runs that start: task, number of the run and host.
fn submit(scheduler: &mut Scheduler, steps: Vec<StepSpec>, now: Moment) -> Vec<(TaskRef, u32, String)> {
    scheduler.job_submitted(JOB, job(steps), now);
    scheduler.tick(now);
    starts(&scheduler.take_batch())
}

/// If a start could be sent without its record, the next leader would not know of the run and would start the task
/// again.
#[test]
fn a_start_is_returned_with_its_record() {
    let mut scheduler = scheduler_with_two_hosts();
    scheduler.take_batch();
    scheduler.job_submitted(JOB, job(vec![step(1, 1_000)]), at(10));
    scheduler.tick(at(10));
    let batch = scheduler.take_batch();
    let started = starts(&batch);
    assert_eq!(started.len(), 1);
    let (_, progress) = batch.records.iter().find(|(id, _)| *id == JOB).expect("a record of the job");
    let stored = progress.task(&task(0, 0)).expect("the task");
    assert_eq!(stored.state, TaskState::Assigned { host: started[0].2.clone(), incarnation: INCARNATION });
    assert_eq!(stored.run, started[0].1);
}

/// If a host discarded the end of a run before the end is stored, a crash of the leader would lose it, and the task
/// would run twice.
#[test]
fn the_end_of_a_run_is_acknowledged_with_its_record() {
    let mut scheduler = scheduler_with_two_hosts();
    let started = submit(&mut scheduler, vec![step(1, 1_000)], at(10));
    let host = &started[0].2;
    scheduler.run_ended(host, INCARNATION, &run_end(7, task(0, 0), 1, RunOutcome::Done), at(500));
    let batch = scheduler.take_batch();
    assert_eq!(batch.records.len(), 1);
    assert_eq!(batch.records[0].1.phase, Phase::Completed);
    let forget = Effect::Forget { host: host.clone(), incarnation: INCARNATION, up_to: 7 };
    assert!(batch.effects.contains(&forget), "{:?}", batch.effects);
}

#[test]
fn a_step_waits_for_all_tasks_of_its_dependencies() {
    let mut scheduler = scheduler_with_two_hosts();
    let second = StepSpec { after: vec![0], ..step(1, 1_000) };
    let started = submit(&mut scheduler, vec![step(2, 1_000), second], at(10));
    assert_eq!(started.len(), 2);
    scheduler.run_ended(&started[0].2, INCARNATION, &run_end(1, started[0].0, 1, RunOutcome::Done), at(400));
    scheduler.tick(at(400));
    assert!(starts(&scheduler.take_batch()).is_empty());
    scheduler.run_ended(&started[1].2, INCARNATION, &run_end(2, started[1].0, 1, RunOutcome::Done), at(500));
    scheduler.tick(at(500));
    assert_eq!(starts(&scheduler.take_batch()).iter().map(|start| start.0).collect::<Vec<_>>(), [task(1, 0)]);
}

#[test]
fn hosts_are_not_overcommitted() {
    let mut scheduler = scheduler_with_two_hosts();
    let started = submit(&mut scheduler, vec![step(20, 1_500)], at(10));
    // Two tasks of 1.5 cores fit on each of the two hosts with 4 cores.
    assert_eq!(started.len(), 4);
}

#[test]
fn nothing_starts_on_a_draining_host() {
    let mut scheduler = scheduler_with_two_hosts();
    scheduler.host_info_changed(&"host-a".to_owned(), Some(HostInfo { draining: true, ..info("zone-a") }));
    let started = submit(&mut scheduler, vec![step(2, 1_000)], at(10));
    assert!(started.iter().all(|start| start.2 == "host-b"), "{started:?}");
}

#[test]
fn nothing_starts_in_a_zone_that_is_out_of_service() {
    let mut scheduler = scheduler_with_two_hosts();
    scheduler.set_zones_out(BTreeSet::from(["zone-b".to_owned()]));
    let started = submit(&mut scheduler, vec![step(2, 1_000)], at(10));
    assert!(started.iter().all(|start| start.2 == "host-a"), "{started:?}");
}

/// A host without contact to the leader runs its tasks until its lease expires, so an earlier reassignment would run
/// them twice.
#[test]
fn tasks_of_an_unreachable_host_are_reassigned_only_after_its_lease_has_expired() {
    let mut scheduler = scheduler_with_two_hosts();
    let started = submit(&mut scheduler, vec![step(1, 1_000)], at(10));
    let host = started[0].2.clone();
    let answered = at(1_000);
    scheduler.host_disconnected(&host, Some(answered.at), at(3_000));
    let lost_at = plan().lost_after_answer(answered.at).since_ms(at(0).at);
    scheduler.tick(at(lost_at - 1));
    assert!(starts(&scheduler.take_batch()).is_empty());
    scheduler.tick(at(lost_at));
    let restarted = starts(&scheduler.take_batch());
    assert_eq!(restarted.len(), 1);
    assert_eq!(restarted[0].1, 2, "a new run must have a higher number");
    assert_ne!(restarted[0].2, host);
}

#[test]
fn tasks_of_a_restarted_endpoint_are_reassigned_at_once() {
    let mut scheduler = scheduler_with_two_hosts();
    let started = submit(&mut scheduler, vec![step(1, 1_000)], at(10));
    let host = started[0].2.clone();
    scheduler.host_connected(&host);
    scheduler.reconcile_host(&host, INCARNATION + 5, &[], at(700));
    scheduler.tick(at(700));
    let restarted = starts(&scheduler.take_batch());
    assert_eq!(restarted.iter().map(|start| (start.0, start.1)).collect::<Vec<_>>(), [(task(0, 0), 2)]);
}

/// A new leader knows from the records which runs may exist on hosts that have not contacted it yet, and must not start
/// them again before the leases of these hosts have expired.
#[test]
fn a_new_leader_waits_for_the_leases_of_unreachable_hosts() {
    let mut first = scheduler_with_two_hosts();
    first.job_submitted(JOB, job(vec![step(1, 1_000)]), at(10));
    first.tick(at(10));
    let batch = first.take_batch();
    let host = starts(&batch)[0].2.clone();
    let mut replica = Replica::new();
    replica.apply_submission(JOB, (*job(vec![step(1, 1_000)])).clone());
    replica.apply_progress(JOB, batch.records[0].1.clone());

    let took_over = at(2_000);
    let mut second = Scheduler::new(plan(), &replica, [host.clone()], took_over);
    let other = if host == "host-a" { "host-b" } else { "host-a" };
    connect(&mut second, other, "zone-c", at(2_050));
    let lost_at = plan().lost_after_takeover(took_over.at).since_ms(at(0).at);
    second.tick(at(lost_at - 1));
    assert!(starts(&second.take_batch()).is_empty());
    second.tick(at(lost_at));
    assert_eq!(starts(&second.take_batch()).len(), 1);
}

/// Guards against runs that the leader believes in for good without any metric that shows it.
#[test]
fn runs_on_a_host_that_has_not_reported_them_are_counted() {
    let mut scheduler = scheduler_with_two_hosts();
    let (task, run, host) = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    assert_eq!(scheduler.unreported_runs(), 0);
    scheduler.host_disconnected(&host, Some(at(20).at), at(30));
    scheduler.host_connected(&host);
    assert_eq!(scheduler.unreported_runs(), 1);
    scheduler.reconcile_host(&host, INCARNATION, &[(task, run)], at(40));
    assert_eq!(scheduler.unreported_runs(), 0);
}

#[test]
fn a_new_leader_sends_starts_again_for_runs_missing_on_their_host() {
    let mut first = scheduler_with_two_hosts();
    first.job_submitted(JOB, job(vec![step(1, 1_000)]), at(10));
    first.tick(at(10));
    let batch = first.take_batch();
    let (ordered, run, host) = starts(&batch)[0].clone();
    let mut replica = Replica::new();
    replica.apply_submission(JOB, (*job(vec![step(1, 1_000)])).clone());
    replica.apply_progress(JOB, batch.records[0].1.clone());
    let mut second = Scheduler::new(plan(), &replica, [host.clone()], at(2_000));
    connect(&mut second, &host, "zone-a", at(2_050));
    second.tick(at(2_050));
    assert_eq!(starts(&second.take_batch()), [(ordered, run, host)]);
}

/// A run that the leader has no record of uses resources that the leader counts as free.
#[test]
fn unknown_runs_are_stopped() {
    let mut scheduler = scheduler_with_two_hosts();
    scheduler.take_batch();
    let host = "host-a".to_owned();
    scheduler.reconcile_host(&host, INCARNATION, &[(task(0, 3), 2)], at(50));
    let stop = Effect::Stop { host, task: task(0, 3), run: 2 };
    assert!(scheduler.take_batch().effects.contains(&stop));
}

#[test]
fn a_job_fails_when_a_task_reaches_the_failure_limit() {
    let mut scheduler = scheduler_with_two_hosts();
    let mut run = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    for number in 1..=3 {
        scheduler.run_ended(&run.2, INCARNATION, &run_end(number, run.0, run.1, RunOutcome::Failed), at(number * 100));
        scheduler.tick(at(number * 100));
        let batch = scheduler.take_batch();
        match starts(&batch).pop() {
            Some(next) => run = next,
            None => {
                assert_eq!(number, 3);
                assert_eq!(batch.records[0].1.phase, Phase::Failed);
            }
        }
    }
}

/// The cause of a failure may be the host.
#[test]
fn a_failed_task_is_retried_on_another_host() {
    let mut scheduler = scheduler_with_two_hosts();
    let first = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    scheduler.run_ended(&first.2, INCARNATION, &run_end(1, first.0, 1, RunOutcome::Failed), at(100));
    scheduler.tick(at(100));
    let second = starts(&scheduler.take_batch()).remove(0);
    assert_ne!(first.2, second.2);
}

/// A host on which all runs fail at once is always empty, and would attract all tasks.
#[test]
fn a_host_on_which_runs_fail_is_avoided() {
    let mut scheduler = scheduler_with_two_hosts();
    for number in 1..=3 {
        let id = JobId(number);
        scheduler.job_submitted(id, job(vec![step(1, 1_000)]), at(number));
        scheduler.tick(at(number));
        let (task, run, host) = starts(&scheduler.take_batch()).remove(0);
        // Every job starts on the same host, because the resources of the failed run are released at once.
        scheduler.run_ended(&host, INCARNATION, &run_end(number, task, run, RunOutcome::Failed), at(number));
        scheduler.job_cancelled(id, at(number));
        scheduler.take_batch();
    }
    let started = submit(&mut scheduler, vec![step(2, 1_000)], at(10));
    assert_eq!(started.iter().map(|start| &start.2).collect::<BTreeSet<_>>().len(), 1, "{started:?}");
}

#[test]
fn a_rejected_run_is_replaced_on_another_host_under_a_higher_number() {
    let mut scheduler = scheduler_with_two_hosts();
    let (task, run, host) = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    scheduler.run_rejected(&host, INCARNATION, &task, run, Rejection::Unhealthy, at(20));
    scheduler.tick(at(20));
    let restarted = starts(&scheduler.take_batch());
    assert_eq!(restarted.iter().map(|start| start.1).collect::<Vec<_>>(), [2]);
    assert_ne!(restarted[0].2, host);
}

#[test]
fn a_cancelled_job_is_stopped_and_not_restarted() {
    let mut scheduler = scheduler_with_two_hosts();
    let (task, run, host) = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    scheduler.job_cancelled(JOB, at(50));
    let batch = scheduler.take_batch();
    assert_eq!(batch.records[0].1.phase, Phase::Cancelled);
    assert!(batch.effects.contains(&Effect::Stop { host: host.clone(), task, run }));
    scheduler.run_ended(&host, INCARNATION, &run_end(1, task, run, RunOutcome::Interrupted), at(200));
    scheduler.tick(at(200));
    assert!(starts(&scheduler.take_batch()).is_empty());
}

/// Guards against a long-running task that is never restarted, and a job that counts as completed, after a run has ended
/// as done.
#[rstest::rstest]
#[case::done(RunOutcome::Done, false)]
#[case::failed(RunOutcome::Failed, false)]
#[case::interrupted(RunOutcome::Interrupted, false)]
#[case::gang_done(RunOutcome::Done, true)]
#[case::gang_failed(RunOutcome::Failed, true)]
#[case::gang_interrupted(RunOutcome::Interrupted, true)]
fn long_running_tasks_are_restarted_however_they_end(#[case] end: RunOutcome, #[case] gang: bool) {
    let mut scheduler = scheduler_with_two_hosts();
    let mut started = submit(&mut scheduler, vec![StepSpec { long_running: true, gang, ..step(2, 1_000) }], at(10));
    let queue_limit = queue().max_failures;
    for round in 0..2 * u64::from(queue_limit) {
        let now = at(20 + round * 60_000);
        assert_eq!(started.len(), 2, "round {round}");
        // One end as done stands for all members of a gang.
        let listed = if gang && end == RunOutcome::Done { 1 } else { started.len() };
        for (number, (task, run, host)) in (1..).zip(&started[..listed]) {
            scheduler.run_ended(host, INCARNATION, &run_end(2 * round + number, *task, *run, end), now);
        }
        let batch = scheduler.take_batch();
        let (_, progress) = batch.records.iter().find(|(id, _)| *id == JOB).expect("a record of the job");
        assert_eq!(progress.phase, Phase::Active, "round {round}");
        let before = started[0].1;
        scheduler.tick(at(30_020 + round * 60_000));
        started = starts(&scheduler.take_batch());
        assert!(started.iter().all(|start| start.1 > before), "{started:?}");
    }
}

/// The record of a job is limited in size, and has the checkpoints of all its tasks. Those of tasks that are done would fill it.
#[rstest::rstest]
#[case::task(false)]
#[case::gang(true)]
fn a_task_that_is_done_keeps_no_checkpoint(#[case] gang: bool) {
    let mut scheduler = scheduler_with_two_hosts();
    let started = submit(&mut scheduler, vec![StepSpec { checkpoints: true, gang, ..step(2, 1_000) }], at(10));
    for (task, run, host) in &started {
        scheduler.checkpoint_saved(host, INCARNATION, task, *run, "half".to_owned());
    }
    for (number, (task, run, host)) in (1..).zip(&started) {
        let ended = RunEnd { checkpoint: Some("whole".to_owned()), ..run_end(number, *task, *run, RunOutcome::Done) };
        scheduler.run_ended(host, INCARNATION, &ended, at(20));
    }
    let batch = scheduler.take_batch();
    let (_, progress) = batch.records.iter().find(|(id, _)| *id == JOB).expect("a record of the job");
    assert_eq!(progress.phase, Phase::Completed);
    assert!(progress.occurrences.iter().flatten().flatten().all(|task| task.checkpoint.is_none()), "{progress:?}");
}

/// The members of a gang only make progress together, so a part of them would waste its hosts.
#[test]
fn a_gang_starts_completely_or_not_at_all() {
    let mut scheduler = scheduler_with_two_hosts();
    let gang = |tasks| StepSpec { gang: true, ..step(tasks, 2_000) };
    assert!(submit(&mut scheduler, vec![gang(5)], at(10)).is_empty());
    scheduler.job_cancelled(JOB, at(20));
    scheduler.job_submitted(JobId(2), job(vec![gang(4)]), at(30));
    scheduler.tick(at(30));
    let started = starts(&scheduler.take_batch());
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|start| start.1 == started[0].1), "all members must have the same run number");
}

/// Serving tasks can have nearly all processors committed without using them. A background job that waited for
/// uncommitted processors would never start.
#[test]
fn an_idle_background_job_starts_one_task() {
    let mut scheduler = scheduler_with_two_hosts();
    let serving = StepSpec { tail_target_ms: Some(50), long_running: true, ..step(2, 4_000) };
    assert_eq!(submit(&mut scheduler, vec![serving], at(10)).len(), 2);
    let background = StepSpec { background: true, ..step(3, 5_000) };
    scheduler.job_submitted(JobId(2), job(vec![background]), at(20));
    scheduler.tick(at(20));
    assert!(starts(&scheduler.take_batch()).is_empty());
    scheduler.tick(at(1_100));
    assert_eq!(starts(&scheduler.take_batch()).len(), 1);
}

/// Background tasks interfere with serving tasks, so the two run on different hosts as long as there are enough hosts.
#[test]
fn serving_tasks_are_packed_and_background_tasks_run_on_other_hosts() {
    let mut scheduler = scheduler_with_two_hosts();
    let serving = StepSpec { tail_target_ms: Some(50), long_running: true, ..step(3, 1_000) };
    let served = submit(&mut scheduler, vec![serving], at(10));
    let hosts: BTreeSet<_> = served.iter().map(|start| start.2.clone()).collect();
    assert_eq!(hosts.len(), 1, "{served:?}");
    scheduler.job_submitted(JobId(2), job(vec![StepSpec { background: true, ..step(2, 1_000) }]), at(20));
    scheduler.tick(at(20));
    let background = starts(&scheduler.take_batch());
    assert!(background.iter().all(|start| !hosts.contains(&start.2)), "{background:?}");
}

#[test]
fn a_deadline_on_a_slow_clock_passes_before_the_lease_expires() {
    let mut lease = AgentLease::new(TimeMs(0));
    lease.extend(TimeMs(10_000), 5_000);
    // The endpoint's clock reads 500 ms when the agent's reads 11,000 ms; the lease expires 4,000 ms later.
    let deadline_ms = lease.deadline_ms(500, TimeMs(11_000));
    let elapsed_ms = (deadline_ms - 500) * 100 / 98;
    assert!(elapsed_ms <= 4_000, "{elapsed_ms}");
    assert!(elapsed_ms >= 3_990, "{elapsed_ms}");
}

/// If a grant counted from the arrival of the response, a delayed response would extend the lease beyond the time that
/// the leader assumes.
#[test]
fn a_grant_counts_from_the_request() {
    let mut lease = AgentLease::new(TimeMs(0));
    lease.extend(TimeMs(10_000), 5_000);
    lease.extend(TimeMs(2_000), 5_000);
    assert_eq!(lease.expires_at(), TimeMs(15_000));
}

/// A leader without a recent response of the store may have been replaced.
#[test]
fn a_proof_of_leadership_expires() {
    let mut proof = LeadershipProof::default();
    proof.renew(TimeMs(10_000));
    assert!(proof.is_valid(&plan(), TimeMs(10_000 + plan().proof_ms - 1)));
    assert!(!proof.is_valid(&plan(), TimeMs(10_000 + plan().proof_ms)));
}

/// Background tasks waited although most of a service was uncommitted, because all of its hosts offered too low a
/// speed.
#[test]
fn background_tasks_start_on_throttling_hosts_of_a_mostly_uncommitted_service() {
    let mut scheduler = scheduler_with_two_hosts();
    for host in ["host-a", "host-b"] {
        scheduler.host_headroom_changed(&host.to_owned(), &Headroom::from([("web".to_owned(), 0)]));
    }
    let background = StepSpec { background: true, image: Some("render".to_owned()), ..step(4, 1_000) };
    let started = submit(&mut scheduler, vec![background], at(10));
    assert_eq!(started.len(), 4);
}

/// Between two full placements, waiting steps are matched only against changed hosts. A host not marked as changed
/// would leave its resources unused until the next full placement.
#[test]
fn a_waiting_task_starts_as_soon_as_a_host_has_free_resources() {
    let mut scheduler = scheduler_with_two_hosts();
    let running = submit(&mut scheduler, vec![step(2, 4_000)], at(10));
    assert_eq!(running.len(), 2, "both hosts must be fully committed");
    scheduler.job_submitted(JobId(2), job(vec![step(1, 4_000)]), at(300));
    scheduler.tick(at(300));
    assert!(starts(&scheduler.take_batch()).is_empty());
    let (task, run, host) = running[1].clone();
    scheduler.run_ended(&host, INCARNATION, &run_end(1, task, run, RunOutcome::Done), at(310));
    scheduler.tick(at(310));
    let started = starts(&scheduler.take_batch());
    assert_eq!(started.iter().map(|start| start.2.clone()).collect::<Vec<_>>(), [host]);
}

/// None of the hosts of a zone reports a change when the zone returns to service, so the scheduler itself has to match
/// waiting steps against them.
#[test]
fn a_waiting_task_starts_as_soon_as_its_zone_is_back_in_service() {
    let mut scheduler = scheduler_with_two_hosts();
    scheduler.set_zones_out(BTreeSet::from(["zone-a".to_owned(), "zone-b".to_owned()]));
    assert!(submit(&mut scheduler, vec![step(1, 1_000)], at(10)).is_empty());
    scheduler.set_zones_out(BTreeSet::from(["zone-b".to_owned()]));
    scheduler.tick(at(20));
    assert_eq!(starts(&scheduler.take_batch()).len(), 1);
}

/// Guards against a task that never runs again: something accepts connections at the address of its host and never
/// responds, and each such session deferred the time at which the host counts as lost.
#[rstest::rstest]
#[case::after_a_session(false)]
#[case::after_a_takeover(true)]
fn sessions_without_a_report_do_not_defer_the_loss_of_a_host(#[case] takeover: bool) {
    let mut scheduler = scheduler_with_two_hosts();
    scheduler.job_submitted(JOB, job(vec![step(1, 1_000)]), at(10));
    scheduler.tick(at(10));
    let batch = scheduler.take_batch();
    let host = starts(&batch).remove(0).2;
    let lost_at = if takeover {
        let mut replica = Replica::new();
        replica.apply_submission(JOB, (*job(vec![step(1, 1_000)])).clone());
        batch.records.into_iter().for_each(|(id, progress)| replica.apply_progress(id, progress));
        scheduler = Scheduler::new(plan(), &replica, [host.clone()], at(20));
        let other = if host == "host-a" { "host-b" } else { "host-a" };
        connect(&mut scheduler, other, "zone", at(20));
        plan().lost_after_takeover(at(20).at)
    } else {
        scheduler.host_disconnected(&host, Some(at(20).at), at(2_220));
        plan().lost_after_answer(at(20).at)
    };
    let mut now_ms = 2_300;
    let mut restarted = Vec::new();
    while restarted.is_empty() {
        assert!(now_ms < 20_000, "not restarted after {now_ms} ms");
        scheduler.host_connected(&host);
        now_ms += 2_200;
        scheduler.tick(at(now_ms));
        scheduler.host_disconnected(&host, None, at(now_ms));
        scheduler.tick(at(now_ms));
        restarted = starts(&scheduler.take_batch());
        assert!(restarted.is_empty() || at(now_ms).at >= lost_at, "restarted after {now_ms} ms");
        now_ms += 150;
    }
    assert!(at(now_ms).at < lost_at.plus_ms(2_500), "restarted after {now_ms} ms");
    assert_ne!(restarted[0].2, host);
}

/// Guards against running a task twice: its start may have been sent in a session in which the host reported its runs.
#[test]
fn a_session_with_a_report_defers_the_loss_of_a_host() {
    let mut scheduler = scheduler_with_two_hosts();
    let (task, run, host) = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    scheduler.host_disconnected(&host, Some(at(20).at), at(2_220));
    scheduler.host_connected(&host);
    scheduler.reconcile_host(&host, INCARNATION, &[(task, run)], at(2_300));
    assert_eq!(starts(&scheduler.take_batch()), [(task, run, host.clone())]);
    scheduler.host_disconnected(&host, None, at(4_500));
    let lost_at = plan().lost_after_takeover(at(4_500).at);
    scheduler.tick(Moment { at: TimeMs(lost_at.0 - 1), unix_ms: INCARNATION });
    assert_eq!(starts(&scheduler.take_batch()), []);
    scheduler.tick(Moment { at: lost_at, unix_ms: INCARNATION });
    assert_eq!(starts(&scheduler.take_batch()).len(), 1);
}

/// Guards against running a task twice: a session in which a lease was granted extends the time for which runs may exist
/// on its host, also if the host reported none of them.
#[test]
fn a_session_with_a_grant_defers_the_loss_of_a_host() {
    let mut scheduler = scheduler_with_two_hosts();
    let host = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0).2;
    scheduler.host_disconnected(&host, Some(at(20).at), at(2_220));
    scheduler.host_connected(&host);
    scheduler.host_disconnected(&host, Some(at(2_400).at), at(4_500));
    // A further session in which nothing is known leaves the time as it is.
    scheduler.host_connected(&host);
    scheduler.host_disconnected(&host, None, at(6_800));
    let lost_at = plan().lost_after_answer(at(2_400).at);
    scheduler.tick(Moment { at: TimeMs(lost_at.0 - 1), unix_ms: INCARNATION });
    assert_eq!(starts(&scheduler.take_batch()), []);
    scheduler.tick(Moment { at: lost_at, unix_ms: INCARNATION });
    assert_eq!(starts(&scheduler.take_batch()).len(), 1);
}
