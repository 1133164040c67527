//! Tests of the wait of large tasks for room while small ones fill every gap, on loads like those of docs/hard-load.md.

use std::{collections::BTreeMap, sync::Arc};

use fescuelead_core::{
    jobs::{
        Effect, HostInfo, JobId, JobSpec, MAX_BACKFILL_MS, MAX_PASSED_OVER_MS, Moment, QueueSettings, Replica,
        ReservationChange, RunEnd, RunOutcome, Scheduler, StepSpec, TaskRef, lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};
use rstest::rstest;

const UNIX_MS: u64 = 1_700_000_000_000;
/// How often the simulated leader decides, in milliseconds.
const TICK_MS: u64 = 50;
/// How often the leader matches waiting steps against all hosts, in milliseconds, and room to round up to its ticks.
const MATCHING_MS: u64 = 400;
/// By how much the run times of the stream differ from their mean at most, in milliseconds.
const SPREAD_MS: u64 = 500;
const CAPACITY: Resources = Resources { cpu_milli: 16_000, memory_mib: 60_000, accelerators: 0 };
/// The jobs of the stream have this id or a higher one.
const FIRST_STREAM_JOB: u64 = 1_000;

/// A stream of small jobs that fills every gap.
#[derive(Debug, Clone, Copy)]
struct Stream {
    resources: Resources,
    estimate_ms: u64,
    took_ms: u64,
    priority: u8,
}

const STREAM: Stream = Stream {
    resources: Resources { cpu_milli: 1_500, memory_mib: 500, accelerators: 0 },
    estimate_ms: 1_000,
    took_ms: 1_000,
    priority: 0,
};

/// A leader, its hosts and a stream of small jobs.
struct World {
    now: u64,
    stored: Replica,
    scheduler: Scheduler,
    infos: BTreeMap<String, Option<HostInfo>>,
    runs: BTreeMap<(String, TaskRef), (u32, u64)>,
    ends: u64,
    stream: Stream,
    stream_job: u64,
    durations: BTreeMap<u64, u64>,
    /// When each task of another job than those of the stream started.
    starts: BTreeMap<TaskRef, u64>,
    reservations: usize,
}

fn moment(now: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + now), unix_ms: UNIX_MS + now }
}

fn large(cpu_milli: u32, memory_mib: u32) -> StepSpec {
    StepSpec { tasks: 1, resources: Resources::new(cpu_milli, memory_mib), estimate_ms: 2_000, ..StepSpec::default() }
}

