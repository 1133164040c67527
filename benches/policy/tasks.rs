//! Scenarios on tasks.

use fescuelead_core::{profile::Weights, units::Resources};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    driver::{Chooser, Driver, Policy},
    fake::{BATCHES, Fake, Job, NOISY, SERVICE_SIZE, SERVICES, Worker, p99},
    report::{Bound, Measure},
};

/// The first part of a run, in which nothing is measured: queues fill and the pairs are learned.
const WARM_S: u64 = 1_800;
/// The length of a run.
const END_S: u64 = 7_200;
/// The length of a steady run: evictions are few, and their ratio is noise in a shorter one.
const STEADY_END_S: u64 = 4 * 3_600;
/// The longest lag of a report.
const LAG_S: f64 = 30.0;

/// Workers of a deployment and the jobs to run there.
#[derive(Clone, Copy)]
struct Setting {
    name: &'static str,
    workers: usize,
    capacity: Resources,
    zones: usize,
    load: f64,
    end_s: u64,
    /// Declared sizes are wrong by a factor up to this.
    wrong: f64,
    weights: Weights,
}

const SURSETU: Setting = Setting {
    name: "sursetu",
    workers: 10,
    capacity: Resources { cpu_milli: 30_000, memory_mib: 125_000, accelerators: 0 },
    zones: 3,
    load: 1.1,
    end_s: END_S,
    wrong: 1.0,
    weights: Weights { tail: 1, throughput: 3, evictions: 2 },
};

const SCHOTELONDERHOUD: Setting = Setting {
    name: "schotelonderhoud",
    workers: 10,
    capacity: Resources { cpu_milli: 16_000, memory_mib: 60_000, accelerators: 0 },
    zones: 4,
    load: 1.1,
    end_s: END_S,
    wrong: 1.0,
    weights: Weights { tail: 3, throughput: 1, evictions: 1 },
};

impl Setting {
    fn workers(&self) -> Vec<Worker> {
        let services = |index: usize| match index % 3 {
            0 => vec![index % SERVICES],
            1 => vec![index % SERVICES, (index + 1) % SERVICES],
            _ => vec![(index + 2) % SERVICES],
        };
        (0..self.workers).map(|index| Worker::new(self.capacity, index % self.zones, services(index))).collect()
    }

    /// Jobs that offer `load` times the room that services leave.
    fn jobs(&self, seed: u64) -> Vec<Job> {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x6a6f6273);
        let room: u32 = self
            .workers()
            .iter()
            .map(|w| w.capacity.cpu_milli - SERVICE_SIZE.cpu_milli * w.services.len() as u32)
            .sum();
        let classes: Vec<(f64, f64, f64, f64, f64)> = (0..BATCHES - 1)
            .map(|_| {
                let mut wrong = || self.wrong.powf(random.random_range(-1.0..=1.0));
                let (wrong_cpu, wrong_memory) = (wrong(), wrong());
                let (cpu, memory) = (random.random_range(1.0..4.0), random.random_range(1.0..8.0));
                (cpu, memory, random.random_range(60.0..600.0), wrong_cpu, wrong_memory)
            })
            .collect();
        let mut jobs = Vec::new();
        let mut offered = 0.0;
        let total = f64::from(room) / 1_000.0 * self.end_s as f64 * self.load;
        while offered < total {
            let urgent = random.random::<f64>() < 0.06;
            let class = random.random_range(0..classes.len());
            let (cpu, memory, run, wrong_cpu, wrong_memory) = classes[class];
            let mut spread = || random.random_range(0.8..1.25);
            let cpu = if urgent { cpu.min(2.0) } else { cpu } * spread();
            let (memory, run_s) = (memory * spread(), if urgent { 60.0 } else { run } * spread());
            let declared_cpu = (cpu * wrong_cpu * 1_000.0).clamp(100.0, 15_000.0);
            let declared_memory = (memory * wrong_memory * 1_024.0).clamp(100.0, 40_000.0);
            offered += cpu * run_s;
            jobs.push(Job {
                class: SERVICES + class,
                declared: Resources::new(declared_cpu as u32, declared_memory as u32),
                used: Resources::new((cpu * 900.0) as u32, (memory * 900.0) as u32),
                run_s,
                left_s: run_s,
                priority: if urgent { 9 } else { 5 },
                team: random.random_range(0..4),
                movable: random.random::<f64>() < 0.8,
                arrives_s: random.random_range(0..self.end_s),
                started_s: None,
                completions: 0,
                moves: 0,
            });
        }
        jobs
    }

    fn quota(&self) -> Resources {
        let all = self.workers as u32;
        Resources::new(self.capacity.cpu_milli * all * 6 / 10, self.capacity.memory_mib * all * 6 / 10)
    }

    fn driver(&self, seed: u64, policy: Policy) -> Driver {
        self.driver_with(seed, policy, self.workers(), self.jobs(seed))
    }

    fn driver_with(&self, seed: u64, policy: Policy, workers: Vec<Worker>, jobs: Vec<Job>) -> Driver {
        let mut fake = Fake::new(seed, workers, jobs);
        fake.measure_from_s = WARM_S;
        Driver::new(seed, policy, fake, self.quota())
    }
}

