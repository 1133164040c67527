//! Drives one policy over the fake: queue, placement and remedies, as the daemon would. The baselines differ in the
//! choice of the worker and in the answer to a slowed service: they evict the newest batch task.

use fescuelead_core::{
    estimate::Estimates,
    ids::{AgentId, AvailabilityZone, RackId, TaskId, TeamId},
    interference::{ClassId, Effect, Interference, InterferenceSettings},
    placement::{
        Decision, Demand, DrainSettings, PlacementSettings, Placer, PreemptCandidate, Quotas, Remedies, Remedy,
        RemedySettings, Resident, ServiceReading, TaskReading, View, WorkerKey, WorkerTable, WorkerUpdate, ZoneDrain,
        infeasible, preempt, slowdown_budget,
    },
    profile::{Kind, Spread, Team, Weights},
    queue::{Next, Queue, QueuedTask},
    suspect::{SuspectSettings, Suspicions},
    units::Resources,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fake::{Ended, Fake, Report, SERVICE_SIZE, SERVICES};

/// Quantile of the estimates that rank workers.
const QUANTILE: f64 = 0.75;
/// Placements tried in one second.
const TRIES: usize = 400;
/// Baselines evict where a service is slower than this, at most once in this many seconds on a worker.
const BASELINE_EVICTS_ABOVE: f32 = 1.25;
const BASELINE_SPACING_S: u64 = 30;

/// Who chooses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Chooser {
    Own,
    BestFit,
    LeastLoaded,
    RandomOfTwo,
    /// Own, with the hidden table, true sizes and no lag.
    Oracle,
}

/// A policy with its settings.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    pub chooser: Chooser,
    pub place: PlacementSettings,
    pub remedy: RemedySettings,
    pub interference: InterferenceSettings,
    pub suspect: SuspectSettings,
    pub drain: DrainSettings,
    pub weights: Weights,
    pub fair: bool,
    /// Start tasks throttled beside services that they were never seen with.
    pub start_throttled: bool,
}

impl Policy {
    pub fn new(chooser: Chooser) -> Self {
        let own = matches!(chooser, Chooser::Own);
        Self {
            chooser,
            place: PlacementSettings::default(),
            remedy: RemedySettings::default(),
            interference: InterferenceSettings::default(),
            suspect: SuspectSettings { enabled: own, ..SuspectSettings::default() },
            drain: DrainSettings::default(),
            weights: Weights::default(),
            fair: true,
            start_throttled: true,
        }
    }

    fn remedies(&self) -> bool {
        matches!(self.chooser, Chooser::Own | Chooser::Oracle)
    }
}

/// One run of a policy over a fake.
pub struct Driver {
    pub fake: Fake,
    pub never: usize,
    policy: Policy,
    budget: f32,
    queue: Queue,
    table: WorkerTable,
    keys: Vec<WorkerKey>,
    interference: Interference,
    estimates: Estimates,
    suspicions: Suspicions,
    quotas: Quotas,
    remedies: Remedies,
    placer: Placer,
    drain: ZoneDrain,
    random: ChaCha8Rng,
    arrivals: Vec<usize>,
    next_arrival: usize,
    ids: Vec<TaskId>,
    teams: Vec<TeamId>,
    slowdowns: Vec<Vec<f32>>,
    evicted_s: Vec<u64>,
    zones_out: Vec<usize>,
}

impl Driver {
    pub fn new(seed: u64, policy: Policy, fake: Fake, team_quota: Resources) -> Self {
        let mut arrivals: Vec<usize> = (0..fake.jobs.len()).collect();
        arrivals.sort_by_key(|job| fake.jobs[*job].arrives_s);
        let ids = (0..fake.jobs.len()).map(|n| TaskId::new(format!("c0-{n}")).expect("valid id")).collect();
        let team_count = fake.jobs.iter().map(|job| job.team + 1).max().unwrap_or(1);
        let teams: Vec<_> = (0..team_count).map(|n| TeamId::new(format!("team-{n}")).expect("valid id")).collect();
        let mut quotas = Quotas::new();
        teams.iter().for_each(|id| quotas.set_quota(id.clone(), &Team::new(team_quota)));
        let slowdowns = fake.workers.iter().map(|w| vec![1.0; w.services.len()]).collect();
        let mut driver = Self {
            never: 0,
            policy,
            budget: slowdown_budget(&policy.weights),
            queue: Queue::new().with_fairness(policy.fair),
            table: WorkerTable::new(),
            keys: Vec::new(),
            interference: Interference::new(policy.interference),
            estimates: Estimates::new(),
            suspicions: Suspicions::new(policy.suspect),
            quotas,
            remedies: Remedies::new(policy.remedy),
            placer: Placer::new(seed).with_settings(policy.place),
            drain: ZoneDrain::new(policy.drain, fake.now()),
            random: ChaCha8Rng::seed_from_u64(seed),
            arrivals,
            next_arrival: 0,
            ids,
            teams,
            slowdowns,
            evicted_s: vec![0; fake.workers.len()],
            zones_out: Vec::new(),
            fake,
        };
        driver.keys = (0..driver.fake.workers.len()).map(|w| driver.sync(w)).collect();
        driver
    }

