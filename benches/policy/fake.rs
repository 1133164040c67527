//! A small fake of workers: hidden slowdowns of pairs that drift, late usage reports, sizes that differ from the
//! declared ones, workers that fail all they start. It runs in steps of one virtual second.

use std::collections::VecDeque;

use fescuelead_core::{
    interference::ClassId,
    units::{Resources, TimeMs},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Service classes come first, batch classes after them.
pub const SERVICES: usize = 4;
/// Batch classes, the last of which is the noisy one that only waves use.
pub const BATCHES: usize = 10;
/// The class that only waves use.
pub const NOISY: usize = SERVICES + BATCHES - 1;
const CLASSES: usize = SERVICES + BATCHES;
/// Latencies drawn per endpoint and second.
const DRAWS: usize = 8;
/// The length of a report's interval in seconds.
const WINDOW_S: u64 = 5;
/// What a restart from a checkpoint costs, in seconds of run time.
const RESUME_S: f64 = 5.0;

/// One job and all that happened to it.
#[derive(Debug, Clone)]
pub struct Job {
    pub class: usize,
    pub declared: Resources,
    pub used: Resources,
    pub run_s: f64,
    pub left_s: f64,
    pub priority: u8,
    pub team: usize,
    pub movable: bool,
    pub arrives_s: u64,
    pub started_s: Option<u64>,
    pub completions: u32,
    pub moves: u32,
}

/// A job on a worker.
#[derive(Debug, Clone)]
pub struct Running {
    pub job: usize,
    pub percent: u8,
    pub started_s: u64,
    pub throttled_since: Option<TimeMs>,
}

/// What a worker says late.
#[derive(Debug, Clone)]
pub struct Report {
    pub worker: usize,
    pub from: TimeMs,
    pub to: TimeMs,
    /// Class and slowdown of each endpoint.
    pub services: Vec<(ClassId, f32)>,
    /// Job, class, weight, slowdown.
    pub tasks: Vec<(usize, ClassId, f32, f32)>,
}

/// How a run of a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    Done,
    Failed,
    /// The worker's memory was full.
    Killed,
}

#[derive(Debug, Clone)]
pub struct Worker {
    pub capacity: Resources,
    pub zone: usize,
    pub services: Vec<usize>,
    pub running: Vec<Running>,
    pub broken: bool,
    /// The availability zone is off: nothing runs here.
    pub off: bool,
    /// Work done in core seconds, per minute.
    pub work: Vec<f64>,
    pub starts: u64,
    service_sum: Vec<f64>,
    task_sum: Vec<(usize, f64, f64)>,
}

/// What an endpoint reserves.
pub const SERVICE_SIZE: Resources = Resources { cpu_milli: 4_000, memory_mib: 8_192, accelerators: 0 };

impl Worker {
    pub fn new(capacity: Resources, zone: usize, services: Vec<usize>) -> Self {
        let service_sum = vec![0.0; services.len()];
        let (running, work, task_sum) = (Vec::new(), Vec::new(), Vec::new());
        Self { capacity, zone, services, running, broken: false, off: false, work, starts: 0, service_sum, task_sum }
    }

    /// What is committed by declared size.
    pub fn committed(&self, jobs: &[Job]) -> Resources {
        let services = self.services.iter().fold(Resources::ZERO, |sum, _| sum.plus(&SERVICE_SIZE));
        self.running.iter().fold(services, |sum, r| sum.plus(&jobs[r.job].declared))
    }
}

/// Hidden slowdown of a task of the first class by one of the second.
#[derive(Debug, Clone)]
pub struct Hidden {
    base: Vec<[f64; CLASSES]>,
    phase: Vec<[f64; CLASSES]>,
}

