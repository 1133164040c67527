//! Tests of tasks that crash the endpoints that start them: when they are given up, and what they cost others.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, JobId, JobSpec, Moment, Phase, QueueSettings, Rejection, Replica, RunEnd, RunOutcome,
        SUSPECT_AGE_MS, Scheduler, StepSpec, Suspicion, TRIAL_MS, TaskRef, UNKNOWN_INCARNATION, lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const UNIX_MS: u64 = 1_700_000_000_000;
/// How often the simulated leader decides, in milliseconds.
const TICK_MS: u64 = 50;
/// The step of the simulated time, in milliseconds.
const STEP_MS: u64 = 5;
/// From the start of a deadly task to the crash of its endpoint, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;
/// From a crash to the agent's report that its endpoint refuses connections, in milliseconds. The agent repeats it.
const REPORT_DELAY_MS: u64 = 250;
/// From a crash to the next incarnation of the endpoint, in milliseconds.
const RESTART_MS: u64 = 4_000;
/// From a crash to the end of the lease, in milliseconds.
const LEASE_MS: u64 = 5_250;
/// The number of starts of a deadly task that the platform allows.
const MAX_STARTS: u32 = 5;

/// A host with its endpoint and its agent.
#[derive(Debug, Default)]
struct Host {
    incarnation: u64,
    /// The runs by task: number, start and end.
    runs: BTreeMap<TaskRef, (u32, u64, u64)>,
    /// The highest run number of each task that was started or stopped. This run and lower ones are not started.
    highest_runs: BTreeMap<TaskRef, u32>,
    ends: Vec<RunEnd>,
    crash_at: Option<u64>,
    down_since: Option<u64>,
    /// The runs that may have crashed the endpoint, as long as it is down. An agent that is restarted meanwhile forgets them.
    suspects: Option<Vec<(TaskRef, u32)>>,
    /// Whether the agent has reported that its endpoint refuses connections.
    noticed: bool,
    /// When the lease of the endpoint has ended for sure, as its agent counts it; `None` unless it is down.
    lease_end: Option<u64>,
}

impl Host {
    /// The incarnation that the agent reports as lost. A restarted agent has not heard of it.
    fn known_incarnation(&self) -> u64 {
        if self.suspects.is_some() { self.incarnation } else { UNKNOWN_INCARNATION }
    }
}

/// A leader, its hosts and the store.
struct World {
    now: u64,
    stored: Replica,
    scheduler: Scheduler,
    hosts: Vec<Host>,
    deadly: BTreeSet<TaskRef>,
    duration_ms: u64,
    /// From a crash to the next incarnation of the endpoint, in milliseconds.
    restart_ms: u64,
    starts: BTreeMap<TaskRef, u32>,
    /// Each start with its time and host.
    log: Vec<(u64, TaskRef, usize)>,
}

fn name(host: usize) -> String {
    format!("host-{host:02}")
}

fn moment(now: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + now), unix_ms: UNIX_MS + now }
}

fn info() -> HostInfo {
    HostInfo {
        service: "desk".to_owned(),
        availability_zone: "a".to_owned(),
        labels: BTreeSet::new(),
        capacity: Resources::new(64_000, 100_000),
        draining: false,
        ..HostInfo::default()
    }
}

fn step(tasks: u32) -> StepSpec {
    StepSpec { tasks, resources: Resources::new(500, 100), estimate_ms: 500, ..StepSpec::default() }
}

fn spec(steps: Vec<StepSpec>) -> JobSpec {
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
        steps,
        repeat: None,
    }
}

fn task(job: u64, index: u32) -> TaskRef {
    TaskRef { job: JobId(job), occurrence: 0, step: 0, index }
}