    /// Takes an availability zone out of service or puts it back.
    pub fn set_zone(&mut self, zone: usize, out: bool) {
        self.table.set_zone_out(&zone_id(zone), out, self.fake.now());
        self.zones_out.retain(|z| *z != zone);
        if out {
            self.zones_out.push(zone);
        }
    }

    /// Switches the hosts of a zone off or on; what still runs there is lost and queued again.
    pub fn set_power(&mut self, zone: usize, off: bool) {
        for worker in 0..self.fake.workers.len() {
            if self.fake.workers[worker].zone == zone {
                let lost: Vec<_> = self.fake.workers[worker].running.iter().map(|r| r.job).collect();
                lost.into_iter().filter(|_| off).for_each(|job| self.stop(worker, job, false));
                self.fake.workers[worker].off = off;
                self.sync(worker);
            }
        }
    }

    pub fn run_until(&mut self, end_s: u64) {
        while self.fake.now_s < end_s {
            self.tick();
        }
    }

    /// Jobs that have arrived and neither wait, run, nor are done.
    pub fn unaccounted(&self) -> usize {
        let running = |job: usize| self.fake.workers.iter().any(|w| w.running.iter().any(|r| r.job == job));
        let known = |job: usize| {
            self.fake.jobs[job].completions > 0 || self.queue.key(&self.ids[job]).is_some() || running(job)
        };
        self.arrivals[..self.next_arrival].iter().filter(|job| !known(**job)).count()
    }

    fn tick(&mut self) {
        let (ended, reports) = self.fake.step();
        let now = self.fake.now();
        for (worker, job, how) in ended {
            self.ended(worker, job, how);
        }
        self.suspicions.tick(now);
        reports.iter().for_each(|report| self.learn(report));
        if self.policy.chooser == Chooser::Oracle && self.fake.now_s.is_multiple_of(5) {
            self.look_through();
        }
        self.drain_zones();
        while self.next_arrival < self.arrivals.len()
            && self.fake.jobs[self.arrivals[self.next_arrival]].arrives_s <= self.fake.now_s
        {
            let job = self.arrivals[self.next_arrival];
            self.next_arrival += 1;
            let j = &self.fake.jobs[job];
            if infeasible(&self.teams[j.team], &j.declared, &self.table, &self.quotas).is_some() {
                self.never += 1;
                continue;
            }
            self.queue.push(self.waiting(job));
        }
        (0..self.keys.len()).for_each(|worker| _ = self.sync(worker));
        self.place_all();
    }

    fn waiting(&self, job: usize) -> QueuedTask {
        let j = &self.fake.jobs[job];
        QueuedTask {
            task: self.ids[job].clone(),
            kind: Kind::Batch,
            priority: j.priority,
            team: self.teams[j.team].clone(),
            class: ClassId(j.class as u16),
            resources: j.declared,
            since: self.fake.now(),
        }
    }

    fn ended(&mut self, worker: usize, job: usize, how: Ended) {
        let j = &self.fake.jobs[job];
        self.quotas.release(&self.teams[j.team], &j.declared);
        let (key, id, now) = (self.keys[worker], &self.ids[job], self.fake.now());
        match how {
            Ended::Done => {
                self.suspicions.ended(key, id, true);
                self.estimates.observe_run(ClassId(j.class as u16), (j.run_s * 1_000.0) as u64);
            }
            Ended::Failed => _ = self.suspicions.failed(key, id, now),
            Ended::Killed => self.suspicions.ended(key, id, false),
        }
        if how != Ended::Done {
            self.queue.push_front(self.waiting(job));
        }
    }