impl Hidden {
    fn new(random: &mut ChaCha8Rng) -> Self {
        let mut base = vec![[0.0; CLASSES]; CLASSES];
        let mut phase = base.clone();
        for victim in 0..CLASSES {
            for aggressor in 0..CLASSES {
                let draw: f64 = random.random();
                let within = |low: f64, high: f64, at: f64| low + (high - low) * at;
                let at: f64 = random.random();
                base[victim][aggressor] = match (victim < SERVICES, aggressor < SERVICES) {
                    (true, true) => 0.0,
                    (true, false) if aggressor == NOISY => within(0.15, 0.5, at),
                    (true, false) if draw < 0.55 => within(0.0, 0.004, at),
                    (true, false) if draw < 0.8 => within(0.005, 0.02, at),
                    (true, false) => within(0.08, 0.4, at),
                    (false, _) if draw < 0.85 => within(0.0, 0.005, at),
                    (false, _) => within(0.02, 0.08, at),
                };
                phase[victim][aggressor] = random.random::<f64>() * std::f64::consts::TAU;
            }
        }
        Self { base, phase }
    }

    /// The load of a service shifts: what it suffered from one class it now suffers from another, and more.
    pub fn shift(&mut self, victim: usize) {
        self.base[victim][SERVICES..NOISY].rotate_right(3);
        self.base[victim].iter_mut().for_each(|effect| *effect *= 1.5);
    }

    /// The effect of one task at a time; drifts by 30% either way within 80 minutes.
    pub fn effect(&self, victim: usize, aggressor: usize, now_s: u64) -> f64 {
        let angle = now_s as f64 / 4_800.0 * std::f64::consts::TAU + self.phase[victim][aggressor];
        self.base[victim][aggressor] * (1.0 + 0.3 * angle.sin())
    }
}

/// All workers, jobs and what is measured.
#[derive(Debug, Clone)]
pub struct Fake {
    pub workers: Vec<Worker>,
    pub jobs: Vec<Job>,
    pub hidden: Hidden,
    pub now_s: u64,
    /// Latencies relative to the median alone, from `measure_from_s` on, and the same without batch work.
    pub latencies: Vec<f32>,
    pub alone: Vec<f32>,
    pub measure_from_s: u64,
    /// The share of latencies above the SLO, per second and service.
    pub late_share: Vec<[f32; SERVICES]>,
    pub overcommitments: u64,
    /// Evictions and completions from `measure_from_s` on.
    pub evictions: u64,
    pub completions: u64,
    pub wasted_starts: u64,
    reports: VecDeque<(u64, Report)>,
    noise: ChaCha8Rng,
    delays: ChaCha8Rng,
}

/// The SLO of services: 1.3 times the 99th percentile alone.
const SLO: f32 = 1.3 * 1.789;
/// The spread of a service's latency alone.
const LATENCY_SIGMA: f64 = 0.25;

