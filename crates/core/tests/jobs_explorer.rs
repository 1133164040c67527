/*!
Explores schedules of the job scheduler: hosts that are cut off, crash and return, leaders that die and are replaced while
their hosts still obey them, orders and reports that are lost, and runs that fail.

Each seed is one schedule. The world keeps what really runs where, and checks every start against it.
*/

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use fescuelead_core::{
    jobs::{
        Batch, Effect, HostInfo, JobId, JobProgress, JobSpec, JobStatus, Moment, QueueSettings, Rejection, Replica,
        RunEnd, RunOutcome, Scheduler, StepSpec, TaskRef, lease::LeasePlan, pace::Paces,
    },
    units::{Resources, TimeMs},
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SCHEDULES: u64 = 20_000;
const EVENTS: usize = 250;
const HOSTS: usize = 3;
const JOBS: u64 = 6;
const HOST_CPU_MILLI: u32 = 4_000;
/// The image of the background tasks.
const IMAGE: &str = "render";
const UNIX_MS: u64 = 1_700_000_000_000;

/// A fault that is planted in the leader, to show that the explorer finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Takes a silent host's work elsewhere without waiting for its lease.
    NoWait,
    /// Gives orders although their records could not be stored.
    OrderBeforeRecord,
    /// Lets hosts forget ends that are not stored.
    ForgetBeforeRecord,
}

#[derive(Debug, Default)]
struct Host {
    incarnation: u64,
    runs: BTreeMap<TaskRef, (u32, u32)>,
    /// The highest run that was there, by task. Lower ones are refused.
    seen: BTreeMap<TaskRef, u32>,
    ends: BTreeMap<u64, RunEnd>,
    numbers: u64,
    lease_end: u64,
    cut: bool,
    /// Whether the current leader has a session.
    session: bool,
    /// Until when a leader that was replaced still grants time.
    old_leader_until: u64,
    orders: VecDeque<Effect>,
    reports: VecDeque<(u64, RunEnd)>,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    fault: Fault,
    plan: LeasePlan,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    stored: Replica,
    scheduler: Scheduler,
    hosts: Vec<Host>,
    answered: Vec<Option<u64>>,
    /// Tasks whose success was forgotten by the host.
    noted: BTreeSet<TaskRef>,
    starts: u64,
    moves: u64,
}

fn name(host: usize) -> String {
    format!("host-{host}")
}

fn index(host: &str) -> usize {
    host.trim_start_matches("host-").parse().expect("a host of this world")
}