    fn stop(&mut self, worker: usize, job: usize, checkpoint: bool) {
        if self.fake.stop(worker, job, checkpoint) {
            let j = &self.fake.jobs[job];
            self.quotas.release(&self.teams[j.team], &j.declared);
            self.suspicions.ended(self.keys[worker], &self.ids[job], false);
            self.queue.push_front(self.waiting(job));
        }
    }

    /// Feeds the table from the worker's own state, as the agents' heartbeats do.
    fn sync(&mut self, worker: usize) -> WorkerKey {
        let (jobs, w, now) = (&self.fake.jobs, &self.fake.workers[worker], self.fake.now());
        let mut residents: Vec<Resident> = Vec::new();
        for (place, service) in w.services.iter().enumerate() {
            let burning = self.slowdowns[worker][place] > 1.0 + self.policy.remedy.act_above * self.budget;
            let (class, kind) = (ClassId(*service as u16), Kind::LatencyCritical);
            residents.push(Resident { class, kind, weight: 1.0, misses_slo: burning, budget: self.budget });
        }
        let mut expected_use = w.services.iter().fold(Resources::ZERO, |sum, _| sum.plus(&SERVICE_SIZE));
        for r in &w.running {
            let class = ClassId(jobs[r.job].class as u16);
            let weight = f32::from(r.percent) / 100.0;
            expected_use = expected_use.plus(&self.expected(r.job));
            match residents.iter_mut().find(|known| known.class == class) {
                Some(known) => known.weight += weight,
                None => residents.push(Resident { class, kind: Kind::Batch, weight, misses_slo: false, budget: 0.0 }),
            }
        }
        let weights = residents.iter().map(|r| (r.class, r.weight)).collect();
        let free = if w.off { Resources::ZERO } else { w.capacity.minus(&w.committed(jobs)) };
        let update = WorkerUpdate {
            agent: AgentId::new(format!("agent-{worker}")).expect("valid id"),
            availability_zone: zone_id(w.zone),
            rack: RackId::new(format!("rack-{}", worker / 3)).expect("valid id"),
            capacity: w.capacity,
            free,
            expected_use,
            residents,
        };
        let key = self.table.update(update, now);
        self.interference.record_composition(key, weights, now);
        key
    }

    fn expected(&self, job: usize) -> Resources {
        let j = &self.fake.jobs[job];
        match self.policy.chooser {
            Chooser::Oracle => j.used,
            Chooser::Own => self.estimates.size(ClassId(j.class as u16), j.declared, QUANTILE),
            _ => j.declared,
        }
    }

    fn learn(&mut self, report: &Report) {
        let worker = report.worker;
        self.slowdowns[worker] = report.services.iter().map(|(_, slowdown)| *slowdown).collect();
        match self.policy.chooser {
            Chooser::Own => {}
            Chooser::Oracle => return,
            _ => return self.baseline_answer(worker),
        }
        let (key, interval) = (self.keys[worker], (report.from, report.to));
        for (class, slowdown) in &report.services {
            self.interference.observe(key, *class, 1.0, interval, *slowdown);
        }
        for (job, class, weight, slowdown) in &report.tasks {
            self.interference.observe(key, *class, *weight, interval, *slowdown);
            let used = self.fake.jobs[*job].used;
            self.estimates.observe_usage(*class, used.cpu_milli, used.memory_mib);
        }
        let readings = report.services.iter().map(|(class, slowdown)| ServiceReading {
            class: *class,
            slowdown: *slowdown,
            budget: self.budget,
            from: report.from,
        });
        self.answer(worker, &readings.collect::<Vec<_>>());
    }

    fn baseline_answer(&mut self, worker: usize) {
        let slow = self.slowdowns[worker].iter().any(|s| *s > BASELINE_EVICTS_ABOVE);
        let spaced = self.fake.now_s >= self.evicted_s[worker] + BASELINE_SPACING_S;
        let newest = self.fake.workers[worker].running.iter().max_by_key(|r| r.started_s).map(|r| r.job);
        if let Some(job) = newest.filter(|_| slow && spaced) {
            self.evicted_s[worker] = self.fake.now_s;
            self.stop(worker, job, true);
        }
    }