const BASELINES: [(&str, Chooser); 3] =
    [("best-fit", Chooser::BestFit), ("least-loaded", Chooser::LeastLoaded), ("random-of-two", Chooser::RandomOfTwo)];

/// What one run came to.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    tail: f64,
    work: f64,
    evictions: f64,
    completed: f64,
}

fn outcome(driver: &Driver) -> Outcome {
    let fake = &driver.fake;
    Outcome {
        tail: p99(&fake.latencies) / p99(&fake.alone),
        work: fake.work_from(WARM_S),
        evictions: fake.evictions as f64,
        completed: fake.completions as f64,
    }
}

fn steady(setting: &Setting, seed: u64, policy: Policy) -> Outcome {
    let setting = Setting { end_s: STEADY_END_S, ..*setting };
    let mut driver = setting.driver(seed, policy);
    driver.run_until(STEADY_END_S);
    outcome(&driver)
}

/// Runs all scenarios on tasks for one seed.
pub fn run(seed: u64) -> Vec<Measure> {
    run_with(seed, Policy::new(Chooser::Own))
}

fn run_with(seed: u64, own: Policy) -> Vec<Measure> {
    let scenarios: [(&str, &dyn Fn() -> Vec<Measure>); 7] = [
        ("steady-sursetu", &|| steady_mix(&SURSETU, seed, own)),
        ("steady-schotelonderhoud", &|| steady_mix(&SCHOTELONDERHOUD, seed, own)),
        ("shift", &|| shift(seed, own)),
        ("zone-out", &|| zone_out(seed, own)),
        ("broken-workers", &|| broken(seed, own)),
        ("impossible-jobs", &|| never(seed, own)),
        ("wrong-sizes", &|| wrong_sizes(seed, own)),
    ];
    let only = std::env::args().skip_while(|a| a != "--only").nth(1);
    let wanted =
        scenarios.into_iter().filter(|(name, _)| only.as_ref().is_none_or(|only| name.contains(only.as_str())));
    wanted.flat_map(|(_, scenario)| scenario()).collect()
}

fn steady_mix(setting: &Setting, seed: u64, own: Policy) -> Vec<Measure> {
    let value = steady(setting, seed, own);
    let oracle = steady(setting, seed, Policy::new(Chooser::Oracle));
    let baselines = BASELINES.map(|(name, chooser)| (name, steady(setting, seed, Policy::new(chooser))));
    let weighted = steady(setting, seed, Policy { weights: setting.weights, ..own });
    let scenario = format!("steady-{}", setting.name);
    let measure = |name: &str, of: &dyn Fn(&Outcome) -> f64, bound| {
        let measure = Measure::new(&scenario, name, of(&value), bound);
        let with = baselines.iter().fold(measure, |m, (name, outcome)| m.with_baseline(name, of(outcome)));
        with.with_baseline("oracle", of(&oracle))
    };
    let weighted_by = |name: &str, score: fn(&Weights, &Outcome, &Outcome) -> f64, bound| {
        let score = |o: &Outcome| score(&setting.weights, o, &oracle);
        let best = baselines.iter().map(|(_, o)| score(o)).fold(0.0, f64::max);
        let measure = Measure::new(&scenario, name, score(&weighted) / best, bound);
        let measure = measure.with_baseline("own", score(&weighted)).with_baseline("oracle", score(&oracle));
        baselines.iter().fold(measure, |m, (name, o)| m.with_baseline(name, score(o)))
    };
    let evictions = |o: &Outcome| o.evictions / oracle.evictions.max(1.0);
    let best_fit = baselines[0].1.evictions.max(1.0);
    vec![
        measure("service-p99", &|o| o.tail, Bound::AtMost(1.15)),
        measure("throughput", &|o| o.work / oracle.work, Bound::AtLeast(0.92)),
        measure("evictions-to-oracle", &evictions, Bound::AtMost(1.3)),
        measure("evictions-to-best-fit", &|o| o.evictions / best_fit, Bound::AtMost(0.3)),
        weighted_by("weighted-score", score, Bound::AtLeast(1.3)),
        weighted_by("weighted-score-by-completions", score_by_completions, Bound::None),
    ]
}