impl World {
    fn new(hosts: usize, deadly: impl IntoIterator<Item = TaskRef>) -> Self {
        let mut world = Self {
            now: 0,
            stored: Replica::new(),
            scheduler: Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], moment(0)),
            hosts: (0..hosts).map(|_| Host { incarnation: UNIX_MS, ..Host::default() }).collect(),
            deadly: deadly.into_iter().collect(),
            duration_ms: 600,
            restart_ms: RESTART_MS,
            starts: BTreeMap::new(),
            log: Vec::new(),
        };
        (0..hosts).for_each(|host| world.connect(host));
        world
    }

    fn submit(&mut self, job: u64, steps: Vec<StepSpec>) {
        let spec = spec(steps);
        self.stored.apply_submission(JobId(job), spec.clone());
        self.scheduler.job_submitted(JobId(job), Arc::new(spec), moment(self.now));
    }

    fn phase(&self, job: u64) -> Phase {
        self.stored.phase(JobId(job)).unwrap_or(Phase::Active)
    }

    /// The session of a host with a new leader begins with the agent's whole state.
    fn connect(&mut self, index: usize) {
        let (host, now) = (&self.hosts[index], moment(self.now));
        self.scheduler.host_connected(&name(index));
        let is_up = host.down_since.is_none();
        if host.noticed {
            self.suspect(index);
        }
        let host = &self.hosts[index];
        if host.lease_end.is_some_and(|end| end <= self.now) {
            self.scheduler.host_crashed(&name(index), host.known_incarnation(), &[], now);
        }
        self.scheduler.host_info_changed(&name(index), is_up.then(info));
        if is_up {
            for ended in &host.ends {
                self.scheduler.run_ended(&name(index), host.incarnation, ended, now);
            }
            let running: Vec<_> = host.runs.iter().map(|(task, (run, ..))| (*task, *run)).collect();
            self.scheduler.reconcile_host(&name(index), host.incarnation, &running, now);
        }
    }

    /// Replaces the leader by one that knows only what is stored.
    fn replace_leader(&mut self) {
        let hosts = (0..self.hosts.len()).map(name);
        self.scheduler = Scheduler::new(LeasePlan::new(6_000), &self.stored, hosts, moment(self.now));
        (0..self.hosts.len()).for_each(|host| self.connect(host));
    }

    /// The agent reports that its endpoint refuses connections, with the suspects.
    fn suspect(&mut self, index: usize) {
        let host = &self.hosts[index];
        if let Some(suspects) = host.suspects.clone() {
            let incarnation = host.incarnation;
            self.scheduler.host_suspected(&name(index), Suspicion { incarnation, suspects });
        }
    }

    /// Replaces the agent of a host whose endpoint is down: the next one knows neither its incarnation nor the suspects, and
    /// waits for a whole lease from its start on.
    fn replace_agent(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.down_since.is_some() {
            host.suspects = None;
            host.lease_end = Some(self.now + LEASE_MS);
            self.connect(index);
        }
    }

    /// Stores the leader's records, and carries out its commands.
    fn commit(&mut self) {
        self.scheduler.tick(moment(self.now));
        let batch = self.scheduler.take_batch();
        for (job, progress) in batch.records {
            self.stored.apply_progress(job, progress);
        }
        for effect in batch.effects {
            match effect {
                Effect::Start { host, incarnation, task, run, .. } => self.start(&host, incarnation, task, run),
                Effect::Stop { host, task, run } => self.stop(&host, task, run),
                Effect::Move { .. } | Effect::Forget { .. } => {}
            }
        }
    }

    fn index(&self, host: &str) -> usize {
        (0..self.hosts.len()).find(|index| name(*index) == host).expect("a simulated host")
    }

    fn start(&mut self, host_name: &str, incarnation: u64, task: TaskRef, run: u32) {
        let index = self.index(host_name);
        let host = &mut self.hosts[index];
        let is_known = host.runs.get(&task).is_some_and(|(current, ..)| *current == run);
        if is_known || host.incarnation != incarnation {
            return;
        }
        let is_outdated = host.highest_runs.get(&task).is_some_and(|highest| *highest >= run);
        if host.down_since.is_some() || is_outdated {
            let reason = if is_outdated { Rejection::Outdated } else { Rejection::Unhealthy };
            // A start that crosses the crash has no answer; the report of the refused connections follows.
            if host.noticed {
                self.scheduler.run_rejected(&name(index), incarnation, &task, run, reason, moment(self.now));
            }
            return;
        }
        host.highest_runs.insert(task, run);
        host.runs.insert(task, (run, self.now, self.now + self.duration_ms));
        if self.deadly.contains(&task) {
            host.crash_at.get_or_insert(self.now + CRASH_DELAY_MS);
        }
        *self.starts.entry(task).or_default() += 1;
        self.log.push((self.now, task, index));
    }

    fn stop(&mut self, host_name: &str, task: TaskRef, run: u32) {
        let index = self.index(host_name);
        let host = &mut self.hosts[index];
        if host.down_since.is_some() {
            return;
        }
        if host.runs.get(&task).is_some_and(|(current, ..)| *current == run) {
            self.end(index, task, RunOutcome::Interrupted);
        } else {
            host.highest_runs.insert(task, run);
            let (incarnation, now) = (host.incarnation, moment(self.now));
            self.scheduler.run_rejected(&name(index), incarnation, &task, run, Rejection::Outdated, now);
        }
    }

    fn end(&mut self, index: usize, task: TaskRef, end: RunOutcome) {
        let host = &mut self.hosts[index];
        let Some((run, ..)) = host.runs.remove(&task) else { return };
        let ended = RunEnd { number: host.ends.len() as u64 + 1, task, run, end, checkpoint: None };
        host.ends.push(ended.clone());
        self.scheduler.run_ended(&name(index), host.incarnation, &ended, moment(self.now));
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for index in 0..self.hosts.len() {
            self.step_host(index);
        }
        if self.now.is_multiple_of(TICK_MS) {
            self.commit();
        }
    }

    fn step_host(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host.crash_at.take_if(|at| *at <= now).is_some() {
            let mut suspects: Vec<_> = std::mem::take(&mut host.runs).into_iter().collect();
            suspects.retain(|(_, (_, started, _))| now - *started <= SUSPECT_AGE_MS);
            suspects.sort_by_key(|(_, (_, started, _))| *started);
            host.suspects = Some(suspects.into_iter().map(|(task, (run, ..))| (task, run)).collect());
            (host.down_since, host.lease_end) = (Some(now), Some(now + LEASE_MS));
        }
        if let Some(since) = host.down_since {
            if now >= since + REPORT_DELAY_MS && !std::mem::replace(&mut host.noticed, true) {
                self.suspect(index);
                self.scheduler.host_info_changed(&name(index), None);
            }
            let host = &mut self.hosts[index];
            if host.lease_end == Some(now) {
                let incarnation = host.known_incarnation();
                self.scheduler.host_crashed(&name(index), incarnation, &[], moment(now));
            }
            if now >= since + self.restart_ms {
                let suspects = host.suspects.take();
                let before =
                    std::mem::replace(host, Host { incarnation: UNIX_MS + now, ..Host::default() }).incarnation;
                // An agent that was restarted meanwhile reports the new incarnation alone.
                if let Some(suspects) = suspects {
                    self.scheduler.host_crashed(&name(index), before, &suspects, moment(now));
                }
                self.scheduler.host_info_changed(&name(index), Some(info()));
                self.scheduler.reconcile_host(&name(index), UNIX_MS + now, &[], moment(now));
            }
            return;
        }
        let ended: Vec<_> = host.runs.iter().filter(|(_, (.., end))| *end <= now).map(|(task, _)| *task).collect();
        for task in ended {
            self.end(index, task, RunOutcome::Done);
        }
    }

    fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }
}

