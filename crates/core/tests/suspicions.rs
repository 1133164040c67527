//! Tests of what the leader does with a task while an endpoint refuses connections that the task may have crashed.

use std::{collections::BTreeSet, sync::Arc};

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, JobId, JobSpec, Moment, Phase, QueueSettings, Replica, Scheduler, StepSpec, Suspicion,
        TRIAL_MS, TaskRef, lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};
use rstest::rstest;

const UNIX_MS: u64 = 1_700_000_000_000;
const TASK: TaskRef = TaskRef { job: JobId(1), occurrence: 0, step: 0, index: 0 };
/// How long the leader needs at most to start a task on a trial, in milliseconds.
const SETTLED_MS: u64 = 2_000;

/// A leader with two hosts, which run what they are told to.
struct World {
    now: u64,
    stored: Replica,
    scheduler: Scheduler,
    /// The starts in their order: task, run, host, and when.
    started: Vec<(TaskRef, u32, String, u64)>,
}

fn info() -> HostInfo {
    HostInfo {
        service: "desk".to_owned(),
        availability_zone: "a".to_owned(),
        labels: BTreeSet::new(),
        capacity: Resources::new(4_000, 1_000),
        draining: false,
        ..HostInfo::default()
    }
}

fn spec(tasks: u32) -> JobSpec {
    let settings = QueueSettings {
        service: "desk".to_owned(),
        priority: 1,
        max_failures: 3,
        stretch_percent: 150,
        latency_ms: 250,
    };
    let step = StepSpec { tasks, resources: Resources::new(500, 100), estimate_ms: 500, ..StepSpec::default() };
    JobSpec {
        queue: "previews".to_owned(),
        settings,
        accepted_unix_ms: UNIX_MS,
        payload: String::new(),
        steps: vec![step],
        repeat: None,
    }
}

fn suspicion() -> Suspicion {
    Suspicion { incarnation: 1, suspects: vec![(TASK, 1)] }
}

impl World {
    /// Starts the first run of [`TASK`], which the endpoint of its host may have crashed under. The host offers nothing from then
    /// on. Returns its name, too.
    fn start() -> (Self, String) {
        let moment = Moment { at: TimeMs(1_000_000), unix_ms: UNIX_MS };
        let scheduler = Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], moment);
        let mut world = Self { now: 0, stored: Replica::new(), scheduler, started: Vec::new() };
        for host in ["host-a", "host-b"] {
            world.scheduler.host_connected(&host.to_owned());
            world.scheduler.host_info_changed(&host.to_owned(), Some(info()));
            world.scheduler.reconcile_host(&host.to_owned(), 1, &[], moment);
        }
        world.submit(1, 1);
        world.run_ms(50);
        let host = world.started[0].2.clone();
        world.scheduler.host_info_changed(&host, None);
        world.scheduler.host_suspected(&host, suspicion());
        world.run_ms(SETTLED_MS);
        assert_eq!(world.started.len(), 1, "started elsewhere although its run may go on");
        (world, host)
    }

    fn moment(&self) -> Moment {
        Moment { at: TimeMs(1_000_000 + self.now), unix_ms: UNIX_MS + self.now }
    }

    fn submit(&mut self, job: u64, tasks: u32) {
        self.stored.apply_submission(JobId(job), spec(tasks));
        self.scheduler.job_submitted(JobId(job), Arc::new(spec(tasks)), self.moment());
    }

    fn run_ms(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 10;
            self.scheduler.tick(self.moment());
            let batch = self.scheduler.take_batch();
            for (job, progress) in batch.records {
                self.stored.apply_progress(job, progress);
            }
            for effect in batch.effects {
                if let Effect::Start { host, task, run, reported: false, .. } = effect {
                    self.started.push((task, run, host, self.now));
                }
            }
        }
    }

    /// The number of crashes that are stored against [`TASK`].
    fn counted(&self) -> Option<u32> {
        self.stored.job(TASK.job)?.progress.as_ref()?.crashes.get(&TASK).copied()
    }
}

/// Guards against a task that takes host after host out of service before the first endpoint is back: it starts alone once the
/// lease has ended, and nothing is counted against it.
#[test]
fn a_suspected_task_is_on_trial_after_the_lease_has_ended() {
    let (mut world, host) = World::start();
    world.scheduler.host_crashed(&host, 1, &[], world.moment());
    while world.started.len() < 2 && world.now < 2 * SETTLED_MS {
        world.run_ms(10);
    }
    let (_, run, on, at) = world.started[1].clone();
    assert_eq!(run, 2);
    assert_ne!(on, host);
    world.submit(2, 1);
    world.run_ms(SETTLED_MS);
    let beside = world.started.iter().find(|(task, ..)| task.job == JobId(2)).expect("a start");
    assert!(beside.3 >= at + TRIAL_MS, "{beside:?}, trial at {at}");
    assert_eq!(world.counted(), None);
}

/// Guards against a job that fails because its task had just started when a host was cut off.
#[rstest]
fn a_suspicion_ends_when_the_endpoint_answers(#[values(false, true)] by_report: bool) {
    let (mut world, host) = World::start();
    if by_report {
        let counted = world.scheduler.reconcile_host(&host, 1, &[(TASK, 1)], world.moment());
        assert_eq!(counted, []);
    } else {
        world.scheduler.suspicion_withdrawn(&host);
    }
    // A late crash of the same host has other suspects.
    let counted = world.scheduler.reconcile_host(&host, 2, &[], world.moment());
    assert_eq!(counted, []);
    world.run_ms(SETTLED_MS);
    assert_eq!(world.counted(), None);
    assert_eq!(world.started.len(), 2);
}

/// Guards against a crash that is never counted: the agent that knew the suspects was restarted before the endpoint was back.
#[test]
fn the_next_incarnation_proves_a_suspicion() {
    let (mut world, host) = World::start();
    let counted = world.scheduler.reconcile_host(&host, 2, &[], world.moment());
    assert_eq!(counted.iter().map(|crash| (crash.task, crash.run, crash.crashes)).collect::<Vec<_>>(), [(TASK, 1, 1)]);
    world.run_ms(SETTLED_MS);
    assert_eq!(world.counted(), Some(1));
    assert_eq!(world.scheduler.reconcile_host(&host, 3, &[], world.moment()), []);
}

/// Guards against a crash that is never counted, and against one that is counted twice: the task has a later run by the time that
/// the crash of the first is proved. The later run goes on.
#[test]
fn a_crash_counts_after_the_task_has_started_again() {
    let (mut world, host) = World::start();
    world.scheduler.host_crashed(&host, 1, &[], world.moment());
    world.run_ms(SETTLED_MS);
    let suspects = suspicion().suspects;
    let counted = world.scheduler.host_crashed(&host, 1, &suspects, world.moment());
    assert_eq!(counted.len(), 1);
    assert_eq!(world.scheduler.host_crashed(&host, 1, &suspects, world.moment()), []);
    assert_eq!(world.scheduler.reconcile_host(&host, 2, &[], world.moment()), []);
    world.run_ms(SETTLED_MS);
    assert_eq!(world.counted(), Some(1));
    assert_eq!(world.started.len(), 2);
    assert_eq!(world.stored.phase(TASK.job), Some(Phase::Active));
}
