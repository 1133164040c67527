//! Tests of the wait of tasks on trial for a host while a steady flow of short tasks reaches every host.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, JobId, JobSpec, Moment, Phase, QueueSettings, Replica, RunEnd, RunOutcome, Scheduler,
        StepSpec, TRIAL_MS, TaskRef, lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};
use rstest::rstest;

const UNIX_MS: u64 = 1_700_000_000_000;
/// How often the simulated leader decides, in milliseconds.
const TICK_MS: u64 = 10;
/// How often the flow reaches every host, in milliseconds: less than a host must be quiet before a trial.
const FLOW_INTERVAL_MS: u64 = 50;
const SHORT_MS: u64 = 40;
/// How long a host is quiet before a trial begins there, in milliseconds.
const QUIET_MS: u64 = 100;
/// The longest wait of a task on trial, in milliseconds: half of the time that the users allow a task without a run.
const MAX_WAIT_MS: u64 = 1_500;
/// The jobs of the flow have this id or a higher one.
const FIRST_FLOW_JOB: u64 = 1_000;
const HOSTS: usize = 8;

/// A leader, its hosts and a flow of short tasks.
struct World {
    now: u64,
    stored: Replica,
    scheduler: Scheduler,
    infos: Vec<Option<HostInfo>>,
    runs: BTreeMap<(usize, TaskRef), (u32, u64)>,
    ends: u64,
    flow: u64,
    flow_job: u64,
    /// Each start with its time and host.
    log: Vec<(u64, TaskRef, usize)>,
}

fn name(host: usize) -> String {
    format!("host-{host:02}")
}

fn moment(now: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + now), unix_ms: UNIX_MS + now }
}

fn info(host: usize) -> HostInfo {
    HostInfo {
        service: "desk".to_owned(),
        availability_zone: format!("zone-{host}"),
        labels: BTreeSet::from([format!("label-{host}")]),
        capacity: Resources::new(8_000, 10_000),
        draining: false,
        ..HostInfo::default()
    }
}

fn step(tasks: u32) -> StepSpec {
    StepSpec { tasks, resources: Resources::new(500, 100), estimate_ms: 500, ..StepSpec::default() }
}

fn task(job: u64, index: u32) -> TaskRef {
    TaskRef { job: JobId(job), occurrence: 0, step: 0, index }
}