/// A task that is started again after each crash takes one host after the other out of service.
#[test]
fn a_task_under_which_endpoints_crash_is_given_up_at_the_second_crash() {
    let mut world = World::new(4, [task(1, 0)]);
    world.submit(1, vec![step(1)]);
    world.run_ms(20_000);
    assert_eq!(world.starts[&task(1, 0)], 2);
    assert_eq!(world.phase(1), Phase::Failed);
}

/// A task that is suspected only would take one host after the other out of service, if each endpoint came back later than the
/// task starts elsewhere.
#[rstest]
#[case(LEASE_MS + 1_000)]
#[case(LEASE_MS + 3_000)]
#[case(3 * LEASE_MS)]
fn a_task_under_which_endpoints_crash_for_longer_than_their_leases_is_given_up(#[case] restart_ms: u64) {
    let mut world = World::new(8, [task(1, 0)]);
    world.restart_ms = restart_ms;
    world.submit(1, vec![step(1)]);
    world.run_ms(60_000);
    assert!(world.starts[&task(1, 0)] <= MAX_STARTS, "{:?}", world.starts);
    assert_eq!(world.phase(1), Phase::Failed);
}

/// Tasks that merely ran or started beside the cause would fail with it.
#[test]
fn tasks_beside_the_cause_are_completed() {
    let mut world = World::new(5, [task(3, 0)]);
    world.submit(1, vec![step(6)]);
    world.submit(2, vec![step(6)]);
    world.run_ms(50);
    world.submit(3, vec![step(1)]);
    world.submit(4, vec![step(6)]);
    world.run_ms(20_000);
    assert_eq!(world.phase(3), Phase::Failed);
    for job in [1, 2, 4] {
        assert_eq!(world.phase(job), Phase::Completed, "job {job}");
    }
}