fn spec(rng: &mut impl Rng) -> Arc<JobSpec> {
    let step = |rng: &mut dyn Rng, after| StepSpec {
        tasks: rng.random_range(1..4),
        resources: Resources::new(rng.random_range(5..20) * 100, 10),
        estimate_ms: 500,
        after,
        ..StepSpec::default()
    };
    let background =
        StepSpec { background: true, checkpoints: true, image: Some(IMAGE.to_owned()), ..step(rng, vec![]) };
    let steps = vec![step(rng, vec![]), step(rng, vec![0]), background];
    let settings = QueueSettings {
        service: "s".to_owned(),
        priority: 0,
        max_failures: 1_000,
        stretch_percent: 150,
        latency_ms: 100,
    };
    Arc::new(JobSpec {
        queue: "q".to_owned(),
        settings,
        accepted_unix_ms: UNIX_MS,
        payload: String::new(),
        steps,
        repeat: None,
    })
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        let plan = LeasePlan::new(6_000);
        let leader_plan = match fault {
            Fault::NoWait => LeasePlan { grant_ms: 0, proof_ms: 0 },
            _ => plan,
        };
        let now = 1_000_000;
        let moment = Moment { at: TimeMs(now), unix_ms: UNIX_MS };
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            fault,
            plan,
            specs: BTreeMap::new(),
            stored: Replica::new(),
            scheduler: Scheduler::new(leader_plan, &Replica::new(), [], moment),
            hosts: (0..HOSTS).map(|_| Host { incarnation: 1, ..Host::default() }).collect(),
            answered: vec![None; HOSTS],
            noted: BTreeSet::new(),
            starts: 0,
            moves: 0,
        };
        for id in 1..=JOBS {
            let spec = spec(&mut world.rng);
            world.specs.insert(JobId(id), spec.clone());
            world.stored.apply_submission(JobId(id), (*spec).clone());
            world.scheduler.job_submitted(JobId(id), spec, moment);
        }
        world
    }

    fn moment(&self) -> Moment {
        Moment { at: TimeMs(self.now), unix_ms: UNIX_MS + self.now }
    }

    fn cpu(&self, task: &TaskRef) -> u32 {
        let step = &self.specs[&task.job].steps[task.step as usize];
        // Background tasks take what others leave.
        if step.background { 0 } else { step.resources.cpu_milli }
    }

    /// Lets time pass: grants are renewed where there is a session, and leases end.
    fn pass(&mut self, ms: u64) {
        self.now += ms;
        for (host, answered) in self.hosts.iter_mut().zip(&mut self.answered) {
            if host.session && !host.cut {
                *answered = Some(self.now);
                host.lease_end = self.now + self.plan.grant_ms;
            } else if !host.session && !host.cut && self.now < host.old_leader_until {
                host.lease_end = self.now + self.plan.grant_ms;
            }
            if self.now > host.lease_end {
                let lapsed: Vec<_> = std::mem::take(&mut host.runs).into_iter().collect();
                for (task, (run, _)) in lapsed {
                    host.end(task, run, RunOutcome::Interrupted);
                }
                // A success that was not noted before the lease ended does not count any more.
                host.ends.retain(|_, ended| ended.end == RunOutcome::Interrupted);
                host.reports.retain(|(_, ended)| ended.end == RunOutcome::Interrupted);
            }
        }
    }

    fn connect(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        if host.session || host.cut {
            return;
        }
        host.session = true;
        host.old_leader_until = 0;
        host.orders.clear();
        host.lease_end = self.now + self.plan.grant_ms;
        self.answered[at] = Some(self.now);
        let info = HostInfo {
            service: "s".to_owned(),
            availability_zone: "z".to_owned(),
            labels: BTreeSet::new(),
            capacity: Resources::new(HOST_CPU_MILLI, 1_000),
            draining: false,
        };
        host.reports = host.ends.values().map(|ended| (host.incarnation, ended.clone())).collect();
        let running: Vec<_> = host.runs.iter().map(|(task, (run, _))| (*task, *run)).collect();
        let incarnation = host.incarnation;
        self.scheduler.host_connected(&name(at));
        self.scheduler.host_info_changed(&name(at), Some(info));
        let moment = self.moment();
        while let Some((incarnation, ended)) = self.hosts[at].reports.pop_front() {
            self.scheduler.run_ended(&name(at), incarnation, &ended, moment);
        }
        self.scheduler.reconcile_host(&name(at), incarnation, &running, moment);
    }

    fn disconnect(&mut self, at: usize) {
        if std::mem::take(&mut self.hosts[at].session) {
            self.hosts[at].orders.clear();
            self.hosts[at].reports.clear();
            let answered = self.answered[at].map(TimeMs);
            let moment = self.moment();
            self.scheduler.host_disconnected(&name(at), answered, moment);
        }
    }

    /// A new leader takes over. The old one goes on to grant time to hosts that do not know yet.
    fn replace_leader(&mut self) {
        for (host, answered) in self.hosts.iter_mut().zip(&mut self.answered) {
            if host.session {
                host.old_leader_until = self.now + self.plan.proof_ms;
            }
            host.session = false;
            host.orders.clear();
            host.reports.clear();
            *answered = None;
        }
        let plan = match self.fault {
            Fault::NoWait => LeasePlan { grant_ms: 0, proof_ms: 0 },
            _ => self.plan,
        };
        let moment = self.moment();
        self.scheduler = Scheduler::new(plan, &self.stored, (0..HOSTS).map(name), moment);
    }

    /// Stores what the leader decided and carries it out; or the leader dies before the store has it.
    fn commit(&mut self) {
        let moment = self.moment();
        self.scheduler.tick(moment);
        let Batch { records, effects } = self.scheduler.take_batch();
        let dies = self.rng.random_bool(0.02);
        if dies {
            for effect in effects {
                let early = matches!(
                    (&effect, self.fault),
                    (Effect::Start { .. }, Fault::OrderBeforeRecord)
                        | (Effect::Forget { .. }, Fault::ForgetBeforeRecord)
                );
                if early {
                    self.obey(effect);
                }
            }
            return self.replace_leader();
        }
        for (job, progress) in records {
            self.stored.apply_progress(job, progress);
        }
        for effect in effects {
            let (Effect::Start { host, .. }
            | Effect::Stop { host, .. }
            | Effect::Move { host, .. }
            | Effect::Forget { host, .. }) = &effect;
            let host = &mut self.hosts[index(host)];
            if host.session {
                self.moves += u64::from(matches!(effect, Effect::Move { .. }));
                host.orders.push_back(effect);
            }
        }
    }

    /// A host carries out an order.
    fn obey(&mut self, effect: Effect) {
        match effect {
            Effect::Start { host, incarnation, task, run, .. } => {
                let at = index(&host);
                let host = &self.hosts[at];
                let known = host.seen.get(&task).is_some_and(|&seen| seen >= run);
                if host.incarnation != incarnation {
                    return;
                }
                if known || self.now > host.lease_end {
                    let there = host.runs.get(&task).is_some_and(|(there, _)| *there == run);
                    let ended = host.ends.values().any(|ended| ended.task == task && ended.run == run);
                    if !there && !ended && host.session {
                        let moment = self.moment();
                        self.scheduler.run_rejected(&name(at), incarnation, &task, run, Rejection::Outdated, moment);
                    }
                    return;
                }
                let elsewhere = self.hosts.iter().any(|host| host.runs.contains_key(&task));
                assert!(!elsewhere, "TWICE {task} run {run} starts while another run exists");
                assert!(!self.noted.contains(&task), "TWICE {task} run {run} starts after its success was noted");
                let cpu = self.cpu(&task);
                let used: u32 = host.runs.keys().map(|task| self.cpu(task)).sum();
                assert!(used + cpu <= HOST_CPU_MILLI, "LIMIT {task} needs {cpu}, {used} is taken on host {at}");
                let host = &mut self.hosts[at];
                host.seen.insert(task, run);
                host.runs.insert(task, (run, cpu));
                self.starts += 1;
            }
            Effect::Stop { host, task, run } | Effect::Move { host, task, run } => {
                let host = &mut self.hosts[index(&host)];
                let seen = host.seen.entry(task).or_default();
                *seen = run.max(*seen);
                if host.runs.get(&task).is_some_and(|(there, _)| *there == run) {
                    host.runs.remove(&task);
                    host.end(task, run, RunOutcome::Interrupted);
                }
            }
            Effect::Forget { host, incarnation, up_to } => {
                let host = &mut self.hosts[index(&host)];
                if host.incarnation == incarnation {
                    let kept = host.ends.split_off(&(up_to + 1));
                    let noted = std::mem::replace(&mut host.ends, kept);
                    let done = noted.into_values().filter(|ended| ended.end == RunOutcome::Done);
                    self.noted.extend(done.map(|ended| ended.task));
                }
            }
        }
    }

    fn finish_a_run(&mut self, at: usize, end: RunOutcome) {
        let runs: Vec<_> = self.hosts[at].runs.iter().map(|(task, (run, _))| (*task, *run)).collect();
        if runs.is_empty() {
            return;
        }
        let (task, run) = runs[self.rng.random_range(0..runs.len())];
        let host = &mut self.hosts[at];
        host.runs.remove(&task);
        host.end(task, run, end);
    }

    fn event(&mut self, calm: bool) {
        let at = self.rng.random_range(0..HOSTS);
        match self.rng.random_range(0..100) {
            0..30 => {
                if let Some(effect) = self.hosts[at].orders.pop_front().filter(|_| !self.hosts[at].cut) {
                    self.obey(effect);
                }
            }
            30..55 => {
                if let Some((incarnation, ended)) = self.hosts[at].reports.pop_front().filter(|_| !self.hosts[at].cut) {
                    let moment = self.moment();
                    self.scheduler.run_ended(&name(at), incarnation, &ended, moment);
                }
            }
            55..70 => {
                let end = match self.rng.random_range(0..10) {
                    0 => RunOutcome::Failed,
                    _ => RunOutcome::Done,
                };
                self.finish_a_run(at, end);
            }
            70..78 => self.connect(at),
            78..80 => {
                let percent = if self.rng.random_bool(0.5) { 0 } else { 100 };
                let moment = self.moment();
                self.scheduler.host_paces_changed(&name(at), &Paces::from([(IMAGE.to_owned(), percent)]), moment);
            }
            80..90 => {
                let ms = self.rng.random_range(10..400);
                self.pass(ms);
            }
            _ if calm => {}
            90..92 => self.disconnect(at),
            92..94 => {
                self.hosts[at].cut = true;
                self.disconnect(at);
            }
            94..96 => self.hosts[at].cut = false,
            96..98 => {
                // The endpoint crashes and starts anew.
                self.disconnect(at);
                let host = &mut self.hosts[at];
                *host = Host { incarnation: host.incarnation + 1, cut: host.cut, ..Host::default() };
            }
            98 => self.pass(8_000),
            _ => self.replace_leader(),
        }
        self.commit();
    }
}