impl World {
    /// A flow that has just begun and has reached every host.
    fn new() -> Self {
        let mut world = Self {
            now: 0,
            stored: Replica::new(),
            scheduler: Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], moment(0)),
            infos: (0..HOSTS).map(|host| Some(info(host))).collect(),
            runs: BTreeMap::new(),
            ends: 0,
            flow: HOSTS as u64,
            flow_job: FIRST_FLOW_JOB,
            log: Vec::new(),
        };
        (0..HOSTS).for_each(|host| world.connect(host));
        world
    }

    fn connect(&mut self, host: usize) {
        let now = moment(self.now);
        self.scheduler.host_connected(&name(host));
        self.scheduler.host_info_changed(&name(host), self.infos[host].clone());
        if self.infos[host].is_none() {
            return;
        }
        let running = self.runs.iter().filter(|((on, _), _)| *on == host);
        let running: Vec<_> = running.map(|((_, task), (run, _))| (*task, *run)).collect();
        self.scheduler.reconcile_host(&name(host), UNIX_MS, &running, now);
    }

    fn replace_leader(&mut self) {
        self.scheduler = Scheduler::new(LeasePlan::new(6_000), &self.stored, (0..HOSTS).map(name), moment(self.now));
        (0..HOSTS).for_each(|host| self.connect(host));
    }

    fn change_info(&mut self, host: usize, info: Option<HostInfo>) {
        self.infos[host] = info.clone();
        self.scheduler.host_info_changed(&name(host), info);
    }

    fn submit(&mut self, job: u64, priority: u8, steps: Vec<StepSpec>) {
        let spec = JobSpec {
            queue: format!("queue-{priority}"),
            settings: QueueSettings {
                service: "desk".to_owned(),
                priority,
                max_failures: 1,
                stretch_percent: 150,
                latency_ms: 250,
            },
            accepted_unix_ms: UNIX_MS + self.now,
            payload: String::new(),
            steps,
            repeat: None,
        };
        self.stored.apply_submission(JobId(job), spec.clone());
        self.scheduler.job_submitted(JobId(job), Arc::new(spec), moment(self.now));
    }

    /// The endpoint of a host crashes right after it has started the tasks of job 1 that run there.
    fn crash_job(&mut self, host: usize) {
        let on_host = self.runs.keys().filter(|(on, task)| *on == host && task.job == JobId(1));
        let suspects: Vec<_> = on_host.map(|(_, task)| *task).collect();
        self.crash(host, &suspects);
    }

    /// The endpoint of a host crashes right after it has started these tasks.
    fn crash(&mut self, host: usize, suspects: &[TaskRef]) {
        let suspects: Vec<_> = suspects.iter().map(|task| (*task, self.runs[&(host, *task)].0)).collect();
        assert!(!suspects.is_empty(), "no task to blame on host {host}");
        self.runs.retain(|(on, _), _| *on != host);
        self.scheduler.host_crashed(&name(host), UNIX_MS, &suspects, moment(self.now));
        self.change_info(host, None);
    }

    fn end(&mut self, host: usize, task: TaskRef, end: RunOutcome) {
        let Some((run, _)) = self.runs.remove(&(host, task)) else { return };
        self.ends += 1;
        let ended = RunEnd { number: self.ends, task, run, end, checkpoint: None };
        self.scheduler.run_ended(&name(host), UNIX_MS, &ended, moment(self.now));
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let ended: Vec<_> = self.runs.iter().filter(|(_, (_, end))| *end <= self.now).map(|(key, _)| *key).collect();
        ended.into_iter().for_each(|(host, task)| self.end(host, task, RunOutcome::Done));
        if self.flow > 0 && self.now.is_multiple_of(FLOW_INTERVAL_MS) {
            self.flow_job += 1;
            let hosts = self.infos.iter().flatten().count().min(self.flow as usize) as u32;
            let short = StepSpec { per_host: Some(1), resources: Resources::new(200, 50), ..step(hosts) };
            self.submit(self.flow_job, 1, vec![short]);
        }
        self.scheduler.tick(moment(self.now));
        let batch = self.scheduler.take_batch();
        for (job, progress) in batch.records {
            self.stored.apply_progress(job, progress);
        }
        for effect in batch.effects {
            match effect {
                Effect::Start { host, task, run, .. } => self.start(&host, task, run),
                Effect::Stop { host, task, .. } => {
                    let host = (0..HOSTS).find(|index| name(*index) == host).expect("a simulated host");
                    self.end(host, task, RunOutcome::Interrupted);
                }
                Effect::Move { .. } | Effect::Forget { .. } => {}
            }
        }
    }

    fn start(&mut self, host: &str, task: TaskRef, run: u32) {
        let host = (0..HOSTS).find(|index| name(*index) == host).expect("a simulated host");
        let duration_ms = if task.job.0 >= FIRST_FLOW_JOB { SHORT_MS } else { 1_000_000 };
        if self.runs.insert((host, task), (run, self.now + duration_ms)).is_none() {
            self.log.push((self.now, task, host));
        }
    }

    fn run_ms(&mut self, ms: u64) {
        (0..ms / TICK_MS).for_each(|_| self.tick());
    }

    /// Submits job 1, lets its first step start on the first host only, and crashes that host. Returns the time of the crash.
    fn with_crashed_job(&mut self, priority: u8, steps: Vec<StepSpec>) -> u64 {
        (1..HOSTS).for_each(|host| self.change_info(host, None));
        let flow = std::mem::take(&mut self.flow);
        let tasks = steps[0].tasks as usize;
        self.submit(1, priority, steps);
        self.run_ms(1_500);
        assert_eq!(self.starts_of(1).len(), tasks);
        (1..HOSTS).for_each(|host| self.change_info(host, Some(info(host))));
        self.flow = flow;
        self.run_ms(500);
        self.crash_job(0);
        self.now
    }

    fn phase(&self) -> Phase {
        self.stored.phase(JobId(1)).unwrap_or(Phase::Active)
    }

    fn starts_of(&self, job: u64) -> Vec<(u64, TaskRef, usize)> {
        self.log.iter().filter(|(_, task, _)| task.job == JobId(job) && task.step == 0).copied().collect()
    }

    fn starts_after(&self, job: u64, after: u64) -> Vec<(u64, TaskRef, usize)> {
        self.starts_of(job).into_iter().filter(|(at, ..)| *at > after).collect()
    }

    /// Nothing else starts on the host of a trial shortly before and after its start.
    fn assert_alone(&self, (at, task, host): (u64, TaskRef, usize)) {
        let close = |other: u64| other + QUIET_MS > at && other < at + TRIAL_MS;
        let others = self.log.iter().filter(|(_, other, _)| other.job != task.job);
        let beside: Vec<_> = others.filter(|(other, _, on)| *on == host && close(*other)).collect();
        assert!(beside.is_empty(), "trial at {at}, {beside:?}");
    }

    /// The hosts that the flow has reached since `after`.
    fn reached_by_flow(&self, after: u64) -> BTreeSet<usize> {
        let flow = self.log.iter().filter(|(at, task, _)| *at > after && task.job.0 >= FIRST_FLOW_JOB);
        flow.map(|(.., host)| *host).collect()
    }
}