/// The weighted score of the design page: the weighted mean of `p99 alone / p99`, `work / oracle's work` and
/// `oracle's evictions / evictions`, each at most 1.
fn score(weights: &Weights, outcome: &Outcome, oracle: &Outcome) -> f64 {
    // Counts are at least 1, as in the ratio of evictions to the oracle's.
    let evictions = oracle.evictions.max(1.0) / outcome.evictions.max(1.0);
    weighted_mean(weights, [1.0 / outcome.tail, outcome.work / oracle.work, evictions].map(|part| part.min(1.0)))
}

/// The earlier score, whose third part is the share of runs that were not evicted.
fn score_by_completions(weights: &Weights, outcome: &Outcome, oracle: &Outcome) -> f64 {
    let evictions = outcome.completed / (outcome.completed + outcome.evictions).max(1.0);
    weighted_mean(weights, [1.0 / outcome.tail, outcome.work / oracle.work, evictions])
}

fn weighted_mean(weights: &Weights, parts: [f64; 3]) -> f64 {
    let weights = [weights.tail, weights.throughput, weights.evictions].map(f64::from);
    weights.iter().zip(parts).map(|(weight, part)| weight * part).sum::<f64>() / weights.iter().sum::<f64>()
}

const SHIFT_S: u64 = 3_000;
const WAVE_S: u64 = 5_400;

/// Seconds until services are back in their SLO after the shift, and after the wave.
fn run_shift(seed: u64, policy: Policy) -> (f64, f64) {
    let mut jobs = SURSETU.jobs(seed);
    for n in 0..60 {
        let mut job = jobs[n].clone();
        (job.class, job.priority, job.arrives_s) = (NOISY, 6, WAVE_S);
        (job.declared, job.used) = (Resources::new(2_000, 2_000), Resources::new(1_800, 1_800));
        jobs.push(job);
    }
    let mut driver = SURSETU.driver_with(seed, policy, SURSETU.workers(), jobs);
    driver.run_until(SHIFT_S);
    driver.fake.hidden.shift(0);
    driver.fake.hidden.shift(1);
    driver.run_until(END_S);
    (back_after(&driver.fake, SHIFT_S, WAVE_S), back_after(&driver.fake, WAVE_S, END_S))
}

/// Two of the service classes suffer from other classes from one second on, and half as much again; later a wave of noisy
/// tasks arrives.
fn shift(seed: u64, own: Policy) -> Vec<Measure> {
    let run = |policy| run_shift(seed, policy);
    let (shifted, noisy) = run(own);
    let oracle = run(Policy::new(Chooser::Oracle));
    let others = BASELINES.map(|(name, chooser)| (name, run(Policy::new(chooser))));
    let bound = Bound::AtMost(2.0 * LAG_S + 5.0);
    let fold = |m: Measure, of: fn(&(f64, f64)) -> f64| {
        let m = others.iter().fold(m, |m, (name, v)| m.with_baseline(name, of(v)));
        m.with_baseline("oracle", of(&oracle))
    };
    vec![
        fold(Measure::new("shift", "seconds-to-slo", shifted, bound), |v| v.0),
        fold(Measure::new("noisy-wave", "seconds-to-slo", noisy, bound), |v| v.1),
    ]
}

/// Seconds from `from_s` until the last window of 30 s, within ten minutes, in which a service missed its SLO.
fn back_after(fake: &Fake, from_s: u64, until_s: u64) -> f64 {
    const WINDOW_S: usize = 30;
    let (from, until) = (from_s as usize, (until_s as usize).min(from_s as usize + 600));
    let missed = |start: usize, service: usize| {
        let window = &fake.late_share[start..start + WINDOW_S];
        window.iter().map(|late| late[service]).sum::<f32>() / WINDOW_S as f32 > 0.01
    };
    let last = (from..until - WINDOW_S).rev().find(|start| (0..SERVICES).any(|s| missed(*start, s)));
    // The last second of the window is the last one that may have been late.
    last.map_or(0.0, |start| (start + 1 - from) as f64)
}