impl Fake {
    /// `workers` in availability zones, with jobs to come.
    pub fn new(seed: u64, workers: Vec<Worker>, jobs: Vec<Job>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            workers,
            jobs,
            hidden: Hidden::new(&mut random),
            now_s: 0,
            latencies: Vec::new(),
            alone: Vec::new(),
            measure_from_s: 1_800,
            late_share: Vec::new(),
            overcommitments: 0,
            evictions: 0,
            completions: 0,
            wasted_starts: 0,
            reports: VecDeque::new(),
            noise: ChaCha8Rng::seed_from_u64(seed ^ 0x6e6f697365),
            delays: ChaCha8Rng::seed_from_u64(seed ^ 0x64656c6179),
        }
    }

    pub fn now(&self) -> TimeMs {
        TimeMs(self.now_s * 1_000)
    }

    /// Starts a job and counts a commitment beyond the capacity.
    pub fn start(&mut self, worker: usize, job: usize) {
        let w = &mut self.workers[worker];
        w.starts += 1;
        self.wasted_starts += u64::from(w.broken);
        w.running.push(Running { job, percent: 100, started_s: self.now_s, throttled_since: None });
        self.overcommitments += u64::from(!w.committed(&self.jobs).fits_in(&w.capacity));
        self.jobs[job].started_s.get_or_insert(self.now_s);
    }

    pub fn throttle(&mut self, worker: usize, job: usize, percent: u8) {
        let now = self.now();
        if let Some(r) = self.workers[worker].running.iter_mut().find(|r| r.job == job) {
            r.percent = percent;
            r.throttled_since = (percent <= 50).then(|| r.throttled_since.unwrap_or(now));
        }
    }

    /// Stops a job, with a checkpoint if it can have one, and returns whether it ran.
    pub fn stop(&mut self, worker: usize, job: usize, checkpoint: bool) -> bool {
        let running = &mut self.workers[worker].running;
        let Some(place) = running.iter().position(|r| r.job == job) else { return false };
        running.remove(place);
        let job = &mut self.jobs[job];
        self.evictions += u64::from(self.now_s >= self.measure_from_s);
        job.left_s = if checkpoint && job.movable { job.left_s + RESUME_S } else { job.run_s };
        job.moves += u32::from(checkpoint);
        true
    }

    /// Runs one second: returns the runs that ended (worker, job, how) and the reports that arrived.
    pub fn step(&mut self) -> (Vec<(usize, usize, Ended)>, Vec<Report>) {
        let mut ended = Vec::new();
        let (mut late, mut drawn) = ([0.0f32; SERVICES], [0.0f32; SERVICES]);
        for index in 0..self.workers.len() {
            let slowdowns = self.run_worker(index, &mut ended);
            let services = self.workers[index].services.clone();
            for (service, slowdown) in services.iter().zip(slowdowns) {
                for _ in 0..DRAWS {
                    let base = (LATENCY_SIGMA * self.normal()).exp();
                    let latency = (base * slowdown) as f32;
                    late[*service] += f32::from(u8::from(latency > SLO));
                    drawn[*service] += 1.0;
                    if self.now_s >= self.measure_from_s {
                        self.latencies.push(latency);
                        self.alone.push(base as f32);
                    }
                }
            }
        }
        if self.now_s >= self.measure_from_s {
            let count = |how: Ended| ended.iter().filter(|(.., ended)| *ended == how).count() as u64;
            self.completions += count(Ended::Done);
            self.evictions += count(Ended::Killed);
        }
        self.late_share.push(std::array::from_fn(|s| if drawn[s] > 0.0 { late[s] / drawn[s] } else { 0.0 }));
        self.now_s += 1;
        if self.now_s.is_multiple_of(WINDOW_S) {
            (0..self.workers.len()).for_each(|worker| self.report(worker));
        }
        let (due, later): (Vec<_>, Vec<_>) = self.reports.drain(..).partition(|(at, _)| *at <= self.now_s);
        self.reports = later.into();
        (ended, due.into_iter().map(|(_, report)| report).collect())
    }

    fn run_worker(&mut self, index: usize, ended: &mut Vec<(usize, usize, Ended)>) -> Vec<f64> {
        let (now_s, hidden, jobs) = (self.now_s, &self.hidden, &mut self.jobs);
        let w = &mut self.workers[index];
        let minute = (now_s / 60) as usize;
        w.work.resize(minute + 1, 0.0);
        if w.off {
            return vec![1.0; w.services.len()];
        }
        let mut weights = [0.0; CLASSES];
        w.services.iter().for_each(|s| weights[*s] += 1.0);
        w.running.iter().for_each(|r| weights[jobs[r.job].class] += f64::from(r.percent) / 100.0);
        let services_cpu = SERVICE_SIZE.cpu_milli as usize * w.services.len();
        let batch_cpu: f64 =
            w.running.iter().map(|r| f64::from(jobs[r.job].used.cpu_milli) * f64::from(r.percent) / 100.0).sum();
        let room = f64::from(w.capacity.cpu_milli) - services_cpu as f64;
        let over = (batch_cpu / room).max(1.0);
        let mut slowdowns = Vec::new();
        for service in &w.services {
            let pairs = (SERVICES..CLASSES).map(|a| 1.0 + weights[a] * hidden.effect(*service, a, now_s));
            slowdowns.push(pairs.product::<f64>() * (1.0 + 0.2 * (over - 1.0)));
        }
        for (sum, slowdown) in w.service_sum.iter_mut().zip(&slowdowns) {
            *sum += slowdown;
        }
        for r in &w.running {
            let job = &mut jobs[r.job];
            let share = f64::from(r.percent) / 100.0;
            let others = |a: usize| weights[a] - if a == job.class { share } else { 0.0 };
            let slowdown: f64 = 1.0 + (0..CLASSES).map(|a| others(a) * hidden.effect(job.class, a, now_s)).sum::<f64>();
            let progress = (share / slowdown / over).min(job.left_s);
            match w.task_sum.iter_mut().find(|(known, ..)| *known == r.job) {
                Some((_, sum, seconds)) => (*sum, *seconds) = (*sum + slowdown * over, *seconds + 1.0),
                None => w.task_sum.push((r.job, slowdown * over, 1.0)),
            }
            let fails = w.broken && now_s >= r.started_s + 4;
            if fails {
                job.left_s = job.run_s;
                ended.push((index, r.job, Ended::Failed));
                continue;
            }
            if !w.broken {
                job.left_s -= progress;
                w.work[minute] += progress * f64::from(job.used.cpu_milli) / 1_000.0;
            }
            if job.left_s <= 1e-9 {
                job.completions += 1;
                ended.push((index, r.job, Ended::Done));
            }
        }
        w.running.retain(|r| !ended.iter().any(|(at, job, _)| *at == index && *job == r.job));
        let services_mib = u64::from(SERVICE_SIZE.memory_mib) * w.services.len() as u64;
        loop {
            let used: u64 = w.running.iter().map(|r| u64::from(jobs[r.job].used.memory_mib)).sum();
            if used + services_mib <= u64::from(w.capacity.memory_mib) {
                break;
            }
            let over = |r: &Running| jobs[r.job].used.memory_mib.saturating_sub(jobs[r.job].declared.memory_mib);
            let Some(place) = (0..w.running.len()).max_by_key(|p| over(&w.running[*p])) else { break };
            let killed = w.running.remove(place).job;
            jobs[killed].left_s = jobs[killed].run_s;
            ended.push((index, killed, Ended::Killed));
        }
        slowdowns
    }

    fn report(&mut self, worker: usize) {
        let delay_s = self.delays.random_range(5..=30);
        let window = WINDOW_S as f64;
        let mut factors: Vec<f64> = Vec::new();
        for _ in 0..self.workers[worker].services.len() + 1 {
            factors.push(1.0 + 0.02 * self.normal());
        }
        let w = &mut self.workers[worker];
        let services = w.services.iter().zip(&mut w.service_sum).zip(&factors);
        let services = services.map(|((s, sum), f)| (ClassId(*s as u16), (std::mem::take(sum) / window * f) as f32));
        let services = services.collect();
        let factor = factors[factors.len() - 1];
        let tasks = w.task_sum.drain(..).filter(|(.., seconds)| *seconds >= window);
        let percent = |job: usize| w.running.iter().find(|r| r.job == job).map(|r| f32::from(r.percent) / 100.0);
        let jobs = &self.jobs;
        let tasks = tasks
            .filter_map(|(job, sum, seconds)| {
                let class = ClassId(jobs[job].class as u16);
                Some((job, class, percent(job)?, (sum / seconds * factor) as f32))
            })
            .collect();
        let (from, to) = (TimeMs((self.now_s - WINDOW_S) * 1_000), TimeMs(self.now_s * 1_000));
        if !w.off {
            self.reports.push_back((self.now_s + delay_s, Report { worker, from, to, services, tasks }));
        }
    }

    fn normal(&mut self) -> f64 {
        let (u, v): (f64, f64) = (self.noise.random(), self.noise.random());
        (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    }

    /// Core seconds of work from a time on.
    pub fn work_from(&self, from_s: u64) -> f64 {
        self.workers.iter().flat_map(|w| w.work.iter().skip((from_s / 60) as usize)).sum()
    }
}

/// The 99th percentile.
pub fn p99(values: &[f32]) -> f64 {
    let mut sorted = values.to_vec();
    if sorted.is_empty() {
        return 0.0;
    }
    let place = (sorted.len() * 99 / 100).min(sorted.len() - 1);
    let (_, value, _) = sorted.select_nth_unstable_by(place, f32::total_cmp);
    f64::from(*value)
}