/// Without a host set aside, a task on trial waits as long as the flow lasts: no host is quiet.
#[rstest]
#[case::lasting_and_urgent(0, StepSpec { long_running: true, ..step(1) })]
#[case::lasting_and_least_urgent(2, StepSpec { long_running: true, ..step(1) })]
#[case::batch(1, step(1))]
#[case::background(2, StepSpec { background: true, ..step(1) })]
// No host offers the speed that background tasks wait for.
#[case::background_beyond_the_free_processors(
    2,
    StepSpec { background: true, resources: Resources::new(20_000, 100), ..step(1) }
)]
fn a_task_on_trial_starts_within_the_bound_while_others_start_everywhere(#[case] priority: u8, #[case] step: StepSpec) {
    let mut world = World::new();
    let crashed_at = world.with_crashed_job(priority, vec![step]);
    world.run_ms(MAX_WAIT_MS + TRIAL_MS);
    let trials = world.starts_after(1, crashed_at);
    assert_eq!(trials.len(), 1, "{trials:?}");
    assert!(trials[0].0 <= crashed_at + MAX_WAIT_MS, "{trials:?}, crash at {crashed_at}");
    world.assert_alone(trials[0]);
    let now = world.now;
    world.run_ms(500);
    assert_eq!(world.reached_by_flow(now), (1..HOSTS).collect(), "the hosts are open again");
}

/// A task that restarts again and again would find its host only once.
#[test]
fn each_later_run_of_a_task_on_trial_finds_a_host() {
    let mut world = World::new();
    let mut ended_at = world.with_crashed_job(2, vec![StepSpec { long_running: true, ..step(1) }]);
    for _ in 0..20 {
        world.run_ms(MAX_WAIT_MS);
        let starts = world.starts_after(1, ended_at);
        assert_eq!(starts.len(), 1, "after {ended_at}");
        world.assert_alone(starts[0]);
        world.end(starts[0].2, task(1, 0), RunOutcome::Failed);
        ended_at = world.now;
    }
}

/// Reservations for all tasks of a crashed host at once would close all hosts to others, and those for one after the other
/// would hold up the last ones.
#[test]
fn many_tasks_on_trial_start_within_the_bound_and_leave_hosts_to_others() {
    let mut world = World::new();
    let crashed_at = world.with_crashed_job(2, vec![StepSpec { long_running: true, ..step(15) }]);
    for _ in 0..3_000 / TICK_MS {
        let before = world.now;
        world.run_ms(TICK_MS);
        if before >= crashed_at + FLOW_INTERVAL_MS {
            // Seven hosts are up; at most three quarters of them are closed.
            let reached = world.reached_by_flow(world.now - FLOW_INTERVAL_MS);
            assert!(reached.len() >= 2, "{reached:?} at {}", world.now);
        }
    }
    let trials = world.starts_after(1, crashed_at);
    assert_eq!(trials.len(), 15);
    for first in &trials {
        world.assert_alone(*first);
        let close = trials.iter().filter(|next| next.2 == first.2 && next.0 >= first.0 && next.0 < first.0 + TRIAL_MS);
        assert_eq!(close.count(), 1, "{trials:?}");
    }
}

/// A gang whose members run on hosts of their own, and the endpoint of one of these has crashed. Returns the time of the
/// crash.
fn with_crashed_gang(members: u32) -> (World, u64) {
    let mut world = World::new();
    world.flow = 0;
    world.submit(1, 2, vec![StepSpec { gang: true, per_host: Some(1), ..step(members) }]);
    world.run_ms(500);
    world.flow = HOSTS as u64;
    world.run_ms(500);
    let crashed = world.starts_of(1)[0].2;
    world.crash_job(crashed);
    let crashed_at = world.now;
    for host in 0..HOSTS {
        (0..members).for_each(|member| world.end(host, task(1, member), RunOutcome::Interrupted));
    }
    (world, crashed_at)
}