/// A job with a deadly task that goes on beside its other tasks wastes their work; its runs are stopped when it ends.
#[test]
fn the_other_runs_of_a_job_are_stopped_when_a_task_is_given_up() {
    let mut world = World::new(6, [task(1, 0)]);
    world.duration_ms = 10_000;
    world.submit(1, vec![step(1), StepSpec { per_host: Some(1), ..step(5) }]);
    world.run_ms(2 * RESTART_MS + 1_000);
    assert_eq!(world.phase(1), Phase::Failed);
    let running: usize = world.hosts.iter().map(|host| host.runs.len()).sum();
    assert_eq!(running, 0);
}

/// The members of a gang start together, so that the last one to start need not be the cause.
#[test]
fn a_gang_with_a_deadly_member_is_given_up_within_the_allowed_starts() {
    let mut world = World::new(6, [task(1, 1)]);
    world.submit(1, vec![StepSpec { gang: true, per_host: Some(2), ..step(4) }]);
    for _ in 0..400 {
        world.run_ms(50);
        // The endpoints of other members end them when a member is lost.
        let crashed = world.hosts.iter().any(|host| host.down_since.is_some() && !host.noticed);
        for host in 0..if crashed { world.hosts.len() } else { 0 } {
            for member in 0..4 {
                world.end(host, task(1, member), RunOutcome::Interrupted);
            }
        }
    }
    assert_eq!(world.phase(1), Phase::Failed);
    assert!(world.starts[&task(1, 1)] <= MAX_STARTS, "{:?}", world.starts);
}

/// A count that only the leader knows is lost with it, and each leader would allow the task the same number of crashes.
#[test]
fn the_count_of_crashes_survives_a_change_of_the_leader() {
    let mut world = World::new(6, [task(1, 0)]);
    world.submit(1, vec![step(1)]);
    for _ in 0..40 {
        world.run_ms(500);
        world.replace_leader();
    }
    assert_eq!(world.starts[&task(1, 0)], 2);
    assert_eq!(world.phase(1), Phase::Failed);
}