    /// Gives the oracle the hidden table and readings without lag.
    fn look_through(&mut self) {
        let now = self.fake.now();
        let classes = SERVICES + crate::fake::BATCHES;
        for (victim, aggressor) in (0..classes).flat_map(|v| (0..classes).map(move |a| (v, a))) {
            let mean = self.fake.hidden.effect(victim, aggressor, self.fake.now_s) as f32;
            let effect = Effect { mean, deviation: 0.0 };
            self.interference.set_effect(ClassId(victim as u16), ClassId(aggressor as u16), effect, now);
        }
        for worker in 0..self.keys.len() {
            self.sync(worker);
            let Some(w) = self.table.get(self.keys[worker]) else { continue };
            let services = w.residents.iter().filter(|r| r.kind == Kind::LatencyCritical);
            let readings: Vec<_> = services
                .map(|s| {
                    let others = w.residents.iter().filter(|r| r.kind != Kind::LatencyCritical);
                    let harm = others.map(|r| 1.0 + r.weight * self.interference.effect(s.class, r.class, now).mean);
                    ServiceReading { class: s.class, slowdown: harm.product(), budget: self.budget, from: now }
                })
                .collect();
            self.slowdowns[worker] = readings.iter().map(|r| r.slowdown).collect();
            self.answer(worker, &readings);
        }
    }

    fn answer(&mut self, worker: usize, readings: &[ServiceReading]) {
        let tasks: Vec<TaskReading<usize>> = self.fake.workers[worker]
            .running
            .iter()
            .map(|r| TaskReading {
                task: r.job,
                class: ClassId(self.fake.jobs[r.job].class as u16),
                percent: r.percent,
                throttled_since: r.throttled_since,
                movable: self.fake.jobs[r.job].movable,
                moves: self.fake.jobs[r.job].moves,
            })
            .collect();
        let now = self.fake.now();
        for remedy in self.remedies.evaluate(self.keys[worker], readings, &tasks, &self.interference, now) {
            match remedy {
                Remedy::Throttle { task, percent } => self.fake.throttle(worker, task, percent),
                Remedy::Move { task } => self.stop(worker, task, true),
                Remedy::Evict { task } => self.stop(worker, task, false),
            }
        }
    }

    fn drain_zones(&mut self) {
        let zones = &self.zones_out;
        let workers = self.fake.workers.iter().enumerate();
        let leaving: Vec<_> = workers
            .filter(|(_, w)| zones.contains(&w.zone))
            .flat_map(|(worker, w)| w.running.iter().map(move |r| (worker, r.job)))
            .collect();
        if leaving.is_empty() || !self.policy.remedies() {
            return;
        }
        let workers_in = self.fake.workers.iter().filter(|w| !zones.contains(&w.zone)).count();
        let due = self.drain.due(leaving.len(), workers_in, self.fake.now());
        leaving.into_iter().take(due).for_each(|(worker, job)| self.stop(worker, job, true));
    }

    fn place_all(&mut self) {
        let now = self.fake.now();
        for _ in 0..TRIES {
            let key = match self.queue.next(Kind::Batch, now) {
                Next::Task(key) => key,
                Next::More => continue,
                Next::Idle => return,
            };
            let Some(job) = self.queue.get(key).and_then(|w| w.task.as_str()[3..].parse::<usize>().ok()) else {
                return;
            };
            let decision = self.decide(job);
            match decision {
                Decision::Place { worker, score } => {
                    self.start(worker, job);
                    self.start_throttled(worker, job, score.start_percent());
                }
                Decision::Wait { .. } if self.fake.jobs[job].priority == 9 && self.make_room(job) => {}
                Decision::Wait { .. } => self.queue.park(key, now.plus_ms(1_000)),
                Decision::Never { .. } => {
                    self.never += 1;
                    self.queue.cancel(&self.ids[job]);
                }
            }
        }
    }

    fn decide(&mut self, job: usize) -> Decision {
        let j = &self.fake.jobs[job];
        let demand = Demand {
            class: ClassId(j.class as u16),
            kind: Kind::Batch,
            team: self.teams[j.team].clone(),
            declared: j.declared,
            expected: self.expected(job),
            spread: Spread::None,
            avoid: self.suspicions.failed_on(&self.ids[job]).to_vec(),
        };
        let Self { table, interference, suspicions, quotas, .. } = self;
        let view = View { table, interference, suspicions, quotas };
        let decision = self.placer.place(&demand, &view, self.fake.now());
        if self.policy.remedies() || matches!(decision, Decision::Never { .. }) {
            return decision;
        }
        self.baseline_choice(&demand).unwrap_or(decision)
    }