/// A gang needs all its hosts at the same time.
#[rstest]
#[case::on_some_hosts(4)]
#[case::on_all_hosts(7)]
fn a_gang_on_trial_starts_within_the_bound(#[case] members: u32) {
    let (mut world, crashed_at) = with_crashed_gang(members);
    world.run_ms(MAX_WAIT_MS + TRIAL_MS);
    let trials = world.starts_after(1, crashed_at);
    assert_eq!(trials.len(), members as usize, "{trials:?}");
    assert!(trials.iter().all(|trial| trial.0 == trials[0].0 && trial.0 <= crashed_at + MAX_WAIT_MS), "{trials:?}");
    trials.iter().for_each(|trial| world.assert_alone(*trial));
    let now = world.now;
    world.run_ms(500);
    assert_eq!(world.reached_by_flow(now).len(), HOSTS - 1, "the hosts are open again");
}

/// If the other hosts stayed set aside for a gang that has lost one of its hosts, it would wait with them, or leave them
/// closed once it has started on others.
#[rstest]
#[case::while_other_hosts_are_left(4, true)]
#[case::when_no_other_host_is_left(7, false)]
fn a_gang_on_trial_that_loses_a_host_takes_others_or_none(#[case] members: u32, #[case] starts: bool) {
    let (mut undisturbed, crashed_at) = with_crashed_gang(members);
    undisturbed.run_ms(MAX_WAIT_MS);
    let (trial_at, _, lost) = undisturbed.starts_after(1, crashed_at)[0];
    let (mut world, _) = with_crashed_gang(members);
    while world.now + 30 < trial_at {
        world.tick();
    }
    world.change_info(lost, None);
    let lost_at = world.now;
    world.run_ms(MAX_WAIT_MS);
    let trials = world.starts_after(1, crashed_at);
    assert_eq!(trials.len(), if starts { members as usize } else { 0 }, "{trials:?}");
    trials.iter().for_each(|trial| world.assert_alone(*trial));
    assert_eq!(world.reached_by_flow(lost_at + 500).len(), HOSTS - 2, "the hosts are open again");
}

/// Two gangs that each hold some of the hosts that both need would wait for each other for good.
#[test]
fn two_gangs_on_trial_that_need_the_same_hosts_both_start() {
    let mut world = World::new();
    world.flow = 0;
    let gang = || StepSpec { gang: true, per_host: Some(1), ..step(5) };
    for job in [1, 2] {
        world.submit(job, 2, vec![gang()]);
    }
    world.run_ms(500);
    world.flow = HOSTS as u64;
    let starts = (world.starts_of(1), world.starts_of(2));
    let both = starts.0.iter().find(|(.., host)| starts.1.iter().any(|(.., other)| other == host));
    let crashed = both.expect("a host of both gangs").2;
    let suspects = [1, 2].map(|job| world.starts_of(job).into_iter().find(|(.., host)| *host == crashed));
    let suspects: Vec<_> = suspects.into_iter().flatten().map(|(_, task, _)| task).collect();
    world.crash(crashed, &suspects);
    let crashed_at = world.now;
    for (host, job, member) in (0..HOSTS).flat_map(|host| (0..10).map(move |nth| (host, 1 + nth / 5, nth % 5))) {
        world.end(host, task(job, member as u32), RunOutcome::Interrupted);
    }
    world.run_ms(2 * MAX_WAIT_MS);
    for job in [1, 2] {
        assert_eq!(world.starts_after(job, crashed_at).len(), 5, "job {job}");
    }
}

/// What happens to the host that is set aside, or to its task, before the trial begins.
#[derive(Debug, Clone, Copy)]
enum Event {
    JobCancelled,
    JobFailed,
    EndpointLost,
    Disconnected,
    Draining,
    ZoneOut,
    CapacityShrunk,
    LeaderReplaced,
}

