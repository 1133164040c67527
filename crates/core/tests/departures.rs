//! Tests of tasks that are moved away from hosts whose endpoints end as planned.

use std::{collections::BTreeSet, sync::Arc};

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, HostName, JobId, JobSpec, Moment, MoveReason, QueueSettings, Replica, RunEnd, RunOutcome,
        Scheduler, StepSpec, TaskRef, lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};
use rstest::rstest;

const START_UNIX_MS: u64 = 1_700_000_000_000;
const INCARNATION: u64 = START_UNIX_MS;
const ZONE: &str = "zone-a";
const FROM: &str = "host-a";
const REMAINING_MS: u64 = 2_000;

fn at(ms: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + ms), unix_ms: START_UNIX_MS + ms }
}

fn task(job: u64, index: u32) -> TaskRef {
    TaskRef { job: JobId(job), occurrence: 0, step: 0, index }
}

fn info(draining: bool) -> HostInfo {
    HostInfo {
        service: "desk".to_owned(),
        availability_zone: ZONE.to_owned(),
        capacity: Resources::new(4_000, 8_000),
        draining,
        ..HostInfo::default()
    }
}

/// A step of tasks of one core that never end on their own.
fn serving(tasks: u32) -> StepSpec {
    StepSpec { tasks, resources: Resources::new(1_000, 1_000), long_running: true, ..StepSpec::default() }
}

/// A scheduler with hosts of 4 cores. The commands to stop, and the starts, are collected with their hosts.
struct World {
    scheduler: Scheduler,
    moves: Vec<TaskRef>,
    starts: Vec<(TaskRef, u32, HostName, Option<String>)>,
}

impl World {
    /// With the one host [`FROM`].
    fn new() -> Self {
        let scheduler = Scheduler::new(LeasePlan::new(10_000), &Replica::new(), [], at(0));
        let mut world = Self { scheduler, moves: Vec::new(), starts: Vec::new() };
        world.add_host(FROM, 0);
        world
    }

    fn add_host(&mut self, name: &str, ms: u64) {
        let host = name.to_owned();
        self.scheduler.host_connected(&host);
        self.scheduler.host_info_changed(&host, Some(info(false)));
        self.scheduler.reconcile_host(&host, INCARNATION, &[], at(ms));
    }

    fn submit(&mut self, job: u64, step: StepSpec, ms: u64) {
        let settings = QueueSettings {
            service: "desk".to_owned(),
            priority: 1,
            max_failures: 3,
            stretch_percent: 150,
            latency_ms: 250,
        };
        let spec = JobSpec {
            queue: "previews".to_owned(),
            settings,
            accepted_unix_ms: START_UNIX_MS,
            payload: String::new(),
            steps: vec![step],
            repeat: None,
        };
        self.scheduler.job_submitted(JobId(job), Arc::new(spec), at(ms));
        self.tick(ms);
    }