    fn baseline_choice(&mut self, demand: &Demand) -> Option<Decision> {
        if !self.quotas.allows(&demand.team, &demand.declared) {
            return None;
        }
        let (table, left) = (&self.table, |key: &WorkerKey| self.table.free(*key).map_or(0, |f| f.cpu_milli));
        let fits = |key: &WorkerKey| {
            let in_service = table.get(*key).is_some_and(|w| !table.is_out(w.zone));
            in_service && table.free(*key).is_some_and(|free| demand.declared.fits_in(&free))
        };
        let feasible: Vec<WorkerKey> = self.keys.iter().copied().filter(fits).collect();
        let worker = match self.policy.chooser {
            Chooser::BestFit => feasible.iter().min_by_key(|k| left(k)),
            Chooser::LeastLoaded => feasible.iter().max_by_key(|k| left(k)),
            _ if feasible.is_empty() => None,
            _ => {
                let (a, b) = (self.random.random_range(0..feasible.len()), self.random.random_range(0..feasible.len()));
                Some(if left(&feasible[a]) >= left(&feasible[b]) { &feasible[a] } else { &feasible[b] })
            }
        };
        let wait = Decision::Wait { reason: fescuelead_core::placement::WaitReason::Capacity };
        Some(worker.map_or(wait, |worker| Decision::Place { worker: *worker, score: Default::default() }))
    }

    fn start(&mut self, key: WorkerKey, job: usize) {
        let Some(worker) = self.keys.iter().position(|known| *known == key) else { return };
        let j = &self.fake.jobs[job];
        self.quotas.hold(&self.teams[j.team], &j.declared);
        if let Some(waiting) = self.queue.key(&self.ids[job]) {
            self.queue.remove(waiting);
        }
        self.fake.start(worker, job);
        self.suspicions.started(key, &self.ids[job], self.fake.now());
        self.sync(worker);
    }

    fn start_throttled(&mut self, key: WorkerKey, job: usize, percent: u8) {
        let worker = self.keys.iter().position(|known| *known == key);
        if let Some(worker) = worker.filter(|_| percent < 100 && self.policy.start_throttled) {
            self.fake.throttle(worker, job, percent);
            self.sync(worker);
        }
    }

    /// Moves less urgent tasks for an urgent one, where its class does no harm.
    fn make_room(&mut self, job: usize) -> bool {
        let (declared, now) = (self.fake.jobs[job].declared, self.fake.now());
        let jobs = &self.fake.jobs;
        let class = ClassId(jobs[job].class as u16);
        let fine = |index: usize| {
            let Some(w) = self.table.get(self.keys[index]) else { return false };
            let services = w.residents.iter().filter(|r| r.kind == Kind::LatencyCritical);
            let harmless = |s: &Resident| self.interference.effect(s.class, class, now).mean < s.budget / 2.0;
            let trusted = self.suspicions.trust_level(self.keys[index], now).may_start();
            let usable = !self.table.is_out(w.zone) && !self.fake.workers[index].off && trusted;
            usable && (!self.policy.remedies() || services.into_iter().all(harmless))
        };
        let workers = self.fake.workers.iter().enumerate().filter(|(index, _)| fine(*index)).map(|(index, w)| {
            let tasks = w.running.iter().map(|r| PreemptCandidate {
                task: (index, r.job),
                priority: jobs[r.job].priority,
                declared: jobs[r.job].declared,
                lost_ms: if jobs[r.job].movable { 5_000 } else { (self.fake.now_s - r.started_s) * 1_000 + 5_000 },
            });
            (self.keys[index], w.capacity.minus(&w.committed(jobs)), tasks.collect())
        });
        let Some(found) = preempt(&declared, 9, workers) else { return false };
        found.tasks.iter().for_each(|(worker, job)| self.stop(*worker, *job, true));
        self.start(found.worker, job);
        true
    }
}

fn zone_id(zone: usize) -> AvailabilityZone {
    AvailabilityZone::new(format!("zone-{zone}")).expect("valid id")
}