/// A host that stays set aside for a task that does not start there is lost to all others, and a task that waits for a host
/// on which it cannot run never starts.
#[rstest]
fn a_reservation_ends_with_its_reason(
    #[values(
        Event::JobCancelled,
        Event::JobFailed,
        Event::EndpointLost,
        Event::Disconnected,
        Event::Draining,
        Event::ZoneOut,
        Event::CapacityShrunk,
        Event::LeaderReplaced
    )]
    event: Event,
    #[values(false, true)] gang: bool,
) {
    let begin = || {
        let mut world = World::new();
        let beside = StepSpec { label: Some("label-5".to_owned()), ..step(1) };
        let crashed_at = world.with_crashed_job(2, vec![StepSpec { gang, long_running: true, ..step(2) }, beside]);
        (world, crashed_at)
    };
    let (mut undisturbed, crashed_at) = begin();
    undisturbed.run_ms(MAX_WAIT_MS);
    let (trial_at, _, host) = undisturbed.starts_after(1, crashed_at)[0];

    let (mut world, _) = begin();
    while world.now + 30 < trial_at {
        world.tick();
    }
    assert!(!world.reached_by_flow(world.now - FLOW_INTERVAL_MS).contains(&host), "host {host} is set aside");
    let now = moment(world.now);
    let event_at = world.now;
    match event {
        Event::JobCancelled => world.scheduler.job_cancelled(JobId(1), now),
        Event::JobFailed => world.end(5, TaskRef { step: 1, ..task(1, 0) }, RunOutcome::Failed),
        Event::EndpointLost => world.change_info(host, None),
        Event::Disconnected => world.scheduler.host_disconnected(&name(host), Some(now.at), now),
        Event::Draining => world.change_info(host, Some(HostInfo { draining: true, ..info(host) })),
        Event::ZoneOut => world.scheduler.set_zones_out(BTreeSet::from([format!("zone-{host}")])),
        Event::CapacityShrunk => {
            world.change_info(host, Some(HostInfo { capacity: Resources::new(400, 10_000), ..info(host) }));
        }
        Event::LeaderReplaced => world.replace_leader(),
    }
    world.run_ms(MAX_WAIT_MS);
    let trials = world.starts_after(1, crashed_at);
    if matches!(event, Event::JobCancelled | Event::JobFailed) {
        assert!(trials.is_empty(), "{trials:?}");
        assert_ne!(world.phase(), Phase::Active);
        let soon = world.log.iter().find(|(at, _, on)| *at > event_at && *on == host).expect("a start on the host");
        assert!(soon.0 <= event_at + FLOW_INTERVAL_MS, "the flow reaches the host at {}, not {event_at}", soon.0);
    } else {
        assert_eq!(trials.len(), 2, "{trials:?}");
        trials.iter().for_each(|trial| world.assert_alone(*trial));
        assert_eq!(trials.iter().any(|(.., on)| *on == host), matches!(event, Event::LeaderReplaced), "{trials:?}");
    }
    // The host takes starts again once it can.
    world.scheduler.set_zones_out(BTreeSet::new());
    world.infos[host] = Some(info(host));
    world.connect(host);
    world.run_ms(TRIAL_MS);
    let now = world.now;
    world.run_ms(300);
    assert!(world.reached_by_flow(now).contains(&host), "host {host} is open");
}

/// The only host of the step is set aside for one of its tasks. That the task before it finds no host must not keep the
/// trial from beginning there.
#[test]
fn a_task_on_trial_does_not_wait_for_the_tasks_before_it() {
    let mut world = World::new();
    let labelled = StepSpec { label: Some("label-1".to_owned()), long_running: true, ..step(2) };
    world.submit(1, 2, vec![labelled]);
    world.run_ms(500);
    assert_eq!(world.starts_of(1).len(), 2);
    world.crash(1, &[task(1, 1)]);
    let crashed_at = world.now;
    world.change_info(1, Some(info(1)));
    // The other task starts at once, and waits again while the host is set aside.
    world.run_ms(1_050);
    world.end(1, task(1, 0), RunOutcome::Interrupted);
    world.run_ms(MAX_WAIT_MS);
    let starts = world.starts_after(1, crashed_at);
    assert_eq!(starts.iter().map(|(_, task, _)| task.index).collect::<Vec<_>>(), [0, 1, 0]);
    assert!(starts[1].0 <= crashed_at + MAX_WAIT_MS && starts[2].0 >= starts[1].0 + TRIAL_MS, "{starts:?}");
    world.assert_alone(starts[1]);
}

/// The wait begins when a host has room for the task. Less urgent tasks that fit sooner must not take that room.
#[test]
fn the_bound_counts_from_when_a_host_has_room() {
    let mut world = World::new();
    let crashed_at = world.with_crashed_job(0, vec![StepSpec { resources: Resources::new(6_000, 100), ..step(1) }]);
    for host in 1..HOSTS {
        world.change_info(host, Some(HostInfo { capacity: Resources::new(5_000, 10_000), ..info(host) }));
    }
    world.run_ms(5_000);
    assert!(world.starts_after(1, crashed_at).is_empty());
    world.change_info(3, Some(info(3)));
    let room_at = world.now;
    world.run_ms(MAX_WAIT_MS);
    let trials = world.starts_after(1, crashed_at);
    assert!(trials.len() == 1 && trials[0].2 == 3, "{trials:?}, room at {room_at}");
    world.assert_alone(trials[0]);
    assert_eq!(world.phase(), Phase::Active);
}