    fn tick(&mut self, ms: u64) {
        self.scheduler.tick(at(ms));
        for effect in self.scheduler.take_batch().effects {
            match effect {
                Effect::Move { host, task, reason: MoveReason::Departure, .. } => {
                    assert_eq!(host, FROM);
                    self.moves.push(task);
                }
                Effect::Start { host, task, run, checkpoint, .. } => self.starts.push((task, run, host, checkpoint)),
                Effect::Forget { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// [`FROM`] drains, and states that it continues for `remaining_ms`.
    fn drain(&mut self, remaining_ms: Option<u64>, ms: u64) {
        let host = FROM.to_owned();
        self.scheduler.host_info_changed(&host, Some(info(true)));
        self.scheduler.host_departure_announced(&host, remaining_ms.map(|left_ms| at(ms + left_ms).at));
        self.tick(ms);
    }

    /// Reports the end of the first run of a task that was stopped on [`FROM`].
    fn interrupted(&mut self, task: TaskRef, ms: u64) {
        let checkpoint = Some(format!("of {task}"));
        let number = u64::from(task.index) + 1;
        let ended = RunEnd { number, task, run: 1, end: RunOutcome::Interrupted, checkpoint };
        assert!(self.scheduler.run_ended(&FROM.to_owned(), INCARNATION, &ended, at(ms)));
        self.tick(ms);
    }
}

/// Guards against serving tasks that are left on an endpoint until it has gone, that start elsewhere before their runs have ended,
/// or that all go to the same host.
#[test]
fn long_running_tasks_are_moved_at_once_to_several_hosts_from_their_checkpoints() {
    let mut world = World::new();
    world.submit(1, serving(3), 0);
    for name in ["host-b", "host-c", "host-d"] {
        world.add_host(name, 10);
    }
    world.tick(10);
    world.starts.clear();
    world.drain(Some(REMAINING_MS), 100);
    world.moves.sort();
    assert_eq!(world.moves, [task(1, 0), task(1, 1), task(1, 2)]);
    world.tick(400);
    assert_eq!((world.moves.len(), world.starts.len()), (3, 0), "stopped again, or started before the end");
    for index in 0..3 {
        world.interrupted(task(1, index), 500);
        let (started, run, _, checkpoint) = world.starts.last().expect("a start as soon as the end is reported");
        assert_eq!((*started, *run), (task(1, index), 2));
        assert_eq!(checkpoint.as_deref(), Some(format!("of {started}").as_str()));
    }
    let hosts: BTreeSet<_> = world.starts.iter().map(|(_, _, host, _)| host.as_str()).collect();
    assert_eq!(hosts, BTreeSet::from(["host-b", "host-c", "host-d"]));
}

/// Guards against runs that are stopped although no host can take their tasks, and against two that are stopped for the same room.
#[test]
fn a_run_is_stopped_only_if_a_host_can_take_its_task_now() {
    let mut world = World::new();
    world.submit(1, serving(4), 0);
    world.drain(Some(REMAINING_MS), 100);
    assert_eq!(world.moves, []);
    world.drain(None, 150);
    world.add_host("host-b", 200);
    world.submit(2, serving(3), 210);
    world.drain(Some(REMAINING_MS), 300);
    assert_eq!(world.moves.len(), 1, "one core is left there");
    world.tick(1_000);
    assert_eq!(world.moves.len(), 1);
}

/// Guards against other work that takes the room for which a run is being stopped, and against a lost stop that keeps the room
/// from it for good.
#[rstest]
#[case::reported(true)]
#[case::lost(false)]
fn room_is_held_for_a_task_that_is_moved(#[case] ends: bool) {
    let mut world = World::new();
    world.submit(1, serving(1), 0);
    world.add_host("host-b", 10);
    world.submit(2, serving(3), 10);
    let on_b = world.starts.iter().filter(|(_, _, host, _)| host == "host-b").count();
    world.drain(Some(REMAINING_MS), 100);
    assert!(world.moves.contains(&task(1, 0)));
    let free = 4 - on_b - world.moves.len();
    world.submit(3, serving(4), 200);
    let of_other = |world: &World| world.starts.iter().filter(|(started, ..)| started.job == JobId(3)).count();
    assert_eq!(of_other(&world), free, "work takes the room that is held");
    if ends {
        for moved in world.moves.clone() {
            world.interrupted(moved, 900);
            assert_eq!(world.starts.last().map(|(started, run, ..)| (*started, *run)), Some((moved, 2)));
        }
    }
    world.tick(2_200);
    assert_eq!(of_other(&world), if ends { free } else { 4.min(4 - on_b) });
}

/// Guards against stopping tasks that end in time, or that would begin anew, and against losing the work of those that do not.
#[rstest]
#[case::outlives(3_000, true, false, 100, true)]
#[case::ends_in_time(1_500, true, false, 100, false)]
#[case::has_run_long_enough(3_000, true, false, 1_500, false)]
#[case::has_outlasted_its_estimate(500, true, false, 1_500, false)]
#[case::saves_no_checkpoints(3_000, false, false, 100, false)]
#[case::member_of_a_gang(3_000, true, true, 100, false)]
fn checkpointing_tasks_are_moved_if_they_would_outlive_the_endpoint(
    #[case] estimate_ms: u64,
    #[case] checkpoints: bool,
    #[case] gang: bool,
    #[case] drains_at_ms: u64,
    #[case] is_moved: bool,
) {
    let mut world = World::new();
    let step = StepSpec { estimate_ms, checkpoints, gang, long_running: false, ..serving(1) };
    world.submit(1, step, 0);
    world.add_host("host-b", 10);
    world.tick(10);
    world.drain(Some(REMAINING_MS), drains_at_ms);
    world.tick(drains_at_ms + 200);
    assert_eq!(world.moves.len(), usize::from(is_moved));
}

/// Guards against stopping runs on hosts that go on: a zone that is out of service ends nothing, and neither does an endpoint that
/// does not say when it ends, or drains no more.
#[test]
fn nothing_is_moved_from_a_host_without_a_stated_end() {
    let mut world = World::new();
    world.submit(1, serving(2), 0);
    world.drain(None, 100);
    world.add_host("host-b", 110);
    world.tick(110);
    world.scheduler.host_info_changed(&FROM.to_owned(), Some(info(false)));
    world.scheduler.host_departure_announced(&FROM.to_owned(), Some(at(2_000).at));
    world.scheduler.set_zones_out(BTreeSet::from([ZONE.to_owned()]));
    world.tick(500);
    assert_eq!(world.moves, []);
}

/// Guards against a task that is left behind because the stop was lost with the session: it is stopped again in the next one.
#[test]
fn a_move_is_repeated_in_the_next_session() {
    let mut world = World::new();
    world.submit(1, serving(1), 0);
    world.add_host("host-b", 10);
    world.drain(Some(REMAINING_MS), 100);
    assert_eq!(world.moves.len(), 1);
    let host = FROM.to_owned();
    world.scheduler.host_disconnected(&host, Some(at(200).at), at(200));
    world.scheduler.host_connected(&host);
    world.scheduler.host_info_changed(&host, Some(info(true)));
    world.scheduler.host_departure_announced(&host, Some(at(2_000).at));
    world.scheduler.reconcile_host(&host, INCARNATION, &[(task(1, 0), 1)], at(300));
    world.tick(300);
    assert_eq!(world.moves.len(), 2);
}