/// Agents report a crash again in each session. Counted twice, one crash would fail a job.
#[test]
fn a_repeated_report_of_a_crash_counts_once() {
    let mut world = World::new(3, []);
    world.submit(1, vec![step(1)]);
    world.run_ms(50);
    let (_, _, host) = world.log[0];
    let host = name(host);
    let suspects = [(task(1, 0), 1)];
    let now = moment(world.now);
    let first = world.scheduler.host_crashed(&host, UNIX_MS, &suspects, now);
    assert_eq!(first.iter().map(|crash| crash.crashes).collect::<Vec<_>>(), [1]);
    assert!(world.scheduler.host_crashed(&host, UNIX_MS, &suspects, now).is_empty());
    world.scheduler.reconcile_host(&host, UNIX_MS + 1, &[], now);
    assert!(world.scheduler.host_crashed(&host, UNIX_MS, &suspects, now).is_empty());
    assert!(world.scheduler.host_crashed(&host, UNIX_MS + 1, &[(task(1, 0), 1), (task(9, 0), 1)], now).is_empty());
}

/// A report of an earlier incarnation that arrives late must not end runs of the next one: they would run twice.
#[test]
fn a_late_report_of_a_crash_does_not_end_runs_of_the_next_incarnation() {
    let mut world = World::new(1, []);
    let now = moment(world.now);
    world.scheduler.host_crashed(&name(0), UNIX_MS, &[], now);
    world.hosts[0].incarnation = UNIX_MS + 1;
    world.scheduler.reconcile_host(&name(0), UNIX_MS + 1, &[], now);
    world.submit(1, vec![step(1)]);
    world.run_ms(50);
    assert_eq!(world.starts[&task(1, 0)], 1);
    world.scheduler.host_crashed(&name(0), UNIX_MS, &[], moment(world.now));
    world.commit();
    assert_eq!(world.starts[&task(1, 0)], 1);
}

/// A restarted agent does not know the incarnation that was lost. If its report were ignored, the tasks would wait for
/// good for a host that a leader knows from its records only.
#[test]
fn a_loss_of_an_unknown_incarnation_ends_all_runs_on_the_host() {
    let mut world = World::new(2, []);
    world.submit(1, vec![step(1)]);
    world.run_ms(50);
    let (_, _, host) = world.log[0];
    world.hosts[host].down_since = Some(world.now);
    world.hosts[host].runs.clear();
    world.hosts[host].lease_end = Some(world.now);
    world.replace_leader();
    world.run_ms(50);
    assert_eq!(world.starts[&task(1, 0)], 2);
    assert_ne!(world.log[1].2, host);
}

/// A task that starts beside a run on trial would be a suspect in the crash of that run, and all lost work counts.
#[test]
fn a_host_starts_nothing_else_during_a_trial() {
    let mut world = World::new(2, [task(1, 0)]);
    // The endpoint that has crashed stays away, so that all other tasks have to start on the host of the trial.
    world.restart_ms = 20_000;
    world.submit(1, vec![step(1)]);
    world.run_ms(300);
    while world.starts[&task(1, 0)] < 2 {
        world.step();
    }
    let (trial_at, _, host) = world.log[1];
    assert_ne!(host, world.log[0].2, "the trial is on a host without a crash");
    // The trial succeeds this time, so that only the other tasks' starts matter.
    world.hosts[host].crash_at = None;
    world.submit(2, vec![step(8)]);
    world.run_ms(1_000);
    let first = world.log.iter().find(|(_, task, on)| task.job == JobId(2) && *on == host).expect("a start");
    assert!(first.0 >= trial_at + TRIAL_MS, "{first:?}, trial at {trial_at}");
    assert_eq!(world.phase(1), Phase::Completed);
}