impl Host {
    fn end(&mut self, task: TaskRef, run: u32, end: RunOutcome) {
        self.numbers += 1;
        let ended = RunEnd { number: self.numbers, task, run, end, checkpoint: None };
        self.ends.insert(self.numbers, ended.clone());
        if self.session {
            self.reports.push_back((self.incarnation, ended));
        }
    }
}

/// Plays one schedule. Returns how many runs started, and how many were to go on elsewhere.
fn play(seed: u64, fault: Fault) -> (u64, u64) {
    let mut world = World::new(seed, fault);
    for _ in 0..EVENTS {
        world.event(false);
    }
    world.hosts.iter_mut().for_each(|host| host.cut = false);
    world.pass(8_000);
    for _ in 0..20_000 {
        world.event(true);
        let open = |progress: Option<&JobProgress>| progress.is_none_or(|progress| !progress.all_done());
        if !world.stored.jobs().any(|(_, copy)| open(copy.progress.as_ref())) {
            break;
        }
    }
    for (job, copy) in world.stored.jobs() {
        assert_eq!(copy.status(), Some(JobStatus::Completed), "LOST job {job} does not end, seed {seed}");
    }
    (world.starts, world.moves)
}

#[test]
fn no_schedule_runs_a_task_twice_or_overcommits_a_host_or_loses_a_job() {
    let (starts, moves) = (0..SCHEDULES)
        .map(|seed| play(seed, Fault::None))
        .fold((0, 0), |sum, played| (sum.0 + played.0, sum.1 + played.1));
    println!("{SCHEDULES} schedules, {starts} starts, {moves} moves");
    assert!(starts > SCHEDULES * JOBS);
    assert!(moves > SCHEDULES / 10);
}

/// An explorer that finds none of these would prove nothing.
#[rstest::rstest]
#[case(Fault::NoWait)]
#[case(Fault::OrderBeforeRecord)]
#[case(Fault::ForgetBeforeRecord)]
fn a_planted_fault_is_found(#[case] fault: Fault) {
    let found = (0..SCHEDULES).find(|&seed| std::panic::catch_unwind(|| play(seed, fault)).is_err());
    println!("{fault:?} found by seed {found:?}");
    assert!(found.is_some());
}