impl World {
    /// The stream has filled all hosts.
    fn new(hosts: usize, stream: Stream) -> Self {
        let info = |index: usize| HostInfo {
            service: "desk".to_owned(),
            availability_zone: format!("zone-{}", index % 3),
            capacity: CAPACITY,
            ..HostInfo::default()
        };
        let infos = (0..hosts).map(|index| (format!("host-{index:02}"), Some(info(index)))).collect();
        let mut world = Self {
            now: 0,
            stored: Replica::new(),
            scheduler: Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], moment(0)),
            infos,
            runs: BTreeMap::new(),
            ends: 0,
            stream,
            stream_job: FIRST_STREAM_JOB,
            durations: BTreeMap::new(),
            starts: BTreeMap::new(),
            reservations: 0,
        };
        world.connect();
        world.run_ms(3_000);
        world
    }

    fn connect(&mut self) {
        for (name, info) in &self.infos {
            self.scheduler.host_connected(name);
            self.scheduler.host_info_changed(name, info.clone());
            let running = self.runs.iter().filter(|((on, _), _)| on == name);
            let running: Vec<_> = running.map(|((_, task), (run, _))| (*task, *run)).collect();
            self.scheduler.reconcile_host(name, UNIX_MS, &running, moment(self.now));
        }
    }

    fn replace_leader(&mut self) {
        let hosts: Vec<_> = self.infos.keys().cloned().collect();
        self.scheduler = Scheduler::new(LeasePlan::new(6_000), &self.stored, hosts, moment(self.now));
        self.connect();
    }

    fn change_info(&mut self, host: &str, info: Option<HostInfo>) {
        self.scheduler.host_info_changed(&host.to_owned(), info.clone());
        self.infos.insert(host.to_owned(), info);
    }

    fn submit(&mut self, job: u64, priority: u8, steps: Vec<StepSpec>, took_ms: u64) {
        let settings = QueueSettings {
            service: "desk".to_owned(),
            priority,
            max_failures: 1,
            stretch_percent: 150,
            latency_ms: 60_000,
        };
        let kind = if job < FIRST_STREAM_JOB { "large" } else { "small" };
        let spec = JobSpec {
            queue: format!("{kind}-{priority}"),
            settings,
            accepted_unix_ms: UNIX_MS + self.now,
            payload: String::new(),
            steps,
            repeat: None,
        };
        self.durations.insert(job, took_ms);
        self.stored.apply_submission(JobId(job), spec.clone());
        self.scheduler.job_submitted(JobId(job), Arc::new(spec), moment(self.now));
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let ended: Vec<_> = self.runs.iter().filter(|(_, (_, end))| *end <= self.now).collect();
        let ended: Vec<_> = ended.into_iter().map(|(key, (run, _))| (key.clone(), *run)).collect();
        for ((host, task), run) in ended {
            self.runs.remove(&(host.clone(), task));
            self.ends += 1;
            let ended = RunEnd { number: self.ends, task, run, end: RunOutcome::Done, checkpoint: None };
            self.scheduler.run_ended(&host, UNIX_MS, &ended, moment(self.now));
        }
        // A few always wait, so that no host has room for one more.
        while self.scheduler.waiting_steps() < 6 {
            let Stream { resources, estimate_ms, took_ms, priority } = self.stream;
            let step = StepSpec { tasks: 1, resources, estimate_ms, ..StepSpec::default() };
            self.stream_job += 1;
            // Ends are spread, so that no host empties by itself.
            let spread_ms = self.stream_job * 37 % 11 * SPREAD_MS / 5;
            self.submit(self.stream_job, priority, vec![step], took_ms + spread_ms - SPREAD_MS);
        }
        self.scheduler.tick(moment(self.now));
        for change in self.scheduler.take_reservation_changes() {
            self.reservations += usize::from(matches!(change, ReservationChange::Made { .. }));
        }
        let batch = self.scheduler.take_batch();
        batch.records.into_iter().for_each(|(job, progress)| self.stored.apply_progress(job, progress));
        for effect in batch.effects {
            if let Effect::Start { host, task, run, reported: false, .. } = effect {
                if task.job.0 < FIRST_STREAM_JOB {
                    self.starts.entry(task).or_insert(self.now);
                }
                let end = self.now + self.durations[&task.job.0];
                self.runs.entry((host, task)).or_insert((run, end));
            }
        }
        self.assert_within_capacity();
    }

    fn assert_within_capacity(&self) {
        let mut used: BTreeMap<&String, Resources> = BTreeMap::new();
        for (host, task) in self.runs.keys() {
            let spec = self.stored.job(task.job).and_then(|copy| copy.spec.clone()).expect("a stored job");
            let step = &spec.steps[task.step as usize];
            let cpu_milli = if step.background { 0 } else { step.resources.cpu_milli };
            let sum = used.entry(host).or_default();
            *sum = sum.plus(&Resources { cpu_milli, ..step.resources });
        }
        assert!(used.values().all(|used| used.fits_in(&CAPACITY)), "{used:?}");
    }

    fn run_ms(&mut self, ms: u64) {
        (0..ms / TICK_MS).for_each(|_| self.tick());
    }

    /// The longest wait of the tasks of job 1 that was submitted at `submitted_at`, after `ms` from now on.
    fn longest_wait_ms(&mut self, submitted_at: u64, tasks: usize, ms: u64) -> u64 {
        let until = self.now + ms;
        while self.starts.len() < tasks && self.now < until {
            self.tick();
        }
        assert_eq!(self.starts.len(), tasks, "tasks still wait {} ms after the submission", self.now - submitted_at);
        self.starts.values().map(|start| start - submitted_at).max().expect("a task")
    }
}