/// After the crash of a host with many recent starts, one trial after the other on a few hosts would hold up their tasks,
/// and trials on all hosts the tasks of others. The crash is proved by the next incarnation, or the lease ends before.
#[rstest]
#[case::back_within_the_lease(RESTART_MS, RESTART_MS)]
#[case::away_beyond_the_lease(20_000, LEASE_MS)]
fn the_tasks_of_a_crashed_host_and_those_of_others_start_soon(#[case] restart_ms: u64, #[case] reported_after_ms: u64) {
    let mut world = World::new(11, []);
    world.restart_ms = restart_ms;
    world.duration_ms = 5_000;
    // Only the first host is up when the 40 tasks start.
    for host in 1..11 {
        world.scheduler.host_info_changed(&name(host), None);
    }
    (1..=40).for_each(|job| world.submit(job, vec![step(1)]));
    world.run_ms(100);
    assert_eq!(world.log.len(), 40);
    for host in 1..11 {
        world.scheduler.host_info_changed(&name(host), Some(info()));
    }
    world.hosts[0].crash_at = Some(world.now);
    world.run_ms(reported_after_ms);
    let reported_at = world.now;
    for job in 100..140 {
        world.submit(job, vec![step(1)]);
        world.run_ms(50);
        let started = world.log.iter().any(|(_, task, _)| task.job == JobId(job));
        assert!(started, "job {job}, submitted {} ms after the report", world.now - reported_at - 50);
    }
    let restarts: Vec<_> = world.log.iter().filter(|(at, task, _)| *at >= reported_at && task.job.0 <= 40).collect();
    assert_eq!(restarts.len(), 40);
    let last_at = restarts.iter().map(|(at, ..)| *at).max().unwrap_or_default();
    assert!(last_at <= reported_at + 1_500, "the last one started {} ms after the report", last_at - reported_at);
    assert!((1..=40).all(|job| world.phase(job) == Phase::Active));
}

/// Deadly tasks among others, with changes of the leader at any point and one agent that is restarted while its endpoint
/// is down. Each leader handles a report, stores its decisions and fails at any point between.
///
/// Assumptions: an agent names its suspects in each session until the next incarnation, unless it is restarted itself; jobs
/// arrive at least 100 ms apart.
#[test]
fn deadly_tasks_start_at_most_five_times_and_no_other_task_is_given_up() {
    const SCHEDULES: u64 = 10_000;
    /// The leader changed between each crash and its report, and a task started just before one on trial: six starts.
    const CLOSE_STARTS: u64 = 26_138;
    let mut most_starts = 0;
    for seed in (0..SCHEDULES).chain([CLOSE_STARTS]) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let jobs: Vec<u64> = (1..=30).collect();
        let deadly: BTreeSet<_> = jobs.sample(&mut rng, 3).map(|job| task(*job, 0)).collect();
        let mut world = World::new(6, deadly.iter().copied());
        let mut agent_replaced = false;
        for job in &jobs {
            let tasks = if deadly.contains(&task(*job, 0)) { 1 } else { rng.random_range(1..4) };
            world.submit(*job, vec![step(tasks)]);
            let gap_ms = rng.random_range(100..400);
            world.run_ms(gap_ms);
            if rng.random_bool(0.2) {
                world.replace_leader();
            }
            let down = world.hosts.iter().position(|host| host.down_since.is_some());
            if let Some(down) = down.filter(|_| !agent_replaced && rng.random_bool(0.5)) {
                agent_replaced = true;
                world.replace_agent(down);
            }
        }
        world.run_ms(20_000);
        for job in jobs {
            let expected = if deadly.contains(&task(job, 0)) { Phase::Failed } else { Phase::Completed };
            assert_eq!(world.phase(job), expected, "job {job}, seed {seed}");
        }
        let starts = deadly.iter().map(|task| world.starts[task]).max().unwrap_or_default();
        assert!(starts <= MAX_STARTS, "{starts} starts, seed {seed}");
        most_starts = most_starts.max(starts);
    }
    println!("{SCHEDULES} schedules, at most {most_starts} starts of a deadly task");
}
