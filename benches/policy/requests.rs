//! Scenarios of the request path in virtual time, over agents that hold the slots with the project's code.
//!
//! Every scenario runs for both deployments' sizes, and the worse figure counts. The same arrivals, deadlines and agents
//! meet the project's entries and, as baselines, entries that choose by round robin, least loaded and random of two,
//! know neither admission nor budgets, and let requests queue at the endpoints up to their connections.

mod entry;
mod world;

use self::{
    entry::{Baseline, Entry, Ours, Plain, Tuning},
    world::{CONNECTIONS, Change, DEPLOYMENTS, Deployment, Fate, Request, SLOTS, World},
};
use crate::report::{Bound, Measure};

/// The compared policies, ours first.
const POLICIES: [(&str, Option<Baseline>); 4] = [
    ("fescuelead", None),
    ("least_loaded", Some(Baseline::LeastLoaded)),
    ("random_of_two", Some(Baseline::RandomOfTwo)),
    ("round_robin", Some(Baseline::RoundRobin)),
];

/// One figure of one run.
type Figure = (&'static str, Bound, f64);
type Scenario = (&'static str, fn(&dyn Fn(Deployment) -> World, Deployment) -> Vec<Figure>);

const SCENARIOS: [Scenario; 7] = [
    ("overload", overload),
    ("slow-endpoint", slow_endpoint),
    ("failing-endpoint", failing_endpoint),
    ("dead-host", dead_host),
    ("outage", outage),
    ("returning-endpoint", returning),
    ("leaving-endpoint", leaving),
];

/// Runs the scenarios with one seed: those whose name holds the text after `--only`, or all.
pub fn run(seed: u64) -> Vec<Measure> {
    let only = std::env::args().skip_while(|a| a != "--only").nth(1);
    let chosen = SCENARIOS.iter().filter(|(name, _)| only.as_ref().is_none_or(|only| name.contains(only.as_str())));
    chosen.flat_map(|scenario| measure(seed, scenario)).collect()
}

/// Prints what each mechanism earns: the same scenarios with one mechanism switched off.
pub fn ablation(seed: u64) {
    let base = Tuning::default();
    let variants = [
        ("all", base),
        ("one-draw", Tuning { draws: 1, ..base }),
        ("three-draws", Tuning { draws: 3, ..base }),
        ("no-ejection", Tuning { eject: false, ..base }),
        ("no-hedges", Tuning { hedge_percent: 0, ..base }),
        ("no-ejection-no-hedges", Tuning { eject: false, hedge_percent: 0, ..base }),
        ("no-retries", Tuning { retry_percent: 0, ..base }),
        ("no-retry-budget", Tuning { retry_percent: 10_000, ..base }),
        ("no-admission", Tuning { admission: false, ..base }),
        ("no-ramp", Tuning { ramp_us: 1, ..base }),
        ("waiting-room-0", Tuning { waiting_room: 0, ..base }),
        ("waiting-room-2", Tuning { waiting_room: 2, ..base }),
        ("reports-by-heartbeat-only", Tuning { answers_report: false, ..base }),
        ("wait-75-percent", Tuning { wait_percent: 75, ..base }),
    ];
    for (name, tuning) in variants {
        for scenario in &SCENARIOS {
            for (measure, _, value) in figures(seed, scenario, None, tuning) {
                println!("ablation without={name} scenario={} measure={measure} value={value:.4}", scenario.0);
            }
        }
    }
}

fn figures(seed: u64, (_, scenario): &Scenario, baseline: Option<Baseline>, tuning: Tuning) -> Vec<Figure> {
    let make = move |deployment: Deployment| match baseline {
        None => {
            World::new(seed, deployment, tuning.waiting_room, |d, i| Entry::Ours(Box::new(Ours::new(tuning, d, i))))
        }
        Some(baseline) => {
            World::new(seed, deployment, CONNECTIONS - SLOTS, |d, i| Entry::Plain(Plain::new(baseline, d, i)))
        }
    };
    let [first, second] = DEPLOYMENTS.map(|deployment| scenario(&make, deployment));
    first.into_iter().zip(second).map(|(a, b)| worse(a, b)).collect()
}

fn measure(seed: u64, scenario: &Scenario) -> Vec<Measure> {
    let of_policy = |baseline| figures(seed, scenario, baseline, Tuning::default());
    let all: Vec<_> = POLICIES.iter().map(|(policy, baseline)| (*policy, of_policy(*baseline))).collect();
    let (_, ours) = &all[0];
    let measures = ours.iter().enumerate().map(|(index, (measure, bound, value))| {
        all[1..].iter().fold(Measure::new(scenario.0, measure, *value, *bound), |measure, (policy, figures)| {
            measure.with_baseline(policy, figures[index].2)
        })
    });
    measures.collect()
}

fn worse(a: Figure, b: Figure) -> Figure {
    if a.1.is_worse(b.2, a.2) { b } else { a }
}

fn in_time(request: &Request) -> bool {
    request.fate == Fate::Answered && request.done <= request.deadline
}

/// Requests that arrived in `[from, to)` seconds.
fn between(world: &World, from: f64, to: f64) -> impl Iterator<Item = &Request> + Clone {
    let (from, to) = ((from * 1e6) as u64, (to * 1e6) as u64);
    world.requests.iter().filter(move |request| (from..to).contains(&request.at))
}

/// The 99th percentile of the time to an answer, in microseconds; a request without an answer counts as its deadline.
fn p99_us<'r>(requests: impl Iterator<Item = &'r Request>) -> f64 {
    let took = |r: &Request| if r.fate == Fate::Answered { r.done - r.at } else { r.deadline - r.at };
    let mut all: Vec<_> = requests.map(took).collect();
    all.sort_unstable();
    all.get(all.len() * 99 / 100).map_or(0.0, |us| *us as f64)
}

/// Seconds from `from` until the start of the first second in which 99% of all requests are answered in time, looked for
/// in steps of 100 ms.
fn recovery_s(world: &World, from: f64, to: f64) -> f64 {
    let steps = ((to - from - 1.0) * 10.0) as usize;
    let recovered = (0..steps).map(|step| step as f64 / 10.0).find(|after| {
        let (mut all, mut good) = (0_u32, 0_u32);
        for request in between(world, from + after, from + after + 1.0) {
            all += 1;
            good += u32::from(in_time(request));
        }
        f64::from(good) >= 0.99 * f64::from(all)
    });
    recovered.unwrap_or(to - from)
}

/// Copies beyond the first that endpoints worked on, as a share of the requests.
fn extra_load(world: &World, from: f64, to: f64) -> f64 {
    let requests = between(world, from, to);
    let extra: u32 = requests.clone().map(|r| r.sent.saturating_sub(1)).sum();
    f64::from(extra) / requests.count().max(1) as f64
}

fn overload(make: &dyn Fn(Deployment) -> World, deployment: Deployment) -> Vec<Figure> {
    let world = make(deployment)
        .with_caller_tries(2)
        .at(0.0, Change::Load(0.7))
        .at(10.0, Change::Load(2.0))
        .at(70.0, Change::Load(0.7))
        .run(90.0);
    let in_window = |r: &&Request| in_time(r) && (10_000_000..70_000_000).contains(&r.done);
    let during = world.requests.iter().filter(in_window).count();
    // A request that was taken and then given up at its deadline counts as late.
    let taken = world.requests.iter().filter(|r| matches!(r.fate, Fate::Answered | Fate::Failed));
    let late = taken.clone().filter(|r| !in_time(r)).count();
    vec![
        ("goodput_of_capacity", Bound::AtLeast(0.95), during as f64 / (60.0 * deployment.capacity())),
        ("recovery_s", Bound::AtMost(2.0), recovery_s(&world, 70.0, 90.0)),
        ("late_share", Bound::AtMost(0.01), late as f64 / taken.count().max(1) as f64),
        ("most_running", Bound::AtMost(f64::from(SLOTS)), f64::from(world.counts.most_running)),
    ]
}

fn slow_endpoint(make: &dyn Fn(Deployment) -> World, deployment: Deployment) -> Vec<Figure> {
    let run = |factor| make(deployment).at(0.0, Change::Load(0.6)).at(10.0, Change::Slow(0, factor)).run(70.0);
    let (healthy, slow) = (run(1.0), run(10.0));
    let p99 = p99_us(between(&slow, 10.0, 70.0)) / p99_us(between(&healthy, 10.0, 70.0));
    vec![
        ("p99_of_healthy", Bound::AtMost(1.25), p99),
        ("extra_load", Bound::AtMost(0.05), extra_load(&slow, 10.0, 70.0)),
    ]
}

fn failing_endpoint(make: &dyn Fn(Deployment) -> World, deployment: Deployment) -> Vec<Figure> {
    let world = make(deployment).at(0.0, Change::Load(0.6)).at(10.0, Change::Failing(Some(0), true)).run(70.0);
    let fair = 1.0 / deployment.endpoints as f64;
    let failed = between(&world, 10.0, 70.0).filter(|r| r.fate != Fate::Answered).count();
    let share = failed as f64 / between(&world, 10.0, 70.0).count().max(1) as f64;
    vec![
        (
            "sent_to_it_of_fair_share",
            Bound::AtMost(1.0),
            world.counts.sent_to_first as f64 / world.counts.sent as f64 / fair,
        ),
        ("requests_failed", Bound::AtMost(0.01), share),
    ]
}

fn dead_host(make: &dyn Fn(Deployment) -> World, deployment: Deployment) -> Vec<Figure> {
    let world = make(deployment).at(0.0, Change::Load(0.6)).at(10.0, Change::Die(0)).run(70.0);
    let lost = between(&world, 10.0, 70.0).filter(|r| !in_time(r)).count();
    let share = lost as f64 / between(&world, 10.0, 70.0).count().max(1) as f64;
    vec![
        ("requests_lost", Bound::AtMost(0.01), share),
        ("last_sent_after_s", Bound::AtMost(2.0), world.counts.sent_after_death_us as f64 / 1e6),
    ]
}

fn outage(make: &dyn Fn(Deployment) -> World, deployment: Deployment) -> Vec<Figure> {
    let world = make(deployment)
        .with_caller_tries(4)
        .with_non_idempotent(0.2)
        .at(0.0, Change::Load(0.7))
        .at(10.0, Change::Failing(None, true))
        .at(20.0, Change::Failing(None, false))
        .run(40.0);
    let twice = world.requests.iter().filter(|r| !r.idempotent && r.runs > 1).count();
    vec![
        ("extra_load", Bound::AtMost(0.10), extra_load(&world, 10.0, 20.0)),
        ("recovery_s", Bound::AtMost(2.0), recovery_s(&world, 20.0, 40.0)),
        ("non_idempotent_run_twice", Bound::AtMost(0.0), twice as f64),
    ]
}

fn returning(make: &dyn Fn(Deployment) -> World, deployment: Deployment) -> Vec<Figure> {
    let run = |returns: bool| {
        let world = make(deployment).at(0.0, Change::Load(0.6)).at(10.0, Change::Leave(0));
        let world = if returns { world.at(20.0, Change::Return(0)) } else { world };
        world.run(40.0)
    };
    let (without, with) = (run(false), run(true));
    let p99 = p99_us(between(&with, 20.0, 30.0)) / p99_us(between(&without, 20.0, 30.0));
    vec![("p99_of_without", Bound::AtMost(1.25), p99)]
}

fn leaving(make: &dyn Fn(Deployment) -> World, deployment: Deployment) -> Vec<Figure> {
    let world =
        make(deployment).with_non_idempotent(0.2).at(0.0, Change::Load(0.6)).at(10.0, Change::Leave(0)).run(20.0);
    let lost = between(&world, 9.0, 20.0).filter(|r| r.fate != Fate::Answered).count();
    let seconds = |us: Option<u64>| us.map_or(0.0, |us| us as f64 / 1e6);
    vec![
        ("last_sent_after_s", Bound::AtMost(2.0), seconds(world.counts.sent_after_leave_us)),
        ("last_begun_after_s", Bound::AtMost(2.0), seconds(world.counts.begun_after_leave_us)),
        ("requests_lost", Bound::AtMost(0.0), lost as f64),
    ]
}
