//! The leader of jobs on the users' platform: what a start costs, and what waiting steps cost, by hosts.

use std::{hint::black_box, sync::Arc};

use fescuelead_core::{
    jobs::{
        HostInfo, JobId, JobSpec, Moment, QueueSettings, Replica, RunEnd, RunOutcome, Scheduler, StepSpec,
        image_interference::{Pair, PairTable},
        lease::LeasePlan,
        pace::Headroom,
    },
    units::{Resources, TimeMs},
};

use crate::measure::{Line, Report, cpu_ns, heading, slope};

/// Numbers of hosts: today's grown deployment, a small region, and a region of the target size.
const HOSTS: [usize; 3] = [77, 640, 1_600];
/// Tasks of a step, as on the grown deployments.
const TASKS: u32 = 20;
/// Jobs that are placed in a measurement.
const JOBS: usize = 40;
/// Steps that wait while events come.
const WAITING: usize = 20;
/// Images of serving and of background tasks.
const SERVING_IMAGES: usize = 5;
const BACKGROUND_IMAGES: usize = 9;
/// Starts a second that a region has to decide on at the peak: a tenth of the site's.
const REGION_STARTS_S: f64 = 87.0;
/// The part of a core that the leader of a region may use: that of one entry host today.
const LEADER_CORES: f64 = 0.25;

fn moment(ms: u64) -> Moment {
    Moment { at: TimeMs(1_000_000 + ms), unix_ms: 1_700_000_000_000 + ms }
}

fn serving(number: usize) -> String {
    format!("serving-{}", number % SERVING_IMAGES)
}

fn background(number: usize) -> String {
    format!("background-{}", number % BACKGROUND_IMAGES)
}

/// A leader of hosts that each serve two images.
fn leader(hosts: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], moment(0));
    for number in 0..hosts {
        let host = format!("host-{number}");
        scheduler.host_connected(&host);
        let capacity = Resources::new(32_000, 125_000);
        let info = HostInfo { service: "desk".to_owned(), capacity, ..HostInfo::default() };
        scheduler.host_info_changed(&host, Some(info));
        scheduler.reconcile_host(&host, 1, &[], moment(0));
        let headroom = [number, number + 1].map(|image| (serving(image), 600));
        scheduler.host_headroom_changed(&host, &Headroom::from(headroom));
    }
    let pairs = (0..BACKGROUND_IMAGES).flat_map(|by| (0..SERVING_IMAGES).map(move |of| (by, of)));
    let table: PairTable = pairs
        .map(|(by, of)| (Pair { background: background(by), serving: serving(of) }, ((by * of) % 5 * 1_000) as u32))
        .collect();
    scheduler.restore_pairs(&table, moment(0));
    scheduler
}

fn job(number: usize, cpu_milli: u32) -> Arc<JobSpec> {
    let step = StepSpec {
        tasks: TASKS,
        resources: Resources::new(cpu_milli, 100),
        estimate_ms: 1_700,
        background: true,
        checkpoints: true,
        image: Some(background(number)),
        ..StepSpec::default()
    };
    Arc::new(JobSpec {
        queue: "masters".to_owned(),
        settings: QueueSettings {
            service: "desk".to_owned(),
            priority: 1,
            max_failures: 3,
            stretch_percent: 150,
            latency_ms: 1_000,
        },
        accepted_unix_ms: moment(0).unix_ms,
        payload: String::new(),
        steps: vec![step],
        repeat: None,
    })
}

/// Processor time of one start, from the submission to the order, in nanoseconds.
fn start_ns(hosts: usize) -> f64 {
    let mut scheduler = leader(hosts);
    let mut starts = 0;
    let per_job = cpu_ns(JOBS, |number| {
        scheduler.job_submitted(JobId(number as u64), job(number, 50), moment(number as u64));
        scheduler.tick(moment(number as u64));
        starts += black_box(scheduler.take_batch()).effects.len();
    });
    assert_eq!(starts, JOBS * TASKS as usize, "each task finds a place");
    per_job / f64::from(TASKS)
}

/// Processor time of the end of a run while steps wait that no host can take, in nanoseconds.
fn event_ns(hosts: usize) -> f64 {
    let mut scheduler = leader(hosts);
    scheduler.job_submitted(JobId(0), job(0, 50), moment(0));
    scheduler.tick(moment(0));
    let started = scheduler.take_batch().effects;
    for number in 1..=WAITING {
        scheduler.job_submitted(JobId(number as u64), job(number, 1_000_000), moment(0));
    }
    let mut runs = started.into_iter().filter_map(|effect| match effect {
        fescuelead_core::jobs::Effect::Start { host, incarnation, task, run, .. } => {
            Some((host, incarnation, task, run))
        }
        _ => None,
    });
    let mut number = 0;
    cpu_ns(TASKS as usize, |nth| {
        let Some((host, incarnation, task, run)) = runs.next() else { return };
        number += 1;
        let ended = RunEnd { number, task, run, end: RunOutcome::Done, checkpoint: None };
        scheduler.run_ended(&host, incarnation, &ended, moment(nth as u64));
        scheduler.tick(moment(nth as u64));
        black_box(scheduler.take_batch());
    })
}

/// Prints the slopes and compares a region's leader with its budget.
pub fn run(report: &mut Report) {
    heading("leader of jobs: processor time by hosts");
    let start = slope("start of a task, 20 a step, by hosts", "ns", &HOSTS, start_ns);
    let end = slope("end of a run while 20 steps wait, by hosts", "ns", &HOSTS, event_ns);
    let hosts = HOSTS[HOSTS.len() - 1];
    let at = |line: Line| line.base + line.slope * hosts as f64;
    let cores = (at(start) + at(end)) * REGION_STARTS_S / 1e9;
    report.at_most(format!("leader of jobs, {hosts} hosts, 87 starts and ends/s"), cores, LEADER_CORES, "cores");
}