/// The work completed against what the remaining capacity allows, and the jobs lost or done twice.
fn run_zone(seed: u64, policy: Policy) -> (f64, f64) {
    let (out_s, dark_s, back_s) = (2_400, 2_460, 4_200);
    let mut whole = SURSETU.driver(seed, policy);
    whole.run_until(END_S);
    let work = |driver: &Driver, out: bool| -> f64 {
        let minutes = |w: &Worker| -> f64 {
            let counted = |minute: usize| {
                let during = (out_s / 60..back_s / 60).contains(&(minute as u64));
                minute as u64 >= WARM_S / 60 && !(out && during && w.zone == 0)
            };
            w.work.iter().enumerate().filter(|(minute, _)| counted(*minute)).map(|(_, work)| work).sum()
        };
        driver.fake.workers.iter().map(minutes).sum()
    };
    let mut driver = SURSETU.driver(seed, policy);
    driver.run_until(out_s);
    driver.set_zone(0, true);
    driver.run_until(dark_s);
    driver.set_power(0, true);
    driver.run_until(back_s);
    driver.set_power(0, false);
    driver.set_zone(0, false);
    driver.run_until(END_S);
    let twice = driver.fake.jobs.iter().filter(|job| job.completions > 1).count();
    // Every job that has arrived waits, runs or is done.
    let lost = driver.unaccounted();
    (work(&driver, false) / work(&whole, true), (twice + lost) as f64)
}

/// An availability zone is taken out, loses power a minute later, and returns after half an hour.
fn zone_out(seed: u64, own: Policy) -> Vec<Measure> {
    let run = |policy| run_zone(seed, policy);
    let (completed, wrong) = run(own);
    let others = BASELINES.map(|(name, chooser)| (name, run(Policy::new(chooser)).0));
    let oracle = run(Policy::new(Chooser::Oracle)).0;
    let measure = Measure::new("zone-out", "completed", completed, Bound::AtLeast(0.97));
    let measure = others.iter().fold(measure, |m, (name, v)| m.with_baseline(name, *v));
    vec![measure.with_baseline("oracle", oracle), Measure::new("zone-out", "lost-or-twice", wrong, Bound::AtMost(0.0))]
}

/// Starts wasted per broken worker and hour, and the loss of throughput on the others.
fn run_broken(seed: u64, policy: Policy) -> (f64, f64) {
    let setting = Setting { workers: 20, ..SURSETU };
    let bad = [3, 14];
    let run = |policy: Policy, broken: bool| {
        let mut workers = setting.workers();
        bad.iter().for_each(|index| workers[*index].broken = broken);
        let mut driver = setting.driver_with(seed, policy, workers, setting.jobs(seed));
        driver.run_until(END_S);
        driver
    };
    let work = |driver: &Driver| -> f64 {
        let healthy = driver.fake.workers.iter().enumerate().filter(|(index, _)| !bad.contains(index));
        healthy.flat_map(|(_, w)| w.work.iter()).sum()
    };
    let (with, without) = (run(policy, true), run(policy, false));
    let hours = END_S as f64 / 3_600.0;
    (with.fake.wasted_starts as f64 / bad.len() as f64 / hours, 1.0 - work(&with) / work(&without))
}

/// Two of 20 workers fail all that they start.
fn broken(seed: u64, own: Policy) -> Vec<Measure> {
    let value = |policy| run_broken(seed, policy);
    let (wasted, loss) = value(own);
    let others = BASELINES.map(|(name, chooser)| (name, value(Policy::new(chooser))));
    let fold = |m: Measure, of: fn(&(f64, f64)) -> f64| others.iter().fold(m, |m, (n, v)| m.with_baseline(n, of(v)));
    vec![
        fold(Measure::new("broken-workers", "wasted-starts", wasted, Bound::AtMost(4.0)), |v| v.0),
        fold(Measure::new("broken-workers", "throughput-loss", loss, Bound::AtMost(0.02)), |v| v.1),
    ]
}

