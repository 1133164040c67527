//! Benchmarks of one placement on all hosts with 1,000 waiting steps, by the number of hosts: without a reservation of room,
//! and with the most that are held at a time.
//!
//! `cargo bench -p fescuelead-core --bench waiting_steps`

use std::{sync::Arc, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fescuelead_core::{
    jobs::{
        HostInfo, JobId, JobSpec, MAX_PASSED_OVER_MS, Moment, QueueSettings, Replica, Scheduler, StepSpec,
        lease::LeasePlan,
    },
    units::{Resources, TimeMs},
};

const UNIX_MS: u64 = 1_700_000_000_000;
/// How often waiting steps are matched against all hosts, in milliseconds.
const FULL_PLACEMENT_MS: u64 = 250;
const WAITING_STEPS: u64 = 1_000;
/// The runs on each host, of 3 cores each.
const RUNS_PER_HOST: usize = 21;

fn moment(at: u64) -> Moment {
    Moment { at: TimeMs(at), unix_ms: UNIX_MS + at }
}

fn submit(scheduler: &mut Scheduler, job: u64, tasks: u32, cpu_milli: u32, at: u64) {
    let settings =
        QueueSettings { service: "desk".to_owned(), priority: 0, max_failures: 1, stretch_percent: 150, latency_ms: 0 };
    let resources = Resources::new(cpu_milli, 100);
    let step = StepSpec { tasks, resources, estimate_ms: 1_000_000, ..StepSpec::default() };
    let spec = JobSpec {
        queue: format!("queue-{cpu_milli}"),
        settings,
        accepted_unix_ms: UNIX_MS + at,
        payload: String::new(),
        steps: vec![step],
        repeat: None,
    };
    scheduler.job_submitted(JobId(job), Arc::new(spec), moment(at));
}

/// Hosts of 64 cores with one free, and steps of 14 cores that wait. `reserves` says whether smaller ones have passed these over.
/// Returns the time as well.
fn loaded(hosts: usize, reserves: bool) -> (Scheduler, u64) {
    let mut scheduler = Scheduler::new(LeasePlan::new(6_000), &Replica::new(), [], moment(0));
    for host in 0..hosts {
        let name = format!("host-{host}");
        let capacity = Resources::new(64_000, 250_000);
        let info = HostInfo { service: "desk".to_owned(), capacity, ..HostInfo::default() };
        scheduler.host_discovered(&name);
        scheduler.host_connected(&name);
        scheduler.host_info_changed(&name, Some(info));
        scheduler.reconcile_host(&name, UNIX_MS, &[], moment(0));
    }
    for job in 0..hosts as u64 {
        submit(&mut scheduler, job, RUNS_PER_HOST as u32, 3_000, 0);
    }
    let mut at = 0;
    scheduler.tick(moment(at));
    for job in 0..WAITING_STEPS {
        submit(&mut scheduler, 1_000_000 + job, 1, 14_000, at);
    }
    while reserves && scheduler.reservation_counts().1 == 0 {
        at += FULL_PLACEMENT_MS;
        submit(&mut scheduler, 2_000_000 + at, 1, 100, at);
        scheduler.tick(moment(at));
        assert!(at < 10 * MAX_PASSED_OVER_MS, "no reservation");
    }
    scheduler.take_batch();
    (scheduler, at)
}

fn placement(criterion: &mut Criterion) {
    for (name, reserves) in [("waiting", false), ("reserving", true)] {
        let mut group = criterion.benchmark_group(format!("place-1000-steps/{name}"));
        group.sample_size(10).measurement_time(Duration::from_secs(3));
        for hosts in [70, 300, 1_600] {
            let (mut scheduler, mut at) = loaded(hosts, reserves);
            group.bench_function(BenchmarkId::from_parameter(hosts), |b| {
                b.iter(|| {
                    at += FULL_PLACEMENT_MS;
                    scheduler.tick(moment(at))
                });
            });
        }
    }
}

criterion_group!(benches, placement);
criterion_main!(benches);