/// Guards against tasks that wait for as long as small ones arrive. The bound holds whatever the estimates say: the time until
/// the reservation, its backfilling, and the longest run that was on the host when it was closed.
#[rstest]
#[case::tasks_of_14_cores(large(14_000, 1_000), STREAM)]
#[case::long_running(StepSpec { long_running: true, ..large(13_000, 26_000) }, STREAM)]
#[case::beside_less_urgent_ones(large(14_000, 1_000), Stream { priority: 2, ..STREAM })]
#[case::memory_bound(
    large(500, 55_000),
    Stream { resources: Resources { cpu_milli: 500, memory_mib: 8_000, accelerators: 0 }, ..STREAM }
)]
#[case::processor_bound_beside_memory_bound(
    large(14_000, 100),
    Stream { resources: Resources { cpu_milli: 1_800, memory_mib: 6_000, accelerators: 0 }, ..STREAM }
)]
#[case::gang_of_40(StepSpec { tasks: 40, gang: true, ..large(2_500, 500) }, STREAM)]
#[case::anti_affinity(StepSpec { tasks: 4, per_host: Some(1), ..large(12_000, 500) }, STREAM)]
#[case::estimates_too_short_by_90_percent(large(14_000, 1_000), Stream { estimate_ms: 100, ..STREAM })]
#[case::estimates_too_long_by_90_percent(large(14_000, 1_000), Stream { estimate_ms: 10_000, ..STREAM })]
fn a_large_task_starts_within_the_bound_beside_a_stream_of_small_ones(#[case] step: StepSpec, #[case] stream: Stream) {
    let mut world = World::new(8, stream);
    let (submitted_at, tasks) = (world.now, step.tasks as usize);
    let step_text = format!("{} x {:?} beside {:?}", step.tasks, step.resources, stream);
    world.submit(1, 0, vec![step], 1_000_000);
    let longest_run_ms = stream.took_ms + SPREAD_MS;
    let bound_ms = MAX_PASSED_OVER_MS + MAX_BACKFILL_MS + longest_run_ms + 2 * MATCHING_MS;
    let wait_ms = world.longest_wait_ms(submitted_at, tasks, 30_000);
    // The figures in docs/design/look-ahead.md.
    println!("{step_text}: {wait_ms} ms");
    assert!(wait_ms <= bound_ms, "waited for {wait_ms} ms, bound {bound_ms} ms");
}

/// Guards against work of priority 0 that waits behind a reservation of priority 2.
#[test]
fn a_reservation_does_not_delay_more_urgent_work() {
    let mut world = World::new(4, STREAM);
    let started_before = world.ends;
    world.run_ms(10_000);
    let usual = world.ends - started_before;
    world.submit(1, 2, vec![large(14_000, 1_000)], 1_000_000);
    let started_before = world.ends;
    world.run_ms(10_000);
    assert_eq!(world.starts.len(), 0);
    assert!(world.ends - started_before >= usual * 99 / 100, "{} after {usual}", world.ends - started_before);
}

/// Guards against reservations on loads that earlier versions place: tasks of one size wait for their turn, not for room.
#[test]
fn tasks_that_wait_for_their_turn_reserve_nothing() {
    let mut world = World::new(4, STREAM);
    for job in 1..=20 {
        let step = StepSpec { tasks: 10, resources: STREAM.resources, estimate_ms: 1_000, ..StepSpec::default() };
        world.submit(job, 0, vec![step], 1_000);
    }
    world.run_ms(20_000);
    assert_eq!((world.reservations, world.scheduler.reservation_counts()), (0, (0, 0)));
}

/// Guards against room that stays reserved for a step which cannot use it any more, and against a step that loses its
/// reservation for good.
#[rstest]
#[case::host_drains(|world: &mut World, host: &str| {
    let info = world.infos[host].clone().map(|info| HostInfo { draining: true, ..info });
    world.change_info(host, info);
})]
#[case::host_is_lost(|world: &mut World, host: &str| world.change_info(host, None))]
#[case::new_leader(|world: &mut World, _: &str| world.replace_leader())]
fn a_reservation_moves_when_it_cannot_be_kept(#[case] change: fn(&mut World, &str)) {
    let mut world = World::new(4, STREAM);
    world.submit(1, 0, vec![large(14_000, 1_000)], 1_000_000);
    while world.reservations == 0 {
        world.tick();
        assert!(world.now < 10_000, "no reservation");
    }
    let reserved = world.scheduler.reserved_hosts_of_steps().into_keys().next().expect("a host");
    change(&mut world, &reserved);
    let changed_at = world.now;
    let bound_ms = MAX_PASSED_OVER_MS + MAX_BACKFILL_MS + STREAM.took_ms + SPREAD_MS + 2 * MATCHING_MS;
    let wait_ms = world.longest_wait_ms(changed_at, 1, 30_000);
    assert!(wait_ms <= bound_ms, "{wait_ms}");
    world.run_ms(MATCHING_MS);
    assert_eq!(world.scheduler.reservation_counts(), (0, 0));
}

/// Guards against room that outlives the job that it was reserved for.
#[test]
fn a_reservation_ends_with_its_job() {
    let mut world = World::new(4, STREAM);
    world.submit(1, 0, vec![large(14_000, 1_000)], 1_000_000);
    while world.reservations == 0 {
        world.tick();
    }
    assert_eq!(world.scheduler.reservation_counts(), (1, 1));
    world.scheduler.job_cancelled(JobId(1), moment(world.now));
    world.run_ms(MATCHING_MS);
    assert_eq!(world.scheduler.reservation_counts(), (0, 0));
}
