//! The job scheduler: what is stored before what is ordered, when work goes elsewhere, and where it goes.

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
    }
}

fn connect(scheduler: &mut Scheduler, host: &str, zone: &str, now: Moment) {
    let host = host.to_owned();
    scheduler.host_connected(&host);
    scheduler.host_info_changed(&host, Some(info(zone)));
    scheduler.reconcile_host(&host, INCARNATION, &[], now);
}

/// A leader with hosts `host-a` and `host-b`, in zones of their own.
fn leader() -> Scheduler {
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

fn ended(number: u64, task: TaskRef, run: u32, end: RunOutcome) -> RunEnd {
    RunEnd { number, task, run, end, checkpoint: None }
}

/// Submits a job and returns what is started.
fn submit(scheduler: &mut Scheduler, steps: Vec<StepSpec>, now: Moment) -> Vec<(TaskRef, u32, String)> {
    scheduler.job_submitted(JOB, job(steps), now);
    scheduler.tick(now);
    starts(&scheduler.take_batch())
}

/// An order that no record explains would be repeated by the next leader.
#[test]
fn a_start_comes_with_the_record_that_explains_it() {
    let mut scheduler = leader();
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

/// An end that its host forgets before it is stored would be lost with the leader, and its task would run twice.
#[test]
fn an_end_is_forgotten_with_the_record_of_it() {
    let mut scheduler = leader();
    let started = submit(&mut scheduler, vec![step(1, 1_000)], at(10));
    let host = &started[0].2;
    scheduler.run_ended(host, INCARNATION, &ended(7, task(0, 0), 1, RunOutcome::Done), at(500));
    let batch = scheduler.take_batch();
    assert_eq!(batch.records.len(), 1);
    assert_eq!(batch.records[0].1.phase, Phase::Completed);
    let forget = Effect::Forget { host: host.clone(), incarnation: INCARNATION, up_to: 7 };
    assert!(batch.effects.contains(&forget), "{:?}", batch.effects);
}

#[test]
fn a_step_waits_for_all_tasks_of_the_steps_it_depends_on() {
    let mut scheduler = leader();
    let second = StepSpec { after: vec![0], ..step(1, 1_000) };
    let started = submit(&mut scheduler, vec![step(2, 1_000), second], at(10));
    assert_eq!(started.len(), 2);
    scheduler.run_ended(&started[0].2, INCARNATION, &ended(1, started[0].0, 1, RunOutcome::Done), at(400));
    scheduler.tick(at(400));
    assert!(starts(&scheduler.take_batch()).is_empty());
    scheduler.run_ended(&started[1].2, INCARNATION, &ended(2, started[1].0, 1, RunOutcome::Done), at(500));
    scheduler.tick(at(500));
    assert_eq!(starts(&scheduler.take_batch()).iter().map(|start| start.0).collect::<Vec<_>>(), [task(1, 0)]);
}

#[test]
fn no_host_is_committed_beyond_its_resources() {
    let mut scheduler = leader();
    let started = submit(&mut scheduler, vec![step(20, 1_500)], at(10));
    // Two of 1.5 cores fit into 4 cores on each of two hosts.
    assert_eq!(started.len(), 4);
}

#[test]
fn nothing_starts_on_a_host_that_leaves() {
    let mut scheduler = leader();
    scheduler.host_info_changed(&"host-a".to_owned(), Some(HostInfo { draining: true, ..info("zone-a") }));
    let started = submit(&mut scheduler, vec![step(2, 1_000)], at(10));
    assert!(started.iter().all(|start| start.2 == "host-b"), "{started:?}");
}

#[test]
fn nothing_starts_in_a_zone_that_is_out_of_service() {
    let mut scheduler = leader();
    scheduler.set_zones_out(BTreeSet::from(["zone-b".to_owned()]));
    let started = submit(&mut scheduler, vec![step(2, 1_000)], at(10));
    assert!(started.iter().all(|start| start.2 == "host-a"), "{started:?}");
}

/// A host that is cut off from the leader runs on until its lease ends.
#[test]
fn work_of_a_silent_host_goes_elsewhere_only_after_its_lease() {
    let mut scheduler = leader();
    let started = submit(&mut scheduler, vec![step(1, 1_000)], at(10));
    let host = started[0].2.clone();
    let answered = at(1_000);
    scheduler.host_disconnected(&host, Some(answered.at), at(3_000));
    let lost_at = plan().lost_after_answer(answered.at).since_ms(at(0).at);
    scheduler.tick(at(lost_at - 1));
    assert!(starts(&scheduler.take_batch()).is_empty());
    scheduler.tick(at(lost_at));
    let again = starts(&scheduler.take_batch());
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1, 2, "a new run has a higher number");
    assert_ne!(again[0].2, host);
}

#[test]
fn work_of_a_host_whose_endpoint_started_anew_goes_on_at_once() {
    let mut scheduler = leader();
    let started = submit(&mut scheduler, vec![step(1, 1_000)], at(10));
    let host = started[0].2.clone();
    scheduler.host_connected(&host);
    scheduler.reconcile_host(&host, INCARNATION + 5, &[], at(700));
    scheduler.tick(at(700));
    let again = starts(&scheduler.take_batch());
    assert_eq!(again.iter().map(|start| (start.0, start.1)).collect::<Vec<_>>(), [(task(0, 0), 2)]);
}

/// A leader that takes over knows of the runs of hosts that it has never been in touch with.
#[test]
fn a_new_leader_waits_for_the_leases_of_hosts_it_does_not_reach() {
    let mut first = leader();
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

#[test]
fn a_new_leader_orders_again_what_a_host_does_not_run_yet() {
    let mut first = leader();
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

/// Runs that nobody has ordered, as far as the leader knows, hold resources that it counts as free.
#[test]
fn unknown_runs_are_stopped() {
    let mut scheduler = leader();
    scheduler.take_batch();
    let host = "host-a".to_owned();
    scheduler.reconcile_host(&host, INCARNATION, &[(task(0, 3), 2)], at(50));
    let stop = Effect::Stop { host, task: task(0, 3), run: 2 };
    assert!(scheduler.take_batch().effects.contains(&stop));
}

#[test]
fn a_job_fails_when_a_task_has_failed_as_often_as_allowed() {
    let mut scheduler = leader();
    let mut run = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    for number in 1..=3 {
        scheduler.run_ended(&run.2, INCARNATION, &ended(number, run.0, run.1, RunOutcome::Failed), at(number * 100));
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

/// A task that fails on one host may succeed on another.
#[test]
fn a_task_is_tried_on_another_host_after_a_failure() {
    let mut scheduler = leader();
    let first = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    scheduler.run_ended(&first.2, INCARNATION, &ended(1, first.0, 1, RunOutcome::Failed), at(100));
    scheduler.tick(at(100));
    let second = starts(&scheduler.take_batch()).remove(0);
    assert_ne!(first.2, second.2);
}

/// A host that fails all it starts is the emptiest, and would draw all work.
#[test]
fn a_host_that_fails_what_it_runs_is_avoided() {
    let mut scheduler = leader();
    for number in 1..=3 {
        let id = JobId(number);
        scheduler.job_submitted(id, job(vec![step(1, 1_000)]), at(number));
        scheduler.tick(at(number));
        let (task, run, host) = starts(&scheduler.take_batch()).remove(0);
        // Every job starts on the same host, since the other one is given back its room at once.
        scheduler.run_ended(&host, INCARNATION, &ended(number, task, run, RunOutcome::Failed), at(number));
        scheduler.job_cancelled(id, at(number));
        scheduler.take_batch();
    }
    let started = submit(&mut scheduler, vec![step(2, 1_000)], at(10));
    assert_eq!(started.iter().map(|start| &start.2).collect::<BTreeSet<_>>().len(), 1, "{started:?}");
}

#[test]
fn a_rejected_run_is_ordered_elsewhere_under_a_higher_number() {
    let mut scheduler = leader();
    let (task, run, host) = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    scheduler.run_rejected(&host, INCARNATION, &task, run, Rejection::Unhealthy, at(20));
    scheduler.tick(at(20));
    let again = starts(&scheduler.take_batch());
    assert_eq!(again.iter().map(|start| start.1).collect::<Vec<_>>(), [2]);
    assert_ne!(again[0].2, host);
}

#[test]
fn a_cancelled_job_is_stopped_and_does_not_start_again() {
    let mut scheduler = leader();
    let (task, run, host) = submit(&mut scheduler, vec![step(1, 1_000)], at(10)).remove(0);
    scheduler.job_cancelled(JOB, at(50));
    let batch = scheduler.take_batch();
    assert_eq!(batch.records[0].1.phase, Phase::Cancelled);
    assert!(batch.effects.contains(&Effect::Stop { host: host.clone(), task, run }));
    scheduler.run_ended(&host, INCARNATION, &ended(1, task, run, RunOutcome::Interrupted), at(200));
    scheduler.tick(at(200));
    assert!(starts(&scheduler.take_batch()).is_empty());
}

/// The ranks of a gang work only together, so some of them alone waste their hosts.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut scheduler = leader();
    let gang = |tasks| StepSpec { gang: true, ..step(tasks, 2_000) };
    assert!(submit(&mut scheduler, vec![gang(5)], at(10)).is_empty());
    scheduler.job_cancelled(JOB, at(20));
    scheduler.job_submitted(JobId(2), job(vec![gang(4)]), at(30));
    scheduler.tick(at(30));
    let started = starts(&scheduler.take_batch());
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|start| start.1 == started[0].1), "one run number for all");
}

/// Nearly all processors of a site can be committed to serving tasks that do not use them; a job that waits for free ones
/// would never start.
#[test]
fn a_background_job_of_which_nothing_runs_starts_one_task() {
    let mut scheduler = leader();
    let serving = StepSpec { tail_target_ms: Some(50), long_running: true, ..step(2, 4_000) };
    assert_eq!(submit(&mut scheduler, vec![serving], at(10)).len(), 2);
    let background = StepSpec { background: true, ..step(3, 5_000) };
    scheduler.job_submitted(JobId(2), job(vec![background]), at(20));
    scheduler.tick(at(20));
    assert!(starts(&scheduler.take_batch()).is_empty());
    scheduler.tick(at(1_100));
    assert_eq!(starts(&scheduler.take_batch()).len(), 1);
}

/// Tasks that serve users are disturbed by background tasks, so the two are kept on different hosts while there is room.
#[test]
fn serving_tasks_are_packed_and_background_tasks_kept_away() {
    let mut scheduler = leader();
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
fn a_deadline_for_a_slow_clock_ends_before_the_authority() {
    let mut authority = AgentLease::new(TimeMs(0));
    authority.extend(TimeMs(10_000), 5_000);
    // The endpoint read 500 ms on its clock when the agent's read 11,000 ms; 4,000 ms of authority are left.
    let deadline_ms = authority.deadline_ms(500, TimeMs(11_000));
    let slow_clock_takes_ms = (deadline_ms - 500) * 100 / 98;
    assert!(slow_clock_takes_ms <= 4_000, "{slow_clock_takes_ms}");
    assert!(slow_clock_takes_ms >= 3_990, "{slow_clock_takes_ms}");
}

/// A late answer must not extend the authority from the time at which it came.
#[test]
fn a_grant_counts_from_the_question() {
    let mut authority = AgentLease::new(TimeMs(0));
    authority.extend(TimeMs(10_000), 5_000);
    authority.extend(TimeMs(2_000), 5_000);
    assert_eq!(authority.expires_at(), TimeMs(15_000));
}

/// A leader that the store has not answered may have been replaced.
#[test]
fn a_proof_of_leadership_ends() {
    let mut proof = LeadershipProof::default();
    proof.confirm(TimeMs(10_000));
    assert!(proof.is_valid(&plan(), TimeMs(10_000 + plan().proof_ms - 1)));
    assert!(!proof.is_valid(&plan(), TimeMs(10_000 + plan().proof_ms)));
}

/// With most of a service free, a job waited behind others because its hosts let background tasks run slowly.
#[test]
fn background_tasks_start_on_slow_hosts_of_a_service_that_is_mostly_free() {
    let mut scheduler = leader();
    for host in ["host-a", "host-b"] {
        scheduler.host_headroom_changed(&host.to_owned(), &Headroom::from([("web".to_owned(), 0)]));
    }
    let background = StepSpec { background: true, image: Some("render".to_owned()), ..step(4, 1_000) };
    let started = submit(&mut scheduler, vec![background], at(10));
    assert_eq!(started.len(), 4);
}

/// Waiting steps are compared with changed hosts only between two looks at all; one that misses a host would wait in vain.
#[test]
fn a_waiting_task_starts_as_soon_as_its_host_has_room() {
    let mut scheduler = leader();
    let running = submit(&mut scheduler, vec![step(2, 4_000)], at(10));
    assert_eq!(running.len(), 2, "both hosts are full");
    scheduler.job_submitted(JobId(2), job(vec![step(1, 4_000)]), at(300));
    scheduler.tick(at(300));
    assert!(starts(&scheduler.take_batch()).is_empty());
    let (task, run, host) = running[1].clone();
    scheduler.run_ended(&host, INCARNATION, &ended(1, task, run, RunOutcome::Done), at(310));
    scheduler.tick(at(310));
    let started = starts(&scheduler.take_batch());
    assert_eq!(started.iter().map(|start| start.2.clone()).collect::<Vec<_>>(), [host]);
}

/// The same for a zone that is back in service: none of its hosts has said anything.
#[test]
fn a_waiting_task_starts_as_soon_as_a_zone_is_back() {
    let mut scheduler = leader();
    scheduler.set_zones_out(BTreeSet::from(["zone-a".to_owned(), "zone-b".to_owned()]));
    assert!(submit(&mut scheduler, vec![step(1, 1_000)], at(10)).is_empty());
    scheduler.set_zones_out(BTreeSet::from(["zone-b".to_owned()]));
    scheduler.tick(at(20));
    assert_eq!(starts(&scheduler.take_batch()).len(), 1);
}