/// One job in five is larger than any worker, wants accelerators that are not there, or exceeds its team's quota.
fn never(seed: u64, own: Policy) -> Vec<Measure> {
    let setting = Setting { load: 0.85, ..SURSETU };
    let run = |policy: Policy, with: bool| {
        let mut jobs = setting.jobs(seed);
        let real = jobs.len();
        for n in 0..if with { real / 4 } else { 0 } {
            let mut job = jobs[n].clone();
            job.declared = match n % 3 {
                0 => Resources::new(60_000, 1_000),
                1 => Resources::new(1_000, 1_000).with_accelerators(1),
                _ => setting.quota().plus(&Resources::new(1, 1)),
            };
            jobs.push(job);
        }
        let mut driver = setting.driver_with(seed, policy, setting.workers(), jobs);
        driver.run_until(END_S);
        let waits: Vec<f64> = driver.fake.jobs[..real]
            .iter()
            .map(|job| (job.started_s.unwrap_or(END_S) - job.arrives_s.min(END_S)) as f64)
            .collect();
        (waits.iter().sum::<f64>() / waits.len() as f64, driver.never as f64 / (real / 4) as f64)
    };
    let ((with, refused), (without, _)) = (run(own, true), run(own, false));
    vec![
        Measure::new("impossible-jobs", "added-wait", with / without.max(0.001) - 1.0, Bound::AtMost(0.05))
            .with_baseline("mean-wait-s", without),
        Measure::new("impossible-jobs", "told-so", refused, Bound::AtLeast(1.0)),
    ]
}

/// Work done and commitments beyond the capacity.
fn run_wrong_sizes(seed: u64, policy: Policy) -> (f64, f64) {
    let setting = Setting { wrong: 5.0, ..SURSETU };
    let mut driver = setting.driver(seed, policy);
    driver.run_until(END_S);
    (outcome(&driver).work, driver.fake.overcommitments as f64)
}

/// Declared sizes are 0.2 to 5 times the true ones.
fn wrong_sizes(seed: u64, own: Policy) -> Vec<Measure> {
    let run = |policy| run_wrong_sizes(seed, policy);
    let (value, over) = run(own);
    let oracle = run(Policy::new(Chooser::Oracle)).0;
    let measure = Measure::new("wrong-sizes", "throughput", value / oracle, Bound::AtLeast(0.85));
    let others = BASELINES.map(|(name, chooser)| (name, run(Policy::new(chooser)).0 / oracle));
    vec![
        others.iter().fold(measure, |m, (name, v)| m.with_baseline(name, *v)),
        Measure::new("wrong-sizes", "over-commitments", over, Bound::AtMost(0.0)),
    ]
}

/// Prints what each mechanism earns: the measures with each one off in turn.
pub fn ablation(seed: u64) {
    let own = Policy::new(Chooser::Own);
    let mut variants = vec![("all", own)];
    let mut variant = |name, change: &dyn Fn(&mut Policy)| {
        let mut policy = own;
        change(&mut policy);
        variants.push((name, policy));
    };
    variant("no-interference", &|p| p.place.use_interference = false);
    variant("no-exploration", &|p| p.place.explore = false);
    variant("no-throttled-start", &|p| p.start_throttled = false);
    variant("no-history", &|p| p.interference.use_history = false);
    variant("no-forgetting", &|p| p.interference.decay_ms = u64::MAX / 2);
    variant("no-surprise", &|p| p.interference.innovation_limit = f32::INFINITY);
    variant("no-caution", &|p| p.place.slowdown_deviations = 0.0);
    variant("no-throttle", &|p| p.remedy.throttle = false);
    variant("no-hysteresis", &|p| p.remedy.hysteresis = false);
    variant("no-move-after", &|p| p.remedy.move_after_ms = u64::MAX / 2);
    variant("no-estimates", &|p| p.place.use_estimates = false);
    variant("no-suspicion", &|p| p.suspect.enabled = false);
    variant("no-packing", &|p| p.place.slack_weight = 0.0);
    variant("no-ramp", &|p| p.place.ramp_ms = 0);
    variant("no-drain-limit", &|p| p.drain.burst_per_worker = 1e6);
    variant("no-fairness", &|p| p.fair = false);
    println!("| off | p99 | work | evictions | shift s | wave s | zone | wasted | loss | wrong sizes: work |");
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for (name, policy) in variants {
        println!("{}", ablation_row(name, seed, policy));
    }
}

/// One row of the table. Work and evictions are absolute: thousands of core seconds and counts at Sursetu's size.
fn ablation_row(name: &str, seed: u64, policy: Policy) -> String {
    let steady = steady(&SURSETU, seed, policy);
    let (shift, wave) = run_shift(seed, policy);
    let (zone, _) = run_zone(seed, policy);
    let (wasted, loss) = run_broken(seed, policy);
    let (wrong, _) = run_wrong_sizes(seed, policy);
    format!(
        "| {name} | {:.3} | {:.0} | {} | {shift:.0} | {wave:.0} | {zone:.3} | {wasted:.1} | {loss:.3} | {:.0} |",
        steady.tail,
        steady.work / 1_000.0,
        steady.evictions,
        wrong / 1_000.0
    )
}
